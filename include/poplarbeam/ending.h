#ifndef POPLARBEAM_ENDING_H
#define POPLARBEAM_ENDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * How a request ends: what its caller is told for each reason, given what is
 * known of the request. Uses no sockets.
 */

enum pb_end_reason {
	PB_END_COMPLETE, /* the upstream's successful response */
	PB_END_UPSTREAM_ANSWER, /* the upstream's response of another status */
	PB_END_CALLER_LEFT,
	PB_END_NO_MEMORY,
	PB_END_NO_ATTEMPT_LEFT,
	PB_END_CRASHING_REQUEST,
	PB_END_CRASHING_PART,
	PB_END_NO_INSTANCE,
	PB_END_BROKEN,
	PB_END_ATTEMPT_FAILED,
	PB_END_TOO_LONG,
	PB_END_BUFFER_LIMIT,
	PB_END_SLOW_CALLER, /* did not read its response */
	PB_END_DRIBBLING,
	PB_END_NOT_SENT,
	PB_END_TIMEOUT,
	PB_END_NO_ROOM,
	PB_END_NO_ROOM_IN_TIME,
	PB_END_ALL_PAUSED,
	PB_END_STOPPING,
	PB_END_REASONS /* number of reasons */
};

/* What is known of a request when it ends. */
struct pb_end_state {
	bool has_caller; /* the caller's connection is open */
	bool may_have_run; /* an upstream may have begun to run it */
	bool answer_begun; /* part of a response was sent to the caller */
};

enum pb_end_action {
	PB_END_NOTHING, /* nobody waits for an answer */
	PB_END_FORWARD, /* send the upstream's response */
	PB_END_SEND_STATUS,
	/* Close the connection: the response that has begun is not whole. */
	PB_END_CLOSE
};

struct pb_ending {
	enum pb_end_action action;
	/*
	 * The status that tells most of the request, also if it is not sent; 0:
	 * that of the upstream or of the part that was sent. 503 means that the
	 * request has not run, 502 and 504 that it may have.
	 */
	int status;
};

/* What a request or its response holds when too much is buffered. */
struct pb_holder {
	bool unread; /* part of its response waits for its caller to read */
	bool may_have_run; /* an upstream may have begun to run it */
	int rank; /* priority of the request; 0: highest */
	int64_t account_bytes; /* held by all requests of its client account */
	int64_t bytes;
};

/*
 * Returns true if a is ended rather than b to free memory: unread responses go
 * first, and of other requests those that have not run; then the least urgent
 * ones, then those of the account that holds most, then the largest.
 */
bool pb_ends_before(const struct pb_holder *a, const struct pb_holder *b);

/*
 * Returns the fraction of the buffer limit up to which a request body may fill
 * the buffers. Part of the limit is kept for short bodies and part for requests
 * of more urgent ranks. rank: 0 (most urgent) to rank_count - 1.
 */
double pb_find_body_share(size_t len, int rank, int rank_count);

/* A stream that is held is read again below this length of unsent output. */
#define PB_RESUME_UNSENT 16384 /* bytes */

/* Returns true if more is unsent than a caller that keeps up leaves unsent. */
bool pb_is_read_slowly(size_t unsent);

/*
 * Returns true if a router must not read more of a streamed response while
 * unsent bytes of it wait for the caller. held: it does not read now.
 */
bool pb_must_hold(size_t unsent, bool held);

/* How a router has read the response of one attempt. Times in microseconds. */
struct pb_backpressure {
	int64_t held_us; /* not read since then; 0: it is read */
	int64_t longest_us; /* longest time that it was not read */
	int64_t resumed_us; /* when it was last read again; 0: never held */
};

void pb_note_hold(struct pb_backpressure *pressure, int64_t now_us);
void pb_note_resume(struct pb_backpressure *pressure, int64_t now_us);
/*
 * Returns true if an upstream that breaks the connection now may have done so
 * because its response was not read. That is not its failure.
 */
bool pb_is_unread_break(const struct pb_backpressure *pressure, int64_t now_us);

/*
 * Returns when a refused caller may retry, in microseconds from now; 0: after a
 * short random time. left_us: time until this router accepts the request again,
 * 0 if unknown. stopping: the router stops, so that another one is asked next.
 */
int64_t pb_choose_retry_after(
    enum pb_end_reason reason, bool stopping, int64_t left_us);

struct pb_ending pb_decide_ending(
    enum pb_end_reason reason, const struct pb_end_state *state);
/* Returns the text of the reason for the log and the metrics. */
const char *pb_end_reason_text(enum pb_end_reason reason);

#endif
