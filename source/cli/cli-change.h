#ifndef CLI_CHANGE_H
#define CLI_CHANGE_H

#include "cli.h"

/* A settings change to send to a router. */
struct pb_cli_change {
	const char *router;
	const char *team;
	const char *author;
	const char *id; /* unique change id; the same in a repeat */
	int64_t expect; /* revision that the change is based on; 0: new team */
	struct pb_str text;
	bool wait; /* wait until the change is in force on all live routers */
	int64_t wait_us; /* limit of the wait, microseconds */
};

/* Options of the commands "apply" and "rollback". */
struct pb_change_args {
	struct arg_str *team;
	struct arg_int *expect;
	struct arg_str *author;
	struct arg_str *id;
	struct arg_lit *wait;
	struct arg_int *wait_sec;
};

void pb_init_change_args(struct pb_change_args *args);
/*
 * Fills the change from the parsed options, except router and text. id receives
 * a new change id, which the change uses unless the options name one.
 */
void pb_fill_change(struct pb_cli_change *change,
    const struct pb_change_args *args, char *id, size_t id_cap);

/*
 * Sends the change, repeats it with the same id while its outcome is unknown,
 * and prints the result. Returns an enum pb_exit.
 */
int pb_send_change(struct pb_cli *cli, const struct pb_cli_change *change);

/*
 * Polls all live routers until each reports the revision or a newer one. *count
 * receives the number of routers, *elapsed_us the time waited. Returns
 * PB_EXIT_TIMEOUT when limit_us has passed.
 */
int pb_wait_revision(struct pb_cli *cli, const char *router, int64_t revision,
    int64_t limit_us, size_t *count, int64_t *elapsed_us);

#endif
