#ifndef POPLARBEAM_RELAY_H
#define POPLARBEAM_RELAY_H

#include "poplarbeam/owner.h"

/*
 * Requests between routers: the entry router passes a request to the owner of
 * the cell over HTTP. What the cell must know travels in X-Pb headers.
 */

/* Length that the upstream gave in its answer to HEAD. */
#define PB_RELAY_LENGTH "X-Pb-Length"

struct pb_relay_server;

/*
 * Runs a request at another router; the result says the same as that of
 * pb_run_request there. Blocks until it ended.
 */
void pb_relay_request(struct pb_context *ctx, struct pb_node *node,
    const struct pb_member *owner, const struct pb_request *req,
    struct pb_sink *sink, struct pb_run_result *result);

/* Serves relays on the peer port. NULL, with an error, when it cannot. */
struct pb_relay_server *pb_new_relay_server(
    struct pb_context *ctx, struct pb_owner *owner, struct pb_node *node);
/* Stops it; requests still running are cut. */
void pb_drop_relay_server(
    struct pb_context *ctx, struct pb_relay_server *server);

#endif
