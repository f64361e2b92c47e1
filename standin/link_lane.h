/* Forwards the TCP connections of one route, each way with a delay. A lane
 * that is cut is silent: its connections stay open, and nothing passes. */

#ifndef RATTANSHED_STANDIN_LINK_LANE_H
#define RATTANSHED_STANDIN_LINK_LANE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "standin/link_route.h"

struct rs_link_lane;

struct rs_link_lane *RsLinkLane_New(const struct rs_link_route *route,
                                    uv_loop_t *loop);
int RsLinkLane_Listen(struct rs_link_lane *lane);
const struct rs_link_route *RsLinkLane_Route(const struct rs_link_lane *lane);
size_t RsLinkLane_CountTunnels(const struct rs_link_lane *lane);

void RsLinkLane_SetDelay(struct rs_link_lane *lane, int64_t common_delay_us);
void RsLinkLane_SetCut(struct rs_link_lane *lane, bool is_cut);
void RsLinkLane_SetOneWay(struct rs_link_lane *lane, bool answers_lost);
void RsLinkLane_Reset(struct rs_link_lane *lane);

#endif
