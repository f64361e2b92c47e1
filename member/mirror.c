#include "member/mirror.h"

#include <glib.h>
#include <string.h>

struct row {
    char *key;
    char *value; /* NULL when the row is deleted */
    uint64_t version;
    GSequenceIter *version_position; /* position in `by_version` */
    GSequenceIter *key_position;     /* position in `by_key` */
};

struct rs_mirror {
    GHashTable *rows; /* key to row; owns the rows */
    GSequence *by_version;
    GSequence *by_key;
    uint64_t revision; /* up to which all rows are present */
};

static void
free_row(gpointer data)
{
    struct row *row = data;
    g_free(row->key);
    g_free(row->value);
    g_free(row);
}

/* Orders rows by version, and rows of one version by key. */
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

/* Creates an empty mirror at revision 0. The caller owns it. */
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
    row->version_position = g_sequence_insert_sorted(mirror->by_version, row,
                                                     compare_versions, NULL);
    row->key_position =
        g_sequence_insert_sorted(mirror->by_key, row, compare_keys, NULL);
    g_hash_table_insert(mirror->rows, row->key, row);
}

static void
update_row(struct row *row, uint64_t version, const char *value)
{
    g_free(row->value);
    row->value = g_strdup(value);
    row->version = version;
    g_sequence_sort_changed(row->version_position, compare_versions, NULL);
}

/* Stores a copy of a row, unless the mirror has the same or a newer version of
 * it. `value` is NULL for a deleted row. Returns whether the mirror changed.
 * The revision stays the same until RsMirror_Advance(). */
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

/* Declares that all rows up to a revision were stored. The revision never
 * decreases. Returns whether it increased. */
bool
RsMirror_Advance(struct rs_mirror *mirror, uint64_t revision)
{
    if (revision <= mirror->revision) {
        return false;
    }
    mirror->revision = revision;
    return true;
}

/* Returns the revision up to which the mirror is complete. */
uint64_t
RsMirror_Revision(const struct rs_mirror *mirror)
{
    return mirror->revision;
}

/* Returns the number of rows, including deleted ones. */
size_t
RsMirror_RowCount(const struct rs_mirror *mirror)
{
    return g_hash_table_size(mirror->rows);
}

static struct rs_mirror_row
to_public_row(const struct row *row)
{
    return (struct rs_mirror_row){
        .key = row->key,
        .version = row->version,
        .value = row->value,
    };
}

/* Looks up a row. Returns false, and leaves `found` as it is, when the row
 * doesn't exist or is deleted. */
bool
RsMirror_Find(const struct rs_mirror *mirror, const char *key,
              struct rs_mirror_row *found)
{
    const struct row *row = g_hash_table_lookup(mirror->rows, key);
    if (row == NULL || row->value == NULL) {
        return false;
    }
    *found = to_public_row(row);
    return true;
}

/* Calls `visit` for the rows whose key starts with `prefix`, in order of key.
 * Deleted rows are left out. */
void
RsMirror_VisitPrefix(const struct rs_mirror *mirror, const char *prefix,
                     rs_mirror_visit visit, void *arg)
{
    struct row first = {.key = (char *)prefix};
    GSequenceIter *position =
        g_sequence_search(mirror->by_key, &first, compare_keys, NULL);
    GSequenceIter *before = g_sequence_iter_prev(position);
    if (before != position) {
        const struct row *row = g_sequence_get(before);
        position = strcmp(row->key, prefix) == 0 ? before : position;
    }
    for (; !g_sequence_iter_is_end(position);
         position = g_sequence_iter_next(position)) {
        const struct row *row = g_sequence_get(position);
        if (!g_str_has_prefix(row->key, prefix)) {
            return;
        }
        if (row->value != NULL) {
            struct rs_mirror_row visible = to_public_row(row);
            visit(arg, &visible);
        }
    }
}

/* Calls `visit` for the rows with versions above `after` and up to the
 * mirror's revision, in order of version and including deleted rows. Stops at
 * either limit, but never between two rows of one version, since a transaction
 * gives all its rows the same version. Returns the revision of a copy that was
 * complete up to `after` and has taken in these rows. Sets `more` to whether
 * rows are left. */
uint64_t
RsMirror_VisitAfter(const struct rs_mirror *mirror, uint64_t after,
                    size_t limit_rows, size_t limit_bytes,
                    rs_mirror_visit visit, void *arg, bool *more)
{
    struct row first = {.key = "", .version = after + 1};
    GSequenceIter *position =
        g_sequence_search(mirror->by_version, &first, compare_versions, NULL);
    size_t rows = 0;
    size_t bytes = 0;
    uint64_t last = after;
    for (; !g_sequence_iter_is_end(position);
         position = g_sequence_iter_next(position)) {
        const struct row *row = g_sequence_get(position);
        if (row->version > mirror->revision) {
            break;
        }
        bool full = rows >= limit_rows || bytes >= limit_bytes;
        if (full && row->version != last) {
            *more = true;
            return last;
        }
        struct rs_mirror_row visible = to_public_row(row);
        visit(arg, &visible);
        rows++;
        bytes += strlen(row->key) + (row->value ? strlen(row->value) : 0);
        last = row->version;
    }
    *more = false;
    return mirror->revision;
}
