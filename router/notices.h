/* What targets say of themselves in their responses, besides their load: that
 * they are leaving, want no requests from this node for some time, or take
 * only so many requests a second from all nodes. */

#ifndef RATTANSHED_ROUTER_NOTICES_H
#define RATTANSHED_ROUTER_NOTICES_H

#include "core/counter.h"
#include "http/connection.h"
#include "router/fleet.h"

struct rs_notice_counters {
    struct rs_counter leaving;   /* processes that said they are leaving */
    struct rs_counter closed;    /* refusals with a time to come back */
    struct rs_counter malformed; /* such times that could not be used */
    struct rs_counter limited;   /* responses that stated a limit */
    struct rs_counter malformed_limits; /* limits that could not be used */
};

bool RsNotices_Read(struct rs_notice_counters *counters,
                    struct rs_fleet_target *target, int64_t started_wall_ms,
                    const struct rs_http_head *head, int64_t now_ms);

#endif
