/* A node's account of the requests that it may send for workspaces with a
 * quota. The quota holds for all nodes together: the granter keeps a token
 * bucket for each workspace (router/quota_ledger.h), and nodes borrow tokens
 * in small batches and spend one for each request. No I/O, no clock.
 *
 * Load pattern: most workspaces have a few requests a second at two or three
 * nodes; a few send many times their usual rate from one second to the next,
 * through all nodes.
 *
 * The bound: in any window, the requests of a workspace that arrive at targets
 * are at most (per_s x window + burst) x (1 + overage) + slack, also while
 * nodes can't reach each other. docs/design/quota.md has the arithmetic. */

#ifndef RATTANSHED_ROUTER_QUOTA_H
#define RATTANSHED_ROUTER_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform/routing.h"

/* A token is valid for this long from when the node asked for it. Tokens that
 * were granted before a window can be spent in it, which takes 0.4 of the 0.5
 * seconds' worth of requests that an overage of 0.1 in 5 s allows. The rest is
 * for the time between spending a token and the arrival at the target. */
#define RsQuota_TOKEN_MS 400
#define RsQuota_ARRIVAL_MS 100
/* A request waits for a token for at most this long, while the granter
 * answers.
 */
#define RsQuota_WAIT_MS 150
/* While the granter does not answer, it waits for longer: the time until the
 * node counts as lost is over then, and tokens of a small own rate come less
 * often than others. */
#define RsQuota_SILENT_WAIT_MS 500
/* A node without an answer for this long, counted from the sending of the last
 * request that was answered, uses its own rates. */
#define RsQuota_LOST_MS 700
/* An answer that took longer doesn't count as one for RsQuota_LOST_MS. The
 * ledger takes a node for lost RsQuota_MAX_RTT_MS earlier than the node itself
 * does, so that the rate is reserved before it is used. */
#define RsQuota_MAX_RTT_MS 200
/* A lost node uses its own rate for this long. After that it uses at most the
 * rate divided by the number of nodes, which a granter that never heard of the
 * node reserves for it. */
#define RsQuota_FULL_RATE_MS 10000
/* A node that has had no request of a workspace for this long gives up its own
 * rate. */
#define RsQuota_IDLE_MS 10000
/* Time constant of the moving averages that become the nodes' own rates. */
#define RsQuota_RATE_WINDOW_MS 3000.0
/* Longest line of refused callers. Few callers come back after so long. */
#define RsQuota_MAX_DEBT_MS 60000
/* Callers honour Retry-After up to this part of the time they have left. Those
 * that are told a later time get no place in the line. */
#define RsQuota_PATIENCE_DIVISOR 3

/* The operator's bound, see settings/node.h. */
struct rs_quota_bounds {
    uint32_t window_s;
    double overage;
    uint32_t slack;
};

/* Messages between a node and the ledger, see router/peer.proto. */

struct rs_quota_need {
    const char *workspace; /* interned */
    uint32_t wanted;
    uint32_t refused; /* callers told to come back since the last request */
    double own_rate;  /* that the node would use without the ledger */
};

struct rs_quota_request {
    uint64_t sequence;
    uint64_t answered; /* the last request with a timely answer; 0: none */
    GArray *needs;     /* struct rs_quota_need */
};

struct rs_quota_item {
    const char *workspace; /* interned */
    uint32_t tokens;
    double own_rate;
    uint32_t debt_ms; /* refused callers have places up to then */
};

struct rs_quota_grant {
    uint64_t sequence; /* of the request */
    GArray *items;     /* struct rs_quota_item */
};

enum rs_quota_verdict {
    RsQuota_TAKEN,   /* the request may be sent */
    RsQuota_WAITING, /* try again when tokens arrive */
    RsQuota_OVER,    /* the workspace is over its quota */
    RsQuota_UNKNOWN, /* no granter answers, and the own rate is used up */
};

/* A request's part in the account; zero it before the first use. */
struct rs_quota_claim {
    const char *workspace; /* interned; NULL: not used yet */
    bool waiting;
    int64_t wait_until_ms;
    int64_t token_until_ms; /* of the token that it took; 0: none */
};

struct rs_quota;

struct rs_quota *RsQuota_New(const struct rs_quota_bounds *bounds,
                             uint32_t seed);
void RsQuota_Free(struct rs_quota *quota);
void RsQuota_SetWorkspaces(struct rs_quota *quota,
                           const struct rs_workspace *workspaces, size_t count,
                           int64_t now_ms);
void RsQuota_SetNodes(struct rs_quota *quota, uint32_t nodes);
void RsQuota_SetLedger(struct rs_quota *quota, uint64_t incarnation);

/* Requests of callers. */
enum rs_quota_verdict RsQuota_Take(struct rs_quota *quota,
                                   const struct rs_workspace *workspace,
                                   struct rs_quota_claim *claim,
                                   int64_t now_ms);
void RsQuota_StopWaiting(struct rs_quota *quota, struct rs_quota_claim *claim);
void RsQuota_Return(struct rs_quota *quota, struct rs_quota_claim *claim,
                    int64_t now_ms);
int64_t RsQuota_ComeBackAtMs(struct rs_quota *quota,
                             const struct rs_workspace *workspace,
                             int64_t deadline_ms, int64_t now_ms);

/* Messages. */
bool RsQuota_MakeRequest(struct rs_quota *quota, int64_t now_ms,
                         struct rs_quota_request *out);
bool RsQuota_ApplyGrant(struct rs_quota *quota,
                        const struct rs_quota_grant *grant, int64_t now_ms);
bool RsQuota_HasOwnRates(const struct rs_quota *quota);
bool RsQuota_IsLost(const struct rs_quota *quota, int64_t now_ms);

#endif
