/* The request rate that a target accepts from all nodes together, as the
 * target states it in its responses, and this node's part of it. No I/O.
 *
 * Load pattern: many nodes ask for one target at once, at a rate far above its
 * limit. A few nodes, the senders, divide the limit among themselves without
 * messages; each sends at a fixed interval. */

#ifndef RATTANSHED_ROUTER_LIMIT_H
#define RATTANSHED_ROUTER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct rs_limit {
    double per_s; /* requests a second; 0: no limit */
    /* When a response stated `per_s`, or that there is no limit; 0: never. */
    int64_t stated_at_ms;
    int64_t limited_since_ms; /* when this node learned of the limit */
    int64_t next_send_at_ms;  /* interval since this node's last request */
};

/* A node among all nodes that may send to a target. */
struct rs_limit_place {
    uint32_t number; /* from 0; differs between targets */
    uint32_t nodes;  /* 0: the place is not known */
};

#define RsLimit_NEVER INT64_MAX
#define RsLimit_NONE (-1.0) /* instead of requests a second: no limit */

bool RsLimit_Record(struct rs_limit *limit, double per_s, int64_t stated_at_ms,
                    int64_t now_ms);
int64_t RsLimit_OpenAtMs(const struct rs_limit *limit,
                         const struct rs_limit_place *place);
bool RsLimit_IsUnconfirmed(const struct rs_limit *limit, int64_t now_ms);
void RsLimit_RecordSend(struct rs_limit *limit,
                        const struct rs_limit_place *place, int64_t now_ms);

#endif
