#ifndef FAKE_ORDERS_H
#define FAKE_ORDERS_H

#include "poplarbeam/lease.h"

/* Upstreams that take orders, in memory; "u0", "u1" and so on. */

#define FAKE_UPSTREAMS 4
#define FAKE_ORDERS_LATE 32

struct fake_upstream {
	bool ignores_fence; /* takes any order and reports number 0 */
	bool down; /* every call is refused */
	bool forgets; /* confirms orders without carrying them out */
	bool set;
	uint64_t fence; /* highest number taken, also when it is ignored */
	char desired[64];
	uint64_t stale; /* orders taken with a lower number than before */
	uint64_t refused; /* orders refused for their number */
};

struct fake_late_order {
	bool used;
	int upstream;
	uint64_t fence;
	char desired[64];
};

struct fake_orders {
	struct pb_orders base;
	struct fake_upstream up[FAKE_UPSTREAMS];
	struct fake_late_order late[FAKE_ORDERS_LATE];
	uint64_t puts;
	double lose; /* chance of an answer lost after the effect */
	double postpone; /* chance of an effect that comes later */
	struct pb_random rnd;
	void (*step)(void *arg); /* before a put takes effect; may be NULL */
	void *step_arg;
};

void fake_init_orders(struct fake_orders *fake);
/* Lets the late orders take effect, each with the given chance. */
void fake_land_orders(struct fake_orders *fake, double chance);

#endif
