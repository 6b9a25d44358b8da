#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include "gateway-internal.h"

/* One request of a caller and its attempts at upstreams. */

/* gateway-exchange.c: one request and its attempts at upstreams. */

#define PB_TRIED_MAX 8

/*
 * An attempt that is silent while another instance is asked to take the request
 * over. Its fields replace those of the exchange if it responds first.
 */
struct pb_standby {
	struct pb_link_call call;
	struct pb_exchange *exchange;
	struct pb_instance *instance; /* counted reference; NULL: no standby */
	int64_t attempt_us;
	int64_t progress_us;
	int64_t part_us;
	int64_t attempt_event_us;
	struct pb_response_info info;
	int status;
	struct pb_buf response_fields;
	struct pb_buf response;
	bool streaming;
	bool until_close;
};

struct pb_exchange {
	struct pb_link_call call;
	struct pb_standby standby;
	struct pb_gateway *gw;
	struct pb_conn *conn; /* NULL: the caller has disconnected */
	struct pb_arena *arena;
	struct pb_routing *routing; /* counted reference */
	const struct pb_route *route;
	const struct pb_account *account; /* NULL: none */
	uint64_t account_hash; /* of the account's name; 0: none */
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
	bool is_head; /* a HEAD request */
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
	int64_t part_us; /* last arrival of any part of a response body */
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
	/* Bytes of body and response that are counted in gw->buffered. */
	size_t counted_bytes;
	bool streaming; /* events are forwarded as they arrive */
	bool until_close; /* ends with the connection, without a length */
	bool instance_closed; /* the instance has closed a held response */
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

/* gateway-wait.c: requests that wait for free slots, by rank. */
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
/* Returns the rank of a request of this route and account (NULL: none). */
int pb_find_request_rank(struct pb_service_budget *budget,
    const struct pb_routing *routing, const struct pb_route *route,
    const struct pb_account *account);
/*
 * Records whether the response was late. Called when the response has started,
 * or when the request has ended without one.
 */
void pb_note_latency(struct pb_exchange *x);
/*
 * During a stop: refuses the requests that wait for a pause whose end leaves no
 * time for them, and limits the other waits to the time that is left.
 */
void pb_limit_waits(struct pb_gateway *gw);
/* Schedules the sending of waiting requests after a slot may be free. */
void pb_schedule_dispatch(struct pb_gateway *gw);
struct event *pb_new_dispatch_timer(struct pb_gateway *gw);

/* gateway-attempt.c: chooses an upstream and sends the request. */
void pb_next_attempt(struct pb_exchange *x);
/* Clears what the exchange knows of its last attempt. */
void pb_reset_attempt(struct pb_exchange *x);
/*
 * Sends the request to the instance; returns false if the connection cannot be
 * opened.
 */
bool pb_start_attempt(struct pb_exchange *x, struct pb_instance *inst,
    const struct pb_placement_facts *facts);
/* Ends an attempt whose response cannot be used, and its exchange. */
void pb_end_attempt(struct pb_exchange *x, enum pb_end_reason reason);
/* Releases the instance of the current attempt. */
void pb_release_instance(struct pb_exchange *x);
/* Frees the slot of an attempt at the instance and drops the reference. */
void pb_free_slot(struct pb_exchange *x, struct pb_instance *instance);
/* Returns true if another attempt is allowed, and charges the retry budget. */
bool pb_take_attempt(struct pb_exchange *x);

/* gateway-takeover.c: asks another instance while an attempt is silent. */
/*
 * Starts an attempt at another instance; the silent one stands by. Returns
 * false if there is no other instance or no further attempt is allowed.
 */
bool pb_start_takeover(struct pb_exchange *x);
/*
 * Cancels the attempt that was to take the request over and continues with the
 * one that stands by. Returns false if there is none.
 */
bool pb_return_to_standby(struct pb_exchange *x);
/* Called when the other instance has taken the request over. */
void pb_end_takeover(struct pb_exchange *x);
bool pb_has_standby(const struct pb_exchange *x);
void pb_drop_standby(struct pb_exchange *x);

/* gateway-end.c */
/*
 * Ends the exchange: sends the answer that the reason and the state of the
 * exchange call for, logs and counts the reason, and frees the exchange.
 */
void pb_end_exchange(struct pb_exchange *x, enum pb_end_reason reason);

/* gateway-selfreport.c */
/*
 * Applies what the instance says of itself in the head of an answer, which is
 * in x->info. is_own_answer: the answer belongs to this request.
 */
void pb_note_self_report(struct pb_exchange *x, int status, bool is_own_answer);

/* gateway-contain.c: limits requests that crash the instances they run on. */
/* Sets the fingerprints. The body and the account must be set. */
void pb_set_fingerprints(struct pb_exchange *x);
/*
 * Returns true if the request must not run, and sets the reason and when its
 * caller may retry.
 */
bool pb_find_refusal(struct pb_exchange *x, enum pb_end_reason *reason);
/* Records that the request received a complete response. */
void pb_note_sound_request(struct pb_exchange *x);
/* Records that an event of the response has arrived. */
void pb_note_stream_progress(struct pb_exchange *x);
/*
 * Records that the connection broke while the instance worked on the request,
 * which may have crashed it.
 */
void pb_note_broken_attempt(
    struct pb_exchange *x, struct pb_instance *instance);

/* gateway-pressure.c: callers that read slowly. */
/*
 * Stops reading from the instance while the caller does not read, and reads
 * again when it does. Call when the unsent output may have changed.
 */
void pb_update_backpressure(struct pb_exchange *x);
/* Reads again from the instance. The time since the hold is not its own. */
void pb_end_hold(struct pb_exchange *x);
/* Ends the holds of responses that the instance has ended meanwhile. */
void pb_sweep_holds(struct pb_gateway *gw);
size_t pb_count_holds(const struct pb_gateway *gw);
/*
 * Ends the exchange if the connection broke because the caller did not read;
 * returns false if that is not the cause.
 */
bool pb_end_unread(struct pb_exchange *x);

/* gateway-events.c */
/*
 * Forwards complete events of the response to the caller. Returns false if an
 * event is out of order.
 */
bool pb_forward_events(struct pb_exchange *x);

#endif
