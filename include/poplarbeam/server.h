#ifndef POPLARBEAM_SERVER_H
#define POPLARBEAM_SERVER_H

#include "poplarbeam/base.h"
#include "poplarbeam/upstream.h"

#include <civetweb.h>

/* HTTP server pieces over CivetWeb that callers, relays and operators share. */

/*
 * CivetWeb closes the connection after a handler returned 401 and keeps it
 * open after every other value; it has no call to ask for that.
 */
#define PB_RETURN_AND_CLOSE 401

/* Handles one request; returns what pb_end_answer returns, or a status. */
typedef int pb_serve_fn(struct mg_connection *conn, void *arg);

/* address: host:port. NULL, with an error, when it cannot listen. */
struct mg_context *pb_start_server(struct pb_context *ctx, const char *address,
    int threads, pb_serve_fn *fn, void *arg);

/* The request's header, as a string that lives as long as the request. */
struct pb_str pb_request_header(
    const struct mg_connection *conn, const char *name);

/*
 * Reads the body. PB_OK, PB_EINVAL when it is longer than limit, PB_EABORTED
 * when the sender broke off before its end.
 */
int pb_read_body(struct pb_context *ctx, struct mg_connection *conn,
    size_t limit, struct pb_buf *buf);

/* True for headers that concern one hop only. */
bool pb_is_hop_header(struct pb_str name);

/* An answer being written; zeroed at first. */
struct pb_answer {
	struct mg_connection *conn;
	bool head_only; /* answers HEAD: no body, whatever the length */
	bool begun;
	bool chunked;
	bool broken; /* the peer went away */
	uint64_t left; /* bytes still due when not chunked */
};

/*
 * Writes status line and headers; extra is complete header lines or NULL.
 * Hop headers are left out. A length in the headers is kept, otherwise the
 * body is chunked. 0, or -1 when the peer went away.
 */
int pb_begin_answer(struct pb_answer *answer, int status,
    const struct pb_header *headers, size_t count, const char *extra);
int pb_write_answer(struct pb_answer *answer, const void *data, size_t len);
/*
 * Ends the answer. When it is not whole, the connection is closed without the
 * final chunk, so that no client takes it for complete. Returns the value that
 * the handler must return.
 */
int pb_end_answer(struct pb_answer *answer, bool whole);

/* Writes a whole small answer; extra as above. Returns status. */
int pb_send_text(struct mg_connection *conn, int status,
    const char *content_type, const char *extra, struct pb_str body);

#endif
