#include "router-internal.h"

int
router_init_digest(struct pb_context *ctx, struct pb_router *r)
{
	(void)ctx;
	(void)r;
	return PB_OK;
}

int
router_fetch_from_peers(struct pb_context *ctx, struct pb_router *r,
    uint64_t wanted, struct pb_settings_tree *tree)
{
	(void)r;
	(void)wanted;
	(void)tree;
	return pb_set_error(
	    ctx, PB_ENOENT, "fetch-settings", NULL, "no peer has them");
}
