#include "poplarbeam/lru.h"
#include "poplarbeam/suspects.h"

#include <stdlib.h>
#include <string.h>

/*
 * A request is refused after this many crashes. Crashes of the same instance
 * count separately if the instance was restarted between them.
 */
#define CRASHES_MAX 3
/* Number of requests that are remembered because of a crash. */
#define SUSPECTS_MAX 128
/* Number of requests that are remembered because of a complete response. */
#define SUCCEEDED_MAX 8192
/* Crashes and complete responses are forgotten after this time. */
#define CRASH_TTL_US (120 * PB_SEC)
/* A request is refused for this long after its last crash. */
#define REFUSAL_US (60 * PB_SEC)
/* A crash is reported to other routers for this long. */
#define SHARE_CRASH_US (5 * PB_SEC)

struct suspect {
	uint64_t fingerprint; /* 0: the entry is free */
	uint64_t victims[CRASHES_MAX];
	size_t victim_count;
	int64_t crashed_us; /* time of the last crash */
};

struct pb_suspects {
	struct suspect table[SUSPECTS_MAX];
	struct pb_lru *succeeded; /* fingerprint -> time of the last response */
};

struct pb_suspects *
pb_new_suspects(struct pb_context *ctx)
{
	struct pb_suspects *s = calloc(1, sizeof(*s));

	if (s == NULL)
		return NULL;
	s->succeeded = pb_new_lru(ctx, SUCCEEDED_MAX);
	if (s->succeeded == NULL) {
		free(s);
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
	free(suspects);
}

uint64_t
pb_fingerprint(struct pb_str target, struct pb_str account, struct pb_str body)
{
	uint64_t h = pb_hash(target.data, target.len, 0);

	h = pb_hash_pair(h, pb_hash(account.data, account.len, 0));
	h = pb_hash_pair(h, pb_hash(body.data, body.len, 0));
	return h != 0 ? h : 1;
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

/* Takes a free entry, or replaces the entry with the oldest crash. */
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
		if (s->table[i].crashed_us < entry->crashed_us)
			entry = &s->table[i];
	}
	memset(entry, 0, sizeof(*entry));
	entry->fingerprint = fingerprint;
	return entry;
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

/* Appends a victim; drops the oldest one if there are CRASHES_MAX already. */
static void
add_victim(struct suspect *p, uint64_t victim)
{
	if (p->victim_count == CRASHES_MAX) {
		memmove(&p->victims[0], &p->victims[1],
		    (CRASHES_MAX - 1) * sizeof(p->victims[0]));
		p->victim_count--;
	}
	p->victims[p->victim_count++] = victim;
}

/*
 * Returns true if the request received a complete response recently. It is then
 * not the cause of a crash: another request in progress at the instance was.
 */
static bool
has_succeeded(
    struct pb_context *ctx, struct pb_suspects *s, uint64_t fingerprint)
{
	const uint64_t *at = pb_find_lru(s->succeeded, fingerprint);

	return at != NULL && pb_now(ctx) - (int64_t)*at < CRASH_TTL_US;
}

bool
pb_note_crash(struct pb_context *ctx, struct pb_suspects *suspects,
    const struct pb_crash *crash)
{
	int64_t now = pb_now(ctx);
	struct suspect *p = find_suspect(suspects, crash->fingerprint);

	if (p != NULL && now - p->crashed_us > CRASH_TTL_US)
		p->victim_count = 0;
	if (p == NULL)
		p = add_suspect(suspects, crash->fingerprint);
	if (is_victim(p, crash->victim))
		return false;
	add_victim(p, crash->victim);
	p->crashed_us = now;
	return p->victim_count == CRASHES_MAX &&
	    !has_succeeded(ctx, suspects, crash->fingerprint);
}

void
pb_note_success(
    struct pb_context *ctx, struct pb_suspects *suspects, uint64_t fingerprint)
{
	struct suspect *p = find_suspect(suspects, fingerprint);

	pb_set_lru(suspects->succeeded, fingerprint, (uint64_t)pb_now(ctx));
	if (p != NULL)
		memset(p, 0, sizeof(*p));
}

int64_t
pb_refusal_left(
    struct pb_context *ctx, struct pb_suspects *suspects, uint64_t fingerprint)
{
	const struct suspect *p = find_suspect(suspects, fingerprint);
	int64_t left;

	if (p == NULL || p->victim_count < CRASHES_MAX ||
	    has_succeeded(ctx, suspects, fingerprint))
		return 0;
	left = p->crashed_us + REFUSAL_US - pb_now(ctx);
	return left > 0 ? left : 0;
}

size_t
pb_read_crashes(struct pb_context *ctx, const struct pb_suspects *suspects,
    struct pb_crash *crashes, size_t cap)
{
	int64_t since_us = pb_now(ctx) - SHARE_CRASH_US;
	size_t i, k, n = 0;

	for (i = 0; i < SUSPECTS_MAX; i++) {
		const struct suspect *p = &suspects->table[i];

		if (p->fingerprint == 0 || p->crashed_us < since_us)
			continue;
		for (k = 0; k < p->victim_count && n < cap; k++)
			crashes[n++] =
			    (struct pb_crash){p->fingerprint, p->victims[k]};
	}
	return n;
}
