/* Finds out whether this node reaches targets directly. */

#ifndef RATTANSHED_ROUTER_PROBE_H
#define RATTANSHED_ROUTER_PROBE_H

#include "router/router.h"

void RsProbe_Start(struct rs_router *router);
void RsProbe_FindEnd(struct rs_router *router, struct rs_fleet_target *target);

#endif
