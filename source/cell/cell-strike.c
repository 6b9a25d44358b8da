#include "cell-internal.h"

/* Packed strike: count in bits 0-6, remote flag in bit 7, end time above. */
#define STRIKE_COUNT_MAX 127
#define STRIKE_REMOTE 0x80
#define STRIKE_TIME_SHIFT 8

static uint64_t
pack_strike(const struct strike *s)
{
	return (uint64_t)s->until_us << STRIKE_TIME_SHIFT |
	    (s->remote ? STRIKE_REMOTE : 0) | s->count;
}

static struct strike
unpack_strike(uint64_t value)
{
	struct strike s = {(uint32_t)(value & STRIKE_COUNT_MAX),
	    (value & STRIKE_REMOTE) != 0,
	    (int64_t)(value >> STRIKE_TIME_SHIFT)};

	return s;
}

/* Returns the strikes that cause containment, limited to the packed range. */
static uint32_t
strike_limit(const struct pb_cell *cell)
{
	uint32_t n = cell->policy.strikes;

	if (n == 0)
		return 1;
	return n < STRIKE_COUNT_MAX ? n : STRIKE_COUNT_MAX;
}

bool
pb_read_strike(struct pb_context *ctx, struct pb_cell *cell,
    uint64_t fingerprint, struct strike *out)
{
	int64_t now = pb_now(ctx);
	uint64_t *value;
	struct strike s;

	if (fingerprint == 0 || pb_lru_count(cell->strikes) == 0)
		return false;
	value = pb_find_lru(cell->strikes, fingerprint);
	if (value == NULL)
		return false;
	s = unpack_strike(*value);
	/*
	 * When its containment ends, the fingerprint stays suspect for the same
	 * duration again: one more crash in that time contains it again.
	 */
	if (now >= s.until_us && s.count >= strike_limit(cell)) {
		s.count = strike_limit(cell) - 1;
		s.until_us += cell->policy.containment_us;
	}
	if (now >= s.until_us || s.count == 0) {
		pb_erase_lru(cell->strikes, fingerprint);
		return false;
	}
	*value = pack_strike(&s);
	*out = s;
	return true;
}

int64_t
pb_containment_left(
    struct pb_context *ctx, struct pb_cell *cell, uint64_t fingerprint)
{
	struct strike s;

	if (!pb_read_strike(ctx, cell, fingerprint, &s) ||
	    s.count < strike_limit(cell))
		return 0;
	return s.until_us - pb_now(ctx);
}

bool
pb_is_suspect(
    struct pb_context *ctx, struct pb_cell *cell, const struct request *rq)
{
	struct strike s;

	return pb_read_strike(ctx, cell, rq->work.fingerprint, &s);
}

bool
pb_is_duplicate_running(const struct pb_cell *cell, const struct request *rq)
{
	const struct request *r;

	for (r = cell->running; r != NULL; r = r->next)
		if (r->work.fingerprint == rq->work.fingerprint)
			return true;
	return false;
}

uint64_t
pb_suspect_slots(struct pb_context *ctx, struct pb_cell *cell)
{
	const struct request *r;
	int slot;

	if (cell->suspect_slots_known)
		return cell->suspect_slots;
	cell->suspect_slots = 0;
	for (r = cell->running; r != NULL; r = r->next) {
		slot = pb_find_slot(cell->placement, r->upstream);
		if (slot >= 0 && pb_is_suspect(ctx, cell, r))
			cell->suspect_slots |= 1ULL << slot;
	}
	cell->suspect_slots_known = true;
	return cell->suspect_slots;
}

/*
 * Returns true when this crash was already counted for the fingerprint, else
 * records it. A broken stream is resumed at the same upstream, which may still
 * be crashing, so the same crash can be reported twice.
 */
static bool
test_and_record_crash(struct pb_cell *cell, const struct request *rq)
{
	uint64_t crash = pb_hash_pair(
	    rq->work.fingerprint, pb_hash_pair(rq->upstream, rq->incarnation));

	if (pb_find_lru(cell->counted_crashes, crash) != NULL)
		return true;
	pb_set_lru(cell->counted_crashes, crash, 0);
	return false;
}

static void
add_strike(
    struct pb_context *ctx, struct pb_cell *cell, const struct request *rq)
{
	uint64_t fingerprint = rq->work.fingerprint;
	struct strike s = {0, false, 0};

	if (fingerprint == 0 || test_and_record_crash(cell, rq))
		return;
	(void)pb_read_strike(ctx, cell, fingerprint, &s);
	if (s.count < strike_limit(cell) && ++s.count == strike_limit(cell)) {
		cell->contained++;
		s.remote = false;
		pb_log(ctx, PB_WARN, "contain", NULL, NULL,
		    "fingerprint %016llx was in flight during %u upstream "
		    "crashes; refusing requests with it temporarily",
		    (unsigned long long)fingerprint, s.count);
	}
	if (!s.remote)
		s.until_us = pb_now(ctx) + cell->policy.containment_us;
	pb_set_lru(cell->strikes, fingerprint, pack_strike(&s));
}

void
pb_add_crash_strikes(
    struct pb_context *ctx, struct pb_cell *cell, const struct request *rq)
{
	uint64_t upstream = rq->upstream, incarnation = rq->incarnation;
	struct request *r;

	for (r = cell->running; r != NULL; r = r->next) {
		if (r->upstream != upstream || r->incarnation != incarnation ||
		    r->strike_added)
			continue;
		r->strike_added = true;
		add_strike(ctx, cell, r);
	}
	for (r = cell->running; r != NULL; r = r->next)
		if (r->upstream == upstream && r->incarnation == incarnation &&
		    pb_containment_left(ctx, cell, r->work.fingerprint) > 0)
			pb_refuse_contained(ctx, cell, r->work.fingerprint);
}

void
pb_clear_suspect(
    struct pb_context *ctx, struct pb_cell *cell, const struct request *rq)
{
	uint64_t fingerprint = rq->work.fingerprint;

	if (fingerprint != 0 &&
	    pb_containment_left(ctx, cell, fingerprint) == 0)
		pb_erase_lru(cell->strikes, fingerprint);
}

void
pb_contain_fingerprint(struct pb_context *ctx, struct pb_cell *cell,
    uint64_t fingerprint, int64_t until_us)
{
	struct strike s;

	if (fingerprint == 0 || until_us <= pb_now(ctx))
		return;
	if (pb_read_strike(ctx, cell, fingerprint, &s) &&
	    s.count >= strike_limit(cell) && s.until_us >= until_us)
		return;
	s = (struct strike){strike_limit(cell), true, until_us};
	pb_set_lru(cell->strikes, fingerprint, pack_strike(&s));
	pb_refuse_contained(ctx, cell, fingerprint);
}

struct contained_list {
	const struct pb_cell *cell;
	int64_t now;
	struct pb_contained *out;
	size_t cap;
	size_t count;
};

static void
collect_contained(void *arg, uint64_t key, uint64_t value)
{
	struct contained_list *list = arg;
	struct strike s = unpack_strike(value);

	if (s.remote || s.count < strike_limit(list->cell) ||
	    s.until_us <= list->now || list->count == list->cap)
		return;
	list->out[list->count++] = (struct pb_contained){key, s.until_us};
}

size_t
pb_read_contained(struct pb_context *ctx, struct pb_cell *cell,
    struct pb_contained *out, size_t cap)
{
	struct contained_list list = {cell, pb_now(ctx), out, cap, 0};

	pb_each_lru(cell->strikes, collect_contained, &list);
	return list.count;
}
