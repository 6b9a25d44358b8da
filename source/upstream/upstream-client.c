#include "upstream-head.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define POOL_SLOTS 1024 /* indexed by the hash of the address */
#define URL_MAX 2048 /* bytes, with the terminating NUL */

/* A handle of libcurl that keeps its connection open for reuse. */
struct idle_handle {
	struct idle_handle *next;
	CURL *curl;
};

/* Idle connections of one address. A colliding address replaces them. */
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
	/* curl_global_init counts its calls, so each client may call it. */
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
find_slot(struct pb_client *client, const char *address)
{
	return &client->slots[pb_hash_cstr(address, 0) % POOL_SLOTS];
}

static CURL *
take_handle(struct pb_client *client, const char *address)
{
	struct pool_slot *slot = find_slot(client, address);
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
	struct pool_slot *slot = find_slot(client, address);
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

/* State of one running call. */
struct transfer {
	struct pb_context *ctx;
	const struct pb_call *call;
	struct pb_sink *sink;
	struct pb_call_result *result;
	struct response_head head;
	bool idle_timeout;
	int send_count; /* times that libcurl was about to send the request */
	int64_t last_activity_us; /* when data was last received */
};

static size_t
on_header(char *data, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;
	struct response_head *head = &t->head;
	size_t len = size * count;

	t->last_activity_us = pb_now(t->ctx);
	switch (parse_response_head_line(head, data, len)) {
	case HEAD_INCOMPLETE:
		return len;
	case HEAD_INVALID:
		return 0;
	default:
		break;
	}
	t->result->status = head->status;
	if (t->sink->ops->head(
		t->sink, head->status, head->headers, head->header_count) == 0)
		return len;
	t->result->sink_stopped = true;
	return 0;
}

static size_t
on_body(char *data, size_t size, size_t count, void *arg)
{
	struct transfer *t = arg;
	size_t len = size * count;

	t->last_activity_us = pb_now(t->ctx);
	t->result->received += len;
	if (t->sink->ops->body(t->sink, data, len) != 0) {
		t->result->sink_stopped = true;
		return 0;
	}
	return len;
}

/*
 * Called by libcurl after the connection is established and before the request
 * is sent. If a reused connection breaks before the response, libcurl resends
 * the request on its own, outside of the retry budget and without reporting the
 * first attempt. Allowing only one send prevents that.
 */
static int
on_prerequest(
    void *arg, char *remote, char *local, int remote_port, int local_port)
{
	struct transfer *t = arg;

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
	return t->send_count++ == 0 ? CURL_PREREQFUNC_OK
				    : CURL_PREREQFUNC_ABORT;
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
	    pb_now(t->ctx) - t->last_activity_us > t->call->idle_us) {
		t->idle_timeout = true;
		return 1;
	}
	return 0;
}

/* True when no part of the call contains characters that end a line. */
static bool
is_valid_call(const struct pb_call *call)
{
	size_t i;

	for (i = 0; i < call->header_count; i++)
		if (!pb_is_valid_header(&call->headers[i]))
			return false;
	return pb_is_token(pb_str_from(call->method)) &&
	    call->target[0] == '/' && pb_is_printable(call->target);
}

/* Appends a header line. Frees the list and returns NULL if memory runs out. */
static struct curl_slist *
append_header(struct curl_slist *list, const struct pb_header *h)
{
	struct curl_slist *next = NULL;
	struct pb_buf line = {0};

	/* For an empty value, libcurl expects "Name;" instead of "Name:". */
	if (pb_append_buf(&line, h->name.data, h->name.len) == PB_OK &&
	    pb_append_fmt(&line, h->value.len > 0 ? ": " : ";") == PB_OK &&
	    pb_append_buf(&line, h->value.data, h->value.len) == PB_OK)
		next = curl_slist_append(list, line.data);
	if (next == NULL)
		curl_slist_free_all(list);
	pb_clear_buf(&line);
	return next;
}

/*
 * Returns NULL if memory runs out, so that no call is sent with headers
 * missing.
 */
static struct curl_slist *
build_headers(const struct pb_call *call)
{
	/* Disables "Expect: 100-continue", which costs a round trip. */
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	size_t i;

	for (i = 0; i < call->header_count && list != NULL; i++)
		list = append_header(list, &call->headers[i]);
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
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, on_prerequest);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, t);
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(curl, CURLOPT_XFERINFODATA, t);
}

static bool
has_body(const struct transfer *t)
{
	int status = t->result->status;

	return strcmp(t->call->method, "HEAD") != 0 && status != 204 &&
	    status != 304;
}

static int
set_result(struct transfer *t, CURLcode rc)
{
	struct pb_call_result *r = t->result;
	const char *peer = t->call->peer;

	r->sent = t->send_count > 0;
	if (rc == CURLE_OK && t->head.done &&
	    (t->head.framed || !has_body(t))) {
		r->complete = true;
		return PB_OK;
	}
	/* libcurl reports success when the connection ends within the head. */
	if (rc == CURLE_OK && !t->head.done)
		return pb_set_error(t->ctx, PB_EPROTO, "receive", peer,
		    "connection closed within the response head");
	if (t->head.fault != NULL)
		return pb_set_error(t->ctx, PB_EPROTO, "receive", peer,
		    "cannot read the response head: %s", t->head.fault);
	if (rc == CURLE_OK)
		return pb_set_error(t->ctx, PB_EPROTO, "receive", peer,
		    "response has neither Content-Length nor chunked encoding");
	if (r->sink_stopped)
		return pb_set_error(t->ctx, PB_EABORTED, "receive", peer,
		    "call aborted by the receiver of the response");
	if (!r->sent)
		return pb_set_error(t->ctx, PB_EUNAVAIL, "connect", peer, "%s",
		    curl_easy_strerror(rc));
	if (rc == CURLE_OPERATION_TIMEDOUT || t->idle_timeout)
		return pb_set_error(t->ctx, PB_ETIMEDOUT, "receive", peer,
		    "timed out after %llu bytes of the response body",
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
	    .last_activity_us = pb_now(ctx)};
	struct curl_slist *headers = NULL;
	char url[URL_MAX];
	CURL *curl;
	CURLcode rc;
	int code;

	memset(result, 0, sizeof(*result));
	if (!is_valid_call(call))
		return pb_set_error(ctx, PB_EINVAL, "send", call->peer,
		    "method, target or a header violates the HTTP syntax");
	if (snprintf(url, sizeof(url), "http://%s%s", call->address,
		call->target) >= (int)sizeof(url))
		return pb_set_error(ctx, PB_EINVAL, "send", call->peer,
		    "URL does not fit into %d bytes", URL_MAX);
	curl = take_handle(client, call->address);
	t.head.arena = pb_new_arena(ctx);
	headers = build_headers(call);
	if (curl == NULL || t.head.arena == NULL || headers == NULL) {
		code = pb_set_error(
		    ctx, PB_ENOMEM, "send", call->peer, "out of memory");
		goto done;
	}
	set_options(curl, &t, url);
	set_method(curl, call);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	rc = curl_easy_perform(curl);
	code = set_result(&t, rc);
done:
	curl_slist_free_all(headers);
	pb_drop_arena(ctx, t.head.arena);
	if (curl != NULL) {
		if (code == PB_OK && !call->fresh)
			return_handle(client, call->address, curl);
		else
			curl_easy_cleanup(curl);
	}
	return code;
}
