#include "poplarbeam/lru.h"

#include <stdlib.h>

struct entry {
	uint64_t key;
	uint64_t value;
	uint32_t next_in_bucket; /* or next entry of the free list */
	uint32_t newer;
	uint32_t older;
	uint32_t padding;
};

/*
 * The entries form a circular list in order of use. Entry 0 is the list head,
 * so index 0 means "none" elsewhere.
 */
struct pb_lru {
	uint32_t cap;
	uint32_t count;
	uint32_t free; /* first entry of the free list */
	uint32_t mask; /* buckets - 1 */
	uint32_t *buckets;
	struct entry *entries;
};

struct pb_lru *
pb_new_lru(struct pb_context *ctx, uint32_t cap)
{
	struct pb_lru *lru = calloc(1, sizeof(*lru));
	uint32_t buckets = 1;

	if (lru == NULL)
		return NULL;
	lru->cap = cap > 0 ? cap : 1;
	while (buckets < lru->cap)
		buckets *= 2;
	lru->mask = buckets - 1;
	lru->buckets = calloc(buckets, sizeof(*lru->buckets));
	lru->entries = calloc((size_t)lru->cap + 1, sizeof(*lru->entries));
	if (lru->buckets == NULL || lru->entries == NULL) {
		pb_drop_lru(ctx, lru);
		return NULL;
	}
	return lru;
}

void
pb_drop_lru(struct pb_context *ctx, struct pb_lru *lru)
{
	(void)ctx;
	if (lru == NULL)
		return;
	free(lru->buckets);
	free(lru->entries);
	free(lru);
}

static uint32_t *
find_link(struct pb_lru *lru, uint64_t key)
{
	uint32_t *link = &lru->buckets[pb_hash_pair(key, 0) & lru->mask];

	while (*link != 0 && lru->entries[*link].key != key)
		link = &lru->entries[*link].next_in_bucket;
	return link;
}

static void
remove_from_order(struct pb_lru *lru, uint32_t i)
{
	struct entry *e = &lru->entries[i];

	lru->entries[e->newer].older = e->older;
	lru->entries[e->older].newer = e->newer;
}

static void
insert_newest(struct pb_lru *lru, uint32_t i)
{
	struct entry *e = &lru->entries[i], *head = &lru->entries[0];

	e->newer = 0;
	e->older = head->older;
	lru->entries[head->older].newer = i;
	head->older = i;
}

uint64_t *
pb_find_lru(struct pb_lru *lru, uint64_t key)
{
	uint32_t i = *find_link(lru, key);

	if (i == 0)
		return NULL;
	remove_from_order(lru, i);
	insert_newest(lru, i);
	return &lru->entries[i].value;
}

void
pb_erase_lru(struct pb_lru *lru, uint64_t key)
{
	uint32_t *link = find_link(lru, key), i = *link;

	if (i == 0)
		return;
	*link = lru->entries[i].next_in_bucket;
	remove_from_order(lru, i);
	lru->entries[i].next_in_bucket = lru->free;
	lru->free = i;
	lru->count--;
}

void
pb_set_lru(struct pb_lru *lru, uint64_t key, uint64_t value)
{
	uint64_t *found = pb_find_lru(lru, key);
	uint32_t i, *link;

	if (found != NULL) {
		*found = value;
		return;
	}
	if (lru->count == lru->cap)
		pb_erase_lru(lru, lru->entries[lru->entries[0].newer].key);
	/* If the free list is empty, entries after count were never used. */
	i = lru->free != 0 ? lru->free : lru->count + 1;
	if (lru->free != 0)
		lru->free = lru->entries[i].next_in_bucket;
	link = find_link(lru, key);
	lru->entries[i] = (struct entry){.key = key, .value = value};
	*link = i;
	insert_newest(lru, i);
	lru->count++;
}

uint32_t
pb_lru_count(const struct pb_lru *lru)
{
	return lru->count;
}

void
pb_each_lru(const struct pb_lru *lru,
    void (*fn)(void *arg, uint64_t key, uint64_t value), void *arg)
{
	uint32_t i;

	for (i = lru->entries[0].older; i != 0; i = lru->entries[i].older)
		fn(arg, lru->entries[i].key, lru->entries[i].value);
}
