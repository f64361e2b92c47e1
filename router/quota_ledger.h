/* The granter's ledger of quotas: a token bucket for each workspace with a
 * limit, from which nodes borrow tokens (router/quota.h). No I/O, no clock.
 *
 * A node that loses the granter uses the own rates that the ledger stated. The
 * ledger reserves these rates for nodes that it doesn't hear from, and refills
 * the buckets with the rest. A new granter starts with empty buckets, because
 * the former one may have granted everything. */

#ifndef RATTANSHED_ROUTER_QUOTA_LEDGER_H
#define RATTANSHED_ROUTER_QUOTA_LEDGER_H

#include "router/quota.h"

struct rs_quota_ledger;

/* The sender of a request. */
struct rs_quota_sender {
    const char *node;
    uint64_t incarnation; /* of its process; not 0 */
};

struct rs_quota_ledger *
RsQuotaLedger_New(const struct rs_quota_bounds *bounds);
void RsQuotaLedger_Free(struct rs_quota_ledger *ledger);
void RsQuotaLedger_SetWorkspaces(struct rs_quota_ledger *ledger,
                                 const struct rs_workspace *workspaces,
                                 size_t count, int64_t now_ms);
void RsQuotaLedger_Start(struct rs_quota_ledger *ledger, uint32_t nodes,
                         int64_t now_ms);
bool RsQuotaLedger_Answer(struct rs_quota_ledger *ledger,
                          const struct rs_quota_sender *sender,
                          const struct rs_quota_request *request,
                          int64_t now_ms, struct rs_quota_grant *out);
void RsQuotaLedger_SetNodes(struct rs_quota_ledger *ledger, uint32_t nodes);
void RsQuotaLedger_Tick(struct rs_quota_ledger *ledger, int64_t now_ms);
double RsQuotaLedger_ReservedPerS(const struct rs_quota_ledger *ledger,
                                  const char *workspace, int64_t now_ms);
size_t RsQuotaLedger_BucketCount(const struct rs_quota_ledger *ledger);

#endif
