#include "backend-log.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

struct record {
	char id[64];
	char holder[64]; /* of an arrival */
	int count; /* of a run */
	long long last_ms; /* Unix time */
};

struct record_list {
	struct record *items;
	size_t count, capacity;
};

struct backend_log {
	struct record_list runs; /* one for each id */
	struct record_list arrivals; /* one for each request */
};

static void
exit_without_memory(void)
{
	fprintf(stderr, "pb-backend: out of memory\n");
	exit(1);
}

struct backend_log *
backend_log_new(void)
{
	struct backend_log *log = calloc(1, sizeof(*log));

	if (log == NULL)
		exit_without_memory();
	return log;
}

void
backend_log_free(struct backend_log *log)
{
	if (log == NULL)
		return;
	free(log->runs.items);
	free(log->arrivals.items);
	free(log);
}

static long long
wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static struct record *
add_record(struct record_list *list, const char *id)
{
	struct record *r;

	if (list->count == list->capacity) {
		list->capacity = list->capacity * 2 + 64;
		list->items = realloc(
		    list->items, list->capacity * sizeof(list->items[0]));
		if (list->items == NULL)
			exit_without_memory();
	}
	r = &list->items[list->count++];
	memset(r, 0, sizeof(*r));
	pb_copy_str(r->id, sizeof(r->id), id);
	return r;
}

static struct record *
find_record(const struct record_list *list, const char *id)
{
	size_t i;

	for (i = 0; i < list->count; i++) {
		if (strcmp(list->items[i].id, id) == 0)
			return &list->items[i];
	}
	return NULL;
}

void
backend_log_add_arrival(
    struct backend_log *log, const char *id, const char *holder)
{
	struct record *r = add_record(&log->arrivals, id);

	pb_copy_str(r->holder, sizeof(r->holder), holder);
	r->last_ms = wall_ms();
}

void
backend_log_add_run(struct backend_log *log, const char *id)
{
	struct record *r = find_record(&log->runs, id);

	if (r == NULL)
		r = add_record(&log->runs, id);
	r->count++;
	r->last_ms = wall_ms();
}

/* Appends the id, the count and the time of the last execution per line. */
static void
append_runs(const struct backend_log *log, struct pb_buf *text)
{
	size_t i;

	for (i = 0; i < log->runs.count; i++) {
		const struct record *r = &log->runs.items[i];

		pb_append_fmt(
		    text, "%s %d %lld\n", r->id, r->count, r->last_ms);
	}
}

/* Appends the id, the time of arrival and the holder or "-" per line. */
static void
append_arrivals(const struct backend_log *log, struct pb_buf *text)
{
	size_t i;

	for (i = 0; i < log->arrivals.count; i++) {
		const struct record *r = &log->arrivals.items[i];

		pb_append_fmt(text, "%s %lld %s\n", r->id, r->last_ms,
		    r->holder[0] != '\0' ? r->holder : "-");
	}
}

bool
backend_log_answer(
    const struct backend_log *log, const char *target, struct pb_buf *text)
{
	const struct record *r;

	if (strncmp(target, "/runs/", 6) == 0) {
		r = find_record(&log->runs, target + 6);
		pb_append_fmt(text, "%d\n", r != NULL ? r->count : 0);
	} else if (strcmp(target, "/all-runs") == 0) {
		append_runs(log, text);
	} else if (strcmp(target, "/arrivals") == 0) {
		append_arrivals(log, text);
	} else {
		return false;
	}
	return true;
}
