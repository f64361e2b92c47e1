#include "router/reports.h"

#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/granter.h"
#include "router/key_rates.h"
#include "router/peer.pb-c.h"
#include "router/quota_exchange.h"
#include "router/tunnel.h"

/* The load of a node that has not reported for this long is no longer counted.
 * With up to 30 nodes that is six reports, each node reporting every 150 ms;
 * with more nodes the interval is 5 ms times their number (see router/node.c).
 */
#define REPORT_LIFETIME_MS 1000
/* A node is assumed to route requests until it has not reported for this long,
 * which is longer than its load is counted. A node that is cut off from the
 * granter, or paused, may continue to route, and the other nodes' shares of
 * the global limits must not grow then. */
#define NODE_LIFETIME_MS 60000
/* The interval between the reports of a node is 5 ms times the number of nodes
 * (see router/node.c); two of them may be lost. */
#define COLLECT_MS_PER_NODE 15
/* Minimum interval between reports to the granter; target queues change within
 * that time. */
#define REPORT_EVERY_MS 150
/* The report interval is at least this times the number of nodes, so that the
 * granter receives at most 200 reports per second. */
#define REPORT_EVERY_MS_PER_NODE 5
#define US_PER_MS 1000.0
#define WORK_SAMPLE_UNITS 100.0
#define PERMILLE 1000.0
/* More samples of one target in the window of about a second are not
 * plausible, so a larger number does not overflow the sums. */
#define MAX_WORK_SAMPLES 1000000
/* A summary tells the samples of about this many targets at most, 11 bytes
 * each, so that it stays within its share of a node's 13 KB/s and below
 * MAX_DATAGRAM_BYTES. Nodes keep what they were told before. */
#define MAX_WORK_TARGETS 200
/* Older samples are not reported; one sample is reported for 4.5 s. */
#define MIN_REPORTED_SAMPLES 0.05
#define MAX_DATAGRAM_BYTES 60000
/* Maximum number of requested keys that one report lists for a service, one
 * entry per request. */
#define MAX_REPORTED_KEYS_PER_SERVICE 4000
/* The keys that were requested since a report longer ago than this many
 * intervals are not reported. */
#define MAX_KEY_INTERVALS 3
/* Maximum number of peers named in each response to a report. */
#define NAMED_PEERS 4

/* Samples of a target's relative work (router/concurrency.h). Integers, so
 * that what was added to a sum can be subtracted again without a rest. */
struct work {
    uint32_t process; /* see router/peer.proto */
    uint32_t samples; /* in hundredths */
    uint64_t sum;     /* in permille of hundredths */
};

/* Load of a target, reported by one node or computed over all nodes. */
struct load {
    uint32_t in_flight;
    uint32_t service_us;
    bool closed; /* the target wants no requests from the node */
    struct work work;
};

/* What the granter knows of a node. */
struct node {
    char *name;
    uint64_t incarnation;
    int64_t reported_at_ms;
    uint32_t strength; /* in thousandths of a core; see RsGranter_Strength() */
    const char *zone;  /* interned */
    uint32_t address;  /* IPv4, network byte order; 0: this node */
    GHashTable *loads; /* target id to struct load; included in the totals */
};

/* Load of a target over all nodes. */
struct totals {
    uint32_t in_flight;
    uint64_t service_us;   /* sum of the nodes' mean service times */
    uint32_t node_count;   /* nodes whose service times are in the sum */
    uint32_t closed_count; /* nodes from which it wants no requests */
    uint32_t load_count;   /* loads of nodes that are included, also of zero */
    struct work work;
};

struct rs_reports {
    uv_udp_t socket;
    struct rs_router *router;
    uint64_t incarnation;
    uint32_t strength; /* of this node, in thousandths of a core */
    rs_reports_peer_handler on_peer;
    void *arg;
    GHashTable *nodes;            /* name to struct node */
    GHashTable *totals_by_target; /* target id to struct totals */
    GHashTable *rates;            /* service to struct rs_key_rates */
    bool is_granter;              /* at the time of the last report */
    /* Number of nodes known when this node became the granter. */
    uint32_t min_nodes;
    int64_t min_nodes_until_ms; /* until when min_nodes applies */
    /* When all nodes have reported to this node since it became the granter.
     */
    int64_t ranks_known_at_ms;
    int64_t sent_at_ms; /* last report; 0: none */
    /* Target id to the requests in flight that this node last reported. */
    GHashTable *reported;
};

/* Returns the interval between the reports of a node. */
uint32_t
RsReports_IntervalMs(uint32_t nodes)
{
    return MAX(nodes * REPORT_EVERY_MS_PER_NODE, REPORT_EVERY_MS);
}

struct datagram {
    uv_udp_send_t send;
    char data[];
};

static void
on_sent(uv_udp_send_t *send, int status)
{
    g_free(send->data);
}

static void
send_to(struct rs_reports *reports, const struct sockaddr *address,
        const ProtobufCMessage *message)
{
    size_t size = protobuf_c_message_get_packed_size(message);
    if (size > MAX_DATAGRAM_BYTES) {
        RsLog_EVENT(RsLog_WARNING, "report_too_large",
                    RsLog_NUMBER("bytes", size));
        return;
    }
    struct datagram *datagram = g_malloc0(sizeof(*datagram) + size);
    protobuf_c_message_pack(message, (uint8_t *)datagram->data);
    uv_buf_t buffer = uv_buf_init(datagram->data, (unsigned)size);
    datagram->send.data = datagram;
    if (uv_udp_send(&datagram->send, &reports->socket, &buffer, 1, address,
                    on_sent) != 0) {
        g_free(datagram);
    }
}

/* Sends a message of another component from the peer port. `arg` is the struct
 * rs_reports. */
void
RsReports_SendDatagram(void *arg, const struct sockaddr *address,
                       const ProtobufCMessage *message)
{
    send_to(arg, address, message);
}

/* Returns the request rates of the keys of a service, over all nodes, as
 * reported to this node; creates them with all rates 0 if there are none. They
 * belong to `reports`. `service` must be interned. */
struct rs_key_rates *
RsReports_KeyRates(struct rs_reports *reports, const char *service,
                   int64_t now_ms)
{
    struct rs_key_rates *rates = g_hash_table_lookup(reports->rates, service);
    if (rates == NULL) {
        rates = RsKeyRates_New(now_ms);
        g_hash_table_insert(reports->rates, (gpointer)service, rates);
    }
    return rates;
}

static void
record_keys(struct rs_reports *reports, const Rs__Peer__Report *report,
            int64_t now_ms)
{
    for (size_t i = 0; i < report->n_keys; i++) {
        const Rs__Peer__Report__ServiceKeys *keys = report->keys[i];
        struct rs_key_rates *rates = RsReports_KeyRates(
            reports, g_intern_string(keys->service), now_ms);
        RsKeyRates_Record(rates, keys->keys, keys->n_keys, now_ms);
    }
}

static void
free_node(gpointer data)
{
    struct node *node = data;
    g_hash_table_unref(node->loads);
    g_free(node->name);
    g_free(node);
}

/* Subtracts a node's load from the totals, and forgets that load. */
static void
remove_load(struct rs_reports *reports, struct node *node)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, node->loads);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const struct load *load = value;
        struct totals *totals =
            g_hash_table_lookup(reports->totals_by_target, id);
        totals->in_flight -= load->in_flight;
        totals->service_us -= load->service_us;
        totals->node_count -= load->service_us > 0;
        totals->closed_count -= load->closed;
        if (load->work.process == totals->work.process) {
            totals->work.samples -= load->work.samples;
            totals->work.sum -= load->work.sum;
        }
        totals->load_count--;
        if (totals->load_count == 0) {
            g_hash_table_remove(reports->totals_by_target, id);
        }
    }
    g_hash_table_remove_all(node->loads);
}

/* Returns the number by which messages distinguish the target's present
 * process from former ones; 0 if the target is not known. */
static uint32_t
process_of(const struct rs_reports *reports, const char *id)
{
    const struct rs_fleet_target *target =
        RsFleet_Find(&reports->router->fleet, id);
    return target != NULL ? (uint32_t)target->report.started_wall_ms : 0;
}

static struct work
decode_work(const Rs__Peer__TargetLoad *item)
{
    uint32_t samples = MIN(item->work_samples, (uint32_t)MAX_WORK_SAMPLES);
    return (struct work){item->work_process, samples,
                         (uint64_t)samples * item->work_permille};
}

/* Adds the samples that a node reported of a target to the sums. Sums of a
 * former process are discarded. Samples that are not of the present process
 * are cleared in `work` and not added. */
static void
add_work(const struct rs_reports *reports, const char *id, struct work *work,
         struct work *sums)
{
    uint32_t process = process_of(reports, id);
    if (sums->process != process) {
        *sums = (struct work){.process = process};
    }
    if (work->process != process) {
        *work = (struct work){.process = work->process};
        return;
    }
    sums->samples += work->samples;
    sums->sum += work->sum;
}

/* Records the load that a node reported for a target, and adds it to the
 * totals. A target that is named again is ignored. */
static void
add_load(struct rs_reports *reports, struct node *node,
         const Rs__Peer__TargetLoad *item)
{
    gpointer id = (gpointer)g_intern_string(item->id);
    if (g_hash_table_contains(node->loads, id)) {
        return;
    }
    struct load *load = g_new0(struct load, 1);
    load->in_flight = item->in_flight;
    load->service_us = item->service_us;
    load->closed = item->closed_ms > 0;
    g_hash_table_insert(node->loads, id, load);
    struct totals *totals = g_hash_table_lookup(reports->totals_by_target, id);
    if (totals == NULL) {
        totals = g_new0(struct totals, 1);
        g_hash_table_insert(reports->totals_by_target, id, totals);
    }
    totals->in_flight += load->in_flight;
    totals->service_us += load->service_us;
    totals->node_count += load->service_us > 0;
    totals->closed_count += load->closed;
    totals->load_count++;
    load->work = decode_work(item);
    add_work(reports, id, &load->work, &totals->work);
}

/* Returns from which share of the nodes, by their last reports, the target
 * wants no requests. `id` must be interned. */
double
RsReports_ClosedShare(const struct rs_reports *reports, const char *id)
{
    const struct totals *totals =
        g_hash_table_lookup(reports->totals_by_target, id);
    guint nodes = g_hash_table_size(reports->nodes);
    return totals != NULL && nodes > 0 ? (double)totals->closed_count / nodes
                                       : 0;
}

/* Records that another node has heard from a target that it is leaving. */
static void
record_leaving(struct rs_reports *reports, const Rs__Peer__TargetLoad *item,
               int64_t now_ms)
{
    struct rs_fleet_target *target =
        RsFleet_Find(&reports->router->fleet, g_intern_string(item->id));
    if (target != NULL && item->leaving_started_wall_ms != 0) {
        RsFleet_RecordLeaving(target, item->leaving_started_wall_ms, now_ms);
    }
}

/* Returns when the target's process started if it has said that it is leaving,
 * or 0. */
static int64_t
leaving_started_wall_ms(const struct rs_fleet_target *target)
{
    return target != NULL && target->said_leaving_at_ms > 0
               ? target->report.started_wall_ms
               : 0;
}

/* Returns what this node knows of the limits that targets have stated, as
 * Rs__Peer__Limit, to be released with g_ptr_array_unref(). */
static GPtrArray *
list_limits(const struct rs_reports *reports, int64_t now_ms)
{
    const GPtrArray *targets = reports->router->fleet.list;
    GPtrArray *limits = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < targets->len; i++) {
        const struct rs_fleet_target *target = g_ptr_array_index(targets, i);
        const struct rs_limit *known = &target->limit;
        if (known->limited_since_ms > 0) {
            Rs__Peer__Limit *limit = g_new0(Rs__Peer__Limit, 1);
            rs__peer__limit__init(limit);
            limit->id = (char *)target->id;
            limit->per_s =
                (float)(known->per_s > 0 ? known->per_s : RsLimit_NONE);
            limit->age_ms = (uint32_t)(now_ms - known->stated_at_ms);
            limit->started_wall_ms = target->report.started_wall_ms;
            g_ptr_array_add(limits, limit);
        }
    }
    return limits;
}

/* Records what another node knows of the limits of targets. */
static void
record_limits(struct rs_reports *reports, Rs__Peer__Limit *const *limits,
              size_t count, int64_t now_ms)
{
    for (size_t i = 0; i < count; i++) {
        struct rs_fleet_target *target = RsFleet_Find(
            &reports->router->fleet, g_intern_string(limits[i]->id));
        const struct rs_fleet_limit_notice notice = {
            .per_s = limits[i]->per_s,
            .stated_at_ms = now_ms - limits[i]->age_ms,
            .source = "peer",
        };
        if (target != NULL) {
            RsFleet_RecordLimit(target, limits[i]->started_wall_ms, &notice,
                                now_ms);
        }
    }
}

static void
free_suspect(gpointer data)
{
    rs__peer__suspect__free_unpacked(data, NULL);
}

static Rs__Peer__Suspect *
encode_suspect(const struct rs_suspect *suspect, int64_t now_ms)
{
    Rs__Peer__Suspect *item = g_new0(Rs__Peer__Suspect, 1);
    rs__peer__suspect__init(item);
    item->fingerprint = suspect->fingerprint;
    item->answered_age_ms =
        suspect->answered_at_ms > 0
            ? (uint32_t)MAX(now_ms - suspect->answered_at_ms, (int64_t)1)
            : 0;
    item->n_crashes = suspect->crash_count;
    item->crashes = g_new0(Rs__Peer__Suspect__Crash *, item->n_crashes);
    for (size_t i = 0; i < item->n_crashes; i++) {
        item->crashes[i] = g_new0(Rs__Peer__Suspect__Crash, 1);
        rs__peer__suspect__crash__init(item->crashes[i]);
        item->crashes[i]->process = suspect->crashes[i].process;
        item->crashes[i]->age_ms =
            (uint32_t)(now_ms - suspect->crashes[i].at_ms);
        item->crashes[i]->run_ms = (uint32_t)(suspect->crashes[i].at_ms -
                                              suspect->crashes[i].sent_at_ms);
    }
    return item;
}

/* Returns what the other side is to be told of requests that may crash
 * targets, as Rs__Peer__Suspect, to be released with g_ptr_array_unref(). */
static GPtrArray *
list_suspects(const struct rs_reports *reports, int64_t now_ms)
{
    GPtrArray *items = g_ptr_array_new_with_free_func(free_suspect);
    const struct rs_router *router = reports->router;
    GPtrArray *due = RsSuspects_ListDue(
        &router->suspects, RsReports_IntervalMs(router->share.nodes), now_ms);
    for (guint i = 0; i < due->len; i++) {
        g_ptr_array_add(items,
                        encode_suspect(g_ptr_array_index(due, i), now_ms));
    }
    g_ptr_array_unref(due);
    return items;
}

/* Records what another node knows of requests that may crash targets. */
static void
record_suspects(struct rs_reports *reports, Rs__Peer__Suspect *const *items,
                size_t count, int64_t now_ms)
{
    for (size_t i = 0; i < count; i++) {
        const Rs__Peer__Suspect *item = items[i];
        struct rs_suspect suspect = {
            .fingerprint = item->fingerprint,
            .answered_at_ms =
                item->answered_age_ms > 0 ? now_ms - item->answered_age_ms : 0,
            .crash_count =
                (uint32_t)MIN(item->n_crashes, (size_t)RsSuspects_MAX_CRASHES),
        };
        for (uint32_t k = 0; k < suspect.crash_count; k++) {
            int64_t at_ms = now_ms - item->crashes[k]->age_ms;
            suspect.crashes[k] =
                (struct rs_suspect_crash){item->crashes[k]->process, at_ms,
                                          at_ms - item->crashes[k]->run_ms};
        }
        RsSuspects_Merge(&reports->router->suspects, &suspect, now_ms);
    }
}

/* On the granter: records a report of a node. Replaces the node's earlier load
 * by the new one, and adds its keys to the key rates. `address` is the node's
 * IPv4 address in network byte order, 0 for this node. */
static void
apply_report(struct rs_reports *reports, const Rs__Peer__Report *report,
             uint32_t address, int64_t now_ms)
{
    struct node *node = g_hash_table_lookup(reports->nodes, report->node);
    if (node == NULL) {
        node = g_new0(struct node, 1);
        node->name = g_strdup(report->node);
        node->loads =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
        g_hash_table_insert(reports->nodes, node->name, node);
    }
    node->incarnation = report->incarnation;
    node->reported_at_ms = now_ms;
    node->address = address;
    node->strength = report->strength;
    if (address != 0) {
        reports->on_peer(reports->arg, address);
    }
    node->zone = g_intern_string(report->zone);
    remove_load(reports, node);
    for (size_t i = 0; i < report->n_targets; i++) {
        add_load(reports, node, report->targets[i]);
        record_leaving(reports, report->targets[i], now_ms);
    }
    record_limits(reports, report->limits, report->n_limits, now_ms);
    if (address != 0) {
        record_suspects(reports, report->suspects, report->n_suspects, now_ms);
    }
    record_keys(reports, report, now_ms);
}

/* Discards the load of nodes that have not reported for REPORT_LIFETIME_MS,
 * and the nodes themselves after NODE_LIFETIME_MS. */
static void
drop_expired_nodes(struct rs_reports *reports, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reports->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct node *node = value;
        if (now_ms - node->reported_at_ms > REPORT_LIFETIME_MS) {
            remove_load(reports, node);
        }
        if (now_ms - node->reported_at_ms > NODE_LIFETIME_MS) {
            RsLog_EVENT(RsLog_INFO, "node_silent",
                        RsLog_TEXT("node", node->name));
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Returns the requests in flight of all nodes and the mean service time, 0 if
 * that is unknown. */
static struct load
overall_load(const struct totals *totals)
{
    return (struct load){
        .in_flight = totals->in_flight,
        .service_us = totals->node_count > 0
                          ? (uint32_t)(totals->service_us / totals->node_count)
                          : 0,
        .work = totals->work,
    };
}

/* Returns the highest strength, in thousandths of a core, of the nodes that
 * reported to this node within the last REPORT_LIFETIME_MS; 0 if there are
 * none. */
uint32_t
RsReports_MaxStrength(const struct rs_reports *reports, int64_t now_ms)
{
    uint32_t max_strength = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reports->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct node *node = value;
        if (now_ms - node->reported_at_ms <= REPORT_LIFETIME_MS) {
            max_strength = MAX(max_strength, node->strength);
        }
    }
    return max_strength;
}

/* Fills in the rank of a node, in the order of names, among all nodes and
 * among those of its zone, and the number of nodes in the zone. */
static void
rank_node(struct rs_reports *reports, const char *name, const char *zone,
          Rs__Peer__Summary *summary)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reports->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct node *node = value;
        bool precedes = strcmp(node->name, name) < 0;
        bool in_zone = strcmp(node->zone, zone) == 0;
        summary->rank += precedes;
        summary->zone_nodes += in_zone;
        summary->zone_rank += in_zone && precedes;
    }
}

/* Returns this node's share by a summary. While the granter knows no order of
 * all nodes, the former one stays. */
static struct rs_load_share
decode_share(const Rs__Peer__Summary *summary,
             const struct rs_load_share *former)
{
    bool is_ordered = summary->ranked > 0;
    return (struct rs_load_share){
        .nodes = MAX(summary->nodes, 1),
        .stable_rank = is_ordered ? summary->rank : former->stable_rank,
        .ranked = is_ordered ? summary->ranked : former->ranked,
        .zone_nodes = summary->zone_nodes,
        .zone_rank = summary->zone_rank,
    };
}

/* Sets the load from other nodes to zero for all targets; the granter's
 * summary names only targets that have requests in flight. */
static void
clear_remote_load(struct rs_reports *reports, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reports->router->fleet.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_fleet_target *target = value;
        target->elsewhere = 0;
        target->elsewhere_at_ms = now_ms;
    }
}

/* Sets the load that other nodes have at a target: the total without what this
 * node reported last. Also sets the mean service time of all nodes if it is
 * known. */
static void
set_remote_load(struct rs_reports *reports, const char *id,
                const struct load *totals, int64_t now_ms)
{
    struct rs_fleet_target *target = RsFleet_Find(&reports->router->fleet, id);
    if (target == NULL) {
        return;
    }
    uint32_t own =
        GPOINTER_TO_UINT(g_hash_table_lookup(reports->reported, id));
    target->elsewhere = totals->in_flight > own ? totals->in_flight - own : 0;
    target->elsewhere_at_ms = now_ms;
    if (totals->service_us > 0) {
        target->shared_service_ms = totals->service_us / US_PER_MS;
    }
    const struct work *work = &totals->work;
    if (reports->router->settings->load.adaptive && work->samples > 0 &&
        work->process == (uint32_t)target->report.started_wall_ms) {
        const struct rs_concurrency_sums sums = {
            work->samples / WORK_SAMPLE_UNITS,
            (double)work->sum / WORK_SAMPLE_UNITS / PERMILLE,
        };
        RsConcurrency_SetSums(&target->concurrency, &sums, now_ms);
    }
}

/* Returns the requests per second for the keys of a target if they exceed its
 * capacity, and 0 otherwise. */
static float
find_demand(const struct rs_reports *reports, const char *id)
{
    const struct rs_fleet_target *target =
        RsFleet_Find(&reports->router->fleet, id);
    return target != NULL ? (float)target->demand_per_s : 0;
}

static void
encode_work(const struct work *work, Rs__Peer__TargetLoad *item)
{
    if (work->samples > 0) {
        item->work_samples = work->samples;
        item->work_permille = (uint32_t)(work->sum / work->samples);
        item->work_process = work->process;
    }
}

/* Returns what this node reports of a target's relative work. */
static struct work
own_work(const struct rs_fleet_target *target)
{
    struct rs_concurrency_sums sums =
        RsConcurrency_Reported(&target->concurrency);
    if (sums.samples < MIN_REPORTED_SAMPLES) {
        return (struct work){0};
    }
    return (struct work){
        (uint32_t)target->report.started_wall_ms,
        (uint32_t)(sums.samples * WORK_SAMPLE_UNITS),
        (uint64_t)(sums.relative_work * WORK_SAMPLE_UNITS * PERMILLE),
    };
}

/* Fills `loads` with the totals of all targets that have requests in flight or
 * samples of their work; of many targets, a random part of the samples.
 * Returns their number. */
static size_t
list_totals(struct rs_reports *reports, Rs__Peer__TargetLoad *loads)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    size_t count = 0;
    int work_parts = 1 + (int)g_hash_table_size(reports->totals_by_target) /
                             MAX_WORK_TARGETS;
    g_hash_table_iter_init(&iter, reports->totals_by_target);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const struct totals *totals = value;
        bool has_work =
            totals->work.samples > 0 && g_random_int_range(0, work_parts) == 0;
        if (totals->in_flight > 0 || has_work) {
            struct load overall = overall_load(totals);
            rs__peer__target_load__init(&loads[count]);
            loads[count].id = id;
            loads[count].in_flight = overall.in_flight;
            loads[count].service_us = overall.service_us;
            loads[count].demand_per_s = find_demand(reports, id);
            if (has_work) {
                encode_work(&overall.work, &loads[count]);
            }
            loads[count].leaving_started_wall_ms = leaving_started_wall_ms(
                RsFleet_Find(&reports->router->fleet, id));
            count++;
        }
    }
    return count;
}

/* On the granter: applies the totals to its own targets, as apply_summary()
 * does on other nodes. */
static void
apply_own_totals(struct rs_reports *reports, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    clear_remote_load(reports, now_ms);
    g_hash_table_iter_init(&iter, reports->totals_by_target);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        struct load overall = overall_load(value);
        set_remote_load(reports, id, &overall, now_ms);
    }
    RsRouter_RefreshConcurrency(reports->router, now_ms);
}

/* Returns the number of nodes that route requests. A new granter has received
 * few reports yet. Therefore the number that it knew as an ordinary node is
 * the minimum for NODE_LIFETIME_MS: with too low a number, the nodes' shares
 * would together exceed the global limits. */
static uint32_t
count_nodes(const struct rs_reports *reports, int64_t now_ms)
{
    uint32_t known_nodes = g_hash_table_size(reports->nodes);
    return now_ms < reports->min_nodes_until_ms
               ? MAX(known_nodes, reports->min_nodes)
               : known_nodes;
}

/* Starts to collect reports: this node has become the granter. */
static void
start_collecting(struct rs_reports *reports, int64_t now_ms)
{
    reports->is_granter = true;
    reports->router->hot_keys.known = false;
    g_hash_table_remove_all(reports->rates); /* of an earlier term */
    reports->min_nodes = reports->router->share.nodes;
    reports->min_nodes_until_ms = now_ms + NODE_LIFETIME_MS;
    reports->ranks_known_at_ms =
        now_ms + REPORT_LIFETIME_MS + reports->min_nodes * COLLECT_MS_PER_NODE;
}

/* Fills `peers` with the addresses of up to NAMED_PEERS nodes, starting at a
 * random position in the table of nodes. The receiver asks these nodes for the
 * granter when it loses contact to the granter. Returns the number of
 * addresses. */
static size_t
choose_peers(const struct rs_reports *reports, uint32_t peers[NAMED_PEERS])
{
    guint max_count = g_hash_table_size(reports->nodes);
    guint skipped = (guint)g_random_int_range(0, (gint32)MAX(max_count, 1));
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reports->nodes);
    while (count < NAMED_PEERS &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct node *node = value;
        if (skipped > 0) {
            skipped--;
        }
        else if (node->address != 0) {
            peers[count++] = node->address;
        }
    }
    return count;
}

/* Fills `keys` with the hot keys. */
static void
list_hot_keys(const struct rs_reports *reports, Rs__Peer__HotKey *keys,
              Rs__Peer__HotKey **pointers)
{
    const struct rs_hot_keys *hot = &reports->router->hot_keys;
    for (size_t i = 0; i < hot->count; i++) {
        rs__peer__hot_key__init(&keys[i]);
        keys[i].service = (char *)hot->keys[i].service;
        keys[i].key = hot->keys[i].key;
        keys[i].demand_per_s = (float)hot->keys[i].demand_per_s;
        keys[i].admitted_per_s = (float)hot->keys[i].admitted_per_s;
        pointers[i] = &keys[i];
    }
}

/* Records the hot keys that the granter has stated. */
static void
record_hot_keys(struct rs_reports *reports, const Rs__Peer__Summary *summary,
                int64_t now_ms)
{
    struct rs_hot_keys *hot = &reports->router->hot_keys;
    for (size_t i = 0; i < summary->n_hot_keys; i++) {
        const Rs__Peer__HotKey *item = summary->hot_keys[i];
        const struct rs_hot_key stated = {
            .service = g_intern_string(item->service),
            .key = item->key,
            .demand_per_s = item->demand_per_s,
            .admitted_per_s = item->admitted_per_s,
        };
        RsHotKeys_Record(hot, &stated, now_ms);
    }
    if (summary->hot_keys_known) {
        RsHotKeys_DropUnnamed(hot, now_ms);
    }
}

/* Responds to a report with the totals over all nodes. `from` is NULL if the
 * report came from this node itself; the totals are applied here then. */
static void
respond_to_report(struct rs_reports *reports, const Rs__Peer__Report *report,
                  const struct sockaddr *from, int64_t now_ms)
{
    guint max_count = g_hash_table_size(reports->totals_by_target);
    Rs__Peer__TargetLoad *loads = g_new0(Rs__Peer__TargetLoad, max_count + 1);
    Rs__Peer__TargetLoad **load_pointers =
        g_new0(Rs__Peer__TargetLoad *, max_count + 1);
    Rs__Peer__Summary summary = RS__PEER__SUMMARY__INIT;
    summary.n_targets = list_totals(reports, loads);
    for (size_t i = 0; i < summary.n_targets; i++) {
        load_pointers[i] = &loads[i];
    }
    summary.targets = load_pointers;
    uint32_t peers[NAMED_PEERS];
    summary.n_peers = choose_peers(reports, peers);
    summary.peers = peers;
    Rs__Peer__HotKey hot_keys[RsHotKeys_MAX];
    Rs__Peer__HotKey *hot_key_pointers[RsHotKeys_MAX];
    list_hot_keys(reports, hot_keys, hot_key_pointers);
    summary.hot_keys = hot_key_pointers;
    summary.n_hot_keys = reports->router->hot_keys.count;
    summary.hot_keys_known = reports->router->hot_keys.known;
    GPtrArray *limits = list_limits(reports, now_ms);
    summary.limits = (Rs__Peer__Limit **)limits->pdata;
    summary.n_limits = limits->len;
    GPtrArray *suspects = list_suspects(reports, now_ms);
    summary.suspects = (Rs__Peer__Suspect **)suspects->pdata;
    summary.n_suspects = suspects->len;
    summary.incarnation = report->incarnation;
    summary.nodes = count_nodes(reports, now_ms);
    rank_node(reports, report->node, report->zone, &summary);
    summary.ranked = now_ms >= reports->ranks_known_at_ms
                         ? g_hash_table_size(reports->nodes)
                         : 0;
    if (from != NULL) {
        send_to(reports, from, &summary.base);
    }
    else {
        const struct rs_load_share share =
            decode_share(&summary, &reports->router->share);
        RsLoad_UpdateShare(&reports->router->share, &share, now_ms);
        apply_own_totals(reports, now_ms);
    }
    g_ptr_array_unref(limits);
    g_ptr_array_unref(suspects);
    g_free(loads);
    g_free(load_pointers);
}

/* Applies the granter's response to a report of this process. */
static void
apply_summary(struct rs_reports *reports, const Rs__Peer__Summary *summary,
              int64_t now_ms)
{
    struct rs_router *router = reports->router;
    if (summary->incarnation != reports->incarnation || summary->nodes == 0) {
        return;
    }
    const struct rs_load_share share = decode_share(summary, &router->share);
    RsLoad_UpdateShare(&router->share, &share, now_ms);
    for (size_t i = 0; i < summary->n_peers; i++) {
        reports->on_peer(reports->arg, summary->peers[i]);
    }
    record_limits(reports, summary->limits, summary->n_limits, now_ms);
    record_suspects(reports, summary->suspects, summary->n_suspects, now_ms);
    record_hot_keys(reports, summary, now_ms);
    clear_remote_load(reports, now_ms);
    for (size_t i = 0; i < summary->n_targets; i++) {
        const Rs__Peer__TargetLoad *item = summary->targets[i];
        const char *id = g_intern_string(item->id);
        const struct load totals = {.in_flight = item->in_flight,
                                    .service_us = item->service_us,
                                    .work = decode_work(item)};
        record_leaving(reports, item, now_ms);
        set_remote_load(reports, id, &totals, now_ms);
        struct rs_fleet_target *target = RsFleet_Find(&router->fleet, id);
        if (target != NULL) {
            target->demand_per_s = item->demand_per_s;
            target->demand_at_ms = now_ms;
        }
    }
    RsRouter_RefreshConcurrency(router, now_ms);
}

/* Distinguishes reports from summaries by the first byte, the tag of the first
 * field: in a report this field is `node`, a string in field 1 (0x0a); in a
 * summary the first field is a number (see router/peer.proto). Messages of
 * quotas and tunnels begin with tags of their own. */
#define REPORT_TAG 0x0a

static void
on_datagram(uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer,
            const struct sockaddr *from, unsigned flags)
{
    struct rs_reports *reports = socket->data;
    const uint8_t *data = (const uint8_t *)buffer->base;
    int64_t now_ms = RsClock_NowMs();
    if (size <= 0 || from == NULL || (flags & UV_UDP_PARTIAL) != 0) {
        return;
    }
    if (reports->router->quotas != NULL &&
        RsQuotaExchange_HandleDatagram(reports->router->quotas, data,
                                       (size_t)size, from, now_ms)) {
        return;
    }
    if (RsTunnel_HandleDatagram(reports->router, data, (size_t)size, from,
                                now_ms)) {
        return;
    }
    if (data[0] == REPORT_TAG) {
        Rs__Peer__Report *report =
            rs__peer__report__unpack(NULL, (size_t)size, data);
        if (report != NULL) {
            apply_report(reports, report,
                         ((const struct sockaddr_in *)from)->sin_addr.s_addr,
                         now_ms);
            respond_to_report(reports, report, from, now_ms);
            rs__peer__report__free_unpacked(report, NULL);
        }
        return;
    }
    Rs__Peer__Summary *summary =
        rs__peer__summary__unpack(NULL, (size_t)size, data);
    if (summary != NULL) {
        apply_summary(reports, summary, now_ms);
        rs__peer__summary__free_unpacked(summary, NULL);
    }
}

static void
allocate_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[MAX_DATAGRAM_BYTES + 1];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

/* Starts to listen on the peer port (UDP). `on_peer` is called with `arg` for
 * each node that the granter names. Returns NULL if the port can't be opened.
 * The result lives as long as the process; `router` must outlive it. */
struct rs_reports *
RsReports_Open(struct rs_router *router, uint64_t incarnation,
               rs_reports_peer_handler on_peer, void *arg)
{
    struct rs_reports *reports = g_new0(struct rs_reports, 1);
    struct sockaddr_in address;
    reports->router = router;
    reports->incarnation = incarnation;
    reports->on_peer = on_peer;
    reports->arg = arg;
    reports->strength = RsGranter_Strength(router->settings->node.cpu_share,
                                           router->settings->node.link_mbps);
    reports->nodes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_node);
    reports->totals_by_target =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    reports->rates =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    reports->reported = g_hash_table_new(g_direct_hash, g_direct_equal);
    uv_ip4_addr(router->settings->node.address,
                (int)router->settings->listen.peer_port, &address);
    uv_udp_init(router->loop, &reports->socket);
    reports->socket.data = reports;
    if (uv_udp_bind(&reports->socket, (const struct sockaddr *)&address, 0) !=
            0 ||
        uv_udp_recv_start(&reports->socket, allocate_buffer, on_datagram) !=
            0) {
        return NULL;
    }
    return reports;
}

/* Fills `loads` with the load from this node of each target that has requests
 * of this node in flight, has answered one or has given notice. Records in
 * `reports->reported` how many requests in flight are reported. Returns the
 * number of loads. */
static size_t
fill_loads(struct rs_reports *reports, Rs__Peer__TargetLoad *loads,
           int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    size_t count = 0;
    g_hash_table_remove_all(reports->reported);
    g_hash_table_iter_init(&iter, reports->router->fleet.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_fleet_target *target = value;
        bool closed = RsFleet_IsClosed(target, now_ms);
        if (target->in_flight == 0 && target->answers == 0 && !closed &&
            target->said_leaving_at_ms == 0) {
            continue;
        }
        rs__peer__target_load__init(&loads[count]);
        loads[count].id = (char *)target->id;
        loads[count].in_flight = target->in_flight;
        loads[count].service_us =
            target->answers > 0 ? (uint32_t)(target->service_ms * US_PER_MS)
                                : 0;
        struct work work = own_work(target);
        encode_work(&work, &loads[count]);
        loads[count].leaving_started_wall_ms = leaving_started_wall_ms(target);
        loads[count].closed_ms =
            closed ? (uint32_t)(target->closed_until_ms - now_ms) : 0;
        g_hash_table_insert(reports->reported, (gpointer)target->id,
                            GUINT_TO_POINTER(target->in_flight));
        count++;
    }
    return count;
}

/* Fills `keys` with the keys of each service that were requested since the
 * last report; the router owns the arrays. Returns the number of services. */
static size_t
fill_keys(struct rs_reports *reports, Rs__Peer__Report__ServiceKeys *keys)
{
    GHashTableIter iter;
    gpointer service;
    gpointer value;
    size_t count = 0;
    g_hash_table_iter_init(&iter, reports->router->requested_keys);
    while (g_hash_table_iter_next(&iter, &service, &value)) {
        GArray *requested = value;
        rs__peer__report__service_keys__init(&keys[count]);
        keys[count].service = service;
        keys[count].n_keys =
            MIN(requested->len, MAX_REPORTED_KEYS_PER_SERVICE);
        keys[count].keys = (uint32_t *)(void *)requested->data;
        count++;
    }
    return count;
}

static void
clear_requested_keys(struct rs_reports *reports)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reports->router->requested_keys);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_array_set_size(value, 0);
    }
}

/* Sends this node's report to the granter, or processes it if `granter` is
 * NULL, which means that this node is the granter. The recorded keys are
 * cleared in either case. */
void
RsReports_Send(struct rs_reports *reports, const struct sockaddr_in *granter,
               int64_t now_ms)
{
    /* Requests from a time without a granter would look like a burst. */
    if (now_ms - reports->sent_at_ms >
        MAX_KEY_INTERVALS *
            (int64_t)RsReports_IntervalMs(reports->router->share.nodes)) {
        clear_requested_keys(reports);
    }
    reports->sent_at_ms = now_ms;
    RsRouter_RefreshConcurrency(reports->router, now_ms);
    RsRequest_RecordOverdue(reports->router, now_ms);
    guint targets = g_hash_table_size(reports->router->fleet.targets);
    guint services = g_hash_table_size(reports->router->requested_keys);
    Rs__Peer__TargetLoad *loads = g_new0(Rs__Peer__TargetLoad, targets + 1);
    Rs__Peer__TargetLoad **load_list =
        g_new0(Rs__Peer__TargetLoad *, targets + 1);
    Rs__Peer__Report__ServiceKeys *keys =
        g_new0(Rs__Peer__Report__ServiceKeys, services + 1);
    Rs__Peer__Report__ServiceKeys **key_list =
        g_new0(Rs__Peer__Report__ServiceKeys *, services + 1);
    Rs__Peer__Report report = RS__PEER__REPORT__INIT;
    report.node = reports->router->settings->node.name;
    report.incarnation = reports->incarnation;
    report.strength = reports->strength;
    report.zone = (char *)reports->router->zone;
    report.n_targets = fill_loads(reports, loads, now_ms);
    report.n_keys = fill_keys(reports, keys);
    for (size_t i = 0; i < report.n_targets; i++) {
        load_list[i] = &loads[i];
    }
    for (size_t i = 0; i < report.n_keys; i++) {
        key_list[i] = &keys[i];
    }
    report.targets = load_list;
    GPtrArray *limits = list_limits(reports, now_ms);
    report.limits = (Rs__Peer__Limit **)limits->pdata;
    report.n_limits = limits->len;
    GPtrArray *suspects = list_suspects(reports, now_ms);
    report.suspects = (Rs__Peer__Suspect **)suspects->pdata;
    report.n_suspects = suspects->len;
    report.keys = key_list;
    if (granter != NULL) {
        reports->is_granter = false;
        send_to(reports, (const struct sockaddr *)granter, &report.base);
    }
    else {
        if (!reports->is_granter) {
            start_collecting(reports, now_ms);
        }
        drop_expired_nodes(reports, now_ms);
        apply_report(reports, &report, 0, now_ms);
        respond_to_report(reports, &report, NULL, now_ms);
    }
    clear_requested_keys(reports);
    g_ptr_array_unref(limits);
    g_ptr_array_unref(suspects);
    g_free(loads);
    g_free(load_list);
    g_free(keys);
    g_free(key_list);
}
