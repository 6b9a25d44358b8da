#include "gateway-follow.h"

#include <string.h>

/* Refused callers are told to retry after a random time in this range. */
#define RETRY_AFTER_MIN_US (200 * PB_MSEC)
#define RETRY_AFTER_MAX_US (800 * PB_MSEC)

bool
pb_is_ready(struct pb_gateway *gw)
{
	int64_t age = pb_now(gw->ctx) - gw->routing_fresh_us;

	return gw->stop_us == 0 && gw->routing != NULL &&
	    gw->instances_fresh_us != 0 && pb_knows_crashes(gw->crash_fetch) &&
	    (gw->settings.strict_revoke == 0 || age < pb_routing_age_ready(gw));
}

static void
send_readiness(struct pb_conn *conn)
{
	struct pb_gateway *gw = conn->gw;
	bool ready = pb_is_ready(gw);

	if (ready != gw->last_ready)
		pb_log(gw->ctx, PB_INFO, "readiness", NULL, NULL,
		    "%s; configuration %lld, confirmed %lld ms ago%s",
		    ready ? "ready" : "not ready",
		    gw->routing != NULL ? (long long)gw->routing->version : -1,
		    (long long)((pb_now(gw->ctx) - gw->routing_fresh_us) /
			PB_MSEC),
		    gw->stop_us != 0 ? "; stopping" : "");
	gw->last_ready = ready;
	pb_send_response(conn, ready ? 200 : 503, PB_STR_NONE, PB_STR_NONE);
}

static void
send_metrics(struct pb_conn *conn)
{
	struct pb_buf buf = {0};

	pb_format_gateway_metrics(conn->gw, &buf);
	pb_send_response(conn, 200,
	    pb_str_from("Content-Type: text/plain; version=0.0.4\r\n"),
	    (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
}

const struct pb_conn_ops pb_ready_ops = {send_readiness};
const struct pb_conn_ops pb_metrics_ops = {send_metrics};

/* Returns a random time after which a refused caller may retry. */
static int64_t
draw_retry_delay(struct pb_gateway *gw, int64_t left_us)
{
	int64_t span = RETRY_AFTER_MAX_US - RETRY_AFTER_MIN_US;
	int64_t after = RETRY_AFTER_MIN_US +
	    (int64_t)(pb_next_uniform(&gw->rnd) * (double)span);

	/* Leaves the caller enough time for a second attempt. */
	return after < left_us / 3 ? after : left_us / 3;
}

void
pb_refuse_conn(
    struct pb_conn *conn, int status, int64_t left_us, int64_t after_us)
{
	char fields[64];

	if (after_us == 0)
		after_us = draw_retry_delay(conn->gw, left_us);
	snprintf(fields, sizeof(fields), "Retry-After: %.3f\r\n",
	    (double)after_us / (double)PB_SEC);
	pb_send_response(conn, status, pb_str_from(fields), PB_STR_NONE);
}
