#ifndef DIGEST_WIRE_H
#define DIGEST_WIRE_H

#include "digest-store.h"

#include <rpc/rpc.h>

struct wire_header {
	uint64_t fleet;
	uint64_t sender;
	uint64_t incarnation;
	uint32_t region;
	uint32_t revision_low; /* see digest_revision_low */
};

/*
 * Encode or decode the header or one fact, depending on the operation of xdrs.
 * An encoded fact omits its origin when that is the sender, and its subject
 * when that is the origin. They return false when the data is malformed or does
 * not fit.
 */
bool wire_header(XDR *xdrs, struct wire_header *header);
bool wire_fact(
    XDR *xdrs, const struct wire_header *header, struct pb_fact *fact);
/* Returns the encoded length of a fact in bytes. */
size_t wire_fact_size(
    const struct wire_header *header, const struct pb_fact *fact);

#endif
