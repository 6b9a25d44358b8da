#include "cli.h"

#include <stdlib.h>
#include <string.h>

#define EVENTS_TIMEOUT_US (5 * PB_SEC)
#define NAMES_MAX 64 /* routers or upstreams listed by "explain" */

struct filter {
	const char *request;
	const char *chat;
	const char *upstream;
};

/* Events of one router, in the order of their sequence numbers. */
struct router_events {
	const char *instance;
	const json_t *events;
	size_t next; /* index of the next event to merge */
};

struct timeline {
	struct pb_targets targets;
	json_t *events; /* of all routers; each with "instance" added */
	size_t failed; /* routers that did not respond */
};

/*
 * Merges by wall clock time, but keeps the events of each router in the order
 * of their sequence numbers because wall clocks differ and may be set back.
 */
static json_t *
merge_events(struct router_events *routers, size_t count)
{
	json_t *merged = json_array(), *event;
	struct router_events *best;
	size_t i;

	do {
		int64_t first = 0;

		best = NULL;
		for (i = 0; i < count; i++) {
			const json_t *head =
			    json_array_get(routers[i].events, routers[i].next);
			int64_t wall = pb_json_int(head, "wall_us");

			if (head != NULL && (best == NULL || wall < first)) {
				best = &routers[i];
				first = wall;
			}
		}
		if (best == NULL)
			break;
		event = json_copy(json_array_get(best->events, best->next++));
		json_object_set_new(
		    event, "instance", json_string(best->instance));
		json_array_append_new(merged, event);
	} while (best != NULL);
	return merged;
}

static void
fetch_router_events(
    struct pb_cli *cli, struct timeline *t, const struct filter *f)
{
	char request[200], chat[200], upstream[200];
	size_t i;

	pb_escape_query(request, sizeof(request), f->request);
	pb_escape_query(chat, sizeof(chat), f->chat);
	pb_escape_query(upstream, sizeof(upstream), f->upstream);
	for (i = 0; i < t->targets.count; i++) {
		struct pb_cli_call *call = &t->targets.calls[i];
		char address[sizeof(call->address)];

		pb_copy_str(address, sizeof(address), call->address);
		pb_init_call(call, address, "GET", PB_STR_NONE,
		    "/admin/v1/events?request=%s&chat=%s&upstream=%s&after=0",
		    request, chat, upstream);
	}
	pb_make_calls(
	    cli, t->targets.calls, t->targets.count, EVENTS_TIMEOUT_US);
}

static void
clear_timeline(struct timeline *t)
{
	json_decref(t->events);
	pb_clear_targets(&t->targets);
}

static int
read_timeline(struct pb_cli *cli, const char *router, const struct filter *f,
    struct timeline *t)
{
	struct router_events *routers;
	size_t i, n = 0;
	int code;

	memset(t, 0, sizeof(*t));
	code = pb_list_targets(cli, router, false, &t->targets);
	if (code != PB_EXIT_OK)
		return code;
	fetch_router_events(cli, t, f);
	routers = calloc(t->targets.count + 1, sizeof(*routers));
	if (routers == NULL)
		return PB_EXIT_UNAVAILABLE;
	for (i = 0; i < t->targets.count; i++) {
		const struct pb_cli_call *call = &t->targets.calls[i];

		if (call->status != 200) {
			fprintf(cli->err,
			    "warning: no events from router %s: %s\n",
			    call->address,
			    call->status != 0 ? "unexpected status"
					      : call->error);
			t->failed++;
			continue;
		}
		routers[n].instance = pb_json_text(call->json, "instance");
		routers[n++].events = json_object_get(call->json, "events");
	}
	t->events = merge_events(routers, n);
	free(routers);
	return n > 0 ? PB_EXIT_OK : PB_EXIT_UNAVAILABLE;
}

static void
print_events(struct pb_cli *cli, const json_t *events)
{
	const json_t *event;
	char wall[48];
	size_t i;

	json_array_foreach(events, i, event)
	{
		pb_format_wall_time(
		    wall, sizeof(wall), pb_json_int(event, "wall_us"));
		fprintf(cli->out, "%-27s %-14s %-14s %-20s %-18s %s\n", wall,
		    pb_json_text(event, "instance"),
		    pb_json_text(event, "step"), pb_json_text(event, "request"),
		    pb_json_text(event, "upstream"),
		    pb_json_text(event, "detail"));
	}
}

static void
print_json_timeline(struct pb_cli *cli, const struct timeline *t)
{
	json_t *object = json_pack("{s:i,s:i,s:O}", "routers",
	    (int)(t->targets.count - t->failed), "unanswered", (int)t->failed,
	    "events", t->events);

	pb_print_json(cli, object);
	json_decref(object);
}

int
pb_run_timeline(struct pb_cli *cli, int argc, char **argv)
{
	struct arg_str *request =
	    arg_str0(NULL, "request", "ID", "only events of this request");
	struct arg_str *chat =
	    arg_str0(NULL, "chat", "HASH", "only events of this chat");
	struct arg_str *upstream =
	    arg_str0(NULL, "upstream", "ID", "only events about this instance");
	struct arg_end *end = arg_end(10);
	struct pb_common_args common;
	struct timeline t;
	int code;

	pb_init_common_args(&common, true);
	void *table[] = {common.help, common.json, common.router, request, chat,
	    upstream, end};

	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Merges the events of all routers that the given one knows "
		"into one time line.\nRouters that do not answer are named on "
		"the standard error output.",
		&code)) {
		struct filter f = {request->count > 0 ? request->sval[0] : "",
		    chat->count > 0 ? chat->sval[0] : "",
		    upstream->count > 0 ? upstream->sval[0] : ""};

		code = read_timeline(cli, common.router->sval[0], &f, &t);
		if (code == PB_EXIT_OK && cli->json)
			print_json_timeline(cli, &t);
		else if (code == PB_EXIT_OK)
			print_events(cli, t.events);
		clear_timeline(&t);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

/* Distinct values of one member of the events, in order of first appearance. */
struct names {
	const char *name[NAMES_MAX];
	size_t count;
};

static void
collect_names(const json_t *events, const char *key, struct names *names)
{
	const json_t *event;
	size_t i, j;

	names->count = 0;
	json_array_foreach(events, i, event)
	{
		const char *name = pb_json_text(event, key);

		for (j = 0; j < names->count; j++) {
			if (strcmp(names->name[j], name) == 0)
				break;
		}
		if (j == names->count && j < NAMES_MAX && *name != '\0')
			names->name[names->count++] = name;
	}
}

static void
print_names(struct pb_cli *cli, const char *label, const struct names *names)
{
	size_t i;

	fprintf(cli->out, "%s:", label);
	for (i = 0; i < names->count; i++)
		fprintf(cli->out, "%s %s", i > 0 ? "," : "", names->name[i]);
	fprintf(cli->out, "%s\n", names->count == 0 ? " none" : "");
}

/* Returns the index of the event after the longest pause, or 0 if there is
 * none. */
static size_t
find_longest_pause(const json_t *events, int64_t *pause)
{
	const json_t *event;
	int64_t previous = 0;
	size_t i, at = 0;

	*pause = 0;
	json_array_foreach(events, i, event)
	{
		int64_t wall = pb_json_int(event, "wall_us");

		if (i > 0 && wall - previous > *pause) {
			*pause = wall - previous;
			at = i;
		}
		previous = wall;
	}
	return at;
}

static double
msec(int64_t us)
{
	return (double)us / (double)PB_MSEC;
}

static void
print_steps(struct pb_cli *cli, const json_t *events, int64_t start)
{
	const json_t *event;
	size_t i;

	json_array_foreach(events, i, event)
	{
		const char *upstream = pb_json_text(event, "upstream");

		fprintf(cli->out, "%+12.3f ms  %s: %s%s%s%s%s\n",
		    msec(pb_json_int(event, "wall_us") - start),
		    pb_json_text(event, "instance"),
		    pb_json_text(event, "step"),
		    *upstream != '\0' ? " on " : "", upstream,
		    *pb_json_text(event, "detail") != '\0' ? ": " : "",
		    pb_json_text(event, "detail"));
	}
}

static void
print_explanation(struct pb_cli *cli, const char *request, json_t *events)
{
	const json_t *first = json_array_get(events, 0);
	const json_t *last =
	    json_array_get(events, json_array_size(events) - 1);
	int64_t start = pb_json_int(first, "wall_us"), pause;
	struct names names;
	char wall[48];
	size_t at;

	pb_format_wall_time(wall, sizeof(wall), start);
	fprintf(cli->out, "request %s: %zu events from %s\n", request,
	    json_array_size(events), wall);
	collect_names(events, "instance", &names);
	print_names(cli, "routers", &names);
	collect_names(events, "upstream", &names);
	print_names(cli, "upstreams", &names);
	fprintf(cli->out, "last step: %s at %s after %.3f ms\n",
	    pb_json_text(last, "step"), pb_json_text(last, "instance"),
	    msec(pb_json_int(last, "wall_us") - start));
	at = find_longest_pause(events, &pause);
	if (at > 0) {
		fprintf(cli->out, "longest pause: %.3f ms between %s and %s\n",
		    msec(pause),
		    pb_json_text(json_array_get(events, at - 1), "step"),
		    pb_json_text(json_array_get(events, at), "step"));
	}
	print_steps(cli, events, start);
}

static int
explain(struct pb_cli *cli, const char *router, const char *request)
{
	struct filter f = {request, "", ""};
	struct timeline t;
	int code = read_timeline(cli, router, &f, &t);

	if (code == PB_EXIT_OK && json_array_size(t.events) == 0) {
		fprintf(cli->err,
		    "poplarbeam: no router has events of request \"%s\"\n",
		    request);
		code = PB_EXIT_USAGE;
	} else if (code == PB_EXIT_OK && cli->json) {
		print_json_timeline(cli, &t);
	} else if (code == PB_EXIT_OK) {
		print_explanation(cli, request, t.events);
	}
	clear_timeline(&t);
	return code;
}

int
pb_run_explain(struct pb_cli *cli, int argc, char **argv)
{
	struct arg_str *request =
	    arg_str1(NULL, NULL, "REQUEST", "request id, as in X-Request-Id");
	struct arg_end *end = arg_end(10);
	struct pb_common_args common;
	int code;

	pb_init_common_args(&common, true);
	void *table[] = {common.help, common.json, common.router, request, end};

	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Shows which routers and upstreams handled a request, how it "
		"ended and the\ntime of each step. Exits with 1 when no router "
		"has events of it.",
		&code)) {
		code = explain(cli, common.router->sval[0], request->sval[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
