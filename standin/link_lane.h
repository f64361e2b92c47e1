/* A TCP proxy for the connections of one route, with a delay in each
 * direction. While a proxy is cut, its connections stay open but no bytes
 * pass, as with a network that drops all packets. */

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
int RsLinkLane_Listen(struct rs_link_lane *proxy);
const struct rs_link_route *RsLinkLane_Route(const struct rs_link_lane *proxy);
size_t RsLinkLane_CountTunnels(const struct rs_link_lane *proxy);

void RsLinkLane_SetDelay(struct rs_link_lane *proxy, int64_t common_delay_us);
void RsLinkLane_SetCut(struct rs_link_lane *proxy, bool is_cut);
void RsLinkLane_SetOneWay(struct rs_link_lane *proxy, bool drops_answers);
void RsLinkLane_Reset(struct rs_link_lane *proxy);

#endif
