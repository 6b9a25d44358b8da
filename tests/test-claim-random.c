#include "poplarbeam/claim.h"

#include "run-suite.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "lib/fake-claim-table.h"

/*
 * Simulates concurrent repeated requests with the same keys at several routers.
 * A seeded scheduler switches between the requests before and after every table
 * call, pauses them and crashes routers. Guards against a second run of a key,
 * against a key that ran but is reported as not run, and against a lost
 * outcome.
 */

#define SEEDS 600
#define ROUTERS 3
#define KEYS 3
#define WAVES 5
#define WORKERS 6 /* concurrent threads in a wave */

struct router {
	bool crashed;
	struct pb_claim_policy policy;
};

/* What happened to a key, independent of the table's contents. */
struct truth {
	int runs;
	char ran_by[40];
	bool recorded; /* recording the outcome returned PB_OK */
	bool marked_unknown; /* the run was recorded with an unknown outcome */
	bool crash; /* a router that may have handled the key crashed */
};

struct world;

struct worker {
	struct world *world;
	struct router *router;
	int key;
	char attempt[40];
	bool flush; /* flushes the backlog instead of making a request */
	bool finished;
	pthread_t thread;
};

struct world {
	pthread_mutex_t lock;
	pthread_cond_t turn;
	struct pb_manual_clock clk;
	struct fake_claim_table fake;
	struct pb_random rnd;
	struct router *routers[ROUTERS];
	struct router *all_routers[WAVES * WORKERS * 4]; /* with crashed ones */
	int all_count;
	struct truth truth[KEYS];
	struct worker workers[WORKERS];
	int current;
	bool crashes;
	uint64_t seed;
};

/* Totals over all seeds, to check that every case is covered. */
static struct {
	int acquired, done, running, unknown, unavailable, ran, late, crashes;
} totals;

static bool
chance(struct world *w, double p)
{
	return pb_next_uniform(&w->rnd) < p;
}

static struct router *
new_router(struct world *w)
{
	struct router *r = calloc(1, sizeof(*r));

	r->policy = (struct pb_claim_policy){5 * PB_SEC, 300 * PB_SEC,
	    86400 * PB_SEC, "router", pb_new_claim_backlog(NULL)};
	w->all_routers[w->all_count++] = r;
	return r;
}

/* Crashes and replaces a router; its attempts and its backlog are lost. */
static void
crash_router(struct world *w, struct router *r)
{
	int i;

	for (i = 0; i < ROUTERS; i++)
		if (w->routers[i] == r)
			w->routers[i] = new_router(w);
	r->crashed = true;
	totals.crashes++;
	/* The lost backlog may contain any key. */
	for (i = 0; i < KEYS; i++)
		w->truth[i].crash = true;
}

static void
choose_next(struct world *w)
{
	int open[WORKERS] = {0}, n = 0, i;

	for (i = 0; i < WORKERS; i++)
		if (!w->workers[i].finished)
			open[n++] = i;
	w->current = n > 0 ? open[pb_next_random(&w->rnd) % (unsigned)n] : -1;
}

static void
await_turn(struct world *w, const struct worker *worker)
{
	while (w->current != (int)(worker - w->workers))
		pthread_cond_wait(&w->turn, &w->lock);
}

/*
 * Switches to a random thread. May first advance the clock or crash the router.
 * Returns false if the router of the calling thread has crashed.
 */
static bool
yield(struct worker *worker)
{
	struct world *w = worker->world;

	if (chance(w, 0.04))
		pb_advance_clock(&w->clk,
		    (int64_t)(pb_next_uniform(&w->rnd) * 20 * (double)PB_SEC));
	if (w->crashes && !worker->router->crashed && chance(w, 0.01))
		crash_router(w, worker->router);
	choose_next(w);
	pthread_cond_broadcast(&w->turn);
	await_turn(w, worker);
	return !worker->router->crashed;
}

static bool
step(void *arg)
{
	struct world *w = arg;

	return w->current < 0 || yield(&w->workers[w->current]);
}

static void
expect(struct world *w, bool ok, const char *what)
{
	if (!ok)
		printf("seed %llu: %s\n", (unsigned long long)w->seed, what);
	CU_ASSERT(ok);
}

/*
 * Simulates the upstream that runs the request, and records the outcome. Checks
 * that the key runs only once.
 */
static void
run_request(
    struct worker *worker, struct pb_context *ctx, struct pb_claim *claim)
{
	struct world *w = worker->world;
	struct truth *t = &w->truth[worker->key];
	const struct pb_claim_policy *policy = &worker->router->policy;
	double u = pb_next_uniform(&w->rnd);
	int rc;

	if (u < 0.15) { /* the upstream did not run the request */
		pb_release_claim(ctx, &w->fake.base, policy, claim);
		return;
	}
	t->runs++;
	totals.ran++;
	expect(w, t->runs == 1, "the request ran twice");
	pb_copy_str(t->ran_by, sizeof(t->ran_by), worker->attempt);
	if (!yield(worker))
		return;
	if (u < 0.30) {
		t->marked_unknown = true;
		pb_mark_claim_unknown(ctx, &w->fake.base, policy, claim);
		return;
	}
	rc = pb_complete_claim(ctx, &w->fake.base, policy, claim, 200,
	    "text/plain", pb_str_from(worker->attempt));
	if (!worker->router->crashed)
		expect(w, rc != PB_ECONFLICT && rc != PB_ENOENT,
		    "the row belongs to another attempt or is gone");
	if (rc == PB_OK)
		t->recorded = true;
}

/* Checks the state that a request gets against what happened to its key. */
static void
check_report(struct world *w, int key, enum pb_claim_state state,
    const struct pb_claim *claim)
{
	const struct truth *t = &w->truth[key];

	if (state == PB_CLAIM_ACQUIRED)
		expect(w, t->runs == 0, "claimed again after a run");
	if (state == PB_CLAIM_DONE)
		expect(w,
		    t->runs == 1 && claim->answer.len == strlen(t->ran_by) &&
			memcmp(claim->answer.data, t->ran_by,
			    claim->answer.len) == 0,
		    "a repeat got another answer");
	if (state == PB_CLAIM_MISMATCH)
		expect(w, false, "mismatch of equal requests");
	totals.acquired += state == PB_CLAIM_ACQUIRED;
	totals.done += state == PB_CLAIM_DONE;
	totals.running += state == PB_CLAIM_RUNNING;
	totals.unknown += state == PB_CLAIM_UNKNOWN;
	totals.unavailable += state == PB_CLAIM_UNAVAILABLE;
}

/* Checks that the row of a key that ran does not allow another claim. */
static void
check_row(struct world *w, int key)
{
	char name[32];
	struct pb_row *row;

	snprintf(name, sizeof(name), "claim/acct/key%d", key);
	row = fake_find_claim(&w->fake, name);
	if (w->truth[key].runs > 0)
		expect(w,
		    row != NULL &&
			strstr(row->value.data, "\"not_run\"") == NULL,
		    "a key that ran is recorded as not run");
}

static enum pb_claim_state
acquire(struct world *w, struct pb_context *ctx,
    const struct pb_claim_policy *policy, int key, const char *attempt,
    struct pb_claim *claim)
{
	char name[16];

	snprintf(name, sizeof(name), "key%d", key);
	return pb_acquire_claim(ctx, &w->fake.base, policy, "acct", name, 1,
	    attempt, pb_now(ctx) + 2 * PB_SEC, claim);
}

static void
attempt_request(struct worker *worker, struct pb_context *ctx)
{
	struct world *w = worker->world;
	const struct pb_claim_policy *policy = &worker->router->policy;
	struct pb_claim claim;
	enum pb_claim_state state =
	    acquire(w, ctx, policy, worker->key, worker->attempt, &claim);

	if (worker->router->crashed) {
		pb_clear_claim(&claim);
		return;
	}
	check_report(w, worker->key, state, &claim);
	totals.late += state == PB_CLAIM_UNAVAILABLE && claim.maybe_written;
	if (state == PB_CLAIM_ACQUIRED && yield(worker)) {
		if (pb_may_send_under_claim(ctx, policy, &claim)) {
			/* A pause between the check and sending. */
			if (yield(worker))
				run_request(worker, ctx, &claim);
		} else {
			pb_release_claim(ctx, &w->fake.base, policy, &claim);
		}
	} else {
		expect(w,
		    !pb_may_send_under_claim(ctx, policy, &claim) ||
			state == PB_CLAIM_ACQUIRED,
		    "may send without a claim");
	}
	pb_clear_claim(&claim);
}

static void *
run_worker(void *arg)
{
	struct worker *worker = arg;
	struct world *w = worker->world;
	struct pb_context *ctx = pb_new_context(&w->clk.base, NULL);
	int key;

	pthread_mutex_lock(&w->lock);
	await_turn(w, worker);
	if (worker->flush)
		pb_flush_claim_backlog(
		    ctx, &w->fake.base, &worker->router->policy, 8);
	else
		attempt_request(worker, ctx);
	for (key = 0; key < KEYS; key++)
		check_row(w, key);
	worker->finished = true;
	choose_next(w);
	pthread_cond_broadcast(&w->turn);
	pthread_mutex_unlock(&w->lock);
	pb_drop_context(ctx);
	return NULL;
}

static void
run_wave(struct world *w, int wave)
{
	int i;

	pthread_mutex_lock(&w->lock);
	for (i = 0; i < WORKERS; i++) {
		struct worker *worker = &w->workers[i];

		memset(worker, 0, sizeof(*worker));
		worker->world = w;
		worker->router = w->routers[pb_next_random(&w->rnd) % ROUTERS];
		worker->key = (int)(pb_next_random(&w->rnd) % KEYS);
		worker->flush = chance(w, 0.15);
		snprintf(worker->attempt, sizeof(worker->attempt), "a%d-%d",
		    wave, i);
	}
	choose_next(w);
	for (i = 0; i < WORKERS; i++)
		pthread_create(
		    &w->workers[i].thread, NULL, run_worker, &w->workers[i]);
	pthread_mutex_unlock(&w->lock);
	for (i = 0; i < WORKERS; i++)
		pthread_join(w->workers[i].thread, NULL);
}

/* Checks that without further faults each key has the correct outcome. */
static void
check_end(struct world *w, struct pb_context *ctx)
{
	int i;

	memset(w->fake.chance, 0, sizeof(w->fake.chance));
	for (i = 0; i < ROUTERS; i++)
		expect(w,
		    pb_flush_claim_backlog(
			ctx, &w->fake.base, &w->routers[i]->policy, 1000) == 0,
		    "the backlog is not empty without faults");
	fake_apply_late_commits(&w->fake);
	pb_advance_clock(&w->clk, 301 * PB_SEC);
	for (i = 0; i < KEYS; i++) {
		const struct truth *t = &w->truth[i];
		struct pb_claim claim;
		enum pb_claim_state state =
		    acquire(w, ctx, &w->routers[0]->policy, i, "last", &claim);

		check_report(w, i, state, &claim);
		check_row(w, i);
		if (t->recorded)
			expect(w, state == PB_CLAIM_DONE, "outcome lost");
		else if (t->runs > 0)
			expect(w,
			    state == PB_CLAIM_UNKNOWN ||
				(state == PB_CLAIM_DONE && !t->marked_unknown),
			    "a run without outcome is not unknown");
		else
			expect(w,
			    state == PB_CLAIM_ACQUIRED ||
				(state == PB_CLAIM_UNKNOWN && t->crash),
			    "a key that did not run cannot be claimed");
		if (t->runs > 0 && !t->marked_unknown && !t->crash)
			expect(w, state == PB_CLAIM_DONE, "outcome lost");
		pb_clear_claim(&claim);
	}
}

static void
run_seed(uint64_t seed)
{
	static const double chances[FAKE_FAULT_COUNT] = {
	    0, 0.05, 0.05, 0.08, 0.05, 0.06};
	struct world *w = calloc(1, sizeof(*w));
	struct pb_context *ctx;
	int i;

	w->seed = seed;
	w->rnd.state = seed;
	w->crashes = seed % 2 == 1;
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->turn, NULL);
	pb_init_manual_clock(&w->clk, 1000 * PB_SEC);
	fake_init_claims(&w->fake, &w->clk);
	memcpy(w->fake.chance, chances, sizeof(chances));
	w->fake.rnd.state = seed * 31;
	w->fake.slow_us = 20 * PB_MSEC;
	w->fake.step = step;
	w->fake.step_arg = w;
	ctx = pb_new_context(&w->clk.base, NULL);
	for (i = 0; i < ROUTERS; i++)
		w->routers[i] = new_router(w);
	for (i = 0; i < WAVES; i++) {
		/* One wave of five, on average, runs during a table outage. */
		w->fake.chance[FAKE_UNAVAILABLE] = chance(w, 0.2) ? 0.8 : 0.05;
		run_wave(w, i);
	}
	w->current = -1;
	check_end(w, ctx);
	for (i = 0; i < w->all_count; i++) {
		pb_drop_claim_backlog(ctx, w->all_routers[i]->policy.backlog);
		free(w->all_routers[i]);
	}
	fake_clear_claims(&w->fake);
	pthread_cond_destroy(&w->turn);
	pthread_mutex_destroy(&w->lock);
	pb_drop_context(ctx);
	free(w);
}

static void
test_random(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(seed);
	printf("acquired %d done %d running %d unknown %d unavailable %d "
	       "(maybe written %d) ran %d crashes %d\n",
	    totals.acquired, totals.done, totals.running, totals.unknown,
	    totals.unavailable, totals.late, totals.ran, totals.crashes);
	CU_ASSERT(totals.done > SEEDS / 4 && totals.running > SEEDS / 4);
	CU_ASSERT(totals.unknown > SEEDS / 20 && totals.late > SEEDS / 50);
	CU_ASSERT(totals.crashes > SEEDS / 10);
}

int
main(void)
{
	static CU_TestInfo tests[] = {
	    {"at most once under faults", test_random}, CU_TEST_INFO_NULL};
	int rc;

	rc = run_suite("claim-random", tests);
	return rc;
}
