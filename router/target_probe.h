/* Probes targets that count as unreachable: asks for their health path on the
 * same ways as orders take. */

#ifndef RATTANSHED_ROUTER_TARGET_PROBE_H
#define RATTANSHED_ROUTER_TARGET_PROBE_H

#include "router/router.h"

bool RsTargetProbe_RecordAnswer(struct rs_fleet_target *target, int status,
                                int64_t now_ms);
void RsTargetProbe_StartDue(struct rs_router *router, int64_t now_ms);

#endif
