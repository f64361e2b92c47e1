#include "dispatch/holder.h"

#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "place/names.h"

#define RETRY_SOON_MS 20
#define RETRY_MOVE_MS 50
#define MEDIAN_EVERY_MS 50
#define LOADS_EVERY_MS 1000
#define MAX_SERVICE_TARGETS 1024

static const struct rs_health_options health_defaults = {
    .suspect_ms = 250,
    .lost_ms = 500,
    .return_ms = 300,
    .slow_ms = 400,
    .fast_ms = 1000,
    .slow_factor = 5.0,
    .fast_factor = 2.0,
    .share_step = 0.15,
    .share_ms = 1000,
    .max_connect_failures = 4,
};

struct rs_holder {
    struct rs_holder_options options;
    char self[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    struct rs_view *view;
    struct rs_lease_table *leases;
    GHashTable *targets; /* by name */
    GHashTable *counts;  /* slice to requests since the last report */
    struct rs_target_counters counters;
    uint64_t next_work;
    int64_t next_median_ms;
    int64_t next_loads_ms;
    bool any_stopping;
};

/* Makes a holder without leases. */
struct rs_holder *
RsHolder_New(const struct rs_holder_options *options)
{
    struct rs_holder *holder = g_new0(struct rs_holder, 1);
    holder->options = *options;
    g_strlcpy(holder->self, options->self, sizeof(holder->self));
    g_strlcpy(holder->domain, options->domain, sizeof(holder->domain));
    holder->options.self = holder->self;
    holder->options.domain = holder->domain;
    holder->targets = g_hash_table_new(g_str_hash, g_str_equal);
    holder->counts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return holder;
}

/* Frees a holder without work. */
void
RsHolder_Free(struct rs_holder *holder)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        RsTarget_Free(value);
    }
    g_hash_table_destroy(holder->targets);
    g_hash_table_destroy(holder->counts);
    RsView_Unref(holder->view);
    RsLeaseTable_Unref(holder->leases);
    g_free(holder);
}

static void
on_changed(void *arg, struct rs_target *target, bool lost)
{
    struct rs_holder *holder = arg;
    holder->options.reports->target_changed(holder->options.arg, target->name,
                                            lost);
}

static void
on_stale(void *arg, uint64_t slice, uint64_t epoch, uint32_t step)
{
    struct rs_holder *holder = arg;
    holder->options.reports->slice_stale(holder->options.arg, slice, epoch,
                                         step);
}

static bool
is_allowed(void *arg, const struct rs_work *work, int64_t now_ms,
           int64_t *until_ms)
{
    const struct rs_holder *holder = arg;
    const struct rs_lease *lease =
        RsLeaseTable_Find(holder->leases, work->forward->slice);
    if (lease == NULL || !lease->mine || lease->epoch != work->epoch ||
        lease->step != work->step || now_ms >= lease->until_ms) {
        return false;
    }
    *until_ms = lease->until_ms;
    return RsTarget_Granted(work->target, now_ms, lease);
}

static bool
checks_fences(const struct rs_model_place *place, const char *target)
{
    for (size_t i = 0; i < place->target_count; i++) {
        if (strcmp(place->targets[i].name, target) == 0) {
            return place->targets[i].checks_fences;
        }
    }
    return false;
}

/* Fills in what the view says of a target. Returns false when this process
 * has nothing to do with it. The texts are borrowed from the view. */
static bool
describe(struct rs_holder *holder, const char *name,
         struct rs_target_options *options)
{
    const struct rs_config *config = RsView_Config(holder->view);
    const struct rs_view_vm *vm = RsView_Vm(holder->view, name);
    const struct rs_model_place *place = RsConfig_PlaceOfTarget(config, name);
    if (vm == NULL || place == NULL ||
        strcmp(vm->domain, holder->domain) != 0) {
        return false;
    }
    const struct rs_model_service *service =
        RsConfig_Service(config, place->service);
    if (service == NULL) {
        return false;
    }
    *options = (struct rs_target_options){
        .loop = holder->options.loop,
        .name = name,
        .self = holder->self,
        .address = vm->address,
        .service = service,
        .checks_fences = service->keyed && checks_fences(place, name),
        .policies = holder->options.policies,
        .health = health_defaults,
        .counters = &holder->counters,
        .ping_every_ms = holder->options.ping_every_ms,
        .now_ms = RsClock_NowMs(),
        .changed = on_changed,
        .allowed = is_allowed,
        .stale = on_stale,
        .arg = holder,
    };
    return true;
}

static struct rs_target *
make_target(struct rs_holder *holder, const char *name)
{
    struct rs_target_options options;
    if (!describe(holder, name, &options)) {
        return NULL;
    }
    struct rs_target *target = RsTarget_New(&options);
    g_hash_table_insert(holder->targets, target->name, target);
    /* One of this name may have been lost before its VM left the list. */
    on_changed(holder, target, false);
    return target;
}

/* Notes which targets the view describes in another way than before. */
static void
mark_outdated(struct rs_holder *holder)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_target *target = value;
        struct rs_target_options options;
        target->outdated = describe(holder, target->name, &options) &&
                           RsTarget_Differs(target, &options);
    }
}

/* Brings a target up to date as soon as nothing runs there. */
static void
renew(struct rs_holder *holder, struct rs_target *target, int64_t now_ms)
{
    struct rs_target_options options;
    if (target->outdated && RsTarget_MayRenew(target, now_ms) &&
        describe(holder, target->name, &options)) {
        options.now_ms = now_ms;
        RsTarget_Renew(target, &options);
    }
}

static struct rs_target *
find_or_make_target(struct rs_holder *holder, const char *name)
{
    struct rs_target *target = g_hash_table_lookup(holder->targets, name);
    if (target == NULL && holder->view != NULL) {
        target = make_target(holder, name);
    }
    return target;
}

static bool
is_granted_to_target(const struct rs_lease *lease,
                     const struct rs_target *target)
{
    if (!lease->mine || strcmp(lease->target, target->name) != 0) {
        return false;
    }
    return !lease->stopping || RsTarget_Busy(target, lease->slice) > 0;
}

static void
set_slices(struct rs_holder *holder, struct rs_target *target)
{
    GArray *leases = g_array_new(FALSE, FALSE, sizeof(struct rs_lease));
    for (size_t i = 0; i < holder->leases->count; i++) {
        const struct rs_lease *lease = &holder->leases->leases[i];
        if (is_granted_to_target(lease, target)) {
            g_array_append_vals(leases, lease, 1);
        }
    }
    RsTarget_SetSlices(target, leases);
    g_array_free(leases, TRUE);
}

static void
set_all_slices(struct rs_holder *holder)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        set_slices(holder, value);
    }
}

/* Makes the targets of the slices that this process holds. */
static void
make_owners(struct rs_holder *holder)
{
    holder->any_stopping = false;
    for (size_t i = 0; i < holder->leases->count; i++) {
        const struct rs_lease *lease = &holder->leases->leases[i];
        if (lease->mine) {
            find_or_make_target(holder, lease->target);
            holder->any_stopping |= lease->stopping;
        }
    }
}

static void
make_of_place(struct rs_holder *holder, const struct rs_model_place *place)
{
    for (size_t i = 0; i < place->target_count; i++) {
        const char *name = place->targets[i].name;
        const struct rs_view_cell *cell =
            RsView_CellOfTarget(holder->view, place->domain, name);
        if (cell != NULL &&
            RsNames_Contain(cell->row.members, cell->row.member_count,
                            holder->self)) {
            find_or_make_target(holder, name);
        }
    }
}

/* All targets of the own cell are watched, so that a member to which one is
 * handed over knows that it is warm, or lost. */
static void
make_watched(struct rs_holder *holder)
{
    const struct rs_config *config = RsView_Config(holder->view);
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_PLACE); i++) {
        const struct rs_model_place *place =
            &RsConfig_At(config, RsObject_PLACE, i)->object.as.place;
        if (strcmp(place->domain, holder->domain) == 0) {
            make_of_place(holder, place);
        }
    }
}

/* Takes over a snapshot. */
void
RsHolder_SetView(struct rs_holder *holder, struct rs_view *view)
{
    RsView_Unref(holder->view);
    holder->view = view;
    mark_outdated(holder);
    make_watched(holder);
    if (holder->leases != NULL) {
        make_owners(holder);
        set_all_slices(holder);
    }
}

/* Takes over a table of leases. */
void
RsHolder_SetLeases(struct rs_holder *holder, struct rs_lease_table *leases)
{
    RsLeaseTable_Unref(holder->leases);
    holder->leases = leases;
    make_owners(holder);
    set_all_slices(holder);
}

static struct rs_work *
refuse(Rs__Relay__Forward *forward, const struct rs_work_events *events,
       void *arg, const char *reason, uint32_t retry_after_ms)
{
    Rs__Relay__AnswerHead head = RS__RELAY__ANSWER_HEAD__INIT;
    head.outcome = RS__RELAY__OUTCOME__OUTCOME_NOT_RUN;
    head.reason = (char *)reason;
    head.retry_after_ms = retry_after_ms;
    rs__relay__forward__free_unpacked(forward, NULL);
    events->head(arg, &head);
    return NULL;
}

static struct rs_work *
redirect(Rs__Relay__Forward *forward, const struct rs_work_events *events,
         void *arg, const char *holder)
{
    Rs__Relay__AnswerHead head = RS__RELAY__ANSWER_HEAD__INIT;
    head.outcome = RS__RELAY__OUTCOME__OUTCOME_REDIRECT;
    head.redirect = (char *)holder;
    head.reason = "redirect";
    rs__relay__forward__free_unpacked(forward, NULL);
    events->head(arg, &head);
    return NULL;
}

static void
count_slice(struct rs_holder *holder, uint64_t slice)
{
    uint64_t *count = g_hash_table_lookup(holder->counts, &slice);
    if (count == NULL) {
        uint64_t *key = g_memdup2(&slice, sizeof(slice));
        count = g_new0(uint64_t, 1);
        g_hash_table_insert(holder->counts, key, count);
    }
    (*count)++;
}

/* Offers a work to its target. Returns it, unless it ended in the call. */
static struct rs_work *
offer(struct rs_holder *holder, struct rs_target *target,
      Rs__Relay__Forward *forward, const struct rs_work_events *events,
      void *arg, const struct rs_lease *lease)
{
    int64_t now_ms = RsClock_NowMs();
    struct rs_work *work = g_new0(struct rs_work, 1);
    uint64_t id = ++holder->next_work;
    work->id = id;
    work->forward = forward;
    work->events = events;
    work->arg = arg;
    work->deadline_ms = now_ms + forward->time_left_ms;
    work->flow.window_bytes = RsFlow_WINDOW_BYTES;
    if (lease != NULL) {
        work->epoch = lease->epoch;
        work->step = lease->step;
        count_slice(holder, lease->slice);
    }
    RsTarget_Offer(target, work, now_ms);
    return g_hash_table_lookup(target->works, &id);
}

static struct rs_work *
forward_keyed(struct rs_holder *holder, Rs__Relay__Forward *forward,
              const struct rs_work_events *events, void *arg)
{
    int64_t now_ms = RsClock_NowMs();
    const struct rs_lease *lease =
        RsLeaseTable_Find(holder->leases, forward->slice);
    if (lease == NULL) {
        return refuse(forward, events, arg, "not-in-cell", RETRY_MOVE_MS);
    }
    if (!lease->mine && lease->holder[0] != '\0') {
        return redirect(forward, events, arg, lease->holder);
    }
    if (!lease->mine || now_ms >= lease->until_ms) {
        return refuse(forward, events, arg, "no-holder", RETRY_MOVE_MS);
    }
    if (lease->stopping) {
        return refuse(forward, events, arg, "moving", RETRY_SOON_MS);
    }
    struct rs_target *target = find_or_make_target(holder, lease->target);
    if (target != NULL && target->outdated) {
        return refuse(forward, events, arg, "moving", RETRY_SOON_MS);
    }
    if (target == NULL || !RsTarget_Granted(target, now_ms, lease)) {
        return refuse(forward, events, arg, "no-grant", RETRY_SOON_MS);
    }
    return offer(holder, target, forward, events, arg, lease);
}

/* Passes a request on to its target, or ends it at once. */
struct rs_work *
RsHolder_Forward(struct rs_holder *holder, Rs__Relay__Forward *forward,
                 const struct rs_work_events *events, void *arg)
{
    if (forward->keyed) {
        return forward_keyed(holder, forward, events, arg);
    }
    struct rs_target *target = find_or_make_target(holder, forward->target);
    if (target == NULL) {
        return refuse(forward, events, arg, "not-in-domain", RETRY_MOVE_MS);
    }
    if (target->outdated) {
        return refuse(forward, events, arg, "moving", RETRY_SOON_MS);
    }
    return offer(holder, target, forward, events, arg, NULL);
}

/* Drops a work; no event follows. */
void
RsHolder_Cancel(struct rs_holder *holder, struct rs_work *work)
{
    RsTarget_Cancel(work->target, work, RsClock_NowMs());
}

/* The front took so many bytes of the body. */
void
RsHolder_Credit(struct rs_work *work, uint32_t size_bytes)
{
    RsTarget_Credit(work, size_bytes);
}

/* A slice is drained when nothing of it waits or runs, and the target knows
 * that it is no longer granted; or else when grants have lapsed there, and
 * the deadlines of all requests that were abandoned have passed. */
static bool
is_drained(struct rs_holder *holder, const struct rs_lease *lease,
           int64_t now_ms)
{
    const struct rs_target *target =
        g_hash_table_lookup(holder->targets, lease->target);
    if (target == NULL) {
        return true;
    }
    if (RsTarget_Busy(target, lease->slice) > 0) {
        return false;
    }
    bool revoked =
        target->options.checks_fences &&
        (target->grant.known_set == target->grant.set &&
         !g_hash_table_contains(target->grant.granted, &lease->slice));
    return revoked || (now_ms > target->grant.lapse_ms &&
                       now_ms > target->abandoned_until_ms);
}

static void
report_drained(struct rs_holder *holder, int64_t now_ms)
{
    if (!holder->any_stopping) {
        return;
    }
    set_all_slices(holder);
    for (size_t i = 0; i < holder->leases->count; i++) {
        const struct rs_lease *lease = &holder->leases->leases[i];
        if (lease->mine && lease->stopping &&
            is_drained(holder, lease, now_ms)) {
            holder->options.reports->slice_drained(holder->options.arg, lease);
        }
    }
}

static void
set_median(struct rs_holder *holder, const char *service, int64_t now_ms)
{
    const struct rs_health *peers[MAX_SERVICE_TARGETS];
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           count < MAX_SERVICE_TARGETS) {
        struct rs_target *target = value;
        if (strcmp(target->service.name, service) == 0) {
            peers[count++] = &target->health;
        }
    }
    double median_us = RsHealth_Median(peers, count, now_ms);
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_target *target = value;
        if (strcmp(target->service.name, service) == 0) {
            target->median_us = median_us;
        }
    }
}

static void
set_medians(struct rs_holder *holder, int64_t now_ms)
{
    if (holder->view == NULL || now_ms < holder->next_median_ms) {
        return;
    }
    holder->next_median_ms = now_ms + MEDIAN_EVERY_MS;
    const struct rs_config *config = RsView_Config(holder->view);
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_SERVICE); i++) {
        const struct rs_config_entry *entry =
            RsConfig_At(config, RsObject_SERVICE, i);
        set_median(holder, entry->object.as.service.name, now_ms);
    }
}

/* Only who works with a target can tell how fast it is: at once when that
 * changes, and with the loads. */
static void
report_shares(struct rs_holder *holder, int64_t now_ms, bool all)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_target *target = value;
        bool works = now_ms < target->active_until_ms;
        if (works && (all || target->told_share != target->health.share)) {
            target->told_share = target->health.share;
            holder->options.reports->share(holder->options.arg, target->name,
                                           target->health.share);
        }
    }
}

static void
report_loads(struct rs_holder *holder, int64_t now_ms)
{
    if (now_ms < holder->next_loads_ms) {
        return;
    }
    holder->next_loads_ms = now_ms + LOADS_EVERY_MS;
    guint count = g_hash_table_size(holder->counts);
    struct rs_task_load *loads = g_new0(struct rs_task_load, count + 1);
    size_t at = 0;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->counts);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        loads[at].slice = *(uint64_t *)key;
        loads[at].requests_per_s =
            (double)*(uint64_t *)value * 1000 / LOADS_EVERY_MS;
        at++;
    }
    g_hash_table_remove_all(holder->counts);
    holder->options.reports->loads(holder->options.arg, loads, at);
    g_free(loads);
    report_shares(holder, now_ms, true);
}

static bool
is_unwanted(const struct rs_holder *holder, const struct rs_target *target)
{
    if (holder->view == NULL ||
        RsView_Vm(holder->view, target->name) != NULL ||
        target->grant.slices->len > 0) {
        return false;
    }
    return g_hash_table_size(target->works) == 0;
}

static void
tick_targets(struct rs_holder *holder, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_target *target = value;
        renew(holder, target, now_ms);
        RsTarget_Tick(target, now_ms);
        if (is_unwanted(holder, target)) {
            g_hash_table_iter_remove(&iter);
            RsTarget_Free(target);
        }
    }
}

/* Does what is due; called every few milliseconds. */
void
RsHolder_Tick(struct rs_holder *holder, int64_t now_ms)
{
    set_medians(holder, now_ms);
    tick_targets(holder, now_ms);
    report_shares(holder, now_ms, false);
    report_drained(holder, now_ms);
    report_loads(holder, now_ms);
}

/* Returns how many works wait or run. */
size_t
RsHolder_Works(const struct rs_holder *holder)
{
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_target *target = value;
        count += g_hash_table_size(target->works);
    }
    return count;
}

/* Returns the counters, which any thread may read. */
const struct rs_target_counters *
RsHolder_Counters(const struct rs_holder *holder)
{
    return &holder->counters;
}

/* Returns the targets' state as a new JSON array. */
json_t *
RsHolder_Dump(const struct rs_holder *holder, int64_t now_ms)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        json_array_append_new(list, RsTarget_Dump(value, now_ms));
    }
    return list;
}
