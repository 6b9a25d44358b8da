#include "cli.h"

#include <stdlib.h>
#include <string.h>

/*
 * Shows from collected log files how a request was handled: the log lines of
 * the request and, from that time, those of its routers about their state,
 * their configuration, the store and the upstreams of the request.
 */

/* Router lines logged up to this long before the request are shown too. */
#define LEAD_SEC 10
#define PEERS_MAX 16
#define ROUTERS_MAX 8

struct line {
	json_t *json;
	double time; /* seconds since 1970 */
	bool of_request; /* the line names the request */
};

struct trace {
	struct line *lines;
	size_t count;
	size_t cap;
	const char *peers[PEERS_MAX]; /* upstreams of the request */
	size_t peer_count;
	const char *routers[ROUTERS_MAX]; /* that logged the request */
	size_t router_count;
	double first; /* time of the request's first line */
	double last; /* time of its last line */
};

static double
parse_time(const char *text)
{
	struct tm tm = {0};
	const char *end = strptime(text, "%Y-%m-%dT%H:%M:%S", &tm);

	if (end == NULL)
		return 0;
	return (double)timegm(&tm) + (*end == '.' ? strtod(end, NULL) : 0);
}

static void
add_name(const char **names, size_t *count, size_t max, const char *name)
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

/*
 * Parses one log line. Skips text before the JSON object, which a log collector
 * may have added, and ignores lines without an object. Returns false when out
 * of memory.
 */
static bool
parse_line(struct trace *t, char *text, const char *request)
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
	l->time = parse_time(pb_json_text(json, "time"));
	l->of_request = strcmp(pb_json_text(json, "request"), request) == 0;
	if (!l->of_request)
		return true;
	if (t->router_count == 0 || l->time < t->first)
		t->first = l->time;
	if (l->time > t->last)
		t->last = l->time;
	add_name(
	    t->peers, &t->peer_count, PEERS_MAX, pb_json_text(json, "peer"));
	add_name(t->routers, &t->router_count, ROUTERS_MAX,
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
		ok = parse_line(t, line, request);
	pb_clear_buf(&buf);
	return ok;
}

/*
 * Returns true if a router of the request logged the line at about that time,
 * not for any request, and the line is about the router's state or names an
 * upstream of the request.
 */
static bool
is_router_line(const struct trace *t, const struct line *l)
{
	static const char *const steps[] = {"configuration", "watch store",
	    "follow router", "readiness", "start", "stop", "reload"};
	const char *step = pb_json_text(l->json, "step");
	const char *text = pb_json_text(l->json, "text");
	size_t i;

	if (!has_name(t->routers, t->router_count,
		pb_json_text(l->json, "instance")) ||
	    *pb_json_text(l->json, "request") != '\0' ||
	    l->time < t->first - LEAD_SEC || l->time > t->last)
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

		if (!l->of_request && !is_router_line(t, l))
			continue;
		if (l->of_request)
			end = l;
		fprintf(cli->out, "%+9.3f s  %s  %s%s%s: %s%s\n",
		    l->time - t->first, pb_json_text(l->json, "instance"),
		    pb_json_text(l->json, "step"), *peer != '\0' ? " " : "",
		    peer, l->of_request ? "" : "(router) ",
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
		"Shows from collected logs how a request was handled: its "
		"attempts, and what its\nrouters logged at that time about "
		"their state and configuration, the store\nand its upstreams. "
		"Exits with 1 when no log line names the request.",
		&code)) {
		code = PB_EXIT_OK;
		for (n = 0; n < files->count && code == PB_EXIT_OK; n++) {
			if (!read_log(
				cli, &t, files->filename[n], request->sval[0]))
				code = PB_EXIT_USAGE;
		}
		if (code == PB_EXIT_OK && t.router_count == 0) {
			fprintf(cli->err,
			    "poplarbeam: no log line names request \"%s\"\n",
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
