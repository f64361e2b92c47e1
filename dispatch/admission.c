#include "dispatch/admission.h"

#include <assert.h>
#include <glib.h>

#include "core/id.h"
#include "core/fair_queue.h"

#define MAX_RETRY_AFTER_MS 5000
#define MIN_RETRY_AFTER_MS 1
#define US_PER_MS 1000
/* A request that is no longer waited for keeps its slot until this many mean
 * run times after it was sent. */
#define ABANDONED_SLOT_RUNS 2

enum tracked_state {
    RsAdmission_STATE_QUEUED,
    RsAdmission_STATE_RUNNING,
    /* no longer waited for, may still run at the target; holds its slot */
    RsAdmission_STATE_ABANDONED
};

struct tracked_request {
    struct rs_fair_queue_item item; /* first member: cast to the struct */
    enum tracked_state state;
    uint32_t in_flight; /* when this one was sent, itself included */
    int64_t sent_at_ms;
    int64_t release_at_ms; /* when its slot is freed if it is abandoned */
};

struct rs_admission {
    struct rs_admission_options options;
    struct rs_limit limit;
    uint32_t ceiling;
    uint32_t in_flight;
    struct rs_fair_queue queue;
    int64_t last_progress_at_ms; /* when a request was last sent or ended */
    GHashTable *requests;        /* struct tracked_request by id; owned */
    GQueue abandoned;            /* requests that still hold a slot */
    GQueue events;               /* not yet taken; owned */
};

static uint32_t
current_limit(const struct rs_admission *admission)
{
    uint32_t limit = RsLimit_Value(&admission->limit);
    return MIN(limit, admission->ceiling);
}

/* Returns the estimated time of one run; 0 if unknown. Usually this is the
 * mean run time. If the target is at its limit and no request has been sent or
 * has ended for longer than the mean, the estimate is that longer time: the
 * target may have become slow. */
static double
estimated_run_ms(const struct rs_admission *admission, int64_t now_ms)
{
    double mean_run_ms = admission->limit.mean_run_us / US_PER_MS;
    if (admission->in_flight == 0 ||
        admission->in_flight < current_limit(admission)) {
        return mean_run_ms;
    }
    double stalled_ms = (double)(now_ms - admission->last_progress_at_ms);
    return mean_run_ms == 0.0 ? 0.0 : MAX(mean_run_ms, stalled_ms);
}

/* Returns the estimated milliseconds until a request starts that has `ahead`
 * queued requests before it. */
static double
estimated_wait_ms(const struct rs_admission *admission, int64_t now_ms,
                  uint32_t ahead)
{
    uint32_t parallel =
        MIN(current_limit(admission), admission->options.slots);
    double per_request_ms =
        estimated_run_ms(admission, now_ms) / MAX(parallel, 1);
    return per_request_ms * ((double)ahead + 1.0);
}

static uint32_t
estimate_retry_after_ms(const struct rs_admission *admission, int64_t now_ms)
{
    double wait = estimated_wait_ms(admission, now_ms, admission->queue.count);
    return (uint32_t)CLAMP(wait, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
}

static bool
can_meet_deadline(const struct rs_admission *admission, int64_t now_ms,
                  int64_t deadline_ms, double wait_ms)
{
    double end_ms =
        (double)now_ms + wait_ms + estimated_run_ms(admission, now_ms);
    return deadline_ms > now_ms && end_ms <= (double)deadline_ms;
}

/* Returns whether a request's deadline allows it to be sent now. For an idle
 * target only the deadline itself is checked here: otherwise an estimate that
 * is too high would refuse every request and never be corrected. A request
 * that has to be queued gets no such exception. */
static bool
can_send(const struct rs_admission *admission, int64_t now_ms,
         int64_t deadline_ms)
{
    if (admission->in_flight == 0) {
        return deadline_ms > now_ms;
    }
    return can_meet_deadline(admission, now_ms, deadline_ms, 0.0);
}

static struct rs_admission_verdict
make_refusal(const struct rs_admission *admission, int64_t now_ms,
             enum rs_admission_reason reason)
{
    struct rs_admission_verdict verdict = {
        .kind = RsAdmission_REFUSED,
        .reason = reason,
        .retry_after_ms = estimate_retry_after_ms(admission, now_ms)};
    return verdict;
}

static void
push_event(struct rs_admission *admission, uint64_t id,
           struct rs_admission_verdict verdict)
{
    struct rs_admission_event *event = g_new(struct rs_admission_event, 1);
    event->id = id;
    event->verdict = verdict;
    g_queue_push_tail(&admission->events, event);
}

static void
refuse_queued(struct rs_admission *admission, int64_t now_ms,
              struct tracked_request *tracked, enum rs_admission_reason reason)
{
    uint64_t id = tracked->item.id;
    RsFairQueue_Remove(&admission->queue, &tracked->item);
    push_event(admission, id, make_refusal(admission, now_ms, reason));
    g_hash_table_remove(admission->requests, &id);
}

static void
mark_sent(struct rs_admission *admission, int64_t now_ms,
          struct tracked_request *tracked)
{
    admission->in_flight++;
    tracked->state = RsAdmission_STATE_RUNNING;
    tracked->in_flight = admission->in_flight;
    tracked->sent_at_ms = now_ms;
    admission->last_progress_at_ms = now_ms;
}

/* Takes requests from the queue in its order while the limit allows to send
 * another one. Emits a RUN event for each, or refuses it if it would miss its
 * deadline. */
static void
send_queued(struct rs_admission *admission, int64_t now_ms)
{
    while (admission->queue.count > 0 &&
           admission->in_flight < current_limit(admission)) {
        struct tracked_request *tracked =
            (struct tracked_request *)RsFairQueue_First(&admission->queue);
        if (!can_meet_deadline(admission, now_ms, tracked->item.deadline_ms,
                               0.0)) {
            refuse_queued(admission, now_ms, tracked, RsAdmission_DEADLINE);
            continue;
        }
        RsFairQueue_Take(&admission->queue, &tracked->item);
        mark_sent(admission, now_ms, tracked);
        struct rs_admission_verdict verdict = {.kind = RsAdmission_RUN};
        push_event(admission, tracked->item.id, verdict);
    }
}

static struct rs_fair_queue_item
make_item(const struct rs_admission_request *request)
{
    struct rs_fair_queue_item item = {
        .id = request->id,
        .flow_id = RsId_Combine(request->caller, request->service),
        .deadline_ms = request->deadline_ms};
    return item;
}

static struct tracked_request *
track_request(struct rs_admission *admission,
              const struct rs_fair_queue_item *item)
{
    struct tracked_request *tracked = g_new0(struct tracked_request, 1);
    tracked->item = *item;
    g_hash_table_insert(admission->requests, &tracked->item.id, tracked);
    return tracked;
}

/* Makes room in a full queue by refusing the last request of the longest
 * flow. Returns false, and refuses none, if that flow is no longer than the
 * incoming request's own flow would become. */
static bool
evict_for(struct rs_admission *admission, int64_t now_ms,
          const struct rs_fair_queue_item *incoming)
{
    struct rs_fair_queue_item *last =
        RsFairQueue_LastOfLongest(&admission->queue, incoming->flow_id);
    if (last == NULL) {
        return false;
    }
    refuse_queued(admission, now_ms, (struct tracked_request *)last,
                  RsAdmission_QUEUE_FULL);
    return true;
}

/* Queues a request, or refuses it if it would miss its deadline or evict_for()
 * makes no room in a full queue. */
static struct rs_admission_verdict
enqueue(struct rs_admission *admission, int64_t now_ms,
        const struct rs_fair_queue_item *item)
{
    struct rs_admission_verdict verdict = {.kind = RsAdmission_QUEUED};
    uint32_t ahead = RsFairQueue_CountAhead(&admission->queue, item);
    if (!can_meet_deadline(admission, now_ms, item->deadline_ms,
                           estimated_wait_ms(admission, now_ms, ahead))) {
        return make_refusal(admission, now_ms, RsAdmission_DEADLINE);
    }
    if (admission->queue.count >= admission->options.queue_capacity &&
        !evict_for(admission, now_ms, item)) {
        return make_refusal(admission, now_ms, RsAdmission_QUEUE_FULL);
    }
    struct tracked_request *tracked = track_request(admission, item);
    RsFairQueue_Push(&admission->queue, &tracked->item);
    return verdict;
}

/* Returns a new object, which the caller frees with RsAdmission_Free().
 * `slots` and `queue_capacity` must be at least 1. */
struct rs_admission *
RsAdmission_New(const struct rs_admission_options *options)
{
    assert(options->queue_capacity > 0);
    struct rs_admission *admission = g_new0(struct rs_admission, 1);
    admission->options = *options;
    admission->ceiling = UINT32_MAX;
    admission->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    RsFairQueue_Init(&admission->queue);
    g_queue_init(&admission->abandoned);
    g_queue_init(&admission->events);
    RsLimit_Init(&admission->limit, options->limit_policy, options->slots,
                 options->window);
    return admission;
}

/* Frees `admission` with its queued requests and events. NULL is allowed. */
void
RsAdmission_Free(struct rs_admission *admission)
{
    if (admission == NULL) {
        return;
    }
    g_hash_table_destroy(admission->requests);
    RsFairQueue_Free(&admission->queue);
    g_queue_clear(&admission->abandoned);
    g_queue_clear_full(&admission->events, g_free);
    g_free(admission);
}

/* Submits a request and sets `verdict`. RUN: the caller must send it now.
 * QUEUED: a later event brings the decision. REFUSED: it will not be sent, and
 * its id is no longer known here. To make room in a full queue another queued
 * request may be refused, with an event. Returns 0; or RsAdmission_DUPLICATE,
 * without a verdict, if a request that is queued, running or holds a slot has
 * the same id. */
int
RsAdmission_Submit(struct rs_admission *admission, int64_t now_ms,
                   const struct rs_admission_request *request,
                   struct rs_admission_verdict *verdict)
{
    if (g_hash_table_contains(admission->requests, &request->id)) {
        return RsAdmission_DUPLICATE;
    }
    if (!can_send(admission, now_ms, request->deadline_ms)) {
        *verdict = make_refusal(admission, now_ms, RsAdmission_DEADLINE);
        return 0;
    }
    struct rs_fair_queue_item item = make_item(request);
    if (admission->in_flight >= current_limit(admission)) {
        *verdict = enqueue(admission, now_ms, &item);
        return 0;
    }
    assert(admission->queue.count == 0);
    mark_sent(admission, now_ms, track_request(admission, &item));
    *verdict = (struct rs_admission_verdict){.kind = RsAdmission_RUN};
    return 0;
}

static enum rs_limit_outcome
limit_outcome(enum rs_admission_outcome outcome)
{
    switch (outcome) {
    case RsAdmission_DONE:
        return RsLimit_DONE;
    case RsAdmission_TARGET_REFUSED:
        return RsLimit_REFUSED;
    case RsAdmission_TIMED_OUT:
        return RsLimit_TIMEOUT;
    case RsAdmission_ABANDONED:
    case RsAdmission_FAILED:
        break;
    }
    return RsLimit_OTHER;
}

/* Keeps the slot of a request that is no longer waited for but may still be
 * running, until the time that RsAdmission_Finish() states. */
static void
hold_slot(struct rs_admission *admission, struct tracked_request *tracked,
          int64_t now_ms)
{
    double hold_ms =
        ABANDONED_SLOT_RUNS * admission->limit.mean_run_us / US_PER_MS;
    hold_ms = MIN(hold_ms, (double)admission->options.max_run_ms);
    tracked->state = RsAdmission_STATE_ABANDONED;
    tracked->release_at_ms = tracked->sent_at_ms + (int64_t)hold_ms;
    tracked->release_at_ms = MAX(tracked->release_at_ms, now_ms);
    g_queue_push_tail(&admission->abandoned, tracked);
}

static void
release_expired_slots(struct rs_admission *admission, int64_t now_ms)
{
    GList *link = admission->abandoned.head;
    while (link != NULL) {
        GList *next = link->next;
        struct tracked_request *tracked = link->data;
        if (tracked->release_at_ms <= now_ms) {
            g_queue_delete_link(&admission->abandoned, link);
            admission->in_flight--;
            g_hash_table_remove(admission->requests, &tracked->item.id);
        }
        link = next;
    }
}

/* Ends a request whose verdict was RUN. Events may follow for queued requests.
 * After TIMED_OUT or ABANDONED the request may still be running, so its slot
 * stays taken until ABANDONED_SLOT_RUNS mean run times, but at most
 * `max_run_ms`, have passed since it was sent. `latency_us` is the time since
 * it was sent; it counts for DONE and TIMED_OUT only. Returns 0, or
 * RsAdmission_UNKNOWN_REQUEST if no running request has this id. */
int
RsAdmission_Finish(struct rs_admission *admission, int64_t now_ms, uint64_t id,
                   enum rs_admission_outcome outcome, int64_t latency_us)
{
    struct tracked_request *tracked =
        g_hash_table_lookup(admission->requests, &id);
    if (tracked == NULL || tracked->state != RsAdmission_STATE_RUNNING) {
        return RsAdmission_UNKNOWN_REQUEST;
    }
    struct rs_limit_sample sample = {
        .outcome = limit_outcome(outcome),
        .now_ms = now_ms,
        .latency_us = latency_us,
        .in_flight = tracked->in_flight,
        .limit_reached = admission->in_flight >= current_limit(admission)};
    admission->options.limit_policy->add_sample(&admission->limit, &sample);
    admission->last_progress_at_ms = now_ms;
    if (outcome == RsAdmission_ABANDONED || outcome == RsAdmission_TIMED_OUT) {
        hold_slot(admission, tracked, now_ms);
    }
    else {
        admission->in_flight--;
        g_hash_table_remove(admission->requests, &id);
    }
    release_expired_slots(admission, now_ms);
    send_queued(admission, now_ms);
    return 0;
}

/* Removes a queued request; no event follows for it. A request whose verdict
 * was already RUN must be ended by RsAdmission_Finish() instead.
 * Returns 0, or RsAdmission_UNKNOWN_REQUEST if no queued request has this
 * id. */
int
RsAdmission_Cancel(struct rs_admission *admission, int64_t now_ms, uint64_t id)
{
    struct tracked_request *tracked =
        g_hash_table_lookup(admission->requests, &id);
    if (tracked == NULL || tracked->state != RsAdmission_STATE_QUEUED) {
        return RsAdmission_UNKNOWN_REQUEST;
    }
    RsFairQueue_Remove(&admission->queue, &tracked->item);
    g_hash_table_remove(admission->requests, &id);
    send_queued(admission, now_ms);
    return 0;
}

/* Removes the oldest event and copies it to `event`. Returns false if there
 * is none. */
bool
RsAdmission_NextEvent(struct rs_admission *admission,
                      struct rs_admission_event *event)
{
    struct rs_admission_event *first = g_queue_pop_head(&admission->events);
    if (first == NULL) {
        return false;
    }
    *event = *first;
    g_free(first);
    return true;
}

/* Frees the slots of abandoned requests whose time is over, emits RUN events
 * for queued requests while the limit allows it, and refuses queued requests
 * that would miss their deadline, checked in the order in which the queue is
 * served. Must be called every few milliseconds while a request is queued or
 * an abandoned one holds a slot. */
void
RsAdmission_Expire(struct rs_admission *admission, int64_t now_ms)
{
    release_expired_slots(admission, now_ms);
    send_queued(admission, now_ms);
    uint32_t count = admission->queue.count;
    struct rs_fair_queue_item **order = RsFairQueue_InOrder(&admission->queue);
    uint32_t ahead = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (can_meet_deadline(admission, now_ms, order[i]->deadline_ms,
                              estimated_wait_ms(admission, now_ms, ahead))) {
            ahead++;
        }
        else {
            refuse_queued(admission, now_ms,
                          (struct tracked_request *)order[i],
                          RsAdmission_DEADLINE);
        }
    }
    g_free(order);
}

/* Sets an upper bound on the limit, for a target that is warming up. With
 * 0 nothing is sent; UINT32_MAX removes the bound. */
void
RsAdmission_SetCeiling(struct rs_admission *admission, int64_t now_ms,
                       uint32_t ceiling)
{
    admission->ceiling = ceiling;
    send_queued(admission, now_ms);
}

/* Copies the current limit, counts and mean run time to `status`. */
void
RsAdmission_GetStatus(const struct rs_admission *admission,
                      struct rs_admission_status *status)
{
    status->limit = current_limit(admission);
    status->in_flight = admission->in_flight;
    status->queued = admission->queue.count;
    status->mean_run_us = (int64_t)admission->limit.mean_run_us;
}

/* Returns the reason's name as callers get it, or "" for NO_REASON. The
 * string is static. */
const char *
RsAdmission_ReasonText(enum rs_admission_reason reason)
{
    switch (reason) {
    case RsAdmission_NO_REASON:
        break;
    case RsAdmission_QUEUE_FULL:
        return "queue-full";
    case RsAdmission_DEADLINE:
        return "deadline";
    }
    return "";
}
