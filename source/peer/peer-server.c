#include "peer-wire.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/*
 * Server side of the RPC between routers. libtirpc encodes the messages, but
 * the sockets are handled here: the library's server loop keeps its state in
 * process globals, cannot stop a single server, and lets one slow TCP client
 * block the thread for 35 s.
 */

#define CONNECTIONS_MAX 16
#define CONNECTION_LIFETIME_US (10 * PB_SEC) /* of TCP, maximum */
#define REQUEST_MAX 16384 /* bytes of one call over TCP */
#define DATAGRAM_MAX 9216 /* bytes: digest, headers, credentials */
#define DATAGRAMS_PER_POLL 64 /* before TCP is served */
#define BIND_TRIES 20 /* to find a port free for both UDP and TCP */
#define LAST_FRAGMENT 0x80000000U

enum slot {
	SLOT_WAKE,
	SLOT_UDP,
	SLOT_TCP,
	SLOT_CONNECTIONS
};

struct connection {
	int fd; /* -1: unused entry */
	int64_t deadline_us;
	struct pb_buf in; /* unparsed bytes */
	struct pb_buf call; /* fragments of the current call */
	struct pb_buf out;
	size_t sent; /* bytes of out that were written */
	size_t total_in, total_out; /* bytes over the whole connection */
};

struct pb_peer_server {
	struct pb_context *ctx; /* context of the server's thread */
	const struct pb_peer_ops *ops;
	void *arg;
	struct pb_peer_counts *counts;
	char address[80];
	int wake_fd, udp_fd, tcp_fd;
	bool running;
	pthread_t thread;
	struct connection connections[CONNECTIONS_MAX];
};

static void
close_connection(struct pb_peer_server *server, struct connection *c)
{
	if (c->fd < 0)
		return;
	close(c->fd);
	peer_count_tcp(server->counts, c->total_out, c->total_in);
	pb_clear_buf(&c->in);
	pb_clear_buf(&c->call);
	pb_clear_buf(&c->out);
	memset(c, 0, sizeof(*c));
	c->fd = -1;
}

static void
serve_datagrams(struct pb_peer_server *server)
{
	struct sockaddr_storage from;
	struct pb_buf out = {0};
	char in[DATAGRAM_MAX];
	int i;

	for (i = 0; i < DATAGRAMS_PER_POLL; i++) {
		socklen_t from_len = sizeof(from);
		ssize_t len = recvfrom(server->udp_fd, in, sizeof(in),
		    MSG_DONTWAIT, (struct sockaddr *)&from, &from_len);
		ssize_t sent = 0;

		if (len < 0)
			break;
		out.len = 0;
		if (peer_handle_call(server->ctx, server->ops, server->arg,
			true, in, (size_t)len, &out))
			sent = sendto(server->udp_fd, out.data, out.len,
			    MSG_DONTWAIT | MSG_NOSIGNAL,
			    (struct sockaddr *)&from, from_len);
		peer_count_udp(
		    server->counts, sent > 0 ? (size_t)sent : 0, (size_t)len);
	}
	pb_clear_buf(&out);
}

static void
accept_connection(struct pb_peer_server *server)
{
	int fd =
	    accept4(server->tcp_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int i;

	if (fd < 0)
		return;
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		struct connection *c = &server->connections[i];

		if (c->fd >= 0)
			continue;
		c->fd = fd;
		c->deadline_us = pb_now(server->ctx) + CONNECTION_LIFETIME_US;
		return;
	}
	close(fd);
}

/*
 * Executes a complete call and appends the record of its reply to out. Returns
 * false if the connection must be closed.
 */
static bool
serve_record(struct pb_peer_server *server, struct connection *c)
{
	size_t at = c->out.len;
	uint32_t mark = 0;
	bool ok;

	if (pb_append_buf(&c->out, &mark, sizeof(mark)) != PB_OK)
		return false;
	ok = peer_handle_call(server->ctx, server->ops, server->arg, false,
	    c->call.data, c->call.len, &c->out);
	mark =
	    htonl((uint32_t)(c->out.len - at - sizeof(mark)) | LAST_FRAGMENT);
	memcpy(c->out.data + at, &mark, sizeof(mark));
	c->call.len = 0;
	return ok;
}

/*
 * Removes complete fragments from the input and executes complete calls.
 * Returns false if the connection must be closed.
 */
static bool
parse_records(struct pb_peer_server *server, struct connection *c)
{
	uint32_t mark;

	while (c->in.len >= sizeof(mark)) {
		size_t len, fragment_size;

		memcpy(&mark, c->in.data, sizeof(mark));
		mark = ntohl(mark);
		len = mark & ~LAST_FRAGMENT;
		fragment_size = sizeof(mark) + len;
		if (len > REQUEST_MAX || c->call.len + len > REQUEST_MAX)
			return false;
		if (c->in.len < fragment_size)
			return true;
		if (pb_append_buf(&c->call, c->in.data + sizeof(mark), len) !=
		    PB_OK)
			return false;
		memmove(c->in.data, c->in.data + fragment_size,
		    c->in.len - fragment_size);
		c->in.len -= fragment_size;
		if ((mark & LAST_FRAGMENT) != 0 && !serve_record(server, c))
			return false;
	}
	return true;
}

static bool
read_connection(struct pb_peer_server *server, struct connection *c)
{
	char data[4096];
	ssize_t len = recv(c->fd, data, sizeof(data), 0);

	if (len < 0)
		return errno == EAGAIN || errno == EINTR;
	if (len == 0)
		return false;
	c->total_in += (size_t)len;
	return pb_append_buf(&c->in, data, (size_t)len) == PB_OK &&
	    parse_records(server, c);
}

static bool
write_connection(struct connection *c)
{
	ssize_t len = send(
	    c->fd, c->out.data + c->sent, c->out.len - c->sent, MSG_NOSIGNAL);

	if (len < 0)
		return errno == EAGAIN || errno == EINTR;
	c->sent += (size_t)len;
	c->total_out += (size_t)len;
	if (c->sent == c->out.len) {
		c->out.len = 0;
		c->sent = 0;
	}
	return true;
}

static void
serve_connection(
    struct pb_peer_server *server, struct connection *c, short events)
{
	bool keep = pb_now(server->ctx) < c->deadline_us;

	if (keep && (events & (POLLIN | POLLHUP | POLLERR)) != 0)
		keep = read_connection(server, c);
	if (keep && c->out.len > c->sent)
		keep = write_connection(c);
	if (!keep)
		close_connection(server, c);
}

/*
 * Fills in the sockets to poll. Unused connections have fd -1, which poll
 * ignores. Returns true if a connection is open.
 */
static bool
set_poll_fds(const struct pb_peer_server *server, struct pollfd *fds)
{
	bool has_connections = false;
	int i;

	fds[SLOT_WAKE] = (struct pollfd){server->wake_fd, POLLIN, 0};
	fds[SLOT_UDP] = (struct pollfd){server->udp_fd, POLLIN, 0};
	fds[SLOT_TCP] = (struct pollfd){server->tcp_fd, POLLIN, 0};
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		const struct connection *c = &server->connections[i];
		/* No input is read until pending replies are written. */
		short events = c->out.len > c->sent ? POLLOUT : POLLIN;

		fds[SLOT_CONNECTIONS + i] = (struct pollfd){c->fd, events, 0};
		has_connections |= c->fd >= 0;
	}
	return has_connections;
}

static void *
run_server(void *arg)
{
	struct pb_peer_server *server = arg;
	struct pollfd fds[SLOT_CONNECTIONS + CONNECTIONS_MAX];
	int i;

	for (;;) {
		bool has_connections = set_poll_fds(server, fds);

		/* Wakes every second to check deadlines of connections. */
		if (poll(fds, SLOT_CONNECTIONS + CONNECTIONS_MAX,
			has_connections ? 1000 : -1) < 0 &&
		    errno != EINTR)
			break;
		if (fds[SLOT_WAKE].revents != 0)
			break;
		if (fds[SLOT_UDP].revents != 0)
			serve_datagrams(server);
		for (i = 0; i < CONNECTIONS_MAX; i++)
			if (server->connections[i].fd >= 0)
				serve_connection(server,
				    &server->connections[i],
				    fds[SLOT_CONNECTIONS + i].revents);
		if (fds[SLOT_TCP].revents != 0)
			accept_connection(server);
	}
	return NULL;
}

/*
 * Binds the TCP and UDP sockets to the same port and stores the bound address
 * in address.
 */
static bool
bind_sockets(struct pb_peer_server *server, struct peer_address *address)
{
	int family = address->addr.ss_family, on = 1;

	server->tcp_fd =
	    socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	server->udp_fd = socket(family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (server->tcp_fd < 0 || server->udp_fd < 0)
		return false;
	setsockopt(server->tcp_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(server->tcp_fd, (struct sockaddr *)&address->addr,
		address->len) != 0 ||
	    listen(server->tcp_fd, CONNECTIONS_MAX) != 0)
		return false;
	if (getsockname(server->tcp_fd, (struct sockaddr *)&address->addr,
		&address->len) != 0)
		return false;
	return bind(server->udp_fd, (struct sockaddr *)&address->addr,
		   address->len) == 0;
}

static void
close_sockets(struct pb_peer_server *server)
{
	if (server->tcp_fd >= 0)
		close(server->tcp_fd);
	if (server->udp_fd >= 0)
		close(server->udp_fd);
	server->tcp_fd = -1;
	server->udp_fd = -1;
}

static int
open_server(
    struct pb_context *ctx, struct pb_peer_server *server, const char *address)
{
	struct peer_address wanted, bound;
	int tries, rc;

	rc = peer_parse_address(ctx, address, &wanted);
	if (rc != PB_OK)
		return rc;
	server->wake_fd = eventfd(0, EFD_CLOEXEC);
	for (tries = 0; tries < BIND_TRIES; tries++) {
		bound = wanted;
		if (bind_sockets(server, &bound))
			break;
		rc = errno;
		close_sockets(server);
	}
	if (server->wake_fd < 0 || server->udp_fd < 0)
		return pb_set_error(ctx, PB_EUNAVAIL, "bind peer server",
		    address, "%s", strerror(rc));
	peer_format_address(&bound, server->address, sizeof(server->address));
	if (pthread_create(&server->thread, NULL, run_server, server) != 0)
		return pb_set_error(ctx, PB_ENOMEM, "start peer server",
		    address, "cannot create a thread");
	server->running = true;
	return PB_OK;
}

struct pb_peer_server *
pb_new_peer_server(struct pb_context *ctx, const char *address,
    const struct pb_peer_ops *ops, void *arg, struct pb_peer_counts *counts)
{
	struct pb_peer_server *server = calloc(1, sizeof(*server));
	int i;

	if (server == NULL) {
		pb_set_error(ctx, PB_ENOMEM, "new peer server", address,
		    "out of memory");
		return NULL;
	}
	server->wake_fd = server->udp_fd = server->tcp_fd = -1;
	for (i = 0; i < CONNECTIONS_MAX; i++)
		server->connections[i].fd = -1;
	server->ops = ops;
	server->arg = arg;
	server->counts = counts;
	server->ctx = pb_new_context(ctx->clock, ctx->log);
	if (server->ctx == NULL || open_server(ctx, server, address) != PB_OK) {
		pb_drop_peer_server(ctx, server);
		return NULL;
	}
	return server;
}

void
pb_drop_peer_server(struct pb_context *ctx, struct pb_peer_server *server)
{
	uint64_t one = 1;
	int i;

	(void)ctx;
	if (server == NULL)
		return;
	if (server->running) {
		/* The write cannot fail: the counter of the eventfd is 0. */
		if (write(server->wake_fd, &one, sizeof(one)) < 0)
			abort();
		pthread_join(server->thread, NULL);
	}
	for (i = 0; i < CONNECTIONS_MAX; i++)
		close_connection(server, &server->connections[i]);
	close_sockets(server);
	if (server->wake_fd >= 0)
		close(server->wake_fd);
	pb_drop_context(server->ctx);
	free(server);
}

const char *
pb_peer_server_address(const struct pb_peer_server *server)
{
	return server->address;
}
