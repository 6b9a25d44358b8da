#ifndef POPLARBEAM_PLATFORM_HTTP_H
#define POPLARBEAM_PLATFORM_HTTP_H

#include <jansson.h>

#include "poplarbeam/platform.h"

/*
 * HTTP client of the platform adapters: calls to one base URL, usable from many
 * threads.
 */

struct pb_http_pool;

/* One call. path is appended to the base URL and is already escaped. */
struct pb_http_call {
	const char *method;
	const char *path;
	struct pb_str body;
	size_t max_body; /* bytes of the response; more is an error */
	bool write; /* changes state: never sent twice by the client */
	const char *step; /* for error reports */
	const char *etag; /* of the copy at hand; NULL or empty: none */
};

struct pb_http_reply {
	long status;
	char etag[48];
	struct pb_buf body; /* dropped by the caller */
};

/* base is "http://host:port"; NULL when memory runs out. */
struct pb_http_pool *pb_new_http_pool(
    struct pb_context *ctx, const char *base, int64_t timeout_us);
void pb_drop_http_pool(struct pb_context *ctx, struct pb_http_pool *pool);
/* host:port of the base URL, for error reports. */
const char *pb_http_peer(const struct pb_http_pool *pool);

/*
 * PB_OK with any HTTP status; PB_EUNAVAIL when the peer was not reached or, for
 * a read, when the connection broke; PB_ETIMEDOUT for a read; PB_EUNKNOWN for
 * a write of which bytes may have arrived; PB_EPROTO for a malformed response
 * to a read.
 */
int pb_call_platform(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, struct pb_http_reply *reply);

/*
 * Turns a status other than 2xx into a result code: 404 PB_ENOENT, 409
 * PB_ECONFLICT, 429 PB_EBUSY, 503 PB_EUNAVAIL, other 4xx PB_EINVAL; all other
 * statuses are PB_EUNKNOWN for a write and PB_EPROTO for a read.
 */
int pb_check_http_status(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, const struct pb_http_reply *reply);

/* Parses the body; NULL with PB_EPROTO recorded when it is not an object. */
json_t *pb_parse_http_body(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, const struct pb_http_reply *reply);

/* Appends src percent-encoded; slashes stay when keep_slash is set. */
int pb_append_escaped(struct pb_buf *buf, const char *src, bool keep_slash);

/*
 * Instances from the text of a list; the caller frees *out. Malformed entries
 * are left out. PB_OK, PB_EPROTO or PB_ENOMEM.
 */
int pb_parse_instances(struct pb_context *ctx, const char *peer,
    struct pb_str text, struct pb_instance **out, size_t *count);

#endif
