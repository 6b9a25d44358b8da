#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "poplarbeam/lease.h"

/* Wait after a failed call of the table, as a share of the renewal period. */
#define RETRY_SHARE 4
/* Numbers above this are taken for a fault: JSON integers end at 2^63 - 1. */
#define FENCE_MAX ((uint64_t)1 << 62)

/* The row as it was read. */
struct lease_row {
	char holder[96]; /* empty when it was given up */
	uint64_t fence;
	uint64_t version; /* 0: absent */
};

struct pb_lease {
	char row[96];
	char holder[96];
	struct pb_lease_policy policy;

	/* Used by the ticking thread only. */
	int64_t next_us;
	bool seen;
	uint64_t seen_version;
	int64_t seen_us; /* when seen_version was first read */

	pthread_mutex_t lock;
	bool held;
	uint64_t fence;
	int64_t valid_until_us;
	uint64_t top_fence; /* highest one seen anywhere */
};

struct pb_lease *
pb_new_lease(struct pb_context *ctx, const struct pb_lease_policy *policy)
{
	struct pb_lease *lease = calloc(1, sizeof(*lease));

	/* A cut name or holder id could equal another one. */
	if (lease == NULL || *policy->holder == '\0' ||
	    strlen(policy->holder) >= sizeof(lease->holder) ||
	    strlen(policy->name) + strlen("lease/") >= sizeof(lease->row)) {
		pb_set_error(ctx, lease == NULL ? PB_ENOMEM : PB_EINVAL,
		    "lease", policy->name, "cannot create the lease");
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
lose_lease(struct pb_context *ctx, struct pb_lease *lease, const char *why)
{
	bool held;

	pthread_mutex_lock(&lease->lock);
	held = lease->held;
	lease->held = false;
	pthread_mutex_unlock(&lease->lock);
	if (held)
		pb_log(
		    ctx, PB_WARN, "lease", lease->row, NULL, "lost: %s", why);
}

int64_t
pb_lease_left(struct pb_context *ctx, struct pb_lease *lease)
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
pb_note_fence(struct pb_context *ctx, struct pb_lease *lease, uint64_t fence)
{
	bool higher;

	if (fence > FENCE_MAX) {
		pb_log(ctx, PB_ERROR, "lease", lease->row, NULL,
		    "fencing number %llu is not plausible",
		    (unsigned long long)fence);
		return;
	}
	pthread_mutex_lock(&lease->lock);
	if (fence > lease->top_fence)
		lease->top_fence = fence;
	higher = fence > lease->fence;
	pthread_mutex_unlock(&lease->lock);
	if (higher)
		lose_lease(ctx, lease, "a higher fencing number was seen");
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
	/* Without its fencing number, a new one might go back. */
	if (!json_is_string(holder) || !json_is_integer(fence) ||
	    json_integer_value(fence) < 0 ||
	    json_string_length(holder) >= sizeof(out->holder)) {
		rc = pb_set_error(ctx, PB_EPROTO, "lease", "table",
		    "row %s is malformed", lease->row);
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

/* Writes the own name into the row that was read; true when it worked. */
static bool
claim_row(struct pb_context *ctx, struct pb_lease *lease,
    struct pb_table *table, const struct lease_row *row, uint64_t fence)
{
	int64_t start = pb_now(ctx);
	int rc =
	    write_lease(ctx, lease, table, row->version, lease->holder, fence);

	if (rc == PB_ECONFLICT)
		lose_lease(ctx, lease, "another instance wrote the row");
	if (rc != PB_OK)
		return false;
	pthread_mutex_lock(&lease->lock);
	/* A higher number that was noted meanwhile stays above this lease. */
	lease->held = fence >= lease->top_fence;
	if (lease->held)
		lease->top_fence = fence;
	lease->fence = fence;
	lease->valid_until_us =
	    start + lease->policy.duration_us - lease->policy.margin_us;
	pthread_mutex_unlock(&lease->lock);
	lease->next_us = start + lease->policy.renew_us;
	return true;
}

/* True when the row may be taken over; now_us is after it was read. */
static bool
has_run_out(struct pb_lease *lease, const struct lease_row *row, int64_t now_us)
{
	if (!lease->seen || lease->seen_version != row->version) {
		lease->seen = true;
		lease->seen_version = row->version;
		lease->seen_us = now_us;
	}
	/* An absent row may have been lost while its holder still counts. */
	if (row->version != 0 && row->holder[0] == '\0')
		return true;
	return now_us - lease->seen_us >= lease->policy.duration_us;
}

int64_t
pb_tick_lease(
    struct pb_context *ctx, struct pb_lease *lease, struct pb_table *table)
{
	const struct pb_lease_policy *policy = &lease->policy;
	struct lease_row row;
	uint64_t top;
	bool own;
	int rc;

	if (pb_now(ctx) < lease->next_us)
		return lease->next_us;
	rc = read_lease(ctx, lease, table, &row);
	lease->next_us = pb_now(ctx) + policy->renew_us / RETRY_SHARE;
	if (rc != PB_OK)
		return lease->next_us;
	own = strcmp(row.holder, lease->holder) == 0;
	pthread_mutex_lock(&lease->lock);
	if (row.fence > lease->top_fence)
		lease->top_fence = row.fence;
	top = lease->top_fence;
	pthread_mutex_unlock(&lease->lock);
	if (own) {
		/*
		 * Also when a lost or late write made it ours. A renewal keeps
		 * the number unless an upstream has shown a higher one.
		 */
		claim_row(ctx, lease, table, &row,
		    row.fence == top ? row.fence : top + 1);
	} else {
		lose_lease(ctx, lease, "another instance holds it");
		if (has_run_out(lease, &row, pb_now(ctx)))
			claim_row(ctx, lease, table, &row, top + 1);
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
