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
 * What all parts of one router process share: its identity, the settings and
 * the view of the instances now in force, client, events and counters.
 * Readers take the snapshots under liburcu and keep a reference.
 */
struct pb_node {
	/* Passes on what was seen of an instance; set before threads start. */
	void (*note_evidence)(struct pb_context *ctx, void *arg,
	    uint64_t id_hash, uint64_t incarnation, enum pb_evidence evidence);
	void *evidence_arg;
	struct pb_clock *clock;
	struct pb_log *log;
	struct pb_boot boot;
	uint64_t id_hash;
	uint64_t incarnation;
	struct pb_client *client;
	struct pb_events *events;
	struct pb_metrics *metrics;
	struct pb_retry_budget *retries;
	struct pb_claim_backlog *claims; /* outcomes still to be recorded */
	struct pb_table *table;
	struct pb_objects *objects;
	struct pb_instances *instances;
	_Atomic(struct pb_settings *) settings; /* read with pb_node_settings */
	_Atomic(struct pb_view *) view; /* read with pb_node_view */
	_Atomic int accepting; /* 1: takes new work from callers */
	_Atomic int leaving; /* 1: a planned stop is under way */
	_Atomic int fresh; /* 1: settings confirmed lately */
	_Atomic uint64_t next_id;
};

/* boot is copied; log is borrowed. The platform ports are left NULL. */
struct pb_node *pb_new_node(struct pb_context *ctx, const struct pb_boot *boot);
void pb_drop_node(struct pb_context *ctx, struct pb_node *node);

/* Calls note_evidence when it is set. */
void pb_tell_evidence(struct pb_context *ctx, struct pb_node *node,
    uint64_t id_hash, uint64_t incarnation, enum pb_evidence evidence);

/* A context on the stack for one request or thread. */
struct pb_context pb_node_context(struct pb_node *node);

/* How this instance makes claims under the given settings. */
struct pb_claim_policy pb_node_claim_policy(
    struct pb_node *node, const struct pb_settings *settings);

/* The snapshot in force, with a reference for the caller; NULL before any. */
struct pb_settings *pb_node_settings(struct pb_node *node);
struct pb_view *pb_node_view(struct pb_node *node);
/* Puts a snapshot in force; takes over the caller's reference. */
void pb_set_node_settings(
    struct pb_context *ctx, struct pb_node *node, struct pb_settings *settings);
void pb_set_node_view(
    struct pb_context *ctx, struct pb_node *node, struct pb_view *view);

#endif
