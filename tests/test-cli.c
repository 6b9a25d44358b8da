#include "../source/cli/cli.h"
#include "lib/fake-table.h"
#include "poplarbeam/operator.h"

#include "run-suite.h"
#include <civetweb.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 2

/* A fake router that serves settings with the handlers of operator.h. */
struct router {
	struct fleet *fleet;
	struct mg_context *server;
	char id[16];
	char address[32];
	int revision; /* atomic */
	const char *events; /* JSON objects, separated by commas */
};

struct fleet {
	struct fake_table *fake;
	struct router router[ROUTERS];
	int lose_answers; /* atomic; number of responses to apply to drop */
	int lag_polls; /* atomic; polls before r2 has the revision; -1: never */
	int drain_count; /* atomic */
};

static struct pb_context *ctx;
static struct fleet fleet;

static int
load(int *value)
{
	return __atomic_load_n(value, __ATOMIC_SEQ_CST);
}

static void
store(int *to, int value)
{
	__atomic_store_n(to, value, __ATOMIC_SEQ_CST);
}

static void
send_reply(struct mg_connection *conn, const struct pb_reply *reply)
{
	mg_printf(conn,
	    "HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\nConnection: close\r\n\r\n",
	    reply->status, reply->body.len);
	mg_write(conn, reply->body.data, reply->body.len);
}

static void
serve_status(struct router *r, struct pb_reply *reply)
{
	struct fleet *f = r->fleet;

	/* The second router puts the revision in force after some polls. */
	if (r == &f->router[1] && load(&f->lag_polls) >= 0) {
		if (load(&f->lag_polls) == 0)
			store(&r->revision, load(&f->router[0].revision));
		else
			__atomic_sub_fetch(&f->lag_polls, 1, __ATOMIC_SEQ_CST);
	}
	reply->status = 200;
	pb_append_fmt(&reply->body,
	    "{\"instance\":\"%s\",\"revision\":%d,\"ready\":true,"
	    "\"leaving\":false,\"revision_confirmed_ms\":7,\"routers\":["
	    "{\"id\":\"r1\",\"admin\":\"%s\",\"health\":\"live\"},"
	    "{\"id\":\"r2\",\"admin\":\"%s\",\"health\":\"live\"},"
	    "{\"id\":\"r3\",\"admin\":\"127.0.0.1:1\",\"health\":\"down\"}],"
	    "\"upstreams\":[],\"cells\":[{\"service\":\"m\",\"cell\":0,"
	    "\"owner\":\"r1\",\"in_flight\":3,\"queued\":1,\"started\":9,"
	    "\"refused\":0,\"max_over_mean\":1.125}]}",
	    r->id, load(&r->revision), f->router[0].address,
	    f->router[1].address);
}

static void
serve_apply(struct pb_context *c, struct mg_connection *conn, struct router *r,
    struct pb_reply *reply)
{
	static const int64_t limit = PB_SEC;
	char body[8192];
	int len = 0, got;
	uint64_t revision;

	while (
	    (got = mg_read(conn, body + len, sizeof(body) - (size_t)len)) > 0)
		len += got;
	pb_serve_apply(c, fake_table_port(r->fleet->fake),
	    (struct pb_str){body, (size_t)len}, pb_now(c) + limit, reply,
	    &revision);
	if (revision > 0)
		store(&r->revision, (int)revision);
}

static void
get_query_value(
    const struct mg_request_info *info, const char *name, char *dst, size_t cap)
{
	const char *q = info->query_string != NULL ? info->query_string : "";

	dst[0] = '\0';
	mg_get_var(q, strlen(q), name, dst, cap);
}

static int
handle(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *path = info->local_uri + strlen("/admin/v1/");
	struct router *r = arg;
	struct pb_table *table = fake_table_port(r->fleet->fake);
	struct pb_context *c = pb_new_context(pb_system_clock(), NULL);
	struct pb_reply reply = {404, {NULL, 0, 0}};
	char a[64], b[64];
	bool lost = false;

	if (strcmp(path, "status") == 0) {
		serve_status(r, &reply);
	} else if (strcmp(path, "events") == 0) {
		get_query_value(info, "request", a, sizeof(a));
		reply.status = 200;
		pb_append_fmt(&reply.body,
		    "{\"instance\":\"%s\",\"events\":[%s]}", r->id,
		    strcmp(a, "q 1") == 0 ? r->events : "");
	} else if (strcmp(path, "settings") == 0) {
		get_query_value(info, "team", a, sizeof(a));
		pb_serve_settings(c, table, a, &reply);
	} else if (strcmp(path, "history") == 0) {
		get_query_value(info, "limit", a, sizeof(a));
		pb_serve_history(c, table, a, &reply);
	} else if (strcmp(path, "revision") == 0) {
		get_query_value(info, "n", a, sizeof(a));
		get_query_value(info, "team", b, sizeof(b));
		pb_serve_revision(c, table, a, b, &reply);
	} else if (strcmp(path, "apply") == 0) {
		serve_apply(c, conn, r, &reply);
		lost = load(&r->fleet->lose_answers) > 0;
		if (lost) {
			__atomic_sub_fetch(
			    &r->fleet->lose_answers, 1, __ATOMIC_SEQ_CST);
		}
	} else if (strcmp(path, "drain") == 0) {
		__atomic_add_fetch(&r->fleet->drain_count, 1, __ATOMIC_SEQ_CST);
		reply.status = 200;
	}
	if (!lost)
		send_reply(conn, &reply);
	pb_clear_reply(&reply);
	pb_drop_context(c);
	return 200;
}

static bool
start_router(struct router *r, int n)
{
	const char *options[] = {"listening_ports", "127.0.0.1:0",
	    "num_threads", "4", "enable_keep_alive", "no", NULL};
	struct mg_callbacks callbacks;
	struct mg_server_port port;

	memset(&callbacks, 0, sizeof(callbacks));
	r->fleet = &fleet;
	snprintf(r->id, sizeof(r->id), "r%d", n + 1);
	r->server = mg_start(&callbacks, NULL, options);
	if (r->server == NULL || mg_get_server_ports(r->server, 1, &port) != 1)
		return false;
	snprintf(r->address, sizeof(r->address), "127.0.0.1:%d", port.port);
	mg_set_request_handler(r->server, "/admin/v1/", handle, r);
	return true;
}

/* Result of one command line. */
struct run {
	int code;
	char *out;
	char *err;
};

static struct run
run_cli(const char *line)
{
	struct run run = {0, NULL, NULL};
	char *argv[32], *words, *word, *save = NULL;
	size_t out_len, err_len;
	FILE *out = open_memstream(&run.out, &out_len);
	FILE *err = open_memstream(&run.err, &err_len);
	int argc = 0;

	if (asprintf(&words, "poplarbeam %s", line) < 0)
		abort();
	for (word = strtok_r(words, " ", &save); word != NULL;
	     word = strtok_r(NULL, " ", &save)) {
		argv[argc++] =
		    strcmp(word, "R1") == 0 ? fleet.router[0].address : word;
	}
	argv[argc] = NULL;
	run.code = pb_run_cli(ctx, argc, argv, out, err);
	fclose(out);
	fclose(err);
	free(words);
	return run;
}

/* Runs a command line and checks its exit code and parts of its output. */
static void
expect(const char *line, int code, const char *out, const char *err)
{
	struct run run = run_cli(line);
	bool good = run.code == code &&
	    (out == NULL || strstr(run.out, out) != NULL) &&
	    (err == NULL || strstr(run.err, err) != NULL);

	if (!good) {
		printf("\n\"%s\": code %d\n%s\n%s\n", line, run.code, run.out,
		    run.err);
	}
	CU_ASSERT(good);
	free(run.out);
	free(run.err);
}

static void
write_file(const char *name, const char *text)
{
	FILE *file = fopen(name, "we");

	if (file == NULL)
		abort();
	fputs(text, file);
	fclose(file);
}

#define RED_FILE "build/test-cli-red.yaml"

/* Guards against wrong exit codes and against lost or repeated changes. */
static void
test_changes(void)
{
	write_file(RED_FILE, "accounts:\n- {name: a, key: key-of-a-1}\n");
	expect("apply -r R1 -t red -e 0 --author ada " RED_FILE, 0,
	    "revision 1 stored", NULL);
	write_file(RED_FILE, "accounts:\n- {name: a, key: key-of-a-2}\n");
	expect("diff -r R1 -t red " RED_FILE, 0,
	    "@@ -1,2 +1,2 @@\n accounts:\n-- {name: a, key: key-of-a-1}\n"
	    "+- {name: a, key: key-of-a-2}\n",
	    NULL);
	expect("apply -r R1 -t red -e 0 " RED_FILE, PB_EXIT_CONFLICT, NULL,
	    "revision 1 of team \"red\" by \"ada\" was first");
	/* The response is lost; the same change id must not be stored twice. */
	store(&fleet.lose_answers, 1);
	expect("apply -r R1 -t red -e 1 --change x1 " RED_FILE, 0,
	    "revision 2 stored", NULL);
	expect("apply -r R1 -t red -e 1 --change x1 " RED_FILE, 0,
	    "revision 2 stored", NULL);
	write_file(RED_FILE, "accounts:\n- {name: a, key: short}\n");
	expect("apply -r R1 -t red -e 2 " RED_FILE, PB_EXIT_INVALID, NULL,
	    "red:2: accounts[0].key: expected 8 to 256");
	expect("apply -r R1 -t red -e 2 --json " RED_FILE, PB_EXIT_INVALID,
	    "\"code\": \"invalid\"", NULL);
	expect("get -r R1 -t red", 0, "key-of-a-2", "revision 2\n");
	expect("get -r R1 -t red --revision 1", 0, "key-of-a-1", NULL);
	expect("get -r R1 -t blue", PB_EXIT_USAGE, NULL, "status 404");
	expect("rollback -r R1 -t red -e 2 --to 1 --json", 0, "\"revision\": 3",
	    NULL);
	expect("history -r R1 -n 3", 0, "red              ada", NULL);
	expect("diff -r R1 -t red --from 1", 0, "", NULL);
	expect("rollback -r R1 -t red -e 3 --to 9", PB_EXIT_USAGE, NULL,
	    "status 404");
	fake_table_faults(fleet.fake)->down = true;
	expect("get -r R1 -t red", PB_EXIT_UNAVAILABLE, NULL, "status 503");
	fake_table_faults(fleet.fake)->down = false;
	expect("get -r 127.0.0.1:1 -t red", PB_EXIT_UNAVAILABLE, NULL,
	    "Couldn't connect");
	expect("get -r R1", PB_EXIT_USAGE, NULL, "--team");
	expect("bogus", PB_EXIT_USAGE, NULL, "unknown command");
	remove(RED_FILE);
}

/* Guards against a wait that ends before the last router, or never. */
static void
test_wait(void)
{
	write_file(RED_FILE, "accounts: []\n");
	store(&fleet.lag_polls, 3);
	expect("apply -r R1 -t red -e 3 --wait " RED_FILE, 0,
	    "in force on 2 routers after", NULL);
	CU_ASSERT_EQUAL(load(&fleet.router[1].revision), 4);
	write_file(RED_FILE, "services: []\n");
	store(&fleet.lag_polls, -1);
	expect(
	    "apply -r R1 -t red -e 4 --wait --wait-seconds 1 --json " RED_FILE,
	    PB_EXIT_TIMEOUT, "\"in_force\": false", "revision 4\n");
	remove(RED_FILE);
}

/* Guards against reordered events and against gaps that are not reported. */
static void
test_events(void)
{
	struct run run;
	const char *a, *b, *c, *d;

	fleet.router[0].events =
	    "{\"seq\":4,\"wall_us\":1000000,\"request\":\"q 1\",\"step\":"
	    "\"received\"},{\"seq\":5,\"wall_us\":1200000,\"step\":\"done\"}";
	/* The wall clock of r2 was set back between its events. */
	fleet.router[1].events =
	    "{\"seq\":1,\"wall_us\":1100000,\"step\":\"queued\"},"
	    "{\"seq\":2,\"wall_us\":1050000,\"step\":\"started\","
	    "\"upstream\":\"e7\"}";
	run = run_cli("timeline -r R1 --request q9");
	CU_ASSERT_EQUAL(run.code, 0);
	CU_ASSERT_STRING_EQUAL(run.out, "");
	free(run.out);
	free(run.err);
	{
		char *argv[] = {"poplarbeam", "explain", "-r",
		    fleet.router[0].address, "q 1", NULL};
		size_t len;
		FILE *out = open_memstream(&run.out, &len);

		run.code = pb_run_cli(ctx, 5, argv, out, out);
		fclose(out);
	}
	CU_ASSERT_EQUAL(run.code, 0);
	a = strstr(run.out, "ms  r1: received");
	b = strstr(run.out, "ms  r2: queued");
	c = strstr(run.out, "ms  r2: started on e7");
	d = strstr(run.out, "ms  r1: done");
	CU_ASSERT(a != NULL && a < b && b < c && c < d);
	CU_ASSERT_PTR_NOT_NULL(strstr(run.out, "routers: r1, r2\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    run.out, "longest pause: 150.000 ms between started and done"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(run.out, "no events from router 127.0.0.1:1"));
	free(run.out);
	expect("explain -r R1 q9", PB_EXIT_USAGE, NULL, "no router has events");
	expect(
	    "status -r R1", 0, "instance r1: revision 5, confirmed 7 ms", NULL);
	expect("drain -r R1", 0, "is draining", NULL);
	CU_ASSERT_EQUAL(load(&fleet.drain_count), 1);
}

/*
 * Applies a unified diff to a text whose lines have one character each. Returns
 * false if the diff does not match the text.
 */
static bool
patch_lines(const char *old_text, char *diff, struct pb_buf *out)
{
	const char *old = old_text;
	unsigned int old_line = 1, at, n, new_at, new_n;
	char *line, *save = NULL;

	for (line = strtok_r(diff, "\n", &save); line != NULL;
	     line = strtok_r(NULL, "\n", &save)) {
		if (strncmp(line, "---", 3) == 0 ||
		    strncmp(line, "+++", 3) == 0)
			continue;
		if (sscanf(line, "@@ -%u,%u +%u,%u", &at, &n, &new_at,
			&new_n) == 4) {
			/* For an empty old side, at is the line before it. */
			for (at += n == 0; old_line < at; old_line++, old += 2)
				pb_append_buf(out, old, 2);
			continue;
		}
		if (line[0] != '+' && line[1] != old[0])
			return false;
		if (line[0] != '-')
			pb_append_fmt(out, "%c\n", line[1]);
		old += line[0] != '+' ? 2 : 0;
		old_line += line[0] != '+';
	}
	pb_append_buf(out, old, strlen(old));
	return true;
}

/* Guards against a diff that does not turn the old text into the new one. */
static void
test_diff(void)
{
	struct pb_random rnd = {5};
	int i;

	for (i = 0; i < 3000; i++) {
		struct pb_buf diff = {NULL, 0, 0}, got = {NULL, 0, 0};
		char text[2][128] = {""};
		int side, len, j;

		for (side = 0; side < 2; side++) {
			len = (int)(pb_next_random(&rnd) % 60);
			for (j = 0; j < len; j++) {
				text[side][2 * j] =
				    (char)('a' + pb_next_random(&rnd) % 4);
				text[side][2 * j + 1] = '\n';
			}
			text[side][2L * len] = '\0';
		}
		pb_append_buf(&diff, "", 0);
		pb_append_buf(&got, "", 0);
		CU_ASSERT_EQUAL(pb_diff_lines(pb_str_from(text[0]),
				    pb_str_from(text[1]), "old", "new", &diff),
		    PB_OK);
		CU_ASSERT(patch_lines(text[0], diff.data, &got));
		CU_ASSERT_STRING_EQUAL(got.data, text[1]);
		pb_clear_buf(&diff);
		pb_clear_buf(&got);
	}
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"diff", test_diff},
	    {"changes", test_changes}, {"wait", test_wait},
	    {"events", test_events}, CU_TEST_INFO_NULL};
	int rc = 1;
	int i;

	ctx = pb_new_context(pb_system_clock(), NULL);
	fleet.fake = fake_new_table(1);
	mg_init_library(0);
	for (i = 0; i < ROUTERS; i++) {
		if (!start_router(&fleet.router[i], i))
			goto out;
	}
	rc = run_suite("cli", tests);
out:
	for (i = 0; i < ROUTERS; i++)
		mg_stop(fleet.router[i].server);
	mg_exit_library();
	fake_drop_table(fleet.fake);
	pb_drop_context(ctx);
	return rc;
}
