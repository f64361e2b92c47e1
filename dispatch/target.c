#include "dispatch/target.h"

#include <string.h>

#include "core/clock.h"
#include "core/id.h"
#include "core/log.h"

#define QUEUE_CAPACITY 512
#define GIVE_UP_MARGIN_MS 20
#define LOST_RETRY_MS 500
#define ACTIVE_MS 5000 /* warm connections stay so long without use */
#define CONNECTION_COST_US 1000
#define CONNECTION_SHARE 0.1

static void
free_work(gpointer data)
{
    struct rs_work *work = data;
    rs__relay__forward__free_unpacked(work->forward, NULL);
    g_free(work);
}

static void
start_decisions(struct rs_target *target)
{
    const struct rs_model_service *service = &target->service;
    struct rs_admission_options admission = {
        .policy = target->options.policies.admission,
        .slots = service->slots,
        .window = service->window,
        .queue_capacity = QUEUE_CAPACITY,
        .max_run_ms = service->max_run_ms,
    };
    struct rs_ramp_options ramp = {
        .policy = target->options.policies.ramp,
        .slots = service->slots,
        .window = service->window,
        .cold_ms = service->cold_ms,
        .connections = service->connections,
        .connection_cost_us = CONNECTION_COST_US,
        .connection_share = CONNECTION_SHARE,
    };
    target->admission = RsAdmission_New(&admission);
    RsRamp_Start(&target->ramp, &ramp);
}

/* Begins to speak for a target: connections open and pings go out with the
 * next ticks. */
struct rs_target *
RsTarget_New(const struct rs_target_options *options)
{
    struct rs_target *target = g_new0(struct rs_target, 1);
    target->options = *options;
    target->service = *options->service;
    target->options.service = &target->service;
    g_strlcpy(target->name, options->name, sizeof(target->name));
    target->options.name = target->name;
    target->id = RsId_FromName(target->name);
    target->connections = g_ptr_array_new();
    target->works =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_work);
    g_queue_init(&target->idle);
    g_queue_init(&target->ready);
    target->grant.session_us = RsClock_WallUs();
    target->grant.slices = g_array_new(FALSE, FALSE, sizeof(struct rs_lease));
    target->grant.granted =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    target->grant.answer = g_string_new(NULL);
    start_decisions(target);
    target->told_share = 1;
    RsHealth_Start(&target->health, &options->health, options->now_ms);
    return target;
}

/* Frees a target that has no work. */
void
RsTarget_Free(struct rs_target *target)
{
    RsTargetPool_CloseAll(target);
    RsTargetGrant_Close(target);
    g_assert(g_hash_table_size(target->works) == 0);
    g_hash_table_destroy(target->works);
    g_hash_table_destroy(target->grant.granted);
    g_array_free(target->grant.slices, TRUE);
    g_string_free(target->grant.answer, TRUE);
    g_ptr_array_free(target->connections, TRUE);
    g_queue_clear(&target->idle);
    g_queue_clear(&target->ready);
    RsAdmission_Free(target->admission);
    g_free(target);
}

static bool
moved(const struct rs_target *target, const struct rs_target_options *options)
{
    const struct sockaddr_in *address = &target->options.address;
    return address->sin_port != options->address.sin_port ||
           address->sin_addr.s_addr != options->address.sin_addr.s_addr;
}

/* Tells whether the options are other than those that the target has. */
bool
RsTarget_Differs(const struct rs_target *target,
                 const struct rs_target_options *options)
{
    const struct rs_model_service *old = &target->service;
    const struct rs_model_service *new = options->service;
    return moved(target, options) ||
           target->options.checks_fences != options->checks_fences ||
           strcmp(old->name, new->name) != 0 || old->keyed != new->keyed ||
           old->slots != new->slots || old->window != new->window ||
           old->connections != new->connections ||
           old->max_run_ms != new->max_run_ms || old->cold_ms != new->cold_ms;
}

/* Tells whether nothing runs there that was sent under the present options:
 * at another address, what was given up could still take effect at the old
 * one. */
bool
RsTarget_MayRenew(const struct rs_target *target, int64_t now_ms)
{
    return g_hash_table_size(target->works) == 0 &&
           now_ms > target->abandoned_until_ms;
}

static void
start_at_address(struct rs_target *target,
                 const struct rs_target_options *options)
{
    target->options.address = options->address;
    target->start_id = 0;
    target->next_connect_ms = 0;
    RsTargetGrant_Close(target);
    RsTargetGrant_DoubtClock(target);
    RsHealth_Start(&target->health, &options->health, options->now_ms);
}

/* Takes over changed options; RsTarget_MayRenew() must hold. */
void
RsTarget_Renew(struct rs_target *target,
               const struct rs_target_options *options)
{
    bool elsewhere = moved(target, options);
    bool warm = !elsewhere && target->ramp.contacted && !target->ramp.cold;
    g_assert(RsTarget_MayRenew(target, options->now_ms));
    RsTargetPool_CloseAll(target);
    RsAdmission_Free(target->admission);
    target->service = *options->service;
    target->options.checks_fences = options->checks_fences;
    start_decisions(target);
    if (elsewhere) {
        start_at_address(target, options);
    }
    else if (warm) {
        RsRamp_KnownWarm(&target->ramp, options->now_ms, target->start_id);
    }
    RsTargetGrant_BeginAnew(target);
    target->outdated = false;
    RsLog_EVENT(RsLog_INFO, "target_renewed",
                RsLog_TEXT("target", target->name),
                RsLog_NUMBER("moved", elsewhere));
}

/* Admits a work, queues it, or refuses it at once. */
void
RsTarget_Offer(struct rs_target *target, struct rs_work *work, int64_t now_ms)
{
    struct rs_admission_verdict verdict = {0};
    struct rs_admission_request request = {
        .id = work->id,
        .caller = RsId_FromName(work->forward->caller),
        .service = RsId_FromName(work->forward->service),
        .deadline_ms = work->deadline_ms,
    };
    work->target = target;
    target->active_until_ms = now_ms + ACTIVE_MS;
    g_hash_table_insert(target->works, &work->id, work);
    if (target->lost) {
        RsTargetWork_Finish(work, RsOutcome_NOT_RUN, "target-lost",
                            LOST_RETRY_MS);
        return;
    }
    RsAdmission_Offer(target->admission, now_ms, &request, &verdict);
    if (verdict.kind == RsAdmission_REFUSED) {
        RsTargetWork_Finish(work, RsOutcome_NOT_RUN,
                            RsAdmission_ReasonText(verdict.reason),
                            verdict.retry_after_ms);
    }
    else if (verdict.kind == RsAdmission_RUN) {
        g_queue_push_tail(&target->ready, work);
    }
    RsTargetWork_Events(target, now_ms);
}

/* Takes a work off its connection, which is closed: that cancels the request
 * at the target when it has not started. */
static void
detach(struct rs_work *work)
{
    struct rs_target_connection *connection = work->connection;
    if (connection != NULL) {
        RsTargetPool_Abandon(work->target, work);
        connection->work = NULL;
        work->connection = NULL;
        RsTargetPool_Drop(connection);
    }
}

/* Drops a work whose caller is gone; no event follows. */
void
RsTarget_Cancel(struct rs_target *target, struct rs_work *work, int64_t now_ms)
{
    bool was_ready = g_queue_remove(&target->ready, work);
    RsCounter_Add(&target->options.counters->cancelled, 1);
    if (work->connection != NULL) {
        int64_t latency_us = RsClock_NowUs() - work->sent_us;
        detach(work);
        RsHealth_GaveUp(&target->health, RsHealth_WORK, false);
        RsAdmission_Done(target->admission, now_ms, work->id,
                         RsAdmission_ABANDONED, latency_us);
    }
    else if (was_ready) {
        RsAdmission_Done(target->admission, now_ms, work->id,
                         RsAdmission_FAILED, 0);
    }
    else {
        RsAdmission_Cancel(target->admission, now_ms, work->id);
    }
    g_hash_table_remove(target->works, &work->id);
    RsTargetWork_Events(target, now_ms);
}

/* The front took so many bytes of the body. */
void
RsTarget_Credit(struct rs_work *work, uint32_t size_bytes)
{
    struct rs_target_connection *connection = work->connection;
    RsFlow_TakeCredit(&work->flow, size_bytes);
    if (connection != NULL && connection->paused &&
        RsFlow_Sendable(&work->flow) >= RsHttp_READ_BYTES) {
        connection->paused = false;
        RsHttp_Resume(connection->http);
    }
}

static GPtrArray *
running_works(const struct rs_target *target)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, target->works);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_work *work = value;
        if (work->connection != NULL) {
            g_ptr_array_add(list, work);
        }
    }
    return list;
}

/* Gives up a request that was sent. */
static void
give_up(struct rs_work *work, const char *reason, int64_t now_ms)
{
    struct rs_target *target = work->target;
    struct rs_answer_verdict verdict =
        RsAnswer_GiveUp(&work->connection->answer);
    int64_t latency_us = RsClock_NowUs() - work->sent_us;
    detach(work);
    RsHealth_GaveUp(&target->health, RsHealth_WORK, true);
    RsAdmission_Done(target->admission, now_ms, work->id,
                     RsAdmission_TIMED_OUT, latency_us);
    RsTargetWork_Finish(work, verdict.outcome, reason, 0);
}

static bool
is_overdue(const struct rs_work *work, int64_t now_ms)
{
    if (work->head_passed) {
        return now_ms > work->stall_at_ms;
    }
    return now_ms > work->run_deadline_ms + GIVE_UP_MARGIN_MS;
}

static void
give_up_overdue(struct rs_target *target, int64_t now_ms)
{
    GPtrArray *running = running_works(target);
    for (guint i = 0; i < running->len; i++) {
        struct rs_work *work = running->pdata[i];
        if (is_overdue(work, now_ms)) {
            give_up(work, "target-late", now_ms);
        }
    }
    g_ptr_array_free(running, TRUE);
}

static void
refuse_ready(struct rs_target *target, int64_t now_ms, bool all)
{
    GList *link = target->ready.head;
    while (link != NULL) {
        GList *next = link->next;
        struct rs_work *work = link->data;
        if (all || now_ms > work->deadline_ms) {
            g_queue_delete_link(&target->ready, link);
            RsAdmission_Done(target->admission, now_ms, work->id,
                             RsAdmission_FAILED, 0);
            RsTargetWork_Finish(work, RsOutcome_NOT_RUN,
                                all ? "target-lost" : "deadline",
                                LOST_RETRY_MS);
        }
        link = next;
    }
}

static void
refuse_queued(struct rs_target *target, int64_t now_ms)
{
    GList *works = g_hash_table_get_values(target->works);
    for (GList *link = works; link != NULL; link = link->next) {
        struct rs_work *work = link->data;
        if (RsAdmission_Cancel(target->admission, now_ms, work->id) == 0) {
            RsTargetWork_Finish(work, RsOutcome_NOT_RUN, "target-lost",
                                LOST_RETRY_MS);
        }
    }
    g_list_free(works);
}

/* All that waits or runs gets its final answer at once; the queue first, so
 * that nothing of it starts in a place that becomes free. */
static void
become_lost(struct rs_target *target, int64_t now_ms)
{
    RsLog_EVENT(RsLog_WARNING, "target_lost",
                RsLog_TEXT("target", target->name));
    RsTargetWork_TakeEvents(target, now_ms);
    refuse_queued(target, now_ms);
    refuse_ready(target, now_ms, true);
    GPtrArray *running = running_works(target);
    for (guint i = 0; i < running->len; i++) {
        give_up(running->pdata[i], "target-lost", now_ms);
    }
    g_ptr_array_free(running, TRUE);
    RsTargetPool_CloseAll(target);
}

static void
watch_health(struct rs_target *target, int64_t now_ms)
{
    bool lost = RsHealth_Tick(&target->health, now_ms, target->median_us) ==
                RsHealth_LOST;
    if (lost && !target->lost) {
        target->lost = true;
        become_lost(target, now_ms);
    }
    if (!lost && target->lost) {
        RsLog_EVENT(RsLog_INFO, "target_back",
                    RsLog_TEXT("target", target->name));
        target->lost = false;
        if (target->told_lost) {
            target->told_lost = false;
            target->options.changed(target->options.arg, target, false);
        }
    }
    bool quiet = now_ms > target->grant.lapse_ms &&
                 now_ms > target->last_deadline_ms + GIVE_UP_MARGIN_MS;
    if (target->lost && !target->told_lost && quiet) {
        target->told_lost = true;
        target->options.changed(target->options.arg, target, true);
    }
}

/* Does what is due; called every few milliseconds. */
void
RsTarget_Tick(struct rs_target *target, int64_t now_ms)
{
    if (target->grant.slices->len > 0) {
        target->active_until_ms = now_ms + ACTIVE_MS;
    }
    RsTargetGrant_Tick(target, now_ms);
    watch_health(target, now_ms);
    RsAdmission_SetCeiling(target->admission, now_ms,
                           RsRamp_Ceiling(&target->ramp, now_ms));
    RsAdmission_Expire(target->admission, now_ms);
    give_up_overdue(target, now_ms);
    refuse_ready(target, now_ms, false);
    RsTargetWork_Events(target, now_ms);
    RsTargetPool_Fill(target, now_ms);
}

/* Returns how many works of a slice wait or run here. */
size_t
RsTarget_Busy(const struct rs_target *target, uint64_t slice)
{
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, target->works);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_work *work = value;
        count += work->forward->slice == slice ? 1 : 0;
    }
    return count;
}

/* Notes which start of its process the target named; 0: it named none. */
void
RsTarget_SawStartId(struct rs_target *target, uint64_t start_id,
                    int64_t now_ms)
{
    if (start_id == 0) {
        return;
    }
    if (target->start_id != 0 && target->start_id != start_id) {
        RsCounter_Add(&target->options.counters->restarts, 1);
    }
    target->start_id = start_id;
    RsRamp_SawStartId(&target->ramp, now_ms, start_id);
}

/* Returns the target's state as a new JSON object. */
json_t *
RsTarget_Dump(const struct rs_target *target, int64_t now_ms)
{
    struct rs_admission_view view;
    RsAdmission_Look(target->admission, &view);
    return json_pack(
        "{s:s,s:s,s:f,s:f,s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:I}", "name",
        target->name, "state", RsHealth_StateText(target->health.state),
        "share", target->health.share, "latency_us",
        RsHealth_LatencyUs(&target->health, now_ms), "lost", target->lost,
        "limit", (int)view.limit, "in_flight", (int)view.in_flight, "queued",
        (int)view.queued, "ready", (int)target->ready.length, "connections",
        (int)target->connections->len, "idle_connections",
        (int)target->idle.length, "granted_slices",
        (int)g_hash_table_size(target->grant.granted), "grant_left_ms",
        (json_int_t)(target->grant.until_ms - now_ms));
}
