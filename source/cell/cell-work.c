#include "cell-internal.h"

/*
 * How long a crashed upstream gets no work, unless a new incarnation of it
 * appears earlier. Without this time the upstream, which has no load left,
 * would be the first choice for all work until its ejection is known.
 */
#define CRASH_HOLD PB_SEC
/*
 * How long an upstream gets no work after it could not be reached or refused to
 * run a request.
 */
#define NOT_RUN_HOLD (100 * PB_MSEC)

#define NO_UPSTREAM_RETRY PB_SEC
#define RETRY_AFTER_MIN (100 * PB_MSEC)

static void
return_limit(struct pb_context *ctx, struct pb_cell *cell, struct request *rq,
    uint32_t actual_work)
{
	if (rq->limited)
		pb_return_limit(ctx, cell->limiter, rq->work.account,
		    rq->work.work, actual_work);
	rq->limited = false;
}

void
pb_refuse_request(struct pb_context *ctx, struct pb_cell *cell,
    struct request *rq, enum pb_refusal reason, int64_t retry_after_us)
{
	struct pb_action action = {.kind = PB_ACTION_REFUSE,
	    .id = rq->work.id,
	    .reason = reason,
	    .retry_after_us = retry_after_us,
	    .waited_us = pb_now(ctx) - rq->since_us};

	return_limit(ctx, cell, rq, 0);
	pb_free_request(cell, rq);
	cell->refused++;
	cell->fn(cell->arg, &action);
}

void
pb_refuse_contained(
    struct pb_context *ctx, struct pb_cell *cell, uint64_t fingerprint)
{
	int64_t left = pb_containment_left(ctx, cell, fingerprint);
	struct request *rq, *next;
	uint32_t i;

	for (i = 0; i < cell->bucket_count; i++) {
		for (rq = cell->buckets[i]; rq != NULL; rq = next) {
			next = rq->chain;
			if (rq->running || rq->work.fingerprint != fingerprint)
				continue;
			pb_unqueue_request(ctx, cell, rq);
			pb_refuse_request(
			    ctx, cell, rq, PB_REFUSED_CONTAINED, left);
		}
	}
}

/* Starts a request on the upstream that already runs it, or refuses it. */
static void
resume_request(struct pb_context *ctx, struct pb_cell *cell, struct request *rq)
{
	int slot = pb_find_slot(cell->placement, rq->work.resume_on);
	int64_t unused;

	if (slot < 0) {
		pb_refuse_request(
		    ctx, cell, rq, PB_REFUSED_NO_UPSTREAM, NO_UPSTREAM_RETRY);
		return;
	}
	rq->limited = pb_take_limit(ctx, cell->limiter, rq->work.account,
			  &rq->work.limits, rq->work.work, &unused) == PB_OK;
	pb_charge_queue(ctx, cell->queue, rq->work.rank, rq->work.account,
	    rq->work.weight, rq->work.work);
	pb_start_request(ctx, cell, rq, slot);
}

static int64_t
retry_after(
    struct pb_context *ctx, struct pb_cell *cell, const struct request *rq)
{
	int64_t wait = pb_estimate_wait(ctx, cell->queue, &rq->item);

	return wait > RETRY_AFTER_MIN ? wait : RETRY_AFTER_MIN;
}

void
pb_refuse_displaced(
    struct pb_context *ctx, struct pb_cell *cell, struct pb_queue_item *list)
{
	struct pb_queue_item *next;

	for (; list != NULL; list = next) {
		struct request *rq = (struct request *)list;

		next = list->next;
		pb_refuse_request(ctx, cell, rq, PB_REFUSED_QUEUE_FULL,
		    retry_after(ctx, cell, rq));
	}
}

void
pb_refuse_waiting(struct pb_context *ctx, struct pb_cell *cell,
    struct request *rq, enum pb_refusal reason)
{
	pb_refuse_request(ctx, cell, rq, reason, retry_after(ctx, cell, rq));
}

static void
collect_expired(void *arg, struct pb_queue_item *item)
{
	struct pb_queue_item **list = arg;

	item->next = *list;
	*list = item;
}

void
pb_refuse_expired(struct pb_context *ctx, struct pb_cell *cell)
{
	struct pb_queue_item *expired = NULL, *item;
	struct request *rq, *next;

	pb_expire_queue(ctx, cell->queue, collect_expired, &expired);
	while ((item = expired) != NULL) {
		expired = item->next;
		pb_refuse_waiting(
		    ctx, cell, (struct request *)item, PB_REFUSED_DEADLINE);
	}
	for (rq = cell->parked; rq != NULL; rq = next) {
		next = rq->next;
		if (pb_now(ctx) < rq->item.expire_us)
			continue;
		pb_unqueue_request(ctx, cell, rq);
		pb_refuse_waiting(ctx, cell, rq, PB_REFUSED_DEADLINE);
	}
}

int
pb_submit_work(
    struct pb_context *ctx, struct pb_cell *cell, const struct pb_work *work)
{
	struct request *rq;
	int64_t after = 0;

	if (pb_find_request(cell, work->id) != NULL)
		return pb_set_error(ctx, PB_ECONFLICT, "submit_work", "",
		    "request %llu already waits or runs in this cell",
		    (unsigned long long)work->id);
	rq = pb_add_request(cell, work);
	if (rq == NULL) {
		struct pb_action action = {.kind = PB_ACTION_REFUSE,
		    .id = work->id,
		    .reason = PB_REFUSED_QUEUE_FULL,
		    .retry_after_us = PB_SEC};

		cell->refused++;
		cell->fn(cell->arg, &action);
		return PB_OK;
	}
	rq->since_us = pb_now(ctx);
	if (rq->work.rank >= cell->policy.queue.rank_count)
		rq->work.rank = cell->policy.queue.rank_count - 1;
	if (rq->work.rank < 0)
		rq->work.rank = 0;
	if (work->resume_on != 0) {
		resume_request(ctx, cell, rq);
		return PB_OK;
	}
	after = pb_containment_left(ctx, cell, work->fingerprint);
	if (after > 0) {
		pb_refuse_request(ctx, cell, rq, PB_REFUSED_CONTAINED, after);
		return PB_OK;
	}
	if (pb_live_slots(cell->placement) == 0) {
		pb_refuse_request(
		    ctx, cell, rq, PB_REFUSED_NO_UPSTREAM, NO_UPSTREAM_RETRY);
		return PB_OK;
	}
	if (pb_take_limit(ctx, cell->limiter, work->account, &work->limits,
		work->work, &after) != PB_OK) {
		pb_refuse_request(ctx, cell, rq, PB_REFUSED_LIMIT, after);
		return PB_OK;
	}
	rq->limited = true;
	pb_init_queue_item(ctx, cell, rq);
	if (pb_is_suspect(ctx, cell, rq))
		pb_park_request(ctx, cell, rq);
	else
		pb_queue_request(ctx, cell, rq);
	pb_serve_cell(ctx, cell);
	return PB_OK;
}

void
pb_cancel_work(struct pb_context *ctx, struct pb_cell *cell, uint64_t id)
{
	struct request *rq = pb_find_request(cell, id);

	if (rq == NULL || rq->running)
		return;
	pb_unqueue_request(ctx, cell, rq);
	return_limit(ctx, cell, rq, 0);
	pb_free_request(cell, rq);
	/* Requests that the removed one held back may be able to start. */
	pb_serve_cell(ctx, cell);
}

/*
 * Updates the strikes of fingerprints and the availability of the upstream from
 * the outcome of a request.
 */
static void
apply_outcome(struct pb_context *ctx, struct pb_cell *cell, struct request *rq,
    enum pb_outcome outcome)
{
	int64_t now = pb_now(ctx);

	switch (outcome) {
	case PB_OUTCOME_CRASHED:
		if (rq->strike_added)
			break;
		pb_add_crash_strikes(ctx, cell, rq);
		pb_hold_upstream(ctx, cell->placement, rq->upstream,
		    rq->incarnation, now + CRASH_HOLD, true);
		break;
	case PB_OUTCOME_NOT_RUN:
		pb_hold_upstream(ctx, cell->placement, rq->upstream,
		    rq->incarnation, now + NOT_RUN_HOLD, false);
		break;
	case PB_OUTCOME_DONE:
	case PB_OUTCOME_FAILED:
		pb_clear_suspect(ctx, cell, rq);
		break;
	case PB_OUTCOME_CANCELLED:
		break;
	}
}

void
pb_finish_work(struct pb_context *ctx, struct pb_cell *cell, uint64_t id,
    enum pb_outcome outcome, uint32_t actual_work)
{
	struct request *rq = pb_find_request(cell, id);
	bool ran = outcome != PB_OUTCOME_NOT_RUN;
	/* The limiter takes 0 units to mean that the request did not run. */
	uint32_t used = actual_work > 0 ? actual_work : 1;

	if (rq == NULL || !rq->running)
		return;
	apply_outcome(ctx, cell, rq, outcome);
	pb_unlink_running(cell, rq);
	pb_release_upstream(
	    ctx, cell->placement, rq->upstream, rq->incarnation, rq->work.work);
	return_limit(ctx, cell, rq, ran ? used : 0);
	pb_complete_queue(ctx, cell->queue, rq->work.work);
	pb_free_request(cell, rq);
	pb_serve_cell(ctx, cell);
}
