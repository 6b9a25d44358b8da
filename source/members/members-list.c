#include "members-record.h"

#include <stdlib.h>
#include <string.h>

/*
 * The instance list may omit a running instance because the list lags or
 * because of a fault of the platform. An instance without a recent sign of life
 * is removed after UNLISTED_DELAY_US. One with signs of life is kept until
 * UNLISTED_DELAY_MAX_US and then removed anyway.
 */
#define UNLISTED_DELAY_US (5 * PB_SEC)
#define UNLISTED_DELAY_MAX_US (60 * PB_SEC)
#define ALIVE_AGE_MAX_US (5 * PB_SEC) /* of a recent sign of life */

/*
 * The record of an instance that was removed from the view is kept for this
 * long, so that a stale list or a late report does not add the instance again.
 */
#define HIDDEN_KEEP_US (600 * PB_SEC)
#define HIDDEN_MAX 4096 /* records */

struct pb_members *
pb_new_members(struct pb_context *ctx, const struct pb_members_policy *policy)
{
	struct pb_members *m = calloc(1, sizeof(*m));

	if (m == NULL) {
		pb_set_error(
		    ctx, PB_ENOMEM, "new members", "", "out of memory");
		return NULL;
	}
	m->policy = *policy;
	pb_copy_str(m->self, sizeof(m->self), policy->self);
	pb_copy_str(m->region, sizeof(m->region), policy->region);
	m->policy.self = m->self;
	m->policy.region = m->region;
	m->self_hash = pb_hash_cstr(m->self, 0);
	return m;
}

void
pb_drop_members(struct pb_context *ctx, struct pb_members *m)
{
	size_t i;

	if (m == NULL)
		return;
	for (i = 0; i < m->count; i++)
		free(m->records[i]);
	free(m->records);
	free(m->shares);
	pb_drop_view(ctx, m->view);
	free(m);
}

/* Returns the index of the first record whose hash is not below id_hash. */
static size_t
lower_bound(const struct pb_members *m, uint64_t id_hash)
{
	size_t lo = 0, hi = m->count;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (m->records[mid]->pub.id_hash < id_hash)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

struct record *
members_find(const struct pb_members *m, uint64_t id_hash)
{
	size_t i = lower_bound(m, id_hash);

	if (i < m->count && m->records[i]->pub.id_hash == id_hash)
		return m->records[i];
	return NULL;
}

static struct record *
insert_record(struct pb_members *m, size_t at, uint64_t id_hash)
{
	struct record *r;

	if (m->count == m->cap) {
		size_t cap = m->cap > 0 ? m->cap * 2 : 64;
		struct record **grown =
		    realloc(m->records, cap * sizeof(struct record *));

		if (grown == NULL)
			return NULL;
		m->records = grown;
		m->cap = cap;
	}
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return NULL;
	r->pub.id_hash = id_hash;
	r->pub.throttle = 1;
	memmove(m->records + at + 1, m->records + at,
	    (m->count - at) * sizeof(struct record *));
	m->records[at] = r;
	m->count++;
	m->hidden++;
	return r;
}

struct record *
members_find_or_add(struct pb_members *m, uint64_t id_hash, int64_t now_us)
{
	size_t i = lower_bound(m, id_hash);
	struct record *r;

	if (i < m->count && m->records[i]->pub.id_hash == id_hash)
		r = m->records[i];
	else if (m->hidden >= HIDDEN_MAX)
		return NULL;
	else
		r = insert_record(m, i, id_hash);
	if (r != NULL)
		r->touched_us = now_us;
	return r;
}

bool
members_accept_incarnation(struct pb_members *m, struct record *r,
    uint64_t incarnation, int64_t now_us)
{
	if (incarnation == 0 || incarnation == r->pub.info.incarnation)
		return true;
	if (incarnation < r->pub.info.incarnation)
		return false;
	/*
	 * The damping time is kept, because an instance in a crash loop has a
	 * new incarnation after each restart.
	 */
	members_note_restart(m, r, now_us);
	r->pub.info.incarnation = incarnation;
	r->pub.changed_us = now_us;
	r->leaving = false;
	r->was_unhealthy = false;
	r->failures = 0;
	r->refusals = 0;
	r->report_count = 0;
	r->healthy_since_us = now_us;
	r->last_alive_us = now_us;
	m->version++;
	m->dirty = true;
	return true;
}

/*
 * Returns true when a list entry differs from the published one. The caller
 * handles the incarnation and the leaving flag.
 */
static bool
info_differs(const struct pb_instance *a, const struct pb_instance *b)
{
	return a->role != b->role || strcmp(a->service, b->service) != 0 ||
	    strcmp(a->region, b->region) != 0 ||
	    strcmp(a->domain, b->domain) != 0 ||
	    strcmp(a->address, b->address) != 0 ||
	    strcmp(a->peer, b->peer) != 0 || strcmp(a->rpc, b->rpc) != 0 ||
	    strcmp(a->admin, b->admin) != 0;
}

static void
show_record(struct pb_members *m, struct record *r, int64_t now_us)
{
	r->visible = true;
	m->hidden--;
	r->pub.changed_us = now_us;
	r->live_since_us = now_us;
	/* A newly listed router counts as alive, so that it is not suspect. */
	if (now_us > r->last_alive_us)
		r->last_alive_us = now_us;
	m->version++;
}

static int
apply_entry(
    struct pb_members *m, const struct pb_instance *entry, int64_t now_us)
{
	uint64_t hash = pb_hash_cstr(entry->id, 0);
	struct record *r = members_find(m, hash);
	uint64_t incarnation;

	if (r == NULL)
		r = insert_record(m, lower_bound(m, hash), hash);
	if (r == NULL)
		return PB_ENOMEM;
	r->touched_us = now_us;
	r->listed = true;
	r->unlisted_since_us = 0;
	if (!members_accept_incarnation(m, r, entry->incarnation, now_us) &&
	    r->visible)
		return PB_OK;
	incarnation = r->pub.info.incarnation;
	if (entry->leaving &&
	    (entry->incarnation == 0 || entry->incarnation == incarnation))
		r->leaving = true;
	if (!r->visible)
		show_record(m, r, now_us);
	if (info_differs(&r->pub.info, entry))
		m->version++;
	r->pub.info = *entry;
	r->pub.info.incarnation = incarnation;
	r->pub.info.leaving = r->leaving;
	r->group = pb_hash_pair(
	    pb_hash_cstr(entry->service, 0), pb_hash_cstr(entry->region, 1));
	return PB_OK;
}

int
pb_apply_instance_list(struct pb_context *ctx, struct pb_members *m,
    const struct pb_instance *list, size_t count)
{
	int64_t now = pb_now(ctx);
	int rc = PB_OK;
	size_t i;

	for (i = 0; i < m->count; i++)
		m->records[i]->listed = false;
	for (i = 0; i < count && rc == PB_OK; i++)
		rc = apply_entry(m, &list[i], now);
	m->dirty = true;
	if (rc != PB_OK)
		return pb_set_error(
		    ctx, rc, "apply instance list", "", "out of memory");
	for (i = 0; i < m->count; i++)
		if (!m->records[i]->listed &&
		    m->records[i]->unlisted_since_us == 0)
			m->records[i]->unlisted_since_us = now;
	return PB_OK;
}

static bool
missing_too_long(const struct record *r, int64_t now_us)
{
	int64_t missing = now_us - r->unlisted_since_us;

	if (r->listed || r->unlisted_since_us == 0 ||
	    missing < UNLISTED_DELAY_US)
		return false;
	return missing >= UNLISTED_DELAY_MAX_US ||
	    now_us - r->last_alive_us >= ALIVE_AGE_MAX_US;
}

void
members_expire(struct pb_members *m, int64_t now_us)
{
	size_t i, kept = 0;

	for (i = 0; i < m->count; i++) {
		struct record *r = m->records[i];

		if (r->visible && r->pub.id_hash != m->self_hash &&
		    missing_too_long(r, now_us)) {
			r->visible = false;
			m->hidden++;
			m->version++;
		}
		if (!r->visible && now_us - r->touched_us >= HIDDEN_KEEP_US) {
			free(r);
			m->hidden--;
			continue;
		}
		m->records[kept++] = r;
	}
	m->count = kept;
}
