#include "digest-store.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Rank of the first send of each kind. Revisions and leaving upstreams come
 * first because they have a deadline, which the states of all routers at a
 * start must not delay. Loads and demand start at load_rank.
 */
static const int kind_rank[PB_FACT_KIND_END] = {
    [PB_FACT_ROUTER] = 2,
    [PB_FACT_REVISION] = 0,
    [PB_FACT_LEAVING] = 0,
    [PB_FACT_CONTAINED] = 1,
    [PB_FACT_HEALTH] = 1,
};

/*
 * With k sends by each router that has a fact, the fact misses about e^-k of
 * the routers. ln(routers) + 4 sends therefore reach all routers with a
 * probability of 98%. Loads may go before the sends that follow.
 */
#define SENDS_BEFORE_LOADS 4

#define SWEEP_US (1 * PB_SEC)

/* While a fact of the lowest ranks waits, exchanges are more frequent. */
#define URGENT_RANKS 2
#define URGENT_SPEEDUP 4

struct pb_digest *
pb_new_digest(struct pb_context *ctx, const struct pb_digest_policy *policy)
{
	struct pb_digest *d = calloc(1, sizeof(*d));
	size_t buckets = 64;

	if (d == NULL)
		goto fail;
	while (buckets < policy->max_facts)
		buckets *= 2;
	d->buckets = calloc(buckets, sizeof(struct entry *));
	d->origins = calloc(DIGEST_ORIGINS, sizeof(struct origin));
	if (d->buckets == NULL || d->origins == NULL)
		goto fail;
	d->policy = *policy;
	d->bucket_mask = buckets - 1;
	d->tokens = policy->bytes_per_sec;
	d->refilled_us = pb_now(ctx);
	pb_set_digest_peers(ctx, d, 1);
	return d;
fail:
	pb_drop_digest(ctx, d);
	pb_set_error(ctx, PB_ENOMEM, "new digest", "", "out of memory");
	return NULL;
}

void
pb_set_digest_budget(struct pb_digest *d, double bytes_per_sec)
{
	d->policy.bytes_per_sec = bytes_per_sec;
}

void
pb_drop_digest(struct pb_context *ctx, struct pb_digest *d)
{
	int kind;

	(void)ctx;
	if (d == NULL)
		return;
	for (kind = 0; kind < PB_FACT_KIND_END; kind++)
		while (d->age[kind].head != NULL)
			digest_remove(d, d->age[kind].head);
	free(d->buckets);
	free(d->origins);
	free(d);
}

void
pb_set_digest_peers(struct pb_context *ctx, struct pb_digest *d, size_t peers)
{
	(void)ctx;
	d->sends_per_fact = (int)ceil(3 * log2((double)peers + 1));
	if (d->sends_per_fact < 3)
		d->sends_per_fact = 3;
	d->load_rank = (int)ceil(log((double)peers + 1)) + SENDS_BEFORE_LOADS;
}

bool
digest_is_shared(enum pb_fact_kind kind)
{
	return kind == PB_FACT_REVISION || kind == PB_FACT_LEAVING ||
	    kind == PB_FACT_CONTAINED;
}

bool
digest_is_regional(enum pb_fact_kind kind)
{
	return kind == PB_FACT_CELL_LOAD || kind == PB_FACT_ACCOUNT;
}

static size_t
bucket_of(const struct pb_digest *d, enum pb_fact_kind kind, uint64_t subject,
    uint64_t origin)
{
	uint64_t key = pb_hash_pair(subject + kind, origin);

	return (size_t)key & d->bucket_mask;
}

/* Returns the origin in the key of a fact: 0 for shared facts. */
static uint64_t
key_origin(enum pb_fact_kind kind, uint64_t origin)
{
	return digest_is_shared(kind) ? 0 : origin;
}

struct entry *
digest_find(const struct pb_digest *d, enum pb_fact_kind kind, uint64_t subject,
    uint64_t origin)
{
	uint64_t key = key_origin(kind, origin);
	struct entry *e = d->buckets[bucket_of(d, kind, subject, key)];

	for (; e != NULL; e = e->hash_next)
		if (e->fact.kind == kind && e->fact.subject == subject &&
		    key_origin(kind, e->fact.origin) == key)
			return e;
	return NULL;
}

static void
link_age(struct pb_digest *d, struct entry *e)
{
	struct entry_list *list = &d->age[e->fact.kind];

	e->age_prev = list->tail;
	e->age_next = NULL;
	if (list->tail != NULL)
		list->tail->age_next = e;
	else
		list->head = e;
	list->tail = e;
}

static void
unlink_age(struct pb_digest *d, struct entry *e)
{
	struct entry_list *list = &d->age[e->fact.kind];

	if (e->age_prev != NULL)
		e->age_prev->age_next = e->age_next;
	else
		list->head = e->age_next;
	if (e->age_next != NULL)
		e->age_next->age_prev = e->age_prev;
	else
		list->tail = e->age_prev;
}

static int
send_rank(const struct pb_digest *d, const struct entry *e)
{
	int rank = e->rank_offset;

	if (digest_is_regional(e->fact.kind))
		rank += d->load_rank;
	else
		rank += kind_rank[e->fact.kind];
	return rank < DIGEST_RANKS ? rank : DIGEST_RANKS - 1;
}

static void
unlink_send(struct pb_digest *d, struct entry *e)
{
	struct entry_list *list = &d->send[e->rank][e->fact.kind];

	if (e->sends_left == 0)
		return;
	if (e->send_prev != NULL)
		e->send_prev->send_next = e->send_next;
	else
		list->head = e->send_next;
	if (e->send_next != NULL)
		e->send_next->send_prev = e->send_prev;
	else
		list->tail = e->send_prev;
	e->sends_left = 0;
}

void
digest_queue(
    struct pb_digest *d, struct entry *e, int rank_offset, int sends_left)
{
	struct entry_list *list;

	unlink_send(d, e);
	e->rank_offset = rank_offset;
	e->sends_left = sends_left;
	if (sends_left == 0)
		return;
	e->rank = send_rank(d, e);
	list = &d->send[e->rank][e->fact.kind];
	e->send_prev = list->tail;
	e->send_next = NULL;
	if (list->tail != NULL)
		list->tail->send_next = e;
	else
		list->head = e;
	list->tail = e;
}

void
digest_count_send(struct pb_digest *d, struct entry *e)
{
	if (e->sends_left > 0)
		digest_queue(d, e, e->rank_offset + 1, e->sends_left - 1);
}

/* Called before a version is replaced or removed; counts it if never sent. */
static void
count_dropped(struct pb_digest *d, const struct entry *e)
{
	if (!e->sent && e->sends_left > 0)
		d->stats.dropped_facts++;
}

void
digest_remove(struct pb_digest *d, struct entry *e)
{
	struct entry **at = &d->buckets[bucket_of(d, e->fact.kind,
	    e->fact.subject, key_origin(e->fact.kind, e->fact.origin))];

	count_dropped(d, e);
	while (*at != e)
		at = &(*at)->hash_next;
	*at = e->hash_next;
	unlink_age(d, e);
	unlink_send(d, e);
	d->stats.facts--;
	free(e);
}

/*
 * Removes the oldest fact of the least valuable kind when the store is full.
 * Returns false when all facts are more valuable than kind.
 */
static bool
make_room(struct pb_digest *d, enum pb_fact_kind kind)
{
	int least = PB_FACT_KIND_END - 1;

	if (d->stats.facts < d->policy.max_facts)
		return true;
	while (least > 0 && d->age[least].head == NULL)
		least--;
	if (least < (int)kind || least == 0)
		return false;
	digest_remove(d, d->age[least].head);
	return true;
}

struct entry *
digest_insert(struct pb_digest *d, const struct pb_fact *fact)
{
	struct entry *e, **at;

	if (!make_room(d, fact->kind))
		return NULL;
	e = calloc(1, sizeof(*e));
	if (e == NULL)
		return NULL;
	e->fact = *fact;
	at = &d->buckets[bucket_of(d, fact->kind, fact->subject,
	    key_origin(fact->kind, fact->origin))];
	e->hash_next = *at;
	*at = e;
	link_age(d, e);
	d->stats.facts++;
	e->fact.version = 0; /* the first value counts as a change */
	return e;
}

static bool
same_value(const struct pb_fact *a, const struct pb_fact *b)
{
	return a->len == b->len && memcmp(a->value, b->value, a->len) == 0;
}

void
digest_replace(struct pb_digest *d, struct entry *e, const struct pb_fact *fact,
    int64_t now_us)
{
	bool renewal = e->fact.version != 0 && same_value(&e->fact, fact) &&
	    now_us < e->expires_us;

	if (e->fact.version != 0)
		count_dropped(d, e);
	e->fact = *fact;
	e->expires_us = now_us + fact->ttl_ms * PB_MSEC;
	e->sent = false;
	unlink_age(d, e);
	link_age(d, e);
	if (renewal)
		digest_queue(d, e, d->load_rank - 1, DIGEST_RENEW_SENDS);
	else
		digest_queue(d, e, 0, d->sends_per_fact);
}

void
digest_sweep(struct pb_digest *d, int64_t now_us)
{
	int kind;

	if (now_us - d->swept_us < SWEEP_US)
		return;
	d->swept_us = now_us;
	for (kind = 0; kind < PB_FACT_KIND_END; kind++) {
		struct entry *e = d->age[kind].head, *next;

		for (; e != NULL; e = next) {
			next = e->age_next;
			if (now_us >= e->expires_us)
				digest_remove(d, e);
		}
	}
}

static struct origin *
find_origin(const struct pb_digest *d, uint64_t id)
{
	size_t i = (size_t)id & (DIGEST_ORIGINS - 1);

	while (d->origins[i].id != id && d->origins[i].id != 0)
		i = (i + 1) & (DIGEST_ORIGINS - 1);
	return &d->origins[i];
}

/* Removes routers not seen for 600 s when the table is half full. */
static void
trim_origins(struct pb_digest *d, int64_t now_us)
{
	struct origin *old = d->origins;
	size_t i;

	if (d->origin_count < DIGEST_ORIGINS / 2)
		return;
	d->origins = calloc(DIGEST_ORIGINS, sizeof(struct origin));
	if (d->origins == NULL) {
		d->origins = old;
		return;
	}
	d->origin_count = 0;
	for (i = 0; i < DIGEST_ORIGINS; i++) {
		if (old[i].id == 0 || now_us - old[i].seen_us > 600 * PB_SEC)
			continue;
		*find_origin(d, old[i].id) = old[i];
		d->origin_count++;
	}
	free(old);
}

bool
digest_is_stale(const struct pb_digest *d, uint64_t id, uint64_t incarnation)
{
	const struct origin *o = find_origin(d, id);

	return o->id == id && incarnation < o->incarnation;
}

static void
remove_older(struct pb_digest *d, uint64_t id, uint64_t incarnation)
{
	int kind;

	for (kind = 0; kind < PB_FACT_KIND_END; kind++) {
		struct entry *e = d->age[kind].head, *next;

		if (digest_is_shared(kind))
			continue;
		for (; e != NULL; e = next) {
			next = e->age_next;
			if (e->fact.origin == id &&
			    e->fact.incarnation < incarnation)
				digest_remove(d, e);
		}
	}
}

bool
digest_accept_incarnation(
    struct pb_digest *d, uint64_t id, uint64_t incarnation, int64_t now_us)
{
	struct origin *o = find_origin(d, id);

	if (o->id != id) {
		trim_origins(d, now_us);
		if (d->origin_count >= DIGEST_ORIGINS - 1 || id == 0)
			return id != 0;
		o = find_origin(d, id);
		d->origin_count++;
		*o = (struct origin){id, incarnation, now_us};
		return true;
	}
	if (incarnation < o->incarnation)
		return false;
	if (incarnation > o->incarnation) {
		o->incarnation = incarnation;
		remove_older(d, id, incarnation);
	}
	o->seen_us = now_us;
	return true;
}

/*
 * Publishes a new version of a fact of this router. All its facts share one
 * counter, so that no version is used twice.
 */
static void
publish_version(struct pb_digest *d, struct entry *e,
    const struct pb_fact *fact, int64_t now_us)
{
	struct pb_fact own = *fact;

	own.origin = d->policy.self;
	own.incarnation = d->policy.incarnation;
	own.version = ++d->version;
	digest_replace(d, e, &own, now_us);
}

int
pb_publish_fact(struct pb_context *ctx, struct pb_digest *d,
    enum pb_fact_kind kind, uint64_t subject, const void *value, size_t len,
    int64_t ttl_us)
{
	struct pb_fact fact = {.kind = kind,
	    .subject = subject,
	    .origin = d->policy.self,
	    .len = (uint8_t)len,
	    .ttl_ms = (uint32_t)(ttl_us / PB_MSEC)};
	int64_t now = pb_now(ctx), remaining;
	struct entry *e;
	int order;

	if (kind < PB_FACT_ROUTER || kind >= PB_FACT_KIND_END ||
	    len > PB_FACT_VALUE_MAX || ttl_us < DIGEST_TTL_UNIT ||
	    ttl_us / DIGEST_TTL_UNIT > DIGEST_TTL_MAX)
		return pb_set_error(ctx, PB_EINVAL, "state fact", "",
		    "invalid fact: kind %d, %zu bytes, ttl %lld us", (int)kind,
		    len, (long long)ttl_us);
	if (len > 0)
		memcpy(fact.value, value, len);
	e = digest_find(d, kind, subject, fact.origin);
	if (e == NULL)
		e = digest_insert(d, &fact);
	if (e == NULL)
		return pb_set_error(ctx, PB_EBUSY, "state fact", "",
		    "the store is full, or out of memory");
	remaining = e->expires_us - now;
	order = memcmp(e->fact.value, fact.value, PB_FACT_VALUE_MAX);
	if (e->fact.version != 0 && remaining > 0 &&
	    ((digest_is_shared(kind) && order > 0) ||
		(order == 0 && e->fact.len == len && remaining > ttl_us / 2)))
		return PB_OK;
	publish_version(d, e, &fact, now);
	return PB_OK;
}

void
digest_refute(struct pb_digest *d, int64_t now_us)
{
	struct entry *e =
	    digest_find(d, PB_FACT_ROUTER, d->policy.self, d->policy.self);

	if (e == NULL)
		return;
	publish_version(d, e, &e->fact, now_us);
	digest_queue(d, e, 0, d->sends_per_fact);
}

uint32_t
digest_revision_low(const struct pb_digest *d)
{
	const struct entry *e = d->age[PB_FACT_REVISION].tail;
	const uint8_t *end;

	if (e == NULL || e->fact.len < sizeof(uint32_t))
		return 0;
	end = e->fact.value + e->fact.len;
	return (uint32_t)end[-4] << 24 | (uint32_t)end[-3] << 16 |
	    (uint32_t)end[-2] << 8 | end[-1];
}

void
digest_queue_newer_revision(struct pb_digest *d, uint32_t revision_low)
{
	struct entry *e = d->age[PB_FACT_REVISION].tail;

	/* Serial number arithmetic, because the 32 bits wrap around. */
	if (e != NULL && (int32_t)(digest_revision_low(d) - revision_low) > 0)
		digest_queue(d, e, 0, e->sends_left > 0 ? e->sends_left : 1);
}

bool
digest_is_urgent(const struct pb_digest *d)
{
	int rank, kind;

	for (rank = 0; rank < URGENT_RANKS; rank++)
		for (kind = PB_FACT_ROUTER; kind < PB_FACT_KIND_END; kind++)
			if (d->send[rank][kind].head != NULL)
				return true;
	return false;
}

int64_t
pb_next_exchange(const struct pb_digest *d, int64_t period_us)
{
	if (digest_is_urgent(d))
		period_us /= URGENT_SPEEDUP;
	return d->started_us + period_us;
}

size_t
pb_each_fact(struct pb_context *ctx, struct pb_digest *d,
    enum pb_fact_kind kind, pb_fact_fn *fn, void *arg)
{
	int64_t now = pb_now(ctx);
	struct entry *e;
	size_t n = 0;

	if (kind < PB_FACT_ROUTER || kind >= PB_FACT_KIND_END)
		return 0;
	for (e = d->age[kind].head; e != NULL; e = e->age_next) {
		struct pb_fact fact = e->fact;

		if (now >= e->expires_us)
			continue;
		fact.ttl_ms = (uint32_t)((e->expires_us - now) / PB_MSEC);
		fn(arg, &fact);
		n++;
	}
	return n;
}

void
pb_read_digest_stats(const struct pb_digest *d, struct pb_digest_stats *stats)
{
	*stats = d->stats;
}
