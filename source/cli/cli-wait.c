#include "cli-change.h"

#include <stdlib.h>
#include <string.h>

#define POLL_US (50 * PB_MSEC)
#define POLL_TIMEOUT_US PB_SEC

/* True when each router answered with the revision or a newer one. */
static bool
have_all(struct pb_targets *targets, int64_t revision)
{
	size_t i;

	for (i = 0; i < targets->count; i++) {
		const struct pb_call *call = &targets->calls[i];

		if (call->status != 200 ||
		    pb_json_int(call->json, "revision") < revision)
			return false;
	}
	return targets->count > 0;
}

static void
ask_all(struct pb_cli *cli, struct pb_targets *targets)
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
print_behind(struct pb_cli *cli, struct pb_targets *targets, int64_t revision)
{
	size_t i;

	for (i = 0; i < targets->count; i++) {
		const struct pb_call *call = &targets->calls[i];
		int64_t has = pb_json_int(call->json, "revision");

		if (call->status == 200 && has >= revision)
			continue;
		fprintf(cli->err, "router %s: ", call->address);
		if (call->status == 0)
			fprintf(cli->err, "%s\n", call->error);
		else
			fprintf(cli->err, "revision %lld\n", (long long)has);
	}
}

/* The list of routers is read in each round: it changes while one waits. */
int
pb_wait_revision(struct pb_cli *cli, const char *router, int64_t revision,
    int64_t limit_us, size_t *count, int64_t *took_us)
{
	int64_t start = pb_now(cli->ctx);
	struct pb_targets targets;

	for (;;) {
		bool late,
		    listed = pb_list_targets(cli, router, true, &targets) ==
		    PB_EXIT_OK;

		if (listed)
			ask_all(cli, &targets);
		*took_us = pb_now(cli->ctx) - start;
		*count = targets.count;
		if (listed && have_all(&targets, revision)) {
			pb_clear_targets(&targets);
			return PB_EXIT_OK;
		}
		late = *took_us >= limit_us;
		if (late)
			print_behind(cli, &targets, revision);
		pb_clear_targets(&targets);
		if (late)
			break;
		cli->ctx->clock->ops->sleep(cli->ctx->clock, POLL_US);
	}
	fprintf(cli->err,
	    "poplarbeam: revision %lld is not in force on all live routers "
	    "after %.3f s\n",
	    (long long)revision, (double)*took_us / (double)PB_SEC);
	return PB_EXIT_TIMEOUT;
}
