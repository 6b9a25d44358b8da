#include "gateway-internal.h"

/*
 * New connections arrive for this long after a stop has begun: the load
 * balancer checks readiness once a second and needs two failed checks.
 */
#define READINESS_NOTICE_US (2500 * PB_MSEC)
/* The process ends at least this long before stop_ms has passed. */
#define STOP_MARGIN_US (250 * PB_MSEC)

/*
 * Requests that arrive within this time after the start of a stop are always
 * accepted, even if the end of the stop may abort them.
 */
#define ADMIT_US (2800 * PB_MSEC)

static int64_t
stop_limit(const struct pb_gateway *gw)
{
	return gw->settings.stop_ms * PB_MSEC - STOP_MARGIN_US;
}

bool
pb_admits_request(const struct pb_gateway *gw, int64_t timeout_us)
{
	int64_t since = pb_now(gw->ctx) - gw->stop_us;

	return gw->stop_us == 0 || since <= ADMIT_US ||
	    timeout_us <= stop_limit(gw) - since;
}

void
pb_begin_stop(struct pb_gateway *gw)
{
	if (gw->stop_us != 0)
		return;
	gw->stop_us = pb_now(gw->ctx);
	pb_log(gw->ctx, PB_INFO, "stop", NULL, NULL,
	    "stop requested; reporting not ready and serving until all "
	    "callers have disconnected");
}

void
pb_continue_stop(struct pb_gateway *gw)
{
	int64_t now = pb_now(gw->ctx);
	int64_t limit = stop_limit(gw);

	if (gw->stop_us == 0 || now - gw->stop_us < READINESS_NOTICE_US)
		return;
	pb_close_idle_conns(gw);
	if (!TAILQ_EMPTY(&gw->exchanges) && now - gw->stop_us < limit)
		return;
	if (!TAILQ_EMPTY(&gw->conns) && now - gw->stop_us < limit)
		return;
	pb_log(gw->ctx, PB_INFO, "stop", NULL, NULL, "stopped after %lld ms%s",
	    (long long)((now - gw->stop_us) / PB_MSEC),
	    TAILQ_EMPTY(&gw->exchanges) ? ""
					: "; requests in progress aborted");
	event_base_loopbreak(gw->base);
}
