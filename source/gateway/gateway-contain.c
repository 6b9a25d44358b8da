#include "gateway-exchange.h"

/*
 * A response that has gone on for this long since its first part shows that its
 * request does not crash the instance.
 */
#define SOUND_RESPONSE_US PB_SEC

void
pb_set_fingerprints(struct pb_exchange *x)
{
	size_t i;

	x->fingerprints[0] =
	    pb_fingerprint(pb_http_target(&x->conn->reader.head),
		x->account != NULL ? x->account->name : PB_STR_NONE,
		(struct pb_str){x->body.data, x->body.len});
	for (i = 0; i < x->shared_part_count; i++)
		x->fingerprints[1 + i] =
		    pb_part_fingerprint(x->shared_parts[i]);
}

static size_t
count_fingerprints(const struct pb_exchange *x)
{
	return 1 + x->shared_part_count;
}

bool
pb_find_refusal(struct pb_exchange *x, enum pb_end_reason *reason)
{
	struct pb_gateway *gw = x->gw;
	size_t i;

	for (i = 0; i < count_fingerprints(x); i++) {
		int64_t left =
		    pb_refusal_left(gw->ctx, gw->suspects, x->fingerprints[i]);

		if (left == 0)
			continue;
		x->retry_after_us = left;
		*reason =
		    i == 0 ? PB_END_CRASHING_REQUEST : PB_END_CRASHING_PART;
		return true;
	}
	return false;
}

/* Records that the shared parts of the prompt do not crash instances. */
static void
clear_parts(struct pb_exchange *x)
{
	struct pb_gateway *gw = x->gw;
	size_t i;

	x->parts_cleared = true;
	for (i = 1; i < count_fingerprints(x); i++)
		pb_note_success(gw->ctx, gw->suspects, x->fingerprints[i]);
}

void
pb_note_sound_request(struct pb_exchange *x)
{
	struct pb_gateway *gw = x->gw;

	pb_note_success(gw->ctx, gw->suspects, x->fingerprints[0]);
	/*
	 * An instance may reject a request before it reads the prompt. A stream
	 * that ends with its connection may have ended by a crash.
	 */
	if (x->status < 300 && !(x->streaming && x->until_close))
		clear_parts(x);
}

void
pb_note_stream_progress(struct pb_exchange *x)
{
	struct pb_gateway *gw = x->gw;
	int64_t now = pb_now(gw->ctx);
	size_t i;

	if (x->attempt_event_us == 0) {
		x->attempt_event_us = now;
		for (i = 1; i < count_fingerprints(x); i++)
			pb_note_begun(
			    gw->ctx, gw->suspects, x->fingerprints[i]);
	}
	if (!x->parts_cleared && now - x->attempt_event_us >= SOUND_RESPONSE_US)
		clear_parts(x);
}

/* Logs what the request may have in common with others that crash instances. */
static void
log_suspect(struct pb_exchange *x, const struct pb_instance *instance)
{
	char parts[256] = "";
	size_t i, len = 0;

	for (i = 0; i < x->shared_part_count && len < sizeof(parts); i++)
		len +=
		    (size_t)snprintf(parts + len, sizeof(parts) - len, " %.*s",
			(int)x->shared_parts[i].len, x->shared_parts[i].data);
	pb_log(x->gw->ctx, PB_INFO, "crash suspect", instance->id, x->log_id,
	    "request %016llx, started %lld, response %s, shared prompt "
	    "parts:%s",
	    (unsigned long long)x->fingerprints[0],
	    (long long)instance->started_ms,
	    x->started		 ? "passed on in part"
		: x->status != 0 ? "begun"
				 : "not begun",
	    parts[0] != '\0' ? parts : " none");
}

static void
log_containment(
    struct pb_exchange *x, const struct pb_instance *instance, size_t i)
{
	static const char text[] =
	    "connections to several instances broke while %s%.*s was in "
	    "progress; refusing it temporarily";

	if (i == 0)
		pb_log(x->gw->ctx, PB_WARN, "contain request", instance->id,
		    x->log_id, text, "the request", 0, "");
	else
		pb_log(x->gw->ctx, PB_WARN, "contain prompt part", instance->id,
		    x->log_id, text, "prompt part ",
		    (int)x->shared_parts[i - 1].len,
		    x->shared_parts[i - 1].data);
}

/*
 * The start time of the instance is part of the victim's hash, so a crash after
 * a restart counts as another crash.
 */
void
pb_note_broken_attempt(struct pb_exchange *x, struct pb_instance *instance)
{
	struct pb_gateway *gw = x->gw;
	struct pb_crash crash = {
	    0, pb_hash_pair(instance->hash, (uint64_t)instance->started_ms)};
	size_t i;

	gw->broken_attempts++;
	log_suspect(x, instance);
	for (i = 0; i < count_fingerprints(x); i++) {
		crash.fingerprint = x->fingerprints[i];
		if (pb_note_crash(gw->ctx, gw->suspects, &crash))
			log_containment(x, instance, i);
	}
}
