#include "standin/table.h"

#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_CONFLICT 409

/* Deleted rows stay, without a value, so that readers of changes see them. */
struct row {
    char *key;
    char *value;
    int64_t version;
    GSequenceIter *in_versions;
    GSequenceIter *in_keys;
};

struct rs_table {
    int64_t revision;
    GHashTable *rows;    /* key to row, owns the rows */
    GSequence *versions; /* rows by version */
    GSequence *keys;     /* rows by key */
};

static void
free_row(gpointer data)
{
    struct row *row = data;
    g_free(row->key);
    free(row->value);
    g_free(row);
}

/* Returns an empty table. */
struct rs_table *
RsTable_New(void)
{
    struct rs_table *table = g_new0(struct rs_table, 1);
    table->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
    table->versions = g_sequence_new(NULL);
    table->keys = g_sequence_new(NULL);
    return table;
}

/* Frees the table and its rows. */
void
RsTable_Free(struct rs_table *table)
{
    g_sequence_free(table->versions);
    g_sequence_free(table->keys);
    g_hash_table_destroy(table->rows);
    g_free(table);
}

/* Returns the number of the last transaction. */
int64_t
RsTable_Revision(const struct rs_table *table)
{
    return table->revision;
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer arg)
{
    return strcmp(((const struct row *)a)->key, ((const struct row *)b)->key);
}

/* A row that is sought stands after all rows of its version. */
static gint
compare_versions(gconstpointer a, gconstpointer b, gpointer sought)
{
    int64_t version_a = ((const struct row *)a)->version;
    int64_t version_b = ((const struct row *)b)->version;
    if (version_a != version_b) {
        return version_a < version_b ? -1 : 1;
    }
    return (a == sought) - (b == sought);
}

static struct rs_table_row
view_of(const struct row *row)
{
    return (struct rs_table_row){row->key, row->version, row->value};
}

/* Reads one row. Returns false when there is none or it was deleted. */
bool
RsTable_Get(const struct rs_table *table, const char *key,
            struct rs_table_row *row)
{
    const struct row *found = g_hash_table_lookup(table->rows, key);
    if (found == NULL || found->value == NULL) {
        return false;
    }
    *row = view_of(found);
    return true;
}

/* Appends `{"key","version","value"}`. */
void
RsTable_AppendRow(GString *answer, const struct rs_table_row *row)
{
    json_t *key = json_string(row->key);
    char *quoted = json_dumps(key, JSON_ENCODE_ANY);
    g_string_append_printf(answer,
                           "{\"key\":%s,\"version\":%lld,\"value\":", quoted,
                           (long long)row->version);
    g_string_append(answer, row->value != NULL ? row->value : "null");
    g_string_append_c(answer, '}');
    free(quoted);
    json_decref(key);
}

static void
append_next(GString *answer, const struct rs_table_row *row, bool *first)
{
    if (!*first) {
        g_string_append_c(answer, ',');
    }
    *first = false;
    RsTable_AppendRow(answer, row);
}

/* The row that a condition names, as it stands; one that does not exist has
 * version 0. */
static struct rs_table_row
present_row(const struct rs_table *table, const char *key)
{
    struct rs_table_row row = {key, 0, NULL};
    RsTable_Get(table, key, &row);
    return row;
}

static bool
body_is_valid(const json_t *conditions, const json_t *puts)
{
    size_t i;
    const json_t *entry;
    if ((conditions != NULL && !json_is_array(conditions)) ||
        (puts != NULL && !json_is_array(puts))) {
        return false;
    }
    json_array_foreach(conditions, i, entry)
    {
        if (!json_is_string(json_object_get(entry, "key")) ||
            !json_is_integer(json_object_get(entry, "version"))) {
            return false;
        }
    }
    json_array_foreach(puts, i, entry)
    {
        if (!json_is_string(json_object_get(entry, "key")) ||
            json_object_get(entry, "value") == NULL) {
            return false;
        }
    }
    return true;
}

/* Appends the rows whose version is not the one named. Returns whether all
 * conditions hold. */
static bool
check_conditions(const struct rs_table *table, const json_t *conditions,
                 GString *answer)
{
    size_t i;
    const json_t *entry;
    bool first = true;
    g_string_append(answer, "{\"rows\":[");
    json_array_foreach(conditions, i, entry)
    {
        const char *key = json_string_value(json_object_get(entry, "key"));
        struct rs_table_row row = present_row(table, key);
        if (row.version !=
            json_integer_value(json_object_get(entry, "version"))) {
            append_next(answer, &row, &first);
        }
    }
    g_string_append(answer, "]}");
    return first;
}

static void
put_row(struct rs_table *table, const char *key, const json_t *value)
{
    struct row *row = g_hash_table_lookup(table->rows, key);
    if (row == NULL) {
        row = g_new0(struct row, 1);
        row->key = g_strdup(key);
        g_hash_table_insert(table->rows, row->key, row);
        row->in_keys =
            g_sequence_insert_sorted(table->keys, row, compare_keys, NULL);
        row->in_versions = g_sequence_append(table->versions, row);
    }
    free(row->value);
    row->value = json_is_null(value)
                     ? NULL
                     : json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    row->version = table->revision;
    g_sequence_move(row->in_versions,
                    g_sequence_get_end_iter(table->versions));
}

/* Does the transaction in `body` and appends the answer's body. Returns the
 * answer's HTTP status: 200, 409 when a condition does not hold, or 400. */
int
RsTable_Commit(struct rs_table *table, const json_t *body, GString *answer)
{
    const json_t *conditions = json_object_get(body, "if");
    const json_t *puts = json_object_get(body, "put");
    size_t i;
    const json_t *entry;
    if (!json_is_object(body) || !body_is_valid(conditions, puts)) {
        g_string_append(answer, "{\"error\":\"bad transaction\"}");
        return STATUS_BAD_REQUEST;
    }
    if (!check_conditions(table, conditions, answer)) {
        return STATUS_CONFLICT;
    }
    table->revision++;
    json_array_foreach(puts, i, entry)
    {
        put_row(table, json_string_value(json_object_get(entry, "key")),
                json_object_get(entry, "value"));
    }
    g_string_printf(answer, "{\"revision\":%lld}", (long long)table->revision);
    return STATUS_OK;
}

/* Returns where the rows to answer end. The rows of one revision are never
 * parted, since the next call begins after a whole revision; a revision of
 * more than `limit` rows is answered whole. */
static GSequenceIter *
end_of_page(const struct rs_table *table, GSequenceIter *begin, int64_t limit,
            const char *skip)
{
    int64_t taken = 0;
    int64_t revision = 0;
    GSequenceIter *revision_begin = begin;
    GSequenceIter *at = begin;
    for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
        const struct row *row = g_sequence_get(at);
        if (row->version != revision) {
            if (taken >= limit) {
                return at;
            }
            revision = row->version;
            revision_begin = at;
        }
        if (skip != NULL && g_str_has_prefix(row->key, skip)) {
            continue;
        }
        taken++;
        if (taken > limit && revision_begin != begin) {
            return revision_begin;
        }
    }
    return at;
}

/* Appends the rows with a version above `after`, in order of version and
 * about `limit` of them, but for those whose key begins with `skip`. */
void
RsTable_Changes(const struct rs_table *table, int64_t after, int64_t limit,
                const char *skip, GString *answer)
{
    struct row sought = {.version = after};
    GSequenceIter *at =
        g_sequence_search(table->versions, &sought, compare_versions, &sought);
    GSequenceIter *end = end_of_page(table, at, limit, skip);
    bool more = !g_sequence_iter_is_end(end);
    bool first = true;
    int64_t revision = table->revision;
    GString *rows = g_string_new("");
    for (; at != end; at = g_sequence_iter_next(at)) {
        const struct row *row = g_sequence_get(at);
        struct rs_table_row view = view_of(row);
        if (more) {
            revision = row->version;
        }
        if (skip == NULL || !g_str_has_prefix(row->key, skip)) {
            append_next(rows, &view, &first);
        }
    }
    g_string_append_printf(answer, "{\"revision\":%lld,\"rows\":[%s],",
                           (long long)revision, rows->str);
    g_string_append_printf(answer, "\"more\":%s}", more ? "true" : "false");
    g_string_free(rows, TRUE);
}

/* Returns the first row whose key is at or after `key`. */
static GSequenceIter *
lower_bound(const struct rs_table *table, const char *key)
{
    struct row sought = {.key = (char *)key};
    GSequenceIter *at =
        g_sequence_search(table->keys, &sought, compare_keys, NULL);
    while (!g_sequence_iter_is_begin(at)) {
        GSequenceIter *previous = g_sequence_iter_prev(at);
        const struct row *row = g_sequence_get(previous);
        if (strcmp(row->key, key) < 0) {
            break;
        }
        at = previous;
    }
    return at;
}

static GSequenceIter *
list_begin(const struct rs_table *table, const char *prefix,
           const char *after_key)
{
    if (after_key == NULL || strcmp(after_key, prefix) < 0) {
        return lower_bound(table, prefix);
    }
    GSequenceIter *at = lower_bound(table, after_key);
    if (g_sequence_iter_is_end(at)) {
        return at;
    }
    const struct row *row = g_sequence_get(at);
    return strcmp(row->key, after_key) == 0 ? g_sequence_iter_next(at) : at;
}

/* Returns the row after the last one to be listed, counting backwards. */
static GSequenceIter *
reverse_begin(const struct rs_table *table, const char *prefix,
              const char *after_key)
{
    char *past = g_strconcat(prefix, "\xff", NULL);
    const char *bound =
        after_key != NULL && strcmp(after_key, past) < 0 ? after_key : past;
    GSequenceIter *at = lower_bound(table, bound);
    g_free(past);
    return at;
}

static void
append_forwards(GSequenceIter *at, const char *prefix, int64_t limit,
                GString *answer)
{
    bool first = true;
    for (; limit > 0 && !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at)) {
        struct rs_table_row row = view_of(g_sequence_get(at));
        if (!g_str_has_prefix(row.key, prefix)) {
            return;
        }
        if (row.value != NULL) {
            append_next(answer, &row, &first);
            limit--;
        }
    }
}

static void
append_backwards(GSequenceIter *at, const char *prefix, int64_t limit,
                 GString *answer)
{
    bool first = true;
    while (limit > 0 && !g_sequence_iter_is_begin(at)) {
        at = g_sequence_iter_prev(at);
        struct rs_table_row row = view_of(g_sequence_get(at));
        if (!g_str_has_prefix(row.key, prefix)) {
            return;
        }
        if (row.value != NULL) {
            append_next(answer, &row, &first);
            limit--;
        }
    }
}

/* Appends at most `limit` rows whose key begins with `prefix` and follows
 * `after_key` (NULL: from the first one), or precedes it with `reverse`. */
void
RsTable_List(const struct rs_table *table, const char *prefix,
             const char *after_key, int64_t limit, bool reverse,
             GString *answer)
{
    g_string_append(answer, "{\"rows\":[");
    if (reverse) {
        append_backwards(reverse_begin(table, prefix, after_key), prefix,
                         limit, answer);
    }
    else {
        append_forwards(list_begin(table, prefix, after_key), prefix, limit,
                        answer);
    }
    g_string_append(answer, "]}");
}
