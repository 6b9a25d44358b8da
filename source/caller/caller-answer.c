#include "caller-internal.h"

#include "poplarbeam/relay.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define BUFFERED_BODY_MAX 65536 /* bytes held until the body is complete */

static bool
is_event_stream(const struct pb_header *headers, size_t count)
{
	struct pb_str type = pb_find_header(headers, count, "Content-Type");

	return type.len >= 17 &&
	    strncasecmp(type.data, "text/event-stream", 17) == 0;
}

/*
 * True for headers of the upstream that the caller must not receive: headers
 * that only routers set, because only they report the outcome of a request, and
 * the Content-Length of an event stream, because a resumed stream may be longer
 * than the first response announced.
 */
static bool
is_removed_header(struct pb_str name, bool events)
{
	return pb_is_router_header(name) ||
	    (events && name.len == 14 &&
		strncasecmp(name.data, "Content-Length", 14) == 0);
}

static void
store_head(struct caller_sink *s, int status, const struct pb_header *headers,
    size_t count, bool events)
{
	struct pb_arena *arena = s->entry->arena;
	size_t i, n = 0;

	s->status = status;
	for (i = 0; i < count; i++) {
		struct pb_str name = headers[i].name;

		if (s->response.head_only &&
		    pb_str_equal_c(name, PB_RELAY_LENGTH))
			name = pb_str_from("Content-Length");
		if (is_removed_header(name, events))
			continue;
		s->headers[n].name = pb_arena_str(arena, name.data, name.len);
		s->headers[n].value = pb_arena_str(
		    arena, headers[i].value.data, headers[i].value.len);
		if (s->headers[n].name.data != NULL &&
		    s->headers[n].value.data != NULL)
			n++;
	}
	s->header_count = n;
}

static int
sink_head(struct pb_sink *sink, int status, const struct pb_header *headers,
    size_t count)
{
	struct caller_sink *s = (struct caller_sink *)sink;
	bool events = status == 200 && is_event_stream(headers, count);

	if (s->mode == RESPONSE_STREAM)
		return events ? 0 : -1; /* response to a resume */
	store_head(s, status, headers, count, events);
	s->mode = events ? RESPONSE_STREAM : RESPONSE_BUFFERED;
	return 0;
}

static int
begin_response(struct caller_sink *s)
{
	if (s->response.begun)
		return 0;
	return pb_write_response_head(
	    &s->response, s->status, s->headers, s->header_count, s->extra);
}

static int
forward_events(void *arg, const char *data, size_t len)
{
	struct caller_sink *s = arg;

	return begin_response(s) == 0
	    ? pb_write_response_body(&s->response, data, len)
	    : -1;
}

static int
send_buffered_body(struct caller_sink *s)
{
	if (begin_response(s) != 0)
		return -1;
	return pb_write_response_body(&s->response, s->body.data, s->body.len);
}

static int
sink_body(struct pb_sink *sink, const void *data, size_t len)
{
	struct caller_sink *s = (struct caller_sink *)sink;

	if (s->mode == RESPONSE_STREAM)
		return pb_feed_sse(&s->sse, data, len, forward_events, s);
	if (s->mode == RESPONSE_PASS_THROUGH)
		return pb_write_response_body(&s->response, data, len);
	if (pb_append_buf(&s->body, data, len) != PB_OK)
		return -1;
	if (s->body.len <= BUFFERED_BODY_MAX)
		return 0;
	s->mode = RESPONSE_PASS_THROUGH;
	return send_buffered_body(s);
}

void
caller_sink_init(struct caller_sink *s, struct entry *entry)
{
	static const struct pb_sink_ops ops = {sink_head, sink_body};

	memset(s, 0, sizeof(*s));
	s->base.ops = &ops;
	s->entry = entry;
	s->response.in = entry->in;
	s->response.head_only = strcmp(entry->req.method, "HEAD") == 0;
	snprintf(s->extra, sizeof(s->extra), "X-Request-Id: %s\r\n%s",
	    entry->req.id, entry_connection_header(entry));
}

void
caller_sink_reset(struct caller_sink *s)
{
	pb_reset_sse(&s->sse);
	if (s->response.begun)
		return;
	s->mode = RESPONSE_NONE;
	s->body.len = 0;
	s->sse.last_id = 0;
	s->sse.done = false;
}

bool
caller_sink_is_complete(const struct caller_sink *s, bool framed_complete)
{
	switch (s->mode) {
	case RESPONSE_STREAM:
		return s->sse.done;
	case RESPONSE_BUFFERED:
	case RESPONSE_PASS_THROUGH:
		return framed_complete;
	default:
		return false;
	}
}

int
caller_sink_finish(struct caller_sink *s)
{
	if (s->mode == RESPONSE_BUFFERED)
		send_buffered_body(s);
	return pb_finish_response(&s->response, true);
}

void
caller_sink_clear(struct caller_sink *s)
{
	pb_clear_sse(&s->sse);
	pb_clear_buf(&s->body);
}

const char *
entry_connection_header(const struct entry *e)
{
	return atomic_load(&e->server->node->leaving) ? "Connection: close\r\n"
						      : "";
}

int
entry_send_error(struct entry *e, enum error_type type, int status,
    const char *code, const char *message, int64_t retry_after_us)
{
	static const char *const types[] = {
	    "invalid_request", "not_run", "in_progress", "outcome_unknown"};
	static const char *const outcomes[] = {
	    "not-run", "not-run", "unknown", "unknown"};
	char extra[192], retry[48] = "";
	char *text;
	int rc;

	if (retry_after_us > 0)
		snprintf(retry, sizeof(retry), "Retry-After: %lld\r\n",
		    (long long)((retry_after_us + PB_SEC - 1) / PB_SEC));
	snprintf(extra, sizeof(extra),
	    "X-Request-Id: %s\r\nX-Poplarbeam-Outcome: %s\r\n%s%s", e->req.id,
	    outcomes[type], retry, entry_connection_header(e));
	json_t *v =
	    json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "type", types[type],
		"code", code, "message", message, "request_id", e->req.id);

	text = json_dumps(v, JSON_COMPACT);
	json_decref(v);
	rc = pb_send_text(e->in, status, "application/json", extra,
	    pb_str_from(text != NULL ? text : "{}"));
	free(text);
	return rc;
}
