#include "router/limit.h"

#include <glib.h>

/* The lowest limit that is kept: with a lower one, so few requests would be
 * sent that the end of the limit would be noticed too late. */
#define MIN_PER_S 0.1

/* Records what a response stated at `stated_at_ms`: a limit in requests a
 * second, or none if `per_s` is negative. Does nothing if a newer statement is
 * known. Returns whether a limit has begun or ended. */
bool
RsLimit_Record(struct rs_limit *limit, double per_s, int64_t stated_at_ms)
{
    bool was_limited = limit->per_s > 0;
    if (stated_at_ms < limit->stated_at_ms) {
        return false;
    }
    limit->per_s = per_s < 0 ? 0 : MAX(per_s, MIN_PER_S);
    limit->stated_at_ms = stated_at_ms;
    return was_limited != (limit->per_s > 0);
}
