#include "poplarbeam/digest.h"
#include "poplarbeam/peer.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/*
 * Measures the control traffic of simulated fleets: every router runs its own
 * digest and exchanges one with a random peer in each period. Facts are stated
 * at the rate of the target size.
 */

#define STEP_US (10 * PB_MSEC)
#define PERIOD_US (500 * PB_MSEC)
#define WARM_US (30 * PB_SEC) /* before anything is counted */
#define RUN_US (120 * PB_SEC)
#define BUDGET 2000.0 /* bytes per second */
#define REGION 102 /* routers */
#define REGION_CELLS 63
#define LOAD_US (5 * PB_SEC) /* between two loads of a cell */
#define ACCOUNT_US (10 * PB_SEC) /* between two facts of heavy accounts */
#define REVISION_US (7200 * PB_MSEC) /* 12,000 a day */
#define HEALTH_US (20 * PB_SEC) /* between two events of upstreams */
#define CELLS_MAX 256
#define RPC_ROUNDS 2000
#define REVISIONS 32
#define FAR_ONE_IN 4 /* exchanges */

struct node {
	struct pb_digest *digest;
	int64_t phase_us;
	uint64_t revision;
	struct sim *sim;
	/* Times of the newest load and account facts known of each cell. */
	int64_t heard[2][CELLS_MAX];
};

struct sim {
	struct pb_manual_clock clock;
	struct pb_context *ctx;
	struct pb_random rnd;
	struct node *nodes;
	int routers, cells, regions;
	double cpu; /* seconds */
	uint64_t exchanges;
	uint64_t sent[2], dropped[2], received[2], facts;
	int64_t stated[REVISIONS];
	int64_t known99[REVISIONS], known100[REVISIONS];
	int knowing[REVISIONS];
	uint64_t revision;
	size_t memory;
	double age[2]; /* sums of the ages in the own region, seconds */
	uint64_t ages;
};

static uint64_t
swap64(uint64_t v)
{
	return __builtin_bswap64(v);
}

static double
cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* A revision that one more router knows. */
static void
learn_revision(struct node *node, uint64_t revision)
{
	struct sim *sim = node->sim;
	int64_t now = sim->clock.now_us;
	uint64_t r;

	/* An older one that is skipped counts as known. */
	for (r = node->revision + 1; r <= revision && r < REVISIONS; r++) {
		int known = ++sim->knowing[r];

		if (known * 100 >= sim->routers * 99 && sim->known99[r] == 0)
			sim->known99[r] = now - sim->stated[r];
		if (known == sim->routers)
			sim->known100[r] = now - sim->stated[r];
	}
	if (revision > node->revision)
		node->revision = revision;
}

static void
on_fact(void *arg, const struct pb_fact *fact)
{
	struct node *node = arg;
	uint64_t value;

	memcpy(&value, fact->value, sizeof(value));
	if (fact->kind == PB_FACT_REVISION)
		learn_revision(node, swap64(value));
	if (fact->kind == PB_FACT_CELL_LOAD)
		node->heard[0][fact->subject % CELLS_MAX] = (int64_t)value;
	if (fact->kind == PB_FACT_ACCOUNT)
		node->heard[1][fact->subject % CELLS_MAX] = (int64_t)value;
}

static void
state(struct sim *sim, int i, enum pb_fact_kind kind, uint64_t subject,
    uint64_t value, size_t len, int64_t ttl_us)
{
	uint8_t bytes[PB_FACT_VALUE_MAX] = {0};
	double start = cpu_seconds();

	memcpy(bytes, &value, sizeof(value));
	pb_publish_fact(
	    sim->ctx, sim->nodes[i].digest, kind, subject, bytes, len, ttl_us);
	sim->cpu += cpu_seconds() - start;
}

static uint64_t
router_id(int i)
{
	return pb_hash_pair(0x5eed, (uint64_t)i);
}

/* True in the step in which the cell states a fact with this period. */
static bool
cell_is_due(const struct sim *sim, int c, int64_t now, int64_t period)
{
	int64_t offset = c * (period / sim->cells) / STEP_US * STEP_US;

	return (now + offset) % period == 0;
}

static void
state_cells(struct sim *sim, int64_t now)
{
	int c;

	for (c = 0; c < sim->cells; c++) {
		int owner = c * sim->routers / sim->cells;
		uint64_t id =
		    pb_hash_pair(7, (uint64_t)c) / CELLS_MAX * CELLS_MAX +
		    (uint64_t)c;

		if (cell_is_due(sim, c, now, LOAD_US)) {
			sim->nodes[owner].heard[0][c] = now;
			state(sim, owner, PB_FACT_CELL_LOAD, id, (uint64_t)now,
			    8, 6 * LOAD_US);
		}
		if (cell_is_due(sim, c, now, ACCOUNT_US)) {
			sim->nodes[owner].heard[1][c] = now;
			state(sim, owner, PB_FACT_ACCOUNT, id, (uint64_t)now,
			    PB_FACT_VALUE_MAX, 6 * ACCOUNT_US);
		}
	}
}

static void
state_facts(struct sim *sim, int64_t now)
{
	int64_t live = (int64_t)sim->routers * 2 * PB_SEC;
	int i, at = (int)(pb_next_random(&sim->rnd) % (uint64_t)sim->routers);

	if (live < 10 * PB_SEC)
		live = 10 * PB_SEC;
	if (now % PB_SEC == 0)
		for (i = 0; i < sim->routers; i++)
			state(sim, i, PB_FACT_ROUTER, router_id(i), 1, 8, live);
	if (now >= WARM_US && (now - WARM_US) % REVISION_US == 0 &&
	    sim->revision < REVISIONS - 1 && now < RUN_US - 10 * PB_SEC) {
		sim->stated[++sim->revision] = now;
		state(sim, at, PB_FACT_REVISION, 0, swap64(sim->revision), 8,
		    60 * PB_SEC);
		learn_revision(&sim->nodes[at], sim->revision);
	}
	if (now % HEALTH_US == 0)
		state(sim, at, PB_FACT_HEALTH, pb_next_random(&sim->rnd), 1, 8,
		    30 * PB_SEC);
	state_cells(sim, now);
}

static int
region_of(const struct sim *sim, const struct node *node)
{
	return (int)(node - sim->nodes) * sim->regions / sim->routers;
}

/* One exchange in FAR_ONE_IN goes to any router of the fleet. */
static struct node *
pick_peer(struct sim *sim, const struct node *from)
{
	uint64_t far = pb_next_random(&sim->rnd) % FAR_ONE_IN;
	struct node *to;

	do
		to = &sim->nodes[pb_next_random(&sim->rnd) %
		    (uint64_t)sim->routers];
	while (to == from ||
	    (far != 0 && region_of(sim, from) != region_of(sim, to)));
	return to;
}

static void
exchange(struct sim *sim, struct node *from)
{
	struct node *to = pick_peer(sim, from);
	uint8_t out[2048], in[2048];
	double start = cpu_seconds();
	size_t len, answer;

	if (region_of(sim, from) == region_of(sim, to))
		len = pb_pack_digest(sim->ctx, from->digest, out, sizeof(out));
	else
		len = pb_pack_cross_region_digest(
		    sim->ctx, from->digest, out, sizeof(out));
	if (len > 0) {
		sim->exchanges++;
		pb_answer_digest(sim->ctx, to->digest, out, len, on_fact, to,
		    in, sizeof(in), &answer);
		if (answer > 0)
			pb_merge_digest(
			    sim->ctx, from->digest, in, answer, on_fact, from);
	}
	sim->cpu += cpu_seconds() - start;
}

static void
read_totals(struct sim *sim, int at)
{
	struct pb_digest_stats stats;
	int i, c;

	sim->facts = 0;
	for (i = 0; i < sim->routers; i++) {
		pb_read_digest_stats(sim->nodes[i].digest, &stats);
		sim->sent[at] += stats.sent_bytes;
		sim->received[at] += stats.received_bytes;
		sim->dropped[at] += stats.dropped_facts;
		sim->facts += stats.facts;
	}
	if (at == 0)
		return;
	for (i = 0; i < sim->routers; i++)
		for (c = 0; c < sim->cells; c++) {
			struct node *node = &sim->nodes[i];
			int64_t now = sim->clock.now_us;

			if (c * sim->regions / sim->cells !=
			    region_of(sim, node))
				continue;
			sim->age[0] += (double)(now - node->heard[0][c]);
			sim->age[1] += (double)(now - node->heard[1][c]);
			sim->ages++;
		}
}

static void
run_sim(struct sim *sim, int routers)
{
	size_t before = mallinfo2().uordblks;
	int64_t now;
	int i;

	memset(sim, 0, sizeof(*sim));
	pb_init_manual_clock(&sim->clock, 0);
	sim->ctx = pb_new_context(&sim->clock.base, NULL);
	sim->rnd.state = 410;
	sim->routers = routers;
	sim->regions = routers > REGION ? routers / REGION : 1;
	sim->cells = (routers * REGION_CELLS + REGION - 1) / REGION;
	sim->nodes = calloc((size_t)routers, sizeof(struct node));
	for (i = 0; i < routers; i++) {
		struct pb_digest_policy p = {.self = router_id(i),
		    .incarnation = 1775001600000000ULL + (uint64_t)i,
		    .fleet = 1,
		    .region = (uint32_t)(i * sim->regions / routers) + 1,
		    .bytes_per_sec = BUDGET,
		    .datagram_max = 1200,
		    .max_facts = 8192};

		sim->nodes[i].digest = pb_new_digest(sim->ctx, &p);
		sim->nodes[i].sim = sim;
		sim->nodes[i].phase_us =
		    (int64_t)(pb_next_random(&sim->rnd) % (uint64_t)PERIOD_US);
		pb_set_digest_peers(
		    sim->ctx, sim->nodes[i].digest, (size_t)routers - 1);
	}
	for (now = 0; now < RUN_US; now += STEP_US) {
		if (now == WARM_US) {
			read_totals(sim, 0);
			sim->cpu = 0;
			sim->exchanges = 0;
		}
		state_facts(sim, now);
		for (i = 0; i < routers; i++) {
			if (sim->nodes[i].phase_us > now ||
			    pb_next_exchange(sim->nodes[i].digest, PERIOD_US) >
				now)
				continue;
			exchange(sim, &sim->nodes[i]);
		}
		pb_advance_clock(&sim->clock, STEP_US);
	}
	read_totals(sim, 1);
	sim->memory = mallinfo2().uordblks - before -
	    (size_t)routers * sizeof(struct node);
	for (i = 0; i < routers; i++)
		pb_drop_digest(sim->ctx, sim->nodes[i].digest);
	free(sim->nodes);
	pb_drop_context(sim->ctx);
}

/* Prints mean and maximum of the delays in seconds; "-" marks a missing one. */
static void
print_delays(const struct sim *sim, const int64_t *known)
{
	int64_t sum = 0, max = 0;
	uint64_t r;

	for (r = 1; r <= sim->revision; r++) {
		if (known[r] == 0) {
			printf(" - | - |");
			return;
		}
		sum += known[r];
		max = known[r] > max ? known[r] : max;
	}
	printf(" %.2f | %.2f |", (double)sum / PB_SEC / (double)sim->revision,
	    (double)max / PB_SEC);
}

static int
echo_digest(struct pb_context *ctx, void *arg, const uint8_t *in, size_t in_len,
    uint8_t *out, size_t cap, size_t *out_len)
{
	(void)ctx;
	(void)arg;
	*out_len = in_len < cap ? in_len : cap;
	memcpy(out, in, *out_len);
	return PB_OK;
}

/* CPU microseconds of one RPC exchange over loopback, both sides together. */
static double
measure_rpc(void)
{
	static const struct pb_peer_ops ops = {.exchange = echo_digest};
	struct pb_context *ctx = pb_new_context(pb_system_clock(), NULL);
	struct pb_peer_server *server =
	    pb_new_peer_server(ctx, "127.0.0.1:0", &ops, NULL, NULL);
	uint8_t buf[400] = {0};
	double start = cpu_seconds();
	size_t len;
	int i;

	for (i = 0; server != NULL && i < RPC_ROUNDS; i++)
		pb_exchange_digest(ctx, pb_peer_server_address(server), buf,
		    sizeof(buf), buf, sizeof(buf), &len, PB_SEC, NULL);
	start = (cpu_seconds() - start) * 1e6 / RPC_ROUNDS;
	pb_drop_peer_server(ctx, server);
	pb_drop_context(ctx);
	return start;
}

int
main(void)
{
	double rpc = measure_rpc();
	static const int sizes[] = {9, 40, 102, 410};
	static struct sim sims[4];
	double secs = (double)(RUN_US - WARM_US) / PB_SEC;
	int i;

	printf(
	    "| routers | cells | sent B/s | received B/s | facts held | "
	    "facts dropped/s | load age s | account age s | 99%% mean s | 99%% max s | "
	    "100%% mean s | 100%% max s |\n"
	    "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
	for (i = 0; i < 4; i++) {
		struct sim *s = &sims[i];
		double n = sizes[i];

		run_sim(s, sizes[i]);
		printf("| %d | %d | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f |",
		    s->routers, s->cells,
		    (double)(s->sent[1] - s->sent[0]) / secs / n,
		    (double)(s->received[1] - s->received[0]) / secs / n,
		    (double)s->facts / n,
		    (double)(s->dropped[1] - s->dropped[0]) / secs / n,
		    s->age[0] / PB_SEC / (double)s->ages,
		    s->age[1] / PB_SEC / (double)s->ages);
		print_delays(s, s->known99);
		print_delays(s, s->known100);
		printf("\n");
	}
	printf("\n| routers | digest CPU us/s | RPC CPU us/s | memory KiB |\n"
	       "|---|---|---|---|\n");
	for (i = 0; i < 4; i++)
		printf("| %d | %.0f | %.0f | %.0f |\n", sizes[i],
		    sims[i].cpu * 1e6 / secs / sizes[i],
		    (double)sims[i].exchanges * rpc / secs / sizes[i],
		    (double)sims[i].memory / 1024 / sizes[i]);
	return 0;
}
