#include "gateway-exchange.h"

/*
 * Limits the memory used by requests and responses in progress. Callers and
 * instances determine how many bytes are buffered, so the bytes are counted,
 * and the connection or exchange that holds most is ended above the limit.
 */

/* Buffers may use memory_mb divided by this. */
#define BUFFER_SHARE 4

void
pb_update_conn_memory(struct pb_conn *conn)
{
	size_t output = evbuffer_get_length(bufferevent_get_output(conn->bev));
	size_t held = output + conn->body.cap;

	/*
	 * The request body is counted twice: it is kept for another attempt
	 * while the current attempt sends a copy of it.
	 */
	if (conn->exchange != NULL)
		held += 2 * conn->exchange->body.cap;
	/* A caller that reads its response is not idle, even if slow. */
	if (output < conn->output_len)
		conn->activity_us = pb_now(conn->gw->ctx);
	conn->output_len = output;
	conn->gw->buffered += (int64_t)held - (int64_t)conn->counted_bytes;
	conn->counted_bytes = held;
}

void
pb_update_response_memory(struct pb_exchange *x)
{
	x->gw->buffered +=
	    (int64_t)x->response.cap - (int64_t)x->response_counted_bytes;
	x->response_counted_bytes = x->response.cap;
}

static struct pb_exchange *
find_largest_response(struct pb_gateway *gw)
{
	struct pb_exchange *x, *largest = NULL;

	for (x = TAILQ_FIRST(&gw->exchanges); x != NULL;
	     x = TAILQ_NEXT(x, entry)) {
		if (largest == NULL ||
		    x->response_counted_bytes > largest->response_counted_bytes)
			largest = x;
	}
	return largest;
}

static struct pb_conn *
find_largest_conn(struct pb_gateway *gw)
{
	struct pb_conn *conn, *largest = NULL;

	for (conn = TAILQ_FIRST(&gw->conns); conn != NULL;
	     conn = TAILQ_NEXT(conn, entry)) {
		if (largest == NULL ||
		    conn->counted_bytes > largest->counted_bytes)
			largest = conn;
	}
	return largest;
}

static void
drop_conn_over_limit(struct pb_conn *conn)
{
	pb_log(conn->gw->ctx, PB_WARN, "end connection", NULL, NULL,
	    "closed: holds %zu of %lld buffered bytes; the total exceeds "
	    "the memory limit",
	    conn->counted_bytes, (long long)conn->gw->buffered);
	pb_drop_conn(conn);
}

void
pb_enforce_memory_limit(struct pb_gateway *gw)
{
	int64_t budget = (int64_t)gw->settings.memory_mb * (1 << 20);

	budget /= BUFFER_SHARE;
	while (gw->buffered > budget) {
		struct pb_exchange *x = find_largest_response(gw);
		struct pb_conn *conn = find_largest_conn(gw);
		size_t response = x != NULL ? x->response_counted_bytes : 0;
		size_t held = conn != NULL ? conn->counted_bytes : 0;

		if (response == 0 && held == 0)
			return;
		if (response >= held) {
			pb_end_attempt(x, PB_END_BUFFER_LIMIT);
			continue;
		}
		/*
		 * A connection that is being read is only marked here and
		 * dropped when the read returns, so the loop must stop.
		 */
		if (conn->reading) {
			drop_conn_over_limit(conn);
			return;
		}
		drop_conn_over_limit(conn);
	}
}

bool
pb_is_response_too_large(const struct pb_exchange *x)
{
	const struct pb_gateway_settings *s = &x->gw->settings;
	size_t limit = (size_t)s->answer_max_kb * 1024;

	if (x->streaming)
		return x->response.len > (size_t)s->event_max_kb * 1024;
	if (limit < x->routing->limits.body_max)
		limit = x->routing->limits.body_max;
	return x->response.len > limit;
}
