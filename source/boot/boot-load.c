#include "poplarbeam/boot.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#define BOOT_FILE_MAX 65536 /* bytes */
#define THREADS_MAX 4096

#define BOOT_FIELDS_MAX 64

/* Offset and size of a char array in struct pb_boot_config. */
#define TEXT_FIELD(name)                       \
	offsetof(struct pb_boot_config, name), \
	    sizeof(((struct pb_boot_config *)0)->name)

static const struct pb_config_field boot_fields[] = {
    {"instance", TEXT_FIELD(instance), NULL, 0, 0, 0},
    {"fleet", TEXT_FIELD(fleet), "poplarbeam", 0, 0, 0},
    {"region", TEXT_FIELD(region), NULL, 0, 0, 0},
    {"domain", TEXT_FIELD(domain), NULL, 0, 0, 0},
    {"caller", TEXT_FIELD(caller), NULL, 0, 0, 0},
    {"peer", TEXT_FIELD(peer), NULL, 0, 0, 0},
    {"rpc", TEXT_FIELD(rpc), NULL, 0, 0, 0},
    {"admin", TEXT_FIELD(admin), NULL, 0, 0, 0},
    {"table", TEXT_FIELD(table), NULL, 0, 0, 0},
    {"objects", TEXT_FIELD(objects), NULL, 0, 0, 0},
    {"instances", TEXT_FIELD(instances), NULL, 0, 0, 0},
    {"log_level", TEXT_FIELD(log_level), "info", 0, 0, 0},
    {"caller_threads", offsetof(struct pb_boot_config, caller_threads), 0,
	"256", 1, THREADS_MAX, 0},
    {"peer_threads", offsetof(struct pb_boot_config, peer_threads), 0, "256", 1,
	THREADS_MAX, 0},
};

#define BOOT_FIELD_COUNT (sizeof(boot_fields) / sizeof(boot_fields[0]))

static int
set_field(struct pb_context *ctx, const char *name, size_t line,
    const struct pb_config_field *f, const char *value, void *out)
{
	char *at = (char *)out + f->offset;
	char *end;
	double scale = f->scale > 0 ? (double)f->scale : 1;
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
	if (f->scale > 0)
		n = lround(strtod(value, &end) * (double)f->scale);
	else
		n = strtol(value, &end, 10);
	if (*value == '\0' || *end != '\0' || n < f->min || n > f->max)
		return pb_set_error(ctx, PB_EINVAL, "boot", name,
		    "%s:%zu: %s: must be a number, %g to %g", name, line,
		    f->key, (double)f->min / scale, (double)f->max / scale);
	memcpy(at, &n, sizeof(n));
	return PB_OK;
}

/* The known fields of a file, and which of them have been found. */
struct field_reader {
	const char *name; /* file name for messages */
	const struct pb_config_field *fields;
	size_t count;
	bool seen[BOOT_FIELDS_MAX];
	void *out;
};

static int
read_pair(struct pb_context *ctx, struct field_reader *r,
    const yaml_node_t *key, const yaml_node_t *value)
{
	const char *k = (const char *)key->data.scalar.value;
	size_t line = key->start_mark.line + 1;
	size_t i;

	if (key->type != YAML_SCALAR_NODE || value->type != YAML_SCALAR_NODE)
		return pb_set_error(ctx, PB_EINVAL, "boot", r->name,
		    "%s:%zu: keys and values must be scalars", r->name, line);
	for (i = 0; i < r->count; i++) {
		if (strcmp(k, r->fields[i].key) != 0)
			continue;
		if (r->seen[i])
			return pb_set_error(ctx, PB_EINVAL, "boot", r->name,
			    "%s:%zu: %s: given twice", r->name, line, k);
		r->seen[i] = true;
		return set_field(ctx, r->name, line, &r->fields[i],
		    (const char *)value->data.scalar.value, r->out);
	}
	return pb_set_error(ctx, PB_EINVAL, "boot", r->name,
	    "%s:%zu: %s: unknown key", r->name, line, k);
}

static int
read_mapping(
    struct pb_context *ctx, struct field_reader *r, yaml_document_t *doc)
{
	yaml_node_t *root = yaml_document_get_root_node(doc);
	yaml_node_pair_t *p;
	size_t i;
	int rc = PB_OK;

	if (root == NULL || root->type != YAML_MAPPING_NODE)
		return pb_set_error(ctx, PB_EINVAL, "boot", r->name,
		    "%s:1: must be a mapping", r->name);
	for (p = root->data.mapping.pairs.start;
	     p < root->data.mapping.pairs.top && rc == PB_OK; p++)
		rc = read_pair(ctx, r, yaml_document_get_node(doc, p->key),
		    yaml_document_get_node(doc, p->value));
	for (i = 0; i < r->count && rc == PB_OK; i++) {
		const struct pb_config_field *f = &r->fields[i];

		if (r->seen[i])
			continue;
		if (f->fallback == NULL)
			return pb_set_error(ctx, PB_EINVAL, "boot", r->name,
			    "%s: %s: missing", r->name, f->key);
		rc = set_field(ctx, r->name, 0, f, f->fallback, r->out);
	}
	return rc;
}

int
pb_parse_config_fields(struct pb_context *ctx, const char *name,
    struct pb_str text, const struct pb_config_field *fields, size_t count,
    void *out)
{
	struct field_reader r = {name, fields, count, {false}, out};
	yaml_parser_t parser;
	yaml_document_t doc;
	int rc;

	if (count > BOOT_FIELDS_MAX)
		return pb_set_error(
		    ctx, PB_EINVAL, "boot", name, "too many fields");
	/* libyaml aborts the process when its input is NULL. */
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
	rc = read_mapping(ctx, &r, &doc);
	yaml_document_delete(&doc);
	yaml_parser_delete(&parser);
	return rc;
}

int
pb_load_config_fields(struct pb_context *ctx, const char *path,
    const struct pb_config_field *fields, size_t count, void *out)
{
	char text[BOOT_FILE_MAX];
	FILE *f = fopen(path, "r");
	size_t n;

	if (f == NULL)
		return pb_set_error(
		    ctx, PB_ENOENT, "boot", path, "cannot open %s", path);
	n = fread(text, 1, sizeof(text), f);
	fclose(f);
	return pb_parse_config_fields(
	    ctx, path, (struct pb_str){text, n}, fields, count, out);
}

int
pb_parse_boot_config(struct pb_context *ctx, const char *name,
    struct pb_str text, struct pb_boot_config *boot)
{
	memset(boot, 0, sizeof(*boot));
	return pb_parse_config_fields(
	    ctx, name, text, boot_fields, BOOT_FIELD_COUNT, boot);
}

int
pb_load_boot_config(
    struct pb_context *ctx, const char *path, struct pb_boot_config *boot)
{
	memset(boot, 0, sizeof(*boot));
	return pb_load_config_fields(
	    ctx, path, boot_fields, BOOT_FIELD_COUNT, boot);
}
