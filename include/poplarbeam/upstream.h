#ifndef POPLARBEAM_UPSTREAM_H
#define POPLARBEAM_UPSTREAM_H

#include "poplarbeam/base.h"

/*
 * HTTP client for calls to upstreams and to other routers. It streams
 * responses, reuses connections and reports whether any byte of a request may
 * have reached the peer.
 */

struct pb_header {
	struct pb_str name;
	struct pb_str value;
};

/* True for an HTTP token (RFC 9110), the form of methods and header names. */
bool pb_is_token(struct pb_str text);
/*
 * True when the name is a token and the value has no control characters other
 * than tabs, so that it cannot hold CR, LF or NUL.
 */
bool pb_is_valid_header(const struct pb_header *header);
/* True for headers that only routers set: prefix X-Pb- or X-Poplarbeam-. */
bool pb_is_router_header(struct pb_str name);

/*
 * Receiver of a response. Implementations embed struct pb_sink as their first
 * member.
 */
struct pb_sink;

struct pb_sink_ops {
	/* Called once, before the body. Not 0: the call is aborted. */
	int (*head)(struct pb_sink *sink, int status,
	    const struct pb_header *headers, size_t count);
	/* Called for each part of the body. Not 0: the call is aborted. */
	int (*body)(struct pb_sink *sink, const void *data, size_t len);
};

struct pb_sink {
	const struct pb_sink_ops *ops;
};

#define PB_CALL_HEADERS_MAX 64

struct pb_call {
	const char *peer; /* instance id, for error messages */
	const char *address; /* host:port */
	const char *method;
	const char *target; /* path and query */
	const struct pb_header *headers;
	size_t header_count;
	struct pb_str body;
	bool fresh; /* use a new connection and close it after the call */
	int64_t connect_us; /* time limit for connecting */
	int64_t idle_us; /* time limit without received data; 0: none */
	int64_t total_us; /* time limit for the whole call; 0: none */
};

struct pb_call_result {
	int status; /* HTTP status; 0 when no response head arrived */
	bool sent; /* bytes of the request may have been sent */
	bool complete; /* the response arrived complete by its framing */
	bool sink_stopped; /* the sink aborted the call */
	uint64_t received; /* bytes of the response body */
};

struct pb_client;

/* idle_max: maximum of idle connections per peer address. Thread safe. */
struct pb_client *pb_new_client(struct pb_context *ctx, size_t idle_max);
void pb_drop_client(struct pb_context *ctx, struct pb_client *client);

/*
 * Makes one call and blocks until it ends. Returns PB_OK when the response is
 * complete. Returns PB_EINVAL, and sends nothing, when method, target or a
 * header violates the HTTP syntax. After any other error, result holds what is
 * known about the call. A response that ends only with the connection counts as
 * incomplete, because it cannot be distinguished from a truncated one.
 */
int pb_call_http(struct pb_context *ctx, struct pb_client *client,
    const struct pb_call *call, struct pb_sink *sink,
    struct pb_call_result *result);

/*
 * Returns the value of the first header with this name, which is compared
 * case-insensitively, or PB_STR_NONE.
 */
struct pb_str pb_find_header(
    const struct pb_header *headers, size_t count, const char *name);

/* Sink that stores the response in memory. A larger body aborts the call. */
struct pb_buffer_sink {
	struct pb_sink base;
	size_t limit; /* maximum size of the body in bytes */
	int status;
	struct pb_buf body;
	char content_type[64];
	char etag[48];
};

void pb_init_buffer_sink(struct pb_buffer_sink *sink, size_t limit);

struct pb_orders;

/*
 * Implements struct pb_orders of lease.h over HTTP: orders of an upstream are
 * at /v1/orders/{name}, and an upstream is identified by its address. The
 * client is borrowed. timeout_us limits each call. fencing: the upstreams
 * refuse an old fencing number. Thread safe.
 */
struct pb_orders *pb_new_http_orders(struct pb_context *ctx,
    struct pb_client *client, int64_t timeout_us, bool fencing);
void pb_drop_http_orders(struct pb_context *ctx, struct pb_orders *port);

#endif
