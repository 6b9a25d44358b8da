#include "fleet.h"

#include <string.h>

#define ACCOUNT 7
#define REPORT_STEPS 25 /* 0.5 s */
#define DELAY_MIN (PB_SEC / 2)
#define DELAY_RANGE 1.5e6 /* microseconds */

void
fleet_start(struct fleet *f, enum fleet_mode mode, int cells,
    const struct pb_account_limits *limits, uint64_t seed)
{
	int i;

	memset(f, 0, sizeof(*f));
	pb_init_manual_clock(&f->clk, 0);
	f->ctx = pb_new_context(&f->clk.base, NULL);
	f->rnd.state = seed;
	f->mode = mode;
	f->cells = cells;
	f->limits = *limits;
	f->work = 10;
	f->combined = pb_new_limiter(f->ctx, 10, 1);
	for (i = 0; i < cells; i++)
		f->cell[i] = pb_new_limiter(
		    f->ctx, 10, mode == FLEET_FULL_LIMIT ? 1 : cells);
}

void
fleet_stop(struct fleet *f)
{
	int i;

	for (i = 0; i < f->cells; i++)
		pb_drop_limiter(f->ctx, f->cell[i]);
	pb_drop_limiter(f->ctx, f->combined);
	pb_drop_context(f->ctx);
}

void
fleet_randomize_demand(struct fleet *f, double max_rate)
{
	int i;

	for (i = 0; i < f->cells; i++)
		f->offered[i] = pb_next_random(&f->rnd) % 2 == 0
		    ? 0
		    : max_rate * pb_next_uniform(&f->rnd);
}

static void
send_reports(struct fleet *f)
{
	struct fleet_report r;
	int from, to, slot = f->step / REPORT_STEPS % 8;

	for (from = 0; from < f->cells; from++) {
		r.count = pb_read_demand(f->ctx, f->cell[from], r.demand, 4);
		for (to = 0; to < f->cells; to++) {
			r.arrival_us = pb_now(f->ctx) + DELAY_MIN +
			    (int64_t)(pb_next_uniform(&f->rnd) * DELAY_RANGE);
			f->report[from][to][slot] = r;
		}
	}
}

static void
deliver_report(struct fleet *f, int from, int to, struct fleet_report *r)
{
	if (from == to || r->arrival_us == 0 || r->arrival_us > pb_now(f->ctx))
		return;
	pb_set_cell_demand(
	    f->ctx, f->cell[to], 100 + (uint64_t)from, r->demand, r->count);
	r->arrival_us = 0;
}

static void
send_request(struct fleet *f, int cell, double *admitted)
{
	int64_t retry;

	if (pb_take_limit(f->ctx, f->combined, ACCOUNT, &f->limits, f->work,
		&retry) == PB_OK) {
		pb_return_limit(f->ctx, f->combined, ACCOUNT, f->work, f->work);
		f->admitted_combined++;
	}
	if (pb_take_limit(f->ctx, f->cell[cell], ACCOUNT, &f->limits, f->work,
		&retry) != PB_OK)
		return;
	++*admitted;
	f->in_flight[cell]++;
	if (f->mean_duration_sec <= 0) {
		f->in_flight[cell]--;
		pb_return_limit(
		    f->ctx, f->cell[cell], ACCOUNT, f->work, f->work);
	}
}

/* Ends each request in flight with probability step / mean duration. */
static void
end_requests(struct fleet *f, int cell)
{
	double chance = (double)FLEET_STEP_US / PB_SEC / f->mean_duration_sec;
	uint32_t n;

	for (n = f->in_flight[cell]; n > 0; n--) {
		if (pb_next_uniform(&f->rnd) >= chance)
			continue;
		f->in_flight[cell]--;
		pb_return_limit(
		    f->ctx, f->cell[cell], ACCOUNT, f->work, f->work);
	}
}

void
fleet_step(struct fleet *f)
{
	double admitted = 0, mean;
	uint32_t in_flight = 0;
	int i, j, k;

	if (f->mode == FLEET_EXCHANGE && f->step % REPORT_STEPS == 0)
		send_reports(f);
	for (i = 0; i < f->cells; i++)
		for (j = 0; j < f->cells; j++)
			for (k = 0; k < 8; k++)
				deliver_report(f, i, j, &f->report[i][j][k]);
	for (i = 0; i < f->cells; i++) {
		if (f->mean_duration_sec > 0)
			end_requests(f, i);
		mean = f->offered[i] * FLEET_STEP_US / PB_SEC;
		while (pb_next_uniform(&f->rnd) < mean) {
			send_request(f, i, &admitted);
			mean -= 1;
		}
		in_flight += f->in_flight[i];
	}
	if (in_flight > f->most_in_flight)
		f->most_in_flight = in_flight;
	f->admitted += admitted;
	f->window_sum += admitted - f->step_admitted[f->step % FLEET_WINDOW];
	f->step_admitted[f->step++ % FLEET_WINDOW] = admitted;
	if (f->window_sum > f->largest)
		f->largest = f->window_sum;
	pb_advance_clock(&f->clk, FLEET_STEP_US);
}
