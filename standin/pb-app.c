/*
 * Stand-in for a plain application: echoes every request in the response and
 * counts the executions of each POST body, so that a test can detect a request
 * that was executed twice.
 */
#include "serve.h"

#include <argtable2.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct app {
	pthread_mutex_t lock;
	const char *id;
	int64_t delay_us;
	const char *header; /* line added to response heads; may be NULL */
	bool leaving;
	int running; /* requests in progress */
	json_t *runs; /* {body: executions} */
	int64_t total;
};

static int64_t
record_run(struct app *a, const char *body)
{
	int64_t n;

	pthread_mutex_lock(&a->lock);
	n = json_integer_value(json_object_get(a->runs, body)) + 1;
	json_object_set_new(a->runs, body, json_integer(n));
	a->total++;
	pthread_mutex_unlock(&a->lock);
	return n;
}

/* Sends the run number in a response with the additional header line. */
static int
send_with_header(struct app *a, struct mg_connection *conn, int64_t n)
{
	mg_printf(conn,
	    "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 7\r\n\r\nrun %3d",
	    a->header, (int)(n % 1000));
	return 200;
}

static int
handle_call(struct app *a, struct mg_connection *conn)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct pb_buf body = {0};
	const char *text;
	int64_t n = 0;
	int rc;

	if (serve_read_body(conn, 1 << 20, &body) != PB_OK) {
		pb_clear_buf(&body);
		mg_send_http_error(conn, 413, "%s", "body too large");
		return 413;
	}
	text = body.data != NULL ? body.data : "";
	if (strcmp(ri->request_method, "POST") == 0)
		n = record_run(a, text);
	serve_sleep_us(a->delay_us);
	if (a->header != NULL) {
		pb_clear_buf(&body);
		return send_with_header(a, conn, n);
	}
	rc = serve_send_json(conn, 200,
	    json_pack("{s:s,s:s,s:s,s:s?,s:s,s:I}", "instance", a->id, "method",
		ri->request_method, "path", ri->request_uri, "query",
		ri->query_string, "body", text, "run", (json_int_t)n));
	pb_clear_buf(&body);
	return rc;
}

static int
handle_load(struct app *a, struct mg_connection *conn)
{
	json_t *v;

	pthread_mutex_lock(&a->lock);
	v = json_pack("{s:s,s:i,s:i,s:i,s:i,s:f,s:i,s:b}", "instance", a->id,
	    "running", a->running, "waiting", 0, "work", a->running, "capacity",
	    64, "throttle", 1.0, "age_ms", 0, "leaving", (int)a->leaving);
	pthread_mutex_unlock(&a->lock);
	return serve_send_json(conn, 200, v);
}

static int
handle_runs(struct app *a, struct mg_connection *conn)
{
	json_t *v;

	pthread_mutex_lock(&a->lock);
	v = json_pack("{s:I,s:O}", "total", (json_int_t)a->total, "runs",
	    json_deep_copy(a->runs));
	pthread_mutex_unlock(&a->lock);
	return serve_send_json(conn, 200, v);
}

static int
handle_request(struct mg_connection *conn, void *arg)
{
	const char *uri = mg_get_request_info(conn)->local_uri;
	struct app *a = arg;
	int rc;

	if (strcmp(uri, "/v1/load") == 0)
		return handle_load(a, conn);
	if (strcmp(uri, "/control/runs") == 0)
		return handle_runs(a, conn);
	pthread_mutex_lock(&a->lock);
	a->running++;
	pthread_mutex_unlock(&a->lock);
	rc = handle_call(a, conn);
	pthread_mutex_lock(&a->lock);
	a->running--;
	pthread_mutex_unlock(&a->lock);
	return rc;
}

int
main(int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, "id", "NAME", "instance id");
	struct arg_str *listen = arg_str1(NULL, "listen", "ADDR", "host:port");
	struct arg_int *delay = arg_int0(
	    NULL, "delay-ms", "MS", "execution time of a request (default 5)");
	struct arg_str *header =
	    arg_str0(NULL, "header", "LINE", "header line added to responses");
	struct arg_end *end = arg_end(4);
	void *table[] = {id, listen, delay, header, end};
	struct mg_context *mg;
	struct app a;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "pb-app");
		arg_print_glossary(stderr, table, "  %-20s %s\n");
		return 1;
	}
	memset(&a, 0, sizeof(a));
	pthread_mutex_init(&a.lock, NULL);
	a.id = id->sval[0];
	a.delay_us = (delay->count ? delay->ival[0] : 5) * PB_MSEC;
	a.header = header->count ? header->sval[0] : NULL;
	a.runs = json_object();
	serve_block_signals();
	mg = serve_start(listen->sval[0], 64, handle_request, &a);
	serve_until_signal();
	a.leaving = true;
	mg_stop(mg);
	json_decref(a.runs);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}
