#include "router/load.h"

#include <math.h>
#include <string.h>

/* Reports of other nodes come every 150 ms; two may be lost. */
#define ELSEWHERE_FRESH_MS 600
/* What targets told with an answer changes many times a second. */
#define LOAD_FRESH_MS 400
/* Requests that may wait at a target, which holds 8. Those that wait there
 * when its keys move are refused; those that wait at a node are not. */
#define QUEUE_ROOM 2
/* The way to another zone and back, and the price of its bytes. */
#define OTHER_ZONE_MS 6.0
/* Spreads the choices of nodes that see the same load. */
#define CHOICE_NOISE 0.2
#define OWN_SAMPLES 8 /* before them, the mean of all nodes is better */
#define MS_PER_S 1000
/* Share of the bound on a cold target that is used, since sends of two
 * seconds may arrive in one. */
#define COLD_SHARE 0.6
/* Callers wait for at most a third of the time that they have left. */
#define RETRY_LEAST_SHARE 0.12
#define RETRY_MOST_SHARE 0.32
#define RETRY_LEAST_MS 20
/* Share of the budget that nodes use, as they count by themselves. */
#define BUDGET_SHARE 0.7

static bool
has_fresh_load(const struct rs_fleet_target *target, int64_t now_ms)
{
    return target->load_at_ms > 0 &&
           now_ms - target->load_at_ms < LOAD_FRESH_MS;
}

/* Returns how many requests the target is thought to have, of all nodes. */
double
RsLoad_Ahead(const struct rs_fleet_target *target, int64_t now_ms)
{
    double others = 0;
    bool told = has_fresh_load(target, now_ms);
    bool reported = target->elsewhere_at_ms > 0 &&
                    now_ms - target->elsewhere_at_ms < ELSEWHERE_FRESH_MS;
    if (told && (!reported || target->load_at_ms > target->elsewhere_at_ms)) {
        double there = (double)target->load.running + target->load.waiting;
        others = MAX(0.0, there - target->in_flight_at_load);
    }
    else if (reported) {
        others = target->elsewhere;
    }
    return target->in_flight + others;
}

/* Returns the time of the work on one request, with nobody ahead. */
double
RsLoad_ServiceMs(const struct rs_fleet_target *target)
{
    if (target->shared_service_ms > 0 && target->answers < OWN_SAMPLES) {
        return target->shared_service_ms;
    }
    return target->service_ms;
}

/* Returns how long a request sent now is expected to take. */
double
RsLoad_ExpectMs(const struct rs_fleet_target *target, int64_t now_ms)
{
    double pace = 1;
    if (has_fresh_load(target, now_ms)) {
        pace = (double)target->load.pace_percent / RsReport_NORMAL_PACE;
    }
    return RsLoad_ServiceMs(target) * pace *
           RsFleet_Rounds(target, RsLoad_Ahead(target, now_ms));
}

/* Tells whether the target's queue takes one more. */
bool
RsLoad_HasRoom(const struct rs_fleet_target *target, int64_t now_ms)
{
    return RsLoad_Ahead(target, now_ms) < target->report.slots + QUEUE_ROOM;
}

/* Returns how many nodes may send to one cold target at all, so that the sum
 * stays within the bound in any second. */
static double
cold_senders(const struct rs_load_choice *choice)
{
    double bound = choice->cold_per_s * choice->bounds.cold_factor +
                   choice->bounds.cold_slack;
    return MIN(choice->share.nodes, MAX(1.0, floor(bound * COLD_SHARE)));
}

/* Tells whether this node may send a request to a target that may be cold. */
bool
RsLoad_ColdAllows(const struct rs_fleet_target *target,
                  const struct rs_load_choice *choice, int64_t now_ms)
{
    if (now_ms >= target->cold_until_ms) {
        return true;
    }
    uint32_t turn = (choice->share.rank + g_str_hash(target->id)) %
                    MAX(choice->share.nodes, 1);
    return turn < cold_senders(choice) && now_ms >= target->next_cold_send_ms;
}

/* Notes a send, so that the next one to a cold target keeps its distance. */
void
RsLoad_NoteColdSend(struct rs_fleet_target *target,
                    const struct rs_load_choice *choice, int64_t now_ms)
{
    if (now_ms < target->cold_until_ms && choice->cold_per_s > 0) {
        double interval_ms =
            MS_PER_S * cold_senders(choice) / choice->cold_per_s;
        target->next_cold_send_ms =
            now_ms + (int64_t)MAX(interval_ms, MS_PER_S);
    }
}

static bool
is_excluded(const struct rs_load_choice *choice, const char *id)
{
    for (size_t i = 0; i < choice->excluded_count; i++) {
        if (choice->excluded[i] == id) {
            return true;
        }
    }
    return false;
}

/* Chooses the target that is expected to answer first. */
enum rs_load_verdict
RsLoad_Choose(const struct rs_load_choice *choice, int64_t now_ms,
              struct rs_fleet_target **chosen)
{
    enum rs_load_verdict verdict = RsLoad_NONE;
    double best = INFINITY;
    GHashTableIter iter;
    gpointer value;
    *chosen = NULL;
    g_hash_table_iter_init(&iter, choice->fleet->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_fleet_target *target = value;
        if (target->report.service != choice->service ||
            !RsFleet_MayTakeWork(choice->fleet, target, now_ms) ||
            is_excluded(choice, target->id) ||
            now_ms < target->avoid_until_ms) {
            continue;
        }
        if (!RsLoad_HasRoom(target, now_ms) ||
            !RsLoad_ColdAllows(target, choice, now_ms)) {
            verdict = verdict == RsLoad_NONE ? RsLoad_FULL : verdict;
            continue;
        }
        double cost =
            RsLoad_ExpectMs(target, now_ms) *
                (1 + CHOICE_NOISE * g_rand_double(choice->random)) +
            (target->report.zone == choice->zone ? 0 : OTHER_ZONE_MS);
        if (cost < best) {
            best = cost;
            *chosen = target;
            verdict = RsLoad_SEND;
        }
    }
    return verdict;
}

/* Returns when a caller with this much time left should come back. The return
 * of many is spread. */
uint32_t
RsLoad_RetryAfterMs(int64_t time_left_ms, GRand *random)
{
    double share =
        g_rand_double_range(random, RETRY_LEAST_SHARE, RETRY_MOST_SHARE);
    return (uint32_t)MAX((double)time_left_ms * share, RETRY_LEAST_MS);
}

static void
advance_budget(struct rs_load_budget *budget, int64_t now_ms)
{
    int64_t second = now_ms / MS_PER_S;
    if (second - budget->second >= RsLoad_BUDGET_SLOTS) {
        budget->second = second - RsLoad_BUDGET_SLOTS;
    }
    while (budget->second < second) {
        budget->second++;
        budget->requests[budget->second % RsLoad_BUDGET_SLOTS] = 0;
        budget->repeats[budget->second % RsLoad_BUDGET_SLOTS] = 0;
    }
}

/* Counts a caller's request. */
void
RsLoad_CountRequest(struct rs_load_budget *budget, int64_t now_ms)
{
    advance_budget(budget, now_ms);
    budget->requests[budget->second % RsLoad_BUDGET_SLOTS]++;
}

/* Tells whether a request may be sent once more, and counts it if so. */
bool
RsLoad_TakeRepeat(struct rs_load_budget *budget, uint32_t nodes,
                  int64_t now_ms)
{
    double requests = 0;
    double repeats = 0;
    advance_budget(budget, now_ms);
    uint32_t window = MIN(budget->window_s, RsLoad_BUDGET_SLOTS - 1);
    for (uint32_t i = 0; i < window; i++) {
        int64_t slot = (budget->second - i) % RsLoad_BUDGET_SLOTS;
        requests += budget->requests[slot];
        repeats += budget->repeats[slot];
    }
    double allowed = BUDGET_SHARE * (budget->ratio * requests +
                                     budget->slack / MAX(nodes, 1));
    if (repeats + 1 > allowed) {
        return false;
    }
    budget->repeats[budget->second % RsLoad_BUDGET_SLOTS]++;
    return true;
}
