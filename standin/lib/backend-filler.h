#ifndef STANDIN_BACKEND_FILLER_H
#define STANDIN_BACKEND_FILLER_H

#include <event2/buffer.h>

/* Length of one piece of filler, in bytes. */
#define FILLER_BYTES 16384

/*
 * Adds one piece of the part that a response of the back end stand-in repeats
 * with this action: interim responses, a chunk, or plain bytes.
 */
void add_filler(struct evbuffer *out, const char *action);

#endif
