#include "poplarbeam/ending.h"

static enum pb_end_action
choose_action(enum pb_end_reason reason, const struct pb_end_state *state)
{
	if (reason == PB_END_CALLER_LEFT || !state->has_caller)
		return PB_END_NOTHING;
	if (reason == PB_END_COMPLETE || reason == PB_END_UPSTREAM_ANSWER)
		return PB_END_FORWARD;
	return state->answer_begun ? PB_END_CLOSE : PB_END_SEND_STATUS;
}

static int
choose_status(enum pb_end_reason reason, const struct pb_end_state *state)
{
	switch (reason) {
	case PB_END_COMPLETE:
	case PB_END_UPSTREAM_ANSWER:
	case PB_END_CALLER_LEFT:
		return 0;
	case PB_END_TIMEOUT:
	case PB_END_STOPPING:
		return state->may_have_run ? 504 : 503;
	default:
		return state->may_have_run ? 502 : 503;
	}
}

struct pb_ending
pb_decide_ending(enum pb_end_reason reason, const struct pb_end_state *state)
{
	struct pb_ending ending = {
	    choose_action(reason, state), choose_status(reason, state)};

	return ending;
}

const char *
pb_end_reason_text(enum pb_end_reason reason)
{
	static const char *const texts[PB_END_REASONS] = {
	    [PB_END_COMPLETE] = "complete",
	    [PB_END_UPSTREAM_ANSWER] = "upstream's answer",
	    [PB_END_CALLER_LEFT] = "caller left",
	    [PB_END_NO_MEMORY] = "out of memory",
	    [PB_END_NO_ATTEMPT_LEFT] = "no attempt left",
	    [PB_END_CRASHING_REQUEST] = "was in progress in several crashes",
	    [PB_END_CRASHING_PART] =
		"a prompt part was in progress in several crashes",
	    [PB_END_NO_INSTANCE] = "no instance",
	    [PB_END_BROKEN] = "connection broken",
	    [PB_END_ATTEMPT_FAILED] = "attempt failed",
	    [PB_END_TOO_LONG] = "too long",
	    [PB_END_BUFFER_LIMIT] = "too much is buffered",
	    [PB_END_SLOW_CALLER] = "caller reads too slowly",
	    [PB_END_DRIBBLING] = "no whole event for too long",
	    [PB_END_NOT_SENT] = "not sent in time",
	    [PB_END_TIMEOUT] = "timeout",
	    [PB_END_NO_ROOM] = "no room",
	    [PB_END_NO_ROOM_IN_TIME] = "no room in time",
	    [PB_END_ALL_PAUSED] = "all instances paused",
	    [PB_END_STOPPING] = "stopping",
	};

	return texts[reason];
}

bool
pb_ends_before(const struct pb_holder *a, const struct pb_holder *b)
{
	if (a->unread != b->unread)
		return a->unread;
	if (!a->unread && a->may_have_run != b->may_have_run)
		return b->may_have_run;
	if (a->rank != b->rank)
		return a->rank > b->rank;
	if (a->account_bytes != b->account_bytes)
		return a->account_bytes > b->account_bytes;
	return a->bytes > b->bytes;
}

int64_t
pb_choose_retry_after(enum pb_end_reason reason, bool stopping, int64_t left_us)
{
	/* All routers refuse crashing requests; pauses differ by router. */
	bool everywhere =
	    reason == PB_END_CRASHING_REQUEST || reason == PB_END_CRASHING_PART;

	return stopping && !everywhere ? 0 : left_us;
}
