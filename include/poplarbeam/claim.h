#ifndef POPLARBEAM_CLAIM_H
#define POPLARBEAM_CLAIM_H

#include "poplarbeam/base.h"
#include "poplarbeam/platform.h"

/*
 * At-most-once execution of requests with an idempotency key. The router
 * writes a claim to the table service before it sends any byte upstream. No
 * other attempt ever takes the claim over, so that a paused holder cannot
 * cause a second run.
 *
 * If the table's response to the write of the claim is lost and the row cannot
 * be read back in time, the row may exist although nothing was sent upstream.
 * Only the router that made the write knows this. The router keeps the row in
 * its backlog and writes the state not_run as soon as the table responds, even
 * if the row is absent: the new row version makes the original write fail if
 * it arrives later. If the router crashes before that, the request never runs:
 * repeated requests are answered with "in progress" until the claim is older
 * than unknown_after_us, and with "outcome unknown" afterwards.
 */

enum pb_claim_state {
	PB_CLAIM_ACQUIRED, /* this attempt may run the request now */
	PB_CLAIM_DONE, /* the outcome of an earlier attempt is recorded */
	PB_CLAIM_RUNNING, /* another attempt is in progress */
	PB_CLAIM_UNKNOWN, /* the outcome of an earlier attempt is not known */
	PB_CLAIM_MISMATCH, /* the key was used for a different request */
	PB_CLAIM_UNAVAILABLE /* no claim acquired: answer "not run" */
};

/* Largest response body that is recorded, in bytes. */
#define PB_CLAIM_ANSWER_MAX 65536

struct pb_claim_backlog;

struct pb_claim_policy {
	/* Age of a claim after which nothing may be sent under it. */
	int64_t send_window_us;
	/*
	 * Age after which the outcome of an unfinished claim counts as
	 * unknown. Must be longer than the send window, the longest request
	 * and the clock skew between routers.
	 */
	int64_t unknown_after_us;
	int64_t retention_us; /* age after which a claim is deleted */
	const char *router; /* id of this instance */
	struct pb_claim_backlog *backlog; /* not owned; may be NULL in tests */
};

struct pb_claim {
	char row[160]; /* key of the row in the table */
	char attempt[40]; /* id of this attempt */
	uint64_t fingerprint; /* hash that identifies the request */
	uint64_t version; /* row version at the last read; 0: not known */
	int64_t claimed_us; /* monotonic time before the claim was written */
	int64_t wall_us; /* wall clock time at claimed_us */
	bool held; /* the row names this attempt and has no outcome yet */
	bool maybe_written; /* a write was sent and may still take effect */
	int status; /* recorded HTTP status, for PB_CLAIM_DONE */
	struct pb_buf answer; /* recorded response body, for PB_CLAIM_DONE */
	bool answer_omitted; /* the body was too large to be recorded */
	char content_type[64];
};

/*
 * Tries to acquire the claim on an account's idempotency key for this attempt.
 * The attempt id must be unique across all routers and over time and have at
 * most 39 bytes. No try starts after deadline_us (monotonic time). Fills in
 * *claim, which the caller frees with pb_clear_claim. Returns PB_CLAIM_UNKNOWN
 * if the row is malformed.
 */
enum pb_claim_state pb_acquire_claim(struct pb_context *ctx,
    struct pb_table *table, const struct pb_claim_policy *policy,
    const char *account, const char *key, uint64_t fingerprint,
    const char *attempt, int64_t deadline_us, struct pb_claim *claim);

/*
 * Returns true if the request may still be sent under the claim. Must be
 * called immediately before sending.
 */
bool pb_may_send_under_claim(struct pb_context *ctx,
    const struct pb_claim_policy *policy, const struct pb_claim *claim);

/*
 * The following three functions end a claim. Each makes several tries to write
 * the row. If all fail, the function adds the outcome to the backlog and
 * returns the error. The functions are idempotent. They return PB_ECONFLICT if
 * the row holds another outcome or belongs to another attempt.
 */

/*
 * Records the response. A body larger than PB_CLAIM_ANSWER_MAX is not stored;
 * answer_omitted is then set in the claims of repeated requests.
 */
int pb_complete_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim, int status,
    const char *content_type, struct pb_str answer);
/*
 * Records that the request did not run, so that a repeated request can acquire
 * the claim. May also be called after PB_CLAIM_UNAVAILABLE; it then does
 * nothing unless maybe_written is set.
 */
int pb_release_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim);
/* Records that the outcome is not known. */
int pb_mark_claim_unknown(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim);

/*
 * Queue of outcomes that could not be recorded yet. Thread safe. New entries
 * beyond 256 or 4 MiB are dropped; the outcomes of their claims count as
 * unknown after unknown_after_us.
 */
struct pb_claim_backlog *pb_new_claim_backlog(struct pb_context *ctx);
void pb_drop_claim_backlog(
    struct pb_context *ctx, struct pb_claim_backlog *backlog);
/*
 * Tries to record up to limit entries of the backlog and returns the number of
 * entries that remain. Should be called about once a second, and at the end of
 * a planned shutdown.
 */
size_t pb_flush_claim_backlog(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, size_t limit);

/*
 * Reads one page of limit rows (at most 64) after the key in cursor and deletes
 * the claims older than retention_us with one commit. Advances the cursor, or
 * resets it to the start after the last page. Returns the number of deleted
 * claims, or an error code; the cursor is unchanged after an error. A page
 * costs one read and one row write per deletion. With n live routers, one call
 * every n seconds in each router limits the fleet to one page, and therefore to
 * 64 row writes, per second.
 */
int pb_expire_claims(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, char *cursor, size_t cursor_cap,
    int limit);

/* Frees the contents of the claim and zeroes it. */
void pb_clear_claim(struct pb_claim *claim);

#endif
