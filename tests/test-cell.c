#include "poplarbeam/cell.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

#define ENGINES 6
#define IDS 60000

enum seen {
	SEEN_NONE,
	SEEN_STARTED,
	SEEN_REFUSED
};

/* What the test knows of each request, by id. */
struct record {
	enum seen seen;
	int actions;
	enum pb_refusal reason;
	uint64_t upstream;
	uint64_t incarnation;
	struct pb_work work;
	bool submitted;
	bool cancelled;
	bool done;
};

/* The test's own account of the upstreams, by id 1 to ENGINES. */
struct engine {
	struct pb_upstream_info info;
	double load;
	int64_t down_until;
};

static struct pb_manual_clock clk;
static struct pb_context *ctx;
static struct pb_cell *cell;
static struct record *recs;
static struct engine engines[ENGINES + 1];
static uint64_t next_id;

static const struct pb_cell_policy base_policy = {
    .placement = {1.25, 1.20, 300, 10 * PB_SEC, 0, 4096},
    .queue = {.rank_count = 3,
	.rank = {{"urgent", 0, 0, 0}, {"normal", 0, 0.1, 0},
	    {"bulk", 0, 0.2, 0}},
	.max_items = 500,
	.max_bytes = 1 << 20},
    .cells = 1,
    .containment_us = 600 * PB_SEC,
    .strikes = 2};

static bool
is_live(const struct engine *e)
{
	return e->info.state == PB_UP_LIVE && e->info.throttle > 0 &&
	    e->down_until <= clk.now_us;
}

/* True when the start keeps the bound, by the test's own account. */
static bool
keeps_bound(const struct record *r)
{
	const struct engine *to = &engines[r->upstream];
	double load = 0, capacity = 0, after = to->load + r->work.work;
	int i;

	for (i = 1; i <= ENGINES; i++) {
		if (!is_live(&engines[i]))
			continue;
		load += engines[i].load;
		capacity += engines[i].info.capacity * engines[i].info.throttle;
	}
	return to->load == 0 || after <= base_policy.placement.floor_work ||
	    after / (to->info.capacity * to->info.throttle) <=
	    1.20 * (load + r->work.work) / capacity * (1 + 1e-9);
}

/* True when more urgent work waits that may run on any upstream. */
static bool
passes_over(const struct record *r)
{
	uint64_t i;

	for (i = 1; i < next_id; i++)
		if (recs[i].seen == SEEN_NONE && !recs[i].cancelled &&
		    recs[i].work.fingerprint == 0 &&
		    recs[i].work.rank < r->work.rank)
			return true;
	return false;
}

static void
on_action(void *arg, const struct pb_action *action)
{
	struct record *r = &recs[action->id];

	(void)arg;
	r->actions++;
	CU_ASSERT(r->submitted && !r->cancelled && r->actions == 1);
	if (action->kind == PB_ACTION_REFUSE) {
		r->seen = SEEN_REFUSED;
		r->reason = action->reason;
		return;
	}
	r->seen = SEEN_STARTED;
	r->upstream = action->upstream;
	r->incarnation = engines[r->upstream].info.incarnation;
	if (r->work.resume_on == 0) {
		CU_ASSERT(is_live(&engines[r->upstream]));
		CU_ASSERT(keeps_bound(r));
		CU_ASSERT(!passes_over(r));
	}
	engines[r->upstream].load += r->work.work;
}

static void
set_engine(uint64_t id, uint64_t incarnation, enum pb_upstream_state state)
{
	struct engine *e = &engines[id];

	if (incarnation != e->info.incarnation) {
		e->load = 0;
		e->down_until = 0;
	}
	e->info.id = id;
	e->info.incarnation = incarnation;
	e->info.state = state;
	if (!(e->info.capacity > 0)) {
		e->info.capacity = 1000;
		e->info.throttle = 1;
	}
	CU_ASSERT_EQUAL(pb_set_cell_upstream(ctx, cell, &e->info), PB_OK);
}

static void
open_cell(const struct pb_cell_policy *policy, int count)
{
	int i;

	recs = calloc(IDS, sizeof(*recs));
	memset(engines, 0, sizeof(engines));
	next_id = 1;
	cell = pb_new_cell(ctx, policy, on_action, NULL);
	for (i = 1; i <= count; i++)
		set_engine((uint64_t)i, 1, PB_UP_LIVE);
}

static void
close_cell(void)
{
	pb_drop_cell(ctx, cell);
	free(recs);
}

/* Submits with an id of its own; zero fields get common values. */
static struct record *
submit(struct pb_work w)
{
	struct record *r = &recs[next_id];

	w.id = next_id++;
	w.account = w.account == 0 ? 1 : w.account;
	w.weight = 1;
	w.work = w.work == 0 ? 100 : w.work;
	w.wait_us = w.wait_us == 0 ? 60 * PB_SEC : w.wait_us;
	w.bytes = 10;
	r->work = w;
	r->submitted = true;
	CU_ASSERT_EQUAL(pb_submit_work(ctx, cell, &w), PB_OK);
	return r;
}

static void
finish(struct record *r, enum pb_outcome outcome)
{
	struct engine *e = &engines[r->upstream];

	if (r->incarnation == e->info.incarnation)
		e->load -= r->work.work;
	r->done = true;
	pb_finish_work(ctx, cell, r->work.id, outcome, r->work.work);
}

/* Ends all that runs on the upstream as a crash does. */
static void
crash(uint64_t upstream)
{
	uint64_t i;

	engines[upstream].down_until = clk.now_us + PB_SEC;
	for (i = 1; i < next_id; i++) {
		struct record *r = &recs[i];

		if (r->seen == SEEN_STARTED && !r->done &&
		    r->upstream == upstream)
			finish(r, PB_OUTCOME_CRASHED);
	}
}

/* Guards against urgent work that low-rank work passes while it waits, also
 * when the low-rank work is small enough to fit where the urgent is not. */
static void
test_ranks(void)
{
	struct record *run[20], *urgent, *bulk, *normal;
	int i;

	open_cell(&base_policy, 2);
	for (i = 0; i < 20; i++)
		run[i] = submit((struct pb_work){.work = 100, .rank = 0});
	bulk = submit((struct pb_work){.work = 10, .rank = 2});
	urgent = submit((struct pb_work){.work = 200, .rank = 0});
	normal = submit((struct pb_work){.work = 10, .rank = 1});
	CU_ASSERT(urgent->seen == SEEN_NONE && bulk->seen == SEEN_NONE);
	finish(run[0], PB_OUTCOME_DONE);
	/* 100 units are free on one upstream: not enough for the urgent. */
	CU_ASSERT(urgent->seen == SEEN_NONE);
	CU_ASSERT(bulk->seen == SEEN_NONE && normal->seen == SEEN_NONE);
	for (i = 1; i < 4; i++)
		finish(run[i], PB_OUTCOME_DONE);
	CU_ASSERT_EQUAL(urgent->seen, SEEN_STARTED);
	for (i = 4; i < 10; i++)
		finish(run[i], PB_OUTCOME_DONE);
	CU_ASSERT(bulk->seen == SEEN_STARTED && normal->seen == SEEN_STARTED);
	close_cell();
}

/* Guards against a flood of the lowest rank that leaves urgent work no room. */
static void
test_headroom(void)
{
	struct record *r;
	double total = 0;
	int i;

	open_cell(&base_policy, ENGINES);
	for (i = 0; i < 300; i++)
		submit((struct pb_work){.work = 50, .rank = 2});
	for (i = 1; i <= ENGINES; i++) {
		CU_ASSERT(engines[i].load <= 1000);
		total += engines[i].load;
	}
	/* The lowest rank leaves 0.2 of the cell free and uses the rest. */
	CU_ASSERT(total <= 4800 && total > 4700);
	for (i = 0; i < 20; i++) {
		r = submit((struct pb_work){.work = 50, .rank = 0});
		CU_ASSERT_EQUAL(r->seen, SEEN_STARTED);
	}
	close_cell();
}

/*
 * Guards against a sound stream that is refused because it broke and was
 * resumed at the same upstream while that was crashing: it is one crash.
 */
static void
test_resumed_in_crash(void)
{
	struct record *first, *resumed, *again;

	open_cell(&base_policy, 4);
	first = submit((struct pb_work){.work = 10, .fingerprint = 77});
	finish(first, PB_OUTCOME_CRASHED);
	resumed = submit((struct pb_work){
	    .work = 10, .fingerprint = 77, .resume_on = first->upstream});
	CU_ASSERT_EQUAL(resumed->seen, SEEN_STARTED);
	CU_ASSERT_EQUAL(resumed->upstream, first->upstream);
	finish(resumed, PB_OUTCOME_CRASHED);
	again = submit((struct pb_work){.work = 10, .fingerprint = 77});
	CU_ASSERT_EQUAL(again->seen, SEEN_STARTED);
	/* A crash of another upstream is the second one. */
	finish(again, PB_OUTCOME_CRASHED);
	again = submit((struct pb_work){.work = 10, .fingerprint = 77});
	CU_ASSERT_EQUAL(again->seen, SEEN_REFUSED);
	close_cell();
}

/* Guards against a request that crashes more than two upstreams, although its
 * caller sends it again and again, and against bystanders that are refused. */
static void
test_containment(void)
{
	struct record *bad, *again = NULL;
	struct pb_contained out[4];
	uint64_t up;
	int i, crashes = 0;

	open_cell(&base_policy, ENGINES);
	for (i = 0; i < 20; i++)
		submit((struct pb_work){
		    .fingerprint = 100 + (uint64_t)i, .work = 50});
	for (i = 0; i < 10; i++) {
		bad = submit((struct pb_work){.fingerprint = 7, .work = 50});
		if (bad->seen != SEEN_STARTED)
			break;
		up = bad->upstream;
		if (crashes > 0) {
			/* Copies of a suspect do not run side by side. */
			again = submit((struct pb_work){.fingerprint = 7});
			CU_ASSERT_EQUAL(again->seen, SEEN_NONE);
		}
		crash(up);
		crashes++;
		set_engine(up, (uint64_t)crashes + 1, PB_UP_LIVE);
	}
	CU_ASSERT_EQUAL(crashes, 2);
	CU_ASSERT_EQUAL(bad->reason, PB_REFUSED_CONTAINED);
	CU_ASSERT(again != NULL && again->reason == PB_REFUSED_CONTAINED);
	CU_ASSERT_EQUAL(pb_read_contained(ctx, cell, out, 4), 1);
	CU_ASSERT_EQUAL(out[0].fingerprint, 7);
	for (i = 0; i < 20; i++) {
		again = submit((struct pb_work){
		    .fingerprint = 100 + (uint64_t)i, .work = 50});
		CU_ASSERT(again->seen != SEEN_REFUSED);
		if (again->seen == SEEN_STARTED)
			finish(again, PB_OUTCOME_DONE);
	}
	/* After its containment it may run again, and is still a suspect. */
	pb_advance_clock(&clk, base_policy.containment_us);
	bad = submit((struct pb_work){.fingerprint = 7, .work = 50});
	CU_ASSERT_EQUAL(bad->seen, SEEN_STARTED);
	crash(bad->upstream);
	bad = submit((struct pb_work){.fingerprint = 7, .work = 50});
	CU_ASSERT_EQUAL(bad->reason, PB_REFUSED_CONTAINED);
	close_cell();
}

/* Guards against suspects on one upstream together, and against one crash that
 * counts as several because each connection reports it. */
static void
test_suspects(void)
{
	struct record *first[8], *again[8];
	int i, j, running = 0;
	uint64_t up;

	open_cell(&base_policy, 3);
	for (i = 0; i < 8; i++)
		first[i] = submit((struct pb_work){
		    .fingerprint = 50 + (uint64_t)i, .work = 20, .chat = 5});
	up = first[0]->upstream;
	crash(up);
	pb_advance_clock(&clk, 2 * PB_SEC);
	set_engine(up, 2, PB_UP_LIVE);
	for (i = 0; i < 8; i++)
		again[i] = submit((struct pb_work){
		    .fingerprint = 50 + (uint64_t)i, .work = 20});
	for (i = 0; i < 8; i++) {
		CU_ASSERT_NOT_EQUAL(again[i]->seen, SEEN_REFUSED);
		running += again[i]->seen == SEEN_STARTED;
		for (j = 0; j < i; j++)
			CU_ASSERT(again[i]->seen != SEEN_STARTED ||
			    again[j]->seen != SEEN_STARTED ||
			    first[i]->upstream != first[j]->upstream ||
			    again[i]->upstream != again[j]->upstream);
	}
	CU_ASSERT(running >= 3 && running < 8);
	/* A suspect that completes is cleared and lets the next one run. */
	for (i = 0; i < 8; i++) {
		CU_ASSERT_EQUAL(again[i]->seen, SEEN_STARTED);
		finish(again[i], PB_OUTCOME_DONE);
	}
	for (i = 0; i < 8; i++)
		again[i] = submit((struct pb_work){
		    .fingerprint = 50 + (uint64_t)i, .work = 20});
	for (i = 0; i < 8; i++)
		CU_ASSERT_EQUAL(again[i]->seen, SEEN_STARTED);
	close_cell();
}

/* Guards against a suspect that waits and holds up other work of its account
 * (with one in front of every account, the cell runs empty), and against lower
 * ranks that take the place that it waits for. */
static void
test_waiting_suspect(void)
{
	struct record *first[2], *again[2], *r;
	uint64_t i;

	open_cell(&base_policy, 3);
	for (i = 0; i < 2; i++)
		first[i] = submit((struct pb_work){
		    .fingerprint = 50 + i, .work = 20, .chat = 5});
	CU_ASSERT_EQUAL(first[0]->upstream, first[1]->upstream);
	crash(first[0]->upstream);
	pb_advance_clock(&clk, 2 * PB_SEC);
	again[0] = submit((struct pb_work){.fingerprint = 50, .work = 20});
	/* The two others have no room for the second suspect. */
	for (i = 1; i <= 3; i++)
		submit((struct pb_work){.resume_on = i,
		    .work = i == again[0]->upstream ? 880 : 850});
	again[1] = submit((struct pb_work){.fingerprint = 51, .work = 200});
	CU_ASSERT_EQUAL(again[1]->seen, SEEN_NONE);
	r = submit((struct pb_work){.work = 90, .rank = 1});
	CU_ASSERT_EQUAL(r->seen, SEEN_STARTED);
	CU_ASSERT_EQUAL(r->upstream, again[0]->upstream);
	close_cell();
}

/* Guards against waiting or new work that a peer's containment misses. */
static void
test_remote_containment(void)
{
	struct record *r, *waits;
	struct pb_contained out[4];
	int i;

	open_cell(&base_policy, 1);
	for (i = 0; i < 10; i++)
		submit((struct pb_work){.work = 100});
	waits = submit((struct pb_work){.fingerprint = 9});
	CU_ASSERT_EQUAL(waits->seen, SEEN_NONE);
	pb_contain_fingerprint(ctx, cell, 9, clk.now_us + PB_SEC);
	CU_ASSERT_EQUAL(waits->reason, PB_REFUSED_CONTAINED);
	r = submit((struct pb_work){.fingerprint = 9});
	CU_ASSERT_EQUAL(r->reason, PB_REFUSED_CONTAINED);
	CU_ASSERT_EQUAL(pb_read_contained(ctx, cell, out, 4), 0);
	close_cell();
}

/* Guards against work in flight that a new owner does not know of, and against
 * a resumed request that silently starts elsewhere. */
static void
test_resume(void)
{
	struct pb_cell_stats st;
	struct record *r;

	open_cell(&base_policy, 3);
	set_engine(2, 1, PB_UP_LEAVING);
	r = submit((struct pb_work){.resume_on = 2, .work = 900});
	CU_ASSERT(r->seen == SEEN_STARTED && r->upstream == 2);
	r = submit((struct pb_work){.resume_on = 3, .work = 2000});
	CU_ASSERT(r->seen == SEEN_STARTED && r->upstream == 3);
	pb_read_cell_stats(ctx, cell, &st);
	CU_ASSERT_EQUAL(st.placement.load, 2000);
	CU_ASSERT_EQUAL(st.in_flight, 2);
	set_engine(2, 1, PB_UP_GONE);
	r = submit((struct pb_work){.resume_on = 2});
	CU_ASSERT_EQUAL(r->reason, PB_REFUSED_NO_UPSTREAM);
	close_cell();
}

/* Guards against a failed upstream that gets all work because it is idle, and
 * against a retry that goes to the upstream that just failed it. */
static void
test_failed_upstream(void)
{
	struct record *r, *retry;
	int i, to_failed = 0;
	uint64_t up;

	open_cell(&base_policy, 3);
	r = submit((struct pb_work){.chat = 1});
	up = r->upstream;
	finish(r, PB_OUTCOME_DONE);
	retry = submit((struct pb_work){.chat = 1, .avoid_upstream = up});
	CU_ASSERT(retry->seen == SEEN_STARTED && retry->upstream != up);
	r = submit((struct pb_work){.chat = 2});
	up = r->upstream;
	crash(up);
	for (i = 0; i < 10; i++) {
		r = submit((struct pb_work){.work = 10});
		to_failed += r->upstream == up;
	}
	CU_ASSERT_EQUAL(to_failed, 0);
	close_cell();
}

/* Guards against waiting work that is never refused, and against an id that
 * is used twice. */
static void
test_deadline(void)
{
	struct record *r;
	struct pb_work twice;
	int i;

	open_cell(&base_policy, 1);
	for (i = 0; i < 10; i++)
		submit((struct pb_work){.work = 100});
	r = submit((struct pb_work){.wait_us = 2 * PB_SEC});
	CU_ASSERT_EQUAL(r->seen, SEEN_NONE);
	twice = r->work;
	CU_ASSERT_EQUAL(pb_submit_work(ctx, cell, &twice), PB_ECONFLICT);
	CU_ASSERT(pb_tick_cell(ctx, cell) <= clk.now_us + 100 * PB_MSEC);
	pb_advance_clock(&clk, 2 * PB_SEC);
	pb_tick_cell(ctx, cell);
	CU_ASSERT_EQUAL(r->reason, PB_REFUSED_DEADLINE);
	set_engine(1, 1, PB_UP_EJECTED);
	r = submit((struct pb_work){0});
	CU_ASSERT_EQUAL(r->reason, PB_REFUSED_NO_UPSTREAM);
	close_cell();
}

/* Changes one upstream at random; work on a crashed one ends as crashed. */
static void
disturb(struct pb_random *rnd)
{
	uint64_t id = pb_next_random(rnd) % ENGINES + 1;
	struct engine *e = &engines[id];

	switch (pb_next_random(rnd) % 6) {
	case 0:
		crash(id);
		set_engine(id, e->info.incarnation + 1, PB_UP_LIVE);
		break;
	case 1:
		e->info.throttle = 0.25 + pb_next_uniform(rnd);
		set_engine(id, e->info.incarnation, e->info.state);
		break;
	case 2:
		set_engine(id, e->info.incarnation, PB_UP_LEAVING);
		break;
	case 3:
		set_engine(id, e->info.incarnation, PB_UP_EJECTED);
		break;
	default:
		set_engine(id, e->info.incarnation, PB_UP_LIVE);
	}
}

/* Ends one of the running requests, or cancels one of the waiting ones. */
static void
end_one(struct pb_random *rnd)
{
	static const enum pb_outcome ends[] = {PB_OUTCOME_DONE, PB_OUTCOME_DONE,
	    PB_OUTCOME_FAILED, PB_OUTCOME_CANCELLED, PB_OUTCOME_NOT_RUN};
	enum seen wanted =
	    pb_next_random(rnd) % 20 == 0 ? SEEN_NONE : SEEN_STARTED;
	uint64_t from = pb_next_random(rnd) % next_id, i;
	struct record *r;

	for (i = 0; i < next_id; i++) {
		r = &recs[(from + i) % next_id];
		if (r->submitted && !r->done && r->seen == wanted)
			break;
	}
	if (i == next_id)
		return;
	if (wanted == SEEN_STARTED) {
		finish(r, ends[pb_next_random(rnd) % 5]);
	} else {
		r->cancelled = r->done = true;
		pb_cancel_work(ctx, cell, r->work.id);
	}
}

static void
fuzz_step(struct pb_random *rnd)
{
	uint64_t dice = pb_next_random(rnd) % 100;
	struct pb_work w = {.chat = pb_next_random(rnd) % 50,
	    .account = pb_next_random(rnd) % 5 + 1,
	    .rank = (int)(pb_next_random(rnd) % 3),
	    .work = (uint32_t)(pb_next_random(rnd) % 200 + 1),
	    .fingerprint = pb_next_random(rnd) % 8000,
	    .wait_us = (int64_t)(pb_next_random(rnd) % 5000) * PB_MSEC + 1};

	w.fingerprint = w.fingerprint < 4000 ? w.fingerprint : 0;
	if (dice < 48)
		submit(w);
	else if (dice < 50) {
		w.resume_on = pb_next_random(rnd) % ENGINES + 1;
		submit(w);
	} else if (dice < 97)
		end_one(rnd);
	else if (dice < 98)
		disturb(rnd);
	else
		pb_advance_clock(&clk, 200 * PB_MSEC);
	pb_tick_cell(ctx, cell);
}

/* Guards, over random histories, against a request with no action or two, a
 * start on an upstream that must get none, a start over the bound, a start that
 * passes over more urgent work, and work in flight that is never given back. */
static void
test_fuzz(void)
{
	struct pb_cell_stats st;
	struct pb_random rnd;
	uint64_t seed, i;
	int step;

	for (seed = 1; seed <= 5; seed++) {
		rnd.state = seed;
		open_cell(&base_policy, ENGINES);
		for (step = 0; step < 20000; step++)
			fuzz_step(&rnd);
		for (i = 1; i < next_id; i++)
			if (recs[i].seen == SEEN_STARTED && !recs[i].done)
				finish(&recs[i], PB_OUTCOME_DONE);
		pb_advance_clock(&clk, 10 * PB_SEC);
		pb_tick_cell(ctx, cell);
		for (i = 1; i < next_id; i++) {
			if (recs[i].seen == SEEN_STARTED && !recs[i].done)
				finish(&recs[i], PB_OUTCOME_DONE);
			CU_ASSERT_EQUAL(
			    recs[i].actions, recs[i].cancelled ? 0 : 1);
		}
		pb_read_cell_stats(ctx, cell, &st);
		CU_ASSERT(st.in_flight == 0 && st.queue.items == 0);
		CU_ASSERT_EQUAL(st.placement.load, 0);
		CU_ASSERT(st.started > 3000);
		close_cell();
	}
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"ranks", test_ranks},
	    {"headroom", test_headroom},
	    {"resumed in a crash", test_resumed_in_crash},
	    {"containment", test_containment}, {"suspects", test_suspects},
	    {"waiting suspect", test_waiting_suspect},
	    {"remote containment", test_remote_containment},
	    {"resume", test_resume}, {"failed upstream", test_failed_upstream},
	    {"deadline", test_deadline}, {"fuzz", test_fuzz},
	    CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	pb_advance_clock(&clk, 100 * PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("cell", tests);
	pb_drop_context(ctx);
	return rc;
}
