#ifndef STANDIN_PROXY_LINK_H
#define STANDIN_PROXY_LINK_H

#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "poplarbeam/base.h"

/*
 * Links of the fault-injecting proxy. One thread does all the I/O; settings
 * and counters of a link are shared with the control surface under the
 * caller's lock.
 */

enum proxy_mode {
	PROXY_PASS,
	PROXY_CUT, /* nothing passes, connections stay open */
	PROXY_CUT_UP, /* nothing passes towards the target */
	PROXY_CUT_DOWN, /* nothing passes towards the client */
	PROXY_REFUSE, /* TCP: new connections are refused */
	PROXY_RESET, /* TCP: reset after so many bytes to the client */
	PROXY_TRUNCATE, /* TCP: closed after so many bytes to the client */
	PROXY_DELAY,
	PROXY_MODES
};

/* What the control surface sets. */
struct proxy_faults {
	enum proxy_mode mode;
	uint64_t bytes; /* for reset and truncate, counted from the setting */
	int delay_ms;
	int count; /* resets or truncations until it passes again; 0: all */
	double drop; /* UDP: share of datagrams, 0..1 */
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
	uint64_t bytes_up;
	uint64_t bytes_down;
};

struct proxy_conn;
struct proxy_peer;
struct proxy_datagram;

struct proxy_link {
	struct proxy_link *next;
	char name[48];
	bool udp;
	int fd; /* listening or datagram socket; -1 while refusing */
	int slot; /* in the poll set */
	struct sockaddr_in listen;
	struct sockaddr_in target;
	struct proxy_faults faults;
	struct proxy_stats stats;
	uint64_t epoch; /* counts settings of the faults */
	struct pb_random rnd;
	struct proxy_conn *conns; /* TCP */
	struct proxy_peer *peers; /* UDP, one per client address */
	size_t peer_count;
	struct proxy_datagram *held; /* UDP, datagrams that wait */
};

/* A poll set that is filled anew for each wait. */
struct proxy_set {
	struct pollfd fds[4096];
	size_t count;
	int64_t wake_us; /* when the next delayed data is due */
};

/* Adds fd to the set and returns its slot, or -1. */
int proxy_watch(struct proxy_set *set, int fd, short events);
/* Events of a slot; 0 for slot -1. */
short proxy_events(const struct proxy_set *set, int slot);
void proxy_wake_at(struct proxy_set *set, int64_t due_us);
int64_t proxy_now(void);
/* True when the link lets nothing pass in this direction. */
bool proxy_is_cut(const struct proxy_link *link, bool up);

/* Opens the link's socket; false when the port is taken. */
bool proxy_open_link(struct proxy_link *link);

void proxy_watch_tcp(struct proxy_link *link, struct proxy_set *set);
void proxy_serve_tcp(struct proxy_link *link, const struct proxy_set *set);
void proxy_close_tcp(struct proxy_link *link);
void proxy_watch_udp(struct proxy_link *link, struct proxy_set *set);
void proxy_serve_udp(struct proxy_link *link, const struct proxy_set *set);
void proxy_close_udp(struct proxy_link *link);

#endif
