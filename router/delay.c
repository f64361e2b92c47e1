#include "router/delay.h"

/* Records a message that was sent at `sent_ms` by the sender's clock and
 * arrived at `now_ms` by the receiver's. Returns by how many ms it took longer
 * than the fastest message so far. */
int64_t
RsDelay_Lateness(struct rs_delay *delay, int64_t sent_ms, int64_t now_ms)
{
    int64_t offset_ms = now_ms - sent_ms;
    if (!delay->has_offset || offset_ms < delay->min_offset_ms) {
        delay->has_offset = true;
        delay->min_offset_ms = offset_ms;
    }
    return offset_ms - delay->min_offset_ms;
}
