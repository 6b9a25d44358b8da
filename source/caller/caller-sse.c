#include "poplarbeam/caller.h"

#include <stdlib.h>
#include <string.h>

/* Updates last_id and done from one line of an event. */
static void
parse_line(struct pb_sse *sse, const char *line, size_t len)
{
	char number[24];

	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (len > 3 && memcmp(line, "id:", 3) == 0 &&
	    len - 3 < sizeof(number)) {
		memcpy(number, line + 3, len - 3);
		number[len - 3] = '\0';
		sse->last_id = strtoull(number, NULL, 10);
	} else if ((len == 12 && memcmp(line, "data: [DONE]", 12) == 0) ||
	    (len == 11 && memcmp(line, "data:[DONE]", 11) == 0)) {
		sse->done = true;
	}
}

static void
parse_events(struct pb_sse *sse, const char *data, size_t len)
{
	const char *end = data + len;

	while (data < end) {
		const char *nl = memchr(data, '\n', (size_t)(end - data));

		if (nl == NULL)
			return;
		parse_line(sse, data, (size_t)(nl - data));
		data = nl + 1;
	}
}

/* True when the line that ends with the LF at index i is empty. */
static bool
is_blank_line(const char *d, size_t i)
{
	if (i > 0 && d[i - 1] == '\r')
		i--;
	return i == 0 || d[i - 1] == '\n';
}

/*
 * Returns the length of the complete events at the start of the buffer, which
 * always begins at a line start. A blank line at the start is forwarded too, so
 * that the output does not depend on how the input is split.
 */
static size_t
find_last_event_end(struct pb_sse *sse)
{
	const char *d = sse->partial.data;
	size_t i, end = 0;

	for (i = sse->scanned; i < sse->partial.len; i++) {
		if (d[i] == '\n' && is_blank_line(d, i))
			end = i + 1;
	}
	sse->scanned = sse->partial.len;
	return end;
}

int
pb_feed_sse(
    struct pb_sse *sse, const void *data, size_t len, pb_sse_fn *fn, void *arg)
{
	size_t end;
	int rc;

	if (sse->partial.len + len > PB_SSE_EVENT_MAX)
		return PB_EPROTO;
	rc = pb_append_buf(&sse->partial, data, len);
	if (rc != PB_OK)
		return rc;
	end = find_last_event_end(sse);
	if (end == 0)
		return PB_OK;
	parse_events(sse, sse->partial.data, end);
	rc = fn(arg, sse->partial.data, end) == 0 ? PB_OK : PB_EABORTED;
	memmove(
	    sse->partial.data, sse->partial.data + end, sse->partial.len - end);
	sse->partial.len -= end;
	sse->scanned = sse->partial.len;
	return rc;
}

void
pb_reset_sse(struct pb_sse *sse)
{
	sse->partial.len = 0;
	sse->scanned = 0;
}

void
pb_clear_sse(struct pb_sse *sse)
{
	pb_clear_buf(&sse->partial);
	memset(sse, 0, sizeof(*sse));
}
