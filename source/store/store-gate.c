#include "poplarbeam/store.h"

#include <stdlib.h>

#define START_PEERS_MAX 8 /* peers counted before the first revision */

struct pb_settings_gate {
	struct pb_gate_policy policy;
	uint64_t in_force; /* 0: none yet */
	uint64_t known; /* highest revision reported */
	int64_t known_us; /* monotonic time of that report */
	bool confirmed;
	int64_t confirmed_us; /* when the confirming request was sent */
	uint64_t peers[START_PEERS_MAX]; /* that reported a revision */
	int peer_count;
};

struct pb_settings_gate *
pb_new_settings_gate(
    struct pb_context *ctx, const struct pb_gate_policy *policy)
{
	struct pb_settings_gate *gate = calloc(1, sizeof(*gate));

	(void)ctx;
	if (gate != NULL)
		pb_set_gate_policy(gate, policy);
	return gate;
}

void
pb_drop_settings_gate(struct pb_context *ctx, struct pb_settings_gate *gate)
{
	(void)ctx;
	free(gate);
}

void
pb_set_gate_policy(
    struct pb_settings_gate *gate, const struct pb_gate_policy *policy)
{
	gate->policy = *policy;
	if (gate->policy.start_peers > START_PEERS_MAX)
		gate->policy.start_peers = START_PEERS_MAX;
}

static void
note_confirmation(struct pb_settings_gate *gate, int64_t sent_us)
{
	if (gate->confirmed && sent_us <= gate->confirmed_us)
		return;
	gate->confirmed = true;
	gate->confirmed_us = sent_us;
}

static void
note_known(
    struct pb_context *ctx, struct pb_settings_gate *gate, uint64_t revision)
{
	if (revision <= gate->known)
		return;
	gate->known = revision;
	gate->known_us = pb_now(ctx);
}

/*
 * Counts a reported revision as a confirmation only when it is the revision in
 * force and no newer one is known. A report of an older revision comes from a
 * delayed response or from a peer with old settings; it does not show that
 * there are no newer changes.
 */
static void
confirm_if_current(
    struct pb_settings_gate *gate, uint64_t revision, int64_t sent_us)
{
	if (gate->in_force != 0 && revision == gate->in_force &&
	    gate->known == gate->in_force)
		note_confirmation(gate, sent_us);
}

void
pb_note_table_revision(struct pb_context *ctx, struct pb_settings_gate *gate,
    uint64_t revision, int64_t sent_us)
{
	/*
	 * A revision is in the table before any router has it. So a lower head
	 * in the response to a request sent after a peer's report shows that
	 * the report was wrong. Without this correction, one wrong report would
	 * stop every router.
	 */
	if (gate->known > revision && sent_us > gate->known_us) {
		gate->known =
		    revision > gate->in_force ? revision : gate->in_force;
	}
	note_known(ctx, gate, revision);
	confirm_if_current(gate, revision, sent_us);
}

void
pb_note_peer_revision(struct pb_context *ctx, struct pb_settings_gate *gate,
    uint64_t peer, uint64_t revision, int64_t sent_us)
{
	int i;

	if (gate->in_force == 0 && revision != 0) {
		for (i = 0; i < gate->peer_count; i++) {
			if (gate->peers[i] == peer)
				break;
		}
		if (i == gate->peer_count && i < START_PEERS_MAX)
			gate->peers[gate->peer_count++] = peer;
	}
	note_known(ctx, gate, revision);
	confirm_if_current(gate, revision, sent_us);
}

uint64_t
pb_latest_known_revision(const struct pb_settings_gate *gate)
{
	return gate->known;
}

uint64_t
pb_revision_in_force(const struct pb_settings_gate *gate)
{
	return gate->in_force;
}

int
pb_accept_revision(struct pb_context *ctx, struct pb_settings_gate *gate,
    uint64_t revision, enum pb_settings_source source, int64_t sent_us)
{
	if (revision == 0) {
		return pb_set_error(ctx, PB_EINVAL, "accept settings", "",
		    "revision 0 means that there are no settings");
	}
	if (revision < gate->in_force) {
		return pb_set_error(ctx, PB_ECONFLICT, "accept settings", "",
		    "revision %llu is older than revision %llu in force",
		    (unsigned long long)revision,
		    (unsigned long long)gate->in_force);
	}
	if (gate->in_force == 0 && source == PB_FROM_PEER &&
	    gate->peer_count < gate->policy.start_peers) {
		return pb_set_error(ctx, PB_EBUSY, "accept settings", "",
		    "%d of %d required peers have reported their revision; the "
		    "peer's settings are not used yet",
		    gate->peer_count, gate->policy.start_peers);
	}
	gate->in_force = revision;
	note_known(ctx, gate, revision);
	confirm_if_current(gate, revision, sent_us);
	return PB_OK;
}

bool
pb_may_accept_work(struct pb_context *ctx, struct pb_settings_gate *gate)
{
	if (gate->in_force == 0 || !gate->confirmed)
		return false;
	return pb_now(ctx) - gate->confirmed_us <= gate->policy.freshness_us;
}

int64_t
pb_confirmation_age(struct pb_context *ctx, const struct pb_settings_gate *gate)
{
	return gate->confirmed ? pb_now(ctx) - gate->confirmed_us : -1;
}
