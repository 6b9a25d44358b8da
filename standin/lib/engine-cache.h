#ifndef STANDIN_ENGINE_CACHE_H
#define STANDIN_ENGINE_CACHE_H

#include "poplarbeam/base.h"

#include <jansson.h>

/*
 * Prefix cache of the model engine stand-in: remembers which runs of messages
 * it has seen, least recently used first out. Thread safe.
 */
struct engine_cache;

/* cap: bytes of message text that it holds. */
struct engine_cache *engine_cache_new(size_t cap);
void engine_cache_drop(struct engine_cache *cache);

/* Bytes of the longest prefix of body's messages that is cached. */
unsigned int engine_cache_match(struct engine_cache *cache, const json_t *body);
/*
 * Remembers all prefixes of body's messages, and the last one continued with
 * the answer, as it comes back in the chat's next request.
 */
void engine_cache_insert(
    struct engine_cache *cache, const json_t *body, struct pb_str answer);

#endif
