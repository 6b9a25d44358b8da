#include "poplarbeam/lru.h"
#include "poplarbeam/placement.h"

#include "run-suite.h"

#define UPSTREAMS 12
#define CHATS 4000

static struct pb_manual_clock clk;
static struct pb_context *ctx;
static const struct pb_placement_policy policy = {
    1.25, 1.20, 100, 10 * PB_SEC, 3 * PB_SEC, 65536};

static void
set(struct pb_placement *pl, uint64_t id, uint64_t incarnation, double throttle,
    enum pb_upstream_state state)
{
	struct pb_upstream_info info = {
	    id, incarnation, 10000, throttle, state};

	CU_ASSERT_EQUAL(pb_set_upstream(ctx, pl, &info), PB_OK);
}

/* Returns a placement with upstreams 1 to n whose cautious mode is over. */
static struct pb_placement *
new_cell(int n)
{
	struct pb_placement *pl = pb_new_placement(ctx, &policy);
	int i;

	for (i = 1; i <= n; i++)
		set(pl, (uint64_t)i, 1, 1, PB_UP_LIVE);
	pb_advance_clock(&clk, policy.takeover_us);
	return pl;
}

/* Places and charges work; returns the upstream, or 0 if none is eligible. */
static uint64_t
place(struct pb_placement *pl, uint64_t chat, uint32_t work)
{
	int slot = pb_choose_upstream(ctx, pl, chat, work, 0, 0);

	if (slot < 0)
		return 0;
	pb_charge_upstream(ctx, pl, slot, chat, work);
	return pb_slot_upstream(pl, slot);
}

/*
 * Guards against upstreams loaded over the bound. Hashing alone spreads chats
 * unevenly and would exceed it.
 */
static void
test_bound(void)
{
	struct pb_placement *pl = new_cell(UPSTREAMS);
	struct pb_placement_stats st;
	struct pb_random rnd = {1};
	uint64_t up;
	int i;

	for (i = 0; i < CHATS; i++) {
		up = place(pl, pb_next_random(&rnd) % 20 + 1, 10 + i % 50);
		pb_read_placement_stats(ctx, pl, &st);
		CU_ASSERT(st.load < 2000 || up == 0 || st.max_over_mean < 1.25);
	}
	CU_ASSERT(st.load > 0.9 * UPSTREAMS * 10000);
	pb_drop_placement(ctx, pl);
}

/* Guards against a throttled upstream that gets as much work as the others. */
static void
test_throttle(void)
{
	struct pb_placement *pl = new_cell(4);
	double on[5] = {0};
	uint64_t up;
	uint64_t i;

	set(pl, 4, 1, 0.25, PB_UP_LIVE);
	for (i = 1; i < 2000; i++) {
		up = place(pl, i, 10);
		on[up] += up != 0 ? 10 : 0;
	}
	CU_ASSERT(on[1] > 4000 && on[2] > 4000 && on[3] > 4000);
	CU_ASSERT(on[4] <= 1.2 * (on[1] + on[2] + on[3] + on[4]) / 13 + 100);
	CU_ASSERT(on[4] > 1000);
	pb_drop_placement(ctx, pl);
}

/*
 * Guards against chats that move to another upstream although their own one can
 * still take them.
 */
static void
test_moves(void)
{
	struct pb_placement *pl = new_cell(UPSTREAMS);
	static uint64_t home[CHATS], again;
	int i, moved = 0;

	for (i = 0; i < CHATS; i++)
		home[i] = place(pl, (uint64_t)i + 1, 1);
	set(pl, 99, 1, 1, PB_UP_LIVE);
	set(pl, 3, 1, 1, PB_UP_LEAVING);
	for (i = 0; i < CHATS; i++)
		pb_release_upstream(ctx, pl, home[i], 1, 1);
	for (i = 0; i < CHATS; i++) {
		again = place(pl, (uint64_t)i + 1, 1);
		CU_ASSERT(again != 3 && again != 0);
		if (again != home[i] && home[i] != 3)
			moved++;
		pb_release_upstream(ctx, pl, again, 1, 1);
	}
	CU_ASSERT_EQUAL(moved, 0);
	pb_drop_placement(ctx, pl);
}

/*
 * Guards against a chat that moved because its upstream was overloaded and that
 * moves back afterwards, which would lose the cache on the new upstream.
 */
static void
test_displaced(void)
{
	struct pb_placement *pl = new_cell(3);
	uint64_t home = place(pl, 7, 10), moved;
	int i;

	for (i = 0; i < 30; i++)
		pb_charge_upstream(ctx, pl, pb_find_slot(pl, home), 0, 10);
	moved = place(pl, 7, 10);
	CU_ASSERT(moved != home && moved != 0);
	for (i = 0; i < 30; i++)
		pb_release_upstream(ctx, pl, home, 1, 10);
	CU_ASSERT_EQUAL(place(pl, 7, 10), moved);
	pb_drop_placement(ctx, pl);
}

/* Guards against an upstream that gets a full share of new chats at once. */
static void
test_ramp(void)
{
	struct pb_placement *pl = new_cell(3);
	int i, step, to_new[2] = {0, 0};

	set(pl, 9, 1, 1, PB_UP_LIVE);
	for (step = 0; step < 2; step++) {
		pb_advance_clock(&clk, step == 0 ? PB_SEC : 10 * PB_SEC);
		for (i = 1; i <= CHATS; i++) {
			uint64_t chat = (uint64_t)i + (uint64_t)step * CHATS;
			uint64_t up = place(pl, chat, 1);

			pb_release_upstream(ctx, pl, up, 1, 1);
			to_new[step] += up == 9;
		}
	}
	/* The new upstream has weight 0.1, then 1; the others have 3 in all. */
	CU_ASSERT(to_new[0] > 80 && to_new[0] < 190);
	CU_ASSERT(to_new[1] > 900 && to_new[1] < 1100);
	pb_drop_placement(ctx, pl);
}

/* Places one chat whose work ends at once; returns the upstream. */
static uint64_t
run_chat(struct pb_placement *pl, uint64_t chat)
{
	uint64_t up = place(pl, chat, 1);

	pb_release_upstream(
	    ctx, pl, up, pb_slot_incarnation(pl, pb_find_slot(pl, up)), 1);
	return up;
}

/*
 * Guards against an upstream that comes back and stays without work for
 * seconds, because its weight is near 0 at first; and against more than one
 * chat at once. Load: new chats, none of the two other upstreams at its bound.
 */
static void
test_first_work(void)
{
	struct pb_placement *pl = new_cell(3);
	uint64_t chat = 1, home = run_chat(pl, chat), back = home % 3 + 1;
	uint64_t cycle;
	int i, on_back;

	for (cycle = 2; cycle < 20; cycle++) {
		set(pl, back, cycle, 1, PB_UP_EJECTED);
		pb_advance_clock(&clk, 4 * PB_SEC);
		set(pl, back, cycle, 1, PB_UP_LIVE);
		/* A chat with a location stays there. */
		CU_ASSERT_EQUAL(run_chat(pl, 1), home);
		CU_ASSERT_EQUAL(run_chat(pl, ++chat), back);
		for (i = 0, on_back = 0; i < 20; i++)
			on_back += run_chat(pl, ++chat) == back;
		CU_ASSERT_EQUAL(on_back, 0);
	}
	pb_drop_placement(ctx, pl);
}

/*
 * Guards against a new owner that treats upstreams as idle while they still run
 * work of the previous owner, and against that work counting after it ended.
 */
static void
test_takeover(void)
{
	struct pb_placement *pl = pb_new_placement(ctx, &policy);
	uint64_t i, up, on1 = 0;

	for (i = 1; i <= 4; i++) {
		set(pl, i, 1, 1, PB_UP_LIVE);
		if (i < 4)
			pb_report_load(
			    ctx, pl, i, i == 1 ? 4000 : 2000, 100 * PB_MSEC);
	}
	/*
	 * Upstream 1 reported a high load and upstream 4 none, so that the mean
	 * is assumed for upstream 4.
	 */
	for (i = 1; i < 400; i++) {
		up = place(pl, 0, 10);
		on1 += up == 1 ? 10 : 0;
		CU_ASSERT(up != 4 || i > 100);
	}
	CU_ASSERT_EQUAL(on1, 0);
	pb_advance_clock(&clk, policy.takeover_us);
	CU_ASSERT(place(pl, 0, 10) != 1);
	/* The previous owner's work ended; own work must not count twice. */
	for (i = 1; i <= 4; i++)
		pb_report_load(ctx, pl, i, i == 1 ? 0 : 1400, 0);
	CU_ASSERT_EQUAL(place(pl, 0, 10), 1);
	pb_drop_placement(ctx, pl);
}

/*
 * Guards against resumed work that counts twice: once as work of the new owner
 * and once in load reports made before the new owner resumed it.
 */
static void
test_resumed_work(void)
{
	struct pb_placement *pl = pb_new_placement(ctx, &policy);
	struct pb_placement_stats st;

	set(pl, 1, 1, 1, PB_UP_LIVE);
	pb_report_load(ctx, pl, 1, 2000, 500 * PB_MSEC);
	pb_charge_resumed_work(ctx, pl, 0, 0, 1500);
	pb_read_placement_stats(ctx, pl, &st);
	CU_ASSERT_EQUAL(st.load, 2000);
	pb_advance_clock(&clk, 200 * PB_MSEC);
	pb_report_load(ctx, pl, 1, 2100, 300 * PB_MSEC);
	pb_read_placement_stats(ctx, pl, &st);
	CU_ASSERT_EQUAL(st.load, 2100);
	pb_release_upstream(ctx, pl, 1, 1, 1500);
	pb_report_load(ctx, pl, 1, 600, 0);
	pb_read_placement_stats(ctx, pl, &st);
	CU_ASSERT_EQUAL(st.load, 600);
	pb_drop_placement(ctx, pl);
}

/*
 * Guards against new chats that use the load range reserved for chats that
 * return to their cache.
 */
static void
test_room_for_returning(void)
{
	struct pb_placement *pl = new_cell(3);
	struct pb_placement_stats st;
	uint64_t home = place(pl, 1, 10), i;

	for (i = 0; i < 300; i++)
		place(pl, 1000 + i, 10);
	pb_read_placement_stats(ctx, pl, &st);
	CU_ASSERT(st.max_over_mean <= 1.1);
	for (i = 0; i < 10; i++)
		CU_ASSERT_EQUAL(place(pl, 1, 10), home);
	pb_drop_placement(ctx, pl);
}

/*
 * Guards against work of an old incarnation that counts for the new one, and
 * against its release lowering the load of the new one.
 */
static void
test_incarnation(void)
{
	struct pb_placement *pl = new_cell(2);
	struct pb_placement_stats st;
	uint64_t up = place(pl, 0, 50);

	set(pl, up, 2, 1, PB_UP_LIVE);
	set(pl, up, 1, 1, PB_UP_LEAVING);
	pb_read_placement_stats(ctx, pl, &st);
	CU_ASSERT_EQUAL(st.upstreams, 2);
	CU_ASSERT_EQUAL(st.load, 0);
	pb_release_upstream(ctx, pl, up, 1, 50);
	CU_ASSERT_EQUAL(place(pl, 0, 50), up);
	pb_read_placement_stats(ctx, pl, &st);
	CU_ASSERT_EQUAL(st.load, 50);
	pb_drop_placement(ctx, pl);
}

/* Guards against slots that are not reused after their upstream is gone. */
static void
test_slots(void)
{
	struct pb_placement *pl = pb_new_placement(ctx, &policy);
	struct pb_upstream_info bad = {5000, 1, -1, 1, PB_UP_LIVE};
	uint64_t i;

	for (i = 1; i < 1000; i++) {
		set(pl, i, 1, 1, PB_UP_LIVE);
		CU_ASSERT_NOT_EQUAL(place(pl, i, 10), 0);
		if (i > 40)
			set(pl, i - 40, 1, 1, PB_UP_GONE);
	}
	CU_ASSERT_EQUAL(pb_set_upstream(ctx, pl, &bad), PB_EINVAL);
	for (i = 1000; i < 1024; i++)
		set(pl, i, 1, 1, PB_UP_LIVE);
	bad.capacity = 1;
	CU_ASSERT_EQUAL(pb_set_upstream(ctx, pl, &bad), PB_EBUSY);
	pb_drop_placement(ctx, pl);
}

/*
 * Guards against a location table that grows over its size, or that evicts
 * recently used entries.
 */
static void
test_lru(void)
{
	struct pb_lru *lru = pb_new_lru(ctx, 100);
	uint64_t i, *v;

	for (i = 1; i <= 1000; i++) {
		pb_set_lru(lru, i, i * 2);
		v = pb_find_lru(lru, 1);
		CU_ASSERT(v != NULL && *v == 2);
		if (i % 7 == 0)
			pb_erase_lru(lru, i);
		CU_ASSERT(pb_lru_count(lru) <= 100);
	}
	CU_ASSERT_EQUAL(pb_lru_count(lru), 100);
	CU_ASSERT_PTR_NOT_NULL(pb_find_lru(lru, 1000));
	CU_ASSERT_PTR_NULL(pb_find_lru(lru, 800));
	pb_drop_lru(ctx, lru);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"bound", test_bound},
	    {"throttle", test_throttle}, {"moves", test_moves},
	    {"displaced", test_displaced}, {"ramp", test_ramp},
	    {"first work", test_first_work}, {"takeover", test_takeover},
	    {"adopted", test_resumed_work},
	    {"room for returning", test_room_for_returning},
	    {"incarnation", test_incarnation}, {"slots", test_slots},
	    {"location table", test_lru}, CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	pb_advance_clock(&clk, 100 * PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("placement", tests);
	pb_drop_context(ctx);
	return rc;
}
