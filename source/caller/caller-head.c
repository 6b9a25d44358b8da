#include "caller-internal.h"

#include <string.h>

#define BODY_MAX (16 << 20) /* bytes; applies before the service is known */

static void
read_head(const struct pb_inbound_request *in, struct caller_head *head)
{
	head->method = in->method;
	head->path = in->path;
	head->query = in->query;
	memcpy(head->headers, in->headers,
	    in->header_count * sizeof(in->headers[0]));
	head->header_count = in->header_count;
}

static bool
read_body(struct entry *e, struct fault *f)
{
	int rc = pb_read_body(e->ctx, e->in, BODY_MAX, &e->body);

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

	read_head(e->in, &head);
	return entry_parse_head(e, &head, fault) && read_body(e, fault) &&
	    entry_parse_body(e, &head, fault);
}
