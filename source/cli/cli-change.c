#include "cli-change.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

/* Longer than a router's own limit for one change, see router-admin.c. */
#define APPLY_TIMEOUT_US (15 * PB_SEC)
#define APPLY_TRIES 4
#define RETRY_DELAY_US (500 * PB_MSEC)
#define WAIT_DEFAULT_SEC 30

void
pb_init_change_args(struct pb_change_args *args)
{
	args->team = arg_str1(
	    "t", "team", "TEAM", "team, or \"fleet\" for the fleet's document");
	args->expect = arg_int1("e", "expect", "REVISION",
	    "revision that the change is based on; 0: new team");
	args->author = arg_str0(
	    NULL, "author", "NAME", "author of the change; default: $USER");
	args->id = arg_str0(NULL, "change", "ID",
	    "change id, to repeat a change of unknown outcome");
	args->wait = arg_lit0(
	    "w", "wait", "wait until all live routers have the revision");
	args->wait_sec = arg_int0(
	    NULL, "wait-seconds", "N", "longest wait in seconds, default 30");
}

/* Uses 128 random bits so that the ids of different operators never collide. */
static void
make_change_id(char *dst, size_t cap)
{
	uint64_t bits[2] = {0, 0};

	if (getrandom(bits, sizeof(bits), 0) != (ssize_t)sizeof(bits))
		abort();
	snprintf(dst, cap, "%016llx%016llx", (unsigned long long)bits[0],
	    (unsigned long long)bits[1]);
}

void
pb_fill_change(struct pb_cli_change *change, const struct pb_change_args *args,
    char *id, size_t id_cap)
{
	const char *user = getenv("USER");

	make_change_id(id, id_cap);
	change->team = args->team->sval[0];
	change->expect = args->expect->ival[0];
	change->author = user != NULL && *user != '\0' ? user : "unknown";
	if (args->author->count > 0)
		change->author = args->author->sval[0];
	change->id = args->id->count > 0 ? args->id->sval[0] : id;
	change->wait = args->wait->count > 0;
	change->wait_us = WAIT_DEFAULT_SEC * PB_SEC;
	if (args->wait_sec->count > 0)
		change->wait_us = args->wait_sec->ival[0] * PB_SEC;
}

static void
print_conflict(struct pb_cli *cli, const json_t *response)
{
	const json_t *winner =
	    json_object_get(json_object_get(response, "error"), "winner");

	if (winner == NULL)
		return;
	fprintf(cli->err,
	    "revision %lld of team \"%s\" by \"%s\" was first; read it with "
	    "\"poplarbeam get\" and repeat the change on it\n",
	    (long long)pb_json_int(winner, "revision"),
	    pb_json_text(winner, "team"), pb_json_text(winner, "author"));
}

static bool
should_retry(const struct pb_cli_call *call)
{
	return call->status == 0 || call->status == 503;
}

/*
 * Posts the change, in at most APPLY_TRIES attempts with the same change id.
 * Retries while the router does not respond or responds with 503.
 */
static int
post_change(
    struct pb_cli *cli, const struct pb_cli_change *change, int64_t *revision)
{
	json_t *object = json_pack("{s:s,s:I,s:s%,s:s,s:s}", "team",
	    change->team, "expect", (json_int_t)change->expect, "text",
	    change->text.data != NULL ? change->text.data : "",
	    change->text.len, "author", change->author, "change", change->id);
	char *body = object != NULL ? json_dumps(object, JSON_COMPACT) : NULL;
	struct pb_cli_call call;
	int tries, code = PB_EXIT_USAGE;

	json_decref(object);
	if (body == NULL) {
		fprintf(cli->err,
		    "poplarbeam: the settings or the author are "
		    "not valid UTF-8\n");
		return PB_EXIT_USAGE;
	}
	for (tries = 1;; tries++) {
		pb_init_call(&call, change->router, "POST", pb_str_from(body),
		    "/admin/v1/apply");
		pb_make_calls(cli, &call, 1, APPLY_TIMEOUT_US);
		if (!should_retry(&call) || tries == APPLY_TRIES)
			break;
		pb_clear_call(&call);
		cli->ctx->clock->ops->sleep(cli->ctx->clock, RETRY_DELAY_US);
	}
	code = pb_check_call(cli, &call);
	*revision = pb_json_int(call.json, "revision");
	if (code == PB_EXIT_CONFLICT && !cli->json)
		print_conflict(cli, call.json);
	if (code == PB_EXIT_UNAVAILABLE) {
		fprintf(cli->err,
		    "the change may or may not have been stored; repeat "
		    "the command with "
		    "\"--change %s\"\n",
		    change->id);
	}
	pb_clear_call(&call);
	free(body);
	return code;
}

static void
print_change(struct pb_cli *cli, const struct pb_cli_change *change,
    int64_t revision, size_t routers, int64_t elapsed_us, bool in_force)
{
	json_t *object;

	if (!cli->json) {
		fprintf(
		    cli->out, "revision %lld stored\n", (long long)revision);
		if (in_force) {
			fprintf(cli->out,
			    "in force on %zu router%s after %.3f s\n", routers,
			    routers == 1 ? "" : "s",
			    (double)elapsed_us / (double)PB_SEC);
		}
		return;
	}
	object = json_pack("{s:I,s:s}", "revision", (json_int_t)revision,
	    "change", change->id);
	if (change->wait) {
		json_object_set_new(object, "in_force", json_boolean(in_force));
		json_object_set_new(
		    object, "routers", json_integer((json_int_t)routers));
		json_object_set_new(
		    object, "wait_us", json_integer(elapsed_us));
	}
	pb_print_json(cli, object);
	json_decref(object);
}

int
pb_send_change(struct pb_cli *cli, const struct pb_cli_change *change)
{
	int64_t revision = 0, elapsed_us = 0;
	size_t routers = 0;
	int code = post_change(cli, change, &revision);

	if (code != PB_EXIT_OK)
		return code;
	if (change->wait) {
		code = pb_wait_revision(cli, change->router, revision,
		    change->wait_us, &routers, &elapsed_us);
	}
	print_change(cli, change, revision, routers, elapsed_us,
	    change->wait && code == PB_EXIT_OK);
	return code;
}
