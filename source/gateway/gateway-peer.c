#include "changes.h"
#include "gateway-follow.h"

#include <stdlib.h>
#include <string.h>

/* How long a poll is held while nothing has changed. */
#define HOLD_US (150 * PB_MSEC)
/*
 * How long the first poll of a router with a newer list is held, so that this
 * router can catch up.
 */
#define CATCH_UP_HOLD_US (900 * PB_MSEC)

static void
free_question(struct change_question *q)
{
	xdr_free((xdrproc_t)xdr_change_question, (char *)q);
}

static bool
decode_question(struct pb_conn *conn, struct change_question *q)
{
	XDR xdr;
	bool ok;

	memset(q, 0, sizeof(*q));
	if (conn->body.len == 0)
		return false;
	xdrmem_create(&xdr, conn->body.data, (u_int)conn->body.len, XDR_DECODE);
	ok = xdr_change_question(&xdr, q);
	xdr_destroy(&xdr);
	if (!ok)
		free_question(q);
	return ok;
}

static void
fill_evacuation_ends(
    struct pb_gateway *gw, struct change_answer *answer, evacuation_end *ends)
{
	const struct pb_evacuation_end *list;
	size_t i, n = pb_read_evacuation_ends(gw->ctx, gw->registry, &list);

	for (i = 0; i < n && i < EVACUATED_MAX; i++) {
		ends[i].domain = (char *)list[i].domain;
		ends[i].age_ms =
		    (u_int)((pb_now(gw->ctx) - list[i].end_us) / PB_MSEC);
	}
	answer->ended.ended_val = ends;
	answer->ended.ended_len = (u_int)i;
}

/* names: room for EVACUATED_MAX pointers. */
static void
fill_evacuations(
    struct pb_gateway *gw, struct change_answer *answer, change_text *names)
{
	const struct pb_evacuation *list;
	size_t i, n;

	list = pb_read_evacuations(gw->registry, &n);
	for (i = 0; i < n && i < EVACUATED_MAX; i++)
		names[i] = (char *)list[i].domain;
	answer->evacuated.evacuated_val = names;
	answer->evacuated.evacuated_len = (u_int)i;
	answer->evacuations_row = pb_evacuations_version(gw->registry);
}

/* Returns NULL if the polling router knows the list of routers. */
static uint64_t *
fill_routers(struct pb_gateway *gw, const struct change_question *q,
    struct change_answer *answer)
{
	int64_t version = pb_routers_version(gw->registry);
	uint64_t *routers;

	answer->routers_row = version;
	if (q->routers_row >= version)
		return NULL;
	routers = calloc(ROUTERS_MAX, sizeof(*routers));
	if (routers == NULL) {
		answer->routers_row = 0;
		return NULL;
	}
	answer->routers.routers_val = (u_quad_t *)routers;
	answer->routers.routers_len =
	    (u_int)pb_read_routers(gw->registry, routers, ROUTERS_MAX);
	return routers;
}

/*
 * Finds the sequence after which the polling router needs changes. Returns
 * false if it needs the full list. A router that has not polled this one before
 * may have the list up to some version of the store.
 */
static bool
find_since(const struct pb_registry *reg, const struct change_question *q,
    uint64_t *since)
{
	uint64_t epoch = pb_registry_epoch(reg);

	*since = q->since;
	if (q->epoch != epoch &&
	    (q->list_row == 0 || !pb_find_sequence(reg, q->list_row, since)))
		return false;
	return !pb_needs_full_list(reg, epoch, *since);
}

static int
build_answer(
    struct pb_conn *conn, const struct change_question *q, struct pb_buf *buf)
{
	struct pb_gateway *gw = conn->gw;
	struct change_answer answer = {0};
	uint64_t since;
	struct load_report reports[LOAD_REPORTS_MAX];
	struct outcome_report outcomes[OUTCOMES_MAX];
	struct stream_report streams[STREAMS_MAX];
	struct crash_report crashes[CRASHES_MAX];
	change_text evacuated[EVACUATED_MAX];
	evacuation_end ended[EVACUATED_MAX];
	uint64_t *routers;
	struct pb_str packed = PB_STR_NONE;
	int rc;

	answer.epoch = pb_registry_epoch(gw->registry);
	answer.sequence = pb_registry_sequence(gw->registry);
	answer.full = !find_since(gw->registry, q, &since);
	answer.hops = pb_follow_hops(gw->follower);
	answer.routing_row = gw->routing_row;
	answer.list_row = pb_list_version(gw->registry);
	answer.routing_age = conn->held_us - gw->routing_fresh_us;
	answer.instances_age = conn->held_us - gw->instances_fresh_us;
	answer.clock = pb_now(gw->ctx);
	answer.reports.reports_val = reports;
	pb_fill_load_reports(
	    gw, q->reports_since, false, reports, &answer.reports.reports_len);
	answer.outcomes.outcomes_val = outcomes;
	answer.outcomes.outcomes_len = pb_fill_shared_outcomes(gw, outcomes);
	answer.streams.streams_val = streams;
	answer.streams.streams_len =
	    pb_fill_streams(gw, true, conn->streams, streams);
	answer.crashes.crashes_val = crashes;
	answer.crashes.crashes_len = pb_fill_crashes(gw, crashes);
	fill_evacuations(gw, &answer, evacuated);
	fill_evacuation_ends(gw, &answer, ended);
	routers = fill_routers(gw, q, &answer);
	if (answer.full)
		rc = pb_pack_list(gw, &packed);
	else
		rc = pb_fill_entries(gw, since, false,
		    &answer.entries.entries_val, &answer.entries.entries_len);
	answer.packed.packed_val = (char *)packed.data;
	answer.packed.packed_len = (u_int)packed.len;
	if (rc == PB_OK)
		rc = pb_encode_answer(&answer, buf);
	free(answer.entries.entries_val);
	free(routers);
	return rc;
}

static void
answer_poll(struct pb_conn *conn, const struct change_question *q)
{
	struct pb_buf buf = {0};
	int rc = build_answer(conn, q, &buf);

	conn->held_us = 0;
	pb_send_response(conn, rc == PB_OK ? 200 : 503, PB_STR_NONE,
	    (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
}

/*
 * Returns true if a router that has not polled this one before has a newer
 * list.
 */
static bool
is_peer_ahead(const struct pb_gateway *gw, const struct change_question *q)
{
	return q->epoch != pb_registry_epoch(gw->registry) &&
	    q->list_row > pb_list_version(gw->registry);
}

static bool
has_changes(
    struct pb_gateway *gw, const struct change_question *q, int64_t held_us)
{
	if (q->epoch != pb_registry_epoch(gw->registry))
		return !is_peer_ahead(gw, q);
	if (pb_last_avoided(gw->registry) > held_us)
		return true;
	return q->since != pb_registry_sequence(gw->registry) ||
	    q->routing_row != gw->routing_row;
}

/*
 * Returns true while this router has all data and receives all changes, from
 * the store or from the router that it follows. Returns false during a stop.
 */
static bool
is_up_to_date(const struct pb_gateway *gw)
{
	if (gw->routing == NULL || pb_list_version(gw->registry) == 0 ||
	    gw->stop_us != 0)
		return false;
	/* The ages tell a follower if this router's data is outdated. */
	if (pb_is_following(gw->follower))
		return true;
	return !pb_is_watch_failing(gw->routing_watch) &&
	    !pb_is_watch_failing(gw->instance_watch);
}

/*
 * Returns true if this router is starting and will soon have the data. A
 * listing that took long is outdated when it is complete; the router counts as
 * starting until the store has confirmed it.
 */
static bool
is_starting(const struct pb_gateway *gw)
{
	int64_t age = pb_now(gw->ctx) - gw->instances_fresh_us;

	if (gw->stop_us != 0)
		return false;
	if (gw->routing == NULL || pb_list_version(gw->registry) == 0)
		return true;
	return age > PB_INSTANCES_AGE_MAX_US &&
	    !pb_is_watch_failing(gw->instance_watch);
}

/* Refuses a request. Adds a Retry-After field if this router is starting. */
static void
refuse_request(struct pb_conn *conn)
{
	const struct pb_gateway *gw = conn->gw;
	static const char waiting[] = "Retry-After: 0\r\n";
	static const char reading[] =
	    "Retry-After: 0\r\n" PB_SOURCE_FIELD ": store\r\n";
	const char *fields = "";

	if (is_starting(gw))
		fields = pb_has_source(gw->follower) ? reading : waiting;
	conn->held_us = 0;
	pb_send_response(conn, 503, pb_str_from(fields), PB_STR_NONE);
}

/*
 * Sends the configuration compressed: 1,130 routes take 222 KB, and 19 KB when
 * compressed.
 */
static void
send_routing(struct pb_conn *conn)
{
	struct pb_gateway *gw = conn->gw;
	char fields[80];

	if (gw->routing_compressed.len == 0 &&
	    pb_deflate(&gw->routing_compressed,
		(struct pb_str){gw->routing_text.data, gw->routing_text.len}) !=
		PB_OK) {
		gw->routing_compressed.len = 0;
		pb_send_response(conn, 503, PB_STR_NONE, PB_STR_NONE);
		return;
	}
	snprintf(fields, sizeof(fields),
	    "ETag: %lld\r\nContent-Encoding: deflate\r\n",
	    (long long)gw->routing_row);
	pb_send_response(conn, 200, pb_str_from(fields),
	    (struct pb_str){
		gw->routing_compressed.data, gw->routing_compressed.len});
}

/*
 * Handles a report from another failure domain. Only a router that reads the
 * store accepts it.
 */
static void
on_domain_report(struct pb_conn *conn)
{
	struct domain_report report = {0};
	XDR xdr;
	bool ok;

	if (pb_is_following(conn->gw->follower)) {
		refuse_request(conn);
		return;
	}
	xdrmem_create(&xdr, conn->body.data != NULL ? conn->body.data : "",
	    (u_int)conn->body.len, XDR_DECODE);
	ok = xdr_domain_report(&xdr, &report);
	xdr_destroy(&xdr);
	if (ok)
		pb_replace_peer_streams(conn, PB_PEER_REMOTE,
		    report.streams.streams_val, report.streams.streams_len);
	if (ok)
		pb_apply_crashes(conn->gw, report.crashes.crashes_val,
		    report.crashes.crashes_len);
	xdr_free((xdrproc_t)xdr_domain_report, (char *)&report);
	pb_send_response(conn, ok ? 200 : 400, PB_STR_NONE, PB_STR_NONE);
}

static void
on_request(struct pb_conn *conn)
{
	struct pb_gateway *gw = conn->gw;
	struct pb_str target = pb_http_target(&conn->reader.head);
	struct change_question q;

	if (pb_str_equal_c(target, PB_CRASHES_PATH)) {
		pb_send_crashes(conn);
		return;
	}
	if (!is_up_to_date(gw)) {
		refuse_request(conn);
		return;
	}
	if (pb_str_equal_c(target, PB_STREAMS_PATH)) {
		on_domain_report(conn);
		return;
	}
	if (pb_str_equal_c(target, PB_ROUTING_PATH)) {
		send_routing(conn);
		return;
	}
	if (!decode_question(conn, &q)) {
		pb_send_response(conn, 400, PB_STR_NONE, PB_STR_NONE);
		return;
	}
	/* A router without a list must not get an outdated one. */
	if (q.list_row == 0 && is_starting(gw)) {
		refuse_request(conn);
		free_question(&q);
		return;
	}
	conn->held_us = pb_now(gw->ctx);
	pb_apply_load_reports(
	    gw, q.reports.reports_val, q.reports.reports_len, true);
	pb_add_outcomes(gw, q.outcomes.outcomes_val, q.outcomes.outcomes_len);
	pb_apply_crashes(gw, q.crashes.crashes_val, q.crashes.crashes_len);
	pb_replace_peer_streams(conn, PB_PEER_OWN_DOMAIN, q.streams.streams_val,
	    q.streams.streams_len);
	if (has_changes(gw, &q, conn->held_us))
		answer_poll(conn, &q);
	free_question(&q);
}

const struct pb_conn_ops pb_peer_ops = {on_request};

void
pb_answer_held_polls(struct pb_gateway *gw)
{
	int64_t now = pb_now(gw->ctx);
	struct pb_conn *conn, *next;
	struct change_question q;

	for (conn = TAILQ_FIRST(&gw->conns); conn != NULL; conn = next) {
		next = TAILQ_NEXT(conn, entry);
		pb_expire_streams(conn);
		if (conn->held_us == 0 || !decode_question(conn, &q))
			continue;
		if (!is_up_to_date(gw) ||
		    (is_peer_ahead(gw, &q) &&
			now - conn->held_us >= CATCH_UP_HOLD_US))
			refuse_request(conn);
		else if (has_changes(gw, &q, conn->held_us) ||
		    (!is_peer_ahead(gw, &q) && now - conn->held_us >= HOLD_US))
			answer_poll(conn, &q);
		free_question(&q);
	}
}
