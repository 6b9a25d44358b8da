#include "limit-internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time constant of the demand means, in seconds. */
#define DEMAND_SEC 1.0
#define BURST_SEC 1.0 /* default, if the settings contain none */
/* Delay until a retry when no rate gives the end of the refusal. */
#define RETRY_US PB_SEC
/*
 * Smallest ratio of demand to limit that is reported, relative to an equal
 * share of the limit: half of RESERVE in limit-share.c.
 */
#define REPORT_MIN 0.02
#define TRIM_PERIOD_US (100 * PB_MSEC)
/* Requests per second up to which an account counts as idle. */
#define IDLE_RATE 0.01F
/* Lower bound for the share when computing the delay until a retry. */
#define SHARE_MIN 1e-6

struct pb_limiter *
pb_new_limiter(struct pb_context *ctx, size_t max_accounts, int cells)
{
	struct pb_limiter *l = calloc(1, sizeof(*l));
	size_t size = 64;

	if (l == NULL)
		return NULL;
	while (size < max_accounts)
		size *= 2;
	l->buckets = calloc(size, sizeof(struct limit_account *));
	if (l->buckets == NULL) {
		free(l);
		return NULL;
	}
	l->mask = size - 1;
	l->max_accounts = max_accounts;
	l->cells = cells;
	l->trimmed_at = pb_now(ctx);
	return l;
}

void
pb_drop_limiter(struct pb_context *ctx, struct pb_limiter *limiter)
{
	struct limit_account *a, *next;
	size_t i;

	(void)ctx;
	if (limiter == NULL)
		return;
	for (i = 0; i <= limiter->mask; i++)
		for (a = limiter->buckets[i]; a != NULL; a = next) {
			next = a->next;
			free(a);
		}
	for (i = 0; i < limiter->remotes; i++)
		free(limiter->remote[i].demand);
	free(limiter->remote);
	free(limiter->buckets);
	free(limiter);
}

void
pb_set_limiter_cells(
    struct pb_context *ctx, struct pb_limiter *limiter, int cells)
{
	(void)ctx;
	limiter->cells = cells;
}

static struct limit_account **
bucket_of(struct pb_limiter *l, uint64_t account)
{
	return &l->buckets[(account ^ (account >> 32)) & l->mask];
}

static struct limit_account *
find_account(struct pb_limiter *l, uint64_t account)
{
	struct limit_account *a = *bucket_of(l, account);

	while (a != NULL && a->account != account)
		a = a->next;
	return a;
}

/*
 * Returns the size of a bucket: the burst of this cell's share, but at least
 * the need of one request. A request larger than the bucket would otherwise
 * never be admitted.
 */
static double
bucket_cap(const struct limit_account *a, double rate, double need)
{
	double burst =
	    a->limits.burst_sec > 0 ? a->limits.burst_sec : BURST_SEC;

	return fmax(rate * burst * a->share, need);
}

static void
fill_bucket(struct limit_account *a, double *tokens, double *cap, double rate,
    double need, double sec)
{
	*cap = bucket_cap(a, rate, need);
	*tokens = fmin(*tokens + rate * a->share * sec, *cap);
}

void
limit_refill(
    struct pb_context *ctx, struct pb_limiter *limiter, struct limit_account *a)
{
	int64_t now = pb_now(ctx);
	double sec = (double)(now - a->filled_at) / PB_SEC;
	float keep = (float)exp(-sec / DEMAND_SEC);

	a->request_rate *= keep;
	a->work_rate *= keep;
	a->admitted_rate *= keep;
	limit_update_share(ctx, limiter, a);
	fill_bucket(a, &a->request_tokens, &a->request_cap,
	    a->limits.requests_per_sec, 1, sec);
	fill_bucket(a, &a->work_tokens, &a->work_cap, a->limits.work_per_sec,
	    a->work_needed, sec);
	a->filled_at = now;
}

/* Frees accounts without work in flight or demand and with full buckets. */
static void
trim_accounts(struct pb_context *ctx, struct pb_limiter *l)
{
	struct limit_account **p, *a;
	size_t i;

	l->trimmed_at = pb_now(ctx);
	for (i = 0; i <= l->mask; i++)
		for (p = &l->buckets[i]; (a = *p) != NULL;) {
			limit_refill(ctx, l, a);
			if (a->in_flight > 0 || a->request_rate > IDLE_RATE ||
			    a->request_tokens < a->request_cap ||
			    a->work_tokens < a->work_cap) {
				p = &a->next;
				continue;
			}
			*p = a->next;
			free(a);
			l->accounts--;
		}
}

size_t
pb_trim_limiter(struct pb_context *ctx, struct pb_limiter *limiter)
{
	trim_accounts(ctx, limiter);
	return limiter->accounts;
}

static struct limit_account *
add_account(struct pb_context *ctx, struct pb_limiter *l, uint64_t account)
{
	struct limit_account *a;

	if (l->accounts >= l->max_accounts &&
	    pb_now(ctx) - l->trimmed_at >= TRIM_PERIOD_US)
		trim_accounts(ctx, l);
	if (l->accounts >= l->max_accounts)
		return NULL;
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		return NULL;
	a->account = account;
	a->filled_at = pb_now(ctx);
	a->slot = a->filled_at / WINDOW_SLOT_US + WINDOW_SLOTS;
	a->next = *bucket_of(l, account);
	*bucket_of(l, account) = a;
	l->accounts++;
	return a;
}

/* Finds or adds an account and refills its buckets. */
static struct limit_account *
get_account(struct pb_context *ctx, struct pb_limiter *l, uint64_t account,
    const struct pb_account_limits *limits, uint32_t work)
{
	struct limit_account *a = find_account(l, account);
	bool added = a == NULL;
	double most;

	if (added)
		a = add_account(ctx, l, account);
	if (a == NULL)
		return NULL;
	a->limits = *limits;
	if (a->limits.burst_sec <= 0)
		a->limits.burst_sec = BURST_SEC;
	most = a->limits.work_per_sec * a->limits.burst_sec;
	a->work_needed = fmin(work, most);
	limit_refill(ctx, l, a);
	if (added) {
		a->request_tokens = a->request_cap;
		a->work_tokens = a->work_cap;
		if (a->reported_elsewhere) {
			/*
			 * Other cells use the limit too. The buckets start with
			 * no more than this cell's share of the burst.
			 */
			a->request_tokens = a->share *
			    limits->requests_per_sec * a->limits.burst_sec;
			a->work_tokens = a->share * most;
		}
	}
	return a;
}

static bool
has_free_concurrency(const struct limit_account *a)
{
	uint32_t most = a->limits.concurrency, own;

	if (most == 0)
		return true;
	if (a->in_flight + a->remote_in_flight >= most)
		return false;
	own = (uint32_t)(a->share * (float)most);
	/*
	 * Admits at least one request. A limit below the number of cells would
	 * otherwise admit none.
	 */
	return a->in_flight < (own > 0 ? own : 1);
}

static int64_t
refill_time(const struct limit_account *a, double missing, double rate)
{
	double sec;

	if (missing <= 0)
		return 0;
	sec = missing / (rate * fmax(a->share, SHARE_MIN));
	return (int64_t)(ceil(fmin(sec, 3600) * PB_SEC));
}

/* Returns 0 if the request may be admitted, else the delay until a retry. */
static int64_t
retry_delay(const struct limit_account *a)
{
	const struct pb_account_limits *limits = &a->limits;
	int64_t us = 0, t;

	if (limits->requests_per_sec > 0)
		us = refill_time(
		    a, 1 - a->request_tokens, limits->requests_per_sec);
	if (limits->work_per_sec > 0) {
		t = refill_time(
		    a, a->work_needed - a->work_tokens, limits->work_per_sec);
		us = t > us ? t : us;
	}
	if (us == 0 && !has_free_concurrency(a))
		us = RETRY_US;
	return us;
}

int
pb_take_limit(struct pb_context *ctx, struct pb_limiter *limiter,
    uint64_t account, const struct pb_account_limits *limits, uint32_t work,
    int64_t *retry_after_us)
{
	struct limit_account *a;
	int64_t us;

	*retry_after_us = 0;
	if (limits->requests_per_sec <= 0 && limits->work_per_sec <= 0 &&
	    limits->concurrency == 0)
		return PB_OK;
	a = get_account(ctx, limiter, account, limits, work);
	if (a == NULL) {
		*retry_after_us = RETRY_US;
		return PB_EBUSY;
	}
	a->request_rate += (float)(1 / DEMAND_SEC);
	a->work_rate += (float)(work / DEMAND_SEC);
	us = retry_delay(a);
	if (us > 0) {
		*retry_after_us = us;
		return PB_EBUSY;
	}
	a->admitted_rate += (float)(1 / DEMAND_SEC);
	if (limits->requests_per_sec > 0)
		a->request_tokens -= 1;
	if (limits->work_per_sec > 0)
		a->work_tokens -= work;
	a->in_flight++;
	return PB_OK;
}

void
pb_return_limit(struct pb_context *ctx, struct pb_limiter *limiter,
    uint64_t account, uint32_t taken_work, uint32_t actual_work)
{
	struct limit_account *a = find_account(limiter, account);

	if (a == NULL || a->in_flight == 0)
		return;
	limit_refill(ctx, limiter, a);
	a->in_flight--;
	if (a->limits.work_per_sec > 0)
		a->work_tokens = fmin(a->work_cap,
		    a->work_tokens + taken_work - (double)actual_work);
	if (a->limits.requests_per_sec > 0 && actual_work == 0)
		a->request_tokens = fmin(a->request_cap, a->request_tokens + 1);
}

/* Inserts by ratio in descending order; drops the smallest if out is full. */
static size_t
insert_demand(struct pb_account_demand *out, double *ratios, size_t count,
    size_t cap, const struct pb_account_demand *d, double ratio)
{
	size_t i;

	if (count == cap && ratio <= ratios[cap - 1])
		return count;
	i = count < cap ? count++ : cap - 1;
	for (; i > 0 && ratios[i - 1] < ratio; i--) {
		ratios[i] = ratios[i - 1];
		out[i] = out[i - 1];
	}
	ratios[i] = ratio;
	out[i] = *d;
	return count;
}

/*
 * Reads the account's demand and returns its ratio of demand to limit, or 0 if
 * the ratio is not above least.
 */
static double
read_demand_ratio(struct pb_context *ctx, struct pb_limiter *l,
    struct limit_account *a, double least, struct pb_account_demand *d)
{
	double ratio;

	/*
	 * Demand only decays between requests, so an account whose old ratio is
	 * low enough already needs no refill.
	 */
	limit_read_local_demand(a, d);
	ratio = limit_demand_ratio(&a->limits, d);
	if (ratio > least) {
		limit_refill(ctx, l, a);
		limit_read_local_demand(a, d);
		ratio = limit_demand_ratio(&a->limits, d);
	}
	a->reported = false;
	return ratio > least ? ratio : 0;
}

size_t
pb_read_demand(struct pb_context *ctx, struct pb_limiter *limiter,
    struct pb_account_demand *out, size_t cap)
{
	double least = REPORT_MIN / (limiter->cells > 0 ? limiter->cells : 1);
	double ratios[PB_DEMAND_MAX], ratio;
	struct pb_account_demand d;
	struct limit_account *a;
	size_t count = 0, i;

	if (cap > PB_DEMAND_MAX)
		cap = PB_DEMAND_MAX;
	for (i = 0; i <= limiter->mask; i++)
		for (a = limiter->buckets[i]; a != NULL; a = a->next) {
			ratio = read_demand_ratio(ctx, limiter, a,
			    count == cap && cap > 0 ? ratios[cap - 1] : least,
			    &d);
			if (cap > 0 && ratio > 0)
				count = insert_demand(
				    out, ratios, count, cap, &d, ratio);
		}
	for (i = 0; i < count; i++) {
		a = find_account(limiter, out[i].account);
		if (a != NULL)
			a->reported = true;
	}
	return count;
}
