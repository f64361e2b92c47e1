#include "router/load.h"

#include <math.h>
#include <string.h>

/* The sums of the other nodes' loads are used up to this age. With up to 30
 * nodes they arrive every 150 ms, so that two may be lost; with more nodes
 * they arrive every 5 ms times the number of nodes (see router/node.c). */
#define MAX_REPORT_AGE_MS 600
/* A load reported by a target with an answer is valid for this long only,
 * since it changes many times a second. */
#define MAX_LOAD_AGE_MS 400
/* Without load.adaptive, a target has room while fewer requests than this, of
 * the 8 that fit, are estimated to wait there. A target refuses its waiting
 * requests when their keys move; those that wait at a node are kept. */
#define MAX_QUEUED 2
/* Up to this many further requests may wait when the known queue length is out
 * of date. */
#define MAX_QUEUED_UNCERTAIN 1
/* Additional round-trip time to a target in another zone. */
#define CROSS_ZONE_MS 6.0
/* Traffic between zones costs money: an answer of this many bytes is weighted
 * like 1 ms of latency. */
#define CROSS_ZONE_BYTES_PER_MS 2000.0
/* The expected latency is raised by a random share of up to this, so that
 * nodes that see the same load choose differently. */
#define CHOICE_NOISE 0.2
/* Up to this many nodes, each one may compare all targets. */
#define FULL_CONFIDENCE_NODES 11.0
#define MIN_SAMPLE 2
/* Each target is the home target of one node in its zone. That node knows the
 * target's load best and prefers the target by a factor on its cost. The less
 * reliable the sums of the other nodes' loads are, the closer the factor comes
 * to HOME_FACTOR. With a HOME_FACTOR closer to 1, fewer answers arrive in time
 * (router/load_simulation_test.c). */
#define HOME_FACTOR 0.4
/* Lower limit of the usable share of a target's capacity. It applies to a
 * target whose service time is near or above the latency target; such a target
 * still gets some requests, since its speed may change. */
#define MIN_CAPACITY_SHARE 0.1
/* The same if the service time is learned (router/concurrency.h). With 0.1,
 * fast targets get so many keys of the slow ones that fewer answers arrive in
 * time than with equal shares (docs/design/concurrency.md). */
#define MIN_LEARNED_CAPACITY_SHARE 0.7
/* With fewer own samples, the mean service time of all nodes is better. */
#define MIN_OWN_SAMPLES 8
#define MS_PER_S 1000
/* Share of the bound on a cold target that is used, since requests sent in two
 * different seconds may arrive in the same one. */
#define COLD_BOUND_SHARE 0.6
/* A node that gets another place among the senders to cold targets holds back
 * for this long. The bound is on the requests in one second, in which the node
 * that had the place before may have sent some. */
#define PLACE_SETTLE_MS 1000
/* Callers are told to retry after a random share of their remaining time
 * between these two, at most a third of it. */
#define MIN_RETRY_SHARE 0.12
#define MAX_RETRY_SHARE 0.32
#define MIN_RETRY_MS 20
/* The return of callers who are told when they can be served is spread over
 * this time, plus this share of their wait. */
#define MIN_RETRY_SPREAD_MS 60.0
#define RETRY_SPREAD_SHARE 0.25
/* Share of the retry budget that is used, since each node counts only its own
 * requests. */
#define BUDGET_SHARE 0.7

static bool
has_fresh_load(const struct rs_fleet_target *target, int64_t now_ms)
{
    return target->load_at_ms > 0 &&
           now_ms - target->load_at_ms < MAX_LOAD_AGE_MS;
}

/* Returns the estimated number of requests, of all nodes, that are running or
 * waiting at the target. */
double
RsLoad_CountOutstanding(const struct rs_fleet_target *target, int64_t now_ms)
{
    double others = 0;
    bool has_load = has_fresh_load(target, now_ms);
    bool reported = target->elsewhere_at_ms > 0 &&
                    now_ms - target->elsewhere_at_ms < MAX_REPORT_AGE_MS;
    if (has_load &&
        (!reported || target->load_at_ms > target->elsewhere_at_ms)) {
        double at_target = (double)target->load.running + target->load.waiting;
        others = MAX(0.0, at_target - target->in_flight_at_load);
    }
    else if (reported) {
        others = target->elsewhere;
    }
    return target->in_flight + others;
}

/* Returns the average service time of the target over its last answers at this
 * node or, while there are few, the mean of all nodes if known, in ms. */
static double
average_service_ms(const struct rs_fleet_target *target)
{
    if (target->shared_service_ms > 0 && target->answers < MIN_OWN_SAMPLES) {
        return target->shared_service_ms;
    }
    return target->service_ms;
}

/* Returns the estimated time that the target takes for one request without
 * queueing, in ms: the learned one (router/concurrency.h) if there is any,
 * else the average. */
double
RsLoad_ServiceMs(const struct rs_fleet_target *target)
{
    return target->concurrency.service_ms > 0 ? target->concurrency.service_ms
                                              : average_service_ms(target);
}

/* Returns how many requests a second the target can answer such that most
 * answers meet the latency target. At equal utilization, the queueing time is
 * the same multiple of the service time at each target, so a slow target must
 * be utilized less to answer as early as a fast one. For targets that can't
 * meet the latency target, MIN_CAPACITY_SHARE applies, or
 * MIN_LEARNED_CAPACITY_SHARE. */
double
RsLoad_CapacityPerS(const struct rs_fleet_target *target,
                    double latency_target_ms)
{
    double service_ms = RsLoad_ServiceMs(target);
    double share = 1 - service_ms / latency_target_ms;
    double min_share = target->concurrency.service_ms > 0
                           ? MIN_LEARNED_CAPACITY_SHARE
                           : MIN_CAPACITY_SHARE;
    return MS_PER_S * target->report.slots / service_ms *
           MAX(share, min_share);
}

/* Returns the expected time until the answer to a request sent now, in ms.
 * Targets are compared by it, so it follows from the average service time: the
 * learned one covers the last seconds only, and its variation had more
 * requests answered late where nodes know the targets well (bochas-fixtures).
 */
double
RsLoad_ExpectedLatencyMs(const struct rs_fleet_target *target, int64_t now_ms)
{
    double duration_factor = 1;
    if (has_fresh_load(target, now_ms)) {
        duration_factor = (double)target->load.duration_percent /
                          RsReport_NORMAL_DURATION_PERCENT;
    }
    return average_service_ms(target) * duration_factor *
           RsFleet_QueueingFactor(target,
                                  RsLoad_CountOutstanding(target, now_ms));
}

/* Returns how reliable the summed load of the other nodes is, from 1 down to
 * almost 0. With more nodes the sums are older, and more choices are made by
 * the same sums. */
static double
load_confidence(const struct rs_load_choice_input *input)
{
    double share = FULL_CONFIDENCE_NODES / MAX(input->share.nodes, 1);
    return MIN(share * share, 1.0);
}

/* Returns up to how many requests may be outstanding at a target whose speed
 * is learned, for requests with this latency target. `work_ms` is the work of
 * a request at a target of factor 1, 0 for the service's mean. */
double
RsLoad_ConcurrencyLimit(const struct rs_fleet_target *target, double work_ms,
                        double latency_target_ms)
{
    double service_ms = RsLoad_ServiceMs(target);
    const struct rs_concurrency_input limit = {
        .slots = target->report.slots,
        .service_ms = service_ms,
        .work_ms = work_ms > 0 && target->concurrency.factor > 0
                       ? work_ms * target->concurrency.factor
                       : service_ms,
        .latency_target_ms = latency_target_ms,
    };
    return RsConcurrency_Limit(&limit);
}

/* Returns up to how many requests may be outstanding at the target, for the
 * request to be sent there. */
static double
max_outstanding(const struct rs_fleet_target *target,
                const struct rs_load_choice_input *input)
{
    double uncertain = MAX_QUEUED_UNCERTAIN * (1 - load_confidence(input));
    double queued = target->report.slots + MAX_QUEUED;
    if (input->latency_target_ms <= 0) {
        return queued + uncertain;
    }
    return RsLoad_ConcurrencyLimit(target, input->work_ms,
                                   input->latency_target_ms) +
           uncertain;
}

/* Returns whether the target has room for one more request. A target that
 * refused a request for lack of room has none for a while. Where the sums are
 * out of date, the target knows its own queue best, so it is sent more
 * requests than current sums would allow. */
bool
RsLoad_HasRoom(const struct rs_fleet_target *target,
               const struct rs_load_choice_input *input, int64_t now_ms)
{
    return RsLoad_CountOutstanding(target, now_ms) <
               max_outstanding(target, input) &&
           now_ms >= target->full_until_ms;
}

/* Records that the target has reset a connection at once. A target does that
 * when it is full: it counts as full if it answered recently, or if its slots
 * are known to be in use by requests of any node. The sums of a target that
 * has ended shrink with the next reports, so that it soon counts as failing.
 */
void
RsLoad_RecordReset(struct rs_fleet_target *target, int64_t now_ms)
{
    if (RsFleet_AnsweredRecently(target, now_ms) ||
        RsLoad_CountOutstanding(target, now_ms) >= target->report.slots) {
        RsFleet_RecordFull(target, now_ms);
    }
    else {
        RsFleet_RecordFailure(target, now_ms);
    }
}

/* Replaces the share of this node by a newer one. `update` need not have a
 * `place_since_ms`. */
void
RsLoad_UpdateShare(struct rs_load_share *share,
                   const struct rs_load_share *update, int64_t now_ms)
{
    int64_t since_ms = share->place_since_ms;
    if (share->stable_rank != update->stable_rank ||
        share->ranked != update->ranked) {
        since_ms = now_ms;
    }
    *share = *update;
    share->place_since_ms = since_ms;
}

/* Returns how many nodes may send to one cold target at all, so that together
 * they stay within the bound in each second. */
static double
max_cold_senders(const struct rs_load_choice_input *input)
{
    double bound = input->cold_per_s * input->bounds.cold_factor +
                   input->bounds.cold_slack;
    return MIN(input->share.ranked, MAX(1.0, floor(bound * COLD_BOUND_SHARE)));
}

/* Returns the number of a node, from 0, in an order of all nodes that differs
 * between targets. Only the first of them send to a target that bears a
 * limited request rate. */
static uint32_t
sender_rank_of(const struct rs_fleet_target *target, uint32_t rank,
               uint32_t nodes)
{
    return (rank + g_str_hash(target->id)) % MAX(nodes, 1);
}

static struct rs_limit_place
place_of(const struct rs_fleet_target *target,
         const struct rs_load_choice_input *input)
{
    const struct rs_load_share *share = &input->share;
    return (struct rs_limit_place){
        sender_rank_of(target, share->stable_rank, share->ranked),
        share->ranked};
}

/* Returns from when on the target takes requests from this node, as far as its
 * refusals and its limit are concerned. That may be in the past, or
 * RsLimit_NEVER. */
int64_t
RsLoad_OpenAtMs(const struct rs_fleet_target *target,
                const struct rs_load_choice_input *input)
{
    if (target->limit.per_s == 0) {
        return target->closed_until_ms;
    }
    struct rs_limit_place place = place_of(target, input);
    return MAX(target->closed_until_ms,
               RsLimit_OpenAtMs(&target->limit, &place));
}

/* Returns whether this node may send a request to a target now, as far as the
 * target's warm-up is concerned. Cold targets are still warming up and bear a
 * limited request rate; to other targets a node may always send. A node that
 * has no place among all nodes yet sends nothing to cold targets. */
bool
RsLoad_MaySendToCold(const struct rs_fleet_target *target,
                     const struct rs_load_choice_input *input, int64_t now_ms)
{
    if (now_ms >= target->cold_until_ms) {
        return true;
    }
    const struct rs_load_share *share = &input->share;
    bool is_settled = share->place_since_ms == 0 ||
                      now_ms >= share->place_since_ms + PLACE_SETTLE_MS;
    if (share->ranked == 0 || !is_settled) {
        return false;
    }
    uint32_t sender_rank =
        sender_rank_of(target, share->stable_rank, share->ranked);
    double senders = max_cold_senders(input);
    /* The target may have received as many requests as it bears in the second
     * before it turned cold, so the senders start one after the other. */
    double first_send_at_ms =
        target->turned_cold_at_ms + sender_rank * MS_PER_S / senders;
    return sender_rank < senders && (double)now_ms >= first_send_at_ms &&
           now_ms >= target->next_cold_send_at_ms;
}

/* Records that a request is sent to a target. If the target is cold or has a
 * limit, sets the earliest time at which this node may send the next request.
 */
void
RsLoad_RecordSend(struct rs_fleet_target *target,
                  const struct rs_load_choice_input *input, int64_t now_ms)
{
    if (target->limit.per_s > 0) {
        struct rs_limit_place place = place_of(target, input);
        RsLimit_RecordSend(&target->limit, &place, now_ms);
    }
    if (now_ms < target->cold_until_ms && input->cold_per_s > 0) {
        double interval_ms =
            MS_PER_S * max_cold_senders(input) / input->cold_per_s;
        target->next_cold_send_at_ms =
            now_ms + (int64_t)MAX(interval_ms, MS_PER_S);
    }
}

static bool
is_excluded(const struct rs_load_choice_input *input, const char *id)
{
    for (size_t i = 0; i < input->excluded_count; i++) {
        if (input->excluded[i] == id) {
            return true;
        }
    }
    return false;
}

/* Returns how many targets to compare in addition to the home targets.
 * `usable` is the number of usable targets; the result may be higher. If many
 * nodes compared the same targets, they would overfill those that looked idle.
 */
static uint32_t
sample_size(const struct rs_load_choice_input *input, uint32_t usable)
{
    double share = usable * load_confidence(input);
    return MAX((uint32_t)share, MIN_SAMPLE);
}

/* Returns the factor on the cost of a home target: 1 if the summed load of the
 * other nodes is fully reliable, and down to HOME_FACTOR if it is not. */
static double
home_factor(const struct rs_load_choice_input *input)
{
    return HOME_FACTOR + (1 - HOME_FACTOR) * load_confidence(input);
}

/* Returns whether the target is a home target of this node. */
static bool
is_home(const struct rs_load_choice_input *input,
        const struct rs_fleet_target *target)
{
    uint32_t nodes = input->share.zone_nodes;
    return target->report.zone == input->zone && nodes > 0 &&
           g_str_hash(target->id) % nodes == input->share.zone_rank;
}

/* Returns the cost of choosing the target: the expected latency in ms, with a
 * random part and the cost of crossing zones, but without home_factor(). A
 * target whose limit may have ended costs nothing. */
static double
cost_of(const struct rs_load_choice_input *input,
        const struct rs_fleet_target *target, int64_t now_ms)
{
    double noise = 1 + CHOICE_NOISE * g_rand_double(input->random);
    double network_ms = 0;
    if (RsLimit_IsUnconfirmed(&target->limit, now_ms)) {
        return 0;
    }
    if (target->report.zone != input->zone) {
        network_ms =
            CROSS_ZONE_MS + input->answer_bytes / CROSS_ZONE_BYTES_PER_MS;
    }
    return RsLoad_ExpectedLatencyMs(target, now_ms) * noise + network_ms;
}

/* Returns whether the target takes work of the service, is not excluded and is
 * not avoided. */
static bool
is_candidate(const struct rs_load_choice_input *input,
             const struct rs_fleet_target *target, int64_t now_ms)
{
    return target->report.service == input->service &&
           RsFleet_MayTakeWork(input->fleet, target, now_ms) &&
           !is_excluded(input, target->id) && now_ms >= target->avoid_until_ms;
}

/* Adds the targets that may take the request now to `usable`. Returns
 * RsLoad_SEND if there are any, otherwise why there are none. For
 * RsLoad_CLOSED sets `*first_open` to the target that takes requests again
 * first. */
static enum rs_load_verdict
list_usable(const struct rs_load_choice_input *input, int64_t now_ms,
            GPtrArray *usable, struct rs_fleet_target **first_open)
{
    bool full = false;
    int64_t first_open_at_ms = 0;
    *first_open = NULL;
    for (guint i = 0; i < input->fleet->list->len; i++) {
        struct rs_fleet_target *target =
            g_ptr_array_index(input->fleet->list, i);
        if (!is_candidate(input, target, now_ms)) {
            continue;
        }
        int64_t open_at_ms = RsLoad_OpenAtMs(target, input);
        if (open_at_ms > now_ms) {
            if (*first_open == NULL || open_at_ms < first_open_at_ms) {
                *first_open = target;
                first_open_at_ms = open_at_ms;
            }
        }
        else if (RsLoad_HasRoom(target, input, now_ms) &&
                 RsLoad_MaySendToCold(target, input, now_ms)) {
            g_ptr_array_add(usable, target);
        }
        else {
            full = true;
        }
    }
    if (usable->len > 0) {
        return RsLoad_SEND;
    }
    if (full) {
        return RsLoad_FULL;
    }
    return *first_open != NULL ? RsLoad_CLOSED : RsLoad_NONE;
}

/* Moves the home targets to the front and returns their number. */
static guint
move_home_targets_first(const struct rs_load_choice_input *input,
                        GPtrArray *usable)
{
    guint home_count = 0;
    for (guint i = 0; i < usable->len; i++) {
        gpointer target = g_ptr_array_index(usable, i);
        if (is_home(input, target)) {
            usable->pdata[i] = usable->pdata[home_count];
            usable->pdata[home_count++] = target;
        }
    }
    return home_count;
}

/* The first `home_count` targets in `usable` are home targets. Moves a random
 * sample of the others to the positions after them. Returns how many targets
 * to compare: home targets and sample. */
static guint
move_sample_after_home(const struct rs_load_choice_input *input,
                       GPtrArray *usable, guint home_count)
{
    guint wanted = home_count + sample_size(input, usable->len);
    guint count = MIN(wanted, usable->len);
    for (guint i = home_count; i < count; i++) {
        guint random_index = (guint)g_rand_int_range(input->random, (gint32)i,
                                                     (gint32)usable->len);
        gpointer target = usable->pdata[random_index];
        usable->pdata[random_index] = usable->pdata[i];
        usable->pdata[i] = target;
    }
    return count;
}

/* Chooses the target with the lowest cost, see cost_of() and home_factor(),
 * among this node's home targets and a random sample of the others. Sets
 * `chosen` to the target for RsLoad_SEND, to the target that takes requests
 * again first for RsLoad_CLOSED, and to NULL otherwise. */
enum rs_load_verdict
RsLoad_Choose(const struct rs_load_choice_input *input, int64_t now_ms,
              struct rs_fleet_target **chosen)
{
    GPtrArray *usable = g_ptr_array_new();
    double lowest_cost = INFINITY;
    struct rs_fleet_target *first_open = NULL;
    enum rs_load_verdict verdict =
        list_usable(input, now_ms, usable, &first_open);
    guint home_count = move_home_targets_first(input, usable);
    guint count = move_sample_after_home(input, usable, home_count);
    *chosen = verdict == RsLoad_CLOSED ? first_open : NULL;
    for (guint i = 0; i < count; i++) {
        struct rs_fleet_target *target = g_ptr_array_index(usable, i);
        double cost = cost_of(input, target, now_ms) *
                      (i < home_count ? home_factor(input) : 1.0);
        if (cost < lowest_cost) {
            lowest_cost = cost;
            *chosen = target;
        }
    }
    g_ptr_array_unref(usable);
    return verdict;
}

/* Returns after how many ms a caller with this much time left should retry,
 * chosen at random so that many callers don't return at once. */
uint32_t
RsLoad_RetryAfterMs(int64_t time_left_ms, GRand *random)
{
    double share =
        g_rand_double_range(random, MIN_RETRY_SHARE, MAX_RETRY_SHARE);
    return (uint32_t)MAX((double)time_left_ms * share, MIN_RETRY_MS);
}

/* Returns after how many ms a caller should retry who can be served from
 * `retry_at_ms` on. The return of many callers is spread over a time in
 * proportion to their wait. */
uint32_t
RsLoad_RetryAtMs(int64_t retry_at_ms, int64_t now_ms, GRand *random)
{
    double wait_ms = (double)MAX(retry_at_ms - now_ms, (int64_t)0);
    double spread_ms = MIN_RETRY_SPREAD_MS + wait_ms * RETRY_SPREAD_SHARE;
    return (uint32_t)(wait_ms + g_rand_double_range(random, 0, spread_ms)) +
           MIN_RETRY_MS;
}

/* Moves the window of the budget on to the current second and clears the new
 * slots. */
static void
advance_budget(struct rs_load_retry_budget *budget, int64_t now_ms)
{
    int64_t second = now_ms / MS_PER_S;
    if (second - budget->second >= RsLoad_BUDGET_SLOTS) {
        budget->second = second - RsLoad_BUDGET_SLOTS;
    }
    while (budget->second < second) {
        budget->second++;
        budget->requests[budget->second % RsLoad_BUDGET_SLOTS] = 0;
        budget->retries[budget->second % RsLoad_BUDGET_SLOTS] = 0;
    }
}

/* Counts a request of a caller towards the budget. */
void
RsLoad_CountRequest(struct rs_load_retry_budget *budget, int64_t now_ms)
{
    advance_budget(budget, now_ms);
    budget->requests[budget->second % RsLoad_BUDGET_SLOTS]++;
}

/* Returns whether one more target may be asked for a request. Both ended
 * attempts and those still active count towards `max_attempts`. */
bool
RsLoad_MayStartAttempt(uint32_t max_attempts, uint32_t ended, uint32_t active)
{
    return ended + active < max_attempts;
}

/* Returns whether a request may be retried, and counts the retry if so.
 * `nodes` is the number of nodes that share the slack. */
bool
RsLoad_TakeRetry(struct rs_load_retry_budget *budget, uint32_t nodes,
                 int64_t now_ms)
{
    double requests = 0;
    double retries = 0;
    advance_budget(budget, now_ms);
    uint32_t window = MIN(budget->window_s, RsLoad_BUDGET_SLOTS - 1);
    for (uint32_t i = 0; i < window; i++) {
        int64_t slot = (budget->second - i) % RsLoad_BUDGET_SLOTS;
        requests += budget->requests[slot];
        retries += budget->retries[slot];
    }
    double allowed_retries = BUDGET_SHARE * (budget->ratio * requests +
                                             budget->slack / MAX(nodes, 1));
    if (retries + 1 > allowed_retries) {
        return false;
    }
    budget->retries[budget->second % RsLoad_BUDGET_SLOTS]++;
    return true;
}
