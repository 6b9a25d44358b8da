#include "store-private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

void
pb_revision_key(char *dst, const char *prefix, uint64_t revision)
{
	snprintf(dst, PB_STORE_KEY_CAP, "%s%020" PRIu64, prefix, revision);
}

json_t *
pb_parse_row(struct pb_context *ctx, const struct pb_row *row)
{
	json_error_t error;
	json_t *object = NULL;

	if (row->value.data != NULL) {
		object = json_loadb(row->value.data, row->value.len, 0, &error);
	}
	if (!json_is_object(object)) {
		json_decref(object);
		pb_set_error(ctx, PB_EPROTO, "read settings", row->key,
		    "the row is not a JSON object");
		return NULL;
	}
	return object;
}

char *
pb_dump_row(json_t *object)
{
	char *text = object != NULL ? json_dumps(object, JSON_COMPACT) : NULL;

	json_decref(object);
	return text;
}

json_t *
pb_pack_info(const struct pb_revision_info *info)
{
	return json_pack("{s:I,s:s,s:s,s:s,s:I,s:I}", "revision",
	    (json_int_t)info->revision, "team", info->team, "author",
	    info->author, "change", info->change, "wall_us",
	    (json_int_t)info->wall_us, "previous", (json_int_t)info->previous);
}

int
pb_unpack_info(
    struct pb_context *ctx, const json_t *object, struct pb_revision_info *info)
{
	const char *team = "", *author = "", *change = "";
	json_int_t revision = 0, previous = 0, wall = 0;

	memset(info, 0, sizeof(*info));
	if (json_unpack((json_t *)object, "{s:I,s:s,s:s,s:s,s:I,s?I}",
		"revision", &revision, "team", &team, "author", &author,
		"change", &change, "wall_us", &wall, "previous",
		&previous) != 0) {
		return pb_set_error(ctx, PB_EPROTO, "read settings", "",
		    "the record of a change lacks a member or has one of a "
		    "wrong type");
	}
	info->revision = (uint64_t)revision;
	info->previous = (uint64_t)previous;
	info->wall_us = wall;
	pb_copy_str(info->team, sizeof(info->team), team);
	pb_copy_str(info->author, sizeof(info->author), author);
	pb_copy_str(info->change, sizeof(info->change), change);
	return PB_OK;
}

int
pb_unpack_text(
    struct pb_context *ctx, const json_t *object, struct pb_buf *text)
{
	const json_t *s = json_object_get(object, "text");

	if (!json_is_string(s)) {
		return pb_set_error(ctx, PB_EPROTO, "read settings", "",
		    "the record of a change has no string member \"text\"");
	}
	return pb_append_buf(text, json_string_value(s), json_string_length(s));
}

int
pb_read_history_row(struct pb_context *ctx, struct pb_table *table,
    uint64_t revision, struct pb_revision_info *info)
{
	struct pb_row row = {.version = 0};
	char key[PB_STORE_KEY_CAP];
	json_t *object;
	int rc;

	pb_revision_key(key, PB_HISTORY_PREFIX, revision);
	rc = table->ops->get(ctx, table, key, &row);
	if (rc == PB_OK) {
		object = pb_parse_row(ctx, &row);
		rc = object != NULL ? pb_unpack_info(ctx, object, info)
				    : PB_EPROTO;
		json_decref(object);
	}
	pb_clear_buf(&row.value);
	return rc;
}

void
pb_clear_subtree(struct pb_subtree *subtree)
{
	pb_clear_buf(&subtree->text);
	memset(subtree, 0, sizeof(*subtree));
}

void
pb_clear_tree(struct pb_settings_tree *tree)
{
	size_t i;

	for (i = 0; i < tree->count; i++)
		pb_clear_subtree(&tree->subtrees[i]);
	free(tree->subtrees);
	memset(tree, 0, sizeof(*tree));
}
