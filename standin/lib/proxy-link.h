#ifndef STANDIN_PROXY_LINK_H
#define STANDIN_PROXY_LINK_H

#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "poplarbeam/base.h"

/*
 * Links of the fault-injecting proxy; a link forwards one loopback port to one
 * target. One thread does all forwarding. The HTTP control interface shares the
 * faults and counters of a link with this thread; the caller holds a lock
 * around every use.
 */

enum proxy_mode {
	PROXY_PASS,
	PROXY_CUT, /* nothing is forwarded, connections stay open */
	PROXY_CUT_UP, /* nothing is forwarded to the target */
	PROXY_CUT_DOWN, /* nothing is forwarded to the client */
	PROXY_REFUSE, /* TCP: new connections are refused */
	PROXY_RESET, /* TCP: reset after faults.bytes to the client */
	PROXY_TRUNCATE, /* TCP: closed after faults.bytes to the client */
	PROXY_DELAY,
	PROXY_MODES
};

/* Faults of a link, set over the control interface. */
struct proxy_faults {
	enum proxy_mode mode;
	/* Bytes forwarded to the client before a reset or truncation, counted
	 * for each connection since the faults were set. */
	uint64_t bytes;
	int delay_ms;
	int count; /* resets or truncations until PROXY_PASS; 0: no limit */
	/* UDP: shares of the datagrams, 0 to 1. */
	double drop;
	double duplicate;
	double reorder;
};

struct proxy_stats {
	uint64_t connections;
	uint64_t resets;
	uint64_t truncations;
	uint64_t delayed; /* chunks or datagrams */
	uint64_t dropped;
	uint64_t duplicated;
	uint64_t reordered;
	uint64_t bytes_up; /* to the target */
	uint64_t bytes_down; /* to the client */
};

struct proxy_conn;
struct proxy_peer;
struct proxy_datagram;

struct proxy_link {
	struct proxy_link *next;
	char name[48];
	bool udp;
	int fd; /* listening or datagram socket; -1 while refusing */
	int slot; /* index in the poll set, or -1 */
	struct sockaddr_in listen;
	struct sockaddr_in target;
	struct proxy_faults faults;
	struct proxy_stats stats;
	uint64_t epoch; /* incremented whenever the faults are set */
	struct pb_random rnd;
	struct proxy_conn *conns; /* TCP */
	struct proxy_peer *peers; /* UDP, one per client address */
	size_t peer_count;
	struct proxy_datagram *queue; /* UDP, unsent datagrams by due time */
};

/* Poll set, rebuilt for each poll. */
struct proxy_poll_set {
	struct pollfd fds[4096];
	size_t count;
	int64_t wake_us; /* time when poll returns at the latest */
};

/* Adds fd to the set and returns its slot; -1 when fd is negative or the set is
 * full. */
int proxy_watch(struct proxy_poll_set *set, int fd, short events);
/* Returns the events of a slot; 0 for slot -1. */
short proxy_events(const struct proxy_poll_set *set, int slot);
/* Makes poll return at due_us at the latest. */
void proxy_wake_at(struct proxy_poll_set *set, int64_t due_us);
int64_t proxy_now(void);
/* Returns true if the link forwards nothing in this direction. */
bool proxy_is_cut(const struct proxy_link *link, bool up);

/* Opens the link's socket; returns false when it cannot be bound. */
bool proxy_open_link(struct proxy_link *link);

/* The watch functions add the sockets of a link to the poll set; the serve
 * functions process their events. */
void proxy_watch_tcp(struct proxy_link *link, struct proxy_poll_set *set);
void proxy_serve_tcp(struct proxy_link *link, const struct proxy_poll_set *set);
void proxy_close_tcp(struct proxy_link *link);
void proxy_watch_udp(struct proxy_link *link, struct proxy_poll_set *set);
void proxy_serve_udp(struct proxy_link *link, const struct proxy_poll_set *set);
void proxy_close_udp(struct proxy_link *link);

#endif
