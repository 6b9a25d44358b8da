#include "registry-internal.h"

#include <stdlib.h>
#include <string.h>

/* Time for which an unreachable instance gets no new requests. */
#define AVOID_US (800 * PB_MSEC)

void
pb_note_dispatch(struct pb_instance *instance, bool is_stream)
{
	instance->in_flight++;
	instance->own_streams += is_stream;
}

void
pb_note_release(struct pb_instance *instance, bool is_stream)
{
	instance->in_flight--;
	instance->own_streams -= is_stream;
}

void
pb_note_load(struct pb_context *ctx, struct pb_instance *instance, int requests)
{
	instance->reported = requests;
	instance->reported_own = instance->in_flight;
	instance->reported_us = pb_now(ctx);
	instance->report_seen_us = instance->reported_us;
	instance->report_shared = false;
}

void
pb_note_shared_load(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_load_report *report)
{
	struct pb_instance *inst = pb_find_by_hash(registry, report->id_hash);

	if (inst == NULL || report->reported_us <= inst->reported_us)
		return;
	inst->reported = report->requests;
	inst->reported_own = inst->in_flight;
	inst->reported_us = report->reported_us;
	inst->report_seen_us = pb_now(ctx);
	inst->report_shared = !report->of_follower;
}

static int
compare_reports(const void *a, const void *b)
{
	const struct pb_instance *x = *(const struct pb_instance *const *)a;
	const struct pb_instance *y = *(const struct pb_instance *const *)b;

	return x->reported_us < y->reported_us
	    ? 1
	    : -(x->reported_us > y->reported_us);
}

size_t
pb_read_reports(const struct pb_registry *registry, int64_t since_us, bool own,
    const struct pb_instance **instances, size_t cap)
{
	const struct pb_instance **all =
	    calloc(registry->count + 1, sizeof(struct pb_instance *));
	size_t i, n = 0;

	if (all == NULL)
		return 0;
	for (i = 0; i < registry->count; i++) {
		const struct pb_instance *inst = registry->instances[i];

		if (inst->report_seen_us > since_us &&
		    !(own && inst->report_shared))
			all[n++] = inst;
	}
	qsort(all, n, sizeof(struct pb_instance *), compare_reports);
	if (n > cap)
		n = cap;
	if (n > 0)
		memcpy(instances, all, n * sizeof(struct pb_instance *));
	free(all);
	return n;
}

void
pb_note_unreachable(struct pb_context *ctx, struct pb_instance *instance)
{
	instance->unreached = true;
	pb_note_unreachable_for(ctx, instance, AVOID_US);
}

void
pb_note_unreachable_for(
    struct pb_context *ctx, struct pb_instance *instance, int64_t us)
{
	instance->avoid_until_us = pb_now(ctx) + us;
}
