#include "settings-private.h"

#include <sodium.h>
#include <ctype.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define KEY_MIN 8 /* characters; shorter keys can be guessed */
#define KEY_MAX 256
#define UPSTREAMS_PER_CELL 16 /* see section 2.1 of the design */
/*
 * Default inner limit: the share of the margin between 1 and the bound that
 * admission may use.
 */
#define INNER_LIMIT_SHARE 0.8

#define SERVICE(field) offsetof(struct pb_service, field)
#define ACCOUNT(field) offsetof(struct pb_account, field)

/* The first SERVICE_ITEM_FIELDS are not allowed in defaults.service. */
static const struct pb_field service_fields[] = {
    {"name", PB_FIELD_NAME, SERVICE(name), 0, 0},
    {"kind", PB_FIELD_NODE, 0, 0, 0}, {"prefix", PB_FIELD_NODE, 0, 0, 0},
    {"orders", PB_FIELD_NODE, 0, 0, 0}, {"fencing", PB_FIELD_NODE, 0, 0, 0},
    {"cells", PB_FIELD_INT, SERVICE(cells), 1, 4096},
    {"upstreams", PB_FIELD_INT, SERVICE(upstreams), 1, 65536},
    {"bound", PB_FIELD_NUMBER, SERVICE(bound), 1.05, 10},
    {"inner_limit", PB_FIELD_NUMBER, SERVICE(inner_limit), 1.01, 10},
    {"floor_work", PB_FIELD_INT, SERVICE(floor_work), 1, 1e9},
    {"capacity", PB_FIELD_NUMBER, SERVICE(capacity), 1, 1e9},
    {"answer_work", PB_FIELD_INT, SERVICE(answer_work), 1, 1e6},
    {"call_work", PB_FIELD_INT, SERVICE(call_work), 1, 1e6},
    {"max_body_bytes", PB_FIELD_SIZE, SERVICE(max_body_bytes), 1024,
	64.0 * 1024 * 1024},
    {"ramp", PB_FIELD_DURATION, SERVICE(ramp_us), 0, 3600e6},
    {"timeout", PB_FIELD_DURATION, SERVICE(timeout_us), 1e5, 3600e6},
    {"connect_timeout", PB_FIELD_DURATION, SERVICE(connect_us), 1e4, 60e6},
    {"idle_timeout", PB_FIELD_DURATION, SERVICE(idle_us), 1e5, 3600e6},
    {"queue_items", PB_FIELD_INT, SERVICE(queue_items), 1, 1e6},
    {"queue_bytes", PB_FIELD_SIZE, SERVICE(queue_bytes), 65536,
	4096.0 * 1024 * 1024},
    {"resume", PB_FIELD_BOOL, SERVICE(resume), 0, 0},
    {"eject_share", PB_FIELD_SHARE, SERVICE(eject_share), 0, 1}};

enum service_index {
	SERVICE_NAME,
	SERVICE_KIND,
	SERVICE_PREFIX,
	SERVICE_ORDERS,
	SERVICE_FENCING,
	SERVICE_CELLS,
	SERVICE_BOUND = 7,
	SERVICE_INNER_LIMIT = 8,
	SERVICE_RESUME = 20
};

/* The first ACCOUNT_ITEM_FIELDS are not allowed in defaults.account. */
static const struct pb_field account_fields[] = {
    {"name", PB_FIELD_NAME, ACCOUNT(name), 0, 0},
    {"key", PB_FIELD_NODE, 0, 0, 0}, {"key_sha", PB_FIELD_NODE, 0, 0, 0},
    {"weight", PB_FIELD_NUMBER, ACCOUNT(weight), 0.001, 1e6},
    {"best_rank", PB_FIELD_NODE, 0, 0, 0},
    {"default_rank", PB_FIELD_NODE, 0, 0, 0},
    {"limits", PB_FIELD_NODE, 0, 0, 0}};

enum account_index {
	ACCOUNT_NAME,
	ACCOUNT_KEY,
	ACCOUNT_KEY_SHA,
	ACCOUNT_BEST_RANK = 4,
	ACCOUNT_DEFAULT_RANK = 5,
	ACCOUNT_LIMITS = 6
};

/* Number of leading fields that are not allowed in the defaults. */
#define SERVICE_ITEM_FIELDS 5
#define ACCOUNT_ITEM_FIELDS 3

static void
join_path(char *dst, size_t cap, const char *path, const char *key)
{
	snprintf(dst, cap, "%s.%s", path, key);
}

static void
check_kind(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, struct pb_service *v)
{
	char sub[96];

	if (node == NULL || pb_str_equal_c(node->text, "model")) {
		v->kind = PB_SERVICE_MODEL;
	} else if (pb_str_equal_c(node->text, "plain")) {
		v->kind = PB_SERVICE_PLAIN;
	} else {
		join_path(sub, sizeof(sub), path, "kind");
		pb_report_fault(c, node->line, sub,
		    "expected \"model\" or \"plain\", found \"%s\"",
		    pb_format_excerpt(node->text).text);
	}
}

static bool
is_prefix(struct pb_str text)
{
	size_t i;

	if (text.len < 2 ||
	    text.len >= sizeof(((struct pb_service *)0)->prefix))
		return false;
	if (text.data[0] != '/' || text.data[text.len - 1] == '/')
		return false;
	for (i = 0; i < text.len; i++) {
		unsigned char ch = (unsigned char)text.data[i];

		if (ch >= 0x80 || ch == '\0' ||
		    (!isalnum(ch) && strchr("/._~-", ch) == NULL) ||
		    (ch == '/' && text.data[i + 1] == '/'))
			return false;
	}
	/* Paths below /v1 are reserved for model services. */
	return !pb_str_equal_c(text, "/v1") &&
	    strncmp(text.data, "/v1/", 4) != 0;
}

static void
check_prefix(struct pb_checker *c, const struct pb_yaml_node *node, int line,
    const char *path, struct pb_service *v)
{
	char sub[96];

	join_path(sub, sizeof(sub), path, "prefix");
	if (v->kind == PB_SERVICE_MODEL && node != NULL) {
		pb_report_fault(c, node->line, sub,
		    "only services of kind \"plain\" have a path prefix");
	} else if (v->kind == PB_SERVICE_PLAIN && node == NULL) {
		pb_report_fault(c, line, sub,
		    "a service of kind \"plain\" needs a path prefix such as "
		    "\"/booking\"");
	} else if (node != NULL && !is_prefix(node->text)) {
		pb_report_fault(c, node->line, sub,
		    "expected a path such as \"/booking\" of 2 to %zu "
		    "characters, not ending with \"/\" and not below \"/v1\", "
		    "found \"%s\"",
		    sizeof(v->prefix) - 1, pb_format_excerpt(node->text).text);
	} else if (node != NULL) {
		pb_copy_str(v->prefix, sizeof(v->prefix), node->text.data);
	}
}

static void
check_bound(struct pb_checker *c, const struct pb_yaml_node *node,
    const struct pb_yaml_node *inner, const char *path, struct pb_service *v)
{
	char sub[96];

	if (inner == NULL && !c->has_default_inner_limit)
		v->inner_limit = 1 + (v->bound - 1) * INNER_LIMIT_SHARE;
	if (v->inner_limit <= v->bound)
		return;
	join_path(sub, sizeof(sub), path, "inner_limit");
	pb_report_fault(c, inner != NULL ? inner->line : node->line, sub,
	    "expected at most the bound (%g), found %g", v->bound,
	    v->inner_limit);
}

static void
check_service(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, struct pb_service *v)
{
	const struct pb_yaml_node *found[COUNT(service_fields)];
	char sub[96];

	*v = c->service_default;
	pb_copy_str(v->team, sizeof(v->team), c->team);
	if (!pb_read_fields(
		c, node, path, service_fields, COUNT(service_fields), v, found))
		return;
	if (found[SERVICE_NAME] == NULL) {
		join_path(sub, sizeof(sub), path, "name");
		pb_report_fault(c, node->line, sub, "a service needs a name");
	}
	check_kind(c, found[SERVICE_KIND], path, v);
	check_prefix(c, found[SERVICE_PREFIX], node->line, path, v);
	check_bound(c, node, found[SERVICE_INNER_LIMIT], path, v);
	pb_check_orders(
	    c, found[SERVICE_ORDERS], found[SERVICE_FENCING], path, v);
	if (v->kind == PB_SERVICE_PLAIN && found[SERVICE_RESUME] != NULL &&
	    v->resume) {
		join_path(sub, sizeof(sub), path, "resume");
		pb_report_fault(c, found[SERVICE_RESUME]->line, sub,
		    "only services of kind \"model\" can resume streams");
	}
	if (v->kind == PB_SERVICE_PLAIN)
		v->resume = false;
	if (v->cells == 0)
		v->cells = (v->upstreams + UPSTREAMS_PER_CELL - 1) /
		    UPSTREAMS_PER_CELL;
}

static bool
parse_digest(struct pb_str text, uint8_t out[PB_SHA256_LEN])
{
	size_t i;

	if (text.len != 2UL * PB_SHA256_LEN)
		return false;
	for (i = 0; i < text.len; i++) {
		char ch = text.data[i], digit;

		if (ch >= '0' && ch <= '9')
			digit = (char)(ch - '0');
		else if (ch >= 'a' && ch <= 'f')
			digit = (char)(ch - 'a' + 10);
		else
			return false;
		out[i / 2] = (uint8_t)(out[i / 2] << 4 | digit);
	}
	return true;
}

static bool
is_key(struct pb_str text)
{
	size_t i;

	if (text.len < KEY_MIN || text.len > KEY_MAX)
		return false;
	for (i = 0; i < text.len; i++) {
		if (text.data[i] <= ' ' || text.data[i] >= 0x7f)
			return false;
	}
	return true;
}

/* Messages about keys never include the key, which is a secret. */
static void
check_key(struct pb_checker *c, const struct pb_yaml_node *node,
    const struct pb_yaml_node *key, const struct pb_yaml_node *sha,
    const char *path, struct pb_account *a)
{
	char sub[96];

	if ((key == NULL) == (sha == NULL)) {
		pb_report_fault(c, node->line, path,
		    "an account needs either key or key_sha");
		return;
	}
	if (key != NULL) {
		if (!is_key(key->text)) {
			join_path(sub, sizeof(sub), path, "key");
			pb_report_fault(c, key->line, sub,
			    "expected %d to %d printable characters without "
			    "spaces",
			    KEY_MIN, KEY_MAX);
			return;
		}
		a->key_hash = pb_hash(key->text.data, key->text.len, 0);
		crypto_hash_sha256(a->key_sha,
		    (const unsigned char *)key->text.data, key->text.len);
		return;
	}
	if (!parse_digest(sha->text, a->key_sha)) {
		join_path(sub, sizeof(sub), path, "key_sha");
		pb_report_fault(c, sha->line, sub,
		    "expected the SHA-256 digest of the key as %d lower-case "
		    "hexadecimal digits",
		    2 * PB_SHA256_LEN);
	}
	a->key_sha_only = true;
	a->key_hash = pb_hash(a->key_sha, sizeof(a->key_sha), 0);
}

static void
check_limits(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, struct pb_account_limits *limits)
{
	static const struct pb_field fields[] = {
	    {"requests_per_sec", PB_FIELD_NUMBER,
		offsetof(struct pb_account_limits, requests_per_sec), 0, 1e6},
	    {"work_per_sec", PB_FIELD_NUMBER,
		offsetof(struct pb_account_limits, work_per_sec), 0, 1e9},
	    {"concurrency", PB_FIELD_INT,
		offsetof(struct pb_account_limits, concurrency), 0, 1e6},
	    {"burst", PB_FIELD_SECONDS,
		offsetof(struct pb_account_limits, burst_sec), 0.1, 60}};
	const struct pb_yaml_node *found[COUNT(fields)];
	char sub[96];

	join_path(sub, sizeof(sub), path, "limits");
	pb_read_fields(c, node, sub, fields, COUNT(fields), limits, found);
}

/* Reads the ranks of an account or of the defaults; -1 means not set. */
static void
check_ranks(struct pb_checker *c, const struct pb_yaml_node **found,
    const char *path, struct pb_account *a)
{
	char sub[96];

	if (found[ACCOUNT_BEST_RANK] != NULL) {
		join_path(sub, sizeof(sub), path, "best_rank");
		a->best_rank = pb_read_rank(c, found[ACCOUNT_BEST_RANK], sub);
	}
	if (found[ACCOUNT_DEFAULT_RANK] != NULL) {
		join_path(sub, sizeof(sub), path, "default_rank");
		a->default_rank =
		    pb_read_rank(c, found[ACCOUNT_DEFAULT_RANK], sub);
	}
	if (a->best_rank >= 0 && a->default_rank >= 0 &&
	    a->default_rank < a->best_rank &&
	    (found[ACCOUNT_DEFAULT_RANK] != NULL ||
		found[ACCOUNT_BEST_RANK] != NULL)) {
		const struct pb_yaml_node *n = found[ACCOUNT_DEFAULT_RANK];

		join_path(sub, sizeof(sub), path, "default_rank");
		pb_report_fault(c,
		    n != NULL ? n->line : found[ACCOUNT_BEST_RANK]->line, sub,
		    "expected a rank that is not more urgent than best_rank");
	}
}

static void
check_account(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, struct pb_account *a)
{
	const struct pb_yaml_node *found[COUNT(account_fields)];
	int fleet_rank = c->settings->default_rank;
	char sub[96];

	*a = c->account_default;
	pb_copy_str(a->team, sizeof(a->team), c->team);
	if (!pb_read_fields(
		c, node, path, account_fields, COUNT(account_fields), a, found))
		return;
	if (found[ACCOUNT_NAME] == NULL) {
		join_path(sub, sizeof(sub), path, "name");
		pb_report_fault(c, node->line, sub, "an account needs a name");
	}
	a->id = pb_hash_cstr(a->name, 0);
	check_key(c, node, found[ACCOUNT_KEY], found[ACCOUNT_KEY_SHA], path, a);
	check_ranks(c, found, path, a);
	if (found[ACCOUNT_LIMITS] != NULL)
		check_limits(c, found[ACCOUNT_LIMITS], path, &a->limits);
	/*
	 * Ranks more urgent than the fleet's default rank must be granted
	 * explicitly.
	 */
	if (a->best_rank < 0) {
		a->best_rank = fleet_rank;
		if (a->default_rank >= 0 && a->default_rank < fleet_rank)
			a->best_rank = a->default_rank;
	}
	if (a->default_rank < 0) {
		a->default_rank =
		    a->best_rank > fleet_rank ? a->best_rank : fleet_rank;
	}
}

void
pb_check_defaults(
    struct pb_checker *c, const struct pb_yaml_node *node, const char *path)
{
	static const struct pb_field fields[] = {
	    {"service", PB_FIELD_NODE, 0, 0, 0},
	    {"account", PB_FIELD_NODE, 0, 0, 0}};
	const struct pb_yaml_node *group[COUNT(fields)], *found[PB_FIELDS_MAX];
	struct pb_service *v = &c->service_default;
	struct pb_account *a = &c->account_default;
	const struct pb_yaml_node **in;
	int i;

	if (!pb_read_fields(c, node, path, fields, COUNT(fields), NULL, group))
		return;
	if (group[0] != NULL &&
	    pb_read_fields(c, group[0], "defaults.service",
		service_fields + SERVICE_ITEM_FIELDS,
		COUNT(service_fields) - SERVICE_ITEM_FIELDS, v, found)) {
		in = found;
		c->has_default_inner_limit =
		    in[SERVICE_INNER_LIMIT - SERVICE_ITEM_FIELDS] != NULL;
		check_bound(c, group[0],
		    in[SERVICE_INNER_LIMIT - SERVICE_ITEM_FIELDS],
		    "defaults.service", v);
	}
	if (group[1] == NULL)
		return;
	for (i = 0; i < ACCOUNT_ITEM_FIELDS; i++)
		found[i] = NULL;
	if (!pb_read_fields(c, group[1], "defaults.account",
		account_fields + ACCOUNT_ITEM_FIELDS,
		COUNT(account_fields) - ACCOUNT_ITEM_FIELDS, a,
		found + ACCOUNT_ITEM_FIELDS))
		return;
	check_ranks(c, found, "defaults.account", a);
	if (found[ACCOUNT_LIMITS] != NULL) {
		check_limits(
		    c, found[ACCOUNT_LIMITS], "defaults.account", &a->limits);
	}
}

static void
check_services(struct pb_checker *c, const struct pb_yaml_node *list)
{
	const struct pb_yaml_node *n;
	struct pb_service *v;
	char path[32];
	int i = 0;

	if (!pb_check_list(c, list, "services"))
		return;
	for (n = list->first; n != NULL; n = n->next) {
		v = pb_add_service(c, c->file, n->line);
		if (v == NULL)
			return;
		snprintf(path, sizeof(path), "services[%d]", i++);
		check_service(c, n, path, v);
	}
}

static void
check_accounts(struct pb_checker *c, const struct pb_yaml_node *list)
{
	const struct pb_yaml_node *n;
	struct pb_account *a;
	char path[32];
	int i = 0;

	if (!pb_check_list(c, list, "accounts"))
		return;
	for (n = list->first; n != NULL; n = n->next) {
		a = pb_add_account(c, c->file, n->line);
		if (a == NULL)
			return;
		snprintf(path, sizeof(path), "accounts[%d]", i++);
		check_account(c, n, path, a);
	}
}

void
pb_check_team(struct pb_checker *c, const struct pb_yaml_node *root)
{
	static const struct pb_field fields[] = {
	    {"services", PB_FIELD_NODE, 0, 0, 0},
	    {"accounts", PB_FIELD_NODE, 0, 0, 0}};
	const struct pb_yaml_node *found[COUNT(fields)];

	if (!pb_read_fields(c, root, "", fields, COUNT(fields), NULL, found))
		return;
	if (found[0] != NULL)
		check_services(c, found[0]);
	if (found[1] != NULL)
		check_accounts(c, found[1]);
}
