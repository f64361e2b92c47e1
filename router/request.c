/* Lifecycle of a caller's request: routing, waiting for target capacity,
 * deadlines and completion. */

#include "router/request.h"

#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "core/log.h"
#include "http/server.h"
#include "platform/wire.h"
#include "router/quota_exchange.h"

/* A request to a service without keys waits for capacity for at most the
 * latency target divided by this. A wait of up to an eighth of the target does
 * not affect callers; after more than a quarter, too many responses would
 * arrive later than the target. */
#define UNKEYED_WAIT_DIVISOR 4
/* A request for a key waits longer, for up to the whole latency target: while
 * a key is handed over to another target, it is unavailable for some hundred
 * milliseconds. */
#define KEYED_WAIT_DIVISOR 1
#define MAX_WAITING 400 /* two seconds of one node's share of peak load */
/* A response that was accepted for forwarding may exceed the request's
 * deadline by this much before it is aborted. */
#define MAX_OVERRUN_MS 3000
/* Time allowed to a request until its route is known, and if the caller names
 * no deadline. */
#define DEFAULT_DEADLINE_MS 3600000
#define STATUS_UNAUTHORIZED 401
#define STATUS_GATEWAY_TIMEOUT 504

static void
free_request(struct rs_request *request)
{
    RsRouting_Release(request->config);
    RsRouting_Release(request->identity);
    g_byte_array_unref(request->body);
    g_byte_array_unref(request->sending);
}

/* Called by the HTTP server when it frees the request: after the response was
 * sent, or when the caller's connection was closed. */
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
create_request(struct rs_router *router, h2o_req_t *http)
{
    struct rs_request *request =
        h2o_mem_alloc_shared(&http->pool, sizeof(*request), on_dispose);
    memset(request, 0, sizeof(*request));
    request->http = http;
    request->router = router;
    request->config = RsRouting_Retain(router->config);
    request->arrived_at_us = RsClock_NowUs();
    request->arrived_at_ms = RsClock_NowMs();
    request->key = RsRequest_NO_KEY;
    request->body = g_byte_array_new();
    request->sending = g_byte_array_new();
    request->active_link.data = request;
    g_queue_push_tail_link(&router->active, &request->active_link);
    return request;
}

/* Makes room in the full schedule by refusing a request that is less urgent.
 * Returns false if there is none. */
static bool
evict_less_urgent(struct rs_router *router, uint32_t rank)
{
    struct rs_schedule_item *item =
        RsSchedule_FindLessUrgent(&router->schedule, rank);
    if (item == NULL) {
        return false;
    }
    RsReply_Refuse(item->request, "too-many-waiting");
    return true;
}

/* Adds the request to the schedule of waiting requests, unless it is there
 * already. Refuses the request when the schedule is full and no less urgent
 * request can be refused instead. */
void
RsRequest_Wait(struct rs_request *request)
{
    struct rs_router *router = request->router;
    if (request->waiting) {
        return;
    }
    if (router->schedule.count >= MAX_WAITING &&
        !evict_less_urgent(router, request->rank)) {
        RsReply_Refuse(request, "too-many-waiting");
        return;
    }
    request->waiting = true;
    request->schedule_item = (struct rs_schedule_item){
        .service = request->service->name,
        .workspace =
            request->workspace != NULL ? request->workspace->name : NULL,
        .rank = request->rank,
        .due_ms = request->arrived_at_ms + request->route->target_latency_ms,
        .request = request,
    };
    RsSchedule_Add(&router->schedule, &request->schedule_item);
}

/* Returns whether a header applies to a single connection or to the framing of
 * a message, and so must not be forwarded. `header` is compared without regard
 * to case. */
bool
RsRequest_IsHopByHop(const char *header)
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

/* Removes the request from the waiting ones, if it is there. */
void
RsRequest_StopWaiting(struct rs_request *request)
{
    if (request->waiting) {
        RsSchedule_Remove(&request->router->schedule, &request->schedule_item);
        request->waiting = false;
    }
}

/* Removes the request from the waiting ones because it is sent to a target. */
void
RsRequest_TakeFromQueue(struct rs_request *request)
{
    if (request->waiting) {
        RsSchedule_Take(&request->router->schedule, &request->schedule_item);
        request->waiting = false;
    }
}

/* Returns the time from the request's arrival to its first attempt, or to now
 * if there was none. */
static int64_t
waited_us(const struct rs_request *request)
{
    int64_t until_us = request->attempt_count > 0
                           ? request->attempts[0].started_at_us
                           : RsClock_NowUs();
    return until_us - request->arrived_at_us;
}

/* Marks the request as finished, records its latency and logs it; does nothing
 * when called again. `status` (0 if the caller gets no response) and `outcome`
 * go to the log. The HTTP server frees the request's memory later. */
void
RsRequest_Finish(struct rs_request *request, int status, const char *outcome)
{
    if (request->finished) {
        return;
    }
    const struct rs_attempt *last =
        request->attempt_count > 0
            ? &request->attempts[request->attempt_count - 1]
            : NULL;
    int64_t elapsed_us = RsClock_NowUs() - request->arrived_at_us;
    request->finished = true;
    RsRequest_StopWaiting(request);
    RsQuotaExchange_End(request->router->quotas, &request->quota_claim,
                        !request->may_have_run &&
                            request->forwarded_attempt == NULL,
                        RsClock_NowMs());
    g_queue_unlink(&request->router->active, &request->active_link);
    RsHistogram_Record(&request->router->counters.latency_us,
                       (uint64_t)elapsed_us);
    RsWorkspaces_RecordEnd(&request->router->workspaces, request->workspace,
                           strcmp(outcome, "not-run") == 0);
    if (request->unauthorized) {
        return; /* RsWorkspaces_RecordUnauthorized() logs it */
    }
    RsLog_EVENT(
        RsLog_INFO, "request", RsLog_TEXT("request_id", request->id),
        RsLog_TEXT("outcome", outcome), RsLog_NUMBER("status", status),
        RsLog_TEXT("reason", request->reason != NULL ? request->reason : ""),
        RsLog_TEXT("route",
                   request->route != NULL ? request->route->name : ""),
        RsLog_TEXT("service",
                   request->service != NULL ? request->service->name : ""),
        RsLog_TEXT("workspace",
                   request->workspace != NULL ? request->workspace->name : ""),
        RsLog_TEXT("target", last != NULL ? last->target->id : ""),
        RsLog_NUMBER("target_leaving_for_ms",
                     last != NULL ? last->leaving_for_ms : -1),
        RsLog_NUMBER("key", request->key == RsRequest_NO_KEY
                                ? -1
                                : (int64_t)request->key),
        RsLog_NUMBER("attempts", request->attempt_count),
        RsLog_NUMBER("elapsed_us", elapsed_us),
        RsLog_NUMBER("waited_us", waited_us(request)),
        RsLog_NUMBER("time_left_ms", request->deadline_ms - RsClock_NowMs()),
        RsLog_NUMBER("config_version", request->config->version));
}

static void
append_part(GString *text, const char *data, size_t size)
{
    g_string_append_len(text, data, (gssize)size);
    g_string_append_c(text, '\0');
}

static void
append_header(GString *text, const h2o_req_t *http, const char *name)
{
    char *value = RsServer_Header(http, name);
    append_part(text, value != NULL ? value : "",
                value != NULL ? strlen(value) : 0);
    g_free(value);
}

/* Returns the hash of what a repeat of the request has in common with it:
 * method, host, path, credentials, key and body. Not 0. */
uint64_t
RsRequest_Fingerprint(struct rs_request *request)
{
    h2o_req_t *http = request->http;
    if (request->fingerprint != 0) {
        return request->fingerprint;
    }
    GString *text = g_string_new(NULL);
    append_part(text, http->input.method.base, http->input.method.len);
    append_part(text, http->input.authority.base, http->input.authority.len);
    append_part(text, http->input.path.base, http->input.path.len);
    append_header(text, http, RsWire_AUTHORIZATION);
    append_header(text, http, RsWire_KEY);
    const struct rs_id_piece pieces[] = {
        {text->str, text->len},
        {http->entity.base, http->entity.len},
        {"", 1}, /* a null byte */
    };
    request->fingerprint =
        MAX(RsId_FromPieces(pieces, G_N_ELEMENTS(pieces)), 1);
    g_string_free(text, TRUE);
    return request->fingerprint;
}

/* Refuses the request if targets have ended under it, and returns whether it
 * did. */
bool
RsRequest_RefuseIfSuspected(struct rs_request *request, int64_t now_ms)
{
    const struct rs_suspects *suspects = &request->router->suspects;
    if (RsSuspects_IsEmpty(suspects)) {
        return false;
    }
    int64_t until_ms = RsSuspects_RefusedUntilMs(
        suspects, RsRequest_Fingerprint(request), now_ms);
    if (until_ms == 0) {
        return false;
    }
    RsCounter_Add(&request->router->counters.suspected, 1);
    request->come_back_at_ms = until_ms;
    RsReply_Refuse(request, "crashed-targets");
    return true;
}

/* Refuses the request if the node may end before its deadline, and returns
 * whether it did. */
bool
RsRequest_RefuseIfStopping(struct rs_request *request, int64_t now_ms)
{
    if (RsShutdown_MayStart(&request->router->shutdown,
                            request->deadline_ms)) {
        return false;
    }
    request->come_back_at_ms = now_ms; /* to another node */
    RsReply_Refuse(request, "stopping");
    return true;
}

/* Returns the credentials that the request carries. They are valid as long as
 * the request. */
static struct rs_workspaces_credentials
read_credentials(const h2o_req_t *http)
{
    struct rs_workspaces_credentials credentials = {0};
    for (size_t i = 0; i < http->headers.size; i++) {
        const h2o_header_t *header = &http->headers.entries[i];
        if (header->name->len == strlen(RsWire_AUTHORIZATION) &&
            g_ascii_strncasecmp(header->name->base, RsWire_AUTHORIZATION,
                                header->name->len) == 0) {
            credentials.value = header->value.base;
            credentials.size_bytes = header->value.len;
            credentials.count++;
        }
    }
    return credentials;
}

/* Returns whether the request needs no API key. If the configuration has
 * changed since the request arrived, the present route of the request decides,
 * or if there is none, the former one. */
static bool
is_public(const struct rs_request *request)
{
    const struct rs_routing *config = request->router->config;
    const h2o_req_t *http = request->http;
    const struct rs_route *route = NULL;
    if (config != request->config) {
        route = RsRouting_Match(config, http->input.authority.base,
                                http->input.authority.len,
                                http->input.path.base, http->input.path.len);
    }
    return route != NULL ? route->is_public : request->route->is_public;
}

/* Checks the request's API key against the configuration in force, and sets
 * its workspace. Must be called before each attempt, since the key may have
 * been revoked. If the configuration no longer has workspaces, the request
 * keeps the one it had. */
enum rs_workspaces_verdict
RsRequest_CheckApiKey(struct rs_request *request, int64_t now_ms)
{
    const struct rs_workspaces *workspaces = &request->router->workspaces;
    struct rs_routing *config = request->router->config;
    bool needs_key = config->has_workspaces && !is_public(request);
    if (needs_key && !RsWorkspaces_IsConfirmed(workspaces, now_ms)) {
        return RsWorkspaces_UNCONFIRMED;
    }
    if (config == request->identity) {
        return RsWorkspaces_ADMITTED;
    }
    if (needs_key) {
        const struct rs_workspaces_credentials credentials =
            read_credentials(request->http);
        const struct rs_workspace *workspace =
            RsWorkspaces_Identify(workspaces, &credentials);
        if (workspace == NULL) {
            return RsWorkspaces_UNAUTHORIZED;
        }
        request->workspace = workspace;
    }
    else if (config->has_workspaces) {
        request->workspace = NULL;
    }
    if (config->has_workspaces || request->identity == NULL) {
        RsRouting_Release(request->identity);
        request->identity = RsRouting_Retain(config);
    }
    request->hides_credentials |= config->has_workspaces;
    return RsWorkspaces_ADMITTED;
}

/* Checks the request's API key. Sends an error response and returns true if
 * the request must not be sent to a target. */
bool
RsRequest_RejectIfUnauthorized(struct rs_request *request, int64_t now_ms)
{
    struct rs_workspaces *workspaces = &request->router->workspaces;
    struct rs_workspaces_credentials credentials;
    switch (RsRequest_CheckApiKey(request, now_ms)) {
    case RsWorkspaces_UNAUTHORIZED:
        credentials = read_credentials(request->http);
        RsWorkspaces_RecordUnauthorized(workspaces, &credentials, request->id,
                                        request->route->name, now_ms);
        request->unauthorized = true;
        RsReply_Reject(request, STATUS_UNAUTHORIZED, "unauthorized");
        return true;
    case RsWorkspaces_UNCONFIRMED:
        RsCounter_Add(&workspaces->unconfirmed_total, 1);
        RsReply_Refuse(request, "config-unconfirmed");
        return true;
    default:
        return false;
    }
}

/* Returns the value of a decimal header, or `fallback` if the header is absent
 * or not a number of 32 bits. */
static uint32_t
read_number(const h2o_req_t *http, const char *name, uint32_t fallback)
{
    char *text = RsServer_Header(http, name);
    char *end = text;
    unsigned long value = text != NULL ? strtoul(text, &end, 10) : 0;
    bool valid =
        text != NULL && end != text && *end == '\0' && value <= UINT32_MAX;
    g_free(text);
    return valid ? (uint32_t)value : fallback;
}

/* Picks one of the route's services at random, weighted by their shares. */
static const char *
pick_service(const struct rs_request *request)
{
    const struct rs_route *route = request->route;
    uint32_t draw = (uint32_t)g_rand_int_range(request->router->random, 0,
                                               (gint32)route->total_weight);
    size_t i = 0;
    while (draw >= route->shares[i].weight) {
        draw -= route->shares[i].weight;
        i++;
    }
    return route->shares[i].service;
}

/* Computes the deadline of the request, and until when it may wait. */
static void
set_deadlines(struct rs_request *request)
{
    uint32_t caller_ms =
        read_number(request->http, RsWire_DEADLINE, DEFAULT_DEADLINE_MS);
    uint32_t allowed_ms = MIN(caller_ms, request->route->timeout_ms);
    uint32_t divisor =
        request->service->sharded ? KEYED_WAIT_DIVISOR : UNKEYED_WAIT_DIVISOR;
    uint32_t wait_ms = request->route->target_latency_ms / divisor;
    request->deadline_ms = request->arrived_at_ms + allowed_ms;
    request->wait_until_ms =
        MIN(request->arrived_at_ms + wait_ms, request->deadline_ms);
}

/* Determines the route, workspace, service, key and deadlines of the request.
 * If it has no request id, or no valid route, API key, service or key, sends
 * an error response and returns false. */
static bool
resolve_route(struct rs_request *request)
{
    const h2o_req_t *http = request->http;
    char *id = RsServer_Header(http, RsWire_REQUEST_ID);
    g_strlcpy(request->id, id != NULL ? id : "", sizeof(request->id));
    g_free(id);
    request->deadline_ms = request->arrived_at_ms + DEFAULT_DEADLINE_MS;
    request->route = RsRouting_Match(
        request->config, http->input.authority.base, http->input.authority.len,
        http->input.path.base, http->input.path.len);
    if (request->route == NULL) {
        RsReply_Reject(request, 404, "no-route");
        return false;
    }
    if (RsRequest_RejectIfUnauthorized(request, request->arrived_at_ms)) {
        return false;
    }
    request->rank = RsWorkspaces_Rank(request->workspace, request->route);
    if (request->id[0] == '\0') {
        RsReply_Reject(request, 400, "no-request-id");
        return false;
    }
    request->service =
        RsRouting_FindService(request->config, pick_service(request));
    if (request->service == NULL) {
        RsReply_Refuse(request, "unknown-service");
        return false;
    }
    set_deadlines(request);
    if (request->service->sharded) {
        request->key = read_number(http, RsWire_KEY, RsRequest_NO_KEY);
        if (request->key >= RsKeymap_KEYS) {
            request->key = RsRequest_NO_KEY;
            RsReply_Reject(request, 400, "no-key");
            return false;
        }
        RsRouter_RecordKeyUse(request->router, request->service->name,
                              request->key);
    }
    return true;
}

/* Handler of the HTTP server for callers' requests. `arg` is the struct
 * rs_router. */
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
    struct rs_request *request = create_request(router, http);
    if (!resolve_route(request)) {
        return;
    }
    RsLoad_CountRequest(RsRouter_RetryBudget(router, request->service->name),
                        request->arrived_at_ms);
    RsOverload_Count(
        &RsRouter_GetOrCreateService(router, request->service->name)->mix,
        request->rank, request->arrived_at_ms);
    RsAttempt_Dispatch(request, request->arrived_at_ms);
}

/* Tries to send the waiting requests, in the order of the schedule. After a
 * request to a service without keys finds no capacity, the next requests to
 * that service are skipped. Call it whenever target capacity may have become
 * free. */
void
RsRequest_RetryWaiting(struct rs_router *router, int64_t now_ms)
{
    /* The service without keys last found to have no capacity left. The items
     * of a service follow each other. */
    const char *saturated_service = NULL;
    if (!RsSchedule_BeginPass(&router->schedule)) {
        return;
    }
    for (struct rs_schedule_item *item = RsSchedule_Next(&router->schedule);
         item != NULL; item = RsSchedule_Next(&router->schedule)) {
        struct rs_request *request = item->request;
        if (item->service == saturated_service) {
            continue;
        }
        RsAttempt_Dispatch(request, now_ms);
        /* The item is the request's, whose memory outlives the response at
         * least until the event loop runs again. */
        if (!request->finished && request->waiting &&
            !request->service->sharded && !request->quota_claim.waiting) {
            saturated_service = request->service->name;
        }
    }
}

/* Breaks off the response that is forwarded. One that this node has received
 * whole is left to the caller, however slowly it reads. */
static void
abort_forwarded(struct rs_request *request)
{
    struct rs_attempt *attempt = request->forwarded_attempt;
    if (request->body_ended && !request->body_aborted) {
        return;
    }
    RsAttempt_CancelOthers(request, NULL);
    if (!RsReply_BreakOff(attempt, "caller-stalled")) {
        RsReply_Fail(request, STATUS_GATEWAY_TIMEOUT, "stalled");
    }
}

/* Ends a request whose deadline has passed, and records a failure of each
 * target that has not responded completely. If a response was accepted for
 * forwarding, the request may go on for MAX_OVERRUN_MS. */
static void
handle_deadline(struct rs_request *request, int64_t now_ms)
{
    if (request->forwarded_attempt != NULL) {
        if (now_ms >= request->deadline_ms + MAX_OVERRUN_MS) {
            abort_forwarded(request);
        }
        return;
    }
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        const struct rs_attempt *attempt = &request->attempts[i];
        if (attempt->exchange != NULL) {
            RsFleet_RecordFailure(attempt->target, now_ms);
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

/* Ends requests whose deadlines have passed, starts hedged attempts, refuses
 * waiting requests that this node can't serve before it ends and retries the
 * others. Must be called every few tens of milliseconds. */
void
RsRequest_Tick(struct rs_router *router, int64_t now_ms)
{
    GList *link = router->active.head;
    while (link != NULL) {
        struct rs_request *request = link->data;
        link = link->next;
        if (now_ms >= request->deadline_ms) {
            handle_deadline(request, now_ms);
        }
        else if (!request->waiting) {
            RsAttempt_HedgeIfLate(request, now_ms);
        }
        else {
            RsRequest_RefuseIfStopping(request, now_ms);
        }
    }
    RsRequest_RetryWaiting(router, now_ms);
}

/* Ends all requests before the node ends. Those that were not sent are
 * refused; the outcome of the others is unknown. Responses that have started
 * go on. */
void
RsRequest_AnswerAll(struct rs_router *router)
{
    GList *link = router->active.head;
    while (link != NULL) {
        struct rs_request *request = link->data;
        link = link->next;
        if (request->response_started) {
            continue;
        }
        RsAttempt_CancelOthers(request, NULL);
        if (request->may_have_run) {
            RsReply_Fail(request, STATUS_GATEWAY_TIMEOUT, "stopping");
        }
        else {
            RsReply_Refuse(request, "stopping");
        }
    }
}

/* Ends the request if its caller has closed its connection, and returns
 * whether it did. A request whose response head was sent is left to the HTTP
 * server, which reports the lost connection itself. */
bool
RsRequest_EndIfAbandoned(struct rs_request *request)
{
    if (request->response_started ||
        !RsServer_ClientDisconnected(request->http)) {
        return false;
    }
    RsCounter_Add(&request->router->counters.abandoned, 1);
    RsAttempt_CancelOthers(request, NULL);
    RsRequest_Finish(request, 0, "abandoned");
    request->http->http1_is_persistent = 0;
    request->http->res.headers = (h2o_headers_t){0};
    RsServer_Reply(request->http, STATUS_GATEWAY_TIMEOUT, NULL, "", 0);
    return true;
}

/* Ends the requests whose callers have closed their connections. */
void
RsRequest_EndAbandoned(struct rs_router *router)
{
    GList *link = router->active.head;
    while (link != NULL) {
        struct rs_request *request = link->data;
        link = link->next;
        RsRequest_EndIfAbandoned(request);
    }
}
