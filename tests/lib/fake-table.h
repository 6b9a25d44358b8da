#ifndef FAKE_TABLE_H
#define FAKE_TABLE_H

#include "poplarbeam/platform.h"

/*
 * A table service in memory with faults, for tests. Shares are chances per
 * call, 0 to 1. Safe for use from many threads, except for the settings of the
 * faults and the hooks.
 */

struct fake_faults {
	double fail_share; /* PB_EUNAVAIL, nothing is written */
	double busy_share; /* PB_EBUSY, nothing is written */
	double conflict_share; /* PB_ECONFLICT although the checks hold */
	double lose_share; /* written, but PB_EUNKNOWN */
	double delay_share; /* PB_EUNKNOWN; tried before a later call instead */
	double
	    settle_share; /* chance per call that delayed commits are tried */
	int64_t slow_us; /* each call takes this long on the context's clock */
	bool down; /* every call fails with PB_EUNAVAIL */
};

struct fake_table;

struct fake_table *fake_new_table(uint64_t seed);
/* Also reached through the drop function of the port. */
void fake_drop_table(struct fake_table *fake);
struct pb_table *fake_table_port(struct fake_table *fake);
struct fake_faults *fake_table_faults(struct fake_table *fake);

/* Called before each call, outside of the lock; it may use the table. */
void fake_set_before(struct fake_table *fake, void (*fn)(void *arg), void *arg);
/* Called for each commit that takes effect, under the lock. */
void fake_set_commit_hook(struct fake_table *fake,
    void (*fn)(void *arg, const struct pb_table_commit *commit), void *arg);

/* Tries the delayed commits now; returns how many took effect. */
size_t fake_settle_table(struct fake_table *fake);
/* Writes a row without checks or faults. */
void fake_put_row(struct fake_table *fake, const char *key, const char *value);
/* Rows whose key begins with the prefix. */
size_t fake_count_rows(struct fake_table *fake, const char *prefix);
/* Calls that reached the table, with those that failed. */
uint64_t fake_count_calls(struct fake_table *fake);

#endif
