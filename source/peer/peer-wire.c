#include "peer-wire.h"

#include <netdb.h>
#include <netinet/in.h>
#include <string.h>

/*
 * Estimate of TCP headers: opening and closing a connection take 7 segments of
 * 52 bytes, 364 bytes in all.
 */
#define TCP_CONNECTION_BYTES 364
#define TCP_HEADERS 52
#define TCP_SEGMENT 1448

int
peer_parse_address(
    struct pb_context *ctx, const char *text, struct peer_address *address)
{
	struct addrinfo hints = {.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
	    .ai_socktype = SOCK_STREAM};
	const char *colon = strrchr(text, ':');
	struct addrinfo *info;
	char host[64];
	size_t len;

	if (colon == NULL || colon == text)
		goto bad;
	len = (size_t)(colon - text);
	if (text[0] == '[' && colon[-1] == ']' && len > 2) {
		text++;
		len -= 2;
	}
	if (len >= sizeof(host))
		goto bad;
	memcpy(host, text, len);
	host[len] = '\0';
	if (getaddrinfo(host, colon + 1, &hints, &info) != 0)
		goto bad;
	memcpy(&address->addr, info->ai_addr, info->ai_addrlen);
	address->len = info->ai_addrlen;
	freeaddrinfo(info);
	return PB_OK;
bad:
	return pb_set_error(ctx, PB_EINVAL, "parse peer address", text,
	    "expected a numeric host:port");
}

void
peer_format_address(const struct peer_address *address, char *text, size_t cap)
{
	char host[64] = "", port[16] = "";

	getnameinfo((const struct sockaddr *)&address->addr, address->len, host,
	    sizeof(host), port, sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV);
	if (address->addr.ss_family == AF_INET6)
		snprintf(text, cap, "[%s]:%s", host, port);
	else
		snprintf(text, cap, "%s:%s", host, port);
}

static void
add_counts(struct pb_peer_counts *counts, size_t sent, size_t received)
{
	if (counts == NULL)
		return;
	atomic_fetch_add_explicit(&counts->sent, sent, memory_order_relaxed);
	atomic_fetch_add_explicit(
	    &counts->received, received, memory_order_relaxed);
}

void
peer_count_udp(struct pb_peer_counts *counts, size_t sent, size_t received)
{
	add_counts(counts, sent > 0 ? sent + PEER_UDP_HEADERS : 0,
	    received > 0 ? received + PEER_UDP_HEADERS : 0);
}

static size_t
with_tcp_headers(size_t bytes)
{
	size_t segments = (bytes + TCP_SEGMENT - 1) / TCP_SEGMENT;

	return bytes + segments * TCP_HEADERS + TCP_CONNECTION_BYTES / 2;
}

void
peer_count_tcp(struct pb_peer_counts *counts, size_t sent, size_t received)
{
	add_counts(counts, with_tcp_headers(sent), with_tcp_headers(received));
}
