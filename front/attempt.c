/* The tries of a request: where each goes, and what follows its outcome. */

#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "front/request.h"

static void on_try_head(void *arg, const Rs__Relay__AnswerHead *head);
static void on_try_body(void *arg, const void *data, size_t size, bool last,
                        bool broken);

static const struct rs_target_request_events try_events = {
    on_try_head,
    on_try_body,
};

static struct rs_front_try *
free_try(struct rs_front_request *request)
{
    for (size_t i = 0; i < RsRequest_MAX_TRIES_OUT; i++) {
        if (!request->tries[i].active) {
            return &request->tries[i];
        }
    }
    return NULL;
}

static void
send_local(struct rs_front_try *attempt)
{
    struct rs_front_request *request = attempt->request;
    Rs__Relay__Forward *forward = request->forward;
    size_t size = rs__relay__forward__get_packed_size(forward);
    uint8_t *data = g_malloc(size);
    rs__relay__forward__pack(forward, data);
    Rs__Relay__Forward *copy = rs__relay__forward__unpack(NULL, size, data);
    g_free(data);
    attempt->ended_early = false;
    struct rs_target_request *work = RsHolder_Forward(
        request->front->options.holder, copy, &try_events, attempt);
    if (!attempt->ended_early && attempt->active) {
        attempt->work = work;
    }
}

static void
send_try(struct rs_front_try *attempt, const char *process)
{
    struct rs_front_request *request = attempt->request;
    struct rs_front *front = request->front;
    int64_t now_ms = RsClock_NowMs();
    RsCounter_Add(&front->counters.tries, 1);
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
        RsHealth_RecordSent(&attempt->target->health, now_ms, RsHealth_WORK);
    }
    if (strcmp(process, front->self) == 0) {
        send_local(attempt);
        return;
    }
    const struct rs_view_vm *vm = RsView_Vm(front->view, process);
    attempt->stream =
        RsRelayClient_Send(front->relay, process, &vm->relay, request->forward,
                           &try_events, attempt);
}

/* Looks up where the request goes and sends it there. Returns whether there
 * was such a place. */
static bool
send_somewhere(struct rs_front_request *request,
               const struct rs_front_target *avoid, int64_t now_ms)
{
    struct rs_front *front = request->front;
    struct rs_front_try *attempt = free_try(request);
    g_assert(attempt != NULL);
    memset(attempt, 0, sizeof(*attempt));
    attempt->request = request;
    const char *process =
        request->forward->keyed
            ? RsFrontRoute_OfSlice(request, now_ms)
            : RsFrontRoute_Choose(request, attempt, avoid, now_ms);
    bool known = process != NULL && (strcmp(process, front->self) == 0 ||
                                     RsView_Vm(front->view, process) != NULL);
    if (!known) {
        return false;
    }
    attempt->active = true;
    send_try(attempt, process);
    return true;
}

static void
schedule(struct rs_front_request *request, int64_t at_ms)
{
    request->next_try_ms = MAX(at_ms, 1);
    if (!request->in_due) {
        request->in_due = true;
        g_queue_push_tail(&request->front->due, request);
    }
}

static void
decide(struct rs_front_request *request, enum rs_outcome outcome)
{
    struct rs_retry_decision decision;
    RsRetry_Decide(request->budget, &request->retry, RsClock_NowMs(), outcome,
                   request->retry_after_ms, &decision);
    switch (decision.action) {
    case RsRetry_RETRY:
        request->redirect[0] = '\0';
        schedule(request, decision.at_ms);
        break;
    case RsRetry_REDIRECT:
        schedule(request, decision.at_ms);
        break;
    case RsRetry_ANSWER:
        RsFrontReply_Refuse(request, decision.outcome);
        break;
    default:
        break;
    }
}

/* The cell is cut off: the caller learns that at once, and when it is tried
 * again. */
static void
refuse_unreachable(struct rs_front_request *request)
{
    g_strlcpy(request->last_reason, "cell-unreachable",
              sizeof(request->last_reason));
    request->retry_after_ms = request->unreachable_ms;
    RsFrontReply_Refuse(request, request->retry.may_have_run
                                     ? RsOutcome_UNKNOWN
                                     : RsOutcome_NOT_RUN);
}

/* Sends the next try; when there is nowhere to send it, that counts as one
 * that was not run. */
void
RsFrontAttempt_Begin(struct rs_front_request *request, int64_t now_ms)
{
    request->next_try_ms = 0;
    if (send_somewhere(request, NULL, now_ms)) {
        if (!request->finished && request->hedge_at_ms == 0) {
            request->hedge_at_ms =
                RsRetry_HedgeAtMs(request->budget, &request->retry, now_ms);
        }
        return;
    }
    if (request->unreachable_ms > 0) {
        refuse_unreachable(request);
        return;
    }
    g_strlcpy(request->last_reason, "nowhere-to-send",
              sizeof(request->last_reason));
    request->retry.no_target_asked = true;
    RsRetry_RecordSent(&request->retry);
    decide(request, RsOutcome_NOT_RUN);
}

/* Sends a second copy of a request without a key to another target, when its
 * budget allows. */
void
RsFrontAttempt_Hedge(struct rs_front_request *request, int64_t now_ms)
{
    const struct rs_front_target *first = request->tries[0].target;
    request->hedge_at_ms = RsClock_NEVER_MS;
    if (free_try(request) == NULL || !request->tries[0].active ||
        !RsRetry_TryHedge(request->budget, &request->retry, now_ms)) {
        return;
    }
    RsCounter_Add(&request->front->counters.hedges, 1);
    send_somewhere(request, first, now_ms);
}

static void
observe_target(struct rs_front_try *attempt, bool done, bool refused)
{
    struct rs_front_target *target = attempt->target;
    int64_t latency_us = RsClock_NowUs() - attempt->sent_us;
    if (target == NULL) {
        return;
    }
    target->in_flight--;
    attempt->target = NULL;
    if (done) {
        RsHealth_RecordAnswer(&target->health, RsClock_NowMs(), RsHealth_WORK,
                              latency_us);
    }
    else if (refused) {
        RsHealth_RecordRefusal(&target->health, RsClock_NowMs());
    }
    else {
        RsHealth_RecordNoAnswer(&target->health, RsHealth_WORK, true);
    }
}

static void
close_try(struct rs_front_try *attempt)
{
    attempt->active = false;
    attempt->stream = NULL;
    attempt->work = NULL;
}

static void
cancel_try(struct rs_front_try *attempt)
{
    if (!attempt->active) {
        return;
    }
    struct rs_relay_stream *stream = attempt->stream;
    struct rs_target_request *work = attempt->work;
    observe_target(attempt, false, false);
    close_try(attempt);
    if (stream != NULL) {
        RsRelayClient_Cancel(stream);
    }
    if (work != NULL) {
        RsHolder_Cancel(attempt->request->front->options.holder, work);
    }
}

/* Drops all tries that are under way. */
void
RsFrontAttempt_CancelAll(struct rs_front_request *request)
{
    for (size_t i = 0; i < RsRequest_MAX_TRIES_OUT; i++) {
        cancel_try(&request->tries[i]);
    }
    request->answering = NULL;
}

/* So many bytes of a try's answer were taken by the caller. */
void
RsFrontAttempt_Credit(struct rs_front_try *attempt, uint32_t size_bytes)
{
    if (attempt->stream != NULL) {
        RsRelayClient_SendCredit(attempt->stream, size_bytes);
    }
    else if (attempt->work != NULL) {
        RsHolder_AddCredit(attempt->work, size_bytes);
    }
}

static void
keep_hint(struct rs_front_request *request, const char *process)
{
    if (!request->forward->keyed) {
        return;
    }
    uint64_t slice = request->forward->slice;
    const char *known = g_hash_table_lookup(request->front->hints, &slice);
    if (known == NULL || strcmp(known, process) != 0) {
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

static void
start_answer(struct rs_front_try *attempt, const Rs__Relay__AnswerHead *head)
{
    struct rs_front_request *request = attempt->request;
    struct rs_front *front = request->front;
    int64_t latency_us = RsClock_NowUs() - attempt->sent_us;
    observe_target(attempt, true, false);
    keep_hint(request, attempt->process);
    RsRetry_RecordLatency(request->budget, latency_us);
    struct rs_retry_decision decision;
    RsRetry_Decide(request->budget, &request->retry, RsClock_NowMs(),
                   RsOutcome_DONE, 0, &decision);
    request->answering = attempt;
    for (size_t i = 0; i < RsRequest_MAX_TRIES_OUT; i++) {
        if (&request->tries[i] != attempt) {
            cancel_try(&request->tries[i]);
        }
    }
    RsHistogram_Record(&front->counters.latency_us,
                       (uint64_t)(RsClock_NowUs() - request->arrived_us));
    RsFrontReply_Head(request, head);
}

/* Tells whether a refusal came before any target was asked: the slice is on
 * its way, or the process could not be reached. */
static bool
is_unasked(const char *reason)
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
fail_try(struct rs_front_try *attempt, const Rs__Relay__AnswerHead *head)
{
    struct rs_front_request *request = attempt->request;
    enum rs_outcome outcome = (enum rs_outcome)head->outcome;
    observe_target(attempt, false, outcome == RsOutcome_NOT_RUN);
    attempt->ended_early = true;
    close_try(attempt);
    drop_hint(request);
    g_strlcpy(request->last_reason, head->reason,
              sizeof(request->last_reason));
    request->retry_after_ms = head->retry_after_ms;
    request->retry.no_target_asked =
        outcome == RsOutcome_NOT_RUN && is_unasked(head->reason);
    if (outcome == RsOutcome_REDIRECT) {
        RsCounter_Add(&request->front->counters.redirects, 1);
        g_strlcpy(request->redirect, head->redirect,
                  sizeof(request->redirect));
    }
    else {
        request->redirect[0] = '\0';
        request->skip++;
    }
    decide(request, outcome);
}

static void
on_try_head(void *arg, const Rs__Relay__AnswerHead *head)
{
    struct rs_front_try *attempt = arg;
    if (head->outcome == RS__RELAY__OUTCOME__OUTCOME_DONE) {
        start_answer(attempt, head);
    }
    else {
        fail_try(attempt, head);
    }
}

static void
on_try_body(void *arg, const void *data, size_t size, bool last, bool broken)
{
    struct rs_front_try *attempt = arg;
    if (last) {
        attempt->ended_early = true;
        close_try(attempt);
    }
    RsFrontReply_Body(attempt->request, data, size, last, broken);
}
