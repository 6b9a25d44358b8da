#include "placement-internal.h"

/* Requirements of one piece of work. */
struct requirement {
	double work;
	double headroom;
	uint64_t avoid;
};

static bool
is_eligible(const struct pb_placement *pl, const struct load_view *v, int i,
    const struct requirement *req, double limit)
{
	const struct slot *s = &pl->slots[i];
	double after = v->load[i] + req->work;

	if (v->capacity[i] <= 0 || v->now < s->hold_until_us ||
	    (req->avoid >> i & 1) != 0)
		return false;
	if (v->total_load > 0 &&
	    v->total_load + req->work > v->total_capacity * (1 - req->headroom))
		return false;
	if (v->load[i] <= 0)
		return true;
	if (after > v->capacity[i])
		return false;
	return after <= pl->policy.floor_work ||
	    after * v->total_capacity <=
	    limit * (v->total_load + req->work) * v->capacity[i];
}

/*
 * Returns the weight of a slot for rendezvous hashing. The throttle does not
 * count, so that brief throttling moves no chats; it lowers the load that the
 * upstream may carry instead.
 */
static double
slot_weight(const struct pb_placement *pl, const struct load_view *v, int i)
{
	const struct slot *s = &pl->slots[i];
	double age = (double)(v->now - s->joined_us);
	double ramp = (double)pl->policy.ramp_us;

	return age >= ramp ? s->info.capacity : s->info.capacity * age / ramp;
}

/* Finds a chat's first and second choice among the live slots; -1 for none. */
static void
rank_slots(const struct pb_placement *pl, const struct load_view *v,
    uint64_t chat, int choice[2])
{
	double best[2] = {-1, -1}, score;
	int i;

	choice[0] = choice[1] = -1;
	for (i = 0; i < pl->count; i++) {
		if (v->capacity[i] <= 0)
			continue;
		score = pb_rendezvous_score(
		    chat, pl->slots[i].info.id, slot_weight(pl, v, i));
		if (score > best[0]) {
			best[1] = best[0];
			choice[1] = choice[0];
			best[0] = score;
			choice[0] = i;
		} else if (score > best[1]) {
			best[1] = score;
			choice[1] = i;
		}
	}
}

static int
find_least_loaded(const struct pb_placement *pl, const struct load_view *v,
    const struct requirement *req)
{
	double load, least = 0;
	int i, found = -1;

	for (i = 0; i < pl->count; i++) {
		if (!is_eligible(pl, v, i, req, pl->policy.inner_limit))
			continue;
		load = v->load[i] / v->capacity[i];
		if (found < 0 || load < least) {
			least = load;
			found = i;
		}
	}
	return found;
}

static int
find_chat_slot(struct pb_placement *pl, uint64_t chat)
{
	const uint64_t *upstream = pb_find_lru(pl->locations, chat);

	return upstream != NULL ? pb_find_slot(pl, *upstream) : -1;
}

/*
 * Finds an upstream that joined and has had no work since. Its weight is near 0
 * at first, so that rendezvous hashing might give it no chat for seconds. After
 * the first one, its share of the chats rises with its weight.
 */
static int
find_joined(const struct pb_placement *pl, const struct load_view *v,
    const struct requirement *req)
{
	int i;

	for (i = 0; i < pl->count; i++) {
		if (pl->slots[i].awaits_work && is_eligible(pl, v, i, req, 1))
			return i;
	}
	return -1;
}

/*
 * Returns the load limit, as a multiple of the mean, for placing a chat on its
 * first (n = 0) or second (n = 1) rendezvous choice. A chat without a location
 * costs the same everywhere, so the range up to the inner limit is reserved for
 * chats that return to their cache. The first choice may use half of that
 * range, because a new owner of the cell, which has no locations, sends
 * returning chats there.
 */
static double
rendezvous_limit(const struct pb_placement *pl, int n)
{
	return n == 0 ? 1 + (pl->policy.inner_limit - 1) / 2 : 1;
}

int
pb_choose_upstream(struct pb_context *ctx, struct pb_placement *pl,
    uint64_t chat, uint32_t work, double headroom, uint64_t avoid)
{
	struct requirement req = {work, headroom, avoid};
	struct load_view v;
	int choice[2], i, slot;

	pl->last_choice = PB_CHOICE_NONE;
	pb_read_loads(ctx, pl, &v);
	if (v.total_capacity <= 0)
		return -1;
	if (chat != 0) {
		slot = find_chat_slot(pl, chat);
		if (slot >= 0 &&
		    is_eligible(pl, &v, slot, &req, pl->policy.inner_limit)) {
			pl->last_choice = PB_CHOICE_LOCATION;
			return slot;
		}
		slot = find_joined(pl, &v, &req);
		if (slot >= 0) {
			pl->last_choice = PB_CHOICE_JOINED;
			return slot;
		}
		rank_slots(pl, &v, chat, choice);
		for (i = 0; i < 2; i++) {
			if (choice[i] >= 0 &&
			    is_eligible(pl, &v, choice[i], &req,
				rendezvous_limit(pl, i))) {
				pl->last_choice = PB_CHOICE_FIRST + i;
				return choice[i];
			}
		}
	}
	pl->last_choice = PB_CHOICE_LEAST_LOADED;
	return find_least_loaded(pl, &v, &req);
}

enum pb_choice
pb_last_choice(const struct pb_placement *pl)
{
	return pl->last_choice;
}

const char *
pb_choice_name(enum pb_choice choice)
{
	static const char *const names[] = {"none", "last location",
	    "first choice", "second choice", "least loaded", "resumed",
	    "joined"};

	return names[choice];
}

bool
pb_fits_capacity(const struct pb_placement *pl, uint32_t work, double headroom,
    uint64_t slots)
{
	double capacity, largest = 0, total = 0;
	int i;

	for (i = 0; i < pl->count; i++) {
		const struct pb_upstream_info *u = &pl->slots[i].info;

		capacity = u->capacity * u->throttle;
		if (u->state == PB_UP_LIVE)
			total += capacity;
		if ((slots >> i & 1) != 0 && capacity > largest)
			largest = capacity;
	}
	return work <= largest && work <= total * (1 - headroom);
}

void
pb_charge_upstream(struct pb_context *ctx, struct pb_placement *pl, int slot,
    uint64_t chat, uint32_t work)
{
	struct slot *s = &pl->slots[slot];

	pb_sample_slot(ctx, s);
	s->charged += work;
	s->awaits_work = false;
	if (chat != 0)
		pb_set_lru(pl->locations, chat, s->info.id);
}

void
pb_charge_resumed_work(struct pb_context *ctx, struct pb_placement *pl,
    int slot, uint64_t chat, uint32_t work)
{
	struct slot *s = &pl->slots[slot];
	int i;

	pb_charge_upstream(ctx, pl, slot, chat, work);
	/* Load reports made before now already include this work. */
	s->external_work -= work < s->external_work ? work : s->external_work;
	for (i = 0; i < SAMPLES; i++)
		s->samples[i].charged += work;
	s->resumed_work += work;
}
