#include "digest-wire.h"

#include <string.h>

/* Flags in the first word of a fact; the fourth bit is reserved and 0. */
#define FACT_FROM_SENDER 1U /* no origin and no incarnation follow */
#define FACT_ABOUT_ORIGIN 2U /* no subject follows */
#define FACT_INCARNATION_32 4U /* the incarnation has 32 bits, not 64 */
#define FACT_FLAGS 7U

/* First word: 4 bits kind, 4 flags, 8 length, 16 time to live. */
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
	    xdr_u_int32_t(xdrs, &header->revision_low);
}

static uint32_t
fact_flags(const struct wire_header *header, const struct pb_fact *fact)
{
	uint32_t flags = 0;

	if (fact->origin == header->sender &&
	    fact->incarnation == header->incarnation)
		flags |= FACT_FROM_SENDER;
	else if (fact->incarnation <= UINT32_MAX)
		flags |= FACT_INCARNATION_32;
	if (fact->subject == fact->origin)
		flags |= FACT_ABOUT_ORIGIN;
	return flags;
}

size_t
wire_fact_size(const struct wire_header *header, const struct pb_fact *fact)
{
	uint32_t flags = fact_flags(header, fact);
	size_t size = 4 + 4 + (fact->len + 3U) / 4 * 4;

	if ((flags & FACT_ABOUT_ORIGIN) == 0)
		size += 8;
	if ((flags & FACT_FROM_SENDER) == 0)
		size += (flags & FACT_INCARNATION_32) != 0 ? 12 : 16;
	return size;
}

static bool
wire_origin(XDR *xdrs, const struct wire_header *header, uint32_t flags,
    struct pb_fact *fact)
{
	uint32_t narrow = (uint32_t)fact->incarnation;

	if ((flags & FACT_FROM_SENDER) != 0) {
		fact->origin = header->sender;
		fact->incarnation = header->incarnation;
		return true;
	}
	if (!wire_u64(xdrs, &fact->origin))
		return false;
	if ((flags & FACT_INCARNATION_32) == 0)
		return wire_u64(xdrs, &fact->incarnation);
	if (!xdr_u_int32_t(xdrs, &narrow))
		return false;
	fact->incarnation = narrow;
	return true;
}

/* Decodes the first word; returns false when it is malformed. */
static bool
decode_first_word(uint32_t word, uint32_t *flags, struct pb_fact *fact)
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

	if (!xdr_u_int32_t(xdrs, &word) ||
	    !decode_first_word(word, &flags, fact) ||
	    !wire_origin(xdrs, header, flags, fact))
		return false;
	if ((flags & FACT_ABOUT_ORIGIN) != 0)
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
