#include "cli.h"

#include <stdlib.h>
#include <string.h>

/*
 * Finds what happened to a request in collected log files: its own lines, and
 * what its routers came to believe meanwhile about the configuration, the
 * store and the upstreams that it was sent to.
 */

/* Beliefs that are this much older than the request are shown too. */
#define LEAD_S 10
#define PEERS_MAX 16
#define ROUTERS_MAX 8

struct line {
	json_t *json;
	double time; /* seconds since 1970 */
	bool own; /* about the request itself */
};

struct trace {
	struct line *lines;
	size_t count;
	size_t cap;
	const char *peers[PEERS_MAX]; /* upstreams of the request */
	size_t peer_count;
	const char *routers[ROUTERS_MAX]; /* that had the request */
	size_t router_count;
	double first;
	double last;
};

static double
read_time(const char *text)
{
	struct tm tm = {0};
	const char *end = strptime(text, "%Y-%m-%dT%H:%M:%S", &tm);

	if (end == NULL)
		return 0;
	return (double)timegm(&tm) + (*end == '.' ? strtod(end, NULL) : 0);
}

static void
note_name(const char **names, size_t *count, size_t max, const char *name)
{
	size_t i;

	if (*name == '\0' || *count == max)
		return;
	for (i = 0; i < *count; i++) {
		if (strcmp(names[i], name) == 0)
			return;
	}
	names[(*count)++] = name;
}

static bool
has_name(const char *const *names, size_t count, const char *name)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return true;
	}
	return false;
}

/* A collector may have put something before the object. */
static bool
read_line(struct trace *t, char *text, const char *request)
{
	char *start = strchr(text, '{');
	json_t *json = start != NULL ? json_loads(start, 0, NULL) : NULL;
	struct line *l;

	if (json == NULL)
		return true;
	if (t->count == t->cap) {
		size_t cap = t->cap == 0 ? 1024 : t->cap * 2;
		struct line *p = realloc(t->lines, cap * sizeof(*p));

		if (p == NULL) {
			json_decref(json);
			return false;
		}
		t->lines = p;
		t->cap = cap;
	}
	l = &t->lines[t->count++];
	l->json = json;
	l->time = read_time(pb_json_text(json, "time"));
	l->own = strcmp(pb_json_text(json, "request"), request) == 0;
	if (!l->own)
		return true;
	if (t->router_count == 0 || l->time < t->first)
		t->first = l->time;
	if (l->time > t->last)
		t->last = l->time;
	note_name(
	    t->peers, &t->peer_count, PEERS_MAX, pb_json_text(json, "peer"));
	note_name(t->routers, &t->router_count, ROUTERS_MAX,
	    pb_json_text(json, "instance"));
	return true;
}

static bool
read_log(
    struct pb_cli *cli, struct trace *t, const char *name, const char *request)
{
	struct pb_buf buf = {0};
	char *line, *rest;
	bool ok = pb_read_file(cli, name, &buf);

	for (line = ok ? strtok_r(buf.data, "\n", &rest) : NULL;
	     line != NULL && ok; line = strtok_r(NULL, "\n", &rest))
		ok = read_line(t, line, request);
	pb_clear_buf(&buf);
	return ok;
}

/* True if the line tells what a router of the request believed then. */
static bool
is_belief(const struct trace *t, const struct line *l)
{
	static const char *const steps[] = {"configuration", "watch store",
	    "follow router", "readiness", "start", "stop", "reload"};
	const char *step = pb_json_text(l->json, "step");
	const char *text = pb_json_text(l->json, "text");
	size_t i;

	if (!has_name(t->routers, t->router_count,
		pb_json_text(l->json, "instance")) ||
	    *pb_json_text(l->json, "request") != '\0' ||
	    l->time < t->first - LEAD_S || l->time > t->last)
		return false;
	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		if (strcmp(step, steps[i]) == 0)
			return true;
	}
	for (i = 0; i < t->peer_count; i++) {
		if (strstr(text, t->peers[i]) != NULL)
			return true;
	}
	return false;
}

static int
compare_lines(const void *a, const void *b)
{
	const struct line *x = a, *y = b;

	return x->time < y->time ? -1 : x->time > y->time;
}

static void
print_trace(struct pb_cli *cli, struct trace *t, const char *request)
{
	const struct line *end = NULL;
	size_t i;

	qsort(t->lines, t->count, sizeof(t->lines[0]), compare_lines);
	for (i = 0; i < t->count; i++) {
		const struct line *l = &t->lines[i];
		const char *peer = pb_json_text(l->json, "peer");

		if (!l->own && !is_belief(t, l))
			continue;
		if (l->own)
			end = l;
		fprintf(cli->out, "%+9.3f s  %s  %s%s%s: %s%s\n",
		    l->time - t->first, pb_json_text(l->json, "instance"),
		    pb_json_text(l->json, "step"), *peer != '\0' ? " " : "",
		    peer, l->own ? "" : "(router) ",
		    pb_json_text(l->json, "text"));
	}
	if (end != NULL)
		fprintf(cli->out, "request %s ended: %s\n", request,
		    pb_json_text(end->json, "text"));
}

int
pb_run_trace(struct pb_cli *cli, int argc, char **argv)
{
	struct arg_str *request =
	    arg_str1(NULL, NULL, "REQUEST", "id of the request");
	struct arg_file *files =
	    arg_filen(NULL, NULL, "FILE", 1, 1000, "log files of routers");
	struct arg_end *end = arg_end(10);
	struct pb_common_args common;
	struct trace t = {0};
	size_t i;
	int n, code;

	pb_init_common_args(&common, false);
	void *table[] = {common.help, common.json, request, files, end};

	if (pb_parse_args(cli, &common, argc, argv, table, end,
		"Tells from collected logs what happened to a request: its "
		"attempts, and what its\nrouters came to believe meanwhile. "
		"Exits with 1 when no line is about it.",
		&code)) {
		code = PB_EXIT_OK;
		for (n = 0; n < files->count && code == PB_EXIT_OK; n++) {
			if (!read_log(
				cli, &t, files->filename[n], request->sval[0]))
				code = PB_EXIT_USAGE;
		}
		if (code == PB_EXIT_OK && t.router_count == 0) {
			fprintf(cli->err,
			    "poplarbeam: no line is about request \"%s\"\n",
			    request->sval[0]);
			code = PB_EXIT_USAGE;
		} else if (code == PB_EXIT_OK) {
			print_trace(cli, &t, request->sval[0]);
		}
	}
	for (i = 0; i < t.count; i++)
		json_decref(t.lines[i].json);
	free(t.lines);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
