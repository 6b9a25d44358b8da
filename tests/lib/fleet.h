#ifndef FLEET_H
#define FLEET_H

#include "poplarbeam/limit.h"

/*
 * Simulates the limiters of several cells that together enforce one account's
 * limit. They exchange demand every 0.5 s in reports that arrive 0.5 to 2 s
 * late.
 */

#define FLEET_CELLS_MAX 16
#define FLEET_STEP_US (20 * PB_MSEC)
#define FLEET_WINDOW (10 * PB_SEC / FLEET_STEP_US) /* steps */

enum fleet_mode {
	FLEET_EXCHANGE,
	FLEET_EQUAL_SHARES, /* baseline: no reports, equal division */
	FLEET_FULL_LIMIT /* baseline: every cell enforces the whole limit */
};

struct fleet_report {
	int64_t arrival_us; /* 0: none */
	size_t count;
	struct pb_account_demand demand[4];
};

struct fleet {
	struct pb_manual_clock clk;
	struct pb_context *ctx;
	struct pb_random rnd;
	enum fleet_mode mode;
	int cells;
	struct pb_limiter *cell[FLEET_CELLS_MAX];
	struct pb_limiter *combined; /* one limiter for all requests */
	struct fleet_report report[FLEET_CELLS_MAX][FLEET_CELLS_MAX][8];
	struct pb_account_limits limits;
	uint32_t work; /* of each request */
	double mean_duration_sec; /* mean time in flight; 0: ends immediately */
	double offered[FLEET_CELLS_MAX]; /* requests per second */
	uint32_t in_flight[FLEET_CELLS_MAX];
	uint32_t most_in_flight; /* peak of the sum over all cells */
	double admitted;
	double admitted_combined; /* admitted by the combined limiter */
	double step_admitted[FLEET_WINDOW]; /* ring of the last steps */
	double window_sum;
	double largest; /* maximum admitted in any window */
	int step;
};

void fleet_start(struct fleet *f, enum fleet_mode mode, int cells,
    const struct pb_account_limits *limits, uint64_t seed);
/*
 * Sets the demand of each cell to 0 or to a random rate up to max_rate requests
 * per second.
 */
void fleet_randomize_demand(struct fleet *f, double max_rate);
void fleet_step(struct fleet *f);
void fleet_stop(struct fleet *f);

#endif
