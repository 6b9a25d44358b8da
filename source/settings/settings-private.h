#ifndef SETTINGS_PRIVATE_H
#define SETTINGS_PRIVATE_H

#include "poplarbeam/settings.h"

/*
 * Internals of the settings module: the node tree of a parsed YAML document and
 * the field tables that it is checked against.
 */

enum pb_yaml_node_kind {
	PB_NODE_SCALAR,
	PB_NODE_LIST,
	PB_NODE_MAP
};

/* A YAML value, allocated in the checker's arena. */
struct pb_yaml_node {
	enum pb_yaml_node_kind kind;
	int line;
	struct pb_str text; /* value of a scalar, NUL-terminated */
	struct pb_str key; /* key of a value in a map, NUL-terminated */
	struct pb_yaml_node *next; /* next value of the same list or map */
	struct pb_yaml_node *first; /* values of this list or map */
	struct pb_yaml_node *last;
};

/*
 * Location of the declaration of a service or an account, for messages. Items
 * copied from an older snapshot have their team as the file, and line 0.
 */
struct pb_origin {
	const char *file;
	int line;
};

/* State of one pb_parse_settings call. */
struct pb_checker {
	struct pb_context *ctx;
	struct pb_arena *arena;
	struct pb_settings_report *report;
	struct pb_settings *settings;
	const char *file; /* document that is being checked */
	const char *team; /* empty for the fleet's document */
	bool no_memory;

	struct pb_service service_default;
	struct pb_account account_default;
	bool has_default_inner_limit; /* set in defaults.service */
	struct pb_yaml_node *teams; /* list of team names, or NULL */
	struct pb_origin *service_origin; /* same indices as services */
	struct pb_origin *account_origin; /* same indices as accounts */
	int service_cap;
	int account_cap;
};

/* Adds "file:line: path: message" to the report. */
void pb_report_fault(struct pb_checker *c, int line, const char *path,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Truncated, printable copy of document text, for messages. */
struct pb_excerpt {
	char text[44];
};

struct pb_excerpt pb_format_excerpt(struct pb_str text);

/*
 * Parses one document. Returns NULL if it is empty, has a fault or memory runs
 * out.
 */
struct pb_yaml_node *pb_load_yaml(struct pb_checker *c, struct pb_str text);

enum pb_field_type {
	PB_FIELD_NODE, /* checked by the caller */
	PB_FIELD_NAME, /* char[48] */
	PB_FIELD_BOOL, /* bool */
	PB_FIELD_INT, /* int or uint32_t */
	PB_FIELD_NUMBER, /* double, without a unit */
	PB_FIELD_SHARE, /* double 0..1, "20%" */
	PB_FIELD_DURATION, /* int64_t microseconds, "250ms" */
	PB_FIELD_SECONDS, /* double seconds, "250ms" */
	PB_FIELD_SIZE, /* uint64_t bytes, "1MiB" */
	PB_FIELD_RATE /* double bytes per second, "2KB/s" */
};

/* A key of a map. min and max are in the unit of the stored value. */
struct pb_field {
	const char *key;
	enum pb_field_type type;
	size_t offset;
	double min;
	double max;
};

#define PB_FIELDS_MAX 24

/*
 * Checks a map against its fields and stores the values in the struct at base.
 * Sets found[i] to the node of field i, or to NULL if the field is missing.
 * Returns false if node is not a map.
 */
bool pb_read_fields(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, const struct pb_field *fields, size_t count, void *base,
    const struct pb_yaml_node **found);

/* Returns true if node is a list, and reports a fault otherwise. */
bool pb_check_list(
    struct pb_checker *c, const struct pb_yaml_node *node, const char *path);
/* Returns the index of the rank named by node, or -1 after a fault. */
int pb_read_rank(
    struct pb_checker *c, const struct pb_yaml_node *node, const char *path);

/*
 * Adds an uninitialised item. Returns NULL after a fault or if memory runs out.
 */
struct pb_service *pb_add_service(
    struct pb_checker *c, const char *file, int line);
struct pb_account *pb_add_account(
    struct pb_checker *c, const char *file, int line);
/* Adds the older snapshot's items of teams without a document in texts. */
void pb_copy_unchanged_teams(struct pb_checker *c,
    const struct pb_settings *old, const struct pb_settings_text *texts,
    size_t count);

void pb_set_fleet_defaults(struct pb_checker *c);
void pb_check_fleet(struct pb_checker *c, const struct pb_yaml_node *root);
/* Reads orders and fencing of a service; either node may be NULL. */
void pb_check_orders(struct pb_checker *c, const struct pb_yaml_node *orders,
    const struct pb_yaml_node *fencing, const char *path, struct pb_service *v);
void pb_check_team(struct pb_checker *c, const struct pb_yaml_node *root);
/* Reads defaults.service and defaults.account. */
void pb_check_defaults(
    struct pb_checker *c, const struct pb_yaml_node *node, const char *path);
/*
 * Checks that names, path prefixes and keys are unique over all teams, and
 * sorts the services and accounts.
 */
void pb_check_unique(struct pb_checker *c);

#endif
