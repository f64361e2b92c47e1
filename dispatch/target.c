#include "dispatch/target.h"

#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "core/log.h"

#define QUEUE_CAPACITY 512
#define ABANDON_MARGIN_MS 20
#define LOST_RETRY_AFTER_MS 500
#define KEEP_OPEN_MS 5000 /* unused connections are kept open this long */
#define CONNECTION_COST_US 1000
#define CONNECTION_SHARE 0.1

static void
free_request(gpointer data)
{
    struct rs_target_request *request = data;
    rs__relay__forward__free_unpacked(request->forward, NULL);
    g_free(request);
}

/* Creates the admission control and starts the ramp from the service's
 * settings. */
static void
start_admission_and_ramp(struct rs_target *target)
{
    const struct rs_model_service *service = &target->service;
    struct rs_admission_options admission = {
        .limit_policy = target->options.policies.admission,
        .slots = service->slots,
        .window = service->window,
        .queue_capacity = QUEUE_CAPACITY,
        .max_run_ms = service->max_run_ms,
    };
    struct rs_ramp_options ramp = {
        .policy = target->options.policies.ramp,
        .slots = service->slots,
        .window = service->window,
        .cold_ms = service->cold_ms,
        .connections = service->connections,
        .connection_cost_us = CONNECTION_COST_US,
        .connection_share = CONNECTION_SHARE,
    };
    target->admission = RsAdmission_New(&admission);
    RsRamp_Init(&target->ramp, &ramp);
}

/* Creates a target without connections. RsTarget_Tick() opens them and sends
 * pings; a submitted request may open one earlier. The caller owns the
 * result. */
struct rs_target *
RsTarget_New(const struct rs_target_options *options)
{
    struct rs_target *target = g_new0(struct rs_target, 1);
    target->options = *options;
    target->service = *options->service;
    target->options.service = &target->service;
    g_strlcpy(target->name, options->name, sizeof(target->name));
    target->options.name = target->name;
    target->id = RsId_FromName(target->name);
    target->connections = g_ptr_array_new();
    target->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    g_queue_init(&target->idle);
    g_queue_init(&target->ready);
    target->grants.session = RsClock_WallUs();
    target->grants.slices = g_array_new(FALSE, FALSE, sizeof(struct rs_lease));
    target->grants.granted =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    target->grants.answer = g_string_new(NULL);
    start_admission_and_ramp(target);
    target->reported_share = 1;
    RsHealth_Init(&target->health, &options->health, options->now_ms);
    return target;
}

/* Closes all connections and frees a target, which must not have any
 * requests. */
void
RsTarget_Free(struct rs_target *target)
{
    RsTargetPool_CloseUnused(target);
    RsTargetGrant_Close(target);
    g_assert(g_hash_table_size(target->requests) == 0);
    g_hash_table_destroy(target->requests);
    g_hash_table_destroy(target->grants.granted);
    g_array_free(target->grants.slices, TRUE);
    g_string_free(target->grants.answer, TRUE);
    g_ptr_array_free(target->connections, TRUE);
    g_queue_clear(&target->idle);
    g_queue_clear(&target->ready);
    RsAdmission_Free(target->admission);
    g_free(target);
}

static bool
address_differs(const struct rs_target *target,
                const struct rs_target_options *options)
{
    const struct sockaddr_in *address = &target->options.address;
    return address->sin_port != options->address.sin_port ||
           address->sin_addr.s_addr != options->address.sin_addr.s_addr;
}

/* Tells whether `options` change the target's address, its fence checks or a
 * service setting that targets use. */
bool
RsTarget_OptionsDiffer(const struct rs_target *target,
                       const struct rs_target_options *options)
{
    const struct rs_model_service *old = &target->service;
    const struct rs_model_service *new = options->service;
    return address_differs(target, options) ||
           target->options.checks_fences != options->checks_fences ||
           strcmp(old->name, new->name) != 0 || old->keyed != new->keyed ||
           old->slots != new->slots || old->window != new->window ||
           old->connections != new->connections ||
           old->max_run_ms != new->max_run_ms || old->cold_ms != new->cold_ms;
}

/* Tells whether the options may be replaced: no request waits or runs, and no
 * abandoned request can still take effect. Without this, an abandoned
 * request could still run at the old address after a change of address. */
bool
RsTarget_CanReconfigure(const struct rs_target *target, int64_t now_ms)
{
    return g_hash_table_size(target->requests) == 0 &&
           now_ms > target->abandoned_until_ms;
}

/* Moves the target to a new address, where nothing is known of its process
 * yet. */
static void
move_to_address(struct rs_target *target,
                const struct rs_target_options *options)
{
    target->options.address = options->address;
    target->start_id = 0;
    target->next_connect_at_ms = 0;
    RsTargetGrant_Close(target);
    RsTargetGrant_InvalidateClock(target);
    RsHealth_Init(&target->health, &options->health, options->now_ms);
}

/* Applies a changed address, service or fence check; the other options stay.
 * RsTarget_CanReconfigure() must hold. A target that was warm is still treated
 * as warm, unless its address changed. */
void
RsTarget_Reconfigure(struct rs_target *target,
                     const struct rs_target_options *options)
{
    bool address_changed = address_differs(target, options);
    bool warm =
        !address_changed && target->ramp.contacted && !target->ramp.cold;
    g_assert(RsTarget_CanReconfigure(target, options->now_ms));
    RsTargetPool_CloseUnused(target);
    RsAdmission_Free(target->admission);
    target->service = *options->service;
    target->options.checks_fences = options->checks_fences;
    start_admission_and_ramp(target);
    if (address_changed) {
        move_to_address(target, options);
    }
    else if (warm) {
        RsRamp_MarkWarm(&target->ramp, options->now_ms, target->start_id);
    }
    RsTargetGrant_RestartSession(target);
    target->outdated = false;
    RsLog_EVENT(RsLog_INFO, "target_renewed",
                RsLog_TEXT("target", target->name),
                RsLog_NUMBER("moved", address_changed));
}

/* Submits a request. It is refused at once if the target is lost; otherwise
 * admission control lets it run, queues it or refuses it. Takes ownership of
 * `request`, whose events may be delivered during the call. */
void
RsTarget_Submit(struct rs_target *target, struct rs_target_request *request,
                int64_t now_ms)
{
    struct rs_admission_verdict verdict = {0};
    struct rs_admission_request admission_request = {
        .id = request->id,
        .caller = RsId_FromName(request->forward->caller),
        .service = RsId_FromName(request->forward->service),
        .deadline_ms = request->deadline_ms,
    };
    request->target = target;
    target->active_until_ms = now_ms + KEEP_OPEN_MS;
    g_hash_table_insert(target->requests, &request->id, request);
    if (target->lost) {
        RsTargetRequest_Finish(request, RsOutcome_NOT_RUN, "target-lost",
                               LOST_RETRY_AFTER_MS);
        return;
    }
    RsAdmission_Submit(target->admission, now_ms, &admission_request,
                       &verdict);
    if (verdict.kind == RsAdmission_REFUSED) {
        RsTargetRequest_Finish(request, RsOutcome_NOT_RUN,
                               RsAdmission_ReasonText(verdict.reason),
                               verdict.retry_after_ms);
    }
    else if (verdict.kind == RsAdmission_RUN) {
        g_queue_push_tail(&target->ready, request);
    }
    RsTargetRequest_Advance(target, now_ms);
}

/* Closes the connection that a request was sent on, if there is one, and
 * records that the request may still run. If the target has not started it
 * yet, the close cancels it there. */
static void
close_connection_of(struct rs_target_request *request)
{
    struct rs_target_connection *connection = request->connection;
    if (connection != NULL) {
        RsTargetPool_RecordAbandoned(request->target, request);
        connection->request = NULL;
        request->connection = NULL;
        RsTargetPool_CloseConnection(connection);
    }
}

/* Cancels a request whose answer is no longer wanted, and frees it. None of
 * its events follow; those of other requests may be delivered during the
 * call. */
void
RsTarget_Cancel(struct rs_target *target, struct rs_target_request *request,
                int64_t now_ms)
{
    bool was_ready = g_queue_remove(&target->ready, request);
    RsCounter_Add(&target->options.counters->cancelled, 1);
    if (request->connection != NULL) {
        int64_t latency_us = RsClock_NowUs() - request->sent_at_us;
        close_connection_of(request);
        RsHealth_RecordNoAnswer(&target->health, RsHealth_REQUEST, false);
        RsAdmission_Finish(target->admission, now_ms, request->id,
                           RsAdmission_ABANDONED, latency_us);
    }
    else if (was_ready) {
        RsAdmission_Finish(target->admission, now_ms, request->id,
                           RsAdmission_FAILED, 0);
    }
    else {
        RsAdmission_Cancel(target->admission, now_ms, request->id);
    }
    g_hash_table_remove(target->requests, &request->id);
    RsTargetRequest_Advance(target, now_ms);
}

/* Adds flow-control credit: the front has consumed `size_bytes` of the
 * answer's body. Resumes reading from the target when the window allows it. */
void
RsTarget_AddCredit(struct rs_target_request *request, uint32_t size_bytes)
{
    struct rs_target_connection *connection = request->connection;
    RsFlow_AddCredit(&request->flow, size_bytes);
    if (connection != NULL && connection->paused &&
        RsFlow_SendableBytes(&request->flow) >= RsHttp_READ_BYTES) {
        connection->paused = false;
        RsHttp_Resume(connection->http);
    }
}

static GPtrArray *
list_running_requests(const struct rs_target *target)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, target->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_target_request *request = value;
        if (request->connection != NULL) {
            g_ptr_array_add(list, request);
        }
    }
    return list;
}

/* Ends a request that was sent, without waiting for its answer any longer. It
 * may still run at the target. */
static void
abandon_request(struct rs_target_request *request, const char *reason,
                int64_t now_ms)
{
    struct rs_target *target = request->target;
    struct rs_answer_verdict verdict =
        RsAnswer_GiveUp(&request->connection->answer);
    int64_t latency_us = RsClock_NowUs() - request->sent_at_us;
    close_connection_of(request);
    RsHealth_RecordNoAnswer(&target->health, RsHealth_REQUEST, true);
    RsAdmission_Finish(target->admission, now_ms, request->id,
                       RsAdmission_TIMED_OUT, latency_us);
    RsTargetRequest_Finish(request, verdict.outcome, reason, 0);
}

/* Tells whether the run deadline and ABANDON_MARGIN_MS have passed without the
 * head of the answer, or its body has made no progress for too long. */
static bool
is_overdue(const struct rs_target_request *request, int64_t now_ms)
{
    if (request->head_delivered) {
        return now_ms > request->stall_deadline_ms;
    }
    return now_ms > request->run_deadline_ms + ABANDON_MARGIN_MS;
}

static void
abandon_overdue(struct rs_target *target, int64_t now_ms)
{
    GPtrArray *running = list_running_requests(target);
    for (guint i = 0; i < running->len; i++) {
        struct rs_target_request *request = running->pdata[i];
        if (is_overdue(request, now_ms)) {
            abandon_request(request, "target-late", now_ms);
        }
    }
    g_ptr_array_free(running, TRUE);
}

/* Refuses the requests that wait for a connection: those past their deadline,
 * or all of them. */
static void
refuse_ready(struct rs_target *target, int64_t now_ms, bool all)
{
    GList *link = target->ready.head;
    while (link != NULL) {
        GList *next = link->next;
        struct rs_target_request *request = link->data;
        if (all || now_ms > request->deadline_ms) {
            g_queue_delete_link(&target->ready, link);
            RsAdmission_Finish(target->admission, now_ms, request->id,
                               RsAdmission_FAILED, 0);
            RsTargetRequest_Finish(request, RsOutcome_NOT_RUN,
                                   all ? "target-lost" : "deadline",
                                   LOST_RETRY_AFTER_MS);
        }
        link = next;
    }
}

/* Refuses all requests in the admission queue. */
static void
refuse_queued(struct rs_target *target, int64_t now_ms)
{
    GList *requests = g_hash_table_get_values(target->requests);
    for (GList *link = requests; link != NULL; link = link->next) {
        struct rs_target_request *request = link->data;
        if (RsAdmission_Cancel(target->admission, now_ms, request->id) == 0) {
            RsTargetRequest_Finish(request, RsOutcome_NOT_RUN, "target-lost",
                                   LOST_RETRY_AFTER_MS);
        }
    }
    g_list_free(requests);
}

/* Ends all requests of a lost target at once and closes their connections and
 * the idle ones. The queue is emptied first, so that no queued request starts
 * when a running one frees its slot. */
static void
handle_loss(struct rs_target *target, int64_t now_ms)
{
    RsLog_EVENT(RsLog_WARNING, "target_lost",
                RsLog_TEXT("target", target->name));
    RsTargetRequest_ApplyDecisions(target, now_ms);
    refuse_queued(target, now_ms);
    refuse_ready(target, now_ms, true);
    GPtrArray *running = list_running_requests(target);
    for (guint i = 0; i < running->len; i++) {
        abandon_request(running->pdata[i], "target-lost", now_ms);
    }
    g_ptr_array_free(running, TRUE);
    RsTargetPool_CloseUnused(target);
}

/* Updates the health state and handles transitions to and from lost. A loss is
 * reported only when no keyed request can run at the target any more: after
 * the deadlines of all grants, and ABANDON_MARGIN_MS after the run deadlines
 * of all keyed requests. */
static void
check_health(struct rs_target *target, int64_t now_ms)
{
    bool lost = RsHealth_Update(&target->health, now_ms,
                                target->peer_median_us) == RsHealth_LOST;
    if (lost && !target->lost) {
        target->lost = true;
        handle_loss(target, now_ms);
    }
    if (!lost && target->lost) {
        RsLog_EVENT(RsLog_INFO, "target_back",
                    RsLog_TEXT("target", target->name));
        target->lost = false;
        if (target->reported_lost) {
            target->reported_lost = false;
            target->options.lost_changed(target->options.arg, target, false);
        }
    }
    bool keyed_runs_over =
        now_ms > target->grants.latest_grant_until_ms &&
        now_ms > target->latest_keyed_run_deadline_ms + ABANDON_MARGIN_MS;
    if (target->lost && !target->reported_lost && keyed_runs_over) {
        target->reported_lost = true;
        target->options.lost_changed(target->options.arg, target, true);
    }
}

/* Runs the periodic work: grants, health, admission, timeouts and connections.
 * Must be called every few milliseconds. */
void
RsTarget_Tick(struct rs_target *target, int64_t now_ms)
{
    if (target->grants.slices->len > 0) {
        target->active_until_ms = now_ms + KEEP_OPEN_MS;
    }
    RsTargetGrant_Tick(target, now_ms);
    check_health(target, now_ms);
    RsAdmission_SetCeiling(target->admission, now_ms,
                           RsRamp_Ceiling(&target->ramp, now_ms));
    RsAdmission_Expire(target->admission, now_ms);
    abandon_overdue(target, now_ms);
    refuse_ready(target, now_ms, false);
    RsTargetRequest_Advance(target, now_ms);
    RsTargetPool_Fill(target, now_ms);
}

/* Returns the number of requests of a slice that wait or run at this
 * target. */
size_t
RsTarget_SliceRequestCount(const struct rs_target *target, uint64_t slice)
{
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, target->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_target_request *request = value;
        count += request->forward->slice == slice ? 1 : 0;
    }
    return count;
}

/* Records the start ID that the target sent, and counts a restart when it
 * changed. 0 means that it sent none. */
void
RsTarget_ObserveStartId(struct rs_target *target, uint64_t start_id,
                        int64_t now_ms)
{
    if (start_id == 0) {
        return;
    }
    if (target->start_id != 0 && target->start_id != start_id) {
        RsCounter_Add(&target->options.counters->restarts, 1);
    }
    target->start_id = start_id;
    RsRamp_RecordStartId(&target->ramp, now_ms, start_id);
}

/* Returns the target's state as a new JSON object. */
json_t *
RsTarget_Dump(const struct rs_target *target, int64_t now_ms)
{
    struct rs_admission_status status;
    RsAdmission_GetStatus(target->admission, &status);
    return json_pack(
        "{s:s,s:s,s:f,s:f,s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:I}", "name",
        target->name, "state", RsHealth_StateText(target->health.state),
        "share", target->health.share, "latency_us",
        RsHealth_ExpectedLatencyUs(&target->health, now_ms), "lost",
        target->lost, "limit", (int)status.limit, "in_flight",
        (int)status.in_flight, "queued", (int)status.queued, "ready",
        (int)target->ready.length, "connections",
        (int)target->connections->len, "idle_connections",
        (int)target->idle.length, "granted_slices",
        (int)g_hash_table_size(target->grants.granted), "grant_left_ms",
        (json_int_t)(target->grants.until_ms - now_ms));
}
