#ifndef GATEWAY_FOLLOW_H
#define GATEWAY_FOLLOW_H

#include "gateway-internal.h"
#include "poplarbeam/order.h"

/*
 * What is known of configuration, instances and other routers: read from the
 * store or from another router, and passed on to other routers.
 */

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
/* Returns the time of the last failed request, or 0 if there was none. */
int64_t pb_last_watch_failure(const struct pb_watch *watch);
/*
 * Cancels the call in progress and sends no requests until the watch is
 * resumed.
 */
void pb_pause_watch(struct pb_watch *watch);
/* Sends a request at once if the watch was paused. */
void pb_resume_watch(struct pb_watch *watch);
/*
 * Requests the changes since the last response at once unless a request is in
 * progress, even if the watch is paused.
 */
void pb_request_changes(struct pb_watch *watch);

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
 * Records that the list of instances was current at fresh_us. Call before
 * applying the new data.
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
	bool listed; /* a listing has been read from the store */
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
/*
 * Gives the hashes of all listed routers to the registry. version: of the store
 * at the time of the listing.
 */
void pb_share_router_hashes(struct pb_gateway *gw, int64_t version);
/*
 * Returns the router of the own failure domain that a router with this hash
 * follows, or NULL if it is the first. Routers that are avoided as unreachable
 * are left out.
 */
struct pb_instance *pb_preceding_router(struct pb_gateway *gw,
    const struct pb_router_list *list, uint64_t own_hash);
/* Counts this router and the other known ones of its failure domain. */
size_t pb_count_domain_routers(const struct pb_gateway *gw);
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
/*
 * Returns the number of routers through which the data has passed to this one;
 * 0: from the store.
 */
unsigned int pb_follow_hops(const struct pb_follower *follower);
/*
 * Returns true if this router, which is starting, reads the store or waits for
 * one that does.
 */
bool pb_has_source(const struct pb_follower *follower);
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
/* Field of a refusal by a starting router for which pb_has_source holds. */
#define PB_SOURCE_FIELD "Data-Source"
extern const struct pb_conn_ops pb_peer_ops;
/* Answers held polls when there are changes or the hold time is over. */
void pb_answer_held_polls(struct pb_gateway *gw);

/* gateway-entries.c: polls, and entries of the list of instances. */
struct change_entry;
struct change_question;
struct change_answer;
/*
 * Stores an allocated array of the entries that changed after the sequence
 * since, or of all, which the caller frees, also if the call fails. Its texts
 * belong to the registry.
 */
int pb_fill_entries(struct pb_gateway *gw, uint64_t since, bool full,
    struct change_entry **entries, unsigned int *count);
/*
 * Compresses the whole list once for all routers that need it at about the same
 * time. packed belongs to gw and is valid until the next call.
 */
int pb_pack_list(struct pb_gateway *gw, struct pb_str *packed);
/* Replaces a compressed list by its entries; returns false if it is broken. */
bool pb_unpack_list(struct change_answer *answer);
/*
 * Appends the request of a poll. epoch, since and reports_since of the question
 * are set; the rest is filled in. reported_us: own reports up to this time are
 * left out.
 */
int pb_append_poll(struct pb_gateway *gw, const char *address,
    struct change_question *question, int64_t reported_us, struct pb_buf *buf);
/* Appends the XDR form of the answer. */
int pb_encode_answer(struct change_answer *answer, struct pb_buf *buf);

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
/* Applies another router's answer to a poll that was sent at sent_us. */
void pb_apply_changes(
    struct pb_gateway *gw, const struct change_answer *answer, int64_t sent_us);
/*
 * Fill load reports for another router, or apply those of another router. If
 * own is true, loads that this router received from the followed router are
 * left out. of_follower: the reports are of a router that polls this one.
 */
void pb_fill_load_reports(struct pb_gateway *gw, int64_t since_us, bool own,
    struct load_report *reports, unsigned int *count);
void pb_apply_load_reports(struct pb_gateway *gw,
    const struct load_report *reports, unsigned int count, bool of_follower);
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

/*
 * gateway-crashes.c: at startup, asks other routers for the crashes that they
 * know.
 */
#define PB_CRASHES_PATH "/crashes"
struct pb_crash_fetch *pb_new_crash_fetch(struct pb_gateway *gw);
void pb_drop_crash_fetch(struct pb_crash_fetch *fetch);
/*
 * Asks some of the known routers unless any were asked before. Call when this
 * router starts to read the store, and when it has listed the routers.
 */
void pb_fetch_crashes(struct pb_crash_fetch *fetch);
/* Call when the crashes were received from the followed router. */
void pb_end_crash_fetch(struct pb_crash_fetch *fetch);
/*
 * Returns true if this router has received what others know, or if no other
 * router has answered in time. It serves no requests before that.
 */
bool pb_knows_crashes(const struct pb_crash_fetch *fetch);
/* Answers a GET of PB_CRASHES_PATH, with 503 while the crashes are unknown. */
void pb_send_crashes(struct pb_conn *conn);

#endif
