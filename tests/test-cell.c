#include "poplarbeam/cell.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

#define UPSTREAMS 6
#define RECORDS_MAX 60000

enum decision {
	DECISION_NONE,
	DECISION_STARTED,
	DECISION_REFUSED
};

/* State of each request in the test, by id. */
struct record {
	enum decision decision;
	int actions;
	enum pb_refusal reason;
	uint64_t upstream;
	uint64_t incarnation;
	struct pb_work work;
	bool submitted;
	bool cancelled;
	bool done;
};

/* Upstreams as tracked by the test, by id 1 to UPSTREAMS. */
struct test_upstream {
	struct pb_upstream_info info;
	double load;
	int64_t down_until;
};

static struct pb_manual_clock clk;
static struct pb_context *ctx;
static struct pb_cell *cell;
static struct record *records;
static struct test_upstream upstreams[UPSTREAMS + 1];
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
is_live(const struct test_upstream *u)
{
	return u->info.state == PB_UP_LIVE && u->info.throttle > 0 &&
	    u->down_until <= clk.now_us;
}

/* Returns true when the start keeps the load bound, by the test's own sums. */
static bool
keeps_bound(const struct record *r)
{
	const struct test_upstream *to = &upstreams[r->upstream];
	double load = 0, capacity = 0, after = to->load + r->work.work;
	int i;

	for (i = 1; i <= UPSTREAMS; i++) {
		if (!is_live(&upstreams[i]))
			continue;
		load += upstreams[i].load;
		capacity +=
		    upstreams[i].info.capacity * upstreams[i].info.throttle;
	}
	return to->load == 0 || after <= base_policy.placement.floor_work ||
	    after / (to->info.capacity * to->info.throttle) <=
	    1.20 * (load + r->work.work) / capacity * (1 + 1e-9);
}

/* Returns true when more urgent work waits that may run on any upstream. */
static bool
overtakes_urgent(const struct record *r)
{
	uint64_t i;

	for (i = 1; i < next_id; i++)
		if (records[i].decision == DECISION_NONE &&
		    !records[i].cancelled && records[i].work.fingerprint == 0 &&
		    records[i].work.rank < r->work.rank)
			return true;
	return false;
}

static void
on_action(void *arg, const struct pb_action *action)
{
	struct record *r = &records[action->id];

	(void)arg;
	r->actions++;
	CU_ASSERT(r->submitted && !r->cancelled && r->actions == 1);
	if (action->kind == PB_ACTION_REFUSE) {
		r->decision = DECISION_REFUSED;
		r->reason = action->reason;
		return;
	}
	r->decision = DECISION_STARTED;
	r->upstream = action->upstream;
	r->incarnation = upstreams[r->upstream].info.incarnation;
	if (r->work.resume_on == 0) {
		CU_ASSERT(is_live(&upstreams[r->upstream]));
		CU_ASSERT(keeps_bound(r));
		CU_ASSERT(!overtakes_urgent(r));
	}
	upstreams[r->upstream].load += r->work.work;
}

static void
set_upstream(uint64_t id, uint64_t incarnation, enum pb_upstream_state state)
{
	struct test_upstream *u = &upstreams[id];

	if (incarnation != u->info.incarnation) {
		u->load = 0;
		u->down_until = 0;
	}
	u->info.id = id;
	u->info.incarnation = incarnation;
	u->info.state = state;
	if (!(u->info.capacity > 0)) {
		u->info.capacity = 1000;
		u->info.throttle = 1;
	}
	CU_ASSERT_EQUAL(pb_set_cell_upstream(ctx, cell, &u->info), PB_OK);
}

static void
open_cell(const struct pb_cell_policy *policy, int count)
{
	int i;

	records = calloc(RECORDS_MAX, sizeof(*records));
	memset(upstreams, 0, sizeof(upstreams));
	next_id = 1;
	cell = pb_new_cell(ctx, policy, on_action, NULL);
	for (i = 1; i <= count; i++)
		set_upstream((uint64_t)i, 1, PB_UP_LIVE);
}

static void
close_cell(void)
{
	pb_drop_cell(ctx, cell);
	free(records);
}

/* Submits a request with a new id; fields that are 0 get default values. */
static struct record *
submit(struct pb_work w)
{
	struct record *r = &records[next_id];

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
	struct test_upstream *u = &upstreams[r->upstream];

	if (r->incarnation == u->info.incarnation)
		u->load -= r->work.work;
	r->done = true;
	pb_finish_work(ctx, cell, r->work.id, outcome, r->work.work);
}

/* Ends all requests that run on the upstream as crashed. */
static void
crash(uint64_t upstream)
{
	uint64_t i;

	upstreams[upstream].down_until = clk.now_us + PB_SEC;
	for (i = 1; i < next_id; i++) {
		struct record *r = &records[i];

		if (r->decision == DECISION_STARTED && !r->done &&
		    r->upstream == upstream)
			finish(r, PB_OUTCOME_CRASHED);
	}
}

/* Guards against less urgent work that starts before waiting urgent work, also
 * when only the less urgent work is small enough to fit on an upstream. */
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
	CU_ASSERT(urgent->decision == DECISION_NONE &&
	    bulk->decision == DECISION_NONE);
	finish(run[0], PB_OUTCOME_DONE);
	/* One upstream has 100 units free, too few for the urgent work. */
	CU_ASSERT(urgent->decision == DECISION_NONE);
	CU_ASSERT(bulk->decision == DECISION_NONE &&
	    normal->decision == DECISION_NONE);
	for (i = 1; i < 4; i++)
		finish(run[i], PB_OUTCOME_DONE);
	CU_ASSERT_EQUAL(urgent->decision, DECISION_STARTED);
	for (i = 4; i < 10; i++)
		finish(run[i], PB_OUTCOME_DONE);
	CU_ASSERT(bulk->decision == DECISION_STARTED &&
	    normal->decision == DECISION_STARTED);
	close_cell();
}

/* Guards against a flood of the lowest rank that uses the capacity which urgent
 * work needs to start at once. */
static void
test_headroom(void)
{
	struct record *r;
	double total = 0;
	int i;

	open_cell(&base_policy, UPSTREAMS);
	for (i = 0; i < 300; i++)
		submit((struct pb_work){.work = 50, .rank = 2});
	for (i = 1; i <= UPSTREAMS; i++) {
		CU_ASSERT(upstreams[i].load <= 1000);
		total += upstreams[i].load;
	}
	/* The lowest rank leaves 0.2 of the cell free and uses the rest. */
	CU_ASSERT(total <= 4800 && total > 4700);
	for (i = 0; i < 20; i++) {
		r = submit((struct pb_work){.work = 50, .rank = 0});
		CU_ASSERT_EQUAL(r->decision, DECISION_STARTED);
	}
	close_cell();
}

/*
 * Guards against a harmless stream that is contained after a single crash,
 * because it broke, was resumed at the crashing upstream and broke again.
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
	CU_ASSERT_EQUAL(resumed->decision, DECISION_STARTED);
	CU_ASSERT_EQUAL(resumed->upstream, first->upstream);
	finish(resumed, PB_OUTCOME_CRASHED);
	again = submit((struct pb_work){.work = 10, .fingerprint = 77});
	CU_ASSERT_EQUAL(again->decision, DECISION_STARTED);
	/* A crash of another upstream is the second one. */
	finish(again, PB_OUTCOME_CRASHED);
	again = submit((struct pb_work){.work = 10, .fingerprint = 77});
	CU_ASSERT_EQUAL(again->decision, DECISION_REFUSED);
	close_cell();
}

/* Guards against a request that crashes more than two upstreams because its
 * caller keeps resending it, and against refusing unrelated requests that were
 * in flight on one of the crashed upstreams. */
static void
test_containment(void)
{
	struct record *bad, *again = NULL;
	struct pb_contained out[4];
	uint64_t up;
	int i, crashes = 0;

	open_cell(&base_policy, UPSTREAMS);
	for (i = 0; i < 20; i++)
		submit((struct pb_work){
		    .fingerprint = 100 + (uint64_t)i, .work = 50});
	for (i = 0; i < 10; i++) {
		bad = submit((struct pb_work){.fingerprint = 7, .work = 50});
		if (bad->decision != DECISION_STARTED)
			break;
		up = bad->upstream;
		if (crashes > 0) {
			/* Copies of a suspect must not run at the same time. */
			again = submit((struct pb_work){.fingerprint = 7});
			CU_ASSERT_EQUAL(again->decision, DECISION_NONE);
		}
		crash(up);
		crashes++;
		set_upstream(up, (uint64_t)crashes + 1, PB_UP_LIVE);
	}
	CU_ASSERT_EQUAL(crashes, 2);
	CU_ASSERT_EQUAL(bad->reason, PB_REFUSED_CONTAINED);
	CU_ASSERT(again != NULL && again->reason == PB_REFUSED_CONTAINED);
	CU_ASSERT_EQUAL(pb_read_contained(ctx, cell, out, 4), 1);
	CU_ASSERT_EQUAL(out[0].fingerprint, 7);
	for (i = 0; i < 20; i++) {
		again = submit((struct pb_work){
		    .fingerprint = 100 + (uint64_t)i, .work = 50});
		CU_ASSERT(again->decision != DECISION_REFUSED);
		if (again->decision == DECISION_STARTED)
			finish(again, PB_OUTCOME_DONE);
	}
	/* After its containment the request may run, still as a suspect. */
	pb_advance_clock(&clk, base_policy.containment_us);
	bad = submit((struct pb_work){.fingerprint = 7, .work = 50});
	CU_ASSERT_EQUAL(bad->decision, DECISION_STARTED);
	crash(bad->upstream);
	bad = submit((struct pb_work){.fingerprint = 7, .work = 50});
	CU_ASSERT_EQUAL(bad->reason, PB_REFUSED_CONTAINED);
	close_cell();
}

/* Guards against several suspects on one upstream at the same time, and against
 * one crash that counts several times because each connection reports it. */
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
	set_upstream(up, 2, PB_UP_LIVE);
	for (i = 0; i < 8; i++)
		again[i] = submit((struct pb_work){
		    .fingerprint = 50 + (uint64_t)i, .work = 20});
	for (i = 0; i < 8; i++) {
		CU_ASSERT_NOT_EQUAL(again[i]->decision, DECISION_REFUSED);
		running += again[i]->decision == DECISION_STARTED;
		for (j = 0; j < i; j++)
			CU_ASSERT(again[i]->decision != DECISION_STARTED ||
			    again[j]->decision != DECISION_STARTED ||
			    first[i]->upstream != first[j]->upstream ||
			    again[i]->upstream != again[j]->upstream);
	}
	CU_ASSERT(running >= 3 && running < 8);
	/* A suspect that completes is cleared and lets the next one run. */
	for (i = 0; i < 8; i++) {
		CU_ASSERT_EQUAL(again[i]->decision, DECISION_STARTED);
		finish(again[i], PB_OUTCOME_DONE);
	}
	for (i = 0; i < 8; i++)
		again[i] = submit((struct pb_work){
		    .fingerprint = 50 + (uint64_t)i, .work = 20});
	for (i = 0; i < 8; i++)
		CU_ASSERT_EQUAL(again[i]->decision, DECISION_STARTED);
	close_cell();
}

/* Guards against a waiting suspect that blocks other work of its client account
 * (with a suspect at the head of every account, the cell starts no work), and
 * against lower ranks that take the capacity the suspect waits for. */
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
	/* The two other upstreams have no room for the second suspect. */
	for (i = 1; i <= 3; i++)
		submit((struct pb_work){.resume_on = i,
		    .work = i == again[0]->upstream ? 880 : 850});
	again[1] = submit((struct pb_work){.fingerprint = 51, .work = 200});
	CU_ASSERT_EQUAL(again[1]->decision, DECISION_NONE);
	r = submit((struct pb_work){.work = 90, .rank = 1});
	CU_ASSERT_EQUAL(r->decision, DECISION_STARTED);
	CU_ASSERT_EQUAL(r->upstream, again[0]->upstream);
	close_cell();
}

/* Guards against a containment reported by another router that does not apply
 * to waiting or new requests. */
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
	CU_ASSERT_EQUAL(waits->decision, DECISION_NONE);
	pb_contain_fingerprint(ctx, cell, 9, clk.now_us + PB_SEC);
	CU_ASSERT_EQUAL(waits->reason, PB_REFUSED_CONTAINED);
	r = submit((struct pb_work){.fingerprint = 9});
	CU_ASSERT_EQUAL(r->reason, PB_REFUSED_CONTAINED);
	CU_ASSERT_EQUAL(pb_read_contained(ctx, cell, out, 4), 0);
	close_cell();
}

/* Guards against work in flight that a new owner does not count, and against a
 * resumed request that silently starts on another upstream. */
static void
test_resume(void)
{
	struct pb_cell_stats st;
	struct record *r;

	open_cell(&base_policy, 3);
	set_upstream(2, 1, PB_UP_LEAVING);
	r = submit((struct pb_work){.resume_on = 2, .work = 900});
	CU_ASSERT(r->decision == DECISION_STARTED && r->upstream == 2);
	r = submit((struct pb_work){.resume_on = 3, .work = 2000});
	CU_ASSERT(r->decision == DECISION_STARTED && r->upstream == 3);
	pb_read_cell_stats(ctx, cell, &st);
	CU_ASSERT_EQUAL(st.placement.load, 2000);
	CU_ASSERT_EQUAL(st.in_flight, 2);
	set_upstream(2, 1, PB_UP_GONE);
	r = submit((struct pb_work){.resume_on = 2});
	CU_ASSERT_EQUAL(r->reason, PB_REFUSED_NO_UPSTREAM);
	close_cell();
}

/* Guards against a crashed upstream that gets all work because it has no load,
 * and against a retry on the upstream where the request just failed. */
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
	CU_ASSERT(retry->decision == DECISION_STARTED && retry->upstream != up);
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

/* Guards against waiting work that is not refused when its wait limit passes,
 * and against a second request with an id that is in use. */
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
	CU_ASSERT_EQUAL(r->decision, DECISION_NONE);
	twice = r->work;
	CU_ASSERT_EQUAL(pb_submit_work(ctx, cell, &twice), PB_ECONFLICT);
	CU_ASSERT(pb_tick_cell(ctx, cell) <= clk.now_us + 100 * PB_MSEC);
	pb_advance_clock(&clk, 2 * PB_SEC);
	pb_tick_cell(ctx, cell);
	CU_ASSERT_EQUAL(r->reason, PB_REFUSED_DEADLINE);
	set_upstream(1, 1, PB_UP_EJECTED);
	r = submit((struct pb_work){0});
	CU_ASSERT_EQUAL(r->reason, PB_REFUSED_NO_UPSTREAM);
	close_cell();
}

/* Changes a random upstream; work on one that crashes ends as crashed. */
static void
change_upstream(struct pb_random *rnd)
{
	uint64_t id = pb_next_random(rnd) % UPSTREAMS + 1;
	struct test_upstream *u = &upstreams[id];

	switch (pb_next_random(rnd) % 6) {
	case 0:
		crash(id);
		set_upstream(id, u->info.incarnation + 1, PB_UP_LIVE);
		break;
	case 1:
		u->info.throttle = 0.25 + pb_next_uniform(rnd);
		set_upstream(id, u->info.incarnation, u->info.state);
		break;
	case 2:
		set_upstream(id, u->info.incarnation, PB_UP_LEAVING);
		break;
	case 3:
		set_upstream(id, u->info.incarnation, PB_UP_EJECTED);
		break;
	default:
		set_upstream(id, u->info.incarnation, PB_UP_LIVE);
	}
}

/* Ends a random running request or cancels a random waiting one. */
static void
end_request(struct pb_random *rnd)
{
	static const enum pb_outcome ends[] = {PB_OUTCOME_DONE, PB_OUTCOME_DONE,
	    PB_OUTCOME_FAILED, PB_OUTCOME_CANCELLED, PB_OUTCOME_NOT_RUN};
	enum decision wanted =
	    pb_next_random(rnd) % 20 == 0 ? DECISION_NONE : DECISION_STARTED;
	uint64_t from = pb_next_random(rnd) % next_id, i;
	struct record *r;

	for (i = 0; i < next_id; i++) {
		r = &records[(from + i) % next_id];
		if (r->submitted && !r->done && r->decision == wanted)
			break;
	}
	if (i == next_id)
		return;
	if (wanted == DECISION_STARTED) {
		finish(r, ends[pb_next_random(rnd) % 5]);
	} else {
		r->cancelled = r->done = true;
		pb_cancel_work(ctx, cell, r->work.id);
	}
}

static void
fuzz_step(struct pb_random *rnd)
{
	uint64_t roll = pb_next_random(rnd) % 100;
	struct pb_work w = {.chat = pb_next_random(rnd) % 50,
	    .account = pb_next_random(rnd) % 5 + 1,
	    .rank = (int)(pb_next_random(rnd) % 3),
	    .work = (uint32_t)(pb_next_random(rnd) % 200 + 1),
	    .fingerprint = pb_next_random(rnd) % 8000,
	    .wait_us = (int64_t)(pb_next_random(rnd) % 5000) * PB_MSEC + 1};

	w.fingerprint = w.fingerprint < 4000 ? w.fingerprint : 0;
	if (roll < 48)
		submit(w);
	else if (roll < 50) {
		w.resume_on = pb_next_random(rnd) % UPSTREAMS + 1;
		submit(w);
	} else if (roll < 97)
		end_request(rnd);
	else if (roll < 98)
		change_upstream(rnd);
	else
		pb_advance_clock(&clk, 200 * PB_MSEC);
	pb_tick_cell(ctx, cell);
}

/* Guards, over random sequences of events, against a request with no action or
 * with two, a start on an upstream that must get no work, a start over the load
 * bound, a start before more urgent waiting work, and work that stays counted
 * as in flight after it ended. */
static void
test_fuzz(void)
{
	struct pb_cell_stats st;
	struct pb_random rnd;
	uint64_t seed, i;
	int step;

	for (seed = 1; seed <= 5; seed++) {
		rnd.state = seed;
		open_cell(&base_policy, UPSTREAMS);
		for (step = 0; step < 20000; step++)
			fuzz_step(&rnd);
		for (i = 1; i < next_id; i++)
			if (records[i].decision == DECISION_STARTED &&
			    !records[i].done)
				finish(&records[i], PB_OUTCOME_DONE);
		pb_advance_clock(&clk, 10 * PB_SEC);
		pb_tick_cell(ctx, cell);
		for (i = 1; i < next_id; i++) {
			if (records[i].decision == DECISION_STARTED &&
			    !records[i].done)
				finish(&records[i], PB_OUTCOME_DONE);
			CU_ASSERT_EQUAL(
			    records[i].actions, records[i].cancelled ? 0 : 1);
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
