#include "poplarbeam/digest.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

#define FLEET 7
#define CAP 1500 /* bytes of a datagram buffer */

static struct pb_manual_clock clk;
static struct pb_context *ctx;

/* Creates the digest of a router. Router 9 is in another region. */
static struct pb_digest *
new_digest(uint64_t self, uint64_t incarnation, double rate, size_t max_facts)
{
	struct pb_digest_policy p = {.self = self,
	    .region = self == 9 ? 2 : 1,
	    .incarnation = incarnation,
	    .fleet = FLEET,
	    .bytes_per_sec = rate,
	    .datagram_max = 1200,
	    .max_facts = max_facts};

	return pb_new_digest(ctx, &p);
}

static void
publish(struct pb_digest *d, enum pb_fact_kind kind, uint64_t subject,
    uint8_t value, int64_t ttl_us)
{
	uint8_t bytes[8] = {0, 0, 0, 0, 0, 0, 0, value};

	CU_ASSERT_EQUAL(
	    pb_publish_fact(ctx, d, kind, subject, bytes, 8, ttl_us), PB_OK);
}

/* Facts that were reported to on_fact. */
struct seen {
	int count;
	int kinds[PB_FACT_KIND_END];
	struct pb_fact last;
	bool subject[1000];
};

static void
on_fact(void *arg, const struct pb_fact *fact)
{
	struct seen *seen = arg;

	seen->count++;
	seen->kinds[fact->kind]++;
	seen->last = *fact;
	if (fact->subject < 1000)
		seen->subject[fact->subject] = true;
}

/*
 * Sends one datagram from a to b and adds the new facts to seen. Returns the
 * length of the digest, 0 when nothing was sent.
 */
static size_t
send_once(struct pb_digest *a, struct pb_digest *b, struct seen *seen)
{
	uint8_t buf[CAP];
	size_t len = pb_pack_digest(ctx, a, buf, sizeof(buf));

	if (len > 0)
		CU_ASSERT_EQUAL(
		    pb_merge_digest(ctx, b, buf, len, on_fact, seen), PB_OK);
	return len;
}

static size_t
count_facts(struct pb_digest *d)
{
	struct seen seen = {0};
	int kind;

	for (kind = PB_FACT_ROUTER; kind < PB_FACT_KIND_END; kind++)
		pb_each_fact(ctx, d, kind, on_fact, &seen);
	return (size_t)seen.count;
}

static void
drop_both(struct pb_digest *a, struct pb_digest *b)
{
	pb_drop_digest(ctx, a);
	pb_drop_digest(ctx, b);
}

/* Guards against urgent facts that are sent after loads on a low budget. */
static void
test_priority_order(void)
{
	struct pb_digest *a = new_digest(1, 1, 2000, 500),
			 *b = new_digest(2, 1, 2000, 500);
	struct seen seen = {0};
	uint64_t i;

	for (i = 0; i < 200; i++)
		publish(a, PB_FACT_ACCOUNT, i, 1, 60 * PB_SEC);
	publish(a, PB_FACT_CELL_LOAD, 900, 1, 60 * PB_SEC);
	publish(a, PB_FACT_LEAVING, 901, 1, 60 * PB_SEC);
	publish(a, PB_FACT_REVISION, 0, 5, 60 * PB_SEC);
	send_once(a, b, &seen);
	CU_ASSERT(seen.count < 60);
	CU_ASSERT_EQUAL(seen.kinds[PB_FACT_REVISION], 1);
	CU_ASSERT_EQUAL(seen.kinds[PB_FACT_LEAVING], 1);
	CU_ASSERT_EQUAL(seen.kinds[PB_FACT_CELL_LOAD], 1);
	CU_ASSERT(seen.kinds[PB_FACT_ACCOUNT] > 10);
	/* Valuable facts that were sent often do not delay new loads. */
	pb_set_digest_peers(ctx, a, 101);
	for (i = 0; i < 60; i++)
		publish(a, PB_FACT_HEALTH, i, 1, 60 * PB_SEC);
	pb_advance_clock(&clk, PB_SEC);
	memset(&seen, 0, sizeof(seen));
	for (i = 0; i < 20; i++) {
		send_once(a, b, &seen);
		pb_advance_clock(&clk, 500 * PB_MSEC);
	}
	CU_ASSERT_EQUAL(seen.kinds[PB_FACT_HEALTH], 60);
	CU_ASSERT(seen.kinds[PB_FACT_ACCOUNT] > 50);
	drop_both(a, b);
}

/* Guards against an exceeded budget and against facts that are never sent. */
static void
test_budget_and_rotation(void)
{
	struct pb_digest *a = new_digest(1, 1, 2000, 500),
			 *b = new_digest(2, 1, 2000, 500);
	struct pb_digest_stats stats;
	struct seen seen = {0};
	size_t wire = 0, len;
	uint64_t i;
	int t;

	for (i = 0; i < 400; i++)
		publish(a, PB_FACT_ACCOUNT, i, 1, 600 * PB_SEC);
	for (t = 0; t < 300; t++) {
		len = send_once(a, b, &seen);
		wire += len > 0 ? len + 72 : 0;
		pb_charge_digest_budget(ctx, a, 20);
		pb_advance_clock(&clk, 100 * PB_MSEC);
	}
	pb_read_digest_stats(a, &stats);
	CU_ASSERT_EQUAL(stats.sent_bytes, wire + 300 * 20);
	CU_ASSERT(stats.sent_bytes <= 2000 * 31);
	CU_ASSERT(stats.sent_bytes > 2000 * 20);
	for (i = 0, t = 0; i < 400; i++)
		t += seen.subject[i];
	CU_ASSERT_EQUAL(t, 400);
	/* An idle time adds the bytes of one second at most. */
	pb_advance_clock(&clk, 60 * PB_SEC);
	for (t = 0, wire = 0; t < 10; t++) {
		len = send_once(a, b, &seen);
		wire += len > 0 ? len + 72 : 0;
	}
	CU_ASSERT(wire > 1000 && wire <= 2000);
	drop_both(a, b);
}

/* Guards against facts that are sent without end or not renewed. */
static void
test_resends(void)
{
	struct pb_digest *a = new_digest(1, 1, 9000, 50);
	struct pb_digest_stats stats;
	uint8_t buf[CAP];
	int i;

	pb_set_digest_peers(ctx, a, 101);
	publish(a, PB_FACT_HEALTH, 5, 1, 100 * PB_SEC);
	for (i = 0; i < 60; i++) {
		pb_pack_digest(ctx, a, buf, sizeof(buf));
		pb_advance_clock(&clk, 500 * PB_MSEC);
		publish(a, PB_FACT_HEALTH, 5, 1, 100 * PB_SEC);
	}
	pb_read_digest_stats(a, &stats);
	CU_ASSERT_EQUAL(stats.sent_facts, 21); /* 3 x log2(102), rounded up */
	pb_advance_clock(&clk, 21 * PB_SEC);
	publish(a, PB_FACT_HEALTH, 5, 1, 100 * PB_SEC);
	for (i = 0; i < 60; i++)
		pb_pack_digest(ctx, a, buf, sizeof(buf));
	pb_read_digest_stats(a, &stats);
	CU_ASSERT_EQUAL(stats.sent_facts, 25);
	pb_drop_digest(ctx, a);
}

/* Guards against times to live that depend on the clocks of the hosts. */
static void
test_clock_difference(void)
{
	struct pb_manual_clock late;
	struct pb_context *other = pb_new_context(&late.base, NULL);
	struct pb_digest *a = new_digest(1, 1, 9000, 50), *b;
	struct pb_digest_policy p = {.self = 2,
	    .fleet = FLEET,
	    .bytes_per_sec = 9000,
	    .datagram_max = 1200,
	    .max_facts = 50};
	struct seen seen = {0};
	uint8_t buf[CAP];
	size_t len;

	pb_init_manual_clock(&late, 0);
	pb_advance_clock(&late, 1000000 * PB_SEC);
	b = pb_new_digest(other, &p);
	publish(a, PB_FACT_HEALTH, 5, 1, 10 * PB_SEC);
	pb_advance_clock(&clk, 4 * PB_SEC);
	len = pb_pack_digest(ctx, a, buf, sizeof(buf));
	CU_ASSERT_EQUAL(
	    pb_merge_digest(other, b, buf, len, on_fact, &seen), PB_OK);
	CU_ASSERT_EQUAL(seen.last.ttl_ms, 6000);
	pb_advance_clock(&late, 6 * PB_SEC - 1);
	CU_ASSERT_EQUAL(
	    pb_each_fact(other, b, PB_FACT_HEALTH, on_fact, &seen), 1);
	pb_advance_clock(&late, 1);
	CU_ASSERT_EQUAL(
	    pb_each_fact(other, b, PB_FACT_HEALTH, on_fact, &seen), 0);
	drop_both(a, b);
	pb_drop_context(other);
}

/*
 * Guards against a store that exceeds its maximum of facts or drops the more
 * valuable ones.
 */
static void
test_bound(void)
{
	struct pb_digest *a = new_digest(1, 1, 2000, 10);
	struct seen seen = {0};
	uint64_t i;

	for (i = 0; i < 6; i++)
		publish(a, PB_FACT_CELL_LOAD, i, 1, 60 * PB_SEC);
	for (i = 6; i < 20; i++)
		publish(a, PB_FACT_ACCOUNT, i, 1, 60 * PB_SEC);
	CU_ASSERT_EQUAL(count_facts(a), 10);
	pb_each_fact(ctx, a, PB_FACT_ACCOUNT, on_fact, &seen);
	CU_ASSERT(seen.count == 4 && seen.subject[19] && seen.subject[16]);
	for (i = 20; i < 30; i++)
		publish(a, PB_FACT_LEAVING, i, 1, 60 * PB_SEC);
	CU_ASSERT_EQUAL(
	    pb_publish_fact(ctx, a, PB_FACT_ACCOUNT, 40, "", 0, 60 * PB_SEC),
	    PB_EBUSY);
	CU_ASSERT_EQUAL(count_facts(a), 10);
	CU_ASSERT_EQUAL(
	    pb_each_fact(ctx, a, PB_FACT_LEAVING, on_fact, &seen), 10);
	pb_drop_digest(ctx, a);
}

/* Guards against rejected digests that change the store. */
static void
test_rejects(void)
{
	struct pb_digest *a = new_digest(1, 5, 9000, 50),
			 *b = new_digest(2, 1, 9000, 50);
	struct pb_digest *old = new_digest(1, 4, 9000, 50);
	struct pb_random rnd = {20260402};
	struct pb_digest_stats stats;
	struct seen seen = {0};
	uint8_t buf[CAP], bad[CAP];
	uint64_t sender, incarnation;
	size_t len, i, n, before;
	int run;

	publish(a, PB_FACT_HEALTH, 5, 1, 10 * PB_SEC);
	publish(a, PB_FACT_ROUTER, 1, 1, 10 * PB_SEC);
	len = pb_pack_digest(ctx, a, buf, sizeof(buf));
	CU_ASSERT_EQUAL(
	    pb_read_digest_sender(ctx, buf, len, &sender, &incarnation), PB_OK);
	CU_ASSERT(sender == 1 && incarnation == 5);
	for (n = 0; n < len; n++) {
		int rc = pb_merge_digest(ctx, b, buf, n, on_fact, &seen);

		/* The header alone or with one whole fact is valid. */
		if (n < 36 || rc != PB_OK)
			CU_ASSERT_EQUAL(rc, PB_EPROTO);
	}
	CU_ASSERT_EQUAL(seen.count, 1);
	CU_ASSERT_EQUAL(
	    pb_merge_digest(ctx, a, buf, len, on_fact, &seen), PB_EPROTO);
	CU_ASSERT_EQUAL(
	    pb_merge_digest(ctx, b, buf, len, on_fact, &seen), PB_OK);
	before = count_facts(b);
	memset(&seen, 0, sizeof(seen));
	publish(old, PB_FACT_HEALTH, 6, 1, 10 * PB_SEC);
	n = pb_pack_digest(ctx, old, bad, sizeof(bad));
	CU_ASSERT_EQUAL(
	    pb_merge_digest(ctx, b, bad, n, on_fact, &seen), PB_EPROTO);
	memcpy(bad, buf, 36);
	bad[4] ^= 1; /* fleet */
	CU_ASSERT_EQUAL(
	    pb_merge_digest(ctx, b, bad, 36, on_fact, &seen), PB_EPROTO);
	memcpy(bad, buf, len);
	CU_ASSERT_EQUAL(bad[36] >> 4, PB_FACT_HEALTH);
	bad[36] |= 0xf0; /* unknown kind */
	CU_ASSERT_EQUAL(
	    pb_merge_digest(ctx, b, bad, len, on_fact, &seen), PB_EPROTO);
	for (run = 0; run < 20000; run++) {
		len = pb_next_random(&rnd) % sizeof(bad);
		for (i = 0; i < len; i++)
			bad[i] = (uint8_t)pb_next_random(&rnd);
		if (pb_merge_digest(ctx, b, bad, len, on_fact, &seen) == PB_OK)
			CU_FAIL("random bytes were accepted");
	}
	pb_read_digest_stats(b, &stats);
	CU_ASSERT(stats.rejected >= 20003);
	CU_ASSERT_EQUAL(seen.count, 0);
	CU_ASSERT_EQUAL(count_facts(b), before);
	drop_both(a, b);
	pb_drop_digest(ctx, old);
}

/* Guards against a relayed fact that replaces a newer one. */
static void
test_versions(void)
{
	struct pb_digest *a = new_digest(1, 1, 9000, 50),
			 *b = new_digest(2, 1, 9000, 50);
	struct pb_digest *c = new_digest(3, 1, 9000, 50),
			 *a2 = new_digest(1, 2, 9000, 50);
	struct seen seen = {0};

	publish(a, PB_FACT_HEALTH, 5, 1, 60 * PB_SEC);
	publish(a, PB_FACT_HEALTH, 6, 1, 60 * PB_SEC);
	send_once(a, b, &seen);
	publish(a, PB_FACT_HEALTH, 5, 2, 60 * PB_SEC);
	send_once(a, c, &seen);
	memset(&seen, 0, sizeof(seen));
	send_once(b, c, &seen);
	CU_ASSERT_EQUAL(seen.count, 0);
	send_once(c, b, &seen);
	CU_ASSERT(seen.count == 1 && seen.last.value[7] == 2);
	/* A restart of the origin removes its earlier facts. */
	publish(a2, PB_FACT_HEALTH, 5, 3, 60 * PB_SEC);
	send_once(a2, b, &seen);
	CU_ASSERT_EQUAL(count_facts(b), 1);
	send_once(c, b, &seen);
	CU_ASSERT_EQUAL(count_facts(b), 1);
	CU_ASSERT_EQUAL(seen.last.value[7], 3);
	drop_both(a, b);
	drop_both(c, a2);
}

/*
 * Guards against a store that keeps one copy of the revision per router, and
 * against a revision that is replaced by an older one.
 */
static void
test_shared_facts(void)
{
	struct pb_digest *a = new_digest(1, 1, 9000, 50),
			 *b = new_digest(2, 1, 9000, 50);
	struct seen seen = {0};
	int i;

	publish(a, PB_FACT_REVISION, 0, 8, 60 * PB_SEC);
	publish(b, PB_FACT_REVISION, 0, 7, 60 * PB_SEC);
	send_once(b, a, &seen);
	CU_ASSERT_EQUAL(seen.count, 0);
	send_once(a, b, &seen);
	CU_ASSERT(seen.count == 1 && seen.last.value[7] == 8);
	publish(b, PB_FACT_REVISION, 0, 7, 60 * PB_SEC);
	CU_ASSERT_EQUAL(count_facts(b), 1);
	/*
	 * A router that missed every send gets the revision, because its digest
	 * header has an older one.
	 */
	for (i = 0; i < 60; i++)
		send_once(a, b, &seen);
	pb_drop_digest(ctx, b);
	b = new_digest(3, 1, 9000, 50);
	memset(&seen, 0, sizeof(seen));
	send_once(a, b, &seen);
	CU_ASSERT_EQUAL(seen.count, 0);
	send_once(b, a, &seen);
	send_once(a, b, &seen);
	CU_ASSERT_EQUAL(seen.kinds[PB_FACT_REVISION], 1);
	drop_both(a, b);
}

/* Guards against an answer that repeats the facts of the request. */
static void
test_answer(void)
{
	struct pb_digest *a = new_digest(1, 1, 9000, 50),
			 *b = new_digest(2, 1, 9000, 50);
	uint8_t buf[CAP], back[CAP];
	struct pb_digest_stats stats;
	struct seen seen = {0};
	size_t len, answer;

	publish(a, PB_FACT_HEALTH, 5, 1, 60 * PB_SEC);
	publish(b, PB_FACT_HEALTH, 6, 1, 60 * PB_SEC);
	len = pb_pack_digest(ctx, a, buf, sizeof(buf));
	CU_ASSERT_EQUAL(pb_answer_digest(ctx, b, buf, len, on_fact, &seen, back,
			    sizeof(back), &answer),
	    PB_OK);
	pb_read_digest_stats(b, &stats);
	CU_ASSERT(seen.count == 1 && stats.sent_facts == 1);
	CU_ASSERT_EQUAL(
	    pb_merge_digest(ctx, a, back, answer, on_fact, &seen), PB_OK);
	CU_ASSERT(seen.count == 2 && seen.last.subject == 6);
	drop_both(a, b);
}

/*
 * Guards against loads that are sent to other regions, and against urgent
 * changes that wait for a whole period.
 */
static void
test_region_and_urgent(void)
{
	struct pb_digest *a = new_digest(1, 1, 9000, 50),
			 *b = new_digest(9, 1, 9000, 50);
	struct seen seen = {0};
	uint8_t buf[CAP], back[CAP];
	size_t len, answer;

	publish(a, PB_FACT_CELL_LOAD, 5, 1, 60 * PB_SEC);
	publish(b, PB_FACT_ACCOUNT, 6, 1, 60 * PB_SEC);
	len = pb_pack_cross_region_digest(ctx, a, buf, sizeof(buf));
	CU_ASSERT_EQUAL(pb_next_exchange(a, 400), clk.now_us + 400);
	publish(a, PB_FACT_LEAVING, 7, 1, 60 * PB_SEC);
	CU_ASSERT_EQUAL(pb_next_exchange(a, 400), clk.now_us + 100);
	CU_ASSERT_EQUAL(pb_answer_digest(ctx, b, buf, len, on_fact, &seen, back,
			    sizeof(back), &answer),
	    PB_OK);
	CU_ASSERT_EQUAL(
	    pb_merge_digest(ctx, a, back, answer, on_fact, &seen), PB_OK);
	CU_ASSERT_EQUAL(seen.count, 0);
	len = pb_pack_cross_region_digest(ctx, a, buf, sizeof(buf));
	CU_ASSERT_EQUAL(
	    pb_merge_digest(ctx, b, buf, len, on_fact, &seen), PB_OK);
	CU_ASSERT(seen.count == 1 && seen.kinds[PB_FACT_LEAVING] == 1);
	drop_both(a, b);
}

/* Guards against a live router that does not refute a wrong suspicion. */
static void
test_refutation(void)
{
	struct pb_digest *a = new_digest(1, 1, 9000, 50),
			 *b = new_digest(2, 1, 9000, 50);
	struct seen seen = {0};

	publish(a, PB_FACT_ROUTER, 1, 1, 60 * PB_SEC);
	send_once(a, b, &seen);
	memset(&seen, 0, sizeof(seen));
	send_once(a, b, &seen);
	CU_ASSERT_EQUAL(seen.count, 0);
	publish(b, PB_FACT_HEALTH, 1, 3, 60 * PB_SEC);
	send_once(b, a, &seen);
	send_once(a, b, &seen);
	CU_ASSERT_EQUAL(seen.kinds[PB_FACT_ROUTER], 1);
	drop_both(a, b);
}

/*
 * Returns the periods until one fact has reached n routers that exchange many
 * other facts, or -1 when it does not reach them all.
 */
static int
count_spread_periods(int n, uint64_t seed)
{
	struct pb_digest *d[102];
	struct pb_random rnd = {seed};
	struct seen seen;
	uint8_t buf[CAP], back[CAP];
	int period, i, j, known = 0;
	size_t len, answer;

	for (i = 0; i < n; i++) {
		d[i] = new_digest((uint64_t)i + 1, 1, 2000, 2000);
		pb_set_digest_peers(ctx, d[i], (size_t)n - 1);
	}
	for (period = 0; period < 80 && known < n; period++) {
		for (i = 0; i < n; i++)
			for (j = 0; period % 10 == 0 && j < 5; j++)
				publish(d[i], PB_FACT_ACCOUNT,
				    (uint64_t)i * 5 + (uint64_t)j,
				    (uint8_t)period, 60 * PB_SEC);
		if (period == 20)
			publish(d[0], PB_FACT_LEAVING, 999, 1, 60 * PB_SEC);
		for (i = 0; i < n; i++) {
			do
				j = (int)(pb_next_random(&rnd) % (uint64_t)n);
			while (j == i);
			len = pb_pack_digest(ctx, d[i], buf, sizeof(buf));
			if (len == 0 ||
			    pb_answer_digest(ctx, d[j], buf, len, NULL, NULL,
				back, sizeof(back), &answer) != PB_OK)
				continue;
			if (answer > 0)
				pb_merge_digest(
				    ctx, d[i], back, answer, NULL, NULL);
		}
		pb_advance_clock(&clk, 500 * PB_MSEC);
		for (i = 0, known = 0; i < n; i++) {
			memset(&seen, 0, sizeof(seen));
			pb_each_fact(
			    ctx, d[i], PB_FACT_LEAVING, on_fact, &seen);
			known += seen.subject[999];
		}
	}
	for (i = 0; i < n; i++)
		pb_drop_digest(ctx, d[i]);
	return known == n ? period - 20 : -1;
}

/* Guards against a fact that does not reach all routers within the budget. */
static void
test_spread(void)
{
	static const int sizes[] = {9, 40, 102};
	uint64_t seed;
	int i;

	for (i = 0; i < 3; i++) {
		int worst = 0;

		for (seed = 1; seed <= 5; seed++) {
			int periods = count_spread_periods(sizes[i], seed);

			CU_ASSERT(periods > 0);
			worst = periods > worst ? periods : worst;
		}
		printf("\n  %d routers: at most %d periods of 500 ms", sizes[i],
		    worst);
		CU_ASSERT(worst <= 6); /* 3 s */
	}
	printf("\n");
}

int
main(void)
{
	static CU_TestInfo tests[] = {
	    {"order of priority", test_priority_order},
	    {"budget and rotation", test_budget_and_rotation},
	    {"resends", test_resends},
	    {"clock difference", test_clock_difference}, {"bound", test_bound},
	    {"rejects", test_rejects}, {"versions", test_versions},
	    {"shared facts", test_shared_facts}, {"answer", test_answer},
	    {"other region and urgent", test_region_and_urgent},
	    {"refutation", test_refutation}, {"spread", test_spread},
	    CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("digest", tests);
	pb_drop_context(ctx);
	return rc;
}
