#include <jansson.h>
#include <string.h>

#include "poplarbeam/lease.h"

/* Result of comparing the state of an upstream with an order. */
enum order_check {
	CHECK_CONFIRMED,
	CHECK_DIFFERS,
	CHECK_FAILED,
	CHECK_FENCED /* the upstream has a higher fencing number */
};

/* Compares JSON values, ignoring white space and the order of members. */
static bool
is_equal_json(struct pb_str a, const struct pb_buf *b)
{
	json_t *x = json_loadb(a.data, a.len, JSON_DECODE_ANY, NULL);
	json_t *y = json_loadb(b->data, b->len, JSON_DECODE_ANY, NULL);
	bool same = x != NULL && y != NULL && json_equal(x, y);

	json_decref(x);
	json_decref(y);
	return same;
}

static enum order_check
check_order(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_orders *port, const struct pb_order *order, uint64_t fence)
{
	struct pb_order_state state = {0};
	enum order_check check = CHECK_DIFFERS;
	int rc =
	    port->ops->get(ctx, port, order->upstream, order->name, &state);

	if (rc == PB_ENOENT)
		return CHECK_DIFFERS;
	if (rc != PB_OK)
		return CHECK_FAILED;
	if (state.fence > fence) {
		pb_report_fence(ctx, lease, state.fence);
		check = CHECK_FENCED;
	} else if (is_equal_json(order->desired, &state.desired) &&
	    (state.fence == 0 || state.fence == fence)) {
		/*
		 * If the upstream has a lower fencing number, the order is sent
		 * again even though the state matches, so that the upstream
		 * refuses late orders of the earlier holder.
		 */
		check = CHECK_CONFIRMED;
	}
	pb_clear_buf(&state.desired);
	return check;
}

/* Returns true if the lease stays valid for the whole timeout of the send. */
static bool
may_send(struct pb_context *ctx, struct pb_lease *lease, uint64_t fence,
    int64_t send_timeout_us)
{
	return pb_lease_remaining(ctx, lease) > send_timeout_us &&
	    pb_lease_fence(ctx, lease) == fence;
}

/*
 * Brings one upstream into the desired state. Returns false if the lease ended.
 */
static bool
reconcile_order(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_orders *port, const struct pb_order *order, uint64_t fence,
    int64_t send_timeout_us, struct pb_order_report *report)
{
	enum order_check check = check_order(ctx, lease, port, order, fence);
	uint64_t newer = 0;

	if (check == CHECK_DIFFERS) {
		int rc;

		if (!may_send(ctx, lease, fence, send_timeout_us))
			return false;
		rc = port->ops->put(ctx, port, order->upstream, order->name,
		    fence, order->desired, &newer);
		report->sent++;
		if (rc == PB_ECONFLICT) {
			/* Use the next number if the upstream named none. */
			pb_report_fence(
			    ctx, lease, newer > fence ? newer : fence + 1);
			check = CHECK_FENCED;
		} else {
			/*
			 * Only the state that is read back shows whether the
			 * order took effect.
			 */
			check = check_order(ctx, lease, port, order, fence);
		}
	}
	if (check == CHECK_CONFIRMED)
		report->confirmed++;
	else if (check == CHECK_FENCED)
		report->refused++;
	else
		report->failed++;
	return check != CHECK_FENCED || pb_lease_fence(ctx, lease) == fence;
}

int
pb_reconcile_orders(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_orders *port, const struct pb_order *orders, size_t count,
    int64_t send_timeout_us, struct pb_order_report *report)
{
	uint64_t fence = pb_lease_fence(ctx, lease);
	size_t i;

	memset(report, 0, sizeof(*report));
	if (fence == 0)
		return PB_EABORTED;
	for (i = 0; i < count; i++)
		if (!reconcile_order(ctx, lease, port, &orders[i], fence,
			send_timeout_us, report))
			return PB_EABORTED;
	return report->confirmed == count ? PB_OK : PB_EBUSY;
}
