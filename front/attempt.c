/* The attempts of a request: sends each, and acts on its outcome. */

#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "front/request.h"

static void on_attempt_head(void *arg, const Rs__Relay__AnswerHead *head);
static void on_attempt_body(void *arg, const void *data, size_t size,
                            bool last, bool broken);

static const struct rs_target_request_events attempt_events = {
    on_attempt_head,
    on_attempt_body,
};

static struct rs_front_attempt *
find_free_attempt(struct rs_front_request *request)
{
    for (size_t i = 0; i < RsRequest_MAX_ATTEMPTS_IN_FLIGHT; i++) {
        if (!request->attempts[i].active) {
            return &request->attempts[i];
        }
    }
    return NULL;
}

/* Passes an attempt to the holder in this process. The holder takes ownership
 * of the message, so it gets a copy: a later attempt needs the original. */
static void
send_local(struct rs_front_attempt *attempt)
{
    struct rs_front_request *request = attempt->request;
    Rs__Relay__Forward *forward = request->forward;
    size_t size = rs__relay__forward__get_packed_size(forward);
    uint8_t *data = g_malloc(size);
    rs__relay__forward__pack(forward, data);
    Rs__Relay__Forward *copy = rs__relay__forward__unpack(NULL, size, data);
    g_free(data);
    attempt->ended = false;
    struct rs_target_request *work = RsHolder_Forward(
        request->front->options.holder, copy, &attempt_events, attempt);
    if (!attempt->ended && attempt->active) {
        attempt->work = work;
    }
}

static void
send_attempt(struct rs_front_attempt *attempt, const char *process)
{
    struct rs_front_request *request = attempt->request;
    struct rs_front *front = request->front;
    int64_t now_ms = RsClock_NowMs();
    RsCounter_Add(&front->counters.attempts, 1);
    RsLog_EVENT(RsLog_DEBUG, "request_tried",
                RsLog_TEXT("request_id", request->request_id),
                RsLog_TEXT("holder", process));
    RsRetry_RecordSent(&request->retry);
    request->forward->time_left_ms =
        (uint32_t)MAX(request->deadline_ms - now_ms, 1);
    attempt->sent_us = RsClock_NowUs();
    g_strlcpy(attempt->process, process, sizeof(attempt->process));
    if (attempt->target != NULL) {
        attempt->target->in_flight++;
        RsHealth_RecordSent(&attempt->target->health, now_ms,
                            RsHealth_REQUEST);
    }
    if (strcmp(process, front->self) == 0) {
        send_local(attempt);
        return;
    }
    const struct rs_view_vm *vm = RsView_Vm(front->view, process);
    attempt->stream =
        RsRelayClient_Send(front->relay, process, &vm->relay, request->forward,
                           &attempt_events, attempt);
}

/* Routes the request and sends an attempt. Returns false when there is no
 * process to send it to. */
static bool
route_and_send(struct rs_front_request *request,
               const struct rs_front_target *avoid, int64_t now_ms)
{
    struct rs_front *front = request->front;
    struct rs_front_attempt *attempt = find_free_attempt(request);
    g_assert(attempt != NULL);
    memset(attempt, 0, sizeof(*attempt));
    attempt->request = request;
    const char *process =
        request->forward->keyed
            ? RsFrontRoute_FindHolder(request, now_ms)
            : RsFrontRoute_ChooseTarget(request, attempt, avoid, now_ms);
    bool known = process != NULL && (strcmp(process, front->self) == 0 ||
                                     RsView_Vm(front->view, process) != NULL);
    if (!known) {
        return false;
    }
    attempt->active = true;
    send_attempt(attempt, process);
    return true;
}

static void
schedule_attempt(struct rs_front_request *request, int64_t at_ms)
{
    request->next_attempt_at_ms = MAX(at_ms, 1);
    if (!request->in_scheduled_queue) {
        request->in_scheduled_queue = true;
        g_queue_push_tail(&request->front->scheduled_requests, request);
    }
}

/* Applies the retry policy to the outcome of an attempt. */
static void
apply_retry_policy(struct rs_front_request *request, enum rs_outcome outcome)
{
    struct rs_retry_decision decision;
    RsRetry_Decide(request->budget, &request->retry, RsClock_NowMs(), outcome,
                   request->retry_after_ms, &decision);
    switch (decision.action) {
    case RsRetry_RETRY:
        request->redirect[0] = '\0';
        schedule_attempt(request, decision.at_ms);
        break;
    case RsRetry_REDIRECT:
        schedule_attempt(request, decision.at_ms);
        break;
    case RsRetry_ANSWER:
        RsFrontReply_Fail(request, decision.outcome);
        break;
    default:
        break;
    }
}

/* Ends a request because no member of the slice's cell can be reached. The
 * answer tells when a member may be contacted again, so that the caller need
 * not wait for its deadline. */
static void
fail_for_unreachable_cell(struct rs_front_request *request)
{
    g_strlcpy(request->last_reason, "cell-unreachable",
              sizeof(request->last_reason));
    request->retry_after_ms = request->cell_retry_after_ms;
    RsFrontReply_Fail(request, request->retry.may_have_run
                                   ? RsOutcome_UNKNOWN
                                   : RsOutcome_NOT_RUN);
}

/* Sends the next attempt. Ends the request when no member of the slice's cell
 * can be reached. If there is no process to send it to for any other reason,
 * records an attempt that no target ran and applies the retry policy. */
void
RsFrontAttempt_Begin(struct rs_front_request *request, int64_t now_ms)
{
    request->next_attempt_at_ms = 0;
    if (route_and_send(request, NULL, now_ms)) {
        if (!request->finished && request->hedge_at_ms == 0) {
            request->hedge_at_ms =
                RsRetry_HedgeAtMs(request->budget, &request->retry, now_ms);
        }
        return;
    }
    if (request->cell_retry_after_ms > 0) {
        fail_for_unreachable_cell(request);
        return;
    }
    g_strlcpy(request->last_reason, "nowhere-to-send",
              sizeof(request->last_reason));
    request->retry.refused_by_routing = true;
    RsRetry_RecordSent(&request->retry);
    apply_retry_policy(request, RsOutcome_NOT_RUN);
}

/* Hedges a request without a key: if one attempt is in flight and the hedge
 * budget allows it, sends a second copy, to another target if one is usable.
 * Sends nothing if no target is usable. */
void
RsFrontAttempt_Hedge(struct rs_front_request *request, int64_t now_ms)
{
    const struct rs_front_target *first = request->attempts[0].target;
    request->hedge_at_ms = RsClock_NEVER_MS;
    if (find_free_attempt(request) == NULL || !request->attempts[0].active ||
        !RsRetry_TryHedge(request->budget, &request->retry, now_ms)) {
        return;
    }
    RsCounter_Add(&request->front->counters.hedges, 1);
    route_and_send(request, first, now_ms);
}

/* Records the result of an attempt in its target's health and in-flight count.
 * Does nothing for an attempt without a target. If neither `done` nor
 * `refused`, the attempt counts as unanswered. */
static void
record_target_result(struct rs_front_attempt *attempt, bool done, bool refused)
{
    struct rs_front_target *target = attempt->target;
    int64_t latency_us = RsClock_NowUs() - attempt->sent_us;
    if (target == NULL) {
        return;
    }
    target->in_flight--;
    attempt->target = NULL;
    if (done) {
        RsHealth_RecordAnswer(&target->health, RsClock_NowMs(),
                              RsHealth_REQUEST, latency_us);
    }
    else if (refused) {
        RsHealth_RecordRefusal(&target->health, RsClock_NowMs());
    }
    else {
        RsHealth_RecordNoAnswer(&target->health, RsHealth_REQUEST, true);
    }
}

static void
close_attempt(struct rs_front_attempt *attempt)
{
    attempt->active = false;
    attempt->stream = NULL;
    attempt->work = NULL;
}

static void
cancel_attempt(struct rs_front_attempt *attempt)
{
    if (!attempt->active) {
        return;
    }
    struct rs_relay_stream *stream = attempt->stream;
    struct rs_target_request *work = attempt->work;
    record_target_result(attempt, false, false);
    close_attempt(attempt);
    if (stream != NULL) {
        RsRelayClient_Cancel(stream);
    }
    if (work != NULL) {
        RsHolder_Cancel(attempt->request->front->options.holder, work);
    }
}

/* Cancels all attempts that are in flight. */
void
RsFrontAttempt_CancelAll(struct rs_front_request *request)
{
    for (size_t i = 0; i < RsRequest_MAX_ATTEMPTS_IN_FLIGHT; i++) {
        cancel_attempt(&request->attempts[i]);
    }
    request->answering = NULL;
}

/* Returns flow-control credit to the sender of an attempt's answer after
 * `size_bytes` of it were sent to the caller. */
void
RsFrontAttempt_Credit(struct rs_front_attempt *attempt, uint32_t size_bytes)
{
    if (attempt->stream != NULL) {
        RsRelayClient_SendCredit(attempt->stream, size_bytes);
    }
    else if (attempt->work != NULL) {
        RsHolder_AddCredit(attempt->work, size_bytes);
    }
}

static void
store_hint(struct rs_front_request *request, const char *process)
{
    if (!request->forward->keyed) {
        return;
    }
    uint64_t slice = request->forward->slice;
    const char *stored_process =
        g_hash_table_lookup(request->front->hints, &slice);
    if (stored_process == NULL || strcmp(stored_process, process) != 0) {
        g_hash_table_insert(request->front->hints,
                            g_memdup2(&slice, sizeof(slice)),
                            g_strdup(process));
    }
}

static void
drop_hint(struct rs_front_request *request)
{
    uint64_t slice = request->forward->slice;
    g_hash_table_remove(request->front->hints, &slice);
}

/* Starts to forward the answer of an attempt to the caller, and cancels the
 * other attempts. */
static void
start_answer(struct rs_front_attempt *attempt,
             const Rs__Relay__AnswerHead *head)
{
    struct rs_front_request *request = attempt->request;
    struct rs_front *front = request->front;
    int64_t latency_us = RsClock_NowUs() - attempt->sent_us;
    record_target_result(attempt, true, false);
    store_hint(request, attempt->process);
    RsRetry_RecordLatency(request->budget, latency_us);
    struct rs_retry_decision decision;
    RsRetry_Decide(request->budget, &request->retry, RsClock_NowMs(),
                   RsOutcome_DONE, 0, &decision);
    request->answering = attempt;
    for (size_t i = 0; i < RsRequest_MAX_ATTEMPTS_IN_FLIGHT; i++) {
        if (&request->attempts[i] != attempt) {
            cancel_attempt(&request->attempts[i]);
        }
    }
    RsHistogram_Record(&front->counters.latency_us,
                       (uint64_t)(RsClock_NowUs() - request->arrived_us));
    RsFrontReply_SendHead(request, head);
}

/* Tells whether a request was refused before a target ran it, because of
 * routing: the process or target that it was sent to does not hold the slice
 * or may not run it, or could not be reached. Such a refusal costs a target
 * little or nothing, so a retry costs no budget. */
static bool
is_routing_refusal(const char *reason)
{
    static const char *const reasons[] = {
        "not-in-cell", "no-holder",    "moving",      "no-grant",
        "not-holder",  "no-link",      "target-lost", "nowhere-to-send",
        "stale-fence", "not-in-domain"};
    for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++) {
        if (strcmp(reason, reasons[i]) == 0) {
            return true;
        }
    }
    return false;
}

static void
fail_attempt(struct rs_front_attempt *attempt,
             const Rs__Relay__AnswerHead *head)
{
    struct rs_front_request *request = attempt->request;
    enum rs_outcome outcome = (enum rs_outcome)head->outcome;
    record_target_result(attempt, false, outcome == RsOutcome_NOT_RUN);
    attempt->ended = true;
    close_attempt(attempt);
    drop_hint(request);
    g_strlcpy(request->last_reason, head->reason,
              sizeof(request->last_reason));
    request->retry_after_ms = head->retry_after_ms;
    request->retry.refused_by_routing =
        outcome == RsOutcome_NOT_RUN && is_routing_refusal(head->reason);
    if (outcome == RsOutcome_REDIRECT) {
        RsCounter_Add(&request->front->counters.redirects, 1);
        g_strlcpy(request->redirect, head->redirect,
                  sizeof(request->redirect));
    }
    else {
        request->redirect[0] = '\0';
        request->skipped_member_count++;
    }
    apply_retry_policy(request, outcome);
}

static void
on_attempt_head(void *arg, const Rs__Relay__AnswerHead *head)
{
    struct rs_front_attempt *attempt = arg;
    if (head->outcome == RS__RELAY__OUTCOME__OUTCOME_DONE) {
        start_answer(attempt, head);
    }
    else {
        fail_attempt(attempt, head);
    }
}

static void
on_attempt_body(void *arg, const void *data, size_t size, bool last,
                bool broken)
{
    struct rs_front_attempt *attempt = arg;
    if (last) {
        attempt->ended = true;
        close_attempt(attempt);
    }
    RsFrontReply_SendBody(attempt->request, data, size, last, broken);
}
