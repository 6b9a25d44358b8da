#include "gateway-internal.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>

#define SWEEP_US (100 * PB_MSEC)
/*
 * Entries that expired while the store was away are back this long after its
 * return, if their instances live.
 */
#define LAPSE_US (2200 * PB_MSEC)
/* A shorter absence of the store makes no entry expire. */
#define LAPSE_MIN_US PB_SEC

/* How long the store may hold a question about the configuration. */
#define ROUTING_WAIT_MS 900
/*
 * Versions that follow each other faster are not all fetched: a large
 * configuration would fill the link of a small machine.
 */
#define ROUTING_PERIOD_US (500 * PB_MSEC)
#define ROUTING_LIST_PERIOD_US (60 * PB_SEC)
/*
 * Heartbeats change the list all the time, so that a held question would
 * return at once; the list is asked for changes this often instead.
 */
#define INSTANCE_PERIOD_US (700 * PB_MSEC)
/* Catches changes that a watch has missed. */
#define INSTANCE_LIST_PERIOD_US (8 * PB_SEC)

static void
put_routing_in_force(struct pb_gateway *gw, struct pb_routing *routing)
{
	if (gw->routing != NULL && routing->version <= gw->routing->version) {
		pb_drop_routing(gw->ctx, routing);
		return;
	}
	pb_log(gw->ctx, PB_INFO, "configuration", NULL, NULL,
	    "version %lld in force, before %lld: %zu routes, %zu services, "
	    "%zu accounts, %zu keys",
	    (long long)routing->version,
	    gw->routing != NULL ? (long long)gw->routing->version : -1,
	    routing->route_count, routing->service_count,
	    routing->account_count, routing->key_count);
	pb_drop_routing(gw->ctx, gw->routing);
	gw->routing = routing;
	gw->routing_us = pb_now(gw->ctx);
}

static void
on_routing_row(struct pb_gateway *gw, struct pb_arena *arena,
    const struct pb_store_row *row)
{
	struct pb_routing *routing;

	(void)arena;
	if (row->removed || !gw->adapter->is_routing_key(row->key))
		return;
	routing = gw->adapter->read_routing(gw->ctx, row->value);
	if (routing == NULL)
		pb_log_error(gw->ctx, PB_ERROR, NULL);
	else
		put_routing_in_force(gw, routing);
}

static void
on_instance_row(struct pb_gateway *gw, struct pb_arena *arena,
    const struct pb_store_row *row)
{
	struct pb_instance_entry entry;
	int rc = PB_EPROTO;

	if (!row->removed)
		rc = gw->adapter->read_instance(gw->ctx, arena, row, &entry);
	if (rc == PB_OK)
		rc = pb_apply_instance(gw->ctx, gw->registry, &entry);
	if (rc == PB_OK)
		return;
	if (!row->removed)
		pb_log_error(gw->ctx, PB_WARN, NULL);
	pb_remove_instance(gw->ctx, gw->registry, row->key);
}

static void
on_instances_begin(struct pb_gateway *gw)
{
	pb_begin_listing(gw->registry);
}

static void
on_instances_end(struct pb_gateway *gw)
{
	pb_end_listing(gw->ctx, gw->registry);
}

static void
on_instances_regained(struct pb_gateway *gw, int64_t since_us)
{
	int64_t now = pb_now(gw->ctx);

	if (now - since_us >= LAPSE_MIN_US)
		pb_defer_removals(gw->registry, now + LAPSE_US);
}

static void
on_instance_closed(void *owner, struct pb_instance *instance)
{
	(void)owner;
	pb_drop_idle_links(instance);
}

static const struct pb_watch_ops routing_watch = {on_routing_row, NULL, NULL,
    NULL, PB_STORE_OPERATOR, "the configuration", ROUTING_WAIT_MS,
    ROUTING_PERIOD_US, ROUTING_LIST_PERIOD_US};
static const struct pb_watch_ops instance_watch = {on_instance_row,
    on_instances_begin, on_instances_end, on_instances_regained,
    PB_STORE_INSTANCES, "the list of instances", 0, INSTANCE_PERIOD_US,
    INSTANCE_LIST_PERIOD_US};
static const struct pb_registry_ops registry_ops = {on_instance_closed};

static int64_t
file_time_ns(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
}

/* Reads the settings again; addresses keep their first values. */
static void
reload(struct pb_gateway *gw, const char *cause)
{
	struct pb_gateway_settings next;

	gw->settings_time_ns = file_time_ns(gw->path);
	if (pb_load_gateway_settings(gw->ctx, gw->path, &next) != PB_OK) {
		pb_log_error(gw->ctx, PB_ERROR, NULL);
		return;
	}
	pb_copy_str(next.caller, sizeof(next.caller), gw->settings.caller);
	pb_copy_str(next.ready, sizeof(next.ready), gw->settings.ready);
	pb_copy_str(next.metrics, sizeof(next.metrics), gw->settings.metrics);
	pb_copy_str(next.store, sizeof(next.store), gw->settings.store);
	gw->settings = next;
	pb_log(gw->ctx, PB_INFO, "reload", NULL, NULL,
	    "settings read again: %s", cause);
}

static void
on_reload(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	reload(arg, "signal");
}

static void
on_term(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	pb_begin_stop(arg);
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct pb_gateway *gw = arg;

	(void)fd;
	(void)what;
	pb_sweep_fronts(gw);
	pb_expire_instances(gw->ctx, gw->registry);
	pb_continue_stop(gw);
	if (file_time_ns(gw->path) != gw->settings_time_ns)
		reload(gw, "file changed");
}

static int
start_listeners(struct pb_gateway *gw)
{
	const struct pb_gateway_settings *s = &gw->settings;

	gw->caller_listener = pb_listen_front(
	    gw, &gw->caller_entrance, s->caller, &pb_caller_ops);
	gw->ready_listener =
	    pb_listen_front(gw, &gw->ready_entrance, s->ready, &pb_ready_ops);
	gw->metrics_listener = pb_listen_front(
	    gw, &gw->metrics_entrance, s->metrics, &pb_metrics_ops);
	if (gw->caller_listener == NULL || gw->ready_listener == NULL ||
	    gw->metrics_listener == NULL)
		return gw->ctx->error.code;
	return PB_OK;
}

static int
start_timers(struct pb_gateway *gw)
{
	struct timeval sweep = {0, SWEEP_US};

	gw->sweep_timer = event_new(gw->base, -1, EV_PERSIST, on_sweep, gw);
	gw->term_signal = evsignal_new(gw->base, SIGTERM, on_term, gw);
	gw->reload_signal = evsignal_new(gw->base, SIGHUP, on_reload, gw);
	if (gw->sweep_timer == NULL || gw->term_signal == NULL ||
	    gw->reload_signal == NULL ||
	    evtimer_add(gw->sweep_timer, &sweep) != 0 ||
	    evsignal_add(gw->term_signal, NULL) != 0 ||
	    evsignal_add(gw->reload_signal, NULL) != 0)
		return pb_set_error(gw->ctx, PB_ENOMEM, "start", NULL,
		    "cannot set timers and signals");
	return PB_OK;
}

static int
start_state(struct pb_gateway *gw)
{
	struct event_config *config = event_config_new();

	if (config != NULL) {
		event_config_set_flag(
		    config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
		event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
		gw->base = event_base_new_with_config(config);
		event_config_free(config);
	}
	gw->registry = pb_new_registry(gw->ctx, &registry_ops, gw);
	gw->metrics = pb_new_gateway_metrics();
	gw->store = pb_new_instance("store", gw->settings.store);
	if (gw->base == NULL || gw->registry == NULL || gw->metrics == NULL ||
	    gw->store == NULL)
		return pb_set_error(
		    gw->ctx, PB_ENOMEM, "start", NULL, "out of memory");
	gw->routing_watch = pb_new_watch(gw, &routing_watch);
	gw->instance_watch = pb_new_watch(gw, &instance_watch);
	if (gw->routing_watch == NULL || gw->instance_watch == NULL)
		return pb_set_error(
		    gw->ctx, PB_ENOMEM, "start", NULL, "out of memory");
	return PB_OK;
}

struct pb_gateway *
pb_new_gateway(struct pb_context *ctx,
    const struct pb_gateway_settings *settings, const char *path,
    const struct pb_adapter_ops *adapter)
{
	struct pb_gateway *gw = calloc(1, sizeof(*gw));

	if (gw == NULL)
		return NULL;
	gw->ctx = ctx;
	gw->adapter = adapter;
	gw->settings = *settings;
	gw->path = path;
	gw->settings_time_ns = file_time_ns(path);
	gw->rnd.state =
	    pb_hash_cstr(settings->instance, (uint64_t)pb_wall(ctx));
	TAILQ_INIT(&gw->fronts);
	TAILQ_INIT(&gw->exchanges);
	if (start_state(gw) != PB_OK || start_listeners(gw) != PB_OK ||
	    start_timers(gw) != PB_OK) {
		pb_drop_gateway(gw);
		return NULL;
	}
	pb_log(ctx, PB_INFO, "start", NULL, NULL,
	    "serving callers at %s, readiness at %s, metrics at %s",
	    settings->caller, settings->ready, settings->metrics);
	return gw;
}

int
pb_run_gateway(struct pb_gateway *gateway)
{
	if (event_base_dispatch(gateway->base) < 0)
		return pb_set_error(gateway->ctx, PB_EABORTED, "run", NULL,
		    "the event loop failed");
	return PB_OK;
}

static void
drop_event(struct event *ev)
{
	if (ev != NULL)
		event_free(ev);
}

static void
drop_listener(struct evconnlistener *listener)
{
	if (listener != NULL)
		evconnlistener_free(listener);
}

static void
drop_budgets(struct pb_gateway *gw)
{
	struct pb_service_budget *b, *next;

	for (b = gw->budgets; b != NULL; b = next) {
		next = b->next;
		pb_drop_retry_window(gw->ctx, b->window);
		free(b);
	}
}

void
pb_drop_gateway(struct pb_gateway *gateway)
{
	struct pb_gateway *gw = gateway;

	if (gw == NULL)
		return;
	while (!TAILQ_EMPTY(&gw->exchanges)) {
		struct pb_exchange *x = TAILQ_FIRST(&gw->exchanges);

		if (x->front != NULL)
			x->front->exchange = NULL;
		pb_drop_exchange(x);
	}
	while (!TAILQ_EMPTY(&gw->fronts))
		pb_drop_front(TAILQ_FIRST(&gw->fronts));
	drop_listener(gw->caller_listener);
	drop_listener(gw->ready_listener);
	drop_listener(gw->metrics_listener);
	pb_drop_watch(gw->routing_watch);
	pb_drop_watch(gw->instance_watch);
	if (gw->store != NULL)
		pb_drop_idle_links(gw->store);
	pb_drop_instance(gw->store);
	pb_drop_registry(gw->ctx, gw->registry);
	drop_budgets(gw);
	drop_event(gw->sweep_timer);
	drop_event(gw->term_signal);
	drop_event(gw->reload_signal);
	pb_drop_routing(gw->ctx, gw->routing);
	pb_drop_gateway_metrics(gw->metrics);
	if (gw->base != NULL)
		event_base_free(gw->base);
	free(gw);
}
