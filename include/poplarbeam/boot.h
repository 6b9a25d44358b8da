#ifndef POPLARBEAM_BOOT_H
#define POPLARBEAM_BOOT_H

#include "poplarbeam/base.h"

/*
 * What one process must know before it can read the fleet's settings: who it
 * is, where it listens and where the platform is. A YAML mapping; addresses
 * are host:port.
 */
struct pb_boot {
	char instance[48];
	char fleet[48];
	char region[24];
	char domain[24];
	char caller[48]; /* callers' HTTP */
	char peer[48]; /* relay HTTP */
	char rpc[48]; /* ONC RPC, UDP and TCP */
	char admin[48]; /* operators' HTTP */
	char table[80]; /* http://host:port of the table service */
	char objects[80];
	char instances[80];
	char log_level[12];
	int caller_threads;
	int peer_threads;
};

/* PB_OK, or PB_EINVAL with file, line and key in the context's error. */
int pb_load_boot(
    struct pb_context *ctx, const char *path, struct pb_boot *boot);
int pb_parse_boot(struct pb_context *ctx, const char *name, struct pb_str text,
    struct pb_boot *boot);

#endif
