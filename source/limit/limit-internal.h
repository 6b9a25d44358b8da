#ifndef LIMIT_INTERNAL_H
#define LIMIT_INTERNAL_H

#include "poplarbeam/limit.h"

/*
 * A cell counts its own demand as the least that it reported in the hold time
 * and that of others as last heard. The hold time covers 0.5 s between reports
 * and up to 2 s on the way, so every other cell knows at least this demand and
 * the shares add up to at most 1. Demand that fell counts at once.
 */
#define HOLD_SLOT_US (500 * PB_MSEC)
#define HOLD_SLOTS 6
#define NOT_REPORTED (-1.0F)

/* One account with work, a bucket that is not full, or recent demand. */
struct limit_account {
	struct limit_account *next; /* in its hash bucket */
	uint64_t account;
	struct pb_account_limits limits;
	double request_tokens;
	double work_tokens;
	double request_cap;
	double work_cap;
	double work_need; /* work of the largest request lately asked for */
	float request_rate; /* demand, decayed mean per second */
	float work_rate;
	float admitted_rate; /* requests per second */
	float share; /* of the limit, in force now */
	float held[HOLD_SLOTS]; /* least pressure in each slot, as reported */
	uint32_t in_flight;
	uint32_t others_in_flight; /* at other cells, as reported */
	int64_t filled_at;
	int64_t slot; /* index in time of the newest entry of held */
	bool reported; /* was in the last report to the other cells */
	bool known; /* another cell reports it */
};

/* What another cell said last. */
struct remote_cell {
	uint64_t cell;
	int64_t at;
	size_t count;
	struct pb_account_demand *demand; /* sorted by account */
};

struct pb_limiter {
	struct limit_account **buckets;
	size_t mask;
	size_t accounts;
	size_t max_accounts;
	int cells;
	struct remote_cell *remote;
	size_t remotes;
	int64_t trimmed_at;
};

/* The tightest of the limits, as demand over limit; at most 1. */
double limit_pressure(const struct pb_account_limits *limits,
    const struct pb_account_demand *demand);

/* limit-share.c */
/* The account's demand at this cell. */
void limit_read_own(
    const struct limit_account *a, struct pb_account_demand *demand);
/* Brings the account's share up to date. */
void limit_update_share(struct pb_context *ctx, struct pb_limiter *limiter,
    struct limit_account *a);

/* limit-bucket.c */
/* Refills the buckets and ages the demand up to now. */
void limit_refill(struct pb_context *ctx, struct pb_limiter *limiter,
    struct limit_account *a);

#endif
