#ifndef STORE_PRIVATE_H
#define STORE_PRIVATE_H

#include "poplarbeam/store.h"

#include <jansson.h>

#define PB_HEAD_KEY "settings/head"
#define PB_SUBTREE_PREFIX "settings/subtree/"
#define PB_HISTORY_PREFIX "settings/history/"
#define PB_TEXT_PREFIX "settings/text/"
#define PB_STORE_KEY_CAP 160

/* Writes PREFIX followed by the revision with 20 digits. */
void pb_revision_key(char *dst, const char *prefix, uint64_t revision);

/* Reads the object of a row; NULL with the error set when it is malformed. */
json_t *pb_parse_row(struct pb_context *ctx, const struct pb_row *row);
/* JSON text of an object, which is dropped; NULL when memory runs out. */
char *pb_dump_row(json_t *object);

json_t *pb_pack_info(const struct pb_revision_info *info);
int pb_unpack_info(struct pb_context *ctx, const json_t *object,
    struct pb_revision_info *info);
/* Appends the string member "text"; PB_OK, PB_EPROTO or PB_ENOMEM. */
int pb_unpack_text(
    struct pb_context *ctx, const json_t *object, struct pb_buf *text);
/* Adds a subtree from a row's object; its row version is left 0. */
int pb_load_subtree(struct pb_context *ctx, struct pb_settings_tree *tree,
    const json_t *object);
/* Reads one history row. */
int pb_read_info(struct pb_context *ctx, struct pb_table *table,
    uint64_t revision, struct pb_revision_info *info);

#endif
