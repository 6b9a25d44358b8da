#ifndef RELAY_PARSE_H
#define RELAY_PARSE_H

#include "poplarbeam/relay.h"

/*
 * Reads a relayed request from the headers, whose names and values are
 * terminated and outlive it. False when one is missing or malformed; nothing
 * may then be run.
 */
bool relay_parse(struct pb_context *ctx, const struct pb_header *headers,
    size_t count, struct pb_request *req);

#endif
