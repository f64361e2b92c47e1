/* Sends the granter's orders to targets. */

#ifndef RATTANSHED_ROUTER_ORDERS_H
#define RATTANSHED_ROUTER_ORDERS_H

#include "router/granter.h"
#include "router/router.h"

struct rs_orders {
    struct rs_router *router;
    struct rs_granter *granter;
    struct rs_counter sent;
    struct rs_counter failed;
};

void RsOrders_Send(struct rs_orders *orders, const struct rs_order *order);

#endif
