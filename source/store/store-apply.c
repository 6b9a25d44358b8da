#include "store-private.h"

#include <stdlib.h>
#include <string.h>

#define BACKOFF_MIN_US (20 * PB_MSEC)
#define BACKOFF_MAX_US (500 * PB_MSEC)
/* A conflict is retried after a delay only once per this many commits. */
#define CONFLICTS_PER_BACKOFF 8
/* Maximum number of a team's changes to search for a change id. */
#define HISTORY_SEARCH_MAX 64

/* State of one pb_apply_change call. */
struct apply {
	struct pb_context *ctx;
	struct pb_table *table;
	const struct pb_change *change;
	struct pb_apply_result *result;
	struct pb_settings_tree tree;
	/*
	 * Set when the response to a commit was lost. The commit may still take
	 * effect, but only while the head row has the version in
	 * uncertain_version, because the commit checks it.
	 */
	bool uncertain;
	uint64_t uncertain_version;
	int64_t backoff_us;
};

/* Keys and values of one commit; they must stay valid during the call. */
struct commit_strings {
	char subtree_key[PB_STORE_KEY_CAP];
	char history_key[PB_STORE_KEY_CAP];
	char text_key[PB_STORE_KEY_CAP];
	char old_history_key[PB_STORE_KEY_CAP];
	char old_text_key[PB_STORE_KEY_CAP];
	char *head;
	char *subtree;
	char *history;
	char *text;
};

static json_t *
text_value(const struct pb_change *change)
{
	return json_stringn(change->text.data != NULL ? change->text.data : "",
	    change->text.len);
}

static void
free_commit_strings(struct commit_strings *t)
{
	free(t->head);
	free(t->subtree);
	free(t->history);
	free(t->text);
}

static int
format_commit(
    struct apply *a, const struct pb_subtree *sub, struct commit_strings *t)
{
	const struct pb_change *change = a->change;
	struct pb_revision_info info = {
	    .revision = a->tree.revision + 1, .wall_us = pb_wall_time(a->ctx)};
	json_t *object;

	info.previous = sub != NULL ? sub->info.revision : 0;
	pb_copy_str(info.team, sizeof(info.team), change->team);
	pb_copy_str(info.author, sizeof(info.author), change->author);
	pb_copy_str(info.change, sizeof(info.change), change->change);

	snprintf(t->subtree_key, sizeof(t->subtree_key), "%s%s",
	    PB_SUBTREE_PREFIX, change->team);
	pb_revision_key(t->history_key, PB_HISTORY_PREFIX, info.revision);
	pb_revision_key(t->text_key, PB_TEXT_PREFIX, info.revision);
	t->head = pb_dump_row(
	    json_pack("{s:I}", "revision", (json_int_t)info.revision));
	t->history = pb_dump_row(pb_pack_info(&info));
	t->text = pb_dump_row(json_pack(
	    "{s:s,s:o}", "team", info.team, "text", text_value(change)));
	object = pb_pack_info(&info);
	if (object != NULL)
		json_object_set_new(object, "text", text_value(change));
	t->subtree = pb_dump_row(object);
	if (t->head == NULL || t->subtree == NULL || t->history == NULL ||
	    t->text == NULL) {
		return pb_set_error(a->ctx, PB_ENOMEM, "apply settings", "",
		    "not enough memory");
	}
	return PB_OK;
}

/*
 * Commits the change in one transaction, which fails when the subtree or the
 * head row changed since they were read. Also deletes the oldest revision when
 * more than PB_HISTORY_ROWS would be kept.
 */
static int
send_commit(struct apply *a, const struct pb_subtree *sub)
{
	struct commit_strings t = {.head = NULL};
	const char *deletes[] = {t.old_history_key, t.old_text_key};
	struct pb_table_check checks[] = {
	    {t.subtree_key, sub != NULL ? sub->version : 0},
	    {PB_HEAD_KEY, a->tree.version}};
	struct pb_table_put puts[4];
	struct pb_table_commit commit = {.checks = checks,
	    .check_count = 2,
	    .puts = puts,
	    .put_count = 4,
	    .deletes = deletes};
	uint64_t revision = a->tree.revision + 1;
	int rc = format_commit(a, sub, &t);

	if (rc != PB_OK)
		goto out;
	puts[0] = (struct pb_table_put){t.subtree_key, pb_str_from(t.subtree)};
	puts[1] = (struct pb_table_put){PB_HEAD_KEY, pb_str_from(t.head)};
	puts[2] = (struct pb_table_put){t.history_key, pb_str_from(t.history)};
	puts[3] = (struct pb_table_put){t.text_key, pb_str_from(t.text)};
	if (revision > PB_HISTORY_ROWS) {
		pb_revision_key(t.old_history_key, PB_HISTORY_PREFIX,
		    revision - PB_HISTORY_ROWS);
		pb_revision_key(
		    t.old_text_key, PB_TEXT_PREFIX, revision - PB_HISTORY_ROWS);
		commit.delete_count = 2;
	}
	a->result->tries++;
	rc = a->table->ops->commit(a->ctx, a->table, &commit);
	if (rc == PB_EUNKNOWN) {
		a->uncertain = true;
		a->uncertain_version = a->tree.version;
	}
out:
	free_commit_strings(&t);
	return rc;
}

/*
 * Called when the subtree is newer than change->expect. The newer revision may
 * come from this change itself, if the response to its commit was lost, so the
 * team's changes since change->expect are searched for its change id. Returns
 * PB_OK when the id is found, else PB_ECONFLICT or a read error.
 */
static int
find_own_change(struct apply *a, const struct pb_subtree *sub)
{
	struct pb_revision_info info = sub->info;
	int steps, rc;

	for (steps = 0; steps < HISTORY_SEARCH_MAX; steps++) {
		if (strcmp(info.change, a->change->change) == 0) {
			a->result->revision = info.revision;
			return PB_OK;
		}
		if (info.previous <= a->change->expect)
			break;
		rc =
		    pb_read_history_row(a->ctx, a->table, info.previous, &info);
		if (rc == PB_ENOENT)
			break;
		if (rc != PB_OK)
			return rc;
	}
	a->result->winner = sub->info;
	return pb_set_error(a->ctx, PB_ECONFLICT, "apply settings",
	    sub->info.author,
	    "the settings of team \"%s\" were changed by \"%s\" in revision "
	    "%llu, after revision %llu that this change is based on",
	    sub->info.team, sub->info.author,
	    (unsigned long long)sub->info.revision,
	    (unsigned long long)a->change->expect);
}

/* Validates the tree with the team's text replaced by that of the change. */
static int
validate_change(struct apply *a)
{
	struct pb_settings_tree *tree = &a->tree, candidate;
	struct pb_settings *settings;
	size_t i, n = 0;

	candidate.revision = tree->revision + 1;
	candidate.version = 0;
	candidate.subtrees =
	    calloc(tree->count + 1, sizeof(*candidate.subtrees));
	if (candidate.subtrees == NULL) {
		return pb_set_error(a->ctx, PB_ENOMEM, "apply settings", "",
		    "not enough memory");
	}
	for (i = 0; i < tree->count; i++) {
		if (strcmp(tree->subtrees[i].info.team, a->change->team) != 0)
			candidate.subtrees[n++] = tree->subtrees[i];
	}
	/* The texts are borrowed, so only the array is freed. */
	pb_copy_str(candidate.subtrees[n].info.team,
	    sizeof(candidate.subtrees[n].info.team), a->change->team);
	candidate.subtrees[n].text.data = (char *)a->change->text.data;
	candidate.subtrees[n].text.len = a->change->text.len;
	candidate.count = n + 1;
	pb_clear_settings_report(&a->result->report);
	settings = pb_parse_tree(a->ctx, &candidate, &a->result->report);
	free(candidate.subtrees);
	if (settings == NULL)
		return a->ctx->error.code;
	pb_drop_settings(a->ctx, settings);
	return PB_OK;
}

/* Makes one attempt: reads the tree, checks, validates and commits. */
static int
try_change(struct apply *a)
{
	const struct pb_subtree *sub;
	int rc = pb_read_tree(a->ctx, a->table, &a->tree);

	if (rc != PB_OK)
		return rc;
	sub = pb_find_subtree(&a->tree, a->change->team);
	if (sub != NULL && sub->info.revision > a->change->expect) {
		/*
		 * Until the history has been read, the change may be one of
		 * the newer revisions.
		 */
		a->uncertain = true;
		rc = find_own_change(a, sub);
		if (rc == PB_OK || rc == PB_ECONFLICT)
			a->uncertain = false;
		pb_clear_tree(&a->tree);
		return rc;
	}
	if (a->uncertain && a->tree.version != a->uncertain_version)
		a->uncertain = false;
	if (a->change->expect > a->tree.revision) {
		rc = pb_set_error(a->ctx, PB_EINVAL, "apply settings", "",
		    "expected revision %llu does not exist; the newest is %llu",
		    (unsigned long long)a->change->expect,
		    (unsigned long long)a->tree.revision);
	} else {
		rc = validate_change(a);
		if (rc == PB_OK)
			rc = send_commit(a, sub);
		if (rc == PB_OK)
			a->result->revision = a->tree.revision + 1;
		else if (rc == PB_ECONFLICT)
			rc = PB_EABORTED; /* retry with a new read */
	}
	pb_clear_tree(&a->tree);
	return rc;
}

static bool
is_final(int rc)
{
	switch (rc) {
	case PB_EABORTED:
	case PB_EBUSY:
	case PB_EUNAVAIL:
	case PB_EUNKNOWN:
	case PB_ETIMEDOUT:
		return false;
	default:
		return true;
	}
}

static void
wait_before_retry(struct apply *a, int rc)
{
	/*
	 * A conflict means that another change was committed and so the writers
	 * make progress without a delay. Only every CONFLICTS_PER_BACKOFF-th
	 * commit is followed by one.
	 */
	if (rc == PB_EABORTED && a->result->tries % CONFLICTS_PER_BACKOFF != 0)
		return;
	a->ctx->clock->ops->sleep(a->ctx->clock, a->backoff_us);
	if (a->backoff_us < BACKOFF_MAX_US)
		a->backoff_us *= 2;
}

static int
check_change(struct pb_context *ctx, const struct pb_change *change)
{
	json_t *text;

	if (!pb_is_valid_name(pb_str_from(change->team))) {
		return pb_set_error(ctx, PB_EINVAL, "apply settings", "",
		    "\"%.40s\" is not the name of a team", change->team);
	}
	if (*change->change == '\0' ||
	    strlen(change->change) >=
		sizeof(((struct pb_revision_info *)0)->change)) {
		return pb_set_error(ctx, PB_EINVAL, "apply settings", "",
		    "expected a change id of 1 to 39 characters");
	}
	if (strlen(change->author) >=
	    sizeof(((struct pb_revision_info *)0)->author)) {
		return pb_set_error(ctx, PB_EINVAL, "apply settings", "",
		    "expected an author of at most 63 bytes");
	}
	/* jansson returns NULL for strings that are not UTF-8. */
	text = json_pack(
	    "[s,s,o]", change->author, change->change, text_value(change));
	if (text == NULL) {
		return pb_set_error(ctx, PB_EINVAL, "apply settings", "",
		    "the author, the change id or the text is not UTF-8");
	}
	json_decref(text);
	return PB_OK;
}

int
pb_apply_change(struct pb_context *ctx, struct pb_table *table,
    const struct pb_change *change, struct pb_apply_result *result)
{
	struct apply a = {.ctx = ctx,
	    .table = table,
	    .change = change,
	    .result = result,
	    .backoff_us = BACKOFF_MIN_US};
	int rc;

	memset(result, 0, sizeof(*result));
	rc = check_change(ctx, change);
	if (rc != PB_OK)
		return rc;
	for (;;) {
		rc = try_change(&a);
		if (rc == PB_OK || rc == PB_ECONFLICT)
			return rc;
		if (is_final(rc) && !a.uncertain)
			return rc;
		wait_before_retry(&a, rc);
		if (pb_now(ctx) >= change->deadline_us)
			break;
	}
	if (a.uncertain) {
		return pb_set_error(ctx, PB_EUNKNOWN, "apply settings", "",
		    "the answer to the write was lost; repeat the change "
		    "\"%s\" to learn the outcome",
		    change->change);
	}
	return pb_set_error(ctx, PB_EUNAVAIL, "apply settings", "",
	    "the table service did not accept the change in time; nothing was "
	    "written");
}

void
pb_clear_apply_result(struct pb_apply_result *result)
{
	pb_clear_settings_report(&result->report);
}

int
pb_rollback_change(struct pb_context *ctx, struct pb_table *table,
    const struct pb_change *change, uint64_t revision,
    struct pb_apply_result *result)
{
	struct pb_change rollback = *change;
	struct pb_subtree old;
	int rc;

	memset(result, 0, sizeof(*result));
	rc = pb_read_subtree_at(ctx, table, change->team, revision, &old);
	if (rc != PB_OK)
		return rc;
	rollback.text = (struct pb_str){old.text.data, old.text.len};
	rc = pb_apply_change(ctx, table, &rollback, result);
	pb_clear_subtree(&old);
	return rc;
}
