#include "poplarbeam/lru.h"
#include "poplarbeam/suspects.h"

#include <stdlib.h>
#include <string.h>

/*
 * Requests are refused after this many crashes. Crashes of the same instance
 * count separately if the instance was restarted between them.
 */
#define CRASHES_MAX 3
/*
 * The same for a prompt part on which a response has begun recently. It is less
 * suspect than a part on which every instance crashes before it responds.
 */
#define BEGUN_CRASHES_MAX 5
/* Number of crashes that are remembered of one suspect. */
#define VICTIMS_MAX 8
/* Number of fingerprints that are remembered because of a crash. */
#define SUSPECTS_MAX 256
/* Number of fingerprints that are remembered because of a success. */
#define SUCCEEDED_MAX 8192
/* Number of prompt parts that are remembered because a response began. */
#define BEGUN_MAX 4096
/* Successes and begun responses are forgotten after this time. */
#define SUCCESS_TTL_US (120 * PB_SEC)
/* A crash or a success is reported to other routers for this long. */
#define SHARE_US (5 * PB_SEC)
/*
 * Connections that break within this time may have been reset together, by the
 * network or at this router, and count as one crash for a prompt part.
 */
#define SAME_EVENT_US (50 * PB_MSEC)
/* Set in the fingerprints of prompt parts, clear in those of requests. */
#define PART_BIT (1ULL << 63)

/* Times after the last crash. */
struct lifetime {
	int64_t refusal_us; /* requests are refused */
	int64_t memory_us; /* the crashes are remembered */
};

/* The caller of a request gives up after minutes. */
static const struct lifetime request_lifetime = {60 * PB_SEC, 120 * PB_SEC};
/* Requests with a prompt part keep coming from many callers. */
static const struct lifetime part_lifetime = {300 * PB_SEC, 600 * PB_SEC};
static const struct lifetime begun_part_lifetime = {10 * PB_SEC, 600 * PB_SEC};

struct suspect {
	uint64_t fingerprint; /* 0: the entry is free */
	uint64_t victims[VICTIMS_MAX];
	size_t victim_count;
	bool crashed_again; /* crashed again after a refusal had ended */
	int64_t crashed_us; /* time of the last crash */
	int64_t cleared_us; /* when a success cleared a report; 0: never */
};

struct pb_suspects {
	struct suspect table[SUSPECTS_MAX];
	struct pb_lru *succeeded; /* fingerprint -> time of the last success */
	struct pb_lru *begun; /* prompt part -> time of the last response */
};

struct pb_suspects *
pb_new_suspects(struct pb_context *ctx)
{
	struct pb_suspects *s = calloc(1, sizeof(*s));

	if (s == NULL)
		return NULL;
	s->succeeded = pb_new_lru(ctx, SUCCEEDED_MAX);
	s->begun = pb_new_lru(ctx, BEGUN_MAX);
	if (s->succeeded == NULL || s->begun == NULL) {
		pb_drop_suspects(ctx, s);
		return NULL;
	}
	return s;
}

void
pb_drop_suspects(struct pb_context *ctx, struct pb_suspects *suspects)
{
	if (suspects == NULL)
		return;
	pb_drop_lru(ctx, suspects->succeeded);
	pb_drop_lru(ctx, suspects->begun);
	free(suspects);
}

uint64_t
pb_fingerprint(struct pb_str target, struct pb_str account, struct pb_str body)
{
	uint64_t h = pb_hash(target.data, target.len, 0);

	h = pb_hash_pair(h, pb_hash(account.data, account.len, 0));
	h = pb_hash_pair(h, pb_hash(body.data, body.len, 0));
	h &= ~PART_BIT;
	return h != 0 ? h : 1;
}

uint64_t
pb_part_fingerprint(struct pb_str id)
{
	return pb_hash(id.data, id.len, 0) | PART_BIT;
}

static bool
is_part(uint64_t fingerprint)
{
	return (fingerprint & PART_BIT) != 0;
}

static struct suspect *
find_suspect(struct pb_suspects *s, uint64_t fingerprint)
{
	size_t i;

	for (i = 0; i < SUSPECTS_MAX; i++) {
		if (s->table[i].fingerprint == fingerprint)
			return &s->table[i];
	}
	return NULL;
}

static bool
is_recent(struct pb_context *ctx, struct pb_lru *times, uint64_t fingerprint)
{
	const uint64_t *at = pb_find_lru(times, fingerprint);

	return at != NULL && pb_now(ctx) - (int64_t)*at < SUCCESS_TTL_US;
}

/*
 * Returns true if a request with the fingerprint succeeded recently. It is then
 * not the cause of a crash: another request in progress at the instance was.
 */
static bool
has_succeeded(
    struct pb_context *ctx, struct pb_suspects *s, uint64_t fingerprint)
{
	return is_recent(ctx, s->succeeded, fingerprint);
}

static bool
has_begun(struct pb_context *ctx, struct pb_suspects *s, uint64_t fingerprint)
{
	return is_part(fingerprint) && is_recent(ctx, s->begun, fingerprint);
}

static const struct lifetime *
lifetime_of(struct pb_context *ctx, struct pb_suspects *s, uint64_t fingerprint)
{
	if (has_begun(ctx, s, fingerprint))
		return &begun_part_lifetime;
	return is_part(fingerprint) ? &part_lifetime : &request_lifetime;
}

/* Returns true if enough instances crashed for a refusal. */
static bool
exceeds_crash_limit(
    struct pb_context *ctx, struct pb_suspects *s, const struct suspect *p)
{
	size_t limit =
	    has_begun(ctx, s, p->fingerprint) ? BEGUN_CRASHES_MAX : CRASHES_MAX;

	return p->crashed_again || p->victim_count >= limit;
}

/* Returns true if entry a is replaced before entry b when the table is full. */
static bool
is_less_important(const struct suspect *a, const struct suspect *b)
{
	bool kept_a = a->crashed_again || a->victim_count >= CRASHES_MAX;
	bool kept_b = b->crashed_again || b->victim_count >= CRASHES_MAX;

	if (kept_a != kept_b)
		return kept_b;
	if (is_part(a->fingerprint) != is_part(b->fingerprint))
		return !is_part(a->fingerprint);
	return a->crashed_us < b->crashed_us;
}

/* Takes a free entry, or replaces the least important one. */
static struct suspect *
add_suspect(struct pb_suspects *s, uint64_t fingerprint)
{
	struct suspect *entry = &s->table[0];
	size_t i;

	for (i = 0; i < SUSPECTS_MAX; i++) {
		if (s->table[i].fingerprint == 0) {
			entry = &s->table[i];
			break;
		}
		if (is_less_important(&s->table[i], entry))
			entry = &s->table[i];
	}
	memset(entry, 0, sizeof(*entry));
	entry->fingerprint = fingerprint;
	return entry;
}

static struct suspect *
find_or_add_suspect(struct pb_suspects *s, uint64_t fingerprint)
{
	struct suspect *p = find_suspect(s, fingerprint);

	return p != NULL ? p : add_suspect(s, fingerprint);
}

static bool
is_victim(const struct suspect *p, uint64_t victim)
{
	size_t i;

	for (i = 0; i < p->victim_count; i++) {
		if (p->victims[i] == victim)
			return true;
	}
	return false;
}

static int64_t
refusal_left(
    struct pb_context *ctx, struct pb_suspects *s, const struct suspect *p)
{
	int64_t left;

	if (!exceeds_crash_limit(ctx, s, p))
		return 0;
	left = p->crashed_us + lifetime_of(ctx, s, p->fingerprint)->refusal_us -
	    pb_now(ctx);
	return left > 0 ? left : 0;
}

/* Removes crashes that are too old. */
static void
forget_old_crashes(
    struct pb_context *ctx, struct pb_suspects *s, struct suspect *p)
{
	if (pb_now(ctx) - p->crashed_us <=
	    lifetime_of(ctx, s, p->fingerprint)->memory_us)
		return;
	p->victim_count = 0;
	p->crashed_again = false;
}

/* Returns true if requests with the fingerprint are refused from now on. */
static bool
add_victim(struct pb_context *ctx, struct pb_suspects *s, struct suspect *p,
    uint64_t victim)
{
	bool was_refused = refusal_left(ctx, s, p) > 0;

	/* A crash after a refusal has ended starts the next refusal. */
	if (!was_refused && exceeds_crash_limit(ctx, s, p)) {
		p->victim_count = 0;
		p->crashed_again = true;
	}
	if (p->victim_count == VICTIMS_MAX)
		return false;
	p->victims[p->victim_count++] = victim;
	p->crashed_us = pb_now(ctx);
	return !was_refused && exceeds_crash_limit(ctx, s, p);
}

/*
 * Marks a suspect as cleared, so that other routers learn of the success.
 */
static void
clear_suspect(
    struct pb_context *ctx, struct pb_suspects *s, uint64_t fingerprint)
{
	struct suspect *p = find_or_add_suspect(s, fingerprint);

	p->victim_count = 0;
	p->crashed_again = false;
	p->cleared_us = pb_now(ctx);
}

static bool
record_crash(struct pb_context *ctx, struct pb_suspects *s,
    const struct pb_crash *crash, bool own)
{
	struct suspect *p;

	if (has_succeeded(ctx, s, crash->fingerprint)) {
		if (!own)
			clear_suspect(ctx, s, crash->fingerprint);
		return false;
	}
	p = find_or_add_suspect(s, crash->fingerprint);
	forget_old_crashes(ctx, s, p);
	if (is_victim(p, crash->victim))
		return false;
	if (own && is_part(crash->fingerprint) && p->victim_count > 0 &&
	    pb_now(ctx) - p->crashed_us < SAME_EVENT_US)
		return false;
	return add_victim(ctx, s, p, crash->victim);
}

bool
pb_note_crash(struct pb_context *ctx, struct pb_suspects *suspects,
    const struct pb_crash *crash)
{
	return record_crash(ctx, suspects, crash, true);
}

void
pb_note_crash_report(struct pb_context *ctx, struct pb_suspects *suspects,
    const struct pb_crash *report)
{
	if (report->victim != PB_NO_VICTIM)
		record_crash(ctx, suspects, report, false);
	else if (!has_succeeded(ctx, suspects, report->fingerprint))
		pb_note_success(ctx, suspects, report->fingerprint);
}

void
pb_note_success(
    struct pb_context *ctx, struct pb_suspects *suspects, uint64_t fingerprint)
{
	struct suspect *p = find_suspect(suspects, fingerprint);

	pb_set_lru(suspects->succeeded, fingerprint, (uint64_t)pb_now(ctx));
	if (p != NULL && p->victim_count > 0)
		clear_suspect(ctx, suspects, fingerprint);
}

void
pb_note_begun(
    struct pb_context *ctx, struct pb_suspects *suspects, uint64_t fingerprint)
{
	if (is_part(fingerprint))
		pb_set_lru(suspects->begun, fingerprint, (uint64_t)pb_now(ctx));
}

int64_t
pb_refusal_left(
    struct pb_context *ctx, struct pb_suspects *suspects, uint64_t fingerprint)
{
	const struct suspect *p = find_suspect(suspects, fingerprint);

	if (p == NULL || has_succeeded(ctx, suspects, fingerprint))
		return 0;
	return refusal_left(ctx, suspects, p);
}

size_t
pb_count_refused(struct pb_context *ctx, struct pb_suspects *suspects)
{
	size_t i, n = 0;

	for (i = 0; i < SUSPECTS_MAX; i++) {
		uint64_t fingerprint = suspects->table[i].fingerprint;

		n += fingerprint != 0 &&
		    pb_refusal_left(ctx, suspects, fingerprint) > 0;
	}
	return n;
}

/* Stores the records of one suspect; returns their number. */
static size_t
read_suspect(struct pb_context *ctx, struct pb_suspects *s,
    const struct suspect *p, struct pb_crash *crashes, size_t cap)
{
	int64_t since_us = pb_now(ctx) - SHARE_US;
	size_t i, n = 0;

	if (p->cleared_us > since_us && n < cap)
		crashes[n++] = (struct pb_crash){p->fingerprint, PB_NO_VICTIM};
	if (p->crashed_us < since_us && refusal_left(ctx, s, p) == 0)
		return n;
	for (i = 0; i < p->victim_count && n < cap; i++)
		crashes[n++] = (struct pb_crash){p->fingerprint, p->victims[i]};
	return n;
}

/* Stores the records of prompt parts or those of requests. */
static size_t
read_kind(struct pb_context *ctx, struct pb_suspects *s, bool parts,
    struct pb_crash *crashes, size_t cap)
{
	size_t i, n = 0;

	for (i = 0; i < SUSPECTS_MAX; i++) {
		const struct suspect *p = &s->table[i];

		if (p->fingerprint != 0 && is_part(p->fingerprint) == parts)
			n += read_suspect(ctx, s, p, crashes + n, cap - n);
	}
	return n;
}

size_t
pb_read_crashes(struct pb_context *ctx, struct pb_suspects *suspects,
    struct pb_crash *crashes, size_t cap)
{
	size_t n = read_kind(ctx, suspects, true, crashes, cap);

	return n + read_kind(ctx, suspects, false, crashes + n, cap - n);
}
