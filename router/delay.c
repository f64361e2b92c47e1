#include "router/delay.h"

/* Records a message that was sent at `sent_at_ms` by the sender's clock and
 * arrived at `now_ms` by the receiver's. Returns by how many ms longer it took
 * than the fastest message so far; the difference of the clocks cancels out.
 */
int64_t
RsDelay_Lateness(struct rs_delay *delay, int64_t sent_at_ms, int64_t now_ms)
{
    int64_t offset_ms = now_ms - sent_at_ms;
    if (!delay->has_offset || offset_ms < delay->min_offset_ms) {
        delay->has_offset = true;
        delay->min_offset_ms = offset_ms;
    }
    return offset_ms - delay->min_offset_ms;
}
