/*
 * Stand-in for a model engine: continuous batching with a limited number of
 * places, a bounded prefix cache, token streaming, resume and cancel of
 * streams, and a load report that lags.
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
#define STREAM_KEEP_US (60 * PB_SEC) /* a broken stream can be resumed */
#define CRASH_MARK "crash-the-engine"

struct stream {
	bool used;
	bool cancelled;
	char request[40];
	char *prompt;
	unsigned int words;
	unsigned int prompt_tokens;
	unsigned int cached_tokens;
	int64_t touched_us;
	int runs; /* times that the request was started from the beginning */
};

struct engine {
	pthread_mutex_t lock;
	pthread_cond_t free_place;
	const char *id;
	uint64_t incarnation;
	int places;
	int running;
	int waiting;
	uint64_t work;
	double throttle;
	bool leaving;
	bool says_leaving; /* in the load report only; work is still taken */
	int64_t token_us;
	double prefill_rate; /* prompt tokens per second */
	int64_t lag_us;
	struct engine_cache *cache;
	struct engine_orders *orders;
	struct stream streams[STREAMS_MAX];
	/* Load as it was at the last report. */
	int64_t report_us;
	int report_running;
	int report_waiting;
	uint64_t report_work;
	uint64_t started;
	uint64_t max_running;
};

/* One chat request, parsed. */
struct chat {
	char request[40];
	json_t *body;
	struct pb_str prompt; /* content of the last user message */
	unsigned int words;
	unsigned int prompt_tokens;
	bool stream;
};

static void
refresh_report(struct engine *e)
{
	int64_t now = serve_now();

	if (now - e->report_us < e->lag_us)
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
	while (e->running >= e->places)
		pthread_cond_wait(&e->free_place, &e->lock);
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
	pthread_cond_signal(&e->free_place);
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

/* Finds or makes the record of a request; the lock is held. */
static struct stream *
open_stream(struct engine *e, const char *request)
{
	int64_t now = serve_now();
	struct stream *s = find_stream(e, request);
	int i;

	if (s != NULL)
		return s;
	for (i = 0; i < STREAMS_MAX; i++) {
		s = &e->streams[i];
		if (!s->used || now - s->touched_us > STREAM_KEEP_US) {
			free(s->prompt);
			memset(s, 0, sizeof(*s));
			s->used = true;
			pb_copy_str(s->request, sizeof(s->request), request);
			s->touched_us = now;
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
	c->stream = json_is_true(json_object_get(c->body, "stream"));
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
	s->touched_us = serve_now();
	cancelled = s->cancelled;
	pthread_mutex_unlock(&e->lock);
	return cancelled;
}

/* Streams words from number first on; false when the client went away. */
static bool
stream_words(struct engine *e, struct mg_connection *conn, struct stream *s,
    struct pb_str prompt, unsigned int first)
{
	struct pb_buf buf = {0};
	char word[ANSWER_WORD_LEN + 1];
	unsigned int i;
	bool ok = true;

	for (i = first; i < s->words && ok; i++) {
		serve_sleep(token_time(e));
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
answer_whole(struct engine *e, struct mg_connection *conn, struct stream *s,
    struct pb_str prompt)
{
	struct pb_buf text = {0};
	char word[ANSWER_WORD_LEN + 1];
	unsigned int i;
	int rc;

	for (i = 0; i < s->words; i++) {
		serve_sleep(token_time(e));
		answer_word(prompt, i, word);
		pb_append_buf(&text, word, ANSWER_WORD_LEN);
	}
	rc = serve_json(conn, 200,
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
refuse_leaving(struct mg_connection *conn)
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
	s = open_stream(e, c->request);
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

/* Keeps the prompt and its answer in the prefix cache. */
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
		return refuse_leaving(conn);
	if (parse_chat(conn, &c) != PB_OK || c.prompt.data == NULL) {
		json_decref(c.body);
		return serve_json(conn, 400,
		    json_pack("{s:{s:s}}", "error", "message", "bad request"));
	}
	if (memmem(c.prompt.data, c.prompt.len, CRASH_MARK,
		strlen(CRASH_MARK)) != NULL)
		_exit(3);
	work = c.prompt_tokens + c.words;
	enter_batch(e, work);
	cached = engine_cache_match(e->cache, c.body) / BYTES_PER_TOKEN;
	serve_sleep(
	    (int64_t)((c.prompt_tokens - cached) * 1e6 / e->prefill_rate));
	s = start_stream(e, &c, cached);
	if (s == NULL) {
		status = 503;
		mg_send_http_error(conn, 503, "%s", "too many streams");
	} else if (c.stream) {
		serve_begin_stream(conn, "text/event-stream", "");
		if (stream_words(e, conn, s, c.prompt, 0))
			mg_send_chunk(conn, "", 0);
	} else {
		status = answer_whole(e, conn, s, c.prompt);
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
	char *copy = NULL;
	unsigned int work = 0;

	json_decref(body);
	pthread_mutex_lock(&e->lock);
	s = find_stream(e, request);
	if (s != NULL && s->prompt != NULL) {
		copy = strdup(s->prompt);
		work = s->words;
		s->cancelled = false;
	}
	pthread_mutex_unlock(&e->lock);
	if (copy == NULL)
		return serve_json(conn, 404,
		    json_pack("{s:{s:s}}", "error", "message", "no stream"));
	prompt = pb_str_from(copy);
	enter_batch(e, work);
	serve_begin_stream(conn, "text/event-stream", "");
	if (stream_words(e, conn, s, prompt, after))
		mg_send_chunk(conn, "", 0);
	leave_batch(e, work);
	free(copy);
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
	return serve_json(conn, s != NULL ? 200 : 404, json_object());
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
	    (json_int_t)e->report_work, "capacity", e->places, "throttle",
	    e->throttle, "age_ms",
	    (json_int_t)((serve_now() - e->report_us) / PB_MSEC), "leaving",
	    (int)(e->leaving || e->says_leaving), "started",
	    (json_int_t)e->started, "max_running", (json_int_t)e->max_running);
	pthread_mutex_unlock(&e->lock);
	return serve_json(conn, 200, v);
}

/*
 * POST /control/state
 * {"leaving":bool,"says_leaving":bool,"throttle":number,"hold_orders":N}
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
		e->says_leaving = json_is_true(v);
	if ((v = json_object_get(body, "throttle")) != NULL)
		e->throttle = json_number_value(v);
	pthread_mutex_unlock(&e->lock);
	if ((v = json_object_get(body, "hold_orders")) != NULL)
		engine_orders_hold(e->orders, (int)json_integer_value(v));
	json_decref(body);
	return serve_json(conn, 200, json_object());
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
		return engine_orders_counts(e->orders, conn);
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
	mg = serve_start(address, e->places * 2 + 16, handle_request, e);
	serve_wait();
	pthread_mutex_lock(&e->lock);
	e->leaving = true;
	pthread_mutex_unlock(&e->lock);
	do {
		serve_sleep(20 * PB_MSEC);
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
	struct arg_int *places =
	    arg_int0(NULL, "places", "N", "requests in the batch, 42");
	struct arg_int *token =
	    arg_int0(NULL, "token-us", "US", "time for one token, 5000");
	struct arg_int *prefill =
	    arg_int0(NULL, "prefill", "N", "prompt tokens a second, 20000");
	struct arg_int *cache =
	    arg_int0(NULL, "cache", "BYTES", "prefix cache, 1000000");
	struct arg_int *lag =
	    arg_int0(NULL, "lag-ms", "MS", "age of load reports, 500");
	struct arg_str *fencing = arg_str0(NULL, "fencing", "refused|ignored",
	    "orders with an old number, refused");
	struct arg_end *end = arg_end(8);
	void *table[] = {
	    id, listen, places, token, prefill, cache, lag, fencing, end};
	struct engine *e = calloc(1, sizeof(*e));

	if (arg_parse(argc, argv, table) > 0 || e == NULL) {
		arg_print_errors(stderr, end, "pb-engine");
		arg_print_glossary(stderr, table, "  %-20s %s\n");
		free(e);
		return 1;
	}
	pthread_mutex_init(&e->lock, NULL);
	pthread_cond_init(&e->free_place, NULL);
	e->id = id->sval[0];
	e->incarnation = (uint64_t)time(NULL);
	e->places = places->count ? places->ival[0] : 42;
	e->token_us = token->count ? token->ival[0] : 5000;
	e->prefill_rate = prefill->count ? prefill->ival[0] : 20000;
	e->lag_us = (lag->count ? lag->ival[0] : 500) * PB_MSEC;
	e->throttle = 1;
	e->cache =
	    engine_cache_new(cache->count ? (size_t)cache->ival[0] : 1000000);
	e->orders = engine_orders_new(
	    fencing->count == 0 || strcmp(fencing->sval[0], "ignored") != 0);
	run_engine(e, listen->sval[0]);
	engine_orders_drop(e->orders);
	engine_cache_drop(e->cache);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	free(e);
	return 0;
}
