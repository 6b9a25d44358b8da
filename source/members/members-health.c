#include "members-record.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Time after which a peer's report expires. The peer renews it while the
 * instance stays down.
 */
#define REPORT_TTL_US (15 * PB_SEC)

/*
 * A report can take two digest periods to arrive. An answer that this router
 * received within that time before the report, or later, contradicts it.
 */
#define REPORT_DELAY_US (1 * PB_SEC)

/* Load reports that differ by less do not change the view. */
#define CAPACITY_CHANGE_MIN 0.05

static void
forget_report(struct record *r, int i)
{
	r->reports[i] = r->reports[--r->report_count];
}

/* Starts a suspicion, which a later sign of life ends. */
static void
mark_suspected(struct record *r, int64_t now_us)
{
	if (r->suspected_us <= r->last_alive_us)
		r->suspected_us = now_us;
}

static void
note_failure(struct record *r, int64_t now_us)
{
	mark_suspected(r, now_us);
	r->failed_us = now_us;
	r->healthy_since_us = now_us;
}

void
pb_note_evidence(struct pb_context *ctx, struct pb_members *m, uint64_t id_hash,
    uint64_t incarnation, enum pb_evidence evidence)
{
	int64_t now = pb_now(ctx);
	struct record *r = members_find_or_add(m, id_hash, now);

	if (r == NULL || !members_accept_incarnation(m, r, incarnation, now))
		return;
	m->dirty = true;
	switch (evidence) {
	case PB_EVIDENCE_REFUSAL:
		r->failures++;
		r->refusals++;
		note_failure(r, now);
		return;
	case PB_EVIDENCE_TIMEOUT:
		r->failures++;
		r->refusals = 0;
		note_failure(r, now);
		return;
	case PB_EVIDENCE_LEAVING:
		r->leaving = true;
		break;
	case PB_EVIDENCE_ANSWER:
	case PB_EVIDENCE_OVERLOAD: /* alive; placement handles its load */
		break;
	}
	r->failures = 0;
	r->refusals = 0;
	r->answer_us = now;
	r->last_alive_us = now;
}

void
pb_note_capacity(struct pb_context *ctx, struct pb_members *m, uint64_t id_hash,
    double capacity, double throttle)
{
	struct record *r = members_find(m, id_hash);

	(void)ctx;
	if (r == NULL || !(capacity >= 0) || !(throttle >= 0))
		return;
	if (fabs(capacity - r->pub.capacity) <=
		CAPACITY_CHANGE_MIN * r->pub.capacity &&
	    fabs(throttle - r->pub.throttle) <= CAPACITY_CHANGE_MIN)
		return;
	r->pub.capacity = capacity;
	r->pub.throttle = throttle;
	m->version++;
}

static void
store_report(struct record *r, uint64_t reporter, bool down, int64_t now_us)
{
	int i, oldest = 0;

	for (i = 0; i < r->report_count; i++) {
		if (r->reports[i].reporter == reporter)
			break;
		if (r->reports[i].at_us < r->reports[oldest].at_us)
			oldest = i;
	}
	if (!down) {
		if (i < r->report_count)
			forget_report(r, i);
		return;
	}
	if (i == r->report_count) {
		if (i == MEMBERS_REPORTS_MAX)
			i = oldest;
		else
			r->report_count++;
	}
	r->reports[i].reporter = reporter;
	r->reports[i].at_us = now_us;
	r->failed_us = now_us;
}

void
pb_note_peer_health(struct pb_context *ctx, struct pb_members *m,
    uint64_t id_hash, uint64_t incarnation, enum pb_health health,
    uint64_t reporter)
{
	int64_t now = pb_now(ctx);
	struct record *r = members_find_or_add(m, id_hash, now);

	if (r == NULL || !members_accept_incarnation(m, r, incarnation, now))
		return;
	m->dirty = true;
	if (health == PB_HEALTH_LEAVING)
		r->leaving = true;
	if (reporter == id_hash) {
		/*
		 * The fact comes from the router itself, even if another router
		 * relayed it.
		 */
		if (health != PB_HEALTH_DOWN)
			r->last_alive_us = now;
		return;
	}
	if (health != PB_HEALTH_LIVE && health != PB_HEALTH_LEAVING &&
	    now - r->last_alive_us >= REPORT_DELAY_US)
		mark_suspected(r, now);
	store_report(r, reporter, health == PB_HEALTH_DOWN, now);
}

/*
 * Returns true when the reports of peers are enough to make the instance
 * unhealthy: two reports, or one that no answer to this router contradicts.
 */
static bool
peers_report_down(struct record *r, int64_t now_us)
{
	int i;

	for (i = r->report_count - 1; i >= 0; i--)
		if (now_us - r->reports[i].at_us >= REPORT_TTL_US)
			forget_report(r, i);
	if (r->report_count != 1)
		return r->report_count >= 2;
	return r->answer_us == 0 ||
	    r->answer_us < r->reports[0].at_us - REPORT_DELAY_US;
}

/*
 * Doubles the damping time, after one halving for each damp_max_us that the
 * upstream was in use since its last recovery.
 */
static void
raise_damping(
    struct record *r, const struct pb_members_policy *p, int64_t now_us)
{
	int64_t live = now_us - r->live_since_us;
	int64_t max = p->damp_max_us > 0 ? p->damp_max_us : 1;
	int64_t halvings = live / max;

	r->damp_us = halvings < 62 ? r->damp_us >> halvings : 0;
	r->damp_us *= 2;
	if (r->damp_us < p->damp_min_us)
		r->damp_us = p->damp_min_us;
	if (r->damp_us > p->damp_max_us)
		r->damp_us = p->damp_max_us;
}

/*
 * A restart that was not announced counts as a crash even if no request failed.
 * A crash makes one request fail at most, because no work is placed on a
 * crashed upstream, and none when the upstream has little work after a
 * recovery. An upstream in a crash loop would otherwise never reach the failure
 * threshold and would get work immediately after each restart.
 */
void
members_note_restart(struct pb_members *m, struct record *r, int64_t now_us)
{
	if (r->pub.info.role != PB_ROLE_UPSTREAM || !r->visible || r->leaving)
		return;
	if (!r->eject_candidate)
		raise_damping(r, &m->policy, now_us);
	r->eject_candidate = true;
}

static void
evaluate_upstream(struct pb_members *m, struct record *r, int64_t now_us)
{
	bool unhealthy = r->failures >= m->policy.fail_threshold ||
	    peers_report_down(r, now_us);

	if (unhealthy && !r->was_unhealthy) {
		/* A failure during the damping time does not double it. */
		if (!r->eject_candidate)
			raise_damping(r, &m->policy, now_us);
		r->eject_candidate = true;
	}
	if (unhealthy || (r->was_unhealthy && !unhealthy))
		r->healthy_since_us = now_us;
	r->was_unhealthy = unhealthy;
	if (!unhealthy && r->eject_candidate &&
	    now_us - r->healthy_since_us >= r->damp_us) {
		r->eject_candidate = false;
		r->live_since_us = now_us;
	}
}

static void
set_health(struct pb_members *m, struct record *r, enum pb_health health,
    int64_t now_us)
{
	if (r->leaving)
		health = PB_HEALTH_LEAVING;
	if (r->pub.health == health)
		return;
	r->pub.health = health;
	r->pub.info.leaving = r->leaving;
	r->pub.changed_us = now_us;
	m->version++;
}

/*
 * Returns true when there was a sign of life from another router within
 * dead_us. Without one, this router is assumed to be cut off from the network
 * and keeps the listed routers instead of marking them down for their silence.
 * The window is dead_us, the length of a suspicion, so that it has passed when
 * the first suspicion ends.
 */
static bool
heard_from_any_router(const struct pb_members *m, int64_t now_us)
{
	size_t i;

	for (i = 0; i < m->count; i++) {
		const struct record *r = m->records[i];

		if (r->visible && r->pub.info.role == PB_ROLE_ROUTER &&
		    r->pub.id_hash != m->self_hash &&
		    now_us - r->last_alive_us < m->policy.dead_us)
			return true;
	}
	return false;
}

/*
 * A failed exchange or a peer's report makes a router suspect. The router is
 * down when no sign of life follows within dead_us: a live router receives the
 * suspicion and publishes its own fact again. In a large fleet this detects a
 * failure much sooner than waiting for suspect_us without a sign of life,
 * because two given routers seldom exchange digests.
 */
static void
evaluate_router(
    struct pb_members *m, struct record *r, bool connected, int64_t now_us)
{
	const struct pb_members_policy *p = &m->policy;
	int64_t silence_us = now_us - r->last_alive_us;
	enum pb_health health = PB_HEALTH_LIVE;
	bool suspected, timed_out;

	if (r->pub.id_hash == m->self_hash) {
		set_health(m, r, health, now_us);
		return;
	}
	/* A router that is down stays so until there is a sign of life. */
	if (r->pub.health == PB_HEALTH_DOWN &&
	    r->last_alive_us < r->pub.changed_us)
		return;
	suspected = r->suspected_us > r->last_alive_us;
	if (silence_us >= p->suspect_us || suspected)
		health = PB_HEALTH_SUSPECT;
	timed_out = silence_us >= p->suspect_us + p->dead_us ||
	    (suspected && now_us - r->suspected_us >= p->dead_us);
	/* Refused connections: the host is up, the router is not running. */
	if ((connected && timed_out) ||
	    (r->refusals >= p->fail_threshold &&
		r->failed_us > r->last_alive_us))
		health = PB_HEALTH_DOWN;
	set_health(m, r, health, now_us);
}

/* Sorts by group, then the most recent failure first, then by id_hash. */
static int
compare_candidates(const void *a, const void *b)
{
	const struct record *x = *(const struct record *const *)a;
	const struct record *y = *(const struct record *const *)b;

	if (x->group != y->group)
		return x->group < y->group ? -1 : 1;
	if (x->failed_us != y->failed_us)
		return x->failed_us > y->failed_us ? -1 : 1;
	if (x->pub.id_hash != y->pub.id_hash)
		return x->pub.id_hash < y->pub.id_hash ? -1 : 1;
	return 0;
}

static bool
counts_for_ejection(const struct record *r)
{
	return r->visible && !r->leaving &&
	    r->pub.info.role == PB_ROLE_UPSTREAM;
}

static double
eject_share_of(const struct pb_members *m, const char *service)
{
	size_t i;

	for (i = 0; i < m->share_count; i++) {
		if (strcmp(m->shares[i].service, service) == 0)
			return m->shares[i].share;
	}
	return m->policy.eject_share;
}

void
pb_set_eject_share(struct pb_members *m, const char *service, double share)
{
	struct service_share *grown;
	size_t i;

	for (i = 0; i < m->share_count; i++) {
		if (strcmp(m->shares[i].service, service) == 0)
			break;
	}
	if (i == m->share_count) {
		grown = realloc(m->shares, (i + 1) * sizeof(*grown));
		if (grown == NULL)
			return;
		m->shares = grown;
		m->share_count++;
		pb_copy_str(
		    grown[i].service, sizeof(grown[i].service), service);
	}
	m->shares[i].share = share;
	m->dirty = true;
}

/* Returns how many upstreams of a group may be ejected at the same time. */
static size_t
ejection_limit(const struct pb_members *m, uint64_t group)
{
	const char *service = "";
	size_t total = 0, i;

	for (i = 0; i < m->count; i++) {
		if (m->records[i]->group != group)
			continue;
		service = m->records[i]->pub.info.service;
		total += counts_for_ejection(m->records[i]);
	}
	return (size_t)(eject_share_of(m, service) * (double)total);
}

/* Ejects the most recently failed candidates of each group up to its share. */
static void
eject_candidates(
    struct pb_members *m, struct record **list, size_t count, int64_t now_us)
{
	size_t i, limit = 0, taken = 0;

	qsort(list, count, sizeof(struct record *), compare_candidates);
	for (i = 0; i < count; i++) {
		if (i == 0 || list[i]->group != list[i - 1]->group) {
			limit = ejection_limit(m, list[i]->group);
			taken = 0;
		}
		set_health(m, list[i],
		    taken++ < limit ? PB_HEALTH_DOWN : PB_HEALTH_LIVE, now_us);
	}
}

void
members_evaluate(struct pb_members *m, int64_t now_us)
{
	bool connected = heard_from_any_router(m, now_us);
	struct record **list = calloc(m->count + 1, sizeof(struct record *));
	size_t i, count = 0;

	/* Out of memory: no health changes until the next evaluation. */
	if (list == NULL)
		return;
	for (i = 0; i < m->count; i++) {
		struct record *r = m->records[i];

		if (!r->visible)
			continue;
		if (r->pub.info.role == PB_ROLE_ROUTER) {
			evaluate_router(m, r, connected, now_us);
			continue;
		}
		evaluate_upstream(m, r, now_us);
		if (r->eject_candidate && !r->leaving)
			list[count++] = r;
		else
			set_health(m, r, PB_HEALTH_LIVE, now_us);
	}
	eject_candidates(m, list, count, now_us);
	free(list);
	m->dirty = false;
}

const char *
pb_health_name(enum pb_health health)
{
	static const char *const names[] = {
	    "live", "suspect", "leaving", "down"};

	return names[health];
}

static void
log_changes(struct pb_context *ctx, struct pb_members *m)
{
	int64_t now = pb_now(ctx);
	size_t i;

	for (i = 0; i < m->count; i++) {
		struct record *r = m->records[i];

		if (!r->visible || r->pub.health == r->logged)
			continue;
		pb_log(ctx, PB_INFO, "judge member", r->pub.info.id, NULL,
		    "health is %s, was %s; %d consecutive failures, "
		    "healthy for %lld ms, damping time %lld ms",
		    pb_health_name(r->pub.health), pb_health_name(r->logged),
		    r->failures,
		    (long long)((now - r->healthy_since_us) / PB_MSEC),
		    (long long)(r->damp_us / PB_MSEC));
		r->logged = r->pub.health;
	}
}

bool
pb_tick_members(struct pb_context *ctx, struct pb_members *m)
{
	int64_t now = pb_now(ctx);
	bool changed;

	members_expire(m, now);
	members_evaluate(m, now);
	log_changes(ctx, m);
	changed = m->version != m->ticked_version;
	m->ticked_version = m->version;
	return changed;
}
