#include "changes.h"
#include "gateway-follow.h"

#include <stdlib.h>

/*
 * A starting router that reads the store asks others for the crashes that they
 * know, and serves no requests before it has an answer. The regular reports of
 * other routers may start only seconds later, because these routers avoid one
 * that did not respond while it was down. A router that follows another one
 * receives the crashes in the answer to its first poll instead.
 */

/* Number of routers that are asked. Rows of routers that are gone remain. */
#define ASKED_MAX 6
/* If no answer arrives within this time, requests are served without one. */
#define ANSWER_WAIT_US (500 * PB_MSEC)
#define ANSWER_MAX (CRASHES_MAX * 16 + 16) /* bytes */

struct crash_question {
	struct pb_link_call call;
	struct pb_crash_fetch *fetch;
	struct pb_buf answer;
	int status;
};

struct pb_crash_fetch {
	struct pb_gateway *gw;
	struct event *timer;
	struct crash_question questions[ASKED_MAX];
	size_t asked; /* number of questions sent */
	size_t pending; /* of these, without an answer yet */
	bool begun;
	bool done;
};

bool
pb_knows_crashes(const struct pb_crash_fetch *fetch)
{
	return fetch->done;
}

void
pb_end_crash_fetch(struct pb_crash_fetch *fetch)
{
	fetch->done = true;
}

/* If no router can answer, requests are served without further waiting. */
static void
end_question(struct crash_question *q)
{
	struct pb_crash_fetch *f = q->fetch;

	pb_clear_buf(&q->answer);
	if (--f->pending == 0)
		pb_end_crash_fetch(f);
}

static void
on_head(struct pb_link_call *call)
{
	((struct crash_question *)call)->status =
	    call->link->reader.head.status;
}

static void
on_body(struct pb_link_call *call, struct pb_str part)
{
	struct crash_question *q = (struct crash_question *)call;

	if (pb_append_buf(&q->answer, part.data, part.len) != PB_OK)
		q->status = 0;
}

/* Returns false if the answer cannot be decoded. */
static bool
apply_answer(struct pb_gateway *gw, const struct pb_buf *answer)
{
	struct domain_report report = {0};
	XDR xdr;
	bool ok;

	if (answer->len == 0)
		return false;
	xdrmem_create(&xdr, answer->data, (u_int)answer->len, XDR_DECODE);
	ok = xdr_domain_report(&xdr, &report);
	xdr_destroy(&xdr);
	if (ok)
		pb_apply_crashes(
		    gw, report.crashes.crashes_val, report.crashes.crashes_len);
	xdr_free((xdrproc_t)xdr_domain_report, (char *)&report);
	return ok;
}

static void
on_done(struct pb_link_call *call)
{
	struct crash_question *q = (struct crash_question *)call;

	if (q->status == 200 && apply_answer(q->fetch->gw, &q->answer)) {
		pb_log(q->fetch->gw->ctx, PB_INFO, "fetch crashes", NULL, NULL,
		    "crashes known to another router received; %zu suspects "
		    "are refused",
		    pb_count_refused(
			q->fetch->gw->ctx, q->fetch->gw->suspects));
		pb_end_crash_fetch(q->fetch);
	}
	end_question(q);
}

static void
on_failed(struct pb_link_call *call, enum pb_link_failure failure)
{
	(void)failure;
	end_question((struct crash_question *)call);
}

static const struct pb_link_call_ops call_ops = {
    on_head, on_body, on_done, on_failed};

static int
send_question(struct crash_question *q, struct pb_instance *router)
{
	struct pb_gateway *gw = q->fetch->gw;
	struct pb_buf buf = {0};
	struct pb_link *link = NULL;
	int rc = pb_append_fmt(&buf,
	    "GET " PB_CRASHES_PATH " HTTP/1.1\r\nHost: %s\r\n\r\n",
	    router->address);

	if (rc == PB_OK)
		link = pb_open_link(gw, router);
	if (link != NULL)
		rc = pb_send_call(link, &q->call,
		    (struct pb_str){buf.data, buf.len}, PB_STR_NONE);
	else
		rc = PB_EABORTED;
	if (rc != PB_OK)
		pb_cancel_call(&q->call);
	pb_clear_buf(&buf);
	return rc;
}

/* Orders the routers differently for each router that asks. */
static uint64_t
rank_of(const struct pb_gateway *gw, const struct pb_router *r)
{
	return pb_hash_pair(
	    pb_hash_cstr(gw->settings.instance, 0), r->instance->hash);
}

/* Returns the router of the lowest rank above the given one, or NULL. */
static const struct pb_router *
next_router(const struct pb_gateway *gw, const struct pb_router *after)
{
	const struct pb_router *r, *best = NULL;

	for (r = pb_known_routers(gw->follower)->first; r != NULL;
	     r = r->next) {
		if (after != NULL && rank_of(gw, r) <= rank_of(gw, after))
			continue;
		if (best == NULL || rank_of(gw, r) < rank_of(gw, best))
			best = r;
	}
	return best;
}

static void
send_questions(struct pb_crash_fetch *f)
{
	const struct pb_router *r = NULL;

	while (f->asked < ASKED_MAX && (r = next_router(f->gw, r)) != NULL) {
		struct crash_question *q = &f->questions[f->asked];

		if (send_question(q, r->instance) != PB_OK)
			continue;
		f->asked++;
		f->pending++;
	}
}

void
pb_fetch_crashes(struct pb_crash_fetch *fetch)
{
	if (fetch->done || fetch->asked > 0)
		return;
	if (!fetch->begun)
		pb_set_timer(fetch->timer, ANSWER_WAIT_US);
	fetch->begun = true;
	send_questions(fetch);
	if (fetch->asked == 0 && pb_known_routers(fetch->gw->follower)->listed)
		pb_end_crash_fetch(fetch);
}

static void
cancel_questions(struct pb_crash_fetch *f)
{
	size_t i;

	for (i = 0; i < f->asked; i++) {
		pb_cancel_call(&f->questions[i].call);
		pb_clear_buf(&f->questions[i].answer);
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pb_crash_fetch *f = arg;

	(void)fd;
	(void)what;
	cancel_questions(f);
	if (!f->done)
		pb_log(f->gw->ctx, PB_INFO, "fetch crashes", NULL, NULL,
		    "no answer within %lld ms from %zu routers",
		    (long long)(ANSWER_WAIT_US / PB_MSEC), f->asked);
	pb_end_crash_fetch(f);
}

struct pb_crash_fetch *
pb_new_crash_fetch(struct pb_gateway *gw)
{
	struct pb_crash_fetch *f = calloc(1, sizeof(*f));
	size_t i;

	if (f == NULL)
		return NULL;
	f->gw = gw;
	f->timer = evtimer_new(gw->base, on_timer, f);
	if (f->timer == NULL) {
		free(f);
		return NULL;
	}
	for (i = 0; i < ASKED_MAX; i++) {
		f->questions[i].fetch = f;
		f->questions[i].call.ops = &call_ops;
	}
	return f;
}

void
pb_drop_crash_fetch(struct pb_crash_fetch *fetch)
{
	if (fetch == NULL)
		return;
	cancel_questions(fetch);
	event_free(fetch->timer);
	free(fetch);
}

/* Appends the crashes that this router knows. */
static int
encode_crashes(struct pb_gateway *gw, struct pb_buf *buf)
{
	struct crash_report crashes[CRASHES_MAX];
	struct domain_report report = {
	    .crashes = {pb_fill_crashes(gw, crashes), crashes}};
	char body[ANSWER_MAX];
	XDR xdr;
	int rc = PB_ENOMEM;

	xdrmem_create(&xdr, body, sizeof(body), XDR_ENCODE);
	if (xdr_domain_report(&xdr, &report))
		rc = pb_append_buf(buf, body, xdr_getpos(&xdr));
	xdr_destroy(&xdr);
	return rc;
}

void
pb_send_crashes(struct pb_conn *conn)
{
	struct pb_gateway *gw = conn->gw;
	struct pb_buf buf = {0};
	bool ok = pb_knows_crashes(gw->crash_fetch) &&
	    encode_crashes(gw, &buf) == PB_OK;

	pb_send_response(conn, ok ? 200 : 503, PB_STR_NONE,
	    (struct pb_str){buf.data, buf.len});
	pb_clear_buf(&buf);
}
