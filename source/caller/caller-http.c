#include "caller-internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static void
make_request_id(struct pb_node *node, char *out, size_t cap)
{
	uint64_t n = atomic_fetch_add(&node->next_id, 1);

	snprintf(out, cap, "%016" PRIx64 "%016" PRIx64,
	    pb_hash_pair(node->id_hash, node->incarnation),
	    pb_hash_pair(node->incarnation, n));
}

/* Returns true if this instance accepts new work, else sends an error. */
static bool
may_accept(struct entry *e)
{
	struct pb_node *node = e->server->node;

	if (e->settings == NULL || !atomic_load(&node->accepting)) {
		pb_add_counter(node->metrics, PB_COUNT_NOT_RUN, 1);
		entry_send_error(e, ERROR_NOT_RUN, 503, "stopping",
		    "this instance takes no new work", PB_SEC);
		return false;
	}
	if (!atomic_load(&node->fresh)) {
		pb_add_counter(node->metrics, PB_COUNT_NOT_RUN, 1);
		entry_send_error(e, ERROR_NOT_RUN, 503,
		    pb_refusal_name(PB_REFUSED_STALE),
		    "the settings could not be confirmed lately", PB_SEC);
		return false;
	}
	return true;
}

/* GET /v1/models: sends {"object":"list","data"} with the model services. */
static int
list_models(struct entry *e)
{
	json_t *data = json_array();
	char *text;
	json_t *v;
	int i, rc;

	for (i = 0; i < e->settings->service_count; i++) {
		const struct pb_service *s = &e->settings->services[i];

		if (s->kind == PB_SERVICE_MODEL)
			json_array_append_new(data,
			    json_pack(
				"{s:s,s:s}", "id", s->name, "object", "model"));
	}
	v = json_pack("{s:s,s:o}", "object", "list", "data", data);
	text = json_dumps(v, JSON_COMPACT);
	json_decref(v);
	rc = pb_send_text(e->in, 200, "application/json", NULL,
	    pb_str_from(text != NULL ? text : "{}"));
	free(text);
	return rc;
}

static int
serve(struct entry *e)
{
	struct pb_node *node = e->server->node;
	struct fault f;

	pb_add_counter(node->metrics, PB_COUNT_RECEIVED, 1);
	if (!may_accept(e))
		return 503;
	if (strcmp(e->in->path, "/v1/models") == 0)
		return list_models(e);
	if (!entry_parse(e, &f)) {
		pb_add_counter(node->metrics, PB_COUNT_INVALID, 1);
		return entry_send_error(
		    e, ERROR_INVALID, f.status, f.code, f.message, 0);
	}
	pb_add_event(e->ctx, node->events, "received", e->req.id, e->req.chat,
	    NULL, "%s account %s rank %d", e->service->name, e->account->name,
	    e->req.rank);
	return entry_run(e);
}

static int
serve_caller(struct pb_inbound_request *in, void *arg)
{
	struct pb_caller_server *server = arg;
	struct pb_context ctx = pb_node_context(server->node);
	struct entry *e = calloc(1, sizeof(*e));
	int rc;

	if (e == NULL)
		return pb_send_text(in, 503, "text/plain", NULL,
		    pb_str_from("out of memory\n"));
	pb_add_gauge(server->node->metrics, PB_GAUGE_IN_FLIGHT, 1);
	e->server = server;
	e->ctx = &ctx;
	e->in = in;
	e->arena = pb_new_arena(&ctx);
	e->settings = pb_node_settings(server->node);
	make_request_id(server->node, e->req.id, sizeof(e->req.id));
	rc = serve(e);
	if (atomic_load(&server->node->leaving))
		rc = PB_RETURN_AND_CLOSE;
	if (e->settings != NULL)
		pb_drop_settings(&ctx, e->settings);
	pb_drop_arena(&ctx, e->arena);
	pb_clear_buf(&e->body);
	free(e);
	pb_add_gauge(server->node->metrics, PB_GAUGE_IN_FLIGHT, -1);
	return rc;
}

struct pb_caller_server *
pb_new_caller_server(
    struct pb_context *ctx, struct pb_owner *owner, struct pb_node *node)
{
	struct pb_caller_server *server = calloc(1, sizeof(*server));

	if (server == NULL) {
		pb_set_error(ctx, PB_ENOMEM, "listen", node->boot.caller,
		    "out of memory");
		return NULL;
	}
	server->owner = owner;
	server->node = node;
	server->http = pb_new_strict_server(ctx, node->boot.caller,
	    node->boot.caller_threads, serve_caller, server);
	if (server->http == NULL) {
		free(server);
		return NULL;
	}
	return server;
}

void
pb_drop_caller_server(struct pb_context *ctx, struct pb_caller_server *server)
{
	(void)ctx;
	if (server == NULL)
		return;
	pb_drop_server(server->http);
	free(server);
}
