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
decay_counts(struct pb_attempt_counts *c, int64_t now)
{
	double keep =
	    exp2(-(double)(now - c->counted_us) / (double)OUTCOME_HALF_LIFE_US);

	c->failures *= keep;
	c->attempts *= keep;
	c->counted_us = now;
}

static void
add_attempts(
    struct pb_attempt_counts *c, double failures, double attempts, int64_t now)
{
	decay_counts(c, now);
	c->failures += failures;
	c->attempts += attempts;
	if (c->failures > FAILURES_MAX) {
		c->attempts *= FAILURES_MAX / c->failures;
		c->failures = FAILURES_MAX;
	}
}

static bool
exceeds_failure_share(const struct pb_attempt_counts *c)
{
	return c->failures > FAILURE_SHARE * c->attempts;
}

static bool
indicates_failure(struct pb_attempt_counts c, int64_t now)
{
	decay_counts(&c, now);
	return c.failures >= FAILURES_MIN && exceeds_failure_share(&c);
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
	decay_counts(&inst->own, now);
	decay_counts(&inst->shared, now);
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

	add_attempts(&instance->own, failures, 1, now);
	add_attempts(&instance->shared, failures, 1, now);
	add_attempts(&instance->unsent, failures, 1, now);
	if (failed && pb_is_on_trial(instance, now))
		instance->failed_us = now;
	update_health(ctx, registry, instance);
}

static struct pb_outcomes
outcomes_of(const struct pb_instance *inst, const struct pb_attempt_counts *c)
{
	struct pb_outcomes o = {(uint32_t)inst->hash, c->failures, c->attempts};

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
		decay_counts(&inst->unsent, now);
		outcomes[n++] = outcomes_of(inst, &inst->unsent);
		inst->unsent = (struct pb_attempt_counts){0};
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
		struct pb_attempt_counts c = registry->instances[i]->shared;

		decay_counts(&c, now);
		if (c.failures < FAILURES_SENT_MIN)
			continue;
		outcomes[n++] = outcomes_of(registry->instances[i], &c);
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
	add_attempts(
	    &inst->shared, outcomes->failures, outcomes->attempts, pb_now(ctx));
	add_attempts(
	    &inst->unsent, outcomes->failures, outcomes->attempts, pb_now(ctx));
	update_health(ctx, registry, inst);
}

void
pb_set_shared_outcomes(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_outcomes *outcomes)
{
	struct pb_instance *inst = pb_find_by_hash(registry, outcomes->id_hash);

	if (inst == NULL)
		return;
	inst->shared = (struct pb_attempt_counts){0};
	add_attempts(
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
