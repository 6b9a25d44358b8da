#include "router-internal.h"

#include <stdlib.h>

#define PLATFORM_TIMEOUT (2 * PB_SEC) /* for one call to the platform */
/* Time until the balancer and the peers send new requests elsewhere. */
#define LEAVING_NOTICE (2 * PB_SEC)
#define DRAIN_TIMEOUT_DEFAULT (60 * PB_SEC)
#define DRAIN_POLL_INTERVAL (20 * PB_MSEC)

bool
router_sleep(struct pb_router *r, int64_t us)
{
	pb_sleep_unless(r->node->clock, us, &r->stopping);
	return !atomic_load(&r->stopping);
}

static int
open_platform(struct pb_context *ctx, struct pb_node *node)
{
	const struct pb_boot_config *b = &node->boot;

	node->table = pb_new_http_table(ctx, b->table, PLATFORM_TIMEOUT);
	node->objects = pb_new_http_objects(ctx, b->objects, PLATFORM_TIMEOUT);
	node->instances =
	    pb_new_http_instances(ctx, b->instances, PLATFORM_TIMEOUT);
	if (node->table == NULL || node->objects == NULL ||
	    node->instances == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "platform", NULL, "out of memory");
	return PB_OK;
}

static int
start_servers(struct pb_context *ctx, struct pb_router *r)
{
	if (router_start_admin(ctx, r) != PB_OK)
		return ctx->error.code;
	r->relay_server = pb_new_relay_server(ctx, r->owner, r->node);
	if (r->relay_server == NULL)
		return ctx->error.code;
	r->caller_server = pb_new_caller_server(ctx, r->owner, r->node);
	if (r->caller_server == NULL)
		return ctx->error.code;
	return PB_OK;
}

static int
start_threads(struct pb_context *ctx, struct pb_router *r)
{
	static void *(*const thread_fns[THREAD_COUNT])(void *) = {
	    [THREAD_TIMER] = router_run_timer,
	    [THREAD_INSTANCES] = router_run_instances,
	    [THREAD_SETTINGS] = router_run_settings,
	    [THREAD_PROBE] = router_run_probe,
	    [THREAD_DIGEST] = router_run_digest,
	    [THREAD_CLAIMS] = router_run_claims,
	    [THREAD_LEASES] = router_run_leases,
	    [THREAD_ORDERS] = router_run_orders,
	};
	int i;

	for (i = 0; i < THREAD_COUNT; i++) {
		if (pthread_create(&r->threads[i], NULL, thread_fns[i], r) != 0)
			return pb_set_error(ctx, PB_ENOMEM, "start", NULL,
			    "cannot create a thread");
		r->thread_count++;
	}
	return PB_OK;
}

struct pb_router *
pb_new_router(struct pb_context *ctx, const struct pb_boot_config *boot)
{
	struct pb_router *r = calloc(1, sizeof(*r));

	if (r == NULL)
		return NULL;
	pthread_mutex_init(&r->orders_lock, NULL);
	r->node = pb_new_node(ctx, boot);
	if (r->node == NULL)
		goto fail;
	r->owner = pb_new_owner(ctx, r->node);
	if (r->owner == NULL || open_platform(ctx, r->node) != PB_OK ||
	    router_init_members(ctx, r) != PB_OK ||
	    router_init_settings(ctx, r) != PB_OK ||
	    router_init_digest(ctx, r) != PB_OK)
		goto fail;
	atomic_store(&r->node->accepting, 1);
	/*
	 * Fetches the first view and settings before the servers start, so that
	 * most routers are ready as soon as they accept connections.
	 */
	if (router_fetch_instances(ctx, r) != PB_OK)
		pb_log_error(ctx, PB_WARN, NULL);
	router_publish_view(ctx, r);
	router_poll_settings(ctx, r);
	if (router_start_peer(ctx, r) != PB_OK ||
	    start_servers(ctx, r) != PB_OK || start_threads(ctx, r) != PB_OK)
		goto fail;
	pb_log(ctx, PB_INFO, "start", NULL, NULL, "serving callers on %s",
	    boot->caller);
	return r;
fail:
	pb_drop_router(ctx, r);
	return NULL;
}

static int64_t
count_running(const struct pb_node *node)
{
	return pb_read_gauge(node->metrics, PB_GAUGE_IN_FLIGHT) +
	    pb_read_gauge(node->metrics, PB_GAUGE_OWNED_IN_FLIGHT);
}

static int64_t
drain_timeout(struct pb_context *ctx, struct pb_node *node)
{
	struct pb_settings *s = pb_node_settings(node);
	int64_t us = s != NULL ? s->drain_us : DRAIN_TIMEOUT_DEFAULT;

	if (s != NULL)
		pb_drop_settings(ctx, s);
	return us;
}

int64_t
pb_drain_router(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_node *node = r->node;
	int64_t deadline_us = pb_now(ctx) + drain_timeout(ctx, node);
	int64_t running;

	atomic_store(&node->leaving, 1);
	pb_report_evidence(ctx, node, node->id_hash, 0, PB_EVIDENCE_LEAVING);
	pb_add_event(ctx, node->events, "draining", NULL, 0, NULL,
	    "%lld requests in progress", (long long)count_running(node));
	node->clock->ops->sleep(node->clock, LEAVING_NOTICE);
	atomic_store(&node->accepting, 0);
	while ((running = count_running(node)) > 0 && pb_now(ctx) < deadline_us)
		node->clock->ops->sleep(node->clock, DRAIN_POLL_INTERVAL);
	while (
	    router_flush_claim_backlog(ctx, r) > 0 && pb_now(ctx) < deadline_us)
		node->clock->ops->sleep(node->clock, DRAIN_POLL_INTERVAL);
	if (running > 0)
		pb_log(ctx, PB_ERROR, "drain", NULL, NULL,
		    "%lld requests were still in progress at the deadline",
		    (long long)running);
	else
		pb_log(ctx, PB_INFO, "drain", NULL, NULL,
		    "no request in progress was cut");
	return running;
}

bool
pb_drain_requested(const struct pb_router *r)
{
	return atomic_load(&r->drain_requested) != 0;
}

void
pb_drop_router(struct pb_context *ctx, struct pb_router *r)
{
	int i;

	if (r == NULL)
		return;
	atomic_store(&r->stopping, 1);
	for (i = 0; i < r->thread_count; i++) {
		pthread_cond_broadcast(&r->settings_cond);
		pthread_join(r->threads[i], NULL);
	}
	router_drop_orders(ctx, r);
	pb_drop_caller_server(ctx, r->caller_server);
	pb_drop_relay_server(ctx, r->relay_server);
	pb_drop_server(r->admin_server);
	pb_drop_peer_server(ctx, r->peer_server);
	if (r->digest != NULL)
		pb_drop_digest(ctx, r->digest);
	if (r->gate != NULL)
		pb_drop_settings_gate(ctx, r->gate);
	if (r->members != NULL)
		pb_drop_members(ctx, r->members);
	pb_clear_buf(&r->settings_text);
	pb_clear_tree(&r->latest_tree);
	pb_drop_owner(ctx, r->owner);
	pb_drop_node(ctx, r->node);
	free(r);
}
