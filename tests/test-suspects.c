#include "poplarbeam/suspects.h"

#include "run-suite.h"

static struct pb_manual_clock clk;
static struct pb_context *ctx;

static bool
crash(struct pb_suspects *s, uint64_t fingerprint, uint64_t victim)
{
	struct pb_crash c = {fingerprint, victim};

	return pb_note_crash(ctx, s, &c);
}

/* Guards against a request that is retried until every instance crashed. */
static void
test_third_crash(void)
{
	struct pb_suspects *s = pb_new_suspects(ctx);

	CU_ASSERT_FALSE(crash(s, 7, 1));
	CU_ASSERT_FALSE(crash(s, 7, 2));
	/* The same crash, reported by another router. */
	CU_ASSERT_FALSE(crash(s, 7, 2));
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, 7), 0);
	CU_ASSERT(crash(s, 7, 3));
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, 7), 60 * PB_SEC);
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, 8), 0);
	/* The request may run once more; another crash refuses it again. */
	pb_advance_clock(&clk, 61 * PB_SEC);
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, 7), 0);
	CU_ASSERT(crash(s, 7, 4));
	CU_ASSERT(pb_refusal_left(ctx, s, 7) > 0);
	pb_advance_clock(&clk, 200 * PB_SEC);
	CU_ASSERT_FALSE(crash(s, 7, 5));
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, 7), 0);
	pb_drop_suspects(ctx, s);
}

/*
 * Guards against the refusal of valid requests whose instances crashed for
 * another reason or whose connections were reset.
 */
static void
test_unrelated_crash(void)
{
	struct pb_suspects *s = pb_new_suspects(ctx);

	crash(s, 7, 1);
	crash(s, 7, 2);
	pb_note_success(ctx, s, 7);
	CU_ASSERT_FALSE(crash(s, 7, 3));
	CU_ASSERT_FALSE(crash(s, 7, 4));
	CU_ASSERT_FALSE(crash(s, 7, 5));
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, 7), 0);
	pb_drop_suspects(ctx, s);
}

/*
 * Guards against crashes that are not reported to other routers or are counted
 * twice.
 */
static void
test_sharing(void)
{
	struct pb_suspects *a = pb_new_suspects(ctx);
	struct pb_suspects *b = pb_new_suspects(ctx);
	struct pb_crash shared[8];
	size_t i, n;

	crash(a, 7, 1);
	crash(a, 7, 2);
	pb_advance_clock(&clk, PB_SEC);
	crash(a, 9, 3);
	n = pb_read_crashes(ctx, a, shared, 8);
	CU_ASSERT_EQUAL(n, 3);
	for (i = 0; i < n; i++)
		pb_note_crash(ctx, b, &shared[i]);
	CU_ASSERT(crash(b, 7, 3));
	CU_ASSERT_EQUAL(pb_read_crashes(ctx, b, shared, 8), 4);
	pb_advance_clock(&clk, 10 * PB_SEC);
	CU_ASSERT_EQUAL(pb_read_crashes(ctx, a, shared, 8), 0);
	pb_drop_suspects(ctx, a);
	pb_drop_suspects(ctx, b);
}

/*
 * Guards against memory use that grows with the number of requests, and against
 * crashes that are lost when the table is full.
 */
static void
test_many(void)
{
	struct pb_suspects *s = pb_new_suspects(ctx);
	uint64_t i;

	for (i = 1; i <= 1000; i++) {
		crash(s, i, 1);
		pb_advance_clock(&clk, PB_MSEC);
	}
	crash(s, 1000, 2);
	CU_ASSERT(crash(s, 1000, 3));
	CU_ASSERT_FALSE(crash(s, 1, 2));
	pb_drop_suspects(ctx, s);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"third crash", test_third_crash},
	    {"innocent", test_unrelated_crash}, {"telling", test_sharing},
	    {"many", test_many}, CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, 0);
	pb_advance_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("suspects", tests);
	pb_drop_context(ctx);
	return rc;
}
