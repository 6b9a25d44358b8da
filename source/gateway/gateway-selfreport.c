#include "gateway-exchange.h"

/*
 * What an instance says of itself in the head of any answer: that it is
 * leaving, or that it wants no requests for some time.
 */

/* Returns true if the answer comes from another instance at the address. */
static bool
is_other_instance(const struct pb_exchange *x, int status)
{
	const struct pb_response_info *info = &x->info;

	return status == 421 ||
	    (info->instance.len > 0 &&
		!pb_str_equal_c(info->instance, x->instance->id));
}

static void
note_leaving(struct pb_exchange *x)
{
	struct pb_gateway *gw = x->gw;

	if (!pb_note_leaving(gw->ctx, gw->registry, x->instance))
		return;
	gw->leaving_marks++;
	pb_log(gw->ctx, PB_INFO, "instance leaving", x->instance->id, x->log_id,
	    "says so in its answer to this request; started %lld; it gets no "
	    "new requests",
	    (long long)x->instance->started_ms);
}

static void
note_pause(struct pb_exchange *x)
{
	struct pb_gateway *gw = x->gw;
	bool renewed = x->instance->paused_until_us > pb_now(gw->ctx);
	int64_t left =
	    pb_note_pause(gw->ctx, gw->registry, x->instance, x->info.pause_us);

	gw->pause_marks++;
	pb_log(gw->ctx, PB_INFO, "pause instance", x->instance->id, x->log_id,
	    "%s by its answer to this request: %lld ms, requests again in "
	    "%lld ms; started %lld",
	    renewed ? "renewed" : "set",
	    (long long)(x->info.pause_us / PB_MSEC),
	    (long long)(left / PB_MSEC), (long long)x->instance->started_ms);
}

void
pb_note_self_report(struct pb_exchange *x, int status, bool is_own_answer)
{
	struct pb_gateway *gw = x->gw;

	if (is_other_instance(x, status))
		return;
	if (x->info.leaving)
		note_leaving(x);
	/* An earlier answer that comes again has counted when it came first. */
	if (!is_own_answer)
		return;
	if (x->info.pause_us > 0)
		note_pause(x);
	if (!x->info.pause_unreadable)
		return;
	gw->unreadable_pauses++;
	pb_log(gw->ctx, PB_WARN, "pause instance", x->instance->id, x->log_id,
	    "the time that the instance asks for is not a number of seconds; "
	    "ignored");
}
