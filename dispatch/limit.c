#include "dispatch/limit.h"

#include <assert.h>
#include <stddef.h>
#include <string.h>

#define RUN_SAMPLE_WEIGHT 0.1
#define QUEUED_SAMPLE_WEIGHT 0.2
#define REFUSED_FACTOR 0.7
#define LATENCY_FACTOR 0.9
/* Allowed ratio of the mean latency of requests sent beyond the slots to that
 * of requests within them. */
#define LATENCY_TOLERANCE 2.0
#define MIN_CUT_INTERVAL_MS 5
#define US_PER_MS 1000
#define UNLIMITED ((double)UINT32_MAX)

/* Updates an exponentially weighted moving average; 0 means no sample yet. */
static void
update_average(double *mean, double sample, double weight)
{
    *mean = *mean == 0.0 ? sample : *mean + weight * (sample - *mean);
}

static double
max_value(const struct rs_limit *limit)
{
    return (double)limit->slots + (double)limit->window;
}

/* Records the latency of a request that was answered or timed out. */
static void
record_latency(struct rs_limit *limit, const struct rs_limit_sample *sample)
{
    if (sample->outcome != RsLimit_DONE &&
        sample->outcome != RsLimit_TIMEOUT) {
        return;
    }
    if (sample->in_flight <= limit->slots) {
        update_average(&limit->mean_run_us, (double)sample->latency_us,
                       RUN_SAMPLE_WEIGHT);
    }
    else {
        update_average(&limit->queued_latency_us, (double)sample->latency_us,
                       QUEUED_SAMPLE_WEIGHT);
    }
}

/* Multiplies the limit by `factor`, but lowers it no further than to
 * `min_value`. After a cut it does nothing for one mean run time plus
 * MIN_CUT_INTERVAL_MS: requests that were sent before the cut say nothing
 * about the limit after it. */
static void
lower_limit(struct rs_limit *limit, const struct rs_limit_sample *sample,
            double factor, double min_value)
{
    if (sample->now_ms < limit->next_cut_at_ms || limit->value <= min_value) {
        return;
    }
    limit->value *= factor;
    if (limit->value < min_value) {
        limit->value = min_value;
    }
    limit->next_cut_at_ms = sample->now_ms + MIN_CUT_INTERVAL_MS +
                            (int64_t)limit->mean_run_us / US_PER_MS;
}

/* Raises the limit by the reciprocal of its value, at most to `slots` plus
 * `window`. With a limit of n, n calls raise it by about 1. */
static void
raise_limit(struct rs_limit *limit)
{
    limit->value += 1.0 / limit->value;
    if (limit->value > max_value(limit)) {
        limit->value = max_value(limit);
    }
}

static void
start_adaptive(struct rs_limit *limit)
{
    limit->value = (double)limit->slots;
}

/* Adjusts the limit to one sample. A timeout lowers the limit. So does an
 * answer to a request sent beyond the slots if the mean latency of such
 * requests is more than LATENCY_TOLERANCE times that of requests within the
 * slots. Neither lowers the limit below the slots, since a target that is slow
 * with no more requests than slots does not get faster with fewer requests.
 * Any other answer raises the limit if the limit was reached when the answer
 * arrived. A refusal comes from the target itself and lowers the limit
 * further, down to 1. */
static void
add_adaptive_sample(struct rs_limit *limit,
                    const struct rs_limit_sample *sample)
{
    record_latency(limit, sample);
    if (sample->outcome == RsLimit_REFUSED) {
        lower_limit(limit, sample, REFUSED_FACTOR, 1.0);
        return;
    }
    if (sample->outcome == RsLimit_TIMEOUT) {
        lower_limit(limit, sample, LATENCY_FACTOR, (double)limit->slots);
        return;
    }
    if (sample->outcome != RsLimit_DONE) {
        return;
    }
    bool queues_at_target =
        sample->in_flight > limit->slots && limit->mean_run_us > 0.0 &&
        limit->queued_latency_us > limit->mean_run_us * LATENCY_TOLERANCE;
    if (queues_at_target) {
        lower_limit(limit, sample, LATENCY_FACTOR, (double)limit->slots);
    }
    else if (sample->limit_reached) {
        raise_limit(limit);
    }
}

static void
start_fixed(struct rs_limit *limit)
{
    limit->value = max_value(limit);
}

static void
start_none(struct rs_limit *limit)
{
    limit->value = UNLIMITED;
}

const struct rs_limit_policy rs_limit_adaptive = {.name = "adaptive",
                                                  .start = start_adaptive,
                                                  .add_sample =
                                                      add_adaptive_sample};

const struct rs_limit_policy rs_limit_fixed = {
    .name = "fixed", .start = start_fixed, .add_sample = record_latency};

const struct rs_limit_policy rs_limit_none = {
    .name = "none", .start = start_none, .add_sample = record_latency};

/* Returns the policy with this name, or NULL. */
const struct rs_limit_policy *
RsLimit_FindPolicy(const char *name)
{
    static const struct rs_limit_policy *const policies[] = {
        &rs_limit_adaptive, &rs_limit_fixed, &rs_limit_none};
    for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
        if (strcmp(policies[i]->name, name) == 0) {
            return policies[i];
        }
    }
    return NULL;
}

/* Initializes `limit` with the policy's start value. `slots` must be at least
 * 1. */
void
RsLimit_Init(struct rs_limit *limit, const struct rs_limit_policy *policy,
             uint32_t slots, uint32_t window)
{
    assert(slots > 0);
    *limit = (struct rs_limit){.slots = slots, .window = window};
    policy->start(limit);
}

/* Returns how many requests may be in flight to the target now, at least 1;
 * UINT32_MAX if there is no limit. */
uint32_t
RsLimit_Value(const struct rs_limit *limit)
{
    return limit->value >= UNLIMITED ? UINT32_MAX : (uint32_t)limit->value;
}
