#ifndef POPLARBEAM_LIMIT_H
#define POPLARBEAM_LIMIT_H

#include "poplarbeam/base.h"

/*
 * Rate, work and concurrency limits of client accounts for one service, held
 * over the fleet: each cell's owner enforces its share of a limit, in
 * proportion to the demand that digests report. No locks: the caller holds
 * the cell's lock.
 */

/* Limits of one account on one service; 0 means no limit. */
struct pb_account_limits {
	double requests_per_sec;
	double work_per_sec;
	uint32_t concurrency;
	double burst_sec; /* bucket size in seconds of rate; 0: 1 s */
};

struct pb_limiter;

/* cells: number of cells of the service, over which a limit is divided. */
struct pb_limiter *pb_new_limiter(
    struct pb_context *ctx, size_t max_accounts, int cells);
void pb_drop_limiter(struct pb_context *ctx, struct pb_limiter *limiter);
void pb_set_limiter_cells(
    struct pb_context *ctx, struct pb_limiter *limiter, int cells);

/*
 * Takes one request of the given work from the account's share. PB_OK, or
 * PB_EBUSY with *retry_after_us set to when it may be tried again; nothing is
 * taken then. Also PB_EBUSY when max_accounts other accounts are active.
 */
int pb_take_limit(struct pb_context *ctx, struct pb_limiter *limiter,
    uint64_t account, const struct pb_account_limits *limits, uint32_t work,
    int64_t *retry_after_us);
/*
 * The request ended; actual_work corrects the estimate taken. actual_work 0
 * means that it did not run: the request itself is given back too.
 */
void pb_return_limit(struct pb_context *ctx, struct pb_limiter *limiter,
    uint64_t account, uint32_t taken_work, uint32_t actual_work);

/* Demand of one heavy account at one cell, as carried in digests. */
struct pb_account_demand {
	uint64_t account;
	float requests_per_sec; /* asked for, refused requests included */
	float work_per_sec;
	float concurrency; /* asked for at once, as far as it is known */
	uint32_t in_flight; /* admitted and not ended */
};

#define PB_DEMAND_MAX 256 /* accounts in one cell's report */

/*
 * The accounts here that press most on their limits, first the one that
 * presses most; returns how many. The caller sends what it reads: an account
 * that was read counts as reported, and its share grows a hold time later.
 */
size_t pb_read_demand(struct pb_context *ctx, struct pb_limiter *limiter,
    struct pb_account_demand *out, size_t cap);
/*
 * Demand seen at another cell; replaces what that cell said before and holds
 * for 5 s. Call it with count 0 for a cell that is known to be served but
 * reports no account: a cell that is not heard of keeps an equal part of
 * every limit.
 */
void pb_note_demand(struct pb_context *ctx, struct pb_limiter *limiter,
    uint64_t cell, const struct pb_account_demand *demand, size_t count);

/* Forgets accounts with no work and a full bucket; returns how many stay. */
size_t pb_trim_limiter(struct pb_context *ctx, struct pb_limiter *limiter);

#endif
