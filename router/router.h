/* State shared by all requests that a router node handles: the configuration,
 * the known targets, the key ownership maps and the request queues. */

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
#include "router/hot_keys.h"
#include "router/keymap.h"
#include "router/load.h"
#include "router/notices.h"
#include "router/overload.h"
#include "router/paths.h"
#include "router/schedule.h"
#include "router/shutdown.h"
#include "router/suspects.h"
#include "router/workspaces.h"
#include "settings/node.h"

/* Number of router nodes assumed until the granter reports the real number or
 * the lease row holds a higher one. It is higher than the number of nodes in
 * the first deployments, so that the node's share of each global limit is too
 * small rather than too large. */
#define RsRouter_ASSUMED_NODES 12

struct rs_router_counters {
    struct rs_counter requests;
    struct rs_counter answered;
    struct rs_counter refused;   /* not executed; the caller may retry */
    struct rs_counter suspected; /* of these: suspected of crashing targets */
    struct rs_counter not_admitted; /* refused for their owners' overload */
    struct rs_counter placed;       /* admitted, as they came back in time */
    struct rs_counter hot_key;      /* of these: for a hot key, not admitted */
    struct rs_counter refused_again; /* refused, as a request like it before */
    struct rs_counter failed;        /* failed; may have been executed */
    struct rs_counter rejected;      /* 4xx responses made by the router */
    struct rs_counter abandoned;     /* the caller disconnected */
    struct rs_counter attempts;
    /* Retries and hedged attempts that the retry budget allowed. */
    struct rs_counter extra_attempts;
    struct rs_counter speed_changes; /* logged changes of targets' factors */
    struct rs_histogram latency_us;
    struct rs_histogram attempt_us;
};

/* The newest key ownership map of a service that this node knows. */
struct rs_router_keymap {
    struct rs_keymap *map;
    uint64_t version; /* of its row in the store */
};

struct rs_quota_exchange;

/* Per-service state of this node. */
struct rs_router_service {
    struct rs_load_retry_budget budget;
    struct rs_overload_mix mix;
    double answer_bytes; /* moving average of response body sizes */
    struct rs_concurrency_service concurrency;
};

struct rs_router {
    uv_loop_t *loop;
    const struct rs_node_settings *settings;
    const char *zone;          /* zone of this node; interned */
    struct rs_routing *config; /* NULL until the first one is known */
    struct rs_fleet fleet;
    GHashTable *keymaps; /* interned service name to struct rs_router_keymap */
    /* Interned service name to struct rs_router_service. */
    GHashTable *services;
    /* Interned service name to a GArray of uint32_t: the keys of the requests
     * since the last report, one entry per request. */
    GHashTable *requested_keys;
    struct rs_load_share share;
    GRand *random;
    GQueue active; /* unfinished requests */
    /* Unfinished requests that wait for target capacity or for a handover of
     * their key. */
    struct rs_schedule schedule;
    struct rs_paths paths;
    struct rs_shutdown shutdown;
    struct rs_notice_counters notices;
    struct rs_suspects suspects;
    struct rs_workspaces workspaces;
    struct rs_quota_exchange *quotas; /* NULL until the node has opened it */
    struct rs_hot_keys hot_keys; /* planned on the granter, else as stated */
    struct rs_overload_places places;
    bool has_news; /* the granter is to be sent a report at once */
    struct rs_router_counters counters;
};

void RsRouter_Init(struct rs_router *router, uv_loop_t *loop,
                   const struct rs_node_settings *settings);
void RsRouter_SetConfig(struct rs_router *router, struct rs_routing *config);
uint32_t RsRouter_TunnelPort(const struct rs_router *router);
struct rs_router_service *RsRouter_GetOrCreateService(struct rs_router *router,
                                                      const char *service);
struct rs_load_retry_budget *RsRouter_RetryBudget(struct rs_router *router,
                                                  const char *service);
const struct rs_router_keymap *
RsRouter_FindKeymap(const struct rs_router *router, const char *service);
void RsRouter_SetKeymap(struct rs_router *router, struct rs_keymap *map,
                        uint64_t version);
void RsRouter_RecordAnswerSize(struct rs_router *router, const char *service,
                               uint64_t size_bytes);
double RsRouter_MeanWorkMs(struct rs_router *router, const char *service,
                           const char *route);
void RsRouter_RecordWork(struct rs_router *router,
                         struct rs_fleet_target *target, const char *route,
                         const struct rs_concurrency_sample *sample,
                         int64_t now_ms);
void RsRouter_RecordOverdueWork(struct rs_router *router,
                                struct rs_fleet_target *target,
                                const char *route,
                                const struct rs_concurrency_sample *sample);
void RsRouter_RefreshConcurrency(struct rs_router *router, int64_t now_ms);
void RsRouter_RecordKeyUse(struct rs_router *router, const char *service,
                           uint32_t key);

/* Implemented in router/request.c. */
void RsRequest_Begin(void *router, h2o_req_t *http);
void RsRequest_RecordOverdue(struct rs_router *router, int64_t now_ms);
void RsRequest_RetryWaiting(struct rs_router *router, int64_t now_ms);
void RsRequest_Tick(struct rs_router *router, int64_t now_ms);
void RsRequest_EndAbandoned(struct rs_router *router);
void RsRequest_AnswerAll(struct rs_router *router);

#endif
