#include "queue-internal.h"

#include <math.h>

/* Time constant of the service and arrival rates, in seconds. */
#define RATE_SEC 5.0
/* Completions seen before the service rate counts as known. */
#define RATE_COMPLETIONS 16
/* Weight of a new item in the mean that sets a rank's quantum. */
#define QUANTUM_GAIN 0.05
/* Share of the service below which a rank counts as getting nothing. */
#define SHARE_MIN 1e-3
#define WAIT_MAX_SEC 1e6

/* Ages the sums up to now. */
static void
age_rates(struct pb_context *ctx, struct pb_queue *q)
{
	int64_t now = pb_now(ctx);
	double sec = (double)(now - q->rate_at) / PB_SEC;
	double keep = exp(-sec / RATE_SEC);
	int i;

	q->rate_at = now;
	if (sec <= 0)
		return;
	for (i = 0; i < q->policy.rank_count; i++)
		q->rank[i].arrived *= keep;
	q->seen_sec = q->seen_sec * keep + RATE_SEC * (1 - keep);
	/*
	 * Time counts from the first completion: work that all started at
	 * once on idle engines completes nothing for a while, although the
	 * engines are at full speed.
	 */
	if (q->blocked && q->completions > 0) {
		q->busy_work *= keep;
		q->busy_sec = q->busy_sec * keep + RATE_SEC * (1 - keep);
	}
}

void
queue_set_blocked(struct pb_context *ctx, struct pb_queue *q, bool on)
{
	if (q->blocked == on)
		return;
	age_rates(ctx, q);
	q->blocked = on;
}

void
queue_note_arrival(
    struct pb_context *ctx, struct pb_queue *q, int rank, uint32_t work)
{
	struct rank_state *r = &q->rank[rank];

	age_rates(ctx, q);
	r->arrived += work;
	r->quantum += QUANTUM_GAIN * ((work > 0 ? work : 1) - r->quantum);
}

void
pb_complete_queue(struct pb_context *ctx, struct pb_queue *queue, uint32_t work)
{
	if (!queue->blocked)
		return;
	age_rates(ctx, queue);
	queue->busy_work += work;
	if (queue->completions < RATE_COMPLETIONS)
		queue->completions++;
}

double
queue_service_rate(const struct pb_queue *q)
{
	if (q->completions < RATE_COMPLETIONS || q->busy_sec <= 0)
		return 0;
	return q->busy_work / q->busy_sec;
}

/* Work of the item's own rank that is served before it. */
static double
work_ahead(struct pb_queue *q, const struct pb_queue_item *item)
{
	const struct rank_state *r = &q->rank[item->rank];
	struct pb_queue_account *a, *own;
	double weight = item->weight > 0 ? item->weight : 1;
	double rounds = 0, ahead = 0, fair;
	int i;

	own = queue_find_account(q, item->rank, item->account);
	if (own != NULL && own->list == LIST_RING)
		rounds = ((double)own->work + item->work) / weight;
	else if (own != NULL)
		rounds = (double)own->work / weight;
	for (i = 0; i < 2; i++)
		for (a = r->lists[i].head; a != NULL; a = a->next) {
			fair = rounds * a->weight;
			if (a != own && i == LIST_FRESH && fair < a->deficit)
				fair = a->deficit;
			ahead += a == own ? (double)a->work
					  : fmin((double)a->work, fair);
		}
	return ahead;
}

int64_t
pb_expect_wait(struct pb_context *ctx, struct pb_queue *queue,
    const struct pb_queue_item *item)
{
	double rate, ahead, urgent = 0, share = 1, floor, sec, by_floor;
	int i;

	if (queue->items == 0)
		return 0;
	age_rates(ctx, queue);
	rate = queue_service_rate(queue);
	if (rate <= 0 || item->rank < 0 ||
	    item->rank >= queue->policy.rank_count)
		return 0;
	/* More urgent work goes first, also what arrives during the wait. */
	for (i = 0; i < queue->policy.rank_count; i++) {
		const struct rank_state *r = &queue->rank[i];

		if (i < item->rank) {
			urgent += (double)r->work;
			if (queue->seen_sec > 0)
				share -= r->arrived / queue->seen_sec / rate;
		} else if (i > item->rank && r->items > 0) {
			share -= queue->policy.rank[i].floor;
		}
	}
	ahead = work_ahead(queue, item);
	floor = queue->policy.rank[item->rank].floor;
	sec =
	    share > SHARE_MIN ? (urgent + ahead) / rate / share : WAIT_MAX_SEC;
	by_floor = floor > SHARE_MIN ? ahead / rate / floor : WAIT_MAX_SEC;
	return (int64_t)(fmin(fmin(sec, by_floor), WAIT_MAX_SEC) * PB_SEC);
}
