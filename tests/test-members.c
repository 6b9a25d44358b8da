#include "poplarbeam/members.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

static struct pb_manual_clock clk;
static struct pb_context *ctx;

static const struct pb_members_policy policy = {.self = "r0",
    .region = "east",
    .suspect_us = 2 * PB_SEC,
    .dead_us = 2 * PB_SEC,
    .damp_min_us = PB_SEC,
    .damp_max_us = 8 * PB_SEC,
    .eject_share = 0.5,
    .fail_threshold = 3};

static struct pb_instance
make_instance(const char *prefix, int n, uint64_t incarnation)
{
	struct pb_instance in = {.incarnation = incarnation};

	in.role = *prefix == 'r' ? PB_ROLE_ROUTER : PB_ROLE_UPSTREAM;
	snprintf(in.id, sizeof(in.id), "%s%d", prefix, n);
	pb_copy_str(in.service, sizeof(in.service), "chat");
	pb_copy_str(in.region, sizeof(in.region), "east");
	return in;
}

static uint64_t
id_of(const char *prefix, int n)
{
	return pb_hash_cstr(make_instance(prefix, n, 0).id, 0);
}

/*
 * Creates members from a list of routers r0, r1 and so on and upstreams e0, e1
 * and so on, all with incarnation 1.
 */
static struct pb_members *
new_fleet(int routers, int upstreams)
{
	struct pb_members *m = pb_new_members(ctx, &policy);
	struct pb_instance list[200];
	int i, n = 0;

	for (i = 0; i < routers; i++)
		list[n++] = make_instance("r", i, 1);
	for (i = 0; i < upstreams; i++)
		list[n++] = make_instance("e", i, 1);
	CU_ASSERT_EQUAL(pb_apply_instance_list(ctx, m, list, (size_t)n), PB_OK);
	return m;
}

/* Returns the health of one instance now; -1 when it is not in the view. */
static int
health(struct pb_context *c, struct pb_members *m, uint64_t id)
{
	const struct pb_member *member;
	struct pb_view *view;
	int h;

	pb_tick_members(c, m);
	view = pb_new_view(c, m);
	member = pb_find_member(view, id);
	h = member != NULL ? (int)member->health : -1;
	pb_drop_view(c, view);
	return h;
}

static void
add_refusals(struct pb_members *m, uint64_t id, int times)
{
	while (times-- > 0)
		pb_note_evidence(ctx, m, id, 1, PB_EVIDENCE_REFUSAL);
}

/*
 * Records an answer every 100 ms until the upstream is live. Returns the
 * microseconds until then.
 */
static int64_t
answer_until_live(struct pb_members *m, uint64_t id)
{
	int64_t start = clk.now_us;

	while (clk.now_us - start < 100 * PB_SEC) {
		pb_note_evidence(ctx, m, id, 1, PB_EVIDENCE_ANSWER);
		if (health(ctx, m, id) == PB_HEALTH_LIVE)
			break;
		pb_advance_clock(&clk, 100 * PB_MSEC);
	}
	return clk.now_us - start;
}

/* Guards against a leaving upstream that later evidence makes live. */
static void
test_leaving_sticky(void)
{
	struct pb_members *m = new_fleet(1, 2);
	struct pb_instance list[2] = {
	    make_instance("e", 0, 1), make_instance("e", 1, 1)};
	uint64_t e0 = id_of("e", 0);

	pb_note_peer_health(ctx, m, e0, 1, PB_HEALTH_LEAVING, 77);
	CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_LEAVING);
	pb_note_evidence(ctx, m, e0, 1, PB_EVIDENCE_ANSWER);
	pb_note_peer_health(ctx, m, e0, 1, PB_HEALTH_LIVE, 78);
	pb_apply_instance_list(ctx, m, list, 2);
	CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_LEAVING);
	/* The upstream is removed, then listed again by a stale list. */
	pb_apply_instance_list(ctx, m, &list[1], 1);
	pb_advance_clock(&clk, 30 * PB_SEC);
	CU_ASSERT_EQUAL(health(ctx, m, e0), -1);
	pb_apply_instance_list(ctx, m, list, 2);
	CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_LEAVING);
	list[0].incarnation = 2;
	pb_apply_instance_list(ctx, m, list, 2);
	CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_LIVE);
	pb_note_evidence(ctx, m, e0, 1, PB_EVIDENCE_LEAVING);
	CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_LIVE);
	pb_drop_members(ctx, m);
}

/* Guards against the loss of evidence that arrives before the list. */
static void
test_leaving_before_list(void)
{
	struct pb_members *m = pb_new_members(ctx, &policy);
	struct pb_instance e0 = make_instance("e", 0, 4);

	pb_note_evidence(ctx, m, id_of("e", 0), 4, PB_EVIDENCE_LEAVING);
	CU_ASSERT_EQUAL(health(ctx, m, id_of("e", 0)), -1);
	pb_apply_instance_list(ctx, m, &e0, 1);
	CU_ASSERT_EQUAL(health(ctx, m, id_of("e", 0)), PB_HEALTH_LEAVING);
	pb_drop_members(ctx, m);
}

/* Guards against damping that does not double, is unbounded or never decays. */
static void
test_damping(void)
{
	struct pb_members *m = new_fleet(1, 4);
	static const int64_t want[] = {1, 2, 4, 8, 8};
	uint64_t e0 = id_of("e", 0);
	size_t i;

	for (i = 0; i < 5; i++) {
		add_refusals(m, e0, 2);
		CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_LIVE);
		add_refusals(m, e0, 1);
		CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_DOWN);
		CU_ASSERT_EQUAL(answer_until_live(m, e0), want[i] * PB_SEC);
	}
	/* A failure during the damping time restarts it. */
	add_refusals(m, e0, 3);
	health(ctx, m, e0);
	pb_note_evidence(ctx, m, e0, 1, PB_EVIDENCE_ANSWER);
	pb_advance_clock(&clk, 7 * PB_SEC);
	CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_DOWN);
	add_refusals(m, e0, 1);
	CU_ASSERT_EQUAL(answer_until_live(m, e0), 8 * PB_SEC);
	pb_advance_clock(&clk, 33 * PB_SEC);
	add_refusals(m, e0, 3);
	health(ctx, m, e0);
	CU_ASSERT_EQUAL(answer_until_live(m, e0), PB_SEC);
	/* A failure before the recovery does not double the damping time. */
	add_refusals(m, e0, 3);
	health(ctx, m, e0);
	pb_note_evidence(ctx, m, e0, 1, PB_EVIDENCE_ANSWER);
	health(ctx, m, e0);
	add_refusals(m, e0, 3);
	health(ctx, m, e0);
	CU_ASSERT_EQUAL(answer_until_live(m, e0), 2 * PB_SEC);
	pb_drop_members(ctx, m);
}

/*
 * Guards against an upstream in a crash loop that gets work immediately after
 * each restart because a crash makes few or no requests fail, and against a
 * planned restart that is treated as a crash.
 */
static void
test_restart_damping(void)
{
	struct pb_instance list[4];
	struct pb_members *m = new_fleet(1, 4);
	uint64_t id = id_of("e", 0);
	int64_t start;
	int i;

	for (i = 0; i < 4; i++)
		list[i] = make_instance("e", i, 1);
	for (i = 0; i < 4; i++) {
		if (i % 2 == 1)
			pb_note_evidence(ctx, m, id, 0, PB_EVIDENCE_REFUSAL);
		list[0].incarnation++;
		pb_apply_instance_list(ctx, m, list, 4);
		start = clk.now_us;
		while (health(ctx, m, id) != PB_HEALTH_LIVE &&
		    clk.now_us - start < 100 * PB_SEC)
			pb_advance_clock(&clk, 100 * PB_MSEC);
		CU_ASSERT_EQUAL(clk.now_us - start, PB_SEC << i);
	}
	pb_note_evidence(ctx, m, id, 0, PB_EVIDENCE_LEAVING);
	pb_note_evidence(ctx, m, id, 0, PB_EVIDENCE_REFUSAL);
	list[0].incarnation++;
	pb_apply_instance_list(ctx, m, list, 4);
	CU_ASSERT_EQUAL(health(ctx, m, id), PB_HEALTH_LIVE);
	pb_drop_members(ctx, m);
}

/* Guards against a faulty router that ejects all upstreams of a service. */
static void
test_eject_share(void)
{
	struct pb_members *m = new_fleet(1, 7);
	int i, down = 0;

	for (i = 0; i < 7; i++) {
		add_refusals(m, id_of("e", i), 3);
		pb_advance_clock(&clk, 10 * PB_MSEC);
	}
	for (i = 0; i < 7; i++) {
		int h = health(ctx, m, id_of("e", i));

		/* The 3 of 7 that failed last are ejected. */
		CU_ASSERT_EQUAL(h, i >= 4 ? PB_HEALTH_DOWN : PB_HEALTH_LIVE);
		down += h == PB_HEALTH_DOWN;
	}
	CU_ASSERT_EQUAL(down, 3);
	pb_drop_members(ctx, m);
}

/*
 * Guards against one wrong peer report that ejects an upstream which answers to
 * this router.
 */
static void
test_peer_reports(void)
{
	struct pb_members *m = new_fleet(1, 4);
	uint64_t e0 = id_of("e", 0), e1 = id_of("e", 1);

	pb_advance_clock(&clk, 10 * PB_SEC);
	pb_note_evidence(ctx, m, e0, 1, PB_EVIDENCE_ANSWER);
	pb_advance_clock(&clk, 500 * PB_MSEC);
	pb_note_peer_health(ctx, m, e0, 1, PB_HEALTH_DOWN, 71);
	CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_LIVE);
	pb_note_peer_health(ctx, m, e0, 1, PB_HEALTH_DOWN, 72);
	CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_DOWN);
	pb_note_peer_health(ctx, m, e0, 1, PB_HEALTH_LIVE, 72);
	pb_note_evidence(ctx, m, e0, 1, PB_EVIDENCE_ANSWER);
	CU_ASSERT_EQUAL(answer_until_live(m, e0), PB_SEC);
	/* With no answer to this router, one report counts until it expires. */
	pb_note_peer_health(ctx, m, e1, 1, PB_HEALTH_DOWN, 71);
	CU_ASSERT_EQUAL(health(ctx, m, e1), PB_HEALTH_DOWN);
	pb_advance_clock(&clk, 15 * PB_SEC);
	CU_ASSERT_EQUAL(health(ctx, m, e1), PB_HEALTH_DOWN);
	pb_advance_clock(&clk, 1 * PB_SEC);
	CU_ASSERT_EQUAL(health(ctx, m, e1), PB_HEALTH_LIVE);
	pb_drop_members(ctx, m);
}

/*
 * Guards against a silent router that stays in use, and against routers that
 * are marked down when this router is cut off.
 */
static void
test_router_silence(void)
{
	struct pb_members *m = new_fleet(4, 0);
	uint64_t r1 = id_of("r", 1), r2 = id_of("r", 2), r3 = id_of("r", 3);

	pb_advance_clock(&clk, 2 * PB_SEC);
	pb_note_evidence(ctx, m, r1, 1, PB_EVIDENCE_ANSWER);
	pb_note_peer_health(ctx, m, r2, 1, PB_HEALTH_LIVE, r2);
	CU_ASSERT_EQUAL(health(ctx, m, r1), PB_HEALTH_LIVE);
	CU_ASSERT_EQUAL(health(ctx, m, r2), PB_HEALTH_LIVE);
	CU_ASSERT_EQUAL(health(ctx, m, r3), PB_HEALTH_SUSPECT);
	pb_advance_clock(&clk, 2 * PB_SEC - 1);
	pb_note_evidence(ctx, m, r1, 1, PB_EVIDENCE_ANSWER);
	pb_advance_clock(&clk, 1);
	CU_ASSERT_EQUAL(health(ctx, m, r2), PB_HEALTH_SUSPECT);
	CU_ASSERT_EQUAL(health(ctx, m, r3), PB_HEALTH_DOWN);
	/* A router that a peer suspects is down without a sign of life. */
	pb_note_peer_health(ctx, m, r1, 1, PB_HEALTH_LIVE, r1);
	pb_note_peer_health(ctx, m, r2, 1, PB_HEALTH_LIVE, r2);
	pb_advance_clock(&clk, PB_SEC);
	pb_note_peer_health(ctx, m, r1, 1, PB_HEALTH_DOWN, r2);
	pb_note_peer_health(ctx, m, r2, 1, PB_HEALTH_SUSPECT, r1);
	CU_ASSERT_EQUAL(health(ctx, m, r1), PB_HEALTH_SUSPECT);
	pb_note_peer_health(ctx, m, r1, 1, PB_HEALTH_LIVE, r1);
	pb_advance_clock(&clk, 2 * PB_SEC - 1);
	pb_note_peer_health(ctx, m, r1, 1, PB_HEALTH_LIVE, r1);
	CU_ASSERT_EQUAL(health(ctx, m, r2), PB_HEALTH_SUSPECT);
	pb_advance_clock(&clk, 1);
	CU_ASSERT_EQUAL(health(ctx, m, r1), PB_HEALTH_LIVE);
	CU_ASSERT_EQUAL(health(ctx, m, r2), PB_HEALTH_DOWN);
	/*
	 * Without contact to any router the listed routers are kept, but
	 * refused connections still mark a router down.
	 */
	pb_advance_clock(&clk, 9 * PB_SEC);
	CU_ASSERT_EQUAL(health(ctx, m, r1), PB_HEALTH_SUSPECT);
	CU_ASSERT_EQUAL(health(ctx, m, r2), PB_HEALTH_DOWN);
	CU_ASSERT_EQUAL(health(ctx, m, id_of("r", 0)), PB_HEALTH_LIVE);
	add_refusals(m, r1, 3);
	CU_ASSERT_EQUAL(health(ctx, m, r1), PB_HEALTH_DOWN);
	pb_note_evidence(ctx, m, r1, 1, PB_EVIDENCE_ANSWER);
	CU_ASSERT_EQUAL(health(ctx, m, r1), PB_HEALTH_LIVE);
	pb_drop_members(ctx, m);
}

/* Guards against the removal of a running instance by a faulty list. */
static void
test_missing_from_list(void)
{
	struct pb_members *m = new_fleet(1, 2);
	uint64_t e0 = id_of("e", 0);
	int i;

	pb_apply_instance_list(ctx, m, NULL, 0);
	for (i = 0; i < 59; i++) {
		CU_ASSERT_EQUAL(health(ctx, m, e0), PB_HEALTH_LIVE);
		pb_advance_clock(&clk, PB_SEC);
		pb_note_evidence(ctx, m, e0, 1, PB_EVIDENCE_ANSWER);
	}
	CU_ASSERT_EQUAL(health(ctx, m, id_of("e", 1)), -1);
	pb_advance_clock(&clk, PB_SEC);
	CU_ASSERT_EQUAL(health(ctx, m, e0), -1);
	CU_ASSERT_EQUAL(health(ctx, m, id_of("r", 0)), PB_HEALTH_LIVE);
	pb_drop_members(ctx, m);
}

/* Guards against cells that move between unchanged routers. */
static void
test_cell_owner(void)
{
	struct pb_members *m = new_fleet(9, 0);
	struct pb_view *before, *after;
	int n, moved = 0, owned = 0;

	before = pb_new_view(ctx, m);
	pb_note_evidence(ctx, m, id_of("r", 4), 1, PB_EVIDENCE_LEAVING);
	after = pb_new_view(ctx, m);
	CU_ASSERT_NOT_EQUAL(before->version, after->version);
	for (n = 0; n < 200; n++) {
		uint64_t cell = pb_cell_id("chat", "east", n);
		const struct pb_member *a, *b, *next;

		a = pb_cell_owner(before, cell, "east", 0);
		next = pb_cell_owner(before, cell, "east", 1);
		b = pb_cell_owner(after, cell, "east", 0);
		CU_ASSERT_NOT_EQUAL(b->id_hash, id_of("r", 4));
		moved += a->id_hash != b->id_hash;
		owned += a->id_hash == id_of("r", 4);
		if (a->id_hash == id_of("r", 4))
			CU_ASSERT_EQUAL(b->id_hash, next->id_hash);
	}
	CU_ASSERT(owned > 5);
	CU_ASSERT_EQUAL(moved, owned);
	CU_ASSERT_PTR_NULL(pb_cell_owner(after, 1, "west", 0));
	CU_ASSERT_PTR_NULL(pb_cell_owner(after, 1, "east", 8));
	pb_drop_view(ctx, before);
	pb_drop_view(ctx, after);
	pb_drop_members(ctx, m);
}

#define ROUTERS 6
#define UPSTREAMS 12
#define STEPS 400

/* Evidence that all routers receive, in different orders. */
struct evidence {
	int upstream;
	uint64_t incarnation;
	/* 0 leaving, 1 live, 2 down, 3 live, 4 refusal, 5 instance list */
	int kind;
	uint64_t reporter;
};

/* Expected state of an upstream. */
struct model {
	uint64_t incarnation;
	bool leaving;
};

static void
deliver(struct pb_context *c, struct pb_members *m, struct model *model,
    const struct evidence *item)
{
	uint64_t id = id_of("e", item->upstream);
	struct model *expected;
	struct pb_instance list[UPSTREAMS];
	int i;

	for (i = 0; i < UPSTREAMS; i++)
		list[i] = make_instance(
		    "e", i, item->kind == 5 ? item->incarnation : 9);
	if (item->kind == 0)
		pb_note_peer_health(c, m, id, item->incarnation,
		    PB_HEALTH_LEAVING, item->reporter);
	else if (item->kind <= 3)
		pb_note_peer_health(c, m, id, item->incarnation,
		    item->kind == 2 ? PB_HEALTH_DOWN : PB_HEALTH_LIVE,
		    item->reporter);
	else if (item->kind == 4)
		pb_note_evidence(
		    c, m, id, item->incarnation, PB_EVIDENCE_REFUSAL);
	else
		pb_apply_instance_list(c, m, list, UPSTREAMS);
	for (i = 0; i < UPSTREAMS; i++) {
		bool hit = item->kind == 5 || i == item->upstream;

		expected = &model[i];
		if (hit && item->incarnation > expected->incarnation)
			*expected = (struct model){item->incarnation, false};
		if (i == item->upstream && item->kind == 0 &&
		    item->incarnation == expected->incarnation)
			expected->leaving = true;
	}
}

/* Delivers the items to one router in random order and at random times. */
static void
deliver_shuffled(struct pb_random *rnd, struct pb_context *c,
    struct pb_members *m, const struct evidence *items)
{
	struct model model[UPSTREAMS] = {0};
	int order[STEPS] = {0}, i, j;

	for (i = 0; i < STEPS; i++) {
		j = (int)(pb_next_random(rnd) % (uint64_t)(i + 1));
		order[i] = order[j];
		order[j] = i;
	}
	for (i = 0; i < STEPS; i++) {
		deliver(c, m, model, &items[order[i]]);
		pb_advance_clock((struct pb_manual_clock *)c->clock,
		    (int64_t)(pb_next_random(rnd) % (200 * PB_MSEC)));
		for (j = 0; j < UPSTREAMS; j++) {
			int h = health(c, m, id_of("e", j));

			if (h >= 0)
				CU_ASSERT_EQUAL(
				    h == PB_HEALTH_LEAVING, model[j].leaving);
		}
	}
}

/*
 * Ends a run with a current list and 60 s of answers from every upstream, and
 * returns the view.
 */
static struct pb_view *
finish_run(struct pb_context *c, struct pb_members *m)
{
	struct pb_instance list[UPSTREAMS];
	int i, s;

	for (i = 0; i < UPSTREAMS; i++)
		list[i] = make_instance("e", i, 1);
	pb_apply_instance_list(c, m, list, UPSTREAMS);
	for (s = 0; s < 60; s++) {
		for (i = 0; i < UPSTREAMS; i++)
			pb_note_evidence(
			    c, m, id_of("e", i), 0, PB_EVIDENCE_ANSWER);
		pb_tick_members(c, m);
		pb_advance_clock((struct pb_manual_clock *)c->clock, PB_SEC);
	}
	return pb_new_view(c, m);
}

/*
 * Guards against views that depend on the order or the delay of the same
 * evidence, and against a leaving upstream that becomes live during the run.
 */
static void
test_convergence(void)
{
	struct pb_random rnd = {20260401};
	struct pb_view *first, *view;
	struct evidence items[STEPS];
	int run, i, k, leaving_count;

	for (run = 0; run < 20; run++) {
		for (i = 0; i < STEPS; i++)
			items[i] = (struct evidence){
			    .upstream = (int)(pb_next_random(&rnd) % UPSTREAMS),
			    .incarnation = 1 + pb_next_random(&rnd) % 4,
			    .kind = (int)(pb_next_random(&rnd) % 6),
			    .reporter = 1 + pb_next_random(&rnd) % 5};
		first = NULL;
		for (k = 0; k < ROUTERS; k++) {
			struct pb_manual_clock own;
			struct pb_context *c = pb_new_context(&own.base, NULL);
			struct pb_members *m = pb_new_members(c, &policy);

			pb_init_manual_clock(&own, 0);
			pb_advance_clock(&own, (k + 1) * 1000 * PB_SEC);
			deliver_shuffled(&rnd, c, m, items);
			view = finish_run(c, m);
			if (first == NULL)
				first = pb_keep_view(view);
			CU_ASSERT_EQUAL(view->count, UPSTREAMS);
			CU_ASSERT_EQUAL(view->count, first->count);
			for (i = 0, leaving_count = 0; i < UPSTREAMS; i++) {
				struct pb_member *a = &view->members[i];
				struct pb_member *b = &first->members[i];

				CU_ASSERT_EQUAL(a->id_hash, b->id_hash);
				CU_ASSERT_EQUAL(a->health, b->health);
				CU_ASSERT_EQUAL(
				    a->info.incarnation, b->info.incarnation);
				leaving_count += a->health == PB_HEALTH_LEAVING;
			}
			CU_ASSERT(leaving_count > 0);
			pb_drop_view(c, view);
			pb_drop_members(c, m);
			pb_drop_context(c);
		}
		pb_drop_view(ctx, first);
	}
}

int
main(void)
{
	static CU_TestInfo tests[] = {
	    {"leaving is sticky", test_leaving_sticky},
	    {"leaving before the list", test_leaving_before_list},
	    {"damping", test_damping},
	    {"damping of restarts", test_restart_damping},
	    {"ejection share", test_eject_share},
	    {"peer reports", test_peer_reports},
	    {"router silence", test_router_silence},
	    {"missing from the list", test_missing_from_list},
	    {"cell owner", test_cell_owner}, {"convergence", test_convergence},
	    CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	pb_advance_clock(&clk, 100 * PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("members", tests);
	pb_drop_context(ctx);
	return rc;
}
