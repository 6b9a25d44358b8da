#ifndef STANDIN_BACKEND_LOG_H
#define STANDIN_BACKEND_LOG_H

#include "poplarbeam/base.h"

/*
 * The requests that reached the back end stand-in and those that it executed,
 * as tests query them. Exits the process if memory runs out, because a test
 * must not pass on an incomplete log.
 */
struct backend_log;

struct backend_log *backend_log_new(void);
void backend_log_free(struct backend_log *log);

/*
 * Records that a request arrived, executed or not. holder: the instance from
 * which the request fetches its prompt prefix, or "".
 */
void backend_log_add_arrival(
    struct backend_log *log, const char *id, const char *holder);
void backend_log_add_run(struct backend_log *log, const char *id);

/*
 * Appends the response to a query of a test: "/runs/ID", "/all-runs" or
 * "/arrivals". Returns false for other targets.
 */
bool backend_log_answer(
    const struct backend_log *log, const char *target, struct pb_buf *text);

#endif
