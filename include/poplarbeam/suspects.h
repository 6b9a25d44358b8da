#ifndef POPLARBEAM_SUSPECTS_H
#define POPLARBEAM_SUSPECTS_H

#include "poplarbeam/base.h"

/*
 * Detects what requests that crash instances have in common: the whole request,
 * which its caller may retry through any router, or one part of the prompt,
 * which different requests share. Such requests are refused after several
 * instances crashed while one of them was in progress, unless a request with
 * the same property has succeeded recently. The module uses no sockets and no
 * threads, and takes the time from the context's clock.
 */

struct pb_suspects;

/* The victim of a record that reports a success instead of a crash. */
#define PB_NO_VICTIM 0

/*
 * One crash of an instance while a request was in progress there. Routers
 * exchange these records.
 */
struct pb_crash {
	uint64_t fingerprint; /* of the request or of a prompt part; never 0 */
	uint64_t victim; /* hash of the instance and its start time */
};

/* Returns NULL if out of memory. */
struct pb_suspects *pb_new_suspects(struct pb_context *ctx);
void pb_drop_suspects(struct pb_context *ctx, struct pb_suspects *suspects);

/* Returns a hash of the request's target, client account and body. */
uint64_t pb_fingerprint(
    struct pb_str target, struct pb_str account, struct pb_str body);
/* Returns a hash of the prompt part, which differs from that of any request. */
uint64_t pb_part_fingerprint(struct pb_str id);

/*
 * Records that the connection to an instance broke while the request was in
 * progress there. Call once for each fingerprint of the request. The same crash
 * may be recorded several times. Returns true if requests with the fingerprint
 * are refused from now on.
 */
bool pb_note_crash(struct pb_context *ctx, struct pb_suspects *suspects,
    const struct pb_crash *crash);
/* Records a crash or a success that another router has reported. */
void pb_note_crash_report(struct pb_context *ctx, struct pb_suspects *suspects,
    const struct pb_crash *report);
/* Records that a request with the fingerprint has succeeded. */
void pb_note_success(
    struct pb_context *ctx, struct pb_suspects *suspects, uint64_t fingerprint);
/*
 * Records that an instance has begun to respond to a request with the prompt
 * part. More crashes are needed then for a refusal, and it ends sooner.
 */
void pb_note_begun(
    struct pb_context *ctx, struct pb_suspects *suspects, uint64_t fingerprint);
/*
 * Returns how long requests with the fingerprint are still refused, in
 * microseconds, or 0 if they may run. Requests that are allowed again after
 * this time are refused again after one further crash.
 */
int64_t pb_refusal_left(
    struct pb_context *ctx, struct pb_suspects *suspects, uint64_t fingerprint);
/* Returns the number of fingerprints that are refused. */
size_t pb_count_refused(struct pb_context *ctx, struct pb_suspects *suspects);

/*
 * Stores up to cap records for other routers and returns their number: recent
 * crashes, all crashes of fingerprints that are refused, and the successes of
 * fingerprints that other routers may suspect.
 */
size_t pb_read_crashes(struct pb_context *ctx, struct pb_suspects *suspects,
    struct pb_crash *crashes, size_t cap);

#endif
