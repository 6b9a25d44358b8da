#include "platform-server.h"

#include <string.h>

#include "poplarbeam/base.h"

static const char *const service_names[PLATFORM_SERVICES] = {
    "table", "objects", "instances"};

/*
 * Sets the faults that are present in root; returns false when one has the
 * wrong type. lose_answers is set only if may_lose is true: a request that
 * names no service sets it for commits to the table alone.
 */
static bool
set_faults(const json_t *root, struct platform_faults *faults, bool may_lose)
{
	const json_t *slow = json_object_get(root, "slow_ms");
	const json_t *refuse = json_object_get(root, "refuse");
	const json_t *lose = json_object_get(root, "lose_answers");

	if ((slow != NULL && !json_is_integer(slow)) ||
	    (refuse != NULL && !json_is_boolean(refuse)) ||
	    (lose != NULL && !json_is_integer(lose)))
		return false;
	if (slow != NULL)
		faults->slow_ms = (int)json_integer_value(slow);
	if (refuse != NULL)
		faults->refuse = json_is_true(refuse);
	if (lose != NULL && may_lose)
		faults->lose_answers = (int)json_integer_value(lose);
	return true;
}

static int
post_faults(struct mg_connection *conn, struct platform_server *server)
{
	json_t *root = platform_read_json(conn);
	const char *service =
	    json_string_value(json_object_get(root, "surface"));
	const json_t *lag = json_object_get(root, "lag_ms");
	bool ok = json_is_object(root) && (lag == NULL || json_is_integer(lag));
	int i, matches = 0;

	pthread_mutex_lock(&server->lock);
	for (i = 0; i < PLATFORM_SERVICES && ok; i++) {
		if (service != NULL && strcmp(service, service_names[i]) != 0)
			continue;
		ok = set_faults(root, &server->faults[i],
		    service != NULL || i == PLATFORM_TABLE);
		matches++;
	}
	if (ok && lag != NULL)
		server->lag_ms = (int)json_integer_value(lag);
	pthread_mutex_unlock(&server->lock);
	json_decref(root);
	if (!ok || matches == 0)
		return platform_send_error(conn, 400, "malformed faults");
	return platform_send_json(conn, 200, json_object());
}

static int
get_stats(struct mg_connection *conn, struct platform_server *server)
{
	struct platform_stats s;
	size_t rows;

	pthread_mutex_lock(&server->lock);
	s = server->stats;
	rows = server->store.rows.count;
	pthread_mutex_unlock(&server->lock);
	return platform_send_json(conn, 200,
	    json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "reads",
		(json_int_t)s.reads, "writes", (json_int_t)s.writes,
		"conflicts", (json_int_t)s.conflicts, "limited",
		(json_int_t)s.limited, "refused", (json_int_t)s.refused, "lost",
		(json_int_t)s.lost, "rows", (json_int_t)rows));
}

int
platform_handle_control(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);

	if (strcmp(ri->local_uri, "/control/stats") == 0 &&
	    strcmp(ri->request_method, "GET") == 0)
		return get_stats(conn, arg);
	if (strcmp(ri->local_uri, "/control/faults") == 0 &&
	    strcmp(ri->request_method, "POST") == 0)
		return post_faults(conn, arg);
	return platform_send_error(conn, 404, "no such control");
}

/* Sends body with an ETag, or 304 when If-None-Match has the same ETag. */
static int
send_with_etag(struct mg_connection *conn, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	const char *client_etag = mg_get_header(conn, "If-None-Match");
	char etag[24];

	json_decref(body);
	if (text == NULL)
		return platform_send_error(conn, 500, "out of memory");
	snprintf(etag, sizeof(etag), "\"%016llx\"",
	    (unsigned long long)pb_hash_cstr(text, 0));
	if (client_etag != NULL && strcmp(client_etag, etag) == 0) {
		mg_printf(conn, "HTTP/1.1 304 Not Modified\r\nETag: %s\r\n\r\n",
		    etag);
		free(text);
		return 304;
	}
	mg_printf(conn,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "ETag: %s\r\nContent-Length: %zu\r\n\r\n",
	    etag, strlen(text));
	mg_write(conn, text, strlen(text));
	free(text);
	return 200;
}

static int
get_instances(struct mg_connection *conn, struct platform_server *server)
{
	json_t *list = NULL;
	int status;

	pthread_mutex_lock(&server->lock);
	status = platform_admit(
	    server, PLATFORM_INSTANCES, &server->reads[PLATFORM_INSTANCES], 1);
	if (status == 0) {
		server->stats.reads++;
		list = platform_list_instances(&server->store, platform_now());
	}
	pthread_mutex_unlock(&server->lock);
	platform_delay(server, PLATFORM_INSTANCES);
	if (status != 0)
		return platform_send_error(conn, status, "refused");
	return send_with_etag(conn, list);
}

static int
edit_instance(struct mg_connection *conn, struct platform_server *server,
    const char *id, json_t *entry)
{
	bool ok;

	pthread_mutex_lock(&server->lock);
	ok = platform_edit_instance(&server->store, id, entry,
	    platform_now() + server->lag_ms * INT64_C(1000));
	pthread_mutex_unlock(&server->lock);
	if (!ok)
		return platform_send_error(conn, 400, "bad id");
	return platform_send_json(conn, 200, json_object());
}

/* Returns true if the entry has the members that readers of the instance list
 * require, and the given id. */
static bool
check_entry(const json_t *entry, const char *id)
{
	static const char *const required[] = {"role", "state", "address"};
	const char *entry_id = json_string_value(json_object_get(entry, "id"));
	size_t i;

	for (i = 0; i < sizeof(required) / sizeof(required[0]); i++)
		if (!json_is_string(json_object_get(entry, required[i])))
			return false;
	return entry_id != NULL && strcmp(entry_id, id) == 0;
}

int
platform_handle_instances(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	const char *id = ri->local_uri + strlen("/instances/v1");
	json_t *entry;

	if (*id == '\0' && strcmp(ri->request_method, "GET") == 0)
		return get_instances(conn, arg);
	if (id[0] != '/' || id[1] == '\0')
		return platform_send_error(conn, 404, "no such instance");
	id++;
	if (strcmp(ri->request_method, "DELETE") == 0)
		return edit_instance(conn, arg, id, NULL);
	if (strcmp(ri->request_method, "PUT") != 0)
		return platform_send_error(conn, 405, "PUT or DELETE");
	entry = platform_read_json(conn);
	if (!check_entry(entry, id)) {
		json_decref(entry);
		return platform_send_error(conn, 400, "malformed instance");
	}
	return edit_instance(conn, arg, id, entry);
}
