#include "router-internal.h"

#include <stdlib.h>
#include <string.h>

#define DATAGRAM_MAX 1200 /* bytes of facts; fits one packet */
#define FACTS_MAX 8192
#define EXCHANGE_LIMIT (300 * PB_MSEC) /* a frozen peer blocks no longer */
#define FETCH_LIMIT (1 * PB_SEC)
#define FETCH_PEERS 3 /* peers asked for settings */
#define REVISION_LEN 8 /* the revision in force goes before each digest */
#define DIGEST_DEFAULT (500 * PB_MSEC)
#define BUDGET_DEFAULT 2000.0 /* bytes per second */
#define IDLE_SLICE (20 * PB_MSEC)

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

/* A valid digest came from this router: it is alive. */
static void
note_peer(struct pb_context *ctx, struct pb_router *r, uint64_t peer,
    uint64_t revision, int64_t asked_us)
{
	pb_report_evidence(ctx, r->node, peer, 0, PB_EVIDENCE_ANSWER);
	router_hear_revision(ctx, r, peer, revision, asked_us);
}

/* What a merge brought: facts are handled after the digest's lock is free. */
struct inbox {
	struct pb_fact facts[64];
	size_t count;
};

static void
keep_fact(void *arg, const struct pb_fact *fact)
{
	struct inbox *in = arg;

	if (in->count < sizeof(in->facts) / sizeof(in->facts[0]))
		in->facts[in->count++] = *fact;
}

static void
empty_inbox(struct pb_router *r, struct inbox *in)
{
	size_t i;

	for (i = 0; i < in->count; i++)
		router_take_fact(r, &in->facts[i]);
}

static int
serve_exchange(struct pb_context *ctx, void *arg, const uint8_t *in,
    size_t in_len, uint8_t *out, size_t cap, size_t *out_len)
{
	struct pb_router *r = arg;
	uint64_t sender, incarnation;
	struct inbox inbox = {.count = 0};
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
	    in_len - REVISION_LEN, keep_fact, &inbox, out + REVISION_LEN,
	    cap - REVISION_LEN, out_len);
	pthread_mutex_unlock(&r->digest_lock);
	if (rc != PB_OK)
		return rc;
	pb_put_u64(out, revision_in_force(r));
	*out_len += REVISION_LEN;
	note_peer(ctx, r, sender, pb_get_u64(in), now_us);
	empty_inbox(r, &inbox);
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
	*revision = r->tree_revision;
	if (r->tree_revision > known)
		rc = pb_append_buf(text, r->tree.data, r->tree.len);
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

	r->peer_server =
	    pb_new_peer_server(ctx, r->node->boot.rpc, &ops, r, &r->control);
	return r->peer_server != NULL ? PB_OK : ctx->error.code;
}

/* Picks a random other router that may be alive; false when there is none. */
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
		/* Each candidate replaces the choice with chance 1/n. */
		if (pb_next_random(rnd) % ++n == 0)
			*out = *m;
	}
	if (view != NULL)
		pb_drop_view(&ctx, view);
	*peers = n;
	return n > 0;
}

/* The peer that failed last, unless it failed twice. */
static bool
find_peer(struct pb_router *r, struct pb_member *out, size_t *peers)
{
	struct pb_context ctx = pb_node_context(r->node);
	struct pb_view *view;
	const struct pb_member *m;

	if (r->asked_again == r->failed_peer)
		return false;
	r->asked_again = r->failed_peer;
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
exchange_with(
    struct pb_context *ctx, struct pb_router *r, const struct pb_member *peer)
{
	uint8_t out[DATAGRAM_MAX + REVISION_LEN + 256];
	uint8_t in[PB_PEER_DIGEST_MAX];
	bool far = strcmp(peer->info.region, r->node->boot.region) != 0;
	struct inbox inbox = {.count = 0};
	int64_t asked_us = pb_now(ctx);
	size_t len, in_len = 0;
	int rc;

	pthread_mutex_lock(&r->digest_lock);
	len = far ? pb_pack_cross_region_digest(ctx, r->digest,
			out + REVISION_LEN, sizeof(out) - REVISION_LEN)
		  : pb_pack_digest(ctx, r->digest, out + REVISION_LEN,
			sizeof(out) - REVISION_LEN);
	pthread_mutex_unlock(&r->digest_lock);
	if (len == 0)
		return;
	pb_put_u64(out, revision_in_force(r));
	rc = pb_exchange_digest(ctx, peer->info.rpc, out, len + REVISION_LEN,
	    in, sizeof(in), &in_len, EXCHANGE_LIMIT, &r->control);
	if (rc != PB_OK || in_len < REVISION_LEN) {
		/*
		 * One lost datagram says nothing; two failures in a row are
		 * worth telling the others.
		 */
		if (r->failed_peer == peer->id_hash)
			router_state_down(ctx, r, peer);
		r->failed_peer = peer->id_hash;
		pb_report_evidence(ctx, r->node, peer->id_hash, 0,
		    rc == PB_EUNAVAIL ? PB_EVIDENCE_REFUSAL
				      : PB_EVIDENCE_TIMEOUT);
		return;
	}
	if (r->failed_peer == peer->id_hash)
		r->failed_peer = r->asked_again = 0;
	if (in_len > REVISION_LEN) {
		pthread_mutex_lock(&r->digest_lock);
		rc = pb_merge_digest(ctx, r->digest, in + REVISION_LEN,
		    in_len - REVISION_LEN, keep_fact, &inbox);
		pthread_mutex_unlock(&r->digest_lock);
	}
	if (rc != PB_OK)
		return;
	note_peer(ctx, r, peer->id_hash, pb_get_u64(in), asked_us);
	empty_inbox(r, &inbox);
}

/* Waits until the next exchange is due; false once the router stops. */
static bool
wait_for_turn(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_settings *s = pb_node_settings(r->node);
	int64_t period = s != NULL ? s->digest_us : DIGEST_DEFAULT;
	int64_t due;

	if (s != NULL)
		pb_drop_settings(ctx, s);
	do {
		pthread_mutex_lock(&r->digest_lock);
		due = pb_next_exchange(r->digest, period);
		pthread_mutex_unlock(&r->digest_lock);
		if (due <= pb_now(ctx))
			return !atomic_load(&r->stopping);
	} while (router_sleep(r, IDLE_SLICE));
	return false;
}

static void
publish_counts(struct pb_router *r, uint64_t *sent, uint64_t *received)
{
	uint64_t s = atomic_load(&r->control.sent);
	uint64_t v = atomic_load(&r->control.received);

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

	/* Spreads the exchanges of routers that start together. */
	router_sleep(r, (int64_t)(pb_next_uniform(&rnd) * DIGEST_DEFAULT));
	do {
		router_state_facts(&ctx, r);
		router_share_demand(&ctx, r);
		/* Asks a silent peer once more at once, to be sure of it. */
		if ((r->failed_peer != 0 && find_peer(r, &peer, &peers)) ||
		    choose_peer(r, &rnd, &peer, &peers)) {
			pthread_mutex_lock(&r->digest_lock);
			pb_set_digest_peers(&ctx, r->digest, peers);
			pthread_mutex_unlock(&r->digest_lock);
			exchange_with(&ctx, r, &peer);
			publish_counts(r, &sent, &received);
		} else {
			router_sleep(r, DIGEST_DEFAULT);
		}
	} while (wait_for_turn(&ctx, r));
	return NULL;
}

static int
fetch_from(struct pb_context *ctx, struct pb_router *r,
    const struct pb_member *peer, uint64_t wanted,
    struct pb_settings_tree *tree)
{
	struct pb_buf text = {0};
	uint64_t revision = 0;
	int rc;

	rc = pb_fetch_peer_settings(ctx, peer->info.rpc, wanted - 1, &revision,
	    &text, FETCH_LIMIT, &r->control);
	if (rc == PB_OK && revision < wanted)
		rc = PB_ENOENT;
	if (rc == PB_OK)
		rc = pb_load_tree(
		    ctx, (struct pb_str){text.data, text.len}, tree);
	pb_clear_buf(&text);
	return rc;
}

int
router_fetch_from_peers(struct pb_context *ctx, struct pb_router *r,
    uint64_t wanted, struct pb_settings_tree *tree)
{
	struct pb_random rnd = {(uint64_t)pb_now(ctx)};
	struct pb_member peer;
	size_t peers;
	int i;

	for (i = 0; i < FETCH_PEERS && wanted > 0; i++) {
		if (!choose_peer(r, &rnd, &peer, &peers))
			break;
		if (fetch_from(ctx, r, &peer, wanted, tree) == PB_OK)
			return PB_OK;
	}
	return pb_set_error(ctx, PB_ENOENT, "fetch-settings", NULL,
	    "no peer that was asked has revision %llu",
	    (unsigned long long)wanted);
}
