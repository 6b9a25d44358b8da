#include "gateway-exchange.h"
#include "gateway-follow.h"

/*
 * Interval of the checks for free slots while requests wait. They are needed
 * because other routers do not report when their requests end.
 */
#define DISPATCH_INTERVAL_US (20 * PB_MSEC)
/*
 * A response that has not started after this fraction of the latency objective
 * counts as late.
 */
#define LATE_TARGET_SHARE 0.5
/* Longest wait of a request as a fraction of its latency objective. */
#define WAIT_TARGET_SHARE 0.5
/*
 * Longest wait as a fraction of the time left until the deadline, for a request
 * without a latency objective.
 */
#define WAIT_TIME_SHARE 0.1

/*
 * A request waits for the end of a pause if it comes within this fraction of
 * the time left until its deadline, so that the rest is left for its run.
 */
#define PAUSE_TIME_SHARE 0.5
/* Requests of one rank of a service that wait for the end of a pause. */
#define PAUSE_WAITERS_MAX 256

int
pb_find_request_rank(struct pb_service_budget *b,
    const struct pb_routing *routing, const struct pb_route *route,
    const struct pb_account *account)
{
	int rank;

	if (b->ranks_version != routing->version || b->ranks.count == 0) {
		pb_compute_ranks(routing, pb_str_from(b->service), &b->ranks);
		b->ranks_version = routing->version;
	}
	rank = pb_rank_of(&b->ranks, route, account);
	return rank < PB_RANKS ? rank : PB_RANKS - 1;
}

/*
 * Chooses an instance. A request that was sent to an instance before ignores
 * the fill limit, so that it does not wait again.
 */
static struct pb_instance *
choose_instance(struct pb_exchange *x, struct pb_placement_facts *facts)
{
	struct pb_gateway *gw = x->gw;
	struct pb_placement p = {.service = x->service,
	    .domain = pb_str_from(gw->settings.domain),
	    .affinity = x->affinity,
	    .excluded = x->tried,
	    .excluded_count = x->tried_count,
	    .rnd = &gw->rnd};
	struct pb_instance *inst;

	if (x->tried_count == 0)
		p.fill_limit =
		    pb_find_fill_limit(gw->ctx, x->budget->admission, x->rank);
	inst = pb_choose_instance(gw->ctx, gw->registry, &p, facts);
	pb_set_admission_slots(
	    x->budget->admission, facts->slots, pb_count_routers(gw));
	return inst;
}

struct pb_instance *
pb_choose_for_exchange(struct pb_exchange *x, struct pb_placement_facts *facts)
{
	struct pb_admission *a = x->budget->admission;
	struct pb_instance *inst = choose_instance(x, facts);

	if (inst == NULL || x->tried_count > 0 || x->rank == 0 ||
	    x->wait_end_us != 0 || !pb_has_waiters_ahead(a, x->rank))
		return inst;
	/* Requests that are already waiting are sent first. */
	facts->full = true;
	return NULL;
}

void
pb_note_latency(struct pb_exchange *x)
{
	struct pb_context *ctx = x->gw->ctx;
	int64_t limit =
	    (int64_t)((double)x->route->target_us * LATE_TARGET_SHARE);
	bool refused = x->status == 503 || x->status == 504;
	bool late = refused || pb_now(ctx) - x->received_us > limit;

	if (!refused && x->status != 0)
		pb_note_served(ctx, x->budget->admission, x->rank);
	/*
	 * If the caller disconnected before the limit, the request counts
	 * neither as late nor as on time.
	 */
	if (limit > 0 && (late || x->status != 0))
		pb_note_late(ctx, x->budget->admission, x->rank, late);
}

static int64_t
min_us(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t
find_wait_limit(const struct pb_exchange *x)
{
	int64_t now = pb_now(x->gw->ctx);
	int64_t left = x->deadline_us - now;
	int64_t wait = (int64_t)((double)left * WAIT_TIME_SHARE);
	int64_t last = pb_last_start(x->gw, x->deadline_us);

	if (x->wait_end_us != 0)
		return x->wait_end_us > now ? x->wait_end_us - now : 0;
	if (x->route->target_us > 0)
		wait =
		    (int64_t)((double)x->route->target_us * WAIT_TARGET_SHARE);
	return min_us(wait, min_us(left, last > now ? last - now : 0));
}

/*
 * Queues an exchange until the first paused instance takes requests again, if
 * enough time is left then.
 */
static void
wait_for_reopening(struct pb_exchange *x, int64_t reopens_us)
{
	struct pb_gateway *gw = x->gw;
	struct pb_admission *a = x->budget->admission;
	int64_t now = pb_now(gw->ctx);
	int64_t last =
	    now + (int64_t)((double)(x->deadline_us - now) * PAUSE_TIME_SHARE);
	size_t waiting = pb_count_waiters_of(a, x->rank);
	bool joined;

	last = min_us(last, pb_last_start(gw, x->deadline_us));
	joined = reopens_us < last && waiting < PAUSE_WAITERS_MAX;

	x->waiter.owner = x;
	if (joined)
		joined = pb_enqueue_waiter(
		    gw->ctx, a, &x->waiter, x->rank, INT64_MAX);
	pb_log(gw->ctx, PB_INFO, "wait for room", NULL, x->log_id,
	    "%s; all instances of service %s have asked for a pause, the first "
	    "takes requests again in %lld ms; rank %d, %zu requests of it were "
	    "waiting",
	    joined ? "waiting" : "refused", x->budget->service,
	    (long long)((reopens_us - now) / PB_MSEC), x->rank, waiting);
	if (!joined) {
		x->retry_after_us = reopens_us - now;
		pb_end_exchange(x, PB_END_ALL_PAUSED);
		return;
	}
	x->wait_end_us = last;
	pb_arm_exchange(x);
	if (!evtimer_pending(gw->dispatch_timer, NULL))
		pb_set_timer(gw->dispatch_timer, DISPATCH_INTERVAL_US);
}

void
pb_wait_for_slot(struct pb_exchange *x, const struct pb_placement_facts *facts)
{
	struct pb_gateway *gw = x->gw;
	struct pb_admission *a = x->budget->admission;
	int64_t wait = find_wait_limit(x);
	size_t waiting = pb_count_waiters(a);
	bool joined;

	if (facts->reopens_us != 0) {
		wait_for_reopening(x, facts->reopens_us);
		return;
	}
	x->waiter.owner = x;
	joined = pb_enqueue_waiter(gw->ctx, a, &x->waiter, x->rank, wait);
	pb_log(gw->ctx, PB_INFO, "wait for room", NULL, x->log_id,
	    "%s within %lld ms; rank %d may fill %.2f of the slots of "
	    "service %s, %zu requests were waiting",
	    joined ? "waiting; needs a free slot"
		   : "refused; no free slot expected",
	    (long long)(wait / PB_MSEC), x->rank,
	    pb_find_fill_limit(gw->ctx, a, x->rank), x->budget->service,
	    waiting);
	if (!joined) {
		pb_end_exchange(x, PB_END_NO_ROOM);
		return;
	}
	x->wait_end_us = pb_now(gw->ctx) + wait;
	pb_arm_exchange(x);
	if (!evtimer_pending(gw->dispatch_timer, NULL))
		pb_set_timer(gw->dispatch_timer, DISPATCH_INTERVAL_US);
}

/* Returns true if the request waits longer than a stop allows. */
static bool
waits_too_long(const struct pb_exchange *x)
{
	struct pb_gateway *gw = x->gw;
	int64_t last = pb_last_start(gw, x->deadline_us);
	int64_t left;

	if (!x->waiter.queued || last == INT64_MAX)
		return false;
	left = pb_reopening_left(gw->ctx, gw->registry, x->service);
	return pb_now(gw->ctx) + left > last;
}

static struct pb_exchange *
find_hopeless_waiter(struct pb_gateway *gw)
{
	struct pb_exchange *x;

	for (x = TAILQ_FIRST(&gw->exchanges); x != NULL;
	     x = TAILQ_NEXT(x, entry)) {
		if (waits_too_long(x))
			return x;
	}
	return NULL;
}

void
pb_limit_waits(struct pb_gateway *gw)
{
	struct pb_exchange *x;

	/* The list may change while an exchange ends. */
	while ((x = find_hopeless_waiter(gw)) != NULL)
		pb_end_exchange(x, PB_END_STOPPING);
	for (x = TAILQ_FIRST(&gw->exchanges); x != NULL;
	     x = TAILQ_NEXT(x, entry)) {
		int64_t last = pb_last_start(gw, x->deadline_us);

		if (!x->waiter.queued || last >= x->wait_end_us)
			continue;
		x->wait_end_us = last;
		pb_arm_exchange(x);
	}
}

/*
 * Sends waiting requests of the rank while instances have free slots. Returns
 * true if requests still wait.
 */
static bool
dispatch_rank(struct pb_admission *a, int rank)
{
	struct pb_placement_facts facts;
	/*
	 * A request that finds no free slot is queued again. The counter
	 * ensures that each request is tried only once.
	 */
	size_t left = pb_count_waiters(a);
	struct pb_waiter *w;

	while (left-- > 0 && (w = pb_first_waiter(a, rank)) != NULL) {
		struct pb_exchange *x = w->owner;

		if (choose_instance(x, &facts) == NULL && facts.full)
			return true;
		pb_remove_waiter(a, w);
		pb_next_attempt(x);
	}
	return false;
}

static void
on_dispatch_timer(evutil_socket_t fd, short what, void *arg)
{
	struct pb_gateway *gw = arg;
	struct pb_service_budget *b;
	bool waits = false;
	int rank;

	(void)fd;
	(void)what;
	for (b = gw->budgets; b != NULL; b = b->next) {
		for (rank = 0; rank < PB_RANKS; rank++)
			waits |= dispatch_rank(b->admission, rank);
	}
	if (waits)
		pb_set_timer(gw->dispatch_timer, DISPATCH_INTERVAL_US);
}

void
pb_schedule_dispatch(struct pb_gateway *gw)
{
	struct pb_service_budget *b;

	for (b = gw->budgets; b != NULL; b = b->next) {
		if (pb_count_waiters(b->admission) > 0) {
			event_active(gw->dispatch_timer, EV_TIMEOUT, 0);
			return;
		}
	}
}

struct event *
pb_new_dispatch_timer(struct pb_gateway *gw)
{
	return evtimer_new(gw->base, on_dispatch_timer, gw);
}
