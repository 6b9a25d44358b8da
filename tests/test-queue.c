#include "poplarbeam/queue.h"

#include "run-suite.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 4096
#define RANKS 4

static struct pb_manual_clock clk;
static struct pb_context *ctx;
static struct pb_queue *queue;
static struct pb_queue_item items[ITEMS_MAX];
static struct pb_random rnd;

/* Mock of the upstreams: its settings and the calls that it recorded. */
static struct {
	int room; /* number of items that can still start */
	uint64_t skip_id; /* item that returns PB_TRY_SKIPPED, 0 for none */
	uint64_t order[ITEMS_MAX];
	double headroom;
	size_t offered;
	size_t placed;
} mock;

static struct pb_queue_policy
make_policy(double f0, double f1, double f2, double f3)
{
	struct pb_queue_policy p = {.rank_count = RANKS,
	    .max_items = 4000,
	    .max_bytes = 1000000,
	    .rank = {{.floor = f0}, {.floor = f1, .headroom = 0.02},
		{.floor = f2, .headroom = 0.03},
		{.floor = f3, .headroom = 0.04}}};

	return p;
}

static void
start(struct pb_queue_policy policy)
{
	pb_drop_queue(ctx, queue);
	queue = pb_new_queue(ctx, &policy);
	CU_ASSERT_PTR_NOT_NULL_FATAL(queue);
	memset(&mock, 0, sizeof(mock));
	memset(items, 0, sizeof(items));
	rnd.state = 42;
}

static enum pb_try_result
try_item(void *arg, struct pb_queue_item *item, double headroom)
{
	(void)arg;
	mock.headroom = headroom;
	mock.offered++;
	if (item->id == mock.skip_id && item->id != 0)
		return PB_TRY_SKIPPED;
	if (mock.room == 0)
		return PB_TRY_NO_CAPACITY;
	mock.room--;
	if (mock.placed < ITEMS_MAX)
		mock.order[mock.placed] = item->id;
	mock.placed++;
	return PB_TRY_PLACED;
}

static size_t
serve(int room)
{
	mock.room = room;
	return pb_serve_queue(ctx, queue, try_item, NULL);
}

static int
push(uint64_t id, int rank, uint64_t account, uint32_t work)
{
	struct pb_queue_item *item = &items[id], *displaced;

	*item = (struct pb_queue_item){.id = id,
	    .rank = rank,
	    .account = account,
	    .weight = 1,
	    .work = work,
	    .bytes = 10,
	    .since_us = pb_now(ctx),
	    .expire_us = INT64_MAX / 2};
	return pb_push_queue(ctx, queue, item, &displaced);
}

static uint32_t
random_work(void)
{
	return 1 + (uint32_t)(pb_next_random(&rnd) % 1000);
}

/*
 * Guards against a lower rank served before an urgent one, and against
 * reordering within an account.
 */
static void
test_rank_order(void)
{
	const uint64_t expected[] = {4, 5, 2, 3, 1};
	size_t i;

	start(make_policy(0, 0, 0, 0));
	push(1, 3, 7, 10);
	push(2, 1, 7, 900);
	push(3, 1, 7, 10);
	push(4, 0, 7, 500);
	push(5, 0, 7, 10);
	CU_ASSERT_EQUAL(serve(10), 5);
	for (i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(mock.order[i], expected[i]);
}

/*
 * Guards against small work of a low rank that takes the capacity that a large
 * urgent item waits for.
 */
static void
test_no_capacity_ends_pass(void)
{
	start(make_policy(0, 0, 0, 0));
	push(1, 0, 7, 5000);
	push(2, 0, 8, 1);
	push(3, 3, 9, 1);
	CU_ASSERT_EQUAL(serve(0), 0);
	CU_ASSERT_EQUAL(mock.offered, 1);
	CU_ASSERT_EQUAL(serve(1), 1);
	CU_ASSERT_EQUAL(mock.order[0], 1);
}

/*
 * Guards against an item that waits for a particular upstream and thereby
 * blocks all other accounts.
 */
static void
test_skipped_account(void)
{
	start(make_policy(0, 0, 0, 0));
	push(1, 0, 7, 10);
	push(2, 0, 7, 10);
	push(3, 0, 8, 10);
	push(4, 2, 7, 10);
	mock.skip_id = 1;
	CU_ASSERT_EQUAL(serve(10), 2);
	CU_ASSERT_EQUAL(mock.order[0], 3);
	CU_ASSERT_EQUAL(mock.order[1], 4);
	mock.skip_id = 0;
	CU_ASSERT_EQUAL(serve(10), 2);
	CU_ASSERT_EQUAL(mock.order[2], 1);
}

/* Keeps requests waiting in every rank and serves n items one by one. */
static void
flood(int n, uint32_t largest)
{
	size_t next = 1, i;
	int rank;

	for (rank = 0; rank < RANKS; rank++)
		for (i = 0; i < 20; i++)
			push(next++, rank, i % 5, 1 + random_work() % largest);
	while (n-- > 0) {
		mock.placed = 0;
		serve(1);
		next = mock.order[0];
		push(next, items[next].rank, items[next].account,
		    1 + random_work() % largest);
	}
}

static double
served_share(int rank)
{
	struct pb_queue_stats st;
	double sum = 0;
	int i;

	pb_read_queue_stats(queue, &st);
	for (i = 0; i < RANKS; i++)
		sum += (double)st.served_work_rank[i];
	return (double)st.served_work_rank[rank] / sum;
}

/*
 * Guards against ranks that get less than their floor, or much more, while the
 * most urgent rank is flooded, also when their items are the largest.
 */
static void
test_floors_in_flood(void)
{
	const double floors[] = {0.3, 0.2, 0.1, 0.05};
	int i;

	start(make_policy(floors[0], floors[1], floors[2], floors[3]));
	flood(50000, 1000);
	for (i = 1; i < RANKS; i++) {
		CU_ASSERT(served_share(i) > floors[i] * 0.98);
		CU_ASSERT(served_share(i) < floors[i] * 1.02);
	}
}

/*
 * Guards against a rank that is due but cannot start because of its own
 * headroom, and against one that uses the headroom of a rank without waiting
 * items.
 */
static void
test_due_headroom(void)
{
	int i;

	start(make_policy(0, 0, 0, 0.1));
	push(1, 3, 7, 100);
	push(2, 1, 7, 100);
	push(3, 1, 7, 100);
	serve(0);
	CU_ASSERT_EQUAL(mock.headroom, 0.02);
	for (i = 0; i < 10; i++)
		pb_charge_queue(ctx, queue, 0, 9, 1, 100);
	serve(0);
	CU_ASSERT_EQUAL(mock.headroom, 0.02);
	CU_ASSERT_EQUAL(serve(1), 1);
	CU_ASSERT_EQUAL(mock.order[0], 1);
	push(1, 3, 7, 100);
	for (i = 0; i < 20; i++)
		pb_charge_queue(ctx, queue, 0, 9, 1, 100);
	serve(0);
	CU_ASSERT_EQUAL(mock.headroom, 0);
}

/*
 * Guards against accounts whose share depends on the number or size of their
 * requests instead of their weights.
 */
static void
test_account_fairness(void)
{
	double got[8] = {0}, sum = 0, squares = 0, x;
	size_t i, n;

	start(make_policy(0, 0, 0, 0));
	for (i = 1; i <= 8 * 30; i++)
		push(i, 0, i % 8, 1 + random_work() % (100 << (i % 4)));
	for (n = 0; n < 40000; n++) {
		struct pb_queue_item *displaced;

		mock.placed = 0;
		serve(1);
		i = mock.order[0];
		got[items[i].account] += items[i].work;
		push(i, 0, items[i].account,
		    1 + random_work() % (100 << (i % 4)));
		pb_remove_queue(ctx, queue, &items[i]);
		items[i].weight = 1 + (double)(items[i].account % 3);
		pb_push_queue(ctx, queue, &items[i], &displaced);
	}
	for (i = 0; i < 8; i++) {
		x = got[i] / (double)(1 + i % 3);
		sum += x;
		squares += x * x;
	}
	CU_ASSERT(sum * sum / (8 * squares) >= 0.98);
}

/*
 * Guards against a request of a small account that waits behind the backlog of
 * large accounts, and against an account that exceeds its share by sending one
 * request at a time.
 */
static void
test_small_account(void)
{
	double single = 0, large = 0;
	size_t i, n;

	start(make_policy(0, 0, 0, 0));
	for (i = 1; i <= 200; i++)
		push(i, 0, i % 2, 100);
	serve(100);
	push(300, 0, 9, 100);
	serve(1);
	CU_ASSERT_EQUAL(mock.order[100], 300);
	for (n = 0; n < 6000; n++) {
		if (items[300].queue_account == NULL)
			push(300, 0, 9, 100);
		mock.placed = 0;
		serve(1);
		i = mock.order[0];
		if (i == 300)
			single += 100;
		else
			large += 50;
		if (i != 300)
			push(i, 0, items[i].account, 100);
	}
	CU_ASSERT(single < large * 1.02);
}

/*
 * Guards against a queue full of low rank work that refuses urgent work, and
 * against a flood of urgent work that displaces items within the floor of a
 * low rank.
 */
static void
test_displacement(void)
{
	struct pb_queue_policy p = make_policy(0, 0, 0, 0.2);
	struct pb_queue_item *displaced;
	struct pb_queue_stats st;
	uint64_t i;

	p.max_items = 100;
	start(p);
	for (i = 1; i <= 100; i++)
		CU_ASSERT_EQUAL(push(i, 3, i % 2, 10), PB_OK);
	CU_ASSERT_EQUAL(push(101, 3, 1, 10), PB_EBUSY);
	CU_ASSERT_EQUAL(push(102, 0, 1, 10), PB_OK);
	for (i = 200; i < 400; i++)
		push(i, 0, 1, 10);
	pb_read_queue_stats(queue, &st);
	CU_ASSERT_EQUAL(st.items, 100);
	CU_ASSERT_EQUAL(st.items_rank[3], 20);
	CU_ASSERT_EQUAL(st.displaced, 80);
	pb_remove_queue(ctx, queue, &items[1]);
	push(401, 0, 1, 10);
	items[1].since_us = 0;
	CU_ASSERT_EQUAL(
	    pb_push_queue(ctx, queue, &items[1], &displaced), PB_OK);
	CU_ASSERT_PTR_NOT_NULL(displaced);
	CU_ASSERT(displaced != NULL && displaced->rank == 0);
}

/* Guards against one account that fills the queue, by items or by bytes. */
static void
test_bounds(void)
{
	struct pb_queue_policy p = make_policy(0, 0, 0, 0);
	struct pb_queue_item *displaced;
	struct pb_queue_stats st;

	p.max_items = 10;
	p.max_items_account = 8;
	p.max_bytes = 95;
	start(p);
	for (uint64_t i = 1; i <= 8; i++)
		CU_ASSERT_EQUAL(push(i, 0, 1, 10), PB_OK);
	CU_ASSERT_EQUAL(push(9, 0, 1, 10), PB_EBUSY);
	CU_ASSERT_EQUAL(push(10, 0, 2, 10), PB_OK);
	items[11] = items[10];
	items[11].account = 3;
	CU_ASSERT_EQUAL(
	    pb_push_queue(ctx, queue, &items[11], &displaced), PB_OK);
	CU_ASSERT_PTR_EQUAL(displaced, &items[8]);
	pb_read_queue_stats(queue, &st);
	CU_ASSERT_EQUAL(st.bytes, 90);
	CU_ASSERT_EQUAL(st.refused, 1);
	p.rank[0].floor = 0.7;
	p.rank[1].floor = 0.7;
	CU_ASSERT_EQUAL(pb_set_queue_policy(ctx, queue, &p), PB_EINVAL);
}

static int64_t last_expired;
static int expired_in_order;

static void
check_expiry_order(void *arg, struct pb_queue_item *item)
{
	(void)arg;
	expired_in_order += item->expire_us >= last_expired;
	last_expired = item->expire_us;
}

/*
 * Guards against items that wait longer than their own limit or the limit of
 * their rank.
 */
static void
test_expiry(void)
{
	struct pb_queue_policy p = make_policy(0, 0, 0, 0);
	struct pb_queue_item *displaced;
	int i;

	p.rank[2].wait_limit_us = 500;
	start(p);
	CU_ASSERT_EQUAL(pb_next_expiry(queue), INT64_MAX);
	for (i = 1; i <= 300; i++) {
		items[i] = (struct pb_queue_item){.id = (uint64_t)i,
		    .rank = i % 3,
		    .account = (uint64_t)i % 7,
		    .work = 1,
		    .since_us = pb_now(ctx),
		    .expire_us = pb_now(ctx) + 1 +
			(int64_t)(pb_next_random(&rnd) % 1000)};
		pb_push_queue(ctx, queue, &items[i], &displaced);
		CU_ASSERT(items[i].rank != 2 ||
		    items[i].expire_us <= pb_now(ctx) + 500);
	}
	last_expired = 0;
	expired_in_order = 0;
	CU_ASSERT_EQUAL(
	    pb_expire_queue(ctx, queue, check_expiry_order, NULL), 0);
	pb_advance_clock(&clk, 1000);
	CU_ASSERT_EQUAL(
	    pb_expire_queue(ctx, queue, check_expiry_order, NULL), 300);
	CU_ASSERT_EQUAL(expired_in_order, 300);
}

/*
 * Simulates 10 ms of a service that completes 1000 work units per second, with
 * arrivals of 300 per second in rank 0. Each item of rank 1 that starts is
 * replaced by a new one.
 */
static void
tick_service(uint64_t *arrivals)
{
	pb_advance_clock(&clk, 10 * PB_MSEC);
	pb_complete_queue(ctx, queue, 10);
	if (++*arrivals % 10 < 3)
		push(ITEMS_MAX - 1 - *arrivals % 50, 0, 1, 10);
	mock.placed = 0;
	if (serve(1) == 1 && items[mock.order[0]].rank == 1)
		push(mock.order[0], 1, mock.order[0] % 3, 10);
	serve(0);
}

static void
fill_rank(int rank, size_t first, size_t count, uint64_t accounts)
{
	size_t i;

	for (i = first; i < first + count; i++)
		push(i, rank, i % accounts, 10);
}

/*
 * Guards against an estimated wait that is far from the actual one, for several
 * ranks and accounts and for a rank that gets only its floor.
 */
static void
test_expected_wait(void)
{
	const struct {
		int rank;
		uint64_t account;
		size_t others; /* number of waiting items in rank 1 */
	} cases[] = {{2, 0, 0}, {2, 99, 0}, {0, 99, 0}, {2, 0, 1500}};
	double expected, actual;
	uint64_t arrivals, n;
	size_t i;

	for (i = 0; i < 4; i++) {
		start(make_policy(0, 0, 0.2, 0));
		arrivals = 0;
		fill_rank(2, 1, 1500, 3);
		fill_rank(1, 2000, cases[i].others, 3);
		for (n = 0; n < 1500; n++)
			tick_service(&arrivals);
		items[3600] = (struct pb_queue_item){.rank = cases[i].rank,
		    .account = cases[i].account,
		    .work = 10};
		expected = (double)pb_estimate_wait(ctx, queue, &items[3600]);
		push(3600, cases[i].rank, cases[i].account, 10);
		actual = (double)pb_now(ctx);
		for (n = 0; n < 9000 && items[3600].queue_account != NULL; n++)
			tick_service(&arrivals);
		actual = (double)pb_now(ctx) - actual;
		CU_ASSERT(
		    fabs(expected - actual) <= 0.15 * actual + 100 * PB_MSEC);
	}
}

/*
 * Guards against refusals while nothing waits, and against a service rate that
 * is measured on upstreams that have only just been filled.
 */
static void
test_no_early_refusal(void)
{
	struct pb_queue_policy p = make_policy(0, 0, 0, 0);
	struct pb_queue_item *displaced;
	struct pb_queue_stats st;
	uint64_t n, arrivals = 0;

	start(p);
	for (n = 1; n <= 500; n++)
		push(n, 2, 1, 10);
	CU_ASSERT_EQUAL(serve(100), 100);
	pb_advance_clock(&clk, 10 * PB_SEC);
	for (n = 0; n < 30; n++)
		pb_complete_queue(ctx, queue, 10);
	CU_ASSERT_EQUAL(pb_estimate_wait(ctx, queue, &items[1]), 0);
	for (n = 0; n < 2000; n++)
		tick_service(&arrivals);
	pb_read_queue_stats(queue, &st);
	CU_ASSERT(st.items == 0 && st.work_per_sec > 0);
	items[1].since_us = items[1].expire_us = pb_now(ctx);
	CU_ASSERT_EQUAL(
	    pb_push_queue(ctx, queue, &items[1], &displaced), PB_OK);
	items[2].expire_us = pb_now(ctx) + 1;
	fill_rank(2, 3, 400, 1);
	serve(0);
	CU_ASSERT_EQUAL(
	    pb_push_queue(ctx, queue, &items[2], &displaced), PB_ETIMEDOUT);
}

/* Reference model of the contents of the queue. */
struct model {
	bool linked[ITEMS_MAX];
	uint64_t sequence[ITEMS_MAX];
	uint64_t next_sequence;
	uint32_t count;
	int faults;
};

static enum pb_try_result
check_offer(void *arg, struct pb_queue_item *item, double headroom)
{
	struct model *m = arg;
	size_t i;

	(void)headroom;
	m->faults += !m->linked[item->id];
	for (i = 0; i < ITEMS_MAX; i++) {
		if (!m->linked[i])
			continue;
		/* Floors are 0, so a more urgent item is served first. */
		m->faults += items[i].rank < item->rank;
		m->faults += items[i].rank == item->rank &&
		    items[i].account == item->account &&
		    m->sequence[i] < m->sequence[item->id];
	}
	if (pb_next_random(&rnd) % 3 != 0)
		return PB_TRY_NO_CAPACITY;
	m->linked[item->id] = false;
	m->count--;
	return PB_TRY_PLACED;
}

static void
model_unlink(void *arg, struct pb_queue_item *item)
{
	struct model *m = arg;

	m->faults += !m->linked[item->id];
	m->linked[item->id] = false;
	m->count--;
}

static void
random_push(struct model *m)
{
	size_t i = 1 + (size_t)(pb_next_random(&rnd) % 400);
	struct pb_queue_item *displaced;

	if (m->linked[i])
		return;
	items[i] = (struct pb_queue_item){.id = i,
	    .rank = (int)(pb_next_random(&rnd) % RANKS),
	    .account = pb_next_random(&rnd) % 9,
	    .weight = 1 + (double)(pb_next_random(&rnd) % 3),
	    .work = random_work(),
	    .bytes = random_work(),
	    .since_us = pb_now(ctx),
	    .expire_us =
		pb_now(ctx) + (int64_t)(pb_next_random(&rnd) % (10 * PB_SEC))};
	if (pb_push_queue(ctx, queue, &items[i], &displaced) == PB_OK) {
		m->linked[i] = true;
		m->sequence[i] = m->next_sequence++;
		m->count++;
	}
	for (; displaced != NULL; displaced = displaced->next)
		model_unlink(m, displaced);
}

/*
 * Guards against items that are lost, tried twice or tried out of order, and
 * against counts that become wrong, under random sequences of calls.
 */
static void
test_random_driver(void)
{
	static struct model m;
	struct pb_queue_policy p = make_policy(0, 0, 0, 0);
	struct pb_queue_stats st;
	int step;

	memset(&m, 0, sizeof(m));
	p.max_items = 200;
	p.max_bytes = 60000;
	start(p);
	for (step = 0; step < 30000; step++) {
		uint64_t action = pb_next_random(&rnd) % 100;
		size_t i = 1 + (size_t)(pb_next_random(&rnd) % 400);

		if (action < 70) {
			random_push(&m);
		} else if (action < 78 && m.linked[i]) {
			pb_remove_queue(ctx, queue, &items[i]);
			model_unlink(&m, &items[i]);
		} else if (action < 95) {
			pb_serve_queue(ctx, queue, check_offer, &m);
			pb_complete_queue(ctx, queue, random_work());
		} else {
			pb_advance_clock(&clk, 100 * PB_MSEC);
			pb_expire_queue(ctx, queue, model_unlink, &m);
		}
		pb_read_queue_stats(queue, &st);
		m.faults += st.items != m.count;
	}
	CU_ASSERT_EQUAL(m.faults, 0);
	CU_ASSERT(st.expired > 0 && st.displaced > 0 && st.refused > 0);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"rank order", test_rank_order},
	    {"no room ends pass", test_no_capacity_ends_pass},
	    {"pass", test_skipped_account},
	    {"floors in flood", test_floors_in_flood},
	    {"due headroom", test_due_headroom},
	    {"account fairness", test_account_fairness},
	    {"small account", test_small_account},
	    {"displacement", test_displacement}, {"bounds", test_bounds},
	    {"expiry", test_expiry}, {"expected wait", test_expected_wait},
	    {"no early refusal", test_no_early_refusal},
	    {"random driver", test_random_driver}, CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("queue", tests);
	pb_drop_queue(ctx, queue);
	pb_drop_context(ctx);
	return rc;
}
