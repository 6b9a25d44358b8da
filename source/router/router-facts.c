#include "router-internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * A router makes one exchange per period, so the time until a renewed fact
 * reaches all routers grows with their number.
 */
#define STATE_TTL_MIN (10 * PB_SEC)
#define STATE_TTL_PER_ROUTER (2 * PB_SEC)
#define HEALTH_TTL (10 * PB_SEC)
#define REVISION_TTL (60 * PB_SEC)
#define LEAVING_TTL (120 * PB_SEC)
#define ACCOUNT_TTL (60 * PB_SEC)
#define LOAD_TTL (20 * PB_SEC)
#define CELL_ACCOUNTS_MAX 8 /* accounts of high demand, per cell */
#define CELL_CONTAINED_MAX 32 /* fingerprints published per cell */
#define LOAD_STEPS 10
#define SERVICE_CELLS_MAX 64 /* cells of one service in a region */
#define ACCOUNT_FACTS_MAX 1024 /* account facts read in one round */

/*
 * Value of PB_FACT_ROUTER, PB_FACT_LEAVING and PB_FACT_HEALTH, in network byte
 * order.
 */
struct state_value {
	uint8_t incarnation[8];
	uint8_t leaving;
};

/*
 * Value of PB_FACT_CELL_LOAD, in host byte order: all routers must have the
 * same byte order.
 */
struct load_value {
	uint64_t service;
	float load; /* work units in flight */
	float capacity; /* work units */
};

/*
 * Value of PB_FACT_ACCOUNT, in host byte order: all routers must have the same
 * byte order.
 */
struct account_value {
	uint64_t cell;
	uint64_t service;
	struct pb_account_demand demand;
};

_Static_assert(sizeof(struct account_value) <= PB_FACT_VALUE_MAX,
    "an account's demand does not fit into a fact");

static void
publish_fact(struct pb_context *ctx, struct pb_router *r,
    enum pb_fact_kind kind, uint64_t subject, const void *value, size_t len,
    int64_t ttl_us)
{
	pthread_mutex_lock(&r->digest_lock);
	pb_publish_fact(ctx, r->digest, kind, subject, value, len, ttl_us);
	pthread_mutex_unlock(&r->digest_lock);
}

/* Publishes this router's own state and the upstreams known to be leaving. */
static void
publish_members(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_view *view = pb_node_view(r->node);
	struct state_value v;
	int64_t ttl_us = 0;
	size_t i;

	for (i = 0; view != NULL && i < view->count; i++)
		ttl_us += view->members[i].info.role == PB_ROLE_ROUTER
		    ? STATE_TTL_PER_ROUTER
		    : 0;
	if (ttl_us < STATE_TTL_MIN)
		ttl_us = STATE_TTL_MIN;
	for (i = 0; view != NULL && i < view->count; i++) {
		const struct pb_member *m = &view->members[i];

		pb_put_u64(v.incarnation, m->info.incarnation);
		v.leaving = m->health == PB_HEALTH_LEAVING;
		if (m->id_hash == r->node->id_hash)
			publish_fact(ctx, r, PB_FACT_ROUTER, m->id_hash, &v,
			    sizeof(v), ttl_us);
		else if (m->info.role == PB_ROLE_UPSTREAM && v.leaving)
			publish_fact(ctx, r, PB_FACT_LEAVING, m->id_hash, &v,
			    sizeof(v), LEAVING_TTL);
	}
	if (view != NULL)
		pb_drop_view(ctx, view);
}

static void
publish_revision(struct pb_context *ctx, struct pb_router *r)
{
	uint8_t value[8];
	uint64_t revision;

	pthread_mutex_lock(&r->gate_lock);
	revision = pb_revision_in_force(r->gate);
	pthread_mutex_unlock(&r->gate_lock);
	if (revision == 0)
		return;
	pb_put_u64(value, revision);
	publish_fact(
	    ctx, r, PB_FACT_REVISION, 0, value, sizeof(value), REVISION_TTL);
}

void
router_publish_down(
    struct pb_context *ctx, struct pb_router *r, const struct pb_member *peer)
{
	struct state_value v = {.leaving = 0};

	pb_put_u64(v.incarnation, peer->info.incarnation);
	publish_fact(
	    ctx, r, PB_FACT_HEALTH, peer->id_hash, &v, sizeof(v), HEALTH_TTL);
}

/* Facts of one cell, read under the cell's lock. */
struct cell_facts {
	struct pb_router *router;
	uint64_t service;
	bool multi_cell; /* the service has several cells */
	struct pb_contained contained[CELL_CONTAINED_MAX];
	size_t contained_count;
	struct pb_account_demand demand[CELL_ACCOUNTS_MAX];
	size_t demand_count;
};

static void
read_cell_facts(struct pb_context *ctx, struct pb_cell *cell, void *arg)
{
	struct cell_facts *f = arg;

	f->contained_count =
	    pb_read_contained(ctx, cell, f->contained, CELL_CONTAINED_MAX);
	if (f->multi_cell)
		f->demand_count = pb_read_demand(
		    ctx, pb_cell_limiter(cell), f->demand, CELL_ACCOUNTS_MAX);
}

static void
publish_cell(struct pb_context *ctx, struct pb_router *r, uint64_t cell,
    const struct cell_facts *f)
{
	uint8_t value = 1;
	size_t i;

	for (i = 0; i < f->contained_count; i++)
		publish_fact(ctx, r, PB_FACT_CONTAINED,
		    f->contained[i].fingerprint, &value, 1,
		    f->contained[i].until_us - pb_now(ctx));
	for (i = 0; i < f->demand_count; i++) {
		const struct pb_account_demand *d = &f->demand[i];
		struct account_value v;

		memset(&v, 0, sizeof(v));
		v.cell = cell;
		v.service = f->service;
		v.demand = *d;
		publish_fact(ctx, r, PB_FACT_ACCOUNT,
		    pb_hash_pair(cell, d->account), &v, sizeof(v), ACCOUNT_TTL);
	}
}

/*
 * Calls fn for each owned cell whose service is in the settings in force.
 * multi_cell is true if the service has several cells.
 */
static void
for_each_owned_cell(struct pb_context *ctx, struct pb_router *r,
    void (*fn)(struct pb_context *ctx, struct pb_router *r,
	const struct pb_cell_summary *s, bool multi_cell))
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
 * Publishes a cell's load rounded to steps, because each change of the value
 * is sent to all routers.
 */
static void
publish_load(struct pb_context *ctx, struct pb_router *r,
    const struct pb_cell_summary *s, uint64_t service)
{
	const struct pb_placement_stats *p = &s->stats.placement;
	double step = p->capacity / LOAD_STEPS;
	struct load_value v = {
	    .service = service, .capacity = (float)p->capacity};

	if (step > 0)
		v.load = (float)(step * (double)(int)(p->load / step + 0.5));
	publish_fact(ctx, r, PB_FACT_CELL_LOAD, s->id, &v, sizeof(v), LOAD_TTL);
}

static void
publish_owned_cell(struct pb_context *ctx, struct pb_router *r,
    const struct pb_cell_summary *s, bool multi_cell)
{
	struct cell_facts f = {.router = r,
	    .service = pb_hash_cstr(s->service, 0),
	    .multi_cell = multi_cell};

	if (pb_with_cell(ctx, r->owner, s->id, read_cell_facts, &f))
		publish_cell(ctx, r, s->id, &f);
	if (multi_cell)
		publish_load(ctx, r, s, f.service);
}

void
router_publish_facts(struct pb_context *ctx, struct pb_router *r)
{
	publish_members(ctx, r);
	publish_revision(ctx, r);
	for_each_owned_cell(ctx, r, publish_owned_cell);
}

static void
contain_fingerprint(
    struct pb_context *ctx, struct pb_cell *cell, uint64_t id, void *arg)
{
	const struct pb_fact *fact = arg;

	(void)id;
	pb_contain_fingerprint(ctx, cell, fact->subject,
	    pb_now(ctx) + (int64_t)fact->ttl_ms * PB_MSEC);
}

static void
apply_state(
    struct pb_context *ctx, struct pb_router *r, const struct pb_fact *fact)
{
	const struct state_value *v = (const void *)fact->value;
	enum pb_health health = PB_HEALTH_LIVE;

	if (fact->len != sizeof(*v))
		return;
	/* Only a router itself can report that it is alive or leaving. */
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

/*
 * Records a revision newer than the one in force. A relayed fact may be old, so
 * it never confirms the revision in force.
 */
static void
apply_revision(
    struct pb_context *ctx, struct pb_router *r, const struct pb_fact *fact)
{
	uint64_t current, reported;

	if (fact->len != 8)
		return;
	reported = pb_get_u64(fact->value);
	pthread_mutex_lock(&r->gate_lock);
	current = pb_revision_in_force(r->gate);
	pthread_mutex_unlock(&r->gate_lock);
	if (reported > current)
		router_note_peer_revision(
		    ctx, r, fact->origin, reported, pb_now(ctx));
}

void
router_apply_fact(void *arg, const struct pb_fact *fact)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);
	struct pb_fact copy = *fact;

	switch (fact->kind) {
	case PB_FACT_ROUTER:
	case PB_FACT_LEAVING:
	case PB_FACT_HEALTH:
		apply_state(&ctx, r, fact);
		break;
	case PB_FACT_REVISION:
		apply_revision(&ctx, r, fact);
		break;
	case PB_FACT_CONTAINED:
		pb_each_cell(&ctx, r->owner, contain_fingerprint, &copy);
		break;
	default:
		break;
	}
}

/* Account facts that the other cells of a service published. */
struct demand_list {
	uint64_t service;
	uint64_t own_cell;
	struct account_value *values;
	size_t count;
	uint64_t cells[SERVICE_CELLS_MAX]; /* other cells with a known load */
	size_t cell_count;
};

static void
collect_other_cell(void *arg, const struct pb_fact *fact)
{
	struct demand_list *list = arg;
	struct load_value v;

	if (fact->len != sizeof(v) || list->cell_count >= SERVICE_CELLS_MAX)
		return;
	memcpy(&v, fact->value, sizeof(v));
	if (v.service == list->service && fact->subject != list->own_cell)
		list->cells[list->cell_count++] = fact->subject;
}

static void
collect_demand(void *arg, const struct pb_fact *fact)
{
	struct demand_list *list = arg;
	struct account_value v;

	if (fact->len != sizeof(v) || list->count >= ACCOUNT_FACTS_MAX)
		return;
	memcpy(&v, fact->value, sizeof(v));
	if (v.service == list->service && v.cell != list->own_cell)
		list->values[list->count++] = v;
}

/*
 * Copies the demand published by another cell to out and returns the number of
 * entries; 0 if that cell has only small demand, which is not published.
 */
static size_t
select_demand(const struct demand_list *list, uint64_t cell,
    struct pb_account_demand *out)
{
	size_t i, n = 0;

	for (i = 0; i < list->count && n < CELL_ACCOUNTS_MAX; i++) {
		if (list->values[i].cell == cell)
			out[n++] = list->values[i].demand;
	}
	return n;
}

static void
apply_cell_demand(struct pb_context *ctx, struct pb_cell *cell, void *arg)
{
	struct demand_list *list = arg;
	struct pb_account_demand d[CELL_ACCOUNTS_MAX];
	size_t i, n;

	for (i = 0; i < list->cell_count; i++) {
		n = select_demand(list, list->cells[i], d);
		pb_set_cell_demand(
		    ctx, pb_cell_limiter(cell), list->cells[i], d, n);
	}
}

static void
apply_service_demand(struct pb_context *ctx, struct pb_router *r,
    const struct pb_cell_summary *s, bool multi_cell)
{
	struct demand_list list = {
	    .service = pb_hash_cstr(s->service, 0), .own_cell = s->id};

	if (!multi_cell)
		return;
	list.values = calloc(ACCOUNT_FACTS_MAX, sizeof(*list.values));
	if (list.values == NULL)
		return;
	pthread_mutex_lock(&r->digest_lock);
	pb_each_fact(
	    ctx, r->digest, PB_FACT_CELL_LOAD, collect_other_cell, &list);
	pb_each_fact(ctx, r->digest, PB_FACT_ACCOUNT, collect_demand, &list);
	pthread_mutex_unlock(&r->digest_lock);
	pb_with_cell(ctx, r->owner, s->id, apply_cell_demand, &list);
	free(list.values);
}

void
router_apply_demand(struct pb_context *ctx, struct pb_router *r)
{
	for_each_owned_cell(ctx, r, apply_service_demand);
}
