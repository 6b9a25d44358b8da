#include "gateway-internal.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define ACCEPT_BACKLOG 1024 /* connections */
/* Used until the operator's limits are known. */
#define HEAD_MAX 16384 /* bytes */
#define BODY_MAX (1 << 20) /* bytes */
#define HEAD_TIMEOUT_US (5 * PB_SEC)
#define IDLE_TIMEOUT_US (15 * PB_SEC)
/* Requests that arrive behind the one in progress wait unread beyond this. */
#define READ_AHEAD_MAX 65536 /* bytes */
/* A caller that lets this much of a stream pile up is cut off. */
#define WRITE_BEHIND_MAX (1 << 20) /* bytes */
/* How long the caller has to close after the last answer. */
#define LINGER_US PB_SEC

static void read_front(struct pb_front *front);

static void
on_request_head(struct pb_http_reader *reader)
{
	struct pb_front *front = reader->owner;
	struct pb_str expect = pb_find_http_field(&reader->head, "Expect");
	static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (pb_same_http_name(expect, "100-continue"))
		pb_write_now(
		    front->bev, (struct pb_str){go_on, sizeof(go_on) - 1});
}

static void
on_request_body(struct pb_http_reader *reader, struct pb_str part)
{
	struct pb_front *front = reader->owner;

	if (pb_append_buf(&front->body, part.data, part.len) != PB_OK)
		reader->error = PB_HTTP_BODY_TOO_LARGE;
}

static const struct pb_http_ops reader_ops = {on_request_head, on_request_body};

void
pb_drop_front(struct pb_front *front)
{
	struct pb_exchange *x = front->exchange;

	if (front->reading) {
		front->dead = true;
		return;
	}
	front->exchange = NULL;
	TAILQ_REMOVE(&front->gw->fronts, front, entry);
	bufferevent_free(front->bev);
	pb_clear_http_reader(&front->reader);
	pb_clear_buf(&front->body);
	free(front);
	if (x != NULL)
		pb_leave_exchange(x);
}

/* Sends what is queued, then waits for the caller to close. */
static void
linger_front(struct pb_front *front)
{
	struct evbuffer *out = bufferevent_get_output(front->bev);

	front->close_after = true;
	if (evbuffer_get_length(out) > 0 || front->lingering)
		return;
	front->lingering = true;
	front->activity_us = pb_now(front->gw->ctx);
	shutdown(bufferevent_getfd(front->bev), SHUT_WR);
}

/* The answer is complete: goes on with the connection or closes it. */
static void
finish_answer(struct pb_front *front)
{
	front->exchange = NULL;
	front->handling = false;
	front->chunked = false;
	front->activity_us = pb_now(front->gw->ctx);
	if (front->close_after) {
		linger_front(front);
		return;
	}
	front->body.len = 0;
	pb_reset_http_reader(&front->reader);
	if (!front->reading)
		read_front(front);
}

static void
append_head(struct pb_front *front, struct pb_buf *buf, int status,
    struct pb_str fields)
{
	if (front->gw->stop_us != 0 || !front->reader.head.keep_alive)
		front->close_after = true;
	pb_append_fmt(
	    buf, "HTTP/1.1 %d %s\r\n", status, pb_http_reason(status));
	pb_append_buf(buf, fields.data, fields.len);
	if (front->close_after)
		pb_append_fmt(buf, "Connection: close\r\n");
}

void
pb_reply_front(struct pb_front *front, int status, struct pb_str fields,
    struct pb_str body)
{
	struct pb_buf buf = {0};

	append_head(front, &buf, status, fields);
	pb_append_fmt(&buf, "Content-Length: %zu\r\n\r\n", body.len);
	if (front->reader.head.method != HTTP_HEAD)
		pb_append_buf(&buf, body.data, body.len);
	pb_write_now(front->bev, (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
	finish_answer(front);
}

void
pb_start_front(struct pb_front *front, int status, struct pb_str fields)
{
	struct pb_buf buf = {0};

	append_head(front, &buf, status, fields);
	pb_append_fmt(&buf, "Transfer-Encoding: chunked\r\n\r\n");
	pb_write_now(front->bev, (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
	front->chunked = true;
}

void
pb_send_front(struct pb_front *front, struct pb_str part)
{
	struct pb_buf buf = {0};

	if (part.len == 0)
		return;
	pb_append_fmt(&buf, "%zx\r\n", part.len);
	pb_append_buf(&buf, part.data, part.len);
	pb_append_buf(&buf, "\r\n", 2);
	pb_write_now(front->bev, (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
}

void
pb_end_front(struct pb_front *front)
{
	static const char last[] = "0\r\n\r\n";

	pb_write_now(front->bev, (struct pb_str){last, sizeof(last) - 1});
	finish_answer(front);
}

void
pb_abort_front(struct pb_front *front)
{
	front->exchange = NULL;
	pb_drop_front(front);
}

/* A request that cannot be read; nothing of it is passed on. */
static void
reject_front(struct pb_front *front, int status)
{
	front->close_after = true;
	front->handling = true;
	pb_log(front->gw->ctx, PB_INFO, "read request", NULL, NULL,
	    "refused with %d: %s", status,
	    status == 400 ? "malformed or ambiguous" : "a limit is passed");
	pb_reply_front(front, status, PB_STR_NONE, PB_STR_NONE);
}

static int
status_of(enum pb_http_error error)
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
set_limits(struct pb_front *front)
{
	const struct pb_routing *routing = front->gw->routing;

	if (routing == NULL || front->reader.started)
		return;
	front->reader.head_max = routing->limits.head_max;
	front->reader.body_max = routing->limits.body_max;
}

/* Feeds what has arrived; false when there is nothing more to do now. */
static bool
read_some(struct pb_front *front)
{
	struct evbuffer *in = bufferevent_get_input(front->bev);
	size_t len = evbuffer_get_contiguous_space(in);
	size_t n;

	if (front->lingering || front->close_after) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return false;
	}
	if (front->handling || len == 0)
		return false;
	set_limits(front);
	if (!front->reader.started)
		front->activity_us = pb_now(front->gw->ctx);
	n = pb_feed_http(&front->reader,
	    (const char *)evbuffer_pullup(in, (ev_ssize_t)len), len);
	evbuffer_drain(in, n);
	if (front->reader.error != PB_HTTP_OK) {
		reject_front(front, status_of(front->reader.error));
		return true;
	}
	if (!front->reader.complete)
		return true;
	front->handling = true;
	front->ops->request(front);
	return !front->handling;
}

static void
read_front(struct pb_front *front)
{
	front->reading = true;
	while (!front->dead && read_some(front))
		;
	front->reading = false;
	if (front->dead)
		pb_drop_front(front);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	(void)bev;
	read_front(arg);
}

static void
on_write(struct bufferevent *bev, void *arg)
{
	struct pb_front *front = arg;

	(void)bev;
	if (front->close_after && !front->handling)
		linger_front(front);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
		pb_drop_front(arg);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int len, void *arg)
{
	struct pb_entrance *entrance = arg;
	struct pb_gateway *gw = entrance->gw;
	struct pb_front *front = calloc(1, sizeof(*front));

	(void)listener;
	(void)addr;
	(void)len;
	if (front == NULL) {
		evutil_closesocket(fd);
		return;
	}
	pb_tune_socket(fd);
	front->bev =
	    bufferevent_socket_new(gw->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (front->bev == NULL) {
		evutil_closesocket(fd);
		free(front);
		return;
	}
	front->ops = entrance->ops;
	front->gw = gw;
	front->activity_us = pb_now(gw->ctx);
	pb_init_http_reader(&front->reader, HTTP_REQUEST, &reader_ops, front,
	    HEAD_MAX, BODY_MAX);
	TAILQ_INSERT_TAIL(&gw->fronts, front, entry);
	bufferevent_setcb(front->bev, on_read, on_write, on_event, front);
	bufferevent_setwatermark(front->bev, EV_READ, 0, READ_AHEAD_MAX);
	bufferevent_enable(front->bev, EV_READ | EV_WRITE);
}

struct evconnlistener *
pb_listen_front(struct pb_gateway *gw, struct pb_entrance *entrance,
    const char *address, const struct pb_front_ops *ops)
{
	struct sockaddr_storage addr;
	struct evconnlistener *listener;
	int len;

	entrance->gw = gw;
	entrance->ops = ops;
	if (!pb_parse_address(address, &addr, &len)) {
		pb_set_error(gw->ctx, PB_EINVAL, "listen", address,
		    "not an address with a port");
		return NULL;
	}
	listener = evconnlistener_new_bind(gw->base, on_accept, entrance,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
	    ACCEPT_BACKLOG, (struct sockaddr *)&addr, len);
	if (listener == NULL)
		pb_set_error(gw->ctx, PB_EUNAVAIL, "listen", address, "%s",
		    strerror(errno));
	return listener;
}

/* True if the connection has outlived what it waits for. */
static bool
is_overdue(const struct pb_front *front, int64_t now)
{
	const struct pb_routing *routing = front->gw->routing;
	int64_t idle =
	    routing != NULL ? routing->limits.idle_timeout_us : IDLE_TIMEOUT_US;

	if (front->lingering)
		return now - front->activity_us > LINGER_US;
	return !front->handling && !front->reader.started &&
	    now - front->activity_us > idle;
}

/* True if a request has begun and does not get complete. */
static bool
is_slow(const struct pb_front *front, int64_t now)
{
	const struct pb_routing *routing = front->gw->routing;
	int64_t limit =
	    routing != NULL ? routing->limits.head_timeout_us : HEAD_TIMEOUT_US;

	return !front->handling && front->reader.started &&
	    !front->close_after && now - front->activity_us > limit;
}

static bool
is_clogged(const struct pb_front *front)
{
	return evbuffer_get_length(bufferevent_get_output(front->bev)) >
	    WRITE_BEHIND_MAX;
}

void
pb_sweep_fronts(struct pb_gateway *gw)
{
	int64_t now = pb_now(gw->ctx);
	struct pb_front *front, *next;

	for (front = TAILQ_FIRST(&gw->fronts); front != NULL; front = next) {
		next = TAILQ_NEXT(front, entry);
		if (is_overdue(front, now) || is_clogged(front))
			pb_drop_front(front);
		else if (is_slow(front, now))
			reject_front(front, 408);
	}
}

void
pb_close_idle_fronts(struct pb_gateway *gw)
{
	struct pb_front *front, *next;

	for (front = TAILQ_FIRST(&gw->fronts); front != NULL; front = next) {
		next = TAILQ_NEXT(front, entry);
		if (!front->handling && !front->reader.started &&
		    !front->close_after)
			linger_front(front);
	}
}
