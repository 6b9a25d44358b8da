#include "../../source/upstream/upstream-head.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/*
 * Fuzz target for the parser of response heads in the HTTP client. The input is
 * data from a hostile upstream, fed line by line. Guards against a head that,
 * when forwarded, makes a caller read other header lines or another end of the
 * response than the client.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool ok)
{
	if (!ok)
		abort();
}

static void
check_head(const struct response_head *h)
{
	size_t i, lengths = 0, chunks = 0;

	require(h->status >= 200 && h->status <= 599);
	require(h->header_count <= PB_CALL_HEADERS_MAX);
	for (i = 0; i < h->header_count; i++) {
		const char *name = h->headers[i].name.data;

		require(pb_is_valid_header(&h->headers[i]));
		if (strcasecmp(name, "Transfer-Encoding") == 0)
			chunks++;
		if (strcasecmp(name, "Content-Length") != 0)
			continue;
		lengths++;
		require(strspn(h->headers[i].value.data, "0123456789") ==
		    h->headers[i].value.len);
	}
	require(lengths <= 1 && (lengths == 0 || chunks == 0));
	require(h->framed == (lengths + chunks > 0));
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pb_context *ctx = pb_new_context(pb_system_clock(), NULL);
	struct response_head h = {.arena = pb_new_arena(ctx)};
	const char *at = (const char *)data, *end = at + size;
	enum head_result step = HEAD_INCOMPLETE;
	int heads = 0;

	while (at < end && step != HEAD_INVALID) {
		const char *nl = memchr(at, '\n', (size_t)(end - at));
		size_t len =
		    nl != NULL ? (size_t)(nl + 1 - at) : (size_t)(end - at);

		step = parse_response_head_line(&h, at, len);
		require((step == HEAD_INVALID) == (h.fault != NULL));
		if (step == HEAD_COMPLETE) {
			require(++heads == 1);
			check_head(&h);
		}
		at += len;
	}
	pb_drop_arena(ctx, h.arena);
	pb_drop_context(ctx);
	return 0;
}
