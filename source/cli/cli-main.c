#include "cli.h"

#include <curl/curl.h>
#include <string.h>

struct command {
	const char *name;
	pb_command_fn *run;
	const char *about;
};

static const struct command commands[] = {
    {"validate", pb_run_validate, "check settings files"},
    {"apply", pb_run_apply, "store a team's settings as a new revision"},
    {"get", pb_run_get, "print a team's settings"},
    {"history", pb_run_history, "list the latest revisions"},
    {"diff", pb_run_diff,
	"compare a team's settings with a file or a revision"},
    {"rollback", pb_run_rollback, "store old settings as a new revision"},
    {"status", pb_run_status, "show a router's view of the fleet"},
    {"timeline", pb_run_timeline, "merge the events of all routers"},
    {"explain", pb_run_explain, "show how the routers handled one request"},
    {"trace", pb_run_trace, "show from logs how one request was handled"},
    {"drain", pb_run_drain, "stop a router gracefully"},
};

#define COMMANDS (sizeof(commands) / sizeof(commands[0]))

static void
print_usage(FILE *file)
{
	size_t i;

	fprintf(file, "Usage: poplarbeam COMMAND [OPTION]...\n\nCommands:\n");
	for (i = 0; i < COMMANDS; i++) {
		fprintf(
		    file, "  %-10s %s\n", commands[i].name, commands[i].about);
	}
	fprintf(file,
	    "\n\"poplarbeam COMMAND --help\" describes one command.\n\n"
	    "Exit codes: 0 success; 1 usage, or no such object; 2 invalid "
	    "settings;\n3 conflict with another change; 4 a router or the "
	    "table service is not\navailable; 5 not in force on all live "
	    "routers in time.\n");
}

int
pb_run_cli(struct pb_context *ctx, int argc, char **argv, FILE *out, FILE *err)
{
	struct pb_cli cli = {ctx, out, err, false};
	size_t i;
	int code;

	if (argc < 2) {
		print_usage(err);
		return PB_EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
		print_usage(out);
		return PB_EXIT_OK;
	}
	for (i = 0; i < COMMANDS; i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			break;
	}
	if (i == COMMANDS) {
		fprintf(err, "poplarbeam: unknown command \"%s\"\n", argv[1]);
		print_usage(err);
		return PB_EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = commands[i].run(&cli, argc - 1, argv + 1);
	curl_global_cleanup();
	fflush(out);
	return code;
}

void
pb_init_common_args(struct pb_common_args *common, bool router)
{
	common->help = arg_lit0("h", "help", "describe the command");
	common->json = arg_lit0(NULL, "json", "write JSON");
	common->router = router ? arg_str1("r", "router", "HOST:PORT",
				      "operator address of a router")
				: NULL;
}

bool
pb_parse_args(struct pb_cli *cli, const struct pb_common_args *common, int argc,
    char **argv, void **table, struct arg_end *end, const char *about,
    int *code)
{
	int error_count;

	*code = PB_EXIT_USAGE;
	if (arg_nullcheck(table) != 0) {
		fprintf(cli->err, "poplarbeam: not enough memory\n");
		return false;
	}
	error_count = arg_parse(argc, argv, table);
	if (common->help->count > 0) {
		fprintf(cli->out, "Usage: poplarbeam %s", argv[0]);
		arg_print_syntax(cli->out, table, "\n\n");
		fprintf(cli->out, "%s\n\n", about);
		arg_print_glossary(cli->out, table, "  %-26s %s\n");
		*code = PB_EXIT_OK;
		return false;
	}
	if (error_count > 0) {
		char name[64];

		snprintf(name, sizeof(name), "poplarbeam %s", argv[0]);
		arg_print_errors(cli->err, end, name);
		fprintf(cli->err, "Try \"%s --help\".\n", name);
		return false;
	}
	cli->json = common->json->count > 0;
	return true;
}
