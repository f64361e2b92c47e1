/* Measures how much later the messages of a connection arrive than the fastest
 * one. The clocks of both sides may differ, but must run at the same rate. No
 * I/O. */

#ifndef RATTANSHED_ROUTER_DELAY_H
#define RATTANSHED_ROUTER_DELAY_H

#include <stdbool.h>
#include <stdint.h>

struct rs_delay {
    bool has_offset;       /* a message was recorded */
    int64_t min_offset_ms; /* lowest receiver time minus sender time */
};

int64_t RsDelay_Lateness(struct rs_delay *delay, int64_t sent_at_ms,
                         int64_t now_ms);

#endif
