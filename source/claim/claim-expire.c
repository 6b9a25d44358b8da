#include "claim-row.h"

#include <string.h>

#define PAGE_MAX 64 /* most rows that one call reads and deletes */

/* One page of rows, and a list of those older than the retention. */
struct page {
	struct pb_context *ctx;
	const struct pb_claim_policy *policy;
	char last_key[160];
	int row_count;
	size_t expired;
	char keys[PAGE_MAX][160];
	struct pb_table_check checks[PAGE_MAX];
	const char *deletes[PAGE_MAX];
};

static void
collect_expired_row(void *arg, const struct pb_row *row)
{
	struct page *page = arg;
	struct pb_claim_record rec;
	size_t n = page->expired;

	page->row_count++;
	pb_copy_str(page->last_key, sizeof(page->last_key), row->key);
	if (n == PAGE_MAX)
		return;
	if (!pb_decode_claim(&row->value, &rec)) {
		pb_log(page->ctx, PB_WARN, "claim-expire", "table", NULL,
		    "claim row %s is malformed; not deleted", row->key);
		return;
	}
	pb_clear_buf(&rec.answer);
	if (pb_wall_time(page->ctx) - rec.wall_us <= page->policy->retention_us)
		return;
	pb_copy_str(page->keys[n], sizeof(page->keys[n]), row->key);
	page->checks[n].key = page->keys[n];
	page->checks[n].version = row->version;
	page->deletes[n] = page->keys[n];
	page->expired++;
}

int
pb_expire_claims(struct pb_context *ctx, struct pb_table *table,
    const struct pb_claim_policy *policy, char *cursor, size_t cursor_cap,
    int limit)
{
	struct page page = {.ctx = ctx, .policy = policy};
	struct pb_table_commit commit = {
	    page.checks, 0, NULL, 0, page.deletes, 0};
	int rc;

	if (limit > PAGE_MAX)
		limit = PAGE_MAX;
	rc = table->ops->list(ctx, table, PB_CLAIM_PREFIX, cursor, limit,
	    collect_expired_row, &page);
	if (rc != PB_OK)
		return rc;
	commit.check_count = commit.delete_count = page.expired;
	if (page.expired > 0)
		rc = table->ops->commit(ctx, table, &commit);
	/*
	 * Another router changed or deleted one of the rows first. Skip this
	 * page; the next scan covers it again.
	 */
	if (rc == PB_ECONFLICT) {
		page.expired = 0;
		rc = PB_OK;
	}
	if (rc != PB_OK)
		return rc;
	pb_copy_str(
	    cursor, cursor_cap, page.row_count < limit ? "" : page.last_key);
	return (int)page.expired;
}
