#include "poplarbeam/ending.h"

/* Long bodies may use this fraction of the limit; the rest is for short ones.
 */
#define LONG_BODY_SHARE 0.75
/* A longer body is long. */
#define SHORT_BODY_MAX 65536 /* bytes */
/* The least urgent rank leaves this fraction of the limit to the others. */
#define URGENT_SHARE 0.25

/* A stream with more unsent output is held. */
#define HOLD_UNSENT 65536 /* bytes */

/*
 * Upstreams end a response that is not read for some seconds. A shorter hold is
 * not taken for the cause of a break.
 */
#define UNREAD_MIN_US 1000000
/*
 * The end of a response that the upstream has given up is seen only after what
 * it sent before has been read.
 */
#define UNREAD_NOTICE_US 2000000

double
pb_find_body_share(size_t len, int rank, int rank_count)
{
	double share = len > SHORT_BODY_MAX ? LONG_BODY_SHARE : 1.0;

	if (rank_count < 2)
		return share;
	if (rank >= rank_count)
		rank = rank_count - 1;
	return share - URGENT_SHARE * rank / (rank_count - 1);
}

bool
pb_is_read_slowly(size_t unsent)
{
	return unsent > PB_RESUME_UNSENT;
}

bool
pb_must_hold(size_t unsent, bool held)
{
	return unsent > (held ? PB_RESUME_UNSENT : HOLD_UNSENT);
}

void
pb_note_hold(struct pb_backpressure *pressure, int64_t now_us)
{
	if (pressure->held_us == 0)
		pressure->held_us = now_us;
}

void
pb_note_resume(struct pb_backpressure *pressure, int64_t now_us)
{
	int64_t held;

	if (pressure->held_us == 0)
		return;
	held = now_us - pressure->held_us;
	if (held > pressure->longest_us)
		pressure->longest_us = held;
	pressure->held_us = 0;
	pressure->resumed_us = now_us;
}

bool
pb_is_unread_break(const struct pb_backpressure *pressure, int64_t now_us)
{
	if (pressure->held_us != 0)
		return now_us - pressure->held_us >= UNREAD_MIN_US;
	return pressure->longest_us >= UNREAD_MIN_US &&
	    now_us - pressure->resumed_us <= UNREAD_NOTICE_US;
}
