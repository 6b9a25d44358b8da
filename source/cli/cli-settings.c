#include "cli-change.h"

#include <string.h>

#define PATH_CAP 512

int
pb_run_apply(struct pb_cli *cli, int argc, char **argv)
{
	struct arg_file *file =
	    arg_file1(NULL, NULL, "FILE", "the team's YAML document");
	struct arg_end *end = arg_end(10);
	struct pb_cli_change change;
	struct pb_common_args common;
	struct pb_change_args args;
	struct pb_buf text = {NULL, 0, 0};
	char id[40];
	int code;

	pb_init_common_args(&common, true);
	pb_init_change_args(&args);
	void *table[] = {common.help, common.json, common.router, args.team,
	    args.expect, args.author, args.id, args.wait, args.wait_sec, file,
	    end};

	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Stores FILE as the team's settings if nobody changed them "
		"after the expected\nrevision. Exits with 2 (invalid), 3 "
		"(conflict), 4 (not available) or, with\n--wait, 5 (not in "
		"force on all live routers in time).",
		&code)) {
		pb_fill_change(&change, &args, id, sizeof(id));
		change.router = common.router->sval[0];
		code = PB_EXIT_USAGE;
		if (pb_read_file(cli, file->filename[0], &text)) {
			change.text = (struct pb_str){text.data, text.len};
			code = pb_send_change(cli, &change);
		}
	}
	pb_clear_buf(&text);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

/* Fetches the settings of a team as of a revision. */
static int
get_revision(struct pb_cli *cli, const char *router, const char *team,
    int revision, json_t **json)
{
	char path[PATH_CAP], name[200];

	pb_escape_query(name, sizeof(name), team);
	snprintf(path, sizeof(path), "/admin/v1/revision?n=%d&team=%s",
	    revision, name);
	return pb_get_json(cli, router, path, json);
}

static int
get_current(
    struct pb_cli *cli, const char *router, const char *team, json_t **json)
{
	char path[PATH_CAP], name[200];

	pb_escape_query(name, sizeof(name), team);
	snprintf(path, sizeof(path), "/admin/v1/settings?team=%s", name);
	return pb_get_json(cli, router, path, json);
}

int
pb_run_rollback(struct pb_cli *cli, int argc, char **argv)
{
	struct arg_int *to =
	    arg_int1(NULL, "to", "REVISION", "revision whose text to restore");
	struct arg_end *end = arg_end(10);
	struct pb_cli_change change;
	struct pb_common_args common;
	struct pb_change_args args;
	json_t *old = NULL;
	char id[40];
	int code;

	pb_init_common_args(&common, true);
	pb_init_change_args(&args);
	void *table[] = {common.help, common.json, common.router, args.team,
	    args.expect, args.author, args.id, args.wait, args.wait_sec, to,
	    end};

	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Stores the settings that the team had at an old revision as a "
		"new revision.\nExits as apply does; 1 when the old text is no "
		"longer kept.",
		&code)) {
		pb_fill_change(&change, &args, id, sizeof(id));
		change.router = common.router->sval[0];
		code = get_revision(
		    cli, change.router, change.team, to->ival[0], &old);
		if (code == PB_EXIT_OK) {
			change.text = pb_str_from(pb_json_text(old, "text"));
			code = pb_send_change(cli, &change);
		}
	}
	json_decref(old);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

int
pb_run_get(struct pb_cli *cli, int argc, char **argv)
{
	struct arg_str *team = arg_str1(
	    "t", "team", "TEAM", "team, or \"fleet\" for the fleet's document");
	struct arg_int *at = arg_int0(
	    NULL, "revision", "N", "print the settings as of this revision");
	struct arg_end *end = arg_end(10);
	struct pb_common_args common;
	json_t *response = NULL;
	int code;

	pb_init_common_args(&common, true);
	void *table[] = {
	    common.help, common.json, common.router, team, at, end};

	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Prints the settings of a team. The revision, which apply "
		"expects, goes to the\nstandard error output.",
		&code)) {
		const char *router = common.router->sval[0];

		code = at->count > 0
		    ? get_revision(
			  cli, router, team->sval[0], at->ival[0], &response)
		    : get_current(cli, router, team->sval[0], &response);
		if (code == PB_EXIT_OK && cli->json) {
			pb_print_json(cli, response);
		} else if (code == PB_EXIT_OK) {
			fputs(pb_json_text(response, "text"), cli->out);
			fprintf(cli->err, "revision %lld\n",
			    (long long)pb_json_int(response, "revision"));
		}
	}
	json_decref(response);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

static void
print_history(struct pb_cli *cli, const json_t *response)
{
	const json_t *list = json_object_get(response, "revisions"), *item;
	char wall[48];
	size_t i;

	fprintf(cli->out, "%-9s %-27s %-16s %-16s %s\n", "REVISION", "TIME",
	    "TEAM", "AUTHOR", "CHANGE");
	json_array_foreach(list, i, item)
	{
		pb_format_wall_time(
		    wall, sizeof(wall), pb_json_int(item, "wall_us"));
		fprintf(cli->out, "%-9lld %-27s %-16s %-16s %s\n",
		    (long long)pb_json_int(item, "revision"), wall,
		    pb_json_text(item, "team"), pb_json_text(item, "author"),
		    pb_json_text(item, "change"));
	}
}

int
pb_run_history(struct pb_cli *cli, int argc, char **argv)
{
	struct arg_int *limit = arg_int0(
	    "n", "limit", "N", "number of revisions, default 20, at most 1000");
	struct arg_end *end = arg_end(10);
	struct pb_common_args common;
	json_t *response = NULL;
	char path[PATH_CAP];
	int code;

	pb_init_common_args(&common, true);
	void *table[] = {common.help, common.json, common.router, limit, end};

	limit->ival[0] = 20;
	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Lists the latest revisions of all teams, newest first.",
		&code)) {
		snprintf(path, sizeof(path), "/admin/v1/history?limit=%d",
		    limit->ival[0]);
		code =
		    pb_get_json(cli, common.router->sval[0], path, &response);
		if (code == PB_EXIT_OK && cli->json)
			pb_print_json(cli, response);
		else if (code == PB_EXIT_OK)
			print_history(cli, response);
	}
	json_decref(response);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

static int
print_diff(struct pb_cli *cli, struct pb_str old_text, struct pb_str new_text,
    const char *old_name, const char *new_name)
{
	struct pb_buf diff = {NULL, 0, 0};
	json_t *object;

	if (pb_diff_lines(old_text, new_text, old_name, new_name, &diff) !=
	    PB_OK) {
		fprintf(cli->err, "poplarbeam: not enough memory\n");
		pb_clear_buf(&diff);
		return PB_EXIT_UNAVAILABLE;
	}
	if (cli->json) {
		object = json_pack("{s:b,s:s}", "differ", diff.len > 0, "diff",
		    diff.data != NULL ? diff.data : "");
		pb_print_json(cli, object);
		json_decref(object);
	} else if (diff.len > 0) {
		fputs(diff.data, cli->out);
	}
	pb_clear_buf(&diff);
	return PB_EXIT_OK;
}

struct diff_args {
	const char *router;
	const char *team;
	int from; /* revision, or -1 for the current settings */
	int to; /* revision, or -1 for the current settings */
	const char *file; /* compared with instead of "to"; may be NULL */
};

static int
run_diff(struct pb_cli *cli, const struct diff_args *args)
{
	struct pb_buf file = {NULL, 0, 0};
	json_t *old = NULL, *new = NULL;
	char old_name[120], new_name[120];
	struct pb_str text;
	int code;

	code = args->from >= 0
	    ? get_revision(cli, args->router, args->team, args->from, &old)
	    : get_current(cli, args->router, args->team, &old);
	if (code != PB_EXIT_OK)
		return code;
	snprintf(old_name, sizeof(old_name), "%s@%lld", args->team,
	    (long long)pb_json_int(old, "revision"));
	if (args->file != NULL) {
		if (!pb_read_file(cli, args->file, &file))
			code = PB_EXIT_USAGE;
		text = (struct pb_str){file.data, file.len};
		pb_copy_str(new_name, sizeof(new_name), args->file);
	} else {
		code = args->to >= 0
		    ? get_revision(
			  cli, args->router, args->team, args->to, &new)
		    : get_current(cli, args->router, args->team, &new);
		text = pb_str_from(pb_json_text(new, "text"));
		snprintf(new_name, sizeof(new_name), "%s@%lld", args->team,
		    (long long)pb_json_int(new, "revision"));
	}
	if (code == PB_EXIT_OK) {
		code = print_diff(cli, pb_str_from(pb_json_text(old, "text")),
		    text, old_name, new_name);
	}
	json_decref(old);
	json_decref(new);
	pb_clear_buf(&file);
	return code;
}

int
pb_run_diff(struct pb_cli *cli, int argc, char **argv)
{
	struct arg_str *team = arg_str1(
	    "t", "team", "TEAM", "team, or \"fleet\" for the fleet's document");
	struct arg_int *from = arg_int0(NULL, "from", "REVISION",
	    "revision to compare from; default: current settings");
	struct arg_int *to = arg_int0(NULL, "to", "REVISION",
	    "revision to compare with; default: current settings");
	struct arg_file *file = arg_file0(
	    NULL, NULL, "FILE", "file to compare with, instead of --to");
	struct arg_end *end = arg_end(10);
	struct pb_common_args common;
	struct diff_args args;
	int code;

	pb_init_common_args(&common, true);
	void *table[] = {
	    common.help, common.json, common.router, team, from, to, file, end};

	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Compares a team's settings with a file or with those of "
		"another revision, as a\nunified diff. Exits with 0 whether "
		"or not they differ.",
		&code)) {
		args.router = common.router->sval[0];
		args.team = team->sval[0];
		args.from = from->count > 0 ? from->ival[0] : -1;
		args.to = to->count > 0 ? to->ival[0] : -1;
		args.file = file->count > 0 ? file->filename[0] : NULL;
		code = run_diff(cli, &args);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
