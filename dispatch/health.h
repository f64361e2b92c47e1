/* Health of one target as this process observes it: answers, silence, failed
 * connections, and latency compared with the median of its peers, which the
 * caller selects. What the target reports of itself lags and may be wrong, so
 * it is only stored and has no effect on the state. This is a pure state
 * machine. */

#ifndef RATTANSHED_DISPATCH_HEALTH_H
#define RATTANSHED_DISPATCH_HEALTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum rs_health_state {
    RsHealth_UP,
    RsHealth_SLOW,    /* much slower than its peers */
    RsHealth_SUSPECT, /* was silent, or is recovering after LOST */
    RsHealth_LOST     /* was silent for longer, or connections failed */
};

enum rs_health_traffic_kind {
    RsHealth_REQUEST, /* callers' requests */
    /* health requests and grants, which this process sends by itself */
    RsHealth_PING,
    RsHealth_TRAFFIC_KIND_COUNT
};

struct rs_health_options {
    /* silence after which the target is suspect; extended for unanswered
     * requests if its latency is long, see allowed_silence_ms() */
    uint32_t suspect_ms;
    /* silence after which the target is lost; extended in the same way */
    uint32_t lost_ms;
    /* how long the target must answer to go from LOST to SUSPECT (see
     * record_recovery()), and how long it must then not be silent to go from
     * SUSPECT to UP */
    uint32_t recovery_ms;
    /* how long the latency must be above `slow_factor` times the median before
     * the target is slow */
    uint32_t slow_ms;
    /* how long the latency must be below `fast_factor` times the median before
     * a slow target is up again */
    uint32_t fast_ms;
    /* time without an answered request after which the latency is reset; see
     * reset_stale_latency() */
    uint32_t stale_ms;
    double slow_factor; /* see `slow_ms` */
    double fast_factor; /* see `fast_ms`; less than `slow_factor` */
    /* smallest change of the capacity share, except to 0 or 1 */
    double min_share_change;
    /* shortest time between changes of the share, except to 0 */
    uint32_t share_interval_ms;
    /* connection failures in a row with which the target is lost */
    uint32_t max_connect_failures;
};

struct rs_health_traffic {
    uint32_t in_flight; /* requests or pings in flight */
    /* time of the last answer or refusal, or, if later, the time at which
     * `in_flight` last rose from 0; valid while `in_flight` is not 0 */
    int64_t silent_since_ms;
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
    /* RsHealth_REQUEST if unanswered requests caused the last loss;
     * RsHealth_PING if unanswered pings or failed connections did */
    enum rs_health_traffic_kind lost_by;
    struct rs_health_traffic traffic[RsHealth_TRAFFIC_KIND_COUNT];
    /* moving average of the latency of answered requests; 0 if unknown; see
     * reset_stale_latency() */
    double latency_us;
    int64_t last_answer_at_ms; /* when a request was last answered */
    /* median latency of the peers at the last RsHealth_Update(); 0 if
     * unknown */
    double median_us;
    /* in a row, without an answer or a connection in between */
    uint32_t connect_failures;
    /* while LOST: time of the first answer since the loss or the last timeout,
     * 0 if there was none; while SUSPECT: since when the target has not been
     * silent */
    int64_t answering_since_ms;
    /* since when the latency has been beyond the bound for a change between UP
     * and SLOW; valid while `beyond_bound` */
    int64_t beyond_since_ms;
    bool beyond_bound;
    /* capacity share: fraction of the target's nominal capacity that the
     * planner (place/planner.h) may count on, 0 to 1 */
    double share;
    int64_t share_changed_at_ms;
    uint64_t refusals;
    uint64_t timeouts;
    struct rs_health_report report;
};

void RsHealth_Init(struct rs_health *health,
                   const struct rs_health_options *options, int64_t now_ms);

/* Observations */
void RsHealth_RecordSent(struct rs_health *health, int64_t now_ms,
                         enum rs_health_traffic_kind kind);
void RsHealth_RecordAnswer(struct rs_health *health, int64_t now_ms,
                           enum rs_health_traffic_kind kind,
                           int64_t latency_us);
void RsHealth_RecordRefusal(struct rs_health *health, int64_t now_ms);
void RsHealth_RecordNoAnswer(struct rs_health *health,
                             enum rs_health_traffic_kind kind, bool timed_out);
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
