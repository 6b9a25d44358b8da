#include "caller-internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define CHAT_PATH "/v1/chat/completions"
#define BYTES_PER_TOKEN 4 /* rough average size of a prompt token */
#define ANSWER_TOKENS_MAX 1000000
#define CHAT_MESSAGES 2 /* leading messages that identify a chat */
#define KEY_MAX 100 /* bytes of an idempotency key */
#define TARGET_MAX 1900 /* bytes; below the HTTP client's URL limit, 2,048 */
/*
 * Maximum number of headers from a caller. A relay adds up to 16 headers and
 * the HTTP client 4, and a server reads at most 64, so that headers would be
 * lost at a higher limit.
 */
#define HEADERS_MAX 40

static bool
fail(struct fault *f, int status, const char *code, const char *message)
{
	f->status = status;
	f->code = code;
	pb_copy_str(f->message, sizeof(f->message), message);
	return false;
}

static const char *
find_header(const struct caller_head *head, const char *name)
{
	return pb_find_header(head->headers, head->header_count, name).data;
}

static bool
find_account(struct entry *e, const struct caller_head *head, struct fault *f)
{
	const char *auth = find_header(head, "Authorization");

	if (auth == NULL || strncmp(auth, "Bearer ", 7) != 0)
		return fail(f, 401, "no_key",
		    "the Authorization header must be \"Bearer KEY\"");
	e->account = pb_find_account_by_key(e->settings, pb_str_from(auth + 7));
	if (e->account == NULL)
		return fail(f, 401, "unknown_key", "no account has this key");
	e->req.account = e->account->name;
	return true;
}

static bool
find_rank(struct entry *e, const struct caller_head *head, struct fault *f)
{
	const char *name = find_header(head, "X-Poplarbeam-Rank");

	e->req.rank = e->account->default_rank;
	if (name != NULL)
		e->req.rank = pb_find_rank(e->settings, name);
	if (e->req.rank < 0)
		return fail(f, 400, "unknown_rank",
		    "X-Poplarbeam-Rank names no rank of the settings");
	if (e->req.rank < e->account->best_rank)
		return fail(f, 403, "rank_not_allowed",
		    "the account may not use a rank this urgent");
	e->req.wait_us = e->settings->rank[e->req.rank].wait_limit_us;
	return true;
}

/* Returns a hash of the first messages, which all requests of a chat share. */
static uint64_t
hash_chat(const struct entry *e, const json_t *messages)
{
	uint64_t h = e->account->id;
	size_t i;

	for (i = 0; i < CHAT_MESSAGES && i < json_array_size(messages); i++) {
		const json_t *c =
		    json_object_get(json_array_get(messages, i), "content");

		if (json_is_string(c))
			h = pb_hash(
			    json_string_value(c), json_string_length(c), h);
	}
	return h;
}

static bool
read_chat_body(struct entry *e, const json_t *body, struct fault *f)
{
	const char *model = json_string_value(json_object_get(body, "model"));
	const json_t *messages = json_object_get(body, "messages");
	const json_t *max = json_object_get(body, "max_tokens");
	json_int_t answer;

	if (model == NULL || json_array_size(messages) == 0)
		return fail(f, 400, "bad_chat",
		    "the body must have \"model\" and \"messages\"");
	e->service = pb_find_service(e->settings, model);
	if (e->service == NULL || e->service->kind != PB_SERVICE_MODEL)
		return fail(
		    f, 404, "unknown_model", "no service has this name");
	answer = json_is_integer(max) ? json_integer_value(max)
				      : (json_int_t)e->service->answer_work;
	if (answer < 1 || answer > ANSWER_TOKENS_MAX)
		return fail(f, 400, "bad_max_tokens",
		    "\"max_tokens\" must be 1 to 1000000");
	e->req.work =
	    (uint32_t)(e->body.len / BYTES_PER_TOKEN) + (uint32_t)answer;
	e->req.chat = hash_chat(e, messages);
	e->req.idempotent = true;
	e->stream = json_is_true(json_object_get(body, "stream"));
	return true;
}

static bool
parse_chat(struct entry *e, struct fault *f)
{
	json_error_t err;
	json_t *body = json_loadb(e->body.data != NULL ? e->body.data : "",
	    e->body.len, JSON_REJECT_DUPLICATES, &err);
	bool ok;

	if (!json_is_object(body)) {
		json_decref(body);
		return fail(
		    f, 400, "bad_json", "the body is not a JSON object");
	}
	ok = read_chat_body(e, body, f);
	json_decref(body);
	return ok;
}

static bool
parse_plain(struct entry *e, struct fault *f)
{
	static const char *const idempotent[] = {
	    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
	size_t i;

	e->service = pb_find_service_by_path(e->settings, e->req.target);
	if (e->service == NULL || e->service->kind != PB_SERVICE_PLAIN)
		return fail(f, 404, "unknown_service",
		    "no service has a prefix of this path");
	e->req.work = e->service->call_work;
	for (i = 0; i < sizeof(idempotent) / sizeof(idempotent[0]); i++) {
		if (strcmp(e->req.method, idempotent[i]) == 0)
			e->req.idempotent = true;
	}
	return true;
}

static bool
read_key(struct entry *e, const struct caller_head *head, struct fault *f)
{
	const char *key = find_header(head, "Idempotency-Key");

	if (key == NULL || e->req.idempotent)
		return true;
	if (*key == '\0' || strlen(key) > KEY_MAX)
		return fail(f, 400, "bad_key",
		    "Idempotency-Key must have 1 to 100 characters");
	if (!pb_is_printable(key))
		return fail(f, 400, "bad_key",
		    "Idempotency-Key must be printable ASCII");
	e->key = key;
	return true;
}

/*
 * True for headers that routers set or that concern one hop. They are not
 * forwarded from a caller.
 */
static bool
is_reserved(struct pb_str name)
{
	return pb_is_hop_by_hop_header(name) ||
	    (name.len >= 5 && strncasecmp(name.data, "X-Pb-", 5) == 0) ||
	    strcasecmp(name.data, "X-Poplarbeam-Account") == 0 ||
	    strcasecmp(name.data, "Authorization") == 0 ||
	    strcasecmp(name.data, "Host") == 0 ||
	    strcasecmp(name.data, "Content-Length") == 0;
}

static bool
copy_headers(struct entry *e, const struct caller_head *head, struct fault *f)
{
	size_t i, n = 0;

	for (i = 0; i < head->header_count; i++) {
		const struct pb_header *h = &head->headers[i];

		if (is_reserved(h->name))
			continue;
		if (!pb_is_valid_header(h))
			return fail(f, 400, "bad_header",
			    "a header has a name or value that HTTP forbids");
		if (n == HEADERS_MAX)
			return fail(f, 431, "too_many_headers",
			    "the request has more than 40 headers");
		e->headers[n++] = *h;
	}
	e->headers[n].name = pb_str_from("X-Poplarbeam-Account");
	e->headers[n++].value = pb_str_from(e->account->name);
	e->req.headers = e->headers;
	e->req.header_count = n;
	return true;
}

static bool
read_target(struct entry *e, const struct caller_head *head, struct fault *f)
{
	struct pb_buf target = {0};

	e->req.method = head->method;
	pb_append_fmt(&target, head->query != NULL ? "%s?%s" : "%s", head->path,
	    head->query);
	e->req.target =
	    target.data != NULL ? pb_arena_strdup(e->arena, target.data) : NULL;
	pb_clear_buf(&target);
	if (e->req.target == NULL || e->req.target[0] != '/' ||
	    !pb_is_printable(e->req.target))
		return fail(f, 400, "bad_path",
		    "the path must begin with / and be printable ASCII");
	if (strlen(e->req.target) > TARGET_MAX)
		return fail(f, 414, "path_too_long",
		    "the path and query are longer than 1900 bytes");
	if (!pb_is_token(pb_str_from(e->req.method)))
		return fail(f, 400, "bad_method", "the method is no token");
	return true;
}

static void
set_identity(struct entry *e, const struct caller_head *head)
{
	const char *chat = find_header(head, "X-Poplarbeam-Chat");
	const struct pb_request *r = &e->req;
	uint64_t h = pb_hash_cstr(e->service->name, 0);

	if (chat != NULL)
		e->req.chat = pb_hash_cstr(chat, e->account->id);
	h = pb_hash_cstr(r->target, h);
	e->req.fingerprint = pb_hash(e->body.data, e->body.len, h) | 1;
	e->req.service = e->service->name;
	e->req.body = (struct pb_str){e->body.data, e->body.len};
	e->req.idle_us = e->service->idle_us;
	e->req.deadline_us = pb_now(e->ctx) + e->service->timeout_us;
}

static bool
is_chat(const struct entry *e)
{
	return strcmp(e->req.target, CHAT_PATH) == 0;
}

bool
entry_parse_head(
    struct entry *e, const struct caller_head *head, struct fault *f)
{
	if (!read_target(e, head, f) || !find_account(e, head, f) ||
	    !find_rank(e, head, f) || !copy_headers(e, head, f))
		return false;
	if (is_chat(e) && strcmp(e->req.method, "POST") != 0)
		return fail(f, 405, "bad_method", "chats are sent with POST");
	return true;
}

bool
entry_parse_body(
    struct entry *e, const struct caller_head *head, struct fault *f)
{
	if (is_chat(e) ? !parse_chat(e, f) : !parse_plain(e, f))
		return false;
	if (e->body.len > e->service->max_body_bytes) {
		snprintf(f->message, sizeof(f->message),
		    "the body is longer than %zu bytes",
		    e->service->max_body_bytes);
		f->status = 413;
		f->code = "body_too_large";
		return false;
	}
	if (!read_key(e, head, f))
		return false;
	set_identity(e, head);
	return true;
}
