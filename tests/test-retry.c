#include "poplarbeam/retry.h"

#include "run-suite.h"
#include <pthread.h>

static struct pb_manual_clock clk;
static struct pb_context *ctx;

static enum pb_retry_decision
decide(struct pb_retry_budget *b, struct pb_attempt a)
{
	a.remaining_us = a.remaining_us == 0 ? PB_SEC : a.remaining_us;
	a.tries = a.tries == 0 ? 1 : a.tries;
	return pb_decide_retry(b, &a);
}

/* Guards against a second run of a request that is not idempotent. */
static void
test_never_twice(void)
{
	struct pb_retry_budget *b = pb_new_retry_budget(ctx, 1, 100);
	struct pb_attempt a = {0};

	CU_ASSERT_EQUAL(decide(b, a), PB_RETRY_UNKNOWN);
	a.delivered = true;
	CU_ASSERT_EQUAL(decide(b, a), PB_RETRY_FAILED);
	a.idempotent = true;
	CU_ASSERT_EQUAL(decide(b, a), PB_RETRY_FAILED);
	/* A "not run" report is wrong if a byte was delivered. */
	a.not_run = true;
	CU_ASSERT_EQUAL(decide(b, a), PB_RETRY_FAILED);
	pb_drop_retry_budget(ctx, b);
}

/* Guards against wrongly reporting "not run" or "unknown" to the caller. */
static void
test_decisions(void)
{
	struct pb_retry_budget *b = pb_new_retry_budget(ctx, 0, 1);

	CU_ASSERT_EQUAL(
	    decide(b, (struct pb_attempt){.not_run = true}), PB_RETRY_AGAIN);
	CU_ASSERT_EQUAL(
	    decide(b, (struct pb_attempt){.not_run = true}), PB_RETRY_NOT_RUN);
	CU_ASSERT_EQUAL(decide(b, (struct pb_attempt){.idempotent = true}),
	    PB_RETRY_UNKNOWN);
	CU_ASSERT_EQUAL(
	    decide(
		b, (struct pb_attempt){.resumable = true, .delivered = true}),
	    PB_RETRY_RESUME);
	pb_drop_retry_budget(ctx, b);
}

/*
 * Guards against retries past the deadline, after the maximum number of
 * attempts and of a request that crashes upstreams.
 */
static void
test_no_further_attempt(void)
{
	struct pb_retry_budget *b = pb_new_retry_budget(ctx, 1, 100);
	struct pb_attempt a = {.not_run = true, .idempotent = true};

	a.remaining_us = -1;
	CU_ASSERT_EQUAL(decide(b, a), PB_RETRY_NOT_RUN);
	a.remaining_us = 0;
	a.tries = 4;
	CU_ASSERT_EQUAL(decide(b, a), PB_RETRY_NOT_RUN);
	a.tries = 1;
	a.contained = true;
	CU_ASSERT_EQUAL(decide(b, a), PB_RETRY_NOT_RUN);
	a.not_run = false;
	a.resumable = true;
	CU_ASSERT_EQUAL(decide(b, a), PB_RETRY_UNKNOWN);
	CU_ASSERT(pb_take_retry(b));
	pb_drop_retry_budget(ctx, b);
}

#define THREADS 4
#define ATTEMPTS 25000

static void *
use_budget(void *arg)
{
	struct pb_retry_budget *b = arg;
	uintptr_t taken = 0;
	int i;

	for (i = 0; i < ATTEMPTS; i++) {
		pb_note_first_attempt(b);
		taken += pb_take_retry(b);
		taken += pb_take_retry(b);
	}
	return (void *)taken;
}

/* Guards against a race that lets threads exceed the retry budget. */
static void
test_share_threads(void)
{
	struct pb_retry_budget *b = pb_new_retry_budget(ctx, 0.1, 10);
	pthread_t t[THREADS];
	void *taken;
	uintptr_t total = 0;
	int i;

	for (i = 0; i < THREADS; i++)
		pthread_create(&t[i], NULL, use_budget, b);
	for (i = 0; i < THREADS; i++) {
		pthread_join(t[i], &taken);
		total += (uintptr_t)taken;
	}
	CU_ASSERT(total <= THREADS * ATTEMPTS / 10 + 10);
	CU_ASSERT(total >= THREADS * ATTEMPTS / 10 - 10);
	pb_drop_retry_budget(ctx, b);
}

/* Guards against delays out of bounds for any number of attempts. */
static void
test_delay(void)
{
	struct pb_random rnd = {7};
	int i;

	for (i = 0; i < 200; i++) {
		int64_t d = pb_retry_delay(i, &rnd);

		CU_ASSERT(d >= 5 * PB_MSEC && d <= PB_SEC);
		CU_ASSERT(i > 1 || d <= 10 * PB_MSEC);
	}
}

/*
 * Guards against a budget that is exceeded in some window: retries are
 * requested continuously while the traffic starts, stops and starts again.
 */
static void
test_window_budget(void)
{
	struct pb_retry_window *w =
	    pb_new_retry_window(ctx, 10 * PB_SEC, 0.2, 2);
	static int requests[1000], retries[1000];
	int i, k;

	for (i = 0; i < 1000; i++) {
		bool busy = i / 150 % 2 == 0;

		for (k = 0; busy && k < 3; k++) {
			pb_note_window_request(ctx, w);
			requests[i]++;
		}
		for (k = 0; k < 3; k++)
			retries[i] += pb_take_window_retry(ctx, w);
		pb_advance_clock(&clk, 100 * PB_MSEC);
	}
	for (i = 0; i + 100 <= 1000; i++) {
		int first = 0, again = 0;

		for (k = i; k < i + 100; k++) {
			first += requests[k];
			again += retries[k];
		}
		/* Requests of the previous window count too. */
		for (k = i - 100; k < i && i >= 100; k++)
			first += requests[k];
		CU_ASSERT(again <= 0.2 * first + 2 + 1e-9);
	}
	CU_ASSERT(retries[0] > 0);
	pb_drop_retry_window(ctx, w);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"never twice", test_never_twice},
	    {"verdicts", test_decisions},
	    {"no further attempt", test_no_further_attempt},
	    {"share with threads", test_share_threads}, {"delay", test_delay},
	    {"window budget", test_window_budget}, CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("retry", tests);
	pb_drop_context(ctx);
	return rc;
}
