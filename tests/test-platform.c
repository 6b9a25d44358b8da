#include "poplarbeam/platform.h"

#include "run-suite.h"
#include <civetweb.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Tests the HTTP clients of the platform's services against a server in the
 * same process, whose response each test sets. Guards against wrong result
 * codes: if a lost response were reported as "nothing written", the caller
 * could write twice.
 */

#define TIMEOUT_US (300 * PB_MSEC)
#define THREADS 8
#define CALLS 50 /* per thread */

/* How the server responds. */
enum reply_mode {
	REPLY_COMPLETE, /* status and body */
	REPLY_NONE, /* closes the connection after reading the request */
	REPLY_TRUNCATED, /* sends fewer bytes than its Content-Length */
	REPLY_DELAYED, /* responds after the client's timeout */
	REPLY_OVERSIZED, /* sends more bytes than any client accepts */
	REPLY_CLOSE_REUSED /* closes a connection at its second request */
};

static struct {
	pthread_mutex_t lock;
	enum reply_mode mode;
	int status;
	const char *body;
	int requests;
	int connections;
	char method[16];
	char target[300];
	char received[512];
} server = {.lock = PTHREAD_MUTEX_INITIALIZER};

static struct pb_context *ctx;
static struct mg_context *http;
static char base[64];
static struct pb_table *table;

static void
send_reply(struct mg_connection *conn, int status, const char *body)
{
	mg_printf(conn,
	    "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, strlen(body), body);
}

static void
send_oversized(struct mg_connection *conn)
{
	char block[4096];
	int i;

	memset(block, ' ', sizeof(block));
	mg_printf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
	for (i = 0; i < 5000; i++) /* 20 MB */
		if (mg_write(conn, block, sizeof(block)) <= 0)
			return;
}

static void
record_request(struct mg_connection *conn)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	int n;

	server.requests++;
	snprintf(
	    server.method, sizeof(server.method), "%s", ri->request_method);
	snprintf(server.target, sizeof(server.target), "%s?%s", ri->request_uri,
	    ri->query_string != NULL ? ri->query_string : "");
	n = mg_read(conn, server.received, sizeof(server.received) - 1);
	server.received[n > 0 ? n : 0] = '\0';
}

static int
handle_request(struct mg_connection *conn, void *arg)
{
	enum reply_mode mode;
	const char *body;
	int status;

	(void)arg;
	pthread_mutex_lock(&server.lock);
	record_request(conn);
	mode = server.mode;
	status = server.status;
	body = server.body;
	if (mode == REPLY_CLOSE_REUSED) {
		int served = mg_get_user_connection_data(conn) != NULL;

		mg_set_user_connection_data(conn, &server);
		mode = served ? REPLY_NONE : REPLY_COMPLETE;
	}
	pthread_mutex_unlock(&server.lock);
	switch (mode) {
	case REPLY_TRUNCATED:
		mg_printf(conn,
		    "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n%s", body);
		mg_disable_connection_keep_alive(conn);
		break;
	case REPLY_DELAYED:
		usleep(2 * TIMEOUT_US);
		send_reply(conn, status, body);
		break;
	case REPLY_OVERSIZED:
		send_oversized(conn);
		mg_disable_connection_keep_alive(conn);
		break;
	case REPLY_COMPLETE:
		send_reply(conn, status, body);
		break;
	case REPLY_NONE:
	default:
		mg_disable_connection_keep_alive(conn);
		break;
	}
	return 200;
}

static int
count_connection(const struct mg_connection *conn, void **data)
{
	(void)conn;
	*data = NULL;
	pthread_mutex_lock(&server.lock);
	server.connections++;
	pthread_mutex_unlock(&server.lock);
	return 0;
}

static void
set_reply(enum reply_mode mode, int status, const char *body)
{
	pthread_mutex_lock(&server.lock);
	server.mode = mode;
	server.status = status;
	server.body = body;
	server.requests = 0;
	server.connections = 0;
	pthread_mutex_unlock(&server.lock);
}

/* Makes the data recorded by the server's threads visible to this thread. */
static void
sync_server(void)
{
	pthread_mutex_lock(&server.lock);
	pthread_mutex_unlock(&server.lock);
}

static int
get_row(struct pb_table *t, const char *key, struct pb_row *row)
{
	int rc = t->ops->get(ctx, t, key, row);

	sync_server();
	return rc;
}

static int
commit_row(struct pb_table *t)
{
	int rc;
	struct pb_table_check check = {"a/b", 3};
	struct pb_table_put put = {"a/b", pb_str_from("{\"x\":[1]}")};
	static const char *const deletes[] = {"c"};
	struct pb_table_commit c = {&check, 1, &put, 1, deletes, 1};

	rc = t->ops->commit(ctx, t, &c);
	sync_server();
	return rc;
}

/* Guards against requests that differ from the platform's wire format. */
static void
test_wire_format(void)
{
	struct pb_row row;

	set_reply(REPLY_COMPLETE, 200, "{\"version\":4}");
	CU_ASSERT_EQUAL(commit_row(table), PB_OK);
	CU_ASSERT_STRING_EQUAL(server.method, "POST");
	CU_ASSERT_STRING_EQUAL(server.target, "/table/v1/commit?");
	CU_ASSERT_STRING_EQUAL(server.received,
	    "{\"checks\":[{\"key\":\"a/b\",\"version\":3}],"
	    "\"puts\":[{\"key\":\"a/b\",\"value\":{\"x\":[1]}}],"
	    "\"deletes\":[\"c\"]}");
	set_reply(REPLY_COMPLETE, 200,
	    "{\"key\":\"a/b &\",\"version\":7,\"value\":{\"x\":1.5}}");
	CU_ASSERT_EQUAL(get_row(table, "a/b &", &row), PB_OK);
	CU_ASSERT_STRING_EQUAL(server.target, "/table/v1/row?key=a%2Fb%20%26");
	CU_ASSERT_EQUAL(row.version, 7);
	CU_ASSERT_STRING_EQUAL(row.value.data, "{\"x\":1.5}");
	pb_clear_row(&row);
}

/* Guards against reporting an unknown outcome of a commit as known. */
static void
test_commit_codes(void)
{
	static const struct {
		enum reply_mode mode;
		int status;
		int code;
	} cases[] = {
	    {REPLY_COMPLETE, 200, PB_OK},
	    {REPLY_COMPLETE, 409, PB_ECONFLICT},
	    {REPLY_COMPLETE, 429, PB_EBUSY},
	    {REPLY_COMPLETE, 503, PB_EUNAVAIL},
	    {REPLY_COMPLETE, 400, PB_EINVAL},
	    {REPLY_COMPLETE, 404, PB_EINVAL},
	    {REPLY_COMPLETE, 500, PB_EUNKNOWN},
	    {REPLY_COMPLETE, 504, PB_EUNKNOWN},
	    {REPLY_COMPLETE, 302, PB_EUNKNOWN},
	    {REPLY_NONE, 0, PB_EUNKNOWN},
	    {REPLY_TRUNCATED, 200, PB_EUNKNOWN},
	    {REPLY_DELAYED, 200, PB_EUNKNOWN},
	    {REPLY_OVERSIZED, 200, PB_EUNKNOWN},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int rc;

		set_reply(cases[i].mode, cases[i].status, "{}");
		rc = commit_row(table);
		if (rc != cases[i].code)
			printf("case %zu: %s\n", i, pb_code_name(rc));
		CU_ASSERT_EQUAL(rc, cases[i].code);
		CU_ASSERT_EQUAL(server.requests, 1);
		if (rc == PB_OK)
			continue;
		CU_ASSERT_STRING_EQUAL(ctx->error.step, "table-commit");
		CU_ASSERT_STRING_EQUAL(ctx->error.peer, base + 7);
	}
}

/* Guards against a write that is sent twice over a reused connection. */
static void
test_no_resend(void)
{
	struct pb_row row;
	int i;

	set_reply(REPLY_CLOSE_REUSED, 200,
	    "{\"key\":\"k\",\"version\":1,\"value\":1}");
	for (i = 0; i < 6; i++) {
		/* The read leaves an idle connection in the pool. */
		CU_ASSERT_EQUAL(get_row(table, "k", &row), PB_OK);
		pb_clear_row(&row);
		pthread_mutex_lock(&server.lock);
		server.requests = 0;
		pthread_mutex_unlock(&server.lock);
		CU_ASSERT_EQUAL(commit_row(table), PB_OK);
		CU_ASSERT_EQUAL(server.requests, 1);
	}
}

/* Guards against reads that accept a malformed response as a row. */
static void
test_read_codes(void)
{
	static const struct {
		enum reply_mode mode;
		int status;
		const char *body;
		int code;
	} cases[] = {
	    {REPLY_COMPLETE, 404, "{}", PB_ENOENT},
	    {REPLY_COMPLETE, 429, "{}", PB_EBUSY},
	    {REPLY_COMPLETE, 503, "{}", PB_EUNAVAIL},
	    {REPLY_COMPLETE, 500, "{}", PB_EPROTO},
	    {REPLY_COMPLETE, 200, "[1]", PB_EPROTO},
	    {REPLY_COMPLETE, 200, "{\"key\":\"k\"", PB_EPROTO},
	    {REPLY_COMPLETE, 200, "{\"key\":\"k\",\"version\":1}", PB_EPROTO},
	    {REPLY_COMPLETE, 200, "{\"key\":\"j\",\"version\":1,\"value\":1}",
		PB_EPROTO},
	    {REPLY_COMPLETE, 200, "{\"key\":\"k\",\"version\":0,\"value\":1}",
		PB_EPROTO},
	    {REPLY_NONE, 0, "", PB_EUNAVAIL},
	    {REPLY_TRUNCATED, 200, "{\"key\":\"k\",\"version\":1,\"value\":1}",
		PB_EUNAVAIL},
	    {REPLY_DELAYED, 200, "{}", PB_ETIMEDOUT},
	    {REPLY_OVERSIZED, 200, "", PB_EPROTO},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pb_row row;
		int rc;

		set_reply(cases[i].mode, cases[i].status, cases[i].body);
		rc = get_row(table, "k", &row);
		if (rc != cases[i].code)
			printf("case %zu: %s\n", i, pb_code_name(rc));
		CU_ASSERT_EQUAL(rc, cases[i].code);
		CU_ASSERT_PTR_NULL(row.value.data);
		pb_clear_row(&row);
	}
}

/* Guards against reporting an unreachable platform as an unknown outcome. */
static void
test_unreachable(void)
{
	struct pb_table *t =
	    pb_new_http_table(ctx, "http://127.0.0.1:1", TIMEOUT_US);
	struct pb_row row;

	CU_ASSERT_EQUAL(commit_row(t), PB_EUNAVAIL);
	CU_ASSERT_STRING_EQUAL(ctx->error.peer, "127.0.0.1:1");
	CU_ASSERT_EQUAL(get_row(t, "k", &row), PB_EUNAVAIL);
	t->ops->drop(ctx, t);
}

static void
append_version(void *arg, const struct pb_row *row)
{
	*(uint64_t *)arg = *(uint64_t *)arg * 10 + row->version;
}

/* Guards against accepting an incomplete page without an error. */
static void
test_list(void)
{
	uint64_t versions = 0;

	set_reply(REPLY_COMPLETE, 200,
	    "{\"rows\":[{\"key\":\"p/1\",\"version\":3,\"value\":1},"
	    "{\"key\":\"p/2\",\"version\":4,\"value\":null}]}");
	CU_ASSERT_EQUAL(table->ops->list(ctx, table, "p/", "p/0", 5,
			    append_version, &versions),
	    PB_OK);
	sync_server();
	CU_ASSERT_EQUAL(versions, 34);
	CU_ASSERT_STRING_EQUAL(
	    server.target, "/table/v1/rows?prefix=p%2F&limit=5&after=p%2F0");
	set_reply(REPLY_COMPLETE, 200, "{\"rows\":[{\"key\":\"p/1\"}]}");
	CU_ASSERT_EQUAL(table->ops->list(
			    ctx, table, "p/", "", 5, append_version, &versions),
	    PB_EPROTO);
	set_reply(REPLY_COMPLETE, 200, "{}");
	CU_ASSERT_EQUAL(table->ops->list(
			    ctx, table, "p/", "", 5, append_version, &versions),
	    PB_EPROTO);
}

/* Guards against dropping the whole list because of one malformed entry. */
static void
test_instances(void)
{
	struct pb_instances *list =
	    pb_new_http_instances(ctx, base, TIMEOUT_US);
	struct pb_instance *in = NULL;
	size_t count = 9;

	set_reply(REPLY_COMPLETE, 200,
	    "{\"instances\":[{\"id\":\"r1\",\"role\":\"router\","
	    "\"state\":\"live\",\"address\":\"h:1\",\"peer\":\"h:2\","
	    "\"incarnation\":5},{\"id\":\"bad\",\"role\":\"cook\","
	    "\"state\":\"live\",\"address\":\"h:1\"},"
	    "{\"id\":\"e1\",\"role\":\"upstream\",\"service\":\"m\","
	    "\"state\":\"leaving\",\"address\":\"h:3\"}]}");
	CU_ASSERT_EQUAL(list->ops->fetch(ctx, list, &in, &count), PB_OK);
	CU_ASSERT_EQUAL_FATAL(count, 2);
	CU_ASSERT_EQUAL(in[0].role, PB_ROLE_ROUTER);
	CU_ASSERT_EQUAL(in[0].incarnation, 5);
	CU_ASSERT_STRING_EQUAL(in[0].peer, "h:2");
	CU_ASSERT(in[1].leaving && in[1].role == PB_ROLE_UPSTREAM);
	CU_ASSERT_STRING_EQUAL(in[1].service, "m");
	free(in);
	set_reply(REPLY_TRUNCATED, 200, "{\"instances\":[]}");
	CU_ASSERT_EQUAL(list->ops->fetch(ctx, list, &in, &count), PB_EUNAVAIL);
	CU_ASSERT(in == NULL && count == 0);
	set_reply(REPLY_COMPLETE, 200, "{}");
	CU_ASSERT_EQUAL(list->ops->fetch(ctx, list, &in, &count), PB_EPROTO);
	free(in);
	list->ops->drop(ctx, list);
}

/* Guards against keys and bodies of objects that change in transit. */
static void
test_objects(void)
{
	struct pb_objects *objects = pb_new_http_objects(ctx, base, TIMEOUT_US);
	struct pb_buf out = {0};

	set_reply(REPLY_COMPLETE, 200, "body");
	CU_ASSERT_EQUAL(
	    objects->ops->put(ctx, objects, "a/b c?d%20", pb_str_from("v{")),
	    PB_OK);
	sync_server();
	CU_ASSERT_STRING_EQUAL(server.method, "PUT");
	/* CivetWeb returns the decoded path. */
	CU_ASSERT_STRING_EQUAL(server.target, "/objects/v1/a/b c?d%20?");
	CU_ASSERT_STRING_EQUAL(server.received, "v{");
	CU_ASSERT_EQUAL(objects->ops->get(ctx, objects, "a", &out), PB_OK);
	CU_ASSERT_STRING_EQUAL(out.data, "body");
	set_reply(REPLY_NONE, 0, "");
	CU_ASSERT_EQUAL(
	    objects->ops->put(ctx, objects, "a", PB_STR_NONE), PB_EUNKNOWN);
	set_reply(REPLY_COMPLETE, 404, "");
	CU_ASSERT_EQUAL(objects->ops->get(ctx, objects, "a", &out), PB_ENOENT);
	pb_clear_buf(&out);
	objects->ops->drop(ctx, objects);
}

static void *
read_many(void *arg)
{
	struct pb_context *c = pb_new_context(pb_system_clock(), NULL);
	int *failed = arg;
	int i;

	for (i = 0; i < CALLS; i++) {
		struct pb_row row;

		if (table->ops->get(c, table, "k", &row) != PB_OK)
			(*failed)++;
		pb_clear_row(&row);
	}
	pb_drop_context(c);
	return NULL;
}

/*
 * Guards against data races in the connection pool and against a new connection
 * for each read.
 */
static void
test_threads(void)
{
	pthread_t threads[THREADS];
	int failed[THREADS] = {0}, i;

	set_reply(
	    REPLY_COMPLETE, 200, "{\"key\":\"k\",\"version\":1,\"value\":1}");
	for (i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, read_many, &failed[i]);
	for (i = 0; i < THREADS; i++) {
		pthread_join(threads[i], NULL);
		CU_ASSERT_EQUAL(failed[i], 0);
	}
	sync_server();
	CU_ASSERT_EQUAL(server.requests, THREADS * CALLS);
	CU_ASSERT(server.connections <= 3 * THREADS);
}

static bool
start_server(void)
{
	static const char *const options[] = {"listening_ports", "127.0.0.1:0",
	    "num_threads", "40", "enable_keep_alive", "yes",
	    "keep_alive_timeout_ms", "5000", "tcp_nodelay", "1", NULL};
	struct mg_callbacks callbacks = {.init_connection = count_connection};
	struct mg_server_port port;

	http = mg_start(&callbacks, NULL, (const char **)options);
	if (http == NULL || mg_get_server_ports(http, 1, &port) != 1)
		return false;
	snprintf(base, sizeof(base), "http://127.0.0.1:%d", port.port);
	mg_set_request_handler(http, "/", handle_request, NULL);
	ctx = pb_new_context(pb_system_clock(), NULL);
	table = pb_new_http_table(ctx, base, TIMEOUT_US);
	return table != NULL;
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"wire format", test_wire_format},
	    {"commit codes", test_commit_codes}, {"no resend", test_no_resend},
	    {"read codes", test_read_codes}, {"unreachable", test_unreachable},
	    {"list", test_list}, {"instances", test_instances},
	    {"objects", test_objects}, {"threads", test_threads},
	    CU_TEST_INFO_NULL};
	int rc;

	if (!start_server())
		return 2;
	rc = run_suite("platform", tests);
	table->ops->drop(ctx, table);
	mg_stop(http);
	pb_drop_context(ctx);
	return rc;
}
