#include "router/fixture.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reports and fleets. */

#define MAX_SERVICES 16

static void
ignore_reset(void *arg, struct rs_fleet_target *target)
{
}

static const struct rs_fleet_events fleet_events = {.reset = ignore_reset};

/* Returns event handlers that do nothing. */
const struct rs_fleet_events *
RsFixture_FleetEvents(void)
{
    return &fleet_events;
}

/* Has the configuration of a fleet name one more service. */
void
RsFixture_NameService(struct rs_fleet *fleet, const char *service)
{
    const char *names[MAX_SERVICES] = {g_intern_string(service)};
    size_t count = 1;
    GHashTableIter iter;
    gpointer name;
    if (fleet->services != NULL) {
        g_hash_table_iter_init(&iter, fleet->services);
        while (count < MAX_SERVICES &&
               g_hash_table_iter_next(&iter, &name, NULL)) {
            names[count++] = name;
        }
    }
    RsFleet_SetServices(fleet, names, count);
}

/* Encodes a report as targets do and applies it to a fleet as a row. Returns
 * the effect of the row. Its service is named by the configuration. */
enum rs_row_effect
RsFixture_Report(struct rs_fleet *fleet,
                 const struct rs_fixture_report *report, int64_t now_ms)
{
    if (fleet->services == NULL ||
        !g_hash_table_contains(fleet->services,
                               g_intern_string(report->service))) {
        RsFixture_NameService(fleet, report->service);
    }
    return RsFixture_ReportUnnamed(fleet, report, now_ms);
}

/* The same for a service that the configuration may not name. */
enum rs_row_effect
RsFixture_ReportUnnamed(struct rs_fleet *fleet,
                        const struct rs_fixture_report *report, int64_t now_ms)
{
    char text[512];
    snprintf(
        text, sizeof(text),
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"capacity\":2,\"state\":\"%s\","
        "\"warmup_left_ms\":%u,\"sequence\":%lu,\"born\":%ld}",
        report->service, report->port, report->zone,
        report->draining ? "draining" : "ready", report->warmup_left_ms,
        (unsigned long)report->sequence, (long)report->started_wall_ms);
    return RsFleet_ApplyRow(fleet, report->id, text, now_ms);
}

/* Initializes a fleet with targets "t0", "t1" and so on of service "s" in zone
 * "z". Stores them in `targets` in this order. */
void
RsFixture_InitFleet(struct rs_fleet *fleet, uint32_t target_count,
                    struct rs_fleet_target **targets, int64_t now_ms)
{
    RsFleet_Init(fleet, RsFixture_FleetEvents(), NULL);
    for (uint32_t t = 0; t < target_count; t++) {
        char id[16];
        snprintf(id, sizeof(id), "t%u", t);
        const struct rs_fixture_report report = {
            .id = id,
            .service = "s",
            .zone = "z",
            .port = 1000 + t,
            .started_wall_ms = 1,
            .sequence = 1,
        };
        RsFixture_Report(fleet, &report, now_ms);
        targets[t] = RsFleet_Find(fleet, g_intern_string(id));
    }
}

/* A simulation of nodes with a granter each, targets that hold keys, and a
 * store with versioned rows. Time is simulated, and a message takes DELAY_MS
 * unless a fault delays it. The simulation checks what targets hold. It is a
 * violation if two running targets hold the same key, or if a target gets a
 * key under a fence that is not higher than all fences under which other
 * targets, or former processes of this one, got it. */

#define DELAY_MS 2
#define TICK_MS 25
#define SERVICE "s"
#define MAX_EVENTS 4096
#define MAX_HOLDS 512
#define MAX_ROWS 64
#define MAX_WRITES 4 /* of a commit */
/* The store keeps copies of its rows, one for each COPY_EVERY_MS. */
#define COPIES 32
#define COPY_EVERY_MS 200
#define RESTORE_STEP_MS 500
#define RESTORE_STEPS 10
/* By how much the clocks of all targets run slow, which makes holds longer. */
#define CLOCK_SLOW_PERCENT 2
#define MAX_HOLD_MS 10000
#define CONNECT_TIMEOUT_MS 300
#define GRANT_TIMEOUT_MS 500
/* A grant arrives at most 3 s after it was given up. */
#define MAX_HOLD_UP_MS (GRANT_TIMEOUT_MS + 3000)
#define STRONG_STRENGTH 500
#define WEAK_STRENGTH 50

enum event_kind {
    CommitArrives,
    CommitAnswered,
    MapsAnswered,
    LeaseRead,
    OrderArrives,
    OrderAnswered,
};

struct row {
    char key[64];
    char table[32];
    char *value;
    uint64_t version;
};

struct event {
    int64_t at_ms;
    enum event_kind kind;
    uint32_t node;
    uint64_t process; /* of the node that sent or gets the event */
    struct rs_order order;
    uint64_t target_process; /* to which the order was sent */
    int status;              /* of a commit or an order */
    bool delayed;            /* a late grant, see RsFixture_GRANT_LATE */
    bool held_up;            /* see RsFixture_GRANT_HELD_UP */
    int64_t arrived_at_ms; /* of a delayed grant; its hold counts from here */
    char *lease_value;     /* unused */
    /* Rows to be written. The `version` of each is the version that the row
     * must have before the write. */
    struct row rows[MAX_WRITES];
    size_t row_count;
    uint64_t version;     /* of the store after a commit */
    uint32_t made_in_era; /* era that the node knew when it sent a commit */
    uint32_t era;         /* of the answer; if `answered` */
    bool answered;        /* the store has sent an answer */
};

struct hold {
    uint32_t first_key;
    uint32_t last_key;
    uint64_t fence;
    int64_t until_ms;
};

struct target {
    char id[16];
    int64_t started_wall_ms;
    uint64_t process;
    uint64_t opening; /* number of the connection to it */
    uint64_t sequence;
    struct hold holds[MAX_HOLDS];
    size_t hold_count;
    uint64_t seen_fence[RsKeymap_KEYS]; /* highest in any order for the key */
    int64_t hold_up_ms;       /* how long the next grant takes; 0: as usual */
    int64_t cut_off_until_ms; /* see RsFixture_TARGET_CUT_OFF */
    bool ended; /* another target, which isn't simulated, has its address */
};

struct simulated_node {
    struct rs_granter granter;
    struct rs_fleet fleet;
    uint64_t process;
    int64_t frozen_until_ms;
    int64_t refused_until_ms; /* by the store */
    uint32_t number;
    struct rs_simulation *sim;
    int64_t lease_read_at_ms; /* 0: not read yet */
    int64_t next_tick_at_ms;
};

/* The rows of the store at some time. */
struct copy {
    int64_t at_ms;
    struct row rows[MAX_ROWS];
    size_t row_count;
    uint64_t version;
};

struct rs_simulation {
    int64_t now_ms;
    int64_t next_report_at_ms;
    int64_t reports_from_ms; /* none come earlier */
    struct simulated_node nodes[RsFixture_NODES];
    struct target targets[RsFixture_TARGETS];
    struct row rows[MAX_ROWS];
    size_t row_count;
    uint64_t version;
    uint32_t era;
    bool tells_era_while_down;
    struct copy copies[COPIES]; /* a ring */
    size_t copy_count;
    int64_t next_copy_at_ms;
    struct event events[MAX_EVENTS];
    size_t event_count;
    int64_t store_down_until_ms;
    uint32_t pending_faults[RsFixture_FAULTS];
    int64_t grant_delay_ms;
    uint64_t process_count;
    uint64_t opening_count;
    bool nodes_are_equal; /* see RsSimulation_MakeNodesEqual() */
    /* Highest fence under which each key was granted, and the target to which
     * it was granted last. */
    uint64_t granted_fence[RsKeymap_KEYS];
    uint32_t granted_to[RsKeymap_KEYS];
    uint64_t granted_process[RsKeymap_KEYS];
    char violation[160];
};

/* Schedules an event. Returns NULL, and records a violation, when there are
 * too many. The pointer is valid until the next event is added or run. */
static struct event *
add_event(struct rs_simulation *sim, enum event_kind kind, int64_t delay_ms)
{
    if (sim->event_count == MAX_EVENTS) {
        snprintf(sim->violation, sizeof(sim->violation),
                 "the simulation has too many events");
        return NULL;
    }
    struct event *event = &sim->events[sim->event_count++];
    *event = (struct event){.at_ms = sim->now_ms + delay_ms, .kind = kind};
    return event;
}

/* Returns whether a fault of this kind is pending, and uses up one. */
static bool
consume_fault(struct rs_simulation *sim, enum rs_fixture_fault fault)
{
    if (sim->pending_faults[fault] == 0) {
        return false;
    }
    sim->pending_faults[fault]--;
    return true;
}

static struct row *
find_row(struct rs_simulation *sim, const char *table, const char *key)
{
    for (size_t i = 0; i < sim->row_count; i++) {
        if (strcmp(sim->rows[i].table, table) == 0 &&
            strcmp(sim->rows[i].key, key) == 0) {
            return &sim->rows[i];
        }
    }
    return NULL;
}

/* Granter actions of a simulated node (struct rs_granter_actions). */

static void
send_commit(void *arg, const struct rs_store_commit *commit)
{
    struct simulated_node *node = arg;
    struct event *event = add_event(node->sim, CommitArrives, DELAY_MS);
    if (event == NULL) {
        return;
    }
    event->node = node->number;
    event->process = node->process;
    event->made_in_era = node->granter.era;
    for (size_t i = 0; i < commit->write_count && i < MAX_WRITES; i++) {
        struct row *row = &event->rows[event->row_count++];
        g_strlcpy(row->key, commit->writes[i].key, sizeof(row->key));
        g_strlcpy(row->table, commit->writes[i].table, sizeof(row->table));
        row->value =
            g_strndup(commit->writes[i].value, commit->writes[i].value_bytes);
        row->version = RsStore_Number(commit->conditions[i].version);
    }
}

static void
load_maps(void *arg)
{
    struct simulated_node *node = arg;
    struct event *event = add_event(node->sim, MapsAnswered, 2 * DELAY_MS);
    if (event != NULL) {
        event->node = node->number;
        event->process = node->process;
    }
}

static struct target *
find_ordered_target(struct rs_simulation *sim, const struct rs_order *order)
{
    return &sim->targets[order->target_id[1] - '0'];
}

static struct event *
add_order_event(struct simulated_node *node, enum event_kind kind,
                const struct rs_order *order, int64_t delay_ms)
{
    struct event *event = add_event(node->sim, kind, delay_ms);
    if (event != NULL) {
        event->node = node->number;
        event->process = node->process;
        event->order = *order;
        event->order.grant.handover = NULL;
        event->target_process = find_ordered_target(node->sim, order)->process;
        if (!order->repeats_fence) {
            event->order.newest_opening = node->sim->opening_count;
        }
    }
    return event;
}

/* Sends a grant that is on its way for longer than the granter waits. */
static void
send_held_up(struct simulated_node *node, const struct rs_order *order,
             int64_t delay_ms)
{
    struct event *event = add_order_event(node, OrderArrives, order, delay_ms);
    if (event != NULL) {
        event->held_up = true;
    }
    event = add_order_event(node, OrderAnswered, order, GRANT_TIMEOUT_MS);
    if (event != NULL) {
        event->status = RsGranter_UNANSWERED;
    }
}

static void
send_order(void *arg, const struct rs_order *order)
{
    struct simulated_node *node = arg;
    struct rs_simulation *sim = node->sim;
    struct target *target = find_ordered_target(sim, order);
    if (order->repeats_fence && target->opening > order->newest_opening) {
        struct event *event =
            add_order_event(node, OrderAnswered, order, DELAY_MS);
        if (event != NULL) {
            event->status = RsGranter_NO_CONNECTION;
        }
        return;
    }
    if (!order->release && target->hold_up_ms > GRANT_TIMEOUT_MS) {
        send_held_up(node, order, target->hold_up_ms);
        target->hold_up_ms = 0;
    }
    else if (sim->now_ms < target->cut_off_until_ms) {
        struct event *event =
            add_order_event(node, OrderAnswered, order, CONNECT_TIMEOUT_MS);
        if (event != NULL) {
            event->status = RsGranter_NOT_SENT;
        }
    }
    else {
        add_order_event(node, OrderArrives, order, DELAY_MS);
    }
}

static void
ignore_owner(void *arg, const struct rs_owner *owner)
{
}

static const struct rs_granter_actions actions = {
    .commit = send_commit,
    .load_maps = load_maps,
    .order = send_order,
    .owner = ignore_owner,
};

/* Simulation of the store. */

static bool
conditions_hold(struct rs_simulation *sim, const struct event *event)
{
    for (size_t i = 0; i < event->row_count; i++) {
        const struct row *row =
            find_row(sim, event->rows[i].table, event->rows[i].key);
        if ((row != NULL ? row->version : 0) != event->rows[i].version) {
            return false;
        }
    }
    return true;
}

static void
apply_writes(struct rs_simulation *sim, struct event *event)
{
    sim->version++;
    for (size_t i = 0; i < event->row_count; i++) {
        struct row *row =
            find_row(sim, event->rows[i].table, event->rows[i].key);
        if (row == NULL) {
            assert(sim->row_count < MAX_ROWS);
            row = &sim->rows[sim->row_count++];
            *row = event->rows[i];
            row->value = NULL;
        }
        g_free(row->value);
        row->value = g_strdup(event->rows[i].value);
        row->version = sim->version;
    }
}

/* Returns whether the store refuses the calls of a node. */
static bool
is_refused(const struct rs_simulation *sim, uint32_t node)
{
    return sim->now_ms < sim->store_down_until_ms ||
           sim->now_ms < sim->nodes[node].refused_until_ms;
}

static void
commit_arrives(struct rs_simulation *sim, struct event event)
{
    bool down = is_refused(sim, event.node);
    bool holds = !down && conditions_hold(sim, &event);
    if (holds) {
        apply_writes(sim, &event);
    }
    bool lost = !down && consume_fault(sim, RsFixture_COMMIT_ANSWER_LOST);
    struct event *answer =
        add_event(sim, CommitAnswered, lost || down ? 400 : DELAY_MS);
    if (answer == NULL) {
        return;
    }
    answer->node = event.node;
    answer->process = event.process;
    answer->version = RsStore_Version(sim->era, sim->version);
    answer->made_in_era = event.made_in_era;
    answer->era = sim->era;
    answer->answered = !lost && (!down || sim->tells_era_while_down);
    answer->status = down    ? RsStore_REFUSED
                     : lost  ? RsStore_UNANSWERED
                     : holds ? RsStore_DONE
                             : RsStore_CONFLICT;
}

static int
compare_keys(const void *a, const void *b)
{
    const struct rs_store_row *left = a;
    const struct rs_store_row *right = b;
    return strcmp(left->key, right->key);
}

/* Fills in the rows of a table, or of all tables, by ascending key. */
static size_t
list_rows(struct rs_simulation *sim, struct rs_store_row *rows,
          const char *table)
{
    size_t count = 0;
    for (size_t i = 0; i < sim->row_count; i++) {
        const struct row *row = &sim->rows[i];
        if (table == NULL || strcmp(row->table, table) == 0) {
            rows[count++] = (struct rs_store_row){
                .table = (char *)row->table,
                .key = (char *)row->key,
                .value = row->value,
                .value_bytes = strlen(row->value),
                .version = RsStore_Version(sim->era, row->version),
            };
        }
    }
    qsort(rows, count, sizeof(*rows), compare_keys);
    return count;
}

/* Passes the answer to a commit to a node. Answers of another era than that in
 * which the commit was made count as none, as in platform/store.c. */
static void
deliver_commit_answer(struct rs_simulation *sim, struct simulated_node *node,
                      const struct event *event, struct rs_store_rows *rows)
{
    enum rs_store_status status = (enum rs_store_status)event->status;
    if (event->answered) {
        RsGranter_EraSeen(&node->granter, event->era, sim->now_ms);
        if (event->era != event->made_in_era ||
            event->era < node->granter.era) {
            status = RsStore_UNANSWERED;
        }
    }
    if (status == RsStore_CONFLICT) {
        rows->count = list_rows(sim, rows->rows, NULL);
    }
    RsGranter_CommitAnswered(&node->granter, status, rows, sim->now_ms);
}

static void
deliver_store_response(struct rs_simulation *sim, struct simulated_node *node,
                       const struct event *event)
{
    struct rs_store_row list[MAX_ROWS];
    struct rs_store_rows rows = {.rows = list, .version = event->version};
    bool down = is_refused(sim, event->node);
    if (event->kind == CommitAnswered) {
        deliver_commit_answer(sim, node, event, &rows);
        return;
    }
    if (!down || sim->tells_era_while_down) {
        RsGranter_EraSeen(&node->granter, sim->era, sim->now_ms);
    }
    if (event->kind == MapsAnswered) {
        rows.count = list_rows(sim, list, RsGranter_MAP_TABLE);
        RsGranter_MapsLoaded(&node->granter,
                             down ? RsStore_REFUSED : RsStore_DONE, &rows,
                             sim->now_ms);
    }
    else if (!down) {
        rows.count = list_rows(sim, list, RsGranter_LEASE_TABLE);
        rows.version = RsStore_Version(sim->era, sim->version);
        (void)RsGranter_LeaseRowsRead(&node->granter, &rows, sim->now_ms);
    }
}

static void
free_rows(struct row *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_free(rows[i].value);
    }
}

static void
copy_rows(struct row *to, const struct row *from, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        to[i] = from[i];
        to[i].value = g_strdup(from[i].value);
    }
}

/* Makes a copy of the store if one is due. */
static void
copy_store(struct rs_simulation *sim)
{
    if (sim->now_ms < sim->next_copy_at_ms) {
        return;
    }
    sim->next_copy_at_ms = sim->now_ms + COPY_EVERY_MS;
    struct copy *copy = &sim->copies[sim->copy_count++ % COPIES];
    free_rows(copy->rows, copy->row_count);
    copy->at_ms = sim->now_ms;
    copy->row_count = sim->row_count;
    copy->version = sim->version;
    copy_rows(copy->rows, sim->rows, sim->row_count);
}

/* Sets the store back to a copy that is at least `age_ms` old, or to the
 * oldest one, and begins a new era. */
static void
restore_store(struct rs_simulation *sim, int64_t age_ms)
{
    size_t count = MIN(sim->copy_count, (size_t)COPIES);
    const struct copy *best = NULL;
    for (size_t i = 0; i < count; i++) {
        const struct copy *copy = &sim->copies[i];
        bool old_enough = copy->at_ms <= sim->now_ms - age_ms;
        bool best_old_enough =
            best != NULL && best->at_ms <= sim->now_ms - age_ms;
        bool better =
            old_enough ? !best_old_enough || copy->at_ms > best->at_ms
                       : best == NULL ||
                             (!best_old_enough && copy->at_ms < best->at_ms);
        best = better ? copy : best;
    }
    if (best == NULL) {
        return;
    }
    free_rows(sim->rows, sim->row_count);
    copy_rows(sim->rows, best->rows, best->row_count);
    sim->row_count = best->row_count;
    sim->version = best->version;
    sim->era++;
}

/* Targets. */

static bool
covers(const struct hold *hold, uint32_t key, int64_t now_ms)
{
    return hold->first_key <= key && key <= hold->last_key &&
           now_ms < hold->until_ms;
}

/* Removes keys from what the target holds. */
static void
drop_keys(struct target *target, uint32_t first_key, uint32_t last_key)
{
    size_t count = target->hold_count;
    for (size_t i = 0; i < count; i++) {
        struct hold *hold = &target->holds[i];
        if (hold->last_key < first_key || last_key < hold->first_key) {
            continue;
        }
        if (hold->last_key > last_key && target->hold_count < MAX_HOLDS) {
            target->holds[target->hold_count] = *hold;
            target->holds[target->hold_count++].first_key = last_key + 1;
        }
        if (hold->first_key < first_key) {
            hold->last_key = first_key - 1;
        }
        else {
            hold->until_ms = 0;
        }
    }
}

static void
drop_expired(struct target *target, int64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < target->hold_count; i++) {
        if (now_ms < target->holds[i].until_ms) {
            target->holds[kept++] = target->holds[i];
        }
    }
    target->hold_count = kept;
}

/* Records a violation when a key of the new hold was granted to another target
 * or process under the same or a higher fence, or when another target still
 * holds it. */
static void
check_grant(struct rs_simulation *sim, uint32_t number,
            const struct hold *hold)
{
    uint64_t process = sim->targets[number].process;
    for (uint32_t key = hold->first_key; key <= hold->last_key; key++) {
        if (sim->granted_fence[key] >= hold->fence &&
            (sim->granted_to[key] != number ||
             sim->granted_process[key] != process)) {
            snprintf(
                sim->violation, sizeof(sim->violation),
                "key %u was granted to target %u under fence %lu, but another "
                "process or target %u had it under that fence or a higher one",
                key, number, (unsigned long)hold->fence, sim->granted_to[key]);
        }
        sim->granted_fence[key] = MAX(sim->granted_fence[key], hold->fence);
        sim->granted_to[key] = number;
        sim->granted_process[key] = process;
    }
    for (uint32_t i = 0; i < RsFixture_TARGETS; i++) {
        const struct target *other = &sim->targets[i];
        for (size_t k = 0; i != number && k < other->hold_count; k++) {
            const struct hold *other_hold = &other->holds[k];
            if (sim->now_ms < other_hold->until_ms &&
                other_hold->first_key <= hold->last_key &&
                hold->first_key <= other_hold->last_key) {
                snprintf(sim->violation, sizeof(sim->violation),
                         "targets %u and %u hold keys %u to %u", i, number,
                         MAX(other_hold->first_key, hold->first_key),
                         MIN(other_hold->last_key, hold->last_key));
            }
        }
    }
}

static bool
saw_higher_fence(const struct target *target, const struct rs_order *order)
{
    for (uint32_t key = order->grant.first_key; key <= order->grant.last_key;
         key++) {
        if (target->seen_fence[key] > order->grant.fence) {
            return true;
        }
    }
    return false;
}

/* Applies an order at the target and returns the HTTP status. The hold of a
 * grant counts from `arrived_at_ms`. */
static int
apply_order(struct rs_simulation *sim, uint32_t number,
            const struct rs_order *order, int64_t arrived_at_ms)
{
    struct target *target = &sim->targets[number];
    bool stale = saw_higher_fence(target, order);
    if (order->release || !stale) {
        drop_keys(target, order->grant.first_key, order->grant.last_key);
    }
    drop_expired(target, sim->now_ms);
    for (uint32_t key = order->grant.first_key; key <= order->grant.last_key;
         key++) {
        target->seen_fence[key] =
            MAX(target->seen_fence[key], order->grant.fence);
    }
    if (order->release) {
        return RsWire_GRANTED;
    }
    if (stale) {
        return RsWire_STALE_FENCE;
    }
    const struct hold hold = {
        .first_key = order->grant.first_key,
        .last_key = order->grant.last_key,
        .fence = order->grant.fence,
        .until_ms = arrived_at_ms + (int64_t)order->grant.hold_ms *
                                        (100 + CLOCK_SLOW_PERCENT) / 100,
    };
    if (sim->now_ms < hold.until_ms && target->hold_count < MAX_HOLDS) {
        check_grant(sim, number, &hold);
        target->holds[target->hold_count++] = hold;
    }
    return RsWire_GRANTED;
}

static void
answer_order(struct rs_simulation *sim, const struct event *event, int status,
             int64_t delay_ms)
{
    struct event *answer = add_event(sim, OrderAnswered, delay_ms);
    if (answer != NULL) {
        answer->node = event->node;
        answer->process = event->process;
        answer->order = event->order;
        answer->status = status;
    }
}

static void
order_arrives(struct rs_simulation *sim, struct event event)
{
    const struct rs_order *order = &event.order;
    uint32_t number = (uint32_t)(order->target_id[1] - '0');
    if (event.target_process != sim->targets[number].process) {
        /* The connection ended with the process. */
        if (!event.delayed && !event.held_up) {
            answer_order(sim, &event, RsGranter_UNANSWERED, DELAY_MS);
        }
        return;
    }
    if (event.delayed) {
        /* The granter saw no answer to this order, which takes effect only
         * now. */
        apply_order(sim, number, order, event.arrived_at_ms);
        return;
    }
    if (sim->targets[number].ended) {
        answer_order(sim, &event, RsWire_MISDIRECTED, DELAY_MS);
        return;
    }
    if (event.held_up) {
        apply_order(sim, number, order, sim->now_ms);
        return;
    }
    if (!order->release && consume_fault(sim, RsFixture_GRANT_LATE)) {
        struct event *late = add_event(sim, OrderArrives, sim->grant_delay_ms);
        if (late != NULL) {
            int64_t at_ms = late->at_ms;
            *late = event;
            late->at_ms = at_ms;
            late->delayed = true;
            late->arrived_at_ms = sim->now_ms;
        }
        answer_order(sim, &event, RsGranter_UNANSWERED, GRANT_TIMEOUT_MS);
        return;
    }
    int status = apply_order(sim, number, order, sim->now_ms);
    bool lost = order->release
                    ? consume_fault(sim, RsFixture_RELEASE_ANSWER_LOST)
                    : consume_fault(sim, RsFixture_GRANT_ANSWER_LOST);
    answer_order(sim, &event, lost ? RsGranter_UNANSWERED : status,
                 lost ? GRANT_TIMEOUT_MS : DELAY_MS);
}

/* Running the simulation. */

/* Starts a node, or restarts it with a new process. */
static void
start_node(struct rs_simulation *sim, uint32_t number)
{
    struct simulated_node *node = &sim->nodes[number];
    static const char *const names[] = {"n0", "n1", "n2"};
    for (size_t i = 0; i < node->granter.map_count; i++) {
        RsKeymap_Free(node->granter.maps[i].map);
    }
    node->sim = sim;
    node->number = number;
    node->process = ++sim->process_count;
    node->lease_read_at_ms = 0;
    const struct rs_granter_options options = {
        .node = names[number],
        .peer_host = "127.0.0.1",
        .peer_port = 1,
        .incarnation = node->process,
        .bootstrap = node->process <= RsFixture_NODES,
        .max_hold_ms = MAX_HOLD_MS,
        .strength =
            number == RsFixture_STRONG_NODE ? STRONG_STRENGTH : WEAK_STRENGTH,
        .actions = &actions,
        .arg = node,
        .fleet = &node->fleet,
    };
    RsGranter_Init(&node->granter, &options);
}

static void
report_targets(struct rs_simulation *sim)
{
    for (uint32_t i = 0; i < RsFixture_TARGETS; i++) {
        struct target *target = &sim->targets[i];
        if (target->ended) {
            continue;
        }
        target->sequence++;
        const struct rs_fixture_report report = {
            .id = target->id,
            .service = SERVICE,
            .zone = "z",
            .port = 1000 + i,
            .started_wall_ms = target->started_wall_ms,
            .sequence = target->sequence,
        };
        for (uint32_t k = 0; k < RsFixture_NODES; k++) {
            RsFixture_Report(&sim->nodes[k].fleet, &report, sim->now_ms);
        }
    }
}

/* Creates a simulation in which all nodes and targets have just started. The
 * caller frees it with RsSimulation_Free(). */
struct rs_simulation *
RsSimulation_New(void)
{
    struct rs_simulation *sim = g_new0(struct rs_simulation, 1);
    sim->now_ms = 1000;
    sim->grant_delay_ms = 3000;
    for (uint32_t i = 0; i < RsFixture_TARGETS; i++) {
        struct target *target = &sim->targets[i];
        snprintf(target->id, sizeof(target->id), "t%u", i);
        target->started_wall_ms = 1 + i;
        target->opening = ++sim->opening_count;
    }
    for (uint32_t i = 0; i < RsFixture_NODES; i++) {
        RsFleet_Init(&sim->nodes[i].fleet, &fleet_events, NULL);
        start_node(sim, i);
    }
    return sim;
}

static void
free_event(struct event *event)
{
    for (size_t i = 0; i < event->row_count; i++) {
        g_free(event->rows[i].value);
    }
}

/* Frees a simulation. */
void
RsSimulation_Free(struct rs_simulation *sim)
{
    for (size_t i = 0; i < sim->event_count; i++) {
        free_event(&sim->events[i]);
    }
    free_rows(sim->rows, sim->row_count);
    for (size_t i = 0; i < COPIES; i++) {
        free_rows(sim->copies[i].rows, sim->copies[i].row_count);
    }
    for (uint32_t i = 0; i < RsFixture_NODES; i++) {
        struct simulated_node *node = &sim->nodes[i];
        for (size_t k = 0; k < node->granter.map_count; k++) {
            RsKeymap_Free(node->granter.maps[k].map);
        }
        RsFleet_Clear(&node->fleet);
    }
    g_free(sim);
}

/* Returns whether the event is handled by the node rather than by the store or
 * a target. */
static bool
is_for_node(enum event_kind kind)
{
    return kind != CommitArrives && kind != OrderArrives;
}

static void
run_event(struct rs_simulation *sim, struct event event)
{
    struct simulated_node *node = &sim->nodes[event.node];
    if (is_for_node(event.kind) && event.process != node->process) {
        return;
    }
    switch (event.kind) {
    case CommitArrives:
        commit_arrives(sim, event);
        break;
    case OrderArrives:
        order_arrives(sim, event);
        break;
    case OrderAnswered:
        RsGranter_OrderAnswered(&node->granter, &event.order, event.status,
                                NULL, sim->now_ms);
        break;
    default:
        deliver_store_response(sim, node, &event);
    }
}

/* Runs all events that are due. Events for a frozen node wait until the
 * node resumes. */
static void
run_events(struct rs_simulation *sim)
{
    for (size_t i = 0; i < sim->event_count;) {
        struct event *event = &sim->events[i];
        const struct simulated_node *node = &sim->nodes[event->node];
        bool frozen =
            is_for_node(event->kind) && sim->now_ms < node->frozen_until_ms;
        if (event->at_ms > sim->now_ms || frozen) {
            i++;
            continue;
        }
        struct event due = *event;
        memmove(event, event + 1, (sim->event_count - i - 1) * sizeof(*event));
        sim->event_count--;
        run_event(sim, due);
        free_event(&due);
        i = 0;
    }
}

static void
tick_node(struct rs_simulation *sim, struct simulated_node *node)
{
    if (sim->now_ms < node->frozen_until_ms ||
        sim->now_ms < node->next_tick_at_ms) {
        return;
    }
    node->next_tick_at_ms = sim->now_ms + TICK_MS;
    if (node->granter.phase == RsGranter_OBSERVING &&
        (sim->nodes_are_equal ||
         RsGranter_LeaseReadIsDue(&node->granter, node->lease_read_at_ms,
                                  false, sim->now_ms))) {
        node->lease_read_at_ms = sim->now_ms;
        struct event *event = add_event(sim, LeaseRead, 2 * DELAY_MS);
        if (event != NULL) {
            event->node = node->number;
            event->process = node->process;
        }
    }
    RsGranter_Tick(&node->granter, sim->now_ms);
}

/* Gives all nodes the same strength, and has them learn of changes of the
 * lease at once, as from an upstream node. Restarts undo the first. */
void
RsSimulation_MakeNodesEqual(struct rs_simulation *sim)
{
    sim->nodes_are_equal = true;
    for (uint32_t i = 0; i < RsFixture_NODES; i++) {
        sim->nodes[i].granter.options.strength = STRONG_STRENGTH;
    }
}

/* Makes the store name its era also in the answers by which it refuses calls.
 */
void
RsSimulation_TellEraOfNextRestore(struct rs_simulation *sim)
{
    sim->tells_era_while_down = true;
}

/* Advances the simulated time by `span_ms` and runs what is due in it. */
void
RsSimulation_Advance(struct rs_simulation *sim, int64_t span_ms)
{
    int64_t end_at_ms = sim->now_ms + span_ms;
    while (sim->now_ms < end_at_ms) {
        sim->now_ms++;
        if (sim->now_ms >= MAX(sim->next_report_at_ms, sim->reports_from_ms)) {
            sim->next_report_at_ms = sim->now_ms + 800;
            report_targets(sim);
        }
        copy_store(sim);
        run_events(sim);
        for (uint32_t i = 0; i < RsFixture_NODES; i++) {
            tick_node(sim, &sim->nodes[i]);
        }
    }
}

/* Injects a fault. A fault of messages takes effect at the next message of its
 * kind, any other fault at once. `which` selects the node or target, if the
 * fault concerns one, or for how many times half a second a store that will be
 * restored is away, up to nine. `for_ms` is how long the fault lasts, by how
 * much the grant is late, how long it takes to arrive or how old the copy is
 * at least; other faults ignore it. */
void
RsSimulation_InjectFault(struct rs_simulation *sim,
                         enum rs_fixture_fault fault, uint32_t which,
                         int64_t for_ms)
{
    struct simulated_node *node = &sim->nodes[which % RsFixture_NODES];
    struct target *target = &sim->targets[which % RsFixture_TARGETS];
    switch (fault) {
    case RsFixture_STORE_DOWN:
        sim->store_down_until_ms = sim->now_ms + for_ms;
        break;
    case RsFixture_NODE_RESTARTED:
        start_node(sim, node->number);
        break;
    case RsFixture_NODE_FROZEN:
        node->frozen_until_ms = sim->now_ms + for_ms;
        break;
    case RsFixture_NODE_REFUSED:
        node->refused_until_ms = sim->now_ms + for_ms;
        break;
    case RsFixture_TARGET_RESTARTED:
        target->started_wall_ms = sim->now_ms;
        target->process++;
        target->opening = ++sim->opening_count;
        target->sequence = 0;
        target->hold_count = 0;
        memset(target->seen_fence, 0, sizeof(target->seen_fence));
        sim->next_report_at_ms = sim->now_ms + 100;
        break;
    case RsFixture_NODE_RESIGNED:
        RsGranter_Resign(&node->granter, sim->now_ms);
        break;
    case RsFixture_STORE_RESTORED:
        restore_store(sim, for_ms);
        sim->store_down_until_ms =
            sim->now_ms + which % RESTORE_STEPS * RESTORE_STEP_MS;
        break;
    case RsFixture_GRANT_LATE:
        sim->grant_delay_ms = for_ms;
        sim->pending_faults[fault]++;
        break;
    case RsFixture_GRANT_HELD_UP:
        target->hold_up_ms = MIN(for_ms, (int64_t)MAX_HOLD_UP_MS);
        break;
    case RsFixture_TARGET_CUT_OFF:
        target->cut_off_until_ms = sim->now_ms + for_ms;
        target->opening = ++sim->opening_count;
        break;
    default:
        sim->pending_faults[fault]++;
    }
}

/* Lets no reports of targets reach the nodes for some time. */
void
RsSimulation_DelayReports(struct rs_simulation *sim, int64_t for_ms)
{
    sim->reports_from_ms = sim->now_ms + for_ms;
}

/* Lists another target, which no map names, at the address of a target. */
void
RsSimulation_ListAtAddress(struct rs_simulation *sim, uint32_t number)
{
    const struct rs_fixture_report report = {
        .id = "other",
        .service = SERVICE,
        .zone = "z",
        .port = 1000 + number,
        .started_wall_ms = sim->now_ms,
        .sequence = 1,
    };
    for (uint32_t k = 0; k < RsFixture_NODES; k++) {
        RsFixture_Report(&sim->nodes[k].fleet, &report, sim->now_ms);
    }
}

/* Ends a target and starts another one at its address. */
void
RsSimulation_ReplaceTarget(struct rs_simulation *sim, uint32_t number)
{
    sim->targets[number].hold_count = 0;
    sim->targets[number].ended = true;
    RsSimulation_ListAtAddress(sim, number);
}

static void
overwrite_rows(struct rs_simulation *sim, const char *table, const char *value)
{
    sim->version++;
    for (size_t i = 0; i < sim->row_count; i++) {
        struct row *row = &sim->rows[i];
        if (strcmp(row->table, table) == 0) {
            g_free(row->value);
            row->value = g_strdup(value);
            row->version = sim->version;
        }
    }
}

static void
delete_rows(struct rs_simulation *sim, const char *table)
{
    sim->version++;
    for (size_t i = 0; i < sim->row_count;) {
        if (strcmp(sim->rows[i].table, table) == 0) {
            g_free(sim->rows[i].value);
            sim->rows[i] = sim->rows[--sim->row_count];
        }
        else {
            i++;
        }
    }
}

/* Deletes the row of the key map. */
void
RsSimulation_DeleteMap(struct rs_simulation *sim)
{
    delete_rows(sim, RsGranter_MAP_TABLE);
}

/* Deletes the lease row. */
void
RsSimulation_DeleteLease(struct rs_simulation *sim)
{
    delete_rows(sim, RsGranter_LEASE_TABLE);
}

/* Replaces the value of the row of the key map. */
void
RsSimulation_OverwriteMap(struct rs_simulation *sim, const char *value)
{
    overwrite_rows(sim, RsGranter_MAP_TABLE, value);
}

/* Replaces the value of the lease row. */
void
RsSimulation_OverwriteLease(struct rs_simulation *sim, const char *value)
{
    overwrite_rows(sim, RsGranter_LEASE_TABLE, value);
}

/* Returns the index of the node that is the granter and may change owners, or
 * -1. */
int
RsSimulation_FindGranter(const struct rs_simulation *sim)
{
    for (int i = 0; i < RsFixture_NODES; i++) {
        if (sim->now_ms >= sim->nodes[i].frozen_until_ms &&
            RsGranter_MayPlan(&sim->nodes[i].granter, sim->now_ms)) {
            return i;
        }
    }
    return -1;
}

/* Tells the granter, if there is one, the strength of the strong node. */
void
RsSimulation_YieldIfStronger(struct rs_simulation *sim)
{
    int granter_index = RsSimulation_FindGranter(sim);
    if (granter_index >= 0) {
        RsGranter_YieldIfStronger(&sim->nodes[granter_index].granter,
                                  STRONG_STRENGTH, sim->now_ms);
    }
}

/* Has the granter assign keys to a target, after merging ranges. Moves no keys
 * when there is no granter, the map has uncommitted changes or too many
 * ranges, or the keys can't move now. */
void
RsSimulation_MoveKeys(struct rs_simulation *sim, uint32_t first_key,
                      uint32_t last_key, uint32_t number)
{
    int granter_index = RsSimulation_FindGranter(sim);
    if (granter_index < 0) {
        return;
    }
    struct rs_granter *granter = &sim->nodes[granter_index].granter;
    const char *service = g_intern_string(SERVICE);
    struct rs_granter_map *entry = RsGranter_FindMap(granter, service);
    if (entry == NULL) {
        entry = RsGranter_AddMap(granter, service);
    }
    const struct target *target = &sim->targets[number % RsFixture_TARGETS];
    const struct rs_owner owner = {.id = g_intern_string(target->id),
                                   .started_wall_ms = target->started_wall_ms};
    if (entry->dirty || entry->in_commit) {
        return;
    }
    entry->dirty = RsKeymap_MergeRanges(entry->map) > 0;
    if (entry->map->ranges->len < MAX_HOLDS / 8 &&
        RsKeymap_Move(entry->map, first_key, last_key, &owner)) {
        entry->dirty = true;
    }
}

/* Returns a description of the last violation, or NULL. The simulation owns
 * the text. */
const char *
RsSimulation_Violation(const struct rs_simulation *sim)
{
    return sim->violation[0] != '\0' ? sim->violation : NULL;
}

/* Returns whether there was no violation; prints it otherwise. */
bool
RsSimulation_IsSound(const struct rs_simulation *sim)
{
    const char *violation = RsSimulation_Violation(sim);
    if (violation != NULL) {
        fprintf(stderr, "%s\n", violation);
    }
    return violation == NULL;
}

/* Returns how many keys are held by at least one target. */
uint32_t
RsSimulation_CountHeldKeys(const struct rs_simulation *sim)
{
    uint32_t held_count = 0;
    for (uint32_t key = 0; key < RsKeymap_KEYS; key++) {
        bool held = false;
        for (uint32_t i = 0; i < RsFixture_TARGETS && !held; i++) {
            const struct target *target = &sim->targets[i];
            for (size_t k = 0; k < target->hold_count && !held; k++) {
                held = covers(&target->holds[k], key, sim->now_ms);
            }
        }
        held_count += held;
    }
    return held_count;
}

/* Returns whether a target holds a key. */
bool
RsSimulation_Holds(const struct rs_simulation *sim, uint32_t number,
                   uint32_t key)
{
    const struct target *target = &sim->targets[number];
    for (size_t i = 0; i < target->hold_count; i++) {
        if (covers(&target->holds[i], key, sim->now_ms)) {
            return true;
        }
    }
    return false;
}

/* Returns the simulated time in ms. */
int64_t
RsSimulation_NowMs(const struct rs_simulation *sim)
{
    return sim->now_ms;
}

/* Creates a simulation in which one target holds all keys. With `equal_nodes`,
 * see RsSimulation_MakeNodesEqual(). The caller frees it. */
struct rs_simulation *
RsSimulation_NewSettled(uint32_t target, bool equal_nodes)
{
    struct rs_simulation *sim = RsSimulation_New();
    if (equal_nodes) {
        RsSimulation_MakeNodesEqual(sim);
    }
    RsSimulation_Advance(sim, 500);
    RsSimulation_MoveKeys(sim, 0, RsKeymap_KEYS - 1, target);
    RsSimulation_Advance(sim, 300);
    assert(RsSimulation_CountHeldKeys(sim) == RsKeymap_KEYS);
    return sim;
}
