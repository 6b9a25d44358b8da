#include "poplarbeam/base.h"
#include "poplarbeam/ending.h"

#include "run-suite.h"
#include <string.h>

static bool
is_forwarded(enum pb_end_reason reason)
{
	return reason == PB_END_COMPLETE || reason == PB_END_UPSTREAM_ANSWER;
}

static bool
is_late(enum pb_end_reason reason)
{
	return reason == PB_END_TIMEOUT || reason == PB_END_STOPPING;
}

static enum pb_end_action
expected_action(enum pb_end_reason reason, const struct pb_end_state *state)
{
	if (reason == PB_END_CALLER_LEFT || !state->has_caller)
		return PB_END_NOTHING;
	if (is_forwarded(reason))
		return PB_END_FORWARD;
	return state->answer_begun ? PB_END_CLOSE : PB_END_SEND_STATUS;
}

static int
expected_status(enum pb_end_reason reason, const struct pb_end_state *state)
{
	if (is_forwarded(reason) || reason == PB_END_CALLER_LEFT)
		return 0;
	if (!state->may_have_run)
		return 503;
	return is_late(reason) ? 504 : 502;
}

static void
check_ending(enum pb_end_reason reason, const struct pb_end_state *state)
{
	struct pb_ending e = pb_decide_ending(reason, state);

	CU_ASSERT_EQUAL(e.action, expected_action(reason, state));
	CU_ASSERT_EQUAL(e.status, expected_status(reason, state));
}

/*
 * Guards against a request that ends without an answer, is told that it has not
 * run although it may have, or gets a status after part of a response: every
 * reason in every state.
 */
static void
test_every_ending(void)
{
	int reason, bits;

	for (reason = 0; reason < PB_END_REASONS; reason++) {
		for (bits = 0; bits < 8; bits++) {
			struct pb_end_state state = {
			    bits & 1, bits & 2, bits & 4};

			check_ending((enum pb_end_reason)reason, &state);
		}
	}
}

/* Guards against reasons that the log and the metrics cannot tell apart. */
static void
test_texts(void)
{
	int i, k;

	for (i = 0; i < PB_END_REASONS; i++) {
		const char *text = pb_end_reason_text((enum pb_end_reason)i);

		for (k = 0; k < i; k++) {
			const char *other =
			    pb_end_reason_text((enum pb_end_reason)k);

			CU_ASSERT_FATAL(text != NULL && other != NULL);
			if (text != NULL && other != NULL)
				CU_ASSERT(strcmp(text, other) != 0);
		}
	}
}

/*
 * Guards against a request that an instance runs being ended while one that has
 * not run, is less urgent or belongs to a larger account holds memory, and
 * against any of them being ended while unread responses hold it. Of those, it
 * does not matter which have run: they all have.
 */
static void
test_order(void)
{
	static const struct pb_holder order[] = {{true, true, 2, 90, 1},
	    {true, false, 2, 80, 7}, {true, true, 2, 80, 5},
	    {true, true, 0, 95, 95}, {false, false, 2, 10, 1},
	    {false, false, 1, 90, 9}, {false, true, 2, 50, 1},
	    {false, true, 2, 40, 30}, {false, true, 2, 40, 20},
	    {false, true, 0, 90, 90}};
	size_t i, k, n = sizeof(order) / sizeof(order[0]);

	for (i = 0; i < n; i++) {
		for (k = 0; k < n; k++)
			CU_ASSERT_EQUAL(
			    pb_ends_before(&order[i], &order[k]), i < k);
	}
}

/*
 * Guards against a stream that is read on while its caller does not read, and
 * against one that is held and read again with every part.
 */
static void
test_hold(void)
{
	CU_ASSERT(!pb_is_read_slowly(200));
	CU_ASSERT(pb_is_read_slowly(20000));
	CU_ASSERT(!pb_must_hold(0, false));
	CU_ASSERT(!pb_must_hold(0, true));
	CU_ASSERT(!pb_must_hold(50000, false));
	CU_ASSERT(pb_must_hold(50000, true));
	CU_ASSERT(pb_must_hold(100000, false));
	CU_ASSERT(pb_must_hold(100000, true));
}

/*
 * Guards against an instance that is blamed for closing a connection that the
 * router did not read, and against one that is not blamed for a crash because
 * its response was held at some time.
 */
static void
test_unread_break(void)
{
	struct pb_backpressure p = {0};

	CU_ASSERT(!pb_is_unread_break(&p, 9 * PB_SEC));
	pb_note_resume(&p, 9 * PB_SEC);
	CU_ASSERT(!pb_is_unread_break(&p, 9 * PB_SEC));
	pb_note_hold(&p, 10 * PB_SEC);
	CU_ASSERT(!pb_is_unread_break(&p, 10 * PB_SEC + 100 * PB_MSEC));
	/* A hold that goes on is not begun again. */
	pb_note_hold(&p, 13 * PB_SEC);
	CU_ASSERT(pb_is_unread_break(&p, 13 * PB_SEC));
	pb_note_resume(&p, 14 * PB_SEC);
	CU_ASSERT_EQUAL(p.longest_us, 4 * PB_SEC);
	CU_ASSERT(pb_is_unread_break(&p, 14 * PB_SEC + 500 * PB_MSEC));
	CU_ASSERT(!pb_is_unread_break(&p, 20 * PB_SEC));
	pb_note_hold(&p, 20 * PB_SEC);
	pb_note_resume(&p, 20 * PB_SEC + 10 * PB_MSEC);
	CU_ASSERT_EQUAL(p.longest_us, 4 * PB_SEC);
}

/*
 * Guards against bodies of less urgent ranks that take all room, and against
 * room that is kept where the configuration has no ranks.
 */
static void
test_body_share(void)
{
	static const size_t lengths[] = {1, 65536, 65537, 4 << 20};
	size_t i;
	int rank;

	CU_ASSERT_EQUAL(pb_find_body_share(1000, 0, 0), 1.0);
	CU_ASSERT_EQUAL(pb_find_body_share(1000, 0, 1), 1.0);
	CU_ASSERT_EQUAL(pb_find_body_share(4 << 20, 0, 1), 0.75);
	for (i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
		CU_ASSERT_EQUAL(pb_find_body_share(lengths[i], 0, 10),
		    pb_find_body_share(lengths[i], 0, 1));
		for (rank = 1; rank < 10; rank++)
			CU_ASSERT(pb_find_body_share(lengths[i], rank, 10) <
			    pb_find_body_share(lengths[i], rank - 1, 10));
		CU_ASSERT_EQUAL(pb_find_body_share(lengths[i], 9, 3),
		    pb_find_body_share(lengths[i], 2, 3));
		CU_ASSERT(pb_find_body_share(lengths[i], 9, 10) >= 0.5);
	}
}

/*
 * Guards against callers of a stopping router who wait for its pauses although
 * other routers may serve them, and against a crashing request that is sent to
 * the next router at once.
 */
static void
test_retry_after(void)
{
	int i;

	for (i = 0; i < PB_END_REASONS; i++) {
		bool crashing =
		    i == PB_END_CRASHING_REQUEST || i == PB_END_CRASHING_PART;

		CU_ASSERT_EQUAL(
		    pb_choose_retry_after((enum pb_end_reason)i, false, 30),
		    30);
		CU_ASSERT_EQUAL(
		    pb_choose_retry_after((enum pb_end_reason)i, true, 30),
		    crashing ? 30 : 0);
	}
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"every ending", test_every_ending},
	    {"texts", test_texts}, {"order", test_order}, {"hold", test_hold},
	    {"unread break", test_unread_break},
	    {"body share", test_body_share}, {"retry after", test_retry_after},
	    CU_TEST_INFO_NULL};

	return run_suite("ending", tests);
}
