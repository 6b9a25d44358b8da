#include "cli.h"

#include "poplarbeam/settings.h"

#include <stdlib.h>
#include <string.h>

/*
 * Returns the team's name from "dir/TEAM.yaml", empty for the fleet's document.
 * The caller frees it.
 */
static char *
team_of_file(const char *file)
{
	const char *base = strrchr(file, '/');
	char *team = strdup(base != NULL ? base + 1 : file), *dot;

	if (team == NULL)
		return NULL;
	dot = strrchr(team, '.');
	if (dot != NULL &&
	    (strcmp(dot, ".yaml") == 0 || strcmp(dot, ".yml") == 0))
		*dot = '\0';
	if (strcmp(team, PB_FLEET_TEAM) == 0)
		*team = '\0';
	return team;
}

static void
print_report(struct pb_cli *cli, const struct pb_settings_report *report)
{
	fputs(report->lines.data != NULL ? report->lines.data : "", cli->err);
	fprintf(cli->err, "%d fault%s\n", report->count,
	    report->count == 1 ? "" : "s");
}

static void
print_json_report(struct pb_cli *cli, const struct pb_settings_report *report)
{
	const char *p = report->lines.data, *end;
	json_t *lines = json_array(), *object;

	for (; p != NULL && (end = strchr(p, '\n')) != NULL; p = end + 1)
		json_array_append_new(
		    lines, json_stringn(p, (size_t)(end - p)));
	object = json_pack("{s:b,s:i,s:o}", "valid", report->count == 0,
	    "faults", report->count, "lines", lines);
	pb_print_json(cli, object);
	json_decref(object);
}

static int
validate(struct pb_cli *cli, struct pb_settings_text *texts, size_t count)
{
	struct pb_settings_report report = {.count = 0};
	struct pb_settings *s =
	    pb_parse_settings(cli->ctx, texts, count, 0, &report);
	int code = s != NULL ? PB_EXIT_OK : PB_EXIT_INVALID;

	if (cli->json) {
		print_json_report(cli, &report);
	} else if (s == NULL) {
		print_report(cli, &report);
	} else {
		fprintf(cli->out,
		    "valid: %d ranks, %d services, %d client accounts\n",
		    s->rank_count, s->service_count, s->account_count);
	}
	pb_drop_settings(cli->ctx, s);
	pb_clear_settings_report(&report);
	return code;
}

static int
validate_files(struct pb_cli *cli, const char **names, size_t count)
{
	struct pb_settings_text *texts = calloc(count, sizeof(*texts));
	struct pb_buf *bufs = calloc(count, sizeof(*bufs));
	int code = PB_EXIT_USAGE;
	size_t i;

	if (texts == NULL || bufs == NULL)
		goto out;
	for (i = 0; i < count; i++) {
		texts[i].name = names[i];
		texts[i].team = team_of_file(names[i]);
		if (texts[i].team == NULL ||
		    !pb_read_file(cli, names[i], &bufs[i]))
			goto out;
		texts[i].text = (struct pb_str){bufs[i].data, bufs[i].len};
	}
	code = validate(cli, texts, count);
out:
	for (i = 0; i < count; i++) {
		if (texts != NULL)
			free((char *)texts[i].team);
		if (bufs != NULL)
			pb_clear_buf(&bufs[i]);
	}
	free(texts);
	free(bufs);
	return code;
}

int
pb_run_validate(struct pb_cli *cli, int argc, char **argv)
{
	struct pb_common_args common;
	struct arg_file *files =
	    arg_filen(NULL, NULL, "FILE", 1, 1000, "YAML documents");
	struct arg_end *end = arg_end(10);
	void *table[4];
	int code;

	pb_init_common_args(&common, false);
	table[0] = common.help;
	table[1] = common.json;
	table[2] = files;
	table[3] = end;
	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Checks settings files together. fleet.yaml is the fleet's "
		"document, any other\nTEAM.yaml that of a team. Exits with 2 "
		"when a check failed.",
		&code)) {
		code =
		    validate_files(cli, files->filename, (size_t)files->count);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
