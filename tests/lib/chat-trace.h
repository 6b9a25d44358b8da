#ifndef CHAT_TRACE_H
#define CHAT_TRACE_H

#include "poplarbeam/base.h"

/* A made-up trace of chats that resume after pauses, in four kinds. */

#define KINDS 4
#define ROUTERS 9 /* entry routers, over which calls are spread */
#define PER_TOKEN (33 * PB_MSEC)
#define PREFILL_PER_SEC 8000 /* prompt tokens */

struct trace_kind {
	const char *name;
	double share; /* of chats */
	uint32_t first; /* prompt tokens of the first turn */
	uint32_t next; /* new prompt tokens of later turns */
	uint32_t answer; /* tokens, mean */
	int turns; /* mean */
	int64_t gap; /* mean pause between turns */
};

extern const struct trace_kind trace_kinds[KINDS];

struct trace_call {
	int64_t at;
	uint64_t chat;
	int kind;
	int router;
	uint32_t reusable; /* prompt tokens of earlier turns */
	uint32_t prompt;
	uint32_t answer;
	uint32_t work;
	int node; /* where it runs, -1 for nowhere */
	bool waited;
	bool waits; /* in the cell's queue */
};

/*
 * Fills in the calls that come before end_us, in order of time; returns how
 * many. in_flight: calls in flight in the long run.
 */
uint32_t make_chat_trace(struct trace_call *calls, uint32_t cap, uint64_t seed,
    int64_t end_us, double in_flight);

#endif
