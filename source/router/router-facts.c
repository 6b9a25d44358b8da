#include "router-internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * With one exchange per router and period, a renewal takes longer to reach all
 * routers the more there are.
 */
#define STATE_TTL_MIN (10 * PB_SEC)
#define STATE_TTL_ROUTER (2 * PB_SEC) /* per router of the fleet */
#define HEALTH_TTL (10 * PB_SEC)
#define REVISION_TTL (60 * PB_SEC)
#define LEAVING_TTL (120 * PB_SEC)
#define ACCOUNT_TTL (60 * PB_SEC)
#define LOAD_TTL (20 * PB_SEC)
#define HEAVY_ACCOUNTS 8 /* stated per cell */
#define CONTAINED_MAX 32 /* stated per cell */
#define LOAD_STEPS 10
#define CELLS_KNOWN 64 /* cells of one service in a region */
#define FACTS_READ 1024 /* account facts read in one round */

/* Value of PB_FACT_ROUTER and PB_FACT_LEAVING, in network byte order. */
struct state_value {
	uint8_t incarnation[8];
	uint8_t leaving;
};

/* Value of PB_FACT_CELL_LOAD; between routers of one byte order only. */
struct load_value {
	uint64_t service;
	float load; /* work units in flight */
	float capacity; /* work units */
};

/* Value of PB_FACT_ACCOUNT; between routers of one byte order only. */
struct account_value {
	uint64_t cell;
	uint64_t service;
	struct pb_account_demand demand;
};

_Static_assert(sizeof(struct account_value) <= PB_FACT_VALUE_MAX,
    "an account's demand does not fit a fact");

static void
state(struct pb_context *ctx, struct pb_router *r, enum pb_fact_kind kind,
    uint64_t subject, const void *value, size_t len, int64_t ttl_us)
{
	pthread_mutex_lock(&r->digest_lock);
	pb_publish_fact(ctx, r->digest, kind, subject, value, len, ttl_us);
	pthread_mutex_unlock(&r->digest_lock);
}

/* States this router's own state and the upstreams known to be leaving. */
static void
state_members(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_view *view = pb_node_view(r->node);
	struct state_value v;
	int64_t ttl_us = 0;
	size_t i;

	for (i = 0; view != NULL && i < view->count; i++)
		ttl_us += view->members[i].info.role == PB_ROLE_ROUTER
		    ? STATE_TTL_ROUTER
		    : 0;
	if (ttl_us < STATE_TTL_MIN)
		ttl_us = STATE_TTL_MIN;
	for (i = 0; view != NULL && i < view->count; i++) {
		const struct pb_member *m = &view->members[i];

		pb_put_u64(v.incarnation, m->info.incarnation);
		v.leaving = m->health == PB_HEALTH_LEAVING;
		if (m->id_hash == r->node->id_hash)
			state(ctx, r, PB_FACT_ROUTER, m->id_hash, &v, sizeof(v),
			    ttl_us);
		else if (m->info.role == PB_ROLE_UPSTREAM && v.leaving)
			state(ctx, r, PB_FACT_LEAVING, m->id_hash, &v,
			    sizeof(v), LEAVING_TTL);
	}
	if (view != NULL)
		pb_drop_view(ctx, view);
}

static void
state_revision(struct pb_context *ctx, struct pb_router *r)
{
	uint8_t value[8];
	uint64_t revision;

	pthread_mutex_lock(&r->gate_lock);
	revision = pb_revision_in_force(r->gate);
	pthread_mutex_unlock(&r->gate_lock);
	if (revision == 0)
		return;
	pb_put_u64(value, revision);
	state(ctx, r, PB_FACT_REVISION, 0, value, sizeof(value), REVISION_TTL);
}

void
router_state_down(
    struct pb_context *ctx, struct pb_router *r, const struct pb_member *peer)
{
	struct state_value v = {.leaving = 0};

	pb_put_u64(v.incarnation, peer->info.incarnation);
	state(ctx, r, PB_FACT_HEALTH, peer->id_hash, &v, sizeof(v), HEALTH_TTL);
}

/* What one cell has to state; filled in under the cell's lock. */
struct cell_facts {
	struct pb_router *router;
	uint64_t service;
	bool shared; /* the service has several cells */
	struct pb_contained contained[CONTAINED_MAX];
	size_t contained_count;
	struct pb_account_demand demand[HEAVY_ACCOUNTS];
	size_t demand_count;
};

static void
read_cell(struct pb_context *ctx, struct pb_cell *cell, void *arg)
{
	struct cell_facts *f = arg;

	f->contained_count =
	    pb_read_contained(ctx, cell, f->contained, CONTAINED_MAX);
	if (f->shared)
		f->demand_count = pb_read_demand(
		    ctx, pb_cell_limiter(cell), f->demand, HEAVY_ACCOUNTS);
}

static void
state_cell(struct pb_context *ctx, struct pb_router *r, uint64_t cell,
    const struct cell_facts *f)
{
	uint8_t yes = 1;
	size_t i;

	for (i = 0; i < f->contained_count; i++)
		state(ctx, r, PB_FACT_CONTAINED, f->contained[i].fingerprint,
		    &yes, 1, f->contained[i].until_us - pb_now(ctx));
	for (i = 0; i < f->demand_count; i++) {
		const struct pb_account_demand *d = &f->demand[i];
		struct account_value v;

		memset(&v, 0, sizeof(v));
		v.cell = cell;
		v.service = f->service;
		v.demand = *d;
		state(ctx, r, PB_FACT_ACCOUNT, pb_hash_pair(cell, d->account),
		    &v, sizeof(v), ACCOUNT_TTL);
	}
}

/* Calls fn for each owned cell, with whether its service has several. */
static void
each_owned(struct pb_context *ctx, struct pb_router *r,
    void (*fn)(struct pb_context *ctx, struct pb_router *r,
	const struct pb_cell_summary *s, bool shared))
{
	struct pb_settings *settings = pb_node_settings(r->node);
	struct pb_cell_summary *cells = calloc(64, sizeof(*cells));
	size_t i, n;

	if (settings == NULL || cells == NULL)
		goto done;
	n = pb_list_cells(ctx, r->owner, cells, 64);
	for (i = 0; i < n; i++) {
		const struct pb_service *svc =
		    pb_find_service(settings, cells[i].service);

		if (cells[i].owned && svc != NULL)
			fn(ctx, r, &cells[i], svc->cells > 1);
	}
done:
	free(cells);
	if (settings != NULL)
		pb_drop_settings(ctx, settings);
}

/*
 * States a cell's load in steps, because each change of the value is sent to
 * all routers again.
 */
static void
state_load(struct pb_context *ctx, struct pb_router *r,
    const struct pb_cell_summary *s, uint64_t service)
{
	const struct pb_placement_stats *p = &s->stats.placement;
	double step = p->capacity / LOAD_STEPS;
	struct load_value v = {
	    .service = service, .capacity = (float)p->capacity};

	if (step > 0)
		v.load = (float)(step * (double)(int)(p->load / step + 0.5));
	state(ctx, r, PB_FACT_CELL_LOAD, s->id, &v, sizeof(v), LOAD_TTL);
}

static void
state_owned(struct pb_context *ctx, struct pb_router *r,
    const struct pb_cell_summary *s, bool shared)
{
	struct cell_facts f = {.router = r,
	    .service = pb_hash_cstr(s->service, 0),
	    .shared = shared};

	if (pb_with_cell(ctx, r->owner, s->id, read_cell, &f))
		state_cell(ctx, r, s->id, &f);
	if (shared)
		state_load(ctx, r, s, f.service);
}

void
router_state_facts(struct pb_context *ctx, struct pb_router *r)
{
	state_members(ctx, r);
	state_revision(ctx, r);
	each_owned(ctx, r, state_owned);
}

static void
contain(struct pb_context *ctx, struct pb_cell *cell, uint64_t id, void *arg)
{
	const struct pb_fact *fact = arg;

	(void)id;
	pb_contain_fingerprint(ctx, cell, fact->subject,
	    pb_now(ctx) + (int64_t)fact->ttl_ms * PB_MSEC);
}

static void
take_state(
    struct pb_context *ctx, struct pb_router *r, const struct pb_fact *fact)
{
	const struct state_value *v = (const void *)fact->value;
	enum pb_health health = PB_HEALTH_LIVE;

	if (fact->len != sizeof(*v))
		return;
	/* Only a router itself states that it is alive or leaving. */
	if (fact->kind == PB_FACT_ROUTER && fact->subject != fact->origin)
		return;
	if (fact->kind == PB_FACT_HEALTH)
		health = PB_HEALTH_DOWN;
	else if (v->leaving)
		health = PB_HEALTH_LEAVING;
	pthread_mutex_lock(&r->members_lock);
	pb_note_peer_health(ctx, r->members, fact->subject,
	    pb_get_u64(v->incarnation), health, fact->origin);
	pthread_mutex_unlock(&r->members_lock);
}

/* A relayed fact may be old: it can tell of a newer revision, not confirm. */
static void
take_revision(
    struct pb_context *ctx, struct pb_router *r, const struct pb_fact *fact)
{
	uint64_t current, stated;

	if (fact->len != 8)
		return;
	stated = pb_get_u64(fact->value);
	pthread_mutex_lock(&r->gate_lock);
	current = pb_revision_in_force(r->gate);
	pthread_mutex_unlock(&r->gate_lock);
	if (stated > current)
		router_hear_revision(ctx, r, fact->origin, stated, pb_now(ctx));
}

void
router_take_fact(void *arg, const struct pb_fact *fact)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);
	struct pb_fact copy = *fact;

	switch (fact->kind) {
	case PB_FACT_ROUTER:
	case PB_FACT_LEAVING:
	case PB_FACT_HEALTH:
		take_state(&ctx, r, fact);
		break;
	case PB_FACT_REVISION:
		take_revision(&ctx, r, fact);
		break;
	case PB_FACT_CONTAINED:
		pb_each_cell(&ctx, r->owner, contain, &copy);
		break;
	default:
		break;
	}
}

/* Account facts of one service at cells of other owners. */
struct demand_list {
	uint64_t service;
	uint64_t self;
	struct account_value *values;
	size_t count;
	uint64_t cells[CELLS_KNOWN]; /* other cells that stated their load */
	size_t cell_count;
};

static void
collect_cell(void *arg, const struct pb_fact *fact)
{
	struct demand_list *list = arg;
	struct load_value v;

	if (fact->len != sizeof(v) || list->cell_count >= CELLS_KNOWN)
		return;
	memcpy(&v, fact->value, sizeof(v));
	if (v.service == list->service && fact->subject != list->self)
		list->cells[list->cell_count++] = fact->subject;
}

static void
collect_demand(void *arg, const struct pb_fact *fact)
{
	struct demand_list *list = arg;
	struct account_value v;

	if (fact->len != sizeof(v) || list->count >= FACTS_READ)
		return;
	memcpy(&v, fact->value, sizeof(v));
	if (v.service == list->service && v.cell != list->self)
		list->values[list->count++] = v;
}

/* The demand that one other cell stated; none is stated when it is small. */
static size_t
pick_demand(const struct demand_list *list, uint64_t cell,
    struct pb_account_demand *out)
{
	size_t i, n = 0;

	for (i = 0; i < list->count && n < HEAVY_ACCOUNTS; i++) {
		if (list->values[i].cell == cell)
			out[n++] = list->values[i].demand;
	}
	return n;
}

static void
note_cell_demand(struct pb_context *ctx, struct pb_cell *cell, void *arg)
{
	struct demand_list *list = arg;
	struct pb_account_demand d[HEAVY_ACCOUNTS];
	size_t i, n;

	for (i = 0; i < list->cell_count; i++) {
		n = pick_demand(list, list->cells[i], d);
		pb_set_cell_demand(
		    ctx, pb_cell_limiter(cell), list->cells[i], d, n);
	}
}

static void
share_one(struct pb_context *ctx, struct pb_router *r,
    const struct pb_cell_summary *s, bool shared)
{
	struct demand_list list = {
	    .service = pb_hash_cstr(s->service, 0), .self = s->id};

	if (!shared)
		return;
	list.values = calloc(FACTS_READ, sizeof(*list.values));
	if (list.values == NULL)
		return;
	pthread_mutex_lock(&r->digest_lock);
	pb_each_fact(ctx, r->digest, PB_FACT_CELL_LOAD, collect_cell, &list);
	pb_each_fact(ctx, r->digest, PB_FACT_ACCOUNT, collect_demand, &list);
	pthread_mutex_unlock(&r->digest_lock);
	pb_with_cell(ctx, r->owner, s->id, note_cell_demand, &list);
	free(list.values);
}

void
router_share_demand(struct pb_context *ctx, struct pb_router *r)
{
	each_owned(ctx, r, share_one);
}
