#ifndef QUEUE_INTERNAL_H
#define QUEUE_INTERNAL_H

#include "poplarbeam/queue.h"

#define RATES 2 /* time constants of the measured rates */
#define ACCOUNT_BUCKETS 1024 /* power of two */

/* Which list of its rank an account is in. */
enum account_list {
	LIST_FRESH, /* below its share lately: served first */
	LIST_RING
};

struct pb_queue_account {
	struct pb_queue_account *hash_next;
	struct pb_queue_account *next; /* in the list of its rank */
	struct pb_queue_account *prev;
	uint64_t account;
	double weight;
	double deficit; /* work that it may still start in this round */
	struct pb_queue_item *head;
	struct pb_queue_item *tail;
	uint64_t work;
	uint64_t pass; /* pass in which it is left out */
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
	double credit; /* work owed under the floor */
	double quantum; /* work per round for weight 1 */
};

/* Sums over the recent past, decayed with one time constant. */
struct queue_rate {
	double arrived[PB_RANKS_MAX]; /* work */
	double seen_sec; /* time of the arrival sums */
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
	uint32_t largest; /* largest work since the queue was last empty */
	bool blocked; /* the last pass ended for lack of room */
	int64_t rate_at; /* time of the sums below */
	struct queue_rate rate[RATES];
	uint64_t in_flight; /* work started and not completed */
	uint64_t turnover; /* work completed while blocked, at the start */
	bool turned_over;
	uint32_t completions; /* while blocked, counted up to the minimum */
};

/* queue-account.c */
struct pb_queue_account *queue_find_account(
    struct pb_queue *q, int rank, uint64_t account);
struct pb_queue_account *queue_get_account(
    struct pb_queue *q, const struct pb_queue_item *item);
/* The account to be served next in a rank, or NULL when all are left out. */
struct pb_queue_account *queue_next_account(struct pb_queue *q, int rank);
/* Puts a fresh account behind the others after it was served. */
void queue_rotate_account(struct pb_queue *q, struct pb_queue_account *a);
/* The account of a rank with the most waiting work per weight. */
struct pb_queue_account *queue_longest_account(struct pb_queue *q, int rank);
void queue_forget_accounts(struct pb_queue *q, int rank);

/* queue-expiry.c */
int queue_reserve_heap(struct pb_queue *q);
void queue_heap_add(struct pb_queue *q, struct pb_queue_item *item);
void queue_heap_remove(struct pb_queue *q, struct pb_queue_item *item);

/* queue-core.c */
void queue_link(struct pb_queue *q, struct pb_queue_account *a,
    struct pb_queue_item *item, bool front);
void queue_unlink(struct pb_queue *q, struct pb_queue_item *item);
/* Forgets what a rank without waiting items need not keep. */
void queue_settle_rank(struct pb_queue *q, int rank);

/* queue-wait.c */
void queue_note_arrival(
    struct pb_context *ctx, struct pb_queue *q, int rank, uint32_t work);
void queue_set_blocked(struct pb_context *ctx, struct pb_queue *q, bool on);

/* Work units per second while blocked; 0 when not known. */
double queue_service_rate(const struct pb_queue *q, int k);

/* queue-serve.c */
void queue_charge_rank(struct pb_queue *q, int rank, uint32_t work);

#endif
