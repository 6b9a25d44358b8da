#include "limit-internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time after which a report of another cell is ignored. */
#define REPORT_EXPIRY_US (5 * PB_SEC)
/*
 * Part of a limit that is divided equally, also between cells without reported
 * demand, so that a cell can admit its first requests when demand begins there.
 */
#define RESERVE 0.04
/* Refused requests are ignored up to this ratio to admitted ones. */
#define REFUSED_MIN 0.01F
#define RATE_MIN 0.01F /* lower bound for admitted requests per second */

/* Demand of one account, summed over the other cells. */
struct demand_sum {
	double demand_ratio;
	uint32_t in_flight;
	int cells_reporting; /* cells whose report has not expired */
	int cells_with_demand; /* of these, cells that report the account */
};

double
limit_demand_ratio(const struct pb_account_limits *limits,
    const struct pb_account_demand *demand)
{
	double p = 0;

	if (limits->requests_per_sec > 0)
		p = fmax(p,
		    (double)demand->requests_per_sec /
			limits->requests_per_sec);
	if (limits->work_per_sec > 0)
		p = fmax(
		    p, (double)demand->work_per_sec / limits->work_per_sec);
	if (limits->concurrency > 0)
		p = fmax(p, (double)demand->concurrency / limits->concurrency);
	return fmin(p, 1);
}

/*
 * The concurrency demand is the number of requests in flight times the ratio of
 * received to admitted requests. The number in flight alone would hide the
 * demand of a cell whose share is used up by other cells.
 */
void
limit_read_local_demand(
    const struct limit_account *a, struct pb_account_demand *demand)
{
	float ratio = 1;

	if (a->request_rate > a->admitted_rate * (1 + REFUSED_MIN))
		ratio = a->request_rate / fmaxf(a->admitted_rate, RATE_MIN);
	demand->account = a->account;
	demand->requests_per_sec = a->request_rate;
	demand->work_per_sec = a->work_rate;
	demand->concurrency = ratio > 1 ? ratio * fmaxf((float)a->in_flight, 1)
					: (float)a->in_flight;
	demand->in_flight = a->in_flight;
}

static int
compare_demand(const void *a, const void *b)
{
	uint64_t x = ((const struct pb_account_demand *)a)->account;
	uint64_t y = ((const struct pb_account_demand *)b)->account;

	return x < y ? -1 : x > y;
}

static void
sum_remote_demand(struct pb_context *ctx, const struct pb_limiter *l,
    const struct limit_account *a, struct demand_sum *sum)
{
	int64_t now = pb_now(ctx);
	struct pb_account_demand key = {.account = a->account};
	size_t i;

	memset(sum, 0, sizeof(*sum));
	for (i = 0; i < l->remotes; i++) {
		const struct remote_cell *c = &l->remote[i];
		const struct pb_account_demand *d = NULL;

		if (now - c->at > REPORT_EXPIRY_US)
			continue;
		sum->cells_reporting++;
		if (c->count > 0)
			d = bsearch(&key, c->demand, c->count, sizeof(*d),
			    compare_demand);
		if (d == NULL)
			continue;
		sum->cells_with_demand++;
		sum->demand_ratio += limit_demand_ratio(&a->limits, d);
		sum->in_flight += d->in_flight;
	}
}

/*
 * Returns the part of the limit that this cell may use. own is the ratio of
 * this cell's demand to the limit, or NOT_REPORTED. If the total demand is
 * within the limit, each cell with demand gets its demand and an equal part of
 * the remainder. Otherwise the limit is divided in proportion to demand.
 */
static double
compute_share(
    const struct pb_limiter *l, const struct demand_sum *sum, double own)
{
	int cells = l->cells, served = sum->cells_reporting + 1;
	double total = own + sum->demand_ratio, pool, part;

	if (served > cells)
		served = cells;
	if (cells <= 1)
		return 1;
	if (own < 0 && sum->cells_with_demand == 0)
		return 1.0 / cells;
	pool = (double)served / cells;
	if (own < 0)
		return pool * RESERVE / served;
	if (total <= 1)
		part = own + (1 - total) / (sum->cells_with_demand + 1);
	else
		part = own / total;
	return pool * (RESERVE / served + (1 - RESERVE) * part);
}

/*
 * Records the current ratio of demand to limit. Returns the minimum over the
 * hold time.
 */
static float
update_min_ratio(struct pb_context *ctx, struct limit_account *a)
{
	int64_t slot = pb_now(ctx) / WINDOW_SLOT_US + 2 * WINDOW_SLOTS;
	struct pb_account_demand demand;
	float now = NOT_REPORTED, least;
	int i;

	if (a->reported) {
		limit_read_local_demand(a, &demand);
		now = (float)limit_demand_ratio(&a->limits, &demand);
	}
	if (slot - a->slot > WINDOW_SLOTS)
		a->slot = slot - WINDOW_SLOTS;
	while (a->slot < slot) {
		a->slot++;
		a->min_ratios[a->slot % WINDOW_SLOTS] = now;
	}
	a->min_ratios[slot % WINDOW_SLOTS] =
	    fminf(a->min_ratios[slot % WINDOW_SLOTS], now);
	least = now;
	for (i = 0; i < WINDOW_SLOTS; i++)
		least = fminf(least, a->min_ratios[i]);
	return least;
}

void
limit_update_share(
    struct pb_context *ctx, struct pb_limiter *limiter, struct limit_account *a)
{
	struct demand_sum sum;

	sum_remote_demand(ctx, limiter, a, &sum);
	a->reported_elsewhere = sum.cells_with_demand > 0;
	a->remote_in_flight = sum.in_flight;
	a->share =
	    (float)compute_share(limiter, &sum, update_min_ratio(ctx, a));
}

static struct remote_cell *
find_remote(struct pb_context *ctx, struct pb_limiter *l, uint64_t cell)
{
	int64_t now = pb_now(ctx);
	struct remote_cell *c;
	size_t i;

	for (i = 0; i < l->remotes; i++)
		if (l->remote[i].cell == cell)
			return &l->remote[i];
	for (i = 0; i < l->remotes; i++)
		if (now - l->remote[i].at > REPORT_EXPIRY_US)
			break;
	if (i == l->remotes) {
		/* Bounds the memory that a peer can use with made-up cells. */
		if (l->cells > 0 && l->remotes >= (size_t)l->cells * 2)
			return NULL;
		c = realloc(l->remote, (l->remotes + 1) * sizeof(*c));
		if (c == NULL)
			return NULL;
		l->remote = c;
		memset(&c[i], 0, sizeof(*c));
		l->remotes++;
	}
	l->remote[i].cell = cell;
	return &l->remote[i];
}

void
pb_set_cell_demand(struct pb_context *ctx, struct pb_limiter *limiter,
    uint64_t cell, const struct pb_account_demand *demand, size_t count)
{
	struct remote_cell *c = find_remote(ctx, limiter, cell);
	struct pb_account_demand *copy = NULL;

	if (c == NULL)
		return;
	if (count > PB_DEMAND_MAX)
		count = PB_DEMAND_MAX;
	if (count > 0) {
		copy = malloc(count * sizeof(*copy));
		if (copy == NULL)
			return;
		memcpy(copy, demand, count * sizeof(*copy));
		qsort(copy, count, sizeof(*copy), compare_demand);
	}
	free(c->demand);
	c->demand = copy;
	c->count = count;
	c->at = pb_now(ctx);
}
