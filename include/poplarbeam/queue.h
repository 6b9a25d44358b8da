#ifndef POPLARBEAM_QUEUE_H
#define POPLARBEAM_QUEUE_H

#include "poplarbeam/base.h"

/*
 * Queue of the waiting requests of one cell. The most urgent rank is served
 * first, but every rank gets at least its floor, a share of the dispatched
 * work. Within a rank, client accounts are served by weighted deficit round
 * robin. The queue takes no locks: the caller holds the cell's lock.
 */

#define PB_RANKS_MAX 8

/* Policy of one rank; rank 0 is the most urgent. */
struct pb_rank_policy {
	char name[24];
	double floor; /* minimum share of work in a flood, 0..1 */
	double headroom; /* share of capacity that this rank leaves free */
	int64_t wait_limit_us; /* maximum wait in the queue; 0: no limit */
};

/*
 * The floors of all ranks add up to at most 1. With headrooms of 0, 0.03, 0.04
 * and 0.05 for four ranks and 0.015 for accounts, urgent work does not wait
 * while the lowest rank floods the cell at 78% and 96% load
 * (build/release/measure-schedule).
 */
struct pb_queue_policy {
	int rank_count;
	struct pb_rank_policy rank[PB_RANKS_MAX];
	uint32_t max_items;
	uint64_t max_bytes;
	uint32_t max_items_account; /* for one client account; 0: no limit */
	/*
	 * Share of the cell's capacity that accounts above their fair share
	 * leave free in addition to the rank's headroom, so that the work of a
	 * small account starts at once.
	 */
	double account_headroom;
};

struct pb_queue_account;

/* A waiting request. The queue links it and never frees it. */
struct pb_queue_item {
	struct pb_queue_item *next; /* used by the queue while linked */
	struct pb_queue_item *prev;
	struct pb_queue_account *queue_account;
	size_t heap_index;
	uint64_t id;
	uint64_t account; /* hash of the account's name */
	double weight; /* weight of the account */
	int rank;
	uint32_t work; /* work units */
	uint32_t bytes; /* memory that the request uses */
	int64_t since_us; /* when it was queued */
	int64_t expire_us; /* refused as "not run" if it still waits then */
};

struct pb_queue;

/* Returns NULL if memory runs out or the policy is invalid. */
struct pb_queue *pb_new_queue(
    struct pb_context *ctx, const struct pb_queue_policy *policy);
/* Frees the queue, but not the items that are still linked. */
void pb_drop_queue(struct pb_context *ctx, struct pb_queue *queue);
/*
 * Replaces the policy. On PB_EINVAL, the old policy stays in force. Items that
 * exceed a new bound stay in the queue.
 */
int pb_set_queue_policy(struct pb_context *ctx, struct pb_queue *queue,
    const struct pb_queue_policy *policy);

/*
 * Adds an item. The caller calls pb_serve_queue afterwards, also for an item
 * that could start at once. expire_us is reduced to the wait limit of the rank.
 * Returns PB_OK; PB_EBUSY if a bound on items or bytes is reached; PB_ETIMEDOUT
 * if the expected wait exceeds the item's limit; PB_EINVAL; PB_ENOMEM.
 *
 * A full queue displaces waiting items for an item of a more urgent rank, of a
 * rank that uses less of the queue than its floor, or of an account with less
 * waiting work than the account of its rank with the most. *displaced is set to
 * the list of items that were unlinked, linked by next, or to NULL. The caller
 * refuses these requests.
 */
int pb_push_queue(struct pb_context *ctx, struct pb_queue *queue,
    struct pb_queue_item *item, struct pb_queue_item **displaced);
/* Unlinks an item whose caller has disconnected. */
void pb_remove_queue(
    struct pb_context *ctx, struct pb_queue *queue, struct pb_queue_item *item);

enum pb_try_result {
	PB_TRY_PLACED, /* started */
	PB_TRY_NO_CAPACITY, /* every suitable upstream is too full */
	PB_TRY_SKIPPED /* cannot start for another reason */
};

/*
 * Callback that tries to start one item. The item is already unlinked and may
 * be freed if it was placed. The callback must not call the queue, except for
 * pb_read_queue_stats.
 *
 * headroom is the share of the cell's total capacity that must stay free after
 * the item has started. It depends on rank and account and is lower for items
 * that are due under the floor of their rank. It applies to the sum over all
 * upstreams: if it applied to each upstream, work of a low rank would take all
 * capacity that becomes free on one upstream while another has less free than
 * the headroom.
 */
typedef enum pb_try_result pb_try_item(
    void *arg, struct pb_queue_item *item, double headroom);

/*
 * Passes items to try_item one by one in the order of service: first ranks that
 * are due under their floor, then the most urgent rank. Call it after an item
 * was pushed, after work finished and after upstreams changed. Returns the
 * number of items placed. The result of try_item has this effect:
 *
 * PB_TRY_PLACED: The item is charged to its rank and account, and the next item
 * is tried.
 *
 * PB_TRY_NO_CAPACITY: The item goes back to the front of its account and the
 * pass ends. No other item is tried, not even a smaller one of a lower rank,
 * because it would take the capacity that this item waits for.
 *
 * PB_TRY_SKIPPED: The item goes back to the front of its account, and the
 * account is skipped until the next pass. This is for items that wait for
 * something other than capacity, such as an item that must avoid an upstream or
 * a suspect that must run alone, and for items that fit no upstream at all.
 */
size_t pb_serve_queue(struct pb_context *ctx, struct pb_queue *queue,
    pb_try_item *try_item, void *arg);

/*
 * Unlinks the items that have expired and calls fn for each. Returns their
 * number.
 */
size_t pb_expire_queue(struct pb_context *ctx, struct pb_queue *queue,
    void (*fn)(void *arg, struct pb_queue_item *item), void *arg);
/* Returns the earliest expiry time, or INT64_MAX if the queue is empty. */
int64_t pb_next_expiry(const struct pb_queue *queue);

/* Charges work that started without being queued. */
void pb_charge_queue(struct pb_context *ctx, struct pb_queue *queue, int rank,
    uint64_t account, double weight, uint32_t work);
/*
 * Records that work finished, to estimate the service rate. Call it once for
 * each item that was placed or charged. work is the estimate from the item, not
 * the work actually used, because the queue counts waiting work by estimates.
 */
void pb_complete_queue(
    struct pb_context *ctx, struct pb_queue *queue, uint32_t work);

/*
 * Estimates the wait of an item that is not linked, in microseconds, from its
 * rank, account, weight and work. Returns 0 if the queue is empty or the
 * service rate is unknown.
 */
int64_t pb_estimate_wait(struct pb_context *ctx, struct pb_queue *queue,
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
	double work_per_sec; /* estimated service rate; 0: unknown */
};

void pb_read_queue_stats(
    const struct pb_queue *queue, struct pb_queue_stats *stats);

#endif
