/* Six processes in two cells under an adversarial network, with drifting
 * clocks, pauses, restarts without memory, table reads, epoch bumps, roster
 * changes and moves between the cells. The oracle, in true time: at most one
 * process holds a slice, and the fences of successive holders rise. The input
 * gives the first steps; a generator seeded by it gives the rest. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell.h"
#include "core/id.h"

#define NODES 6
#define SLICES 2
#define CELLS 2
#define NETWORK 100
#define STEPS 300
#define LEASE_MS 900
#define RENEW_MS 250
#define MARGIN_MS 50
#define MAX_DRIFT 20 /* per 1000 */
#define STEPS_PER_MS 8

struct row {
    uint64_t epoch;
    size_t cell;
    bool moved; /* the other cell has had it */
};

struct table {
    uint64_t revision;
    struct row rows[SLICES];
    struct rs_cell_roster rosters[CELLS];
};

struct node {
    struct rs_cell *cell;
    uint64_t incarnation;
    int64_t offset_ms;
    int64_t drift;
    bool paused;
    struct table view;
    struct table reading;
    bool reads;
    uint64_t sealed[SLICES]; /* the other cell is sealed below this */
    bool wanted[SLICES];
};

struct world {
    const uint8_t *data;
    size_t size;
    GRand *random;
    int64_t true_ms;
    struct table table;
    struct node nodes[NODES];
    struct rs_cell_message *network[NETWORK];
    size_t sent;
    uint64_t next_incarnation;
    struct rs_cell_fence highest[SLICES];
    size_t last_node[SLICES];
    uint64_t last_incarnation[SLICES];
};

static struct {
    uint64_t runs;
    uint64_t tenures;
    uint64_t moved_tenures;
    uint64_t changes;
    uint64_t seals;
} seen;

static void
print_seen(void)
{
    fprintf(stderr,
            "cell_fuzz: runs %lu tenures %lu after_move %lu changes %lu "
            "seals %lu\n",
            seen.runs, seen.tenures, seen.moved_tenures, seen.changes,
            seen.seals);
}

static uint32_t
choose(struct world *world, uint32_t below)
{
    if (world->size > 0) {
        world->size--;
        return *world->data++ % below;
    }
    return g_rand_int(world->random) % below;
}

static size_t
home(size_t index)
{
    return index < 4 ? 0 : 1;
}

static int64_t
clock_ms(const struct world *world, const struct node *node)
{
    return node->offset_ms + world->true_ms * (1000 + node->drift) / 1000;
}

static void
fail(const struct world *world, const char *what, size_t slice)
{
    fprintf(stderr, "cell_fuzz: %s: slice %zu at %ld\n", what, slice,
            (long)world->true_ms);
    abort();
}

static void
check_holder(struct world *world, size_t slice, size_t index,
             const struct rs_cell_claim *claim)
{
    struct rs_cell_fence *last = &world->highest[slice];
    bool same =
        world->last_node[slice] == index &&
        world->last_incarnation[slice] == world->nodes[index].incarnation;
    if (claim->fence.epoch == last->epoch && claim->fence.step == last->step &&
        same) {
        return;
    }
    if (claim->fence.epoch < last->epoch ||
        (claim->fence.epoch == last->epoch &&
         claim->fence.step <= last->step)) {
        fprintf(stderr,
                "cell_fuzz: node %zu start %lu has %lu.%u after node %zu "
                "start %lu with %lu.%u\n",
                index, world->nodes[index].incarnation, claim->fence.epoch,
                claim->fence.step, world->last_node[slice],
                world->last_incarnation[slice], last->epoch, last->step);
        fail(world, "the fence did not rise", slice);
    }
    *last = claim->fence;
    world->last_node[slice] = index;
    world->last_incarnation[slice] = world->nodes[index].incarnation;
    seen.tenures++;
    seen.moved_tenures += world->table.rows[slice].moved ? 1 : 0;
}

static void
check(struct world *world)
{
    for (size_t slice = 0; slice < SLICES; slice++) {
        size_t holders = 0;
        for (size_t i = 0; i < NODES; i++) {
            struct node *node = &world->nodes[i];
            struct rs_cell_claim claim;
            if (RsCell_Holds(node->cell, clock_ms(world, node), slice, &claim,
                             NULL)) {
                holders++;
                check_holder(world, slice, i, &claim);
            }
        }
        if (holders > 1) {
            fail(world, "two holders", slice);
        }
    }
}

static void
start_node(struct world *world, size_t index)
{
    struct node *node = &world->nodes[index];
    int64_t offset_ms = node->offset_ms;
    int64_t drift = node->drift;
    if (node->cell != NULL) {
        RsCell_Free(node->cell);
    }
    memset(node, 0, sizeof(*node));
    node->offset_ms = offset_ms;
    node->drift = drift;
    node->incarnation = ++world->next_incarnation;
    struct rs_cell_options options = {
        .self = index + 1,
        .incarnation = node->incarnation,
        .now_ms = clock_ms(world, node),
        .lease_ms = LEASE_MS,
        .renew_every_ms = RENEW_MS,
        .margin_ms = MARGIN_MS,
        .first_step = (uint32_t)(1 + world->true_ms * STEPS_PER_MS),
        .steps_per_s = STEPS_PER_MS * 1000};
    node->cell = RsCell_New(&options);
}

static void
end_reading(struct world *world, size_t index)
{
    struct node *node = &world->nodes[index];
    const struct table *table = &node->reading;
    if (!node->reads) {
        return;
    }
    node->reads = false;
    for (size_t slice = 0; slice < SLICES; slice++) {
        RsCell_LearnEpoch(node->cell, slice, table->rows[slice].epoch);
    }
    RsCell_SetRoster(node->cell, clock_ms(world, node),
                     &table->rosters[home(index)]);
    RsCell_TableWasRead(node->cell);
    if (table->revision >= node->view.revision) {
        node->view = *table;
    }
}

/* Rows may also come from a peer; that does not count as a reading. */
static void
learn_from_peer(struct world *world, size_t index, size_t peer)
{
    struct node *node = &world->nodes[index];
    const struct table *view = &world->nodes[peer].view;
    if (view->revision < node->view.revision || view->rows[0].epoch == 0) {
        return;
    }
    node->view = *view;
    for (size_t slice = 0; slice < SLICES; slice++) {
        RsCell_LearnEpoch(node->cell, slice, view->rows[slice].epoch);
    }
    RsCell_SetRoster(node->cell, clock_ms(world, node),
                     &view->rosters[home(index)]);
}

static void
begin_reading(struct world *world, size_t index)
{
    world->nodes[index].reading = world->table;
    world->nodes[index].reads = true;
}

static void
claim(struct world *world, size_t index, size_t slice)
{
    struct node *node = &world->nodes[index];
    const struct row *row = &node->view.rows[slice];
    int64_t now_ms = clock_ms(world, node);
    if (row->epoch == 0 || row->cell != home(index)) {
        return;
    }
    if (row->moved && node->sealed[slice] < row->epoch) {
        RsCell_BeginSeal(node->cell, now_ms, slice, row->epoch - 1,
                         &node->view.rosters[1 - home(index)]);
        return;
    }
    RsCell_Claim(node->cell, now_ms, slice, row->epoch, 0);
}

static void
take_event(struct world *world, size_t index,
           const struct rs_cell_event *event)
{
    struct node *node = &world->nodes[index];
    size_t slice = event->claim.slice;
    switch (event->kind) {
    case RsCell_EVENT_WANTED:
        node->wanted[slice] = true;
        break;
    case RsCell_EVENT_RELEASED:
        claim(world, index, slice);
        break;
    case RsCell_EVENT_SEALED:
        seen.seals++;
        node->sealed[slice] = event->claim.fence.epoch + 1;
        claim(world, index, slice);
        break;
    default:
        break;
    }
}

static void
drain(struct world *world, size_t index)
{
    struct node *node = &world->nodes[index];
    struct rs_cell_event event;
    struct rs_cell_message message;
    while (RsCell_NextEvent(node->cell, &event)) {
        take_event(world, index, &event);
    }
    while (RsCell_NextMessage(node->cell, &message)) {
        if (world->sent == NETWORK) {
            RsCell_FreeMessage(world->network[0]);
            g_free(world->network[0]);
            memmove(world->network, world->network + 1,
                    (NETWORK - 1) * sizeof(world->network[0]));
            world->sent--;
        }
        world->network[world->sent++] = g_memdup2(&message, sizeof(message));
    }
}

static void
forget(struct world *world, size_t at)
{
    RsCell_FreeMessage(world->network[at]);
    g_free(world->network[at]);
    world->sent--;
    memmove(world->network + at, world->network + at + 1,
            (world->sent - at) * sizeof(world->network[0]));
}

static void
deliver(struct world *world, size_t at, bool keep)
{
    struct rs_cell_message *message = world->network[at];
    size_t index = message->to - 1;
    struct node *node = &world->nodes[index];
    if (node->paused) {
        return;
    }
    RsCell_Receive(node->cell, clock_ms(world, node), message);
    if (!keep) {
        forget(world, at);
    }
    drain(world, index);
    check(world);
}

static void
advance(struct world *world, int64_t by_ms)
{
    world->true_ms += by_ms;
    check(world);
    for (size_t i = 0; i < NODES; i++) {
        struct node *node = &world->nodes[i];
        int64_t now_ms = clock_ms(world, node);
        if (!node->paused && RsCell_NextTickMs(node->cell) <= now_ms) {
            RsCell_Tick(node->cell, now_ms);
            drain(world, i);
        }
    }
    check(world);
}

static void
claim_any(struct world *world)
{
    size_t index = choose(world, NODES);
    if (!world->nodes[index].paused) {
        claim(world, index, choose(world, SLICES));
        drain(world, index);
    }
}

/* The network loses nothing for a while, but for one process that may be cut;
 * `delay` rounds are the mean time that a message takes. */
static void
run_well(struct world *world, int rounds, uint32_t delay, size_t cut)
{
    for (int round = 0; round < rounds; round++) {
        advance(world, 10);
        if (round % 4 == 0) {
            claim_any(world);
        }
        size_t budget = world->sent;
        size_t at = 0;
        while (budget-- > 0 && at < world->sent) {
            const struct rs_cell_message *message = world->network[at];
            if (message->to == cut + 1 || message->from == cut + 1 ||
                world->nodes[message->to - 1].paused ||
                choose(world, delay) > 0) {
                at++;
                continue;
            }
            deliver(world, at, false);
        }
    }
}

static void
bump_row(struct world *world, size_t slice)
{
    struct row *row = &world->table.rows[slice];
    row->epoch++;
    if (choose(world, 3) == 0) {
        row->cell = 1 - row->cell;
        row->moved = true;
    }
    world->table.revision++;
}

static void
change_roster(struct world *world, size_t cell)
{
    struct rs_cell_roster *roster = &world->table.rosters[cell];
    uint64_t first = cell == 0 ? 1 : 5;
    size_t pool = cell == 0 ? 4 : 2;
    uint32_t chosen = choose(world, 1u << pool);
    if (roster->former_count > 0 || chosen == 0) {
        return;
    }
    memcpy(roster->former, roster->members, sizeof(roster->former));
    roster->former_count = roster->member_count;
    roster->member_count = 0;
    for (size_t i = 0; i < pool; i++) {
        if (chosen & (1u << i)) {
            roster->members[roster->member_count++] = first + i;
        }
    }
    roster->version++;
    world->table.revision++;
}

static void
finish_change(struct world *world, size_t index)
{
    struct node *node = &world->nodes[index];
    size_t cell = home(index);
    struct rs_cell_roster *roster = &world->table.rosters[cell];
    if (node->view.rosters[cell].version == roster->version &&
        RsCell_ChangeDone(node->cell, clock_ms(world, node))) {
        roster->former_count = 0;
        roster->version++;
        world->table.revision++;
        seen.changes++;
    }
}

static void
release(struct world *world, size_t index, size_t slice)
{
    struct node *node = &world->nodes[index];
    node->wanted[slice] = false;
    RsCell_Release(node->cell, clock_ms(world, node), slice, 1);
}

static void
act_on_network(struct world *world, uint32_t act)
{
    if (world->sent == 0) {
        return;
    }
    size_t at = choose(world, (uint32_t)world->sent);
    if (act == 0) {
        deliver(world, at, true);
    }
    else if (act == 1) {
        forget(world, at);
    }
    else {
        deliver(world, at, false);
    }
}

static void
act_on_node(struct world *world, uint32_t act, size_t index, size_t slice)
{
    struct node *node = &world->nodes[index];
    if (act == 0) {
        node->paused = !node->paused && choose(world, 3) == 0;
        return;
    }
    if (act == 1 && choose(world, 3) == 0) {
        start_node(world, index);
        return;
    }
    if (node->paused) {
        return;
    }
    if (act < 5) {
        claim(world, index, slice);
    }
    else if (act == 5 || node->wanted[slice]) {
        release(world, index, slice);
    }
    else if (act == 6) {
        begin_reading(world, index);
    }
    else if (act == 7) {
        end_reading(world, index);
    }
    else if (act == 8) {
        learn_from_peer(world, index, choose(world, NODES));
    }
    else if (act < 11) {
        begin_reading(world, index);
        end_reading(world, index);
    }
    else {
        finish_change(world, index);
    }
    drain(world, index);
}

static void
step(struct world *world)
{
    uint32_t act = choose(world, 40);
    size_t index = choose(world, NODES);
    size_t slice = choose(world, SLICES);
    world->true_ms++;
    if (act < 8) {
        act_on_network(world, act);
    }
    else if (act < 22) {
        act_on_node(world, act - 8, index, slice);
    }
    else if (act < 26) {
        advance(world, 1 + choose(world, 60));
    }
    else if (act == 26) {
        advance(world, 1 + 4 * (int64_t)choose(world, 256));
    }
    else if (act == 27) {
        bump_row(world, slice);
    }
    else if (act == 28) {
        change_roster(world, home(index));
    }
    else if (act < 36) {
        run_well(world, 1 + (int)choose(world, 10), 1, NODES);
    }
    else if (act < 39) {
        run_well(world, 1 + (int)choose(world, 60), 1 + choose(world, 6),
                 index);
    }
    else {
        run_well(world, 100, 2, NODES);
    }
    check(world);
}

static void
start_world(struct world *world)
{
    for (size_t slice = 0; slice < SLICES; slice++) {
        world->table.rows[slice].epoch = 1;
    }
    world->table.rosters[0] = (struct rs_cell_roster){
        .version = 1, .members = {1, 2, 3}, .member_count = 3};
    world->table.rosters[1] = (struct rs_cell_roster){
        .version = 1, .members = {5, 6}, .member_count = 2};
    for (size_t i = 0; i < NODES; i++) {
        world->nodes[i].offset_ms = 1000 * (int64_t)choose(world, 50);
        world->nodes[i].drift =
            (int64_t)choose(world, 2 * MAX_DRIFT + 1) - MAX_DRIFT;
        start_node(world, i);
        begin_reading(world, i);
        end_reading(world, i);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (seen.runs++ == 0) {
        (void)atexit(print_seen);
    }
    struct world world = {.data = data, .size = size};
    world.random = g_rand_new_with_seed((guint32)RsId_FromBytes(data, size));
    start_world(&world);
    run_well(&world, 100, 1, NODES);
    for (int i = 0; i < STEPS; i++) {
        step(&world);
    }
    while (world.sent > 0) {
        forget(&world, 0);
    }
    for (size_t i = 0; i < NODES; i++) {
        RsCell_Free(world.nodes[i].cell);
    }
    g_rand_free(world.random);
    return 0;
}
