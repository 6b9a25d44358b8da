#include "gateway-follow.h"

#include <stdlib.h>
#include <string.h>

/*
 * Timeout of a response, in addition to the time for which the store may hold
 * the request.
 */
#define RESPONSE_LIMIT_US (700 * PB_MSEC)
/* Timeout of a listing, which may be large. */
#define LIST_LIMIT_US (2 * PB_SEC)
/* The delay after a failed request doubles, with jitter, up to the limit. */
#define RETRY_MIN_US (80 * PB_MSEC)
#define RETRY_MAX_US (600 * PB_MSEC)
/*
 * While the store is unavailable, the instance watch retries for all watches.
 * The other watches retry once the store responds to the instance watch, or
 * after this time in case the store fails only for them.
 */
#define RETRY_OTHERS_US (3 * PB_SEC)
/*
 * Large responses may take a quarter of the time, so that most of a small
 * machine's link is left to callers. The pause after them is limited so that
 * changes are still seen in time.
 */
#define LARGE_RESPONSE 32768 /* bytes */
#define LARGE_PAUSE_FACTOR 4
#define LARGE_PAUSE_MAX_US (1200 * PB_MSEC)
/* Margin for a response that is later than the previous one. */
#define LATENCY_MARGIN_US (100 * PB_MSEC)

struct pb_watch {
	struct pb_link_call call;
	struct pb_gateway *gw;
	const struct pb_watch_ops *ops;
	struct event *timer;
	struct pb_buf response;
	int64_t version; /* store version of the applied data */
	int64_t sent_us; /* when the call in progress was sent */
	int64_t wait_us; /* how long the store may hold that call */
	int64_t fresh_us; /* when the applied data was current */
	int64_t latency_us; /* delay of responses beyond wait_us */
	int64_t list_sent_us; /* when the listing in progress began */
	int64_t listed_us; /* start of the last complete listing */
	int64_t failing_us; /* first failure since the last success; 0: none */
	int64_t failed_us; /* last failure; 0: none */
	int64_t retry_us; /* delay after the next failure */
	/* Minimum time between requests after a large response; 0: none. */
	int64_t large_pause_us;
	char after[256]; /* key after which the listing continues */
	size_t after_len; /* 0: the listing starts with the first row */
	bool listing; /* the call in progress is a listing */
	bool must_list;
	bool no_hold; /* the store must not hold the next request */
	bool more; /* the store has more changes than fit in its response */
	bool paused;
	int status;
};

static void start_request(struct pb_watch *w);

/* Makes the next request a full listing: changes may have been missed. */
static void
restart_listing(struct pb_watch *w)
{
	w->must_list = true;
	w->after_len = 0;
}

/* Returns true if the instance watch is retrying for this one. */
static bool
defers_retries(const struct pb_watch *w)
{
	const struct pb_watch *prober = w->gw->instance_watch;

	return w != prober && prober != NULL && !prober->paused &&
	    prober->failing_us != 0;
}

static void
handle_failure(struct pb_watch *w, const char *why)
{
	struct pb_gateway *gw = w->gw;
	double jitter = 0.5 + pb_next_uniform(&gw->rnd);

	w->failed_us = pb_now(gw->ctx);
	if (w->failing_us == 0) {
		w->retry_us = RETRY_MIN_US;
		w->failing_us = w->failed_us;
		pb_log(gw->ctx, PB_WARN, "watch store", gw->settings.store,
		    NULL, "lost %s: %s", w->ops->name, why);
	}
	if (defers_retries(w)) {
		pb_set_timer(
		    w->timer, (int64_t)((double)RETRY_OTHERS_US * jitter));
		return;
	}
	pb_set_timer(w->timer, (int64_t)((double)w->retry_us * jitter));
	w->retry_us *= 2;
	if (w->retry_us > RETRY_MAX_US)
		w->retry_us = RETRY_MAX_US;
}

/*
 * Updates the latency of the store. It falls by at most half per response: a
 * single fast response does not mean that a slow store has become fast.
 */
static void
update_latency(struct pb_watch *w)
{
	int64_t late = pb_now(w->gw->ctx) - w->sent_us - w->wait_us;

	w->latency_us = late > w->latency_us / 2 ? late : w->latency_us / 2;
}

/* Retries at once on a watch that left the retries to the instance watch. */
static void
retry_if_failing(struct pb_watch *w)
{
	if (w != NULL && !w->paused && w->failing_us != 0 &&
	    w->call.link == NULL)
		pb_set_timer(w->timer, 1);
}

static void
handle_success(struct pb_watch *w)
{
	struct pb_gateway *gw = w->gw;

	if (!w->listing)
		update_latency(w);
	if (w->failing_us == 0)
		return;
	pb_log(gw->ctx, PB_INFO, "watch store", gw->settings.store, NULL,
	    "store serves %s again after %lld ms", w->ops->name,
	    (long long)((pb_now(gw->ctx) - w->failing_us) / PB_MSEC));
	w->failing_us = 0;
	if (w != gw->instance_watch)
		return;
	retry_if_failing(gw->routing_watch);
	retry_if_failing(gw->router_watch);
}

static void
apply_rows(struct pb_watch *w, struct pb_arena *arena,
    const struct pb_store_page *page)
{
	size_t i;

	for (i = 0; i < page->count; i++) {
		const struct pb_store_row *row = &page->rows[i];

		if (row->unreadable)
			pb_log(w->gw->ctx, PB_WARN, "watch store",
			    w->gw->settings.store, NULL,
			    "value of row %.*s in %s is not readable",
			    (int)row->key.len, row->key.data, w->ops->name);
		w->ops->apply_row(w->gw, arena, row);
	}
}

static void
notify_complete(struct pb_watch *w)
{
	if (w->ops->note_complete != NULL)
		w->ops->note_complete(w->gw, w->version);
}

static void
notify_fresh(struct pb_watch *w, int64_t fresh_us)
{
	w->fresh_us = fresh_us;
	if (w->ops->note_fresh != NULL)
		w->ops->note_fresh(w->gw, fresh_us);
}

/* Applies one page of a listing; the last page completes it. */
static void
apply_listing(struct pb_watch *w, struct pb_arena *arena,
    const struct pb_store_page *page)
{
	if (w->after_len == 0) {
		notify_fresh(w, w->list_sent_us);
		/* Requests for changes deliver all later versions. */
		w->version = page->version;
		if (w->ops->begin_listing != NULL)
			w->ops->begin_listing(w->gw);
	}
	apply_rows(w, arena, page);
	if (page->more && page->count > 0) {
		struct pb_str key = page->rows[page->count - 1].key;

		if (key.len <= sizeof(w->after)) {
			memcpy(w->after, key.data, key.len);
			w->after_len = key.len;
			return;
		}
	}
	w->after_len = 0;
	w->must_list = false;
	w->listed_us = w->list_sent_us;
	if (w->ops->end_listing != NULL)
		w->ops->end_listing(w->gw);
	notify_complete(w);
}

static int
apply_page(struct pb_watch *w)
{
	struct pb_context *ctx = w->gw->ctx;
	struct pb_arena *arena = pb_new_arena(ctx);
	struct pb_store_page page;
	int rc;

	if (arena == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "watch store", NULL, "out of memory");
	rc = w->gw->adapter->read_page(ctx, arena,
	    (struct pb_str){w->response.data, w->response.len}, &page);
	if (rc == PB_OK && w->listing) {
		apply_listing(w, arena, &page);
	} else if (rc == PB_OK) {
		notify_fresh(w, w->sent_us);
		apply_rows(w, arena, &page);
		if (page.version > w->version)
			w->version = page.version;
		notify_complete(w);
		w->more = page.more;
		w->must_list = page.count > 0 && w->ops->relists_after_change;
	}
	pb_drop_arena(ctx, arena);
	return rc;
}

/*
 * Returns the minimum time from the last request to the next one if the
 * response was large, or 0.
 */
static int64_t
compute_large_pause(const struct pb_watch *w)
{
	int64_t pause = (pb_now(w->gw->ctx) - w->sent_us) * LARGE_PAUSE_FACTOR;

	/* After a change, the newest version is listed without a pause. */
	if (w->response.len < LARGE_RESPONSE || !w->listing ||
	    !w->ops->limits_bandwidth)
		return 0;
	return pause < LARGE_PAUSE_MAX_US ? pause : LARGE_PAUSE_MAX_US;
}

static int64_t
max_us(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static void
on_head(struct pb_link_call *call)
{
	struct pb_watch *w = (struct pb_watch *)call;

	w->status = call->link->reader.head.status;
}

static void
on_body(struct pb_link_call *call, struct pb_str part)
{
	struct pb_watch *w = (struct pb_watch *)call;

	if (pb_append_buf(&w->response, part.data, part.len) != PB_OK)
		w->status = 0;
}

static void
on_done(struct pb_link_call *call)
{
	struct pb_watch *w = (struct pb_watch *)call;
	struct pb_context *ctx = w->gw->ctx;
	int64_t next;
	char why[32];

	evtimer_del(w->timer);
	if (w->status == 410) {
		pb_log(ctx, PB_INFO, "watch store", w->gw->settings.store, NULL,
		    "change history of %s has expired; reading all rows",
		    w->ops->name);
		restart_listing(w);
		start_request(w);
		return;
	}
	if (w->status != 200) {
		snprintf(why, sizeof(why), "status %d", w->status);
		handle_failure(w, why);
		return;
	}
	/* Logs the recovery of the store before the effects of its response. */
	handle_success(w);
	if (apply_page(w) != PB_OK) {
		pb_log_error(ctx, PB_ERROR, NULL);
		restart_listing(w);
		handle_failure(w, "response could not be decoded");
		return;
	}
	w->large_pause_us = compute_large_pause(w);
	next = w->sent_us + max_us(w->ops->period_us, w->large_pause_us) -
	    pb_now(ctx);
	if (next <= 0 || w->after_len != 0 || w->more)
		start_request(w);
	else
		pb_set_timer(w->timer, next);
}

static void
on_failed(struct pb_link_call *call, enum pb_link_failure failure)
{
	struct pb_watch *w = (struct pb_watch *)call;

	evtimer_del(w->timer);
	restart_listing(w);
	handle_failure(w,
	    failure == PB_LINK_NOT_REACHED ? "could not connect"
					   : "connection broken");
}

static const struct pb_link_call_ops call_ops = {
    on_head, on_body, on_done, on_failed};

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pb_watch *w = arg;

	(void)fd;
	(void)what;
	if (w->call.link == NULL) {
		start_request(w);
		return;
	}
	pb_cancel_call(&w->call);
	restart_listing(w);
	handle_failure(w, "request timed out");
}

/*
 * Returns how long the store may hold the next request so that the data never
 * exceeds its maximum age: neither before the response arrives nor, if the
 * store is as late each time, before the response after that.
 */
static int64_t
compute_wait(const struct pb_watch *w)
{
	int64_t late = w->latency_us + LATENCY_MARGIN_US;
	int64_t wait = w->ops->wait_ms * PB_MSEC;
	int64_t age = pb_now(w->gw->ctx) - w->fresh_us;
	int64_t max_age;

	if (w->no_hold)
		return 0;
	if (w->ops->max_age == NULL)
		return wait;
	max_age = w->ops->max_age(w->gw);
	if (wait > max_age / 2 - late)
		wait = max_age / 2 - late;
	if (wait > max_age - age - late)
		wait = max_age - age - late;
	return wait > 0 ? wait : 0;
}

static int
append_request(struct pb_watch *w, struct pb_buf *buf)
{
	struct pb_gateway *gw = w->gw;

	if (!w->listing)
		return gw->adapter->append_watch(buf, gw->settings.store,
		    w->ops->table, w->version, (int)(w->wait_us / PB_MSEC));
	return gw->adapter->append_list(buf, gw->settings.store, w->ops->table,
	    (struct pb_str){w->after, w->after_len});
}

static void
send_request(struct pb_watch *w)
{
	struct pb_gateway *gw = w->gw;
	struct pb_buf buf = {0};
	struct pb_link *link;
	int64_t now = pb_now(gw->ctx);

	if (now - w->listed_us > w->ops->list_period_us)
		w->must_list = true;
	w->listing = w->must_list;
	w->more = false;
	w->response.len = 0;
	w->status = 0;
	w->sent_us = now;
	w->wait_us = w->listing ? 0 : compute_wait(w);
	w->no_hold = false;
	if (w->listing && w->after_len == 0)
		w->list_sent_us = now;
	link = pb_take_link(gw, gw->store);
	if (link == NULL || append_request(w, &buf) != PB_OK ||
	    pb_send_call(link, &w->call, (struct pb_str){buf.data, buf.len},
		PB_STR_NONE) != PB_OK) {
		pb_cancel_call(&w->call);
		handle_failure(w, "could not send the request");
	} else {
		pb_set_timer(w->timer,
		    w->listing ? LIST_LIMIT_US
			       : RESPONSE_LIMIT_US + w->wait_us);
	}
	pb_clear_buf(&buf);
}

static void
start_request(struct pb_watch *w)
{
	w->paused = false;
	if (w->call.link == NULL)
		send_request(w);
}

bool
pb_is_watch_failing(const struct pb_watch *watch)
{
	return watch->failing_us != 0;
}

int64_t
pb_last_watch_failure(const struct pb_watch *watch)
{
	return watch != NULL ? watch->failed_us : 0;
}

void
pb_pause_watch(struct pb_watch *watch)
{
	if (watch->paused)
		return;
	evtimer_del(watch->timer);
	pb_cancel_call(&watch->call);
	watch->after_len = 0;
	watch->must_list = false;
	watch->failing_us = 0; /* unknown while no requests are sent */
	watch->paused = true;
}

void
pb_resume_watch(struct pb_watch *watch)
{
	int64_t version;

	if (watch == NULL || !watch->paused)
		return;
	version = watch->ops->known_version != NULL
	    ? watch->ops->known_version(watch->gw)
	    : 0;
	if (version > 0) {
		watch->version = version;
		watch->must_list = false;
		watch->no_hold = true;
		watch->listed_us = pb_now(watch->gw->ctx);
	} else {
		/* Much may have changed since the last request. */
		restart_listing(watch);
	}
	start_request(watch);
}

void
pb_request_changes(struct pb_watch *watch)
{
	if (watch->call.link == NULL)
		send_request(watch);
}

struct pb_watch *
pb_new_watch(struct pb_gateway *gw, const struct pb_watch_ops *ops, bool paused)
{
	struct pb_watch *w = calloc(1, sizeof(*w));

	if (w == NULL)
		return NULL;
	w->call.ops = &call_ops;
	w->gw = gw;
	w->ops = ops;
	w->must_list = true;
	w->timer = evtimer_new(gw->base, on_timer, w);
	if (w->timer == NULL) {
		free(w);
		return NULL;
	}
	w->paused = paused;
	if (!paused)
		start_request(w);
	return w;
}

void
pb_drop_watch(struct pb_watch *watch)
{
	if (watch == NULL)
		return;
	pb_cancel_call(&watch->call);
	event_free(watch->timer);
	pb_clear_buf(&watch->response);
	free(watch);
}
