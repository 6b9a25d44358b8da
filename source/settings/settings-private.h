#ifndef SETTINGS_PRIVATE_H
#define SETTINGS_PRIVATE_H

#include "poplarbeam/settings.h"

/*
 * Inside the settings module: the tree that a YAML document becomes, and the
 * tables of fields against which it is checked.
 */

enum pb_node_kind {
	PB_NODE_SCALAR,
	PB_NODE_LIST,
	PB_NODE_MAP
};

/* Lives in the arena of the check. */
struct pb_node {
	enum pb_node_kind kind;
	int line;
	struct pb_str text; /* scalars; terminated */
	struct pb_str key; /* in a map: key of this value; terminated */
	struct pb_node *next; /* in a list or map */
	struct pb_node *first;
	struct pb_node *last;
};

/*
 * Where a service or an account was declared, for messages. Items that were
 * carried over from an older snapshot have their team as file and line 0.
 */
struct pb_origin {
	const char *file;
	int line;
};

/* State of one pb_parse_settings call. */
struct pb_check {
	struct pb_context *ctx;
	struct pb_arena *arena;
	struct pb_settings_report *report;
	struct pb_settings *settings;
	const char *file; /* document that is being checked */
	const char *team; /* empty for the fleet's document */
	bool no_memory;

	struct pb_service service_default;
	struct pb_account account_default;
	bool inner_limit_default; /* the fleet sets an inner limit */
	struct pb_node *teams; /* list of team names, or NULL */
	struct pb_origin *service_origin; /* one for each service */
	struct pb_origin *account_origin;
	int service_cap;
	int account_cap;
};

/* Adds "file:line: path: message" to the report. */
void pb_report_fault(struct pb_check *c, int line, const char *path,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Text of the document, cut and printable, for messages. */
struct pb_shown {
	char text[44];
};

struct pb_shown pb_show_text(struct pb_str text);

/* Parses one document; NULL after a fault, or when it is empty. */
struct pb_node *pb_load_yaml(struct pb_check *c, struct pb_str text);

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

/* One key of a map. min and max: in the unit of the stored value. */
struct pb_field {
	const char *key;
	enum pb_field_type type;
	size_t offset;
	double min;
	double max;
};

#define PB_FIELDS_MAX 24

/*
 * Checks a map against its fields and stores the values below base. found
 * receives the node of each field, or NULL. False when node is not a map.
 */
bool pb_read_fields(struct pb_check *c, const struct pb_node *node,
    const char *path, const struct pb_field *fields, size_t count, void *base,
    const struct pb_node **found);

/* Checks that node is a list and reports it otherwise. */
bool pb_check_list(
    struct pb_check *c, const struct pb_node *node, const char *path);
/* Index of the rank that node names, or -1 after a fault. */
int pb_read_rank(
    struct pb_check *c, const struct pb_node *node, const char *path);

/* Adds an uninitialised item; NULL after a fault. */
struct pb_service *pb_add_service(
    struct pb_check *c, const char *file, int line);
struct pb_account *pb_add_account(
    struct pb_check *c, const char *file, int line);
/* Adds the items of an older snapshot whose teams are not among the texts. */
void pb_carry_over(struct pb_check *c, const struct pb_settings *old,
    const struct pb_settings_text *texts, size_t count);

void pb_set_fleet_defaults(struct pb_check *c);
void pb_check_fleet(struct pb_check *c, const struct pb_node *root);
/* Orders and fencing of a service; the nodes may be NULL. */
void pb_check_orders(struct pb_check *c, const struct pb_node *orders,
    const struct pb_node *fencing, const char *path, struct pb_service *v);
void pb_check_team(struct pb_check *c, const struct pb_node *root);
/* Reads defaults.service and defaults.account. */
void pb_check_defaults(
    struct pb_check *c, const struct pb_node *node, const char *path);
/* Checks names, prefixes and keys over all teams; sorts the items. */
void pb_check_unique(struct pb_check *c);

#endif
