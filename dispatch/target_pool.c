/* The connection pool of one target. Connections are opened in advance, or
 * when requests wait for one, and carry one request at a time. A connection on
 * which an answer is incomplete, unexpected or of another request is
 * closed. */

#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "core/log.h"
#include "dispatch/target.h"

#define MAX_CONNECTING 8
#define CONNECT_RETRY_MS 50
#define BODY_STALL_TIMEOUT_MS 10000
#define OWN_HEADERS 8 /* room for the headers that write_request() adds */

/* Removes a connection from the pool and frees it. Its HTTP connection must be
 * closed. */
static void
remove_connection(struct rs_target_connection *connection)
{
    struct rs_target *target = connection->target;
    if (!connection->connected) {
        target->connecting_count--;
    }
    g_queue_remove(&target->idle, connection);
    g_ptr_array_remove_fast(target->connections, connection);
    g_free(connection);
}

/* Closes a connection and frees it. It must not have a request. */
void
RsTargetPool_CloseConnection(struct rs_target_connection *connection)
{
    assert(connection->request == NULL);
    RsHttp_Close(connection->http);
    remove_connection(connection);
}

/* Records that the answer to a request that was sent is no longer waited for,
 * though it may take effect until its run deadline. */
void
RsTargetPool_RecordAbandoned(struct rs_target *target,
                             const struct rs_target_request *request)
{
    target->abandoned_until_ms =
        MAX(target->abandoned_until_ms, request->run_deadline_ms);
}

/* Closes all connections without a request. */
void
RsTargetPool_CloseUnused(struct rs_target *target)
{
    for (guint i = target->connections->len; i > 0; i--) {
        struct rs_target_connection *connection =
            target->connections->pdata[i - 1];
        if (connection->request == NULL) {
            RsTargetPool_CloseConnection(connection);
        }
    }
}

static enum rs_admission_outcome
admission_outcome(enum rs_outcome outcome, bool refused)
{
    if (refused) {
        return RsAdmission_TARGET_REFUSED;
    }
    return outcome == RsOutcome_DONE ? RsAdmission_DONE : RsAdmission_FAILED;
}

/* Updates the counters, health and ramp from the outcome of a request. */
static void
record_outcome(struct rs_target *target,
               const struct rs_target_request *request,
               enum rs_outcome outcome, bool refused, int64_t latency_us)
{
    int64_t now_ms = RsClock_NowMs();
    if (refused) {
        RsCounter_Add(&target->options.counters->refused_by_target, 1);
        RsHealth_RecordRefusal(&target->health, now_ms);
    }
    else if (outcome == RsOutcome_DONE) {
        RsHistogram_Record(&target->options.counters->run_us,
                           (uint64_t)latency_us);
        RsHealth_RecordAnswer(&target->health, now_ms, RsHealth_REQUEST,
                              latency_us);
        RsRamp_RecordAnswer(&target->ramp, now_ms, latency_us);
    }
    else {
        RsHealth_RecordNoAnswer(&target->health, RsHealth_REQUEST, false);
    }
}

/* Detaches the request from its connection, records its outcome and ends the
 * request. */
static void
end_request(struct rs_target_connection *connection, enum rs_outcome outcome)
{
    struct rs_target *target = connection->target;
    struct rs_target_request *request = connection->request;
    int64_t now_ms = RsClock_NowMs();
    int64_t latency_us = RsClock_NowUs() - request->sent_at_us;
    bool refused = connection->refused;
    const char *reason = outcome == RsOutcome_DONE ? "" : "target-failed";
    if (refused) {
        reason = connection->reason;
    }
    connection->request = NULL;
    request->connection = NULL;
    if (outcome == RsOutcome_UNKNOWN) {
        RsTargetPool_RecordAbandoned(target, request);
    }
    record_outcome(target, request, outcome, refused, latency_us);
    RsAdmission_Finish(target->admission, now_ms, request->id,
                       admission_outcome(outcome, refused), latency_us);
    if (refused && strcmp(connection->reason, "cold") == 0) {
        RsRamp_RecordColdRefusal(&target->ramp, now_ms);
    }
    RsTargetRequest_Finish(request, outcome, reason, 0);
}

static void
on_connected(void *arg)
{
    struct rs_target_connection *connection = arg;
    struct rs_target *target = connection->target;
    int64_t now_ms = RsClock_NowMs();
    connection->connected = true;
    target->connecting_count--;
    g_queue_push_head(&target->idle, connection);
    RsRamp_RecordConnect(&target->ramp, now_ms);
    RsHealth_RecordConnect(&target->health);
    RsTargetPool_SendReady(target, now_ms);
}

/* Closes and frees a connection because of an invalid answer. Its request, if
 * any, ends with the outcome of the verdict. */
static void
fail_connection(struct rs_target_connection *connection,
                const struct rs_answer_verdict *verdict)
{
    struct rs_target *target = connection->target;
    if (verdict->kind != RsAnswer_NO_FAULT) {
        RsCounter_Add(&target->options.counters->mismatched, 1);
    }
    RsHttp_Close(connection->http);
    if (connection->request != NULL) {
        connection->refused = false;
        end_request(connection, verdict->outcome);
    }
    remove_connection(connection);
    RsTargetRequest_Advance(target, RsClock_NowMs());
}

/* Returns the start ID of the target's process from an answer, or 0 if it has
 * none. */
static uint64_t
start_id_of(const struct rs_http_head *head)
{
    const char *text = RsHttp_FindHeader(head, "X-Start-Id");
    return text != NULL ? RsId_FromName(text) : 0;
}

/* Tells whether a header of the target's answer is not passed on to the
 * caller: it belongs to the connection, or to the protocol between this
 * process and the target, or describes the target's server. */
static bool
is_dropped_header(const char *name)
{
    static const char *const names[] = {
        "connection",   "content-length", "keep-alive", "transfer-encoding",
        "x-request-id", "server",         "date",       "x-clock-ms",
        "x-start-id",   "x-outcome"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_ascii_strcasecmp(name, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

/* Passes the head of an answer on to the front. */
static void
forward_head(struct rs_target_connection *connection,
             const struct rs_http_head *http)
{
    struct rs_target_request *request = connection->request;
    Rs__Relay__Header headers[RsHttp_MAX_HEADERS];
    Rs__Relay__Header *pointers[RsHttp_MAX_HEADERS];
    Rs__Relay__AnswerHead head = RS__RELAY__ANSWER_HEAD__INIT;
    for (size_t i = 0; i < http->header_count; i++) {
        if (is_dropped_header(http->headers[i].name)) {
            continue;
        }
        Rs__Relay__Header *header = &headers[head.n_headers];
        rs__relay__header__init(header);
        header->name = (char *)http->headers[i].name;
        header->value = (char *)http->headers[i].value;
        pointers[head.n_headers++] = header;
    }
    head.headers = pointers;
    head.outcome = RS__RELAY__OUTCOME__OUTCOME_DONE;
    head.status = (uint32_t)http->status;
    head.length = http->length;
    request->head_delivered = true;
    request->stall_deadline_ms = RsClock_NowMs() + BODY_STALL_TIMEOUT_MS;
    request->events->head(request->arg, &head);
}

/* Marks the answer as a refusal, and stores the reason that it states. */
static void
record_refusal(struct rs_target_connection *connection,
               const struct rs_http_head *http)
{
    const char *reason = RsHttp_FindHeader(http, "X-Reason");
    connection->refused = true;
    g_strlcpy(connection->reason, reason != NULL ? reason : "refused",
              sizeof(connection->reason));
}

static void
on_head(void *arg, const struct rs_http_head *http)
{
    struct rs_target_connection *connection = arg;
    struct rs_answer_head head = {
        .request_id = RsHttp_FindHeader(http, "X-Request-Id"),
        .start_id = start_id_of(http),
        .reported_outcome =
            RsAnswer_ParseOutcomeHeader(RsHttp_FindHeader(http, "X-Outcome")),
        .length_bytes = http->length,
    };
    struct rs_answer_verdict verdict =
        RsAnswer_ReceiveHead(&connection->answer, &head);
    if (verdict.close) {
        fail_connection(connection, &verdict);
        return;
    }
    RsTarget_ObserveStartId(connection->target, head.start_id,
                            RsClock_NowMs());
    if (head.reported_outcome == RsAnswer_REPORTED_NOT_RUN ||
        head.reported_outcome == RsAnswer_REPORTED_ABORTED) {
        record_refusal(connection, http);
    }
    else {
        forward_head(connection, http);
    }
}

/* Passes a part of the body on to the front. Pauses reading when the
 * flow-control window has no room for another read. */
static void
forward_body(struct rs_target_connection *connection, const char *data,
             size_t size)
{
    struct rs_target_request *request = connection->request;
    int status = RsFlow_Send(&request->flow, (uint32_t)size);
    assert(status == 0);
    (void)status;
    request->stall_deadline_ms = RsClock_NowMs() + BODY_STALL_TIMEOUT_MS;
    if (RsFlow_SendableBytes(&request->flow) < RsHttp_READ_BYTES &&
        !connection->paused) {
        connection->paused = true;
        RsHttp_Pause(connection->http);
    }
    request->events->body(request->arg, data, size, false, false);
}

static void
on_body(void *arg, const char *data, size_t size)
{
    struct rs_target_connection *connection = arg;
    struct rs_answer_verdict verdict =
        RsAnswer_ReceiveBody(&connection->answer, size);
    if (verdict.close) {
        fail_connection(connection, &verdict);
    }
    else if (connection->request != NULL && !connection->refused) {
        forward_body(connection, data, size);
    }
}

/* Resumes reading after the end of an answer: its last part may have paused
 * the connection, and no more credit will come for it. */
static void
resume_reading(struct rs_target_connection *connection)
{
    if (connection->paused) {
        connection->paused = false;
        RsHttp_Resume(connection->http);
    }
}

static void
on_end(void *arg, bool keep_alive)
{
    struct rs_target_connection *connection = arg;
    struct rs_target *target = connection->target;
    struct rs_answer_verdict verdict =
        RsAnswer_ReceiveEnd(&connection->answer);
    if (verdict.kind != RsAnswer_COMPLETE) {
        fail_connection(connection, &verdict);
        return;
    }
    end_request(connection, verdict.outcome);
    connection->refused = false;
    if (verdict.close || !keep_alive) {
        RsTargetPool_CloseConnection(connection);
    }
    else {
        resume_reading(connection);
        g_queue_push_head(&target->idle, connection);
    }
    RsTargetRequest_Advance(target, RsClock_NowMs());
}

static void
on_closed(void *arg, int error)
{
    struct rs_target_connection *connection = arg;
    struct rs_target *target = connection->target;
    int64_t now_ms = RsClock_NowMs();
    struct rs_answer_verdict verdict =
        RsAnswer_HandleClose(&connection->answer);
    RsTargetGrant_InvalidateClock(target);
    if (!connection->connected) {
        RsRamp_RecordConnectFailure(&target->ramp);
        RsHealth_RecordConnectFailure(&target->health);
        target->next_connect_at_ms = now_ms + CONNECT_RETRY_MS;
    }
    if (connection->request != NULL) {
        connection->refused = false;
        end_request(connection, verdict.outcome);
    }
    remove_connection(connection);
    RsTargetRequest_Advance(target, now_ms);
}

static const struct rs_http_events pool_events = {
    on_connected, on_head, on_body, on_end, on_closed,
};

/* Starts to connect. Returns false when that failed at once. */
static bool
open_connection(struct rs_target *target)
{
    struct rs_target_connection *connection =
        g_new0(struct rs_target_connection, 1);
    struct rs_http_options options = {
        .loop = target->options.loop,
        .address = target->options.address,
        .events = &pool_events,
        .arg = connection,
    };
    connection->target = target;
    connection->http = RsHttp_Open(&options);
    if (connection->http == NULL) {
        g_free(connection);
        return false;
    }
    target->connecting_count++;
    g_ptr_array_add(target->connections, connection);
    return true;
}

/* Opens connections up to the greater of two numbers: for a target in use,
 * what RsRamp_Connections() returns; and the number of requests in `ready`,
 * but at most the service's `connections`. At most MAX_CONNECTING are being
 * opened at a time. None is opened while the target is lost, or shortly after
 * a failed attempt. Closes unused connections of a target that is not in use.
 */
void
RsTargetPool_Fill(struct rs_target *target, int64_t now_ms)
{
    uint32_t wanted = 0;
    if (now_ms < target->active_until_ms) {
        wanted = RsRamp_Connections(&target->ramp, now_ms);
    }
    else if (!g_queue_is_empty(&target->idle)) {
        RsTargetPool_CloseUnused(target);
    }
    uint32_t needed = g_queue_get_length(&target->ready);
    wanted = MAX(wanted, MIN(needed, target->service.connections));
    if (target->lost || now_ms < target->next_connect_at_ms) {
        return;
    }
    while (target->connections->len < wanted &&
           target->connecting_count < MAX_CONNECTING) {
        if (!open_connection(target)) {
            return;
        }
    }
}

static size_t
add_header(struct rs_http_header *headers, size_t count, const char *name,
           const char *value)
{
    headers[count].name = name;
    headers[count].value = value;
    return count + 1;
}

/* Copies as many of the caller's headers as leave room for OWN_HEADERS more;
 * the others are dropped. Returns the number copied; the strings are
 * borrowed. */
static size_t
copy_caller_headers(const Rs__Relay__Forward *forward,
                    struct rs_http_header *headers)
{
    size_t count = 0;
    size_t max_count = RsHttp_MAX_HEADERS - OWN_HEADERS;
    for (size_t i = 0; i < forward->n_headers && count < max_count; i++) {
        count = add_header(headers, count, forward->headers[i]->name,
                           forward->headers[i]->value);
    }
    return count;
}

/* Sends a request on a connection. Returns 0 or an error of RsHttp_Send(). */
static int
write_request(struct rs_target_connection *connection,
              struct rs_target_request *request)
{
    const Rs__Relay__Forward *forward = request->forward;
    struct rs_target *target = connection->target;
    struct rs_http_header headers[RsHttp_MAX_HEADERS];
    char slice[RsId_TEXT_BYTES];
    char fence[48];
    char deadline[24];
    size_t count = copy_caller_headers(forward, headers);
    RsId_Format(forward->slice, slice);
    snprintf(fence, sizeof(fence), "%" PRIu64 ".%" PRIu32, request->epoch,
             request->step);
    snprintf(deadline, sizeof(deadline), "%" PRId64,
             RsTarget_ToTargetClockMs(target, request->run_deadline_ms));
    count = add_header(headers, count, "X-Request-Id", forward->request_id);
    count = add_header(headers, count, "X-Holder", target->options.self);
    count = add_header(headers, count, "X-Deadline-Ms", deadline);
    count = add_header(headers, count, "X-Key", forward->key);
    if (forward->keyed) {
        count = add_header(headers, count, "X-Slice", slice);
        count = add_header(headers, count, "X-Fence", fence);
    }
    struct rs_http_request http_request = {
        .method = forward->method,
        .path = forward->path,
        .headers = headers,
        .header_count = count,
        .body = forward->body.data,
        .body_bytes = forward->body.len,
    };
    return RsHttp_Send(connection->http, &http_request);
}

/* Sets the run deadline, after which the request may not take effect at the
 * target: the caller's deadline, for a keyed request also bounded by the
 * service's longest run and the end of the lease. Returns false when the
 * request may not be sent now. */
static bool
set_run_deadline(struct rs_target_request *request, int64_t now_ms)
{
    struct rs_target *target = request->target;
    int64_t until_ms = request->deadline_ms;
    request->run_deadline_ms = request->deadline_ms;
    if (request->forward->keyed) {
        if (!target->options.may_send(target->options.arg, request, now_ms,
                                      &until_ms)) {
            return false;
        }
        int64_t run_ms = now_ms + target->service.max_run_ms;
        request->run_deadline_ms = MIN(request->run_deadline_ms, run_ms);
        request->run_deadline_ms = MIN(request->run_deadline_ms, until_ms);
        target->latest_keyed_run_deadline_ms = MAX(
            target->latest_keyed_run_deadline_ms, request->run_deadline_ms);
    }
    return request->run_deadline_ms > now_ms;
}

/* Ends a request that was admitted but not sent. */
static void
refuse_unsent(struct rs_target_request *request, const char *reason,
              int64_t now_ms)
{
    RsAdmission_Finish(request->target->admission, now_ms, request->id,
                       RsAdmission_FAILED, 0);
    RsTargetRequest_Finish(request, RsOutcome_NOT_RUN, reason, 0);
}

/* Sends a request on a connection that was taken from the idle ones. Ends the
 * request when its ID is not valid or the connection cannot be written to. */
static void
send_request(struct rs_target_connection *connection,
             struct rs_target_request *request, int64_t now_ms)
{
    struct rs_target *target = connection->target;
    if (RsAnswer_BeginRequest(&connection->answer,
                              request->forward->request_id) != 0) {
        g_queue_push_head(&target->idle, connection);
        refuse_unsent(request, "bad-request-id", now_ms);
        return;
    }
    assert(!connection->paused);
    connection->request = request;
    connection->refused = false;
    request->connection = connection;
    request->sent_at_us = RsClock_NowUs();
    RsCounter_Add(&target->options.counters->sent, 1);
    RsLog_EVENT(RsLog_DEBUG, "request_sent",
                RsLog_TEXT("request_id", request->forward->request_id),
                RsLog_TEXT("target", target->name),
                RsLog_NUMBER("epoch", request->epoch),
                RsLog_NUMBER("step", request->step));
    RsHealth_RecordSent(&target->health, now_ms, RsHealth_REQUEST);
    RsAnswer_RecordWritten(&connection->answer, true);
    if (write_request(connection, request) != 0) {
        struct rs_answer_verdict verdict =
            RsAnswer_HandleClose(&connection->answer);
        end_request(connection, verdict.outcome);
        RsTargetPool_CloseConnection(connection);
    }
}

/* Sends admitted requests while there are idle connections, and opens
 * connections for the rest. While there is an idle connection, a request that
 * may not be sent any more is refused. Sends and refuses nothing while the
 * target's clock is unknown, since deadlines are sent as times of that
 * clock. */
void
RsTargetPool_SendReady(struct rs_target *target, int64_t now_ms)
{
    while (!g_queue_is_empty(&target->ready) &&
           !g_queue_is_empty(&target->idle) &&
           target->grants.clock_read_at_ms != 0) {
        struct rs_target_request *request = g_queue_pop_head(&target->ready);
        if (!set_run_deadline(request, now_ms)) {
            refuse_unsent(request, "not-holder", now_ms);
            continue;
        }
        struct rs_target_connection *connection =
            g_queue_pop_head(&target->idle);
        send_request(connection, request, now_ms);
    }
    if (!g_queue_is_empty(&target->ready)) {
        RsTargetPool_Fill(target, now_ms);
    }
}
