#ifndef CHAT_TRACE_H
#define CHAT_TRACE_H

#include "poplarbeam/base.h"

/* A synthetic trace of chats of four kinds, with pauses between their turns. */

#define KINDS 4
#define ROUTERS 9 /* entry routers; each call enters at a random one */
#define TOKEN_TIME_US (33 * PB_MSEC) /* time to generate a token */
#define PREFILL_PER_SEC 8000 /* prompt tokens a node reads per second */

struct trace_kind {
	const char *name;
	double share; /* fraction of all chats */
	uint32_t first; /* prompt tokens of the first turn */
	uint32_t next; /* new prompt tokens of each later turn */
	uint32_t answer; /* mean tokens of an answer */
	int turns; /* mean turns of a chat */
	int64_t gap; /* mean pause between turns, microseconds */
};

extern const struct trace_kind trace_kinds[KINDS];

struct trace_call {
	int64_t at; /* arrival time, microseconds */
	uint64_t chat;
	int kind; /* index in trace_kinds */
	int router; /* entry router */
	uint32_t reusable; /* prompt tokens of earlier turns */
	uint32_t prompt; /* prompt tokens, with the reusable ones */
	uint32_t answer; /* tokens of the answer */
	uint32_t work; /* prompt tokens and mean answer tokens */
	int node; /* node that runs the call, -1 if none does */
	bool waited;
	bool waits; /* in the cell's queue */
};

/*
 * Generates the calls that arrive before end_us, at most cap of them, sorted by
 * arrival time. Returns their number. in_flight is the mean number of calls in
 * progress in the long run.
 */
uint32_t make_chat_trace(struct trace_call *calls, uint32_t cap, uint64_t seed,
    int64_t end_us, double in_flight);

#endif
