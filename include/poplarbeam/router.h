#ifndef POPLARBEAM_ROUTER_H
#define POPLARBEAM_ROUTER_H

#include "poplarbeam/boot.h"

/* Starts, drains and stops the router process with all its threads. */

struct pb_router;

/*
 * Starts the servers and threads of a router. Returns NULL with an error in ctx
 * if one of them cannot start.
 */
struct pb_router *pb_new_router(
    struct pb_context *ctx, const struct pb_boot_config *boot);

/*
 * Drains the router: announces to the load balancer and the peers that it is
 * leaving, stops accepting requests, and waits for the requests in progress.
 * Returns the number of requests that were still running at the deadline.
 */
int64_t pb_drain_router(struct pb_context *ctx, struct pb_router *router);
/* Returns true after an operator has requested a planned shutdown. */
bool pb_drain_requested(const struct pb_router *router);

void pb_drop_router(struct pb_context *ctx, struct pb_router *router);

#endif
