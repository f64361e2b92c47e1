/* A TCP proxy for the connections of one route, with a delay in each
 * direction. While a proxy is cut, its connections stay open but no bytes
 * pass, as with a network that drops all packets. */

#ifndef RATTANSHED_STANDIN_LINK_PROXY_H
#define RATTANSHED_STANDIN_LINK_PROXY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "standin/link_route.h"

struct rs_link_proxy;

struct rs_link_proxy *RsLinkProxy_New(const struct rs_link_route *route,
                                      uv_loop_t *loop);
int RsLinkProxy_Listen(struct rs_link_proxy *proxy);
const struct rs_link_route *
RsLinkProxy_Route(const struct rs_link_proxy *proxy);
size_t RsLinkProxy_CountConnections(const struct rs_link_proxy *proxy);

void RsLinkProxy_SetDelay(struct rs_link_proxy *proxy,
                          int64_t common_delay_us);
void RsLinkProxy_SetCut(struct rs_link_proxy *proxy, bool is_cut);
void RsLinkProxy_SetNewCut(struct rs_link_proxy *proxy, bool cuts_new);
void RsLinkProxy_SetOneWayCut(struct rs_link_proxy *proxy, bool drops_answers);
void RsLinkProxy_SetHoldUp(struct rs_link_proxy *proxy, int64_t hold_up_us);
void RsLinkProxy_CloseConnections(struct rs_link_proxy *proxy);

#endif
