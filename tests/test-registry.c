#include "poplarbeam/registry.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

static struct pb_manual_clock clk;
static struct pb_context *ctx;
static struct pb_random rnd;

static void
apply(struct pb_registry *reg, const char *id, const char *domain,
    bool draining, int64_t started)
{
	struct pb_instance_entry e = {.id = pb_str_from(id),
	    .service = pb_str_from("s"),
	    .address = pb_str_from("127.0.0.1:80"),
	    .domain = pb_str_from(domain),
	    .slots = 8,
	    .draining = draining,
	    .started_ms = started};

	CU_ASSERT_EQUAL(pb_apply_instance(ctx, reg, &e), PB_OK);
}

/* Creates instances i0, i1, ... alternating between domains a, b and c. */
static struct pb_registry *
new_test_registry(int count)
{
	struct pb_registry *reg = pb_new_registry(ctx, NULL, NULL);
	static const char *const domains[] = {"a", "b", "c"};
	char id[16];
	int i;

	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "i%d", i);
		apply(reg, id, domains[i % 3], false, 1);
	}
	return reg;
}

static struct pb_instance *
choose(struct pb_registry *reg, const char *domain, uint64_t affinity)
{
	struct pb_placement p = {.service = pb_str_from("s"),
	    .domain = pb_str_from(domain),
	    .affinity = affinity,
	    .rnd = &rnd};
	struct pb_placement_facts facts;

	return pb_choose_instance(ctx, reg, &p, &facts);
}

/*
 * Guards against a prefix that is processed again in every failure domain,
 * because the routers of each domain prefer another instance for it.
 */
static void
test_one_instance_per_prefix(void)
{
	struct pb_registry *reg = new_test_registry(12);
	uint64_t key;

	for (key = 1; key < 200; key++) {
		struct pb_instance *preferred = choose(reg, "a", key);

		CU_ASSERT_PTR_EQUAL(choose(reg, "b", key), preferred);
		CU_ASSERT_PTR_EQUAL(choose(reg, "c", key), preferred);
	}
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against a hot prefix that overloads its preferred instance: a router
 * sends 400 requests, most of them for one prefix, and none of them ends.
 */
static void
test_hot_prefix(void)
{
	struct pb_registry *reg = new_test_registry(12);
	int i, most = 0;

	for (i = 0; i < 400; i++) {
		struct pb_instance *inst =
		    choose(reg, "a", i % 3 != 0 ? 7 : 100 + (uint64_t)i);

		pb_note_dispatch(inst, true);
	}
	for (i = 0; i < 12; i++) {
		char id[16];
		struct pb_instance *inst;

		snprintf(id, sizeof(id), "i%d", i);
		inst = pb_find_instance(reg, pb_str_from(id));
		if (inst->in_flight > most)
			most = inst->in_flight;
	}
	/* The platform's bound is twice the mean plus 3 requests. */
	CU_ASSERT(most <= 2 * 400 / 12 + 3);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against load of other routers that is ignored, or that still counts
 * long after the last report.
 */
static void
test_reported_load(void)
{
	struct pb_registry *reg = new_test_registry(2);
	struct pb_instance *a = pb_find_instance(reg, pb_str_from("i0"));
	struct pb_instance *b = pb_find_instance(reg, pb_str_from("i1"));
	int i;

	pb_note_load(ctx, a, 20);
	pb_note_load(ctx, b, 0);
	for (i = 0; i < 10; i++) {
		CU_ASSERT_PTR_EQUAL(choose(reg, "a", 0), b);
		pb_note_dispatch(b, true);
	}
	/* Without a new report, the load has faded to zero. */
	pb_advance_clock(&clk, 6 * PB_SEC);
	CU_ASSERT_PTR_EQUAL(choose(reg, "a", 0), a);
	pb_drop_registry(ctx, reg);
}

static void
note_shared_load(struct pb_registry *reg, const struct pb_instance *inst,
    int requests, int64_t reported_us, bool of_follower)
{
	struct pb_load_report report = {
	    (uint32_t)inst->hash, requests, reported_us, of_follower};

	pb_note_shared_load(ctx, reg, &report);
}

/*
 * Guards against a newer report replaced by another router's older one, and
 * against a router between two others that withholds the reports of one from
 * the other.
 */
static void
test_shared_load(void)
{
	struct pb_registry *reg = new_test_registry(3);
	struct pb_instance *a = pb_find_instance(reg, pb_str_from("i0"));
	struct pb_instance *b = pb_find_instance(reg, pb_str_from("i1"));
	const struct pb_instance *seen[4];
	int64_t now = pb_now(ctx);

	pb_note_load(ctx, a, 5);
	note_shared_load(reg, a, 9, now - PB_MSEC, false);
	CU_ASSERT_EQUAL(a->reported, 5);
	note_shared_load(reg, b, 7, now - PB_MSEC, false);
	CU_ASSERT_EQUAL(b->reported, 7);
	/* A report received from another router is not passed on as own. */
	CU_ASSERT_EQUAL(pb_read_reports(reg, 0, true, seen, 4), 1);
	CU_ASSERT_PTR_EQUAL(seen[0], a);
	CU_ASSERT_EQUAL(pb_read_reports(reg, 0, false, seen, 4), 2);
	CU_ASSERT_PTR_EQUAL(seen[0], a);
	/* A report counts from its arrival: it may be older than since_us. */
	CU_ASSERT_EQUAL(pb_read_reports(reg, now - PB_MSEC, false, seen, 4), 2);
	CU_ASSERT_EQUAL(pb_read_reports(reg, now, false, seen, 4), 0);
	pb_advance_clock(&clk, PB_MSEC);
	note_shared_load(reg, b, 8, now - PB_MSEC / 2, true);
	CU_ASSERT_EQUAL(pb_read_reports(reg, now, false, seen, 4), 1);
	CU_ASSERT_PTR_EQUAL(seen[0], b);
	/* A follower's report is passed on like an own one. */
	CU_ASSERT_EQUAL(pb_read_reports(reg, now, true, seen, 4), 1);
	CU_ASSERT_PTR_EQUAL(seen[0], b);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against streams of other routers that are not counted, are counted
 * twice or are never dropped, and against streams that are reported back to the
 * router that reported them.
 */
static void
test_streams(void)
{
	struct pb_registry *reg = new_test_registry(3);
	struct pb_instance *a = pb_find_instance(reg, pb_str_from("i0"));
	struct pb_stream_count counts[4];
	struct pb_stream_count near = {(uint32_t)a->hash, 5};
	struct pb_stream_count far = {(uint32_t)a->hash, 7};
	struct pb_stream_count unknown = {1, 9};
	struct pb_peer_streams *peer, *remote, *unmatched;

	pb_note_dispatch(a, true);
	pb_note_dispatch(a, false);
	peer = pb_new_peer_streams(reg, PB_PEER_OWN_DOMAIN, &near, 1);
	remote = pb_new_peer_streams(reg, PB_PEER_REMOTE, &far, 1);
	unmatched = pb_new_peer_streams(reg, PB_PEER_REMOTE, &unknown, 1);
	CU_ASSERT_EQUAL(pb_read_streams(ctx, reg, false, NULL, counts, 4), 1);
	CU_ASSERT_EQUAL(counts[0].streams, 1 + 5);
	CU_ASSERT_EQUAL(pb_read_streams(ctx, reg, true, NULL, counts, 4), 1);
	CU_ASSERT_EQUAL(counts[0].streams, 1 + 5 + 7);
	CU_ASSERT_EQUAL(pb_read_streams(ctx, reg, true, peer, counts, 4), 1);
	CU_ASSERT_EQUAL(counts[0].streams, 1 + 7);
	pb_drop_peer_streams(peer);
	pb_drop_peer_streams(remote);
	pb_drop_peer_streams(unmatched);
	CU_ASSERT_EQUAL(pb_sum_other_streams(ctx, reg), 0);
	pb_set_aggregate_streams(ctx, reg, &far, 1);
	CU_ASSERT_EQUAL(pb_sum_other_streams(ctx, reg), 7);
	/* A new report replaces all counts; instances left out have 0. */
	pb_set_aggregate_streams(ctx, reg, &near, 1);
	CU_ASSERT_EQUAL(pb_sum_other_streams(ctx, reg), 5);
	pb_set_aggregate_streams(ctx, reg, NULL, 0);
	CU_ASSERT_EQUAL(pb_sum_other_streams(ctx, reg), 0);
	pb_set_aggregate_streams(ctx, reg, &far, 1);
	pb_advance_clock(&clk, 2 * PB_SEC);
	CU_ASSERT_EQUAL(pb_sum_other_streams(ctx, reg), 0);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against a prefix that is processed again although another instance has
 * it cached: when the preferred instance is full, when it is draining, and when
 * it has just joined.
 */
static void
test_prefix_holder(void)
{
	struct pb_registry *reg = new_test_registry(6);
	struct pb_placement p = {.service = pb_str_from("s"),
	    .domain = pb_str_from("a"),
	    .affinity = 77,
	    .rnd = &rnd};
	struct pb_placement_facts facts;
	struct pb_instance *preferred, *other;
	char id[PB_INSTANCE_TEXT];
	int i;

	pb_advance_clock(&clk, 60 * PB_SEC);
	preferred = pb_choose_instance(ctx, reg, &p, &facts);
	pb_copy_str(id, sizeof(id), preferred->id);
	CU_ASSERT_PTR_NULL(facts.holder);
	for (i = 0; i < 40; i++)
		pb_note_dispatch(preferred, true);
	other = pb_choose_instance(ctx, reg, &p, &facts);
	CU_ASSERT_PTR_NOT_EQUAL(other, preferred);
	CU_ASSERT_PTR_EQUAL(facts.holder, preferred);
	for (i = 0; i < 40; i++)
		pb_note_release(preferred, true);
	apply(reg, id, "a", true, 1);
	CU_ASSERT_PTR_EQUAL(pb_choose_instance(ctx, reg, &p, &facts), other);
	CU_ASSERT_PTR_EQUAL(facts.holder, preferred);
	/* The restarted instance gets the prefix from the one used since. */
	apply(reg, id, "a", false, 2);
	preferred = pb_choose_instance(ctx, reg, &p, &facts);
	CU_ASSERT_PTR_NOT_EQUAL(preferred, other);
	CU_ASSERT_PTR_EQUAL(facts.holder, other);
	pb_note_unreachable(ctx, other);
	pb_choose_instance(ctx, reg, &p, &facts);
	CU_ASSERT_PTR_NOT_EQUAL(facts.holder, other);
	pb_drop_registry(ctx, reg);
}

/* Guards against requests to an instance that fails most requests. */
static void
test_failing_instance(void)
{
	struct pb_registry *reg = new_test_registry(3);
	struct pb_instance *bad = pb_find_instance(reg, pb_str_from("i1"));
	int i, chosen = 0;

	for (i = 0; i < 4; i++)
		pb_note_outcome(ctx, reg, bad, true);
	for (i = 0; i < 50; i++)
		chosen += choose(reg, "b", 0) == bad;
	CU_ASSERT_EQUAL(chosen, 0);
	CU_ASSERT_EQUAL(pb_last_avoided(reg), pb_now(ctx));
	pb_advance_clock(&clk, 20 * PB_SEC);
	CU_ASSERT_PTR_EQUAL(choose(reg, "b", 0), bad);
	/* When most instances fail, none of them is avoided. */
	for (i = 0; i < 4; i++) {
		pb_note_outcome(ctx, reg, bad, true);
		pb_note_outcome(
		    ctx, reg, pb_find_instance(reg, pb_str_from("i0")), true);
	}
	CU_ASSERT_PTR_EQUAL(choose(reg, "b", 0), bad);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against routers that all return at once to an instance that still
 * fails, and against an instance that is avoided after it has recovered.
 */
static void
test_trial(void)
{
	struct pb_registry *reg = new_test_registry(3);
	struct pb_instance *bad = pb_find_instance(reg, pb_str_from("i1"));
	int i, chosen = 0;

	for (i = 0; i < 4; i++)
		pb_note_outcome(ctx, reg, bad, true);
	/* The failures have decayed, but no success shows a recovery. */
	pb_advance_clock(&clk, 4 * PB_SEC);
	for (i = 0; i < 600; i++)
		chosen += choose(reg, "b", 0) == bad;
	CU_ASSERT(chosen > 0);
	CU_ASSERT(chosen < 600 / 3 / 2);
	/* Another failure prolongs the trial. */
	pb_note_outcome(ctx, reg, bad, true);
	pb_advance_clock(&clk, 5 * PB_SEC);
	CU_ASSERT(bad->failing);
	chosen = 0;
	for (i = 0; i < 600; i++)
		chosen += choose(reg, "b", 0) == bad;
	CU_ASSERT(chosen < 600 / 3 / 2);
	for (i = 0; i < 3; i++)
		pb_note_outcome(ctx, reg, bad, false);
	CU_ASSERT_FALSE(bad->failing);
	for (i = 0, chosen = 0; i < 600; i++)
		chosen += choose(reg, "b", 0) == bad;
	CU_ASSERT(chosen > 600 / 3 / 2);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against instances that carry more than twice the mean load because
 * many others are still avoided after a fault that has ended.
 */
static void
test_share_on_trial(void)
{
	struct pb_registry *reg = new_test_registry(12);
	char id[16];
	int i, k, most = 0;

	for (i = 0; i < 6; i++) {
		snprintf(id, sizeof(id), "i%d", i);
		for (k = 0; k < 60; k++)
			pb_note_outcome(ctx, reg,
			    pb_find_instance(reg, pb_str_from(id)), true);
	}
	pb_advance_clock(&clk, 4100 * PB_MSEC);
	for (i = 0; i < 600; i++)
		pb_note_dispatch(choose(reg, "a", 0), true);
	for (i = 0; i < 12; i++) {
		struct pb_instance *inst;

		snprintf(id, sizeof(id), "i%d", i);
		inst = pb_find_instance(reg, pb_str_from(id));
		if (inst->in_flight > most)
			most = inst->in_flight;
	}
	/* The mean is 50: 75 is halfway between it and the bound of 100. */
	CU_ASSERT(most <= 75);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against a second attempt at a failing instance while a healthy one is
 * left, when the instance of the first attempt also counts as healthy.
 */
static void
test_second_attempt(void)
{
	struct pb_registry *reg = new_test_registry(3);
	struct pb_instance *first = pb_find_instance(reg, pb_str_from("i0"));
	struct pb_instance *bad = pb_find_instance(reg, pb_str_from("i1"));
	struct pb_instance *good = pb_find_instance(reg, pb_str_from("i2"));
	struct pb_placement p = {.service = pb_str_from("s"),
	    .domain = pb_str_from("b"),
	    .excluded = &first,
	    .excluded_count = 1,
	    .rnd = &rnd};
	struct pb_placement_facts facts;
	int i;

	for (i = 0; i < 4; i++)
		pb_note_outcome(ctx, reg, bad, true);
	for (i = 0; i < 50; i++)
		CU_ASSERT_PTR_EQUAL(
		    pb_choose_instance(ctx, reg, &p, &facts), good);
	CU_ASSERT_EQUAL(facts.healthy, 2);
	pb_drop_registry(ctx, reg);
}

/* Exchanges outcomes as a follower and the router that it follows do. */
static void
exchange_outcomes(struct pb_registry *follower, struct pb_registry *followed)
{
	struct pb_outcomes outcomes[8];
	size_t i, n = pb_take_unsent_outcomes(ctx, follower, outcomes, 8);

	for (i = 0; i < n; i++)
		pb_add_shared_outcomes(ctx, followed, &outcomes[i]);
	n = pb_read_shared_outcomes(ctx, followed, outcomes, 8);
	for (i = 0; i < n; i++)
		pb_set_shared_outcomes(ctx, follower, &outcomes[i]);
}

static int
count_choices(struct pb_registry *reg, const char *id)
{
	struct pb_instance *inst = pb_find_instance(reg, pb_str_from(id));
	int i, n = 0;

	for (i = 0; i < 60; i++)
		n += choose(reg, "b", 0) == inst;
	return n;
}

/*
 * Guards against a router between two others that keeps the outcomes of the
 * routers that poll it to itself: 4 failures, of which no router sees two.
 */
static void
test_outcomes_over_two_levels(void)
{
	struct pb_registry *first = new_test_registry(3);
	struct pb_registry *middle[2], *last[4];
	int i;

	for (i = 0; i < 4; i++) {
		if (i < 2)
			middle[i] = new_test_registry(3);
		last[i] = new_test_registry(3);
		pb_note_outcome(ctx, last[i],
		    pb_find_instance(last[i], pb_str_from("i1")), true);
		exchange_outcomes(last[i], middle[i % 2]);
	}
	for (i = 0; i < 4; i++)
		exchange_outcomes(middle[i % 2], first);
	CU_ASSERT_EQUAL(count_choices(first, "i1"), 0);
	for (i = 0; i < 4; i++) {
		exchange_outcomes(last[i], middle[i % 2]);
		CU_ASSERT_EQUAL(count_choices(last[i], "i1"), 0);
		pb_drop_registry(ctx, last[i]);
	}
	pb_drop_registry(ctx, middle[0]);
	pb_drop_registry(ctx, middle[1]);
	pb_drop_registry(ctx, first);
}

/*
 * Guards against routers that each keep sending requests to a failing instance,
 * because no single router sees enough failures to avoid it.
 */
static void
test_shared_outcomes(void)
{
	struct pb_registry *followed = new_test_registry(3);
	struct pb_registry *follower[6];
	struct pb_outcomes outcomes;
	int i;

	for (i = 0; i < 6; i++) {
		follower[i] = new_test_registry(3);
		pb_note_outcome(ctx, follower[i],
		    pb_find_instance(follower[i], pb_str_from("i1")), i < 4);
		pb_note_outcome(ctx, follower[i],
		    pb_find_instance(follower[i], pb_str_from("i0")), false);
		exchange_outcomes(follower[i], followed);
	}
	CU_ASSERT_EQUAL(count_choices(followed, "i1"), 0);
	CU_ASSERT(count_choices(follower[0], "i1") > 0);
	for (i = 0; i < 6; i++) {
		exchange_outcomes(follower[i], followed);
		CU_ASSERT_EQUAL(count_choices(follower[i], "i1"), 0);
		CU_ASSERT(count_choices(follower[i], "i0") > 0);
	}
	/* Outcomes are sent once, and a recovered instance is used again. */
	CU_ASSERT_EQUAL(
	    pb_take_unsent_outcomes(ctx, follower[0], &outcomes, 1), 0);
	pb_advance_clock(&clk, 8 * PB_SEC);
	for (i = 0; i < 6; i++) {
		CU_ASSERT(count_choices(follower[i], "i1") > 0);
		pb_drop_registry(ctx, follower[i]);
	}
	pb_drop_registry(ctx, followed);
}

/* Guards against requests to a draining, unreachable or removed instance. */
static void
test_leaving(void)
{
	struct pb_registry *reg = new_test_registry(2);
	struct pb_instance *a = pb_find_instance(reg, pb_str_from("i0"));
	struct pb_instance *b = pb_find_instance(reg, pb_str_from("i1"));

	apply(reg, "i0", "a", true, 1);
	CU_ASSERT_PTR_EQUAL(choose(reg, "a", 5), b);
	apply(reg, "i0", "a", false, 1);
	pb_note_unreachable(ctx, a);
	CU_ASSERT_PTR_EQUAL(choose(reg, "a", 0), b);
	pb_remove_instance(ctx, reg, pb_str_from("i0"));
	pb_remove_instance(ctx, reg, pb_str_from("i1"));
	CU_ASSERT_PTR_NULL(choose(reg, "a", 0));
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against instances that are removed because their entries expired
 * during an outage of the store.
 */
static void
test_expired_entries(void)
{
	struct pb_registry *reg = new_test_registry(2);

	pb_defer_removals(reg, pb_now(ctx) + 2 * PB_SEC);
	pb_begin_listing(reg);
	apply(reg, "i0", "a", false, 1);
	pb_end_listing(ctx, reg);
	CU_ASSERT_EQUAL(pb_count_instances(reg), 2);
	pb_advance_clock(&clk, PB_SEC);
	pb_begin_listing(reg);
	apply(reg, "i0", "a", false, 1);
	pb_end_listing(ctx, reg);
	pb_expire_instances(ctx, reg);
	CU_ASSERT_EQUAL(pb_count_instances(reg), 2);
	pb_advance_clock(&clk, PB_SEC);
	pb_expire_instances(ctx, reg);
	CU_ASSERT_EQUAL(pb_count_instances(reg), 1);
	/* Removals after the deferral take effect at once. */
	pb_remove_instance(ctx, reg, pb_str_from("i0"));
	CU_ASSERT_EQUAL(pb_count_instances(reg), 0);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against requests to an instance that has left, because a router that
 * heard nothing of the list for a while takes that for an outage of the store.
 */
static void
test_gap_without_outage(void)
{
	struct pb_registry *reg = new_test_registry(2);
	struct pb_list_gap gap = {2500 * PB_MSEC, false};

	pb_note_list_gap(ctx, reg, &gap);
	pb_remove_instance(ctx, reg, pb_str_from("i0"));
	CU_ASSERT_EQUAL(pb_count_instances(reg), 1);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against instances that are removed because their entries expired in an
 * outage that this router saw, or slept through.
 */
static void
test_gap_with_outage(void)
{
	static const struct pb_list_gap gaps[] = {
	    {2500 * PB_MSEC, true}, {3500 * PB_MSEC, false}};
	size_t i;

	for (i = 0; i < 2; i++) {
		struct pb_registry *reg = new_test_registry(2);

		pb_note_list_gap(ctx, reg, &gaps[i]);
		pb_remove_instance(ctx, reg, pb_str_from("i0"));
		CU_ASSERT_EQUAL(pb_count_instances(reg), 2);
		pb_advance_clock(&clk, 2200 * PB_MSEC);
		pb_expire_instances(ctx, reg);
		CU_ASSERT_EQUAL(pb_count_instances(reg), 1);
		pb_drop_registry(ctx, reg);
	}
}

/* Guards against removals deferred after a single failed request. */
static void
test_short_gap(void)
{
	struct pb_registry *reg = new_test_registry(2);
	struct pb_list_gap gap = {1900 * PB_MSEC, true};

	pb_note_list_gap(ctx, reg, &gap);
	pb_remove_instance(ctx, reg, pb_str_from("i0"));
	CU_ASSERT_EQUAL(pb_count_instances(reg), 1);
	pb_drop_registry(ctx, reg);
}

/* Guards against load that is kept for the next process of an instance. */
static void
test_restart(void)
{
	struct pb_registry *reg = new_test_registry(1);
	struct pb_instance *old =
	    pb_keep_instance(pb_find_instance(reg, pb_str_from("i0")));

	pb_note_load(ctx, old, 50);
	apply(reg, "i0", "a", false, 2);
	CU_ASSERT(old->gone);
	CU_ASSERT_EQUAL(pb_find_instance(reg, pb_str_from("i0"))->reported, 0);
	pb_drop_instance(old);
	pb_drop_registry(ctx, reg);
}

/* Applies the changes after since of one registry to another. */
static uint64_t
copy_changes(struct pb_registry *from, struct pb_registry *to, uint64_t since)
{
	bool full = pb_needs_full_list(from, pb_registry_epoch(from), since);
	struct pb_instance_change changes[600];
	size_t i, n = pb_read_changes(from, since, full, changes, 600);

	if (full)
		pb_begin_listing(to);
	for (i = 0; i < n; i++) {
		const struct pb_instance *inst = changes[i].instance;

		if (inst == NULL)
			pb_remove_instance(ctx, to, changes[i].id);
		else
			apply(to, inst->id, inst->domain, inst->draining,
			    inst->started_ms);
	}
	if (full)
		pb_end_listing(ctx, to);
	return pb_registry_sequence(from);
}

/* Guards against a follower whose list differs from the followed one. */
static void
test_changes(void)
{
	struct pb_registry *a = new_test_registry(0);
	struct pb_registry *b = new_test_registry(0);
	struct pb_random r = {42};
	uint64_t since = 0;
	char id[16];
	int i;

	for (i = 0; i < 4000; i++) {
		snprintf(id, sizeof(id), "i%d", (int)(pb_next_random(&r) % 60));
		if (pb_next_uniform(&r) < 0.5)
			pb_remove_instance(ctx, a, pb_str_from(id));
		else
			apply(a, id, "a", pb_next_uniform(&r) < 0.3,
			    (int64_t)(pb_next_random(&r) % 3) + 1);
		/* Long gaps let removals exceed the number remembered. */
		if (pb_next_uniform(&r) >= (i / 1000 % 2 == 0 ? 0.1 : 0.002))
			continue;
		since = copy_changes(a, b, since);
		CU_ASSERT_EQUAL(pb_count_instances(a), pb_count_instances(b));
	}
	CU_ASSERT(pb_needs_full_list(a, pb_registry_epoch(a) + 1, since));
	pb_drop_registry(ctx, a);
	pb_drop_registry(ctx, b);
}

/*
 * Guards against missing changes when a router that knows the list at a version
 * of the store begins to follow another one, and against sending it the whole
 * list without need.
 */
static void
test_versions(void)
{
	struct pb_registry *a = new_test_registry(0);
	struct pb_registry *b = new_test_registry(0);
	struct pb_random r = {7};
	uint64_t since = 0;
	int64_t version;
	char id[16];
	int i;

	CU_ASSERT_FALSE(pb_find_sequence(a, 5, &since));
	for (version = 1; version <= 400; version++) {
		for (i = 0; i < 3; i++) {
			snprintf(id, sizeof(id), "i%d",
			    (int)(pb_next_random(&r) % 40));
			if (pb_next_uniform(&r) < 0.4)
				pb_remove_instance(ctx, a, pb_str_from(id));
			else
				apply(a, id, "a", pb_next_uniform(&r) < 0.3, 1);
		}
		pb_note_list_version(a, version * 10);
		CU_ASSERT_EQUAL(pb_list_version(a), version * 10);
		if (pb_next_uniform(&r) > 0.1)
			continue;
		/* b knows the list at a version between two of a's. */
		if (!pb_find_sequence(a, pb_list_version(b) + 5, &since))
			since = 0;
		copy_changes(a, b, since);
		pb_note_list_version(b, version * 10);
		CU_ASSERT_EQUAL(pb_count_instances(a), pb_count_instances(b));
	}
	CU_ASSERT(pb_find_sequence(a, 400 * 10 + 3, &since));
	CU_ASSERT_EQUAL(since, pb_registry_sequence(a));
	CU_ASSERT_FALSE(pb_find_sequence(a, 10, &since));
	pb_drop_registry(ctx, a);
	pb_drop_registry(ctx, b);
}

/*
 * Guards against recording a version while the registry still lists an entry
 * that the store has removed: a router that continues from that version would
 * never learn of the removal.
 */
static void
test_version_with_deferred_removal(void)
{
	struct pb_registry *reg = new_test_registry(2);

	pb_note_list_version(reg, 10);
	pb_defer_removals(reg, pb_now(ctx) + 2 * PB_SEC);
	pb_remove_instance(ctx, reg, pb_str_from("i0"));
	pb_note_list_version(reg, 11);
	CU_ASSERT_EQUAL(pb_list_version(reg), 10);
	pb_advance_clock(&clk, 3 * PB_SEC);
	pb_expire_instances(ctx, reg);
	pb_note_list_version(reg, 12);
	CU_ASSERT_EQUAL(pb_list_version(reg), 12);
	pb_drop_registry(ctx, reg);
}

/* Guards against heartbeats that are passed on as changes. */
static void
test_heartbeats(void)
{
	struct pb_registry *reg = new_test_registry(5);
	uint64_t before = pb_registry_sequence(reg);

	apply(reg, "i0", "a", false, 1);
	CU_ASSERT_EQUAL(pb_registry_sequence(reg), before);
	apply(reg, "i0", "a", true, 1);
	CU_ASSERT_EQUAL(pb_registry_sequence(reg), before + 1);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against requests to an instance that has said that it is leaving,
 * whatever the list says, and against a mark that outlasts the incarnation.
 */
static void
test_own_leaving(void)
{
	struct pb_registry *reg = new_test_registry(3);
	struct pb_instance *inst = pb_find_instance(reg, pb_str_from("i1"));

	CU_ASSERT(count_choices(reg, "i1") > 0);
	CU_ASSERT(pb_note_leaving(ctx, reg, inst));
	CU_ASSERT_FALSE(pb_note_leaving(ctx, reg, inst));
	CU_ASSERT_EQUAL(count_choices(reg, "i1"), 0);
	CU_ASSERT_EQUAL(pb_count_instances(reg), 2);
	/* The entry is written again, then expires and returns. */
	apply(reg, "i1", "b", false, 1);
	CU_ASSERT_EQUAL(count_choices(reg, "i1"), 0);
	pb_remove_instance(ctx, reg, pb_str_from("i1"));
	apply(reg, "i1", "b", false, 1);
	CU_ASSERT_EQUAL(count_choices(reg, "i1"), 0);
	/* Another incarnation under the same id. */
	apply(reg, "i1", "b", false, 2);
	CU_ASSERT(count_choices(reg, "i1") > 0);
	/* An instance says so while its entry expires in an outage. */
	pb_defer_removals(reg, pb_now(ctx) + PB_SEC);
	pb_remove_instance(ctx, reg, pb_str_from("i1"));
	inst = pb_find_instance(reg, pb_str_from("i1"));
	CU_ASSERT(pb_note_leaving(ctx, reg, inst));
	pb_advance_clock(&clk, 2 * PB_SEC);
	pb_expire_instances(ctx, reg);
	CU_ASSERT_PTR_NULL(pb_find_instance(reg, pb_str_from("i1")));
	apply(reg, "i1", "b", false, 2);
	CU_ASSERT_EQUAL(count_choices(reg, "i1"), 0);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against requests that are refused while an instance can still run
 * them, and against ones sent to an instance that is about to end.
 */
static void
test_all_leaving(void)
{
	struct pb_registry *reg = new_test_registry(2);
	struct pb_placement p = {.service = pb_str_from("s"),
	    .domain = pb_str_from("a"),
	    .rnd = &rnd};
	struct pb_placement_facts facts;
	int i;

	for (i = 0; i < 2; i++) {
		const char *id = i == 0 ? "i0" : "i1";

		pb_note_leaving(
		    ctx, reg, pb_find_instance(reg, pb_str_from(id)));
	}
	CU_ASSERT_PTR_NOT_NULL(pb_choose_instance(ctx, reg, &p, &facts));
	pb_advance_clock(&clk, PB_SEC);
	CU_ASSERT_PTR_NULL(pb_choose_instance(ctx, reg, &p, &facts));
	CU_ASSERT_FALSE(facts.full);
	CU_ASSERT_EQUAL(facts.reopens_us, 0);
	pb_drop_registry(ctx, reg);
}

/* Guards against requests within a pause, and against a burst at its end. */
static void
test_pause(void)
{
	struct pb_registry *reg = new_test_registry(3);
	struct pb_instance *inst = pb_find_instance(reg, pb_str_from("i1"));
	int i;

	CU_ASSERT_EQUAL(pb_note_pause(ctx, reg, inst, 3 * PB_SEC), 3 * PB_SEC);
	/* A shorter time in a later answer does not end it sooner. */
	CU_ASSERT_EQUAL(pb_note_pause(ctx, reg, inst, PB_SEC), 3 * PB_SEC);
	/* The entry expires and returns. */
	pb_remove_instance(ctx, reg, pb_str_from("i1"));
	apply(reg, "i1", "b", false, 1);
	inst = pb_find_instance(reg, pb_str_from("i1"));
	CU_ASSERT_EQUAL(count_choices(reg, "i1"), 0);
	CU_ASSERT_EQUAL(pb_count_closed(ctx, reg).paused, 1);
	pb_advance_clock(&clk, 3 * PB_SEC - PB_MSEC);
	CU_ASSERT_EQUAL(count_choices(reg, "i1"), 0);
	pb_advance_clock(&clk, 2 * PB_MSEC);
	CU_ASSERT(count_choices(reg, "i1") > 0);
	/* One request at first, more with time. */
	pb_note_dispatch(inst, false);
	CU_ASSERT_EQUAL(count_choices(reg, "i1"), 0);
	pb_advance_clock(&clk, PB_SEC);
	CU_ASSERT(count_choices(reg, "i1") > 0);
	for (i = 0; i < 4; i++)
		pb_note_dispatch(inst, false);
	CU_ASSERT_EQUAL(count_choices(reg, "i1"), 0);
	CU_ASSERT(pb_note_pause(ctx, reg, inst, INT64_MAX / 4) == 600 * PB_SEC);
	/* Another incarnation begins without it. */
	apply(reg, "i1", "b", false, 2);
	CU_ASSERT_EQUAL(pb_count_closed(ctx, reg).paused, 0);
	CU_ASSERT(count_choices(reg, "i1") > 0);
	pb_drop_registry(ctx, reg);
}

/*
 * Guards against a wrong Retry-After, and against requests that wait in vain,
 * when all instances have asked for a pause.
 */
static void
test_all_paused(void)
{
	struct pb_registry *reg = new_test_registry(2);
	struct pb_instance *inst = pb_find_instance(reg, pb_str_from("i0"));
	struct pb_instance *other = pb_find_instance(reg, pb_str_from("i1"));
	struct pb_placement p = {.service = pb_str_from("s"),
	    .domain = pb_str_from("a"),
	    .rnd = &rnd};
	struct pb_placement_facts facts;

	pb_note_pause(ctx, reg, inst, 5 * PB_SEC);
	CU_ASSERT_EQUAL(pb_reopening_left(ctx, reg, pb_str_from("s")), 0);
	pb_note_pause(ctx, reg, other, 2 * PB_SEC);
	CU_ASSERT_EQUAL(
	    pb_reopening_left(ctx, reg, pb_str_from("s")), 2 * PB_SEC);
	CU_ASSERT_PTR_NULL(pb_choose_instance(ctx, reg, &p, &facts));
	CU_ASSERT(facts.full);
	CU_ASSERT_EQUAL(facts.reopens_us, pb_now(ctx) + 2 * PB_SEC);
	/* A request that was sent to the first one waits for the other. */
	p.excluded = &other;
	p.excluded_count = 1;
	CU_ASSERT_PTR_NULL(pb_choose_instance(ctx, reg, &p, &facts));
	CU_ASSERT_EQUAL(facts.reopens_us, pb_now(ctx) + 5 * PB_SEC);
	pb_advance_clock(&clk, 2 * PB_SEC);
	p.excluded_count = 0;
	CU_ASSERT_PTR_EQUAL(pb_choose_instance(ctx, reg, &p, &facts), other);
	pb_drop_registry(ctx, reg);
}

/* Guards against an id that adds header fields to forwarded requests. */
static void
test_unprintable_id(void)
{
	static const struct pb_str bad[] = {
	    {"i\r\nX-Y: 1", 9}, {"a b", 3}, {"a\0b", 3}, {"\303\244", 2}};
	struct pb_registry *reg = new_test_registry(0);
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct pb_instance_entry e = {.id = bad[i],
		    .service = pb_str_from("s"),
		    .address = pb_str_from("127.0.0.1:80"),
		    .domain = pb_str_from("a"),
		    .slots = 8};

		CU_ASSERT_NOT_EQUAL(pb_apply_instance(ctx, reg, &e), PB_OK);
	}
	CU_ASSERT_EQUAL(pb_count_instances(reg), 0);
	pb_drop_registry(ctx, reg);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"unprintable id", test_unprintable_id},
	    {"own leaving", test_own_leaving},
	    {"all leaving", test_all_leaving}, {"pause", test_pause},
	    {"all paused", test_all_paused},
	    {"one instance per prefix", test_one_instance_per_prefix},
	    {"hot prefix", test_hot_prefix},
	    {"reported load", test_reported_load},
	    {"prefix holder", test_prefix_holder},
	    {"shared load", test_shared_load}, {"streams", test_streams},
	    {"failing instance", test_failing_instance},
	    {"second attempt", test_second_attempt}, {"trial", test_trial},
	    {"share on trial", test_share_on_trial},
	    {"shared outcomes", test_shared_outcomes},
	    {"outcomes over two levels", test_outcomes_over_two_levels},
	    {"leaving", test_leaving},
	    {"expired entries", test_expired_entries},
	    {"gap without outage", test_gap_without_outage},
	    {"gap with outage", test_gap_with_outage},
	    {"short gap", test_short_gap}, {"restart", test_restart},
	    {"changes", test_changes}, {"heartbeats", test_heartbeats},
	    {"versions", test_versions},
	    {"version with deferred removal",
		test_version_with_deferred_removal},
	    CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	pb_advance_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("registry", tests);
	pb_drop_context(ctx);
	return rc;
}
