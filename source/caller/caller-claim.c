#include "caller-internal.h"

#include <string.h>

static int
finish_complete(struct entry *e, struct caller_sink *sink)
{
	struct pb_node *node = e->server->node;
	int rc = caller_sink_finish(sink);

	pb_add_counter(node->metrics,
	    sink->response.broken ? PB_COUNT_CALLER_GONE : PB_COUNT_COMPLETE,
	    1);
	pb_add_event(e->ctx, node->events, "answered", e->req.id, e->req.chat,
	    NULL, "status %d", sink->status);
	return rc;
}

/*
 * Ends a response that failed after it began: sends an error event if it is a
 * stream, and closes the connection without the final chunk.
 */
static int
finish_failed(struct entry *e, struct caller_sink *sink)
{
	static const char event[] =
	    "event: error\ndata: {\"error\":{\"type\":\"failed_after_start\","
	    "\"code\":\"upstream_broke\",\"message\":\"the answer is not "
	    "whole\"}}\n\n";
	struct pb_node *node = e->server->node;

	if (sink->mode == RESPONSE_STREAM)
		pb_write_response_body(
		    &sink->response, event, sizeof(event) - 1);
	pb_add_counter(node->metrics, PB_COUNT_FAILED_AFTER_START, 1);
	pb_add_event(e->ctx, node->events, "failed", e->req.id, e->req.chat,
	    NULL, "after event %llu", (unsigned long long)sink->sse.last_id);
	return pb_finish_response(&sink->response, false);
}

static int
send_not_run(struct entry *e, const struct pb_run_result *run)
{
	struct pb_node *node = e->server->node;
	int status = run->reason == PB_REFUSED_LIMIT ? 429
	    : run->reason == PB_REFUSED_CONTAINED    ? 422
						     : 503;

	pb_add_counter(node->metrics, PB_COUNT_NOT_RUN, 1);
	pb_add_event(e->ctx, node->events, "not-run", e->req.id, e->req.chat,
	    NULL, "%s", run->code);
	return entry_send_error(e, ERROR_NOT_RUN, status, run->code,
	    "the request did not run", status == 422 ? 0 : run->retry_after_us);
}

static int
send_outcome_unknown(struct entry *e, const char *code)
{
	struct pb_node *node = e->server->node;

	pb_add_counter(node->metrics, PB_COUNT_OUTCOME_UNKNOWN, 1);
	pb_add_event(e->ctx, node->events, "unknown", e->req.id, e->req.chat,
	    NULL, "%s", code);
	return entry_send_error(e, ERROR_OUTCOME_UNKNOWN, 502, code,
	    "it is not known whether the request ran", 0);
}

static int
send_outcome(
    struct entry *e, struct caller_sink *sink, const struct entry_outcome *out)
{
	switch (out->kind) {
	case ENTRY_COMPLETE:
		return finish_complete(e, sink);
	case ENTRY_NOT_RUN:
		return send_not_run(e, &out->run);
	case ENTRY_UNKNOWN:
		return send_outcome_unknown(e, out->run.code);
	case ENTRY_CALLER_GONE:
		pb_add_counter(
		    e->server->node->metrics, PB_COUNT_CALLER_GONE, 1);
		return pb_finish_response(&sink->response, false);
	default:
		return finish_failed(e, sink);
	}
}

/* Stores the outcome of the call in the row of the claim. */
static void
record_outcome(struct entry *e, const struct pb_claim_policy *policy,
    struct pb_claim *claim, const struct caller_sink *sink,
    const struct entry_outcome *out)
{
	struct pb_table *table = e->server->node->table;
	struct pb_str type =
	    pb_find_header(sink->headers, sink->header_count, "Content-Type");
	struct pb_str body = {sink->body.data, sink->body.len};
	char copy[64] = "";
	int rc;

	if (type.data != NULL)
		pb_copy_str(copy, sizeof(copy), type.data);
	if (out->kind == ENTRY_COMPLETE)
		rc = pb_complete_claim(
		    e->ctx, table, policy, claim, sink->status, copy, body);
	else if (out->kind == ENTRY_NOT_RUN)
		rc = pb_release_claim(e->ctx, table, policy, claim);
	else
		rc = pb_mark_claim_unknown(e->ctx, table, policy, claim);
	if (rc != PB_OK)
		pb_log_error(e->ctx, PB_WARN, e->req.id);
}

static int
send_stored_response(struct entry *e, const struct pb_claim *claim)
{
	char extra[128];

	snprintf(extra, sizeof(extra),
	    "X-Request-Id: %s\r\nX-Poplarbeam-Replayed: %s\r\n", e->req.id,
	    claim->answer_omitted ? "status-only" : "true");
	return pb_send_text(e->in, claim->status, claim->content_type, extra,
	    (struct pb_str){claim->answer.data, claim->answer.len});
}

/* Sends the response to a call whose claim was not acquired. */
static int
send_repeated_call_response(
    struct entry *e, enum pb_claim_state state, const struct pb_claim *claim)
{
	struct pb_node *node = e->server->node;

	pb_add_counter(node->metrics, PB_COUNT_CLAIM_REPEATS, 1);
	pb_add_event(e->ctx, node->events, "repeat", e->req.id, e->req.chat,
	    NULL, "claim state %d", (int)state);
	switch (state) {
	case PB_CLAIM_DONE:
		return send_stored_response(e, claim);
	case PB_CLAIM_RUNNING:
		return entry_send_error(e, ERROR_IN_PROGRESS, 409,
		    "in_progress",
		    "an earlier call with this key is in progress", PB_SEC);
	case PB_CLAIM_MISMATCH:
		return entry_send_error(e, ERROR_INVALID, 422, "key_reused",
		    "this key was used for a different request", 0);
	case PB_CLAIM_UNKNOWN:
		return send_outcome_unknown(e, "claim_unknown");
	default:
		pb_add_counter(node->metrics, PB_COUNT_NOT_RUN, 1);
		return entry_send_error(e, ERROR_NOT_RUN, 503,
		    "claim_unavailable",
		    "this attempt did not run; an earlier one with the "
		    "same key may have",
		    PB_SEC);
	}
}

static int
run_claimed(struct entry *e, struct caller_sink *sink)
{
	struct pb_node *node = e->server->node;
	struct pb_claim_policy policy = pb_node_claim_policy(node, e->settings);
	struct entry_outcome out = {0};
	enum pb_claim_state state;
	struct pb_claim claim;
	int rc;

	memset(&claim, 0, sizeof(claim));
	state = pb_acquire_claim(e->ctx, node->table, &policy, e->account->name,
	    e->key, e->req.fingerprint, e->req.id,
	    pb_now(e->ctx) + e->req.wait_us, &claim);
	if (state != PB_CLAIM_ACQUIRED) {
		/*
		 * The write of the claim may still take effect, so record that
		 * the request did not run.
		 */
		if (state == PB_CLAIM_UNAVAILABLE)
			pb_release_claim(e->ctx, node->table, &policy, &claim);
		rc = send_repeated_call_response(e, state, &claim);
		pb_clear_claim(&claim);
		return rc;
	}
	pb_add_counter(node->metrics, PB_COUNT_CLAIMS, 1);
	if (e->req.wait_us > policy.send_window_us / 2)
		e->req.wait_us = policy.send_window_us / 2;
	entry_run_attempts(e, sink, &claim, &policy, &out);
	record_outcome(e, &policy, &claim, sink, &out);
	rc = send_outcome(e, sink, &out);
	pb_clear_claim(&claim);
	return rc;
}

int
entry_run(struct entry *e)
{
	struct entry_outcome out = {0};
	struct caller_sink sink;
	int rc;

	caller_sink_init(&sink, e);
	if (e->key != NULL) {
		rc = run_claimed(e, &sink);
	} else {
		entry_run_attempts(e, &sink, NULL, NULL, &out);
		rc = send_outcome(e, &sink, &out);
	}
	caller_sink_clear(&sink);
	return rc;
}
