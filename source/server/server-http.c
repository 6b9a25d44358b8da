#include "poplarbeam/http.h"
#include "poplarbeam/server.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

void
pb_drop_server(struct pb_server *server)
{
	if (server != NULL)
		server->ops->drop(server);
}

int
pb_read_body(struct pb_context *ctx, struct pb_inbound_request *in,
    size_t limit, struct pb_buf *buf)
{
	char part[4096];
	int n;

	if (in->length > (int64_t)limit)
		return pb_set_error(ctx, PB_EINVAL, "read-body", in->peer,
		    "body is longer than %zu bytes", limit);
	while ((n = in->ops->read(in, part, sizeof(part))) > 0) {
		if (buf->len + (size_t)n > limit)
			return pb_set_error(ctx, PB_EINVAL, "read-body",
			    in->peer, "body is longer than %zu bytes", limit);
		if (pb_append_buf(buf, part, (size_t)n) != PB_OK)
			return pb_set_error(ctx, PB_ENOMEM, "read-body",
			    in->peer, "out of memory");
	}
	if (n < 0 || (in->length > 0 && buf->len < (size_t)in->length))
		return pb_set_error(ctx, PB_EABORTED, "read-body", in->peer,
		    "body ended after %zu bytes", buf->len);
	return PB_OK;
}

bool
pb_is_hop_by_hop_header(struct pb_str name)
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
write_all(struct pb_response *r, const void *data, size_t len)
{
	if (!r->broken && len > 0 && !r->in->ops->write(r->in, data, len))
		r->broken = true;
	return !r->broken;
}

int
pb_write_response_head(struct pb_response *r, int status,
    const struct pb_header *headers, size_t count, const char *extra)
{
	struct pb_str length = pb_find_header(headers, count, "Content-Length");
	struct pb_buf head = {0};
	bool empty = status == 204 || status == 304 || r->head_only;
	size_t i;

	r->begun = true;
	r->chunked = length.data == NULL && !empty;
	r->remaining =
	    length.data != NULL && !empty ? strtoull(length.data, NULL, 10) : 0;
	pb_append_fmt(
	    &head, "HTTP/1.1 %d %s\r\n", status, pb_http_reason(status));
	for (i = 0; i < count; i++) {
		if (pb_is_hop_by_hop_header(headers[i].name))
			continue;
		pb_append_fmt(&head, "%.*s: %.*s\r\n", (int)headers[i].name.len,
		    headers[i].name.data, (int)headers[i].value.len,
		    headers[i].value.data);
	}
	if (extra != NULL)
		pb_append_fmt(&head, "%s", extra);
	if (r->chunked)
		pb_append_fmt(&head, "Transfer-Encoding: chunked\r\n");
	if (pb_append_fmt(&head, "\r\n") != PB_OK)
		r->broken = true;
	else
		write_all(r, head.data, head.len);
	pb_clear_buf(&head);
	return r->broken ? -1 : 0;
}

int
pb_write_response_body(struct pb_response *r, const void *data, size_t len)
{
	struct pb_buf chunk = {0};

	if (len == 0)
		return r->broken ? -1 : 0;
	if (!r->chunked) {
		/*
		 * The client would read bytes beyond Content-Length as the
		 * start of the next response.
		 */
		if (len > r->remaining) {
			r->broken = true;
			return -1;
		}
		r->remaining -= len;
		return write_all(r, data, len) ? 0 : -1;
	}
	/* A single write, so that the chunk is sent in one TCP segment. */
	if (pb_append_fmt(&chunk, "%zx\r\n", len) != PB_OK ||
	    pb_append_buf(&chunk, data, len) != PB_OK ||
	    pb_append_buf(&chunk, "\r\n", 2) != PB_OK)
		r->broken = true;
	else
		write_all(r, chunk.data, chunk.len);
	pb_clear_buf(&chunk);
	return r->broken ? -1 : 0;
}

int
pb_finish_response(struct pb_response *r, bool complete)
{
	if (!complete || r->broken || (!r->chunked && r->remaining > 0))
		return PB_RETURN_AND_CLOSE;
	if (r->chunked && !write_all(r, "0\r\n\r\n", 5))
		return PB_RETURN_AND_CLOSE;
	return 200;
}

int
pb_send_text(struct pb_inbound_request *in, int status,
    const char *content_type, const char *extra, struct pb_str body)
{
	struct pb_buf out = {0};

	pb_append_fmt(&out,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    status, pb_http_reason(status), content_type, body.len,
	    extra != NULL ? extra : "");
	if (pb_append_buf(&out, body.data, body.len) == PB_OK)
		in->ops->write(in, out.data, out.len);
	pb_clear_buf(&out);
	return status == PB_RETURN_AND_CLOSE ? 200 : status;
}
