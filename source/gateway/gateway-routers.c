#include "changes.h"
#include "gateway-follow.h"

#include <stdlib.h>
#include <string.h>

static void
drop_router(struct pb_router *r)
{
	r->instance->gone = true;
	pb_drop_idle_links(r->instance);
	pb_drop_instance(r->instance);
	free(r);
}

static void
remove_router(struct pb_router_list *list, struct pb_str id)
{
	struct pb_router **p = &list->first;

	while (*p != NULL && !pb_str_equal_c(id, (*p)->instance->id))
		p = &(*p)->next;
	if (*p != NULL) {
		struct pb_router *r = *p;

		*p = r->next;
		list->count--;
		drop_router(r);
	}
}

static bool
has_router(
    const struct pb_router_list *list, struct pb_str id, const char *address)
{
	const struct pb_router *r;

	for (r = list->first; r != NULL; r = r->next) {
		if (pb_str_equal_c(id, r->instance->id))
			return strcmp(r->instance->address, address) == 0;
	}
	return false;
}

static void
add_router(
    struct pb_router_list *list, struct pb_str id, const struct router_row *row)
{
	const char *address = row->address;
	struct pb_router *r;
	char name[PB_INSTANCE_TEXT];

	if (has_router(list, id, address))
		return;
	remove_router(list, id);
	if (id.len >= sizeof(name))
		return;
	memcpy(name, id.data, id.len);
	name[id.len] = '\0';
	r = calloc(1, sizeof(*r));
	if (r == NULL)
		return;
	r->instance = pb_new_instance(name, address);
	if (r->instance == NULL) {
		free(r);
		return;
	}
	pb_copy_str(r->domain, sizeof(r->domain), row->domain);
	r->next = list->first;
	list->first = r;
	list->count++;
}

void
pb_apply_router_row(struct pb_gateway *gw, struct pb_router_list *list,
    const struct pb_store_row *row)
{
	struct router_row value = {0};
	XDR xdr;

	if (row->removed || row->value.len == 0) {
		remove_router(list, row->key);
		return;
	}
	xdrmem_create(
	    &xdr, (char *)row->value.data, (u_int)row->value.len, XDR_DECODE);
	if (!xdr_router_row(&xdr, &value))
		goto out;
	if (!pb_str_equal_c(row->key, gw->settings.instance))
		add_router(list, row->key, &value);
	else if (strcmp(value.domain, gw->settings.domain) == 0 &&
	    strcmp(value.address, gw->settings.peer) == 0)
		list->has_own_row = true;
out:
	xdr_destroy(&xdr);
	xdr_free((xdrproc_t)xdr_router_row, (char *)&value);
}

struct pb_router *
pb_find_router(
    const struct pb_router_list *list, const struct pb_instance *instance)
{
	struct pb_router *r;

	for (r = list->first; r != NULL && r->instance != instance; r = r->next)
		;
	return r;
}

struct pb_instance *
pb_first_router(struct pb_gateway *gw, const struct pb_router_list *list,
    const char *domain, uint64_t limit)
{
	struct pb_instance *best = NULL;
	const struct pb_router *r;

	for (r = list->first; r != NULL; r = r->next) {
		if (strcmp(r->domain, domain) != 0 ||
		    r->instance->hash >= limit ||
		    pb_now(gw->ctx) < r->instance->avoid_until_us)
			continue;
		if (best == NULL || r->instance->hash < best->hash)
			best = r->instance;
	}
	return best;
}

void
pb_share_router_hashes(struct pb_gateway *gw, int64_t version)
{
	const struct pb_router_list *list = pb_known_routers(gw->follower);
	uint64_t *hashes = calloc(list->count + 1, sizeof(*hashes));
	const struct pb_router *r;
	size_t n = 0;

	for (r = list->first; r != NULL && hashes != NULL; r = r->next)
		hashes[n++] = r->instance->hash;
	if (hashes == NULL ||
	    pb_set_routers(gw->ctx, gw->registry,
		pb_hash_cstr(gw->settings.instance, 0), hashes, n,
		version) != PB_OK)
		pb_log(gw->ctx, PB_ERROR, "list routers", NULL, NULL,
		    "out of memory; the list of routers stays as it was");
	free(hashes);
}

static int
compare_hashes(const void *a, const void *b)
{
	const struct pb_instance *x = *(struct pb_instance *const *)a;
	const struct pb_instance *y = *(struct pb_instance *const *)b;

	return x->hash < y->hash ? -1 : x->hash > y->hash;
}

/*
 * Stores the reachable routers of the own failure domain that precede the hash
 * and returns their number. Adds the later ones to later.
 */
static size_t
find_preceding(struct pb_gateway *gw, const struct pb_router_list *list,
    uint64_t hash, struct pb_instance **found, size_t *later)
{
	int64_t now = pb_now(gw->ctx);
	const struct pb_router *r;
	size_t n = 0;

	for (r = list->first; r != NULL; r = r->next) {
		if (strcmp(r->domain, gw->settings.domain) != 0 ||
		    now < r->instance->avoid_until_us)
			continue;
		if (r->instance->hash < hash)
			found[n++] = r->instance;
		else
			++*later;
	}
	return n;
}

struct pb_instance *
pb_preceding_router(
    struct pb_gateway *gw, const struct pb_router_list *list, uint64_t own_hash)
{
	struct pb_instance **found =
	    calloc(list->count + 1, sizeof(struct pb_instance *));
	struct pb_instance *parent = NULL;
	size_t n, later = 0;

	if (found == NULL)
		return NULL;
	n = find_preceding(gw, list, own_hash, found, &later);
	qsort(found, n, sizeof(struct pb_instance *), compare_hashes);
	if (n > 0)
		parent = found[pb_order_parent(n, n + 1 + later)];
	free(found);
	return parent;
}

size_t
pb_count_domain_routers(const struct pb_gateway *gw)
{
	const struct pb_router *r;
	size_t n = 1;

	for (r = pb_known_routers(gw->follower)->first; r != NULL; r = r->next)
		n += strcmp(r->domain, gw->settings.domain) == 0;
	return n;
}

size_t
pb_count_routers(const struct pb_gateway *gw)
{
	return 1 + pb_known_routers(gw->follower)->count;
}

void
pb_clear_routers(struct pb_router_list *list)
{
	struct pb_router *r;

	while ((r = list->first) != NULL) {
		list->first = r->next;
		drop_router(r);
	}
	list->count = 0;
}
