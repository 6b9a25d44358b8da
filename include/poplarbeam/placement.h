#ifndef POPLARBEAM_PLACEMENT_H
#define POPLARBEAM_PLACEMENT_H

#include "poplarbeam/base.h"

/*
 * The upstreams of one cell: their load, which of them may take a piece of
 * work without going over the load bound, and which one a chat prefers. No
 * locks: the caller holds the cell's lock.
 */

/*
 * Slots of a cell. A service has as many cells as give 16 upstreams each on
 * average; hashing makes cells uneven, and slots of upstreams that left stay
 * in use while their work finishes. Slot masks are 64 bits wide.
 */
#define PB_CELL_UPSTREAMS_MAX 64

struct pb_placement_policy {
	double bound; /* largest load over mean, e.g. 1.25 */
	double inner_limit; /* admission multiple below the bound, 1.20 */
	uint32_t floor_work; /* load that is always allowed, in work units */
	int64_t ramp_us; /* a joining upstream reaches full weight then */
	int64_t takeover_us; /* cautious time of a new owner */
	uint32_t locations; /* chat locations kept; fixed at creation */
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

/*
 * Adds or changes one upstream. PB_EBUSY when the cell is full. A new
 * incarnation starts without load; an older one than known changes nothing.
 */
int pb_set_upstream(struct pb_context *ctx, struct pb_placement *pl,
    const struct pb_upstream_info *info);
/* A load report of the upstream itself: all work on it, age_us old. */
void pb_report_load(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t upstream, uint64_t work, int64_t age_us);
/*
 * Starts cautious mode again, when ownership of the cell comes back. A new
 * placement starts in it.
 */
void pb_begin_takeover(struct pb_context *ctx, struct pb_placement *pl);

/*
 * Chooses an upstream for work of this chat, 0 for none: its last location if
 * eligible, its first rendezvous choice up to half way between mean and
 * inner_limit, its second up to the mean, else the least loaded. headroom:
 * share of the live upstreams' capacity that must stay free in all. avoid: bit
 * mask of slots not to use. Returns the slot, or -1 when none is eligible. Does
 * not charge it.
 *
 * Eligible are live upstreams that with this work carry no more than
 * inner_limit x the mean of the live ones (work / (capacity x throttle), this
 * work included) or floor_work, and no more than their capacity. An upstream
 * without load may take any one piece of work: if not, work larger than the
 * floor could never start in an idle cell.
 */
int pb_choose_upstream(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t chat, uint32_t work, double headroom, uint64_t avoid);
/* Why an upstream was chosen, for the time line. */
enum pb_choice {
	PB_CHOICE_NONE,
	PB_CHOICE_LOCATION, /* the chat ran there last */
	PB_CHOICE_FIRST, /* first rendezvous choice */
	PB_CHOICE_SECOND,
	PB_CHOICE_LEAST_LOADED,
	PB_CHOICE_RESUMED /* the stream runs there already */
};

const char *pb_choice_name(enum pb_choice choice);
/* How pb_choose_upstream came to its last result. */
enum pb_choice pb_last_choice(const struct pb_placement *pl);
/*
 * True when one of the slots has the capacity for this work, and the cell has
 * it besides the headroom, whatever the load.
 */
bool pb_fits_capacity(const struct pb_placement *pl, uint32_t work,
    double headroom, uint64_t slots);
/* Charges work to a slot and remembers the chat's location. */
void pb_charge_upstream(struct pb_context *ctx, struct pb_placement *pl,
    int slot, uint64_t chat, uint32_t work);
/*
 * The same for work that already ran on the upstream under another owner, and
 * that its load reports therefore count.
 */
void pb_adopt_upstream(struct pb_context *ctx, struct pb_placement *pl,
    int slot, uint64_t chat, uint32_t work);
/* Ends charged work; of another incarnation than the present: no effect. */
void pb_release_upstream(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t upstream, uint64_t incarnation, uint32_t work);
/*
 * Gives an upstream no new work until until_us, because it just failed. down:
 * it also counts as not live. A new incarnation ends the hold.
 */
void pb_hold_upstream(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t upstream, uint64_t incarnation, int64_t until_us, bool down);

/* Slot of an upstream that is not gone, or -1. */
int pb_find_slot(const struct pb_placement *pl, uint64_t upstream);
uint64_t pb_slot_upstream(const struct pb_placement *pl, int slot);
uint64_t pb_slot_incarnation(const struct pb_placement *pl, int slot);
/* Slots in state PB_UP_LIVE, held ones included, as a bit mask. */
uint64_t pb_live_slots(const struct pb_placement *pl);

struct pb_placement_stats {
	int upstreams; /* live ones */
	double load; /* work in flight over all live ones */
	double capacity; /* capacity x throttle over all live ones */
	double max_over_mean; /* of the live ones; 0 without load */
	bool cautious;
};

void pb_read_placement_stats(struct pb_context *ctx,
    const struct pb_placement *pl, struct pb_placement_stats *stats);

#endif
