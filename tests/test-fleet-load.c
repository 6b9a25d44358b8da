/*
 * Plays the first seconds of a fleet's traffic on the placement of many
 * routers: prompts are long, nothing is cached yet, and requests for a prefix
 * come in groups. Instances answer, and so tell their load, only when they
 * have read the prompt.
 */
#include "poplarbeam/registry.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

#define DOMAINS 5
#define ROUTERS 150
#define INSTANCES 78
#define PREFIXES 250
#define STEP_US (10 * PB_MSEC)
#define PLAY_US (7 * PB_SEC)
#define FROM_US PB_SEC /* requests are judged from here on */
#define PER_SEC 310 /* requests */
#define GROUP 3 /* requests for one prefix that follow each other */
#define GROUP_GAP 10 /* steps between two of them */
#define PROMPT_US (160 * PB_MSEC) /* to read one that is not cached */
#define CACHED_US (20 * PB_MSEC) /* to read the rest of one that is */
#define STREAM_US (1200 * PB_MSEC)
#define TELL_US (250 * PB_MSEC) /* between two questions of a router */
#define REQUESTS_MAX 4096

/* The platform's bound: at most 3 in 100 requests at instances above it. */
#define LOAD_FACTOR 2.0
#define LOAD_FLOOR 3.0
#define SHARE_MAX 0.03

struct request {
	int router;
	int target; /* index of its instance */
	int64_t head_us;
	int64_t end_us;
	bool answered;
};

/* Groups of requests that begin in one step. */
struct group_start {
	int prefix; /* of the first; the others have the next ones */
	int groups;
};

struct fleet {
	struct pb_manual_clock clk;
	struct pb_context *ctx;
	struct pb_random rnd;
	struct pb_registry *routers[ROUTERS];
	struct pb_peer_streams
	    *told[ROUTERS]; /* at the domain's first router */
	struct pb_peer_streams *remote[DOMAINS][DOMAINS];
	struct request requests[REQUESTS_MAX];
	size_t request_count;
	int held[INSTANCES];
	int64_t free_us[INSTANCES]; /* when all prompts there are read */
	bool cached[INSTANCES][PREFIXES];
	int judged;
	int above;
	double due; /* groups, of which the whole ones begin */
	int reads; /* of prompts that were not cached */
};

/* Router r is in domain r % DOMAINS; the first of each leads it. */
static int
leader_of(int router)
{
	return router % DOMAINS;
}

static struct fleet *
new_play(uint64_t seed)
{
	struct fleet *f = calloc(1, sizeof(*f));
	static const char *const domains[] = {"a", "b", "c", "d", "e"};
	int r, i;

	pb_init_manual_clock(&f->clk, 0);
	f->ctx = pb_new_context(&f->clk.base, NULL);
	f->rnd.state = seed;
	pb_advance_clock(&f->clk, PB_SEC);
	for (r = 0; r < ROUTERS; r++) {
		f->routers[r] = pb_new_registry(f->ctx, NULL, NULL);
		for (i = 0; i < INSTANCES; i++) {
			char id[16];
			struct pb_instance_entry e = {
			    .service = pb_str_from("s"),
			    .address = pb_str_from("127.0.0.1:80"),
			    .domain = pb_str_from(domains[i % DOMAINS]),
			    .slots = 24,
			    .started_ms = 1};

			snprintf(id, sizeof(id), "i%d", i);
			e.id = pb_str_from(id);
			pb_apply_instance(f->ctx, f->routers[r], &e);
		}
	}
	return f;
}

static void
drop_play(struct fleet *f)
{
	int r, d;

	for (r = 0; r < ROUTERS; r++)
		pb_drop_peer_streams(f->told[r]);
	for (r = 0; r < DOMAINS; r++)
		for (d = 0; d < DOMAINS; d++)
			pb_drop_peer_streams(f->remote[r][d]);
	for (r = 0; r < ROUTERS; r++)
		pb_drop_registry(f->ctx, f->routers[r]);
	pb_drop_context(f->ctx);
	free(f);
}

static struct pb_instance *
instance_of(struct fleet *f, int router, int index)
{
	char id[16];

	snprintf(id, sizeof(id), "i%d", index);
	return pb_find_instance(f->routers[router], pb_str_from(id));
}

static void
judge(struct fleet *f, int target, int64_t at_us)
{
	double mean = 0;
	int i;

	if (at_us < FROM_US)
		return;
	for (i = 0; i < INSTANCES; i++)
		mean += (double)f->held[i] / INSTANCES;
	f->judged++;
	f->above += f->held[target] > LOAD_FACTOR * mean + LOAD_FLOOR;
}

static void
send_request(struct fleet *f, int router, int prefix, int64_t at_us)
{
	struct request *req = &f->requests[f->request_count++];
	struct pb_placement p = {.service = pb_str_from("s"),
	    .domain = pb_str_from("a"),
	    .affinity = pb_hash_pair(1, (uint64_t)prefix + 1),
	    .rnd = &f->rnd};
	struct pb_placement_facts facts;
	struct pb_instance *inst =
	    pb_choose_instance(f->ctx, f->routers[router], &p, &facts);
	int t = atoi(inst->id + 1);

	judge(f, t, at_us);
	pb_note_dispatch(inst, true);
	f->held[t]++;
	if (f->free_us[t] < at_us)
		f->free_us[t] = at_us;
	f->free_us[t] += f->cached[t][prefix] ? CACHED_US : PROMPT_US;
	f->reads += !f->cached[t][prefix];
	f->cached[t][prefix] = true;
	*req = (struct request){
	    router, t, f->free_us[t], f->free_us[t] + STREAM_US, false};
}

static void
end_requests(struct fleet *f, int64_t at_us)
{
	size_t i;

	for (i = 0; i < f->request_count; i++) {
		struct request *req = &f->requests[i];
		struct pb_instance *inst;

		if (!req->answered && req->head_us <= at_us) {
			req->answered = true;
			inst = instance_of(f, req->router, req->target);
			pb_note_load(f->ctx, inst, f->held[req->target]);
		}
		if (req->end_us > at_us)
			continue;
		inst = instance_of(f, req->router, req->target);
		pb_note_release(inst, true);
		f->held[req->target]--;
		*req = f->requests[--f->request_count];
		i--;
	}
}

/* What one router has goes to the first of its domain, and all comes back. */
static void
ask_leader(struct fleet *f, int router)
{
	struct pb_stream_count counts[INSTANCES];
	struct pb_registry *leader = f->routers[leader_of(router)];
	size_t n = pb_read_streams(
	    f->ctx, f->routers[router], false, NULL, counts, INSTANCES);

	pb_drop_peer_streams(f->told[router]);
	f->told[router] =
	    pb_new_peer_streams(leader, PB_PEER_OWN_DOMAIN, counts, n);
	n = pb_read_streams(
	    f->ctx, leader, true, f->told[router], counts, INSTANCES);
	pb_set_aggregate_streams(f->ctx, f->routers[router], counts, n);
}

static void
tell_domains(struct fleet *f, int from)
{
	struct pb_stream_count counts[INSTANCES];
	size_t n = pb_read_streams(
	    f->ctx, f->routers[from], false, NULL, counts, INSTANCES);
	int to;

	for (to = 0; to < DOMAINS; to++) {
		if (to == from)
			continue;
		pb_drop_peer_streams(f->remote[from][to]);
		f->remote[from][to] = pb_new_peer_streams(
		    f->routers[to], PB_PEER_REMOTE, counts, n);
	}
}

static void
exchange(struct fleet *f, int64_t at_us)
{
	int r, period = TELL_US / STEP_US;

	for (r = 0; r < ROUTERS; r++) {
		if ((at_us / STEP_US + r) % period != 0)
			continue;
		if (r < DOMAINS)
			tell_domains(f, r);
		else
			ask_leader(f, r);
	}
}

/* Groups that begin at this step, and those that began one or two gaps ago. */
static void
send_groups(struct fleet *f, struct group_start *starts, int64_t at_us)
{
	int step = (int)(at_us / STEP_US);
	int back;

	starts[step].prefix = (int)(pb_next_uniform(&f->rnd) * PREFIXES);
	f->due += (double)PER_SEC / GROUP * STEP_US / PB_SEC;
	for (; f->due >= 1; f->due--)
		starts[step].groups++;
	for (back = 0; back < GROUP; back++) {
		const struct group_start *s = &starts[step - back * GROUP_GAP];
		int i;

		if (back * GROUP_GAP > step)
			return;
		for (i = 0; i < s->groups; i++)
			send_request(f,
			    (int)(pb_next_uniform(&f->rnd) * ROUTERS),
			    (s->prefix + i) % PREFIXES, at_us);
	}
}

/* The share of requests that reached an instance above the bound. */
static double
play(uint64_t seed, bool tells)
{
	struct group_start starts[PLAY_US / STEP_US] = {0};
	struct fleet *f = new_play(seed);
	double share;
	int64_t at_us;

	for (at_us = 0; at_us < PLAY_US; at_us += STEP_US) {
		end_requests(f, at_us);
		if (tells)
			exchange(f, at_us);
		send_groups(f, starts, at_us);
		pb_advance_clock(&f->clk, STEP_US);
	}
	share = (double)f->above / f->judged;
	printf("seed %llu, %s: %d of %d requests above the bound, "
	       "%d prompts read\n",
	    (unsigned long long)seed, tells ? "told" : "not told", f->above,
	    f->judged, f->reads);
	drop_play(f);
	return share;
}

/*
 * Guards against instances that hold far more than the mean because routers
 * do not know what others have sent there.
 */
static void
test_cold_start(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 5; seed++)
		CU_ASSERT(play(seed, true) <= SHARE_MAX);
}

/* Shows that the load of this test needs what routers tell each other. */
static void
test_without_telling(void)
{
	CU_ASSERT(play(1, false) > SHARE_MAX);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"cold start", test_cold_start},
	    {"without telling", test_without_telling}, CU_TEST_INFO_NULL};

	return run_suite("fleet load", tests);
}
