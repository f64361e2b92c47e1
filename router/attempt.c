/* Sends a request to targets, and decides what to do when one does not
 * answer it. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "http/server.h"
#include "platform/wire.h"
#include "router/request.h"

#define US_PER_MS 1000.0
/* A request is sent to a second target once the first is this much later
 * than it was expected to be. */
#define HEDGE_FACTOR 3.0
#define HEDGE_LEAST_MS 250
/* A commit of the granter and the store's answer to those who follow it. */
#define OWNER_NEWS_MS 80
/* A reset for want of room comes within the way there and back, here between
 * regions. */
#define FULL_RESET_US 60000
#define STATUS_OK 200
#define STATUS_REDIRECT 300
#define STATUS_SERVER_ERROR 500

static const struct rs_exchange_events exchange_events;

static uint32_t
connections_for_node(const struct rs_request *request)
{
    uint32_t nodes = MAX(request->router->share.nodes, 1);
    return MAX(request->service->max_connections / nodes, 2);
}

/* Headers that this node sets itself, and those of the caller's connection. */
static bool
is_passed_on(const char *name)
{
    return !RsRequest_IsForConnection(name) &&
           g_ascii_strcasecmp(name, RsWire_DEADLINE) != 0 &&
           g_ascii_strcasecmp(name, RsWire_TARGET_ID) != 0 &&
           g_ascii_strcasecmp(name, "expect") != 0;
}

static const char *
copy_to_pool(h2o_req_t *http, h2o_iovec_t text)
{
    return h2o_strdup(&http->pool, text.base, text.len).base;
}

/* Prepares the message for one target. What it points to lives as long as
 * the caller's request. */
static void
write_message(struct rs_attempt *attempt, int64_t now_ms)
{
    struct rs_request *request = attempt->request;
    h2o_req_t *http = request->http;
    size_t count = 0;
    for (size_t i = 0; i < http->headers.size && count < RsRequest_MAX_HEADERS;
         i++) {
        const h2o_header_t *header = &http->headers.entries[i];
        const char *name = copy_to_pool(http, *header->name);
        if (is_passed_on(name)) {
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
    attempt->message = (struct rs_http_request){
        .method = copy_to_pool(http, http->input.method),
        .path = copy_to_pool(http, http->input.path),
        .headers = attempt->headers,
        .header_count = count,
        .body = http->entity.base,
        .body_bytes = http->entity.len,
    };
}

static struct rs_load_choice
make_choice(const struct rs_request *request, const char **tried)
{
    const struct rs_router *router = request->router;
    size_t count = 0;
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        tried[count++] = request->attempts[i].target->id;
    }
    return (struct rs_load_choice){
        .fleet = &router->fleet,
        .service = request->service->name,
        .zone = router->zone,
        .answer_bytes =
            RsRouter_Service(request->router, request->service->name)
                ->answer_bytes,
        .cold_per_s = request->service->cold_per_s,
        .bounds = {router->settings->bounds.cold_factor,
                   router->settings->bounds.cold_slack},
        .share = router->share,
        .excluded = tried,
        .excluded_count = count,
        .random = router->random,
    };
}

static void
send_to(struct rs_request *request, struct rs_fleet_target *target,
        const struct rs_load_choice *choice, int64_t now_ms)
{
    struct rs_attempt *attempt = &request->attempts[request->attempt_count++];
    *attempt = (struct rs_attempt){
        .request = request,
        .target = target,
        .started_us = RsClock_NowUs(),
        .ahead = RsLoad_Ahead(target, now_ms),
        .expect_ms = RsLoad_ExpectMs(target, now_ms),
    };
    write_message(attempt, now_ms);
    RsLoad_NoteColdSend(target, choice, now_ms);
    target->in_flight++;
    RsCounter_Add(&request->router->counters.attempts, 1);
    const struct rs_exchange_options options = {
        .loop = request->router->loop,
        .target = target,
        .max_connections = connections_for_node(request),
        .request = &attempt->message,
        .events = &exchange_events,
        .arg = attempt,
    };
    attempt->exchange = RsExchange_Start(&options);
}

/* The owner of the key, if it may be asked now. */
static enum rs_load_verdict
choose_owner(const struct rs_request *request,
             const struct rs_load_choice *choice, int64_t now_ms,
             struct rs_fleet_target **chosen)
{
    const struct rs_router_keys *keys =
        RsRouter_Keys(request->router, request->service->name);
    if (keys == NULL || now_ms < request->not_before_ms) {
        return RsLoad_FULL;
    }
    const struct rs_key_range *range = RsKeymap_Find(keys->map, request->key);
    if (range->former.id != NULL) {
        return RsLoad_FULL;
    }
    struct rs_fleet_target *target =
        range->owner.id != NULL
            ? RsFleet_Find(&request->router->fleet, range->owner.id)
            : NULL;
    if (target == NULL || target->report.born_ms != range->owner.born_ms ||
        !RsFleet_MayKeepWork(&request->router->fleet, target, now_ms) ||
        now_ms < target->avoid_until_ms) {
        return RsLoad_NONE;
    }
    *chosen = target;
    if (!RsLoad_HasRoom(target, choice, now_ms) ||
        !RsLoad_ColdAllows(target, choice, now_ms)) {
        return RsLoad_FULL;
    }
    return RsLoad_SEND;
}

/* Tells whether a request that has just come can't be served, as the owner of
 * its key has too many. */
static bool
is_beyond_owner(struct rs_request *request, struct rs_fleet_target *owner,
                int64_t now_ms)
{
    if (owner == NULL || request->admitted) {
        return false;
    }
    request->admitted = RsLoad_Admits(owner, now_ms);
    return !request->admitted;
}

static enum rs_load_verdict
choose(const struct rs_request *request, const struct rs_load_choice *choice,
       int64_t now_ms, struct rs_fleet_target **chosen)
{
    if (request->service->sharded) {
        return choose_owner(request, choice, now_ms, chosen);
    }
    return RsLoad_Choose(choice, now_ms, chosen);
}

/* Sends the request to a target that has room, makes it wait, or gives it its
 * final answer. */
void
RsAttempt_Next(struct rs_request *request, int64_t now_ms)
{
    const char *tried[RsRequest_MAX_ATTEMPTS];
    struct rs_load_choice choice = make_choice(request, tried);
    struct rs_fleet_target *target = NULL;
    if (request->attempt_count == RsRequest_MAX_ATTEMPTS) {
        RsReply_Refuse(request, "no-target-reached");
        return;
    }
    enum rs_load_verdict verdict = choose(request, &choice, now_ms, &target);
    struct rs_fleet_target *owner = request->service->sharded ? target : NULL;
    if (is_beyond_owner(request, owner, now_ms)) {
        RsReply_Refuse(request, "owner-overloaded");
        return;
    }
    if (verdict == RsLoad_SEND &&
        RsLoad_ExpectMs(target, now_ms) >
            (double)(request->deadline_ms - now_ms)) {
        verdict = RsLoad_FULL;
    }
    if (verdict == RsLoad_SEND) {
        RsRequest_StopWaiting(request);
        send_to(request, target, &choice, now_ms);
    }
    else if (verdict == RsLoad_FULL && now_ms < request->wait_until_ms) {
        RsRequest_Wait(request);
    }
    else {
        RsReply_Refuse(request,
                       verdict == RsLoad_NONE ? "no-target" : "no-room");
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

/* Tells whether the request may be sent to one more target. */
static bool
may_repeat(struct rs_request *request, int64_t now_ms)
{
    if (!RsLoad_MayTryOneMore(request->route->max_attempts,
                              request->attempts_sent, count_active(request)) ||
        request->attempt_count == RsRequest_MAX_ATTEMPTS ||
        (request->may_have_run && !request->route->idempotent)) {
        return false;
    }
    struct rs_load_budget *budget =
        RsRouter_Budget(request->router, request->service->name);
    if (!RsLoad_TakeRepeat(budget, request->router->share.nodes, now_ms)) {
        request->reason = "no-budget";
        return false;
    }
    RsCounter_Add(&request->router->counters.repeats, 1);
    return true;
}

/* Sends the request to a second target when the first is late, if there is
 * one with a free slot. */
void
RsAttempt_MayHedge(struct rs_request *request, int64_t now_ms)
{
    const char *tried[RsRequest_MAX_ATTEMPTS];
    struct rs_fleet_target *target = NULL;
    if (request->attempt_count != 1 || request->service->sharded ||
        !request->route->idempotent || request->attempts[0].exchange == NULL ||
        request->attempts[0].status != 0) {
        return;
    }
    const struct rs_attempt *first = &request->attempts[0];
    double late_ms = MAX(first->expect_ms * HEDGE_FACTOR, HEDGE_LEAST_MS);
    if ((double)(RsClock_NowUs() - first->started_us) < late_ms * US_PER_MS) {
        return;
    }
    struct rs_load_choice choice = make_choice(request, tried);
    if (RsLoad_Choose(&choice, now_ms, &target) == RsLoad_SEND &&
        RsLoad_Ahead(target, now_ms) < target->report.slots &&
        may_repeat(request, now_ms)) {
        RsLog_EVENT(RsLog_INFO, "hedged",
                    RsLog_TEXT("request_id", request->id),
                    RsLog_TEXT("first", first->target->id),
                    RsLog_TEXT("second", target->id));
        send_to(request, target, &choice, now_ms);
    }
}

/* Tells whether a target is still being asked. */
bool
RsAttempt_AnyActive(const struct rs_request *request)
{
    return count_active(request) > 0;
}

/* Ends all attempts but one. */
void
RsAttempt_CancelOthers(struct rs_request *request,
                       const struct rs_attempt *kept)
{
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        struct rs_attempt *attempt = &request->attempts[i];
        if (attempt != kept && attempt->exchange != NULL) {
            request->may_have_run |=
                RsExchange_IsSent(attempt->exchange) && !attempt->not_run;
            RsExchange_Cancel(attempt->exchange);
            attempt->exchange = NULL;
            attempt->target->in_flight--;
        }
    }
}

static void
log_attempt(const struct rs_attempt *attempt, const char *what)
{
    RsLog_EVENT(
        RsLog_INFO, "attempt_failed",
        RsLog_TEXT("request_id", attempt->request->id),
        RsLog_TEXT("target", attempt->target->id), RsLog_TEXT("what", what),
        RsLog_NUMBER("status", attempt->status),
        RsLog_NUMBER("attempt", attempt->request->attempt_count),
        RsLog_NUMBER("ahead", attempt->ahead),
        RsLog_NUMBER("elapsed_us", RsClock_NowUs() - attempt->started_us),
        RsLog_NUMBER("load_age_ms",
                     attempt->target->load_at_ms == 0
                         ? -1
                         : RsClock_NowMs() - attempt->target->load_at_ms));
}

/* An attempt came to nothing: tries another target, or answers. */
static void
go_on(struct rs_request *request, int64_t now_ms)
{
    if (RsAttempt_AnyActive(request) || request->finished) {
        return;
    }
    if (now_ms >= request->deadline_ms) {
        request->reason = "deadline";
    }
    else if (may_repeat(request, now_ms)) {
        RsAttempt_Next(request, now_ms);
        return;
    }
    RsReply_Refuse(request, request->reason);
}

static void
take_load(struct rs_attempt *attempt, const struct rs_http_head *head,
          int64_t now_ms)
{
    struct rs_load load;
    const char *text = RsHttp_FindHeader(head, RsWire_LOAD);
    if (text != NULL && RsReport_DecodeLoad(text, &load) == 0) {
        RsFleet_NoteLoad(attempt->target, &load, now_ms);
    }
}

/* Tells what is wrong with an answer, or NULL for one that may be passed on.
 * Targets sign their answers; bodies come without any encoding. */
static const char *
fault_of(const struct rs_http_head *head)
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
end_exchange(struct rs_attempt *attempt)
{
    RsExchange_Cancel(attempt->exchange);
    attempt->exchange = NULL;
    attempt->target->in_flight--;
}

/* Leaves out the answer of a target that failed, if another one is still being
 * asked, or may be asked. */
static bool
leave_failure(struct rs_attempt *attempt, int64_t now_ms)
{
    struct rs_request *request = attempt->request;
    bool others = count_active(request) > 1;
    if (!others && !may_repeat(request, now_ms)) {
        return false;
    }
    log_attempt(attempt, "server-error");
    request->may_have_run = true;
    request->reason = "target-failed";
    request->attempts_sent++;
    end_exchange(attempt);
    if (!others) {
        RsAttempt_Next(request, now_ms);
    }
    return true;
}

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
        RsExchange_SkipAnswer(attempt->exchange);
        return;
    }
    take_load(attempt, head, now_ms);
    attempt->status = head->status;
    attempt->not_run = RsHttp_FindHeader(head, RsWire_NOT_RUN) != NULL ||
                       head->status == RsWire_MISDIRECTED;
    if (attempt->not_run) {
        return;
    }
    const char *fault = fault_of(head);
    if (fault != NULL || (id == NULL && head->status < STATUS_SERVER_ERROR)) {
        log_attempt(attempt, fault != NULL ? fault : "no-id");
        request->may_have_run = true;
        request->reason = "bad-answer";
        end_exchange(attempt);
        go_on(request, now_ms);
        return;
    }
    if (head->status >= STATUS_SERVER_ERROR && request->route->idempotent &&
        !request->service->sharded && leave_failure(attempt, now_ms)) {
        return;
    }
    attempt->sound = true;
    RsReply_TakeHead(attempt, head);
}

static void
on_body(void *arg, const char *data, size_t size_bytes)
{
    struct rs_attempt *attempt = arg;
    if (attempt->sound) {
        RsReply_TakeBody(attempt, data, size_bytes);
    }
}

/* Another target answers at the address, or this one does not have the key;
 * then the news of the key's owner is on its way. */
static void
take_misdirected(struct rs_attempt *attempt, int64_t now_ms)
{
    struct rs_request *request = attempt->request;
    log_attempt(attempt, "misdirected");
    if (!request->service->sharded) {
        RsFleet_NoteFailure(attempt->target, now_ms);
        return;
    }
    request->not_before_ms = now_ms + OWNER_NEWS_MS;
    request->wait_until_ms =
        MAX(request->wait_until_ms, request->not_before_ms + OWNER_NEWS_MS);
}

static void
take_whole_answer(struct rs_attempt *attempt, int64_t now_ms)
{
    struct rs_request *request = attempt->request;
    int64_t elapsed_us = RsClock_NowUs() - attempt->started_us;
    if (attempt->sound) {
        RsHistogram_Record(&request->router->counters.attempt_us,
                           (uint64_t)elapsed_us);
        if (attempt->status < STATUS_SERVER_ERROR) {
            RsFleet_NoteAnswer(attempt->target, elapsed_us / US_PER_MS,
                               (uint32_t)attempt->ahead, now_ms);
        }
        RsReply_End(attempt);
        return;
    }
    request->attempts_sent++;
    request->reason = "target-refused";
    if (attempt->status == RsWire_MISDIRECTED) {
        request->reason = "misdirected";
        take_misdirected(attempt, now_ms);
    }
    else {
        log_attempt(attempt, "refused");
        RsFleet_NoteFull(attempt->target, now_ms);
    }
    go_on(request, now_ms);
}

/* A target that is full may reset the connection at once. One that gave
 * answers of late is taken for that; else it counts as failing. */
static void
take_break(struct rs_attempt *attempt, int64_t now_ms)
{
    struct rs_fleet_target *target = attempt->target;
    int64_t elapsed_us = RsClock_NowUs() - attempt->started_us;
    bool at_once = attempt->status == 0 && elapsed_us < FULL_RESET_US;
    if (at_once && RsFleet_AnsweredLately(target, now_ms)) {
        RsFleet_NoteFull(target, now_ms);
    }
    else {
        RsFleet_NoteFailure(target, now_ms);
    }
}

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
        take_whole_answer(attempt, now_ms);
    }
    else if (error == RsExchange_NOT_SENT) {
        log_attempt(attempt, "not-sent");
        request->reason = "not-reached";
        RsFleet_NoteFailure(attempt->target, now_ms);
        if (!RsAttempt_AnyActive(request) && !request->finished) {
            RsAttempt_Next(request, now_ms);
        }
    }
    else {
        log_attempt(attempt, "broken");
        request->attempts_sent++;
        request->may_have_run = true;
        request->reason = "broken-answer";
        take_break(attempt, now_ms);
        if (!RsReply_Break(attempt)) {
            go_on(request, now_ms);
        }
    }
    RsRequest_PumpWaiting(router, now_ms);
}

static const struct rs_exchange_events exchange_events = {
    .head = on_head,
    .body = on_body,
    .done = on_done,
};
