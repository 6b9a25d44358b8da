#include "registry-internal.h"

#include <float.h>
#include <math.h>

/*
 * A request goes to the preferred instance of its prefix if the load there
 * stays within this multiple of the mean, plus AFFINITY_SLACK.
 */
#define AFFINITY_FACTOR 1.5
/* Requests above the multiple that are not treated as imbalance. */
#define AFFINITY_SLACK 3.0
/*
 * If more than this share of a service is idle, because it is evacuated or
 * cold, the others carry more than the mean of the service. A bound from that
 * mean alone would close most of them, and all routers would send to the few
 * that are left. The bound then is the lower one of these multiples.
 */
#define IDLE_SHARE 0.2
#define BUSY_FACTOR 1.3 /* of the mean load of the instances in use */
#define IDLE_FACTOR 2.2 /* of the mean load of the whole service */
/*
 * For each request, the bound of each instance is then lowered by a random part
 * of up to this fraction, so that routers with the same reports do not all
 * select the same instance.
 */
#define BOUND_SPREAD 0.5
/* Cost of a hop to another failure domain, in requests of load. */
#define DOMAIN_PENALTY 1.5
/*
 * The reported requests of other routers count in full up to REPORT_FRESH_US,
 * then fade linearly; after REPORT_FADE_US more they are assumed to have ended.
 */
#define REPORT_FRESH_US PB_SEC
#define REPORT_FADE_US (4 * PB_SEC)
/* An instance that joined more recently may not have the prefix cached. */
#define PREFIX_WARMUP_US (10 * PB_SEC)
/*
 * Fraction of requests that may go to instances on trial. If all routers
 * returned to such an instance at once, many requests would fail before the
 * routers detect that it still fails.
 */
#define TRIAL_SHARE 0.1

/*
 * Estimates the requests at an instance: this router's requests in flight plus
 * the reported requests of other routers, but at least their known streams.
 */
static double
estimate_load(const struct pb_instance *inst, int64_t now)
{
	double others = inst->reported - inst->reported_own;
	double streams = pb_estimate_other_streams(inst, now);
	int64_t age = now - inst->reported_us;

	if (inst->reported_us == 0 || others < 0)
		others = 0;
	if (age > REPORT_FRESH_US + REPORT_FADE_US)
		others = 0;
	else if (age > REPORT_FRESH_US)
		others *= 1 -
		    (double)(age - REPORT_FRESH_US) / (double)REPORT_FADE_US;
	return (others > streams ? others : streams) + inst->in_flight;
}

static bool
is_excluded(const struct pb_placement *p, const struct pb_instance *inst)
{
	size_t i;

	for (i = 0; i < p->excluded_count; i++) {
		if (p->excluded[i] == inst)
			return true;
	}
	return false;
}

/* One selection of an instance. */
struct search {
	const struct pb_registry *reg;
	const struct pb_placement *p;
	int64_t now;
	bool last_resort; /* leaving instances are candidates, too */
};

static bool
is_candidate(const struct search *s, const struct pb_instance *inst)
{
	return pb_str_equal_c(s->p->service, inst->service) &&
	    pb_is_open(inst, s->now, s->last_resort);
}

static bool
has_room(const struct search *s, struct pb_instance *inst)
{
	if (pb_is_ramping(inst, s->now) ||
	    !pb_has_cold_room(s->reg, inst, s->now))
		return false;
	return s->p->fill_limit <= 0 || inst->slots <= 0 ||
	    estimate_load(inst, s->now) + 1 <= s->p->fill_limit * inst->slots;
}

/* Health that an instance must have to be selected, strictest first. */
enum health {
	HEALTH_GOOD, /* reachable, neither failing nor on trial */
	HEALTH_NOT_FAILING, /* reachable and not failing */
	HEALTH_REACHABLE,
	HEALTH_ANY
};

static bool
has_health(const struct pb_instance *inst, enum health required, int64_t now)
{
	if (required != HEALTH_ANY && now < inst->avoid_until_us)
		return false;
	if (required == HEALTH_GOOD && pb_is_on_trial(inst, now))
		return false;
	return required > HEALTH_NOT_FAILING || !pb_is_failing(inst, now);
}

struct service_stats {
	size_t candidates;
	size_t healthy; /* candidates that meet HEALTH_GOOD */
	size_t not_failing; /* candidates that meet HEALTH_NOT_FAILING */
	int64_t slots; /* sum over all candidates */
	double sum; /* of the estimated loads of all candidates */
	size_t evacuated; /* instances in evacuated failure domains */
	/* The same counts without the excluded instances. */
	size_t healthy_left;
	size_t not_failing_left;
	size_t reachable_left;
	size_t ramping_left;
	size_t cold_left; /* cold, without room for a request now */
};

static struct service_stats
collect_service_stats(
    const struct pb_registry *reg, const struct search *search)
{
	struct service_stats s = {0};
	int64_t now = search->now;
	size_t i;

	for (i = 0; i < reg->count; i++) {
		struct pb_instance *inst = reg->instances[i];
		bool healthy, not_failing;

		s.evacuated += inst->evacuated &&
		    pb_str_equal_c(search->p->service, inst->service);
		if (!is_candidate(search, inst))
			continue;
		healthy = has_health(inst, HEALTH_GOOD, now);
		not_failing = has_health(inst, HEALTH_NOT_FAILING, now);
		s.candidates++;
		s.slots += inst->slots;
		s.sum += estimate_load(inst, now);
		s.healthy += healthy;
		s.not_failing += not_failing;
		if (is_excluded(search->p, inst))
			continue;
		s.ramping_left += pb_is_ramping(inst, now);
		s.cold_left += !pb_has_cold_room(reg, inst, now);
		s.healthy_left += healthy;
		s.not_failing_left += not_failing;
		s.reachable_left += has_health(inst, HEALTH_REACHABLE, now);
	}
	return s;
}

/*
 * Avoiding many instances overloads the rest. Instances on trial are therefore
 * avoided only if this leaves two thirds of the candidates, and failing ones
 * only if this leaves half of them.
 */
static enum health
choose_required_health(const struct service_stats *s, struct pb_random *rnd)
{
	bool trial =
	    s->healthy < s->not_failing && pb_next_uniform(rnd) < TRIAL_SHARE;

	if (!trial && s->healthy_left > 0 &&
	    s->healthy * 3 >= s->candidates * 2)
		return HEALTH_GOOD;
	if (s->not_failing_left > 0 && s->not_failing * 2 >= s->candidates)
		return HEALTH_NOT_FAILING;
	return s->reachable_left > 0 ? HEALTH_REACHABLE : HEALTH_ANY;
}

/* Rendezvous hashing: the instance with the highest score is preferred. */
static uint64_t
prefix_score(const struct pb_placement *p, const struct pb_instance *inst)
{
	return pb_hash_pair(p->affinity, inst->hash);
}

/* The load up to which the preferred instance of a prefix is selected. */
struct load_bound {
	double max;
	double spread; /* the bound of one instance is lower by up to this */
};

/*
 * The limit for the load of an instance refers to the mean over the whole
 * service, so evacuated and cold instances count although they are idle.
 */
static struct load_bound
find_load_bound(const struct service_stats *s)
{
	double all = (double)(s->candidates + s->evacuated);
	double idle = (double)(s->evacuated + s->cold_left);
	double mean = all > 0 ? s->sum / all : 0;
	struct load_bound b = {AFFINITY_FACTOR * mean + AFFINITY_SLACK, 0};

	if (idle <= IDLE_SHARE * all || idle >= all)
		return b;
	b.max = AFFINITY_SLACK +
	    fmin(BUSY_FACTOR * s->sum / (all - idle), IDLE_FACTOR * mean);
	b.spread = BOUND_SPREAD * b.max;
	return b;
}

static double
draw_bound(const struct load_bound *b, struct pb_random *rnd)
{
	return b->spread > 0 ? b->max - b->spread * pb_next_uniform(rnd)
			     : b->max;
}

/* Returns the preferred instance of a prefix among those below their bounds. */
static struct pb_instance *
choose_by_prefix(const struct pb_registry *reg, const struct search *s,
    enum health required, const struct load_bound *bound)
{
	const struct pb_placement *p = s->p;
	struct pb_instance *best = NULL;
	uint64_t best_score = 0;
	size_t i;

	for (i = 0; i < reg->count; i++) {
		struct pb_instance *inst = reg->instances[i];
		uint64_t score;

		if (!is_candidate(s, inst) || is_excluded(p, inst) ||
		    !has_health(inst, required, s->now))
			continue;
		if (estimate_load(inst, s->now) + 1 >
			draw_bound(bound, p->rnd) ||
		    !has_room(s, inst))
			continue;
		score = prefix_score(p, inst);
		if (best == NULL || score > best_score) {
			best = inst;
			best_score = score;
		}
	}
	return best;
}

/* Returns the least loaded instance, preferring the own failure domain. */
static struct pb_instance *
choose_by_load(
    const struct pb_registry *reg, const struct search *s, enum health required)
{
	const struct pb_placement *p = s->p;
	struct pb_instance *best = NULL;
	double best_cost = DBL_MAX;
	size_t i;

	for (i = 0; i < reg->count; i++) {
		struct pb_instance *inst = reg->instances[i];
		double cost;

		if (!is_candidate(s, inst) || is_excluded(p, inst) ||
		    !has_health(inst, required, s->now) || !has_room(s, inst))
			continue;
		cost = estimate_load(inst, s->now) + pb_next_uniform(p->rnd);
		if (!pb_str_equal_c(p->domain, inst->domain))
			cost += DOMAIN_PENALTY;
		if (cost < best_cost) {
			best = inst;
			best_cost = cost;
		}
	}
	return best;
}

/*
 * Returns the instance that probably has the prefix cached from earlier
 * requests: the one with the highest score above that of the chosen instance,
 * even if it is draining or full. If the chosen instance joined recently, ones
 * with a lower score qualify too.
 */
static const struct pb_instance *
find_holder(const struct pb_registry *reg, const struct pb_placement *p,
    const struct pb_instance *chosen, int64_t now)
{
	bool joined = now - chosen->joined_us < PREFIX_WARMUP_US;
	const struct pb_instance *best = NULL;
	size_t i;

	for (i = 0; i < reg->count; i++) {
		const struct pb_instance *inst = reg->instances[i];

		if (inst == chosen || now < inst->avoid_until_us ||
		    inst->evacuated || is_excluded(p, inst) ||
		    !pb_str_equal_c(p->service, inst->service) ||
		    now - inst->joined_us < PREFIX_WARMUP_US)
			continue;
		if (!joined && prefix_score(p, inst) < prefix_score(p, chosen))
			continue;
		if (best == NULL ||
		    prefix_score(p, inst) > prefix_score(p, best))
			best = inst;
	}
	return best;
}

/*
 * Collects the statistics of the instances that take requests, or if there are
 * none, of those that have only just begun to leave.
 */
static struct service_stats
begin_search(const struct pb_registry *reg, struct search *search)
{
	struct service_stats s = collect_service_stats(reg, search);

	if (s.candidates > 0)
		return s;
	search->last_resort = true;
	return collect_service_stats(reg, search);
}

/* Sets when a request for which no instance was selected may find one. */
static void
set_full(const struct pb_registry *reg, const struct search *search,
    const struct service_stats *s, struct pb_placement_facts *facts)
{
	const struct pb_placement *p = search->p;

	facts->full =
	    (p->fill_limit > 0 && s->candidates > p->excluded_count) ||
	    s->ramping_left > 0 || s->cold_left > 0;
	if (s->candidates == 0)
		facts->reopens_us = pb_find_reopening(reg, p->service,
		    p->excluded, p->excluded_count, search->now);
	if (facts->reopens_us != 0)
		facts->full = true;
}

struct pb_instance *
pb_choose_instance(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_placement *placement, struct pb_placement_facts *facts)
{
	struct search search = {registry, placement, pb_now(ctx), false};
	struct service_stats s = begin_search(registry, &search);
	double mean = s.candidates > 0 ? s.sum / (double)s.candidates : 0;
	struct load_bound bound = find_load_bound(&s);
	enum health required = choose_required_health(&s, placement->rnd);
	struct pb_instance *inst = NULL;

	*facts = (struct pb_placement_facts){.report_age_us = -1};
	if (placement->affinity != 0)
		inst = choose_by_prefix(registry, &search, required, &bound);
	facts->preferred = inst != NULL;
	if (inst == NULL)
		inst = choose_by_load(registry, &search, required);
	if (inst == NULL)
		set_full(registry, &search, &s, facts);
	if (inst != NULL && placement->affinity != 0)
		facts->holder =
		    find_holder(registry, placement, inst, search.now);
	facts->slots = s.slots;
	facts->candidates = s.candidates;
	facts->healthy = s.healthy;
	facts->mean = mean;
	if (inst == NULL)
		return NULL;
	facts->estimate = estimate_load(inst, search.now);
	if (inst->reported_us != 0)
		facts->report_age_us = search.now - inst->reported_us;
	return inst;
}
