#ifndef POPLARBEAM_STORE_H
#define POPLARBEAM_STORE_H

#include "poplarbeam/base.h"
#include "poplarbeam/platform.h"
#include "poplarbeam/settings.h"

/*
 * Storage of the settings in the table service. Rows:
 *   settings/head             {revision}
 *   settings/subtree/TEAM     {revision, team, author, change, wall_us,
 *                              previous, text}
 *   settings/history/REVISION {revision, team, author, change, wall_us,
 *                              previous}
 *   settings/text/REVISION    {team, text}
 * REVISION has 20 digits, so that rows sort by number. The fleet-wide document
 * is the subtree of team PB_FLEET_TEAM. Every change increases the head
 * revision by one and is a single transaction. The functions that use the table
 * keep no state between calls and may be called from several threads.
 */

#define PB_HISTORY_ROWS 1000 /* revisions whose text and history are kept */

/* The history record of one change. */
struct pb_revision_info {
	uint64_t revision;
	uint64_t previous; /* the team's previous revision; 0: none */
	int64_t wall_us;
	char team[48];
	char author[64];
	char change[40]; /* change id chosen by the author */
};

struct pb_subtree {
	struct pb_revision_info info; /* of the subtree's last change */
	uint64_t version; /* row version */
	struct pb_buf text; /* YAML */
};

/* A consistent copy of all subtrees at one revision. */
struct pb_settings_tree {
	uint64_t revision; /* 0: no settings were ever stored */
	uint64_t version; /* version of the head row */
	size_t count;
	struct pb_subtree *subtrees; /* sorted by team */
};

/*
 * Reads the newest revision and the version of the head row. Returns PB_OK with
 * both set to 0 when the head row does not exist yet. Other results: PB_EPROTO
 * for a malformed row, or a table error.
 */
int pb_read_head(struct pb_context *ctx, struct pb_table *table,
    uint64_t *revision, uint64_t *version);
/*
 * Reads all subtrees at one revision. Returns PB_OK, a table error, PB_EPROTO
 * for a malformed row, or PB_EBUSY when the head row changed during each of
 * several reads. The tree is filled in only on PB_OK; free it with
 * pb_clear_tree.
 */
int pb_read_tree(struct pb_context *ctx, struct pb_table *table,
    struct pb_settings_tree *tree);
/*
 * Updates a tree that pb_read_tree filled in to the newest revision. Reads only
 * the subtrees that changed, so that a change costs a router four small reads
 * and one document, whatever the number of teams. Returns the same codes as
 * pb_read_tree; on an error the tree stays unchanged.
 */
int pb_update_tree(struct pb_context *ctx, struct pb_table *table,
    struct pb_settings_tree *tree);
void pb_clear_tree(struct pb_settings_tree *tree);
/* Returns NULL when the team has no subtree. */
const struct pb_subtree *pb_find_subtree(
    const struct pb_settings_tree *tree, const char *team);

/*
 * Validates the subtrees and merges them into settings. Returns NULL on an
 * error; the report lists the invalid entries.
 */
struct pb_settings *pb_parse_tree(struct pb_context *ctx,
    const struct pb_settings_tree *tree, struct pb_settings_report *report);
/*
 * Like pb_parse_tree, but starts from the settings "old" of an earlier revision
 * and parses only the subtrees that changed since then. Parses all of them when
 * the fleet-wide document changed or old is NULL.
 */
struct pb_settings *pb_parse_tree_changes(struct pb_context *ctx,
    const struct pb_settings *old, const struct pb_settings_tree *tree,
    struct pb_settings_report *report);

/* Appends the tree as JSON, the format in which routers exchange settings. */
int pb_format_tree(struct pb_context *ctx, const struct pb_settings_tree *tree,
    struct pb_buf *out);
/*
 * Reads a tree from the JSON of pb_format_tree. Returns PB_OK, PB_EPROTO or
 * PB_ENOMEM. All row versions in the tree are 0.
 */
int pb_load_tree(
    struct pb_context *ctx, struct pb_str text, struct pb_settings_tree *tree);

/* A change of one subtree. The strings are borrowed during the call. */
struct pb_change {
	const char *team; /* PB_FLEET_TEAM for the fleet-wide document */
	const char *author;
	const char *change; /* unique change id; the same in a repeat */
	uint64_t expect; /* revision at which the operator read the subtree */
	struct pb_str text; /* YAML, UTF-8 */
	int64_t deadline_us; /* monotonic time; no attempt starts after it */
};

struct pb_apply_result {
	uint64_t revision; /* PB_OK: revision that the change created */
	struct pb_revision_info winner; /* PB_ECONFLICT: conflicting change */
	struct pb_settings_report report; /* PB_EINVAL: invalid entries */
	int tries; /* commits sent */
};

/*
 * Applies a change. Retries the commit when only other subtrees changed
 * concurrently. A repeat of a change that took effect returns the revision that
 * the change created. Returns
 *   PB_OK         the change is stored as result->revision;
 *   PB_ECONFLICT  the subtree changed after change->expect, see winner;
 *   PB_EINVAL     an argument is invalid, or the text does not validate
 *                 together with the other subtrees;
 *   PB_EUNAVAIL   the table did not answer in time, nothing was written;
 *   PB_EUNKNOWN   the response to a write was lost and it is not known whether
 *                 the write took effect; repeat the call with the same change
 *                 id;
 * or another error, such as PB_EPROTO for a malformed row. Nothing was written
 * then.
 */
int pb_apply_change(struct pb_context *ctx, struct pb_table *table,
    const struct pb_change *change, struct pb_apply_result *result);
void pb_clear_apply_result(struct pb_apply_result *result);

/*
 * Applies the text that the team's subtree had at an old revision as a new
 * change; change->text is ignored. Returns the same codes as pb_apply_change,
 * PB_ENOENT when the old text does not exist or is no longer kept, or an error
 * of pb_read_subtree_at.
 */
int pb_rollback_change(struct pb_context *ctx, struct pb_table *table,
    const struct pb_change *change, uint64_t revision,
    struct pb_apply_result *result);

/* Calls fn for the newest changes, at most limit of them, newest first. */
int pb_list_history(struct pb_context *ctx, struct pb_table *table, int limit,
    void (*fn)(void *arg, const struct pb_revision_info *info), void *arg);
/*
 * Reads the team and the text that a revision stored. Returns PB_ENOENT when
 * the revision does not exist or is no longer kept.
 */
int pb_read_revision(struct pb_context *ctx, struct pb_table *table,
    uint64_t revision, struct pb_subtree *out);
/*
 * Reads a team's subtree as of a revision, which may be one that another team
 * created. Returns PB_ENOENT when the revision does not exist, the team had no
 * subtree then or its text is no longer kept.
 */
int pb_read_subtree_at(struct pb_context *ctx, struct pb_table *table,
    const char *team, uint64_t revision, struct pb_subtree *out);
void pb_clear_subtree(struct pb_subtree *subtree);

/*
 * Decides which revision a router may put in force and whether its settings
 * were confirmed recently enough to accept new requests. Does no I/O and takes
 * no locks; the calls for a gate must be serialized.
 */
struct pb_settings_gate;

struct pb_gate_policy {
	int64_t freshness_us; /* maximum age of the last confirmation */
	/*
	 * Number of peers that must have reported their revisions before a
	 * starting instance that cannot reach the table uses a revision from a
	 * peer. A single peer may be partitioned and have old settings.
	 */
	int start_peers;
};

enum pb_settings_source {
	PB_FROM_TABLE,
	PB_FROM_PEER
};

struct pb_settings_gate *pb_new_settings_gate(
    struct pb_context *ctx, const struct pb_gate_policy *policy);
void pb_drop_settings_gate(
    struct pb_context *ctx, struct pb_settings_gate *gate);
void pb_set_gate_policy(
    struct pb_settings_gate *gate, const struct pb_gate_policy *policy);

/*
 * Records the head revision that the table returned for a read sent at sent_us
 * (monotonic). The confirmation is dated from the request, so that a response
 * that was delayed while the process was suspended does not count as recent.
 */
void pb_note_table_revision(struct pb_context *ctx,
    struct pb_settings_gate *gate, uint64_t revision, int64_t sent_us);
/*
 * Records the revision that a peer reports as in force, in response to a
 * request sent at sent_us. Confirms this router's revision when both are the
 * same and no newer revision is known.
 */
void pb_note_peer_revision(struct pb_context *ctx,
    struct pb_settings_gate *gate, uint64_t peer, uint64_t revision,
    int64_t sent_us);

/*
 * Returns the highest revision that the table or a peer has reported. The
 * router must fetch the settings when it differs from the revision in force.
 */
uint64_t pb_latest_known_revision(const struct pb_settings_gate *gate);
uint64_t pb_revision_in_force(const struct pb_settings_gate *gate);

/*
 * Checks whether a revision fetched by a read sent at sent_us may be put in
 * force, and on PB_OK records it as in force. Returns PB_EINVAL for revision 0,
 * PB_ECONFLICT when a newer revision is in force, and PB_EBUSY when too few
 * peers have reported a revision yet. A revision below pb_latest_known_revision
 * is accepted, but does not count as confirmed.
 */
int pb_accept_revision(struct pb_context *ctx, struct pb_settings_gate *gate,
    uint64_t revision, enum pb_settings_source source, int64_t sent_us);

/*
 * Returns true when the settings in force were confirmed recently enough to
 * accept new requests.
 */
bool pb_may_accept_work(struct pb_context *ctx, struct pb_settings_gate *gate);
/* Returns the microseconds since the last confirmation; -1 if none. */
int64_t pb_confirmation_age(
    struct pb_context *ctx, const struct pb_settings_gate *gate);

#endif
