#include "gateway-exchange.h"

#include <string.h>

/*
 * Returns the offset of the end of the event that begins at start, or 0 if the
 * event is not complete.
 */
static size_t
find_event_end(const char *data, size_t start, size_t len)
{
	const char *p;

	while (start + 1 < len &&
	    (p = memchr(data + start, '\n', len - start - 1)) != NULL) {
		size_t at = (size_t)(p - data);

		if (data[at + 1] == '\n')
			return at + 2;
		if (data[at + 1] == '\r' && at + 2 < len &&
		    data[at + 2] == '\n')
			return at + 3;
		start = at + 1;
	}
	return 0;
}

/* Reads the event's id; returns false if it has no numeric id. */
static bool
read_event_id(const char *event, size_t len, int64_t *id)
{
	const char *line = event, *end = event + len;

	while (line < end) {
		const char *nl = memchr(line, '\n', (size_t)(end - line));
		const char *p = line + 3;
		int64_t n = 0;

		if (nl == NULL)
			nl = end;
		if (nl - line > 3 && memcmp(line, "id:", 3) == 0) {
			while (p < nl && *p == ' ')
				p++;
			if (p == nl || *p < '0' || *p > '9')
				return false;
			for (; p < nl && *p >= '0' && *p <= '9'; p++)
				n = n * 10 + (*p - '0');
			*id = n;
			return true;
		}
		line = nl + 1;
	}
	return false;
}

static void
forward_response(struct pb_exchange *x, const char *data, size_t len)
{
	if (x->conn == NULL || len == 0)
		return;
	if (!x->started) {
		x->started = true;
		x->first_us = pb_now(x->gw->ctx);
		pb_note_latency(x);
		pb_start_response(x->conn, x->status,
		    (struct pb_str){
			x->response_fields.data, x->response_fields.len});
	}
	pb_send_response_part(x->conn, (struct pb_str){data, len});
	pb_update_backpressure(x);
}

bool
pb_forward_events(struct pb_exchange *x)
{
	const char *data = x->response.data;
	size_t len = x->response.len;
	size_t from = 0, end;
	bool in_order = true;

	while ((end = find_event_end(data, from, len)) != 0) {
		int64_t id;

		if (read_event_id(data + from, end - from, &id)) {
			/*
			 * The event was sent already, or an event was left out
			 * on a resume.
			 */
			if (x->has_last_event && id != x->last_event + 1) {
				in_order = false;
				break;
			}
			x->has_last_event = true;
			x->last_event = id;
		}
		from = end;
	}
	if (from > 0) {
		x->progress_us = pb_now(x->gw->ctx);
		pb_note_stream_progress(x);
	}
	forward_response(x, data, from);
	memmove(x->response.data, data + from, len - from);
	x->response.len = len - from;
	return in_order;
}
