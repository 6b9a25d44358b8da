#ifndef POPLARBEAM_BASE_H
#define POPLARBEAM_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Context, errors, strings, arenas, clocks, hashing and logging, which all
 * other modules use.
 */

#define PB_MSEC INT64_C(1000) /* microseconds in a millisecond */
#define PB_SEC (1000 * PB_MSEC) /* microseconds in a second */

/* Result codes of functions that can fail; 0 is success. */
enum pb_code {
	PB_OK = 0,
	PB_UNCHANGED = 1, /* the data has not changed since the last call */
	PB_ENOMEM = -1,
	PB_EINVAL = -2, /* malformed input */
	PB_ENOENT = -3, /* no such object */
	PB_ECONFLICT = -4, /* a check of the transaction failed */
	PB_EBUSY = -5, /* a limit or quota refused the call */
	PB_EUNAVAIL = -6, /* the peer refused or could not be reached */
	PB_EUNKNOWN = -7, /* the request was sent, its outcome is not known */
	PB_ETIMEDOUT = -8,
	PB_EPROTO = -9, /* the peer violated the protocol */
	PB_EABORTED = -10
};

/* The last failure that was recorded in a context. */
struct pb_error {
	enum pb_code code;
	char step[32]; /* operation that failed */
	char peer[64]; /* remote side of the operation; may be empty */
	char text[192];
};

struct pb_clock;
struct pb_log;

/*
 * State of one thread. The clock and the log are borrowed and must outlive the
 * context.
 */
struct pb_context {
	struct pb_clock *clock;
	struct pb_log *log;
	struct pb_error error;
};

/* Returns NULL when memory runs out. Borrows clock and log. */
struct pb_context *pb_new_context(struct pb_clock *clock, struct pb_log *log);
void pb_drop_context(struct pb_context *ctx);

/* Records a failure in the context and returns its code. */
int pb_set_error(struct pb_context *ctx, enum pb_code code, const char *step,
    const char *peer, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/* Returns the name of a result code, for logs and JSON. */
const char *pb_code_name(int code);

/* A borrowed string with a length; not necessarily NUL-terminated. */
struct pb_str {
	const char *data;
	size_t len;
};

#define PB_STR_NONE ((struct pb_str){NULL, 0})

struct pb_str pb_str_from(const char *cstr);
bool pb_str_equal(struct pb_str a, struct pb_str b);
bool pb_str_equal_c(struct pb_str a, const char *b);

/* Returns true when all characters are printable ASCII other than space. */
bool pb_is_printable(const char *cstr);

/*
 * Copies src into dst, which has cap bytes. Truncates src if it does not fit
 * and always terminates dst.
 */
void pb_copy_str(char *dst, size_t cap, const char *src);

/* Growable byte buffer. Appending puts a NUL after the len bytes of data. */
struct pb_buf {
	char *data;
	size_t len;
	size_t cap;
};

int pb_append_buf(struct pb_buf *buf, const void *data, size_t len);
int pb_append_fmt(struct pb_buf *buf, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/*
 * Allocates room for len bytes in all. Data appended later allocates no more
 * than that until it is used up.
 */
int pb_reserve_buf(struct pb_buf *buf, size_t len);
void pb_clear_buf(struct pb_buf *buf);

/* Compresses in to the zlib format and appends the result. */
int pb_deflate(struct pb_buf *buf, struct pb_str in);
/*
 * Decompresses in from the zlib format and appends the result. Returns
 * PB_EPROTO if in is malformed or the result has more than limit bytes.
 */
int pb_inflate(struct pb_buf *buf, struct pb_str in, size_t limit);

/* Store and load a 64-bit integer in network byte order. */
void pb_put_u64(uint8_t *out, uint64_t value);
uint64_t pb_get_u64(const uint8_t *in);

/* Allocator whose memory is freed as a whole, usually at a request's end. */
struct pb_arena;

struct pb_arena *pb_new_arena(struct pb_context *ctx);
void pb_drop_arena(struct pb_context *ctx, struct pb_arena *arena);
/*
 * Allocates zeroed memory that is aligned for any type. Returns NULL when
 * memory runs out.
 */
void *pb_arena_alloc(struct pb_arena *arena, size_t size);
char *pb_arena_strdup(struct pb_arena *arena, const char *src);
struct pb_str pb_arena_str(
    struct pb_arena *arena, const void *data, size_t len);

/* Monotonic time and wall-clock time, both in microseconds. */
struct pb_clock_ops {
	int64_t (*now)(struct pb_clock *clock);
	int64_t (*wall)(struct pb_clock *clock);
	void (*sleep)(struct pb_clock *clock, int64_t us);
};

struct pb_clock {
	const struct pb_clock_ops *ops;
};

/* Returns the clock of the operating system. */
struct pb_clock *pb_system_clock(void);

/*
 * Sleeps for us microseconds, or until shortly after *stop is set. The thread
 * wakes up several times in between, and late wakeups do not add up.
 */
void pb_sleep_unless(
    struct pb_clock *clock, int64_t us, const _Atomic int *stop);

/* A clock for tests, which changes only when it is advanced. */
struct pb_manual_clock {
	struct pb_clock base;
	int64_t now_us;
	int64_t wall_us;
};

void pb_init_manual_clock(struct pb_manual_clock *clock, int64_t wall_us);
void pb_advance_clock(struct pb_manual_clock *clock, int64_t us);

/* Returns the monotonic time in microseconds since an arbitrary start. */
int64_t pb_now(struct pb_context *ctx);
/* Returns the wall-clock time in microseconds since 1970-01-01 UTC. */
int64_t pb_wall_time(struct pb_context *ctx);

/* Return the XXH3 64-bit hash. */
uint64_t pb_hash(const void *data, size_t len, uint64_t seed);
uint64_t pb_hash_cstr(const char *cstr, uint64_t seed);
/* Combines two hashes into one. */
uint64_t pb_hash_pair(uint64_t a, uint64_t b);
/*
 * Returns the score of a node for a key in weighted rendezvous hashing. The
 * node with the highest score is selected, so each node is selected for a share
 * of the keys that is proportional to its weight.
 */
double pb_rendezvous_score(uint64_t key, uint64_t node, double weight);

/* Seeded pseudorandom generator (splitmix64) for jitter and tests. */
struct pb_random {
	uint64_t state;
};

uint64_t pb_next_random(struct pb_random *rnd);
/* Returns a uniformly distributed number in [0, 1). */
double pb_next_uniform(struct pb_random *rnd);

enum pb_log_level {
	PB_DEBUG,
	PB_INFO,
	PB_WARN,
	PB_ERROR
};

/* Returns the level with that name, or PB_INFO if there is none. */
enum pb_log_level pb_parse_log_level(const char *name);

/*
 * Creates a log that writes JSON lines to file. Borrows file and copies
 * instance.
 */
struct pb_log *pb_new_log(
    FILE *file, enum pb_log_level level, const char *instance);
void pb_drop_log(struct pb_log *log);
/*
 * Limits the number of lines per second. Lines beyond the limit are dropped,
 * and the next line that is written has their count. Lines for which the pipe
 * has no room are dropped too, so that logging never blocks. 0 turns off the
 * limit and the check of the pipe.
 */
void pb_limit_log(struct pb_log *log, int lines_per_s);

/*
 * Writes one line {"time","level","instance","step","peer","request","text"}.
 * peer and request may be NULL. Members that are NULL or empty are left out.
 */
void pb_log(struct pb_context *ctx, enum pb_log_level level, const char *step,
    const char *peer, const char *request, const char *fmt, ...)
    __attribute__((format(printf, 6, 7)));

/* Logs the last error of the context. */
void pb_log_error(
    struct pb_context *ctx, enum pb_log_level level, const char *request);

#endif
