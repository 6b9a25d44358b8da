#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include "poplarbeam/admission.h"
#include "poplarbeam/ending.h"
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
struct pb_crash_fetch;

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
	struct pb_buf packed_list; /* compressed, for starting routers */
	uint64_t packed_sequence; /* of the registry, of packed_list */
	int64_t packed_us; /* when packed_list was made */
	struct pb_registry *registry;
	struct pb_suspects *suspects;
	struct pb_instance *store; /* server of the platform's store */
	struct pb_watch *routing_watch;
	struct pb_watch *instance_watch;
	struct pb_watch *router_watch;
	struct pb_follower *follower;
	struct pb_announcer *announcer;
	struct pb_stream_reporter *stream_reporter;
	struct pb_crash_fetch *crash_fetch;
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
	int64_t holds; /* times that a stream was held for its caller */
	int64_t unread_closed; /* connections closed with an unread response */
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
/*
 * The same for an accepted connection, whose peer may read nothing for a while:
 * pb_has_unanswered_data detects a lost peer, and the kernel buffers little.
 */
void pb_set_accepted_options(evutil_socket_t fd);
/*
 * Returns true if the peer has not answered sent data or several probes yet. A
 * peer that reads nothing still answers probes.
 */
bool pb_has_unanswered_data(evutil_socket_t fd);
/* Gives the peer more time to read while a long body is sent. */
void pb_set_long_body(evutil_socket_t fd, bool is_long);
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
	struct pb_backpressure pressure; /* how its response is read */
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
	size_t discarded; /* bytes of responses to other requests */
	int interim_count; /* interim responses to the call */
	bool not_reusable; /* closed after the current call */
	bool reused; /* was idle before the current call */
	bool no_body; /* a HEAD request: its response has no body */
	bool long_body; /* the request has a long body */
};

/* Opens a connection to the instance; returns NULL on failure. */
struct pb_link *pb_open_link(
    struct pb_gateway *gw, struct pb_instance *instance);
/* Returns an idle connection to the instance or a new one; NULL on failure. */
struct pb_link *pb_take_link(
    struct pb_gateway *gw, struct pb_instance *instance);
void pb_drop_link(struct pb_link *link);
void pb_drop_idle_links(struct pb_instance *instance);
/*
 * Sends a complete request; a link carries one call at a time. The body must
 * stay until the call has ended.
 */
int pb_send_call(struct pb_link *link, struct pb_link_call *call,
    struct pb_str head, struct pb_str body);
/* Returns true if the upstream may have received part of the request. */
bool pb_is_sent(const struct pb_link_call *call);
/* Cancels the call, if in progress, and closes its connection. */
void pb_cancel_call(struct pb_link_call *call);
/* Stops reading the response, or reads it again. */
void pb_hold_call(struct pb_link_call *call);
void pb_resume_call(struct pb_link_call *call);
bool pb_is_held(const struct pb_link_call *call);
/*
 * Returns true if the upstream has closed the connection. What it sent before
 * may still have to be read.
 */
bool pb_has_peer_closed(const struct pb_link_call *call);
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
	int rank; /* of the request or the last one; 0: most urgent */
	int rank_count; /* ranks of its service */
	uint64_t account; /* hash of its client account; 0: none */
	int64_t checked_us; /* last check for a lost peer */
	int unanswered_checks; /* checks in a row with unanswered data */
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
/*
 * Refuses a request that is being received, because there is no memory for its
 * body. None of it is forwarded.
 */
void pb_refuse_body(struct pb_conn *conn);
void pb_drop_conn(struct pb_conn *conn);
/*
 * Drops connections that are idle or lingering for too long or whose peer is
 * lost, and rejects requests that arrive too slowly.
 */
void pb_sweep_conns(struct pb_gateway *gw);
/* Closes idle connections unless they were used very recently. */
void pb_close_idle_conns(struct pb_gateway *gw);

/* gateway-request.c: checks a request and starts its exchange. */
extern const struct pb_conn_ops pb_caller_ops;
/*
 * Sets the priority of a caller's request whose head is complete and whose body
 * is to be received. One that will be refused is the least urgent.
 */
void pb_read_priority(struct pb_conn *conn);

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

/* gateway-memory.c: counts and limits buffered bytes. */
/*
 * Update the count of buffered bytes. Call when the buffers of a connection or
 * of an exchange's response may have changed.
 */
void pb_update_conn_memory(struct pb_conn *conn);
void pb_update_exchange_memory(struct pb_exchange *x);
/*
 * Returns true if there is room for a request body that needs len further
 * bytes.
 */
bool pb_admits_body(const struct pb_conn *conn, size_t len);
/*
 * While the buffered bytes exceed the limit, ends what holds them, in the order
 * of pb_ends_before. Any exchange may have ended after the call.
 */
void pb_enforce_memory_limit(struct pb_gateway *gw);
/*
 * Returns true if the received part of the response, or of the next event of a
 * stream, exceeds its limit.
 */
bool pb_is_response_too_large(const struct pb_exchange *x);

/* gateway-metrics.c */
struct pb_gateway_metrics *pb_new_gateway_metrics(void);
void pb_drop_gateway_metrics(struct pb_gateway_metrics *metrics);
/* Counts a request that ended after us microseconds. */
void pb_count_ending(struct pb_gateway_metrics *metrics,
    enum pb_route_kind kind, enum pb_end_reason reason, int64_t us);
int pb_format_gateway_metrics(const struct pb_gateway *gw, struct pb_buf *buf);

/* gateway-stop.c */
void pb_begin_stop(struct pb_gateway *gw);
/*
 * Returns the last time at which an attempt of a request with this deadline may
 * start, so that the end of a stop in progress does not cut it; INT64_MAX: at
 * any time. Early in a stop, attempts may always start.
 */
int64_t pb_last_start(const struct pb_gateway *gw, int64_t deadline_us);
/*
 * Returns false if a stop in progress leaves no time for a request that may
 * take limit_us.
 */
bool pb_admits_request(const struct pb_gateway *gw, int64_t limit_us);
/* Continues a stop in progress. Called by the sweep timer. */
void pb_continue_stop(struct pb_gateway *gw);

#endif
