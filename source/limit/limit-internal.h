#ifndef LIMIT_INTERNAL_H
#define LIMIT_INTERNAL_H

#include "poplarbeam/limit.h"

/*
 * To compute its share, a cell uses the minimum demand that it reported itself
 * during the hold time, a sliding window, and the latest demand that other
 * cells reported. The hold time covers the 0.5 s between reports and up to 2 s
 * of transmission. Every other cell therefore knows of at least this demand,
 * and the shares add up to at most 1. A decrease of demand counts at once.
 */
#define WINDOW_SLOT_US (500 * PB_MSEC)
#define WINDOW_SLOTS 6
#define NOT_REPORTED (-1.0F)

/* An account with work in flight, recent demand or a bucket not yet full. */
struct limit_account {
	struct limit_account *next; /* in the hash bucket */
	uint64_t account;
	struct pb_account_limits limits;
	double request_tokens;
	double work_tokens;
	double request_cap;
	double work_cap;
	double work_needed; /* work of the last request, at most a full burst */
	float request_rate; /* decayed mean of demand per second */
	float work_rate;
	float admitted_rate; /* admitted requests per second */
	float share; /* share of each limit that this cell enforces */
	float min_ratios[WINDOW_SLOTS]; /* minimum reported ratio per slot */
	uint32_t in_flight;
	uint32_t remote_in_flight; /* reported by other cells */
	int64_t filled_at;
	int64_t slot; /* time slot of the newest entry of min_ratios */
	bool reported; /* in the last report to the other cells */
	bool reported_elsewhere; /* another cell reports demand */
};

/* Last report of another cell. */
struct remote_cell {
	uint64_t cell;
	int64_t at; /* when the report was received */
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

/* Returns the highest ratio of demand to limit over all limits, at most 1. */
double limit_demand_ratio(const struct pb_account_limits *limits,
    const struct pb_account_demand *demand);

/* limit-share.c */
/* Reads the account's demand at this cell. */
void limit_read_local_demand(
    const struct limit_account *a, struct pb_account_demand *demand);
/* Updates the account's share from the latest reports. */
void limit_update_share(struct pb_context *ctx, struct pb_limiter *limiter,
    struct limit_account *a);

/* limit-bucket.c */
/* Refills the buckets and decays the demand up to the current time. */
void limit_refill(struct pb_context *ctx, struct pb_limiter *limiter,
    struct limit_account *a);

#endif
