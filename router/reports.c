#include "router/reports.h"

#include <math.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/granter.h"
#include "router/peer.pb-c.h"

/* Reports come every 150 ms; a node that missed six is not counted. */
#define REPORT_LIFETIME_MS 1000
/* Nodes count as routing requests for longer: one that is cut off from the
 * granter, or paused, may go on, and the shares of budgets must not grow. */
#define NODE_LIFETIME_MS 60000
#define MS_PER_S 1000.0
/* Keys get busy within a second, but over a window that shows this, chance
 * makes up a quarter of the rate of a target's keys. A longer one evens it
 * out. */
#define FAST_WINDOW_MS 1500.0
#define SLOW_WINDOW_MS 5000.0
#define FAST_SHARE 0.4F
#define US_PER_MS 1000.0
#define MAX_DATAGRAM_BYTES 60000
#define MAX_KEYS 4000 /* in one report */
#define NAMED_PEERS 4 /* in each answer to a report; others each time */

struct load {
    uint32_t in_flight;
    uint32_t service_us;
};

/* One node, as the granter knows it. */
struct node {
    char *name;
    uint64_t incarnation;
    int64_t reported_ms;
    uint32_t strength;
    const char *zone;  /* interned */
    uint32_t address;  /* IPv4, network byte order; 0: of this node */
    GHashTable *loads; /* target id to struct load; part of the sums */
};

/* What all nodes together have at a target. */
struct sum {
    uint32_t in_flight;
    uint64_t service_us;
    uint32_t samples; /* that the service time is the sum of */
};

struct rates {
    float fast[RsKeymap_KEYS];  /* over FAST_WINDOW_MS */
    float slow[RsKeymap_KEYS];  /* over SLOW_WINDOW_MS */
    float blend[RsKeymap_KEYS]; /* filled in when asked for */
    int64_t decayed_ms;
};

struct rs_reports {
    uv_udp_t socket;
    struct rs_router *router;
    uint64_t incarnation;
    uint32_t strength; /* of this node */
    rs_reports_peer_handler on_peer;
    void *arg;
    GHashTable *nodes;    /* name to struct node */
    GHashTable *sums;     /* target id to struct sum */
    GHashTable *rates;    /* service to struct rates */
    bool summing;         /* this node is the granter */
    uint32_t least_nodes; /* known from the granter before it */
    int64_t least_until_ms;
    GHashTable *reported; /* target id to what this node last reported */
};

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

static struct rates *
rates_of(struct rs_reports *reports, const char *service, int64_t now_ms)
{
    struct rates *rates = g_hash_table_lookup(reports->rates, service);
    if (rates == NULL) {
        rates = g_new0(struct rates, 1);
        rates->decayed_ms = now_ms;
        g_hash_table_insert(reports->rates, (gpointer)service, rates);
    }
    return rates;
}

/* Returns the rates, which are the reports'; they hold until the next call. */
const float *
RsReports_Rates(struct rs_reports *reports, const char *service,
                int64_t now_ms)
{
    struct rates *rates = rates_of(reports, service, now_ms);
    double span_ms = (double)(now_ms - rates->decayed_ms);
    float fast = (float)exp(-span_ms / FAST_WINDOW_MS);
    float slow = (float)exp(-span_ms / SLOW_WINDOW_MS);
    for (size_t key = 0; key < RsKeymap_KEYS; key++) {
        rates->fast[key] *= fast;
        rates->slow[key] *= slow;
        rates->blend[key] = FAST_SHARE * rates->fast[key] +
                            (1 - FAST_SHARE) * rates->slow[key];
    }
    rates->decayed_ms = now_ms;
    return rates->blend;
}

static void
count_keys(struct rs_reports *reports, const Rs__Peer__Report *report,
           int64_t now_ms)
{
    for (size_t i = 0; i < report->n_keys; i++) {
        const Rs__Peer__Report__ServiceKeys *keys = report->keys[i];
        struct rates *rates =
            rates_of(reports, g_intern_string(keys->service), now_ms);
        for (size_t k = 0; k < keys->n_keys; k++) {
            if (keys->keys[k] < RsKeymap_KEYS) {
                rates->fast[keys->keys[k]] +=
                    (float)(MS_PER_S / FAST_WINDOW_MS);
                rates->slow[keys->keys[k]] +=
                    (float)(MS_PER_S / SLOW_WINDOW_MS);
            }
        }
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

static void
take_out(struct rs_reports *reports, struct node *node)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, node->loads);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const struct load *load = value;
        struct sum *sum = g_hash_table_lookup(reports->sums, id);
        sum->in_flight -= load->in_flight;
        sum->service_us -= load->service_us;
        sum->samples -= load->service_us > 0;
        if (sum->in_flight == 0 && sum->samples == 0) {
            g_hash_table_remove(reports->sums, id);
        }
    }
    g_hash_table_remove_all(node->loads);
}

static void
put_in(struct rs_reports *reports, struct node *node,
       const Rs__Peer__TargetLoad *item)
{
    gpointer id = (gpointer)g_intern_string(item->id);
    if (g_hash_table_contains(node->loads, id)) {
        return;
    }
    struct load *load = g_new0(struct load, 1);
    load->in_flight = item->in_flight;
    load->service_us = item->service_us;
    g_hash_table_insert(node->loads, id, load);
    struct sum *sum = g_hash_table_lookup(reports->sums, id);
    if (sum == NULL) {
        sum = g_new0(struct sum, 1);
        g_hash_table_insert(reports->sums, id, sum);
    }
    sum->in_flight += load->in_flight;
    sum->service_us += load->service_us;
    sum->samples += load->service_us > 0;
}

/* The granter's side: keeps what a node reported. */
static void
take_report(struct rs_reports *reports, const Rs__Peer__Report *report,
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
    node->reported_ms = now_ms;
    node->address = address;
    node->strength = report->strength;
    node->zone = g_intern_string(report->zone);
    take_out(reports, node);
    for (size_t i = 0; i < report->n_targets; i++) {
        put_in(reports, node, report->targets[i]);
    }
    count_keys(reports, report, now_ms);
}

/* Forgets the load of nodes that are silent, and later the nodes. */
static void
drop_silent_nodes(struct rs_reports *reports, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reports->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct node *node = value;
        if (now_ms - node->reported_ms > REPORT_LIFETIME_MS) {
            take_out(reports, node);
        }
        if (now_ms - node->reported_ms > NODE_LIFETIME_MS) {
            RsLog_EVENT(RsLog_INFO, "node_silent",
                        RsLog_TEXT("node", node->name));
            g_hash_table_iter_remove(&iter);
        }
    }
}

static struct load
mean_of(const struct sum *sum)
{
    return (struct load){
        .in_flight = sum->in_flight,
        .service_us =
            sum->samples > 0 ? (uint32_t)(sum->service_us / sum->samples) : 0,
    };
}

/* Returns the most strength of a node that has reported of late. */
uint32_t
RsReports_Strongest(const struct rs_reports *reports, int64_t now_ms)
{
    uint32_t strongest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reports->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct node *node = value;
        if (now_ms - node->reported_ms <= REPORT_LIFETIME_MS) {
            strongest = MAX(strongest, node->strength);
        }
    }
    return strongest;
}

/* Fills in where a node stands among all and among those of its zone. */
static void
rank_node(struct rs_reports *reports, const char *name, const char *zone,
          Rs__Peer__Summary *summary)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reports->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct node *node = value;
        bool before = strcmp(node->name, name) < 0;
        bool near = strcmp(node->zone, zone) == 0;
        summary->rank += before;
        summary->zone_nodes += near;
        summary->zone_rank += near && before;
    }
}

static struct rs_load_share
share_of(const Rs__Peer__Summary *summary)
{
    return (struct rs_load_share){
        .nodes = MAX(summary->nodes, 1),
        .rank = summary->rank,
        .zone_nodes = summary->zone_nodes,
        .zone_rank = summary->zone_rank,
    };
}

/* Targets that are not named have no work from other nodes. */
static void
reset_elsewhere(struct rs_reports *reports, int64_t now_ms)
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

static void
take_sum(struct rs_reports *reports, const char *id, const struct load *sum,
         int64_t now_ms)
{
    struct rs_fleet_target *target = RsFleet_Find(&reports->router->fleet, id);
    if (target == NULL) {
        return;
    }
    uint32_t own =
        GPOINTER_TO_UINT(g_hash_table_lookup(reports->reported, id));
    target->elsewhere = sum->in_flight > own ? sum->in_flight - own : 0;
    target->elsewhere_at_ms = now_ms;
    if (sum->service_us > 0) {
        target->shared_service_ms = sum->service_us / US_PER_MS;
    }
}

static float
demand_of(const struct rs_reports *reports, const char *id)
{
    const struct rs_fleet_target *target =
        RsFleet_Find(&reports->router->fleet, id);
    return target != NULL ? (float)target->demand_per_s : 0;
}

/* Fills `loads` with the sums of the targets that have work. */
static size_t
list_sums(struct rs_reports *reports, Rs__Peer__TargetLoad *loads)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    size_t count = 0;
    g_hash_table_iter_init(&iter, reports->sums);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const struct sum *sum = value;
        if (sum->in_flight > 0) {
            struct load mean = mean_of(sum);
            rs__peer__target_load__init(&loads[count]);
            loads[count].id = id;
            loads[count].in_flight = mean.in_flight;
            loads[count].service_us = mean.service_us;
            loads[count].demand_per_s = demand_of(reports, id);
            count++;
        }
    }
    return count;
}

/* The granter takes the sums without a datagram. */
static void
take_own_sums(struct rs_reports *reports, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    reset_elsewhere(reports, now_ms);
    g_hash_table_iter_init(&iter, reports->sums);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        struct load mean = mean_of(value);
        take_sum(reports, id, &mean, now_ms);
    }
}

/* A granter that has just begun has heard from few nodes. Until all have had
 * the time to report, it goes by the number that it was told before, since a
 * share of too few nodes would overstep the bounds of all. */
static uint32_t
count_nodes(const struct rs_reports *reports, int64_t now_ms)
{
    uint32_t heard = g_hash_table_size(reports->nodes);
    return now_ms < reports->least_until_ms ? MAX(heard, reports->least_nodes)
                                            : heard;
}

static void
begin_summing(struct rs_reports *reports, int64_t now_ms)
{
    reports->summing = true;
    reports->least_nodes = reports->router->share.nodes;
    reports->least_until_ms = now_ms + NODE_LIFETIME_MS;
}

/* Fills in some nodes at random, for the receiver to turn to when it loses the
 * granter. Returns how many. */
static size_t
name_peers(const struct rs_reports *reports, uint32_t peers[NAMED_PEERS])
{
    guint most = g_hash_table_size(reports->nodes);
    guint skipped = (guint)g_random_int_range(0, (gint32)MAX(most, 1));
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

static void
answer_report(struct rs_reports *reports, const Rs__Peer__Report *report,
              const struct sockaddr *from, int64_t now_ms)
{
    guint most = g_hash_table_size(reports->sums);
    Rs__Peer__TargetLoad *loads = g_new0(Rs__Peer__TargetLoad, most + 1);
    Rs__Peer__TargetLoad **list = g_new0(Rs__Peer__TargetLoad *, most + 1);
    Rs__Peer__Summary summary = RS__PEER__SUMMARY__INIT;
    summary.n_targets = list_sums(reports, loads);
    for (size_t i = 0; i < summary.n_targets; i++) {
        list[i] = &loads[i];
    }
    summary.targets = list;
    uint32_t peers[NAMED_PEERS];
    summary.n_peers = name_peers(reports, peers);
    summary.peers = peers;
    summary.incarnation = report->incarnation;
    summary.nodes = count_nodes(reports, now_ms);
    rank_node(reports, report->node, report->zone, &summary);
    if (from != NULL) {
        send_to(reports, from, &summary.base);
    }
    else {
        reports->router->share = share_of(&summary);
        take_own_sums(reports, now_ms);
    }
    g_free(loads);
    g_free(list);
}

/* A node's side: takes what the granter answered. */
static void
take_summary(struct rs_reports *reports, const Rs__Peer__Summary *summary,
             int64_t now_ms)
{
    struct rs_router *router = reports->router;
    if (summary->incarnation != reports->incarnation || summary->nodes == 0) {
        return;
    }
    router->share = share_of(summary);
    for (size_t i = 0; i < summary->n_peers; i++) {
        reports->on_peer(reports->arg, summary->peers[i]);
    }
    reset_elsewhere(reports, now_ms);
    for (size_t i = 0; i < summary->n_targets; i++) {
        const Rs__Peer__TargetLoad *item = summary->targets[i];
        const char *id = g_intern_string(item->id);
        const struct load sum = {item->in_flight, item->service_us};
        take_sum(reports, id, &sum, now_ms);
        struct rs_fleet_target *target = RsFleet_Find(&router->fleet, id);
        if (target != NULL) {
            target->demand_per_s = item->demand_per_s;
            target->demand_at_ms = now_ms;
        }
    }
}

/* The first byte of a report is the tag of its name, that of a summary the
 * tag of a number. */
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
    if (data[0] == REPORT_TAG) {
        Rs__Peer__Report *report =
            rs__peer__report__unpack(NULL, (size_t)size, data);
        if (report != NULL) {
            take_report(reports, report,
                        ((const struct sockaddr_in *)from)->sin_addr.s_addr,
                        now_ms);
            answer_report(reports, report, from, now_ms);
            rs__peer__report__free_unpacked(report, NULL);
        }
        return;
    }
    Rs__Peer__Summary *summary =
        rs__peer__summary__unpack(NULL, (size_t)size, data);
    if (summary != NULL) {
        take_summary(reports, summary, now_ms);
        rs__peer__summary__free_unpacked(summary, NULL);
    }
}

static void
give_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[MAX_DATAGRAM_BYTES + 1];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

/* Listens on the reports' port. Returns NULL when the port can't be had. */
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
    reports->sums =
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
        uv_udp_recv_start(&reports->socket, give_buffer, on_datagram) != 0) {
        return NULL;
    }
    return reports;
}

static size_t
fill_loads(struct rs_reports *reports, Rs__Peer__TargetLoad *loads)
{
    GHashTableIter iter;
    gpointer value;
    size_t count = 0;
    g_hash_table_remove_all(reports->reported);
    g_hash_table_iter_init(&iter, reports->router->fleet.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_fleet_target *target = value;
        if (target->in_flight == 0 && target->answers == 0) {
            continue;
        }
        rs__peer__target_load__init(&loads[count]);
        loads[count].id = (char *)target->id;
        loads[count].in_flight = target->in_flight;
        loads[count].service_us =
            target->answers > 0 ? (uint32_t)(target->service_ms * US_PER_MS)
                                : 0;
        g_hash_table_insert(reports->reported, (gpointer)target->id,
                            GUINT_TO_POINTER(target->in_flight));
        count++;
    }
    return count;
}

static size_t
fill_keys(struct rs_reports *reports, Rs__Peer__Report__ServiceKeys *keys)
{
    GHashTableIter iter;
    gpointer service;
    gpointer value;
    size_t count = 0;
    g_hash_table_iter_init(&iter, reports->router->used_keys);
    while (g_hash_table_iter_next(&iter, &service, &value)) {
        GArray *used = value;
        rs__peer__report__service_keys__init(&keys[count]);
        keys[count].service = service;
        keys[count].n_keys = MIN(used->len, MAX_KEYS);
        keys[count].keys = (uint32_t *)(void *)used->data;
        count++;
    }
    return count;
}

static void
forget_keys(struct rs_reports *reports)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reports->router->used_keys);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_array_set_size(value, 0);
    }
}

/* Sends the report to the granter, or takes it if this node is the one. */
void
RsReports_Report(struct rs_reports *reports, const struct sockaddr_in *granter,
                 int64_t now_ms)
{
    guint targets = g_hash_table_size(reports->router->fleet.targets);
    guint services = g_hash_table_size(reports->router->used_keys);
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
    report.n_targets = fill_loads(reports, loads);
    report.n_keys = fill_keys(reports, keys);
    for (size_t i = 0; i < report.n_targets; i++) {
        load_list[i] = &loads[i];
    }
    for (size_t i = 0; i < report.n_keys; i++) {
        key_list[i] = &keys[i];
    }
    report.targets = load_list;
    report.keys = key_list;
    if (granter != NULL) {
        reports->summing = false;
        send_to(reports, (const struct sockaddr *)granter, &report.base);
    }
    else {
        if (!reports->summing) {
            begin_summing(reports, now_ms);
        }
        drop_silent_nodes(reports, now_ms);
        take_report(reports, &report, 0, now_ms);
        answer_report(reports, &report, NULL, now_ms);
    }
    forget_keys(reports);
    g_free(loads);
    g_free(load_list);
    g_free(keys);
    g_free(key_list);
}
