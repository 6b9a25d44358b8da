#include "lib/fleet.h"
#include "poplarbeam/queue.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Runs the real queue and limiter with a model of 12 engines and prints
 * Markdown tables. A request occupies one of an engine's places for its work
 * divided by the speed of the place. The seeds are fixed, so every run prints
 * the same tables.
 */

#define ENGINES 12
#define PLACES 42
#define PLACE_WORK_PER_SEC 100.0 /* work units per second */
#define CAPACITY (ENGINES * PLACES * PLACE_WORK_PER_SEC)
#define RANKS 4
#define STREAMS_MAX 64
#define WARMUP_US (180 * PB_SEC)
#define RUN_US (480 * PB_SEC) /* including the warm-up */
#define SEEDS 5
#define SAMPLES_MAX 400000
#define JOBS_MAX (ENGINES * PLACES)
#define ACCOUNTS_MAX 64
/*
 * Share of the requests refused for their expected wait that are queued anyway,
 * to check whether they would have missed their wait limit.
 */
#define PROBE_SHARE 0.05

static const char *const rank_names[RANKS] = {
    "urgent", "ordinary", "background", "batch"};
static const double mean_work[RANKS] = {400, 800, 1500, 3000};
static const int64_t wait_limit_us[RANKS] = {
    10 * PB_SEC, 20 * PB_SEC, 40 * PB_SEC, 60 * PB_SEC};

enum scheme {
	FIFO,
	STRICT,
	SHIPPED
};

static const char *const scheme_names[] = {
    "FIFO", "strict priority, no floors", "Poplarbeam"};

struct stream {
	int rank;
	uint64_t account;
	double load; /* share of CAPACITY */
	int64_t next_us;
};

struct job {
	struct pb_queue_item item;
	int rank; /* requested rank; FIFO queues all work in rank 0 */
	uint64_t account;
	int engine;
	int64_t end_us;
	int64_t probe_limit_us; /* wait limit of a probe; 0: no probe */
};

struct samples {
	double *ms;
	size_t count;
};

struct sim {
	enum scheme scheme;
	bool headroom_per_engine; /* instead of over the whole cell */
	struct pb_manual_clock clk;
	struct pb_context *ctx;
	struct pb_queue *queue;
	struct pb_random rnd;
	struct stream streams[STREAMS_MAX];
	int stream_count;
	struct job *running[JOBS_MAX]; /* heap ordered by end_us */
	int job_count;
	int used[ENGINES]; /* places in use */
	double busy_place_us; /* sum of the time that each place was in use */
};

/* Results of the runs with all seeds. */
struct result {
	struct samples rank[RANKS];
	struct samples small_accounts; /* accounts 32 and up */
	double work[RANKS]; /* started after the warm-up */
	double account_work[ACCOUNTS_MAX];
	double busy_share; /* mean share of the places in use */
	uint64_t refused, expired, probes, late_probes;
};

static struct result *current_result;
static bool headroom_per_engine;

static void
add_sample(struct samples *s, double ms)
{
	if (s->ms == NULL)
		s->ms = malloc(SAMPLES_MAX * sizeof(*s->ms));
	if (s->ms != NULL && s->count < SAMPLES_MAX)
		s->ms[s->count++] = ms;
}

static int
compare_double(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double
percentile(struct samples *s, double p)
{
	if (s->count == 0)
		return NAN;
	qsort(s->ms, s->count, sizeof(*s->ms), compare_double);
	return s->ms[(size_t)(p * (double)(s->count - 1))];
}

static void
push_job(struct sim *sim, struct job *job)
{
	struct job **heap = sim->running;
	int i = sim->job_count++, parent;

	for (; i > 0; i = parent) {
		parent = (i - 1) / 2;
		if (heap[parent]->end_us <= job->end_us)
			break;
		heap[i] = heap[parent];
	}
	heap[i] = job;
}

static struct job *
pop_job(struct sim *sim)
{
	struct job **heap = sim->running, *first = heap[0];
	struct job *last = heap[--sim->job_count];
	int i, child;

	for (i = 0; (child = 2 * i + 1) < sim->job_count; i = child) {
		if (child + 1 < sim->job_count &&
		    heap[child + 1]->end_us < heap[child]->end_us)
			child++;
		if (heap[child]->end_us >= last->end_us)
			break;
		heap[i] = heap[child];
	}
	heap[i] = last;
	return first;
}

static void
record_start(struct sim *sim, const struct job *job)
{
	int64_t now = pb_now(sim->ctx), wait = now - job->item.since_us;

	if (now < WARMUP_US)
		return;
	if (job->probe_limit_us > 0) {
		current_result->probes++;
		current_result->late_probes += wait > job->probe_limit_us;
	}
	add_sample(&current_result->rank[job->rank], (double)wait / PB_MSEC);
	if (job->account >= 32)
		add_sample(
		    &current_result->small_accounts, (double)wait / PB_MSEC);
	current_result->work[job->rank] += job->item.work;
	current_result->account_work[job->account] += job->item.work;
}

static enum pb_try_result
start_job(void *arg, struct pb_queue_item *item, double headroom)
{
	struct sim *sim = arg;
	struct job *job = (struct job *)item;
	int i, best = 0;

	for (i = 1; i < ENGINES; i++)
		if (sim->used[i] < sim->used[best])
			best = i;
	if (sim->used[best] >= PLACES ||
	    (sim->headroom_per_engine
		    ? sim->used[best] + 1 > PLACES * (1 - headroom) + 1e-9
		    : sim->job_count + 1 > JOBS_MAX * (1 - headroom) + 1e-9))
		return PB_TRY_NO_CAPACITY;
	sim->used[best]++;
	job->engine = best;
	job->end_us = pb_now(sim->ctx) +
	    (int64_t)(item->work / PLACE_WORK_PER_SEC * PB_SEC);
	record_start(sim, job);
	push_job(sim, job);
	return PB_TRY_PLACED;
}

static void
end_job(struct sim *sim)
{
	struct job *job = pop_job(sim);

	sim->used[job->engine]--;
	pb_complete_queue(sim->ctx, sim->queue, job->item.work);
	free(job);
}

static void
drop_job(void *arg, struct pb_queue_item *item)
{
	struct sim *sim = arg;

	current_result->expired += pb_now(sim->ctx) >= WARMUP_US;
	free(item);
}

static double
exponential(struct sim *sim, double mean)
{
	return -log(1 - pb_next_uniform(&sim->rnd)) * mean;
}

static void
handle_arrival(struct sim *sim, struct stream *s)
{
	struct job *job = calloc(1, sizeof(*job));
	struct pb_queue_item *displaced, *next;
	int64_t limit;
	int rc;

	s->next_us += (int64_t)exponential(
	    sim, mean_work[s->rank] / (s->load * CAPACITY) * PB_SEC);
	if (job == NULL)
		abort();
	job->rank = s->rank;
	job->account = s->account;
	job->item.rank = sim->scheme == FIFO ? 0 : s->rank;
	job->item.account = sim->scheme == FIFO ? 0 : s->account;
	job->item.weight = 1;
	job->item.work = (uint32_t)(mean_work[s->rank] *
	    (0.25 + 1.5 * pb_next_uniform(&sim->rnd)));
	job->item.bytes = 1000;
	job->item.since_us = pb_now(sim->ctx);
	limit = (int64_t)((double)wait_limit_us[s->rank] *
	    (0.5 + pb_next_uniform(&sim->rnd)));
	job->item.expire_us = job->item.since_us + limit;
	rc = pb_push_queue(sim->ctx, sim->queue, &job->item, &displaced);
	if (rc == PB_ETIMEDOUT && pb_next_uniform(&sim->rnd) < PROBE_SHARE) {
		job->probe_limit_us = limit;
		job->item.expire_us = INT64_MAX / 2;
		rc =
		    pb_push_queue(sim->ctx, sim->queue, &job->item, &displaced);
	}
	if (rc != PB_OK) {
		current_result->refused += pb_now(sim->ctx) >= WARMUP_US;
		free(job);
	}
	for (; displaced != NULL; displaced = next) {
		next = displaced->next;
		current_result->refused += pb_now(sim->ctx) >= WARMUP_US;
		free(displaced);
	}
}

static void
run_sim(struct sim *sim)
{
	struct stream *first;
	int64_t at, now;
	int i;

	for (now = 0; now < RUN_US; now = at) {
		first = &sim->streams[0];
		for (i = 1; i < sim->stream_count; i++)
			if (sim->streams[i].next_us < first->next_us)
				first = &sim->streams[i];
		at = first->next_us;
		if (sim->job_count > 0 && sim->running[0]->end_us < at)
			at = sim->running[0]->end_us;
		pb_advance_clock(&sim->clk, at - now);
		if (at >= WARMUP_US)
			sim->busy_place_us +=
			    (double)sim->job_count * (double)(at - now);
		if (sim->job_count > 0 && sim->running[0]->end_us == at)
			end_job(sim);
		else
			handle_arrival(sim, first);
		pb_expire_queue(sim->ctx, sim->queue, drop_job, sim);
		pb_serve_queue(sim->ctx, sim->queue, start_job, sim);
	}
}

static enum pb_try_result
discard_item(void *arg, struct pb_queue_item *item, double headroom)
{
	(void)arg;
	(void)headroom;
	free(item);
	return PB_TRY_PLACED;
}

/*
 * Returns the recommended policy. Floors are shares of the dispatched work,
 * headrooms are shares of the capacity.
 */
static struct pb_queue_policy
recommended_policy(void)
{
	struct pb_queue_policy p = {.rank_count = RANKS,
	    .max_items = 20000,
	    .max_bytes = 1ULL << 30,
	    .account_headroom = 0.015,
	    .rank = {{.floor = 0.30, .headroom = 0},
		{.floor = 0.20, .headroom = 0.03},
		{.floor = 0.10, .headroom = 0.04},
		{.floor = 0.05, .headroom = 0.05}}};

	return p;
}

static void
run_seeds(enum scheme scheme, const struct pb_queue_policy *policy,
    const struct stream *streams, int count, struct result *out)
{
	static struct sim sim;
	struct pb_queue_policy p = *policy;
	int i, seed;

	current_result = out;
	for (i = 0; scheme != SHIPPED && i < RANKS; i++)
		p.rank[i].floor = p.rank[i].headroom = 0;
	if (scheme != SHIPPED)
		p.account_headroom = 0;
	for (seed = 1; seed <= SEEDS; seed++) {
		memset(&sim, 0, sizeof(sim));
		sim.scheme = scheme;
		sim.headroom_per_engine = headroom_per_engine;
		pb_init_manual_clock(&sim.clk, 0);
		sim.ctx = pb_new_context(&sim.clk.base, NULL);
		sim.queue = pb_new_queue(sim.ctx, &p);
		sim.rnd.state = (uint64_t)seed;
		sim.stream_count = count;
		memcpy(sim.streams, streams, (size_t)count * sizeof(*streams));
		for (i = 0; i < count; i++)
			sim.streams[i].next_us =
			    (int64_t)(pb_next_uniform(&sim.rnd) * PB_SEC);
		run_sim(&sim);
		out->busy_share +=
		    sim.busy_place_us / (RUN_US - WARMUP_US) / JOBS_MAX / SEEDS;
		pb_serve_queue(sim.ctx, sim.queue, discard_item, NULL);
		while (sim.job_count > 0)
			end_job(&sim);
		pb_drop_queue(sim.ctx, sim.queue);
		pb_drop_context(sim.ctx);
	}
}

static void
free_result(struct result *r)
{
	int i;

	for (i = 0; i < RANKS; i++)
		free(r->rank[i].ms);
	free(r->small_accounts.ms);
	memset(r, 0, sizeof(*r));
}

/*
 * Fills in four streams per rank, one for each of four accounts that share the
 * load of the rank equally. Returns the number of streams.
 */
static int
make_rank_streams(struct stream *s, const double *load)
{
	int rank, i, n = 0;

	for (rank = 0; rank < RANKS; rank++)
		for (i = 0; i < 4; i++)
			s[n++] = (struct stream){.rank = rank,
			    .account = (uint64_t)(rank * 4 + i),
			    .load = load[rank] / 4};
	return n;
}

static void
print_urgent_row(const char *name, enum scheme scheme,
    const struct pb_queue_policy *policy, const double *load)
{
	struct stream s[STREAMS_MAX];
	struct result r[2];
	double flooded[RANKS], p99[2], p50[2];
	int i, n;

	memset(r, 0, sizeof(r));
	memcpy(flooded, load, sizeof(flooded));
	flooded[RANKS - 1] *= 10;
	for (i = 0; i < 2; i++) {
		n = make_rank_streams(s, i == 0 ? load : flooded);
		run_seeds(scheme, policy, s, n, &r[i]);
		p50[i] = percentile(&r[i].rank[0], 0.5);
		p99[i] = percentile(&r[i].rank[0], 0.99);
	}
	printf("| %s | %.1f | %.1f | %.1f | %.1f | ", name, p50[0], p99[0],
	    p50[1], p99[1]);
	if (p99[0] > 0)
		printf("%.2f", p99[1] / p99[0]);
	else
		printf("%s", p99[1] > 0 ? "from 0" : "1.00 (both 0)");
	printf(" | %.1f%% | %.1f | %.0f%% of %llu |\n", 100 * r[1].busy_share,
	    percentile(&r[1].rank[1], 0.99),
	    r[1].probes > 0
		? 100.0 * (double)r[1].late_probes / (double)r[1].probes
		: 0,
	    (unsigned long long)r[1].probes);
	free_result(&r[0]);
	free_result(&r[1]);
}

static void
print_urgent_table(const char *title, const double *load)
{
	static const double headroom_scales[] = {0, 0.5, 1, 1.5};
	struct pb_queue_policy p = recommended_policy();
	char name[64];
	int i, k;

	printf("\n### Urgent wait, tenfold flood of batch, %s\n\n"
	       "Waits in ms. Late probes: of the work refused early for its "
	       "expected wait,\n%.0f%% was queued all the same; the share of "
	       "it that missed its limit.\n\n"
	       "| policy | p50 | p99 | p50 flood | p99 flood | p99 ratio | "
	       "places in use | ordinary p99 flood | late probes |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
	    title, 100 * PROBE_SHARE);
	print_urgent_row(scheme_names[FIFO], FIFO, &p, load);
	print_urgent_row(scheme_names[STRICT], STRICT, &p, load);
	for (k = 0; k < 4; k++) {
		p = recommended_policy();
		for (i = 1; i < RANKS; i++)
			p.rank[i].headroom *= headroom_scales[k];
		snprintf(name, sizeof(name), "Poplarbeam, headroom x %.1f",
		    headroom_scales[k]);
		print_urgent_row(name, SHIPPED, &p, load);
	}
	p = recommended_policy();
	headroom_per_engine = true;
	print_urgent_row("headroom x 1.0, on each engine", SHIPPED, &p, load);
	headroom_per_engine = false;
}

static void
print_floor_table(void)
{
	static const double base[RANKS] = {0.30, 0.25, 0.15, 0.08};
	struct pb_queue_policy p = recommended_policy();
	struct stream s[STREAMS_MAX];
	struct result r;
	double load[RANKS], sum;
	int scheme, flood, i, n;

	printf("\n### Share of started work in a tenfold flood of one rank\n\n"
	       "In brackets: over the least that the rank is due, which is "
	       "its floor or,\nwhen less, its demand.\n\n"
	       "| policy | flooded rank |");
	for (i = 0; i < RANKS; i++)
		printf(" %s (floor %.0f%%) |", rank_names[i],
		    100 * p.rank[i].floor);
	printf("\n| --- | --- | --- | --- | --- | --- |\n");
	for (scheme = FIFO; scheme <= SHIPPED; scheme++)
		for (flood = 0; flood <= RANKS; flood++) {
			memset(&r, 0, sizeof(r));
			memcpy(load, base, sizeof(load));
			/*
			 * In the last run, urgent work alone nearly fills the
			 * cell.
			 */
			load[flood % RANKS] *= flood < RANKS ? 10 : 3.2;
			n = make_rank_streams(s, load);
			run_seeds((enum scheme)scheme, &p, s, n, &r);
			printf("| %s | %s |", scheme_names[scheme],
			    flood < RANKS ? rank_names[flood]
					  : "urgent at 96% load");
			for (sum = 0, i = 0; i < RANKS; i++)
				sum += r.work[i];
			for (i = 0; i < RANKS; i++)
				printf(" %.1f%% (%.3f) |",
				    100 * r.work[i] / sum,
				    r.work[i] / sum /
					fmin(p.rank[i].floor, load[i]));
			printf("\n");
			free_result(&r);
		}
}

static void
print_account_row(const char *name, enum scheme scheme,
    const struct pb_queue_policy *p, double small_load)
{
	struct stream s[STREAMS_MAX];
	struct result r[3];
	double sum = 0, square_sum = 0, p95[2];
	int i, n = 0, k;

	memset(r, 0, sizeof(r));
	/*
	 * Eight backlogged accounts of one rank, each with a load of 20% to 90%
	 * of the capacity.
	 */
	for (i = 0; i < 8; i++)
		s[n++] = (struct stream){
		    .rank = 1, .account = (uint64_t)i, .load = 0.2 + 0.1 * i};
	run_seeds(scheme, p, s, n, &r[2]);
	for (i = 0; i < 8; i++) {
		sum += r[2].account_work[i];
		square_sum += r[2].account_work[i] * r[2].account_work[i];
	}
	/* Small accounts, first alone and then with three large ones. */
	for (k = 0; k < 2; k++) {
		for (n = 0, i = 0; i < 10; i++)
			s[n++] = (struct stream){.rank = 1,
			    .account = (uint64_t)(32 + i),
			    .load = small_load / 10};
		for (i = 0; k == 1 && i < 3; i++)
			s[n++] = (struct stream){
			    .rank = 1, .account = (uint64_t)i, .load = 0.6};
		run_seeds(scheme, p, s, n, &r[k]);
		p95[k] = percentile(&r[k].small_accounts, 0.95);
	}
	printf("| %s | %.0f%% | %.4f | %.1f | %.1f | ", name, 100 * small_load,
	    sum * sum / (8 * square_sum), p95[0], p95[1]);
	if (p95[0] > 0)
		printf("%.2f", p95[1] / p95[0]);
	else
		printf("%s", p95[1] > 0 ? "from 0" : "1.00 (both 0)");
	printf(" | %.1f%% |\n", 100 * r[1].busy_share);
	for (i = 0; i < 3; i++)
		free_result(&r[i]);
}

static void
print_account_table(void)
{
	struct pb_queue_policy p = recommended_policy();
	const double loads[] = {0.3, 0.6};
	int i;

	printf("\n### Client accounts in one rank\n\n"
	       "Ten small accounts with the given load together; three large "
	       "accounts ask for\n60%% each. Waits in ms.\n\n"
	       "| policy | small load | Jain index | small p95 alone | "
	       "small p95 with large | ratio | places in use |\n"
	       "| --- | --- | --- | --- | --- | --- | --- |\n");
	for (i = 0; i < 2; i++) {
		print_account_row(scheme_names[FIFO], FIFO, &p, loads[i]);
		print_account_row(scheme_names[STRICT], STRICT, &p, loads[i]);
		p.account_headroom = 0;
		print_account_row(
		    "Poplarbeam, no account headroom", SHIPPED, &p, loads[i]);
		p = recommended_policy();
		print_account_row("Poplarbeam", SHIPPED, &p, loads[i]);
	}
}

static void
print_limit_row(
    const char *name, enum fleet_mode mode, int cells, double period)
{
	static struct fleet f;
	struct pb_account_limits limits = {200, 0, 0, 0.5};
	double excess = -1, rate_excess = -1, use = 0, ratio;
	int seed, step, seeds = 20;

	for (seed = 1; seed <= seeds; seed++) {
		fleet_start(&f, mode, cells, &limits, (uint64_t)seed);
		for (step = 0; step < 200 * 50; step++) {
			if (step % (int)(period * 50) == 0)
				fleet_randomize_demand(&f, 600);
			fleet_step(&f);
		}
		ratio = f.largest / (limits.requests_per_sec * 10);
		rate_excess = fmax(rate_excess, ratio - 1);
		excess = fmax(excess, ratio / (1 + limits.burst_sec / 10) - 1);
		use += f.admitted / f.admitted_combined / seeds;
		fleet_stop(&f);
	}
	printf("| %s | %d | %.0f s | %+.1f%% | %+.1f%% | %.0f%% |\n", name,
	    cells, period, 100 * excess, 100 * rate_excess, 100 * use);
}

static void
print_limit_table(void)
{
	static const int cells[] = {1, 2, 4, 8};
	static const double periods[] = {3, 10, 30};
	static const char *const names[] = {
	    "exchange of demand", "equal division", "whole limit in each cell"};
	int mode, c, p;

	printf("\n### Fleet limit of 200 requests/s, burst 0.5 s\n\n"
	       "Demand of 0 to 600/s per cell moves after each period; "
	       "reports every 0.5 s arrive\n0.5 to 2 s late. Largest excess "
	       "in any 10 s of 20 runs of 200 s. Use: admitted\nover what "
	       "one limiter with perfect knowledge admits.\n\n"
	       "| policy | cells | period | excess over rate and burst | "
	       "excess over rate | use |\n"
	       "| --- | --- | --- | --- | --- | --- |\n");
	for (mode = FLEET_EXCHANGE; mode <= FLEET_FULL_LIMIT; mode++)
		for (c = 0; c < 4; c++)
			for (p = 0; p < 3; p++)
				if (mode == FLEET_EXCHANGE || p == 1)
					print_limit_row(names[mode],
					    (enum fleet_mode)mode, cells[c],
					    periods[p]);
}

int
main(void)
{
	static const double normal[RANKS] = {0.30, 0.25, 0.15, 0.08};
	static const double high[RANKS] = {0.50, 0.25, 0.14, 0.07};

	printf("## Scheduling in a cell\n\n%d engines of %d places, %d seeds "
	       "of %d s each after %d s of warm-up.\n",
	    ENGINES, PLACES, SEEDS, (int)((RUN_US - WARMUP_US) / PB_SEC),
	    (int)(WARMUP_US / PB_SEC));
	print_urgent_table("78% load without it", normal);
	print_urgent_table("96% load without it", high);
	print_floor_table();
	print_account_table();
	print_limit_table();
	return 0;
}
