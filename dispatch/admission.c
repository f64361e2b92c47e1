#include "dispatch/admission.h"

#include <assert.h>
#include <glib.h>

#include "core/id.h"

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
    struct rs_admission_request request;
    enum entry_state state;
    struct flow *flow; /* while queued */
    struct entry *previous;
    struct entry *next;
    uint32_t in_flight; /* when it was sent */
    int64_t sent_ms;
    int64_t release_ms; /* when lingering */
};

/* The queued requests of one caller to one service, earliest deadline
 * first. */
struct flow {
    uint64_t id;
    uint64_t turn; /* in which the first one goes */
    uint32_t count;
    guint index; /* in `flows` */
    struct entry *first;
    struct entry *last;
};

struct rs_admission {
    struct rs_admission_options options;
    struct rs_limit limit;
    uint32_t ceiling;
    uint32_t in_flight;
    uint32_t queued;
    uint64_t turn;            /* of the last one that left the queue */
    int64_t last_progress_ms; /* the last send or answer */
    GHashTable *entries;      /* by request id; owns them */
    GHashTable *flow_by_id;   /* owns the flows */
    GPtrArray *flows;
    GQueue lingering;
    GQueue events;
};

/* A queued request's place in the order in which the queue is served. */
struct place {
    uint64_t turn;
    int64_t deadline_ms;
    uint64_t id;
};

static bool
goes_before(const struct place *a, const struct place *b)
{
    if (a->turn != b->turn) {
        return a->turn < b->turn;
    }
    if (a->deadline_ms != b->deadline_ms) {
        return a->deadline_ms < b->deadline_ms;
    }
    return a->id < b->id;
}

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
    double wait = wait_ms(admission, now_ms, admission->queued);
    return (uint32_t)CLAMP(wait, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
}

static bool
can_make_it(const struct rs_admission *admission, int64_t now_ms,
            int64_t deadline_ms, double before_ms)
{
    double end_ms = (double)now_ms + before_ms + run_ms(admission, now_ms);
    return deadline_ms > now_ms && end_ms <= (double)deadline_ms;
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

static uint64_t
flow_id(const struct rs_admission_request *request)
{
    return RsId_Mix(request->caller, request->service);
}

/* A caller without queued requests joins the turn after the present one:
 * joining the present one, a caller with one request at a time would always
 * go before those that went in it. */
static uint64_t
joining_turn(const struct rs_admission *admission)
{
    return admission->turn + 1;
}

static struct flow *
find_or_add_flow(struct rs_admission *admission, uint64_t id)
{
    struct flow *flow = g_hash_table_lookup(admission->flow_by_id, &id);
    if (flow != NULL) {
        return flow;
    }
    flow = g_new0(struct flow, 1);
    flow->id = id;
    flow->turn = joining_turn(admission);
    flow->index = admission->flows->len;
    g_ptr_array_add(admission->flows, flow);
    g_hash_table_insert(admission->flow_by_id, &flow->id, flow);
    return flow;
}

static void
drop_flow(struct rs_admission *admission, struct flow *flow)
{
    guint index = flow->index;
    g_ptr_array_remove_index_fast(admission->flows, index);
    if (index < admission->flows->len) {
        struct flow *moved = g_ptr_array_index(admission->flows, index);
        moved->index = index;
    }
    g_hash_table_remove(admission->flow_by_id, &flow->id);
}

static void
insert_into_flow(struct flow *flow, struct entry *entry)
{
    struct entry *before = flow->last;
    while (before != NULL &&
           before->request.deadline_ms > entry->request.deadline_ms) {
        before = before->previous;
    }
    entry->flow = flow;
    entry->previous = before;
    entry->next = before == NULL ? flow->first : before->next;
    if (entry->next == NULL) {
        flow->last = entry;
    }
    else {
        entry->next->previous = entry;
    }
    if (before == NULL) {
        flow->first = entry;
    }
    else {
        before->next = entry;
    }
    flow->count++;
}

/* Takes `entry` out of the queue; it stays in `entries`. */
static void
remove_from_queue(struct rs_admission *admission, struct entry *entry)
{
    struct flow *flow = entry->flow;
    if (entry->previous == NULL) {
        flow->first = entry->next;
    }
    else {
        entry->previous->next = entry->next;
    }
    if (entry->next == NULL) {
        flow->last = entry->previous;
    }
    else {
        entry->next->previous = entry->previous;
    }
    entry->flow = NULL;
    flow->count--;
    admission->queued--;
    if (flow->count == 0) {
        drop_flow(admission, flow);
    }
}

static void
refuse_queued(struct rs_admission *admission, int64_t now_ms,
              struct entry *entry, enum rs_admission_reason reason)
{
    uint64_t id = entry->request.id;
    remove_from_queue(admission, entry);
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

static struct place
place_of(const struct flow *flow, const struct entry *entry, uint64_t rank)
{
    struct place place = {.turn = flow->turn + rank,
                          .deadline_ms = entry->request.deadline_ms,
                          .id = entry->request.id};
    return place;
}

static struct entry *
first_in_queue(struct rs_admission *admission)
{
    struct entry *best = NULL;
    struct place best_place = {0};
    for (guint i = 0; i < admission->flows->len; i++) {
        struct flow *flow = g_ptr_array_index(admission->flows, i);
        struct place place = place_of(flow, flow->first, 0);
        if (best == NULL || goes_before(&place, &best_place)) {
            best = flow->first;
            best_place = place;
        }
    }
    return best;
}

/* Sends from the queue while the limit allows it. */
static void
pump(struct rs_admission *admission, int64_t now_ms)
{
    while (admission->queued > 0 &&
           admission->in_flight < limit_now(admission)) {
        struct entry *entry = first_in_queue(admission);
        if (!can_make_it(admission, now_ms, entry->request.deadline_ms, 0.0)) {
            refuse_queued(admission, now_ms, entry, RsAdmission_DEADLINE);
            continue;
        }
        admission->turn = entry->flow->turn;
        entry->flow->turn++;
        remove_from_queue(admission, entry);
        send_entry(admission, now_ms, entry);
        struct rs_admission_verdict verdict = {.kind = RsAdmission_RUN};
        emit(admission, entry->request.id, verdict);
    }
}

/* The queued requests that would go before this one. */
static uint32_t
count_ahead(const struct rs_admission *admission,
            const struct rs_admission_request *request)
{
    uint64_t id = flow_id(request);
    struct place place = {.turn = joining_turn(admission),
                          .deadline_ms = request->deadline_ms,
                          .id = request->id};
    struct flow *own = g_hash_table_lookup(admission->flow_by_id, &id);
    uint32_t ahead = 0;
    if (own != NULL) {
        place.turn = own->turn;
        for (struct entry *entry = own->first;
             entry != NULL &&
             entry->request.deadline_ms <= request->deadline_ms;
             entry = entry->next) {
            place.turn++;
            ahead++;
        }
    }
    for (guint i = 0; i < admission->flows->len; i++) {
        const struct flow *flow = g_ptr_array_index(admission->flows, i);
        uint64_t rank = 0;
        for (struct entry *entry = flow->first; entry != NULL && flow != own;
             entry = entry->next) {
            struct place other = place_of(flow, entry, rank++);
            if (!goes_before(&other, &place)) {
                break;
            }
            ahead++;
        }
    }
    return ahead;
}

/* Makes room in a full queue at the cost of the caller with the most in it.
 * False when that is the newcomer's own. */
static bool
make_room(struct rs_admission *admission, int64_t now_ms,
          const struct rs_admission_request *request)
{
    uint64_t id = flow_id(request);
    struct flow *own = g_hash_table_lookup(admission->flow_by_id, &id);
    struct flow *longest = NULL;
    for (guint i = 0; i < admission->flows->len; i++) {
        struct flow *flow = g_ptr_array_index(admission->flows, i);
        if (longest == NULL || flow->count > longest->count) {
            longest = flow;
        }
    }
    uint32_t own_count = own == NULL ? 0 : own->count;
    if (longest == NULL || longest->count <= own_count + 1) {
        return false;
    }
    refuse_queued(admission, now_ms, longest->last, RsAdmission_QUEUE_FULL);
    return true;
}

static struct entry *
add_entry(struct rs_admission *admission,
          const struct rs_admission_request *request)
{
    struct entry *entry = g_new0(struct entry, 1);
    entry->request = *request;
    g_hash_table_insert(admission->entries, &entry->request.id, entry);
    return entry;
}

static struct rs_admission_verdict
enqueue(struct rs_admission *admission, int64_t now_ms,
        const struct rs_admission_request *request)
{
    struct rs_admission_verdict verdict = {.kind = RsAdmission_QUEUED};
    uint32_t ahead = count_ahead(admission, request);
    if (!can_make_it(admission, now_ms, request->deadline_ms,
                     wait_ms(admission, now_ms, ahead))) {
        return refusal(admission, now_ms, RsAdmission_DEADLINE);
    }
    if (admission->queued >= admission->options.queue_capacity &&
        !make_room(admission, now_ms, request)) {
        return refusal(admission, now_ms, RsAdmission_QUEUE_FULL);
    }
    struct entry *entry = add_entry(admission, request);
    insert_into_flow(find_or_add_flow(admission, flow_id(request)), entry);
    admission->queued++;
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
    admission->flow_by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    admission->flows = g_ptr_array_new();
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
    g_ptr_array_free(admission->flows, TRUE);
    g_hash_table_destroy(admission->flow_by_id);
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
    if (!can_make_it(admission, now_ms, request->deadline_ms, 0.0)) {
        *verdict = refusal(admission, now_ms, RsAdmission_DEADLINE);
        return 0;
    }
    if (admission->in_flight >= limit_now(admission)) {
        *verdict = enqueue(admission, now_ms, request);
        return 0;
    }
    assert(admission->queued == 0);
    send_entry(admission, now_ms, add_entry(admission, request));
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
            g_hash_table_remove(admission->entries, &entry->request.id);
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
    remove_from_queue(admission, entry);
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

struct queued_place {
    struct place place;
    struct entry *entry;
};

static int
compare_places(const void *a, const void *b)
{
    const struct queued_place *left = a;
    const struct queued_place *right = b;
    return goes_before(&left->place, &right->place) ? -1 : 1;
}

static struct queued_place *
queue_in_order(const struct rs_admission *admission)
{
    struct queued_place *order = g_new(struct queued_place, admission->queued);
    size_t count = 0;
    for (guint i = 0; i < admission->flows->len; i++) {
        const struct flow *flow = g_ptr_array_index(admission->flows, i);
        uint64_t rank = 0;
        for (struct entry *entry = flow->first; entry != NULL;
             entry = entry->next) {
            order[count].place = place_of(flow, entry, rank++);
            order[count].entry = entry;
            count++;
        }
    }
    assert(count == admission->queued);
    qsort(order, count, sizeof(order[0]), compare_places);
    return order;
}

/* Refuses those queued requests that can no longer make their deadline, in
 * the order in which the queue is served. To be called every few
 * milliseconds while anything is queued or lingers. */
void
RsAdmission_Expire(struct rs_admission *admission, int64_t now_ms)
{
    release_lingering(admission, now_ms);
    pump(admission, now_ms);
    uint32_t count = admission->queued;
    if (count == 0) {
        return;
    }
    struct queued_place *order = queue_in_order(admission);
    uint32_t ahead = 0;
    for (uint32_t i = 0; i < count; i++) {
        struct entry *entry = order[i].entry;
        if (can_make_it(admission, now_ms, entry->request.deadline_ms,
                        wait_ms(admission, now_ms, ahead))) {
            ahead++;
        }
        else {
            refuse_queued(admission, now_ms, entry, RsAdmission_DEADLINE);
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
    view->queued = admission->queued;
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
