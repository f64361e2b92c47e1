/* Health of one target as this process observes it: answers, silence, refused
 * connections, and latency compared with the other targets of the service.
 * What the target reports of itself lags and may be wrong, so it is kept for
 * dumps only and never improves the state. This is a pure state machine. */

#ifndef RATTANSHED_DISPATCH_HEALTH_H
#define RATTANSHED_DISPATCH_HEALTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum rs_health_state {
    RsHealth_UP,
    RsHealth_SLOW,    /* compared with its peers of the same service */
    RsHealth_SUSPECT, /* silent for `suspect_ms`, or recovering after LOST */
    RsHealth_LOST     /* silent for `lost_ms`, or refuses connections */
};

enum rs_health_channel_kind {
    RsHealth_WORK,         /* callers' requests */
    RsHealth_PING,         /* requests to the target's health endpoint */
    RsHealth_CHANNEL_COUNT /* the number of kinds */
};

struct rs_health_options {
    uint32_t suspect_ms;  /* silence after which it is suspect */
    uint32_t lost_ms;     /* silence after which it is lost */
    uint32_t recovery_ms; /* time of answers for each step LOST, SUSPECT, UP */
    uint32_t slow_ms;     /* time above `slow_factor` until it is slow */
    uint32_t fast_ms;     /* time below `fast_factor` until it is up again */
    uint32_t stale_ms;    /* time without work until its latency is reset */
    double slow_factor;   /* of the peers' median latency, to become slow */
    double fast_factor;   /* of the peers' median latency, to be up again */
    double min_share_change; /* smallest change of the capacity share */
    uint32_t
        share_interval_ms; /* shortest time between changes of the share */
    uint32_t max_connect_failures;
};

struct rs_health_channel {
    uint32_t out;            /* requests or pings in flight */
    int64_t silent_since_ms; /* valid while `out` is not 0 */
};

/* What the target reports of itself. */
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
    enum rs_health_channel_kind lost_by; /* the kind that went silent */
    struct rs_health_channel channels[RsHealth_CHANNEL_COUNT];
    double latency_us; /* moving average of answers to work; 0 unknown */
    int64_t last_answer_at_ms;  /* time of the last answer to work */
    double median_us;           /* latency of the peers at the last tick */
    uint32_t connect_failures;  /* in a row */
    int64_t answering_since_ms; /* while it recovers; 0 not yet */
    int64_t beyond_since_ms; /* since when the latency is beyond its bound */
    bool beyond_bound;
    double share; /* of its capacity that the plan may use, 0 to 1 */
    int64_t share_changed_at_ms;
    uint64_t refusals;
    uint64_t timeouts;
    struct rs_health_report report;
};

void RsHealth_Init(struct rs_health *health,
                   const struct rs_health_options *options, int64_t now_ms);

/* Observations */
void RsHealth_RecordSent(struct rs_health *health, int64_t now_ms,
                         enum rs_health_channel_kind kind);
void RsHealth_RecordAnswer(struct rs_health *health, int64_t now_ms,
                           enum rs_health_channel_kind kind,
                           int64_t latency_us);
void RsHealth_RecordRefusal(struct rs_health *health, int64_t now_ms);
void RsHealth_RecordNoAnswer(struct rs_health *health,
                             enum rs_health_channel_kind kind, bool timed_out);
void RsHealth_RecordConnect(struct rs_health *health);
void RsHealth_RecordConnectFailure(struct rs_health *health);
void RsHealth_RecordReport(struct rs_health *health,
                           const struct rs_health_report *report);

/* State */
enum rs_health_state RsHealth_Update(struct rs_health *health, int64_t now_ms,
                                     double median_us);
double RsHealth_ExpectedLatencyUs(const struct rs_health *health,
                                  int64_t now_ms);
double RsHealth_MedianLatencyUs(const struct rs_health *const *peers,
                                size_t count, int64_t now_ms);
const char *RsHealth_StateText(enum rs_health_state state);

#endif
