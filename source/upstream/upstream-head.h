#ifndef UPSTREAM_HEAD_H
#define UPSTREAM_HEAD_H

#include "poplarbeam/upstream.h"

/*
 * Parser for the head of an HTTP response. It is fed line by line; lines end
 * with LF. A further status line resets the head, because 1xx responses precede
 * the final one.
 */

/* Maximum number of headers from an upstream; 4 are reserved for relays. */
#define UPSTREAM_HEADERS_MAX (PB_CALL_HEADERS_MAX - 4)

/*
 * Maximum size of the lines up to the end of the final head, in bytes. Interim
 * responses count, as an upstream may send them without end.
 */
#define UPSTREAM_HEAD_BYTES_MAX 65536

enum head_result {
	HEAD_INCOMPLETE, /* more lines are expected */
	HEAD_COMPLETE, /* returned once, at the end of the final head */
	HEAD_INVALID /* invalid; the reason is in fault */
};

struct response_head {
	struct pb_arena *arena; /* holds the names and values of headers */
	const char *fault; /* reason for HEAD_INVALID, else NULL */
	int status;
	struct pb_header headers[PB_CALL_HEADERS_MAX];
	size_t header_count;
	size_t bytes; /* of all lines so far */
	size_t upstream_header_count; /* headers that routers do not set */
	bool framed; /* has a Content-Length or is chunked */
	bool chunked;
	bool done; /* the head ended; later lines are ignored trailers */
};

/* Parses one line of the head. */
enum head_result parse_response_head_line(
    struct response_head *head, const char *line, size_t len);

#endif
