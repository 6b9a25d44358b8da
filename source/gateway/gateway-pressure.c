#include "gateway-exchange.h"

/*
 * Backpressure: while the caller of a stream does not read, the router does not
 * read from the instance, so that its buffers stay short. What the instance
 * does not send meanwhile is not its failure.
 */

static size_t
find_unsent(const struct pb_exchange *x)
{
	if (x->conn == NULL)
		return 0;
	return evbuffer_get_length(bufferevent_get_output(x->conn->bev));
}

static void
hold_stream(struct pb_exchange *x)
{
	if (pb_is_held(&x->call) || x->instance_closed)
		return;
	pb_hold_call(&x->call);
	x->gw->holds++;
}

void
pb_end_hold(struct pb_exchange *x)
{
	if (!pb_is_held(&x->call))
		return;
	pb_resume_call(&x->call);
	x->progress_us = pb_now(x->gw->ctx);
	x->part_us = x->progress_us;
	x->stall_checked_us = x->progress_us;
	pb_arm_exchange(x);
}

void
pb_update_backpressure(struct pb_exchange *x)
{
	if (x->call.link == NULL)
		return;
	if (x->streaming && pb_must_hold(find_unsent(x), pb_is_held(&x->call)))
		hold_stream(x);
	else
		pb_end_hold(x);
}

void
pb_sweep_holds(struct pb_gateway *gw)
{
	struct pb_exchange *x;

	for (x = TAILQ_FIRST(&gw->exchanges); x != NULL;
	     x = TAILQ_NEXT(x, entry)) {
		if (!pb_is_held(&x->call) || !pb_has_peer_closed(&x->call))
			continue;
		/* What is left is no more than the socket holds. */
		x->instance_closed = true;
		pb_end_hold(x);
	}
}

size_t
pb_count_holds(const struct pb_gateway *gw)
{
	const struct pb_exchange *x;
	size_t n = 0;

	for (x = TAILQ_FIRST(&gw->exchanges); x != NULL;
	     x = TAILQ_NEXT(x, entry))
		n += pb_is_held(&x->call);
	return n;
}

bool
pb_end_unread(struct pb_exchange *x)
{
	if (!pb_is_unread_break(&x->call.pressure, pb_now(x->gw->ctx)))
		return false;
	x->may_have_run = true;
	pb_end_exchange(x, PB_END_SLOW_CALLER);
	return true;
}
