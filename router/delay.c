#include "router/delay.h"

/* Takes a message by the sender's clock when it was sent and the receiver's
 * now. Returns by how many ms it is later than the fastest one so far. */
int64_t
RsDelay_Lateness(struct rs_delay *delay, int64_t sent_ms, int64_t now_ms)
{
    int64_t difference_ms = now_ms - sent_ms;
    if (!delay->known || difference_ms < delay->least_ms) {
        delay->known = true;
        delay->least_ms = difference_ms;
    }
    return difference_ms - delay->least_ms;
}
