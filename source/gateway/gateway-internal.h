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
struct pb_follow;
struct pb_announce;
struct pb_teller;

TAILQ_HEAD(pb_conn_list, pb_conn);
TAILQ_HEAD(pb_exchange_list, pb_exchange);

/* The retry budget of one service. */
struct pb_service_budget {
	char service[PB_INSTANCE_TEXT];
	struct pb_retry_window *window;
	struct pb_admission *admission;
	struct pb_ranks ranks; /* in the configuration of that version */
	int64_t ranks_version; /* 0: not read yet */
	struct pb_service_budget *next;
};

struct pb_conn_ops;

/* What an address that is listened on serves. */
struct pb_entrance {
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
	struct pb_entrance caller_entrance;
	struct pb_entrance ready_entrance;
	struct pb_entrance metrics_entrance;
	struct evconnlistener *peer_listener;
	struct pb_entrance peer_entrance;
	struct event *sweep_timer;
	struct event *term_signal;
	struct event *reload_signal;
	struct pb_conn_list conns;
	struct pb_exchange_list exchanges;
	struct pb_routing *routing; /* NULL: none read yet */
	int64_t routing_row; /* store version of its row */
	struct pb_buf routing_text; /* its row */
	struct pb_buf routing_packed; /* the same for other routers, or empty */
	struct pb_registry *registry;
	struct pb_suspects *suspects;
	struct pb_instance *store; /* the platform's store */
	struct pb_watch *routing_watch;
	struct pb_watch *instance_watch;
	struct pb_watch *router_watch;
	struct pb_follow *follow;
	struct pb_announce *announce;
	struct pb_teller *teller;
	int64_t routing_fresh_us; /* the routing was current then; 0: never */
	int64_t instances_fresh_us; /* the same for the instances */
	struct pb_service_budget *budgets;
	struct event *room_timer; /* looks for room for requests that wait */
	struct pb_gateway_metrics *metrics;
	struct pb_random rnd;
	int64_t settings_time_ns; /* modification time of the file */
	int64_t buffered; /* bytes of requests and answers on their way */
	int64_t unreadable_loads; /* answers whose load cannot be read */
	int64_t stop_us; /* when a stop began; 0: not stopping */
	bool ready_said; /* the last answer about readiness */
};

/* gateway-net.c */
bool pb_parse_address(
    const char *text, struct sockaddr_storage *addr, int *len);
/* Small answers are sent at once, and a silent peer is detected. */
void pb_tune_socket(evutil_socket_t fd);
/* Writes what the socket takes now and queues the rest. */
int pb_write_now(struct bufferevent *bev, struct pb_str data);
/* The timer fires once, that much later; an earlier time is replaced. */
void pb_set_timer(struct event *timer, int64_t delay_us);

/* gateway-link.c: a connection to an upstream or to the store. */

enum pb_link_failure {
	PB_LINK_NOT_REACHED, /* nothing was sent */
	PB_LINK_BROKEN, /* ended before the answer was complete */
	PB_LINK_PROTOCOL /* the answer is not HTTP */
};

struct pb_link_call;

struct pb_link_call_ops {
	void (*head)(struct pb_link_call *call);
	void (*body)(struct pb_link_call *call, struct pb_str part);
	/* The call has no link any more in the last two. */
	void (*done)(struct pb_link_call *call);
	void (*failed)(struct pb_link_call *call, enum pb_link_failure failure);
};

/* For calls whose answer is its status. */
void pb_ignore_body(struct pb_link_call *call, struct pb_str part);

/* One request on a link; first member of what makes it. */
struct pb_link_call {
	const struct pb_link_call_ops *ops;
	struct pb_link *link; /* NULL: no request in progress */
};

struct pb_link {
	struct pb_gateway *gw;
	struct bufferevent *bev;
	struct pb_http_reader reader;
	struct pb_link_call *call;
	struct pb_instance *instance; /* counted */
	struct pb_link *next_idle;
	int64_t idle_us; /* when it became idle */
	int64_t keep_us; /* how long the peer keeps it open when idle */
	bool connected;
	bool reading; /* inside a callback of the reader */
	bool dead; /* to be dropped after that callback */
	bool skipping; /* reads an answer that belongs to no request */
	bool tainted; /* never used again */
	bool reused;
};

/* A new connection; NULL when none can be made. */
struct pb_link *pb_open_link(
    struct pb_gateway *gw, struct pb_instance *instance);
/* An idle connection to the instance, or a new one; NULL: none can be made. */
struct pb_link *pb_take_link(
    struct pb_gateway *gw, struct pb_instance *instance);
void pb_drop_link(struct pb_link *link);
void pb_drop_idle_links(struct pb_instance *instance);
/* Sends a whole request; the link serves one call at a time. */
int pb_send_call(struct pb_link *link, struct pb_link_call *call,
    struct pb_str head, struct pb_str body);
/* Ends the call and closes its connection. */
void pb_cancel_call(struct pb_link_call *call);
/* Called in head: the answer is not this call's; waits for the next one. */
void pb_skip_answer(struct pb_link_call *call);

/* gateway-conn.c: a connection that was accepted, of a caller or a peer. */

struct pb_conn_ops {
	void (*request)(struct pb_conn *conn);
};

struct pb_conn {
	const struct pb_conn_ops *ops;
	struct pb_gateway *gw;
	struct bufferevent *bev;
	struct pb_http_reader reader;
	struct pb_buf body;
	struct pb_exchange *exchange; /* NULL: no request in progress */
	int64_t activity_us; /* last start or end of a message */
	int64_t held_us; /* since when a question is held; 0: it is not */
	struct pb_peer_streams *streams; /* told by the peer, or NULL */
	int64_t streams_us; /* when they were told */
	size_t output_len; /* bytes that the caller has not taken yet */
	size_t held_len; /* the same and its request, as they were counted */
	bool handling; /* a request is complete and not yet answered */
	bool reading;
	bool chunked; /* the answer in progress is sent in chunks */
	bool close_after; /* close when the answer is sent */
	bool lingering; /* sent everything; waits for the caller's end */
	bool dead;
	TAILQ_ENTRY(pb_conn) entry;
};

/* entrance is filled in and outlives the listener. */
struct evconnlistener *pb_listen_conn(struct pb_gateway *gw,
    struct pb_entrance *entrance, const char *address,
    const struct pb_conn_ops *ops);
/* A whole answer. fields: further head lines, each with its end of line. */
void pb_reply_conn(
    struct pb_conn *conn, int status, struct pb_str fields, struct pb_str body);
/* An answer of unknown length: head, any number of parts, end. */
void pb_start_conn(struct pb_conn *conn, int status, struct pb_str fields);
void pb_send_conn(struct pb_conn *conn, struct pb_str part);
void pb_end_conn(struct pb_conn *conn);
/* Breaks off an answer: the caller sees that it is not complete. */
void pb_abort_conn(struct pb_conn *conn);
void pb_drop_conn(struct pb_conn *conn);
/* Closes connections that are idle, slow or lingering for too long. */
void pb_sweep_conns(struct pb_gateway *gw);
/* Closes connections on which no request is likely to be on its way. */
void pb_close_idle_conns(struct pb_gateway *gw);

/* gateway-request.c: checks a request and starts its exchange. */
extern const struct pb_conn_ops pb_caller_ops;

/* gateway-ready.c */
extern const struct pb_conn_ops pb_ready_ops;
extern const struct pb_conn_ops pb_metrics_ops;
bool pb_is_ready(struct pb_gateway *gw);
/*
 * Refuses a request that has not run and sends the time after which the caller
 * may retry. left_us is the time until the deadline of the request.
 */
void pb_refuse_conn(struct pb_conn *conn, int status, int64_t left_us);

/* gateway-watch.c: follows one table of the store. */

struct pb_watch_ops {
	void (*row)(struct pb_gateway *gw, struct pb_arena *arena,
	    const struct pb_store_row *row);
	/* A listing replaces all that is known; may be NULL. */
	void (*begin)(struct pb_gateway *gw);
	void (*end)(struct pb_gateway *gw);
	/* All up to this version of the store has been applied; may be NULL. */
	void (*complete)(struct pb_gateway *gw, int64_t version);
	/* The version up to which all is known from elsewhere; may be NULL. */
	int64_t (*known)(const struct pb_gateway *gw);
	/* Called before an answer is applied that was current at fresh_us. */
	void (*fresh)(struct pb_gateway *gw, int64_t fresh_us);
	/*
	 * What is known should never be older than this, in us: a store that
	 * answers late holds questions for less long. NULL: any age will do.
	 */
	int64_t (*age_wanted)(const struct pb_gateway *gw);
	/*
	 * The store hands out every version of a row, one after the other; a
	 * listing after a change goes straight to the newest one.
	 */
	bool lists_after_change;
	/* Leaves most of a small link to callers after a large answer. */
	bool spares_link;
	enum pb_store_table table;
	const char *name;
	int wait_ms; /* how long the store may hold a question */
	int64_t period_us; /* shortest time between two questions */
	int64_t list_period_us; /* everything is listed anew this often */
};

/* paused: asks nothing until it is resumed. */
struct pb_watch *pb_new_watch(
    struct pb_gateway *gw, const struct pb_watch_ops *ops, bool paused);
void pb_drop_watch(struct pb_watch *watch);
/* True from a failed question to the next answer. */
bool pb_is_watch_lost(const struct pb_watch *watch);
/* Gives up the call in progress and asks nothing until it is resumed. */
void pb_pause_watch(struct pb_watch *watch);
/* Asks at once if the watch had paused. */
void pb_resume_watch(struct pb_watch *watch);
/* Lists everything as soon as possible, paused or not. */
void pb_list_now(struct pb_watch *watch);

/* gateway-state.c: what is known and until when it was current. */
extern const struct pb_watch_ops pb_routing_watch_ops;
extern const struct pb_watch_ops pb_instance_watch_ops;
extern const struct pb_watch_ops pb_router_watch_ops;
/* Puts the row's configuration in force unless it is older. */
void pb_apply_routing_row(
    struct pb_gateway *gw, struct pb_str value, int64_t row_version);
void pb_note_routing_fresh(struct pb_gateway *gw, int64_t fresh_us);
/*
 * Ages, in us, of the newest confirmation of the configuration: above the first
 * one keys may have been taken away, above the second one a router wants no new
 * connections.
 */
int64_t pb_routing_age_max(const struct pb_gateway *gw);
int64_t pb_routing_age_ready(const struct pb_gateway *gw);
/* A list of instances that was confirmed longer ago is of no use to others. */
#define PB_INSTANCES_AGE_MAX_US (1400 * PB_MSEC)
/*
 * Entries may have expired if the list was not heard for long: their removal
 * is deferred. Call before what was heard is applied.
 */
void pb_note_instances_fresh(struct pb_gateway *gw, int64_t fresh_us);

/* gateway-routers.c: the other routers. */

struct pb_router {
	struct pb_instance *instance; /* its hash gives the order; counted */
	char domain[PB_INSTANCE_TEXT]; /* its failure domain */
	int silent_count; /* questions in a row without an answer */
	struct pb_router *next;
};

struct pb_router_list {
	struct pb_router *first;
	size_t count;
	bool has_own; /* the own row was among those read, as it should be */
};

/* Adds, changes or removes the router of a row; the own one is left out. */
void pb_apply_router_row(struct pb_gateway *gw, struct pb_router_list *list,
    const struct pb_store_row *row);
/* NULL: the instance is no router, or no longer. */
struct pb_router *pb_find_router(
    const struct pb_router_list *list, const struct pb_instance *instance);
/*
 * The first router of the domain with a hash below limit that may be asked
 * now, or NULL.
 */
struct pb_instance *pb_first_router(struct pb_gateway *gw,
    const struct pb_router_list *list, const char *domain, uint64_t limit);
/* This router and the others that it knows, of all failure domains. */
size_t pb_count_fleet(const struct pb_gateway *gw);
void pb_clear_routers(struct pb_router_list *list);

/* gateway-follow.c: learns from another router instead of from the store. */
struct pb_follow *pb_new_follow(struct pb_gateway *gw);
void pb_drop_follow(struct pb_follow *follow);
/*
 * True while a router is followed that comes before this one in the order: its
 * knowledge replaces the store's and may be passed on.
 */
bool pb_is_following(const struct pb_follow *follow);
/* True if the router that is followed has a newer configuration. */
bool pb_is_behind(const struct pb_follow *follow);
/* The other routers, for their rows. */
struct pb_router_list *pb_known_routers(struct pb_follow *follow);
/* All rows of routers have been applied. */
void pb_note_routers_listed(struct pb_follow *follow);

/* gateway-announce.c: writes this router's row, once. */
struct pb_announce *pb_new_announce(struct pb_gateway *gw);
void pb_begin_announce(struct pb_announce *announce);
void pb_drop_announce(struct pb_announce *announce);

/* gateway-peer.c: answers other routers. */
#define PB_CHANGES_PATH "/changes"
#define PB_ROUTING_PATH "/routing"
#define PB_STREAMS_PATH "/streams"
extern const struct pb_conn_ops pb_peer_ops;
/* Answers held questions that have an answer now or were held for long. */
void pb_answer_held(struct pb_gateway *gw);

/* gateway-memory.c: what is buffered. */
/* Call when what a connection or an answer holds may have changed. */
void pb_account_conn(struct pb_conn *conn);
void pb_account_answer(struct pb_exchange *x);
/* Ends the largest holders while too much is buffered; may end any exchange. */
void pb_fit_memory(struct pb_gateway *gw);
/* True if what has come of the answer, or of its next event, is too long. */
bool pb_is_too_long(const struct pb_exchange *x);

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
void pb_take_streams(struct pb_conn *conn, enum pb_peer_scope scope,
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
struct pb_teller *pb_new_teller(struct pb_gateway *gw);
void pb_drop_teller(struct pb_teller *teller);

/* gateway-reports.c: what routers tell each other of the instances. */
struct load_report;
struct outcome_report;
struct change_answer;
/* Applies another router's answer to a question that was sent at asked_us. */
void pb_apply_changes(struct pb_gateway *gw, const struct change_answer *answer,
    int64_t asked_us);
/* Reports of load for another router, and from one. */
void pb_fill_reports(struct pb_gateway *gw, int64_t since_us, bool own,
    struct load_report *reports, unsigned int *count);
void pb_apply_reports(struct pb_gateway *gw, const struct load_report *reports,
    unsigned int count);
/* Up to OUTCOMES_MAX reports: own outcomes, told once, and shared ones. */
unsigned int pb_fill_untold_outcomes(
    struct pb_gateway *gw, struct outcome_report *reports);
unsigned int pb_fill_shared_outcomes(
    struct pb_gateway *gw, struct outcome_report *reports);
/* Of a router that asks: they are added to the shared ones. */
void pb_add_outcomes(struct pb_gateway *gw,
    const struct outcome_report *reports, unsigned int count);

/* Crashes that requests were in progress at. */
struct crash_report;
unsigned int pb_fill_crashes(
    struct pb_gateway *gw, struct crash_report *reports);
void pb_apply_crashes(struct pb_gateway *gw, const struct crash_report *reports,
    unsigned int count);

/* gateway-room.c: requests that wait for free slots, by rank. */
struct pb_exchange;
/*
 * Chooses an instance by the rank of the exchange and the load. Returns NULL
 * if there is none; facts->full is true then if the exchange may wait.
 */
struct pb_instance *pb_choose_for_exchange(
    struct pb_exchange *x, struct pb_placement_facts *facts);
/* Queues an exchange for which no instance has a free slot, or refuses it. */
void pb_wait_for_slot(struct pb_exchange *x);
/* Sets the rank of the exchange. Its route, account and budget must be set. */
void pb_set_rank(struct pb_exchange *x);
/*
 * Records whether the response was late. Called when the response has started,
 * or when the request has ended without one.
 */
void pb_note_pace(struct pb_exchange *x);
/* Schedules the sending of waiting requests after a slot may be free. */
void pb_schedule_dispatch(struct pb_gateway *gw);
struct event *pb_new_room_timer(struct pb_gateway *gw);

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
	struct pb_waiter waiting; /* entry in the queue for a free slot */
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
	uint64_t fingerprint; /* hash of target, client account and body */
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
	/* The response. */
	int status;
	struct pb_answer_facts facts; /* of the attempt in progress */
	struct pb_buf answer_fields;
	struct pb_buf answer;
	size_t answer_accounted; /* bytes of answer counted in gw->buffered */
	bool streaming; /* events are forwarded as they arrive */
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
void pb_leave_exchange(struct pb_exchange *x);

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

/* gateway-events.c */
/* Passes complete events of the answer on; false: an event is out of order. */
bool pb_pass_events(struct pb_exchange *x);

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
 * this timeout. Requests early in a stop are accepted in any case.
 */
bool pb_admits_request(const struct pb_gateway *gw, int64_t timeout_us);
/* Continues a stop in progress. Called by the sweep timer. */
void pb_continue_stop(struct pb_gateway *gw);

#endif
