/*
 * Load generator: sends chat requests and plain calls to the routers for a
 * limited time and checks every byte of every answer. Exits with 1 when an
 * answer had a wrong byte, was truncated but reported as complete, or belongs
 * to a call that ran twice; with 2 for wrong usage or when memory ran out.
 */
#include "load.h"
#include "serve.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define ROUTERS_MAX 512
#define IN_FLIGHT_MAX 4096
#define POLL_MS 50
#define CONNECT_MS 5000L
#define ERROR_BODY_MAX 1024 /* bytes kept of the body of an error response */
/* Delay before a transfer is reused after a request that did not complete, so
 * that a closed loop does not busy-loop on rejected requests. */
#define PAUSE_US (10 * PB_MSEC)

/* Time without requests to a router after a failed connection attempt, as with
 * a load balancer that checks health. */
#define ROUTER_RETRY_US PB_SEC

/* State of one HTTP request; reused for the next request. */
struct transfer {
	struct load *load;
	CURL *easy;
	struct curl_slist *headers;
	struct load_call call;
	int router;
	int status;
	int64_t ready_us; /* earliest time of reuse */
};

struct load {
	struct load_options options;
	struct load_plan *plan;
	struct load_stats *stats;
	CURLM *multi;
	struct transfer *transfers;
	struct transfer **idle;
	int idle_count;
	int64_t retry_us[ROUTERS_MAX]; /* earliest next request, by router */
	int64_t next_us; /* open loop: due time of the next request */
	int64_t end_us;
	bool verbose;
};

/* Set on SIGTERM: no new requests are sent, requests in flight complete. */
static volatile sig_atomic_t stop_requested;

static void
on_sigterm(int sig)
{
	(void)sig;
	stop_requested = 1;
}

static void
record_gap(void *arg, int64_t us)
{
	struct transfer *t = arg;

	load_record_gap(t->load->stats, t->call.rank, us);
}

static size_t
on_body(char *data, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;

	if (t->status == 200)
		load_feed(&t->call, data, size * count, serve_now_us(),
		    record_gap, t);
	else if (t->call.answer.len < ERROR_BODY_MAX)
		pb_append_buf(&t->call.answer, data, size * count);
	return size * count;
}

static size_t
on_header(char *data, size_t size, size_t count, void *arg)
{
	static const char name[] = "X-Poplarbeam-Outcome:";
	struct transfer *t = arg;
	size_t len = size * count, skip = sizeof(name) - 1;

	if (len > 12 && strncmp(data, "HTTP/", 5) == 0)
		t->status = (int)strtol(data + 9, NULL, 10);
	if (len <= skip || strncasecmp(data, name, skip) != 0)
		return len;
	while (skip < len && data[skip] == ' ')
		skip++;
	while (len > skip && (data[len - 1] == '\r' || data[len - 1] == '\n'))
		len--;
	snprintf(t->call.outcome, sizeof(t->call.outcome), "%.*s",
	    (int)(len - skip), data + skip);
	return size * count;
}

static void
add_header(struct transfer *t, const char *name, const char *value)
{
	char line[192];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	t->headers = curl_slist_append(t->headers, line);
}

static void
set_headers(struct transfer *t)
{
	const struct load_options *o = &t->load->options;
	struct load_call *c = &t->call;
	char bearer[128];

	snprintf(
	    bearer, sizeof(bearer), "Bearer %s", o->accounts.name[c->account]);
	add_header(t, "Authorization", bearer);
	add_header(t, "X-Poplarbeam-Rank", o->ranks.name[c->rank]);
	add_header(
	    t, "Content-Type", c->plain ? "text/plain" : "application/json");
	if (c->chat_key[0] != '\0')
		add_header(t, "X-Poplarbeam-Chat", c->chat_key);
	if (c->key[0] != '\0')
		add_header(t, "Idempotency-Key", c->key);
	/* Keeps libcurl from waiting for 100 Continue before a large body. */
	t->headers = curl_slist_append(t->headers, "Expect:");
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
}

/* Returns a random router that is not paused after a failed connection, or any
 * router when all are paused. */
static int
choose_router(struct load *load)
{
	int n = load->options.router_count, i, at;
	int first = (int)(load_next_uniform(load->plan) * n);
	int64_t now = serve_now_us();

	for (i = 0; i < n; i++) {
		at = (first + i) % n;
		if (load->retry_us[at] <= now)
			return at;
	}
	return first;
}

static void
set_options(struct transfer *t)
{
	const struct load_options *o = &t->load->options;
	char url[512];

	t->router = choose_router(t->load);
	snprintf(url, sizeof(url), "http://%s%s", o->routers[t->router],
	    t->call.path);
	curl_easy_setopt(t->easy, CURLOPT_URL, url);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(t->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(t->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
	curl_easy_setopt(
	    t->easy, CURLOPT_TIMEOUT_MS, (long)(o->timeout_sec * 1000));
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->call.body.data);
	curl_easy_setopt(
	    t->easy, CURLOPT_POSTFIELDSIZE, (long)t->call.body.len);
	/*
	 * libcurl resends a request when a reused connection turns out to be
	 * closed. A plain call without an idempotency key must not be sent
	 * twice, so plain calls use a new connection.
	 */
	curl_easy_setopt(
	    t->easy, CURLOPT_FRESH_CONNECT, t->call.plain ? 1L : 0L);
}

static int
start_transfer(struct load *load)
{
	struct transfer *t = load->idle[load->idle_count - 1];

	if (load_next_call(load->plan, &t->call) != PB_OK)
		return PB_ENOMEM;
	t->easy = curl_easy_init();
	if (t->easy == NULL)
		return PB_ENOMEM;
	load->idle_count--;
	t->load = load;
	t->status = 0;
	set_headers(t);
	set_options(t);
	t->call.sent_us = serve_now_us();
	curl_multi_add_handle(load->multi, t->easy);
	return PB_OK;
}

static void
report_call(const struct transfer *t, enum load_outcome outcome, CURLcode rc)
{
	const struct load_call *c = &t->call;

	fprintf(stderr,
	    "request ended as %s: %s; URL %s%s, chat %s, key '%s', "
	    "status %d, %zu of %zu bytes correct; %.*s\n",
	    load_outcome_name(outcome), curl_easy_strerror(rc),
	    t->load->options.routers[t->router], c->path, c->chat_key, c->key,
	    t->status, c->checked, (size_t)c->words * ANSWER_WORD_LEN,
	    t->status != 200 ? (int)c->answer.len : 0,
	    c->answer.data != NULL ? c->answer.data : "");
}

/*
 * Returns a transfer to the idle stack. A transfer whose request failed goes to
 * the bottom, so that it is reused last.
 */
static void
release_transfer(struct load *load, struct transfer *t, bool complete)
{
	t->ready_us = complete ? 0 : serve_now_us() + PAUSE_US;
	if (complete) {
		load->idle[load->idle_count++] = t;
		return;
	}
	memmove(load->idle + 1, load->idle,
	    (size_t)load->idle_count++ * sizeof(struct transfer *));
	load->idle[0] = t;
}

static void
end_transfer(struct load *load, CURL *easy, CURLcode rc)
{
	struct transfer *t = NULL;
	enum load_outcome outcome;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&t);
	if (rc == CURLE_COULDNT_CONNECT)
		load->retry_us[t->router] = serve_now_us() + ROUTER_RETRY_US;
	outcome = load_classify_call(&t->call, t->status, rc == CURLE_OK);
	if (outcome == LOAD_SHORT || outcome == LOAD_WRONG ||
	    outcome == LOAD_REPEATED || (load->verbose && outcome != 0))
		report_call(t, outcome, rc);
	load_record_call(load->stats, &t->call, outcome, serve_now_us());
	load_end_call(load->plan, &t->call, outcome == LOAD_COMPLETE);
	curl_multi_remove_handle(load->multi, easy);
	curl_easy_cleanup(easy);
	curl_slist_free_all(t->headers);
	t->headers = NULL;
	t->easy = NULL;
	load_clear_call(&t->call);
	release_transfer(load, t, outcome == LOAD_COMPLETE);
}

static int
start_due(struct load *load)
{
	const struct load_options *o = &load->options;
	int64_t now = serve_now_us();
	int rc = PB_OK;

	if (o->rate <= 0) {
		while (rc == PB_OK && load->idle_count > 0 &&
		    load->idle[load->idle_count - 1]->ready_us <= now)
			rc = start_transfer(load);
		return rc;
	}
	while (rc == PB_OK && load->next_us <= now) {
		if (load->idle_count > 0)
			rc = start_transfer(load);
		else
			load_count_skipped(load->stats);
		load->next_us +=
		    (int64_t)(-log(1 - load_next_uniform(load->plan)) /
			o->rate * PB_SEC);
	}
	return rc;
}

static int
wait_ms(const struct load *load)
{
	int64_t left;

	if (load->options.rate <= 0)
		return load->idle_count > 0 ? PAUSE_US / PB_MSEC : POLL_MS;
	left = (load->next_us - serve_now_us()) / PB_MSEC;
	return left < 0 ? 0 : left < POLL_MS ? (int)left : POLL_MS;
}

static int
run_load(struct load *load)
{
	int rc = PB_OK, running = 0, queued;
	CURLMsg *msg;
	bool open;

	signal(SIGTERM, on_sigterm);
	load->next_us = serve_now_us();
	load->end_us =
	    load->next_us + (int64_t)(load->options.duration_sec * PB_SEC);
	do {
		open = serve_now_us() < load->end_us && !stop_requested;
		if (open)
			rc = start_due(load);
		if (rc != PB_OK)
			return rc;
		curl_multi_perform(load->multi, &running);
		while (
		    (msg = curl_multi_info_read(load->multi, &queued)) != NULL)
			if (msg->msg == CURLMSG_DONE)
				end_transfer(
				    load, msg->easy_handle, msg->data.result);
		curl_multi_poll(
		    load->multi, NULL, 0, open ? wait_ms(load) : POLL_MS, NULL);
	} while (open || load->idle_count < load->options.concurrency);
	return rc;
}

static int
open_load(struct load *load)
{
	size_t n = (size_t)load->options.concurrency;

	load->plan = load_new_plan(&load->options);
	load->stats = load_new_stats(&load->options);
	load->multi = curl_multi_init();
	load->transfers = calloc(n, sizeof(*load->transfers));
	load->idle = calloc(n, sizeof(struct transfer *));
	if (load->plan == NULL || load->stats == NULL || load->multi == NULL ||
	    load->transfers == NULL || load->idle == NULL)
		return PB_ENOMEM;
	for (; load->idle_count < load->options.concurrency; load->idle_count++)
		load->idle[load->idle_count] =
		    &load->transfers[load->idle_count];
	curl_multi_setopt(load->multi, CURLMOPT_MAXCONNECTS, (long)n);
	return PB_OK;
}

static void
close_load(struct load *load)
{
	if (load->multi != NULL)
		curl_multi_cleanup(load->multi);
	load_drop_plan(load->plan);
	load_drop_stats(load->stats);
	free(load->transfers);
	free(load->idle);
}

/* Command-line options. */
struct arguments {
	struct arg_str *routers, *ranks, *accounts, *model, *plain;
	struct arg_dbl *duration, *rate, *returns, *streams, *plain_share,
	    *key_share, *timeout;
	struct arg_int *concurrency, *chats, *words_min, *words_max,
	    *system_bytes, *prompt_bytes, *seed;
	struct arg_lit *json, *verbose, *help;
	struct arg_end *end;
};

static int
int_or(const struct arg_int *a, int value)
{
	return a->count > 0 ? a->ival[0] : value;
}

static double
dbl_or(const struct arg_dbl *a, double value)
{
	return a->count > 0 ? a->dval[0] : value;
}

static bool
is_share(double x)
{
	return x >= 0 && x <= 1;
}

static int
read_mix(struct load_mix *mix, const struct arg_str *a, const char *what)
{
	int i;

	for (i = 0; i < a->count; i++)
		if (load_add_to_mix(mix, a->sval[i]) != PB_OK) {
			fprintf(stderr,
			    "pb-load: --%s %s: expected NAME or NAME=WEIGHT "
			    "with a weight above 0, at most %d times\n",
			    what, a->sval[i], LOAD_MIX_MAX);
			return PB_EINVAL;
		}
	return PB_OK;
}

static int
check_options(const struct load_options *o)
{
	const char *error = NULL;

	if (!(o->duration_sec > 0 && o->duration_sec <= 86400))
		error = "--duration must be above 0 and at most 86400 s";
	else if (!(o->rate >= 0 && o->rate <= 100000))
		error = "--rate must be 0 to 100000 requests per second";
	else if (o->concurrency < 1 || o->concurrency > IN_FLIGHT_MAX)
		error = "--concurrency must be 1 to 4096 requests";
	else if (o->chats < 1 || o->chats > 1000000)
		error = "--chats must be 1 to 1000000";
	else if (!is_share(o->return_share) || !is_share(o->stream_share) ||
	    !is_share(o->plain_share) || !is_share(o->key_share))
		error = "shares must be between 0 and 1";
	else if (o->words_min < 1 || o->words_max < o->words_min ||
	    o->words_max > 100000)
		error = "answer lengths must be 1 to 100000 words, with "
			"--words at most --words-max";
	else if (o->system_bytes < 0 || o->system_bytes > 100000 ||
	    o->prompt_bytes < 0 || o->prompt_bytes > 40000)
		error = "--system-bytes must be 0 to 100000 and "
			"--prompt-bytes 0 to 40000";
	else if (!(o->timeout_sec > 0 && o->timeout_sec <= 3600))
		error = "--timeout must be above 0 and at most 3600 s";
	if (error == NULL)
		return PB_OK;
	fprintf(stderr, "pb-load: %s\n", error);
	return PB_EINVAL;
}

static int
read_options(const struct arguments *a, struct load_options *o)
{
	o->routers = a->routers->sval;
	o->router_count = a->routers->count;
	o->duration_sec = dbl_or(a->duration, 10);
	o->rate = dbl_or(a->rate, 0);
	o->concurrency = int_or(a->concurrency, o->rate > 0 ? 1024 : 16);
	o->model = a->model->count > 0 ? a->model->sval[0] : "layout";
	o->chats = int_or(a->chats, 256);
	o->return_share = dbl_or(a->returns, 0.7);
	o->stream_share = dbl_or(a->streams, 1);
	o->words_min = int_or(a->words_min, ANSWER_DEFAULT_WORDS);
	o->words_max = int_or(a->words_max, o->words_min);
	o->system_bytes = int_or(a->system_bytes, 400);
	o->prompt_bytes = int_or(a->prompt_bytes, 200);
	o->plain_path = a->plain->count > 0 ? a->plain->sval[0] : NULL;
	o->plain_share = dbl_or(a->plain_share, 0.1);
	o->key_share = dbl_or(a->key_share, 0.5);
	o->timeout_sec = dbl_or(a->timeout, 60);
	o->seed = (uint64_t)int_or(a->seed, 1);
	if (read_mix(&o->ranks, a->ranks, "rank") != PB_OK ||
	    read_mix(&o->accounts, a->accounts, "account") != PB_OK)
		return PB_EINVAL;
	return check_options(o);
}

static int
run_with(const struct arguments *a)
{
	struct load load = {.verbose = a->verbose->count > 0};
	int rc = 2;

	if (read_options(a, &load.options) != PB_OK)
		return rc;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (open_load(&load) != PB_OK || run_load(&load) != PB_OK) {
		fprintf(stderr, "pb-load: out of memory\n");
	} else {
		load_print_stats(load.stats, stdout, a->json->count > 0);
		rc = load_count_faults(load.stats) > 0 ? 1 : 0;
	}
	close_load(&load);
	curl_global_cleanup();
	return rc;
}

static void
print_help(void *table[])
{
	printf("Usage: pb-load");
	arg_print_syntax(stdout, table, "\n");
	arg_print_glossary(stdout, table, "  %-26s %s\n");
	printf("Exit code: 0; 1 when an answer had a wrong byte, was\n"
	       "truncated but reported as complete, or a call ran twice;\n"
	       "2 for wrong usage or when memory ran out.\n");
}

int
main(int argc, char **argv)
{
	struct arguments a = {.routers = arg_strn(NULL, "router", "ADDR", 1,
				  ROUTERS_MAX, "host:port"),
	    .ranks = arg_strn(NULL, "rank", "NAME[=WEIGHT]", 1, LOAD_MIX_MAX,
		"rank and its weight among the requests"),
	    .accounts = arg_strn(NULL, "account", "KEY[=WEIGHT]", 1,
		LOAD_MIX_MAX, "bearer key and its weight among the requests"),
	    .model =
		arg_str0(NULL, "model", "NAME", "chat model, default layout"),
	    .plain =
		arg_str0(NULL, "plain", "PATH", "send plain calls to PATH/N"),
	    .duration = arg_dbl0(NULL, "duration", "SEC",
		"how long to send requests, default 10"),
	    .rate = arg_dbl0(NULL, "rate", "N",
		"requests per second, default 0: closed loop"),
	    .returns = arg_dbl0(
		NULL, "returns", "P", "share of returning chats, default 0.7"),
	    .streams = arg_dbl0(
		NULL, "streams", "P", "share of streamed chats, default 1"),
	    .plain_share = arg_dbl0(
		NULL, "plain-share", "P", "share of plain calls, default 0.1"),
	    .key_share = arg_dbl0(NULL, "key-share", "P",
		"share of plain calls with an idempotency key, default 0.5"),
	    .timeout = arg_dbl0(
		NULL, "timeout", "SEC", "timeout of a request, default 60"),
	    .concurrency = arg_int0(NULL, "concurrency", "N",
		"requests in flight, default 16; with --rate the maximum, "
		"default 1024"),
	    .chats = arg_int0(
		NULL, "chats", "N", "chats that may return, default 256"),
	    .words_min =
		arg_int0(NULL, "words", "N", "shortest answer, default 32"),
	    .words_max = arg_int0(
		NULL, "words-max", "N", "longest answer, default as --words"),
	    .system_bytes = arg_int0(NULL, "system-bytes", "N",
		"size of the system message, default 400"),
	    .prompt_bytes = arg_int0(NULL, "prompt-bytes", "N",
		"size of a user message, default 200"),
	    .seed = arg_int0(
		NULL, "seed", "N", "seed of the random requests, default 1"),
	    .json = arg_lit0(NULL, "json", "print one JSON object"),
	    .verbose = arg_lit0(
		NULL, "verbose", "print every request that was not complete"),
	    .help = arg_lit0(NULL, "help", "print this help"),
	    .end = arg_end(8)};
	void *table[] = {a.routers, a.ranks, a.accounts, a.model, a.plain,
	    a.duration, a.rate, a.returns, a.streams, a.plain_share,
	    a.key_share, a.timeout, a.concurrency, a.chats, a.words_min,
	    a.words_max, a.system_bytes, a.prompt_bytes, a.seed, a.json,
	    a.verbose, a.help, a.end};
	int errors = arg_parse(argc, argv, table), rc = 2;

	if (a.help->count > 0) {
		print_help(table);
		rc = 0;
	} else if (errors > 0) {
		arg_print_errors(stderr, a.end, "pb-load");
	} else {
		rc = run_with(&a);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
