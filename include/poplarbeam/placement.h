#ifndef POPLARBEAM_PLACEMENT_H
#define POPLARBEAM_PLACEMENT_H

#include "poplarbeam/base.h"

/*
 * The upstreams of one cell: their load, which of them may take a piece of
 * work without going over the load bound, and which one a chat prefers. No
 * locks: the caller holds the cell's lock.
 */

#define PB_CELL_UPSTREAMS_MAX 16

struct pb_placement_policy {
	double bound; /* largest load over mean, e.g. 1.25 */
	double inner_limit; /* admission multiple below the bound, 1.20 */
	uint32_t floor_work; /* load that is always allowed, in work units */
	int64_t ramp_us; /* a joining upstream reaches full weight then */
	int64_t takeover_us; /* cautious time of a new owner */
	uint32_t locations; /* entries of the chat location table */
};

enum pb_upstream_state {
	PB_UP_LIVE,
	PB_UP_LEAVING, /* finishes its work, gets no new work */
	PB_UP_EJECTED, /* not healthy; gets no new work */
	PB_UP_GONE
};

struct pb_upstream_info {
	uint64_t id; /* hash of the instance id */
	uint64_t incarnation;
	double capacity; /* work units that it can hold at once */
	double throttle; /* 1 full speed, 0.5 half */
	enum pb_upstream_state state;
};

struct pb_placement;

struct pb_placement *pb_new_placement(
    struct pb_context *ctx, const struct pb_placement_policy *policy);
void pb_drop_placement(struct pb_context *ctx, struct pb_placement *pl);
void pb_set_placement_policy(struct pb_context *ctx, struct pb_placement *pl,
    const struct pb_placement_policy *policy);

/* Adds or changes one upstream. PB_EBUSY when the cell is full. */
int pb_set_upstream(struct pb_context *ctx, struct pb_placement *pl,
    const struct pb_upstream_info *info);
/* A load report of the upstream itself: all work on it, age_us old. */
void pb_report_load(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t upstream, uint64_t work, int64_t age_us);

/*
 * Chooses an upstream for work of this chat. headroom: share of its capacity
 * that must stay free. avoid: bit mask of upstream slots not to use. Returns
 * the slot, or -1 when none is eligible. Does not charge it.
 */
int pb_choose_upstream(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t chat, uint32_t work, double headroom, uint32_t avoid);
/* Charges work to a slot and remembers the chat's location. */
void pb_charge_upstream(struct pb_context *ctx, struct pb_placement *pl,
    int slot, uint64_t chat, uint32_t work);
void pb_release_upstream(struct pb_context *ctx, struct pb_placement *pl,
    int slot, uint64_t incarnation, uint32_t work);

int pb_find_slot(const struct pb_placement *pl, uint64_t upstream);
uint64_t pb_slot_upstream(const struct pb_placement *pl, int slot);
uint64_t pb_slot_incarnation(const struct pb_placement *pl, int slot);

struct pb_placement_stats {
	int upstreams; /* live ones */
	double load; /* work in flight over all live ones */
	double capacity;
	double max_over_mean;
};

void pb_read_placement_stats(struct pb_context *ctx,
    const struct pb_placement *pl, struct pb_placement_stats *stats);

#endif
