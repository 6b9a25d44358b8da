#include "router-report.h"

#include <jansson.h>
#include <string.h>

#define WORK_MAX INT64_C(1000000000000) /* far above any capacity */
#define RUNNING_MAX 1000000
#define AGE_MAX (INT64_C(86400) * 1000) /* milliseconds */

/* Reads an optional integer from 0 to max. An absent one is read as 0. */
static bool
read_number(const json_t *v, const char *name, int64_t max, int64_t *out)
{
	const json_t *n = json_object_get(v, name);

	*out = json_integer_value(n);
	return n == NULL || (json_is_integer(n) && *out >= 0 && *out <= max);
}

static bool
read_report(const json_t *v, struct load_report *out)
{
	const json_t *throttle = json_object_get(v, "throttle");
	int64_t running, work, age;

	if (!json_is_object(v) ||
	    !read_number(v, "running", RUNNING_MAX, &running) ||
	    !read_number(v, "work", WORK_MAX, &work) ||
	    !read_number(v, "age_ms", AGE_MAX, &age))
		return false;
	out->running = (uint64_t)running;
	out->work = (uint64_t)work;
	out->age_us = age * PB_MSEC;
	out->leaving = json_is_true(json_object_get(v, "leaving"));
	out->has_throttle = throttle != NULL;
	out->throttle = json_number_value(throttle);
	/* A throttle above 1 would attract an unbounded amount of work. */
	return throttle == NULL ||
	    (json_is_number(throttle) && out->throttle >= 0 &&
		out->throttle <= 1);
}

bool
router_parse_report(struct pb_str text, struct load_report *out)
{
	json_t *v = json_loadb(text.data, text.len, 0, NULL);
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = v != NULL && read_report(v, out);
	json_decref(v);
	return ok;
}
