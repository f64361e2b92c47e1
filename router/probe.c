#include "router/probe.h"

#include "core/clock.h"
#include "http/connection.h"

/* A connection that is closed as soon as it is open. */
struct probe {
    uv_timer_t timer;
    struct rs_router *router;
    struct rs_fleet_target *target;
    struct rs_http_connection *connection;
    /* The process that may have ended, see RsProbe_FindEnd(); 0: none. */
    int64_t started_wall_ms;
};

static void
on_freed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
finish(struct probe *probe, bool connected)
{
    struct rs_paths *paths = &probe->router->paths;
    int64_t now_ms = RsClock_NowMs();
    if (connected) {
        RsPaths_RecordConnected(paths, probe->target, now_ms);
    }
    else {
        RsPaths_RecordConnectFailed(paths, probe->target, now_ms);
    }
    uv_close((uv_handle_t *)&probe->timer, on_freed);
}

static void
on_connected(void *arg)
{
    struct probe *probe = arg;
    RsHttp_Close(probe->connection);
    finish(probe, true);
}

/* The connection was refused at once: nobody listens at the address. */
static void
on_closed(void *arg, int error)
{
    struct probe *probe = arg;
    struct rs_router *router = probe->router;
    int64_t now_ms = RsClock_NowMs();
    if (probe->started_wall_ms != 0 && !router->paths.isolated &&
        !RsPaths_AreDoubtful(&router->paths, now_ms)) {
        router->has_news |=
            RsSuspects_RecordEnd(&router->suspects, probe->target->id,
                                 probe->started_wall_ms + 1, now_ms);
    }
    finish(probe, false);
}

static void
on_timeout(uv_timer_t *timer)
{
    struct probe *probe = timer->data;
    if (probe->connection != NULL) {
        RsHttp_Close(probe->connection);
    }
    finish(probe, false);
}

/* No request is sent, so that there are no responses. */
static const struct rs_http_events events = {
    .connected = on_connected,
    .closed = on_closed,
};

/* Returns a random listed target, one that has not failed if possible, or NULL
 * if none is listed. */
static struct rs_fleet_target *
choose_target(struct rs_router *router)
{
    const GPtrArray *list = router->fleet.list;
    guint first = list->len > 0 ? (guint)g_rand_int_range(router->random, 0,
                                                          (gint32)list->len)
                                : 0;
    struct rs_fleet_target *failed = NULL;
    for (guint i = 0; i < list->len; i++) {
        struct rs_fleet_target *target =
            g_ptr_array_index(list, (first + i) % list->len);
        if (!target->listed || target->replaced) {
            continue;
        }
        if (!RsPaths_HasFailed(&router->paths, target)) {
            return target;
        }
        failed = target;
    }
    return failed;
}

/* Connects to a target. */
static struct probe *
start_probe(struct rs_router *router, struct rs_fleet_target *target)
{
    struct probe *probe = g_new0(struct probe, 1);
    const struct rs_http_options http = {
        .loop = router->loop,
        .address = target->report.address,
        .events = &events,
        .arg = probe,
        .reset_on_close = true,
    };
    probe->router = router;
    probe->target = target;
    uv_timer_init(router->loop, &probe->timer);
    probe->timer.data = probe;
    probe->connection = RsHttp_Open(&http);
    uv_timer_start(&probe->timer, on_timeout,
                   probe->connection != NULL ? RsPaths_CONNECT_TIMEOUT_MS : 0,
                   0);
    return probe;
}

/* Connects to a random target, and records in the router's paths whether that
 * succeeds. */
void
RsProbe_Start(struct rs_router *router)
{
    struct rs_fleet_target *target = choose_target(router);
    if (target != NULL) {
        start_probe(router, target);
    }
}

/* Finds out whether the present process of a target has ended, and tells the
 * router's suspects. */
void
RsProbe_FindEnd(struct rs_router *router, struct rs_fleet_target *target)
{
    start_probe(router, target)->started_wall_ms =
        target->report.started_wall_ms;
}
