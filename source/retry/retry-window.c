#include "poplarbeam/retry.h"

#include <stdlib.h>
#include <string.h>

#define SLICES 10 /* time slices per window */

/* Counts of one time slice. */
struct slice {
	int64_t number; /* clock time divided by the length of a slice */
	int requests;
	int retries;
};

struct pb_retry_window {
	int64_t slice_us;
	double ratio;
	double slack;
	/* One more than SLICES: the window may begin within a slice. */
	struct slice slices[SLICES + 1];
};

struct pb_retry_window *
pb_new_retry_window(
    struct pb_context *ctx, int64_t span_us, double ratio, double slack)
{
	struct pb_retry_window *w = calloc(1, sizeof(*w));

	(void)ctx;
	if (w == NULL)
		return NULL;
	w->slice_us = span_us / SLICES;
	w->ratio = ratio;
	w->slack = slack;
	return w;
}

void
pb_drop_retry_window(struct pb_context *ctx, struct pb_retry_window *window)
{
	(void)ctx;
	free(window);
}

void
pb_set_window_slack(struct pb_retry_window *window, double slack)
{
	window->slack = slack;
}

/* Returns the slice of the current time, cleared if it held an older one. */
static struct slice *
current_slice(struct pb_context *ctx, struct pb_retry_window *w)
{
	int64_t number = pb_now(ctx) / w->slice_us;
	struct slice *s = &w->slices[number % (SLICES + 1)];

	if (s->number != number)
		*s = (struct slice){number, 0, 0};
	return s;
}

void
pb_note_window_request(struct pb_context *ctx, struct pb_retry_window *window)
{
	current_slice(ctx, window)->requests++;
}

bool
pb_take_window_retry(struct pb_context *ctx, struct pb_retry_window *window)
{
	struct slice *now = current_slice(ctx, window);
	int requests = 0, retries = 0;
	size_t i;

	for (i = 0; i <= SLICES; i++) {
		const struct slice *s = &window->slices[i];

		if (s->number < now->number - SLICES)
			continue;
		retries += s->retries;
		/*
		 * The oldest slice may lie partly outside of the window: its
		 * retries count, its requests do not.
		 */
		if (s->number > now->number - SLICES)
			requests += s->requests;
	}
	if (retries + 1 > window->ratio * requests + window->slack)
		return false;
	now->retries++;
	return true;
}
