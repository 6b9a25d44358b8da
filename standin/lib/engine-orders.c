#include "engine-orders.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct engine_orders {
	pthread_mutex_t lock;
	pthread_cond_t released;
	bool fencing;
	json_t *states; /* {name: {"fence","desired"}} */
	int holds_left; /* number of next orders to hold */
	int held; /* number of orders that wait for released */
	int64_t accepted;
	int64_t refused;
	int64_t stale; /* accepted despite a lower fencing number */
};

struct engine_orders *
engine_orders_new(bool fencing)
{
	struct engine_orders *o = calloc(1, sizeof(*o));

	if (o == NULL)
		return NULL;
	pthread_mutex_init(&o->lock, NULL);
	pthread_cond_init(&o->released, NULL);
	o->fencing = fencing;
	o->states = json_object();
	return o;
}

void
engine_orders_free(struct engine_orders *o)
{
	json_decref(o->states);
	pthread_cond_destroy(&o->released);
	pthread_mutex_destroy(&o->lock);
	free(o);
}

static json_int_t
get_fence(const json_t *v)
{
	return json_integer_value(json_object_get(v, "fence"));
}

/*
 * Stores an order unless its fencing number is too low. Returns the HTTP status
 * and sets highest to the fencing number of the order stored before. The caller
 * holds the lock.
 */
static int
apply_order(struct engine_orders *o, const char *name, json_t *body,
    json_int_t *highest)
{
	*highest = get_fence(json_object_get(o->states, name));
	if (get_fence(body) < *highest) {
		if (o->fencing) {
			o->refused++;
			return 409;
		}
		o->stale++;
	}
	o->accepted++;
	json_object_set(o->states, name, body);
	return 200;
}

static int
put_order(struct engine_orders *o, struct mg_connection *conn, const char *name)
{
	json_t *body = serve_read_json(conn);
	json_int_t highest;
	int status;

	if (json_object_get(body, "desired") == NULL ||
	    !json_is_integer(json_object_get(body, "fence"))) {
		json_decref(body);
		return serve_send_json(conn, 400, json_object());
	}
	pthread_mutex_lock(&o->lock);
	if (o->holds_left > 0) {
		o->holds_left--;
		o->held++;
		while (o->held > 0)
			pthread_cond_wait(&o->released, &o->lock);
	}
	status = apply_order(o, name, body, &highest);
	pthread_mutex_unlock(&o->lock);
	json_decref(body);
	return serve_send_json(conn, status,
	    status == 409 ? json_pack("{s:I}", "fence", highest)
			  : json_object());
}

static int
get_order(struct engine_orders *o, struct mg_connection *conn, const char *name)
{
	json_t *v, *state;

	pthread_mutex_lock(&o->lock);
	state = json_object_get(o->states, name);
	v = state != NULL ? json_deep_copy(state) : NULL;
	pthread_mutex_unlock(&o->lock);
	if (v == NULL)
		return serve_send_json(conn, 404, json_object());
	/* An engine that ignores fencing numbers does not report any. */
	if (!o->fencing)
		json_object_del(v, "fence");
	return serve_send_json(conn, 200, v);
}

int
engine_orders_serve(
    struct engine_orders *o, struct mg_connection *conn, const char *name)
{
	const char *method = mg_get_request_info(conn)->request_method;

	if (strcmp(method, "PUT") == 0)
		return put_order(o, conn, name);
	if (strcmp(method, "GET") == 0)
		return get_order(o, conn, name);
	return serve_send_json(conn, 405, json_object());
}

int
engine_orders_serve_counts(struct engine_orders *o, struct mg_connection *conn)
{
	json_t *v;

	pthread_mutex_lock(&o->lock);
	v = json_pack("{s:o,s:I,s:I,s:I,s:i}", "orders",
	    json_deep_copy(o->states), "taken", (json_int_t)o->accepted,
	    "refused", (json_int_t)o->refused, "stale", (json_int_t)o->stale,
	    "held", o->held);
	pthread_mutex_unlock(&o->lock);
	return serve_send_json(conn, 200, v);
}

void
engine_orders_hold(struct engine_orders *o, int n)
{
	pthread_mutex_lock(&o->lock);
	o->holds_left = n;
	if (n == 0) {
		o->held = 0;
		pthread_cond_broadcast(&o->released);
	}
	pthread_mutex_unlock(&o->lock);
}
