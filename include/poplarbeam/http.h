#ifndef POPLARBEAM_HTTP_H
#define POPLARBEAM_HTTP_H

#include "poplarbeam/base.h"

#include <http_parser.h>

/*
 * An incremental HTTP/1.1 reader for the bytes of one connection, based on
 * http-parser. Ambiguous framing is an error (RFC 9112, section 6).
 */

/* Offsets and lengths in the text of the head, in bytes. */
struct pb_http_field {
	uint32_t name;
	uint32_t name_len;
	uint32_t value;
	uint32_t value_len;
};

struct pb_http_head {
	struct pb_buf text; /* the request target, then names and values */
	struct pb_http_field *fields;
	size_t field_count;
	size_t field_cap;
	size_t target_len;
	enum http_method method;
	int status;
	bool keep_alive; /* the connection can carry another message */
	bool
	    until_close; /* a body without a length: ends with the connection */
};

enum pb_http_error {
	PB_HTTP_OK = 0,
	PB_HTTP_MALFORMED,
	PB_HTTP_HEAD_TOO_LARGE,
	PB_HTTP_BODY_TOO_LARGE,
	PB_HTTP_NO_ROOM /* set by a callback: no memory to buffer the body */
};

struct pb_http_reader;

/*
 * Callbacks called by pb_feed_http; each may be NULL. A callback may set the
 * error of the reader, which ends the reading.
 */
struct pb_http_ops {
	/* Called when the head is complete. */
	void (*head)(struct pb_http_reader *reader);
	void (*body)(struct pb_http_reader *reader, struct pb_str part);
};

struct pb_http_reader {
	const struct pb_http_ops *ops;
	void *owner; /* for the callbacks; borrowed */
	http_parser parser;
	struct pb_http_head head;
	size_t head_max; /* bytes */
	size_t body_max; /* bytes */
	size_t body_len; /* bytes read so far */
	/* State of checks that http-parser does not make. */
	const char *feed_start; /* start of the bytes being read */
	const char *feed_end;
	char last[2]; /* last two bytes of the previous calls */
	uint64_t chunk_left; /* bytes of chunk data not read yet */
	bool at_chunk_start; /* no chunk data has been read yet */
	int chunk_end_left; /* bytes left of the CRLF after a chunk */
	bool in_line; /* inside a line of the head */
	bool after_cr; /* the last byte of the head was a CR */
	bool past_first_line;
	bool past_head;
	bool over_limit; /* the head has too many lines or bytes */
	size_t lines; /* lines of the head that are not empty */
	size_t line_bytes; /* bytes of these lines without line ends */
	bool in_value;
	bool started; /* a byte of the message has been read */
	bool head_done;
	bool complete;
	bool no_body; /* the response to a HEAD request */
	enum pb_http_error error;
};

/* ops and owner are borrowed; head_max and body_max are in bytes. */
void pb_init_http_reader(struct pb_http_reader *reader,
    enum http_parser_type type, const struct pb_http_ops *ops, void *owner,
    size_t head_max, size_t body_max);
void pb_clear_http_reader(struct pb_http_reader *reader);
/* Prepares the reader for the next message on its connection. */
void pb_reset_http_reader(struct pb_http_reader *reader);
/*
 * Reads up to the end of the message and returns the number of bytes consumed.
 * If that is less than len, complete or error tells the reason.
 */
size_t pb_feed_http(
    struct pb_http_reader *reader, const char *data, size_t len);
/*
 * Returns the length of the body that the head states, in bytes; 0 if it states
 * none. Call from the head callback.
 */
uint64_t pb_http_body_length(const struct pb_http_reader *reader);
/* Returns true if the head announces a body. Call from the head callback. */
bool pb_http_expects_body(const struct pb_http_reader *reader);
/*
 * Call when the peer has closed the connection. Returns true if the message is
 * complete.
 */
bool pb_finish_http(struct pb_http_reader *reader);

struct pb_str pb_http_target(const struct pb_http_head *head);
struct pb_str pb_http_name(const struct pb_http_head *head, size_t i);
struct pb_str pb_http_value(const struct pb_http_head *head, size_t i);
/*
 * Returns the value of the first field with this name, ignoring case, or
 * PB_STR_NONE.
 */
struct pb_str pb_find_http_field(
    const struct pb_http_head *head, const char *name);
/* Compares the names, ignoring case. */
bool pb_same_http_name(struct pb_str a, const char *b);
/* Returns true if the comma-separated list has the word, ignoring case. */
bool pb_http_list_has(struct pb_str list, struct pb_str word);
/*
 * Returns true for fields that apply to a single connection or message framing
 * and are not forwarded.
 */
bool pb_is_hop_by_hop_field(struct pb_str name);
const char *pb_http_reason(int status);

#endif
