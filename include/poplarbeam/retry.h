#ifndef POPLARBEAM_RETRY_H
#define POPLARBEAM_RETRY_H

#include "poplarbeam/base.h"

/*
 * Decides whether a failed attempt may be retried. All functions are thread
 * safe except those of struct pb_retry_window.
 */

struct pb_retry_budget;

/*
 * A token bucket. share: retries that each first attempt adds; burst: maximum
 * number of unused retries. A new budget is full, so retries never exceed
 * share x first attempts + burst.
 */
struct pb_retry_budget *pb_new_retry_budget(
    struct pb_context *ctx, double share, double burst);
void pb_drop_retry_budget(
    struct pb_context *ctx, struct pb_retry_budget *budget);
void pb_set_retry_policy(
    struct pb_retry_budget *budget, double share, double burst);
void pb_note_first_attempt(struct pb_retry_budget *budget);
/* Takes one retry from the budget. Returns false if none is left. */
bool pb_take_retry(struct pb_retry_budget *budget);

/* State of a request after a failed attempt. */
struct pb_attempt {
	/* No byte reached an upstream, or it reported that nothing ran. */
	bool not_run;
	bool idempotent;
	bool delivered; /* response bytes were sent to the caller */
	bool resumable; /* the stream can be resumed at the upstream */
	bool contained; /* the request is known to crash upstreams */
	int tries; /* attempts made so far */
	int64_t remaining_us; /* time until the request's deadline */
};

enum pb_retry_decision {
	PB_RETRY_AGAIN, /* send the request again from the start */
	PB_RETRY_RESUME, /* resume the stream where it broke */
	PB_RETRY_NOT_RUN, /* report that the request did not run */
	PB_RETRY_UNKNOWN, /* report that the outcome is unknown */
	PB_RETRY_FAILED /* report a failure after the response began */
};

/*
 * Decides how to proceed after a failed attempt. PB_RETRY_AGAIN takes one retry
 * from the budget; PB_RETRY_RESUME causes no second run and takes none.
 */
enum pb_retry_decision pb_decide_retry(
    struct pb_retry_budget *budget, const struct pb_attempt *attempt);

/*
 * A retry budget over a sliding window: retries never exceed ratio x first
 * attempts + slack in any window. Not thread safe; time comes from the
 * context's clock.
 */
struct pb_retry_window;

struct pb_retry_window *pb_new_retry_window(
    struct pb_context *ctx, int64_t span_us, double ratio, double slack);
void pb_drop_retry_window(
    struct pb_context *ctx, struct pb_retry_window *window);
/* Changes the number of retries allowed above the ratio. */
void pb_set_window_slack(struct pb_retry_window *window, double slack);
void pb_note_window_request(
    struct pb_context *ctx, struct pb_retry_window *window);
/* Takes one retry from the window. Returns false if none is left. */
bool pb_take_window_retry(
    struct pb_context *ctx, struct pb_retry_window *window);

/*
 * Returns the delay before the next attempt in microseconds, with jitter from
 * rnd. tries: attempts made so far.
 */
int64_t pb_retry_delay(int tries, struct pb_random *rnd);

#endif
