#ifndef CELL_INTERNAL_H
#define CELL_INTERNAL_H

#include "poplarbeam/cell.h"
#include "poplarbeam/lru.h"

#define FINGERPRINTS_MAX 4096

/* One request that waits or runs. The queue links it through item. */
struct request {
	struct pb_queue_item item; /* must be first */
	struct pb_work work;
	bool running;
	bool limited; /* counts towards the limits of the client account */
	bool strike_added; /* the crash of its upstream has been counted */
	bool parked; /* a suspect that waits outside the queue */
	bool must_park; /* became a suspect in the queue; to be parked */
	uint64_t upstream; /* upstream that runs it */
	uint64_t incarnation;
	int64_t since_us; /* when it was submitted */
	struct request *chain; /* next in the hash bucket of its id */
	struct request *next; /* in the list of running or parked requests */
	struct request *prev;
};

struct pb_cell {
	struct pb_cell_policy policy;
	pb_action_fn *fn;
	void *arg;
	struct pb_placement *placement;
	struct pb_queue *queue;
	struct pb_limiter *limiter;
	struct pb_lru *strikes; /* fingerprint -> packed struct strike */
	/*
	 * Crashes that have added a strike. The key is a hash of fingerprint,
	 * upstream and incarnation; the value is not used.
	 */
	struct pb_lru *counted_crashes;
	struct request **buckets; /* requests by id */
	uint32_t bucket_count; /* power of two */
	uint32_t request_count;
	struct request *running;
	uint32_t in_flight;
	/*
	 * Waiting suspects in order of rank. They wait outside the queue
	 * because in the queue each would block its client account until an
	 * upstream without other suspects has room. With a suspect at the head
	 * of every account, the cell would start no work at all.
	 */
	struct request *parked;
	uint32_t parked_count;
	int64_t trimmed_us; /* when the limiter was last trimmed */
	/*
	 * Slots reserved in this pass over the queue for waiting requests that
	 * may use only some of the live slots, by the rank of the request.
	 */
	uint64_t reserved_slots[PB_RANKS_MAX];
	uint64_t suspect_slots; /* cached mask of slots that run suspects */
	bool suspect_slots_known;
	uint64_t started;
	uint64_t refused;
	uint64_t contained;
};

/*
 * Strikes of one fingerprint, which are crashes of upstreams that were running
 * a request with it, and its containment.
 */
struct strike {
	uint32_t count;
	bool remote; /* another router reported the containment */
	int64_t until_us; /* when the containment ends or strikes expire */
};

/* cell-request.c */
struct request *pb_find_request(struct pb_cell *cell, uint64_t id);
struct request *pb_add_request(
    struct pb_cell *cell, const struct pb_work *work);
/* Frees a request that is neither in the queue nor running. */
void pb_free_request(struct pb_cell *cell, struct request *rq);
void pb_link_running(struct pb_cell *cell, struct request *rq);
void pb_unlink_running(struct pb_cell *cell, struct request *rq);

/* cell-strike.c */
/* Returns false when the fingerprint has no strikes. */
bool pb_read_strike(struct pb_context *ctx, struct pb_cell *cell,
    uint64_t fingerprint, struct strike *out);
/* Returns how long the fingerprint remains contained; 0: not contained. */
int64_t pb_containment_left(
    struct pb_context *ctx, struct pb_cell *cell, uint64_t fingerprint);
/* Returns true when the fingerprint of the request has strikes. */
bool pb_is_suspect(
    struct pb_context *ctx, struct pb_cell *cell, const struct request *rq);
/* Returns the slots that run suspects, as a bit mask. */
uint64_t pb_suspect_slots(struct pb_context *ctx, struct pb_cell *cell);
/*
 * Returns true when a request with the same fingerprint runs. Copies of a
 * suspect run one at a time; otherwise a caller that resends the request
 * immediately could crash several upstreams with it.
 */
bool pb_is_duplicate_running(
    const struct pb_cell *cell, const struct request *rq);
/*
 * Adds a strike to the fingerprint of every request that runs on the crashed
 * upstream of rq, and refuses waiting requests that are contained as a result.
 */
void pb_add_crash_strikes(
    struct pb_context *ctx, struct pb_cell *cell, const struct request *rq);
/* Removes the strikes of the request's fingerprint unless it is contained. */
void pb_clear_suspect(
    struct pb_context *ctx, struct pb_cell *cell, const struct request *rq);

/* cell-serve.c */
void pb_init_queue_item(
    struct pb_context *ctx, struct pb_cell *cell, struct request *rq);
/*
 * Adds the request to the queue or refuses it, and refuses the requests that
 * the queue displaces for it.
 */
void pb_queue_request(
    struct pb_context *ctx, struct pb_cell *cell, struct request *rq);
/* Adds a suspect to the parked requests; refuses it at PARKED_MAX of them. */
void pb_park_request(
    struct pb_context *ctx, struct pb_cell *cell, struct request *rq);
/* Removes a waiting request from the queue or from the parked requests. */
void pb_unqueue_request(
    struct pb_context *ctx, struct pb_cell *cell, struct request *rq);
void pb_start_request(
    struct pb_context *ctx, struct pb_cell *cell, struct request *rq, int slot);
/* Starts all waiting requests that can start now. */
void pb_serve_cell(struct pb_context *ctx, struct pb_cell *cell);

/* cell-work.c */
void pb_refuse_request(struct pb_context *ctx, struct pb_cell *cell,
    struct request *rq, enum pb_refusal reason, int64_t retry_after_us);
/* Refuses the request and suggests a retry after the expected queue wait. */
void pb_refuse_waiting(struct pb_context *ctx, struct pb_cell *cell,
    struct request *rq, enum pb_refusal reason);
/* Refuses requests that the queue displaced, a list linked by next. */
void pb_refuse_displaced(
    struct pb_context *ctx, struct pb_cell *cell, struct pb_queue_item *list);
/* Refuses all waiting requests with the fingerprint. */
void pb_refuse_contained(
    struct pb_context *ctx, struct pb_cell *cell, uint64_t fingerprint);
void pb_refuse_expired(struct pb_context *ctx, struct pb_cell *cell);

#endif
