#include "caller-internal.h"

#include <string.h>

#define BODY_MAX (16 << 20) /* before the service is known */

static void
read_head(struct mg_connection *conn, struct caller_head *head)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	size_t n = 0;
	int i;

	head->method = ri->request_method;
	head->path = ri->request_uri;
	head->query = ri->query_string;
	for (i = 0; i < ri->num_headers && n < PB_CALL_HEADERS_MAX; i++) {
		head->headers[n].name = pb_str_from(ri->http_headers[i].name);
		head->headers[n++].value =
		    pb_str_from(ri->http_headers[i].value);
	}
	head->header_count = n;
}

static bool
read_body(struct entry *e, struct fault *f)
{
	int rc = pb_read_body(e->ctx, e->conn, BODY_MAX, &e->body);

	if (rc == PB_OK)
		return true;
	f->status = rc == PB_EINVAL ? 413 : 400;
	f->code = rc == PB_EINVAL ? "body_too_large" : "body_incomplete";
	pb_copy_str(f->message, sizeof(f->message), e->ctx->error.text);
	return false;
}

bool
entry_parse(struct entry *e, struct fault *fault)
{
	struct caller_head head;

	read_head(e->conn, &head);
	return entry_parse_head(e, &head, fault) && read_body(e, fault) &&
	    entry_parse_body(e, &head, fault);
}
