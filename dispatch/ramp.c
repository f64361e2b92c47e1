#include "dispatch/ramp.h"

#include <assert.h>
#include <stddef.h>
#include <string.h>

#include "core/clock.h"

#define REFUSED_FACTOR 0.5
#define MIN_CUT_GAP_MS 20
#define MIN_PAUSE_MS 10
#define MAX_PAUSE_MS 160
#define STEP_MS 10
#define SLOW_FACTOR 2.5   /* of the latency when warm */
#define MAX_COLD_FACTOR 4 /* of `cold_ms` */
#define COLD_WEIGHT 0.1
#define WARM_WEIGHT 0.02
#define US_PER_MS 1000

static double
share_now(const struct rs_ramp *ramp, int64_t now_ms)
{
    double rise =
        (double)(now_ms - ramp->share_at_ms) / (double)ramp->options.cold_ms;
    double share = ramp->share + rise;
    return share < 1.0 ? share : 1.0;
}

static void
begin_cold(struct rs_ramp *ramp, int64_t now_ms)
{
    ramp->cold = ramp->options.cold_ms > 0;
    ramp->share = 0.0;
    ramp->share_at_ms = now_ms;
    ramp->connecting_since_ms = now_ms;
    ramp->paused_until_ms = now_ms;
    ramp->next_cut_ms = now_ms;
    ramp->pause_ms = MIN_PAUSE_MS;
    ramp->cold_latency_us = 0.0;
    ramp->latest_warm_ms =
        now_ms + (int64_t)ramp->options.cold_ms * MAX_COLD_FACTOR;
}

static uint32_t
linear_ceiling(const struct rs_ramp *ramp, int64_t now_ms)
{
    if (!ramp->cold) {
        return UINT32_MAX;
    }
    double slots = share_now(ramp, now_ms) * (double)ramp->options.slots;
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

static uint32_t
ramped_connections(const struct rs_ramp *ramp, int64_t now_ms)
{
    const struct rs_ramp_options *options = &ramp->options;
    double spent_us = (double)(now_ms - ramp->connecting_since_ms) *
                      US_PER_MS * options->connection_share;
    double opened = spent_us / (double)options->connection_cost_us;
    double wanted =
        opened +
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
ignore_sign(struct rs_ramp *ramp, int64_t now_ms)
{
}

/* The share falls back, and rises from there at the same slope. A target
 * that refuses even its first slot is left alone for a growing while. */
static void
cut_share(struct rs_ramp *ramp, int64_t now_ms)
{
    if (now_ms < ramp->next_cut_ms) {
        return;
    }
    double share = share_now(ramp, now_ms);
    if (share * (double)ramp->options.slots < 2.0) {
        ramp->paused_until_ms = now_ms + ramp->pause_ms;
        ramp->pause_ms = ramp->pause_ms * 2 < MAX_PAUSE_MS ? ramp->pause_ms * 2
                                                           : MAX_PAUSE_MS;
    }
    ramp->share = share * REFUSED_FACTOR;
    ramp->share_at_ms = now_ms;
    ramp->next_cut_ms = now_ms + MIN_CUT_GAP_MS;
}

/* The share rises no further while answers are slow. */
static void
hold_share(struct rs_ramp *ramp, int64_t now_ms)
{
    if (now_ms >= ramp->latest_warm_ms) {
        return;
    }
    ramp->share_at_ms = now_ms; /* what it rose since then is taken back */
}

const struct rs_ramp_policy rs_ramp_adaptive = {.name = "adaptive",
                                                .ceiling = adaptive_ceiling,
                                                .connections =
                                                    ramped_connections,
                                                .refused = cut_share,
                                                .slowed = hold_share};

const struct rs_ramp_policy rs_ramp_linear = {.name = "linear",
                                              .ceiling = linear_ceiling,
                                              .connections =
                                                  ramped_connections,
                                              .refused = ignore_sign,
                                              .slowed = ignore_sign};

const struct rs_ramp_policy rs_ramp_none = {.name = "none",
                                            .ceiling = no_ceiling,
                                            .connections = all_connections,
                                            .refused = ignore_sign,
                                            .slowed = ignore_sign};

/* Returns the policy of that name, or NULL. */
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

/* Sets `ramp` to that of a target never contacted. `slots`, `connections`
 * and `connection_cost_us` are at least 1. */
void
RsRamp_Start(struct rs_ramp *ramp, const struct rs_ramp_options *options)
{
    assert(options->slots > 0 && options->connections > 0);
    assert(options->connection_cost_us > 0);
    *ramp = (struct rs_ramp){.options = *options};
    ramp->pause_ms = MIN_PAUSE_MS;
}

/* The process that spoke for the target before says that this start of it is
 * warm: a change of the holder is no cold start. */
void
RsRamp_KnownWarm(struct rs_ramp *ramp, int64_t now_ms, uint64_t start_id)
{
    ramp->contacted = true;
    ramp->cold = false;
    ramp->start_id = start_id;
    ramp->connecting_since_ms = now_ms;
}

/* A connection was made: the first, or one after refused ones, finds the
 * target cold. */
void
RsRamp_Connected(struct rs_ramp *ramp, int64_t now_ms)
{
    if (!ramp->contacted || ramp->refuses_connections) {
        begin_cold(ramp, now_ms);
    }
    ramp->contacted = true;
    ramp->refuses_connections = false;
}

/* A connection was refused or reset while it was made. */
void
RsRamp_ConnectFailed(struct rs_ramp *ramp)
{
    ramp->refuses_connections = true;
}

/* An answer named the start of the target's process; another one than
 * before is a restart without word. */
void
RsRamp_SawStartId(struct rs_ramp *ramp, int64_t now_ms, uint64_t start_id)
{
    bool restarted = ramp->start_id != 0 && ramp->start_id != start_id;
    ramp->start_id = start_id;
    if (restarted) {
        begin_cold(ramp, now_ms);
    }
}

/* The target refused a request as `cold`; it may have restarted without
 * word. */
void
RsRamp_RefusedCold(struct rs_ramp *ramp, int64_t now_ms)
{
    if (!ramp->cold) {
        begin_cold(ramp, now_ms);
    }
    ramp->options.policy->refused(ramp, now_ms);
}

static void
average(double *mean, double sample, double weight)
{
    *mean = *mean == 0.0 ? sample : *mean + weight * (sample - *mean);
}

/* An answer took `latency_us` since it was sent. */
void
RsRamp_Answered(struct rs_ramp *ramp, int64_t now_ms, int64_t latency_us)
{
    if (!ramp->cold) {
        average(&ramp->warm_latency_us, (double)latency_us, WARM_WEIGHT);
        return;
    }
    average(&ramp->cold_latency_us, (double)latency_us, COLD_WEIGHT);
    if (ramp->warm_latency_us > 0.0 &&
        ramp->cold_latency_us > ramp->warm_latency_us * SLOW_FACTOR) {
        ramp->options.policy->slowed(ramp, now_ms);
    }
}

/* Returns the requests that may be at the target; UINT32_MAX when warm, 0
 * while it is left alone. */
uint32_t
RsRamp_Ceiling(struct rs_ramp *ramp, int64_t now_ms)
{
    if (ramp->cold && share_now(ramp, now_ms) >= 1.0) {
        ramp->cold = false;
    }
    return ramp->options.policy->ceiling(ramp, now_ms);
}

/* Returns the connections to have open now. */
uint32_t
RsRamp_Connections(const struct rs_ramp *ramp, int64_t now_ms)
{
    return ramp->options.policy->connections(ramp, now_ms);
}

/* Returns when to ask again, or RsClock_NEVER_MS when nothing changes by
 * itself. */
int64_t
RsRamp_NextChangeMs(const struct rs_ramp *ramp, int64_t now_ms)
{
    bool connecting =
        RsRamp_Connections(ramp, now_ms) < ramp->options.connections;
    return ramp->cold || connecting ? now_ms + STEP_MS : RsClock_NEVER_MS;
}
