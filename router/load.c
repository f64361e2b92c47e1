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
/* And these, for nodes whose knowledge of the queue is too old. */
#define QUEUE_ROOM_BLIND 1
/* The way to another zone and back. */
#define OTHER_ZONE_MS 6.0
/* Bytes between zones are paid for: an answer of this many is worth a ms. */
#define OTHER_ZONE_BYTES_PER_MS 2000.0
/* Spreads the choices of nodes that see the same load. */
#define CHOICE_NOISE 0.2
/* Nodes of a deployment in which all may compare all targets. */
#define TRUSTED_NODES 11.0
#define SAMPLE_LEAST 2
/* Each target is the home target of one node of its zone, which knows its load
 * best and sends to it by preference: it costs that node this share. Of 0.4 to
 * 1.0, the least made the most answers come in time (router/herd_test.c). */
#define HOME_FACTOR 0.4
/* Demand is told a few times a second by the granter. */
#define DEMAND_FRESH_MS 1000
/* The time of the work is overestimated under load, as it takes in some of
 * the waiting at the target; below this factor its queue may still do. */
#define OVERLOAD_FACTOR 2.0
/* Of what an overloaded target can run, so that it is never idle. */
#define ADMITTED_SHARE 1.1
/* Targets that are too slow for the latency target are used a little all the
 * same, since their speed changes. */
#define LEAST_PUNCTUAL 0.1
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

/* Returns how many requests a second the target can run so that they mostly
 * come within the latency target. At the same use of their slots, requests
 * wait at each target for a multiple of its time for the work; a slow one must
 * be used less for its answers to come as soon. */
double
RsLoad_PunctualPerS(const struct rs_fleet_target *target,
                    double latency_target_ms)
{
    double service_ms = RsLoad_ServiceMs(target);
    double share = 1 - service_ms / latency_target_ms;
    return MS_PER_S * target->report.slots / service_ms *
           MAX(share, LEAST_PUNCTUAL);
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

/* Returns how far the sums of load can be trusted: 1 to near 0. They get older
 * with the nodes, and so many more choices are made by the same sums. */
static double
trust_in_sums(const struct rs_load_choice *choice)
{
    double share = TRUSTED_NODES / MAX(choice->share.nodes, 1);
    return MIN(share * share, 1.0);
}

/* Tells whether the target's queue takes one more. Where the sums are old, the
 * target itself knows its queue best, and is sent more than this node would
 * send by fresh ones. */
bool
RsLoad_HasRoom(const struct rs_fleet_target *target,
               const struct rs_load_choice *choice, int64_t now_ms)
{
    double room = QUEUE_ROOM + QUEUE_ROOM_BLIND * (1 - trust_in_sums(choice));
    return RsLoad_Ahead(target, now_ms) < target->report.slots + room &&
           now_ms >= target->full_until_ms;
}

/* Tells whether a request for a key of the target is admitted. When more are
 * asked of it than it can run, each node admits the same share of its own, so
 * that together they keep it busy but not full. */
bool
RsLoad_Admits(struct rs_fleet_target *target, int64_t now_ms)
{
    double run_per_s =
        MS_PER_S * target->report.slots / RsLoad_ServiceMs(target);
    if (target->demand_per_s <= OVERLOAD_FACTOR * run_per_s ||
        now_ms - target->demand_at_ms > DEMAND_FRESH_MS) {
        return true;
    }
    target->admission += ADMITTED_SHARE * run_per_s / target->demand_per_s;
    if (target->admission < 1) {
        return false;
    }
    target->admission -= 1;
    return true;
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
    double senders = cold_senders(choice);
    /* It may have had as much as it bears in the second before it turned cold;
     * the senders begin one after the other. */
    double first_ms = target->turned_cold_ms + turn * MS_PER_S / senders;
    return turn < senders && (double)now_ms >= first_ms &&
           now_ms >= target->next_cold_send_ms;
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

/* Returns how many targets to compare. Many nodes that compared the same ones
 * would overfill those that looked idle. */
static uint32_t
sample_size(const struct rs_load_choice *choice, uint32_t usable)
{
    double share = usable * trust_in_sums(choice);
    return MAX((uint32_t)share, SAMPLE_LEAST);
}

/* Returns what share of its cost a home target counts with. */
static double
home_factor(const struct rs_load_choice *choice)
{
    return HOME_FACTOR + (1 - HOME_FACTOR) * trust_in_sums(choice);
}

/* Tells whether this node is the one whose home target it is. */
static bool
is_home(const struct rs_load_choice *choice,
        const struct rs_fleet_target *target)
{
    uint32_t nodes = choice->share.zone_nodes;
    return target->report.zone == choice->zone && nodes > 0 &&
           g_str_hash(target->id) % nodes == choice->share.zone_rank;
}

static double
cost_of(const struct rs_load_choice *choice,
        const struct rs_fleet_target *target, int64_t now_ms)
{
    double noise = 1 + CHOICE_NOISE * g_rand_double(choice->random);
    double way_ms = 0;
    if (target->report.zone != choice->zone) {
        way_ms =
            OTHER_ZONE_MS + choice->answer_bytes / OTHER_ZONE_BYTES_PER_MS;
    }
    return RsLoad_ExpectMs(target, now_ms) * noise + way_ms;
}

/* Lists the targets that may take the request now. */
static enum rs_load_verdict
list_usable(const struct rs_load_choice *choice, int64_t now_ms,
            GPtrArray *usable)
{
    bool full = false;
    for (guint i = 0; i < choice->fleet->list->len; i++) {
        struct rs_fleet_target *target =
            g_ptr_array_index(choice->fleet->list, i);
        if (target->report.service != choice->service ||
            !RsFleet_MayTakeWork(choice->fleet, target, now_ms) ||
            is_excluded(choice, target->id) ||
            now_ms < target->avoid_until_ms) {
            continue;
        }
        if (RsLoad_HasRoom(target, choice, now_ms) &&
            RsLoad_ColdAllows(target, choice, now_ms)) {
            g_ptr_array_add(usable, target);
        }
        else {
            full = true;
        }
    }
    if (usable->len > 0) {
        return RsLoad_SEND;
    }
    return full ? RsLoad_FULL : RsLoad_NONE;
}

/* Moves the home targets to the front and returns how many there are. */
static guint
put_home_first(const struct rs_load_choice *choice, GPtrArray *usable)
{
    guint home = 0;
    for (guint i = 0; i < usable->len; i++) {
        gpointer target = g_ptr_array_index(usable, i);
        if (is_home(choice, target)) {
            usable->pdata[i] = usable->pdata[home];
            usable->pdata[home++] = target;
        }
    }
    return home;
}

/* Puts a random sample behind the first ones; returns how many are to be
 * compared then. */
static guint
put_sample_next(const struct rs_load_choice *choice, GPtrArray *usable,
                guint first)
{
    guint wanted = first + sample_size(choice, usable->len);
    guint count = MIN(wanted, usable->len);
    for (guint i = first; i < count; i++) {
        guint turn = (guint)g_rand_int_range(choice->random, (gint32)i,
                                             (gint32)usable->len);
        gpointer target = usable->pdata[turn];
        usable->pdata[turn] = usable->pdata[i];
        usable->pdata[i] = target;
    }
    return count;
}

/* Chooses, among the home targets of this node and a sample of the others, the
 * one that is expected to answer first. */
enum rs_load_verdict
RsLoad_Choose(const struct rs_load_choice *choice, int64_t now_ms,
              struct rs_fleet_target **chosen)
{
    GPtrArray *usable = g_ptr_array_new();
    double best = INFINITY;
    enum rs_load_verdict verdict = list_usable(choice, now_ms, usable);
    guint home = put_home_first(choice, usable);
    guint count = put_sample_next(choice, usable, home);
    *chosen = NULL;
    for (guint i = 0; i < count; i++) {
        struct rs_fleet_target *target = g_ptr_array_index(usable, i);
        double cost = cost_of(choice, target, now_ms) *
                      (i < home ? home_factor(choice) : 1.0);
        if (cost < best) {
            best = cost;
            *chosen = target;
        }
    }
    g_ptr_array_unref(usable);
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

/* Tells whether one more target may be asked: those that are still being asked
 * count like those that did not answer. */
bool
RsLoad_MayTryOneMore(uint32_t max_attempts, uint32_t ended, uint32_t active)
{
    return ended + active < max_attempts;
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
