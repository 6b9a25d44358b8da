#include "registry-internal.h"

void
pb_note_departure(struct pb_registry *registry, const char *id)
{
	struct departure *d =
	    &registry->departures[registry->departure_count++ % DEPARTURES];

	pb_copy_str(d->id, sizeof(d->id), id);
	d->sequence = ++registry->sequence;
}

uint64_t
pb_registry_epoch(const struct pb_registry *registry)
{
	return registry->epoch;
}

uint64_t
pb_registry_sequence(const struct pb_registry *registry)
{
	return registry->sequence;
}

bool
pb_needs_full_list(
    const struct pb_registry *registry, uint64_t epoch, uint64_t since)
{
	const struct departure *oldest =
	    &registry->departures[registry->departure_count % DEPARTURES];

	if (epoch != registry->epoch || since > registry->sequence)
		return true;
	/* The entry that the ring forgets next is its oldest one. */
	return registry->departure_count > DEPARTURES &&
	    since < oldest->sequence;
}

static size_t
read_departures(const struct pb_registry *registry, uint64_t since,
    struct pb_change *changes, size_t cap)
{
	size_t known = registry->departure_count < DEPARTURES
	    ? registry->departure_count
	    : DEPARTURES;
	size_t i, n = 0;

	for (i = 0; i < known; i++) {
		const struct departure *d = &registry->departures[i];

		if (d->sequence <= since)
			continue;
		/* An instance that has come back is told as an instance. */
		if (pb_find_instance(registry, pb_str_from(d->id)) != NULL)
			continue;
		if (n < cap)
			changes[n] =
			    (struct pb_change){pb_str_from(d->id), NULL};
		n++;
	}
	return n;
}

size_t
pb_read_changes(const struct pb_registry *registry, uint64_t since, bool full,
    struct pb_change *changes, size_t cap)
{
	size_t i, n = 0;

	for (i = 0; i < registry->count; i++) {
		const struct pb_instance *inst = registry->instances[i];

		if (!full && inst->sequence <= since)
			continue;
		if (n < cap)
			changes[n] =
			    (struct pb_change){pb_str_from(inst->id), inst};
		n++;
	}
	if (full)
		return n;
	return n +
	    read_departures(registry, since, changes + (n < cap ? n : cap),
		n < cap ? cap - n : 0);
}
