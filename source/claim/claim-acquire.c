#include "claim-row.h"

#include <string.h>

/* State of pb_acquire_claim between tries. */
struct acquire_state {
	struct pb_context *ctx;
	struct pb_table *table;
	const struct pb_claim_policy *policy;
	struct pb_claim *claim;
	uint64_t expected; /* row version that a write expects; 0: no row */
	bool must_read; /* the row must be read before the next write */
	int tries;
};

/* What the loop of pb_acquire_claim does next. */
enum step {
	STEP_RETRY_NOW,
	STEP_RETRY_LATER, /* retry after a delay */
	STEP_FINISHED /* return the state */
};

static enum step
write_claim(struct acquire_state *s, enum pb_claim_state *state)
{
	struct pb_claim *claim = s->claim;
	struct pb_table_check check = {claim->row, s->expected};
	struct pb_table_put put = {claim->row, PB_STR_NONE};
	struct pb_table_commit commit = {&check, 1, &put, 1, NULL, 0};
	struct pb_buf value = {0};
	int rc;

	/*
	 * The send window starts before the write. After a write with an
	 * unknown outcome, keep the time of that write, as the row may contain
	 * it.
	 */
	if (!claim->maybe_written) {
		claim->claimed_us = pb_now(s->ctx);
		claim->wall_us = pb_wall_time(s->ctx);
	}
	rc = pb_encode_claim(
	    &value, s->policy, claim, PB_ROW_CLAIMED, 0, NULL, PB_STR_NONE);
	put.value = (struct pb_str){value.data, value.len};
	if (rc == PB_OK)
		rc = s->table->ops->commit(s->ctx, s->table, &commit);
	pb_clear_buf(&value);
	switch (rc) {
	case PB_OK:
		claim->held = true;
		*state = PB_CLAIM_ACQUIRED;
		return STEP_FINISHED;
	case PB_ECONFLICT:
		s->must_read = true;
		return STEP_RETRY_NOW;
	case PB_EUNKNOWN:
		claim->maybe_written = true;
		s->must_read = true;
		return STEP_RETRY_NOW;
	case PB_EBUSY:
	case PB_EUNAVAIL:
		return STEP_RETRY_LATER;
	default:
		*state = PB_CLAIM_UNAVAILABLE;
		return STEP_FINISHED;
	}
}

static enum step
handle_own_row(struct acquire_state *s, const struct pb_claim_record *rec,
    enum pb_claim_state *state)
{
	s->claim->held = rec->state == PB_ROW_CLAIMED;
	*state = s->claim->held ? PB_CLAIM_ACQUIRED : PB_CLAIM_UNAVAILABLE;
	if (!s->claim->held)
		pb_set_error(s->ctx, PB_EINVAL, "claim", "table",
		    "attempt %s has already ended; its id cannot be reused",
		    rec->attempt);
	return STEP_FINISHED;
}

/* Derives the state of this attempt from a row that already exists. */
static enum step
handle_existing_row(struct acquire_state *s, struct pb_claim_record *rec,
    enum pb_claim_state *state)
{
	struct pb_claim *claim = s->claim;

	if (strcmp(rec->attempt, claim->attempt) == 0)
		return handle_own_row(s, rec, state);
	if (rec->fingerprint != claim->fingerprint) {
		*state = PB_CLAIM_MISMATCH;
		return STEP_FINISHED;
	}
	switch (rec->state) {
	case PB_ROW_NOT_RUN:
		s->expected = claim->version;
		return STEP_RETRY_NOW;
	case PB_ROW_DONE:
		claim->status = rec->status;
		claim->answer = rec->answer;
		claim->answer_omitted = rec->answer_omitted;
		memset(&rec->answer, 0, sizeof(rec->answer));
		pb_copy_str(claim->content_type, sizeof(claim->content_type),
		    rec->content_type);
		*state = PB_CLAIM_DONE;
		return STEP_FINISHED;
	case PB_ROW_CLAIMED:
		/* Keep the row: its holder may still record the outcome. */
		*state = pb_wall_time(s->ctx) - rec->wall_us >
			s->policy->unknown_after_us
		    ? PB_CLAIM_UNKNOWN
		    : PB_CLAIM_RUNNING;
		return STEP_FINISHED;
	case PB_ROW_UNKNOWN:
	default:
		*state = PB_CLAIM_UNKNOWN;
		return STEP_FINISHED;
	}
}

static enum step
read_existing_row(struct acquire_state *s, enum pb_claim_state *state)
{
	struct pb_claim_record rec;
	struct pb_row row;
	enum step step;
	int rc = s->table->ops->get(s->ctx, s->table, s->claim->row, &row);

	if (rc == PB_ENOENT) {
		/*
		 * The earlier write may still arrive. Both writes expect an
		 * absent row, so that only one of them can succeed.
		 */
		s->expected = 0;
		s->must_read = false;
		return STEP_RETRY_LATER;
	}
	if (rc != PB_OK)
		return STEP_RETRY_LATER;
	s->must_read = false;
	s->claim->version = row.version;
	if (!pb_decode_claim(&row.value, &rec)) {
		pb_set_error(s->ctx, PB_EPROTO, "claim", "table",
		    "claim row %s is malformed", s->claim->row);
		*state = PB_CLAIM_UNKNOWN;
		step = STEP_FINISHED;
	} else {
		step = handle_existing_row(s, &rec, state);
		pb_clear_buf(&rec.answer);
	}
	pb_clear_row(&row);
	return step;
}

static enum pb_claim_state
run_acquire(struct acquire_state *s, int64_t deadline_us)
{
	uint64_t seed = pb_hash_cstr(s->claim->attempt, 0);
	enum pb_claim_state state = PB_CLAIM_UNAVAILABLE;

	for (;;) {
		enum step step;

		if (pb_now(s->ctx) >= deadline_us)
			return PB_CLAIM_UNAVAILABLE;
		step = s->must_read ? read_existing_row(s, &state)
				    : write_claim(s, &state);
		if (step == STEP_FINISHED)
			return state;
		if (step == STEP_RETRY_LATER)
			pb_delay_claim_retry(
			    s->ctx, s->tries++, seed, deadline_us);
	}
}

enum pb_claim_state
pb_acquire_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, const char *account, const char *key,
    uint64_t fingerprint, const char *attempt, int64_t deadline_us,
    struct pb_claim *claim)
{
	struct acquire_state s = {ctx, table, policy, claim, 0, false, 0};
	enum pb_claim_state state;

	memset(claim, 0, sizeof(*claim));
	/* A truncated attempt id could equal the id of another attempt. */
	if (*attempt == '\0' || strlen(attempt) >= sizeof(claim->attempt)) {
		pb_set_error(ctx, PB_EINVAL, "claim", "table",
		    "attempt id has an invalid length of %zu bytes",
		    strlen(attempt));
		return PB_CLAIM_UNAVAILABLE;
	}
	pb_format_claim_key(claim->row, sizeof(claim->row), account, key);
	pb_copy_str(claim->attempt, sizeof(claim->attempt), attempt);
	claim->fingerprint = fingerprint;
	state = run_acquire(&s, deadline_us);
	if (state == PB_CLAIM_UNAVAILABLE && claim->maybe_written)
		pb_defer_release(ctx, policy, claim);
	return state;
}

bool
pb_may_send_under_claim(struct pb_context *ctx,
    const struct pb_claim_policy *policy, const struct pb_claim *claim)
{
	return claim->held &&
	    pb_now(ctx) - claim->claimed_us <= policy->send_window_us;
}

void
pb_clear_claim(struct pb_claim *claim)
{
	pb_clear_buf(&claim->answer);
	memset(claim, 0, sizeof(*claim));
}
