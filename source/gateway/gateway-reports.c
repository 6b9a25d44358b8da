#include "changes.h"
#include "gateway-internal.h"

/* Attempts are passed on in this part of one. */
#define OUTCOME_UNITS 100.0

void
pb_fill_reports(struct pb_gateway *gw, int64_t since_us, bool own,
    struct load_report *reports, u_int *count)
{
	const struct pb_instance *instances[LOAD_REPORTS_MAX];
	size_t i,
	    n = pb_read_reports(
		gw->registry, since_us, own, instances, LOAD_REPORTS_MAX);

	for (i = 0; i < n; i++) {
		const struct pb_instance *inst = instances[i];
		int64_t age = pb_now(gw->ctx) - inst->reported_us;

		reports[i].id_hash = (uint32_t)inst->hash;
		reports[i].requests = (u_int)inst->reported;
		reports[i].age_ms = (u_int)(age / PB_MSEC);
	}
	*count = (u_int)n;
}

void
pb_apply_reports(
    struct pb_gateway *gw, const struct load_report *reports, u_int count)
{
	int64_t now = pb_now(gw->ctx);
	u_int i;

	for (i = 0; i < count; i++)
		pb_note_shared_load(gw->registry, reports[i].id_hash,
		    (int)reports[i].requests,
		    now - reports[i].age_ms * PB_MSEC);
}

static unsigned int
encode_outcomes(const struct pb_outcomes *outcomes, size_t count,
    struct outcome_report *reports)
{
	size_t i;

	for (i = 0; i < count; i++) {
		const struct pb_outcomes *o = &outcomes[i];

		reports[i].id_hash = o->id_hash;
		reports[i].failures = (u_int)(o->failures * OUTCOME_UNITS);
		reports[i].attempts = (u_int)(o->attempts * OUTCOME_UNITS);
	}
	return (unsigned int)count;
}

static struct pb_outcomes
decode_outcomes(const struct outcome_report *report)
{
	struct pb_outcomes o = {.id_hash = report->id_hash,
	    .failures = report->failures / OUTCOME_UNITS,
	    .attempts = report->attempts / OUTCOME_UNITS};

	return o;
}

unsigned int
pb_fill_untold_outcomes(struct pb_gateway *gw, struct outcome_report *reports)
{
	struct pb_outcomes outcomes[OUTCOMES_MAX];

	return encode_outcomes(outcomes,
	    pb_take_untold_outcomes(
		gw->ctx, gw->registry, outcomes, OUTCOMES_MAX),
	    reports);
}

unsigned int
pb_fill_shared_outcomes(struct pb_gateway *gw, struct outcome_report *reports)
{
	struct pb_outcomes outcomes[OUTCOMES_MAX];

	return encode_outcomes(outcomes,
	    pb_read_shared_outcomes(
		gw->ctx, gw->registry, outcomes, OUTCOMES_MAX),
	    reports);
}

void
pb_add_outcomes(struct pb_gateway *gw, const struct outcome_report *reports,
    unsigned int count)
{
	unsigned int i;

	for (i = 0; i < count; i++) {
		struct pb_outcomes o = decode_outcomes(&reports[i]);

		pb_add_shared_outcomes(gw->ctx, gw->registry, &o);
	}
}

void
pb_set_outcomes(struct pb_gateway *gw, const struct outcome_report *reports,
    unsigned int count)
{
	unsigned int i;

	for (i = 0; i < count; i++) {
		struct pb_outcomes o = decode_outcomes(&reports[i]);

		pb_set_shared_outcomes(gw->ctx, gw->registry, &o);
	}
}
