#ifndef RELAY_PARSE_H
#define RELAY_PARSE_H

#include "poplarbeam/relay.h"

/*
 * Parses a relayed request from its headers. Names and values of the headers
 * must be null-terminated and stay valid as long as req. Returns false if a
 * required header is missing or any header is malformed; the request must not
 * be run in that case.
 */
bool relay_parse_request(struct pb_context *ctx,
    const struct pb_header *headers, size_t count, struct pb_request *req);

#endif
