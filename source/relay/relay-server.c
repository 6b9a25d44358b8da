#include "poplarbeam/relay.h"
#include "poplarbeam/server.h"

#include <stdlib.h>
#include <string.h>

#define RELAY_BODY_MAX (16 << 20) /* the entry router checked its own limit */

struct pb_relay_server {
	struct mg_context *mg;
	struct pb_owner *owner;
	struct pb_node *node;
};

/* Writes an upstream's answer to the entry router. */
struct forward_sink {
	struct pb_sink base;
	struct pb_answer answer;
	const struct pb_run_result *result;
};

static int
forward_head(struct pb_sink *sink, int status, const struct pb_header *headers,
    size_t count)
{
	struct forward_sink *s = (struct forward_sink *)sink;
	char extra[128];

	snprintf(extra, sizeof(extra),
	    "X-Pb-Result: started\r\nX-Pb-Upstream: %s\r\n",
	    s->result->upstream);
	return pb_begin_answer(&s->answer, status, headers, count, extra);
}

static int
forward_body(struct pb_sink *sink, const void *data, size_t len)
{
	struct forward_sink *s = (struct forward_sink *)sink;

	return pb_write_answer(&s->answer, data, len);
}

static uint64_t
number_header(const struct mg_connection *conn, const char *name, int base)
{
	struct pb_str s = pb_request_header(conn, name);

	return s.data != NULL ? strtoull(s.data, NULL, base) : 0;
}

static const char *
text_header(const struct mg_connection *conn, const char *name)
{
	const char *v = mg_get_header(conn, name);

	return v != NULL ? v : "";
}

static size_t
copy_headers(
    const struct mg_connection *conn, struct pb_header *out, size_t cap)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	size_t n = 0;
	int i;

	for (i = 0; i < ri->num_headers && n < cap; i++) {
		out[n].name = pb_str_from(ri->http_headers[i].name);
		out[n++].value = pb_str_from(ri->http_headers[i].value);
	}
	return n;
}

static void
parse_request(struct pb_context *ctx, const struct mg_connection *conn,
    struct pb_request *req)
{
	req->service = text_header(conn, "X-Pb-Service");
	req->account = text_header(conn, "X-Pb-Account");
	req->method = text_header(conn, "X-Pb-Method");
	req->target = text_header(conn, "X-Pb-Target");
	pb_copy_str(
	    req->id, sizeof(req->id), text_header(conn, "X-Pb-Request"));
	pb_copy_str(req->resume_on, sizeof(req->resume_on),
	    text_header(conn, "X-Pb-Resume-Engine"));
	pb_copy_str(req->failed_owner, sizeof(req->failed_owner),
	    text_header(conn, "X-Pb-Failed-Owner"));
	req->resume_after = number_header(conn, "X-Pb-Resume-After", 10);
	req->cell = (int)number_header(conn, "X-Pb-Cell", 10);
	req->rank = (int)number_header(conn, "X-Pb-Rank", 10);
	req->chat = number_header(conn, "X-Pb-Chat", 16);
	req->fingerprint = number_header(conn, "X-Pb-Fingerprint", 16);
	req->work = (uint32_t)number_header(conn, "X-Pb-Work", 10);
	req->idempotent = number_header(conn, "X-Pb-Idempotent", 10) != 0;
	req->wait_us =
	    (int64_t)number_header(conn, "X-Pb-Wait-Ms", 10) * PB_MSEC;
	req->deadline_us = pb_now(ctx) +
	    (int64_t)number_header(conn, "X-Pb-Deadline-Ms", 10) * PB_MSEC;
}

static bool
is_valid(const struct pb_request *req)
{
	return req->id[0] != '\0' && *req->service != '\0' &&
	    *req->method != '\0' && *req->target == '/' && req->cell >= 0 &&
	    req->rank >= 0 && req->rank < PB_RANKS_MAX;
}

static int
send_verdict(struct mg_connection *conn, const struct pb_run_result *r)
{
	bool not_run = r->kind == PB_RUN_NOT_RUN;
	char extra[256];

	snprintf(extra, sizeof(extra),
	    "X-Pb-Result: %s\r\nX-Pb-Code: %s\r\nX-Pb-Retry-Ms: %lld\r\n"
	    "X-Pb-Owner: %s\r\nX-Pb-Upstream: %s\r\n",
	    not_run ? "not-run" : "unknown", r->code,
	    (long long)(r->retry_after_us / PB_MSEC), r->owner, r->upstream);
	return pb_send_text(
	    conn, not_run ? 503 : 502, "text/plain", extra, PB_STR_NONE);
}

static int
serve_relay(struct mg_connection *conn, void *arg)
{
	static const struct pb_sink_ops ops = {forward_head, forward_body};
	struct pb_relay_server *server = arg;
	struct pb_context ctx = pb_node_context(server->node);
	struct pb_header headers[PB_CALL_HEADERS_MAX];
	struct pb_run_result result;
	struct forward_sink sink = {
	    .base.ops = &ops, .answer.conn = conn, .result = &result};
	struct pb_request req;
	struct pb_buf body = {0};
	int rc;

	if (strcmp(mg_get_request_info(conn)->local_uri, "/relay") != 0)
		return pb_send_text(
		    conn, 404, "text/plain", NULL, pb_str_from("not found\n"));
	memset(&req, 0, sizeof(req));
	parse_request(&ctx, conn, &req);
	req.headers = headers;
	req.header_count = copy_headers(conn, headers, PB_CALL_HEADERS_MAX);
	rc = pb_read_body(&ctx, conn, RELAY_BODY_MAX, &body);
	if (rc != PB_OK || !is_valid(&req)) {
		pb_clear_buf(&body);
		return pb_send_text(conn, 400, "text/plain", NULL,
		    pb_str_from("malformed relay\n"));
	}
	req.body = (struct pb_str){body.data, body.len};
	pb_run_request(&ctx, server->owner, &req, &sink.base, &result);
	pb_clear_buf(&body);
	if (sink.answer.begun)
		return pb_end_answer(&sink.answer, result.complete);
	return send_verdict(conn, &result);
}

struct pb_relay_server *
pb_new_relay_server(
    struct pb_context *ctx, struct pb_owner *owner, struct pb_node *node)
{
	struct pb_relay_server *server = calloc(1, sizeof(*server));

	if (server == NULL) {
		pb_set_error(
		    ctx, PB_ENOMEM, "listen", node->boot.peer, "out of memory");
		return NULL;
	}
	server->owner = owner;
	server->node = node;
	server->mg = pb_start_server(
	    ctx, node->boot.peer, node->boot.peer_threads, serve_relay, server);
	if (server->mg == NULL) {
		free(server);
		return NULL;
	}
	return server;
}

void
pb_drop_relay_server(struct pb_context *ctx, struct pb_relay_server *server)
{
	(void)ctx;
	if (server == NULL)
		return;
	mg_stop(server->mg);
	free(server);
}
