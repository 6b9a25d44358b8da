#include "owner-internal.h"

#include "poplarbeam/server.h"

#include <inttypes.h>
#include <string.h>
#include <strings.h>

#define UPSTREAM_TRIES_MAX 3 /* attempts per request */
#define NOT_RUN_HEADER "X-Not-Run" /* in a 503 for a request not run */
#define CANCEL_TIMEOUT (500 * PB_MSEC) /* for cancelling a stream */
#define RESUME_BODY_MAX 48

/*
 * Forwards the response of an upstream to another sink, unless the upstream
 * reports that it did not run the request.
 */
struct run_sink {
	struct pb_sink base;
	struct pb_sink *inner;
	bool resuming;
	bool head_sent;
	bool not_run; /* the upstream did not run the request */
	bool leaving; /* the upstream is shutting down */
	bool stream_lost; /* the upstream cannot resume the stream */
};

static int
run_head(struct pb_sink *sink, int status, const struct pb_header *headers,
    size_t count)
{
	struct run_sink *s = (struct run_sink *)sink;
	struct pb_str reason = pb_find_header(headers, count, NOT_RUN_HEADER);

	if (status == 503 && reason.data != NULL) {
		s->not_run = true;
		s->leaving = pb_str_equal_c(reason, "leaving");
		return -1;
	}
	if (s->resuming && status != 200) {
		s->stream_lost = true;
		return -1;
	}
	s->head_sent = true;
	return s->inner->ops->head(s->inner, status, headers, count);
}

static int
run_body(struct pb_sink *sink, const void *data, size_t len)
{
	struct run_sink *s = (struct run_sink *)sink;

	return s->inner->ops->body(s->inner, data, len);
}

static void
init_run_sink(struct run_sink *s, struct pb_sink *inner, bool resuming)
{
	static const struct pb_sink_ops ops = {run_head, run_body};

	memset(s, 0, sizeof(*s));
	s->base.ops = &ops;
	s->inner = inner;
	s->resuming = resuming;
}

/* State of one request during pb_run_request. */
struct run {
	struct pb_owner *owner;
	const struct pb_request *req;
	const struct pb_settings *settings;
	const struct pb_service *service;
	struct cell_entry *entry;
	struct waiter waiter;
	struct pb_run_result *result;
};

static void
refuse(struct run *run, enum pb_refusal reason, int64_t retry_after_us)
{
	run->result->kind = PB_RUN_NOT_RUN;
	run->result->reason = reason;
	run->result->retry_after_us = retry_after_us;
	pb_copy_str(run->result->code, sizeof(run->result->code),
	    pb_refusal_name(reason));
}

static void
link_waiter(struct cell_entry *e, struct waiter *waiter)
{
	struct waiter **head = &e->waiters[waiter->id % WAITER_BUCKETS];

	waiter->next = *head;
	*head = waiter;
}

static void
unlink_waiter(struct cell_entry *e, struct waiter *waiter)
{
	struct waiter **at = &e->waiters[waiter->id % WAITER_BUCKETS];

	while (*at != NULL && *at != waiter)
		at = &(*at)->next;
	if (*at == waiter)
		*at = waiter->next;
}

static struct pb_work
build_work(const struct run *run, uint64_t id, uint64_t avoid)
{
	const struct pb_request *req = run->req;
	const struct pb_account *a =
	    pb_find_account(run->settings, req->account);
	struct pb_work w = {.id = id,
	    .chat = req->chat,
	    .account = pb_hash_cstr(req->account, 0),
	    .weight = a != NULL ? a->weight : 1,
	    .rank = req->rank,
	    .work = req->work,
	    .bytes = (uint32_t)req->body.len + 1024,
	    .wait_us = req->wait_us,
	    .fingerprint = req->fingerprint,
	    .avoid_upstream = avoid};

	if (a != NULL)
		w.limits = a->limits;
	if (req->resume_on[0] != '\0')
		w.resume_on = pb_hash_cstr(req->resume_on, 0);
	return w;
}

/* Submits the request and waits for the cell's decision. */
static void
wait_for_decision(struct pb_context *ctx, struct run *run, uint64_t avoid)
{
	struct cell_entry *e = run->entry;
	struct waiter *waiter = &run->waiter;
	struct pb_work work;
	int rc;

	waiter->id = atomic_fetch_add(&run->owner->node->next_id, 1);
	waiter->decided = false;
	work = build_work(run, waiter->id, avoid);
	pthread_mutex_lock(&e->lock);
	link_waiter(e, waiter);
	rc = pb_submit_work(&e->ctx, e->cell, &work);
	while (rc == PB_OK && !waiter->decided)
		pthread_cond_wait(&waiter->wake, &e->lock);
	unlink_waiter(e, waiter);
	pthread_mutex_unlock(&e->lock);
	if (!waiter->decided) {
		waiter->action.kind = PB_ACTION_REFUSE;
		waiter->action.reason = PB_REFUSED_QUEUE_FULL;
		waiter->action.retry_after_us = PB_SEC;
	}
	(void)ctx;
}

static void
finish(struct run *run, enum pb_outcome outcome)
{
	struct cell_entry *e = run->entry;

	pthread_mutex_lock(&e->lock);
	pb_finish_work(
	    &e->ctx, e->cell, run->waiter.id, outcome, run->req->work);
	pthread_mutex_unlock(&e->lock);
}

static bool
is_forwarded(struct pb_str name)
{
	static const char *const dropped[] = {"Host", "Content-Length",
	    "Authorization", "X-Request-Id", "X-Priority"};
	size_t i;

	if (pb_is_hop_by_hop_header(name))
		return false;
	if (name.len >= 5 && strncasecmp(name.data, "X-Pb-", 5) == 0)
		return false;
	for (i = 0; i < sizeof(dropped) / sizeof(dropped[0]); i++) {
		if (name.len == strlen(dropped[i]) &&
		    strncasecmp(name.data, dropped[i], name.len) == 0)
			return false;
	}
	return true;
}

static size_t
build_headers(const struct pb_request *req, const char *priority,
    struct pb_header *out, size_t cap)
{
	size_t i, n = 0;

	out[n++] = (struct pb_header){
	    pb_str_from("X-Request-Id"), pb_str_from(req->id)};
	out[n++] = (struct pb_header){
	    pb_str_from("X-Priority"), pb_str_from(priority)};
	for (i = 0; i < req->header_count && n < cap; i++) {
		if (is_forwarded(req->headers[i].name))
			out[n++] = req->headers[i];
	}
	return n;
}

/* Cancels a stream of a model service that has no reader any more. */
static void
cancel_stream(
    struct pb_context *ctx, struct run *run, const struct pb_member *up)
{
	struct pb_buffer_sink sink;
	struct pb_call_result res;
	char target[96];
	struct pb_call call = {.peer = up->info.id,
	    .address = up->info.address,
	    .method = "DELETE",
	    .target = target,
	    .connect_us = CANCEL_TIMEOUT,
	    .total_us = CANCEL_TIMEOUT};

	if (run->service->kind != PB_SERVICE_MODEL)
		return;
	snprintf(target, sizeof(target), "/v1/streams/%s", run->req->id);
	pb_init_buffer_sink(&sink, 4096);
	pb_call_http(ctx, run->owner->node->client, &call, &sink.base, &res);
	pb_clear_buf(&sink.body);
}

static int
call_upstream(struct pb_context *ctx, struct run *run,
    const struct pb_member *up, struct run_sink *sink,
    struct pb_call_result *res)
{
	const struct pb_request *req = run->req;
	struct pb_header headers[PB_CALL_HEADERS_MAX];
	char priority[8], target[96], body[RESUME_BODY_MAX];
	struct pb_call call = {.peer = up->info.id,
	    .address = up->info.address,
	    .method = req->method,
	    .target = req->target,
	    .headers = headers,
	    .body = req->body,
	    .fresh = !req->idempotent,
	    .connect_us = run->service->connect_us,
	    .idle_us = run->service->idle_us,
	    .total_us = req->deadline_us - pb_now(ctx)};

	if (call.total_us < PB_MSEC)
		call.total_us = PB_MSEC;
	snprintf(priority, sizeof(priority), "%d", req->rank);
	call.header_count =
	    build_headers(req, priority, headers, PB_CALL_HEADERS_MAX);
	if (sink->resuming) {
		snprintf(
		    target, sizeof(target), "/v1/streams/%s/resume", req->id);
		snprintf(body, sizeof(body), "{\"after\":%" PRIu64 "}",
		    req->resume_after);
		call.method = "POST";
		call.target = target;
		call.body = pb_str_from(body);
	}
	return pb_call_http(
	    ctx, run->owner->node->client, &call, &sink->base, res);
}

static enum pb_outcome
outcome_of(
    const struct run_sink *sink, const struct pb_call_result *res, int rc)
{
	if (sink->not_run || !res->sent)
		return PB_OUTCOME_NOT_RUN;
	if (rc == PB_OK)
		return res->status >= 500 ? PB_OUTCOME_FAILED : PB_OUTCOME_DONE;
	if (res->sink_stopped && !sink->stream_lost)
		return PB_OUTCOME_CANCELLED;
	return rc == PB_EUNKNOWN ? PB_OUTCOME_CRASHED : PB_OUTCOME_FAILED;
}

static void
report_evidence(struct pb_context *ctx, struct run *run,
    const struct pb_member *up, const struct run_sink *sink,
    const struct pb_call_result *res, int rc)
{
	enum pb_evidence ev = PB_EVIDENCE_ANSWER;

	if (sink->leaving)
		ev = PB_EVIDENCE_LEAVING;
	else if (rc == PB_EUNAVAIL || rc == PB_EUNKNOWN)
		ev = PB_EVIDENCE_REFUSAL;
	else if (rc == PB_ETIMEDOUT)
		ev = PB_EVIDENCE_TIMEOUT;
	else if (res->status == 0)
		return;
	pb_report_evidence(
	    ctx, run->owner->node, up->id_hash, up->info.incarnation, ev);
}

/* Calls the upstream. Returns true when another upstream may be tried. */
static bool
run_on_upstream(struct pb_context *ctx, struct run *run,
    const struct pb_member *up, struct pb_sink *inner)
{
	struct pb_node *node = run->owner->node;
	struct pb_run_result *result = run->result;
	struct pb_call_result res;
	enum pb_outcome outcome;
	struct run_sink sink;
	int rc;

	pb_observe_wait(
	    node->metrics, run->req->rank, run->waiter.action.waited_us);
	pb_add_event(ctx, node->events, "started", run->req->id, run->req->chat,
	    up->info.id, "%s/%d rank %d work %u waited %" PRId64 " ms, %s",
	    run->req->service, run->req->cell, run->req->rank, run->req->work,
	    run->waiter.action.waited_us / PB_MSEC,
	    pb_choice_name(run->waiter.action.choice));
	pb_copy_str(result->upstream, sizeof(result->upstream), up->info.id);
	init_run_sink(&sink, inner, run->req->resume_on[0] != '\0');
	rc = call_upstream(ctx, run, up, &sink, &res);
	outcome = outcome_of(&sink, &res, rc);
	finish(run, outcome);
	report_evidence(ctx, run, up, &sink, &res, rc);
	pb_add_event(ctx, node->events, "ended", run->req->id, run->req->chat,
	    up->info.id, "status %d %s, %" PRIu64 " bytes", res.status,
	    rc == PB_OK ? "whole" : pb_code_name(rc), res.received);
	if (rc != PB_OK)
		pb_log_error(ctx, PB_WARN, run->req->id);
	result->complete = rc == PB_OK;
	result->sink_stopped = outcome == PB_OUTCOME_CANCELLED;
	if (result->sink_stopped)
		cancel_stream(ctx, run, up);
	if (outcome == PB_OUTCOME_NOT_RUN) {
		refuse(run, PB_REFUSED_NO_UPSTREAM, PB_SEC);
		return !sink.resuming;
	}
	result->kind = sink.head_sent ? PB_RUN_STARTED : PB_RUN_UNKNOWN;
	pb_copy_str(result->code, sizeof(result->code),
	    sink.stream_lost ? "stream_lost" : pb_code_name(rc));
	return false;
}

/*
 * Queues the request once and makes one call. Returns true when the request may
 * be tried again.
 */
static bool
try_once(struct pb_context *ctx, struct run *run, struct pb_sink *sink,
    uint64_t *avoid)
{
	struct pb_node *node = run->owner->node;
	const struct pb_member *up;
	struct pb_view *view;
	bool again;

	wait_for_decision(ctx, run, *avoid);
	if (run->waiter.action.kind == PB_ACTION_REFUSE) {
		refuse(run, run->waiter.action.reason,
		    run->waiter.action.retry_after_us);
		pb_add_event(ctx, node->events, "refused", run->req->id,
		    run->req->chat, NULL, "%s/%d rank %d %s", run->req->service,
		    run->req->cell, run->req->rank, run->result->code);
		return false;
	}
	view = pb_node_view(node);
	up = pb_find_member(view, run->waiter.action.upstream);
	*avoid = run->waiter.action.upstream;
	if (up == NULL) {
		finish(run, PB_OUTCOME_NOT_RUN);
		refuse(run, PB_REFUSED_NO_UPSTREAM, PB_SEC);
		again = true;
	} else {
		again = run_on_upstream(ctx, run, up, sink);
	}
	pb_drop_view(ctx, view);
	return again;
}

static bool
check_owned(struct pb_context *ctx, struct run *run)
{
	struct pb_view *view = pb_node_view(run->owner->node);
	const char *region = run->owner->node->boot.region;
	const struct pb_member *o, *next;
	bool owned;

	if (view == NULL)
		return false;
	pthread_mutex_lock(&run->entry->lock);
	pb_sync_entry(run->owner, run->entry, run->settings, view);
	owned = run->entry->owned;
	pthread_mutex_unlock(&run->entry->lock);
	o = pb_cell_owner(view, run->entry->id, region, 0);
	if (o != NULL)
		pb_copy_str(
		    run->result->owner, sizeof(run->result->owner), o->info.id);
	/*
	 * When the sender could not reach the owner, the router that is next in
	 * the order of owners accepts the request at once, before all views
	 * agree on the new owner.
	 */
	next = pb_cell_owner(view, run->entry->id, region, 1);
	if (!owned && o != NULL && next != NULL &&
	    next->id_hash == run->owner->node->id_hash &&
	    strcmp(o->info.id, run->req->failed_owner) == 0)
		owned = true;
	pb_drop_view(ctx, view);
	return owned;
}

/*
 * Returns true when a relay thread is free for the rank of the request. The
 * least urgent rank may use half of the relay threads, the most urgent rank all
 * of them. Otherwise waiting requests of a flood would occupy every thread, and
 * urgent requests would wait in connections that no thread reads.
 */
static bool
has_free_thread(const struct run *run)
{
	const struct pb_node *node = run->owner->node;
	int64_t threads = node->boot.peer_threads;
	int64_t ranks = run->settings->rank_count;
	int64_t used = pb_read_gauge(node->metrics, PB_GAUGE_OWNED_IN_FLIGHT);

	if (run->req->rank <= 0 || ranks < 2)
		return true;
	return used < threads - threads / 2 * run->req->rank / (ranks - 1);
}

void
pb_run_request(struct pb_context *ctx, struct pb_owner *owner,
    const struct pb_request *req, struct pb_sink *sink,
    struct pb_run_result *result)
{
	struct pb_settings *settings = pb_node_settings(owner->node);
	struct run run = {
	    .owner = owner, .req = req, .settings = settings, .result = result};
	uint64_t avoid = 0;
	int tries;

	memset(result, 0, sizeof(*result));
	refuse(&run, PB_REFUSED_NO_UPSTREAM, PB_SEC);
	if (settings == NULL)
		return;
	run.service = pb_find_service(settings, req->service);
	if (run.service == NULL || req->cell >= run.service->cells)
		goto done;
	run.entry =
	    pb_find_or_add_entry(ctx, owner, settings, run.service, req->cell);
	if (run.entry == NULL)
		goto done;
	if (!check_owned(ctx, &run)) {
		refuse(&run, PB_REFUSED_NOT_OWNER, 100 * PB_MSEC);
		pb_add_counter(owner->node->metrics, PB_COUNT_NOT_OWNER, 1);
		goto done;
	}
	if (!has_free_thread(&run)) {
		refuse(&run, PB_REFUSED_QUEUE_FULL, PB_SEC);
		goto done;
	}
	pb_add_counter(owner->node->metrics, PB_COUNT_OWNED, 1);
	pb_add_gauge(owner->node->metrics, PB_GAUGE_OWNED_IN_FLIGHT, 1);
	pthread_cond_init(&run.waiter.wake, NULL);
	for (tries = 0; tries < UPSTREAM_TRIES_MAX; tries++) {
		if (tries > 0 && !pb_take_retry(owner->node->retries))
			break;
		if (!try_once(ctx, &run, sink, &avoid))
			break;
		pb_add_counter(owner->node->metrics, PB_COUNT_RETRIES, 1);
	}
	pthread_cond_destroy(&run.waiter.wake);
	pb_add_gauge(owner->node->metrics, PB_GAUGE_OWNED_IN_FLIGHT, -1);
done:
	pb_drop_settings(ctx, settings);
}
