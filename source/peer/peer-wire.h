#ifndef PEER_WIRE_H
#define PEER_WIRE_H

#include "poplarbeam/peer.h"

#include <stdatomic.h>
#include <sys/socket.h>

/* Sizes in bytes: IP and UDP headers, RPC headers without credentials. */
#define PEER_UDP_HEADERS 28
#define PEER_CALL_HEADER 40
#define PEER_REPLY_HEADER 24

struct peer_address {
	struct sockaddr_storage addr;
	socklen_t len;
};

/*
 * Parses a numeric address and port. Returns PB_OK, or PB_EINVAL if text is
 * malformed.
 */
int peer_parse_address(
    struct pb_context *ctx, const char *text, struct peer_address *address);
/* Writes "host:port" to text, or "[host]:port" for IPv6. */
void peer_format_address(
    const struct peer_address *address, char *text, size_t cap);

/*
 * Add the bytes of one UDP exchange or of one TCP connection to counts,
 * including IP, UDP and TCP headers. counts may be NULL.
 */
void peer_count_udp(
    struct pb_peer_counts *counts, size_t sent, size_t received);
void peer_count_tcp(
    struct pb_peer_counts *counts, size_t sent, size_t received);

/*
 * Executes one encoded RPC call and appends the encoded reply to out. Returns
 * false if the call gets no reply. udp is true for calls over UDP and false for
 * calls over TCP; each transport has its own procedures.
 */
bool peer_handle_call(struct pb_context *ctx, const struct pb_peer_ops *ops,
    void *arg, bool udp, const char *in, size_t len, struct pb_buf *out);

#endif
