#include "poplarbeam/claim.h"

#include "run-suite.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "lib/fake-claim-table.h"

/*
 * Several routers and repeats of the same keys run concurrently; a seeded
 * scheduler switches between them before and after every call of the table,
 * pauses them and kills routers. Guards against a second run of a key, against
 * a key that ran and is reported as not run, and against a lost outcome.
 */

#define SEEDS 600
#define ROUTERS 3
#define KEYS 3
#define WAVES 5
#define ACTORS 6 /* attempts at once */

struct router {
	bool dead;
	struct pb_claim_policy policy;
};

/* What really happened to a key. */
struct truth {
	int runs;
	char ran_by[40];
	bool recorded; /* the outcome was reported as recorded */
	bool abandoned; /* the run's outcome was reported as unknown */
	bool crash; /* a router died while it worked on the key */
};

struct world;

struct actor {
	struct world *world;
	struct router *router;
	int key;
	char attempt[40];
	bool repair; /* works off the backlog instead of a call */
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
	struct router *buried[WAVES * ACTORS * 4];
	int buried_count;
	struct truth truth[KEYS];
	struct actor actors[ACTORS];
	int current;
	bool crashes;
	uint64_t seed;
};

/* Totals over all seeds, which show that the driver reaches the cases. */
static struct {
	int mine, done, running, unknown, unavailable, ran, late, crashes;
} seen;

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
	w->buried[w->buried_count++] = r;
	return r;
}

/* Replaces a router; its attempts and its backlog are lost. */
static void
kill_router(struct world *w, struct router *r)
{
	int i;

	for (i = 0; i < ROUTERS; i++)
		if (w->routers[i] == r)
			w->routers[i] = new_router(w);
	r->dead = true;
	seen.crashes++;
	/* Its backlog may hold any key. */
	for (i = 0; i < KEYS; i++)
		w->truth[i].crash = true;
}

static void
choose_next(struct world *w)
{
	int open[ACTORS] = {0}, n = 0, i;

	for (i = 0; i < ACTORS; i++)
		if (!w->actors[i].finished)
			open[n++] = i;
	w->current = n > 0 ? open[pb_next_random(&w->rnd) % (unsigned)n] : -1;
}

static void
await_turn(struct world *w, const struct actor *a)
{
	while (w->current != (int)(a - w->actors))
		pthread_cond_wait(&w->turn, &w->lock);
}

/* A point where others may run, time may pass and the router may die. */
static bool
yield(struct actor *a)
{
	struct world *w = a->world;

	if (chance(w, 0.04))
		pb_advance_clock(&w->clk,
		    (int64_t)(pb_next_uniform(&w->rnd) * 20 * (double)PB_SEC));
	if (w->crashes && !a->router->dead && chance(w, 0.01))
		kill_router(w, a->router);
	choose_next(w);
	pthread_cond_broadcast(&w->turn);
	await_turn(w, a);
	return !a->router->dead;
}

static bool
step(void *arg)
{
	struct world *w = arg;

	return w->current < 0 || yield(&w->actors[w->current]);
}

static void
note(struct world *w, bool ok, const char *what)
{
	if (!ok)
		printf("seed %llu: %s\n", (unsigned long long)w->seed, what);
	CU_ASSERT(ok);
}

/* The upstream runs the call, once more than it should if the claim fails. */
static void
run_call(struct actor *a, struct pb_context *ctx, struct pb_claim *claim)
{
	struct world *w = a->world;
	struct truth *t = &w->truth[a->key];
	const struct pb_claim_policy *policy = &a->router->policy;
	double u = pb_next_uniform(&w->rnd);
	int rc;

	if (u < 0.15) { /* the upstream reports that it did not run it */
		pb_release_claim(ctx, &w->fake.base, policy, claim);
		return;
	}
	t->runs++;
	seen.ran++;
	note(w, t->runs == 1, "the call ran twice");
	pb_copy_str(t->ran_by, sizeof(t->ran_by), a->attempt);
	if (!yield(a))
		return;
	if (u < 0.30) {
		t->abandoned = true;
		pb_abandon_claim(ctx, &w->fake.base, policy, claim);
		return;
	}
	rc = pb_settle_claim(ctx, &w->fake.base, policy, claim, 200,
	    "text/plain", pb_str_from(a->attempt));
	if (!a->router->dead)
		note(w, rc != PB_ECONFLICT && rc != PB_ENOENT,
		    "the outcome found a foreign row");
	if (rc == PB_OK)
		t->recorded = true;
}

/* Checks what a repeat is told against what happened. */
static void
check_report(struct world *w, int key, enum pb_claim_state state,
    const struct pb_claim *claim)
{
	const struct truth *t = &w->truth[key];

	if (state == PB_CLAIM_MINE)
		note(w, t->runs == 0, "claimed again after a run");
	if (state == PB_CLAIM_DONE)
		note(w,
		    t->runs == 1 && claim->answer.len == strlen(t->ran_by) &&
			memcmp(claim->answer.data, t->ran_by,
			    claim->answer.len) == 0,
		    "a repeat got another answer");
	if (state == PB_CLAIM_MISMATCH)
		note(w, false, "mismatch of equal requests");
	seen.mine += state == PB_CLAIM_MINE;
	seen.done += state == PB_CLAIM_DONE;
	seen.running += state == PB_CLAIM_RUNNING;
	seen.unknown += state == PB_CLAIM_UNKNOWN;
	seen.unavailable += state == PB_CLAIM_UNAVAILABLE;
}

/* A key that ran must not look as if it could be claimed. */
static void
check_row(struct world *w, int key)
{
	char name[32];
	struct pb_row *row;

	snprintf(name, sizeof(name), "claim/acct/key%d", key);
	row = fake_find_claim(&w->fake, name);
	if (w->truth[key].runs > 0)
		note(w,
		    row != NULL &&
			strstr(row->value.data, "\"not_run\"") == NULL,
		    "a key that ran is recorded as not run");
}

static enum pb_claim_state
take(struct world *w, struct pb_context *ctx,
    const struct pb_claim_policy *policy, int key, const char *attempt,
    struct pb_claim *claim)
{
	char name[16];

	snprintf(name, sizeof(name), "key%d", key);
	return pb_take_claim(ctx, &w->fake.base, policy, "acct", name, 1,
	    attempt, pb_now(ctx) + 2 * PB_SEC, claim);
}

static void
attempt_call(struct actor *a, struct pb_context *ctx)
{
	struct world *w = a->world;
	const struct pb_claim_policy *policy = &a->router->policy;
	struct pb_claim claim;
	enum pb_claim_state state =
	    take(w, ctx, policy, a->key, a->attempt, &claim);

	if (a->router->dead) {
		pb_clear_claim(&claim);
		return;
	}
	check_report(w, a->key, state, &claim);
	seen.late += state == PB_CLAIM_UNAVAILABLE && claim.maybe_written;
	if (state == PB_CLAIM_MINE && yield(a)) {
		if (pb_may_send_claim(ctx, policy, &claim)) {
			/* A pause between the check and the first byte. */
			if (yield(a))
				run_call(a, ctx, &claim);
		} else {
			pb_release_claim(ctx, &w->fake.base, policy, &claim);
		}
	} else {
		note(w,
		    !pb_may_send_claim(ctx, policy, &claim) ||
			state == PB_CLAIM_MINE,
		    "may send without a claim");
	}
	pb_clear_claim(&claim);
}

static void *
run_actor(void *arg)
{
	struct actor *a = arg;
	struct world *w = a->world;
	struct pb_context *ctx = pb_new_context(&w->clk.base, NULL);
	int key;

	pthread_mutex_lock(&w->lock);
	await_turn(w, a);
	if (a->repair)
		pb_repair_claims(ctx, &w->fake.base, &a->router->policy, 8);
	else
		attempt_call(a, ctx);
	for (key = 0; key < KEYS; key++)
		check_row(w, key);
	a->finished = true;
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
	for (i = 0; i < ACTORS; i++) {
		struct actor *a = &w->actors[i];

		memset(a, 0, sizeof(*a));
		a->world = w;
		a->router = w->routers[pb_next_random(&w->rnd) % ROUTERS];
		a->key = (int)(pb_next_random(&w->rnd) % KEYS);
		a->repair = chance(w, 0.15);
		snprintf(a->attempt, sizeof(a->attempt), "a%d-%d", wave, i);
	}
	choose_next(w);
	for (i = 0; i < ACTORS; i++)
		pthread_create(
		    &w->actors[i].thread, NULL, run_actor, &w->actors[i]);
	pthread_mutex_unlock(&w->lock);
	for (i = 0; i < ACTORS; i++)
		pthread_join(w->actors[i].thread, NULL);
}

/* After all faults are over, each key must have its true outcome. */
static void
check_end(struct world *w, struct pb_context *ctx)
{
	int i;

	memset(w->fake.chance, 0, sizeof(w->fake.chance));
	for (i = 0; i < ROUTERS; i++)
		note(w,
		    pb_repair_claims(
			ctx, &w->fake.base, &w->routers[i]->policy, 1000) == 0,
		    "the backlog is not empty without faults");
	fake_land_late(&w->fake);
	pb_advance_clock(&w->clk, 301 * PB_SEC);
	for (i = 0; i < KEYS; i++) {
		const struct truth *t = &w->truth[i];
		struct pb_claim claim;
		enum pb_claim_state state =
		    take(w, ctx, &w->routers[0]->policy, i, "last", &claim);

		check_report(w, i, state, &claim);
		check_row(w, i);
		if (t->recorded)
			note(w, state == PB_CLAIM_DONE, "outcome lost");
		else if (t->runs > 0)
			note(w,
			    state == PB_CLAIM_UNKNOWN ||
				(state == PB_CLAIM_DONE && !t->abandoned),
			    "a run without outcome is not unknown");
		else
			note(w,
			    state == PB_CLAIM_MINE ||
				(state == PB_CLAIM_UNKNOWN && t->crash),
			    "a key that did not run cannot be claimed");
		if (t->runs > 0 && !t->abandoned && !t->crash)
			note(w, state == PB_CLAIM_DONE, "outcome lost");
		pb_clear_claim(&claim);
	}
}

static void
run_seed(uint64_t seed)
{
	static const double chances[FAKE_FAULTS] = {
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
		/* Every few seeds have an outage in the middle of a wave. */
		w->fake.chance[FAKE_REFUSE] = chance(w, 0.2) ? 0.8 : 0.05;
		run_wave(w, i);
	}
	w->current = -1;
	check_end(w, ctx);
	for (i = 0; i < w->buried_count; i++) {
		pb_drop_claim_backlog(ctx, w->buried[i]->policy.backlog);
		free(w->buried[i]);
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
	printf("mine %d done %d running %d unknown %d unavailable %d "
	       "(maybe written %d) ran %d crashes %d\n",
	    seen.mine, seen.done, seen.running, seen.unknown, seen.unavailable,
	    seen.late, seen.ran, seen.crashes);
	CU_ASSERT(seen.done > SEEDS / 4 && seen.running > SEEDS / 4);
	CU_ASSERT(seen.unknown > SEEDS / 20 && seen.late > SEEDS / 50);
	CU_ASSERT(seen.crashes > SEEDS / 10);
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
