#include "load.h"

#include <jansson.h>
#include <string.h>

/* Compares the next bytes of the answer with the expected bytes. */
static void
check_text(struct load_call *call, const char *text, size_t len)
{
	struct pb_str prompt = {call->prompt.data, call->prompt.len};
	size_t end = (size_t)call->words * ANSWER_WORD_LEN, i, at;
	char word[ANSWER_WORD_LEN + 1];

	for (i = 0; i < len && !call->wrong; i++) {
		at = call->checked % ANSWER_WORD_LEN;
		if (at == 0 || i == 0)
			answer_word(prompt,
			    (unsigned int)(call->checked / ANSWER_WORD_LEN),
			    word);
		if (call->checked >= end || text[i] != word[at])
			call->wrong = true;
		else
			call->checked++;
	}
}

static void
read_usage(struct load_call *call, const json_t *v)
{
	const json_t *usage = json_object_get(v, "usage");
	const json_t *details = json_object_get(usage, "prompt_tokens_details");

	if (usage == NULL)
		return;
	call->prompt_tokens =
	    json_integer_value(json_object_get(usage, "prompt_tokens"));
	call->cached_tokens =
	    json_integer_value(json_object_get(details, "cached_tokens"));
}

static void
record_token(struct load_call *call, int64_t now_us, load_gap_fn *fn, void *arg)
{
	if (call->first_us == 0)
		call->first_us = now_us;
	else
		fn(arg, now_us - call->last_us);
	call->last_us = now_us;
}

static void
read_data(struct load_call *call, const char *data, size_t len, int64_t now_us,
    load_gap_fn *fn, void *arg)
{
	const json_t *content, *choice;
	json_t *v;

	if (len == 6 && memcmp(data, "[DONE]", 6) == 0) {
		call->done = true;
		return;
	}
	/* Data after [DONE] counts as a wrong byte. */
	v = json_loadb(data, len, 0, NULL);
	if (v == NULL || call->done)
		call->wrong = true;
	read_usage(call, v);
	choice = json_array_get(json_object_get(v, "choices"), 0);
	content = json_object_get(json_object_get(choice, "delta"), "content");
	if (json_is_string(content)) {
		record_token(call, now_us, fn, arg);
		check_text(call, json_string_value(content),
		    json_string_length(content));
	}
	json_decref(v);
}

/* Parses one server-sent event, whose lines end in a line feed. */
static void
read_event(struct load_call *call, const char *event, size_t len,
    int64_t now_us, load_gap_fn *fn, void *arg)
{
	const char *line = event, *end = event + len, *next;
	bool error = false;
	size_t n;

	for (; line < end; line = next + 1) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (next == NULL)
			next = end;
		n = (size_t)(next - line);
		if (n >= 12 && memcmp(line, "event: error", 12) == 0)
			error = call->error_event = true;
		else if (!error && n > 6 && memcmp(line, "data: ", 6) == 0)
			read_data(call, line + 6, n - 6, now_us, fn, arg);
	}
}

void
load_feed(struct load_call *call, const char *data, size_t len, int64_t now_us,
    load_gap_fn *fn, void *arg)
{
	struct pb_buf *buf = &call->answer;
	size_t at = 0, n;
	char *end;

	if (pb_append_buf(buf, data, len) != PB_OK || !call->stream)
		return;
	while (
	    (end = memmem(buf->data + at, buf->len - at, "\n\n", 2)) != NULL) {
		n = (size_t)(end - buf->data) + 2 - at;
		read_event(call, buf->data + at, n - 1, now_us, fn, arg);
		at += n;
	}
	memmove(buf->data, buf->data + at, buf->len - at);
	buf->len -= at;
}

static bool
member_equals(const json_t *v, const char *name, const char *text)
{
	const char *s = json_string_value(json_object_get(v, name));

	return s != NULL && strcmp(s, text) == 0;
}

/* Checks the answer of the plain application, which echoes the call and reports
 * how many times the call has run. */
static void
read_echo(struct load_call *call, const json_t *v)
{
	call->done = true;
	call->wrong = !member_equals(v, "method", "POST") ||
	    !member_equals(v, "path", call->path) ||
	    !member_equals(v, "body", call->body.data);
	call->repeated = json_integer_value(json_object_get(v, "run")) > 1;
}

static void
read_json_answer(struct load_call *call)
{
	json_t *v =
	    json_loadb(call->answer.data != NULL ? call->answer.data : "",
		call->answer.len, 0, NULL);
	const json_t *choice, *content;

	if (v == NULL) {
		call->wrong = true;
		return;
	}
	if (call->plain) {
		read_echo(call, v);
	} else {
		call->done = true;
		read_usage(call, v);
		choice = json_array_get(json_object_get(v, "choices"), 0);
		content = json_object_get(
		    json_object_get(choice, "message"), "content");
		call->wrong = !json_is_string(content);
		if (!call->wrong)
			check_text(call, json_string_value(content),
			    json_string_length(content));
	}
	json_decref(v);
}

static enum load_outcome
classify_error(const struct load_call *call, int status)
{
	/*
	 * Status 429 (a limit) and status 409 (an earlier call with the same
	 * key is in progress) are classified by the outcome header.
	 */
	if (status >= 400 && status < 500 && status != 429 && status != 409)
		return LOAD_REJECTED;
	if (strcmp(call->outcome, "not-run") == 0)
		return LOAD_NOT_RUN;
	if (strcmp(call->outcome, "unknown") == 0)
		return LOAD_UNKNOWN;
	if (strcmp(call->outcome, "failed") == 0)
		return LOAD_FAILED;
	return LOAD_REJECTED;
}

enum load_outcome
load_classify_call(struct load_call *call, int status, bool transfer_ok)
{
	if (status == 0)
		return LOAD_TRANSPORT;
	if (status != 200)
		return transfer_ok ? classify_error(call, status)
				   : LOAD_TRANSPORT;
	if (!call->stream && transfer_ok)
		read_json_answer(call);
	if (call->wrong)
		return LOAD_WRONG;
	if (call->repeated)
		return LOAD_REPEATED;
	if (call->error_event || (!transfer_ok && !call->done))
		return LOAD_FAILED;
	if (!call->done ||
	    call->checked < (size_t)call->words * ANSWER_WORD_LEN)
		return LOAD_SHORT;
	return LOAD_COMPLETE;
}
