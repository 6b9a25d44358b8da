#include "changes.h"
#include "gateway-internal.h"

#include <stdlib.h>
#include <string.h>

/* Interval of the reports to other failure domains. */
#define REPORT_INTERVAL_US (150 * PB_MSEC)
/* The last report of a peer is dropped if no other follows within this time. */
#define STREAMS_TTL_US (1500 * PB_MSEC)
#define RESPONSE_LIMIT_US PB_SEC
/* A router that does not accept a report gets none for this long. */
#define AVOID_ROUTER_US (2 * PB_SEC)
#define BODY_MAX (STREAMS_MAX * 8 + CRASHES_MAX * 16 + 16) /* bytes */

unsigned int
pb_fill_streams(struct pb_gateway *gw, bool all,
    const struct pb_peer_streams *except, struct stream_report *reports)
{
	struct pb_stream_count counts[STREAMS_MAX];
	size_t i,
	    n = pb_read_streams(
		gw->ctx, gw->registry, all, except, counts, STREAMS_MAX);

	for (i = 0; i < n; i++) {
		reports[i].id_hash = counts[i].id_hash;
		reports[i].streams = counts[i].streams;
	}
	return (unsigned int)n;
}

static size_t
decode_reports(const struct stream_report *reports, unsigned int count,
    struct pb_stream_count *counts)
{
	unsigned int i;

	for (i = 0; i < count && i < STREAMS_MAX; i++) {
		counts[i].id_hash = reports[i].id_hash;
		counts[i].streams = reports[i].streams;
	}
	return i;
}

void
pb_replace_peer_streams(struct pb_conn *conn, enum pb_peer_scope scope,
    const struct stream_report *reports, unsigned int count)
{
	struct pb_stream_count counts[STREAMS_MAX];
	size_t n = decode_reports(reports, count, counts);

	pb_drop_peer_streams(conn->streams);
	conn->streams =
	    pb_new_peer_streams(conn->gw->registry, scope, counts, n);
	conn->streams_us = pb_now(conn->gw->ctx);
}

void
pb_expire_streams(struct pb_conn *conn)
{
	if (conn->streams == NULL ||
	    pb_now(conn->gw->ctx) - conn->streams_us < STREAMS_TTL_US)
		return;
	pb_drop_peer_streams(conn->streams);
	conn->streams = NULL;
}

void
pb_apply_streams(struct pb_gateway *gw, const struct stream_report *reports,
    unsigned int count)
{
	struct pb_stream_count counts[STREAMS_MAX];
	size_t n = decode_reports(reports, count, counts);

	pb_set_aggregate_streams(gw->ctx, gw->registry, counts, n);
}

/* Another failure domain to which reports are sent. */
struct report_target {
	struct pb_link_call call;
	struct pb_stream_reporter *stream_reporter;
	char domain[PB_INSTANCE_TEXT];
	/* Receiver of the report in progress, a counted reference, or NULL. */
	struct pb_instance *router;
	int64_t sent_us;
	int status;
	struct report_target *next;
};

struct pb_stream_reporter {
	struct pb_gateway *gw;
	struct event *timer;
	struct report_target *targets;
};

/*
 * Avoids a router that did not accept a report, so that the next report goes to
 * another router of its domain.
 */
static void
avoid_router(struct report_target *to)
{
	pb_note_unreachable_for(
	    to->stream_reporter->gw->ctx, to->router, AVOID_ROUTER_US);
	pb_drop_instance(to->router);
	to->router = NULL;
}

static void
on_head(struct pb_link_call *call)
{
	((struct report_target *)call)->status = call->link->reader.head.status;
}

static void
on_done(struct pb_link_call *call)
{
	struct report_target *to = (struct report_target *)call;

	if (to->status == 200) {
		pb_drop_instance(to->router);
		to->router = NULL;
	} else {
		avoid_router(to);
	}
}

static void
on_failed(struct pb_link_call *call, enum pb_link_failure failure)
{
	(void)failure;
	avoid_router((struct report_target *)call);
}

static const struct pb_link_call_ops call_ops = {
    on_head, pb_ignore_body, on_done, on_failed};

static int
append_report(struct pb_gateway *gw, const char *address, struct pb_buf *buf)
{
	struct stream_report reports[STREAMS_MAX];
	struct crash_report crashes[CRASHES_MAX];
	struct domain_report report = {
	    {pb_fill_streams(gw, false, NULL, reports), reports},
	    {pb_fill_crashes(gw, crashes), crashes}};
	char body[BODY_MAX];
	XDR xdr;
	u_int n = 0;
	int rc;

	xdrmem_create(&xdr, body, sizeof(body), XDR_ENCODE);
	if (xdr_domain_report(&xdr, &report))
		n = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	rc = pb_append_fmt(buf,
	    "POST " PB_STREAMS_PATH " HTTP/1.1\r\nHost: %s\r\n"
	    "Content-Length: %u\r\n\r\n",
	    address, n);
	return rc == PB_OK ? pb_append_buf(buf, body, n) : rc;
}

static void
report_to_domain(struct report_target *to)
{
	struct pb_gateway *gw = to->stream_reporter->gw;
	struct pb_instance *router = pb_first_router(
	    gw, pb_known_routers(gw->follow), to->domain, UINT64_MAX);
	struct pb_link *link;
	struct pb_buf buf = {0};

	if (router == NULL)
		return;
	to->router = pb_keep_instance(router);
	to->sent_us = pb_now(gw->ctx);
	to->status = 0;
	to->call.ops = &call_ops;
	link = pb_take_link(gw, router);
	if (link == NULL || append_report(gw, router->address, &buf) != PB_OK ||
	    pb_send_call(link, &to->call, (struct pb_str){buf.data, buf.len},
		PB_STR_NONE) != PB_OK) {
		pb_cancel_call(&to->call);
		avoid_router(to);
	}
	pb_clear_buf(&buf);
}

static void
add_target(struct pb_stream_reporter *t, const char *domain)
{
	struct report_target *to;

	for (to = t->targets; to != NULL; to = to->next) {
		if (strcmp(to->domain, domain) == 0)
			return;
	}
	to = calloc(1, sizeof(*to));
	if (to == NULL)
		return;
	to->stream_reporter = t;
	pb_copy_str(to->domain, sizeof(to->domain), domain);
	to->next = t->targets;
	t->targets = to;
}

static void
add_targets(struct pb_stream_reporter *t)
{
	const struct pb_gateway *gw = t->gw;
	const struct pb_router *r;

	for (r = pb_known_routers(gw->follow)->first; r != NULL; r = r->next) {
		if (strcmp(r->domain, gw->settings.domain) != 0)
			add_target(t, r->domain);
	}
}

static void
report_to_all(struct pb_stream_reporter *t)
{
	int64_t now = pb_now(t->gw->ctx);
	struct report_target *to;

	for (to = t->targets; to != NULL; to = to->next) {
		if (to->router == NULL) {
			report_to_domain(to);
		} else if (now - to->sent_us > RESPONSE_LIMIT_US) {
			pb_cancel_call(&to->call);
			avoid_router(to);
		}
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pb_stream_reporter *t = arg;
	struct pb_gateway *gw = t->gw;

	(void)fd;
	(void)what;
	pb_set_timer(t->timer, REPORT_INTERVAL_US);
	if (gw->stop_us != 0 || gw->routing == NULL ||
	    pb_is_following(gw->follow))
		return;
	add_targets(t);
	report_to_all(t);
}

struct pb_stream_reporter *
pb_new_stream_reporter(struct pb_gateway *gw)
{
	struct pb_stream_reporter *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->gw = gw;
	t->timer = evtimer_new(gw->base, on_timer, t);
	if (t->timer == NULL) {
		free(t);
		return NULL;
	}
	pb_set_timer(t->timer, REPORT_INTERVAL_US);
	return t;
}

void
pb_drop_stream_reporter(struct pb_stream_reporter *stream_reporter)
{
	struct report_target *to;

	if (stream_reporter == NULL)
		return;
	while ((to = stream_reporter->targets) != NULL) {
		stream_reporter->targets = to->next;
		pb_cancel_call(&to->call);
		pb_drop_instance(to->router);
		free(to);
	}
	event_free(stream_reporter->timer);
	free(stream_reporter);
}
