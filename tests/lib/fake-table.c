#include "fake-table.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define DELAYED_MAX 8
#define ITEMS_MAX 8 /* checks, puts or deletes of a delayed commit */

struct row {
	char key[160];
	uint64_t version;
	char *value;
	size_t len;
};

/* A deep copy of a commit for which the caller already got PB_EUNKNOWN. */
struct delayed_commit {
	struct pb_table_commit commit;
	struct pb_table_check checks[ITEMS_MAX];
	struct pb_table_put puts[ITEMS_MAX];
	const char *deletes[ITEMS_MAX];
};

struct fake_table {
	struct pb_table port;
	pthread_mutex_t lock;
	struct pb_random rnd;
	struct fake_faults faults;
	struct row *rows; /* sorted by key */
	size_t count;
	size_t cap;
	uint64_t version;
	uint64_t calls;
	struct delayed_commit *delayed[DELAYED_MAX];
	size_t delayed_count;
	void (*call_hook)(void *arg);
	void *call_hook_arg;
	void (*commit_hook)(void *arg, const struct pb_table_commit *commit);
	void *commit_hook_arg;
};

static bool
chance(struct fake_table *f, double share)
{
	return share > 0 && pb_next_uniform(&f->rnd) < share;
}

/* Returns the index of the first row whose key is not less than key. */
static size_t
find_row(const struct fake_table *f, const char *key)
{
	size_t low = 0, high = f->count;

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (strcmp(f->rows[mid].key, key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static struct row *
get_row(struct fake_table *f, const char *key)
{
	size_t i = find_row(f, key);

	return i < f->count && strcmp(f->rows[i].key, key) == 0 ? &f->rows[i]
								: NULL;
}

static void
put_row(struct fake_table *f, const char *key, struct pb_str value)
{
	size_t i = find_row(f, key);
	struct row *row;

	if (i == f->count || strcmp(f->rows[i].key, key) != 0) {
		if (f->count == f->cap) {
			f->cap = f->cap > 0 ? f->cap * 2 : 64;
			f->rows = realloc(f->rows, f->cap * sizeof(*f->rows));
			if (f->rows == NULL)
				abort();
		}
		memmove(&f->rows[i + 1], &f->rows[i],
		    (f->count - i) * sizeof(*f->rows));
		memset(&f->rows[i], 0, sizeof(f->rows[i]));
		pb_copy_str(f->rows[i].key, sizeof(f->rows[i].key), key);
		f->count++;
	}
	row = &f->rows[i];
	free(row->value);
	row->value = strndup(value.data, value.len);
	row->len = value.len;
	row->version = f->version;
}

static void
delete_row(struct fake_table *f, const char *key)
{
	struct row *row = get_row(f, key);
	size_t i;

	if (row == NULL)
		return;
	i = (size_t)(row - f->rows);
	free(row->value);
	memmove(row, row + 1, (f->count - i - 1) * sizeof(*row));
	f->count--;
}

static int
apply_commit(struct fake_table *f, const struct pb_table_commit *commit)
{
	size_t i;

	for (i = 0; i < commit->check_count; i++) {
		struct row *row = get_row(f, commit->checks[i].key);

		if ((row != NULL ? row->version : 0) !=
		    commit->checks[i].version)
			return PB_ECONFLICT;
	}
	f->version++;
	for (i = 0; i < commit->put_count; i++)
		put_row(f, commit->puts[i].key, commit->puts[i].value);
	for (i = 0; i < commit->delete_count; i++)
		delete_row(f, commit->deletes[i]);
	if (f->commit_hook != NULL)
		f->commit_hook(f->commit_hook_arg, commit);
	return PB_OK;
}

static void
delay_commit(struct fake_table *f, const struct pb_table_commit *commit)
{
	struct delayed_commit *d;
	size_t i;

	if (f->delayed_count == DELAYED_MAX ||
	    commit->check_count > ITEMS_MAX || commit->put_count > ITEMS_MAX ||
	    commit->delete_count > ITEMS_MAX)
		return;
	d = calloc(1, sizeof(*d));
	if (d == NULL)
		abort();
	d->commit = *commit;
	d->commit.checks = d->checks;
	d->commit.puts = d->puts;
	d->commit.deletes = d->deletes;
	for (i = 0; i < commit->check_count; i++) {
		d->checks[i].key = strdup(commit->checks[i].key);
		d->checks[i].version = commit->checks[i].version;
	}
	for (i = 0; i < commit->put_count; i++) {
		struct pb_str value = commit->puts[i].value;

		d->puts[i].key = strdup(commit->puts[i].key);
		d->puts[i].value.data = strndup(value.data, value.len);
		d->puts[i].value.len = value.len;
	}
	for (i = 0; i < commit->delete_count; i++)
		d->deletes[i] = strdup(commit->deletes[i]);
	f->delayed[f->delayed_count++] = d;
}

static void
drop_delayed(struct delayed_commit *d)
{
	size_t i;

	for (i = 0; i < d->commit.check_count; i++)
		free((char *)d->checks[i].key);
	for (i = 0; i < d->commit.put_count; i++) {
		free((char *)d->puts[i].key);
		free((char *)d->puts[i].value.data);
	}
	for (i = 0; i < d->commit.delete_count; i++)
		free((char *)d->deletes[i]);
	free(d);
}

static size_t
apply_delayed(struct fake_table *f)
{
	size_t i, done = 0;

	for (i = 0; i < f->delayed_count; i++) {
		done += apply_commit(f, &f->delayed[i]->commit) == PB_OK;
		drop_delayed(f->delayed[i]);
	}
	f->delayed_count = 0;
	return done;
}

/*
 * Calls the hook, advances the clock and injects faults for one call. Returns
 * PB_OK with the lock held, or an error with the lock released.
 */
static int
begin_call(struct pb_context *ctx, struct fake_table *f)
{
	int rc = PB_OK;

	if (f->call_hook != NULL)
		f->call_hook(f->call_hook_arg);
	if (f->faults.slow_us > 0)
		ctx->clock->ops->sleep(ctx->clock, f->faults.slow_us);
	pthread_mutex_lock(&f->lock);
	f->calls++;
	if (f->delayed_count > 0 && chance(f, f->faults.apply_delayed_share))
		apply_delayed(f);
	if (f->faults.down || chance(f, f->faults.fail_share))
		rc = PB_EUNAVAIL;
	else if (chance(f, f->faults.busy_share))
		rc = PB_EBUSY;
	if (rc == PB_OK)
		return PB_OK;
	pthread_mutex_unlock(&f->lock);
	return pb_set_error(ctx, rc, "fake table", "table", "injected fault");
}

static int
fake_get(struct pb_context *ctx, struct pb_table *table, const char *key,
    struct pb_row *out)
{
	struct fake_table *f = (struct fake_table *)table;
	struct row *row;
	int rc = begin_call(ctx, f);

	if (rc != PB_OK)
		return rc;
	memset(out, 0, sizeof(*out));
	row = get_row(f, key);
	if (row == NULL) {
		rc = PB_ENOENT;
	} else {
		pb_copy_str(out->key, sizeof(out->key), key);
		out->version = row->version;
		rc = pb_append_buf(&out->value, row->value, row->len);
	}
	pthread_mutex_unlock(&f->lock);
	return rc;
}

static int
fake_commit(struct pb_context *ctx, struct pb_table *table,
    const struct pb_table_commit *commit)
{
	struct fake_table *f = (struct fake_table *)table;
	int rc = begin_call(ctx, f);

	if (rc != PB_OK)
		return rc;
	if (chance(f, f->faults.conflict_share)) {
		rc = PB_ECONFLICT;
	} else if (chance(f, f->faults.delay_share)) {
		delay_commit(f, commit);
		rc = PB_EUNKNOWN;
	} else {
		rc = apply_commit(f, commit);
		if (chance(f, f->faults.lose_share))
			rc = PB_EUNKNOWN;
	}
	pthread_mutex_unlock(&f->lock);
	if (rc != PB_OK)
		pb_set_error(ctx, rc, "fake table", "table", "commit");
	return rc;
}

static int
fake_list(struct pb_context *ctx, struct pb_table *table, const char *prefix,
    const char *after, int limit,
    void (*fn)(void *arg, const struct pb_row *row), void *arg)
{
	struct fake_table *f = (struct fake_table *)table;
	size_t len = strlen(prefix), i;
	int rc = begin_call(ctx, f);

	if (rc != PB_OK)
		return rc;
	for (i = find_row(f, prefix); i < f->count && limit > 0; i++) {
		struct pb_row out = {.version = f->rows[i].version};

		if (strncmp(f->rows[i].key, prefix, len) != 0)
			break;
		if (after != NULL && strcmp(f->rows[i].key, after) <= 0)
			continue;
		pb_copy_str(out.key, sizeof(out.key), f->rows[i].key);
		pb_append_buf(&out.value, f->rows[i].value, f->rows[i].len);
		fn(arg, &out);
		pb_clear_buf(&out.value);
		limit--;
	}
	pthread_mutex_unlock(&f->lock);
	return PB_OK;
}

static void
fake_drop(struct pb_context *ctx, struct pb_table *table)
{
	(void)ctx;
	fake_drop_table((struct fake_table *)table);
}

struct fake_table *
fake_new_table(uint64_t seed)
{
	static const struct pb_table_ops ops = {
	    fake_get, fake_commit, fake_list, fake_drop};
	struct fake_table *f = calloc(1, sizeof(*f));

	if (f == NULL)
		abort();
	f->port.ops = &ops;
	f->rnd.state = seed;
	pthread_mutex_init(&f->lock, NULL);
	return f;
}

void
fake_drop_table(struct fake_table *f)
{
	size_t i;

	for (i = 0; i < f->count; i++)
		free(f->rows[i].value);
	for (i = 0; i < f->delayed_count; i++)
		drop_delayed(f->delayed[i]);
	free(f->rows);
	pthread_mutex_destroy(&f->lock);
	free(f);
}

struct pb_table *
fake_table_port(struct fake_table *f)
{
	return &f->port;
}

struct fake_faults *
fake_table_faults(struct fake_table *f)
{
	return &f->faults;
}

void
fake_set_call_hook(struct fake_table *f, void (*fn)(void *arg), void *arg)
{
	f->call_hook = fn;
	f->call_hook_arg = arg;
}

void
fake_set_commit_hook(struct fake_table *f,
    void (*fn)(void *arg, const struct pb_table_commit *commit), void *arg)
{
	f->commit_hook = fn;
	f->commit_hook_arg = arg;
}

size_t
fake_apply_delayed_commits(struct fake_table *f)
{
	size_t done;

	pthread_mutex_lock(&f->lock);
	done = apply_delayed(f);
	pthread_mutex_unlock(&f->lock);
	return done;
}

void
fake_put_row(struct fake_table *f, const char *key, const char *value)
{
	pthread_mutex_lock(&f->lock);
	f->version++;
	put_row(f, key, pb_str_from(value));
	pthread_mutex_unlock(&f->lock);
}

size_t
fake_count_rows(struct fake_table *f, const char *prefix)
{
	size_t i, n = 0;

	pthread_mutex_lock(&f->lock);
	for (i = 0; i < f->count; i++)
		n += strncmp(f->rows[i].key, prefix, strlen(prefix)) == 0;
	pthread_mutex_unlock(&f->lock);
	return n;
}

uint64_t
fake_count_calls(struct fake_table *f)
{
	uint64_t n;

	pthread_mutex_lock(&f->lock);
	n = f->calls;
	pthread_mutex_unlock(&f->lock);
	return n;
}
