#ifndef POPLARBEAM_QUEUE_H
#define POPLARBEAM_QUEUE_H

#include "poplarbeam/base.h"

/*
 * The waiting requests of one cell, ordered by rank, with floors for the other
 * ranks, and by weighted deficit round robin over client accounts inside a
 * rank. No locks: the caller holds the cell's lock.
 */

#define PB_RANKS_MAX 8

/* One rank; index 0 is the most urgent. */
struct pb_rank_policy {
	char name[24];
	double floor; /* share of dispatched work kept in a flood, 0..1 */
	double headroom; /* share of the cell that this rank leaves free */
	int64_t wait_limit_us; /* longest wait that is given; 0: no limit */
};

/*
 * The floors of all ranks add up to at most 1. Headroom 0, 0.03, 0.04, 0.05 for
 * four ranks and 0.015 for accounts keep urgent work from waiting in a flood
 * of the lowest rank at 78% and 96% load (build/release/measure-schedule).
 */
struct pb_queue_policy {
	int rank_count;
	struct pb_rank_policy rank[PB_RANKS_MAX];
	uint32_t max_items;
	uint64_t max_bytes;
	uint32_t max_items_account; /* for one client account; 0: no limit */
	/*
	 * Share of the cell that accounts over their fair share leave free, on
	 * top of the rank's headroom, so that a small account starts at once.
	 */
	double account_headroom;
};

struct pb_queue_account;

/* A request that waits. The queue links it and never frees it. */
struct pb_queue_item {
	struct pb_queue_item *next; /* owned by the queue while linked */
	struct pb_queue_item *prev;
	struct pb_queue_account *owner;
	size_t heap_index;
	uint64_t id;
	uint64_t account; /* hash of the account's name */
	double weight; /* weight of the account */
	int rank;
	uint32_t work; /* work units */
	uint32_t bytes; /* memory that it holds */
	int64_t since_us; /* when it was queued */
	int64_t expire_us; /* refused as "not run" when still waiting then */
};

struct pb_queue;

/* NULL when memory runs out or the policy is invalid. */
struct pb_queue *pb_new_queue(
    struct pb_context *ctx, const struct pb_queue_policy *policy);
/* Items still linked are forgotten, not freed. */
void pb_drop_queue(struct pb_context *ctx, struct pb_queue *queue);
/* PB_EINVAL leaves the old policy; items over a new bound stay. */
int pb_set_queue_policy(struct pb_context *ctx, struct pb_queue *queue,
    const struct pb_queue_policy *policy);

/*
 * Adds an item; the caller serves the queue afterwards, also for an item that
 * could start at once. expire_us is cut to the rank's wait limit. PB_OK,
 * PB_EBUSY when a bound on count or bytes refuses it, PB_ETIMEDOUT when the
 * expected wait is beyond the item's limit, PB_EINVAL, PB_ENOMEM.
 *
 * A full queue makes room for a more urgent item, for a rank that uses less
 * of the queue than its floor, and for an account that waits with less than
 * the longest account of its rank: *displaced is then a list (by next) of
 * items that were unlinked, which the caller refuses; else it is NULL.
 */
int pb_push_queue(struct pb_context *ctx, struct pb_queue *queue,
    struct pb_queue_item *item, struct pb_queue_item **displaced);
/* Unlinks one item, for a caller that went away. */
void pb_remove_queue(
    struct pb_context *ctx, struct pb_queue *queue, struct pb_queue_item *item);

enum pb_try_result {
	PB_TRY_PLACED, /* started */
	PB_TRY_NO_ROOM, /* every upstream that could take it is too full */
	PB_TRY_PASS /* held back for a reason other than room */
};

/*
 * Tries to start one item. headroom is the share of the cell's capacity that
 * must stay free afterwards, summed over its upstreams: held on each upstream
 * by itself, low rank work refills every place that frees on one upstream
 * while another is over its mark. It depends on rank and account, and is lower
 * for items that are due under their floor. The item is already unlinked and
 * may be freed when it was placed. Must not call back into the queue, but for
 * reading stats.
 */
typedef enum pb_try_result pb_try_item(
    void *arg, struct pb_queue_item *item, double headroom);

/*
 * Offers items one by one in the order in which they should be served:
 * first ranks whose floor credit covers their next item, then the most
 * urgent rank. The result of try_item decides what follows:
 *   PB_TRY_PLACED   the item is charged to its rank and account; next item.
 *   PB_TRY_NO_ROOM  the item stays in front and the pass ends. No other item,
 *                   also no smaller one of a lower rank, is offered, because
 *                   it would take the place that this item waits for.
 *   PB_TRY_PASS     the item stays in front of its account, and that account
 *                   is left out of this pass. For items that wait for
 *                   something else than room (an upstream to avoid, a suspect
 *                   that must run alone) or that fit no upstream at all.
 * Call it when an item was pushed, when work finished and when upstreams
 * changed. Returns the number of items placed.
 */
size_t pb_serve_queue(struct pb_context *ctx, struct pb_queue *queue,
    pb_try_item *try_item, void *arg);

/* Unlinks the items whose limit has passed and hands each to fn. */
size_t pb_expire_queue(struct pb_context *ctx, struct pb_queue *queue,
    void (*fn)(void *arg, struct pb_queue_item *item), void *arg);
/* When the next item expires; INT64_MAX when none waits. */
int64_t pb_next_expiry(const struct pb_queue *queue);

/* Tells the queue about work that started without being pushed. */
void pb_charge_queue(struct pb_context *ctx, struct pb_queue *queue, int rank,
    uint64_t account, double weight, uint32_t work);
/*
 * Work that finished, from which the service rate is estimated: once for each
 * item that was placed or charged. work: as in the item, not the units really
 * used, so that both sides are in one unit.
 */
void pb_complete_queue(
    struct pb_context *ctx, struct pb_queue *queue, uint32_t work);

/*
 * Expected wait of an item that is not linked, in microseconds, from its rank,
 * account, weight and work. 0 when nothing waits or the rate is not known.
 */
int64_t pb_expect_wait(struct pb_context *ctx, struct pb_queue *queue,
    const struct pb_queue_item *item);

struct pb_queue_stats {
	uint32_t items;
	uint64_t bytes;
	uint64_t work;
	uint32_t items_rank[PB_RANKS_MAX];
	uint64_t served_work_rank[PB_RANKS_MAX];
	uint64_t refused;
	uint64_t expired;
	uint64_t displaced;
	double work_per_sec; /* estimated service rate; 0 when not known */
};

void pb_read_queue_stats(
    const struct pb_queue *queue, struct pb_queue_stats *stats);

#endif
