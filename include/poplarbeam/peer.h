#ifndef POPLARBEAM_PEER_H
#define POPLARBEAM_PEER_H

#include "poplarbeam/base.h"

/*
 * ONC RPC between routers: digests over UDP, settings and events over TCP.
 * Addresses are numeric, "10.0.0.1:4100" or "[::1]:4100"; rpcbind is not used.
 */

#define PB_PEER_DIGEST_MAX 8192 /* bytes */

/*
 * Bytes on the wire, with IP, UDP and TCP headers. For TCP the headers are an
 * estimate: 364 bytes per connection and 52 per 1,448 bytes.
 */
struct pb_peer_counts {
	_Atomic uint64_t sent;
	_Atomic uint64_t received;
};

/* Called from the server's thread, with a context of that thread. */
struct pb_peer_ops {
	/*
	 * Answers a digest: writes up to cap bytes to out. With a result other
	 * than PB_OK no reply is sent.
	 */
	int (*exchange)(struct pb_context *ctx, void *arg, const uint8_t *in,
	    size_t in_len, uint8_t *out, size_t cap, size_t *out_len);
	/*
	 * Gives the revision in force, and its text when it is newer than the
	 * revision known to the peer. An error fails the peer's call.
	 */
	int (*fetch_settings)(struct pb_context *ctx, void *arg, uint64_t known,
	    uint64_t *revision, struct pb_buf *text);
	/* Appends the matching events as JSON. */
	int (*fetch_events)(struct pb_context *ctx, void *arg,
	    const char *filter, struct pb_buf *json);
};

struct pb_peer_server;

/*
 * Binds address for UDP and TCP (port 0: any free one) and starts the thread.
 * ops, arg and counts are borrowed and outlive the server; so do the clock and
 * the log of ctx. counts may be NULL. NULL on error.
 */
struct pb_peer_server *pb_new_peer_server(struct pb_context *ctx,
    const char *address, const struct pb_peer_ops *ops, void *arg,
    struct pb_peer_counts *counts);
/* Stops the thread, after the handler that runs, and closes all sockets. */
void pb_drop_peer_server(struct pb_context *ctx, struct pb_peer_server *server);
/* The address with the port that was bound; lives as long as the server. */
const char *pb_peer_server_address(const struct pb_peer_server *server);

/*
 * The calls below block for at most timeout_us and may be made from many
 * threads at once. counts may be NULL. PB_OK, PB_EINVAL (address or size),
 * PB_EUNAVAIL (refused), PB_ETIMEDOUT, PB_EPROTO or PB_ENOMEM.
 */

/* Sends a digest and copies the peer's answer to out. */
int pb_exchange_digest(struct pb_context *ctx, const char *peer,
    const uint8_t *in, size_t in_len, uint8_t *out, size_t cap, size_t *out_len,
    int64_t timeout_us, struct pb_peer_counts *counts);
/* Sets *revision and appends the text; no text when known is current. */
int pb_fetch_peer_settings(struct pb_context *ctx, const char *peer,
    uint64_t known, uint64_t *revision, struct pb_buf *text, int64_t timeout_us,
    struct pb_peer_counts *counts);
/* Appends the events that match filter as JSON. */
int pb_fetch_peer_events(struct pb_context *ctx, const char *peer,
    const char *filter, struct pb_buf *json, int64_t timeout_us,
    struct pb_peer_counts *counts);

#endif
