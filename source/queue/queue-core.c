#include "queue-internal.h"

#include <stdlib.h>
#include <string.h>

#define FLOOR_TOLERANCE 1e-9 /* rounding errors of decimal floors */
/*
 * Work is refused if its expected wait exceeds this multiple of its limit. Most
 * of the refused work would then have missed the limit in spite of the error of
 * the estimate.
 */
#define WAIT_MARGIN 1.00

static int
check_policy(struct pb_context *ctx, const struct pb_queue_policy *p)
{
	double sum = 0;
	int i;

	if (p->rank_count < 1 || p->rank_count > PB_RANKS_MAX)
		return pb_set_error(ctx, PB_EINVAL, "queue policy", NULL,
		    "number of ranks %d is not in 1..%d", p->rank_count,
		    PB_RANKS_MAX);
	for (i = 0; i < p->rank_count; i++) {
		if (!(p->rank[i].floor >= 0))
			return pb_set_error(ctx, PB_EINVAL, "queue policy",
			    NULL, "floor of rank %d is negative", i);
		sum += p->rank[i].floor;
	}
	if (sum > 1 + FLOOR_TOLERANCE)
		return pb_set_error(ctx, PB_EINVAL, "queue policy", NULL,
		    "sum of floors is %.3f, above the maximum of 1", sum);
	return PB_OK;
}

struct pb_queue *
pb_new_queue(struct pb_context *ctx, const struct pb_queue_policy *policy)
{
	struct pb_queue *q;

	if (check_policy(ctx, policy) != PB_OK)
		return NULL;
	q = calloc(1, sizeof(*q));
	if (q == NULL)
		return NULL;
	q->policy = *policy;
	q->rate_at = pb_now(ctx);
	return q;
}

void
pb_drop_queue(struct pb_context *ctx, struct pb_queue *queue)
{
	int i;

	(void)ctx;
	if (queue == NULL)
		return;
	for (i = 0; i < PB_RANKS_MAX; i++)
		queue_free_accounts(queue, i);
	free(queue->heap);
	free(queue);
}

int
pb_set_queue_policy(struct pb_context *ctx, struct pb_queue *queue,
    const struct pb_queue_policy *policy)
{
	int i, rc = check_policy(ctx, policy);

	if (rc != PB_OK)
		return rc;
	for (i = policy->rank_count; i < PB_RANKS_MAX; i++)
		if (queue->rank[i].items > 0)
			return pb_set_error(ctx, PB_EINVAL, "queue policy",
			    NULL,
			    "rank %d has waiting requests, policy unchanged",
			    i);
	queue->policy = *policy;
	return PB_OK;
}

void
queue_link(struct pb_queue *q, struct pb_queue_account *a,
    struct pb_queue_item *item, bool front)
{
	struct rank_state *r = &q->rank[item->rank];

	item->queue_account = a;
	item->next = front ? a->head : NULL;
	item->prev = front ? NULL : a->tail;
	if (item->prev != NULL)
		item->prev->next = item;
	else
		a->head = item;
	if (item->next != NULL)
		item->next->prev = item;
	else
		a->tail = item;
	queue_heap_add(q, item);
	a->items++;
	a->work += item->work;
	r->items++;
	r->work += item->work;
	r->bytes += item->bytes;
	q->items++;
	q->work += item->work;
	q->bytes += item->bytes;
}

void
queue_unlink(struct pb_queue *q, struct pb_queue_item *item)
{
	struct pb_queue_account *a = item->queue_account;
	struct rank_state *r = &q->rank[item->rank];

	if (item->prev != NULL)
		item->prev->next = item->next;
	else
		a->head = item->next;
	if (item->next != NULL)
		item->next->prev = item->prev;
	else
		a->tail = item->prev;
	item->next = item->prev = NULL;
	item->queue_account = NULL;
	queue_heap_remove(q, item);
	a->items--;
	a->work -= item->work;
	r->items--;
	r->work -= item->work;
	r->bytes -= item->bytes;
	q->items--;
	q->work -= item->work;
	q->bytes -= item->bytes;
}

void
queue_reset_idle_rank(struct pb_queue *q, int rank)
{
	if (q->rank[rank].items > 0)
		return;
	q->rank[rank].credit = 0;
	queue_free_accounts(q, rank);
	if (q->items == 0)
		q->largest_work = 0;
}

static bool
over_bounds(const struct pb_queue *q, const struct pb_queue_item *item)
{
	return q->items >= q->policy.max_items ||
	    q->bytes + item->bytes > q->policy.max_bytes;
}

/*
 * Returns true if a rank with additional items and bytes uses a larger share of
 * the queue than its floor.
 */
static bool
over_floor(const struct pb_queue *q, int rank, uint32_t items, uint64_t bytes)
{
	double floor = q->policy.rank[rank].floor;

	return (double)(q->rank[rank].items + items) >
	    floor * q->policy.max_items ||
	    (double)(q->rank[rank].bytes + bytes) >
	    floor * (double)q->policy.max_bytes;
}

/*
 * Returns the account whose newest item is to be displaced by the given item,
 * or NULL. The least urgent rank that exceeds its floor is chosen first.
 */
static struct pb_queue_account *
find_victim(struct pb_queue *q, const struct pb_queue_item *item)
{
	bool entitled = !over_floor(q, item->rank, 1, item->bytes);
	struct pb_queue_account *a, *own;
	int i;

	for (i = q->policy.rank_count - 1; i > item->rank; i--)
		if (q->rank[i].items > 0 && over_floor(q, i, 0, 0))
			return queue_longest_account(q, i);
	a = queue_longest_account(q, item->rank);
	own = queue_find_account(q, item->rank, item->account);
	if (a != NULL && a != own &&
	    (double)(a->work - a->tail->work) / a->weight >=
		(double)((own != NULL ? own->work : 0) + item->work) /
		    (item->weight > 0 ? item->weight : 1))
		return a;
	for (i = item->rank - 1; entitled && i >= 0; i--)
		if (q->rank[i].items > 0 && over_floor(q, i, 0, 0))
			return queue_longest_account(q, i);
	return NULL;
}

static int
make_room(struct pb_context *ctx, struct pb_queue *q,
    const struct pb_queue_item *item, struct pb_queue_item **displaced)
{
	struct pb_queue_account *a;
	struct pb_queue_item *victim;

	if (q->policy.max_items == 0 || item->bytes > q->policy.max_bytes)
		return PB_EBUSY;
	while (over_bounds(q, item)) {
		a = find_victim(q, item);
		if (a == NULL)
			return PB_EBUSY;
		victim = a->tail;
		pb_remove_queue(ctx, q, victim);
		q->displaced++;
		victim->next = *displaced;
		*displaced = victim;
	}
	return PB_OK;
}

static int
admit(struct pb_context *ctx, struct pb_queue *q, struct pb_queue_item *item,
    struct pb_queue_item **displaced)
{
	const struct pb_rank_policy *rank = &q->policy.rank[item->rank];
	struct pb_queue_account *a;
	int64_t limit = item->since_us + rank->wait_limit_us, left;

	if (rank->wait_limit_us > 0 && limit < item->expire_us)
		item->expire_us = limit;
	a = queue_find_account(q, item->rank, item->account);
	if (q->policy.max_items_account > 0 && a != NULL &&
	    a->items >= q->policy.max_items_account)
		return PB_EBUSY;
	left = item->expire_us - pb_now(ctx);
	if ((double)pb_estimate_wait(ctx, q, item) > (double)left * WAIT_MARGIN)
		return PB_ETIMEDOUT;
	return make_room(ctx, q, item, displaced);
}

int
pb_push_queue(struct pb_context *ctx, struct pb_queue *queue,
    struct pb_queue_item *item, struct pb_queue_item **displaced)
{
	struct pb_queue_account *a;
	struct rank_state *r;
	int rc;

	*displaced = NULL;
	if (item->rank < 0 || item->rank >= queue->policy.rank_count)
		return pb_set_error(ctx, PB_EINVAL, "push", NULL,
		    "rank %d does not exist", item->rank);
	rc = admit(ctx, queue, item, displaced);
	if (rc != PB_OK) {
		queue->refused++;
		return rc;
	}
	r = &queue->rank[item->rank];
	if (r->quantum <= 0)
		r->quantum = item->work > 0 ? item->work : 1;
	if (queue_reserve_heap(queue) != PB_OK ||
	    (a = queue_get_account(queue, item)) == NULL)
		return pb_set_error(ctx, PB_ENOMEM, "push", NULL,
		    "out of memory, request not queued");
	queue_link(queue, a, item, false);
	if (item->work > queue->largest_work)
		queue->largest_work = item->work;
	queue_note_arrival(ctx, queue, item->rank, item->work);
	return PB_OK;
}

void
pb_remove_queue(
    struct pb_context *ctx, struct pb_queue *queue, struct pb_queue_item *item)
{
	int rank = item->rank;

	queue_unlink(queue, item);
	queue_reset_idle_rank(queue, rank);
	if (queue->items == 0)
		queue_set_blocked(ctx, queue, false);
}

void
pb_read_queue_stats(const struct pb_queue *queue, struct pb_queue_stats *stats)
{
	int i;

	memset(stats, 0, sizeof(*stats));
	stats->items = queue->items;
	stats->bytes = queue->bytes;
	stats->work = queue->work;
	for (i = 0; i < queue->policy.rank_count; i++) {
		stats->items_rank[i] = queue->rank[i].items;
		stats->served_work_rank[i] = queue->rank[i].served_work;
	}
	stats->refused = queue->refused;
	stats->expired = queue->expired;
	stats->displaced = queue->displaced;
	stats->work_per_sec = queue_service_rate(queue, 0);
}
