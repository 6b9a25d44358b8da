#ifndef REGISTRY_INTERNAL_H
#define REGISTRY_INTERNAL_H

#include "poplarbeam/registry.h"

/* Number of removals that are kept for routers that follow this one. */
#define REMOVALS_MAX 256
/* Number of list changes whose store versions are remembered. */
#define VERSIONS_MAX 64

struct removal {
	char id[PB_INSTANCE_TEXT];
	uint64_t sequence;
};

/* Sequence of the registry at a version of the store. */
struct list_version {
	int64_t version;
	uint64_t sequence;
};

/* Limit of the evacuations that are known at the same time. */
#define EVACUATIONS_MAX 64

/* Copy of the configuration of one service. */
struct service {
	char name[PB_INSTANCE_TEXT];
	int64_t cold_start_us;
	double cold_per_s;
};

struct pb_registry {
	const struct pb_registry_ops *ops;
	void *owner;
	struct pb_instance **instances;
	size_t count;
	size_t cap;
	bool complete; /* a full listing has been read */
	int64_t defer_until_us; /* removals wait until then; 0: no wait */
	uint64_t epoch;
	uint64_t sequence;
	struct removal removals[REMOVALS_MAX]; /* ring buffer */
	size_t removal_count; /* total */
	struct list_version versions[VERSIONS_MAX]; /* ring buffer */
	size_t version_count; /* total */
	int64_t list_version;
	int64_t avoided_us; /* last time when an instance became failing */
	/* Incarnations that have said that they leave -> when they said so. */
	struct pb_lru *leaving;
	/* Incarnations that have asked for a pause -> its end. */
	struct pb_lru *paused;
	struct pb_evacuation evacuations[EVACUATIONS_MAX];
	size_t evacuation_count;
	struct pb_evacuation_end ended[EVACUATIONS_MAX];
	size_t ended_count;
	int64_t evacuations_version; /* of the store; 0: none known yet */
	struct service *services;
	size_t service_count;
	uint64_t *routers; /* hashes of all routers, the own one first */
	size_t router_count;
	int64_t routers_version; /* of the store; 0: no routers known yet */
	int64_t running_us; /* last call of pb_note_running; 0: none */
	/* End of a suspension after which the list was not renewed; 0: none. */
	int64_t resumed_us;
};

/* Reports that the instance takes no new requests. */
void pb_notify_closed(
    struct pb_registry *registry, struct pb_instance *instance);
/*
 * Applies what the instance's incarnation has said before, which the list may
 * have lost meanwhile.
 */
void pb_restore_self_report(struct pb_context *ctx,
    struct pb_registry *registry, struct pb_instance *instance);
bool pb_is_paused(const struct pb_instance *instance, int64_t now);
/*
 * Returns true if the instance takes new requests. last_resort: no other
 * instance does.
 */
bool pb_is_open(
    const struct pb_instance *instance, int64_t now, bool last_resort);
/*
 * Returns true if the instance takes no further request now because its pause
 * has ended only recently.
 */
bool pb_is_ramping(const struct pb_instance *instance, int64_t now);
/*
 * Returns when the first paused instance of the service that is not excluded
 * takes requests again, or 0 if there is none.
 */
int64_t pb_find_reopening(const struct pb_registry *registry,
    struct pb_str service, struct pb_instance *const *excluded,
    size_t excluded_count, int64_t now);

/* Sets what depends on the instance's domain and service. */
void pb_apply_operator_state(
    const struct pb_registry *registry, struct pb_instance *instance);
/* Limits the requests to the instance as if it had started at start_us. */
void pb_suspect_cold(struct pb_instance *instance, int64_t start_us);
/* Sets the time that the instance reports to be cold for. */
void pb_set_cold_left(
    struct pb_context *ctx, struct pb_instance *instance, int64_t cold_left_us);
/*
 * Returns false if the instance is cold, or was until recently, and this router
 * may not send it a request now.
 */
bool pb_has_cold_room(const struct pb_registry *registry,
    struct pb_instance *instance, int64_t now);

/*
 * Returns true if the attempts of this router or of its failure domain show too
 * many failures.
 */
bool pb_is_failing(const struct pb_instance *instance, int64_t now);
/*
 * Returns true if the instance failed recently and is not known to have
 * recovered.
 */
bool pb_is_on_trial(const struct pb_instance *instance, int64_t now);
/* Returns the known streams of other routers at the instance. */
int pb_count_other_streams(const struct pb_instance *instance, int64_t now);
/*
 * Estimates the current streams of other routers at the instance. Counts that
 * grew between the last two reports are assumed to grow by the same amount
 * again, since a group of requests for one prefix reaches its instance before
 * the next report arrives.
 */
int pb_estimate_other_streams(const struct pb_instance *instance, int64_t now);
/*
 * Finds an instance by the low bits of its hash. Returns the first match if
 * several instances share these bits.
 */
struct pb_instance *pb_find_by_hash(
    const struct pb_registry *registry, uint32_t id_hash);
/* Records a removal for routers that follow this one. */
void pb_record_removal(struct pb_registry *registry, const char *id);

#endif
