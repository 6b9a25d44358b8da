#include "changes.h"
#include "gateway-follow.h"

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
avoid_router(struct report_target *target)
{
	pb_note_unreachable_for(
	    target->stream_reporter->gw->ctx, target->router, AVOID_ROUTER_US);
	pb_drop_instance(target->router);
	target->router = NULL;
}

static void
on_head(struct pb_link_call *call)
{
	((struct report_target *)call)->status = call->link->reader.head.status;
}

static void
on_done(struct pb_link_call *call)
{
	struct report_target *target = (struct report_target *)call;

	if (target->status == 200) {
		pb_drop_instance(target->router);
		target->router = NULL;
	} else {
		avoid_router(target);
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
report_to_domain(struct report_target *target)
{
	struct pb_gateway *gw = target->stream_reporter->gw;
	struct pb_instance *router = pb_first_router(
	    gw, pb_known_routers(gw->follower), target->domain, UINT64_MAX);
	struct pb_link *link;
	struct pb_buf buf = {0};

	if (router == NULL)
		return;
	target->router = pb_keep_instance(router);
	target->sent_us = pb_now(gw->ctx);
	target->status = 0;
	target->call.ops = &call_ops;
	link = pb_take_link(gw, router);
	if (link == NULL || append_report(gw, router->address, &buf) != PB_OK ||
	    pb_send_call(link, &target->call,
		(struct pb_str){buf.data, buf.len}, PB_STR_NONE) != PB_OK) {
		pb_cancel_call(&target->call);
		avoid_router(target);
	}
	pb_clear_buf(&buf);
}

static void
add_target(struct pb_stream_reporter *sr, const char *domain)
{
	struct report_target *target;

	for (target = sr->targets; target != NULL; target = target->next) {
		if (strcmp(target->domain, domain) == 0)
			return;
	}
	target = calloc(1, sizeof(*target));
	if (target == NULL)
		return;
	target->stream_reporter = sr;
	pb_copy_str(target->domain, sizeof(target->domain), domain);
	target->next = sr->targets;
	sr->targets = target;
}

static void
add_targets(struct pb_stream_reporter *sr)
{
	const struct pb_gateway *gw = sr->gw;
	const struct pb_router *r;

	for (r = pb_known_routers(gw->follower)->first; r != NULL;
	     r = r->next) {
		if (strcmp(r->domain, gw->settings.domain) != 0)
			add_target(sr, r->domain);
	}
}

static void
report_to_all(struct pb_stream_reporter *sr)
{
	int64_t now = pb_now(sr->gw->ctx);
	struct report_target *target;

	for (target = sr->targets; target != NULL; target = target->next) {
		if (target->router == NULL) {
			report_to_domain(target);
		} else if (now - target->sent_us > RESPONSE_LIMIT_US) {
			pb_cancel_call(&target->call);
			avoid_router(target);
		}
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pb_stream_reporter *sr = arg;
	struct pb_gateway *gw = sr->gw;

	(void)fd;
	(void)what;
	pb_set_timer(sr->timer, REPORT_INTERVAL_US);
	if (gw->stop_us != 0 || gw->routing == NULL ||
	    pb_is_following(gw->follower))
		return;
	add_targets(sr);
	report_to_all(sr);
}

struct pb_stream_reporter *
pb_new_stream_reporter(struct pb_gateway *gw)
{
	struct pb_stream_reporter *sr = calloc(1, sizeof(*sr));

	if (sr == NULL)
		return NULL;
	sr->gw = gw;
	sr->timer = evtimer_new(gw->base, on_timer, sr);
	if (sr->timer == NULL) {
		free(sr);
		return NULL;
	}
	pb_set_timer(sr->timer, REPORT_INTERVAL_US);
	return sr;
}

void
pb_drop_stream_reporter(struct pb_stream_reporter *stream_reporter)
{
	struct report_target *target;

	if (stream_reporter == NULL)
		return;
	while ((target = stream_reporter->targets) != NULL) {
		stream_reporter->targets = target->next;
		pb_cancel_call(&target->call);
		pb_drop_instance(target->router);
		free(target);
	}
	event_free(stream_reporter->timer);
	free(stream_reporter);
}
