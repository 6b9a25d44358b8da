/*
 * Stand-in for the platform's store with its published interface: rows by table
 * and key, listings, change feeds and transactions. For tests.
 *
 *   pb-rows PORT [SECOND-PORT]
 *
 * Control calls, by which a test changes rows as an operator does and simulates
 * outages:
 *   PUT /control/row/TABLE/KEY     stores the body as the value of the row
 *   GET /control/row/TABLE/KEY     returns the value of the row in base64
 *   DELETE /control/row/TABLE/KEY  deletes the row
 *   PUT /control/raw/TABLE/KEY     stores the body as the value of the row, as
 *                                  it is instead of in base64
 *   PUT /control/rows/TABLE        stores a row for each line of the body: a
 *                                  key, a space and the value
 *   PUT /control/mode              sets the mode that the body names
 *   GET /control/calls             returns the number of store calls received,
 *                                  including refused ones
 *   GET /control/lists/TABLE       returns the number of listing pages sent
 *                                  for the table
 *   GET /control/bytes             returns the number of bytes in the bodies of
 *                                  all store responses
 *
 * Modes:
 *   ok                   serves all calls
 *   down                 sends status 503
 *   silent               accepts calls and never responds
 *   refuse               sends status 429 at the second port
 *   forget               discards the feed history: feeds from an earlier
 *                        version get status 410
 *   slow MS              delays responses by MS milliseconds
 *   slow-lists MS TABLE  delays only listings of the table
 */
#include "poplarbeam/base.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define ROWS_MAX 4096
#define PAGE_ROWS_MAX 500 /* rows of one response */
#define LONG_POLLS_MAX 256
#define TABLES_MAX 8
#define NAME_MAX_LEN 80

struct row {
	char table[NAME_MAX_LEN];
	char key[NAME_MAX_LEN];
	char *value; /* base64; NULL: deleted */
	long long version;
};

/* Number of listing pages sent for one table. */
struct list_counter {
	char table[NAME_MAX_LEN]; /* empty: unused */
	long long pages;
};

/* A feed request that waits for a change of its table. */
struct long_poll {
	struct evhttp_request *req; /* NULL: free */
	char table[NAME_MAX_LEN];
	long long since; /* version that the client has */
	struct event *timer;
	struct store *store;
};

enum mode {
	MODE_OK,
	MODE_DOWN,
	MODE_SILENT,
	MODE_REFUSE
};

struct store {
	struct event_base *base;
	struct row rows[ROWS_MAX];
	size_t row_count;
	struct long_poll polls[LONG_POLLS_MAX];
	long long version; /* of the last change */
	long long discarded_version; /* feeds from before it get 410 */
	long long calls;
	long long bytes; /* in the bodies of responses to store calls */
	struct list_counter list_counters[TABLES_MAX];
	enum mode mode;
	int delay_ms;
	int list_delay_ms;
	char slow_table[NAME_MAX_LEN]; /* table that list_delay_ms applies to */
};

/* A response that a timer sends. */
struct delayed_reply {
	struct evhttp_request *req; /* NULL: the client has disconnected */
	struct evbuffer *body;
	int status;
	struct event *timer;
};

static void
send_reply(struct evhttp_request *req, int status, struct evbuffer *body)
{
	evhttp_send_reply(req, status, status == 200 ? "OK" : "No", body);
}

static void
on_delay(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_reply *d = arg;

	(void)fd;
	(void)what;
	if (d->req != NULL) {
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(d->req), NULL, NULL);
		send_reply(d->req, d->status, d->body);
	}
	evbuffer_free(d->body);
	event_free(d->timer);
	free(d);
}

/* The request is freed with its connection. */
static void
on_delayed_closed(struct evhttp_connection *conn, void *arg)
{
	struct delayed_reply *d = arg;

	(void)conn;
	d->req = NULL;
}

static void
send_json_after(struct store *s, struct evhttp_request *req, int status,
    json_t *body, int delay_ms)
{
	struct timeval tv = {delay_ms / 1000, delay_ms % 1000 * 1000};
	struct delayed_reply *d = calloc(1, sizeof(*d));
	char *text = json_dumps(body, JSON_COMPACT);

	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_delayed_closed, d);
	d->req = req;
	d->status = status;
	d->body = evbuffer_new();
	evbuffer_add(d->body, text, strlen(text));
	s->bytes += (long long)strlen(text);
	free(text);
	json_decref(body);
	d->timer = evtimer_new(s->base, on_delay, d);
	if (delay_ms == 0)
		on_delay(-1, 0, d);
	else
		evtimer_add(d->timer, &tv);
}

static void
send_json(struct store *s, struct evhttp_request *req, int status, json_t *body)
{
	send_json_after(s, req, status, body, s->delay_ms);
}

static struct row *
find_row(struct store *s, const char *table, const char *key)
{
	size_t i;

	for (i = 0; i < s->row_count; i++) {
		if (strcmp(s->rows[i].table, table) == 0 &&
		    strcmp(s->rows[i].key, key) == 0)
			return &s->rows[i];
	}
	return NULL;
}

static json_t *
encode_row(const struct row *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
	    "", "key", r->key, "ver", (json_int_t)r->version);

	if (r->value == NULL)
		json_object_set_new(j, "deleted", json_true());
	else
		json_object_set_new(j, "value", json_string(r->value));
	return j;
}

/*
 * Returns the rows of a table that changed after version since. Deleted rows
 * are included only for a feed.
 */
static json_t *
select_rows(struct store *s, const char *table, long long since, bool feed)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < s->row_count; i++) {
		const struct row *r = &s->rows[i];

		if (strcmp(r->table, table) == 0 && r->version > since &&
		    (feed || r->value != NULL))
			json_array_append_new(list, encode_row(r));
	}
	return list;
}

static json_t *
encode_page(json_t *rows, bool more, long long version)
{
	return json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "more-pages", more,
	    "ver", (json_int_t)version, "now-ms", (json_int_t)0);
}

static int
compare_versions(const void *a, const void *b)
{
	const json_t *const *x = a, *const *y = b;
	json_int_t v = json_integer_value(json_object_get(*x, "ver"));
	json_int_t w = json_integer_value(json_object_get(*y, "ver"));

	return v < w ? -1 : v > w;
}

static int
compare_keys(const void *a, const void *b)
{
	const json_t *const *x = a, *const *y = b;

	return strcmp(json_string_value(json_object_get(*x, "key")),
	    json_string_value(json_object_get(*y, "key")));
}

/* Sorts rows and returns those of the first page; releases rows. */
static json_t *
first_rows(json_t *rows, int (*compare)(const void *, const void *))
{
	size_t i, n = json_array_size(rows);
	json_t **all = calloc(n + 1, sizeof(json_t *));
	json_t *first = json_array();

	for (i = 0; i < n; i++)
		all[i] = json_array_get(rows, i);
	qsort(all, n, sizeof(json_t *), compare);
	for (i = 0; i < n && i < PAGE_ROWS_MAX; i++)
		json_array_append(first, all[i]);
	free(all);
	json_decref(rows);
	return first;
}

static void
send_feed_page(struct store *s, struct evhttp_request *req, json_t *rows)
{
	bool more = json_array_size(rows) > PAGE_ROWS_MAX;
	json_t *first = first_rows(rows, compare_versions);
	long long version = s->version;

	if (more)
		version = json_integer_value(json_object_get(
		    json_array_get(first, PAGE_ROWS_MAX - 1), "ver"));
	/*
	 * A truncated feed page does not set more-pages: its version is that of
	 * its last row, from which the client continues.
	 */
	send_json(s, req, 200, encode_page(first, false, version));
}

/* Returns NULL if TABLES_MAX other tables are counted already. */
static struct list_counter *
find_list_counter(struct store *s, const char *table)
{
	size_t i;

	for (i = 0; i < TABLES_MAX; i++) {
		struct list_counter *c = &s->list_counters[i];

		if (c->table[0] == '\0')
			pb_copy_str(c->table, NAME_MAX_LEN, table);
		if (strcmp(c->table, table) == 0)
			return c;
	}
	return NULL;
}

static void
send_list_page(struct store *s, struct evhttp_request *req, const char *table,
    const char *from)
{
	bool slow = s->list_delay_ms > 0 && strcmp(table, s->slow_table) == 0;
	int delay_ms = slow ? s->list_delay_ms : s->delay_ms;
	json_t *all = select_rows(s, table, 0, false);
	json_t *rows = json_array();
	struct list_counter *counter = find_list_counter(s, table);
	bool more;
	size_t i;

	if (counter != NULL)
		counter->pages++;
	for (i = 0; i < json_array_size(all); i++) {
		json_t *row = json_array_get(all, i);

		if (strcmp(json_string_value(json_object_get(row, "key")),
			from) >= 0)
			json_array_append(rows, row);
	}
	json_decref(all);
	more = json_array_size(rows) > PAGE_ROWS_MAX;
	rows = first_rows(rows, compare_keys);
	send_json_after(
	    s, req, 200, encode_page(rows, more, s->version), delay_ms);
}

static void
free_poll(struct long_poll *p)
{
	event_free(p->timer);
	p->req = NULL;
}

static void
on_poll_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct long_poll *p = arg;

	(void)fd;
	(void)what;
	send_feed_page(p->store, p->req, json_array());
	free_poll(p);
}

static void
on_poll_closed(struct evhttp_connection *conn, void *arg)
{
	struct long_poll *p = arg;

	(void)conn;
	if (p->req != NULL)
		free_poll(p);
}

static void
start_poll(struct store *s, struct evhttp_request *req, const char *table,
    long long since, int wait_ms)
{
	struct timeval tv = {wait_ms / 1000, wait_ms % 1000 * 1000};
	size_t i;

	for (i = 0; i < LONG_POLLS_MAX && s->polls[i].req != NULL; i++)
		;
	if (i == LONG_POLLS_MAX) {
		send_json(s, req, 429, json_object());
		return;
	}
	s->polls[i].req = req;
	s->polls[i].since = since;
	s->polls[i].store = s;
	pb_copy_str(s->polls[i].table, NAME_MAX_LEN, table);
	s->polls[i].timer = evtimer_new(s->base, on_poll_timeout, &s->polls[i]);
	evtimer_add(s->polls[i].timer, &tv);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_poll_closed, &s->polls[i]);
}

static void
complete_polls(struct store *s)
{
	size_t i;

	for (i = 0; i < LONG_POLLS_MAX; i++) {
		struct long_poll *p = &s->polls[i];
		json_t *rows;

		if (p->req == NULL)
			continue;
		rows = select_rows(s, p->table, p->since, true);
		if (json_array_size(rows) == 0) {
			json_decref(rows);
			continue;
		}
		send_feed_page(s, p->req, rows);
		free_poll(p);
	}
}

static void
put_row(struct store *s, const char *table, const char *key, const char *value)
{
	struct row *r = find_row(s, table, key);

	if (r == NULL && s->row_count < ROWS_MAX) {
		r = &s->rows[s->row_count++];
		pb_copy_str(r->table, NAME_MAX_LEN, table);
		pb_copy_str(r->key, NAME_MAX_LEN, key);
	}
	if (r == NULL)
		return;
	free(r->value);
	r->value = value != NULL ? strdup(value) : NULL;
	r->version = ++s->version;
	complete_polls(s);
}

static const char *
get_param(const struct evkeyvalq *q, const char *name, const char *fallback)
{
	const char *v = evhttp_find_header(q, name);

	return v != NULL ? v : fallback;
}

static void
serve_feed(struct store *s, struct evhttp_request *req, struct evkeyvalq *q)
{
	const char *table = get_param(q, "table", "");
	long long since = atoll(get_param(q, "since-rev", "0"));
	int wait_ms = atoi(get_param(q, "wait-ms", "0"));
	json_t *rows;

	if (since < s->discarded_version) {
		send_json(s, req, 410, json_object());
		return;
	}
	rows = select_rows(s, table, since, true);
	if (json_array_size(rows) > 0 || wait_ms == 0) {
		send_feed_page(s, req, rows);
		return;
	}
	json_decref(rows);
	start_poll(s, req, table, since, wait_ms);
}

static json_t *
read_json_body(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);

	return json_loadb((char *)evbuffer_pullup(in, -1), n, 0, NULL);
}

static void
serve_transaction(struct store *s, struct evhttp_request *req)
{
	json_t *tx = read_json_body(req);
	const json_t *puts = json_object_get(tx, "puts");
	size_t i;

	for (i = 0; i < json_array_size(puts); i++) {
		const json_t *p = json_array_get(puts, i);

		put_row(s, json_string_value(json_object_get(p, "table")),
		    json_string_value(json_object_get(p, "key")),
		    json_string_value(json_object_get(p, "value")));
	}
	json_decref(tx);
	send_json(s, req, 200,
	    json_pack("{s:I,s:I}", "ver", (json_int_t)s->version, "now-ms",
		(json_int_t)0));
}

static void
control_mode(struct store *s, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	char text[128] = "";

	evbuffer_remove(in, text, sizeof(text) - 1);
	s->delay_ms = 0;
	s->list_delay_ms = 0;
	s->mode = MODE_OK;
	if (strncmp(text, "down", 4) == 0)
		s->mode = MODE_DOWN;
	else if (strncmp(text, "refuse", 6) == 0)
		s->mode = MODE_REFUSE;
	else if (strncmp(text, "silent", 6) == 0)
		s->mode = MODE_SILENT;
	else if (strncmp(text, "slow ", 5) == 0)
		s->delay_ms = atoi(text + 5);
	else if (strncmp(text, "slow-lists ", 11) == 0)
		sscanf(text + 11, "%d %79s", &s->list_delay_ms, s->slow_table);
	else if (strncmp(text, "forget", 6) == 0)
		s->discarded_version = s->version;
	send_reply(req, 200, NULL);
}

static void
control_get(struct store *s, struct evhttp_request *req, const char *table,
    const char *key)
{
	const struct row *r = find_row(s, table, key);
	struct evbuffer *out = evbuffer_new();

	if (r != NULL && r->value != NULL)
		evbuffer_add(out, r->value, strlen(r->value));
	send_reply(req, r != NULL && r->value != NULL ? 200 : 404, out);
	evbuffer_free(out);
}

static void
put_text(struct store *s, const char *table, const char *key, const void *text,
    size_t n)
{
	size_t cap =
	    sodium_base64_encoded_len(n, sodium_base64_VARIANT_ORIGINAL);
	char *encoded = malloc(cap);

	sodium_bin2base64(
	    encoded, cap, text, n, sodium_base64_VARIANT_ORIGINAL);
	put_row(s, table, key, encoded);
	free(encoded);
}

static void
control_rows(struct store *s, struct evhttp_request *req, const char *table)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	char *line, *value;

	while ((line = evbuffer_readln(in, NULL, EVBUFFER_EOL_LF)) != NULL) {
		value = strchr(line, ' ');
		if (value != NULL) {
			*value++ = '\0';
			put_text(s, table, line, value, strlen(value));
		}
		free(line);
	}
	send_reply(req, 200, NULL);
}

static void
control_row(struct store *s, struct evhttp_request *req, const char *path)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	char table[NAME_MAX_LEN], key[NAME_MAX_LEN];

	if (sscanf(path, "/control/row/%79[^/]/%79s", table, key) != 2) {
		send_reply(req, 400, NULL);
		return;
	}
	if (evhttp_request_get_command(req) == EVHTTP_REQ_GET) {
		control_get(s, req, table, key);
		return;
	}
	if (evhttp_request_get_command(req) == EVHTTP_REQ_DELETE) {
		put_row(s, table, key, NULL);
		send_reply(req, 200, NULL);
		return;
	}
	put_text(s, table, key, evbuffer_pullup(in, -1), n);
	send_reply(req, 200, NULL);
}

static void
control_raw(struct store *s, struct evhttp_request *req, const char *path)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	char table[NAME_MAX_LEN], key[NAME_MAX_LEN], value[1024] = "";

	if (sscanf(path, "/control/raw/%79[^/]/%79s", table, key) != 2) {
		send_reply(req, 400, NULL);
		return;
	}
	evbuffer_remove(in, value, sizeof(value) - 1);
	put_row(s, table, key, value);
	send_reply(req, 200, NULL);
}

static void
send_number(struct evhttp_request *req, long long n)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out, "%lld\n", n);
	send_reply(req, 200, out);
	evbuffer_free(out);
}

static bool
serve_control(struct store *s, struct evhttp_request *req, const char *path)
{
	if (strncmp(path, "/control/row/", 13) == 0) {
		control_row(s, req, path);
	} else if (strncmp(path, "/control/raw/", 13) == 0) {
		control_raw(s, req, path);
	} else if (strncmp(path, "/control/rows/", 14) == 0) {
		control_rows(s, req, path + 14);
	} else if (strcmp(path, "/control/mode") == 0) {
		control_mode(s, req);
	} else if (strcmp(path, "/control/calls") == 0) {
		send_number(req, s->calls);
	} else if (strcmp(path, "/control/bytes") == 0) {
		send_number(req, s->bytes);
	} else if (strncmp(path, "/control/lists/", 15) == 0) {
		const struct list_counter *c = find_list_counter(s, path + 15);

		send_number(req, c != NULL ? c->pages : -1);
	} else {
		return false;
	}
	return true;
}

static void
serve_store(struct store *s, struct evhttp_request *req)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	struct evkeyvalq q;

	if (s->mode == MODE_SILENT)
		return;
	if (s->mode == MODE_DOWN) {
		send_json(s, req, 503, json_object());
		return;
	}
	TAILQ_INIT(&q);
	if (evhttp_uri_get_query(uri) != NULL)
		evhttp_parse_query_str(evhttp_uri_get_query(uri), &q);
	if (strcmp(path, "/poplarbeam/rows-get") == 0)
		send_list_page(s, req, get_param(&q, "table", ""),
		    get_param(&q, "from", ""));
	else if (strcmp(path, "/poplarbeam/rows-feed") == 0)
		serve_feed(s, req, &q);
	else if (strcmp(path, "/poplarbeam/rows-tx") == 0)
		serve_transaction(s, req);
	else
		send_json(s, req, 404, json_object());
	evhttp_clear_headers(&q);
}

static void
on_second_request(struct evhttp_request *req, void *arg)
{
	struct store *s = arg;

	s->calls++;
	if (s->mode == MODE_REFUSE)
		send_json(s, req, 429, json_object());
	else
		serve_store(s, req);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct store *s = arg;

	if (serve_control(s, req,
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req))))
		return;
	s->calls++;
	serve_store(s, req);
}

static struct evhttp *
listen_at(struct store *s, const char *port,
    void (*handler)(struct evhttp_request *, void *))
{
	struct evhttp *http = evhttp_new(s->base);

	evhttp_set_allowed_methods(http,
	    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
		EVHTTP_REQ_DELETE);
	evhttp_set_gencb(http, handler, s);
	if (evhttp_bind_socket(http, "127.0.0.1", (ev_uint16_t)atoi(port)) == 0)
		return http;
	fprintf(stderr, "pb-rows: cannot listen on port %s\n", port);
	return NULL;
}

int
main(int argc, char **argv)
{
	struct store *s = calloc(1, sizeof(*s));

	if (argc < 2 || argc > 3 || s == NULL) {
		fprintf(stderr, "usage: pb-rows PORT [SECOND-PORT]\n");
		free(s);
		return 2;
	}
	/* The peer may close a connection while it is written to. */
	signal(SIGPIPE, SIG_IGN);
	s->base = event_base_new();
	if (listen_at(s, argv[1], on_request) == NULL ||
	    (argc == 3 && listen_at(s, argv[2], on_second_request) == NULL)) {
		free(s);
		return 1;
	}
	event_base_dispatch(s->base);
	return 0;
}
