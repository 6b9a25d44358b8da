#ifndef POPLARBEAM_ROUTING_H
#define POPLARBEAM_ROUTING_H

#include "poplarbeam/base.h"

/*
 * One version of the operator's configuration: routes, client accounts and the
 * limits for callers. It is immutable once built and reference counted, so that
 * a request in progress keeps the version that it started with.
 */

enum pb_route_kind {
	PB_ROUTE_IDEMPOTENT,
	PB_ROUTE_NON_IDEMPOTENT,
	PB_ROUTE_STREAMING
};

/* A service that a route may use, and its share of the route's requests. */
struct pb_backend {
	struct pb_str service;
	double weight;
};

struct pb_route {
	struct pb_str name;
	struct pb_str host;
	struct pb_str prefix; /* begins and ends with a slash */
	enum pb_route_kind kind;
	struct pb_backend *backends;
	size_t backend_count;
	int64_t timeout_us; /* time limit for the response */
	int64_t target_us; /* latency objective; 0: none */
	/* Objective for the longest pause between events; 0: none. */
	int64_t max_gap_us;
	int max_attempts; /* upstreams that a request may be sent to */
	int priority; /* 0 is the most urgent */
	bool public_access; /* no key required */
	bool resumable; /* streams may be resumed at another upstream */
};

struct pb_account {
	struct pb_str name;
	/* Takes precedence over the route's priority; PB_NO_PRIORITY: none. */
	int priority;
};

/* What the configuration says of the instances of one service. */
struct pb_service {
	struct pb_str name;
	/* How long an instance is cold after its start; 0: never. */
	int64_t cold_start_us;
	double cold_per_s; /* requests that a cold instance takes per second */
};

#define PB_NO_PRIORITY (-1)
/* Number of priorities; larger values are treated as the last one. */
#define PB_PRIORITY_COUNT 10

/*
 * Ranks of the requests for one service, from 0 (most urgent) to count - 1.
 * Requests are ordered by the priority of the account, or of the route if the
 * account has none, and then by the priority of the route.
 */
struct pb_ranks {
	int rank[PB_PRIORITY_COUNT][PB_PRIORITY_COUNT];
	int count;
};

struct pb_account_key {
	struct pb_str key;
	size_t account; /* index into accounts */
};

struct pb_caller_limits {
	size_t head_max; /* bytes */
	size_t body_max; /* bytes */
	int64_t head_timeout_us;
	int64_t idle_timeout_us;
};

struct pb_routing {
	int refs;
	struct pb_arena *arena;
	int64_t version;
	struct pb_route *routes; /* sorted by host and prefix */
	size_t route_count;
	struct pb_service *services;
	size_t service_count;
	struct pb_account *accounts;
	size_t account_count;
	struct pb_account_key *keys; /* sorted by key */
	size_t key_count;
	bool keys_required; /* the configuration has client accounts */
	struct pb_caller_limits limits;
};

/*
 * Creates an empty configuration with one reference. Returns NULL if out of
 * memory.
 */
struct pb_routing *pb_new_routing(struct pb_context *ctx);
struct pb_routing *pb_keep_routing(struct pb_routing *routing);
void pb_drop_routing(struct pb_context *ctx, struct pb_routing *routing);
/* Sorts the arrays for lookups; call once after they are filled. */
void pb_index_routing(struct pb_routing *routing);

/*
 * Returns the route of the host with the longest matching path prefix, or NULL.
 * A port in host and a query in target are ignored.
 */
const struct pb_route *pb_find_route(
    const struct pb_routing *routing, struct pb_str host, struct pb_str target);
/* Returns the account that the key belongs to, or NULL. */
const struct pb_account *pb_find_key_holder(
    const struct pb_routing *routing, struct pb_str key);
/* Assigns ranks to the combinations of priorities that the service can get. */
void pb_compute_ranks(const struct pb_routing *routing, struct pb_str service,
    struct pb_ranks *ranks);
int pb_rank_of(const struct pb_ranks *ranks, const struct pb_route *route,
    const struct pb_account *account);
/*
 * Selects a service in proportion to the weights, where draw is a random number
 * in [0, 1). Returns NULL if no service has a positive weight.
 */
const struct pb_backend *pb_draw_backend(
    const struct pb_route *route, double draw);

#endif
