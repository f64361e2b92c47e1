/* Admission control for owners of keys that are asked for more than they can
 * run: which requests are admitted, and until when an admitted one may wait.
 * No I/O. */

#ifndef RATTANSHED_ROUTER_OVERLOAD_H
#define RATTANSHED_ROUTER_OVERLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "router/fleet.h"

/* Ranks from this one on are treated alike. */
#define RsOverload_RANKS 8

/* How the requests of this node to one service are divided among the ranks.
 */
struct rs_overload_mix {
    double counts[RsOverload_RANKS]; /* decaying; see RsOverload_Count() */
    int64_t counted_at_ms;
};

/* What is known of a request when it is decided on. */
struct rs_overload_request {
    uint32_t rank;
    int64_t arrived_at_ms;
    int64_t admitted_at_ms;
    int64_t latency_target_ms;
    int64_t wait_until_ms;
};

bool RsOverload_IsOverloaded(const struct rs_fleet_target *target,
                             int64_t now_ms);
void RsOverload_Count(struct rs_overload_mix *mix, uint32_t rank,
                      int64_t now_ms);
double RsOverload_ShareOfRank(const struct rs_overload_mix *mix, uint32_t rank,
                              double share);
bool RsOverload_Admit(struct rs_fleet_target *target,
                      const struct rs_overload_mix *mix, uint32_t rank,
                      GRand *random, int64_t now_ms);
bool RsOverload_HasRoom(const struct rs_fleet_target *target,
                        const struct rs_overload_mix *mix,
                        const struct rs_overload_request *request,
                        int64_t now_ms);
int64_t RsOverload_WaitUntilMs(const struct rs_fleet_target *target,
                               const struct rs_overload_request *request,
                               int64_t now_ms);
bool RsOverload_IsTooLate(const struct rs_fleet_target *target,
                          int64_t deadline_ms, int64_t now_ms);

#endif
