#include "core/clock_offset.h"

#include <glib.h>

/* How long a bound counts, once or twice this. The two clocks may drift apart
 * by a few milliseconds within that time. */
#define WINDOW_MS 10000

/* Records a response that says that it was made at `server_ms` by the server's
 * clock. It answers a request that was sent at `sent_at_ms` by this process's
 * clock, so it was made later than that. */
void
RsClockOffset_Record(struct rs_clock_offset *offset, int64_t sent_at_ms,
                     int64_t server_ms, int64_t now_ms)
{
    int64_t bound_ms = sent_at_ms - server_ms;
    if (offset->window_end_ms == 0 ||
        now_ms >= offset->window_end_ms + WINDOW_MS) {
        offset->present_ms = bound_ms;
        offset->former_ms = bound_ms;
        offset->window_end_ms = now_ms + WINDOW_MS;
    }
    else if (now_ms >= offset->window_end_ms) {
        offset->former_ms = offset->present_ms;
        offset->present_ms = bound_ms;
        offset->window_end_ms = now_ms + WINDOW_MS;
    }
    offset->present_ms = MAX(offset->present_ms, bound_ms);
}

/* Returns the earliest time by this process's clock that `server_ms` of the
 * server's may be. At least one response must have been recorded. */
int64_t
RsClockOffset_EarliestMs(const struct rs_clock_offset *offset,
                         int64_t server_ms)
{
    return server_ms + MAX(offset->present_ms, offset->former_ms);
}
