#include "digest-wire.h"

#include <string.h>

/*
 * Each exchange has an answer, and several exchanges may start in one second.
 * A datagram gets at most this share of the bytes that may be sent now, so that
 * the next datagrams are not empty.
 */
#define DATAGRAM_SHARE 0.5

/* Share of the bytes of one second that is reserved for urgent changes. */
#define URGENT_SHARE 0.25

/* Properties of the peer that a datagram is encoded for. */
struct target {
	uint64_t merged_seq; /* merge whose facts the peer has; 0: none */
	bool other_region;
};

/*
 * A shared fact with an equal value replaces the stored one only when it
 * expires later by more than this.
 */
#define EXPIRY_MARGIN_US (1 * PB_SEC)

static void
refill_tokens(struct pb_digest *d, int64_t now_us)
{
	double rate = d->policy.bytes_per_sec;

	d->tokens += rate * (double)(now_us - d->refilled_us) / PB_SEC;
	if (d->tokens > rate)
		d->tokens = rate; /* at most the bytes of one second */
	d->refilled_us = now_us;
}

static struct wire_header
own_header(const struct pb_digest *d)
{
	return (struct wire_header){.fleet = d->policy.fleet,
	    .sender = d->policy.self,
	    .incarnation = d->policy.incarnation,
	    .region = d->policy.region,
	    .revision_low = digest_revision_low(d)};
}

/* Returns the bytes of header and facts that may be sent in one datagram. */
static size_t
datagram_space(const struct pb_digest *d, size_t cap)
{
	double bytes = d->tokens;
	size_t space;

	if (!digest_is_urgent(d))
		bytes -= URGENT_SHARE * d->policy.bytes_per_sec;
	bytes = bytes * DATAGRAM_SHARE - DIGEST_OVERHEAD;
	space = bytes > 0 ? (size_t)bytes : 0;

	if (space > d->policy.datagram_max + DIGEST_HEADER)
		space = d->policy.datagram_max + DIGEST_HEADER;
	return space < cap ? space : cap;
}

/* Encodes one entry when it fits and does not expire within one TTL unit. */
static bool
pack_entry(struct pb_digest *d, XDR *xdrs, const struct wire_header *header,
    struct entry *e, size_t space, int64_t now_us)
{
	struct pb_fact fact = e->fact;

	if (now_us + DIGEST_TTL_UNIT > e->expires_us)
		return false;
	fact.ttl_ms = (uint32_t)((e->expires_us - now_us) / PB_MSEC);
	if (xdr_getpos(xdrs) + wire_fact_size(header, &fact) > space)
		return false;
	if (!wire_fact(xdrs, header, &fact))
		return false;
	e->packed_seq = d->seq;
	e->sent = true;
	d->stats.sent_facts++;
	digest_count_send(d, e);
	return true;
}

static void
pack_facts(struct pb_digest *d, XDR *xdrs, const struct wire_header *header,
    size_t space, const struct target *to, int64_t now_us)
{
	int rank, kind;

	for (rank = 0; rank < DIGEST_RANKS; rank++) {
		for (kind = PB_FACT_ROUTER; kind < PB_FACT_KIND_END; kind++) {
			struct entry *e = d->send[rank][kind].head, *next;

			if (to->other_region && digest_is_regional(kind))
				continue;
			for (; e != NULL; e = next) {
				next = e->send_next;
				if (xdr_getpos(xdrs) + DIGEST_FACT_MIN > space)
					return;
				if (e->packed_seq == d->seq ||
				    (to->merged_seq != 0 &&
					e->merged_seq == to->merged_seq))
					continue;
				pack_entry(d, xdrs, header, e, space, now_us);
			}
		}
	}
}

static size_t
pack_digest(struct pb_context *ctx, struct pb_digest *d, uint8_t *buf,
    size_t cap, const struct target *to)
{
	struct wire_header header = own_header(d);
	int64_t now = pb_now(ctx);
	size_t space, len;
	XDR xdrs;

	refill_tokens(d, now);
	digest_sweep(d, now);
	space = datagram_space(d, cap);
	if (space < DIGEST_HEADER)
		return 0;
	d->seq++;
	xdrmem_create(&xdrs, (char *)buf, (unsigned int)cap, XDR_ENCODE);
	if (!wire_header(&xdrs, &header))
		return 0;
	pack_facts(d, &xdrs, &header, space, to, now);
	len = xdr_getpos(&xdrs);
	d->tokens -= (double)(len + DIGEST_OVERHEAD);
	d->stats.sent_bytes += len + DIGEST_OVERHEAD;
	return len;
}

size_t
pb_pack_digest(
    struct pb_context *ctx, struct pb_digest *d, uint8_t *buf, size_t cap)
{
	d->started_us = pb_now(ctx);
	return pack_digest(ctx, d, buf, cap, &(struct target){0});
}

size_t
pb_pack_cross_region_digest(
    struct pb_context *ctx, struct pb_digest *d, uint8_t *buf, size_t cap)
{
	d->started_us = pb_now(ctx);
	return pack_digest(
	    ctx, d, buf, cap, &(struct target){.other_region = true});
}

void
pb_charge_digest_budget(
    struct pb_context *ctx, struct pb_digest *d, size_t bytes)
{
	refill_tokens(d, pb_now(ctx));
	d->tokens -= (double)bytes;
	d->stats.sent_bytes += bytes;
}

/*
 * Returns true when a shared fact replaces the stored one: it has a greater
 * value, or an equal value, a later expiry, and another origin or a newer
 * version.
 */
static bool
is_newer_shared(
    const struct entry *e, const struct pb_fact *fact, int64_t now_us)
{
	int order = memcmp(fact->value, e->fact.value, PB_FACT_VALUE_MAX);

	if (order != 0)
		return order > 0;
	return now_us + fact->ttl_ms * PB_MSEC >
	    e->expires_us + EXPIRY_MARGIN_US &&
	    (fact->origin != e->fact.origin ||
		fact->incarnation != e->fact.incarnation ||
		fact->version > e->fact.version);
}

static bool
is_newer(const struct entry *e, const struct pb_fact *fact, int64_t now_us)
{
	if (e->fact.version == 0 || now_us >= e->expires_us)
		return true;
	if (digest_is_shared(fact->kind))
		return is_newer_shared(e, fact, now_us);
	if (fact->incarnation != e->fact.incarnation)
		return fact->incarnation > e->fact.incarnation;
	return fact->version > e->fact.version;
}

static bool
is_same_fact(const struct entry *e, const struct pb_fact *fact)
{
	return memcmp(e->fact.value, fact->value, PB_FACT_VALUE_MAX) == 0 &&
	    (digest_is_shared(fact->kind) ||
		(e->fact.version == fact->version &&
		    e->fact.incarnation == fact->incarnation));
}

static void
merge_fact(struct pb_digest *d, const struct pb_fact *fact, int64_t now_us,
    pb_fact_fn *fn, void *arg)
{
	bool own = fact->origin == d->policy.self;
	struct entry *e;

	if (!own &&
	    !digest_accept_incarnation(
		d, fact->origin, fact->incarnation, now_us))
		return;
	e = digest_find(d, fact->kind, fact->subject, fact->origin);
	if (e != NULL && !is_newer(e, fact, now_us)) {
		if (!is_same_fact(e, fact))
			return;
		e->merged_seq = d->seq;
		/*
		 * A duplicate shows that many routers have the fact. It counts
		 * as a send for loads, demand and the states of routers, of
		 * which there are hundreds at a start.
		 */
		if (digest_is_regional(fact->kind) ||
		    fact->kind == PB_FACT_ROUTER)
			digest_count_send(d, e);
		return;
	}
	/* Only pb_publish_fact replaces the facts of this router. */
	if (own)
		return;
	if (e == NULL)
		e = digest_insert(d, fact);
	if (e == NULL)
		return;
	digest_replace(d, e, fact, now_us);
	e->merged_seq = d->seq;
	if (fact->kind == PB_FACT_HEALTH && fact->subject == d->policy.self)
		digest_refute(d, now_us);
	if (fn != NULL)
		fn(arg, fact);
}

/* Decodes all facts and merges them; when d is NULL, only checks them. */
static bool
walk_facts(XDR *xdrs, const struct wire_header *header, size_t len,
    struct pb_digest *d, int64_t now_us, pb_fact_fn *fn, void *arg)
{
	struct pb_fact fact;

	while (xdr_getpos(xdrs) < len) {
		memset(&fact, 0, sizeof(fact));
		if (!wire_fact(xdrs, header, &fact))
			return false;
		if (d != NULL)
			merge_fact(d, &fact, now_us, fn, arg);
	}
	return true;
}

static int
reject(struct pb_context *ctx, struct pb_digest *d, const char *why)
{
	d->stats.rejected++;
	return pb_set_error(ctx, PB_EPROTO, "merge digest", "", "%s", why);
}

static int
merge_digest(struct pb_context *ctx, struct pb_digest *d, const uint8_t *buf,
    size_t len, pb_fact_fn *fn, void *arg, uint32_t *region)
{
	struct wire_header header = {0};
	int64_t now = pb_now(ctx);
	unsigned int start;
	XDR xdrs;

	d->stats.received_bytes += len + DIGEST_OVERHEAD;
	/* xdrmem lengths have 32 bits; a datagram has 64 KB at most. */
	if (len > UINT16_MAX)
		return reject(ctx, d, "digest is too long");
	xdrmem_create(&xdrs, (char *)buf, (unsigned int)len, XDR_DECODE);
	if (!wire_header(&xdrs, &header))
		return reject(ctx, d, "digest header is malformed");
	if (header.fleet != d->policy.fleet)
		return reject(ctx, d, "digest is from another fleet");
	if (header.sender == d->policy.self || header.sender == 0)
		return reject(ctx, d, "digest is from this router itself");
	if (digest_is_stale(d, header.sender, header.incarnation))
		return reject(ctx, d, "digest is from an old incarnation");
	start = xdr_getpos(&xdrs);
	if (!walk_facts(&xdrs, &header, len, NULL, now, NULL, NULL))
		return reject(ctx, d, "digest contains a malformed fact");
	d->seq++;
	digest_accept_incarnation(d, header.sender, header.incarnation, now);
	xdr_setpos(&xdrs, start);
	walk_facts(&xdrs, &header, len, d, now, fn, arg);
	digest_queue_newer_revision(d, header.revision_low);
	*region = header.region;
	return PB_OK;
}

int
pb_merge_digest(struct pb_context *ctx, struct pb_digest *d, const uint8_t *buf,
    size_t len, pb_fact_fn *fn, void *arg)
{
	uint32_t region;

	return merge_digest(ctx, d, buf, len, fn, arg, &region);
}

int
pb_answer_digest(struct pb_context *ctx, struct pb_digest *d, const uint8_t *in,
    size_t in_len, pb_fact_fn *fn, void *arg, uint8_t *out, size_t cap,
    size_t *out_len)
{
	struct target to = {0};
	uint32_t region = 0;
	int rc = merge_digest(ctx, d, in, in_len, fn, arg, &region);

	*out_len = 0;
	if (rc != PB_OK)
		return rc;
	to.merged_seq = d->seq;
	to.other_region = region != d->policy.region;
	*out_len = pack_digest(ctx, d, out, cap, &to);
	if (*out_len == 0)
		pb_charge_digest_budget(ctx, d, DIGEST_OVERHEAD);
	return PB_OK;
}

int
pb_read_digest_sender(struct pb_context *ctx, const uint8_t *buf, size_t len,
    uint64_t *sender, uint64_t *incarnation)
{
	struct wire_header header = {0};
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)buf,
	    (unsigned int)(len < DIGEST_HEADER ? len : DIGEST_HEADER),
	    XDR_DECODE);
	if (!wire_header(&xdrs, &header))
		return pb_set_error(ctx, PB_EPROTO, "read digest sender", "",
		    "digest header is malformed");
	*sender = header.sender;
	*incarnation = header.incarnation;
	return PB_OK;
}
