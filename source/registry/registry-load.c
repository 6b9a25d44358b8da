#include "registry-internal.h"

#include <math.h>

/* Counts of outcomes lose half of their weight in this time. */
#define OUTCOME_HALF_LIFE_US (2 * PB_SEC)
/* How long an instance that could not be reached gets no new request. */
#define AVOID_US (800 * PB_MSEC)

void
pb_note_dispatch(struct pb_instance *instance)
{
	instance->in_flight++;
}

void
pb_note_release(struct pb_instance *instance)
{
	instance->in_flight--;
}

void
pb_note_load(struct pb_context *ctx, struct pb_instance *instance, int requests)
{
	instance->reported = requests;
	instance->reported_own = instance->in_flight;
	instance->reported_us = pb_now(ctx);
}

double
pb_outcome_weight(int64_t age_us)
{
	return exp2(-(double)age_us / (double)OUTCOME_HALF_LIFE_US);
}

void
pb_note_outcome(
    struct pb_context *ctx, struct pb_instance *instance, bool failed)
{
	int64_t now = pb_now(ctx);
	double keep = pb_outcome_weight(now - instance->outcomes_us);

	instance->failures = instance->failures * keep + (failed ? 1 : 0);
	instance->outcomes = instance->outcomes * keep + 1;
	instance->outcomes_us = now;
}

void
pb_note_unreachable(struct pb_context *ctx, struct pb_instance *instance)
{
	pb_note_unreachable_for(ctx, instance, AVOID_US);
}

void
pb_note_unreachable_for(
    struct pb_context *ctx, struct pb_instance *instance, int64_t us)
{
	instance->avoid_until_us = pb_now(ctx) + us;
}
