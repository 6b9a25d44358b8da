#include "platform-http.h"

#include "poplarbeam/upstream.h"

#include <stdlib.h>
#include <string.h>

#define IDLE_CONNECTIONS_MAX 16 /* idle connections kept open */
#define CONNECT_TIMEOUT_MAX_US PB_SEC /* to set up a connection */

struct pb_http_pool {
	char peer[64]; /* host:port */
	int64_t timeout_us;
	struct pb_client *client;
};

struct pb_http_pool *
pb_new_http_pool(struct pb_context *ctx, const char *base, int64_t timeout_us)
{
	struct pb_http_pool *pool = calloc(1, sizeof(*pool));
	const char *host = strstr(base, "://");

	if (pool != NULL)
		pool->client = pb_new_client(ctx, IDLE_CONNECTIONS_MAX);
	if (pool == NULL || pool->client == NULL) {
		free(pool);
		pb_set_error(ctx, PB_ENOMEM, "open", base, "out of memory");
		return NULL;
	}
	pb_copy_str(
	    pool->peer, sizeof(pool->peer), host != NULL ? host + 3 : base);
	pool->timeout_us = timeout_us;
	return pool;
}

void
pb_drop_http_pool(struct pb_context *ctx, struct pb_http_pool *pool)
{
	if (pool == NULL)
		return;
	pb_drop_client(ctx, pool->client);
	free(pool);
}

const char *
pb_http_peer(const struct pb_http_pool *pool)
{
	return pool->peer;
}

/*
 * Maps the error of a failed call to a code that tells whether the call may
 * have changed the state of the peer.
 */
static enum pb_code
map_call_error(
    const struct pb_http_call *call, int rc, const struct pb_call_result *res)
{
	if (!res->sent || rc == PB_ENOMEM || rc == PB_EINVAL)
		return rc;
	if (call->write)
		return PB_EUNKNOWN;
	if (rc == PB_EABORTED)
		return PB_EPROTO; /* the body is longer than max_body */
	return rc == PB_EUNKNOWN ? PB_EUNAVAIL : rc;
}

int
pb_call_platform(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, struct pb_http_response *response)
{
	struct pb_header headers[2];
	struct pb_call http = {.peer = pool->peer,
	    .address = pool->peer,
	    .method = call->method,
	    .target = call->path,
	    .headers = headers,
	    .body = call->body,
	    .fresh = call->write,
	    .connect_us = pool->timeout_us < CONNECT_TIMEOUT_MAX_US
		? pool->timeout_us
		: CONNECT_TIMEOUT_MAX_US,
	    .total_us = pool->timeout_us};
	struct pb_call_result res;
	struct pb_buffer_sink sink;
	char text[128];
	int rc;

	memset(response, 0, sizeof(*response));
	if (call->body.data != NULL)
		headers[http.header_count++] =
		    (struct pb_header){pb_str_from("Content-Type"),
			pb_str_from("application/json")};
	if (call->etag != NULL && call->etag[0] != '\0')
		headers[http.header_count++] = (struct pb_header){
		    pb_str_from("If-None-Match"), pb_str_from(call->etag)};
	pb_init_buffer_sink(&sink, call->max_body);
	rc = pb_call_http(ctx, pool->client, &http, &sink.base, &res);
	if (rc != PB_OK) {
		pb_copy_str(text, sizeof(text), ctx->error.text);
		pb_clear_buf(&sink.body);
		return pb_set_error(ctx, map_call_error(call, rc, &res),
		    call->step, pool->peer, "%s: %s", call->path, text);
	}
	response->status = res.status;
	response->body = sink.body;
	pb_copy_str(response->etag, sizeof(response->etag), sink.etag);
	return PB_OK;
}

int
pb_check_http_status(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, const struct pb_http_response *response)
{
	enum pb_code code;

	if (response->status >= 200 && response->status < 300)
		return PB_OK;
	if (response->status == 304 && call->etag != NULL)
		return PB_UNCHANGED;
	if (response->status == 404)
		code = PB_ENOENT;
	else if (response->status == 409)
		code = PB_ECONFLICT;
	else if (response->status == 429)
		code = PB_EBUSY;
	else if (response->status == 503)
		code = PB_EUNAVAIL;
	else if (response->status >= 400 && response->status < 500)
		code = PB_EINVAL;
	else
		code = call->write ? PB_EUNKNOWN : PB_EPROTO;
	return pb_set_error(ctx, code, call->step, pool->peer,
	    "%s: HTTP status %ld: %.80s", call->path, response->status,
	    response->body.data != NULL ? response->body.data : "");
}

json_t *
pb_parse_http_body(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, const struct pb_http_response *response)
{
	json_error_t error = {0};
	json_t *root = json_loadb(response->body.data, response->body.len,
	    JSON_REJECT_DUPLICATES, &error);

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
