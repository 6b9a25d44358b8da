#include "registry-internal.h"

void
pb_record_removal(struct pb_registry *registry, const char *id)
{
	struct removal *r =
	    &registry->removals[registry->removal_count++ % REMOVALS_MAX];

	pb_copy_str(r->id, sizeof(r->id), id);
	r->sequence = ++registry->sequence;
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
	const struct removal *oldest =
	    &registry->removals[registry->removal_count % REMOVALS_MAX];

	if (epoch != registry->epoch || since > registry->sequence)
		return true;
	/* The ring overwrites its oldest entry next. */
	return registry->removal_count > REMOVALS_MAX &&
	    since < oldest->sequence;
}

static bool
has_deferred_removal(const struct pb_registry *registry)
{
	size_t i;

	for (i = 0; i < registry->count; i++) {
		if (registry->instances[i]->remove_at_us != 0)
			return true;
	}
	return false;
}

void
pb_note_list_version(struct pb_registry *registry, int64_t version)
{
	const struct list_version *last =
	    &registry->versions[(registry->version_count - 1) % VERSIONS_MAX];

	if (version <= registry->list_version || has_deferred_removal(registry))
		return;
	registry->list_version = version;
	/* A version that changed nothing here is covered by the last entry. */
	if (registry->version_count > 0 && last->sequence == registry->sequence)
		return;
	registry->versions[registry->version_count++ % VERSIONS_MAX] =
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
	size_t known = registry->version_count < VERSIONS_MAX
	    ? registry->version_count
	    : VERSIONS_MAX;
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
read_removals(const struct pb_registry *registry, uint64_t since,
    struct pb_instance_change *changes, size_t cap)
{
	size_t known = registry->removal_count < REMOVALS_MAX
	    ? registry->removal_count
	    : REMOVALS_MAX;
	size_t i, n = 0;

	for (i = 0; i < known; i++) {
		const struct removal *r = &registry->removals[i];

		if (r->sequence <= since)
			continue;
		/* An instance that was added again is reported as changed. */
		if (pb_find_instance(registry, pb_str_from(r->id)) != NULL)
			continue;
		if (n < cap)
			changes[n] = (struct pb_instance_change){
			    pb_str_from(r->id), NULL};
		n++;
	}
	return n;
}

size_t
pb_read_changes(const struct pb_registry *registry, uint64_t since, bool full,
    struct pb_instance_change *changes, size_t cap)
{
	size_t i, n = 0;

	for (i = 0; i < registry->count; i++) {
		const struct pb_instance *inst = registry->instances[i];

		if (!full && inst->sequence <= since)
			continue;
		if (n < cap)
			changes[n] = (struct pb_instance_change){
			    pb_str_from(inst->id), inst};
		n++;
	}
	if (full)
		return n;
	return n +
	    read_removals(registry, since, changes + (n < cap ? n : cap),
		n < cap ? cap - n : 0);
}
