#include "platform-server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LIST_ROWS_MAX 1000 /* maximum rows in one response */
/* The platform publishes no limit for its instance list. */
#define LIST_RATE 1e6

int64_t
platform_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static bool
take_tokens(struct platform_bucket *bucket, int cost)
{
	int64_t now = platform_now();
	double full = bucket->rate;

	bucket->tokens +=
	    (double)(now - bucket->filled_us) * 1e-6 * bucket->rate;
	if (bucket->tokens > full)
		bucket->tokens = full;
	bucket->filled_us = now;
	if (bucket->tokens < cost)
		return false;
	bucket->tokens -= cost;
	return true;
}

int
platform_admit(struct platform_server *server, enum platform_service service,
    struct platform_bucket *bucket, int cost)
{
	if (server->faults[service].refuse) {
		server->stats.refused++;
		return 503;
	}
	if (!take_tokens(bucket, cost)) {
		server->stats.limited++;
		return 429;
	}
	return 0;
}

void
platform_delay(struct platform_server *server, enum platform_service service)
{
	struct timespec ts;
	int ms;

	pthread_mutex_lock(&server->lock);
	ms = server->faults[service].slow_ms;
	pthread_mutex_unlock(&server->lock);
	if (ms <= 0)
		return;
	ts.tv_sec = ms / 1000;
	ts.tv_nsec = ms % 1000 * 1000000L;
	nanosleep(&ts, NULL);
}

/*
 * Uses up one of lose_answers, if any is left. Returns true if the response to
 * this write must be dropped. The caller holds the lock.
 */
static bool
consume_drop_fault(
    struct platform_server *server, enum platform_service service)
{
	if (server->faults[service].lose_answers <= 0)
		return false;
	server->faults[service].lose_answers--;
	server->stats.lost++;
	return true;
}

/* Closes the connection without a response. */
static int
close_without_response(struct mg_connection *conn)
{
	mg_disable_connection_keep_alive(conn);
	return 200;
}

/* Copies a query parameter into dst; dst is empty when it is absent. */
static void
read_query(struct mg_connection *conn, const char *name, char *dst, size_t cap)
{
	const char *query = mg_get_request_info(conn)->query_string;

	dst[0] = '\0';
	if (query != NULL &&
	    mg_get_var(query, strlen(query), name, dst, cap) < 0)
		dst[0] = '\0';
}

static json_t *
pack_row(const struct platform_row *row)
{
	return json_pack("{s:s,s:I,s:O}", "key", row->key, "version",
	    (json_int_t)row->version, "value", row->value);
}

static int
handle_row(struct mg_connection *conn, void *arg)
{
	struct platform_server *server = arg;
	const struct platform_row *row;
	char key[512];
	json_t *body = NULL;
	int status;

	read_query(conn, "key", key, sizeof(key));
	pthread_mutex_lock(&server->lock);
	status = platform_admit(
	    server, PLATFORM_TABLE, &server->reads[PLATFORM_TABLE], 1);
	if (status == 0) {
		server->stats.reads++;
		row = platform_find_row(&server->store.rows, key);
		if (row != NULL)
			body = pack_row(row);
		status = row != NULL ? 200 : 404;
	}
	pthread_mutex_unlock(&server->lock);
	platform_delay(server, PLATFORM_TABLE);
	if (body == NULL)
		return platform_send_error(conn, status, "no row");
	return platform_send_json(conn, status, body);
}

/* Returns the rows with the prefix whose keys are greater than after; the
 * caller holds the lock. */
static json_t *
collect_rows(struct platform_server *server, const char *prefix,
    const char *after, int limit)
{
	const struct platform_rows *rows = &server->store.rows;
	const char *from = strcmp(after, prefix) > 0 ? after : prefix;
	size_t i = platform_seek_row(rows, from);
	json_t *list = json_array();

	for (; i < rows->count && limit > 0; i++) {
		const struct platform_row *row = &rows->items[i];

		if (strncmp(row->key, prefix, strlen(prefix)) != 0)
			break;
		if (*after != '\0' && strcmp(row->key, after) <= 0)
			continue;
		json_array_append_new(list, pack_row(row));
		limit--;
	}
	return json_pack("{s:o}", "rows", list);
}

static int
handle_rows(struct mg_connection *conn, void *arg)
{
	struct platform_server *server = arg;
	char prefix[512], after[512], limit[16];
	json_t *body = NULL;
	long max;
	int status;

	read_query(conn, "prefix", prefix, sizeof(prefix));
	read_query(conn, "after", after, sizeof(after));
	read_query(conn, "limit", limit, sizeof(limit));
	max = limit[0] != '\0' ? strtol(limit, NULL, 10) : LIST_ROWS_MAX;
	if (max < 0 || max > LIST_ROWS_MAX)
		max = LIST_ROWS_MAX;
	pthread_mutex_lock(&server->lock);
	status = platform_admit(
	    server, PLATFORM_TABLE, &server->reads[PLATFORM_TABLE], 1);
	if (status == 0) {
		server->stats.reads++;
		body = collect_rows(server, prefix, after, (int)max);
	}
	pthread_mutex_unlock(&server->lock);
	platform_delay(server, PLATFORM_TABLE);
	if (status != 0)
		return platform_send_error(conn, status, "refused");
	return platform_send_json(conn, 200, body);
}

static json_t *
pack_outcome(int status, const char *conflict, uint64_t version)
{
	if (status == 200)
		return json_pack("{s:I}", "version", (json_int_t)version);
	if (status == 409)
		return json_pack("{s:s,s:I}", "conflict", conflict, "version",
		    (json_int_t)version);
	return json_pack("{s:s}", "error", "refused");
}

static int
handle_commit(struct mg_connection *conn, void *arg)
{
	struct platform_server *server = arg;
	json_t *commit = platform_read_json(conn), *body;
	int size = platform_commit_size(commit), status;
	const char *conflict = NULL;
	uint64_t version = 0;
	bool lost = false;

	if (size < 0) {
		json_decref(commit);
		return platform_send_error(conn, 400, "malformed commit");
	}
	pthread_mutex_lock(&server->lock);
	status = platform_admit(server, PLATFORM_TABLE,
	    &server->writes[PLATFORM_TABLE], size > 0 ? size : 1);
	if (status == 0) {
		status = platform_apply_commit(
		    &server->store, commit, &conflict, &version);
		if (status == 200)
			server->stats.writes += (uint64_t)size;
		else
			server->stats.conflicts++;
		lost =
		    status == 200 && consume_drop_fault(server, PLATFORM_TABLE);
	}
	pthread_mutex_unlock(&server->lock);
	body = pack_outcome(status, conflict, version);
	json_decref(commit);
	platform_delay(server, PLATFORM_TABLE);
	if (lost) {
		json_decref(body);
		return close_without_response(conn);
	}
	return platform_send_json(conn, status, body);
}

static int
get_object(
    struct mg_connection *conn, struct platform_server *server, const char *key)
{
	const struct platform_row *row;
	json_t *value = NULL;
	int status;

	pthread_mutex_lock(&server->lock);
	status = platform_admit(
	    server, PLATFORM_OBJECTS, &server->reads[PLATFORM_OBJECTS], 1);
	if (status == 0) {
		server->stats.reads++;
		row = platform_find_row(&server->store.objects, key);
		value = row != NULL ? json_incref(row->value) : NULL;
		status = row != NULL ? 200 : 404;
	}
	pthread_mutex_unlock(&server->lock);
	platform_delay(server, PLATFORM_OBJECTS);
	if (value == NULL)
		return platform_send_error(conn, status, "no object");
	platform_send(conn, 200, "application/octet-stream",
	    json_string_value(value), json_string_length(value));
	json_decref(value);
	return 200;
}

static int
put_object(
    struct mg_connection *conn, struct platform_server *server, const char *key)
{
	size_t len = 0;
	char *data = platform_read_body(conn, &len);
	json_t *value = data != NULL ? json_stringn_nocheck(data, len) : NULL;
	bool lost = false;
	int status;

	free(data);
	if (value == NULL)
		return platform_send_error(conn, 413, "object too large");
	pthread_mutex_lock(&server->lock);
	status = platform_admit(
	    server, PLATFORM_OBJECTS, &server->writes[PLATFORM_OBJECTS], 1);
	if (status == 0) {
		server->stats.writes++;
		if (!platform_put_row(
			&server->store.objects, key, 1, json_incref(value)))
			abort();
		lost = consume_drop_fault(server, PLATFORM_OBJECTS);
	}
	json_decref(value);
	pthread_mutex_unlock(&server->lock);
	platform_delay(server, PLATFORM_OBJECTS);
	if (lost)
		return close_without_response(conn);
	if (status != 0)
		return platform_send_error(conn, status, "refused");
	return platform_send_json(conn, 200, json_object());
}

static int
handle_objects(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	const char *key = ri->local_uri + strlen("/objects/v1/");

	if (strncmp(ri->local_uri, "/objects/v1/", 12) != 0 || *key == '\0')
		return platform_send_error(conn, 404, "no key");
	if (strcmp(ri->request_method, "GET") == 0)
		return get_object(conn, arg, key);
	if (strcmp(ri->request_method, "PUT") == 0)
		return put_object(conn, arg, key);
	return platform_send_error(conn, 405, "GET or PUT");
}

void
platform_init_server(
    struct platform_server *server, double reads, double writes)
{
	int i;

	memset(server, 0, sizeof(*server));
	pthread_mutex_init(&server->lock, NULL);
	platform_init_store(&server->store);
	for (i = 0; i < PLATFORM_SERVICES; i++) {
		bool no_limit = i == PLATFORM_INSTANCES;

		server->reads[i].rate = no_limit ? LIST_RATE : reads;
		server->writes[i].rate = no_limit ? LIST_RATE : writes;
		server->reads[i].tokens = server->reads[i].rate;
		server->writes[i].tokens = server->writes[i].rate;
		server->reads[i].filled_us = platform_now();
		server->writes[i].filled_us = platform_now();
	}
}

bool
platform_start_server(
    struct platform_server *server, const char *ports, int threads)
{
	struct mg_callbacks callbacks = {0};
	char count[16];
	const char *options[] = {"listening_ports", ports, "num_threads", count,
	    "enable_keep_alive", "yes", "keep_alive_timeout_ms", "500",
	    "request_timeout_ms", "10000", "tcp_nodelay", "1", NULL};

	snprintf(count, sizeof(count), "%d", threads);
	server->http = mg_start(&callbacks, server, options);
	if (server->http == NULL)
		return false;
	mg_set_request_handler(
	    server->http, "/table/v1/row$", handle_row, server);
	mg_set_request_handler(
	    server->http, "/table/v1/rows$", handle_rows, server);
	mg_set_request_handler(
	    server->http, "/table/v1/commit$", handle_commit, server);
	mg_set_request_handler(
	    server->http, "/objects/v1", handle_objects, server);
	mg_set_request_handler(
	    server->http, "/instances/v1", platform_handle_instances, server);
	mg_set_request_handler(
	    server->http, "/control", platform_handle_control, server);
	return true;
}

void
platform_stop_server(struct platform_server *server)
{
	if (server->http != NULL)
		mg_stop(server->http);
	platform_clear_store(&server->store);
	pthread_mutex_destroy(&server->lock);
}
