#ifndef POPLARBEAM_LEASE_H
#define POPLARBEAM_LEASE_H

#include "poplarbeam/base.h"
#include "poplarbeam/platform.h"

/*
 * A lease in the table service with a fencing number, and orders to upstreams
 * that are sent under it.
 *
 * Expiry is judged without comparing clocks of two instances: a candidate
 * takes the lease over after it has seen the row unchanged for duration_us on
 * its own monotonic clock, and the holder counts from before its last renewal
 * was sent, less margin_us for the drift of clocks. A holder that is paused
 * after its last check can still send one order late. An upstream that knows
 * fencing numbers refuses it; at any other the next pass of the new holder
 * finds the difference and sends the desired state again.
 */

struct pb_lease_policy {
	const char *name; /* row "lease/<name>" */
	const char *holder; /* instance id and incarnation, never used twice */
	int64_t duration_us;
	int64_t margin_us; /* drift of two clocks over duration_us */
	int64_t renew_us; /* between renewals, a third of duration_us or less */
	int64_t poll_us; /* between looks of instances that do not hold it */
};

struct pb_lease;

/* The policy's strings are copied. NULL when memory runs out. */
struct pb_lease *pb_new_lease(
    struct pb_context *ctx, const struct pb_lease_policy *policy);
void pb_drop_lease(struct pb_context *ctx, struct pb_lease *lease);

/*
 * Looks at the row, renews it or takes it over when that is due. From one
 * thread only. Returns the monotonic time of the next call, microseconds. An
 * error of the table is in the context; the lease then runs out by itself.
 */
int64_t pb_tick_lease(
    struct pb_context *ctx, struct pb_lease *lease, struct pb_table *table);
/* Gives the lease up, for a planned stop. Same thread as pb_tick_lease. */
int pb_release_lease(
    struct pb_context *ctx, struct pb_lease *lease, struct pb_table *table);

/* Time for which the lease is still held; 0 when it is not. Thread safe. */
int64_t pb_lease_left(struct pb_context *ctx, struct pb_lease *lease);
/* Fencing number of the lease; 0 when it is not held. Thread safe. */
uint64_t pb_lease_fence(struct pb_context *ctx, struct pb_lease *lease);
/*
 * Tells of a fencing number seen at an upstream. A higher one than the own
 * ends the lease, and later acquisitions go above it; one above 2^62 is logged
 * and ignored. Thread safe.
 */
void pb_note_fence(
    struct pb_context *ctx, struct pb_lease *lease, uint64_t fence);

/* What an upstream holds under the name of an order. */
struct pb_order_state {
	uint64_t fence; /* 0 when the upstream ignores fencing numbers */
	struct pb_buf desired; /* JSON text; the caller clears it */
};

struct pb_orders;

/* Port to the orders interface of upstreams. */
struct pb_orders_ops {
	/*
	 * PB_OK; PB_ECONFLICT when the upstream holds a higher fencing number,
	 * which is then in *newer; PB_EUNAVAIL when nothing was sent;
	 * PB_EUNKNOWN when it may have been carried out.
	 */
	int (*put)(struct pb_context *ctx, struct pb_orders *port,
	    const char *upstream, const char *name, uint64_t fence,
	    struct pb_str desired, uint64_t *newer);
	/* PB_OK, PB_ENOENT, or an error. */
	int (*get)(struct pb_context *ctx, struct pb_orders *port,
	    const char *upstream, const char *name,
	    struct pb_order_state *state);
};

struct pb_orders {
	const struct pb_orders_ops *ops;
};

/* One order: the state that an upstream should be in. Borrowed. */
struct pb_order {
	const char *upstream; /* as the port names it */
	const char *name;
	struct pb_str desired; /* JSON text */
};

struct pb_order_report {
	uint32_t in_state; /* confirmed by reading back */
	uint32_t sent;
	uint32_t failed; /* not confirmed: the next pass tries again */
	uint32_t refused; /* the upstream knows a higher fencing number */
};

/*
 * One pass over the orders: reads each back, sends it when it differs, and
 * reads it again. The lease is checked right before each sending and must last
 * for another send_us, the timeout of the port. PB_OK when all are in state,
 * PB_EBUSY when some are not yet, PB_EABORTED when the lease ended. Call it
 * again every few seconds while the lease is held, also after PB_OK: a late
 * order of an earlier holder may change an upstream at any time.
 */
int pb_reconcile_orders(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_orders *port, const struct pb_order *orders, size_t count,
    int64_t send_us, struct pb_order_report *report);

#endif
