#include "poplarbeam/metrics.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdlib.h>

struct pb_metrics {
	_Atomic int64_t counters[PB_COUNTER_END];
	_Atomic int64_t gauges[PB_GAUGE_END];
	_Atomic int64_t waits[PB_RANKS_MAX][PB_WAIT_BUCKETS + 1];
	_Atomic int64_t wait_sum_us[PB_RANKS_MAX];
};

static const char *const counter_names[PB_COUNTER_END] = {
    [PB_COUNT_RECEIVED] = "requests_received_total",
    [PB_COUNT_COMPLETE] = "requests_complete_total",
    [PB_COUNT_NOT_RUN] = "requests_not_run_total",
    [PB_COUNT_OUTCOME_UNKNOWN] = "requests_outcome_unknown_total",
    [PB_COUNT_FAILED_AFTER_START] = "requests_failed_after_start_total",
    [PB_COUNT_INVALID] = "requests_invalid_total",
    [PB_COUNT_CALLER_GONE] = "requests_caller_gone_total",
    [PB_COUNT_RELAYED] = "requests_relayed_total",
    [PB_COUNT_OWNED] = "requests_owned_total",
    [PB_COUNT_RETRIES] = "retries_total",
    [PB_COUNT_RESUMES] = "stream_resumes_total",
    [PB_COUNT_CLAIMS] = "claims_total",
    [PB_COUNT_CLAIM_REPEATS] = "claim_repeats_total",
    [PB_COUNT_NOT_OWNER] = "relays_refused_not_owner_total",
    [PB_COUNT_PROBES] = "probes_total",
    [PB_COUNT_CONTROL_SENT] = "control_sent_bytes_total",
    [PB_COUNT_CONTROL_RECEIVED] = "control_received_bytes_total",
    [PB_COUNT_SETTINGS_APPLIED] = "settings_applied_total",
    [PB_COUNT_ORDERS_SENT] = "orders_sent_total",
    [PB_COUNT_LEASES_TAKEN] = "leases_taken_total",
};

static const char *const gauge_names[PB_GAUGE_END] = {
    [PB_GAUGE_IN_FLIGHT] = "requests_in_flight",
    [PB_GAUGE_OWNED_IN_FLIGHT] = "owned_requests_in_flight",
    [PB_GAUGE_REVISION] = "settings_revision",
    [PB_GAUGE_MEMBERS] = "members",
    [PB_GAUGE_CELLS] = "cells_owned",
    [PB_GAUGE_LEASES_SOUGHT] = "leases_sought",
};

struct pb_metrics *
pb_new_metrics(struct pb_context *ctx)
{
	(void)ctx;
	return calloc(1, sizeof(struct pb_metrics));
}

void
pb_drop_metrics(struct pb_context *ctx, struct pb_metrics *metrics)
{
	(void)ctx;
	free(metrics);
}

void
pb_add_counter(struct pb_metrics *m, enum pb_counter counter, int64_t n)
{
	atomic_fetch_add_explicit(
	    &m->counters[counter], n, memory_order_relaxed);
}

void
pb_set_gauge(struct pb_metrics *m, enum pb_gauge gauge, int64_t v)
{
	atomic_store_explicit(&m->gauges[gauge], v, memory_order_relaxed);
}

void
pb_add_gauge(struct pb_metrics *m, enum pb_gauge gauge, int64_t n)
{
	atomic_fetch_add_explicit(&m->gauges[gauge], n, memory_order_relaxed);
}

int64_t
pb_read_counter(const struct pb_metrics *m, enum pb_counter c)
{
	return atomic_load_explicit(&m->counters[c], memory_order_relaxed);
}

int64_t
pb_read_gauge(const struct pb_metrics *m, enum pb_gauge g)
{
	return atomic_load_explicit(&m->gauges[g], memory_order_relaxed);
}

void
pb_observe_wait(struct pb_metrics *m, int rank, int64_t wait_us)
{
	int bucket = 0;

	if (rank < 0 || rank >= PB_RANKS_MAX)
		return;
	while (bucket < PB_WAIT_BUCKETS && wait_us > (PB_MSEC << bucket))
		bucket++;
	atomic_fetch_add_explicit(
	    &m->waits[rank][bucket], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(
	    &m->wait_sum_us[rank], wait_us, memory_order_relaxed);
}

static int
format_waits(const struct pb_metrics *m, int rank, struct pb_buf *buf)
{
	int64_t total = 0;
	int b, rc = PB_OK;

	for (b = 0; b <= PB_WAIT_BUCKETS; b++)
		total += m->waits[rank][b];
	if (total == 0)
		return PB_OK;
	total = 0;
	for (b = 0; b < PB_WAIT_BUCKETS && rc == PB_OK; b++) {
		total += m->waits[rank][b];
		rc = pb_append_fmt(buf,
		    "poplarbeam_wait_seconds_bucket{rank=\"%d\",le=\"%g\"} "
		    "%" PRId64 "\n",
		    rank, (double)(1 << b) / 1000, total);
	}
	total += m->waits[rank][PB_WAIT_BUCKETS];
	if (rc == PB_OK)
		rc = pb_append_fmt(buf,
		    "poplarbeam_wait_seconds_bucket{rank=\"%d\",le=\"+Inf\"} "
		    "%" PRId64 "\n"
		    "poplarbeam_wait_seconds_sum{rank=\"%d\"} %g\n"
		    "poplarbeam_wait_seconds_count{rank=\"%d\"} %" PRId64 "\n",
		    rank, total, rank, (double)m->wait_sum_us[rank] / 1e6, rank,
		    total);
	return rc;
}

int
pb_format_metrics(const struct pb_metrics *m, struct pb_buf *buf)
{
	int i, rc = PB_OK;

	for (i = 0; i < PB_COUNTER_END && rc == PB_OK; i++)
		rc = pb_append_fmt(buf,
		    "# TYPE poplarbeam_%s counter\npoplarbeam_%s %" PRId64 "\n",
		    counter_names[i], counter_names[i], pb_read_counter(m, i));
	for (i = 0; i < PB_GAUGE_END && rc == PB_OK; i++)
		rc = pb_append_fmt(buf,
		    "# TYPE poplarbeam_%s gauge\npoplarbeam_%s %" PRId64 "\n",
		    gauge_names[i], gauge_names[i], pb_read_gauge(m, i));
	if (rc == PB_OK)
		rc = pb_append_fmt(
		    buf, "# TYPE poplarbeam_wait_seconds histogram\n");
	for (i = 0; i < PB_RANKS_MAX && rc == PB_OK; i++)
		rc = format_waits(m, i, buf);
	return rc;
}
