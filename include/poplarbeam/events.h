#ifndef POPLARBEAM_EVENTS_H
#define POPLARBEAM_EVENTS_H

#include "poplarbeam/base.h"

/*
 * A bounded ring of events per instance, from which the command-line tool
 * merges one time line over all processes. Safe for use from many threads.
 */

struct pb_event {
	uint64_t seq;
	int64_t wall_us;
	uint64_t chat; /* chat hash; 0 when not known */
	char request[36]; /* request id; empty when there is none */
	char upstream[32]; /* instance id of the upstream or peer */
	char step[20]; /* what happened: "received", "started", ... */
	char detail[96]; /* why, in words and numbers */
};

struct pb_events;

/* cap: events kept; the oldest one is overwritten. */
struct pb_events *pb_new_events(struct pb_context *ctx, size_t cap);
void pb_drop_events(struct pb_context *ctx, struct pb_events *events);

/* Stamps and stores one event; request and upstream may be NULL. */
void pb_add_event(struct pb_context *ctx, struct pb_events *events,
    const char *step, const char *request, uint64_t chat, const char *upstream,
    const char *fmt, ...) __attribute__((format(printf, 7, 8)));

/* What an event must match; empty and zero fields match all. */
struct pb_event_filter {
	const char *request;
	const char *upstream;
	uint64_t chat;
	uint64_t after_seq;
};

/* Calls fn for each matching event, oldest first; returns how many. */
size_t pb_each_event(struct pb_events *events,
    const struct pb_event_filter *filter,
    void (*fn)(void *arg, const struct pb_event *event), void *arg);

/* Appends the matching events to buf as a JSON array. */
int pb_format_events(struct pb_context *ctx, struct pb_events *events,
    const struct pb_event_filter *filter, struct pb_buf *buf);

#endif
