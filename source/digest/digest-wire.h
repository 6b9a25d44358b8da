#ifndef DIGEST_WIRE_H
#define DIGEST_WIRE_H

#include "digest-store.h"

#include <rpc/rpc.h>

struct wire_header {
	uint64_t fleet;
	uint64_t sender;
	uint64_t incarnation;
	uint32_t region;
	uint32_t mark;
};

/*
 * Encodes or decodes the header or one fact, by the direction of xdrs. A fact
 * omits its origin when that is the sender, and its subject when that is the
 * origin. Returns false when the data is malformed or does not fit.
 */
bool wire_header(XDR *xdrs, struct wire_header *header);
bool wire_fact(
    XDR *xdrs, const struct wire_header *header, struct pb_fact *fact);
/* Encoded bytes of a fact. */
size_t wire_fact_size(
    const struct wire_header *header, const struct pb_fact *fact);

#endif
