#include "registry-internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Maximum age of the stream counts from the followed router, which arrive
 * several times a second. Older counts are ignored.
 */
#define AGGREGATE_MAX_AGE_US (1500 * PB_MSEC)

struct peer_entry {
	struct pb_instance *instance; /* holds a reference */
	int streams;
};

struct pb_peer_streams {
	enum pb_peer_scope scope;
	size_t count;
	struct peer_entry entries[];
};

static int *
stream_counter(struct pb_instance *inst, enum pb_peer_scope scope)
{
	return scope == PB_PEER_REMOTE ? &inst->remote_streams
				       : &inst->peer_streams;
}

struct pb_peer_streams *
pb_new_peer_streams(struct pb_registry *registry, enum pb_peer_scope scope,
    const struct pb_stream_count *counts, size_t count)
{
	struct pb_peer_streams *peer =
	    calloc(1, sizeof(*peer) + count * sizeof(peer->entries[0]));
	size_t i;

	if (peer == NULL)
		return NULL;
	peer->scope = scope;
	for (i = 0; i < count; i++) {
		struct pb_instance *inst =
		    pb_find_by_hash(registry, counts[i].id_hash);
		struct peer_entry *e = &peer->entries[peer->count];

		if (inst == NULL || counts[i].streams > INT16_MAX)
			continue;
		e->instance = pb_keep_instance(inst);
		e->streams = (int)counts[i].streams;
		*stream_counter(inst, scope) += e->streams;
		peer->count++;
	}
	return peer;
}

void
pb_drop_peer_streams(struct pb_peer_streams *peer)
{
	size_t i;

	if (peer == NULL)
		return;
	for (i = 0; i < peer->count; i++) {
		struct peer_entry *e = &peer->entries[i];

		*stream_counter(e->instance, peer->scope) -= e->streams;
		pb_drop_instance(e->instance);
	}
	free(peer);
}

static int
get_peer_streams(
    const struct pb_peer_streams *peer, const struct pb_instance *inst)
{
	size_t i;

	for (i = 0; peer != NULL && i < peer->count; i++) {
		if (peer->entries[i].instance == inst)
			return peer->entries[i].streams;
	}
	return 0;
}

/* Returns the streams reported by the followed router, 0 if outdated. */
static int
current_aggregate(const struct pb_instance *inst, int64_t now)
{
	if (inst->aggregate_us == 0 ||
	    now - inst->aggregate_us > AGGREGATE_MAX_AGE_US)
		return 0;
	return inst->aggregate_streams;
}

int
pb_count_other_streams(const struct pb_instance *inst, int64_t now)
{
	return inst->peer_streams + inst->remote_streams +
	    current_aggregate(inst, now);
}

int
pb_estimate_other_streams(const struct pb_instance *inst, int64_t now)
{
	int streams = pb_count_other_streams(inst, now);

	if (current_aggregate(inst, now) > 0 && inst->aggregate_growth > 0)
		streams += inst->aggregate_growth;
	return streams;
}

size_t
pb_sum_other_streams(struct pb_context *ctx, const struct pb_registry *registry)
{
	int64_t now = pb_now(ctx);
	size_t i, sum = 0;

	for (i = 0; i < registry->count; i++)
		sum +=
		    (size_t)pb_count_other_streams(registry->instances[i], now);
	return sum;
}

size_t
pb_read_streams(struct pb_context *ctx, const struct pb_registry *registry,
    bool all, const struct pb_peer_streams *except,
    struct pb_stream_count *counts, size_t cap)
{
	int64_t now = pb_now(ctx);
	size_t i, n = 0;

	for (i = 0; i < registry->count && n < cap; i++) {
		const struct pb_instance *inst = registry->instances[i];
		int streams =
		    inst->own_streams - get_peer_streams(except, inst);

		streams += all ? pb_count_other_streams(inst, now)
			       : inst->peer_streams;
		if (streams <= 0)
			continue;
		counts[n].id_hash = (uint32_t)inst->hash;
		counts[n++].streams = (unsigned int)streams;
	}
	return n;
}

void
pb_set_aggregate_streams(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_stream_count *counts, size_t count)
{
	int64_t now = pb_now(ctx);
	size_t i;

	for (i = 0; i < registry->count; i++) {
		struct pb_instance *inst = registry->instances[i];

		inst->aggregate_growth = -current_aggregate(inst, now);
		inst->aggregate_streams = 0;
		inst->aggregate_us = now;
	}
	for (i = 0; i < count; i++) {
		struct pb_instance *inst =
		    pb_find_by_hash(registry, counts[i].id_hash);

		if (inst == NULL || counts[i].streams > INT16_MAX)
			continue;
		inst->aggregate_streams = (int)counts[i].streams;
		inst->aggregate_growth += inst->aggregate_streams;
	}
}
