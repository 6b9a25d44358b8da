#ifndef STANDIN_ENGINE_CACHE_H
#define STANDIN_ENGINE_CACHE_H

#include "poplarbeam/base.h"

#include <jansson.h>

/*
 * Prefix cache of the model engine stand-in: stores hashes of the message
 * prefixes of earlier requests and evicts the least recently used one first.
 * Thread safe.
 */
struct engine_cache;

/*
 * Returns a cache for up to capacity bytes of message text, or NULL if memory
 * runs out.
 */
struct engine_cache *engine_cache_new(size_t capacity);
void engine_cache_free(struct engine_cache *cache);

/* Returns the bytes of the longest cached prefix of body's messages. */
unsigned int engine_cache_match(struct engine_cache *cache, const json_t *body);
/*
 * Adds all prefixes of body's messages, and all messages followed by the
 * answer, because the chat's next request starts with them.
 */
void engine_cache_insert(
    struct engine_cache *cache, const json_t *body, struct pb_str answer);

#endif
