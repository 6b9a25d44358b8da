#ifndef POPLARBEAM_PLATFORM_H
#define POPLARBEAM_PLATFORM_H

#include "poplarbeam/base.h"

/*
 * Ports to what the platform gives: the transactional table service, the
 * object store and the list of instances. Each port is a vtable with one HTTP
 * adapter; tests put small fakes in their place. All calls block the thread,
 * at most for the port's timeout, and may be made from many threads.
 */

/* One row of the table service. Version 0 means absent. */
struct pb_row {
	char key[160];
	uint64_t version;
	struct pb_buf value; /* JSON text; dropped by pb_clear_row */
};

void pb_clear_row(struct pb_row *row);

struct pb_table_check {
	const char *key;
	uint64_t version;
};

struct pb_table_put {
	const char *key;
	struct pb_str value; /* JSON text */
};

struct pb_table_commit {
	const struct pb_table_check *checks;
	size_t check_count;
	const struct pb_table_put *puts;
	size_t put_count;
	const char *const *deletes;
	size_t delete_count;
};

struct pb_table;

struct pb_table_ops {
	/*
	 * PB_OK, PB_ENOENT, PB_EUNAVAIL, PB_EBUSY (rate), PB_ETIMEDOUT,
	 * PB_EPROTO. Neither a read nor a list changes anything.
	 */
	int (*get)(struct pb_context *ctx, struct pb_table *table,
	    const char *key, struct pb_row *row);
	/*
	 * Applies all puts and deletes if every check holds, else nothing.
	 * PB_OK, or one of the following. Nothing was written for certain:
	 * PB_ECONFLICT (a check failed), PB_EBUSY (rate), PB_EUNAVAIL,
	 * PB_EINVAL, PB_ENOMEM. It may have been written, now or later:
	 * PB_EUNKNOWN.
	 */
	int (*commit)(struct pb_context *ctx, struct pb_table *table,
	    const struct pb_table_commit *commit);
	/*
	 * Calls fn for at most limit rows with the prefix, in key order, after
	 * the key "after". Returns PB_OK, or an error as for get.
	 */
	int (*list)(struct pb_context *ctx, struct pb_table *table,
	    const char *prefix, const char *after, int limit,
	    void (*fn)(void *arg, const struct pb_row *row), void *arg);
	void (*drop)(struct pb_context *ctx, struct pb_table *table);
};

struct pb_table {
	const struct pb_table_ops *ops;
};

enum pb_role {
	PB_ROLE_ROUTER,
	PB_ROLE_UPSTREAM
};

/* One entry of the platform's list of instances. */
struct pb_instance {
	char id[48];
	enum pb_role role;
	char service[48]; /* upstreams only */
	char region[24];
	char domain[24];
	char address[48]; /* host:port of the main HTTP surface */
	char peer[48]; /* routers: host:port of the relay surface */
	char rpc[48]; /* routers: host:port of ONC RPC */
	char admin[48]; /* routers: host:port of the operators' surface */
	bool leaving;
	uint64_t incarnation;
};

struct pb_instances;

struct pb_instances_ops {
	/*
	 * Fetches the whole list; *out is a malloc'ed array that the caller
	 * frees. PB_OK, PB_UNCHANGED (as at the last call, *out is NULL),
	 * PB_EUNAVAIL, PB_ETIMEDOUT, PB_EPROTO. One thread at a time.
	 */
	int (*fetch)(struct pb_context *ctx, struct pb_instances *list,
	    struct pb_instance **out, size_t *count);
	void (*drop)(struct pb_context *ctx, struct pb_instances *list);
};

struct pb_instances {
	const struct pb_instances_ops *ops;
};

struct pb_objects;

struct pb_objects_ops {
	/*
	 * get appends to out. PB_OK, PB_ENOENT, PB_EBUSY, PB_EUNAVAIL,
	 * PB_ETIMEDOUT, PB_EPROTO. put returns PB_EUNKNOWN when the answer was
	 * lost; it replaces the whole object, so it may be repeated.
	 */
	int (*get)(struct pb_context *ctx, struct pb_objects *objects,
	    const char *key, struct pb_buf *out);
	int (*put)(struct pb_context *ctx, struct pb_objects *objects,
	    const char *key, struct pb_str value);
	void (*drop)(struct pb_context *ctx, struct pb_objects *objects);
};

struct pb_objects {
	const struct pb_objects_ops *ops;
};

/*
 * HTTP adapters. base is "http://host:port"; timeout in microseconds for one
 * whole call. Reads reuse connections; writes use fresh ones. Dropped by the
 * port's own drop. NULL when memory runs out.
 */
struct pb_table *pb_new_http_table(
    struct pb_context *ctx, const char *base, int64_t timeout_us);
struct pb_objects *pb_new_http_objects(
    struct pb_context *ctx, const char *base, int64_t timeout_us);
struct pb_instances *pb_new_http_instances(
    struct pb_context *ctx, const char *base, int64_t timeout_us);

#endif
