#include "router/router.h"

#include "core/log.h"

/* Most keys that are kept for one report; those of a report interval at the
 * rate that one node can serve. */
#define ANSWER_WEIGHT 0.1 /* of a new sample; about the last twenty count */
#define MAX_USED_KEYS 4000

static void
free_keys(gpointer data)
{
    struct rs_router_keys *keys = data;
    RsKeymap_Free(keys->map);
    g_free(keys);
}

static void
free_array(gpointer data)
{
    g_array_unref(data);
}

/* Prepares a router that knows neither configuration nor targets. */
void
RsRouter_Init(struct rs_router *router, uv_loop_t *loop,
              const struct rs_node_settings *settings)
{
    *router = (struct rs_router){
        .loop = loop,
        .settings = settings,
        .zone = g_intern_string(settings->node.zone),
        .share = {.nodes = RsRouter_ASSUMED_NODES},
        .random = g_rand_new(),
    };
    router->keys =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_keys);
    router->services =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    router->used_keys =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_array);
    g_queue_init(&router->active);
    g_queue_init(&router->waiting);
}

/* Returns what is kept of a service, by its interned name. */
struct rs_router_service *
RsRouter_Service(struct rs_router *router, const char *name)
{
    struct rs_router_service *service =
        g_hash_table_lookup(router->services, name);
    if (service == NULL) {
        const struct rs_node_bounds *bounds = &router->settings->bounds;
        service = g_new0(struct rs_router_service, 1);
        service->budget.ratio = bounds->retry_ratio;
        service->budget.slack = bounds->retry_slack;
        service->budget.window_s = bounds->retry_window_s;
        g_hash_table_insert(router->services, (gpointer)name, service);
    }
    return service;
}

/* Returns the budget of repeats of a service, by its interned name. */
struct rs_load_budget *
RsRouter_Budget(struct rs_router *router, const char *service)
{
    return &RsRouter_Service(router, service)->budget;
}

/* Notes the size of a whole answer. */
void
RsRouter_NoteAnswer(struct rs_router *router, const char *service,
                    uint64_t size_bytes)
{
    struct rs_router_service *known = RsRouter_Service(router, service);
    known->answer_bytes +=
        ANSWER_WEIGHT * ((double)size_bytes - known->answer_bytes);
}

/* Returns who has the keys of a service, or NULL when that is not known. */
const struct rs_router_keys *
RsRouter_Keys(const struct rs_router *router, const char *service)
{
    return g_hash_table_lookup(router->keys, service);
}

/* Takes a newer map, which the router owns from now on. */
void
RsRouter_SetKeys(struct rs_router *router, struct rs_keymap *map,
                 uint64_t version)
{
    struct rs_router_keys *known =
        g_hash_table_lookup(router->keys, map->service);
    if (known != NULL && known->version >= version) {
        RsKeymap_Free(map);
        return;
    }
    struct rs_router_keys *keys = g_new0(struct rs_router_keys, 1);
    keys->map = map;
    keys->version = version;
    g_hash_table_insert(router->keys, (gpointer)map->service, keys);
    RsLog_EVENT(RsLog_INFO, "keys_read", RsLog_TEXT("service", map->service),
                RsLog_NUMBER("row_version", version),
                RsLog_NUMBER("ranges", map->ranges->len),
                RsLog_NUMBER("next_fence", map->next_fence));
}

/* Notes a request for a key, for the next report. */
void
RsRouter_CountKey(struct rs_router *router, const char *service, uint32_t key)
{
    GArray *used = g_hash_table_lookup(router->used_keys, service);
    if (used == NULL) {
        used = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        g_hash_table_insert(router->used_keys, (gpointer)service, used);
    }
    if (used->len < MAX_USED_KEYS) {
        g_array_append_val(used, key);
    }
}
