#include "poplarbeam/lru.h"
#include "registry-internal.h"

/*
 * What an instance says of itself in its answers: that it is leaving, or that
 * it wants no requests for some time. Its own word goes before the list.
 */

/* A longer pause is taken for an error of the instance. */
#define PAUSE_MAX_US (600 * PB_SEC)
/*
 * After a pause, the requests of this router at the instance may grow to its
 * slots within this time, so that what waited does not arrive at once.
 */
#define RAMP_US (2 * PB_SEC)
/*
 * An instance that has just begun to leave still takes requests if no other
 * instance does.
 */
#define LEAVING_GRACE_US PB_SEC

/* Identifies one incarnation of an instance; 0: its start is unknown. */
static uint64_t
incarnation_key(const struct pb_instance *inst)
{
	uint64_t h;

	if (inst->started_ms == 0)
		return 0;
	h = pb_hash_pair(inst->hash, (uint64_t)inst->started_ms);
	return pb_hash_pair(h, pb_hash_cstr(inst->address, 0));
}

bool
pb_note_leaving(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_instance *instance)
{
	uint64_t key = incarnation_key(instance);

	if (instance->leaving)
		return false;
	instance->leaving = true;
	instance->leaving_us = pb_now(ctx);
	if (key != 0)
		pb_set_lru(registry->leaving, key, (uint64_t)pb_now(ctx));
	pb_notify_closed(registry, instance);
	return true;
}

int64_t
pb_note_pause(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_instance *instance, int64_t pause_us)
{
	uint64_t key = incarnation_key(instance);
	int64_t now = pb_now(ctx);

	if (pause_us > PAUSE_MAX_US)
		pause_us = PAUSE_MAX_US;
	if (now + pause_us > instance->paused_until_us)
		instance->paused_until_us = now + pause_us;
	instance->pause_ended = false;
	if (key != 0)
		pb_set_lru(
		    registry->paused, key, (uint64_t)instance->paused_until_us);
	return instance->paused_until_us - now;
}

void
pb_restore_self_report(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_instance *instance)
{
	uint64_t key = incarnation_key(instance);
	const uint64_t *at;

	if (key == 0)
		return;
	at = pb_find_lru(registry->leaving, key);
	if (at != NULL && !instance->leaving) {
		instance->leaving = true;
		instance->leaving_us = (int64_t)*at;
	}
	at = pb_find_lru(registry->paused, key);
	if (at != NULL && instance->paused_until_us == 0 &&
	    (int64_t)*at > pb_now(ctx))
		instance->paused_until_us = (int64_t)*at;
}

void
pb_end_pauses(struct pb_context *ctx, struct pb_registry *registry)
{
	size_t i;

	for (i = 0; i < registry->count; i++) {
		struct pb_instance *inst = registry->instances[i];

		if (inst->paused_until_us == 0 || inst->pause_ended ||
		    pb_now(ctx) < inst->paused_until_us)
			continue;
		inst->pause_ended = true;
		pb_log(ctx, PB_INFO, "pause instance", inst->id, NULL,
		    "the pause has ended; requests return within %lld ms",
		    (long long)(RAMP_US / PB_MSEC));
	}
}

bool
pb_is_paused(const struct pb_instance *instance, int64_t now)
{
	return now < instance->paused_until_us;
}

bool
pb_is_open(const struct pb_instance *instance, int64_t now, bool last_resort)
{
	if (instance->draining || instance->evacuated ||
	    pb_is_paused(instance, now))
		return false;
	return !instance->leaving ||
	    (last_resort && now - instance->leaving_us < LEAVING_GRACE_US);
}

bool
pb_is_ramping(const struct pb_instance *instance, int64_t now)
{
	int64_t since = now - instance->paused_until_us;

	if (instance->paused_until_us == 0 || since >= RAMP_US)
		return false;
	return instance->in_flight >= 1 + instance->slots * since / RAMP_US;
}

int64_t
pb_find_reopening(const struct pb_registry *registry, struct pb_str service,
    struct pb_instance *const *excluded, size_t excluded_count, int64_t now)
{
	int64_t soonest = 0;
	size_t i, k;

	for (i = 0; i < registry->count; i++) {
		const struct pb_instance *inst = registry->instances[i];
		bool skip = inst->draining || inst->leaving ||
		    inst->evacuated || !pb_is_paused(inst, now) ||
		    !pb_str_equal_c(service, inst->service);

		for (k = 0; k < excluded_count; k++)
			skip = skip || excluded[k] == inst;
		if (!skip && (soonest == 0 || inst->paused_until_us < soonest))
			soonest = inst->paused_until_us;
	}
	return soonest;
}

int64_t
pb_reopening_left(struct pb_context *ctx, const struct pb_registry *registry,
    struct pb_str service)
{
	int64_t now = pb_now(ctx);
	int64_t at;
	size_t i;

	for (i = 0; i < registry->count; i++) {
		if (pb_str_equal_c(service, registry->instances[i]->service) &&
		    pb_is_open(registry->instances[i], now, true))
			return 0;
	}
	at = pb_find_reopening(registry, service, NULL, 0, now);
	return at != 0 ? at - now : 0;
}

struct pb_closed_counts
pb_count_closed(struct pb_context *ctx, const struct pb_registry *registry)
{
	struct pb_closed_counts n = {0};
	size_t i;

	for (i = 0; i < registry->count; i++) {
		n.leaving += registry->instances[i]->leaving;
		n.paused += pb_is_paused(registry->instances[i], pb_now(ctx));
	}
	return n;
}
