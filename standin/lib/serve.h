#ifndef STANDIN_SERVE_H
#define STANDIN_SERVE_H

#include "poplarbeam/base.h"

#include <civetweb.h>
#include <jansson.h>

/*
 * Functions that the stand-ins share: HTTP server, JSON responses, termination
 * by signal, clock.
 */

/*
 * Starts an HTTP server with the given number of worker threads, which calls
 * handler for every request. Exits the process if it cannot listen.
 */
struct mg_context *serve_start(
    const char *address, int threads, mg_request_handler handler, void *arg);
/* Prints "ready" and blocks until SIGTERM or SIGINT arrives. */
void serve_until_signal(void);
/*
 * Blocks SIGTERM and SIGINT in this thread and in those that it starts later,
 * and ignores SIGPIPE. Must be called before serve_start.
 */
void serve_block_signals(void);

/* Sends a response with a JSON body and releases value; returns status. */
int serve_send_json(struct mg_connection *conn, int status, json_t *value);
/*
 * Returns the request body as JSON, or NULL if it is empty, too large or
 * malformed.
 */
json_t *serve_read_json(struct mg_connection *conn);
/*
 * Appends the request body to buf. Returns PB_EINVAL if buf would exceed
 * max_bytes.
 */
int serve_read_body(
    struct mg_connection *conn, size_t max_bytes, struct pb_buf *buf);

/*
 * Sends the head of a response with chunked encoding. headers: further header
 * lines, each with CRLF.
 */
void serve_begin_chunked(
    struct mg_connection *conn, const char *content_type, const char *headers);

/* Returns the monotonic time in microseconds. */
int64_t serve_now_us(void);
/* Sleeps for us microseconds; returns at once if us is not positive. */
void serve_sleep_us(int64_t us);

#endif
