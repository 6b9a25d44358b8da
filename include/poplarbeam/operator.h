#ifndef POPLARBEAM_OPERATOR_H
#define POPLARBEAM_OPERATOR_H

#include "poplarbeam/base.h"
#include "poplarbeam/platform.h"

/*
 * Settings part of the operators' interface: turns a request body or query
 * values into an HTTP status and a JSON body. The functions do not know the
 * HTTP server and may be called from many threads.
 *
 * Errors: {"error":{"code","message"}} with status 400 (malformed request),
 * 404 (no such team or revision), 409 (conflict; with "winner"), 422 (settings
 * that do not validate; with "lines") or 503 (table service not available, or
 * code "unknown": the answer to the write was lost, repeat the request with
 * the same change id).
 */

struct pb_reply {
	int status; /* HTTP */
	struct pb_buf body; /* JSON text */
};

void pb_clear_reply(struct pb_reply *reply);

/*
 * POST /admin/v1/apply: body {"team","expect","text","author","change"}. 200
 * {"revision"}. deadline_us: monotonic time after which no try begins.
 * *revision receives the new revision, or 0; the caller may announce it.
 */
void pb_serve_apply(struct pb_context *ctx, struct pb_table *table,
    struct pb_str body, int64_t deadline_us, struct pb_reply *reply,
    uint64_t *revision);
/*
 * GET /admin/v1/settings?team=T: 200 {"team","revision","text"}, where
 * revision is that of the subtree's last change.
 */
void pb_serve_settings(struct pb_context *ctx, struct pb_table *table,
    const char *team, struct pb_reply *reply);
/*
 * GET /admin/v1/history?limit=N: 200 {"revisions":[{"revision","team",
 * "author","change","wall_us","previous"}]}, newest first. limit: NULL or
 * empty for 20.
 */
void pb_serve_history(struct pb_context *ctx, struct pb_table *table,
    const char *limit, struct pb_reply *reply);
/*
 * GET /admin/v1/revision?n=N: 200 {"revision","team","text"}. With a team
 * (may be NULL): that team's settings as they were at revision N.
 */
void pb_serve_revision(struct pb_context *ctx, struct pb_table *table,
    const char *n, const char *team, struct pb_reply *reply);

#endif
