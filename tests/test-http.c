#include "poplarbeam/http.h"

#include "run-suite.h"
#include <string.h>

struct received_body {
	char body[256];
	size_t len;
};

static void
append_body(struct pb_http_reader *reader, struct pb_str part)
{
	struct received_body *s = reader->owner;

	if (s->len + part.len < sizeof(s->body)) {
		memcpy(s->body + s->len, part.data, part.len);
		s->len += part.len;
	}
}

static const struct pb_http_ops ops = {NULL, append_body};

/* Feeds the text in pieces of this size; returns the bytes consumed. */
static size_t
feed(struct pb_http_reader *r, struct received_body *s, const char *text,
    size_t piece)
{
	size_t len = strlen(text), at = 0;

	pb_init_http_reader(r, HTTP_REQUEST, &ops, s, 512, 100);
	s->len = 0;
	while (at < len && !r->complete && r->error == PB_HTTP_OK) {
		size_t n = len - at < piece ? len - at : piece;

		at += pb_feed_http(r, text + at, n);
	}
	s->body[s->len] = '\0';
	return at;
}

static enum pb_http_error
parse_error(const char *text)
{
	struct pb_http_reader r;
	struct received_body s;

	feed(&r, &s, text, 1000);
	pb_clear_http_reader(&r);
	return r.error;
}

/*
 * Guards against request smuggling: a request must be refused if another HTTP
 * parser could find its end at a different place.
 */
static void
test_ambiguous_framing(void)
{
	static const char *const bad[] = {
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
	    "Content-Length: 5\r\n\r\nabcde",
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nabcd",
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nabcd",
	    "POST / HTTP/1.1\r\nHost: a\r\n"
	    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	    "POST / HTTP/1.1\r\nHost: a\r\n"
	    "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
	    "GET / HTTP/1.1\r\nHo st: a\r\n\r\n", "nonsense\r\n\r\n",
	    "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
	    "POST / HTTP/1.1\r\nHost: a\r\n"
	    "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
	    "POST / HTTP/1.1\r\nHost: a\r\n"
	    "X: y\r\n\tContent-Length: 4\r\n\r\n",
	    "GET / HTTP/1.1\r\nHost: a\r\n\rX\n\r h\r\n",
	    "POST / HTTP/1.0\r\nHost: a\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    "POST / HTTP/1.1\r\nHost: a\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n",
	    "POST / HTTP/1.1\r\nHost: a\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n2\rXab\r\n0\r\n\r\n"};
	size_t i, piece;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		CU_ASSERT_EQUAL(parse_error(bad[i]), PB_HTTP_MALFORMED);
		for (piece = 1; piece < 6; piece++) {
			struct pb_http_reader r;
			struct received_body s;

			feed(&r, &s, bad[i], piece);
			CU_ASSERT_EQUAL(r.error, PB_HTTP_MALFORMED);
			pb_clear_http_reader(&r);
		}
	}
}

/* Guards against a result that depends on how the input is split. */
static void
test_pieces(void)
{
	static const char text[] = "POST /a/b?c=1 HTTP/1.1\r\nHost: shop\r\n"
				   "X-One:  two words \r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\nGET /";
	size_t piece;

	for (piece = 1; piece < 20; piece++) {
		struct pb_http_reader r;
		struct received_body s;
		size_t used = feed(&r, &s, text, piece);

		CU_ASSERT(r.complete);
		CU_ASSERT_EQUAL(used, strlen(text) - strlen("GET /"));
		CU_ASSERT_STRING_EQUAL(s.body, "abcde");
		CU_ASSERT(pb_str_equal_c(pb_http_target(&r.head), "/a/b?c=1"));
		CU_ASSERT(pb_str_equal_c(
		    pb_find_http_field(&r.head, "x-one"), "two words"));
		pb_clear_http_reader(&r);
	}
}

/* Guards against a caller that makes memory use grow without limit. */
static void
test_limits(void)
{
	char text[1200];
	int n;

	n = snprintf(text, sizeof(text), "GET / HTTP/1.1\r\nX: ");
	memset(text + n, 'a', 900);
	snprintf(text + n + 900, sizeof(text) - (size_t)n - 900, "\r\n\r\n");
	CU_ASSERT_EQUAL(parse_error(text), PB_HTTP_HEAD_TOO_LARGE);
	n = snprintf(text, sizeof(text),
	    "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
	memset(text + n, 'a', 101);
	text[n + 101] = '\0';
	CU_ASSERT_EQUAL(parse_error(text), PB_HTTP_BODY_TOO_LARGE);
}

/*
 * Guards against a head that is within its limit and is refused for the number
 * of its fields.
 */
static void
test_many_fields(void)
{
	struct pb_http_reader r;
	struct pb_buf text = {0};
	int i;

	pb_append_fmt(&text, "GET / HTTP/1.1\r\n");
	for (i = 0; i < 100; i++)
		pb_append_fmt(&text, "A%d: b\r\n", i);
	pb_append_fmt(&text, "\r\n");
	pb_init_http_reader(&r, HTTP_REQUEST, NULL, NULL, 1200, 100);
	pb_feed_http(&r, text.data, text.len);
	CU_ASSERT(r.complete);
	CU_ASSERT_EQUAL(r.head.field_count, 100);
	CU_ASSERT(pb_str_equal_c(pb_find_http_field(&r.head, "a99"), "b"));
	pb_clear_http_reader(&r);
	pb_clear_buf(&text);
}

/* Guards against fields without end, each of the least size. */
static void
test_endless_fields(void)
{
	struct pb_http_reader r;
	int i;

	pb_init_http_reader(&r, HTTP_REQUEST, NULL, NULL, 1200, 100);
	pb_feed_http(&r, "GET / HTTP/1.1\r\n", 16);
	for (i = 0; i < 1000 && r.error == PB_HTTP_OK; i++)
		pb_feed_http(&r, "a:\r\n", 4);
	CU_ASSERT_EQUAL(r.error, PB_HTTP_HEAD_TOO_LARGE);
	CU_ASSERT(i <= 302);
	pb_clear_http_reader(&r);
}

/* Guards against a truncated response that is reported as complete. */
static void
test_end_of_connection(void)
{
	struct pb_http_reader r;
	static const char whole[] = "HTTP/1.1 200 OK\r\n\r\nabc";
	static const char cut[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";

	pb_init_http_reader(&r, HTTP_RESPONSE, NULL, NULL, 512, 100);
	pb_feed_http(&r, whole, strlen(whole));
	CU_ASSERT_FALSE(r.complete);
	CU_ASSERT(pb_finish_http(&r));
	pb_reset_http_reader(&r);
	pb_feed_http(&r, cut, strlen(cut));
	CU_ASSERT_FALSE(pb_finish_http(&r));
	pb_reset_http_reader(&r);
	pb_feed_http(&r, whole, 10);
	CU_ASSERT_FALSE(pb_finish_http(&r));
	pb_clear_http_reader(&r);
}

/* Guards against forwarding of hop-by-hop fields. */
static void
test_hop_fields(void)
{
	struct pb_str list = pb_str_from("close, X-Mine , keep-alive");

	CU_ASSERT(pb_is_hop_by_hop_field(pb_str_from("Transfer-Encoding")));
	CU_ASSERT(pb_is_hop_by_hop_field(pb_str_from("CONNECTION")));
	CU_ASSERT_FALSE(pb_is_hop_by_hop_field(pb_str_from("Content-Type")));
	CU_ASSERT(pb_http_list_has(list, pb_str_from("x-mine")));
	CU_ASSERT_FALSE(pb_http_list_has(list, pb_str_from("mine")));
}

int
main(void)
{
	static CU_TestInfo tests[] = {
	    {"ambiguous framing", test_ambiguous_framing},
	    {"pieces", test_pieces}, {"limits", test_limits},
	    {"many fields", test_many_fields},
	    {"endless fields", test_endless_fields},
	    {"end of connection", test_end_of_connection},
	    {"hop fields", test_hop_fields}, CU_TEST_INFO_NULL};

	return run_suite("http", tests);
}
