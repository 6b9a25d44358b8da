#include "../../source/caller/caller-internal.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/*
 * Fuzz target for the parser of callers' requests. The input consists of lines:
 * method, path, query, headers as "name:value" up to an empty line, then the
 * body. Guards against crashes, and against accepting a request that forwards
 * relay headers, injected header lines or another client account to a router or
 * an upstream.
 */

#define TEXT_MAX 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const char settings_text[] =
    "services:\n"
    "  - {name: m}\n"
    "  - {name: p, kind: plain, prefix: /p, max_body_bytes: 1KiB}\n"
    "accounts:\n"
    "  - {name: a, key: key-key-a, best_rank: urgent}\n";

static void
require(bool ok)
{
	if (!ok)
		abort();
}

static struct pb_settings *
load_settings(struct pb_context *ctx)
{
	struct pb_settings_text text = {
	    "t", "t", {settings_text, sizeof(settings_text) - 1}};
	struct pb_settings_report report = {.count = 0};
	struct pb_settings *s = pb_parse_settings(ctx, &text, 1, 1, &report);

	require(s != NULL);
	return s;
}

/* Returns the next line, terminated by NUL, and advances *at. */
static char *
next_line(char **at)
{
	char *line = *at, *nl = strchr(line, '\n');

	*at = nl != NULL ? nl + 1 : line + strlen(line);
	if (nl != NULL)
		*nl = '\0';
	return line;
}

static void
read_head(struct caller_head *head, char **at)
{
	char *line, *colon;

	head->method = next_line(at);
	head->path = next_line(at);
	line = next_line(at);
	head->query = *line != '\0' ? line : NULL;
	while (*(line = next_line(at)) != '\0' &&
	    head->header_count < PB_CALL_HEADERS_MAX) {
		struct pb_header *h = &head->headers[head->header_count++];

		colon = strchr(line, ':');
		if (colon != NULL)
			*colon = '\0';
		h->name = pb_str_from(line);
		h->value = pb_str_from(colon != NULL ? colon + 1 : "");
	}
}

static void
check_accepted(const struct entry *e)
{
	const struct pb_request *r = &e->req;
	size_t i, accounts = 0;

	require(e->service != NULL && e->account != NULL);
	require(r->rank >= e->account->best_rank &&
	    r->rank < e->settings->rank_count);
	require(r->work > 0 && r->wait_us > 0 && r->fingerprint != 0);
	require(r->target[0] == '/' && pb_is_printable(r->target));
	require(pb_is_token(pb_str_from(r->method)));
	require(e->body.len <= e->service->max_body_bytes);
	require(r->header_count <= PB_CALL_HEADERS_MAX);
	for (i = 0; i < r->header_count; i++) {
		const struct pb_header *h = &r->headers[i];

		require(pb_is_valid_header(h));
		require(strncasecmp(h->name.data, "X-Pb-", 5) != 0);
		require(strcasecmp(h->name.data, "Content-Length") != 0);
		require(strcasecmp(h->name.data, "Transfer-Encoding") != 0);
		accounts +=
		    strcasecmp(h->name.data, "X-Poplarbeam-Account") == 0;
	}
	require(accounts == 1);
	require(e->key == NULL || !r->idempotent);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct pb_context *ctx = pb_new_context(pb_system_clock(), NULL);
	struct caller_head head = {.header_count = 0};
	struct entry *e = calloc(1, sizeof(*e));
	struct fault f = {.status = 0};
	char text[TEXT_MAX], *at = text;

	require(ctx != NULL && e != NULL);
	size = size < sizeof(text) ? size : sizeof(text) - 1;
	memcpy(text, data, size);
	text[size] = '\0';
	e->ctx = ctx;
	e->arena = pb_new_arena(ctx);
	e->settings = load_settings(ctx);
	read_head(&head, &at);
	if (at < text + size)
		pb_append_buf(&e->body, at, (size_t)(text + size - at));
	if (entry_parse_head(e, &head, &f) && entry_parse_body(e, &head, &f))
		check_accepted(e);
	else
		require(f.status >= 400 && f.status < 500 && f.code != NULL);
	pb_drop_settings(ctx, e->settings);
	pb_drop_arena(ctx, e->arena);
	pb_clear_buf(&e->body);
	free(e);
	pb_drop_context(ctx);
	return 0;
}
