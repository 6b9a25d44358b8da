#include "platform-http.h"

#include <stdlib.h>
#include <string.h>

#include "poplarbeam/platform.h"

/* Limits of responses, in bytes. */
#define ROW_BYTES_MAX ((size_t)4 << 20) /* one row */
#define PAGE_BYTES_MAX ((size_t)16 << 20) /* one page of rows */
#define COMMIT_RESPONSE_MAX ((size_t)64 << 10)

struct http_table {
	struct pb_table base;
	struct pb_http_pool *pool;
};

void
pb_clear_row(struct pb_row *row)
{
	pb_clear_buf(&row->value);
	memset(row, 0, sizeof(*row));
}

/* Parses a row. Returns false when a member is missing or malformed. */
static bool
read_row(const json_t *src, struct pb_row *row)
{
	const json_t *key = json_object_get(src, "key");
	const json_t *version = json_object_get(src, "version");
	const json_t *value = json_object_get(src, "value");
	char *text;
	int rc;

	memset(row, 0, sizeof(*row));
	if (!json_is_string(key) || !json_is_integer(version) ||
	    json_integer_value(version) <= 0 || value == NULL ||
	    json_string_length(key) >= sizeof(row->key))
		return false;
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	if (text == NULL)
		return false;
	pb_copy_str(row->key, sizeof(row->key), json_string_value(key));
	row->version = (uint64_t)json_integer_value(version);
	rc = pb_append_buf(&row->value, text, strlen(text));
	free(text);
	return rc == PB_OK;
}

static int
get_row(struct pb_context *ctx, struct pb_table *table, const char *key,
    struct pb_row *row)
{
	struct http_table *t = (struct http_table *)table;
	struct pb_buf path = {0};
	struct pb_http_call call = {
	    "GET", NULL, PB_STR_NONE, ROW_BYTES_MAX, false, "table-get", NULL};
	struct pb_http_response response = {0};
	json_t *root = NULL;
	int rc;

	memset(row, 0, sizeof(*row));
	if (pb_append_fmt(&path, "/table/v1/row?key=") != PB_OK ||
	    pb_append_escaped(&path, key, false) != PB_OK) {
		rc = PB_ENOMEM;
		goto out;
	}
	call.path = path.data;
	if ((rc = pb_call_platform(ctx, t->pool, &call, &response)) != PB_OK ||
	    (rc = pb_check_http_status(ctx, t->pool, &call, &response)) !=
		PB_OK)
		goto out;
	root = pb_parse_http_body(ctx, t->pool, &call, &response);
	if (root == NULL) {
		rc = PB_EPROTO;
	} else if (!read_row(root, row) || strcmp(row->key, key) != 0) {
		pb_clear_row(row);
		rc = pb_set_error(ctx, PB_EPROTO, call.step,
		    pb_http_peer(t->pool), "%s: malformed row", call.path);
	}
out:
	json_decref(root);
	pb_clear_buf(&response.body);
	pb_clear_buf(&path);
	return rc;
}

static json_t *
build_put(const struct pb_table_put *put)
{
	json_t *value =
	    json_loadb(put->value.data, put->value.len, JSON_DECODE_ANY, NULL);

	return value != NULL
	    ? json_pack("{s:s,s:o}", "key", put->key, "value", value)
	    : NULL;
}

/* Returns NULL when a value is not JSON or memory runs out. */
static char *
build_commit(const struct pb_table_commit *commit)
{
	json_t *checks = json_array(), *puts = json_array();
	json_t *deletes = json_array();
	json_t *root = json_pack("{s:o,s:o,s:o}", "checks", checks, "puts",
	    puts, "deletes", deletes);
	char *text = NULL;
	int failed = root == NULL;
	size_t i;

	for (i = 0; i < commit->check_count && !failed; i++)
		failed = json_array_append_new(checks,
		    json_pack("{s:s,s:I}", "key", commit->checks[i].key,
			"version", (json_int_t)commit->checks[i].version));
	for (i = 0; i < commit->put_count && !failed; i++)
		failed =
		    json_array_append_new(puts, build_put(&commit->puts[i]));
	for (i = 0; i < commit->delete_count && !failed; i++)
		failed = json_array_append_new(
		    deletes, json_string(commit->deletes[i]));
	if (!failed)
		text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static int
commit_rows(struct pb_context *ctx, struct pb_table *table,
    const struct pb_table_commit *commit)
{
	struct http_table *t = (struct http_table *)table;
	struct pb_http_call call = {"POST", "/table/v1/commit", PB_STR_NONE,
	    COMMIT_RESPONSE_MAX, true, "table-commit", NULL};
	struct pb_http_response response = {0};
	char *text = build_commit(commit);
	int rc;

	if (text == NULL)
		return pb_set_error(ctx, PB_EINVAL, call.step,
		    pb_http_peer(t->pool),
		    "a value is not JSON, or out of memory");
	call.body = pb_str_from(text);
	rc = pb_call_platform(ctx, t->pool, &call, &response);
	if (rc == PB_OK)
		rc = pb_check_http_status(ctx, t->pool, &call, &response);
	/* The table service returns no 404 here: another server replied. */
	if (rc == PB_ENOENT)
		rc = PB_EINVAL;
	pb_clear_buf(&response.body);
	free(text);
	return rc;
}

static int
list_rows(struct pb_context *ctx, struct pb_table *table, const char *prefix,
    const char *after, int limit,
    void (*fn)(void *arg, const struct pb_row *row), void *arg)
{
	struct http_table *t = (struct http_table *)table;
	struct pb_buf path = {0};
	struct pb_http_call call = {"GET", NULL, PB_STR_NONE, PAGE_BYTES_MAX,
	    false, "table-list", NULL};
	struct pb_http_response response = {0};
	json_t *root = NULL, *rows, *item;
	size_t i;
	int rc = PB_ENOMEM;

	if (pb_append_fmt(&path, "/table/v1/rows?prefix=") != PB_OK ||
	    pb_append_escaped(&path, prefix, false) != PB_OK ||
	    pb_append_fmt(&path, "&limit=%d&after=", limit) != PB_OK ||
	    pb_append_escaped(&path, after != NULL ? after : "", false) !=
		PB_OK)
		goto out;
	call.path = path.data;
	if ((rc = pb_call_platform(ctx, t->pool, &call, &response)) != PB_OK ||
	    (rc = pb_check_http_status(ctx, t->pool, &call, &response)) !=
		PB_OK)
		goto out;
	root = pb_parse_http_body(ctx, t->pool, &call, &response);
	rows = json_object_get(root, "rows");
	if (!json_is_array(rows))
		rc = pb_set_error(ctx, PB_EPROTO, call.step,
		    pb_http_peer(t->pool),
		    "%s: the response has no list of rows", call.path);
	json_array_foreach(rows, i, item)
	{
		struct pb_row row;

		if (rc == PB_OK && read_row(item, &row))
			fn(arg, &row);
		else
			rc = pb_set_error(ctx, PB_EPROTO, call.step,
			    pb_http_peer(t->pool), "%s: malformed row",
			    call.path);
		pb_clear_row(&row);
		if (rc != PB_OK)
			break;
	}
out:
	json_decref(root);
	pb_clear_buf(&response.body);
	pb_clear_buf(&path);
	return rc;
}

static void
drop_table(struct pb_context *ctx, struct pb_table *table)
{
	struct http_table *t = (struct http_table *)table;

	if (t == NULL)
		return;
	pb_drop_http_pool(ctx, t->pool);
	free(t);
}

struct pb_table *
pb_new_http_table(struct pb_context *ctx, const char *base, int64_t timeout_us)
{
	static const struct pb_table_ops ops = {
	    get_row, commit_rows, list_rows, drop_table};
	struct http_table *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->base.ops = &ops;
	t->pool = pb_new_http_pool(ctx, base, timeout_us);
	if (t->pool == NULL) {
		free(t);
		return NULL;
	}
	return &t->base;
}
