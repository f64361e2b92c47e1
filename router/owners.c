#include "router/owners.h"

#include <math.h>

#include "core/log.h"
#include "router/balance.h"

/* A target that has not responded to orders for this long counts as
 * unreachable. */
#define UNREACHABLE_MS 1500
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

/* Inputs of one planning round. */
struct planning {
    struct rs_router *router;
    struct rs_granter *granter;
    struct rs_reports *reports;
    int64_t now_ms;
};

/* Returns the lowest latency target of the routes to a service, in ms, or
 * INFINITY when there are none. */
static double
latency_target_ms(const struct rs_routing *config, const char *service)
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

/* Returns the capacity of a target in requests a second. `latency_ms` is the
 * latency target; `cold_per_s` is the request rate that a cold target can
 * take, 0 for no limit. */
static double
capacity_of(const struct rs_fleet_target *target, double latency_ms,
            double cold_per_s, int64_t now_ms)
{
    double capacity = RsLoad_CapacityPerS(target, latency_ms);
    if (now_ms < target->cold_until_ms && cold_per_s > 0) {
        capacity = MIN(capacity, cold_per_s * COLD_CAPACITY_SHARE);
    }
    if (is_limited(target, now_ms)) {
        capacity = MIN(capacity, target->limit.per_s * LIMITED_CAPACITY_SHARE);
    }
    return capacity;
}

/* Returns whether the target may be given keys and keep them. */
static bool
can_own(const struct planning *planning, const struct rs_fleet_target *target)
{
    bool unreachable =
        target->order_failing_since_ms > 0 &&
        planning->now_ms - target->order_failing_since_ms > UNREACHABLE_MS;
    return RsFleet_MayTakeWork(&planning->router->fleet, target,
                               planning->now_ms) &&
           !unreachable;
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

/* Fills in the targets of a service and returns their number. The array must
 * have room for all targets of the fleet. */
static size_t
list_targets(const struct planning *planning, const struct rs_service *service,
             struct rs_balance_target *targets)
{
    const GPtrArray *list = planning->router->fleet.list;
    double latency_ms =
        latency_target_ms(planning->router->config, service->name);
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
                .capacity =
                    capacity_of(target, latency_ms, service->cold_per_s,
                                planning->now_ms) *
                    open_share(planning, target),
            };
        }
    }
    return count;
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
    struct rs_balance_target *targets = g_new0(
        struct rs_balance_target, planning->router->fleet.list->len + 1);
    struct rs_balance_problem problem = {
        .targets = targets,
        .target_count = list_targets(planning, service, targets),
        .rates = RsReports_KeyRates(planning->reports, service->name,
                                    planning->now_ms),
        .window_s = RsReports_WINDOW_S,
    };
    size_t changes = RsBalance_Plan(entry->map, &problem);
    record_demand(planning, &problem);
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
