#ifndef POPLARBEAM_PLATFORM_H
#define POPLARBEAM_PLATFORM_H

#include "poplarbeam/base.h"

/*
 * Interfaces to the services of the platform: the transactional table service,
 * the object store and the list of instances. Each interface is a table of
 * function pointers with one implementation over HTTP; tests replace it by
 * fakes. All calls block the thread, at most for the timeout of the interface,
 * and may be made from many threads unless stated otherwise.
 */

/* One row of the table service. Version 0 means absent. */
struct pb_row {
	char key[160];
	uint64_t version;
	struct pb_buf value; /* JSON text; freed by pb_clear_row */
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
	 * Reads one row. Returns PB_OK, PB_ENOENT, PB_EUNAVAIL, PB_EBUSY (rate
	 * limit), PB_ETIMEDOUT or PB_EPROTO. get and list never change the
	 * table.
	 */
	int (*get)(struct pb_context *ctx, struct pb_table *table,
	    const char *key, struct pb_row *row);
	/*
	 * Applies all puts and deletes if every check succeeds, otherwise none
	 * of them. Returns PB_OK on success. Returns PB_ECONFLICT (a check
	 * failed), PB_EBUSY (rate limit), PB_EUNAVAIL, PB_EINVAL or PB_ENOMEM
	 * when it is certain that nothing was written. Returns PB_EUNKNOWN when
	 * the changes may have been applied or may still be applied later.
	 */
	int (*commit)(struct pb_context *ctx, struct pb_table *table,
	    const struct pb_table_commit *commit);
	/*
	 * Calls fn in key order for at most limit rows whose key begins with
	 * prefix and comes after the key "after". Returns PB_OK, or an error as
	 * for get.
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
	char address[48]; /* host:port of the main HTTP listener */
	char peer[48]; /* routers: host:port of the relay listener */
	char rpc[48]; /* routers: host:port of the ONC RPC listener */
	char admin[48]; /* routers: host:port of the admin listener */
	bool leaving; /* shutting down */
	uint64_t incarnation;
};

struct pb_instances;

struct pb_instances_ops {
	/*
	 * Fetches the whole list into *out, a malloc'ed array that the caller
	 * frees. Returns PB_OK, PB_UNCHANGED (the list is the same as at the
	 * last call, and *out is NULL), PB_EUNAVAIL, PB_ETIMEDOUT or PB_EPROTO.
	 * Must not be called from two threads at the same time.
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
	 * get appends the object to out and returns PB_OK, PB_ENOENT, PB_EBUSY,
	 * PB_EUNAVAIL, PB_ETIMEDOUT or PB_EPROTO. put returns PB_EUNKNOWN when
	 * the response was lost. It replaces the whole object, so the caller
	 * may repeat it.
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
 * Create the implementations over HTTP. base is "http://host:port";
 * timeout_us limits one whole call. Reads reuse connections, and each write
 * uses a new one. The caller frees the result by its drop function. Return NULL
 * when memory runs out.
 */
struct pb_table *pb_new_http_table(
    struct pb_context *ctx, const char *base, int64_t timeout_us);
struct pb_objects *pb_new_http_objects(
    struct pb_context *ctx, const char *base, int64_t timeout_us);
struct pb_instances *pb_new_http_instances(
    struct pb_context *ctx, const char *base, int64_t timeout_us);

#endif
