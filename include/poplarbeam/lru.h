#ifndef POPLARBEAM_LRU_H
#define POPLARBEAM_LRU_H

#include "poplarbeam/base.h"

/*
 * A bounded map from 64-bit keys to 64-bit values that evicts the least
 * recently used entry when it is full. An entry takes 32 bytes, and the hash
 * buckets take another 4 to 8 bytes per entry. Not thread safe.
 */

struct pb_lru;

/* cap: maximum number of entries, at least 1. NULL when memory runs out. */
struct pb_lru *pb_new_lru(struct pb_context *ctx, uint32_t cap);
void pb_drop_lru(struct pb_context *ctx, struct pb_lru *lru);

/*
 * Returns a pointer to the value of a key and makes the key the most recently
 * used one. Returns NULL when the key is absent. The pointer is valid until the
 * next call of pb_set_lru or pb_erase_lru.
 */
uint64_t *pb_find_lru(struct pb_lru *lru, uint64_t key);
/* Adds a key or replaces its value. */
void pb_set_lru(struct pb_lru *lru, uint64_t key, uint64_t value);
void pb_erase_lru(struct pb_lru *lru, uint64_t key);

uint32_t pb_lru_count(const struct pb_lru *lru);
/* Calls fn for each entry, from the most to the least recently used. */
void pb_each_lru(const struct pb_lru *lru,
    void (*fn)(void *arg, uint64_t key, uint64_t value), void *arg);

#endif
