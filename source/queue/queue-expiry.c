#include "queue-internal.h"

#include <stdlib.h>

/* Binary heap of waiting items by expire_us. q->items is its length. */

int
queue_reserve_heap(struct pb_queue *q)
{
	size_t cap = q->heap_cap > 0 ? q->heap_cap * 2 : 64;
	struct pb_queue_item **heap;

	if (q->items < q->heap_cap)
		return PB_OK;
	heap = realloc(q->heap, cap * sizeof(struct pb_queue_item *));
	if (heap == NULL)
		return PB_ENOMEM;
	q->heap = heap;
	q->heap_cap = cap;
	return PB_OK;
}

static void
heap_set(struct pb_queue *q, size_t i, struct pb_queue_item *item)
{
	q->heap[i] = item;
	item->heap_index = i;
}

static void
sift_up(struct pb_queue *q, size_t i, struct pb_queue_item *item)
{
	while (i > 0 && q->heap[(i - 1) / 2]->expire_us > item->expire_us) {
		heap_set(q, i, q->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	heap_set(q, i, item);
}

static void
sift_down(struct pb_queue *q, size_t i, size_t len, struct pb_queue_item *item)
{
	size_t child;

	while ((child = 2 * i + 1) < len) {
		if (child + 1 < len &&
		    q->heap[child + 1]->expire_us < q->heap[child]->expire_us)
			child++;
		if (q->heap[child]->expire_us >= item->expire_us)
			break;
		heap_set(q, i, q->heap[child]);
		i = child;
	}
	heap_set(q, i, item);
}

void
queue_heap_add(struct pb_queue *q, struct pb_queue_item *item)
{
	sift_up(q, q->items, item);
}

void
queue_heap_remove(struct pb_queue *q, struct pb_queue_item *item)
{
	size_t len = q->items - 1, i = item->heap_index;
	struct pb_queue_item *last = q->heap[len];

	if (last == item)
		return;
	if (i > 0 && q->heap[(i - 1) / 2]->expire_us > last->expire_us)
		sift_up(q, i, last);
	else
		sift_down(q, i, len, last);
}

int64_t
pb_next_expiry(const struct pb_queue *queue)
{
	return queue->items > 0 ? queue->heap[0]->expire_us : INT64_MAX;
}

size_t
pb_expire_queue(struct pb_context *ctx, struct pb_queue *queue,
    void (*fn)(void *arg, struct pb_queue_item *item), void *arg)
{
	int64_t now = pb_now(ctx);
	size_t count = 0;

	while (queue->items > 0 && queue->heap[0]->expire_us <= now) {
		struct pb_queue_item *item = queue->heap[0];

		pb_remove_queue(ctx, queue, item);
		queue->expired++;
		count++;
		fn(arg, item);
	}
	return count;
}
