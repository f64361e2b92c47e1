/* How late the messages of one connection come, compared with the fastest of
 * them. The clocks of the two sides need not agree, only run alike. No I/O. */

#ifndef RATTANSHED_ROUTER_DELAY_H
#define RATTANSHED_ROUTER_DELAY_H

#include <stdbool.h>
#include <stdint.h>

struct rs_delay {
    bool known;
    int64_t least_ms; /* clock of the receiver less that of the sender */
};

int64_t RsDelay_Lateness(struct rs_delay *delay, int64_t sent_ms,
                         int64_t now_ms);

#endif
