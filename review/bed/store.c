/* The platform's store, as far as router nodes use it: rows-tx, rows-get and
 * rows-feed on tables without parts. */

#include "review/bed/bed.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TX_MS 5
#define MAX_PAGE 500
#define STATUS_OK 200
#define STATUS_BAD 400
#define STATUS_FORBIDDEN 403
#define STATUS_CONFLICT 412

struct row {
    char *table;
    char *key;
    char *value; /* base64 */
    bool deleted;
    json_int_t version;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GPtrArray *rows; /* struct row, sorted by table and key */
static json_int_t version = 1;

static gint
compare_rows(gconstpointer a, gconstpointer b)
{
    const struct row *first = *(struct row *const *)a;
    const struct row *second = *(struct row *const *)b;
    int order = strcmp(first->table, second->table);
    return order != 0 ? order : strcmp(first->key, second->key);
}

static struct row *
find_row(const char *table, const char *key)
{
    for (guint i = 0; i < rows->len; i++) {
        struct row *row = g_ptr_array_index(rows, i);
        if (strcmp(row->table, table) == 0 && strcmp(row->key, key) == 0) {
            return row;
        }
    }
    return NULL;
}

/* Writes a row, or deletes it if `value` is NULL. The lock must be held. */
static void
write_row(const char *table, const char *key, const char *value)
{
    struct row *row = find_row(table, key);
    if (row == NULL) {
        row = g_new0(struct row, 1);
        row->table = g_strdup(table);
        row->key = g_strdup(key);
        g_ptr_array_add(rows, row);
        g_ptr_array_sort(rows, compare_rows);
    }
    g_free(row->value);
    row->value = g_strdup(value != NULL ? value : "");
    row->deleted = value == NULL;
    row->version = version;
}

static json_t *
encode_row(const struct row *row)
{
    json_t *object = json_pack("{s:s,s:s,s:s,s:s,s:I}", "table", row->table,
                               "part", "", "key", row->key, "value",
                               row->value, "api_version", row->version);
    if (row->deleted) {
        json_object_set_new(object, "deleted", json_true());
    }
    return object;
}

/* Returns the value of a query parameter, to be freed with g_free(), or NULL.
 */
static char *
query(const char *path, const char *name)
{
    const char *start = strchr(path, '?');
    size_t size = strlen(name);
    while (start != NULL) {
        start++;
        if (strncmp(start, name, size) == 0 && start[size] == '=') {
            const char *end = start + strcspn(start, "&");
            return g_uri_unescape_segment(start + size + 1, end, NULL);
        }
        start = strchr(start, '&');
    }
    return NULL;
}

static json_int_t
query_number(const char *path, const char *name, json_int_t fallback)
{
    char *text = query(path, name);
    json_int_t number = text != NULL ? strtoll(text, NULL, 10) : fallback;
    g_free(text);
    return number;
}

static void
answer(const struct rs_bed_stream *stream, int status, json_t *body)
{
    json_object_set_new(body, "now_ms", json_integer(RsBed_NowMs()));
    char *text = json_dumps(body, JSON_COMPACT);
    char *whole = g_strdup_printf(
        "HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
        "Content-Length: %zu\r\n\r\n%s",
        status, strlen(text), text);
    RsBedHttp_SendAll(stream->fd, whole, strlen(whole));
    g_free(whole);
    free(text);
    json_decref(body);
}

static const char *
text_of(const json_t *entry, const char *field)
{
    const char *text = json_string_value(json_object_get(entry, field));
    return text != NULL ? text : "";
}

static bool
is_operators(const json_t *entry)
{
    const char *table = text_of(entry, "table");
    return strcmp(table, "op") == 0 || strcmp(table, "servers") == 0;
}

/* Applies the writes and deletes of a transaction, or none if one is
 * forbidden. Returns the HTTP status. */
static int
apply(const json_t *body)
{
    const json_t *lists[] = {json_object_get(body, "writes"),
                             json_object_get(body, "deletes")};
    for (size_t list = 0; list < G_N_ELEMENTS(lists); list++) {
        for (size_t i = 0; i < json_array_size(lists[list]); i++) {
            if (is_operators(json_array_get(lists[list], i))) {
                return STATUS_FORBIDDEN;
            }
        }
    }
    version++;
    for (size_t list = 0; list < G_N_ELEMENTS(lists); list++) {
        for (size_t i = 0; i < json_array_size(lists[list]); i++) {
            const json_t *entry = json_array_get(lists[list], i);
            write_row(text_of(entry, "table"), text_of(entry, "key"),
                      list == 0 ? text_of(entry, "value") : NULL);
        }
    }
    pthread_cond_broadcast(&changed);
    return STATUS_OK;
}

/* Returns the current rows of a transaction's conditions, or NULL if all
 * hold. */
static json_t *
check_conditions(const json_t *conditions)
{
    bool hold = true;
    json_t *current = json_array();
    for (size_t i = 0; i < json_array_size(conditions); i++) {
        const json_t *entry = json_array_get(conditions, i);
        const struct row *row =
            find_row(text_of(entry, "table"), text_of(entry, "key"));
        bool exists = row != NULL && !row->deleted;
        hold &= json_integer_value(json_object_get(entry, "api_version")) ==
                (exists ? row->version : 0);
        if (exists) {
            json_array_append_new(current, encode_row(row));
        }
    }
    if (hold) {
        json_decref(current);
        return NULL;
    }
    return current;
}

static void
handle_tx(const struct rs_bed_stream *stream,
          const struct rs_bed_message *message)
{
    json_t *body =
        json_loads(message->body != NULL ? message->body : "", 0, NULL);
    RsBed_SleepMs(TX_MS);
    pthread_mutex_lock(&lock);
    json_t *conflicts =
        check_conditions(json_object_get(body, "precondition"));
    int status = STATUS_CONFLICT;
    if (body == NULL) {
        status = STATUS_BAD;
    }
    else if (conflicts == NULL) {
        status = apply(body);
    }
    json_t *reply = json_pack("{s:I}", "api_version", version);
    if (conflicts != NULL) {
        json_object_set_new(reply, "rows", conflicts);
    }
    pthread_mutex_unlock(&lock);
    answer(stream, status, reply);
    json_decref(body);
}

static void
handle_get(const struct rs_bed_stream *stream,
           const struct rs_bed_message *message)
{
    char *table = query(message->path, "table");
    char *from = query(message->path, "from");
    json_int_t page = query_number(message->path, "page_size", MAX_PAGE);
    bool more = false;
    json_t *found = json_array();
    pthread_mutex_lock(&lock);
    for (guint i = 0; i < rows->len && !more; i++) {
        const struct row *row = g_ptr_array_index(rows, i);
        if (!row->deleted && g_strcmp0(row->table, table) == 0 &&
            (from == NULL || strcmp(row->key, from) >= 0)) {
            more = (json_int_t)json_array_size(found) >= page;
            if (!more) {
                json_array_append_new(found, encode_row(row));
            }
        }
    }
    json_t *reply = json_pack("{s:o,s:b,s:I}", "rows", found, "has_more", more,
                              "api_version", version);
    pthread_mutex_unlock(&lock);
    answer(stream, STATUS_OK, reply);
    g_free(table);
    g_free(from);
}

static gint
compare_versions(gconstpointer a, gconstpointer b)
{
    const struct row *first = *(struct row *const *)a;
    const struct row *second = *(struct row *const *)b;
    return (first->version > second->version) -
           (first->version < second->version);
}

/* Returns the rows of a table that changed after a version, in order. */
static json_t *
list_changes(const char *table, json_int_t after)
{
    GPtrArray *found = g_ptr_array_new();
    json_t *list = json_array();
    for (guint i = 0; i < rows->len; i++) {
        struct row *row = g_ptr_array_index(rows, i);
        if (strcmp(row->table, table) == 0 && row->version > after) {
            g_ptr_array_add(found, row);
        }
    }
    g_ptr_array_sort(found, compare_versions);
    for (guint i = 0; i < found->len; i++) {
        json_array_append_new(list, encode_row(g_ptr_array_index(found, i)));
    }
    g_ptr_array_unref(found);
    return list;
}

static void
handle_feed(const struct rs_bed_stream *stream,
            const struct rs_bed_message *message)
{
    char *table = query(message->path, "table");
    json_int_t after = query_number(message->path, "after", 0);
    int64_t until_ms =
        RsBed_NowMs() + query_number(message->path, "wait_ms", 0);
    pthread_mutex_lock(&lock);
    json_t *list = list_changes(table, after);
    while (json_array_size(list) == 0 && RsBed_NowMs() < until_ms) {
        struct timespec wake;
        clock_gettime(CLOCK_REALTIME, &wake);
        wake.tv_nsec += 20000000;
        if (wake.tv_nsec >= 1000000000) {
            wake.tv_sec++;
            wake.tv_nsec -= 1000000000;
        }
        pthread_cond_timedwait(&changed, &lock, &wake);
        json_decref(list);
        list = list_changes(table, after);
    }
    json_t *reply =
        json_pack("{s:o,s:I}", "rows", list, "api_version", version);
    pthread_mutex_unlock(&lock);
    answer(stream, STATUS_OK, reply);
    g_free(table);
}

static void
serve(void *arg, struct rs_bed_stream *stream)
{
    struct rs_bed_message message;
    while (RsBedHttp_Read(stream, &message) == 0) {
        if (g_str_has_prefix(message.path, "/rows-tx")) {
            handle_tx(stream, &message);
        }
        else if (g_str_has_prefix(message.path, "/rows-get")) {
            handle_get(stream, &message);
        }
        else if (g_str_has_prefix(message.path, "/rows-feed")) {
            handle_feed(stream, &message);
        }
        else {
            answer(stream, STATUS_BAD, json_object());
        }
        RsBedHttp_Clear(&message);
    }
}

/* Starts the store on a free port. Returns 0 or -1. */
int
RsBedStore_Open(uint16_t *port)
{
    rows = g_ptr_array_new();
    return RsBedHttp_Listen("127.0.0.1", port, serve, NULL);
}

/* Writes a row as the operator or a worker does. `value` is JSON text. */
void
RsBedStore_Put(const char *table, const char *key, const char *value)
{
    char *encoded = g_base64_encode((const guchar *)value, strlen(value));
    pthread_mutex_lock(&lock);
    version++;
    write_row(table, key, encoded);
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    g_free(encoded);
}

/* Deletes a row as the operator or the platform does. */
void
RsBedStore_Delete(const char *table, const char *key)
{
    pthread_mutex_lock(&lock);
    version++;
    write_row(table, key, NULL);
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
}

/* Copies the value of the first row of a table as text. Returns whether there
 * is one. */
bool
RsBedStore_Read(const char *table, char *value, size_t size)
{
    bool found = false;
    pthread_mutex_lock(&lock);
    for (guint i = 0; i < rows->len && !found; i++) {
        const struct row *row = g_ptr_array_index(rows, i);
        if (!row->deleted && strcmp(row->table, table) == 0) {
            gsize decoded_size = 0;
            guchar *decoded = g_base64_decode(row->value, &decoded_size);
            snprintf(value, size, "%.*s", (int)decoded_size,
                     (const char *)decoded);
            g_free(decoded);
            found = true;
        }
    }
    pthread_mutex_unlock(&lock);
    return found;
}
