#ifndef POPLARBEAM_OWNER_INTERNAL_H
#define POPLARBEAM_OWNER_INTERNAL_H

#include "poplarbeam/owner.h"

#include <pthread.h>

#define OWNER_SHARDS 32
#define TICKET_BUCKETS 256

/* A request that waits in a cell or runs; lives on its thread's stack. */
struct ticket {
	struct ticket *next;
	uint64_t id;
	bool decided;
	struct pb_action action;
	pthread_cond_t wake;
};

/* One cell with its lock and the requests that wait for its decisions. */
struct cell_entry {
	struct cell_entry *next;
	uint64_t id;
	char service[48];
	int number;
	bool owned;
	pthread_mutex_t lock;
	struct pb_context ctx; /* used under the lock */
	struct pb_cell *cell;
	uint32_t call_work; /* units of one call; 0: reports are in units */
	uint64_t revision; /* of the policy in force */
	uint64_t view_version;
	struct ticket *tickets[TICKET_BUCKETS];
	uint64_t known[PB_CELL_UPSTREAMS_MAX]; /* upstreams given to the cell */
	int64_t reported_us[PB_CELL_UPSTREAMS_MAX];
	int known_count;
};

struct shard {
	pthread_mutex_t lock;
	struct cell_entry *cells;
};

struct pb_owner {
	struct pb_node *node;
	struct shard shards[OWNER_SHARDS];
};

/* The entry of a cell, made when absent; never freed before the owner. */
struct cell_entry *pb_find_entry(struct pb_context *ctx, struct pb_owner *owner,
    const struct pb_settings *settings, const struct pb_service *service,
    int number);
/* Brings policy and upstreams up to date; the entry's lock is held. */
void pb_sync_entry(struct pb_owner *owner, struct cell_entry *entry,
    const struct pb_settings *settings, const struct pb_view *view);

#endif
