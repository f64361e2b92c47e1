/* The request rate that a target accepts from all nodes together, as the
 * target states it in its responses. No I/O. */

#ifndef RATTANSHED_ROUTER_LIMIT_H
#define RATTANSHED_ROUTER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct rs_limit {
    double per_s; /* requests a second; 0: no limit */
    /* When a response stated `per_s`, or that there is no limit; 0: never. */
    int64_t stated_at_ms;
};

bool RsLimit_Record(struct rs_limit *limit, double per_s,
                    int64_t stated_at_ms);

#endif
