#include "store-private.h"

#include <stdlib.h>
#include <string.h>

#define UPDATE_TRIES 8 /* attempts to update while the head row changes */
/* A tree that is more revisions than this behind is read as a whole. */
#define UPDATE_REVISIONS_MAX 64

/* The revisions between a tree and the head, and the changed subtrees. */
struct update {
	struct pb_context *ctx;
	struct pb_table *table;
	const struct pb_settings_tree *tree;
	uint64_t revision; /* of the head */
	uint64_t version; /* of the head row */
	char teams[UPDATE_REVISIONS_MAX][48]; /* with a changed subtree */
	size_t team_count;
	uint64_t rows; /* history rows read */
	struct pb_settings_tree changed; /* not sorted */
	int rc;
};

static void
add_revision_row(void *arg, const struct pb_row *row)
{
	struct update *u = arg;
	struct pb_revision_info info;
	json_t *object;
	size_t i;

	if (u->rc != PB_OK)
		return;
	object = pb_parse_row(u->ctx, row);
	u->rc =
	    object != NULL ? pb_unpack_info(u->ctx, object, &info) : PB_EPROTO;
	json_decref(object);
	if (u->rc != PB_OK)
		return;
	u->rows++;
	for (i = 0; i < u->team_count; i++) {
		if (strcmp(u->teams[i], info.team) == 0)
			return;
	}
	if (u->team_count < UPDATE_REVISIONS_MAX) {
		pb_copy_str(
		    u->teams[u->team_count++], sizeof(u->teams[0]), info.team);
	}
}

static int
read_revisions(struct update *u)
{
	uint64_t count = u->revision - u->tree->revision;
	char after[PB_STORE_KEY_CAP];
	int rc;

	pb_revision_key(after, PB_HISTORY_PREFIX, u->tree->revision);
	rc = u->table->ops->list(u->ctx, u->table, PB_HISTORY_PREFIX, after,
	    (int)count, add_revision_row, u);
	if (rc == PB_OK)
		rc = u->rc;
	if (rc == PB_OK && u->rows != count) {
		rc = pb_set_error(u->ctx, PB_EPROTO, "update settings", "",
		    "the history holds only %llu of %llu new revisions",
		    (unsigned long long)u->rows, (unsigned long long)count);
	}
	return rc;
}

static int
read_subtree(struct update *u, const char *team)
{
	struct pb_row row = {.version = 0};
	char key[PB_STORE_KEY_CAP];
	json_t *object;
	int rc;

	snprintf(key, sizeof(key), "%s%s", PB_SUBTREE_PREFIX, team);
	rc = u->table->ops->get(u->ctx, u->table, key, &row);
	if (rc == PB_ENOENT) {
		rc = pb_set_error(u->ctx, PB_EPROTO, "update settings", key,
		    "a subtree that the history names does not exist");
	}
	if (rc == PB_OK) {
		object = pb_parse_row(u->ctx, &row);
		rc = object != NULL
		    ? pb_parse_subtree(u->ctx, &u->changed, object)
		    : PB_EPROTO;
		json_decref(object);
	}
	if (rc == PB_OK) {
		u->changed.subtrees[u->changed.count - 1].version = row.version;
	}
	pb_clear_buf(&row.value);
	return rc;
}

/*
 * Reads the changed subtrees. Returns PB_EABORTED when the head row changed in
 * the meantime.
 */
static int
read_changes(struct update *u)
{
	uint64_t revision, version;
	size_t i;
	int rc = read_revisions(u);

	for (i = 0; rc == PB_OK && i < u->team_count; i++)
		rc = read_subtree(u, u->teams[i]);
	if (rc == PB_OK)
		rc = pb_read_head(u->ctx, u->table, &revision, &version);
	if (rc == PB_OK && version != u->version)
		rc = PB_EABORTED;
	return rc;
}

static int
compare_teams(const void *a, const void *b)
{
	const struct pb_subtree *x = a, *y = b;

	return strcmp(x->info.team, y->info.team);
}

/*
 * Moves the changed subtrees into the tree. Only the realloc can fail, so the
 * tree is never left half updated.
 */
static int
merge_changes(struct update *u, struct pb_settings_tree *tree)
{
	struct pb_subtree *p = realloc(
	    tree->subtrees, (tree->count + u->changed.count + 1) * sizeof(*p));
	size_t i;

	if (p == NULL) {
		return pb_set_error(u->ctx, PB_ENOMEM, "update settings", "",
		    "not enough memory");
	}
	tree->subtrees = p;
	for (i = 0; i < u->changed.count; i++) {
		struct pb_subtree *from = &u->changed.subtrees[i];
		struct pb_subtree *to =
		    (struct pb_subtree *)pb_find_subtree(tree, from->info.team);

		if (to == NULL)
			to = &tree->subtrees[tree->count++];
		else
			pb_clear_subtree(to);
		*to = *from;
		memset(from, 0, sizeof(*from));
	}
	qsort(tree->subtrees, tree->count, sizeof(*p), compare_teams);
	tree->revision = u->revision;
	tree->version = u->version;
	return PB_OK;
}

static int
replace_tree(struct pb_context *ctx, struct pb_table *table,
    struct pb_settings_tree *tree)
{
	struct pb_settings_tree whole;
	int rc = pb_read_tree(ctx, table, &whole);

	if (rc != PB_OK)
		return rc;
	pb_clear_tree(tree);
	*tree = whole;
	return PB_OK;
}

int
pb_update_tree(struct pb_context *ctx, struct pb_table *table,
    struct pb_settings_tree *tree)
{
	int tries, rc = PB_EABORTED;

	for (tries = 0; rc == PB_EABORTED && tries < UPDATE_TRIES; tries++) {
		struct update u = {
		    .ctx = ctx, .table = table, .tree = tree, .rc = PB_OK};

		rc = pb_read_head(ctx, table, &u.revision, &u.version);
		if (rc != PB_OK || u.version == tree->version)
			return rc;
		if (tree->version == 0 || u.revision <= tree->revision ||
		    u.revision - tree->revision > UPDATE_REVISIONS_MAX)
			return replace_tree(ctx, table, tree);
		rc = read_changes(&u);
		if (rc == PB_OK)
			rc = merge_changes(&u, tree);
		pb_clear_tree(&u.changed);
	}
	if (rc == PB_EABORTED) {
		rc = pb_set_error(ctx, PB_EBUSY, "update settings", PB_HEAD_KEY,
		    "the head row changed during each of %d reads",
		    UPDATE_TRIES);
	}
	return rc;
}
