#include "poplarbeam/caller.h"

#include <stdlib.h>
#include <string.h>

/*
 * Fuzz target for pb_feed_sse. The first byte is the seed for splitting the
 * rest of the input at random positions. Short inputs are also split at every
 * position. Guards against an event that is changed, repeated or forwarded in
 * part.
 */

#define SPLIT_ALL_MAX 64 /* bytes; above, only random splits */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool ok)
{
	if (!ok)
		abort();
}

static int
collect(void *arg, const char *data, size_t len)
{
	return pb_append_buf(arg, data, len);
}

/* Checks that the output is a prefix of the input and ends with an event. */
static void
check_output(const struct pb_buf *out, const char *in, size_t len)
{
	size_t n = out->len;

	require(n <= len && (n == 0 || memcmp(out->data, in, n) == 0));
	if (n == 0)
		return;
	require(in[--n] == '\n');
	if (n > 0 && in[n - 1] == '\r')
		n--;
	require(n == 0 || in[n - 1] == '\n');
}

static void
feed(struct pb_sse *sse, const char *in, size_t len, struct pb_buf *out)
{
	require(pb_feed_sse(sse, in, len, collect, out) == PB_OK);
}

static void
split_once(const char *in, size_t len, size_t at)
{
	struct pb_sse sse = {.done = false}, whole = {.done = false};
	struct pb_buf out = {0}, all = {0};

	feed(&sse, in, at, &out);
	check_output(&out, in, at);
	feed(&sse, in + at, len - at, &out);
	check_output(&out, in, len);
	/* The output must not depend on how the input is split. */
	feed(&whole, in, len, &all);
	require(all.len == out.len && whole.done == sse.done &&
	    whole.last_id == sse.last_id);
	pb_clear_sse(&sse);
	pb_clear_sse(&whole);
	pb_clear_buf(&out);
	pb_clear_buf(&all);
}

static void
split_often(const char *in, size_t len, uint64_t seed)
{
	struct pb_random rnd = {seed};
	struct pb_sse sse = {.done = false};
	struct pb_buf out = {0};
	size_t at = 0;

	while (at < len) {
		size_t part = 1 + pb_next_random(&rnd) % 9;

		part = part < len - at ? part : len - at;
		feed(&sse, in + at, part, &out);
		at += part;
		check_output(&out, in, at);
	}
	pb_clear_sse(&sse);
	pb_clear_buf(&out);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *in = (const char *)data + 1;
	size_t at;

	if (size < 2)
		return 0;
	for (at = 0; at < size && size <= SPLIT_ALL_MAX; at++)
		split_once(in, size - 1, at);
	split_often(in, size - 1, data[0]);
	return 0;
}
