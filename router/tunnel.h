/* Lets other nodes reach targets through this node: a server that answers the
 * HTTP method CONNECT and then passes bytes on in both directions. */

#ifndef RATTANSHED_ROUTER_TUNNEL_H
#define RATTANSHED_ROUTER_TUNNEL_H

#include "core/counter.h"
#include "router/router.h"

struct rs_tunnel_counters {
    struct rs_counter opened;
    struct rs_counter refused; /* this node could not help */
    struct rs_counter failed;  /* the target could not be reached */
};

struct rs_tunnel_server;

struct rs_tunnel_server *RsTunnel_Open(struct rs_router *router);
const struct rs_tunnel_counters *
RsTunnel_Counters(const struct rs_tunnel_server *server);
uint32_t RsTunnel_Count(const struct rs_tunnel_server *server);

#endif
