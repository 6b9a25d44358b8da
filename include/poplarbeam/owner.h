#ifndef POPLARBEAM_OWNER_H
#define POPLARBEAM_OWNER_H

#include "poplarbeam/cell.h"
#include "poplarbeam/node.h"

/*
 * The part of a router that acts as owner of cells: it holds the cells, queues
 * the requests in them and makes the calls to the upstreams.
 */

/* One request, as described by the router that received it from the caller. */
struct pb_request {
	char id[36];
	const char *service;
	const char *account;
	int cell; /* number of the cell within the service and region */
	int rank;
	uint64_t chat;
	uint64_t fingerprint;
	uint32_t work;
	int64_t wait_us; /* longest wait in the queue */
	int64_t deadline_us; /* end of the whole request, monotonic time */
	int64_t idle_us; /* longest time without data from the upstream */
	bool idempotent;
	const char *method;
	const char *target; /* path and query */
	const struct pb_header *headers;
	size_t header_count;
	struct pb_str body;
	char resume_on[48]; /* upstream that runs the stream; empty: none */
	uint64_t resume_after; /* ID of the last event that arrived */
	char failed_owner[48]; /* router that the sender could not reach */
};

enum pb_run_kind {
	PB_RUN_STARTED, /* the response head was passed to the sink */
	PB_RUN_NOT_RUN, /* no upstream ran the request */
	PB_RUN_UNKNOWN /* sent, but no usable response head arrived */
};

struct pb_run_result {
	enum pb_run_kind kind;
	enum pb_refusal reason; /* for PB_RUN_NOT_RUN */
	char code[24]; /* name of the reason, or the error code of the call */
	char upstream[48]; /* upstream of the last call */
	char owner[48]; /* router that owns the cell, for NOT_OWNER */
	int64_t retry_after_us;
	bool complete; /* the response arrived complete by its framing */
	bool sink_stopped; /* the receiver of the response stopped reading */
};

struct pb_owner;

struct pb_owner *pb_new_owner(struct pb_context *ctx, struct pb_node *node);
/* To be called after all requests have ended. */
void pb_drop_owner(struct pb_context *ctx, struct pb_owner *owner);

/*
 * Runs a request in a cell of this router: waits until the cell starts it,
 * calls the upstream and passes the response to sink. Blocks until the request
 * has ended.
 */
void pb_run_request(struct pb_context *ctx, struct pb_owner *owner,
    const struct pb_request *req, struct pb_sink *sink,
    struct pb_run_result *result);

/* Updates all cells from the current view and the settings in force. */
void pb_sync_owner(struct pb_context *ctx, struct pb_owner *owner);
/* Calls pb_tick_cell for every cell. */
void pb_tick_owner(struct pb_context *ctx, struct pb_owner *owner);

/* One upstream of an owned cell whose load is to be read. */
struct pb_probe {
	uint64_t cell;
	char id[48];
	char address[48];
	uint64_t incarnation;
	uint32_t call_work; /* work units per call; 0 for a model service */
};

/*
 * Writes the upstreams that were last listed here at least age_us ago and
 * returns their number.
 */
size_t pb_list_probes(struct pb_context *ctx, struct pb_owner *owner,
    int64_t age_us, struct pb_probe *out, size_t cap);
/* Passes the load that a probe returned to the cell. */
void pb_report_probe(struct pb_context *ctx, struct pb_owner *owner,
    const struct pb_probe *probe, uint64_t work, int64_t age_us);

/* State of one cell, for status and digests. */
struct pb_cell_summary {
	uint64_t id;
	char service[48];
	int number;
	bool owned; /* this router owns the cell by the current view */
	struct pb_cell_stats stats;
};

size_t pb_list_cells(struct pb_context *ctx, struct pb_owner *owner,
    struct pb_cell_summary *out, size_t cap);

/* Calls fn for a cell under its lock. Returns false for an unknown cell. */
bool pb_with_cell(struct pb_context *ctx, struct pb_owner *owner, uint64_t id,
    void (*fn)(struct pb_context *ctx, struct pb_cell *cell, void *arg),
    void *arg);
/* Calls fn for every cell, each under its own lock. */
void pb_each_cell(struct pb_context *ctx, struct pb_owner *owner,
    void (*fn)(
	struct pb_context *ctx, struct pb_cell *cell, uint64_t id, void *arg),
    void *arg);

#endif
