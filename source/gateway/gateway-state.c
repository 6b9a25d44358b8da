#include "gateway-follow.h"

#include <string.h>

/* How long the store may hold a request for the configuration. */
#define ROUTING_WAIT_MS 1100
/*
 * Versions in faster succession are not all fetched, because a large
 * configuration would saturate the link of a small machine.
 */
#define ROUTING_PERIOD_US (500 * PB_MSEC)
#define ROUTING_LIST_PERIOD_US (60 * PB_SEC)
/*
 * How long the store may hold a request for the list of instances. The list in
 * use becomes older than that.
 */
#define INSTANCE_WAIT_MS 600
/* Batches changes in close succession. */
#define INSTANCE_PERIOD_US (300 * PB_MSEC)
/*
 * A listing finds changes that a watch has missed. It is rare because no
 * changes are received meanwhile, and 3,000 instances take 2 s on a link of 10
 * Mbit/s.
 */
#define INSTANCE_LIST_PERIOD_US (60 * PB_SEC)
/*
 * The revocation of a key must take effect within revoke_ms. A key may have
 * been revoked unseen for that time less this margin: the store may fail to
 * announce a change for a second.
 */
#define REVOKE_MARGIN_US (400 * PB_MSEC)
/*
 * Fraction of revoke_ms after which a router that receives nothing from the
 * store is not ready for new connections.
 */
#define READY_AGE_FRACTION 0.8
/* Delay of a follower behind the router that it polls. */
#define FOLLOW_LAG_US (300 * PB_MSEC)
#define ROUTER_PERIOD_US (60 * PB_SEC)
#define ROUTER_LIST_PERIOD_US (180 * PB_SEC)

int64_t
pb_routing_age_max(const struct pb_gateway *gw)
{
	return gw->settings.revoke_ms * PB_MSEC - REVOKE_MARGIN_US;
}

int64_t
pb_routing_age_ready(const struct pb_gateway *gw)
{
	return (int64_t)(READY_AGE_FRACTION *
	    (double)(gw->settings.revoke_ms * PB_MSEC));
}

/* Delay of the last followers of this failure domain. */
static int64_t
find_follow_lag(const struct pb_gateway *gw)
{
	return FOLLOW_LAG_US * pb_order_levels(pb_count_domain_routers(gw));
}

/*
 * Returns the maximum age of the configuration at this router with which all of
 * its followers stay ready.
 */
static int64_t
find_routing_max_age(const struct pb_gateway *gw)
{
	int64_t ready = pb_routing_age_ready(gw);
	int64_t max = pb_routing_age_max(gw);

	return (ready < max ? ready : max) - find_follow_lag(gw);
}

static int64_t
find_instances_max_age(const struct pb_gateway *gw)
{
	/* Followers check the age at the router that they poll. */
	return PB_INSTANCES_AGE_MAX_US - find_follow_lag(gw) + FOLLOW_LAG_US;
}

static void
replace_routing(struct pb_gateway *gw, struct pb_routing *routing)
{
	pb_log(gw->ctx, PB_INFO, "configuration", NULL, NULL,
	    "version %lld in force, before %lld: %zu routes, %zu accounts, "
	    "%zu keys",
	    (long long)routing->version,
	    gw->routing != NULL ? (long long)gw->routing->version : -1,
	    routing->route_count, routing->account_count, routing->key_count);
	pb_drop_routing(gw->ctx, gw->routing);
	gw->routing = routing;
	if (pb_set_services(gw->ctx, gw->registry, routing->services,
		routing->service_count) != PB_OK)
		pb_log_error(gw->ctx, PB_ERROR, NULL);
}

void
pb_apply_routing_row(
    struct pb_gateway *gw, struct pb_str value, int64_t row_version)
{
	struct pb_routing *routing;

	/* A listing repeats the configuration in force. */
	if (gw->routing != NULL && row_version == gw->routing_row)
		return;
	routing = gw->adapter->read_routing(gw->ctx, value);
	if (routing == NULL) {
		pb_log_error(gw->ctx, PB_ERROR, NULL);
		return;
	}
	if (gw->routing != NULL && routing->version < gw->routing->version) {
		pb_log(gw->ctx, PB_WARN, "configuration", NULL, NULL,
		    "ignored version %lld, older than the current version %lld",
		    (long long)routing->version,
		    (long long)gw->routing->version);
		pb_drop_routing(gw->ctx, routing);
		return;
	}
	replace_routing(gw, routing);
	gw->routing_row = row_version;
	gw->routing_compressed.len = 0;
	gw->routing_text.len = 0;
	if (pb_append_buf(&gw->routing_text, value.data, value.len) != PB_OK)
		gw->routing_text.len = 0;
}

static void
on_operator_row(struct pb_gateway *gw, struct pb_arena *arena,
    const struct pb_store_row *row)
{
	struct pb_str domain;

	(void)arena;
	if (gw->adapter->read_evacuation(row->key, &domain))
		pb_note_evacuation(
		    gw->ctx, gw->registry, domain, !row->removed, row->version);
	else if (!row->removed && !row->unreadable &&
	    gw->adapter->is_routing_key(row->key))
		pb_apply_routing_row(gw, row->value, row->version);
}

static void
on_operator_begin(struct pb_gateway *gw)
{
	pb_begin_evacuations(gw->registry);
}

static void
on_operator_end(struct pb_gateway *gw)
{
	pb_end_evacuations(gw->ctx, gw->registry);
}

static void
on_operator_complete(struct pb_gateway *gw, int64_t version)
{
	pb_note_evacuations_version(gw->registry, version);
}

void
pb_note_routing_fresh(struct pb_gateway *gw, int64_t fresh_us)
{
	if (fresh_us > gw->routing_fresh_us)
		gw->routing_fresh_us = fresh_us;
}

void
pb_note_instances_fresh(struct pb_gateway *gw, int64_t fresh_us)
{
	int64_t before = gw->instances_fresh_us;
	struct pb_list_gap gap = {fresh_us - before,
	    pb_last_watch_failure(gw->instance_watch) > before};

	pb_note_list_renewed(gw->registry, fresh_us);
	if (before != 0)
		pb_note_list_gap(gw->ctx, gw->registry, &gap);
	if (fresh_us > before)
		gw->instances_fresh_us = fresh_us;
}

/* Checks what the registry does not: it knows no sockets. */
static int
check_address(struct pb_gateway *gw, const struct pb_instance_entry *entry)
{
	struct sockaddr_storage addr;
	char text[PB_INSTANCE_TEXT];
	int len;

	snprintf(text, sizeof(text), "%.*s", (int)entry->address.len,
	    entry->address.data);
	if (entry->address.len < sizeof(text) &&
	    pb_parse_address(text, &addr, &len))
		return PB_OK;
	return pb_set_error(gw->ctx, PB_EPROTO, "read instance", NULL,
	    "the address of instance entry %.*s is not IP:PORT",
	    (int)entry->id.len, entry->id.data);
}

static void
on_instance_row(struct pb_gateway *gw, struct pb_arena *arena,
    const struct pb_store_row *row)
{
	struct pb_instance_entry entry;
	int rc = PB_EPROTO;

	if (!row->removed)
		rc = gw->adapter->read_instance(gw->ctx, arena, row, &entry);
	if (rc == PB_OK)
		rc = check_address(gw, &entry);
	if (rc == PB_OK)
		rc = pb_apply_instance(gw->ctx, gw->registry, &entry);
	if (rc == PB_OK)
		return;
	if (!row->removed)
		pb_log_error(gw->ctx, PB_WARN, NULL);
	pb_remove_instance(gw->ctx, gw->registry, row->key);
}

static void
on_instances_begin(struct pb_gateway *gw)
{
	pb_begin_listing(gw->registry);
}

static void
on_instances_end(struct pb_gateway *gw)
{
	pb_end_listing(gw->ctx, gw->registry);
}

static void
on_instances_complete(struct pb_gateway *gw, int64_t version)
{
	pb_note_list_version(gw->registry, version);
}

static int64_t
find_instances_version(const struct pb_gateway *gw)
{
	return pb_list_version(gw->registry);
}

static void
on_router_row(struct pb_gateway *gw, struct pb_arena *arena,
    const struct pb_store_row *row)
{
	(void)arena;
	pb_apply_router_row(gw, pb_known_routers(gw->follower), row);
}

static void
on_routers_complete(struct pb_gateway *gw, int64_t version)
{
	pb_share_router_hashes(gw, version);
	pb_note_routers_listed(gw->follower);
}

static int64_t
find_routing_version(const struct pb_gateway *gw)
{
	return gw->routing_row;
}

const struct pb_watch_ops pb_routing_watch_ops = {.apply_row = on_operator_row,
    .begin_listing = on_operator_begin,
    .end_listing = on_operator_end,
    .note_complete = on_operator_complete,
    .known_version = find_routing_version,
    .note_fresh = pb_note_routing_fresh,
    .max_age = find_routing_max_age,
    .relists_after_change = true,
    .limits_bandwidth = true,
    .table = PB_STORE_OPERATOR,
    .name = "the configuration",
    .wait_ms = ROUTING_WAIT_MS,
    .period_us = ROUTING_PERIOD_US,
    .list_period_us = ROUTING_LIST_PERIOD_US};

const struct pb_watch_ops pb_instance_watch_ops = {.apply_row = on_instance_row,
    .begin_listing = on_instances_begin,
    .end_listing = on_instances_end,
    .note_complete = on_instances_complete,
    .known_version = find_instances_version,
    .note_fresh = pb_note_instances_fresh,
    .max_age = find_instances_max_age,
    .table = PB_STORE_INSTANCES,
    .name = "the list of instances",
    .wait_ms = INSTANCE_WAIT_MS,
    .period_us = INSTANCE_PERIOD_US,
    .list_period_us = INSTANCE_LIST_PERIOD_US};

const struct pb_watch_ops pb_router_watch_ops = {.apply_row = on_router_row,
    .note_complete = on_routers_complete,
    .table = PB_STORE_ROUTERS,
    .name = "the list of routers",
    .wait_ms = 0,
    .period_us = ROUTER_PERIOD_US,
    .list_period_us = ROUTER_LIST_PERIOD_US};
