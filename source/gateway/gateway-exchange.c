#include "gateway-internal.h"

#include <stdlib.h>
#include <string.h>

/* A connection that is not open by then is given up. */
#define CONNECT_LIMIT_US (400 * PB_MSEC)
/*
 * An attempt without an answer for this multiple of its objective counts
 * against its instance; an idempotent call is then sent to another one.
 */
#define STALL_FACTOR 3
#define STALL_MIN_US (300 * PB_MSEC)
/* A resumable stream that is silent for this long goes on elsewhere: callers
 * give up after two seconds or more. */
#define STREAM_SILENCE_US (1500 * PB_MSEC)
/*
 * A stream without a whole event for the longest of these has no caller any
 * more: they give up after two thirds of it.
 */
#define STREAM_END_US (3 * PB_SEC)
#define STREAM_END_TARGETS 6 /* latency objectives */
#define STREAM_END_GAPS 12 /* longest pauses that are on time */

struct pb_exchange *
pb_new_exchange(struct pb_conn *conn)
{
	struct pb_gateway *gw = conn->gw;
	struct pb_exchange *x = calloc(1, sizeof(*x));

	if (x == NULL)
		return NULL;
	TAILQ_INSERT_TAIL(&gw->exchanges, x, entry);
	x->gw = gw;
	x->conn = conn;
	conn->exchange = x;
	x->routing = pb_keep_routing(gw->routing);
	x->arena = pb_new_arena(gw->ctx);
	if (x->arena == NULL) {
		pb_drop_exchange(x);
		return NULL;
	}
	return x;
}

void
pb_release_instance(struct pb_exchange *x)
{
	if (x->instance == NULL)
		return;
	pb_note_release(x->instance, x->route->kind == PB_ROUTE_STREAMING);
	pb_drop_instance(x->instance);
	x->instance = NULL;
	pb_note_end(x->budget->admission, x->rank);
	pb_look_for_room(x->gw);
}

void
pb_drop_exchange(struct pb_exchange *x)
{
	size_t i;

	if (x == NULL)
		return;
	pb_cancel_call(&x->call);
	pb_release_instance(x);
	if (x->budget != NULL)
		pb_remove_waiter(x->budget->admission, &x->waiting);
	for (i = 0; i < x->tried_count; i++)
		pb_drop_instance(x->tried[i]);
	if (x->timer != NULL)
		event_free(x->timer);
	TAILQ_REMOVE(&x->gw->exchanges, x, entry);
	pb_drop_routing(x->gw->ctx, x->routing);
	pb_drop_arena(x->gw->ctx, x->arena);
	pb_clear_buf(&x->head);
	pb_clear_buf(&x->body);
	pb_clear_buf(&x->answer_fields);
	pb_clear_buf(&x->answer);
	pb_account_answer(x);
	free(x);
}

static const char *
kind_name(enum pb_route_kind kind)
{
	static const char *const names[] = {
	    "idempotent", "non_idempotent", "streaming"};

	return names[kind];
}

void
pb_finish_exchange(struct pb_exchange *x, const char *outcome)
{
	struct pb_gateway *gw = x->gw;
	int64_t now = pb_now(gw->ctx);
	char first[48] = "no part passed on";

	if (x->first_us == 0)
		pb_note_pace(x);
	else
		snprintf(first, sizeof(first), "first part after %lld ms",
		    (long long)((x->first_us - x->received_us) / PB_MSEC));
	pb_log(gw->ctx, PB_INFO, "end request", NULL, x->log_id,
	    "%s; route %.*s (%s), account %.*s, attempts %d, status %d, "
	    "%s, all after %lld ms, may have run: %s, configuration %lld",
	    outcome, (int)x->route->name.len, x->route->name.data,
	    kind_name(x->route->kind),
	    x->account != NULL ? (int)x->account->name.len : 0,
	    x->account != NULL ? x->account->name.data : "", x->attempts,
	    x->status, first, (long long)((now - x->received_us) / PB_MSEC),
	    x->may_have_run ? "yes" : "no", (long long)x->routing->version);
	pb_count_outcome(
	    gw->metrics, x->route->kind, outcome, now - x->received_us);
	pb_drop_exchange(x);
}

void
pb_fail_exchange(struct pb_exchange *x, int status, const char *why)
{
	struct pb_conn *conn = x->conn;
	int64_t left = x->deadline_us - pb_now(x->gw->ctx);
	bool started = x->started;

	x->conn = NULL;
	x->status = status;
	pb_finish_exchange(x, why);
	if (conn == NULL)
		return;
	conn->exchange = NULL;
	if (started)
		pb_abort_conn(conn);
	else if (status == 503)
		pb_refuse_conn(conn, status, left);
	else
		pb_reply_conn(conn, status, PB_STR_NONE, PB_STR_NONE);
}

/* True if an attempt that is silent for too long is given up for another. */
static bool
leaves_silent_attempt(const struct pb_exchange *x)
{
	return x->route->kind == PB_ROUTE_IDEMPOTENT ||
	    (x->route->kind == PB_ROUTE_STREAMING && x->route->resumable);
}

static int64_t
later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* When the attempt in progress has been silent for too long. */
static int64_t
find_stall(const struct pb_exchange *x)
{
	int64_t limit = x->route->target_us * STALL_FACTOR;

	if (!x->call.link->connected)
		return x->attempt_us + CONNECT_LIMIT_US;
	if (x->route->kind == PB_ROUTE_STREAMING && x->route->resumable)
		return later(x->progress_us, x->looked_us) + STREAM_SILENCE_US;
	if (!leaves_silent_attempt(x) &&
	    (x->silence_noted || x->progress_us > x->attempt_us))
		return INT64_MAX;
	return later(x->attempt_us, x->looked_us) +
	    (limit > STALL_MIN_US ? limit : STALL_MIN_US);
}

/* When a stream that brings no whole event is ended. */
static int64_t
find_stream_end(const struct pb_exchange *x)
{
	int64_t targets = x->route->target_us * STREAM_END_TARGETS;
	int64_t gaps = x->route->max_gap_us * STREAM_END_GAPS;
	int64_t limit = targets > gaps ? targets : gaps;

	if (!x->streaming || x->route->target_us == 0)
		return INT64_MAX;
	return x->progress_us + (limit > STREAM_END_US ? limit : STREAM_END_US);
}

/* The earliest moment at which the timer has something to do. */
static int64_t
next_check(const struct pb_exchange *x)
{
	int64_t at = x->deadline_us;

	if (x->waiting.queued && x->wait_end_us < at)
		return x->wait_end_us;
	if (x->call.link == NULL)
		return at;
	if (find_stall(x) < at)
		at = find_stall(x);
	if (find_stream_end(x) < at)
		at = find_stream_end(x);
	return at;
}

void
pb_arm_exchange(struct pb_exchange *x)
{
	int64_t delay = next_check(x) - pb_now(x->gw->ctx);

	pb_set_timer(x->timer, delay > PB_MSEC ? delay : PB_MSEC);
}

/* The time of the request is over. */
static void
expire_exchange(struct pb_exchange *x)
{
	if (x->attempts == 0 && !x->may_have_run) {
		pb_fail_exchange(x, 503, "not sent in time");
		return;
	}
	x->may_have_run = true;
	pb_fail_exchange(x, 504, "timeout");
}

/* Nothing came from the upstream for too long. */
static void
leave_stalled_attempt(struct pb_exchange *x)
{
	struct pb_gateway *gw = x->gw;

	if (!x->call.link->connected) {
		pb_note_unreachable(gw->ctx, x->instance);
		pb_cancel_call(&x->call);
		pb_next_attempt(x);
		return;
	}
	if (!pb_take_attempt(x)) {
		/* Looks again later: the budget may allow it then. */
		x->looked_us = pb_now(gw->ctx);
		pb_arm_exchange(x);
		return;
	}
	pb_note_outcome(gw->ctx, gw->registry, x->instance, true);
	x->may_have_run = true;
	pb_cancel_call(&x->call);
	pb_next_attempt(x);
}

/*
 * The request may not run twice, so its answer is still waited for; later
 * requests can avoid the instance.
 */
static void
note_silence(struct pb_exchange *x)
{
	struct pb_gateway *gw = x->gw;

	x->silence_noted = true;
	pb_log(gw->ctx, PB_WARN, "attempt silent", x->instance->id, x->log_id,
	    "no answer after %lld ms; still waiting",
	    (long long)((pb_now(gw->ctx) - x->attempt_us) / PB_MSEC));
	pb_note_outcome(gw->ctx, gw->registry, x->instance, true);
	pb_arm_exchange(x);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pb_exchange *x = arg;
	int64_t now = pb_now(x->gw->ctx);
	int64_t at = next_check(x);

	(void)fd;
	(void)what;
	if (now >= x->deadline_us)
		expire_exchange(x);
	else if (x->waiting.queued && now >= x->wait_end_us)
		pb_fail_exchange(x, 503, "no room in time");
	else if (x->call.link == NULL || now < at)
		pb_arm_exchange(x);
	else if (now >= find_stream_end(x))
		pb_end_attempt(x, "no whole event for too long");
	else if (x->call.link->connected && !leaves_silent_attempt(x))
		note_silence(x);
	else
		leave_stalled_attempt(x);
}

void
pb_start_exchange(struct pb_exchange *x)
{
	struct pb_conn *conn = x->conn;

	x->body = conn->body;
	conn->body = (struct pb_buf){0};
	pb_account_conn(conn);
	x->timer = evtimer_new(x->gw->base, on_timer, x);
	if (x->timer == NULL) {
		pb_fail_exchange(x, 503, "out of memory");
		return;
	}
	x->fingerprint = pb_fingerprint(pb_http_target(&conn->reader.head),
	    x->account != NULL ? x->account->name : PB_STR_NONE,
	    (struct pb_str){x->body.data, x->body.len});
	pb_note_window_request(x->gw->ctx, x->budget->window);
	pb_next_attempt(x);
}

void
pb_leave_exchange(struct pb_exchange *x)
{
	x->conn = NULL;
	/*
	 * Work that may not be repeated is left to end by itself: breaking it
	 * off would leave its outcome unknown.
	 */
	if (x->route->kind == PB_ROUTE_NON_IDEMPOTENT && x->call.link != NULL)
		return;
	pb_finish_exchange(x, "caller left");
}
