#include "standin/link_lane.h"

#include <glib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "core/clock.h"

#define LISTEN_BACKLOG 1024
#define READ_BYTES 65536
#define MAX_HELD_BYTES 262144 /* of one direction, before reading stops */
#define US_PER_S 1000000
#define NS_PER_US 1000
#define LISTEN_ADDRESS "127.0.0.1"

struct rs_link_lane {
    struct rs_link_route route;
    uv_loop_t *loop;
    uv_tcp_t listener;
    int timer_fd; /* finer than libuv's timers */
    uv_poll_t timer;
    int64_t delay_us;
    bool is_cut;
    bool answers_lost; /* bytes from the target go nowhere */
    GQueue parcels;    /* of all tunnels, in order of their time */
    GList *tunnels;
    size_t tunnel_count;
    char buffer[READ_BYTES];
};

/* One direction of a tunnel. */
struct stream {
    struct tunnel *tunnel;
    uv_tcp_t source;
    struct stream *other;
    size_t held_bytes; /* in parcels and writes */
    bool reading;
    bool ended; /* the other side was told the end */
};

/* A connection and the one that it was forwarded to. Freed when nothing
 * refers to it any more: its sockets, its parcels and its writes. */
struct tunnel {
    struct rs_link_lane *lane;
    struct stream streams[2]; /* from the caller, from the target */
    GList *link;
    uv_connect_t connect;
    size_t references;
    bool closed;
    bool frozen; /* caught by a cut; closed when it heals */
};

/* Bytes under way. Without any, they stand for the end of the stream. */
struct parcel {
    struct stream *stream;
    int64_t due_us;
    uv_write_t write;
    uv_shutdown_t shutdown;
    size_t size_bytes;
    char data[];
};

static void
unref_tunnel(struct tunnel *tunnel)
{
    g_assert(tunnel->references > 0);
    tunnel->references--;
    if (tunnel->references == 0) {
        g_free(tunnel);
    }
}

static void
on_closed(uv_handle_t *handle)
{
    struct stream *stream = handle->data;
    unref_tunnel(stream->tunnel);
}

static void
close_tunnel(struct tunnel *tunnel)
{
    struct rs_link_lane *lane = tunnel->lane;
    if (tunnel->closed) {
        return;
    }
    tunnel->closed = true;
    lane->tunnels = g_list_delete_link(lane->tunnels, tunnel->link);
    lane->tunnel_count--;
    uv_close((uv_handle_t *)&tunnel->streams[0].source, on_closed);
    uv_close((uv_handle_t *)&tunnel->streams[1].source, on_closed);
}

static void
free_parcel(struct parcel *parcel)
{
    struct tunnel *tunnel = parcel->stream->tunnel;
    parcel->stream->held_bytes -= parcel->size_bytes;
    g_free(parcel);
    unref_tunnel(tunnel);
}

static void
arm_timer(struct rs_link_lane *lane)
{
    const struct parcel *next = g_queue_peek_head(&lane->parcels);
    struct itimerspec at = {.it_value = {0, 0}};
    if (next != NULL) {
        at.it_value.tv_sec = next->due_us / US_PER_S;
        at.it_value.tv_nsec = next->due_us % US_PER_S * NS_PER_US;
    }
    timerfd_settime(lane->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static void start_reading(struct stream *stream);

static void
on_written(uv_write_t *write, int status)
{
    struct parcel *parcel = write->data;
    struct stream *stream = parcel->stream;
    if (status != 0) {
        close_tunnel(stream->tunnel);
    }
    else if (stream->held_bytes - parcel->size_bytes < MAX_HELD_BYTES) {
        start_reading(stream);
    }
    free_parcel(parcel);
}

static void
on_shut_down(uv_shutdown_t *shutdown, int status)
{
    struct parcel *parcel = shutdown->data;
    struct stream *stream = parcel->stream;
    stream->ended = true;
    if (stream->other->ended) {
        close_tunnel(stream->tunnel);
    }
    free_parcel(parcel);
}

/* Passes a parcel on to the other side. */
static void
deliver(struct parcel *parcel)
{
    struct stream *stream = parcel->stream;
    uv_stream_t *sink = (uv_stream_t *)&stream->other->source;
    uv_buf_t buffer = uv_buf_init(parcel->data, (unsigned)parcel->size_bytes);
    if (stream->tunnel->closed || stream->tunnel->frozen) {
        free_parcel(parcel);
        return;
    }
    parcel->write.data = parcel;
    parcel->shutdown.data = parcel;
    int result = parcel->size_bytes > 0
                     ? uv_write(&parcel->write, sink, &buffer, 1, on_written)
                     : uv_shutdown(&parcel->shutdown, sink, on_shut_down);
    if (result != 0) {
        close_tunnel(stream->tunnel);
        free_parcel(parcel);
    }
}

static void
deliver_due(struct rs_link_lane *lane)
{
    int64_t now_us = RsClock_NowUs();
    struct parcel *next = g_queue_peek_head(&lane->parcels);
    while (next != NULL && next->due_us <= now_us) {
        g_queue_pop_head(&lane->parcels);
        deliver(next);
        next = g_queue_peek_head(&lane->parcels);
    }
    arm_timer(lane);
}

static void
on_timer(uv_poll_t *timer, int status, int events)
{
    struct rs_link_lane *lane = timer->data;
    uint64_t expired;
    ssize_t got = read(lane->timer_fd, &expired, sizeof(expired));
    (void)got;
    deliver_due(lane);
}

static void
send_parcel(struct stream *stream, const char *data, size_t size_bytes)
{
    struct tunnel *tunnel = stream->tunnel;
    struct rs_link_lane *lane = tunnel->lane;
    struct parcel *parcel = g_malloc0(sizeof(*parcel) + size_bytes);
    parcel->stream = stream;
    parcel->due_us = RsClock_NowUs() + lane->delay_us;
    parcel->size_bytes = size_bytes;
    if (size_bytes > 0) {
        memcpy(parcel->data, data, size_bytes);
    }
    tunnel->references++;
    stream->held_bytes += size_bytes;
    if (lane->delay_us == 0 && g_queue_is_empty(&lane->parcels)) {
        deliver(parcel);
        return;
    }
    g_queue_push_tail(&lane->parcels, parcel);
    if (g_queue_get_length(&lane->parcels) == 1) {
        arm_timer(lane);
    }
}

static void
stop_reading(struct stream *stream)
{
    uv_read_stop((uv_stream_t *)&stream->source);
    stream->reading = false;
}

static void
use_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    struct stream *stream = handle->data;
    struct rs_link_lane *lane = stream->tunnel->lane;
    *buffer = uv_buf_init(lane->buffer, sizeof(lane->buffer));
}

static void
on_read(uv_stream_t *source, ssize_t size_bytes, const uv_buf_t *buffer)
{
    struct stream *stream = source->data;
    if (size_bytes == UV_EOF) {
        stop_reading(stream);
        send_parcel(stream, NULL, 0);
        return;
    }
    if (size_bytes < 0) {
        close_tunnel(stream->tunnel);
        return;
    }
    struct tunnel *tunnel = stream->tunnel;
    bool lost = tunnel->lane->answers_lost && stream == &tunnel->streams[1];
    if (size_bytes == 0 || lost) {
        return;
    }
    send_parcel(stream, buffer->base, (size_t)size_bytes);
    if (stream->held_bytes >= MAX_HELD_BYTES) {
        stop_reading(stream);
    }
}

static void
start_reading(struct stream *stream)
{
    const struct tunnel *tunnel = stream->tunnel;
    if (!stream->reading && !tunnel->closed && !tunnel->frozen &&
        uv_is_readable((uv_stream_t *)&stream->source)) {
        stream->reading = true;
        uv_read_start((uv_stream_t *)&stream->source, use_buffer, on_read);
    }
}

static void
on_connected(uv_connect_t *connect, int status)
{
    struct tunnel *tunnel = connect->data;
    if (status != 0) {
        close_tunnel(tunnel);
    }
    else if (!tunnel->closed) {
        start_reading(&tunnel->streams[0]);
        start_reading(&tunnel->streams[1]);
    }
    unref_tunnel(tunnel);
}

static void
connect_target(struct tunnel *tunnel)
{
    struct rs_link_lane *lane = tunnel->lane;
    struct sockaddr_in address;
    uv_ip4_addr(lane->route.target_host, lane->route.target_port, &address);
    tunnel->connect.data = tunnel;
    tunnel->references++;
    int result =
        uv_tcp_connect(&tunnel->connect, &tunnel->streams[1].source,
                       (const struct sockaddr *)&address, on_connected);
    if (result != 0) {
        close_tunnel(tunnel);
        unref_tunnel(tunnel);
    }
}

static struct tunnel *
new_tunnel(struct rs_link_lane *lane)
{
    struct tunnel *tunnel = g_new0(struct tunnel, 1);
    tunnel->lane = lane;
    for (size_t i = 0; i < 2; i++) {
        struct stream *stream = &tunnel->streams[i];
        stream->tunnel = tunnel;
        stream->other = &tunnel->streams[1 - i];
        uv_tcp_init(lane->loop, &stream->source);
        stream->source.data = stream;
        tunnel->references++;
    }
    lane->tunnels = g_list_prepend(lane->tunnels, tunnel);
    lane->tunnel_count++;
    tunnel->link = lane->tunnels;
    return tunnel;
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct rs_link_lane *lane = listener->data;
    if (status != 0) {
        return;
    }
    struct tunnel *tunnel = new_tunnel(lane);
    uv_tcp_t *caller = &tunnel->streams[0].source;
    if (uv_accept(listener, (uv_stream_t *)caller) != 0) {
        close_tunnel(tunnel);
        return;
    }
    uv_tcp_nodelay(caller, 1);
    tunnel->frozen = lane->is_cut;
    if (!tunnel->frozen) {
        connect_target(tunnel);
    }
}

/* Returns a lane that does not listen yet. */
struct rs_link_lane *
RsLinkLane_New(const struct rs_link_route *route, uv_loop_t *loop)
{
    struct rs_link_lane *lane = g_new0(struct rs_link_lane, 1);
    lane->route = *route;
    lane->loop = loop;
    g_queue_init(&lane->parcels);
    lane->timer_fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK);
    uv_poll_init(loop, &lane->timer, lane->timer_fd);
    lane->timer.data = lane;
    uv_poll_start(&lane->timer, UV_READABLE, on_timer);
    return lane;
}

/* Begins to take connections. Returns 0 or a negative libuv error. */
int
RsLinkLane_Listen(struct rs_link_lane *lane)
{
    struct sockaddr_in address;
    uv_tcp_init(lane->loop, &lane->listener);
    lane->listener.data = lane;
    uv_ip4_addr(LISTEN_ADDRESS, lane->route.listen_port, &address);
    int result =
        uv_tcp_bind(&lane->listener, (const struct sockaddr *)&address, 0);
    if (result != 0) {
        return result;
    }
    return uv_listen((uv_stream_t *)&lane->listener, LISTEN_BACKLOG,
                     on_connection);
}

/* Returns the lane's route. */
const struct rs_link_route *
RsLinkLane_Route(const struct rs_link_lane *lane)
{
    return &lane->route;
}

/* Returns how many connections pass or hang. */
size_t
RsLinkLane_CountTunnels(const struct rs_link_lane *lane)
{
    return lane->tunnel_count;
}

/* Sets the delay of bytes that come from now on; a route that has a delay of
 * its own keeps it. */
void
RsLinkLane_SetDelay(struct rs_link_lane *lane, int64_t common_delay_us)
{
    bool has_own = lane->route.delay_us != RsLinkRoute_DEFAULT_DELAY;
    lane->delay_us = has_own ? lane->route.delay_us : common_delay_us;
}

/* Closes all connections. */
void
RsLinkLane_Reset(struct rs_link_lane *lane)
{
    while (lane->tunnels != NULL) {
        close_tunnel(lane->tunnels->data);
    }
}

/* Cuts the lane one way, or heals it and closes what has lost bytes. */
void
RsLinkLane_SetOneWay(struct rs_link_lane *lane, bool answers_lost)
{
    if (lane->answers_lost && !answers_lost) {
        RsLinkLane_Reset(lane);
    }
    lane->answers_lost = answers_lost;
}

/* Cuts the lane, or heals it and closes what the cut had caught. */
void
RsLinkLane_SetCut(struct rs_link_lane *lane, bool is_cut)
{
    lane->is_cut = is_cut;
    for (GList *at = lane->tunnels; at != NULL;) {
        struct tunnel *tunnel = at->data;
        at = at->next;
        if (is_cut) {
            tunnel->frozen = true;
            stop_reading(&tunnel->streams[0]);
            stop_reading(&tunnel->streams[1]);
        }
        else if (tunnel->frozen) {
            close_tunnel(tunnel);
        }
    }
}
