/*
 * Stand-in for a model engine: continuous batching with a limited number of
 * slots, a bounded prefix cache, token streaming, resumption and cancellation
 * of streams, and a load report that lags because it is refreshed only at
 * intervals.
 */
#include "answer.h"
#include "engine-cache.h"
#include "engine-orders.h"
#include "serve.h"

#include <argtable2.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define STREAMS_MAX 4096
#define BYTES_PER_TOKEN 4
#define STREAM_RETENTION_US (60 * PB_SEC) /* to resume a broken stream */
/* A prompt with this text ends the process. */
#define CRASH_TRIGGER "crash-the-engine"

struct stream {
	bool used;
	bool cancelled;
	char request[40];
	char *prompt;
	unsigned int words; /* of the completion; one token each */
	unsigned int prompt_tokens;
	unsigned int cached_tokens;
	int64_t last_used_us;
	int runs; /* executions from the start, without resumptions */
};

struct engine {
	pthread_mutex_t lock;
	pthread_cond_t slot_free;
	const char *id;
	uint64_t incarnation;
	int slots; /* requests that the batch can hold */
	int running; /* requests in the batch */
	int waiting; /* requests that wait for a slot */
	uint64_t work; /* tokens of running and waiting requests */
	double throttle; /* speed as a fraction of the full speed */
	bool leaving;
	bool reports_leaving; /* in the load report only; requests still run */
	int64_t token_us; /* per token at full speed */
	double prefill_rate; /* prompt tokens per second */
	int64_t report_interval_us; /* between refreshes of the report */
	struct engine_cache *cache;
	struct engine_orders *orders;
	struct stream streams[STREAMS_MAX];
	/* Load at the last refresh of the load report. */
	int64_t report_us;
	int report_running;
	int report_waiting;
	uint64_t report_work;
	uint64_t started; /* requests that entered the batch */
	uint64_t max_running;
};

/* A parsed chat request. */
struct chat {
	char request[40];
	json_t *body;
	struct pb_str prompt; /* content of the last user message */
	unsigned int words;
	unsigned int prompt_tokens;
	bool streaming;
};

static void
refresh_report(struct engine *e)
{
	int64_t now = serve_now_us();

	if (now - e->report_us < e->report_interval_us)
		return;
	e->report_us = now;
	e->report_running = e->running;
	e->report_waiting = e->waiting;
	e->report_work = e->work;
}

static void
enter_batch(struct engine *e, unsigned int work)
{
	pthread_mutex_lock(&e->lock);
	refresh_report(e);
	e->waiting++;
	e->work += work;
	while (e->running >= e->slots)
		pthread_cond_wait(&e->slot_free, &e->lock);
	e->waiting--;
	e->running++;
	e->started++;
	if ((uint64_t)e->running > e->max_running)
		e->max_running = (uint64_t)e->running;
	pthread_mutex_unlock(&e->lock);
}

static void
leave_batch(struct engine *e, unsigned int work)
{
	pthread_mutex_lock(&e->lock);
	refresh_report(e);
	e->running--;
	e->work -= work;
	pthread_cond_signal(&e->slot_free);
	pthread_mutex_unlock(&e->lock);
}

static struct stream *
find_stream(struct engine *e, const char *request)
{
	int i;

	for (i = 0; i < STREAMS_MAX; i++) {
		if (e->streams[i].used &&
		    strcmp(e->streams[i].request, request) == 0)
			return &e->streams[i];
	}
	return NULL;
}

/*
 * Returns the stream of a request. If there is none, uses a free entry or one
 * whose retention time is over; NULL if there is no such entry. The caller
 * holds the lock.
 */
static struct stream *
find_or_add_stream(struct engine *e, const char *request)
{
	int64_t now = serve_now_us();
	struct stream *s = find_stream(e, request);
	int i;

	if (s != NULL)
		return s;
	for (i = 0; i < STREAMS_MAX; i++) {
		s = &e->streams[i];
		if (!s->used || now - s->last_used_us > STREAM_RETENTION_US) {
			free(s->prompt);
			memset(s, 0, sizeof(*s));
			s->used = true;
			pb_copy_str(s->request, sizeof(s->request), request);
			s->last_used_us = now;
			return s;
		}
	}
	return NULL;
}

static int
parse_chat(struct mg_connection *conn, struct chat *c)
{
	const char *request = mg_get_header(conn, "X-Request-Id");
	json_t *messages, *m, *max;
	size_t i, bytes = 0;

	memset(c, 0, sizeof(*c));
	pb_copy_str(c->request, sizeof(c->request), request);
	c->body = serve_read_json(conn);
	messages = json_object_get(c->body, "messages");
	if (!json_is_array(messages))
		return PB_EINVAL;
	json_array_foreach(messages, i, m)
	{
		json_t *content = json_object_get(m, "content");
		const char *role =
		    json_string_value(json_object_get(m, "role"));

		if (!json_is_string(content))
			return PB_EINVAL;
		bytes += json_string_length(content);
		if (role != NULL && strcmp(role, "user") == 0)
			c->prompt = (struct pb_str){json_string_value(content),
			    json_string_length(content)};
	}
	max = json_object_get(c->body, "max_tokens");
	c->words = json_is_integer(max) && json_integer_value(max) > 0
	    ? (unsigned int)json_integer_value(max)
	    : ANSWER_DEFAULT_WORDS;
	c->prompt_tokens = (unsigned int)(bytes / BYTES_PER_TOKEN) + 1;
	c->streaming = json_is_true(json_object_get(c->body, "stream"));
	return PB_OK;
}

static int64_t
token_time(struct engine *e)
{
	double throttle;

	pthread_mutex_lock(&e->lock);
	throttle = e->throttle;
	pthread_mutex_unlock(&e->lock);
	return (
	    int64_t)((double)e->token_us / (throttle > 0.01 ? throttle : 0.01));
}

static int
send_chunk(struct mg_connection *conn, struct pb_buf *buf)
{
	int rc = mg_send_chunk(conn, buf->data, (unsigned int)buf->len);

	buf->len = 0;
	return rc;
}

static bool
is_cancelled(struct engine *e, struct stream *s)
{
	bool cancelled;

	pthread_mutex_lock(&e->lock);
	s->last_used_us = serve_now_us();
	cancelled = s->cancelled;
	pthread_mutex_unlock(&e->lock);
	return cancelled;
}

/*
 * Streams the words from index first to the end, then the usage. Returns false
 * if the stream was cancelled or the client closed the connection.
 */
static bool
stream_words(struct engine *e, struct mg_connection *conn, struct stream *s,
    struct pb_str prompt, unsigned int first)
{
	struct pb_buf buf = {0};
	char word[ANSWER_WORD_LEN + 1];
	unsigned int i;
	bool ok = true;

	for (i = first; i < s->words && ok; i++) {
		serve_sleep_us(token_time(e));
		if (is_cancelled(e, s)) {
			ok = false;
			break;
		}
		answer_word(prompt, i, word);
		pb_append_fmt(&buf,
		    "id: %u\ndata: {\"id\":\"%s\",\"object\":"
		    "\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
		    "\"delta\":{\"content\":\"%s\"}}]}\n\n",
		    i + 1, s->request, word);
		ok = send_chunk(conn, &buf) > 0;
	}
	if (ok) {
		pb_append_fmt(&buf,
		    "id: %u\ndata: {\"id\":\"%s\",\"choices\":[],\"usage\":{"
		    "\"prompt_tokens\":%u,\"completion_tokens\":%u,"
		    "\"prompt_tokens_details\":{\"cached_tokens\":%u}}}\n\n"
		    "data: [DONE]\n\n",
		    s->words + 1, s->request, s->prompt_tokens, s->words,
		    s->cached_tokens);
		ok = send_chunk(conn, &buf) > 0;
	}
	pb_clear_buf(&buf);
	return ok;
}

static int
send_completion(struct engine *e, struct mg_connection *conn, struct stream *s,
    struct pb_str prompt)
{
	struct pb_buf text = {0};
	char word[ANSWER_WORD_LEN + 1];
	unsigned int i;
	int rc;

	for (i = 0; i < s->words; i++) {
		serve_sleep_us(token_time(e));
		answer_word(prompt, i, word);
		pb_append_buf(&text, word, ANSWER_WORD_LEN);
	}
	rc = serve_send_json(conn, 200,
	    json_pack("{s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:i,s:i,s:{s:i}}}",
		"id", s->request, "object", "chat.completion", "choices",
		"index", 0, "message", "role", "assistant", "content",
		text.data != NULL ? text.data : "", "finish_reason", "stop",
		"usage", "prompt_tokens", (int)s->prompt_tokens,
		"completion_tokens", (int)s->words, "prompt_tokens_details",
		"cached_tokens", (int)s->cached_tokens));
	pb_clear_buf(&text);
	return rc;
}

static int
reject_while_leaving(struct mg_connection *conn)
{
	mg_printf(conn,
	    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: leaving\r\n"
	    "Content-Length: 0\r\n\r\n");
	return 503;
}

static struct stream *
start_stream(struct engine *e, struct chat *c, unsigned int cached)
{
	struct stream *s;

	pthread_mutex_lock(&e->lock);
	s = find_or_add_stream(e, c->request);
	if (s != NULL) {
		free(s->prompt);
		s->prompt = strndup(c->prompt.data, c->prompt.len);
		s->words = c->words;
		s->prompt_tokens = c->prompt_tokens;
		s->cached_tokens = cached;
		s->cancelled = false;
		s->runs++;
	}
	pthread_mutex_unlock(&e->lock);
	return s;
}

/* Adds the messages of a request and its completion to the prefix cache. */
static void
cache_answer(struct engine *e, const struct chat *c)
{
	char word[ANSWER_WORD_LEN + 1];
	struct pb_buf text = {0};
	unsigned int i;

	for (i = 0; i < c->words; i++) {
		answer_word(c->prompt, i, word);
		pb_append_buf(&text, word, ANSWER_WORD_LEN);
	}
	engine_cache_insert(
	    e->cache, c->body, (struct pb_str){text.data, text.len});
	pb_clear_buf(&text);
}

static int
handle_chat(struct engine *e, struct mg_connection *conn)
{
	struct stream *s;
	struct chat c;
	unsigned int cached, work;
	int status = 200;

	if (e->leaving)
		return reject_while_leaving(conn);
	if (parse_chat(conn, &c) != PB_OK || c.prompt.data == NULL) {
		json_decref(c.body);
		return serve_send_json(conn, 400,
		    json_pack("{s:{s:s}}", "error", "message", "bad request"));
	}
	if (memmem(c.prompt.data, c.prompt.len, CRASH_TRIGGER,
		strlen(CRASH_TRIGGER)) != NULL)
		_exit(3);
	work = c.prompt_tokens + c.words;
	enter_batch(e, work);
	cached = engine_cache_match(e->cache, c.body) / BYTES_PER_TOKEN;
	serve_sleep_us(
	    (int64_t)((c.prompt_tokens - cached) * 1e6 / e->prefill_rate));
	s = start_stream(e, &c, cached);
	if (s == NULL) {
		status = 503;
		mg_send_http_error(conn, 503, "%s", "too many streams");
	} else if (c.streaming) {
		serve_begin_chunked(conn, "text/event-stream", "");
		if (stream_words(e, conn, s, c.prompt, 0))
			mg_send_chunk(conn, "", 0);
	} else {
		status = send_completion(e, conn, s, c.prompt);
	}
	cache_answer(e, &c);
	leave_batch(e, work);
	json_decref(c.body);
	return status;
}

static int
handle_resume(struct engine *e, struct mg_connection *conn, const char *request)
{
	json_t *body = serve_read_json(conn);
	unsigned int after =
	    (unsigned int)json_integer_value(json_object_get(body, "after"));
	struct stream *s;
	struct pb_str prompt;
	char *prompt_copy = NULL;
	unsigned int work = 0;

	json_decref(body);
	pthread_mutex_lock(&e->lock);
	s = find_stream(e, request);
	if (s != NULL && s->prompt != NULL) {
		prompt_copy = strdup(s->prompt);
		work = s->words;
		s->cancelled = false;
	}
	pthread_mutex_unlock(&e->lock);
	if (prompt_copy == NULL)
		return serve_send_json(conn, 404,
		    json_pack("{s:{s:s}}", "error", "message", "no stream"));
	prompt = pb_str_from(prompt_copy);
	enter_batch(e, work);
	serve_begin_chunked(conn, "text/event-stream", "");
	if (stream_words(e, conn, s, prompt, after))
		mg_send_chunk(conn, "", 0);
	leave_batch(e, work);
	free(prompt_copy);
	return 200;
}

static int
handle_cancel(struct engine *e, struct mg_connection *conn, const char *request)
{
	struct stream *s;

	pthread_mutex_lock(&e->lock);
	s = find_stream(e, request);
	if (s != NULL)
		s->cancelled = true;
	pthread_mutex_unlock(&e->lock);
	return serve_send_json(conn, s != NULL ? 200 : 404, json_object());
}

static int
handle_load(struct engine *e, struct mg_connection *conn)
{
	json_t *v;

	pthread_mutex_lock(&e->lock);
	refresh_report(e);
	v = json_pack("{s:s,s:I,s:i,s:i,s:I,s:i,s:f,s:I,s:b,s:I,s:I}",
	    "instance", e->id, "incarnation", (json_int_t)e->incarnation,
	    "running", e->report_running, "waiting", e->report_waiting, "work",
	    (json_int_t)e->report_work, "capacity", e->slots, "throttle",
	    e->throttle, "age_ms",
	    (json_int_t)((serve_now_us() - e->report_us) / PB_MSEC), "leaving",
	    (int)(e->leaving || e->reports_leaving), "started",
	    (json_int_t)e->started, "max_running", (json_int_t)e->max_running);
	pthread_mutex_unlock(&e->lock);
	return serve_send_json(conn, 200, v);
}

/*
 * Serves POST /control/state with the body
 * {"leaving":bool,"says_leaving":bool,"throttle":number,"hold_orders":N}, in
 * which every field is optional.
 */
static int
handle_control(struct engine *e, struct mg_connection *conn)
{
	json_t *body = serve_read_json(conn);
	json_t *v;

	pthread_mutex_lock(&e->lock);
	if ((v = json_object_get(body, "leaving")) != NULL)
		e->leaving = json_is_true(v);
	if ((v = json_object_get(body, "says_leaving")) != NULL)
		e->reports_leaving = json_is_true(v);
	if ((v = json_object_get(body, "throttle")) != NULL)
		e->throttle = json_number_value(v);
	pthread_mutex_unlock(&e->lock);
	if ((v = json_object_get(body, "hold_orders")) != NULL)
		engine_orders_hold(e->orders, (int)json_integer_value(v));
	json_decref(body);
	return serve_send_json(conn, 200, json_object());
}

static int
handle_request(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	const char *uri = ri->local_uri;
	struct engine *e = arg;
	char request[40];
	int end = 0;

	if (strcmp(uri, "/v1/chat/completions") == 0)
		return handle_chat(e, conn);
	if (strcmp(uri, "/v1/load") == 0)
		return handle_load(e, conn);
	if (strcmp(uri, "/control/state") == 0)
		return handle_control(e, conn);
	if (strcmp(uri, "/control/orders") == 0)
		return engine_orders_serve_counts(e->orders, conn);
	if (strncmp(uri, "/v1/orders/", 11) == 0)
		return engine_orders_serve(e->orders, conn, uri + 11);
	if (sscanf(uri, "/v1/streams/%39[^/]%n", request, &end) == 1) {
		if (strcmp(uri + end, "/resume") == 0)
			return handle_resume(e, conn, request);
		if (strcmp(ri->request_method, "DELETE") == 0)
			return handle_cancel(e, conn, request);
	}
	mg_send_http_error(conn, 404, "%s", "not found");
	return 404;
}

static void
run_engine(struct engine *e, const char *address)
{
	struct mg_context *mg;
	bool idle;

	serve_block_signals();
	mg = serve_start(address, e->slots * 2 + 16, handle_request, e);
	serve_until_signal();
	pthread_mutex_lock(&e->lock);
	e->leaving = true;
	pthread_mutex_unlock(&e->lock);
	do {
		serve_sleep_us(20 * PB_MSEC);
		pthread_mutex_lock(&e->lock);
		idle = e->running == 0 && e->waiting == 0;
		pthread_mutex_unlock(&e->lock);
	} while (!idle);
	mg_stop(mg);
}

int
main(int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, "id", "NAME", "instance id");
	struct arg_str *listen = arg_str1(NULL, "listen", "ADDR", "host:port");
	struct arg_int *slots =
	    arg_int0(NULL, "places", "N", "requests in the batch (default 42)");
	struct arg_int *token =
	    arg_int0(NULL, "token-us", "US", "time per token (default 5000)");
	struct arg_int *prefill = arg_int0(NULL, "prefill", "N",
	    "prompt tokens processed per second (default 20000)");
	struct arg_int *cache = arg_int0(NULL, "cache", "BYTES",
	    "size of the prefix cache (default 1000000)");
	struct arg_int *lag = arg_int0(NULL, "lag-ms", "MS",
	    "interval of load report updates (default 500)");
	struct arg_str *fencing = arg_str0(NULL, "fencing", "refused|ignored",
	    "handling of orders with a stale fencing number (default refused)");
	struct arg_end *end = arg_end(8);
	void *table[] = {
	    id, listen, slots, token, prefill, cache, lag, fencing, end};
	struct engine *e = calloc(1, sizeof(*e));

	if (arg_parse(argc, argv, table) > 0 || e == NULL) {
		arg_print_errors(stderr, end, "pb-engine");
		arg_print_glossary(stderr, table, "  %-20s %s\n");
		free(e);
		return 1;
	}
	pthread_mutex_init(&e->lock, NULL);
	pthread_cond_init(&e->slot_free, NULL);
	e->id = id->sval[0];
	e->incarnation = (uint64_t)time(NULL);
	e->slots = slots->count ? slots->ival[0] : 42;
	e->token_us = token->count ? token->ival[0] : 5000;
	e->prefill_rate = prefill->count ? prefill->ival[0] : 20000;
	e->report_interval_us = (lag->count ? lag->ival[0] : 500) * PB_MSEC;
	e->throttle = 1;
	e->cache =
	    engine_cache_new(cache->count ? (size_t)cache->ival[0] : 1000000);
	e->orders = engine_orders_new(
	    fencing->count == 0 || strcmp(fencing->sval[0], "ignored") != 0);
	run_engine(e, listen->sval[0]);
	engine_orders_free(e->orders);
	engine_cache_free(e->cache);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	free(e);
	return 0;
}
