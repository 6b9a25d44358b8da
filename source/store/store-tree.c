#include "store-private.h"

#include <stdlib.h>
#include <string.h>

#define READ_TRIES 8 /* attempts to read the tree while it changes */
#define PAGE_ROWS 50
#define SUBTREES_MAX 1001 /* the fleet-wide one and those of 1,000 teams */

int
pb_read_head(struct pb_context *ctx, struct pb_table *table, uint64_t *revision,
    uint64_t *version)
{
	struct pb_row row = {.version = 0};
	json_t *object = NULL, *value;
	int rc;

	*revision = 0;
	*version = 0;
	rc = table->ops->get(ctx, table, PB_HEAD_KEY, &row);
	if (rc == PB_ENOENT) {
		pb_clear_buf(&row.value);
		return PB_OK;
	}
	if (rc != PB_OK)
		goto out;
	object = pb_parse_row(ctx, &row);
	value = json_object_get(object, "revision");
	if (json_integer_value(value) <= 0) {
		rc = pb_set_error(ctx, PB_EPROTO, "read settings", PB_HEAD_KEY,
		    "the head row has no valid revision");
		goto out;
	}
	*revision = (uint64_t)json_integer_value(value);
	*version = row.version;
out:
	json_decref(object);
	pb_clear_buf(&row.value);
	return rc;
}

struct page {
	struct pb_context *ctx;
	struct pb_settings_tree *tree;
	char after[PB_STORE_KEY_CAP];
	int rows;
	int rc;
};

static struct pb_subtree *
add_subtree(struct pb_settings_tree *tree)
{
	struct pb_subtree *p;

	if (tree->count == SUBTREES_MAX)
		return NULL;
	p = realloc(tree->subtrees, (tree->count + 1) * sizeof(*p));
	if (p == NULL)
		return NULL;
	tree->subtrees = p;
	p += tree->count++;
	memset(p, 0, sizeof(*p));
	return p;
}

int
pb_parse_subtree(
    struct pb_context *ctx, struct pb_settings_tree *tree, const json_t *object)
{
	struct pb_subtree *sub = add_subtree(tree);
	int rc;

	if (sub == NULL) {
		return pb_set_error(ctx, PB_ENOMEM, "read settings", "",
		    "too many subtrees or not enough memory");
	}
	rc = pb_unpack_info(ctx, object, &sub->info);
	if (rc == PB_OK)
		rc = pb_unpack_text(ctx, object, &sub->text);
	return rc;
}

static void
add_subtree_row(void *arg, const struct pb_row *row)
{
	struct page *page = arg;
	json_t *object;

	page->rows++;
	pb_copy_str(page->after, sizeof(page->after), row->key);
	if (page->rc != PB_OK)
		return;
	object = pb_parse_row(page->ctx, row);
	page->rc = object != NULL
	    ? pb_parse_subtree(page->ctx, page->tree, object)
	    : PB_EPROTO;
	if (page->rc == PB_OK) {
		page->tree->subtrees[page->tree->count - 1].version =
		    row->version;
	}
	json_decref(object);
}

static int
read_subtrees(struct pb_context *ctx, struct pb_table *table,
    struct pb_settings_tree *tree)
{
	struct page page = {.ctx = ctx, .tree = tree, .rc = PB_OK};
	int rc;

	do {
		char after[PB_STORE_KEY_CAP];

		pb_copy_str(after, sizeof(after), page.after);
		page.rows = 0;
		rc = table->ops->list(ctx, table, PB_SUBTREE_PREFIX, after,
		    PAGE_ROWS, add_subtree_row, &page);
		if (rc == PB_OK)
			rc = page.rc;
	} while (rc == PB_OK && page.rows == PAGE_ROWS);
	return rc;
}

/*
 * Every change updates the head row. If its version is the same before and
 * after the read, all subtrees belong to one revision.
 */
int
pb_read_tree(struct pb_context *ctx, struct pb_table *table,
    struct pb_settings_tree *tree)
{
	uint64_t revision, version;
	int tries, rc;

	for (tries = 0; tries < READ_TRIES; tries++) {
		memset(tree, 0, sizeof(*tree));
		rc = pb_read_head(ctx, table, &tree->revision, &tree->version);
		if (rc == PB_OK)
			rc = read_subtrees(ctx, table, tree);
		if (rc == PB_OK)
			rc = pb_read_head(ctx, table, &revision, &version);
		if (rc == PB_OK && version == tree->version)
			return PB_OK;
		pb_clear_tree(tree);
		if (rc != PB_OK)
			return rc;
	}
	return pb_set_error(ctx, PB_EBUSY, "read settings", PB_HEAD_KEY,
	    "the head row changed during each of %d reads", READ_TRIES);
}

const struct pb_subtree *
pb_find_subtree(const struct pb_settings_tree *tree, const char *team)
{
	size_t i;

	for (i = 0; i < tree->count; i++) {
		if (strcmp(tree->subtrees[i].info.team, team) == 0)
			return &tree->subtrees[i];
	}
	return NULL;
}

static bool
is_fleet(const struct pb_subtree *sub)
{
	return strcmp(sub->info.team, PB_FLEET_TEAM) == 0;
}

struct pb_settings *
pb_parse_tree_changes(struct pb_context *ctx, const struct pb_settings *old,
    const struct pb_settings_tree *tree, struct pb_settings_report *report)
{
	const struct pb_subtree *fleet = pb_find_subtree(tree, PB_FLEET_TEAM);
	struct pb_settings_text *texts;
	struct pb_settings *settings = NULL;
	size_t i, n = 0;

	if (old != NULL && fleet != NULL &&
	    fleet->info.revision > old->revision)
		old = NULL;
	texts = calloc(tree->count + 1, sizeof(*texts));
	if (texts == NULL) {
		pb_set_error(
		    ctx, PB_ENOMEM, "parse settings", "", "not enough memory");
		return NULL;
	}
	for (i = 0; i < tree->count; i++) {
		const struct pb_subtree *sub = &tree->subtrees[i];

		if (old != NULL && !is_fleet(sub) &&
		    sub->info.revision <= old->revision)
			continue;
		texts[n].name = sub->info.team;
		texts[n].team = is_fleet(sub) ? "" : sub->info.team;
		texts[n++].text =
		    (struct pb_str){sub->text.data, sub->text.len};
	}
	settings = pb_parse_settings_changes(
	    ctx, old, texts, n, tree->revision, report);
	free(texts);
	return settings;
}

struct pb_settings *
pb_parse_tree(struct pb_context *ctx, const struct pb_settings_tree *tree,
    struct pb_settings_report *report)
{
	return pb_parse_tree_changes(ctx, NULL, tree, report);
}

int
pb_format_tree(struct pb_context *ctx, const struct pb_settings_tree *tree,
    struct pb_buf *out)
{
	json_t *list = json_array(), *object;
	char *text;
	size_t i;
	int rc;

	for (i = 0; i < tree->count; i++) {
		const struct pb_subtree *sub = &tree->subtrees[i];

		object = pb_pack_info(&sub->info);
		json_object_set_new(object, "text",
		    json_stringn(sub->text.data != NULL ? sub->text.data : "",
			sub->text.len));
		json_array_append_new(list, object);
	}
	object = json_pack("{s:I,s:o}", "revision", (json_int_t)tree->revision,
	    "subtrees", list);
	text = pb_dump_row(object);
	rc = text != NULL ? pb_append_buf(out, text, strlen(text)) : PB_ENOMEM;
	free(text);
	if (rc != PB_OK) {
		pb_set_error(
		    ctx, PB_ENOMEM, "format settings", "", "not enough memory");
	}
	return rc;
}

int
pb_load_tree(
    struct pb_context *ctx, struct pb_str text, struct pb_settings_tree *tree)
{
	json_t *root = json_loadb(text.data, text.len, 0, NULL);
	json_t *revision = json_object_get(root, "revision");
	json_t *list = json_object_get(root, "subtrees"), *object;
	int rc = PB_OK;
	size_t i;

	memset(tree, 0, sizeof(*tree));
	if (!json_is_integer(revision) || !json_is_array(list)) {
		json_decref(root);
		return pb_set_error(ctx, PB_EPROTO, "load settings", "",
		    "expected a JSON object with an integer \"revision\" and an "
		    "array \"subtrees\"");
	}
	tree->revision = (uint64_t)json_integer_value(revision);
	json_array_foreach(list, i, object)
	{
		rc = pb_parse_subtree(ctx, tree, object);
		if (rc != PB_OK)
			break;
	}
	json_decref(root);
	if (rc != PB_OK)
		pb_clear_tree(tree);
	return rc;
}
