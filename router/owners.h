/* Assigns the keys of each sharded service to targets, by the capacity of the
 * targets and the request rate of the keys, and records which targets are
 * overloaded. Runs on the granter. No I/O. */

#ifndef RATTANSHED_ROUTER_OWNERS_H
#define RATTANSHED_ROUTER_OWNERS_H

#include "router/granter.h"
#include "router/reports.h"
#include "router/router.h"

double RsOwners_LatencyTargetMs(const struct rs_routing *config,
                                const char *service);
void RsOwners_Plan(struct rs_router *router, struct rs_granter *granter,
                   struct rs_reports *reports, int64_t now_ms);

#endif
