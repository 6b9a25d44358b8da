#include "cli-change.h"

#include <stdlib.h>
#include <string.h>

#define POLL_US (50 * PB_MSEC)
#define POLL_TIMEOUT_US PB_SEC

/* Returns true if each router reported the revision or a newer one. */
static bool
all_have_revision(struct pb_targets *targets, int64_t revision)
{
	size_t i;

	for (i = 0; i < targets->count; i++) {
		const struct pb_cli_call *call = &targets->calls[i];

		if (call->status != 200 ||
		    pb_json_int(call->json, "revision") < revision)
			return false;
	}
	return targets->count > 0;
}

static void
poll_routers(struct pb_cli *cli, struct pb_targets *targets)
{
	size_t i;

	for (i = 0; i < targets->count; i++) {
		char address[sizeof(targets->calls[i].address)];

		pb_copy_str(
		    address, sizeof(address), targets->calls[i].address);
		pb_init_call(&targets->calls[i], address, "GET", PB_STR_NONE,
		    "/admin/v1/status");
	}
	pb_make_calls(cli, targets->calls, targets->count, POLL_TIMEOUT_US);
}

static void
print_lagging(struct pb_cli *cli, struct pb_targets *targets, int64_t revision)
{
	size_t i;

	for (i = 0; i < targets->count; i++) {
		const struct pb_cli_call *call = &targets->calls[i];
		int64_t reported = pb_json_int(call->json, "revision");

		if (call->status == 200 && reported >= revision)
			continue;
		fprintf(cli->err, "router %s: ", call->address);
		if (call->status == 0)
			fprintf(cli->err, "%s\n", call->error);
		else
			fprintf(
			    cli->err, "revision %lld\n", (long long)reported);
	}
}

/* Reads the list of routers in each round: routers may join or leave. */
int
pb_wait_revision(struct pb_cli *cli, const char *router, int64_t revision,
    int64_t limit_us, size_t *count, int64_t *elapsed_us)
{
	int64_t start = pb_now(cli->ctx);
	struct pb_targets targets;

	for (;;) {
		bool timed_out,
		    listed = pb_list_targets(cli, router, true, &targets) ==
		    PB_EXIT_OK;

		if (listed)
			poll_routers(cli, &targets);
		*elapsed_us = pb_now(cli->ctx) - start;
		*count = targets.count;
		if (listed && all_have_revision(&targets, revision)) {
			pb_clear_targets(&targets);
			return PB_EXIT_OK;
		}
		timed_out = *elapsed_us >= limit_us;
		if (timed_out)
			print_lagging(cli, &targets, revision);
		pb_clear_targets(&targets);
		if (timed_out)
			break;
		cli->ctx->clock->ops->sleep(cli->ctx->clock, POLL_US);
	}
	fprintf(cli->err,
	    "poplarbeam: revision %lld is not in force on all live routers "
	    "after %.3f s\n",
	    (long long)revision, (double)*elapsed_us / (double)PB_SEC);
	return PB_EXIT_TIMEOUT;
}
