#include "standin/load_http.h"

#include <string.h>

#include "core/clock.h"

#define TIMEOUT_CHECK_EVERY_MS 20

struct rs_load_connection {
    uv_tcp_t socket;
    uv_connect_t connect;
    struct rs_load_http *http;
    struct rs_load_http_entry *entry;
    struct rs_load_exchange *exchange; /* NULL when idle */
    bool closed;
};

struct pending_write {
    uv_write_t write;
    char text[];
};

static void open_connection(struct rs_load_http *http,
                            struct rs_load_exchange *exchange);

/* Ends an exchange and calls its callback. */
static void
finish(struct rs_load_http *http, struct rs_load_exchange *exchange,
       enum rs_load_http_result result)
{
    g_queue_unlink(&http->active, &exchange->link);
    exchange->connection = NULL;
    exchange->done(exchange, result);
}

static void
free_connection(uv_handle_t *handle)
{
    g_free(handle->data);
}

/* Closes a connection and opens a new one for the first waiting request, if
 * there is any. */
static void
close_connection(struct rs_load_connection *connection)
{
    struct rs_load_http *http = connection->http;
    struct rs_load_http_entry *entry = connection->entry;
    if (connection->closed) {
        return;
    }
    connection->closed = true;
    g_queue_remove(&entry->idle, connection);
    entry->open_count--;
    uv_close((uv_handle_t *)&connection->socket, free_connection);
    struct rs_load_exchange *next = g_queue_pop_head(&entry->waiting);
    if (next != NULL) {
        open_connection(http, next);
    }
}

/* Closes a connection and ends its exchange, if it has one. */
static void
fail_connection(struct rs_load_connection *connection,
                enum rs_load_http_result result)
{
    struct rs_load_exchange *exchange = connection->exchange;
    connection->exchange = NULL;
    close_connection(connection);
    if (exchange != NULL) {
        finish(connection->http, exchange, result);
    }
}

static void
on_written(uv_write_t *write, int status)
{
    g_free(write->data);
}

static void
send_request(struct rs_load_connection *connection,
             struct rs_load_exchange *exchange)
{
    struct pending_write *pending =
        g_malloc(sizeof(*pending) + exchange->request_bytes);
    memcpy(pending->text, exchange->request, exchange->request_bytes);
    pending->write.data = pending;
    connection->exchange = exchange;
    exchange->connection = connection;
    uv_buf_t buffer =
        uv_buf_init(pending->text, (unsigned)exchange->request_bytes);
    int result = uv_write(&pending->write, (uv_stream_t *)&connection->socket,
                          &buffer, 1, on_written);
    if (result != 0) {
        g_free(pending);
        fail_connection(connection, RsLoadHttp_CLOSED);
    }
}

/* Sends the next waiting request on the connection, or makes it idle. */
static void
reuse_connection(struct rs_load_connection *connection)
{
    struct rs_load_http_entry *entry = connection->entry;
    struct rs_load_exchange *next = g_queue_pop_head(&entry->waiting);
    if (next != NULL) {
        send_request(connection, next);
    }
    else {
        g_queue_push_head(&entry->idle, connection);
    }
}

/* Ends the exchange of a complete answer and reuses or closes its
 * connection. */
static void
end_answer(struct rs_load_connection *connection,
           enum rs_load_feed_result feed)
{
    struct rs_load_exchange *exchange = connection->exchange;
    bool is_clean =
        feed == RsLoadAnswer_COMPLETE && exchange->answer.keeps_alive;
    connection->exchange = NULL;
    if (feed == RsLoadAnswer_EXTRA_BYTES) {
        connection->http->extra_read_count++;
    }
    if (is_clean) {
        reuse_connection(connection);
    }
    else {
        close_connection(connection);
    }
    finish(connection->http, exchange, RsLoadHttp_ANSWERED);
}

static void
provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    struct rs_load_connection *connection = handle->data;
    struct rs_load_http *http = connection->http;
    *buffer = uv_buf_init(http->buffer, sizeof(http->buffer));
}

static void
on_read(uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *buffer)
{
    struct rs_load_connection *connection = stream->data;
    if (size_bytes == 0) {
        return;
    }
    if (size_bytes < 0) {
        fail_connection(connection, RsLoadHttp_CLOSED);
        return;
    }
    if (connection->exchange == NULL) {
        connection->http->extra_read_count++;
        close_connection(connection);
        return;
    }
    enum rs_load_feed_result feed = RsLoadAnswer_Feed(
        &connection->exchange->answer, buffer->base, (size_t)size_bytes);
    if (feed == RsLoadAnswer_INVALID) {
        fail_connection(connection, RsLoadHttp_CLOSED);
    }
    else if (feed != RsLoadAnswer_INCOMPLETE) {
        end_answer(connection, feed);
    }
}

static void
on_connected(uv_connect_t *connect, int status)
{
    struct rs_load_connection *connection = connect->data;
    if (connection->closed) {
        return;
    }
    if (status != 0) {
        fail_connection(connection, RsLoadHttp_REFUSED);
        return;
    }
    uv_tcp_nodelay(&connection->socket, 1);
    uv_read_start((uv_stream_t *)&connection->socket, provide_buffer, on_read);
    send_request(connection, connection->exchange);
}

static void
open_connection(struct rs_load_http *http, struct rs_load_exchange *exchange)
{
    struct rs_load_http_entry *entry = &http->entries[exchange->entry];
    struct rs_load_connection *connection =
        g_new0(struct rs_load_connection, 1);
    connection->http = http;
    connection->entry = entry;
    connection->exchange = exchange;
    exchange->connection = connection;
    entry->open_count++;
    uv_tcp_init(http->loop, &connection->socket);
    connection->socket.data = connection;
    connection->connect.data = connection;
    int result =
        uv_tcp_connect(&connection->connect, &connection->socket,
                       (const struct sockaddr *)&entry->address, on_connected);
    if (result != 0) {
        fail_connection(connection, RsLoadHttp_REFUSED);
    }
}

/* Ends an exchange that has timed out, whether it is waiting or sent. */
static void
time_out(struct rs_load_http *http, struct rs_load_exchange *exchange)
{
    if (exchange->connection != NULL) {
        fail_connection(exchange->connection, RsLoadHttp_TIMEOUT);
        return;
    }
    g_queue_remove(&http->entries[exchange->entry].waiting, exchange);
    finish(http, exchange, RsLoadHttp_TIMEOUT);
}

/* Ends all exchanges whose time is over. */
static void
expire_exchanges(uv_timer_t *timer)
{
    struct rs_load_http *http = timer->data;
    int64_t now_us = RsClock_NowUs();
    GPtrArray *expired = g_ptr_array_new();
    for (GList *node = http->active.head; node != NULL; node = node->next) {
        struct rs_load_exchange *exchange = node->data;
        if (exchange->give_up_at_us <= now_us) {
            g_ptr_array_add(expired, exchange);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        time_out(http, g_ptr_array_index(expired, i));
    }
    g_ptr_array_free(expired, TRUE);
}

/* Initializes a client without entry processes, which lives as long as
 * `loop`. */
void
RsLoadHttp_Init(struct rs_load_http *http, uv_loop_t *loop,
                size_t max_connections)
{
    memset(http, 0, sizeof(*http));
    http->loop = loop;
    http->max_connections = max_connections;
    g_queue_init(&http->active);
    uv_timer_init(loop, &http->timeout_timer);
    http->timeout_timer.data = http;
    uv_timer_start(&http->timeout_timer, expire_exchanges,
                   TIMEOUT_CHECK_EVERY_MS, TIMEOUT_CHECK_EVERY_MS);
}

/* Adds an entry process at an IPv4 address. The index of the entry process is
 * the number of entry processes added before. Returns 0 or a negative libuv
 * error. */
int
RsLoadHttp_AddEntry(struct rs_load_http *http, const char *host, uint16_t port)
{
    if (http->entry_count == RsLoadEntries_MAX) {
        return UV_ENOBUFS;
    }
    struct rs_load_http_entry *entry = &http->entries[http->entry_count];
    int result = uv_ip4_addr(host, port, &entry->address);
    if (result == 0) {
        g_queue_init(&entry->idle);
        g_queue_init(&entry->waiting);
        http->entry_count++;
    }
    return result;
}

/* Sends a request on an idle or a new connection. If `max_connections` are
 * open and none is idle, the request waits for the next free connection. May
 * call `done` before it returns. */
void
RsLoadHttp_Send(struct rs_load_http *http, struct rs_load_exchange *exchange)
{
    struct rs_load_http_entry *entry = &http->entries[exchange->entry];
    exchange->connection = NULL;
    exchange->link.data = exchange;
    g_queue_push_tail_link(&http->active, &exchange->link);
    struct rs_load_connection *idle = g_queue_pop_head(&entry->idle);
    if (idle != NULL) {
        send_request(idle, exchange);
    }
    else if (entry->open_count < http->max_connections) {
        open_connection(http, exchange);
    }
    else {
        g_queue_push_tail(&entry->waiting, exchange);
    }
}
