#include "dispatch/admission.h"

#include <assert.h>
#include <glib.h>

#include "core/id.h"
#include "dispatch/fair_queue.h"

#define MAX_RETRY_AFTER_MS 5000
#define MIN_RETRY_AFTER_MS 1
#define US_PER_MS 1000
/* An abandoned request keeps its place for so many usual runs. */
#define LINGER_RUNS 2

enum entry_state {
    RsAdmission_ENTRY_QUEUED,
    RsAdmission_ENTRY_RUNNING,
    RsAdmission_ENTRY_LINGERING /* given up, but it may still run at the target
                                 */
};

struct entry {
    struct rs_fair_queue_item item; /* first, so that it is the entry */
    enum entry_state state;
    uint32_t in_flight; /* when it was sent */
    int64_t sent_ms;
    int64_t release_ms; /* when lingering */
};

struct rs_admission {
    struct rs_admission_options options;
    struct rs_limit limit;
    uint32_t ceiling;
    uint32_t in_flight;
    struct rs_fair_queue queue;
    int64_t last_progress_ms; /* the last send or answer */
    GHashTable *entries;      /* by request id; owns them */
    GQueue lingering;
    GQueue events;
};

static uint32_t
limit_now(const struct rs_admission *admission)
{
    uint32_t limit = RsLimit_Value(&admission->limit);
    return MIN(limit, admission->ceiling);
}

/* The estimate of one run. While nothing moves at a busy target, the silence
 * itself is the better estimate. */
static double
run_ms(const struct rs_admission *admission, int64_t now_ms)
{
    double learned_ms = admission->limit.run_us / US_PER_MS;
    if (admission->in_flight == 0 ||
        admission->in_flight < limit_now(admission)) {
        return learned_ms;
    }
    double silent_ms = (double)(now_ms - admission->last_progress_ms);
    return learned_ms == 0.0 ? 0.0 : MAX(learned_ms, silent_ms);
}

/* Milliseconds until a request with `ahead` queued ones before it starts. */
static double
wait_ms(const struct rs_admission *admission, int64_t now_ms, uint32_t ahead)
{
    uint32_t parallel = MIN(limit_now(admission), admission->options.slots);
    double one_ms = run_ms(admission, now_ms) / MAX(parallel, 1);
    return one_ms * ((double)ahead + 1.0);
}

static uint32_t
retry_after(const struct rs_admission *admission, int64_t now_ms)
{
    double wait = wait_ms(admission, now_ms, admission->queue.count);
    return (uint32_t)CLAMP(wait, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
}

static bool
can_make_it(const struct rs_admission *admission, int64_t now_ms,
            int64_t deadline_ms, double before_ms)
{
    double end_ms = (double)now_ms + before_ms + run_ms(admission, now_ms);
    return deadline_ms > now_ms && end_ms <= (double)deadline_ms;
}

/* Whether to send a request now. A target with nothing to do always gets one
 * that is not late: the estimate would not be learned anew without. */
static bool
can_start(const struct rs_admission *admission, int64_t now_ms,
          int64_t deadline_ms)
{
    if (admission->in_flight == 0) {
        return deadline_ms > now_ms;
    }
    return can_make_it(admission, now_ms, deadline_ms, 0.0);
}

static struct rs_admission_verdict
refusal(const struct rs_admission *admission, int64_t now_ms,
        enum rs_admission_reason reason)
{
    struct rs_admission_verdict verdict = {.kind = RsAdmission_REFUSED,
                                           .reason = reason,
                                           .retry_after_ms =
                                               retry_after(admission, now_ms)};
    return verdict;
}

static void
emit(struct rs_admission *admission, uint64_t id,
     struct rs_admission_verdict verdict)
{
    struct rs_admission_event *event = g_new(struct rs_admission_event, 1);
    event->id = id;
    event->verdict = verdict;
    g_queue_push_tail(&admission->events, event);
}

static void
refuse_queued(struct rs_admission *admission, int64_t now_ms,
              struct entry *entry, enum rs_admission_reason reason)
{
    uint64_t id = entry->item.id;
    RsFairQueue_Remove(&admission->queue, &entry->item);
    emit(admission, id, refusal(admission, now_ms, reason));
    g_hash_table_remove(admission->entries, &id);
}

static void
send_entry(struct rs_admission *admission, int64_t now_ms, struct entry *entry)
{
    admission->in_flight++;
    entry->state = RsAdmission_ENTRY_RUNNING;
    entry->in_flight = admission->in_flight;
    entry->sent_ms = now_ms;
    admission->last_progress_ms = now_ms;
}

/* Sends from the queue while the limit allows it. */
static void
pump(struct rs_admission *admission, int64_t now_ms)
{
    while (admission->queue.count > 0 &&
           admission->in_flight < limit_now(admission)) {
        struct entry *entry =
            (struct entry *)RsFairQueue_First(&admission->queue);
        if (!can_make_it(admission, now_ms, entry->item.deadline_ms, 0.0)) {
            refuse_queued(admission, now_ms, entry, RsAdmission_DEADLINE);
            continue;
        }
        RsFairQueue_Take(&admission->queue, &entry->item);
        send_entry(admission, now_ms, entry);
        struct rs_admission_verdict verdict = {.kind = RsAdmission_RUN};
        emit(admission, entry->item.id, verdict);
    }
}

static struct rs_fair_queue_item
item_of(const struct rs_admission_request *request)
{
    struct rs_fair_queue_item item = {
        .id = request->id,
        .flow_id = RsId_Mix(request->caller, request->service),
        .deadline_ms = request->deadline_ms};
    return item;
}

static struct entry *
add_entry(struct rs_admission *admission,
          const struct rs_fair_queue_item *item)
{
    struct entry *entry = g_new0(struct entry, 1);
    entry->item = *item;
    g_hash_table_insert(admission->entries, &entry->item.id, entry);
    return entry;
}

/* Makes room in a full queue at the cost of the caller with the most in it.
 * False when that is the newcomer's own. */
static bool
make_room(struct rs_admission *admission, int64_t now_ms,
          const struct rs_fair_queue_item *newcomer)
{
    struct rs_fair_queue_item *last =
        RsFairQueue_LastOfLongest(&admission->queue, newcomer->flow_id);
    if (last == NULL) {
        return false;
    }
    refuse_queued(admission, now_ms, (struct entry *)last,
                  RsAdmission_QUEUE_FULL);
    return true;
}

static struct rs_admission_verdict
enqueue(struct rs_admission *admission, int64_t now_ms,
        const struct rs_fair_queue_item *item)
{
    struct rs_admission_verdict verdict = {.kind = RsAdmission_QUEUED};
    uint32_t ahead = RsFairQueue_CountAhead(&admission->queue, item);
    if (!can_make_it(admission, now_ms, item->deadline_ms,
                     wait_ms(admission, now_ms, ahead))) {
        return refusal(admission, now_ms, RsAdmission_DEADLINE);
    }
    if (admission->queue.count >= admission->options.queue_capacity &&
        !make_room(admission, now_ms, item)) {
        return refusal(admission, now_ms, RsAdmission_QUEUE_FULL);
    }
    struct entry *entry = add_entry(admission, item);
    RsFairQueue_Push(&admission->queue, &entry->item);
    return verdict;
}

/* Returns a new admission that the caller frees with RsAdmission_Free().
 * `slots` and `queue_capacity` are at least 1. */
struct rs_admission *
RsAdmission_New(const struct rs_admission_options *options)
{
    assert(options->queue_capacity > 0);
    struct rs_admission *admission = g_new0(struct rs_admission, 1);
    admission->options = *options;
    admission->ceiling = UINT32_MAX;
    admission->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    RsFairQueue_Start(&admission->queue);
    g_queue_init(&admission->lingering);
    g_queue_init(&admission->events);
    RsLimit_Start(&admission->limit, options->policy, options->slots,
                  options->window);
    return admission;
}

/* Frees `admission`, which may be NULL. */
void
RsAdmission_Free(struct rs_admission *admission)
{
    if (admission == NULL) {
        return;
    }
    g_hash_table_destroy(admission->entries);
    RsFairQueue_Free(&admission->queue);
    g_queue_clear(&admission->lingering);
    g_queue_clear_full(&admission->events, g_free);
    g_free(admission);
}

/* Offers a request and sets `verdict`. RUN: send it now. QUEUED: an event
 * tells what becomes of it. REFUSED: it was not run; forget it. Making room
 * in a full queue may refuse another one, by an event. Returns 0 or
 * RsAdmission_DUPLICATE. */
int
RsAdmission_Offer(struct rs_admission *admission, int64_t now_ms,
                  const struct rs_admission_request *request,
                  struct rs_admission_verdict *verdict)
{
    if (g_hash_table_contains(admission->entries, &request->id)) {
        return RsAdmission_DUPLICATE;
    }
    if (!can_start(admission, now_ms, request->deadline_ms)) {
        *verdict = refusal(admission, now_ms, RsAdmission_DEADLINE);
        return 0;
    }
    struct rs_fair_queue_item item = item_of(request);
    if (admission->in_flight >= limit_now(admission)) {
        *verdict = enqueue(admission, now_ms, &item);
        return 0;
    }
    assert(admission->queue.count == 0);
    send_entry(admission, now_ms, add_entry(admission, &item));
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

static void
linger(struct rs_admission *admission, struct entry *entry, int64_t now_ms)
{
    double held_ms = LINGER_RUNS * admission->limit.run_us / US_PER_MS;
    held_ms = MIN(held_ms, (double)admission->options.max_run_ms);
    entry->state = RsAdmission_ENTRY_LINGERING;
    entry->release_ms = entry->sent_ms + (int64_t)held_ms;
    entry->release_ms = MAX(entry->release_ms, now_ms);
    g_queue_push_tail(&admission->lingering, entry);
}

static void
release_lingering(struct rs_admission *admission, int64_t now_ms)
{
    GList *link = admission->lingering.head;
    while (link != NULL) {
        GList *next = link->next;
        struct entry *entry = link->data;
        if (entry->release_ms <= now_ms) {
            g_queue_delete_link(&admission->lingering, link);
            admission->in_flight--;
            g_hash_table_remove(admission->entries, &entry->item.id);
        }
        link = next;
    }
}

/* Ends a request that was sent; events then tell which ones to send next. A
 * place whose request may still run is kept for about two usual runs more.
 * Returns 0 or RsAdmission_UNKNOWN_REQUEST. */
int
RsAdmission_Done(struct rs_admission *admission, int64_t now_ms, uint64_t id,
                 enum rs_admission_outcome outcome, int64_t latency_us)
{
    struct entry *entry = g_hash_table_lookup(admission->entries, &id);
    if (entry == NULL || entry->state != RsAdmission_ENTRY_RUNNING) {
        return RsAdmission_UNKNOWN_REQUEST;
    }
    struct rs_limit_sample sample = {.outcome = limit_outcome(outcome),
                                     .now_ms = now_ms,
                                     .latency_us = latency_us,
                                     .in_flight = entry->in_flight,
                                     .full = admission->in_flight >=
                                             limit_now(admission)};
    admission->options.policy->learn(&admission->limit, &sample);
    admission->last_progress_ms = now_ms;
    if (outcome == RsAdmission_ABANDONED || outcome == RsAdmission_TIMED_OUT) {
        linger(admission, entry, now_ms);
    }
    else {
        admission->in_flight--;
        g_hash_table_remove(admission->entries, &id);
    }
    release_lingering(admission, now_ms);
    pump(admission, now_ms);
    return 0;
}

/* Takes a queued request out; its place is free at once and no event follows.
 * One that was sent is ended by RsAdmission_Done() with ABANDONED instead.
 * Returns 0 or RsAdmission_UNKNOWN_REQUEST. */
int
RsAdmission_Cancel(struct rs_admission *admission, int64_t now_ms, uint64_t id)
{
    struct entry *entry = g_hash_table_lookup(admission->entries, &id);
    if (entry == NULL || entry->state != RsAdmission_ENTRY_QUEUED) {
        return RsAdmission_UNKNOWN_REQUEST;
    }
    RsFairQueue_Remove(&admission->queue, &entry->item);
    g_hash_table_remove(admission->entries, &id);
    pump(admission, now_ms);
    return 0;
}

/* Takes the next event; false when there is none. */
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

/* Refuses those queued requests that can no longer make their deadline, in
 * the order in which the queue is served. To be called every few
 * milliseconds while anything is queued or lingers. */
void
RsAdmission_Expire(struct rs_admission *admission, int64_t now_ms)
{
    release_lingering(admission, now_ms);
    pump(admission, now_ms);
    uint32_t count = admission->queue.count;
    struct rs_fair_queue_item **order = RsFairQueue_InOrder(&admission->queue);
    uint32_t ahead = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (can_make_it(admission, now_ms, order[i]->deadline_ms,
                        wait_ms(admission, now_ms, ahead))) {
            ahead++;
        }
        else {
            refuse_queued(admission, now_ms, (struct entry *)order[i],
                          RsAdmission_DEADLINE);
        }
    }
    g_free(order);
}

/* Bounds the limit from outside, for a target that is cold; 0 holds all
 * back, UINT32_MAX lifts it. */
void
RsAdmission_SetCeiling(struct rs_admission *admission, int64_t now_ms,
                       uint32_t ceiling)
{
    admission->ceiling = ceiling;
    pump(admission, now_ms);
}

/* Fills `view` with the state as it is. */
void
RsAdmission_Look(const struct rs_admission *admission,
                 struct rs_admission_view *view)
{
    view->limit = limit_now(admission);
    view->in_flight = admission->in_flight;
    view->queued = admission->queue.count;
    view->run_us = (int64_t)admission->limit.run_us;
}

/* Returns the reason as it is told to callers. */
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
