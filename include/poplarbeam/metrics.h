#ifndef POPLARBEAM_METRICS_H
#define POPLARBEAM_METRICS_H

#include "poplarbeam/base.h"
#include "poplarbeam/queue.h"

/*
 * Metrics of one instance, exported at /metrics in the Prometheus text format.
 */

enum pb_counter {
	PB_COUNT_RECEIVED, /* requests from callers */
	PB_COUNT_COMPLETE, /* complete responses delivered to callers */
	PB_COUNT_NOT_RUN,
	PB_COUNT_OUTCOME_UNKNOWN, /* the outcome of the request is not known */
	PB_COUNT_FAILED_AFTER_START, /* failed after the request had started */
	PB_COUNT_INVALID,
	PB_COUNT_CALLER_GONE, /* the caller closed the connection */
	PB_COUNT_RELAYED,
	PB_COUNT_OWNED, /* requests run as the owner of a cell */
	PB_COUNT_RETRIES,
	PB_COUNT_RESUMES,
	PB_COUNT_CLAIMS,
	PB_COUNT_CLAIM_REPEATS,
	PB_COUNT_NOT_OWNER, /* relays refused by a non-owner */
	PB_COUNT_PROBES,
	PB_COUNT_CONTROL_SENT, /* bytes of control traffic */
	PB_COUNT_CONTROL_RECEIVED, /* bytes of control traffic */
	PB_COUNT_SETTINGS_APPLIED,
	PB_COUNT_ORDERS_SENT,
	PB_COUNT_LEASES_TAKEN,
	PB_COUNTER_END
};

enum pb_gauge {
	PB_GAUGE_IN_FLIGHT, /* requests from callers in progress */
	PB_GAUGE_OWNED_IN_FLIGHT,
	PB_GAUGE_REVISION, /* of the settings in force */
	PB_GAUGE_MEMBERS,
	PB_GAUGE_CELLS,
	PB_GAUGE_LEASES_SOUGHT, /* leases that this instance tries to acquire */
	PB_GAUGE_END
};

#define PB_WAIT_BUCKETS 14 /* upper bounds are powers of two from 1 ms */

struct pb_metrics;

struct pb_metrics *pb_new_metrics(struct pb_context *ctx);
void pb_drop_metrics(struct pb_context *ctx, struct pb_metrics *metrics);

void pb_add_counter(
    struct pb_metrics *metrics, enum pb_counter counter, int64_t n);
void pb_set_gauge(struct pb_metrics *metrics, enum pb_gauge gauge, int64_t v);
void pb_add_gauge(struct pb_metrics *metrics, enum pb_gauge gauge, int64_t n);
int64_t pb_read_counter(const struct pb_metrics *metrics, enum pb_counter c);
int64_t pb_read_gauge(const struct pb_metrics *metrics, enum pb_gauge g);
/* Records how long a request of this rank waited before it was started. */
void pb_observe_wait(struct pb_metrics *metrics, int rank, int64_t wait_us);

/* Appends all metrics in the Prometheus text format. */
int pb_format_metrics(const struct pb_metrics *metrics, struct pb_buf *buf);

#endif
