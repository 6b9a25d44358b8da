#ifndef POPLARBEAM_REGISTRY_H
#define POPLARBEAM_REGISTRY_H

#include "poplarbeam/routing.h"

/*
 * Registry of the upstream instances that the platform lists: tracks their load
 * and health and selects an instance for each request. It uses no sockets and
 * no threads and takes the time from the context's clock.
 */

/* One entry of the platform's list. */
struct pb_instance_entry {
	struct pb_str id;
	struct pb_str service;
	struct pb_str address; /* host:port */
	struct pb_str domain; /* failure domain */
	int slots; /* number of requests run concurrently */
	bool draining;
	int64_t started_ms; /* Unix time of the process start; 0: unknown */
	int64_t cold_left_us; /* until it takes its full load */
	/* cold_left_us holds now, not when the row was written. */
	bool cold_left_current;
	int64_t row_version; /* store version of the row; 0: unknown */
};

struct pb_link;

#define PB_INSTANCE_TEXT 64
#define PB_SENDS_KEPT 16

/* Exponentially decayed counts of completed attempts at an instance. */
struct pb_attempt_counts {
	double failures;
	double attempts;
	int64_t counted_us; /* time to which the counts are decayed */
};

/*
 * Reference counted: the registry and every request that uses the instance hold
 * a reference.
 */
struct pb_instance {
	int refs;
	char id[PB_INSTANCE_TEXT];
	char service[PB_INSTANCE_TEXT];
	char address[PB_INSTANCE_TEXT];
	char domain[PB_INSTANCE_TEXT];
	uint64_t hash; /* of the id */
	int slots;
	bool draining;
	bool gone; /* removed from the registry */
	bool listed; /* seen in the current listing */
	uint64_t sequence; /* registry sequence of the last change */
	int64_t joined_us; /* time when this router first saw the instance */
	int64_t remove_at_us; /* time of the deferred removal; 0: none */
	int64_t started_ms;
	int in_flight; /* requests of this router in progress */
	int own_streams; /* streams among in_flight */
	int peer_streams; /* of routers that follow this one */
	int remote_streams; /* of other failure domains */
	/* Streams of all other routers, as reported by the followed router. */
	int aggregate_streams;
	int aggregate_growth; /* change since the previous report */
	int64_t aggregate_us; /* time of that report; 0: none yet */
	int reported; /* running and waiting requests, from the last report */
	int reported_own; /* requests of this router among reported */
	int64_t reported_us; /* time of the last report; 0: none yet */
	bool load_unreadable; /* load reports cannot be parsed */
	bool report_shared; /* the last report came from the followed router */
	int64_t report_seen_us; /* when this router received the last report */
	int64_t avoid_until_us; /* unreachable: avoided until then */
	bool leaving; /* has said so in an answer */
	int64_t leaving_us; /* when it first said so */
	int64_t paused_until_us; /* has asked for no requests; 0: never */
	bool pause_ended; /* the end of the pause has been logged */
	bool evacuated; /* its failure domain takes no requests */
	int64_t cold_start_us; /* of its service; 0: it is never cold */
	double cold_per_s; /* requests per second that it takes while cold */
	int64_t row_version; /* store version of the entry; 0: unknown */
	int64_t cold_until_us; /* as the instance reported */
	/* May be cold until then although it has not reported it. */
	int64_t suspect_until_us;
	/*
	 * The last connection attempt failed and no answer has come since: the
	 * instance may have restarted.
	 */
	bool unreached;
	/* When this router sent its last requests, a ring buffer. */
	int64_t sent_us[PB_SENDS_KEPT];
	size_t sent_count; /* total */
	/* Rank of this router among the senders while the instance is cold. */
	size_t sender_rank;
	int64_t sender_rank_version; /* of the routers it was computed for */
	struct pb_attempt_counts own; /* attempts of this router */
	/* Known attempts of all routers of the failure domain. */
	struct pb_attempt_counts shared;
	/* Attempts of this router that were not sent to another one yet. */
	struct pb_attempt_counts unsent;
	bool failing; /* found to fail and not yet known to have recovered */
	int64_t failed_us; /* last time when the instance was found to fail */
	/* Idle connections; owned by the gateway. */
	struct pb_link *idle;
	int idle_count;
};

struct pb_registry_ops {
	/* Called when the instance stops accepting new requests. */
	void (*closed)(void *owner, struct pb_instance *instance);
};

struct pb_registry;

/* ops and owner are borrowed; ops may be NULL. */
struct pb_registry *pb_new_registry(
    struct pb_context *ctx, const struct pb_registry_ops *ops, void *owner);
void pb_drop_registry(struct pb_context *ctx, struct pb_registry *registry);

/*
 * Creates an instance that belongs to no registry, such as another router, with
 * one reference.
 */
struct pb_instance *pb_new_instance(const char *id, const char *address);
struct pb_instance *pb_keep_instance(struct pb_instance *instance);
void pb_drop_instance(struct pb_instance *instance);

/* Adds or updates one instance. */
int pb_apply_instance(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_instance_entry *entry);
/*
 * Removes the instance whose entry is gone. While pb_defer_removals is in
 * effect, because entries may have expired during a platform outage, the
 * instance stays usable until pb_expire_instances removes it. A draining
 * instance is always removed at once.
 */
void pb_remove_instance(
    struct pb_context *ctx, struct pb_registry *registry, struct pb_str id);
/*
 * Brackets a full listing: the caller applies every listed instance between the
 * two calls. pb_end_listing removes the instances that were not applied.
 */
void pb_begin_listing(struct pb_registry *registry);
void pb_end_listing(struct pb_context *ctx, struct pb_registry *registry);
/* A time in which this router learned nothing of the platform's list. */
struct pb_list_gap {
	int64_t us; /* between two times at which its copy was current */
	bool store_failed; /* a request of this router to the store failed */
};

/*
 * Call with the gap before new data of the list is applied. Defers removals if
 * entries may have expired in an outage of the store during the gap.
 */
void pb_note_list_gap(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_list_gap *gap);
/* Defers removals that are seen before until_us to that time. */
void pb_defer_removals(struct pb_registry *registry, int64_t until_us);
/* Removes the instances whose deferred removal is due. */
void pb_expire_instances(struct pb_context *ctx, struct pb_registry *registry);

/*
 * Records that the instance has said in an answer that it is leaving. It takes
 * no new requests from then on, until another incarnation is listed under its
 * id; the list does not change that. Returns false if that was known.
 */
bool pb_note_leaving(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_instance *instance);
/*
 * Records that the instance has asked for no requests for this time, for its
 * present incarnation. Returns the time until it takes requests again, which
 * may be longer after an earlier answer and is limited to ten minutes.
 */
int64_t pb_note_pause(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_instance *instance, int64_t pause_us);
/* Logs the pauses that have ended. */
void pb_end_pauses(struct pb_context *ctx, struct pb_registry *registry);
/*
 * Returns the time until an instance of the service takes requests again, if
 * none does and one has asked for a pause; otherwise 0.
 */
int64_t pb_reopening_left(struct pb_context *ctx,
    const struct pb_registry *registry, struct pb_str service);

/* Instances that take no requests by their own word. */
struct pb_closed_counts {
	size_t leaving;
	size_t paused;
};

struct pb_closed_counts pb_count_closed(
    struct pb_context *ctx, const struct pb_registry *registry);

/* A failure domain whose instances take no requests, by operator's order. */
struct pb_evacuation {
	char domain[PB_INSTANCE_TEXT];
	int64_t since_us; /* when this router learned of it */
	bool listed; /* seen in the current listing */
};

/*
 * Records that the operator has ordered the evacuation of a failure domain, or
 * has ended it, at this version of the store. Changes up to the version of
 * pb_note_evacuations_version are known already and are ignored.
 */
void pb_note_evacuation(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_str domain, bool active, int64_t version);
/*
 * Bracket a listing of all evacuations: pb_end_evacuations ends those that were
 * not noted between the two calls.
 */
void pb_begin_evacuations(struct pb_registry *registry);
void pb_end_evacuations(struct pb_context *ctx, struct pb_registry *registry);
/* Records that all evacuations up to this version of the store are known. */
void pb_note_evacuations_version(struct pb_registry *registry, int64_t version);
int64_t pb_evacuations_version(const struct pb_registry *registry);
/* Returns the evacuations, which are valid until the next change. */
const struct pb_evacuation *pb_read_evacuations(
    const struct pb_registry *registry, size_t *count);

/* An evacuation that ended lately. */
struct pb_evacuation_end {
	char domain[PB_INSTANCE_TEXT];
	int64_t end_us;
};

/*
 * Records that an evacuation has ended, which this router may not have known
 * of: the instances of the domain may be cold.
 */
void pb_note_evacuation_end(struct pb_context *ctx,
    struct pb_registry *registry, struct pb_str domain, int64_t end_us);
/*
 * Stores the address of the evacuations that ended lately in *ends, and returns
 * their number. They are valid until the next change.
 */
size_t pb_read_evacuation_ends(struct pb_context *ctx,
    struct pb_registry *registry, const struct pb_evacuation_end **ends);

/* Applies the configuration of the services to all their instances. */
int pb_set_services(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_service *services, size_t count);
/*
 * Sets the hashes of all routers as of this version of the store; an older set
 * is ignored. While an instance is cold, a few routers may send requests to it,
 * which they agree on by these hashes. own: hash of this router, which counts
 * whether it is in the set or not.
 */
int pb_set_routers(struct pb_context *ctx, struct pb_registry *registry,
    uint64_t own, const uint64_t *routers, size_t count, int64_t version);
int64_t pb_routers_version(const struct pb_registry *registry);
/* Stores the hashes of up to cap routers, and returns their number. */
size_t pb_read_routers(
    const struct pb_registry *registry, uint64_t *routers, size_t cap);
/*
 * Call several times a second. A long gap between two calls means that the
 * process was suspended; all instances then count as cold until the list is
 * current again.
 */
void pb_note_running(struct pb_context *ctx, struct pb_registry *registry);
/* Records that the list of instances was current at fresh_us. */
void pb_note_list_renewed(struct pb_registry *registry, int64_t fresh_us);
/* Records a request that this router sends to the instance. */
void pb_note_send(struct pb_context *ctx, struct pb_instance *instance);
/* Records that the instance has answered. */
void pb_note_answer(struct pb_context *ctx, struct pb_instance *instance);

struct pb_cold_counts {
	size_t instances; /* cold, or taken as cold */
	size_t assigned; /* those to which this router may send requests */
	size_t sends; /* requests sent to them within the last window */
};

struct pb_cold_counts pb_count_cold(
    struct pb_context *ctx, struct pb_registry *registry);

/* Returns the number of instances that are neither draining nor leaving. */
size_t pb_count_instances(const struct pb_registry *registry);
struct pb_instance *pb_find_instance(
    const struct pb_registry *registry, struct pb_str id);

/* One change of the list, sent to routers that follow this one. */
struct pb_instance_change {
	struct pb_str id;
	const struct pb_instance *instance; /* NULL: removed */
};

/* Returns an identifier that differs for every registry. */
uint64_t pb_registry_epoch(const struct pb_registry *registry);
/* Returns a number that grows with every change of the list. */
uint64_t pb_registry_sequence(const struct pb_registry *registry);
/*
 * Returns true if the whole list must be sent, because epoch belongs to another
 * registry or the changes after the sequence since are not all known.
 */
bool pb_needs_full_list(
    const struct pb_registry *registry, uint64_t epoch, uint64_t since);
/*
 * Records that the registry reflects the platform's list at this version of the
 * store. The call is ignored while a removal is deferred, because the registry
 * then differs from the list.
 */
void pb_note_list_version(struct pb_registry *registry, int64_t version);
/* Returns the last recorded version; 0: none. */
int64_t pb_list_version(const struct pb_registry *registry);
/*
 * Stores the latest sequence known to belong to the given version or an earlier
 * one, from which a router that knows the list at that version can continue.
 * Returns false if no such sequence is remembered.
 */
bool pb_find_sequence(
    const struct pb_registry *registry, int64_t version, uint64_t *sequence);
/*
 * Stores up to cap changes after since, or all instances if full is set.
 * Returns the total number, which may exceed cap.
 */
size_t pb_read_changes(const struct pb_registry *registry, uint64_t since,
    bool full, struct pb_instance_change *changes, size_t cap);

/* Counts a request that starts or ends at the instance. */
void pb_note_dispatch(struct pb_instance *instance, bool is_stream);
void pb_note_release(struct pb_instance *instance, bool is_stream);
/* Records the instance's report of its running and waiting requests. */
void pb_note_load(
    struct pb_context *ctx, struct pb_instance *instance, int requests);
/* A load report that another router has received. */
struct pb_load_report {
	uint32_t id_hash; /* low bits of the instance's hash */
	int requests;
	int64_t reported_us;
	/* Of a router that polls this one: passed on like an own report. */
	bool of_follower;
};

/*
 * Records a load report that another router received. A report that is not
 * newer than the known one is ignored.
 */
void pb_note_shared_load(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_load_report *report);
/*
 * Stores up to cap instances with a load report received after since_us, newest
 * first, and returns their number. If own is set, reports that came from the
 * followed router are left out.
 */
size_t pb_read_reports(const struct pb_registry *registry, int64_t since_us,
    bool own, const struct pb_instance **instances, size_t cap);

/*
 * Streams in progress at one instance, as exchanged between routers. Load
 * reports alone are not enough: a report arrives with the first part of a
 * response, so an instance that is still processing long prompts has not
 * reported yet. Short requests are left out, since they end before other
 * routers could learn of them.
 */
struct pb_stream_count {
	uint32_t id_hash; /* low bits of the instance's hash */
	unsigned int streams;
};

/* Stream counts reported by one other router or one other failure domain. */
struct pb_peer_streams;

enum pb_peer_scope {
	PB_PEER_OWN_DOMAIN,
	PB_PEER_REMOTE /* sum over another failure domain */
};

/*
 * Adds the counts to the instances until pb_drop_peer_streams is called.
 * Returns NULL if out of memory.
 */
struct pb_peer_streams *pb_new_peer_streams(struct pb_registry *registry,
    enum pb_peer_scope scope, const struct pb_stream_count *counts,
    size_t count);
void pb_drop_peer_streams(struct pb_peer_streams *peer);
/*
 * Stores the stream counts of up to cap instances that have any streams, and
 * returns their number. The counts cover the routers of the own failure domain,
 * or all known routers if all is set, without the streams in except (may be
 * NULL).
 */
size_t pb_read_streams(struct pb_context *ctx,
    const struct pb_registry *registry, bool all,
    const struct pb_peer_streams *except, struct pb_stream_count *counts,
    size_t cap);
/* Returns the known streams of other routers, summed over all instances. */
size_t pb_sum_other_streams(
    struct pb_context *ctx, const struct pb_registry *registry);
/*
 * Replaces the stream counts of all other routers by those that the followed
 * router reported.
 */
void pb_set_aggregate_streams(struct pb_context *ctx,
    struct pb_registry *registry, const struct pb_stream_count *counts,
    size_t count);

/*
 * Records the outcome of an attempt of this router that ended or that has
 * received no data for too long.
 */
void pb_note_outcome(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_instance *instance, bool failed);
/*
 * Returns the number of instances that get few requests or none, because they
 * are failing or on trial.
 */
size_t pb_count_avoided(
    struct pb_context *ctx, const struct pb_registry *registry);
/* Returns the time when an instance last changed to failing; 0: never. */
int64_t pb_last_avoided(const struct pb_registry *registry);

/* Outcomes of attempts at one instance, as exchanged between routers. */
struct pb_outcomes {
	uint32_t id_hash; /* low bits of the instance's hash */
	double failures;
	double attempts;
};

/*
 * Stores the outcomes of this router, and of the routers that poll it, that
 * were not sent to another router yet, for up to cap instances, and returns the
 * number of these instances. The stored outcomes are cleared, so that each is
 * sent once.
 */
size_t pb_take_unsent_outcomes(struct pb_context *ctx,
    struct pb_registry *registry, struct pb_outcomes *outcomes, size_t cap);
/* Adds outcomes that another router observed since its last report. */
void pb_add_shared_outcomes(struct pb_context *ctx,
    struct pb_registry *registry, const struct pb_outcomes *outcomes);
/*
 * Stores the shared outcomes of up to cap instances with failed attempts, and
 * returns the number of these instances.
 */
size_t pb_read_shared_outcomes(struct pb_context *ctx,
    struct pb_registry *registry, struct pb_outcomes *outcomes, size_t cap);
/* Replaces the shared outcomes by those of the followed router. */
void pb_set_shared_outcomes(struct pb_context *ctx,
    struct pb_registry *registry, const struct pb_outcomes *outcomes);
/*
 * Avoids the instance for a limited time: it is selected only if no other
 * instance is reachable.
 */
void pb_note_unreachable(struct pb_context *ctx, struct pb_instance *instance);
void pb_note_unreachable_for(
    struct pb_context *ctx, struct pb_instance *instance, int64_t us);

struct pb_placement {
	struct pb_str service;
	struct pb_str domain; /* this router's failure domain */
	uint64_t affinity; /* hash of the shared prompt prefix; 0: none */
	struct pb_instance *const *excluded;
	size_t excluded_count;
	/* Load limit of an instance as a fraction of its slots; 0: none. */
	double fill_limit;
	struct pb_random *rnd;
};

/* Details of a placement decision, for admission and the log. */
struct pb_placement_facts {
	size_t candidates; /* instances of the service that take requests */
	/* Candidates that are reachable, not failing and not on trial. */
	size_t healthy;
	int64_t slots; /* sum over all candidates */
	/* No instance selected: all are at a limit or have asked for a pause.
	 */
	bool full;
	/* When the first one takes requests again, if all paused; else 0. */
	int64_t reopens_us;
	double mean; /* mean estimated load of a candidate, requests */
	double estimate; /* load of the selected instance, requests */
	int64_t report_age_us; /* of the selected instance; -1: no report */
	bool preferred; /* selected by prefix affinity */
	/* Another instance that probably has the prefix cached; NULL: none. */
	const struct pb_instance *holder;
};

/*
 * Selects the instance for a request. Returns a borrowed reference, or NULL if
 * no instance can take the request.
 */
struct pb_instance *pb_choose_instance(struct pb_context *ctx,
    struct pb_registry *registry, const struct pb_placement *placement,
    struct pb_placement_facts *facts);

#endif
