#ifndef POPLARBEAM_CALLER_H
#define POPLARBEAM_CALLER_H

#include "poplarbeam/owner.h"

/*
 * HTTP interface for callers. The router that receives a request from a caller
 * is its entry router: it parses the request, routes it to a cell, retries it
 * and sends the response.
 */

struct pb_caller_server;

/*
 * Starts the HTTP server for callers. Returns NULL and sets an error on
 * failure.
 */
struct pb_caller_server *pb_new_caller_server(
    struct pb_context *ctx, struct pb_owner *owner, struct pb_node *node);
/* Stops the server and aborts the requests that are still running. */
void pb_drop_caller_server(
    struct pb_context *ctx, struct pb_caller_server *server);

/*
 * Filter for server-sent events. It forwards complete events only, so that an
 * interrupted stream can be resumed after the last forwarded event.
 */
struct pb_sse {
	struct pb_buf partial; /* input that was not forwarded yet */
	size_t scanned; /* leading bytes of partial without an event end */
	uint64_t last_id; /* id of the last forwarded event */
	bool done; /* the event "[DONE]" was received */
};

#define PB_SSE_EVENT_MAX (1 << 20) /* bytes */

/* Called with one or more complete events. A value other than 0 stops. */
typedef int pb_sse_fn(void *arg, const char *data, size_t len);

/*
 * Adds input and calls fn with the events that are complete. Returns PB_OK,
 * PB_EPROTO if an event is too long, PB_EABORTED if fn stops, or PB_ENOMEM.
 */
int pb_feed_sse(
    struct pb_sse *sse, const void *data, size_t len, pb_sse_fn *fn, void *arg);
/* Discards a partial event before the stream is resumed. */
void pb_reset_sse(struct pb_sse *sse);
void pb_clear_sse(struct pb_sse *sse);

#endif
