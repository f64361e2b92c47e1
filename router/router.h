/* The state that all requests of a node share. */

#ifndef RATTANSHED_ROUTER_ROUTER_H
#define RATTANSHED_ROUTER_ROUTER_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "core/counter.h"
#include "platform/routing.h"
#include "router/fleet.h"
#include "router/keymap.h"
#include "router/load.h"
#include "settings/node.h"

/* Until the granter says how many route requests: more than the first
 * deployments have, so that shares of bounds are on the safe side. */
#define RsRouter_ASSUMED_NODES 12

struct rs_router_counters {
    struct rs_counter requests;
    struct rs_counter answered;
    struct rs_counter refused;   /* not run, come back */
    struct rs_counter failed;    /* may have run */
    struct rs_counter rejected;  /* 4xx of our own */
    struct rs_counter abandoned; /* the caller left */
    struct rs_counter attempts;
    struct rs_counter repeats;
    struct rs_histogram latency_us;
    struct rs_histogram attempt_us;
};

/* Who has which keys, as this node last read it. */
struct rs_router_keys {
    struct rs_keymap *map;
    uint64_t version; /* of its row */
};

/* What this node saw of a service. */
struct rs_router_service {
    struct rs_load_budget budget;
    double answer_bytes; /* moving average */
};

struct rs_router {
    uv_loop_t *loop;
    const struct rs_node_settings *settings;
    const char *zone;          /* of this node; interned */
    struct rs_routing *config; /* NULL until one is known */
    struct rs_fleet fleet;
    GHashTable *keys;      /* service to struct rs_router_keys */
    GHashTable *services;  /* name to struct rs_router_service */
    GHashTable *used_keys; /* service to GArray of uint32_t, since the last
                              report */
    struct rs_load_share share;
    GRand *random;
    GQueue active;  /* all requests without a final answer */
    GQueue waiting; /* those that wait for a target to have room */
    bool draining;
    struct rs_router_counters counters;
};

void RsRouter_Init(struct rs_router *router, uv_loop_t *loop,
                   const struct rs_node_settings *settings);
struct rs_router_service *RsRouter_Service(struct rs_router *router,
                                           const char *service);
struct rs_load_budget *RsRouter_Budget(struct rs_router *router,
                                       const char *service);
const struct rs_router_keys *RsRouter_Keys(const struct rs_router *router,
                                           const char *service);
void RsRouter_SetKeys(struct rs_router *router, struct rs_keymap *map,
                      uint64_t version);
void RsRouter_NoteAnswer(struct rs_router *router, const char *service,
                         uint64_t size_bytes);
void RsRouter_CountKey(struct rs_router *router, const char *service,
                       uint32_t key);

/* Requests: see router/request.c. */
void RsRequest_Begin(void *router, h2o_req_t *http);
void RsRequest_PumpWaiting(struct rs_router *router, int64_t now_ms);
void RsRequest_Tick(struct rs_router *router, int64_t now_ms);
void RsRequest_WatchCallers(struct rs_router *router);

#endif
