#include "poplarbeam/http.h"

#include <string.h>
#include <strings.h>

struct pb_str
pb_http_target(const struct pb_http_head *head)
{
	return (struct pb_str){head->text.data, head->target_len};
}

struct pb_str
pb_http_name(const struct pb_http_head *head, size_t i)
{
	const struct pb_http_field *f = &head->fields[i];

	return (struct pb_str){head->text.data + f->name, f->name_len};
}

struct pb_str
pb_http_value(const struct pb_http_head *head, size_t i)
{
	const struct pb_http_field *f = &head->fields[i];
	struct pb_str v = {head->text.data + f->value, f->value_len};

	while (v.len > 0 &&
	    (v.data[v.len - 1] == ' ' || v.data[v.len - 1] == '\t'))
		v.len--;
	return v;
}

bool
pb_same_http_name(struct pb_str a, const char *b)
{
	return a.len == strlen(b) && strncasecmp(a.data, b, a.len) == 0;
}

struct pb_str
pb_find_http_field(const struct pb_http_head *head, const char *name)
{
	size_t i;

	for (i = 0; i < head->field_count; i++) {
		if (pb_same_http_name(pb_http_name(head, i), name))
			return pb_http_value(head, i);
	}
	return PB_STR_NONE;
}

bool
pb_http_list_has(struct pb_str list, struct pb_str word)
{
	size_t at = 0;

	while (at < list.len) {
		size_t start = at, end;

		while (at < list.len && list.data[at] != ',')
			at++;
		end = at++;
		while (start < end && list.data[start] == ' ')
			start++;
		while (end > start && list.data[end - 1] == ' ')
			end--;
		if (end - start == word.len &&
		    strncasecmp(list.data + start, word.data, word.len) == 0)
			return true;
	}
	return false;
}

bool
pb_is_hop_by_hop_field(struct pb_str name)
{
	static const char *const hop[] = {"connection", "keep-alive",
	    "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	    "content-length", "expect"};
	size_t i;

	for (i = 0; i < sizeof(hop) / sizeof(hop[0]); i++) {
		if (pb_same_http_name(name, hop[i]))
			return true;
	}
	return false;
}

const char *
pb_http_reason(int status)
{
	switch (status) {
#define REASON(code, name, text) \
	case code:               \
		return #text;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	default:
		return "Unknown";
	}
}
