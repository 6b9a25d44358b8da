#ifndef STANDIN_LOAD_H
#define STANDIN_LOAD_H

#include "answer.h"

/*
 * Parts of the load generator: generation of requests, byte-by-byte check of
 * the answers, and statistics. A plain call is a POST request to the plain
 * application, other than a chat request.
 */

#define LOAD_MIX_MAX 64
/* Maximum turns of a chat; after them its slot only serves a new chat. */
#define LOAD_TURNS_MAX 16

/* Weighted names; each request uses one, drawn at random by weight. */
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
	int concurrency; /* requests in flight; the maximum in an open loop */
	struct load_mix ranks;
	struct load_mix accounts; /* bearer keys */
	const char *model;
	int chats; /* number of chats that can return */
	double return_share; /* share of chat requests in an earlier chat */
	double stream_share; /* share of chat requests with streaming */
	int words_min; /* shortest answer, sent as max_tokens */
	int words_max;
	int system_bytes; /* size of the system message */
	int prompt_bytes; /* size of each user message */
	const char *plain_path; /* NULL: no plain calls */
	double plain_share; /* share of plain calls in all requests */
	double key_share; /* share of plain calls with Idempotency-Key */
	double timeout_sec;
	uint64_t seed;
};

enum load_outcome {
	LOAD_COMPLETE,
	LOAD_SHORT, /* truncated, but reported as complete: a fault */
	LOAD_WRONG, /* wrong bytes or malformed: a fault */
	LOAD_REPEATED, /* the call ran more than once: a fault */
	LOAD_NOT_RUN, /* a router reported that the call did not run */
	LOAD_UNKNOWN, /* a router reported that the call may have run */
	LOAD_FAILED, /* failed after the call or its answer started */
	LOAD_TRANSPORT, /* no status, or an incomplete error response */
	LOAD_REJECTED, /* other error response, as 401 for a wrong key */
	LOAD_OUTCOMES
};

const char *load_outcome_name(enum load_outcome outcome);
/* Adds "NAME" or "NAME=WEIGHT" to the mix; the default weight is 1. Returns
 * PB_EINVAL when the text is invalid or the mix is full. */
int load_add_to_mix(struct load_mix *mix, const char *text);

/* One request and the state of its answer; freed by load_clear_call. */
struct load_call {
	bool plain;
	bool stream;
	bool returning; /* continues an earlier chat */
	int rank; /* index into the ranks of the options */
	int account; /* index into the accounts of the options */
	int chat; /* slot in the plan, or -1 */
	unsigned int words; /* length of the complete answer */
	char chat_key[48];
	char key[48]; /* Idempotency-Key, or empty */
	char path[160];
	struct pb_buf prompt; /* last user message */
	struct pb_buf body;
	/* State of the answer. */
	struct pb_buf answer; /* unparsed part of a stream, or the whole body */
	size_t checked; /* number of correct bytes of text */
	bool wrong;
	bool repeated;
	bool done; /* the end of the answer was received */
	bool error_event;
	char outcome[16]; /* value of X-Poplarbeam-Outcome */
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t sent_us;
	int64_t first_us; /* arrival of the first token; 0: none yet */
	int64_t last_us; /* arrival of the last token */
};

/* load-plan.c */
struct load_plan;

struct load_plan *load_new_plan(const struct load_options *options);
void load_drop_plan(struct load_plan *plan);
/* Fills in the next request; returns PB_OK or PB_ENOMEM. */
int load_next_call(struct load_plan *plan, struct load_call *call);
/* Makes the chat available again; its turn counts if the answer is complete. */
void load_end_call(
    struct load_plan *plan, const struct load_call *call, bool complete);
/* Returns the next random number in [0, 1) of the plan's generator. */
double load_next_uniform(struct load_plan *plan);
void load_clear_call(struct load_call *call);

/* load-check.c */
/* Called with the time between two tokens. */
typedef void load_gap_fn(void *arg, int64_t us);

/* Parses a part of the body of a response with status 200. */
void load_feed(struct load_call *call, const char *data, size_t len,
    int64_t now_us, load_gap_fn *fn, void *arg);
/* Returns the outcome of a finished call. transfer_ok: the transfer ended
 * without an error, with the announced length of the body. */
enum load_outcome load_classify_call(
    struct load_call *call, int status, bool transfer_ok);

/* load-stats.c */
struct load_stats;

struct load_stats *load_new_stats(const struct load_options *options);
void load_drop_stats(struct load_stats *stats);
void load_record_gap(struct load_stats *stats, int rank, int64_t us);
void load_record_call(struct load_stats *stats, const struct load_call *call,
    enum load_outcome outcome, int64_t now_us);
/* Counts a due request that was not sent because the maximum number of requests
 * was in flight. */
void load_count_skipped(struct load_stats *stats);
/* Returns the number of calls that ended with a fault: LOAD_SHORT, LOAD_WRONG
 * or LOAD_REPEATED. */
uint64_t load_count_faults(const struct load_stats *stats);
/* Prints the summary, as one line per rank and a total or as a JSON object. */
void load_print_stats(const struct load_stats *stats, FILE *file, bool json);

#endif
