/* The life of a caller's request: what it asks for, its waiting for room, its
 * time, and its end. */

#include "router/request.h"

#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "http/server.h"
#include "platform/wire.h"

/* Waiting costs callers nothing up to an eighth of the latency target; twice
 * that still leaves most answers within it. */
#define WAIT_DIVISOR 4
/* Keys that are being handed over are back within some hundred ms. */
#define KEYED_WAIT_DIVISOR 1
#define MAX_WAITING 400 /* two seconds of one node's share at its peak */
/* An answer that has begun may go on beyond the request's time, but not for
 * ever. */
#define STALL_MS 3000
#define MAX_DEADLINE_MS 3600000
#define STATUS_GATEWAY_TIMEOUT 504

static void
free_request(struct rs_request *request)
{
    RsRouting_Release(request->config);
    g_byte_array_unref(request->body);
    g_byte_array_unref(request->sending);
}

/* The server has done with the request, or its connection is gone. */
static void
on_dispose(void *memory)
{
    struct rs_request *request = memory;
    if (!request->finished) {
        RsCounter_Add(&request->router->counters.abandoned, 1);
        RsAttempt_CancelOthers(request, NULL);
        RsRequest_Finish(request, 0, "abandoned");
    }
    free_request(request);
}

static struct rs_request *
new_request(struct rs_router *router, h2o_req_t *http)
{
    struct rs_request *request =
        h2o_mem_alloc_shared(&http->pool, sizeof(*request), on_dispose);
    memset(request, 0, sizeof(*request));
    request->http = http;
    request->router = router;
    request->config = RsRouting_Hold(router->config);
    request->arrived_us = RsClock_NowUs();
    request->arrived_ms = RsClock_NowMs();
    request->key = RsRequest_NO_KEY;
    request->body = g_byte_array_new();
    request->sending = g_byte_array_new();
    request->active_link.data = request;
    request->waiting_link.data = request;
    g_queue_push_tail_link(&router->active, &request->active_link);
    return request;
}

/* Makes the request wait until a target has room. */
void
RsRequest_Wait(struct rs_request *request)
{
    GQueue *queue = &request->router->waiting;
    if (request->waiting) {
        return;
    }
    if (queue->length >= MAX_WAITING) {
        RsReply_Refuse(request, "too-many-waiting");
        return;
    }
    int64_t due_ms = request->arrived_ms + request->route->target_latency_ms;
    GList *after = queue->tail;
    while (after != NULL) {
        const struct rs_request *other = after->data;
        if (other->arrived_ms + other->route->target_latency_ms <= due_ms) {
            break;
        }
        after = after->prev;
    }
    request->waiting = true;
    if (after == NULL) {
        g_queue_push_head_link(queue, &request->waiting_link);
    }
    else if (after->next == NULL) {
        g_queue_push_tail_link(queue, &request->waiting_link);
    }
    else {
        g_queue_insert_before_link(queue, after->next, &request->waiting_link);
    }
}

/* Tells whether a header concerns one connection only. */
bool
RsRequest_IsForConnection(const char *header)
{
    static const char *const names[] = {
        "connection", "keep-alive", "transfer-encoding", "content-length",
        "te",         "trailer",    "upgrade",           "proxy-connection"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_ascii_strcasecmp(header, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

/* The request has a target, or its final answer. */
void
RsRequest_StopWaiting(struct rs_request *request)
{
    if (request->waiting) {
        g_queue_unlink(&request->router->waiting, &request->waiting_link);
        request->waiting = false;
    }
}

/* Returns how long the request waited for its first target. */
static int64_t
waited_us(const struct rs_request *request)
{
    int64_t until_us = request->attempt_count > 0
                           ? request->attempts[0].started_us
                           : RsClock_NowUs();
    return until_us - request->arrived_us;
}

/* Notes the end of the request, whose memory stays until the server has done
 * with it. */
void
RsRequest_Finish(struct rs_request *request, int status, const char *outcome)
{
    if (request->finished) {
        return;
    }
    const char *target = "";
    if (request->attempt_count > 0) {
        target = request->attempts[request->attempt_count - 1].target->id;
    }
    int64_t elapsed_us = RsClock_NowUs() - request->arrived_us;
    request->finished = true;
    RsRequest_StopWaiting(request);
    g_queue_unlink(&request->router->active, &request->active_link);
    RsHistogram_Record(&request->router->counters.latency_us,
                       (uint64_t)elapsed_us);
    RsLog_EVENT(
        RsLog_INFO, "request", RsLog_TEXT("request_id", request->id),
        RsLog_TEXT("outcome", outcome), RsLog_NUMBER("status", status),
        RsLog_TEXT("reason", request->reason != NULL ? request->reason : ""),
        RsLog_TEXT("route",
                   request->route != NULL ? request->route->name : ""),
        RsLog_TEXT("service",
                   request->service != NULL ? request->service->name : ""),
        RsLog_TEXT("target", target),
        RsLog_NUMBER("key", request->key == RsRequest_NO_KEY
                                ? -1
                                : (int64_t)request->key),
        RsLog_NUMBER("attempts", request->attempt_count),
        RsLog_NUMBER("elapsed_us", elapsed_us),
        RsLog_NUMBER("waited_us", waited_us(request)),
        RsLog_NUMBER("time_left_ms", request->deadline_ms - RsClock_NowMs()),
        RsLog_NUMBER("config_version", request->config->version));
}

static uint32_t
read_number(const h2o_req_t *http, const char *name, uint32_t missing)
{
    char *text = RsServer_Header(http, name);
    char *end = text;
    unsigned long value = text != NULL ? strtoul(text, &end, 10) : 0;
    bool good =
        text != NULL && end != text && *end == '\0' && value <= UINT32_MAX;
    g_free(text);
    return good ? (uint32_t)value : missing;
}

static const char *
pick_service(const struct rs_request *request)
{
    const struct rs_route *route = request->route;
    uint32_t ticket = (uint32_t)g_rand_int_range(request->router->random, 0,
                                                 (gint32)route->total_weight);
    size_t i = 0;
    while (ticket >= route->shares[i].weight) {
        ticket -= route->shares[i].weight;
        i++;
    }
    return route->shares[i].service;
}

static void
set_times(struct rs_request *request)
{
    uint32_t caller_ms =
        read_number(request->http, RsWire_DEADLINE, MAX_DEADLINE_MS);
    uint32_t given_ms = MIN(caller_ms, request->route->timeout_ms);
    uint32_t divisor =
        request->service->sharded ? KEYED_WAIT_DIVISOR : WAIT_DIVISOR;
    uint32_t wait_ms = request->route->target_latency_ms / divisor;
    request->deadline_ms = request->arrived_ms + given_ms;
    request->wait_until_ms =
        MIN(request->arrived_ms + wait_ms, request->deadline_ms);
}

/* Finds route, service and key. Returns false when the request has been
 * answered for want of one of them. */
static bool
resolve(struct rs_request *request)
{
    const h2o_req_t *http = request->http;
    char *id = RsServer_Header(http, RsWire_REQUEST_ID);
    g_strlcpy(request->id, id != NULL ? id : "", sizeof(request->id));
    g_free(id);
    request->deadline_ms = request->arrived_ms + MAX_DEADLINE_MS;
    request->route = RsRouting_Match(
        request->config, http->input.authority.base, http->input.authority.len,
        http->input.path.base, http->input.path.len);
    if (request->route == NULL) {
        RsReply_Reject(request, 404, "no-route");
        return false;
    }
    if (request->id[0] == '\0') {
        RsReply_Reject(request, 400, "no-request-id");
        return false;
    }
    request->service =
        RsRouting_Service(request->config, pick_service(request));
    if (request->service == NULL) {
        RsReply_Refuse(request, "unknown-service");
        return false;
    }
    set_times(request);
    if (request->service->sharded) {
        request->key = read_number(http, RsWire_KEY, RsRequest_NO_KEY);
        if (request->key >= RsKeymap_KEYS) {
            request->key = RsRequest_NO_KEY;
            RsReply_Reject(request, 400, "no-key");
            return false;
        }
        RsRouter_CountKey(request->router, request->service->name,
                          request->key);
    }
    return true;
}

/* Takes a request from the server. */
void
RsRequest_Begin(void *arg, h2o_req_t *http)
{
    struct rs_router *router = arg;
    RsCounter_Add(&router->counters.requests, 1);
    if (router->config == NULL) {
        RsCounter_Add(&router->counters.refused, 1);
        RsServer_AddHeader(http, "retry-after", "0.3");
        RsServer_Reply(http, 503, "application/json",
                       "{\"reason\":\"no-config\"}\n", 23);
        return;
    }
    struct rs_request *request = new_request(router, http);
    if (!resolve(request)) {
        return;
    }
    RsLoad_CountRequest(RsRouter_Budget(router, request->service->name),
                        request->arrived_ms);
    RsAttempt_Next(request, request->arrived_ms);
}

/* Gives waiting requests a chance, the most urgent first. */
void
RsRequest_PumpWaiting(struct rs_router *router, int64_t now_ms)
{
    const char *full = NULL; /* a service without room for anything */
    GList *link = router->waiting.head;
    while (link != NULL) {
        struct rs_request *request = link->data;
        link = link->next;
        if (request->service->name == full) {
            continue;
        }
        RsAttempt_Next(request, now_ms);
        if (!request->finished && request->waiting &&
            !request->service->sharded) {
            full = request->service->name;
        }
    }
}

static void
end_time(struct rs_request *request, int64_t now_ms)
{
    if (request->answering != NULL) {
        if (now_ms >= request->deadline_ms + STALL_MS) {
            struct rs_attempt *attempt = request->answering;
            RsAttempt_CancelOthers(request, NULL);
            if (!RsReply_Break(attempt)) {
                RsReply_Fail(request, STATUS_GATEWAY_TIMEOUT, "stalled");
            }
        }
        return;
    }
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        const struct rs_attempt *attempt = &request->attempts[i];
        if (attempt->exchange != NULL) {
            RsFleet_NoteFailure(attempt->target, now_ms);
        }
    }
    RsAttempt_CancelOthers(request, NULL);
    if (request->may_have_run) {
        RsReply_Fail(request, STATUS_GATEWAY_TIMEOUT, "deadline");
    }
    else {
        RsReply_Refuse(request, "deadline");
    }
}

/* Does what the time asks for; to be called every few tens of ms. */
void
RsRequest_Tick(struct rs_router *router, int64_t now_ms)
{
    GList *link = router->active.head;
    while (link != NULL) {
        struct rs_request *request = link->data;
        link = link->next;
        if (now_ms >= request->deadline_ms) {
            end_time(request, now_ms);
        }
        else if (!request->waiting) {
            RsAttempt_MayHedge(request, now_ms);
        }
    }
    RsRequest_PumpWaiting(router, now_ms);
}

/* Ends the requests whose callers have closed their connections. */
void
RsRequest_WatchCallers(struct rs_router *router)
{
    GList *link = router->active.head;
    while (link != NULL) {
        struct rs_request *request = link->data;
        link = link->next;
        if (request->started || !RsServer_CallerLeft(request->http)) {
            continue;
        }
        RsCounter_Add(&router->counters.abandoned, 1);
        RsAttempt_CancelOthers(request, NULL);
        RsRequest_Finish(request, 0, "abandoned");
        request->http->http1_is_persistent = 0;
        request->http->res.headers = (h2o_headers_t){0};
        RsServer_Reply(request->http, STATUS_GATEWAY_TIMEOUT, NULL, "", 0);
    }
}
