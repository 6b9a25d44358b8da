#include "caller-internal.h"

#include "poplarbeam/relay.h"

#include <string.h>

#define TRIES_MAX 6 /* attempts that reached an owner */
#define REROUTES_MAX 40 /* attempts that found no owner or a wrong one */
#define REROUTES_PER_RESET 8 /* then the view's owner is tried again */
#define REROUTE_DELAY (50 * PB_MSEC) /* views converge within seconds */
#define CELLS_PER_REQUEST 2 /* cells that are tried while queues are full */

/* State of the attempts of one request. */
struct attempts {
	struct entry *entry;
	struct caller_sink *sink;
	struct entry_outcome *out;
	struct pb_random rnd;
	bool may_have_run; /* an attempt may have reached an upstream */
	int tries;
	int reroutes;
	int cells_tried; /* cells tried after the preferred one */
	char failed_owner[48]; /* router that refused or is unreachable */
	char reported_owner[48]; /* owner as reported by failed_owner */
};

/*
 * Returns the number of the service's cell for this chat. choice 0 is the
 * preferred cell, 1 the next one, in the order of the rendezvous scores.
 */
static int
choose_cell(const struct entry *e, int choice)
{
	uint64_t key =
	    e->req.chat != 0 ? e->req.chat : pb_hash_cstr(e->req.id, 0);
	const char *region = e->server->node->boot.region;
	double best = -1, first = 0;
	int n, pick, at = 0;

	for (pick = 0; pick <= choice; pick++) {
		best = -1;
		for (n = 0; n < e->service->cells; n++) {
			double s = pb_rendezvous_score(
			    key, pb_cell_id(e->service->name, region, n), 1);

			if (s > best && (pick == 0 || s < first)) {
				best = s;
				at = n;
			}
		}
		first = best;
	}
	return at;
}

/*
 * Returns the router to send the request to: the owner that another router
 * reported, else the owner of the cell according to the view. If that owner is
 * the one that just failed, returns the next router in the ownership order.
 */
static const struct pb_member *
choose_owner(struct attempts *a, const struct pb_view *view)
{
	struct entry *e = a->entry;
	const char *region = e->server->node->boot.region;
	uint64_t cell = pb_cell_id(e->service->name, region, e->req.cell);
	const struct pb_member *o = pb_cell_owner(view, cell, region, 0);
	const struct pb_member *reported = NULL;

	if (a->reported_owner[0] != '\0')
		reported =
		    pb_find_member(view, pb_hash_cstr(a->reported_owner, 0));
	a->reported_owner[0] = '\0';
	if (reported != NULL && reported->info.role == PB_ROLE_ROUTER)
		return reported;
	if (o != NULL && strcmp(o->info.id, a->failed_owner) == 0)
		return pb_cell_owner(view, cell, region, 1);
	return o;
}

/* Records a failed owner, so that the next attempt uses another router. */
static void
record_failed_owner(struct attempts *a, const struct pb_member *target)
{
	const struct pb_run_result *run = &a->out->run;
	bool declined = run->kind == PB_RUN_NOT_RUN &&
	    (run->reason == PB_REFUSED_NOT_OWNER ||
		run->reason == PB_REFUSED_STOPPING);

	if (run->complete && !declined)
		return;
	/*
	 * The upstream failed, not this router as the owner. Another router
	 * would run the request without the strikes that are counted here.
	 */
	if (!declined && target->id_hash == a->entry->server->node->id_hash)
		return;
	if (run->sink_stopped || (run->kind == PB_RUN_NOT_RUN && !declined))
		return;
	pb_copy_str(a->failed_owner, sizeof(a->failed_owner), target->info.id);
	if (strcmp(run->owner, target->info.id) != 0)
		pb_copy_str(
		    a->reported_owner, sizeof(a->reported_owner), run->owner);
}

static void
send_to_owner(struct attempts *a)
{
	struct entry *e = a->entry;
	struct pb_node *node = e->server->node;
	struct pb_run_result *run = &a->out->run;
	struct pb_view *view = pb_node_view(node);
	const struct pb_member *o = view != NULL ? choose_owner(a, view) : NULL;

	pb_copy_str(
	    e->req.failed_owner, sizeof(e->req.failed_owner), a->failed_owner);
	if (o == NULL) {
		memset(run, 0, sizeof(*run));
		run->kind = PB_RUN_NOT_RUN;
		run->reason = PB_REFUSED_NOT_OWNER;
		run->retry_after_us = PB_SEC;
		pb_copy_str(run->code, sizeof(run->code), "no_owner");
	} else if (o->id_hash == node->id_hash) {
		pb_run_request(
		    e->ctx, e->server->owner, &e->req, &a->sink->base, run);
	} else {
		pb_add_event(e->ctx, node->events, "relayed", e->req.id,
		    e->req.chat, o->info.id, "%s/%d", e->service->name,
		    e->req.cell);
		pb_relay_request(e->ctx, node, o, &e->req, &a->sink->base, run);
	}
	if (o != NULL)
		record_failed_owner(a, o);
	if (view != NULL)
		pb_drop_view(e->ctx, view);
}

/*
 * Prepares an attempt at another cell or owner. Returns true if the last
 * attempt was refused because the queue was full or because there was no owner,
 * a wrong one or a stopping one, and if another cell or reroute is left.
 */
static bool
try_reroute(struct attempts *a)
{
	const struct pb_run_result *run = &a->out->run;
	struct entry *e = a->entry;

	if (run->kind != PB_RUN_NOT_RUN)
		return false;
	if (run->reason == PB_REFUSED_QUEUE_FULL &&
	    e->req.resume_on[0] == '\0' &&
	    a->cells_tried + 1 < CELLS_PER_REQUEST &&
	    a->cells_tried + 1 < e->service->cells) {
		e->req.cell = choose_cell(e, ++a->cells_tried);
		return true;
	}
	if (run->reason != PB_REFUSED_NOT_OWNER &&
	    run->reason != PB_REFUSED_STOPPING)
		return false;
	if (a->reroutes++ >= REROUTES_MAX ||
	    pb_now(e->ctx) + REROUTE_DELAY > e->req.deadline_us)
		return false;
	/* No delay before the first: the reported owner is usually right. */
	if (a->reroutes > 1)
		e->ctx->clock->ops->sleep(e->ctx->clock, REROUTE_DELAY);
	if (a->reroutes % REROUTES_PER_RESET == 0)
		a->failed_owner[0] = '\0';
	return true;
}

static struct pb_attempt
describe_attempt(struct attempts *a)
{
	const struct pb_run_result *run = &a->out->run;
	struct entry *e = a->entry;
	struct pb_attempt at = {.not_run = !a->may_have_run,
	    .idempotent = e->req.idempotent,
	    .delivered = a->sink->response.begun,
	    .contained = run->reason == PB_REFUSED_CONTAINED,
	    .tries = a->tries,
	    .remaining_us = e->req.deadline_us - pb_now(e->ctx)};

	at.resumable = e->service->resume && a->sink->mode == RESPONSE_STREAM &&
	    run->upstream[0] != '\0' && strcmp(run->code, "stream_lost") != 0 &&
	    run->kind != PB_RUN_NOT_RUN;
	if (a->tries >= TRIES_MAX) {
		at.idempotent = false;
		at.resumable = false;
	}
	return at;
}

/* Prepares to resume a stream after the last forwarded event. */
static void
prepare_resume(struct attempts *a)
{
	struct entry *e = a->entry;
	struct pb_node *node = e->server->node;

	pb_copy_str(
	    e->req.resume_on, sizeof(e->req.resume_on), a->out->run.upstream);
	e->req.resume_after = a->sink->sse.last_id;
	pb_reset_sse(&a->sink->sse);
	pb_add_counter(node->metrics, PB_COUNT_RESUMES, 1);
	pb_add_event(e->ctx, node->events, "resuming", e->req.id, e->req.chat,
	    e->req.resume_on, "after event %llu",
	    (unsigned long long)e->req.resume_after);
}

static void
prepare_retry(struct attempts *a)
{
	struct entry *e = a->entry;

	e->req.resume_on[0] = '\0';
	caller_sink_reset(a->sink);
	pb_add_counter(e->server->node->metrics, PB_COUNT_RETRIES, 1);
	pb_add_event(e->ctx, e->server->node->events, "retrying", e->req.id,
	    e->req.chat, a->out->run.upstream, "%s", a->out->run.code);
	e->ctx->clock->ops->sleep(
	    e->ctx->clock, pb_retry_delay(a->tries, &a->rnd));
}

/* Returns true to make another attempt, else sets the outcome's kind. */
static bool
decide_next(struct attempts *a)
{
	struct entry_outcome *out = a->out;
	struct pb_attempt at;

	if (caller_sink_is_complete(a->sink, out->run.complete)) {
		out->kind = ENTRY_COMPLETE;
		return false;
	}
	if (a->sink->response.broken) {
		out->kind = ENTRY_CALLER_GONE;
		return false;
	}
	if (try_reroute(a))
		return true;
	a->tries++;
	if (a->out->run.kind != PB_RUN_NOT_RUN)
		a->may_have_run = true;
	at = describe_attempt(a);
	switch (pb_decide_retry(a->entry->server->node->retries, &at)) {
	case PB_RETRY_AGAIN:
		prepare_retry(a);
		return true;
	case PB_RETRY_RESUME:
		prepare_resume(a);
		return true;
	case PB_RETRY_NOT_RUN:
		out->kind = ENTRY_NOT_RUN;
		return false;
	case PB_RETRY_UNKNOWN:
		out->kind = ENTRY_UNKNOWN;
		return false;
	default:
		out->kind = ENTRY_FAILED_AFTER_START;
		return false;
	}
}

void
entry_run_attempts(struct entry *e, struct caller_sink *sink,
    const struct pb_claim *claim, const struct pb_claim_policy *policy,
    struct entry_outcome *out)
{
	struct attempts a = {.entry = e, .sink = sink, .out = out};

	a.rnd.state = e->req.fingerprint ^ (uint64_t)pb_now(e->ctx);
	e->req.cell = choose_cell(e, 0);
	pb_note_first_attempt(e->server->node->retries);
	do {
		if (claim != NULL &&
		    !pb_may_send_under_claim(e->ctx, policy, claim)) {
			out->kind = ENTRY_NOT_RUN;
			out->run.reason = PB_REFUSED_DEADLINE;
			pb_copy_str(out->run.code, sizeof(out->run.code),
			    "claim_too_old");
			return;
		}
		send_to_owner(&a);
	} while (decide_next(&a));
}
