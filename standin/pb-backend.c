/*
 * Stand-in for an upstream that implements the platform's protocol and can
 * inject faults. For tests.
 *
 *   pb-backend PORT ID [ACTION]
 *
 * ACTION selects the behavior for all requests; without it, the last segment of
 * the request path does. WORK is the execution time in milliseconds, set by the
 * query "work=MS", 5 by default. The digest is the value of the header
 * X-Poplarbeam-Response-Seal.
 *   ok        sends a response after WORK ms
 *   error     sends a response with status 500 and a digest
 *   full      refuses the request with status 503, without executing it
 *   queued    refuses the request like full, after WORK ms
 *   crash     executes the request and aborts the process after WORK ms
 *   cut       sends a part of the response and closes the connection
 *   mute      executes the request and closes without a response
 *   hang      executes the request and never sends a response
 *   extra     sends a second response after the first one
 *   late      first sends a response to another request
 *   unframed  sends a response without a length and closes
 *   unsealed  sends a response with status 200 without a digest
 *   stream    sends ten events at intervals of WORK ms
 *   torn      like stream, but the connection is closed within event 5 unless
 *             the request resumes a stream
 *   torn-error, torn-full, torn-page, torn-unsealed, torn-again
 *             like torn, but a request that resumes the stream gets a failure
 *             with a digest, a refusal, a complete response that is no stream,
 *             a stream without a digest or the whole stream again
 *   open      like stream, but without a length or chunks, and closes
 *   open-torn like torn, but without a length or chunks
 *   open-none sends the head of such a stream and closes
 *   preempt-full, preempt-room, preempt-mute, preempt-hang
 *             like stream, but silent for 2.2 s before event 5; a request that
 *             resumes the stream is refused, is served, gets no response and
 *             the connection is closed, or gets no response
 *   refusal-again, refusal-unnamed
 *             first sends a refusal of another request, with its id or without
 *             an id
 *   unmarked  executes the request and sends status 503 with a digest
 *   dribble   sends one event, then one byte of the next event every WORK ms,
 *             without end
 *   large     sends a body of 3 MB
 *   endless-noise, endless-head, endless-body, endless-event
 *             sends bytes that are not HTTP, or a head, a body without a length
 *             or an event that never ends, as fast as the peer reads
 *   endless-interim, endless-extension, endless-trailer, endless-other
 *             the same with interim responses, a chunk extension, a trailer or
 *             a response to another request that never ends
 *   bulk, bulk-reset
 *             sends BULK_EVENTS long events as fast as the peer reads; closes
 *             or resets the connection if the peer reads nothing for UNREAD_MS
 *   half-head, half-line, half-framed
 *             sends part of a response head and closes: within a field, after a
 *             whole field, or after all fields but not their end
 *
 * A request whose prompt prefix has the part "crash" before its last part
 * aborts the process when its response begins, whatever the action.
 *
 * "GET /say-leaving" adds the header Server-Leaving to all later responses.
 * "GET /say-pause/TEXT" makes it reject all later requests with status 503, the
 * header Retry-After with this text, and Not-Executed; "GET /say-pause/" ends
 * that. "GET /arrivals" lists the id, the time of arrival in Unix milliseconds
 * and the value of the header Kv-Fetch, or "-", of every request.
 *
 * "GET /runs/REQUEST-ID" returns how often a request was executed, "GET
 * /all-runs" lists the id, the count and the time of the last execution in Unix
 * milliseconds of every request, and "GET /cancelled" returns the number of
 * requests whose connection was closed before they completed.
 */
#include "backend-filler.h"
#include "backend-log.h"
#include "poplarbeam/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define EVENTS_PER_STREAM 10
#define PREEMPTION_MS 2200
#define BULK_EVENTS 2000
#define UNREAD_MS 5000
#define LARGE_BODY_BYTES (192 * FILLER_BYTES)
#define BODY_PREFIX "answer of "

struct backend {
	struct event_base *base;
	const char *id;
	const char *action; /* of all requests; NULL: taken from the path */
	struct backend_log *log;
	bool leaving; /* says so in all responses */
	char pause[64]; /* Retry-After of all responses; empty: none */
	int running; /* requests in progress */
	int cancelled; /* requests closed before they completed */
};

struct conn {
	struct backend *backend;
	struct bufferevent *bev;
	struct pb_http_reader reader;
	struct event *timer;
	char action[32];
	char request_id[64];
	int work_ms;
	int next_event; /* id of the next event, 0: no stream, -1: close */
	bool resuming; /* the request has a Last-Event-Id */
	bool busy; /* a request is in progress */
	bool preempted; /* has been silent once */
	bool unframed; /* the stream has no length and no chunks */
	bool endless; /* sends filler whenever the output buffer is empty */
};

static void read_next_request(struct conn *c);

static void
close_conn(struct conn *c)
{
	if (c->busy) {
		c->backend->running--;
		c->backend->cancelled++;
	}
	event_free(c->timer);
	bufferevent_free(c->bev);
	pb_clear_http_reader(&c->reader);
	free(c);
}

static void
copy_field(
    const struct pb_http_head *h, const char *name, char *out, size_t cap)
{
	struct pb_str v = pb_find_http_field(h, name);

	snprintf(out, cap, "%.*s", (int)v.len, v.len > 0 ? v.data : "");
}

static void
send_response_head(
    struct conn *c, int status, const char *request_id, bool sealed)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	evbuffer_add_printf(out,
	    "HTTP/1.1 %d X\r\nX-Poplarbeam-Attempt-Id: %s\r\n"
	    "X-Poplarbeam-Instance-Id: %s\r\n"
	    "X-Poplarbeam-Engine-Load: %d,0,8\r\n",
	    status, request_id, c->backend->id, c->backend->running);
	if (c->backend->leaving)
		evbuffer_add_printf(out, "Server-Leaving: 1\r\n");
	if (sealed)
		evbuffer_add_printf(
		    out, "X-Poplarbeam-Response-Seal: d.%s\r\n", request_id);
}

static void
send_response(struct conn *c, int status, const char *request_id, bool sealed)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	size_t n = strlen(BODY_PREFIX) + strlen(c->backend->id);

	send_response_head(c, status, request_id, sealed);
	evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n", n);
	if (c->reader.head.method != HTTP_HEAD)
		evbuffer_add_printf(out, BODY_PREFIX "%s", c->backend->id);
}

/* Sends a refusal; request_id: NULL for a refusal without an id. */
static void
refuse(struct conn *c, const char *request_id)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	if (request_id != NULL)
		send_response_head(c, 503, request_id, false);
	else
		evbuffer_add_printf(out, "HTTP/1.1 503 X\r\n");
	if (c->backend->pause[0] != '\0')
		evbuffer_add_printf(
		    out, "Retry-After: %s\r\n", c->backend->pause);
	evbuffer_add_printf(out,
	    "X-Poplarbeam-Not-Executed: 1\r\n"
	    "Content-Length: 0\r\n\r\n");
}

static void
end_request(struct conn *c)
{
	if (c->busy)
		c->backend->running--;
	c->busy = false;
	read_next_request(c);
}

static bool
is_action(const struct conn *c, const char *action)
{
	return strcmp(c->action, action) == 0;
}

static void
start_endless(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	c->endless = true;
	if (!is_action(c, "endless-noise") && !is_action(c, "endless-interim"))
		send_response_head(c, 200,
		    is_action(c, "endless-other") ? "another-request"
						  : c->request_id,
		    true);
	if (is_action(c, "endless-head"))
		evbuffer_add_printf(out, "X-Fill: ");
	if (is_action(c, "endless-body") || is_action(c, "endless-other"))
		evbuffer_add_printf(out, "Connection: close\r\n\r\n");
	if (is_action(c, "endless-extension"))
		evbuffer_add_printf(
		    out, "Transfer-Encoding: chunked\r\n\r\n4;x=");
	if (is_action(c, "endless-trailer"))
		evbuffer_add_printf(out,
		    "Transfer-Encoding: chunked\r\n\r\n"
		    "4\r\nhalf\r\n0\r\nX-Fill: ");
	if (is_action(c, "endless-event"))
		evbuffer_add_printf(out,
		    "Content-Type: text/event-stream\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n");
	add_filler(out, c->action);
}

static void
start_timer(struct conn *c, int ms)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	evtimer_add(c->timer, &tv);
}

static bool
is_bulk(const struct conn *c)
{
	return strncmp(c->action, "bulk", 4) == 0;
}

/* Ends a response that the peer does not read. */
static void
give_up(struct conn *c)
{
	struct linger now = {1, 0};

	if (is_action(c, "bulk-reset"))
		setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER,
		    &now, sizeof(now));
	close_conn(c);
}

/* Sends the next long event of a stream, or its end after the last one. */
static void
continue_bulk(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	char data[FILLER_BYTES], text[FILLER_BYTES + 64];

	if (c->next_event > BULK_EVENTS) {
		evtimer_del(c->timer);
		evbuffer_add_printf(out, "0\r\n\r\n");
		end_request(c);
		return;
	}
	memset(data, 'x', sizeof(data) - 1);
	data[sizeof(data) - 1] = '\0';
	snprintf(
	    text, sizeof(text), "id: %d\ndata: %s\n\n", c->next_event++, data);
	evbuffer_add_printf(out, "%zx\r\n%s\r\n", strlen(text), text);
	start_timer(c, UNREAD_MS);
}

static void
on_write(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;

	(void)bev;
	if (c->endless)
		add_filler(bufferevent_get_output(c->bev), c->action);
	else if (c->busy && is_bulk(c) && c->next_event != 0)
		continue_bulk(c);
}

static void
send_large(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	size_t sent;

	send_response_head(c, 200, c->request_id, true);
	evbuffer_add_printf(
	    out, "Content-Length: %d\r\n\r\n", LARGE_BODY_BYTES);
	for (sent = 0; sent < LARGE_BODY_BYTES; sent += FILLER_BYTES)
		add_filler(bufferevent_get_output(c->bev), c->action);
	end_request(c);
}

static void
continue_dribble(struct conn *c)
{
	evbuffer_add_printf(bufferevent_get_output(c->bev), "1\r\nx\r\n");
	start_timer(c, c->work_ms);
}

/* Writes the buffered output at once; a bufferevent keeps it frozen. */
static void
flush_output(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	evbuffer_unfreeze(out, 1);
	evbuffer_write(out, bufferevent_getfd(c->bev));
	evbuffer_freeze(out, 1);
}

static void
close_after_flush(struct conn *c)
{
	if (c->busy)
		c->backend->running--;
	c->busy = false;
	flush_output(c);
	close_conn(c);
}

static void
send_stream_part(struct conn *c, const char *text)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	if (c->unframed)
		evbuffer_add_printf(out, "%s", text);
	else
		evbuffer_add_printf(out, "%zx\r\n%s\r\n", strlen(text), text);
}

static void
send_event(struct conn *c, int id)
{
	char text[64];

	snprintf(text, sizeof(text), "id: %d\ndata: part %d\n\n", id, id);
	send_stream_part(c, text);
}

/* Returns true if the stream is closed within event 5. */
static bool
is_torn(const struct conn *c)
{
	return (strncmp(c->action, "torn", 4) == 0 ||
		   is_action(c, "open-torn")) &&
	    !c->resuming;
}

/* Returns true if the stream is silent for a while before event 5. */
static bool
is_preempting(const struct conn *c)
{
	return strncmp(c->action, "preempt", 7) == 0 && !c->resuming;
}

/*
 * Sends the next event of a stream and schedules the one after it. Ends the
 * request after the last event.
 */
static void
continue_stream(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	if (is_torn(c) && c->next_event == 5) {
		send_stream_part(c, "id: 5\n");
		bufferevent_flush(c->bev, EV_WRITE, BEV_FLUSH);
		start_timer(c, 30);
		c->next_event = -1;
		return;
	}
	if (is_preempting(c) && !c->preempted && c->next_event == 5) {
		c->preempted = true;
		start_timer(c, PREEMPTION_MS);
		return;
	}
	if (c->next_event < 0) {
		close_conn(c);
		return;
	}
	send_event(c, c->next_event++);
	if (c->next_event <= EVENTS_PER_STREAM) {
		start_timer(c, c->work_ms);
		return;
	}
	if (c->unframed) {
		close_after_flush(c);
		return;
	}
	evbuffer_add_printf(out, "0\r\n\r\n");
	end_request(c);
}

static void
start_stream(struct conn *c)
{
	c->unframed = strncmp(c->action, "open", 4) == 0;
	send_response_head(
	    c, 200, c->request_id, !is_action(c, "torn-unsealed"));
	evbuffer_add_printf(bufferevent_get_output(c->bev),
	    "Content-Type: text/event-stream\r\n%s\r\n\r\n",
	    c->unframed ? "Connection: close" : "Transfer-Encoding: chunked");
	if (c->reader.head.method == HTTP_HEAD)
		end_request(c);
	else if (is_action(c, "open-none"))
		close_after_flush(c);
	else if (is_bulk(c))
		continue_bulk(c);
	else
		continue_stream(c);
}

/* Starts the stream, or what a request that resumes it gets instead. */
static void
serve_stream(struct conn *c, int last_event)
{
	c->next_event = last_event + 1;
	c->preempted = false;
	if (c->resuming && is_action(c, "torn-error")) {
		send_response(c, 500, c->request_id, true);
		end_request(c);
	} else if (c->resuming && is_action(c, "torn-page")) {
		send_response(c, 200, c->request_id, true);
		end_request(c);
	} else if (c->resuming && is_action(c, "preempt-mute")) {
		close_after_flush(c);
	} else if (c->resuming && is_action(c, "preempt-hang")) {
		return;
	} else {
		if (is_action(c, "torn-again"))
			c->next_event = 1;
		start_stream(c);
	}
}

static bool
is_stream_action(const struct conn *c)
{
	return is_action(c, "stream") || is_action(c, "dribble") ||
	    is_bulk(c) || strncmp(c->action, "torn", 4) == 0 ||
	    strncmp(c->action, "preempt", 7) == 0 ||
	    strncmp(c->action, "open", 4) == 0;
}

/* Sends a part of a response head and closes the connection. */
static void
send_half_head(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	send_response_head(c, 200, c->request_id, true);
	if (is_action(c, "half-framed"))
		evbuffer_add_printf(out, "Content-Length: 4\r\n");
	if (is_action(c, "half-head"))
		evbuffer_add_printf(out, "Content-Len");
	close_after_flush(c);
}

static void
perform_action(struct conn *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	if (is_action(c, "crash")) {
		abort();
	} else if (is_action(c, "dribble")) {
		continue_dribble(c);
	} else if (is_action(c, "queued")) {
		refuse(c, c->request_id);
		end_request(c);
	} else if (is_action(c, "large")) {
		send_large(c);
	} else if (strncmp(c->action, "endless-", 8) == 0) {
		start_endless(c);
	} else if (strncmp(c->action, "half-", 5) == 0) {
		send_half_head(c);
	} else if (is_action(c, "mute")) {
		close_after_flush(c);
	} else if (is_action(c, "cut")) {
		send_response_head(c, 200, c->request_id, true);
		evbuffer_add_printf(out, "Content-Length: 100\r\n\r\nhalf");
		bufferevent_flush(c->bev, EV_WRITE, BEV_FLUSH);
		pb_copy_str(c->action, sizeof(c->action), "mute");
		start_timer(c, 30);
	} else if (is_action(c, "unframed")) {
		send_response_head(c, 200, c->request_id, true);
		evbuffer_add_printf(out,
		    "Connection: close\r\n\r\n" BODY_PREFIX "%s",
		    c->backend->id);
		pb_copy_str(c->action, sizeof(c->action), "mute");
		start_timer(c, 30);
	} else {
		int status = is_action(c, "error") ? 500
		    : is_action(c, "unmarked")	   ? 503
						   : 200;

		if (is_action(c, "late"))
			send_response(c, 200, "another-request", true);
		send_response(
		    c, status, c->request_id, !is_action(c, "unsealed"));
		if (is_action(c, "extra"))
			send_response(c, 200, c->request_id, true);
		end_request(c);
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct conn *c = arg;

	(void)fd;
	(void)what;
	if (is_bulk(c))
		give_up(c);
	else if (c->next_event != 0 && !is_action(c, "dribble"))
		continue_stream(c);
	else
		perform_action(c);
}

/* Serves the queries of tests; returns false for other targets. */
static bool
serve_test_query(struct conn *c, const char *target)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	struct pb_buf text = {0};

	if (strcmp(target, "/say-leaving") == 0)
		c->backend->leaving = true;
	else if (strncmp(target, "/say-pause/", 11) == 0)
		pb_copy_str(
		    c->backend->pause, sizeof(c->backend->pause), target + 11);
	else if (strcmp(target, "/cancelled") == 0)
		pb_append_fmt(&text, "%d\n", c->backend->cancelled);
	else if (!backend_log_answer(c->backend->log, target, &text))
		return false;
	evbuffer_add_printf(out,
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", text.len,
	    text.len > 0 ? text.data : "");
	pb_clear_buf(&text);
	read_next_request(c);
	return true;
}

static bool
is_misdirected(struct conn *c, const struct pb_http_head *h)
{
	char expected[64];

	copy_field(
	    h, "X-Poplarbeam-Expect-Instance", expected, sizeof(expected));
	return expected[0] != '\0' && strcmp(expected, c->backend->id) != 0;
}

/* Returns true if the part that crashes the process precedes the last one. */
static bool
has_crashing_part(const struct pb_http_head *h)
{
	char parts[256];
	const char *found;

	copy_field(h, "X-Poplarbeam-Prompt-Prefix", parts, sizeof(parts));
	found = strstr(parts, "crash:");
	return found != NULL && strchr(found, ',') != NULL;
}

static void
serve_request(struct conn *c)
{
	const struct pb_http_head *h = &c->reader.head;
	struct pb_str t = pb_http_target(h);
	char target[256], last_event_id[32], holder[64];
	const char *slash, *query;

	snprintf(target, sizeof(target), "%.*s", (int)t.len, t.data);
	if (serve_test_query(c, target))
		return;
	query = strstr(target, "work=");
	c->work_ms = query != NULL ? atoi(query + 5) : 5;
	target[strcspn(target, "?")] = '\0';
	slash = strrchr(target, '/');
	pb_copy_str(
	    c->action, sizeof(c->action), slash != NULL ? slash + 1 : "");
	if (c->backend->action != NULL)
		pb_copy_str(c->action, sizeof(c->action), c->backend->action);
	copy_field(
	    h, "X-Poplarbeam-Attempt-Id", c->request_id, sizeof(c->request_id));
	if (is_misdirected(c, h)) {
		send_response(c, 421, c->request_id, false);
		read_next_request(c);
		return;
	}
	copy_field(h, "Kv-Fetch", holder, sizeof(holder));
	backend_log_add_arrival(c->backend->log, c->request_id, holder);
	copy_field(h, "Last-Event-Id", last_event_id, sizeof(last_event_id));
	c->resuming = last_event_id[0] != '\0';
	if (c->backend->pause[0] != '\0' || is_action(c, "full") ||
	    (c->resuming &&
		(is_action(c, "torn-full") || is_action(c, "preempt-full")))) {
		refuse(c, c->request_id);
		read_next_request(c);
		return;
	}
	if (is_action(c, "refusal-again"))
		refuse(c, "another-request");
	if (is_action(c, "refusal-unnamed"))
		refuse(c, NULL);
	if (!is_action(c, "queued"))
		backend_log_add_run(c->backend->log, c->request_id);
	if (has_crashing_part(h)) {
		send_response_head(c, 200, c->request_id, true);
		evbuffer_write(
		    bufferevent_get_output(c->bev), bufferevent_getfd(c->bev));
		abort();
	}
	c->busy = true;
	c->backend->running++;
	c->next_event = 0;
	if (is_stream_action(c)) {
		serve_stream(c, atoi(last_event_id));
	} else if (!is_action(c, "hang")) {
		start_timer(c, c->work_ms);
	}
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t n, len;

	while (!c->reader.complete && (len = evbuffer_get_length(in)) > 0) {
		n = pb_feed_http(
		    &c->reader, (const char *)evbuffer_pullup(in, -1), len);
		evbuffer_drain(in, n);
		if (c->reader.error != PB_HTTP_OK) {
			close_conn(c);
			return;
		}
		if (c->reader.complete) {
			serve_request(c);
			return;
		}
	}
}

static void
read_next_request(struct conn *c)
{
	pb_reset_http_reader(&c->reader);
	c->next_event = 0;
	bufferevent_trigger(c->bev, EV_READ, 0);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
		close_conn(arg);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int len, void *arg)
{
	struct backend *b = arg;
	struct conn *c = calloc(1, sizeof(*c));

	(void)listener;
	(void)addr;
	(void)len;
	c->backend = b;
	c->bev = bufferevent_socket_new(
	    b->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	c->timer = evtimer_new(b->base, on_timer, c);
	pb_init_http_reader(&c->reader, HTTP_REQUEST, NULL, c, 65536, 16 << 20);
	bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

int
main(int argc, char **argv)
{
	struct backend *b = calloc(1, sizeof(*b));
	struct sockaddr_in addr = {.sin_family = AF_INET};
	struct evconnlistener *listener;

	if (argc < 3 || argc > 4 || b == NULL) {
		fprintf(stderr, "usage: pb-backend PORT ID [ACTION]\n");
		free(b);
		return 2;
	}
	b->log = backend_log_new();
	/* The peer may close a connection while it is written to. */
	signal(SIGPIPE, SIG_IGN);
	b->base = event_base_new();
	b->id = argv[2];
	b->action = argv[3];
	addr.sin_port = htons((uint16_t)atoi(argv[1]));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = evconnlistener_new_bind(b->base, on_accept, b,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
	    (struct sockaddr *)&addr, sizeof(addr));
	if (listener == NULL) {
		fprintf(
		    stderr, "pb-backend: cannot listen on port %s\n", argv[1]);
		backend_log_free(b->log);
		free(b);
		return 1;
	}
	event_base_dispatch(b->base);
	return 0;
}
