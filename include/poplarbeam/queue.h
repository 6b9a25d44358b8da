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
	double headroom; /* share of an engine that this rank leaves free */
	int64_t wait_limit_us; /* longest wait that a caller may be given */
};

struct pb_queue_policy {
	int rank_count;
	struct pb_rank_policy rank[PB_RANKS_MAX];
	uint32_t max_items;
	uint64_t max_bytes;
	uint32_t max_items_account; /* for one client account; 0: no limit */
};

/* A request that waits. The queue links it and never frees it. */
struct pb_queue_item {
	struct pb_queue_item *next; /* owned by the queue while linked */
	struct pb_queue_item *prev;
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

struct pb_queue *pb_new_queue(
    struct pb_context *ctx, const struct pb_queue_policy *policy);
/* Items still linked are forgotten, not freed. */
void pb_drop_queue(struct pb_context *ctx, struct pb_queue *queue);
int pb_set_queue_policy(struct pb_context *ctx, struct pb_queue *queue,
    const struct pb_queue_policy *policy);

/*
 * PB_OK, PB_EBUSY when a bound on count or bytes refuses it, PB_ETIMEDOUT when
 * the expected wait is beyond the item's limit.
 */
int pb_push_queue(
    struct pb_context *ctx, struct pb_queue *queue, struct pb_queue_item *item);
/* Unlinks one item, for a caller that went away. */
void pb_remove_queue(
    struct pb_context *ctx, struct pb_queue *queue, struct pb_queue_item *item);

/*
 * Offers the items in the order in which they should be served. try returns
 * true when the item was placed; it is then unlinked and charged to its rank
 * and account. try returns false when the item fits no upstream now: the
 * queue goes on with the next candidate but offers no lower rank work that
 * would take the place that a more urgent item waits for; skip_lower returns
 * that choice to the caller. Returns the number of items placed.
 */
typedef bool pb_try_item(void *arg, struct pb_queue_item *item);
size_t pb_serve_queue(struct pb_context *ctx, struct pb_queue *queue,
    pb_try_item *try_item, void *arg);

/* Unlinks the items whose limit has passed and hands each to fn. */
size_t pb_expire_queue(struct pb_context *ctx, struct pb_queue *queue,
    void (*fn)(void *arg, struct pb_queue_item *item), void *arg);

/* Tells the queue about work that was served without waiting. */
void pb_charge_queue(struct pb_context *ctx, struct pb_queue *queue, int rank,
    uint64_t account, double weight, uint32_t work);
/* Work that finished, from which the service rate is estimated. */
void pb_complete_queue(
    struct pb_context *ctx, struct pb_queue *queue, uint32_t work);

/* Expected wait of new work at this rank, in microseconds. */
int64_t pb_expect_wait(
    struct pb_context *ctx, struct pb_queue *queue, int rank, uint32_t work);

struct pb_queue_stats {
	uint32_t items;
	uint64_t bytes;
	uint64_t work;
	uint32_t items_rank[PB_RANKS_MAX];
	uint64_t served_work_rank[PB_RANKS_MAX];
	uint64_t refused;
	uint64_t expired;
};

void pb_read_queue_stats(
    const struct pb_queue *queue, struct pb_queue_stats *stats);

#endif
