#include "gateway-exchange.h"

#include <stdlib.h>
#include <string.h>

/* A connection that is not established within this time is abandoned. */
#define CONNECT_LIMIT_US (400 * PB_MSEC)
/*
 * An attempt without a response after this multiple of the route's latency
 * objective counts as a failure of its instance. An idempotent request is then
 * sent to another instance.
 */
#define STALL_FACTOR 3
#define STALL_MIN_US (300 * PB_MSEC)
/*
 * A resumable stream that is silent for this long is resumed at another
 * instance. Callers disconnect after two seconds of silence or more.
 */
#define STREAM_SILENCE_US (1500 * PB_MSEC)
/*
 * A stream that receives bytes but no complete event for the longest of these
 * times is ended. A silent stream may still go on and is not ended.
 */
#define STREAM_END_US (3 * PB_SEC)
#define STREAM_END_TARGETS 6 /* multiples of the route's latency objective */
#define STREAM_END_GAPS 12 /* multiples of the route's longest allowed gap */

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
pb_free_slot(struct pb_exchange *x, struct pb_instance *instance)
{
	pb_note_release(instance, x->route->kind == PB_ROUTE_STREAMING);
	pb_drop_instance(instance);
	pb_note_end(x->budget->admission, x->rank);
	pb_schedule_dispatch(x->gw);
}

void
pb_release_instance(struct pb_exchange *x)
{
	if (x->instance == NULL)
		return;
	pb_free_slot(x, x->instance);
	x->instance = NULL;
}

void
pb_drop_exchange(struct pb_exchange *x)
{
	size_t i;

	if (x == NULL)
		return;
	pb_cancel_call(&x->call);
	pb_release_instance(x);
	pb_drop_standby(x);
	if (x->budget != NULL)
		pb_remove_waiter(x->budget->admission, &x->waiter);
	for (i = 0; i < x->tried_count; i++)
		pb_drop_instance(x->tried[i]);
	if (x->timer != NULL)
		event_free(x->timer);
	TAILQ_REMOVE(&x->gw->exchanges, x, entry);
	pb_drop_routing(x->gw->ctx, x->routing);
	pb_drop_arena(x->gw->ctx, x->arena);
	pb_clear_buf(&x->head);
	pb_clear_buf(&x->body);
	pb_clear_buf(&x->response_fields);
	pb_clear_buf(&x->response);
	pb_update_exchange_memory(x);
	free(x);
}

/* Returns true if another attempt replaces one that is silent for too long. */
static bool
retries_silent_attempt(const struct pb_exchange *x)
{
	return x->route->kind == PB_ROUTE_IDEMPOTENT ||
	    (x->route->kind == PB_ROUTE_STREAMING && x->route->resumable);
}

static int64_t
later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Returns the time at which the current attempt counts as stalled. */
static int64_t
find_stall(const struct pb_exchange *x)
{
	int64_t limit = x->route->target_us * STALL_FACTOR;

	if (pb_is_held(&x->call))
		return INT64_MAX;
	if (!x->call.link->connected)
		return x->attempt_us + CONNECT_LIMIT_US;
	if (x->route->kind == PB_ROUTE_STREAMING && x->route->resumable)
		return later(x->progress_us, x->stall_checked_us) +
		    STREAM_SILENCE_US;
	if (!retries_silent_attempt(x) &&
	    (x->silence_noted || x->progress_us > x->attempt_us))
		return INT64_MAX;
	return later(x->attempt_us, x->stall_checked_us) +
	    (limit > STALL_MIN_US ? limit : STALL_MIN_US);
}

/* Returns true if a stream goes on receiving bytes without a whole event. */
static bool
is_dribbling(const struct pb_exchange *x)
{
	return x->streaming && x->part_us - x->progress_us >= STREAM_SILENCE_US;
}

/* Returns the time at which a stream that dribbles is ended. */
static int64_t
find_stream_end(const struct pb_exchange *x)
{
	int64_t targets = x->route->target_us * STREAM_END_TARGETS;
	int64_t gaps = x->route->max_gap_us * STREAM_END_GAPS;
	int64_t limit = targets > gaps ? targets : gaps;

	if (!x->streaming || x->route->target_us == 0 || pb_is_held(&x->call))
		return INT64_MAX;
	return x->progress_us + (limit > STREAM_END_US ? limit : STREAM_END_US);
}

/* Returns the earliest time at which the timer must fire. */
static int64_t
next_check(const struct pb_exchange *x)
{
	int64_t at = x->deadline_us;
	int64_t now = pb_now(x->gw->ctx);
	int64_t end = find_stream_end(x);

	if (x->waiter.queued && x->wait_end_us < at)
		return x->wait_end_us;
	if (x->call.link == NULL)
		return at;
	if (find_stall(x) < at)
		at = find_stall(x);
	if (end <= now)
		end = now + STREAM_SILENCE_US;
	return end < at ? end : at;
}

void
pb_arm_exchange(struct pb_exchange *x)
{
	int64_t delay = next_check(x) - pb_now(x->gw->ctx);

	pb_set_timer(x->timer, delay > PB_MSEC ? delay : PB_MSEC);
}

/* Ends a request whose deadline has passed. */
static void
expire_exchange(struct pb_exchange *x)
{
	bool sent = x->attempts > 0 || x->may_have_run;

	x->may_have_run = sent;
	pb_end_exchange(x, sent ? PB_END_TIMEOUT : PB_END_NOT_SENT);
}

/* Asks another instance if an attempt is silent for too long. */
static void
abandon_stalled_attempt(struct pb_exchange *x)
{
	struct pb_gateway *gw = x->gw;

	if (!x->call.link->connected) {
		pb_note_unreachable(gw->ctx, x->instance);
		if (pb_return_to_standby(x))
			return;
		pb_cancel_call(&x->call);
		pb_next_attempt(x);
		return;
	}
	if (pb_start_takeover(x))
		return;
	/* Checks again later, when the retry budget may allow it. */
	x->stall_checked_us = pb_now(gw->ctx);
	pb_arm_exchange(x);
}

/*
 * Records a silent attempt of a request that must not run twice. The router
 * keeps waiting for the response, but later requests can avoid the instance.
 */
static void
note_silence(struct pb_exchange *x)
{
	struct pb_gateway *gw = x->gw;

	x->silence_noted = true;
	pb_log(gw->ctx, PB_WARN, "attempt silent", x->instance->id, x->log_id,
	    "no response after %lld ms; still waiting for it",
	    (long long)((pb_now(gw->ctx) - x->attempt_us) / PB_MSEC));
	pb_note_outcome(gw->ctx, gw->registry, x->instance, true);
	pb_arm_exchange(x);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pb_exchange *x = arg;
	int64_t now = pb_now(x->gw->ctx);
	bool stalled = x->call.link != NULL && now >= find_stall(x);

	(void)fd;
	(void)what;
	if (now >= x->deadline_us)
		expire_exchange(x);
	else if (x->waiter.queued && now >= x->wait_end_us)
		pb_end_exchange(x, PB_END_NO_ROOM_IN_TIME);
	else if (x->call.link != NULL && now >= find_stream_end(x) &&
	    is_dribbling(x))
		pb_end_attempt(x, PB_END_DRIBBLING);
	else if (!stalled)
		pb_arm_exchange(x);
	else if (x->call.link->connected && !retries_silent_attempt(x))
		note_silence(x);
	else
		abandon_stalled_attempt(x);
}

void
pb_start_exchange(struct pb_exchange *x)
{
	struct pb_conn *conn = x->conn;

	x->body = conn->body;
	conn->body = (struct pb_buf){0};
	pb_update_conn_memory(conn);
	pb_update_exchange_memory(x);
	x->timer = evtimer_new(x->gw->base, on_timer, x);
	if (x->timer == NULL) {
		pb_end_exchange(x, PB_END_NO_MEMORY);
		return;
	}
	pb_set_fingerprints(x);
	pb_note_window_request(x->gw->ctx, x->budget->window);
	pb_next_attempt(x);
}

void
pb_detach_caller(struct pb_exchange *x)
{
	x->conn = NULL;
	/*
	 * A request that must not run twice is allowed to complete once it has
	 * been sent, because cancelling it would leave its outcome unknown.
	 */
	if (x->route->kind == PB_ROUTE_NON_IDEMPOTENT && pb_is_sent(&x->call)) {
		pb_end_hold(x);
		return;
	}
	pb_end_exchange(x, PB_END_CALLER_LEFT);
}
