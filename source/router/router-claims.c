#include "router-internal.h"

#include <string.h>

#define FLUSH_INTERVAL (1 * PB_SEC)
#define FLUSH_BATCH 16 /* outcomes recorded per round */
#define EXPIRE_ROUNDS 5 /* rounds per router of the fleet */
#define EXPIRE_BATCH 64 /* rows examined per call */
#define CURSOR_MAX 160 /* bytes of a row's key */

size_t
router_flush_claim_backlog(struct pb_context *ctx, struct pb_router *r)
{
	struct pb_settings *s = pb_node_settings(r->node);
	struct pb_claim_policy policy;
	size_t left;

	if (s == NULL)
		return 0;
	policy = pb_node_claim_policy(r->node, s);
	left =
	    pb_flush_claim_backlog(ctx, r->node->table, &policy, FLUSH_BATCH);
	pb_drop_settings(ctx, s);
	return left;
}

static void
expire_claims(struct pb_context *ctx, struct pb_router *r, char *cursor)
{
	struct pb_settings *s = pb_node_settings(r->node);
	struct pb_claim_policy policy;

	if (s == NULL)
		return;
	policy = pb_node_claim_policy(r->node, s);
	if (pb_expire_claims(ctx, r->node->table, &policy, cursor, CURSOR_MAX,
		EXPIRE_BATCH) < 0)
		pb_log_error(ctx, PB_WARN, NULL);
	pb_drop_settings(ctx, s);
}

void *
router_run_claims(void *arg)
{
	struct pb_router *r = arg;
	struct pb_context ctx = pb_node_context(r->node);
	char cursor[CURSOR_MAX] = "";
	int round = 0;

	while (router_sleep(r, FLUSH_INTERVAL)) {
		router_flush_claim_backlog(&ctx, r);
		/*
		 * The number of rounds grows with the number of routers, so
		 * that the whole fleet makes one call per EXPIRE_ROUNDS
		 * seconds.
		 */
		if (++round >= EXPIRE_ROUNDS * router_count_routers(&ctx, r)) {
			round = 0;
			expire_claims(&ctx, r, cursor);
		}
	}
	return NULL;
}
