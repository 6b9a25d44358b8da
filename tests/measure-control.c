#include "poplarbeam/digest.h"
#include "poplarbeam/peer.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/*
 * Measures the control traffic of simulated fleets. Every router has its own
 * digest store and exchanges digests with a random peer in each period. Facts
 * are published at the rates expected for a fleet of the target size.
 */

#define STEP_US (10 * PB_MSEC)
#define EXCHANGE_PERIOD_US (500 * PB_MSEC)
#define WARMUP_US (30 * PB_SEC) /* not measured */
#define RUN_US (120 * PB_SEC) /* including the warm-up */
#define BUDGET_BYTES_PER_SEC 2000.0 /* of each router */
#define REGION_ROUTERS 102
#define REGION_CELLS 63
#define LOAD_PERIOD_US (5 * PB_SEC) /* between load facts of a cell */
/* Between facts about the demand of high-load accounts at a cell. */
#define ACCOUNT_PERIOD_US (10 * PB_SEC)
#define REVISION_PERIOD_US (7200 * PB_MSEC) /* 12,000 revisions a day */
#define HEALTH_PERIOD_US (20 * PB_SEC) /* between health facts of the fleet */
#define CELLS_MAX 256
#define RPC_COUNT 2000
#define REVISIONS_MAX 32
/* One exchange in this many, on average, chooses among all routers. */
#define FLEET_WIDE_ONE_IN 4

struct node {
	struct pb_digest *digest;
	int64_t phase_us;
	uint64_t revision;
	struct sim *sim;
	/*
	 * Publication times of the newest load fact [0] and account fact [1]
	 * that the router knows of each cell.
	 */
	int64_t newest_us[2][CELLS_MAX];
};

struct sim {
	struct pb_manual_clock clock;
	struct pb_context *ctx;
	struct pb_random rnd;
	struct node *nodes;
	int routers, cells, regions;
	double cpu_sec;
	uint64_t exchanges;
	/*
	 * Totals over all routers: counters at the end of the warm-up [0] and
	 * of the run [1], and the facts held at the last reading.
	 */
	uint64_t sent[2], dropped[2], received[2], facts;
	int64_t published_us[REVISIONS_MAX];
	/* Time until 99% and 100% of the routers knew each revision. */
	int64_t delay99_us[REVISIONS_MAX], delay100_us[REVISIONS_MAX];
	int known_count[REVISIONS_MAX]; /* routers that know each revision */
	uint64_t revision;
	size_t memory;
	double age_sum[2]; /* of facts about the own region, microseconds */
	uint64_t age_count;
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

/* Records that a router knows a revision. */
static void
learn_revision(struct node *node, uint64_t revision)
{
	struct sim *sim = node->sim;
	int64_t now = sim->clock.now_us;
	uint64_t r;

	/* A router that skips an older revision counts as knowing it. */
	for (r = node->revision + 1; r <= revision && r < REVISIONS_MAX; r++) {
		int known = ++sim->known_count[r];

		if (known * 100 >= sim->routers * 99 && sim->delay99_us[r] == 0)
			sim->delay99_us[r] = now - sim->published_us[r];
		if (known == sim->routers)
			sim->delay100_us[r] = now - sim->published_us[r];
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
		node->newest_us[0][fact->subject % CELLS_MAX] = (int64_t)value;
	if (fact->kind == PB_FACT_ACCOUNT)
		node->newest_us[1][fact->subject % CELLS_MAX] = (int64_t)value;
}

static void
publish_fact(struct sim *sim, int i, enum pb_fact_kind kind, uint64_t subject,
    uint64_t value, size_t len, int64_t ttl_us)
{
	uint8_t bytes[PB_FACT_VALUE_MAX] = {0};
	double start = cpu_seconds();

	memcpy(bytes, &value, sizeof(value));
	pb_publish_fact(
	    sim->ctx, sim->nodes[i].digest, kind, subject, bytes, len, ttl_us);
	sim->cpu_sec += cpu_seconds() - start;
}

static uint64_t
router_id(int i)
{
	return pb_hash_pair(0x5eed, (uint64_t)i);
}

/* Returns whether a cell publishes a fact with this period in this step. */
static bool
cell_is_due(const struct sim *sim, int c, int64_t now, int64_t period)
{
	int64_t offset = c * (period / sim->cells) / STEP_US * STEP_US;

	return (now + offset) % period == 0;
}

static void
publish_cell_facts(struct sim *sim, int64_t now)
{
	int c;

	for (c = 0; c < sim->cells; c++) {
		int owner = c * sim->routers / sim->cells;
		uint64_t id =
		    pb_hash_pair(7, (uint64_t)c) / CELLS_MAX * CELLS_MAX +
		    (uint64_t)c;

		if (cell_is_due(sim, c, now, LOAD_PERIOD_US)) {
			sim->nodes[owner].newest_us[0][c] = now;
			publish_fact(sim, owner, PB_FACT_CELL_LOAD, id,
			    (uint64_t)now, 8, 6 * LOAD_PERIOD_US);
		}
		if (cell_is_due(sim, c, now, ACCOUNT_PERIOD_US)) {
			sim->nodes[owner].newest_us[1][c] = now;
			publish_fact(sim, owner, PB_FACT_ACCOUNT, id,
			    (uint64_t)now, PB_FACT_VALUE_MAX,
			    6 * ACCOUNT_PERIOD_US);
		}
	}
}

static void
publish_due_facts(struct sim *sim, int64_t now)
{
	int64_t ttl_us = (int64_t)sim->routers * 2 * PB_SEC;
	int i, src = (int)(pb_next_random(&sim->rnd) % (uint64_t)sim->routers);

	if (ttl_us < 10 * PB_SEC)
		ttl_us = 10 * PB_SEC;
	if (now % PB_SEC == 0)
		for (i = 0; i < sim->routers; i++)
			publish_fact(
			    sim, i, PB_FACT_ROUTER, router_id(i), 1, 8, ttl_us);
	if (now >= WARMUP_US && (now - WARMUP_US) % REVISION_PERIOD_US == 0 &&
	    sim->revision < REVISIONS_MAX - 1 && now < RUN_US - 10 * PB_SEC) {
		sim->published_us[++sim->revision] = now;
		publish_fact(sim, src, PB_FACT_REVISION, 0,
		    swap64(sim->revision), 8, 60 * PB_SEC);
		learn_revision(&sim->nodes[src], sim->revision);
	}
	if (now % HEALTH_PERIOD_US == 0)
		publish_fact(sim, src, PB_FACT_HEALTH,
		    pb_next_random(&sim->rnd), 1, 8, 30 * PB_SEC);
	publish_cell_facts(sim, now);
}

static int
region_of(const struct sim *sim, const struct node *node)
{
	return (int)(node - sim->nodes) * sim->regions / sim->routers;
}

/*
 * Returns another router, chosen at random from the same region or, once in
 * FLEET_WIDE_ONE_IN exchanges on average, from the whole fleet.
 */
static struct node *
pick_peer(struct sim *sim, const struct node *from)
{
	uint64_t draw = pb_next_random(&sim->rnd) % FLEET_WIDE_ONE_IN;
	struct node *to;

	do
		to = &sim->nodes[pb_next_random(&sim->rnd) %
		    (uint64_t)sim->routers];
	while (to == from ||
	    (draw != 0 && region_of(sim, from) != region_of(sim, to)));
	return to;
}

static void
exchange(struct sim *sim, struct node *from)
{
	struct node *to = pick_peer(sim, from);
	uint8_t out[2048], in[2048];
	double start = cpu_seconds();
	size_t len, answer_len;

	if (region_of(sim, from) == region_of(sim, to))
		len = pb_pack_digest(sim->ctx, from->digest, out, sizeof(out));
	else
		len = pb_pack_cross_region_digest(
		    sim->ctx, from->digest, out, sizeof(out));
	if (len > 0) {
		sim->exchanges++;
		pb_answer_digest(sim->ctx, to->digest, out, len, on_fact, to,
		    in, sizeof(in), &answer_len);
		if (answer_len > 0)
			pb_merge_digest(sim->ctx, from->digest, in, answer_len,
			    on_fact, from);
	}
	sim->cpu_sec += cpu_seconds() - start;
}

static void
read_totals(struct sim *sim, int sample)
{
	struct pb_digest_stats stats;
	int i, c;

	sim->facts = 0;
	for (i = 0; i < sim->routers; i++) {
		pb_read_digest_stats(sim->nodes[i].digest, &stats);
		sim->sent[sample] += stats.sent_bytes;
		sim->received[sample] += stats.received_bytes;
		sim->dropped[sample] += stats.dropped_facts;
		sim->facts += stats.facts;
	}
	if (sample == 0)
		return;
	for (i = 0; i < sim->routers; i++)
		for (c = 0; c < sim->cells; c++) {
			struct node *node = &sim->nodes[i];
			int64_t now = sim->clock.now_us;

			if (c * sim->regions / sim->cells !=
			    region_of(sim, node))
				continue;
			sim->age_sum[0] +=
			    (double)(now - node->newest_us[0][c]);
			sim->age_sum[1] +=
			    (double)(now - node->newest_us[1][c]);
			sim->age_count++;
		}
}

static void
run_sim(struct sim *sim, int routers)
{
	size_t heap_before = mallinfo2().uordblks;
	int64_t now;
	int i;

	memset(sim, 0, sizeof(*sim));
	pb_init_manual_clock(&sim->clock, 0);
	sim->ctx = pb_new_context(&sim->clock.base, NULL);
	sim->rnd.state = 410;
	sim->routers = routers;
	sim->regions = routers > REGION_ROUTERS ? routers / REGION_ROUTERS : 1;
	sim->cells =
	    (routers * REGION_CELLS + REGION_ROUTERS - 1) / REGION_ROUTERS;
	sim->nodes = calloc((size_t)routers, sizeof(struct node));
	for (i = 0; i < routers; i++) {
		struct pb_digest_policy p = {.self = router_id(i),
		    .incarnation = 1775001600000000ULL + (uint64_t)i,
		    .fleet = 1,
		    .region = (uint32_t)(i * sim->regions / routers) + 1,
		    .bytes_per_sec = BUDGET_BYTES_PER_SEC,
		    .datagram_max = 1200,
		    .max_facts = 8192};

		sim->nodes[i].digest = pb_new_digest(sim->ctx, &p);
		sim->nodes[i].sim = sim;
		sim->nodes[i].phase_us = (int64_t)(pb_next_random(&sim->rnd) %
		    (uint64_t)EXCHANGE_PERIOD_US);
		pb_set_digest_peers(
		    sim->ctx, sim->nodes[i].digest, (size_t)routers - 1);
	}
	for (now = 0; now < RUN_US; now += STEP_US) {
		if (now == WARMUP_US) {
			read_totals(sim, 0);
			sim->cpu_sec = 0;
			sim->exchanges = 0;
		}
		publish_due_facts(sim, now);
		for (i = 0; i < routers; i++) {
			if (sim->nodes[i].phase_us > now ||
			    pb_next_exchange(
				sim->nodes[i].digest, EXCHANGE_PERIOD_US) > now)
				continue;
			exchange(sim, &sim->nodes[i]);
		}
		pb_advance_clock(&sim->clock, STEP_US);
	}
	read_totals(sim, 1);
	sim->memory = mallinfo2().uordblks - heap_before -
	    (size_t)routers * sizeof(struct node);
	for (i = 0; i < routers; i++)
		pb_drop_digest(sim->ctx, sim->nodes[i].digest);
	free(sim->nodes);
	pb_drop_context(sim->ctx);
}

/*
 * Prints the mean and maximum of the delays in seconds, or "-" for both if a
 * revision did not reach enough routers.
 */
static void
print_delays(const struct sim *sim, const int64_t *delays_us)
{
	int64_t sum = 0, max = 0;
	uint64_t r;

	for (r = 1; r <= sim->revision; r++) {
		if (delays_us[r] == 0) {
			printf(" - | - |");
			return;
		}
		sum += delays_us[r];
		max = delays_us[r] > max ? delays_us[r] : max;
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

/*
 * Returns the CPU time in microseconds of one RPC exchange over loopback,
 * client and server together.
 */
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

	for (i = 0; server != NULL && i < RPC_COUNT; i++)
		pb_exchange_digest(ctx, pb_peer_server_address(server), buf,
		    sizeof(buf), buf, sizeof(buf), &len, PB_SEC, NULL);
	start = (cpu_seconds() - start) * 1e6 / RPC_COUNT;
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
	double secs = (double)(RUN_US - WARMUP_US) / PB_SEC;
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
		    s->age_sum[0] / PB_SEC / (double)s->age_count,
		    s->age_sum[1] / PB_SEC / (double)s->age_count);
		print_delays(s, s->delay99_us);
		print_delays(s, s->delay100_us);
		printf("\n");
	}
	printf("\n| routers | digest CPU us/s | RPC CPU us/s | memory KiB |\n"
	       "|---|---|---|---|\n");
	for (i = 0; i < 4; i++)
		printf("| %d | %.0f | %.0f | %.0f |\n", sizes[i],
		    sims[i].cpu_sec * 1e6 / secs / sizes[i],
		    (double)sims[i].exchanges * rpc / secs / sizes[i],
		    (double)sims[i].memory / 1024 / sizes[i]);
	return 0;
}
