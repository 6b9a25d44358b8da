#ifndef POPLARBEAM_SETTINGS_H
#define POPLARBEAM_SETTINGS_H

#include "poplarbeam/base.h"
#include "poplarbeam/limit.h"
#include "poplarbeam/queue.h"

/*
 * The operators' settings. The YAML documents of the fleet and of the teams are
 * checked and merged into one immutable snapshot. Messages about invalid values
 * state the file, line, path and expected unit.
 */

#define PB_SHA256_LEN 32 /* bytes */
#define PB_FLEET_TEAM "fleet" /* name of the fleet's subtree in the store */

enum pb_service_kind {
	PB_SERVICE_MODEL, /* OpenAI-compatible chats, by model name */
	PB_SERVICE_PLAIN /* any HTTP call, by path prefix */
};

#define PB_ORDERS_MAX 4 /* maximum number of orders of a service */

/* A desired state of all upstreams of a service. */
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
	int upstreams; /* expected number; determines the default of cells */
	double bound; /* maximum load relative to the mean */
	double inner_limit; /* admission limit, at most bound */
	uint32_t floor_work; /* load that is always allowed, in work units */
	double capacity; /* work units that an upstream can hold at once */
	uint32_t answer_work; /* response tokens assumed without max_tokens */
	uint32_t call_work; /* work units of a plain call */
	size_t max_body_bytes;
	int64_t ramp_us; /* until a new upstream has its full weight */
	int64_t timeout_us; /* time limit for the whole request */
	int64_t connect_us; /* time limit for connecting to an upstream */
	int64_t idle_us; /* maximum time without data from an upstream */
	uint32_t queue_items;
	uint64_t queue_bytes;
	bool resume; /* upstreams can resume streams */
	double eject_share; /* maximum share of ejected upstreams, 0..1 */
	bool fencing; /* upstreams reject outdated fencing numbers */
	int order_count;
	struct pb_service_order orders[PB_ORDERS_MAX];
};

struct pb_account {
	char name[48];
	char team[48];
	uint64_t id; /* pb_hash_cstr(name, 0) */
	/*
	 * pb_hash of the key, or of its SHA-256 digest if key_sha_only is set,
	 * because the settings then do not contain the key itself.
	 */
	uint64_t key_hash;
	bool key_sha_only; /* the settings give key_sha instead of key */
	uint8_t key_sha[PB_SHA256_LEN]; /* SHA-256 digest of the bearer key */
	double weight;
	int best_rank; /* index of the most urgent rank allowed */
	int default_rank;
	struct pb_account_limits limits;
};

struct pb_settings {
	uint64_t revision;
	int refs; /* accessed atomically */
	int rank_count;
	struct pb_rank_policy rank[PB_RANKS_MAX];
	int default_rank; /* for accounts that set no rank */
	int service_count;
	struct pb_service *services; /* sorted by name */
	int account_count;
	struct pb_account *accounts; /* sorted by key_hash */
	/* Accounts sorted by id; NULL if not built by the parser. */
	const struct pb_account **account_by_id;
	double retry_share; /* retries allowed per first attempt */
	double retry_burst; /* maximum number of retries saved up */
	int64_t containment_us; /* how long a crashing request is refused */
	uint32_t strikes; /* crashes before a request is contained */
	int64_t takeover_us; /* duration of cautious mode of a new cell owner */
	int64_t poll_us;
	int64_t freshness_us; /* maximum age of the last confirmation */
	int64_t drain_us; /* time limit for a graceful stop */
	/* Age of a claim after which nothing may be sent under it. */
	int64_t claim_send_us;
	int64_t claim_retention_us; /* age after which a claim is deleted */
	/*
	 * Share of a cell's capacity that accounts above their fair share leave
	 * free, 0..1.
	 */
	double account_headroom;
	double control_bytes_per_sec;
	int64_t digest_us; /* period of the digest exchange */
};

/*
 * One YAML document. name identifies it in messages; team is empty for the
 * fleet's document.
 */
struct pb_settings_text {
	const char *name;
	const char *team;
	struct pb_str text;
};

/* Faults of the documents, as lines "file:line: path: message". */
struct pb_settings_report {
	struct pb_buf lines; /* at most PB_REPORT_LINES_MAX lines */
	int count; /* faults found, including those not listed */
};

#define PB_REPORT_LINES_MAX 200

void pb_clear_settings_report(struct pb_settings_report *report);

/*
 * Returns true if text has 1 to 47 letters, digits, ".", "_" and "-", and
 * does not start with ".".
 */
bool pb_is_valid_name(struct pb_str text);

/*
 * Parses and checks documents and merges them into a new snapshot with one
 * reference, owned by the caller. Returns NULL if a check failed or memory ran
 * out, and adds the reasons to the report.
 */
struct pb_settings *pb_parse_settings(struct pb_context *ctx,
    const struct pb_settings_text *texts, size_t count, uint64_t revision,
    struct pb_settings_report *report);
/*
 * Works like pb_parse_settings, but copies the services and accounts of teams
 * without a document in texts from an older snapshot. If there is a fleet's
 * document, it must be in texts and be the one that the older snapshot was
 * parsed with, because a snapshot holds resolved ranks and defaults.
 */
struct pb_settings *pb_parse_settings_changes(struct pb_context *ctx,
    const struct pb_settings *old, const struct pb_settings_text *texts,
    size_t count, uint64_t revision, struct pb_settings_report *report);
struct pb_settings *pb_keep_settings(struct pb_settings *settings);
void pb_drop_settings(struct pb_context *ctx, struct pb_settings *settings);

/*
 * The pb_find_ functions for services and accounts return NULL if there is no
 * match. The result is valid as long as the snapshot.
 */
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
/* Returns the index of the rank, or -1 if there is none. */
int pb_find_rank(const struct pb_settings *settings, const char *name);

#endif
