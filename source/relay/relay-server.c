#include "poplarbeam/server.h"
#include "relay-parse.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Bytes. The entry router has already checked the body against its own limit.
 */
#define RELAY_BODY_MAX (16 << 20)

struct pb_relay_server {
	struct pb_server *http;
	struct pb_owner *owner;
	struct pb_node *node;
};

/* Forwards an upstream's response to the entry router. */
struct forward_sink {
	struct pb_sink base;
	struct pb_response response;
	const struct pb_run_result *result;
	bool is_head; /* the relayed request has the method HEAD */
};

static bool
is_content_length(struct pb_str name)
{
	return name.len == 14 &&
	    strncasecmp(name.data, "Content-Length", 14) == 0;
}

static int
forward_head(struct pb_sink *sink, int status, const struct pb_header *headers,
    size_t count)
{
	struct forward_sink *s = (struct forward_sink *)sink;
	struct pb_header kept[PB_CALL_HEADERS_MAX];
	char extra[128];
	size_t i, n = 0;

	/* An upstream must not set headers that only routers may set. */
	for (i = 0; i < count && n < PB_CALL_HEADERS_MAX; i++)
		if (!pb_is_router_header(headers[i].name)) {
			kept[n] = headers[i];
			/*
			 * A response to HEAD has no body, but the relay request
			 * is a POST: its response must not announce the length
			 * of a body that is not sent.
			 */
			if (s->is_head && is_content_length(headers[i].name))
				kept[n].name = pb_str_from(PB_RELAY_LENGTH);
			n++;
		}

	snprintf(extra, sizeof(extra),
	    "X-Pb-Result: started\r\nX-Pb-Upstream: %s\r\n",
	    s->result->upstream);
	return pb_write_response_head(&s->response, status, kept, n, extra);
}

static int
forward_body(struct pb_sink *sink, const void *data, size_t len)
{
	struct forward_sink *s = (struct forward_sink *)sink;

	return pb_write_response_body(&s->response, data, len);
}

static int
send_run_result(struct pb_inbound_request *in, const struct pb_run_result *r)
{
	bool not_run = r->kind == PB_RUN_NOT_RUN;
	char extra[256];

	snprintf(extra, sizeof(extra),
	    "X-Pb-Result: %s\r\nX-Pb-Code: %s\r\nX-Pb-Retry-Ms: %lld\r\n"
	    "X-Pb-Owner: %s\r\nX-Pb-Upstream: %s\r\n",
	    not_run ? "not-run" : "unknown", r->code,
	    (long long)(r->retry_after_us / PB_MSEC), r->owner, r->upstream);
	return pb_send_text(
	    in, not_run ? 503 : 502, "text/plain", extra, PB_STR_NONE);
}

static int
serve_relay(struct pb_inbound_request *in, void *arg)
{
	static const struct pb_sink_ops ops = {forward_head, forward_body};
	struct pb_relay_server *server = arg;
	struct pb_context ctx = pb_node_context(server->node);
	struct pb_run_result result;
	struct forward_sink sink = {
	    .base.ops = &ops, .response.in = in, .result = &result};
	struct pb_request req;
	struct pb_buf body = {0};
	int rc;

	if (strcmp(in->path, "/relay") != 0)
		return pb_send_text(
		    in, 404, "text/plain", NULL, pb_str_from("not found\n"));
	memset(&req, 0, sizeof(req));
	req.headers = in->headers;
	req.header_count = in->header_count;
	rc = pb_read_body(&ctx, in, RELAY_BODY_MAX, &body);
	if (rc != PB_OK ||
	    !relay_parse_request(&ctx, in->headers, req.header_count, &req)) {
		pb_clear_buf(&body);
		return pb_send_text(in, 400, "text/plain", NULL,
		    pb_str_from("malformed relay\n"));
	}
	req.body = (struct pb_str){body.data, body.len};
	sink.is_head = strcmp(req.method, "HEAD") == 0;
	pb_run_request(&ctx, server->owner, &req, &sink.base, &result);
	pb_clear_buf(&body);
	if (sink.response.begun)
		return pb_finish_response(&sink.response, result.complete);
	return send_run_result(in, &result);
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
	server->http = pb_new_internal_server(
	    ctx, node->boot.peer, node->boot.peer_threads, serve_relay, server);
	if (server->http == NULL) {
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
	pb_drop_server(server->http);
	free(server);
}
