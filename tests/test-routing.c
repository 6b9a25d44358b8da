/*
 * Tests the routing table and the adapter's parsing of the operator's
 * configuration, the rows of the store and header fields.
 */
#include "platform-adapter.h"

#include "run-suite.h"
#include <string.h>

static struct pb_manual_clock clk;
static struct pb_context *ctx;

static const char config[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/x/\","
    "\"kind\":\"idempotent\",\"timeout-ms\":1200,\"service\":\"s1\","
    "\"max-attempts\":2},"
    "{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/x/y/\","
    "\"kind\":\"streaming\",\"timeout-ms\":15000,\"priority\":2,"
    "\"resumable\":true,\"public\":true,\"backends\":["
    "{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}]},"
    "{\"name\":\"r3\",\"host\":\"b.example\",\"prefix\":\"/x/\","
    "\"kind\":\"non_idempotent\",\"timeout-ms\":900,\"service\":\"s2\"}],"
    "\"services\":[{\"name\":\"s1\",\"health-path\":\"/health\","
    "\"max-conns\":370}],\"limits\":{\"max-header-bytes\":16384,"
    "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
    "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t1\","
    "\"api-keys\":[\"k1\",\"k2\"],\"priority\":1},{\"name\":\"t2\","
    "\"api-keys\":[\"k3\"]}]}";

static struct pb_routing *
read_config(const char *text)
{
	return pb_platform_adapter()->read_routing(ctx, pb_str_from(text));
}

static const char *
route_name(const struct pb_routing *r, const char *host, const char *target)
{
	static char name[16];
	const struct pb_route *route =
	    pb_find_route(r, pb_str_from(host), pb_str_from(target));

	snprintf(name, sizeof(name), "%.*s",
	    route != NULL ? (int)route->name.len : 4,
	    route != NULL ? route->name.data : "none");
	return name;
}

/* Guards against a request that is handled by another route's service. */
static void
test_longest_prefix(void)
{
	struct pb_routing *r = read_config(config);

	CU_ASSERT_PTR_NOT_NULL(r);
	if (r == NULL)
		return;
	CU_ASSERT_STRING_EQUAL(route_name(r, "a.example", "/x/z"), "r1");
	CU_ASSERT_STRING_EQUAL(route_name(r, "a.example", "/x/y/z"), "r2");
	CU_ASSERT_STRING_EQUAL(route_name(r, "a.example", "/x/y"), "r1");
	CU_ASSERT_STRING_EQUAL(route_name(r, "a.example", "/x"), "none");
	CU_ASSERT_STRING_EQUAL(route_name(r, "a.example", "/q?/x/"), "none");
	CU_ASSERT_STRING_EQUAL(route_name(r, "A.Example:80", "/x/"), "r1");
	CU_ASSERT_STRING_EQUAL(route_name(r, "b.example", "/x/y/z"), "r3");
	CU_ASSERT_STRING_EQUAL(route_name(r, "c.example", "/x/"), "none");
	pb_drop_routing(ctx, r);
}

/* Guards against a key that is matched to the wrong account. */
static void
test_keys(void)
{
	struct pb_routing *r = read_config(config);
	const struct pb_account *a;

	CU_ASSERT_PTR_NOT_NULL(r);
	if (r == NULL)
		return;
	CU_ASSERT(r->keys_required);
	a = pb_find_key_holder(r, pb_str_from("k2"));
	CU_ASSERT_PTR_NOT_NULL(a);
	if (a == NULL)
		return;
	CU_ASSERT(pb_str_equal_c(a->name, "t1"));
	CU_ASSERT_EQUAL(a->priority, 1);
	a = pb_find_key_holder(r, pb_str_from("k3"));
	CU_ASSERT_PTR_NOT_NULL(a);
	if (a == NULL)
		return;
	CU_ASSERT_EQUAL(a->priority, PB_NO_PRIORITY);
	CU_ASSERT_PTR_NULL(pb_find_key_holder(r, pb_str_from("k")));
	CU_ASSERT_PTR_NULL(pb_find_key_holder(r, pb_str_from("k11")));
	pb_drop_routing(ctx, r);
}

/* Guards against a selection that does not follow the weights. */
static void
test_weights(void)
{
	struct pb_routing *r = read_config(config);
	const struct pb_route *route;
	int i, second = 0;

	CU_ASSERT_PTR_NOT_NULL(r);
	if (r == NULL)
		return;
	route =
	    pb_find_route(r, pb_str_from("a.example"), pb_str_from("/x/y/"));
	CU_ASSERT_PTR_NOT_NULL(route);
	if (route == NULL)
		return;
	for (i = 0; i < 1000; i++) {
		const struct pb_backend *b =
		    pb_draw_backend(route, (i + 0.5) / 1000);

		CU_ASSERT_PTR_NOT_NULL(b);
		if (b == NULL)
			return;
		second += pb_str_equal_c(b->service, "s2");
	}
	CU_ASSERT_EQUAL(second, 100);
	pb_drop_routing(ctx, r);
}

/* Guards against an invalid configuration that is applied in part. */
static void
test_malformed(void)
{
	static const char *const bad[] = {"", "[]", "{\"version\":1}",
	    "{\"version\":1,\"limits\":{},\"routes\":[{\"name\":\"r\","
	    "\"host\":\"h\",\"prefix\":\"/x\",\"kind\":\"idempotent\","
	    "\"service\":\"s\"}]}",
	    "{\"version\":1,\"limits\":{},\"routes\":[{\"name\":\"r\","
	    "\"host\":\"h\",\"prefix\":\"/x/\",\"kind\":\"odd\","
	    "\"service\":\"s\"}]}",
	    "{\"version\":1,\"limits\":{},\"routes\":[{\"name\":\"r\","
	    "\"host\":\"h\",\"prefix\":\"/x/\",\"kind\":\"idempotent\"}]}"};
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_PTR_NULL(read_config(bad[i]));
}

static int
read_entry(
    const char *value, struct pb_instance_entry *e, struct pb_arena *arena)
{
	struct pb_store_row row = {
	    .key = pb_str_from("i-1"), .value = pb_str_from(value)};

	return pb_platform_adapter()->read_instance(ctx, arena, &row, e);
}

/* Guards against invalid entries of other writers accepted as instances. */
static void
test_instance_entries(void)
{
	static const char *const bad[] = {"", "no JSON", "{}",
	    "{\"service\":\"s\",\"address\":\"h:1\",\"zone\":\"z\","
	    "\"slots\":\"8\",\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"h:1\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"odd\"}",
	    "{\"service\":5,\"address\":\"h:1\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"zone\":\"z\",\"slots\":8,"
	    "\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"h:1\",\"zone\":\"z\","
	    "\"slots\":4294967296,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"h:1\",\"zone\":\"z\","
	    "\"slots\":2147483648,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"h:1\",\"zone\":\"z\","
	    "\"slots\":1e300,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"h:1\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\","
	    "\"born\":99999999999999999999999}",
	    "{\"service\":\"s\",\"address\":\"h:1\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\",\"born\":-5}"};
	struct pb_arena *arena = pb_new_arena(ctx);
	struct pb_instance_entry e;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_NOT_EQUAL(read_entry(bad[i], &e, arena), PB_OK);
	CU_ASSERT_EQUAL(
	    read_entry("{\"service\":\"s\",\"address\":\"h:1\",\"zone\":\"z\","
		       "\"slots\":8,\"state\":\"draining\",\"born\":170,"
		       "\"new-field\":{}}",
		&e, arena),
	    PB_OK);
	CU_ASSERT(e.draining);
	CU_ASSERT_EQUAL(e.slots, 8);
	CU_ASSERT_EQUAL(e.started_ms, 170);
	pb_drop_arena(ctx, arena);
}

/* Guards against store pages that are misread or accepted in part. */
static void
test_store_page(void)
{
	static const char page[] =
	    "{\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\","
	    "\"value\":\"bm9kZS0x\",\"ver\":412},{\"key\":\"old\",\"ver\":413,"
	    "\"deleted\":true}],\"more-pages\":true,\"ver\":530,"
	    "\"now-ms\":5}";
	const struct pb_adapter_ops *ops = pb_platform_adapter();
	struct pb_arena *arena = pb_new_arena(ctx);
	struct pb_store_page p;

	CU_ASSERT_EQUAL(
	    ops->read_page(ctx, arena, pb_str_from(page), &p), PB_OK);
	CU_ASSERT_EQUAL(p.version, 530);
	CU_ASSERT(p.more);
	CU_ASSERT_EQUAL_FATAL(p.count, 2);
	CU_ASSERT(pb_str_equal_c(p.rows[0].value, "node-1"));
	CU_ASSERT_EQUAL(p.rows[0].version, 412);
	CU_ASSERT(ops->is_routing_key(p.rows[0].key));
	CU_ASSERT(p.rows[1].removed);
	CU_ASSERT_NOT_EQUAL(
	    ops->read_page(ctx, arena, pb_str_from("{\"rows\":[]}"), &p),
	    PB_OK);
	/* One value that cannot be read marks its row; the others hold. */
	CU_ASSERT_EQUAL(
	    ops->read_page(ctx, arena,
		pb_str_from("{\"rows\":[{\"key\":\"k\",\"value\":\"!\"},"
			    "{\"key\":\"none\"},"
			    "{\"key\":\"a\\u0000b\",\"value\":5},"
			    "{\"key\":\"n\",\"value\":\"bm9kZS0x\"}],"
			    "\"ver\":1}"),
		&p),
	    PB_OK);
	CU_ASSERT_EQUAL_FATAL(p.count, 4);
	CU_ASSERT(p.rows[0].unreadable && p.rows[0].value.len == 0);
	CU_ASSERT(p.rows[1].unreadable && p.rows[1].value.len == 0);
	CU_ASSERT(p.rows[2].unreadable && p.rows[2].key.len == 3);
	CU_ASSERT(!p.rows[3].unreadable);
	CU_ASSERT(pb_str_equal_c(p.rows[3].value, "node-1"));
	CU_ASSERT_NOT_EQUAL(
	    ops->read_page(ctx, arena,
		pb_str_from("{\"rows\":[{\"value\":\"!\"}],\"ver\":1}"), &p),
	    PB_OK);
	pb_drop_arena(ctx, arena);
}

/* Reads a response head with status 503 unless another one is given. */
static struct pb_response_info
read_response(const char *status, const char *fields)
{
	struct pb_http_reader reader;
	struct pb_response_info info;
	char text[256];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 %s X\r\n%sContent-Length: 0\r\n\r\n", status, fields);
	pb_init_http_reader(&reader, HTTP_RESPONSE, NULL, NULL, 4096, 4096);
	CU_ASSERT_EQUAL(pb_feed_http(&reader, text, strlen(text)) > 0, true);
	CU_ASSERT(reader.head_done);
	pb_platform_adapter()->read_response(&reader.head, &info);
	pb_clear_http_reader(&reader);
	return info;
}

/*
 * Guards against a pause that is misread, and against an odd one that ends the
 * process or lasts for ever.
 */
static void
test_pause_field(void)
{
	static const struct {
		const char *fields;
		int64_t pause_us;
		bool unreadable;
	} cases[] = {{"", 0, false}, {"Retry-After: 3\r\n", 3 * PB_SEC, false},
	    {"retry-after: 0.25\r\n", PB_SEC / 4, false},
	    {"Retry-After: 0\r\n", 0, false},
	    {"Retry-After: 1.0000000000001\r\n", PB_SEC, false},
	    {"Retry-After: -1\r\n", 0, true}, {"Retry-After: 1e3\r\n", 0, true},
	    {"Retry-After: 1.2.3\r\n", 0, true},
	    {"Retry-After: .\r\n", 0, true}, {"Retry-After: \r\n", 0, true},
	    {"Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n", 0, true},
	    {"Retry-After: 2\r\nRetry-After: 5\r\nRetry-After: 1\r\n",
		5 * PB_SEC, false},
	    {"Retry-After: 99999999999999999999999999999\r\n",
		1000000000 * PB_SEC, false}};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pb_response_info info =
		    read_response("503", cases[i].fields);

		CU_ASSERT_EQUAL(info.pause_us, cases[i].pause_us);
		CU_ASSERT_EQUAL(info.pause_unreadable, cases[i].unreadable);
	}
	CU_ASSERT_EQUAL(read_response("429", "Retry-After: 3\r\n").pause_us, 0);
}

/* Guards against an instance's word that is missed on one kind of answer. */
static void
test_leaving_field(void)
{
	static const char *const statuses[] = {
	    "200", "204", "304", "400", "421", "429", "500", "503", "504"};
	size_t i;

	for (i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
		CU_ASSERT(read_response(statuses[i], "server-leaving: 1\r\n")
			      .leaving);
		CU_ASSERT_FALSE(
		    read_response(statuses[i], "Server-Leaving: 0\r\n")
			.leaving);
	}
}

/* Guards against callers that set header fields reserved for the system. */
static void
test_request_fields(void)
{
	const struct pb_adapter_ops *ops = pb_platform_adapter();
	struct pb_prompt prompt;
	struct pb_str key;

	CU_ASSERT_EQUAL(
	    ops->classify_field(pb_str_from("kv-from")), PB_FIELD_RESERVED);
	CU_ASSERT_EQUAL(ops->classify_field(pb_str_from("x-poplarbeam-tenant")),
	    PB_FIELD_RESERVED);
	CU_ASSERT_EQUAL(
	    ops->classify_field(pb_str_from("X-Other")), PB_FIELD_FORWARD);
	CU_ASSERT(ops->read_credential(pb_str_from("bearer abc"), &key));
	CU_ASSERT(pb_str_equal_c(key, "abc"));
	CU_ASSERT_FALSE(ops->read_credential(pb_str_from("Basic abc"), &key));
	CU_ASSERT(
	    ops->read_prompt(pb_str_from("5c:800,91:410,e4:25"), &prompt));
	CU_ASSERT_EQUAL(prompt.count, 3);
	CU_ASSERT_EQUAL(prompt.parts[1].tokens, 410);
	CU_ASSERT_FALSE(ops->read_prompt(pb_str_from("5c:800,,x"), &prompt));
}

/* Parses a response with the given value in its load field. */
static struct pb_response_info
read_load(const char *value)
{
	struct pb_http_reader reader;
	struct pb_response_info info;
	char head[300];
	int n = snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nX-Poplarbeam-Engine-Load: %s\r\n"
	    "Content-Length: 0\r\n\r\n",
	    value);

	pb_init_http_reader(&reader, HTTP_RESPONSE, NULL, NULL, 1000, 1000);
	pb_feed_http(&reader, head, (size_t)n);
	CU_ASSERT(reader.complete);
	pb_platform_adapter()->read_response(&reader.head, &info);
	pb_clear_http_reader(&reader);
	return info;
}

/*
 * Guards against a router that ignores load because instances report more
 * values than it expects, and against invalid values accepted as load.
 */
static void
test_load_field(void)
{
	static const char *const known[] = {
	    "3,1,24", "3,1,24,117", "3,1,24,117,2.5,x"};
	static const char *const unknown[] = {"", "3", "3,1", "3;1;24", "a,b,c",
	    "-1,0,8", "3,1,24x", "99999999999,0,8"};
	size_t i;

	for (i = 0; i < sizeof(known) / sizeof(known[0]); i++) {
		struct pb_response_info f = read_load(known[i]);

		CU_ASSERT(f.has_load);
		CU_ASSERT_FALSE(f.load_unreadable);
		CU_ASSERT_EQUAL(f.running, 3);
		CU_ASSERT_EQUAL(f.waiting, 1);
		CU_ASSERT_EQUAL(f.slots, 24);
	}
	for (i = 0; i < sizeof(unknown) / sizeof(unknown[0]); i++) {
		struct pb_response_info f = read_load(unknown[i]);

		CU_ASSERT_FALSE(f.has_load);
		CU_ASSERT(f.load_unreadable);
	}
}

static int
rank_of(const struct pb_routing *r, const struct pb_ranks *ranks,
    const char *host, const char *target, const char *key)
{
	return pb_rank_of(ranks,
	    pb_find_route(r, pb_str_from(host), pb_str_from(target)),
	    pb_find_key_holder(r, pb_str_from(key)));
}

/* Guards against account priorities that make route priorities void. */
static void
test_ranks(void)
{
	struct pb_routing *r = read_config(config);
	struct pb_ranks ranks;

	CU_ASSERT_PTR_NOT_NULL(r);
	if (r == NULL)
		return;
	/* In order: (0,0), (1,0) and (1,2) of account t1, (2,2). */
	pb_compute_ranks(r, pb_str_from("s1"), &ranks);
	CU_ASSERT_EQUAL(ranks.count, 4);
	CU_ASSERT_EQUAL(rank_of(r, &ranks, "a.example", "/x/", "k3"), 0);
	CU_ASSERT_EQUAL(rank_of(r, &ranks, "a.example", "/x/", "k1"), 1);
	CU_ASSERT_EQUAL(rank_of(r, &ranks, "a.example", "/x/y/", "k1"), 2);
	CU_ASSERT_EQUAL(rank_of(r, &ranks, "a.example", "/x/y/", "none"), 3);
	pb_compute_ranks(r, pb_str_from("none"), &ranks);
	CU_ASSERT_EQUAL(ranks.count, 0);
	pb_drop_routing(ctx, r);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"longest prefix", test_longest_prefix},
	    {"keys", test_keys}, {"weights", test_weights},
	    {"malformed", test_malformed},
	    {"instance entries", test_instance_entries},
	    {"store page", test_store_page},
	    {"request fields", test_request_fields},
	    {"load field", test_load_field}, {"ranks", test_ranks},
	    {"pause field", test_pause_field},
	    {"leaving field", test_leaving_field}, CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("routing", tests);
	pb_drop_context(ctx);
	return rc;
}
