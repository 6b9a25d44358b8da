#ifndef POPLARBEAM_BOOT_H
#define POPLARBEAM_BOOT_H

#include "poplarbeam/base.h"

/*
 * Bootstrap configuration of one process, needed before it can read the fleet's
 * settings: its identity, listen addresses and the addresses of the platform's
 * services. Read from a YAML mapping. Addresses are host:port.
 */
struct pb_boot_config {
	char instance[48];
	char fleet[48];
	char region[24];
	char domain[24];
	char caller[48]; /* HTTP for callers */
	char peer[48]; /* HTTP for relays between routers */
	char rpc[48]; /* ONC RPC, UDP and TCP */
	char admin[48]; /* HTTP for operators */
	char table[80]; /* http://host:port of the table service */
	char objects[80];
	char instances[80];
	char log_level[12];
	long caller_threads;
	long peer_threads;
};

/* Describes one key of a flat settings file and the target of its value. */
struct pb_config_field {
	const char *key;
	size_t offset; /* of the value in the structure to fill */
	size_t cap; /* size of the char array; 0: the value is a long */
	const char *fallback; /* default value; NULL: the key is required */
	long min; /* bounds of a number, after scaling */
	long max;
	/* Factor applied to a decimal value; 0: the value is an integer. */
	long scale;
};

/*
 * Reads a YAML mapping of scalars into the structure at out. Unknown and
 * repeated keys are errors. name is the file name in error messages.
 */
int pb_parse_config_fields(struct pb_context *ctx, const char *name,
    struct pb_str text, const struct pb_config_field *fields, size_t count,
    void *out);
/* Like pb_parse_config_fields, but reads the text from a file. */
int pb_load_config_fields(struct pb_context *ctx, const char *path,
    const struct pb_config_field *fields, size_t count, void *out);

/*
 * Reads the bootstrap configuration from a file. Returns PB_OK; PB_ENOENT when
 * the file cannot be opened; PB_ENOMEM; or PB_EINVAL with file, line and key in
 * the context's error.
 */
int pb_load_boot_config(
    struct pb_context *ctx, const char *path, struct pb_boot_config *boot);
int pb_parse_boot_config(struct pb_context *ctx, const char *name,
    struct pb_str text, struct pb_boot_config *boot);

#endif
