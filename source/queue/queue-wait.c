#include "queue-internal.h"

#include <math.h>

/*
 * Time constants of the service and arrival rates, in seconds. The short one
 * follows a sudden increase of requests. The long one is for waits of
 * LONG_WAIT_SEC or more: with rates over 5 s, noise made the queue refuse work
 * that would have waited only 0.7 times its limit.
 */
static const double time_constant_sec[RATES] = {5.0, 30.0};
#define LONG_WAIT_SEC 10.0

/* Maximum accounts read per list; reading all 18,000 took 41 us a push. */
#define SCAN_MAX 256
/* Completions needed before the service rate is used. */
#define RATE_COMPLETIONS 16
/* Weight of a new item in the mean that sets a rank's quantum. */
#define QUANTUM_GAIN 0.05
/* Lower bound for a rank's share of the service rate. */
#define SHARE_MIN 1e-3

static void
decay_rate(struct pb_queue *q, int k, double sec)
{
	double keep = exp(-sec / time_constant_sec[k]);
	double seen = time_constant_sec[k] * (1 - keep);
	struct queue_rate *rate = &q->rate[k];
	int i;

	for (i = 0; i < q->policy.rank_count; i++)
		rate->arrived[i] *= keep;
	rate->observed_sec = rate->observed_sec * keep + seen;
	if (q->blocked && q->warmed_up) {
		rate->busy_work *= keep;
		rate->busy_sec = rate->busy_sec * keep + seen;
	}
}

/* Decays the sums up to the current time. */
static void
decay_rates(struct pb_context *ctx, struct pb_queue *q)
{
	int64_t now = pb_now(ctx);
	double sec = (double)(now - q->rate_at) / PB_SEC;
	int k;

	q->rate_at = now;
	for (k = 0; sec > 0 && k < RATES; k++)
		decay_rate(q, k, sec);
}

void
queue_set_blocked(struct pb_context *ctx, struct pb_queue *q, bool on)
{
	if (q->blocked == on)
		return;
	decay_rates(ctx, q);
	q->blocked = on;
}

void
queue_note_arrival(
    struct pb_context *ctx, struct pb_queue *q, int rank, uint32_t work)
{
	struct rank_state *r = &q->rank[rank];
	int k;

	decay_rates(ctx, q);
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
	decay_rates(ctx, queue);
	/*
	 * When much work starts at once on idle upstreams, little of it
	 * completes at first, although the upstreams run at full speed. The
	 * rate is measured only after as much work has completed as is in
	 * flight.
	 */
	if (!queue->warmed_up) {
		queue->warmup_work += work;
		queue->warmed_up = queue->warmup_work >= queue->in_flight;
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
 * Estimates the work in a list of accounts that is served before an item that
 * waits for the given number of rounds. For a long list, the result is
 * extrapolated from the first SCAN_MAX accounts.
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
		if (list == LIST_UNDER_SHARE)
			fair = fmax(fair, a->deficit);
		if (a != own)
			ahead += fmin((double)a->work, fair);
	}
	return a == NULL ? ahead : ahead * r->lists[list].count / seen;
}

/* Estimates the work of the item's own rank that is served before it. */
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
		if (own->list == LIST_ROUND_ROBIN)
			rounds += item->work / weight;
	}
	return ahead +
	    list_ahead(q, item->rank, LIST_UNDER_SHARE, own, rounds) +
	    list_ahead(q, item->rank, LIST_ROUND_ROBIN, own, rounds);
}

/*
 * Returns the share of the service rate that is left for a rank after the
 * arrivals of more urgent ranks and the floors of less urgent ones.
 */
static double
remaining_share(const struct pb_queue *q, int rank, int k, double service)
{
	const struct queue_rate *rate = &q->rate[k];
	double share = 1;
	int i;

	for (i = 0; i < q->policy.rank_count; i++) {
		if (i < rank && rate->observed_sec > 0)
			share -=
			    rate->arrived[i] / rate->observed_sec / service;
		else if (i > rank && q->rank[i].items > 0)
			share -= q->policy.rank[i].floor;
	}
	return fmax(share, SHARE_MIN);
}

int64_t
pb_estimate_wait(struct pb_context *ctx, struct pb_queue *queue,
    const struct pb_queue_item *item)
{
	double ahead, floor, service, sec = 0, urgent = 0;
	int i, k;

	if (queue->items == 0 || item->rank < 0 ||
	    item->rank >= queue->policy.rank_count)
		return 0;
	decay_rates(ctx, queue);
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
			remaining_share(queue, item->rank, k, service));
		if (sec >= LONG_WAIT_SEC)
			break;
	}
	return (int64_t)(sec * PB_SEC);
}
