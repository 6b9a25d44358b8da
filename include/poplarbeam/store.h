#ifndef POPLARBEAM_STORE_H
#define POPLARBEAM_STORE_H

#include "poplarbeam/base.h"
#include "poplarbeam/platform.h"
#include "poplarbeam/settings.h"

/*
 * Settings in the table service. Rows:
 *   settings/head             {revision}
 *   settings/subtree/TEAM     {revision, author, change, wall_us, text}
 *   settings/history/REVISION {revision, team, author, change, wall_us,
 *                              previous}
 *   settings/text/REVISION    {team, text}
 * REVISION has 20 digits, so that rows sort by number. The fleet's document is
 * the subtree of team PB_FLEET_TEAM. Every change increases the head revision
 * by one and is a single transaction. No state is kept between calls, so all
 * functions may be called from many threads.
 */

#define PB_HISTORY_ROWS 1000 /* revisions whose text and history are kept */

/* One change as the history records it. */
struct pb_revision_info {
	uint64_t revision;
	uint64_t previous; /* revision of the team's change before; 0: none */
	int64_t wall_us;
	char team[48];
	char author[64];
	char change[40]; /* id that the author chose for the change */
};

struct pb_subtree {
	struct pb_revision_info info; /* of its last change; previous is 0 */
	uint64_t version; /* of the row */
	struct pb_buf text; /* YAML */
};

/* All subtrees as they were at one revision. */
struct pb_settings_tree {
	uint64_t revision; /* 0: nothing was ever stored */
	uint64_t version; /* of the head row */
	size_t count;
	struct pb_subtree *subtrees; /* sorted by team */
};

/* PB_OK, also when there is no head yet (*revision 0), or a table error. */
int pb_read_head(struct pb_context *ctx, struct pb_table *table,
    uint64_t *revision, uint64_t *version);
/*
 * Reads all subtrees at one revision. PB_OK, a table error, PB_EPROTO for a
 * malformed row, or PB_EBUSY when the head moved during every try. The tree is
 * filled in only on PB_OK; pb_clear_tree frees it.
 */
int pb_read_tree(struct pb_context *ctx, struct pb_table *table,
    struct pb_settings_tree *tree);
/*
 * Brings a tree that pb_read_tree filled in up to the newest revision. Reads
 * only the subtrees that changed, so that a change costs a router four small
 * reads and one document, whatever the number of teams. Returns as
 * pb_read_tree; the tree is unchanged unless PB_OK.
 */
int pb_update_tree(struct pb_context *ctx, struct pb_table *table,
    struct pb_settings_tree *tree);
void pb_clear_tree(struct pb_settings_tree *tree);
/* NULL when the team has no subtree. */
const struct pb_subtree *pb_find_subtree(
    const struct pb_settings_tree *tree, const char *team);

/* Checks and merges a tree; NULL when a check failed, see the report. */
struct pb_settings *pb_parse_tree(struct pb_context *ctx,
    const struct pb_settings_tree *tree, struct pb_settings_report *report);
/*
 * As pb_parse_tree, but parses only the subtrees that changed since "old" was
 * made from an earlier state of the tree; all of them when the fleet's
 * document changed. old may be NULL.
 */
struct pb_settings *pb_parse_tree_changes(struct pb_context *ctx,
    const struct pb_settings *old, const struct pb_settings_tree *tree,
    struct pb_settings_report *report);

/* A tree as JSON text, in which routers hand settings to one another. */
int pb_format_tree(struct pb_context *ctx, const struct pb_settings_tree *tree,
    struct pb_buf *out);
/* PB_OK or PB_EPROTO. Row versions in the result are 0. */
int pb_load_tree(
    struct pb_context *ctx, struct pb_str text, struct pb_settings_tree *tree);

/* A change of one subtree. All strings are borrowed for the call. */
struct pb_change {
	const char *team; /* PB_FLEET_TEAM for the fleet's document */
	const char *author;
	const char *change; /* unique id; a repeat has the same one */
	uint64_t expect; /* revision at which the operator read the subtree */
	struct pb_str text; /* YAML, UTF-8 */
	int64_t deadline_us; /* monotonic time after which no try begins */
};

struct pb_apply_result {
	uint64_t revision; /* PB_OK: revision that the change created */
	struct pb_revision_info winner; /* PB_ECONFLICT: change that won */
	struct pb_settings_report report; /* PB_EINVAL: what is wrong */
	int tries; /* commits sent */
};

/*
 * Applies a change. When only other subtrees changed since, it is tried again
 * by itself. A repeat of a change that took effect returns the revision that
 * it created. Returns
 *   PB_OK         the change is stored as result->revision;
 *   PB_ECONFLICT  the subtree changed after change->expect, see winner;
 *   PB_EINVAL     it does not validate together with the other subtrees;
 *   PB_EUNAVAIL   the table did not answer in time, nothing was written;
 *   PB_EUNKNOWN   the answer to a write was lost and could not be settled;
 *                 repeat the call with the same change id.
 */
int pb_apply_change(struct pb_context *ctx, struct pb_table *table,
    const struct pb_change *change, struct pb_apply_result *result);
void pb_clear_apply_result(struct pb_apply_result *result);

/*
 * Stores the text that the team's subtree had at an old revision as a new
 * change; change->text is ignored. Returns as pb_apply_change, and PB_ENOENT
 * when the old text is no longer kept.
 */
int pb_rollback_change(struct pb_context *ctx, struct pb_table *table,
    const struct pb_change *change, uint64_t revision,
    struct pb_apply_result *result);

/* Calls fn for up to limit changes, newest first. */
int pb_list_history(struct pb_context *ctx, struct pb_table *table, int limit,
    void (*fn)(void *arg, const struct pb_revision_info *info), void *arg);
/* The text that a revision stored, with its team. PB_ENOENT when not kept. */
int pb_read_revision(struct pb_context *ctx, struct pb_table *table,
    uint64_t revision, struct pb_subtree *out);
/*
 * The subtree of a team as it was at a revision, which may be that of another
 * team's change. PB_ENOENT when there was none or it is no longer kept.
 */
int pb_read_subtree_at(struct pb_context *ctx, struct pb_table *table,
    const char *team, uint64_t revision, struct pb_subtree *out);
void pb_clear_subtree(struct pb_subtree *subtree);

/*
 * Which revision a router may put in force, and whether its settings are fresh
 * enough for new work. Pure decisions, no locks: the caller serialises calls.
 */
struct pb_settings_gate;

struct pb_gate_policy {
	int64_t freshness_us; /* longest time without a confirmation */
	/*
	 * A new instance that cannot reach the table takes its first revision
	 * from peers, but only after this many peers stated theirs: one peer
	 * alone may be cut off and behind.
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
 * The table stated its head revision in answer to a read that was sent at
 * asked_us (monotonic). The time of the question counts, so that an answer
 * that waited while the process was suspended confirms nothing.
 */
void pb_confirm_by_table(struct pb_context *ctx, struct pb_settings_gate *gate,
    uint64_t revision, int64_t asked_us);
/*
 * A peer stated the revision that it has in force. It confirms this router's
 * revision when it is the same and no newer one is known.
 */
void pb_confirm_by_peer(struct pb_context *ctx, struct pb_settings_gate *gate,
    uint64_t peer, uint64_t revision, int64_t asked_us);

/* Highest revision heard of; fetch it when it is not the one in force. */
uint64_t pb_wanted_revision(const struct pb_settings_gate *gate);
uint64_t pb_revision_in_force(const struct pb_settings_gate *gate);

/*
 * Asks whether a revision that was fetched by a read sent at asked_us may be
 * put in force, and records it. PB_OK; PB_ECONFLICT when a newer one is in
 * force; PB_EBUSY when too few peers have stated a revision yet. A revision
 * below pb_wanted_revision may be put in force, but is not confirmed by it.
 */
int pb_accept_revision(struct pb_context *ctx, struct pb_settings_gate *gate,
    uint64_t revision, enum pb_settings_source source, int64_t asked_us);

/* True when the router may take new work under the settings in force. */
bool pb_may_take_work(struct pb_context *ctx, struct pb_settings_gate *gate);
/* Microseconds since the last confirmation; -1 when there was none. */
int64_t pb_confirmed_age(
    struct pb_context *ctx, const struct pb_settings_gate *gate);

#endif
