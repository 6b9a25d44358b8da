#ifndef STANDIN_LOAD_H
#define STANDIN_LOAD_H

#include "answer.h"

/*
 * The load tool: which requests it sends, how it checks their answers byte by
 * byte, and what it counts.
 */

#define LOAD_MIX_MAX 64
#define LOAD_TURNS_MAX                                        \
	16 /* turns of a chat until a new one takes its place \
	    */

/* Names with weights, of which one is drawn for each request. */
struct load_mix {
	char name[LOAD_MIX_MAX][96];
	double weight[LOAD_MIX_MAX];
	int count;
};

struct load_options {
	const char *const *routers; /* host:port */
	int router_count;
	double duration_sec;
	double rate; /* requests per second; 0: closed loop */
	int concurrency; /* closed loop, or most in flight in open loop */
	struct load_mix ranks;
	struct load_mix accounts; /* bearer keys */
	const char *model;
	int chats; /* chats that can return */
	double return_share; /* of the chat requests */
	double stream_share; /* of the chat requests */
	int words_min; /* answer length, max_tokens */
	int words_max;
	int system_bytes; /* first message of a chat */
	int prompt_bytes; /* each later message */
	const char *plain_path; /* NULL: no plain calls */
	double plain_share; /* of all requests */
	double key_share; /* of the plain calls: with Idempotency-Key */
	double timeout_sec;
	uint64_t seed;
};

enum load_outcome {
	LOAD_COMPLETE,
	LOAD_SHORT, /* a short answer shown as complete: a fault */
	LOAD_WRONG, /* a wrong byte: a fault */
	LOAD_REPEATED, /* a call that ran more than once: a fault */
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_FAILED, /* after the start */
	LOAD_TRANSPORT, /* no answer, and no outcome from a router */
	LOAD_REJECTED, /* another status, as for a wrong key */
	LOAD_OUTCOMES
};

const char *load_outcome_name(enum load_outcome outcome);
/* Parses "NAME" or "NAME=WEIGHT" into the mix. */
int load_add_mix(struct load_mix *mix, const char *text);

/* One request, from its plan to its outcome. Cleared by load_clear_call. */
struct load_call {
	bool plain;
	bool stream;
	bool returning; /* a chat that was here before */
	int rank; /* index in the mix */
	int account;
	int chat; /* slot, or -1 */
	unsigned int words; /* of the whole answer */
	char chat_key[48];
	char key[48]; /* Idempotency-Key, or empty */
	char path[160];
	struct pb_buf prompt; /* last user message */
	struct pb_buf body;
	/* The answer so far. */
	struct pb_buf answer; /* not yet checked bytes, or the whole body */
	size_t checked; /* bytes of text that were right */
	bool wrong;
	bool repeated;
	bool done; /* the end of the answer was seen */
	bool error_event;
	char outcome[16]; /* X-Poplarbeam-Outcome */
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t sent_us;
	int64_t first_us; /* first token; 0: none yet */
	int64_t last_us; /* newest token */
};

/* load-plan.c */
struct load_plan;

struct load_plan *load_new_plan(const struct load_options *options);
void load_drop_plan(struct load_plan *plan);
/* Fills in the next request; PB_ENOMEM. */
int load_next_call(struct load_plan *plan, struct load_call *call);
/* Lets the chat go on, by a turn when the answer was complete. */
void load_end_call(
    struct load_plan *plan, const struct load_call *call, bool complete);
/* Uniform in [0, 1), from the plan's seed. */
double load_plan_unit(struct load_plan *plan);
void load_clear_call(struct load_call *call);

/* load-check.c */
/* Called with the time between tokens. */
typedef void load_gap_fn(void *arg, int64_t us);

/* Takes in a part of the body of a status 200 answer. */
void load_feed(struct load_call *call, const char *data, size_t len,
    int64_t now_us, load_gap_fn *fn, void *arg);
/* Judges a call that ended; whole: the transfer ended as announced. */
enum load_outcome load_judge(struct load_call *call, int status, bool whole);

/* load-stats.c */
struct load_stats;

struct load_stats *load_new_stats(const struct load_options *options);
void load_drop_stats(struct load_stats *stats);
void load_note_gap(struct load_stats *stats, int rank, int64_t us);
void load_note_call(struct load_stats *stats, const struct load_call *call,
    enum load_outcome outcome, int64_t now_us);
/* A request that was due but would have been over the bound in flight. */
void load_note_skipped(struct load_stats *stats);
/* Answers that break a promise. */
uint64_t load_count_faults(const struct load_stats *stats);
/* The summary, as one line per rank or as one JSON object. */
void load_print_stats(const struct load_stats *stats, FILE *file, bool json);

#endif
