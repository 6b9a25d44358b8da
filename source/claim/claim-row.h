#ifndef POPLARBEAM_CLAIM_ROW_H
#define POPLARBEAM_CLAIM_ROW_H

#include "poplarbeam/claim.h"

/* Encoding of a claim as a row (key and JSON value) of the table service. */

#define PB_CLAIM_PREFIX "claim/"

enum pb_row_state {
	PB_ROW_CLAIMED,
	PB_ROW_DONE,
	PB_ROW_NOT_RUN,
	PB_ROW_UNKNOWN
};

struct pb_claim_record {
	enum pb_row_state state;
	char attempt[40];
	uint64_t fingerprint;
	int64_t wall_us;
	int status;
	char content_type[64];
	bool answer_omitted;
	struct pb_buf answer;
};

/*
 * Writes the key of the row for an account and an idempotency key. A part that
 * does not fit is replaced by its 128-bit hash.
 */
void pb_format_claim_key(
    char *row, size_t cap, const char *account, const char *key);

/* Appends the JSON value of the row; content_type may be NULL. */
int pb_encode_claim(struct pb_buf *out, const struct pb_claim_policy *policy,
    const struct pb_claim *claim, enum pb_row_state state, int status,
    const char *content_type, struct pb_str answer);
/*
 * Decodes the JSON value of a row. Returns false if the value is malformed. The
 * caller frees out->answer.
 */
bool pb_decode_claim(const struct pb_buf *value, struct pb_claim_record *out);

/*
 * Sleeps before retry number tries (from 0). The delay grows exponentially, has
 * a jitter derived from seed, and does not extend past deadline_us.
 */
void pb_delay_claim_retry(
    struct pb_context *ctx, int tries, uint64_t seed, int64_t deadline_us);

/*
 * Adds to the backlog the release of a claim whose row may exist although
 * nothing was sent under the claim.
 */
void pb_defer_release(struct pb_context *ctx,
    const struct pb_claim_policy *policy, const struct pb_claim *claim);

#endif
