#include "claim-row.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define RECORD_TRIES 4 /* tries in a function that ends a claim */
#define FLUSH_TRIES 2 /* tries per entry when the backlog is flushed */
#define BACKLOG_ITEMS 256
#define BACKLOG_BYTES ((size_t)4 << 20)

/* An outcome of an attempt that is to be written to the row of its claim. */
struct outcome {
	struct outcome *next;
	char row[160];
	char attempt[40];
	uint64_t fingerprint;
	enum pb_row_state state;
	struct pb_buf value; /* JSON value of the row, with the outcome */
};

struct pb_claim_backlog {
	pthread_mutex_t lock;
	struct outcome *head;
	struct outcome **tail;
	size_t count;
	size_t bytes;
	size_t dropped;
};

struct pb_claim_backlog *
pb_new_claim_backlog(struct pb_context *ctx)
{
	struct pb_claim_backlog *backlog = calloc(1, sizeof(*backlog));

	(void)ctx;
	if (backlog == NULL)
		return NULL;
	pthread_mutex_init(&backlog->lock, NULL);
	backlog->tail = &backlog->head;
	return backlog;
}

static void
drop_outcome(struct outcome *o)
{
	if (o == NULL)
		return;
	pb_clear_buf(&o->value);
	free(o);
}

static struct outcome *
pop_outcome(struct pb_claim_backlog *backlog)
{
	struct outcome *o;

	pthread_mutex_lock(&backlog->lock);
	o = backlog->head;
	if (o != NULL) {
		backlog->head = o->next;
		if (backlog->head == NULL)
			backlog->tail = &backlog->head;
		backlog->count--;
		backlog->bytes -= o->value.len;
		o->next = NULL;
	}
	pthread_mutex_unlock(&backlog->lock);
	return o;
}

/* Takes ownership of o, and frees it if the backlog is full or NULL. */
static void
push_outcome(
    struct pb_context *ctx, struct pb_claim_backlog *backlog, struct outcome *o)
{
	bool full = true;

	if (backlog != NULL) {
		pthread_mutex_lock(&backlog->lock);
		full = backlog->count >= BACKLOG_ITEMS ||
		    backlog->bytes + o->value.len > BACKLOG_BYTES;
		if (full) {
			backlog->dropped++;
		} else {
			*backlog->tail = o;
			backlog->tail = &o->next;
			backlog->count++;
			backlog->bytes += o->value.len;
		}
		pthread_mutex_unlock(&backlog->lock);
	}
	if (!full)
		return;
	pb_log(ctx, PB_WARN, "claim-record", "table", o->attempt,
	    "the backlog is full; the outcome of %s will count as unknown",
	    o->row);
	drop_outcome(o);
}

void
pb_drop_claim_backlog(struct pb_context *ctx, struct pb_claim_backlog *backlog)
{
	struct outcome *o;

	(void)ctx;
	if (backlog == NULL)
		return;
	while ((o = pop_outcome(backlog)) != NULL)
		drop_outcome(o);
	pthread_mutex_destroy(&backlog->lock);
	free(backlog);
}

/* How to handle an outcome, given the current contents of its row. */
enum write_decision {
	DECISION_WRITE,
	DECISION_SKIP, /* no write is needed */
	DECISION_CONFLICT /* the row must not be overwritten */
};

static enum write_decision
decide_write(const struct outcome *o, const struct pb_claim_record *rec)
{
	if (strcmp(rec->attempt, o->attempt) == 0) {
		if (rec->state == o->state)
			return DECISION_SKIP;
		/* A response that arrives late replaces "unknown". */
		if (rec->state == PB_ROW_CLAIMED ||
		    (rec->state == PB_ROW_UNKNOWN && o->state == PB_ROW_DONE))
			return DECISION_WRITE;
		return DECISION_CONFLICT;
	}
	if (o->state != PB_ROW_NOT_RUN)
		return DECISION_CONFLICT;
	/*
	 * A delayed write of this attempt may expect the current version of the
	 * row. Writing the row again changes the version, so that the delayed
	 * write fails. In any other state the row already has a later version
	 * than the delayed write expects.
	 */
	return rec->state == PB_ROW_NOT_RUN &&
		rec->fingerprint == o->fingerprint
	    ? DECISION_WRITE
	    : DECISION_SKIP;
}

/*
 * Reads the row and decides whether the outcome is to be written. A write must
 * expect *version; 0 stands for an absent row.
 */
static int
check_outcome_row(struct pb_context *ctx, struct pb_table *table,
    const struct outcome *o, enum write_decision *decision, uint64_t *version)
{
	struct pb_claim_record rec;
	struct pb_row row;
	int rc = table->ops->get(ctx, table, o->row, &row);

	*version = 0;
	if (rc == PB_ENOENT && o->state == PB_ROW_NOT_RUN) {
		/*
		 * A delayed write of the claim may expect an absent row.
		 * Creating the row makes that write fail.
		 */
		*decision = DECISION_WRITE;
		return PB_OK;
	}
	if (rc != PB_OK)
		return rc;
	*version = row.version;
	if (pb_decode_claim(&row.value, &rec)) {
		*decision = decide_write(o, &rec);
		pb_clear_buf(&rec.answer);
	} else {
		*decision = DECISION_CONFLICT;
	}
	pb_clear_row(&row);
	return PB_OK;
}

static int
try_record_outcome(
    struct pb_context *ctx, struct pb_table *table, const struct outcome *o)
{
	enum write_decision decision = DECISION_CONFLICT;
	struct pb_table_check check = {o->row, 0};
	struct pb_table_put put = {o->row, {o->value.data, o->value.len}};
	struct pb_table_commit commit = {&check, 1, &put, 1, NULL, 0};
	int rc = check_outcome_row(ctx, table, o, &decision, &check.version);

	if (rc != PB_OK)
		return rc;
	if (decision == DECISION_SKIP)
		return PB_OK;
	if (decision == DECISION_CONFLICT)
		return pb_set_error(ctx, PB_EABORTED, "claim-record", "table",
		    "row %s holds another outcome", o->row);
	return table->ops->commit(ctx, table, &commit);
}

/*
 * Returns PB_OK, PB_ECONFLICT if the row holds another outcome, PB_ENOENT if
 * the row no longer exists, or an error after which a later try may succeed.
 */
static int
record_outcome(struct pb_context *ctx, struct pb_table *table,
    const struct outcome *o, int tries)
{
	uint64_t seed = pb_hash_cstr(o->attempt, 1);
	int i, rc = PB_EUNAVAIL;

	for (i = 0; i < tries; i++) {
		rc = try_record_outcome(ctx, table, o);
		if (rc == PB_OK || rc == PB_ENOENT)
			return rc;
		if (rc == PB_EABORTED)
			return PB_ECONFLICT;
		if (rc == PB_ECONFLICT)
			rc = PB_EUNAVAIL; /* the row changed: read it again */
		if (i + 1 < tries)
			pb_delay_claim_retry(ctx, i, seed, INT64_MAX);
	}
	return rc;
}

static struct outcome *
new_outcome(const struct pb_claim_policy *policy, const struct pb_claim *claim,
    enum pb_row_state state, int status, const char *content_type,
    struct pb_str answer)
{
	struct outcome *o = calloc(1, sizeof(*o));

	if (o == NULL)
		return NULL;
	pb_copy_str(o->row, sizeof(o->row), claim->row);
	pb_copy_str(o->attempt, sizeof(o->attempt), claim->attempt);
	o->fingerprint = claim->fingerprint;
	o->state = state;
	if (pb_encode_claim(&o->value, policy, claim, state, status,
		content_type, answer) != PB_OK) {
		drop_outcome(o);
		return NULL;
	}
	return o;
}

static int
end_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim,
    enum pb_row_state state, int status, const char *content_type,
    struct pb_str answer)
{
	struct outcome *o =
	    new_outcome(policy, claim, state, status, content_type, answer);
	int rc;

	/* Prevents further sending under the claim. */
	claim->held = false;
	if (o == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "claim-record", "table", "out of memory");
	rc = record_outcome(ctx, table, o, RECORD_TRIES);
	if (rc == PB_OK || rc == PB_ECONFLICT || rc == PB_ENOENT)
		drop_outcome(o);
	else
		push_outcome(ctx, policy->backlog, o);
	return rc;
}

int
pb_complete_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim, int status,
    const char *content_type, struct pb_str answer)
{
	return end_claim(ctx, table, policy, claim, PB_ROW_DONE, status,
	    content_type, answer);
}

int
pb_release_claim(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim)
{
	if (!claim->held && !claim->maybe_written)
		return PB_OK;
	return end_claim(
	    ctx, table, policy, claim, PB_ROW_NOT_RUN, 0, NULL, PB_STR_NONE);
}

int
pb_mark_claim_unknown(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, struct pb_claim *claim)
{
	return end_claim(
	    ctx, table, policy, claim, PB_ROW_UNKNOWN, 0, NULL, PB_STR_NONE);
}

void
pb_defer_release(struct pb_context *ctx, const struct pb_claim_policy *policy,
    const struct pb_claim *claim)
{
	struct outcome *o =
	    new_outcome(policy, claim, PB_ROW_NOT_RUN, 0, NULL, PB_STR_NONE);

	if (o != NULL)
		push_outcome(ctx, policy->backlog, o);
}

size_t
pb_flush_claim_backlog(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, size_t limit)
{
	struct pb_claim_backlog *backlog = policy->backlog;
	size_t left;

	while (limit-- > 0) {
		struct outcome *o = pop_outcome(backlog);
		int rc;

		if (o == NULL)
			break;
		rc = record_outcome(ctx, table, o, FLUSH_TRIES);
		if (rc == PB_OK || rc == PB_ECONFLICT || rc == PB_ENOENT) {
			drop_outcome(o);
			continue;
		}
		push_outcome(ctx, backlog, o);
		break; /* the table is unavailable or busy: retry later */
	}
	pthread_mutex_lock(&backlog->lock);
	left = backlog->count;
	pthread_mutex_unlock(&backlog->lock);
	return left;
}
