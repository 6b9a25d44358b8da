#include "gateway-exchange.h"
#include "gateway-follow.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>

#define SWEEP_US (100 * PB_MSEC)

static void
on_instance_closed(void *owner, struct pb_instance *instance)
{
	(void)owner;
	pb_drop_idle_links(instance);
}

static const struct pb_registry_ops registry_ops = {on_instance_closed};

static int64_t
file_time_ns(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
}

/* Reloads the settings; the addresses keep their values from the start. */
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
	pb_copy_str(next.peer, sizeof(next.peer), gw->settings.peer);
	pb_copy_str(next.store, sizeof(next.store), gw->settings.store);
	gw->settings = next;
	pb_log(gw->ctx, PB_INFO, "reload", NULL, NULL, "settings reloaded: %s",
	    cause);
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
	pb_note_running(gw->ctx, gw->registry);
	pb_sweep_conns(gw);
	pb_sweep_holds(gw);
	pb_enforce_memory_limit(gw);
	pb_answer_held_polls(gw);
	pb_expire_instances(gw->ctx, gw->registry);
	pb_end_pauses(gw->ctx, gw->registry);
	pb_continue_stop(gw);
	if (file_time_ns(gw->path) != gw->settings_time_ns)
		reload(gw, "file changed");
}

static int
start_listeners(struct pb_gateway *gw)
{
	const struct pb_gateway_settings *s = &gw->settings;

	gw->caller_listener = pb_open_listener(
	    gw, &gw->caller_endpoint, s->caller, &pb_caller_ops);
	gw->ready_listener =
	    pb_open_listener(gw, &gw->ready_endpoint, s->ready, &pb_ready_ops);
	gw->metrics_listener = pb_open_listener(
	    gw, &gw->metrics_endpoint, s->metrics, &pb_metrics_ops);
	gw->peer_listener =
	    pb_open_listener(gw, &gw->peer_endpoint, s->peer, &pb_peer_ops);
	if (gw->caller_listener == NULL || gw->ready_listener == NULL ||
	    gw->metrics_listener == NULL || gw->peer_listener == NULL)
		return gw->ctx->error.code;
	return PB_OK;
}

static int
start_timers(struct pb_gateway *gw)
{
	struct timeval sweep = {0, SWEEP_US};

	gw->sweep_timer = event_new(gw->base, -1, EV_PERSIST, on_sweep, gw);
	gw->dispatch_timer = pb_new_dispatch_timer(gw);
	gw->term_signal = evsignal_new(gw->base, SIGTERM, on_term, gw);
	gw->reload_signal = evsignal_new(gw->base, SIGHUP, on_reload, gw);
	if (gw->sweep_timer == NULL || gw->dispatch_timer == NULL ||
	    gw->term_signal == NULL || gw->reload_signal == NULL ||
	    evtimer_add(gw->sweep_timer, &sweep) != 0 ||
	    evsignal_add(gw->term_signal, NULL) != 0 ||
	    evsignal_add(gw->reload_signal, NULL) != 0)
		return pb_set_error(gw->ctx, PB_ENOMEM, "start", NULL,
		    "cannot create timers and signal handlers");
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
	gw->suspects = pb_new_suspects(gw->ctx);
	gw->metrics = pb_new_gateway_metrics();
	gw->store = pb_new_instance("store", gw->settings.store);
	if (gw->base == NULL || gw->registry == NULL || gw->suspects == NULL ||
	    gw->metrics == NULL || gw->store == NULL)
		return pb_set_error(
		    gw->ctx, PB_ENOMEM, "start", NULL, "out of memory");
	gw->follower = pb_new_follower(gw);
	gw->announcer = pb_new_announcer(gw);
	gw->stream_reporter = pb_new_stream_reporter(gw);
	gw->crash_fetch = pb_new_crash_fetch(gw);
	/*
	 * The configuration and the list of instances can be large, and another
	 * router may already have them, so these two watches start paused.
	 */
	gw->routing_watch = pb_new_watch(gw, &pb_routing_watch_ops, true);
	gw->instance_watch = pb_new_watch(gw, &pb_instance_watch_ops, true);
	gw->router_watch = pb_new_watch(gw, &pb_router_watch_ops, false);
	if (gw->follower == NULL || gw->announcer == NULL ||
	    gw->stream_reporter == NULL || gw->crash_fetch == NULL ||
	    gw->routing_watch == NULL || gw->instance_watch == NULL ||
	    gw->router_watch == NULL)
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
	    pb_hash_cstr(settings->instance, (uint64_t)pb_wall_time(ctx));
	TAILQ_INIT(&gw->conns);
	TAILQ_INIT(&gw->exchanges);
	if (start_state(gw) != PB_OK || start_listeners(gw) != PB_OK ||
	    start_timers(gw) != PB_OK) {
		pb_drop_gateway(gw);
		return NULL;
	}
	pb_log(ctx, PB_INFO, "start", NULL, NULL,
	    "listening for callers at %s, readiness checks at %s, "
	    "metrics at %s",
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
		pb_drop_admission(gw->ctx, b->admission);
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

		if (x->conn != NULL)
			x->conn->exchange = NULL;
		pb_drop_exchange(x);
	}
	while (!TAILQ_EMPTY(&gw->conns))
		pb_drop_conn(TAILQ_FIRST(&gw->conns));
	drop_listener(gw->caller_listener);
	drop_listener(gw->ready_listener);
	drop_listener(gw->metrics_listener);
	drop_listener(gw->peer_listener);
	pb_drop_stream_reporter(gw->stream_reporter);
	pb_drop_crash_fetch(gw->crash_fetch);
	pb_drop_follower(gw->follower);
	gw->follower = NULL;
	pb_drop_announcer(gw->announcer);
	pb_drop_watch(gw->routing_watch);
	pb_drop_watch(gw->instance_watch);
	pb_drop_watch(gw->router_watch);
	if (gw->store != NULL)
		pb_drop_idle_links(gw->store);
	pb_drop_instance(gw->store);
	pb_drop_registry(gw->ctx, gw->registry);
	pb_drop_suspects(gw->ctx, gw->suspects);
	drop_budgets(gw);
	drop_event(gw->sweep_timer);
	drop_event(gw->dispatch_timer);
	drop_event(gw->term_signal);
	drop_event(gw->reload_signal);
	pb_drop_routing(gw->ctx, gw->routing);
	pb_clear_buf(&gw->routing_text);
	pb_clear_buf(&gw->routing_compressed);
	pb_clear_buf(&gw->packed_list);
	pb_drop_gateway_metrics(gw->metrics);
	if (gw->base != NULL)
		event_base_free(gw->base);
	free(gw);
}
