#include "platform-http.h"

#include <stdlib.h>
#include <string.h>

#include "poplarbeam/platform.h"

#define PORT_MAX 65535
#define INSTANCES_BYTES_MAX ((size_t)16 << 20) /* bytes of the whole list */
#define OBJECT_BYTES_MAX ((size_t)16 << 20) /* bytes of one object */
#define PUT_RESPONSE_MAX ((size_t)64 << 10) /* bytes */

struct http_instances {
	struct pb_instances base;
	struct pb_http_pool *pool;
	char etag[48]; /* of the last list that was fetched */
};

struct http_objects {
	struct pb_objects base;
	struct pb_http_pool *pool;
};

/*
 * Copies a string member; an absent one becomes an empty string. Returns false
 * when the member is not a string, does not fit or has characters other than
 * printable ASCII, because ids and addresses become parts of headers and URLs.
 */
static bool
copy_member(const json_t *src, const char *name, char *dst, size_t cap)
{
	const json_t *member = json_object_get(src, name);

	if (member == NULL || json_is_null(member)) {
		dst[0] = '\0';
		return true;
	}
	if (!json_is_string(member) || json_string_length(member) >= cap ||
	    !pb_is_printable(json_string_value(member)))
		return false;
	pb_copy_str(dst, cap, json_string_value(member));
	return true;
}

/* Returns true for an empty text and for HOST:PORT. */
static bool
is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	if (text[0] == '\0')
		return true;
	if (colon == NULL || colon[1] < '0' || colon[1] > '9')
		return false;
	port = strtol(colon + 1, &end, 10);
	return *end == '\0' && port > 0 && port <= PORT_MAX;
}

static bool
read_role(const json_t *src, struct pb_instance *in)
{
	const char *role = json_string_value(json_object_get(src, "role"));
	const char *state = json_string_value(json_object_get(src, "state"));

	if (role == NULL || state == NULL)
		return false;
	if (strcmp(role, "router") == 0)
		in->role = PB_ROLE_ROUTER;
	else if (strcmp(role, "upstream") == 0)
		in->role = PB_ROLE_UPSTREAM;
	else
		return false;
	in->leaving = strcmp(state, "leaving") == 0;
	return in->leaving || strcmp(state, "live") == 0;
}

static bool
read_instance(const json_t *src, struct pb_instance *in)
{
	json_int_t incarnation =
	    json_integer_value(json_object_get(src, "incarnation"));

	memset(in, 0, sizeof(*in));
	if (incarnation < 0)
		return false;
	in->incarnation = (uint64_t)incarnation;
	return read_role(src, in) &&
	    copy_member(src, "id", in->id, sizeof(in->id)) &&
	    copy_member(src, "service", in->service, sizeof(in->service)) &&
	    copy_member(src, "region", in->region, sizeof(in->region)) &&
	    copy_member(src, "domain", in->domain, sizeof(in->domain)) &&
	    copy_member(src, "address", in->address, sizeof(in->address)) &&
	    copy_member(src, "peer", in->peer, sizeof(in->peer)) &&
	    copy_member(src, "rpc", in->rpc, sizeof(in->rpc)) &&
	    copy_member(src, "admin", in->admin, sizeof(in->admin)) &&
	    in->id[0] != '\0' && in->address[0] != '\0' &&
	    is_address(in->address) && is_address(in->peer) &&
	    is_address(in->rpc) && is_address(in->admin);
}

static bool
read_element(struct pb_str element, struct pb_instance *in)
{
	json_t *item = json_loadb(element.data, element.len, 0, NULL);
	bool ok = item != NULL && read_instance(item, in);

	json_decref(item);
	return ok;
}

static size_t
count_elements(struct pb_str items)
{
	struct pb_str element;
	size_t at = 0, n = 0;

	while (pb_next_element(items, &at, &element))
		n++;
	return n;
}

/*
 * Skips malformed entries, so that one does not invalidate the whole list. Each
 * is parsed by itself, because the parser rejects a whole document for one
 * number out of range or one value nested too deeply.
 */
static int
read_instances(struct pb_context *ctx, const char *peer, struct pb_str items,
    struct pb_instance **out, size_t *count)
{
	size_t i, at = 0, total = count_elements(items);
	struct pb_str element;

	*out = calloc(total > 0 ? total : 1, sizeof(**out));
	if (*out == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "instances", peer, "out of memory");
	for (i = 0; pb_next_element(items, &at, &element); i++) {
		if (read_element(element, &(*out)[*count]))
			(*count)++;
		else
			pb_log(ctx, PB_WARN, "instances", peer, NULL,
			    "skipped malformed entry %zu of the instance list",
			    i);
	}
	return PB_OK;
}

int
pb_parse_instances(struct pb_context *ctx, const char *peer, struct pb_str text,
    struct pb_instance **out, size_t *count)
{
	struct pb_str items;

	*out = NULL;
	*count = 0;
	if (!pb_find_array(text, "instances", &items))
		return pb_set_error(ctx, PB_EPROTO, "instances", peer,
		    "the response has no list of instances");
	return read_instances(ctx, peer, items, out, count);
}

static int
fetch_instances(struct pb_context *ctx, struct pb_instances *list,
    struct pb_instance **out, size_t *count)
{
	struct http_instances *l = (struct http_instances *)list;
	struct pb_http_call call = {"GET", "/instances/v1", PB_STR_NONE,
	    INSTANCES_BYTES_MAX, false, "instances", l->etag};
	struct pb_http_response response = {0};
	int rc;

	*out = NULL;
	*count = 0;
	rc = pb_call_platform(ctx, l->pool, &call, &response);
	if (rc == PB_OK)
		rc = pb_check_http_status(ctx, l->pool, &call, &response);
	if (rc == PB_OK)
		rc = pb_parse_instances(ctx, pb_http_peer(l->pool),
		    (struct pb_str){response.body.data, response.body.len}, out,
		    count);
	if (rc == PB_OK)
		pb_copy_str(l->etag, sizeof(l->etag), response.etag);
	pb_clear_buf(&response.body);
	return rc;
}

static void
drop_instances(struct pb_context *ctx, struct pb_instances *list)
{
	struct http_instances *l = (struct http_instances *)list;

	if (l == NULL)
		return;
	pb_drop_http_pool(ctx, l->pool);
	free(l);
}

struct pb_instances *
pb_new_http_instances(
    struct pb_context *ctx, const char *base, int64_t timeout_us)
{
	static const struct pb_instances_ops ops = {
	    fetch_instances, drop_instances};
	struct http_instances *l = calloc(1, sizeof(*l));

	if (l == NULL)
		return NULL;
	l->base.ops = &ops;
	l->pool = pb_new_http_pool(ctx, base, timeout_us);
	if (l->pool == NULL) {
		free(l);
		return NULL;
	}
	return &l->base;
}

static int
call_object(struct pb_context *ctx, struct pb_objects *objects,
    struct pb_http_call *call, const char *key,
    struct pb_http_response *response)
{
	struct http_objects *o = (struct http_objects *)objects;
	struct pb_buf path = {0};
	int rc = PB_ENOMEM;

	if (pb_append_fmt(&path, "/objects/v1/") == PB_OK &&
	    pb_append_escaped(&path, key, true) == PB_OK) {
		call->path = path.data;
		rc = pb_call_platform(ctx, o->pool, call, response);
		if (rc == PB_OK)
			rc = pb_check_http_status(ctx, o->pool, call, response);
	}
	pb_clear_buf(&path);
	return rc;
}

static int
get_object(struct pb_context *ctx, struct pb_objects *objects, const char *key,
    struct pb_buf *out)
{
	struct pb_http_call call = {"GET", NULL, PB_STR_NONE, OBJECT_BYTES_MAX,
	    false, "object-get", NULL};
	struct pb_http_response response = {0};
	int rc = call_object(ctx, objects, &call, key, &response);

	if (rc == PB_OK)
		rc = pb_append_buf(out, response.body.data, response.body.len);
	pb_clear_buf(&response.body);
	return rc;
}

static int
put_object(struct pb_context *ctx, struct pb_objects *objects, const char *key,
    struct pb_str value)
{
	struct pb_http_call call = {
	    "PUT", NULL, value, PUT_RESPONSE_MAX, true, "object-put", NULL};
	struct pb_http_response response = {0};
	int rc;

	if (call.body.data == NULL)
		call.body = pb_str_from("");
	rc = call_object(ctx, objects, &call, key, &response);
	pb_clear_buf(&response.body);
	return rc;
}

static void
drop_objects(struct pb_context *ctx, struct pb_objects *objects)
{
	struct http_objects *o = (struct http_objects *)objects;

	if (o == NULL)
		return;
	pb_drop_http_pool(ctx, o->pool);
	free(o);
}

struct pb_objects *
pb_new_http_objects(
    struct pb_context *ctx, const char *base, int64_t timeout_us)
{
	static const struct pb_objects_ops ops = {
	    get_object, put_object, drop_objects};
	struct http_objects *o = calloc(1, sizeof(*o));

	if (o == NULL)
		return NULL;
	o->base.ops = &ops;
	o->pool = pb_new_http_pool(ctx, base, timeout_us);
	if (o->pool == NULL) {
		free(o);
		return NULL;
	}
	return &o->base;
}
