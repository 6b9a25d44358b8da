#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "poplarbeam/lease.h"

/* A failed table call is retried after renew_us divided by this number. */
#define RETRY_DIVISOR 4
/*
 * Highest plausible fencing number. A higher one that an upstream reports is
 * ignored. JSON integers in the row are limited to 2^63 - 1.
 */
#define FENCE_MAX ((uint64_t)1 << 62)

/* Contents of the lease row. */
struct lease_row {
	char holder[96]; /* empty if the lease was released */
	uint64_t fence;
	uint64_t version; /* 0: the row does not exist */
};

struct pb_lease {
	char row[96];
	char holder[96];
	struct pb_lease_policy policy;

	/* Used only by the thread that calls pb_tick_lease. */
	int64_t next_us; /* monotonic time of the next check */
	bool row_read; /* the next two fields are set */
	uint64_t read_version;
	int64_t unchanged_since_us; /* when read_version was first read */

	pthread_mutex_t lock;
	bool held;
	uint64_t fence;
	int64_t valid_until_us; /* monotonic time */
	uint64_t highest_fence; /* highest seen in the row or at an upstream */
};

struct pb_lease *
pb_new_lease(struct pb_context *ctx, const struct pb_lease_policy *policy)
{
	struct pb_lease *lease = calloc(1, sizeof(*lease));

	/* A truncated name or holder id could equal another one. */
	if (lease == NULL || *policy->holder == '\0' ||
	    strlen(policy->holder) >= sizeof(lease->holder) ||
	    strlen(policy->name) + strlen("lease/") >= sizeof(lease->row)) {
		pb_set_error(ctx, lease == NULL ? PB_ENOMEM : PB_EINVAL,
		    "lease", policy->name,
		    "cannot create the lease: out of memory, or invalid name "
		    "or holder");
		free(lease);
		return NULL;
	}
	snprintf(lease->row, sizeof(lease->row), "lease/%s", policy->name);
	pb_copy_str(lease->holder, sizeof(lease->holder), policy->holder);
	lease->policy = *policy;
	lease->policy.name = lease->row;
	lease->policy.holder = lease->holder;
	pthread_mutex_init(&lease->lock, NULL);
	return lease;
}

void
pb_drop_lease(struct pb_context *ctx, struct pb_lease *lease)
{
	(void)ctx;
	if (lease == NULL)
		return;
	pthread_mutex_destroy(&lease->lock);
	free(lease);
}

static void
mark_lost(struct pb_context *ctx, struct pb_lease *lease, const char *why)
{
	bool held;

	pthread_mutex_lock(&lease->lock);
	held = lease->held;
	lease->held = false;
	pthread_mutex_unlock(&lease->lock);
	if (held)
		pb_log(ctx, PB_WARN, "lease", lease->row, NULL,
		    "lease lost: %s", why);
}

int64_t
pb_lease_remaining(struct pb_context *ctx, struct pb_lease *lease)
{
	int64_t left;

	pthread_mutex_lock(&lease->lock);
	left = lease->held ? lease->valid_until_us - pb_now(ctx) : 0;
	pthread_mutex_unlock(&lease->lock);
	return left > 0 ? left : 0;
}

uint64_t
pb_lease_fence(struct pb_context *ctx, struct pb_lease *lease)
{
	uint64_t fence;

	pthread_mutex_lock(&lease->lock);
	fence = lease->held && lease->valid_until_us > pb_now(ctx)
	    ? lease->fence
	    : 0;
	pthread_mutex_unlock(&lease->lock);
	return fence;
}

void
pb_report_fence(struct pb_context *ctx, struct pb_lease *lease, uint64_t fence)
{
	bool higher;

	if (fence > FENCE_MAX) {
		pb_log(ctx, PB_ERROR, "lease", lease->row, NULL,
		    "ignored the implausible fencing number %llu",
		    (unsigned long long)fence);
		return;
	}
	pthread_mutex_lock(&lease->lock);
	if (fence > lease->highest_fence)
		lease->highest_fence = fence;
	higher = fence > lease->fence;
	pthread_mutex_unlock(&lease->lock);
	if (higher)
		mark_lost(
		    ctx, lease, "an upstream has a higher fencing number");
}

static int
read_lease(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_table *table, struct lease_row *out)
{
	struct pb_row row;
	const json_t *holder, *fence;
	json_t *root;
	int rc = table->ops->get(ctx, table, lease->row, &row);

	memset(out, 0, sizeof(*out));
	if (rc == PB_ENOENT)
		return PB_OK;
	if (rc != PB_OK)
		return rc;
	root = json_loadb(row.value.data, row.value.len, 0, NULL);
	holder = json_object_get(root, "holder");
	fence = json_object_get(root, "fence");
	/*
	 * Do not write the row if its fencing number cannot be read: the next
	 * number could be lower.
	 */
	if (!json_is_string(holder) || !json_is_integer(fence) ||
	    json_integer_value(fence) < 0 ||
	    json_string_length(holder) >= sizeof(out->holder)) {
		rc = pb_set_error(ctx, PB_EPROTO, "lease", "table",
		    "lease row %s is malformed", lease->row);
	} else {
		pb_copy_str(out->holder, sizeof(out->holder),
		    json_string_value(holder));
		out->fence = (uint64_t)json_integer_value(fence);
		out->version = row.version;
	}
	json_decref(root);
	pb_clear_row(&row);
	return rc;
}

static int
write_lease(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_table *table, uint64_t version, const char *holder,
    uint64_t fence)
{
	struct pb_table_check check = {lease->row, version};
	struct pb_table_put put = {lease->row, PB_STR_NONE};
	struct pb_table_commit commit = {&check, 1, &put, 1, NULL, 0};
	json_t *root = json_pack(
	    "{s:s,s:I}", "holder", holder, "fence", (json_int_t)fence);
	char *text = json_dumps(root, JSON_COMPACT);
	int rc = PB_ENOMEM;

	json_decref(root);
	if (text == NULL)
		return rc;
	put.value = pb_str_from(text);
	rc = table->ops->commit(ctx, table, &commit);
	free(text);
	return rc;
}

/*
 * Acquires or renews the lease by writing this holder to the row, if the row
 * still has the version that was read. Returns true if the write succeeded.
 */
static bool
acquire_or_renew(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_table *table, const struct lease_row *row, uint64_t fence)
{
	int64_t start = pb_now(ctx);
	int rc =
	    write_lease(ctx, lease, table, row->version, lease->holder, fence);

	if (rc == PB_ECONFLICT)
		mark_lost(ctx, lease, "another instance changed the lease row");
	if (rc != PB_OK)
		return false;
	pthread_mutex_lock(&lease->lock);
	/*
	 * If a higher fencing number was reported during the write, this lease
	 * is not held.
	 */
	lease->held = fence >= lease->highest_fence;
	if (lease->held)
		lease->highest_fence = fence;
	lease->fence = fence;
	lease->valid_until_us =
	    start + lease->policy.duration_us - lease->policy.margin_us;
	pthread_mutex_unlock(&lease->lock);
	lease->next_us = start + lease->policy.renew_us;
	return true;
}

/*
 * Returns true if this instance may take the lease over. now_us is a time after
 * the row was read.
 */
static bool
may_take_over(
    struct pb_lease *lease, const struct lease_row *row, int64_t now_us)
{
	if (!lease->row_read || lease->read_version != row->version) {
		lease->row_read = true;
		lease->read_version = row->version;
		lease->unchanged_since_us = now_us;
	}
	/*
	 * A missing row does not mean that the lease is free: the table may
	 * have lost the row while the holder's lease is still valid.
	 */
	if (row->version != 0 && row->holder[0] == '\0')
		return true;
	return now_us - lease->unchanged_since_us >= lease->policy.duration_us;
}

int64_t
pb_tick_lease(
    struct pb_context *ctx, struct pb_lease *lease, struct pb_table *table)
{
	const struct pb_lease_policy *policy = &lease->policy;
	struct lease_row row;
	uint64_t highest;
	bool own;
	int rc;

	if (pb_now(ctx) < lease->next_us)
		return lease->next_us;
	rc = read_lease(ctx, lease, table, &row);
	lease->next_us = pb_now(ctx) + policy->renew_us / RETRY_DIVISOR;
	if (rc != PB_OK)
		return lease->next_us;
	own = strcmp(row.holder, lease->holder) == 0;
	pthread_mutex_lock(&lease->lock);
	if (row.fence > lease->highest_fence)
		lease->highest_fence = row.fence;
	highest = lease->highest_fence;
	pthread_mutex_unlock(&lease->lock);
	if (own) {
		/*
		 * The row may name this instance because of an earlier write
		 * that was delayed or whose response was lost. A renewal keeps
		 * the fencing number unless a higher one is known.
		 */
		acquire_or_renew(ctx, lease, table, &row,
		    row.fence == highest ? row.fence : highest + 1);
	} else {
		mark_lost(ctx, lease, "the lease row names another holder");
		if (may_take_over(lease, &row, pb_now(ctx)))
			acquire_or_renew(ctx, lease, table, &row, highest + 1);
		else
			lease->next_us = pb_now(ctx) + policy->poll_us;
	}
	return lease->next_us;
}

int
pb_release_lease(
    struct pb_context *ctx, struct pb_lease *lease, struct pb_table *table)
{
	struct lease_row row;
	int rc;

	pthread_mutex_lock(&lease->lock);
	lease->held = false;
	pthread_mutex_unlock(&lease->lock);
	rc = read_lease(ctx, lease, table, &row);
	if (rc != PB_OK || strcmp(row.holder, lease->holder) != 0)
		return rc;
	return write_lease(ctx, lease, table, row.version, "", row.fence);
}
