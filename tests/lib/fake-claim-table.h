#ifndef FAKE_CLAIM_TABLE_H
#define FAKE_CLAIM_TABLE_H

#include "poplarbeam/platform.h"

/*
 * An in-memory table service with injected faults, either scripted or drawn at
 * random from a seed.
 */

enum fake_fault {
	FAKE_NONE,
	FAKE_UNAVAILABLE, /* returns PB_EUNAVAIL, no effect */
	FAKE_BUSY, /* returns PB_EBUSY, no effect */
	FAKE_LOSE_RESPONSE, /* takes effect, returns PB_EUNKNOWN */
	FAKE_LOSE_REQUEST, /* no effect, returns PB_EUNKNOWN */
	FAKE_LATE, /* returns PB_EUNKNOWN, takes effect some calls later */
	FAKE_FAULT_COUNT
};

#define FAKE_ROWS 128
#define FAKE_LATE_MAX 16

struct fake_late_commit {
	bool used;
	uint64_t due_call; /* number of the call before which it is applied */
	char key[160];
	uint64_t version;
	struct pb_buf value;
};

struct fake_claim_table {
	struct pb_table base;
	struct pb_manual_clock *clock;
	struct pb_row rows[FAKE_ROWS];
	size_t count;
	uint64_t version;
	uint64_t calls;
	uint64_t commits;
	int64_t slow_us; /* added to the clock by each call */
	bool down; /* every call fails with PB_EUNAVAIL */
	/* Faults of the next commits, in order; used before random faults. */
	enum fake_fault script[8];
	size_t script_len;
	double chance[FAKE_FAULT_COUNT]; /* probability per call, 0 to 1 */
	struct pb_random rnd;
	struct fake_late_commit late[FAKE_LATE_MAX];
	/* Apply late commits only in fake_apply_late_commits. */
	bool hold_late;
	/*
	 * Called before each call takes effect and again before it returns.
	 * False means that the calling router has crashed: the call then
	 * returns PB_EINVAL, and has no effect if step failed the first time.
	 */
	bool (*step)(void *arg);
	void *step_arg;
};

void fake_init_claims(
    struct fake_claim_table *fake, struct pb_manual_clock *clock);
void fake_clear_claims(struct fake_claim_table *fake);
/* Applies all late commits; each takes effect if its check still holds. */
void fake_apply_late_commits(struct fake_claim_table *fake);
struct pb_row *fake_find_claim(struct fake_claim_table *fake, const char *key);

#endif
