#include "poplarbeam/node.h"

#include <stdlib.h>
#include <urcu-bp.h>

#define EVENTS_CAP 16384
#define IDLE_CONNECTIONS 64 /* kept open per address */
#define INITIAL_RETRY_BURST 10 /* until the settings are read */
/* Age after which the outcome of a running claim counts as unknown. */
#define CLAIM_RUNNING_US (10 * 60 * PB_SEC)

struct pb_node *
pb_new_node(struct pb_context *ctx, const struct pb_boot_config *boot)
{
	struct pb_node *node = calloc(1, sizeof(*node));

	if (node == NULL)
		return NULL;
	node->clock = ctx->clock;
	node->log = ctx->log;
	node->boot = *boot;
	node->id_hash = pb_hash_cstr(boot->instance, 0);
	node->incarnation = (uint64_t)pb_wall_time(ctx);
	node->client = pb_new_client(ctx, IDLE_CONNECTIONS);
	node->events = pb_new_events(ctx, EVENTS_CAP);
	node->metrics = pb_new_metrics(ctx);
	node->retries = pb_new_retry_budget(ctx, 0.1, INITIAL_RETRY_BURST);
	node->claims = pb_new_claim_backlog(ctx);
	atomic_init(&node->next_id, 1);
	if (node->client == NULL || node->events == NULL ||
	    node->metrics == NULL || node->retries == NULL ||
	    node->claims == NULL) {
		pb_drop_node(ctx, node);
		return NULL;
	}
	return node;
}

void
pb_drop_node(struct pb_context *ctx, struct pb_node *node)
{
	if (node == NULL)
		return;
	if (node->settings != NULL)
		pb_drop_settings(ctx, node->settings);
	if (node->view != NULL)
		pb_drop_view(ctx, node->view);
	if (node->table != NULL)
		node->table->ops->drop(ctx, node->table);
	if (node->objects != NULL)
		node->objects->ops->drop(ctx, node->objects);
	if (node->instances != NULL)
		node->instances->ops->drop(ctx, node->instances);
	pb_drop_client(ctx, node->client);
	pb_drop_events(ctx, node->events);
	pb_drop_metrics(ctx, node->metrics);
	pb_drop_retry_budget(ctx, node->retries);
	pb_drop_claim_backlog(ctx, node->claims);
	free(node);
}

void
pb_report_evidence(struct pb_context *ctx, struct pb_node *node,
    uint64_t id_hash, uint64_t incarnation, enum pb_evidence evidence)
{
	if (node->note_evidence != NULL)
		node->note_evidence(
		    ctx, node->evidence_arg, id_hash, incarnation, evidence);
}

struct pb_context
pb_node_context(struct pb_node *node)
{
	struct pb_context ctx = {.clock = node->clock, .log = node->log};

	return ctx;
}

struct pb_claim_policy
pb_node_claim_policy(struct pb_node *node, const struct pb_settings *settings)
{
	struct pb_claim_policy policy = {
	    .send_window_us = settings->claim_send_us,
	    .unknown_after_us = CLAIM_RUNNING_US,
	    .retention_us = settings->claim_retention_us,
	    .router = node->boot.instance,
	    .backlog = node->claims};

	return policy;
}

/*
 * The snapshot pointers are accessed as C11 atomics instead of with
 * rcu_dereference and rcu_xchg_pointer, because the thread sanitizer cannot see
 * into the assembly of those. The grace period still comes from liburcu.
 */
struct pb_settings *
pb_node_settings(struct pb_node *node)
{
	struct pb_settings *s;

	rcu_read_lock();
	s = atomic_load(&node->settings);
	if (s != NULL)
		pb_keep_settings(s);
	rcu_read_unlock();
	return s;
}

struct pb_view *
pb_node_view(struct pb_node *node)
{
	struct pb_view *v;

	rcu_read_lock();
	v = atomic_load(&node->view);
	if (v != NULL)
		pb_keep_view(v);
	rcu_read_unlock();
	return v;
}

void
pb_set_node_settings(
    struct pb_context *ctx, struct pb_node *node, struct pb_settings *settings)
{
	struct pb_settings *old = atomic_exchange(&node->settings, settings);

	/* A reader may have loaded the pointer without a reference yet. */
	synchronize_rcu();
	if (old != NULL)
		pb_drop_settings(ctx, old);
	pb_set_gauge(
	    node->metrics, PB_GAUGE_REVISION, (int64_t)settings->revision);
}

void
pb_set_node_view(
    struct pb_context *ctx, struct pb_node *node, struct pb_view *view)
{
	struct pb_view *old = atomic_exchange(&node->view, view);

	synchronize_rcu();
	if (old != NULL)
		pb_drop_view(ctx, old);
	pb_set_gauge(node->metrics, PB_GAUGE_MEMBERS, (int64_t)view->count);
}
