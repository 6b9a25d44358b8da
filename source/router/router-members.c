#include "router-internal.h"
#include "router-report.h"

#include <stdlib.h>
#include <string.h>

#define INSTANCES_INTERVAL (1 * PB_SEC)
#define TIMER_INTERVAL (20 * PB_MSEC)
#define MEMBERS_ROUNDS 5 /* timer rounds between checks of the members */
#define PROBE_INTERVAL (250 * PB_MSEC)
#define PROBE_TIMEOUT (300 * PB_MSEC) /* for one probe */
#define PROBE_BATCH 32 /* probes per round */

static void
note_evidence(struct pb_context *ctx, void *arg, uint64_t id_hash,
    uint64_t incarnation, enum pb_evidence evidence)
{
	struct pb_router *r = arg;

	pthread_mutex_lock(&r->members_lock);
	pb_note_evidence(ctx, r->members, id_hash, incarnation, evidence);
	pthread_mutex_unlock(&r->members_lock);
}

int
router_init_members(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_members_policy policy = {.self = r->node->boot.instance,
	    .region = r->node->boot.region,
	    .suspect_us = 60 * PB_SEC,
	    .dead_us = 5 * PB_SEC,
	    .damp_min_us = 1 * PB_SEC,
	    .damp_max_us = 60 * PB_SEC,
	    .eject_share = 0.5,
	    .fail_threshold = 2};

	pthread_mutex_init(&r->members_lock, NULL);
	r->members = pb_new_members(ctx, &policy);
	if (r->members == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "members", NULL, "out of memory");
	r->node->evidence_arg = r;
	r->node->note_evidence = note_evidence;
	return PB_OK;
}

void
router_publish_view(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_view *view;

	pthread_mutex_lock(&r->members_lock);
	view = pb_new_view(ctx, r->members);
	pthread_mutex_unlock(&r->members_lock);
	if (view == NULL)
		return;
	pb_set_node_view(ctx, r->node, view);
	pb_sync_owner(ctx, r->owner);
}

int
router_fetch_instances(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_instances *port = r->node->instances;
	struct pb_instance *list = NULL;
	size_t count = 0;
	int rc = port->ops->fetch(ctx, port, &list, &count);

	if (rc != PB_OK)
		return rc == PB_UNCHANGED ? PB_OK : rc;
	pthread_mutex_lock(&r->members_lock);
	rc = pb_apply_instance_list(ctx, r->members, list, count);
	pthread_mutex_unlock(&r->members_lock);
	free(list);
	return rc;
}

void *
router_run_instances(void *arg)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);
	bool failing = false;

	do {
		int rc = router_fetch_instances(&ctx, r);

		if (rc != PB_OK && !failing)
			pb_log_error(&ctx, PB_WARN, NULL);
		failing = rc != PB_OK;
		router_charge_traffic(&ctx, r, POLL_SENT, POLL_RECEIVED);
	} while (router_sleep(
	    r, router_scale_interval(&ctx, r, INSTANCES_INTERVAL)));
	return NULL;
}

void *
router_run_timer(void *arg)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);
	bool changed;
	int round = 0;

	while (router_sleep(r, TIMER_INTERVAL)) {
		pb_tick_owner(&ctx, r->owner);
		if (++round % MEMBERS_ROUNDS != 0)
			continue;
		pthread_mutex_lock(&r->members_lock);
		changed = pb_tick_members(&ctx, r->members);
		pthread_mutex_unlock(&r->members_lock);
		if (changed)
			router_publish_view(&ctx, r);
		pthread_mutex_lock(&r->gate_lock);
		atomic_store(
		    &r->node->fresh, pb_may_accept_work(&ctx, r->gate));
		pthread_mutex_unlock(&r->gate_lock);
	}
	return NULL;
}

static void
apply_report(struct pb_context *ctx, struct pb_router *r,
    const struct pb_probe *probe, const struct pb_buf *body)
{
	uint64_t id = pb_hash_cstr(probe->id, 0);
	struct load_report report;

	if (!router_parse_report(
		(struct pb_str){body->data, body->len}, &report)) {
		pb_log(ctx, PB_WARN, "probe", probe->id, NULL,
		    "load report is malformed and was ignored");
		return;
	}
	if (probe->call_work > 0)
		report.work = report.running * probe->call_work;
	pb_report_probe(ctx, r->owner, probe, report.work, report.age_us);
	pthread_mutex_lock(&r->members_lock);
	pb_note_evidence(ctx, r->members, id, probe->incarnation,
	    report.leaving ? PB_EVIDENCE_LEAVING : PB_EVIDENCE_ANSWER);
	if (report.has_throttle)
		pb_note_capacity(ctx, r->members, id, 0, report.throttle);
	pthread_mutex_unlock(&r->members_lock);
}

static void
probe_upstream(
    struct pb_context *ctx, struct pb_router *r, const struct pb_probe *probe)
{
	struct pb_buffer_sink sink;
	struct pb_call_result res;
	struct pb_call call = {.peer = probe->id,
	    .address = probe->address,
	    .method = "GET",
	    .target = "/v1/load",
	    .connect_us = PROBE_TIMEOUT,
	    .total_us = PROBE_TIMEOUT};
	int rc;

	pb_init_buffer_sink(&sink, 4096);
	rc = pb_call_http(ctx, r->node->client, &call, &sink.base, &res);
	pb_add_counter(r->node->metrics, PB_COUNT_PROBES, 1);
	router_charge_traffic(ctx, r, PROBE_SENT, PROBE_RECEIVED);
	if (rc == PB_OK && res.status == 200)
		apply_report(ctx, r, probe, &sink.body);
	else if (rc != PB_OK)
		note_evidence(ctx, r, pb_hash_cstr(probe->id, 0),
		    probe->incarnation,
		    rc == PB_ETIMEDOUT ? PB_EVIDENCE_TIMEOUT
				       : PB_EVIDENCE_REFUSAL);
	pb_clear_buf(&sink.body);
}

void *
router_run_probe(void *arg)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);
	struct pb_probe probes[PROBE_BATCH];
	size_t i, n;

	while (router_sleep(r, PROBE_INTERVAL)) {
		n = pb_list_probes(&ctx, r->owner,
		    router_max_report_age(&ctx, r), probes, PROBE_BATCH);
		for (i = 0; i < n && !atomic_load(&r->stopping); i++)
			probe_upstream(&ctx, r, &probes[i]);
	}
	return NULL;
}
