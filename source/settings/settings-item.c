#include "settings-private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Many times the target size of a fleet. The limits bound the memory that a
 * faulty document can use.
 */
#define SERVICES_MAX 1024 /* over all teams */
#define ACCOUNTS_MAX 100000 /* over all teams */

/* Ensures capacity for one more item and its origin. */
static bool
grow_items(struct pb_checker *c, void **items, size_t size,
    struct pb_origin **origin, int count, int *cap)
{
	int want = *cap > 0 ? *cap * 2 : 16;
	void *p;

	if (count < *cap)
		return true;
	p = realloc(*items, (size_t)want * size);
	if (p == NULL) {
		c->no_memory = true;
		return false;
	}
	*items = p;
	p = realloc(*origin, (size_t)want * sizeof(**origin));
	if (p == NULL) {
		c->no_memory = true;
		return false;
	}
	*origin = p;
	*cap = want;
	return true;
}

struct pb_service *
pb_add_service(struct pb_checker *c, const char *file, int line)
{
	struct pb_settings *s = c->settings;
	void *items = s->services;
	bool ok;

	if (s->service_count == SERVICES_MAX) {
		pb_report_fault(c, line, "services",
		    "expected at most %d services", SERVICES_MAX);
		return NULL;
	}
	ok = grow_items(c, &items, sizeof(*s->services), &c->service_origin,
	    s->service_count, &c->service_cap);
	s->services = items;
	if (!ok)
		return NULL;
	c->service_origin[s->service_count] = (struct pb_origin){file, line};
	return &s->services[s->service_count++];
}

struct pb_account *
pb_add_account(struct pb_checker *c, const char *file, int line)
{
	struct pb_settings *s = c->settings;
	void *items = s->accounts;
	bool ok;

	if (s->account_count == ACCOUNTS_MAX) {
		pb_report_fault(c, line, "accounts",
		    "expected at most %d accounts", ACCOUNTS_MAX);
		return NULL;
	}
	ok = grow_items(c, &items, sizeof(*s->accounts), &c->account_origin,
	    s->account_count, &c->account_cap);
	s->accounts = items;
	if (!ok)
		return NULL;
	c->account_origin[s->account_count] = (struct pb_origin){file, line};
	return &s->accounts[s->account_count++];
}

static bool
has_document(
    const char *team, const struct pb_settings_text *texts, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (texts[i].team != NULL && strcmp(texts[i].team, team) == 0)
			return true;
	}
	return false;
}

void
pb_copy_unchanged_teams(struct pb_checker *c, const struct pb_settings *old,
    const struct pb_settings_text *texts, size_t count)
{
	int i;

	for (i = 0; i < old->service_count; i++) {
		const struct pb_service *from = &old->services[i];
		struct pb_service *to;

		if (has_document(from->team, texts, count))
			continue;
		to = pb_add_service(c, from->team, 0);
		if (to == NULL)
			return;
		*to = *from;
	}
	for (i = 0; i < old->account_count; i++) {
		const struct pb_account *from = &old->accounts[i];
		struct pb_account *to;

		if (has_document(from->team, texts, count))
			continue;
		to = pb_add_account(c, from->team, 0);
		if (to == NULL)
			return;
		*to = *from;
	}
}
