#include "claim-row.h"

#include <string.h>

/* What the loop of pb_take_claim keeps between tries. */
struct taking {
	struct pb_context *ctx;
	struct pb_table *table;
	const struct pb_claim_policy *policy;
	struct pb_claim *claim;
	uint64_t expected; /* version that the row must have; 0: absent */
	bool read_next; /* the row's state has to be read before a write */
	int tries;
};

/* Whether the loop goes on, or ends with a state. */
enum step {
	STEP_AGAIN,
	STEP_DELAY, /* again after a wait */
	STEP_END
};

static enum step
send_claim(struct taking *t, enum pb_claim_state *state)
{
	struct pb_claim *claim = t->claim;
	struct pb_table_check check = {claim->row, t->expected};
	struct pb_table_put put = {claim->row, PB_STR_NONE};
	struct pb_table_commit commit = {&check, 1, &put, 1, NULL, 0};
	struct pb_buf value = {0};
	int rc;

	/*
	 * The send window counts from before the write. After a write with an
	 * unknown outcome the earlier time stays, as the row may carry it.
	 */
	if (!claim->maybe_written) {
		claim->claimed_us = pb_now(t->ctx);
		claim->wall_us = pb_wall_time(t->ctx);
	}
	rc = pb_encode_claim(
	    &value, t->policy, claim, PB_ROW_CLAIMED, 0, NULL, PB_STR_NONE);
	put.value = (struct pb_str){value.data, value.len};
	if (rc == PB_OK)
		rc = t->table->ops->commit(t->ctx, t->table, &commit);
	pb_clear_buf(&value);
	switch (rc) {
	case PB_OK:
		claim->mine = true;
		*state = PB_CLAIM_MINE;
		return STEP_END;
	case PB_ECONFLICT:
		t->read_next = true;
		return STEP_AGAIN;
	case PB_EUNKNOWN:
		claim->maybe_written = true;
		t->read_next = true;
		return STEP_AGAIN;
	case PB_EBUSY:
	case PB_EUNAVAIL:
		return STEP_DELAY;
	default:
		*state = PB_CLAIM_UNAVAILABLE;
		return STEP_END;
	}
}

static enum step
judge_own(struct taking *t, const struct pb_claim_record *rec,
    enum pb_claim_state *state)
{
	t->claim->mine = rec->state == PB_ROW_CLAIMED;
	*state = t->claim->mine ? PB_CLAIM_MINE : PB_CLAIM_UNAVAILABLE;
	if (!t->claim->mine)
		pb_set_error(t->ctx, PB_EINVAL, "claim", "table",
		    "attempt id %s was used before", rec->attempt);
	return STEP_END;
}

/* Another attempt's row decides what this attempt may do. */
static enum step
judge_record(
    struct taking *t, struct pb_claim_record *rec, enum pb_claim_state *state)
{
	struct pb_claim *claim = t->claim;

	if (strcmp(rec->attempt, claim->attempt) == 0)
		return judge_own(t, rec, state);
	if (rec->fingerprint != claim->fingerprint) {
		*state = PB_CLAIM_MISMATCH;
		return STEP_END;
	}
	switch (rec->state) {
	case PB_ROW_NOT_RUN:
		t->expected = claim->version;
		return STEP_AGAIN;
	case PB_ROW_DONE:
		claim->status = rec->status;
		claim->answer = rec->answer;
		claim->answer_omitted = rec->answer_omitted;
		memset(&rec->answer, 0, sizeof(rec->answer));
		pb_copy_str(claim->content_type, sizeof(claim->content_type),
		    rec->content_type);
		*state = PB_CLAIM_DONE;
		return STEP_END;
	case PB_ROW_CLAIMED:
		/* Only reported: the holder may still record the outcome. */
		*state =
		    pb_wall_time(t->ctx) - rec->wall_us > t->policy->running_us
		    ? PB_CLAIM_UNKNOWN
		    : PB_CLAIM_RUNNING;
		return STEP_END;
	case PB_ROW_UNKNOWN:
	default:
		*state = PB_CLAIM_UNKNOWN;
		return STEP_END;
	}
}

static enum step
read_claim(struct taking *t, enum pb_claim_state *state)
{
	struct pb_claim_record rec;
	struct pb_row row;
	enum step step;
	int rc = t->table->ops->get(t->ctx, t->table, t->claim->row, &row);

	if (rc == PB_ENOENT) {
		/* The unknown write may still arrive; the same check fences. */
		t->expected = 0;
		t->read_next = false;
		return STEP_DELAY;
	}
	if (rc != PB_OK)
		return STEP_DELAY;
	t->read_next = false;
	t->claim->version = row.version;
	if (!pb_decode_claim(&row.value, &rec)) {
		pb_set_error(t->ctx, PB_EPROTO, "claim", "table",
		    "row %s is malformed", t->claim->row);
		*state = PB_CLAIM_UNKNOWN;
		step = STEP_END;
	} else {
		step = judge_record(t, &rec, state);
		pb_clear_buf(&rec.answer);
	}
	pb_clear_row(&row);
	return step;
}

static enum pb_claim_state
run_taking(struct taking *t, int64_t deadline_us)
{
	uint64_t seed = pb_hash_cstr(t->claim->attempt, 0);
	enum pb_claim_state state = PB_CLAIM_UNAVAILABLE;

	for (;;) {
		enum step step;

		if (pb_now(t->ctx) >= deadline_us)
			return PB_CLAIM_UNAVAILABLE;
		step = t->read_next ? read_claim(t, &state)
				    : send_claim(t, &state);
		if (step == STEP_END)
			return state;
		if (step == STEP_DELAY)
			pb_delay_claim(t->ctx, t->tries++, seed, deadline_us);
	}
}

enum pb_claim_state
pb_take_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, const char *account, const char *key,
    uint64_t fingerprint, const char *attempt, int64_t deadline_us,
    struct pb_claim *claim)
{
	struct taking t = {ctx, table, policy, claim, 0, false, 0};
	enum pb_claim_state state;

	memset(claim, 0, sizeof(*claim));
	/* A cut attempt id could equal another attempt's. */
	if (*attempt == '\0' || strlen(attempt) >= sizeof(claim->attempt)) {
		pb_set_error(ctx, PB_EINVAL, "claim", "table",
		    "attempt id has %zu bytes", strlen(attempt));
		return PB_CLAIM_UNAVAILABLE;
	}
	pb_name_claim_row(claim->row, sizeof(claim->row), account, key);
	pb_copy_str(claim->attempt, sizeof(claim->attempt), attempt);
	claim->fingerprint = fingerprint;
	state = run_taking(&t, deadline_us);
	if (state == PB_CLAIM_UNAVAILABLE && claim->maybe_written)
		pb_defer_release(ctx, policy, claim);
	return state;
}

bool
pb_may_send_claim(struct pb_context *ctx, const struct pb_claim_policy *policy,
    const struct pb_claim *claim)
{
	return claim->mine &&
	    pb_now(ctx) - claim->claimed_us <= policy->send_window_us;
}

void
pb_clear_claim(struct pb_claim *claim)
{
	pb_clear_buf(&claim->answer);
	memset(claim, 0, sizeof(*claim));
}
