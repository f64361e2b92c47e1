#include "member/mirror.h"

#include <glib.h>
#include <string.h>

struct row {
    char *key;
    char *value;
    uint64_t version;
    GSequenceIter *by_version;
    GSequenceIter *by_key;
};

struct rs_mirror {
    GHashTable *rows; /* key to row, owns the rows */
    GSequence *by_version;
    GSequence *by_key;
    uint64_t revision;
};

static void
free_row(gpointer data)
{
    struct row *row = data;
    g_free(row->key);
    g_free(row->value);
    g_free(row);
}

static gint
compare_versions(gconstpointer a, gconstpointer b, gpointer arg)
{
    const struct row *left = a;
    const struct row *right = b;
    if (left->version != right->version) {
        return left->version < right->version ? -1 : 1;
    }
    return strcmp(left->key, right->key);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer arg)
{
    const struct row *left = a;
    const struct row *right = b;
    return strcmp(left->key, right->key);
}

/* Makes an empty mirror at revision 0. */
struct rs_mirror *
RsMirror_New(void)
{
    struct rs_mirror *mirror = g_new0(struct rs_mirror, 1);
    mirror->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
    mirror->by_version = g_sequence_new(NULL);
    mirror->by_key = g_sequence_new(NULL);
    return mirror;
}

/* Frees the mirror and its rows. */
void
RsMirror_Free(struct rs_mirror *mirror)
{
    g_sequence_free(mirror->by_version);
    g_sequence_free(mirror->by_key);
    g_hash_table_destroy(mirror->rows);
    g_free(mirror);
}

static void
insert_row(struct rs_mirror *mirror, const char *key, uint64_t version,
           const char *value)
{
    struct row *row = g_new0(struct row, 1);
    row->key = g_strdup(key);
    row->value = g_strdup(value);
    row->version = version;
    row->by_version = g_sequence_insert_sorted(mirror->by_version, row,
                                               compare_versions, NULL);
    row->by_key =
        g_sequence_insert_sorted(mirror->by_key, row, compare_keys, NULL);
    g_hash_table_insert(mirror->rows, row->key, row);
}

static void
update_row(struct row *row, uint64_t version, const char *value)
{
    g_free(row->value);
    row->value = g_strdup(value);
    row->version = version;
    g_sequence_sort_changed(row->by_version, compare_versions, NULL);
}

/* Takes in a row, unless the mirror has it as new or newer. Returns whether
 * the mirror changed. The revision stays until RsMirror_Advance(). */
bool
RsMirror_Put(struct rs_mirror *mirror, const char *key, uint64_t version,
             const char *value)
{
    struct row *row = g_hash_table_lookup(mirror->rows, key);
    if (row == NULL) {
        insert_row(mirror, key, version, value);
        return true;
    }
    if (row->version >= version) {
        return false;
    }
    update_row(row, version, value);
    return true;
}

/* Says that all rows up to a revision were taken in. The revision never goes
 * back. Returns whether it rose. */
bool
RsMirror_Advance(struct rs_mirror *mirror, uint64_t revision)
{
    if (revision <= mirror->revision) {
        return false;
    }
    mirror->revision = revision;
    return true;
}

/* Returns the revision up to which the mirror is whole. */
uint64_t
RsMirror_Revision(const struct rs_mirror *mirror)
{
    return mirror->revision;
}

/* Returns the number of rows, deleted ones among them. */
size_t
RsMirror_RowCount(const struct rs_mirror *mirror)
{
    return g_hash_table_size(mirror->rows);
}

static struct rs_mirror_row
public_row(const struct row *row)
{
    return (struct rs_mirror_row){
        .key = row->key,
        .version = row->version,
        .value = row->value,
    };
}

/* Finds a row that is not deleted. */
bool
RsMirror_Find(const struct rs_mirror *mirror, const char *key,
              struct rs_mirror_row *found)
{
    const struct row *row = g_hash_table_lookup(mirror->rows, key);
    if (row == NULL || row->value == NULL) {
        return false;
    }
    *found = public_row(row);
    return true;
}

/* Visits the rows with a prefix that are not deleted, in order of key. */
void
RsMirror_VisitPrefix(const struct rs_mirror *mirror, const char *prefix,
                     rs_mirror_visit visit, void *arg)
{
    struct row first = {.key = (char *)prefix};
    GSequenceIter *at =
        g_sequence_search(mirror->by_key, &first, compare_keys, NULL);
    GSequenceIter *before = g_sequence_iter_prev(at);
    if (before != at) {
        const struct row *row = g_sequence_get(before);
        at = strcmp(row->key, prefix) == 0 ? before : at;
    }
    for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
        const struct row *row = g_sequence_get(at);
        if (!g_str_has_prefix(row->key, prefix)) {
            return;
        }
        if (row->value != NULL) {
            struct rs_mirror_row visible = public_row(row);
            visit(arg, &visible);
        }
    }
}

/* Visits the rows above a version and up to the revision, deleted ones too,
 * in order of version; stops at a limit, but never between two rows of one
 * version. Returns the revision that a copy has which was whole up to `after`
 * and takes these in; sets whether there are more. */
uint64_t
RsMirror_VisitAfter(const struct rs_mirror *mirror, uint64_t after,
                    size_t limit_rows, size_t limit_bytes,
                    rs_mirror_visit visit, void *arg, bool *more)
{
    struct row first = {.key = "", .version = after + 1};
    GSequenceIter *at =
        g_sequence_search(mirror->by_version, &first, compare_versions, NULL);
    size_t rows = 0;
    size_t bytes = 0;
    uint64_t last = after;
    for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
        const struct row *row = g_sequence_get(at);
        if (row->version > mirror->revision) {
            break;
        }
        bool full = rows >= limit_rows || bytes >= limit_bytes;
        if (full && row->version != last) {
            *more = true;
            return last;
        }
        struct rs_mirror_row visible = public_row(row);
        visit(arg, &visible);
        rows++;
        bytes += strlen(row->key) + (row->value ? strlen(row->value) : 0);
        last = row->version;
    }
    *more = false;
    return mirror->revision;
}
