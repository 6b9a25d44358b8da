#ifndef POPLARBEAM_LRU_H
#define POPLARBEAM_LRU_H

#include "poplarbeam/base.h"

/*
 * A bounded map from 64-bit keys to 64-bit values that drops the least
 * recently used entry when it is full. 32 bytes an entry, and 4 to 8 bytes an
 * entry for the hash buckets. No locks.
 */

struct pb_lru;

/* cap: entries kept, at least 1. NULL when memory runs out. */
struct pb_lru *pb_new_lru(struct pb_context *ctx, uint32_t cap);
void pb_drop_lru(struct pb_context *ctx, struct pb_lru *lru);

/*
 * Value of a key, which becomes the most recently used one; NULL when it is
 * absent. The pointer holds until the next pb_set_lru or pb_erase_lru.
 */
uint64_t *pb_find_lru(struct pb_lru *lru, uint64_t key);
/* Adds or replaces a key. */
void pb_set_lru(struct pb_lru *lru, uint64_t key, uint64_t value);
void pb_erase_lru(struct pb_lru *lru, uint64_t key);

uint32_t pb_lru_count(const struct pb_lru *lru);
/* Calls fn for each entry, the most recently used first. */
void pb_each_lru(const struct pb_lru *lru,
    void (*fn)(void *arg, uint64_t key, uint64_t value), void *arg);

#endif
