#ifndef STANDIN_SERVE_H
#define STANDIN_SERVE_H

#include "poplarbeam/base.h"

#include <civetweb.h>
#include <jansson.h>

/* What the stand-ins share: an HTTP server, JSON answers, a clean end. */

/* Starts a server with the given number of worker threads, or exits. */
struct mg_context *serve_start(
    const char *address, int threads, mg_request_handler fn, void *arg);
/* Prints "ready" and returns when SIGTERM or SIGINT arrives. */
void serve_wait(void);
/* Blocks SIGTERM and SIGINT in all threads; call before serve_start. */
void serve_block_signals(void);

/* Answers with a JSON value and releases it; returns status. */
int serve_json(struct mg_connection *conn, int status, json_t *value);
/* The request's body as JSON; NULL when there is none or it is malformed. */
json_t *serve_read_json(struct mg_connection *conn);
/* The request's body, up to cap bytes. */
int serve_read_body(struct mg_connection *conn, size_t cap, struct pb_buf *buf);

/* Starts a chunked answer. */
void serve_begin_stream(
    struct mg_connection *conn, const char *content_type, const char *headers);

/* Monotonic microseconds, and a sleep. */
int64_t serve_now(void);
void serve_sleep(int64_t us);

#endif
