#include "cell-internal.h"

#include <stdlib.h>

#define BUCKETS_MIN 256

static struct request **
bucket_of(struct request **buckets, uint32_t count, uint64_t id)
{
	return &buckets[pb_hash_pair(id, 0) & (count - 1)];
}

/*
 * Doubles the number of buckets. When memory runs out, the present buckets stay
 * and their chains get longer.
 */
static void
grow_buckets(struct pb_cell *cell)
{
	uint32_t count =
	    cell->bucket_count > 0 ? cell->bucket_count * 2 : BUCKETS_MIN;
	struct request **buckets = calloc(count, sizeof(struct request *));
	struct request *rq, *next, **link;
	uint32_t i;

	if (buckets == NULL)
		return;
	for (i = 0; i < cell->bucket_count; i++) {
		for (rq = cell->buckets[i]; rq != NULL; rq = next) {
			next = rq->chain;
			link = bucket_of(buckets, count, rq->work.id);
			rq->chain = *link;
			*link = rq;
		}
	}
	free(cell->buckets);
	cell->buckets = buckets;
	cell->bucket_count = count;
}

struct request *
pb_find_request(struct pb_cell *cell, uint64_t id)
{
	struct request *rq;

	if (cell->bucket_count == 0)
		return NULL;
	rq = *bucket_of(cell->buckets, cell->bucket_count, id);
	while (rq != NULL && rq->work.id != id)
		rq = rq->chain;
	return rq;
}

struct request *
pb_add_request(struct pb_cell *cell, const struct pb_work *work)
{
	struct request *rq, **link;

	if (cell->request_count >= cell->bucket_count)
		grow_buckets(cell);
	if (cell->bucket_count == 0)
		return NULL;
	rq = calloc(1, sizeof(*rq));
	if (rq == NULL)
		return NULL;
	rq->work = *work;
	link = bucket_of(cell->buckets, cell->bucket_count, work->id);
	rq->chain = *link;
	*link = rq;
	cell->request_count++;
	return rq;
}

void
pb_free_request(struct pb_cell *cell, struct request *rq)
{
	struct request **link =
	    bucket_of(cell->buckets, cell->bucket_count, rq->work.id);

	while (*link != rq)
		link = &(*link)->chain;
	*link = rq->chain;
	cell->request_count--;
	free(rq);
}

void
pb_link_running(struct pb_cell *cell, struct request *rq)
{
	rq->running = true;
	rq->prev = NULL;
	rq->next = cell->running;
	if (rq->next != NULL)
		rq->next->prev = rq;
	cell->running = rq;
	cell->in_flight++;
}

void
pb_unlink_running(struct pb_cell *cell, struct request *rq)
{
	if (rq->next != NULL)
		rq->next->prev = rq->prev;
	if (rq->prev != NULL)
		rq->prev->next = rq->next;
	else
		cell->running = rq->next;
	rq->running = false;
	cell->in_flight--;
}
