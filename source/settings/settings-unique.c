#include "settings-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Compares indices of accounts. Sorting indices leaves the accounts in place,
 * so that their origins keep the same indices.
 */
static int
compare_indices_by_id(const void *a, const void *b, void *arg)
{
	const struct pb_account *accounts = arg;
	int i = *(const int *)a, j = *(const int *)b;

	if (accounts[i].id != accounts[j].id)
		return accounts[i].id < accounts[j].id ? -1 : 1;
	return (i > j) - (i < j);
}

static int
compare_indices_by_key(const void *a, const void *b, void *arg)
{
	const struct pb_account *accounts = arg;
	int i = *(const int *)a, j = *(const int *)b;
	int diff = memcmp(accounts[i].key_sha, accounts[j].key_sha,
	    sizeof(accounts[i].key_sha));

	return diff != 0 ? diff : (i > j) - (i < j);
}

static int
compare_accounts_by_key_hash(const void *a, const void *b)
{
	const struct pb_account *x = a, *y = b;

	return (x->key_hash > y->key_hash) - (x->key_hash < y->key_hash);
}

static int
compare_accounts_by_id(const void *a, const void *b)
{
	const struct pb_account *x = *(const struct pb_account *const *)a;
	const struct pb_account *y = *(const struct pb_account *const *)b;

	return (x->id > y->id) - (x->id < y->id);
}

static int
compare_service_names(const void *a, const void *b)
{
	const struct pb_service *x = a, *y = b;

	return strcmp(x->name, y->name);
}

static void
report_duplicate(struct pb_checker *c, const struct pb_origin *first,
    const struct pb_origin *second, const char *path, const char *kind,
    const char *name)
{
	const struct pb_origin *swap = first;

	/*
	 * An item with line 0 was copied from an older snapshot: report the
	 * fault at the other item, which is in a document being checked.
	 */
	if (second->line == 0) {
		first = second;
		second = swap;
	}
	c->file = second->file;
	if (first->line == 0) {
		pb_report_fault(c, second->line, path,
		    "the %s \"%s\" is already in use by team \"%s\"", kind,
		    name, first->file);
		return;
	}
	pb_report_fault(c, second->line, path,
	    "the %s \"%s\" is already in use in %s:%d", kind, name, first->file,
	    first->line);
}

static void
check_duplicate_accounts(struct pb_checker *c, int *indices)
{
	struct pb_settings *s = c->settings;
	struct pb_account *accounts = s->accounts;
	int n = s->account_count, i;

	qsort_r(indices, (size_t)n, sizeof(*indices), compare_indices_by_id,
	    accounts);
	for (i = 1; i < n; i++) {
		int a = indices[i - 1], b = indices[i];

		if (accounts[a].id == accounts[b].id &&
		    accounts[a].name[0] != '\0') {
			report_duplicate(c, &c->account_origin[a],
			    &c->account_origin[b], "accounts", "account name",
			    accounts[b].name);
		}
	}
	qsort_r(indices, (size_t)n, sizeof(*indices), compare_indices_by_key,
	    accounts);
	for (i = 1; i < n; i++) {
		int a = indices[i - 1], b = indices[i];

		/* A hash of 0 means that the key was already reported. */
		if (accounts[a].key_hash != 0 && accounts[b].key_hash != 0 &&
		    memcmp(accounts[a].key_sha, accounts[b].key_sha,
			sizeof(accounts[a].key_sha)) == 0) {
			report_duplicate(c, &c->account_origin[a],
			    &c->account_origin[b], "accounts", "key of account",
			    accounts[a].name);
		}
	}
}

static void
check_duplicate_services(struct pb_checker *c)
{
	struct pb_settings *s = c->settings;
	int i, j;

	for (j = 1; j < s->service_count; j++) {
		const struct pb_service *v = &s->services[j];

		for (i = 0; i < j; i++) {
			const struct pb_service *u = &s->services[i];

			if (v->name[0] != '\0' &&
			    strcmp(u->name, v->name) == 0) {
				report_duplicate(c, &c->service_origin[i],
				    &c->service_origin[j], "services",
				    "service name", v->name);
			}
			if (v->prefix[0] != '\0' &&
			    strcmp(u->prefix, v->prefix) == 0) {
				report_duplicate(c, &c->service_origin[i],
				    &c->service_origin[j], "services",
				    "path prefix", v->prefix);
			}
		}
	}
}

static bool
sort_accounts(struct pb_checker *c)
{
	struct pb_settings *s = c->settings;
	size_t n = (size_t)s->account_count, i;

	qsort(
	    s->accounts, n, sizeof(*s->accounts), compare_accounts_by_key_hash);
	s->account_by_id = calloc(n, sizeof(struct pb_account *));
	if (s->account_by_id == NULL)
		return false;
	for (i = 0; i < n; i++)
		s->account_by_id[i] = &s->accounts[i];
	qsort(s->account_by_id, n, sizeof(struct pb_account *),
	    compare_accounts_by_id);
	return true;
}

void
pb_check_unique(struct pb_checker *c)
{
	struct pb_settings *s = c->settings;
	int i, *indices;

	check_duplicate_services(c);
	/*
	 * The order must not depend on which teams were copied from an older
	 * snapshot.
	 */
	if (s->service_count > 1) {
		qsort(s->services, (size_t)s->service_count,
		    sizeof(*s->services), compare_service_names);
	}
	if (s->account_count == 0)
		return;
	indices = calloc((size_t)s->account_count, sizeof(*indices));
	if (indices == NULL) {
		c->no_memory = true;
		return;
	}
	for (i = 0; i < s->account_count; i++)
		indices[i] = i;
	check_duplicate_accounts(c, indices);
	free(indices);
	if (!sort_accounts(c))
		c->no_memory = true;
}
