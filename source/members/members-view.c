#include "members-record.h"

#include <math.h>
#include <stdatomic.h>
#include <stdlib.h>

static struct pb_view *
copy_view(const struct pb_members *m)
{
	struct pb_view *view = calloc(1, sizeof(*view));
	size_t i;

	if (view == NULL)
		return NULL;
	view->members = calloc(m->count + 1, sizeof(struct pb_member));
	if (view->members == NULL) {
		free(view);
		return NULL;
	}
	view->version = m->version;
	atomic_init(&view->refs, 1);
	for (i = 0; i < m->count; i++)
		if (m->records[i]->visible)
			view->members[view->count++] = m->records[i]->pub;
	return view;
}

struct pb_view *
pb_new_view(struct pb_context *ctx, struct pb_members *m)
{
	struct pb_view *view;

	if (m->dirty)
		members_evaluate(m, pb_now(ctx));
	if (m->view != NULL && m->view->version == m->version)
		return pb_keep_view(m->view);
	view = copy_view(m);
	if (view == NULL) {
		pb_set_error(ctx, PB_ENOMEM, "new view", "", "out of memory");
		return NULL;
	}
	pb_drop_view(ctx, m->view);
	m->view = view;
	return pb_keep_view(view);
}

struct pb_view *
pb_keep_view(struct pb_view *view)
{
	atomic_fetch_add_explicit(&view->refs, 1, memory_order_relaxed);
	return view;
}

void
pb_drop_view(struct pb_context *ctx, struct pb_view *view)
{
	(void)ctx;
	if (view == NULL || atomic_fetch_sub(&view->refs, 1) != 1)
		return;
	free(view->members);
	free(view);
}

const struct pb_member *
pb_find_member(const struct pb_view *view, uint64_t id_hash)
{
	size_t lo = 0, hi = view->count;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (view->members[mid].id_hash == id_hash)
			return &view->members[mid];
		if (view->members[mid].id_hash < id_hash)
			lo = mid + 1;
		else
			hi = mid;
	}
	return NULL;
}

bool
pb_member_accepts_work(const struct pb_member *member)
{
	return member->info.role == PB_ROLE_UPSTREAM &&
	    member->health == PB_HEALTH_LIVE;
}

uint64_t
pb_cell_id(const char *service, const char *region, int n)
{
	uint64_t place =
	    pb_hash_pair(pb_hash_cstr(service, 0), pb_hash_cstr(region, 1));

	return pb_hash_pair(place, (uint64_t)n);
}

int
pb_cell_of_upstream(uint64_t upstream, int cells)
{
	uint64_t best = 0;
	int n, cell = 0;

	for (n = 0; n < cells; n++) {
		uint64_t score = pb_hash_pair(upstream, (uint64_t)n);

		if (score > best) {
			best = score;
			cell = n;
		}
	}
	return cell;
}

/*
 * A suspect router keeps its cells until it counts as down, so that one lost
 * datagram does not move them.
 */
static bool
can_own_cells(const struct pb_member *member, const char *region)
{
	return member->info.role == PB_ROLE_ROUTER &&
	    (member->health == PB_HEALTH_LIVE ||
		member->health == PB_HEALTH_SUSPECT) &&
	    pb_str_equal_c(pb_str_from(member->info.region), region);
}

const struct pb_member *
pb_cell_owner(
    const struct pb_view *view, uint64_t cell, const char *region, int choice)
{
	const struct pb_member *owner = NULL;
	double limit = INFINITY;
	size_t i;

	for (; choice >= 0; choice--) {
		double best = -1;

		owner = NULL;
		for (i = 0; i < view->count; i++) {
			const struct pb_member *member = &view->members[i];
			double score;

			if (!can_own_cells(member, region))
				continue;
			score = pb_rendezvous_score(cell, member->id_hash, 1);
			if (score > best && score < limit) {
				best = score;
				owner = member;
			}
		}
		if (owner == NULL)
			return NULL;
		limit = best;
	}
	return owner;
}
