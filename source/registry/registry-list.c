#include "poplarbeam/lru.h"
#include "registry-internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Number of incarnations that are remembered because they are leaving, and of
 * those that asked for a pause.
 */
#define SELF_REPORTS_MAX 4096
/* Each report states the end of the cold time a little differently. */
#define COLD_TOLERANCE_US (300 * PB_MSEC)

struct pb_registry *
pb_new_registry(
    struct pb_context *ctx, const struct pb_registry_ops *ops, void *owner)
{
	struct pb_registry *registry = calloc(1, sizeof(*registry));

	if (registry == NULL)
		return NULL;
	registry->leaving = pb_new_lru(ctx, SELF_REPORTS_MAX);
	registry->paused = pb_new_lru(ctx, SELF_REPORTS_MAX);
	if (registry->leaving == NULL || registry->paused == NULL) {
		pb_drop_lru(ctx, registry->leaving);
		pb_drop_lru(ctx, registry->paused);
		free(registry);
		return NULL;
	}
	registry->ops = ops;
	registry->owner = owner;
	registry->epoch = pb_hash_pair((uint64_t)pb_wall_time(ctx),
	    (uint64_t)(uintptr_t)registry ^ (uint64_t)pb_now(ctx));
	return registry;
}

struct pb_instance *
pb_new_instance(const char *id, const char *address)
{
	struct pb_instance *inst = calloc(1, sizeof(*inst));

	if (inst == NULL)
		return NULL;
	inst->refs = 1;
	pb_copy_str(inst->id, sizeof(inst->id), id);
	pb_copy_str(inst->address, sizeof(inst->address), address);
	inst->hash = pb_hash_cstr(id, 0);
	return inst;
}

struct pb_instance *
pb_keep_instance(struct pb_instance *instance)
{
	instance->refs++;
	return instance;
}

void
pb_drop_instance(struct pb_instance *instance)
{
	if (instance != NULL && --instance->refs == 0)
		free(instance);
}

void
pb_notify_closed(struct pb_registry *registry, struct pb_instance *instance)
{
	if (registry->ops != NULL && registry->ops->closed != NULL)
		registry->ops->closed(registry->owner, instance);
}

static void
delete_at(struct pb_registry *registry, size_t i)
{
	struct pb_instance *inst = registry->instances[i];

	registry->instances[i] = registry->instances[--registry->count];
	inst->gone = true;
	pb_record_removal(registry, inst->id);
	pb_notify_closed(registry, inst);
	pb_drop_instance(inst);
}

void
pb_drop_registry(struct pb_context *ctx, struct pb_registry *registry)
{
	if (registry == NULL)
		return;
	while (registry->count > 0)
		delete_at(registry, registry->count - 1);
	pb_drop_lru(ctx, registry->leaving);
	pb_drop_lru(ctx, registry->paused);
	free(registry->instances);
	free(registry->services);
	free(registry->routers);
	free(registry);
}

static bool
find_index(const struct pb_registry *registry, struct pb_str id, size_t *at)
{
	size_t i;

	for (i = 0; i < registry->count; i++) {
		if (pb_str_equal_c(id, registry->instances[i]->id)) {
			*at = i;
			return true;
		}
	}
	return false;
}

struct pb_instance *
pb_find_instance(const struct pb_registry *registry, struct pb_str id)
{
	size_t i;

	return find_index(registry, id, &i) ? registry->instances[i] : NULL;
}

struct pb_instance *
pb_find_by_hash(const struct pb_registry *registry, uint32_t id_hash)
{
	size_t i;

	for (i = 0; i < registry->count; i++) {
		if ((uint32_t)registry->instances[i]->hash == id_hash)
			return registry->instances[i];
	}
	return NULL;
}

static void
copy_text(char *dst, struct pb_str src)
{
	memcpy(dst, src.data, src.len);
	dst[src.len] = '\0';
}

/* The texts become parts of header fields, so they must be visible ASCII. */
static bool
is_valid_text(struct pb_str text)
{
	size_t i;

	for (i = 0; i < text.len; i++) {
		if (text.data[i] <= ' ' || text.data[i] > '~')
			return false;
	}
	return text.len > 0 && text.len < PB_INSTANCE_TEXT;
}

/* Returns true if the entry describes a different process. */
static bool
is_other_process(
    const struct pb_instance *inst, const struct pb_instance_entry *e)
{
	return !pb_str_equal_c(e->address, inst->address) ||
	    !pb_str_equal_c(e->service, inst->service) ||
	    (e->started_ms != 0 && inst->started_ms != 0 &&
		e->started_ms != inst->started_ms);
}

static struct pb_instance *
add_instance(struct pb_registry *registry, const struct pb_instance_entry *e)
{
	char id[PB_INSTANCE_TEXT], address[PB_INSTANCE_TEXT];
	struct pb_instance *inst;

	if (registry->count == registry->cap) {
		size_t cap = registry->cap == 0 ? 16 : registry->cap * 2;
		struct pb_instance **p = realloc(
		    registry->instances, cap * sizeof(struct pb_instance *));

		if (p == NULL)
			return NULL;
		registry->instances = p;
		registry->cap = cap;
	}
	copy_text(id, e->id);
	copy_text(address, e->address);
	inst = pb_new_instance(id, address);
	if (inst == NULL)
		return NULL;
	copy_text(inst->service, e->service);
	registry->instances[registry->count++] = inst;
	return inst;
}

/*
 * Returns true if the end of the cold time has moved, so that other routers
 * must learn of it.
 */
static bool
update_cold(struct pb_context *ctx, struct pb_instance *inst,
    const struct pb_instance_entry *e)
{
	int64_t now = pb_now(ctx);
	int64_t before = inst->cold_until_us > now ? inst->cold_until_us : now;
	int64_t moved = now + e->cold_left_us - before;

	pb_set_cold_left(ctx, inst, e->cold_left_us);
	return moved > COLD_TOLERANCE_US || moved < -COLD_TOLERANCE_US;
}

/*
 * Copies the fields that may change during the lifetime of a process, except
 * draining. Returns true if any of them or draining changed, or if the instance
 * is new.
 */
static bool
update_instance(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_instance *inst, const struct pb_instance_entry *e)
{
	bool same = inst->sequence != 0 &&
	    pb_str_equal_c(e->domain, inst->domain) &&
	    inst->slots == e->slots && inst->started_ms == e->started_ms &&
	    inst->draining == e->draining;

	copy_text(inst->domain, e->domain);
	pb_apply_operator_state(registry, inst);
	/*
	 * A row that is read again still states the time that was left when it
	 * was written. It counts only once.
	 */
	if (inst->sequence == 0 || e->cold_left_current ||
	    e->row_version != inst->row_version)
		same = !update_cold(ctx, inst, e) && same;
	inst->row_version = e->row_version;
	inst->slots = e->slots;
	inst->started_ms = e->started_ms;
	inst->remove_at_us = 0;
	inst->listed = true;
	return !same;
}

/*
 * Returns the instance of the entry, adding it if needed. An instance that
 * restarted is replaced. Returns NULL if out of memory.
 */
static struct pb_instance *
find_or_add_instance(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_instance_entry *entry)
{
	struct pb_instance *inst;
	size_t i;

	if (find_index(registry, entry->id, &i) &&
	    is_other_process(registry->instances[i], entry)) {
		pb_log(ctx, PB_INFO, "list instances", NULL, NULL,
		    "%s restarted; discarding its load and health%s",
		    registry->instances[i]->id,
		    registry->instances[i]->leaving ? ", and that it is leaving"
						    : "");
		delete_at(registry, i);
	}
	inst = pb_find_instance(registry, entry->id);
	if (inst != NULL)
		return inst;
	inst = add_instance(registry, entry);
	if (inst != NULL)
		inst->joined_us = pb_now(ctx);
	/*
	 * Not logged for the first listing, where a line for each instance
	 * would crowd out all other log lines.
	 */
	if (inst != NULL && registry->complete)
		pb_log(ctx, PB_INFO, "list instances", NULL, NULL,
		    "%s of service %s added at %s", inst->id, inst->service,
		    inst->address);
	return inst;
}

int
pb_apply_instance(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_instance_entry *entry)
{
	struct pb_instance *inst;

	if (!is_valid_text(entry->id) || !is_valid_text(entry->service) ||
	    !is_valid_text(entry->address) ||
	    entry->domain.len >= PB_INSTANCE_TEXT)
		return pb_set_error(ctx, PB_EINVAL, "list instances", NULL,
		    "entry has an empty, oversized or unprintable field");
	inst = find_or_add_instance(ctx, registry, entry);
	if (inst == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "list instances", NULL, "out of memory");
	if (update_instance(ctx, registry, inst, entry))
		inst->sequence = ++registry->sequence;
	pb_restore_self_report(ctx, registry, inst);
	if (entry->draining && !inst->draining) {
		pb_log(ctx, PB_INFO, "list instances", NULL, NULL,
		    "%s is draining", inst->id);
		inst->draining = true;
		pb_notify_closed(registry, inst);
	}
	inst->draining = entry->draining;
	return PB_OK;
}

static void
remove_or_defer(struct pb_context *ctx, struct pb_registry *registry, size_t i)
{
	struct pb_instance *inst = registry->instances[i];

	if (pb_now(ctx) < registry->defer_until_us && !inst->draining) {
		if (inst->remove_at_us == 0) {
			inst->remove_at_us = registry->defer_until_us;
			pb_log(ctx, PB_INFO, "list instances", NULL, NULL,
			    "%s is no longer listed; removal deferred for "
			    "%lld ms",
			    inst->id,
			    (long long)((inst->remove_at_us - pb_now(ctx)) /
				PB_MSEC));
		}
		return;
	}
	pb_log(ctx, PB_INFO, "list instances", NULL, NULL,
	    "%s is no longer listed; removed", inst->id);
	delete_at(registry, i);
}

void
pb_remove_instance(
    struct pb_context *ctx, struct pb_registry *registry, struct pb_str id)
{
	size_t i;

	if (find_index(registry, id, &i))
		remove_or_defer(ctx, registry, i);
}

void
pb_begin_listing(struct pb_registry *registry)
{
	size_t i;

	for (i = 0; i < registry->count; i++)
		registry->instances[i]->listed = false;
}

void
pb_end_listing(struct pb_context *ctx, struct pb_registry *registry)
{
	size_t i;

	for (i = registry->count; i-- > 0;) {
		if (!registry->instances[i]->listed &&
		    registry->instances[i]->remove_at_us == 0)
			remove_or_defer(ctx, registry, i);
	}
	if (!registry->complete)
		pb_log(ctx, PB_INFO, "list instances", NULL, NULL,
		    "first listing complete: %zu instances", registry->count);
	registry->complete = true;
}

void
pb_defer_removals(struct pb_registry *registry, int64_t until_us)
{
	registry->defer_until_us = until_us;
}

void
pb_expire_instances(struct pb_context *ctx, struct pb_registry *registry)
{
	int64_t now = pb_now(ctx);
	size_t i;

	for (i = registry->count; i-- > 0;) {
		struct pb_instance *inst = registry->instances[i];

		if (inst->remove_at_us == 0 || now < inst->remove_at_us)
			continue;
		pb_log(ctx, PB_INFO, "list instances", NULL, NULL,
		    "%s was not listed again; removed", inst->id);
		delete_at(registry, i);
	}
}

size_t
pb_count_instances(const struct pb_registry *registry)
{
	size_t i, n = 0;

	for (i = 0; i < registry->count; i++)
		n += !registry->instances[i]->draining &&
		    !registry->instances[i]->leaving;
	return n;
}
