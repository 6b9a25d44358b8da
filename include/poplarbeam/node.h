#ifndef POPLARBEAM_NODE_H
#define POPLARBEAM_NODE_H

#include "poplarbeam/base.h"
#include "poplarbeam/boot.h"
#include "poplarbeam/claim.h"
#include "poplarbeam/events.h"
#include "poplarbeam/members.h"
#include "poplarbeam/metrics.h"
#include "poplarbeam/platform.h"
#include "poplarbeam/retry.h"
#include "poplarbeam/settings.h"
#include "poplarbeam/upstream.h"

#include <stdatomic.h>

/*
 * State shared by all parts of one router process: its identity, the current
 * settings and view of the instances, the HTTP client, events and counters.
 * Readers load the settings and the view in a liburcu read-side critical
 * section and take a reference there.
 */
struct pb_node {
	/* Receives evidence about an instance; set before threads start. */
	void (*note_evidence)(struct pb_context *ctx, void *arg,
	    uint64_t id_hash, uint64_t incarnation, enum pb_evidence evidence);
	void *evidence_arg;
	struct pb_clock *clock;
	struct pb_log *log;
	struct pb_boot_config boot;
	uint64_t id_hash; /* hash of boot.instance */
	uint64_t incarnation; /* wall time at the start, in microseconds */
	struct pb_client *client;
	struct pb_events *events;
	struct pb_metrics *metrics;
	struct pb_retry_budget *retries;
	struct pb_claim_backlog *claims; /* outcomes not yet recorded */
	struct pb_table *table;
	struct pb_objects *objects;
	struct pb_instances *instances;
	_Atomic(struct pb_settings *) settings; /* read with pb_node_settings */
	_Atomic(struct pb_view *) view; /* read with pb_node_view */
	_Atomic int accepting; /* 1: accepts new requests from callers */
	_Atomic int leaving; /* 1: a planned shutdown is in progress */
	_Atomic int fresh; /* 1: settings confirmed recently enough */
	_Atomic uint64_t next_id;
};

/*
 * Copies boot and borrows the context's clock and log. Leaves the table,
 * objects and instances NULL; pb_drop_node drops those that were set.
 */
struct pb_node *pb_new_node(
    struct pb_context *ctx, const struct pb_boot_config *boot);
void pb_drop_node(struct pb_context *ctx, struct pb_node *node);

/* Calls note_evidence if it is set. */
void pb_report_evidence(struct pb_context *ctx, struct pb_node *node,
    uint64_t id_hash, uint64_t incarnation, enum pb_evidence evidence);

/* Returns a context for one request or thread, to be kept on its stack. */
struct pb_context pb_node_context(struct pb_node *node);

/* Returns this instance's claim policy under the given settings. */
struct pb_claim_policy pb_node_claim_policy(
    struct pb_node *node, const struct pb_settings *settings);

/*
 * Returns the current snapshot with a reference that the caller must drop, or
 * NULL when none was set yet.
 */
struct pb_settings *pb_node_settings(struct pb_node *node);
struct pb_view *pb_node_view(struct pb_node *node);
/* Replaces the current snapshot; takes over the caller's reference. */
void pb_set_node_settings(
    struct pb_context *ctx, struct pb_node *node, struct pb_settings *settings);
void pb_set_node_view(
    struct pb_context *ctx, struct pb_node *node, struct pb_view *view);

#endif
