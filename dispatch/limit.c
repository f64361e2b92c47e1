#include "dispatch/limit.h"

#include <assert.h>
#include <stddef.h>
#include <string.h>

#define RUN_WEIGHT 0.1
#define RECENT_WEIGHT 0.2
#define REFUSED_FACTOR 0.7
#define LATENCY_FACTOR 0.9
#define LATENCY_TOLERANCE 2.0
#define MIN_CUT_GAP_MS 5
#define US_PER_MS 1000
#define UNLIMITED ((double)UINT32_MAX)

static void
average(double *mean, double sample, double weight)
{
    *mean = *mean == 0.0 ? sample : *mean + weight * (sample - *mean);
}

static double
ceiling(const struct rs_limit *limit)
{
    return (double)limit->slots + (double)limit->window;
}

static void
observe(struct rs_limit *limit, const struct rs_limit_sample *sample)
{
    if (sample->outcome != RsLimit_DONE &&
        sample->outcome != RsLimit_TIMEOUT) {
        return;
    }
    if (sample->in_flight <= limit->slots) {
        average(&limit->run_us, (double)sample->latency_us, RUN_WEIGHT);
    }
    else {
        average(&limit->recent_us, (double)sample->latency_us, RECENT_WEIGHT);
    }
}

/* One cut for each round of answers: requests that were sent before a cut
 * say nothing of the limit after it. */
static void
cut(struct rs_limit *limit, const struct rs_limit_sample *sample,
    double factor, double floor)
{
    if (sample->now_ms < limit->next_cut_ms || limit->value <= floor) {
        return;
    }
    limit->value *= factor;
    if (limit->value < floor) {
        limit->value = floor;
    }
    limit->next_cut_ms =
        sample->now_ms + MIN_CUT_GAP_MS + (int64_t)limit->run_us / US_PER_MS;
}

static void
rise(struct rs_limit *limit)
{
    limit->value += 1.0 / limit->value;
    if (limit->value > ceiling(limit)) {
        limit->value = ceiling(limit);
    }
}

static void
start_adaptive(struct rs_limit *limit)
{
    limit->value = (double)limit->slots;
}

/* A target that is slow with no more than its slots is not helped by fewer
 * requests: growth of latency cuts only what waits beyond the slots. A
 * refusal is the target's own word and cuts further. */
static void
learn_adaptive(struct rs_limit *limit, const struct rs_limit_sample *sample)
{
    observe(limit, sample);
    if (sample->outcome == RsLimit_REFUSED) {
        cut(limit, sample, REFUSED_FACTOR, 1.0);
        return;
    }
    if (sample->outcome == RsLimit_TIMEOUT) {
        cut(limit, sample, LATENCY_FACTOR, (double)limit->slots);
        return;
    }
    if (sample->outcome != RsLimit_DONE) {
        return;
    }
    bool waits = sample->in_flight > limit->slots && limit->run_us > 0.0 &&
                 limit->recent_us > limit->run_us * LATENCY_TOLERANCE;
    if (waits) {
        cut(limit, sample, LATENCY_FACTOR, (double)limit->slots);
    }
    else if (sample->full) {
        rise(limit);
    }
}

static void
start_fixed(struct rs_limit *limit)
{
    limit->value = ceiling(limit);
}

static void
start_none(struct rs_limit *limit)
{
    limit->value = UNLIMITED;
}

const struct rs_limit_policy rs_limit_adaptive = {
    .name = "adaptive", .start = start_adaptive, .learn = learn_adaptive};

const struct rs_limit_policy rs_limit_fixed = {
    .name = "fixed", .start = start_fixed, .learn = observe};

const struct rs_limit_policy rs_limit_none = {
    .name = "none", .start = start_none, .learn = observe};

/* Returns the policy of that name, or NULL. */
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

/* Sets `limit` to its state before the first answer. `slots` is at least 1.
 */
void
RsLimit_Start(struct rs_limit *limit, const struct rs_limit_policy *policy,
              uint32_t slots, uint32_t window)
{
    assert(slots > 0);
    *limit = (struct rs_limit){.slots = slots, .window = window};
    policy->start(limit);
}

/* Returns the requests that may be at the target now, at least 1. */
uint32_t
RsLimit_Value(const struct rs_limit *limit)
{
    return limit->value >= UNLIMITED ? UINT32_MAX : (uint32_t)limit->value;
}
