#ifndef POPLARBEAM_SUSPECTS_H
#define POPLARBEAM_SUSPECTS_H

#include "poplarbeam/base.h"

/*
 * Detects requests that crash the instances that run them. A caller may retry
 * such a request, with the same content, through any router. The request is
 * refused after several instances crashed while it was in progress, unless a
 * request with the same content has succeeded recently. The module uses no
 * sockets and no threads, and takes the time from the context's clock.
 */

struct pb_suspects;

/*
 * One crash of an instance while a request was in progress there. Routers
 * exchange these records.
 */
struct pb_crash {
	uint64_t fingerprint; /* hash of what the caller sent; never 0 */
	uint64_t victim; /* hash of the instance and its start time */
};

/* Returns NULL if out of memory. */
struct pb_suspects *pb_new_suspects(struct pb_context *ctx);
void pb_drop_suspects(struct pb_context *ctx, struct pb_suspects *suspects);

/* Returns a hash of the request's target, client account and body. */
uint64_t pb_fingerprint(
    struct pb_str target, struct pb_str account, struct pb_str body);

/*
 * Records that the connection to an instance broke while the request was in
 * progress there. The same crash may be recorded several times. Returns true if
 * the request is refused from now on.
 */
bool pb_note_crash(struct pb_context *ctx, struct pb_suspects *suspects,
    const struct pb_crash *crash);
/* Records that the request received a complete response. */
void pb_note_success(
    struct pb_context *ctx, struct pb_suspects *suspects, uint64_t fingerprint);
/*
 * Returns how long the request is still refused, in microseconds, or 0 if it
 * may run. A request that is allowed again after this time is refused again
 * after one further crash.
 */
int64_t pb_refusal_left(
    struct pb_context *ctx, struct pb_suspects *suspects, uint64_t fingerprint);

/*
 * Stores up to cap crash records of the requests with a recent crash and
 * returns their number.
 */
size_t pb_read_crashes(struct pb_context *ctx,
    const struct pb_suspects *suspects, struct pb_crash *crashes, size_t cap);

#endif
