#include "soak/store.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "http/server.h"

#define POLL_INTERVAL_MS 10
#define MAX_CONNECTIONS 500
#define MAX_BODY_BYTES (2 * 1024 * 1024)
#define WRITE_FAULT_PERCENT 35
#define SLOW_DELAY_MS 300
#define LATE_WRITE_MIN_MS 500
#define LATE_WRITE_MAX_MS 4000
#define COPY_EVERY_MS 250
#define COPIES (RsSoakStore_MAX_COPY_AGE_MS / COPY_EVERY_MS + 2)

struct row {
    char *table;
    char *key;
    char *value;      /* base64 */
    uint64_t version; /* of the store, at the last write of the row */
    bool deleted;
};

/* The rows of the store at some time. */
struct copy {
    int64_t at_ms;
    GPtrArray *rows; /* NULL: none */
    uint64_t version;
};

/* A call that has not been answered yet, or that will never be answered. */
struct pending {
    struct rs_soak_store *store;
    h2o_req_t *http; /* NULL once the request has ended */
    int64_t due_at_ms;
    char *table;    /* of a feed that waits for changes, or NULL */
    uint64_t after; /* the feed waits for a version above this one */
    json_t *delayed_transaction; /* to be executed when due, with no answer */
    bool never_answered;
    bool completed; /* to be freed with its request */
    int status;     /* of `reply` */
    json_t *reply;  /* to be sent when due, or NULL */
};

struct rs_soak_store {
    struct rs_server *server;
    uv_timer_t timer;
    GRand *random;
    GPtrArray *rows;
    uint64_t version;
    uint64_t trimmed_version; /* changes up to this version are gone */
    enum rs_soak_store_mode mode;
    GPtrArray *pending;
    /* The next response to a feed of this table is delayed after it was made;
     * NULL: none. */
    const char *delayed_feed;
    uint32_t feed_delay_ms;
    uint32_t era;
    struct copy copies[COPIES]; /* a ring */
    uint32_t copy_count;
    int64_t next_copy_at_ms;
    int64_t away_until_ms;
    /* Rows of the operator and the targets that the last restore has lost. */
    GPtrArray *lost_rows;
    int64_t rewrite_at_ms;
};

static void
free_pending(struct pending *pending)
{
    json_decref(pending->reply);
    json_decref(pending->delayed_transaction);
    g_free(pending->table);
    g_free(pending);
}

/* Part of the memory pool of a request; h2o disposes of it when the request
 * ends, which calls on_request_disposed(). */
struct request_watch {
    struct pending *pending;
};

static void
on_request_disposed(void *memory)
{
    struct pending *pending = ((struct request_watch *)memory)->pending;
    pending->http = NULL;
    if (pending->completed) {
        free_pending(pending);
    }
}

/* Adds a call that is due at `due_at_ms`; INT64_MAX means never. */
static struct pending *
add_pending(struct rs_soak_store *store, h2o_req_t *http, int64_t due_at_ms)
{
    struct pending *pending = g_new0(struct pending, 1);
    struct request_watch *request_watch = h2o_mem_alloc_shared(
        &http->pool, sizeof(*request_watch), on_request_disposed);
    request_watch->pending = pending;
    pending->store = store;
    pending->http = http;
    pending->due_at_ms = due_at_ms;
    g_ptr_array_add(store->pending, pending);
    return pending;
}

static void
send_json(const struct rs_soak_store *store, h2o_req_t *http, int status,
          json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    char era[16];
    snprintf(era, sizeof(era), "%u", store->era);
    RsServer_AddHeader(http, "store-era", era);
    RsServer_Reply(http, status, "application/json", text, strlen(text));
    free(text);
    json_decref(body);
}

/* Answers a call, after a delay if the store is slow. Takes ownership of
 * `body`. */
static void
reply(struct rs_soak_store *store, h2o_req_t *http, int status, json_t *body)
{
    if (store->mode != RsSoakStore_SLOW) {
        send_json(store, http, status, body);
        return;
    }
    struct pending *pending =
        add_pending(store, http, RsClock_NowMs() + SLOW_DELAY_MS);
    pending->status = status;
    pending->reply = body;
}

/* Returns a row, which may be marked as deleted, or NULL if it never existed.
 */
static struct row *
find_row(struct rs_soak_store *store, const char *table, const char *key)
{
    for (guint i = 0; i < store->rows->len; i++) {
        struct row *row = g_ptr_array_index(store->rows, i);
        if (strcmp(row->table, table) == 0 && strcmp(row->key, key) == 0) {
            return row;
        }
    }
    return NULL;
}

/* Inserts or updates a row; a NULL `value` marks it as deleted. */
static void
write_row(struct rs_soak_store *store, const char *table, const char *key,
          const char *value, uint64_t version)
{
    struct row *row = find_row(store, table, key);
    if (row == NULL) {
        row = g_new0(struct row, 1);
        row->table = g_strdup(table);
        row->key = g_strdup(key);
        g_ptr_array_add(store->rows, row);
    }
    g_free(row->value);
    row->value = g_strdup(value != NULL ? value : "");
    row->deleted = value == NULL;
    row->version = version;
}

static json_t *
pack_row(const struct row *row)
{
    json_t *json = json_pack("{s:s,s:s,s:s,s:s,s:I}", "table", row->table,
                             "part", "", "key", row->key, "value", row->value,
                             "api_version", (json_int_t)row->version);
    if (row->deleted) {
        json_object_set_new(json, "deleted", json_true());
    }
    return json;
}

static int
compare_versions(const void *a, const void *b)
{
    const struct row *left = *(struct row *const *)a;
    const struct row *right = *(struct row *const *)b;
    return (left->version > right->version) - (left->version < right->version);
}

/* Returns the rows of a table with a version above `after`, also deleted ones,
 * ordered by version. */
static json_t *
list_rows(struct rs_soak_store *store, const char *table, uint64_t after)
{
    json_t *list = json_array();
    g_ptr_array_sort(store->rows, compare_versions);
    for (guint i = 0; i < store->rows->len; i++) {
        const struct row *row = g_ptr_array_index(store->rows, i);
        if (strcmp(row->table, table) == 0 && row->version > after) {
            json_array_append_new(list, pack_row(row));
        }
    }
    return list;
}

static int
compare_keys(const void *a, const void *b)
{
    const struct row *left = *(struct row *const *)a;
    const struct row *right = *(struct row *const *)b;
    return strcmp(left->key, right->key);
}

/* Returns the rows of a table by ascending key. */
static json_t *
list_table(struct rs_soak_store *store, const char *table)
{
    json_t *list = json_array();
    g_ptr_array_sort(store->rows, compare_keys);
    for (guint i = 0; i < store->rows->len; i++) {
        const struct row *row = g_ptr_array_index(store->rows, i);
        if (strcmp(row->table, table) == 0 && !row->deleted) {
            json_array_append_new(list, pack_row(row));
        }
    }
    return list;
}

static json_t *
pack_response(struct rs_soak_store *store, json_t *rows)
{
    return json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "has_more", 0,
                     "api_version", (json_int_t)store->version, "now_ms",
                     (json_int_t)RsClock_NowMs());
}

/* Checks the preconditions of a transaction. Returns NULL if all hold,
 * otherwise the rows that the preconditions name, including deleted ones but
 * not those that never existed. */
static json_t *
failed_conditions(struct rs_soak_store *store, const json_t *body)
{
    json_t *list = json_array();
    bool all_hold = true;
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(body, "precondition"), i, item)
    {
        const struct row *row =
            find_row(store, json_string_value(json_object_get(item, "table")),
                     json_string_value(json_object_get(item, "key")));
        json_int_t expected =
            json_integer_value(json_object_get(item, "api_version"));
        json_int_t actual =
            row != NULL && !row->deleted ? (json_int_t)row->version : 0;
        all_hold = all_hold && expected == actual;
        if (row != NULL) {
            json_array_append_new(list, pack_row(row));
        }
    }
    if (!all_hold) {
        return list;
    }
    json_decref(list);
    return NULL;
}

static void
apply_writes(struct rs_soak_store *store, const json_t *body)
{
    size_t i;
    json_t *item;
    store->version++;
    json_array_foreach(json_object_get(body, "writes"), i, item)
    {
        write_row(store, json_string_value(json_object_get(item, "table")),
                  json_string_value(json_object_get(item, "key")),
                  json_string_value(json_object_get(item, "value")),
                  store->version);
    }
}

/* Decides at random whether a write is hit by the current failure mode. */
static bool
draw_write_fault(struct rs_soak_store *store)
{
    return g_rand_int_range(store->random, 0, 100) < WRITE_FAULT_PERCENT;
}

/* Executes a transaction and answers it. Depending on the failure mode, some
 * transactions are executed later, and some are not answered. */
static void
handle_transaction(struct rs_soak_store *store, h2o_req_t *http)
{
    json_t *body = json_loadb(http->entity.base, http->entity.len, 0, NULL);
    int64_t now_ms = RsClock_NowMs();
    if (body == NULL) {
        reply(store, http, 400, json_object());
        return;
    }
    if (store->mode == RsSoakStore_DELAYS_WRITES && draw_write_fault(store)) {
        struct pending *pending = add_pending(
            store, http,
            now_ms + g_rand_int_range(store->random, LATE_WRITE_MIN_MS,
                                      LATE_WRITE_MAX_MS));
        pending->delayed_transaction = body;
        return;
    }
    json_t *failed = failed_conditions(store, body);
    if (failed == NULL) {
        apply_writes(store, body);
    }
    json_decref(body);
    if (store->mode == RsSoakStore_LOSES_RESPONSES &&
        draw_write_fault(store)) {
        json_decref(failed);
        add_pending(store, http, INT64_MAX)->never_answered = true;
        return;
    }
    reply(store, http, failed == NULL ? 200 : 412,
          pack_response(store, failed != NULL ? failed : json_array()));
}

/* Makes the response of a feed. It is sent at once, or later if that was asked
 * for. Returns whether it was sent. */
static bool
answer_feed(struct rs_soak_store *store, struct pending *pending, json_t *rows)
{
    json_t *body = pack_response(store, rows);
    if (store->delayed_feed == NULL ||
        strcmp(store->delayed_feed, pending->table) != 0) {
        send_json(store, pending->http, 200, body);
        return true;
    }
    store->delayed_feed = NULL;
    pending->due_at_ms = RsClock_NowMs() + store->feed_delay_ms;
    pending->status = 200;
    pending->reply = body;
    return false;
}

/* Answers with the changes after a version. If there are none yet, waits for
 * the first one for at most the `wait_ms` of the call. Answers 410 if some of
 * the changes have been trimmed. */
static void
handle_feed(struct rs_soak_store *store, h2o_req_t *http, const char *table)
{
    char *after_text = RsServer_Query(http, "after");
    char *wait_text = RsServer_Query(http, "wait_ms");
    uint64_t after = after_text != NULL ? strtoull(after_text, NULL, 10) : 0;
    int64_t wait_ms = wait_text != NULL ? strtol(wait_text, NULL, 10) : 0;
    g_free(after_text);
    g_free(wait_text);
    if (after < store->trimmed_version || after > store->version) {
        reply(store, http, 410, json_object());
        return;
    }
    json_t *rows = list_rows(store, table, after);
    if (json_array_size(rows) > 0) {
        reply(store, http, 200, pack_response(store, rows));
        return;
    }
    json_decref(rows);
    struct pending *pending =
        add_pending(store, http, RsClock_NowMs() + wait_ms);
    pending->table = g_strdup(table);
    pending->after = after;
}

static void
on_request(void *arg, h2o_req_t *http)
{
    struct rs_soak_store *store = arg;
    char *path = RsServer_Path(http);
    char *table = RsServer_Query(http, "table");
    char *from = RsServer_Query(http, "from");
    if (store->mode == RsSoakStore_UNAVAILABLE ||
        RsClock_NowMs() < store->away_until_ms) {
        send_json(store, http, 503, json_object());
    }
    else if (store->mode == RsSoakStore_UNRESPONSIVE) {
        add_pending(store, http, INT64_MAX)->never_answered = true;
    }
    else if (strcmp(path, "/rows-tx") == 0) {
        handle_transaction(store, http);
    }
    else if (table != NULL && strcmp(path, "/rows-get") == 0) {
        reply(store, http, 200,
              pack_response(store, list_table(store, table)));
    }
    else if (table != NULL && strcmp(path, "/rows-feed") == 0) {
        handle_feed(store, http, table);
    }
    else {
        send_json(store, http, 404, json_object());
    }
    g_free(path);
    g_free(table);
    g_free(from);
}

/* Continues a pending call. Returns whether it is finished. */
static bool
process_pending(struct rs_soak_store *store, struct pending *pending,
                int64_t now_ms)
{
    bool due = now_ms >= pending->due_at_ms;
    if (pending->delayed_transaction != NULL && due) {
        json_t *failed =
            failed_conditions(store, pending->delayed_transaction);
        if (failed == NULL) {
            apply_writes(store, pending->delayed_transaction);
        }
        json_decref(failed);
        json_decref(pending->delayed_transaction);
        pending->delayed_transaction = NULL;
        return pending->http == NULL;
    }
    if (pending->http == NULL) {
        return pending->delayed_transaction == NULL;
    }
    if (pending->reply != NULL && due) {
        send_json(store, pending->http, pending->status, pending->reply);
        pending->reply = NULL;
        return true;
    }
    if (pending->table == NULL || pending->reply != NULL ||
        store->mode == RsSoakStore_UNRESPONSIVE ||
        now_ms < store->away_until_ms) {
        return false;
    }
    json_t *rows = list_rows(store, pending->table, pending->after);
    if (!due && json_array_size(rows) == 0) {
        json_decref(rows);
        return false;
    }
    return answer_feed(store, pending, rows);
}

static void
free_row(gpointer data)
{
    struct row *row = data;
    g_free(row->table);
    g_free(row->key);
    g_free(row->value);
    g_free(row);
}

static struct row *
duplicate_row(const struct row *row)
{
    struct row *copy = g_new(struct row, 1);
    *copy = *row;
    copy->table = g_strdup(row->table);
    copy->key = g_strdup(row->key);
    copy->value = g_strdup(row->value);
    return copy;
}

static GPtrArray *
duplicate_rows(const GPtrArray *rows)
{
    GPtrArray *copy = g_ptr_array_new_with_free_func(free_row);
    for (guint i = 0; i < rows->len; i++) {
        g_ptr_array_add(copy, duplicate_row(g_ptr_array_index(rows, i)));
    }
    return copy;
}

/* Makes a copy of the rows if one is due. */
static void
make_copy(struct rs_soak_store *store, int64_t now_ms)
{
    if (now_ms < store->next_copy_at_ms) {
        return;
    }
    store->next_copy_at_ms = now_ms + COPY_EVERY_MS;
    struct copy *copy = &store->copies[store->copy_count++ % COPIES];
    if (copy->rows != NULL) {
        g_ptr_array_unref(copy->rows);
    }
    *copy = (struct copy){now_ms, duplicate_rows(store->rows), store->version};
}

/* Returns the newest copy that is at least this old, or the oldest one, or
 * NULL if there is none. */
static const struct copy *
find_copy(const struct rs_soak_store *store, int64_t before_ms)
{
    const struct copy *oldest = NULL;
    const struct copy *newest = NULL;
    for (uint32_t i = 0; i < COPIES; i++) {
        const struct copy *copy = &store->copies[i];
        if (copy->rows == NULL) {
            continue;
        }
        if (oldest == NULL || copy->at_ms < oldest->at_ms) {
            oldest = copy;
        }
        if (copy->at_ms <= before_ms &&
            (newest == NULL || copy->at_ms > newest->at_ms)) {
            newest = copy;
        }
    }
    return newest != NULL ? newest : oldest;
}

/* Writes the rows again that the last restore has lost, unless they have been
 * written since. */
static void
rewrite_lost_rows(struct rs_soak_store *store, int64_t now_ms)
{
    if (store->lost_rows == NULL || now_ms < store->rewrite_at_ms) {
        return;
    }
    for (guint i = 0; i < store->lost_rows->len; i++) {
        const struct row *lost = g_ptr_array_index(store->lost_rows, i);
        const struct row *present = find_row(store, lost->table, lost->key);
        uint64_t version = present != NULL ? present->version : 0;
        if (version == lost->version) {
            store->version++;
            write_row(store, lost->table, lost->key,
                      lost->deleted ? NULL : lost->value, store->version);
        }
    }
    g_ptr_array_unref(store->lost_rows);
    store->lost_rows = NULL;
}

static void
on_timer(uv_timer_t *timer)
{
    struct rs_soak_store *store = timer->data;
    int64_t now_ms = RsClock_NowMs();
    make_copy(store, now_ms);
    rewrite_lost_rows(store, now_ms);
    for (guint i = store->pending->len; i > 0; i--) {
        struct pending *pending = g_ptr_array_index(store->pending, i - 1);
        if (process_pending(store, pending, now_ms)) {
            g_ptr_array_remove_index_fast(store->pending, i - 1);
            pending->completed = true;
            if (pending->http == NULL) {
                free_pending(pending);
            }
        }
    }
}

/* Opens a store on 127.0.0.1. The store is never freed. Returns NULL if the
 * port is in use. */
struct rs_soak_store *
RsSoakStore_Open(uv_loop_t *loop, uint16_t port, GRand *random)
{
    struct rs_soak_store *store = g_new0(struct rs_soak_store, 1);
    struct rs_server_options options = {
        .loop = loop,
        .max_body_bytes = MAX_BODY_BYTES,
        .max_connections = MAX_CONNECTIONS,
        .handler = on_request,
        .arg = store,
    };
    store->random = random;
    store->rows = g_ptr_array_new_with_free_func(free_row);
    store->pending = g_ptr_array_new();
    uv_ip4_addr("127.0.0.1", port, &options.address);
    if (RsServer_Open(&options, &store->server) != 0) {
        return NULL;
    }
    uv_timer_init(loop, &store->timer);
    store->timer.data = store;
    uv_timer_start(&store->timer, on_timer, POLL_INTERVAL_MS,
                   POLL_INTERVAL_MS);
    return store;
}

/* Sets the failure mode. */
void
RsSoakStore_SetMode(struct rs_soak_store *store, enum rs_soak_store_mode mode)
{
    store->mode = mode;
}

/* Writes a row on behalf of the operator or of a target. `value` is plain
 * text. */
void
RsSoakStore_Put(struct rs_soak_store *store, const char *table,
                const char *key, const char *value)
{
    char *encoded = g_base64_encode((const guchar *)value, strlen(value));
    store->version++;
    write_row(store, table, key, encoded, store->version);
    g_free(encoded);
}

/* Deletes a row. */
void
RsSoakStore_Delete(struct rs_soak_store *store, const char *table,
                   const char *key)
{
    store->version++;
    write_row(store, table, key, NULL, store->version);
}

/* Delays the next response to a feed of a table, after it was made. The name
 * of the table must be a string literal. */
void
RsSoakStore_DelayFeed(struct rs_soak_store *store, const char *table,
                      uint32_t delay_ms)
{
    store->delayed_feed = table;
    store->feed_delay_ms = delay_ms;
}

/* Returns whether the response to be delayed has been made. */
bool
RsSoakStore_IsFeedDelayed(const struct rs_soak_store *store)
{
    return store->delayed_feed == NULL;
}

/* Discards the history of changes up to now, so that feeds from an earlier
 * version get a 410. The rows stay. */
void
RsSoakStore_TrimHistory(struct rs_soak_store *store)
{
    store->trimmed_version = store->version;
}

/* Returns the rows of the operator and the targets that differ from the copy.
 * The `version` of each is that of the row in the copy, 0 if it has none. */
static GPtrArray *
list_lost_rows(struct rs_soak_store *store, const GPtrArray *former_rows)
{
    GPtrArray *lost_rows = g_ptr_array_new_with_free_func(free_row);
    for (guint i = 0; i < former_rows->len; i++) {
        const struct row *former = g_ptr_array_index(former_rows, i);
        const struct row *present =
            find_row(store, former->table, former->key);
        uint64_t version = present != NULL ? present->version : 0;
        if ((strcmp(former->table, "op") == 0 ||
             strcmp(former->table, "servers") == 0) &&
            version != former->version) {
            struct row *lost = duplicate_row(former);
            lost->version = version;
            g_ptr_array_add(lost_rows, lost);
        }
    }
    return lost_rows;
}

/* Sets the store back to a copy of its rows and begins a new era. The store is
 * away for some time first. What the operator and the targets had written
 * since the copy is written again later; what nodes had written is lost. */
void
RsSoakStore_Restore(struct rs_soak_store *store,
                    const struct rs_soak_restore *restore)
{
    int64_t now_ms = RsClock_NowMs();
    const struct copy *copy = find_copy(store, now_ms - restore->copy_age_ms);
    if (copy == NULL) {
        return;
    }
    GPtrArray *former_rows = store->rows;
    store->rows = duplicate_rows(copy->rows);
    store->version = copy->version;
    store->trimmed_version = MIN(store->trimmed_version, store->version);
    store->era++;
    if (store->lost_rows != NULL) {
        g_ptr_array_unref(store->lost_rows);
    }
    store->lost_rows = list_lost_rows(store, former_rows);
    g_ptr_array_unref(former_rows);
    store->away_until_ms = now_ms + restore->away_ms;
    store->rewrite_at_ms = store->away_until_ms + restore->rewrite_after_ms;
}
