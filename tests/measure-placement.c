#include "poplarbeam/cell.h"
#include "poplarbeam/lru.h"

#include "chat-trace.h"

#include <stdlib.h>
#include <string.h>

/*
 * Compares placement policies on one trace of calls with a simple model of the
 * engines and prints a Markdown table. A node is one simulated engine. The
 * first two policies run the real cell.
 */

#define SEED 20260704
#define ENGINES 12
/*
 * Long-run mean of calls in flight per engine. The trace starts without chats,
 * so the number is lower at first.
 */
#define IN_FLIGHT 44
#define NODES_MAX 48 /* engines over the whole run, with replacements */
#define WARMUP_US (1200 * PB_SEC) /* not measured: chats and caches fill up */
#define END_US (3000 * PB_SEC)
/* From a planned leave to the next crash or the reverse. */
#define CHURN_PERIOD_US (90 * PB_SEC)
#define DOWNTIME_US (15 * PB_SEC) /* from a leave or crash to the next join */
#define CACHE_CHATS 400 /* chats whose prefix an engine caches */
#define LOAD_BOUND 1.25
#define INNER_LIMIT 1.20
#define FLOOR_WORK 20000
/*
 * Time between load reports. It is also the largest age of the mean load that
 * P_ENGINE_OWNERS uses.
 */
#define REPORT_PERIOD_US PB_SEC
#define DIGEST_PERIOD_US (500 * PB_MSEC)
/* How long the bound may be exceeded after a view change. */
#define VIEW_CHANGE_GRACE_US PB_SEC
#define TAKEOVER_PERIOD_US (300 * PB_SEC) /* between owner changes */
#define REQUESTS_MAX 200000

static const struct pb_cell_policy cell_policy = {
    .placement = {LOAD_BOUND, INNER_LIMIT, FLOOR_WORK, 30 * PB_SEC, 3 * PB_SEC,
	65536},
    .queue = {.rank_count = 1,
	.rank = {{"all", 0, 0, 60 * PB_SEC}},
	.max_items = 10000,
	.max_bytes = 1 << 30},
    .cells = 1,
    .containment_us = 600 * PB_SEC,
    .strikes = 2};

enum policy {
	P_CELL,
	P_TAKEOVER, /* P_CELL with periodic changes of the owner */
	P_PERFECT,
	P_RANDOM,
	P_ROUND_ROBIN,
	P_LEAST_LOADED,
	P_HASH,
	P_ENGINE_OWNERS,
	P_DIGESTS,
	P_COUNT
};

static const char *const policy_names[P_COUNT] = {"this policy",
    "this policy, new owner every 5 min", "single scheduler, perfect knowledge",
    "random", "round robin", "least reported load, 1 s lag",
    "consistent hashing", "one owner per engine, mean 1 s old",
    "no owner, digests every 0.5 s"};

struct node {
	bool live;
	uint64_t incarnation;
	double load;
	double reported_load;
	double sent_work[ROUTERS]; /* work sent by each router */
	double digest_work[ROUTERS]; /* sent_work as of the last digests */
	struct pb_lru *cache; /* from chat to cached tokens */
};

enum event_kind {
	E_ARRIVE,
	E_END,
	E_CHURN,
	E_JOIN,
	E_REPORT,
	E_DIGEST,
	E_TICK,
	E_TAKEOVER
};

struct event {
	int64_t at;
	uint64_t seq; /* order of events at the same time */
	enum event_kind kind;
	uint32_t call;
	uint64_t node_key; /* E_END: incarnation << 8 | node */
};

struct result {
	double reusable[KINDS];
	double reused[KINDS];
	double max_load_ratio; /* largest ratio of a node's load to the mean */
	int64_t over_us; /* time with a node over the bound */
	int64_t over_late_us; /* part of over_us after the grace time */
	double busy_us; /* sum of the run times of calls, microseconds */
	uint32_t calls;
	uint32_t refused_or_waited;
};

struct sim {
	enum policy policy;
	bool uses_cell; /* the policy runs the real cell */
	bool resuming; /* running calls are being resubmitted to a new owner */
	struct pb_manual_clock clk;
	struct pb_context *ctx;
	struct pb_cell *cell;
	struct pb_lru *chat_nodes[ROUTERS]; /* from chat to node; P_DIGESTS */
	struct trace_call *calls; /* the trace and retries after crashes */
	uint32_t count;
	struct event *heap;
	size_t heap_len;
	uint64_t seq;
	struct node nodes[NODES_MAX];
	int node_count;
	int churn_count;
	int next_node;
	double reported_mean; /* mean load at the last report */
	int64_t view_changed_us; /* time of the last view change */
	struct pb_random rnd; /* for P_RANDOM */
	struct pb_random churn_rnd;
	struct result res;
};

static bool
is_earlier(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void
push_event(struct sim *s, int64_t at, enum event_kind kind, uint32_t call,
    uint64_t node_key)
{
	struct event e = {at, s->seq++, kind, call, node_key};
	size_t i = s->heap_len++;

	for (; i > 0 && is_earlier(&e, &s->heap[(i - 1) / 2]); i = (i - 1) / 2)
		s->heap[i] = s->heap[(i - 1) / 2];
	s->heap[i] = e;
}

static struct event
pop_event(struct sim *s)
{
	struct event top = s->heap[0], last = s->heap[--s->heap_len];
	size_t i = 0, c;

	while ((c = 2 * i + 1) < s->heap_len) {
		if (c + 1 < s->heap_len &&
		    is_earlier(&s->heap[c + 1], &s->heap[c]))
			c++;
		if (!is_earlier(&s->heap[c], &last))
			break;
		s->heap[i] = s->heap[c];
		i = c;
	}
	s->heap[i] = last;
	return top;
}

static int
live_count(const struct sim *s)
{
	int i, n = 0;

	for (i = 0; i < s->node_count; i++)
		n += s->nodes[i].live;
	return n;
}

static double
total_load(const struct sim *s)
{
	double sum = 0;
	int i;

	for (i = 0; i < s->node_count; i++)
		sum += s->nodes[i].live ? s->nodes[i].load : 0;
	return sum;
}

/*
 * Updates the largest load ratio and the time over the bound for the time since
 * the last event.
 */
static void
measure_load(struct sim *s, int64_t until)
{
	double mean = total_load(s) / live_count(s), max_load = 0;
	int64_t from = s->clk.now_us,
		grace_end = s->view_changed_us + VIEW_CHANGE_GRACE_US;
	int i;

	for (i = 0; i < s->node_count; i++)
		if (s->nodes[i].live && s->nodes[i].load > max_load)
			max_load = s->nodes[i].load;
	if (from < WARMUP_US || max_load <= FLOOR_WORK || until <= from)
		return;
	if (max_load / mean > s->res.max_load_ratio)
		s->res.max_load_ratio = max_load / mean;
	if (max_load <= LOAD_BOUND * mean)
		return;
	s->res.over_us += until - from;
	if (until > grace_end)
		s->res.over_late_us +=
		    until - (from > grace_end ? from : grace_end);
}

static uint32_t
cached_tokens(struct sim *s, int node, const struct trace_call *c)
{
	const uint64_t *v = pb_find_lru(s->nodes[node].cache, c->chat);
	uint32_t tokens = v != NULL ? (uint32_t)*v : 0;

	return tokens < c->reusable ? tokens : c->reusable;
}

/* Starts a call on a node and schedules its end. */
static void
start_call(struct sim *s, uint32_t i, int node)
{
	struct trace_call *c = &s->calls[i];
	struct node *n = &s->nodes[node];
	uint32_t reused = cached_tokens(s, node, c);
	int64_t time = c->answer * TOKEN_TIME_US +
	    (int64_t)(c->prompt - reused) * PB_SEC / PREFILL_PER_SEC;

	c->node = node;
	n->load += c->work;
	n->sent_work[c->router] += c->work;
	pb_set_lru(n->cache, c->chat, c->prompt);
	push_event(s, s->clk.now_us + time, E_END, i,
	    n->incarnation << 8 | (uint64_t)node);
	if (s->clk.now_us < WARMUP_US)
		return;
	s->res.reusable[c->kind] += c->reusable;
	s->res.reused[c->kind] += reused;
	s->res.busy_us += (double)time;
	s->res.calls++;
	s->res.refused_or_waited += c->waited;
}

static void
on_action(void *arg, const struct pb_action *action)
{
	struct sim *s = arg;

	s->calls[action->id].waits = false;
	if (s->resuming)
		return;
	if (action->kind == PB_ACTION_START) {
		s->calls[action->id].waited |= action->waited_us > 0;
		start_call(s, (uint32_t)action->id, (int)action->upstream - 1);
	} else if (s->clk.now_us >= WARMUP_US) {
		s->res.calls++;
		s->res.refused_or_waited++;
	}
}

/* Returns the load of a node as the policy knows it at the call's router. */
static double
known_load(const struct sim *s, const struct trace_call *c, int node)
{
	const struct node *n = &s->nodes[node];
	double sum = n->sent_work[c->router];
	int r;

	if (s->policy == P_LEAST_LOADED)
		return n->reported_load;
	if (s->policy != P_DIGESTS)
		return n->load;
	for (r = 0; r < ROUTERS; r++)
		sum += r != c->router ? n->digest_work[r] : 0;
	return sum;
}

static int
least_loaded_node(const struct sim *s, const struct trace_call *c)
{
	int i, best = -1;

	for (i = 0; i < s->node_count; i++)
		if (s->nodes[i].live &&
		    (best < 0 || known_load(s, c, i) < known_load(s, c, best)))
			best = i;
	return best;
}

/* Returns the live node at position n of the rendezvous order of the chat. */
static int
rendezvous_node(const struct sim *s, uint64_t chat, int n)
{
	double score, best_score, limit = 1e300;
	int i, best = -1;

	for (; n >= 0; n--, limit = best_score) {
		best = -1;
		best_score = -1;
		for (i = 0; i < s->node_count; i++) {
			score = pb_rendezvous_score(chat, (uint64_t)i + 1, 1);
			if (s->nodes[i].live && score < limit &&
			    score > best_score) {
				best = i;
				best_score = score;
			}
		}
	}
	return best;
}

static bool
is_within_limit(
    const struct sim *s, const struct trace_call *c, int node, double limit)
{
	double total = c->work;
	int i, n = live_count(s);

	if (node < 0 || !s->nodes[node].live)
		return false;
	for (i = 0; i < s->node_count; i++)
		total += s->nodes[i].live ? known_load(s, c, i) : 0;
	if (s->policy == P_ENGINE_OWNERS)
		total = s->reported_mean * n;
	return known_load(s, c, node) + c->work <= limit * total / n;
}

/*
 * Returns the node within the bound that caches the most of the prompt, or the
 * least loaded node if no node within the bound caches any of it.
 */
static int
choose_perfect(struct sim *s, const struct trace_call *c)
{
	uint32_t tokens, most = 0;
	int i, best = least_loaded_node(s, c);

	for (i = 0; i < s->node_count; i++) {
		if (!is_within_limit(s, c, i, LOAD_BOUND))
			continue;
		tokens = cached_tokens(s, i, c);
		if (tokens > most) {
			most = tokens;
			best = i;
		}
	}
	return best;
}

static int
choose_owners(struct sim *s, struct trace_call *c)
{
	int i, node, n = live_count(s);

	for (i = 0; i < n; i++) {
		node = rendezvous_node(s, c->chat, i);
		if (is_within_limit(s, c, node, INNER_LIMIT))
			return node;
	}
	c->waited = true;
	return least_loaded_node(s, c);
}

static int
choose_digests(struct sim *s, const struct trace_call *c)
{
	const uint64_t *last = pb_find_lru(s->chat_nodes[c->router], c->chat);
	int i, node = last != NULL ? (int)*last : -1;

	for (i = 0; i < 2 && !is_within_limit(s, c, node, INNER_LIMIT); i++)
		node = rendezvous_node(s, c->chat, i);
	if (!is_within_limit(s, c, node, INNER_LIMIT))
		node = least_loaded_node(s, c);
	pb_set_lru(s->chat_nodes[c->router], c->chat, (uint64_t)node);
	return node;
}

static int
choose_node(struct sim *s, struct trace_call *c)
{
	int node;

	switch (s->policy) {
	case P_PERFECT:
		return choose_perfect(s, c);
	case P_LEAST_LOADED:
		return least_loaded_node(s, c);
	case P_HASH:
		return rendezvous_node(s, c->chat, 0);
	case P_ENGINE_OWNERS:
		return choose_owners(s, c);
	case P_DIGESTS:
		return choose_digests(s, c);
	default:
		break;
	}
	do {
		node = s->policy == P_ROUND_ROBIN
		    ? s->next_node++ % s->node_count
		    : (int)(pb_next_random(&s->rnd) % (uint64_t)s->node_count);
	} while (!s->nodes[node].live);
	return node;
}

/* Submits a call to the cell. For resume_on, see struct pb_work. */
static void
submit_call(struct sim *s, uint32_t i, uint64_t resume_on)
{
	struct trace_call *c = &s->calls[i];
	struct pb_work w = {.id = i,
	    .chat = c->chat,
	    .account = (uint64_t)c->kind + 1,
	    .weight = 1,
	    .work = c->work,
	    .bytes = 1,
	    .wait_us = 30 * PB_SEC,
	    .fingerprint = pb_hash_pair(c->chat, c->prompt),
	    .resume_on = resume_on};

	c->waits = true;
	pb_submit_work(s->ctx, s->cell, &w);
}

static void
handle_arrival(struct sim *s, uint32_t i)
{
	if (s->uses_cell)
		submit_call(s, i, 0);
	else
		start_call(s, i, choose_node(s, &s->calls[i]));
}

static void
end_call(struct sim *s, const struct event *e)
{
	struct trace_call *c = &s->calls[e->call];
	struct node *n = &s->nodes[e->node_key & 0xff];

	if (c->node < 0 || n->incarnation != e->node_key >> 8)
		return;
	c->node = -1;
	n->load -= c->work;
	n->sent_work[c->router] -= c->work;
	pb_set_lru(n->cache, c->chat, c->prompt + c->answer);
	if (s->uses_cell)
		pb_finish_work(
		    s->ctx, s->cell, e->call, PB_OUTCOME_DONE, c->work);
}

static void
set_node_state(struct sim *s, int node, enum pb_upstream_state state)
{
	struct pb_upstream_info info = {(uint64_t)node + 1,
	    s->nodes[node].incarnation, 2.0 * IN_FLIGHT * 8000, 1, state};

	s->nodes[node].live = state == PB_UP_LIVE;
	s->view_changed_us = s->clk.now_us;
	if (s->uses_cell)
		pb_set_cell_upstream(s->ctx, s->cell, &info);
}

static void
join_node(struct sim *s, int node)
{
	struct node *n = &s->nodes[node];

	if (node == s->node_count)
		s->node_count++;
	pb_drop_lru(s->ctx, n->cache);
	n->cache = pb_new_lru(s->ctx, CACHE_CHATS);
	n->incarnation++;
	set_node_state(s, node, PB_UP_LIVE);
}

/* Ends all calls on a node as crashed. Their callers retry them. */
static void
crash_node(struct sim *s, int node)
{
	struct node *n = &s->nodes[node];
	uint32_t i, count = s->count;

	set_node_state(s, node, PB_UP_EJECTED);
	n->load = 0;
	memset(n->sent_work, 0, sizeof(n->sent_work));
	for (i = 0; i < count; i++) {
		if (s->calls[i].node != node)
			continue;
		s->calls[i].node = -1;
		if (s->uses_cell)
			pb_finish_work(
			    s->ctx, s->cell, i, PB_OUTCOME_CRASHED, 0);
		s->calls[s->count] = s->calls[i];
		push_event(
		    s, s->clk.now_us + 100 * PB_MSEC, E_ARRIVE, s->count++, 0);
	}
}

/*
 * Takes a random live node down. Planned replacements by a new engine alternate
 * with crashes, after which the same engine restarts.
 */
static void
churn_node(struct sim *s)
{
	bool crash = s->churn_count++ % 2 == 1;
	int node;

	do {
		node = (int)(pb_next_random(&s->churn_rnd) %
		    (uint64_t)s->node_count);
	} while (!s->nodes[node].live);
	if (crash)
		crash_node(s, node);
	else
		set_node_state(s, node, PB_UP_LEAVING);
	push_event(s, s->clk.now_us + DOWNTIME_US, E_JOIN,
	    (uint32_t)(crash ? node : s->node_count), 0);
	push_event(s, s->clk.now_us + CHURN_PERIOD_US, E_CHURN, 0, 0);
}

/*
 * Replaces the owner of the cell. The new owner knows the load reports and the
 * running calls, which are resumed through it, but no chat locations.
 */
static void
take_over_cell(struct sim *s)
{
	uint32_t i;
	int n;

	pb_drop_cell(s->ctx, s->cell);
	s->cell = pb_new_cell(s->ctx, &cell_policy, on_action, s);
	for (n = 0; n < s->node_count; n++) {
		if (!s->nodes[n].live)
			continue;
		set_node_state(s, n, PB_UP_LIVE);
		pb_report_cell_load(s->ctx, s->cell, (uint64_t)n + 1,
		    (uint64_t)s->nodes[n].reported_load, REPORT_PERIOD_US / 2);
	}
	s->resuming = true;
	for (i = 0; i < s->count; i++)
		if (s->calls[i].node >= 0)
			submit_call(s, i, (uint64_t)s->calls[i].node + 1);
	s->resuming = false;
	for (i = 0; i < s->count; i++) {
		if (!s->calls[i].waits)
			continue;
		s->calls[i].waited = true;
		submit_call(s, i, 0);
	}
}

static void
handle_event(struct sim *s, const struct event *e)
{
	int i;

	switch (e->kind) {
	case E_ARRIVE:
		handle_arrival(s, e->call);
		break;
	case E_END:
		end_call(s, e);
		break;
	case E_CHURN:
		churn_node(s);
		break;
	case E_JOIN:
		join_node(s, (int)e->call);
		break;
	case E_REPORT:
		for (i = 0; i < s->node_count; i++)
			s->nodes[i].reported_load = s->nodes[i].load;
		for (i = 0; s->uses_cell && i < s->node_count; i++)
			pb_report_cell_load(s->ctx, s->cell, (uint64_t)i + 1,
			    (uint64_t)s->nodes[i].load, 0);
		s->reported_mean = total_load(s) / live_count(s);
		push_event(s, e->at + REPORT_PERIOD_US, E_REPORT, 0, 0);
		break;
	case E_DIGEST:
		for (i = 0; i < s->node_count; i++)
			memcpy(s->nodes[i].digest_work, s->nodes[i].sent_work,
			    sizeof(s->nodes[i].sent_work));
		push_event(s, e->at + DIGEST_PERIOD_US, E_DIGEST, 0, 0);
		break;
	case E_TICK:
		push_event(s, pb_tick_cell(s->ctx, s->cell), E_TICK, 0, 0);
		break;
	case E_TAKEOVER:
		take_over_cell(s);
		push_event(s, e->at + TAKEOVER_PERIOD_US, E_TAKEOVER, 0, 0);
		break;
	}
}

static void
init_sim(struct sim *s, const struct trace_call *trace, uint32_t count)
{
	uint32_t i;
	int n;

	pb_init_manual_clock(&s->clk, PB_SEC);
	s->ctx = pb_new_context(&s->clk.base, NULL);
	s->cell = pb_new_cell(s->ctx, &cell_policy, on_action, s);
	s->calls = malloc((REQUESTS_MAX + 10000) * sizeof(*s->calls));
	s->heap = malloc((REQUESTS_MAX + 20000) * sizeof(*s->heap));
	memcpy(s->calls, trace, count * sizeof(*trace));
	s->count = count;
	s->rnd.state = SEED;
	s->churn_rnd.state = SEED + 1;
	for (n = 0; n < ROUTERS; n++)
		s->chat_nodes[n] = pb_new_lru(s->ctx, 65536);
	for (n = 0; n < ENGINES; n++)
		join_node(s, n);
	for (i = 0; i < count; i++) {
		s->calls[i].node = -1;
		push_event(s, s->calls[i].at, E_ARRIVE, i, 0);
	}
	push_event(s, WARMUP_US / 2, E_CHURN, 0, 0);
	push_event(s, 0, E_REPORT, 0, 0);
	push_event(s, 0, E_DIGEST, 0, 0);
	push_event(s, 0, E_TICK, 0, 0);
	if (s->policy == P_TAKEOVER)
		push_event(s, TAKEOVER_PERIOD_US, E_TAKEOVER, 0, 0);
}

static void
run_policy(enum policy policy, const struct trace_call *trace, uint32_t count,
    struct result *out)
{
	struct sim *s = calloc(1, sizeof(*s));
	struct event e;
	int n;

	s->policy = policy;
	s->uses_cell = policy == P_CELL || policy == P_TAKEOVER;
	init_sim(s, trace, count);
	for (e = pop_event(s); e.at < END_US; e = pop_event(s)) {
		measure_load(s, e.at);
		pb_advance_clock(&s->clk, e.at - s->clk.now_us);
		handle_event(s, &e);
	}
	*out = s->res;
	pb_drop_cell(s->ctx, s->cell);
	for (n = 0; n < ROUTERS; n++)
		pb_drop_lru(s->ctx, s->chat_nodes[n]);
	for (n = 0; n < s->node_count; n++)
		pb_drop_lru(s->ctx, s->nodes[n].cache);
	pb_drop_context(s->ctx);
	free(s->calls);
	free(s->heap);
	free(s);
}

static double
reuse_ratio(const struct result *r)
{
	double reused = 0, reusable = 0;
	int k;

	for (k = 0; k < KINDS; k++) {
		reused += r->reused[k];
		reusable += r->reusable[k];
	}
	return reused / reusable;
}

static void
print_row(const char *name, const struct result *r, double perfect)
{
	double span = (double)(END_US - WARMUP_US);
	int k;

	printf("| %s | %.1f%% | %.1f%% | %.2f | %.2f%% | %.2f%% | %.2f%% |",
	    name, 100 * reuse_ratio(r), 100 * reuse_ratio(r) / perfect,
	    r->max_load_ratio, 100 * (double)r->over_us / span,
	    100 * (double)r->over_late_us / span,
	    100.0 * r->refused_or_waited / r->calls);
	for (k = 0; k < KINDS; k++)
		printf(" %.1f%% |", 100 * r->reused[k] / r->reusable[k]);
	printf("\n");
}

int
main(void)
{
	struct trace_call *trace = calloc(REQUESTS_MAX, sizeof(*trace));
	struct result res[P_COUNT];
	uint32_t count = make_chat_trace(
	    trace, REQUESTS_MAX, SEED, END_US, ENGINES * IN_FLIGHT);
	int p, k;

	for (p = 0; p < P_COUNT; p++)
		run_policy((enum policy)p, trace, count, &res[p]);
	printf("Seed %d, %u requests, %d engines, %.1f in flight each, bound "
	       "%.2f, a leave or crash every %d s.\n\n",
	    SEED, count, ENGINES,
	    res[P_CELL].busy_us / (END_US - WARMUP_US) / ENGINES, LOAD_BOUND,
	    (int)(CHURN_PERIOD_US / PB_SEC));
	printf(
	    "| policy | reuse | of perfect | largest load / mean | time over "
	    "bound | of it later than 1 s after a view change | refused or "
	    "waiting |");
	for (k = 0; k < KINDS; k++)
		printf(" reuse %s |", trace_kinds[k].name);
	printf("\n|");
	for (k = 0; k < 7 + KINDS; k++)
		printf(" --- |");
	printf("\n");
	for (p = 0; p < P_COUNT; p++)
		print_row(
		    policy_names[p], &res[p], reuse_ratio(&res[P_PERFECT]));
	free(trace);
	return 0;
}
