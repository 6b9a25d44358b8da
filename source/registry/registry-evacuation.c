#include "registry-internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * What the operator sets for instances: the configuration of their services,
 * and the evacuation of failure domains. Evacuated instances take no requests
 * until the operator ends the evacuation. After that they are usually cold, and
 * may not have reported it yet.
 */

/*
 * Routers that were suspended or cut off during an evacuation learn of its end
 * from others for this long.
 */
#define END_KEPT_US (10 * PB_SEC)

static struct pb_evacuation *
find_evacuation(struct pb_registry *registry, struct pb_str domain)
{
	size_t i;

	for (i = 0; i < registry->evacuation_count; i++) {
		if (pb_str_equal_c(domain, registry->evacuations[i].domain))
			return &registry->evacuations[i];
	}
	return NULL;
}

/* Returns true if the state of the instance has changed. */
static bool
set_evacuated(const struct pb_registry *registry, struct pb_instance *inst)
{
	bool before = inst->evacuated;
	size_t i;

	inst->evacuated = false;
	for (i = 0; i < registry->evacuation_count; i++) {
		if (strcmp(inst->domain, registry->evacuations[i].domain) == 0)
			inst->evacuated = true;
	}
	return inst->evacuated != before;
}

/* Applies the evacuations to all instances. */
static void
apply_evacuations(struct pb_registry *registry)
{
	size_t i;

	for (i = 0; i < registry->count; i++) {
		struct pb_instance *inst = registry->instances[i];

		if (set_evacuated(registry, inst) && inst->evacuated)
			pb_notify_closed(registry, inst);
	}
	/* Tells the routers that follow this one. */
	registry->sequence++;
}

static void
start_evacuation(
    struct pb_context *ctx, struct pb_registry *registry, struct pb_str domain)
{
	struct pb_evacuation *e =
	    &registry->evacuations[registry->evacuation_count];

	if (registry->evacuation_count == EVACUATIONS_MAX ||
	    domain.len >= sizeof(e->domain)) {
		pb_log(ctx, PB_ERROR, "evacuate", NULL, NULL,
		    "evacuation of domain %.*s ignored: the name is too long "
		    "or %d domains are evacuated already",
		    (int)domain.len, domain.data, EVACUATIONS_MAX);
		return;
	}
	registry->evacuation_count++;
	memcpy(e->domain, domain.data, domain.len);
	e->domain[domain.len] = '\0';
	e->since_us = pb_now(ctx);
	e->listed = true;
	pb_log(ctx, PB_INFO, "evacuate", NULL, NULL,
	    "domain %s is evacuated; its instances get no new requests",
	    e->domain);
	apply_evacuations(registry);
}

static void
end_evacuation(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_evacuation *e)
{
	pb_log(ctx, PB_INFO, "evacuate", NULL, NULL,
	    "evacuation of domain %s ended after %lld ms", e->domain,
	    (long long)((pb_now(ctx) - e->since_us) / PB_MSEC));
	pb_note_evacuation_end(
	    ctx, registry, pb_str_from(e->domain), pb_now(ctx));
	*e = registry->evacuations[--registry->evacuation_count];
	apply_evacuations(registry);
}

static void
expire_ends(struct pb_registry *registry, int64_t now)
{
	size_t i;

	for (i = registry->ended_count; i-- > 0;) {
		if (now - registry->ended[i].end_us > END_KEPT_US)
			registry->ended[i] =
			    registry->ended[--registry->ended_count];
	}
}

/* Returns the kept end of the domain, a new one, or NULL if there are many. */
static struct pb_evacuation_end *
find_or_add_end(struct pb_registry *registry, struct pb_str domain)
{
	struct pb_evacuation_end *end;
	size_t i;

	for (i = 0; i < registry->ended_count; i++) {
		if (pb_str_equal_c(domain, registry->ended[i].domain))
			return &registry->ended[i];
	}
	if (i == EVACUATIONS_MAX || domain.len >= PB_INSTANCE_TEXT)
		return NULL;
	end = &registry->ended[registry->ended_count++];
	memset(end, 0, sizeof(*end));
	memcpy(end->domain, domain.data, domain.len);
	return end;
}

/* The instances of the domain may be cold. */
static void
suspect_domain(struct pb_registry *registry, struct pb_str domain, int64_t end)
{
	size_t i;

	for (i = 0; i < registry->count; i++) {
		struct pb_instance *inst = registry->instances[i];

		if (pb_str_equal_c(domain, inst->domain))
			pb_suspect_cold(inst, end);
	}
}

void
pb_note_evacuation_end(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_str domain, int64_t end_us)
{
	struct pb_evacuation_end *end;

	suspect_domain(registry, domain, end_us);
	expire_ends(registry, pb_now(ctx));
	end = find_or_add_end(registry, domain);
	if (end != NULL && end_us > end->end_us)
		end->end_us = end_us;
}

size_t
pb_read_evacuation_ends(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_evacuation_end **ends)
{
	expire_ends(registry, pb_now(ctx));
	*ends = registry->ended;
	return registry->ended_count;
}

void
pb_note_evacuation(struct pb_context *ctx, struct pb_registry *registry,
    struct pb_str domain, bool active, int64_t version)
{
	struct pb_evacuation *e = find_evacuation(registry, domain);

	if (e != NULL && active) {
		e->listed = true;
		return;
	}
	/* A watch that resumes delivers older changes once more. */
	if (version != 0 && version <= registry->evacuations_version)
		return;
	if (active)
		start_evacuation(ctx, registry, domain);
	else if (e != NULL)
		end_evacuation(ctx, registry, e);
	else /* It began and ended without this router noticing. */
		pb_note_evacuation_end(ctx, registry, domain, pb_now(ctx));
}

void
pb_begin_evacuations(struct pb_registry *registry)
{
	size_t i;

	for (i = 0; i < registry->evacuation_count; i++)
		registry->evacuations[i].listed = false;
}

void
pb_end_evacuations(struct pb_context *ctx, struct pb_registry *registry)
{
	size_t i;

	for (i = registry->evacuation_count; i-- > 0;) {
		if (!registry->evacuations[i].listed)
			end_evacuation(
			    ctx, registry, &registry->evacuations[i]);
	}
}

void
pb_note_evacuations_version(struct pb_registry *registry, int64_t version)
{
	if (version > registry->evacuations_version)
		registry->evacuations_version = version;
}

int64_t
pb_evacuations_version(const struct pb_registry *registry)
{
	return registry->evacuations_version;
}

const struct pb_evacuation *
pb_read_evacuations(const struct pb_registry *registry, size_t *count)
{
	*count = registry->evacuation_count;
	return registry->evacuations;
}

static const struct service *
find_service(const struct pb_registry *registry, const char *name)
{
	size_t i;

	for (i = 0; i < registry->service_count; i++) {
		if (strcmp(name, registry->services[i].name) == 0)
			return &registry->services[i];
	}
	return NULL;
}

void
pb_apply_operator_state(
    const struct pb_registry *registry, struct pb_instance *instance)
{
	const struct service *s = find_service(registry, instance->service);

	set_evacuated(registry, instance);
	instance->cold_start_us = s != NULL ? s->cold_start_us : 0;
	instance->cold_per_s = s != NULL ? s->cold_per_s : 0;
}

int
pb_set_services(struct pb_context *ctx, struct pb_registry *registry,
    const struct pb_service *services, size_t count)
{
	struct service *copy = calloc(count + 1, sizeof(*copy));
	size_t i;

	if (copy == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "apply services", NULL, "out of memory");
	for (i = 0; i < count; i++) {
		snprintf(copy[i].name, sizeof(copy[i].name), "%.*s",
		    (int)services[i].name.len, services[i].name.data);
		copy[i].cold_start_us = services[i].cold_start_us;
		copy[i].cold_per_s = services[i].cold_per_s;
	}
	free(registry->services);
	registry->services = copy;
	registry->service_count = count;
	for (i = 0; i < registry->count; i++)
		pb_apply_operator_state(registry, registry->instances[i]);
	/* Whether an instance can be cold may have been unknown before. */
	for (i = 0; i < registry->ended_count; i++)
		suspect_domain(registry, pb_str_from(registry->ended[i].domain),
		    registry->ended[i].end_us);
	return PB_OK;
}
