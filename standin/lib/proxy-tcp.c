#include "proxy-link.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define QUEUE_MAX ((size_t)256 << 10) /* bytes queued per direction */
#define CHUNK_MAX ((size_t)16 << 10) /* maximum bytes of one read */

struct chunk {
	struct chunk *next;
	int64_t due_us;
	size_t off;
	size_t len;
	char data[];
};

/* Queue of one direction of a connection. */
struct flow {
	struct chunk *head;
	struct chunk **tail;
	size_t queued;
	bool eof; /* the sender has shut down its side */
	bool closed; /* the shutdown was forwarded to the receiver */
};

struct proxy_conn {
	struct proxy_conn *next;
	int fd[2]; /* 0: client, 1: target */
	int slot[2];
	struct flow flow[2]; /* 0: up, from the client; 1: down */
	uint64_t epoch; /* epoch of the link at the last reset of forwarded */
	uint64_t forwarded; /* bytes to the client since that reset */
	bool closing;
};

static int
open_socket(int type)
{
	return socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

bool
proxy_open_link(struct proxy_link *link)
{
	int one = 1;

	link->fd = open_socket(link->udp ? SOCK_DGRAM : SOCK_STREAM);
	if (link->fd < 0)
		return false;
	setsockopt(link->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(link->fd, (struct sockaddr *)&link->listen,
		sizeof(link->listen)) == 0 &&
	    (link->udp || listen(link->fd, 128) == 0))
		return true;
	close(link->fd);
	link->fd = -1;
	return false;
}

static void
free_conn(struct proxy_conn *c)
{
	int i;

	for (i = 0; i < 2; i++) {
		while (c->flow[i].head != NULL) {
			struct chunk *next = c->flow[i].head->next;

			free(c->flow[i].head);
			c->flow[i].head = next;
		}
		if (c->fd[i] >= 0)
			close(c->fd[i]);
	}
	free(c);
}

/* Marks the connection for closing with a TCP reset to both sides. */
static void
reset_conn(struct proxy_conn *c)
{
	struct linger now = {1, 0};
	int i;

	for (i = 0; i < 2; i++)
		setsockopt(c->fd[i], SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	c->closing = true;
}

static void
accept_conn(struct proxy_link *link)
{
	int one = 1, i;
	int fd = accept4(link->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct proxy_conn *c = fd >= 0 ? calloc(1, sizeof(*c)) : NULL;

	if (c == NULL) {
		if (fd >= 0)
			close(fd);
		return;
	}
	c->fd[0] = fd;
	c->fd[1] = open_socket(SOCK_STREAM);
	c->epoch = link->epoch;
	for (i = 0; i < 2; i++) {
		c->slot[i] = -1;
		c->flow[i].tail = &c->flow[i].head;
		setsockopt(
		    c->fd[i], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	}
	link->stats.connections++;
	c->next = link->conns;
	link->conns = c;
	if (connect(c->fd[1], (struct sockaddr *)&link->target,
		sizeof(link->target)) != 0 &&
	    errno != EINPROGRESS)
		reset_conn(c);
}

static bool
is_due(const struct flow *f)
{
	return f->head != NULL && f->head->due_us <= proxy_now();
}

void
proxy_watch_tcp(struct proxy_link *link, struct proxy_poll_set *set)
{
	struct proxy_conn *c;
	int i;

	if (link->faults.mode == PROXY_REFUSE) {
		if (link->fd >= 0)
			close(link->fd);
		link->fd = -1;
	} else if (link->fd < 0) {
		proxy_open_link(link);
	}
	link->slot = proxy_watch(set, link->fd, POLLIN);
	for (c = link->conns; c != NULL; c = c->next) {
		for (i = 0; i < 2; i++) {
			struct flow *in = &c->flow[i], *out = &c->flow[!i];
			short events = 0;

			if (!in->eof && in->queued < QUEUE_MAX &&
			    !proxy_is_cut(link, i == 0))
				events |= POLLIN;
			if (!proxy_is_cut(link, i != 0) && is_due(out))
				events |= POLLOUT;
			else if (out->head != NULL)
				proxy_wake_at(set, out->head->due_us);
			/* A socket without events is left out, because poll
			 * would still report its errors. */
			c->slot[i] = events != 0
			    ? proxy_watch(set, c->fd[i], events)
			    : -1;
		}
	}
}

static void
read_flow(struct proxy_link *link, struct proxy_conn *c, int side)
{
	struct flow *f = &c->flow[side];
	struct chunk *chunk = malloc(sizeof(*chunk) + CHUNK_MAX);
	ssize_t n;

	if (chunk == NULL)
		return;
	n = recv(c->fd[side], chunk->data, CHUNK_MAX, 0);
	if (n <= 0) {
		free(chunk);
		if (n == 0)
			f->eof = true;
		else if (errno != EAGAIN && errno != EINTR)
			reset_conn(c);
		return;
	}
	chunk->next = NULL;
	chunk->off = 0;
	chunk->len = (size_t)n;
	chunk->due_us = proxy_now();
	if (link->faults.mode == PROXY_DELAY) {
		chunk->due_us += link->faults.delay_ms * PB_MSEC;
		link->stats.delayed++;
	}
	*f->tail = chunk;
	f->tail = &chunk->next;
	f->queued += chunk->len;
}

/*
 * Returns how many of want bytes may be forwarded to the client. Resets or
 * closes the connection when faults.bytes have been forwarded.
 */
static size_t
limit_bytes(struct proxy_link *link, struct proxy_conn *c, size_t want)
{
	struct proxy_faults *faults = &link->faults;
	uint64_t left;

	if (faults->mode != PROXY_RESET && faults->mode != PROXY_TRUNCATE)
		return want;
	if (c->epoch != link->epoch) {
		c->epoch = link->epoch;
		c->forwarded = 0;
	}
	left = faults->bytes > c->forwarded ? faults->bytes - c->forwarded : 0;
	if (left > 0)
		return left < want ? (size_t)left : want;
	if (faults->mode == PROXY_RESET) {
		link->stats.resets++;
		reset_conn(c);
	} else {
		link->stats.truncations++;
		c->closing = true;
	}
	if (faults->count > 0 && --faults->count == 0)
		faults->mode = PROXY_PASS;
	return 0;
}

static void
write_flow(struct proxy_link *link, struct proxy_conn *c, int side)
{
	struct flow *f = &c->flow[side];

	while (is_due(f) && !c->closing) {
		struct chunk *chunk = f->head;
		size_t want = chunk->len - chunk->off;
		ssize_t n;

		if (side == 1)
			want = limit_bytes(link, c, want);
		if (want == 0)
			return;
		n = send(
		    c->fd[!side], chunk->data + chunk->off, want, MSG_NOSIGNAL);
		if (n < 0) {
			if (errno != EAGAIN && errno != EINTR)
				reset_conn(c);
			return;
		}
		chunk->off += (size_t)n;
		f->queued -= (size_t)n;
		if (side == 1)
			c->forwarded += (uint64_t)n;
		*(side == 1 ? &link->stats.bytes_down
			    : &link->stats.bytes_up) += (uint64_t)n;
		if (chunk->off < chunk->len)
			continue;
		f->head = chunk->next;
		if (f->head == NULL)
			f->tail = &f->head;
		free(chunk);
	}
}

static void
serve_conn(struct proxy_link *link, struct proxy_conn *c,
    const struct proxy_poll_set *set)
{
	int i;

	for (i = 0; i < 2 && !c->closing; i++) {
		short events = proxy_events(set, c->slot[i]);

		if (events & (POLLERR | POLLNVAL))
			reset_conn(c);
		else if (events & (POLLIN | POLLHUP) && !c->flow[i].eof &&
		    !proxy_is_cut(link, i == 0))
			read_flow(link, c, i);
	}
	for (i = 0; i < 2 && !c->closing; i++) {
		struct flow *f = &c->flow[i];

		if (proxy_events(set, c->slot[!i]) & POLLOUT &&
		    !proxy_is_cut(link, i == 0))
			write_flow(link, c, i);
		if (!c->closing && f->eof && !f->closed && f->head == NULL &&
		    !proxy_is_cut(link, i == 0)) {
			shutdown(c->fd[!i], SHUT_WR);
			f->closed = true;
		}
	}
	if (c->flow[0].closed && c->flow[1].closed)
		c->closing = true;
}

void
proxy_serve_tcp(struct proxy_link *link, const struct proxy_poll_set *set)
{
	struct proxy_conn **p = &link->conns, *c;

	while ((c = *p) != NULL) {
		serve_conn(link, c, set);
		if (c->closing) {
			*p = c->next;
			free_conn(c);
		} else {
			p = &c->next;
		}
	}
	if (proxy_events(set, link->slot) & POLLIN)
		accept_conn(link);
}

void
proxy_close_tcp(struct proxy_link *link)
{
	while (link->conns != NULL) {
		struct proxy_conn *next = link->conns->next;

		free_conn(link->conns);
		link->conns = next;
	}
}
