#include "poplarbeam/operator.h"
#include "router-internal.h"

#include <civetweb.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define ADMIN_THREADS 8
#define ADMIN_BODY_MAX (4 << 20) /* bytes of a settings change */
#define CELLS_MAX 1024
#define APPLY_TIMEOUT (5 * PB_SEC) /* for storing one change */

/* A request of an operator. */
struct admin_call {
	struct pb_router *router;
	struct pb_context *ctx;
	struct pb_inbound_request *in;
};

static int
send_json(struct admin_call *c, int status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	int rc = pb_send_text(c->in, status, "application/json", NULL,
	    pb_str_from(text != NULL ? text : "{}"));

	free(text);
	json_decref(value);
	return rc;
}

static void
add_member(json_t *routers, json_t *upstreams, const struct pb_settings *s,
    const struct pb_member *m)
{
	const char *health = pb_health_name(m->health);
	const struct pb_service *svc;

	if (m->info.role == PB_ROLE_ROUTER) {
		json_array_append_new(routers,
		    json_pack("{s:s,s:s,s:s,s:s}", "id", m->info.id, "admin",
			m->info.admin, "domain", m->info.domain, "health",
			health));
		return;
	}
	svc = s != NULL ? pb_find_service(s, m->info.service) : NULL;
	json_array_append_new(upstreams,
	    json_pack("{s:s,s:s,s:s,s:i,s:f}", "id", m->info.id, "service",
		m->info.service, "health", health, "cell",
		svc != NULL ? pb_cell_of_upstream(m->id_hash, svc->cells) : -1,
		"throttle", m->throttle));
}

/* Returns the id of the router that owns a cell in the view, or "". */
static const char *
owner_id(struct admin_call *c, const struct pb_view *view, uint64_t cell)
{
	const struct pb_member *o = view != NULL
	    ? pb_cell_owner(view, cell, c->router->node->boot.region, 0)
	    : NULL;

	return o != NULL ? o->info.id : "";
}

static json_t *
describe_cells(struct admin_call *c, const struct pb_view *view)
{
	struct pb_cell_summary *cells = calloc(CELLS_MAX, sizeof(*cells));
	json_t *list = json_array();
	size_t i, n;

	if (cells == NULL)
		return list;
	n = pb_list_cells(c->ctx, c->router->owner, cells, CELLS_MAX);
	for (i = 0; i < n; i++) {
		struct pb_cell_summary *s = &cells[i];

		json_array_append_new(list,
		    json_pack("{s:s,s:i,s:s,s:b,s:i,s:i,s:I,s:I,s:f,s:f,s:I}",
			"service", s->service, "cell", s->number, "owner",
			owner_id(c, view, s->id), "owned", (int)s->owned,
			"in_flight", (int)s->stats.in_flight, "queued",
			(int)s->stats.queue.items, "started",
			(json_int_t)s->stats.started, "refused",
			(json_int_t)s->stats.refused, "load",
			s->stats.placement.load, "max_over_mean",
			s->stats.placement.max_over_mean, "contained",
			(json_int_t)s->stats.contained));
	}
	free(cells);
	return list;
}

static bool
is_ready(struct pb_node *node)
{
	struct pb_settings *s = pb_node_settings(node);
	struct pb_context ctx = pb_node_context(node);

	if (s == NULL)
		return false;
	pb_drop_settings(&ctx, s);
	return atomic_load(&node->fresh) && atomic_load(&node->accepting) &&
	    !atomic_load(&node->leaving);
}

static int
serve_status(struct admin_call *c)
{
	struct pb_router *r = c->router;
	struct pb_node *node = r->node;
	struct pb_settings *s = pb_node_settings(node);
	struct pb_view *view = pb_node_view(node);
	json_t *routers = json_array(), *upstreams = json_array(), *v;
	int64_t age;
	size_t i;

	for (i = 0; view != NULL && i < view->count; i++)
		add_member(routers, upstreams, s, &view->members[i]);
	pthread_mutex_lock(&r->gate_lock);
	age = pb_confirmation_age(c->ctx, r->gate);
	pthread_mutex_unlock(&r->gate_lock);
	v = json_pack("{s:s,s:s,s:I,s:b,s:b,s:I,s:o,s:o,s:o}", "instance",
	    node->boot.instance, "domain", node->boot.domain, "revision",
	    (json_int_t)(s != NULL ? s->revision : 0), "ready",
	    (int)is_ready(node), "leaving", atomic_load(&node->leaving),
	    "revision_confirmed_ms",
	    (json_int_t)(age >= 0 ? age / PB_MSEC : -1), "routers", routers,
	    "upstreams", upstreams, "cells", describe_cells(c, view));
	if (s != NULL)
		pb_drop_settings(c->ctx, s);
	if (view != NULL)
		pb_drop_view(c->ctx, view);
	return send_json(c, 200, v);
}

/* Copies the value of a query parameter to out; empty if it is absent. */
static void
get_query(const struct admin_call *c, const char *name, char *out, size_t cap)
{
	const char *q = c->in->query;

	*out = '\0';
	if (q != NULL && mg_get_var(q, strlen(q), name, out, cap) < 0)
		*out = '\0';
}

static uint64_t
get_query_number(const struct admin_call *c, const char *name, int base)
{
	char text[32];

	get_query(c, name, text, sizeof(text));
	return strtoull(text, NULL, base);
}

static int
serve_events(struct admin_call *c)
{
	char request[40], upstream[48];
	struct pb_event_filter filter = {.request = request,
	    .upstream = upstream,
	    .chat = get_query_number(c, "chat", 16),
	    .after_seq = get_query_number(c, "after", 10)};
	struct pb_buf buf = {0};
	int rc;

	get_query(c, "request", request, sizeof(request));
	get_query(c, "upstream", upstream, sizeof(upstream));
	pb_append_fmt(&buf,
	    "{\"instance\":\"%s\",\"events\":", c->router->node->boot.instance);
	pb_format_events(c->ctx, c->router->node->events, &filter, &buf);
	pb_append_fmt(&buf, "}");
	rc = pb_send_text(c->in, 200, "application/json", NULL,
	    (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
	return rc;
}

static int
serve_metrics(struct admin_call *c)
{
	struct pb_buf buf = {0};
	int rc;

	pb_format_metrics(c->router->node->metrics, &buf);
	rc = pb_send_text(c->in, 200, "text/plain; version=0.0.4", NULL,
	    (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
	return rc;
}

static int
serve_ready(struct admin_call *c)
{
	bool ready = is_ready(c->router->node);

	return pb_send_text(c->in, ready ? 200 : 503, "text/plain", NULL,
	    pb_str_from(ready ? "ready\n" : "not ready\n"));
}

static int
serve_health(struct admin_call *c)
{
	return pb_send_text(
	    c->in, 200, "text/plain", NULL, pb_str_from("ok\n"));
}

static int
serve_drain(struct admin_call *c)
{
	atomic_store(&c->router->drain_requested, 1);
	return send_json(c, 200, json_pack("{s:b}", "draining", 1));
}

/* Sends the reply of a settings operation and frees it. */
static int
send_reply(struct admin_call *c, struct pb_reply *reply)
{
	int rc = pb_send_text(c->in, reply->status, "application/json", NULL,
	    (struct pb_str){reply->body.data, reply->body.len});

	pb_clear_reply(reply);
	return rc;
}

static int
serve_settings(struct admin_call *c)
{
	struct pb_reply reply = {0};
	char team[64];

	get_query(c, "team", team, sizeof(team));
	pb_serve_settings(c->ctx, c->router->node->table, team, &reply);
	return send_reply(c, &reply);
}

static int
serve_history(struct admin_call *c)
{
	struct pb_reply reply = {0};
	char limit[16];

	get_query(c, "limit", limit, sizeof(limit));
	pb_serve_history(c->ctx, c->router->node->table, limit, &reply);
	return send_reply(c, &reply);
}

static int
serve_revision(struct admin_call *c)
{
	struct pb_reply reply = {0};
	char n[24], team[64];

	get_query(c, "n", n, sizeof(n));
	get_query(c, "team", team, sizeof(team));
	pb_serve_revision(c->ctx, c->router->node->table, n,
	    *team != '\0' ? team : NULL, &reply);
	return send_reply(c, &reply);
}

static int
serve_apply(struct admin_call *c)
{
	struct pb_reply reply = {0};
	struct pb_buf body = {0};
	uint64_t revision = 0;

	if (pb_read_body(c->ctx, c->in, ADMIN_BODY_MAX, &body) != PB_OK) {
		pb_clear_buf(&body);
		return pb_send_text(c->in, 413, "application/json", NULL,
		    pb_str_from("{\"error\":{\"code\":\"too_large\"}}"));
	}
	pb_serve_apply(c->ctx, c->router->node->table,
	    (struct pb_str){body.data, body.len},
	    pb_now(c->ctx) + APPLY_TIMEOUT, &reply, &revision);
	pb_clear_buf(&body);
	if (revision != 0)
		router_poll_settings(c->ctx, c->router);
	return send_reply(c, &reply);
}

static int
serve_admin(struct pb_inbound_request *in, void *arg)
{
	static const struct {
		const char *method;
		const char *path;
		int (*fn)(struct admin_call *c);
	} routes[] = {
	    {"GET", "/healthz", serve_health},
	    {"GET", "/readyz", serve_ready},
	    {"GET", "/metrics", serve_metrics},
	    {"GET", "/admin/v1/status", serve_status},
	    {"GET", "/admin/v1/events", serve_events},
	    {"GET", "/admin/v1/settings", serve_settings},
	    {"GET", "/admin/v1/history", serve_history},
	    {"GET", "/admin/v1/revision", serve_revision},
	    {"POST", "/admin/v1/apply", serve_apply},
	    {"POST", "/admin/v1/drain", serve_drain},
	};
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);
	struct admin_call c = {r, &ctx, in};
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(in->path, routes[i].path) == 0 &&
		    strcmp(in->method, routes[i].method) == 0)
			return routes[i].fn(&c);
	}
	return pb_send_text(
	    in, 404, "text/plain", NULL, pb_str_from("not found\n"));
}

int
router_start_admin(struct pb_context *ctx, struct pb_router *r)
{
	r->admin_server = pb_new_internal_server(
	    ctx, r->node->boot.admin, ADMIN_THREADS, serve_admin, r);
	return r->admin_server != NULL ? PB_OK : ctx->error.code;
}
