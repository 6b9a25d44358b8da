#include "store-private.h"

#include <stdlib.h>
#include <string.h>

struct history {
	struct pb_context *ctx;
	struct pb_revision_info *rows;
	size_t count;
	size_t cap;
	int rc;
};

static void
collect_revision(void *arg, const struct pb_row *row)
{
	struct history *h = arg;
	json_t *object;

	if (h->rc != PB_OK || h->count == h->cap)
		return;
	object = pb_parse_row(h->ctx, row);
	h->rc = object != NULL
	    ? pb_unpack_info(h->ctx, object, &h->rows[h->count])
	    : PB_EPROTO;
	if (h->rc == PB_OK)
		h->count++;
	json_decref(object);
}

/*
 * Revisions have no gaps, so the list of the newest rows starts after the
 * revision head - limit.
 */
int
pb_list_history(struct pb_context *ctx, struct pb_table *table, int limit,
    void (*fn)(void *arg, const struct pb_revision_info *info), void *arg)
{
	struct history h = {.ctx = ctx, .rc = PB_OK};
	char after[PB_STORE_KEY_CAP];
	uint64_t revision, version, first;
	int rc;

	if (limit < 1)
		limit = 1;
	if (limit > PB_HISTORY_ROWS)
		limit = PB_HISTORY_ROWS;
	rc = pb_read_head(ctx, table, &revision, &version);
	if (rc != PB_OK)
		return rc;
	first = revision > (uint64_t)limit ? revision - (uint64_t)limit : 0;
	pb_revision_key(after, PB_HISTORY_PREFIX, first);
	h.cap = (size_t)limit;
	h.rows = calloc(h.cap, sizeof(*h.rows));
	if (h.rows == NULL) {
		return pb_set_error(
		    ctx, PB_ENOMEM, "list history", "", "not enough memory");
	}
	rc = table->ops->list(
	    ctx, table, PB_HISTORY_PREFIX, after, limit, collect_revision, &h);
	if (rc == PB_OK)
		rc = h.rc;
	while (rc == PB_OK && h.count > 0)
		fn(arg, &h.rows[--h.count]);
	free(h.rows);
	return rc;
}

int
pb_read_revision(struct pb_context *ctx, struct pb_table *table,
    uint64_t revision, struct pb_subtree *out)
{
	struct pb_row row = {.version = 0};
	char key[PB_STORE_KEY_CAP];
	json_t *object = NULL;
	const char *team;
	int rc;

	memset(out, 0, sizeof(*out));
	pb_revision_key(key, PB_TEXT_PREFIX, revision);
	rc = table->ops->get(ctx, table, key, &row);
	if (rc == PB_ENOENT) {
		pb_set_error(ctx, PB_ENOENT, "read settings", "",
		    "revision %llu does not exist or is no longer kept",
		    (unsigned long long)revision);
	}
	if (rc != PB_OK)
		goto out;
	object = pb_parse_row(ctx, &row);
	rc = object != NULL ? pb_unpack_text(ctx, object, &out->text)
			    : PB_EPROTO;
	team = json_string_value(json_object_get(object, "team"));
	out->info.revision = revision;
	pb_copy_str(out->info.team, sizeof(out->info.team), team);
out:
	json_decref(object);
	pb_clear_buf(&row.value);
	if (rc != PB_OK)
		pb_clear_subtree(out);
	return rc;
}

int
pb_read_subtree_at(struct pb_context *ctx, struct pb_table *table,
    const char *team, uint64_t revision, struct pb_subtree *out)
{
	struct pb_revision_info info = {.revision = 0};
	struct pb_settings_tree tree;
	const struct pb_subtree *sub;
	uint64_t at;
	int rc;

	memset(out, 0, sizeof(*out));
	rc = pb_read_tree(ctx, table, &tree);
	if (rc != PB_OK)
		return rc;
	sub = pb_find_subtree(&tree, team);
	at = sub != NULL ? sub->info.revision : 0;
	info.previous = sub != NULL ? sub->info.previous : 0;
	if (revision > tree.revision)
		at = 0; /* the revision does not exist yet */
	pb_clear_tree(&tree);
	/*
	 * Follows the team's changes back to the last one at or before the
	 * revision. The loop ends because at most PB_HISTORY_ROWS revisions are
	 * kept.
	 */
	while (at > revision) {
		at = info.previous;
		if (at <= revision)
			break;
		rc = pb_read_history_row(ctx, table, at, &info);
		if (rc != PB_OK)
			return rc;
	}
	if (at == 0) {
		return pb_set_error(ctx, PB_ENOENT, "read settings", "",
		    "team \"%s\" had no settings at revision %llu", team,
		    (unsigned long long)revision);
	}
	return pb_read_revision(ctx, table, at, out);
}
