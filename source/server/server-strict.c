#include "poplarbeam/http.h"
#include "poplarbeam/server.h"

#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * HTTP server based on the strict HTTP message reader. A request whose end is
 * not determined unambiguously is rejected and its connection is closed.
 */

#define BACKLOG 1024 /* connections */
#define HEAD_MAX 16384 /* bytes */
#define INPUT_MAX 16384 /* bytes read from the socket per call */
#define IDLE_TIMEOUT_MS 2000 /* until the first byte of a request */
#define HEAD_TIMEOUT_MS 10000 /* from the first to the last byte of a head */
#define BODY_TIMEOUT_MS 30000 /* between two reads of a body */
#define WRITE_TIMEOUT_MS 30000 /* while the caller accepts no data */
#define LINGER_MS 500 /* for discarding input before the close */
#define SKIP_MAX (1 << 20) /* bytes of a body that the handler left unread */

struct strict_server {
	struct pb_server base;
	struct pb_clock *clock;
	struct pb_log *log;
	pb_serve_fn *fn;
	void *arg;
	int fd;
	atomic_bool stopping;
	pthread_mutex_t lock; /* protects conns */
	struct strict_conn *conns;
	int thread_count;
	pthread_t threads[];
};

/* A connection and its current request. */
struct strict_conn {
	struct pb_inbound_request in;
	struct strict_server *server;
	struct pb_context *ctx;
	int fd;
	char peer[INET6_ADDRSTRLEN];
	struct pb_http_reader reader;
	struct pb_arena *arena; /* for the current request */
	char input[INPUT_MAX];
	size_t input_at, input_len;
	struct pb_buf body; /* received, not yet passed to the handler */
	size_t body_at;
	bool expects_continue; /* sends the body after 100 Continue */
	struct strict_conn *next;
};

static bool
write_strict(struct pb_inbound_request *in, const void *data, size_t len)
{
	struct strict_conn *c = (struct strict_conn *)in;
	const char *p = data;

	while (len > 0) {
		ssize_t n = send(c->fd, p, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

/*
 * Waits for input. Returns false if none arrives within wait_ms or the
 * connection has ended.
 */
static bool
receive_input(struct strict_conn *c, int64_t wait_ms)
{
	struct pollfd p = {.fd = c->fd, .events = POLLIN};
	ssize_t n;

	if (wait_ms <= 0 || poll(&p, 1, (int)wait_ms) <= 0)
		return false;
	n = recv(c->fd, c->input, sizeof(c->input), 0);
	if (n <= 0)
		return false;
	c->input_at = 0;
	c->input_len = (size_t)n;
	return true;
}

static void
feed_reader(struct strict_conn *c)
{
	c->input_at += pb_feed_http(
	    &c->reader, c->input + c->input_at, c->input_len - c->input_at);
}

static void
append_body(struct pb_http_reader *reader, struct pb_str part)
{
	struct strict_conn *c = reader->owner;

	if (pb_append_buf(&c->body, part.data, part.len) != PB_OK)
		reader->error = PB_HTTP_BODY_TOO_LARGE;
}

static void
send_continue(struct strict_conn *c)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (c->expects_continue)
		write_strict(&c->in, line, sizeof(line) - 1);
	c->expects_continue = false;
}

static int
read_strict(struct pb_inbound_request *in, void *buf, size_t cap)
{
	struct strict_conn *c = (struct strict_conn *)in;
	size_t n;

	while (c->body_at == c->body.len) {
		c->body.len = 0;
		c->body_at = 0;
		if (c->reader.complete)
			return 0;
		if (c->reader.error != PB_HTTP_OK)
			return -1;
		if (c->input_at == c->input_len) {
			send_continue(c);
			if (!receive_input(c, BODY_TIMEOUT_MS))
				return -1;
		}
		feed_reader(c);
	}
	n = c->body.len - c->body_at;
	if (n > cap)
		n = cap;
	memcpy(buf, c->body.data + c->body_at, n);
	c->body_at += n;
	return (int)n;
}

/*
 * Reads the head of a request. Returns false if no complete head arrives in
 * time, or if the head is invalid; reader.error is set in the second case only.
 */
static bool
read_head(struct strict_conn *c)
{
	int64_t begin_us = 0;

	while (!c->reader.head_done && c->reader.error == PB_HTTP_OK) {
		int64_t wait_ms = IDLE_TIMEOUT_MS;

		if (begin_us != 0)
			wait_ms = HEAD_TIMEOUT_MS -
			    (pb_now(c->ctx) - begin_us) / PB_MSEC;
		if (c->input_at == c->input_len && !receive_input(c, wait_ms))
			return false;
		if (begin_us == 0)
			begin_us = pb_now(c->ctx);
		feed_reader(c);
	}
	return c->reader.head_done;
}

/*
 * Sets path and query from a target in origin form: an absolute path and an
 * optional query. Returns false for any other target.
 */
static bool
set_target(struct strict_conn *c)
{
	struct pb_str target = pb_http_target(&c->reader.head);
	char *path;
	char *query;

	if (target.len == 0 || target.data[0] != '/')
		return false;
	path = (char *)pb_arena_str(c->arena, target.data, target.len).data;
	if (path == NULL)
		return false;
	query = strchr(path, '?');
	if (query != NULL)
		*query++ = '\0';
	c->in.path = path;
	c->in.query = query;
	return true;
}

/*
 * Fills in the request from the head that was read. Returns false if Host is
 * missing, the target is not in origin form or memory runs out.
 */
static bool
fill_request(struct strict_conn *c)
{
	const struct pb_http_head *h = &c->reader.head;
	struct pb_inbound_request *in = &c->in;
	struct pb_str length = pb_find_http_field(h, "Content-Length");
	size_t i;

	in->method = http_method_str(h->method);
	in->header_count = 0;
	for (i = 0; i < h->field_count && i < PB_CALL_HEADERS_MAX; i++) {
		struct pb_str name = pb_http_name(h, i);
		struct pb_str value = pb_http_value(h, i);
		struct pb_header *to = &in->headers[in->header_count++];

		to->name = pb_arena_str(c->arena, name.data, name.len);
		to->value = pb_arena_str(c->arena, value.data, value.len);
		if (to->name.data == NULL || to->value.data == NULL)
			return false;
	}
	in->length = -1;
	if (length.data != NULL)
		in->length = strtoll(length.data, NULL, 10);
	c->expects_continue = pb_http_list_has(
	    pb_find_http_field(h, "Expect"), pb_str_from("100-continue"));
	return pb_find_http_field(h, "Host").data != NULL && set_target(c);
}

static void
reject_request(struct strict_conn *c)
{
	static const char malformed[] =
	    "{\"error\":{\"type\":\"invalid_request\","
	    "\"code\":\"malformed_request\",\"message\":"
	    "\"the head or the framing of the request is malformed\"}}";
	static const char too_large[] =
	    "{\"error\":{\"type\":\"invalid_request\","
	    "\"code\":\"head_too_large\",\"message\":"
	    "\"the head of the request is too large\"}}";
	bool large = c->reader.error == PB_HTTP_HEAD_TOO_LARGE;

	pb_log(c->ctx, PB_INFO, "read request", c->peer, NULL, "refused: %s",
	    large ? "the head is too large" : "malformed or ambiguous");
	pb_send_text(&c->in, large ? 431 : 400, "application/json",
	    "X-Poplarbeam-Outcome: not-run\r\nConnection: close\r\n",
	    pb_str_from(large ? too_large : malformed));
}

/*
 * Discards the rest of the body. Returns false if the body cannot be read to
 * its end, if more than SKIP_MAX bytes remain, or if the client still waits for
 * 100 Continue.
 */
static bool
skip_body(struct strict_conn *c)
{
	char part[4096];
	size_t total = 0;
	int n;

	if (c->expects_continue && !c->reader.complete)
		return false;
	while ((n = read_strict(&c->in, part, sizeof(part))) > 0) {
		total += (size_t)n;
		if (total > SKIP_MAX)
			return false;
	}
	return n == 0;
}

/* Serves one request. Returns false if the connection must be closed. */
static bool
serve_request(struct strict_conn *c)
{
	struct strict_server *server = c->server;
	bool keep;

	pb_reset_http_reader(&c->reader);
	c->body.len = 0;
	c->body_at = 0;
	if (!read_head(c)) {
		if (c->reader.error != PB_HTTP_OK)
			reject_request(c);
		return false;
	}
	if (!fill_request(c)) {
		reject_request(c);
		return false;
	}
	keep = c->reader.head.keep_alive;
	if (server->fn(&c->in, server->arg) == PB_RETURN_AND_CLOSE)
		keep = false;
	return keep && skip_body(c);
}

/*
 * Shuts down sending and discards input until the caller closes the connection
 * or LINGER_MS have passed. A close with unread input would reset the
 * connection, and the caller could lose the end of the response.
 */
static void
linger(struct strict_conn *c)
{
	int64_t end_us = pb_now(c->ctx) + LINGER_MS * PB_MSEC;

	shutdown(c->fd, SHUT_WR);
	while (receive_input(c, (end_us - pb_now(c->ctx)) / PB_MSEC))
		;
}

static void
set_socket_options(int fd)
{
	struct timeval limit = {.tv_sec = WRITE_TIMEOUT_MS / 1000};
	unsigned int write_timeout_ms = WRITE_TIMEOUT_MS;
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &write_timeout_ms,
	    sizeof(write_timeout_ms));
}

static void
set_peer(
    struct strict_conn *c, const struct sockaddr_storage *addr, socklen_t len)
{
	if (getnameinfo((const struct sockaddr *)addr, len, c->peer,
		sizeof(c->peer), NULL, 0, NI_NUMERICHOST) != 0)
		c->peer[0] = '\0';
	c->in.peer = c->peer;
}

/* Returns false if the server is stopping. */
static bool
add_conn(struct strict_conn *c)
{
	struct strict_server *server = c->server;
	bool stopping;

	pthread_mutex_lock(&server->lock);
	stopping = atomic_load(&server->stopping);
	if (!stopping) {
		c->next = server->conns;
		server->conns = c;
	}
	pthread_mutex_unlock(&server->lock);
	return !stopping;
}

static void
remove_conn(struct strict_conn *c)
{
	struct strict_conn **at;

	pthread_mutex_lock(&c->server->lock);
	for (at = &c->server->conns; *at != c; at = &(*at)->next)
		;
	*at = c->next;
	pthread_mutex_unlock(&c->server->lock);
}

static void
serve_conn(struct pb_context *ctx, struct strict_server *server, int fd,
    const struct sockaddr_storage *addr, socklen_t len)
{
	static const struct pb_inbound_request_ops inbound_ops = {
	    read_strict, write_strict};
	static const struct pb_http_ops reader_ops = {.body = append_body};
	struct strict_conn *c = calloc(1, sizeof(*c));
	bool keep = true;

	if (c == NULL)
		return;
	c->in.ops = &inbound_ops;
	c->server = server;
	c->ctx = ctx;
	c->fd = fd;
	set_peer(c, addr, len);
	set_socket_options(fd);
	pb_init_http_reader(
	    &c->reader, HTTP_REQUEST, &reader_ops, c, HEAD_MAX, SIZE_MAX);
	if (add_conn(c)) {
		while (keep && !atomic_load(&server->stopping)) {
			c->arena = pb_new_arena(ctx);
			keep = c->arena != NULL && serve_request(c);
			if (c->arena != NULL)
				pb_drop_arena(ctx, c->arena);
		}
		linger(c);
		remove_conn(c);
	}
	pb_clear_http_reader(&c->reader);
	pb_clear_buf(&c->body);
	free(c);
}

static void *
run_worker(void *arg)
{
	struct strict_server *server = arg;
	struct pb_context ctx = {.clock = server->clock, .log = server->log};

	while (!atomic_load(&server->stopping)) {
		struct sockaddr_storage addr = {0};
		socklen_t len = sizeof(addr);
		int fd = accept4(
		    server->fd, (struct sockaddr *)&addr, &len, SOCK_CLOEXEC);

		if (fd < 0) {
			/*
			 * No file descriptor is free, or the server is
			 * stopping: retry after 10 ms.
			 */
			if (errno != EINTR && errno != ECONNABORTED)
				poll(NULL, 0, 10);
			continue;
		}
		serve_conn(&ctx, server, fd, &addr, len);
		close(fd);
	}
	return NULL;
}

static void
drop_strict_server(struct pb_server *base)
{
	struct strict_server *server = (struct strict_server *)base;
	struct strict_conn *c;
	int i;

	pthread_mutex_lock(&server->lock);
	atomic_store(&server->stopping, true);
	for (c = server->conns; c != NULL; c = c->next)
		shutdown(c->fd, SHUT_RDWR);
	pthread_mutex_unlock(&server->lock);
	/* Wakes the workers that block in accept4. */
	shutdown(server->fd, SHUT_RDWR);
	for (i = 0; i < server->thread_count; i++)
		pthread_join(server->threads[i], NULL);
	close(server->fd);
	pthread_mutex_destroy(&server->lock);
	free(server);
}

/* Returns a listening socket, or -1 with errno set. */
static int
listen_on(const char *address)
{
	struct addrinfo hints = {.ai_flags = AI_NUMERICHOST | AI_PASSIVE,
	    .ai_socktype = SOCK_STREAM};
	struct addrinfo *ai = NULL;
	const char *colon = strrchr(address, ':');
	char host[64];
	int on = 1, fd;

	errno = EINVAL;
	if (colon == NULL || (size_t)(colon - address) >= sizeof(host))
		return -1;
	pb_copy_str(host, (size_t)(colon - address) + 1, address);
	if (getaddrinfo(*host != '\0' ? host : NULL, colon + 1, &hints, &ai) !=
	    0)
		return -1;
	fd = socket(ai->ai_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd >= 0) {
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(fd, ai->ai_addr, ai->ai_addrlen) != 0 ||
		    listen(fd, BACKLOG) != 0) {
			close(fd);
			fd = -1;
		}
	}
	freeaddrinfo(ai);
	return fd;
}

struct pb_server *
pb_new_strict_server(struct pb_context *ctx, const char *address, int threads,
    pb_serve_fn *fn, void *arg)
{
	static const struct pb_server_ops ops = {drop_strict_server};
	struct strict_server *server =
	    calloc(1, sizeof(*server) + (size_t)threads * sizeof(pthread_t));

	if (server == NULL) {
		pb_set_error(
		    ctx, PB_ENOMEM, "listen", address, "out of memory");
		return NULL;
	}
	server->base.ops = &ops;
	server->clock = ctx->clock;
	server->log = ctx->log;
	server->fn = fn;
	server->arg = arg;
	pthread_mutex_init(&server->lock, NULL);
	server->fd = listen_on(address);
	if (server->fd < 0) {
		pb_set_error(
		    ctx, PB_EUNAVAIL, "listen", address, "%s", strerror(errno));
		pthread_mutex_destroy(&server->lock);
		free(server);
		return NULL;
	}
	while (server->thread_count < threads &&
	    pthread_create(&server->threads[server->thread_count], NULL,
		run_worker, server) == 0)
		server->thread_count++;
	if (server->thread_count < threads) {
		pb_set_error(ctx, PB_ENOMEM, "listen", address,
		    "cannot create %d threads", threads);
		drop_strict_server(&server->base);
		return NULL;
	}
	return &server->base;
}
