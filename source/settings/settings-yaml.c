#include "settings-private.h"

#include <ctype.h>
#include <stdarg.h>
#include <string.h>
#include <yaml.h>

#define TEXT_MAX (8UL * 1024 * 1024) /* bytes per document */
/* A valid document is at most 5 levels deep (defaults.account.limits.KEY). */
#define DEPTH_MAX 12

struct loader {
	struct pb_checker *c;
	yaml_parser_t parser;
	/* Lists and maps that are not closed yet. */
	struct pb_yaml_node *stack[DEPTH_MAX];
	int depth;
	struct pb_yaml_node *root;
	/* Map key whose value has not been read yet. */
	struct pb_yaml_node *key;
};

void
pb_report_fault(
    struct pb_checker *c, int line, const char *path, const char *fmt, ...)
{
	struct pb_settings_report *r = c->report;
	char text[512];
	va_list ap;

	r->count++;
	if (r->count > PB_REPORT_LINES_MAX)
		return;
	if (r->count == PB_REPORT_LINES_MAX) {
		pb_append_fmt(&r->lines,
		    "%s:%d: %s: too many faults, the rest is not listed\n",
		    c->file, line, path);
		return;
	}
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	pb_append_fmt(&r->lines, "%s:%d: %s: %s\n", c->file, line,
	    *path != '\0' ? path : "document", text);
}

void
pb_clear_settings_report(struct pb_settings_report *report)
{
	pb_clear_buf(&report->lines);
	report->count = 0;
}

struct pb_excerpt
pb_format_excerpt(struct pb_str text)
{
	struct pb_excerpt excerpt = {""};
	size_t cap = sizeof(excerpt.text) - 4, i;

	for (i = 0; i < text.len && i < cap; i++) {
		unsigned char ch = (unsigned char)text.data[i];

		excerpt.text[i] = isprint(ch) ? (char)ch : '?';
	}
	if (text.len > cap)
		memcpy(excerpt.text + cap, "...", 4);
	return excerpt;
}

static struct pb_yaml_node *
new_node(struct loader *l, enum pb_yaml_node_kind kind, const yaml_event_t *ev)
{
	struct pb_yaml_node *n = pb_arena_alloc(l->c->arena, sizeof(*n));

	if (n == NULL) {
		l->c->no_memory = true;
		return NULL;
	}
	n->kind = kind;
	n->line = (int)ev->start_mark.line + 1;
	if (kind == PB_NODE_SCALAR) {
		n->text = pb_arena_str(
		    l->c->arena, ev->data.scalar.value, ev->data.scalar.length);
		if (n->text.data == NULL) {
			l->c->no_memory = true;
			return NULL;
		}
	}
	return n;
}

static bool
fail(struct loader *l, const yaml_event_t *ev, const char *text)
{
	pb_report_fault(
	    l->c, (int)ev->start_mark.line + 1, "document", "%s", text);
	return false;
}

/* Adds a key or value to the innermost open list or map. */
static bool
add_node(struct loader *l, struct pb_yaml_node *n, const yaml_event_t *ev)
{
	struct pb_yaml_node *parent =
	    l->depth > 0 ? l->stack[l->depth - 1] : NULL;

	if (n == NULL)
		return false;
	if (parent == NULL) {
		if (l->root != NULL)
			return fail(l, ev, "expected one YAML document");
		l->root = n;
		return true;
	}
	if (parent->kind == PB_NODE_MAP && l->key == NULL) {
		if (n->kind != PB_NODE_SCALAR)
			return fail(
			    l, ev, "expected a scalar as the key of a map");
		l->key = n;
		return true;
	}
	if (parent->kind == PB_NODE_MAP) {
		n->key = l->key->text;
		n->line = l->key->line;
		l->key = NULL;
	}
	if (parent->last == NULL)
		parent->first = n;
	else
		parent->last->next = n;
	parent->last = n;
	return true;
}

static bool
open_node(struct loader *l, enum pb_yaml_node_kind kind, const yaml_event_t *ev)
{
	struct pb_yaml_node *n = new_node(l, kind, ev);

	if (!add_node(l, n, ev))
		return false;
	if (l->depth == DEPTH_MAX)
		return fail(l, ev, "lists and maps are nested too deeply");
	l->stack[l->depth++] = n;
	return true;
}

/*
 * Detects anchors and aliases. They are rejected, because aliases can expand a
 * small text into a very large tree.
 */
static bool
has_anchor(const yaml_event_t *ev)
{
	switch (ev->type) {
	case YAML_ALIAS_EVENT:
		return true;
	case YAML_SCALAR_EVENT:
		return ev->data.scalar.anchor != NULL;
	case YAML_SEQUENCE_START_EVENT:
		return ev->data.sequence_start.anchor != NULL;
	case YAML_MAPPING_START_EVENT:
		return ev->data.mapping_start.anchor != NULL;
	default:
		return false;
	}
}

static bool
handle_event(struct loader *l, const yaml_event_t *ev)
{
	if (has_anchor(ev))
		return fail(l, ev, "anchors and aliases are not supported");
	switch (ev->type) {
	case YAML_SCALAR_EVENT:
		return add_node(l, new_node(l, PB_NODE_SCALAR, ev), ev);
	case YAML_SEQUENCE_START_EVENT:
		return open_node(l, PB_NODE_LIST, ev);
	case YAML_MAPPING_START_EVENT:
		return open_node(l, PB_NODE_MAP, ev);
	case YAML_SEQUENCE_END_EVENT:
	case YAML_MAPPING_END_EVENT:
		l->depth--;
		return true;
	default:
		return true;
	}
}

/*
 * Returns the line of a parser error, limited to the lines of the text: at the
 * end of a text, the line number of libyaml is one too high.
 */
static int
fault_line(const yaml_parser_t *parser, struct pb_str text)
{
	size_t line = 1, i;

	for (i = 0; i < text.len && line <= parser->problem_mark.line; i++)
		line += text.data[i] == '\n';
	return (int)line;
}

struct pb_yaml_node *
pb_load_yaml(struct pb_checker *c, struct pb_str text)
{
	struct loader l = {.c = c};
	bool ok = true, end = false;

	if (text.len > TEXT_MAX) {
		pb_report_fault(
		    c, 1, "document", "expected at most %lu bytes", TEXT_MAX);
		return NULL;
	}
	if (!yaml_parser_initialize(&l.parser)) {
		c->no_memory = true;
		return NULL;
	}
	yaml_parser_set_input_string(&l.parser,
	    (const unsigned char *)(text.len > 0 ? text.data : ""), text.len);
	while (ok && !end) {
		yaml_event_t ev;

		if (!yaml_parser_parse(&l.parser, &ev)) {
			pb_report_fault(c, fault_line(&l.parser, text),
			    "document", "not valid YAML: %s",
			    l.parser.problem != NULL ? l.parser.problem
						     : "unknown error");
			ok = false;
			break;
		}
		end = ev.type == YAML_STREAM_END_EVENT;
		ok = handle_event(&l, &ev);
		yaml_event_delete(&ev);
	}
	yaml_parser_delete(&l.parser);
	return ok ? l.root : NULL;
}
