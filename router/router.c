#include "router/router.h"

#include "core/clock.h"
#include "core/log.h"

/* Weight of a new sample in the moving average, which covers about the last 20
 * samples. */
#define ANSWER_BYTES_WEIGHT 0.1
/* Maximum number of keys recorded per service for one report. One node can't
 * serve more requests than this in a report interval. */
#define MAX_REQUESTED_KEYS 4000

static void
free_keymap(gpointer data)
{
    struct rs_router_keymap *keys = data;
    RsKeymap_Free(keys->map);
    g_free(keys);
}

static void
free_service(gpointer data)
{
    struct rs_router_service *service = data;
    RsConcurrency_ClearService(&service->concurrency);
    g_free(service);
}

static void
free_array(gpointer data)
{
    g_array_unref(data);
}

/* Initializes a router without configuration. The caller initializes
 * `router->fleet`. `settings` must outlive the router. */
void
RsRouter_Init(struct rs_router *router, uv_loop_t *loop,
              const struct rs_node_settings *settings)
{
    *router = (struct rs_router){
        .loop = loop,
        .settings = settings,
        .zone = g_intern_string(settings->node.zone),
        .share = {.nodes = RsRouter_ASSUMED_NODES,
                  .place_since_ms = RsClock_NowMs()},
        .random = g_rand_new(),
    };
    router->paths = (struct rs_paths){
        .fleet = &router->fleet,
        .own_address = inet_addr(settings->node.address),
        .random = router->random,
    };
    router->keymaps = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                            NULL, free_keymap);
    router->services = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                             NULL, free_service);
    router->requested_keys =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_array);
    RsSuspects_Init(&router->suspects);
    RsWorkspaces_Init(&router->workspaces, settings->bounds.strict_revoke,
                      settings->bounds.revoke_ms);
    RsOverload_InitPlaces(&router->places);
    g_queue_init(&router->active);
    RsSchedule_Init(&router->schedule);
}

/* Puts a configuration in force, and takes ownership of it. Its API keys are
 * held as digests only. */
void
RsRouter_SetConfig(struct rs_router *router, struct rs_routing *config)
{
    RsWorkspaces_SetConfig(&router->workspaces, config);
    RsRouting_DropApiKeys(config);
    RsRouting_Release(router->config);
    router->config = config;
    const char **services = g_new0(const char *, config->service_count + 1);
    for (size_t i = 0; i < config->service_count; i++) {
        services[i] = config->services[i].name;
    }
    RsFleet_SetServices(&router->fleet, services, config->service_count);
    g_free(services);
}

/* Returns the port on which each node opens tunnels, see router/tunnel.h. */
uint32_t
RsRouter_TunnelPort(const struct rs_router *router)
{
    return router->settings->listen.peer_port + 1;
}

/* Returns the state of a service, creating it with the configured retry budget
 * when needed. `name` must be interned; the router owns the result. */
struct rs_router_service *
RsRouter_GetOrCreateService(struct rs_router *router, const char *name)
{
    struct rs_router_service *service =
        g_hash_table_lookup(router->services, name);
    if (service == NULL) {
        const struct rs_node_bounds *bounds = &router->settings->bounds;
        service = g_new0(struct rs_router_service, 1);
        service->budget.ratio = bounds->retry_ratio;
        service->budget.slack = bounds->retry_slack;
        service->budget.window_s = bounds->retry_window_s;
        RsConcurrency_InitService(&service->concurrency);
        g_hash_table_insert(router->services, (gpointer)name, service);
    }
    return service;
}

/* Returns the retry budget of a service. `service` must be interned; the
 * router owns the result. */
struct rs_load_retry_budget *
RsRouter_RetryBudget(struct rs_router *router, const char *service)
{
    return &RsRouter_GetOrCreateService(router, service)->budget;
}

/* Updates the service's moving average of response sizes with the size of a
 * complete response. `service` must be interned. */
void
RsRouter_RecordAnswerSize(struct rs_router *router, const char *service,
                          uint64_t size_bytes)
{
    struct rs_router_service *state =
        RsRouter_GetOrCreateService(router, service);
    state->answer_bytes +=
        ANSWER_BYTES_WEIGHT * ((double)size_bytes - state->answer_bytes);
}

/* Returns what is known of the requests to the target's service. */
static struct rs_concurrency_service *
concurrency_of(struct rs_router *router, const struct rs_fleet_target *target)
{
    return &RsRouter_GetOrCreateService(router, target->report.service)
                ->concurrency;
}

static void
log_factor(struct rs_router *router, struct rs_fleet_target *target,
           int64_t now_ms)
{
    char factor[G_ASCII_DTOSTR_BUF_SIZE];
    if (!RsConcurrency_IsNews(&target->concurrency, now_ms)) {
        return;
    }
    RsCounter_Add(&router->counters.speed_changes, 1);
    g_ascii_formatd(factor, sizeof(factor), "%.2f",
                    target->concurrency.factor);
    RsLog_EVENT(RsLog_INFO, "target_speed", RsLog_TEXT("target", target->id),
                RsLog_TEXT("service", target->report.service),
                RsLog_TEXT("factor", factor),
                RsLog_NUMBER("service_ms", target->concurrency.service_ms));
}

/* Returns the mean work of the requests of a route to a service, in ms; 0 if
 * that is unknown. Both names must be interned. */
double
RsRouter_MeanWorkMs(struct rs_router *router, const char *service,
                    const char *route)
{
    struct rs_router_service *state =
        RsRouter_GetOrCreateService(router, service);
    return RsConcurrency_MeanWorkMs(&state->concurrency, route);
}

/* Records the work of a target for a request of a route, whose name must be
 * interned, see RsConcurrency_Record(). */
void
RsRouter_RecordWork(struct rs_router *router, struct rs_fleet_target *target,
                    const char *route,
                    const struct rs_concurrency_sample *sample, int64_t now_ms)
{
    RsConcurrency_Record(&target->concurrency, concurrency_of(router, target),
                         route, sample, now_ms);
}

/* Records that a request of a route, whose name must be interned, has not been
 * answered yet, see RsConcurrency_RecordOverdue(). */
void
RsRouter_RecordOverdueWork(struct rs_router *router,
                           struct rs_fleet_target *target, const char *route,
                           const struct rs_concurrency_sample *sample)
{
    RsConcurrency_RecordOverdue(&target->concurrency,
                                concurrency_of(router, target), route, sample);
}

/* Derives the expected work at each target from the samples known by now. Does
 * nothing unless load.adaptive is set. */
void
RsRouter_RefreshConcurrency(struct rs_router *router, int64_t now_ms)
{
    const GPtrArray *list = router->fleet.list;
    if (!router->settings->load.adaptive) {
        return;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_router_service *service = value;
        RsConcurrency_ResetFactors(&service->concurrency);
    }
    for (guint i = 0; i < list->len; i++) {
        struct rs_fleet_target *target = g_ptr_array_index(list, i);
        RsConcurrency_Decay(&target->concurrency, now_ms);
        RsConcurrency_CountFactor(concurrency_of(router, target),
                                  &target->concurrency,
                                  target->shared_service_ms);
    }
    for (guint i = 0; i < list->len; i++) {
        struct rs_fleet_target *target = g_ptr_array_index(list, i);
        RsConcurrency_Refresh(&target->concurrency,
                              concurrency_of(router, target));
        log_factor(router, target, now_ms);
    }
}

/* Returns the key ownership map of a service, or NULL if none is known yet.
 * `service` must be interned; the router owns the result. */
const struct rs_router_keymap *
RsRouter_FindKeymap(const struct rs_router *router, const char *service)
{
    return g_hash_table_lookup(router->keymaps, service);
}

/* Replaces the key ownership map of `map->service`, unless the known one has
 * the same row version or a newer one. Takes ownership of `map` in either
 * case. */
void
RsRouter_SetKeymap(struct rs_router *router, struct rs_keymap *map,
                   uint64_t version)
{
    struct rs_router_keymap *current =
        g_hash_table_lookup(router->keymaps, map->service);
    if (current != NULL && current->version >= version) {
        RsKeymap_Free(map);
        return;
    }
    struct rs_router_keymap *keys = g_new0(struct rs_router_keymap, 1);
    keys->map = map;
    keys->version = version;
    g_hash_table_insert(router->keymaps, (gpointer)map->service, keys);
    RsLog_EVENT(RsLog_INFO, "keys_read", RsLog_TEXT("service", map->service),
                RsLog_NUMBER("era", RsStore_Era(version)),
                RsLog_NUMBER("row_version", RsStore_Number(version)),
                RsLog_NUMBER("ranges", map->ranges->len),
                RsLog_NUMBER("next_fence", map->next_fence));
}

/* Records a request for a key, for the next report to the granter. No more
 * than MAX_REQUESTED_KEYS are recorded per service and report. `service` must
 * be interned. */
void
RsRouter_RecordKeyUse(struct rs_router *router, const char *service,
                      uint32_t key)
{
    GArray *used = g_hash_table_lookup(router->requested_keys, service);
    if (used == NULL) {
        used = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        g_hash_table_insert(router->requested_keys, (gpointer)service, used);
    }
    if (used->len < MAX_REQUESTED_KEYS) {
        g_array_append_val(used, key);
    }
}
