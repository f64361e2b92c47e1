/* Simulates nodes with accounts of quotas, the granter's ledger, and a network
 * that loses, delays and cuts. Counts the requests that arrive at targets and
 * checks the operator's bound in every window.
 *
 * At any time at most one node is the granter, as the lease ensures. All other
 * knowledge of it may be old. */

#ifndef RATTANSHED_ROUTER_QUOTA_FIXTURE_H
#define RATTANSHED_ROUTER_QUOTA_FIXTURE_H

#include "router/quota_ledger.h"

#define RsQuotaFixture_NODES 12
#define RsQuotaFixture_DOMAINS 3
#define RsQuotaFixture_WORKSPACES 4

enum rs_quota_fault {
    RsQuotaFault_CUT,     /* a failure domain from the others */
    RsQuotaFault_ONE_WAY, /* a domain still reaches the others */
    RsQuotaFault_FREEZE,
    RsQuotaFault_RESTART,
    RsQuotaFault_RESTART_ALL,
    RsQuotaFault_GRANTER, /* another node becomes the granter */
    RsQuotaFault_LOSSES,
    RsQuotaFault_SLOW, /* datagrams take up to 600 ms */
    RsQuotaFault_COUNT,
};

/* Who sends requests of a workspace. */
enum rs_quota_load {
    RsQuotaLoad_USUAL,  /* per_s / 1.6, at three nodes */
    RsQuotaLoad_GREEDY, /* per_s x 5, at all nodes */
    RsQuotaLoad_ONE,    /* per_s x 3, at one node */
    RsQuotaLoad_DOMAIN, /* per_s x 3, at the nodes of one domain */
    RsQuotaLoad_NONE,
    RsQuotaLoad_COUNT,
};

/* Faults of the implementation that the check must find. */
enum rs_quota_break {
    RsQuotaBreak_NONE,
    RsQuotaBreak_NO_RESERVE, /* a new granter knows of no other nodes */
    /* The same, and a former granter keeps granting to half of the nodes. */
    RsQuotaBreak_TWO_GRANTERS,
    RsQuotaBreak_LATE_TOKENS, /* tokens are spent up to 4 s late, together */
};

struct rs_quota_simulation;

struct rs_quota_simulation *RsQuotaFixture_New(uint32_t seed,
                                               enum rs_quota_break fault);
void RsQuotaFixture_Free(struct rs_quota_simulation *sim);
void RsQuotaFixture_SetLoad(struct rs_quota_simulation *sim,
                            uint32_t workspace, enum rs_quota_load load,
                            uint32_t place);
void RsQuotaFixture_SetLimit(struct rs_quota_simulation *sim,
                             uint32_t workspace, double per_s);
void RsQuotaFixture_InjectFault(struct rs_quota_simulation *sim,
                                enum rs_quota_fault fault, uint32_t place,
                                int64_t span_ms);
void RsQuotaFixture_Advance(struct rs_quota_simulation *sim, int64_t span_ms);
const char *RsQuotaFixture_Violation(const struct rs_quota_simulation *sim);

/* Results, since the last call of RsQuotaFixture_ResetCounts(). */
struct rs_quota_counts {
    uint64_t offered;
    uint64_t sent;
    uint64_t refused;
    uint64_t came_back;   /* at the time they were told */
    uint64_t back_served; /* of these */
};

void RsQuotaFixture_ResetCounts(struct rs_quota_simulation *sim);
const struct rs_quota_counts *
RsQuotaFixture_Counts(const struct rs_quota_simulation *sim,
                      uint32_t workspace);
double RsQuotaFixture_MostOfBound(const struct rs_quota_simulation *sim,
                                  uint32_t workspace);
uint64_t RsQuotaFixture_Messages(const struct rs_quota_simulation *sim);

#endif
