#include "lib/fleet.h"

#include "run-suite.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

static struct pb_manual_clock clk;
static struct pb_context *ctx;

static bool
take(struct pb_limiter *l, uint64_t account,
    const struct pb_account_limits *limits, uint32_t work)
{
	int64_t retry;

	return pb_take_limit(ctx, l, account, limits, work, &retry) == PB_OK;
}

/* Guards against a single cell that admits more or less than the limit. */
static void
test_one_cell_exact(void)
{
	struct pb_account_limits limits = {100, 5000, 0, 1};
	struct pb_limiter *l = pb_new_limiter(ctx, 10, 1);
	int64_t retry = 0;
	int admitted = 0, i;

	for (i = 0; i < 100 * 1000; i++) {
		if (take(l, 1, &limits, 40)) {
			pb_return_limit(ctx, l, 1, 40, 40);
			admitted++;
		}
		pb_advance_clock(&clk, PB_MSEC / 10);
	}
	/* 10 s and a burst of 1 s, at the lower of 100/s and 5000/40/s. */
	CU_ASSERT(admitted == 1100 || admitted == 1099); /* rounding */
	while (pb_take_limit(ctx, l, 1, &limits, 40, &retry) == PB_OK)
		;
	pb_advance_clock(&clk, retry - 1);
	CU_ASSERT_FALSE(take(l, 1, &limits, 40));
	pb_advance_clock(&clk, 1);
	CU_ASSERT_TRUE(take(l, 1, &limits, 40));
	pb_drop_limiter(ctx, l);
}

/*
 * Guards against work that stays charged by its estimate, against a request
 * larger than the bucket that is never admitted, and against charging requests
 * that did not run.
 */
static void
test_work_correction(void)
{
	struct pb_account_limits limits = {0, 1000, 0, 1};
	struct pb_limiter *l = pb_new_limiter(ctx, 10, 1);

	CU_ASSERT_TRUE(take(l, 1, &limits, 800));
	CU_ASSERT_FALSE(take(l, 1, &limits, 300));
	pb_return_limit(ctx, l, 1, 800, 100);
	CU_ASSERT_TRUE(take(l, 1, &limits, 900));
	pb_return_limit(ctx, l, 1, 900, 0);
	CU_ASSERT_TRUE(take(l, 1, &limits, 900));
	pb_return_limit(ctx, l, 1, 900, 2900);
	pb_advance_clock(&clk, PB_SEC);
	CU_ASSERT_FALSE(take(l, 1, &limits, 1));
	pb_advance_clock(&clk, 2 * PB_SEC);
	CU_ASSERT_TRUE(take(l, 1, &limits, 5000));
	limits = (struct pb_account_limits){1, 0, 0, 1};
	CU_ASSERT_TRUE(take(l, 2, &limits, 1));
	CU_ASSERT_FALSE(take(l, 2, &limits, 1));
	pb_return_limit(ctx, l, 2, 1, 0);
	CU_ASSERT_TRUE(take(l, 2, &limits, 1));
	pb_drop_limiter(ctx, l);
}

/*
 * Guards against concurrency that is not released when requests end, and
 * against a concurrency limit that counts per call instead of per account.
 */
static void
test_concurrency(void)
{
	struct pb_account_limits limits = {0, 0, 3, 0};
	struct pb_limiter *l = pb_new_limiter(ctx, 10, 1);
	int i;

	for (i = 0; i < 100; i++) {
		CU_ASSERT_TRUE(take(l, 1, &limits, 1));
		CU_ASSERT_TRUE(take(l, 1, &limits, 1));
		CU_ASSERT_TRUE(take(l, 1, &limits, 1));
		CU_ASSERT_FALSE(take(l, 1, &limits, 1));
		CU_ASSERT_TRUE(take(l, 2, &limits, 1));
		pb_return_limit(ctx, l, 1, 1, 1);
		pb_return_limit(ctx, l, 1, 1, 1);
		pb_return_limit(ctx, l, 1, 1, 1);
		pb_return_limit(ctx, l, 2, 1, 1);
	}
	pb_return_limit(ctx, l, 1, 1, 1);
	CU_ASSERT_TRUE(take(l, 1, &limits, 1));
	pb_drop_limiter(ctx, l);
}

/*
 * Guards against memory that grows with every account ever seen, and against an
 * account that gets a full bucket because it was freed too early.
 */
static void
test_bounded_accounts(void)
{
	struct pb_account_limits limits = {1, 0, 0, 1};
	struct pb_limiter *l = pb_new_limiter(ctx, 18000, 1);
	uint64_t i, admitted = 0;

	for (i = 0; i < 20000; i++)
		admitted += take(l, i, &limits, 1);
	CU_ASSERT_EQUAL(admitted, 18000);
	CU_ASSERT_EQUAL(pb_trim_limiter(ctx, l), 18000);
	for (i = 0; i < 17000; i++)
		pb_return_limit(ctx, l, i, 1, 1);
	pb_advance_clock(&clk, PB_SEC / 2);
	CU_ASSERT_EQUAL(pb_trim_limiter(ctx, l), 18000);
	CU_ASSERT_FALSE(take(l, 0, &limits, 1));
	pb_advance_clock(&clk, 20 * PB_SEC);
	CU_ASSERT_EQUAL(pb_trim_limiter(ctx, l), 1000);
	CU_ASSERT_TRUE(take(l, 19000, &limits, 1));
	pb_drop_limiter(ctx, l);
}

/*
 * Guards against cells that each admit an account without reports up to its
 * whole limit, also after reports from other cells have stopped.
 */
static void
test_equal_division(void)
{
	struct pb_account_limits limits = {100, 0, 0, 1};
	struct pb_limiter *l = pb_new_limiter(ctx, 10, 4);
	struct pb_account_demand d = {.account = 1, .requests_per_sec = 100};
	int admitted = 0, i, j;

	for (i = 0; i < 1000; i++) {
		admitted += take(l, 1, &limits, 1);
		pb_advance_clock(&clk, 10 * PB_MSEC);
	}
	CU_ASSERT(admitted >= 270 && admitted <= 275);
	/* First all demand is at other cells, then their reports stop. */
	for (j = 0; j < 2; j++) {
		for (i = 0; j == 0 && i < 4; i++)
			pb_set_cell_demand(ctx, l, (uint64_t)i, &d, 1);
		admitted = 0;
		for (i = 0; i < 400; i++) {
			admitted += take(l, 1, &limits, 1);
			pb_advance_clock(&clk, 10 * PB_MSEC);
		}
		if (j == 0)
			CU_ASSERT(admitted < 30);
	}
	pb_advance_clock(&clk, 10 * PB_SEC);
	for (admitted = 0, i = 0; i < 1000; i++) {
		admitted += take(l, 1, &limits, 1);
		pb_advance_clock(&clk, 10 * PB_MSEC);
	}
	CU_ASSERT(admitted >= 250 && admitted <= 275);
	pb_drop_limiter(ctx, l);
}

/*
 * Guards against a fleet limit that is exceeded by more than 5% over 10 s while
 * demand moves between cells and reports are 0.5 to 2 s late.
 */
static void
test_fleet_limit(void)
{
	static struct fleet f;
	struct pb_account_limits limits = {200, 0, 0, 0.5};
	double allowed = 200 * (10 + 0.5);
	int seed, step;

	for (seed = 1; seed <= 12; seed++) {
		fleet_start(
		    &f, FLEET_EXCHANGE, 2 + seed % 7, &limits, (uint64_t)seed);
		for (step = 0; step < 150 * 50; step++) {
			/* Demand moves every 3 to 12 s, by seed. */
			if (step % (150 * (1 + seed % 4)) == 0)
				fleet_randomize_demand(&f, 600);
			fleet_step(&f);
		}
		CU_ASSERT(f.largest <= allowed * 1.05);
		fleet_stop(&f);
	}
}

/*
 * Guards against a fleet concurrency limit that is exceeded because requests at
 * one cell still run after the share of that cell has shrunk.
 */
static void
test_fleet_concurrency(void)
{
	static struct fleet f;
	struct pb_account_limits limits = {0, 0, 40, 0};
	int seed, step;

	for (seed = 1; seed <= 8; seed++) {
		fleet_start(
		    &f, FLEET_EXCHANGE, 2 + seed % 3, &limits, (uint64_t)seed);
		f.mean_duration_sec = 4;
		for (step = 0; step < 150 * 50; step++) {
			if (step % (200 * (1 + seed % 4)) == 0)
				fleet_randomize_demand(&f, 40);
			fleet_step(&f);
		}
		CU_ASSERT(f.most_in_flight <= 42);
		fleet_stop(&f);
	}
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"one cell exact", test_one_cell_exact},
	    {"work correction", test_work_correction},
	    {"concurrency", test_concurrency},
	    {"bounded accounts", test_bounded_accounts},
	    {"equal division", test_equal_division},
	    {"fleet limit", test_fleet_limit},
	    {"fleet concurrency", test_fleet_concurrency}, CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("limit", tests);
	pb_drop_context(ctx);
	return rc;
}
