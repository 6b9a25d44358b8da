#ifndef FLEET_H
#define FLEET_H

#include "poplarbeam/limit.h"

/*
 * Several limiters that hold one account's limit together and exchange demand
 * every 0.5 s by reports that arrive 0.5 to 2 s late.
 */

#define FLEET_CELLS_MAX 16
#define FLEET_STEP_US (20 * PB_MSEC)
#define FLEET_WINDOW (10 * PB_SEC / FLEET_STEP_US) /* steps */

enum fleet_mode {
	FLEET_EXCHANGE,
	FLEET_EQUAL, /* baseline: no reports, equal division */
	FLEET_WHOLE /* baseline: every cell enforces the whole limit */
};

struct fleet_report {
	int64_t arrives; /* 0: none */
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
	struct pb_limiter *whole; /* one limiter that sees every request */
	struct fleet_report report[FLEET_CELLS_MAX][FLEET_CELLS_MAX][8];
	struct pb_account_limits limits;
	uint32_t work; /* of each request */
	double hold_sec; /* mean time in flight; 0: ends at once */
	double offered[FLEET_CELLS_MAX]; /* requests per second */
	uint32_t in_flight[FLEET_CELLS_MAX];
	uint32_t most_in_flight; /* over the fleet */
	double admitted;
	double admitted_whole; /* what one limiter would have admitted */
	double window[FLEET_WINDOW];
	double window_sum;
	double largest; /* admitted in any window */
	int step;
};

void fleet_start(struct fleet *f, enum fleet_mode mode, int cells,
    const struct pb_account_limits *limits, uint64_t seed);
/* Moves the demand: each cell asks for nothing or up to most per second. */
void fleet_move_demand(struct fleet *f, double most);
void fleet_step(struct fleet *f);
void fleet_stop(struct fleet *f);

#endif
