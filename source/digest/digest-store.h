#ifndef DIGEST_STORE_H
#define DIGEST_STORE_H

#include "poplarbeam/digest.h"

/* Bytes around an encoded digest: IP and UDP, RPC call, length of the opaque */
#define DIGEST_OVERHEAD (28 + 40 + 4)

#define DIGEST_MAGIC 0x50624431 /* "PbD1" */
/* Bytes: magic, fleet, sender, incarnation, region, mark. */
#define DIGEST_HEADER 36
#define DIGEST_FACT_MIN 8 /* bytes of the shortest encoded fact */
#define DIGEST_TTL_UNIT (100 * PB_MSEC) /* of the encoded time to live */
#define DIGEST_TTL_MAX 0xffff

/*
 * Ranks order the sends: lower ones go first. A fact's rank starts with its
 * kind's and grows with each send, because each further send reaches fewer
 * routers that do not have the fact yet.
 */
#define DIGEST_RANKS 48

/*
 * A renewal (same value, newer version) matters less than a change: it is sent
 * with the loads and less often. With 4 sends by each holder 98% of the routers
 * get it, so that missing two renewals in a row is rare.
 */
#define DIGEST_RENEW_SENDS 4

struct entry {
	struct pb_fact fact;
	int64_t expires_us;
	struct entry *hash_next;
	struct entry *age_prev, *age_next; /* of the same kind, oldest first */
	struct entry *send_prev, *send_next; /* of the same rank and kind */
	uint64_t packed; /* sequence number of the last datagram with it */
	uint64_t heard; /* sequence number of the last merge with it */
	int level; /* sends so far; for some kinds also duplicates received */
	int left; /* sends left; 0: in no send list */
	int rank; /* of its send list; load_rank may change meanwhile */
	bool sent; /* this version was sent at least once */
};

struct entry_list {
	struct entry *head;
	struct entry *tail;
};

/* Newest incarnation known of a router. */
struct origin {
	uint64_t id;
	uint64_t incarnation;
	int64_t seen_us;
};

#define DIGEST_ORIGINS 2048 /* power of two; routers remembered */

struct pb_digest {
	struct pb_digest_policy policy;
	struct pb_digest_stats stats;
	struct entry **buckets;
	size_t bucket_mask;
	struct entry_list age[PB_FACT_KIND_END];
	struct entry_list send[DIGEST_RANKS][PB_FACT_KIND_END];
	struct origin *origins; /* open addressing */
	size_t origin_count;
	uint64_t version; /* last one given to an own fact */
	uint64_t seq; /* of datagrams packed and merged */
	int sends; /* per fact */
	int load_rank; /* of the first send of a load */
	double tokens; /* bytes that may be sent now */
	int64_t refilled_us;
	int64_t swept_us;
	int64_t started_us; /* last exchange started by this router */
};

/* True for kinds on whose facts all origins agree; see digest.h. */
bool digest_is_shared(enum pb_fact_kind kind);
/* True for facts that concern one region: loads and demand. */
bool digest_is_regional(enum pb_fact_kind kind);
struct entry *digest_find(const struct pb_digest *d, enum pb_fact_kind kind,
    uint64_t subject, uint64_t origin);
/* NULL when the store is full of more valuable facts, or out of memory. */
struct entry *digest_insert(struct pb_digest *d, const struct pb_fact *fact);
void digest_remove(struct pb_digest *d, struct entry *e);
/* Puts the entry in the send list for its level and sends left. */
void digest_queue(struct pb_digest *d, struct entry *e, int level, int left);
/* Replaces the fact of an entry and schedules it anew. */
void digest_replace(struct pb_digest *d, struct entry *e,
    const struct pb_fact *fact, int64_t now_us);
/* True while a change of a valuable kind was sent less than twice. */
bool digest_is_urgent(const struct pb_digest *d);
/* Counts one send. */
void digest_count_send(struct pb_digest *d, struct entry *e);
void digest_sweep(struct pb_digest *d, int64_t now_us);
/*
 * Accepts an incarnation of a router; false when a newer one is known. Facts of
 * older incarnations are removed.
 */
bool digest_enter(
    struct pb_digest *d, uint64_t id, uint64_t incarnation, int64_t now_us);
/* The same check without any change. */
bool digest_is_stale(
    const struct pb_digest *d, uint64_t id, uint64_t incarnation);
/*
 * The low 32 bits of the revision known here. Each digest carries it, so that a
 * router that missed all sends of a revision gets it from any peer.
 */
uint32_t digest_mark(const struct pb_digest *d);
/* Schedules the revision for the next datagram when the peer's mark is older */
void digest_answer_mark(struct pb_digest *d, uint32_t mark);
/* States the router's own fact again as a change. */
void digest_refute(struct pb_digest *d, int64_t now_us);

#endif
