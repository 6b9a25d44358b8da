#include "poplarbeam/base.h"

#include <stdatomic.h>
#include <time.h>

#define SLEEP_SLICE (20 * PB_MSEC) /* between checks for a stop */

static int64_t
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * PB_SEC + ts.tv_nsec / 1000;
}

static int64_t
system_now(struct pb_clock *clock)
{
	(void)clock;
	/*
	 * CLOCK_BOOTTIME includes the time in suspend, so a lease that expired
	 * during suspend is detected after it.
	 */
	return read_clock(CLOCK_BOOTTIME);
}

static int64_t
system_wall(struct pb_clock *clock)
{
	(void)clock;
	return read_clock(CLOCK_REALTIME);
}

static void
system_sleep(struct pb_clock *clock, int64_t us)
{
	struct timespec ts = {us / PB_SEC, us % PB_SEC * 1000};

	(void)clock;
	nanosleep(&ts, NULL);
}

struct pb_clock *
pb_system_clock(void)
{
	static const struct pb_clock_ops ops = {
	    system_now, system_wall, system_sleep};
	static struct pb_clock clock = {&ops};

	return &clock;
}

void
pb_sleep_unless(struct pb_clock *clock, int64_t us, const _Atomic int *stop)
{
	int64_t end = clock->ops->now(clock) + us;
	int64_t left = us;

	while (left > 0 && !atomic_load(stop)) {
		clock->ops->sleep(
		    clock, left < SLEEP_SLICE ? left : SLEEP_SLICE);
		left = end - clock->ops->now(clock);
	}
}

static int64_t
manual_now(struct pb_clock *clock)
{
	return ((struct pb_manual_clock *)clock)->now_us;
}

static int64_t
manual_wall(struct pb_clock *clock)
{
	return ((struct pb_manual_clock *)clock)->wall_us;
}

static void
manual_sleep(struct pb_clock *clock, int64_t us)
{
	pb_advance_clock((struct pb_manual_clock *)clock, us);
}

void
pb_init_manual_clock(struct pb_manual_clock *clock, int64_t wall_us)
{
	static const struct pb_clock_ops ops = {
	    manual_now, manual_wall, manual_sleep};

	clock->base.ops = &ops;
	clock->now_us = 0;
	clock->wall_us = wall_us;
}

void
pb_advance_clock(struct pb_manual_clock *clock, int64_t us)
{
	clock->now_us += us;
	clock->wall_us += us;
}

int64_t
pb_now(struct pb_context *ctx)
{
	return ctx->clock->ops->now(ctx->clock);
}

int64_t
pb_wall_time(struct pb_context *ctx)
{
	return ctx->clock->ops->wall(ctx->clock);
}
