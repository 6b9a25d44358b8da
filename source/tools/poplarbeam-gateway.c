/*
 * The router for a platform whose store holds the configuration and the list
 * of instances.
 */
#include "platform-adapter.h"
#include "poplarbeam/gateway.h"

#include <argtable2.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define SETTINGS_VARIABLE "POPLARBEAM_BOOT"

static int
run(const char *path, bool check_only)
{
	struct pb_log *log = pb_new_log(stdout, PB_INFO, "gateway");
	struct pb_context *ctx = pb_new_context(pb_system_clock(), log);
	struct pb_gateway_settings settings;
	struct pb_gateway *gw = NULL;
	int rc = 1;

	if (ctx == NULL)
		goto out;
	if (pb_load_gateway_settings(ctx, path, &settings) != PB_OK) {
		pb_log_error(ctx, PB_ERROR, NULL);
		goto out;
	}
	if (check_only) {
		rc = 0;
		goto out;
	}
	pb_drop_log(log);
	log = pb_new_log(
	    stdout, pb_parse_log_level(settings.log_level), settings.instance);
	ctx->log = log;
	pb_limit_log(log, (int)settings.log_lines_per_s);
	gw = pb_new_gateway(ctx, &settings, path, pb_platform_adapter());
	if (gw == NULL || pb_run_gateway(gw) != PB_OK)
		pb_log_error(ctx, PB_ERROR, NULL);
	else
		rc = 0;
out:
	pb_drop_gateway(gw);
	pb_drop_context(ctx);
	pb_drop_log(log);
	return rc;
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this text");
	struct arg_lit *check =
	    arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_file *file = arg_file0(NULL, NULL, "FILE",
	    "settings file; defaults to the file that " SETTINGS_VARIABLE
	    " names");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, check, file, end};
	const char *path = getenv(SETTINGS_VARIABLE);
	int errors = arg_parse(argc, argv, table);
	int rc = 2;

	if (file->count > 0)
		path = file->filename[0];
	if (help->count > 0) {
		printf("usage: poplarbeam-gateway");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-16s %s\n");
		rc = 0;
	} else if (errors > 0 || path == NULL) {
		arg_print_errors(stderr, end, "poplarbeam-gateway");
		fprintf(stderr, "usage: poplarbeam-gateway");
		arg_print_syntax(stderr, table, "\n");
	} else {
		signal(SIGPIPE, SIG_IGN);
		rc = run(path, check->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
