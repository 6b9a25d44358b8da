#include "poplarbeam/routing.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct pb_routing *
pb_new_routing(struct pb_context *ctx)
{
	struct pb_routing *routing = calloc(1, sizeof(*routing));

	if (routing == NULL)
		return NULL;
	routing->arena = pb_new_arena(ctx);
	if (routing->arena == NULL) {
		free(routing);
		return NULL;
	}
	routing->refs = 1;
	return routing;
}

struct pb_routing *
pb_keep_routing(struct pb_routing *routing)
{
	routing->refs++;
	return routing;
}

void
pb_drop_routing(struct pb_context *ctx, struct pb_routing *routing)
{
	if (routing == NULL || --routing->refs > 0)
		return;
	pb_drop_arena(ctx, routing->arena);
	free(routing);
}

static int
compare_bytes(struct pb_str a, struct pb_str b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int c = n > 0 ? memcmp(a.data, b.data, n) : 0;

	if (c != 0)
		return c;
	return a.len < b.len ? -1 : a.len > b.len;
}

static int
compare_hosts(struct pb_str a, struct pb_str b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int c = n > 0 ? strncasecmp(a.data, b.data, n) : 0;

	if (c != 0)
		return c;
	return a.len < b.len ? -1 : a.len > b.len;
}

static int
compare_routes(const void *a, const void *b)
{
	const struct pb_route *x = a, *y = b;
	int c = compare_hosts(x->host, y->host);

	return c != 0 ? c : compare_bytes(x->prefix, y->prefix);
}

static int
compare_keys(const void *a, const void *b)
{
	const struct pb_account_key *x = a, *y = b;

	return compare_bytes(x->key, y->key);
}

void
pb_index_routing(struct pb_routing *routing)
{
	if (routing->route_count > 0)
		qsort(routing->routes, routing->route_count,
		    sizeof(routing->routes[0]), compare_routes);
	if (routing->key_count > 0)
		qsort(routing->keys, routing->key_count,
		    sizeof(routing->keys[0]), compare_keys);
}

static struct pb_str
without_port(struct pb_str host)
{
	size_t n = host.len;

	while (n > 0 && host.data[n - 1] >= '0' && host.data[n - 1] <= '9')
		n--;
	if (n > 0 && host.data[n - 1] == ':')
		host.len = n - 1;
	return host;
}

static struct pb_str
without_query(struct pb_str target)
{
	const char *q =
	    target.len > 0 ? memchr(target.data, '?', target.len) : NULL;

	if (q != NULL)
		target.len = (size_t)(q - target.data);
	return target;
}

const struct pb_route *
pb_find_route(
    const struct pb_routing *routing, struct pb_str host, struct pb_str target)
{
	struct pb_route probe = {.host = without_port(host)};
	struct pb_str path = without_query(target);
	size_t n;

	if (routing->route_count == 0)
		return NULL;
	/* Every prefix ends with a slash: only try prefixes that do. */
	for (n = path.len; n > 0; n--) {
		const struct pb_route *r;

		if (path.data[n - 1] != '/')
			continue;
		probe.prefix = (struct pb_str){path.data, n};
		r = bsearch(&probe, routing->routes, routing->route_count,
		    sizeof(routing->routes[0]), compare_routes);
		if (r != NULL)
			return r;
	}
	return NULL;
}

const struct pb_account *
pb_find_key_holder(const struct pb_routing *routing, struct pb_str key)
{
	struct pb_account_key probe = {key, 0};
	const struct pb_account_key *k;

	if (routing->key_count == 0)
		return NULL;
	k = bsearch(&probe, routing->keys, routing->key_count,
	    sizeof(routing->keys[0]), compare_keys);
	return k != NULL ? &routing->accounts[k->account] : NULL;
}

const struct pb_backend *
pb_draw_backend(const struct pb_route *route, double draw)
{
	const struct pb_backend *last = NULL;
	double sum = 0;
	size_t i;

	for (i = 0; i < route->backend_count; i++)
		sum += route->backends[i].weight;
	draw *= sum;
	for (i = 0; i < route->backend_count && draw >= 0; i++) {
		if (route->backends[i].weight <= 0)
			continue;
		last = &route->backends[i];
		draw -= last->weight;
	}
	return last;
}
