#include "platform-http.h"

/*
 * Finds the elements of an array in a JSON document without parsing them, so
 * that an element which the parser rejects does not hide the others.
 */

static size_t
skip_space(struct pb_str text, size_t at)
{
	while (at < text.len &&
	    (text.data[at] == ' ' || text.data[at] == '\t' ||
		text.data[at] == '\n' || text.data[at] == '\r'))
		at++;
	return at;
}

/* at: offset of the opening quote. Returns the offset after the closing one. */
static size_t
skip_string(struct pb_str text, size_t at)
{
	for (at++; at < text.len && text.data[at] != '"'; at++) {
		if (text.data[at] == '\\')
			at++;
	}
	return at < text.len ? at + 1 : text.len;
}

/* Returns the offset of the comma or bracket that follows the value. */
static size_t
skip_value(struct pb_str text, size_t at)
{
	size_t depth = 0;

	while (at < text.len) {
		char c = text.data[at];

		if (c == '"') {
			at = skip_string(text, at);
			continue;
		}
		if (depth == 0 && (c == ',' || c == ']' || c == '}'))
			return at;
		if (c == '[' || c == '{')
			depth++;
		else if (c == ']' || c == '}')
			depth--;
		at++;
	}
	return at;
}

static bool
has_char(struct pb_str text, size_t at, char c)
{
	return at < text.len && text.data[at] == c;
}

/* Returns true if nothing but space and the object's end follow. */
static bool
is_end(struct pb_str text, size_t at)
{
	return has_char(text, at, '}') && skip_space(text, at + 1) == text.len;
}

/*
 * Reads the member of an object that begins at *at and moves *at to the comma
 * or bracket after it.
 */
static bool
read_member(
    struct pb_str text, size_t *at, struct pb_str *name, struct pb_str *value)
{
	size_t start = skip_space(text, *at), end, colon;

	if (!has_char(text, start, '"'))
		return false;
	end = skip_string(text, start);
	colon = skip_space(text, end);
	if (!has_char(text, colon, ':'))
		return false;
	*name = (struct pb_str){text.data + start + 1, end - start - 2};
	start = skip_space(text, colon + 1);
	*at = skip_value(text, start);
	*value = (struct pb_str){text.data + start, *at - start};
	return true;
}

bool
pb_find_array(struct pb_str text, const char *name, struct pb_str *array)
{
	size_t at = skip_space(text, 0);
	struct pb_str member, value;
	bool found = false;

	if (!has_char(text, at, '{'))
		return false;
	do {
		at++;
		if (!read_member(text, &at, &member, &value))
			return false;
		if (!found && pb_str_equal_c(member, name)) {
			found = has_char(value, 0, '[');
			*array = value;
		}
	} while (has_char(text, at, ','));
	return found && is_end(text, at);
}

bool
pb_next_element(struct pb_str array, size_t *at, struct pb_str *element)
{
	size_t start = skip_space(array, *at + 1);
	size_t end = skip_value(array, start);

	if (start >= array.len || has_char(array, start, ']'))
		return false;
	*at = end;
	*element = (struct pb_str){array.data + start, end - start};
	return true;
}
