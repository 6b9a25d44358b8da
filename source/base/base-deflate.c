#include "poplarbeam/base.h"

#include <string.h>
#include <zlib.h>

#define CHUNK 16384 /* bytes */

int
pb_deflate(struct pb_buf *buf, struct pb_str in)
{
	z_stream z = {0};
	unsigned char chunk[CHUNK];
	int rc = PB_OK;

	/*
	 * The fastest level suffices because text compresses well, and small
	 * machines have to run this.
	 */
	if (deflateInit(&z, Z_BEST_SPEED) != Z_OK)
		return PB_ENOMEM;
	z.next_in = (unsigned char *)in.data;
	z.avail_in = (uInt)in.len;
	do {
		z.next_out = chunk;
		z.avail_out = sizeof(chunk);
		deflate(&z, Z_FINISH);
		rc = pb_append_buf(buf, chunk, sizeof(chunk) - z.avail_out);
	} while (rc == PB_OK && z.avail_out == 0);
	deflateEnd(&z);
	return rc;
}

int
pb_inflate(struct pb_buf *buf, struct pb_str in, size_t limit)
{
	z_stream z = {0};
	unsigned char chunk[CHUNK];
	int rc = PB_OK, zrc = Z_OK;

	if (inflateInit(&z) != Z_OK)
		return PB_ENOMEM;
	z.next_in = (unsigned char *)in.data;
	z.avail_in = (uInt)in.len;
	while (rc == PB_OK && zrc == Z_OK) {
		z.next_out = chunk;
		z.avail_out = sizeof(chunk);
		zrc = inflate(&z, Z_NO_FLUSH);
		if (z.total_out > limit)
			rc = PB_EPROTO;
		else
			rc = pb_append_buf(
			    buf, chunk, sizeof(chunk) - z.avail_out);
	}
	inflateEnd(&z);
	/* Truncated input does not reach the end of the zlib stream. */
	return rc == PB_OK && zrc != Z_STREAM_END ? PB_EPROTO : rc;
}
