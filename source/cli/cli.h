#ifndef CLI_H
#define CLI_H

#include "poplarbeam/base.h"

#include <argtable2.h>
#include <jansson.h>

/*
 * Commands of the tool "poplarbeam". They send HTTP requests to the operators'
 * interface of routers and write only to the streams out and err.
 */

enum pb_exit {
	PB_EXIT_OK = 0,
	PB_EXIT_USAGE = 1, /* wrong usage, or no such object */
	PB_EXIT_INVALID = 2, /* the settings do not validate */
	PB_EXIT_CONFLICT = 3, /* another change was stored first */
	PB_EXIT_UNAVAILABLE = 4, /* router or table service unavailable */
	PB_EXIT_TIMEOUT = 5 /* not in force on all live routers in time */
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

/* Runs a command; argv[0] is its name. Returns an enum pb_exit. */
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
 * Parses argv with an argtable that ends with end. Returns true if the command
 * is to run; otherwise prints help or an error and sets *code to the exit code.
 */
bool pb_parse_args(struct pb_cli *cli, const struct pb_common_args *common,
    int argc, char **argv, void **table, struct arg_end *end, const char *about,
    int *code);

/* One HTTP request to a router and its response. */
struct pb_cli_call {
	char address[64]; /* host:port */
	const char *method;
	char *path; /* with query; owned by the call */
	struct pb_str body; /* JSON; not copied */
	int status; /* HTTP status, or 0 without a response */
	json_t *json; /* body of the response; NULL if none or not JSON */
	char error[160]; /* reason for a status of 0 */
};

/* Formats the path. Does not copy method and body; they must outlive call. */
void pb_init_call(struct pb_cli_call *call, const char *address,
    const char *method, struct pb_str body, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
void pb_clear_call(struct pb_cli_call *call);
/* Makes all calls concurrently; timeout is that of each, in microseconds. */
void pb_make_calls(struct pb_cli *cli, struct pb_cli_call *calls, size_t count,
    int64_t timeout);
/* Copies text to dst, percent-encoded for the query of a URL. */
void pb_escape_query(char *dst, size_t cap, const char *text);

/*
 * Returns PB_EXIT_OK if the response is a JSON object with status 200;
 * otherwise prints the error and returns the exit code for it.
 */
int pb_check_call(struct pb_cli *cli, const struct pb_cli_call *call);
/* Sends a GET to one router. On PB_EXIT_OK, the caller owns *json. */
int pb_get_json(
    struct pb_cli *cli, const char *router, const char *path, json_t **json);

/* Routers to call, with one call for each. */
struct pb_targets {
	size_t count;
	struct pb_cli_call *calls; /* pb_list_targets sets only the address */
};

/*
 * Reads the operator addresses of all routers from the status of one router and
 * includes that router itself. With live, omits those that are down or leaving.
 */
int pb_list_targets(struct pb_cli *cli, const char *router, bool live,
    struct pb_targets *targets);
void pb_clear_targets(struct pb_targets *targets);

/* Returns a member of a response; "" or 0 if absent or of another type. */
const char *pb_json_text(const json_t *object, const char *key);
int64_t pb_json_int(const json_t *object, const char *key);
void pb_print_json(struct pb_cli *cli, json_t *object);

/* Writes "2026-01-31T10:20:30.123456Z". */
void pb_format_wall_time(char *dst, size_t cap, int64_t wall_us);
/* Appends a whole file to buf; on failure prints an error and returns false. */
bool pb_read_file(struct pb_cli *cli, const char *name, struct pb_buf *buf);

/* Appends a unified diff of two texts; nothing when they are equal. */
int pb_diff_lines(struct pb_str old_text, struct pb_str new_text,
    const char *old_name, const char *new_name, struct pb_buf *out);

#endif
