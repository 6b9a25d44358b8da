#include "gateway-internal.h"

#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX 32768 /* bytes */
#define BODY_MAX (16 << 20) /* bytes of one response */
/*
 * Limits of what is discarded for one call, because an instance may send it
 * without end: interim responses, and bytes of responses to other requests.
 */
#define INTERIM_MAX 64
#define DISCARDED_MAX (1 << 20)
#define COPY_MAX                                                    \
	16384 /* bytes of a request body that are copied to send it \
	       */
#define IDLE_MAX 16 /* idle connections per instance */
/* Keep-alive time if the response has no Keep-Alive timeout. */
#define KEEP_ALIVE_DEFAULT_US (4 * PB_SEC)
/*
 * An idle connection is not reused in this last part of its keep-alive time,
 * when the peer may be about to close it.
 */
#define KEEP_ALIVE_MARGIN_US PB_SEC

static void
on_response_head(struct pb_http_reader *reader)
{
	struct pb_link *link = reader->owner;

	if (reader->head.status < 200)
		return;
	if (link->call != NULL)
		link->call->ops->head(link->call);
}

static void
on_response_body(struct pb_http_reader *reader, struct pb_str part)
{
	struct pb_link *link = reader->owner;

	if (link->call != NULL && !link->skipping)
		link->call->ops->body(link->call, part);
}

static const struct pb_http_ops reader_ops = {
    on_response_head, on_response_body};

void
pb_drop_link(struct pb_link *link)
{
	if (link->reading) {
		link->drop_pending = true;
		return;
	}
	bufferevent_free(link->bev);
	pb_clear_http_reader(&link->reader);
	pb_drop_instance(link->instance);
	free(link);
}

static void
fail_link(struct pb_link *link, enum pb_link_failure failure)
{
	struct pb_link_call *call = link->call;

	link->call = NULL;
	if (call != NULL)
		call->link = NULL;
	pb_drop_link(link);
	if (call != NULL)
		call->ops->failed(call, failure);
}

/* Reads the header Keep-Alive: timeout=SECONDS; returns microseconds. */
static int64_t
read_keep_alive_timeout(const struct pb_http_head *head)
{
	struct pb_str v = pb_find_http_field(head, "Keep-Alive");
	static const char key[] = "timeout=";
	size_t i, n = sizeof(key) - 1;

	for (i = 0; v.len > n && i < v.len - n; i++) {
		if (memcmp(v.data + i, key, n) == 0 && v.data[i + n] >= '0' &&
		    v.data[i + n] <= '9')
			return (int64_t)strtol(v.data + i + n, NULL, 10) *
			    PB_SEC;
	}
	return KEEP_ALIVE_DEFAULT_US;
}

static bool
is_reusable(const struct pb_link *link)
{
	const struct pb_instance *inst = link->instance;

	if (link->not_reusable || !link->reader.head.keep_alive ||
	    evbuffer_get_length(bufferevent_get_input(link->bev)) > 0 ||
	    evbuffer_get_length(bufferevent_get_output(link->bev)) > 0)
		return false;
	return !inst->gone && !inst->draining && !inst->leaving &&
	    inst->idle_count < IDLE_MAX && link->gw->stop_us == 0;
}

static void
add_idle_link(struct pb_link *link)
{
	struct pb_instance *inst = link->instance;

	link->keep_alive_us = read_keep_alive_timeout(&link->reader.head);
	link->idle_us = pb_now(link->gw->ctx);
	pb_reset_http_reader(&link->reader);
	link->next_idle = inst->idle;
	inst->idle = link;
	inst->idle_count++;
}

static bool
is_stale(const struct pb_link *link, int64_t now)
{
	return now - link->idle_us > link->keep_alive_us - KEEP_ALIVE_MARGIN_US;
}

static struct pb_link *
take_idle_link(struct pb_gateway *gw, struct pb_instance *instance)
{
	struct pb_link *link;

	while ((link = instance->idle) != NULL) {
		instance->idle = link->next_idle;
		instance->idle_count--;
		link->next_idle = NULL;
		if (!is_stale(link, pb_now(gw->ctx))) {
			link->reused = true;
			return link;
		}
		pb_drop_link(link);
	}
	return NULL;
}

/* Removes an idle link from its instance's list. */
static void
unlink_idle(struct pb_link *link)
{
	struct pb_link **p = &link->instance->idle;

	while (*p != NULL && *p != link)
		p = &(*p)->next_idle;
	if (*p == NULL)
		return;
	*p = link->next_idle;
	link->instance->idle_count--;
}

void
pb_drop_idle_links(struct pb_instance *instance)
{
	struct pb_link *link;

	while ((link = instance->idle) != NULL) {
		instance->idle = link->next_idle;
		instance->idle_count--;
		pb_drop_link(link);
	}
}

static void
complete_link(struct pb_link *link)
{
	struct pb_link_call *call = link->call;

	pb_resume_call(call);
	link->call = NULL;
	call->link = NULL;
	if (is_reusable(link))
		add_idle_link(link);
	else
		pb_drop_link(link);
	call->ops->done(call);
}

static bool
is_interim(const struct pb_http_reader *reader)
{
	return reader->complete && reader->head.status < 200;
}

/* Counts n bytes of the response that was just read, if it is discarded. */
static void
count_discarded(struct pb_link *link, size_t n)
{
	if (link->skipping)
		link->discarded += n;
	link->interim_count += is_interim(&link->reader);
}

/*
 * Passes received bytes to the HTTP reader. Returns false if none are left or
 * the link was dropped or became idle.
 */
static bool
read_some(struct pb_link *link)
{
	struct evbuffer *in = bufferevent_get_input(link->bev);
	size_t len = evbuffer_get_contiguous_space(in);
	size_t n;

	if (len == 0)
		return false;
	link->reading = true;
	n = pb_feed_http(&link->reader,
	    (const char *)evbuffer_pullup(in, (ev_ssize_t)len), len);
	link->reading = false;
	if (link->drop_pending) {
		pb_drop_link(link);
		return false;
	}
	evbuffer_drain(in, n);
	count_discarded(link, n);
	if (link->reader.error != PB_HTTP_OK ||
	    link->discarded > DISCARDED_MAX ||
	    link->interim_count > INTERIM_MAX) {
		fail_link(link, PB_LINK_PROTOCOL);
		return false;
	}
	if (!link->reader.complete)
		return true;
	if (link->skipping || is_interim(&link->reader)) {
		link->skipping = false;
		pb_reset_http_reader(&link->reader);
		link->reader.no_body = link->no_body;
		return true;
	}
	complete_link(link);
	return false;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct pb_link *link = arg;

	(void)bev;
	if (link->call == NULL) {
		/* The bytes belong to no request, so the link is unusable. */
		unlink_idle(link);
		pb_drop_link(link);
		return;
	}
	while (read_some(link))
		;
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct pb_link *link = arg;
	bool complete;

	(void)bev;
	if ((what & BEV_EVENT_CONNECTED) != 0) {
		link->connected = true;
		return;
	}
	if (link->call == NULL) {
		unlink_idle(link);
		pb_drop_link(link);
		return;
	}
	if (!link->connected) {
		fail_link(link, PB_LINK_NOT_REACHED);
		return;
	}
	link->reading = true;
	complete = (what & BEV_EVENT_EOF) != 0 && !link->skipping &&
	    pb_finish_http(&link->reader);
	link->reading = false;
	if (link->drop_pending) {
		pb_drop_link(link);
		return;
	}
	link->not_reusable = true;
	if (complete)
		complete_link(link);
	else
		fail_link(link, PB_LINK_BROKEN);
}

struct pb_link *
pb_open_link(struct pb_gateway *gw, struct pb_instance *instance)
{
	struct sockaddr_storage addr;
	struct pb_link *link;
	evutil_socket_t fd = -1;
	int len;

	if (!pb_parse_address(instance->address, &addr, &len))
		return NULL;
	link = calloc(1, sizeof(*link));
	if (link == NULL)
		return NULL;
	fd = socket(
	    addr.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	pb_set_socket_options(fd);
	link->bev = bufferevent_socket_new(gw->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (link->bev == NULL)
		goto fail;
	link->gw = gw;
	pb_init_http_reader(&link->reader, HTTP_RESPONSE, &reader_ops, link,
	    HEAD_MAX, BODY_MAX);
	bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(
		link->bev, (struct sockaddr *)&addr, len) != 0) {
		bufferevent_free(link->bev);
		free(link);
		return NULL;
	}
	link->instance = pb_keep_instance(instance);
	return link;
fail:
	if (fd >= 0)
		close(fd);
	free(link);
	return NULL;
}

struct pb_link *
pb_take_link(struct pb_gateway *gw, struct pb_instance *instance)
{
	struct pb_link *link = take_idle_link(gw, instance);

	return link != NULL ? link : pb_open_link(gw, instance);
}

/*
 * Adds the body to the output. A long one is not copied: its owner keeps it
 * until the call has ended, and a link with unsent output is dropped then.
 */
static int
add_body(struct pb_link *link, struct pb_str body)
{
	struct evbuffer *out = bufferevent_get_output(link->bev);
	bool is_long = body.len >= COPY_MAX;

	if (is_long != link->long_body)
		pb_set_long_body(bufferevent_getfd(link->bev), is_long);
	link->long_body = is_long;
	if (body.len == 0)
		return 0;
	if (!is_long)
		return bufferevent_write(link->bev, body.data, body.len);
	return evbuffer_add_reference(out, body.data, body.len, NULL, NULL);
}

int
pb_send_call(struct pb_link *link, struct pb_link_call *call,
    struct pb_str head, struct pb_str body)
{
	static const char method[] = "HEAD ";
	size_t n = sizeof(method) - 1;

	link->call = call;
	call->link = link;
	link->discarded = 0;
	link->interim_count = 0;
	call->pressure = (struct pb_backpressure){0};
	link->no_body = head.len > n && memcmp(head.data, method, n) == 0;
	link->reader.no_body = link->no_body;
	if (bufferevent_write(link->bev, head.data, head.len) != 0 ||
	    add_body(link, body) != 0)
		return PB_ENOMEM;
	return PB_OK;
}

void
pb_ignore_body(struct pb_link_call *call, struct pb_str part)
{
	(void)call;
	(void)part;
}

bool
pb_is_sent(const struct pb_link_call *call)
{
	return call->link != NULL && call->link->connected;
}

void
pb_cancel_call(struct pb_link_call *call)
{
	struct pb_link *link = call->link;

	if (link == NULL)
		return;
	call->link = NULL;
	link->call = NULL;
	pb_drop_link(link);
}

void
pb_hold_call(struct pb_link_call *call)
{
	if (call->link == NULL || pb_is_held(call))
		return;
	bufferevent_disable(call->link->bev, EV_READ);
	pb_note_hold(&call->pressure, pb_now(call->link->gw->ctx));
}

void
pb_resume_call(struct pb_link_call *call)
{
	if (!pb_is_held(call))
		return;
	pb_note_resume(&call->pressure, pb_now(call->link->gw->ctx));
	bufferevent_enable(call->link->bev, EV_READ);
}

bool
pb_is_held(const struct pb_link_call *call)
{
	return call->link != NULL && call->pressure.held_us != 0;
}

bool
pb_has_peer_closed(const struct pb_link_call *call)
{
	struct pollfd p = {0};

	if (call->link == NULL)
		return false;
	p.fd = bufferevent_getfd(call->link->bev);
	p.events = POLLRDHUP;
	return poll(&p, 1, 0) > 0;
}

void
pb_skip_response(struct pb_link_call *call)
{
	call->link->skipping = true;
	call->link->not_reusable = true;
}
