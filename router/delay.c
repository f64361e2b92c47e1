#include "router/delay.h"

/* Records a message that was sent at `sent_ms` by the sender's clock and
 * arrived at `now_ms` by the receiver's. Returns by how many ms it took longer
 * than the fastest message so far. */
int64_t
RsDelay_Lateness(struct rs_delay *delay, int64_t sent_ms, int64_t now_ms)
{
    int64_t difference_ms = now_ms - sent_ms;
    if (!delay->known || difference_ms < delay->min_offset_ms) {
        delay->known = true;
        delay->min_offset_ms = difference_ms;
    }
    return difference_ms - delay->min_offset_ms;
}
