#include "claim-row.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Longest escaped account or idempotency key in a row key, in bytes. */
#define KEY_PART_MAX 70
#define DELAY_MIN_US (10 * PB_MSEC)
#define DELAY_MAX_US (400 * PB_MSEC)

static const char *const state_names[] = {
    "claimed", "done", "not_run", "unknown"};

/*
 * Escapes characters that could give two (account, key) pairs the same row key,
 * and '#', which marks a hash. Returns false if the result is longer than
 * KEY_PART_MAX.
 */
static bool
escape_key_part(char *dst, const char *src)
{
	size_t len = 0;

	for (; *src != '\0'; src++) {
		unsigned char c = (unsigned char)*src;
		bool plain =
		    c > 0x20 && c < 0x7f && strchr("/#%\"\\", c) == NULL;

		if (len + (plain ? 1 : 3) > KEY_PART_MAX)
			return false;
		if (plain)
			dst[len++] = (char)c;
		else
			len += (size_t)snprintf(dst + len, 4, "%%%02X", c);
	}
	dst[len] = '\0';
	return true;
}

static void
format_key_part(char *dst, size_t cap, const char *src)
{
	if (!escape_key_part(dst, src))
		snprintf(dst, cap, "#%016llx%016llx",
		    (unsigned long long)pb_hash_cstr(src, 1),
		    (unsigned long long)pb_hash_cstr(src, 2));
}

void
pb_format_claim_key(char *row, size_t cap, const char *account, const char *key)
{
	char a[KEY_PART_MAX + 1], k[KEY_PART_MAX + 1];

	format_key_part(a, sizeof(a), account);
	format_key_part(k, sizeof(k), key);
	snprintf(row, cap, PB_CLAIM_PREFIX "%s/%s", a, k);
}

static const char base64_digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/* Encodes a body as base64: JSON strings cannot hold arbitrary bytes. */
static json_t *
encode_base64(struct pb_str in)
{
	size_t cap = (in.len + 2) / 3 * 4, n = 0, i;
	char *text = malloc(cap + 1);
	json_t *result;

	if (text == NULL)
		return NULL;
	for (i = 0; i < in.len; i += 3) {
		size_t left = in.len - i;
		uint32_t v = (uint32_t)(unsigned char)in.data[i] << 16;

		if (left > 1)
			v |= (uint32_t)(unsigned char)in.data[i + 1] << 8;
		if (left > 2)
			v |= (unsigned char)in.data[i + 2];
		text[n++] = base64_digits[v >> 18];
		text[n++] = base64_digits[v >> 12 & 63];
		text[n++] = left > 1 ? base64_digits[v >> 6 & 63] : '=';
		text[n++] = left > 2 ? base64_digits[v & 63] : '=';
	}
	result = json_stringn(text, n);
	free(text);
	return result;
}

static bool
decode_base64(const json_t *src, struct pb_buf *out)
{
	const char *text = json_string_value(src);
	size_t len = json_string_length(src), i;
	uint32_t v = 0;

	if (text == NULL || len % 4 != 0)
		return false;
	for (i = 0; i < len && text[i] != '='; i++) {
		const char *p = strchr(base64_digits, text[i]);
		char byte;

		if (p == NULL || text[i] == '\0')
			return false;
		v = v << 6 | (uint32_t)(p - base64_digits);
		if (i % 4 == 0)
			continue;
		byte = (char)(v >> (6 - i % 4 * 2) & 0xff);
		if (pb_append_buf(out, &byte, 1) != PB_OK)
			return false;
	}
	return len - i <= 2;
}

int
pb_encode_claim(struct pb_buf *out, const struct pb_claim_policy *policy,
    const struct pb_claim *claim, enum pb_row_state state, int status,
    const char *content_type, struct pb_str answer)
{
	char fingerprint[20];
	json_t *root;
	char *text = NULL;
	int rc = PB_ENOMEM;

	snprintf(fingerprint, sizeof(fingerprint), "%016llx",
	    (unsigned long long)claim->fingerprint);
	root = json_pack("{s:s,s:s,s:s,s:s,s:I}", "state", state_names[state],
	    "attempt", claim->attempt, "fingerprint", fingerprint, "router",
	    policy->router, "time", (json_int_t)claim->wall_us);
	if (root != NULL && state == PB_ROW_DONE) {
		json_object_set_new(root, "status", json_integer(status));
		json_object_set_new(root, "content_type",
		    json_string(content_type != NULL ? content_type : ""));
		if (answer.len <= PB_CLAIM_ANSWER_MAX)
			json_object_set_new(
			    root, "body64", encode_base64(answer));
	}
	if (root != NULL)
		text = json_dumps(root, JSON_COMPACT);
	if (text != NULL)
		rc = pb_append_buf(out, text, strlen(text));
	free(text);
	json_decref(root);
	return rc;
}

static bool
is_header_value(const char *text)
{
	for (; *text != '\0'; text++)
		if (((unsigned char)*text < ' ' && *text != '\t') ||
		    *text == 0x7f)
			return false;
	return true;
}

static bool
decode_outcome(const json_t *root, struct pb_claim_record *out)
{
	const json_t *status = json_object_get(root, "status");
	const json_t *body = json_object_get(root, "body64");

	if (json_integer_value(status) < 100 ||
	    json_integer_value(status) > 599)
		return false;
	out->status = (int)json_integer_value(status);
	pb_copy_str(out->content_type, sizeof(out->content_type),
	    json_string_value(json_object_get(root, "content_type")));
	/* The value is sent as a header when the response is replayed. */
	if (!is_header_value(out->content_type))
		return false;
	out->answer_omitted = body == NULL;
	return body == NULL || decode_base64(body, &out->answer);
}

static bool
decode_record(const json_t *root, struct pb_claim_record *out)
{
	const char *state = json_string_value(json_object_get(root, "state"));
	const char *attempt =
	    json_string_value(json_object_get(root, "attempt"));
	const char *fingerprint =
	    json_string_value(json_object_get(root, "fingerprint"));
	const json_t *wall = json_object_get(root, "time");
	char *end;
	int i;

	if (state == NULL || attempt == NULL || fingerprint == NULL ||
	    strlen(attempt) >= sizeof(out->attempt) || !json_is_integer(wall))
		return false;
	pb_copy_str(out->attempt, sizeof(out->attempt), attempt);
	out->fingerprint = strtoull(fingerprint, &end, 16);
	out->wall_us = json_integer_value(wall);
	if (end == fingerprint || *end != '\0' || out->wall_us < 0)
		return false;
	for (i = PB_ROW_CLAIMED; i <= PB_ROW_UNKNOWN; i++)
		if (strcmp(state, state_names[i]) == 0)
			break;
	out->state = (enum pb_row_state)i;
	return i < PB_ROW_DONE || i == PB_ROW_NOT_RUN || i == PB_ROW_UNKNOWN ||
	    (i == PB_ROW_DONE && decode_outcome(root, out));
}

bool
pb_decode_claim(const struct pb_buf *value, struct pb_claim_record *out)
{
	json_t *root = json_loadb(value->data, value->len, 0, NULL);
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = decode_record(root, out);
	if (!ok)
		pb_clear_buf(&out->answer);
	json_decref(root);
	return ok;
}

void
pb_delay_claim_retry(
    struct pb_context *ctx, int tries, uint64_t seed, int64_t deadline_us)
{
	struct pb_random rnd = {seed + (uint64_t)tries};
	int64_t delay = DELAY_MIN_US << (tries < 6 ? tries : 6);
	int64_t left = deadline_us - pb_now(ctx);

	if (delay > DELAY_MAX_US)
		delay = DELAY_MAX_US;
	delay = (int64_t)((double)delay * (0.5 + pb_next_uniform(&rnd)));
	if (delay > left)
		delay = left;
	if (delay > 0)
		ctx->clock->ops->sleep(ctx->clock, delay);
}
