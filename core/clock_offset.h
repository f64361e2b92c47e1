/* Lower bound of the difference between this process's clock and that of a
 * server, from requests that the server answers with its time. No I/O. */

#ifndef RATTANSHED_CORE_CLOCK_OFFSET_H
#define RATTANSHED_CORE_CLOCK_OFFSET_H

#include <stdint.h>

/* All zero: nothing is known. */
struct rs_clock_offset {
    int64_t window_end_ms; /* 0: no response yet */
    int64_t present_ms;    /* highest bound in the present window */
    int64_t former_ms;     /* the same for the former window */
};

void RsClockOffset_Record(struct rs_clock_offset *offset, int64_t sent_at_ms,
                          int64_t server_ms, int64_t now_ms);
int64_t RsClockOffset_EarliestMs(const struct rs_clock_offset *offset,
                                 int64_t server_ms);

#endif
