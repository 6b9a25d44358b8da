#ifndef POPLARBEAM_EVENTS_H
#define POPLARBEAM_EVENTS_H

#include "poplarbeam/base.h"

/*
 * A bounded ring buffer of events in each process. The command-line tool merges
 * the events of all processes into one timeline. Safe for use by several
 * threads.
 */

struct pb_event {
	uint64_t seq;
	int64_t wall_us;
	uint64_t chat; /* hash of the chat; 0: not known */
	char request[36]; /* request id; empty when there is none */
	char upstream[32]; /* instance id of the upstream or peer */
	char step[20]; /* what happened: "received", "started", ... */
	char detail[96]; /* the reason and its figures, as text */
};

struct pb_events;

/* cap: number of events kept; a new event overwrites the oldest one. */
struct pb_events *pb_new_events(struct pb_context *ctx, size_t cap);
void pb_drop_events(struct pb_context *ctx, struct pb_events *events);

/*
 * Stores an event with a time and a sequence number; request and upstream may
 * be NULL.
 */
void pb_add_event(struct pb_context *ctx, struct pb_events *events,
    const char *step, const char *request, uint64_t chat, const char *upstream,
    const char *fmt, ...) __attribute__((format(printf, 7, 8)));

/* Selects events; a field that is NULL, empty or 0 matches every event. */
struct pb_event_filter {
	const char *request;
	const char *upstream;
	uint64_t chat;
	uint64_t after_seq;
};

/*
 * Calls fn for each matching event, oldest first; returns the number of calls.
 */
size_t pb_each_event(struct pb_events *events,
    const struct pb_event_filter *filter,
    void (*fn)(void *arg, const struct pb_event *event), void *arg);

/* Appends the matching events to buf as a JSON array. */
int pb_format_events(struct pb_context *ctx, struct pb_events *events,
    const struct pb_event_filter *filter, struct pb_buf *buf);

#endif
