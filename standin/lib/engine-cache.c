#include "engine-cache.h"

#include "poplarbeam/base.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES_MAX 8192 /* cached prefixes */

struct entry {
	uint64_t hash; /* of all messages up to this one; 0: unused entry */
	uint64_t last_used; /* use_clock at the last use */
	unsigned int bytes; /* content bytes of the last message */
};

struct engine_cache {
	pthread_mutex_t lock;
	size_t capacity; /* bytes */
	size_t cached_bytes;
	uint64_t use_clock; /* incremented by every use of an entry */
	struct entry entries[ENTRIES_MAX];
};

struct engine_cache *
engine_cache_new(size_t capacity)
{
	struct engine_cache *c = calloc(1, sizeof(*c));

	if (c == NULL)
		return NULL;
	pthread_mutex_init(&c->lock, NULL);
	c->capacity = capacity;
	return c;
}

void
engine_cache_free(struct engine_cache *cache)
{
	free(cache);
}

static struct entry *
find_entry(struct engine_cache *c, uint64_t hash)
{
	int i;

	for (i = 0; i < ENTRIES_MAX; i++) {
		if (c->entries[i].hash == hash)
			return &c->entries[i];
	}
	return NULL;
}

static void
evict_oldest(struct engine_cache *c)
{
	struct entry *oldest = NULL;
	int i;

	for (i = 0; i < ENTRIES_MAX; i++) {
		struct entry *e = &c->entries[i];

		if (e->hash != 0 &&
		    (oldest == NULL || e->last_used < oldest->last_used))
			oldest = e;
	}
	if (oldest != NULL) {
		c->cached_bytes -= oldest->bytes;
		memset(oldest, 0, sizeof(*oldest));
	}
}

static uint64_t
hash_message(uint64_t hash, const json_t *message, unsigned int *bytes)
{
	const json_t *content = json_object_get(message, "content");
	size_t len = json_string_length(content);

	*bytes = (unsigned int)len;
	return pb_hash(json_string_value(content), len, hash) | 1;
}

unsigned int
engine_cache_match(struct engine_cache *c, const json_t *body)
{
	const json_t *messages = json_object_get(body, "messages");
	unsigned int matched = 0, bytes;
	uint64_t hash = 0;
	size_t i;

	pthread_mutex_lock(&c->lock);
	for (i = 0; i < json_array_size(messages); i++) {
		struct entry *e;

		hash = hash_message(hash, json_array_get(messages, i), &bytes);
		e = find_entry(c, hash);
		if (e == NULL)
			break;
		e->last_used = ++c->use_clock;
		matched += bytes;
	}
	pthread_mutex_unlock(&c->lock);
	return matched;
}

static void
insert_entry(struct engine_cache *c, uint64_t hash, unsigned int bytes)
{
	struct entry *e = find_entry(c, hash);

	if (e == NULL) {
		while (c->cached_bytes > 0 &&
		    c->cached_bytes + bytes > c->capacity)
			evict_oldest(c);
		e = find_entry(c, 0);
		if (e == NULL) {
			evict_oldest(c);
			e = find_entry(c, 0);
		}
		e->hash = hash;
		e->bytes = bytes;
		c->cached_bytes += bytes;
	}
	e->last_used = ++c->use_clock;
}

void
engine_cache_insert(
    struct engine_cache *c, const json_t *body, struct pb_str answer)
{
	const json_t *messages = json_object_get(body, "messages");
	size_t i, n = json_array_size(messages);
	unsigned int bytes;
	uint64_t hash = 0;

	pthread_mutex_lock(&c->lock);
	for (i = 0; i < n; i++) {
		hash = hash_message(hash, json_array_get(messages, i), &bytes);
		insert_entry(c, hash, bytes);
	}
	hash = pb_hash(answer.data, answer.len, hash) | 1;
	insert_entry(c, hash, (unsigned int)answer.len);
	pthread_mutex_unlock(&c->lock);
}
