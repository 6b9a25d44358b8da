#include "poplarbeam/order.h"

#include "poplarbeam/base.h"
#include "run-suite.h"

#define DOMAIN_MAX 600 /* routers */
#define SECOND_MAX 8 /* followers of one router up to SECOND_SIZE routers */
#define SECOND_SIZE 73

/*
 * Guards against one router that serves its whole domain, and against data that
 * passes through more than two routers: each adds to its age. For domains of 1
 * to 600 routers.
 */
static void
test_levels(void)
{
	size_t count, i;

	for (count = 1; count <= DOMAIN_MAX; count++) {
		size_t followers[DOMAIN_MAX] = {0};
		int hops[DOMAIN_MAX] = {0};

		for (i = 1; i < count; i++) {
			size_t parent = pb_order_parent(i, count);

			CU_ASSERT_FATAL(parent < i);
			followers[parent]++;
			hops[i] = hops[parent] + 1;
			CU_ASSERT(hops[i] <= pb_order_levels(count));
			if (count > 32 && count <= SECOND_SIZE)
				CU_ASSERT(followers[parent] <= SECOND_MAX);
			CU_ASSERT(followers[parent] <= pb_order_width(count));
		}
	}
	CU_ASSERT(pb_order_width(300) < 20);
	CU_ASSERT_EQUAL(pb_order_levels(DOMAIN_MAX), 2);
}

/* Guards against a change for domains of up to 32 routers. */
static void
test_small_domain(void)
{
	size_t count, i;

	for (count = 1; count <= 32; count++) {
		CU_ASSERT_EQUAL(pb_order_levels(count), 1);
		for (i = 0; i < count; i++)
			CU_ASSERT_EQUAL(pb_order_parent(i, count), 0);
	}
}

/*
 * Guards against chains that grow with each router that joins as the first one,
 * and against routers that change their peer without need.
 */
static void
test_too_far(void)
{
	CU_ASSERT_FALSE(pb_is_too_far(1, 20));
	CU_ASSERT_FALSE(pb_is_too_far(2, 20));
	CU_ASSERT_TRUE(pb_is_too_far(3, 20));
	CU_ASSERT_FALSE(pb_is_too_far(3, 60));
	CU_ASSERT_TRUE(pb_is_too_far(4, 60));
}

static enum pb_start_step
decide(int64_t elapsed_us, int64_t silent_us, bool starting, bool precedes,
    bool has_source, bool awaits_rows)
{
	struct pb_start_facts facts = {elapsed_us, silent_us, starting,
	    precedes, has_source, awaits_rows, true};

	return pb_decide_start(&facts);
}

/*
 * Guards against routers that read the whole list from the store while the
 * router that they follow is reading it, and against a wait without end.
 */
static void
test_starting_peer(void)
{
	CU_ASSERT_EQUAL(
	    decide(2 * PB_SEC, 0, true, true, false, false), PB_START_WAIT);
	CU_ASSERT_EQUAL(decide(3 * PB_SEC, 0, true, true, true, false),
	    PB_START_READ_STORE);
	/* The peer may be the first one only in this router's list. */
	CU_ASSERT_EQUAL(
	    decide(0, 0, true, true, true, true), PB_START_AWAIT_ROWS);
	CU_ASSERT_EQUAL(
	    decide(0, 0, true, false, false, true), PB_START_AWAIT_ROWS);
}

/*
 * Guards against callers that wait for seconds after a loss of all routers,
 * because each router waits for another one that reads a long list.
 */
static void
test_restart(void)
{
	struct pb_start_facts facts = {.peer_is_starting = true,
	    .peer_precedes = true,
	    .peer_has_source = true};

	facts.elapsed_us = 300 * PB_MSEC;
	CU_ASSERT_EQUAL(pb_decide_start(&facts), PB_START_WAIT);
	facts.elapsed_us = 400 * PB_MSEC;
	CU_ASSERT_EQUAL(pb_decide_start(&facts), PB_START_READ_STORE);
}

/* Guards against two routers that wait for each other. */
static void
test_later_peer(void)
{
	CU_ASSERT_EQUAL(
	    decide(0, 0, true, false, false, false), PB_START_READ_STORE);
	CU_ASSERT_EQUAL(decide(0, 0, true, false, true, false), PB_START_WAIT);
}

/*
 * Guards against a start that a router that is gone sends to the store, and
 * against one that many of them delay.
 */
static void
test_silent_peers(void)
{
	CU_ASSERT_EQUAL(
	    decide(PB_SEC, 0, false, true, false, false), PB_START_NEXT_PEER);
	CU_ASSERT_EQUAL(
	    decide(PB_SEC, 900 * PB_MSEC, false, true, false, false),
	    PB_START_NEXT_PEER);
	CU_ASSERT_EQUAL(decide(PB_SEC, PB_SEC, false, true, false, false),
	    PB_START_READ_STORE);
	/* The first router has nobody to wait for. */
	CU_ASSERT_EQUAL(
	    decide(PB_SEC, 200 * PB_MSEC, false, false, false, false),
	    PB_START_READ_STORE);
}

int
main(void)
{
	CU_TestInfo tests[] = {{"levels", test_levels},
	    {"small domain", test_small_domain}, {"too far", test_too_far},
	    {"starting peer", test_starting_peer}, {"restart", test_restart},
	    {"later peer", test_later_peer},
	    {"silent peers", test_silent_peers}, CU_TEST_INFO_NULL};

	return run_suite("order", tests);
}
