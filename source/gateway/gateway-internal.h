#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include "poplarbeam/admission.h"
#include "poplarbeam/gateway.h"
#include "poplarbeam/retry.h"
#include "poplarbeam/suspects.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <sys/queue.h>

struct pb_conn;
struct pb_exchange;
struct pb_watch;
struct pb_gateway_metrics;
struct pb_follower;
struct pb_announcer;
struct pb_stream_reporter;

TAILQ_HEAD(pb_conn_list, pb_conn);
TAILQ_HEAD(pb_exchange_list, pb_exchange);

/* The retry budget and the admission queue of one service. */
struct pb_service_budget {
	char service[PB_INSTANCE_TEXT];
	struct pb_retry_window *window;
	struct pb_admission *admission;
	struct pb_ranks ranks; /* ranks of the configuration in ranks_version */
	int64_t ranks_version; /* configuration version; 0: not read yet */
	struct pb_service_budget *next;
};

struct pb_conn_ops;

/* What a listening address serves; the argument of its accept callback. */
struct pb_endpoint {
	struct pb_gateway *gw;
	const struct pb_conn_ops *ops;
};

struct pb_gateway {
	struct pb_context *ctx;
	const struct pb_adapter_ops *adapter;
	struct pb_gateway_settings settings;
	const char *path;
	struct event_base *base;
	struct evconnlistener *caller_listener;
	struct evconnlistener *ready_listener;
	struct evconnlistener *metrics_listener;
	struct pb_endpoint caller_endpoint;
	struct pb_endpoint ready_endpoint;
	struct pb_endpoint metrics_endpoint;
	struct evconnlistener *peer_listener;
	struct pb_endpoint peer_endpoint;
	struct event *sweep_timer;
	struct event *term_signal;
	struct event *reload_signal;
	struct pb_conn_list conns;
	struct pb_exchange_list exchanges;
	struct pb_routing *routing; /* configuration in force; NULL: none yet */
	int64_t routing_row; /* store version of the configuration's row */
	struct pb_buf routing_text; /* value of the configuration's row */
	/* routing_text compressed for other routers; empty until needed */
	struct pb_buf routing_compressed;
	struct pb_registry *registry;
	struct pb_suspects *suspects;
	struct pb_instance *store; /* server of the platform's store */
	struct pb_watch *routing_watch;
	struct pb_watch *instance_watch;
	struct pb_watch *router_watch;
	struct pb_follower *follower;
	struct pb_announcer *announcer;
	struct pb_stream_reporter *stream_reporter;
	/*
	 * When the configuration and the list of instances were last known to
	 * be current; 0: never.
	 */
	int64_t routing_fresh_us;
	int64_t instances_fresh_us;
	struct pb_service_budget *budgets;
	struct event *dispatch_timer; /* next check for free slots */
	struct pb_gateway_metrics *metrics;
	struct pb_random rnd;
	int64_t settings_time_ns; /* modification time of the settings file */
	int64_t buffered; /* bytes of requests and responses in progress */
	int64_t unreadable_loads; /* responses with an unreadable load */
	int64_t broken_attempts; /* connections that broke during an attempt */
	int64_t leaving_marks; /* instances that said that they are leaving */
	int64_t pause_marks; /* answers that asked for a pause */
	int64_t unreadable_pauses; /* such answers without a readable time */
	int64_t stop_us; /* start of the stop in progress; 0: none */
	bool last_ready; /* result of the last readiness check */
};

/* gateway-net.c */
/* Parses IP:PORT; returns false if the port is missing or out of range. */
bool pb_parse_address(
    const char *text, struct sockaddr_storage *addr, int *len);
/*
 * Sets socket options so that small responses are sent without delay and a lost
 * peer is detected.
 */
void pb_set_socket_options(evutil_socket_t fd);
/* Writes as much as the socket accepts now and queues the rest. */
int pb_write_now(struct bufferevent *bev, struct pb_str data);
/* Sets the timer to fire once after the delay; replaces an earlier setting. */
void pb_set_timer(struct event *timer, int64_t delay_us);

/* gateway-link.c: an outgoing connection to an upstream, router or store. */

enum pb_link_failure {
	PB_LINK_NOT_REACHED, /* not connected; nothing was sent */
	PB_LINK_BROKEN, /* closed before the response was complete */
	PB_LINK_PROTOCOL /* the response is not valid HTTP */
};

struct pb_link_call;

struct pb_link_call_ops {
	void (*head)(struct pb_link_call *call);
	void (*body)(struct pb_link_call *call, struct pb_str part);
	/* The call has no link any more when done or failed is called. */
	void (*done)(struct pb_link_call *call);
	void (*failed)(struct pb_link_call *call, enum pb_link_failure failure);
};

/* A body callback for calls that need only the status of the response. */
void pb_ignore_body(struct pb_link_call *call, struct pb_str part);

/* One request on a link; the first member of the struct of its owner. */
struct pb_link_call {
	const struct pb_link_call_ops *ops;
	struct pb_link *link; /* NULL: no request in progress */
};

struct pb_link {
	struct pb_gateway *gw;
	struct bufferevent *bev;
	struct pb_http_reader reader;
	struct pb_link_call *call;
	struct pb_instance *instance; /* holds a reference */
	struct pb_link *next_idle;
	int64_t idle_us; /* time when the link became idle */
	int64_t keep_alive_us; /* time that the peer keeps an idle link open */
	bool connected;
	bool reading; /* a callback of the reader may be running */
	bool drop_pending; /* to be dropped when reading ends */
	bool skipping; /* discards a response that belongs to no call */
	bool not_reusable; /* closed after the current call */
	bool reused; /* was idle before the current call */
};

/* Opens a connection to the instance; returns NULL on failure. */
struct pb_link *pb_open_link(
    struct pb_gateway *gw, struct pb_instance *instance);
/* Returns an idle connection to the instance or a new one; NULL on failure. */
struct pb_link *pb_take_link(
    struct pb_gateway *gw, struct pb_instance *instance);
void pb_drop_link(struct pb_link *link);
void pb_drop_idle_links(struct pb_instance *instance);
/* Sends a complete request; a link carries one call at a time. */
int pb_send_call(struct pb_link *link, struct pb_link_call *call,
    struct pb_str head, struct pb_str body);
/* Cancels the call, if in progress, and closes its connection. */
void pb_cancel_call(struct pb_link_call *call);
/*
 * Call from the head callback if the response does not belong to this call.
 * Discards it and waits for the next response.
 */
void pb_skip_response(struct pb_link_call *call);

/* gateway-conn.c: an accepted connection of a caller or another router. */

struct pb_conn_ops {
	/* Called when a request is complete. */
	void (*request)(struct pb_conn *conn);
};

struct pb_conn {
	const struct pb_conn_ops *ops;
	struct pb_gateway *gw;
	struct bufferevent *bev;
	struct pb_http_reader reader;
	struct pb_buf body;
	struct pb_exchange *exchange; /* NULL: no request in progress */
	int64_t activity_us; /* last message start or end, or output sent */
	int64_t held_us; /* arrival of the poll that is held; 0: none */
	struct pb_peer_streams *streams; /* counts from the peer, or NULL */
	int64_t streams_us; /* time of that report */
	size_t output_len; /* response bytes not sent yet */
	size_t counted_bytes; /* bytes of this connection in gw->buffered */
	bool handling; /* a complete request has no full response yet */
	bool reading; /* a callback of the reader may be running */
	bool chunked; /* the response in progress uses chunked coding */
	bool close_after; /* close when the response has been sent */
	bool lingering; /* all output sent; waits for the peer to close */
	bool drop_pending; /* to be dropped when reading ends */
	TAILQ_ENTRY(pb_conn) entry;
};

/* Fills in endpoint, which must outlive the listener. */
struct evconnlistener *pb_open_listener(struct pb_gateway *gw,
    struct pb_endpoint *endpoint, const char *address,
    const struct pb_conn_ops *ops);
/*
 * Sends a complete response. fields holds further header lines, each with its
 * line end.
 */
void pb_send_response(
    struct pb_conn *conn, int status, struct pb_str fields, struct pb_str body);
/*
 * Send a response of unknown length: pb_start_response sends the head, each
 * pb_send_response_part a part of the body, and pb_end_response ends the
 * response.
 */
void pb_start_response(struct pb_conn *conn, int status, struct pb_str fields);
void pb_send_response_part(struct pb_conn *conn, struct pb_str part);
void pb_end_response(struct pb_conn *conn);
/*
 * Closes the connection during a response, so that the caller sees that the
 * response is not complete.
 */
void pb_abort_response(struct pb_conn *conn);
void pb_drop_conn(struct pb_conn *conn);
/*
 * Drops connections that are idle or lingering for too long or have too much
 * unsent output, and rejects requests that arrive too slowly.
 */
void pb_sweep_conns(struct pb_gateway *gw);
/* Closes idle connections unless they were used very recently. */
void pb_close_idle_conns(struct pb_gateway *gw);

/* gateway-request.c: checks a request and starts its exchange. */
extern const struct pb_conn_ops pb_caller_ops;

/* gateway-ready.c */
extern const struct pb_conn_ops pb_ready_ops;
extern const struct pb_conn_ops pb_metrics_ops;
bool pb_is_ready(struct pb_gateway *gw);
/*
 * Refuses a request that has not run and sends the time after which the caller
 * may retry: after_us, or if that is 0 a short random time that leaves enough
 * of left_us, the time until the deadline of the request.
 */
void pb_refuse_conn(
    struct pb_conn *conn, int status, int64_t left_us, int64_t after_us);

/* gateway-watch.c: follows one table of the store. */

struct pb_watch_ops {
	void (*apply_row)(struct pb_gateway *gw, struct pb_arena *arena,
	    const struct pb_store_row *row);
	/*
	 * Called at the start and the end of a listing, which replaces all
	 * earlier rows; may be NULL.
	 */
	void (*begin_listing)(struct pb_gateway *gw);
	void (*end_listing)(struct pb_gateway *gw);
	/*
	 * Called when all rows up to this store version are applied; may be
	 * NULL.
	 */
	void (*note_complete)(struct pb_gateway *gw, int64_t version);
	/*
	 * Returns the store version up to which all data is known already, from
	 * the store or from another router; 0: none. May be NULL.
	 */
	int64_t (*known_version)(const struct pb_gateway *gw);
	/*
	 * Called before a response is applied, with the time when it was
	 * current; may be NULL.
	 */
	void (*note_fresh)(struct pb_gateway *gw, int64_t fresh_us);
	/*
	 * Returns the maximum age of the data, in us. To stay below it, the
	 * watch lets a slow store hold requests for a shorter time. NULL: no
	 * limit.
	 */
	int64_t (*max_age)(const struct pb_gateway *gw);
	/*
	 * The store delivers every version of a row in turn; a listing after a
	 * change skips to the newest version.
	 */
	bool relists_after_change;
	/*
	 * Pauses after a large response to leave most of a small link to
	 * callers.
	 */
	bool limits_bandwidth;
	enum pb_store_table table;
	const char *name;
	int wait_ms; /* how long the store may hold a request */
	int64_t period_us; /* minimum time between two requests */
	int64_t list_period_us; /* interval of full listings */
};

/* paused: no requests are sent until the watch is resumed. */
struct pb_watch *pb_new_watch(
    struct pb_gateway *gw, const struct pb_watch_ops *ops, bool paused);
void pb_drop_watch(struct pb_watch *watch);
/* Returns true from a failed request to the next successful response. */
bool pb_is_watch_failing(const struct pb_watch *watch);
/*
 * Cancels the call in progress and sends no requests until the watch is
 * resumed.
 */
void pb_pause_watch(struct pb_watch *watch);
/* Sends a request at once if the watch was paused. */
void pb_resume_watch(struct pb_watch *watch);
/* Starts a full listing as soon as possible, even if the watch is paused. */
void pb_request_listing(struct pb_watch *watch);

/* gateway-state.c: applies rows of the store and records their age. */
extern const struct pb_watch_ops pb_routing_watch_ops;
extern const struct pb_watch_ops pb_instance_watch_ops;
extern const struct pb_watch_ops pb_router_watch_ops;
/* Applies the configuration of the row unless it is older. */
void pb_apply_routing_row(
    struct pb_gateway *gw, struct pb_str value, int64_t row_version);
void pb_note_routing_fresh(struct pb_gateway *gw, int64_t fresh_us);
/*
 * Limits of the time since the configuration was last confirmed, in us: above
 * pb_routing_age_max, keys may have been revoked; above pb_routing_age_ready,
 * the router is not ready for new connections.
 */
int64_t pb_routing_age_max(const struct pb_gateway *gw);
int64_t pb_routing_age_ready(const struct pb_gateway *gw);
/* A router does not use a peer's list of instances that is older than this. */
#define PB_INSTANCES_AGE_MAX_US (1400 * PB_MSEC)
/*
 * Records that the list of instances was current at fresh_us. If that is long
 * after the previous time, entries may have expired meanwhile, and their
 * removal is deferred. Call before applying the new data.
 */
void pb_note_instances_fresh(struct pb_gateway *gw, int64_t fresh_us);

/* gateway-routers.c: the list of other routers. */

struct pb_router {
	/* Holds a reference. Its hash sets the order of the routers. */
	struct pb_instance *instance;
	char domain[PB_INSTANCE_TEXT]; /* its failure domain */
	int unanswered_count; /* consecutive polls without an answer */
	struct pb_router *next;
};

struct pb_router_list {
	struct pb_router *first;
	size_t count;
	/* The store has this router's row with its current address. */
	bool has_own_row;
};

/* Adds, changes or removes the router of a row, except this router itself. */
void pb_apply_router_row(struct pb_gateway *gw, struct pb_router_list *list,
    const struct pb_store_row *row);
/* Returns NULL if no router in the list has this instance. */
struct pb_router *pb_find_router(
    const struct pb_router_list *list, const struct pb_instance *instance);
/*
 * Returns the router of the domain with the lowest hash below limit, or NULL.
 * Routers that are avoided as unreachable are left out.
 */
struct pb_instance *pb_first_router(struct pb_gateway *gw,
    const struct pb_router_list *list, const char *domain, uint64_t limit);
/* Counts this router and all other known ones, of all failure domains. */
size_t pb_count_routers(const struct pb_gateway *gw);
void pb_clear_routers(struct pb_router_list *list);

/* gateway-follow.c: polls another router instead of reading the store. */
struct pb_follower *pb_new_follower(struct pb_gateway *gw);
void pb_drop_follower(struct pb_follower *follower);
/*
 * Returns true while this router follows one that precedes it in the order of
 * hashes. The data of that router replaces the store's and may be passed on.
 */
bool pb_is_following(const struct pb_follower *follower);
/* Returns true if the followed router has a newer configuration. */
bool pb_is_routing_outdated(const struct pb_follower *follower);
/* Returns the list of other routers, to which rows are applied. */
struct pb_router_list *pb_known_routers(struct pb_follower *follower);
/* Called when all rows of a listing of routers are applied. */
void pb_note_routers_listed(struct pb_follower *follower);

/* gateway-announce.c: writes this router's row to the store once. */
struct pb_announcer *pb_new_announcer(struct pb_gateway *gw);
void pb_start_announcer(struct pb_announcer *announcer);
void pb_drop_announcer(struct pb_announcer *announcer);

/* gateway-peer.c: answers requests from other routers. */
#define PB_CHANGES_PATH "/changes"
#define PB_ROUTING_PATH "/routing"
#define PB_STREAMS_PATH "/streams"
extern const struct pb_conn_ops pb_peer_ops;
/* Answers held polls when there are changes or the hold time is over. */
void pb_answer_held_polls(struct pb_gateway *gw);

/* gateway-memory.c: counts and limits buffered bytes. */
/*
 * Update the count of buffered bytes. Call when the buffers of a connection or
 * of an exchange's response may have changed.
 */
void pb_update_conn_memory(struct pb_conn *conn);
void pb_update_response_memory(struct pb_exchange *x);
/*
 * While the buffered bytes exceed the limit, ends the exchange or connection
 * that holds most of them. Any exchange may have ended after the call.
 */
void pb_enforce_memory_limit(struct pb_gateway *gw);
/*
 * Returns true if the received part of the response, or of the next event of a
 * stream, exceeds its limit.
 */
bool pb_is_response_too_large(const struct pb_exchange *x);

/* gateway-streams.c: stream counts that routers exchange. */
struct stream_report;
struct change_question;
/*
 * Stores up to STREAMS_MAX reports and returns their number. The counts cover
 * all known routers if all is true, else those of this failure domain; the
 * counts of except (may be NULL) are left out.
 */
unsigned int pb_fill_streams(struct pb_gateway *gw, bool all,
    const struct pb_peer_streams *except, struct stream_report *reports);
/* Replaces the stream counts that the peer reported on this connection. */
void pb_replace_peer_streams(struct pb_conn *conn, enum pb_peer_scope scope,
    const struct stream_report *reports, unsigned int count);
/* Drops the stream counts of the connection's peer if they are outdated. */
void pb_expire_streams(struct pb_conn *conn);
/* Applies the stream counts that the followed router has reported. */
void pb_apply_streams(struct pb_gateway *gw,
    const struct stream_report *reports, unsigned int count);
/*
 * Reports the stream counts and crashes of this failure domain to the other
 * failure domains while this router does not follow another one.
 */
struct pb_stream_reporter *pb_new_stream_reporter(struct pb_gateway *gw);
void pb_drop_stream_reporter(struct pb_stream_reporter *stream_reporter);

/* gateway-reports.c: reports on instances that routers exchange. */
struct load_report;
struct outcome_report;
struct change_answer;
/* Applies another router's answer to a poll that was sent at sent_us. */
void pb_apply_changes(
    struct pb_gateway *gw, const struct change_answer *answer, int64_t sent_us);
/*
 * Fill load reports for another router, or apply those of another router. If
 * own is true, only loads that this router received from instances are filled
 * in.
 */
void pb_fill_load_reports(struct pb_gateway *gw, int64_t since_us, bool own,
    struct load_report *reports, unsigned int *count);
void pb_apply_load_reports(struct pb_gateway *gw,
    const struct load_report *reports, unsigned int count);
/*
 * Fill up to OUTCOMES_MAX reports and return their number. The first function
 * reports this router's own outcomes, each only once; the second one reports
 * the shared outcomes.
 */
unsigned int pb_fill_unsent_outcomes(
    struct pb_gateway *gw, struct outcome_report *reports);
unsigned int pb_fill_shared_outcomes(
    struct pb_gateway *gw, struct outcome_report *reports);
/* Adds the outcomes of a polling router to the shared ones. */
void pb_add_outcomes(struct pb_gateway *gw,
    const struct outcome_report *reports, unsigned int count);

/* Crashes of instances, with the requests that were in progress there. */
struct crash_report;
unsigned int pb_fill_crashes(
    struct pb_gateway *gw, struct crash_report *reports);
void pb_apply_crashes(struct pb_gateway *gw, const struct crash_report *reports,
    unsigned int count);

/* gateway-wait.c: requests that wait for free slots, by rank. */
struct pb_exchange;
/*
 * Chooses an instance by the rank of the exchange and the load. Returns NULL
 * if there is none; facts->full is true then if the exchange may wait.
 */
struct pb_instance *pb_choose_for_exchange(
    struct pb_exchange *x, struct pb_placement_facts *facts);
/*
 * Queues an exchange for which no instance has a free slot, or refuses it if it
 * cannot be served in time. facts: of the choice that found none.
 */
void pb_wait_for_slot(
    struct pb_exchange *x, const struct pb_placement_facts *facts);
/* Sets the rank of the exchange. Its route, account and budget must be set. */
void pb_set_rank(struct pb_exchange *x);
/*
 * Records whether the response was late. Called when the response has started,
 * or when the request has ended without one.
 */
void pb_note_latency(struct pb_exchange *x);
/* Schedules the sending of waiting requests after a slot may be free. */
void pb_schedule_dispatch(struct pb_gateway *gw);
struct event *pb_new_dispatch_timer(struct pb_gateway *gw);

/* gateway-exchange.c: one request and its attempts at upstreams. */

#define PB_TRIED_MAX 8

struct pb_exchange {
	struct pb_link_call call;
	struct pb_gateway *gw;
	struct pb_conn *conn; /* NULL: the caller has disconnected */
	struct pb_arena *arena;
	struct pb_routing *routing; /* counted reference */
	const struct pb_route *route;
	const struct pb_account *account; /* NULL: none */
	struct pb_service_budget *budget;
	struct pb_waiter waiter; /* entry in the queue for a free slot */
	int64_t wait_end_us; /* refused at this time if still queued */
	int rank; /* priority among the ranks of the service; 0: highest */
	bool boosted; /* sent with the highest priority against starvation */
	struct pb_str request_id;
	char log_id[64]; /* request ID for log lines, truncated if needed */
	struct pb_str service;
	/* The request head as it is forwarded, without the final empty line. */
	struct pb_buf head;
	struct pb_buf body;
	bool has_body;
	uint64_t affinity;
	/* Ids of the prompt parts that other requests may share. */
	struct pb_str shared_parts[PB_PROMPT_PARTS_MAX];
	size_t shared_part_count;
	/* Of the request, then of each shared part. */
	uint64_t fingerprints[1 + PB_PROMPT_PARTS_MAX];
	int64_t attempt_event_us; /* first event of the attempt; 0: none */
	bool parts_cleared; /* the shared parts are known not to crash */
	int64_t prompt_tokens;
	int64_t received_us;
	int64_t deadline_us;
	int64_t attempt_us; /* start of the attempt in progress */
	/*
	 * Last arrival of the response head, of a complete event of a stream
	 * or of any data of another response.
	 */
	int64_t progress_us;
	/* Last check at which a silent attempt was allowed to continue. */
	int64_t stall_checked_us;
	/* The instance of the attempt in progress, a counted reference. */
	struct pb_instance *instance;
	struct pb_instance *tried[PB_TRIED_MAX]; /* counted references */
	size_t tried_count;
	int attempts; /* attempts that an upstream may have run */
	bool on_reused_link; /* the attempt uses an existing connection */
	bool silence_noted; /* counted as failed; the attempt continues */
	bool may_have_run;
	bool repeatable; /* may run more than once */
	/* When a refused caller may retry; 0: after a short random time. */
	int64_t retry_after_us;
	/* The response. */
	int status;
	struct pb_response_info info; /* of the attempt in progress */
	struct pb_buf response_fields;
	struct pb_buf response;
	/* Bytes of response that are counted in gw->buffered. */
	size_t response_counted_bytes;
	bool streaming; /* events are forwarded as they arrive */
	bool until_close; /* ends with the connection, without a length */
	bool started; /* the response head was sent to the caller */
	bool unusable; /* not intact, or not the upstream's own response */
	bool has_last_event;
	int64_t last_event;
	/* When the first part of a streamed response was sent to the caller. */
	int64_t first_us;
	const char *outcome; /* for the log */
	struct event *timer;
	TAILQ_ENTRY(pb_exchange) entry;
};

/* Takes over the body of conn. The exchange frees itself when it has ended. */
void pb_start_exchange(struct pb_exchange *x);
struct pb_exchange *pb_new_exchange(struct pb_conn *conn);
void pb_drop_exchange(struct pb_exchange *x);
/* Sets the timer to the time of the next check of the exchange. */
void pb_arm_exchange(struct pb_exchange *x);
/* Called when the caller has closed its connection. */
void pb_detach_caller(struct pb_exchange *x);

/* gateway-attempt.c: chooses an upstream and sends the request. */
void pb_next_attempt(struct pb_exchange *x);
/* Ends an attempt whose response cannot be used, and its exchange. */
void pb_end_attempt(struct pb_exchange *x, const char *why);
/* Ends the exchange without a response of an upstream. */
void pb_fail_exchange(struct pb_exchange *x, int status, const char *why);
/* Counts and logs the outcome and frees the exchange. */
void pb_finish_exchange(struct pb_exchange *x, const char *outcome);
/* Releases the instance of the current attempt. */
void pb_release_instance(struct pb_exchange *x);
/* Returns true if another attempt is allowed, and charges the retry budget. */
bool pb_take_attempt(struct pb_exchange *x);

/* gateway-word.c */
/*
 * Applies what the instance says of itself in the head of an answer, which is
 * in x->info. is_own_answer: the answer belongs to this request.
 */
void pb_note_instance_word(
    struct pb_exchange *x, int status, bool is_own_answer);

/* gateway-contain.c: limits requests that crash the instances they run on. */
/* Sets the fingerprints. The body and the account must be set. */
void pb_set_fingerprints(struct pb_exchange *x);
/*
 * Returns why the request is refused, and sets when its caller may retry.
 * Returns NULL if it may run.
 */
const char *pb_find_refusal(struct pb_exchange *x);
/* Records that the request received a complete response. */
void pb_note_sound_request(struct pb_exchange *x);
/* Records that an event of the response has arrived. */
void pb_note_stream_progress(struct pb_exchange *x);
/*
 * Records that the connection broke while the instance worked on the request,
 * which may have crashed it.
 */
void pb_note_broken_attempt(struct pb_exchange *x);

/* gateway-events.c */
/*
 * Forwards complete events of the response to the caller. Returns false if an
 * event is out of order.
 */
bool pb_forward_events(struct pb_exchange *x);

/* gateway-metrics.c */
struct pb_gateway_metrics *pb_new_gateway_metrics(void);
void pb_drop_gateway_metrics(struct pb_gateway_metrics *metrics);
void pb_count_outcome(struct pb_gateway_metrics *metrics,
    enum pb_route_kind kind, const char *outcome, int64_t us);
int pb_format_gateway_metrics(const struct pb_gateway *gw, struct pb_buf *buf);

/* gateway-stop.c */
void pb_begin_stop(struct pb_gateway *gw);
/*
 * Returns false if the end of a stop in progress could abort a request with
 * this timeout. Requests that arrive early in a stop are always accepted.
 */
bool pb_admits_request(const struct pb_gateway *gw, int64_t timeout_us);
/* Continues a stop in progress. Called by the sweep timer. */
void pb_continue_stop(struct pb_gateway *gw);

#endif
