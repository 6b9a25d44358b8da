#include "registry-internal.h"

#include <math.h>

/* Half-life of the attempt counts. */
#define OUTCOME_HALF_LIFE_US (2 * PB_SEC)
/* Fraction of failed attempts above which an instance is avoided. */
#define FAILURE_SHARE 0.35
/* With fewer decayed failures, the fraction is not significant. */
#define FAILURES_MIN 2.0
/*
 * Upper bound of the decayed failures: after two half-lives, any number of
 * failures has decayed to FAILURES_MIN.
 */
#define FAILURES_MAX 8.0
/*
 * Duration of the trial after the last failure, during which an instance gets
 * few requests.
 */
#define TRIAL_US (6 * PB_SEC)
/* Instances with fewer decayed failures are left out of messages. */
#define FAILURES_SENT_MIN 0.25

static void
decay_evidence(struct pb_evidence *e, int64_t now)
{
	double keep =
	    exp2(-(double)(now - e->counted_us) / (double)OUTCOME_HALF_LIFE_US);

	e->failures *= keep;
	e->attempts *= keep;
	e->counted_us = now;
}

static void
add_evidence(
    struct pb_evidence *e, double failures, double attempts, int64_t now)
{
	decay_evidence(e, now);
	e->failures += failures;
	e->attempts += attempts;
	if (e->failures > FAILURES_MAX) {
		e->attempts *= FAILURES_MAX / e->failures;
		e->failures = FAILURES_MAX;
	}
}

static bool
exceeds_failure_share(const struct pb_evidence *e)
{
	return e->failures > FAILURE_SHARE * e->attempts;
}

static bool
indicates_failure(struct pb_evidence e, int64_t now)
{
	decay_evidence(&e, now);
	return e.failures >= FAILURES_MIN && exceeds_failure_share(&e);
}

bool
pb_is_failing(const struct pb_instance *instance, int64_t now)
{
	return indicates_failure(instance->own, now) ||
	    indicates_failure(instance->shared, now);
}

bool
pb_is_on_trial(const struct pb_instance *instance, int64_t now)
{
	return instance->failing && now - instance->failed_us < TRIAL_US;
}

/*
 * Updates the health state after a change of the attempt counts. An instance
 * that failed stays on trial until the fraction of failed attempts falls to
 * FAILURE_SHARE, or until TRIAL_US has passed since the last failure.
 */
static void
update_health(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_instance *inst)
{
	int64_t now = pb_now(ctx);
	bool failing = pb_is_failing(inst, now);

	if (failing)
		inst->failed_us = now;
	else if (pb_is_on_trial(inst, now) &&
	    (exceeds_failure_share(&inst->own) ||
		exceeds_failure_share(&inst->shared)))
		return;
	if (failing == inst->failing)
		return;
	inst->failing = failing;
	if (failing)
		registry->avoided_us = now;
	decay_evidence(&inst->own, now);
	decay_evidence(&inst->shared, now);
	pb_log(ctx, failing ? PB_WARN : PB_INFO, "judge instance", inst->id,
	    NULL,
	    "%s: %.1f of %.1f own attempts failed, %.1f of %.1f of all routers "
	    "of the domain",
	    failing ? "avoided" : "no longer avoided", inst->own.failures,
	    inst->own.attempts, inst->shared.failures, inst->shared.attempts);
}

void
pb_note_outcome(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_instance *instance, bool failed)
{
	int64_t now = pb_now(ctx);
	double failures = failed ? 1 : 0;

	add_evidence(&instance->own, failures, 1, now);
	add_evidence(&instance->shared, failures, 1, now);
	add_evidence(&instance->unsent, failures, 1, now);
	if (failed && pb_is_on_trial(instance, now))
		instance->failed_us = now;
	update_health(ctx, registry, instance);
}

static struct pb_outcomes
outcomes_of(const struct pb_instance *inst, const struct pb_evidence *e)
{
	struct pb_outcomes o = {(uint32_t)inst->hash, e->failures, e->attempts};

	return o;
}

size_t
pb_take_unsent_outcomes(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_outcomes *outcomes, size_t cap)
{
	int64_t now = pb_now(ctx);
	size_t i, n = 0;

	for (i = 0; i < registry->count && n < cap; i++) {
		struct pb_instance *inst = registry->instances[i];

		if (inst->unsent.attempts == 0)
			continue;
		decay_evidence(&inst->unsent, now);
		outcomes[n++] = outcomes_of(inst, &inst->unsent);
		inst->unsent = (struct pb_evidence){0};
	}
	return n;
}

size_t
pb_read_shared_outcomes(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_outcomes *outcomes, size_t cap)
{
	int64_t now = pb_now(ctx);
	size_t i, n = 0;

	for (i = 0; i < registry->count && n < cap; i++) {
		struct pb_evidence e = registry->instances[i]->shared;

		decay_evidence(&e, now);
		if (e.failures < FAILURES_SENT_MIN)
			continue;
		outcomes[n++] = outcomes_of(registry->instances[i], &e);
	}
	return n;
}

void
pb_add_shared_outcomes(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_outcomes *outcomes)
{
	struct pb_instance *inst = pb_find_by_hash(registry, outcomes->id_hash);

	if (inst == NULL)
		return;
	add_evidence(
	    &inst->shared, outcomes->failures, outcomes->attempts, pb_now(ctx));
	update_health(ctx, registry, inst);
}

void
pb_set_shared_outcomes(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_outcomes *outcomes)
{
	struct pb_instance *inst = pb_find_by_hash(registry, outcomes->id_hash);

	if (inst == NULL)
		return;
	inst->shared = (struct pb_evidence){0};
	add_evidence(
	    &inst->shared, outcomes->failures, outcomes->attempts, pb_now(ctx));
	update_health(ctx, registry, inst);
}

size_t
pb_count_avoided(struct pb_context *ctx, const struct pb_registry *registry)
{
	int64_t now = pb_now(ctx);
	size_t i, n = 0;

	for (i = 0; i < registry->count; i++)
		n += pb_is_failing(registry->instances[i], now) ||
		    pb_is_on_trial(registry->instances[i], now);
	return n;
}

int64_t
pb_last_avoided(const struct pb_registry *registry)
{
	return registry->avoided_us;
}
