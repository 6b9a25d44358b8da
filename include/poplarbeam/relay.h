#ifndef POPLARBEAM_RELAY_H
#define POPLARBEAM_RELAY_H

#include "poplarbeam/owner.h"

/*
 * Relay of requests between routers: the entry router forwards a request over
 * HTTP to the router that owns the cell. The X-Pb headers carry the request's
 * parameters for the cell.
 */

/* Carries Content-Length of the upstream's response to a HEAD request. */
#define PB_RELAY_LENGTH "X-Pb-Length"

struct pb_relay_server;

/*
 * Runs a request at another router and blocks until it ends. The result has the
 * same meaning as the result of pb_run_request at that router.
 */
void pb_relay_request(struct pb_context *ctx, struct pb_node *node,
    const struct pb_member *owner, const struct pb_request *req,
    struct pb_sink *caller_sink, struct pb_run_result *result);

/*
 * Starts the server for relayed requests on the peer port. Returns NULL and
 * sets an error on failure.
 */
struct pb_relay_server *pb_new_relay_server(
    struct pb_context *ctx, struct pb_owner *owner, struct pb_node *node);
/* Stops and frees the server; requests in progress are aborted. */
void pb_drop_relay_server(
    struct pb_context *ctx, struct pb_relay_server *server);

#endif
