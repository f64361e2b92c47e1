/* A stand-in of the platform's metadata store: rows, conditional transactions
 * and a feed of changes.
 * usage: store PORT */

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "review/bed-3/wire.h"

#define ANSWER_MS 4
#define POLL_MS 5
#define DECIMAL 10
#define TEXT_BYTES 256

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *rows; /* all rows, also deleted ones, by their last change */
static json_int_t version;

static const char *
text_of(const json_t *object, const char *field)
{
    const char *text = json_string_value(json_object_get(object, field));
    return text != NULL ? text : "";
}

/* Returns the index of the row with the table and key of `like`, or the number
 * of rows. */
static size_t
find_row(const json_t *like)
{
    size_t count = json_array_size(rows);
    for (size_t i = 0; i < count; i++) {
        const json_t *row = json_array_get(rows, i);
        if (strcmp(text_of(row, "table"), text_of(like, "table")) == 0 &&
            strcmp(text_of(row, "key"), text_of(like, "key")) == 0) {
            return i;
        }
    }
    return count;
}

static bool
is_deleted(const json_t *row)
{
    return json_is_true(json_object_get(row, "deleted"));
}

/* Returns the version of a row, 0 if it doesn't exist. */
static json_int_t
version_of(const json_t *like)
{
    const json_t *row = json_array_get(rows, find_row(like));
    return row == NULL || is_deleted(row)
               ? 0
               : json_integer_value(json_object_get(row, "api_version"));
}

static void
change_row(const json_t *like, bool deleted)
{
    json_t *row =
        json_pack("{s:s,s:s,s:s,s:s,s:I}", "table", text_of(like, "table"),
                  "part", "", "key", text_of(like, "key"), "value",
                  text_of(like, "value"), "api_version", version);
    if (deleted) {
        json_object_set_new(row, "deleted", json_true());
    }
    json_array_remove(rows, find_row(like));
    json_array_append_new(rows, row);
}

/* Answers with a list of rows, which is released. */
static bool
answer_rows(int fd, int status, json_t *list)
{
    json_t *body =
        json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "has_more", 0,
                  "api_version", version, "now_ms", (json_int_t)RsBed_NowMs());
    char *text = json_dumps(body, JSON_COMPACT);
    bool sent =
        RsBed_Answer(fd, status, "content-type: application/json\r\n", text);
    free(text);
    json_decref(body);
    return sent;
}

/* Handles a transaction. */
static bool
handle_transaction(int fd, const char *text)
{
    size_t index;
    const json_t *item;
    json_t *body = json_loads(text, 0, NULL);
    const json_t *conditions = json_object_get(body, "precondition");
    const json_t *writes = json_object_get(body, "writes");
    const json_t *deletes = json_object_get(body, "deletes");
    json_t *found = json_array();
    bool valid = true;
    json_array_foreach(conditions, index, item)
    {
        valid &= version_of(item) ==
                 json_integer_value(json_object_get(item, "api_version"));
        if (version_of(item) != 0) {
            json_array_append(found, json_array_get(rows, find_row(item)));
        }
    }
    if (!valid) {
        json_decref(body);
        return answer_rows(fd, 412, found);
    }
    json_array_clear(found);
    version++;
    json_array_foreach(writes, index, item)
    {
        change_row(item, false);
    }
    json_array_foreach(deletes, index, item)
    {
        change_row(item, true);
    }
    json_decref(body);
    return answer_rows(fd, 200, found);
}

static int
compare_keys(const void *a, const void *b)
{
    return strcmp(text_of(*(json_t *const *)a, "key"),
                  text_of(*(json_t *const *)b, "key"));
}

/* Returns the rows of a table, from the key `from` on, in the order of keys.
 */
static json_t *
list_table(const char *table, const char *from)
{
    size_t index;
    json_t *row;
    size_t count = 0;
    json_t *list = json_array();
    json_t **found = calloc(json_array_size(rows) + 1, sizeof(json_t *));
    json_array_foreach(rows, index, row)
    {
        if (strcmp(text_of(row, "table"), table) == 0 && !is_deleted(row) &&
            strcmp(text_of(row, "key"), from) >= 0) {
            found[count++] = row;
        }
    }
    qsort(found, count, sizeof(json_t *), compare_keys);
    for (size_t i = 0; i < count; i++) {
        json_array_append(list, found[i]);
    }
    free(found);
    return list;
}

static json_t *
list_changes(const char *table, json_int_t after)
{
    size_t index;
    json_t *row;
    json_t *list = json_array();
    json_array_foreach(rows, index, row)
    {
        if (strcmp(text_of(row, "table"), table) == 0 &&
            json_integer_value(json_object_get(row, "api_version")) > after) {
            json_array_append(list, row);
        }
    }
    return list;
}

/* Answers a call for changes once there is one or its time is over. The caller
 * holds the lock, which is released meanwhile. */
static bool
handle_feed(int fd, const struct rs_bed_message *call, const char *table)
{
    char after[TEXT_BYTES];
    char wait_ms[TEXT_BYTES];
    RsBed_Query(call, "after", after, sizeof(after));
    RsBed_Query(call, "wait_ms", wait_ms, sizeof(wait_ms));
    int64_t end_ms = RsBed_NowMs() + strtoll(wait_ms, NULL, DECIMAL);
    for (;;) {
        json_t *list = list_changes(table, strtoll(after, NULL, DECIMAL));
        if (json_array_size(list) > 0 || RsBed_NowMs() >= end_ms) {
            return answer_rows(fd, 200, list);
        }
        json_decref(list);
        pthread_mutex_unlock(&lock);
        RsBed_SleepMs(POLL_MS);
        pthread_mutex_lock(&lock);
    }
}

static bool
handle_call(int fd, const struct rs_bed_message *call)
{
    char table[TEXT_BYTES];
    char from[TEXT_BYTES];
    RsBed_Query(call, "table", table, sizeof(table));
    if (strcmp(call->path, "/rows-tx") == 0) {
        return handle_transaction(fd, call->body);
    }
    if (strncmp(call->path, "/rows-get?", strlen("/rows-get?")) == 0) {
        RsBed_Query(call, "from", from, sizeof(from));
        char *key = g_uri_unescape_string(from, NULL);
        json_t *list = list_table(table, key != NULL ? key : "");
        g_free(key);
        return answer_rows(fd, 200, list);
    }
    if (strncmp(call->path, "/rows-feed?", strlen("/rows-feed?")) == 0) {
        return handle_feed(fd, call, table);
    }
    return RsBed_Answer(fd, 404, "", "");
}

static void
serve(int fd)
{
    struct rs_bed_stream stream;
    struct rs_bed_message *call = calloc(1, sizeof(*call));
    bool open = true;
    RsBed_Open(&stream, fd);
    while (open && RsBed_Read(&stream, call)) {
        RsBed_SleepMs(ANSWER_MS);
        pthread_mutex_lock(&lock);
        open = handle_call(fd, call);
        pthread_mutex_unlock(&lock);
        RsBed_Free(call);
    }
    while (!open && RsBed_Read(&stream, call)) {
        RsBed_Free(call); /* nothing further is delivered */
    }
    RsBed_Close(&stream);
    free(call);
}

int
main(int argc, char **argv)
{
    int listener =
        argc == 2
            ? RsBed_Listen("127.0.0.1", (int)strtol(argv[1], NULL, DECIMAL))
            : -1;
    if (listener < 0) {
        return 2;
    }
    rows = json_array();
    RsBed_Serve(listener, serve);
    return 0;
}
