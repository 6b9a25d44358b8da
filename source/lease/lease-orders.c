#include <jansson.h>
#include <string.h>

#include "poplarbeam/lease.h"

/* What one look at an upstream says about an order. */
enum look {
	LOOK_IN_STATE,
	LOOK_DIFFERS,
	LOOK_FAILED,
	LOOK_NEWER /* another holder with a higher number was there */
};

/* Compares JSON values, so that spacing and member order do not matter. */
static bool
is_same(struct pb_str a, const struct pb_buf *b)
{
	json_t *x = json_loadb(a.data, a.len, JSON_DECODE_ANY, NULL);
	json_t *y = json_loadb(b->data, b->len, JSON_DECODE_ANY, NULL);
	bool same = x != NULL && y != NULL && json_equal(x, y);

	json_decref(x);
	json_decref(y);
	return same;
}

static enum look
look_at(struct pb_context *ctx, struct pb_lease *lease, struct pb_orders *port,
    const struct pb_order *order, uint64_t fence)
{
	struct pb_order_state state = {0};
	enum look look = LOOK_DIFFERS;
	int rc =
	    port->ops->get(ctx, port, order->upstream, order->name, &state);

	if (rc == PB_ENOENT)
		return LOOK_DIFFERS;
	if (rc != PB_OK)
		return LOOK_FAILED;
	if (state.fence > fence) {
		pb_note_fence(ctx, lease, state.fence);
		look = LOOK_NEWER;
	} else if (is_same(order->desired, &state.desired) &&
	    (state.fence == 0 || state.fence == fence)) {
		/*
		 * With a lower number, the order is sent again although the
		 * state is right: it shuts out the earlier holder.
		 */
		look = LOOK_IN_STATE;
	}
	pb_clear_buf(&state.desired);
	return look;
}

/* True when the order may be sent now, with all of its timeout to go. */
static bool
may_send(struct pb_context *ctx, struct pb_lease *lease, uint64_t fence,
    int64_t send_us)
{
	return pb_lease_left(ctx, lease) > send_us &&
	    pb_lease_fence(ctx, lease) == fence;
}

/* Brings one upstream into its state; false when the lease has ended. */
static bool
reconcile_order(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_orders *port, const struct pb_order *order, uint64_t fence,
    int64_t send_us, struct pb_order_report *report)
{
	enum look look = look_at(ctx, lease, port, order, fence);
	uint64_t newer = 0;

	if (look == LOOK_DIFFERS) {
		int rc;

		if (!may_send(ctx, lease, fence, send_us))
			return false;
		rc = port->ops->put(ctx, port, order->upstream, order->name,
		    fence, order->desired, &newer);
		report->sent++;
		if (rc == PB_ECONFLICT) {
			/* Without the number, any higher one has to do. */
			pb_note_fence(
			    ctx, lease, newer > fence ? newer : fence + 1);
			look = LOOK_NEWER;
		} else {
			/* Whatever the answer was, the state decides. */
			look = look_at(ctx, lease, port, order, fence);
		}
	}
	if (look == LOOK_IN_STATE)
		report->in_state++;
	else if (look == LOOK_NEWER)
		report->refused++;
	else
		report->failed++;
	return look != LOOK_NEWER || pb_lease_fence(ctx, lease) == fence;
}

int
pb_reconcile_orders(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_orders *port, const struct pb_order *orders, size_t count,
    int64_t send_us, struct pb_order_report *report)
{
	uint64_t fence = pb_lease_fence(ctx, lease);
	size_t i;

	memset(report, 0, sizeof(*report));
	if (fence == 0)
		return PB_EABORTED;
	for (i = 0; i < count; i++)
		if (!reconcile_order(
			ctx, lease, port, &orders[i], fence, send_us, report))
			return PB_EABORTED;
	return report->in_state == count ? PB_OK : PB_EBUSY;
}
