#include "router/reachability.h"

#include <glib.h>

/* A target that has not answered for this long counts as unreachable. */
#define UNREACHABLE_MS 1500
/* Interval of the probes of an unreachable target. It doubles with each
 * relapse, which is a failure that begins less than RELAPSE_MS after the
 * target was reached again. */
#define PROBE_EVERY_MS 1000
#define MAX_DOUBLINGS 4
#define RELAPSE_MS 10000

static int64_t
next_probe_at_ms(const struct rs_reachability *reachability, int64_t now_ms)
{
    return now_ms + ((int64_t)PROBE_EVERY_MS
                     << MIN(reachability->relapses, MAX_DOUBLINGS));
}

/* Records that an order or a probe was not answered, or by another target. */
void
RsReachability_RecordFailure(struct rs_reachability *reachability,
                             int64_t now_ms)
{
    if (reachability->failing_since_ms > 0) {
        return;
    }
    if (now_ms - reachability->restored_at_ms >= RELAPSE_MS) {
        reachability->relapses = 0;
    }
    reachability->failing_since_ms = now_ms;
    reachability->next_probe_at_ms = next_probe_at_ms(reachability, now_ms);
}

/* Records that the target has answered an order or a probe. Returns whether it
 * counted as unreachable until then. */
bool
RsReachability_RecordAnswer(struct rs_reachability *reachability,
                            int64_t now_ms)
{
    bool restored = RsReachability_IsUnreachable(reachability, now_ms);
    if (restored) {
        reachability->restored_at_ms = now_ms;
        reachability->relapses++;
    }
    reachability->failing_since_ms = 0;
    return restored;
}

/* Returns whether the target has answered nothing for so long that it must own
 * no keys. */
bool
RsReachability_IsUnreachable(const struct rs_reachability *reachability,
                             int64_t now_ms)
{
    return reachability->failing_since_ms > 0 &&
           now_ms - reachability->failing_since_ms > UNREACHABLE_MS;
}

/* Returns whether an unreachable target is to be probed now; the next probe is
 * due later. */
bool
RsReachability_TakeProbe(struct rs_reachability *reachability, int64_t now_ms)
{
    if (!RsReachability_IsUnreachable(reachability, now_ms) ||
        now_ms < reachability->next_probe_at_ms) {
        return false;
    }
    reachability->next_probe_at_ms = next_probe_at_ms(reachability, now_ms);
    return true;
}
