#include "poplarbeam/base.h"

#include <stdlib.h>
#include <string.h>

struct pb_str
pb_str_from(const char *cstr)
{
	struct pb_str s = {cstr, cstr != NULL ? strlen(cstr) : 0};

	return s;
}

bool
pb_str_equal(struct pb_str a, struct pb_str b)
{
	return a.len == b.len &&
	    (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

bool
pb_str_equal_c(struct pb_str a, const char *b)
{
	return pb_str_equal(a, pb_str_from(b));
}

bool
pb_is_printable(const char *cstr)
{
	for (; *cstr != '\0'; cstr++) {
		if (*cstr <= ' ' || *cstr > '~')
			return false;
	}
	return true;
}

void
pb_copy_str(char *dst, size_t cap, const char *src)
{
	size_t len = src != NULL ? strnlen(src, cap - 1) : 0;

	if (len > 0)
		memcpy(dst, src, len);
	dst[len] = '\0';
}

static int
set_capacity(struct pb_buf *buf, size_t cap)
{
	char *data = realloc(buf->data, cap);

	if (data == NULL)
		return PB_ENOMEM;
	buf->data = data;
	buf->cap = cap;
	return PB_OK;
}

static int
grow_buf(struct pb_buf *buf, size_t extra)
{
	size_t need = buf->len + extra + 1;
	size_t cap = buf->cap > 0 ? buf->cap : 256;

	if (need <= buf->cap)
		return PB_OK;
	while (cap < need)
		cap *= 2;
	return set_capacity(buf, cap);
}

int
pb_reserve_buf(struct pb_buf *buf, size_t len)
{
	return len < buf->cap ? PB_OK : set_capacity(buf, len + 1);
}

int
pb_append_buf(struct pb_buf *buf, const void *data, size_t len)
{
	if (grow_buf(buf, len) != PB_OK)
		return PB_ENOMEM;
	if (len > 0)
		memcpy(buf->data + buf->len, data, len);
	buf->len += len;
	buf->data[buf->len] = '\0';
	return PB_OK;
}

int
pb_append_fmt(struct pb_buf *buf, const char *fmt, ...)
{
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (len < 0 || grow_buf(buf, (size_t)len) != PB_OK)
		return PB_ENOMEM;
	va_start(ap, fmt);
	vsnprintf(buf->data + buf->len, (size_t)len + 1, fmt, ap);
	va_end(ap);
	buf->len += (size_t)len;
	return PB_OK;
}

void
pb_clear_buf(struct pb_buf *buf)
{
	free(buf->data);
	memset(buf, 0, sizeof(*buf));
}

void
pb_put_u64(uint8_t *out, uint64_t value)
{
	int i;

	for (i = 0; i < 8; i++)
		out[i] = (uint8_t)(value >> (56 - 8 * i));
}

uint64_t
pb_get_u64(const uint8_t *in)
{
	uint64_t v = 0;
	int i;

	for (i = 0; i < 8; i++)
		v = v << 8 | in[i];
	return v;
}
