#include "poplarbeam/upstream.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "poplarbeam/lease.h"

#define REPLY_MAX 4096 /* maximum body of a response in bytes */
#define TARGET_MAX 96 /* bytes */

struct http_orders {
	struct pb_orders base;
	struct pb_client *client;
	int64_t timeout_us;
	bool fencing;
};

static int
call_order(struct pb_context *ctx, struct http_orders *o, const char *method,
    const char *address, const char *name, struct pb_str body,
    struct pb_buffer_sink *sink)
{
	struct pb_header type = {
	    pb_str_from("Content-Type"), pb_str_from("application/json")};
	struct pb_call_result res;
	char target[TARGET_MAX];
	/* An order must not be resent after the lease was checked. */
	struct pb_call call = {.peer = address,
	    .address = address,
	    .method = method,
	    .target = target,
	    .headers = &type,
	    .header_count = 1,
	    .body = body,
	    .fresh = body.len > 0,
	    .connect_us = o->timeout_us,
	    .total_us = o->timeout_us};
	int rc;

	snprintf(target, sizeof(target), "/v1/orders/%s", name);
	pb_init_buffer_sink(sink, REPLY_MAX);
	rc = pb_call_http(ctx, o->client, &call, &sink->base, &res);
	if (rc == PB_OK)
		return PB_OK;
	return res.sent ? PB_EUNKNOWN : PB_EUNAVAIL;
}

/* Returns the member "fence" of a JSON object, or 0. */
static uint64_t
read_fence(const json_t *root)
{
	json_int_t n = json_integer_value(json_object_get(root, "fence"));

	return n > 0 ? (uint64_t)n : 0;
}

static json_t *
parse_reply(const struct pb_buffer_sink *sink)
{
	return json_loadb(sink->body.data != NULL ? sink->body.data : "",
	    sink->body.len, 0, NULL);
}

static int
put_order(struct pb_context *ctx, struct pb_orders *port, const char *address,
    const char *name, uint64_t fence, struct pb_str desired, uint64_t *newer)
{
	struct http_orders *o = (struct http_orders *)port;
	struct pb_buffer_sink sink;
	struct pb_buf body = {0};
	json_t *root;
	int rc = PB_ENOMEM;

	*newer = 0;
	if (pb_append_fmt(&body, "{\"fence\":%" PRIu64 ",\"desired\":%.*s}",
		fence, (int)desired.len, desired.data) != PB_OK) {
		pb_clear_buf(&body);
		return rc;
	}
	rc = call_order(ctx, o, "PUT", address, name,
	    (struct pb_str){body.data, body.len}, &sink);
	if (rc == PB_OK && sink.status == 409 && o->fencing) {
		root = parse_reply(&sink);
		*newer = read_fence(root);
		json_decref(root);
		rc = PB_ECONFLICT;
	} else if (rc == PB_OK && sink.status / 100 != 2) {
		rc = pb_set_error(ctx, PB_EUNKNOWN, "order", address,
		    "upstream returned status %d for order %s", sink.status,
		    name);
	}
	pb_clear_buf(&sink.body);
	pb_clear_buf(&body);
	return rc;
}

static int
read_state(
    struct http_orders *o, const json_t *root, struct pb_order_state *state)
{
	json_t *desired = json_object_get(root, "desired");
	char *text;
	int rc;

	if (desired == NULL)
		return PB_EPROTO;
	text = json_dumps(desired, JSON_COMPACT | JSON_ENCODE_ANY);
	if (text == NULL)
		return PB_ENOMEM;
	/*
	 * Without fencing, the upstream may have stored an older order over a
	 * newer one, so its number proves nothing.
	 */
	state->fence = o->fencing ? read_fence(root) : 0;
	rc = pb_append_buf(&state->desired, text, strlen(text));
	free(text);
	return rc;
}

static int
get_order(struct pb_context *ctx, struct pb_orders *port, const char *address,
    const char *name, struct pb_order_state *state)
{
	struct http_orders *o = (struct http_orders *)port;
	struct pb_buffer_sink sink;
	json_t *root;
	int rc;

	rc = call_order(ctx, o, "GET", address, name, PB_STR_NONE, &sink);
	if (rc == PB_OK && sink.status == 404) {
		rc = PB_ENOENT;
	} else if (rc == PB_OK && sink.status != 200) {
		rc = PB_EPROTO;
	} else if (rc == PB_OK) {
		root = parse_reply(&sink);
		rc = read_state(o, root, state);
		json_decref(root);
	}
	if (rc == PB_EPROTO)
		pb_set_error(ctx, rc, "order", address,
		    "response with status %d has no valid state of order %s",
		    sink.status, name);
	pb_clear_buf(&sink.body);
	return rc;
}

struct pb_orders *
pb_new_http_orders(struct pb_context *ctx, struct pb_client *client,
    int64_t timeout_us, bool fencing)
{
	static const struct pb_orders_ops ops = {put_order, get_order};
	struct http_orders *o = calloc(1, sizeof(*o));

	(void)ctx;
	if (o == NULL)
		return NULL;
	o->base.ops = &ops;
	o->client = client;
	o->timeout_us = timeout_us;
	o->fencing = fencing;
	return &o->base;
}

void
pb_drop_http_orders(struct pb_context *ctx, struct pb_orders *port)
{
	(void)ctx;
	free(port);
}
