/* Metrics and state of a node, as served on its admin port. */

#ifndef RATTANSHED_ROUTER_METRICS_H
#define RATTANSHED_ROUTER_METRICS_H

#include "http/server.h"
#include "platform/store.h"
#include "router/granter.h"
#include "router/orders.h"
#include "router/router.h"
#include "router/tunnel.h"

struct rs_metrics_sources {
    const struct rs_router *router;
    const struct rs_store_counters *store_counters;
    const struct rs_orders *orders;
    const struct rs_granter *granter;
    const struct rs_tunnel_counters *tunnels;
    const struct rs_server_counters *callers;
};

void RsMetrics_Print(struct rs_text_buffer *text,
                     const struct rs_metrics_sources *sources);
void RsMetrics_PrintState(struct rs_text_buffer *text,
                          const struct rs_metrics_sources *sources);

#endif
