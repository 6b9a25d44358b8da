#include "serve.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX (8 << 20) /* bytes of a JSON request body */

struct mg_context *
serve_start(
    const char *address, int threads, mg_request_handler handler, void *arg)
{
	char thread_count[16];
	const char *options[] = {"listening_ports", address, "num_threads",
	    thread_count, "enable_keep_alive", "yes", "keep_alive_timeout_ms",
	    "5000", "tcp_nodelay", "1", "decode_url", "no", NULL};
	struct mg_callbacks cb;
	struct mg_context *mg;

	snprintf(thread_count, sizeof(thread_count), "%d", threads);
	memset(&cb, 0, sizeof(cb));
	mg_init_library(0);
	mg = mg_start(&cb, NULL, options);
	if (mg == NULL) {
		fprintf(stderr, "cannot listen on %s\n", address);
		exit(1);
	}
	mg_set_request_handler(mg, "/**", handler, arg);
	return mg;
}

void
serve_block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void
serve_until_signal(void)
{
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	printf("ready\n");
	fflush(stdout);
	sigwait(&set, &sig);
}

int
serve_send_json(struct mg_connection *conn, int status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	size_t len = text != NULL ? strlen(text) : 0;

	json_decref(value);
	mg_printf(conn,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, mg_get_response_code_text(conn, status), len);
	if (len > 0)
		mg_write(conn, text, len);
	free(text);
	return status;
}

int
serve_read_body(
    struct mg_connection *conn, size_t max_bytes, struct pb_buf *buf)
{
	char part[4096];
	int n;

	while ((n = mg_read(conn, part, sizeof(part))) > 0) {
		if (buf->len + (size_t)n > max_bytes)
			return PB_EINVAL;
		if (pb_append_buf(buf, part, (size_t)n) != PB_OK)
			return PB_ENOMEM;
	}
	return PB_OK;
}

json_t *
serve_read_json(struct mg_connection *conn)
{
	struct pb_buf buf = {0};
	json_t *value = NULL;

	if (serve_read_body(conn, BODY_MAX, &buf) == PB_OK && buf.len > 0)
		value = json_loadb(buf.data, buf.len, 0, NULL);
	pb_clear_buf(&buf);
	return value;
}

void
serve_begin_chunked(
    struct mg_connection *conn, const char *content_type, const char *headers)
{
	mg_printf(conn,
	    "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
	    "Transfer-Encoding: chunked\r\n%s\r\n",
	    content_type, headers);
}

int64_t
serve_now_us(void)
{
	struct pb_clock *clock = pb_system_clock();

	return clock->ops->now(clock);
}

void
serve_sleep_us(int64_t us)
{
	struct pb_clock *clock = pb_system_clock();

	if (us > 0)
		clock->ops->sleep(clock, us);
}
