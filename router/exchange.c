#include "router/exchange.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "platform/wire.h"

/* The other node needs up to RsPaths_CONNECT_TIMEOUT_MS to connect to the
 * target. */
#define TUNNEL_TIMEOUT_MS 350
#define MAX_TUNNEL_TRIES 4
/* How long a target may take to answer first on a new connection. */
#define OPENING_TIMEOUT_MS 5000
/* Idle connections are reused for this long if the target names no keep-alive
 * timeout. Such targets close idle connections after a few seconds. */
#define DEFAULT_IDLE_MS 2000
/* Part of the target's keep-alive timeout that is used, so that no request is
 * sent while the target closes the connection. */
#define IDLE_TIMEOUT_PERCENT 70
#define MS_PER_S 1000

/* Number of the connection that was opened last. */
static uint64_t last_opening;

/* A connection to a target, and the exchange in progress on it, if any. */
struct rs_exchange {
    /* For the connect timeout, and to report failures later. */
    uv_timer_t timer;
    struct rs_fleet_target *target;
    uint64_t number; /* differs from those of all other connections */
    struct rs_http_connection *connection; /* NULL if none was opened */
    struct rs_exchange_options options;    /* of the present request */
    uint32_t peer;           /* node with the tunnel; 0: direct connection */
    int64_t opened_at_ms;    /* when the connection was opened */
    uint64_t opening_number; /* ascending in the order of opening */
    uint64_t newest_opening; /* `last_opening` when the request was sent */
    uint32_t tunnel_tries;   /* tunnels that were asked for */
    struct rs_http_request request;
    /* NULL while the connection is idle */
    const struct rs_exchange_events *events;
    void *arg;
    bool connecting;
    bool reused;              /* the connection has been idle before */
    bool none_open;           /* see RsExchange_NO_CONNECTION */
    bool opening;             /* the answer to the opening GET is awaited */
    char opening_id[32];      /* id of that GET, of this connection only */
    uint32_t openings;        /* such requests on the connection */
    int64_t sent_at_ms;       /* when the request was sent; 0: not yet */
    int64_t answered_at_ms;   /* last complete answer on the connection */
    uint32_t idle_timeout_ms; /* how long the connection may stay idle */
    int64_t idle_until_ms;
};

static void
on_freed(uv_handle_t *handle)
{
    g_free(handle->data);
}

/* Releases the exchange. Its connection must be NULL, closed or closing. */
static void
free_exchange(struct rs_exchange *exchange)
{
    exchange->target->connections[exchange->options.use]--;
    exchange->timer.data = exchange;
    uv_close((uv_handle_t *)&exchange->timer, on_freed);
}

/* Reports the result of the exchange, unless it was cancelled or the
 * connection is idle. */
static void
finish(struct rs_exchange *exchange, int error)
{
    const struct rs_exchange_events *events = exchange->events;
    exchange->events = NULL;
    if (events != NULL) {
        events->done(exchange->arg, error);
    }
}

/* Sends the request on the connection, which is open. */
static int
send_request(struct rs_exchange *exchange)
{
    exchange->newest_opening = last_opening;
    int status = RsHttp_Send(exchange->connection, &exchange->request);
    if (status == 0 && exchange->peer == 0) {
        RsPaths_RecordSent(exchange->options.paths, RsClock_NowMs());
    }
    return status;
}

/* Records what became of an attempt to connect. */
static void
record_connect(struct rs_exchange *exchange, enum rs_path_result result)
{
    struct rs_paths *paths = exchange->options.paths;
    int64_t now_ms = RsClock_NowMs();
    if (exchange->peer != 0) {
        RsPaths_RecordPeer(paths, exchange->peer, exchange->target, result,
                           now_ms);
    }
    else if (result == RsPath_CONNECTED) {
        RsPaths_RecordConnected(paths, exchange->target, now_ms);
    }
    else {
        RsPaths_RecordConnectFailed(paths, exchange->target, now_ms);
    }
}

static void on_timeout(uv_timer_t *timer);

/* Closes the connection, reports the result and releases the exchange. */
static void
end_exchange(struct rs_exchange *exchange, int error)
{
    RsHttp_Close(exchange->connection);
    finish(exchange, error);
    free_exchange(exchange);
}

/* Returns whether a request may be sent on the connection: it is direct, or
 * the node with the tunnel will not end before the response, as far as is
 * known. */
static bool
is_path_usable(const struct rs_exchange *exchange)
{
    return exchange->peer == 0 ||
           RsPaths_MayUseTunnel(exchange->options.paths, exchange->peer,
                                exchange->opened_at_ms, RsClock_NowMs());
}

/* Sends the request on a connection that was just opened. */
static void
send_first(struct rs_exchange *exchange)
{
    int64_t now_ms = RsClock_NowMs();
    int64_t before_ms = exchange->options.send_before_ms;
    if ((before_ms != 0 && now_ms >= before_ms) || !is_path_usable(exchange)) {
        end_exchange(exchange, RsExchange_NOT_SENT);
        return;
    }
    if (exchange->events->may_send != NULL &&
        !exchange->events->may_send(exchange->arg)) {
        end_exchange(exchange, RsExchange_WITHDRAWN);
        return;
    }
    exchange->sent_at_ms = now_ms;
    if (send_request(exchange) != 0) {
        end_exchange(exchange, RsExchange_BROKEN);
    }
}

/* Asks for an answer that shows that the target takes requests on the
 * connection. Returns 0 or an error of RsHttp_Send(). */
static int
send_opening(struct rs_exchange *exchange)
{
    const struct rs_http_header headers[] = {
        {RsWire_TARGET_ID, exchange->target->id},
        {RsWire_REQUEST_ID, exchange->opening_id},
    };
    const struct rs_http_request request = {
        .method = "GET",
        .path = exchange->options.opening_path,
        .headers = headers,
        .header_count = G_N_ELEMENTS(headers),
    };
    snprintf(exchange->opening_id, sizeof(exchange->opening_id),
             "opening-%" PRIu64 "-%" PRIu32, exchange->number,
             ++exchange->openings);
    exchange->opening = true;
    uv_timer_start(&exchange->timer, on_timeout, OPENING_TIMEOUT_MS, 0);
    return RsHttp_Send(exchange->connection, &request);
}

static void
on_connected(void *arg)
{
    struct rs_exchange *exchange = arg;
    exchange->connecting = false;
    exchange->opened_at_ms = RsClock_NowMs();
    exchange->opening_number = ++last_opening;
    uv_timer_stop(&exchange->timer);
    record_connect(exchange, RsPath_CONNECTED);
    if (exchange->options.opening_path == NULL) {
        send_first(exchange);
        return;
    }
    if (send_opening(exchange) != 0) {
        end_exchange(exchange, RsExchange_NOT_SENT);
    }
}

/* Sets the idle timeout from the keep-alive timeout that the target announces
 * in its response, if any. */
static void
read_idle_timeout(struct rs_exchange *exchange,
                  const struct rs_http_head *head)
{
    const char *value = RsHttp_FindHeader(head, "keep-alive");
    const char *timeout = value != NULL ? strstr(value, "timeout=") : NULL;
    if (timeout != NULL) {
        long seconds = strtol(timeout + strlen("timeout="), NULL, 10);
        exchange->idle_timeout_ms = (uint32_t)(MAX(seconds, 0) * MS_PER_S *
                                               IDLE_TIMEOUT_PERCENT / 100);
    }
}

static void
on_head(void *arg, const struct rs_http_head *head)
{
    struct rs_exchange *exchange = arg;
    if (exchange->peer == 0) {
        RsPaths_RecordAnswered(exchange->options.paths, RsClock_NowMs());
    }
    read_idle_timeout(exchange, head);
    const char *id = RsHttp_FindHeader(head, RsWire_REQUEST_ID);
    if (!exchange->opening) {
        exchange->events->head(exchange->arg, head);
    }
    else if (id != NULL && strcmp(id, exchange->opening_id) != 0) {
        RsHttp_SkipResponse(exchange->connection); /* of an earlier request */
    }
}

static void
on_body(void *arg, const char *data, size_t size_bytes)
{
    struct rs_exchange *exchange = arg;
    if (!exchange->opening) {
        exchange->events->body(exchange->arg, data, size_bytes);
    }
}

static void
on_end(void *arg, bool keep_alive)
{
    struct rs_exchange *exchange = arg;
    bool opening = exchange->opening;
    exchange->opening = false;
    exchange->answered_at_ms = RsClock_NowMs();
    uv_timer_stop(&exchange->timer);
    if (opening && keep_alive && exchange->events != NULL) {
        send_first(exchange);
        return;
    }
    finish(exchange, opening ? RsExchange_NOT_SENT : 0);
    if (keep_alive && exchange->idle_timeout_ms > 0 &&
        is_path_usable(exchange) &&
        RsFleet_IsListed(exchange->target, RsClock_NowMs())) {
        exchange->idle_until_ms = RsClock_NowMs() + exchange->idle_timeout_ms;
        g_queue_push_head(&exchange->target->idle[exchange->options.use],
                          exchange);
        return;
    }
    RsHttp_Close(exchange->connection);
    free_exchange(exchange);
}

static void connect_to(struct rs_exchange *exchange);

/* Handles a connection that could not be opened: tries again through another
 * node, or reports that the request was not sent. */
static void
on_connect_failed(struct rs_exchange *exchange, enum rs_path_result result)
{
    uint32_t peer;
    record_connect(exchange, result);
    exchange->connection = NULL;
    bool may_try =
        result == RsPath_PEER_FAILED ||
        (exchange->peer == 0 &&
         (exchange->options.only_target || exchange->options.paths->isolated));
    if (may_try && exchange->tunnel_tries < MAX_TUNNEL_TRIES &&
        RsPaths_Choose(exchange->options.paths, exchange->target,
                       RsClock_NowMs(), &peer) == RsPath_PEER) {
        connect_to(exchange);
        return;
    }
    finish(exchange, RsExchange_NOT_SENT);
    free_exchange(exchange);
}

static void
on_closed(void *arg, int error)
{
    struct rs_exchange *exchange = arg;
    if (exchange->events == NULL) {
        g_queue_remove(&exchange->target->idle[exchange->options.use],
                       exchange);
    }
    if (exchange->connecting) {
        bool peer_failed =
            exchange->peer != 0 && error != RsHttp_TUNNEL_FAILED;
        on_connect_failed(exchange, peer_failed ? RsPath_PEER_FAILED
                                                : RsPath_TARGET_FAILED);
        return;
    }
    finish(exchange, exchange->sent_at_ms != 0 ? RsExchange_BROKEN
                                               : RsExchange_NOT_SENT);
    free_exchange(exchange);
}

static const struct rs_http_events events = {
    .connected = on_connected,
    .head = on_head,
    .body = on_body,
    .end = on_end,
    .closed = on_closed,
};

/* The connection was not opened in time, none may be opened or is old enough,
 * or sending on a reused connection failed. */
static void
on_timeout(uv_timer_t *timer)
{
    struct rs_exchange *exchange = timer->data;
    if (exchange->connection != NULL) {
        RsHttp_Close(exchange->connection);
    }
    if (exchange->connecting) {
        on_connect_failed(exchange, exchange->peer != 0
                                        ? RsPath_PEER_FAILED
                                        : RsPath_TARGET_FAILED);
        return;
    }
    finish(exchange, exchange->none_open ? RsExchange_NO_CONNECTION
                                         : RsExchange_NOT_SENT);
    free_exchange(exchange);
}

/* Returns whether the request must not be sent on an idle connection. */
static bool
is_excluded(const struct rs_exchange *exchange,
            const struct rs_exchange_options *options)
{
    for (size_t i = 0; i < options->excluded_count; i++) {
        if (options->excluded[i] == exchange->number) {
            return true;
        }
    }
    return options->only_open &&
           exchange->opening_number > options->newest_opening;
}

/* Returns an idle connection to the target that may be used, or NULL. Closes
 * those that have been idle for too long or lead through a node that may be
 * stopping. */
static struct rs_exchange *
take_idle(const struct rs_exchange_options *options)
{
    GQueue *idle = &options->target->idle[options->use];
    int64_t now_ms = RsClock_NowMs();
    GList *link = idle->head;
    while (link != NULL) {
        struct rs_exchange *exchange = link->data;
        GList *next = link->next;
        bool expired =
            now_ms >= exchange->idle_until_ms || !is_path_usable(exchange);
        if (expired || !is_excluded(exchange, options)) {
            g_queue_delete_link(idle, link);
        }
        if (expired) {
            RsHttp_Close(exchange->connection);
            free_exchange(exchange);
        }
        else if (!is_excluded(exchange, options)) {
            return exchange;
        }
        link = next;
    }
    return NULL;
}

/* Opens a connection to the target, directly or through another node, unless
 * there is no way or that would exceed the maximum number of connections.
 * Failures are reported later. */
static void
connect_to(struct rs_exchange *exchange)
{
    const struct rs_exchange_options *options = &exchange->options;
    struct rs_http_options http = {
        .loop = options->loop,
        .address = exchange->target->report.address,
        .events = &events,
        .arg = exchange,
        .own_address = options->paths->own_address,
        .reset_on_close = true,
        .max_body_bytes = options->max_body_bytes,
    };
    uint32_t timeout_ms = 0;
    uint32_t peer = 0;
    enum rs_path path = RsPaths_Choose(options->paths, exchange->target,
                                       RsClock_NowMs(), &peer);
    exchange->peer = 0;
    exchange->connecting = false;
    if (path == RsPath_PEER) {
        exchange->peer = peer;
        exchange->tunnel_tries++;
        http.via = (struct sockaddr_in){
            .sin_family = AF_INET,
            .sin_port = htons((uint16_t)options->tunnel_port),
            .sin_addr.s_addr = peer,
        };
    }
    if (path != RsPath_NONE && exchange->target->connections[options->use] <=
                                   options->max_connections) {
        exchange->connection = RsHttp_Open(&http);
        exchange->connecting = exchange->connection != NULL;
    }
    if (exchange->connecting) {
        timeout_ms = exchange->peer != 0 ? TUNNEL_TIMEOUT_MS
                                         : RsPaths_CONNECT_TIMEOUT_MS;
    }
    uv_timer_start(&exchange->timer, on_timeout, timeout_ms, 0);
}

/* Sends the request on an idle connection or, if the target has been silent on
 * it for too long, the opening GET. Returns 0 or an error of RsHttp_Send(). */
static int
send_again(struct rs_exchange *exchange)
{
    const struct rs_exchange_options *options = &exchange->options;
    int64_t now_ms = RsClock_NowMs();
    if (options->opening_path != NULL && options->max_silence_ms != 0 &&
        now_ms - exchange->answered_at_ms > options->max_silence_ms) {
        return send_opening(exchange);
    }
    exchange->sent_at_ms = now_ms;
    return send_request(exchange);
}

/* Starts an exchange, on an idle connection if there is one. Events are
 * delivered later, never during this call. The result stays valid until `done`
 * or RsExchange_Cancel() was called. */
struct rs_exchange *
RsExchange_Start(const struct rs_exchange_options *options)
{
    static uint64_t last_number;
    struct rs_exchange *exchange = take_idle(options);
    bool reused = exchange != NULL;
    if (!reused) {
        exchange = g_new0(struct rs_exchange, 1);
        exchange->number = ++last_number;
        exchange->target = options->target;
        exchange->target->connections[options->use]++;
        exchange->idle_timeout_ms = DEFAULT_IDLE_MS;
        uv_timer_init(options->loop, &exchange->timer);
        exchange->timer.data = exchange;
    }
    exchange->options = *options;
    exchange->options.excluded = NULL; /* valid only during this call */
    exchange->options.excluded_count = 0;
    exchange->reused = reused;
    exchange->request = *options->request;
    exchange->events = options->events;
    exchange->arg = options->arg;
    exchange->sent_at_ms = 0;
    exchange->none_open = !reused && options->only_open;
    if (exchange->none_open) {
        uv_timer_start(&exchange->timer, on_timeout, 0, 0);
    }
    else if (!reused) {
        connect_to(exchange);
    }
    else if (send_again(exchange) != 0) {
        exchange->sent_at_ms = 0;
        exchange->opening = false;
        exchange->connecting = false;
        uv_timer_start(&exchange->timer, on_timeout, 0, 0);
    }
    return exchange;
}

/* Skips the current response, which belongs to another request, and waits for
 * the next one. Only to be called from the `head` event. */
void
RsExchange_SkipResponse(struct rs_exchange *exchange)
{
    RsHttp_SkipResponse(exchange->connection);
}

/* Stops reading the response until RsExchange_Resume() is called. */
void
RsExchange_Pause(struct rs_exchange *exchange)
{
    RsHttp_Pause(exchange->connection);
}

/* Continues reading the response. */
void
RsExchange_Resume(struct rs_exchange *exchange)
{
    RsHttp_Resume(exchange->connection);
}

/* Closes the connection, so that the target can stop working on the request,
 * and releases the exchange. A new connection on which the target has not
 * answered yet stays, for later exchanges. No more events follow. */
void
RsExchange_Cancel(struct rs_exchange *exchange)
{
    exchange->events = NULL;
    if (exchange->opening && !exchange->reused) {
        return;
    }
    if (exchange->connection != NULL) {
        RsHttp_Close(exchange->connection);
    }
    free_exchange(exchange);
}

/* Returns when the request was sent, so that the target may have received it;
 * 0 if it wasn't. */
int64_t
RsExchange_SentAtMs(const struct rs_exchange *exchange)
{
    return exchange->sent_at_ms;
}

/* Returns the number of the connection, which no other connection has. */
uint64_t
RsExchange_ConnectionNumber(const struct rs_exchange *exchange)
{
    return exchange->number;
}

/* Returns the number of the connection that was the last one to be opened when
 * the request was sent, to any target; 0 if it wasn't sent. Numbers ascend in
 * the order of opening. */
uint64_t
RsExchange_NewestOpening(const struct rs_exchange *exchange)
{
    return exchange->sent_at_ms != 0 ? exchange->newest_opening : 0;
}

/* Returns whether the connection has carried other requests before. */
bool
RsExchange_IsReused(const struct rs_exchange *exchange)
{
    return exchange->reused;
}

/* Returns whether the target has not answered on a connection on which it
 * answered before, so that others may be dead, too. */
bool
RsExchange_IsSilent(const struct rs_exchange *exchange)
{
    return exchange->sent_at_ms != 0 ||
           (exchange->opening && exchange->reused);
}

/* Closes the idle connections to a target. */
void
RsExchange_CloseIdle(struct rs_fleet_target *target)
{
    struct rs_exchange *exchange;
    for (size_t use = 0; use < RsFleet_USES; use++) {
        while ((exchange = g_queue_pop_head(&target->idle[use])) != NULL) {
            RsHttp_Close(exchange->connection);
            free_exchange(exchange);
        }
    }
}

static void
close_idle_through(struct rs_fleet_target *target, enum rs_fleet_use use,
                   uint32_t peer)
{
    GList *link = target->idle[use].head;
    while (link != NULL) {
        struct rs_exchange *exchange = link->data;
        GList *next = link->next;
        if (exchange->peer == peer) {
            g_queue_delete_link(&target->idle[use], link);
            RsHttp_Close(exchange->connection);
            free_exchange(exchange);
        }
        link = next;
    }
}

/* Closes the idle connections to all targets that lead through a node, which
 * is named by its IPv4 address in network byte order. */
void
RsExchange_CloseIdleThrough(struct rs_fleet *fleet, uint32_t peer)
{
    for (guint i = 0; i < fleet->list->len; i++) {
        for (size_t use = 0; use < RsFleet_USES; use++) {
            close_idle_through(g_ptr_array_index(fleet->list, i),
                               (enum rs_fleet_use)use, peer);
        }
    }
}
