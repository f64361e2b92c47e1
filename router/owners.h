/* Plans who should own the keys of each service, by what targets can run and
 * what is asked for, and notes which targets are asked for too much. The
 * granter's; no I/O. */

#ifndef RATTANSHED_ROUTER_OWNERS_H
#define RATTANSHED_ROUTER_OWNERS_H

#include "router/granter.h"
#include "router/reports.h"
#include "router/router.h"

void RsOwners_Plan(struct rs_router *router, struct rs_granter *granter,
                   struct rs_reports *reports, int64_t now_ms);

#endif
