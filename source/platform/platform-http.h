#ifndef POPLARBEAM_PLATFORM_HTTP_H
#define POPLARBEAM_PLATFORM_HTTP_H

#include <jansson.h>

#include "poplarbeam/platform.h"

/*
 * HTTP client for the services of the platform. A pool makes calls to one base
 * URL and may be used from many threads.
 */

struct pb_http_pool;

/* One request. path is appended to the base URL and must be escaped. */
struct pb_http_call {
	const char *method;
	const char *path;
	struct pb_str body;
	size_t max_body; /* bytes; a longer response is an error */
	bool write; /* changes state, so the client never resends it */
	const char *step; /* for error reports */
	const char *etag; /* of the cached copy; NULL or empty: none */
};

struct pb_http_response {
	long status;
	char etag[48];
	struct pb_buf body; /* freed by the caller */
};

/* base is "http://host:port". Returns NULL when memory runs out. */
struct pb_http_pool *pb_new_http_pool(
    struct pb_context *ctx, const char *base, int64_t timeout_us);
void pb_drop_http_pool(struct pb_context *ctx, struct pb_http_pool *pool);
/* Returns host:port of the base URL, for error reports. */
const char *pb_http_peer(const struct pb_http_pool *pool);

/*
 * Sends a request and receives the response. Returns PB_OK for any HTTP status.
 * Returns PB_EUNAVAIL when the peer could not be reached or when the connection
 * broke during a read, PB_ETIMEDOUT when a read timed out, PB_EPROTO when the
 * response to a read is malformed, and PB_EUNKNOWN when a write failed after
 * bytes of it may have arrived.
 */
int pb_call_platform(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, struct pb_http_response *response);

/*
 * Turns a status other than 2xx into a result code: 404 PB_ENOENT, 409
 * PB_ECONFLICT, 429 PB_EBUSY, 503 PB_EUNAVAIL, other 4xx PB_EINVAL; all other
 * statuses are PB_EUNKNOWN for a write and PB_EPROTO for a read.
 */
int pb_check_http_status(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, const struct pb_http_response *response);

/*
 * Parses the body. Returns NULL and records PB_EPROTO when the body is not a
 * JSON object.
 */
json_t *pb_parse_http_body(struct pb_context *ctx, struct pb_http_pool *pool,
    const struct pb_http_call *call, const struct pb_http_response *response);

/* Appends src percent-encoded, but keeps slashes when keep_slash is set. */
int pb_append_escaped(struct pb_buf *buf, const char *src, bool keep_slash);

/* platform-split.c */
/*
 * Finds the member of a JSON object that is an array. Returns false if there is
 * none or the document is cut short.
 */
bool pb_find_array(struct pb_str text, const char *name, struct pb_str *array);
/*
 * Stores the text of the array's next element, which may be malformed. *at is 0
 * before the first call. Returns false after the last element.
 */
bool pb_next_element(struct pb_str array, size_t *at, struct pb_str *element);

/*
 * Parses the JSON text of a list of instances and skips malformed entries. The
 * caller frees *out. Returns PB_OK, PB_EPROTO or PB_ENOMEM.
 */
int pb_parse_instances(struct pb_context *ctx, const char *peer,
    struct pb_str text, struct pb_instance **out, size_t *count);

#endif
