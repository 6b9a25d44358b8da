#ifndef POPLARBEAM_OWNER_INTERNAL_H
#define POPLARBEAM_OWNER_INTERNAL_H

#include "poplarbeam/owner.h"

#include <pthread.h>

#define OWNER_SHARDS 32
#define WAITER_BUCKETS 256

/* A thread that waits for a cell's decision; lives on the thread's stack. */
struct waiter {
	struct waiter *next;
	uint64_t id;
	bool decided; /* action is set */
	struct pb_action action;
	pthread_cond_t wake;
};

/* One cell with its lock and the threads that wait for its decisions. */
struct cell_entry {
	struct cell_entry *next;
	uint64_t id;
	char service[48];
	int number;
	bool owned;
	pthread_mutex_t lock;
	struct pb_context ctx; /* used under the lock */
	struct pb_cell *cell;
	uint32_t call_work; /* units per call; 0: load reports are in units */
	uint64_t revision; /* settings revision of the cell's policy */
	uint64_t view_version; /* view that the upstreams were read from */
	struct waiter *waiters[WAITER_BUCKETS];
	uint64_t upstream_ids[PB_CELL_UPSTREAMS_MAX]; /* hashed instance IDs */
	int64_t probed_us[PB_CELL_UPSTREAMS_MAX]; /* last listed for a probe */
	int upstream_count;
};

struct shard {
	pthread_mutex_t lock;
	struct cell_entry *cells;
};

struct pb_owner {
	struct pb_node *node;
	struct shard shards[OWNER_SHARDS];
};

/*
 * Returns the entry of a cell and creates it when absent. Entries are not freed
 * before the owner. NULL when memory runs out.
 */
struct cell_entry *pb_find_or_add_entry(struct pb_context *ctx,
    struct pb_owner *owner, const struct pb_settings *settings,
    const struct pb_service *service, int number);
/*
 * Updates policy, ownership and upstreams of an entry from the settings and the
 * view. The caller holds the entry's lock.
 */
void pb_sync_entry(struct pb_owner *owner, struct cell_entry *entry,
    const struct pb_settings *settings, const struct pb_view *view);

#endif
