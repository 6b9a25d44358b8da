#ifndef STORE_PRIVATE_H
#define STORE_PRIVATE_H

#include "poplarbeam/store.h"

#include <jansson.h>

#define PB_HEAD_KEY "settings/head"
#define PB_SUBTREE_PREFIX "settings/subtree/"
#define PB_HISTORY_PREFIX "settings/history/"
#define PB_TEXT_PREFIX "settings/text/"
#define PB_STORE_KEY_CAP 160

/* Writes the prefix and the revision, zero-padded to 20 digits, to dst. */
void pb_revision_key(char *dst, const char *prefix, uint64_t revision);

/* Parses a row's JSON object; returns NULL and sets the error on failure. */
json_t *pb_parse_row(struct pb_context *ctx, const struct pb_row *row);
/*
 * Returns the object as JSON text and releases the object. Returns NULL when
 * the object is NULL or memory is exhausted.
 */
char *pb_dump_row(json_t *object);

json_t *pb_pack_info(const struct pb_revision_info *info);
int pb_unpack_info(struct pb_context *ctx, const json_t *object,
    struct pb_revision_info *info);
/*
 * Appends the object's member "text" to the buffer. Returns PB_OK, PB_EPROTO or
 * PB_ENOMEM.
 */
int pb_unpack_text(
    struct pb_context *ctx, const json_t *object, struct pb_buf *text);
/* Appends the subtree in a row's object; leaves its row version at 0. */
int pb_parse_subtree(struct pb_context *ctx, struct pb_settings_tree *tree,
    const json_t *object);
int pb_read_history_row(struct pb_context *ctx, struct pb_table *table,
    uint64_t revision, struct pb_revision_info *info);

#endif
