/* What is known of a target, from own observation first. What it reports of
 * itself lags and may be wrong: it never makes a state better. Plain state
 * machine. */

#ifndef RATTANSHED_DISPATCH_HEALTH_H
#define RATTANSHED_DISPATCH_HEALTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum rs_health_state {
    RsHealth_UP,
    RsHealth_SLOW,    /* against its peers of the same service */
    RsHealth_SUSPECT, /* silent for a while, or back from being lost */
    RsHealth_LOST     /* silent, or refuses connections */
};

enum rs_health_channel_kind {
    RsHealth_WORK, /* callers' requests */
    RsHealth_PING, /* the health endpoint */
    RsHealth_CHANNELS
};

struct rs_health_options {
    uint32_t suspect_ms; /* of silence */
    uint32_t lost_ms;    /* of silence */
    uint32_t return_ms;  /* of answers, before a lost one is used again */
    uint32_t slow_ms;    /* above the bound, before it counts as slow */
    uint32_t fast_ms;    /* below the bound, before it no longer does */
    uint32_t stale_ms;   /* without work, before its latency is forgotten */
    double slow_factor;  /* of the peers' median latency: enters */
    double fast_factor;  /* leaves */
    double share_step;   /* smallest change of the capacity share */
    uint32_t share_ms;   /* shortest time between changes of it */
    uint32_t max_connect_failures;
};

struct rs_health_channel {
    uint32_t out;
    int64_t silent_since_ms; /* while any is out */
};

struct rs_health_report {
    int64_t at_ms;
    uint32_t in_flight;
    uint32_t queued;
    double load;
    bool draining;
};

/* A value type; owns nothing. */
struct rs_health {
    struct rs_health_options options;
    enum rs_health_state state;
    enum rs_health_channel_kind lost_on;
    struct rs_health_channel channels[RsHealth_CHANNELS];
    double latency_us;
    int64_t worked_ms; /* the last answer to work */
    double median_us;  /* of the peers, when last told */
    uint32_t connect_failures;
    int64_t answering_since_ms; /* while it comes back */
    int64_t crossed_ms;         /* when the latency crossed its bound */
    bool crossed;
    double share;
    int64_t share_at_ms;
    uint64_t refusals;
    uint64_t timeouts;
    struct rs_health_report report;
};

void RsHealth_Start(struct rs_health *health,
                    const struct rs_health_options *options, int64_t now_ms);

/* Observations */
void RsHealth_Sent(struct rs_health *health, int64_t now_ms,
                   enum rs_health_channel_kind kind);
void RsHealth_Answered(struct rs_health *health, int64_t now_ms,
                       enum rs_health_channel_kind kind, int64_t latency_us);
void RsHealth_Refused(struct rs_health *health, int64_t now_ms);
void RsHealth_GaveUp(struct rs_health *health,
                     enum rs_health_channel_kind kind, bool timed_out);
void RsHealth_Connected(struct rs_health *health);
void RsHealth_ConnectFailed(struct rs_health *health);
void RsHealth_Reported(struct rs_health *health,
                       const struct rs_health_report *report);

/* Conclusions */
enum rs_health_state RsHealth_Tick(struct rs_health *health, int64_t now_ms,
                                   double median_us);
double RsHealth_LatencyUs(const struct rs_health *health, int64_t now_ms);
double RsHealth_Median(const struct rs_health *const *peers, size_t count,
                       int64_t now_ms);
const char *RsHealth_StateText(enum rs_health_state state);

#endif
