#include "settings-private.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define NAME_CAP 48 /* bytes, including the terminating NUL */
/*
 * Numbers with more digits than a double can hold exactly are rejected as
 * mistakes.
 */
#define DIGITS_MAX 15

struct unit {
	const char *name;
	double factor;
};

/* Largest first, so that a bound is printed in the largest fitting unit. */
static const struct unit duration_units[] = {{"d", 86400e6}, {"h", 3600e6},
    {"min", 60e6}, {"s", 1e6}, {"ms", 1e3}, {"us", 1}, {NULL, 0}};
static const struct unit size_units[] = {{"GiB", 1073741824.0},
    {"MiB", 1048576.0}, {"KiB", 1024.0}, {"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3},
    {"B", 1}, {NULL, 0}};
static const struct unit rate_units[] = {
    {"MB/s", 1e6}, {"KB/s", 1e3}, {"KiB/s", 1024}, {"B/s", 1}, {NULL, 0}};
static const struct unit share_units[] = {{"%", 0.01}, {NULL, 0}};
static const struct unit no_units[] = {{"", 1}, {NULL, 0}};

struct quantity_format {
	const char *description;
	const struct unit *units;
	double scale; /* stored value = value in base units * scale */
};

static struct quantity_format
get_quantity_format(enum pb_field_type type)
{
	switch (type) {
	case PB_FIELD_SHARE:
		return (struct quantity_format){
		    "a share such as \"20%\"", share_units, 1};
	case PB_FIELD_DURATION:
		return (struct quantity_format){
		    "a duration such as \"3s\" or \"250ms\"", duration_units,
		    1};
	case PB_FIELD_SECONDS:
		return (struct quantity_format){
		    "a duration such as \"3s\" or \"250ms\"", duration_units,
		    1e-6};
	case PB_FIELD_SIZE:
		return (struct quantity_format){
		    "a size such as \"1MiB\" or \"64KiB\"", size_units, 1};
	case PB_FIELD_RATE:
		return (struct quantity_format){
		    "a data rate such as \"2KB/s\"", rate_units, 1};
	case PB_FIELD_INT:
		return (struct quantity_format){
		    "a whole number without a unit", no_units, 1};
	default:
		return (struct quantity_format){
		    "a number without a unit", no_units, 1};
	}
}

/*
 * Splits "1.5s" into 1.5 and "s". Returns false if text does not start with a
 * number or the number has more than DIGITS_MAX digits.
 */
static bool
split_number(struct pb_str text, double *value, const char **unit)
{
	const char *p = text.data, *end = text.data + text.len;
	double scale = 1;
	int digits = 0;

	*value = 0;
	for (; p < end && isdigit((unsigned char)*p); p++, digits++)
		*value = *value * 10 + (*p - '0');
	if (digits == 0)
		return false;
	if (p + 1 < end && *p == '.' && isdigit((unsigned char)p[1])) {
		for (p++; p < end && isdigit((unsigned char)*p); p++) {
			*value = *value * 10 + (*p - '0');
			scale *= 10;
			digits++;
		}
	}
	*value /= scale;
	while (p < end && *p == ' ')
		p++;
	*unit = p;
	return digits <= DIGITS_MAX;
}

static bool
parse_quantity(
    struct pb_str text, const struct quantity_format *fmt, double *value)
{
	const struct unit *u;
	const char *name = NULL;

	if (!split_number(text, value, &name))
		return false;
	for (u = fmt->units; u->name != NULL; u++) {
		struct pb_str given = {
		    name, (size_t)(text.data + text.len - name)};

		if (pb_str_equal_c(given, u->name)) {
			*value = *value * u->factor * fmt->scale;
			return true;
		}
	}
	return false;
}

/* Formats a bound in the largest unit in which it is a whole number. */
static void
format_bound(
    char *dst, size_t cap, double value, const struct quantity_format *fmt)
{
	double base = value / fmt->scale;
	const struct unit *u = fmt->units;

	/* In binary floating point, 0.1 s is not exactly 100000 us. */
	if (fmt->scale != 1)
		base = (double)(int64_t)(base + 0.5);
	if (value == 0) {
		for (; u[1].name != NULL; u++)
			continue;
	} else {
		for (; u[1].name != NULL; u++) {
			double n = base / u->factor;

			if (n >= 1 && n == (double)(int64_t)n)
				break;
		}
	}
	snprintf(dst, cap, "%.10g%s", base / u->factor, u->name);
}

static void
report_range(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, const struct pb_field *f)
{
	struct quantity_format fmt = get_quantity_format(f->type);
	char low[40], high[40];

	format_bound(low, sizeof(low), f->min, &fmt);
	format_bound(high, sizeof(high), f->max, &fmt);
	pb_report_fault(c, node->line, path,
	    "expected %s, from %s to %s, found \"%s\"", fmt.description, low,
	    high, pb_format_excerpt(node->text).text);
}

static void
store_quantity(void *p, enum pb_field_type type, double value)
{
	switch (type) {
	case PB_FIELD_INT:
		*(uint32_t *)p = (uint32_t)value;
		break;
	case PB_FIELD_DURATION:
		*(int64_t *)p = (int64_t)(value + 0.5);
		break;
	case PB_FIELD_SIZE:
		*(uint64_t *)p = (uint64_t)(value + 0.5);
		break;
	default:
		*(double *)p = value;
		break;
	}
}

static void
read_quantity(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, const struct pb_field *f, void *p)
{
	struct quantity_format fmt = get_quantity_format(f->type);
	double value = 0;

	if (!parse_quantity(node->text, &fmt, &value) || value < f->min ||
	    value > f->max ||
	    (f->type == PB_FIELD_INT && value != (double)(int64_t)value)) {
		report_range(c, node, path, f);
		return;
	}
	store_quantity(p, f->type, value);
}

bool
pb_is_valid_name(struct pb_str text)
{
	size_t i;

	if (text.len == 0 || text.len >= NAME_CAP || text.data[0] == '.')
		return false;
	for (i = 0; i < text.len; i++) {
		unsigned char ch = (unsigned char)text.data[i];

		if (ch >= 0x80 || (!isalnum(ch) && strchr("._-", ch) == NULL) ||
		    ch == '\0')
			return false;
	}
	return true;
}

static void
read_name(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, char *dst)
{
	if (!pb_is_valid_name(node->text)) {
		pb_report_fault(c, node->line, path,
		    "expected a name of 1 to %d letters, digits, \".\", "
		    "\"_\" and \"-\", found \"%s\"",
		    NAME_CAP - 1, pb_format_excerpt(node->text).text);
		return;
	}
	pb_copy_str(dst, NAME_CAP, node->text.data);
}

static void
read_bool(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, bool *dst)
{
	bool yes = pb_str_equal_c(node->text, "true");

	if (!yes && !pb_str_equal_c(node->text, "false")) {
		pb_report_fault(c, node->line, path,
		    "expected true or false, found \"%s\"",
		    pb_format_excerpt(node->text).text);
		return;
	}
	*dst = yes;
}

static void
read_value(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, const struct pb_field *f, void *base)
{
	void *p;

	/* base is NULL if all fields of the map are PB_FIELD_NODE. */
	if (f->type == PB_FIELD_NODE)
		return;
	p = (char *)base + f->offset;
	if (node->kind != PB_NODE_SCALAR) {
		pb_report_fault(c, node->line, path,
		    "expected a single value, found a %s",
		    node->kind == PB_NODE_LIST ? "list" : "map");
		return;
	}
	switch (f->type) {
	case PB_FIELD_NAME:
		read_name(c, node, path, p);
		break;
	case PB_FIELD_BOOL:
		read_bool(c, node, path, p);
		break;
	default:
		read_quantity(c, node, path, f, p);
		break;
	}
}

static size_t
find_field(const struct pb_field *fields, size_t count, struct pb_str key)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (pb_str_equal_c(key, fields[i].key))
			break;
	}
	return i;
}

bool
pb_read_fields(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, const struct pb_field *fields, size_t count, void *base,
    const struct pb_yaml_node **found)
{
	const struct pb_yaml_node *n;
	size_t i;

	for (i = 0; i < count; i++)
		found[i] = NULL;
	if (node->kind != PB_NODE_MAP) {
		pb_report_fault(
		    c, node->line, path, "expected a map of keys and values");
		return false;
	}
	for (n = node->first; n != NULL; n = n->next) {
		char sub[160];

		i = find_field(fields, count, n->key);
		snprintf(sub, sizeof(sub), "%s%s%s", path,
		    *path != '\0' ? "." : "", pb_format_excerpt(n->key).text);
		if (i == count) {
			pb_report_fault(c, n->line, sub, "unknown key");
			continue;
		}
		if (found[i] != NULL) {
			pb_report_fault(c, n->line, sub,
			    "duplicate key, first given in line %d",
			    found[i]->line);
			continue;
		}
		found[i] = n;
		read_value(c, n, sub, &fields[i], base);
	}
	return true;
}

bool
pb_check_list(
    struct pb_checker *c, const struct pb_yaml_node *node, const char *path)
{
	if (node->kind == PB_NODE_LIST)
		return true;
	pb_report_fault(c, node->line, path, "expected a list");
	return false;
}

int
pb_read_rank(
    struct pb_checker *c, const struct pb_yaml_node *node, const char *path)
{
	struct pb_settings *s = c->settings;
	char names[PB_RANKS_MAX * 26] = "";
	size_t len = 0;
	int i;

	if (node->kind == PB_NODE_SCALAR && pb_is_valid_name(node->text)) {
		i = pb_find_rank(s, node->text.data);
		if (i >= 0)
			return i;
	}
	for (i = 0; i < s->rank_count; i++) {
		if (s->rank[i].name[0] == '\0')
			continue; /* invalid name, already reported */
		len += (size_t)snprintf(names + len, sizeof(names) - len,
		    "%s%s", len > 0 ? ", " : "", s->rank[i].name);
	}
	pb_report_fault(c, node->line, path,
	    "expected the name of a rank (%s), found \"%s\"", names,
	    pb_format_excerpt(node->text).text);
	return -1;
}
