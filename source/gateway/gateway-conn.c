#include "gateway-exchange.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define ACCEPT_BACKLOG 1024 /* connections */
/* Limits used until the configuration has been read. */
#define HEAD_MAX 16384 /* bytes */
#define BODY_MAX (1 << 20) /* bytes */
#define HEAD_TIMEOUT_US (5 * PB_SEC)
#define IDLE_TIMEOUT_US (15 * PB_SEC)
/*
 * Bytes of later requests that are read ahead on a connection while one request
 * is in progress. Anything beyond stays in the socket.
 */
#define READ_AHEAD_MAX 65536 /* bytes */
/* A body of unknown length gets room in steps of these sizes, in bytes. */
#define SHORT_BODY_STEP 4096
#define LONG_BODY_STEP (4 << 20)
/* Time between two checks of a connection for a lost peer. */
#define PEER_CHECK_US (500 * PB_MSEC)
/* A peer is lost if this many checks in a row find unanswered data. */
#define UNANSWERED_CHECKS_MAX 4
/* Time for the caller to close the connection after the last response. */
#define LINGER_US PB_SEC
/*
 * Idle connections used more recently than this are not closed, because the
 * caller may already have sent another request.
 */
#define RECENT_USE_US (500 * PB_MSEC)

static void read_conn(struct pb_conn *conn);

/*
 * Allocates the buffer for the rest of the body. Returns false if there is no
 * room for it.
 */
static bool
reserve_body(struct pb_conn *conn, size_t len)
{
	size_t need = conn->body.len + len;

	if (len == 0 || need < conn->body.cap)
		return true;
	return pb_admits_body(conn, need - conn->body.cap) &&
	    pb_reserve_buf(&conn->body, need) == PB_OK;
}

static void
on_request_head(struct pb_http_reader *reader)
{
	struct pb_conn *conn = reader->owner;
	struct pb_str expect = pb_find_http_field(&reader->head, "Expect");
	uint64_t len = pb_http_body_length(reader);
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (len > reader->body_max) {
		reader->error = PB_HTTP_BODY_TOO_LARGE;
		return;
	}
	if (pb_http_expects_body(reader) && conn->ops == &pb_caller_ops)
		pb_read_priority(conn);
	if (!reserve_body(conn, (size_t)len)) {
		reader->error = PB_HTTP_NO_ROOM;
		return;
	}
	pb_update_conn_memory(conn);
	if (pb_same_http_name(expect, "100-continue"))
		pb_write_now(
		    conn->bev, (struct pb_str){interim, sizeof(interim) - 1});
}

/*
 * Returns how many bytes to reserve for a body of unknown length that needs len
 * now. Room for a long one is reserved in large steps, so that many of them do
 * not fill the memory before any is complete.
 */
static size_t
find_body_step(const struct pb_conn *conn, size_t len)
{
	size_t max = conn->reader.body_max;
	size_t step = conn->body.len + len <= SHORT_BODY_STEP ? SHORT_BODY_STEP
							      : LONG_BODY_STEP;

	if (step < len)
		step = len;
	return conn->body.len + step > max ? max - conn->body.len : step;
}

static void
on_request_body(struct pb_http_reader *reader, struct pb_str part)
{
	struct pb_conn *conn = reader->owner;
	bool fits = conn->body.len + part.len < conn->body.cap;

	if ((!fits && !reserve_body(conn, find_body_step(conn, part.len))) ||
	    pb_append_buf(&conn->body, part.data, part.len) != PB_OK)
		reader->error = PB_HTTP_NO_ROOM;
	if (!fits)
		pb_update_conn_memory(conn);
}

static const struct pb_http_ops reader_ops = {on_request_head, on_request_body};

void
pb_drop_conn(struct pb_conn *conn)
{
	struct pb_exchange *x = conn->exchange;

	if (conn->reading) {
		conn->drop_pending = true;
		return;
	}
	conn->exchange = NULL;
	TAILQ_REMOVE(&conn->gw->conns, conn, entry);
	conn->gw->buffered -= (int64_t)conn->counted_bytes;
	bufferevent_free(conn->bev);
	pb_clear_http_reader(&conn->reader);
	pb_clear_buf(&conn->body);
	pb_drop_peer_streams(conn->streams);
	free(conn);
	if (x != NULL)
		pb_detach_caller(x);
}

/*
 * Closes the write side once all queued output has been sent. The connection
 * is then kept until the caller closes it or LINGER_US has passed.
 */
static void
shut_down_conn(struct pb_conn *conn)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	conn->close_after = true;
	if (evbuffer_get_length(out) > 0 || conn->lingering)
		return;
	conn->lingering = true;
	conn->activity_us = pb_now(conn->gw->ctx);
	shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
}

/*
 * Called when the response is complete: closes the connection or reads the next
 * request from it.
 */
static void
finish_response(struct pb_conn *conn)
{
	conn->exchange = NULL;
	conn->handling = false;
	conn->chunked = false;
	conn->activity_us = pb_now(conn->gw->ctx);
	if (conn->close_after) {
		shut_down_conn(conn);
		return;
	}
	conn->body.len = 0;
	pb_reset_http_reader(&conn->reader);
	if (!conn->reading)
		read_conn(conn);
}

static void
append_head(
    struct pb_conn *conn, struct pb_buf *buf, int status, struct pb_str fields)
{
	if (conn->gw->stop_us != 0 || !conn->reader.head.keep_alive)
		conn->close_after = true;
	pb_append_fmt(
	    buf, "HTTP/1.1 %d %s\r\n", status, pb_http_reason(status));
	pb_append_buf(buf, fields.data, fields.len);
	if (conn->close_after)
		pb_append_fmt(buf, "Connection: close\r\n");
}

void
pb_send_response(
    struct pb_conn *conn, int status, struct pb_str fields, struct pb_str body)
{
	struct pb_buf buf = {0};

	append_head(conn, &buf, status, fields);
	if (conn->reader.head.method == HTTP_HEAD) {
		/* fields may hold the length that GET would return. */
		pb_append_fmt(&buf, "\r\n");
	} else {
		pb_append_fmt(&buf, "Content-Length: %zu\r\n\r\n", body.len);
		pb_append_buf(&buf, body.data, body.len);
	}
	pb_write_now(conn->bev, (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
	pb_update_conn_memory(conn);
	finish_response(conn);
}

void
pb_start_response(struct pb_conn *conn, int status, struct pb_str fields)
{
	struct pb_buf buf = {0};

	append_head(conn, &buf, status, fields);
	pb_append_fmt(&buf, "Transfer-Encoding: chunked\r\n\r\n");
	pb_write_now(conn->bev, (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
	conn->chunked = true;
}

void
pb_send_response_part(struct pb_conn *conn, struct pb_str part)
{
	struct pb_buf buf = {0};

	if (part.len == 0)
		return;
	pb_append_fmt(&buf, "%zx\r\n", part.len);
	pb_append_buf(&buf, part.data, part.len);
	pb_append_buf(&buf, "\r\n", 2);
	pb_write_now(conn->bev, (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
	pb_update_conn_memory(conn);
}

void
pb_end_response(struct pb_conn *conn)
{
	static const char last[] = "0\r\n\r\n";

	pb_write_now(conn->bev, (struct pb_str){last, sizeof(last) - 1});
	finish_response(conn);
}

void
pb_abort_response(struct pb_conn *conn)
{
	conn->exchange = NULL;
	pb_drop_conn(conn);
}

/* Copies the id of the request in conn->reader, or "" if it has none yet. */
static void
copy_request_id(const struct pb_conn *conn, char *id, size_t cap)
{
	const struct pb_http_head *h = &conn->reader.head;
	size_t i;

	id[0] = '\0';
	for (i = 0; i < h->field_count; i++) {
		struct pb_str value = pb_http_value(h, i);

		if (conn->gw->adapter->classify_field(pb_http_name(h, i)) ==
		    PB_FIELD_REQUEST_ID)
			snprintf(id, cap, "%.*s", (int)value.len, value.data);
	}
}

/* Responds to a request that cannot be read; none of it is forwarded. */
static void
reject_conn(struct pb_conn *conn, int status)
{
	conn->close_after = true;
	conn->handling = true;
	pb_log(conn->gw->ctx, PB_INFO, "read request", NULL, NULL,
	    "refused with %d: %s", status,
	    status == 400 ? "malformed or ambiguous"
			  : "size or time limit exceeded");
	pb_send_response(conn, status, PB_STR_NONE, PB_STR_NONE);
}

void
pb_refuse_body(struct pb_conn *conn)
{
	struct pb_gateway *gw = conn->gw;
	char id[64];

	copy_request_id(conn, id, sizeof(id));
	pb_log(gw->ctx, PB_WARN, "read request", NULL, id,
	    "refused with 503: no room for its body; %lld bytes are buffered",
	    (long long)gw->buffered);
	pb_clear_buf(&conn->body);
	conn->close_after = true;
	conn->handling = true;
	pb_refuse_conn(conn, 503, PB_SEC, 0);
}

static int
get_error_status(enum pb_http_error error)
{
	switch (error) {
	case PB_HTTP_HEAD_TOO_LARGE:
		return 431;
	case PB_HTTP_BODY_TOO_LARGE:
		return 413;
	default:
		return 400;
	}
}

static void
set_limits(struct pb_conn *conn)
{
	const struct pb_routing *routing = conn->gw->routing;

	if (routing == NULL || conn->reader.started)
		return;
	conn->reader.head_max = routing->limits.head_max;
	conn->reader.body_max = routing->limits.body_max;
}

/*
 * Passes received bytes to the HTTP reader. Returns false when reading must
 * stop for now.
 */
static bool
read_some(struct pb_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	size_t len = evbuffer_get_contiguous_space(in);
	size_t n;

	if (conn->lingering || conn->close_after) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return false;
	}
	if (conn->handling || len == 0)
		return false;
	set_limits(conn);
	if (!conn->reader.started)
		conn->activity_us = pb_now(conn->gw->ctx);
	n = pb_feed_http(&conn->reader,
	    (const char *)evbuffer_pullup(in, (ev_ssize_t)len), len);
	evbuffer_drain(in, n);
	if (conn->reader.error == PB_HTTP_NO_ROOM) {
		pb_refuse_body(conn);
		return true;
	}
	if (conn->reader.error != PB_HTTP_OK) {
		reject_conn(conn, get_error_status(conn->reader.error));
		return true;
	}
	pb_update_conn_memory(conn);
	pb_enforce_memory_limit(conn->gw);
	/* The memory limit may have refused this request. */
	if (conn->drop_pending || conn->close_after || !conn->reader.complete)
		return !conn->drop_pending;
	conn->handling = true;
	conn->ops->request(conn);
	return !conn->handling;
}

static void
read_conn(struct pb_conn *conn)
{
	conn->reading = true;
	while (!conn->drop_pending && read_some(conn))
		;
	conn->reading = false;
	if (conn->drop_pending)
		pb_drop_conn(conn);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	(void)bev;
	read_conn(arg);
}

static void
on_write(struct bufferevent *bev, void *arg)
{
	struct pb_conn *conn = arg;

	(void)bev;
	pb_update_conn_memory(conn);
	if (conn->exchange != NULL)
		pb_update_backpressure(conn->exchange);
	if (conn->close_after && !conn->handling)
		shut_down_conn(conn);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
		pb_drop_conn(arg);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int len, void *arg)
{
	struct pb_endpoint *endpoint = arg;
	struct pb_gateway *gw = endpoint->gw;
	struct pb_conn *conn = calloc(1, sizeof(*conn));

	(void)listener;
	(void)addr;
	(void)len;
	if (conn == NULL) {
		evutil_closesocket(fd);
		return;
	}
	pb_set_accepted_options(fd);
	conn->bev = bufferevent_socket_new(gw->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (conn->bev == NULL) {
		evutil_closesocket(fd);
		free(conn);
		return;
	}
	conn->ops = endpoint->ops;
	conn->gw = gw;
	conn->activity_us = pb_now(gw->ctx);
	pb_init_http_reader(
	    &conn->reader, HTTP_REQUEST, &reader_ops, conn, HEAD_MAX, BODY_MAX);
	TAILQ_INSERT_TAIL(&gw->conns, conn, entry);
	bufferevent_setcb(conn->bev, on_read, on_write, on_event, conn);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, READ_AHEAD_MAX);
	bufferevent_setwatermark(conn->bev, EV_WRITE, PB_RESUME_UNSENT, 0);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

struct evconnlistener *
pb_open_listener(struct pb_gateway *gw, struct pb_endpoint *endpoint,
    const char *address, const struct pb_conn_ops *ops)
{
	struct sockaddr_storage addr;
	struct evconnlistener *listener;
	int len;

	endpoint->gw = gw;
	endpoint->ops = ops;
	if (!pb_parse_address(address, &addr, &len)) {
		pb_set_error(gw->ctx, PB_EINVAL, "listen", address,
		    "not an IP address with a port");
		return NULL;
	}
	listener = evconnlistener_new_bind(gw->base, on_accept, endpoint,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
	    ACCEPT_BACKLOG, (struct sockaddr *)&addr, len);
	if (listener == NULL)
		pb_set_error(gw->ctx, PB_EUNAVAIL, "listen", address, "%s",
		    strerror(errno));
	return listener;
}

/* Returns true if an idle or lingering connection has timed out. */
static bool
is_overdue(const struct pb_conn *conn, int64_t now)
{
	const struct pb_routing *routing = conn->gw->routing;
	int64_t idle =
	    routing != NULL ? routing->limits.idle_timeout_us : IDLE_TIMEOUT_US;

	if (conn->lingering)
		return now - conn->activity_us > LINGER_US;
	return !conn->handling && !conn->reader.started &&
	    now - conn->activity_us > idle;
}

/* Returns true if a partly received request has timed out. */
static bool
is_slow(const struct pb_conn *conn, int64_t now)
{
	const struct pb_routing *routing = conn->gw->routing;
	int64_t limit =
	    routing != NULL ? routing->limits.head_timeout_us : HEAD_TIMEOUT_US;

	return !conn->handling && conn->reader.started && !conn->close_after &&
	    now - conn->activity_us > limit;
}

/* Returns true if the peer has not answered for several checks. */
static bool
is_peer_lost(struct pb_conn *conn, int64_t now)
{
	if (now - conn->checked_us < PEER_CHECK_US)
		return false;
	conn->checked_us = now;
	if (pb_has_unanswered_data(bufferevent_getfd(conn->bev)))
		conn->unanswered_checks++;
	else
		conn->unanswered_checks = 0;
	return conn->unanswered_checks >= UNANSWERED_CHECKS_MAX;
}

/* Closes a connection that is overdue or lost. */
static void
close_conn(struct pb_conn *conn, int64_t now)
{
	struct pb_gateway *gw = conn->gw;

	if (conn->exchange == NULL && conn->output_len > 0) {
		pb_log(gw->ctx, PB_INFO, "end connection", NULL, NULL,
		    "closed: its caller has not read %zu bytes of a response, "
		    "and nothing for %lld ms",
		    conn->output_len,
		    (long long)((now - conn->activity_us) / PB_MSEC));
		gw->unread_closed++;
	}
	pb_drop_conn(conn);
}

void
pb_sweep_conns(struct pb_gateway *gw)
{
	int64_t now = pb_now(gw->ctx);
	struct pb_conn *conn, *next;

	for (conn = TAILQ_FIRST(&gw->conns); conn != NULL; conn = next) {
		next = TAILQ_NEXT(conn, entry);
		pb_update_conn_memory(conn);
		if (is_overdue(conn, now) || is_peer_lost(conn, now))
			close_conn(conn, now);
		else if (is_slow(conn, now))
			reject_conn(conn, 408);
	}
}

void
pb_close_idle_conns(struct pb_gateway *gw)
{
	int64_t now = pb_now(gw->ctx);
	struct pb_conn *conn, *next;

	for (conn = TAILQ_FIRST(&gw->conns); conn != NULL; conn = next) {
		next = TAILQ_NEXT(conn, entry);
		if (!conn->handling && !conn->reader.started &&
		    !conn->close_after &&
		    now - conn->activity_us > RECENT_USE_US)
			shut_down_conn(conn);
	}
}
