#include "poplarbeam/upstream.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define POOL_SLOTS 1024 /* peer addresses with idle connections */
#define TARGET_MAX 2048 /* bytes of a URL */

/* An idle handle keeps its connection open. */
struct idle_handle {
	struct idle_handle *next;
	CURL *curl;
};

struct pool_slot {
	pthread_mutex_t lock;
	struct idle_handle *idle;
	size_t count;
	char address[64];
};

struct pb_client {
	size_t idle_max;
	struct pool_slot slots[POOL_SLOTS];
};

struct pb_client *
pb_new_client(struct pb_context *ctx, size_t idle_max)
{
	struct pb_client *client = calloc(1, sizeof(*client));
	int i;

	(void)ctx;
	if (client == NULL)
		return NULL;
	/* Counted by libcurl, so that each client may do it. */
	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->idle_max = idle_max;
	for (i = 0; i < POOL_SLOTS; i++)
		pthread_mutex_init(&client->slots[i].lock, NULL);
	return client;
}

static void
clear_slot(struct pool_slot *slot)
{
	struct idle_handle *h, *next;

	for (h = slot->idle; h != NULL; h = next) {
		next = h->next;
		curl_easy_cleanup(h->curl);
		free(h);
	}
	slot->idle = NULL;
	slot->count = 0;
}

void
pb_drop_client(struct pb_context *ctx, struct pb_client *client)
{
	int i;

	(void)ctx;
	if (client == NULL)
		return;
	for (i = 0; i < POOL_SLOTS; i++) {
		clear_slot(&client->slots[i]);
		pthread_mutex_destroy(&client->slots[i].lock);
	}
	curl_global_cleanup();
	free(client);
}

static struct pool_slot *
slot_of(struct pb_client *client, const char *address)
{
	return &client->slots[pb_hash_cstr(address, 0) % POOL_SLOTS];
}

static CURL *
take_handle(struct pb_client *client, const char *address)
{
	struct pool_slot *slot = slot_of(client, address);
	struct idle_handle *h = NULL;
	CURL *curl;

	pthread_mutex_lock(&slot->lock);
	if (strcmp(slot->address, address) == 0 && slot->idle != NULL) {
		h = slot->idle;
		slot->idle = h->next;
		slot->count--;
	}
	pthread_mutex_unlock(&slot->lock);
	if (h == NULL)
		return curl_easy_init();
	curl = h->curl;
	free(h);
	curl_easy_reset(curl);
	return curl;
}

static void
return_handle(struct pb_client *client, const char *address, CURL *curl)
{
	struct pool_slot *slot = slot_of(client, address);
	struct idle_handle *h = malloc(sizeof(*h));

	pthread_mutex_lock(&slot->lock);
	if (strcmp(slot->address, address) != 0) {
		clear_slot(slot);
		pb_copy_str(slot->address, sizeof(slot->address), address);
	}
	if (h != NULL && slot->count < client->idle_max) {
		h->curl = curl;
		h->next = slot->idle;
		slot->idle = h;
		slot->count++;
		curl = NULL;
		h = NULL;
	}
	pthread_mutex_unlock(&slot->lock);
	free(h);
	if (curl != NULL)
		curl_easy_cleanup(curl);
}

/* State of one call while libcurl runs it. */
struct transfer {
	struct pb_context *ctx;
	const struct pb_call *call;
	struct pb_sink *sink;
	struct pb_call_result *result;
	struct pb_arena *arena;
	struct pb_header headers[PB_CALL_HEADERS_MAX];
	size_t header_count;
	bool framed; /* has a length or chunks */
	bool head_done;
	bool idled;
	int64_t last_us;
};

static int
deliver_head(struct transfer *t)
{
	if (t->head_done)
		return 0;
	t->head_done = true;
	if (t->sink->ops->head(
		t->sink, t->result->status, t->headers, t->header_count) == 0)
		return 0;
	t->result->sink_stopped = true;
	return -1;
}

static void
begin_head(struct transfer *t, const char *line, size_t len)
{
	char copy[32];

	pb_copy_str(copy, len < sizeof(copy) ? len + 1 : sizeof(copy), line);
	t->header_count = 0;
	t->framed = false;
	t->result->status = 0;
	if (strlen(copy) >= 12)
		t->result->status = atoi(copy + 9);
}

static void
store_header(struct transfer *t, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	size_t start, end = len;
	struct pb_header *h;

	if (colon == NULL || t->header_count >= PB_CALL_HEADERS_MAX)
		return;
	start = (size_t)(colon - line) + 1;
	while (start < end && line[start] == ' ')
		start++;
	while (end > start && (line[end - 1] == '\r' || line[end - 1] == '\n'))
		end--;
	h = &t->headers[t->header_count++];
	h->name = pb_arena_str(t->arena, line, (size_t)(colon - line));
	h->value = pb_arena_str(t->arena, line + start, end - start);
	if (h->name.data == NULL || h->value.data == NULL) {
		t->header_count--;
		return;
	}
	if (strcasecmp(h->name.data, "Content-Length") == 0 ||
	    strcasecmp(h->name.data, "Transfer-Encoding") == 0)
		t->framed = true;
}

static size_t
on_header(char *data, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;
	size_t len = size * count;

	t->last_us = pb_now(t->ctx);
	if (len > 5 && memcmp(data, "HTTP/", 5) == 0) {
		begin_head(t, data, len);
		return len;
	}
	if (len <= 2) {
		/* A 1xx head is followed by the real one. */
		if (t->result->status >= 200 && deliver_head(t) != 0)
			return 0;
		return len;
	}
	if (!t->head_done)
		store_header(t, data, len);
	return len;
}

static size_t
on_body(char *data, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;
	size_t len = size * count;

	t->last_us = pb_now(t->ctx);
	t->result->received += len;
	if (t->sink->ops->body(t->sink, data, len) != 0) {
		t->result->sink_stopped = true;
		return 0;
	}
	return len;
}

static int
on_progress(
    void *arg, curl_off_t dt, curl_off_t dn, curl_off_t ut, curl_off_t un)
{
	struct transfer *t = arg;

	(void)dt;
	(void)dn;
	(void)ut;
	(void)un;
	if (t->call->idle_us > 0 &&
	    pb_now(t->ctx) - t->last_us > t->call->idle_us) {
		t->idled = true;
		return 1;
	}
	return 0;
}

static struct curl_slist *
build_headers(const struct pb_call *call)
{
	struct curl_slist *list = NULL, *next;
	char line[2048];
	size_t i;

	/* No "Expect: 100-continue": it costs a round trip. */
	list = curl_slist_append(list, "Expect:");
	for (i = 0; i < call->header_count; i++) {
		const struct pb_header *h = &call->headers[i];

		snprintf(line, sizeof(line),
		    h->value.len > 0 ? "%.*s: %.*s" : "%.*s;", (int)h->name.len,
		    h->name.data, (int)h->value.len,
		    h->value.data != NULL ? h->value.data : "");
		next = curl_slist_append(list, line);
		if (next == NULL)
			break;
		list = next;
	}
	return list;
}

static void
set_method(CURL *curl, const struct pb_call *call)
{
	if (strcmp(call->method, "HEAD") == 0)
		curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
	else if (call->body.len > 0 || strcmp(call->method, "POST") == 0) {
		curl_easy_setopt(curl, CURLOPT_POST, 1L);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
		    call->body.data != NULL ? call->body.data : "");
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)call->body.len);
	}
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
}

static void
set_options(CURL *curl, struct transfer *t, const char *url)
{
	const struct pb_call *call = t->call;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(
	    curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_BUFFERSIZE, 4096L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)(call->connect_us / PB_MSEC));
	if (call->total_us > 0)
		curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
		    (long)(call->total_us / PB_MSEC) + 1);
	if (call->fresh) {
		curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	}
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(curl, CURLOPT_XFERINFODATA, t);
}

/* True when a byte of the request may have left this process. */
static bool
was_sent(CURL *curl, CURLcode rc)
{
	curl_off_t pre = 0;

	if (rc == CURLE_COULDNT_CONNECT || rc == CURLE_COULDNT_RESOLVE_HOST)
		return false;
	curl_easy_getinfo(curl, CURLINFO_PRETRANSFER_TIME_T, &pre);
	return pre > 0;
}

static bool
has_body(const struct transfer *t)
{
	int status = t->result->status;

	return strcmp(t->call->method, "HEAD") != 0 && status != 204 &&
	    status != 304;
}

static int
conclude(struct transfer *t, CURL *curl, CURLcode rc)
{
	struct pb_call_result *r = t->result;
	const char *peer = t->call->peer;

	r->sent = was_sent(curl, rc);
	if (rc == CURLE_OK && (t->framed || !has_body(t))) {
		r->complete = true;
		return PB_OK;
	}
	if (rc == CURLE_OK)
		return pb_set_error(t->ctx, PB_EPROTO, "receive", peer,
		    "answer has neither a length nor chunks");
	if (r->sink_stopped)
		return pb_set_error(t->ctx, PB_EABORTED, "receive", peer,
		    "broken off by the receiver");
	if (!r->sent)
		return pb_set_error(t->ctx, PB_EUNAVAIL, "connect", peer, "%s",
		    curl_easy_strerror(rc));
	if (rc == CURLE_OPERATION_TIMEDOUT || t->idled)
		return pb_set_error(t->ctx, PB_ETIMEDOUT, "receive", peer,
		    "no answer within the limit after %llu bytes",
		    (unsigned long long)r->received);
	return pb_set_error(
	    t->ctx, PB_EUNKNOWN, "receive", peer, "%s", curl_easy_strerror(rc));
}

int
pb_call_http(struct pb_context *ctx, struct pb_client *client,
    const struct pb_call *call, struct pb_sink *sink,
    struct pb_call_result *result)
{
	struct transfer t = {.ctx = ctx,
	    .call = call,
	    .sink = sink,
	    .result = result,
	    .last_us = pb_now(ctx)};
	struct curl_slist *headers = NULL;
	char url[TARGET_MAX];
	CURL *curl;
	CURLcode rc;
	int code;

	memset(result, 0, sizeof(*result));
	if (snprintf(url, sizeof(url), "http://%s%s", call->address,
		call->target) >= (int)sizeof(url))
		return pb_set_error(ctx, PB_EINVAL, "send", call->peer,
		    "target is longer than %d bytes", TARGET_MAX);
	curl = take_handle(client, call->address);
	t.arena = pb_new_arena(ctx);
	if (curl == NULL || t.arena == NULL) {
		code = pb_set_error(
		    ctx, PB_ENOMEM, "send", call->peer, "out of memory");
		goto done;
	}
	headers = build_headers(call);
	set_options(curl, &t, url);
	set_method(curl, call);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	rc = curl_easy_perform(curl);
	code = conclude(&t, curl, rc);
done:
	curl_slist_free_all(headers);
	pb_drop_arena(ctx, t.arena);
	if (curl != NULL) {
		if (code == PB_OK && !call->fresh)
			return_handle(client, call->address, curl);
		else
			curl_easy_cleanup(curl);
	}
	return code;
}
