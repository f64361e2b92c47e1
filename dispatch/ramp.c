#include "dispatch/ramp.h"

#include <assert.h>
#include <stddef.h>
#include <string.h>

#include "core/clock.h"

#define REFUSED_FACTOR 0.5
#define MIN_CUT_INTERVAL_MS 20
#define MIN_PAUSE_MS 10
#define MAX_PAUSE_MS 160
#define RECHECK_INTERVAL_MS 10
/* A cold target counts as slow if its mean latency is above this multiple of
 * its mean latency when it was warm. */
#define SLOW_FACTOR 2.5
/* Slow answers can delay the rise of the share for this multiple of `cold_ms`
 * since the target became cold. */
#define MAX_DELAY_FACTOR 4
#define COLD_SAMPLE_WEIGHT 0.1
#define WARM_SAMPLE_WEIGHT 0.02
#define US_PER_MS 1000

static double
current_share(const struct rs_ramp *ramp, int64_t now_ms)
{
    double increase = (double)(now_ms - ramp->share_changed_at_ms) /
                      (double)ramp->options.cold_ms;
    double share = ramp->share + increase;
    return share < 1.0 ? share : 1.0;
}

static void
begin_cold(struct rs_ramp *ramp, int64_t now_ms)
{
    ramp->cold = ramp->options.cold_ms > 0;
    ramp->share = 0.0;
    ramp->share_changed_at_ms = now_ms;
    ramp->connecting_since_ms = now_ms;
    ramp->paused_until_ms = now_ms;
    ramp->next_cut_at_ms = now_ms;
    ramp->pause_ms = MIN_PAUSE_MS;
    ramp->cold_latency_us = 0.0;
    ramp->delay_allowed_until_ms =
        now_ms + (int64_t)ramp->options.cold_ms * MAX_DELAY_FACTOR;
}

static uint32_t
linear_ceiling(const struct rs_ramp *ramp, int64_t now_ms)
{
    if (!ramp->cold) {
        return UINT32_MAX;
    }
    double slots = current_share(ramp, now_ms) * (double)ramp->options.slots;
    return slots < 1.0 ? 1 : (uint32_t)slots;
}

static uint32_t
adaptive_ceiling(const struct rs_ramp *ramp, int64_t now_ms)
{
    if (ramp->cold && now_ms < ramp->paused_until_ms) {
        return 0;
    }
    return linear_ceiling(ramp, now_ms);
}

static uint32_t
no_ceiling(const struct rs_ramp *ramp, int64_t now_ms)
{
    return UINT32_MAX;
}

/* Returns how many connections to keep open, at most `connections`: 1 for a
 * cold target or `slots` plus `window` for a warm one, and in addition as many
 * as can have been opened since `connecting_since_ms` if accepting them takes
 * `connection_share` of the target's time. */
static uint32_t
ramped_connections(const struct rs_ramp *ramp, int64_t now_ms)
{
    const struct rs_ramp_options *options = &ramp->options;
    double connecting_time_us = (double)(now_ms - ramp->connecting_since_ms) *
                                US_PER_MS * options->connection_share;
    double affordable_connections =
        connecting_time_us / (double)options->connection_cost_us;
    double wanted =
        affordable_connections +
        (ramp->cold ? 1.0 : (double)options->slots + (double)options->window);
    return wanted < (double)options->connections ? (uint32_t)wanted
                                                 : options->connections;
}

static uint32_t
all_connections(const struct rs_ramp *ramp, int64_t now_ms)
{
    return ramp->options.connections;
}

static void
ignore_observation(struct rs_ramp *ramp, int64_t now_ms)
{
}

/* Multiplies the share by REFUSED_FACTOR after a refusal; it rises from there
 * at the same slope. If the share allowed fewer than two requests in flight,
 * none is allowed for a pause, which doubles each time up to MAX_PAUSE_MS.
 * Does nothing within MIN_CUT_INTERVAL_MS of the last cut. */
static void
lower_share(struct rs_ramp *ramp, int64_t now_ms)
{
    if (now_ms < ramp->next_cut_at_ms) {
        return;
    }
    double share = current_share(ramp, now_ms);
    if (share * (double)ramp->options.slots < 2.0) {
        ramp->paused_until_ms = now_ms + ramp->pause_ms;
        ramp->pause_ms = ramp->pause_ms * 2 < MAX_PAUSE_MS ? ramp->pause_ms * 2
                                                           : MAX_PAUSE_MS;
    }
    ramp->share = share * REFUSED_FACTOR;
    ramp->share_changed_at_ms = now_ms;
    ramp->next_cut_at_ms = now_ms + MIN_CUT_INTERVAL_MS;
}

/* Undoes the rise of the share since its last change. Calls for each slow
 * answer keep the share from rising. Does nothing from
 * `delay_allowed_until_ms` on. */
static void
undo_rise_of_share(struct rs_ramp *ramp, int64_t now_ms)
{
    if (now_ms >= ramp->delay_allowed_until_ms) {
        return;
    }
    ramp->share_changed_at_ms = now_ms;
}

const struct rs_ramp_policy rs_ramp_adaptive = {.name = "adaptive",
                                                .ceiling = adaptive_ceiling,
                                                .connections =
                                                    ramped_connections,
                                                .refused = lower_share,
                                                .slowed = undo_rise_of_share};

const struct rs_ramp_policy rs_ramp_linear = {.name = "linear",
                                              .ceiling = linear_ceiling,
                                              .connections =
                                                  ramped_connections,
                                              .refused = ignore_observation,
                                              .slowed = ignore_observation};

const struct rs_ramp_policy rs_ramp_none = {.name = "none",
                                            .ceiling = no_ceiling,
                                            .connections = all_connections,
                                            .refused = ignore_observation,
                                            .slowed = ignore_observation};

/* Returns the policy with this name, or NULL. */
const struct rs_ramp_policy *
RsRamp_FindPolicy(const char *name)
{
    static const struct rs_ramp_policy *const policies[] = {
        &rs_ramp_adaptive, &rs_ramp_linear, &rs_ramp_none};
    for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
        if (strcmp(policies[i]->name, name) == 0) {
            return policies[i];
        }
    }
    return NULL;
}

/* Initializes `ramp` for a target that was never contacted. `slots`,
 * `connections` and `connection_cost_us` must be at least 1. */
void
RsRamp_Init(struct rs_ramp *ramp, const struct rs_ramp_options *options)
{
    assert(options->slots > 0 && options->connections > 0);
    assert(options->connection_cost_us > 0);
    *ramp = (struct rs_ramp){.options = *options};
    ramp->pause_ms = MIN_PAUSE_MS;
}

/* Records that the target's process with this start id is warm. Used when the
 * ramp is created anew, for example with changed settings, for a target that
 * was warm before. `start_id` is 0 if unknown. */
void
RsRamp_MarkWarm(struct rs_ramp *ramp, int64_t now_ms, uint64_t start_id)
{
    ramp->contacted = true;
    ramp->cold = false;
    ramp->start_id = start_id;
    ramp->connecting_since_ms = now_ms;
}

/* Records that a connection was established. The target counts as cold from
 * the first connection on, unless RsRamp_MarkWarm() was called before, and
 * again from the first one that follows a failed attempt. */
void
RsRamp_RecordConnect(struct rs_ramp *ramp, int64_t now_ms)
{
    if (!ramp->contacted || ramp->last_connect_failed) {
        begin_cold(ramp, now_ms);
    }
    ramp->contacted = true;
    ramp->last_connect_failed = false;
}

/* Records that a connection could not be established. */
void
RsRamp_RecordConnectFailure(struct rs_ramp *ramp)
{
    ramp->last_connect_failed = true;
}

/* Records the start id that an answer carried. If another one was known, the
 * target's process has restarted and is cold. */
void
RsRamp_RecordStartId(struct rs_ramp *ramp, int64_t now_ms, uint64_t start_id)
{
    bool restarted = ramp->start_id != 0 && ramp->start_id != start_id;
    ramp->start_id = start_id;
    if (restarted) {
        begin_cold(ramp, now_ms);
    }
}

/* Records that the target refused a request with the reason "cold". If it
 * counted as warm, it has restarted without this being noticed, and the ramp
 * begins anew. */
void
RsRamp_RecordColdRefusal(struct rs_ramp *ramp, int64_t now_ms)
{
    if (!ramp->cold) {
        begin_cold(ramp, now_ms);
    }
    ramp->options.policy->refused(ramp, now_ms);
}

/* Updates an exponentially weighted moving average; 0 means no sample yet. */
static void
update_average(double *mean, double sample, double weight)
{
    *mean = *mean == 0.0 ? sample : *mean + weight * (sample - *mean);
}

/* Records an answer that arrived `latency_us` after its request was sent.
 * While the target is cold and its mean latency when it was warm is known, the
 * policy is told if the mean latency is now much longer. */
void
RsRamp_RecordAnswer(struct rs_ramp *ramp, int64_t now_ms, int64_t latency_us)
{
    if (!ramp->cold) {
        update_average(&ramp->warm_latency_us, (double)latency_us,
                       WARM_SAMPLE_WEIGHT);
        return;
    }
    update_average(&ramp->cold_latency_us, (double)latency_us,
                   COLD_SAMPLE_WEIGHT);
    if (ramp->warm_latency_us > 0.0 &&
        ramp->cold_latency_us > ramp->warm_latency_us * SLOW_FACTOR) {
        ramp->options.policy->slowed(ramp, now_ms);
    }
}

/* Returns how many requests may be in flight to the target: UINT32_MAX unless
 * it is cold, and always with policy `none`; 0 during a pause after a refusal
 * (policy `adaptive`). Ends the cold state once the share is 1. */
uint32_t
RsRamp_Ceiling(struct rs_ramp *ramp, int64_t now_ms)
{
    if (ramp->cold && current_share(ramp, now_ms) >= 1.0) {
        ramp->cold = false;
    }
    return ramp->options.policy->ceiling(ramp, now_ms);
}

/* Returns how many connections to keep open now. */
uint32_t
RsRamp_Connections(const struct rs_ramp *ramp, int64_t now_ms)
{
    return ramp->options.policy->connections(ramp, now_ms);
}

/* Returns the time at which to query the bounds again, or RsClock_NEVER_MS if
 * the target is warm and RsRamp_Connections() has reached its maximum. */
int64_t
RsRamp_NextChangeAtMs(const struct rs_ramp *ramp, int64_t now_ms)
{
    bool connecting =
        RsRamp_Connections(ramp, now_ms) < ramp->options.connections;
    return ramp->cold || connecting ? now_ms + RECHECK_INTERVAL_MS
                                    : RsClock_NEVER_MS;
}
