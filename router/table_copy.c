#include "router/table_copy.h"

#include <assert.h>
#include <string.h>

#include "router/pack.h"
#include "router/patch.h"

/* Smaller values are not compressed, nor kept as former values for patches. */
#define MIN_ENCODED_BYTES 2048
/* A patch smaller than the value by this factor is sent without trying to
 * compress the value, which would hardly be smaller. */
#define SMALL_PATCH_DIVISOR 8

/* Frees the former value and the encodings. */
static void
drop_former(struct rs_known_row *row)
{
    g_free(row->former_value);
    row->former_value = NULL;
    g_clear_pointer(&row->patch, g_byte_array_unref);
    g_clear_pointer(&row->packed, g_byte_array_unref);
}

static void
free_row(gpointer data)
{
    struct rs_known_row *row = data;
    g_free(row->key);
    g_free(row->value);
    drop_former(row);
    g_free(row);
}

/* Initializes an empty copy. */
void
RsTableCopy_Init(struct rs_table_copy *copy)
{
    *copy = (struct rs_table_copy){
        .rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row),
    };
}

/* Frees all rows. */
void
RsTableCopy_Clear(struct rs_table_copy *copy)
{
    g_hash_table_unref(copy->rows);
}

static void
set_value(struct rs_known_row *row, const char *value, size_t size_bytes)
{
    g_free(row->value);
    row->value = g_malloc(size_bytes + 1);
    memcpy(row->value, value, size_bytes);
    row->value[size_bytes] = '\0';
    row->value_bytes = size_bytes;
}

/* Returns whether a row is newer than the one in the copy, and marks its key
 * as seen in the current snapshot. */
bool
RsTableCopy_IsNewer(struct rs_table_copy *copy,
                    const struct rs_store_row *update)
{
    struct rs_known_row *row = g_hash_table_lookup(copy->rows, update->key);
    if (row == NULL) {
        return true;
    }
    row->seen = true;
    return update->version > row->version;
}

/* Returns the row with this key, marked as seen in the current snapshot; adds
 * it if there is none. */
static struct rs_known_row *
find_or_add(struct rs_table_copy *copy, const char *key)
{
    struct rs_known_row *row = g_hash_table_lookup(copy->rows, key);
    if (row == NULL) {
        row = g_new0(struct rs_known_row, 1);
        row->key = g_strdup(key);
        g_hash_table_insert(copy->rows, row->key, row);
    }
    row->seen = true;
    return row;
}

static void
mark_kept(struct rs_table_copy *copy, struct rs_known_row *row)
{
    row->kept = true;
    copy->kept_revision++;
}

/* Adds or replaces a row, which must be newer than the one in the copy. An
 * ignored or outdated row updates only the version, unless its key is new. */
void
RsTableCopy_Put(struct rs_table_copy *copy, const struct rs_store_row *update,
                enum rs_row_effect effect)
{
    struct rs_known_row *row = find_or_add(copy, update->key);
    bool first = row->value == NULL;
    uint64_t former_version = row->version;
    row->version = update->version;
    if (!copy->in_snapshot) {
        copy->version = MAX(copy->version, update->version);
    }
    if (effect == RsTableCopy_OUTDATED && !first) {
        /* Nodes that are sent the kept value don't have the former one. */
        drop_former(row);
        mark_kept(copy, row);
        return;
    }
    if (effect == RsTableCopy_IGNORED && !first) {
        return;
    }
    row->kept = false;
    if (effect == RsTableCopy_CHANGED || first) {
        row->changed_version = update->version;
    }
    drop_former(row);
    if (effect == RsTableCopy_CHANGED && !row->deleted && !update->deleted &&
        row->value_bytes >= MIN_ENCODED_BYTES) {
        row->former_value = row->value;
        row->former_version = former_version;
        row->value = NULL;
    }
    row->deleted = update->deleted;
    set_value(row, update->deleted ? "" : update->value,
              update->deleted ? 0 : update->value_bytes);
}

/* Marks a row that is in the copy as later than the store's. */
void
RsTableCopy_MarkKept(struct rs_table_copy *copy, const char *key)
{
    struct rs_known_row *row = g_hash_table_lookup(copy->rows, key);
    assert(row != NULL);
    mark_kept(copy, row);
}

/* Adds or replaces the value of a row by one that another node keeps. The
 * versions stay, so that later changes in the store are still recognized. */
void
RsTableCopy_Adopt(struct rs_table_copy *copy,
                  const struct rs_store_row *update)
{
    struct rs_known_row *row = find_or_add(copy, update->key);
    drop_former(row);
    row->deleted = false;
    set_value(row, update->value, update->value_bytes);
    mark_kept(copy, row);
}

/* Returns the row with this key, which may be a deleted one, or NULL. */
const struct rs_known_row *
RsTableCopy_Find(const struct rs_table_copy *copy, const char *key)
{
    return g_hash_table_lookup(copy->rows, key);
}

void
RsTableCopy_KeepEncodings(struct rs_table_copy *copy, const char *key,
                          GByteArray *packed, GByteArray *patch)
{
    struct rs_known_row *row = g_hash_table_lookup(copy->rows, key);
    assert(row != NULL);
    g_clear_pointer(&row->packed, g_byte_array_unref);
    g_clear_pointer(&row->patch, g_byte_array_unref);
    row->packed = packed;
    row->patch = patch;
}

static void
make_patch(struct rs_known_row *row)
{
    if (row->patch == NULL && row->packed == NULL &&
        row->former_value != NULL) {
        row->patch = RsPatch_Make(row->former_value, row->value);
    }
}

static void
make_packed(struct rs_known_row *row)
{
    if (row->packed == NULL && row->value_bytes >= MIN_ENCODED_BYTES) {
        row->packed = RsPack_Compress(row->value, row->value_bytes);
    }
}

/* Returns the encoding in which to send the row to a node that has its former
 * value or doesn't (`has_former`). The row owns the bytes. Values below
 * MIN_ENCODED_BYTES are never compressed. */
struct rs_row_encoding
RsTableCopy_ChooseEncoding(struct rs_known_row *row, bool has_former)
{
    if (has_former) {
        make_patch(row);
    }
    const GByteArray *patch = has_former ? row->patch : NULL;
    if (patch != NULL &&
        patch->len <= row->value_bytes / SMALL_PATCH_DIVISOR) {
        return (struct rs_row_encoding){.patch = patch};
    }
    make_packed(row);
    if (row->packed != NULL &&
        (patch == NULL || row->packed->len < patch->len)) {
        return (struct rs_row_encoding){.packed = row->packed};
    }
    return (struct rs_row_encoding){.patch = patch};
}

/* Starts a snapshot: all rows count as missing until they are put or compared.
 * Rows may be put that are newer than the snapshot. Other changes may have
 * been made before them, so that they don't raise the version of the copy. */
void
RsTableCopy_BeginSnapshot(struct rs_table_copy *copy)
{
    GHashTableIter iter;
    gpointer value;
    copy->in_snapshot = true;
    g_hash_table_iter_init(&iter, copy->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct rs_known_row *)value)->seen = false;
    }
}

static void
end_snapshot(struct rs_table_copy *copy, uint64_t version)
{
    copy->in_snapshot = false;
    copy->version = MAX(copy->version, version);
}

/* Ends a snapshot that was read as of `version`. Rows that were missing from
 * it and aren't newer are marked as deleted and passed to `gone`. */
void
RsTableCopy_EndSnapshot(struct rs_table_copy *copy, uint64_t version,
                        rs_row_visitor gone, void *arg)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, copy->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_known_row *row = value;
        if (row->seen || row->deleted || row->version > version) {
            continue;
        }
        drop_former(row);
        row->deleted = true;
        row->kept = false;
        row->version = version;
        row->changed_version = version;
        set_value(row, "", 0);
        gone(arg, row);
    }
    end_snapshot(copy, version);
    copy->complete_from = MAX(copy->complete_from, version);
}

/* Ends a snapshot that was read as of `version`, after the store went back to
 * a copy. Rows that are missing from it may have been written since the copy
 * was made. They stay, with the version of the snapshot. */
void
RsTableCopy_EndSnapshotKeepingMissing(struct rs_table_copy *copy,
                                      uint64_t version)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, copy->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_known_row *row = value;
        if (!row->seen && !row->deleted) {
            row->version = MAX(row->version, version);
        }
    }
    end_snapshot(copy, version);
}

/* Returns whether all changes since a version are known, including deletions.
 * If not, a node that has only this version must be sent the whole table. */
bool
RsTableCopy_IsCompleteSince(const struct rs_table_copy *copy, uint64_t version)
{
    return version > 0 && version >= copy->complete_from;
}

/* Visits all rows newer than a version, including deleted ones. With
 * `changes_only` it visits only rows whose content has changed since, which is
 * enough for nodes that knew everything in this copy at that version. */
void
RsTableCopy_VisitSince(const struct rs_table_copy *copy, uint64_t version,
                       bool changes_only, rs_row_visitor visit, void *arg)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, copy->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_known_row *row = value;
        uint64_t changed = changes_only ? row->changed_version : row->version;
        if (changed > version) {
            visit(arg, row);
        }
    }
}

/* Visits the rows whose values are later than the store's. */
void
RsTableCopy_VisitKept(const struct rs_table_copy *copy, rs_row_visitor visit,
                      void *arg)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, copy->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_known_row *row = value;
        if (row->kept) {
            visit(arg, row);
        }
    }
}
