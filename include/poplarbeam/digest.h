#ifndef POPLARBEAM_DIGEST_H
#define POPLARBEAM_DIGEST_H

#include "poplarbeam/base.h"

/*
 * The store of the facts that routers exchange by gossip. A digest is one
 * datagram of facts. The store selects the facts that are sent next within a
 * byte budget and merges received facts. The functions send nothing and take no
 * locks: the caller serialises calls.
 */

/*
 * In order of priority: the first kinds are sent first and dropped last. The
 * priority of a fact falls with each send, so that new facts of a less valuable
 * kind are sent before old ones of a more valuable kind.
 *
 * Revisions, leaving upstreams and contained fingerprints are shared: they do
 * not depend on the origin, only one fact is kept for a subject, and the
 * greater value replaces the lesser one. Values are compared bytewise, so they
 * are in network byte order.
 */
enum pb_fact_kind {
	PB_FACT_ROUTER = 1, /* state of a router */
	PB_FACT_REVISION, /* settings revision in force; subject 0 */
	PB_FACT_LEAVING, /* upstream that is leaving */
	PB_FACT_CONTAINED, /* fingerprint that crashes upstreams */
	PB_FACT_HEALTH, /* upstream observed as down or healthy */
	PB_FACT_CELL_LOAD, /* load and capacity of a cell */
	PB_FACT_ACCOUNT, /* high demand of an account at a cell */
	PB_FACT_KIND_END
};

#define PB_FACT_VALUE_MAX 48 /* bytes */

struct pb_fact {
	uint8_t kind;
	uint64_t subject; /* hash of instance, cell, fingerprint or account */
	uint64_t origin; /* router that published the fact */
	uint64_t incarnation; /* of the origin */
	uint64_t version; /* grows per (kind, subject, origin); 32 bits used */
	uint8_t len;
	uint8_t value[PB_FACT_VALUE_MAX];
	uint32_t ttl_ms; /* remaining time to live */
};

struct pb_digest_policy {
	uint64_t self; /* id_hash of this router */
	uint64_t incarnation;
	uint64_t fleet; /* hash of the fleet's name */
	uint32_t region; /* hash of the region's name; 0 for a single region */
	double bytes_per_sec; /* budget, including datagram headers */
	size_t datagram_max; /* bytes of facts in one datagram */
	size_t max_facts;
};

struct pb_digest;

struct pb_digest *pb_new_digest(
    struct pb_context *ctx, const struct pb_digest_policy *policy);
void pb_drop_digest(struct pb_context *ctx, struct pb_digest *digest);
/* Sets the byte budget; takes effect immediately. */
void pb_set_digest_budget(struct pb_digest *digest, double bytes_per_sec);
void pb_set_digest_peers(
    struct pb_context *ctx, struct pb_digest *digest, size_t peers);

/*
 * Publishes or renews a fact of this router. May be called at any rate: an
 * unchanged fact is renewed only when half of its time to live has passed.
 * ttl_us is 0.1 s to 6,553 s. Returns PB_EINVAL for an argument out of range,
 * or PB_EBUSY when the store is full of more valuable facts.
 */
int pb_publish_fact(struct pb_context *ctx, struct pb_digest *digest,
    enum pb_fact_kind kind, uint64_t subject, const void *value, size_t len,
    int64_t ttl_us);

/* Called for each received fact that is new or newer than the stored one. */
typedef void pb_fact_fn(void *arg, const struct pb_fact *fact);

/*
 * Encodes the facts of the highest priority into buf as XDR. Returns the
 * length, or 0 when the budget allows no datagram now.
 */
size_t pb_pack_digest(
    struct pb_context *ctx, struct pb_digest *digest, uint8_t *buf, size_t cap);
/*
 * Decodes a digest and merges it. Returns PB_EPROTO and changes no fact when
 * the digest is malformed, from another fleet or from an old incarnation.
 */
int pb_merge_digest(struct pb_context *ctx, struct pb_digest *digest,
    const uint8_t *buf, size_t len, pb_fact_fn *fn, void *arg);
/*
 * Returns the monotonic time at which this router should start its next
 * exchange: one period after the last, or a quarter of a period after it while
 * there is an urgent change. Must be called again after each merge.
 */
int64_t pb_next_exchange(const struct pb_digest *digest, int64_t period_us);
/*
 * Like pb_pack_digest, for a peer in another region: leaves out the loads of
 * cells and the demand of accounts, which concern one region and would not fit
 * the budget.
 */
size_t pb_pack_cross_region_digest(
    struct pb_context *ctx, struct pb_digest *digest, uint8_t *buf, size_t cap);
/*
 * Merges a digest and encodes the answer to it, which leaves out the facts
 * that the digest contained. *out_len is 0 when the budget allows no answer.
 */
int pb_answer_digest(struct pb_context *ctx, struct pb_digest *digest,
    const uint8_t *in, size_t in_len, pb_fact_fn *fn, void *arg, uint8_t *out,
    size_t cap, size_t *out_len);
/*
 * Reads the router that encoded a digest. Returns PB_EPROTO when the header is
 * malformed.
 */
int pb_read_digest_sender(struct pb_context *ctx, const uint8_t *buf,
    size_t len, uint64_t *sender, uint64_t *incarnation);
/* Charges the bytes of other control traffic to the digest budget. */
void pb_charge_digest_budget(
    struct pb_context *ctx, struct pb_digest *digest, size_t bytes);

/* Calls fn for each stored fact of a kind; returns the number of facts. */
size_t pb_each_fact(struct pb_context *ctx, struct pb_digest *digest,
    enum pb_fact_kind kind, pb_fact_fn *fn, void *arg);

struct pb_digest_stats {
	uint64_t sent_bytes;
	uint64_t received_bytes;
	uint64_t sent_facts;
	uint64_t dropped_facts; /* replaced or removed before the first send */
	uint64_t rejected; /* digests rejected */
	size_t facts;
};

void pb_read_digest_stats(
    const struct pb_digest *digest, struct pb_digest_stats *stats);

#endif
