#include "poplarbeam/http.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

/*
 * Added to the limit of the head for the first line: the method, the version
 * and the spaces of a request line, or a whole status line.
 */
#define FIRST_LINE_MAX 64 /* bytes */
/* Least size of a field line: a name of one byte, a colon and the line end. */
#define FIELD_LINE_MIN 4 /* bytes */

static struct pb_http_reader *
get_reader(http_parser *parser)
{
	return parser->data;
}

/* Appends to the head's text; returns false if the head gets too large. */
static bool
append_text(struct pb_http_reader *r, const char *at, size_t len)
{
	if (r->head.text.len + len > r->head_max + FIRST_LINE_MAX) {
		r->error = PB_HTTP_HEAD_TOO_LARGE;
		return false;
	}
	return pb_append_buf(&r->head.text, at, len) == PB_OK;
}

static int
on_target(http_parser *parser, const char *at, size_t len)
{
	struct pb_http_reader *r = get_reader(parser);

	if (!append_text(r, at, len))
		return -1;
	r->head.target_len += len;
	return 0;
}

/* Adds a field that begins at the end of the text. */
static bool
add_field(struct pb_http_reader *r)
{
	struct pb_http_head *h = &r->head;

	if (h->field_count == h->field_cap) {
		size_t cap = h->field_cap == 0 ? 16 : h->field_cap * 2;
		struct pb_http_field *fields =
		    realloc(h->fields, cap * sizeof(*fields));

		if (fields == NULL) {
			r->error = PB_HTTP_NO_ROOM;
			return false;
		}
		h->fields = fields;
		h->field_cap = cap;
	}
	h->fields[h->field_count++] =
	    (struct pb_http_field){(uint32_t)h->text.len, 0, 0, 0};
	return true;
}

static int
on_name(http_parser *parser, const char *at, size_t len)
{
	struct pb_http_reader *r = get_reader(parser);
	struct pb_http_head *h = &r->head;

	/* Trailer fields after a chunked body are not part of the head. */
	if (r->head_done)
		return 0;
	if (r->in_value || h->field_count == 0) {
		if (!add_field(r))
			return -1;
		r->in_value = false;
	}
	if (!append_text(r, at, len))
		return -1;
	h->fields[h->field_count - 1].name_len += (uint32_t)len;
	return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
	struct pb_http_reader *r = get_reader(parser);
	struct pb_http_field *f;

	if (r->head_done)
		return 0;
	f = &r->head.fields[r->head.field_count - 1];
	if (!r->in_value) {
		f->value = (uint32_t)r->head.text.len;
		r->in_value = true;
	}
	if (!append_text(r, at, len))
		return -1;
	f->value_len += (uint32_t)len;
	return 0;
}

static bool
is_number(struct pb_str v)
{
	size_t i;

	for (i = 0; i < v.len; i++) {
		if (v.data[i] < '0' || v.data[i] > '9')
			return false;
	}
	return v.len > 0;
}

/*
 * HTTP/1.0 has no transfer codings: an HTTP/1.0 parser would expect a
 * Content-Length instead.
 */
static bool
is_http_1_0(const http_parser *parser)
{
	return parser->http_major == 1 && parser->http_minor == 0;
}

/*
 * Returns true if the name is empty or has a space. Other HTTP parsers may
 * ignore the space, or the whole field.
 */
static bool
is_bad_field_name(struct pb_str name)
{
	return name.len == 0 || memchr(name.data, ' ', name.len) != NULL;
}

/*
 * Returns true if every HTTP parser finds the end of the message at the same
 * place. http-parser accepts transfer codings that others may interpret
 * differently, so only a single "chunked" is allowed. It also ignores some
 * folded fields that it still reports, so the framing it uses is compared with
 * the reported fields.
 */
static bool
is_framing_clear(const struct pb_http_head *h, const http_parser *parser)
{
	size_t i, codings = 0, lengths = 0, hosts = 0;
	bool chunked = (parser->flags & F_CHUNKED) != 0;

	for (i = 0; i < h->field_count; i++) {
		struct pb_str name = pb_http_name(h, i);
		struct pb_str value = pb_http_value(h, i);

		if (is_bad_field_name(name))
			return false;
		if (pb_same_http_name(name, "Transfer-Encoding")) {
			if (!pb_same_http_name(value, "chunked"))
				return false;
			codings++;
		} else if (pb_same_http_name(name, "Content-Length")) {
			if (!is_number(value))
				return false;
			lengths++;
		} else if (pb_same_http_name(name, "Host")) {
			hosts++;
		}
	}
	if (chunked != (codings == 1) || (codings > 0 && is_http_1_0(parser)))
		return false;
	return codings + lengths <= 1 && hosts <= 1;
}

static int
on_head_done(http_parser *parser)
{
	struct pb_http_reader *r = get_reader(parser);

	if (!is_framing_clear(&r->head, parser)) {
		r->error = PB_HTTP_MALFORMED;
		return -1;
	}
	r->head_done = true;
	r->head.method = parser->method;
	r->head.status = parser->status_code;
	r->head.keep_alive = http_should_keep_alive(parser) != 0;
	r->head.until_close = parser->type == HTTP_RESPONSE && !r->no_body &&
	    (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
	if (r->ops != NULL && r->ops->head != NULL)
		r->ops->head(r);
	if (r->error != PB_HTTP_OK)
		return -1;
	return r->no_body ? 1 : 0;
}

static int
on_chunk(http_parser *parser)
{
	struct pb_http_reader *r = get_reader(parser);

	r->chunk_left = parser->content_length;
	r->at_chunk_start = true;
	return 0;
}

/* Returns the n-th byte before at, which may be from the previous call. */
static char
byte_before(const struct pb_http_reader *r, const char *at, int n)
{
	if (at - r->feed_start >= n)
		return at[-n];
	return r->last[2 - n + (at - r->feed_start)];
}

/*
 * Checks the bytes received so far of the CRLF after a chunk. Returns false if
 * they are anything else.
 */
static bool
check_chunk_end(struct pb_http_reader *r, const char *at)
{
	for (; r->chunk_end_left > 0 && at < r->feed_end; at++) {
		if (*at != (r->chunk_end_left == 2 ? '\r' : '\n'))
			return false;
		r->chunk_end_left--;
	}
	return true;
}

/*
 * Checks the line ends around the data of a chunk, because http-parser accepts
 * any two bytes there.
 */
static bool
check_chunk(struct pb_http_reader *r, bool first, const char *at, size_t len)
{
	if (first &&
	    (byte_before(r, at, 2) != '\r' || byte_before(r, at, 1) != '\n'))
		return false;
	r->chunk_left -= len;
	if (r->chunk_left > 0)
		return true;
	r->chunk_end_left = 2;
	return check_chunk_end(r, at + len);
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
	struct pb_http_reader *r = get_reader(parser);

	if ((parser->flags & F_CHUNKED) != 0 &&
	    !check_chunk(r, r->at_chunk_start, at, len)) {
		r->error = PB_HTTP_MALFORMED;
		return -1;
	}
	r->at_chunk_start = false;
	r->body_len += len;
	if (r->body_len > r->body_max) {
		r->error = PB_HTTP_BODY_TOO_LARGE;
		return -1;
	}
	if (r->ops != NULL && r->ops->body != NULL)
		r->ops->body(r, (struct pb_str){at, len});
	return r->error == PB_HTTP_OK ? 0 : -1;
}

static int
on_done(http_parser *parser)
{
	struct pb_http_reader *r = get_reader(parser);

	r->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

void
pb_init_http_reader(struct pb_http_reader *reader, enum http_parser_type type,
    const struct pb_http_ops *ops, void *owner, size_t head_max,
    size_t body_max)
{
	memset(reader, 0, sizeof(*reader));
	reader->ops = ops;
	reader->owner = owner;
	reader->head_max = head_max;
	reader->body_max = body_max;
	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
}

void
pb_clear_http_reader(struct pb_http_reader *reader)
{
	pb_clear_buf(&reader->head.text);
	free(reader->head.fields);
	reader->head.fields = NULL;
	reader->head.field_cap = 0;
}

void
pb_reset_http_reader(struct pb_http_reader *reader)
{
	enum http_parser_type type = reader->parser.type;

	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
	reader->head.text.len = 0;
	reader->head.field_count = 0;
	reader->head.target_len = 0;
	reader->head.status = 0;
	reader->body_len = 0;
	reader->chunk_end_left = 0;
	reader->in_line = false;
	reader->after_cr = false;
	reader->over_limit = false;
	reader->lines = 0;
	reader->line_bytes = 0;
	reader->past_first_line = false;
	reader->past_head = false;
	reader->in_value = false;
	reader->started = false;
	reader->head_done = false;
	reader->complete = false;
	reader->no_body = false;
	reader->error = PB_HTTP_OK;
}

static const http_parser_settings callbacks = {.on_url = on_target,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_head_done,
    .on_chunk_header = on_chunk,
    .on_body = on_body,
    .on_message_complete = on_done};

/* Counts a byte of the head; returns false if the head is too large. */
static bool
fits_limits(struct pb_http_reader *r, char byte)
{
	if (byte != '\n' && byte != '\r') {
		r->lines += !r->in_line;
		r->line_bytes++;
	}
	/*
	 * The text of the head omits at least one byte of each line, and up to
	 * FIRST_LINE_MAX bytes of the first line.
	 */
	return r->lines <= r->head_max / FIELD_LINE_MIN + 1 &&
	    r->line_bytes <= r->head_max + r->lines + FIRST_LINE_MAX;
}

/*
 * Returns the offset of the first byte of the head that HTTP parsers interpret
 * differently or that exceeds a limit, or len if there is none. A line that
 * begins with a space or tab continues the previous field for some parsers
 * only; http-parser joins the two. It also accepts a CR followed by any byte as
 * the end of the head.
 */
static size_t
find_ambiguity(struct pb_http_reader *r, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len && !r->past_head; i++) {
		if (r->after_cr && data[i] != '\n')
			return i;
		if (!fits_limits(r, data[i])) {
			r->over_limit = true;
			return i;
		}
		r->after_cr = data[i] == '\r';
		if (data[i] == '\n') {
			r->past_head = !r->in_line && r->past_first_line;
			r->past_first_line = r->past_first_line || r->in_line;
			r->in_line = false;
		} else if (data[i] != '\r') {
			if (!r->in_line && r->past_first_line &&
			    (data[i] == ' ' || data[i] == '\t'))
				return i;
			r->in_line = true;
		}
	}
	return len;
}

static void
save_last_bytes(struct pb_http_reader *r, const char *data, size_t len)
{
	if (len == 1)
		r->last[0] = r->last[1];
	if (len > 1)
		r->last[0] = data[len - 2];
	if (len > 0)
		r->last[1] = data[len - 1];
}

size_t
pb_feed_http(struct pb_http_reader *reader, const char *data, size_t len)
{
	enum http_errno err;
	size_t clear_len, n = 0;

	if (reader->complete || reader->error != PB_HTTP_OK)
		return 0;
	reader->started = reader->started || len > 0;
	reader->feed_start = data;
	reader->feed_end = data + len;
	if (!check_chunk_end(reader, data)) {
		reader->error = PB_HTTP_MALFORMED;
		return 0;
	}
	clear_len = find_ambiguity(reader, data, len);
	if (clear_len > 0 || len == 0)
		n = http_parser_execute(
		    &reader->parser, &callbacks, data, clear_len);
	save_last_bytes(reader, data, len);
	err = HTTP_PARSER_ERRNO(&reader->parser);
	if (err != HPE_OK && err != HPE_PAUSED && reader->error == PB_HTTP_OK)
		reader->error = PB_HTTP_MALFORMED;
	if (clear_len < len && !reader->complete && reader->error == PB_HTTP_OK)
		reader->error = reader->over_limit ? PB_HTTP_HEAD_TOO_LARGE
						   : PB_HTTP_MALFORMED;
	return n;
}

uint64_t
pb_http_body_length(const struct pb_http_reader *reader)
{
	uint64_t len = reader->parser.content_length;

	return len == ULLONG_MAX ? 0 : len;
}

bool
pb_http_expects_body(const struct pb_http_reader *reader)
{
	return (reader->parser.flags & F_CHUNKED) != 0 ||
	    pb_http_body_length(reader) > 0;
}

bool
pb_finish_http(struct pb_http_reader *reader)
{
	if (reader->complete)
		return true;
	if (reader->error != PB_HTTP_OK || !reader->head_done)
		return false;
	http_parser_execute(&reader->parser, &callbacks, NULL, 0);
	return reader->complete;
}
