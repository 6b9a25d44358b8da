#ifndef FAKE_CLAIM_TABLE_H
#define FAKE_CLAIM_TABLE_H

#include "poplarbeam/platform.h"

/* The table port in memory, with faults that are chosen or drawn by seed. */

enum fake_fault {
	FAKE_NONE,
	FAKE_REFUSE, /* PB_EUNAVAIL, no effect */
	FAKE_BUSY, /* PB_EBUSY, no effect */
	FAKE_LOSE, /* takes effect, PB_EUNKNOWN */
	FAKE_DROP, /* no effect, PB_EUNKNOWN */
	FAKE_LATE, /* PB_EUNKNOWN, takes effect some calls later */
	FAKE_FAULTS
};

#define FAKE_ROWS 128
#define FAKE_LATE_MAX 16

struct fake_late {
	bool used;
	uint64_t due_op;
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
	uint64_t ops;
	uint64_t commits;
	int64_t slow_us; /* added to the clock by each call */
	bool down; /* every call is refused */
	/* Faults of the next commits, in order, before random ones. */
	enum fake_fault script[8];
	size_t script_len;
	double chance[FAKE_FAULTS]; /* per call, drawn from rnd */
	struct pb_random rnd;
	struct fake_late late[FAKE_LATE_MAX];
	bool hold_late; /* late commits wait for fake_land_late */
	/*
	 * Called before a call and between its effect and its answer; false
	 * when the calling router has died, whose calls have no effect.
	 */
	bool (*step)(void *arg);
	void *step_arg;
};

void fake_init_claims(
    struct fake_claim_table *fake, struct pb_manual_clock *clock);
void fake_clear_claims(struct fake_claim_table *fake);
/* Lets every late commit take effect now. */
void fake_land_late(struct fake_claim_table *fake);
struct pb_row *fake_find_claim(struct fake_claim_table *fake, const char *key);

#endif
