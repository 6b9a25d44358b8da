#include "gateway-exchange.h"

/*
 * Limits the memory used by requests and responses in progress. Callers and
 * instances determine how many bytes are buffered, so the bytes are counted. A
 * request body is admitted before it is read; the limit can then be exceeded
 * only by responses.
 */

/* Buffers may use memory_mb divided by this. */
#define BUFFER_SHARE 3

static int64_t
find_budget(const struct pb_gateway *gw)
{
	return (int64_t)gw->settings.memory_mb * (1 << 20) / BUFFER_SHARE;
}

bool
pb_admits_body(const struct pb_conn *conn, size_t len)
{
	double share = pb_find_body_share(len, conn->rank, conn->rank_count);

	return (double)conn->gw->buffered + (double)len <=
	    (double)find_budget(conn->gw) * share;
}

void
pb_update_conn_memory(struct pb_conn *conn)
{
	size_t output = evbuffer_get_length(bufferevent_get_output(conn->bev));
	size_t held = output + conn->body.cap;

	/* A caller that reads its response is not idle, even if slow. */
	if (output < conn->output_len)
		conn->activity_us = pb_now(conn->gw->ctx);
	conn->output_len = output;
	conn->gw->buffered += (int64_t)held - (int64_t)conn->counted_bytes;
	conn->counted_bytes = held;
}

void
pb_update_exchange_memory(struct pb_exchange *x)
{
	size_t held = x->body.cap + x->response.cap + x->standby.response.cap;

	x->gw->buffered += (int64_t)held - (int64_t)x->counted_bytes;
	x->counted_bytes = held;
}

static int64_t
count_bytes(const struct pb_exchange *x)
{
	return (int64_t)x->counted_bytes +
	    (x->conn != NULL ? (int64_t)x->conn->counted_bytes : 0);
}

/* Counts what all requests in progress of the exchange's account hold. */
static int64_t
count_account_bytes(const struct pb_exchange *x)
{
	const struct pb_exchange *other;
	int64_t sum = 0;

	for (other = TAILQ_FIRST(&x->gw->exchanges); other != NULL;
	     other = TAILQ_NEXT(other, entry)) {
		if (other->account != NULL && x->account != NULL &&
		    pb_str_equal(other->account->name, x->account->name))
			sum += count_bytes(other);
	}
	return sum;
}

/* Returns the request in progress that is ended first, or NULL. */
static struct pb_exchange *
find_first_holder(struct pb_gateway *gw)
{
	struct pb_exchange *x, *first = NULL;
	struct pb_holder best = {0};

	for (x = TAILQ_FIRST(&gw->exchanges); x != NULL;
	     x = TAILQ_NEXT(x, entry)) {
		struct pb_holder h = {x->may_have_run || pb_is_sent(&x->call),
		    x->rank, count_account_bytes(x), count_bytes(x)};

		if (h.bytes == 0 ||
		    (first != NULL && !pb_ends_before(&h, &best)))
			continue;
		first = x;
		best = h;
	}
	return first;
}

/* Returns the connection with most unread bytes of a whole response. */
static struct pb_conn *
find_slow_reader(struct pb_gateway *gw)
{
	struct pb_conn *conn, *largest = NULL;

	for (conn = TAILQ_FIRST(&gw->conns); conn != NULL;
	     conn = TAILQ_NEXT(conn, entry)) {
		if (conn->exchange != NULL || conn->reading ||
		    conn->output_len == 0)
			continue;
		if (largest == NULL || conn->output_len > largest->output_len)
			largest = conn;
	}
	return largest;
}

/* Returns the connection with the longest body that is being received. */
static struct pb_conn *
find_longest_body(struct pb_gateway *gw)
{
	struct pb_conn *conn, *longest = NULL;

	for (conn = TAILQ_FIRST(&gw->conns); conn != NULL;
	     conn = TAILQ_NEXT(conn, entry)) {
		if (conn->handling || conn->close_after || conn->body.cap == 0)
			continue;
		if (longest == NULL || conn->body.cap > longest->body.cap)
			longest = conn;
	}
	return longest;
}

static void
drop_slow_reader(struct pb_conn *conn)
{
	pb_log(conn->gw->ctx, PB_WARN, "end connection", NULL, NULL,
	    "closed: its caller has not read %zu bytes of a response; the "
	    "%lld buffered bytes exceed the memory limit",
	    conn->output_len, (long long)conn->gw->buffered);
	pb_drop_conn(conn);
}

/* Frees some memory; returns false if nothing is left to end. */
static bool
free_some(struct pb_gateway *gw)
{
	struct pb_conn *conn = find_slow_reader(gw);
	struct pb_exchange *x;

	if (conn != NULL) {
		drop_slow_reader(conn);
		return true;
	}
	conn = find_longest_body(gw);
	if (conn != NULL) {
		pb_refuse_body(conn);
		return true;
	}
	x = find_first_holder(gw);
	if (x == NULL)
		return false;
	pb_end_exchange(x, PB_END_BUFFER_LIMIT);
	return true;
}

void
pb_enforce_memory_limit(struct pb_gateway *gw)
{
	while (gw->buffered > find_budget(gw) && free_some(gw))
		;
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
