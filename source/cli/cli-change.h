#ifndef CLI_CHANGE_H
#define CLI_CHANGE_H

#include "cli.h"

/* A change to send to a router, and whether to wait until it is in force. */
struct pb_cli_change {
	const char *router;
	const char *team;
	const char *author;
	const char *id; /* unique; a repeat of the same change keeps it */
	int64_t expect;
	struct pb_str text;
	bool wait;
	int64_t wait_us;
};

/* Options of the commands that make a change. */
struct pb_change_args {
	struct arg_str *team;
	struct arg_int *expect;
	struct arg_str *author;
	struct arg_str *id;
	struct arg_lit *wait;
	struct arg_int *wait_sec;
};

void pb_init_change_args(struct pb_change_args *args);
/* id receives a fresh change id when none was given. */
void pb_fill_change(struct pb_cli_change *change,
    const struct pb_change_args *args, char *id, size_t id_cap);

/* Sends the change, again with the same id when the outcome is not known. */
int pb_send_change(struct pb_cli *cli, const struct pb_cli_change *change);

/*
 * Polls all live routers until each reports the revision. *count receives the
 * number of routers, *took_us the time it took.
 */
int pb_wait_revision(struct pb_cli *cli, const char *router, int64_t revision,
    int64_t limit_us, size_t *count, int64_t *took_us);

#endif
