/* The connections to one target: opened ahead, one request at a time on each,
 * closed when an answer is not whole or not its request's own. */

#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "core/log.h"
#include "dispatch/target.h"

#define MAX_OPENING 8
#define CONNECT_RETRY_MS 50
#define STALL_MS 10000

static void
remove_connection(struct rs_target_connection *connection)
{
    struct rs_target *target = connection->target;
    if (!connection->connected) {
        target->opening--;
    }
    g_queue_remove(&target->idle, connection);
    g_ptr_array_remove_fast(target->connections, connection);
    g_free(connection);
}

/* Closes a connection; its work, when there is one, must be taken off it
 * before. */
void
RsTargetPool_Drop(struct rs_target_connection *connection)
{
    assert(connection->work == NULL);
    RsHttp_Close(connection->http);
    remove_connection(connection);
}

/* Notes that a request which was sent is waited for no longer. */
void
RsTargetPool_Abandon(struct rs_target *target, const struct rs_work *work)
{
    target->abandoned_until_ms =
        MAX(target->abandoned_until_ms, work->run_deadline_ms);
}

/* Closes all connections that serve no work. */
void
RsTargetPool_CloseAll(struct rs_target *target)
{
    for (guint i = target->connections->len; i > 0; i--) {
        struct rs_target_connection *connection =
            target->connections->pdata[i - 1];
        if (connection->work == NULL) {
            RsTargetPool_Drop(connection);
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

static void
observe(struct rs_target *target, const struct rs_work *work,
        enum rs_outcome outcome, bool refused, int64_t latency_us)
{
    int64_t now_ms = RsClock_NowMs();
    if (refused) {
        RsCounter_Add(&target->options.counters->refused_by_target, 1);
        RsHealth_Refused(&target->health, now_ms);
    }
    else if (outcome == RsOutcome_DONE) {
        RsHistogram_Record(&target->options.counters->run_us,
                           (uint64_t)latency_us);
        RsHealth_Answered(&target->health, now_ms, RsHealth_WORK, latency_us);
        RsRamp_Answered(&target->ramp, now_ms, latency_us);
    }
    else {
        RsHealth_GaveUp(&target->health, RsHealth_WORK, false);
    }
}

/* Takes the work off its connection and ends it. */
static void
end_work(struct rs_target_connection *connection, enum rs_outcome outcome)
{
    struct rs_target *target = connection->target;
    struct rs_work *work = connection->work;
    int64_t now_ms = RsClock_NowMs();
    int64_t latency_us = RsClock_NowUs() - work->sent_us;
    bool refused = connection->refused;
    const char *reason = outcome == RsOutcome_DONE ? "" : "target-failed";
    if (refused) {
        reason = connection->reason;
    }
    connection->work = NULL;
    work->connection = NULL;
    if (outcome == RsOutcome_UNKNOWN) {
        RsTargetPool_Abandon(target, work);
    }
    observe(target, work, outcome, refused, latency_us);
    RsAdmission_Done(target->admission, now_ms, work->id,
                     admission_outcome(outcome, refused), latency_us);
    if (refused && strcmp(connection->reason, "cold") == 0) {
        RsRamp_RefusedCold(&target->ramp, now_ms);
    }
    RsTargetWork_Finish(work, outcome, reason, 0);
}

static void
on_connected(void *arg)
{
    struct rs_target_connection *connection = arg;
    struct rs_target *target = connection->target;
    int64_t now_ms = RsClock_NowMs();
    connection->connected = true;
    target->opening--;
    g_queue_push_head(&target->idle, connection);
    RsRamp_Connected(&target->ramp, now_ms);
    RsHealth_Connected(&target->health);
    RsTargetPool_Run(target, now_ms);
}

/* Closes the connection because of what it brought. */
static void
give_up_connection(struct rs_target_connection *connection,
                   const struct rs_answer_verdict *verdict)
{
    struct rs_target *target = connection->target;
    if (verdict->kind != RsAnswer_QUIET) {
        RsCounter_Add(&target->options.counters->mismatched, 1);
    }
    RsHttp_Close(connection->http);
    if (connection->work != NULL) {
        connection->refused = false;
        end_work(connection, verdict->outcome);
    }
    remove_connection(connection);
    RsTargetWork_Events(target, RsClock_NowMs());
}

static uint64_t
start_id_of(const struct rs_http_head *head)
{
    const char *text = RsHttp_FindHeader(head, "X-Start-Id");
    return text != NULL ? RsId_FromName(text) : 0;
}

static bool
is_hop_header(const char *name)
{
    static const char *const hop[] = {
        "connection",   "content-length", "keep-alive", "transfer-encoding",
        "x-request-id", "server",         "date",       "x-clock-ms",
        "x-start-id",   "x-outcome"};
    for (size_t i = 0; i < G_N_ELEMENTS(hop); i++) {
        if (g_ascii_strcasecmp(name, hop[i]) == 0) {
            return true;
        }
    }
    return false;
}

static void
pass_head(struct rs_target_connection *connection,
          const struct rs_http_head *http)
{
    struct rs_work *work = connection->work;
    Rs__Relay__Header headers[RsHttp_MAX_HEADERS];
    Rs__Relay__Header *pointers[RsHttp_MAX_HEADERS];
    Rs__Relay__AnswerHead head = RS__RELAY__ANSWER_HEAD__INIT;
    for (size_t i = 0; i < http->header_count; i++) {
        if (is_hop_header(http->headers[i].name)) {
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
    work->head_passed = true;
    work->stall_at_ms = RsClock_NowMs() + STALL_MS;
    work->events->head(work->arg, &head);
}

static void
keep_refusal(struct rs_target_connection *connection,
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
        .word = RsAnswer_ParseWord(RsHttp_FindHeader(http, "X-Outcome")),
        .length_bytes = http->length,
    };
    struct rs_answer_verdict verdict =
        RsAnswer_Head(&connection->answer, &head);
    if (verdict.close) {
        give_up_connection(connection, &verdict);
        return;
    }
    RsTarget_SawStartId(connection->target, head.start_id, RsClock_NowMs());
    if (head.word == RsAnswer_WORD_NOT_RUN ||
        head.word == RsAnswer_WORD_ABORTED) {
        keep_refusal(connection, http);
    }
    else {
        pass_head(connection, http);
    }
}

static void
pass_body(struct rs_target_connection *connection, const char *data,
          size_t size)
{
    struct rs_work *work = connection->work;
    int status = RsFlow_Send(&work->flow, (uint32_t)size);
    assert(status == 0);
    (void)status;
    work->stall_at_ms = RsClock_NowMs() + STALL_MS;
    if (RsFlow_Sendable(&work->flow) < RsHttp_READ_BYTES &&
        !connection->paused) {
        connection->paused = true;
        RsHttp_Pause(connection->http);
    }
    work->events->body(work->arg, data, size, false, false);
}

static void
on_body(void *arg, const char *data, size_t size)
{
    struct rs_target_connection *connection = arg;
    struct rs_answer_verdict verdict =
        RsAnswer_Body(&connection->answer, size);
    if (verdict.close) {
        give_up_connection(connection, &verdict);
    }
    else if (connection->work != NULL && !connection->refused) {
        pass_body(connection, data, size);
    }
}

/* The last piece of a body may have paused the connection, and no credit for
 * it will come any more. */
static void
read_on(struct rs_target_connection *connection)
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
    struct rs_answer_verdict verdict = RsAnswer_End(&connection->answer);
    if (verdict.kind != RsAnswer_COMPLETE) {
        give_up_connection(connection, &verdict);
        return;
    }
    end_work(connection, verdict.outcome);
    connection->refused = false;
    if (verdict.close || !keep_alive) {
        RsTargetPool_Drop(connection);
    }
    else {
        read_on(connection);
        g_queue_push_head(&target->idle, connection);
    }
    RsTargetWork_Events(target, RsClock_NowMs());
}

static void
on_closed(void *arg, int error)
{
    struct rs_target_connection *connection = arg;
    struct rs_target *target = connection->target;
    int64_t now_ms = RsClock_NowMs();
    struct rs_answer_verdict verdict = RsAnswer_Close(&connection->answer);
    RsTargetGrant_DoubtClock(target);
    if (!connection->connected) {
        RsRamp_ConnectFailed(&target->ramp);
        RsHealth_ConnectFailed(&target->health);
        target->next_connect_ms = now_ms + CONNECT_RETRY_MS;
    }
    if (connection->work != NULL) {
        connection->refused = false;
        end_work(connection, verdict.outcome);
    }
    remove_connection(connection);
    RsTargetWork_Events(target, now_ms);
}

static const struct rs_http_events pool_events = {
    on_connected, on_head, on_body, on_end, on_closed,
};

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
    target->opening++;
    g_ptr_array_add(target->connections, connection);
    return true;
}

/* Opens the connections that the ramp asks for, a few at a time. */
void
RsTargetPool_Fill(struct rs_target *target, int64_t now_ms)
{
    uint32_t wanted = 0;
    if (now_ms < target->active_until_ms) {
        wanted = RsRamp_Connections(&target->ramp, now_ms);
    }
    else if (!g_queue_is_empty(&target->idle)) {
        RsTargetPool_CloseAll(target);
    }
    uint32_t needed = g_queue_get_length(&target->ready);
    wanted = MAX(wanted, MIN(needed, target->service.connections));
    if (target->lost || now_ms < target->next_connect_ms) {
        return;
    }
    while (target->connections->len < wanted &&
           target->opening < MAX_OPENING) {
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

static size_t
caller_headers(const Rs__Relay__Forward *forward,
               struct rs_http_header *headers)
{
    size_t count = 0;
    size_t most = RsHttp_MAX_HEADERS - 8;
    for (size_t i = 0; i < forward->n_headers && count < most; i++) {
        count = add_header(headers, count, forward->headers[i]->name,
                           forward->headers[i]->value);
    }
    return count;
}

static int
write_request(struct rs_target_connection *connection, struct rs_work *work)
{
    const Rs__Relay__Forward *forward = work->forward;
    struct rs_target *target = connection->target;
    struct rs_http_header headers[RsHttp_MAX_HEADERS];
    char slice[RsId_TEXT_BYTES];
    char fence[48];
    char deadline[24];
    size_t count = caller_headers(forward, headers);
    RsId_Format(forward->slice, slice);
    snprintf(fence, sizeof(fence), "%" PRIu64 ".%" PRIu32, work->epoch,
             work->step);
    snprintf(deadline, sizeof(deadline), "%" PRId64,
             RsTarget_ToItsClock(target, work->run_deadline_ms));
    count = add_header(headers, count, "X-Request-Id", forward->request_id);
    count = add_header(headers, count, "X-Holder", target->options.self);
    count = add_header(headers, count, "X-Deadline-Ms", deadline);
    count = add_header(headers, count, "X-Key", forward->key);
    if (forward->keyed) {
        count = add_header(headers, count, "X-Slice", slice);
        count = add_header(headers, count, "X-Fence", fence);
    }
    struct rs_http_request request = {
        .method = forward->method,
        .path = forward->path,
        .headers = headers,
        .header_count = count,
        .body = forward->body.data,
        .body_bytes = forward->body.len,
    };
    return RsHttp_Send(connection->http, &request);
}

/* Sets until when the work may take effect; false when it may not be sent
 * now. */
static bool
set_run_deadline(struct rs_work *work, int64_t now_ms)
{
    struct rs_target *target = work->target;
    int64_t until_ms = work->deadline_ms;
    work->run_deadline_ms = work->deadline_ms;
    if (work->forward->keyed) {
        if (!target->options.allowed(target->options.arg, work, now_ms,
                                     &until_ms)) {
            return false;
        }
        int64_t run_ms = now_ms + target->service.max_run_ms;
        work->run_deadline_ms = MIN(work->run_deadline_ms, run_ms);
        work->run_deadline_ms = MIN(work->run_deadline_ms, until_ms);
        target->last_deadline_ms =
            MAX(target->last_deadline_ms, work->run_deadline_ms);
    }
    return work->run_deadline_ms > now_ms;
}

/* Ends a work that was admitted but not sent. */
static void
not_sent(struct rs_work *work, const char *reason, int64_t now_ms)
{
    RsAdmission_Done(work->target->admission, now_ms, work->id,
                     RsAdmission_FAILED, 0);
    RsTargetWork_Finish(work, RsOutcome_NOT_RUN, reason, 0);
}

static void
start(struct rs_target_connection *connection, struct rs_work *work,
      int64_t now_ms)
{
    struct rs_target *target = connection->target;
    if (RsAnswer_Begin(&connection->answer, work->forward->request_id) != 0) {
        g_queue_push_head(&target->idle, connection);
        not_sent(work, "bad-request-id", now_ms);
        return;
    }
    assert(!connection->paused);
    connection->work = work;
    connection->refused = false;
    work->connection = connection;
    work->sent_us = RsClock_NowUs();
    RsCounter_Add(&target->options.counters->sent, 1);
    RsLog_EVENT(RsLog_DEBUG, "request_sent",
                RsLog_TEXT("request_id", work->forward->request_id),
                RsLog_TEXT("target", target->name),
                RsLog_NUMBER("epoch", work->epoch),
                RsLog_NUMBER("step", work->step));
    RsHealth_Sent(&target->health, now_ms, RsHealth_WORK);
    RsAnswer_Written(&connection->answer, true);
    if (write_request(connection, work) != 0) {
        struct rs_answer_verdict verdict = RsAnswer_Close(&connection->answer);
        end_work(connection, verdict.outcome);
        RsTargetPool_Drop(connection);
    }
}

/* Sends the works that are ready, as far as there are connections. */
void
RsTargetPool_Run(struct rs_target *target, int64_t now_ms)
{
    while (!g_queue_is_empty(&target->ready) &&
           !g_queue_is_empty(&target->idle) && target->grant.read_at_ms != 0) {
        struct rs_work *work = g_queue_pop_head(&target->ready);
        if (!set_run_deadline(work, now_ms)) {
            not_sent(work, "not-holder", now_ms);
            continue;
        }
        struct rs_target_connection *connection =
            g_queue_pop_head(&target->idle);
        start(connection, work, now_ms);
    }
    if (!g_queue_is_empty(&target->ready)) {
        RsTargetPool_Fill(target, now_ms);
    }
}
