#include "changes.h"
#include "gateway-follow.h"

/* Attempts are sent as integers, in units of one hundredth. */
#define OUTCOME_UNITS 100.0

void
pb_fill_load_reports(struct pb_gateway *gw, int64_t since_us, bool own,
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
pb_apply_load_reports(struct pb_gateway *gw, const struct load_report *reports,
    u_int count, bool of_follower)
{
	int64_t now = pb_now(gw->ctx);
	u_int i;

	for (i = 0; i < count; i++) {
		struct pb_load_report report = {.id_hash = reports[i].id_hash,
		    .requests = (int)reports[i].requests,
		    .reported_us = now - reports[i].age_ms * PB_MSEC,
		    .of_follower = of_follower};

		pb_note_shared_load(gw->ctx, gw->registry, &report);
	}
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
pb_fill_unsent_outcomes(struct pb_gateway *gw, struct outcome_report *reports)
{
	struct pb_outcomes outcomes[OUTCOMES_MAX];

	return encode_outcomes(outcomes,
	    pb_take_unsent_outcomes(
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

typedef void (*outcomes_fn)(struct pb_context *ctx,
    struct pb_registry *registry, const struct pb_outcomes *outcomes);

static void
apply_outcomes(struct pb_gateway *gw, const struct outcome_report *reports,
    unsigned int count, outcomes_fn apply)
{
	unsigned int i;

	for (i = 0; i < count; i++) {
		struct pb_outcomes o = decode_outcomes(&reports[i]);

		apply(gw->ctx, gw->registry, &o);
	}
}

void
pb_add_outcomes(struct pb_gateway *gw, const struct outcome_report *reports,
    unsigned int count)
{
	apply_outcomes(gw, reports, count, pb_add_shared_outcomes);
}

static void
apply_entry(struct pb_gateway *gw, const struct change_entry *e)
{
	struct pb_instance_entry entry = {.id = pb_str_from(e->id),
	    .service = pb_str_from(e->service),
	    .address = pb_str_from(e->address),
	    .domain = pb_str_from(e->domain),
	    .slots = e->slots,
	    .draining = e->draining,
	    .started_ms = e->started_ms,
	    .cold_left_us = e->cold_left_ms * PB_MSEC,
	    .cold_left_current = true,
	    .row_version = e->row_version};

	if (e->gone)
		pb_remove_instance(gw->ctx, gw->registry, entry.id);
	else if (pb_apply_instance(gw->ctx, gw->registry, &entry) != PB_OK)
		pb_log_error(gw->ctx, PB_ERROR, NULL);
}

unsigned int
pb_fill_crashes(struct pb_gateway *gw, struct crash_report *reports)
{
	struct pb_crash crashes[CRASHES_MAX];
	size_t i,
	    n = pb_read_crashes(gw->ctx, gw->suspects, crashes, CRASHES_MAX);

	for (i = 0; i < n; i++) {
		reports[i].fingerprint = crashes[i].fingerprint;
		reports[i].victim = crashes[i].victim;
	}
	return (unsigned int)n;
}

void
pb_apply_crashes(struct pb_gateway *gw, const struct crash_report *reports,
    unsigned int count)
{
	unsigned int i;

	for (i = 0; i < count; i++) {
		struct pb_crash crash = {
		    reports[i].fingerprint, reports[i].victim};

		pb_note_crash_report(gw->ctx, gw->suspects, &crash);
	}
}

/* Replaces the evacuations unless the answer is older than this router's. */
static void
apply_evacuations(struct pb_gateway *gw, const struct change_answer *answer)
{
	int64_t version = answer->evacuations_row;
	u_int i;

	if (version < pb_evacuations_version(gw->registry))
		return;
	pb_begin_evacuations(gw->registry);
	for (i = 0; i < answer->evacuated.evacuated_len; i++)
		pb_note_evacuation(gw->ctx, gw->registry,
		    pb_str_from(answer->evacuated.evacuated_val[i]), true, 0);
	pb_end_evacuations(gw->ctx, gw->registry);
	pb_note_evacuations_version(gw->registry, version);
}

/* Call when the entries are applied: it marks the instances known by then. */
static void
apply_evacuation_ends(struct pb_gateway *gw, const struct change_answer *answer)
{
	u_int i;

	for (i = 0; i < answer->ended.ended_len; i++) {
		const struct evacuation_end *e = &answer->ended.ended_val[i];

		pb_note_evacuation_end(gw->ctx, gw->registry,
		    pb_str_from(e->domain),
		    pb_now(gw->ctx) - e->age_ms * PB_MSEC);
	}
}

static void
apply_routers(struct pb_gateway *gw, const struct change_answer *answer)
{
	if (answer->routers.routers_len > 0 &&
	    pb_set_routers(gw->ctx, gw->registry,
		pb_hash_cstr(gw->settings.instance, 0),
		(const uint64_t *)answer->routers.routers_val,
		answer->routers.routers_len, answer->routers_row) != PB_OK)
		pb_log_error(gw->ctx, PB_ERROR, NULL);
}

void
pb_apply_changes(
    struct pb_gateway *gw, const struct change_answer *answer, int64_t sent_us)
{
	u_int i;

	/* The ages are those at the arrival of the poll, after sent_us. */
	pb_note_instances_fresh(gw, sent_us - answer->instances_age);
	apply_evacuations(gw, answer);
	apply_routers(gw, answer);
	if (answer->full)
		pb_begin_listing(gw->registry);
	for (i = 0; i < answer->entries.entries_len; i++)
		apply_entry(gw, &answer->entries.entries_val[i]);
	if (answer->full)
		pb_end_listing(gw->ctx, gw->registry);
	apply_evacuation_ends(gw, answer);
	pb_note_list_version(gw->registry, answer->list_row);
	pb_apply_load_reports(gw, answer->reports.reports_val,
	    answer->reports.reports_len, false);
	apply_outcomes(gw, answer->outcomes.outcomes_val,
	    answer->outcomes.outcomes_len, pb_set_shared_outcomes);
	pb_apply_crashes(
	    gw, answer->crashes.crashes_val, answer->crashes.crashes_len);
	pb_apply_streams(
	    gw, answer->streams.streams_val, answer->streams.streams_len);
}
