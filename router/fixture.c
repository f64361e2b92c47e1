#include "router/fixture.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

/* Reports and fleets. */

static void
ignore_reset(void *arg, struct rs_fleet_target *target)
{
}

static const struct rs_fleet_events fleet_events = {.reset = ignore_reset};

/* Returns events that do nothing. */
const struct rs_fleet_events *
RsFixture_FleetEvents(void)
{
    return &fleet_events;
}

/* Gives a fleet a row as a target writes it. */
enum rs_rows_news
RsFixture_Report(struct rs_fleet *fleet,
                 const struct rs_fixture_report *report, int64_t now_ms)
{
    char text[512];
    snprintf(
        text, sizeof(text),
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"capacity\":2,\"state\":\"%s\","
        "\"warmup_left_ms\":%u,\"sequence\":%lu,\"born\":%ld}",
        report->service, report->port, report->zone,
        report->draining ? "draining" : "ready", report->cold_left_ms,
        (unsigned long)report->sequence, (long)report->born_ms);
    return RsFleet_TakeRow(fleet, report->id, text, now_ms);
}

/* The world: nodes with a granter each, targets that hold keys, a store with
 * rows and versions. Time is simulated; every message takes DELAY_MS. The
 * oracle looks at what targets hold: two that are up and hold the same key,
 * or a key taken under a fence that is not above all that other targets had
 * it with, is a violation. */

#define DELAY_MS 2
#define TICK_MS 25
#define SERVICE "s"
#define MAX_EVENTS 4096
#define MAX_HOLDS 512
#define MAX_ROWS 4
#define CLOCK_SLOW_PERCENT 2 /* of targets: holds last longer there */
#define MAX_HOLD_MS 10000
#define STRONG_STRENGTH 500
#define WEAK_STRENGTH 50

enum event_kind {
    RsWorld_COMMIT_ARRIVES,
    RsWorld_COMMIT_ANSWERED,
    RsWorld_MAPS_ANSWERED,
    RsWorld_LEASE_READ,
    RsWorld_ORDER_ARRIVES,
    RsWorld_ORDER_ANSWERED,
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
    uint64_t life; /* of the node that it is for */
    struct rs_order order;
    int status;
    bool answered;
    int64_t arrival_ms; /* from which a grant's time counts */
    char *lease_value;
    struct row rows[MAX_ROWS]; /* a commit's writes, with conditions */
    size_t row_count;
    uint64_t version;
};

struct hold {
    uint32_t first_key;
    uint32_t last_key;
    uint64_t fence;
    int64_t until_ms;
};

struct target {
    char id[16];
    int64_t born_ms;
    uint64_t sequence;
    struct hold holds[MAX_HOLDS];
    size_t hold_count;
    uint64_t seen_fence[RsKeymap_KEYS]; /* highest of any order */
};

struct world_node {
    struct rs_granter granter;
    struct rs_fleet fleet;
    uint64_t life;
    int64_t frozen_until_ms;
    uint32_t number;
    struct rs_world *world;
    int64_t read_ms;
    int64_t next_tick_ms;
};

struct rs_world {
    int64_t now_ms;
    int64_t next_report_ms;
    struct world_node nodes[RsFixture_NODES];
    struct target targets[RsFixture_TARGETS];
    struct row rows[MAX_ROWS];
    size_t row_count;
    uint64_t version;
    struct event events[MAX_EVENTS];
    size_t event_count;
    int64_t store_down_until_ms;
    uint32_t lose[RsFixture_FAULTS];
    int64_t late_ms;
    uint64_t lives;
    /* Highest fence, and its target, with which each key was taken. */
    uint64_t taken_fence[RsKeymap_KEYS];
    uint32_t taken_by[RsKeymap_KEYS];
    char violation[160];
};

static struct event *
post(struct rs_world *world, enum event_kind kind, int64_t delay_ms)
{
    if (world->event_count == MAX_EVENTS) {
        snprintf(world->violation, sizeof(world->violation),
                 "the world has too many events");
        return NULL;
    }
    struct event *event = &world->events[world->event_count++];
    *event = (struct event){.at_ms = world->now_ms + delay_ms, .kind = kind};
    return event;
}

static bool
take_loss(struct rs_world *world, enum rs_fixture_fault fault)
{
    if (world->lose[fault] == 0) {
        return false;
    }
    world->lose[fault]--;
    return true;
}

static struct row *
find_row(struct rs_world *world, const char *table, const char *key)
{
    for (size_t i = 0; i < world->row_count; i++) {
        if (strcmp(world->rows[i].table, table) == 0 &&
            strcmp(world->rows[i].key, key) == 0) {
            return &world->rows[i];
        }
    }
    return NULL;
}

/* Actions of a node's granter. */

static void
commit(void *arg, const struct rs_store_commit *commit)
{
    struct world_node *node = arg;
    struct event *event = post(node->world, RsWorld_COMMIT_ARRIVES, DELAY_MS);
    if (event == NULL) {
        return;
    }
    event->node = node->number;
    event->life = node->life;
    for (size_t i = 0; i < commit->write_count && i < MAX_ROWS; i++) {
        struct row *row = &event->rows[event->row_count++];
        g_strlcpy(row->key, commit->writes[i].key, sizeof(row->key));
        g_strlcpy(row->table, commit->writes[i].table, sizeof(row->table));
        row->value =
            g_strndup(commit->writes[i].value, commit->writes[i].value_bytes);
        row->version = commit->conditions[i].version;
    }
}

static void
load_maps(void *arg)
{
    struct world_node *node = arg;
    struct event *event =
        post(node->world, RsWorld_MAPS_ANSWERED, 2 * DELAY_MS);
    if (event != NULL) {
        event->node = node->number;
        event->life = node->life;
    }
}

static void
order(void *arg, const struct rs_order *order)
{
    struct world_node *node = arg;
    struct event *event = post(node->world, RsWorld_ORDER_ARRIVES, DELAY_MS);
    if (event != NULL) {
        event->node = node->number;
        event->life = node->life;
        event->order = *order;
        event->order.grant.handover = NULL;
    }
}

static void
ignore_owner(void *arg, const struct rs_owner *owner)
{
}

static const struct rs_granter_actions actions = {
    .commit = commit,
    .load_maps = load_maps,
    .order = order,
    .owner = ignore_owner,
};

/* The store. */

static bool
conditions_hold(struct rs_world *world, const struct event *event)
{
    for (size_t i = 0; i < event->row_count; i++) {
        const struct row *row =
            find_row(world, event->rows[i].table, event->rows[i].key);
        if ((row != NULL ? row->version : 0) != event->rows[i].version) {
            return false;
        }
    }
    return true;
}

static void
apply_writes(struct rs_world *world, struct event *event)
{
    world->version++;
    for (size_t i = 0; i < event->row_count; i++) {
        struct row *row =
            find_row(world, event->rows[i].table, event->rows[i].key);
        if (row == NULL) {
            assert(world->row_count < MAX_ROWS);
            row = &world->rows[world->row_count++];
            *row = event->rows[i];
            row->value = NULL;
        }
        g_free(row->value);
        row->value = g_strdup(event->rows[i].value);
        row->version = world->version;
    }
}

static void
commit_arrives(struct rs_world *world, struct event event)
{
    bool down = world->now_ms < world->store_down_until_ms;
    bool holds = !down && conditions_hold(world, &event);
    if (holds) {
        apply_writes(world, &event);
    }
    bool lost = !down && take_loss(world, RsFixture_COMMIT_ANSWER_LOST);
    struct event *answer =
        post(world, RsWorld_COMMIT_ANSWERED, lost || down ? 400 : DELAY_MS);
    if (answer == NULL) {
        return;
    }
    answer->node = event.node;
    answer->life = event.life;
    answer->version = world->version;
    answer->status = down    ? RsStore_REFUSED
                     : lost  ? RsStore_UNANSWERED
                     : holds ? RsStore_DONE
                             : RsStore_CONFLICT;
}

static size_t
list_rows(struct rs_world *world, struct rs_store_row *rows, const char *table)
{
    size_t count = 0;
    for (size_t i = 0; i < world->row_count; i++) {
        const struct row *row = &world->rows[i];
        if (table == NULL || strcmp(row->table, table) == 0) {
            rows[count++] = (struct rs_store_row){
                .table = (char *)row->table,
                .key = (char *)row->key,
                .value = row->value,
                .value_bytes = strlen(row->value),
                .version = row->version,
            };
        }
    }
    return count;
}

static void
answer_store(struct rs_world *world, struct world_node *node,
             const struct event *event)
{
    struct rs_store_row list[MAX_ROWS];
    struct rs_store_rows rows = {.rows = list, .version = event->version};
    bool down = world->now_ms < world->store_down_until_ms;
    if (event->kind == RsWorld_COMMIT_ANSWERED) {
        if (event->status == RsStore_CONFLICT) {
            rows.count = list_rows(world, list, NULL);
        }
        RsGranter_Committed(&node->granter,
                            (enum rs_store_status)event->status, &rows,
                            world->now_ms);
    }
    else if (event->kind == RsWorld_MAPS_ANSWERED) {
        rows.count = list_rows(world, list, RsGranter_MAP_TABLE);
        RsGranter_MapsLoaded(&node->granter,
                             down ? RsStore_REFUSED : RsStore_DONE, &rows,
                             world->now_ms);
    }
    else if (!down) {
        rows.count = list_rows(world, list, RsGranter_LEASE_TABLE);
        RsGranter_LeaseRead(
            &node->granter, rows.count > 0 ? list[0].version : 0,
            rows.count > 0 ? list[0].value : "", world->now_ms);
    }
}

/* Targets. */

static bool
covers(const struct hold *hold, uint32_t key, int64_t now_ms)
{
    return hold->first_key <= key && key <= hold->last_key &&
           now_ms < hold->until_ms;
}

/* Cuts a range of keys out of what the target holds. */
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
forget_lapsed(struct target *target, int64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < target->hold_count; i++) {
        if (now_ms < target->holds[i].until_ms) {
            target->holds[kept++] = target->holds[i];
        }
    }
    target->hold_count = kept;
}

static void
check_taken(struct rs_world *world, uint32_t number, const struct hold *hold)
{
    for (uint32_t key = hold->first_key; key <= hold->last_key; key++) {
        if (world->taken_fence[key] >= hold->fence &&
            world->taken_by[key] != number) {
            snprintf(world->violation, sizeof(world->violation),
                     "key %u went to target %u with fence %lu, which target "
                     "%u had it with or above",
                     key, number, (unsigned long)hold->fence,
                     world->taken_by[key]);
        }
        world->taken_fence[key] = MAX(world->taken_fence[key], hold->fence);
        world->taken_by[key] = number;
    }
    for (uint32_t i = 0; i < RsFixture_TARGETS; i++) {
        const struct target *other = &world->targets[i];
        for (size_t k = 0; i != number && k < other->hold_count; k++) {
            const struct hold *theirs = &other->holds[k];
            if (world->now_ms < theirs->until_ms &&
                theirs->first_key <= hold->last_key &&
                hold->first_key <= theirs->last_key) {
                snprintf(world->violation, sizeof(world->violation),
                         "targets %u and %u hold keys %u to %u", i, number,
                         MAX(theirs->first_key, hold->first_key),
                         MIN(theirs->last_key, hold->last_key));
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

static int
apply_order(struct rs_world *world, uint32_t number,
            const struct rs_order *order, int64_t arrival_ms)
{
    struct target *target = &world->targets[number];
    bool stale = saw_higher_fence(target, order);
    if (order->release || !stale) {
        drop_keys(target, order->grant.first_key, order->grant.last_key);
    }
    forget_lapsed(target, world->now_ms);
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
        .until_ms = arrival_ms + (int64_t)order->grant.hold_ms *
                                     (100 + CLOCK_SLOW_PERCENT) / 100,
    };
    if (world->now_ms < hold.until_ms && target->hold_count < MAX_HOLDS) {
        check_taken(world, number, &hold);
        target->holds[target->hold_count++] = hold;
    }
    return RsWire_GRANTED;
}

static void
answer_order(struct rs_world *world, const struct event *event, int status,
             int64_t delay_ms)
{
    struct event *answer = post(world, RsWorld_ORDER_ANSWERED, delay_ms);
    if (answer != NULL) {
        answer->node = event->node;
        answer->life = event->life;
        answer->order = event->order;
        answer->status = status;
    }
}

static void
order_arrives(struct rs_world *world, struct event event)
{
    const struct rs_order *order = &event.order;
    uint32_t number = (uint32_t)(order->target_id[1] - '0');
    if (event.answered) {
        /* It was left unanswered, and is carried out now. */
        apply_order(world, number, order, event.arrival_ms);
        return;
    }
    if (!order->release && take_loss(world, RsFixture_GRANT_LATE)) {
        struct event *late =
            post(world, RsWorld_ORDER_ARRIVES, world->late_ms);
        if (late != NULL) {
            int64_t at_ms = late->at_ms;
            *late = event;
            late->at_ms = at_ms;
            late->answered = true;
            late->arrival_ms = world->now_ms;
        }
        answer_order(world, &event, RsGranter_UNANSWERED, 500);
        return;
    }
    int status = apply_order(world, number, order, world->now_ms);
    bool lost = order->release ? take_loss(world, RsFixture_RELEASE_LOST)
                               : take_loss(world, RsFixture_GRANT_ANSWER_LOST);
    answer_order(world, &event, lost ? RsGranter_UNANSWERED : status,
                 lost ? 500 : DELAY_MS);
}

/* The course of things. */

static void
start_node(struct rs_world *world, uint32_t number)
{
    struct world_node *node = &world->nodes[number];
    static const char *const names[] = {"n0", "n1", "n2"};
    for (size_t i = 0; i < node->granter.map_count; i++) {
        RsKeymap_Free(node->granter.maps[i].map);
    }
    node->world = world;
    node->number = number;
    node->life = ++world->lives;
    node->read_ms = 0;
    const struct rs_granter_options options = {
        .node = names[number],
        .peer_host = "127.0.0.1",
        .peer_port = 1,
        .incarnation = node->life,
        .max_hold_ms = MAX_HOLD_MS,
        .strength =
            number == RsFixture_STRONG ? STRONG_STRENGTH : WEAK_STRENGTH,
        .actions = &actions,
        .arg = node,
        .fleet = &node->fleet,
    };
    RsGranter_Init(&node->granter, &options);
}

static void
report_targets(struct rs_world *world)
{
    for (uint32_t i = 0; i < RsFixture_TARGETS; i++) {
        struct target *target = &world->targets[i];
        target->sequence++;
        const struct rs_fixture_report report = {
            .id = target->id,
            .service = SERVICE,
            .zone = "z",
            .port = 1000 + i,
            .born_ms = target->born_ms,
            .sequence = target->sequence,
        };
        for (uint32_t k = 0; k < RsFixture_NODES; k++) {
            RsFixture_Report(&world->nodes[k].fleet, &report, world->now_ms);
        }
    }
}

/* Makes a world in which all nodes and targets have just started. */
struct rs_world *
RsWorld_New(void)
{
    struct rs_world *world = g_new0(struct rs_world, 1);
    world->now_ms = 1000;
    world->late_ms = 3000;
    for (uint32_t i = 0; i < RsFixture_TARGETS; i++) {
        struct target *target = &world->targets[i];
        snprintf(target->id, sizeof(target->id), "t%u", i);
        target->born_ms = 1 + i;
    }
    for (uint32_t i = 0; i < RsFixture_NODES; i++) {
        RsFleet_Init(&world->nodes[i].fleet, &fleet_events, NULL);
        start_node(world, i);
    }
    return world;
}

static void
free_event(struct event *event)
{
    for (size_t i = 0; i < event->row_count; i++) {
        g_free(event->rows[i].value);
    }
}

/* Frees a world. */
void
RsWorld_Free(struct rs_world *world)
{
    for (size_t i = 0; i < world->event_count; i++) {
        free_event(&world->events[i]);
    }
    for (size_t i = 0; i < world->row_count; i++) {
        g_free(world->rows[i].value);
    }
    for (uint32_t i = 0; i < RsFixture_NODES; i++) {
        struct world_node *node = &world->nodes[i];
        for (size_t k = 0; k < node->granter.map_count; k++) {
            RsKeymap_Free(node->granter.maps[k].map);
        }
        RsFleet_Clear(&node->fleet);
    }
    g_free(world);
}

static bool
is_for_node(enum event_kind kind)
{
    return kind != RsWorld_COMMIT_ARRIVES && kind != RsWorld_ORDER_ARRIVES;
}

static void
run_event(struct rs_world *world, struct event event)
{
    struct world_node *node = &world->nodes[event.node];
    if (is_for_node(event.kind) && event.life != node->life) {
        return;
    }
    switch (event.kind) {
    case RsWorld_COMMIT_ARRIVES:
        commit_arrives(world, event);
        break;
    case RsWorld_ORDER_ARRIVES:
        order_arrives(world, event);
        break;
    case RsWorld_ORDER_ANSWERED:
        RsGranter_OrderAnswered(&node->granter, &event.order, event.status,
                                NULL, world->now_ms);
        break;
    default:
        answer_store(world, node, &event);
    }
}

/* Events for a node that is frozen wait until it wakes. */
static void
run_events(struct rs_world *world)
{
    for (size_t i = 0; i < world->event_count;) {
        struct event *event = &world->events[i];
        const struct world_node *node = &world->nodes[event->node];
        bool frozen =
            is_for_node(event->kind) && world->now_ms < node->frozen_until_ms;
        if (event->at_ms > world->now_ms || frozen) {
            i++;
            continue;
        }
        struct event due = *event;
        memmove(event, event + 1,
                (world->event_count - i - 1) * sizeof(*event));
        world->event_count--;
        run_event(world, due);
        free_event(&due);
        i = 0;
    }
}

static void
tick_node(struct rs_world *world, struct world_node *node)
{
    if (world->now_ms < node->frozen_until_ms ||
        world->now_ms < node->next_tick_ms) {
        return;
    }
    node->next_tick_ms = world->now_ms + TICK_MS;
    if (node->granter.phase == RsGranter_OBSERVING &&
        RsGranter_LeaseIsDue(&node->granter, node->read_ms, false,
                             world->now_ms)) {
        node->read_ms = world->now_ms;
        struct event *event = post(world, RsWorld_LEASE_READ, 2 * DELAY_MS);
        if (event != NULL) {
            event->node = node->number;
            event->life = node->life;
        }
    }
    RsGranter_Tick(&node->granter, world->now_ms);
}

/* Lets time pass. */
void
RsWorld_Step(struct rs_world *world, int64_t span_ms)
{
    int64_t end_ms = world->now_ms + span_ms;
    while (world->now_ms < end_ms) {
        world->now_ms++;
        if (world->now_ms >= world->next_report_ms) {
            world->next_report_ms = world->now_ms + 800;
            report_targets(world);
        }
        run_events(world);
        for (uint32_t i = 0; i < RsFixture_NODES; i++) {
            tick_node(world, &world->nodes[i]);
        }
    }
}

/* Makes something go wrong from now on. */
void
RsWorld_Inject(struct rs_world *world, enum rs_fixture_fault fault,
               uint32_t which, int64_t for_ms)
{
    struct world_node *node = &world->nodes[which % RsFixture_NODES];
    struct target *target = &world->targets[which % RsFixture_TARGETS];
    switch (fault) {
    case RsFixture_STORE_DOWN:
        world->store_down_until_ms = world->now_ms + for_ms;
        break;
    case RsFixture_NODE_RESTARTED:
        start_node(world, node->number);
        break;
    case RsFixture_NODE_FROZEN:
        node->frozen_until_ms = world->now_ms + for_ms;
        break;
    case RsFixture_TARGET_RESTARTED:
        target->born_ms = world->now_ms;
        target->sequence = 0;
        target->hold_count = 0;
        memset(target->seen_fence, 0, sizeof(target->seen_fence));
        world->next_report_ms = world->now_ms + 100;
        break;
    case RsFixture_NODE_RESIGNED:
        RsGranter_Resign(&node->granter, world->now_ms);
        break;
    case RsFixture_GRANT_LATE:
        world->late_ms = for_ms;
        world->lose[fault]++;
        break;
    default:
        world->lose[fault]++;
    }
}

/* Returns the number of the node that may plan, or -1. */
int
RsWorld_Granter(const struct rs_world *world)
{
    for (int i = 0; i < RsFixture_NODES; i++) {
        if (world->now_ms >= world->nodes[i].frozen_until_ms &&
            RsGranter_MayPlan(&world->nodes[i].granter, world->now_ms)) {
            return i;
        }
    }
    return -1;
}

/* Tells the granter of the strong node. */
void
RsWorld_Yield(struct rs_world *world)
{
    int granting = RsWorld_Granter(world);
    if (granting >= 0) {
        RsGranter_MayYield(&world->nodes[granting].granter, STRONG_STRENGTH,
                           world->now_ms);
    }
}

/* Has the granter give keys to a target, if there is one and they are free. */
void
RsWorld_MoveKeys(struct rs_world *world, uint32_t first_key, uint32_t last_key,
                 uint32_t number)
{
    int granting = RsWorld_Granter(world);
    if (granting < 0) {
        return;
    }
    struct rs_granter *granter = &world->nodes[granting].granter;
    const char *service = g_intern_string(SERVICE);
    struct rs_granter_map *entry = RsGranter_FindMap(granter, service);
    if (entry == NULL) {
        entry = RsGranter_AddMap(granter, service);
    }
    const struct target *target = &world->targets[number % RsFixture_TARGETS];
    const struct rs_owner owner = {.id = g_intern_string(target->id),
                                   .born_ms = target->born_ms};
    if (entry->dirty || entry->in_commit) {
        return;
    }
    entry->dirty = RsKeymap_Join(entry->map) > 0;
    if (entry->map->ranges->len < MAX_HOLDS / 8 &&
        RsKeymap_Move(entry->map, first_key, last_key, &owner)) {
        entry->dirty = true;
    }
}

/* Returns what rule was broken, or NULL. */
const char *
RsWorld_Violation(const struct rs_world *world)
{
    return world->violation[0] != '\0' ? world->violation : NULL;
}

/* Returns how many keys have an owner that holds them now. */
uint32_t
RsWorld_OwnedKeys(const struct rs_world *world)
{
    uint32_t owned = 0;
    for (uint32_t key = 0; key < RsKeymap_KEYS; key++) {
        bool held = false;
        for (uint32_t i = 0; i < RsFixture_TARGETS && !held; i++) {
            const struct target *target = &world->targets[i];
            for (size_t k = 0; k < target->hold_count && !held; k++) {
                held = covers(&target->holds[k], key, world->now_ms);
            }
        }
        owned += held;
    }
    return owned;
}

/* Returns the world's clock. */
int64_t
RsWorld_NowMs(const struct rs_world *world)
{
    return world->now_ms;
}
