#include "gateway-exchange.h"

/*
 * New connections arrive for this long after a stop has begun: the load
 * balancer checks readiness once a second and needs two failed checks.
 */
#define READINESS_NOTICE_US (2500 * PB_MSEC)
/* The process ends at least this long before stop_ms has passed. */
#define STOP_MARGIN_US (250 * PB_MSEC)
/* Time to send the answers of the requests that the end of the stop ends. */
#define LAST_ANSWERS_US (100 * PB_MSEC)

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

int64_t
pb_last_start(const struct pb_gateway *gw, int64_t deadline_us)
{
	if (gw->stop_us == 0 || deadline_us <= gw->stop_us + stop_limit(gw))
		return INT64_MAX;
	return gw->stop_us + ADMIT_US;
}

bool
pb_admits_request(const struct pb_gateway *gw, int64_t limit_us)
{
	int64_t now = pb_now(gw->ctx);

	return now <= pb_last_start(gw, now + limit_us);
}

/* Ends the requests in progress when the stop leaves no more time for them. */
static void
end_exchanges(struct pb_gateway *gw)
{
	size_t count = 0;

	while (!TAILQ_EMPTY(&gw->exchanges)) {
		pb_end_exchange(TAILQ_FIRST(&gw->exchanges), PB_END_STOPPING);
		count++;
	}
	if (count > 0)
		pb_log(gw->ctx, PB_WARN, "stop", NULL, NULL,
		    "%zu requests in progress ended by the end of the stop",
		    count);
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
	pb_limit_waits(gw);
}

void
pb_continue_stop(struct pb_gateway *gw)
{
	int64_t now = pb_now(gw->ctx);
	int64_t limit = stop_limit(gw);

	if (gw->stop_us == 0)
		return;
	pb_limit_waits(gw);
	if (now - gw->stop_us < READINESS_NOTICE_US)
		return;
	pb_close_idle_conns(gw);
	if (now - gw->stop_us >= limit)
		end_exchanges(gw);
	if ((!TAILQ_EMPTY(&gw->exchanges) || !TAILQ_EMPTY(&gw->conns)) &&
	    now - gw->stop_us < limit + LAST_ANSWERS_US)
		return;
	pb_log(gw->ctx, PB_INFO, "stop", NULL, NULL, "stopped after %lld ms",
	    (long long)((now - gw->stop_us) / PB_MSEC));
	event_base_loopbreak(gw->base);
}
