#ifndef PEER_WIRE_H
#define PEER_WIRE_H

#include "poplarbeam/peer.h"

#include <stdatomic.h>
#include <sys/socket.h>

/* Bytes of IP and UDP headers, and of RPC headers without credentials. */
#define PEER_UDP_HEADERS 28
#define PEER_CALL_HEADER 40
#define PEER_REPLY_HEADER 24

struct peer_address {
	struct sockaddr_storage addr;
	socklen_t len;
};

/* PB_OK, or PB_EINVAL when text is not a numeric address and port. */
int peer_parse_address(
    struct pb_context *ctx, const char *text, struct peer_address *address);
/* Writes "host:port". */
void peer_format_address(
    const struct peer_address *address, char *text, size_t cap);

/* Adds bytes of messages that went over UDP or one TCP connection. */
void peer_count_udp(
    struct pb_peer_counts *counts, size_t sent, size_t received);
void peer_count_tcp(
    struct pb_peer_counts *counts, size_t sent, size_t received);

/*
 * Executes one encoded RPC call and appends the encoded reply to out. Returns
 * false when no reply is to be sent. udp selects the procedures.
 */
bool peer_answer_call(struct pb_context *ctx, const struct pb_peer_ops *ops,
    void *arg, bool udp, const char *in, size_t len, struct pb_buf *out);

#endif
