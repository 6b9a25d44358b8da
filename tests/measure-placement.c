#include "poplarbeam/cell.h"
#include "poplarbeam/lru.h"

#include "chat-trace.h"

#include <stdlib.h>
#include <string.h>

/*
 * Compares placement policies on one trace with small engine models and prints
 * a Markdown table. The first policy is the shipped cell.
 */

#define SEED 20260704
#define ENGINES 12
/* Mean per engine in the long run; the trace starts without chats. */
#define IN_FLIGHT 44
#define NODES 48 /* engines that ever live */
#define WARM (1200 * PB_SEC) /* not measured: chats and caches fill */
#define END (3000 * PB_SEC)
#define CHURN (90 * PB_SEC) /* between a leave, a crash, a leave, ... */
#define DOWN (15 * PB_SEC) /* from a leave or crash to the join */
#define CACHE_CHATS 400 /* chats whose prefix an engine keeps */
#define BOUND 1.25
#define INNER 1.20
#define FLOOR_WORK 20000
#define REPORT_LAG PB_SEC /* also the age of the mean of several owners */
#define DIGEST (500 * PB_MSEC)
#define AFTER_CHANGE PB_SEC /* allowed over the bound after a view change */
#define TAKEOVER (300 * PB_SEC) /* between changes of the cell's owner */
#define REQUESTS_MAX 200000

static const struct pb_cell_policy cell_policy = {
    .placement = {BOUND, INNER, FLOOR_WORK, 30 * PB_SEC, 3 * PB_SEC, 65536},
    .queue = {.rank_count = 1,
	.rank = {{"all", 0, 0, 60 * PB_SEC}},
	.max_items = 10000,
	.max_bytes = 1 << 30},
    .cells = 1,
    .containment_us = 600 * PB_SEC,
    .strikes = 2};

enum policy {
	P_CELL,
	P_TAKEOVER, /* the same cell with changes of its owner */
	P_PERFECT,
	P_RANDOM,
	P_ROBIN,
	P_LEAST,
	P_HASH,
	P_OWNERS,
	P_DIGESTS,
	P_COUNT
};

static const char *const names[P_COUNT] = {"this policy",
    "this policy, new owner every 5 min", "single scheduler, perfect knowledge",
    "random", "round robin", "least reported load, 1 s lag",
    "consistent hashing", "one owner per engine, mean 1 s old",
    "no owner, digests every 0.5 s"};

struct node {
	bool live;
	uint64_t incarnation;
	double load;
	double reported;
	double own[ROUTERS]; /* work sent by each router */
	double told[ROUTERS]; /* the same in its last digest */
	struct pb_lru *cache; /* chat -> tokens */
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
	uint64_t seq; /* orders events of the same time */
	enum event_kind kind;
	uint32_t call;
	uint64_t node_life; /* E_END: node and its incarnation */
};

struct result {
	double reusable[KINDS];
	double reused[KINDS];
	double worst; /* largest load over mean */
	int64_t over; /* time over the bound */
	int64_t over_late; /* of it, not right after a view change */
	double busy; /* node time spent on calls, microseconds */
	uint32_t calls;
	uint32_t held; /* refused or waited */
};

struct sim {
	enum policy policy;
	bool shipped; /* the policy runs the cell */
	bool resuming; /* a new owner is told of running calls */
	struct pb_manual_clock clk;
	struct pb_context *ctx;
	struct pb_cell *cell;
	struct pb_lru *located[ROUTERS];
	struct trace_call *calls; /* the trace, and repeats after crashes */
	uint32_t count;
	struct event *heap;
	size_t heap_len;
	uint64_t seq;
	struct node nodes[NODES];
	int node_count;
	int churns;
	int robin;
	double mean_told; /* load over engines as of the last report */
	int64_t changed; /* last view change */
	struct pb_random rnd; /* of the random policy */
	struct pb_random churn_rnd;
	struct result res;
};

static bool
before(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void
push(struct sim *s, int64_t at, enum event_kind kind, uint32_t call,
    uint64_t node_life)
{
	struct event e = {at, s->seq++, kind, call, node_life};
	size_t i = s->heap_len++;

	for (; i > 0 && before(&e, &s->heap[(i - 1) / 2]); i = (i - 1) / 2)
		s->heap[i] = s->heap[(i - 1) / 2];
	s->heap[i] = e;
}

static struct event
pop(struct sim *s)
{
	struct event top = s->heap[0], last = s->heap[--s->heap_len];
	size_t i = 0, c;

	while ((c = 2 * i + 1) < s->heap_len) {
		if (c + 1 < s->heap_len && before(&s->heap[c + 1], &s->heap[c]))
			c++;
		if (!before(&s->heap[c], &last))
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

/* Adds the time since the last event to the time over the bound. */
static void
measure_load(struct sim *s, int64_t until)
{
	double mean = total_load(s) / live_count(s), worst = 0;
	int64_t from = s->clk.now_us, late = s->changed + AFTER_CHANGE;
	int i;

	for (i = 0; i < s->node_count; i++)
		if (s->nodes[i].live && s->nodes[i].load > worst)
			worst = s->nodes[i].load;
	if (from < WARM || worst <= FLOOR_WORK || until <= from)
		return;
	if (worst / mean > s->res.worst)
		s->res.worst = worst / mean;
	if (worst <= BOUND * mean)
		return;
	s->res.over += until - from;
	if (until > late)
		s->res.over_late += until - (from > late ? from : late);
}

static uint32_t
cached_tokens(struct sim *s, int node, const struct trace_call *c)
{
	const uint64_t *v = pb_find_lru(s->nodes[node].cache, c->chat);
	uint32_t tokens = v != NULL ? (uint32_t)*v : 0;

	return tokens < c->reusable ? tokens : c->reusable;
}

/* Runs a call on a node. */
static void
start_call(struct sim *s, uint32_t i, int node)
{
	struct trace_call *c = &s->calls[i];
	struct node *n = &s->nodes[node];
	uint32_t reused = cached_tokens(s, node, c);
	int64_t time = c->answer * PER_TOKEN +
	    (int64_t)(c->prompt - reused) * PB_SEC / PREFILL_PER_SEC;

	c->node = node;
	n->load += c->work;
	n->own[c->router] += c->work;
	pb_set_lru(n->cache, c->chat, c->prompt);
	push(s, s->clk.now_us + time, E_END, i,
	    n->incarnation << 8 | (uint64_t)node);
	if (s->clk.now_us < WARM)
		return;
	s->res.reusable[c->kind] += c->reusable;
	s->res.reused[c->kind] += reused;
	s->res.busy += (double)time;
	s->res.calls++;
	s->res.held += c->waited;
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
	} else if (s->clk.now_us >= WARM) {
		s->res.calls++;
		s->res.held++;
	}
}

/* Load of a node as this policy knows it at the router of the call. */
static double
known_load(const struct sim *s, const struct trace_call *c, int node)
{
	const struct node *n = &s->nodes[node];
	double sum = n->own[c->router];
	int r;

	if (s->policy == P_LEAST)
		return n->reported;
	if (s->policy != P_DIGESTS)
		return n->load;
	for (r = 0; r < ROUTERS; r++)
		sum += r != c->router ? n->told[r] : 0;
	return sum;
}

static int
least_node(const struct sim *s, const struct trace_call *c)
{
	int i, best = -1;

	for (i = 0; i < s->node_count; i++)
		if (s->nodes[i].live &&
		    (best < 0 || known_load(s, c, i) < known_load(s, c, best)))
			best = i;
	return best;
}

/* The live node of place n in the rendezvous order of the chat. */
static int
hashed_node(const struct sim *s, uint64_t chat, int n)
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
within(const struct sim *s, const struct trace_call *c, int node, double limit)
{
	double total = c->work;
	int i, n = live_count(s);

	if (node < 0 || !s->nodes[node].live)
		return false;
	for (i = 0; i < s->node_count; i++)
		total += s->nodes[i].live ? known_load(s, c, i) : 0;
	if (s->policy == P_OWNERS)
		total = s->mean_told * n;
	return known_load(s, c, node) + c->work <= limit * total / n;
}

/* The node within the bound that has most of the prompt in its cache. */
static int
choose_perfect(struct sim *s, const struct trace_call *c)
{
	uint32_t tokens, most = 0;
	int i, best = least_node(s, c);

	for (i = 0; i < s->node_count; i++) {
		if (!within(s, c, i, BOUND))
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
		node = hashed_node(s, c->chat, i);
		if (within(s, c, node, INNER))
			return node;
	}
	c->waited = true;
	return least_node(s, c);
}

static int
choose_digests(struct sim *s, const struct trace_call *c)
{
	const uint64_t *at = pb_find_lru(s->located[c->router], c->chat);
	int i, node = at != NULL ? (int)*at : -1;

	for (i = 0; i < 2 && !within(s, c, node, INNER); i++)
		node = hashed_node(s, c->chat, i);
	if (!within(s, c, node, INNER))
		node = least_node(s, c);
	pb_set_lru(s->located[c->router], c->chat, (uint64_t)node);
	return node;
}

static int
choose_node(struct sim *s, struct trace_call *c)
{
	int node;

	switch (s->policy) {
	case P_PERFECT:
		return choose_perfect(s, c);
	case P_LEAST:
		return least_node(s, c);
	case P_HASH:
		return hashed_node(s, c->chat, 0);
	case P_OWNERS:
		return choose_owners(s, c);
	case P_DIGESTS:
		return choose_digests(s, c);
	default:
		break;
	}
	do {
		node = s->policy == P_ROBIN
		    ? s->robin++ % s->node_count
		    : (int)(pb_next_random(&s->rnd) % (uint64_t)s->node_count);
	} while (!s->nodes[node].live);
	return node;
}

/* Hands a call to the cell; resume_on as in struct pb_work. */
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
arrive(struct sim *s, uint32_t i)
{
	if (s->shipped)
		submit_call(s, i, 0);
	else
		start_call(s, i, choose_node(s, &s->calls[i]));
}

static void
end_call(struct sim *s, const struct event *e)
{
	struct trace_call *c = &s->calls[e->call];
	struct node *n = &s->nodes[e->node_life & 0xff];

	if (c->node < 0 || n->incarnation != e->node_life >> 8)
		return;
	c->node = -1;
	n->load -= c->work;
	n->own[c->router] -= c->work;
	pb_set_lru(n->cache, c->chat, c->prompt + c->answer);
	if (s->shipped)
		pb_finish_work(
		    s->ctx, s->cell, e->call, PB_OUTCOME_DONE, c->work);
}

static void
set_node(struct sim *s, int node, enum pb_upstream_state state)
{
	struct pb_upstream_info info = {(uint64_t)node + 1,
	    s->nodes[node].incarnation, 2.0 * IN_FLIGHT * 8000, 1, state};

	s->nodes[node].live = state == PB_UP_LIVE;
	s->changed = s->clk.now_us;
	if (s->shipped)
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
	set_node(s, node, PB_UP_LIVE);
}

/* Ends all calls on a node as broken off; their callers repeat them. */
static void
crash_node(struct sim *s, int node)
{
	struct node *n = &s->nodes[node];
	uint32_t i, count = s->count;

	set_node(s, node, PB_UP_EJECTED);
	n->load = 0;
	memset(n->own, 0, sizeof(n->own));
	for (i = 0; i < count; i++) {
		if (s->calls[i].node != node)
			continue;
		s->calls[i].node = -1;
		if (s->shipped)
			pb_finish_work(
			    s->ctx, s->cell, i, PB_OUTCOME_CRASHED, 0);
		s->calls[s->count] = s->calls[i];
		push(s, s->clk.now_us + 100 * PB_MSEC, E_ARRIVE, s->count++, 0);
	}
}

/* Alternates planned replacements by new engines and crashes with restart. */
static void
churn(struct sim *s)
{
	bool crash = s->churns++ % 2 == 1;
	int node;

	do {
		node = (int)(pb_next_random(&s->churn_rnd) %
		    (uint64_t)s->node_count);
	} while (!s->nodes[node].live);
	if (crash)
		crash_node(s, node);
	else
		set_node(s, node, PB_UP_LEAVING);
	push(s, s->clk.now_us + DOWN, E_JOIN,
	    (uint32_t)(crash ? node : s->node_count), 0);
	push(s, s->clk.now_us + CHURN, E_CHURN, 0, 0);
}

/*
 * Another router takes the cell over: it knows the load reports and the
 * running calls, which are resumed through it, but no chat locations.
 */
static void
take_over(struct sim *s)
{
	uint32_t i;
	int n;

	pb_drop_cell(s->ctx, s->cell);
	s->cell = pb_new_cell(s->ctx, &cell_policy, on_action, s);
	for (n = 0; n < s->node_count; n++) {
		if (!s->nodes[n].live)
			continue;
		set_node(s, n, PB_UP_LIVE);
		pb_report_cell_load(s->ctx, s->cell, (uint64_t)n + 1,
		    (uint64_t)s->nodes[n].reported, REPORT_LAG / 2);
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
handle(struct sim *s, const struct event *e)
{
	int i;

	switch (e->kind) {
	case E_ARRIVE:
		arrive(s, e->call);
		break;
	case E_END:
		end_call(s, e);
		break;
	case E_CHURN:
		churn(s);
		break;
	case E_JOIN:
		join_node(s, (int)e->call);
		break;
	case E_REPORT:
		for (i = 0; i < s->node_count; i++)
			s->nodes[i].reported = s->nodes[i].load;
		for (i = 0; s->shipped && i < s->node_count; i++)
			pb_report_cell_load(s->ctx, s->cell, (uint64_t)i + 1,
			    (uint64_t)s->nodes[i].load, 0);
		s->mean_told = total_load(s) / live_count(s);
		push(s, e->at + REPORT_LAG, E_REPORT, 0, 0);
		break;
	case E_DIGEST:
		for (i = 0; i < s->node_count; i++)
			memcpy(s->nodes[i].told, s->nodes[i].own,
			    sizeof(s->nodes[i].own));
		push(s, e->at + DIGEST, E_DIGEST, 0, 0);
		break;
	case E_TICK:
		push(s, pb_tick_cell(s->ctx, s->cell), E_TICK, 0, 0);
		break;
	case E_TAKEOVER:
		take_over(s);
		push(s, e->at + TAKEOVER, E_TAKEOVER, 0, 0);
		break;
	}
}

static void
open_sim(struct sim *s, const struct trace_call *trace, uint32_t count)
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
		s->located[n] = pb_new_lru(s->ctx, 65536);
	for (n = 0; n < ENGINES; n++)
		join_node(s, n);
	for (i = 0; i < count; i++) {
		s->calls[i].node = -1;
		push(s, s->calls[i].at, E_ARRIVE, i, 0);
	}
	push(s, WARM / 2, E_CHURN, 0, 0);
	push(s, 0, E_REPORT, 0, 0);
	push(s, 0, E_DIGEST, 0, 0);
	push(s, 0, E_TICK, 0, 0);
	if (s->policy == P_TAKEOVER)
		push(s, TAKEOVER, E_TAKEOVER, 0, 0);
}

static void
run_policy(enum policy policy, const struct trace_call *trace, uint32_t count,
    struct result *out)
{
	struct sim *s = calloc(1, sizeof(*s));
	struct event e;
	int n;

	s->policy = policy;
	s->shipped = policy == P_CELL || policy == P_TAKEOVER;
	open_sim(s, trace, count);
	for (e = pop(s); e.at < END; e = pop(s)) {
		measure_load(s, e.at);
		pb_advance_clock(&s->clk, e.at - s->clk.now_us);
		handle(s, &e);
	}
	*out = s->res;
	pb_drop_cell(s->ctx, s->cell);
	for (n = 0; n < ROUTERS; n++)
		pb_drop_lru(s->ctx, s->located[n]);
	for (n = 0; n < s->node_count; n++)
		pb_drop_lru(s->ctx, s->nodes[n].cache);
	pb_drop_context(s->ctx);
	free(s->calls);
	free(s->heap);
	free(s);
}

static double
reuse(const struct result *r)
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
	double span = (double)(END - WARM);
	int k;

	printf("| %s | %.1f%% | %.1f%% | %.2f | %.2f%% | %.2f%% | %.2f%% |",
	    name, 100 * reuse(r), 100 * reuse(r) / perfect, r->worst,
	    100 * (double)r->over / span, 100 * (double)r->over_late / span,
	    100.0 * r->held / r->calls);
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
	    trace, REQUESTS_MAX, SEED, END, ENGINES * IN_FLIGHT);
	int p, k;

	for (p = 0; p < P_COUNT; p++)
		run_policy((enum policy)p, trace, count, &res[p]);
	printf("Seed %d, %u requests, %d engines, %.1f in flight each, bound "
	       "%.2f, a leave or crash every %d s.\n\n",
	    SEED, count, ENGINES, res[P_CELL].busy / (END - WARM) / ENGINES,
	    BOUND, (int)(CHURN / PB_SEC));
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
		print_row(names[p], &res[p], reuse(&res[P_PERFECT]));
	free(trace);
	return 0;
}
