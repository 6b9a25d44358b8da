#include "gateway-exchange.h"

#include <stdlib.h>
#include <string.h>

#define BUCKETS 16 /* upper bounds are powers of two from 1 ms */
#define KINDS 3

struct pb_gateway_metrics {
	int64_t endings[PB_END_REASONS][KINDS];
	int64_t latency[KINDS][BUCKETS + 1];
	int64_t latency_sum_us[KINDS];
};

struct pb_gateway_metrics *
pb_new_gateway_metrics(void)
{
	return calloc(1, sizeof(struct pb_gateway_metrics));
}

void
pb_drop_gateway_metrics(struct pb_gateway_metrics *metrics)
{
	free(metrics);
}

static size_t
find_bucket(int64_t us)
{
	int64_t limit = PB_MSEC;
	size_t i;

	for (i = 0; i < BUCKETS && us > limit; i++)
		limit *= 2;
	return i;
}

void
pb_count_ending(struct pb_gateway_metrics *metrics, enum pb_route_kind kind,
    enum pb_end_reason reason, int64_t us)
{
	metrics->endings[reason][kind]++;
	metrics->latency[kind][find_bucket(us)]++;
	metrics->latency_sum_us[kind] += us;
}

static const char *const kinds[KINDS] = {
    "idempotent", "non_idempotent", "streaming"};

static int
format_latency(
    const struct pb_gateway_metrics *m, size_t kind, struct pb_buf *buf)
{
	int64_t sum = 0, limit_ms = 1;
	size_t i;
	int rc = PB_OK;

	for (i = 0; i <= BUCKETS && rc == PB_OK; i++, limit_ms *= 2) {
		char le[24];

		sum += m->latency[kind][i];
		snprintf(le, sizeof(le), "%.3f", (double)limit_ms / 1000);
		rc = pb_append_fmt(buf,
		    "poplarbeam_request_seconds_bucket{kind=\"%s\",le=\"%s\"} "
		    "%lld\n",
		    kinds[kind], i == BUCKETS ? "+Inf" : le, (long long)sum);
	}
	if (rc == PB_OK)
		rc = pb_append_fmt(buf,
		    "poplarbeam_request_seconds_sum{kind=\"%s\"} %.6f\n"
		    "poplarbeam_request_seconds_count{kind=\"%s\"} %lld\n",
		    kinds[kind], (double)m->latency_sum_us[kind] / PB_SEC,
		    kinds[kind], (long long)sum);
	return rc;
}

static int
format_state(const struct pb_gateway *gw, struct pb_buf *buf)
{
	int64_t now = pb_now(gw->ctx);
	struct pb_closed_counts closed = pb_count_closed(gw->ctx, gw->registry);
	const struct pb_exchange *x;
	struct pb_cold_counts cold = pb_count_cold(gw->ctx, gw->registry);
	const struct pb_service_budget *b;
	int64_t in_flight = 0;
	size_t waiting = 0;

	for (b = gw->budgets; b != NULL; b = b->next)
		waiting += pb_count_waiters(b->admission);
	TAILQ_FOREACH(x, &gw->exchanges, entry)
	in_flight++;
	return pb_append_fmt(buf,
	    "poplarbeam_requests_in_flight %lld\n"
	    "poplarbeam_requests_waiting %zu\n"
	    "poplarbeam_streams_of_other_routers %zu\n"
	    "poplarbeam_instances %zu\n"
	    "poplarbeam_instances_avoided %zu\n"
	    "poplarbeam_buffered_bytes %lld\n"
	    "poplarbeam_streams_held %zu\n"
	    "poplarbeam_streams_held_total %lld\n"
	    "poplarbeam_unread_closed_total %lld\n"
	    "poplarbeam_unreadable_loads_total %lld\n"
	    "poplarbeam_broken_attempts_total %lld\n"
	    "poplarbeam_contained %zu\n"
	    "poplarbeam_instances_leaving %zu\n"
	    "poplarbeam_instances_paused %zu\n"
	    "poplarbeam_instances_cold %zu\n"
	    "poplarbeam_instances_cold_assigned %zu\n"
	    "poplarbeam_cold_requests_sent %zu\n"
	    "poplarbeam_leaving_marks_total %lld\n"
	    "poplarbeam_pause_marks_total %lld\n"
	    "poplarbeam_unreadable_pauses_total %lld\n"
	    "poplarbeam_configuration_version %lld\n"
	    "poplarbeam_configuration_age_seconds %.3f\n"
	    "poplarbeam_instances_age_seconds %.3f\n",
	    (long long)in_flight, waiting,
	    pb_sum_other_streams(gw->ctx, gw->registry),
	    pb_count_instances(gw->registry),
	    pb_count_avoided(gw->ctx, gw->registry), (long long)gw->buffered,
	    pb_count_holds(gw), (long long)gw->holds,
	    (long long)gw->unread_closed, (long long)gw->unreadable_loads,
	    (long long)gw->broken_attempts,
	    pb_count_refused(gw->ctx, gw->suspects), closed.leaving,
	    closed.paused, cold.instances, cold.assigned, cold.sends,
	    (long long)gw->leaving_marks, (long long)gw->pause_marks,
	    (long long)gw->unreadable_pauses,
	    gw->routing != NULL ? (long long)gw->routing->version : -1,
	    (double)(now - gw->routing_fresh_us) / PB_SEC,
	    (double)(now - gw->instances_fresh_us) / PB_SEC);
}

static int
format_evacuations(const struct pb_gateway *gw, struct pb_buf *buf)
{
	const struct pb_evacuation *list;
	size_t i, n;
	int rc;

	list = pb_read_evacuations(gw->registry, &n);
	rc = pb_append_fmt(buf, "poplarbeam_evacuated_domains %zu\n", n);
	for (i = 0; i < n && rc == PB_OK; i++)
		rc = pb_append_fmt(buf,
		    "poplarbeam_evacuation_age_seconds{domain=\"%s\"} %.3f\n",
		    list[i].domain,
		    (double)(pb_now(gw->ctx) - list[i].since_us) / PB_SEC);
	return rc;
}

/* Returns true if no request has ended for the reason. */
static bool
is_unused(const struct pb_gateway_metrics *m, size_t reason)
{
	size_t k;

	for (k = 0; k < KINDS; k++) {
		if (m->endings[reason][k] != 0)
			return false;
	}
	return true;
}

int
pb_format_gateway_metrics(const struct pb_gateway *gw, struct pb_buf *buf)
{
	const struct pb_gateway_metrics *m = gw->metrics;
	size_t i, k;
	int rc = format_state(gw, buf);

	if (rc == PB_OK)
		rc = format_evacuations(gw, buf);
	for (i = 0; i < PB_END_REASONS; i++) {
		if (is_unused(m, i))
			continue;
		for (k = 0; k < KINDS && rc == PB_OK; k++)
			rc = pb_append_fmt(buf,
			    "poplarbeam_requests_total{kind=\"%s\","
			    "outcome=\"%s\"} %lld\n",
			    kinds[k], pb_end_reason_text((enum pb_end_reason)i),
			    (long long)m->endings[i][k]);
	}
	for (k = 0; k < KINDS && rc == PB_OK; k++)
		rc = format_latency(m, k, buf);
	return rc;
}
