#ifndef POPLARBEAM_BASE_H
#define POPLARBEAM_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Context, errors, strings, arenas, clocks, hashing and logging: what every
 * other module uses.
 */

#define PB_MSEC INT64_C(1000) /* microseconds in a millisecond */
#define PB_SEC (1000 * PB_MSEC) /* microseconds in a second */

/* Result codes of functions that can fail; 0 is success. */
enum pb_code {
	PB_OK = 0,
	PB_UNCHANGED = 1, /* nothing new since the last call */
	PB_ENOMEM = -1,
	PB_EINVAL = -2, /* malformed input */
	PB_ENOENT = -3, /* no such object */
	PB_ECONFLICT = -4, /* a transaction's check failed */
	PB_EBUSY = -5, /* a limit or quota refused the call */
	PB_EUNAVAIL = -6, /* the peer refused or could not be reached */
	PB_EUNKNOWN = -7, /* sent, but the outcome is not known */
	PB_ETIMEDOUT = -8,
	PB_EPROTO = -9, /* the peer broke its protocol */
	PB_EABORTED = -10
};

/* The last failure of a context: what was being done, and with whom. */
struct pb_error {
	enum pb_code code;
	char step[32];
	char peer[64];
	char text[192];
};

struct pb_clock;
struct pb_log;

/*
 * One per thread. The clock and the log are borrowed and outlive the context.
 */
struct pb_context {
	struct pb_clock *clock;
	struct pb_log *log;
	struct pb_error error;
};

/* Returns NULL when memory runs out. clock and log are borrowed. */
struct pb_context *pb_new_context(struct pb_clock *clock, struct pb_log *log);
void pb_drop_context(struct pb_context *ctx);

/* Records a failure in the context and returns its code. */
int pb_set_error(struct pb_context *ctx, enum pb_code code, const char *step,
    const char *peer, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/* Name of a result code, for logs and JSON. */
const char *pb_code_name(int code);

/* A length-counted string that its owner keeps alive; not terminated. */
struct pb_str {
	const char *data;
	size_t len;
};

#define PB_STR_NONE ((struct pb_str){NULL, 0})

struct pb_str pb_str_from(const char *cstr);
bool pb_str_equal(struct pb_str a, struct pb_str b);
bool pb_str_equal_c(struct pb_str a, const char *b);

/* True when all characters are printable ASCII and none is a space. */
bool pb_is_printable(const char *cstr);

/* Copies s into dst of size cap, cut if needed, always terminated. */
void pb_copy_str(char *dst, size_t cap, const char *src);

/* Growable byte buffer; always has a terminating NUL after len bytes. */
struct pb_buf {
	char *data;
	size_t len;
	size_t cap;
};

int pb_append_buf(struct pb_buf *buf, const void *data, size_t len);
int pb_append_fmt(struct pb_buf *buf, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void pb_clear_buf(struct pb_buf *buf);

/* Appends the zlib form of in. */
int pb_deflate(struct pb_buf *buf, struct pb_str in);
/*
 * Appends the bytes whose zlib form is in; PB_EPROTO if it is malformed or
 * they are more than limit.
 */
int pb_inflate(struct pb_buf *buf, struct pb_str in, size_t limit);

/* Writes and reads 8 bytes in network byte order. */
void pb_put_u64(uint8_t *out, uint64_t value);
uint64_t pb_get_u64(const uint8_t *in);

/* Memory that lives as long as one request; freed as a whole. */
struct pb_arena;

struct pb_arena *pb_new_arena(struct pb_context *ctx);
void pb_drop_arena(struct pb_context *ctx, struct pb_arena *arena);
/* Zeroed and aligned for any type; NULL when memory runs out. */
void *pb_arena_alloc(struct pb_arena *arena, size_t size);
char *pb_arena_strdup(struct pb_arena *arena, const char *src);
struct pb_str pb_arena_str(
    struct pb_arena *arena, const void *data, size_t len);

/* Clock with a monotonic and a wall reading, both in microseconds. */
struct pb_clock_ops {
	int64_t (*now)(struct pb_clock *clock);
	int64_t (*wall)(struct pb_clock *clock);
	void (*sleep)(struct pb_clock *clock, int64_t us);
};

struct pb_clock {
	const struct pb_clock_ops *ops;
};

/* The machine's clocks. */
struct pb_clock *pb_system_clock(void);

/* A clock that stands still until it is advanced; for tests. */
struct pb_manual_clock {
	struct pb_clock base;
	int64_t now_us;
	int64_t wall_us;
};

void pb_init_manual_clock(struct pb_manual_clock *clock, int64_t wall_us);
void pb_advance_clock(struct pb_manual_clock *clock, int64_t us);

/* Microseconds since an arbitrary start; never goes back. */
int64_t pb_now(struct pb_context *ctx);
/* Microseconds since 1970-01-01 UTC. */
int64_t pb_wall(struct pb_context *ctx);

/* XXH3 64-bit hash. */
uint64_t pb_hash(const void *data, size_t len, uint64_t seed);
uint64_t pb_hash_cstr(const char *cstr, uint64_t seed);
/* Mixes two hashes into one. */
uint64_t pb_hash_pair(uint64_t a, uint64_t b);
/*
 * Rendezvous score of (key, node) for a node of the given weight: the node
 * with the highest score wins, each with a chance proportional to its weight.
 */
double pb_rendezvous_score(uint64_t key, uint64_t node, double weight);

/* Small seeded generator (splitmix64) for jitter and tests. */
struct pb_random {
	uint64_t state;
};

uint64_t pb_next_random(struct pb_random *rnd);
/* Uniform in [0, 1). */
double pb_next_unit(struct pb_random *rnd);

enum pb_level {
	PB_DEBUG,
	PB_INFO,
	PB_WARN,
	PB_ERROR
};

/* The level of that name; PB_INFO for an unknown one. */
enum pb_level pb_parse_level(const char *name);

/* JSON-lines log. file is borrowed; instance is copied. */
struct pb_log *pb_new_log(
    FILE *file, enum pb_level level, const char *instance);
void pb_drop_log(struct pb_log *log);
/*
 * Bounds the volume: further lines of a second are dropped and counted, and
 * the next line tells how many. Lines that a full pipe would hold up are
 * dropped too, so that logging never blocks. 0: no limit.
 */
void pb_limit_log(struct pb_log *log, int lines_per_s);

/*
 * Writes one line {"time","level","instance","step","peer","request","text"}.
 * peer and request may be NULL.
 */
void pb_log(struct pb_context *ctx, enum pb_level level, const char *step,
    const char *peer, const char *request, const char *fmt, ...)
    __attribute__((format(printf, 6, 7)));

/* Logs the context's last error. */
void pb_log_error(
    struct pb_context *ctx, enum pb_level level, const char *request);

#endif
