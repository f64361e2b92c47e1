/* Sends a request to targets and handles their responses and failures:
 * retries, hedging, and when to give up. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "http/server.h"
#include "platform/wire.h"
#include "router/probe.h"
#include "router/quota_exchange.h"
#include "router/request.h"

#define US_PER_MS 1000.0
/* A request is hedged, which means that it is also sent to a second target,
 * when the first has not responded for this many times the expected response
 * time and for at least HEDGE_MIN_DELAY_MS. */
#define HEDGE_DELAY_FACTOR 3.0
#define HEDGE_MIN_DELAY_MS 250
/* Time within which a change of a key's owner normally reaches this node: the
 * granter commits it to the store and sends it to the other nodes. */
#define OWNER_CHANGE_DELAY_MS 80
/* A target that is full resets the connection within one network round trip.
 * A connection that breaks within this time, from a target that answered
 * recently, is taken to mean that the target is full. The bound covers a round
 * trip between regions. */
#define MAX_FULL_RESET_US 60000
#define MAX_DISCARDED_BYTES 65536
#define STATUS_OK 200
#define STATUS_REDIRECT 300
#define STATUS_SERVER_ERROR 500

static const struct rs_exchange_events exchange_events;

/* Returns how many connections this node may open to one target: its share of
 * the service's limit, but at least 2. */
static uint32_t
max_connections_to_target(const struct rs_request *request)
{
    uint32_t nodes = MAX(request->router->share.nodes, 1);
    return MAX(request->service->max_connections / nodes, 2);
}

/* Returns whether a header of the caller is forwarded to the target.
 * Hop-by-hop headers, Expect and those that this node sets itself are not
 * forwarded. */
static bool
is_forwarded_header(const struct rs_request *request, const char *name)
{
    if (request->hides_credentials &&
        (g_ascii_strcasecmp(name, RsWire_AUTHORIZATION) == 0 ||
         g_ascii_strcasecmp(name, RsWire_WORKSPACE) == 0)) {
        return false;
    }
    return !RsRequest_IsHopByHop(name) &&
           g_ascii_strcasecmp(name, RsWire_DEADLINE) != 0 &&
           g_ascii_strcasecmp(name, RsWire_TARGET_ID) != 0 &&
           g_ascii_strcasecmp(name, "expect") != 0;
}

static const char *
copy_to_pool(h2o_req_t *http, h2o_iovec_t text)
{
    return h2o_strdup(&http->pool, text.base, text.len).base;
}

/* Builds the HTTP request for the target. The data that it points to lives as
 * long as the caller's request. */
static void
build_request(struct rs_attempt *attempt, int64_t now_ms)
{
    struct rs_request *request = attempt->request;
    h2o_req_t *http = request->http;
    size_t count = 0;
    for (size_t i = 0; i < http->headers.size && count < RsRequest_MAX_HEADERS;
         i++) {
        const h2o_header_t *header = &http->headers.entries[i];
        const char *name = copy_to_pool(http, *header->name);
        if (is_forwarded_header(request, name)) {
            attempt->headers[count++] = (struct rs_http_header){
                name, copy_to_pool(http, header->value)};
        }
    }
    int64_t left_ms = MAX(request->deadline_ms - now_ms, (int64_t)1);
    snprintf(attempt->deadline_text, sizeof(attempt->deadline_text),
             "%" PRId64, left_ms);
    attempt->headers[count++] = (struct rs_http_header){
        "host", copy_to_pool(http, http->input.authority)};
    attempt->headers[count++] =
        (struct rs_http_header){RsWire_DEADLINE, attempt->deadline_text};
    attempt->headers[count++] =
        (struct rs_http_header){RsWire_TARGET_ID, attempt->target->id};
    if (request->workspace != NULL) {
        attempt->headers[count++] = (struct rs_http_header){
            RsWire_WORKSPACE, request->workspace->name};
    }
    attempt->message = (struct rs_http_request){
        .method = copy_to_pool(http, http->input.method),
        .path = copy_to_pool(http, http->input.path),
        .headers = attempt->headers,
        .header_count = count,
        .body = http->entity.base,
        .body_bytes = http->entity.len,
        .keeps_body = true,
    };
}

/* Returns the input for the choice of a target. The ids of the targets that
 * were already tried are written to `tried`, which must outlive the result. */
static struct rs_load_choice_input
make_choice_input(const struct rs_request *request, const char **tried)
{
    const struct rs_router *router = request->router;
    /* Any target may take a request without a key, so it waits here for the
     * first that has room rather than in the queue of one. */
    bool room_is_learned =
        router->settings->load.adaptive && request->service->sharded;
    size_t count = 0;
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        tried[count++] = request->attempts[i].target->id;
    }
    return (struct rs_load_choice_input){
        .fleet = &router->fleet,
        .service = request->service->name,
        .zone = router->zone,
        .answer_bytes = RsRouter_GetOrCreateService(request->router,
                                                    request->service->name)
                            ->answer_bytes,
        .cold_per_s = request->service->cold_per_s,
        .bounds = {router->settings->bounds.cold_factor,
                   router->settings->bounds.cold_slack},
        .share = router->share,
        .excluded = tried,
        .excluded_count = count,
        .random = router->random,
        .latency_target_ms =
            room_is_learned ? request->route->target_latency_ms : 0,
        .work_ms =
            room_is_learned
                ? RsRouter_MeanWorkMs(request->router, request->service->name,
                                      request->route->name)
                : 0,
    };
}

/* Starts an attempt at a target. */
static void
start_attempt(struct rs_request *request, struct rs_fleet_target *target,
              const struct rs_load_choice_input *input, int64_t now_ms)
{
    struct rs_attempt *attempt = &request->attempts[request->attempt_count++];
    *attempt = (struct rs_attempt){
        .request = request,
        .target = target,
        .target_started_wall_ms = target->report.started_wall_ms,
        .started_at_us = RsClock_NowUs(),
        .queued_ahead = RsLoad_CountOutstanding(target, now_ms),
        .expected_ms = RsLoad_ExpectedLatencyMs(target, now_ms),
        .leaving_for_ms = RsFleet_LeavingForMs(target, now_ms),
    };
    build_request(attempt, now_ms);
    RsLoad_RecordSend(target, input, now_ms);
    target->in_flight++;
    RsCounter_Add(&request->router->counters.attempts, 1);
    /* A connection that has carried this request may have a second response to
     * it on the way, which has the same id. */
    uint64_t carried[RsRequest_MAX_ATTEMPTS];
    size_t carried_count = 0;
    for (uint32_t i = 0; i + 1 < request->attempt_count; i++) {
        carried[carried_count++] = request->attempts[i].connection;
    }
    const struct rs_exchange_options options = {
        .loop = request->router->loop,
        .paths = &request->router->paths,
        .tunnel_port = RsRouter_TunnelPort(request->router),
        .only_target = request->service->sharded,
        .target = target,
        .max_connections = max_connections_to_target(request),
        .excluded = carried,
        .excluded_count = carried_count,
        .request = &attempt->message,
        .events = &exchange_events,
        .arg = attempt,
    };
    attempt->exchange = RsExchange_Start(&options);
    attempt->connection = RsExchange_ConnectionNumber(attempt->exchange);
}

static struct rs_overload_request
describe_for_admission(const struct rs_request *request)
{
    return (struct rs_overload_request){
        .rank = request->rank,
        .arrived_at_ms = request->arrived_at_ms,
        .admitted_at_ms = request->admitted_at_ms,
        .latency_target_ms = request->route->target_latency_ms,
        .wait_until_ms = request->wait_until_ms,
        .has_place = request->has_place,
    };
}

static const struct rs_overload_mix *
find_mix(const struct rs_request *request)
{
    return &RsRouter_GetOrCreateService(request->router,
                                        request->service->name)
                ->mix;
}

/* Returns whether the owner of the request's key has room for it. */
static bool
owner_has_room(const struct rs_request *request,
               const struct rs_fleet_target *owner,
               const struct rs_load_choice_input *input, int64_t now_ms)
{
    if (!RsOverload_IsOverloaded(owner, now_ms)) {
        return RsLoad_HasRoom(owner, input, now_ms);
    }
    const struct rs_overload_request described =
        describe_for_admission(request);
    return RsOverload_HasRoom(owner, find_mix(request), &described, now_ms);
}

/* Looks up the owner of the request's key. Returns RsLoad_SEND if the request
 * may be sent to the owner now, and RsLoad_NONE if no owner can take it.
 * Returns RsLoad_FULL if the request has to wait for the key ownership map,
 * for `next_attempt_at_ms`, for a handover of the key, for the end of a short
 * pause after failures of the owner or for capacity. Sets
 * `*chosen` to the owner for RsLoad_SEND and RsLoad_CLOSED, and for
 * RsLoad_FULL if only capacity is missing. */
static enum rs_load_verdict
choose_owner(const struct rs_request *request,
             const struct rs_load_choice_input *input, int64_t now_ms,
             struct rs_fleet_target **chosen)
{
    const struct rs_router_keymap *keys =
        RsRouter_FindKeymap(request->router, request->service->name);
    if (keys == NULL || now_ms < request->next_attempt_at_ms) {
        return RsLoad_FULL;
    }
    const struct rs_key_range *range =
        RsKeymap_FindRange(keys->map, request->key);
    if (range->former.id != NULL) {
        return RsLoad_FULL;
    }
    struct rs_fleet_target *target =
        range->owner.id != NULL
            ? RsFleet_Find(&request->router->fleet, range->owner.id)
            : NULL;
    if (target == NULL ||
        target->report.started_wall_ms != range->owner.started_wall_ms ||
        !RsFleet_MayKeepWork(&request->router->fleet, target, now_ms)) {
        return RsLoad_NONE;
    }
    if (now_ms < target->avoid_until_ms) {
        /* No other target has the key, and this one may be only full. */
        return target->avoid_until_ms < request->wait_until_ms ? RsLoad_FULL
                                                               : RsLoad_NONE;
    }
    *chosen = target;
    if (RsLoad_OpenAtMs(target, input) > now_ms) {
        return RsLoad_CLOSED;
    }
    if (!owner_has_room(request, target, input, now_ms) ||
        !RsLoad_MaySendToCold(target, input, now_ms)) {
        return RsLoad_FULL;
    }
    return RsLoad_SEND;
}

/* Returns whether the request is for a hot key and not admitted. An admitted
 * one is not checked again. `owner` is NULL as in reject_by_admission(). */
static bool
reject_hot_key(struct rs_request *request, const struct rs_fleet_target *owner,
               int64_t now_ms)
{
    struct rs_hot_keys *hot = &request->router->hot_keys;
    if (owner == NULL || request->admitted ||
        RsHotKeys_Find(hot, request->service->name, request->key) == NULL) {
        return false;
    }
    const struct rs_hot_key_request asked = {
        request->service->name, request->key, RsRequest_Fingerprint(request),
        request->deadline_ms};
    int64_t come_back_at_ms = RsHotKeys_Admit(hot, &asked, now_ms);
    request->admitted = come_back_at_ms == 0;
    if (!request->admitted) {
        request->come_back_at_ms = come_back_at_ms;
        RsCounter_Add(&request->router->counters.hot_key, 1);
    }
    return !request->admitted;
}

/* Returns whether admission control rejects the request because the owner of
 * its key gets more requests than it can serve. Records the admission in the
 * request: an admitted request is not checked again. `owner` is NULL if the
 * request has no key or its owner can't be sent to. */
static bool
reject_by_admission(struct rs_request *request, struct rs_fleet_target *owner,
                    int64_t now_ms)
{
    if (owner == NULL || request->admitted) {
        return false;
    }
    struct rs_overload_places *places = &request->router->places;
    request->has_place =
        RsOverload_IsOverloaded(owner, now_ms) &&
        RsOverload_HasPlaces(places) &&
        RsOverload_TakePlace(places, RsRequest_Fingerprint(request), now_ms);
    RsCounter_Add(&request->router->counters.placed, request->has_place);
    request->admitted =
        request->has_place ||
        RsOverload_Admit(owner, find_mix(request), places, request->rank,
                         request->router->random, now_ms);
    request->admitted_at_ms = now_ms;
    return !request->admitted;
}

/* Refuses a request for a key whose owner is overloaded, and counts it if a
 * request like it was refused lately. One that was not admitted is told when
 * to come back. */
static void
refuse_at_overload(struct rs_request *request,
                   const struct rs_fleet_target *owner, const char *reason,
                   int64_t now_ms)
{
    struct rs_router *router = request->router;
    struct rs_overload_place place = {0};
    if (!request->admitted) {
        RsCounter_Add(&router->counters.not_admitted, 1);
        place = RsOverload_DrawPlace(owner, find_mix(request), request->rank,
                                     request->deadline_ms - now_ms,
                                     router->random, now_ms);
        request->come_back_at_ms = place.back_at_ms;
    }
    if (RsOverload_RecordPlace(&router->places, RsRequest_Fingerprint(request),
                               &place, now_ms)) {
        RsCounter_Add(&router->counters.refused_again, 1);
    }
    RsReply_Refuse(request, reason);
}

/* Chooses the target for the next attempt. See choose_owner() and
 * RsLoad_Choose() for the results. */
static enum rs_load_verdict
choose_target(const struct rs_request *request,
              const struct rs_load_choice_input *input, int64_t now_ms,
              struct rs_fleet_target **chosen)
{
    if (request->service->sharded) {
        return choose_owner(request, input, now_ms, chosen);
    }
    return RsLoad_Choose(input, now_ms, chosen);
}

/* Lets the request wait for `target`, the first one to take requests of this
 * node again, or refuses it at once if that is too late. */
static void
wait_until_open(struct rs_request *request,
                const struct rs_load_choice_input *input,
                const struct rs_fleet_target *target, int64_t now_ms)
{
    if (RsLoad_OpenAtMs(target, input) < request->wait_until_ms) {
        RsRequest_Wait(request);
    }
    else if (RsFleet_IsClosed(target, now_ms)) {
        request->come_back_at_ms = target->closed_until_ms;
        RsReply_Refuse(request, "target-closed");
    }
    else {
        /* Another node may send earlier than this one. */
        RsReply_Refuse(request, "target-limited");
    }
}

/* Lets the request wait for room, or refuses it if it may not wait any longer
 * or can't be answered before its deadline. `owner` is the owner of its key if
 * that only lacks room, otherwise NULL. */
static void
wait_for_room(struct rs_request *request, const struct rs_fleet_target *owner,
              int64_t now_ms)
{
    int64_t wait_until_ms = request->wait_until_ms;
    if (owner != NULL) {
        const struct rs_overload_request described =
            describe_for_admission(request);
        wait_until_ms = RsOverload_WaitUntilMs(owner, &described, now_ms);
    }
    if (owner != NULL &&
        RsOverload_IsTooLate(owner, request->deadline_ms, now_ms)) {
        RsReply_Refuse(request, "no-time");
    }
    else if (now_ms < wait_until_ms) {
        RsRequest_Wait(request);
    }
    else if (owner != NULL && RsOverload_IsOverloaded(owner, now_ms)) {
        refuse_at_overload(request, owner, "no-room", now_ms);
    }
    else {
        RsReply_Refuse(request, "no-room");
    }
}

/* Takes a token of the request's workspace before its first attempt, and again
 * if the token has expired meanwhile. Requests over the quota thus don't wait
 * for room beside others. Returns false if there is no token; the request
 * waits for one then, or was refused. */
static bool
take_token(struct rs_request *request, int64_t now_ms)
{
    enum rs_quota_verdict verdict =
        RsQuotaExchange_Take(request->router->quotas, request->workspace,
                             &request->quota_claim, now_ms);
    if (verdict == RsQuota_WAITING) {
        RsRequest_Wait(request);
    }
    else if (verdict != RsQuota_TAKEN) {
        RsReply_RefuseWithoutToken(request, verdict == RsQuota_OVER, now_ms);
    }
    return verdict == RsQuota_TAKEN;
}

/* Sends the request to a target. If none has room, or the expected latency
 * exceeds the time left, the request waits until its `wait_until_ms` and is
 * refused after that. It is refused at once when there is no target, when all
 * attempts are used up, when its key's owner is overloaded or when the node
 * may end before its deadline, rejected when its API key is no longer valid,
 * and ended when its caller has left. */
void
RsAttempt_Dispatch(struct rs_request *request, int64_t now_ms)
{
    const char *tried[RsRequest_MAX_ATTEMPTS];
    struct rs_load_choice_input input = make_choice_input(request, tried);
    struct rs_fleet_target *target = NULL;
    if (RsRequest_RejectIfUnauthorized(request, now_ms)) {
        return;
    }
    if (request->attempt_count == RsRequest_MAX_ATTEMPTS) {
        RsReply_Refuse(request, "no-target-reached");
        return;
    }
    if (RsRequest_RefuseIfStopping(request, now_ms) ||
        RsRequest_RefuseIfSuspected(request, now_ms)) {
        return;
    }
    if (request->attempt_count == 0 && !take_token(request, now_ms)) {
        return;
    }
    enum rs_load_verdict verdict =
        choose_target(request, &input, now_ms, &target);
    if (verdict == RsLoad_CLOSED) {
        wait_until_open(request, &input, target, now_ms);
        return;
    }
    struct rs_fleet_target *owner = request->service->sharded ? target : NULL;
    if (reject_hot_key(request, owner, now_ms)) {
        RsReply_Refuse(request, "hot-key");
        return;
    }
    if (reject_by_admission(request, owner, now_ms)) {
        refuse_at_overload(request, owner, "owner-overloaded", now_ms);
        return;
    }
    if (verdict == RsLoad_SEND &&
        RsLoad_ExpectedLatencyMs(target, now_ms) >
            (double)(request->deadline_ms - now_ms)) {
        verdict = RsLoad_FULL;
    }
    if (verdict == RsLoad_SEND && RsRequest_EndIfAbandoned(request)) {
        return;
    }
    if (verdict == RsLoad_SEND) {
        RsRequest_TakeFromQueue(request);
        start_attempt(request, target, &input, now_ms);
    }
    else if (verdict == RsLoad_FULL) {
        wait_for_room(request, owner, now_ms);
    }
    else {
        RsReply_Refuse(request, "no-target");
    }
}

static uint32_t
count_active(const struct rs_request *request)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        count += request->attempts[i].exchange != NULL;
    }
    return count;
}

/* Returns whether the request may be sent to one more target, and if so takes
 * the retry from the service's retry budget. A request that may have been
 * executed is retried only on idempotent routes. */
static bool
take_retry(struct rs_request *request, int64_t now_ms)
{
    if (!RsLoad_MayStartAttempt(request->route->max_attempts,
                                request->counted_attempts,
                                count_active(request)) ||
        request->attempt_count == RsRequest_MAX_ATTEMPTS ||
        (request->may_have_run && !request->route->idempotent)) {
        return false;
    }
    struct rs_load_retry_budget *budget =
        RsRouter_RetryBudget(request->router, request->service->name);
    if (!RsLoad_TakeRetry(budget, request->router->share.nodes, now_ms)) {
        request->reason = "no-budget";
        return false;
    }
    RsCounter_Add(&request->router->counters.extra_attempts, 1);
    return true;
}

/* Starts a hedged attempt if the only attempt so far is late, another target
 * has a free slot, the API key is still valid and the retry budget allows it.
 * Only requests on idempotent routes, to services without keys, are hedged. */
void
RsAttempt_HedgeIfLate(struct rs_request *request, int64_t now_ms)
{
    const char *tried[RsRequest_MAX_ATTEMPTS];
    struct rs_fleet_target *target = NULL;
    if (request->attempt_count != 1 || request->service->sharded ||
        !request->route->idempotent || request->attempts[0].exchange == NULL ||
        request->attempts[0].status != 0) {
        return;
    }
    const struct rs_attempt *first = &request->attempts[0];
    double hedge_delay_ms =
        MAX(first->expected_ms * HEDGE_DELAY_FACTOR, HEDGE_MIN_DELAY_MS);
    if ((double)(RsClock_NowUs() - first->started_at_us) <
        hedge_delay_ms * US_PER_MS) {
        return;
    }
    struct rs_load_choice_input input = make_choice_input(request, tried);
    if (RsLoad_Choose(&input, now_ms, &target) == RsLoad_SEND &&
        RsLoad_CountOutstanding(target, now_ms) < target->report.slots &&
        RsRequest_CheckApiKey(request, now_ms) == RsWorkspaces_ADMITTED &&
        !RsRequest_EndIfAbandoned(request) && take_retry(request, now_ms)) {
        RsLog_EVENT(RsLog_INFO, "hedged",
                    RsLog_TEXT("request_id", request->id),
                    RsLog_TEXT("first", first->target->id),
                    RsLog_TEXT("second", target->id));
        start_attempt(request, target, &input, now_ms);
    }
}

/* Returns whether any attempt of the request is still running. */
bool
RsAttempt_AnyActive(const struct rs_request *request)
{
    return count_active(request) > 0;
}

/* Cancels all running attempts except `keep`, which may be NULL. Sets
 * `may_have_run` if a cancelled one may have been executed. */
void
RsAttempt_CancelOthers(struct rs_request *request,
                       const struct rs_attempt *keep)
{
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        struct rs_attempt *attempt = &request->attempts[i];
        if (attempt != keep && attempt->exchange != NULL) {
            request->may_have_run |=
                RsExchange_SentAtMs(attempt->exchange) != 0 &&
                !attempt->not_run;
            RsExchange_Cancel(attempt->exchange);
            attempt->exchange = NULL;
            attempt->target->in_flight--;
        }
    }
}

static void
log_failed_attempt(const struct rs_attempt *attempt, const char *what)
{
    RsLog_EVENT(
        RsLog_INFO, "attempt_failed",
        RsLog_TEXT("request_id", attempt->request->id),
        RsLog_TEXT("target", attempt->target->id), RsLog_TEXT("what", what),
        RsLog_NUMBER("status", attempt->status),
        RsLog_NUMBER("attempt", attempt->request->attempt_count),
        RsLog_NUMBER("ahead", attempt->queued_ahead),
        RsLog_NUMBER("elapsed_us", RsClock_NowUs() - attempt->started_at_us),
        RsLog_NUMBER("load_age_ms",
                     attempt->target->load_at_ms == 0
                         ? -1
                         : RsClock_NowMs() - attempt->target->load_at_ms));
}

/* Continues after a failed attempt: retries if that is allowed, or else
 * refuses the request. Does nothing while another attempt is running, or when
 * the request is finished. */
static void
retry_or_refuse(struct rs_request *request, int64_t now_ms)
{
    if (RsAttempt_AnyActive(request) || request->finished) {
        return;
    }
    if (now_ms >= request->deadline_ms) {
        request->reason = "deadline";
    }
    else if (take_retry(request, now_ms)) {
        RsAttempt_Dispatch(request, now_ms);
        return;
    }
    RsReply_Refuse(request, request->reason);
}

/* Records the load that the target reports in its response headers. */
static void
record_load(struct rs_attempt *attempt, const struct rs_http_head *head,
            int64_t now_ms)
{
    struct rs_target_load load;
    const char *text = RsHttp_FindHeader(head, RsWire_LOAD);
    if (text != NULL && RsReport_DecodeLoad(text, &load) == 0) {
        RsFleet_RecordLoad(attempt->target, &load, now_ms);
    }
}

/* Returns why a response must not be forwarded, or NULL if it may be. Targets
 * sign their successful responses, and never encode bodies. */
static const char *
find_fault(const struct rs_http_head *head)
{
    bool success = head->status >= STATUS_OK && head->status < STATUS_REDIRECT;
    if (success && RsHttp_FindHeader(head, RsWire_SIGNATURE) == NULL) {
        return "unsigned";
    }
    if (RsHttp_FindHeader(head, "content-encoding") != NULL) {
        return "encoded";
    }
    return NULL;
}

static void
cancel_exchange(struct rs_attempt *attempt)
{
    RsExchange_Cancel(attempt->exchange);
    attempt->exchange = NULL;
    attempt->target->in_flight--;
}

/* Discards a response with a server error if another attempt is running or if
 * the request may be retried; in the latter case retries it. Returns false if
 * the response is to be forwarded instead. */
static bool
discard_server_error(struct rs_attempt *attempt, int64_t now_ms)
{
    struct rs_request *request = attempt->request;
    bool others_running = count_active(request) > 1;
    if (!others_running && !take_retry(request, now_ms)) {
        return false;
    }
    log_failed_attempt(attempt, "server-error");
    request->may_have_run = true;
    request->reason = "target-failed";
    request->counted_attempts++;
    cancel_exchange(attempt);
    if (!others_running) {
        RsAttempt_Dispatch(request, now_ms);
    }
    return true;
}

/* Returns how long the target has worked on the request, for
 * router/concurrency.h. */
static struct rs_concurrency_sample
make_sample(const struct rs_attempt *attempt, double queueing_factor,
            int64_t now_ms)
{
    const struct rs_fleet_target *target = attempt->target;
    return (struct rs_concurrency_sample){
        .elapsed_ms =
            (double)(RsClock_NowUs() - attempt->started_at_us) / US_PER_MS,
        .queueing_factor = queueing_factor,
        .duration_percent = target->load_at_ms == now_ms
                                ? target->load.duration_percent
                                : RsReport_NORMAL_DURATION_PERCENT,
    };
}

/* Returns whether the request was sent to the target's present process, whose
 * speed is learned. */
static bool
is_learned_from(const struct rs_attempt *attempt)
{
    return attempt->request->router->settings->load.adaptive &&
           attempt->target_started_wall_ms ==
               attempt->target->report.started_wall_ms;
}

/* Records how long the target has worked until the head of its response. The
 * transfer of the body depends on links and on the caller. */
static void
record_work(const struct rs_attempt *attempt, int64_t now_ms)
{
    const struct rs_request *request = attempt->request;
    struct rs_fleet_target *target = attempt->target;
    if (attempt->status >= STATUS_SERVER_ERROR || !is_learned_from(attempt)) {
        return;
    }
    const struct rs_concurrency_sample sample =
        make_sample(attempt,
                    RsFleet_AnswerQueueingFactor(
                        target, (uint32_t)attempt->queued_ahead, now_ms),
                    now_ms);
    RsRouter_RecordWork(request->router, target, request->route->name, &sample,
                        now_ms);
}

/* Counts those requests as samples that their targets should have answered by
 * now. They are replaced by the next call. Does nothing unless load.adaptive
 * is set. */
void
RsRequest_RecordOverdue(struct rs_router *router, int64_t now_ms)
{
    const GPtrArray *list = router->fleet.list;
    if (!router->settings->load.adaptive) {
        return;
    }
    for (guint i = 0; i < list->len; i++) {
        struct rs_fleet_target *target = g_ptr_array_index(list, i);
        target->concurrency.overdue = (struct rs_concurrency_sums){0};
    }
    for (GList *link = router->active.head; link != NULL; link = link->next) {
        const struct rs_request *request = link->data;
        for (uint32_t i = 0; i < request->attempt_count; i++) {
            const struct rs_attempt *attempt = &request->attempts[i];
            if (attempt->exchange != NULL && attempt->status == 0 &&
                is_learned_from(attempt)) {
                const struct rs_concurrency_sample sample =
                    make_sample(attempt,
                                RsFleet_QueueingFactor(attempt->target,
                                                       attempt->queued_ahead),
                                now_ms);
                RsRouter_RecordOverdueWork(router, attempt->target,
                                           request->route->name, &sample);
            }
        }
    }
}

/* Returns whether, after a connection was opened, the caller still waits and
 * the target still takes requests for its keys. */
static bool
may_send(void *arg)
{
    const struct rs_attempt *attempt = arg;
    const struct rs_request *request = attempt->request;
    return !RsServer_ClientDisconnected(request->http) &&
           RsFleet_MayKeepWork(&request->router->fleet, attempt->target,
                               RsClock_NowMs());
}

/* Checks the head of a response and decides whether the response is forwarded.
 * The response to another request is skipped. One that says that the request
 * was not executed is handled at its end. An invalid response ends the
 * attempt, and one with a server error may be discarded in favour of another
 * attempt. */
static void
on_head(void *arg, const struct rs_http_head *head)
{
    struct rs_attempt *attempt = arg;
    struct rs_request *request = attempt->request;
    int64_t now_ms = RsClock_NowMs();
    const char *id = RsHttp_FindHeader(head, RsWire_REQUEST_ID);
    if (id != NULL && strcmp(id, request->id) != 0) {
        RsLog_EVENT(RsLog_WARNING, "answer_of_another_request",
                    RsLog_TEXT("request_id", request->id),
                    RsLog_TEXT("answer_id", id),
                    RsLog_TEXT("target", attempt->target->id));
        RsExchange_SkipResponse(attempt->exchange);
        return;
    }
    record_load(attempt, head, now_ms);
    request->router->has_news |=
        RsNotices_Read(&request->router->notices, attempt->target,
                       attempt->target_started_wall_ms, head, now_ms);
    attempt->status = head->status;
    /* Without an id, a response on a connection that has carried other
     * requests may be one of theirs. */
    bool is_own = id != NULL || !RsExchange_IsReused(attempt->exchange);
    attempt->not_run =
        is_own && (RsHttp_FindHeader(head, RsWire_NOT_EXECUTED) != NULL ||
                   head->status == RsWire_MISDIRECTED);
    if (attempt->not_run) {
        return;
    }
    const char *fault = find_fault(head);
    if (fault != NULL || !is_own ||
        (id == NULL && head->status < STATUS_SERVER_ERROR)) {
        log_failed_attempt(attempt, fault != NULL ? fault : "no-id");
        request->may_have_run = true;
        request->reason = "bad-answer";
        cancel_exchange(attempt);
        retry_or_refuse(request, now_ms);
        return;
    }
    if (head->status >= STATUS_SERVER_ERROR && request->route->idempotent &&
        !request->service->sharded && discard_server_error(attempt, now_ms)) {
        return;
    }
    attempt->forwarded = true;
    record_work(attempt, now_ms);
    RsReply_ForwardHead(attempt, head);
}

/* Handles status 421. If the service has no keys, another target now has the
 * address, and this counts as a failure of the expected target. If the service
 * has keys, the target usually does not own the key, so the request is held
 * back until this node has had time to learn the new owner. */
static void
handle_misdirected(struct rs_attempt *attempt, int64_t now_ms)
{
    struct rs_request *request = attempt->request;
    log_failed_attempt(attempt, "misdirected");
    if (!request->service->sharded) {
        RsFleet_RecordFailure(attempt->target, now_ms);
        return;
    }
    request->next_attempt_at_ms = now_ms + OWNER_CHANGE_DELAY_MS;
    request->wait_until_ms =
        MAX(request->wait_until_ms,
            request->next_attempt_at_ms + OWNER_CHANGE_DELAY_MS);
}

/* Clears the request of the suspicion that it crashes targets. */
static void
record_answer(struct rs_request *request, int64_t now_ms)
{
    struct rs_router *router = request->router;
    if (!RsSuspects_IsEmpty(&router->suspects)) {
        router->has_news |= RsSuspects_RecordAnswer(
            &router->suspects, RsRequest_Fingerprint(request), now_ms);
    }
}

/* Handles the end of a complete response. */
static void
handle_response_end(struct rs_attempt *attempt, int64_t now_ms)
{
    struct rs_request *request = attempt->request;
    int64_t elapsed_us = RsClock_NowUs() - attempt->started_at_us;
    if (attempt->forwarded) {
        record_answer(request, now_ms);
        RsHistogram_Record(&request->router->counters.attempt_us,
                           (uint64_t)elapsed_us);
        if (attempt->status < STATUS_SERVER_ERROR) {
            RsFleet_RecordAnswer(attempt->target, elapsed_us / US_PER_MS,
                                 (uint32_t)attempt->queued_ahead, now_ms);
        }
        RsReply_Complete(attempt);
        return;
    }
    request->counted_attempts++;
    request->reason = "target-refused";
    if (attempt->status == RsWire_MISDIRECTED) {
        request->reason = "misdirected";
        handle_misdirected(attempt, now_ms);
    }
    else {
        log_failed_attempt(attempt, "refused");
        RsFleet_RecordFull(attempt->target, now_ms);
    }
    retry_or_refuse(request, now_ms);
}

/* Forwards a part of the body. The body of a refusal is discarded; if it is
 * too long, its end is not awaited. */
static void
on_body(void *arg, const char *data, size_t size_bytes)
{
    struct rs_attempt *attempt = arg;
    if (attempt->forwarded) {
        RsReply_ForwardBody(attempt, data, size_bytes);
        return;
    }
    attempt->discarded_bytes += size_bytes;
    if (attempt->discarded_bytes > MAX_DISCARDED_BYTES) {
        cancel_exchange(attempt);
        handle_response_end(attempt, RsClock_NowMs());
    }
}

/* Suspects the request of having ended the target's process, and finds out
 * whether that has ended. While the links of this node may be lost, a broken
 * connection tells nothing of the target. */
static void
suspect_request(struct rs_attempt *attempt, int64_t sent_at_ms, int64_t now_ms)
{
    struct rs_router *router = attempt->request->router;
    if (attempt->status != 0 || router->paths.isolated ||
        RsPaths_AreDoubtful(&router->paths, now_ms)) {
        return;
    }
    if (RsSuspects_RecordBreak(
            &router->suspects, RsRequest_Fingerprint(attempt->request),
            attempt->target->id, attempt->target_started_wall_ms, sent_at_ms,
            now_ms)) {
        RsProbe_FindEnd(router, attempt->target);
    }
}

/* Records a broken connection. A full target may reset connections at once,
 * see RsLoad_RecordReset(). Any other broken connection counts as a failure.
 */
static void
handle_broken_connection(struct rs_attempt *attempt, int64_t now_ms)
{
    struct rs_fleet_target *target = attempt->target;
    int64_t elapsed_us = RsClock_NowUs() - attempt->started_at_us;
    suspect_request(
        attempt, now_ms - (int64_t)((double)elapsed_us / US_PER_MS), now_ms);
    bool was_immediate =
        attempt->status == 0 && elapsed_us < MAX_FULL_RESET_US;
    if (was_immediate) {
        RsLoad_RecordReset(target, now_ms);
    }
    else {
        RsFleet_RecordFailure(target, now_ms);
    }
}

/* Handles the end of an exchange: a complete response, a request that could
 * not be sent, or a response that is missing or incomplete. */
static void
on_done(void *arg, int error)
{
    struct rs_attempt *attempt = arg;
    struct rs_request *request = attempt->request;
    struct rs_router *router = request->router;
    int64_t now_ms = RsClock_NowMs();
    attempt->exchange = NULL;
    attempt->target->in_flight--;
    if (error == 0) {
        handle_response_end(attempt, now_ms);
    }
    else if (error == RsExchange_NOT_SENT || error == RsExchange_WITHDRAWN) {
        bool withdrawn = error == RsExchange_WITHDRAWN;
        log_failed_attempt(attempt, withdrawn ? "withdrawn" : "not-sent");
        request->reason = withdrawn ? "no-target" : "not-reached";
        if (!withdrawn) {
            RsFleet_RecordFailure(attempt->target, now_ms);
        }
        if (!RsAttempt_AnyActive(request) && !request->finished) {
            RsAttempt_Dispatch(request, now_ms);
        }
    }
    else {
        log_failed_attempt(attempt, "broken");
        request->counted_attempts++;
        request->may_have_run = true;
        request->reason = "broken-answer";
        handle_broken_connection(attempt, now_ms);
        if (!RsReply_Abort(attempt)) {
            retry_or_refuse(request, now_ms);
        }
    }
    RsRequest_RetryWaiting(router, now_ms);
}

static const struct rs_exchange_events exchange_events = {
    .may_send = may_send,
    .head = on_head,
    .body = on_body,
    .done = on_done,
};
