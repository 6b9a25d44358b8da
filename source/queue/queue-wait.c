#include "queue-internal.h"

#include <math.h>

/*
 * Time constants of the service and arrival rates, in seconds. The short one
 * follows a flood. The long one is for waits over LONG_WAIT_SEC: the noise
 * over 5 s made the queue refuse work that would have waited 0.7 times its
 * limit.
 */
static const double rate_sec[RATES] = {5.0, 30.0};
#define LONG_WAIT_SEC 10.0

/* Accounts looked at for one estimate; all 18,000 took 41 us a push. */
#define SCAN_MAX 256
/* Completions seen before the service rate counts as known. */
#define RATE_COMPLETIONS 16
/* Weight of a new item in the mean that sets a rank's quantum. */
#define QUANTUM_GAIN 0.05
/* Share of the service below which a rank counts as getting nothing. */
#define SHARE_MIN 1e-3

static void
age_rate(struct pb_queue *q, int k, double sec)
{
	double keep = exp(-sec / rate_sec[k]);
	double seen = rate_sec[k] * (1 - keep);
	struct queue_rate *rate = &q->rate[k];
	int i;

	for (i = 0; i < q->policy.rank_count; i++)
		rate->arrived[i] *= keep;
	rate->seen_sec = rate->seen_sec * keep + seen;
	if (q->blocked && q->turned_over) {
		rate->busy_work *= keep;
		rate->busy_sec = rate->busy_sec * keep + seen;
	}
}

/* Ages the sums up to now. */
static void
age_rates(struct pb_context *ctx, struct pb_queue *q)
{
	int64_t now = pb_now(ctx);
	double sec = (double)(now - q->rate_at) / PB_SEC;
	int k;

	q->rate_at = now;
	for (k = 0; sec > 0 && k < RATES; k++)
		age_rate(q, k, sec);
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
	int k;

	age_rates(ctx, q);
	for (k = 0; k < RATES; k++)
		q->rate[k].arrived[rank] += work;
	r->quantum += QUANTUM_GAIN * ((work > 0 ? work : 1) - r->quantum);
}

void
pb_complete_queue(struct pb_context *ctx, struct pb_queue *queue, uint32_t work)
{
	int k;

	queue->in_flight -= work < queue->in_flight ? work : queue->in_flight;
	if (!queue->blocked)
		return;
	age_rates(ctx, queue);
	/*
	 * Work that all started at once on idle engines completes little for
	 * a while, although the engines are at full speed. The rate counts
	 * from when as much has completed as is in flight.
	 */
	if (!queue->turned_over) {
		queue->turnover += work;
		queue->turned_over = queue->turnover >= queue->in_flight;
		return;
	}
	for (k = 0; k < RATES; k++)
		queue->rate[k].busy_work += work;
	if (queue->completions < RATE_COMPLETIONS)
		queue->completions++;
}

double
queue_service_rate(const struct pb_queue *q, int k)
{
	if (q->completions < RATE_COMPLETIONS || q->rate[k].busy_sec <= 0)
		return 0;
	return q->rate[k].busy_work / q->rate[k].busy_sec;
}

/*
 * Work of a list of accounts that is served before an item that waits for
 * this many rounds. A long list is estimated from its first SCAN_MAX.
 */
static double
list_ahead(const struct pb_queue *q, int rank, enum account_list list,
    const struct pb_queue_account *own, double rounds)
{
	const struct rank_state *r = &q->rank[rank];
	const struct pb_queue_account *a = r->lists[list].head;
	double ahead = 0, fair;
	uint32_t seen = 0;

	for (; a != NULL && seen < SCAN_MAX; a = a->next, seen++) {
		fair = rounds * a->weight;
		if (list == LIST_FRESH)
			fair = fmax(fair, a->deficit);
		if (a != own)
			ahead += fmin((double)a->work, fair);
	}
	return a == NULL ? ahead : ahead * r->lists[list].count / seen;
}

/* Work of the item's own rank that is served before it. */
static double
work_ahead(struct pb_queue *q, const struct pb_queue_item *item)
{
	double weight = item->weight > 0 ? item->weight : 1;
	double rounds = 0, ahead = 0;
	struct pb_queue_account *own;

	own = queue_find_account(q, item->rank, item->account);
	if (own != NULL) {
		ahead = (double)own->work;
		rounds = ahead / weight;
		if (own->list == LIST_RING)
			rounds += item->work / weight;
	}
	return ahead + list_ahead(q, item->rank, LIST_FRESH, own, rounds) +
	    list_ahead(q, item->rank, LIST_RING, own, rounds);
}

/* Share of the service that the rank has left by the more urgent ones. */
static double
share_left(const struct pb_queue *q, int rank, int k, double service)
{
	const struct queue_rate *rate = &q->rate[k];
	double share = 1;
	int i;

	for (i = 0; i < q->policy.rank_count; i++) {
		if (i < rank && rate->seen_sec > 0)
			share -= rate->arrived[i] / rate->seen_sec / service;
		else if (i > rank && q->rank[i].items > 0)
			share -= q->policy.rank[i].floor;
	}
	return fmax(share, SHARE_MIN);
}

int64_t
pb_expect_wait(struct pb_context *ctx, struct pb_queue *queue,
    const struct pb_queue_item *item)
{
	double ahead, floor, service, sec = 0, urgent = 0;
	int i, k;

	if (queue->items == 0 || item->rank < 0 ||
	    item->rank >= queue->policy.rank_count)
		return 0;
	age_rates(ctx, queue);
	for (i = 0; i < item->rank; i++)
		urgent += (double)queue->rank[i].work;
	ahead = work_ahead(queue, item);
	floor = fmax(queue->policy.rank[item->rank].floor, SHARE_MIN);
	for (k = RATES - 1; k >= 0; k--) {
		service = queue_service_rate(queue, k);
		if (service <= 0)
			return 0;
		sec = fmin(ahead / service / floor,
		    (urgent + ahead) / service /
			share_left(queue, item->rank, k, service));
		if (sec >= LONG_WAIT_SEC)
			break;
	}
	return (int64_t)(sec * PB_SEC);
}
