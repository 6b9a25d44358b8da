#include "queue-internal.h"

#include <math.h>
#include <stdlib.h>

/* Burst that an account may use after idle time, in quanta. */
#define BURST_QUANTA 32

static size_t
bucket_of(int rank, uint64_t account)
{
	return (account ^ (account >> 32) ^ (uint64_t)rank * 131) &
	    (ACCOUNT_BUCKETS - 1);
}

static void
chain_remove(struct account_chain *c, struct pb_queue_account *a)
{
	if (a->prev != NULL)
		a->prev->next = a->next;
	else
		c->head = a->next;
	if (a->next != NULL)
		a->next->prev = a->prev;
	else
		c->tail = a->prev;
	c->count--;
}

static void
chain_append(struct account_chain *c, struct pb_queue_account *a)
{
	a->next = NULL;
	a->prev = c->tail;
	if (c->tail != NULL)
		c->tail->next = a;
	else
		c->head = a;
	c->tail = a;
	c->count++;
}

static void
move_account(
    struct pb_queue *q, struct pb_queue_account *a, enum account_list list)
{
	struct rank_state *r = &q->rank[a->rank];

	chain_remove(&r->lists[a->list], a);
	a->list = list;
	chain_append(&r->lists[list], a);
}

void
queue_rotate_account(struct pb_queue *q, struct pb_queue_account *a)
{
	if (a->list == LIST_UNDER_SHARE)
		move_account(q, a, LIST_UNDER_SHARE);
}

static double
burst_work(const struct pb_queue *q, const struct pb_queue_account *a)
{
	return BURST_QUANTA * q->rank[a->rank].quantum * a->weight;
}

struct pb_queue_account *
queue_find_account(struct pb_queue *q, int rank, uint64_t account)
{
	struct pb_queue_account *a = q->buckets[bucket_of(rank, account)];

	while (a != NULL && (a->account != account || a->rank != rank))
		a = a->hash_next;
	return a;
}

struct pb_queue_account *
queue_get_account(struct pb_queue *q, const struct pb_queue_item *item)
{
	struct rank_state *r = &q->rank[item->rank];
	struct pb_queue_account *a, **bucket;

	a = queue_find_account(q, item->rank, item->account);
	if (a == NULL) {
		a = calloc(1, sizeof(*a));
		if (a == NULL)
			return NULL;
		a->account = item->account;
		a->rank = item->rank;
		a->weight = item->weight > 0 ? item->weight : 1;
		a->deficit = burst_work(q, a);
		a->list = LIST_UNDER_SHARE;
		bucket = &q->buckets[bucket_of(item->rank, item->account)];
		a->hash_next = *bucket;
		*bucket = a;
		chain_append(&r->lists[LIST_UNDER_SHARE], a);
		r->accounts++;
	}
	a->weight = item->weight > 0 ? item->weight : 1;
	if (a->items == 0 && a->list == LIST_ROUND_ROBIN && a->deficit > 0)
		move_account(q, a, LIST_UNDER_SHARE);
	return a;
}

static void
free_account(struct pb_queue *q, struct pb_queue_account *a)
{
	struct rank_state *r = &q->rank[a->rank];
	struct pb_queue_account **p;

	p = &q->buckets[bucket_of(a->rank, a->account)];
	while (*p != a)
		p = &(*p)->hash_next;
	*p = a->hash_next;
	chain_remove(&r->lists[a->list], a);
	r->accounts--;
	free(a);
}

void
queue_free_accounts(struct pb_queue *q, int rank)
{
	struct rank_state *r = &q->rank[rank];
	int i;

	for (i = 0; i < 2; i++)
		while (r->lists[i].head != NULL)
			free_account(q, r->lists[i].head);
}

/*
 * Returns the next account under its share that may be served, or NULL. An
 * account that has used up its burst or has no items left is moved to the round
 * robin list, where each round adds a quantum to its deficit. An account
 * without items is freed only after its deficit is back at the full burst. If
 * it were freed at once, an account that sends one request at a time would
 * always get a full burst again and exceed its share.
 */
static struct pb_queue_account *
next_under_share(struct pb_queue *q, int rank)
{
	struct pb_queue_account *a, *next;

	for (a = q->rank[rank].lists[LIST_UNDER_SHARE].head; a != NULL;
	     a = next) {
		next = a->next;
		if (a->items == 0 || a->deficit <= 0)
			move_account(q, a, LIST_ROUND_ROBIN);
		else if (a->skipped_pass != q->pass)
			return a;
	}
	return NULL;
}

/*
 * Finds the account that needs the fewest rounds to reach a deficit of 0, and
 * adds that many rounds to all accounts whose deficit is not positive. Returns
 * false if no account has work to try.
 */
static bool
add_rounds(struct pb_queue *q, int rank)
{
	struct rank_state *r = &q->rank[rank];
	struct pb_queue_account *a;
	double rounds = INFINITY;

	for (a = r->lists[LIST_ROUND_ROBIN].head; a != NULL; a = a->next)
		if (a->items > 0 && a->skipped_pass != q->pass)
			rounds = fmin(rounds,
			    fmax(0,
				floor(-a->deficit / (r->quantum * a->weight))));
	if (isinf(rounds))
		return false;
	for (a = r->lists[LIST_ROUND_ROBIN].head; a != NULL; a = a->next)
		if (a->deficit <= 0)
			a->deficit += rounds * r->quantum * a->weight;
	return true;
}

/*
 * Goes once through the round robin list. Returns the next account to serve, or
 * NULL if no account may start more work in this round.
 */
static struct pb_queue_account *
next_round_robin(struct pb_queue *q, int rank)
{
	struct rank_state *r = &q->rank[rank];
	struct pb_queue_account *a;
	uint32_t left = r->accounts;

	while (left-- > 0 && (a = r->lists[LIST_ROUND_ROBIN].head) != NULL) {
		if (a->items > 0 && a->skipped_pass != q->pass &&
		    a->deficit > 0)
			return a;
		if (a->items == 0 || a->skipped_pass != q->pass)
			a->deficit += r->quantum * a->weight;
		if (a->items == 0 && a->deficit >= burst_work(q, a)) {
			free_account(q, a);
			continue;
		}
		move_account(q, a, LIST_ROUND_ROBIN);
	}
	return NULL;
}

struct pb_queue_account *
queue_next_account(struct pb_queue *q, int rank)
{
	struct pb_queue_account *a = next_under_share(q, rank);

	if (a != NULL)
		return a;
	for (;;) {
		a = next_round_robin(q, rank);
		if (a != NULL)
			return a;
		if (!add_rounds(q, rank))
			return NULL;
	}
}

struct pb_queue_account *
queue_longest_account(struct pb_queue *q, int rank)
{
	struct pb_queue_account *a, *best = NULL;
	int i;

	for (i = 0; i < 2; i++)
		for (a = q->rank[rank].lists[i].head; a != NULL; a = a->next)
			if (a->items > 0 &&
			    (best == NULL ||
				(double)a->work / a->weight >
				    (double)best->work / best->weight))
				best = a;
	return best;
}
