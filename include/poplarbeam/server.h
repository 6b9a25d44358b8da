#ifndef POPLARBEAM_SERVER_H
#define POPLARBEAM_SERVER_H

#include "poplarbeam/base.h"
#include "poplarbeam/upstream.h"

/*
 * HTTP servers that use one thread for each request in progress, and helpers
 * shared by the interfaces for callers, for other routers and for operators.
 */

struct pb_inbound_request;

struct pb_inbound_request_ops {
	/*
	 * Reads up to cap bytes of the body. Returns the number of bytes, 0 at
	 * the end of the body, or a negative value if the body cannot be read
	 * to its end.
	 */
	int (*read)(struct pb_inbound_request *in, void *buf, size_t cap);
	/* Returns true if all len bytes were written. */
	bool (*write)(
	    struct pb_inbound_request *in, const void *data, size_t len);
};

/*
 * A request being served. Its strings are null-terminated and stay valid as
 * long as the request.
 */
struct pb_inbound_request {
	const struct pb_inbound_request_ops *ops;
	const char *method;
	const char *path; /* as sent, not decoded, without the query */
	const char *query; /* NULL if the target has no query */
	const char *peer; /* the sender's address */
	struct pb_header headers[PB_CALL_HEADERS_MAX];
	size_t header_count;
	int64_t length; /* Content-Length in bytes; -1: unknown */
};

/*
 * Return value of a handler that closes the connection. CivetWeb has no
 * function to request this; it closes the connection after a handler returns
 * 401 and keeps it open after any other value.
 */
#define PB_RETURN_AND_CLOSE 401

/*
 * Handles one request. Returns the result of pb_finish_response or an HTTP
 * status code.
 */
typedef int pb_serve_fn(struct pb_inbound_request *in, void *arg);

struct pb_server;

struct pb_server_ops {
	void (*drop)(struct pb_server *server);
};

struct pb_server {
	const struct pb_server_ops *ops;
};

/*
 * Starts a server for clients that may be hostile: a request whose framing or
 * head is ambiguous (RFC 9112) is rejected before fn is called. address is
 * host:port. Returns NULL and sets an error if the server cannot be started.
 */
struct pb_server *pb_new_strict_server(struct pb_context *ctx,
    const char *address, int threads, pb_serve_fn *fn, void *arg);
/*
 * Starts a server for other routers and for operators, implemented with
 * CivetWeb. Parameters and result are those of pb_new_strict_server.
 */
struct pb_server *pb_new_internal_server(struct pb_context *ctx,
    const char *address, int threads, pb_serve_fn *fn, void *arg);
/*
 * Stops and frees a server; requests in progress are aborted. server may be
 * NULL.
 */
void pb_drop_server(struct pb_server *server);

/*
 * Appends the body to buf. Returns PB_OK, PB_EINVAL if the body is longer than
 * limit bytes, PB_EABORTED if it ended early, or PB_ENOMEM.
 */
int pb_read_body(struct pb_context *ctx, struct pb_inbound_request *in,
    size_t limit, struct pb_buf *buf);

/* Returns true if name is a hop-by-hop header. */
bool pb_is_hop_by_hop_header(struct pb_str name);

/*
 * A response being written. Before the head is written, all fields except in
 * and head_only must be zero.
 */
struct pb_response {
	struct pb_inbound_request *in;
	bool head_only; /* response to HEAD: no body, Content-Length is kept */
	bool begun;
	bool chunked;
	bool broken; /* writing failed; the response cannot be completed */
	uint64_t remaining; /* unwritten bytes of the body; 0 if chunked */
};

/*
 * Writes the status line and headers. extra holds complete header lines or is
 * NULL. Hop-by-hop headers are omitted. A Content-Length header is kept;
 * without one the body is sent with chunked transfer coding. Returns 0, or -1
 * if writing failed.
 */
int pb_write_response_head(struct pb_response *response, int status,
    const struct pb_header *headers, size_t count, const char *extra);
/* Writes a part of the body. Returns 0, or -1 if writing failed. */
int pb_write_response_body(
    struct pb_response *response, const void *data, size_t len);
/*
 * Ends the response. If complete is false, the final chunk is omitted and the
 * connection is closed, so that the client detects an incomplete response.
 * Returns the value that the handler must return.
 */
int pb_finish_response(struct pb_response *response, bool complete);

/*
 * Writes a complete response with a short body. extra holds complete header
 * lines or is NULL. Returns the value that the handler must return.
 */
int pb_send_text(struct pb_inbound_request *in, int status,
    const char *content_type, const char *extra, struct pb_str body);

#endif
