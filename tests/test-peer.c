#include "poplarbeam/peer.h"

#include "run-suite.h"
#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TIMEOUT (2 * PB_SEC)
#define TEXT_BYTES 300000
#define THREADS 8
#define ROUNDS 30

static struct pb_context *ctx;

struct handler {
	_Atomic int calls;
	_Atomic int fail;
};

/* Replies with the bytes of the digest in reverse order. */
static int
do_exchange(struct pb_context *c, void *arg, const uint8_t *in, size_t in_len,
    uint8_t *out, size_t cap, size_t *out_len)
{
	struct handler *h = arg;
	size_t i;

	(void)c;
	h->calls++;
	if (h->fail || in_len > cap)
		return PB_EPROTO;
	for (i = 0; i < in_len; i++)
		out[i] = in[in_len - 1 - i];
	*out_len = in_len;
	return PB_OK;
}

static int
do_settings(struct pb_context *c, void *arg, uint64_t known, uint64_t *revision,
    struct pb_buf *text)
{
	struct handler *h = arg;
	int i;

	(void)c;
	h->calls++;
	*revision = 1ULL << 40;
	for (i = 0; known < *revision && i < TEXT_BYTES / 10; i++)
		pb_append_buf(text, "0123456789", 10);
	return h->fail ? PB_EUNAVAIL : PB_OK;
}

static int
do_events(
    struct pb_context *c, void *arg, const char *filter, struct pb_buf *json)
{
	struct handler *h = arg;

	(void)c;
	h->calls++;
	return pb_append_fmt(json, "[\"%s\"]", filter);
}

static const struct pb_peer_ops ops = {do_exchange, do_settings, do_events};

static struct pb_peer_server *
start_server(struct handler *h, struct pb_peer_counts *counts)
{
	struct pb_peer_server *s =
	    pb_new_peer_server(ctx, "127.0.0.1:0", &ops, h, counts);

	CU_ASSERT_PTR_NOT_NULL_FATAL(s);
	return s;
}

/*
 * Opens a socket that is connected to the address to, or, if to is NULL, bound
 * to a free port whose address is written to bound.
 */
static int
open_test_socket(int type, const char *to, char *bound, size_t cap)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, type, 0), rc;

	if (to != NULL) {
		sin.sin_port =
		    htons((uint16_t)strtol(strrchr(to, ':') + 1, NULL, 10));
		rc = connect(fd, (struct sockaddr *)&sin, sizeof(sin));
	} else {
		rc = bind(fd, (struct sockaddr *)&sin, sizeof(sin));
		if (type == SOCK_STREAM)
			listen(fd, 4);
		getsockname(fd, (struct sockaddr *)&sin, &len);
		snprintf(bound, cap, "127.0.0.1:%d", ntohs(sin.sin_port));
	}
	CU_ASSERT_EQUAL(rc, 0);
	return fd;
}

/* Guards against truncated digests and wrong byte counts. */
static void
test_exchange(void)
{
	struct pb_peer_counts client_counts = {0}, server_counts = {0};
	struct handler h = {0};
	struct pb_peer_server *s = start_server(&h, &server_counts);
	uint8_t in[PB_PEER_DIGEST_MAX], out[PB_PEER_DIGEST_MAX];
	static const size_t sizes[] = {0, 1, 333, PB_PEER_DIGEST_MAX};
	const char *to = pb_peer_server_address(s);
	size_t i, len;

	for (i = 0; i < sizeof(in); i++)
		in[i] = (uint8_t)(i * 7);
	for (i = 0; i < 4; i++) {
		size_t n = sizes[i];

		CU_ASSERT_EQUAL(pb_exchange_digest(ctx, to, in, n, out,
				    sizeof(out), &len, TIMEOUT, &client_counts),
		    PB_OK);
		CU_ASSERT_EQUAL(len, n);
		CU_ASSERT(n == 0 || (out[0] == in[n - 1] && out[n - 1] == 0));
	}
	CU_ASSERT_EQUAL(pb_exchange_digest(ctx, to, in, 100, out, 99, &len,
			    TIMEOUT, &client_counts),
	    PB_EPROTO);
	pb_drop_peer_server(ctx, s);
	CU_ASSERT(client_counts.sent > 8192 + 5 * (28 + 44));
	CU_ASSERT_EQUAL(client_counts.sent, server_counts.received);
	CU_ASSERT_EQUAL(client_counts.received, server_counts.sent);
}

/* Guards against truncated long replies and errors taken for replies. */
static void
test_fetch(void)
{
	struct pb_peer_counts client_counts = {0}, server_counts = {0};
	struct handler h = {0};
	struct pb_peer_server *s = start_server(&h, &server_counts);
	const char *to = pb_peer_server_address(s);
	struct pb_buf text = {0}, json = {0};
	uint64_t revision = 0;

	CU_ASSERT_EQUAL(pb_fetch_peer_settings(ctx, to, 3, &revision, &text,
			    TIMEOUT, &client_counts),
	    PB_OK);
	CU_ASSERT_EQUAL(revision, 1ULL << 40);
	CU_ASSERT_EQUAL(text.len, TEXT_BYTES);
	CU_ASSERT_STRING_EQUAL(text.data + TEXT_BYTES - 3, "789");
	text.len = 0;
	CU_ASSERT_EQUAL(pb_fetch_peer_settings(ctx, to, revision, &revision,
			    &text, TIMEOUT, &client_counts),
	    PB_OK);
	CU_ASSERT_EQUAL(text.len, 0);
	CU_ASSERT_EQUAL(pb_fetch_peer_events(ctx, to, "request=q1", &json,
			    TIMEOUT, &client_counts),
	    PB_OK);
	CU_ASSERT_STRING_EQUAL(json.data, "[\"request=q1\"]");
	h.fail = 1;
	CU_ASSERT_EQUAL(pb_fetch_peer_settings(ctx, to, 3, &revision, &text,
			    TIMEOUT, &client_counts),
	    PB_EPROTO);
	CU_ASSERT_EQUAL(text.len, 0);
	pb_drop_peer_server(ctx, s);
	CU_ASSERT(client_counts.received > TEXT_BYTES);
	CU_ASSERT(server_counts.sent > TEXT_BYTES);
	pb_clear_buf(&text);
	pb_clear_buf(&json);
}

/* Returns the duration of a call in microseconds and stores its result code. */
static int64_t
measure_call(const char *to, bool tcp, int *code)
{
	int64_t start = pb_now(ctx);
	struct pb_buf text = {0};
	uint8_t buf[64] = {0};
	uint64_t revision;
	size_t len;

	if (tcp)
		*code = pb_fetch_peer_settings(
		    ctx, to, 0, &revision, &text, 300 * PB_MSEC, NULL);
	else
		*code = pb_exchange_digest(ctx, to, buf, 10, buf, sizeof(buf),
		    &len, 300 * PB_MSEC, NULL);
	pb_clear_buf(&text);
	return pb_now(ctx) - start;
}

/* Guards against a frozen or dead peer that blocks its caller for too long. */
static void
test_frozen_peer(void)
{
	char udp[32], tcp[32];
	int a = open_test_socket(SOCK_DGRAM, NULL, udp, sizeof(udp));
	int b = open_test_socket(SOCK_STREAM, NULL, tcp, sizeof(tcp));
	struct handler h = {.fail = 1};
	struct pb_peer_server *s = start_server(&h, NULL);
	int64_t took;
	int rc;

	took = measure_call(udp, false, &rc);
	CU_ASSERT(rc == PB_ETIMEDOUT && took >= 290 * PB_MSEC);
	CU_ASSERT(took < 600 * PB_MSEC);
	took = measure_call(tcp, true, &rc);
	CU_ASSERT(rc == PB_ETIMEDOUT && took < 600 * PB_MSEC);
	/* The server sends no reply if the handler fails. */
	measure_call(pb_peer_server_address(s), false, &rc);
	CU_ASSERT_EQUAL(rc, PB_ETIMEDOUT);
	CU_ASSERT_EQUAL(h.calls, 1);
	close(a);
	close(b);
	took = measure_call(udp, false, &rc);
	CU_ASSERT(rc == PB_EUNAVAIL && took < 200 * PB_MSEC);
	took = measure_call(tcp, true, &rc);
	CU_ASSERT(rc == PB_EUNAVAIL && took < 200 * PB_MSEC);
	measure_call("router-1:80", false, &rc);
	CU_ASSERT_EQUAL(rc, PB_EINVAL);
	pb_drop_peer_server(ctx, s);
}

/* Guards against malformed input that stops the server or reaches a handler. */
static void
test_bad_input(void)
{
	struct pb_random rnd = {20260403};
	struct handler h = {0};
	struct pb_peer_server *s = start_server(&h, NULL);
	const char *to = pb_peer_server_address(s);
	int udp = open_test_socket(SOCK_DGRAM, to, NULL, 0);
	uint32_t junk[64];
	int i, k, rc;

	for (i = 0; i < 300; i++) {
		for (k = 0; k < 64; k++)
			junk[k] = (uint32_t)pb_next_random(&rnd);
		if (i % 2 == 0) {
			/* A call of RPC version 2 with random contents. */
			junk[1] = 0;
			junk[2] = htonl(2);
		}
		(void)!send(udp, junk, (size_t)(i % 65) * 4, MSG_NOSIGNAL);
		if (i % 20 == 0) {
			int tcp = open_test_socket(SOCK_STREAM, to, NULL, 0);

			(void)!send(tcp, junk, sizeof(junk), MSG_NOSIGNAL);
			close(tcp);
			/*
			 * A call after every 20 datagrams keeps the server's
			 * socket buffer from overflowing.
			 */
			measure_call(to, false, &rc);
			CU_ASSERT_EQUAL(rc, PB_OK);
		}
	}
	CU_ASSERT_EQUAL(h.calls, 15);
	measure_call(to, true, &rc);
	CU_ASSERT_EQUAL(rc, PB_OK);
	close(udp);
	pb_drop_peer_server(ctx, s);
}

/*
 * Guards against a slow TCP client that blocks digests or the server's
 * shutdown, and against failures with calls that arrive in fragments.
 */
static void
test_slow_client(void)
{
	/* A call of the null procedure, in fragments of 16 and 24 bytes. */
	uint32_t words[] = {htonl(16), 1, 0, htonl(2), htonl(0x20504231),
	    htonl(0x80000000U | 24), htonl(1), 0, 0, 0, 0, 0};
	struct handler h = {0};
	struct pb_peer_server *s = start_server(&h, NULL);
	const char *to = pb_peer_server_address(s);
	int slow = open_test_socket(SOCK_STREAM, to, NULL, 0);
	int oversized = open_test_socket(SOCK_STREAM, to, NULL, 0);
	uint32_t reply[7] = {0};
	int64_t begin;
	int rc;

	CU_ASSERT_EQUAL(send(slow, words, 30, MSG_NOSIGNAL), 30);
	CU_ASSERT(measure_call(to, false, &rc) < 200 * PB_MSEC);
	CU_ASSERT_EQUAL(rc, PB_OK);
	CU_ASSERT_EQUAL(
	    send(slow, (char *)words + 30, sizeof(words) - 30, MSG_NOSIGNAL),
	    (ssize_t)sizeof(words) - 30);
	CU_ASSERT_EQUAL(
	    recv(slow, reply, sizeof(reply), MSG_WAITALL), sizeof(reply));
	CU_ASSERT_EQUAL(reply[0], htonl(0x80000000U | 24));
	CU_ASSERT_EQUAL(reply[1], 1);
	/* A record that is too long closes only its own connection. */
	words[0] = htonl(1 << 20);
	begin = pb_now(ctx);
	CU_ASSERT_EQUAL(send(oversized, words, 8, MSG_NOSIGNAL), 8);
	CU_ASSERT_EQUAL(recv(oversized, reply, sizeof(reply), 0), 0);
	CU_ASSERT(pb_now(ctx) - begin < PB_SEC);
	words[0] = htonl(16);
	CU_ASSERT_EQUAL(send(slow, words, 8, MSG_NOSIGNAL), 8);
	begin = pb_now(ctx);
	pb_drop_peer_server(ctx, s);
	CU_ASSERT(pb_now(ctx) - begin < 500 * PB_MSEC);
	close(slow);
	close(oversized);
}

static void *
run_calls(void *arg)
{
	struct pb_context *c = pb_new_context(pb_system_clock(), NULL);
	intptr_t failed = 0;
	uint8_t buf[600] = {1}, out[600];
	int i;

	for (i = 0; i < ROUNDS; i++) {
		struct pb_buf json = {0};
		size_t len;

		failed += pb_exchange_digest(c, arg, buf, sizeof(buf), out,
			      sizeof(out), &len, TIMEOUT, NULL) != PB_OK;
		failed += pb_fetch_peer_events(
			      c, arg, "x", &json, TIMEOUT, NULL) != PB_OK;
		pb_clear_buf(&json);
	}
	pb_drop_context(c);
	return (void *)failed;
}

/* Guards against state shared by concurrent calls. */
static void
test_threads(void)
{
	struct handler h = {0};
	struct pb_peer_server *s = start_server(&h, NULL);
	pthread_t threads[THREADS];
	void *failed;
	int i;

	for (i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, run_calls,
		    (void *)pb_peer_server_address(s));
	for (i = 0; i < THREADS; i++) {
		pthread_join(threads[i], &failed);
		CU_ASSERT_PTR_NULL(failed);
	}
	CU_ASSERT_EQUAL(h.calls, THREADS * ROUNDS * 2);
	pb_drop_peer_server(ctx, s);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"exchange", test_exchange},
	    {"fetch", test_fetch}, {"frozen peer", test_frozen_peer},
	    {"bad input", test_bad_input}, {"slow client", test_slow_client},
	    {"threads", test_threads}, CU_TEST_INFO_NULL};
	int rc;

	ctx = pb_new_context(pb_system_clock(), NULL);
	rc = run_suite("peer", tests);
	pb_drop_context(ctx);
	return rc;
}
