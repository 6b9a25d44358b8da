#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Data of the platform stand-in, in memory: versioned rows in key order,
 * objects, and an instance list whose edits become visible after a delay. Not
 * thread-safe: the caller serializes calls.
 */

struct platform_row {
	char *key;
	uint64_t version;
	json_t *value;
};

/* Rows in key order. */
struct platform_rows {
	struct platform_row *items;
	size_t count;
	size_t cap;
};

/* An edit of the instance list that is not visible yet. */
struct platform_edit {
	struct platform_edit *next;
	int64_t visible_us;
	json_t *entry; /* NULL: the instance is removed */
	char id[64];
};

struct platform_store {
	struct platform_rows rows;
	uint64_t version; /* version of the last commit */
	json_t *instances; /* visible entries by id */
	struct platform_edit *edits; /* in the order of their arrival */
	struct platform_edit **edits_tail;
	struct platform_rows objects; /* values are JSON strings or null */
};

void platform_init_store(struct platform_store *store);
void platform_clear_store(struct platform_store *store);

/* Returns the index of the first row whose key is not less than key. */
size_t platform_seek_row(const struct platform_rows *rows, const char *key);
/* Returns NULL when there is no such row. */
const struct platform_row *platform_find_row(
    const struct platform_rows *rows, const char *key);
/* Takes ownership of value; returns false when memory runs out. */
bool platform_put_row(struct platform_rows *rows, const char *key,
    uint64_t version, json_t *value);
void platform_delete_row(struct platform_rows *rows, const char *key);

/* Returns the number of rows that the commit puts or deletes; -1 when it is
 * malformed. */
int platform_commit_size(const json_t *commit);
/*
 * Applies a well-formed commit. Returns 200 and sets *version to the new
 * version, or returns 409 and sets *conflict to the key whose check failed and
 * *version to the current version of this row.
 */
int platform_apply_commit(struct platform_store *store, const json_t *commit,
    const char **conflict, uint64_t *version);

/* Queues an edit that becomes visible at visible_us, and takes ownership of
 * entry, which is NULL for a removal. Returns false when the id is too long or
 * memory runs out. */
bool platform_edit_instance(struct platform_store *store, const char *id,
    json_t *entry, int64_t visible_us);
/* Returns {"instances":[...]} as visible at now_us; a new reference. */
json_t *platform_list_instances(struct platform_store *store, int64_t now_us);

/* Loads {"instances":[...],"rows":[{"key","value"}]} from a file; returns false
 * when the input is malformed. */
bool platform_load_store(struct platform_store *store, const char *path);

#endif
