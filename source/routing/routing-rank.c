#include "poplarbeam/routing.h"

#include <string.h>

static int
clamp_priority(int priority)
{
	if (priority < 0)
		return 0;
	return priority < PB_PRIORITY_COUNT ? priority : PB_PRIORITY_COUNT - 1;
}

/* Returns the account's priority, or the route's if the account has none. */
static int
primary_priority(const struct pb_route *route, const struct pb_account *account)
{
	if (account != NULL && account->priority != PB_NO_PRIORITY)
		return clamp_priority(account->priority);
	return clamp_priority(route->priority);
}

static bool
uses_service(const struct pb_route *route, struct pb_str service)
{
	size_t i;

	for (i = 0; i < route->backend_count; i++) {
		if (pb_str_equal(route->backends[i].service, service))
			return true;
	}
	return false;
}

/* Marks the combinations of priorities that requests of the route can have. */
static void
mark_used_ranks(const struct pb_routing *routing, const struct pb_route *route,
    struct pb_ranks *ranks)
{
	int second = clamp_priority(route->priority);
	size_t i;

	if (route->public_access || !routing->keys_required)
		ranks->rank[primary_priority(route, NULL)][second] = 1;
	for (i = 0; i < routing->account_count; i++) {
		int first = primary_priority(route, &routing->accounts[i]);

		ranks->rank[first][second] = 1;
	}
}

void
pb_compute_ranks(const struct pb_routing *routing, struct pb_str service,
    struct pb_ranks *ranks)
{
	int *rank = &ranks->rank[0][0];
	size_t i;

	memset(ranks, 0, sizeof(*ranks));
	for (i = 0; i < routing->route_count; i++) {
		if (uses_service(&routing->routes[i], service))
			mark_used_ranks(routing, &routing->routes[i], ranks);
	}
	for (i = 0; i < (size_t)PB_PRIORITY_COUNT * PB_PRIORITY_COUNT; i++) {
		int used = rank[i];

		rank[i] = ranks->count;
		ranks->count += used;
	}
}

int
pb_rank_of(const struct pb_ranks *ranks, const struct pb_route *route,
    const struct pb_account *account)
{
	int first = primary_priority(route, account);

	return ranks->rank[first][clamp_priority(route->priority)];
}
