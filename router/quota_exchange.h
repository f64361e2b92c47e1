/* Connects the quotas of workspaces (router/quota.h, router/quota_ledger.h) to
 * the node: requests for tokens go to the granter over the UDP socket of
 * router/reports.c, or to this node's ledger if it is the granter itself.
 *
 * There is one ledger, that of the granter. To shard it by workspace, keep an
 * account for each node that holds a part: find_ledger() in the source decides
 * the address. */

#ifndef RATTANSHED_ROUTER_QUOTA_EXCHANGE_H
#define RATTANSHED_ROUTER_QUOTA_EXCHANGE_H

#include <netinet/in.h>
#include <protobuf-c/protobuf-c.h>
#include <uv.h>

#include "core/counter.h"
#include "router/granter.h"
#include "router/quota_ledger.h"

struct rs_router;
struct rs_quota_exchange;

struct rs_quota_exchange_options {
    struct rs_router *router;
    const struct rs_granter *granter;
    uint64_t incarnation; /* of this process */
    /* Sends a datagram from the peer port. */
    void (*send)(void *arg, const struct sockaddr *address,
                 const ProtobufCMessage *message);
    void *arg;
};

struct rs_quota_counters {
    struct rs_counter over;     /* refused: the workspace is over its quota */
    struct rs_counter unknown;  /* refused: no granter answered */
    struct rs_counter waited;   /* requests that waited for a token */
    struct rs_counter returned; /* tokens of requests that did not run */
    struct rs_counter asked;    /* requests to the ledger */
    struct rs_counter answered; /* requests that this node's ledger answered */
    struct rs_counter granted;  /* tokens by these answers */
};

struct rs_quota_exchange *
RsQuotaExchange_New(const struct rs_quota_exchange_options *options);
void RsQuotaExchange_SetConfig(struct rs_quota_exchange *exchange,
                               struct rs_routing *config, int64_t now_ms);
bool RsQuotaExchange_HandleDatagram(struct rs_quota_exchange *exchange,
                                    const uint8_t *data, size_t size_bytes,
                                    const struct sockaddr *from,
                                    int64_t now_ms);
void RsQuotaExchange_Tick(struct rs_quota_exchange *exchange, int64_t now_ms);

/* Requests of callers. `exchange` may be NULL: then there are no quotas. */
enum rs_quota_verdict
RsQuotaExchange_Take(struct rs_quota_exchange *exchange,
                     const struct rs_workspace *workspace,
                     struct rs_quota_claim *claim, int64_t now_ms);
int64_t RsQuotaExchange_Refuse(struct rs_quota_exchange *exchange,
                               const struct rs_workspace *workspace,
                               bool is_over, int64_t deadline_ms,
                               int64_t now_ms);
void RsQuotaExchange_End(struct rs_quota_exchange *exchange,
                         struct rs_quota_claim *claim, bool not_run,
                         int64_t now_ms);
const struct rs_quota_counters *
RsQuotaExchange_Counters(const struct rs_quota_exchange *exchange);

#endif
