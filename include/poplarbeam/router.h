#ifndef POPLARBEAM_ROUTER_H
#define POPLARBEAM_ROUTER_H

#include "poplarbeam/boot.h"

/* The router process: all parts wired together, their threads, its end. */

struct pb_router;

/* Starts all parts. NULL, with an error, when one cannot start. */
struct pb_router *pb_new_router(
    struct pb_context *ctx, const struct pb_boot_config *boot);

/*
 * Ends in order: tells balancer and peers, takes no new work, waits for the
 * requests in progress. Returns how many were still running at the deadline.
 */
int64_t pb_drain_router(struct pb_context *ctx, struct pb_router *router);
/* True once an operator has asked for a planned stop. */
bool pb_drain_requested(const struct pb_router *router);

void pb_drop_router(struct pb_context *ctx, struct pb_router *router);

#endif
