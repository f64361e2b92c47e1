#include "dispatch/holder.h"

#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "place/names.h"

/* The slice or the target is being changed, or its grant is not acknowledged:
 * this process or the next holder will serve it soon. */
#define RETRY_AFTER_NOT_READY_MS 20
/* The slice is not in a cell of this process or has no known holder, this
 * process's lease has expired, or this process does not serve the target. */
#define RETRY_AFTER_NOT_SERVED_MS 50
#define MEDIAN_INTERVAL_MS 50
#define LOAD_REPORT_INTERVAL_MS 1000
#define MAX_SERVICE_TARGETS 1024

static const struct rs_health_options health_defaults = {
    .suspect_ms = 250,
    .lost_ms = 500,
    .recovery_ms = 300,
    .slow_ms = 400,
    .fast_ms = 1000,
    .slow_factor = 5.0,
    .fast_factor = 2.0,
    .min_share_change = 0.15,
    .share_interval_ms = 1000,
    .max_connect_failures = 4,
};

struct rs_holder {
    struct rs_holder_options options;
    char self[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    struct rs_view *view;
    struct rs_lease_table *leases;
    GHashTable *targets;        /* by name; owned */
    GHashTable *request_counts; /* by slice, since the last load report */
    struct rs_target_counters counters;
    uint64_t last_request_id;
    int64_t next_median_update_at_ms;
    int64_t next_load_report_at_ms;
    /* a slice held by this process is being released */
    bool any_slice_stopping;
};

/* Creates a holder without a view or leases. The names in `options` are
 * copied; the loop, the policies and the callbacks must outlive the holder. */
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
    holder->request_counts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return holder;
}

/* Frees a holder. No request may be waiting or running. */
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
    g_hash_table_destroy(holder->request_counts);
    RsView_Unref(holder->view);
    RsLeaseTable_Unref(holder->leases);
    g_free(holder);
}

static void
on_lost_changed(void *arg, struct rs_target *target, bool lost)
{
    struct rs_holder *holder = arg;
    holder->options.reports->target_changed(holder->options.arg, target->name,
                                            lost);
}

static void
on_fence_stale(void *arg, uint64_t slice, uint64_t epoch, uint32_t step)
{
    struct rs_holder *holder = arg;
    holder->options.reports->fence_stale(holder->options.arg, slice, epoch,
                                         step);
}

/* Tells whether the lease under which the request was admitted is still valid
 * and granted to the target. If so, sets `until_ms` to the end of the
 * lease. */
static bool
may_send(void *arg, const struct rs_target_request *request, int64_t now_ms,
         int64_t *until_ms)
{
    const struct rs_holder *holder = arg;
    const struct rs_lease *lease =
        RsLeaseTable_Find(holder->leases, request->forward->slice);
    if (lease == NULL || !lease->mine || lease->epoch != request->epoch ||
        lease->step != request->step || now_ms >= lease->until_ms) {
        return false;
    }
    *until_ms = lease->until_ms;
    return RsTarget_IsGranted(request->target, now_ms, lease);
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

/* Fills in the options of a target from the current view. Their strings are
 * borrowed. Returns false when the target isn't listed, belongs to
 * another domain, or has no place or service. */
static bool
fill_target_options(struct rs_holder *holder, const char *name,
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
        .ping_interval_ms = holder->options.ping_interval_ms,
        .now_ms = RsClock_NowMs(),
        .lost_changed = on_lost_changed,
        .may_send = may_send,
        .fence_stale = on_fence_stale,
        .arg = holder,
    };
    return true;
}

static struct rs_target *
create_target(struct rs_holder *holder, const char *name)
{
    struct rs_target_options options;
    if (!fill_target_options(holder, name, &options)) {
        return NULL;
    }
    struct rs_target *target = RsTarget_New(&options);
    g_hash_table_insert(holder->targets, target->name, target);
    /* A target of this name may have been reported as lost before its VM was
     * removed from the list: report that the new one is not lost. */
    on_lost_changed(holder, target, false);
    return target;
}

/* Marks each target whose options in the current view are not applied yet, see
 * RsTarget_OptionsDiffer(), and clears the mark of all other targets. */
static void
mark_outdated(struct rs_holder *holder)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_target *target = value;
        struct rs_target_options options;
        target->outdated =
            fill_target_options(holder, target->name, &options) &&
            RsTarget_OptionsDiffer(target, &options);
    }
}

/* Applies the current options to an outdated target if
 * RsTarget_CanReconfigure() allows it. */
static void
reconfigure_if_possible(struct rs_holder *holder, struct rs_target *target,
                        int64_t now_ms)
{
    struct rs_target_options options;
    if (target->outdated && RsTarget_CanReconfigure(target, now_ms) &&
        fill_target_options(holder, target->name, &options)) {
        options.now_ms = now_ms;
        RsTarget_Reconfigure(target, &options);
    }
}

/* Returns the target with this name and creates it if necessary. Returns NULL
 * if it does not exist and cannot be created from the current view. */
static struct rs_target *
find_or_add_target(struct rs_holder *holder, const char *name)
{
    struct rs_target *target = g_hash_table_lookup(holder->targets, name);
    if (target == NULL && holder->view != NULL) {
        target = create_target(holder, name);
    }
    return target;
}

/* Tells whether a lease belongs to the set that the target is granted. A slice
 * that is being released stays in the set until its last request has ended. */
static bool
belongs_in_grant(const struct rs_lease *lease, const struct rs_target *target)
{
    if (!lease->mine || strcmp(lease->target, target->name) != 0) {
        return false;
    }
    return !lease->stopping ||
           RsTarget_SliceRequestCount(target, lease->slice) > 0;
}

/* Updates the set of slices that the target is to be granted. */
static void
update_slice_set(struct rs_holder *holder, struct rs_target *target)
{
    GArray *leases = g_array_new(FALSE, FALSE, sizeof(struct rs_lease));
    for (size_t i = 0; i < holder->leases->count; i++) {
        const struct rs_lease *lease = &holder->leases->leases[i];
        if (belongs_in_grant(lease, target)) {
            g_array_append_vals(leases, lease, 1);
        }
    }
    RsTarget_SetSlices(target, leases);
    g_array_free(leases, TRUE);
}

static void
update_all_slice_sets(struct rs_holder *holder)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        update_slice_set(holder, value);
    }
}

/* Creates the targets that own the slices held by this process, and notes
 * whether any of these slices is being released. */
static void
create_owner_targets(struct rs_holder *holder)
{
    holder->any_slice_stopping = false;
    for (size_t i = 0; i < holder->leases->count; i++) {
        const struct rs_lease *lease = &holder->leases->leases[i];
        if (lease->mine) {
            find_or_add_target(holder, lease->target);
            holder->any_slice_stopping |= lease->stopping;
        }
    }
}

/* Creates the targets of a place that belong to a cell of which this process
 * is a member. */
static void
create_targets_of_place(struct rs_holder *holder,
                        const struct rs_model_place *place)
{
    for (size_t i = 0; i < place->target_count; i++) {
        const char *name = place->targets[i].name;
        const struct rs_view_cell *cell =
            RsView_CellOfTarget(holder->view, place->domain, name);
        if (cell != NULL &&
            RsNames_Contain(cell->row.members, cell->row.member_count,
                            holder->self)) {
            find_or_add_target(holder, name);
        }
    }
}

/* Creates all targets of this process's cell, also those whose slices other
 * members hold. Their health is monitored, so that this process knows whether
 * a target is warm or lost when its slices are handed over. */
static void
create_cell_targets(struct rs_holder *holder)
{
    const struct rs_config *config = RsView_Config(holder->view);
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_PLACE); i++) {
        const struct rs_model_place *place =
            &RsConfig_EntryAt(config, RsObject_PLACE, i)->object.as.place;
        if (strcmp(place->domain, holder->domain) == 0) {
            create_targets_of_place(holder, place);
        }
    }
}

/* Replaces the view and takes over the caller's reference. Targets whose
 * options changed are updated by RsHolder_Tick(), once
 * RsTarget_CanReconfigure() allows it. */
void
RsHolder_SetView(struct rs_holder *holder, struct rs_view *view)
{
    RsView_Unref(holder->view);
    holder->view = view;
    mark_outdated(holder);
    create_cell_targets(holder);
    if (holder->leases != NULL) {
        create_owner_targets(holder);
        update_all_slice_sets(holder);
    }
}

/* Replaces the lease table and takes over the caller's reference. */
void
RsHolder_SetLeases(struct rs_holder *holder, struct rs_lease_table *leases)
{
    RsLeaseTable_Unref(holder->leases);
    holder->leases = leases;
    create_owner_targets(holder);
    update_all_slice_sets(holder);
}

/* Ends a request as not run. Frees `forward` and returns NULL. */
static struct rs_target_request *
refuse(Rs__Relay__Forward *forward,
       const struct rs_target_request_events *events, void *arg,
       const char *reason, uint32_t retry_after_ms)
{
    Rs__Relay__AnswerHead head = RS__RELAY__ANSWER_HEAD__INIT;
    head.outcome = RS__RELAY__OUTCOME__OUTCOME_NOT_RUN;
    head.reason = (char *)reason;
    head.retry_after_ms = retry_after_ms;
    rs__relay__forward__free_unpacked(forward, NULL);
    events->head(arg, &head);
    return NULL;
}

/* Ends a request with a redirect to `holder`, the process that holds the lease
 * of its slice. Frees `forward` and returns NULL. */
static struct rs_target_request *
redirect(Rs__Relay__Forward *forward,
         const struct rs_target_request_events *events, void *arg,
         const char *holder)
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
count_slice_request(struct rs_holder *holder, uint64_t slice)
{
    uint64_t *count = g_hash_table_lookup(holder->request_counts, &slice);
    if (count == NULL) {
        uint64_t *key = g_memdup2(&slice, sizeof(slice));
        count = g_new0(uint64_t, 1);
        g_hash_table_insert(holder->request_counts, key, count);
    }
    (*count)++;
}

/* Submits a request to its target, under `lease` when it is keyed. Returns the
 * request, or NULL when it ended during the call. */
static struct rs_target_request *
submit_request(struct rs_holder *holder, struct rs_target *target,
               Rs__Relay__Forward *forward,
               const struct rs_target_request_events *events, void *arg,
               const struct rs_lease *lease)
{
    int64_t now_ms = RsClock_NowMs();
    struct rs_target_request *request = g_new0(struct rs_target_request, 1);
    uint64_t id = ++holder->last_request_id;
    request->id = id;
    request->forward = forward;
    request->events = events;
    request->arg = arg;
    request->deadline_ms = now_ms + forward->time_left_ms;
    request->flow.window_bytes = RsFlow_WINDOW_BYTES;
    if (lease != NULL) {
        request->epoch = lease->epoch;
        request->step = lease->step;
        count_slice_request(holder, lease->slice);
    }
    RsTarget_Submit(target, request, now_ms);
    return g_hash_table_lookup(target->requests, &id);
}

/* Forwards a request whose slice decides the target. Only the holder of the
 * slice's lease may send it, and only while RsTarget_IsGranted() holds. */
static struct rs_target_request *
forward_keyed(struct rs_holder *holder, Rs__Relay__Forward *forward,
              const struct rs_target_request_events *events, void *arg)
{
    int64_t now_ms = RsClock_NowMs();
    const struct rs_lease *lease =
        RsLeaseTable_Find(holder->leases, forward->slice);
    if (lease == NULL) {
        return refuse(forward, events, arg, "not-in-cell",
                      RETRY_AFTER_NOT_SERVED_MS);
    }
    if (!lease->mine && lease->holder[0] != '\0') {
        return redirect(forward, events, arg, lease->holder);
    }
    if (!lease->mine || now_ms >= lease->until_ms) {
        return refuse(forward, events, arg, "no-holder",
                      RETRY_AFTER_NOT_SERVED_MS);
    }
    if (lease->stopping) {
        return refuse(forward, events, arg, "moving",
                      RETRY_AFTER_NOT_READY_MS);
    }
    struct rs_target *target = find_or_add_target(holder, lease->target);
    if (target != NULL && target->outdated) {
        return refuse(forward, events, arg, "moving",
                      RETRY_AFTER_NOT_READY_MS);
    }
    if (target == NULL || !RsTarget_IsGranted(target, now_ms, lease)) {
        return refuse(forward, events, arg, "no-grant",
                      RETRY_AFTER_NOT_READY_MS);
    }
    return submit_request(holder, target, forward, events, arg, lease);
}

/* Forwards a request to its target, redirects it, or refuses it. Takes
 * ownership of `forward`. Returns NULL when the request ended during the call;
 * its final event has then been delivered. */
struct rs_target_request *
RsHolder_Forward(struct rs_holder *holder, Rs__Relay__Forward *forward,
                 const struct rs_target_request_events *events, void *arg)
{
    if (forward->keyed) {
        return forward_keyed(holder, forward, events, arg);
    }
    struct rs_target *target = find_or_add_target(holder, forward->target);
    if (target == NULL) {
        return refuse(forward, events, arg, "not-in-domain",
                      RETRY_AFTER_NOT_SERVED_MS);
    }
    if (target->outdated) {
        return refuse(forward, events, arg, "moving",
                      RETRY_AFTER_NOT_READY_MS);
    }
    return submit_request(holder, target, forward, events, arg, NULL);
}

/* Cancels a request and frees it. None of its events follow. */
void
RsHolder_Cancel(struct rs_holder *holder, struct rs_target_request *request)
{
    RsTarget_Cancel(request->target, request, RsClock_NowMs());
}

/* Adds flow-control credit: the front has consumed `size_bytes` of the
 * answer's body. */
void
RsHolder_AddCredit(struct rs_target_request *request, uint32_t size_bytes)
{
    RsTarget_AddCredit(request, size_bytes);
}

/* Tells whether a slice that is being released is drained: its target does not
 * exist here, or none of the slice's requests waits or runs there and one of
 * these holds. Either the target checks fences and has acknowledged the
 * current slice set, in which the slice is not granted; or all grants to the
 * target have lapsed and the run deadlines of all requests abandoned there
 * have passed. */
static bool
is_drained(struct rs_holder *holder, const struct rs_lease *lease,
           int64_t now_ms)
{
    const struct rs_target *target =
        g_hash_table_lookup(holder->targets, lease->target);
    if (target == NULL) {
        return true;
    }
    if (RsTarget_SliceRequestCount(target, lease->slice) > 0) {
        return false;
    }
    bool revoked =
        target->options.checks_fences &&
        (target->grants.acknowledged_version == target->grants.set_version &&
         !g_hash_table_contains(target->grants.granted, &lease->slice));
    return revoked || (now_ms > target->grants.latest_grant_until_ms &&
                       now_ms > target->abandoned_until_ms);
}

/* Reports each slice that is being released and is drained. Does so on every
 * tick until the lease table changes. */
static void
report_drained(struct rs_holder *holder, int64_t now_ms)
{
    if (!holder->any_slice_stopping) {
        return;
    }
    update_all_slice_sets(holder);
    for (size_t i = 0; i < holder->leases->count; i++) {
        const struct rs_lease *lease = &holder->leases->leases[i];
        if (lease->mine && lease->stopping &&
            is_drained(holder, lease, now_ms)) {
            holder->options.reports->slice_drained(holder->options.arg, lease);
        }
    }
}

/* Computes the median latency of a service's targets, of at most
 * MAX_SERVICE_TARGETS, and stores it in all of them. */
static void
update_median(struct rs_holder *holder, const char *service, int64_t now_ms)
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
    double peer_median_us = RsHealth_MedianLatencyUs(peers, count, now_ms);
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_target *target = value;
        if (strcmp(target->service.name, service) == 0) {
            target->peer_median_us = peer_median_us;
        }
    }
}

static void
update_medians(struct rs_holder *holder, int64_t now_ms)
{
    if (holder->view == NULL || now_ms < holder->next_median_update_at_ms) {
        return;
    }
    holder->next_median_update_at_ms = now_ms + MEDIAN_INTERVAL_MS;
    const struct rs_config *config = RsView_Config(holder->view);
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_SERVICE); i++) {
        const struct rs_config_entry *entry =
            RsConfig_EntryAt(config, RsObject_SERVICE, i);
        update_median(holder, entry->object.as.service.name, now_ms);
    }
}

/* Reports the capacity share of each target that is in use here, since only a
 * process that sends requests to a target can measure its speed. Without
 * `all`, only changed shares are reported. */
static void
report_shares(struct rs_holder *holder, int64_t now_ms, bool all)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_target *target = value;
        bool active = now_ms < target->active_until_ms;
        if (active &&
            (all || target->reported_share != target->health.share)) {
            target->reported_share = target->health.share;
            holder->options.reports->share(holder->options.arg, target->name,
                                           target->health.share);
        }
    }
}

/* Once per interval, reports the request rate of each slice that had requests
 * in that interval, and the capacity shares of all targets in use. */
static void
report_loads(struct rs_holder *holder, int64_t now_ms)
{
    if (now_ms < holder->next_load_report_at_ms) {
        return;
    }
    holder->next_load_report_at_ms = now_ms + LOAD_REPORT_INTERVAL_MS;
    guint count = g_hash_table_size(holder->request_counts);
    struct rs_slice_load *loads = g_new0(struct rs_slice_load, count + 1);
    size_t at = 0;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->request_counts);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        loads[at].slice = *(uint64_t *)key;
        loads[at].requests_per_s =
            (double)*(uint64_t *)value * 1000 / LOAD_REPORT_INTERVAL_MS;
        at++;
    }
    g_hash_table_remove_all(holder->request_counts);
    holder->options.reports->loads(holder->options.arg, loads, at);
    g_free(loads);
    report_shares(holder, now_ms, true);
}

/* Tells whether a target's VM is gone from the view, and it has neither slices
 * nor requests. */
static bool
is_unused(const struct rs_holder *holder, const struct rs_target *target)
{
    if (holder->view == NULL ||
        RsView_Vm(holder->view, target->name) != NULL ||
        target->grants.slices->len > 0) {
        return false;
    }
    return g_hash_table_size(target->requests) == 0;
}

static void
tick_targets(struct rs_holder *holder, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_target *target = value;
        reconfigure_if_possible(holder, target, now_ms);
        RsTarget_Tick(target, now_ms);
        if (is_unused(holder, target)) {
            g_hash_table_iter_remove(&iter);
            RsTarget_Free(target);
        }
    }
}

/* Runs the periodic work: health checks, timeouts, grants and reports. Must be
 * called every few milliseconds. */
void
RsHolder_Tick(struct rs_holder *holder, int64_t now_ms)
{
    update_medians(holder, now_ms);
    tick_targets(holder, now_ms);
    report_shares(holder, now_ms, false);
    report_drained(holder, now_ms);
    report_loads(holder, now_ms);
}

/* Returns the number of requests that wait or run. */
size_t
RsHolder_RequestCount(const struct rs_holder *holder)
{
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holder->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_target *target = value;
        count += g_hash_table_size(target->requests);
    }
    return count;
}

/* Returns the counters, which any thread may read. They live as long as the
 * holder. */
const struct rs_target_counters *
RsHolder_Counters(const struct rs_holder *holder)
{
    return &holder->counters;
}

/* Returns the state of all targets as a new JSON array. */
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
