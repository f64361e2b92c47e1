/* Applies the decisions of admission control to requests, sends requests that
 * are ready, and ends requests by delivering their final event to the
 * front. */

#include "core/clock.h"
#include "core/log.h"
#include "dispatch/target.h"

static void
count_outcome(struct rs_target_counters *counters, enum rs_outcome outcome)
{
    switch (outcome) {
    case RsOutcome_DONE:
        RsCounter_Add(&counters->done, 1);
        break;
    case RsOutcome_UNKNOWN:
        RsCounter_Add(&counters->unknown, 1);
        break;
    default:
        RsCounter_Add(&counters->not_run, 1);
        break;
    }
}

/* Delivers the final event of a request and frees the request. `reason` and
 * `retry_after_ms` go into the answer's head. If the head was delivered
 * already, the event is the end of the body, marked as broken unless the
 * outcome is done. */
void
RsTargetRequest_Finish(struct rs_target_request *request,
                       enum rs_outcome outcome, const char *reason,
                       uint32_t retry_after_ms)
{
    struct rs_target *target = request->target;
    const struct rs_target_request_events *events = request->events;
    void *arg = request->arg;
    bool head_delivered = request->head_delivered;
    Rs__Relay__AnswerHead head = RS__RELAY__ANSWER_HEAD__INIT;
    head.outcome = (Rs__Relay__Outcome)outcome;
    head.reason = (char *)reason;
    head.retry_after_ms = retry_after_ms;
    count_outcome(target->options.counters, outcome);
    RsLog_EVENT(RsLog_DEBUG, "request_ended",
                RsLog_TEXT("request_id", request->forward->request_id),
                RsLog_TEXT("target", target->name),
                RsLog_NUMBER("outcome", outcome),
                RsLog_TEXT("reason", reason));
    g_hash_table_remove(target->requests, &request->id);
    if (head_delivered) {
        events->body(arg, NULL, 0, true, outcome != RsOutcome_DONE);
    }
    else {
        events->head(arg, &head);
    }
}

/* Handles a decision on a request that has ended already: frees the slot if
 * the decision was to run it. */
static void
release_slot(struct rs_target *target, const struct rs_admission_event *event,
             int64_t now_ms)
{
    if (event->verdict.kind == RsAdmission_RUN) {
        RsAdmission_Finish(target->admission, now_ms, event->id,
                           RsAdmission_FAILED, 0);
    }
}

/* Applies one decision of admission control. */
static void
start_or_refuse(struct rs_target *target,
                const struct rs_admission_event *event, int64_t now_ms)
{
    struct rs_target_request *request =
        g_hash_table_lookup(target->requests, &event->id);
    if (request == NULL) {
        release_slot(target, event, now_ms);
        return;
    }
    if (event->verdict.kind == RsAdmission_RUN) {
        g_queue_push_tail(&target->ready, request);
        return;
    }
    RsTargetRequest_Finish(request, RsOutcome_NOT_RUN,
                           RsAdmission_ReasonText(event->verdict.reason),
                           event->verdict.retry_after_ms);
}

/* Applies the decisions of admission control on requests that were queued. */
void
RsTargetRequest_ApplyDecisions(struct rs_target *target, int64_t now_ms)
{
    struct rs_admission_event event;
    while (RsAdmission_NextEvent(target->admission, &event)) {
        start_or_refuse(target, &event, now_ms);
    }
}

/* Applies the decisions of admission control on queued requests, and sends
 * what may be sent. */
void
RsTargetRequest_Advance(struct rs_target *target, int64_t now_ms)
{
    RsTargetRequest_ApplyDecisions(target, now_ms);
    RsTargetPool_SendReady(target, now_ms);
}
