#include "registry-internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Limits the requests to instances that are cold: they have started recently
 * and crash under their usual load. The limit holds for all routers together,
 * without messages between them: rendezvous hashing selects a few routers, the
 * senders of the instance, and each of them has a fixed part of the limit.
 */

/*
 * The limit applies to each second at the instance. The window is longer
 * because a request may be sent late, when its connection is established.
 */
#define WINDOW_US (1100 * PB_MSEC)
/* Requests per window that each sender may send to a cold instance. */
#define SENDER_QUOTA 2
/*
 * After the cold time, the requests of all routers together double at this
 * interval, first by more senders and then by a higher quota.
 */
#define RAMP_STEP_US (250 * PB_MSEC)
/* Number of steps after which requests are not limited. */
#define RAMP_STEPS_MAX 12
/* A process that has not run for this long was suspended. */
#define SUSPENSION_MIN_US PB_SEC

/* Returns true while the list may not show that instances became cold. */
static bool
is_list_outdated(const struct pb_registry *registry, int64_t now)
{
	if (registry->running_us == 0)
		return false;
	return registry->resumed_us != 0 ||
	    now - registry->running_us >= SUSPENSION_MIN_US;
}

static int64_t
find_cold_end(const struct pb_instance *inst)
{
	return inst->cold_until_us > inst->suspect_until_us
	    ? inst->cold_until_us
	    : inst->suspect_until_us;
}

static bool
is_cold(const struct pb_registry *registry, const struct pb_instance *inst,
    int64_t now)
{
	if (inst->cold_start_us <= 0 || inst->cold_per_s <= 0)
		return false;
	return now < find_cold_end(inst) || inst->unreached ||
	    is_list_outdated(registry, now);
}

static size_t
find_sender_rank(
    const struct pb_registry *registry, const struct pb_instance *inst)
{
	uint64_t own = pb_hash_pair(registry->routers[0], inst->hash);
	size_t i, rank = 0;

	for (i = 0; i < registry->router_count; i++)
		rank += pb_hash_pair(registry->routers[i], inst->hash) > own;
	return rank;
}

/* Returns how many other routers precede this one as a sender. */
static size_t
get_sender_rank(const struct pb_registry *registry, struct pb_instance *inst)
{
	if (inst->sender_rank_version != registry->routers_version) {
		inst->sender_rank = find_sender_rank(registry, inst);
		inst->sender_rank_version = registry->routers_version;
	}
	return inst->sender_rank;
}

/* Returns the number of routers that may send to a cold instance. */
static size_t
count_senders(
    const struct pb_registry *registry, const struct pb_instance *inst)
{
	size_t senders = (size_t)(inst->cold_per_s / SENDER_QUOTA);

	if (senders < 1)
		return 1;
	return senders < registry->router_count ? senders
						: registry->router_count;
}

/* More requests within a window than are recorded cannot be counted. */
static size_t
limit_quota(size_t quota)
{
	if (quota < 1)
		return 1;
	return quota < PB_SENDS_KEPT ? quota : PB_SENDS_KEPT;
}

/* Returns the requests that each sender may send within a window. */
static size_t
find_quota(const struct pb_instance *inst, size_t senders)
{
	return limit_quota((size_t)(inst->cold_per_s / (double)senders));
}

static size_t
count_recent_sends(const struct pb_instance *inst, int64_t now)
{
	size_t kept =
	    inst->sent_count < PB_SENDS_KEPT ? inst->sent_count : PB_SENDS_KEPT;
	size_t i, n = 0;

	for (i = 0; i < kept; i++)
		n += now - inst->sent_us[i] < WINDOW_US;
	return n;
}

/* Returns the number of ramp steps since the cold time, 0 while it lasts. */
static unsigned int
count_ramp_steps(const struct pb_registry *registry,
    const struct pb_instance *inst, int64_t now)
{
	int64_t steps;

	if (is_cold(registry, inst, now))
		return 0;
	if (find_cold_end(inst) == 0)
		return RAMP_STEPS_MAX;
	steps = 1 + (now - find_cold_end(inst)) / RAMP_STEP_US;
	return steps < RAMP_STEPS_MAX ? (unsigned int)steps : RAMP_STEPS_MAX;
}

bool
pb_has_cold_room(const struct pb_registry *registry,
    struct pb_instance *instance, int64_t now)
{
	size_t senders, total;
	unsigned int steps;

	if (instance->cold_start_us <= 0 || instance->cold_per_s <= 0)
		return true;
	steps = count_ramp_steps(registry, instance, now);
	if (steps == RAMP_STEPS_MAX)
		return true;
	/* Without the list of routers, the senders cannot be determined. */
	if (registry->routers_version == 0)
		return false;
	senders = count_senders(registry, instance);
	total = (senders * find_quota(instance, senders)) << steps;
	senders <<= steps;
	if (senders > registry->router_count)
		senders = registry->router_count;
	return get_sender_rank(registry, instance) < senders &&
	    count_recent_sends(instance, now) < limit_quota(total / senders);
}

void
pb_note_send(struct pb_context *ctx, struct pb_instance *instance)
{
	instance->sent_us[instance->sent_count++ % PB_SENDS_KEPT] = pb_now(ctx);
}

void
pb_set_cold_left(
    struct pb_context *ctx, struct pb_instance *instance, int64_t cold_left_us)
{
	int64_t now = pb_now(ctx);

	if (cold_left_us > 0 && now >= instance->cold_until_us)
		pb_log(ctx, PB_INFO, "cold instance", instance->id, NULL,
		    "reports to be cold for %lld ms",
		    (long long)(cold_left_us / PB_MSEC));
	if (cold_left_us > 0 || now < instance->cold_until_us)
		instance->cold_until_us = now + cold_left_us;
}

void
pb_suspect_cold(struct pb_instance *instance, int64_t start_us)
{
	int64_t until = start_us + instance->cold_start_us;

	if (instance->cold_start_us > 0 && until > instance->suspect_until_us)
		instance->suspect_until_us = until;
}

void
pb_note_answer(struct pb_context *ctx, struct pb_instance *instance)
{
	if (!instance->unreached)
		return;
	instance->unreached = false;
	pb_suspect_cold(instance, pb_now(ctx));
}

int
pb_set_routers(struct pb_context *ctx, struct pb_registry *registry,
    uint64_t own, const uint64_t *routers, size_t count, int64_t version)
{
	uint64_t *copy;
	size_t i, n = 0;

	if (version <= registry->routers_version)
		return PB_OK;
	copy = calloc(count + 1, sizeof(*copy));
	if (copy == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "list routers", NULL, "out of memory");
	copy[n++] = own;
	for (i = 0; i < count; i++) {
		if (routers[i] != own)
			copy[n++] = routers[i];
	}
	free(registry->routers);
	registry->routers = copy;
	registry->router_count = n;
	registry->routers_version = version;
	return PB_OK;
}

int64_t
pb_routers_version(const struct pb_registry *registry)
{
	return registry->routers_version;
}

size_t
pb_read_routers(
    const struct pb_registry *registry, uint64_t *routers, size_t cap)
{
	size_t n = registry->router_count < cap ? registry->router_count : cap;

	if (n > 0)
		memcpy(routers, registry->routers, n * sizeof(*routers));
	return n;
}

void
pb_note_running(struct pb_context *ctx, struct pb_registry *registry)
{
	int64_t now = pb_now(ctx);
	int64_t gap = now - registry->running_us;

	if (registry->running_us != 0 && gap >= SUSPENSION_MIN_US) {
		registry->resumed_us = now;
		pb_log(ctx, PB_WARN, "cold instance", NULL, NULL,
		    "the process did not run for %lld ms; instances count as "
		    "cold until the list is current again",
		    (long long)(gap / PB_MSEC));
	}
	registry->running_us = now;
}

void
pb_note_list_renewed(struct pb_registry *registry, int64_t fresh_us)
{
	if (fresh_us >= registry->resumed_us)
		registry->resumed_us = 0;
}

struct pb_cold_counts
pb_count_cold(struct pb_context *ctx, struct pb_registry *registry)
{
	struct pb_cold_counts n = {0};
	int64_t now = pb_now(ctx);
	size_t i;

	for (i = 0; i < registry->count; i++) {
		struct pb_instance *inst = registry->instances[i];

		if (!is_cold(registry, inst, now))
			continue;
		n.instances++;
		n.assigned += registry->routers_version != 0 &&
		    get_sender_rank(registry, inst) <
			count_senders(registry, inst);
		n.sends += count_recent_sends(inst, now);
	}
	return n;
}
