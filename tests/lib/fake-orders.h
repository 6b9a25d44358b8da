#ifndef FAKE_ORDERS_H
#define FAKE_ORDERS_H

#include "poplarbeam/lease.h"

/* In-memory upstreams that accept orders, named "u0", "u1" and so on. */

#define FAKE_UPSTREAMS 4
#define FAKE_LATE_ORDERS_MAX 32

struct fake_upstream {
	bool ignores_fence; /* accepts any order and reports fence 0 */
	bool down; /* every call fails with PB_EUNAVAIL */
	bool discards_orders; /* confirms orders but does not apply them */
	bool set; /* an order was accepted */
	uint64_t fence; /* highest accepted, even if ignores_fence is set */
	char desired[64];
	uint64_t stale; /* orders accepted although their fence was lower */
	uint64_t refused; /* orders refused because of their fence */
};

struct fake_late_order {
	bool used;
	int upstream;
	uint64_t fence;
	char desired[64];
};

struct fake_orders {
	struct pb_orders base;
	struct fake_upstream upstreams[FAKE_UPSTREAMS];
	struct fake_late_order late[FAKE_LATE_ORDERS_MAX];
	uint64_t puts;
	double lose_chance; /* probability that the response of a put is lost */
	double postpone_chance; /* probability that a put is applied late */
	struct pb_random rnd;
	/* Called before a put takes effect; may be NULL. */
	void (*step)(void *arg);
	void *step_arg;
};

void fake_init_orders(struct fake_orders *fake);
/* Applies each late order with the given probability. */
void fake_apply_late_orders(struct fake_orders *fake, double chance);

#endif
