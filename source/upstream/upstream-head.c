#include "upstream-head.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

static enum head_result
fail(struct response_head *h, const char *fault)
{
	h->fault = fault;
	return HEAD_INVALID;
}

/* Parses a status line such as "HTTP/1.1 200 OK" and resets the head. */
static enum head_result
read_status(struct response_head *h, const char *line, size_t len)
{
	const char *p = memchr(line, ' ', len);
	size_t left = p != NULL ? len - (size_t)(p - line) : 0;

	h->header_count = h->upstream_header_count = 0;
	h->framed = h->chunked = false;
	h->status = 0;
	if (left < 4 || !isdigit((unsigned char)p[1]) ||
	    !isdigit((unsigned char)p[2]) || !isdigit((unsigned char)p[3]) ||
	    (left > 4 && isdigit((unsigned char)p[4])))
		return fail(h, "malformed status line");
	h->status = (p[1] - '0') * 100 + (p[2] - '0') * 10 + (p[3] - '0');
	if (h->status < 100 || h->status > 599)
		return fail(h, "status is not in the range 100 to 599");
	return HEAD_INCOMPLETE;
}

static void
remove_header(struct response_head *h, const char *name)
{
	size_t i, n = 0;

	for (i = 0; i < h->header_count; i++)
		if (strcasecmp(h->headers[i].name.data, name) != 0)
			h->headers[n++] = h->headers[i];
	h->header_count = n;
}

static bool
is_number(struct pb_str text)
{
	size_t i;

	for (i = 0; i < text.len; i++)
		if (!isdigit((unsigned char)text.data[i]))
			return false;
	return text.len > 0 && text.len < 19;
}

/*
 * Updates the framing from a header. A second Content-Length is an error,
 * because a receiver of the forwarded head might use the other value and find a
 * different end of the response. Chunked encoding overrides Content-Length.
 */
static enum head_result
update_framing(struct response_head *h, const struct pb_header *new)
{
	if (strcasecmp(new->name.data, "Transfer-Encoding") == 0) {
		h->framed = h->chunked = true;
	} else if (strcasecmp(new->name.data, "Content-Length") == 0) {
		if (!is_number(new->value))
			return fail(h, "Content-Length is not a number");
		if (h->framed && !h->chunked)
			return fail(h, "more than one Content-Length");
		h->framed = true;
	}
	return HEAD_INCOMPLETE;
}

static enum head_result
store_header(struct response_head *h, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	struct pb_header *new;
	size_t start;

	if (colon == NULL)
		return fail(h, "header line has no colon");
	if (h->header_count == PB_CALL_HEADERS_MAX)
		return fail(h, "too many headers");
	start = (size_t)(colon - line) + 1;
	while (start < len && (line[start] == ' ' || line[start] == '\t'))
		start++;
	while (len > start && (line[len - 1] == ' ' || line[len - 1] == '\t'))
		len--;
	new = &h->headers[h->header_count];
	new->name = pb_arena_str(h->arena, line, (size_t)(colon - line));
	new->value = pb_arena_str(h->arena, line + start, len - start);
	if (new->name.data == NULL || new->value.data == NULL)
		return fail(h, "out of memory");
	if (!pb_is_valid_header(new))
		return fail(h, "header has a character that HTTP forbids");
	if (!pb_is_router_header(new->name) &&
	    h->upstream_header_count++ == UPSTREAM_HEADERS_MAX)
		return fail(h, "too many headers");
	h->header_count++;
	return update_framing(h, new);
}

enum head_result
parse_response_head_line(struct response_head *h, const char *line, size_t len)
{
	if (h->done)
		return HEAD_INCOMPLETE;
	h->bytes += len;
	if (h->bytes > UPSTREAM_HEAD_BYTES_MAX)
		return fail(h, "too many bytes");
	if (len > 0 && line[len - 1] == '\n')
		len--;
	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (len > 5 && memcmp(line, "HTTP/", 5) == 0)
		return read_status(h, line, len);
	if (len > 0)
		return store_header(h, line, len);
	if (h->status < 200)
		return HEAD_INCOMPLETE;
	h->done = true;
	if (h->chunked)
		remove_header(h, "Content-Length");
	return HEAD_COMPLETE;
}
