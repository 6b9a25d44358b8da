#include "poplarbeam/server.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct mg_context *
pb_start_server(struct pb_context *ctx, const char *address, int threads,
    pb_serve_fn *fn, void *arg)
{
	char count[16];
	const char *options[] = {"listening_ports", address, "num_threads",
	    count, "enable_keep_alive", "yes", "keep_alive_timeout_ms", "2000",
	    "tcp_nodelay", "1", "decode_url", "no", "listen_backlog", "1024",
	    NULL};
	struct mg_callbacks cb;
	struct mg_context *mg;

	snprintf(count, sizeof(count), "%d", threads);
	memset(&cb, 0, sizeof(cb));
	mg = mg_start(&cb, NULL, options);
	if (mg == NULL) {
		pb_set_error(ctx, PB_EUNAVAIL, "listen", address,
		    "cannot listen on %s", address);
		return NULL;
	}
	mg_set_request_handler(mg, "/**", fn, arg);
	return mg;
}

struct pb_str
pb_request_header(const struct mg_connection *conn, const char *name)
{
	return pb_str_from(mg_get_header(conn, name));
}

int
pb_read_body(struct pb_context *ctx, struct mg_connection *conn, size_t limit,
    struct pb_buf *buf)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	char part[4096];
	int n;

	if (ri->content_length > (long long)limit)
		return pb_set_error(ctx, PB_EINVAL, "read-body",
		    ri->remote_addr, "body is longer than %zu bytes", limit);
	while ((n = mg_read(conn, part, sizeof(part))) > 0) {
		if (buf->len + (size_t)n > limit)
			return pb_set_error(ctx, PB_EINVAL, "read-body",
			    ri->remote_addr, "body is longer than %zu bytes",
			    limit);
		if (pb_append_buf(buf, part, (size_t)n) != PB_OK)
			return pb_set_error(ctx, PB_ENOMEM, "read-body",
			    ri->remote_addr, "out of memory");
	}
	if (n < 0 ||
	    (ri->content_length > 0 && buf->len < (size_t)ri->content_length))
		return pb_set_error(ctx, PB_EABORTED, "read-body",
		    ri->remote_addr, "body ended after %zu bytes", buf->len);
	return PB_OK;
}

bool
pb_is_hop_header(struct pb_str name)
{
	static const char *const names[] = {"Connection", "Keep-Alive",
	    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	    "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (name.len == strlen(names[i]) &&
		    strncasecmp(name.data, names[i], name.len) == 0)
			return true;
	}
	return false;
}

static bool
write_all(struct pb_answer *a, const void *data, size_t len)
{
	if (!a->broken && len > 0 && mg_write(a->conn, data, len) != (int)len)
		a->broken = true;
	return !a->broken;
}

int
pb_begin_answer(struct pb_answer *a, int status,
    const struct pb_header *headers, size_t count, const char *extra)
{
	struct pb_str length = pb_find_header(headers, count, "Content-Length");
	struct pb_buf head = {0};
	bool empty = status == 204 || status == 304 || a->head_only;
	size_t i;

	a->begun = true;
	a->chunked = length.data == NULL && !empty;
	a->left =
	    length.data != NULL && !empty ? strtoull(length.data, NULL, 10) : 0;
	pb_append_fmt(&head, "HTTP/1.1 %d %s\r\n", status,
	    mg_get_response_code_text(a->conn, status));
	for (i = 0; i < count; i++) {
		if (pb_is_hop_header(headers[i].name))
			continue;
		pb_append_fmt(&head, "%.*s: %.*s\r\n", (int)headers[i].name.len,
		    headers[i].name.data, (int)headers[i].value.len,
		    headers[i].value.data);
	}
	if (extra != NULL)
		pb_append_fmt(&head, "%s", extra);
	if (a->chunked)
		pb_append_fmt(&head, "Transfer-Encoding: chunked\r\n");
	if (pb_append_fmt(&head, "\r\n") != PB_OK)
		a->broken = true;
	else
		write_all(a, head.data, head.len);
	pb_clear_buf(&head);
	return a->broken ? -1 : 0;
}

int
pb_write_answer(struct pb_answer *a, const void *data, size_t len)
{
	struct pb_buf chunk = {0};

	if (len == 0)
		return a->broken ? -1 : 0;
	if (!a->chunked) {
		/* The surplus would be read as the start of another answer. */
		if (len > a->left) {
			a->broken = true;
			return -1;
		}
		a->left -= len;
		return write_all(a, data, len) ? 0 : -1;
	}
	/* One write for the chunk, so that it leaves in one segment. */
	if (pb_append_fmt(&chunk, "%zx\r\n", len) != PB_OK ||
	    pb_append_buf(&chunk, data, len) != PB_OK ||
	    pb_append_buf(&chunk, "\r\n", 2) != PB_OK)
		a->broken = true;
	else
		write_all(a, chunk.data, chunk.len);
	pb_clear_buf(&chunk);
	return a->broken ? -1 : 0;
}

int
pb_end_answer(struct pb_answer *a, bool whole)
{
	if (!whole || a->broken || (!a->chunked && a->left > 0))
		return PB_RETURN_AND_CLOSE;
	if (a->chunked && !write_all(a, "0\r\n\r\n", 5))
		return PB_RETURN_AND_CLOSE;
	return 200;
}

int
pb_send_text(struct mg_connection *conn, int status, const char *content_type,
    const char *extra, struct pb_str body)
{
	struct pb_buf out = {0};

	pb_append_fmt(&out,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    status, mg_get_response_code_text(conn, status), content_type,
	    body.len, extra != NULL ? extra : "");
	if (pb_append_buf(&out, body.data, body.len) == PB_OK)
		mg_write(conn, out.data, out.len);
	pb_clear_buf(&out);
	return status == PB_RETURN_AND_CLOSE ? 200 : status;
}
