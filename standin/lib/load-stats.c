#include "load.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdlib.h>

#define BUCKET_GROWTH 1.02 /* percentiles are accurate to 2% */
#define BUCKETS 1100 /* 1 us to about 2,800 s */

static const char *const outcome_names[LOAD_OUTCOMES] = {"complete",
    "short_shown_complete", "wrong_byte", "ran_twice", "not_run",
    "outcome_unknown", "failed_after_start", "transport_error", "rejected"};

enum time_metric {
	TIME_FIRST,
	TIME_GAP,
	TIME_TOTAL,
	TIMES
};

static const char *const time_names[TIMES] = {
    "first_token_ms", "between_tokens_ms", "total_ms"};

struct histogram {
	uint64_t count;
	uint64_t bucket[BUCKETS];
};

struct rank_stats {
	uint64_t outcomes[LOAD_OUTCOMES];
	struct histogram times[TIMES];
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t return_prompt_tokens;
	int64_t return_cached_tokens;
};

struct load_stats {
	const struct load_options *options;
	uint64_t sent;
	uint64_t skipped;
	struct rank_stats *ranks;
};

struct load_stats *
load_new_stats(const struct load_options *options)
{
	struct load_stats *s = calloc(1, sizeof(*s));

	if (s == NULL)
		return NULL;
	s->options = options;
	s->ranks = calloc((size_t)options->ranks.count, sizeof(*s->ranks));
	if (s->ranks == NULL) {
		free(s);
		return NULL;
	}
	return s;
}

void
load_drop_stats(struct load_stats *stats)
{
	if (stats == NULL)
		return;
	free(stats->ranks);
	free(stats);
}

const char *
load_outcome_name(enum load_outcome outcome)
{
	return outcome_names[outcome];
}

static void
record_time(struct histogram *h, int64_t us)
{
	int i = us > 1 ? (int)(log((double)us) / log(BUCKET_GROWTH)) : 0;

	h->bucket[i < BUCKETS ? i : BUCKETS - 1]++;
	h->count++;
}

/* Returns a percentile in milliseconds; 0 for an empty histogram. */
static double
percentile(const struct histogram *h, double p)
{
	uint64_t rank = (uint64_t)(p * (double)h->count), seen = 0;
	int i;

	if (h->count == 0)
		return 0;
	for (i = 0; i < BUCKETS; i++) {
		seen += h->bucket[i];
		if (seen > rank)
			break;
	}
	return pow(BUCKET_GROWTH, i + 0.5) / PB_MSEC;
}

void
load_record_gap(struct load_stats *stats, int rank, int64_t us)
{
	record_time(&stats->ranks[rank].times[TIME_GAP], us);
}

void
load_count_skipped(struct load_stats *stats)
{
	stats->skipped++;
}

void
load_record_call(struct load_stats *stats, const struct load_call *call,
    enum load_outcome outcome, int64_t now_us)
{
	struct rank_stats *r = &stats->ranks[call->rank];

	stats->sent++;
	r->outcomes[outcome]++;
	if (call->first_us > 0)
		record_time(
		    &r->times[TIME_FIRST], call->first_us - call->sent_us);
	if (outcome != LOAD_COMPLETE)
		return;
	record_time(&r->times[TIME_TOTAL], now_us - call->sent_us);
	r->prompt_tokens += call->prompt_tokens;
	r->cached_tokens += call->cached_tokens;
	if (call->returning) {
		r->return_prompt_tokens += call->prompt_tokens;
		r->return_cached_tokens += call->cached_tokens;
	}
}

static uint64_t
count_outcome(const struct load_stats *stats, enum load_outcome outcome)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < stats->options->ranks.count; i++)
		n += stats->ranks[i].outcomes[outcome];
	return n;
}

uint64_t
load_count_faults(const struct load_stats *stats)
{
	return count_outcome(stats, LOAD_SHORT) +
	    count_outcome(stats, LOAD_WRONG) +
	    count_outcome(stats, LOAD_REPEATED);
}

static double
share(int64_t part, int64_t whole)
{
	return whole > 0 ? (double)part / (double)whole : 0;
}

static json_t *
rank_json(const struct load_stats *stats, int rank)
{
	const struct rank_stats *r = &stats->ranks[rank];
	json_t *v =
	    json_pack("{s:s}", "rank", stats->options->ranks.name[rank]);
	int i;

	for (i = 0; i < LOAD_OUTCOMES; i++)
		json_object_set_new(v, outcome_names[i],
		    json_integer((json_int_t)r->outcomes[i]));
	for (i = 0; i < TIMES; i++)
		json_object_set_new(v, time_names[i],
		    json_pack("{s:I,s:f,s:f,s:f}", "count",
			(json_int_t)r->times[i].count, "p50",
			percentile(&r->times[i], 0.5), "p95",
			percentile(&r->times[i], 0.95), "p99",
			percentile(&r->times[i], 0.99)));
	json_object_set_new(v, "prompt_tokens", json_integer(r->prompt_tokens));
	json_object_set_new(v, "cached_tokens", json_integer(r->cached_tokens));
	json_object_set_new(
	    v, "return_prompt_tokens", json_integer(r->return_prompt_tokens));
	json_object_set_new(
	    v, "return_cached_tokens", json_integer(r->return_cached_tokens));
	return v;
}

static void
print_json(const struct load_stats *stats, FILE *file)
{
	json_t *ranks = json_array();
	json_t *v = json_pack("{s:I,s:I,s:I,s:I}", "seed",
	    (json_int_t)stats->options->seed, "sent", (json_int_t)stats->sent,
	    "skipped", (json_int_t)stats->skipped, "faults",
	    (json_int_t)load_count_faults(stats));
	int i;

	for (i = 0; i < LOAD_OUTCOMES; i++)
		json_object_set_new(v, outcome_names[i],
		    json_integer((json_int_t)count_outcome(
			stats, (enum load_outcome)i)));
	for (i = 0; i < stats->options->ranks.count; i++)
		json_array_append_new(ranks, rank_json(stats, i));
	json_object_set_new(v, "ranks", ranks);
	json_dumpf(v, file, JSON_REAL_PRECISION(6));
	fputc('\n', file);
	json_decref(v);
}

static void
print_rank(const struct load_stats *stats, int rank, FILE *file)
{
	const struct rank_stats *r = &stats->ranks[rank];
	int i;

	fprintf(file, "rank %s:", stats->options->ranks.name[rank]);
	for (i = 0; i < LOAD_OUTCOMES; i++)
		fprintf(file, " %s %" PRIu64, outcome_names[i], r->outcomes[i]);
	for (i = 0; i < TIMES; i++)
		fprintf(file, "; %s p50 %.1f p95 %.1f p99 %.1f", time_names[i],
		    percentile(&r->times[i], 0.5),
		    percentile(&r->times[i], 0.95),
		    percentile(&r->times[i], 0.99));
	fprintf(file, "; cached %.1f%%, of returning chats %.1f%%\n",
	    100 * share(r->cached_tokens, r->prompt_tokens),
	    100 * share(r->return_cached_tokens, r->return_prompt_tokens));
}

void
load_print_stats(const struct load_stats *stats, FILE *file, bool json)
{
	int i;

	if (json) {
		print_json(stats, file);
		return;
	}
	for (i = 0; i < stats->options->ranks.count; i++)
		print_rank(stats, i, file);
	fprintf(file,
	    "all: sent %" PRIu64 ", skipped %" PRIu64 ", faults %" PRIu64 "\n",
	    stats->sent, stats->skipped, load_count_faults(stats));
}
