#include "router/node.h"

#include <malloc.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
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
#include "router/probe.h"
#include "router/quota_exchange.h"
#include "router/reports.h"
#include "router/reload.h"
#include "router/router.h"
#include "router/stream.h"
#include "router/target_probe.h"

#define TICK_MS 25 /* how often the deadlines of requests are checked */
/* Disconnected callers are detected within 100 ms. */
#define CALLER_CHECK_EVERY_TICKS 4
/* Key owners are planned every 300 ms. Key rates combine moving averages over
 * 1.5 s and 5 s (router/reports.c). */
#define PLAN_EVERY_TICKS 12
/* The settings file is looked at every 2 s. */
#define WATCH_SETTINGS_EVERY_TICKS 80
/* Pause between calls for changes of the target table, and how long the store
 * may hold such a call. Each node must stop sending to a leaving target within
 * 2 s. */
#define TARGETS_PAUSE_MS 400
#define TARGET_TABLE_WAIT_MS 600
/* The same on the granter. The table that the other nodes get from it ages by
 * both and by twice the time that a response takes, until the next response.
 * Together they must stay below MAX_AGE_MS in router/stream.c when the granter
 * handles responses 0.3 s late. */
#define GRANTER_TARGETS_PAUSE_MS 200
#define GRANTER_TARGET_TABLE_WAIT_MS 300
/* Added to TARGETS_PAUSE_MS for each router node but the granter. The
 * other nodes poll the store while no upstream node delivers current data, and
 * poll the less often the more nodes there are. Even at the maximum, a node
 * learns within a second that one of its targets leaves. */
#define TARGETS_PAUSE_MS_PER_NODE 8
#define TARGETS_MAX_PAUSE_MS 900
/* The same for the pause of the key ownership table (STORE_CALL_PAUSE_MS).
 * That table changes several times a second. */
#define KEYS_PAUSE_MS_PER_NODE 4
#define KEYS_MAX_PAUSE_MS 400
/* The longest delay after a failed call to the store: RETRY_LIMIT_MS_PER_NODE
 * times the number of nodes, within these bounds. With up to 75 nodes, all
 * nodes together then call the store at most 50 times per second for each
 * table. With more nodes the delay stays at MAX_RETRY_LIMIT_MS, so that each
 * node is up to date well within 3 s after an outage. */
#define MIN_RETRY_LIMIT_MS 500
#define RETRY_LIMIT_MS_PER_NODE 20
#define MAX_RETRY_LIMIT_MS 1500
/* How long the store may hold a call that waits for changes of the operator
 * and key ownership tables. These times are well below the age of 1.5 s
 * (MAX_AGE_MS in router/stream.c) from which subscribers treat data as out of
 * date. */
#define OPERATOR_TABLE_WAIT_MS 500
#define KEY_TABLE_WAIT_MS 800
/* Pause between two calls for changes of the operator table, and minimum pause
 * for the key ownership table. */
#define STORE_CALL_PAUSE_MS 20
/* After the store has gone back to a copy, the operator and the targets write
 * their rows again. Until then this node keeps what it knows of rows that are
 * missing or have come back. Targets need about two seconds. */
#define TARGETS_SETTLE_MS 2200
#define OPERATOR_SETTLE_MS 10000
/* After the upstream node stopped delivering current data, the lease row is
 * read this much later, so that a lease holder that gives up the lease has
 * written that to the store by then. */
#define LEASE_READ_DELAY_MS 40
/* Delay from the first complete reading of the target table to the first plan
 * of key owners, which gives targets time to report. */
#define FIRST_PLAN_DELAY_MS 1500
#define MS_PER_S 1000.0
#define MAX_CONNECTIONS 3500 /* to each server of this node */
#define PERCENT 100
#define CALLERS_DESCRIPTORS_PERCENT 85
#define MAX_BODY_BYTES (64 * 1024 * 1024)
#define LARGE_BLOCK_BYTES (256 * 1024)
#define BYTES_PER_MB ((uint64_t)1024 * 1024)
#define TUNNELS_MEMORY_PART 12
#define CALLER_IDLE_MS 20000 /* used until the operator's limit is known */
#define MAX_PROBE_BODY_BYTES 1024
#define PROBE_MEMORY_BYTES (16 * 1024 * 1024)

struct node {
    uv_loop_t loop;
    struct rs_node_options options;
    struct stat settings_file; /* when it was last looked at */
    struct rs_router router;
    struct rs_store *store;
    struct rs_granter granter;
    struct rs_orders orders;
    struct rs_reports *reports;
    struct rs_stream *stream;
    struct rs_finder *finder;
    struct rs_follower *key_follower;
    struct rs_follower *target_follower;
    struct rs_follower *operator_follower;
    struct rs_server *callers;
    struct rs_server *readiness;
    struct rs_server *admin;
    struct rs_tunnel_server *tunnels;
    uv_timer_t tick;
    uv_signal_t terminate;
    uv_signal_t hangup;
    uint64_t ticks;
    uint64_t incarnation;
    int64_t last_lease_read_at_ms;
    /* When to read the lease row regardless of the schedule; 0: not requested.
     */
    int64_t requested_lease_read_at_ms;
    int64_t next_report_at_ms;
    bool reading_lease;
    bool upstream_was_current; /* at the last tick */
    bool was_isolated;         /* at the last tick */
    bool targets_known;        /* the target table was read completely once */
    int64_t targets_known_at_ms;
};

static bool
is_ready(const struct node *node)
{
    return node->router.config != NULL && node->targets_known &&
           !RsShutdown_Begun(&node->router.shutdown);
}

static void
on_probe(void *arg, h2o_req_t *http)
{
    const struct node *node = arg;
    RsServer_Reply(http, is_ready(node) ? 200 : 503, NULL, "", 0);
}

/* Serves /state as JSON; any other path gets the metrics. */
static void
on_admin(void *arg, h2o_req_t *http)
{
    struct node *node = arg;
    struct rs_text_buffer text = {0};
    const struct rs_metrics_sources sources = {
        .router = &node->router,
        .store_counters = RsStore_Counters(node->store),
        .orders = &node->orders,
        .granter = &node->granter,
        .tunnels = RsTunnel_Counters(node->tunnels),
        .callers = RsServer_Counters(node->callers),
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

/* Rows of the operator table. */

/* Decodes and applies a new configuration. A malformed one is logged and
 * ignored. */
static enum rs_row_effect
apply_config(struct node *node, const struct rs_store_row *row)
{
    const char *fault;
    struct rs_routing *config = RsRouting_Decode(row->value, &fault);
    if (config == NULL) {
        RsLog_EVENT(RsLog_ERROR, "config_malformed",
                    RsLog_TEXT("fault", fault),
                    RsLog_NUMBER("era", RsStore_Era(row->version)),
                    RsLog_NUMBER("row_version", RsStore_Number(row->version)));
        return RsTableCopy_IGNORED;
    }
    RsLog_EVENT(RsLog_INFO, "config_in_force",
                RsLog_NUMBER("config_version", config->version),
                RsLog_NUMBER("era", RsStore_Era(row->version)),
                RsLog_NUMBER("row_version", RsStore_Number(row->version)),
                RsLog_NUMBER("routes", config->route_count),
                RsLog_NUMBER("services", config->service_count));
    RsRouter_SetConfig(&node->router, config);
    RsQuotaExchange_SetConfig(node->router.quotas, config, RsClock_NowMs());
    RsServer_SetIdleTimeout(node->callers, config->idle_timeout_ms);
    RsServer_SetMaxBodyBytes(node->callers, config->max_body_bytes);
    return RsTableCopy_CHANGED;
}

/* Compares a configuration with the one in force, see rs_follower_events. The
 * store may have gone back to an older one. */
static int
compare_config(void *arg, const struct rs_store_row *row)
{
    const struct node *node = arg;
    const char *fault;
    if (strcmp(row->key, RsWire_CONFIG_KEY) != 0) {
        return 0;
    }
    struct rs_routing *config = RsRouting_Decode(row->value, &fault);
    if (config == NULL) {
        return 0;
    }
    uint32_t in_force =
        node->router.config != NULL ? node->router.config->version : 0;
    int order = (config->version > in_force) - (config->version < in_force);
    if (order < 0) {
        RsLog_EVENT(RsLog_WARNING, "older_config_ignored",
                    RsLog_NUMBER("config_version", config->version),
                    RsLog_NUMBER("in_force", in_force),
                    RsLog_NUMBER("era", RsStore_Era(row->version)));
    }
    RsRouting_Release(config);
    return order;
}

static enum rs_row_effect
on_operator_row(void *arg, const struct rs_store_row *row)
{
    struct node *node = arg;
    if (strcmp(row->key, RsWire_CONFIG_KEY) == 0 && !row->deleted) {
        return apply_config(node, row);
    }
    if (g_str_has_prefix(row->key, RsWire_EVACUATION_PREFIX)) {
        RsFleet_SetEvacuated(
            &node->router.fleet, row->key + strlen(RsWire_EVACUATION_PREFIX),
            !row->deleted, RsFollower_FreshAtMs(node->operator_follower));
    }
    return RsTableCopy_CHANGED;
}

/* If a table has changed, forwards the changes to the subscribers and retries
 * waiting requests. */
static void
on_caught_up(void *arg, bool changed)
{
    struct node *node = arg;
    if (changed) {
        RsStream_Publish(node->stream);
        RsRequest_RetryWaiting(&node->router, RsClock_NowMs());
    }
}

static void
on_updated(void *arg)
{
    struct node *node = arg;
    RsStream_Publish(node->stream);
}

/* Records whether the store can be reached, from the status of a call. */
static void
on_store_call_ended(void *arg, enum rs_store_status status)
{
    struct node *node = arg;
    bool reachable = status != RsStore_REFUSED &&
                     status != RsStore_UNANSWERED &&
                     status != RsStore_MALFORMED;
    RsFleet_RecordStoreCall(&node->router.fleet, reachable, RsClock_NowMs());
}

static const struct rs_follower_events operator_events = {
    .row = on_operator_row,
    .compare = compare_config,
    .updated = on_updated,
    .caught_up = on_caught_up,
    .store_call_ended = on_store_call_ended,
};

/* Rows of the target table. */

static enum rs_row_effect
on_target_row(void *arg, const struct rs_store_row *row)
{
    struct node *node = arg;
    RsFleet_RecordRowsCurrent(&node->router.fleet,
                              RsFollower_FreshAtMs(node->target_follower));
    if (row->deleted) {
        RsFleet_RemoveRow(&node->router.fleet, row->key, RsClock_NowMs());
        return RsTableCopy_CHANGED;
    }
    return RsFleet_ApplyRow(&node->router.fleet, row->key, row->value,
                            RsClock_NowMs());
}

static void
on_targets_caught_up(void *arg, bool changed)
{
    struct node *node = arg;
    if (!node->targets_known) {
        node->targets_known = true;
        node->targets_known_at_ms = RsClock_NowMs();
    }
    on_caught_up(node, changed);
}

static const struct rs_follower_events target_events = {
    .row = on_target_row,
    .updated = on_updated,
    .caught_up = on_targets_caught_up,
    .store_call_ended = on_store_call_ended,
};

static void
on_target_reset(void *arg, struct rs_fleet_target *target)
{
    struct node *node = arg;
    RsExchange_CloseIdle(target);
    /* All requests up to now were sent to former processes. */
    node->router.has_news |= RsSuspects_RecordEnd(
        &node->router.suspects, target->id, INT64_MAX, RsClock_NowMs());
}

static const struct rs_fleet_events fleet_events = {
    .reset = on_target_reset,
};

/* Rows of the key ownership table. */

/* Returns whether a row holds a map of a former era of the store, and this
 * node knows the map of the service already. */
static bool
is_former_map(const struct node *node, const struct rs_store_row *row)
{
    uint32_t era = 0;
    const char *service = NULL;
    return RsGranter_ParseMapKey(row->key, &era, &service) &&
           era < RsStore_Era(row->version) &&
           RsRouter_FindKeymap(&node->router, service) != NULL;
}

static enum rs_row_effect
on_keys_row(void *arg, const struct rs_store_row *row)
{
    struct node *node = arg;
    if (!row->deleted && is_former_map(node, row)) {
        return RsTableCopy_IGNORED;
    }
    struct rs_keymap *map =
        row->deleted ? NULL
                     : RsGranter_DecodeRow(row->key, row->value, row->version);
    if (map != NULL) {
        RsGranter_RecordFences(&node->granter, map);
        RsRouter_SetKeymap(&node->router, map, row->version);
    }
    return map != NULL || row->deleted ? RsTableCopy_CHANGED
                                       : RsTableCopy_IGNORED;
}

static const struct rs_follower_events key_events = {
    .row = on_keys_row,
    .updated = on_updated,
    .caught_up = on_caught_up,
    .store_call_ended = on_store_call_ended,
};

/* Actions of the granter. */

/* Applies the key ownership rows that this node wrote in the commit with
 * version `version`. Only the lease holder writes these rows, so it need not
 * read them from the store. */
static void
apply_own_maps(struct node *node, uint64_t version)
{
    for (size_t i = 0; i < node->granter.map_count; i++) {
        const struct rs_granter_map *entry = &node->granter.maps[i];
        if (entry->row_version != version || entry->dirty) {
            continue;
        }
        char *key = RsGranter_MapKey(node->granter.era, entry->map->service);
        char *value = RsKeymap_Encode(entry->map);
        struct rs_store_row row = {
            .key = key,
            .value = value,
            .value_bytes = strlen(value),
            .version = version,
        };
        const struct rs_store_rows rows = {
            .rows = &row, .count = 1, .version = version};
        RsFollower_ApplyUpdate(node->key_follower, &rows, NULL, false);
        g_free(key);
        g_free(value);
    }
    RsFollower_MarkFresh(node->key_follower, version, RsClock_NowMs());
}

/* Passes the result of a commit to the granter. If the commit succeeded and
 * this node holds the lease, also applies the committed key maps on this node.
 * A node that has just given up the lease to a stronger node closes the
 * connections of its subscribers. */
static void
on_committed(void *arg, enum rs_store_status status,
             const struct rs_store_rows *rows)
{
    struct node *node = arg;
    bool yielding = node->granter.yielding;
    on_store_call_ended(node, status);
    RsGranter_CommitAnswered(&node->granter, status, rows, RsClock_NowMs());
    if (yielding && !node->granter.yielding) {
        RsStream_DropSubscribers(node->stream);
    }
    if (status == RsStore_DONE && node->granter.phase == RsGranter_LEADING) {
        apply_own_maps(node, rows->version);
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
on_maps_loaded(void *arg, enum rs_store_status status,
               const struct rs_store_rows *rows)
{
    struct node *node = arg;
    on_store_call_ended(node, status);
    RsGranter_MapsLoaded(&node->granter, status, rows, RsClock_NowMs());
}

static void
load_maps(void *arg)
{
    struct node *node = arg;
    RsStore_Read(node->store, RsGranter_MAP_TABLE, RsGranter_MAP_PREFIX,
                 on_maps_loaded, node);
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
    RsFleet_AddUnlisted(&node->router.fleet, owner->id, owner->started_wall_ms,
                        owner->address);
}

static const struct rs_granter_actions granter_actions = {
    .commit = commit,
    .load_maps = load_maps,
    .order = send_order,
    .owner = remember_owner,
};

/* Raises the assumed number of nodes to the number in the lease row if that is
 * higher. The lease row is known before the granter answers this node's first
 * report. */
static void
raise_node_count(struct node *node)
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
    on_store_call_ended(node, status);
    if (status != RsStore_DONE) {
        return;
    }
    if (RsGranter_LeaseRowsRead(&node->granter, rows, now_ms)) {
        raise_node_count(node);
    }
}

/* Handles an era of the store that this node sees for the first time. */
static void
on_era(void *arg, uint32_t era)
{
    struct node *node = arg;
    int64_t now_ms = RsClock_NowMs();
    if (node->granter.era_known) {
        RsFleet_RecordRestore(&node->router.fleet, now_ms);
    }
    RsGranter_EraSeen(&node->granter, era, now_ms);
}

/* Sets the pauses between polls of the target and key ownership tables and the
 * longest retry delays, according to the number of nodes. The granter polls
 * the target table often, since the other nodes get the changes from it. */
static void
set_polling_intervals(struct node *node, bool is_granter)
{
    uint32_t nodes = node->router.share.nodes;
    uint32_t retry_ms = CLAMP(nodes * RETRY_LIMIT_MS_PER_NODE,
                              MIN_RETRY_LIMIT_MS, MAX_RETRY_LIMIT_MS);
    RsFollower_SetMaxRetryDelay(node->operator_follower, retry_ms);
    RsFollower_SetMaxRetryDelay(node->target_follower, retry_ms);
    RsFollower_SetMaxRetryDelay(node->key_follower, retry_ms);
    RsFollower_SetPause(
        node->target_follower,
        is_granter ? GRANTER_TARGETS_PAUSE_MS
                   : MIN(TARGETS_PAUSE_MS + nodes * TARGETS_PAUSE_MS_PER_NODE,
                         TARGETS_MAX_PAUSE_MS));
    RsFollower_SetWait(node->target_follower,
                       is_granter ? GRANTER_TARGET_TABLE_WAIT_MS
                                  : TARGET_TABLE_WAIT_MS);
    RsFollower_SetPause(
        node->key_follower,
        MIN(STORE_CALL_PAUSE_MS + nodes * KEYS_PAUSE_MS_PER_NODE,
            KEYS_MAX_PAUSE_MS));
}

/* Tracks whether the upstream node delivers current data, and adjusts polling
 * of the store. If the upstream node stops delivering it, the lease holder may
 * have given up the lease, so the lease row is read soon. */
static void
track_upstream(struct node *node, int64_t now_ms)
{
    bool upstream_current = RsStream_IsUpstreamCurrent(node->stream);
    bool is_granter = RsGranter_HasAuthority(&node->granter, now_ms);
    if (upstream_current) {
        RsFleet_RecordStoreCall(&node->router.fleet, true, now_ms);
    }
    RsFollower_SetSuspended(node->key_follower,
                            is_granter || !RsStream_PollsStore(node->stream));
    set_polling_intervals(node, is_granter);
    if (node->upstream_was_current && !upstream_current) {
        node->requested_lease_read_at_ms = now_ms + LEASE_READ_DELAY_MS;
    }
    node->upstream_was_current = upstream_current;
}

/* Returns the minimum interval between scheduled reads of the lease row in ms:
 * 0 unless the store is unavailable. */
static int64_t
min_lease_read_interval_ms(const struct node *node)
{
    const struct rs_fleet *fleet = &node->router.fleet;
    bool store_unreachable = fleet->store_lost_at_ms > fleet->store_back_at_ms;
    return store_unreachable
               ? MIN(node->router.share.nodes * RETRY_LIMIT_MS_PER_NODE,
                     MAX_RETRY_LIMIT_MS)
               : 0;
}

/* Reads the lease row if a scheduled or requested read is due. Nodes that hold
 * or claim the lease, or are shutting down, don't read it. */
static void
read_lease(struct node *node, int64_t now_ms)
{
    bool requested = node->requested_lease_read_at_ms > 0 &&
                     now_ms >= node->requested_lease_read_at_ms;
    bool scheduled = RsGranter_LeaseReadIsDue(
                         &node->granter, node->last_lease_read_at_ms,
                         RsStream_IsUpstreamCurrent(node->stream), now_ms) &&
                     now_ms - node->last_lease_read_at_ms >=
                         min_lease_read_interval_ms(node);
    if (node->granter.phase != RsGranter_OBSERVING || node->reading_lease ||
        RsShutdown_Begun(&node->router.shutdown) ||
        !(requested || scheduled)) {
        return;
    }
    node->requested_lease_read_at_ms = 0;
    node->last_lease_read_at_ms = now_ms;
    node->reading_lease = true;
    RsStore_Read(node->store, RsGranter_LEASE_TABLE, RsGranter_LEASE_PREFIX,
                 on_lease_row, node);
}

/* Plans key owners once the targets had time to report. RsOwners_Plan() does
 * nothing unless this node is the granter and the store has confirmed a commit
 * recently. */
static void
plan_owners(struct node *node, int64_t now_ms)
{
    if (node->targets_known &&
        now_ms - node->targets_known_at_ms >= FIRST_PLAN_DELAY_MS) {
        RsOwners_Plan(&node->router, &node->granter, node->reports, now_ms);
        if (RsGranter_MayPlan(&node->granter, now_ms)) {
            RsTargetProbe_StartDue(&node->router, now_ms);
        }
    }
}

/* If a report is due, sends it to the granter, or processes it if this node is
 * the granter. The granter also checks whether a stronger node should replace
 * it. */
static void
send_report(struct node *node, int64_t now_ms)
{
    if (now_ms < node->next_report_at_ms && !node->router.has_news) {
        return;
    }
    node->router.has_news = false;
    node->next_report_at_ms =
        now_ms + RsReports_IntervalMs(node->router.share.nodes);
    struct sockaddr_in address;
    const struct rs_granter_lease *holder = &node->granter.holder;
    if (RsGranter_HasAuthority(&node->granter, now_ms)) {
        RsReports_Send(node->reports, NULL, now_ms);
        node->granter.nodes = node->router.share.nodes;
        node->granter.strongest = RsReports_MaxStrength(node->reports, now_ms);
        RsGranter_YieldIfStronger(&node->granter, node->granter.strongest,
                                  now_ms);
    }
    else if (holder->peer_host[0] != '\0' &&
             holder->incarnation != node->incarnation &&
             uv_ip4_addr(holder->peer_host, (int)holder->peer_port,
                         &address) == 0) {
        RsPaths_AddPeer(&node->router.paths, address.sin_addr.s_addr);
        RsReports_Send(node->reports, &address, now_ms);
    }
}

/* Does what is due in the present phase of the shutdown. Stops the event loop
 * when all requests, connections and tunnels of other nodes have ended, or
 * time is over. */
static void
continue_shutdown(struct node *node, int64_t now_ms)
{
    struct rs_router *router = &node->router;
    enum rs_shutdown_phase phase = RsShutdown_Phase(&router->shutdown, now_ms);
    if (phase >= RsShutdown_CLOSING_IDLE) {
        RsServer_CloseIdle(node->callers);
    }
    if (phase < RsShutdown_NOT_LISTENING) {
        return;
    }
    RsServer_StopListening(node->callers);
    if (phase >= RsShutdown_ANSWERING) {
        RsRequest_AnswerAll(router);
    }
    bool all_ended = router->active.length == 0 &&
                     RsServer_ConnectionCount(node->callers) == 0 &&
                     RsTunnel_Count(node->tunnels) == 0;
    if (all_ended || phase == RsShutdown_OVER) {
        RsLog_EVENT(
            RsLog_INFO, "stopped",
            RsLog_NUMBER("open_requests", router->active.length),
            RsLog_NUMBER("open_connections",
                         RsServer_ConnectionCount(node->callers)),
            RsLog_NUMBER("open_tunnels", RsTunnel_Count(node->tunnels)));
        RsLog_Flush();
        uv_stop(&node->loop);
    }
}

static void
on_peer_reported(void *arg, uint32_t address)
{
    struct node *node = arg;
    RsFinder_AddPeer(node->finder, address);
    RsPaths_AddPeer(&node->router.paths, address);
}

/* Returns whether this node receives current data from the granter, or is the
 * granter itself. */
static bool
is_granter_reachable(void *arg)
{
    const struct node *node = arg;
    return RsStream_IsUpstreamCurrent(node->stream) ||
           RsGranter_HasAuthority(&node->granter, RsClock_NowMs());
}

static void
on_lease_received(void *arg, const struct rs_granter_lease *lease,
                  uint64_t version)
{
    struct node *node = arg;
    RsGranter_LeaseLearned(&node->granter, lease, version, RsClock_NowMs());
}

static const struct rs_finder_events finder_events = {
    .is_granter_reachable = is_granter_reachable,
    .lease_received = on_lease_received,
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

/* Asks other nodes who the granter is while the store is unavailable and no
 * upstream node delivers current data, unless this node claims or holds the
 * lease. */
static void
find_granter(struct node *node, int64_t now_ms)
{
    const struct rs_fleet *fleet = &node->router.fleet;
    bool store_unreachable = fleet->store_lost_at_ms > fleet->store_back_at_ms;
    if (store_unreachable && !RsStream_IsUpstreamCurrent(node->stream) &&
        node->granter.phase == RsGranter_OBSERVING) {
        RsFinder_Ask(node->finder, now_ms);
    }
}

/* Forgets the failures of all targets: this node had lost its links. Idle
 * connections are closed if they are likely to be dead. */
static void
forgive_targets(struct node *node, int64_t now_ms)
{
    const GPtrArray *list = node->router.fleet.list;
    for (guint i = 0; i < list->len; i++) {
        struct rs_fleet_target *target = g_ptr_array_index(list, i);
        target->failures = 0;
        target->avoid_until_ms = 0;
        target->reachability = (struct rs_reachability){0};
        if (RsPaths_IsSilent(&node->router.paths, now_ms)) {
            RsExchange_CloseIdle(target);
        }
    }
}

/* Notices when this node loses its links to the targets, and probes them when
 * they may be lost or back. */
static void
check_links(struct node *node, int64_t now_ms)
{
    struct rs_router *router = &node->router;
    if (router->paths.isolated && !node->was_isolated) {
        forgive_targets(node, now_ms);
        RsRequest_RetryWaiting(router, now_ms);
    }
    node->was_isolated = router->paths.isolated;
    if (RsPaths_TakeProbe(&router->paths, now_ms)) {
        RsProbe_Start(router);
    }
}

/* Reads the settings file again. Those settings that may change while the node
 * runs take effect; the others are named in the log. A file with a fault
 * changes nothing. */
static void
reload_settings(struct node *node)
{
    struct rs_node_settings *settings = NULL;
    struct rs_settings_fault fault;
    if (RsNodeSettings_Load(node->options.settings_path, &settings, &fault) !=
        0) {
        char text[1024];
        RsSettings_FormatFault(&fault, text, sizeof(text));
        RsLog_EVENT(RsLog_ERROR, "reload_refused", RsLog_TEXT("fault", text));
        return;
    }
    GString *needs_restart = g_string_new(NULL);
    uint32_t changed = RsReload_Apply(&node->router, node->options.settings,
                                      settings, needs_restart);
    RsLog_EVENT(RsLog_INFO, "reloaded",
                RsLog_TEXT("path", node->options.settings_path),
                RsLog_NUMBER("changed", changed));
    if (needs_restart->len > 0) {
        RsLog_EVENT(RsLog_WARNING, "reload_needs_restart",
                    RsLog_TEXT("settings", needs_restart->str));
    }
    g_string_free(needs_restart, TRUE);
    RsNodeSettings_Free(settings);
}

static void
on_hangup(uv_signal_t *signal, int number)
{
    struct node *node = signal->data;
    reload_settings(node);
}

/* Reloads the settings when their file was replaced or written without a
 * signal. */
static void
watch_settings(struct node *node)
{
    struct stat status;
    if (stat(node->options.settings_path, &status) != 0) {
        return;
    }
    bool known = node->settings_file.st_ino != 0;
    bool changed =
        status.st_ino != node->settings_file.st_ino ||
        status.st_size != node->settings_file.st_size ||
        status.st_mtim.tv_sec != node->settings_file.st_mtim.tv_sec ||
        status.st_mtim.tv_nsec != node->settings_file.st_mtim.tv_nsec;
    node->settings_file = status;
    if (known && changed) {
        reload_settings(node);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    struct node *node = timer->data;
    int64_t now_ms = RsClock_NowMs();
    node->ticks++;
    RsWorkspaces_Tick(&node->router.workspaces,
                      RsFollower_FreshAtMs(node->operator_follower), now_ms);
    RsFleet_Tick(&node->router.fleet, now_ms);
    check_links(node, now_ms);
    RsQuotaExchange_Tick(node->router.quotas, now_ms);
    RsRequest_Tick(&node->router, now_ms);
    if (node->ticks % CALLER_CHECK_EVERY_TICKS == 0) {
        RsRequest_EndAbandoned(&node->router);
    }
    send_report(node, now_ms);
    if (node->ticks % PLAN_EVERY_TICKS == 0) {
        plan_owners(node, now_ms);
    }
    if (node->ticks % WATCH_SETTINGS_EVERY_TICKS == 0) {
        watch_settings(node);
    }
    track_upstream(node, now_ms);
    read_lease(node, now_ms);
    find_granter(node, now_ms);
    RsGranter_Tick(&node->granter, now_ms);
    RsStream_Tick(node->stream, now_ms);
    RsTunnel_Tick(node->tunnels, now_ms);
    RsLog_Flush();
    if (RsShutdown_Begun(&node->router.shutdown)) {
        continue_shutdown(node, now_ms);
    }
}

static void
on_terminate(uv_signal_t *signal, int number)
{
    struct node *node = signal->data;
    int64_t now_ms = RsClock_NowMs();
    if (RsShutdown_Begun(&node->router.shutdown)) {
        return;
    }
    RsLog_EVENT(RsLog_INFO, "stopping",
                RsLog_NUMBER("open_requests", node->router.active.length));
    RsShutdown_Begin(
        &node->router.shutdown,
        (int64_t)(node->options.settings->bounds.grace_s * MS_PER_S), now_ms);
    RsGranter_Resign(&node->granter, now_ms);
    RsStream_Shutdown(node->stream);
}

static uint64_t
memory_bytes(const struct rs_node_settings *settings)
{
    return settings->node.memory_mb > 0
               ? settings->node.memory_mb * BYTES_PER_MB
               : RsServer_DEFAULT_MEMORY_BYTES;
}

/* Returns how many connections of callers leave enough descriptors for those
 * to the store, to targets and to other nodes. */
static uint32_t
max_caller_connections(void)
{
    struct rlimit descriptors;
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
        return MAX_CONNECTIONS;
    }
    return (uint32_t)MIN((rlim_t)MAX_CONNECTIONS,
                         descriptors.rlim_cur / PERCENT *
                             CALLERS_DESCRIPTORS_PERCENT);
}

/* Opens the servers for callers, readiness checks and administration. Returns
 * 0, or an rs_node_error. A failure to open the admin port is only logged. */
static int
open_servers(struct node *node)
{
    const struct rs_node_listen *listen = &node->options.settings->listen;
    struct rs_server_options callers = {
        .loop = &node->loop,
        .max_body_bytes = MAX_BODY_BYTES,
        .max_connections = max_caller_connections(),
        .memory_bytes = memory_bytes(node->options.settings),
        .idle_timeout_ms = CALLER_IDLE_MS,
        .handler = RsRequest_Begin,
        .arg = &node->router,
    };
    struct rs_server_options readiness = {
        .loop = &node->loop,
        .max_body_bytes = MAX_PROBE_BODY_BYTES,
        .max_connections = MAX_CONNECTIONS,
        .memory_bytes = PROBE_MEMORY_BYTES,
        .handler = on_probe,
        .arg = node,
    };
    struct rs_server_options admin = readiness;
    admin.handler = on_admin;
    RsNodeSettings_ParseEndpoint(listen->callers, &callers.address);
    RsNodeSettings_ParseEndpoint(listen->readiness, &readiness.address);
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
open_follower(struct node *node, const char *table, uint32_t pause_ms,
              uint32_t wait_ms, uint32_t settle_ms,
              const struct rs_follower_events *events)
{
    const struct rs_follower_options options = {
        .loop = &node->loop,
        .store = node->store,
        .table = table,
        .pause_ms = pause_ms,
        .wait_ms = wait_ms,
        .settle_ms = settle_ms,
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
    RsNodeSettings_ParseEndpoint(settings->store.address, &address);
    node->store = RsStore_Open(&node->loop, &address);
    RsStore_OnEra(node->store, on_era, node);
    node->key_follower =
        open_follower(node, RsGranter_MAP_TABLE, STORE_CALL_PAUSE_MS,
                      KEY_TABLE_WAIT_MS, TARGETS_SETTLE_MS, &key_events);
    node->operator_follower = open_follower(
        node, RsWire_OPERATOR_TABLE, STORE_CALL_PAUSE_MS,
        OPERATOR_TABLE_WAIT_MS, OPERATOR_SETTLE_MS, &operator_events);
    node->target_follower =
        open_follower(node, RsWire_TARGET_TABLE, TARGETS_PAUSE_MS,
                      TARGET_TABLE_WAIT_MS, TARGETS_SETTLE_MS, &target_events);
    const struct rs_stream_options options = {
        .loop = &node->loop,
        .node = settings->node.name,
        .host = settings->node.address,
        .port = settings->listen.peer_port,
        .granter = &node->granter,
        .followers = {node->operator_follower, node->target_follower,
                      node->key_follower},
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
        .bootstrap = settings->node.bootstrap,
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
open_quotas(struct node *node)
{
    const struct rs_quota_exchange_options options = {
        .router = &node->router,
        .granter = &node->granter,
        .incarnation = node->incarnation,
        .send = RsReports_SendDatagram,
        .arg = node->reports,
    };
    node->router.quotas = RsQuotaExchange_New(&options);
}

static void
watch_signals(struct node *node)
{
    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(&node->loop, &node->terminate);
    uv_signal_init(&node->loop, &node->hangup);
    node->terminate.data = node;
    node->hangup.data = node;
    uv_signal_start(&node->terminate, on_terminate, SIGTERM);
    uv_signal_start(&node->hangup, on_hangup, SIGHUP);
}

/* Returns a number that identifies this run of the process. */
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
    RsFleet_SetDrainMs(&node->router.fleet, settings->bounds.drain_ms);
    watch_signals(node);
    int status = open_servers(node);
    if (status != 0) {
        return status;
    }
    node->reports = RsReports_Open(&node->router, node->incarnation,
                                   on_peer_reported, node);
    if (node->reports == NULL) {
        return RsNode_NO_PEER_PORT;
    }
    const struct rs_tunnel_options tunnels = {
        .router = &node->router,
        .incarnation = node->incarnation,
        .max_queued_bytes = memory_bytes(settings) / TUNNELS_MEMORY_PART,
        .send = RsReports_SendDatagram,
        .arg = node->reports,
    };
    node->tunnels = RsTunnel_Open(&tunnels);
    if (node->tunnels == NULL) {
        return RsNode_NO_PEER_PORT;
    }
    open_granter(node);
    open_quotas(node);
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

/* Runs a node until SIGTERM has been handled. Returns 0, or an rs_node_error
 * if the node could not be started. What `options` points to must stay valid.
 * Can be called only once in a process. */
int
RsNode_Run(const struct rs_node_options *options)
{
    static struct node node;
    /* Otherwise glibc adapts the threshold to the largest blocks, and keeps
     * those in its heap. */
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
    node.options = *options;
    RsLog_Open(options->settings->node.name, RsLog_INFO);
    RsLog_DeferWrites();
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
