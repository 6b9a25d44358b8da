#ifndef POPLARBEAM_CALLER_H
#define POPLARBEAM_CALLER_H

#include "poplarbeam/owner.h"

/* The callers' HTTP surface and the entry router's part of a request. */

struct pb_caller_server;

/* Serves callers. NULL, with an error, when it cannot listen. */
struct pb_caller_server *pb_new_caller_server(
    struct pb_context *ctx, struct pb_owner *owner, struct pb_node *node);
/* Stops it; requests still running are cut. */
void pb_drop_caller_server(
    struct pb_context *ctx, struct pb_caller_server *server);

/*
 * Filter for server-sent events: passes on whole events only, so that a
 * stream that broke can be resumed after the last one.
 */
struct pb_sse {
	struct pb_buf partial;
	size_t scanned; /* bytes of partial known to hold no event end */
	uint64_t last_id; /* id of the last event passed on */
	bool done; /* "[DONE]" was seen */
};

#define PB_SSE_EVENT_MAX (1 << 20) /* bytes of one event */

/* Called with one or more whole events; not 0 stops. */
typedef int pb_sse_fn(void *arg, const char *data, size_t len);

/* PB_OK, PB_EPROTO when an event is too long, PB_EABORTED when fn stops. */
int pb_feed_sse(
    struct pb_sse *sse, const void *data, size_t len, pb_sse_fn *fn, void *arg);
/* Forgets a partial event, before a resume. */
void pb_reset_sse(struct pb_sse *sse);
void pb_clear_sse(struct pb_sse *sse);

#endif
