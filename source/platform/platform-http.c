#include "platform-http.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_MAX 16 /* handles kept, each with its own open connection */
#define CONNECT_MAX_US PB_SEC /* longest wait for a connection */

struct pb_http_pool {
	char base[128];
	char peer[64];
	int64_t timeout_us;
	pthread_mutex_t lock;
	CURL *idle[IDLE_MAX];
	int idle_count;
};

struct sink {
	struct pb_buf *buf;
	size_t max;
	bool no_memory;
};

struct pb_http_pool *
pb_new_http_pool(struct pb_context *ctx, const char *base, int64_t timeout_us)
{
	struct pb_http_pool *pool = calloc(1, sizeof(*pool));
	const char *host = strstr(base, "://");

	if (pool == NULL || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		free(pool);
		pb_set_error(ctx, PB_ENOMEM, "open", base, "no memory");
		return NULL;
	}
	pb_copy_str(pool->base, sizeof(pool->base), base);
	pb_copy_str(
	    pool->peer, sizeof(pool->peer), host != NULL ? host + 3 : base);
	pool->timeout_us = timeout_us;
	pthread_mutex_init(&pool->lock, NULL);
	return pool;
}

void
pb_drop_http_pool(struct pb_context *ctx, struct pb_http_pool *pool)
{
	(void)ctx;
	if (pool == NULL)
		return;
	while (pool->idle_count > 0)
		curl_easy_cleanup(pool->idle[--pool->idle_count]);
	pthread_mutex_destroy(&pool->lock);
	free(pool);
	curl_global_cleanup();
}

const char *
pb_http_peer(const struct pb_http_pool *pool)
{
	return pool->peer;
}

static CURL *
borrow_handle(struct pb_http_pool *pool)
{
	CURL *curl = NULL;

	pthread_mutex_lock(&pool->lock);
	if (pool->idle_count > 0)
		curl = pool->idle[--pool->idle_count];
	pthread_mutex_unlock(&pool->lock);
	return curl != NULL ? curl : curl_easy_init();
}

static void
return_handle(struct pb_http_pool *pool, CURL *curl)
{
	curl_easy_reset(curl);
	pthread_mutex_lock(&pool->lock);
	if (pool->idle_count < IDLE_MAX) {
		pool->idle[pool->idle_count++] = curl;
		curl = NULL;
	}
	pthread_mutex_unlock(&pool->lock);
	curl_easy_cleanup(curl);
}

static size_t
store_body(char *data, size_t size, size_t count, void *arg)
{
	struct sink *sink = arg;
	size_t len = size * count;

	if (len > sink->max - sink->buf->len)
		return 0;
	if (pb_append_buf(sink->buf, data, len) != PB_OK) {
		sink->no_memory = true;
		return 0;
	}
	return len;
}

static long
to_ms(int64_t us)
{
	return us < PB_MSEC ? 1 : (long)(us / PB_MSEC);
}

static void
set_limits(CURL *curl, const struct pb_http_pool *pool)
{
	int64_t connect = pool->timeout_us < CONNECT_MAX_US ? pool->timeout_us
							    : CONNECT_MAX_US;

	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, to_ms(pool->timeout_us));
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, to_ms(connect));
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	/* An empty string keeps proxy variables of the environment out. */
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
}

static void
set_body(CURL *curl, const struct pb_http_call *call)
{
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
	if (call->body.data == NULL)
		return;
	curl_easy_setopt(curl, CURLOPT_POST, 1L);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body.data);
	curl_easy_setopt(
	    curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)call->body.len);
}

/* True when no byte of the request can have left this instance. */
static bool
was_not_sent(CURL *curl, CURLcode result)
{
	curl_off_t connect_us = 0;
	long bytes = 0;

	if (result == CURLE_COULDNT_RESOLVE_HOST ||
	    result == CURLE_COULDNT_CONNECT || result == CURLE_URL_MALFORMAT ||
	    result == CURLE_UNSUPPORTED_PROTOCOL)
		return true;
	if (curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connect_us) !=
		CURLE_OK ||
	    curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &bytes) != CURLE_OK)
		return false;
	return connect_us == 0 && bytes == 0;
}

static int
report_failure(struct pb_context *ctx, struct pb_http_pool *pool, CURL *curl,
    const struct pb_http_call *call, CURLcode result, const struct sink *sink)
{
	enum pb_code code = PB_EUNAVAIL;
	const char *text = curl_easy_strerror(result);

	if (result == CURLE_WRITE_ERROR)
		text = sink->no_memory ? "no memory for the response"
				       : "response exceeds the size limit";
	if (was_not_sent(curl, result))
		code = PB_EUNAVAIL;
	else if (call->write)
		code = PB_EUNKNOWN;
	else if (result == CURLE_OPERATION_TIMEDOUT)
		code = PB_ETIMEDOUT;
	else if (result == CURLE_WRITE_ERROR)
		code = sink->no_memory ? PB_ENOMEM : PB_EPROTO;
	else if (result == CURLE_WEIRD_SERVER_REPLY ||
	    result == CURLE_BAD_CONTENT_ENCODING ||
	    result == CURLE_UNSUPPORTED_PROTOCOL)
		code = PB_EPROTO;
	return pb_set_error(
	    ctx, code, call->step, pool->peer, "%s: %s", call->path, text);
}

int
pb_call_http(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, struct pb_http_reply *reply)
{
	struct sink sink = {&reply->body, call->max_body, false};
	struct curl_slist *headers = NULL;
	struct pb_buf url = {0};
	CURL *curl = borrow_handle(pool);
	CURLcode result;
	int rc = PB_OK;

	memset(reply, 0, sizeof(*reply));
	/* Without this, libcurl waits for "100 Continue" on large bodies. */
	headers = curl_slist_append(headers, "Expect:");
	if (headers != NULL && call->body.data != NULL)
		curl_slist_append(headers, "Content-Type: application/json");
	if (curl == NULL || headers == NULL ||
	    pb_append_fmt(&url, "%s%s", pool->base, call->path) != PB_OK) {
		rc = pb_set_error(
		    ctx, PB_ENOMEM, call->step, pool->peer, "no memory");
		goto out;
	}
	set_limits(curl, pool);
	set_body(curl, call);
	curl_easy_setopt(curl, CURLOPT_URL, url.data);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, store_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &sink);
	if (call->write) {
		/*
		 * libcurl resends a request when a reused connection turns
		 * out to be broken, which could apply a write twice.
		 */
		curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	}
	result = curl_easy_perform(curl);
	if (result != CURLE_OK)
		rc = report_failure(ctx, pool, curl, call, result, &sink);
	else
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply->status);
out:
	if (rc != PB_OK)
		pb_clear_buf(&reply->body);
	if (curl != NULL)
		return_handle(pool, curl);
	curl_slist_free_all(headers);
	pb_clear_buf(&url);
	return rc;
}

int
pb_check_http_status(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, const struct pb_http_reply *reply)
{
	enum pb_code code;

	if (reply->status >= 200 && reply->status < 300)
		return PB_OK;
	if (reply->status == 404)
		code = PB_ENOENT;
	else if (reply->status == 409)
		code = PB_ECONFLICT;
	else if (reply->status == 429)
		code = PB_EBUSY;
	else if (reply->status == 503)
		code = PB_EUNAVAIL;
	else if (reply->status >= 400 && reply->status < 500)
		code = PB_EINVAL;
	else
		code = call->write ? PB_EUNKNOWN : PB_EPROTO;
	return pb_set_error(ctx, code, call->step, pool->peer,
	    "%s: status %ld: %.80s", call->path, reply->status,
	    reply->body.data != NULL ? reply->body.data : "");
}

json_t *
pb_parse_http_body(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, const struct pb_http_reply *reply)
{
	json_error_t error = {0};
	json_t *root = json_loadb(
	    reply->body.data, reply->body.len, JSON_REJECT_DUPLICATES, &error);

	if (json_is_object(root))
		return root;
	pb_set_error(ctx, PB_EPROTO, call->step, pool->peer,
	    "%s: response is not a JSON object: %s", call->path, error.text);
	json_decref(root);
	return NULL;
}

int
pb_append_escaped(struct pb_buf *buf, const char *src, bool keep_slash)
{
	static const char plain[] =
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	    "0123456789-._~";
	int rc = PB_OK;

	for (; *src != '\0' && rc == PB_OK; src++) {
		if (strchr(plain, *src) != NULL || (keep_slash && *src == '/'))
			rc = pb_append_buf(buf, src, 1);
		else
			rc = pb_append_fmt(
			    buf, "%%%02X", (unsigned)(unsigned char)*src);
	}
	return rc;
}
