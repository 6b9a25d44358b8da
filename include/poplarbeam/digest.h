#ifndef POPLARBEAM_DIGEST_H
#define POPLARBEAM_DIGEST_H

#include "poplarbeam/base.h"

/*
 * The facts that routers tell one another in digests: which facts are worth
 * sending next under a byte budget, and what a received fact changes. Pure
 * decisions, no locks: the caller serialises calls.
 */

/* In order of value: the first are sent first and dropped last. */
enum pb_fact_kind {
	PB_FACT_ROUTER = 1, /* state of a router */
	PB_FACT_REVISION, /* settings revision in force */
	PB_FACT_LEAVING, /* upstream that is leaving */
	PB_FACT_CONTAINED, /* fingerprint that crashes upstreams */
	PB_FACT_HEALTH, /* upstream seen down or well */
	PB_FACT_CELL_LOAD, /* load and capacity of a cell */
	PB_FACT_ACCOUNT, /* demand of a heavy account at a cell */
	PB_FACT_KIND_END
};

#define PB_FACT_VALUE_MAX 48 /* bytes */

struct pb_fact {
	uint8_t kind;
	uint64_t subject; /* instance, cell, fingerprint or account hash */
	uint64_t origin; /* router that states it */
	uint64_t incarnation; /* of the origin */
	uint64_t version; /* counts up per (kind, subject, origin) */
	uint8_t len;
	uint8_t value[PB_FACT_VALUE_MAX];
	uint32_t ttl_ms; /* how long it holds from now */
};

struct pb_digest_policy {
	uint64_t self;
	uint64_t incarnation;
	uint64_t fleet; /* hash of the fleet's name */
	double bytes_per_sec; /* budget, datagram headers included */
	size_t datagram_max; /* bytes of facts in one datagram */
	size_t max_facts;
};

struct pb_digest;

struct pb_digest *pb_new_digest(
    struct pb_context *ctx, const struct pb_digest_policy *policy);
void pb_drop_digest(struct pb_context *ctx, struct pb_digest *digest);
void pb_set_digest_peers(
    struct pb_context *ctx, struct pb_digest *digest, size_t peers);

/* States or renews a fact of this router. */
int pb_state_fact(struct pb_context *ctx, struct pb_digest *digest,
    enum pb_fact_kind kind, uint64_t subject, const void *value, size_t len,
    int64_t ttl_us);

/* Called for each received fact that was new here. */
typedef void pb_fact_fn(void *arg, const struct pb_fact *fact);

/*
 * Encodes the facts that are worth most into buf (XDR); returns the length, or
 * 0 when the budget allows no datagram now.
 */
size_t pb_pack_digest(
    struct pb_context *ctx, struct pb_digest *digest, uint8_t *buf, size_t cap);
/*
 * Decodes a digest and merges it. PB_OK, or PB_EPROTO when it is malformed,
 * from another fleet or from an old incarnation; nothing changes then.
 */
int pb_merge_digest(struct pb_context *ctx, struct pb_digest *digest,
    const uint8_t *buf, size_t len, pb_fact_fn *fn, void *arg);
/* Counts bytes that control traffic used outside of digests. */
void pb_spend_digest(
    struct pb_context *ctx, struct pb_digest *digest, size_t bytes);

size_t pb_each_fact(struct pb_context *ctx, struct pb_digest *digest,
    enum pb_fact_kind kind, pb_fact_fn *fn, void *arg);

struct pb_digest_stats {
	uint64_t sent_bytes;
	uint64_t received_bytes;
	uint64_t sent_facts;
	uint64_t dropped_facts; /* left out for lack of budget */
	uint64_t rejected; /* digests refused */
	size_t facts;
};

void pb_read_digest_stats(
    const struct pb_digest *digest, struct pb_digest_stats *stats);

#endif
