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

static bool
has_deferred_removal(const struct pb_registry *registry)
{
	size_t i;

	for (i = 0; i < registry->count; i++) {
		if (registry->instances[i]->lapse_us != 0)
			return true;
	}
	return false;
}

void
pb_note_list_version(struct pb_registry *registry, int64_t version)
{
	const struct list_version *last =
	    &registry->versions[(registry->version_count - 1) % VERSIONS];

	if (version <= registry->list_version || has_deferred_removal(registry))
		return;
	registry->list_version = version;
	/* Versions that changed nothing here are covered by the last one. */
	if (registry->version_count > 0 && last->sequence == registry->sequence)
		return;
	registry->versions[registry->version_count++ % VERSIONS] =
	    (struct list_version){version, registry->sequence};
}

int64_t
pb_list_version(const struct pb_registry *registry)
{
	return registry->list_version;
}

bool
pb_find_sequence(
    const struct pb_registry *registry, int64_t version, uint64_t *sequence)
{
	size_t known = registry->version_count < VERSIONS
	    ? registry->version_count
	    : VERSIONS;
	size_t i;
	bool found = false;

	for (i = 0; i < known; i++) {
		const struct list_version *v = &registry->versions[i];

		if (v->version > version || (found && v->sequence < *sequence))
			continue;
		*sequence = v->sequence;
		found = true;
	}
	return found;
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
