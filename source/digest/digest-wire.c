#include "digest-wire.h"

#include <string.h>

/* Flags in the first word of a fact; the fourth bit must be 0. */
#define FACT_OWN 1U /* stated by the sender: no origin, no incarnation */
#define FACT_SELF 2U /* the subject is the origin: no subject */
#define FACT_NARROW 4U /* the incarnation has 32 bits */
#define FACT_FLAGS 7U

/* First word: kind in 4 bits, flags in 4, length in 8, time to live in 16. */
#define KIND_SHIFT 28
#define FLAG_SHIFT 24
#define LEN_SHIFT 16

static bool
wire_u64(XDR *xdrs, uint64_t *v)
{
	uint32_t high = (uint32_t)(*v >> 32), low = (uint32_t)*v;

	if (!xdr_u_int32_t(xdrs, &high) || !xdr_u_int32_t(xdrs, &low))
		return false;
	*v = (uint64_t)high << 32 | low;
	return true;
}

bool
wire_header(XDR *xdrs, struct wire_header *header)
{
	uint32_t magic = DIGEST_MAGIC;

	return xdr_u_int32_t(xdrs, &magic) && magic == DIGEST_MAGIC &&
	    wire_u64(xdrs, &header->fleet) && wire_u64(xdrs, &header->sender) &&
	    wire_u64(xdrs, &header->incarnation) &&
	    xdr_u_int32_t(xdrs, &header->region) &&
	    xdr_u_int32_t(xdrs, &header->mark);
}

static uint32_t
fact_flags(const struct wire_header *header, const struct pb_fact *fact)
{
	uint32_t flags = 0;

	if (fact->origin == header->sender &&
	    fact->incarnation == header->incarnation)
		flags |= FACT_OWN;
	else if (fact->incarnation <= UINT32_MAX)
		flags |= FACT_NARROW;
	if (fact->subject == fact->origin)
		flags |= FACT_SELF;
	return flags;
}

size_t
wire_fact_size(const struct wire_header *header, const struct pb_fact *fact)
{
	uint32_t flags = fact_flags(header, fact);
	size_t size = 4 + 4 + (fact->len + 3U) / 4 * 4;

	if ((flags & FACT_SELF) == 0)
		size += 8;
	if ((flags & FACT_OWN) == 0)
		size += (flags & FACT_NARROW) != 0 ? 12 : 16;
	return size;
}

static bool
wire_origin(XDR *xdrs, const struct wire_header *header, uint32_t flags,
    struct pb_fact *fact)
{
	uint32_t narrow = (uint32_t)fact->incarnation;

	if ((flags & FACT_OWN) != 0) {
		fact->origin = header->sender;
		fact->incarnation = header->incarnation;
		return true;
	}
	if (!wire_u64(xdrs, &fact->origin))
		return false;
	if ((flags & FACT_NARROW) == 0)
		return wire_u64(xdrs, &fact->incarnation);
	if (!xdr_u_int32_t(xdrs, &narrow))
		return false;
	fact->incarnation = narrow;
	return true;
}

/* Takes the first word apart; false when it is malformed. */
static bool
split_word(uint32_t word, uint32_t *flags, struct pb_fact *fact)
{
	*flags = word >> FLAG_SHIFT & 0xf;
	fact->kind = (uint8_t)(word >> KIND_SHIFT);
	fact->len = (uint8_t)(word >> LEN_SHIFT);
	fact->ttl_ms =
	    (uint32_t)((word & 0xffff) * (DIGEST_TTL_UNIT / PB_MSEC));
	return (*flags & ~FACT_FLAGS) == 0 && fact->kind >= PB_FACT_ROUTER &&
	    fact->kind < PB_FACT_KIND_END && fact->len <= PB_FACT_VALUE_MAX &&
	    fact->ttl_ms > 0;
}

bool
wire_fact(XDR *xdrs, const struct wire_header *header, struct pb_fact *fact)
{
	uint32_t flags = fact_flags(header, fact);
	uint32_t version = (uint32_t)fact->version;
	uint32_t word = (uint32_t)fact->kind << KIND_SHIFT |
	    flags << FLAG_SHIFT | (uint32_t)fact->len << LEN_SHIFT |
	    (uint32_t)(fact->ttl_ms / (DIGEST_TTL_UNIT / PB_MSEC));

	if (!xdr_u_int32_t(xdrs, &word) || !split_word(word, &flags, fact) ||
	    !wire_origin(xdrs, header, flags, fact))
		return false;
	if ((flags & FACT_SELF) != 0)
		fact->subject = fact->origin;
	else if (!wire_u64(xdrs, &fact->subject))
		return false;
	if (!xdr_u_int32_t(xdrs, &version) || version == 0 || fact->origin == 0)
		return false;
	fact->version = version;
	if (xdrs->x_op == XDR_DECODE)
		memset(fact->value, 0, sizeof(fact->value));
	return xdr_opaque(xdrs, (char *)fact->value, fact->len);
}
