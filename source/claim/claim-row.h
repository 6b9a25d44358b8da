#ifndef POPLARBEAM_CLAIM_ROW_H
#define POPLARBEAM_CLAIM_ROW_H

#include "poplarbeam/claim.h"

/* Key and JSON value of a claim's row in the table service. */

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

/* Parts that do not fit are replaced by their 128-bit hash. */
void pb_name_claim_row(
    char *row, size_t cap, const char *account, const char *key);

/* Appends the JSON value; content_type may be NULL. */
int pb_encode_claim(struct pb_buf *out, const struct pb_claim_policy *policy,
    const struct pb_claim *claim, enum pb_row_state state, int status,
    const char *content_type, struct pb_str answer);
/* False when the value is malformed; the record's answer is the caller's. */
bool pb_decode_claim(const struct pb_buf *value, struct pb_claim_record *out);

/*
 * Waits before try number tries (from 0), with jitter that depends on seed, and
 * not beyond deadline_us.
 */
void pb_delay_claim(
    struct pb_context *ctx, int tries, uint64_t seed, int64_t deadline_us);

/* Hands a claim that may exist as a row, but under which nothing was sent, to
 * the backlog. */
void pb_defer_release(struct pb_context *ctx,
    const struct pb_claim_policy *policy, const struct pb_claim *claim);

#endif
