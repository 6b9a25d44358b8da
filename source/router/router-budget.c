#include "router-internal.h"

#include <stdlib.h>

#define INTERVAL_PER_ROUTER (25 * PB_MSEC)
#define INTERVAL_MAX (3 * PB_SEC) /* a third of the default freshness limit */
#define PROBE_BUDGET_SHARE 0.4 /* of the budget for control traffic */
#define REPORT_AGE_MIN (2 * PB_SEC)
#define CELLS_MAX 64

int
router_count_routers(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_view *view = pb_node_view(r->node);
	int n = 0;
	size_t i;

	for (i = 0; view != NULL && i < view->count; i++)
		n += view->members[i].info.role == PB_ROLE_ROUTER;
	if (view != NULL)
		pb_drop_view(ctx, view);
	return n > 0 ? n : 1;
}

int64_t
router_scale_interval(
    struct pb_context *ctx, struct pb_router *r, int64_t base_us)
{
	int64_t us = router_count_routers(ctx, r) * INTERVAL_PER_ROUTER;

	if (us > INTERVAL_MAX)
		us = INTERVAL_MAX;
	return us > base_us ? us : base_us;
}

void
router_charge_traffic(
    struct pb_context *ctx, struct pb_router *r, size_t sent, size_t received)
{
	pb_add_counter(r->node->metrics, PB_COUNT_CONTROL_SENT, (int64_t)sent);
	pb_add_counter(
	    r->node->metrics, PB_COUNT_CONTROL_RECEIVED, (int64_t)received);
	pthread_mutex_lock(&r->digest_lock);
	pb_charge_digest_budget(ctx, r->digest, sent);
	pthread_mutex_unlock(&r->digest_lock);
}

int64_t
router_max_report_age(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_settings *s = pb_node_settings(r->node);
	double budget = PROBE_BUDGET_SHARE;
	int64_t us, n = 0;
	struct pb_cell_summary *cells;
	size_t i, count;

	if (s == NULL)
		return REPORT_AGE_MIN;
	budget *= s->control_bytes_per_sec;
	pb_drop_settings(ctx, s);
	cells = calloc(CELLS_MAX, sizeof(*cells));
	if (cells == NULL)
		return REPORT_AGE_MIN;
	count = pb_list_cells(ctx, r->owner, cells, CELLS_MAX);
	for (i = 0; i < count; i++) {
		if (cells[i].owned)
			n += cells[i].stats.placement.upstreams;
	}
	free(cells);
	us = (int64_t)((double)(n * PROBE_SENT * PB_SEC) / budget);
	return us > REPORT_AGE_MIN ? us : REPORT_AGE_MIN;
}
