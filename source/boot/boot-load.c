#include "poplarbeam/boot.h"

#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#define BOOT_FILE_MAX 65536 /* bytes */
#define THREADS_MAX 4096

struct field {
	const char *key;
	size_t offset;
	size_t cap; /* 0: a number of threads */
	const char *fallback;
};

/* Offset and size of a text field. */
#define AT(name) \
	offsetof(struct pb_boot, name), sizeof(((struct pb_boot *)0)->name)

/* A field without a default must be given. */
static const struct field fields[] = {
    {"instance", AT(instance), NULL},
    {"fleet", AT(fleet), "poplarbeam"},
    {"region", AT(region), NULL},
    {"domain", AT(domain), NULL},
    {"caller", AT(caller), NULL},
    {"peer", AT(peer), NULL},
    {"rpc", AT(rpc), NULL},
    {"admin", AT(admin), NULL},
    {"table", AT(table), NULL},
    {"objects", AT(objects), NULL},
    {"instances", AT(instances), NULL},
    {"log_level", AT(log_level), "info"},
    {"caller_threads", offsetof(struct pb_boot, caller_threads), 0, "256"},
    {"peer_threads", offsetof(struct pb_boot, peer_threads), 0, "256"},
};

#define FIELD_COUNT (sizeof(fields) / sizeof(fields[0]))

static int
set_field(struct pb_context *ctx, const char *name, size_t line,
    const struct field *f, const char *value, struct pb_boot *boot)
{
	char *at = (char *)boot + f->offset;
	char *end;
	long n;

	if (f->cap > 0) {
		if (*value == '\0' || strlen(value) >= f->cap ||
		    !pb_is_printable(value))
			return pb_set_error(ctx, PB_EINVAL, "boot", name,
			    "%s:%zu: %s: must have 1 to %zu printable "
			    "characters without spaces",
			    name, line, f->key, f->cap - 1);
		pb_copy_str(at, f->cap, value);
		return PB_OK;
	}
	n = strtol(value, &end, 10);
	if (*value == '\0' || *end != '\0' || n < 1 || n > THREADS_MAX)
		return pb_set_error(ctx, PB_EINVAL, "boot", name,
		    "%s:%zu: %s: must be a number of threads, 1 to %d", name,
		    line, f->key, THREADS_MAX);
	*(int *)(void *)at = (int)n;
	return PB_OK;
}

static int
read_pair(struct pb_context *ctx, const char *name, const yaml_node_t *key,
    const yaml_node_t *value, struct pb_boot *boot, bool *seen)
{
	const char *k = (const char *)key->data.scalar.value;
	size_t line = key->start_mark.line + 1;
	size_t i;

	if (key->type != YAML_SCALAR_NODE || value->type != YAML_SCALAR_NODE)
		return pb_set_error(ctx, PB_EINVAL, "boot", name,
		    "%s:%zu: must be a mapping of plain values", name, line);
	for (i = 0; i < FIELD_COUNT; i++) {
		if (strcmp(k, fields[i].key) != 0)
			continue;
		if (seen[i])
			return pb_set_error(ctx, PB_EINVAL, "boot", name,
			    "%s:%zu: %s: given twice", name, line, k);
		seen[i] = true;
		return set_field(ctx, name, line, &fields[i],
		    (const char *)value->data.scalar.value, boot);
	}
	return pb_set_error(ctx, PB_EINVAL, "boot", name,
	    "%s:%zu: %s: unknown key", name, line, k);
}

static int
read_mapping(struct pb_context *ctx, const char *name, yaml_document_t *doc,
    struct pb_boot *boot)
{
	yaml_node_t *root = yaml_document_get_root_node(doc);
	bool seen[FIELD_COUNT] = {false};
	yaml_node_pair_t *p;
	size_t i;
	int rc = PB_OK;

	if (root == NULL || root->type != YAML_MAPPING_NODE)
		return pb_set_error(ctx, PB_EINVAL, "boot", name,
		    "%s:1: must be a mapping", name);
	for (p = root->data.mapping.pairs.start;
	     p < root->data.mapping.pairs.top && rc == PB_OK; p++)
		rc = read_pair(ctx, name, yaml_document_get_node(doc, p->key),
		    yaml_document_get_node(doc, p->value), boot, seen);
	for (i = 0; i < FIELD_COUNT && rc == PB_OK; i++) {
		if (seen[i])
			continue;
		if (fields[i].fallback == NULL)
			return pb_set_error(ctx, PB_EINVAL, "boot", name,
			    "%s: %s: missing", name, fields[i].key);
		rc = set_field(
		    ctx, name, 0, &fields[i], fields[i].fallback, boot);
	}
	return rc;
}

int
pb_parse_boot(struct pb_context *ctx, const char *name, struct pb_str text,
    struct pb_boot *boot)
{
	yaml_parser_t parser;
	yaml_document_t doc;
	int rc;

	memset(boot, 0, sizeof(*boot));
	/* libyaml ends the process when it is given no text. */
	if (text.data == NULL)
		text = pb_str_from("");
	if (!yaml_parser_initialize(&parser))
		return pb_set_error(
		    ctx, PB_ENOMEM, "boot", name, "out of memory");
	yaml_parser_set_input_string(
	    &parser, (const unsigned char *)text.data, text.len);
	if (!yaml_parser_load(&parser, &doc)) {
		rc = pb_set_error(ctx, PB_EINVAL, "boot", name, "%s:%zu: %s",
		    name, parser.problem_mark.line + 1,
		    parser.problem != NULL ? parser.problem : "not YAML");
		yaml_parser_delete(&parser);
		return rc;
	}
	rc = read_mapping(ctx, name, &doc, boot);
	yaml_document_delete(&doc);
	yaml_parser_delete(&parser);
	return rc;
}

int
pb_load_boot(struct pb_context *ctx, const char *path, struct pb_boot *boot)
{
	char text[BOOT_FILE_MAX];
	FILE *f = fopen(path, "r");
	size_t n;

	if (f == NULL)
		return pb_set_error(
		    ctx, PB_ENOENT, "boot", path, "cannot open %s", path);
	n = fread(text, 1, sizeof(text), f);
	fclose(f);
	return pb_parse_boot(ctx, path, (struct pb_str){text, n}, boot);
}
