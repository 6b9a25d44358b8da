#include "relay-parse.h"

#include <stdlib.h>
#include <string.h>

#define MS_MAX INT64_C(86400000) /* one day, longer than any time limit */
#define WORK_MAX UINT32_MAX
#define CELLS_MAX 4096 /* per service, the limit of the settings */

/* Headers being parsed; ok is false after the first malformed header. */
struct header_parser {
	const struct pb_header *headers;
	size_t count;
	bool ok;
};

static const char *
get_text(struct header_parser *p, const char *name)
{
	struct pb_str s = pb_find_header(p->headers, p->count, name);

	return s.data != NULL ? s.data : "";
}

/* Returns the value of a numeric header; 0 if it is absent. */
static uint64_t
get_number(struct header_parser *p, const char *name, int base, uint64_t max)
{
	const char *digits =
	    base == 16 ? "0123456789abcdefABCDEF" : "0123456789";
	const char *text = get_text(p, name);
	size_t len = strlen(text);
	uint64_t n = strtoull(text, NULL, base);

	/* strtoull alone accepts signs, spaces and trailing text. */
	if (strspn(text, digits) == len && len <= 20 && n <= max)
		return n;
	p->ok = false;
	return 0;
}

/*
 * Copies an id. An id that does not fit is an error: a truncated id would name
 * another instance or request.
 */
static void
copy_id(struct header_parser *p, const char *name, char *dst, size_t cap)
{
	const char *text = get_text(p, name);

	if (strlen(text) >= cap || !pb_is_printable(text))
		p->ok = false;
	else
		pb_copy_str(dst, cap, text);
}

/*
 * The request id becomes part of URL paths at the engine, so it must not
 * contain delimiters of a URL.
 */
static bool
is_valid_request_id(const char *id)
{
	return id[0] != '\0' && strpbrk(id, "/?#%") == NULL;
}

bool
relay_parse_request(struct pb_context *ctx, const struct pb_header *headers,
    size_t count, struct pb_request *req)
{
	struct header_parser p = {headers, count, true};

	req->service = get_text(&p, "X-Pb-Service");
	req->account = get_text(&p, "X-Pb-Account");
	req->method = get_text(&p, "X-Pb-Method");
	req->target = get_text(&p, "X-Pb-Target");
	copy_id(&p, "X-Pb-Request", req->id, sizeof(req->id));
	copy_id(
	    &p, "X-Pb-Resume-Engine", req->resume_on, sizeof(req->resume_on));
	copy_id(&p, "X-Pb-Failed-Owner", req->failed_owner,
	    sizeof(req->failed_owner));
	req->resume_after = get_number(&p, "X-Pb-Resume-After", 10, UINT64_MAX);
	req->cell = (int)get_number(&p, "X-Pb-Cell", 10, CELLS_MAX - 1);
	req->rank = (int)get_number(&p, "X-Pb-Rank", 10, PB_RANKS_MAX - 1);
	req->chat = get_number(&p, "X-Pb-Chat", 16, UINT64_MAX);
	req->fingerprint = get_number(&p, "X-Pb-Fingerprint", 16, UINT64_MAX);
	req->work = (uint32_t)get_number(&p, "X-Pb-Work", 10, WORK_MAX);
	req->idempotent = get_number(&p, "X-Pb-Idempotent", 10, 1) != 0;
	req->wait_us =
	    (int64_t)get_number(&p, "X-Pb-Wait-Ms", 10, MS_MAX) * PB_MSEC;
	req->deadline_us = pb_now(ctx) +
	    (int64_t)get_number(&p, "X-Pb-Deadline-Ms", 10, MS_MAX) * PB_MSEC;
	return p.ok && is_valid_request_id(req->id) && *req->service != '\0' &&
	    pb_is_token(pb_str_from(req->method)) && *req->target == '/' &&
	    pb_is_printable(req->target);
}
