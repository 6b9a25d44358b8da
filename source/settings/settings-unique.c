#include "settings-private.h"

#include <stdlib.h>
#include <string.h>

/* Sorts positions of accounts, so that the origins need not move. */
static int
compare_ids(const void *a, const void *b, void *arg)
{
	const struct pb_account *accounts = arg;
	int i = *(const int *)a, j = *(const int *)b;

	if (accounts[i].id != accounts[j].id)
		return accounts[i].id < accounts[j].id ? -1 : 1;
	return (i > j) - (i < j);
}

static int
compare_keys(const void *a, const void *b, void *arg)
{
	const struct pb_account *accounts = arg;
	int i = *(const int *)a, j = *(const int *)b;
	int diff = memcmp(accounts[i].key_sha, accounts[j].key_sha,
	    sizeof(accounts[i].key_sha));

	return diff != 0 ? diff : (i > j) - (i < j);
}

static int
compare_key_hashes(const void *a, const void *b)
{
	const struct pb_account *x = a, *y = b;

	return (x->key_hash > y->key_hash) - (x->key_hash < y->key_hash);
}

static int
compare_id_pointers(const void *a, const void *b)
{
	const struct pb_account *x = *(const struct pb_account *const *)a;
	const struct pb_account *y = *(const struct pb_account *const *)b;

	return (x->id > y->id) - (x->id < y->id);
}

static int
compare_names(const void *a, const void *b)
{
	const struct pb_service *x = a, *y = b;

	return strcmp(x->name, y->name);
}

static void
report_twice(struct pb_check *c, const struct pb_origin *first,
    const struct pb_origin *again, const char *path, const char *what,
    const char *name)
{
	const struct pb_origin *swap = first;

	/* The fault is reported in the document that is being checked. */
	if (again->line == 0) {
		first = again;
		again = swap;
	}
	c->file = again->file;
	if (first->line == 0) {
		pb_report_fault(c, again->line, path,
		    "the %s \"%s\" is already in use by team \"%s\"", what,
		    name, first->file);
		return;
	}
	pb_report_fault(c, again->line, path,
	    "the %s \"%s\" is already in use in %s:%d", what, name, first->file,
	    first->line);
}

static void
check_account_pairs(struct pb_check *c, int *order)
{
	struct pb_settings *s = c->settings;
	struct pb_account *accounts = s->accounts;
	int n = s->account_count, i;

	qsort_r(order, (size_t)n, sizeof(*order), compare_ids, accounts);
	for (i = 1; i < n; i++) {
		int a = order[i - 1], b = order[i];

		if (accounts[a].id == accounts[b].id &&
		    accounts[a].name[0] != '\0') {
			report_twice(c, &c->account_origin[a],
			    &c->account_origin[b], "accounts", "account name",
			    accounts[b].name);
		}
	}
	qsort_r(order, (size_t)n, sizeof(*order), compare_keys, accounts);
	for (i = 1; i < n; i++) {
		int a = order[i - 1], b = order[i];

		/* A hash of 0 means that the key was refused before. */
		if (accounts[a].key_hash != 0 && accounts[b].key_hash != 0 &&
		    memcmp(accounts[a].key_sha, accounts[b].key_sha,
			sizeof(accounts[a].key_sha)) == 0) {
			report_twice(c, &c->account_origin[a],
			    &c->account_origin[b], "accounts", "key of account",
			    accounts[a].name);
		}
	}
}

static void
check_service_pairs(struct pb_check *c)
{
	struct pb_settings *s = c->settings;
	int i, j;

	for (j = 1; j < s->service_count; j++) {
		const struct pb_service *v = &s->services[j];

		for (i = 0; i < j; i++) {
			const struct pb_service *u = &s->services[i];

			if (v->name[0] != '\0' &&
			    strcmp(u->name, v->name) == 0) {
				report_twice(c, &c->service_origin[i],
				    &c->service_origin[j], "services",
				    "service name", v->name);
			}
			if (v->prefix[0] != '\0' &&
			    strcmp(u->prefix, v->prefix) == 0) {
				report_twice(c, &c->service_origin[i],
				    &c->service_origin[j], "services",
				    "path prefix", v->prefix);
			}
		}
	}
}

static bool
sort_accounts(struct pb_check *c)
{
	struct pb_settings *s = c->settings;
	size_t n = (size_t)s->account_count, i;

	qsort(s->accounts, n, sizeof(*s->accounts), compare_key_hashes);
	s->account_by_id = calloc(n, sizeof(struct pb_account *));
	if (s->account_by_id == NULL)
		return false;
	for (i = 0; i < n; i++)
		s->account_by_id[i] = &s->accounts[i];
	qsort(s->account_by_id, n, sizeof(struct pb_account *),
	    compare_id_pointers);
	return true;
}

void
pb_check_unique(struct pb_check *c)
{
	struct pb_settings *s = c->settings;
	int i, *order;

	check_service_pairs(c);
	/* The order must not depend on which teams were carried over. */
	if (s->service_count > 1) {
		qsort(s->services, (size_t)s->service_count,
		    sizeof(*s->services), compare_names);
	}
	if (s->account_count == 0)
		return;
	order = calloc((size_t)s->account_count, sizeof(*order));
	if (order == NULL) {
		c->no_memory = true;
		return;
	}
	for (i = 0; i < s->account_count; i++)
		order[i] = i;
	check_account_pairs(c, order);
	free(order);
	if (!sort_accounts(c))
		c->no_memory = true;
}
