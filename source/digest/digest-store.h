#ifndef DIGEST_STORE_H
#define DIGEST_STORE_H

#include "poplarbeam/digest.h"

/* Bytes around a digest: IP and UDP headers, RPC call, length of the opaque. */
#define DIGEST_OVERHEAD (28 + 40 + 4)

#define DIGEST_MAGIC 0x50624431 /* "PbD1" */
/* Bytes of magic, fleet, sender, incarnation, region and revision_low. */
#define DIGEST_HEADER 36
#define DIGEST_FACT_MIN 8 /* bytes of the shortest encoded fact */
#define DIGEST_TTL_UNIT (100 * PB_MSEC) /* resolution of encoded times */
#define DIGEST_TTL_MAX 0xffff /* in DIGEST_TTL_UNIT */

/*
 * Number of send priorities. Facts of lower ranks are sent first. A fact starts
 * with the rank of its kind, and the rank grows with each send, because each
 * further send reaches fewer routers that do not have the fact yet.
 */
#define DIGEST_RANKS 48

/*
 * Sends of a renewal, which has the same value and a newer version. Renewals
 * matter less than changes: they are sent at about the rank of the loads and
 * fewer times. With 4 sends by each router that has the renewal, 98% of the
 * routers get it, so that a router rarely misses two renewals in a row.
 */
#define DIGEST_RENEW_SENDS 4

struct entry {
	struct pb_fact fact;
	int64_t expires_us;
	struct entry *hash_next;
	struct entry *age_prev, *age_next; /* of the same kind, oldest first */
	struct entry *send_prev, *send_next; /* of the same rank and kind */
	uint64_t packed_seq; /* seq of the last datagram with this fact */
	uint64_t merged_seq; /* seq of the last merge with this fact */
	/*
	 * Added to the rank of the kind. Grows with each send and, for some
	 * kinds, with each duplicate received.
	 */
	int rank_offset;
	int sends_left; /* 0: in no send list */
	int rank; /* of its send list, stored as load_rank can change */
	bool sent; /* this version was sent at least once */
};

struct entry_list {
	struct entry *head;
	struct entry *tail;
};

/* Newest known incarnation of a router. */
struct origin {
	uint64_t id;
	uint64_t incarnation;
	int64_t seen_us;
};

#define DIGEST_ORIGINS 2048 /* size of the table of routers; power of two */

struct pb_digest {
	struct pb_digest_policy policy;
	struct pb_digest_stats stats;
	struct entry **buckets;
	size_t bucket_mask;
	struct entry_list age[PB_FACT_KIND_END];
	struct entry_list send[DIGEST_RANKS][PB_FACT_KIND_END];
	struct origin *origins; /* open addressing */
	size_t origin_count;
	uint64_t version; /* version of the last published fact */
	uint64_t seq; /* counts datagrams encoded and merged */
	int sends_per_fact; /* of new and changed facts */
	int load_rank; /* rank of the first send of a load */
	double tokens; /* bytes that may be sent now (token bucket) */
	int64_t refilled_us;
	int64_t swept_us;
	int64_t started_us; /* start of the last exchange by this router */
};

/*
 * Returns true for kinds whose facts do not depend on the origin; see
 * enum pb_fact_kind.
 */
bool digest_is_shared(enum pb_fact_kind kind);
/* Returns true for kinds that concern one region: loads and demand. */
bool digest_is_regional(enum pb_fact_kind kind);
struct entry *digest_find(const struct pb_digest *d, enum pb_fact_kind kind,
    uint64_t subject, uint64_t origin);
/*
 * Adds an entry without a version. Returns NULL when the store is full of more
 * valuable facts or memory runs out.
 */
struct entry *digest_insert(struct pb_digest *d, const struct pb_fact *fact);
void digest_remove(struct pb_digest *d, struct entry *e);
/* Moves the entry to the send list of its new rank. */
void digest_queue(
    struct pb_digest *d, struct entry *e, int rank_offset, int sends_left);
/* Replaces the fact of an entry and schedules its sends. */
void digest_replace(struct pb_digest *d, struct entry *e,
    const struct pb_fact *fact, int64_t now_us);
/*
 * Returns true while a revision or a leaving upstream was sent less than twice,
 * or a contained fingerprint or a health change was not sent yet.
 */
bool digest_is_urgent(const struct pb_digest *d);
/* Lowers the priority and the remaining sends of an entry by one. */
void digest_count_send(struct pb_digest *d, struct entry *e);
/* Removes expired facts, at most once per second. */
void digest_sweep(struct pb_digest *d, int64_t now_us);
/*
 * Records the incarnation of a router and removes its facts of older
 * incarnations. Returns false when a newer incarnation is known.
 */
bool digest_accept_incarnation(
    struct pb_digest *d, uint64_t id, uint64_t incarnation, int64_t now_us);
/* Returns true when a newer incarnation of the router is known. */
bool digest_is_stale(
    const struct pb_digest *d, uint64_t id, uint64_t incarnation);
/*
 * Returns the low 32 bits of the settings revision known to this router, 0 when
 * there is none. Each digest carries them, so that a router that missed all
 * sends of a revision gets it from any peer.
 */
uint32_t digest_revision_low(const struct pb_digest *d);
/* Schedules the revision for the next datagram when the peer's is older. */
void digest_queue_newer_revision(struct pb_digest *d, uint32_t revision_low);
/* Publishes this router's own state again, as a change. */
void digest_refute(struct pb_digest *d, int64_t now_us);

#endif
