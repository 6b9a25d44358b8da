#include "changes.h"
#include "gateway-follow.h"

#include <stdlib.h>
#include <string.h>

#define RESPONSE_LIMIT_US (2 * PB_SEC)
#define RETRY_US PB_SEC
#define ROW_MAX 256 /* bytes */

struct pb_announcer {
	struct pb_link_call call;
	struct pb_gateway *gw;
	struct event *timer;
	int status;
	bool started;
};

static void write_row(struct pb_announcer *a);

static void
on_head(struct pb_link_call *call)
{
	((struct pb_announcer *)call)->status = call->link->reader.head.status;
}

static void
on_done(struct pb_link_call *call)
{
	struct pb_announcer *a = (struct pb_announcer *)call;

	evtimer_del(a->timer);
	if (a->status == 200) {
		pb_log(a->gw->ctx, PB_INFO, "announce", NULL, NULL,
		    "row of this router written to the list of routers");
		return;
	}
	pb_set_timer(a->timer, RETRY_US);
}

static void
on_failed(struct pb_link_call *call, enum pb_link_failure failure)
{
	(void)failure;
	/* The row is the same each time, so the write may be repeated. */
	pb_set_timer(((struct pb_announcer *)call)->timer, RETRY_US);
}

static const struct pb_link_call_ops call_ops = {
    on_head, pb_ignore_body, on_done, on_failed};

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pb_announcer *a = arg;

	(void)fd;
	(void)what;
	pb_cancel_call(&a->call);
	write_row(a);
}

static size_t
encode_row(const struct pb_gateway_settings *settings, char *out, size_t cap)
{
	struct router_row row = {
	    (char *)settings->domain, (char *)settings->peer};
	XDR xdr;
	size_t n = 0;

	xdrmem_create(&xdr, out, (u_int)cap, XDR_ENCODE);
	if (xdr_router_row(&xdr, &row))
		n = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return n;
}

static void
write_row(struct pb_announcer *a)
{
	struct pb_gateway *gw = a->gw;
	struct pb_link *link = pb_take_link(gw, gw->store);
	struct pb_buf buf = {0};
	char row[ROW_MAX];
	size_t n = encode_row(&gw->settings, row, sizeof(row));

	if (link != NULL &&
	    (gw->adapter->append_put(&buf, gw->settings.store, PB_STORE_ROUTERS,
		 pb_str_from(gw->settings.instance),
		 (struct pb_str){row, n}) != PB_OK ||
		pb_send_call(link, &a->call, (struct pb_str){buf.data, buf.len},
		    PB_STR_NONE) != PB_OK))
		pb_cancel_call(&a->call);
	pb_clear_buf(&buf);
	pb_set_timer(a->timer, RESPONSE_LIMIT_US);
}

struct pb_announcer *
pb_new_announcer(struct pb_gateway *gw)
{
	struct pb_announcer *a = calloc(1, sizeof(*a));

	if (a == NULL)
		return NULL;
	a->gw = gw;
	a->call.ops = &call_ops;
	a->timer = evtimer_new(gw->base, on_timer, a);
	if (a->timer == NULL) {
		free(a);
		return NULL;
	}
	return a;
}

void
pb_start_announcer(struct pb_announcer *announcer)
{
	if (announcer->started)
		return;
	announcer->started = true;
	write_row(announcer);
}

void
pb_drop_announcer(struct pb_announcer *announcer)
{
	if (announcer == NULL)
		return;
	pb_cancel_call(&announcer->call);
	event_free(announcer->timer);
	free(announcer);
}
