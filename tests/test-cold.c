/*
 * Plays bursts of requests at several routers while instances are evacuated or
 * cold, and counts what reaches each instance.
 */
#include "poplarbeam/registry.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

#define ROUTERS 80
#define INSTANCES 12
#define STEP_US (10 * PB_MSEC)
#define COLD_US (3 * PB_SEC)
#define COLD_PER_S 8.8
/* The operator's limit: 1.5 times the rate plus 5 in any second. */
#define LIMIT 18
#define SENDS_MAX 65536

struct send {
	char id[8];
	int64_t at_us;
};

struct fleet {
	struct pb_manual_clock clk;
	struct pb_context *ctx;
	struct pb_random rnd;
	struct pb_registry *routers[ROUTERS];
	size_t router_count;
	struct send sends[SENDS_MAX];
	size_t send_count;
	int refused;
};

static const struct pb_service service = {
    .name = {"s", 1}, .cold_start_us = COLD_US, .cold_per_s = COLD_PER_S};

static uint64_t
router_hash(size_t router)
{
	return pb_hash_pair(router + 1, 17);
}

static void
set_routers(struct fleet *f, size_t router, size_t known, int64_t version)
{
	uint64_t hashes[ROUTERS];
	size_t i;

	for (i = 0; i < known; i++)
		hashes[i] = router_hash(i);
	CU_ASSERT_EQUAL(pb_set_routers(f->ctx, f->routers[router],
			    router_hash(router), hashes, known, version),
	    PB_OK);
}

static void
apply(struct fleet *f, size_t router, int instance, int64_t started,
    int64_t cold_us)
{
	static const char *const domains[] = {"a", "b", "c"};
	char id[16], address[24];
	struct pb_instance_entry e = {.service = pb_str_from("s"),
	    .domain = pb_str_from(domains[instance % 3]),
	    .slots = 16,
	    .started_ms = started,
	    .cold_left_us = cold_us};

	snprintf(id, sizeof(id), "i%d", instance);
	snprintf(address, sizeof(address), "10.0.0.%d:80", instance);
	e.id = pb_str_from(id);
	e.address = pb_str_from(address);
	CU_ASSERT_EQUAL(
	    pb_apply_instance(f->ctx, f->routers[router], &e), PB_OK);
}

static struct fleet *
new_fleet(size_t routers)
{
	struct fleet *f = calloc(1, sizeof(*f));
	size_t r;
	int i;

	pb_init_manual_clock(&f->clk, PB_SEC);
	pb_advance_clock(&f->clk, 100 * PB_SEC);
	f->ctx = pb_new_context(&f->clk.base, NULL);
	f->rnd.state = 5;
	f->router_count = routers;
	for (r = 0; r < routers; r++) {
		f->routers[r] = pb_new_registry(f->ctx, NULL, NULL);
		CU_ASSERT_EQUAL(
		    pb_set_services(f->ctx, f->routers[r], &service, 1), PB_OK);
		set_routers(f, r, routers, 1);
		for (i = 0; i < INSTANCES; i++)
			apply(f, r, i, 1, 0);
	}
	return f;
}

static void
drop_fleet(struct fleet *f)
{
	size_t r;

	for (r = 0; r < f->router_count; r++)
		pb_drop_registry(f->ctx, f->routers[r]);
	pb_drop_context(f->ctx);
	free(f);
}

static struct pb_instance *
choose(struct fleet *f, size_t router, uint64_t affinity)
{
	struct pb_placement p = {.service = pb_str_from("s"),
	    .domain = pb_str_from("a"),
	    .affinity = affinity,
	    .rnd = &f->rnd};
	struct pb_placement_facts facts;

	return pb_choose_instance(f->ctx, f->routers[router], &p, &facts);
}

static void
send_one(struct fleet *f, size_t router, uint64_t affinity)
{
	struct pb_instance *inst = choose(f, router, affinity);
	struct send *send = &f->sends[f->send_count];

	if (inst == NULL) {
		f->refused++;
		return;
	}
	if (f->send_count == SENDS_MAX)
		return;
	pb_note_send(f->ctx, inst);
	pb_copy_str(send->id, sizeof(send->id), inst->id);
	send->at_us = pb_now(f->ctx);
	f->send_count++;
}

/* Every router sends per_s requests a second, each for one of ten prefixes. */
static void
play(struct fleet *f, int64_t us, int per_s)
{
	int64_t end = pb_now(f->ctx) + us;
	size_t r;

	for (; pb_now(f->ctx) < end; pb_advance_clock(&f->clk, STEP_US)) {
		for (r = 0; r < f->router_count; r++) {
			double draw = pb_next_uniform(&f->rnd);

			if (draw * PB_SEC < (double)per_s * STEP_US)
				send_one(f, r,
				    1 +
					(uint64_t)(pb_next_uniform(&f->rnd) *
					    10));
		}
	}
}

/* Returns the most requests to any of the instances within a second. */
static int
find_peak(const struct fleet *f, const char *id, int64_t since_us)
{
	size_t first = 0, i;
	int n = 0, peak = 0;

	for (i = 0; i < f->send_count; i++) {
		if (f->sends[i].at_us < since_us ||
		    strcmp(f->sends[i].id, id) != 0)
			continue;
		n++;
		while (f->sends[i].at_us - f->sends[first].at_us >= PB_SEC ||
		    f->sends[first].at_us < since_us ||
		    strcmp(f->sends[first].id, id) != 0) {
			n -= strcmp(f->sends[first].id, id) == 0 &&
			    f->sends[first].at_us >= since_us;
			first++;
		}
		if (n > peak)
			peak = n;
	}
	return peak;
}

static int
find_peak_of_all(const struct fleet *f, int64_t since_us)
{
	int i, peak = 0;
	char id[16];

	for (i = 0; i < INSTANCES; i++) {
		int n;

		snprintf(id, sizeof(id), "i%d", i);
		n = find_peak(f, id, since_us);
		if (n > peak)
			peak = n;
	}
	return peak;
}

/* Restarts the instances of the domain at all routers. */
static void
restart_all(struct fleet *f, int64_t started, int64_t cold_us)
{
	size_t r;
	int i;

	for (r = 0; r < f->router_count; r++) {
		for (i = 0; i < INSTANCES; i++)
			apply(f, r, i, started, cold_us);
	}
}

/*
 * Guards against instances that crash again when they all return from a crash
 * while every router has requests for them: 20 requests a second at each of 80
 * routers.
 */
static void
test_all_return_cold(void)
{
	struct fleet *f = new_fleet(ROUTERS);
	int64_t at = pb_now(f->ctx);

	restart_all(f, 2, COLD_US);
	play(f, COLD_US, 20);
	CU_ASSERT(find_peak_of_all(f, at) <= LIMIT);
	/* What a cold instance tolerates is used. */
	CU_ASSERT(f->send_count >= INSTANCES * 3 * 6);
	CU_ASSERT(f->refused > 0);
	drop_fleet(f);
}

/*
 * Guards against a burst at the end of the cold time: the load returns in
 * steps. 2 requests a second at each of 80 routers.
 */
static void
test_ramp(void)
{
	struct fleet *f = new_fleet(ROUTERS);
	int64_t at;

	restart_all(f, 2, COLD_US);
	pb_advance_clock(&f->clk, COLD_US);
	at = pb_now(f->ctx);
	play(f, 250 * PB_MSEC, 20);
	CU_ASSERT(find_peak_of_all(f, at) <= 2 * LIMIT);
	play(f, 3 * PB_SEC, 2);
	f->refused = 0;
	play(f, PB_SEC, 20);
	CU_ASSERT_EQUAL(f->refused, 0);
	drop_fleet(f);
}

/*
 * Guards against a limit that doubles when half of the routers do not know of
 * the others yet: the list of routers is read seconds after a router joins.
 */
static void
test_routers_disagree(void)
{
	struct fleet *f = new_fleet(ROUTERS);
	int64_t at = pb_now(f->ctx);
	size_t r;

	for (r = 0; r < ROUTERS; r++)
		set_routers(f, r, r < ROUTERS / 2 ? ROUTERS / 2 : ROUTERS, 2);
	restart_all(f, 2, COLD_US);
	play(f, COLD_US, 20);
	CU_ASSERT(find_peak_of_all(f, at) <= LIMIT);
	drop_fleet(f);
}

/* Guards against an older list of routers that replaces a newer one. */
static void
test_older_routers(void)
{
	struct fleet *f = new_fleet(2);
	uint64_t hashes[4];

	set_routers(f, 0, 2, 5);
	set_routers(f, 0, 1, 4);
	CU_ASSERT_EQUAL(pb_read_routers(f->routers[0], hashes, 4), 2);
	CU_ASSERT_EQUAL(pb_routers_version(f->routers[0]), 5);
	drop_fleet(f);
}

/* Guards against a router that has no list of routers and sends freely. */
static void
test_routers_unknown(void)
{
	struct fleet *f = new_fleet(1);
	struct pb_registry *known = f->routers[0];

	f->routers[0] = pb_new_registry(f->ctx, NULL, NULL);
	CU_ASSERT_EQUAL(
	    pb_set_services(f->ctx, f->routers[0], &service, 1), PB_OK);
	apply(f, 0, 0, 2, COLD_US);
	CU_ASSERT_PTR_NULL(choose(f, 0, 0));
	pb_drop_registry(f->ctx, known);
	drop_fleet(f);
}

/*
 * Guards against an instance that counts as cold again because its entry, with
 * the time that was left when it was written, is read again.
 */
static void
test_entry_read_again(void)
{
	struct fleet *f = new_fleet(1);
	struct pb_instance_entry e = {.id = pb_str_from("x"),
	    .service = pb_str_from("s"),
	    .address = pb_str_from("10.0.0.9:80"),
	    .domain = pb_str_from("a"),
	    .slots = 16,
	    .started_ms = 1,
	    .cold_left_us = COLD_US,
	    .row_version = 7};

	CU_ASSERT_EQUAL(pb_apply_instance(f->ctx, f->routers[0], &e), PB_OK);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, f->routers[0]).instances, 1);
	pb_advance_clock(&f->clk, COLD_US);
	CU_ASSERT_EQUAL(pb_apply_instance(f->ctx, f->routers[0], &e), PB_OK);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, f->routers[0]).instances, 0);
	e.row_version = 8;
	CU_ASSERT_EQUAL(pb_apply_instance(f->ctx, f->routers[0], &e), PB_OK);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, f->routers[0]).instances, 1);
	drop_fleet(f);
}

/*
 * Guards against full load for an instance that restarted while this router
 * could not reach it, before the list shows the restart.
 */
static void
test_unreached(void)
{
	struct fleet *f = new_fleet(1);
	struct pb_instance *inst =
	    pb_find_instance(f->routers[0], pb_str_from("i3"));

	pb_note_unreachable(f->ctx, inst);
	pb_advance_clock(&f->clk, 60 * PB_SEC);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, f->routers[0]).instances, 1);
	pb_note_answer(f->ctx, inst);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, f->routers[0]).instances, 1);
	pb_advance_clock(&f->clk, COLD_US);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, f->routers[0]).instances, 0);
	drop_fleet(f);
}

/*
 * Guards against a burst from a router that was suspended and does not know yet
 * which instances have restarted.
 */
static void
test_suspended_router(void)
{
	struct fleet *f = new_fleet(1);
	struct pb_registry *reg = f->routers[0];

	pb_note_running(f->ctx, reg);
	pb_advance_clock(&f->clk, 100 * PB_MSEC);
	pb_note_running(f->ctx, reg);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, reg).instances, 0);
	pb_advance_clock(&f->clk, 4 * PB_SEC);
	/* Requests may be handled before the timer runs. */
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, reg).instances, INSTANCES);
	pb_note_running(f->ctx, reg);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, reg).instances, INSTANCES);
	pb_note_list_renewed(reg, pb_now(f->ctx) - PB_SEC);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, reg).instances, INSTANCES);
	pb_note_list_renewed(reg, pb_now(f->ctx));
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, reg).instances, 0);
	drop_fleet(f);
}

/* Guards against a service without a cold time that is limited. */
static void
test_never_cold(void)
{
	struct fleet *f = new_fleet(1);
	struct pb_service s = {.name = {"s", 1}};

	CU_ASSERT_EQUAL(pb_set_services(f->ctx, f->routers[0], &s, 1), PB_OK);
	restart_all(f, 2, COLD_US);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, f->routers[0]).instances, 0);
	drop_fleet(f);
}

static void
evacuate(struct fleet *f, const char *domain, bool active, int64_t version)
{
	size_t r;

	for (r = 0; r < f->router_count; r++)
		pb_note_evacuation(f->ctx, f->routers[r], pb_str_from(domain),
		    active, version);
}

static int
count_sends_to(const struct fleet *f, int first)
{
	char id[16];
	size_t k;
	int i, n = 0;

	for (i = first; i < INSTANCES; i += 3) {
		snprintf(id, sizeof(id), "i%d", i);
		for (k = 0; k < f->send_count; k++)
			n += strcmp(f->sends[k].id, id) == 0;
	}
	return n;
}

/* Guards against requests to a failure domain that is evacuated. */
static void
test_evacuation(void)
{
	struct fleet *f = new_fleet(3);
	size_t n;

	evacuate(f, "b", true, 10);
	play(f, PB_SEC, 50);
	CU_ASSERT_EQUAL(count_sends_to(f, 1), 0);
	CU_ASSERT(count_sends_to(f, 0) > 0);
	/* A restarted instance of the domain is evacuated as well. */
	restart_all(f, 2, 0);
	play(f, PB_SEC, 50);
	CU_ASSERT_EQUAL(count_sends_to(f, 1), 0);
	pb_read_evacuations(f->routers[0], &n);
	CU_ASSERT_EQUAL(n, 1);
	evacuate(f, "a", true, 11);
	evacuate(f, "c", true, 12);
	CU_ASSERT_PTR_NULL(choose(f, 0, 0));
	drop_fleet(f);
}

/*
 * Guards against a burst when an evacuation ends: the instances of the domain
 * may be cold although their entries do not say so yet.
 */
static void
test_end_of_evacuation(void)
{
	struct fleet *f = new_fleet(ROUTERS);
	int64_t at;

	evacuate(f, "b", true, 10);
	pb_advance_clock(&f->clk, 5 * PB_SEC);
	evacuate(f, "b", false, 11);
	at = pb_now(f->ctx);
	play(f, COLD_US, 4);
	CU_ASSERT(find_peak(f, "i1", at) <= LIMIT);
	CU_ASSERT(find_peak(f, "i4", at) <= LIMIT);
	CU_ASSERT(count_sends_to(f, 1) > 0);
	drop_fleet(f);
}

/*
 * Guards against full load for a domain whose evacuation this router has missed
 * as a whole, because it was suspended: it learns only of the end, from the
 * store or from another router.
 */
static void
test_missed_evacuation(void)
{
	struct fleet *f = new_fleet(1);
	struct pb_registry *reg = f->routers[0];
	const struct pb_evacuation_end *ends;
	int64_t now = pb_now(f->ctx);

	evacuate(f, "b", false, 11);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, reg).instances, INSTANCES / 3);
	pb_note_evacuation_end(f->ctx, reg, pb_str_from("c"), now - PB_SEC);
	CU_ASSERT_EQUAL(
	    pb_count_cold(f->ctx, reg).instances, 2 * INSTANCES / 3);
	CU_ASSERT_EQUAL(pb_read_evacuation_ends(f->ctx, reg, &ends), 2);
	/* Repeated reports do not prolong it. */
	pb_advance_clock(&f->clk, COLD_US - PB_SEC);
	pb_note_evacuation_end(f->ctx, reg, pb_str_from("c"), now - PB_SEC);
	CU_ASSERT_EQUAL(pb_count_cold(f->ctx, reg).instances, INSTANCES / 3);
	pb_advance_clock(&f->clk, 20 * PB_SEC);
	CU_ASSERT_EQUAL(pb_read_evacuation_ends(f->ctx, reg, &ends), 0);
	drop_fleet(f);
}

/*
 * Guards against a burst after the cold time in a small fleet, in which all
 * routers are senders soon. Load: 6 routers that each send as much as they may.
 */
static void
test_ramp_of_small_fleet(void)
{
	struct fleet *f = new_fleet(6);
	int64_t at;

	restart_all(f, 2, COLD_US);
	pb_advance_clock(&f->clk, COLD_US);
	at = pb_now(f->ctx);
	play(f, 500 * PB_MSEC, 1000);
	CU_ASSERT(find_peak_of_all(f, at) <= 2 * LIMIT);
	drop_fleet(f);
}

/*
 * Guards against a change that is delivered again after a watch has resumed and
 * that reverts a newer one, and against an evacuation that a listing no longer
 * shows.
 */
static void
test_replayed_evacuation(void)
{
	struct fleet *f = new_fleet(1);
	struct pb_registry *reg = f->routers[0];
	size_t n;

	evacuate(f, "b", true, 10);
	evacuate(f, "b", false, 11);
	pb_note_evacuations_version(reg, 11);
	evacuate(f, "b", true, 10);
	pb_read_evacuations(reg, &n);
	CU_ASSERT_EQUAL(n, 0);
	evacuate(f, "b", true, 12);
	evacuate(f, "c", true, 13);
	pb_begin_evacuations(reg);
	pb_note_evacuation(f->ctx, reg, pb_str_from("c"), true, 13);
	pb_end_evacuations(f->ctx, reg);
	pb_read_evacuations(reg, &n);
	CU_ASSERT_EQUAL(n, 1);
	CU_ASSERT_STRING_EQUAL(pb_read_evacuations(reg, &n)->domain, "c");
	drop_fleet(f);
}

/* Guards against a change that routers following this one do not learn. */
static void
test_evacuation_sequence(void)
{
	struct fleet *f = new_fleet(1);
	uint64_t before = pb_registry_sequence(f->routers[0]);

	evacuate(f, "b", true, 10);
	CU_ASSERT(pb_registry_sequence(f->routers[0]) > before);
	drop_fleet(f);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"all return cold", test_all_return_cold},
	    {"ramp", test_ramp}, {"routers disagree", test_routers_disagree},
	    {"older routers", test_older_routers},
	    {"routers unknown", test_routers_unknown},
	    {"entry read again", test_entry_read_again},
	    {"unreached", test_unreached},
	    {"suspended router", test_suspended_router},
	    {"never cold", test_never_cold}, {"evacuation", test_evacuation},
	    {"end of evacuation", test_end_of_evacuation},
	    {"missed evacuation", test_missed_evacuation},
	    {"ramp of a small fleet", test_ramp_of_small_fleet},
	    {"replayed evacuation", test_replayed_evacuation},
	    {"evacuation sequence", test_evacuation_sequence},
	    CU_TEST_INFO_NULL};

	return run_suite("cold", tests);
}
