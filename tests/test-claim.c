#include "poplarbeam/claim.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

#include "lib/fake-claim-table.h"

/*
 * Tests single cases of claims. test-claim-random.c tests random sequences.
 */

#define FP 77 /* fingerprint of the request under test */

static struct pb_manual_clock clk;
static struct pb_context *ctx;
static struct fake_claim_table fake;
static struct pb_claim_policy policy;

static int
set_up(void)
{
	pb_init_manual_clock(&clk, 1000 * PB_SEC);
	fake_init_claims(&fake, &clk);
	policy = (struct pb_claim_policy){5 * PB_SEC, 600 * PB_SEC,
	    86400 * PB_SEC, "r1", pb_new_claim_backlog(ctx)};
	return 0;
}

static void
tear_down(void)
{
	pb_drop_claim_backlog(ctx, policy.backlog);
	fake_clear_claims(&fake);
}

static enum pb_claim_state
acquire(const char *attempt, struct pb_claim *claim)
{
	return pb_acquire_claim(ctx, &fake.base, &policy, "acct", "key", FP,
	    attempt, pb_now(ctx) + 2 * PB_SEC, claim);
}

/* Repeats the request and returns its claim state; frees the claim. */
static enum pb_claim_state
repeat_request(const char *attempt)
{
	struct pb_claim claim;
	enum pb_claim_state state = acquire(attempt, &claim);

	pb_clear_claim(&claim);
	return state;
}

static int
complete(struct pb_claim *claim, const char *body, size_t len)
{
	struct pb_str answer = {body, len};

	return pb_complete_claim(
	    ctx, &fake.base, &policy, claim, 201, "application/json", answer);
}

/* Guards against a second run and against a recorded response that changes. */
static void
test_repeat(void)
{
	static const char body[] = {'a', '\0', (char)0xff, '"', 'z'};
	struct pb_claim a, b;

	set_up();
	CU_ASSERT_EQUAL(acquire("a1", &a), PB_CLAIM_ACQUIRED);
	CU_ASSERT(pb_may_send_under_claim(ctx, &policy, &a));
	CU_ASSERT_EQUAL(fake.commits, 1);
	CU_ASSERT_EQUAL(repeat_request("a2"), PB_CLAIM_RUNNING);
	CU_ASSERT_EQUAL(complete(&a, body, sizeof(body)), PB_OK);
	CU_ASSERT_FALSE(pb_may_send_under_claim(ctx, &policy, &a));
	CU_ASSERT_EQUAL(acquire("a3", &b), PB_CLAIM_DONE);
	CU_ASSERT_FALSE(pb_may_send_under_claim(ctx, &policy, &b));
	CU_ASSERT_EQUAL(b.status, 201);
	CU_ASSERT_EQUAL(b.answer.len, sizeof(body));
	CU_ASSERT_EQUAL(memcmp(b.answer.data, body, sizeof(body)), 0);
	CU_ASSERT_STRING_EQUAL(b.content_type, "application/json");
	CU_ASSERT_FALSE(b.answer_omitted);
	pb_clear_claim(&a);
	pb_clear_claim(&b);
	tear_down();
}

/* Guards against one key that is accepted for two different requests. */
static void
test_mismatch(void)
{
	struct pb_claim a, b;

	set_up();
	CU_ASSERT_EQUAL(acquire("a1", &a), PB_CLAIM_ACQUIRED);
	CU_ASSERT_EQUAL(pb_acquire_claim(ctx, &fake.base, &policy, "acct",
			    "key", FP + 1, "a2", pb_now(ctx) + PB_SEC, &b),
	    PB_CLAIM_MISMATCH);
	CU_ASSERT_FALSE(pb_may_send_under_claim(ctx, &policy, &b));
	pb_clear_claim(&a);
	pb_clear_claim(&b);
	tear_down();
}

/* Guards against two (account, key) pairs that share a row. */
static void
test_row_names(void)
{
	char longkey[400];
	struct pb_claim a, b, c, d;

	set_up();
	memset(longkey, 'k', sizeof(longkey) - 1);
	longkey[sizeof(longkey) - 1] = '\0';
	pb_acquire_claim(ctx, &fake.base, &policy, "a/b", "c", FP, "a1", 1, &a);
	pb_acquire_claim(ctx, &fake.base, &policy, "a", "b/c", FP, "a2", 1, &b);
	CU_ASSERT_STRING_NOT_EQUAL(a.row, b.row);
	pb_acquire_claim(
	    ctx, &fake.base, &policy, "a", longkey, FP, "a3", 1, &c);
	longkey[398] = 'x';
	pb_acquire_claim(
	    ctx, &fake.base, &policy, "a", longkey, FP, "a4", 1, &d);
	CU_ASSERT_STRING_NOT_EQUAL(c.row, d.row);
	CU_ASSERT_EQUAL(fake.count, 4);
	pb_clear_claim(&a);
	pb_clear_claim(&b);
	pb_clear_claim(&c);
	pb_clear_claim(&d);
	/* A truncated attempt id could equal the id of another attempt. */
	longkey[60] = '\0';
	CU_ASSERT_EQUAL(acquire(longkey, &a), PB_CLAIM_UNAVAILABLE);
	pb_clear_claim(&a);
	tear_down();
}

/*
 * Guards against a claim that is treated as another attempt's or as absent
 * after the response to its write was lost.
 */
static void
test_lost_answer(void)
{
	static const enum fake_fault faults[] = {FAKE_LOSE_RESPONSE,
	    FAKE_LOSE_REQUEST, FAKE_LATE, FAKE_UNAVAILABLE, FAKE_BUSY};
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		struct pb_claim a;

		set_up();
		fake.hold_late = true;
		fake.script[0] = faults[i];
		fake.script_len = 1;
		CU_ASSERT_EQUAL(acquire("a1", &a), PB_CLAIM_ACQUIRED);
		CU_ASSERT(pb_may_send_under_claim(ctx, &policy, &a));
		fake_apply_late_commits(&fake);
		CU_ASSERT_EQUAL(repeat_request("a2"), PB_CLAIM_RUNNING);
		fake.script[0] = faults[i];
		fake.script_len = 1;
		CU_ASSERT_EQUAL(complete(&a, "x", 1), PB_OK);
		fake_apply_late_commits(&fake);
		CU_ASSERT_EQUAL(complete(&a, "x", 1), PB_OK);
		CU_ASSERT_EQUAL(repeat_request("a3"), PB_CLAIM_DONE);
		pb_clear_claim(&a);
		tear_down();
	}
}

/* Tries to claim while the first write has the fault and later calls fail. */
static void
acquire_with_lost_write(enum fake_fault fault, struct pb_claim *a)
{
	fake.script[0] = fault;
	fake.script_len = 1;
	fake.chance[FAKE_UNAVAILABLE] = 1.0; /* after the scripted commit */
	CU_ASSERT_EQUAL(acquire("a1", a), PB_CLAIM_UNAVAILABLE);
	CU_ASSERT_FALSE(pb_may_send_under_claim(ctx, &policy, a));
	CU_ASSERT(a->maybe_written);
	fake.chance[FAKE_UNAVAILABLE] = 0;
}

/*
 * Guards against a key that stays in progress or unknown forever: the attempt
 * was refused as "not run", but its write took effect, then or later.
 */
static void
test_unknown_claim(void)
{
	static const enum fake_fault faults[] = {
	    FAKE_LOSE_RESPONSE, FAKE_LOSE_REQUEST, FAKE_LATE};
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		struct pb_claim a, b;

		set_up();
		fake.hold_late = true;
		acquire_with_lost_write(faults[i], &a);
		if (faults[i] == FAKE_LOSE_RESPONSE)
			CU_ASSERT_EQUAL(repeat_request("a2"), PB_CLAIM_RUNNING);
		CU_ASSERT_EQUAL(
		    pb_flush_claim_backlog(ctx, &fake.base, &policy, 10), 0);
		fake_apply_late_commits(&fake);
		CU_ASSERT_EQUAL(acquire("a3", &b), PB_CLAIM_ACQUIRED);
		CU_ASSERT_FALSE(pb_may_send_under_claim(ctx, &policy, &a));
		pb_clear_claim(&a);
		pb_clear_claim(&b);
		tear_down();
	}
}

/*
 * Guards against a second run if the router crashes before it has flushed its
 * backlog.
 */
static void
test_unknown_claim_crash(void)
{
	struct pb_claim a;

	set_up();
	acquire_with_lost_write(FAKE_LOSE_RESPONSE, &a);
	pb_clear_claim(&a);
	pb_drop_claim_backlog(ctx, policy.backlog);
	policy.backlog = pb_new_claim_backlog(ctx);
	CU_ASSERT_EQUAL(repeat_request("a2"), PB_CLAIM_RUNNING);
	pb_advance_clock(&clk, 601 * PB_SEC);
	CU_ASSERT_EQUAL(repeat_request("a3"), PB_CLAIM_UNKNOWN);
	tear_down();
}

/*
 * Guards against flushing the backlog or releasing a claim in a way that
 * changes a row of another attempt.
 */
static void
test_flush_foreign(void)
{
	struct pb_claim a, b;

	set_up();
	acquire_with_lost_write(FAKE_LOSE_REQUEST, &a);
	CU_ASSERT_EQUAL(acquire("b1", &b), PB_CLAIM_ACQUIRED);
	CU_ASSERT_EQUAL(
	    pb_flush_claim_backlog(ctx, &fake.base, &policy, 10), 0);
	CU_ASSERT_EQUAL(repeat_request("c1"), PB_CLAIM_RUNNING);
	CU_ASSERT_EQUAL(pb_release_claim(ctx, &fake.base, &policy, &a), PB_OK);
	CU_ASSERT_EQUAL(repeat_request("c2"), PB_CLAIM_RUNNING);
	CU_ASSERT_EQUAL(complete(&a, "x", 1), PB_ECONFLICT);
	CU_ASSERT_EQUAL(complete(&b, "y", 1), PB_OK);
	CU_ASSERT_EQUAL(repeat_request("c3"), PB_CLAIM_DONE);
	pb_clear_claim(&a);
	pb_clear_claim(&b);
	tear_down();
}

/* Guards against sending under a claim after a long pause. */
static void
test_send_window(void)
{
	struct pb_claim a, b;

	set_up();
	CU_ASSERT_EQUAL(acquire("a1", &a), PB_CLAIM_ACQUIRED);
	pb_advance_clock(&clk, 5 * PB_SEC);
	CU_ASSERT(pb_may_send_under_claim(ctx, &policy, &a));
	pb_advance_clock(&clk, 1);
	CU_ASSERT_FALSE(pb_may_send_under_claim(ctx, &policy, &a));
	CU_ASSERT_EQUAL(pb_release_claim(ctx, &fake.base, &policy, &a), PB_OK);
	CU_ASSERT_EQUAL(acquire("a2", &b), PB_CLAIM_ACQUIRED);
	CU_ASSERT(pb_may_send_under_claim(ctx, &policy, &b));
	/* A late second release must not affect the claim of attempt a2. */
	a.held = true;
	CU_ASSERT_EQUAL(pb_release_claim(ctx, &fake.base, &policy, &a), PB_OK);
	CU_ASSERT_EQUAL(repeat_request("a3"), PB_CLAIM_RUNNING);
	CU_ASSERT_EQUAL(
	    pb_mark_claim_unknown(ctx, &fake.base, &policy, &b), PB_OK);
	CU_ASSERT_EQUAL(repeat_request("a4"), PB_CLAIM_UNKNOWN);
	pb_clear_claim(&a);
	pb_clear_claim(&b);
	tear_down();
}

/*
 * Guards against tries after the deadline, and against a claim that counts as
 * possibly written although the table refused every call.
 */
static void
test_outage(void)
{
	struct pb_claim a;

	set_up();
	fake.down = true;
	CU_ASSERT_EQUAL(acquire("a1", &a), PB_CLAIM_UNAVAILABLE);
	CU_ASSERT_EQUAL(pb_now(ctx), 2 * PB_SEC);
	CU_ASSERT_FALSE(a.maybe_written);
	CU_ASSERT_EQUAL(fake.count, 0);
	fake.down = false;
	/* The first write ends after the deadline but acquires the claim. */
	fake.slow_us = 3 * PB_SEC;
	CU_ASSERT_EQUAL(acquire("a2", &a), PB_CLAIM_ACQUIRED);
	CU_ASSERT(pb_may_send_under_claim(ctx, &policy, &a));
	pb_advance_clock(&clk, 2 * PB_SEC + 1);
	CU_ASSERT_FALSE(pb_may_send_under_claim(ctx, &policy, &a));
	pb_clear_claim(&a);
	tear_down();
}

/* Guards against an outcome that is lost while the table is unavailable. */
static void
test_complete_outage(void)
{
	struct pb_claim a, b;

	set_up();
	CU_ASSERT_EQUAL(acquire("a1", &a), PB_CLAIM_ACQUIRED);
	fake.down = true;
	CU_ASSERT_EQUAL(complete(&a, "answer", 6), PB_EUNAVAIL);
	CU_ASSERT_EQUAL(
	    pb_flush_claim_backlog(ctx, &fake.base, &policy, 10), 1);
	fake.down = false;
	CU_ASSERT_EQUAL(repeat_request("a2"), PB_CLAIM_RUNNING);
	CU_ASSERT_EQUAL(
	    pb_flush_claim_backlog(ctx, &fake.base, &policy, 10), 0);
	CU_ASSERT_EQUAL(acquire("a3", &b), PB_CLAIM_DONE);
	CU_ASSERT_EQUAL(b.answer.len, 6);
	pb_clear_claim(&a);
	pb_clear_claim(&b);
	tear_down();
}

/* Guards against rows of unlimited size and truncated recorded responses. */
static void
test_large_answer(void)
{
	char *body = calloc(1, PB_CLAIM_ANSWER_MAX + 1);
	struct pb_claim a, b;
	int over;

	for (over = 0; over <= 1; over++) {
		set_up();
		CU_ASSERT_EQUAL(acquire("a1", &a), PB_CLAIM_ACQUIRED);
		CU_ASSERT_EQUAL(
		    complete(&a, body, PB_CLAIM_ANSWER_MAX + (size_t)over),
		    PB_OK);
		CU_ASSERT_EQUAL(acquire("a2", &b), PB_CLAIM_DONE);
		CU_ASSERT_EQUAL(b.answer_omitted, over == 1);
		CU_ASSERT_EQUAL(
		    b.answer.len, over == 1 ? 0 : PB_CLAIM_ANSWER_MAX);
		CU_ASSERT_EQUAL(b.status, 201);
		pb_clear_claim(&a);
		pb_clear_claim(&b);
		tear_down();
	}
	free(body);
}

/* Guards against a run although the row of the key cannot be decoded. */
static void
test_malformed_row(void)
{
	static const char *const values[] = {"[]", "{\"state\":\"new\"}",
	    "{\"state\":\"done\",\"attempt\":\"x\",\"fingerprint\":\"4d\","
	    "\"time\":1,\"status\":200,\"body64\":\"a\"}",
	    "{\"state\":\"not_run\",\"attempt\":\"x\",\"fingerprint\":\"zz\","
	    "\"time\":1}"};
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		struct pb_table_put put = {
		    "claim/acct/key", pb_str_from(values[i])};
		struct pb_table_commit c = {NULL, 0, &put, 1, NULL, 0};

		set_up();
		fake.base.ops->commit(ctx, &fake.base, &c);
		CU_ASSERT_EQUAL(repeat_request("a1"), PB_CLAIM_UNKNOWN);
		tear_down();
	}
}

/*
 * Guards against an expiry scan that skips rows, deletes rows within the
 * retention or does not start over after the last page.
 */
static void
test_expire(void)
{
	char cursor[160] = "", key[16];
	struct pb_claim a;
	int i, deleted = 0;

	set_up();
	for (i = 0; i < 25; i++) {
		snprintf(key, sizeof(key), "k%02d", i);
		if (i == 20)
			pb_advance_clock(&clk, 86400 * PB_SEC + 1);
		pb_acquire_claim(ctx, &fake.base, &policy, "acct", key, FP, key,
		    pb_now(ctx) + PB_SEC, &a);
		pb_clear_claim(&a);
	}
	fake.script[0] = FAKE_BUSY;
	fake.script_len = 1;
	CU_ASSERT_EQUAL(pb_expire_claims(ctx, &fake.base, &policy, cursor,
			    sizeof(cursor), 10),
	    PB_EBUSY);
	CU_ASSERT_STRING_EQUAL(cursor, "");
	fake.commits = 0;
	for (i = 0; i < 3; i++)
		deleted += pb_expire_claims(
		    ctx, &fake.base, &policy, cursor, sizeof(cursor), 10);
	CU_ASSERT_EQUAL(deleted, 20);
	CU_ASSERT_EQUAL(fake.commits, 2);
	CU_ASSERT_EQUAL(fake.count, 5);
	CU_ASSERT_STRING_EQUAL(cursor, "");
	tear_down();
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"repeat", test_repeat},
	    {"mismatch", test_mismatch}, {"row names", test_row_names},
	    {"lost answer", test_lost_answer},
	    {"unknown claim", test_unknown_claim},
	    {"unknown claim, crash", test_unknown_claim_crash},
	    {"flush with a foreign row", test_flush_foreign},
	    {"send window", test_send_window}, {"outage", test_outage},
	    {"complete in an outage", test_complete_outage},
	    {"large answer", test_large_answer},
	    {"malformed row", test_malformed_row}, {"expire", test_expire},
	    CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, 1000 * PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("claim", tests);
	pb_drop_context(ctx);
	return rc;
}
