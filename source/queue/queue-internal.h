#ifndef QUEUE_INTERNAL_H
#define QUEUE_INTERNAL_H

#include "poplarbeam/queue.h"

#define RATES 2 /* number of time constants for measured rates */
#define ACCOUNT_BUCKETS 1024 /* power of two */

/* The two lists of accounts of a rank. */
enum account_list {
	LIST_UNDER_SHARE, /* recently got less than its share; served first */
	LIST_ROUND_ROBIN
};

struct pb_queue_account {
	struct pb_queue_account *hash_next;
	struct pb_queue_account *next; /* in the list of its rank */
	struct pb_queue_account *prev;
	uint64_t account;
	double weight;
	double deficit; /* work that may still start in this round */
	struct pb_queue_item *head;
	struct pb_queue_item *tail;
	uint64_t work;
	uint64_t skipped_pass; /* last pass that skips the account */
	uint32_t items;
	int rank;
	enum account_list list;
};

struct account_chain {
	struct pb_queue_account *head;
	struct pb_queue_account *tail;
	uint32_t count;
};

struct rank_state {
	struct account_chain lists[2]; /* by enum account_list */
	uint32_t accounts;
	uint32_t items;
	uint64_t bytes;
	uint64_t work;
	uint64_t served_work;
	double credit; /* work due under the floor */
	double quantum; /* work per round for an account of weight 1 */
};

/* Sums that decay exponentially with one time constant. */
struct queue_rate {
	double arrived[PB_RANKS_MAX]; /* work that arrived, by rank */
	double observed_sec; /* time that the arrival sums cover */
	double busy_work; /* work completed while blocked */
	double busy_sec; /* time spent blocked */
};

struct pb_queue {
	struct pb_queue_policy policy;
	struct rank_state rank[PB_RANKS_MAX];
	struct pb_queue_account *buckets[ACCOUNT_BUCKETS];
	struct pb_queue_item **heap; /* by expire_us, earliest first */
	size_t heap_cap;
	uint32_t items;
	uint64_t bytes;
	uint64_t work;
	uint64_t pass;
	uint64_t refused;
	uint64_t expired;
	uint64_t displaced;
	uint32_t largest_work; /* largest work since the queue was last empty */
	bool blocked; /* the last pass ended for lack of capacity */
	int64_t rate_at; /* when the sums in rate were last decayed */
	struct queue_rate rate[RATES];
	uint64_t in_flight; /* work started and not completed */
	uint64_t warmup_work; /* completed while blocked, before warmed_up */
	bool warmed_up; /* completions count towards the service rate */
	uint32_t completions; /* while blocked, up to RATE_COMPLETIONS */
};

/* queue-account.c */
struct pb_queue_account *queue_find_account(
    struct pb_queue *q, int rank, uint64_t account);
struct pb_queue_account *queue_get_account(
    struct pb_queue *q, const struct pb_queue_item *item);
/* Returns the account to serve next, or NULL if none has work to try. */
struct pb_queue_account *queue_next_account(struct pb_queue *q, int rank);
/* Moves a served account to the end of the list of accounts under share. */
void queue_rotate_account(struct pb_queue *q, struct pb_queue_account *a);
/* Returns the account of a rank with the most waiting work per weight. */
struct pb_queue_account *queue_longest_account(struct pb_queue *q, int rank);
void queue_free_accounts(struct pb_queue *q, int rank);

/* queue-expiry.c */
int queue_reserve_heap(struct pb_queue *q);
void queue_heap_add(struct pb_queue *q, struct pb_queue_item *item);
void queue_heap_remove(struct pb_queue *q, struct pb_queue_item *item);

/* queue-core.c */
void queue_link(struct pb_queue *q, struct pb_queue_account *a,
    struct pb_queue_item *item, bool front);
void queue_unlink(struct pb_queue *q, struct pb_queue_item *item);
/* Resets the credit and the accounts of a rank that has no waiting items. */
void queue_reset_idle_rank(struct pb_queue *q, int rank);

/* queue-wait.c */
void queue_note_arrival(
    struct pb_context *ctx, struct pb_queue *q, int rank, uint32_t work);
void queue_set_blocked(struct pb_context *ctx, struct pb_queue *q, bool on);

/*
 * Returns the work units per second completed while the queue was blocked, for
 * time constant k, or 0 if unknown.
 */
double queue_service_rate(const struct pb_queue *q, int k);

/* queue-serve.c */
void queue_charge_rank(struct pb_queue *q, int rank, uint32_t work);

#endif
