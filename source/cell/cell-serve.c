#include "cell-internal.h"

#include <string.h>

/* Bounds the memory that copies of suspects use outside the queue. */
#define PARKED_MAX 256

void
pb_init_queue_item(
    struct pb_context *ctx, struct pb_cell *cell, struct request *rq)
{
	const struct pb_work *work = &rq->work;
	int64_t limit = cell->policy.queue.rank[work->rank].wait_limit_us;
	int64_t wait = work->wait_us;

	if (limit > 0 && limit < wait)
		wait = limit;
	rq->item = (struct pb_queue_item){.id = work->id,
	    .account = work->account,
	    .weight = work->weight,
	    .rank = work->rank,
	    .work = work->work,
	    .bytes = work->bytes,
	    .since_us = pb_now(ctx),
	    .expire_us = pb_now(ctx) + wait};
}

void
pb_queue_request(
    struct pb_context *ctx, struct pb_cell *cell, struct request *rq)
{
	struct pb_queue_item *displaced = NULL;
	int rc = pb_push_queue(ctx, cell->queue, &rq->item, &displaced);

	if (rc != PB_OK)
		pb_refuse_waiting(ctx, cell, rq,
		    rc == PB_ETIMEDOUT ? PB_REFUSED_DEADLINE
				       : PB_REFUSED_QUEUE_FULL);
	pb_refuse_displaced(ctx, cell, displaced);
}

/*
 * Orders parked requests by rank and submission time, so that a request that is
 * parked again returns to its former position.
 */
static bool
goes_before(const struct request *a, const struct request *b)
{
	if (a->work.rank != b->work.rank)
		return a->work.rank < b->work.rank;
	if (a->since_us != b->since_us)
		return a->since_us < b->since_us;
	return a->work.id < b->work.id;
}

void
pb_park_request(
    struct pb_context *ctx, struct pb_cell *cell, struct request *rq)
{
	struct request *prev = NULL, *next = cell->parked;

	if (cell->parked_count >= PARKED_MAX) {
		pb_refuse_waiting(ctx, cell, rq, PB_REFUSED_QUEUE_FULL);
		return;
	}
	while (next != NULL && !goes_before(rq, next)) {
		prev = next;
		next = next->next;
	}
	rq->prev = prev;
	rq->next = next;
	if (next != NULL)
		next->prev = rq;
	if (prev != NULL)
		prev->next = rq;
	else
		cell->parked = rq;
	rq->parked = true;
	cell->parked_count++;
}

static void
unlink_parked(struct pb_cell *cell, struct request *rq)
{
	if (rq->next != NULL)
		rq->next->prev = rq->prev;
	if (rq->prev != NULL)
		rq->prev->next = rq->next;
	else
		cell->parked = rq->next;
	rq->parked = false;
	cell->parked_count--;
}

void
pb_unqueue_request(
    struct pb_context *ctx, struct pb_cell *cell, struct request *rq)
{
	if (rq->parked)
		unlink_parked(cell, rq);
	else
		pb_remove_queue(ctx, cell->queue, &rq->item);
}

void
pb_start_request(
    struct pb_context *ctx, struct pb_cell *cell, struct request *rq, int slot)
{
	struct pb_action action = {.kind = PB_ACTION_START,
	    .id = rq->work.id,
	    .upstream = pb_slot_upstream(cell->placement, slot),
	    .choice = rq->work.resume_on != 0 ? PB_CHOICE_RESUMED
					      : pb_last_choice(cell->placement),
	    .waited_us = pb_now(ctx) - rq->since_us};

	rq->upstream = action.upstream;
	rq->incarnation = pb_slot_incarnation(cell->placement, slot);
	if (rq->work.resume_on != 0)
		pb_charge_resumed_work(
		    ctx, cell->placement, slot, rq->work.chat, rq->work.work);
	else
		pb_charge_upstream(
		    ctx, cell->placement, slot, rq->work.chat, rq->work.work);
	pb_link_running(cell, rq);
	cell->suspect_slots_known = false;
	cell->started++;
	cell->fn(cell->arg, &action);
}

/* Returns the slots that the request may use, regardless of their load. */
static uint64_t
candidate_slots(
    struct pb_context *ctx, struct pb_cell *cell, const struct request *rq)
{
	uint64_t slots = pb_live_slots(cell->placement), avoid = 0;
	int slot;

	if (rq->work.avoid_upstream != 0) {
		slot = pb_find_slot(cell->placement, rq->work.avoid_upstream);
		if (slot >= 0)
			avoid = 1ULL << slot;
		if ((slots & ~avoid) != 0)
			slots &= ~avoid;
	}
	if (pb_is_suspect(ctx, cell, rq)) {
		slots &= ~pb_suspect_slots(ctx, cell);
		if (slots != 0 && pb_is_duplicate_running(cell, rq))
			slots = 0;
	}
	return slots;
}

struct serve_pass {
	struct pb_context *ctx;
	struct pb_cell *cell;
	bool park; /* some requests in the queue must be parked */
};

/*
 * Starts the request if it fits on an upstream now. Otherwise no later request
 * may use an upstream that this request waits for, even a smaller one that
 * would fit, because smaller requests could delay a larger one indefinitely. A
 * request larger than the capacity of every upstream starts on an idle one;
 * no other requests are held back for it.
 */
static enum pb_try_result
place_request(struct pb_context *ctx, struct pb_cell *cell, struct request *rq,
    double headroom)
{
	uint64_t candidates = candidate_slots(ctx, cell, rq), reserved = 0;
	int rank = rq->work.rank, slot, i;

	for (i = 0; i <= rank; i++)
		reserved |= cell->reserved_slots[i];
	if ((candidates & ~reserved) != 0) {
		slot = pb_choose_upstream(ctx, cell->placement, rq->work.chat,
		    rq->work.work, headroom, ~candidates | reserved);
		if (slot >= 0) {
			pb_start_request(ctx, cell, rq, slot);
			return PB_TRY_PLACED;
		}
	}
	if (!pb_fits_capacity(
		cell->placement, rq->work.work, headroom, candidates))
		return PB_TRY_SKIPPED;
	if (candidates == pb_live_slots(cell->placement))
		return PB_TRY_NO_CAPACITY;
	cell->reserved_slots[rank] |= candidates;
	return PB_TRY_SKIPPED;
}

static enum pb_try_result
try_item(void *arg, struct pb_queue_item *item, double headroom)
{
	struct serve_pass *pass = arg;
	struct request *rq = (struct request *)item;

	/* The request became a suspect while it waited. */
	if (pb_is_suspect(pass->ctx, pass->cell, rq)) {
		rq->must_park = pass->park = true;
		return PB_TRY_SKIPPED;
	}
	return place_request(pass->ctx, pass->cell, rq, headroom);
}

/* Parks the queued requests that the last pass marked. */
static void
park_marked(struct pb_context *ctx, struct pb_cell *cell)
{
	struct request *rq, *next;
	uint32_t i;

	for (i = 0; i < cell->bucket_count; i++) {
		for (rq = cell->buckets[i]; rq != NULL; rq = next) {
			next = rq->chain;
			if (!rq->must_park)
				continue;
			rq->must_park = false;
			pb_unqueue_request(ctx, cell, rq);
			pb_park_request(ctx, cell, rq);
		}
	}
}

/* Tries to start the parked requests that no queued request outranks. */
static void
serve_parked(struct pb_context *ctx, struct pb_cell *cell)
{
	struct request *rq, *next;
	struct pb_queue_stats stats;
	uint64_t live = pb_live_slots(cell->placement);
	int urgent = 0;

	if (cell->parked == NULL)
		return;
	pb_read_queue_stats(cell->queue, &stats);
	while (urgent < cell->policy.queue.rank_count &&
	    stats.items_rank[urgent] == 0)
		urgent++;
	for (rq = cell->parked; rq != NULL && rq->work.rank <= urgent;
	     rq = next) {
		const struct pb_work *w = &rq->work;

		next = rq->next;
		if ((live & ~pb_suspect_slots(ctx, cell)) == 0)
			break;
		unlink_parked(cell, rq);
		if (place_request(ctx, cell, rq,
			cell->policy.queue.rank[w->rank].headroom) ==
		    PB_TRY_PLACED)
			pb_charge_queue(ctx, cell->queue, w->rank, w->account,
			    w->weight, w->work);
		else
			pb_park_request(ctx, cell, rq);
	}
}

void
pb_serve_cell(struct pb_context *ctx, struct pb_cell *cell)
{
	struct serve_pass pass = {ctx, cell, true};

	memset(cell->reserved_slots, 0, sizeof(cell->reserved_slots));
	cell->suspect_slots_known = false;
	serve_parked(ctx, cell);
	while (pass.park) {
		pass.park = false;
		pb_serve_queue(ctx, cell->queue, try_item, &pass);
		if (pass.park)
			park_marked(ctx, cell);
		serve_parked(ctx, cell);
	}
}
