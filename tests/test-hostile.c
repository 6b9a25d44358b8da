#include "../source/caller/caller-internal.h"
#include "../source/claim/claim-row.h"
#include "../source/platform/platform-http.h"
#include "../source/relay/relay-parse.h"
#include "../source/router/router-report.h"
#include "../source/upstream/upstream-head.h"
#include "poplarbeam/boot.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

/* Tests with input that a hostile caller, upstream or platform may send. */

static struct pb_context *ctx;

static const char settings_text[] = "services:\n"
				    "  - {name: p, kind: plain, prefix: /p}\n"
				    "accounts:\n"
				    "  - {name: a, key: key-key-a}\n";

/*
 * Parses a POST to path with a header that is added as often as times says.
 * Returns the status of the rejection, or 0 if the request is accepted.
 */
static int
parse_post(struct entry *e, const char *path, const char *name,
    const char *value, int times)
{
	struct pb_settings_text text = {
	    "t", "t", {settings_text, sizeof(settings_text) - 1}};
	struct pb_settings_report report = {.count = 0};
	struct caller_head head = {
	    .method = "POST", .path = path, .header_count = 1};
	struct fault f;

	memset(e, 0, sizeof(*e));
	e->ctx = ctx;
	e->arena = pb_new_arena(ctx);
	e->settings = pb_parse_settings(ctx, &text, 1, 1, &report);
	head.headers[0].name = pb_str_from("Authorization");
	head.headers[0].value = pb_str_from("Bearer key-key-a");
	for (; times > 0; times--) {
		head.headers[head.header_count].name = pb_str_from(name);
		head.headers[head.header_count++].value = pb_str_from(value);
	}
	if (entry_parse_head(e, &head, &f) && entry_parse_body(e, &head, &f))
		return 0;
	return f.status;
}

static void
clear_entry(struct entry *e)
{
	pb_drop_settings(ctx, e->settings);
	pb_drop_arena(ctx, e->arena);
}

/*
 * Guards against a caller that poses as a router or as another client account
 * or that injects header lines, and against headers that are lost on the way.
 */
static void
test_caller(void)
{
	static const struct {
		const char *path, *name, *value;
		int times, status;
		size_t headers; /* headers of an accepted request */
	} cases[] = {
	    {"/p", "X-Pb-Rank", "0", 1, 0, 1},
	    {"/p", "x-pB-request", "r", 1, 0, 1},
	    {"/p", "X-Poplarbeam-Account", "b", 1, 0, 1},
	    {"/p", "Transfer-Encoding", "chunked", 1, 0, 1},
	    {"/p", "X-A", "b", 40, 0, 41},
	    {"/p", "X-A", "b", 41, 431, 0},
	    {"/p", "X-A", "b\r\nX-Pb-Rank: 0", 1, 400, 0},
	    {"/p", "X-A", "b\rX-Pb-Rank: 0", 1, 400, 0},
	    {"/p", "X-A", "b\nX-Pb-Rank: 0", 1, 400, 0},
	    {"/p", "X A", "b", 1, 400, 0},
	    {"/p", "X-A\r\nX-Pb-Rank", "b", 1, 400, 0},
	    {"/p/a b", "X-A", "b", 1, 400, 0},
	    {"/p\r\nX-Pb-Rank: 0", "X-A", "b", 1, 400, 0},
	};
	struct entry *e = malloc(sizeof(*e));
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(parse_post(e, cases[i].path, cases[i].name,
				    cases[i].value, cases[i].times),
		    cases[i].status);
		if (cases[i].status == 0) {
			struct pb_str a = pb_find_header(e->req.headers,
			    e->req.header_count, "X-Poplarbeam-Account");

			CU_ASSERT_EQUAL(e->req.header_count, cases[i].headers);
			CU_ASSERT_TRUE(pb_str_equal_c(a, "a"));
		}
		clear_entry(e);
	}
	free(e);
}

/* Guards against a target that is truncated on its way to the upstream. */
static void
test_long_target(void)
{
	struct entry *e = malloc(sizeof(*e));
	char path[2001];

	memset(path, 'x', sizeof(path));
	memcpy(path, "/p/", 3);
	path[1900] = '\0';
	CU_ASSERT_EQUAL(parse_post(e, path, "X-A", "b", 1), 0);
	CU_ASSERT_STRING_EQUAL(e->req.target, path);
	clear_entry(e);
	path[1900] = 'x';
	path[1901] = '\0';
	CU_ASSERT_EQUAL(parse_post(e, path, "X-A", "b", 1), 414);
	clear_entry(e);
	free(e);
}

/* Guards against relayed numbers that wrap around and ids that alter a path. */
static void
test_relay(void)
{
	static const struct {
		const char *name, *value;
		bool ok;
	} cases[] = {{"X-Pb-Cell", "3", true}, {"X-Pb-Cell", "-1", false},
	    {"X-Pb-Cell", "4294967296", false}, {"X-Pb-Rank", "8", false},
	    {"X-Pb-Work", "4294967296", false}, {"X-Pb-Work", " 5", false},
	    {"X-Pb-Wait-Ms", "9223372036854775807", false},
	    {"X-Pb-Deadline-Ms", "18446744073709551615", false},
	    {"X-Pb-Deadline-Ms", "86400000", true}, {"X-Pb-Chat", "fg", false},
	    {"X-Pb-Idempotent", "2", false},
	    {"X-Pb-Request", "../load?", false},
	    {"X-Pb-Request",
		"0123456789012345678901234567890123456789"
		"0123456789",
		false},
	    {"X-Pb-Method", "GET /x", false}, {"X-Pb-Target", "/a b", false},
	    {"X-Pb-Target", "a", false}};
	struct pb_header h[5] = {
	    {pb_str_from("X-Pb-Service"), pb_str_from("p")},
	    {pb_str_from("X-Pb-Method"), pb_str_from("GET")},
	    {pb_str_from("X-Pb-Target"), pb_str_from("/p")},
	    {pb_str_from("X-Pb-Request"), pb_str_from("r1")}};
	struct pb_request req;
	size_t i, at;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pb_header all[5];

		memcpy(all, h, sizeof(all));
		for (at = 0; at < 4; at++)
			if (pb_str_equal_c(all[at].name, cases[i].name))
				break;
		all[at].name = pb_str_from(cases[i].name);
		all[at].value = pb_str_from(cases[i].value);
		memset(&req, 0, sizeof(req));
		CU_ASSERT_EQUAL(
		    relay_parse_request(ctx, all, at < 4 ? 4 : 5, &req),
		    cases[i].ok);
	}
}

/*
 * Parses a response head line by line. Returns the number of headers, or -1 if
 * the head is rejected.
 */
static int
read_response(struct response_head *h, const char *text)
{
	enum head_result step = HEAD_INCOMPLETE;

	memset(h, 0, sizeof(*h));
	h->arena = pb_new_arena(ctx);
	while (*text != '\0' && step != HEAD_INVALID) {
		size_t len = strcspn(text, "\n") + 1;

		step = parse_response_head_line(h, text, len);
		text += len;
	}
	pb_drop_arena(ctx, h->arena);
	return step == HEAD_INVALID ? -1 : (int)h->header_count;
}

/*
 * Guards against response splitting: a forwarded head that makes the receiver
 * see another end of the response than the router, so that the rest is read as
 * the response to another caller.
 */
static void
test_response_head(void)
{
	static const struct {
		const char *text;
		int headers;
	} cases[] = {
	    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 1},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
	     "Transfer-Encoding: chunked\r\n\r\n",
		1},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	     "Content-Length: 5\r\n\r\n",
		1},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
	     "Content-Length: 6\r\n\r\n",
		-1},
	    {"HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n", -1},
	    {"HTTP/1.1 200 OK\r\nX: a\rSet-Cookie: b\r\n\r\n", -1},
	    {"HTTP/1.1 200 OK\r\nX : a\r\n\r\n", -1},
	    {"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", -1},
	    {"HTTP/1.1 2000 OK\r\n\r\n", -1},
	    {"HTTP/1.1 999 \r\n\r\n", -1},
	    {"HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 204 x\r\n\r\n", 0},
	    /* A trailer that looks like another head changes nothing. */
	    {"HTTP/1.1 200 OK\r\nA: b\r\n\r\nHTTP/1.1 500: x\r\nC: d\r\n", 1},
	};
	struct response_head h;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(
		    read_response(&h, cases[i].text), cases[i].headers);
	CU_ASSERT_EQUAL(h.status, 200);
	CU_ASSERT_TRUE(pb_is_router_header(pb_str_from("x-pb-Result")));
	CU_ASSERT_TRUE(
	    pb_is_router_header(pb_str_from("X-Poplarbeam-Outcome")));
	CU_ASSERT_FALSE(pb_is_router_header(pb_str_from("X-Pbx")));
}

/*
 * Guards against load reports with an age that overflows or a throttle value
 * that would attract all work to one instance.
 */
static void
test_report(void)
{
	static const struct {
		const char *text;
		bool ok;
	} cases[] = {{"{\"work\":5,\"age_ms\":7,\"throttle\":0.5}", true},
	    {"{}", true}, {"[]", false}, {"", false}, {"{\"work\":-1}", false},
	    {"{\"work\":\"5\"}", false},
	    {"{\"age_ms\":9223372036854775807}", false},
	    {"{\"throttle\":1e300}", false}, {"{\"throttle\":-1}", false}};
	struct load_report r;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(
		    router_parse_report(pb_str_from(cases[i].text), &r),
		    cases[i].ok);
}

/* Guards against an id or address that breaks out of a header line or URL. */
static void
test_instances(void)
{
	static const char text[] =
	    "{\"instances\":["
	    "{\"id\":\"e1\",\"role\":\"upstream\",\"state\":\"live\","
	    "\"address\":\"h:1\"},"
	    "{\"id\":\"e2\\r\\nX-Pb-Rank: 0\",\"role\":\"upstream\","
	    "\"state\":\"live\",\"address\":\"h:1\"},"
	    "{\"id\":\"e3\",\"role\":\"upstream\",\"state\":\"live\","
	    "\"address\":\"h:1/ x\"}]}";
	struct pb_instance *list;
	size_t count;

	CU_ASSERT_EQUAL(
	    pb_parse_instances(ctx, "list", pb_str_from(text), &list, &count),
	    PB_OK);
	CU_ASSERT_EQUAL(count, 1);
	CU_ASSERT_STRING_EQUAL(list[0].id, "e1");
	free(list);
}

/*
 * Guards against one entry that hides all others, or sends requests to a port
 * that does not exist.
 */
static void
test_odd_instance(void)
{
	static const char *const odd[] = {
	    "\"incarnation\":99999999999999999999", "\"x\":1e999",
	    "\"x\":\"\\u0000\"", "\"address\":\"h:70000\"",
	    "\"address\":\"h:0\"", "\"address\":\"h\"", "\"peer\":\"h:-1\"",
	    "\"x\":\"]},{\\\"\"", "\"x\":\"\xff\""};
	static const char fmt[] =
	    "{\"instances\":[ {\"id\":\"a\",\"role\":\"upstream\","
	    "\"state\":\"live\",\"address\":\"h:1\"}, "
	    "{\"id\":\"odd\",\"role\":\"upstream\",\"state\":\"live\",%s%s},\n"
	    "{\"id\":\"b\",\"role\":\"upstream\",\"state\":\"live\","
	    "\"address\":\"h:2\"}], \"more\":[1]}";
	char deep[6000], text[8000];
	struct pb_instance *list;
	size_t i, count;

	memset(deep, '[', 2999);
	memset(deep + 2999, ']', 3000);
	deep[sizeof(deep) - 1] = '\0';
	for (i = 0; i <= sizeof(odd) / sizeof(odd[0]); i++) {
		bool last = i == sizeof(odd) / sizeof(odd[0]);

		snprintf(text, sizeof(text), fmt, last ? "\"x\":[" : odd[i],
		    last ? deep : "");
		count = 0;
		CU_ASSERT_EQUAL(pb_parse_instances(ctx, "list",
				    pb_str_from(text), &list, &count),
		    PB_OK);
		CU_ASSERT_EQUAL_FATAL(count, 2);
		CU_ASSERT_STRING_EQUAL(list[1].id, "b");
		free(list);
	}
}

/* Guards against a list that was cut short and taken for a shorter list. */
static void
test_cut_instances(void)
{
	static const char text[] =
	    "{\"instances\":[{\"id\":\"a\",\"role\":\"upstream\","
	    "\"state\":\"live\",\"address\":\"h:1\"}]}";
	struct pb_instance *list;
	size_t count, len;

	for (len = 0; len < sizeof(text) - 1; len++) {
		CU_ASSERT_NOT_EQUAL(
		    pb_parse_instances(
			ctx, "list", (struct pb_str){text, len}, &list, &count),
		    PB_OK);
	}
}

/* Guards against a stored outcome that corrupts the response when replayed. */
static void
test_claim_row(void)
{
	static const char *const fmt =
	    "{\"state\":\"done\",\"attempt\":\"a\",\"fingerprint\":\"f\","
	    "\"time\":%s,\"status\":%s,\"content_type\":\"%s\"}";
	static const struct {
		const char *time, *status, *type;
		bool ok;
	} cases[] = {{"1", "200", "text/plain", true},
	    {"-9223372036854775807", "200", "", false}, {"1", "99", "", false},
	    {"1", "4294967496", "", false},
	    {"1", "200", "a\\r\\nSet-Cookie: b", false}};
	struct pb_claim_record rec;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pb_buf buf = {0};

		pb_append_fmt(
		    &buf, fmt, cases[i].time, cases[i].status, cases[i].type);
		CU_ASSERT_EQUAL(pb_decode_claim(&buf, &rec), cases[i].ok);
		pb_clear_buf(&buf);
	}
}

/*
 * Guards against a crash on an empty boot settings file, and against an
 * instance name that would inject a header line.
 */
static void
test_boot(void)
{
	struct pb_boot_config b;

	CU_ASSERT_EQUAL(
	    pb_parse_boot_config(ctx, "f", PB_STR_NONE, &b), PB_EINVAL);
	CU_ASSERT_EQUAL(pb_parse_boot_config(ctx, "f",
			    pb_str_from("instance: \"r1\\r\\nX: y\"\n"), &b),
	    PB_EINVAL);
	CU_ASSERT_PTR_NOT_NULL(strstr(ctx->error.text, "printable"));
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"caller", test_caller},
	    {"long target", test_long_target}, {"relay", test_relay},
	    {"answer head", test_response_head}, {"load report", test_report},
	    {"instances", test_instances}, {"odd instance", test_odd_instance},
	    {"cut list of instances", test_cut_instances},
	    {"claim row", test_claim_row}, {"boot", test_boot},
	    CU_TEST_INFO_NULL};
	int rc;

	ctx = pb_new_context(pb_system_clock(), NULL);
	rc = run_suite("hostile", tests);
	pb_drop_context(ctx);
	return rc;
}
