#include "queue-internal.h"

/*
 * A rank is due if its credit covers its next item plus the work that its floor
 * earns in DUE_SEC of service. It is overdue if its credit covers two items
 * plus the work of OVERDUE_SEC. Without DUE_SEC, a rank of small items is due
 * after 80 ms without a start and takes the headroom of urgent work whenever
 * several requests arrive together.
 */
#define DUE_SEC 1.0
#define OVERDUE_SEC 4.0
/* Maximum credit of a rank, in items of the largest work. */
#define CREDIT_MAX_ITEMS 4.0

/* The account whose first item is tried next, and the headroom for it. */
struct offer {
	struct pb_queue_account *account;
	double headroom;
};

void
queue_charge_rank(struct pb_queue *q, int rank, uint32_t work)
{
	struct rank_state *r;
	double rate = queue_service_rate(q, 0), floor, bound;
	int i;

	for (i = 0; i < q->policy.rank_count; i++) {
		r = &q->rank[i];
		if (r->items == 0 && i != rank)
			continue;
		floor = q->policy.rank[i].floor;
		bound = CREDIT_MAX_ITEMS * q->largest_work +
		    OVERDUE_SEC * rate * floor;
		r->credit += floor * work;
		if (r->credit > bound)
			r->credit = bound;
	}
	r = &q->rank[rank];
	r->credit = r->credit > work ? r->credit - work : 0;
	r->served_work += work;
	q->in_flight += work;
}

/*
 * Returns the headroom for an item of a rank that is due: that of the most
 * urgent rank with waiting items whose headroom is lower, else its own.
 */
static double
due_headroom(const struct pb_queue *q, int rank)
{
	int i;

	for (i = 0; i < rank; i++)
		if (q->rank[i].items > 0 &&
		    q->policy.rank[i].headroom < q->policy.rank[rank].headroom)
			return q->policy.rank[i].headroom;
	return q->policy.rank[rank].headroom;
}

static double
normal_headroom(const struct pb_queue *q, const struct pb_queue_account *a)
{
	double h = q->policy.rank[a->rank].headroom;

	return a->list == LIST_UNDER_SHARE ? h : h + q->policy.account_headroom;
}

/*
 * Returns true if the credit of the account's rank covers the given number of
 * items like the account's first one plus the work that the floor earns in sec
 * seconds of service.
 */
static bool
is_behind_floor(const struct pb_queue *q, const struct pb_queue_account *a,
    double items, double sec)
{
	return q->rank[a->rank].credit >= items * a->head->work +
	    sec * queue_service_rate(q, 0) * q->policy.rank[a->rank].floor;
}

static bool
choose_offer(struct pb_queue *q, struct offer *offer)
{
	struct pb_queue_account *a;
	int i;

	offer->account = NULL;
	for (i = 0; i < q->policy.rank_count; i++) {
		a = q->rank[i].items > 0 ? queue_next_account(q, i) : NULL;
		if (a == NULL)
			continue;
		if (is_behind_floor(q, a, 1, DUE_SEC)) {
			offer->account = a;
			offer->headroom = is_behind_floor(q, a, 2, OVERDUE_SEC)
			    ? 0
			    : due_headroom(q, i);
			return true;
		}
		if (offer->account == NULL) {
			offer->account = a;
			offer->headroom = normal_headroom(q, a);
		}
	}
	return offer->account != NULL;
}

static enum pb_try_result
try_offer(
    struct pb_queue *q, struct offer *offer, pb_try_item *try_item, void *arg)
{
	struct pb_queue_account *a = offer->account;
	struct pb_queue_item *item = a->head;
	uint32_t work = item->work;
	enum pb_try_result result;

	queue_unlink(q, item);
	result = try_item(arg, item, offer->headroom);
	if (result != PB_TRY_PLACED) {
		queue_link(q, a, item, true);
		a->skipped_pass = q->pass;
		return result;
	}
	a->deficit -= work;
	queue_rotate_account(q, a);
	queue_charge_rank(q, a->rank, work);
	queue_reset_idle_rank(q, a->rank);
	return result;
}

size_t
pb_serve_queue(struct pb_context *ctx, struct pb_queue *queue,
    pb_try_item *try_item, void *arg)
{
	struct offer offer;
	enum pb_try_result result = PB_TRY_PLACED;
	size_t placed = 0;

	queue->pass++;
	while (result != PB_TRY_NO_CAPACITY && choose_offer(queue, &offer)) {
		result = try_offer(queue, &offer, try_item, arg);
		if (result == PB_TRY_PLACED)
			placed++;
	}
	queue_set_blocked(ctx, queue, result == PB_TRY_NO_CAPACITY);
	return placed;
}

void
pb_charge_queue(struct pb_context *ctx, struct pb_queue *queue, int rank,
    uint64_t account, double weight, uint32_t work)
{
	struct pb_queue_account *a;

	(void)weight;
	if (rank < 0 || rank >= queue->policy.rank_count)
		return;
	a = queue_find_account(queue, rank, account);
	if (a != NULL)
		a->deficit -= work;
	queue_note_arrival(ctx, queue, rank, work);
	queue_charge_rank(queue, rank, work);
	queue_reset_idle_rank(queue, rank);
}
