#ifndef MEMBERS_RECORD_H
#define MEMBERS_RECORD_H

#include "poplarbeam/members.h"

/* Peers whose reports that an instance is down are stored per instance. */
#define MEMBERS_REPORTS_MAX 4

struct report {
	uint64_t reporter;
	int64_t at_us; /* time of arrival */
};

/*
 * State of one instance. (incarnation, leaving) only grows, in lexicographic
 * order, so that all routers reach the same value in whatever order they
 * receive the same evidence.
 */
struct record {
	struct pb_member pub; /* copied to the next view */
	uint64_t group; /* service and region; scope of the eject share */
	bool visible; /* part of the view */
	bool listed; /* in the last instance list */
	bool leaving;
	bool eject_candidate; /* unhealthy, or healthy for less than damp_us */
	bool was_unhealthy; /* at the last evaluation */
	int failures; /* consecutive failures seen by this router */
	int refusals; /* consecutive refusals up to the last failure */
	int64_t last_alive_us; /* last sign of life from any source */
	int64_t answer_us; /* last answer to this router */
	int64_t failed_us; /* last failure or report of one */
	int64_t suspected_us; /* first failure or report since last_alive_us */
	int64_t healthy_since_us; /* valid while eject_candidate */
	int64_t live_since_us; /* time of addition or last recovery */
	int64_t damp_us; /* healthy time required before reuse */
	enum pb_health logged; /* last logged health */
	int64_t unlisted_since_us; /* 0 while in the list */
	int64_t touched_us; /* last evidence or list entry about it */
	struct report reports[MEMBERS_REPORTS_MAX];
	int report_count;
};

/* Largest ejected share of one service, from the settings. */
struct service_share {
	char service[48];
	double share;
};

struct pb_members {
	struct pb_members_policy policy;
	char self[48];
	char region[24];
	uint64_t self_hash;
	struct service_share *shares;
	size_t share_count;
	struct record **records; /* sorted by id_hash */
	size_t count;
	size_t cap;
	size_t hidden; /* records that are not part of the view */
	uint64_t version;
	uint64_t ticked_version;
	bool dirty; /* new evidence since the last evaluation */
	struct pb_view *view; /* cached; valid while its version is current */
};

/*
 * Returns the record of an instance, adding one when there is none. Returns
 * NULL when memory runs out or too many unlisted instances are known.
 */
struct record *members_find_or_add(
    struct pb_members *m, uint64_t id_hash, int64_t now_us);
struct record *members_find(const struct pb_members *m, uint64_t id_hash);
/*
 * Prepares a record for evidence about an incarnation; 0 means the current one.
 * A newer incarnation replaces the current one. Returns false when the evidence
 * is about an older one.
 */
bool members_accept_incarnation(struct pb_members *m, struct record *r,
    uint64_t incarnation, int64_t now_us);
/*
 * Hides instances that have been missing from the list for too long, and frees
 * hidden records that are no longer needed.
 */
void members_expire(struct pb_members *m, int64_t now_us);
/*
 * Treats an unannounced restart of an upstream as a crash. Called while the
 * record still holds the old incarnation.
 */
void members_note_restart(
    struct pb_members *m, struct record *r, int64_t now_us);
/* Updates the health of every visible record. */
void members_evaluate(struct pb_members *m, int64_t now_us);

#endif
