#include "gateway-exchange.h"

/*
 * A silent attempt is not a dead one: its instance may have preempted it and go
 * on later. Another instance is asked to take the request over while the silent
 * attempt stands by. The first one that responds keeps the request, and the
 * other one is cancelled at once, so that never two go on with it.
 */

static const struct pb_link_call_ops standby_ops;

static struct pb_standby *
get_standby(struct pb_link_call *call)
{
	return (struct pb_standby *)call;
}

/* Lets the link of a call report to another call. */
static void
move_call(struct pb_link_call *from, struct pb_link_call *to)
{
	to->link = from->link;
	to->pressure = from->pressure;
	from->link = NULL;
	if (to->link != NULL)
		to->link->call = to;
}

static void
log_takeover(
    struct pb_exchange *x, const struct pb_instance *inst, const char *text)
{
	pb_log(x->gw->ctx, PB_INFO, "take over", inst->id, x->log_id,
	    "%s; attempt %d", text, x->attempts);
}

static void
save_attempt(struct pb_exchange *x)
{
	struct pb_standby *s = &x->standby;

	s->call.ops = &standby_ops;
	s->exchange = x;
	move_call(&x->call, &s->call);
	s->instance = x->instance;
	s->attempt_us = x->attempt_us;
	s->progress_us = x->progress_us;
	s->part_us = x->part_us;
	s->attempt_event_us = x->attempt_event_us;
	s->info = x->info;
	s->status = x->status;
	s->response_fields = x->response_fields;
	s->response = x->response;
	s->streaming = x->streaming;
	s->until_close = x->until_close;
	x->instance = NULL;
	x->response_fields = (struct pb_buf){0};
	x->response = (struct pb_buf){0};
}

static void
restore_attempt(struct pb_exchange *x)
{
	struct pb_standby *s = &x->standby;

	pb_clear_buf(&x->response_fields);
	pb_clear_buf(&x->response);
	move_call(&s->call, &x->call);
	x->instance = s->instance;
	x->attempt_us = s->attempt_us;
	x->progress_us = s->progress_us;
	x->part_us = s->part_us;
	x->attempt_event_us = s->attempt_event_us;
	x->info = s->info;
	x->status = s->status;
	x->response_fields = s->response_fields;
	x->response = s->response;
	x->streaming = s->streaming;
	x->until_close = s->until_close;
	x->unusable = false;
	*s = (struct pb_standby){0};
	pb_update_exchange_memory(x);
}

bool
pb_has_standby(const struct pb_exchange *x)
{
	return x->standby.instance != NULL;
}

void
pb_drop_standby(struct pb_exchange *x)
{
	struct pb_standby *s = &x->standby;

	if (s->instance == NULL)
		return;
	pb_cancel_call(&s->call);
	pb_free_slot(x, s->instance);
	pb_clear_buf(&s->response_fields);
	pb_clear_buf(&s->response);
	*s = (struct pb_standby){0};
}

bool
pb_start_takeover(struct pb_exchange *x)
{
	struct pb_placement_facts facts;
	enum pb_end_reason refusal;
	struct pb_instance *inst;

	if (pb_has_standby(x) || pb_find_refusal(x, &refusal))
		return false;
	inst = pb_choose_for_exchange(x, &facts);
	if (inst == NULL || !pb_take_attempt(x))
		return false;
	pb_note_outcome(x->gw->ctx, x->gw->registry, x->instance, true);
	x->may_have_run = true;
	log_takeover(x, x->instance, "silent; another instance is asked");
	save_attempt(x);
	pb_reset_attempt(x);
	if (!pb_start_attempt(x, inst, &facts))
		pb_return_to_standby(x);
	return true;
}

bool
pb_return_to_standby(struct pb_exchange *x)
{
	if (!pb_has_standby(x))
		return false;
	pb_cancel_call(&x->call);
	pb_release_instance(x);
	restore_attempt(x);
	log_takeover(x, x->instance, "not taken over; goes on here");
	x->stall_checked_us = pb_now(x->gw->ctx);
	pb_arm_exchange(x);
	return true;
}

void
pb_end_takeover(struct pb_exchange *x)
{
	if (!pb_has_standby(x))
		return;
	log_takeover(x, x->instance, "taken over");
	pb_drop_standby(x);
}

static void
on_head(struct pb_link_call *call)
{
	struct pb_exchange *x = get_standby(call)->exchange;

	pb_return_to_standby(x);
	x->call.ops->head(&x->call);
}

static void
on_body(struct pb_link_call *call, struct pb_str part)
{
	struct pb_exchange *x = get_standby(call)->exchange;

	pb_return_to_standby(x);
	x->call.ops->body(&x->call, part);
}

static void
on_done(struct pb_link_call *call)
{
	struct pb_exchange *x = get_standby(call)->exchange;

	pb_return_to_standby(x);
	x->call.ops->done(&x->call);
}

/* The silent attempt broke; the request goes on at the other instance. */
static void
on_failed(struct pb_link_call *call, enum pb_link_failure failure)
{
	struct pb_standby *s = get_standby(call);
	struct pb_exchange *x = s->exchange;

	log_takeover(x, s->instance, "the silent attempt broke");
	if (failure == PB_LINK_BROKEN &&
	    !pb_is_unread_break(&s->call.pressure, pb_now(x->gw->ctx)))
		pb_note_broken_attempt(x, s->instance);
	pb_drop_standby(x);
}

static const struct pb_link_call_ops standby_ops = {
    on_head, on_body, on_done, on_failed};
