#include "standin/table.h"

#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_CONFLICT 409

/* Deleted rows are kept without a value, so that readers of changes see the
 * deletion. */
struct row {
    char *key;
    char *value;
    int64_t version;
    GSequenceIter *version_position; /* position in rs_table.versions */
    GSequenceIter *key_position;     /* position in rs_table.keys */
};

struct rs_table {
    int64_t revision;    /* number of the last transaction */
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

/* Returns an empty table. The caller frees it with RsTable_Free(). */
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

/* Returns the number of the last transaction, 0 before the first. */
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

/* Compares by version. `sought` is a row that is only searched for; it sorts
 * after all rows of its version. */
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
make_view(const struct row *row)
{
    return (struct rs_table_row){row->key, row->version, row->value};
}

/* Reads one row. Returns false if it doesn't exist or was deleted. */
bool
RsTable_Get(const struct rs_table *table, const char *key,
            struct rs_table_row *row)
{
    const struct row *found = g_hash_table_lookup(table->rows, key);
    if (found == NULL || found->value == NULL) {
        return false;
    }
    *row = make_view(found);
    return true;
}

/* Appends a row as `{"key","version","value"}`. */
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

/* Appends a row to a JSON list, with a comma before it unless `*first` is set,
 * and clears `*first`. */
static void
append_list_row(GString *answer, const struct rs_table_row *row, bool *first)
{
    if (!*first) {
        g_string_append_c(answer, ',');
    }
    *first = false;
    RsTable_AppendRow(answer, row);
}

/* Returns the current row of a condition's key; a row that doesn't exist or
 * was deleted has version 0. */
static struct rs_table_row
current_row(const struct rs_table *table, const char *key)
{
    struct rs_table_row row = {key, 0, NULL};
    RsTable_Get(table, key, &row);
    return row;
}

/* Returns whether the members of a transaction have the right types. */
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

/* Appends an answer with the current rows whose version is not that of their
 * condition. Returns whether all conditions hold. */
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
        struct rs_table_row row = current_row(table, key);
        if (row.version !=
            json_integer_value(json_object_get(entry, "version"))) {
            append_list_row(answer, &row, &first);
        }
    }
    g_string_append(answer, "]}");
    return first;
}

/* Writes a row with the table's revision as its version; a JSON null deletes
 * it. */
static void
put_row(struct rs_table *table, const char *key, const json_t *value)
{
    struct row *row = g_hash_table_lookup(table->rows, key);
    if (row == NULL) {
        row = g_new0(struct row, 1);
        row->key = g_strdup(key);
        g_hash_table_insert(table->rows, row->key, row);
        row->key_position =
            g_sequence_insert_sorted(table->keys, row, compare_keys, NULL);
        row->version_position = g_sequence_append(table->versions, row);
    }
    free(row->value);
    row->value = json_is_null(value)
                     ? NULL
                     : json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    row->version = table->revision;
    g_sequence_move(row->version_position,
                    g_sequence_get_end_iter(table->versions));
}

/* Runs the transaction in `body` and writes the answer's body to `answer`,
 * which must be empty before. Returns the answer's HTTP status: 200, 409 if a
 * condition doesn't hold, or 400 if the transaction is malformed. */
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

/* Returns the end of the page that starts at `begin`. Rows whose key starts
 * with `skip` (NULL: none) don't count towards `limit`. The rows of one
 * revision are never split between pages, since the next page starts after a
 * complete revision. So a revision of more than `limit` rows is one page. */
static GSequenceIter *
find_page_end(const struct rs_table *table, GSequenceIter *begin,
              int64_t limit, const char *skip)
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

/* Appends `{"revision","rows","more"}`: the rows with a version above `after`,
 * by version, except those whose key starts with `skip` (NULL: none).
 * There are at most `limit` rows, unless one revision has more. `revision` is
 * the `after` of the next page, and `more` is whether later rows exist. */
void
RsTable_Changes(const struct rs_table *table, int64_t after, int64_t limit,
                const char *skip, GString *answer)
{
    struct row sought = {.version = after};
    GSequenceIter *at =
        g_sequence_search(table->versions, &sought, compare_versions, &sought);
    GSequenceIter *end = find_page_end(table, at, limit, skip);
    bool more = !g_sequence_iter_is_end(end);
    bool first = true;
    int64_t revision = table->revision;
    GString *rows = g_string_new("");
    for (; at != end; at = g_sequence_iter_next(at)) {
        const struct row *row = g_sequence_get(at);
        struct rs_table_row view = make_view(row);
        if (more) {
            revision = row->version;
        }
        if (skip == NULL || !g_str_has_prefix(row->key, skip)) {
            append_list_row(rows, &view, &first);
        }
    }
    g_string_append_printf(answer, "{\"revision\":%lld,\"rows\":[%s],",
                           (long long)revision, rows->str);
    g_string_append_printf(answer, "\"more\":%s}", more ? "true" : "false");
    g_string_free(rows, TRUE);
}

/* Returns the position of the first row whose key is equal to or above `key`,
 * or the end. */
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

/* Returns the position of the first row of a list in order of keys. */
static GSequenceIter *
find_list_begin(const struct rs_table *table, const char *prefix,
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

/* Returns the position after the first row of a list in reverse order. */
static GSequenceIter *
find_reverse_begin(const struct rs_table *table, const char *prefix,
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
        struct rs_table_row row = make_view(g_sequence_get(at));
        if (!g_str_has_prefix(row.key, prefix)) {
            return;
        }
        if (row.value != NULL) {
            append_list_row(answer, &row, &first);
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
        struct rs_table_row row = make_view(g_sequence_get(at));
        if (!g_str_has_prefix(row.key, prefix)) {
            return;
        }
        if (row.value != NULL) {
            append_list_row(answer, &row, &first);
            limit--;
        }
    }
}

/* Appends `{"rows"}` with at most `limit` rows whose key starts with `prefix`,
 * in order of keys, from above `after_key` (NULL: from the first one). With
 * `reverse`, in reverse order, from below `after_key` (NULL: from the last
 * one). */
void
RsTable_List(const struct rs_table *table, const char *prefix,
             const char *after_key, int64_t limit, bool reverse,
             GString *answer)
{
    g_string_append(answer, "{\"rows\":[");
    if (reverse) {
        append_backwards(find_reverse_begin(table, prefix, after_key), prefix,
                         limit, answer);
    }
    else {
        append_forwards(find_list_begin(table, prefix, after_key), prefix,
                        limit, answer);
    }
    g_string_append(answer, "]}");
}
