#include "router-internal.h"

#include "poplarbeam/lease.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/*
 * Orders to upstreams. For each service with orders, the routers that rank
 * highest for its cell 0 in this region compete for a lease, and the holder
 * keeps the region's upstreams in the ordered states. One thread renews the
 * leases and another one sends orders, so that a slow upstream cannot delay a
 * renewal until the lease expires.
 */

#define CANDIDATES_MAX 3 /* routers that compete for one lease */
#define LEASE_DURATION (6 * PB_SEC)
#define LEASE_MARGIN (200 * PB_MSEC) /* clock drift over LEASE_DURATION */
#define LEASE_INTERVAL (2 * PB_SEC) /* of renewals, and of polls */
#define LEASE_TICK (100 * PB_MSEC)
#define ORDER_TICK (250 * PB_MSEC)
#define ORDER_TIMEOUT (500 * PB_MSEC) /* for one call to an upstream */
#define PASS_INTERVAL_MIN (1 * PB_SEC)
#define ORDER_CALL_BYTES 420 /* one call with response and headers */
#define ORDERS_BUDGET_SHARE 0.5 /* of control traffic, to read states */

struct order_job {
	struct order_job *next;
	char service[48];
	struct pb_lease *lease;
	uint64_t last_fence; /* last value seen by the lease thread; 0: none */

	/* Protected by orders_lock. */
	bool wanted;
	bool busy; /* a pass is running */
	int64_t acquired_us; /* time of the last acquisition */

	/* Used by the order thread only. */
	uint64_t last_hash; /* hash of the last pass */
	int64_t next_pass_us; /* when the next pass is due */
};

/* Orders of one pass. The operations in base call http and count the calls. */
struct order_pass {
	struct pb_orders base;
	struct pb_orders *http;
	struct pb_router *router;
	struct pb_settings *settings;
	struct pb_view *view;
	const struct pb_service *service;
	struct pb_order *orders;
	size_t count;
	uint64_t hash; /* of lease, orders, upstreams and incarnations */
};

static bool
is_candidate(struct pb_router *r, const struct pb_view *view, const char *name)
{
	const char *region = r->node->boot.region;
	uint64_t cell = pb_cell_id(name, region, 0);
	int i;

	for (i = 0; i < CANDIDATES_MAX; i++) {
		const struct pb_member *m =
		    pb_cell_owner(view, cell, region, i);

		if (m != NULL && m->id_hash == r->node->id_hash)
			return true;
	}
	return false;
}

static struct order_job *
new_job(struct pb_context *ctx, struct pb_router *r, const char *service)
{
	struct order_job *job = calloc(1, sizeof(*job));
	char name[80], holder[80];
	struct pb_lease_policy policy = {.name = name,
	    .holder = holder,
	    .duration_us = LEASE_DURATION,
	    .margin_us = LEASE_MARGIN,
	    .renew_us = LEASE_INTERVAL,
	    .poll_us = LEASE_INTERVAL};

	if (job == NULL)
		return NULL;
	snprintf(
	    name, sizeof(name), "orders/%s/%s", r->node->boot.region, service);
	snprintf(holder, sizeof(holder), "%s/%" PRIu64, r->node->boot.instance,
	    r->node->incarnation);
	pb_copy_str(job->service, sizeof(job->service), service);
	job->lease = pb_new_lease(ctx, &policy);
	if (job->lease == NULL) {
		pb_log_error(ctx, PB_ERROR, NULL);
		free(job);
		return NULL;
	}
	return job;
}

/*
 * Marks the job of a service as wanted and creates it if needed. Called with
 * orders_lock held.
 */
static void
ensure_job(struct pb_context *ctx, struct pb_router *r, const char *service)
{
	struct order_job *job;

	for (job = r->order_jobs; job != NULL; job = job->next)
		if (strcmp(job->service, service) == 0)
			break;
	if (job == NULL) {
		job = new_job(ctx, r, service);
		if (job == NULL)
			return;
		job->next = r->order_jobs;
		r->order_jobs = job;
	}
	job->wanted = true;
}

/*
 * Creates the jobs of services that this router is a candidate for. Removes the
 * idle jobs that are no longer wanted from the list and returns them.
 */
static struct order_job *
sync_jobs(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_settings *s = pb_node_settings(r->node);
	struct pb_view *view = pb_node_view(r->node);
	struct order_job *job, **link, *removed = NULL;
	int i, sought = 0;

	pthread_mutex_lock(&r->orders_lock);
	for (job = r->order_jobs; job != NULL; job = job->next)
		job->wanted = false;
	for (i = 0; s != NULL && view != NULL && i < s->service_count; i++)
		if (s->services[i].order_count > 0 &&
		    is_candidate(r, view, s->services[i].name))
			ensure_job(ctx, r, s->services[i].name);
	for (link = &r->order_jobs; (job = *link) != NULL;) {
		sought += job->wanted;
		if (job->wanted || job->busy) {
			link = &job->next;
			continue;
		}
		*link = job->next;
		job->next = removed;
		removed = job;
	}
	pthread_mutex_unlock(&r->orders_lock);
	pb_set_gauge(r->node->metrics, PB_GAUGE_LEASES_SOUGHT, sought);
	if (s != NULL)
		pb_drop_settings(ctx, s);
	if (view != NULL)
		pb_drop_view(ctx, view);
	return removed;
}

/*
 * Releases the leases, so that another router need not wait until they expire.
 * Frees the jobs. After one release has failed, the other leases are left to
 * expire.
 */
static void
drop_jobs(struct pb_context *ctx, struct pb_router *r, struct order_job *job)
{
	struct order_job *next;
	bool failed = false;

	for (; job != NULL; job = next) {
		next = job->next;
		if (!failed && pb_lease_remaining(ctx, job->lease) > 0)
			failed = pb_release_lease(
				     ctx, job->lease, r->node->table) != PB_OK;
		pb_drop_lease(ctx, job->lease);
		free(job);
	}
}

/*
 * Adds an event if the lease was acquired or lost since the last call, and
 * records the time of an acquisition.
 */
static void
record_lease_change(
    struct pb_context *ctx, struct pb_router *r, struct order_job *job)
{
	uint64_t fence = pb_lease_fence(ctx, job->lease);

	if (fence == job->last_fence)
		return;
	if (fence != 0) {
		pb_add_counter(r->node->metrics, PB_COUNT_LEASES_TAKEN, 1);
		pb_add_event(ctx, r->node->events, "lease-taken", NULL, 0, NULL,
		    "%s fence %" PRIu64, job->service, fence);
		pthread_mutex_lock(&r->orders_lock);
		job->acquired_us = pb_now(ctx);
		pthread_mutex_unlock(&r->orders_lock);
	} else {
		pb_add_event(ctx, r->node->events, "lease-ended", NULL, 0, NULL,
		    "%s fence %" PRIu64, job->service, job->last_fence);
	}
	job->last_fence = fence;
}

void *
router_run_leases(void *arg)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);
	struct order_job *job;

	while (router_sleep(r, LEASE_TICK)) {
		drop_jobs(&ctx, r, sync_jobs(&ctx, r));
		/* Only this thread changes the list. */
		for (job = r->order_jobs; job != NULL; job = job->next) {
			record_lease_change(&ctx, r, job);
			pb_tick_lease(&ctx, job->lease, r->node->table);
			record_lease_change(&ctx, r, job);
		}
	}
	return NULL;
}

static const char *
upstream_address(const struct order_pass *p, const char *upstream)
{
	const struct pb_member *m =
	    pb_find_member(p->view, pb_hash_cstr(upstream, 0));

	return m != NULL ? m->info.address : "";
}

static int
pass_put(struct pb_context *ctx, struct pb_orders *port, const char *upstream,
    const char *name, uint64_t fence, struct pb_str desired, uint64_t *newer)
{
	struct order_pass *p = (struct order_pass *)port;
	struct pb_node *node = p->router->node;
	int rc = p->http->ops->put(ctx, p->http, upstream_address(p, upstream),
	    name, fence, desired, newer);

	pb_add_counter(node->metrics, PB_COUNT_ORDERS_SENT, 1);
	pb_add_counter(node->metrics, PB_COUNT_CONTROL_SENT, ORDER_CALL_BYTES);
	pb_add_event(ctx, node->events, "ordered", NULL, 0, upstream,
	    "%s fence %" PRIu64 " %s: %.24s", name, fence,
	    rc == PB_OK ? "taken" : pb_code_name(rc), desired.data);
	return rc;
}

static int
pass_get(struct pb_context *ctx, struct pb_orders *port, const char *upstream,
    const char *name, struct pb_order_state *state)
{
	struct order_pass *p = (struct order_pass *)port;

	pb_add_counter(
	    p->router->node->metrics, PB_COUNT_CONTROL_SENT, ORDER_CALL_BYTES);
	return p->http->ops->get(
	    ctx, p->http, upstream_address(p, upstream), name, state);
}

static void
clear_pass(struct pb_context *ctx, struct order_pass *p)
{
	if (p->settings != NULL)
		pb_drop_settings(ctx, p->settings);
	if (p->view != NULL)
		pb_drop_view(ctx, p->view);
	pb_drop_http_orders(ctx, p->http);
	free(p->orders);
	memset(p, 0, sizeof(*p));
}

static bool
is_order_target(const struct order_pass *p, const struct pb_member *m)
{
	return m->info.role == PB_ROLE_UPSTREAM &&
	    m->health == PB_HEALTH_LIVE &&
	    strcmp(m->info.service, p->service->name) == 0 &&
	    strcmp(m->info.region, p->router->node->boot.region) == 0;
}

static void
add_orders(struct order_pass *p, const struct pb_member *m)
{
	int i;

	p->hash = pb_hash_pair(
	    p->hash, pb_hash_pair(m->id_hash, m->info.incarnation));
	for (i = 0; i < p->service->order_count; i++) {
		const struct pb_service_order *o = &p->service->orders[i];

		p->hash =
		    pb_hash_cstr(o->desired, pb_hash_cstr(o->name, p->hash));
		p->orders[p->count++] = (struct pb_order){
		    m->info.id, o->name, pb_str_from(o->desired)};
	}
}

/*
 * Lists the orders for the live upstreams of this region, as defined by the
 * settings in force. Returns false if there are none.
 */
static bool
prepare_pass(struct pb_context *ctx, struct pb_router *r,
    const struct order_job *job, struct order_pass *p)
{
	static const struct pb_orders_ops ops = {pass_put, pass_get};
	size_t i, n = 0;

	memset(p, 0, sizeof(*p));
	p->base.ops = &ops;
	p->router = r;
	p->hash = pb_lease_fence(ctx, job->lease);
	p->settings = pb_node_settings(r->node);
	p->view = pb_node_view(r->node);
	if (p->settings == NULL || p->view == NULL)
		return false;
	p->service = pb_find_service(p->settings, job->service);
	if (p->service == NULL)
		return false;
	for (i = 0; i < p->view->count; i++)
		n += is_order_target(p, &p->view->members[i]);
	p->orders = calloc(n * PB_ORDERS_MAX + 1, sizeof(*p->orders));
	p->http = pb_new_http_orders(
	    ctx, r->node->client, ORDER_TIMEOUT, p->service->fencing);
	if (p->orders == NULL || p->http == NULL)
		return false;
	for (i = 0; i < p->view->count; i++)
		if (is_order_target(p, &p->view->members[i]))
			add_orders(p, &p->view->members[i]);
	return p->count > 0;
}

/*
 * Returns true if the settings in force were confirmed to be the newest after
 * the lease was acquired. With older settings, a new holder would undo the
 * orders of the previous holder.
 */
static bool
has_newest_settings(
    struct pb_context *ctx, struct pb_router *r, int64_t acquired_us)
{
	int64_t age;
	bool newest;

	router_poll_settings(ctx, r);
	pthread_mutex_lock(&r->gate_lock);
	newest =
	    pb_latest_known_revision(r->gate) <= pb_revision_in_force(r->gate);
	age = pb_confirmation_age(ctx, r->gate);
	pthread_mutex_unlock(&r->gate_lock);
	return newest && age >= 0 && pb_now(ctx) - age >= acquired_us;
}

/* Returns the interval of passes that keeps the reads within the budget. */
static int64_t
pass_interval(const struct order_pass *p)
{
	double rate = p->settings->control_bytes_per_sec * ORDERS_BUDGET_SHARE;
	int64_t us =
	    (int64_t)((double)p->count * ORDER_CALL_BYTES / rate * PB_SEC);

	return us > PASS_INTERVAL_MIN ? us : PASS_INTERVAL_MIN;
}

static void
run_job(struct pb_context *ctx, struct pb_router *r, struct order_job *job,
    int64_t acquired_us)
{
	struct pb_order_report report;
	struct order_pass p;
	bool due = prepare_pass(ctx, r, job, &p) &&
	    (p.hash != job->last_hash || pb_now(ctx) >= job->next_pass_us);

	clear_pass(ctx, &p);
	if (!due || !has_newest_settings(ctx, r, acquired_us))
		return;
	if (prepare_pass(ctx, r, job, &p)) {
		pb_reconcile_orders(ctx, job->lease, &p.base, p.orders, p.count,
		    ORDER_TIMEOUT, &report);
		job->last_hash = p.hash;
		job->next_pass_us = pb_now(ctx) + pass_interval(&p);
	}
	clear_pass(ctx, &p);
}

/*
 * Marks prev as idle. Marks the next job whose lease is held as busy and
 * returns it, or NULL at the end of the list.
 */
static struct order_job *
next_job(struct pb_context *ctx, struct pb_router *r, struct order_job *prev,
    int64_t *acquired_us)
{
	struct order_job *job;

	pthread_mutex_lock(&r->orders_lock);
	job = prev != NULL ? prev->next : r->order_jobs;
	while (job != NULL &&
	    (!job->wanted || pb_lease_fence(ctx, job->lease) == 0 ||
		job->acquired_us == 0))
		job = job->next;
	if (prev != NULL)
		prev->busy = false;
	if (job != NULL) {
		job->busy = true;
		*acquired_us = job->acquired_us;
	}
	pthread_mutex_unlock(&r->orders_lock);
	return job;
}

void *
router_run_orders(void *arg)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);
	struct order_job *job;
	int64_t acquired_us;

	while (router_sleep(r, ORDER_TICK)) {
		job = NULL;
		while ((job = next_job(&ctx, r, job, &acquired_us)) != NULL)
			run_job(&ctx, r, job, acquired_us);
	}
	return NULL;
}

void
router_drop_orders(struct pb_context *ctx, struct pb_router *r)
{
	drop_jobs(ctx, r, r->order_jobs);
	r->order_jobs = NULL;
}
