#ifndef POPLARBEAM_CELL_H
#define POPLARBEAM_CELL_H

#include "poplarbeam/base.h"
#include "poplarbeam/limit.h"
#include "poplarbeam/placement.h"
#include "poplarbeam/queue.h"

/*
 * One admission point for a group of upstreams: takes work in, decides where
 * and when each piece starts or why it is refused. Pure decisions: events and
 * a clock reading in, actions out. No locks: the caller holds the cell's lock.
 */

struct pb_cell_policy {
	struct pb_placement_policy placement;
	struct pb_queue_policy queue;
	int cells; /* cells of this service over the fleet */
	int64_t containment_us; /* how long a crashing request is refused */
	uint32_t strikes; /* crashes until containment, 2 */
};

/* One request as the cell sees it. Copied by pb_submit_work. */
struct pb_work {
	uint64_t id; /* unique per request at this router */
	uint64_t chat; /* chat hash, 0 for none */
	uint64_t account; /* hash of the account's name */
	double weight; /* of the account */
	struct pb_account_limits limits;
	int rank;
	uint32_t work; /* estimated work units */
	uint32_t bytes; /* memory held while it waits */
	int64_t wait_us; /* longest wait that is of use to the caller */
	uint64_t fingerprint; /* 0 for none */
	/*
	 * Upstream that already runs it, 0 for none. It is started there at
	 * once, without regard to limits and bound, or is refused with
	 * PB_REFUSED_NO_UPSTREAM when that upstream is gone: only the caller
	 * knows whether it may run elsewhere.
	 */
	uint64_t resume_on;
	/* Upstream that just failed it: used only when no other is live. */
	uint64_t avoid_upstream;
};

enum pb_refusal {
	PB_REFUSED_NONE,
	PB_REFUSED_QUEUE_FULL,
	PB_REFUSED_DEADLINE, /* would wait, or has waited, too long */
	PB_REFUSED_LIMIT, /* the account's limit */
	PB_REFUSED_CONTAINED, /* crashed upstreams before */
	PB_REFUSED_NO_UPSTREAM,
	PB_REFUSED_STOPPING,
	PB_REFUSED_NOT_OWNER,
	PB_REFUSED_STALE /* settings not confirmed for too long */
};

const char *pb_refusal_name(enum pb_refusal reason);

enum pb_action_kind {
	PB_ACTION_START,
	PB_ACTION_REFUSE
};

struct pb_action {
	enum pb_action_kind kind;
	uint64_t id;
	uint64_t upstream; /* for PB_ACTION_START */
	enum pb_choice choice; /* for PB_ACTION_START */
	enum pb_refusal reason;
	int64_t retry_after_us;
	int64_t waited_us;
};

/*
 * Called for each action, inside the function that causes it. It must not call
 * the cell.
 */
typedef void pb_action_fn(void *arg, const struct pb_action *action);

enum pb_outcome {
	PB_OUTCOME_DONE,
	PB_OUTCOME_FAILED, /* answered with an error, upstream is alive */
	PB_OUTCOME_CRASHED, /* the upstream broke off */
	PB_OUTCOME_CANCELLED, /* the caller went away */
	PB_OUTCOME_NOT_RUN /* no byte reached the upstream */
};

struct pb_cell;

/* fn and arg are borrowed and outlive the cell. */
struct pb_cell *pb_new_cell(struct pb_context *ctx,
    const struct pb_cell_policy *policy, pb_action_fn *fn, void *arg);
void pb_drop_cell(struct pb_context *ctx, struct pb_cell *cell);
int pb_set_cell_policy(struct pb_context *ctx, struct pb_cell *cell,
    const struct pb_cell_policy *policy);

int pb_set_cell_upstream(struct pb_context *ctx, struct pb_cell *cell,
    const struct pb_upstream_info *info);
void pb_report_cell_load(struct pb_context *ctx, struct pb_cell *cell,
    uint64_t upstream, uint64_t work, int64_t age_us);

/* Starts cautious mode again, when ownership of the cell comes back. */
void pb_begin_cell_takeover(struct pb_context *ctx, struct pb_cell *cell);

/*
 * Leads to exactly one action for work->id, now or later. PB_ECONFLICT without
 * an action when that id already waits or runs here.
 */
int pb_submit_work(
    struct pb_context *ctx, struct pb_cell *cell, const struct pb_work *work);
/* The caller went away while the work waited: no action follows. */
void pb_cancel_work(struct pb_context *ctx, struct pb_cell *cell, uint64_t id);
/*
 * Ends work that was started. actual_work: units really used. The first
 * PB_OUTCOME_CRASHED gives one strike to all work that is in flight on that
 * incarnation; their own ends add none.
 */
void pb_finish_work(struct pb_context *ctx, struct pb_cell *cell, uint64_t id,
    enum pb_outcome outcome, uint32_t actual_work);

/* Expires waiting work; returns the time of the next call, microseconds. */
int64_t pb_tick_cell(struct pb_context *ctx, struct pb_cell *cell);

/* A contained fingerprint that a peer reported; until_us: monotonic time. */
void pb_contain_fingerprint(struct pb_context *ctx, struct pb_cell *cell,
    uint64_t fingerprint, int64_t until_us);
/* A fingerprint that this cell contains, until a monotonic time. */
struct pb_contained {
	uint64_t fingerprint;
	int64_t until_us;
};

/*
 * Fingerprints contained because of crashes seen here; returns how many were
 * written. Those reported by peers are left out, so that routers do not renew
 * one another's containments.
 */
size_t pb_read_contained(struct pb_context *ctx, struct pb_cell *cell,
    struct pb_contained *out, size_t cap);

struct pb_limiter *pb_cell_limiter(struct pb_cell *cell);

struct pb_cell_stats {
	struct pb_queue_stats queue;
	struct pb_placement_stats placement;
	uint64_t started;
	uint64_t refused;
	uint64_t contained; /* containments because of crashes here */
	uint32_t in_flight;
};

void pb_read_cell_stats(struct pb_context *ctx, const struct pb_cell *cell,
    struct pb_cell_stats *stats);

#endif
