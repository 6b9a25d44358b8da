#ifndef POPLARBEAM_MEMBERS_H
#define POPLARBEAM_MEMBERS_H

#include "poplarbeam/base.h"
#include "poplarbeam/platform.h"

/*
 * One router's view of the health of all instances. It combines the platform's
 * instance list, which lags, with this router's own observations and the
 * reports of peers. The functions send nothing and take no locks: the caller
 * serialises calls.
 */

enum pb_health {
	PB_HEALTH_LIVE,
	PB_HEALTH_SUSPECT, /* router without a sign of life, not yet down */
	PB_HEALTH_LEAVING, /* permanent for the incarnation */
	PB_HEALTH_DOWN
};

/* Returns the name that is used in logs and JSON. */
const char *pb_health_name(enum pb_health health);

struct pb_member {
	struct pb_instance info;
	uint64_t id_hash; /* pb_hash_cstr(info.id, 0) */
	enum pb_health health;
	double capacity; /* as reported; 0 when not known */
	double throttle; /* as reported; 1 is full speed */
	int64_t changed_us; /* last change of health, incarnation, visibility */
};

struct pb_members_policy {
	const char *self; /* this instance's id */
	const char *region;
	/* Time without a sign of life until a router is suspect. */
	int64_t suspect_us;
	/* Time as suspect without a sign of life until a router is down. */
	int64_t dead_us;
	int64_t damp_min_us; /* shortest exclusion after a failure, 1 s */
	int64_t damp_max_us; /* longest exclusion, 60 s */
	double eject_share; /* default, see pb_set_eject_share */
	int fail_threshold; /* consecutive failures until ejection */
};

struct pb_members;

struct pb_members *pb_new_members(
    struct pb_context *ctx, const struct pb_members_policy *policy);
void pb_drop_members(struct pb_context *ctx, struct pb_members *members);

/*
 * Sets the largest share of a service's upstreams in a region that is ejected
 * at the same time. Other services use the policy's eject_share.
 */
void pb_set_eject_share(
    struct pb_members *members, const char *service, double share);

/*
 * Applies the platform's instance list. An instance that is missing from it is
 * removed after 5 s, or after 60 s at most while there are signs of life.
 */
int pb_apply_instance_list(struct pb_context *ctx, struct pb_members *members,
    const struct pb_instance *list, size_t count);

enum pb_evidence {
	PB_EVIDENCE_ANSWER, /* answered a call or a probe */
	PB_EVIDENCE_REFUSAL, /* connection refused or reset */
	PB_EVIDENCE_TIMEOUT,
	PB_EVIDENCE_LEAVING, /* the instance reported that it is leaving */
	PB_EVIDENCE_OVERLOAD
};

/*
 * Records what this router observed about an instance. incarnation 0 means the
 * current one; evidence about an older incarnation is ignored.
 */
void pb_note_evidence(struct pb_context *ctx, struct pb_members *members,
    uint64_t id_hash, uint64_t incarnation, enum pb_evidence evidence);
/*
 * Records the load report of an upstream. Changes below 5% do not change the
 * view.
 */
void pb_note_capacity(struct pb_context *ctx, struct pb_members *members,
    uint64_t id_hash, double capacity, double throttle);
/*
 * Records what a peer reported about an instance. A router's report about
 * itself (reporter == id_hash) is a sign of life of that router.
 */
void pb_note_peer_health(struct pb_context *ctx, struct pb_members *members,
    uint64_t id_hash, uint64_t incarnation, enum pb_health health,
    uint64_t reporter);

/*
 * Applies timeouts and new evidence; returns true when the view changed since
 * the last call. Evidence takes effect at the next call of pb_tick_members or
 * pb_new_view.
 */
bool pb_tick_members(struct pb_context *ctx, struct pb_members *members);

/*
 * An immutable, reference-counted copy of the members, sorted by id_hash. The
 * caller of pb_new_view owns one reference.
 */
struct pb_view {
	uint64_t version;
	_Atomic int refs;
	size_t count;
	struct pb_member *members;
};

struct pb_view *pb_new_view(struct pb_context *ctx, struct pb_members *members);
struct pb_view *pb_keep_view(struct pb_view *view);
void pb_drop_view(struct pb_context *ctx, struct pb_view *view);
const struct pb_member *pb_find_member(
    const struct pb_view *view, uint64_t id_hash);

/* Returns true for a live upstream, which gets new work; false for routers. */
bool pb_member_accepts_work(const struct pb_member *member);

/* Returns the identifier of cell number n of a service in a region. */
uint64_t pb_cell_id(const char *service, const char *region, int n);
/* Returns the number of the cell that an upstream belongs to. */
int pb_cell_of_upstream(uint64_t upstream, int cells);
/*
 * Returns the owner of a cell: of the live and suspect routers of the region,
 * the one with the highest rendezvous score. Leaving routers own no cells.
 * choice 0 is the owner, 1 the router with the next lower score and so on.
 * Returns NULL when there is no such router. The result is valid as long as the
 * view.
 */
const struct pb_member *pb_cell_owner(
    const struct pb_view *view, uint64_t cell, const char *region, int choice);

#endif
