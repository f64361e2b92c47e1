/* The end of a work: its head or its last body goes to the front. */

#include "core/clock.h"
#include "core/log.h"
#include "dispatch/target.h"

static void
count(struct rs_target_counters *counters, enum rs_outcome outcome)
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

/* Ends a work and frees it. A head that was passed on already is followed by
 * the body's end, broken unless the outcome is done. */
void
RsTargetWork_Finish(struct rs_work *work, enum rs_outcome outcome,
                    const char *reason, uint32_t retry_after_ms)
{
    struct rs_target *target = work->target;
    const struct rs_work_events *events = work->events;
    void *arg = work->arg;
    bool head_passed = work->head_passed;
    Rs__Relay__AnswerHead head = RS__RELAY__ANSWER_HEAD__INIT;
    head.outcome = (Rs__Relay__Outcome)outcome;
    head.reason = (char *)reason;
    head.retry_after_ms = retry_after_ms;
    count(target->options.counters, outcome);
    RsLog_EVENT(RsLog_DEBUG, "request_ended",
                RsLog_TEXT("request_id", work->forward->request_id),
                RsLog_TEXT("target", target->name),
                RsLog_NUMBER("outcome", outcome),
                RsLog_TEXT("reason", reason));
    g_hash_table_remove(target->works, &work->id);
    if (head_passed) {
        events->body(arg, NULL, 0, true, outcome != RsOutcome_DONE);
    }
    else {
        events->head(arg, &head);
    }
}

/* A work was ended before the word came that it may run: nobody else would
 * give its place back. */
static void
forget(struct rs_target *target, const struct rs_admission_event *event,
       int64_t now_ms)
{
    if (event->verdict.kind == RsAdmission_RUN) {
        RsAdmission_Done(target->admission, now_ms, event->id,
                         RsAdmission_FAILED, 0);
    }
}

static void
start_or_refuse(struct rs_target *target,
                const struct rs_admission_event *event, int64_t now_ms)
{
    struct rs_work *work = g_hash_table_lookup(target->works, &event->id);
    if (work == NULL) {
        forget(target, event, now_ms);
        return;
    }
    if (event->verdict.kind == RsAdmission_RUN) {
        g_queue_push_tail(&target->ready, work);
        return;
    }
    RsTargetWork_Finish(work, RsOutcome_NOT_RUN,
                        RsAdmission_ReasonText(event->verdict.reason),
                        event->verdict.retry_after_ms);
}

/* Takes in what the admission decided of requests that waited. */
void
RsTargetWork_TakeEvents(struct rs_target *target, int64_t now_ms)
{
    struct rs_admission_event event;
    while (RsAdmission_NextEvent(target->admission, &event)) {
        start_or_refuse(target, &event, now_ms);
    }
}

/* The same, and sends what may be sent. */
void
RsTargetWork_Events(struct rs_target *target, int64_t now_ms)
{
    RsTargetWork_TakeEvents(target, now_ms);
    RsTargetPool_Run(target, now_ms);
}
