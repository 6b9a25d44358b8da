#include "poplarbeam/admission.h"

#include <math.h>
#include <stdlib.h>

/*
 * Each rank has a fill limit: the fraction of an instance's slots that may be
 * occupied when a request of the rank is sent there. The limit shrinks with
 * each late request of a more urgent rank and grows with each request of such
 * a rank that is on time.
 */
/* No request is refused while half of the slots are free. */
#define FILL_LIMIT_MIN 0.5
/* A higher limit is lowered to this value before a late request shrinks it. */
#define FILL_LIMIT_MAX 1.5
/* At this value there is no shortage, and the load is ignored. */
#define FILL_LIMIT_NONE 2.0
#define SHRINK_FACTOR 0.95
#define GROW_STEP 0.01
#define GROW_PER_SEC 0.1 /* growth over time, independent of requests */
/* Weight of the newest request in the moving average of late requests. */
#define LATE_WEIGHT 0.1
/* Half-life of a rank's share of late requests while it has no requests. */
#define LATE_HALF_US (2 * PB_SEC)
/* While fewer requests than this share are late, there is no shortage. */
#define LATE_SHARE_MIN 0.1
/* Share of this router's slots that every rank may always occupy. */
#define RESERVED_SHARE 0.03
/*
 * A rank is starved when no response to it has started at this router for this
 * time multiplied by the number of routers. All routers together then serve ten
 * requests per second of a starved rank.
 */
#define STARVED_US (100 * PB_MSEC)
/*
 * Time constant of the decaying count of requests started per rank. Older
 * starts do not show the current start rate.
 */
#define START_WINDOW_US PB_SEC
/* This many requests of a rank may wait whatever its start rate. */
#define QUEUE_MIN 4

TAILQ_HEAD(waiter_list, pb_waiter);

struct rank {
	struct waiter_list list;
	size_t waiting;
	int64_t in_flight; /* requests of this router */
	double late; /* share of late requests, a moving average */
	int64_t late_us; /* time of the last update of late */
	double starts; /* requests started; decays exponentially */
	int64_t starts_us; /* time of the last update of starts */
	double fill_limit; /* fraction of an instance's slots */
	int64_t fill_limit_us; /* time of the last update of fill_limit */
	int64_t served_us; /* last start of a response, or last boost */
};

struct pb_admission {
	struct rank ranks[PB_RANKS];
	double own_slots; /* this router's share of the service's slots */
	size_t routers;
};

struct pb_admission *
pb_new_admission(struct pb_context *ctx)
{
	struct pb_admission *a = calloc(1, sizeof(*a));
	int i;

	if (a == NULL)
		return NULL;
	a->routers = 1;
	for (i = 0; i < PB_RANKS; i++) {
		TAILQ_INIT(&a->ranks[i].list);
		a->ranks[i].fill_limit = FILL_LIMIT_NONE;
		a->ranks[i].served_us = pb_now(ctx);
	}
	return a;
}

void
pb_drop_admission(struct pb_context *ctx, struct pb_admission *admission)
{
	(void)ctx;
	free(admission);
}

void
pb_set_admission_slots(
    struct pb_admission *admission, int64_t slots, size_t routers)
{
	admission->routers = routers > 0 ? routers : 1;
	admission->own_slots = (double)slots / (double)admission->routers;
}

static void
decay_starts(struct rank *r, int64_t now)
{
	r->starts *= exp(-(double)(now - r->starts_us) / START_WINDOW_US);
	r->starts_us = now;
}

void
pb_note_start(struct pb_context *ctx, struct pb_admission *admission, int rank)
{
	struct rank *r = &admission->ranks[rank];

	decay_starts(r, pb_now(ctx));
	r->starts++;
	r->in_flight++;
}

void
pb_note_end(struct pb_admission *admission, int rank)
{
	admission->ranks[rank].in_flight--;
}

static double
late_share(const struct rank *r, int64_t now)
{
	return r->late * exp2(-(double)(now - r->late_us) / LATE_HALF_US);
}

static double
current_fill_limit(const struct rank *r, int64_t now)
{
	double fill_limit = r->fill_limit +
	    GROW_PER_SEC * (double)(now - r->fill_limit_us) / PB_SEC;

	return fill_limit < FILL_LIMIT_NONE ? fill_limit : FILL_LIMIT_NONE;
}

static void
adjust_fill_limit(struct rank *r, bool late, int64_t now)
{
	double fill_limit = current_fill_limit(r, now);

	if (!late)
		fill_limit += GROW_STEP;
	else
		fill_limit = fmax(FILL_LIMIT_MIN,
		    fmin(fill_limit, FILL_LIMIT_MAX) * SHRINK_FACTOR);
	r->fill_limit = fmin(fill_limit, FILL_LIMIT_NONE);
	r->fill_limit_us = now;
}

void
pb_note_late(
    struct pb_context *ctx, struct pb_admission *admission, int rank, bool late)
{
	struct rank *r = &admission->ranks[rank];
	int64_t now = pb_now(ctx);
	int i;

	r->late = late_share(r, now);
	r->late_us = now;
	r->late += LATE_WEIGHT * ((late ? 1 : 0) - r->late);
	late = late && r->late >= LATE_SHARE_MIN;
	for (i = rank + 1; i < PB_RANKS; i++)
		adjust_fill_limit(&admission->ranks[i], late, now);
}

static bool
is_starved(const struct pb_admission *admission, int rank, int64_t now)
{
	const struct rank *r = &admission->ranks[rank];

	return current_fill_limit(r, now) < FILL_LIMIT_NONE &&
	    now - r->served_us >= STARVED_US * (int64_t)admission->routers;
}

double
pb_find_fill_limit(
    struct pb_context *ctx, const struct pb_admission *admission, int rank)
{
	const struct rank *r = &admission->ranks[rank];
	int64_t now = pb_now(ctx);
	double fill_limit = current_fill_limit(r, now);

	if (rank == 0 || fill_limit >= FILL_LIMIT_NONE || r->in_flight == 0 ||
	    (double)r->in_flight < RESERVED_SHARE * admission->own_slots ||
	    is_starved(admission, rank, now))
		return 0;
	return fill_limit;
}

void
pb_note_served(struct pb_context *ctx, struct pb_admission *admission, int rank)
{
	admission->ranks[rank].served_us = pb_now(ctx);
}

bool
pb_take_boost(struct pb_context *ctx, struct pb_admission *admission, int rank)
{
	if (!is_starved(admission, rank, pb_now(ctx)))
		return false;
	pb_note_served(ctx, admission, rank);
	return true;
}

bool
pb_has_waiters_ahead(const struct pb_admission *admission, int rank)
{
	int i;

	for (i = 0; i <= rank; i++) {
		if (admission->ranks[i].waiting > 0)
			return true;
	}
	return false;
}

/*
 * The decayed count of starts approximates the number of requests that were
 * started within the last START_WINDOW_US.
 */
static bool
would_start_in_time(const struct rank *r, int64_t limit_us)
{
	double ahead = (double)r->waiting + 1;

	return r->waiting < QUEUE_MIN ||
	    ahead * START_WINDOW_US <= r->starts * (double)limit_us;
}

bool
pb_enqueue_waiter(struct pb_context *ctx, struct pb_admission *admission,
    struct pb_waiter *waiter, int rank, int64_t limit_us)
{
	struct rank *r = &admission->ranks[rank];

	decay_starts(r, pb_now(ctx));
	if (!would_start_in_time(r, limit_us))
		return false;
	waiter->rank = rank;
	waiter->queued = true;
	TAILQ_INSERT_TAIL(&r->list, waiter, entry);
	r->waiting++;
	return true;
}

void
pb_remove_waiter(struct pb_admission *admission, struct pb_waiter *waiter)
{
	struct rank *r = &admission->ranks[waiter->rank];

	if (!waiter->queued)
		return;
	waiter->queued = false;
	TAILQ_REMOVE(&r->list, waiter, entry);
	r->waiting--;
}

struct pb_waiter *
pb_first_waiter(const struct pb_admission *admission, int rank)
{
	return TAILQ_FIRST(&admission->ranks[rank].list);
}

size_t
pb_count_waiters_of(const struct pb_admission *admission, int rank)
{
	return admission->ranks[rank].waiting;
}

size_t
pb_count_waiters(const struct pb_admission *admission)
{
	size_t n = 0;
	int i;

	for (i = 0; i < PB_RANKS; i++)
		n += admission->ranks[i].waiting;
	return n;
}
