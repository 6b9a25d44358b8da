#include "router-internal.h"

#include <inttypes.h>
#include <string.h>
#include <time.h>

#define POLL_DEFAULT (1 * PB_SEC) /* before the settings say it */
#define FRESHNESS_DEFAULT (10 * PB_SEC)
#define START_PEERS 2 /* peers that must state a revision at a start */

int
router_init_settings(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_gate_policy policy = {FRESHNESS_DEFAULT, START_PEERS};

	pthread_mutex_init(&r->gate_lock, NULL);
	pthread_mutex_init(&r->fetch_lock, NULL);
	pthread_cond_init(&r->settings_kick, NULL);
	r->gate = pb_new_settings_gate(ctx, &policy);
	if (r->gate == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "settings", NULL, "out of memory");
	return PB_OK;
}

/* Hands the settings in force to the parts that keep a copy of some. */
static void
apply_elsewhere(struct pb_context *ctx, struct pb_router *r)
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

/* Puts a checked tree in force when the gate allows it. */
static void
put_in_force(struct pb_context *ctx, struct pb_router *r,
    struct pb_settings *settings, const struct pb_settings_tree *tree,
    enum pb_settings_source source, int64_t asked_us)
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
	    ctx, r->gate, settings->revision, source, asked_us);
	if (rc == PB_OK) {
		pb_set_gate_policy(r->gate, &policy);
		pb_clear_buf(&r->tree);
		r->tree = text;
		r->tree_revision = settings->revision;
		/* Under the lock, so that revisions come into force in order.
		 */
		pb_set_node_settings(ctx, r->node, settings);
	}
	pthread_mutex_unlock(&r->gate_lock);
	if (rc != PB_OK) {
		pb_clear_buf(&text);
		pb_drop_settings(ctx, settings);
		return;
	}
	apply_elsewhere(ctx, r);
	pb_add_counter(r->node->metrics, PB_COUNT_SETTINGS_APPLIED, 1);
	pb_add_event(ctx, r->node->events, "settings", NULL, 0, NULL,
	    "revision %" PRIu64 " in force, from %s", tree->revision,
	    source == PB_FROM_TABLE ? "the table service" : "a peer");
	pb_log(ctx, PB_INFO, "settings", NULL, NULL,
	    "revision %" PRIu64 " is in force", tree->revision);
	pb_sync_owner(ctx, r->owner);
}

/* Reads the newest tree, from the table service or else from a peer. */
static int
read_newest(struct pb_context *ctx, struct pb_router *r, uint64_t wanted,
    enum pb_settings_source *source)
{
	struct pb_settings_tree *tree = &r->stored;
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
	rc = router_fetch_from_peers(ctx, r, wanted, &from_peer);
	if (rc != PB_OK)
		return rc;
	pb_clear_tree(tree);
	*tree = from_peer;
	return PB_OK;
}

/* Fetches the settings and puts them in force; one thread at a time. */
static void
fetch_settings(struct pb_context *ctx, struct pb_router *r, uint64_t wanted)
{
	struct pb_settings_report report = {0};
	struct pb_settings *settings, *old = NULL;
	enum pb_settings_source source;
	int64_t asked_us;

	pthread_mutex_lock(&r->fetch_lock);
	asked_us = pb_now(ctx);
	if (read_newest(ctx, r, wanted, &source) != PB_OK)
		goto done;
	old = pb_node_settings(r->node);
	settings = pb_parse_tree_changes(ctx, old, &r->stored, &report);
	if (settings != NULL)
		put_in_force(ctx, r, settings, &r->stored, source, asked_us);
	else
		pb_log(ctx, PB_ERROR, "settings", NULL, NULL,
		    "revision %" PRIu64 " is not valid here: %s",
		    r->stored.revision,
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
	int64_t asked_us = pb_now(ctx);
	uint64_t head, version, wanted, current;
	int rc = pb_read_head(ctx, r->node->table, &head, &version);

	pthread_mutex_lock(&r->gate_lock);
	if (rc == PB_OK)
		pb_note_table_revision(ctx, r->gate, head, asked_us);
	wanted = pb_latest_known_revision(r->gate);
	current = pb_revision_in_force(r->gate);
	pthread_mutex_unlock(&r->gate_lock);
	if (wanted > current)
		fetch_settings(ctx, r, wanted);
}

void
router_hear_revision(struct pb_context *ctx, struct pb_router *r, uint64_t peer,
    uint64_t revision, int64_t asked_us)
{
	pthread_mutex_lock(&r->gate_lock);
	pb_note_peer_revision(ctx, r->gate, peer, revision, asked_us);
	if (pb_latest_known_revision(r->gate) > pb_revision_in_force(r->gate))
		pthread_cond_signal(&r->settings_kick);
	pthread_mutex_unlock(&r->gate_lock);
}

/* Waits for the next poll, or until a newer revision is heard of. */
static void
wait_for_poll(struct pb_router *r)
{
	struct pb_settings *s = pb_node_settings(r->node);
	struct pb_context ctx = pb_node_context(r->node);
	int64_t us = s != NULL ? s->poll_us : POLL_DEFAULT;
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
		    &r->settings_kick, &r->gate_lock, &until);
	pthread_mutex_unlock(&r->gate_lock);
}

void *
router_run_settings(void *arg)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);

	while (!atomic_load(&r->stopping)) {
		router_poll_settings(&ctx, r);
		router_spend(&ctx, r, POLL_SENT, POLL_RECEIVED);
		wait_for_poll(r);
	}
	return NULL;
}
