#include "poplarbeam/retry.h"

/*
 * Further attempts only add load: if several upstreams fail a request in a row,
 * the fault is seldom in one of them.
 */
#define TRIES_MAX 4

#define DELAY_FIRST (10 * PB_MSEC)
#define DELAY_MAX (1 * PB_SEC)

enum pb_retry_decision
pb_decide_retry(
    struct pb_retry_budget *budget, const struct pb_attempt *attempt)
{
	bool more = !attempt->contained && attempt->tries < TRIES_MAX &&
	    attempt->remaining_us > 0;

	/* A delivered byte proves that the request ran, despite not_run. */
	if (attempt->not_run && !attempt->delivered)
		return more && pb_take_retry(budget) ? PB_RETRY_AGAIN
						     : PB_RETRY_NOT_RUN;
	/*
	 * Resuming a stream causes no second run and takes no retry from the
	 * budget: if an owner router is lost, all of its streams must be able
	 * to resume.
	 */
	if (more && attempt->resumable)
		return PB_RETRY_RESUME;
	if (attempt->delivered)
		return PB_RETRY_FAILED;
	if (more && attempt->idempotent && pb_take_retry(budget))
		return PB_RETRY_AGAIN;
	return PB_RETRY_UNKNOWN;
}

int64_t
pb_retry_delay(int tries, struct pb_random *rnd)
{
	int64_t delay = DELAY_FIRST;
	int i;

	for (i = 1; i < tries && delay < DELAY_MAX; i++)
		delay *= 2;
	if (delay > DELAY_MAX)
		delay = DELAY_MAX;
	/* Jitter between 50% and 100% keeps retries from synchronizing. */
	return (int64_t)((double)delay * (0.5 + 0.5 * pb_next_uniform(rnd)));
}
