#include "poplarbeam/upstream.h"

#include <string.h>
#include <strings.h>

struct pb_str
pb_find_header(const struct pb_header *headers, size_t count, const char *name)
{
	size_t i, len = strlen(name);

	for (i = 0; i < count; i++) {
		if (headers[i].name.len == len &&
		    strncasecmp(headers[i].name.data, name, len) == 0)
			return headers[i].value;
	}
	return PB_STR_NONE;
}

bool
pb_is_token(struct pb_str text)
{
	size_t i;

	for (i = 0; i < text.len; i++) {
		unsigned char ch = (unsigned char)text.data[i];

		if (ch <= ' ' || ch >= 0x7f ||
		    strchr("\"(),/:;<=>?@[\\]{}", ch) != NULL)
			return false;
	}
	return text.len > 0;
}

bool
pb_is_valid_header(const struct pb_header *header)
{
	size_t i;

	for (i = 0; i < header->value.len; i++) {
		unsigned char ch = (unsigned char)header->value.data[i];

		if ((ch < ' ' && ch != '\t') || ch == 0x7f)
			return false;
	}
	return pb_is_token(header->name);
}

bool
pb_is_router_header(struct pb_str name)
{
	return (name.len >= 5 && strncasecmp(name.data, "X-Pb-", 5) == 0) ||
	    (name.len >= 13 &&
		strncasecmp(name.data, "X-Poplarbeam-", 13) == 0);
}

static int
buffer_head(struct pb_sink *sink, int status, const struct pb_header *headers,
    size_t count)
{
	struct pb_buffer_sink *b = (struct pb_buffer_sink *)sink;
	struct pb_str type = pb_find_header(headers, count, "Content-Type");
	struct pb_str etag = pb_find_header(headers, count, "ETag");

	b->status = status;
	if (type.len > 0 && type.len < sizeof(b->content_type))
		memcpy(b->content_type, type.data, type.len);
	if (etag.len > 0 && etag.len < sizeof(b->etag))
		memcpy(b->etag, etag.data, etag.len);
	return 0;
}

static int
buffer_body(struct pb_sink *sink, const void *data, size_t len)
{
	struct pb_buffer_sink *b = (struct pb_buffer_sink *)sink;

	if (b->body.len + len > b->limit)
		return PB_EINVAL;
	return pb_append_buf(&b->body, data, len);
}

void
pb_init_buffer_sink(struct pb_buffer_sink *sink, size_t limit)
{
	static const struct pb_sink_ops ops = {buffer_head, buffer_body};

	memset(sink, 0, sizeof(*sink));
	sink->base.ops = &ops;
	sink->limit = limit;
}
