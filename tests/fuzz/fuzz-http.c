/*
 * Fuzz target for the HTTP message reader. Feeds the same bytes twice, at once
 * and in pieces, and compares the end and the body of each request. A
 * difference allows request smuggling: one reader takes for a request what
 * another one takes for a body.
 */
#include "poplarbeam/http.h"

#include <stdlib.h>
#include <string.h>

#define REQUESTS_MAX 8
#define BODY_MAX 2048

struct outcome {
	size_t ends[REQUESTS_MAX]; /* byte offset of the end of each request */
	size_t count;
	enum pb_http_error error;
	char body[BODY_MAX]; /* bodies of all requests */
	size_t body_len;
};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool ok)
{
	if (!ok)
		abort();
}

static void
append_body(struct pb_http_reader *reader, struct pb_str part)
{
	struct outcome *o = reader->owner;

	require(o->body_len + part.len <= sizeof(o->body));
	memcpy(o->body + o->body_len, part.data, part.len);
	o->body_len += part.len;
}

static const struct pb_http_ops ops = {NULL, append_body};

static void
read_all(const char *data, size_t size, size_t piece, struct outcome *o)
{
	struct pb_http_reader r;
	size_t at = 0;

	memset(o, 0, sizeof(*o));
	pb_init_http_reader(&r, HTTP_REQUEST, &ops, o, 1024, BODY_MAX);
	while (at < size && o->count < REQUESTS_MAX) {
		size_t n = size - at < piece ? size - at : piece;

		at += pb_feed_http(&r, data + at, n);
		if (r.error != PB_HTTP_OK)
			break;
		if (!r.complete)
			continue;
		o->ends[o->count++] = at;
		pb_reset_http_reader(&r);
	}
	o->error = r.error;
	pb_clear_http_reader(&r);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct outcome whole, parts;

	if (size < 2 || size > BODY_MAX)
		return 0;
	read_all((const char *)data + 1, size - 1, size, &whole);
	read_all((const char *)data + 1, size - 1, data[0] % 7 + 1, &parts);
	require(whole.error == parts.error);
	require(whole.count == parts.count);
	require(memcmp(whole.ends, parts.ends, sizeof(whole.ends)) == 0);
	require(whole.error != PB_HTTP_OK ||
	    (whole.body_len == parts.body_len &&
		memcmp(whole.body, parts.body, whole.body_len) == 0));
	return 0;
}
