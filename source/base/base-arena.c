#include "poplarbeam/base.h"

#include <stdalign.h>
#include <stdlib.h>
#include <string.h>

/* Most requests fit in one block, so an open stream uses little memory. */
#define ARENA_BLOCK_SIZE 2048 /* bytes */

struct block {
	struct block *next;
	size_t used;
	size_t cap;
	alignas(max_align_t) char data[];
};

struct pb_arena {
	struct block *head;
};

struct pb_arena *
pb_new_arena(struct pb_context *ctx)
{
	(void)ctx;
	return calloc(1, sizeof(struct pb_arena));
}

void
pb_drop_arena(struct pb_context *ctx, struct pb_arena *arena)
{
	struct block *b, *next;

	(void)ctx;
	if (arena == NULL)
		return;
	for (b = arena->head; b != NULL; b = next) {
		next = b->next;
		free(b);
	}
	free(arena);
}

void *
pb_arena_alloc(struct pb_arena *arena, size_t size)
{
	size_t align = alignof(max_align_t);
	size_t need = (size + align - 1) / align * align;
	struct block *b = arena->head;
	void *p;

	if (b == NULL || b->cap - b->used < need) {
		size_t cap = need > ARENA_BLOCK_SIZE ? need : ARENA_BLOCK_SIZE;

		b = malloc(sizeof(*b) + cap);
		if (b == NULL)
			return NULL;
		b->used = 0;
		b->cap = cap;
		b->next = arena->head;
		arena->head = b;
	}
	p = b->data + b->used;
	b->used += need;
	memset(p, 0, need);
	return p;
}

char *
pb_arena_strdup(struct pb_arena *arena, const char *src)
{
	return (char *)pb_arena_str(arena, src, strlen(src)).data;
}

struct pb_str
pb_arena_str(struct pb_arena *arena, const void *data, size_t len)
{
	struct pb_str s = PB_STR_NONE;
	char *p = pb_arena_alloc(arena, len + 1);

	if (p == NULL)
		return s;
	if (len > 0)
		memcpy(p, data, len);
	s.data = p;
	s.len = len;
	return s;
}
