#include "router-internal.h"

#include <stdlib.h>
#include <string.h>

#define DATAGRAM_MAX 1200 /* bytes of facts; fits into one packet */
#define FACTS_MAX 8192
#define EXCHANGE_TIMEOUT (300 * PB_MSEC) /* limits the delay by a hung peer */
#define FETCH_TIMEOUT (1 * PB_SEC)
#define FETCH_PEERS 3 /* attempts to fetch settings, one peer each */
#define REVISION_LEN 8 /* bytes; revision in force, precedes a digest */
#define DIGEST_PERIOD_DEFAULT (500 * PB_MSEC)
#define BUDGET_DEFAULT 2000.0 /* bytes per second */
#define DUE_CHECK_INTERVAL (20 * PB_MSEC)

int
router_init_digest(struct pb_context *ctx, struct pb_router *r)
{
	const struct pb_boot_config *b = &r->node->boot;
	struct pb_digest_policy policy = {.self = r->node->id_hash,
	    .incarnation = r->node->incarnation,
	    .fleet = pb_hash_cstr(b->fleet, 0),
	    .region = (uint32_t)pb_hash_cstr(b->region, 0) | 1,
	    .bytes_per_sec = BUDGET_DEFAULT,
	    .datagram_max = DATAGRAM_MAX,
	    .max_facts = FACTS_MAX};

	pthread_mutex_init(&r->digest_lock, NULL);
	r->digest = pb_new_digest(ctx, &policy);
	if (r->digest == NULL)
		return pb_set_error(
		    ctx, PB_ENOMEM, "digest", NULL, "out of memory");
	return PB_OK;
}

static uint64_t
revision_in_force(struct pb_router *r)
{
	uint64_t revision;

	pthread_mutex_lock(&r->gate_lock);
	revision = pb_revision_in_force(r->gate);
	pthread_mutex_unlock(&r->gate_lock);
	return revision;
}

/* Records a valid digest as evidence that the peer is alive. */
static void
note_peer_alive(struct pb_context *ctx, struct pb_router *r, uint64_t peer,
    uint64_t revision, int64_t sent_us)
{
	pb_report_evidence(ctx, r->node, peer, 0, PB_EVIDENCE_ANSWER);
	router_note_peer_revision(ctx, r, peer, revision, sent_us);
}

/* Facts received in a merge, to be applied after digest_lock is released. */
struct fact_batch {
	struct pb_fact facts[64];
	size_t count;
};

static void
add_to_batch(void *arg, const struct pb_fact *fact)
{
	struct fact_batch *batch = arg;

	if (batch->count < sizeof(batch->facts) / sizeof(batch->facts[0]))
		batch->facts[batch->count++] = *fact;
}

static void
apply_batch(struct pb_router *r, struct fact_batch *batch)
{
	size_t i;

	for (i = 0; i < batch->count; i++)
		router_apply_fact(r, &batch->facts[i]);
}

static int
serve_exchange(struct pb_context *ctx, void *arg, const uint8_t *in,
    size_t in_len, uint8_t *out, size_t cap, size_t *out_len)
{
	struct pb_router *r = arg;
	uint64_t sender, incarnation;
	struct fact_batch batch = {.count = 0};
	int64_t now_us = pb_now(ctx);
	int rc;

	if (in_len < REVISION_LEN || cap < REVISION_LEN)
		return pb_set_error(
		    ctx, PB_EPROTO, "exchange", NULL, "digest is too short");
	rc = pb_read_digest_sender(ctx, in + REVISION_LEN,
	    in_len - REVISION_LEN, &sender, &incarnation);
	if (rc != PB_OK)
		return rc;
	pthread_mutex_lock(&r->digest_lock);
	rc = pb_answer_digest(ctx, r->digest, in + REVISION_LEN,
	    in_len - REVISION_LEN, add_to_batch, &batch, out + REVISION_LEN,
	    cap - REVISION_LEN, out_len);
	pthread_mutex_unlock(&r->digest_lock);
	if (rc != PB_OK)
		return rc;
	pb_put_u64(out, revision_in_force(r));
	*out_len += REVISION_LEN;
	note_peer_alive(ctx, r, sender, pb_get_u64(in), now_us);
	apply_batch(r, &batch);
	return PB_OK;
}

static int
serve_settings(struct pb_context *ctx, void *arg, uint64_t known,
    uint64_t *revision, struct pb_buf *text)
{
	struct pb_router *r = arg;
	int rc = PB_OK;

	(void)ctx;
	pthread_mutex_lock(&r->gate_lock);
	*revision = r->settings_text_revision;
	if (r->settings_text_revision > known)
		rc = pb_append_buf(
		    text, r->settings_text.data, r->settings_text.len);
	pthread_mutex_unlock(&r->gate_lock);
	return rc;
}

static int
serve_events(
    struct pb_context *ctx, void *arg, const char *request, struct pb_buf *json)
{
	struct pb_router *r = arg;
	struct pb_event_filter filter = {.request = request};

	return pb_format_events(ctx, r->node->events, &filter, json);
}

int
router_start_peer(struct pb_context *ctx, struct pb_router *r)
{
	static const struct pb_peer_ops ops = {
	    serve_exchange, serve_settings, serve_events};

	r->peer_server = pb_new_peer_server(
	    ctx, r->node->boot.rpc, &ops, r, &r->control_bytes);
	return r->peer_server != NULL ? PB_OK : ctx->error.code;
}

/*
 * Chooses a random other router that is not known to be down, and sets *peers
 * to the number of such routers. Returns false if there is none.
 */
static bool
choose_peer(struct pb_router *r, struct pb_random *rnd, struct pb_member *out,
    size_t *peers)
{
	struct pb_context ctx = pb_node_context(r->node);
	struct pb_view *view = pb_node_view(r->node);
	size_t i, n = 0;

	for (i = 0; view != NULL && i < view->count; i++) {
		const struct pb_member *m = &view->members[i];

		if (m->info.role != PB_ROLE_ROUTER ||
		    m->id_hash == r->node->id_hash ||
		    m->health == PB_HEALTH_DOWN || m->info.rpc[0] == '\0')
			continue;
		/* Candidate n replaces the choice with probability 1/n. */
		if (pb_next_random(rnd) % ++n == 0)
			*out = *m;
	}
	if (view != NULL)
		pb_drop_view(&ctx, view);
	*peers = n;
	return n > 0;
}

/*
 * Finds the peer whose last exchange failed. Returns false if that peer was
 * already tried again or is not in the view.
 */
static bool
find_failed_peer(struct pb_router *r, struct pb_member *out, size_t *peers)
{
	struct pb_context ctx = pb_node_context(r->node);
	struct pb_view *view;
	const struct pb_member *m;

	if (r->retried_peer == r->failed_peer)
		return false;
	r->retried_peer = r->failed_peer;
	view = pb_node_view(r->node);
	m = view != NULL ? pb_find_member(view, r->failed_peer) : NULL;
	if (m != NULL) {
		*out = *m;
		*peers = view->count;
	}
	if (view != NULL)
		pb_drop_view(&ctx, view);
	return m != NULL;
}

static void
exchange_digest(
    struct pb_context *ctx, struct pb_router *r, const struct pb_member *peer)
{
	uint8_t out[DATAGRAM_MAX + REVISION_LEN + 256];
	uint8_t in[PB_PEER_DIGEST_MAX];
	bool other_region =
	    strcmp(peer->info.region, r->node->boot.region) != 0;
	struct fact_batch batch = {.count = 0};
	int64_t sent_us = pb_now(ctx);
	size_t len, in_len = 0;
	int rc;

	pthread_mutex_lock(&r->digest_lock);
	len = other_region ? pb_pack_cross_region_digest(ctx, r->digest,
				 out + REVISION_LEN, sizeof(out) - REVISION_LEN)
			   : pb_pack_digest(ctx, r->digest, out + REVISION_LEN,
				 sizeof(out) - REVISION_LEN);
	pthread_mutex_unlock(&r->digest_lock);
	if (len == 0)
		return;
	pb_put_u64(out, revision_in_force(r));
	rc = pb_exchange_digest(ctx, peer->info.rpc, out, len + REVISION_LEN,
	    in, sizeof(in), &in_len, EXCHANGE_TIMEOUT, &r->control_bytes);
	if (rc != PB_OK || in_len < REVISION_LEN) {
		/*
		 * One failure may be a lost datagram. Two failures in a row
		 * are published to the other routers.
		 */
		if (r->failed_peer == peer->id_hash)
			router_publish_down(ctx, r, peer);
		r->failed_peer = peer->id_hash;
		pb_report_evidence(ctx, r->node, peer->id_hash, 0,
		    rc == PB_EUNAVAIL ? PB_EVIDENCE_REFUSAL
				      : PB_EVIDENCE_TIMEOUT);
		return;
	}
	if (r->failed_peer == peer->id_hash)
		r->failed_peer = r->retried_peer = 0;
	if (in_len > REVISION_LEN) {
		pthread_mutex_lock(&r->digest_lock);
		rc = pb_merge_digest(ctx, r->digest, in + REVISION_LEN,
		    in_len - REVISION_LEN, add_to_batch, &batch);
		pthread_mutex_unlock(&r->digest_lock);
	}
	if (rc != PB_OK)
		return;
	note_peer_alive(ctx, r, peer->id_hash, pb_get_u64(in), sent_us);
	apply_batch(r, &batch);
}

/* Waits until the next exchange is due. Returns false if the router stops. */
static bool
wait_for_exchange(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_settings *s = pb_node_settings(r->node);
	int64_t period = s != NULL ? s->digest_us : DIGEST_PERIOD_DEFAULT;
	int64_t due;

	if (s != NULL)
		pb_drop_settings(ctx, s);
	do {
		pthread_mutex_lock(&r->digest_lock);
		due = pb_next_exchange(r->digest, period);
		pthread_mutex_unlock(&r->digest_lock);
		if (due <= pb_now(ctx))
			return !atomic_load(&r->stopping);
	} while (router_sleep(r, DUE_CHECK_INTERVAL));
	return false;
}

static void
update_counters(struct pb_router *r, uint64_t *sent, uint64_t *received)
{
	uint64_t s = atomic_load(&r->control_bytes.sent);
	uint64_t v = atomic_load(&r->control_bytes.received);

	pb_add_counter(
	    r->node->metrics, PB_COUNT_CONTROL_SENT, (int64_t)(s - *sent));
	pb_add_counter(r->node->metrics, PB_COUNT_CONTROL_RECEIVED,
	    (int64_t)(v - *received));
	*sent = s;
	*received = v;
}

void *
router_run_digest(void *arg)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);
	struct pb_random rnd = {r->node->id_hash ^ r->node->incarnation};
	uint64_t sent = 0, received = 0;
	struct pb_member peer;
	size_t peers;

	/* A random delay spreads the exchanges of routers started together. */
	router_sleep(
	    r, (int64_t)(pb_next_uniform(&rnd) * DIGEST_PERIOD_DEFAULT));
	do {
		router_publish_facts(&ctx, r);
		router_apply_demand(&ctx, r);
		/*
		 * After a failure, the next exchange is with the same peer, to
		 * confirm that it is down.
		 */
		if ((r->failed_peer != 0 &&
			find_failed_peer(r, &peer, &peers)) ||
		    choose_peer(r, &rnd, &peer, &peers)) {
			pthread_mutex_lock(&r->digest_lock);
			pb_set_digest_peers(&ctx, r->digest, peers);
			pthread_mutex_unlock(&r->digest_lock);
			exchange_digest(&ctx, r, &peer);
			update_counters(r, &sent, &received);
		} else {
			router_sleep(r, DIGEST_PERIOD_DEFAULT);
		}
	} while (wait_for_exchange(&ctx, r));
	return NULL;
}

static int
fetch_peer_settings(struct pb_context *ctx, struct pb_router *r,
    const struct pb_member *peer, uint64_t wanted,
    struct pb_settings_tree *tree)
{
	struct pb_buf text = {0};
	uint64_t revision = 0;
	int rc;

	rc = pb_fetch_peer_settings(ctx, peer->info.rpc, wanted - 1, &revision,
	    &text, FETCH_TIMEOUT, &r->control_bytes);
	if (rc == PB_OK && revision < wanted)
		rc = PB_ENOENT;
	if (rc == PB_OK)
		rc = pb_load_tree(
		    ctx, (struct pb_str){text.data, text.len}, tree);
	pb_clear_buf(&text);
	return rc;
}

int
router_fetch_peer_settings(struct pb_context *ctx, struct pb_router *r,
    uint64_t wanted, struct pb_settings_tree *tree)
{
	struct pb_random rnd = {(uint64_t)pb_now(ctx)};
	struct pb_member peer;
	size_t peers;
	int i;

	for (i = 0; i < FETCH_PEERS && wanted > 0; i++) {
		if (!choose_peer(r, &rnd, &peer, &peers))
			break;
		if (fetch_peer_settings(ctx, r, &peer, wanted, tree) == PB_OK)
			return PB_OK;
	}
	return pb_set_error(ctx, PB_ENOENT, "fetch-settings", NULL,
	    "no queried peer has settings of revision %llu or newer",
	    (unsigned long long)wanted);
}
