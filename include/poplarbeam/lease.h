#ifndef POPLARBEAM_LEASE_H
#define POPLARBEAM_LEASE_H

#include "poplarbeam/base.h"
#include "poplarbeam/platform.h"

/*
 * A lease in the table service with a fencing number, which increases with each
 * change of the holder, and orders to upstreams that are sent under the lease.
 *
 * Expiry does not depend on comparing the clocks of two instances. A candidate
 * takes the lease over when it has seen the row unchanged for duration_us on
 * its own monotonic clock. For the holder, the lease expires duration_us less
 * margin_us after the start of its last renewal; the margin covers the drift
 * between the two clocks. A holder that is paused after its last check can
 * still send one order late. An upstream that checks fencing numbers refuses
 * this order. At any other upstream, the next pass of the new holder detects
 * the difference and sends the desired state again.
 */

struct pb_lease_policy {
	const char *name; /* the row's key is "lease/<name>" */
	const char *holder; /* instance id and incarnation, never reused */
	int64_t duration_us;
	int64_t margin_us; /* maximum drift of two clocks over duration_us */
	/* Renewal interval, at most a third of duration_us. */
	int64_t renew_us;
	int64_t poll_us; /* interval between reads while not the holder */
};

struct pb_lease;

/*
 * Creates a lease that is not held yet; copies the strings of the policy.
 * Returns NULL with the context's error set if memory runs out, if the name or
 * the holder is too long, or if the holder is empty.
 */
struct pb_lease *pb_new_lease(
    struct pb_context *ctx, const struct pb_lease_policy *policy);
void pb_drop_lease(struct pb_context *ctx, struct pb_lease *lease);

/*
 * If a check is due, reads the row, and renews the lease or takes it over when
 * possible. Must always be called from the same thread. Returns the monotonic
 * time in microseconds at which the next call is due. After a table error,
 * which is set in the context, the lease expires unless a later call renews it.
 */
int64_t pb_tick_lease(
    struct pb_context *ctx, struct pb_lease *lease, struct pb_table *table);
/*
 * Releases the lease for a planned shutdown. Must be called from the thread
 * that calls pb_tick_lease.
 */
int pb_release_lease(
    struct pb_context *ctx, struct pb_lease *lease, struct pb_table *table);

/*
 * Returns the time in microseconds until the lease expires, or 0 if it is not
 * held. Thread safe.
 */
int64_t pb_lease_remaining(struct pb_context *ctx, struct pb_lease *lease);
/*
 * Returns the fencing number of the lease, or 0 if the lease is not held.
 * Thread safe.
 */
uint64_t pb_lease_fence(struct pb_context *ctx, struct pb_lease *lease);
/*
 * Reports a fencing number that was read from an upstream. A number higher than
 * the lease's own ends the lease, and later acquisitions use a higher number. A
 * number above 2^62 is logged and ignored. Thread safe.
 */
void pb_report_fence(
    struct pb_context *ctx, struct pb_lease *lease, uint64_t fence);

/* State that an upstream reports for the name of an order. */
struct pb_order_state {
	uint64_t fence; /* 0 if the upstream ignores fencing numbers */
	struct pb_buf desired; /* JSON text; freed by the caller */
};

struct pb_orders;

/* Operations that access the orders of upstreams. */
struct pb_orders_ops {
	/*
	 * Sends an order. Returns PB_OK; PB_ECONFLICT if the upstream has a
	 * higher fencing number, which is stored in *newer; PB_EUNAVAIL if
	 * nothing was sent; PB_EUNKNOWN if the order may have taken effect.
	 */
	int (*put)(struct pb_context *ctx, struct pb_orders *port,
	    const char *upstream, const char *name, uint64_t fence,
	    struct pb_str desired, uint64_t *newer);
	/*
	 * Reads the state of an order. Returns PB_OK, PB_ENOENT if the upstream
	 * has no order of this name, or another error.
	 */
	int (*get)(struct pb_context *ctx, struct pb_orders *port,
	    const char *upstream, const char *name,
	    struct pb_order_state *state);
};

struct pb_orders {
	const struct pb_orders_ops *ops;
};

/* The desired state of an upstream. The strings are not owned. */
struct pb_order {
	const char *upstream; /* name of the upstream in pb_orders_ops */
	const char *name;
	struct pb_str desired; /* JSON text */
};

struct pb_order_report {
	uint32_t confirmed; /* upstreams read back in the desired state */
	uint32_t sent;
	uint32_t failed; /* not confirmed; the next pass tries again */
	uint32_t refused; /* the upstream has a higher fencing number */
};

/*
 * Makes one pass over the orders: reads the state of each upstream, sends the
 * order if the state differs, and reads the state again. Checks immediately
 * before each send that the lease is valid for longer than send_timeout_us, the
 * timeout of the put operation. Returns PB_OK if all states are confirmed,
 * PB_EBUSY if some are not, and PB_EABORTED if the lease ended. Should be
 * called every few seconds while the lease is held, also after PB_OK, because a
 * late order of an earlier holder can change an upstream at any time.
 */
int pb_reconcile_orders(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_orders *port, const struct pb_order *orders, size_t count,
    int64_t send_timeout_us, struct pb_order_report *report);

#endif
