#ifndef POPLARBEAM_ROUTER_INTERNAL_H
#define POPLARBEAM_ROUTER_INTERNAL_H

#include "poplarbeam/caller.h"
#include "poplarbeam/digest.h"
#include "poplarbeam/node.h"
#include "poplarbeam/owner.h"
#include "poplarbeam/peer.h"
#include "poplarbeam/relay.h"
#include "poplarbeam/router.h"
#include "poplarbeam/server.h"
#include "poplarbeam/store.h"

#include <pthread.h>

enum router_thread {
	THREAD_TIMER,
	THREAD_INSTANCES,
	THREAD_SETTINGS,
	THREAD_PROBE,
	THREAD_DIGEST,
	THREAD_CLAIMS,
	THREAD_LEASES,
	THREAD_ORDERS,
	THREAD_COUNT
};

struct order_job;

struct pb_router {
	struct pb_node *node;
	struct pb_owner *owner;

	pthread_mutex_t members_lock;
	struct pb_members *members;

	pthread_mutex_t gate_lock;
	struct pb_settings_gate *gate;
	pthread_cond_t settings_cond; /* a newer revision was reported */
	struct pb_buf settings_text; /* settings in force, as sent to peers */
	uint64_t settings_text_revision;

	pthread_mutex_t fetch_lock; /* taken before gate_lock */
	struct pb_settings_tree latest_tree; /* last tree that was read */

	pthread_mutex_t digest_lock;
	struct pb_digest *digest;
	struct pb_peer_server *peer_server;
	uint64_t failed_peer; /* last exchange with it failed; 0: none */
	uint64_t retried_peer; /* failed peer that was tried again */
	struct pb_peer_counts control_bytes; /* RPC traffic between routers */

	pthread_mutex_t orders_lock;
	struct order_job *order_jobs; /* changed by the lease thread only */

	struct pb_relay_server *relay_server;
	struct pb_caller_server *caller_server;
	struct pb_server *admin_server;

	pthread_t threads[THREAD_COUNT];
	int thread_count;
	_Atomic int stopping;
	_Atomic int drain_requested;
};

/* Sleeps for us microseconds. Returns false if the router is stopping. */
bool router_sleep(struct pb_router *r, int64_t us);

/*
 * Estimated bytes of one probe and of one poll of the platform that returns
 * nothing new, including IP and TCP headers. A request has about 100 bytes and
 * a response 150 to 250. Each side sends two segments with 52 bytes of headers.
 */
#define PROBE_SENT 210
#define PROBE_RECEIVED 350
#define POLL_SENT 230
#define POLL_RECEIVED 280

/* Returns the number of routers in the current view, at least 1. */
int router_count_routers(struct pb_context *ctx, struct pb_router *r);
/*
 * Returns the interval between polls of the platform, at least base_us. The
 * interval grows with the number of routers, because the changes that one
 * router finds reach all other routers in digests.
 */
int64_t router_scale_interval(
    struct pb_context *ctx, struct pb_router *r, int64_t base_us);
/*
 * Counts control traffic outside of digests, and subtracts the bytes sent from
 * the digests' budget.
 */
void router_charge_traffic(
    struct pb_context *ctx, struct pb_router *r, size_t sent, size_t received);
/*
 * Returns the age at which a load report is renewed. The age grows with the
 * number of upstreams to keep probes within their share of the budget.
 */
int64_t router_max_report_age(struct pb_context *ctx, struct pb_router *r);

/* Instance list of the platform, evidence about instances, published view. */
int router_init_members(struct pb_context *ctx, struct pb_router *r);
int router_fetch_instances(struct pb_context *ctx, struct pb_router *r);
void router_publish_view(struct pb_context *ctx, struct pb_router *r);
void *router_run_instances(void *arg);
void *router_run_timer(void *arg);
void *router_run_probe(void *arg);

/* Reads settings, checks them and puts them in force. */
int router_init_settings(struct pb_context *ctx, struct pb_router *r);
/*
 * Reads the head revision from the table and fetches the settings if a newer
 * revision is known.
 */
void router_poll_settings(struct pb_context *ctx, struct pb_router *r);
/*
 * Records the revision that a peer reported, and wakes the settings thread if a
 * newer revision is known. sent_us is the time at which this router sent its
 * request, or the time of receipt if the report was not requested.
 */
void router_note_peer_revision(struct pb_context *ctx, struct pb_router *r,
    uint64_t peer, uint64_t revision, int64_t sent_us);
void *router_run_settings(void *arg);

/* Exchange of digests with peers, and handlers of the peers' calls. */
int router_init_digest(struct pb_context *ctx, struct pb_router *r);
int router_start_peer(struct pb_context *ctx, struct pb_router *r);
void *router_run_digest(void *arg);
/* Publishes the facts that this router knows in its digest. */
void router_publish_facts(struct pb_context *ctx, struct pb_router *r);
/* Publishes that exchanges with a router failed repeatedly. */
void router_publish_down(
    struct pb_context *ctx, struct pb_router *r, const struct pb_member *peer);
/* Applies a fact received from a peer. */
void router_apply_fact(void *arg, const struct pb_fact *fact);
/* Passes the demand reported by other cells to the limiters of owned cells. */
void router_apply_demand(struct pb_context *ctx, struct pb_router *r);
/*
 * Fetches settings of revision wanted or newer from a peer. Returns PB_OK if a
 * tree was fetched.
 */
int router_fetch_peer_settings(struct pb_context *ctx, struct pb_router *r,
    uint64_t wanted, struct pb_settings_tree *tree);

/* Records outstanding outcomes of claims and deletes expired claim rows. */
void *router_run_claims(void *arg);
/*
 * Records outstanding outcomes of claims. Returns the number of outcomes that
 * are still not recorded.
 */
size_t router_flush_claim_backlog(struct pb_context *ctx, struct pb_router *r);

/* Leases for orders, and passes that send orders to upstreams. */
void *router_run_leases(void *arg);
void *router_run_orders(void *arg);
/* Releases the leases. Must be called after the threads have ended. */
void router_drop_orders(struct pb_context *ctx, struct pb_router *r);

/* HTTP server for operators. */
int router_start_admin(struct pb_context *ctx, struct pb_router *r);

#endif
