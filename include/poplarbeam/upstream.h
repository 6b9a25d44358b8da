#ifndef POPLARBEAM_UPSTREAM_H
#define POPLARBEAM_UPSTREAM_H

#include "poplarbeam/base.h"

/*
 * HTTP client for upstreams and for relays to other routers: streams answers,
 * reuses connections, and tells whether any byte of a request can have
 * reached the peer.
 */

struct pb_header {
	struct pb_str name;
	struct pb_str value;
};

/* True for an HTTP token (RFC 9110), the form of methods and header names. */
bool pb_is_token(struct pb_str text);
/* True when the name is a token and the value has no CR, LF, NUL or such. */
bool pb_is_header(const struct pb_header *header);
/* True for headers that only routers set: X-Pb-... and X-Poplarbeam-... */
bool pb_is_router_header(struct pb_str name);

/* Where an answer goes. The ops table is the first member. */
struct pb_sink;

struct pb_sink_ops {
	/* Called once, before any body byte. Not 0: break off the call. */
	int (*head)(struct pb_sink *sink, int status,
	    const struct pb_header *headers, size_t count);
	/* Not 0: break off the call. */
	int (*body)(struct pb_sink *sink, const void *data, size_t len);
};

struct pb_sink {
	const struct pb_sink_ops *ops;
};

#define PB_CALL_HEADERS_MAX 64

struct pb_call {
	const char *peer; /* instance id, for errors */
	const char *address; /* host:port */
	const char *method;
	const char *target; /* path and query */
	const struct pb_header *headers;
	size_t header_count;
	struct pb_str body;
	bool fresh; /* never on a reused connection */
	int64_t connect_us; /* limit for the connection */
	int64_t idle_us; /* longest silence; 0: no limit */
	int64_t total_us; /* whole call; 0: no limit */
};

struct pb_call_result {
	int status; /* 0 when no head arrived */
	bool sent; /* a byte of the request may have gone out */
	bool complete; /* the whole answer arrived, as framed */
	bool sink_stopped; /* the sink broke off the call */
	uint64_t received; /* body bytes */
};

struct pb_client;

/* idle_max: idle connections kept per peer address. Thread safe. */
struct pb_client *pb_new_client(struct pb_context *ctx, size_t idle_max);
void pb_drop_client(struct pb_context *ctx, struct pb_client *client);

/*
 * Makes one call and blocks until it ends. PB_EINVAL, with nothing sent, when
 * method, target or a header would break the HTTP syntax. PB_OK when the answer
 * is complete; otherwise an error, and result tells what is known. An answer
 * that is framed only by the end of the connection counts as incomplete,
 * because it cannot be told from a truncated one.
 */
int pb_call_http(struct pb_context *ctx, struct pb_client *client,
    const struct pb_call *call, struct pb_sink *sink,
    struct pb_call_result *result);

/* Value of the first header of that name, compared without case. */
struct pb_str pb_find_header(
    const struct pb_header *headers, size_t count, const char *name);

/* A sink that collects the answer in memory, up to a limit. */
struct pb_buffer_sink {
	struct pb_sink base;
	size_t limit; /* bytes */
	int status;
	struct pb_buf body;
	char content_type[64];
	char etag[48];
};

void pb_init_buffer_sink(struct pb_buffer_sink *sink, size_t limit);

struct pb_orders;

/*
 * Port of lease.h to the orders of upstreams at /v1/orders/{name}; an upstream
 * is given by its address. The client is borrowed; timeout for one call.
 * fencing: the upstreams refuse an old fencing number. Thread safe.
 */
struct pb_orders *pb_new_http_orders(struct pb_context *ctx,
    struct pb_client *client, int64_t timeout_us, bool fencing);
void pb_drop_http_orders(struct pb_context *ctx, struct pb_orders *port);

#endif
