#include "backend-filler.h"

#include <stdbool.h>
#include <string.h>

#define INTERIM_RESPONSE "HTTP/1.1 102 X\r\nX-Fill: 0123456789abcdef\r\n\r\n"

void
add_filler(struct evbuffer *out, const char *action)
{
	bool chunked = strcmp(action, "endless-event") == 0;
	char filler[FILLER_BYTES];

	if (strcmp(action, "endless-interim") == 0) {
		evbuffer_add_printf(out, INTERIM_RESPONSE);
		return;
	}
	memset(filler, 'x', sizeof(filler));
	if (chunked)
		evbuffer_add_printf(out, "%x\r\n", FILLER_BYTES);
	evbuffer_add(out, filler, sizeof(filler));
	if (chunked)
		evbuffer_add_printf(out, "\r\n");
}
