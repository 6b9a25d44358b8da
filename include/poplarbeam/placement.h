#ifndef POPLARBEAM_PLACEMENT_H
#define POPLARBEAM_PLACEMENT_H

#include "poplarbeam/base.h"

/*
 * Placement of work on the upstreams of one cell. It tracks the load of each
 * upstream, keeps it below a multiple of the mean, and sends a chat to the same
 * upstream where possible. It takes no locks: the caller holds the cell's lock.
 */

/*
 * Maximum number of upstream slots in a cell. The number of cells of a service
 * is chosen so that a cell has 16 upstreams on average. Hashing makes cells
 * uneven, and the slot of an upstream that left stays in use while its work
 * finishes. Slot masks are 64 bits wide.
 */
#define PB_CELL_UPSTREAMS_MAX 64

struct pb_placement_policy {
	double bound; /* maximum ratio of load to mean, e.g. 1.25 */
	double inner_limit; /* ratio for admission, below bound, e.g. 1.20 */
	uint32_t floor_work; /* load always allowed, in work units */
	int64_t ramp_us; /* time until a new upstream has full weight */
	int64_t takeover_us; /* duration of cautious mode in a new owner */
	uint32_t locations; /* chat locations kept; set at creation only */
};

enum pb_upstream_state {
	PB_UP_LIVE,
	PB_UP_LEAVING, /* finishes its work and gets no new work */
	PB_UP_EJECTED, /* unhealthy; gets no new work */
	PB_UP_GONE
};

struct pb_upstream_info {
	uint64_t id; /* hash of the instance id */
	uint64_t incarnation;
	double capacity; /* maximum work in flight, in work units */
	double throttle; /* share of full speed; 1: not throttled */
	enum pb_upstream_state state;
};

struct pb_placement;

struct pb_placement *pb_new_placement(
    struct pb_context *ctx, const struct pb_placement_policy *policy);
void pb_drop_placement(struct pb_context *ctx, struct pb_placement *pl);
void pb_set_placement_policy(struct pb_context *ctx, struct pb_placement *pl,
    const struct pb_placement_policy *policy);

/*
 * Adds or updates an upstream. A newer incarnation starts without load; an
 * older one is ignored. Returns PB_EBUSY when the cell has no free slot.
 */
int pb_set_upstream(struct pb_context *ctx, struct pb_placement *pl,
    const struct pb_upstream_info *info);
/*
 * Applies a load report from an upstream. work is all work on the upstream,
 * whichever owner sent it, as it was age_us ago.
 */
void pb_report_load(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t upstream, uint64_t work, int64_t age_us);
/*
 * Restarts cautious mode, for a router that owns the cell again. A new
 * placement starts in cautious mode. In this mode load reports may raise the
 * work that other owners are assumed to run on an upstream, and an upstream
 * that has not reported yet is assumed to have the mean load.
 */
void pb_begin_takeover(struct pb_context *ctx, struct pb_placement *pl);

/*
 * Chooses an upstream for a piece of work and returns its slot, or -1 when no
 * upstream is eligible. The work is not charged.
 *
 * chat identifies the chat that the work belongs to, 0 for none. A chat goes to
 * its last location, else to its first rendezvous choice if the load there is
 * at most half way between the mean and inner_limit, else to its second choice
 * if the load there is at most the mean, else to the least loaded upstream.
 * headroom is the share of the total capacity of the live upstreams that must
 * stay free. avoid is a bit mask of slots that must not be used.
 *
 * An upstream is eligible if it is live and, with this work added, its load is
 * at most its capacity and at most either floor_work or inner_limit times the
 * mean. Relative load is work / (capacity x throttle); the mean is that of all
 * live upstreams with this work added. An upstream without load may take any
 * one piece of work, because work larger than the floor could otherwise never
 * start in an idle cell.
 */
int pb_choose_upstream(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t chat, uint32_t work, double headroom, uint64_t avoid);
/* Why an upstream was chosen, for the time line of the request. */
enum pb_choice {
	PB_CHOICE_NONE,
	PB_CHOICE_LOCATION, /* the chat ran there last */
	PB_CHOICE_FIRST, /* the first rendezvous choice */
	PB_CHOICE_SECOND,
	PB_CHOICE_LEAST_LOADED,
	PB_CHOICE_RESUMED, /* the stream already runs there */
	PB_CHOICE_JOINED /* joined lately and has had no work since */
};

const char *pb_choice_name(enum pb_choice choice);
/* Returns the reason for the last result of pb_choose_upstream. */
enum pb_choice pb_last_choice(const struct pb_placement *pl);
/*
 * Returns true if, without any load, one of the slots had enough capacity for
 * this work and the cell had enough in addition to the headroom. slots is a
 * bit mask.
 */
bool pb_fits_capacity(const struct pb_placement *pl, uint32_t work,
    double headroom, uint64_t slots);
/* Charges work to a slot and stores the slot as the chat's location. */
void pb_charge_upstream(struct pb_context *ctx, struct pb_placement *pl,
    int slot, uint64_t chat, uint32_t work);
/*
 * Charges work that already runs on the upstream for another owner and that
 * earlier load reports of the upstream therefore include.
 */
void pb_charge_resumed_work(struct pb_context *ctx, struct pb_placement *pl,
    int slot, uint64_t chat, uint32_t work);
/* Releases charged work. Has no effect unless the incarnation is current. */
void pb_release_upstream(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t upstream, uint64_t incarnation, uint32_t work);
/*
 * Sends no new work to an upstream before until_us, because it just failed. If
 * down is set, the upstream also counts as not live until then. A new
 * incarnation ends the hold.
 */
void pb_hold_upstream(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t upstream, uint64_t incarnation, int64_t until_us, bool down);

/* Returns the slot of an upstream, or -1 if it is unknown or gone. */
int pb_find_slot(const struct pb_placement *pl, uint64_t upstream);
uint64_t pb_slot_upstream(const struct pb_placement *pl, int slot);
uint64_t pb_slot_incarnation(const struct pb_placement *pl, int slot);
/* Returns a bit mask of the slots in state PB_UP_LIVE, on hold or not. */
uint64_t pb_live_slots(const struct pb_placement *pl);

struct pb_placement_stats {
	int upstreams; /* number of live upstreams */
	double load; /* work in flight on live upstreams */
	double capacity; /* sum of capacity x throttle of live upstreams */
	double max_over_mean; /* highest load over mean; 0 without load */
	bool cautious;
};

void pb_read_placement_stats(struct pb_context *ctx,
    const struct pb_placement *pl, struct pb_placement_stats *stats);

#endif
