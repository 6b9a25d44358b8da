#include "proxy-link.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PEERS_MAX 512 /* client addresses per link */
#define DATAGRAM_MAX 65536
#define READS_MAX 64 /* maximum datagrams read from a socket in one turn */
#define REORDER_MS 20 /* extra delay of a reordered datagram */

/* A client address and the socket that relays its datagrams to the target. */
struct proxy_peer {
	struct proxy_peer *next;
	struct sockaddr_in addr;
	int fd;
	int slot;
};

struct proxy_datagram {
	struct proxy_datagram *next;
	int64_t due_us;
	int fd;
	bool up;
	struct sockaddr_in to;
	size_t len;
	char data[];
};

static struct proxy_peer *
find_peer(struct proxy_link *link, const struct sockaddr_in *addr)
{
	struct proxy_peer *p;

	for (p = link->peers; p != NULL; p = p->next)
		if (p->addr.sin_port == addr->sin_port &&
		    p->addr.sin_addr.s_addr == addr->sin_addr.s_addr)
			return p;
	if (link->peer_count == PEERS_MAX ||
	    (p = calloc(1, sizeof(*p))) == NULL)
		return NULL;
	p->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	p->addr = *addr;
	p->slot = -1;
	p->next = link->peers;
	link->peers = p;
	link->peer_count++;
	return p;
}

static void
queue_datagram(struct proxy_link *link, const struct proxy_datagram *header,
    const char *data, int64_t due_us)
{
	struct proxy_datagram *d = malloc(sizeof(*d) + header->len);
	struct proxy_datagram **p = &link->queue;

	if (d == NULL)
		return;
	*d = *header;
	memcpy(d->data, data, header->len);
	d->due_us = due_us;
	while (*p != NULL && (*p)->due_us <= due_us)
		p = &(*p)->next;
	d->next = *p;
	*p = d;
}

/* Applies the link's faults to one datagram. */
static void
forward_datagram(struct proxy_link *link, const struct proxy_datagram *header,
    const char *data)
{
	const struct proxy_faults *f = &link->faults;
	int64_t due_us = proxy_now();

	if (proxy_is_cut(link, header->up) ||
	    pb_next_uniform(&link->rnd) < f->drop) {
		link->stats.dropped++;
		return;
	}
	if (f->mode == PROXY_DELAY) {
		due_us += f->delay_ms * PB_MSEC;
		link->stats.delayed++;
	}
	if (pb_next_uniform(&link->rnd) < f->reorder) {
		due_us += REORDER_MS * PB_MSEC;
		link->stats.reordered++;
	}
	queue_datagram(link, header, data, due_us);
	if (pb_next_uniform(&link->rnd) < f->duplicate) {
		queue_datagram(link, header, data, due_us);
		link->stats.duplicated++;
	}
}

static void
read_socket(struct proxy_link *link, struct proxy_peer *peer)
{
	struct proxy_datagram header = {0};
	char data[DATAGRAM_MAX];
	int i;

	for (i = 0; i < READS_MAX; i++) {
		struct sockaddr_in from = {0};
		socklen_t size = sizeof(from);
		struct proxy_peer *p = peer;
		ssize_t n = recvfrom(peer != NULL ? peer->fd : link->fd, data,
		    sizeof(data), 0, (struct sockaddr *)&from, &size);

		if (n < 0)
			return;
		if (peer == NULL && (p = find_peer(link, &from)) == NULL)
			continue;
		header.up = peer == NULL;
		header.fd = header.up ? p->fd : link->fd;
		header.to = header.up ? link->target : p->addr;
		header.len = (size_t)n;
		forward_datagram(link, &header, data);
	}
}

void
proxy_watch_udp(struct proxy_link *link, struct proxy_poll_set *set)
{
	struct proxy_peer *p;

	link->slot = proxy_watch(set, link->fd, POLLIN);
	for (p = link->peers; p != NULL; p = p->next)
		p->slot = proxy_watch(set, p->fd, POLLIN);
	if (link->queue != NULL)
		proxy_wake_at(set, link->queue->due_us);
}

void
proxy_serve_udp(struct proxy_link *link, const struct proxy_poll_set *set)
{
	struct proxy_datagram *d;
	struct proxy_peer *p;

	for (p = link->peers; p != NULL; p = p->next)
		if (proxy_events(set, p->slot) != 0)
			read_socket(link, p);
	if (proxy_events(set, link->slot) != 0)
		read_socket(link, NULL);
	while ((d = link->queue) != NULL && d->due_us <= proxy_now()) {
		link->queue = d->next;
		sendto(d->fd, d->data, d->len, 0, (struct sockaddr *)&d->to,
		    sizeof(d->to));
		*(d->up ? &link->stats.bytes_up : &link->stats.bytes_down) +=
		    d->len;
		free(d);
	}
}

void
proxy_close_udp(struct proxy_link *link)
{
	while (link->queue != NULL) {
		struct proxy_datagram *next = link->queue->next;

		free(link->queue);
		link->queue = next;
	}
	while (link->peers != NULL) {
		struct proxy_peer *next = link->peers->next;

		close(link->peers->fd);
		free(link->peers);
		link->peers = next;
	}
}
