#include "poplarbeam/order.h"

#include "poplarbeam/base.h"

/* Largest failure domain in which all routers follow the first one. */
#define STAR_MAX 32 /* routers */
/* Routers that follow one router in larger domains, at least. */
#define WIDTH_MIN 8
/*
 * Time in which a router that starts waits for a peer that is starting as well.
 * When a fleet starts for the first time, nothing calls it yet. Later, callers
 * wait, and reading the store takes less than a second.
 */
#define FIRST_START_LIMIT_US (3 * PB_SEC)
#define RESTART_LIMIT_US (400 * PB_MSEC)
/*
 * Total time spent at start on peers that do not answer. Routers that are gone
 * may stay in the list of routers. The first router can do without the others.
 */
#define SILENCE_LIMIT_US PB_SEC
#define FIRST_SILENCE_LIMIT_US (200 * PB_MSEC)

size_t
pb_order_width(size_t count)
{
	size_t width = WIDTH_MIN;

	if (count <= STAR_MAX)
		return count;
	/* Two levels suffice: each level adds to the age of the data. */
	while (1 + width + width * width < count)
		width++;
	return width;
}

int
pb_order_levels(size_t count)
{
	return count <= STAR_MAX ? 1 : 2;
}

size_t
pb_order_parent(size_t position, size_t count)
{
	return position == 0 ? 0 : (position - 1) / pb_order_width(count);
}

bool
pb_is_too_far(unsigned int hops, size_t count)
{
	return hops > (unsigned int)pb_order_levels(count) + 1;
}

enum pb_start_step
pb_decide_start(const struct pb_start_facts *facts)
{
	int64_t limit =
	    facts->peer_precedes ? SILENCE_LIMIT_US : FIRST_SILENCE_LIMIT_US;

	if (facts->elapsed_us >=
	    (facts->first_start ? FIRST_START_LIMIT_US : RESTART_LIMIT_US))
		return PB_START_READ_STORE;
	if (!facts->peer_is_starting)
		return facts->silent_us < limit ? PB_START_NEXT_PEER
						: PB_START_READ_STORE;
	/* The rows of routers that precede the peer may be missing. */
	if (facts->awaits_rows)
		return PB_START_AWAIT_ROWS;
	/* Without a reader of the store, the peer may be waiting for this. */
	return facts->peer_precedes || facts->peer_has_source
	    ? PB_START_WAIT
	    : PB_START_READ_STORE;
}
