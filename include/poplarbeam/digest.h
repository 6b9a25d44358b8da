#ifndef POPLARBEAM_DIGEST_H
#define POPLARBEAM_DIGEST_H

#include "poplarbeam/base.h"

/*
 * The facts that routers tell one another in digests: which facts are worth
 * sending next under a byte budget, and what a received fact changes. Pure
 * decisions, no locks: the caller serialises calls.
 */

/*
 * In order of value: the first are sent first and dropped last. The value of a
 * further send of a fact falls with the number of its sends, so that new facts
 * of a less valuable kind pass old ones of a more valuable kind.
 *
 * Revisions, leaving upstreams and contained fingerprints are shared: all
 * origins state the same, only one fact is kept for a subject, and the greater
 * value (compared bytewise, so in network byte order) wins.
 */
enum pb_fact_kind {
	PB_FACT_ROUTER = 1, /* state of a router */
	PB_FACT_REVISION, /* settings revision in force; subject 0 */
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
	uint64_t version; /* grows per (kind, subject, origin); 32 bits used */
	uint8_t len;
	uint8_t value[PB_FACT_VALUE_MAX];
	uint32_t ttl_ms; /* how long it holds from now */
};

struct pb_digest_policy {
	uint64_t self;
	uint64_t incarnation;
	uint64_t fleet; /* hash of the fleet's name */
	uint32_t region; /* hash of the region's name; 0: one region only */
	double bytes_per_sec; /* budget, datagram headers included */
	size_t datagram_max; /* bytes of facts in one datagram */
	size_t max_facts;
};

struct pb_digest;

struct pb_digest *pb_new_digest(
    struct pb_context *ctx, const struct pb_digest_policy *policy);
void pb_drop_digest(struct pb_context *ctx, struct pb_digest *digest);
/* A new budget; takes effect at once. */
void pb_set_digest_budget(struct pb_digest *digest, double bytes_per_sec);
void pb_set_digest_peers(
    struct pb_context *ctx, struct pb_digest *digest, size_t peers);

/*
 * States or renews a fact of this router. May be called at any rate: an
 * unchanged fact is renewed only when half of its time has passed. ttl_us: 0.1
 * s to 6,553 s. PB_EINVAL, or PB_EBUSY when more valuable facts fill the store.
 */
int pb_state_fact(struct pb_context *ctx, struct pb_digest *digest,
    enum pb_fact_kind kind, uint64_t subject, const void *value, size_t len,
    int64_t ttl_us);

/* Called for each received fact that was new or renewed here. */
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
/*
 * Monotonic time at which this router should start its next exchange: one
 * period after the last, or a quarter of it while there is an urgent change.
 * Asked again after each merge.
 */
int64_t pb_next_exchange(const struct pb_digest *digest, int64_t period_us);
/*
 * The same for a peer in another region: without the loads of cells and the
 * demand of accounts, which concern one region and would not fit the budget.
 */
size_t pb_pack_far_digest(
    struct pb_context *ctx, struct pb_digest *digest, uint8_t *buf, size_t cap);
/*
 * Merges a digest and encodes the answer to it, which leaves out the facts
 * that the digest held. *out_len is 0 when the budget allows no answer.
 */
int pb_answer_digest(struct pb_context *ctx, struct pb_digest *digest,
    const uint8_t *in, size_t in_len, pb_fact_fn *fn, void *arg, uint8_t *out,
    size_t cap, size_t *out_len);
/* The router that packed a digest. PB_EPROTO when the header is malformed. */
int pb_read_digest_sender(struct pb_context *ctx, const uint8_t *buf,
    size_t len, uint64_t *sender, uint64_t *incarnation);
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
