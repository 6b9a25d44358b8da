#include "gateway-exchange.h"

/*
 * The only place that ends an exchange. It sends the caller the truest answer
 * that can still be sent, logs one line and counts the reason.
 */

static const char *
kind_name(enum pb_route_kind kind)
{
	static const char *const names[] = {
	    "idempotent", "non_idempotent", "streaming"};

	return names[kind];
}

static void
log_end(struct pb_exchange *x, const char *outcome)
{
	struct pb_gateway *gw = x->gw;
	char first[48] = "no part passed on";

	if (x->first_us != 0)
		snprintf(first, sizeof(first), "first part after %lld ms",
		    (long long)((x->first_us - x->received_us) / PB_MSEC));
	pb_log(gw->ctx, PB_INFO, "end request", NULL, x->log_id,
	    "%s; route %.*s (%s), account %.*s, attempts %d, status %d, "
	    "%s, all after %lld ms, may have run: %s, configuration %lld",
	    outcome, (int)x->route->name.len, x->route->name.data,
	    kind_name(x->route->kind),
	    x->account != NULL ? (int)x->account->name.len : 0,
	    x->account != NULL ? x->account->name.data : "", x->attempts,
	    x->status, first,
	    (long long)((pb_now(gw->ctx) - x->received_us) / PB_MSEC),
	    x->may_have_run ? "yes" : "no", (long long)x->routing->version);
}

/* Returns true if an upstream may have begun to run the request. */
static bool
may_have_run(const struct pb_exchange *x)
{
	return x->may_have_run || pb_is_sent(&x->call);
}

/* The response of the upstream, as it is sent to the caller. */
struct outgoing {
	struct pb_buf fields;
	struct pb_buf body;
	int status;
	bool streaming;
	bool started;
};

static struct outgoing
take_response(struct pb_exchange *x)
{
	struct outgoing out = {x->response_fields, x->response, x->status,
	    x->streaming, x->started};

	x->response_fields = (struct pb_buf){0};
	x->response = (struct pb_buf){0};
	pb_update_exchange_memory(x);
	return out;
}

static void
forward_response(struct pb_conn *conn, const struct outgoing *out)
{
	struct pb_str fields = {out->fields.data, out->fields.len};
	struct pb_str body = {out->body.data, out->body.len};

	if (!out->streaming) {
		pb_send_response(conn, out->status, fields, body);
		return;
	}
	if (!out->started)
		pb_start_response(conn, out->status, fields);
	pb_send_response_part(conn, body);
	pb_end_response(conn);
}

/*
 * Returns when a refused caller may retry, or 0 after a short random time. If
 * all instances of the service are paused, that is when the first one takes
 * requests again at this router.
 */
static int64_t
find_retry_after(const struct pb_exchange *x, enum pb_end_reason reason)
{
	int64_t left = x->retry_after_us;

	if (left == 0)
		left =
		    pb_reopening_left(x->gw->ctx, x->gw->registry, x->service);
	return pb_choose_retry_after(reason, x->gw->stop_us != 0, left);
}

void
pb_end_exchange(struct pb_exchange *x, enum pb_end_reason reason)
{
	struct pb_gateway *gw = x->gw;
	struct pb_conn *conn = x->conn;
	struct pb_end_state state = {conn != NULL, may_have_run(x), x->started};
	struct pb_ending ending = pb_decide_ending(reason, &state);
	int64_t left = x->deadline_us - pb_now(gw->ctx);
	int64_t retry_after =
	    ending.status == 503 ? find_retry_after(x, reason) : 0;
	struct outgoing out = take_response(x);

	x->may_have_run = state.may_have_run;
	if (ending.status != 0)
		x->status = ending.status;
	if (x->first_us == 0)
		pb_note_latency(x);
	log_end(x, pb_end_reason_text(reason));
	pb_count_ending(gw->metrics, x->route->kind, reason,
	    pb_now(gw->ctx) - x->received_us);
	x->conn = NULL;
	if (conn != NULL)
		conn->exchange = NULL;
	pb_drop_exchange(x);
	if (ending.action == PB_END_FORWARD)
		forward_response(conn, &out);
	else if (ending.action == PB_END_CLOSE)
		pb_abort_response(conn);
	else if (ending.action == PB_END_SEND_STATUS && ending.status == 503)
		pb_refuse_conn(conn, ending.status, left, retry_after);
	else if (ending.action == PB_END_SEND_STATUS)
		pb_send_response(conn, ending.status, PB_STR_NONE, PB_STR_NONE);
	pb_clear_buf(&out.fields);
	pb_clear_buf(&out.body);
}
