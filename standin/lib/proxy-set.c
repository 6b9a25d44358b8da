#include "proxy-link.h"

#include <time.h>

int
proxy_watch(struct proxy_poll_set *set, int fd, short events)
{
	if (fd < 0 || set->count == sizeof(set->fds) / sizeof(set->fds[0]))
		return -1;
	set->fds[set->count] = (struct pollfd){fd, events, 0};
	return (int)set->count++;
}

short
proxy_events(const struct proxy_poll_set *set, int slot)
{
	return slot < 0 ? 0 : set->fds[slot].revents;
}

void
proxy_wake_at(struct proxy_poll_set *set, int64_t due_us)
{
	if (due_us < set->wake_us)
		set->wake_us = due_us;
}

int64_t
proxy_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * PB_SEC + ts.tv_nsec / 1000;
}

bool
proxy_is_cut(const struct proxy_link *link, bool up)
{
	return link->faults.mode == PROXY_CUT ||
	    link->faults.mode == (up ? PROXY_CUT_UP : PROXY_CUT_DOWN);
}
