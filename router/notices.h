/* What targets say of themselves in their responses, besides their load: that
 * they are leaving, or want no requests from this node for some time. */

#ifndef RATTANSHED_ROUTER_NOTICES_H
#define RATTANSHED_ROUTER_NOTICES_H

#include "core/counter.h"
#include "http/connection.h"
#include "router/fleet.h"

struct rs_notice_counters {
    struct rs_counter leaving;   /* processes that said they are leaving */
    struct rs_counter closed;    /* refusals with a time to come back */
    struct rs_counter malformed; /* such times that could not be used */
};

bool RsNotices_Read(struct rs_notice_counters *counters,
                    struct rs_fleet_target *target, int64_t started_wall_ms,
                    const struct rs_http_head *head, int64_t now_ms);

#endif
