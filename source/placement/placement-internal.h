#ifndef PLACEMENT_INTERNAL_H
#define PLACEMENT_INTERNAL_H

#include "poplarbeam/lru.h"
#include "poplarbeam/placement.h"

/*
 * Past totals of a slot are kept for 32 x 50 ms, so that a load report can be
 * compared with the work that was in flight when the upstream made the report.
 */
#define SAMPLES 32
#define SAMPLE_STEP (50 * PB_MSEC)

/* Totals of a slot from at_us until the next sample. */
struct sample {
	int64_t at_us;
	uint64_t charged;
	uint64_t released;
};

struct slot {
	struct pb_upstream_info info;
	bool used;
	int64_t joined_us;
	bool awaits_work; /* joined lately; no work was charged since */
	int64_t hold_until_us; /* gets no new work before this time */
	bool down; /* does not count as live before hold_until_us */
	uint64_t charged; /* total work charged in this incarnation */
	uint64_t released; /* total work released in this incarnation */
	uint64_t resumed_work; /* charged work that another owner started */
	/*
	 * Work that other owners run on the upstream, from load reports. It can
	 * rise only in cautious mode, so that a report that counts work in a
	 * different way cannot raise the load permanently.
	 */
	uint64_t external_work;
	bool reported; /* since the last start of cautious mode */
	int64_t reported_us; /* when the last report was made */
	struct sample samples[SAMPLES];
	uint32_t sample_count; /* number of samples ever taken */
};

struct pb_placement {
	struct pb_placement_policy policy;
	int64_t cautious_until_us; /* end of cautious mode */
	struct pb_lru *locations; /* upstream id by chat */
	enum pb_choice last_choice;
	int count; /* slots ever used */
	struct slot slots[PB_CELL_UPSTREAMS_MAX];
};

/* Loads and capacities of the slots at one time. */
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
