#include "engine-orders.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct engine_orders {
	pthread_mutex_t lock;
	pthread_cond_t release;
	bool fencing;
	json_t *states; /* {name: {"fence","desired"}} */
	int to_hold;
	int held;
	int64_t taken;
	int64_t refused;
	int64_t stale; /* taken with a lower number than before */
};

struct engine_orders *
engine_orders_new(bool fencing)
{
	struct engine_orders *o = calloc(1, sizeof(*o));

	if (o == NULL)
		return NULL;
	pthread_mutex_init(&o->lock, NULL);
	pthread_cond_init(&o->release, NULL);
	o->fencing = fencing;
	o->states = json_object();
	return o;
}

void
engine_orders_drop(struct engine_orders *o)
{
	json_decref(o->states);
	pthread_cond_destroy(&o->release);
	pthread_mutex_destroy(&o->lock);
	free(o);
}

static json_int_t
fence_of(const json_t *v)
{
	return json_integer_value(json_object_get(v, "fence"));
}

/* The lock is held. Returns the status; a refusal leaves the number in top. */
static int
take_order(
    struct engine_orders *o, const char *name, json_t *body, json_int_t *top)
{
	*top = fence_of(json_object_get(o->states, name));
	if (fence_of(body) < *top) {
		if (o->fencing) {
			o->refused++;
			return 409;
		}
		o->stale++;
	}
	o->taken++;
	json_object_set(o->states, name, body);
	return 200;
}

static int
put_order(struct engine_orders *o, struct mg_connection *conn, const char *name)
{
	json_t *body = serve_read_json(conn);
	json_int_t top;
	int status;

	if (json_object_get(body, "desired") == NULL ||
	    !json_is_integer(json_object_get(body, "fence"))) {
		json_decref(body);
		return serve_json(conn, 400, json_object());
	}
	pthread_mutex_lock(&o->lock);
	if (o->to_hold > 0) {
		o->to_hold--;
		o->held++;
		while (o->held > 0)
			pthread_cond_wait(&o->release, &o->lock);
	}
	status = take_order(o, name, body, &top);
	pthread_mutex_unlock(&o->lock);
	json_decref(body);
	return serve_json(conn, status,
	    status == 409 ? json_pack("{s:I}", "fence", top) : json_object());
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
		return serve_json(conn, 404, json_object());
	/* One that ignores the numbers has none to show. */
	if (!o->fencing)
		json_object_del(v, "fence");
	return serve_json(conn, 200, v);
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
	return serve_json(conn, 405, json_object());
}

int
engine_orders_counts(struct engine_orders *o, struct mg_connection *conn)
{
	json_t *v;

	pthread_mutex_lock(&o->lock);
	v = json_pack("{s:o,s:I,s:I,s:I,s:i}", "orders",
	    json_deep_copy(o->states), "taken", (json_int_t)o->taken, "refused",
	    (json_int_t)o->refused, "stale", (json_int_t)o->stale, "held",
	    o->held);
	pthread_mutex_unlock(&o->lock);
	return serve_json(conn, 200, v);
}

void
engine_orders_hold(struct engine_orders *o, int n)
{
	pthread_mutex_lock(&o->lock);
	o->to_hold = n;
	if (n == 0) {
		o->held = 0;
		pthread_cond_broadcast(&o->release);
	}
	pthread_mutex_unlock(&o->lock);
}
