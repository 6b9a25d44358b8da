#ifndef POPLARBEAM_LIMIT_H
#define POPLARBEAM_LIMIT_H

#include "poplarbeam/base.h"

/*
 * Request rate, work rate and concurrency limits of client accounts for one
 * service. A limit applies to the whole fleet: the owner of each cell enforces
 * a share of it, in proportion to the demand that digests report. The limiter
 * takes no locks: the caller holds the cell's lock.
 */

/* Limits of one account on one service; 0 means no limit. */
struct pb_account_limits {
	double requests_per_sec;
	double work_per_sec;
	uint32_t concurrency;
	double burst_sec; /* bucket size as seconds of the rate; 0: 1 s */
};

struct pb_limiter;

/*
 * Returns a limiter, or NULL if memory runs out. cells is the number of cells
 * of the service, between which a limit is divided.
 */
struct pb_limiter *pb_new_limiter(
    struct pb_context *ctx, size_t max_accounts, int cells);
void pb_drop_limiter(struct pb_context *ctx, struct pb_limiter *limiter);
void pb_set_limiter_cells(
    struct pb_context *ctx, struct pb_limiter *limiter, int cells);

/*
 * Takes one request with the given work from the account's share of its limits.
 * Returns PB_OK, or PB_EBUSY if a limit is reached or max_accounts other
 * accounts are active. On PB_EBUSY nothing is taken and *retry_after_us is the
 * time from now until the request may be tried again.
 */
int pb_take_limit(struct pb_context *ctx, struct pb_limiter *limiter,
    uint64_t account, const struct pb_account_limits *limits, uint32_t work,
    int64_t *retry_after_us);
/*
 * Records the end of a request and replaces the estimate taken_work by
 * actual_work. If actual_work is 0, the request did not run, and its use of the
 * request rate is returned too.
 */
void pb_return_limit(struct pb_context *ctx, struct pb_limiter *limiter,
    uint64_t account, uint32_t taken_work, uint32_t actual_work);

/* Demand of one account at one cell, as sent in digests. */
struct pb_account_demand {
	uint64_t account;
	float requests_per_sec; /* including refused requests */
	float work_per_sec;
	float concurrency; /* estimate of in_flight without refusals */
	uint32_t in_flight; /* admitted requests that have not ended */
};

#define PB_DEMAND_MAX 256 /* maximum accounts in the report of a cell */

/*
 * Reads the accounts with the highest ratio of demand to limit at this cell,
 * the highest first. Returns their number. The caller must send the result to
 * the other cells: accounts that were read count as reported, and their share
 * grows 2.5 to 3 s later, when the other cells have received the report.
 */
size_t pb_read_demand(struct pb_context *ctx, struct pb_limiter *limiter,
    struct pb_account_demand *out, size_t cap);
/*
 * Sets the demand that another cell reported, for 5 s. It replaces the previous
 * report of that cell. Call it with count 0 for a cell that has an owner but
 * reports no account, because a cell without a report keeps an equal part of
 * every limit.
 */
void pb_set_cell_demand(struct pb_context *ctx, struct pb_limiter *limiter,
    uint64_t cell, const struct pb_account_demand *demand, size_t count);

/*
 * Frees accounts without work and with full buckets. Returns the number of
 * accounts that remain.
 */
size_t pb_trim_limiter(struct pb_context *ctx, struct pb_limiter *limiter);

#endif
