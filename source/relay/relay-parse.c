#include "relay-parse.h"

#include <stdlib.h>
#include <string.h>

#define MS_MAX INT64_C(86400000) /* a day, longer than any limit */
#define WORK_MAX UINT32_MAX
#define CELLS_MAX 4096 /* of one service, as in the settings */

/* The headers while they are read; ok turns false at the first fault. */
struct reader {
	const struct pb_header *headers;
	size_t count;
	bool ok;
};

static const char *
text_of(struct reader *r, const char *name)
{
	struct pb_str s = pb_find_header(r->headers, r->count, name);

	return s.data != NULL ? s.data : "";
}

/* An absent number is 0. */
static uint64_t
number_of(struct reader *r, const char *name, int base, uint64_t max)
{
	const char *digits =
	    base == 16 ? "0123456789abcdefABCDEF" : "0123456789";
	const char *text = text_of(r, name);
	size_t len = strlen(text);
	uint64_t n = strtoull(text, NULL, base);

	/* strtoull alone takes signs, spaces and any ending. */
	if (strspn(text, digits) == len && len <= 20 && n <= max)
		return n;
	r->ok = false;
	return 0;
}

/* An id that is cut would name another instance or request. */
static void
copy_id(struct reader *r, const char *name, char *dst, size_t cap)
{
	const char *text = text_of(r, name);

	if (strlen(text) >= cap || !pb_is_printable(text))
		r->ok = false;
	else
		pb_copy_str(dst, cap, text);
}

/* The request id becomes a part of paths at the engine. */
static bool
is_id(const char *id)
{
	return id[0] != '\0' && strpbrk(id, "/?#%") == NULL;
}

bool
relay_parse(struct pb_context *ctx, const struct pb_header *headers,
    size_t count, struct pb_request *req)
{
	struct reader r = {headers, count, true};

	req->service = text_of(&r, "X-Pb-Service");
	req->account = text_of(&r, "X-Pb-Account");
	req->method = text_of(&r, "X-Pb-Method");
	req->target = text_of(&r, "X-Pb-Target");
	copy_id(&r, "X-Pb-Request", req->id, sizeof(req->id));
	copy_id(
	    &r, "X-Pb-Resume-Engine", req->resume_on, sizeof(req->resume_on));
	copy_id(&r, "X-Pb-Failed-Owner", req->failed_owner,
	    sizeof(req->failed_owner));
	req->resume_after = number_of(&r, "X-Pb-Resume-After", 10, UINT64_MAX);
	req->cell = (int)number_of(&r, "X-Pb-Cell", 10, CELLS_MAX - 1);
	req->rank = (int)number_of(&r, "X-Pb-Rank", 10, PB_RANKS_MAX - 1);
	req->chat = number_of(&r, "X-Pb-Chat", 16, UINT64_MAX);
	req->fingerprint = number_of(&r, "X-Pb-Fingerprint", 16, UINT64_MAX);
	req->work = (uint32_t)number_of(&r, "X-Pb-Work", 10, WORK_MAX);
	req->idempotent = number_of(&r, "X-Pb-Idempotent", 10, 1) != 0;
	req->wait_us =
	    (int64_t)number_of(&r, "X-Pb-Wait-Ms", 10, MS_MAX) * PB_MSEC;
	req->deadline_us = pb_now(ctx) +
	    (int64_t)number_of(&r, "X-Pb-Deadline-Ms", 10, MS_MAX) * PB_MSEC;
	return r.ok && is_id(req->id) && *req->service != '\0' &&
	    pb_is_token(pb_str_from(req->method)) && *req->target == '/' &&
	    pb_is_printable(req->target);
}
