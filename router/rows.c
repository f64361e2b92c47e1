#include "router/rows.h"

#include <assert.h>
#include <string.h>

#include "router/pack.h"
#include "router/patch.h"

/* Rows below this size are passed on as they are. */
#define LEAST_PATCHED_BYTES 2048
/* A patch below one in so many bytes of the value is sent without comparing it
 * with the compressed value, which is hardly smaller. */
#define SMALL_PATCH_SHARE 8

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

/* Prepares an empty mirror. */
void
RsRows_Init(struct rs_rows *mirror)
{
    mirror->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
    mirror->version = 0;
}

/* Frees the rows. */
void
RsRows_Clear(struct rs_rows *mirror)
{
    g_hash_table_unref(mirror->rows);
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

/* Tells whether a row is newer than what is known of its key, which counts as
 * named by the reading in progress. */
bool
RsRows_IsNewer(struct rs_rows *mirror, const struct rs_store_row *news)
{
    struct rs_known_row *row = g_hash_table_lookup(mirror->rows, news->key);
    if (row == NULL) {
        return true;
    }
    row->seen = true;
    return news->version > row->version;
}

static struct rs_known_row *
find_or_add(struct rs_rows *mirror, const char *key)
{
    struct rs_known_row *row = g_hash_table_lookup(mirror->rows, key);
    if (row == NULL) {
        row = g_new0(struct rs_known_row, 1);
        row->key = g_strdup(key);
        g_hash_table_insert(mirror->rows, row->key, row);
    }
    row->seen = true;
    return row;
}

/* Takes a row that is newer than what is known. A row that is ignored is kept
 * only if its key had none. */
void
RsRows_Put(struct rs_rows *mirror, const struct rs_store_row *news,
           enum rs_rows_news meaning)
{
    struct rs_known_row *row = find_or_add(mirror, news->key);
    bool first = row->version == 0;
    uint64_t former_version = row->version;
    row->version = news->version;
    mirror->version = MAX(mirror->version, news->version);
    if (meaning == RsRows_IGNORED && !first) {
        return;
    }
    if (meaning == RsRows_CHANGED || first) {
        row->changed_version = news->version;
    }
    drop_former(row);
    if (meaning == RsRows_CHANGED && !row->deleted && !news->deleted &&
        row->value_bytes >= LEAST_PATCHED_BYTES) {
        row->former_value = row->value;
        row->former_version = former_version;
        row->value = NULL;
    }
    row->deleted = news->deleted;
    set_value(row, news->deleted ? "" : news->value,
              news->deleted ? 0 : news->value_bytes);
}

/* Returns what is known of a key, or NULL. */
const struct rs_known_row *
RsRows_Find(const struct rs_rows *mirror, const char *key)
{
    return g_hash_table_lookup(mirror->rows, key);
}

/* Keeps the forms in which a row came, so that they need not be made again. */
void
RsRows_KeepForms(struct rs_rows *mirror, const char *key, GByteArray *packed,
                 GByteArray *patch)
{
    struct rs_known_row *row = g_hash_table_lookup(mirror->rows, key);
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
    if (row->packed == NULL && row->value_bytes >= LEAST_PATCHED_BYTES) {
        row->packed = RsPack_Make(row->value, row->value_bytes);
    }
}

/* Returns the form in which the row is passed on to somebody who has its
 * former value, or does not. The bytes are the row's. A row without a form is
 * small. */
struct rs_rows_form
RsRows_Form(struct rs_known_row *row, bool has_former)
{
    if (has_former) {
        make_patch(row);
    }
    const GByteArray *patch = has_former ? row->patch : NULL;
    if (patch != NULL && patch->len <= row->value_bytes / SMALL_PATCH_SHARE) {
        return (struct rs_rows_form){.patch = patch};
    }
    make_packed(row);
    if (row->packed != NULL &&
        (patch == NULL || row->packed->len < patch->len)) {
        return (struct rs_rows_form){.packed = row->packed};
    }
    return (struct rs_rows_form){.patch = patch};
}

/* A whole reading of the table begins. */
void
RsRows_BeginWhole(struct rs_rows *mirror)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, mirror->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct rs_known_row *)value)->seen = false;
    }
}

/* The reading has ended; the table was read as of `version`. Rows that it did
 * not name, and that are not newer, are deleted; `gone` gets each. */
void
RsRows_EndWhole(struct rs_rows *mirror, uint64_t version, rs_rows_visitor gone,
                void *arg)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, mirror->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_known_row *row = value;
        if (row->seen || row->deleted || row->version > version) {
            continue;
        }
        drop_former(row);
        row->deleted = true;
        row->version = version;
        row->changed_version = version;
        set_value(row, "", 0);
        gone(arg, row);
    }
    mirror->version = MAX(mirror->version, version);
    mirror->complete_from = MAX(mirror->complete_from, version);
}

/* Tells whether somebody who knows the table up to a version can be told what
 * changed since; otherwise it must be told the whole table. */
bool
RsRows_KnowsSince(const struct rs_rows *mirror, uint64_t version)
{
    return version > 0 && version >= mirror->complete_from;
}

/* Visits the rows that are newer than a version, deleted ones too; or, for
 * those who know all that this mirror held at that version, only the rows that
 * have had a change since. */
void
RsRows_Since(const struct rs_rows *mirror, uint64_t version, bool changes_only,
             rs_rows_visitor visit, void *arg)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, mirror->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_known_row *row = value;
        uint64_t changed = changes_only ? row->changed_version : row->version;
        if (changed > version) {
            visit(arg, row);
        }
    }
}
