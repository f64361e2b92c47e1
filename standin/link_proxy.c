#include "standin/link_proxy.h"

#include <glib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "core/clock.h"

#define LISTEN_BACKLOG 1024
#define READ_BYTES 65536
/* The proxy stops reading a stream once this many of the stream's bytes wait
 * to be written. */
#define MAX_HELD_BYTES 262144
#define US_PER_S 1000000
#define NS_PER_US 1000
#define LISTEN_ADDRESS "127.0.0.1"

struct rs_link_proxy {
    struct rs_link_route route;
    uv_loop_t *loop;
    uv_tcp_t listener;
    int timer_fd; /* libuv's timers only have a resolution of 1 ms */
    uv_poll_t timer;
    int64_t delay_us;
    int64_t hold_up_us; /* of bytes from callers, added to the delay */
    bool is_cut;
    bool cuts_new;      /* connections opened from now on are frozen */
    bool drops_answers; /* discard all bytes from the target */
    GQueue chunks;      /* of all connections, in order of arrival; a chunk
                           waits for those before it */
    GQueue held_up;     /* chunks of all connections, in order of due time */
    GList *connections;
    size_t connection_count;
    char buffer[READ_BYTES];
};

/* One direction of a proxied connection. */
struct stream {
    struct connection *connection;
    uv_tcp_t source;
    struct stream *other;
    size_t held_bytes; /* in chunks and pending writes */
    size_t held_up_chunks;
    int64_t held_up_until_us; /* due time of the last of them */
    bool reading;
    bool ended; /* the end of the stream was passed on */
};

/* A caller's connection and the one to the target. Freed once no socket,
 * pending connect, chunk or pending write refers to it. */
struct connection {
    struct rs_link_proxy *proxy;
    struct stream streams[2]; /* from the caller, from the target */
    GList *link;              /* the node in the proxy's list */
    uv_connect_t connect;
    size_t references;
    bool closed;
    bool frozen;    /* was open during a cut; closed when the cut ends */
    bool abandoned; /* the caller's socket is closed; the target still gets
                       the bytes that were held up */
};

/* Bytes to pass on when their delay is over. A chunk of size 0 stands for the
 * end of the stream. */
struct chunk {
    struct stream *stream;
    int64_t due_at_us;
    bool held_up;
    uv_write_t write;
    uv_shutdown_t shutdown;
    size_t size_bytes;
    char data[];
};

static void
unref_connection(struct connection *connection)
{
    g_assert(connection->references > 0);
    connection->references--;
    if (connection->references == 0) {
        g_free(connection);
    }
}

static void
on_closed(uv_handle_t *handle)
{
    struct stream *stream = handle->data;
    unref_connection(stream->connection);
}

static void
close_connection(struct connection *connection)
{
    struct rs_link_proxy *proxy = connection->proxy;
    if (connection->closed) {
        return;
    }
    connection->closed = true;
    proxy->connections =
        g_list_delete_link(proxy->connections, connection->link);
    proxy->connection_count--;
    if (!connection->abandoned) {
        uv_close((uv_handle_t *)&connection->streams[0].source, on_closed);
    }
    uv_close((uv_handle_t *)&connection->streams[1].source, on_closed);
}

static void queue_chunk(struct stream *stream, const char *data,
                        size_t size_bytes);
static void start_reading(struct stream *stream);

/* Closes the caller's socket, and the connection once the target has got the
 * bytes that were held up, if there are any. */
static void
abandon_connection(struct connection *connection)
{
    if (connection->closed || connection->abandoned) {
        return;
    }
    if (connection->streams[0].held_up_chunks == 0) {
        close_connection(connection);
        return;
    }
    connection->abandoned = true;
    connection->frozen = false;
    uv_close((uv_handle_t *)&connection->streams[0].source, on_closed);
    queue_chunk(&connection->streams[0], NULL, 0);
    start_reading(&connection->streams[1]);
}

static void
free_chunk(struct chunk *chunk)
{
    struct connection *connection = chunk->stream->connection;
    chunk->stream->held_bytes -= chunk->size_bytes;
    chunk->stream->held_up_chunks -= chunk->held_up;
    g_free(chunk);
    unref_connection(connection);
}

/* Returns the queue whose first chunk is due first. */
static GQueue *
find_next_queue(struct rs_link_proxy *proxy)
{
    const struct chunk *next = g_queue_peek_head(&proxy->chunks);
    const struct chunk *held_up = g_queue_peek_head(&proxy->held_up);
    bool is_held_up = held_up != NULL &&
                      (next == NULL || held_up->due_at_us < next->due_at_us);
    return is_held_up ? &proxy->held_up : &proxy->chunks;
}

/* Sets the timer to the due time of the next chunk, or stops it. */
static void
arm_timer(struct rs_link_proxy *proxy)
{
    const struct chunk *next = g_queue_peek_head(find_next_queue(proxy));
    struct itimerspec at = {.it_value = {0, 0}};
    if (next != NULL) {
        at.it_value.tv_sec = next->due_at_us / US_PER_S;
        at.it_value.tv_nsec = next->due_at_us % US_PER_S * NS_PER_US;
    }
    timerfd_settime(proxy->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static void
on_written(uv_write_t *write, int status)
{
    struct chunk *chunk = write->data;
    struct stream *stream = chunk->stream;
    if (status != 0 && stream == &stream->connection->streams[1]) {
        abandon_connection(stream->connection);
    }
    else if (status != 0) {
        close_connection(stream->connection);
    }
    else if (stream->held_bytes - chunk->size_bytes < MAX_HELD_BYTES) {
        start_reading(stream);
    }
    free_chunk(chunk);
}

static void
on_shut_down(uv_shutdown_t *shutdown, int status)
{
    struct chunk *chunk = shutdown->data;
    struct stream *stream = chunk->stream;
    stream->ended = true;
    if (stream->other->ended) {
        close_connection(stream->connection);
    }
    free_chunk(chunk);
}

/* Returns whether a chunk can't be delivered any more. */
static bool
is_lost(const struct chunk *chunk)
{
    const struct connection *connection = chunk->stream->connection;
    return connection->closed || (connection->frozen && !chunk->held_up) ||
           (connection->abandoned && chunk->stream == &connection->streams[1]);
}

/* Writes a chunk to the other side and frees it when that is done. Discards
 * the chunk if its connection is closed or frozen. */
static void
deliver(struct chunk *chunk)
{
    struct stream *stream = chunk->stream;
    uv_stream_t *sink = (uv_stream_t *)&stream->other->source;
    uv_buf_t buffer = uv_buf_init(chunk->data, (unsigned)chunk->size_bytes);
    if (is_lost(chunk)) {
        free_chunk(chunk);
        return;
    }
    chunk->write.data = chunk;
    chunk->shutdown.data = chunk;
    int result = chunk->size_bytes > 0
                     ? uv_write(&chunk->write, sink, &buffer, 1, on_written)
                     : uv_shutdown(&chunk->shutdown, sink, on_shut_down);
    if (result != 0) {
        close_connection(stream->connection);
        free_chunk(chunk);
    }
}

static void
deliver_due(struct rs_link_proxy *proxy)
{
    int64_t now_us = RsClock_NowUs();
    GQueue *queue = find_next_queue(proxy);
    struct chunk *next = g_queue_peek_head(queue);
    while (next != NULL && next->due_at_us <= now_us) {
        g_queue_pop_head(queue);
        deliver(next);
        queue = find_next_queue(proxy);
        next = g_queue_peek_head(queue);
    }
    arm_timer(proxy);
}

static void
on_timer(uv_poll_t *timer, int status, int events)
{
    struct rs_link_proxy *proxy = timer->data;
    uint64_t expiration_count;
    ssize_t got =
        read(proxy->timer_fd, &expiration_count, sizeof(expiration_count));
    (void)got;
    deliver_due(proxy);
}

/* Orders chunks by due time, and those due at the same time by arrival. */
static gint
compare_due(gconstpointer earlier, gconstpointer later, gpointer arg)
{
    const struct chunk *a = earlier;
    const struct chunk *b = later;
    return a->due_at_us <= b->due_at_us ? -1 : 1;
}

/* Queues a chunk from the caller that is to be held up, or that comes after
 * such chunks of its stream. */
static void
queue_held_up(struct chunk *chunk)
{
    struct stream *stream = chunk->stream;
    struct rs_link_proxy *proxy = stream->connection->proxy;
    chunk->held_up = true;
    chunk->due_at_us += proxy->hold_up_us;
    if (stream->held_up_chunks > 0) {
        chunk->due_at_us = MAX(chunk->due_at_us, stream->held_up_until_us);
    }
    stream->held_up_chunks++;
    stream->held_up_until_us = chunk->due_at_us;
    g_queue_insert_sorted(&proxy->held_up, chunk, compare_due, NULL);
    arm_timer(proxy);
}

/* Queues a copy of the data for the other side, or writes it at once if there
 * is no delay and no chunk is queued. `size_bytes` of 0 stands for the end of
 * the stream. */
static void
queue_chunk(struct stream *stream, const char *data, size_t size_bytes)
{
    struct connection *connection = stream->connection;
    struct rs_link_proxy *proxy = connection->proxy;
    struct chunk *chunk = g_malloc0(sizeof(*chunk) + size_bytes);
    chunk->stream = stream;
    chunk->due_at_us = RsClock_NowUs() + proxy->delay_us;
    chunk->size_bytes = size_bytes;
    if (size_bytes > 0) {
        memcpy(chunk->data, data, size_bytes);
    }
    connection->references++;
    stream->held_bytes += size_bytes;
    if (stream->held_up_chunks > 0 ||
        (proxy->hold_up_us > 0 && stream == &connection->streams[0])) {
        queue_held_up(chunk);
        return;
    }
    if (proxy->delay_us == 0 && g_queue_is_empty(&proxy->chunks)) {
        deliver(chunk);
        return;
    }
    g_queue_push_tail(&proxy->chunks, chunk);
    if (g_queue_get_length(&proxy->chunks) == 1) {
        arm_timer(proxy);
    }
}

static void
stop_reading(struct stream *stream)
{
    uv_read_stop((uv_stream_t *)&stream->source);
    stream->reading = false;
}

static void
provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    struct stream *stream = handle->data;
    struct rs_link_proxy *proxy = stream->connection->proxy;
    *buffer = uv_buf_init(proxy->buffer, sizeof(proxy->buffer));
}

static void
on_read(uv_stream_t *source, ssize_t size_bytes, const uv_buf_t *buffer)
{
    struct stream *stream = source->data;
    struct connection *connection = stream->connection;
    bool from_target = stream == &connection->streams[1];
    if (size_bytes == UV_EOF && !connection->abandoned) {
        stop_reading(stream);
        queue_chunk(stream, NULL, 0);
        return;
    }
    if (size_bytes < 0 && !from_target) {
        abandon_connection(connection);
        return;
    }
    if (size_bytes < 0) {
        close_connection(connection);
        return;
    }
    bool is_dropped = from_target && (connection->proxy->drops_answers ||
                                      connection->abandoned);
    if (size_bytes == 0 || is_dropped) {
        return;
    }
    queue_chunk(stream, buffer->base, (size_t)size_bytes);
    if (stream->held_bytes >= MAX_HELD_BYTES) {
        stop_reading(stream);
    }
}

static void
start_reading(struct stream *stream)
{
    const struct connection *connection = stream->connection;
    bool is_open = !connection->closed &&
                   (!connection->abandoned || stream != connection->streams);
    if (!stream->reading && is_open && !connection->frozen &&
        uv_is_readable((uv_stream_t *)&stream->source)) {
        stream->reading = true;
        uv_read_start((uv_stream_t *)&stream->source, provide_buffer, on_read);
    }
}

static void
on_connected(uv_connect_t *connect, int status)
{
    struct connection *connection = connect->data;
    if (status != 0) {
        close_connection(connection);
    }
    else if (!connection->closed) {
        start_reading(&connection->streams[0]);
        start_reading(&connection->streams[1]);
    }
    unref_connection(connection);
}

static void
connect_target(struct connection *connection)
{
    struct rs_link_proxy *proxy = connection->proxy;
    struct sockaddr_in address;
    uv_ip4_addr(proxy->route.target_host, proxy->route.target_port, &address);
    connection->connect.data = connection;
    connection->references++;
    int result =
        uv_tcp_connect(&connection->connect, &connection->streams[1].source,
                       (const struct sockaddr *)&address, on_connected);
    if (result != 0) {
        close_connection(connection);
        unref_connection(connection);
    }
}

/* Adds a connection whose sockets are not connected yet. */
static struct connection *
new_connection(struct rs_link_proxy *proxy)
{
    struct connection *connection = g_new0(struct connection, 1);
    connection->proxy = proxy;
    for (size_t i = 0; i < 2; i++) {
        struct stream *stream = &connection->streams[i];
        stream->connection = connection;
        stream->other = &connection->streams[1 - i];
        uv_tcp_init(proxy->loop, &stream->source);
        stream->source.data = stream;
        connection->references++;
    }
    proxy->connections = g_list_prepend(proxy->connections, connection);
    proxy->connection_count++;
    connection->link = proxy->connections;
    return connection;
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct rs_link_proxy *proxy = listener->data;
    if (status != 0) {
        return;
    }
    struct connection *connection = new_connection(proxy);
    uv_tcp_t *caller = &connection->streams[0].source;
    if (uv_accept(listener, (uv_stream_t *)caller) != 0) {
        close_connection(connection);
        return;
    }
    uv_tcp_nodelay(caller, 1);
    connection->frozen = proxy->is_cut || proxy->cuts_new;
    if (!connection->frozen) {
        connect_target(connection);
    }
}

/* Returns a proxy that doesn't listen yet. It copies the route and lives until
 * the process ends. */
struct rs_link_proxy *
RsLinkProxy_New(const struct rs_link_route *route, uv_loop_t *loop)
{
    struct rs_link_proxy *proxy = g_new0(struct rs_link_proxy, 1);
    proxy->route = *route;
    proxy->loop = loop;
    g_queue_init(&proxy->chunks);
    g_queue_init(&proxy->held_up);
    proxy->timer_fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK);
    uv_poll_init(loop, &proxy->timer, proxy->timer_fd);
    proxy->timer.data = proxy;
    uv_poll_start(&proxy->timer, UV_READABLE, on_timer);
    return proxy;
}

/* Starts accepting connections on the loopback address. Returns 0 or a
 * negative libuv error. */
int
RsLinkProxy_Listen(struct rs_link_proxy *proxy)
{
    struct sockaddr_in address;
    uv_tcp_init(proxy->loop, &proxy->listener);
    proxy->listener.data = proxy;
    uv_ip4_addr(LISTEN_ADDRESS, proxy->route.listen_port, &address);
    int result =
        uv_tcp_bind(&proxy->listener, (const struct sockaddr *)&address, 0);
    if (result != 0) {
        return result;
    }
    return uv_listen((uv_stream_t *)&proxy->listener, LISTEN_BACKLOG,
                     on_connection);
}

/* Returns the route, which the proxy owns. */
const struct rs_link_route *
RsLinkProxy_Route(const struct rs_link_proxy *proxy)
{
    return &proxy->route;
}

/* Returns the number of open connections, including those that a cut has
 * frozen. */
size_t
RsLinkProxy_CountConnections(const struct rs_link_proxy *proxy)
{
    return proxy->connection_count;
}

/* Sets the one-way delay of bytes that arrive from now on. A route with a
 * delay of its own keeps its own delay. */
void
RsLinkProxy_SetDelay(struct rs_link_proxy *proxy, int64_t common_delay_us)
{
    bool has_own = proxy->route.delay_us != RsLinkRoute_DEFAULT_DELAY;
    proxy->delay_us = has_own ? proxy->route.delay_us : common_delay_us;
}

/* Holds up bytes that arrive from callers from now on for this long, 0 for not
 * at all. They reach the target also when the caller has closed or reset the
 * connection by then, or the route was cut; the target's answer is lost then.
 */
void
RsLinkProxy_SetHoldUp(struct rs_link_proxy *proxy, int64_t hold_up_us)
{
    proxy->hold_up_us = hold_up_us;
}

/* Closes all open connections; new ones are still accepted. Bytes that are
 * held up are lost. */
void
RsLinkProxy_CloseConnections(struct rs_link_proxy *proxy)
{
    while (proxy->connections != NULL) {
        close_connection(proxy->connections->data);
    }
}

/* Starts or stops discarding all bytes from the target. Stopping closes the
 * open connections, since their streams may have lost bytes. */
void
RsLinkProxy_SetOneWayCut(struct rs_link_proxy *proxy, bool drops_answers)
{
    if (proxy->drops_answers && !drops_answers) {
        RsLinkProxy_CloseConnections(proxy);
    }
    proxy->drops_answers = drops_answers;
}

/* Closes the connections that were open during a cut, once no cut is left. */
static void
close_frozen(struct rs_link_proxy *proxy)
{
    if (proxy->is_cut || proxy->cuts_new) {
        return;
    }
    for (GList *at = proxy->connections; at != NULL;) {
        struct connection *connection = at->data;
        at = at->next;
        if (connection->frozen) {
            abandon_connection(connection);
        }
    }
}

/* Cuts the route in both directions, or ends the cut. Ending the cut closes
 * the connections that were open during the cut. */
void
RsLinkProxy_SetCut(struct rs_link_proxy *proxy, bool is_cut)
{
    proxy->is_cut = is_cut;
    close_frozen(proxy);
    for (GList *at = proxy->connections; is_cut && at != NULL; at = at->next) {
        struct connection *connection = at->data;
        if (!connection->abandoned) {
            connection->frozen = true;
            stop_reading(&connection->streams[0]);
            stop_reading(&connection->streams[1]);
        }
    }
}

/* Cuts the route for connections that are opened from now on, while open ones
 * live on, or ends that, which closes the former. */
void
RsLinkProxy_SetNewCut(struct rs_link_proxy *proxy, bool cuts_new)
{
    proxy->cuts_new = cuts_new;
    close_frozen(proxy);
}
