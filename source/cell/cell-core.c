#include "cell-internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Client accounts per cell. Only active accounts count towards this bound,
 * because the limiter frees idle ones.
 */
#define LIMITER_ACCOUNTS_MAX 20000

/* Time between ticks while requests wait, and while none waits. */
#define TICK_WAITING (20 * PB_MSEC)
#define TICK_IDLE PB_SEC

#define TRIM_PERIOD PB_SEC

struct pb_cell *
pb_new_cell(struct pb_context *ctx, const struct pb_cell_policy *policy,
    pb_action_fn *fn, void *arg)
{
	struct pb_cell *cell = calloc(1, sizeof(*cell));

	if (cell == NULL)
		return NULL;
	cell->policy = *policy;
	cell->fn = fn;
	cell->arg = arg;
	cell->placement = pb_new_placement(ctx, &policy->placement);
	cell->queue = pb_new_queue(ctx, &policy->queue);
	cell->limiter =
	    pb_new_limiter(ctx, LIMITER_ACCOUNTS_MAX, policy->cells);
	cell->strikes = pb_new_lru(ctx, FINGERPRINTS_MAX);
	cell->counted_crashes = pb_new_lru(ctx, FINGERPRINTS_MAX);
	if (cell->placement == NULL || cell->queue == NULL ||
	    cell->limiter == NULL || cell->strikes == NULL ||
	    cell->counted_crashes == NULL) {
		pb_drop_cell(ctx, cell);
		return NULL;
	}
	return cell;
}

void
pb_drop_cell(struct pb_context *ctx, struct pb_cell *cell)
{
	struct request *rq, *next;
	uint32_t i;

	if (cell == NULL)
		return;
	if (cell->queue != NULL)
		pb_drop_queue(ctx, cell->queue);
	for (i = 0; i < cell->bucket_count; i++) {
		for (rq = cell->buckets[i]; rq != NULL; rq = next) {
			next = rq->chain;
			free(rq);
		}
	}
	free(cell->buckets);
	if (cell->limiter != NULL)
		pb_drop_limiter(ctx, cell->limiter);
	pb_drop_placement(ctx, cell->placement);
	pb_drop_lru(ctx, cell->strikes);
	pb_drop_lru(ctx, cell->counted_crashes);
	free(cell);
}

int
pb_set_cell_policy(struct pb_context *ctx, struct pb_cell *cell,
    const struct pb_cell_policy *policy)
{
	int rc = pb_set_queue_policy(ctx, cell->queue, &policy->queue);

	if (rc != PB_OK)
		return rc;
	cell->policy = *policy;
	pb_set_placement_policy(ctx, cell->placement, &policy->placement);
	pb_set_limiter_cells(ctx, cell->limiter, policy->cells);
	pb_serve_cell(ctx, cell);
	return PB_OK;
}

int
pb_set_cell_upstream(struct pb_context *ctx, struct pb_cell *cell,
    const struct pb_upstream_info *info)
{
	int rc = pb_set_upstream(ctx, cell->placement, info);

	if (rc == PB_OK)
		pb_serve_cell(ctx, cell);
	return rc;
}

void
pb_report_cell_load(struct pb_context *ctx, struct pb_cell *cell,
    uint64_t upstream, uint64_t work, int64_t age_us)
{
	pb_report_load(ctx, cell->placement, upstream, work, age_us);
	pb_serve_cell(ctx, cell);
}

void
pb_begin_cell_takeover(struct pb_context *ctx, struct pb_cell *cell)
{
	pb_begin_takeover(ctx, cell->placement);
}

int64_t
pb_tick_cell(struct pb_context *ctx, struct pb_cell *cell)
{
	int64_t now = pb_now(ctx);
	struct pb_queue_stats stats;

	pb_refuse_expired(ctx, cell);
	pb_serve_cell(ctx, cell);
	if (now - cell->trimmed_us >= TRIM_PERIOD) {
		pb_trim_limiter(ctx, cell->limiter);
		cell->trimmed_us = now;
	}
	pb_read_queue_stats(cell->queue, &stats);
	return now +
	    (stats.items + cell->parked_count > 0 ? TICK_WAITING : TICK_IDLE);
}

struct pb_limiter *
pb_cell_limiter(struct pb_cell *cell)
{
	return cell->limiter;
}

void
pb_read_cell_stats(struct pb_context *ctx, const struct pb_cell *cell,
    struct pb_cell_stats *stats)
{
	memset(stats, 0, sizeof(*stats));
	pb_read_queue_stats(cell->queue, &stats->queue);
	pb_read_placement_stats(ctx, cell->placement, &stats->placement);
	stats->started = cell->started;
	stats->refused = cell->refused;
	stats->contained = cell->contained;
	stats->in_flight = cell->in_flight;
}

const char *
pb_refusal_name(enum pb_refusal reason)
{
	static const char *const names[] = {"none", "queue_full", "deadline",
	    "limit", "contained", "no_upstream", "stopping", "not_owner",
	    "stale"};

	return (size_t)reason < sizeof(names) / sizeof(names[0]) ? names[reason]
								 : "other";
}
