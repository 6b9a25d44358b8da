#ifndef POPLARBEAM_SETTINGS_H
#define POPLARBEAM_SETTINGS_H

#include "poplarbeam/base.h"
#include "poplarbeam/limit.h"
#include "poplarbeam/queue.h"

/*
 * The operators' settings: YAML text of the fleet and of each team's subtree,
 * checked and turned into one immutable snapshot. Every message about a bad
 * value names file, line, path and unit.
 */

#define PB_SHA256_LEN 32 /* bytes */
#define PB_FLEET_TEAM "fleet" /* name of the fleet's subtree in the store */

enum pb_service_kind {
	PB_SERVICE_MODEL, /* OpenAI-compatible chats, by model name */
	PB_SERVICE_PLAIN /* any HTTP call, by path prefix */
};

#define PB_ORDERS_MAX 4 /* orders of one service */

/* A state that every upstream of the service should be in. */
struct pb_service_order {
	char name[48];
	char desired[256]; /* JSON object, compact, keys sorted */
};

struct pb_service {
	char name[48];
	char team[48];
	enum pb_service_kind kind;
	char prefix[64]; /* plain services: path prefix, "/booking" */
	int cells; /* cells of the service, at least 1 */
	int upstreams; /* expected number, from which cells follows */
	double bound;
	double inner_limit;
	uint32_t floor_work;
	double capacity; /* work units that one upstream holds at once */
	uint32_t answer_work; /* expected answer tokens when not given */
	uint32_t call_work; /* work of one plain call */
	size_t max_body_bytes;
	int64_t ramp_us;
	int64_t timeout_us; /* whole request */
	int64_t connect_us; /* connection to an upstream */
	int64_t idle_us; /* longest silence of an upstream */
	uint32_t queue_items;
	uint64_t queue_bytes;
	bool resume; /* upstream can resume streams */
	double eject_share; /* largest share of upstreams ejected */
	bool fencing; /* upstreams refuse an old fencing number */
	int order_count;
	struct pb_service_order orders[PB_ORDERS_MAX];
};

struct pb_account {
	char name[48];
	char team[48];
	uint64_t id; /* pb_hash_cstr(name, 0) */
	/*
	 * With key: pb_hash of the key. With key_sha: pb_hash of the SHA-256
	 * digest of the key, because the key itself is not in the settings.
	 */
	uint64_t key_hash;
	bool key_by_sha;
	uint8_t key_sha[PB_SHA256_LEN]; /* digest of the bearer key */
	double weight;
	int best_rank; /* index of the most urgent rank it may use */
	int default_rank;
	struct pb_account_limits limits;
};

struct pb_settings {
	uint64_t revision;
	int refs; /* atomic */
	int rank_count;
	struct pb_rank_policy rank[PB_RANKS_MAX];
	int default_rank; /* of accounts that name none */
	int service_count;
	struct pb_service *services; /* sorted by name */
	int account_count;
	struct pb_account *accounts; /* sorted by key_hash */
	/* Accounts sorted by id; NULL in a snapshot that was built by hand. */
	const struct pb_account **account_by_id;
	double retry_share; /* retries per first attempt */
	double retry_burst; /* retries saved up at most */
	int64_t containment_us;
	uint32_t strikes; /* crashes until containment */
	int64_t takeover_us;
	int64_t poll_us;
	int64_t freshness_us;
	int64_t drain_us; /* deadline of a graceful stop */
	int64_t claim_send_us;
	int64_t claim_retention_us;
	double account_headroom; /* share of a cell, 0..1 */
	double control_bytes_per_sec;
	int64_t digest_us;
};

/* One YAML document. name is used in messages; team is empty for the fleet. */
struct pb_settings_text {
	const char *name;
	const char *team;
	struct pb_str text;
};

/* Collects "file:line: path: message" lines. */
struct pb_settings_report {
	struct pb_buf lines; /* at most PB_REPORT_LINES_MAX lines */
	int count; /* faults found, also those beyond the last line */
};

#define PB_REPORT_LINES_MAX 200

void pb_clear_report(struct pb_settings_report *report);

/* True for 1 to 47 letters, digits, ".", "_" and "-", not "." first. */
bool pb_is_name(struct pb_str text);

/*
 * Parses and checks documents and merges them into a new snapshot with one
 * reference, owned by the caller. NULL when any check failed; the report then
 * says why.
 */
struct pb_settings *pb_parse_settings(struct pb_context *ctx,
    const struct pb_settings_text *texts, size_t count, uint64_t revision,
    struct pb_settings_report *report);
/*
 * As pb_parse_settings, but takes the services and accounts of teams that are
 * not among the texts from an older snapshot. The texts must include the
 * fleet's document when there is one, and it must be the one that the older
 * snapshot was parsed with: ranks and defaults are resolved in the snapshot.
 */
struct pb_settings *pb_parse_changes(struct pb_context *ctx,
    const struct pb_settings *old, const struct pb_settings_text *texts,
    size_t count, uint64_t revision, struct pb_settings_report *report);
struct pb_settings *pb_keep_settings(struct pb_settings *settings);
void pb_drop_settings(struct pb_context *ctx, struct pb_settings *settings);

/* NULL when there is none. The result lives as long as the snapshot. */
const struct pb_service *pb_find_service(
    const struct pb_settings *settings, const char *name);
const struct pb_service *pb_find_service_by_path(
    const struct pb_settings *settings, const char *path);
const struct pb_account *pb_find_account_by_key(
    const struct pb_settings *settings, struct pb_str key);
const struct pb_account *pb_find_account(
    const struct pb_settings *settings, const char *name);
const struct pb_account *pb_find_account_by_id(
    const struct pb_settings *settings, uint64_t id);
/* Index of the rank, or -1. */
int pb_find_rank(const struct pb_settings *settings, const char *name);

#endif
