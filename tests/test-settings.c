#include "poplarbeam/settings.h"
#include "poplarbeam/store.h"

#include "run-suite.h"
#include <string.h>

/* The linters do not know that a fatal CUnit check does not return. */
#define REQUIRE(p)                                        \
	do {                                              \
		if ((p) == NULL) {                        \
			CU_FAIL_FATAL("unexpected NULL"); \
			return;                           \
		}                                         \
	} while (0)

static struct pb_manual_clock clk;
static struct pb_context *ctx;

static const char fleet_text[] =
    "ranks:\n"
    "  - {name: now, floor: 25%, wait_limit: 1500ms}\n"
    "  - {name: soon, floor: 10%, headroom: 5%}\n"
    "  - {name: later, headroom: 12.5%, wait_limit: 2min}\n"
    "default_rank: soon\n"
    "teams: [atlas, booking]\n"
    "defaults:\n"
    "  service: {bound: 1.5, queue_bytes: 4MiB}\n"
    "  account: {weight: 2, limits: {concurrency: 9, burst: 500ms}}\n"
    "retry: {share: 5%}\n"
    "containment: {duration: 1h, strikes: 3}\n"
    "settings_poll: 500ms\n"
    "control: {bandwidth: 1.5KB/s}\n";
static const char atlas_text[] =
    "services:\n"
    "  - {name: atlas-70b, upstreams: 33, bound: 1.25, max_body_bytes: 2MiB}\n"
    "  - name: tags\n"
    "    kind: plain\n"
    "    prefix: /tags\n"
    "  - {name: tags-old, kind: plain, prefix: /tags/old}\n"
    "accounts:\n"
    "  - {name: print, key: print-key-1, best_rank: now, weight: 0.5}\n"
    /* echo -n shop-key-2 | sha256sum */
    "  - name: shop\n"
    "    key_sha: e139ab49cda89a0706f2557636c2af951b2f8b788174e1e0f99806f2ec"
    "a83c2b\n"
    "    limits: {requests_per_sec: 20, work_per_sec: 5000}\n";

static struct pb_settings *
parse(const char *fleet, const char *atlas, const char *booking,
    struct pb_settings_report *report)
{
	struct pb_settings_text texts[3];
	size_t n = 0;

	memset(report, 0, sizeof(*report));
	if (booking != NULL) {
		texts[n++] = (struct pb_settings_text){
		    "b.yaml", "booking", pb_str_from(booking)};
	}
	if (fleet != NULL) {
		texts[n++] =
		    (struct pb_settings_text){"f.yaml", "", pb_str_from(fleet)};
	}
	if (atlas != NULL) {
		texts[n++] = (struct pb_settings_text){
		    "a.yaml", "atlas", pb_str_from(atlas)};
	}
	return pb_parse_settings(ctx, texts, n, 7, report);
}

/* Guards against values stored in the wrong unit or field. */
static void
test_values(void)
{
	struct pb_settings_report report;
	struct pb_settings *s = parse(fleet_text, atlas_text, NULL, &report);
	REQUIRE(s);
	CU_ASSERT_EQUAL(s->revision, 7);
	CU_ASSERT_EQUAL(s->rank_count, 3);
	CU_ASSERT_EQUAL(s->rank[0].wait_limit_us, 1500 * PB_MSEC);
	CU_ASSERT_EQUAL(s->rank[2].wait_limit_us, 120 * PB_SEC);
	CU_ASSERT_DOUBLE_EQUAL(s->rank[2].headroom, 0.125, 1e-12);
	CU_ASSERT_DOUBLE_EQUAL(s->retry_share, 0.05, 1e-12);
	CU_ASSERT_EQUAL(s->containment_us, 3600 * PB_SEC);
	CU_ASSERT_EQUAL(s->strikes, 3);
	CU_ASSERT_EQUAL(s->poll_us, 500 * PB_MSEC);
	CU_ASSERT_DOUBLE_EQUAL(s->control_bytes_per_sec, 1500, 1e-9);
	pb_drop_settings(ctx, s);
	pb_clear_settings_report(&report);
}

/* Guards against defaults that a team does not get or cannot override. */
static void
test_team_values(void)
{
	struct pb_settings_report report;
	struct pb_settings *s = parse(fleet_text, atlas_text, NULL, &report);
	const struct pb_service *v;
	const struct pb_account *a;

	REQUIRE(s);
	v = pb_find_service(s, "atlas-70b");
	REQUIRE(v);
	CU_ASSERT_EQUAL(v->cells, 3);
	CU_ASSERT_DOUBLE_EQUAL(v->inner_limit, 1.20, 1e-9);
	CU_ASSERT_EQUAL(v->max_body_bytes, 2 * 1024 * 1024);
	CU_ASSERT_EQUAL(v->queue_bytes, 4 * 1024 * 1024);
	CU_ASSERT(v->resume);
	v = pb_find_service(s, "tags");
	REQUIRE(v);
	CU_ASSERT_DOUBLE_EQUAL(v->bound, 1.5, 1e-12);
	CU_ASSERT_FALSE(v->resume);
	a = pb_find_account(s, "print");
	REQUIRE(a);
	CU_ASSERT_EQUAL(a->best_rank, 0);
	CU_ASSERT_EQUAL(a->default_rank, 1);
	CU_ASSERT_DOUBLE_EQUAL(a->weight, 0.5, 1e-12);
	CU_ASSERT_EQUAL(a->limits.concurrency, 9);
	CU_ASSERT_DOUBLE_EQUAL(a->limits.burst_sec, 0.5, 1e-12);
	CU_ASSERT_STRING_EQUAL(a->team, "atlas");
	a = pb_find_account(s, "shop");
	REQUIRE(a);
	CU_ASSERT_EQUAL(a->best_rank, 1);
	CU_ASSERT_DOUBLE_EQUAL(a->limits.work_per_sec, 5000, 1e-9);
	pb_drop_settings(ctx, s);
	pb_clear_settings_report(&report);
}

static int
count_order_faults(const char *service)
{
	struct pb_settings_report report;
	struct pb_settings *s;
	char text[800];
	int faults;

	snprintf(text, sizeof(text), "services:\n  - {name: x, %s}\n", service);
	s = parse(NULL, text, NULL, &report);
	faults = report.count;
	CU_ASSERT_EQUAL(s == NULL, faults > 0);
	pb_drop_settings(ctx, s);
	pb_clear_settings_report(&report);
	return faults;
}

/* Guards against orders whose JSON differs from the YAML document. */
static void
test_orders(void)
{
	struct pb_settings_report report;
	struct pb_settings *s = parse(NULL,
	    "services:\n"
	    "  - name: x\n"
	    "    fencing: ignored\n"
	    "    orders:\n"
	    "      - {name: adapter, desired: {b: [1, 'two'], a: {c: true}}}\n"
	    "      - {name: role, desired: {role: prefill}}\n"
	    "  - {name: y}\n",
	    NULL, &report);
	const struct pb_service *v;

	REQUIRE(s);
	v = pb_find_service(s, "x");
	CU_ASSERT_FALSE(v->fencing);
	CU_ASSERT_EQUAL(v->order_count, 2);
	CU_ASSERT_STRING_EQUAL(v->orders[0].desired,
	    "{\"a\":{\"c\":\"true\"},\"b\":[\"1\",\"two\"]}");
	CU_ASSERT_STRING_EQUAL(v->orders[1].name, "role");
	v = pb_find_service(s, "y");
	CU_ASSERT_TRUE(v->fencing);
	CU_ASSERT_EQUAL(v->order_count, 0);
	pb_drop_settings(ctx, s);
	pb_clear_settings_report(&report);
}

/* Guards against invalid orders, which upstreams could never fulfil. */
static void
test_order_faults(void)
{
	char longer[400];

	CU_ASSERT_EQUAL(count_order_faults("fencing: refused"), 0);
	CU_ASSERT_EQUAL(count_order_faults("fencing: no"), 1);
	CU_ASSERT_EQUAL(count_order_faults("orders: [{name: a}]"), 1);
	CU_ASSERT_EQUAL(count_order_faults("orders: {name: a}"), 1);
	CU_ASSERT_EQUAL(
	    count_order_faults("orders: [{name: a, desired: {}}]"), 1);
	CU_ASSERT_EQUAL(
	    count_order_faults("orders: [{name: a, desired: b}]"), 1);
	CU_ASSERT_EQUAL(
	    count_order_faults("orders: [{name: a, desired: {b: c, b: d}}]"),
	    1);
	CU_ASSERT_EQUAL(
	    count_order_faults("orders: [{name: a, desired: {b: \"\\0\"}}]"),
	    1);
	CU_ASSERT_EQUAL(count_order_faults("orders: [{name: a, desired: {b: c}}"
					   ", {name: a, desired: {b: d}}]"),
	    1);
	CU_ASSERT_EQUAL(
	    count_order_faults("kind: plain, prefix: /x, "
			       "orders: [{name: a, desired: {b: c}}]"),
	    1);
	snprintf(longer, sizeof(longer),
	    "orders: [{name: a, desired: {b: %0247d}}]", 0);
	CU_ASSERT_EQUAL(count_order_faults(longer), 0);
	snprintf(longer, sizeof(longer),
	    "orders: [{name: a, desired: {b: %0248d}}]", 0);
	CU_ASSERT_EQUAL(count_order_faults(longer), 1);
}

/* Guards against keys that are matched to the wrong account. */
static void
test_keys(void)
{
	struct pb_settings_report report;
	struct pb_settings *s = parse(fleet_text, atlas_text, NULL, &report);
	const struct pb_account *a, *b;
	struct pb_str digest;

	REQUIRE(s);
	a = pb_find_account_by_key(s, pb_str_from("print-key-1"));
	b = pb_find_account_by_key(s, pb_str_from("shop-key-2"));
	REQUIRE(a);
	REQUIRE(b);
	CU_ASSERT_EQUAL(a->key_hash, pb_hash_cstr("print-key-1", 0));
	CU_ASSERT_STRING_EQUAL(a->name, "print");
	CU_ASSERT_STRING_EQUAL(b->name, "shop");
	CU_ASSERT_PTR_NULL(pb_find_account_by_key(s, pb_str_from("print")));
	CU_ASSERT_PTR_NULL(pb_find_account_by_key(s, PB_STR_NONE));
	/* The settings contain the digest, so it must not work as a key. */
	digest = (struct pb_str){(const char *)b->key_sha, PB_SHA256_LEN};
	CU_ASSERT_PTR_NULL(pb_find_account_by_key(s, digest));
	pb_drop_settings(ctx, s);
	pb_clear_settings_report(&report);
}

/* Guards against paths routed to a service with a similar prefix. */
static void
test_paths(void)
{
	struct pb_settings_report report;
	struct pb_settings *s = parse(fleet_text, atlas_text, NULL, &report);

	REQUIRE(s);
	CU_ASSERT_STRING_EQUAL(
	    pb_find_service_by_path(s, "/tags?x=1")->name, "tags");
	CU_ASSERT_STRING_EQUAL(
	    pb_find_service_by_path(s, "/tags/older")->name, "tags");
	CU_ASSERT_STRING_EQUAL(
	    pb_find_service_by_path(s, "/tags/old/1")->name, "tags-old");
	CU_ASSERT_PTR_NULL(pb_find_service_by_path(s, "/tagset"));
	CU_ASSERT_PTR_NULL(pb_find_service_by_path(s, "/"));
	pb_drop_settings(ctx, s);
	pb_clear_settings_report(&report);
}

/* Documents with a fault, and a part of the expected message. */
struct fault {
	const char *fleet;
	const char *atlas;
	const char *booking;
	const char *want;
};

static const struct fault faults[] = {
    {"settings_poll: 3", NULL, NULL,
	"f.yaml:1: settings_poll: expected a duration such as \"3s\" or "
	"\"250ms\", from 100ms to 3s, found \"3\""},
    {"\n\ncontrol:\n  bandwidth: 2KB", NULL, NULL,
	"f.yaml:4: control.bandwidth: expected a data rate"},
    {"retry: {share: 0.1}", NULL, NULL, "a share such as \"20%\", from 0% to"},
    {"poll: 1s", NULL, NULL, "f.yaml:1: poll: unknown key"},
    {"retry: {}\nclaim: {}\nretry: {}", NULL, NULL,
	"f.yaml:3: retry: duplicate key, first given in line 1"},
    {"ranks: [{name: a, floor: 50%}, {name: b, floor: 45%}]", NULL, NULL,
	"sum of at most 90%, found 95%"},
    {"ranks: [{name: a, headroom: 5%}, {name: b}]", NULL, NULL,
	"headroom of at least 5%"},
    {"freshness_limit: 2s", NULL, NULL, "three times settings_poll (3000ms)"},
    {"services: []", NULL, NULL, "f.yaml:1: services: unknown key"},
    {NULL, "settings_poll: 1s", NULL, "a.yaml:1: settings_poll: unknown key"},
    {"teams: [booking]", "services: []", NULL,
	"a.yaml:1: document: the team \"atlas\" is not listed"},
    {NULL, "services:\n- {name: m}\n", "services:\n\n- {name: m}\n",
	"service name \"m\" is already in use in b.yaml:3"},
    {NULL, "accounts: [{name: c, key: 12345678}]",
	"accounts: [{name: c, key: 12345679}]", "account name \"c\""},
    {NULL, "accounts: [{name: c, key: 12345678}]",
	"accounts: [{name: d, key: 12345678}]", "key of account \"d\""},
    {NULL,
	"accounts: [{name: c, key_sha: ef797c8118f02dfb649607dd5d3f8c7623048c9c"
	"063d532cc95c5ed7a898a64f}]",
	"accounts: [{name: d, key: 12345678}]", "key of account \"d\""},
    {NULL, "accounts: [{name: c, key: short}]", NULL, "8 to 256 printable"},
    {NULL, "accounts: [{name: c}]", NULL, "either key or key_sha"},
    {NULL, "accounts: [{name: c, key: 12345678, best_rank: x}]", NULL,
	"accounts[0].best_rank: expected the name of a rank (urgent, ordinary, "
	"bulk), found \"x\""},
    {NULL,
	"accounts: [{name: c, key: 12345678, best_rank: bulk, default_rank: "
	"urgent}]",
	NULL, "not more urgent than best_rank"},
    {NULL, "services: [{name: t, kind: plain}]", NULL, "needs a path prefix"},
    {NULL, "services: [{name: t, kind: plain, prefix: /v1/x}]", NULL,
	"services[0].prefix: expected a path"},
    {NULL, "services: [{name: t, bound: 1.2, inner_limit: 1.3}]", NULL,
	"inner_limit: expected at most the bound (1.2)"},
    {NULL, "services: [{name: t, queue_items: 1.5}]", NULL,
	"a whole number without a unit, from 1 to 1000000, found \"1.5\""},
    {NULL, "services: [{name: t, queue_items: 99999999999999999999}]", NULL,
	"whole number"},
    {NULL, "services: [{name: t, max_body_bytes: 1MB}, {name: [t]}]", NULL,
	"services[1].name: expected a single value, found a list"},
    {NULL, "services: [&x {name: t}, *x]", NULL, "anchors and aliases"},
    {NULL, "services: [\n\n{name", NULL, "a.yaml:3: document: not valid YAML"},
    {NULL, "--- a\n--- b", NULL, "expected one YAML document"},
    {NULL, "[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]", NULL, "too deeply"}};

/* Guards against faults that are accepted or reported at a wrong place. */
static void
test_faults(void)
{
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		const struct fault *f = &faults[i];
		struct pb_settings_report report;
		struct pb_settings *s =
		    parse(f->fleet, f->atlas, f->booking, &report);

		CU_ASSERT_PTR_NULL(s);
		CU_ASSERT(report.count > 0);
		if (report.lines.data == NULL ||
		    strstr(report.lines.data, f->want) == NULL) {
			printf("\nfault %zu: want \"%s\", got: %s", i, f->want,
			    report.lines.data != NULL ? report.lines.data : "");
			CU_FAIL("expected message is not in the report");
		}
		pb_drop_settings(ctx, s);
		pb_clear_settings_report(&report);
	}
}

/* Guards against secrets in messages and against unbounded reports. */
static void
test_report_bounds(void)
{
	struct pb_settings_report report;
	struct pb_buf text = {NULL, 0, 0};
	int i, lines = 0;
	const char *p;

	pb_append_fmt(&text, "accounts:\n");
	for (i = 0; i < 500; i++)
		pb_append_fmt(&text, "- {name: n%d, key: se\tcret}\n", i);
	CU_ASSERT_PTR_NULL(parse(NULL, text.data, NULL, &report));
	CU_ASSERT_EQUAL(report.count, 500);
	CU_ASSERT_PTR_NULL(strstr(report.lines.data, "se"));
	for (p = report.lines.data; *p != '\0'; p++)
		lines += *p == '\n';
	CU_ASSERT_EQUAL(lines, PB_REPORT_LINES_MAX);
	pb_clear_buf(&text);
	pb_clear_settings_report(&report);
}

#define TREE_TEAMS 6 /* including the fleet, at index 0 */

static void
write_subtree(struct pb_random *rnd, struct pb_subtree *sub, int team)
{
	int n = (int)(pb_next_random(rnd) % 4), i;

	pb_clear_buf(&sub->text);
	if (team == 0) {
		pb_append_fmt(&sub->text,
		    "defaults: {account: {weight: %d}, service: {ramp: %ds}}",
		    n + 1, n);
		return;
	}
	pb_append_fmt(&sub->text, "services: [");
	for (i = 0; i < n; i++)
		pb_append_fmt(&sub->text, "{name: s%d-%d}, ", n - i, team);
	pb_append_fmt(&sub->text, "]\naccounts: [");
	for (i = 0; i < n; i++) {
		pb_append_fmt(&sub->text,
		    "{name: a%d-%d, key: some-key-%d-%d}, ", i, team, i, team);
	}
	/* Sometimes add an account name that other teams may also use. */
	if (pb_next_random(rnd) % 4 == 0) {
		pb_append_fmt(
		    &sub->text, "{name: shared, key: shared-key-%d}, ", team);
	}
	pb_append_fmt(&sub->text, "]");
}

static bool
same_settings(const struct pb_settings *a, const struct pb_settings *b)
{
	if (a->account_count != b->account_count ||
	    a->service_count != b->service_count)
		return false;
	return (a->account_count == 0 ||
		   memcmp(a->accounts, b->accounts,
		       sizeof(*a->accounts) * (size_t)a->account_count) == 0) &&
	    (a->service_count == 0 ||
		memcmp(a->services, b->services,
		    sizeof(*a->services) * (size_t)a->service_count) == 0);
}

/*
 * Guards against incremental parsing with a result that differs from parsing
 * all documents.
 */
static void
test_parse_changes(void)
{
	struct pb_subtree subs[TREE_TEAMS];
	struct pb_settings_tree tree = {0, 0, TREE_TEAMS, subs};
	struct pb_settings *current = NULL, *next, *full;
	struct pb_random rnd = {11};
	int i, team, valid_count = 0, invalid_count = 0;

	memset(subs, 0, sizeof(subs));
	for (team = 0; team < TREE_TEAMS; team++) {
		snprintf(subs[team].info.team, sizeof(subs[team].info.team),
		    "%s%.0d", team == 0 ? "fleet" : "team", team);
	}
	for (i = 1; i <= 2000; i++) {
		struct pb_settings_report next_report = {.count = 0},
					  full_report = {.count = 0};

		team = (int)(pb_next_random(&rnd) % (TREE_TEAMS * 3));
		team = team >= TREE_TEAMS ? 1 + team % (TREE_TEAMS - 1) : team;
		tree.revision = (uint64_t)i;
		subs[team].info.revision = tree.revision;
		write_subtree(&rnd, &subs[team], team);
		next = pb_parse_tree_changes(ctx, current, &tree, &next_report);
		full = pb_parse_tree(ctx, &tree, &full_report);
		CU_ASSERT_EQUAL(next_report.count, full_report.count);
		if (next != NULL && full != NULL) {
			CU_ASSERT(same_settings(next, full));
			pb_drop_settings(ctx, current);
			current = next;
			next = NULL;
			valid_count++;
		} else if (current != NULL) {
			invalid_count++;
		}
		pb_drop_settings(ctx, next);
		pb_drop_settings(ctx, full);
		pb_clear_settings_report(&next_report);
		pb_clear_settings_report(&full_report);
	}
	CU_ASSERT(valid_count > 500 && invalid_count > 100);
	pb_drop_settings(ctx, current);
	for (team = 0; team < TREE_TEAMS; team++)
		pb_clear_subtree(&subs[team]);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"values", test_values},
	    {"team values", test_team_values}, {"orders", test_orders},
	    {"order faults", test_order_faults}, {"keys", test_keys},
	    {"paths", test_paths}, {"faults", test_faults},
	    {"parse changes", test_parse_changes},
	    {"report bounds", test_report_bounds}, CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("settings", tests);
	pb_drop_context(ctx);
	return rc;
}
