#include "router/tunnel.h"

#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "http/connection.h"
#include "router/exchange.h"
#include "router/peer.pb-c.h"

#define MAX_TUNNELS 600
#define MAX_HEAD_BYTES 255
#define HEAD_TIMEOUT_MS 1000
/* While this many bytes wait to be sent to one side, the other is not read. */
#define MAX_QUEUED_BYTES 65536
/* Read at once while all tunnels together hold as much as they may. */
#define SHORT_READ_BYTES 4096
/* A side that doesn't respond to probes is noticed after about this time and
 * ten seconds more. */
#define KEEPALIVE_DELAY_S 5
#define BACKLOG 128
#define SIDES 2
#define TELL_EVERY_MS 500
#define TELL_STOPPING_EVERY_MS 100
/* First byte of a TunnelState, see router/peer.proto. */
#define STATE_TAG 0xc0
#define USER_HEADER "\r\n" RsHttp_TUNNEL_USER ": "

static const char opened_answer[] = "HTTP/1.1 200 OK\r\n\r\n";
static const char refused_answer[] =
    "HTTP/1.1 503 Service Unavailable\r\n\r\n";
static const char failed_answer[] = "HTTP/1.1 502 Bad Gateway\r\n\r\n";

struct rs_tunnel_server {
    uv_tcp_t listener;
    struct rs_router *router;
    struct rs_tunnel_options options;
    struct rs_tunnel_counters counters;
    uint64_t queued_bytes; /* on all sides */
    GQueue tunnels;        /* struct tunnel, those that are not closed yet */
    int64_t next_tell_at_ms;
    bool told_stopping;
};

enum tunnel_state {
    ReadingHead,
    Connecting,
    Open,
    Refused, /* the answer is being sent */
};

/* One of the two connections of a tunnel. */
struct side {
    uv_tcp_t tcp;
    uv_shutdown_t shutdown;
    struct tunnel *tunnel;
    struct side *other;
    bool ended; /* its end of stream was received */
};

struct tunnel {
    struct rs_tunnel_server *server;
    struct side node;   /* the other node */
    struct side target; /* initialized with the tunnel */
    uv_connect_t connect;
    uv_timer_t timer;
    enum tunnel_state state;
    char head[MAX_HEAD_BYTES + 1];
    size_t head_bytes;
    struct rs_fleet_target *requested;
    uint32_t user; /* IPv4 address of the other node, network byte order */
    bool closing;
    uint32_t open_handles;
};

struct chunk {
    uv_write_t write;
    size_t size;
    char data[];
};

static void
on_handle_closed(uv_handle_t *handle)
{
    struct tunnel *tunnel = handle->data;
    if (--tunnel->open_handles == 0) {
        g_queue_remove(&tunnel->server->tunnels, tunnel);
        g_free(tunnel);
    }
}

static void
close_handle(struct tunnel *tunnel, uv_handle_t *handle)
{
    handle->data = tunnel;
    uv_close(handle, on_handle_closed);
}

/* Closes both connections. With `reset` the other node must not take what it
 * has received for a whole response, and bytes that were not sent are
 * discarded. */
static void
close_tunnel(struct tunnel *tunnel, bool reset)
{
    if (tunnel->closing) {
        return;
    }
    tunnel->closing = true;
    if (reset) {
        RsHttp_ResetOnClose(&tunnel->node.tcp, true);
        RsHttp_ResetOnClose(&tunnel->target.tcp, true);
    }
    close_handle(tunnel, (uv_handle_t *)&tunnel->node.tcp);
    close_handle(tunnel, (uv_handle_t *)&tunnel->target.tcp);
    close_handle(tunnel, (uv_handle_t *)&tunnel->timer);
}

/* Returns whether all tunnels together hold as much as they may. Each of them
 * passes on little at a time then. */
static bool
is_short_of_memory(const struct rs_tunnel_server *server)
{
    return server->queued_bytes >= server->options.max_queued_bytes;
}

/* Returns whether more may be read for a side. */
static bool
may_queue(const struct side *side)
{
    size_t max_bytes =
        is_short_of_memory(side->tunnel->server) ? 1 : MAX_QUEUED_BYTES;
    return side->tcp.write_queue_size < max_bytes;
}

static void
provide_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[MAX_QUEUED_BYTES];
    const struct side *side = handle->data;
    *buffer = uv_buf_init(bytes, is_short_of_memory(side->tunnel->server)
                                     ? SHORT_READ_BYTES
                                     : sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);

static void
on_written(uv_write_t *write, int status)
{
    struct side *side = write->data;
    struct tunnel *tunnel = side->tunnel;
    tunnel->server->queued_bytes -= ((struct chunk *)write)->size;
    g_free(write);
    if (tunnel->closing) {
        return;
    }
    if (status != 0) {
        close_tunnel(tunnel, true);
    }
    else if (tunnel->state == Refused) {
        close_tunnel(tunnel, false);
    }
    else if (!side->other->ended && may_queue(side)) {
        uv_read_start((uv_stream_t *)&side->other->tcp, provide_buffer,
                      on_read);
    }
}

/* Sends a copy of `data` to one side. */
static void
send_to(struct side *side, const char *data, size_t size)
{
    struct chunk *chunk = g_malloc0(sizeof(*chunk) + size);
    uv_buf_t buffer = uv_buf_init(chunk->data, (unsigned)size);
    memcpy(chunk->data, data, size);
    chunk->write.data = side;
    chunk->size = size;
    side->tunnel->server->queued_bytes += size;
    if (uv_write(&chunk->write, (uv_stream_t *)&side->tcp, &buffer, 1,
                 on_written) != 0) {
        side->tunnel->server->queued_bytes -= size;
        g_free(chunk);
        close_tunnel(side->tunnel, true);
    }
}

static void
refuse(struct tunnel *tunnel, const char *answer, const char *reason)
{
    RsLog_EVENT(RsLog_INFO, "tunnel_refused", RsLog_TEXT("reason", reason),
                RsLog_TEXT("target", tunnel->requested != NULL
                                         ? tunnel->requested->id
                                         : ""));
    tunnel->state = Refused;
    uv_timer_stop(&tunnel->timer);
    uv_read_stop((uv_stream_t *)&tunnel->node.tcp);
    send_to(&tunnel->node, answer, strlen(answer));
}

static void
fail(struct tunnel *tunnel)
{
    struct rs_router *router = tunnel->server->router;
    int64_t now_ms = RsClock_NowMs();
    RsPaths_RecordConnectFailed(&router->paths, tunnel->requested, now_ms);
    if (RsPaths_AreDoubtful(&router->paths, now_ms)) {
        RsCounter_Add(&tunnel->server->counters.refused, 1);
        refuse(tunnel, refused_answer, "links in doubt");
    }
    else {
        RsCounter_Add(&tunnel->server->counters.failed, 1);
        refuse(tunnel, failed_answer, "target not reached");
    }
}

/* The kernel has all of the stream and its end. Until now the other node must
 * not take the end of this process for the end of a response. */
static void
on_shut_down(uv_shutdown_t *shutdown, int status)
{
    struct side *side = shutdown->data;
    struct tunnel *tunnel = side->tunnel;
    if (!tunnel->closing && status == 0 && side == &tunnel->node) {
        RsHttp_ResetOnClose(&side->tcp, false);
    }
    if (tunnel->node.ended && tunnel->target.ended) {
        close_tunnel(tunnel, false);
    }
}

/* Passes the end of a stream on. */
static void
end_side(struct side *side)
{
    side->ended = true;
    uv_read_stop((uv_stream_t *)&side->tcp);
    side->other->shutdown.data = side->other;
    if (uv_shutdown(&side->other->shutdown, (uv_stream_t *)&side->other->tcp,
                    on_shut_down) != 0) {
        close_tunnel(side->tunnel, true);
    }
}

static void read_head(struct tunnel *tunnel, const char *data, size_t size);

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    struct side *side = stream->data;
    struct tunnel *tunnel = side->tunnel;
    if (size == 0) {
        return;
    }
    if (size < 0) {
        if (size == UV_EOF && tunnel->state == Open &&
            !RsHttp_IsReset(&side->tcp)) {
            end_side(side);
        }
        else {
            close_tunnel(tunnel, true);
        }
    }
    else if (side == &tunnel->node && RsHttp_IsReset(&side->tcp)) {
        /* What the other node has given up must not reach the target, for
         * instance after this process was suspended. */
        close_tunnel(tunnel, true);
    }
    else if (tunnel->state == ReadingHead) {
        read_head(tunnel, buffer->base, (size_t)size);
    }
    else {
        send_to(side->other, buffer->base, (size_t)size);
        if (!may_queue(side->other)) {
            uv_read_stop(stream);
        }
    }
}

static void
on_connected(uv_connect_t *connect, int status)
{
    struct tunnel *tunnel = connect->data;
    if (tunnel->closing || tunnel->state != Connecting) {
        return;
    }
    if (status != 0) {
        fail(tunnel);
        return;
    }
    if (RsShutdown_Begun(&tunnel->server->router->shutdown)) {
        RsCounter_Add(&tunnel->server->counters.refused, 1);
        refuse(tunnel, refused_answer, "stopping");
        return;
    }
    RsCounter_Add(&tunnel->server->counters.opened, 1);
    RsPaths_RecordConnected(&tunnel->server->router->paths, tunnel->requested,
                            RsClock_NowMs());
    tunnel->state = Open;
    uv_timer_stop(&tunnel->timer);
    uv_tcp_nodelay(&tunnel->target.tcp, 1);
    /* Discards what the target has not received when the other node, or this
     * one, closes its connection. */
    RsHttp_ResetOnClose(&tunnel->target.tcp, true);
    RsHttp_ResetOnClose(&tunnel->node.tcp, true);
    send_to(&tunnel->node, opened_answer, strlen(opened_answer));
    uv_read_start((uv_stream_t *)&tunnel->node.tcp, provide_buffer, on_read);
    uv_read_start((uv_stream_t *)&tunnel->target.tcp, provide_buffer, on_read);
}

static void
on_timeout(uv_timer_t *timer)
{
    struct tunnel *tunnel = timer->data;
    if (tunnel->state == Connecting) {
        fail(tunnel);
    }
    else {
        close_tunnel(tunnel, true);
    }
}

/* Returns the target with this address, or NULL. */
static struct rs_fleet_target *
find_target(const struct rs_fleet *fleet, const char *address)
{
    for (guint i = 0; i < fleet->list->len; i++) {
        struct rs_fleet_target *target = g_ptr_array_index(fleet->list, i);
        if (!target->replaced &&
            strcmp(target->report.address_text, address) == 0) {
            return target;
        }
    }
    return NULL;
}

static void
connect_to_target(struct tunnel *tunnel)
{
    struct rs_router *router = tunnel->server->router;
    const char *reason = NULL;
    if (tunnel->requested == NULL) {
        reason = "unknown target";
    }
    else if (router->paths.isolated) {
        reason = "isolated";
    }
    else if (RsShutdown_Begun(&router->shutdown)) {
        reason = "stopping";
    }
    else if (tunnel->server->tunnels.length > MAX_TUNNELS) {
        reason = "too many tunnels";
    }
    if (reason != NULL) {
        RsCounter_Add(&tunnel->server->counters.refused, 1);
        refuse(tunnel, refused_answer, reason);
        return;
    }
    tunnel->state = Connecting;
    tunnel->connect.data = tunnel;
    uv_timer_start(&tunnel->timer, on_timeout, RsPaths_CONNECT_TIMEOUT_MS, 0);
    if (uv_tcp_connect(
            &tunnel->connect, &tunnel->target.tcp,
            (const struct sockaddr *)&tunnel->requested->report.address,
            on_connected) != 0) {
        fail(tunnel);
    }
}

/* Returns the IPv4 address of the node that asks for a tunnel, in network byte
 * order: the one that it names, or else that of its connection, as versions
 * before that header. */
static uint32_t
find_user(const struct tunnel *tunnel)
{
    char text[INET_ADDRSTRLEN];
    struct sockaddr_in address = {0};
    int size = sizeof(address);
    const char *header = strstr(tunnel->head, USER_HEADER);
    if (header != NULL &&
        sscanf(header + strlen(USER_HEADER), "%15s", text) == 1 &&
        uv_ip4_addr(text, 0, &address) == 0) {
        return address.sin_addr.s_addr;
    }
    uv_tcp_getpeername(&tunnel->node.tcp, (struct sockaddr *)&address, &size);
    return address.sin_addr.s_addr;
}

/* Collects the head of the CONNECT request; nothing may follow it before it is
 * answered. */
static void
read_head(struct tunnel *tunnel, const char *data, size_t size)
{
    char address[32];
    if (size > MAX_HEAD_BYTES - tunnel->head_bytes) {
        close_tunnel(tunnel, true);
        return;
    }
    memcpy(tunnel->head + tunnel->head_bytes, data, size);
    tunnel->head_bytes += size;
    const char *end = strstr(tunnel->head, "\r\n\r\n");
    if (end == NULL) {
        return;
    }
    uv_read_stop((uv_stream_t *)&tunnel->node.tcp);
    if (end[4] != '\0' ||
        sscanf(tunnel->head, "CONNECT %31s HTTP/1.1", address) != 1) {
        close_tunnel(tunnel, true);
        return;
    }
    tunnel->user = find_user(tunnel);
    tunnel->requested = find_target(&tunnel->server->router->fleet, address);
    connect_to_target(tunnel);
}

static void
init_side(struct side *side, struct side *other, struct tunnel *tunnel)
{
    side->tunnel = tunnel;
    side->other = other;
    uv_tcp_init_ex(tunnel->server->router->loop, &side->tcp,
                   side == &tunnel->target ? AF_INET : AF_UNSPEC);
    side->tcp.data = side;
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct rs_tunnel_server *server = listener->data;
    if (status != 0) {
        RsLog_EVENT(RsLog_WARNING, "tunnel_not_accepted",
                    RsLog_TEXT("error", uv_strerror(status)));
        return;
    }
    struct tunnel *tunnel = g_new0(struct tunnel, 1);
    tunnel->server = server;
    tunnel->open_handles = SIDES + 1;
    g_queue_push_tail(&server->tunnels, tunnel);
    init_side(&tunnel->node, &tunnel->target, tunnel);
    init_side(&tunnel->target, &tunnel->node, tunnel);
    uv_timer_init(server->router->loop, &tunnel->timer);
    tunnel->timer.data = tunnel;
    if (uv_accept(listener, (uv_stream_t *)&tunnel->node.tcp) != 0) {
        close_tunnel(tunnel, true);
        return;
    }
    uv_tcp_nodelay(&tunnel->node.tcp, 1);
    uv_tcp_keepalive(&tunnel->node.tcp, 1, KEEPALIVE_DELAY_S);
    uv_timer_start(&tunnel->timer, on_timeout, HEAD_TIMEOUT_MS, 0);
    uv_read_start((uv_stream_t *)&tunnel->node.tcp, provide_buffer, on_read);
}

/* Starts to listen on this node's tunnel port. Returns NULL if the port can't
 * be opened. The server lives as long as the process; the router must outlive
 * it. */
struct rs_tunnel_server *
RsTunnel_Open(const struct rs_tunnel_options *options)
{
    struct rs_tunnel_server *server = g_new0(struct rs_tunnel_server, 1);
    struct rs_router *router = options->router;
    struct sockaddr_in address;
    server->router = router;
    server->options = *options;
    g_queue_init(&server->tunnels);
    uv_ip4_addr(router->settings->node.address,
                (int)RsRouter_TunnelPort(router), &address);
    uv_tcp_init(router->loop, &server->listener);
    server->listener.data = server;
    if (uv_tcp_bind(&server->listener, (const struct sockaddr *)&address, 0) !=
            0 ||
        uv_listen((uv_stream_t *)&server->listener, BACKLOG, on_connection) !=
            0) {
        return NULL;
    }
    return server;
}

/* Sends the state of the tunnels to a node. */
static void
tell_user(const struct rs_tunnel_server *server, uint32_t user)
{
    Rs__Peer__TunnelState state = RS__PEER__TUNNEL_STATE__INIT;
    const struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port =
            htons((uint16_t)server->router->settings->listen.peer_port),
        .sin_addr.s_addr = user,
    };
    state.incarnation = server->options.incarnation;
    state.stopping = RsShutdown_Begun(&server->router->shutdown);
    server->options.send(server->options.arg,
                         (const struct sockaddr *)&address, &state.base);
}

/* Tells each node with an open tunnel whether requests may still be sent
 * through it, if that is due. Lost messages are made up for by later ones. */
void
RsTunnel_Tick(struct rs_tunnel_server *server, int64_t now_ms)
{
    bool stopping = RsShutdown_Begun(&server->router->shutdown);
    bool is_news = stopping && !server->told_stopping;
    if (now_ms < server->next_tell_at_ms && !is_news) {
        return;
    }
    server->told_stopping = stopping;
    server->next_tell_at_ms =
        now_ms + (stopping ? TELL_STOPPING_EVERY_MS : TELL_EVERY_MS);
    GHashTable *told = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (GList *link = server->tunnels.head; link != NULL; link = link->next) {
        const struct tunnel *tunnel = link->data;
        if (tunnel->state == Open && !tunnel->closing &&
            g_hash_table_add(told, GUINT_TO_POINTER(tunnel->user))) {
            tell_user(server, tunnel->user);
        }
    }
    g_hash_table_unref(told);
}

/* Records the state of another node's tunnels, and closes the idle connections
 * through a node that is stopping. Returns false for messages of other kinds.
 */
bool
RsTunnel_HandleDatagram(struct rs_router *router, const uint8_t *data,
                        size_t size_bytes, const struct sockaddr *from,
                        int64_t now_ms)
{
    if (size_bytes == 0 || data[0] != STATE_TAG) {
        return false;
    }
    uint32_t peer = ((const struct sockaddr_in *)from)->sin_addr.s_addr;
    Rs__Peer__TunnelState *state =
        rs__peer__tunnel_state__unpack(NULL, size_bytes, data);
    if (state == NULL) {
        return true;
    }
    RsPaths_RecordTunnelState(&router->paths, peer, state->stopping, now_ms);
    if (state->stopping) {
        RsExchange_CloseIdleThrough(&router->fleet, peer);
    }
    rs__peer__tunnel_state__free_unpacked(state, NULL);
    return true;
}

const struct rs_tunnel_counters *
RsTunnel_Counters(const struct rs_tunnel_server *server)
{
    return &server->counters;
}

/* Returns the number of tunnels that are open or being opened. */
uint32_t
RsTunnel_Count(const struct rs_tunnel_server *server)
{
    return server->tunnels.length;
}

/* Returns how many bytes wait to be sent to both sides of all tunnels. */
uint64_t
RsTunnel_QueuedBytes(const struct rs_tunnel_server *server)
{
    return server->queued_bytes;
}
