/* One request to a target and its answer, on a connection that is kept for
 * the next. */

#ifndef RATTANSHED_ROUTER_EXCHANGE_H
#define RATTANSHED_ROUTER_EXCHANGE_H

#include <uv.h>

#include "http/connection.h"
#include "router/fleet.h"

enum rs_exchange_error {
    RsExchange_NOT_SENT = RsError_DISPATCH - 60, /* no connection to be had */
    RsExchange_BROKEN = RsError_DISPATCH - 61,   /* sent; no whole answer */
};

/* `done` comes exactly once, with 0 for a whole answer, unless the exchange
 * is cancelled before. */
struct rs_exchange_events {
    void (*head)(void *arg, const struct rs_http_head *head);
    void (*body)(void *arg, const char *data, size_t size_bytes);
    void (*done)(void *arg, int error);
};

struct rs_exchange_options {
    uv_loop_t *loop;
    struct rs_fleet_target *target;
    uint32_t max_connections;              /* of this node to the target */
    const struct rs_http_request *request; /* lives until it is sent */
    const struct rs_exchange_events *events;
    void *arg;
};

struct rs_exchange;

struct rs_exchange *
RsExchange_Start(const struct rs_exchange_options *options);
void RsExchange_SkipAnswer(struct rs_exchange *exchange);
void RsExchange_Pause(struct rs_exchange *exchange);
void RsExchange_Resume(struct rs_exchange *exchange);
void RsExchange_Cancel(struct rs_exchange *exchange);
bool RsExchange_IsSent(const struct rs_exchange *exchange);
void RsExchange_CloseIdle(struct rs_fleet_target *target);

#endif
