#include "poplarbeam/digest.h"

#include <stdlib.h>
#include <string.h>

#define FLEET 7
#define HEADER 36 /* bytes of a digest before its facts */

static struct pb_digest *
new_digest(struct pb_context *ctx, uint64_t self)
{
	struct pb_digest_policy p = {.self = self,
	    .incarnation = 5,
	    .fleet = FLEET,
	    .bytes_per_sec = 100000,
	    .datagram_max = 1400,
	    .max_facts = 16};

	return pb_new_digest(ctx, &p);
}

static void
require(bool ok)
{
	if (!ok)
		abort();
}

static void
count_fact(void *arg, const struct pb_fact *fact)
{
	require(fact->len <= PB_FACT_VALUE_MAX);
	require(fact->kind < PB_FACT_KIND_END);
	(*(int *)arg)++;
}

/*
 * Guards against input that is read beyond its end, that is refused but changes
 * something, or that is accepted and then relayed in a form that peers refuse.
 * An odd first byte puts a valid header in front of the input.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct pb_manual_clock clk;
	struct pb_context *ctx;
	struct pb_digest *a, *b, *c;
	uint8_t in[4096], out[2048];
	size_t head = 0, packed;
	int seen = 0;

	if (len < 1 || len > sizeof(in) - HEADER)
		return 0;
	pb_init_manual_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	a = new_digest(ctx, 1);
	b = new_digest(ctx, 2);
	c = new_digest(ctx, 3);
	if (data[0] & 1)
		head = pb_pack_digest(ctx, c, in, HEADER);
	memcpy(in + head, data + 1, len - 1);
	if (pb_merge_digest(ctx, a, in, head + len - 1, count_fact, &seen) !=
	    PB_OK)
		require(seen == 0);
	packed = pb_pack_digest(ctx, a, out, sizeof(out));
	require(packed > 0);
	require(
	    pb_merge_digest(ctx, b, out, packed, count_fact, &seen) == PB_OK);
	pb_drop_digest(ctx, a);
	pb_drop_digest(ctx, b);
	pb_drop_digest(ctx, c);
	pb_drop_context(ctx);
	return 0;
}
