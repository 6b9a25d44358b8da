#ifndef UPSTREAM_HEAD_H
#define UPSTREAM_HEAD_H

#include "poplarbeam/upstream.h"

/*
 * Head of an answer, read line by line. Lines end with LF. A later status line
 * starts over, because 1xx heads precede the real one.
 */

/* What an upstream may send; the rest of the room is for relays. */
#define HEAD_PLAIN_MAX (PB_CALL_HEADERS_MAX - 4)

enum head_step {
	HEAD_MORE,
	HEAD_DONE, /* once, at the end of the real head */
	HEAD_BAD /* fault says why */
};

struct answer_head {
	struct pb_arena *arena; /* holds names and values */
	const char *fault;
	int status;
	struct pb_header headers[PB_CALL_HEADERS_MAX];
	size_t header_count;
	size_t plain_count; /* headers that are not a relay's */
	bool framed; /* has a length or chunks */
	bool chunked;
	bool done; /* what follows are trailers, which are ignored */
};

enum head_step answer_head_line(
    struct answer_head *head, const char *line, size_t len);

#endif
