#ifndef POPLARBEAM_PEER_H
#define POPLARBEAM_PEER_H

#include "poplarbeam/base.h"

/*
 * ONC RPC between routers: digests over UDP, settings and events over TCP.
 * Addresses are numeric, for example "10.0.0.1:4100" or "[::1]:4100". rpcbind
 * is not used.
 */

#define PB_PEER_DIGEST_MAX 8192 /* bytes */

/*
 * Bytes on the wire, including IP, UDP and TCP headers. The size of TCP headers
 * is an estimate: 364 bytes per connection and 52 bytes per 1,448 bytes of
 * data.
 */
struct pb_peer_counts {
	_Atomic uint64_t sent;
	_Atomic uint64_t received;
};

/*
 * Handlers of RPC calls. They are called from the server's thread with a
 * context of that thread; arg is the pointer passed to pb_new_peer_server.
 */
struct pb_peer_ops {
	/*
	 * Handles the digest of a peer and writes a reply of up to cap bytes to
	 * out. No reply is sent if the result is not PB_OK.
	 */
	int (*exchange)(struct pb_context *ctx, void *arg, const uint8_t *in,
	    size_t in_len, uint8_t *out, size_t cap, size_t *out_len);
	/*
	 * Sets *revision to the revision in force and appends its text if it is
	 * newer than known, the revision that the peer has. If the result is
	 * not PB_OK, the peer's call fails.
	 */
	int (*fetch_settings)(struct pb_context *ctx, void *arg, uint64_t known,
	    uint64_t *revision, struct pb_buf *text);
	/* Appends the events that match filter as JSON. */
	int (*fetch_events)(struct pb_context *ctx, void *arg,
	    const char *filter, struct pb_buf *json);
};

struct pb_peer_server;

/*
 * Binds address for UDP and TCP and starts the server's thread. Port 0 selects
 * any free port. ops, arg and counts, and the clock and log of ctx, must stay
 * valid until the server is dropped. counts may be NULL. Returns NULL on error.
 */
struct pb_peer_server *pb_new_peer_server(struct pb_context *ctx,
    const char *address, const struct pb_peer_ops *ops, void *arg,
    struct pb_peer_counts *counts);
/*
 * Stops the thread, waiting for a handler in progress, closes all sockets and
 * frees the server. server may be NULL.
 */
void pb_drop_peer_server(struct pb_context *ctx, struct pb_peer_server *server);
/*
 * Returns the server's address with the port that was bound. The string is
 * valid as long as the server.
 */
const char *pb_peer_server_address(const struct pb_peer_server *server);

/*
 * The functions below block for at most timeout_us microseconds and may be
 * called from several threads at once. counts may be NULL. They return PB_OK,
 * PB_EINVAL (invalid address or size), PB_EUNAVAIL (connection refused),
 * PB_ETIMEDOUT, PB_EPROTO or PB_ENOMEM.
 */

/* Sends a digest and copies the digest in the peer's reply to out. */
int pb_exchange_digest(struct pb_context *ctx, const char *peer,
    const uint8_t *in, size_t in_len, uint8_t *out, size_t cap, size_t *out_len,
    int64_t timeout_us, struct pb_peer_counts *counts);
/*
 * Sets *revision to the peer's settings revision and appends the settings text.
 * The text is empty if the peer has no revision newer than known.
 */
int pb_fetch_peer_settings(struct pb_context *ctx, const char *peer,
    uint64_t known, uint64_t *revision, struct pb_buf *text, int64_t timeout_us,
    struct pb_peer_counts *counts);
/* Appends the peer's events that match filter as JSON. */
int pb_fetch_peer_events(struct pb_context *ctx, const char *peer,
    const char *filter, struct pb_buf *json, int64_t timeout_us,
    struct pb_peer_counts *counts);

#endif
