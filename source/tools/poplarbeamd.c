/* The router daemon. */
#include "poplarbeam/router.h"

#include <argtable2.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DRAIN_POLL_SEC 1 /* interval of checks for a drain request */

/* Blocks until a signal arrives or an operator requests a drain. */
static void
wait_for_stop(const sigset_t *set, const struct pb_router *router)
{
	struct timespec limit = {DRAIN_POLL_SEC, 0};

	while (!pb_drain_requested(router)) {
		if (sigtimedwait(set, NULL, &limit) > 0)
			return;
	}
}

static int
run(struct pb_context *ctx, const struct pb_boot_config *boot)
{
	struct pb_router *router;
	int64_t unfinished_count;
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	router = pb_new_router(ctx, boot);
	if (router == NULL) {
		pb_log_error(ctx, PB_ERROR, NULL);
		return 1;
	}
	wait_for_stop(&set, router);
	unfinished_count = pb_drain_router(ctx, router);
	if (unfinished_count > 0) {
		/*
		 * Requests still running after the drain deadline use the
		 * router's memory, so the process exits without freeing it.
		 */
		_Exit(2);
	}
	pb_drop_router(ctx, router);
	return 0;
}

int
main(int argc, char **argv)
{
	struct arg_file *file = arg_file1(
	    NULL, NULL, "FILE", "process settings (instance, addresses), YAML");
	struct arg_lit *help = arg_lit0("h", "help", "show this text");
	struct arg_end *end = arg_end(4);
	void *table[] = {file, help, end};
	struct pb_context *ctx = pb_new_context(pb_system_clock(), NULL);
	struct pb_boot_config boot;
	int rc = 1;

	if (arg_parse(argc, argv, table) > 0 || help->count > 0) {
		printf("usage: poplarbeamd FILE\n");
		arg_print_glossary(stdout, table, "  %-12s %s\n");
		rc = help->count > 0 ? 0 : 1;
		goto done;
	}
	if (pb_load_boot_config(ctx, file->filename[0], &boot) != PB_OK) {
		fprintf(stderr, "poplarbeamd: %s\n", ctx->error.text);
		goto done;
	}
	ctx->log = pb_new_log(
	    stderr, pb_parse_log_level(boot.log_level), boot.instance);
	rc = run(ctx, &boot);
	pb_drop_log(ctx->log);
done:
	pb_drop_context(ctx);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
