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

static uint64_t
part(const char *id)
{
	return pb_part_fingerprint(pb_str_from(id));
}

/*
 * Records crashes of the part at instances first to last, one second apart;
 * returns the result of the last.
 */
static bool
crash_series(
    struct pb_suspects *s, uint64_t fingerprint, uint64_t first, uint64_t last)
{
	bool refused = false;
	uint64_t i;

	for (i = first; i <= last; i++) {
		pb_advance_clock(&clk, PB_SEC);
		refused = crash(s, fingerprint, i);
	}
	return refused;
}

/* Copies all records of one router to another. */
static void
report(struct pb_suspects *from, struct pb_suspects *to)
{
	struct pb_crash records[64];
	size_t i, n = pb_read_crashes(ctx, from, records, 64);

	for (i = 0; i < n; i++)
		pb_note_crash_report(ctx, to, &records[i]);
}

/* Guards against different requests that crash instances by a shared part. */
static void
test_part(void)
{
	struct pb_suspects *s = pb_new_suspects(ctx);

	pb_note_success(ctx, s, part("sound"));
	CU_ASSERT_FALSE(crash_series(s, part("crashing"), 1, 2));
	CU_ASSERT_FALSE(crash_series(s, part("sound"), 1, 3));
	CU_ASSERT(crash_series(s, part("crashing"), 3, 3));
	CU_ASSERT_EQUAL(
	    pb_refusal_left(ctx, s, part("crashing")), 300 * PB_SEC);
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, part("sound")), 0);
	CU_ASSERT_EQUAL(pb_count_refused(ctx, s), 1);
	/* After the refusal, one further crash is enough. */
	pb_advance_clock(&clk, 301 * PB_SEC);
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, part("crashing")), 0);
	CU_ASSERT(crash(s, part("crashing"), 4));
	CU_ASSERT(pb_refusal_left(ctx, s, part("crashing")) > 0);
	pb_drop_suspects(ctx, s);
}

/*
 * Guards against the refusal of a rare part when the network resets the
 * connections to several instances at once.
 */
static void
test_reset_together(void)
{
	struct pb_suspects *s = pb_new_suspects(ctx);

	CU_ASSERT_FALSE(crash(s, part("rare"), 1));
	CU_ASSERT_FALSE(crash(s, part("rare"), 2));
	CU_ASSERT_FALSE(crash(s, part("rare"), 3));
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, part("rare")), 0);
	pb_drop_suspects(ctx, s);
}

/*
 * Guards against a router that has just started and refuses every request of a
 * route, because it has seen no success of their first part yet.
 */
static void
test_success_report(void)
{
	struct pb_suspects *old = pb_new_suspects(ctx);
	struct pb_suspects *started = pb_new_suspects(ctx);

	pb_note_success(ctx, old, part("first"));
	CU_ASSERT(crash_series(started, part("first"), 1, 3));
	CU_ASSERT(pb_refusal_left(ctx, started, part("first")) > 0);
	report(started, old);
	report(old, started);
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, started, part("first")), 0);
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, old, part("first")), 0);
	/* The success is not reported back and forth without end. */
	pb_advance_clock(&clk, 4 * PB_SEC);
	report(started, old);
	report(old, started);
	pb_advance_clock(&clk, 4 * PB_SEC);
	report(started, old);
	pb_advance_clock(&clk, 113 * PB_SEC);
	CU_ASSERT(crash_series(old, part("first"), 4, 6));
	pb_drop_suspects(ctx, old);
	pb_drop_suspects(ctx, started);
}

/*
 * Guards against a router that starts during a refusal and sends the requests
 * again, and against a refusal that routers extend for each other.
 */
static void
test_refusal_report(void)
{
	struct pb_suspects *a = pb_new_suspects(ctx);
	struct pb_suspects *b = pb_new_suspects(ctx);
	int64_t left;
	int i;

	crash_series(a, part("crashing"), 1, 6);
	pb_advance_clock(&clk, 100 * PB_SEC);
	report(a, b);
	CU_ASSERT(pb_refusal_left(ctx, b, part("crashing")) > 0);
	crash_series(b, part("crashing"), 7, 12);
	for (i = 0; i < 5; i++) {
		pb_advance_clock(&clk, PB_SEC);
		report(a, b);
		report(b, a);
	}
	left = pb_refusal_left(ctx, b, part("crashing"));
	pb_advance_clock(&clk, PB_SEC);
	report(a, b);
	report(b, a);
	CU_ASSERT_EQUAL(
	    pb_refusal_left(ctx, b, part("crashing")), left - PB_SEC);
	pb_drop_suspects(ctx, a);
	pb_drop_suspects(ctx, b);
}

/*
 * Guards against a part of all requests of a route that is refused for minutes,
 * because instances crash one after the other before any response is complete.
 */
static void
test_begun_part(void)
{
	struct pb_suspects *s = pb_new_suspects(ctx);

	pb_note_begun(ctx, s, part("first"));
	CU_ASSERT_FALSE(crash_series(s, part("first"), 1, 4));
	CU_ASSERT(crash_series(s, part("first"), 5, 5));
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, part("first")), 10 * PB_SEC);
	pb_advance_clock(&clk, 10 * PB_SEC);
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, part("first")), 0);
	CU_ASSERT(crash_series(s, part("first"), 6, 6));
	pb_note_success(ctx, s, part("first"));
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, part("first")), 0);
	/* A response that begins after a refusal has started ends it. */
	CU_ASSERT(crash_series(s, part("late"), 1, 3));
	pb_note_begun(ctx, s, part("late"));
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, s, part("late")), 0);
	pb_drop_suspects(ctx, s);
}

/* Guards against a full table that drops a part because of many requests. */
static void
test_part_kept(void)
{
	struct pb_suspects *s = pb_new_suspects(ctx);
	struct pb_crash records[64];
	uint64_t i;

	crash(s, part("crashing"), 1);
	for (i = 1; i <= 1000; i++) {
		pb_advance_clock(&clk, PB_MSEC);
		crash(s, i, 1);
	}
	CU_ASSERT_EQUAL(pb_read_crashes(ctx, s, records, 64), 64);
	CU_ASSERT_EQUAL(records[0].fingerprint, part("crashing"));
	pb_drop_suspects(ctx, s);
}

/*
 * Guards against a popular request that a router refuses although it succeeds
 * through others, because routers share its crashes and not its successes.
 */
static void
test_request_success_report(void)
{
	struct pb_suspects *serving = pb_new_suspects(ctx);
	struct pb_suspects *refusing = pb_new_suspects(ctx);
	uint64_t i;

	pb_note_success(ctx, serving, 7);
	for (i = 1; i <= 3; i++)
		crash(refusing, 7, i);
	CU_ASSERT(pb_refusal_left(ctx, refusing, 7) > 0);
	report(refusing, serving);
	report(serving, refusing);
	CU_ASSERT_EQUAL(pb_refusal_left(ctx, refusing, 7), 0);
	pb_drop_suspects(ctx, serving);
	pb_drop_suspects(ctx, refusing);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"third crash", test_third_crash},
	    {"innocent", test_unrelated_crash}, {"telling", test_sharing},
	    {"many", test_many}, {"prompt part", test_part},
	    {"reset together", test_reset_together},
	    {"success report", test_success_report},
	    {"request success report", test_request_success_report},
	    {"refusal report", test_refusal_report},
	    {"begun part", test_begun_part}, {"part kept", test_part_kept},
	    CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, 0);
	pb_advance_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("suspects", tests);
	pb_drop_context(ctx);
	return rc;
}
