/* Whether a target answers the granter's orders. One that has not for some
 * time gets no keys, and so no orders that could show that it answers again;
 * it is probed instead. No I/O.
 *
 * Load pattern: targets that are cut off for seconds, several in turn. All of
 * them must get keys again. A target that answers probes but no orders must
 * not be given keys again and again. */

#ifndef RATTANSHED_ROUTER_REACHABILITY_H
#define RATTANSHED_ROUTER_REACHABILITY_H

#include <stdbool.h>
#include <stdint.h>

struct rs_reachability {
    /* The first failure since the last answer; 0: none. */
    int64_t failing_since_ms;
    int64_t next_probe_at_ms;
    int64_t restored_at_ms; /* when it was last reached again; 0: never */
    /* How often in a row it was reached again, each time for a short time. */
    uint32_t relapses;
};

/* Results of orders and probes. */
void RsReachability_RecordFailure(struct rs_reachability *reachability,
                                  int64_t now_ms);
bool RsReachability_RecordAnswer(struct rs_reachability *reachability,
                                 int64_t now_ms);

bool RsReachability_IsUnreachable(const struct rs_reachability *reachability,
                                  int64_t now_ms);
bool RsReachability_TakeProbe(struct rs_reachability *reachability,
                              int64_t now_ms);

#endif
