#include "router/owners.h"

#include <math.h>

#include "core/log.h"
#include "router/balance.h"

/* Plans count on only this share of the request rate that a cold target can
 * take. */
#define COLD_CAPACITY_SHARE 0.6
/* Plans count on only this share of a target's limit: its senders pace their
 * requests, so more demand would be refused although the limit isn't used up.
 */
#define LIMITED_CAPACITY_SHARE 0.5
/* Limited targets keep no keys while the others have at least this share of
 * the capacity that all would have without limits. */
#define MIN_UNLIMITED_SHARE 0.5
#define MS_PER_S 1000.0
/* Least share of its capacity that is assumed of a target that wants no
 * requests from any node, so that its keys move to others. */
#define MIN_OPEN_SHARE 0.02

/* The first keys of a service are assigned once the list of its targets has
 * not grown for the first time, or after the second time since the first
 * target. Targets report every 870 ms (heartbeat_ms), so one that is up is
 * listed within the first time. */
#define LIST_COMPLETE_MS 1200
#define MAX_LIST_WAIT_MS 4000
/* A service with fewer requests a second counts as idle: its targets are
 * planned with the capacity that they will have when they are warm. */
#define MAX_IDLE_PER_S 1.0

/* Share of the requests that the owner of a hot key can run that is admitted.
 * At 0.8, requests arrive at random and wait for about two thirds of the time
 * that one takes; closer to 1 the owner is often full and resets connections.
 */
#define HOT_OWNER_SHARE 0.8
/* Least admitted share while the owner still has other keys. */
#define MIN_HOT_SHARE 0.2
/* A target is full when this many more requests than it has slots are known
 * to run or wait there. */
#define FULL_QUEUE 2

/* Rates are known once all nodes had time for two reports since the granter
 * began to collect them, and this time has passed; younger ones are mostly
 * random variation. */
#define MIN_RATE_AGE_MS 1000

/* Inputs of one planning round. */
struct planning {
    struct rs_router *router;
    struct rs_granter *granter;
    struct rs_reports *reports;
    int64_t now_ms;
};

/* Returns the lowest latency target of the routes to a service, in ms, or
 * INFINITY when there are none. */
double
RsOwners_LatencyTargetMs(const struct rs_routing *config, const char *service)
{
    double lowest_ms = INFINITY;
    for (size_t i = 0; i < config->route_count; i++) {
        const struct rs_route *route = &config->routes[i];
        for (size_t k = 0; k < route->share_count; k++) {
            if (route->shares[k].service == service) {
                lowest_ms = MIN(lowest_ms, route->target_latency_ms);
            }
        }
    }
    return lowest_ms;
}

/* Returns whether the target has lately stated a limit. */
static bool
is_limited(const struct rs_fleet_target *target, int64_t now_ms)
{
    return target->limit.per_s > 0 &&
           !RsLimit_IsUnconfirmed(&target->limit, now_ms);
}

/* Returns the rate that a target which could run `per_s` requests a second
 * takes while it is cold or has a limit. */
static double
bound_rate(const struct rs_fleet_target *target, double per_s,
           double cold_per_s, int64_t now_ms)
{
    if (now_ms < target->cold_until_ms && cold_per_s > 0) {
        per_s = MIN(per_s, cold_per_s * COLD_CAPACITY_SHARE);
    }
    if (is_limited(target, now_ms)) {
        per_s = MIN(per_s, target->limit.per_s * LIMITED_CAPACITY_SHARE);
    }
    return per_s;
}

/* Returns the capacity of a target in requests a second. `latency_ms` is the
 * latency target; `cold_per_s` is the request rate that a cold target can
 * take, 0 for no limit. */
static double
capacity_of(const struct rs_fleet_target *target, double latency_ms,
            double cold_per_s, int64_t now_ms)
{
    return bound_rate(target, RsLoad_CapacityPerS(target, latency_ms),
                      cold_per_s, now_ms);
}

/* Returns whether the target may be given keys and keep them. */
static bool
can_own(const struct planning *planning, const struct rs_fleet_target *target)
{
    return RsFleet_MayTakeWork(&planning->router->fleet, target,
                               planning->now_ms) &&
           !RsReachability_IsUnreachable(&target->reachability,
                                         planning->now_ms);
}

static void
log_overload(const struct rs_balance_target *planned, bool overloaded)
{
    RsLog_EVENT(RsLog_INFO, overloaded ? "owner_overloaded" : "owner_relieved",
                RsLog_TEXT("target", planned->owner.id),
                RsLog_NUMBER("demand_per_s", (int64_t)planned->load),
                RsLog_NUMBER("capacity_per_s", (int64_t)planned->capacity));
}

/* Records the load of each overloaded target in the fleet, and 0 for each
 * target whose load is within its capacity. */
static void
record_demand(const struct planning *planning,
              const struct rs_balance_problem *problem)
{
    for (size_t i = 0; i < problem->target_count; i++) {
        const struct rs_balance_target *planned = &problem->targets[i];
        struct rs_fleet_target *target =
            RsFleet_Find(&planning->router->fleet, planned->owner.id);
        double demand_per_s =
            planned->load > planned->capacity ? planned->load : 0;
        if ((demand_per_s > 0) != (target->demand_per_s > 0)) {
            log_overload(planned, demand_per_s > 0);
        }
        target->demand_per_s = demand_per_s;
        target->demand_at_ms = planning->now_ms;
    }
}

/* Returns the share of the nodes from which the target takes requests. */
static double
open_share(const struct planning *planning,
           const struct rs_fleet_target *target)
{
    return MAX(1 - RsReports_ClosedShare(planning->reports, target->id),
               MIN_OPEN_SHARE);
}

/* Returns whether the targets of a service without a limit have capacity for
 * the keys of the limited ones, too. */
static bool
can_spare_limited(const struct planning *planning,
                  const struct rs_service *service, double latency_ms)
{
    const GPtrArray *list = planning->router->fleet.list;
    double unlimited = 0;
    double all = 0;
    for (guint i = 0; i < list->len; i++) {
        const struct rs_fleet_target *target = g_ptr_array_index(list, i);
        if (target->report.service == service->name &&
            can_own(planning, target)) {
            double capacity = RsLoad_CapacityPerS(target, latency_ms);
            all += capacity;
            unlimited += is_limited(target, planning->now_ms) ? 0 : capacity;
        }
    }
    return unlimited >= MIN_UNLIMITED_SHARE * all;
}

/* Returns whether the list of targets of a service is likely to be complete.
 */
static bool
is_list_complete(const struct planning *planning, const char *service)
{
    const GPtrArray *list = planning->router->fleet.list;
    int64_t first_ms = INT64_MAX;
    int64_t last_ms = 0;
    for (guint i = 0; i < list->len; i++) {
        const struct rs_fleet_target *target = g_ptr_array_index(list, i);
        if (target->report.service == service) {
            first_ms = MIN(first_ms, target->known_since_ms);
            last_ms = MAX(last_ms, target->known_since_ms);
        }
    }
    return last_ms > 0 && (planning->now_ms - last_ms >= LIST_COMPLETE_MS ||
                           planning->now_ms - first_ms >= MAX_LIST_WAIT_MS);
}

/* Returns whether no key of the map ever had an owner. */
static bool
is_unassigned(const struct rs_keymap *map)
{
    const struct rs_key_range *range = RsKeymap_GetRange(map, 0);
    return map->ranges->len == 1 && range->owner.id == NULL &&
           range->former.id == NULL && range->fence == 0;
}

/* Returns whether there are so few requests for keys that the service is
 * idle. */
static bool
is_idle(const float *rates)
{
    double total = 0;
    for (size_t key = 0; key < RsKeymap_KEYS; key++) {
        total += rates[key];
    }
    return total < MAX_IDLE_PER_S;
}

/* Fills in the targets of a service and returns their number. The array must
 * have room for all targets of the fleet. */
static size_t
list_targets(const struct planning *planning, const struct rs_service *service,
             bool idle, struct rs_balance_target *targets)
{
    double cold_per_s = idle ? 0 : service->cold_per_s;
    const GPtrArray *list = planning->router->fleet.list;
    double latency_ms =
        RsOwners_LatencyTargetMs(planning->router->config, service->name);
    bool spare_limited = can_spare_limited(planning, service, latency_ms);
    size_t count = 0;
    for (guint i = 0; i < list->len; i++) {
        const struct rs_fleet_target *target = g_ptr_array_index(list, i);
        if (target->report.service == service->name) {
            bool spared =
                spare_limited && is_limited(target, planning->now_ms);
            targets[count++] = (struct rs_balance_target){
                .owner = {target->id, target->report.started_wall_ms,
                          target->report.address_text},
                .eligible = can_own(planning, target) && !spared,
                .capacity = capacity_of(target, latency_ms, cold_per_s,
                                        planning->now_ms) *
                            open_share(planning, target),
                .full = RsLoad_CountOutstanding(target, planning->now_ms) >=
                        target->report.slots + FULL_QUEUE,
            };
        }
    }
    return count;
}

static bool
are_rates_known(const struct planning *planning,
                const struct rs_key_rates *key_rates)
{
    int64_t interval_ms = RsReports_IntervalMs(planning->router->share.nodes);
    return planning->now_ms - key_rates->since_ms >=
           MIN_RATE_AGE_MS + 2 * interval_ms;
}

/* Finds the hot keys of a service and lists them in `planned`. Their rates are
 * set to 0, see struct rs_balance_problem. Returns their number. */
static size_t
list_hot_keys(const struct planning *planning,
              const struct rs_balance_problem *problem,
              const struct rs_key_rates *key_rates, float *rates,
              const char *service, struct rs_balance_hot_key *planned)
{
    struct rs_hot_keys *hot = &planning->router->hot_keys;
    double fastest_per_s = 0;
    size_t count = 0;
    for (size_t i = 0; i < problem->target_count; i++) {
        if (problem->targets[i].eligible) {
            fastest_per_s = MAX(fastest_per_s, problem->targets[i].capacity);
        }
    }
    RsHotKeys_Detect(hot, service, key_rates, fastest_per_s, planning->now_ms);
    for (size_t i = 0; i < hot->count; i++) {
        if (hot->keys[i].service == service) {
            planned[count++].key = hot->keys[i].key;
            rates[hot->keys[i].key] = 0;
        }
    }
    return count;
}

/* Sets the rates at which requests for hot keys are admitted: what their
 * owners can run beside their other keys. */
static void
set_admitted(const struct planning *planning, const struct rs_service *service,
             const struct rs_balance_problem *problem)
{
    if (problem->rates_unknown) {
        return; /* what the former granter has stated stays in use */
    }
    for (size_t i = 0; i < problem->hot_key_count; i++) {
        const struct rs_balance_hot_key *planned = &problem->hot_keys[i];
        struct rs_hot_key *hot = RsHotKeys_Find(&planning->router->hot_keys,
                                                service->name, planned->key);
        if (planned->target == problem->target_count) {
            hot->admitted_per_s = hot->demand_per_s;
            continue;
        }
        const struct rs_fleet_target *owner =
            RsFleet_Find(&planning->router->fleet,
                         problem->targets[planned->target].owner.id);
        double runs_per_s = bound_rate(
            owner, MS_PER_S * owner->report.slots / RsLoad_ServiceMs(owner),
            service->cold_per_s, planning->now_ms);
        RsHotKeys_SetPace(hot,
                          RsLoad_CountOutstanding(owner, planning->now_ms),
                          owner->report.slots);
        hot->admitted_per_s = hot->pace * MAX(HOT_OWNER_SHARE * runs_per_s -
                                                  planned->others_per_s,
                                              MIN_HOT_SHARE * runs_per_s);
    }
    planning->router->hot_keys.known = true;
}

static void
log_plan(const struct rs_granter_map *entry, size_t changes)
{
    RsLog_EVENT(RsLog_INFO, "keys_planned",
                RsLog_TEXT("service", entry->map->service),
                RsLog_NUMBER("pieces", changes),
                RsLog_NUMBER("ranges", entry->map->ranges->len),
                RsLog_NUMBER("next_fence", entry->map->next_fence));
}

/* Plans the key map of one service. Does nothing while the map has uncommitted
 * changes, or if there are too many maps. */
static void
plan_service(const struct planning *planning, const struct rs_service *service)
{
    struct rs_granter_map *entry =
        RsGranter_FindMap(planning->granter, service->name);
    if (entry == NULL) {
        entry = RsGranter_AddMap(planning->granter, service->name);
    }
    if (entry == NULL || entry->dirty || entry->in_commit) {
        return;
    }
    struct rs_key_rates *key_rates =
        RsReports_KeyRates(planning->reports, service->name, planning->now_ms);
    if (is_unassigned(entry->map) && !key_rates->requested &&
        !is_list_complete(planning, service->name)) {
        return;
    }
    float *rates = RsKeyRates_Blend(key_rates, planning->now_ms);
    struct rs_balance_target *targets = g_new0(
        struct rs_balance_target, planning->router->fleet.list->len + 1);
    struct rs_balance_problem problem = {
        .targets = targets,
        .target_count =
            list_targets(planning, service, is_idle(rates), targets),
        .rates = rates,
        .window_s = RsKeyRates_WindowS(key_rates, planning->now_ms),
        .rates_unknown = !are_rates_known(planning, key_rates),
    };
    struct rs_balance_hot_key hot_keys[RsHotKeys_MAX] = {0};
    problem.hot_keys = hot_keys;
    problem.hot_key_count = list_hot_keys(planning, &problem, key_rates, rates,
                                          service->name, hot_keys);
    size_t changes = RsBalance_Plan(entry->map, &problem);
    record_demand(planning, &problem);
    set_admitted(planning, service, &problem);
    if (changes > 0) {
        entry->dirty = true;
        log_plan(entry, changes);
    }
    g_free(targets);
}

/* Plans the key maps of all sharded services. Does nothing while this node may
 * not change owners. */
void
RsOwners_Plan(struct rs_router *router, struct rs_granter *granter,
              struct rs_reports *reports, int64_t now_ms)
{
    const struct planning planning = {router, granter, reports, now_ms};
    const struct rs_routing *config = router->config;
    if (config == NULL || !RsGranter_MayPlan(granter, now_ms)) {
        return;
    }
    for (size_t i = 0; i < config->service_count; i++) {
        if (config->services[i].sharded) {
            plan_service(&planning, &config->services[i]);
        }
    }
}
