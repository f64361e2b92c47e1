/* Load balancing decisions without I/O: the expected latency of a target,
 * whether it has room, which target to choose, and when a rejected caller
 * should retry. */

#ifndef RATTANSHED_ROUTER_LOAD_H
#define RATTANSHED_ROUTER_LOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "router/fleet.h"

/* Position of this node among all nodes. It determines the node's share of
 * bounds that apply to all nodes together. */
struct rs_load_share {
    uint32_t nodes;      /* number of nodes that route requests; at least 1 */
    uint32_t zone_nodes; /* nodes in the zone of this node; 0: unknown */
    uint32_t zone_rank;
    /* Place of this node in an order without gaps, which stays the same while
     * a new granter collects reports. `ranked` is the number of nodes in that
     * order, 0 if it is not known; `nodes` also counts nodes that may exist.
     */
    uint32_t stable_rank;
    uint32_t ranked;
    /* Since when this node has had its place among the senders to cold
     * targets; 0: always. */
    int64_t place_since_ms;
};

struct rs_load_bounds {
    double cold_factor; /* see settings/node.h */
    double cold_slack;
};

/* Inputs for choosing among the targets of one service. */
struct rs_load_choice_input {
    const struct rs_fleet *fleet;
    const char *service;
    const char *zone;    /* of this node */
    double answer_bytes; /* average body size of the service's answers */
    double cold_per_s;   /* see struct rs_service */
    /* Of the request. Set only if the room of a target follows from its
     * learned speed, see router/concurrency.h; 0: from constants. */
    double latency_target_ms;
    double work_ms; /* at a target of factor 1; 0: as the service's mean */
    struct rs_load_bounds bounds;
    struct rs_load_share share;
    const char *const *excluded; /* interned ids of targets not to choose */
    size_t excluded_count;
    GRand *random;
};

enum rs_load_verdict {
    RsLoad_SEND,
    RsLoad_FULL, /* some targets take work, but none can get a request now */
    /* Targets take work, but not from this node for now; see
     * RsLoad_OpenAtMs(). */
    RsLoad_CLOSED,
    RsLoad_NONE, /* no target takes work, or all are excluded or avoided */
};

void RsLoad_UpdateShare(struct rs_load_share *share,
                        const struct rs_load_share *update, int64_t now_ms);
double RsLoad_CountOutstanding(const struct rs_fleet_target *target,
                               int64_t now_ms);
double RsLoad_ServiceMs(const struct rs_fleet_target *target);
double RsLoad_CapacityPerS(const struct rs_fleet_target *target,
                           double latency_target_ms);
double RsLoad_ExpectedLatencyMs(const struct rs_fleet_target *target,
                                int64_t now_ms);
double RsLoad_ConcurrencyLimit(const struct rs_fleet_target *target,
                               double work_ms, double latency_target_ms);
bool RsLoad_HasRoom(const struct rs_fleet_target *target,
                    const struct rs_load_choice_input *input, int64_t now_ms);
void RsLoad_RecordReset(struct rs_fleet_target *target, int64_t now_ms);
bool RsLoad_MaySendToCold(const struct rs_fleet_target *target,
                          const struct rs_load_choice_input *input,
                          int64_t now_ms);
int64_t RsLoad_OpenAtMs(const struct rs_fleet_target *target,
                        const struct rs_load_choice_input *input);
void RsLoad_RecordSend(struct rs_fleet_target *target,
                       const struct rs_load_choice_input *input,
                       int64_t now_ms);
enum rs_load_verdict RsLoad_Choose(const struct rs_load_choice_input *input,
                                   int64_t now_ms,
                                   struct rs_fleet_target **chosen);
uint32_t RsLoad_RetryAfterMs(int64_t time_left_ms, GRand *random);
uint32_t RsLoad_RetryAtMs(int64_t retry_at_ms, int64_t now_ms, GRand *random);

/* Limits the retries of requests to one service. All nodes share the
 * budget. */
#define RsLoad_BUDGET_SLOTS 16 /* seconds of history */

struct rs_load_retry_budget {
    double ratio; /* retries per request within the window */
    double slack; /* retries beyond the ratio, of all nodes together */
    uint32_t window_s;
    int64_t second; /* time of the newest slot, in seconds */
    uint32_t requests[RsLoad_BUDGET_SLOTS];
    uint32_t retries[RsLoad_BUDGET_SLOTS];
};

void RsLoad_CountRequest(struct rs_load_retry_budget *budget, int64_t now_ms);
bool RsLoad_MayStartAttempt(uint32_t max_attempts, uint32_t ended,
                            uint32_t active);
bool RsLoad_TakeRetry(struct rs_load_retry_budget *budget, uint32_t nodes,
                      int64_t now_ms);

#endif
