#include "poplarbeam/server.h"

#include <civetweb.h>
#include <stdlib.h>

/* HTTP server for other routers and for operators, based on CivetWeb. */

struct internal_server {
	struct pb_server base;
	struct mg_context *mg;
	pb_serve_fn *fn;
	void *arg;
};

struct internal_request {
	struct pb_inbound_request base;
	struct mg_connection *conn;
};

static int
read_internal(struct pb_inbound_request *in, void *buf, size_t cap)
{
	struct internal_request *req = (struct internal_request *)in;

	return mg_read(req->conn, buf, cap);
}

static bool
write_internal(struct pb_inbound_request *in, const void *data, size_t len)
{
	struct internal_request *req = (struct internal_request *)in;

	return mg_write(req->conn, data, len) == (int)len;
}

static int
serve_internal(struct mg_connection *conn, void *arg)
{
	static const struct pb_inbound_request_ops ops = {
	    read_internal, write_internal};
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct internal_server *server = arg;
	struct internal_request req = {.base.ops = &ops, .conn = conn};
	struct pb_inbound_request *in = &req.base;
	int i;

	in->method = ri->request_method;
	in->path = ri->request_uri;
	in->query = ri->query_string;
	in->peer = ri->remote_addr;
	in->length = ri->content_length;
	for (i = 0; i < ri->num_headers && i < PB_CALL_HEADERS_MAX; i++)
		in->headers[in->header_count++] =
		    (struct pb_header){pb_str_from(ri->http_headers[i].name),
			pb_str_from(ri->http_headers[i].value)};
	return server->fn(in, server->arg);
}

static void
drop_internal_server(struct pb_server *base)
{
	struct internal_server *server = (struct internal_server *)base;

	mg_stop(server->mg);
	free(server);
}

struct pb_server *
pb_new_internal_server(struct pb_context *ctx, const char *address, int threads,
    pb_serve_fn *fn, void *arg)
{
	static const struct pb_server_ops ops = {drop_internal_server};
	struct internal_server *server = calloc(1, sizeof(*server));
	char count[16];
	const char *options[] = {"listening_ports", address, "num_threads",
	    count, "enable_keep_alive", "yes", "keep_alive_timeout_ms", "2000",
	    "tcp_nodelay", "1", "decode_url", "no", "listen_backlog", "1024",
	    NULL};
	struct mg_callbacks cb = {0};

	if (server == NULL) {
		pb_set_error(
		    ctx, PB_ENOMEM, "listen", address, "out of memory");
		return NULL;
	}
	server->base.ops = &ops;
	server->fn = fn;
	server->arg = arg;
	snprintf(count, sizeof(count), "%d", threads);
	mg_init_library(0);
	server->mg = mg_start(&cb, NULL, options);
	if (server->mg == NULL) {
		pb_set_error(ctx, PB_EUNAVAIL, "listen", address,
		    "cannot listen on %s", address);
		free(server);
		return NULL;
	}
	mg_set_request_handler(server->mg, "/**", serve_internal, server);
	return &server->base;
}
