#ifndef POPLARBEAM_OPERATOR_H
#define POPLARBEAM_OPERATOR_H

#include "poplarbeam/base.h"
#include "poplarbeam/platform.h"

/*
 * Settings part of the operators' interface: handles a request, given as its
 * body or query values, and returns an HTTP status and a JSON body. The
 * functions do not depend on the HTTP server and may be called from many
 * threads.
 *
 * Errors: {"error":{"code","message"}} with status 400 (malformed request),
 * 404 (no such team or revision), 409 (conflict; with the conflicting change in
 * "winner"), 422 (settings that do not validate; with "lines") or 503 (table
 * service unavailable; or code "unknown": the response to the write was lost,
 * so repeat the request with the same change id).
 */

struct pb_reply {
	int status; /* HTTP status code */
	struct pb_buf body; /* JSON text */
};

void pb_clear_reply(struct pb_reply *reply);

/*
 * POST /admin/v1/apply: body {"team","expect","text","author","change"},
 * returns 200 {"revision"}. deadline_us: monotonic time; no attempt starts
 * after it. *revision receives the new revision, which the caller may announce,
 * or 0 on failure.
 */
void pb_serve_apply(struct pb_context *ctx, struct pb_table *table,
    struct pb_str body, int64_t deadline_us, struct pb_reply *reply,
    uint64_t *revision);
/*
 * GET /admin/v1/settings?team=T: returns 200 {"team","revision","text"}, where
 * revision is that of the team's last change.
 */
void pb_serve_settings(struct pb_context *ctx, struct pb_table *table,
    const char *team, struct pb_reply *reply);
/*
 * GET /admin/v1/history?limit=N: returns 200 {"revisions":[{"revision","team",
 * "author","change","wall_us","previous"}]}, newest first. limit: 1 to
 * PB_HISTORY_ROWS, or NULL or empty for 20.
 */
void pb_serve_history(struct pb_context *ctx, struct pb_table *table,
    const char *limit, struct pb_reply *reply);
/*
 * GET /admin/v1/revision?n=N: returns 200 {"revision","team","text"} with the
 * text that revision N stored or, unless team is NULL or empty, with the
 * settings of that team as of revision N.
 */
void pb_serve_revision(struct pb_context *ctx, struct pb_table *table,
    const char *n, const char *team, struct pb_reply *reply);

#endif
