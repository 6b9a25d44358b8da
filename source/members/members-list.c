#include "members-record.h"

#include <stdlib.h>
#include <string.h>

/*
 * A list may miss an instance because it lags or because the platform is at
 * fault. Without a sign of life the instance goes after MISSING_US, with one it
 * stays for up to GRACE_US, after which the list is believed.
 */
#define MISSING_US (5 * PB_SEC)
#define GRACE_US (60 * PB_SEC)
#define ALIVE_US (5 * PB_SEC) /* age of a sign of life that still counts */

/*
 * What is known about an instance that is no longer listed is kept for this
 * long, so that a stale list or a late report does not bring it back.
 */
#define HIDDEN_US (600 * PB_SEC)
#define HIDDEN_MAX 4096 /* records */

struct pb_members *
pb_new_members(struct pb_context *ctx, const struct pb_members_policy *policy)
{
	struct pb_members *m = calloc(1, sizeof(*m));

	if (m == NULL) {
		pb_set_error(ctx, PB_ENOMEM, "new members", "", "no memory");
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

/* Index of the first record whose hash is not below id_hash. */
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
members_get(struct pb_members *m, uint64_t id_hash, int64_t now_us)
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
members_enter(struct pb_members *m, struct record *r, uint64_t incarnation,
    int64_t now_us)
{
	if (incarnation == 0 || incarnation == r->pub.info.incarnation)
		return true;
	if (incarnation < r->pub.info.incarnation)
		return false;
	/*
	 * Damping is kept: an instance that crashes and restarts over and over
	 * has a new incarnation each time.
	 */
	members_note_restart(m, r, now_us);
	r->pub.info.incarnation = incarnation;
	r->pub.changed_us = now_us;
	r->leaving = false;
	r->was_sick = false;
	r->streak = 0;
	r->refusals = 0;
	r->report_count = 0;
	r->well_us = now_us;
	r->alive_us = now_us;
	m->version++;
	m->dirty = true;
	return true;
}

/* True when an entry says something else than the published one. */
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
	r->up_us = now_us;
	/* A router is given the benefit of the doubt when it is first seen. */
	if (now_us > r->alive_us)
		r->alive_us = now_us;
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
	r->missing_us = 0;
	if (!members_enter(m, r, entry->incarnation, now_us) && r->visible)
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
		    ctx, rc, "apply instance list", "", "no memory");
	for (i = 0; i < m->count; i++)
		if (!m->records[i]->listed && m->records[i]->missing_us == 0)
			m->records[i]->missing_us = now;
	return PB_OK;
}

static bool
missing_too_long(const struct record *r, int64_t now_us)
{
	int64_t missing = now_us - r->missing_us;

	if (r->listed || r->missing_us == 0 || missing < MISSING_US)
		return false;
	return missing >= GRACE_US || now_us - r->alive_us >= ALIVE_US;
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
		if (!r->visible && now_us - r->touched_us >= HIDDEN_US) {
			free(r);
			m->hidden--;
			continue;
		}
		m->records[kept++] = r;
	}
	m->count = kept;
}
