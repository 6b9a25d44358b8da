#include "poplarbeam/caller.h"
#include "poplarbeam/lease.h"
#include "poplarbeam/upstream.h"

#include "run-suite.h"
#include <arpa/inet.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * HTTP server that sends the next scripted response on each connection, closes
 * the connection and counts the received requests.
 */
struct server {
	int fd;
	char address[48];
	const char **scripts; /* NULL entry: close without a response */
	int count;
	_Atomic int requests;
	_Atomic size_t received; /* size of the last request, up to 4 KiB */
	bool keep_alive; /* serve several requests on a connection */
	bool endless; /* repeat the response until the client closes */
	pthread_t thread;
};

static struct pb_context *ctx;

static bool
read_request(struct server *s, int fd)
{
	/* The timeout keeps an idle connection from blocking the next one. */
	struct timeval limit = {0, 300000};
	char buf[4096];
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	n = recv(fd, buf, sizeof(buf), 0);
	s->received = n > 0 ? (size_t)n : 0;
	return n > 0;
}

static void
send_script(const struct server *s, int fd, const char *script)
{
	if (script == NULL)
		return;
	while (send(fd, script, strlen(script), MSG_NOSIGNAL) > 0 && s->endless)
		;
}

static void *
serve(void *arg)
{
	struct server *s = arg;
	int i = 0, fd;

	while (i < s->count && (fd = accept(s->fd, NULL, NULL)) >= 0) {
		do {
			if (!read_request(s, fd))
				break;
			s->requests++;
			send_script(s, fd, s->scripts[i]);
			i++;
		} while (s->keep_alive && i < s->count);
		close(fd);
	}
	return NULL;
}

static void
start(struct server *s, const char **scripts, int count, bool keep_alive)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);

	memset(s, 0, sizeof(*s));
	s->scripts = scripts;
	s->count = count;
	s->keep_alive = keep_alive;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL(bind(s->fd, (struct sockaddr *)&sin, len), 0);
	listen(s->fd, 8);
	getsockname(s->fd, (struct sockaddr *)&sin, &len);
	snprintf(s->address, sizeof(s->address), "127.0.0.1:%d",
	    ntohs(sin.sin_port));
	pthread_create(&s->thread, NULL, serve, s);
}

static void
stop(struct server *s)
{
	shutdown(s->fd, SHUT_RDWR);
	pthread_join(s->thread, NULL);
	close(s->fd);
}

static int
call(struct pb_client *client, const char *address, bool fresh,
    struct pb_buffer_sink *sink, struct pb_call_result *res)
{
	struct pb_call c = {.peer = "e1",
	    .address = address,
	    .method = "POST",
	    .target = "/x",
	    .body = pb_str_from("hello"),
	    .fresh = fresh,
	    .connect_us = PB_SEC,
	    .total_us = 5 * PB_SEC};

	pb_init_buffer_sink(sink, 1 << 20);
	return pb_call_http(ctx, client, &c, &sink->base, res);
}

/*
 * Guards against a truncated response, or one without length and chunked
 * encoding, that is reported as complete.
 */
static void
test_truncated(void)
{
	const char *scripts[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345"
	    "\r\n",
	    "HTTP/1.1 200 OK\r\n\r\n12345",
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12345",
	};
	struct pb_client *client = pb_new_client(ctx, 4);
	struct pb_buffer_sink sink;
	struct pb_call_result res;
	struct server s;
	int i;

	start(&s, scripts, 4, false);
	for (i = 0; i < 4; i++) {
		int rc = call(client, s.address, true, &sink, &res);

		CU_ASSERT_EQUAL(rc == PB_OK, i == 3);
		CU_ASSERT_EQUAL(res.complete, i == 3);
		CU_ASSERT_TRUE(res.sent);
		CU_ASSERT_STRING_EQUAL(sink.body.data, "12345");
		pb_clear_buf(&sink.body);
	}
	stop(&s);
	pb_drop_client(ctx, client);
}

/*
 * Guards against a response that is reported as complete although its head
 * breaks off, after which the caller gets an empty body that looks whole.
 */
static void
test_torn_head(void)
{
	const char *scripts[] = {"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 5",
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
	    "HTTP/1.1 204 No Content\r\n"};
	int i, n = (int)(sizeof(scripts) / sizeof(scripts[0]));
	struct pb_client *client = pb_new_client(ctx, 4);
	struct pb_buffer_sink sink;
	struct pb_call_result res;
	struct server s;

	start(&s, scripts, n, false);
	for (i = 0; i < n; i++) {
		int rc = call(client, s.address, true, &sink, &res);

		CU_ASSERT_NOT_EQUAL(rc, PB_OK);
		CU_ASSERT_FALSE(res.complete);
		CU_ASSERT_TRUE(res.sent);
		CU_ASSERT_EQUAL(sink.status, 0);
		pb_clear_buf(&sink.body);
	}
	stop(&s);
	pb_drop_client(ctx, client);
}

/*
 * Guards against an upstream that exhausts the memory with a head that never
 * ends: many lines, or interim responses without end.
 */
static void
test_endless_head(void)
{
	const char *scripts[] = {
	    "HTTP/1.1 102 Processing\r\nX-Fill: 0123456789abcdef\r\n\r\n"};
	struct pb_client *client = pb_new_client(ctx, 4);
	int64_t begin = pb_now(ctx);
	struct pb_buffer_sink sink;
	struct pb_call_result res;
	struct server s;

	start(&s, scripts, 1, false);
	s.endless = true;
	CU_ASSERT_EQUAL(call(client, s.address, true, &sink, &res), PB_EPROTO);
	CU_ASSERT_TRUE(pb_now(ctx) - begin < 2 * PB_SEC);
	pb_clear_buf(&sink.body);
	stop(&s);
	pb_drop_client(ctx, client);
}

/* Guards against a request that may have been sent but is reported unsent. */
static void
test_sent(void)
{
	const char *scripts[] = {NULL};
	struct pb_client *client = pb_new_client(ctx, 4);
	struct pb_buffer_sink sink;
	struct pb_call_result res;
	struct server s;

	start(&s, scripts, 1, false);
	CU_ASSERT_EQUAL(
	    call(client, s.address, true, &sink, &res), PB_EUNKNOWN);
	CU_ASSERT_TRUE(res.sent);
	stop(&s);
	CU_ASSERT_EQUAL(
	    call(client, s.address, true, &sink, &res), PB_EUNAVAIL);
	CU_ASSERT_FALSE(res.sent);
	pb_drop_client(ctx, client);
}

static int
count_requests(bool fresh)
{
	const char *scripts[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", NULL,
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
	struct pb_client *client = pb_new_client(ctx, 4);
	struct pb_buffer_sink sink;
	struct pb_call_result res;
	struct server s;

	start(&s, scripts, 3, true);
	CU_ASSERT_EQUAL(call(client, s.address, false, &sink, &res), PB_OK);
	pb_clear_buf(&sink.body);
	call(client, s.address, fresh, &sink, &res);
	pb_clear_buf(&sink.body);
	stop(&s);
	pb_drop_client(ctx, client);
	return s.requests;
}

/*
 * Guards against running a request twice. libcurl resends a request on its own
 * when a reused connection breaks before the response. The second script breaks
 * the connection, and the third one would answer the resent request. Each call
 * must be sent once, on a new connection and on a reused one.
 */
static void
test_no_resend(void)
{
	CU_ASSERT_EQUAL(count_requests(false), 2);
	CU_ASSERT_EQUAL(count_requests(true), 2);
}

/*
 * Guards against reporting a request as not sent when it was sent on a reused
 * connection that broke, and a new connection is then refused.
 */
static void
test_sent_on_reused(void)
{
	const char *scripts[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", NULL};
	struct pb_client *client = pb_new_client(ctx, 4);
	struct pb_buffer_sink sink;
	struct pb_call_result res;
	struct server s;

	start(&s, scripts, 2, true);
	CU_ASSERT_EQUAL(call(client, s.address, false, &sink, &res), PB_OK);
	pb_clear_buf(&sink.body);
	/* Further connections are refused. */
	close(s.fd);
	CU_ASSERT_EQUAL(
	    call(client, s.address, false, &sink, &res), PB_EUNKNOWN);
	CU_ASSERT_TRUE(res.sent);
	pb_clear_buf(&sink.body);
	pthread_join(s.thread, NULL);
	pb_drop_client(ctx, client);
}

/*
 * Response with "Connection: close", because this server closes the connection
 * after each response; the client must not reuse it.
 */
#define ANSWER(status, length, body)                   \
	"HTTP/1.1 " status "\r\nConnection: close\r\n" \
	"Content-Length: " length "\r\n\r\n" body

/*
 * Guards against an order that is reported as refused or in state without such
 * a response, and against using fencing numbers that the upstream does not
 * enforce.
 */
static void
test_orders(void)
{
	const char *scripts[] = {ANSWER("200 OK", "2", "{}"),
	    ANSWER("409 Conflict", "11", "{\"fence\":9}"),
	    ANSWER("500 Error", "0", ""), NULL,
	    ANSWER("200 OK", "30", "{\"fence\":7,\"desired\":{\"a\":1}} "),
	    ANSWER("404 Not Found", "0", ""), ANSWER("200 OK", "2", "[]"),
	    ANSWER("409 Conflict", "11", "{\"fence\":9}"),
	    ANSWER("200 OK", "30", "{\"fence\":7,\"desired\":{\"a\":1}} ")};
	static const int puts[] = {
	    PB_OK, PB_ECONFLICT, PB_EUNKNOWN, PB_EUNKNOWN};
	static const int gets[] = {PB_OK, PB_ENOENT, PB_EPROTO};
	struct pb_client *client = pb_new_client(ctx, 4);
	struct pb_orders *o = pb_new_http_orders(ctx, client, PB_SEC, true);
	struct pb_order_state st = {0};
	uint64_t newer;
	struct server s;
	int i;

	start(&s, scripts, 9, false);
	for (i = 0; i < 4; i++) {
		CU_ASSERT_EQUAL(o->ops->put(ctx, o, s.address, "n", 3,
				    pb_str_from("{}"), &newer),
		    puts[i]);
		CU_ASSERT_EQUAL(newer, i == 1 ? 9 : 0);
	}
	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(
		    o->ops->get(ctx, o, s.address, "n", &st), gets[i]);
	CU_ASSERT_EQUAL(st.fence, 7);
	CU_ASSERT_STRING_EQUAL(st.desired.data, "{\"a\":1}");
	pb_clear_buf(&st.desired);
	pb_drop_http_orders(ctx, o);
	o = pb_new_http_orders(ctx, client, PB_SEC, false);
	CU_ASSERT_EQUAL(
	    o->ops->put(ctx, o, s.address, "n", 3, pb_str_from("{}"), &newer),
	    PB_EUNKNOWN);
	CU_ASSERT_EQUAL(o->ops->get(ctx, o, s.address, "n", &st), PB_OK);
	CU_ASSERT_EQUAL(st.fence, 0);
	pb_clear_buf(&st.desired);
	stop(&s);
	CU_ASSERT_EQUAL(
	    o->ops->put(ctx, o, s.address, "n", 3, pb_str_from("{}"), &newer),
	    PB_EUNAVAIL);
	pb_drop_http_orders(ctx, o);
	pb_drop_client(ctx, client);
}

struct collected {
	struct pb_buf text;
	int calls;
};

static int
collect_events(void *arg, const char *data, size_t len)
{
	struct collected *s = arg;

	s->calls++;
	return pb_append_buf(&s->text, data, len);
}

/* Guards against forwarding a partial event to the caller before a resume. */
static void
test_sse_pieces(void)
{
	static const char stream[] =
	    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: [DONE]\n\n";
	size_t split;

	for (split = 1; split < sizeof(stream) - 1; split++) {
		struct pb_sse sse = {0};
		struct collected out = {0};

		pb_feed_sse(&sse, stream, split, collect_events, &out);
		CU_ASSERT(out.text.len == 0 ||
		    out.text.data[out.text.len - 1] == '\n');
		CU_ASSERT_EQUAL(sse.last_id,
		    out.text.len >= 31 ? 2 : (out.text.len >= 15 ? 1 : 0));
		CU_ASSERT_FALSE(sse.done);
		pb_feed_sse(&sse, stream + split, sizeof(stream) - 1 - split,
		    collect_events, &out);
		CU_ASSERT_EQUAL(out.text.len, sizeof(stream) - 1);
		CU_ASSERT_TRUE(sse.done);
		CU_ASSERT_EQUAL(sse.last_id, 2);
		pb_clear_buf(&out.text);
		pb_clear_sse(&sse);
	}
}

/*
 * Guards against output that depends on how the input is split when a blank
 * line follows an event.
 */
static void
test_sse_blank(void)
{
	static const char stream[] = "data: a\n\n\r\n\ndata: b\n\n";
	size_t split;

	for (split = 1; split < sizeof(stream) - 1; split++) {
		struct pb_sse sse = {0};
		struct collected out = {0};

		pb_feed_sse(&sse, stream, split, collect_events, &out);
		pb_feed_sse(&sse, stream + split, sizeof(stream) - 1 - split,
		    collect_events, &out);
		CU_ASSERT_STRING_EQUAL(out.text.data, stream);
		pb_clear_buf(&out.text);
		pb_clear_sse(&sse);
	}
}

/*
 * Guards against sending a call with a truncated header, or with a header that
 * the peer parses as two.
 */
static void
test_call_headers(void)
{
	const char *scripts[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
	struct pb_client *client = pb_new_client(ctx, 4);
	struct pb_header h = {pb_str_from("X-A"), pb_str_from("b\r\nX-B: c")};
	struct pb_call c = {.peer = "e1",
	    .method = "GET",
	    .target = "/x",
	    .headers = &h,
	    .header_count = 1,
	    .connect_us = PB_SEC,
	    .total_us = 5 * PB_SEC};
	struct pb_buffer_sink sink;
	struct pb_call_result res;
	struct server s;
	char value[3000];

	start(&s, scripts, 1, false);
	c.address = s.address;
	pb_init_buffer_sink(&sink, 100);
	CU_ASSERT_EQUAL(
	    pb_call_http(ctx, client, &c, &sink.base, &res), PB_EINVAL);
	CU_ASSERT_FALSE(res.sent);
	CU_ASSERT_EQUAL(s.requests, 0);
	memset(value, 'v', sizeof(value));
	h.value = (struct pb_str){value, sizeof(value)};
	CU_ASSERT_EQUAL(pb_call_http(ctx, client, &c, &sink.base, &res), PB_OK);
	CU_ASSERT(s.received > sizeof(value));
	stop(&s);
	pb_drop_client(ctx, client);
}

/* Guards against a resume that repeats data of the interrupted event. */
static void
test_sse_reset(void)
{
	struct pb_sse sse = {0};
	struct collected out = {0};

	pb_feed_sse(
	    &sse, "id: 1\ndata: a\n\nid: 2\nda", 23, collect_events, &out);
	pb_reset_sse(&sse);
	CU_ASSERT_EQUAL(sse.last_id, 1);
	pb_feed_sse(&sse, "id: 2\ndata: b\n\n", 15, collect_events, &out);
	CU_ASSERT_STRING_EQUAL(
	    out.text.data, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	pb_clear_buf(&out.text);
	pb_clear_sse(&sse);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"truncated", test_truncated},
	    {"torn head", test_torn_head}, {"endless head", test_endless_head},
	    {"sent", test_sent}, {"no resend", test_no_resend},
	    {"sent on reused", test_sent_on_reused},
	    {"sse pieces", test_sse_pieces}, {"sse reset", test_sse_reset},
	    {"sse blank lines", test_sse_blank},
	    {"call headers", test_call_headers}, {"orders", test_orders},
	    CU_TEST_INFO_NULL};
	int rc;

	ctx = pb_new_context(pb_system_clock(), NULL);
	rc = run_suite("upstream", tests);
	pb_drop_context(ctx);
	return rc;
}
