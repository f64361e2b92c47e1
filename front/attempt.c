/* The tries of a request: where each goes, and what follows its outcome. */

#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "front/request.h"
#include "place/speaker.h"

#define MAX_CANDIDATES 256
#define MEDIAN_EVERY_MS 50

static void on_try_head(void *arg, const Rs__Relay__AnswerHead *head);
static void on_try_body(void *arg, const void *data, size_t size, bool last,
                        bool broken);

static const struct rs_work_events try_events = {
    on_try_head,
    on_try_body,
};

static const struct rs_health_options target_health = {
    .suspect_ms = 250,
    .lost_ms = 500,
    .return_ms = 300,
    .slow_ms = 150,
    .fast_ms = 1000,
    .slow_factor = 3.0,
    .fast_factor = 1.5,
    .share_step = 0.15,
    .share_ms = 1000,
    .max_connect_failures = 4,
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

static struct rs_front_target *
find_target(struct rs_front *front, const char *name, int64_t now_ms)
{
    struct rs_front_target *target = g_hash_table_lookup(front->targets, name);
    if (target == NULL) {
        target = g_new0(struct rs_front_target, 1);
        g_strlcpy(target->name, name, sizeof(target->name));
        RsHealth_Start(&target->health, &target_health, now_ms);
        g_hash_table_insert(front->targets, target->name, target);
    }
    return target;
}

static const char *
member_name(const struct rs_view_cell *cell, uint64_t id)
{
    for (size_t i = 0; i < cell->row.member_count; i++) {
        if (RsId_FromName(cell->row.members[i]) == id) {
            return cell->row.members[i];
        }
    }
    return NULL;
}

/* Lists the members that are not known to be down, or all when all are. */
static size_t
list_members(const struct rs_front *front, const struct rs_view_cell *cell,
             int64_t now_ms, uint64_t *ids)
{
    const struct rs_roster_row *row = &cell->row;
    size_t count = 0;
    for (size_t i = 0; i < row->member_count; i++) {
        if (!RsRelayClient_IsDown(front->relay, row->members[i], now_ms)) {
            ids[count++] = RsId_FromName(row->members[i]);
        }
    }
    if (count > 0) {
        return count;
    }
    for (size_t i = 0; i < row->member_count; i++) {
        ids[i] = RsId_FromName(row->members[i]);
    }
    return row->member_count;
}

static void
remove_id(uint64_t *ids, size_t *count, uint64_t id)
{
    for (size_t i = 0; i < *count; i++) {
        if (ids[i] == id) {
            ids[i] = ids[--*count];
            return;
        }
    }
}

/* Returns the member that is to speak for a target, after passing over `skip`
 * in order of preference, round and round. */
static const char *
pick_member(const struct rs_front *front, const struct rs_view_cell *cell,
            const char *target, uint32_t skip, int64_t now_ms)
{
    uint64_t ids[RsRoster_MAX_MEMBERS] = {0};
    uint64_t target_id = RsId_FromName(target);
    size_t count = list_members(front, cell, now_ms, ids);
    uint32_t left = count > 0 ? skip % (uint32_t)count : 0;
    uint64_t best = RsSpeaker_OfTarget(target_id, ids, count);
    for (; left > 0; left--) {
        remove_id(ids, &count, best);
        best = RsSpeaker_OfTarget(target_id, ids, count);
    }
    return member_name(cell, best);
}

static const char *
process_for_slice(struct rs_front_request *request, int64_t now_ms)
{
    struct rs_front *front = request->front;
    uint64_t slice = request->forward->slice;
    if (request->redirect[0] != '\0') {
        return request->redirect;
    }
    const char *hint = g_hash_table_lookup(front->hints, &slice);
    if (hint != NULL && request->skip == 0 &&
        !RsRelayClient_IsDown(front->relay, hint, now_ms)) {
        return hint;
    }
    struct rs_model_assignment assignment;
    if (!RsView_Assignment(front->view, slice, &assignment)) {
        return NULL;
    }
    const struct rs_view_cell *cell =
        RsView_Cell(front->view, assignment.cell);
    if (cell == NULL) {
        return NULL;
    }
    return pick_member(front, cell, assignment.succession[0], request->skip,
                       now_ms);
}

struct candidates {
    struct rs_choice_target choices[MAX_CANDIDATES];
    struct rs_front_target *targets[MAX_CANDIDATES];
    const char *processes[MAX_CANDIDATES];
    size_t count;
};

static void
add_candidate(struct candidates *candidates, struct rs_front *front,
              const char *name, const struct rs_view_cell *cell,
              uint32_t limit, int64_t now_ms)
{
    if (candidates->count == MAX_CANDIDATES) {
        return;
    }
    const struct rs_view_vm *vm = RsView_Vm(front->view, name);
    size_t at = candidates->count++;
    struct rs_front_target *target = find_target(front, name, now_ms);
    const char *process = pick_member(front, cell, name, 0, now_ms);
    candidates->targets[at] = target;
    candidates->processes[at] = process;
    candidates->choices[at] = (struct rs_choice_target){
        .usable = vm != NULL && !vm->leaving && process != NULL &&
                  !RsRelayClient_IsDown(front->relay, process, now_ms),
        .state = target->health.state,
        .in_flight = target->in_flight,
        .limit = limit,
        .latency_us = RsHealth_LatencyUs(&target->health, now_ms),
    };
}

static void
add_place(struct candidates *candidates, struct rs_front *front,
          const struct rs_model_place *place, uint32_t limit, int64_t now_ms)
{
    const struct rs_config *config = RsView_Config(front->view);
    const struct rs_model_domain *domain =
        RsConfig_Domain(config, place->domain);
    if (domain != NULL && domain->state != RsModel_IN) {
        return;
    }
    for (size_t i = 0; i < place->target_count; i++) {
        const char *name = place->targets[i].name;
        const struct rs_view_cell *cell =
            RsView_CellOfTarget(front->view, place->domain, name);
        if (cell != NULL) {
            add_candidate(candidates, front, name, cell, limit, now_ms);
        }
    }
}

static void
set_target(Rs__Relay__Forward *forward, const char *name)
{
    if (forward->target != protobuf_c_empty_string) {
        free(forward->target);
    }
    forward->target = strdup(name);
}

/* Chooses a target for a request without a key. Returns the process that
 * speaks for it, or NULL. */
static const char *
choose_target(struct rs_front_request *request, struct rs_front_try *attempt,
              const struct rs_front_target *avoid, int64_t now_ms)
{
    struct rs_front *front = request->front;
    const struct rs_config *config = RsView_Config(front->view);
    const struct rs_model_service *service =
        RsConfig_Service(config, request->service);
    struct candidates candidates;
    candidates.count = 0;
    size_t places = RsConfig_Count(config, RsObject_PLACE);
    for (size_t i = 0; service != NULL && i < places; i++) {
        const struct rs_model_place *place =
            &RsConfig_At(config, RsObject_PLACE, i)->object.as.place;
        if (strcmp(place->service, service->name) == 0) {
            add_place(&candidates, front, place,
                      service->slots + service->window, now_ms);
        }
    }
    size_t avoid_at = RsChoice_NOWHERE;
    for (size_t i = 0; i < candidates.count; i++) {
        if (avoid != NULL && candidates.targets[i] == avoid) {
            avoid_at = i;
        }
    }
    size_t at = RsChoice_Pick(&front->choice, candidates.choices,
                              candidates.count, avoid_at);
    if (at == RsChoice_NOWHERE) {
        return NULL;
    }
    attempt->target = candidates.targets[at];
    set_target(request->forward, attempt->target->name);
    return candidates.processes[at];
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
    struct rs_work *work = RsHolder_Forward(request->front->options.holder,
                                            copy, &try_events, attempt);
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
    RsRetry_Sent(&request->retry);
    request->forward->time_left_ms =
        (uint32_t)MAX(request->deadline_ms - now_ms, 1);
    attempt->sent_us = RsClock_NowUs();
    g_strlcpy(attempt->process, process, sizeof(attempt->process));
    if (attempt->target != NULL) {
        attempt->target->in_flight++;
        RsHealth_Sent(&attempt->target->health, now_ms, RsHealth_WORK);
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
    const char *process = request->forward->keyed
                              ? process_for_slice(request, now_ms)
                              : choose_target(request, attempt, avoid, now_ms);
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
    case RsRetry_AGAIN:
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
    g_strlcpy(request->last_reason, "nowhere-to-send",
              sizeof(request->last_reason));
    request->retry.unasked = true;
    RsRetry_Sent(&request->retry);
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
        !RsRetry_Hedge(request->budget, &request->retry, now_ms)) {
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
        RsHealth_Answered(&target->health, RsClock_NowMs(), RsHealth_WORK,
                          latency_us);
    }
    else if (refused) {
        RsHealth_Refused(&target->health, RsClock_NowMs());
    }
    else {
        RsHealth_GaveUp(&target->health, RsHealth_WORK, true);
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
    struct rs_work *work = attempt->work;
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
        RsRelayClient_Credit(attempt->stream, size_bytes);
    }
    else if (attempt->work != NULL) {
        RsHolder_Credit(attempt->work, size_bytes);
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
    RsRetry_Answered(request->budget, latency_us);
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
    request->retry.unasked =
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

/* Tells each target's record what its peers' latency is; called often, works
 * now and then. */
void
RsFrontAttempt_SetMedians(struct rs_front *front, int64_t now_ms)
{
    const struct rs_health *peers[MAX_CANDIDATES];
    size_t count = 0;
    if (now_ms < front->next_median_ms) {
        return;
    }
    front->next_median_ms = now_ms + MEDIAN_EVERY_MS;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, front->targets);
    while (count < MAX_CANDIDATES &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_front_target *target = value;
        peers[count++] = &target->health;
    }
    double median_us = RsHealth_Median(peers, count, now_ms);
    g_hash_table_iter_init(&iter, front->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_front_target *target = value;
        RsHealth_Tick(&target->health, now_ms, median_us);
    }
}
