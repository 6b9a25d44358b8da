#ifndef STANDIN_ENGINE_ORDERS_H
#define STANDIN_ENGINE_ORDERS_H

#include "serve.h"

/*
 * Orders that an engine stand-in holds: PUT and GET /v1/orders/{name}. Thread
 * safe.
 */
struct engine_orders;

/* fencing: orders with a lower number than before are refused. */
struct engine_orders *engine_orders_new(bool fencing);
void engine_orders_drop(struct engine_orders *orders);

/* Serves a path below /v1/orders/. */
int engine_orders_serve(
    struct engine_orders *orders, struct mg_connection *conn, const char *name);
/* GET /control/orders: the states and {"taken","refused","stale","held"}. */
int engine_orders_counts(
    struct engine_orders *orders, struct mg_connection *conn);
/*
 * The next n orders take effect only after a call with n = 0, as if they had
 * been on their way until then.
 */
void engine_orders_hold(struct engine_orders *orders, int n);

#endif
