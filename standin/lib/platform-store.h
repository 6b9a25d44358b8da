#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Data of the platform stand-in, in memory: rows ordered by key with
 * versions, objects, and an instance list whose edits show after a lag. Not
 * locked: the caller serialises calls.
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

/* An edit of the instance list that does not show yet; NULL entry: removal. */
struct platform_edit {
	struct platform_edit *next;
	int64_t visible_us;
	json_t *entry;
	char id[64];
};

struct platform_store {
	struct platform_rows rows;
	uint64_t version; /* of the last commit */
	json_t *instances; /* visible entries by id */
	struct platform_edit *edits;
	struct platform_edit **edits_tail;
	struct platform_rows objects; /* values are JSON strings or null */
};

void platform_init_store(struct platform_store *store);
void platform_clear_store(struct platform_store *store);

/* Index of the first row whose key is not less than key. */
size_t platform_seek_row(const struct platform_rows *rows, const char *key);
/* NULL when absent. */
const struct platform_row *platform_find_row(
    const struct platform_rows *rows, const char *key);
/* Takes over value; false when memory runs out. */
bool platform_put_row(struct platform_rows *rows, const char *key,
    uint64_t version, json_t *value);
void platform_delete_row(struct platform_rows *rows, const char *key);

/* Rows that the commit puts or deletes; -1 when it is malformed. */
int platform_commit_size(const json_t *commit);
/*
 * Applies a well-formed commit: 200, or 409 with the key whose check failed
 * and its current version. The version is the new one on success.
 */
int platform_apply_commit(struct platform_store *store, const json_t *commit,
    const char **conflict, uint64_t *version);

/* Queues an edit; takes over entry, which is NULL for a removal. */
bool platform_edit_instance(struct platform_store *store, const char *id,
    json_t *entry, int64_t visible_us);
/* {"instances":[...]} as it shows at now_us; a new reference. */
json_t *platform_list_instances(struct platform_store *store, int64_t now_us);

/* Loads {"instances":[...],"rows":[{"key","value"}]}; false on bad input. */
bool platform_load_store(struct platform_store *store, const char *path);

#endif
