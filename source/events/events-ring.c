#include "poplarbeam/events.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct pb_events {
	pthread_mutex_t lock;
	size_t cap;
	uint64_t next; /* sequence number of the next event */
	struct pb_event ring[];
};

struct pb_events *
pb_new_events(struct pb_context *ctx, size_t cap)
{
	struct pb_events *ev;

	(void)ctx;
	ev = calloc(1, sizeof(*ev) + cap * sizeof(ev->ring[0]));
	if (ev == NULL)
		return NULL;
	pthread_mutex_init(&ev->lock, NULL);
	ev->cap = cap;
	ev->next = 1;
	return ev;
}

void
pb_drop_events(struct pb_context *ctx, struct pb_events *events)
{
	(void)ctx;
	if (events == NULL)
		return;
	pthread_mutex_destroy(&events->lock);
	free(events);
}

void
pb_add_event(struct pb_context *ctx, struct pb_events *events, const char *step,
    const char *request, uint64_t chat, const char *upstream, const char *fmt,
    ...)
{
	struct pb_event e = {.wall_us = pb_wall_time(ctx), .chat = chat};
	va_list ap;

	pb_copy_str(e.step, sizeof(e.step), step);
	pb_copy_str(e.request, sizeof(e.request), request);
	pb_copy_str(e.upstream, sizeof(e.upstream), upstream);
	va_start(ap, fmt);
	vsnprintf(e.detail, sizeof(e.detail), fmt, ap);
	va_end(ap);
	pthread_mutex_lock(&events->lock);
	e.seq = events->next++;
	events->ring[e.seq % events->cap] = e;
	pthread_mutex_unlock(&events->lock);
}

static bool
matches(const struct pb_event *e, const struct pb_event_filter *f)
{
	if (f->after_seq != 0 && e->seq <= f->after_seq)
		return false;
	if (f->chat != 0 && e->chat != f->chat)
		return false;
	if (f->request != NULL && *f->request != '\0' &&
	    strcmp(e->request, f->request) != 0)
		return false;
	return f->upstream == NULL || *f->upstream == '\0' ||
	    strcmp(e->upstream, f->upstream) == 0;
}

size_t
pb_each_event(struct pb_events *events, const struct pb_event_filter *filter,
    void (*fn)(void *arg, const struct pb_event *event), void *arg)
{
	uint64_t seq, end;
	size_t n = 0;

	pthread_mutex_lock(&events->lock);
	end = events->next;
	pthread_mutex_unlock(&events->lock);
	seq = end > events->cap ? end - events->cap : 1;
	for (; seq < end; seq++) {
		struct pb_event e;

		pthread_mutex_lock(&events->lock);
		e = events->ring[seq % events->cap];
		pthread_mutex_unlock(&events->lock);
		/* The slot was overwritten after the scan began. */
		if (e.seq != seq || !matches(&e, filter))
			continue;
		fn(arg, &e);
		n++;
	}
	return n;
}
