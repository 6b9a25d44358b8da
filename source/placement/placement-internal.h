#ifndef PLACEMENT_INTERNAL_H
#define PLACEMENT_INTERNAL_H

#include "poplarbeam/lru.h"
#include "poplarbeam/placement.h"

/*
 * Past totals of a slot are kept for 32 x 50 ms, so that a load report can be
 * compared with the work that was in flight when the report was made.
 */
#define SAMPLES 32
#define SAMPLE_STEP (50 * PB_MSEC)

/* Totals of a slot as they were from at_us on, up to the next sample. */
struct sample {
	int64_t at_us;
	uint64_t charged;
	uint64_t released;
};

struct slot {
	struct pb_upstream_info info;
	bool used;
	int64_t joined_us;
	int64_t held_us; /* no new work before */
	bool down; /* held, and not counted as live */
	uint64_t charged; /* total of this incarnation */
	uint64_t released;
	uint64_t adopted; /* of the charged work, what ran there before */
	/*
	 * Work of other owners on it, from load reports. It is set while the
	 * cell is cautious and only falls afterwards, so that a report that
	 * counts work in another way cannot raise the load for good.
	 */
	uint64_t foreign;
	bool reported;
	int64_t reported_us; /* when the last report was made */
	struct sample samples[SAMPLES];
	uint32_t sample_count; /* ever taken */
};

struct pb_placement {
	struct pb_placement_policy policy;
	int64_t cautious_us; /* end of cautious mode */
	struct pb_lru *locations; /* chat -> upstream id */
	enum pb_choice last_choice;
	int count; /* slots in use or used before */
	struct slot slots[PB_CELL_UPSTREAMS_MAX];
};

/* Loads and capacities of the live slots at one moment. */
struct load_view {
	int64_t now;
	double load[PB_CELL_UPSTREAMS_MAX];
	double capacity[PB_CELL_UPSTREAMS_MAX]; /* 0: not live */
	double total_load;
	double total_capacity;
};

void pb_read_loads(struct pb_context *ctx, const struct pb_placement *pl,
    struct load_view *view);
void pb_sample_slot(struct pb_context *ctx, struct slot *slot);

#endif
