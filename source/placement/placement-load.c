#include "placement-internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Work of other owners is ignored when the last report is older than this. */
#define EXTERNAL_WORK_MAX_AGE (10 * PB_SEC)

struct pb_placement *
pb_new_placement(
    struct pb_context *ctx, const struct pb_placement_policy *policy)
{
	struct pb_placement *pl = calloc(1, sizeof(*pl));

	if (pl == NULL)
		return NULL;
	pl->policy = *policy;
	pl->locations = pb_new_lru(ctx, policy->locations);
	if (pl->locations == NULL) {
		free(pl);
		return NULL;
	}
	pb_begin_takeover(ctx, pl);
	return pl;
}

void
pb_drop_placement(struct pb_context *ctx, struct pb_placement *pl)
{
	if (pl == NULL)
		return;
	pb_drop_lru(ctx, pl->locations);
	free(pl);
}

void
pb_set_placement_policy(struct pb_context *ctx, struct pb_placement *pl,
    const struct pb_placement_policy *policy)
{
	(void)ctx;
	pl->policy = *policy;
}

void
pb_begin_takeover(struct pb_context *ctx, struct pb_placement *pl)
{
	int i;

	pl->cautious_until_us = pb_now(ctx) + pl->policy.takeover_us;
	for (i = 0; i < pl->count; i++)
		pl->slots[i].reported = false;
}

static uint64_t
in_flight(const struct slot *s)
{
	return s->charged - s->released;
}

/*
 * Finds a slot for a new upstream. The slot of a gone upstream whose work is
 * still in flight is reused only when there is no other.
 */
static struct slot *
find_free_slot(struct pb_placement *pl)
{
	struct slot *busy = NULL;
	int i;

	for (i = 0; i < pl->count; i++) {
		struct slot *s = &pl->slots[i];

		if (!s->used ||
		    (s->info.state == PB_UP_GONE && in_flight(s) == 0))
			return s;
		if (s->info.state == PB_UP_GONE)
			busy = s;
	}
	if (pl->count < PB_CELL_UPSTREAMS_MAX)
		return &pl->slots[pl->count++];
	return busy;
}

static struct slot *
find_slot(struct pb_placement *pl, uint64_t upstream)
{
	int i;

	for (i = 0; i < pl->count; i++)
		if (pl->slots[i].used && pl->slots[i].info.id == upstream)
			return &pl->slots[i];
	return NULL;
}

static void
init_slot(struct pb_context *ctx, struct pb_placement *pl, struct slot *s,
    const struct pb_upstream_info *info)
{
	int64_t now = pb_now(ctx);

	memset(s, 0, sizeof(*s));
	s->used = true;
	s->info = *info;
	/*
	 * A new owner sees all upstreams of its cell for the first time during
	 * cautious mode. They did not just join and get full weight at once.
	 */
	s->awaits_work = now >= pl->cautious_until_us;
	s->joined_us = s->awaits_work ? now : now - pl->policy.ramp_us;
}

int
pb_set_upstream(struct pb_context *ctx, struct pb_placement *pl,
    const struct pb_upstream_info *info)
{
	struct slot *s = find_slot(pl, info->id);

	if (!(info->capacity > 0) || !isfinite(info->capacity) ||
	    !(info->throttle >= 0) || !isfinite(info->throttle))
		return pb_set_error(ctx, PB_EINVAL, "set_upstream", "",
		    "capacity %g or throttle %g is out of range",
		    info->capacity, info->throttle);
	if (s != NULL && info->incarnation < s->info.incarnation)
		return PB_OK;
	if (s == NULL) {
		if (info->state == PB_UP_GONE)
			return PB_OK;
		s = find_free_slot(pl);
		if (s == NULL)
			return pb_set_error(ctx, PB_EBUSY, "set_upstream", "",
			    "all %d upstream slots of the cell are in use; "
			    "the upstream was not added",
			    PB_CELL_UPSTREAMS_MAX);
		init_slot(ctx, pl, s, info);
	} else if (info->incarnation > s->info.incarnation) {
		init_slot(ctx, pl, s, info);
	} else {
		bool back =
		    s->info.state != PB_UP_LIVE && info->state == PB_UP_LIVE;

		s->info = *info;
		if (back) {
			s->joined_us = pb_now(ctx);
			s->awaits_work = true;
		}
	}
	return PB_OK;
}

void
pb_sample_slot(struct pb_context *ctx, struct slot *s)
{
	int64_t now = pb_now(ctx);
	uint32_t last = (s->sample_count + SAMPLES - 1) % SAMPLES;

	if (s->sample_count > 0 && now - s->samples[last].at_us < SAMPLE_STEP)
		return;
	s->samples[s->sample_count % SAMPLES] =
	    (struct sample){now, s->charged, s->released};
	s->sample_count++;
}

/*
 * Returns the work of this owner that was in flight at the given time. Between
 * two samples the lower value is used, so that the work of other owners is not
 * underestimated.
 */
static uint64_t
in_flight_at(const struct slot *s, int64_t at_us)
{
	uint32_t kept = s->sample_count < SAMPLES ? s->sample_count : SAMPLES;
	uint64_t then, next = in_flight(s);
	uint32_t i;

	for (i = 1; i <= kept; i++) {
		const struct sample *p =
		    &s->samples[(s->sample_count - i) % SAMPLES];

		then = p->charged - p->released;
		if (p->at_us <= at_us)
			return then < next ? then : next;
		next = then;
	}
	return s->resumed_work < next ? s->resumed_work : next;
}

void
pb_report_load(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t upstream, uint64_t work, int64_t age_us)
{
	struct slot *s = find_slot(pl, upstream);
	int64_t now = pb_now(ctx);
	int64_t made = now - (age_us > 0 ? age_us : 0);
	uint64_t own, excess;

	if (s == NULL || (s->reported && made < s->reported_us))
		return;
	pb_sample_slot(ctx, s);
	own = in_flight_at(s, made);
	excess = work > own ? work - own : 0;
	if (now < pl->cautious_until_us || excess < s->external_work)
		s->external_work = excess;
	s->reported = true;
	s->reported_us = made;
}

static bool
counts_as_live(const struct slot *s, int64_t now)
{
	return s->used && s->info.state == PB_UP_LIVE &&
	    !(s->down && now < s->hold_until_us) && s->info.throttle > 0;
}

/*
 * Adds the mean relative load of the upstreams that have reported to those that
 * have not. A new owner does not know the load of an upstream before its first
 * report.
 */
static void
estimate_unreported_loads(const struct pb_placement *pl, struct load_view *v)
{
	double load = 0, capacity = 0;
	int i;

	for (i = 0; i < pl->count; i++) {
		if (v->capacity[i] <= 0 || !pl->slots[i].reported)
			continue;
		load += v->load[i];
		capacity += v->capacity[i];
	}
	if (capacity <= 0)
		return;
	for (i = 0; i < pl->count; i++)
		if (v->capacity[i] > 0 && !pl->slots[i].reported)
			v->load[i] += load / capacity * v->capacity[i];
}

void
pb_read_loads(
    struct pb_context *ctx, const struct pb_placement *pl, struct load_view *v)
{
	int i;

	memset(v, 0, sizeof(*v));
	v->now = pb_now(ctx);
	for (i = 0; i < pl->count; i++) {
		const struct slot *s = &pl->slots[i];

		v->load[i] = (double)in_flight(s);
		if (v->now - s->reported_us < EXTERNAL_WORK_MAX_AGE)
			v->load[i] += (double)s->external_work;
		if (counts_as_live(s, v->now))
			v->capacity[i] = s->info.capacity * s->info.throttle;
	}
	if (v->now < pl->cautious_until_us)
		estimate_unreported_loads(pl, v);
	for (i = 0; i < pl->count; i++) {
		if (v->capacity[i] <= 0)
			continue;
		v->total_load += v->load[i];
		v->total_capacity += v->capacity[i];
	}
}

void
pb_release_upstream(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t upstream, uint64_t incarnation, uint32_t work)
{
	struct slot *s = find_slot(pl, upstream);

	if (s == NULL || s->info.incarnation != incarnation)
		return;
	pb_sample_slot(ctx, s);
	s->released += work < in_flight(s) ? work : in_flight(s);
}

void
pb_hold_upstream(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t upstream, uint64_t incarnation, int64_t until_us, bool down)
{
	struct slot *s = find_slot(pl, upstream);

	if (s == NULL || s->info.incarnation != incarnation)
		return;
	if (pb_now(ctx) >= s->hold_until_us)
		s->down = false;
	if (until_us > s->hold_until_us)
		s->hold_until_us = until_us;
	s->down = s->down || down;
}

int
pb_find_slot(const struct pb_placement *pl, uint64_t upstream)
{
	int i;

	for (i = 0; i < pl->count; i++) {
		const struct slot *s = &pl->slots[i];

		if (s->used && s->info.id == upstream)
			return s->info.state == PB_UP_GONE ? -1 : i;
	}
	return -1;
}

uint64_t
pb_slot_upstream(const struct pb_placement *pl, int slot)
{
	return pl->slots[slot].info.id;
}

uint64_t
pb_slot_incarnation(const struct pb_placement *pl, int slot)
{
	return pl->slots[slot].info.incarnation;
}

uint64_t
pb_live_slots(const struct pb_placement *pl)
{
	uint64_t mask = 0;
	int i;

	for (i = 0; i < pl->count; i++)
		if (pl->slots[i].used && pl->slots[i].info.state == PB_UP_LIVE)
			mask |= 1ULL << i;
	return mask;
}

void
pb_read_placement_stats(struct pb_context *ctx, const struct pb_placement *pl,
    struct pb_placement_stats *stats)
{
	struct load_view v;
	double ratio;
	int i;

	pb_read_loads(ctx, pl, &v);
	memset(stats, 0, sizeof(*stats));
	stats->load = v.total_load;
	stats->capacity = v.total_capacity;
	stats->cautious = v.now < pl->cautious_until_us;
	for (i = 0; i < pl->count; i++) {
		if (v.capacity[i] <= 0)
			continue;
		stats->upstreams++;
		if (v.total_load <= 0)
			continue;
		ratio =
		    v.load[i] / v.capacity[i] * v.total_capacity / v.total_load;
		if (ratio > stats->max_over_mean)
			stats->max_over_mean = ratio;
	}
}
