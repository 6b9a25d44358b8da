#include "changes.h"
#include "gateway-follow.h"

#include <stdlib.h>
#include <string.h>

/*
 * In each failure domain, the router with the lowest hash reads the store and
 * the others poll it, or poll routers that do (order.h). The number of calls to
 * the store then grows with the failure domains instead of the routers.
 */

/*
 * At startup, a router lists the routers and polls the one that it follows. If
 * the list does not arrive within this time, it reads the store.
 */
#define START_LIST_US PB_SEC
/* A router that is gone does not accept the connection; others may be busy. */
#define START_CONNECT_US (100 * PB_MSEC)
#define START_ANSWER_US (400 * PB_MSEC)
/* How long this router, at startup, avoids one that did not answer. */
#define START_AVOID_US PB_SEC
/* The first router polls at most this many of the others at startup. */
#define LATER_MAX 16
/* Routers that start together write their rows in this time. */
#define RELIST_DELAY_US PB_SEC
/* Time between polls of a router that is starting as well. */
#define STARTING_PAUSE_US (40 * PB_MSEC)
/* Time for the store to return the list of routers. */
#define LIST_ANSWER_US (300 * PB_MSEC)
#define ANSWER_LIMIT_US (1100 * PB_MSEC)
/*
 * A poll without a complete answer after this time is late. The router then
 * reads the list of instances from the store as well: an instance that leaves
 * must not get requests until the poll has timed out. The followed router
 * answers within 250 ms.
 */
#define LATE_ANSWER_US (500 * PB_MSEC)
/* Data that arrives within this time of the poll extends the timeout. */
#define BODY_LIMIT_US (4 * PB_SEC)
#define ROUTING_MAX (16 << 20) /* bytes */
#define RETRY_US (100 * PB_MSEC)
/* Delay between polls, so that changes in close succession share one answer. */
#define POLL_PAUSE_US (50 * PB_MSEC)
#define NO_PEER_RETRY_US (2 * PB_SEC)
#define ROUTER_REFRESH_US (8 * PB_SEC)
/* Minimum time between two changes of a peer that is far from the store. */
#define RECHOOSE_US (10 * PB_SEC)
/*
 * How long a router that gave no usable answer is avoided. The time doubles
 * with each consecutive poll without an answer, up to a factor of 64, because
 * the rows of routers that are gone for good stay in the store.
 */
#define AVOID_US (5 * PB_SEC)
#define AVOID_SHIFT_MAX 6

struct pb_follower {
	struct pb_link_call call;
	struct pb_gateway *gw;
	struct event *timer;
	struct pb_router_list routers; /* all other routers */
	struct pb_instance *peer; /* router being polled; holds a reference */
	struct pb_buf answer;
	uint64_t own_hash;
	uint64_t epoch; /* of the peer's registry; 0: not known */
	uint64_t since;
	int64_t sent_us;
	int64_t give_up_us; /* when the poll in progress times out */
	int64_t reported_us; /* own reports up to this time were sent */
	int64_t reports_since; /* clock of the peer at its last answer */
	int status;
	int64_t routing_row; /* store version of the fetched configuration */
	int64_t routing_fresh_us; /* when the peer's copy was current */
	bool following;
	bool reads_store_too; /* a poll is late: both sources are read */
	bool routing_outdated; /* the peer has a newer configuration */
	bool fetching_routing; /* the poll in progress gets the configuration */
	bool starting; /* startup: not yet settled on the store or a peer */
	bool first_start; /* the list of routers had no row of this router */
	bool awaiting_rows; /* waiting for other routers to write their rows */
	bool peer_is_starting; /* according to its last answer */
	bool peer_has_source; /* it reads the store or waits for a reader */
	int asked_later; /* startup: polled routers that come after this one */
	int64_t listed_us; /* when the routers were first listed; 0: not yet */
	int64_t silent_us; /* startup: time spent on peers without an answer */
	unsigned int hops; /* from the store to this router while following */
	int64_t rechosen_us; /* when a peer far from the store was left */
	int64_t router_refresh_us; /* last refresh while reading the store */
	bool relisted; /* the list was requested again after the start */
};

static void poll_peer(struct pb_follower *f);
static bool poll_next_peer(struct pb_follower *f);
static void take_start_step(struct pb_follower *f, const char *why);

bool
pb_is_following(const struct pb_follower *follower)
{
	return follower != NULL && follower->following &&
	    follower->peer->hash < follower->own_hash;
}

unsigned int
pb_follow_hops(const struct pb_follower *follower)
{
	return pb_is_following(follower) ? follower->hops : 0;
}

bool
pb_has_source(const struct pb_follower *follower)
{
	return !follower->starting ||
	    (follower->peer != NULL && follower->peer_has_source);
}

/* Reads the store instead of polling a peer. */
static void
switch_to_store(struct pb_follower *f)
{
	f->starting = false;
	f->following = false;
	f->reads_store_too = false;
	pb_resume_watch(f->gw->routing_watch);
	pb_resume_watch(f->gw->instance_watch);
	pb_fetch_crashes(f->gw->crash_fetch);
}

static void
reset_unanswered_count(struct pb_follower *f)
{
	struct pb_router *r = pb_find_router(&f->routers, f->peer);

	if (r != NULL)
		r->unanswered_count = 0;
}

/* Stops polling the peer and avoids it for us microseconds. */
static void
leave_peer(struct pb_follower *f, int64_t us, const char *why)
{
	struct pb_gateway *gw = f->gw;

	f->epoch = 0;
	f->routing_outdated = false;
	if (f->peer == NULL)
		return;
	if (us > 0)
		pb_note_unreachable_for(gw->ctx, f->peer, us);
	pb_log(gw->ctx, PB_INFO, "follow router", f->peer->id, NULL, "%s%s",
	    f->following ? "no longer followed: " : "", why);
	pb_drop_instance(f->peer);
	f->peer = NULL;
}

/* Leaves the peer and reads the store, or at startup asks the next peer. */
static void
drop_peer_for(struct pb_follower *f, int64_t us, const char *why)
{
	if (f->starting) {
		take_start_step(f, why);
		return;
	}
	leave_peer(f, us, why);
	pb_set_timer(f->timer, f->relisted ? RETRY_US : RELIST_DELAY_US);
	switch_to_store(f);
}

static void
drop_peer(struct pb_follower *f, const char *why)
{
	drop_peer_for(f, AVOID_US, why);
}

/* Drops a peer that gave no answer; avoids it for longer each time. */
static void
drop_silent_peer(struct pb_follower *f, const char *why)
{
	struct pb_router *r = pb_find_router(&f->routers, f->peer);
	int64_t us = AVOID_US;

	f->peer_is_starting = false;
	if (f->starting) {
		f->silent_us += pb_now(f->gw->ctx) - f->sent_us;
	} else if (r != NULL) {
		us <<= r->unanswered_count;
		if (r->unanswered_count < AVOID_SHIFT_MAX)
			r->unanswered_count++;
	}
	drop_peer_for(f, us, why);
}

/* Returns true while the store does not serve this router. */
static bool
is_store_unavailable(const struct pb_gateway *gw)
{
	return pb_is_watch_failing(gw->routing_watch) ||
	    pb_is_watch_failing(gw->instance_watch);
}

/* Returns true if the store sent a newer list while the answer was late. */
static bool
is_answer_outdated(const struct pb_follower *f, const struct change_answer *a)
{
	return f->reads_store_too &&
	    a->list_row < pb_list_version(f->gw->registry);
}

/*
 * Discards the answer. The next poll states the version of this router's list,
 * and the peer answers it when it has caught up.
 */
static void
skip_outdated_answer(struct pb_follower *f)
{
	f->epoch = 0;
	pb_set_timer(f->timer, POLL_PAUSE_US);
}

static void
apply_answer(struct pb_follower *f, const struct change_answer *a)
{
	struct pb_gateway *gw = f->gw;

	pb_apply_changes(gw, a, f->sent_us);
	pb_end_crash_fetch(gw->crash_fetch);
	f->reports_since = a->clock;
	f->epoch = a->epoch;
	f->since = a->sequence;
	f->hops = a->hops + 1;
	f->routing_outdated = a->routing_row > gw->routing_row;
	if (a->routing_row == gw->routing_row)
		pb_note_routing_fresh(gw, f->sent_us - a->routing_age);
	/* A configuration that is fetched next is at least as recent. */
	f->routing_fresh_us = f->sent_us - a->routing_age;
}

/*
 * Stops reading the store. An answer that is still to come from it would be
 * older than the peer's next answers and would revert them.
 */
static void
pause_watches(struct pb_gateway *gw)
{
	pb_pause_watch(gw->routing_watch);
	pb_pause_watch(gw->instance_watch);
}

/*
 * Leaves a peer that has become too far from the store because it follows
 * routers that have joined. Returns false if the peer is kept.
 */
static bool
leave_far_peer(struct pb_follower *f)
{
	struct pb_gateway *gw = f->gw;
	int64_t now = pb_now(gw->ctx);

	if (!pb_is_too_far(f->hops, pb_count_domain_routers(gw)) ||
	    f->routing_outdated || now - f->rechosen_us < RECHOOSE_US ||
	    is_store_unavailable(gw) ||
	    pb_preceding_router(gw, &f->routers, f->own_hash) == f->peer)
		return false;
	f->rechosen_us = now;
	leave_peer(f, 0, "too far from the store");
	switch_to_store(f);
	f->relisted = false;
	pb_set_timer(f->timer, 1);
	return true;
}

static void
handle_changes(struct pb_follower *f, const struct change_answer *a)
{
	struct pb_gateway *gw = f->gw;
	char why[96];

	if (a->routing_age > pb_routing_age_max(gw) ||
	    a->instances_age > PB_INSTANCES_AGE_MAX_US) {
		snprintf(why, sizeof(why),
		    "stale: configuration confirmed %lld ms ago, instances "
		    "%lld ms ago",
		    (long long)(a->routing_age / PB_MSEC),
		    (long long)(a->instances_age / PB_MSEC));
		drop_peer(f, why);
		return;
	}
	if (is_answer_outdated(f, a)) {
		skip_outdated_answer(f);
		return;
	}
	apply_answer(f, a);
	f->starting = false;
	if (f->peer->hash >= f->own_hash && !f->routing_outdated &&
	    !is_store_unavailable(gw)) {
		drop_peer(f, "the store is available");
		return;
	}
	if (leave_far_peer(f))
		return;
	if (!f->following)
		pb_log(gw->ctx, PB_INFO, "follow router", f->peer->id, NULL,
		    "followed instead of the store; %u entries, instances "
		    "confirmed %lld ms ago",
		    a->entries.entries_len,
		    (long long)(a->instances_age / PB_MSEC));
	f->following = true;
	f->reads_store_too = false;
	if (pb_is_following(f))
		pause_watches(gw);
	if (f->routing_outdated)
		poll_peer(f);
	else
		pb_set_timer(f->timer, POLL_PAUSE_US);
}

/* Sets the timer to the next check of the poll in progress. */
static void
arm_poll_timer(struct pb_follower *f)
{
	int64_t now = pb_now(f->gw->ctx);
	int64_t late = f->sent_us + LATE_ANSWER_US;
	int64_t at = f->give_up_us;

	if (pb_is_following(f) && !f->reads_store_too && late < at)
		at = late;
	if (f->starting && !pb_is_sent(&f->call))
		at = f->sent_us + START_CONNECT_US;
	pb_set_timer(f->timer, at > now ? at - now : 1);
}

static void
on_head(struct pb_link_call *call)
{
	struct pb_follower *f = (struct pb_follower *)call;
	const struct pb_http_head *h = &call->link->reader.head;
	struct pb_str tag = pb_find_http_field(h, "ETag");
	char text[24];

	f->status = h->status;
	f->peer_is_starting = pb_find_http_field(h, "Retry-After").data != NULL;
	f->peer_has_source =
	    pb_find_http_field(h, PB_SOURCE_FIELD).data != NULL;
	snprintf(text, sizeof(text), "%.*s", (int)tag.len,
	    tag.len > 0 ? tag.data : "");
	f->routing_row = strtoll(text, NULL, 10);
}

static void
on_body(struct pb_link_call *call, struct pb_str part)
{
	struct pb_follower *f = (struct pb_follower *)call;
	int64_t now = pb_now(f->gw->ctx);

	if (pb_append_buf(&f->answer, part.data, part.len) != PB_OK)
		f->status = 0;
	/* A full list may take a long time on a slow link. */
	if (now - f->sent_us < BODY_LIMIT_US) {
		f->give_up_us = now + ANSWER_LIMIT_US;
		arm_poll_timer(f);
	}
}

/* Applies the configuration fetched from the peer. */
static void
handle_routing(struct pb_follower *f)
{
	struct pb_gateway *gw = f->gw;
	struct pb_buf text = {0};

	if (pb_inflate(&text, (struct pb_str){f->answer.data, f->answer.len},
		ROUTING_MAX) != PB_OK) {
		pb_clear_buf(&text);
		drop_peer(f, "its configuration could not be decompressed");
		return;
	}
	pb_log(gw->ctx, PB_INFO, "follow router", f->peer->id, NULL,
	    "configuration fetched: row version %lld, previously %lld",
	    (long long)f->routing_row, (long long)gw->routing_row);
	if (f->routing_row > gw->routing_row)
		pb_apply_routing_row(
		    gw, (struct pb_str){text.data, text.len}, f->routing_row);
	pb_clear_buf(&text);
	f->routing_outdated = f->routing_row > gw->routing_row;
	if (f->routing_outdated) {
		drop_peer(f, "its configuration was rejected");
		return;
	}
	pb_note_routing_fresh(gw, f->routing_fresh_us);
	pb_set_timer(f->timer, POLL_PAUSE_US);
}

/* Polls the next router, or reads the store if there is none. */
static void
start_with_next_peer(struct pb_follower *f)
{
	if (poll_next_peer(f))
		return;
	/*
	 * This router starts for the first time, and perhaps the whole fleet
	 * does. A router that precedes it may not have written its row yet.
	 */
	f->awaiting_rows = f->first_start && !f->relisted;
	if (!f->awaiting_rows)
		switch_to_store(f);
	pb_set_timer(f->timer, RELIST_DELAY_US);
}

/* Continues the startup after a poll that brought no data. */
static void
take_start_step(struct pb_follower *f, const char *why)
{
	struct pb_start_facts facts = {
	    .elapsed_us = pb_now(f->gw->ctx) - f->listed_us,
	    .silent_us = f->silent_us,
	    .peer_is_starting = f->peer_is_starting,
	    .peer_precedes = f->peer->hash < f->own_hash,
	    .peer_has_source = f->peer_has_source,
	    .awaits_rows = f->first_start && !f->relisted,
	    .first_start = f->first_start};

	switch (pb_decide_start(&facts)) {
	case PB_START_WAIT:
		pb_set_timer(f->timer, STARTING_PAUSE_US);
		break;
	case PB_START_AWAIT_ROWS:
		leave_peer(f, 0, why);
		f->awaiting_rows = true;
		pb_set_timer(f->timer, RELIST_DELAY_US);
		break;
	case PB_START_NEXT_PEER:
		leave_peer(f, START_AVOID_US, why);
		pb_set_timer(f->timer, 1);
		break;
	case PB_START_READ_STORE:
		leave_peer(f, f->peer_is_starting ? 0 : START_AVOID_US, why);
		switch_to_store(f);
		pb_set_timer(f->timer, RELIST_DELAY_US);
		break;
	}
}

static void
on_done(struct pb_link_call *call)
{
	struct pb_follower *f = (struct pb_follower *)call;
	struct change_answer answer;
	XDR xdr;

	evtimer_del(f->timer);
	reset_unanswered_count(f);
	if (f->starting && f->status == 503 && f->peer_is_starting) {
		take_start_step(f, "it is starting");
		return;
	}
	f->peer_is_starting = false;
	if (f->status != 200 || f->answer.len == 0) {
		drop_peer(f, "it returned no usable answer");
		return;
	}
	if (f->fetching_routing) {
		handle_routing(f);
		return;
	}
	memset(&answer, 0, sizeof(answer));
	xdrmem_create(&xdr, f->answer.data, (u_int)f->answer.len, XDR_DECODE);
	if (xdr_change_answer(&xdr, &answer) && pb_unpack_list(&answer))
		handle_changes(f, &answer);
	else
		drop_peer(f, "its answer could not be decoded");
	xdr_destroy(&xdr);
	xdr_free((xdrproc_t)xdr_change_answer, (char *)&answer);
}

static void
on_failed(struct pb_link_call *call, enum pb_link_failure failure)
{
	struct pb_follower *f = (struct pb_follower *)call;

	evtimer_del(f->timer);
	drop_silent_peer(f,
	    failure == PB_LINK_NOT_REACHED ? "could not connect"
					   : "connection broken");
}

static const struct pb_link_call_ops call_ops = {
    on_head, on_body, on_done, on_failed};

static int
append_request(struct pb_follower *f, struct pb_buf *buf)
{
	struct change_question q = {.epoch = f->epoch,
	    .since = f->since,
	    .reports_since = f->reports_since};
	int64_t reported_us = f->reported_us;

	if (f->fetching_routing)
		return pb_append_fmt(buf,
		    "GET " PB_ROUTING_PATH " HTTP/1.1\r\nHost: %s\r\n\r\n",
		    f->peer->address);
	f->reported_us = f->sent_us;
	return pb_append_poll(f->gw, f->peer->address, &q, reported_us, buf);
}

static void
poll_peer(struct pb_follower *f)
{
	struct pb_gateway *gw = f->gw;
	struct pb_link *link = pb_take_link(gw, f->peer);
	struct pb_buf buf = {0};

	f->fetching_routing = f->routing_outdated;
	f->answer.len = 0;
	f->status = 0;
	f->sent_us = pb_now(gw->ctx);
	f->give_up_us =
	    f->sent_us + (f->starting ? START_ANSWER_US : ANSWER_LIMIT_US);
	arm_poll_timer(f);
	if (link == NULL || append_request(f, &buf) != PB_OK ||
	    pb_send_call(link, &f->call, (struct pb_str){buf.data, buf.len},
		PB_STR_NONE) != PB_OK) {
		pb_cancel_call(&f->call);
		drop_peer(f, "could not send the poll");
	}
	pb_clear_buf(&buf);
}

/*
 * Returns the next router to poll, or NULL. While the store does not serve this
 * router, that is the first router of the failure domain. The first router asks
 * others at startup, which may have the data.
 */
static struct pb_instance *
find_peer(struct pb_follower *f)
{
	struct pb_gateway *gw = f->gw;
	struct pb_instance *peer = NULL;

	if (!is_store_unavailable(gw)) {
		peer = pb_preceding_router(gw, &f->routers, f->own_hash);
		if (peer != NULL || !f->starting ||
		    f->asked_later++ >= LATER_MAX)
			return peer;
	}
	return pb_first_router(
	    gw, &f->routers, gw->settings.domain, UINT64_MAX);
}

/* Returns false if there is no peer to poll or if this router is stopping. */
static bool
poll_next_peer(struct pb_follower *f)
{
	struct pb_instance *peer = find_peer(f);

	if (peer == NULL || f->gw->stop_us != 0)
		return false;
	f->peer = pb_keep_instance(peer);
	f->peer_has_source = false;
	f->epoch = 0;
	f->since = 0;
	f->reports_since = 0;
	poll_peer(f);
	return true;
}

/* Finds routers that have joined and may precede this one. */
static void
refresh_router_list(struct pb_follower *f)
{
	int64_t now = pb_now(f->gw->ctx);

	if (now - f->router_refresh_us < ROUTER_REFRESH_US)
		return;
	f->router_refresh_us = now;
	pb_request_changes(f->gw->router_watch);
}

/* Checks a poll that has no complete answer yet. */
static void
check_poll(struct pb_follower *f)
{
	struct pb_gateway *gw = f->gw;
	int64_t waited = pb_now(gw->ctx) - f->sent_us;

	if (pb_now(gw->ctx) >= f->give_up_us ||
	    (f->starting && waited >= START_CONNECT_US &&
		!pb_is_sent(&f->call))) {
		pb_cancel_call(&f->call);
		drop_silent_peer(f, "the poll timed out");
		return;
	}
	if (pb_is_following(f) && !f->reads_store_too &&
	    waited >= LATE_ANSWER_US) {
		f->reads_store_too = true;
		pb_log(gw->ctx, PB_INFO, "follow router", f->peer->id, NULL,
		    "no answer to a poll for %lld ms; reading the list of "
		    "instances from the store as well",
		    (long long)(waited / PB_MSEC));
		pb_resume_watch(gw->instance_watch);
	}
	arm_poll_timer(f);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pb_follower *f = arg;

	(void)fd;
	(void)what;
	if (f->call.link != NULL) {
		check_poll(f);
		return;
	}
	if (f->peer != NULL) {
		poll_peer(f);
		return;
	}
	if (f->awaiting_rows) {
		f->awaiting_rows = false;
		f->relisted = true;
		pb_request_changes(f->gw->router_watch);
		pb_set_timer(f->timer, START_LIST_US);
		return;
	}
	if (f->starting && f->listed_us != 0) {
		start_with_next_peer(f);
		return;
	}
	if (f->starting) {
		switch_to_store(f);
		pb_set_timer(f->timer, RELIST_DELAY_US);
		return;
	}
	if (!f->relisted) {
		f->relisted = true;
		pb_request_changes(f->gw->router_watch);
		pb_set_timer(f->timer, LIST_ANSWER_US);
		return;
	}
	if (poll_next_peer(f))
		return;
	refresh_router_list(f);
	pb_set_timer(f->timer, NO_PEER_RETRY_US);
}

struct pb_router_list *
pb_known_routers(struct pb_follower *follower)
{
	return &follower->routers;
}

void
pb_note_routers_listed(struct pb_follower *follower)
{
	if (!follower->routers.has_own_row) {
		pb_start_announcer(follower->gw->announcer);
		follower->first_start = true;
	}
	follower->routers.listed = true;
	if (!follower->starting)
		pb_fetch_crashes(follower->gw->crash_fetch);
	if (follower->listed_us == 0)
		follower->listed_us = pb_now(follower->gw->ctx);
	if (follower->starting && !follower->awaiting_rows &&
	    follower->peer == NULL)
		start_with_next_peer(follower);
}

struct pb_follower *
pb_new_follower(struct pb_gateway *gw)
{
	struct pb_follower *f = calloc(1, sizeof(*f));

	if (f == NULL)
		return NULL;
	f->gw = gw;
	f->call.ops = &call_ops;
	f->own_hash = pb_hash_cstr(gw->settings.instance, 0);
	f->timer = evtimer_new(gw->base, on_timer, f);
	if (f->timer == NULL) {
		free(f);
		return NULL;
	}
	f->starting = true;
	pb_set_timer(f->timer, START_LIST_US);
	return f;
}

void
pb_drop_follower(struct pb_follower *follower)
{
	if (follower == NULL)
		return;
	pb_cancel_call(&follower->call);
	pb_clear_routers(&follower->routers);
	pb_drop_instance(follower->peer);
	event_free(follower->timer);
	pb_clear_buf(&follower->answer);
	free(follower);
}
