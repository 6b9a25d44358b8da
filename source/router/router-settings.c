#include "router-internal.h"

#include <inttypes.h>
#include <string.h>
#include <time.h>

#define POLL_INTERVAL_DEFAULT (1 * PB_SEC) /* until settings are loaded */
#define FRESHNESS_DEFAULT (10 * PB_SEC)
#define START_PEERS 2 /* peers that must report a revision at startup */

int
router_init_settings(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_gate_policy policy = {FRESHNESS_DEFAULT, START_PEERS};

	pthread_mutex_init(&r->gate_lock, NULL);
	pthread_mutex_init(&r->fetch_lock, NULL);
	pthread_cond_init(&r->settings_cond, NULL);
	r->gate = pb_new_settings_gate(ctx, &policy);
	if (r->gate == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "settings", NULL, "out of memory");
	return PB_OK;
}

/* Updates the components that keep their own copy of some settings. */
static void
update_components(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_settings *s = pb_node_settings(r->node);
	int i;

	pb_set_retry_policy(r->node->retries, s->retry_share, s->retry_burst);
	pthread_mutex_lock(&r->digest_lock);
	pb_set_digest_budget(r->digest, s->control_bytes_per_sec);
	pthread_mutex_unlock(&r->digest_lock);
	pthread_mutex_lock(&r->members_lock);
	for (i = 0; i < s->service_count; i++)
		pb_set_eject_share(r->members, s->services[i].name,
		    s->services[i].eject_share);
	pthread_mutex_unlock(&r->members_lock);
	pb_drop_settings(ctx, s);
}

/*
 * Puts a checked tree in force if the gate accepts its revision. Takes
 * ownership of the reference to settings.
 */
static void
activate_settings(struct pb_context *ctx, struct pb_router *r,
    struct pb_settings *settings, const struct pb_settings_tree *tree,
    enum pb_settings_source source, int64_t sent_us)
{
	struct pb_gate_policy policy = {settings->freshness_us, START_PEERS};
	struct pb_buf text = {0};
	int rc;

	if (pb_format_tree(ctx, tree, &text) != PB_OK) {
		pb_drop_settings(ctx, settings);
		return;
	}
	pthread_mutex_lock(&r->gate_lock);
	rc = pb_accept_revision(
	    ctx, r->gate, settings->revision, source, sent_us);
	if (rc == PB_OK) {
		pb_set_gate_policy(r->gate, &policy);
		pb_clear_buf(&r->settings_text);
		r->settings_text = text;
		r->settings_text_revision = settings->revision;
		/*
		 * Holding gate_lock here ensures that revisions come into force
		 * in order.
		 */
		pb_set_node_settings(ctx, r->node, settings);
	}
	pthread_mutex_unlock(&r->gate_lock);
	if (rc != PB_OK) {
		pb_clear_buf(&text);
		pb_drop_settings(ctx, settings);
		return;
	}
	update_components(ctx, r);
	pb_add_counter(r->node->metrics, PB_COUNT_SETTINGS_APPLIED, 1);
	pb_add_event(ctx, r->node->events, "settings", NULL, 0, NULL,
	    "revision %" PRIu64 " in force, from %s", tree->revision,
	    source == PB_FROM_TABLE ? "the table service" : "a peer");
	pb_log(ctx, PB_INFO, "settings", NULL, NULL,
	    "revision %" PRIu64 " is in force", tree->revision);
	pb_sync_owner(ctx, r->owner);
}

/*
 * Reads the newest tree into latest_tree from the table service, or from a peer
 * if the table fails or has no revision as new as wanted.
 */
static int
read_newest_tree(struct pb_context *ctx, struct pb_router *r, uint64_t wanted,
    enum pb_settings_source *source)
{
	struct pb_settings_tree *tree = &r->latest_tree;
	struct pb_settings_tree from_peer;
	int rc;

	*source = PB_FROM_TABLE;
	if (tree->revision > 0)
		rc = pb_update_tree(ctx, r->node->table, tree);
	else
		rc = pb_read_tree(ctx, r->node->table, tree);
	if (rc == PB_OK && tree->revision >= wanted)
		return PB_OK;
	memset(&from_peer, 0, sizeof(from_peer));
	*source = PB_FROM_PEER;
	rc = router_fetch_peer_settings(ctx, r, wanted, &from_peer);
	if (rc != PB_OK)
		return rc;
	pb_clear_tree(tree);
	*tree = from_peer;
	return PB_OK;
}

/* Fetches the settings and puts them in force. Serialized by fetch_lock. */
static void
fetch_settings(struct pb_context *ctx, struct pb_router *r, uint64_t wanted)
{
	struct pb_settings_report report = {0};
	struct pb_settings *settings, *old = NULL;
	enum pb_settings_source source;
	int64_t sent_us;

	pthread_mutex_lock(&r->fetch_lock);
	sent_us = pb_now(ctx);
	if (read_newest_tree(ctx, r, wanted, &source) != PB_OK)
		goto done;
	old = pb_node_settings(r->node);
	settings = pb_parse_tree_changes(ctx, old, &r->latest_tree, &report);
	if (settings != NULL)
		activate_settings(
		    ctx, r, settings, &r->latest_tree, source, sent_us);
	else
		pb_log(ctx, PB_ERROR, "settings", NULL, NULL,
		    "revision %" PRIu64
		    " is invalid on this router and was not applied: %s",
		    r->latest_tree.revision,
		    report.lines.data != NULL ? report.lines.data : "");
	pb_clear_settings_report(&report);
done:
	if (old != NULL)
		pb_drop_settings(ctx, old);
	pthread_mutex_unlock(&r->fetch_lock);
}

void
router_poll_settings(struct pb_context *ctx, struct pb_router *r)
{
	int64_t sent_us = pb_now(ctx);
	uint64_t head, version, wanted, current;
	int rc = pb_read_head(ctx, r->node->table, &head, &version);

	pthread_mutex_lock(&r->gate_lock);
	if (rc == PB_OK)
		pb_note_table_revision(ctx, r->gate, head, sent_us);
	wanted = pb_latest_known_revision(r->gate);
	current = pb_revision_in_force(r->gate);
	pthread_mutex_unlock(&r->gate_lock);
	if (wanted > current)
		fetch_settings(ctx, r, wanted);
}

void
router_note_peer_revision(struct pb_context *ctx, struct pb_router *r,
    uint64_t peer, uint64_t revision, int64_t sent_us)
{
	pthread_mutex_lock(&r->gate_lock);
	pb_note_peer_revision(ctx, r->gate, peer, revision, sent_us);
	if (pb_latest_known_revision(r->gate) > pb_revision_in_force(r->gate))
		pthread_cond_signal(&r->settings_cond);
	pthread_mutex_unlock(&r->gate_lock);
}

/* Waits for the next poll, or until a newer revision is reported. */
static void
wait_for_poll(struct pb_router *r)
{
	struct pb_settings *s = pb_node_settings(r->node);
	struct pb_context ctx = pb_node_context(r->node);
	int64_t us = s != NULL ? s->poll_us : POLL_INTERVAL_DEFAULT;
	struct timespec until;

	us = router_scale_interval(&ctx, r, us);
	if (s != NULL)
		pb_drop_settings(&ctx, s);
	clock_gettime(CLOCK_REALTIME, &until);
	us += until.tv_nsec / 1000;
	until.tv_sec += us / PB_SEC;
	until.tv_nsec = us % PB_SEC * 1000;
	pthread_mutex_lock(&r->gate_lock);
	if (!atomic_load(&r->stopping))
		pthread_cond_timedwait(
		    &r->settings_cond, &r->gate_lock, &until);
	pthread_mutex_unlock(&r->gate_lock);
}

void *
router_run_settings(void *arg)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);

	while (!atomic_load(&r->stopping)) {
		router_poll_settings(&ctx, r);
		router_charge_traffic(&ctx, r, POLL_SENT, POLL_RECEIVED);
		wait_for_poll(r);
	}
	return NULL;
}
