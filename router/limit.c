#include "router/limit.h"

#include <glib.h>
#include <math.h>

/* The lowest limit that is kept: with a lower one, so few requests would be
 * sent that the end of the limit would be noticed too late. */
#define MIN_PER_S 0.1
/* Number of senders: MIN_SENDERS, and one more for each request a second. All
 * senders may send at the same moment, so their number limits the burst. */
#define MIN_SENDERS 2
#define CONFIRMED_MS 12000
#define MS_PER_S 1000.0

static double
count_senders(const struct rs_limit *limit, const struct rs_limit_place *place)
{
    return MIN(floor(MIN_SENDERS + limit->per_s), place->nodes);
}

/* Returns whether a limit is known that no response has stated for some time.
 * It still holds, but the target should get a request to find out whether it
 * has ended. */
bool
RsLimit_IsUnconfirmed(const struct rs_limit *limit, int64_t now_ms)
{
    return limit->per_s > 0 && now_ms - limit->stated_at_ms >= CONFIRMED_MS;
}

/* Records what a response stated at `stated_at_ms`: a limit in requests a
 * second, or none if `per_s` is negative. Does nothing if a newer statement is
 * known. Returns whether that is news: a limit has begun or ended, or an
 * unconfirmed one still holds. */
bool
RsLimit_Record(struct rs_limit *limit, double per_s, int64_t stated_at_ms,
               int64_t now_ms)
{
    bool was_limited = limit->per_s > 0;
    bool was_unconfirmed = RsLimit_IsUnconfirmed(limit, now_ms);
    if (stated_at_ms < limit->stated_at_ms) {
        return false;
    }
    limit->per_s = per_s < 0 ? 0 : MAX(per_s, MIN_PER_S);
    limit->stated_at_ms = stated_at_ms;
    bool is_limited = limit->per_s > 0;
    if (is_limited && !was_limited) {
        limit->limited_since_ms = now_ms;
        limit->next_send_at_ms = now_ms;
    }
    return was_limited != is_limited ||
           (was_unconfirmed && !RsLimit_IsUnconfirmed(limit, now_ms));
}

/* Returns from when on this node may send the next request to a target with a
 * limit, which may be in the past; RsLimit_NEVER if it is not one of the
 * senders. */
int64_t
RsLimit_OpenAtMs(const struct rs_limit *limit,
                 const struct rs_limit_place *place)
{
    if (place->nodes == 0 || place->number >= count_senders(limit, place)) {
        return RsLimit_NEVER;
    }
    /* The senders begin one after the other. */
    double first_delay_ms = place->number * MS_PER_S / limit->per_s;
    return MAX(limit->next_send_at_ms,
               limit->limited_since_ms + (int64_t)first_delay_ms);
}

/* Records that this node sends a request to a target with a limit. */
void
RsLimit_RecordSend(struct rs_limit *limit, const struct rs_limit_place *place,
                   int64_t now_ms)
{
    double interval_ms = MS_PER_S * count_senders(limit, place) / limit->per_s;
    limit->next_send_at_ms = now_ms + (int64_t)ceil(interval_ms);
}
