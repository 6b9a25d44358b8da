#include "poplarbeam/lease.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

#include "lib/fake-claim-table.h"
#include "lib/fake-orders.h"

/*
 * Tests the lease and the orders that are sent under it: first single cases,
 * then random sequences from seeds, in which routers interrupt each other
 * during calls and pause, and writes and orders are lost or late.
 */

#define DURATION (15 * PB_SEC)
#define MARGIN (500 * PB_MSEC)
#define RENEW (4 * PB_SEC)
#define POLL (2 * PB_SEC)
#define SEND_TIMEOUT (1 * PB_SEC)
#define ROUTERS 3
#define SEEDS 400
#define ROUNDS 300
#define FENCES_MAX 512

struct router {
	struct pb_context *ctx;
	struct pb_lease *lease;
	char desired[64];
	bool busy; /* interrupted during a call */
	int64_t next_pass_us; /* when the next pass over the orders is due */
};

struct world {
	struct pb_manual_clock clk;
	struct fake_claim_table table;
	struct fake_orders orders;
	struct router router[ROUTERS];
	struct pb_random rnd;
	bool faults;
	int depth;
	/* Index + 1 of the router that held each fencing number; 0: none. */
	int fence_holder[FENCES_MAX];
	uint64_t seed;
};

static struct world w;
static struct {
	uint64_t stale, refused, takeovers;
} totals;

static void
expect(bool ok, const char *what)
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
	w.orders.upstreams[2].ignores_fence =
	    w.orders.upstreams[3].ignores_fence = true;
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

/* Calls pb_tick_lease for router i every 100 ms for the given time. */
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
	    FAKE_UPSTREAMS, SEND_TIMEOUT, report);
}

/*
 * Guards against a takeover while the holder's lease is valid, and against a
 * holder that keeps the lease after its expiry.
 */
static void
test_takeover(void)
{
	set_up(1);
	tick(0);
	/* If the row is absent, acquiring the lease takes DURATION. */
	CU_ASSERT_EQUAL(fence(0), 0);
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

/* Guards against a lease that stays unavailable after a planned shutdown. */
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

/* Guards against a fencing number that decreases or is used twice. */
static void
test_fence_grows(void)
{
	struct pb_table_put put = {
	    "lease/orders", pb_str_from("{\"fence\":9}")};
	struct pb_table_commit bad = {NULL, 0, &put, 1, NULL, 0};

	set_up(1);
	run_for(0, DURATION + POLL);
	pb_report_fence(w.router[0].ctx, w.router[0].lease, 41);
	CU_ASSERT_EQUAL(fence(0), 0);
	run_for(0, RENEW);
	CU_ASSERT_EQUAL(fence(0), 42);
	pb_report_fence(w.router[0].ctx, w.router[0].lease, UINT64_MAX);
	CU_ASSERT_EQUAL(fence(0), 42);
	w.table.base.ops->commit(w.router[0].ctx, &w.table.base, &bad);
	run_for(1, 3 * DURATION);
	CU_ASSERT_EQUAL(fence(1), 0);
	CU_ASSERT_EQUAL(w.router[1].ctx->error.code, PB_EPROTO);
	tear_down();
}

/*
 * Guards against losing the lease, or acquiring it twice, when the response to
 * a write is lost or the write is late.
 */
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

/* Delays the response to a commit by ten seconds after its effect. */
static bool
delay_answer(void *arg)
{
	int *calls = arg;

	/* Steps 1 and 2 belong to get, 3 and 4 to commit (before, after). */
	if (++*calls == 4)
		pb_advance_clock(&w.clk, 10 * PB_SEC);
	return true;
}

/*
 * Guards against a holder that measures the lease from the response to a slow
 * renewal instead of from its start.
 */
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
	CU_ASSERT_EQUAL(pb_lease_remaining(w.router[0].ctx, w.router[0].lease),
	    DURATION - MARGIN - 10 * PB_SEC);
	tear_down();
}

/* Guards against orders without a lease or shortly before its expiry. */
static void
test_orders_need_lease(void)
{
	struct pb_order_report report;

	set_up(1);
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_EABORTED);
	run_for(0, DURATION + POLL);
	w.table.down = true;
	pb_advance_clock(&w.clk,
	    pb_lease_remaining(w.router[0].ctx, w.router[0].lease) -
		SEND_TIMEOUT);
	CU_ASSERT(fence(0) > 0);
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_EABORTED);
	CU_ASSERT_EQUAL(w.orders.puts, 0);
	tear_down();
}

/* Guards against a late order of an earlier holder that stays in force. */
static void
test_orders_repaired(void)
{
	struct pb_order_report report;
	int i;

	set_up(1);
	run_for(0, DURATION + POLL);
	w.orders.upstreams[1].down = true;
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_EBUSY);
	CU_ASSERT(report.confirmed == 3 && report.failed == 1);
	w.orders.upstreams[1].down = false;
	/* A confirmed order counts only if the state read back matches. */
	w.orders.upstreams[1].discards_orders = true;
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_EBUSY);
	CU_ASSERT(report.sent == 1 && report.failed == 1);
	w.orders.upstreams[1].discards_orders = false;
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_OK);
	CU_ASSERT_EQUAL(report.sent, 1);
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_OK);
	CU_ASSERT_EQUAL(report.sent, 0);
	/* The first holder was paused after its check and sends late orders. */
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
	/* The first holder's lease has expired. */
	CU_ASSERT_EQUAL(reconcile(0, &report), PB_EABORTED);
	/* An order is sent again if only its fencing number is outdated. */
	tick(1);
	pb_report_fence(w.router[1].ctx, w.router[1].lease, 9);
	run_for(1, RENEW);
	CU_ASSERT_EQUAL(fence(1), 10);
	CU_ASSERT_EQUAL(reconcile(1, &report), PB_OK);
	CU_ASSERT_EQUAL(report.sent, 2);
	tear_down();
}

/*
 * Checks that at most one lease is valid. All routers share one clock, so there
 * is no drift to allow for.
 */
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
			expect(false, "too many fencing numbers");
			continue;
		}
		totals.takeovers += w.fence_holder[f] == 0;
		expect(w.fence_holder[f] == 0 || w.fence_holder[f] == i + 1,
		    "a fencing number was used twice");
		w.fence_holder[f] = i + 1;
	}
	expect(holders <= 1, "two valid leases");
}

static void run_router(int i);

/* Interrupts a call: may advance the clock and let another router run. */
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
		run_router((int)(pb_next_random(&w.rnd) % ROUTERS));
		w.depth--;
	}
}

/* May delay an order until another router has taken the lease over. */
static void
delay_order(void *arg)
{
	int i, rounds = pb_next_uniform(&w.rnd) < 0.1 ? 80 : 0;

	interrupt(arg);
	if (!w.faults || w.depth > 0)
		return;
	w.depth++;
	for (i = 0; i < rounds; i++) {
		pb_advance_clock(&w.clk, 250 * PB_MSEC);
		run_router((int)(pb_next_random(&w.rnd) % ROUTERS));
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
run_router(int i)
{
	struct router *r = &w.router[i];
	struct pb_order_report report;

	if (r->busy)
		return;
	r->busy = true;
	tick(i);
	check_holders();
	if (fence(i) > 0 && w.clk.now_us >= r->next_pass_us) {
		reconcile(i, &report);
		r->next_pass_us = w.clk.now_us + PB_SEC;
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
				run_router(i);
		fake_apply_late_orders(&w.orders, w.faults ? 0.01 : 0);
	}
}

/* Checks that all upstreams are in the state desired by the holder. */
static void
check_converged(const char *when)
{
	int i, k, holder = -1;

	for (i = 0; i < ROUTERS; i++)
		if (fence(i) > 0)
			holder = i;
	expect(holder >= 0, when);
	for (k = 0; k < FAKE_UPSTREAMS && holder >= 0; k++)
		expect(strcmp(w.orders.upstreams[k].desired,
			   w.router[holder].desired) == 0,
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
	w.orders.step = delay_order;
	w.orders.lose_chance = 0.1;
	w.orders.postpone_chance = 0.1;
	w.faults = true;
	run_rounds(ROUNDS);
	w.faults = false;
	memset(w.table.chance, 0, sizeof(w.table.chance));
	w.orders.lose_chance = w.orders.postpone_chance = 0;
	fake_apply_late_commits(&w.table);
	/*
	 * The rounds of 250 ms last long enough for the old lease to expire,
	 * for a poll, and for a pass over the orders.
	 */
	run_rounds((int)((DURATION + 2 * POLL + 2 * RENEW) / PB_MSEC / 250));
	check_converged("not converged after the faults");
	/* Apply the late orders of earlier holders. */
	fake_apply_late_orders(&w.orders, 1);
	run_rounds(8);
	check_converged("a late order stayed in force");
	for (k = 0; k < FAKE_UPSTREAMS; k++) {
		totals.stale += w.orders.upstreams[k].stale;
		totals.refused += w.orders.upstreams[k].refused;
	}
	tear_down();
}

static void
test_random(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(seed);
	printf("takeovers %llu stale orders accepted %llu refused %llu\n",
	    (unsigned long long)totals.takeovers,
	    (unsigned long long)totals.stale,
	    (unsigned long long)totals.refused);
	/* Check that the seeds cover takeovers and late orders. */
	CU_ASSERT(totals.takeovers > 2 * SEEDS);
	CU_ASSERT(totals.stale > SEEDS / 10 && totals.refused > SEEDS / 10);
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
