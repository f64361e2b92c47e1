#include "router/node.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "core/clock.h"
#include "core/id.h"
#include "core/log.h"
#include "http/server.h"
#include "platform/wire.h"
#include "router/exchange.h"
#include "router/finder.h"
#include "router/granter.h"
#include "router/metrics.h"
#include "router/orders.h"
#include "router/owners.h"
#include "router/reports.h"
#include "router/router.h"
#include "router/stream.h"

#define TICK_MS 25          /* resolution of all deadlines */
#define WATCH_EVERY_TICKS 4 /* a caller's leaving is acted on in 100 ms */
#define REPORT_EVERY_MS 150 /* to the granter; queues change in that time */
/* The granter takes 200 reports a second, however many nodes there are. */
#define REPORT_EVERY_MS_PER_NODE 5
#define PLAN_EVERY_TICKS 12 /* of owners; rates are means over 1.5 s */
/* News of targets may be 2 s old at most where one leaves. */
#define TARGETS_PAUSE_MS 400
#define TARGETS_WAIT_MS 600
/* Nodes that nobody feeds ask less often the more there are; those whose
 * target leaves still learn it within a second. */
#define TARGETS_PAUSE_MS_PER_NODE 8
#define TARGETS_MOST_PAUSE_MS 900
/* The same for owners of keys, which change several times a second. */
#define KEYS_PAUSE_MS_PER_NODE 4
#define KEYS_MOST_PAUSE_MS 400
/* After failed calls, all nodes together make some hundred calls a second at
 * the most; after an outage each is up to date well within 3 s. */
#define RETRY_LEAST_MOST_MS 500
#define RETRY_MS_PER_NODE 20
#define RETRY_MOST_MS 1500
/* Subscribers take news for out of date after 1.5 s without an answer. */
#define OPERATOR_WAIT_MS 500
#define KEYS_WAIT_MS 800
#define SOON_MS 20
#define RESIGNATION_MS 40 /* a commit of the node that leaves */
/* Before the first owners are chosen, targets are given time to report. */
#define FIRST_PLAN_AFTER_MS 1500
#define MS_PER_S 1000.0
/* After SIGTERM new connections come for two readiness checks of a second
 * each. Then idle connections are closed and no new ones taken, so that all is
 * over before the platform kills the process. */
#define DRAIN_CLOSE_IDLE_MS 2600
#define DRAIN_STOP_LISTENING_MS 3400
#define DRAIN_MOST_MARGIN_MS 300
#define MAX_CALLERS 3500
#define MAX_BODY_BYTES (64 * 1024 * 1024)
#define CALLER_IDLE_MS 20000 /* until the operator's limit is known */
#define PROBE_BODY_BYTES 1024

struct node {
    uv_loop_t loop;
    struct rs_node_options options;
    struct rs_router router;
    struct rs_store *store;
    struct rs_granter granter;
    struct rs_orders orders;
    struct rs_reports *reports;
    struct rs_stream *stream;
    struct rs_finder *finder;
    struct rs_follower *key_rows;
    struct rs_follower *target_rows;
    struct rs_follower *operator_rows;
    struct rs_server *callers;
    struct rs_server *readiness;
    struct rs_server *admin;
    uv_timer_t tick;
    uv_signal_t terminate;
    uv_signal_t reload;
    uint64_t ticks;
    uint64_t incarnation;
    int64_t lease_read_ms;  /* last */
    int64_t lease_asked_ms; /* read it then in any case; 0: no */
    int64_t next_report_ms;
    bool reading_lease;
    bool was_fed;
    bool targets_known;
    int64_t targets_known_ms;
    int64_t drain_from_ms;
    int64_t drain_until_ms;
};

static bool
is_ready(const struct node *node)
{
    return node->router.config != NULL && node->targets_known &&
           !node->router.draining;
}

static void
on_probe(void *arg, h2o_req_t *http)
{
    const struct node *node = arg;
    RsServer_Reply(http, is_ready(node) ? 200 : 503, NULL, "", 0);
}

static void
on_admin(void *arg, h2o_req_t *http)
{
    struct node *node = arg;
    struct rs_text text = {0};
    const struct rs_metrics_sources sources = {
        .router = &node->router,
        .store = RsStore_Counters(node->store),
        .orders = &node->orders,
        .granter = &node->granter,
    };
    char *path = RsServer_Path(http);
    bool state = strcmp(path, "/state") == 0;
    if (state) {
        RsMetrics_PrintState(&text, &sources);
    }
    else {
        RsMetrics_Print(&text, &sources);
    }
    g_free(path);
    RsServer_Reply(http, 200, state ? "application/json" : "text/plain",
                   text.data, text.size_bytes);
    RsText_Free(&text);
}

/* The operator's rows. */

static enum rs_rows_news
take_config(struct node *node, const struct rs_store_row *row)
{
    const char *fault;
    struct rs_routing *config = RsRouting_Decode(row->value, &fault);
    if (config == NULL) {
        RsLog_EVENT(RsLog_ERROR, "config_malformed",
                    RsLog_TEXT("fault", fault),
                    RsLog_NUMBER("row_version", row->version));
        return RsRows_IGNORED;
    }
    RsLog_EVENT(RsLog_INFO, "config_in_force",
                RsLog_NUMBER("config_version", config->version),
                RsLog_NUMBER("row_version", row->version),
                RsLog_NUMBER("routes", config->route_count),
                RsLog_NUMBER("services", config->service_count));
    RsRouting_Release(node->router.config);
    node->router.config = config;
    RsServer_SetIdleTimeout(node->callers, config->idle_timeout_ms);
    return RsRows_CHANGED;
}

static enum rs_rows_news
on_operator_row(void *arg, const struct rs_store_row *row)
{
    struct node *node = arg;
    if (strcmp(row->key, RsWire_CONFIG_KEY) == 0 && !row->deleted) {
        return take_config(node, row);
    }
    if (g_str_has_prefix(row->key, RsWire_EVACUATION_PREFIX)) {
        RsFleet_SetEvacuated(&node->router.fleet,
                             row->key + strlen(RsWire_EVACUATION_PREFIX),
                             !row->deleted, RsClock_NowMs());
    }
    return RsRows_CHANGED;
}

static void
on_caught_up(void *arg, bool changed)
{
    struct node *node = arg;
    if (changed) {
        RsStream_Publish(node->stream);
        RsRequest_PumpWaiting(&node->router, RsClock_NowMs());
    }
}

static void
on_fed(void *arg)
{
    struct node *node = arg;
    RsStream_Publish(node->stream);
}

static void
on_store(void *arg, enum rs_store_status status)
{
    struct node *node = arg;
    bool reachable = status != RsStore_REFUSED &&
                     status != RsStore_UNANSWERED &&
                     status != RsStore_MALFORMED;
    RsFleet_NoteStore(&node->router.fleet, reachable, RsClock_NowMs());
}

static const struct rs_follower_events operator_events = {
    .row = on_operator_row,
    .fed = on_fed,
    .caught_up = on_caught_up,
    .store = on_store,
};

/* The targets' rows. */

static enum rs_rows_news
on_target_row(void *arg, const struct rs_store_row *row)
{
    struct node *node = arg;
    if (row->deleted) {
        RsFleet_DropRow(&node->router.fleet, row->key, RsClock_NowMs());
        return RsRows_CHANGED;
    }
    return RsFleet_TakeRow(&node->router.fleet, row->key, row->value,
                           RsClock_NowMs());
}

static void
on_targets_caught_up(void *arg, bool changed)
{
    struct node *node = arg;
    if (!node->targets_known) {
        node->targets_known = true;
        node->targets_known_ms = RsClock_NowMs();
    }
    on_caught_up(node, changed);
}

static const struct rs_follower_events target_events = {
    .row = on_target_row,
    .fed = on_fed,
    .caught_up = on_targets_caught_up,
    .store = on_store,
};

static void
on_target_reset(void *arg, struct rs_fleet_target *target)
{
    RsExchange_CloseIdle(target);
}

static const struct rs_fleet_events fleet_events = {
    .reset = on_target_reset,
};

/* The rows that say who owns which keys. */

static enum rs_rows_news
on_keys_row(void *arg, const struct rs_store_row *row)
{
    struct node *node = arg;
    struct rs_keymap *map =
        row->deleted ? NULL
                     : RsGranter_DecodeRow(row->key, row->value, row->version);
    if (map != NULL) {
        RsRouter_SetKeys(&node->router, map, row->version);
    }
    return map != NULL || row->deleted ? RsRows_CHANGED : RsRows_IGNORED;
}

static const struct rs_follower_events key_events = {
    .row = on_keys_row,
    .fed = on_fed,
    .caught_up = on_caught_up,
    .store = on_store,
};

/* The granter's actions. */

/* Only the node with the lease writes the map rows, so that it need not read
 * them. */
static void
take_own_maps(struct node *node, uint64_t version)
{
    for (size_t i = 0; i < node->granter.map_count; i++) {
        const struct rs_granter_map *entry = &node->granter.maps[i];
        if (entry->row_version != version || entry->dirty) {
            continue;
        }
        char *key = RsGranter_RowKey(entry->map);
        char *value = RsKeymap_Encode(entry->map);
        struct rs_store_row row = {
            .key = key,
            .value = value,
            .value_bytes = strlen(value),
            .version = version,
        };
        const struct rs_store_rows rows = {&row, 1, version, false};
        RsFollower_Feed(node->key_rows, &rows, NULL, false);
        g_free(key);
        g_free(value);
    }
    RsFollower_NoteFresh(node->key_rows, version, RsClock_NowMs());
}

static void
on_committed(void *arg, enum rs_store_status status,
             const struct rs_store_rows *rows)
{
    struct node *node = arg;
    bool yielding = node->granter.yielding;
    on_store(node, status);
    RsGranter_Committed(&node->granter, status, rows, RsClock_NowMs());
    if (yielding && !node->granter.yielding) {
        RsStream_DropAll(node->stream);
    }
    if (status == RsStore_DONE && node->granter.phase == RsGranter_LEADING) {
        take_own_maps(node, rows->version);
    }
    RsGranter_Tick(&node->granter, RsClock_NowMs());
}

static void
commit(void *arg, const struct rs_store_commit *commit)
{
    struct node *node = arg;
    RsStore_Commit(node->store, commit, on_committed, node);
}

static void
on_maps(void *arg, enum rs_store_status status,
        const struct rs_store_rows *rows)
{
    struct node *node = arg;
    on_store(node, status);
    RsGranter_MapsLoaded(&node->granter, status, rows, RsClock_NowMs());
}

static void
load_maps(void *arg)
{
    struct node *node = arg;
    RsStore_Read(node->store, RsGranter_MAP_TABLE, RsGranter_MAP_PREFIX,
                 on_maps, node);
}

static void
send_order(void *arg, const struct rs_order *order)
{
    struct node *node = arg;
    RsOrders_Send(&node->orders, order);
}

static void
remember_owner(void *arg, const struct rs_owner *owner)
{
    struct node *node = arg;
    RsFleet_Remember(&node->router.fleet, owner->id, owner->born_ms,
                     owner->address);
}

static const struct rs_granter_actions granter_actions = {
    .commit = commit,
    .load_maps = load_maps,
    .order = send_order,
    .owner = remember_owner,
};

/* Until the granter answers this node's reports, its row tells how many nodes
 * share the bounds. */
static void
note_nodes(struct node *node)
{
    struct rs_load_share *share = &node->router.share;
    share->nodes = MAX(share->nodes, node->granter.holder.nodes);
}

static void
on_lease_row(void *arg, enum rs_store_status status,
             const struct rs_store_rows *rows)
{
    struct node *node = arg;
    int64_t now_ms = RsClock_NowMs();
    node->reading_lease = false;
    on_store(node, status);
    if (status == RsStore_DONE && rows->count > 0) {
        RsGranter_LeaseRead(&node->granter, rows->rows[0].version,
                            rows->rows[0].value, now_ms);
        note_nodes(node);
    }
    else if (status == RsStore_DONE) {
        RsGranter_LeaseRead(&node->granter, RsStore_ABSENT, "", now_ms);
    }
}

/* Sets how often this node asks the store, if it does: the granter reads for
 * all, the others ask less often the more nodes there are. */
static void
pace_followers(struct node *node, bool leads)
{
    uint32_t nodes = node->router.share.nodes;
    uint32_t retry_ms =
        CLAMP(nodes * RETRY_MS_PER_NODE, RETRY_LEAST_MOST_MS, RETRY_MOST_MS);
    RsFollower_SetRetryMost(node->operator_rows, retry_ms);
    RsFollower_SetRetryMost(node->target_rows, retry_ms);
    RsFollower_SetRetryMost(node->key_rows, retry_ms);
    RsFollower_SetPause(
        node->target_rows,
        leads ? TARGETS_PAUSE_MS
              : MIN(TARGETS_PAUSE_MS + nodes * TARGETS_PAUSE_MS_PER_NODE,
                    TARGETS_MOST_PAUSE_MS));
    RsFollower_SetPause(
        node->key_rows,
        MIN(SOON_MS + nodes * KEYS_PAUSE_MS_PER_NODE, KEYS_MOST_PAUSE_MS));
}

/* The node with the lease may have given it up when its stream ends. */
static void
watch_stream(struct node *node, int64_t now_ms)
{
    bool fed = RsStream_IsFed(node->stream);
    bool leads = RsGranter_HasAuthority(&node->granter, now_ms);
    if (fed) {
        RsFleet_NoteStore(&node->router.fleet, true, now_ms);
    }
    RsFollower_SetFed(node->key_rows,
                      leads || !RsStream_AsksStore(node->stream));
    pace_followers(node, leads);
    if (node->was_fed && !fed) {
        node->lease_asked_ms = now_ms + RESIGNATION_MS;
    }
    node->was_fed = fed;
}

/* Returns the pause between two readings of the lease: longer while the store
 * is away. */
static int64_t
least_pause_ms(const struct node *node)
{
    const struct rs_fleet *fleet = &node->router.fleet;
    bool away = fleet->store_lost_at_ms > fleet->store_back_at_ms;
    return away ? MIN(node->router.share.nodes * RETRY_MS_PER_NODE,
                      RETRY_MOST_MS)
                : 0;
}

static void
read_lease(struct node *node, int64_t now_ms)
{
    bool asked = node->lease_asked_ms > 0 && now_ms >= node->lease_asked_ms;
    bool due = RsGranter_LeaseIsDue(&node->granter, node->lease_read_ms,
                                    RsStream_IsFed(node->stream), now_ms) &&
               now_ms - node->lease_read_ms >= least_pause_ms(node);
    if (node->granter.phase != RsGranter_OBSERVING || node->reading_lease ||
        node->router.draining || !(asked || due)) {
        return;
    }
    node->lease_asked_ms = 0;
    node->lease_read_ms = now_ms;
    node->reading_lease = true;
    RsStore_Read(node->store, RsGranter_LEASE_TABLE, RsGranter_LEASE_KEY,
                 on_lease_row, node);
}

static void
plan(struct node *node, int64_t now_ms)
{
    if (node->targets_known &&
        now_ms - node->targets_known_ms >= FIRST_PLAN_AFTER_MS) {
        RsOwners_Plan(&node->router, &node->granter, node->reports, now_ms);
    }
}

static void
report(struct node *node, int64_t now_ms)
{
    if (now_ms < node->next_report_ms) {
        return;
    }
    node->next_report_ms =
        now_ms + MAX(REPORT_EVERY_MS,
                     node->router.share.nodes * REPORT_EVERY_MS_PER_NODE);
    struct sockaddr_in address;
    const struct rs_granter_lease *holder = &node->granter.holder;
    if (RsGranter_HasAuthority(&node->granter, now_ms)) {
        RsReports_Report(node->reports, NULL, now_ms);
        node->granter.nodes = node->router.share.nodes;
        node->granter.strongest = RsReports_Strongest(node->reports, now_ms);
        RsGranter_MayYield(&node->granter, node->granter.strongest, now_ms);
    }
    else if (holder->peer_host[0] != '\0' &&
             holder->incarnation != node->incarnation &&
             uv_ip4_addr(holder->peer_host, (int)holder->peer_port,
                         &address) == 0) {
        RsReports_Report(node->reports, &address, now_ms);
    }
}

static void
drain(struct node *node, int64_t now_ms)
{
    int64_t since_ms = now_ms - node->drain_from_ms;
    if (since_ms >= DRAIN_CLOSE_IDLE_MS) {
        RsServer_CloseIdle(node->callers);
    }
    if (since_ms < DRAIN_STOP_LISTENING_MS) {
        return;
    }
    RsServer_StopListening(node->callers);
    bool over = node->router.active.length == 0 &&
                RsServer_Connections(node->callers) == 0;
    if (over || now_ms >= node->drain_until_ms) {
        RsLog_EVENT(RsLog_INFO, "stopped",
                    RsLog_NUMBER("open_requests", node->router.active.length),
                    RsLog_NUMBER("open_connections",
                                 RsServer_Connections(node->callers)));
        RsLog_Flush();
        uv_stop(&node->loop);
    }
}

static void
on_peer(void *arg, uint32_t address)
{
    struct node *node = arg;
    RsFinder_AddPeer(node->finder, address);
}

static bool
hears_granter(void *arg)
{
    const struct node *node = arg;
    return RsStream_IsFed(node->stream) ||
           RsGranter_HasAuthority(&node->granter, RsClock_NowMs());
}

static void
on_told(void *arg, const struct rs_granter_lease *lease, uint64_t version)
{
    struct node *node = arg;
    RsGranter_LeaseTold(&node->granter, lease, version, RsClock_NowMs());
}

static const struct rs_finder_events finder_events = {
    .hears_granter = hears_granter,
    .told = on_told,
};

static int
open_finder(struct node *node)
{
    const struct rs_node_settings *settings = node->options.settings;
    const struct rs_finder_options options = {
        .loop = &node->loop,
        .host = settings->node.address,
        .port = settings->listen.peer_port + 1,
        .granter = &node->granter,
        .events = &finder_events,
        .arg = node,
    };
    node->finder = RsFinder_Open(&options);
    return node->finder != NULL ? 0 : RsNode_NO_PEER_PORT;
}

/* Asks other nodes for the granter while the store does not tell. */
static void
look_for_granter(struct node *node, int64_t now_ms)
{
    const struct rs_fleet *fleet = &node->router.fleet;
    bool store_away = fleet->store_lost_at_ms > fleet->store_back_at_ms;
    if (store_away && !RsStream_IsFed(node->stream) &&
        node->granter.phase == RsGranter_OBSERVING) {
        RsFinder_Ask(node->finder, now_ms);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    struct node *node = timer->data;
    int64_t now_ms = RsClock_NowMs();
    node->ticks++;
    RsRequest_Tick(&node->router, now_ms);
    if (node->ticks % WATCH_EVERY_TICKS == 0) {
        RsRequest_WatchCallers(&node->router);
    }
    report(node, now_ms);
    if (node->ticks % PLAN_EVERY_TICKS == 0) {
        plan(node, now_ms);
    }
    watch_stream(node, now_ms);
    read_lease(node, now_ms);
    look_for_granter(node, now_ms);
    RsGranter_Tick(&node->granter, now_ms);
    RsStream_Tick(node->stream, now_ms);
    RsLog_Flush();
    if (node->router.draining) {
        drain(node, now_ms);
    }
}

static void
on_terminate(uv_signal_t *signal, int number)
{
    struct node *node = signal->data;
    int64_t now_ms = RsClock_NowMs();
    if (node->router.draining) {
        return;
    }
    RsLog_EVENT(RsLog_INFO, "stopping",
                RsLog_NUMBER("open_requests", node->router.active.length));
    node->router.draining = true;
    node->drain_from_ms = now_ms;
    node->drain_until_ms =
        now_ms + (int64_t)(node->options.settings->bounds.grace_s * MS_PER_S) -
        DRAIN_MOST_MARGIN_MS;
    RsGranter_Resign(&node->granter, now_ms);
    RsStream_Leave(node->stream);
}

/* What the file holds is fixed for the life of a process, but a faulty file
 * is reported before it stops the next start. */
static void
on_reload(uv_signal_t *signal, int number)
{
    struct node *node = signal->data;
    struct rs_node_settings *settings = NULL;
    struct rs_settings_fault fault;
    if (RsNode_Load(node->options.settings_path, &settings, &fault) != 0) {
        char text[1024];
        RsSettings_FormatFault(&fault, text, sizeof(text));
        RsLog_EVENT(RsLog_ERROR, "reload_refused", RsLog_TEXT("fault", text));
        return;
    }
    RsLog_EVENT(RsLog_INFO, "reloaded",
                RsLog_TEXT("path", node->options.settings_path));
    RsNode_Free(settings);
}

static int
open_servers(struct node *node)
{
    const struct rs_node_listen *listen = &node->options.settings->listen;
    struct rs_server_options callers = {
        .loop = &node->loop,
        .max_body_bytes = MAX_BODY_BYTES,
        .max_connections = MAX_CALLERS,
        .idle_timeout_ms = CALLER_IDLE_MS,
        .handler = RsRequest_Begin,
        .arg = &node->router,
    };
    struct rs_server_options readiness = {
        .loop = &node->loop,
        .max_body_bytes = PROBE_BODY_BYTES,
        .max_connections = MAX_CALLERS,
        .handler = on_probe,
        .arg = node,
    };
    struct rs_server_options admin = readiness;
    admin.handler = on_admin;
    RsNode_ParseEndpoint(listen->callers, &callers.address);
    RsNode_ParseEndpoint(listen->readiness, &readiness.address);
    uv_ip4_addr(node->options.settings->node.address, (int)listen->admin_port,
                &admin.address);
    if (RsServer_Open(&callers, &node->callers) != 0) {
        return RsNode_NO_CALLERS_PORT;
    }
    if (RsServer_Open(&readiness, &node->readiness) != 0) {
        return RsNode_NO_READINESS_PORT;
    }
    if (RsServer_Open(&admin, &node->admin) != 0) {
        RsLog_EVENT(RsLog_WARNING, "no_admin_port",
                    RsLog_NUMBER("port", listen->admin_port));
    }
    return 0;
}

static struct rs_follower *
follow(struct node *node, const char *table, uint32_t pause_ms,
       uint32_t wait_ms, const struct rs_follower_events *events)
{
    const struct rs_follower_options options = {
        .loop = &node->loop,
        .store = node->store,
        .table = table,
        .pause_ms = pause_ms,
        .wait_ms = wait_ms,
        .events = events,
        .arg = node,
    };
    return RsFollower_Open(&options);
}

static int
open_store(struct node *node)
{
    struct sockaddr_in address;
    const struct rs_node_settings *settings = node->options.settings;
    RsNode_ParseEndpoint(settings->store.address, &address);
    node->store = RsStore_Open(&node->loop, &address);
    node->key_rows =
        follow(node, RsGranter_MAP_TABLE, SOON_MS, KEYS_WAIT_MS, &key_events);
    node->operator_rows = follow(node, RsWire_OPERATOR_TABLE, SOON_MS,
                                 OPERATOR_WAIT_MS, &operator_events);
    node->target_rows = follow(node, RsWire_TARGET_TABLE, TARGETS_PAUSE_MS,
                               TARGETS_WAIT_MS, &target_events);
    const struct rs_stream_options options = {
        .loop = &node->loop,
        .node = settings->node.name,
        .host = settings->node.address,
        .port = settings->listen.peer_port,
        .granter = &node->granter,
        .followers = {node->operator_rows, node->target_rows, node->key_rows},
        .follower_count = 3,
    };
    node->stream = RsStream_Open(&options);
    return node->stream != NULL ? 0 : RsNode_NO_PEER_PORT;
}

static void
open_granter(struct node *node)
{
    const struct rs_node_settings *settings = node->options.settings;
    const struct rs_granter_options options = {
        .node = settings->node.name,
        .peer_host = settings->node.address,
        .peer_port = settings->listen.peer_port,
        .incarnation = node->incarnation,
        .max_hold_ms = settings->bounds.max_hold_ms,
        .strength = RsGranter_Strength(settings->node.cpu_share,
                                       settings->node.link_mbps),
        .actions = &granter_actions,
        .arg = node,
        .fleet = &node->router.fleet,
    };
    RsGranter_Init(&node->granter, &options);
    RsOrders_Init(&node->orders, &node->router, &node->granter);
}

static void
watch_signals(struct node *node)
{
    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(&node->loop, &node->terminate);
    uv_signal_init(&node->loop, &node->reload);
    node->terminate.data = node;
    node->reload.data = node;
    uv_signal_start(&node->terminate, on_terminate, SIGTERM);
    uv_signal_start(&node->reload, on_reload, SIGHUP);
}

/* A number that names this life of the process. */
static uint64_t
new_incarnation(const char *name)
{
    uint64_t start[] = {(uint64_t)RsClock_WallUs(), (uint64_t)RsClock_NowUs(),
                        (uint64_t)getpid(), RsId_FromName(name)};
    return RsId_FromBytes(start, sizeof(start));
}

static int
open_node(struct node *node)
{
    const struct rs_node_settings *settings = node->options.settings;
    uv_loop_init(&node->loop);
    node->incarnation = new_incarnation(settings->node.name);
    RsRouter_Init(&node->router, &node->loop, settings);
    RsFleet_Init(&node->router.fleet, &fleet_events, node);
    watch_signals(node);
    int status = open_servers(node);
    if (status != 0) {
        return status;
    }
    node->reports =
        RsReports_Open(&node->router, node->incarnation, on_peer, node);
    if (node->reports == NULL) {
        return RsNode_NO_PEER_PORT;
    }
    open_granter(node);
    status = open_store(node);
    if (status == 0) {
        status = open_finder(node);
    }
    if (status != 0) {
        return status;
    }
    uv_timer_init(&node->loop, &node->tick);
    node->tick.data = node;
    uv_timer_start(&node->tick, on_tick, TICK_MS, TICK_MS);
    return 0;
}

/* Runs until the process is asked to stop. Returns 0 or an rs_node_error. */
int
RsNode_Run(const struct rs_node_options *options)
{
    static struct node node;
    node.options = *options;
    RsLog_Open(options->settings->node.name, RsLog_INFO);
    RsLog_HoldForFlush();
    int status = open_node(&node);
    if (status != 0) {
        RsLog_EVENT(RsLog_ERROR, "start_failed",
                    RsLog_NUMBER("error", status));
        RsLog_Flush();
        return status;
    }
    RsLog_EVENT(RsLog_INFO, "started",
                RsLog_TEXT("zone", options->settings->node.zone),
                RsLog_TEXT("callers", options->settings->listen.callers),
                RsLog_TEXT("version", RATTANSHED_VERSION));
    uv_run(&node.loop, UV_RUN_DEFAULT);
    return 0;
}
