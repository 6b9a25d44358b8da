#include "poplarbeam/digest.h"

#include <stdlib.h>
#include <string.h>

#define FLEET 7
#define HEADER 36 /* bytes of the header of a digest */

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
 * Fuzz target for pb_merge_digest and pb_pack_digest. Guards against input that
 * is read beyond its end, that is rejected but reports facts, or that is
 * accepted and then relayed in a form that peers reject. An odd first byte puts
 * a valid header in front of the input. Own facts, the number of peers and the
 * time change around the merge, so that the send lists of a full store are
 * exercised.
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
	pb_set_digest_peers(ctx, a, data[0]);
	pb_publish_fact(ctx, a, PB_FACT_CELL_LOAD, 1, in, 8, PB_SEC);
	pb_publish_fact(ctx, a, PB_FACT_ROUTER, 1, in, 8, 9 * PB_SEC);
	if (pb_merge_digest(ctx, a, in, head + len - 1, count_fact, &seen) !=
	    PB_OK)
		require(seen == 0);
	pb_set_digest_peers(ctx, a, (size_t)data[len - 1] * 2);
	pb_pack_digest(ctx, a, out, sizeof(out));
	pb_advance_clock(&clk, data[len / 2] * 20 * PB_MSEC);
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
