#include "dispatch/health.h"

#include <glib.h>
#include <stdlib.h>

#define LATENCY_SAMPLE_WEIGHT 0.2
#define SILENCE_FACTOR 8.0 /* allowed silence as a multiple of the latency */
/* Greatest factor by which the allowed silence is extended, and the one by
 * which the recovery is extended if only pings are answered. */
#define MAX_EXTENSION_FACTOR 4.0
#define MIN_SLOW_SHARE 0.05
#define US_PER_MS 1000

static double
silence_ms(const struct rs_health *health, enum rs_health_traffic_kind kind,
           int64_t now_ms)
{
    const struct rs_health_traffic *traffic = &health->traffic[kind];
    return traffic->in_flight == 0
               ? 0.0
               : (double)(now_ms - traffic->silent_since_ms);
}

/* Returns how long a target may leave requests unanswered. One with a long
 * latency is allowed more than `base_ms`, but at most MAX_EXTENSION_FACTOR
 * times as much. */
static double
allowed_silence_ms(const struct rs_health *health, double base_ms)
{
    double scaled_latency_ms = health->latency_us * SILENCE_FACTOR / US_PER_MS;
    return CLAMP(scaled_latency_ms, base_ms, base_ms * MAX_EXTENSION_FACTOR);
}

/* Returns whether the target has been silent for too long, and sets `kind` to
 * the kind of traffic that it left unanswered: requests for at least
 * allowed_silence_ms(), or pings for at least `base_ms`. If it has not been
 * silent for too long, `kind` is RsHealth_PING. */
static bool
is_silent(const struct rs_health *health, int64_t now_ms, double base_ms,
          enum rs_health_traffic_kind *kind)
{
    *kind = RsHealth_REQUEST;
    if (silence_ms(health, RsHealth_REQUEST, now_ms) >=
        allowed_silence_ms(health, base_ms)) {
        return true;
    }
    *kind = RsHealth_PING;
    return silence_ms(health, RsHealth_PING, now_ms) >= base_ms;
}

/* Initializes `health` to UP, with the full capacity share. */
void
RsHealth_Init(struct rs_health *health,
              const struct rs_health_options *options, int64_t now_ms)
{
    *health = (struct rs_health){
        .options = *options, .share = 1.0, .share_changed_at_ms = now_ms};
}

/* Records that a request or ping was sent. */
void
RsHealth_RecordSent(struct rs_health *health, int64_t now_ms,
                    enum rs_health_traffic_kind kind)
{
    struct rs_health_traffic *traffic = &health->traffic[kind];
    if (traffic->in_flight == 0) {
        traffic->silent_since_ms = now_ms;
    }
    traffic->in_flight++;
}

static void
decrement_in_flight(struct rs_health *health, enum rs_health_traffic_kind kind)
{
    struct rs_health_traffic *traffic = &health->traffic[kind];
    if (traffic->in_flight > 0) {
        traffic->in_flight--;
    }
}

/* Records an answer of a target that may be lost. A lost one becomes suspect
 * when an answer arrives at least `recovery_ms` after the first one since the
 * loss or the last timeout. If it was lost because its requests went
 * unanswered, an answered ping counts only after MAX_EXTENSION_FACTOR times as
 * long: the target may answer pings and nothing else. */
static void
record_recovery(struct rs_health *health, int64_t now_ms,
                enum rs_health_traffic_kind kind)
{
    if (health->state != RsHealth_LOST) {
        return;
    }
    if (health->answering_since_ms == 0) {
        health->answering_since_ms = now_ms;
    }
    bool trusted =
        kind == RsHealth_REQUEST || health->lost_by == RsHealth_PING;
    int64_t needed_ms = health->options.recovery_ms *
                        (trusted ? 1 : (int64_t)MAX_EXTENSION_FACTOR);
    if (now_ms - health->answering_since_ms >= needed_ms) {
        health->state = RsHealth_SUSPECT;
        health->answering_since_ms = now_ms;
    }
}

/* Records that an answer, or its head, arrived `latency_us` after its request
 * or ping was sent. The latency of pings is ignored. */
void
RsHealth_RecordAnswer(struct rs_health *health, int64_t now_ms,
                      enum rs_health_traffic_kind kind, int64_t latency_us)
{
    decrement_in_flight(health, kind);
    health->traffic[kind].silent_since_ms = now_ms;
    health->connect_failures = 0;
    record_recovery(health, now_ms, kind);
    if (kind != RsHealth_REQUEST) {
        return;
    }
    health->last_answer_at_ms = now_ms;
    double step = (double)latency_us - health->latency_us;
    double weight = health->latency_us == 0.0 ? 1.0 : LATENCY_SAMPLE_WEIGHT;
    health->latency_us += weight * step;
}

/* Records that the target refused a request. It is not silent, but the latency
 * of a refusal says nothing about its speed. */
void
RsHealth_RecordRefusal(struct rs_health *health, int64_t now_ms)
{
    decrement_in_flight(health, RsHealth_REQUEST);
    health->traffic[RsHealth_REQUEST].silent_since_ms = now_ms;
    health->refusals++;
}

/* Records that a request or ping ended without an answer. This does not end
 * the silence of its kind of traffic. A timeout restarts the recovery of a
 * lost target. */
void
RsHealth_RecordNoAnswer(struct rs_health *health,
                        enum rs_health_traffic_kind kind, bool timed_out)
{
    decrement_in_flight(health, kind);
    if (timed_out) {
        health->timeouts++;
        if (health->state == RsHealth_LOST) {
            health->answering_since_ms = 0;
        }
    }
}

/* Records that a connection was established. */
void
RsHealth_RecordConnect(struct rs_health *health)
{
    health->connect_failures = 0;
}

/* Counts a failed attempt to connect. RsHealth_Update() marks the target as
 * lost after `max_connect_failures` in a row. */
void
RsHealth_RecordConnectFailure(struct rs_health *health)
{
    health->connect_failures++;
}

/* Stores a copy of the target's own report. */
void
RsHealth_RecordReport(struct rs_health *health,
                      const struct rs_health_report *report)
{
    health->report = *report;
}

/* Returns the expected latency in microseconds: that of recent answers, or the
 * time for which the requests in flight have seen no answer, if that is
 * longer. It is 0 if unknown. */
double
RsHealth_ExpectedLatencyUs(const struct rs_health *health, int64_t now_ms)
{
    double silent_us =
        silence_ms(health, RsHealth_REQUEST, now_ms) * US_PER_MS;
    return MAX(health->latency_us, silent_us);
}

static void
mark_lost(struct rs_health *health, enum rs_health_traffic_kind kind)
{
    health->state = RsHealth_LOST;
    health->lost_by = kind;
    health->answering_since_ms = 0;
    health->beyond_bound = false;
}

/* Returns whether the latency has been beyond its bound for at least
 * `needed_ms`, and records when that began. `beyond` tells whether the latency
 * is beyond the bound now. */
static bool
has_been_beyond_for(struct rs_health *health, int64_t now_ms, bool beyond,
                    uint32_t needed_ms)
{
    if (!beyond) {
        health->beyond_bound = false;
        return false;
    }
    if (!health->beyond_bound) {
        health->beyond_bound = true;
        health->beyond_since_ms = now_ms;
    }
    return now_ms - health->beyond_since_ms >= needed_ms;
}

/* Compares the latency with the median of the peers, if that is known, and
 * switches between UP and SLOW. The two bounds differ (hysteresis), so that
 * the state does not flap. */
static void
compare_with_peers(struct rs_health *health, int64_t now_ms)
{
    const struct rs_health_options *options = &health->options;
    double latency_us = RsHealth_ExpectedLatencyUs(health, now_ms);
    double median_us = health->median_us;
    bool slow = health->state == RsHealth_SLOW;
    bool beyond = slow ? latency_us < median_us * options->fast_factor
                       : latency_us > median_us * options->slow_factor;
    uint32_t needed_ms = slow ? options->fast_ms : options->slow_ms;
    if (median_us > 0.0 &&
        has_been_beyond_for(health, now_ms, beyond, needed_ms)) {
        health->state = slow ? RsHealth_UP : RsHealth_SLOW;
        health->beyond_bound = false;
    }
}

/* Returns the capacity share that fits the state: 0 if lost; if slow, the
 * ratio of the peers' median latency to the target's, but at least
 * MIN_SLOW_SHARE; otherwise 1. */
static double
desired_share(const struct rs_health *health, int64_t now_ms)
{
    if (health->state == RsHealth_LOST) {
        return 0.0;
    }
    double latency_us = RsHealth_ExpectedLatencyUs(health, now_ms);
    if (health->state != RsHealth_SLOW || latency_us <= 0.0) {
        return 1.0;
    }
    return CLAMP(health->median_us / latency_us, MIN_SLOW_SHARE, 1.0);
}

/* Updates `share`. It drops to 0 at once; any other change waits for
 * `share_interval_ms` since the last one, and a change that leads neither to 0
 * nor to 1 must be at least `min_share_change`. */
static void
update_share(struct rs_health *health, int64_t now_ms)
{
    const struct rs_health_options *options = &health->options;
    double wanted = desired_share(health, now_ms);
    double change = ABS(wanted - health->share);
    bool reaches_bound =
        wanted != health->share && (wanted == 0.0 || wanted == 1.0);
    bool interval_over =
        now_ms - health->share_changed_at_ms >= options->share_interval_ms;
    if (wanted == 0.0 ||
        (interval_over &&
         (reaches_bound || change >= options->min_share_change))) {
        if (wanted != health->share) {
            health->share_changed_at_ms = now_ms;
        }
        health->share = wanted;
    }
}

/* Resets a latency above the median of the peers to that median, once the
 * target has answered no request for `stale_ms` and has none in flight.
 * Otherwise a target with one high latency could get almost no requests, and
 * it would take long to notice that it is fast again. */
static void
reset_stale_latency(struct rs_health *health, int64_t now_ms)
{
    if (health->traffic[RsHealth_REQUEST].in_flight == 0 &&
        health->latency_us > health->median_us && health->median_us > 0.0 &&
        now_ms - health->last_answer_at_ms >= health->options.stale_ms) {
        health->latency_us = health->median_us;
    }
}

/* Updates the state and the capacity share for the time that has passed, and
 * returns the state. Must be called every few tens of milliseconds.
 * `median_us` is the median latency of the peers, or 0 if unknown. */
enum rs_health_state
RsHealth_Update(struct rs_health *health, int64_t now_ms, double median_us)
{
    const struct rs_health_options *options = &health->options;
    enum rs_health_traffic_kind kind;
    health->median_us = median_us;
    reset_stale_latency(health, now_ms);
    if (health->state != RsHealth_LOST &&
        (is_silent(health, now_ms, options->lost_ms, &kind) ||
         health->connect_failures >= options->max_connect_failures)) {
        mark_lost(health, kind);
    }
    else if (health->state == RsHealth_UP || health->state == RsHealth_SLOW) {
        compare_with_peers(health, now_ms);
        if (is_silent(health, now_ms, options->suspect_ms, &kind)) {
            health->state = RsHealth_SUSPECT;
            health->answering_since_ms = now_ms;
        }
    }
    else if (health->state == RsHealth_SUSPECT) {
        if (is_silent(health, now_ms, options->suspect_ms, &kind)) {
            health->answering_since_ms = now_ms;
        }
        else if (now_ms - health->answering_since_ms >= options->recovery_ms) {
            health->state = RsHealth_UP;
        }
    }
    update_share(health, now_ms);
    return health->state;
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

/* Returns the median expected latency, in microseconds, of the peers that are
 * not lost and whose latency is known; 0 if there is none. With an even
 * number of such peers, the median is the lower of the two middle values. */
double
RsHealth_MedianLatencyUs(const struct rs_health *const *peers, size_t count,
                         int64_t now_ms)
{
    double *latencies_us = g_new(double, count + 1);
    size_t known = 0;
    for (size_t i = 0; i < count; i++) {
        double latency_us = RsHealth_ExpectedLatencyUs(peers[i], now_ms);
        if (peers[i]->state != RsHealth_LOST && latency_us > 0.0) {
            latencies_us[known++] = latency_us;
        }
    }
    qsort(latencies_us, known, sizeof(latencies_us[0]), compare_doubles);
    double median_us = known == 0 ? 0.0 : latencies_us[(known - 1) / 2];
    g_free(latencies_us);
    return median_us;
}

/* Returns the state's name for dumps. The string is static. */
const char *
RsHealth_StateText(enum rs_health_state state)
{
    static const char *const texts[] = {[RsHealth_UP] = "up",
                                        [RsHealth_SLOW] = "slow",
                                        [RsHealth_SUSPECT] = "suspect",
                                        [RsHealth_LOST] = "lost"};
    return texts[state];
}
