#include "gateway-internal.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* A connection fails if sent data stays unacknowledged for this long. */
#define USER_TIMEOUT_MS 1500
/*
 * The same while a long body is sent. The time also passes while the peer
 * acknowledges everything but reads nothing, which a sound one may do.
 */
#define LONG_BODY_TIMEOUT_MS 15000
/* Unsent bytes that the kernel buffers for an accepted connection. */
#define KERNEL_UNSENT_MAX 65536
/* One unanswered probe may still be in flight; more are not. */
#define UNANSWERED_PROBES_MAX 1
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_PERIOD_S 1
#define KEEPALIVE_PROBES 2

bool
pb_parse_address(const char *text, struct sockaddr_storage *addr, int *len)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)addr;
	const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)addr;

	*len = sizeof(*addr);
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)addr, len) != 0)
		return false;
	return (addr->ss_family == AF_INET ? in->sin_port : in6->sin6_port) !=
	    0;
}

struct socket_option {
	int level;
	int name;
	int value;
};

static void
set_options(evutil_socket_t fd, const struct socket_option *options, size_t n)
{
	size_t i;

	/* A socket without one of these options still works. */
	for (i = 0; i < n; i++)
		(void)setsockopt(fd, options[i].level, options[i].name,
		    &options[i].value, sizeof(options[i].value));
}

static void
set_common_options(evutil_socket_t fd)
{
	static const struct socket_option options[] = {
	    {IPPROTO_TCP, TCP_NODELAY, 1}, {SOL_SOCKET, SO_KEEPALIVE, 1},
	    {IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S},
	    {IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_PERIOD_S},
	    {IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES}};

	set_options(fd, options, sizeof(options) / sizeof(options[0]));
}

void
pb_set_socket_options(evutil_socket_t fd)
{
	static const struct socket_option option = {
	    IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS};

	set_common_options(fd);
	set_options(fd, &option, 1);
}

void
pb_set_accepted_options(evutil_socket_t fd)
{
	static const struct socket_option option = {
	    IPPROTO_TCP, TCP_NOTSENT_LOWAT, KERNEL_UNSENT_MAX};

	set_common_options(fd);
	set_options(fd, &option, 1);
}

bool
pb_has_unanswered_data(evutil_socket_t fd)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return false;
	return info.tcpi_retransmits > 0 ||
	    info.tcpi_probes > UNANSWERED_PROBES_MAX;
}

void
pb_set_long_body(evutil_socket_t fd, bool is_long)
{
	int ms = is_long ? LONG_BODY_TIMEOUT_MS : USER_TIMEOUT_MS;

	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

int
pb_write_now(struct bufferevent *bev, struct pb_str data)
{
	struct evbuffer *out = bufferevent_get_output(bev);
	ssize_t n = 0;

	/*
	 * Sending directly avoids two changes of the event set for most
	 * writes.
	 */
	if (evbuffer_get_length(out) == 0)
		n = send(bufferevent_getfd(bev), data.data, data.len,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0)
		n = 0; /* the event loop tries again and reports errors */
	if ((size_t)n == data.len)
		return 0;
	return bufferevent_write(bev, data.data + n, data.len - (size_t)n);
}

void
pb_set_timer(struct event *timer, int64_t delay_us)
{
	struct timeval tv = {delay_us / PB_SEC, delay_us % PB_SEC};

	evtimer_add(timer, &tv);
}
