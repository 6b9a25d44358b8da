#ifndef POPLARBEAM_OWNER_H
#define POPLARBEAM_OWNER_H

#include "poplarbeam/cell.h"
#include "poplarbeam/node.h"

/*
 * The owner's side of a router: the cells that it owns, the requests that wait
 * in them, and the calls to the upstreams.
 */

/* One request on its way, as the entry router describes it. */
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
	int64_t deadline_us; /* monotonic; the whole request */
	int64_t idle_us; /* longest silence of the upstream */
	bool idempotent;
	const char *method;
	const char *target; /* path and query */
	const struct pb_header *headers;
	size_t header_count;
	struct pb_str body;
	char resume_on[48]; /* upstream that runs the stream already */
	uint64_t resume_after;
	char failed_owner[48]; /* router that the sender could not reach */
};

enum pb_run_kind {
	PB_RUN_STARTED, /* the answer's head went to the sink */
	PB_RUN_NOT_RUN, /* no byte reached an upstream */
	PB_RUN_UNKNOWN /* sent, and no answer came */
};

struct pb_run_result {
	enum pb_run_kind kind;
	enum pb_refusal reason; /* for PB_RUN_NOT_RUN */
	char code[24]; /* the reason's name, or what failed */
	char upstream[48]; /* where it ran */
	char owner[48]; /* who owns the cell, for NOT_OWNER */
	int64_t retry_after_us;
	bool complete; /* the answer arrived whole, as framed */
	bool sink_stopped; /* the receiver broke off */
};

struct pb_owner;

struct pb_owner *pb_new_owner(struct pb_context *ctx, struct pb_node *node);
/* All requests must have ended. */
void pb_drop_owner(struct pb_context *ctx, struct pb_owner *owner);

/*
 * Runs a request in one of this router's cells: waits for its turn, calls the
 * upstream and passes the answer to sink. Blocks until it ended.
 */
void pb_run_request(struct pb_context *ctx, struct pb_owner *owner,
    const struct pb_request *req, struct pb_sink *sink,
    struct pb_run_result *result);

/* Takes over the upstreams of the current view and the settings in force. */
void pb_sync_owner(struct pb_context *ctx, struct pb_owner *owner);
/* Expires waiting requests. */
void pb_tick_owner(struct pb_context *ctx, struct pb_owner *owner);

/* One upstream of an owned cell that should be asked for its load. */
struct pb_probe {
	uint64_t cell;
	char id[48];
	char address[48];
	uint64_t incarnation;
	uint32_t call_work; /* of one call of a plain service; 0: model */
};

/* Upstreams whose last report is older than age_us; returns how many. */
size_t pb_list_probes(struct pb_context *ctx, struct pb_owner *owner,
    int64_t age_us, struct pb_probe *out, size_t cap);
/* What a probe brought. */
void pb_note_probe(struct pb_context *ctx, struct pb_owner *owner,
    const struct pb_probe *probe, uint64_t work, int64_t age_us);

/* State of one cell, for status and digests. */
struct pb_cell_summary {
	uint64_t id;
	char service[48];
	int number;
	bool owned; /* by the current view */
	struct pb_cell_stats stats;
};

size_t pb_list_cells(struct pb_context *ctx, struct pb_owner *owner,
    struct pb_cell_summary *out, size_t cap);

/* Runs fn on a cell under its lock; false when it is not here. */
bool pb_with_cell(struct pb_context *ctx, struct pb_owner *owner, uint64_t id,
    void (*fn)(struct pb_context *ctx, struct pb_cell *cell, void *arg),
    void *arg);
/* Runs fn on every cell, each under its lock. */
void pb_each_cell(struct pb_context *ctx, struct pb_owner *owner,
    void (*fn)(
	struct pb_context *ctx, struct pb_cell *cell, uint64_t id, void *arg),
    void *arg);

#endif
