#include "poplarbeam/operator.h"
#include "poplarbeam/store.h"

#include <errno.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define HISTORY_DEFAULT 20 /* rows */

enum http_status {
	HTTP_OK = 200,
	HTTP_BAD_REQUEST = 400,
	HTTP_NOT_FOUND = 404,
	HTTP_CONFLICT = 409,
	HTTP_UNPROCESSABLE = 422,
	HTTP_UNAVAILABLE = 503
};

void
pb_clear_reply(struct pb_reply *reply)
{
	pb_clear_buf(&reply->body);
	reply->status = 0;
}

/* Takes ownership of object. */
static void
set_reply(struct pb_reply *reply, int status, json_t *object)
{
	static const char failed[] =
	    "{\"error\":{\"code\":\"no_memory\",\"message\":\"not enough "
	    "memory\"}}";
	char *text = object != NULL ? json_dumps(object, JSON_COMPACT) : NULL;

	json_decref(object);
	memset(reply, 0, sizeof(*reply));
	reply->status = text != NULL ? status : HTTP_UNAVAILABLE;
	if (text == NULL)
		pb_append_buf(&reply->body, failed, sizeof(failed) - 1);
	else
		pb_append_buf(&reply->body, text, strlen(text));
	free(text);
}

static json_t *
new_error(const char *code, const char *message)
{
	return json_pack(
	    "{s:{s:s,s:s}}", "error", "code", code, "message", message);
}

static int
http_status_of(int rc)
{
	switch (rc) {
	case PB_EINVAL:
		return HTTP_UNPROCESSABLE;
	case PB_ENOENT:
		return HTTP_NOT_FOUND;
	case PB_ECONFLICT:
		return HTTP_CONFLICT;
	default:
		return HTTP_UNAVAILABLE;
	}
}

static void
set_error_reply(struct pb_context *ctx, int rc, struct pb_reply *reply)
{
	const char *text = ctx->error.text;

	if (rc == PB_ENOENT)
		text = "no such team or revision";
	set_reply(reply, http_status_of(rc), new_error(pb_code_name(rc), text));
}

static void
set_bad_request(struct pb_reply *reply, const char *message)
{
	set_reply(reply, HTTP_BAD_REQUEST, new_error("bad_request", message));
}

static json_t *
pack_revision_info(const struct pb_revision_info *info)
{
	return json_pack("{s:I,s:s,s:s,s:s,s:I,s:I}", "revision",
	    (json_int_t)info->revision, "team", info->team, "author",
	    info->author, "change", info->change, "wall_us",
	    (json_int_t)info->wall_us, "previous", (json_int_t)info->previous);
}

/* Returns the lines of the report as a JSON array. */
static json_t *
pack_lines(const struct pb_settings_report *report)
{
	json_t *list = json_array();
	const char *p = report->lines.data, *end;

	for (; p != NULL && *p != '\0'; p = end + 1) {
		end = strchr(p, '\n');
		if (end == NULL)
			break;
		json_array_append_new(list, json_stringn(p, (size_t)(end - p)));
	}
	return list;
}

static void
set_apply_error(struct pb_context *ctx, int rc,
    const struct pb_apply_result *result, struct pb_reply *reply)
{
	json_t *error, *root;

	root = new_error(pb_code_name(rc), ctx->error.text);
	error = json_object_get(root, "error");
	if (rc == PB_ECONFLICT) {
		json_object_set_new(
		    error, "winner", pack_revision_info(&result->winner));
	}
	if (rc == PB_EINVAL) {
		json_object_set_new(
		    error, "lines", pack_lines(&result->report));
	}
	set_reply(reply, http_status_of(rc), root);
}

void
pb_serve_apply(struct pb_context *ctx, struct pb_table *table,
    struct pb_str body, int64_t deadline_us, struct pb_reply *reply,
    uint64_t *revision)
{
	json_t *root =
	    json_loadb(body.data != NULL ? body.data : "", body.len, 0, NULL);
	struct pb_change change = {.deadline_us = deadline_us};
	struct pb_apply_result result;
	json_int_t expect = 0;
	const char *text;
	size_t text_len;
	int rc;

	*revision = 0;
	if (root == NULL ||
	    json_unpack(root, "{s:s,s:I,s:s%,s:s,s:s}", "team", &change.team,
		"expect", &expect, "text", &text, &text_len, "author",
		&change.author, "change", &change.change) != 0 ||
	    expect < 0) {
		set_bad_request(reply,
		    "expected a JSON object with team, expect, text, author "
		    "and change");
		json_decref(root);
		return;
	}
	change.expect = (uint64_t)expect;
	change.text = (struct pb_str){text, text_len};
	rc = pb_apply_change(ctx, table, &change, &result);
	if (rc == PB_OK) {
		*revision = result.revision;
		set_reply(reply, HTTP_OK,
		    json_pack(
			"{s:I}", "revision", (json_int_t)result.revision));
	} else {
		set_apply_error(ctx, rc, &result, reply);
	}
	pb_clear_apply_result(&result);
	json_decref(root);
}

static void
set_subtree_reply(const struct pb_subtree *sub, struct pb_reply *reply)
{
	set_reply(reply, HTTP_OK,
	    json_pack("{s:s,s:I,s:s%}", "team", sub->info.team, "revision",
		(json_int_t)sub->info.revision, "text",
		sub->text.data != NULL ? sub->text.data : "", sub->text.len));
}

void
pb_serve_settings(struct pb_context *ctx, struct pb_table *table,
    const char *team, struct pb_reply *reply)
{
	struct pb_settings_tree tree;
	const struct pb_subtree *sub;
	int rc;

	if (team == NULL || !pb_is_valid_name(pb_str_from(team))) {
		set_bad_request(reply, "expected team=NAME");
		return;
	}
	rc = pb_read_tree(ctx, table, &tree);
	if (rc != PB_OK) {
		set_error_reply(ctx, rc, reply);
		return;
	}
	sub = pb_find_subtree(&tree, team);
	if (sub != NULL)
		set_subtree_reply(sub, reply);
	else
		set_error_reply(ctx, PB_ENOENT, reply);
	pb_clear_tree(&tree);
}

/* Parses an unsigned decimal number; returns false for any other text. */
static bool
parse_number(const char *text, uint64_t *value)
{
	char *end;

	if (text == NULL || *text < '0' || *text > '9')
		return false;
	errno = 0;
	*value = strtoull(text, &end, 10);
	return errno == 0 && *end == '\0';
}

static void
append_info(void *arg, const struct pb_revision_info *info)
{
	json_array_append_new(arg, pack_revision_info(info));
}

void
pb_serve_history(struct pb_context *ctx, struct pb_table *table,
    const char *limit, struct pb_reply *reply)
{
	uint64_t rows = HISTORY_DEFAULT;
	json_t *list;
	int rc;

	if (limit != NULL && *limit != '\0' &&
	    (!parse_number(limit, &rows) || rows < 1 ||
		rows > PB_HISTORY_ROWS)) {
		set_bad_request(reply, "expected limit=1 to 1000");
		return;
	}
	list = json_array();
	rc = pb_list_history(ctx, table, (int)rows, append_info, list);
	if (rc != PB_OK) {
		json_decref(list);
		set_error_reply(ctx, rc, reply);
		return;
	}
	set_reply(reply, HTTP_OK, json_pack("{s:o}", "revisions", list));
}

void
pb_serve_revision(struct pb_context *ctx, struct pb_table *table, const char *n,
    const char *team, struct pb_reply *reply)
{
	struct pb_subtree sub;
	uint64_t revision;
	int rc;

	if (!parse_number(n, &revision)) {
		set_bad_request(reply, "expected n=REVISION");
		return;
	}
	if (team != NULL && *team != '\0') {
		rc = pb_read_subtree_at(ctx, table, team, revision, &sub);
	} else {
		rc = pb_read_revision(ctx, table, revision, &sub);
	}
	if (rc != PB_OK) {
		set_error_reply(ctx, rc, reply);
		return;
	}
	set_subtree_reply(&sub, reply);
	pb_clear_subtree(&sub);
}
