#include "fake-claim-table.h"

#include <string.h>

#define LATE_CALLS_MAX 120 /* most calls before a late commit takes effect */

struct pb_row *
fake_find_claim(struct fake_claim_table *fake, const char *key)
{
	size_t i;

	for (i = 0; i < fake->count; i++)
		if (strcmp(fake->rows[i].key, key) == 0)
			return &fake->rows[i];
	return NULL;
}

static void
remove_row(struct fake_claim_table *fake, const char *key)
{
	struct pb_row *row = fake_find_claim(fake, key);

	if (row == NULL)
		return;
	pb_clear_buf(&row->value);
	*row = fake->rows[--fake->count];
}

static void
put_row(struct fake_claim_table *fake, const char *key, struct pb_str value)
{
	struct pb_row *row = fake_find_claim(fake, key);

	if (row == NULL) {
		if (fake->count == FAKE_ROWS)
			return;
		row = &fake->rows[fake->count++];
		memset(row, 0, sizeof(*row));
		pb_copy_str(row->key, sizeof(row->key), key);
	}
	row->value.len = 0;
	pb_append_buf(&row->value, value.data, value.len);
	row->version = fake->version;
}

static int
apply_commit(struct fake_claim_table *fake, const struct pb_table_commit *c)
{
	size_t i;

	for (i = 0; i < c->check_count; i++) {
		struct pb_row *row = fake_find_claim(fake, c->checks[i].key);

		if ((row != NULL ? row->version : 0) != c->checks[i].version)
			return PB_ECONFLICT;
	}
	fake->version++;
	for (i = 0; i < c->put_count; i++)
		put_row(fake, c->puts[i].key, c->puts[i].value);
	for (i = 0; i < c->delete_count; i++)
		remove_row(fake, c->deletes[i]);
	return PB_OK;
}

static void
apply_late(struct fake_claim_table *fake, struct fake_late_commit *late)
{
	struct pb_table_check check = {late->key, late->version};
	struct pb_table_put put = {
	    late->key, {late->value.data, late->value.len}};
	struct pb_table_commit c = {&check, 1, &put, 1, NULL, 0};

	apply_commit(fake, &c);
	late->used = false;
	pb_clear_buf(&late->value);
}

static void
apply_due(struct fake_claim_table *fake, bool all)
{
	size_t i;

	for (i = 0; i < FAKE_LATE_MAX; i++)
		if (fake->late[i].used &&
		    (all || fake->late[i].due_call <= fake->calls))
			apply_late(fake, &fake->late[i]);
}

void
fake_apply_late_commits(struct fake_claim_table *fake)
{
	apply_due(fake, true);
}

/*
 * Stores a commit to be applied later. Drops it unless it has one check and one
 * put and there is a free slot.
 */
static void
postpone_commit(struct fake_claim_table *fake, const struct pb_table_commit *c)
{
	size_t i;

	for (i = 0; i < FAKE_LATE_MAX; i++) {
		struct fake_late_commit *late = &fake->late[i];

		if (late->used || c->check_count != 1 || c->put_count != 1)
			continue;
		late->used = true;
		late->due_call = fake->hold_late ? UINT64_MAX
						 : fake->calls + 1 +
			pb_next_random(&fake->rnd) % LATE_CALLS_MAX;
		late->version = c->checks[0].version;
		pb_copy_str(late->key, sizeof(late->key), c->puts[0].key);
		pb_append_buf(
		    &late->value, c->puts[0].value.data, c->puts[0].value.len);
		return;
	}
}

static enum fake_fault
next_fault(struct fake_claim_table *fake, bool commit)
{
	double u = pb_next_uniform(&fake->rnd);
	int i, last = commit ? FAKE_LATE : FAKE_BUSY;

	if (fake->down)
		return FAKE_UNAVAILABLE;
	if (commit && fake->script_len > 0) {
		enum fake_fault f = fake->script[0];

		memmove(fake->script, fake->script + 1,
		    --fake->script_len * sizeof(f));
		return f;
	}
	for (i = FAKE_UNAVAILABLE; i <= last; i++) {
		u -= fake->chance[i];
		if (u < 0)
			return (enum fake_fault)i;
	}
	return FAKE_NONE;
}

/* Returns PB_OK if the call is to be carried out. */
static int
begin_call(struct fake_claim_table *fake, bool commit, enum fake_fault *fault)
{
	if (fake->step != NULL && !fake->step(fake->step_arg))
		return PB_EINVAL;
	fake->calls++;
	apply_due(fake, false);
	pb_advance_clock(fake->clock, fake->slow_us);
	*fault = next_fault(fake, commit);
	if (*fault == FAKE_UNAVAILABLE)
		return PB_EUNAVAIL;
	return *fault == FAKE_BUSY ? PB_EBUSY : PB_OK;
}

static int
finish_call(struct fake_claim_table *fake, int rc)
{
	if (fake->step != NULL && !fake->step(fake->step_arg))
		return PB_EINVAL;
	return rc;
}

static int
fake_get(struct pb_context *ctx, struct pb_table *table, const char *key,
    struct pb_row *row)
{
	struct fake_claim_table *fake = (struct fake_claim_table *)table;
	enum fake_fault fault;
	struct pb_row *found;
	int rc = begin_call(fake, false, &fault);

	(void)ctx;
	memset(row, 0, sizeof(*row));
	if (rc != PB_OK)
		return rc;
	found = fake_find_claim(fake, key);
	if (found == NULL)
		return finish_call(fake, PB_ENOENT);
	pb_copy_str(row->key, sizeof(row->key), key);
	row->version = found->version;
	pb_append_buf(&row->value, found->value.data, found->value.len);
	rc = finish_call(fake, PB_OK);
	if (rc != PB_OK)
		pb_clear_row(row);
	return rc;
}

static int
fake_commit(struct pb_context *ctx, struct pb_table *table,
    const struct pb_table_commit *commit)
{
	struct fake_claim_table *fake = (struct fake_claim_table *)table;
	enum fake_fault fault;
	int rc = begin_call(fake, true, &fault);

	(void)ctx;
	if (rc != PB_OK)
		return rc;
	fake->commits++;
	if (fault == FAKE_LATE)
		postpone_commit(fake, commit);
	if (fault == FAKE_LATE || fault == FAKE_LOSE_REQUEST)
		return finish_call(fake, PB_EUNKNOWN);
	rc = apply_commit(fake, commit);
	return finish_call(
	    fake, fault == FAKE_LOSE_RESPONSE ? PB_EUNKNOWN : rc);
}

static int
fake_list(struct pb_context *ctx, struct pb_table *table, const char *prefix,
    const char *after, int limit,
    void (*fn)(void *arg, const struct pb_row *row), void *arg)
{
	struct fake_claim_table *fake = (struct fake_claim_table *)table;
	enum fake_fault fault;
	int rc = begin_call(fake, false, &fault);

	(void)ctx;
	for (; rc == PB_OK && limit > 0; limit--) {
		const struct pb_row *best = NULL;
		size_t i;

		for (i = 0; i < fake->count; i++) {
			const struct pb_row *row = &fake->rows[i];

			if (strncmp(row->key, prefix, strlen(prefix)) == 0 &&
			    strcmp(row->key, after) > 0 &&
			    (best == NULL || strcmp(row->key, best->key) < 0))
				best = row;
		}
		if (best == NULL)
			break;
		fn(arg, best);
		after = best->key;
	}
	return rc;
}

void
fake_init_claims(struct fake_claim_table *fake, struct pb_manual_clock *clock)
{
	static const struct pb_table_ops ops = {
	    fake_get, fake_commit, fake_list, NULL};

	memset(fake, 0, sizeof(*fake));
	fake->base.ops = &ops;
	fake->clock = clock;
}

void
fake_clear_claims(struct fake_claim_table *fake)
{
	size_t i;

	fake_apply_late_commits(fake);
	for (i = 0; i < fake->count; i++)
		pb_clear_buf(&fake->rows[i].value);
	fake->count = 0;
}
