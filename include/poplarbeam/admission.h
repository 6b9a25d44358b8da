#ifndef POPLARBEAM_ADMISSION_H
#define POPLARBEAM_ADMISSION_H

#include "poplarbeam/base.h"

#include <sys/queue.h>

/*
 * Admission control by rank for the requests to one upstream service. While
 * requests of a rank are late, less urgent requests may occupy only a part of
 * each instance's slots and wait in a queue here, so that urgent requests find
 * small batches. A few slots are reserved for each rank. The module uses no
 * sockets and no threads, and takes the time from the context's clock.
 */

/* Rank 0 is the most urgent one that the service has. */
#define PB_RANKS 10

struct pb_admission;

/* A queue entry. The caller sets owner and zeroes the other fields. */
struct pb_waiter {
	void *owner;
	TAILQ_ENTRY(pb_waiter) entry;
	int rank;
	bool queued;
};

/* Returns NULL if out of memory. */
struct pb_admission *pb_new_admission(struct pb_context *ctx);
/* The queues must be empty. */
void pb_drop_admission(struct pb_context *ctx, struct pb_admission *admission);

/*
 * Sets the number of slots of all instances of the service and the number of
 * routers that share them.
 */
void pb_set_admission_slots(
    struct pb_admission *admission, int64_t slots, size_t routers);
/* Records that a request was sent to an instance, or has ended there. */
void pb_note_start(
    struct pb_context *ctx, struct pb_admission *admission, int rank);
void pb_note_end(struct pb_admission *admission, int rank);

/*
 * Records whether the response to a request of the rank started on time. late
 * is true if it started late or not at all.
 */
void pb_note_late(struct pb_context *ctx, struct pb_admission *admission,
    int rank, bool late);

/*
 * Returns the fraction of an instance's slots up to which a request of the rank
 * may fill the instance now, or 0 if the load of the instance does not matter.
 */
double pb_find_fill_limit(
    struct pb_context *ctx, const struct pb_admission *admission, int rank);
/* Records that the response to a request of the rank has started. */
void pb_note_served(
    struct pb_context *ctx, struct pb_admission *admission, int rank);
/*
 * Returns true if more urgent ranks starve this rank. The request that is sent
 * now must then get the highest priority at its instance. The boost counts as a
 * served request, so boosts are rare.
 */
bool pb_take_boost(
    struct pb_context *ctx, struct pb_admission *admission, int rank);
/* Returns true if a request of this rank or of a more urgent rank waits. */
bool pb_has_waiters_ahead(const struct pb_admission *admission, int rank);

/*
 * Appends a request to the queue of its rank. Returns false if the request
 * would not start within limit_us at the rate at which requests of its rank
 * have been started lately.
 */
bool pb_enqueue_waiter(struct pb_context *ctx, struct pb_admission *admission,
    struct pb_waiter *waiter, int rank, int64_t limit_us);
/* Removes a request from its queue. Does nothing if it is not queued. */
void pb_remove_waiter(struct pb_admission *admission, struct pb_waiter *waiter);
/* Returns the oldest queued request of the rank, or NULL. */
struct pb_waiter *pb_first_waiter(
    const struct pb_admission *admission, int rank);
size_t pb_count_waiters(const struct pb_admission *admission);
/* Returns the number of waiting requests of this rank. */
size_t pb_count_waiters_of(const struct pb_admission *admission, int rank);

#endif
