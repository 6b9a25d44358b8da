#include "cli.h"

#include <string.h>

#define DRAIN_TIMEOUT_US (10 * PB_SEC)

static bool
is_true(const json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key));
}

static void
print_summary(struct pb_cli *cli, const json_t *status)
{
	fprintf(cli->out,
	    "instance %s: revision %lld, confirmed %lld ms ago, %s%s\n",
	    pb_json_text(status, "instance"),
	    (long long)pb_json_int(status, "revision"),
	    (long long)pb_json_int(status, "revision_confirmed_ms"),
	    is_true(status, "ready") ? "ready" : "not ready",
	    is_true(status, "leaving") ? ", leaving" : "");
}

static void
print_members(struct pb_cli *cli, const json_t *status)
{
	const json_t *item;
	size_t i;

	fprintf(cli->out, "\n%-20s %-22s %s\n", "ROUTER", "ADMIN", "HEALTH");
	json_array_foreach(json_object_get(status, "routers"), i, item)
	{
		fprintf(cli->out, "%-20s %-22s %s\n", pb_json_text(item, "id"),
		    pb_json_text(item, "admin"), pb_json_text(item, "health"));
	}
	fprintf(cli->out, "\n%-20s %-22s %-9s %s\n", "UPSTREAM", "SERVICE",
	    "HEALTH", "CELL");
	json_array_foreach(json_object_get(status, "upstreams"), i, item)
	{
		fprintf(cli->out, "%-20s %-22s %-9s %lld\n",
		    pb_json_text(item, "id"), pb_json_text(item, "service"),
		    pb_json_text(item, "health"),
		    (long long)pb_json_int(item, "cell"));
	}
}

static void
print_cells(struct pb_cli *cli, const json_t *status)
{
	const json_t *item;
	size_t i;

	fprintf(cli->out, "\n%-22s %4s %-20s %9s %7s %10s %8s %s\n", "SERVICE",
	    "CELL", "OWNER", "IN-FLIGHT", "QUEUED", "STARTED", "REFUSED",
	    "MAX/MEAN");
	json_array_foreach(json_object_get(status, "cells"), i, item)
	{
		fprintf(cli->out,
		    "%-22s %4lld %-20s %9lld %7lld %10lld %8lld %8.3f\n",
		    pb_json_text(item, "service"),
		    (long long)pb_json_int(item, "cell"),
		    pb_json_text(item, "owner"),
		    (long long)pb_json_int(item, "in_flight"),
		    (long long)pb_json_int(item, "queued"),
		    (long long)pb_json_int(item, "started"),
		    (long long)pb_json_int(item, "refused"),
		    json_number_value(json_object_get(item, "max_over_mean")));
	}
}

int
pb_run_status(struct pb_cli *cli, int argc, char **argv)
{
	struct arg_end *end = arg_end(10);
	struct pb_common_args common;
	json_t *status = NULL;
	int code;

	pb_init_common_args(&common, true);
	void *table[] = {common.help, common.json, common.router, end};

	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Shows a router's state and its view of routers, upstreams and "
		"cells.",
		&code)) {
		code = pb_get_json(
		    cli, common.router->sval[0], "/admin/v1/status", &status);
		if (code == PB_EXIT_OK && cli->json) {
			pb_print_json(cli, status);
		} else if (code == PB_EXIT_OK) {
			print_summary(cli, status);
			print_members(cli, status);
			print_cells(cli, status);
		}
	}
	json_decref(status);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

int
pb_run_drain(struct pb_cli *cli, int argc, char **argv)
{
	struct arg_end *end = arg_end(10);
	struct pb_common_args common;
	struct pb_cli_call call;
	int code;

	pb_init_common_args(&common, true);
	void *table[] = {common.help, common.json, common.router, end};

	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Asks a router to stop: it takes no new work, finishes the "
		"requests in progress\nand ends. Returns at once.",
		&code)) {
		pb_init_call(&call, common.router->sval[0], "POST",
		    pb_str_from("{}"), "/admin/v1/drain");
		pb_make_calls(cli, &call, 1, DRAIN_TIMEOUT_US);
		/* A response with status 200 needs no JSON body. */
		code = PB_EXIT_OK;
		if (call.status != 200)
			code = pb_check_call(cli, &call);
		else if (cli->json)
			fprintf(cli->out, "{\n  \"draining\": true\n}\n");
		else
			fprintf(cli->out, "router %s is draining\n",
			    common.router->sval[0]);
		pb_clear_call(&call);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
