#include "router/overload.h"

#include <math.h>

#include "router/load.h"

/* Older reports of the demand are ignored; the granter sends them a few times
 * a second. */
#define MAX_DEMAND_AGE_MS 1000
/* A target counts as overloaded from this share of what it can run, as the
 * service time is measured too high under load. A slow target that is asked
 * for less answers late, which is better for callers than to be refused. */
#define OVERLOAD_SHARE 1.05
/* Rate of admitted requests, as a multiple of the rate that the target can run
 * by its service time. */
#define ADMITTED_SHARE 1.1
/* Each rank gets at least this part of the share that all ranks together get.
 */
#define MIN_RANK_PART 0.25
/* Time constant of the counts of requests by rank. One node sees some tens of
 * requests of a service a second, so that even a rank with a tenth of them is
 * known within some percent. */
#define MIX_WINDOW_MS 5000.0
#define MS_PER_S 1000.0
/* A request goes to an overloaded target if its answer is expected within this
 * part of its latency target. The load is known only from sums that are some
 * hundred milliseconds old, and with 0.7 half as many answers again were late.
 */
#define LATENCY_PART 0.5
/* The part is higher by up to this for ranks with many less urgent requests,
 * so that these leave room for them. */
#define URGENT_PART 0.3
/* Targets are not sent more requests than this many times their slots. Their
 * own queue has room for four times the slots, and they refuse or reset what
 * exceeds it. */
#define MAX_QUEUE_FACTOR 3
/* An admitted request waits at most this long for room at an overloaded
 * target. The requests that wait at all nodes are sent as soon as one of them
 * sees room; with longer waits they overfill the target. */
#define MAX_WAIT_MS 60
/* Fractional part of the golden ratio: its multiples modulo 1 are spread
 * evenly, so that out of any few successive requests the share is admitted. */
#define GOLDEN_FRACTION 0.6180339887498949

/* Returns how many requests a second the target can run. */
static double
max_runs_per_s(const struct rs_fleet_target *target)
{
    return MS_PER_S * target->report.slots / RsLoad_ServiceMs(target);
}

/* Returns whether the owner of keys is asked for more than it can run, as far
 * as the granter has lately said so. A cold target is not judged by that: its
 * requests wait for their time in its warm-up. */
bool
RsOverload_IsOverloaded(const struct rs_fleet_target *target, int64_t now_ms)
{
    return target->demand_per_s > OVERLOAD_SHARE * max_runs_per_s(target) &&
           now_ms >= target->cold_until_ms &&
           now_ms - target->demand_at_ms <= MAX_DEMAND_AGE_MS;
}

/* Counts a request of a caller. */
void
RsOverload_Count(struct rs_overload_mix *mix, uint32_t rank, int64_t now_ms)
{
    double kept = exp(-(double)(now_ms - mix->counted_at_ms) / MIX_WINDOW_MS);
    for (uint32_t i = 0; i < RsOverload_RANKS; i++) {
        mix->counts[i] *= kept;
    }
    mix->counted_at_ms = now_ms;
    mix->counts[MIN(rank, RsOverload_RANKS - 1)] += 1;
}

/* Returns the share of the requests of a rank that is admitted if `share` of
 * all requests can be. Each rank gets MIN_RANK_PART of `share`; the rest goes
 * to the ranks in their order. */
double
RsOverload_ShareOfRank(const struct rs_overload_mix *mix, uint32_t rank,
                       double share)
{
    uint32_t own = MIN(rank, RsOverload_RANKS - 1);
    double sum = 0;
    double before = 0;
    for (uint32_t i = 0; i < RsOverload_RANKS; i++) {
        sum += mix->counts[i];
        before += i < own ? mix->counts[i] : 0;
    }
    if (sum <= 0 || mix->counts[own] <= 0) {
        return share;
    }
    double floor_share = MIN_RANK_PART * share;
    double rest = (share - floor_share) * sum - before * (1 - floor_share);
    double extra = rest / mix->counts[own];
    return floor_share + CLAMP(extra, 0, 1 - floor_share);
}

/* Returns whether a request for a key of the target is admitted. While the
 * granter says that the target is asked for more than its capacity, the nodes
 * admit a share of the requests with which the target is just busy. One node
 * sees few requests for a target, so the decisions of a node start at a random
 * point of their sequence. */
bool
RsOverload_Admit(struct rs_fleet_target *target,
                 const struct rs_overload_mix *mix, uint32_t rank,
                 GRand *random, int64_t now_ms)
{
    if (!RsOverload_IsOverloaded(target, now_ms)) {
        return true;
    }
    double share =
        ADMITTED_SHARE * max_runs_per_s(target) / target->demand_per_s;
    if (share >= 1) {
        return true;
    }
    if (target->admission <= 0) {
        target->admission = g_rand_double(random);
    }
    target->admission = fmod(target->admission + GOLDEN_FRACTION, 1);
    return target->admission < RsOverload_ShareOfRank(mix, rank, share);
}

/* Returns which share of the requests is less urgent than `rank`. */
static double
less_urgent_share(const struct rs_overload_mix *mix, uint32_t rank)
{
    double sum = 0;
    double after = 0;
    for (uint32_t i = 0; i < RsOverload_RANKS; i++) {
        sum += mix->counts[i];
        after += i > rank ? mix->counts[i] : 0;
    }
    return sum > 0 ? after / sum : 0;
}

/* Returns whether an overloaded target has room for one more request: whether
 * the answer is expected within the latency target, and the target's own queue
 * has room. */
bool
RsOverload_HasRoom(const struct rs_fleet_target *target,
                   const struct rs_overload_mix *mix,
                   const struct rs_overload_request *request, int64_t now_ms)
{
    double outstanding = RsLoad_CountOutstanding(target, now_ms);
    if (now_ms < target->full_until_ms ||
        outstanding >= MAX_QUEUE_FACTOR * target->report.slots) {
        return false;
    }
    double part =
        LATENCY_PART + URGENT_PART * less_urgent_share(mix, request->rank);
    double left_ms = part * (double)request->latency_target_ms -
                     (double)(now_ms - request->arrived_at_ms);
    return outstanding < target->report.slots ||
           RsLoad_ExpectedLatencyMs(target, now_ms) <= left_ms;
}

/* Returns until when an admitted request may wait for room at the target. */
int64_t
RsOverload_WaitUntilMs(const struct rs_fleet_target *target,
                       const struct rs_overload_request *request,
                       int64_t now_ms)
{
    if (!RsOverload_IsOverloaded(target, now_ms)) {
        return request->wait_until_ms;
    }
    return MIN(request->admitted_at_ms + MAX_WAIT_MS, request->wait_until_ms);
}

/* Returns whether the target would still take longer than until `deadline_ms`
 * if no other requests were there, so that waiting is of no use. */
bool
RsOverload_IsTooLate(const struct rs_fleet_target *target, int64_t deadline_ms,
                     int64_t now_ms)
{
    return RsLoad_ServiceMs(target) > (double)(deadline_ms - now_ms);
}
