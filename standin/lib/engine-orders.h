#ifndef STANDIN_ENGINE_ORDERS_H
#define STANDIN_ENGINE_ORDERS_H

#include "serve.h"

/*
 * Orders (desired states) that routers store at an engine stand-in with PUT
 * /v1/orders/{name} and read back with GET. Thread safe.
 */
struct engine_orders;

/*
 * fencing: true to refuse an order whose fencing number is lower than that of
 * the stored order; false to ignore fencing numbers. Returns NULL if memory
 * runs out.
 */
struct engine_orders *engine_orders_new(bool fencing);
void engine_orders_free(struct engine_orders *orders);

/* Serves /v1/orders/{name}; returns the HTTP status. */
int engine_orders_serve(
    struct engine_orders *orders, struct mg_connection *conn, const char *name);
/*
 * Serves GET /control/orders: the stored orders and the counters "taken",
 * "refused", "stale" and "held". Returns the HTTP status.
 */
int engine_orders_serve_counts(
    struct engine_orders *orders, struct mg_connection *conn);
/*
 * Holds the next n orders, as if the network delayed them: they take effect
 * only after a call with n = 0.
 */
void engine_orders_hold(struct engine_orders *orders, int n);

#endif
