#ifndef POPLARBEAM_CLAIM_H
#define POPLARBEAM_CLAIM_H

#include "poplarbeam/base.h"
#include "poplarbeam/platform.h"

/*
 * At-most-once execution of calls with an idempotency key. A claim is recorded
 * in the table service before any byte goes upstream and is never taken over
 * by another attempt, so that a paused holder cannot cause a second run.
 */

enum pb_claim_state {
	PB_CLAIM_MINE, /* this attempt may run the call now */
	PB_CLAIM_DONE, /* an earlier attempt's outcome is recorded */
	PB_CLAIM_RUNNING, /* another attempt is in progress */
	PB_CLAIM_UNKNOWN, /* an earlier attempt ran, outcome not known */
	PB_CLAIM_MISMATCH, /* same key, different request */
	PB_CLAIM_UNAVAILABLE /* nothing was claimed: refuse as "not run" */
};

struct pb_claim_policy {
	int64_t send_window_us; /* a claim older than this sends nothing */
	int64_t running_us; /* a claim older than this counts as unknown */
	int64_t retention_us;
	const char *router; /* this instance's id */
};

struct pb_claim {
	char row[160];
	char attempt[40];
	uint64_t fingerprint;
	uint64_t version; /* of the row when it is ours */
	int64_t claimed_us; /* monotonic time before the claim was sent */
	int64_t wall_us;
	int status; /* recorded HTTP status, for PB_CLAIM_DONE */
	struct pb_buf answer; /* recorded body, for PB_CLAIM_DONE */
	char content_type[64];
};

/*
 * Claims account/key for this attempt. deadline_us: monotonic time after which
 * no further try is made. The claim is filled in; pb_clear_claim frees it.
 */
enum pb_claim_state pb_take_claim(struct pb_context *ctx,
    struct pb_table *table, const struct pb_claim_policy *policy,
    const char *account, const char *key, uint64_t fingerprint,
    const char *attempt, int64_t deadline_us, struct pb_claim *claim);

/* True when bytes may still be sent under the claim. Ask right before. */
bool pb_may_send_claim(struct pb_context *ctx,
    const struct pb_claim_policy *policy, const struct pb_claim *claim);

/* Records the outcome; PB_OK, or an error with the row left as claimed. */
int pb_settle_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim, int status,
    const char *content_type, struct pb_str answer);
/* Records that nothing was sent, so that a repeat may claim it again. */
int pb_release_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim);
/* Records that the outcome is not known. */
int pb_abandon_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim);

/*
 * Deletes up to limit expired claims whose row keys come after *cursor, which
 * it moves on; wraps at the end. Returns how many were deleted, or an error.
 */
int pb_expire_claims(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, char *cursor, size_t cursor_cap,
    int limit);

void pb_clear_claim(struct pb_claim *claim);

#endif
