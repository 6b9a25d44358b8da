#include "gateway-exchange.h"
#include "gateway-follow.h"

#include <stdlib.h>
#include <string.h>

#define TIME_LIMIT_MAX_MS (24 * 3600 * 1000LL)

/* The contents of a request's header fields. */
struct request {
	struct pb_str host;
	struct pb_str id;
	struct pb_str key;
	struct pb_str connection; /* names of further hop-by-hop fields */
	int64_t time_limit_us; /* 0: not given */
	struct pb_prompt prompt;
	bool has_key;
	bool has_last_event;
	int64_t last_event;
	bool has_body;
	bool invalid;
};

static bool
read_number(struct pb_str v, int64_t max, int64_t *out)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < v.len; i++) {
		if (v.data[i] < '0' || v.data[i] > '9' || n > max / 10)
			return false;
		n = n * 10 + (v.data[i] - '0');
	}
	*out = n;
	return v.len > 0;
}

static void
read_known_field(struct pb_conn *conn, enum pb_request_field kind,
    struct pb_str value, struct request *req)
{
	const struct pb_adapter_ops *adapter = conn->gw->adapter;
	int64_t ms;

	switch (kind) {
	case PB_FIELD_REQUEST_ID:
		if (req->id.len > 0)
			req->invalid = true;
		req->id = value;
		break;
	case PB_FIELD_TIME_LIMIT:
		if (read_number(value, TIME_LIMIT_MAX_MS, &ms))
			req->time_limit_us = ms * PB_MSEC;
		break;
	case PB_FIELD_CREDENTIAL:
		req->has_key = adapter->read_credential(value, &req->key);
		break;
	case PB_FIELD_PROMPT:
		if (!adapter->read_prompt(value, &req->prompt))
			req->prompt.count = 0;
		break;
	case PB_FIELD_LAST_EVENT:
		req->has_last_event =
		    read_number(value, INT64_MAX / 2, &req->last_event);
		break;
	default:
		break;
	}
}

static void
read_fields(struct pb_conn *conn, struct request *req)
{
	const struct pb_http_head *h = &conn->reader.head;
	size_t i;

	for (i = 0; i < h->field_count; i++) {
		struct pb_str name = pb_http_name(h, i);
		struct pb_str value = pb_http_value(h, i);

		if (pb_same_http_name(name, "Host")) {
			req->invalid = req->invalid || req->host.len > 0;
			req->host = value;
		} else if (pb_same_http_name(name, "Connection")) {
			req->connection = value;
		} else if (pb_same_http_name(name, "Content-Length")) {
			req->has_body = true;
		} else {
			read_known_field(conn,
			    conn->gw->adapter->classify_field(name), value,
			    req);
		}
	}
}

/* Returns true if the field is forwarded to the upstream unchanged. */
static bool
is_forwarded(
    struct pb_conn *conn, const struct request *req, struct pb_str name)
{
	enum pb_request_field kind = conn->gw->adapter->classify_field(name);

	if (pb_is_hop_by_hop_field(name))
		return false;
	switch (kind) {
	case PB_FIELD_FORWARD:
		return !pb_http_list_has(req->connection, name);
	case PB_FIELD_REQUEST_ID:
	case PB_FIELD_PROMPT:
		return true;
	case PB_FIELD_LAST_EVENT:
		return !req->has_last_event;
	default:
		return false;
	}
}

static int
copy_head(struct pb_exchange *x, const struct request *req)
{
	const struct pb_http_head *h = &x->conn->reader.head;
	struct pb_str target = pb_http_target(h);
	size_t i;
	int rc = pb_append_fmt(&x->head, "%s %.*s HTTP/1.1\r\n",
	    http_method_str(h->method), (int)target.len, target.data);

	for (i = 0; i < h->field_count && rc == PB_OK; i++) {
		struct pb_str name = pb_http_name(h, i);
		struct pb_str value = pb_http_value(h, i);

		if (is_forwarded(x->conn, req, name))
			rc = pb_append_fmt(&x->head, "%.*s: %.*s\r\n",
			    (int)name.len, name.data, (int)value.len,
			    value.data);
	}
	return rc;
}

/*
 * Records all prompt parts but the last, and sets the affinity hash from them.
 * Requests for which these parts are equal share the prompt prefix that an
 * engine has processed. The last part is specific to the request or its
 * session.
 */
static void
set_prompt(struct pb_exchange *x, const struct pb_prompt *prompt)
{
	uint64_t hash = 1;
	size_t i;

	for (i = 0; i < prompt->count; i++) {
		const struct pb_prompt_part *p = &prompt->parts[i];

		x->prompt_tokens += p->tokens;
		if (i + 1 == prompt->count)
			break;
		hash = pb_hash(p->id.data, p->id.len, hash);
		x->shared_parts[x->shared_part_count++] =
		    pb_arena_str(x->arena, p->id.data, p->id.len);
	}
	if (prompt->count > 1)
		x->affinity = hash;
}

static struct pb_service_budget *
find_budget(struct pb_gateway *gw, struct pb_str service)
{
	struct pb_service_budget *b;

	for (b = gw->budgets; b != NULL; b = b->next) {
		if (pb_str_equal_c(service, b->service))
			return b;
	}
	b = calloc(1, sizeof(*b));
	if (b == NULL)
		return NULL;
	b->window =
	    pb_new_retry_window(gw->ctx, gw->settings.retry_window_s * PB_SEC,
		(double)gw->settings.retry_permille / 1000, 0);
	b->admission = pb_new_admission(gw->ctx);
	if (b->window == NULL || b->admission == NULL ||
	    service.len >= sizeof(b->service)) {
		pb_drop_retry_window(gw->ctx, b->window);
		pb_drop_admission(gw->ctx, b->admission);
		free(b);
		return NULL;
	}
	memcpy(b->service, service.data, service.len);
	b->next = gw->budgets;
	gw->budgets = b;
	return b;
}

/* Records the priority of the request on its connection. */
static void
set_priority(struct pb_conn *conn, const struct pb_routing *routing,
    const struct pb_route *route, const struct pb_account *account,
    struct pb_service_budget *budget)
{
	int count;

	conn->rank = pb_find_request_rank(budget, routing, route, account);
	count = budget->ranks.count;
	conn->rank_count = count < PB_RANKS ? count : PB_RANKS;
	conn->account = 0;
	if (account != NULL)
		conn->account =
		    pb_hash(account->name.data, account->name.len, 0);
}

/* Returns the shorter of the limits of the caller and of the route. */
static int64_t
find_time_limit(const struct request *req, const struct pb_route *route)
{
	if (route->timeout_us == 0 ||
	    (req->time_limit_us > 0 && req->time_limit_us < route->timeout_us))
		return req->time_limit_us;
	return route->timeout_us;
}

static int
fill_exchange(struct pb_exchange *x, const struct request *req,
    const struct pb_route *route, const struct pb_account *account)
{
	struct pb_gateway *gw = x->gw;
	const struct pb_backend *backend =
	    pb_draw_backend(route, pb_next_uniform(&gw->rnd));

	if (backend == NULL)
		return PB_ENOENT;
	x->route = route;
	x->is_head = x->conn->reader.head.method == HTTP_HEAD;
	x->account = account;
	x->service = backend->service;
	x->budget = find_budget(gw, backend->service);
	x->request_id = pb_arena_str(x->arena, req->id.data, req->id.len);
	snprintf(x->log_id, sizeof(x->log_id), "%.*s", (int)req->id.len,
	    req->id.data);
	x->received_us = pb_now(gw->ctx);
	x->deadline_us = x->received_us + find_time_limit(req, route);
	x->has_last_event = req->has_last_event;
	x->last_event = req->last_event;
	x->has_body = req->has_body || x->conn->body.len > 0;
	x->repeatable = route->kind == PB_ROUTE_IDEMPOTENT || route->resumable;
	set_prompt(x, &req->prompt);
	if (x->budget == NULL)
		return PB_ENOMEM;
	set_priority(x->conn, x->routing, route, account, x->budget);
	x->rank = x->conn->rank;
	x->account_hash = x->conn->account;
	return copy_head(x, req);
}

static void
reject(struct pb_conn *conn, const struct request *req, int status,
    const char *why)
{
	struct pb_gateway *gw = conn->gw;
	char id[64];

	snprintf(id, sizeof(id), "%.*s", (int)req->id.len,
	    req->id.len > 0 ? req->id.data : "");
	pb_log(gw->ctx, PB_INFO, "check request", NULL, id,
	    "refused with %d: %s; configuration %lld, confirmed %lld ms ago",
	    status, why,
	    gw->routing != NULL ? (long long)gw->routing->version : -1,
	    (long long)((pb_now(gw->ctx) - gw->routing_fresh_us) / PB_MSEC));
	if (status != 503) {
		pb_send_response(conn, status, PB_STR_NONE, PB_STR_NONE);
		return;
	}
	/*
	 * The connection is closed so that the caller reconnects: another
	 * router may have a newer configuration.
	 */
	conn->close_after = true;
	pb_refuse_conn(conn, status,
	    req->time_limit_us > 0 ? req->time_limit_us : PB_SEC, 0);
}

/*
 * Returns false if the configuration was confirmed so long ago that a key may
 * have been revoked for too long.
 */
static bool
keys_are_current(struct pb_gateway *gw)
{
	int64_t age = pb_now(gw->ctx) - gw->routing_fresh_us;

	return gw->settings.strict_revoke == 0 || age < pb_routing_age_max(gw);
}

/* Returns the account of the request's key, or NULL. */
static const struct pb_account *
find_account(const struct pb_routing *routing, const struct request *req)
{
	if (!routing->keys_required || !req->has_key)
		return NULL;
	return pb_find_key_holder(routing, req->key);
}

void
pb_read_priority(struct pb_conn *conn)
{
	const struct pb_routing *routing = conn->gw->routing;
	struct request req = {0};
	const struct pb_account *account;
	const struct pb_route *route;
	struct pb_service_budget *budget;

	conn->rank = PB_RANKS - 1;
	conn->rank_count = PB_RANKS;
	conn->account = 0;
	if (routing == NULL)
		return;
	read_fields(conn, &req);
	route = pb_find_route(
	    routing, req.host, pb_http_target(&conn->reader.head));
	account = find_account(routing, &req);
	if (route == NULL || route->backend_count == 0 ||
	    (routing->keys_required && !route->public_access &&
		account == NULL))
		return;
	budget = find_budget(conn->gw, route->backends[0].service);
	if (budget != NULL)
		set_priority(conn, routing, route, account, budget);
}

static void
on_request(struct pb_conn *conn)
{
	struct pb_gateway *gw = conn->gw;
	struct request req = {0};
	const struct pb_account *account = NULL;
	const struct pb_route *route;
	struct pb_str target = pb_http_target(&conn->reader.head);
	struct pb_exchange *x;

	read_fields(conn, &req);
	if (req.invalid || req.host.len == 0 || req.id.len == 0 ||
	    target.len == 0 || target.data[0] != '/') {
		conn->close_after = true;
		reject(conn, &req, 400,
		    "Host or request ID is missing or repeated, or the target "
		    "is not a path");
		return;
	}
	if (gw->routing == NULL) {
		reject(conn, &req, 503, "no configuration has been loaded yet");
		return;
	}
	if (!pb_knows_crashes(gw->crash_fetch)) {
		reject(conn, &req, 503,
		    "crashes known to other routers have not been received yet");
		return;
	}
	route = pb_find_route(gw->routing, req.host, target);
	if (route == NULL) {
		reject(conn, &req, 404, "no route matches host and target");
		return;
	}
	account = find_account(gw->routing, &req);
	if (gw->routing->keys_required && !route->public_access) {
		if (!keys_are_current(gw)) {
			reject(conn, &req, 503, "keys cannot be confirmed");
			return;
		}
		if (account == NULL) {
			reject(conn, &req, 401, "no account has the key");
			return;
		}
	}
	if (!pb_admits_request(gw, find_time_limit(&req, route))) {
		reject(conn, &req, 503, "stopping");
		return;
	}
	x = pb_new_exchange(conn);
	if (x == NULL || fill_exchange(x, &req, route, account) != PB_OK) {
		pb_drop_exchange(x);
		conn->exchange = NULL;
		reject(conn, &req, 503,
		    "out of memory, or the route has no service");
		return;
	}
	pb_start_exchange(x);
}

const struct pb_conn_ops pb_caller_ops = {on_request};
