#include "claim-row.h"

#include <string.h>

#define PAGE_MAX 64 /* rows read and at most deleted by one call */

/* One page of rows, and which of them are past retention. */
struct page {
	struct pb_context *ctx;
	const struct pb_claim_policy *policy;
	char last[160];
	int rows;
	size_t expired;
	char keys[PAGE_MAX][160];
	struct pb_table_check checks[PAGE_MAX];
	const char *deletes[PAGE_MAX];
};

static void
add_row(void *arg, const struct pb_row *row)
{
	struct page *page = arg;
	struct pb_claim_record rec;
	size_t n = page->expired;

	page->rows++;
	pb_copy_str(page->last, sizeof(page->last), row->key);
	if (n == PAGE_MAX)
		return;
	if (!pb_decode_claim(&row->value, &rec)) {
		pb_log(page->ctx, PB_WARN, "claim-expire", "table", NULL,
		    "row %s is malformed and stays", row->key);
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
	rc = table->ops->list(
	    ctx, table, PB_CLAIM_PREFIX, cursor, limit, add_row, &page);
	if (rc != PB_OK)
		return rc;
	commit.check_count = commit.delete_count = page.expired;
	if (page.expired > 0)
		rc = table->ops->commit(ctx, table, &commit);
	/* Another router was faster with one of the rows: go on after them. */
	if (rc == PB_ECONFLICT) {
		page.expired = 0;
		rc = PB_OK;
	}
	if (rc != PB_OK)
		return rc;
	pb_copy_str(cursor, cursor_cap, page.rows < limit ? "" : page.last);
	return (int)page.expired;
}
