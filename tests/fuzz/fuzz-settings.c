#include "poplarbeam/settings.h"

#include <stdlib.h>
#include <string.h>

/*
 * Fuzz target for pb_parse_settings. The input is the fleet's document and up
 * to two teams' documents, separated by the byte 0x01. Guards against crashes,
 * memory leaks and unbounded run time on any text that an operator may send.
 */

#define DOCUMENTS_MAX 3
#define SEPARATOR 0x01

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Checks that accounts and services are found by name, and that their ranks and
 * limits are consistent.
 */
static void
check_snapshot(const struct pb_settings *s)
{
	int i;

	for (i = 0; i < s->account_count; i++) {
		const struct pb_account *a = &s->accounts[i];

		if (pb_find_account(s, a->name) != a ||
		    a->best_rank > a->default_rank || a->best_rank < 0 ||
		    a->default_rank >= s->rank_count)
			abort();
	}
	for (i = 0; i < s->service_count; i++) {
		const struct pb_service *v = &s->services[i];

		if (pb_find_service(s, v->name) != v || v->cells < 1 ||
		    v->inner_limit > v->bound)
			abort();
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const char *const names[] = {"fleet", "one", "two"};
	static const char *const teams[] = {"", "one", "two"};
	struct pb_settings_text texts[DOCUMENTS_MAX];
	struct pb_settings_report report = {.count = 0};
	struct pb_context *ctx = pb_new_context(pb_system_clock(), NULL);
	const char *p = (const char *)data;
	struct pb_settings *s;
	size_t n = 0;

	if (ctx == NULL)
		return 0;
	for (; n < DOCUMENTS_MAX; n++) {
		const char *end = size > 0 ? memchr(p, SEPARATOR, size) : NULL;
		size_t len = end != NULL && n < DOCUMENTS_MAX - 1
		    ? (size_t)(end - p)
		    : size;

		texts[n].name = names[n];
		texts[n].team = teams[n];
		texts[n].text = (struct pb_str){p, len};
		if (len == size) {
			n++;
			break;
		}
		p += len + 1;
		size -= len + 1;
	}
	s = pb_parse_settings(ctx, texts, n, 1, &report);
	if ((s == NULL) != (report.count > 0))
		abort();
	if (s != NULL)
		check_snapshot(s);
	pb_drop_settings(ctx, s);
	pb_clear_settings_report(&report);
	pb_drop_context(ctx);
	return 0;
}
