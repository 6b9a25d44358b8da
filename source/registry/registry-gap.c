#include "registry-internal.h"

/*
 * Entries of live instances expire while the store is away and are written
 * again after its return. A router sees the expired entries as removals, the
 * same as those of instances that leave. It can tell them apart only by what it
 * knows of the store: after an outage, removals are deferred.
 */

/* Live instances write expired entries again within this time. */
#define REMOVAL_DELAY_US (2200 * PB_MSEC)
/* A shorter outage expires no entries. */
#define OUTAGE_MIN_US (2 * PB_SEC)
/*
 * A gap this long counts as an outage even if no request of this router failed.
 * It asks the store well before that when a followed router falls silent, so
 * its own process was suspended and saw nothing of the store.
 */
#define SUSPENSION_MIN_US (3 * PB_SEC)

static bool
may_hide_outage(const struct pb_list_gap *gap)
{
	return gap->us >
	    (gap->store_failed ? OUTAGE_MIN_US : SUSPENSION_MIN_US);
}

void
pb_note_list_gap(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_list_gap *gap)
{
	bool defers = may_hide_outage(gap);

	if (gap->us > OUTAGE_MIN_US)
		pb_log(ctx, PB_INFO, "list instances", NULL, NULL,
		    "list confirmed %lld ms after the previous time; requests "
		    "of this router to the store failed meanwhile: %s; "
		    "removals are deferred for %lld ms",
		    (long long)(gap->us / PB_MSEC),
		    gap->store_failed ? "yes" : "no",
		    defers ? (long long)(REMOVAL_DELAY_US / PB_MSEC) : 0);
	if (defers)
		pb_defer_removals(registry, pb_now(ctx) + REMOVAL_DELAY_US);
}
