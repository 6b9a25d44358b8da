#include "gateway-exchange.h"

/*
 * Limits the memory used by requests and responses in progress. Callers and
 * instances determine how many bytes are buffered, so the bytes are counted. A
 * request body is admitted before it is read; the limit can then be exceeded
 * only by responses.
 */

/* Buffers may use memory_mb divided by this. */
#define BUFFER_SHARE 3
/*
 * Accounts are told apart by a hash modulo this. Accounts that share a slot are
 * counted together.
 */
#define ACCOUNT_SLOTS 1024

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

/* What may be ended to free memory: a connection, or a request without one. */
struct candidate {
	struct pb_conn *conn; /* NULL: the caller has left */
	struct pb_exchange *x; /* NULL: no request in progress */
	struct pb_holder holder;
};

static int64_t
count_bytes(const struct pb_conn *conn, const struct pb_exchange *x)
{
	return (conn != NULL ? (int64_t)conn->counted_bytes : 0) +
	    (x != NULL ? (int64_t)x->counted_bytes : 0);
}

/* Returns the slot of the client account; 0: no account. */
static size_t
find_slot(uint64_t account)
{
	return account == 0 ? 0 : 1 + account % (ACCOUNT_SLOTS - 1);
}

/* Returns true if the body of a request is being received. */
static bool
is_receiving(const struct pb_conn *conn)
{
	return !conn->handling && !conn->close_after && conn->reader.started &&
	    conn->body.cap > 0;
}

static void
consider(struct candidate *best, const struct candidate *c)
{
	if (c->holder.bytes > 0 &&
	    (best->holder.bytes == 0 ||
		pb_ends_before(&c->holder, &best->holder)))
		*best = *c;
}

/* Considers a connection without a request in progress. */
static void
consider_conn(
    struct candidate *best, const int64_t *account_bytes, struct pb_conn *conn)
{
	bool has_response = conn->output_len > 0 && !conn->reading;
	struct candidate c = {conn, NULL,
	    {.unread = has_response && pb_is_read_slowly(conn->output_len),
		.may_have_run = has_response,
		.rank = conn->rank,
		.account_bytes = account_bytes[find_slot(conn->account)],
		.bytes = count_bytes(conn, NULL)}};

	if (has_response || is_receiving(conn))
		consider(best, &c);
}

static void
consider_exchange(
    struct candidate *best, const int64_t *account_bytes, struct pb_exchange *x)
{
	struct candidate c = {x->conn, x,
	    {.unread =
		    x->conn != NULL && pb_is_read_slowly(x->conn->output_len),
		.may_have_run = x->may_have_run || pb_is_sent(&x->call),
		.rank = x->rank,
		.account_bytes = account_bytes[find_slot(x->account_hash)],
		.bytes = count_bytes(x->conn, x)}};

	consider(best, &c);
}

/* Sums what the requests and responses of each client account hold. */
static void
sum_accounts(struct pb_gateway *gw, int64_t *account_bytes)
{
	struct pb_exchange *x;
	struct pb_conn *conn;

	for (conn = TAILQ_FIRST(&gw->conns); conn != NULL;
	     conn = TAILQ_NEXT(conn, entry))
		account_bytes[find_slot(conn->account)] +=
		    count_bytes(conn, NULL);
	for (x = TAILQ_FIRST(&gw->exchanges); x != NULL;
	     x = TAILQ_NEXT(x, entry))
		account_bytes[find_slot(x->account_hash)] +=
		    count_bytes(NULL, x);
	/* Requests without an account do not belong together. */
	account_bytes[0] = 0;
}

/* Returns what is ended first; its bytes are 0 if nothing is left. */
static struct candidate
find_first(struct pb_gateway *gw)
{
	int64_t account_bytes[ACCOUNT_SLOTS] = {0};
	struct candidate best = {0};
	struct pb_exchange *x;
	struct pb_conn *conn;

	sum_accounts(gw, account_bytes);
	for (conn = TAILQ_FIRST(&gw->conns); conn != NULL;
	     conn = TAILQ_NEXT(conn, entry)) {
		if (conn->exchange == NULL)
			consider_conn(&best, account_bytes, conn);
	}
	for (x = TAILQ_FIRST(&gw->exchanges); x != NULL;
	     x = TAILQ_NEXT(x, entry))
		consider_exchange(&best, account_bytes, x);
	return best;
}

static void
close_unread(struct pb_conn *conn)
{
	struct pb_gateway *gw = conn->gw;

	pb_log(gw->ctx, PB_WARN, "end connection", NULL, NULL,
	    "closed: its caller has not read %zu bytes of a response; rank %d, "
	    "%lld buffered bytes exceed the memory limit",
	    conn->output_len, conn->rank, (long long)gw->buffered);
	gw->unread_closed++;
	pb_drop_conn(conn);
}

/* Frees some memory; returns false if nothing is left to end. */
static bool
free_some(struct pb_gateway *gw)
{
	struct candidate c = find_first(gw);

	if (c.holder.bytes == 0)
		return false;
	if (c.x != NULL)
		pb_end_exchange(c.x,
		    c.holder.unread ? PB_END_SLOW_CALLER : PB_END_BUFFER_LIMIT);
	else if (c.holder.may_have_run)
		close_unread(c.conn);
	else
		pb_refuse_body(c.conn);
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
