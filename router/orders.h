/* Sends the granter's orders, which are grants and releases of keys, to
 * targets. */

#ifndef RATTANSHED_ROUTER_ORDERS_H
#define RATTANSHED_ROUTER_ORDERS_H

#include "router/granter.h"
#include "router/router.h"

/* Orders to one target are queued and only a few are in progress at a time, so
 * that they don't use up the connections that requests need. */
struct rs_orders {
    GHashTable *queues; /* target id to struct queue, see router/orders.c */
    struct rs_router *router;
    struct rs_granter *granter;
    struct rs_counter sent; /* orders given to RsOrders_Send() */
    struct rs_counter
        failed; /* orders that were not sent or got no response */
    /* Renewals that were not sent, see RsGranter_NO_CONNECTION. */
    struct rs_counter without_connection;
};

void RsOrders_Init(struct rs_orders *orders, struct rs_router *router,
                   struct rs_granter *granter);
void RsOrders_Send(struct rs_orders *orders, const struct rs_order *order);

#endif
