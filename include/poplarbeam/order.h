#ifndef POPLARBEAM_ORDER_H
#define POPLARBEAM_ORDER_H

/*
 * Decides which router of a failure domain follows which, and what a starting
 * router does. Uses no sockets.
 *
 * The routers of a domain are ordered by hash; position 0 reads the store. In
 * a small domain all others follow it; in a larger one they form two levels, so
 * that no router serves more than a few others.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Returns the maximum number of routers that follow one router. */
size_t pb_order_width(size_t count);
/* Returns the number of hops from the store's reader to the last router. */
int pb_order_levels(size_t count);
/*
 * Returns the position of the router that the one at position follows; 0 for
 * position 0, which follows none.
 */
size_t pb_order_parent(size_t position, size_t count);

/*
 * Returns true if the data passes through so many routers that it may become
 * too old. One hop more than intended is accepted: after a new first router has
 * joined, the former one follows it.
 */
bool pb_is_too_far(unsigned int hops, size_t count);

enum pb_start_step {
	PB_START_WAIT, /* poll the same peer again */
	PB_START_AWAIT_ROWS, /* read the list of routers again first */
	PB_START_NEXT_PEER,
	PB_START_READ_STORE
};

/* A poll at the start that brought no data. */
struct pb_start_facts {
	int64_t elapsed_us; /* since the list of routers is known */
	int64_t silent_us; /* time spent on peers that did not answer */
	bool peer_is_starting; /* according to its answer */
	bool peer_precedes; /* in the order of hashes */
	/* A starting peer reads the store or waits for one that does. */
	bool peer_has_source;
	bool awaits_rows; /* other routers may not have written their rows */
	bool first_start; /* the router was not in the list of routers */
};

enum pb_start_step pb_decide_start(const struct pb_start_facts *facts);

#endif
