#include "peer-wire.h"
#include "peer.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <rpc/rpc.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define RECORD_MARK 4 /* bytes of the header before an RPC message over TCP */

/* Socket and RPC client of one call. Threads never share client handles. */
struct session {
	int fd;
	CLIENT *client;
	int64_t deadline_us;
	bool tcp;
	sigset_t signals; /* signal mask before the call */
};

static struct timeval
remaining_time(struct pb_context *ctx, const struct session *s)
{
	int64_t left = s->deadline_us - pb_now(ctx);

	if (left < PB_MSEC)
		left = PB_MSEC;
	return (struct timeval){left / PB_SEC, left % PB_SEC};
}

/*
 * Blocks SIGPIPE. libtirpc writes without MSG_NOSIGNAL, so a write to a
 * connection that the peer has closed would raise the signal.
 */
static void
block_sigpipe(struct session *s)
{
	sigset_t pipe_only;

	sigemptyset(&pipe_only);
	sigaddset(&pipe_only, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &pipe_only, &s->signals);
}

static void
restore_sigpipe(struct session *s)
{
	struct timespec none = {0, 0};
	sigset_t pipe_only;

	sigemptyset(&pipe_only);
	sigaddset(&pipe_only, SIGPIPE);
	if (!sigismember(&s->signals, SIGPIPE))
		sigtimedwait(&pipe_only, NULL, &none);
	pthread_sigmask(SIG_SETMASK, &s->signals, NULL);
}

static int
connect_fd(struct pb_context *ctx, const struct peer_address *to,
    const char *peer, struct session *s)
{
	struct pollfd wait = {.fd = s->fd, .events = POLLOUT};
	struct timeval left = remaining_time(ctx, s);
	socklen_t len = sizeof(int);
	int rc, flags, error = 0;

	flags = fcntl(s->fd, F_GETFL);
	fcntl(s->fd, F_SETFL, flags | O_NONBLOCK);
	rc = connect(s->fd, (const struct sockaddr *)&to->addr, to->len);
	if (rc != 0 && errno != EINPROGRESS)
		error = errno;
	if (rc != 0 && error == 0) {
		rc = poll(
		    &wait, 1, (int)(left.tv_sec * 1000 + left.tv_usec / 1000));
		if (rc == 0)
			return pb_set_error(ctx, PB_ETIMEDOUT,
			    "connect to peer", peer,
			    "connection attempt timed out");
		getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	}
	if (error != 0)
		return pb_set_error(ctx, PB_EUNAVAIL, "connect to peer", peer,
		    "%s", strerror(error));
	fcntl(s->fd, F_SETFL, flags);
	return PB_OK;
}

static void
close_session(struct session *s)
{
	if (s->client != NULL)
		clnt_destroy(s->client);
	if (s->fd >= 0)
		close(s->fd);
	if (s->tcp)
		restore_sigpipe(s);
}

static int
open_session(struct pb_context *ctx, const char *peer, bool tcp,
    int64_t timeout_us, struct session *s)
{
	struct peer_address to;
	struct netbuf nb;
	int rc;

	s->fd = -1;
	s->client = NULL;
	s->tcp = tcp;
	s->deadline_us = pb_now(ctx) + timeout_us;
	if (tcp)
		block_sigpipe(s);
	rc = peer_parse_address(ctx, peer, &to);
	if (rc != PB_OK)
		return rc;
	s->fd = socket(to.addr.ss_family,
	    (tcp ? SOCK_STREAM : SOCK_DGRAM) | SOCK_CLOEXEC, 0);
	if (s->fd < 0) {
		pb_set_error(ctx, PB_EUNAVAIL, "open peer socket", peer, "%s",
		    strerror(errno));
		return PB_EUNAVAIL;
	}
	if (tcp) {
		rc = connect_fd(ctx, &to, peer, s);
		if (rc != PB_OK)
			return rc;
	}
	nb = (struct netbuf){sizeof(to.addr), to.len, &to.addr};
	s->client = tcp
	    ? clnt_vc_create(
		  s->fd, &nb, POPLARBEAM_PEER, POPLARBEAM_PEER_V1, 0, 0)
	    : clnt_dg_create(s->fd, &nb, POPLARBEAM_PEER, POPLARBEAM_PEER_V1,
		  PEER_DIGEST_MAX + 512, PEER_DIGEST_MAX + 512);
	if (s->client == NULL) {
		pb_set_error(ctx, PB_EUNAVAIL, "create RPC client", peer, "%s",
		    clnt_spcreateerror(""));
		return PB_EUNAVAIL;
	}
	return PB_OK;
}

static int
call_peer(struct pb_context *ctx, const char *peer, struct session *s,
    rpcproc_t proc, xdrproc_t encode, void *arg, xdrproc_t decode, void *result)
{
	struct timeval left = remaining_time(ctx, s);
	struct timeval retry = {left.tv_sec + 1, 0};
	enum clnt_stat status;
	int on = 1;

	if (!s->tcp) {
		/*
		 * The retry timeout is longer than the call, so that one
		 * datagram is sent per call: a retransmission would exceed the
		 * byte budget. A connected socket receives errors and replies
		 * of this peer only.
		 */
		clnt_control(s->client, CLSET_RETRY_TIMEOUT, (char *)&retry);
		clnt_control(s->client, CLSET_CONNECT, (char *)&on);
	}
	status = clnt_call(s->client, proc, encode, arg, decode, result, left);
	switch (status) {
	case RPC_SUCCESS:
		return PB_OK;
	case RPC_TIMEDOUT:
		return pb_set_error(ctx, PB_ETIMEDOUT, "call peer", peer,
		    "the peer sent no reply before the deadline");
	case RPC_CANTSEND:
	case RPC_CANTRECV:
		return pb_set_error(ctx, PB_EUNAVAIL, "call peer", peer, "%s",
		    clnt_sperrno(status));
	default:
		return pb_set_error(ctx, PB_EPROTO, "call peer", peer, "%s",
		    clnt_sperrno(status));
	}
}

static size_t
xdr_padded_len(size_t len)
{
	return (len + 3) / 4 * 4;
}

int
pb_exchange_digest(struct pb_context *ctx, const char *peer, const uint8_t *in,
    size_t in_len, uint8_t *out, size_t cap, size_t *out_len,
    int64_t timeout_us, struct pb_peer_counts *counts)
{
	peer_digest arg = {(u_int)in_len, (char *)in};
	char answer[PEER_DIGEST_MAX];
	peer_digest result = {0, answer};
	struct session s;
	int rc;

	*out_len = 0;
	if (in_len > PEER_DIGEST_MAX)
		return pb_set_error(ctx, PB_EINVAL, "exchange digest", peer,
		    "digest of %zu bytes is too long", in_len);
	rc = open_session(ctx, peer, false, timeout_us, &s);
	if (rc == PB_OK) {
		rc = call_peer(ctx, peer, &s, EXCHANGE,
		    (xdrproc_t)xdr_peer_digest, &arg,
		    (xdrproc_t)xdr_peer_digest, &result);
		peer_count_udp(counts,
		    PEER_CALL_HEADER + 4 + xdr_padded_len(in_len),
		    rc == PB_OK ? PEER_REPLY_HEADER + 4 +
			    xdr_padded_len(result.peer_digest_len)
				: 0);
	}
	close_session(&s);
	if (rc == PB_OK && result.peer_digest_len > cap)
		rc = pb_set_error(ctx, PB_EPROTO, "exchange digest", peer,
		    "reply of %u bytes does not fit into the buffer",
		    result.peer_digest_len);
	if (rc != PB_OK)
		return rc;
	memcpy(out, answer, result.peer_digest_len);
	*out_len = result.peer_digest_len;
	return PB_OK;
}

int
pb_fetch_peer_settings(struct pb_context *ctx, const char *peer, uint64_t known,
    uint64_t *revision, struct pb_buf *text, int64_t timeout_us,
    struct pb_peer_counts *counts)
{
	peer_settings result = {0};
	struct session s;
	int rc;

	rc = open_session(ctx, peer, true, timeout_us, &s);
	if (rc == PB_OK) {
		rc = call_peer(ctx, peer, &s, FETCH_SETTINGS,
		    (xdrproc_t)xdr_uint64_t, &known,
		    (xdrproc_t)xdr_peer_settings, &result);
		peer_count_tcp(counts, RECORD_MARK + PEER_CALL_HEADER + 8,
		    RECORD_MARK + PEER_REPLY_HEADER + 12 +
			xdr_padded_len(result.text.peer_text_len));
	}
	close_session(&s);
	if (rc == PB_OK) {
		*revision = result.revision;
		rc = pb_append_buf(
		    text, result.text.peer_text_val, result.text.peer_text_len);
	}
	xdr_free((xdrproc_t)xdr_peer_settings, (char *)&result);
	return rc;
}

int
pb_fetch_peer_events(struct pb_context *ctx, const char *peer,
    const char *filter, struct pb_buf *json, int64_t timeout_us,
    struct pb_peer_counts *counts)
{
	peer_filter arg = (char *)filter;
	peer_text result = {0};
	struct session s;
	int rc;

	if (strlen(filter) > PEER_FILTER_MAX)
		return pb_set_error(ctx, PB_EINVAL, "fetch peer events", peer,
		    "filter of %zu bytes is too long", strlen(filter));
	rc = open_session(ctx, peer, true, timeout_us, &s);
	if (rc == PB_OK) {
		rc = call_peer(ctx, peer, &s, FETCH_EVENTS,
		    (xdrproc_t)xdr_peer_filter, &arg, (xdrproc_t)xdr_peer_text,
		    &result);
		peer_count_tcp(counts,
		    RECORD_MARK + PEER_CALL_HEADER + 4 +
			xdr_padded_len(strlen(filter)),
		    RECORD_MARK + PEER_REPLY_HEADER + 4 +
			xdr_padded_len(result.peer_text_len));
	}
	close_session(&s);
	if (rc == PB_OK)
		rc = pb_append_buf(
		    json, result.peer_text_val, result.peer_text_len);
	xdr_free((xdrproc_t)xdr_peer_text, (char *)&result);
	return rc;
}
