#ifndef POPLARBEAM_CLAIM_H
#define POPLARBEAM_CLAIM_H

#include "poplarbeam/base.h"
#include "poplarbeam/platform.h"

/*
 * At-most-once execution of calls with an idempotency key. A claim is recorded
 * in the table service before any byte goes upstream and is never taken over
 * by another attempt, so that a paused holder cannot cause a second run.
 *
 * When the answer to the claim's own write is lost and cannot be read back in
 * time, the row may exist although nothing is sent. Only this router knows
 * that, so it keeps the row in its backlog and marks it not_run as soon as the
 * table answers, also when the row is absent: that fences a write that is
 * still on its way. If the router dies first, repeats are told "in progress"
 * until running_us and "outcome unknown" after that, and never run.
 */

enum pb_claim_state {
	PB_CLAIM_MINE, /* this attempt may run the call now */
	PB_CLAIM_DONE, /* an earlier attempt's outcome is recorded */
	PB_CLAIM_RUNNING, /* another attempt is in progress */
	PB_CLAIM_UNKNOWN, /* an earlier attempt ran, outcome not known */
	PB_CLAIM_MISMATCH, /* same key, different request */
	PB_CLAIM_UNAVAILABLE /* nothing was claimed: refuse as "not run" */
};

#define PB_CLAIM_ANSWER_MAX 65536 /* bytes of a body that are recorded */

struct pb_claim_backlog;

struct pb_claim_policy {
	int64_t send_window_us; /* a claim older than this sends nothing */
	/*
	 * A claim older than this counts as unknown; longer than the send
	 * window, the longest request and the clock skew between routers.
	 */
	int64_t running_us;
	int64_t retention_us;
	const char *router; /* this instance's id */
	struct pb_claim_backlog *backlog; /* borrowed; may be NULL in tests */
};

struct pb_claim {
	char row[160];
	char attempt[40];
	uint64_t fingerprint;
	uint64_t version; /* of the row when last read; 0: not known */
	int64_t claimed_us; /* monotonic time before the claim was sent */
	int64_t wall_us;
	bool mine; /* the row holds this attempt, nothing is recorded yet */
	bool maybe_written; /* a write was sent and may still take effect */
	int status; /* recorded HTTP status, for PB_CLAIM_DONE */
	struct pb_buf answer; /* recorded body, for PB_CLAIM_DONE */
	bool answer_omitted; /* the body was too large to be recorded */
	char content_type[64];
};

/*
 * Claims account/key for this attempt. attempt: unique over the fleet and time,
 * at most 39 bytes. deadline_us: monotonic time after which no further try is
 * made. The claim is filled in; pb_clear_claim frees it. A row that cannot be
 * understood counts as PB_CLAIM_UNKNOWN.
 */
enum pb_claim_state pb_take_claim(struct pb_context *ctx,
    struct pb_table *table, const struct pb_claim_policy *policy,
    const char *account, const char *key, uint64_t fingerprint,
    const char *attempt, int64_t deadline_us, struct pb_claim *claim);

/* True when bytes may still be sent under the claim. Ask right before. */
bool pb_may_send_claim(struct pb_context *ctx,
    const struct pb_claim_policy *policy, const struct pb_claim *claim);

/*
 * The three ways to end a claim. Each makes a few tries; when these fail, it
 * returns the error and leaves the rest to the backlog. Repeating one is
 * harmless. PB_ECONFLICT: the row holds another outcome or attempt.
 */

/*
 * Records the outcome. A body above PB_CLAIM_ANSWER_MAX is left out, and
 * repeats are told so (answer_omitted).
 */
int pb_settle_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim, int status,
    const char *content_type, struct pb_str answer);
/*
 * Records that nothing was sent, so that a repeat may claim it again. Also for
 * PB_CLAIM_UNAVAILABLE, where it does nothing unless maybe_written is set.
 */
int pb_release_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim);
/* Records that the outcome is not known. */
int pb_abandon_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim);

/*
 * Outcomes that could not be recorded yet. Thread safe and bounded: beyond 256
 * entries or 4 MiB new ones are dropped, and their rows count as unknown after
 * running_us.
 */
struct pb_claim_backlog *pb_new_claim_backlog(struct pb_context *ctx);
void pb_drop_claim_backlog(
    struct pb_context *ctx, struct pb_claim_backlog *backlog);
/*
 * Tries to record up to limit entries; call it every second or so and before a
 * planned stop ends. Returns how many entries are left.
 */
size_t pb_repair_claims(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, size_t limit);

/*
 * Reads one page of limit rows (at most 64) after *cursor, deletes the claims
 * in it that are past retention_us in one commit, and moves the cursor on; it
 * wraps at the end. Returns how many were deleted, or an error with the cursor
 * unmoved. A page costs one read and a written row per deletion; at n live
 * routers, one call every n seconds in each keeps the fleet at one page, and
 * so at most 64 written rows, a second.
 */
int pb_expire_claims(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, char *cursor, size_t cursor_cap,
    int limit);

void pb_clear_claim(struct pb_claim *claim);

#endif
