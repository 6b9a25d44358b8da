#ifndef POPLARBEAM_CELL_H
#define POPLARBEAM_CELL_H

#include "poplarbeam/base.h"
#include "poplarbeam/limit.h"
#include "poplarbeam/placement.h"
#include "poplarbeam/queue.h"

/*
 * A cell admits requests for a group of upstreams. It decides when and on which
 * upstream each request starts, or why it is refused. A cell does no I/O: its
 * functions take events, read the clock of the context and report their
 * decisions as actions. Not thread safe: the caller holds the cell's lock.
 */

struct pb_cell_policy {
	struct pb_placement_policy placement;
	struct pb_queue_policy queue;
	int cells; /* number of cells of the service, over all routers */
	int64_t containment_us; /* how long a contained request is refused */
	uint32_t strikes; /* crashes that cause containment, usually 2 */
};

/* Description of one request. pb_submit_work copies it. */
struct pb_work {
	uint64_t id; /* unique within this router */
	uint64_t chat; /* hash of the chat, 0 for none */
	uint64_t account; /* hash of the client account's name */
	double weight; /* weight of the client account */
	struct pb_account_limits limits;
	int rank; /* 0 is the most urgent */
	uint32_t work; /* estimated work units */
	uint32_t bytes; /* memory held while the request waits */
	int64_t wait_us; /* longest wait that the caller accepts */
	uint64_t fingerprint; /* equal for copies of a request; 0 for none */
	/*
	 * Upstream that already runs the request, 0 for none. The request is
	 * started there at once, without applying account limits and the load
	 * bound. It is refused with PB_REFUSED_NO_UPSTREAM when that upstream
	 * is gone, because only the caller knows whether the request may run on
	 * another one.
	 */
	uint64_t resume_on;
	/*
	 * Upstream on which the request just failed, 0 for none. It is used
	 * again only when no other upstream is live.
	 */
	uint64_t avoid_upstream;
};

enum pb_refusal {
	PB_REFUSED_NONE,
	PB_REFUSED_QUEUE_FULL,
	PB_REFUSED_DEADLINE, /* expected or actual wait is too long */
	PB_REFUSED_LIMIT, /* over a limit of the client account */
	PB_REFUSED_CONTAINED, /* its fingerprint is contained after crashes */
	PB_REFUSED_NO_UPSTREAM,
	PB_REFUSED_STOPPING,
	PB_REFUSED_NOT_OWNER,
	PB_REFUSED_STALE /* settings were not confirmed for too long */
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
 * Called for each action, inside the function of the cell that causes it. Must
 * not call functions of the cell.
 */
typedef void pb_action_fn(void *arg, const struct pb_action *action);

enum pb_outcome {
	PB_OUTCOME_DONE,
	PB_OUTCOME_FAILED, /* error or timeout; no sign of a crash */
	PB_OUTCOME_CRASHED, /* the upstream broke the connection */
	PB_OUTCOME_CANCELLED, /* the caller disconnected */
	PB_OUTCOME_NOT_RUN /* not sent, or the upstream did not run it */
};

struct pb_cell;

/*
 * fn and arg are borrowed and must outlive the cell. Returns NULL when memory
 * runs out or the queue policy is invalid.
 */
struct pb_cell *pb_new_cell(struct pb_context *ctx,
    const struct pb_cell_policy *policy, pb_action_fn *fn, void *arg);
void pb_drop_cell(struct pb_context *ctx, struct pb_cell *cell);
int pb_set_cell_policy(struct pb_context *ctx, struct pb_cell *cell,
    const struct pb_cell_policy *policy);

int pb_set_cell_upstream(struct pb_context *ctx, struct pb_cell *cell,
    const struct pb_upstream_info *info);
void pb_report_cell_load(struct pb_context *ctx, struct pb_cell *cell,
    uint64_t upstream, uint64_t work, int64_t age_us);

/* Restarts cautious mode after this router regains ownership of the cell. */
void pb_begin_cell_takeover(struct pb_context *ctx, struct pb_cell *cell);

/*
 * Submits a request, which causes exactly one action for work->id, during this
 * call or later, unless it is cancelled first. Returns PB_ECONFLICT and causes
 * no action when a request with this id already waits or runs in the cell.
 */
int pb_submit_work(
    struct pb_context *ctx, struct pb_cell *cell, const struct pb_work *work);
/* Removes a waiting request without an action; its caller disconnected. */
void pb_cancel_work(struct pb_context *ctx, struct pb_cell *cell, uint64_t id);
/*
 * Ends a request that was started. actual_work: work units that it used. The
 * first PB_OUTCOME_CRASHED on an incarnation of an upstream adds one strike to
 * the fingerprint of every request in flight on it. When those requests end in
 * turn, they add no further strike.
 */
void pb_finish_work(struct pb_context *ctx, struct pb_cell *cell, uint64_t id,
    enum pb_outcome outcome, uint32_t actual_work);

/*
 * Refuses waiting requests whose wait limit has passed and starts those that
 * can start. Returns when to call it next, in microseconds of monotonic time.
 */
int64_t pb_tick_cell(struct pb_context *ctx, struct pb_cell *cell);

/*
 * Contains a fingerprint that another router reported. until_us: end of the
 * containment, monotonic time.
 */
void pb_contain_fingerprint(struct pb_context *ctx, struct pb_cell *cell,
    uint64_t fingerprint, int64_t until_us);
/* A fingerprint that this cell contains. */
struct pb_contained {
	uint64_t fingerprint;
	int64_t until_us; /* monotonic time */
};

/*
 * Writes the fingerprints that are contained because of crashes in this cell
 * and returns their number. Leaves out those that other routers reported, so
 * that routers do not renew the containments of one another.
 */
size_t pb_read_contained(struct pb_context *ctx, struct pb_cell *cell,
    struct pb_contained *out, size_t cap);

struct pb_limiter *pb_cell_limiter(struct pb_cell *cell);

struct pb_cell_stats {
	struct pb_queue_stats queue;
	struct pb_placement_stats placement;
	uint64_t started;
	uint64_t refused;
	uint64_t contained; /* containments caused by crashes in this cell */
	uint32_t in_flight;
};

void pb_read_cell_stats(struct pb_context *ctx, const struct pb_cell *cell,
    struct pb_cell_stats *stats);

#endif
