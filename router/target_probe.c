#include "router/target_probe.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "platform/wire.h"
#include "router/exchange.h"

/* Targets without keys have room, so they answer at once. */
#define ANSWER_TIMEOUT_MS 500
#define STATUS_UNAVAILABLE 503
#define MAX_CONNECTIONS 1
#define MAX_ANSWER_BYTES 65536

struct probe {
    uv_timer_t timer;
    struct rs_fleet_target *target;
    int64_t target_started_wall_ms; /* of the target's process */
    char id[32];
    struct rs_http_header headers[2];
    struct rs_http_request message;
    struct rs_exchange *exchange;
    int status; /* 0: no answer */
};

/* Records the answer of a target to an order or a probe, if it is one.
 * `status` is the HTTP status; if there is none, 0 or negative. Status 421
 * comes from another target, at a wrong address. Returns whether the target
 * has answered. */
bool
RsTargetProbe_RecordAnswer(struct rs_fleet_target *target, int status,
                           int64_t now_ms)
{
    if (status <= 0 || status == RsWire_MISDIRECTED) {
        return false;
    }
    int64_t failing_since_ms = target->reachability.failing_since_ms;
    if (RsReachability_RecordAnswer(&target->reachability, now_ms)) {
        RsLog_EVENT(RsLog_INFO, "target_reached_again",
                    RsLog_TEXT("target", target->id),
                    RsLog_NUMBER("after_ms", now_ms - failing_since_ms));
    }
    return true;
}

static void
on_freed(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
finish(struct probe *probe)
{
    if (probe->target->report.started_wall_ms ==
        probe->target_started_wall_ms) {
        RsTargetProbe_RecordAnswer(probe->target, probe->status,
                                   RsClock_NowMs());
    }
    uv_close((uv_handle_t *)&probe->timer, on_freed);
}

/* Returns whether the response to a probe shows that the target itself has
 * answered: it names the target or, without room or while it drains, refuses
 * the request as only the target does. */
static bool
is_from_target(const struct probe *probe, const struct rs_http_head *head)
{
    const char *id = RsHttp_FindHeader(head, RsWire_INSTANCE_ID);
    return id != NULL ? strcmp(id, probe->target->id) == 0
                      : head->status == STATUS_UNAVAILABLE;
}

static void
on_head(void *arg, const struct rs_http_head *head)
{
    struct probe *probe = arg;
    const char *id = RsHttp_FindHeader(head, RsWire_REQUEST_ID);
    if (id != NULL && strcmp(id, probe->id) != 0) {
        RsExchange_SkipResponse(probe->exchange); /* of an earlier request */
        return;
    }
    probe->status =
        is_from_target(probe, head) ? head->status : RsWire_MISDIRECTED;
}

static void
on_body(void *arg, const char *data, size_t size_bytes)
{
}

static void
on_done(void *arg, int error)
{
    struct probe *probe = arg;
    if (error != 0) {
        probe->status = 0;
    }
    finish(probe);
}

static const struct rs_exchange_events exchange_events = {
    .head = on_head,
    .body = on_body,
    .done = on_done,
};

static void
on_timeout(uv_timer_t *timer)
{
    struct probe *probe = timer->data;
    bool silent = RsExchange_IsSilent(probe->exchange);
    RsExchange_Cancel(probe->exchange);
    if (silent) {
        RsExchange_CloseIdle(probe->target);
    }
    probe->status = 0;
    finish(probe);
}

/* Asks a target for `path`, which is copied. */
static void
start_probe(struct rs_router *router, struct rs_fleet_target *target,
            const char *path)
{
    static uint64_t last_number;
    struct probe *probe = g_new0(struct probe, 1);
    probe->target = target;
    probe->target_started_wall_ms = target->report.started_wall_ms;
    snprintf(probe->id, sizeof(probe->id), "probe-%" PRIu64, ++last_number);
    probe->headers[0] = (struct rs_http_header){RsWire_TARGET_ID, target->id};
    probe->headers[1] = (struct rs_http_header){RsWire_REQUEST_ID, probe->id};
    probe->message = (struct rs_http_request){
        .method = "GET",
        .path = path,
        .headers = probe->headers,
        .header_count = G_N_ELEMENTS(probe->headers),
    };
    const struct rs_exchange_options options = {
        .loop = router->loop,
        .paths = &router->paths,
        .tunnel_port = RsRouter_TunnelPort(router),
        .only_target = true,
        .target = target,
        .use = RsFleet_ORDERS,
        .max_connections = MAX_CONNECTIONS,
        .max_body_bytes = MAX_ANSWER_BYTES,
        .request = &probe->message,
        .events = &exchange_events,
        .arg = probe,
    };
    uv_timer_init(router->loop, &probe->timer);
    probe->timer.data = probe;
    uv_timer_start(&probe->timer, on_timeout, ANSWER_TIMEOUT_MS, 0);
    probe->exchange = RsExchange_Start(&options);
}

/* Starts the probes that are due of targets which could take work if they were
 * reachable. A target without a health path is given keys instead; the orders
 * for these show whether it answers. Call this function on the granter, every
 * few hundred ms. */
void
RsTargetProbe_StartDue(struct rs_router *router, int64_t now_ms)
{
    const GPtrArray *list = router->fleet.list;
    for (guint i = 0; router->config != NULL && i < list->len; i++) {
        struct rs_fleet_target *target = g_ptr_array_index(list, i);
        const struct rs_service *service =
            RsRouting_FindService(router->config, target->report.service);
        if (service == NULL ||
            !RsFleet_MayTakeWork(&router->fleet, target, now_ms) ||
            !RsReachability_TakeProbe(&target->reachability, now_ms)) {
            continue;
        }
        RsLog_EVENT(
            RsLog_INFO, "unreachable_target_probed",
            RsLog_TEXT("target", target->id),
            RsLog_NUMBER("failing_ms",
                         now_ms - target->reachability.failing_since_ms),
            RsLog_NUMBER("relapses", target->reachability.relapses));
        if (service->health_path != NULL) {
            start_probe(router, target, service->health_path);
        }
        else {
            RsReachability_RecordAnswer(&target->reachability, now_ms);
        }
    }
}
