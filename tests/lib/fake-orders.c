#include "fake-orders.h"

#include <stdlib.h>
#include <string.h>

static int
accept_order(struct fake_upstream *u, uint64_t fence, const char *desired)
{
	if (fence < u->fence && !u->ignores_fence) {
		u->refused++;
		return PB_ECONFLICT;
	}
	if (fence < u->fence)
		u->stale++;
	else
		u->fence = fence;
	u->set = true;
	pb_copy_str(u->desired, sizeof(u->desired), desired);
	return PB_OK;
}

void
fake_apply_late_orders(struct fake_orders *fake, double chance)
{
	int i;

	for (i = 0; i < FAKE_LATE_ORDERS_MAX; i++) {
		struct fake_late_order *late = &fake->late[i];

		if (!late->used || pb_next_uniform(&fake->rnd) >= chance)
			continue;
		late->used = false;
		accept_order(&fake->upstreams[late->upstream], late->fence,
		    late->desired);
	}
}

static void
postpone_order(
    struct fake_orders *fake, int upstream, uint64_t fence, const char *desired)
{
	int i;

	for (i = 0; i < FAKE_LATE_ORDERS_MAX; i++) {
		struct fake_late_order *late = &fake->late[i];

		if (late->used)
			continue;
		late->used = true;
		late->upstream = upstream;
		late->fence = fence;
		pb_copy_str(late->desired, sizeof(late->desired), desired);
		return;
	}
}

static int
fake_put(struct pb_context *ctx, struct pb_orders *port, const char *upstream,
    const char *name, uint64_t fence, struct pb_str desired, uint64_t *newer)
{
	struct fake_orders *fake = (struct fake_orders *)port;
	int n = atoi(upstream + 1), rc;
	char text[64];

	(void)ctx;
	(void)name;
	snprintf(text, sizeof(text), "%.*s", (int)desired.len, desired.data);
	fake->puts++;
	if (fake->upstreams[n].down)
		return PB_EUNAVAIL;
	if (fake->upstreams[n].discards_orders)
		return PB_OK;
	if (fake->step != NULL)
		fake->step(fake->step_arg);
	if (pb_next_uniform(&fake->rnd) < fake->postpone_chance) {
		postpone_order(fake, n, fence, text);
		return PB_EUNKNOWN;
	}
	rc = accept_order(&fake->upstreams[n], fence, text);
	if (rc == PB_ECONFLICT)
		*newer = fake->upstreams[n].fence;
	if (pb_next_uniform(&fake->rnd) < fake->lose_chance)
		return PB_EUNKNOWN;
	return rc;
}

static int
fake_get(struct pb_context *ctx, struct pb_orders *port, const char *upstream,
    const char *name, struct pb_order_state *state)
{
	struct fake_orders *fake = (struct fake_orders *)port;
	const struct fake_upstream *u = &fake->upstreams[atoi(upstream + 1)];

	(void)ctx;
	(void)name;
	if (u->down)
		return PB_EUNAVAIL;
	if (!u->set)
		return PB_ENOENT;
	state->fence = u->ignores_fence ? 0 : u->fence;
	return pb_append_buf(&state->desired, u->desired, strlen(u->desired));
}

void
fake_init_orders(struct fake_orders *fake)
{
	static const struct pb_orders_ops ops = {fake_put, fake_get};

	memset(fake, 0, sizeof(*fake));
	fake->base.ops = &ops;
}
