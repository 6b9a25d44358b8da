#ifndef CLI_H
#define CLI_H

#include "poplarbeam/base.h"

#include <argtable2.h>
#include <jansson.h>

/*
 * Commands of the tool "poplarbeam". They talk HTTP to the operators'
 * interface of routers and write to the given files only.
 */

enum pb_exit {
	PB_EXIT_OK = 0,
	PB_EXIT_USAGE = 1, /* usage, or there is no such object */
	PB_EXIT_INVALID = 2, /* the settings do not validate */
	PB_EXIT_CONFLICT = 3, /* another change was first */
	PB_EXIT_UNAVAILABLE = 4, /* no router or no table service */
	PB_EXIT_TIMEOUT = 5 /* not in force everywhere in time */
};

struct pb_cli {
	struct pb_context *ctx;
	FILE *out;
	FILE *err;
	bool json;
};

/* Runs one command line; argv[0] is the program. Returns an enum pb_exit. */
int pb_run_cli(
    struct pb_context *ctx, int argc, char **argv, FILE *out, FILE *err);

/* A command; argv[0] is its name. */
typedef int pb_command_fn(struct pb_cli *cli, int argc, char **argv);

pb_command_fn pb_run_validate;
pb_command_fn pb_run_apply;
pb_command_fn pb_run_rollback;
pb_command_fn pb_run_get;
pb_command_fn pb_run_history;
pb_command_fn pb_run_diff;
pb_command_fn pb_run_status;
pb_command_fn pb_run_drain;
pb_command_fn pb_run_timeline;
pb_command_fn pb_run_explain;
pb_command_fn pb_run_trace;

/* Options that most commands have. */
struct pb_common_args {
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_str *router; /* NULL for commands without a router */
};

void pb_init_common_args(struct pb_common_args *common, bool router);
/*
 * Parses argv with a table that ends with end. True to go on; otherwise
 * *code is the exit code, after help or a usage message was written.
 */
bool pb_parse_args(struct pb_cli *cli, const struct pb_common_args *common,
    int argc, char **argv, void **table, struct arg_end *end, const char *about,
    int *code);

/* One HTTP exchange with a router. */
struct pb_call {
	char address[64]; /* host:port */
	const char *method;
	char *path; /* with query; owned */
	struct pb_str body; /* borrowed; JSON */
	int status; /* 0: no answer */
	json_t *json; /* answer, or NULL */
	char error[160]; /* why there is no answer */
};

/* method and body are borrowed; the path is formatted and owned. */
void pb_init_call(struct pb_call *call, const char *address, const char *method,
    struct pb_str body, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
void pb_clear_call(struct pb_call *call);
/* Makes all calls at the same time. */
void pb_make_calls(
    struct pb_cli *cli, struct pb_call *calls, size_t count, int64_t timeout);
/* Appends text to buf in the form that a URL's query needs. */
void pb_escape_query(char *dst, size_t cap, const char *text);

/*
 * Writes what is wrong with a call and returns the exit code; PB_EXIT_OK when
 * it was answered with 200 and a JSON object.
 */
int pb_judge_call(struct pb_cli *cli, const struct pb_call *call);
/* GET on one router; *json is owned by the caller when PB_EXIT_OK. */
int pb_get_json(
    struct pb_cli *cli, const char *router, const char *path, json_t **json);

/* Addresses of the routers that the first one's status names. */
struct pb_targets {
	size_t count;
	struct pb_call *calls; /* GET /admin/v1/status or as initialised */
};

/*
 * Lists the routers' operator addresses, the asked one included. live: leave
 * out those that are down or leaving.
 */
int pb_list_targets(struct pb_cli *cli, const char *router, bool live,
    struct pb_targets *targets);
void pb_clear_targets(struct pb_targets *targets);

/* Members of answers, with a fallback when absent or of another type. */
const char *pb_json_text(const json_t *object, const char *key);
int64_t pb_json_int(const json_t *object, const char *key);
void pb_print_json(struct pb_cli *cli, json_t *object);

/* Writes "2026-01-31T10:20:30.123456Z". */
void pb_format_wall(char *dst, size_t cap, int64_t wall_us);
/* Reads a whole file; false after a message was written. */
bool pb_read_file(struct pb_cli *cli, const char *name, struct pb_buf *buf);

/* Appends the differences of two texts in the unified form. */
int pb_diff_lines(struct pb_str old_text, struct pb_str new_text,
    const char *old_name, const char *new_name, struct pb_buf *out);

#endif
