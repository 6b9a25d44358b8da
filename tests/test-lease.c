#include "poplarbeam/lease.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

#include "lib/fake-claim-table.h"
#include "lib/fake-orders.h"

/*
 * The lease and the orders under it, case by case and then with a seeded
 * driver: routers that interrupt each other inside calls, pauses, lost and
 * late writes, lost and late orders.
 */

#define DURATION (15 * PB_SEC)
#define MARGIN (500 * PB_MSEC)
#define RENEW (4 * PB_SEC)
#define POLL (2 * PB_SEC)
#define SEND (1 * PB_SEC)
#define ROUTERS 3
#define SEEDS 400
#define ROUNDS 300
#define FENCES_MAX 512

struct router {
	struct pb_context *ctx;
	struct pb_lease *lease;
	char desired[64];
	bool busy; /* inside a call that was interrupted */
	int64_t order_us; /* when its next pass over the orders is due */
};

struct world {
	struct pb_manual_clock clk;
	struct fake_claim_table table;
	struct fake_orders orders;
	struct router router[ROUTERS];
	struct pb_random rnd;
	bool faults;
	int depth;
	int owner[FENCES_MAX]; /* router + 1 that held this number */
	uint64_t seed;
};

static struct world w;
static struct {
	uint64_t stale, refused, takeovers;
} seen;

static void
note(bool ok, const char *what)
{
	if (!ok)
		printf("seed %llu: %s\n", (unsigned long long)w.seed, what);
	CU_ASSERT(ok);
}

static void
set_up(uint64_t seed)
{
	int i;

	memset(&w, 0, sizeof(w));
	w.seed = w.rnd.state = seed;
	pb_init_manual_clock(&w.clk, PB_SEC);
	fake_init_claims(&w.table, &w.clk);
	fake_init_orders(&w.orders);
	w.table.rnd.state = w.orders.rnd.state = seed;
	w.orders.up[2].ignores_fence = w.orders.up[3].ignores_fence = true;
	for (i = 0; i < ROUTERS; i++) {
		struct router *r = &w.router[i];
		char id[16];
		struct pb_lease_policy policy = {
		    "orders", id, DURATION, MARGIN, RENEW, POLL};

		snprintf(id, sizeof(id), "r%d/1", i);
		snprintf(r->desired, sizeof(r->desired),
		    "{\"by\": %d, \"model\": \"m\"}", i);
		r->ctx = pb_new_context(&w.clk.base, NULL);
		r->lease = pb_new_lease(r->ctx, &policy);
	}
}

static void
tear_down(void)
{
	int i;

	for (i = 0; i < ROUTERS; i++) {
		pb_drop_lease(w.router[i].ctx, w.router[i].lease);
		pb_drop_context(w.router[i].ctx);
	}
	fake_clear_claims(&w.table);
}

static void
tick(int i)
{
	pb_tick_lease(w.router[i].ctx, w.router[i].lease, &w.table.base);
}

static uint64_t
fence(int i)
{
	return pb_lease_fence(w.router[i].ctx, w.router[i].lease);
}

/* Lets router i tick every 100 ms for a time. */
static void
run_for(int i, int64_t us)
{
	int64_t end = w.clk.now_us + us;

	while (w.clk.now_us < end) {
		pb_advance_clock(&w.clk, 100 * PB_MSEC);
		tick(i);
	}
}

static int
reconcile(int i, struct pb_order_report *report)
{
	static const char *const names[FAKE_UPSTREAMS] = {
	    "u0", "u1", "u2", "u3"};
	struct router *r = &w.router[i];
	struct pb_order orders[FAKE_UPSTREAMS];
	int k;

	for (k = 0; k < FAKE_UPSTREAMS; k++)
		orders[k] = (struct pb_order){
		    names[k], "role", pb_str_from(r->desired)};
	return pb_reconcile_orders(r->ctx, r->lease, &w.orders.base, orders,
	    FAKE_UPSTREAMS, SEND, report);
}

/* Guards against a takeover while the holder still counts, and the reverse. */
static void
test_takeover(void)
{
	set_up(1);
	tick(0);
	CU_ASSERT_EQUAL(fence(0), 0); /* an absent row is not free at once */
	run_for(0, DURATION + POLL);
	CU_ASSERT_EQUAL(fence(0), 1);
	run_for(0, 2 * DURATION);
	CU_ASSERT_EQUAL(fence(0), 1);
	tick(1);
	w.table.down = true;
	pb_advance_clock(&w.clk, DURATION - MARGIN);
	tick(0);
	CU_ASSERT_EQUAL(fence(0), 0);
	w.table.down = false;
	tick(1);
	CU_ASSERT_EQUAL(fence(1), 0);
	run_for(1, MARGIN + POLL);
	CU_ASSERT_EQUAL(fence(1), 2);
	tick(0);
	CU_ASSERT_EQUAL(fence(0), 0);
	tear_down();
}

/* Guards against a planned stop that leaves the lease unused. */
static void
test_release(void)
{
	set_up(1);
	run_for(0, DURATION + POLL);
	CU_ASSERT_EQUAL(
	    pb_release_lease(w.router[0].ctx, w.router[0].lease, &w.table.base),
	    PB_OK);
	CU_ASSERT_EQUAL(fence(0), 0);
	tick(1);
	CU_ASSERT_EQUAL(fence(1), 2);
	tear_down();
}

/* Guards against a fencing number that goes back or is used twice. */
static void
test_fence_grows(void)
{
	struct pb_table_put put = {
	    "lease/orders", pb_str_from("{\"fence\":9}")};
	struct pb_table_commit bad = {NULL, 0, &put, 1, NULL, 0};

	set_up(1);
	run_for(0, DURATION + POLL);
	pb_note_fence(w.router[0].ctx, w.router[0].lease, 41);
	CU_ASSERT_EQUAL(fence(0), 0);
	run_for(0, RENEW);
	CU_ASSERT_EQUAL(fence(0), 42);
	pb_note_fence(w.router[0].ctx, w.router[0].lease, UINT64_MAX);
	CU_ASSERT_EQUAL(fence(0), 42);
	w.table.base.ops->commit(w.router[0].ctx, &w.table.base, &bad);
	run_for(1, 3 * DURATION);
	CU_ASSERT_EQUAL(fence(1), 0);
	CU_ASSERT_EQUAL(w.router[1].ctx->error.code, PB_EPROTO);
	tear_down();
}

/* Guards against a lease that is lost or doubled with an answer. */
static void
test_lost_answer(void)
{
	static const enum fake_fault faults[] = {
	    FAKE_LOSE_RESPONSE, FAKE_LOSE_REQUEST, FAKE_LATE};
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		set_up(1);
		run_for(0, DURATION - PB_SEC);
		w.table.script[0] = faults[i];
		w.table.script_len = 1;
		run_for(0, 2 * POLL);
		CU_ASSERT_EQUAL(fence(0), 1);
		w.table.script[0] = faults[i];
		w.table.script_len = 1;
		run_for(0, DURATION);
		CU_ASSERT_EQUAL(fence(0), 1);
		tear_down();
	}
}

/* The answer to a commit comes ten seconds after its effect. */
static bool
delay_answer(void *arg)
{
	int *calls = arg;

	if (++*calls == 4) /* get: 2 steps, commit: before, after */
		pb_advance_clock(&w.clk, 10 * PB_SEC);
	return true;
}

/* Guards against a holder that counts from the answer of a slow renewal. */
static void
test_slow_answer(void)
{
	int calls = 0;

	set_up(1);
	run_for(0, DURATION + POLL);
	pb_advance_clock(&w.clk, RENEW);
	w.table.step = delay_answer;
	w.table.step_arg = &calls;
	tick(0);
	CU_ASSERT_EQUAL(calls, 4);
	CU_ASSERT_EQUAL(pb_lease_left(w.router[0].ctx, w.router[0].lease),
	    DURATION - MARGIN - 10 * PB_SEC);
	tear_down();
}

/* Guards against orders without a lease, or with too little of it left. */
static void
test_orders_need_lease(void)
{
	struct pb_order_report report;

	set_up(1);
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_EABORTED);
	run_for(0, DURATION + POLL);
	w.table.down = true;
	pb_advance_clock(
	    &w.clk, pb_lease_left(w.router[0].ctx, w.router[0].lease) - SEND);
	CU_ASSERT(fence(0) > 0);
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_EABORTED);
	CU_ASSERT_EQUAL(w.orders.puts, 0);
	tear_down();
}

/* Guards against an earlier holder whose order stays in force. */
static void
test_orders_repaired(void)
{
	struct pb_order_report report;
	int i;

	set_up(1);
	run_for(0, DURATION + POLL);
	w.orders.up[1].down = true;
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_EBUSY);
	CU_ASSERT(report.in_state == 3 && report.failed == 1);
	w.orders.up[1].down = false;
	/* An answer alone is not enough: the state is read back. */
	w.orders.up[1].forgets = true;
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_EBUSY);
	CU_ASSERT(report.sent == 1 && report.failed == 1);
	w.orders.up[1].forgets = false;
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_OK);
	CU_ASSERT_EQUAL(report.sent, 1);
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_OK);
	CU_ASSERT_EQUAL(report.sent, 0);
	/* Two holders: the first is paused after its check. */
	run_for(1, DURATION + POLL);
	CU_ASSERT_EQUAL(reconcile(1, &report), PB_OK);
	for (i = 0; i < FAKE_UPSTREAMS; i++) {
		char name[16];
		uint64_t newer = 0;
		int rc;

		snprintf(name, sizeof(name), "u%d", i);
		rc = w.orders.base.ops->put(w.router[0].ctx, &w.orders.base,
		    name, "role", 1, pb_str_from("{\"by\":0}"), &newer);
		CU_ASSERT_EQUAL(rc, i < 2 ? PB_ECONFLICT : PB_OK);
	}
	CU_ASSERT_EQUAL(reconcile(1, &report), PB_OK);
	CU_ASSERT_EQUAL(report.sent, 2);
	/* The first holder, awake again, learns that it has lost. */
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_EABORTED);
	/* A state that is right but under the old number is sent again. */
	tick(1);
	pb_note_fence(w.router[1].ctx, w.router[1].lease, 9);
	run_for(1, RENEW);
	CU_ASSERT_EQUAL(fence(1), 10);
	CU_ASSERT_EQUAL(reconcile(1, &report), PB_OK);
	CU_ASSERT_EQUAL(report.sent, 2);
	tear_down();
}

/* Clocks are shared, so two valid leases at one instant are a fault. */
static void
check_holders(void)
{
	int i, holders = 0;

	for (i = 0; i < ROUTERS; i++) {
		uint64_t f = fence(i);

		if (f == 0)
			continue;
		holders++;
		if (f >= FENCES_MAX) {
			note(false, "too many fencing numbers");
			continue;
		}
		seen.takeovers += w.owner[f] == 0;
		note(w.owner[f] == 0 || w.owner[f] == i + 1,
		    "a fencing number was used twice");
		w.owner[f] = i + 1;
	}
	note(holders <= 1, "two valid leases");
}

static void take_turn(int i);

/* Inside a call: time passes, and others may run. */
static void
interrupt(void *arg)
{
	double u = pb_next_uniform(&w.rnd);

	(void)arg;
	check_holders();
	if (!w.faults)
		return;
	if (u < 0.03)
		pb_advance_clock(&w.clk,
		    (int64_t)(pb_next_uniform(&w.rnd) * 20 * (double)PB_SEC));
	if (u < 0.3 && w.depth < 2) {
		w.depth++;
		take_turn((int)(pb_next_random(&w.rnd) % ROUTERS));
		w.depth--;
	}
}

/* Before an order takes effect: at times a pause in which others take over. */
static void
pause_order(void *arg)
{
	int i, rounds = pb_next_uniform(&w.rnd) < 0.1 ? 80 : 0;

	interrupt(arg);
	if (!w.faults || w.depth > 0)
		return;
	w.depth++;
	for (i = 0; i < rounds; i++) {
		pb_advance_clock(&w.clk, 250 * PB_MSEC);
		take_turn((int)(pb_next_random(&w.rnd) % ROUTERS));
	}
	w.depth--;
}

static bool
interrupt_table(void *arg)
{
	interrupt(arg);
	return true;
}

static void
take_turn(int i)
{
	struct router *r = &w.router[i];
	struct pb_order_report report;

	if (r->busy)
		return;
	r->busy = true;
	tick(i);
	check_holders();
	if (fence(i) > 0 && w.clk.now_us >= r->order_us) {
		reconcile(i, &report);
		r->order_us = w.clk.now_us + PB_SEC;
	}
	r->busy = false;
}

static void
run_rounds(int rounds)
{
	int i, k;

	for (k = 0; k < rounds; k++) {
		pb_advance_clock(&w.clk, 250 * PB_MSEC);
		for (i = 0; i < ROUTERS; i++)
			if (!w.faults || pb_next_uniform(&w.rnd) < 0.7)
				take_turn(i);
		fake_land_orders(&w.orders, w.faults ? 0.01 : 0);
	}
}

/* All upstreams must follow the one holder. */
static void
check_converged(const char *when)
{
	int i, k, holder = -1;

	for (i = 0; i < ROUTERS; i++)
		if (fence(i) > 0)
			holder = i;
	note(holder >= 0, when);
	for (k = 0; k < FAKE_UPSTREAMS && holder >= 0; k++)
		note(strcmp(w.orders.up[k].desired, w.router[holder].desired) ==
			0,
		    when);
}

static void
run_seed(uint64_t seed)
{
	static const double chances[FAKE_FAULT_COUNT] = {
	    0, 0.06, 0.04, 0.06, 0.04, 0.05};
	int k;

	set_up(seed);
	memcpy(w.table.chance, chances, sizeof(chances));
	w.table.slow_us = 10 * PB_MSEC;
	w.table.step = interrupt_table;
	w.orders.step = pause_order;
	w.orders.lose = 0.1;
	w.orders.postpone = 0.1;
	w.faults = true;
	run_rounds(ROUNDS);
	w.faults = false;
	memset(w.table.chance, 0, sizeof(w.table.chance));
	w.orders.lose = w.orders.postpone = 0;
	fake_apply_late_commits(&w.table);
	/* 250 ms a round: the old lease runs out, one poll, one pass. */
	run_rounds((int)((DURATION + 2 * POLL + 2 * RENEW) / PB_MSEC / 250));
	check_converged("not converged after the faults");
	/* Orders of earlier holders that were still on their way. */
	fake_land_orders(&w.orders, 1);
	run_rounds(8);
	check_converged("a late order stayed in force");
	for (k = 0; k < FAKE_UPSTREAMS; k++) {
		seen.stale += w.orders.up[k].stale;
		seen.refused += w.orders.up[k].refused;
	}
	tear_down();
}

static void
test_random(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(seed);
	printf("takeovers %llu stale orders taken %llu refused %llu\n",
	    (unsigned long long)seen.takeovers, (unsigned long long)seen.stale,
	    (unsigned long long)seen.refused);
	/* The driver must reach the cases that it is there for. */
	CU_ASSERT(seen.takeovers > 2 * SEEDS);
	CU_ASSERT(seen.stale > SEEDS / 10 && seen.refused > SEEDS / 10);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"takeover", test_takeover},
	    {"release", test_release}, {"fence grows", test_fence_grows},
	    {"lost answer", test_lost_answer},
	    {"slow answer", test_slow_answer},
	    {"orders need the lease", test_orders_need_lease},
	    {"orders repaired", test_orders_repaired}, {"random", test_random},
	    CU_TEST_INFO_NULL};
	int rc;

	rc = run_suite("lease", tests);
	return rc;
}
