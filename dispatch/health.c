#include "dispatch/health.h"

#include <glib.h>
#include <stdlib.h>

#define LATENCY_WEIGHT 0.2
#define SILENCE_FACTOR 8.0  /* of the usual latency, before it is lost */
#define MAX_LOST_FACTOR 4.0 /* of `lost_ms` */
#define MIN_SLOW_SHARE 0.05
#define US_PER_MS 1000

static double
silence_ms(const struct rs_health *health, enum rs_health_channel_kind kind,
           int64_t now_ms)
{
    const struct rs_health_channel *channel = &health->channels[kind];
    return channel->out == 0 ? 0.0
                             : (double)(now_ms - channel->silent_since_ms);
}

/* A service whose answers take long is given more silence. */
static double
patience_ms(const struct rs_health *health, double base_ms)
{
    double usual_ms = health->latency_us * SILENCE_FACTOR / US_PER_MS;
    return CLAMP(usual_ms, base_ms, base_ms * MAX_LOST_FACTOR);
}

static bool
silent_for(const struct rs_health *health, int64_t now_ms, double base_ms,
           enum rs_health_channel_kind *kind)
{
    *kind = RsHealth_WORK;
    if (silence_ms(health, RsHealth_WORK, now_ms) >=
        patience_ms(health, base_ms)) {
        return true;
    }
    *kind = RsHealth_PING;
    return silence_ms(health, RsHealth_PING, now_ms) >= base_ms;
}

/* Sets `health` to that of a target with nothing against it. */
void
RsHealth_Start(struct rs_health *health,
               const struct rs_health_options *options, int64_t now_ms)
{
    *health = (struct rs_health){
        .options = *options, .share = 1.0, .share_at_ms = now_ms};
}

/* A request or ping was sent. */
void
RsHealth_Sent(struct rs_health *health, int64_t now_ms,
              enum rs_health_channel_kind kind)
{
    struct rs_health_channel *channel = &health->channels[kind];
    if (channel->out == 0) {
        channel->silent_since_ms = now_ms;
    }
    channel->out++;
}

static void
end_one(struct rs_health *health, enum rs_health_channel_kind kind)
{
    struct rs_health_channel *channel = &health->channels[kind];
    if (channel->out > 0) {
        channel->out--;
    }
}

/* A lost target that answers again is only suspect, and a while later up.
 * Pings alone bring back one that was lost on its work only after a longer
 * time: it may answer those and nothing else. */
static void
come_back(struct rs_health *health, int64_t now_ms,
          enum rs_health_channel_kind kind)
{
    if (health->state != RsHealth_LOST) {
        return;
    }
    if (health->answering_since_ms == 0) {
        health->answering_since_ms = now_ms;
    }
    bool proven = kind == RsHealth_WORK || health->lost_on == RsHealth_PING;
    int64_t needed_ms =
        health->options.return_ms * (proven ? 1 : (int64_t)MAX_LOST_FACTOR);
    if (now_ms - health->answering_since_ms >= needed_ms) {
        health->state = RsHealth_SUSPECT;
        health->answering_since_ms = now_ms;
    }
}

/* An answer, whole or not, arrived after `latency_us`. */
void
RsHealth_Answered(struct rs_health *health, int64_t now_ms,
                  enum rs_health_channel_kind kind, int64_t latency_us)
{
    end_one(health, kind);
    health->channels[kind].silent_since_ms = now_ms;
    health->connect_failures = 0;
    come_back(health, now_ms, kind);
    if (kind != RsHealth_WORK) {
        return;
    }
    health->worked_ms = now_ms;
    double step = (double)latency_us - health->latency_us;
    double weight = health->latency_us == 0.0 ? 1.0 : LATENCY_WEIGHT;
    health->latency_us += weight * step;
}

/* The target refused a request: it is alive, and says nothing of its speed.
 */
void
RsHealth_Refused(struct rs_health *health, int64_t now_ms)
{
    end_one(health, RsHealth_WORK);
    health->channels[RsHealth_WORK].silent_since_ms = now_ms;
    health->refusals++;
}

/* A request or ping ended without an answer; the silence goes on. */
void
RsHealth_GaveUp(struct rs_health *health, enum rs_health_channel_kind kind,
                bool timed_out)
{
    end_one(health, kind);
    if (timed_out) {
        health->timeouts++;
        if (health->state == RsHealth_LOST) {
            health->answering_since_ms = 0;
        }
    }
}

/* A connection was made. */
void
RsHealth_Connected(struct rs_health *health)
{
    health->connect_failures = 0;
}

/* A connection could not be made. */
void
RsHealth_ConnectFailed(struct rs_health *health)
{
    health->connect_failures++;
}

/* Keeps what the target says of itself, for dumps. */
void
RsHealth_Reported(struct rs_health *health,
                  const struct rs_health_report *report)
{
    health->report = *report;
}

/* Returns the latency to expect, in microseconds: of recent answers, or the
 * silence of the work that is out, if that is longer. */
double
RsHealth_LatencyUs(const struct rs_health *health, int64_t now_ms)
{
    double silent_us = silence_ms(health, RsHealth_WORK, now_ms) * US_PER_MS;
    return MAX(health->latency_us, silent_us);
}

static void
lose(struct rs_health *health, enum rs_health_channel_kind kind)
{
    health->state = RsHealth_LOST;
    health->lost_on = kind;
    health->answering_since_ms = 0;
    health->crossed = false;
}

/* True once the latency has been on the other side of the bound for long
 * enough. */
static bool
crossed_for(struct rs_health *health, int64_t now_ms, bool beyond,
            uint32_t needed_ms)
{
    if (!beyond) {
        health->crossed = false;
        return false;
    }
    if (!health->crossed) {
        health->crossed = true;
        health->crossed_ms = now_ms;
    }
    return now_ms - health->crossed_ms >= needed_ms;
}

static void
compare_with_peers(struct rs_health *health, int64_t now_ms)
{
    const struct rs_health_options *options = &health->options;
    double latency_us = RsHealth_LatencyUs(health, now_ms);
    double median_us = health->median_us;
    bool slow = health->state == RsHealth_SLOW;
    bool beyond = slow ? latency_us < median_us * options->fast_factor
                       : latency_us > median_us * options->slow_factor;
    uint32_t needed_ms = slow ? options->fast_ms : options->slow_ms;
    if (median_us > 0.0 && crossed_for(health, now_ms, beyond, needed_ms)) {
        health->state = slow ? RsHealth_UP : RsHealth_SLOW;
        health->crossed = false;
    }
}

static double
wanted_share(const struct rs_health *health, int64_t now_ms)
{
    if (health->state == RsHealth_LOST) {
        return 0.0;
    }
    double latency_us = RsHealth_LatencyUs(health, now_ms);
    if (health->state != RsHealth_SLOW || latency_us <= 0.0) {
        return 1.0;
    }
    return CLAMP(health->median_us / latency_us, MIN_SLOW_SHARE, 1.0);
}

static void
publish_share(struct rs_health *health, int64_t now_ms)
{
    const struct rs_health_options *options = &health->options;
    double wanted = wanted_share(health, now_ms);
    double change = ABS(wanted - health->share);
    bool ends = wanted != health->share && (wanted == 0.0 || wanted == 1.0);
    bool rested = now_ms - health->share_at_ms >= options->share_ms;
    if (wanted == 0.0 || (rested && (ends || change >= options->share_step))) {
        if (wanted != health->share) {
            health->share_at_ms = now_ms;
        }
        health->share = wanted;
    }
}

/* A slow target that got no work for a while may be as fast as its peers
 * again; without this nobody would ever learn it. */
static void
forget_stale(struct rs_health *health, int64_t now_ms)
{
    if (health->channels[RsHealth_WORK].out == 0 &&
        health->latency_us > health->median_us && health->median_us > 0.0 &&
        now_ms - health->worked_ms >= health->options.stale_ms) {
        health->latency_us = health->median_us;
    }
}

/* Draws the conclusions of the time that has passed; to be called every few
 * tens of milliseconds. `median_us` is the latency of the service's targets,
 * or 0 when not known. `share` is the capacity to plan with. */
enum rs_health_state
RsHealth_Tick(struct rs_health *health, int64_t now_ms, double median_us)
{
    const struct rs_health_options *options = &health->options;
    enum rs_health_channel_kind kind;
    health->median_us = median_us;
    forget_stale(health, now_ms);
    if (health->state != RsHealth_LOST &&
        (silent_for(health, now_ms, options->lost_ms, &kind) ||
         health->connect_failures >= options->max_connect_failures)) {
        lose(health, kind);
    }
    else if (health->state == RsHealth_UP || health->state == RsHealth_SLOW) {
        compare_with_peers(health, now_ms);
        if (silent_for(health, now_ms, options->suspect_ms, &kind)) {
            health->state = RsHealth_SUSPECT;
            health->answering_since_ms = now_ms;
        }
    }
    else if (health->state == RsHealth_SUSPECT) {
        if (silent_for(health, now_ms, options->suspect_ms, &kind)) {
            health->answering_since_ms = now_ms;
        }
        else if (now_ms - health->answering_since_ms >= options->return_ms) {
            health->state = RsHealth_UP;
        }
    }
    publish_share(health, now_ms);
    return health->state;
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

/* Returns the median latency of those peers that have one, or 0. */
double
RsHealth_Median(const struct rs_health *const *peers, size_t count,
                int64_t now_ms)
{
    double *latencies_us = g_new(double, count + 1);
    size_t known = 0;
    for (size_t i = 0; i < count; i++) {
        double latency_us = RsHealth_LatencyUs(peers[i], now_ms);
        if (peers[i]->state != RsHealth_LOST && latency_us > 0.0) {
            latencies_us[known++] = latency_us;
        }
    }
    qsort(latencies_us, known, sizeof(latencies_us[0]), compare_doubles);
    double median_us = known == 0 ? 0.0 : latencies_us[(known - 1) / 2];
    g_free(latencies_us);
    return median_us;
}

/* Returns the state's name, for dumps. */
const char *
RsHealth_StateText(enum rs_health_state state)
{
    static const char *const texts[] = {[RsHealth_UP] = "up",
                                        [RsHealth_SLOW] = "slow",
                                        [RsHealth_SUSPECT] = "suspect",
                                        [RsHealth_LOST] = "lost"};
    return texts[state];
}
