#include "poplarbeam/relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define CONTROL_HEADERS_MAX 16
#define RETRY_MAX_MS 3600000
/* Routers of a region are close to each other, so connecting takes little time.
 */
#define CONNECT_TIMEOUT_US (500 * PB_MSEC)

/*
 * Reads the outcome of the request from the head of the owner's response and
 * passes the response of a started request to caller_sink.
 */
struct relay_sink {
	struct pb_sink base;
	struct pb_sink *caller_sink;
	struct pb_run_result *result;
	bool started;
	bool outcome_received; /* the response has X-Pb-Result */
};

static enum pb_refusal
parse_refusal(struct pb_str code)
{
	int r;

	for (r = PB_REFUSED_NONE; r <= PB_REFUSED_STALE; r++) {
		if (pb_str_equal_c(code, pb_refusal_name(r)))
			return r;
	}
	return PB_REFUSED_NO_UPSTREAM;
}

static void
copy_value(char *dst, size_t cap, struct pb_str s)
{
	pb_copy_str(dst, s.len + 1 < cap ? s.len + 1 : cap,
	    s.data != NULL ? s.data : "");
}

/*
 * Returns the retry delay in microseconds; 1 s if the value is missing,
 * negative or longer than RETRY_MAX_MS.
 */
static int64_t
parse_retry(struct pb_str text)
{
	long long ms = text.data != NULL ? strtoll(text.data, NULL, 10) : -1;

	return ms >= 0 && ms <= RETRY_MAX_MS ? ms * PB_MSEC : PB_SEC;
}

static int
relay_head(struct pb_sink *sink, int status, const struct pb_header *headers,
    size_t count)
{
	struct relay_sink *s = (struct relay_sink *)sink;
	struct pb_run_result *r = s->result;
	struct pb_str outcome = pb_find_header(headers, count, "X-Pb-Result");
	struct pb_str code = pb_find_header(headers, count, "X-Pb-Code");
	struct pb_str retry = pb_find_header(headers, count, "X-Pb-Retry-Ms");

	copy_value(r->upstream, sizeof(r->upstream),
	    pb_find_header(headers, count, "X-Pb-Upstream"));
	copy_value(r->owner, sizeof(r->owner),
	    pb_find_header(headers, count, "X-Pb-Owner"));
	copy_value(r->code, sizeof(r->code), code);
	s->outcome_received = outcome.data != NULL;
	if (pb_str_equal_c(outcome, "started")) {
		s->started = true;
		r->kind = PB_RUN_STARTED;
		return s->caller_sink->ops->head(
		    s->caller_sink, status, headers, count);
	}
	if (pb_str_equal_c(outcome, "not-run")) {
		r->kind = PB_RUN_NOT_RUN;
		r->reason = parse_refusal(code);
		r->retry_after_us = parse_retry(retry);
	} else {
		r->kind = PB_RUN_UNKNOWN;
	}
	return 0;
}

static int
relay_body(struct pb_sink *sink, const void *data, size_t len)
{
	struct relay_sink *s = (struct relay_sink *)sink;

	return s->started ? s->caller_sink->ops->body(s->caller_sink, data, len)
			  : 0;
}

static void
add_header(struct pb_header *headers, size_t *n, struct pb_arena *arena,
    const char *name, const char *value)
{
	headers[*n].name = pb_str_from(name);
	headers[*n].value = pb_arena_str(arena, value, strlen(value));
	(*n)++;
}

static void
add_number(struct pb_header *headers, size_t *n, struct pb_arena *arena,
    const char *name, const char *fmt, uint64_t value)
{
	char text[24];

	if (strcmp(fmt, "x") == 0)
		snprintf(text, sizeof(text), "%016" PRIx64, value);
	else
		snprintf(text, sizeof(text), "%" PRIu64, value);
	add_header(headers, n, arena, name, text);
}

static size_t
build_relay_headers(struct pb_arena *arena, const struct pb_request *req,
    int64_t remaining_us, struct pb_header *h)
{
	size_t n = 0, i;

	add_header(h, &n, arena, "X-Pb-Request", req->id);
	add_header(h, &n, arena, "X-Pb-Service", req->service);
	add_header(h, &n, arena, "X-Pb-Account", req->account);
	add_header(h, &n, arena, "X-Pb-Method", req->method);
	add_header(h, &n, arena, "X-Pb-Target", req->target);
	add_number(h, &n, arena, "X-Pb-Cell", "u", (uint64_t)req->cell);
	add_number(h, &n, arena, "X-Pb-Rank", "u", (uint64_t)req->rank);
	add_number(h, &n, arena, "X-Pb-Chat", "x", req->chat);
	add_number(h, &n, arena, "X-Pb-Fingerprint", "x", req->fingerprint);
	add_number(h, &n, arena, "X-Pb-Work", "u", req->work);
	add_number(h, &n, arena, "X-Pb-Idempotent", "u", req->idempotent);
	add_number(h, &n, arena, "X-Pb-Wait-Ms", "u",
	    (uint64_t)(req->wait_us / PB_MSEC));
	add_number(h, &n, arena, "X-Pb-Deadline-Ms", "u",
	    (uint64_t)(remaining_us / PB_MSEC));
	if (req->resume_on[0] != '\0') {
		add_header(h, &n, arena, "X-Pb-Resume-Engine", req->resume_on);
		add_number(
		    h, &n, arena, "X-Pb-Resume-After", "u", req->resume_after);
	}
	if (req->failed_owner[0] != '\0')
		add_header(
		    h, &n, arena, "X-Pb-Failed-Owner", req->failed_owner);
	for (i = 0; i < req->header_count && n < PB_CALL_HEADERS_MAX; i++)
		h[n++] = req->headers[i];
	return n;
}

static void
set_failure_result(struct pb_context *ctx, struct pb_run_result *r, bool sent)
{
	r->kind = sent ? PB_RUN_UNKNOWN : PB_RUN_NOT_RUN;
	r->reason = sent ? PB_REFUSED_NONE : PB_REFUSED_NOT_OWNER;
	r->retry_after_us = 100 * PB_MSEC;
	pb_copy_str(r->code, sizeof(r->code),
	    sent ? pb_code_name(ctx->error.code) : "owner_unreachable");
}

void
pb_relay_request(struct pb_context *ctx, struct pb_node *node,
    const struct pb_member *owner, const struct pb_request *req,
    struct pb_sink *caller_sink, struct pb_run_result *result)
{
	static const struct pb_sink_ops ops = {relay_head, relay_body};
	struct relay_sink sink = {
	    .base.ops = &ops, .caller_sink = caller_sink, .result = result};
	struct pb_header headers[PB_CALL_HEADERS_MAX + CONTROL_HEADERS_MAX];
	struct pb_arena *arena = pb_new_arena(ctx);
	int64_t remaining_us = req->deadline_us - pb_now(ctx);
	struct pb_call_result res;
	struct pb_call call = {.peer = owner->info.id,
	    .address = owner->info.peer,
	    .method = "POST",
	    .target = "/relay",
	    .headers = headers,
	    .body = req->body,
	    .fresh = !req->idempotent,
	    .connect_us = CONNECT_TIMEOUT_US,
	    .total_us = remaining_us > PB_MSEC ? remaining_us : PB_MSEC};
	int rc;

	memset(result, 0, sizeof(*result));
	if (arena == NULL) {
		set_failure_result(ctx, result, false);
		return;
	}
	call.header_count = build_relay_headers(
	    arena, req, remaining_us > 0 ? remaining_us : 0, headers);
	call.idle_us = req->idle_us + req->wait_us;
	pb_add_counter(node->metrics, PB_COUNT_RELAYED, 1);
	rc = pb_call_http(ctx, node->client, &call, &sink.base, &res);
	result->complete = rc == PB_OK;
	result->sink_stopped = res.sink_stopped;
	if (rc != PB_OK) {
		pb_log_error(ctx, PB_WARN, req->id);
		/*
		 * The owner also aborts a response if its upstream did, so an
		 * aborted response only makes the owner a suspect. A refused
		 * connection shows that the owner is not running.
		 */
		if (!res.sink_stopped)
			pb_report_evidence(ctx, node, owner->id_hash,
			    owner->info.incarnation,
			    rc == PB_EUNAVAIL ? PB_EVIDENCE_REFUSAL
					      : PB_EVIDENCE_TIMEOUT);
		if (!sink.outcome_received)
			set_failure_result(ctx, result, res.sent);
	}
	pb_drop_arena(ctx, arena);
}
