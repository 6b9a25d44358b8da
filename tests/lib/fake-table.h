#ifndef FAKE_TABLE_H
#define FAKE_TABLE_H

#include "poplarbeam/platform.h"

/*
 * An in-memory table service with injected faults, for tests. The *_share
 * fields are probabilities per call, 0 to 1. Thread safe, except for changes of
 * the faults and the hooks.
 */

struct fake_faults {
	double fail_share; /* returns PB_EUNAVAIL, nothing is written */
	double busy_share; /* returns PB_EBUSY, nothing is written */
	double conflict_share; /* returns PB_ECONFLICT even if checks hold */
	double lose_share; /* returns PB_EUNKNOWN after the commit was tried */
	double delay_share; /* returns PB_EUNKNOWN; tried before a later call */
	/* All delayed commits are tried at the start of the call. */
	double apply_delayed_share;
	int64_t slow_us; /* each call takes this long on the context's clock */
	bool down; /* every call fails with PB_EUNAVAIL */
};

struct fake_table;

struct fake_table *fake_new_table(uint64_t seed);
/* Frees the table. The drop operation of the table calls it. */
void fake_drop_table(struct fake_table *fake);
struct pb_table *fake_table_port(struct fake_table *fake);
struct fake_faults *fake_table_faults(struct fake_table *fake);

/*
 * Sets a function that is called before each call, without the lock held. The
 * function may use the table.
 */
void fake_set_call_hook(
    struct fake_table *fake, void (*fn)(void *arg), void *arg);
/*
 * Sets a function that is called for each commit that takes effect, with the
 * lock held.
 */
void fake_set_commit_hook(struct fake_table *fake,
    void (*fn)(void *arg, const struct pb_table_commit *commit), void *arg);

/* Tries the delayed commits and returns the number that took effect. */
size_t fake_apply_delayed_commits(struct fake_table *fake);
/* Writes a row without checks or faults. */
void fake_put_row(struct fake_table *fake, const char *key, const char *value);
/* Returns the number of rows whose key begins with the prefix. */
size_t fake_count_rows(struct fake_table *fake, const char *prefix);
/* Returns the number of calls so far, including failed ones. */
uint64_t fake_count_calls(struct fake_table *fake);

#endif
