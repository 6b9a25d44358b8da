#include "owner-internal.h"

#include <stdlib.h>
#include <string.h>

#define ACCOUNT_QUEUE_DIVISOR 2 /* one account may use half of a queue */
#define CHAT_LOCATIONS_MAX 65536 /* chats whose upstream a cell remembers */

struct pb_owner *
pb_new_owner(struct pb_context *ctx, struct pb_node *node)
{
	struct pb_owner *owner = calloc(1, sizeof(*owner));
	int i;

	(void)ctx;
	if (owner == NULL)
		return NULL;
	owner->node = node;
	for (i = 0; i < OWNER_SHARDS; i++)
		pthread_mutex_init(&owner->shards[i].lock, NULL);
	return owner;
}

void
pb_drop_owner(struct pb_context *ctx, struct pb_owner *owner)
{
	int i;

	if (owner == NULL)
		return;
	for (i = 0; i < OWNER_SHARDS; i++) {
		struct cell_entry *e = owner->shards[i].cells;

		while (e != NULL) {
			struct cell_entry *next = e->next;

			pb_drop_cell(ctx, e->cell);
			pthread_mutex_destroy(&e->lock);
			free(e);
			e = next;
		}
		pthread_mutex_destroy(&owner->shards[i].lock);
	}
	free(owner);
}

/* Wakes the thread that waits for the action. Runs under the entry's lock. */
static void
on_action(void *arg, const struct pb_action *action)
{
	struct cell_entry *e = arg;
	struct waiter *w = e->waiters[action->id % WAITER_BUCKETS];

	for (; w != NULL; w = w->next) {
		if (w->id != action->id)
			continue;
		w->action = *action;
		w->decided = true;
		pthread_cond_signal(&w->wake);
		return;
	}
}

static struct pb_cell_policy
build_policy(const struct pb_settings *s, const struct pb_service *svc)
{
	struct pb_cell_policy p;

	memset(&p, 0, sizeof(p));
	p.placement.bound = svc->bound;
	p.placement.inner_limit = svc->inner_limit;
	p.placement.floor_work = svc->floor_work;
	p.placement.ramp_us = svc->ramp_us;
	p.placement.takeover_us = s->takeover_us;
	p.placement.locations = CHAT_LOCATIONS_MAX;
	p.queue.rank_count = s->rank_count;
	memcpy(p.queue.rank, s->rank, sizeof(p.queue.rank));
	p.queue.max_items = svc->queue_items;
	p.queue.max_bytes = svc->queue_bytes;
	p.queue.max_items_account = svc->queue_items / ACCOUNT_QUEUE_DIVISOR;
	if (p.queue.max_items_account == 0)
		p.queue.max_items_account = 1;
	p.queue.account_headroom = s->account_headroom;
	p.cells = svc->cells;
	p.containment_us = s->containment_us;
	p.strikes = s->strikes;
	return p;
}

/*
 * Returns the work units of one call of a plain service, whose upstreams report
 * their load in calls; 0 for a model service, which reports work units.
 */
static uint32_t
call_work_of(const struct pb_service *svc)
{
	return svc->kind == PB_SERVICE_PLAIN ? svc->call_work : 0;
}

static struct cell_entry *
new_entry(struct pb_owner *owner, const struct pb_settings *settings,
    const struct pb_service *service, int number, uint64_t id)
{
	struct cell_entry *e = calloc(1, sizeof(*e));
	struct pb_cell_policy policy = build_policy(settings, service);

	if (e == NULL)
		return NULL;
	e->id = id;
	e->number = number;
	pb_copy_str(e->service, sizeof(e->service), service->name);
	pthread_mutex_init(&e->lock, NULL);
	e->ctx = pb_node_context(owner->node);
	e->call_work = call_work_of(service);
	e->revision = settings->revision;
	e->cell = pb_new_cell(&e->ctx, &policy, on_action, e);
	if (e->cell == NULL) {
		pthread_mutex_destroy(&e->lock);
		free(e);
		return NULL;
	}
	return e;
}

struct cell_entry *
pb_find_or_add_entry(struct pb_context *ctx, struct pb_owner *owner,
    const struct pb_settings *settings, const struct pb_service *service,
    int number)
{
	uint64_t id =
	    pb_cell_id(service->name, owner->node->boot.region, number);
	struct shard *shard = &owner->shards[id % OWNER_SHARDS];
	struct cell_entry *e;

	pthread_mutex_lock(&shard->lock);
	for (e = shard->cells; e != NULL && e->id != id; e = e->next)
		;
	if (e == NULL) {
		e = new_entry(owner, settings, service, number, id);
		if (e != NULL) {
			e->next = shard->cells;
			shard->cells = e;
			pb_add_event(ctx, owner->node->events, "cell-opened",
			    NULL, 0, NULL, "%s/%d", service->name, number);
		}
	}
	pthread_mutex_unlock(&shard->lock);
	return e;
}

static void
set_upstream(struct cell_entry *e, const struct pb_service *svc,
    const struct pb_member *m)
{
	struct pb_upstream_info info = {.id = m->id_hash,
	    .incarnation = m->info.incarnation,
	    .capacity = m->capacity > 0 ? m->capacity : svc->capacity,
	    .throttle = m->throttle > 0 ? m->throttle : 1,
	    .state = PB_UP_EJECTED};
	int i;

	if (pb_member_accepts_work(m))
		info.state = PB_UP_LIVE;
	else if (m->health == PB_HEALTH_LEAVING)
		info.state = PB_UP_LEAVING;
	if (pb_set_cell_upstream(&e->ctx, e->cell, &info) != PB_OK) {
		pb_log(&e->ctx, PB_ERROR, "sync-cell", m->info.id, NULL,
		    "cell %s/%d has no slot for the upstream; increase the "
		    "number of cells of the service",
		    e->service, e->number);
		return;
	}
	for (i = 0; i < e->upstream_count; i++) {
		if (e->upstream_ids[i] == m->id_hash)
			return;
	}
	if (e->upstream_count < PB_CELL_UPSTREAMS_MAX) {
		e->upstream_ids[e->upstream_count] = m->id_hash;
		e->probed_us[e->upstream_count++] = 0;
	}
}

/* Returns true when the instance is an upstream of this cell. */
static bool
is_cell_upstream(struct pb_owner *owner, const struct cell_entry *e,
    const struct pb_service *svc, const struct pb_member *m)
{
	return m != NULL && m->info.role == PB_ROLE_UPSTREAM &&
	    strcmp(m->info.service, e->service) == 0 &&
	    strcmp(m->info.region, owner->node->boot.region) == 0 &&
	    pb_cell_of_upstream(m->id_hash, svc->cells) == e->number;
}

/* Removes upstreams that the view no longer assigns to the cell. */
static void
remove_missing(struct pb_owner *owner, struct cell_entry *e,
    const struct pb_service *svc, const struct pb_view *view)
{
	int i = 0;

	while (i < e->upstream_count) {
		struct pb_upstream_info gone = {
		    .id = e->upstream_ids[i], .state = PB_UP_GONE};

		if (is_cell_upstream(owner, e, svc,
			pb_find_member(view, e->upstream_ids[i]))) {
			i++;
			continue;
		}
		pb_set_cell_upstream(&e->ctx, e->cell, &gone);
		e->upstream_count--;
		e->upstream_ids[i] = e->upstream_ids[e->upstream_count];
		e->probed_us[i] = e->probed_us[e->upstream_count];
	}
}

void
pb_sync_entry(struct pb_owner *owner, struct cell_entry *e,
    const struct pb_settings *settings, const struct pb_view *view)
{
	const struct pb_service *svc = pb_find_service(settings, e->service);
	const char *region = owner->node->boot.region;
	const struct pb_member *o;
	bool owned;
	size_t i;

	if (svc == NULL)
		return;
	if (settings->revision != e->revision) {
		struct pb_cell_policy policy = build_policy(settings, svc);

		if (pb_set_cell_policy(&e->ctx, e->cell, &policy) == PB_OK)
			e->revision = settings->revision;
		e->call_work = call_work_of(svc);
	}
	o = pb_cell_owner(view, e->id, region, 0);
	owned = o != NULL && o->id_hash == owner->node->id_hash;
	if (owned && !e->owned)
		pb_begin_cell_takeover(&e->ctx, e->cell);
	e->owned = owned;
	if (view->version == e->view_version)
		return;
	e->view_version = view->version;
	for (i = 0; i < view->count; i++) {
		const struct pb_member *m = &view->members[i];

		if (is_cell_upstream(owner, e, svc, m))
			set_upstream(e, svc, m);
	}
	remove_missing(owner, e, svc, view);
}

/* Calls fn for each entry without holding a lock. */
static void
each_entry(
    struct pb_owner *owner, void (*fn)(struct cell_entry *, void *), void *arg)
{
	int i;

	for (i = 0; i < OWNER_SHARDS; i++) {
		struct cell_entry *e;

		pthread_mutex_lock(&owner->shards[i].lock);
		e = owner->shards[i].cells;
		pthread_mutex_unlock(&owner->shards[i].lock);
		/*
		 * Entries are only added at the head and never removed, so the
		 * rest of the list can be read without the lock.
		 */
		for (; e != NULL; e = e->next)
			fn(e, arg);
	}
}

struct sync_arg {
	struct pb_owner *owner;
	struct pb_settings *settings;
	struct pb_view *view;
};

static void
sync_one(struct cell_entry *e, void *arg)
{
	struct sync_arg *a = arg;

	pthread_mutex_lock(&e->lock);
	pb_sync_entry(a->owner, e, a->settings, a->view);
	pthread_mutex_unlock(&e->lock);
}

void
pb_sync_owner(struct pb_context *ctx, struct pb_owner *owner)
{
	struct sync_arg a = {
	    owner, pb_node_settings(owner->node), pb_node_view(owner->node)};

	if (a.settings != NULL && a.view != NULL)
		each_entry(owner, sync_one, &a);
	if (a.settings != NULL)
		pb_drop_settings(ctx, a.settings);
	if (a.view != NULL)
		pb_drop_view(ctx, a.view);
}

static void
tick_one(struct cell_entry *e, void *arg)
{
	(void)arg;
	pthread_mutex_lock(&e->lock);
	pb_tick_cell(&e->ctx, e->cell);
	pthread_mutex_unlock(&e->lock);
}

void
pb_tick_owner(struct pb_context *ctx, struct pb_owner *owner)
{
	(void)ctx;
	each_entry(owner, tick_one, NULL);
}

struct probe_arg {
	struct pb_view *view;
	int64_t now_us;
	int64_t age_us;
	struct pb_probe *out;
	size_t cap;
	size_t count;
};

static void
add_probes(struct cell_entry *e, void *arg)
{
	struct probe_arg *a = arg;
	int i;

	pthread_mutex_lock(&e->lock);
	for (i = 0; i < e->upstream_count && e->owned && a->count < a->cap;
	     i++) {
		const struct pb_member *m =
		    pb_find_member(a->view, e->upstream_ids[i]);
		struct pb_probe *p = &a->out[a->count];

		if (m == NULL || a->now_us - e->probed_us[i] < a->age_us)
			continue;
		p->cell = e->id;
		p->incarnation = m->info.incarnation;
		p->call_work = e->call_work;
		pb_copy_str(p->id, sizeof(p->id), m->info.id);
		pb_copy_str(p->address, sizeof(p->address), m->info.address);
		e->probed_us[i] = a->now_us;
		a->count++;
	}
	pthread_mutex_unlock(&e->lock);
}

size_t
pb_list_probes(struct pb_context *ctx, struct pb_owner *owner, int64_t age_us,
    struct pb_probe *out, size_t cap)
{
	struct probe_arg a = {.view = pb_node_view(owner->node),
	    .now_us = pb_now(ctx),
	    .age_us = age_us,
	    .out = out,
	    .cap = cap};

	if (a.view == NULL)
		return 0;
	each_entry(owner, add_probes, &a);
	pb_drop_view(ctx, a.view);
	return a.count;
}

static struct cell_entry *
find_by_id(struct pb_owner *owner, uint64_t id)
{
	struct shard *shard = &owner->shards[id % OWNER_SHARDS];
	struct cell_entry *e;

	pthread_mutex_lock(&shard->lock);
	for (e = shard->cells; e != NULL && e->id != id; e = e->next)
		;
	pthread_mutex_unlock(&shard->lock);
	return e;
}

void
pb_report_probe(struct pb_context *ctx, struct pb_owner *owner,
    const struct pb_probe *probe, uint64_t work, int64_t age_us)
{
	struct cell_entry *e = find_by_id(owner, probe->cell);

	(void)ctx;
	if (e == NULL)
		return;
	pthread_mutex_lock(&e->lock);
	pb_report_cell_load(
	    &e->ctx, e->cell, pb_hash_cstr(probe->id, 0), work, age_us);
	pthread_mutex_unlock(&e->lock);
}

struct list_arg {
	struct pb_cell_summary *out;
	size_t cap;
	size_t count;
};

static void
list_one(struct cell_entry *e, void *arg)
{
	struct list_arg *a = arg;
	struct pb_cell_summary *s;

	if (a->count >= a->cap)
		return;
	s = &a->out[a->count++];
	pthread_mutex_lock(&e->lock);
	s->id = e->id;
	s->number = e->number;
	s->owned = e->owned;
	pb_copy_str(s->service, sizeof(s->service), e->service);
	pb_read_cell_stats(&e->ctx, e->cell, &s->stats);
	pthread_mutex_unlock(&e->lock);
}

size_t
pb_list_cells(struct pb_context *ctx, struct pb_owner *owner,
    struct pb_cell_summary *out, size_t cap)
{
	struct list_arg a = {out, cap, 0};

	(void)ctx;
	each_entry(owner, list_one, &a);
	return a.count;
}

bool
pb_with_cell(struct pb_context *ctx, struct pb_owner *owner, uint64_t id,
    void (*fn)(struct pb_context *ctx, struct pb_cell *cell, void *arg),
    void *arg)
{
	struct cell_entry *e = find_by_id(owner, id);

	(void)ctx;
	if (e == NULL)
		return false;
	pthread_mutex_lock(&e->lock);
	fn(&e->ctx, e->cell, arg);
	pthread_mutex_unlock(&e->lock);
	return true;
}

struct each_arg {
	void (*fn)(struct pb_context *ctx, struct pb_cell *cell, uint64_t id,
	    void *arg);
	void *arg;
};

static void
visit_one(struct cell_entry *e, void *arg)
{
	struct each_arg *a = arg;

	pthread_mutex_lock(&e->lock);
	a->fn(&e->ctx, e->cell, e->id, a->arg);
	pthread_mutex_unlock(&e->lock);
}

void
pb_each_cell(struct pb_context *ctx, struct pb_owner *owner,
    void (*fn)(
	struct pb_context *ctx, struct pb_cell *cell, uint64_t id, void *arg),
    void *arg)
{
	struct each_arg a = {fn, arg};

	(void)ctx;
	each_entry(owner, visit_one, &a);
}
