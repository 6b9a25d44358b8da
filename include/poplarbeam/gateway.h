#ifndef POPLARBEAM_GATEWAY_H
#define POPLARBEAM_GATEWAY_H

#include "poplarbeam/adapter.h"

/*
 * The router for a platform whose store holds the configuration and the list
 * of instances. One event loop accepts requests of callers and forwards each
 * one directly to an upstream.
 */

/* Read from a flat YAML file; docs/configuration.md describes each key. */
struct pb_gateway_settings {
	char instance[64];
	char domain[64];
	char caller[48]; /* listening address for callers */
	char ready[48]; /* listening address for readiness checks */
	char metrics[48]; /* listening address for metrics */
	char peer[48]; /* listening address for other routers */
	char store[48]; /* address of the platform's store */
	char log_level[12];
	long log_lines_per_s;
	long stop_ms; /* time from SIGTERM until the platform sends SIGKILL */
	long revoke_ms; /* a removed key is rejected within this time */
	long strict_revoke; /* 1: refuse requests if revoke_ms cannot be met */
	long memory_mb; /* memory of the machine; limits buffered bytes */
	long answer_max_kb; /* limit for one response that is not a stream */
	long event_max_kb; /* limit for one event of a stream */
	long retry_permille; /* retries allowed per 1,000 requests */
	long retry_slack; /* extra retries per window, all routers together */
	long retry_window_s;
};

int pb_load_gateway_settings(struct pb_context *ctx, const char *path,
    struct pb_gateway_settings *settings);

struct pb_gateway;

/*
 * Listens immediately; serves requests after it has read the store. settings is
 * copied; path (for reloads) and adapter are borrowed. Returns NULL on failure
 * and sets the error of the context.
 */
struct pb_gateway *pb_new_gateway(struct pb_context *ctx,
    const struct pb_gateway_settings *settings, const char *path,
    const struct pb_adapter_ops *adapter);
/* Runs the event loop until a stop, started by SIGTERM, is complete. */
int pb_run_gateway(struct pb_gateway *gateway);
void pb_drop_gateway(struct pb_gateway *gateway);

#endif
