/* Simulates six processes in two cells with drifting clocks, pauses, restarts
 * without memory, table reads, epoch changes, roster changes and moves between
 * the cells, over a network that loses, delays, repeats and reorders messages.
 * Fails when at any true time two processes hold a slice, or when a holder's
 * fence is not above the one before. The fuzz input makes the first random
 * choices; a generator seeded with the input makes the others. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/cell.h"
#include "core/id.h"

#define PROCESSES 6
#define SLICES 2
#define CELLS 2
#define MAX_IN_FLIGHT 100
#define ACTIONS 300 /* of one run */
#define LEASE_MS 900
#define RENEW_MS 250
#define MARGIN_MS 50
#define MAX_DRIFT_PER_MILLE 20
#define FENCE_STEPS_PER_MS 8

/* A slice's row in the platform's table. */
struct row {
    uint64_t epoch;
    size_t cell;
    bool moved; /* the slice has been in the other cell before */
};

/* The platform's table, or one process's copy of it. */
struct table {
    uint64_t revision;
    struct row rows[SLICES];
    struct rs_cell_roster rosters[CELLS];
};

struct process {
    struct rs_cell *cell;
    uint64_t incarnation;
    int64_t offset_ms; /* of its clock from true time */
    int64_t drift_per_mille;
    bool paused;
    struct table known_table;
    struct table table_being_read;
    bool is_reading;
    /* For each slice: its epochs below this one are sealed at the other cell;
     * 0 when none are known to be. */
    uint64_t sealed_below_epoch[SLICES];
    bool release_requested[SLICES];
};

struct world {
    const uint8_t *data;
    size_t size;
    GRand *generator;
    int64_t true_ms;
    struct table table;
    struct process processes[PROCESSES];
    struct rs_cell_message *in_flight[MAX_IN_FLIGHT];
    size_t in_flight_count;
    uint64_t last_incarnation;
    /* The fence, index and incarnation of each slice's last holder. */
    struct rs_cell_fence highest_fences[SLICES];
    size_t last_holder[SLICES];
    uint64_t last_holder_incarnation[SLICES];
};

static struct {
    uint64_t runs;
    uint64_t tenures;            /* changes of a slice's holder or fence */
    uint64_t tenures_after_move; /* those of slices that had moved before */
    uint64_t roster_changes;     /* completed ones */
    uint64_t seals;              /* completed ones */
} statistics;

static void
print_statistics(void)
{
    fprintf(stderr,
            "cell_fuzz: runs %lu tenures %lu after_move %lu changes %lu "
            "seals %lu\n",
            statistics.runs, statistics.tenures, statistics.tenures_after_move,
            statistics.roster_changes, statistics.seals);
}

/* Returns a number below `limit`, from the input while it lasts. */
static uint32_t
choose_below(struct world *world, uint32_t limit)
{
    if (world->size > 0) {
        world->size--;
        return *world->data++ % limit;
    }
    return g_rand_int(world->generator) % limit;
}

/* Returns the cell that a process belongs to. */
static size_t
home_cell(size_t index)
{
    return index < 4 ? 0 : 1;
}

/* Returns the present time on a process's clock. */
static int64_t
clock_ms(const struct world *world, const struct process *process)
{
    return process->offset_ms +
           world->true_ms * (1000 + process->drift_per_mille) / 1000;
}

static void
fail(const struct world *world, const char *failure, size_t slice)
{
    fprintf(stderr, "cell_fuzz: %s: slice %zu at %ld\n", failure, slice,
            (long)world->true_ms);
    abort();
}

/* Records the holder of a slice. If the holder or its fence has changed,
 * checks that the new fence is above the last one. */
static void
check_holder(struct world *world, size_t slice, size_t index,
             const struct rs_cell_claim *claim)
{
    struct rs_cell_fence *last = &world->highest_fences[slice];
    bool same = world->last_holder[slice] == index &&
                world->last_holder_incarnation[slice] ==
                    world->processes[index].incarnation;
    if (claim->fence.epoch == last->epoch && claim->fence.step == last->step &&
        same) {
        return;
    }
    if (claim->fence.epoch < last->epoch ||
        (claim->fence.epoch == last->epoch &&
         claim->fence.step <= last->step)) {
        fprintf(
            stderr,
            "cell_fuzz: process %zu start %lu has %lu.%u after process %zu "
            "start %lu with %lu.%u\n",
            index, world->processes[index].incarnation, claim->fence.epoch,
            claim->fence.step, world->last_holder[slice],
            world->last_holder_incarnation[slice], last->epoch, last->step);
        fail(world, "the fence did not rise", slice);
    }
    *last = claim->fence;
    world->last_holder[slice] = index;
    world->last_holder_incarnation[slice] =
        world->processes[index].incarnation;
    statistics.tenures++;
    statistics.tenures_after_move += world->table.rows[slice].moved ? 1 : 0;
}

/* Fails when two processes hold a slice or a fence has not risen. */
static void
check_invariants(struct world *world)
{
    for (size_t slice = 0; slice < SLICES; slice++) {
        size_t holder_count = 0;
        for (size_t i = 0; i < PROCESSES; i++) {
            struct process *process = &world->processes[i];
            struct rs_cell_claim claim;
            if (RsCell_Holds(process->cell, clock_ms(world, process), slice,
                             &claim, NULL)) {
                holder_count++;
                check_holder(world, slice, i, &claim);
            }
        }
        if (holder_count > 1) {
            fail(world, "two holders", slice);
        }
    }
}

/* Starts a process, or restarts it without memory; its clock runs on. */
static void
start_process(struct world *world, size_t index)
{
    struct process *process = &world->processes[index];
    int64_t offset_ms = process->offset_ms;
    int64_t drift_per_mille = process->drift_per_mille;
    if (process->cell != NULL) {
        RsCell_Free(process->cell);
    }
    memset(process, 0, sizeof(*process));
    process->offset_ms = offset_ms;
    process->drift_per_mille = drift_per_mille;
    process->incarnation = ++world->last_incarnation;
    struct rs_cell_options options = {
        .self = index + 1,
        .incarnation = process->incarnation,
        .start_ms = clock_ms(world, process),
        .lease_ms = LEASE_MS,
        .renew_every_ms = RENEW_MS,
        .margin_ms = MARGIN_MS,
        .first_step = (uint32_t)(1 + world->true_ms * FENCE_STEPS_PER_MS),
        .steps_per_s = FENCE_STEPS_PER_MS * 1000};
    process->cell = RsCell_New(&options);
}

/* Applies the table as it was at begin_table_read(), unless no read is under
 * way. */
static void
end_table_read(struct world *world, size_t index)
{
    struct process *process = &world->processes[index];
    const struct table *table = &process->table_being_read;
    if (!process->is_reading) {
        return;
    }
    process->is_reading = false;
    for (size_t slice = 0; slice < SLICES; slice++) {
        RsCell_RecordTableEpoch(process->cell, slice,
                                table->rows[slice].epoch);
    }
    RsCell_SetRoster(process->cell, clock_ms(world, process),
                     &table->rosters[home_cell(index)]);
    RsCell_MarkTableRead(process->cell);
    if (table->revision >= process->known_table.revision) {
        process->known_table = *table;
    }
}

/* Copies a peer's rows if it has any and they are not older. This does not
 * count as having read the table. */
static void
copy_table_from_peer(struct world *world, size_t index, size_t peer)
{
    struct process *process = &world->processes[index];
    const struct table *known_table = &world->processes[peer].known_table;
    if (known_table->revision < process->known_table.revision ||
        known_table->rows[0].epoch == 0) {
        return;
    }
    process->known_table = *known_table;
    for (size_t slice = 0; slice < SLICES; slice++) {
        RsCell_RecordTableEpoch(process->cell, slice,
                                known_table->rows[slice].epoch);
    }
    RsCell_SetRoster(process->cell, clock_ms(world, process),
                     &known_table->rosters[home_cell(index)]);
}

/* Takes the copy of the table that end_table_read() applies. */
static void
begin_table_read(struct world *world, size_t index)
{
    world->processes[index].table_being_read = world->table;
    world->processes[index].is_reading = true;
}

/* Claims a slice that the process's cell has, or starts to seal it at the
 * other cell if that must be done first. */
static void
claim(struct world *world, size_t index, size_t slice)
{
    struct process *process = &world->processes[index];
    const struct row *row = &process->known_table.rows[slice];
    int64_t now_ms = clock_ms(world, process);
    if (row->epoch == 0 || row->cell != home_cell(index)) {
        return;
    }
    if (row->moved && process->sealed_below_epoch[slice] < row->epoch) {
        RsCell_BeginSeal(process->cell, now_ms, slice, row->epoch - 1,
                         &process->known_table.rosters[1 - home_cell(index)]);
        return;
    }
    RsCell_Claim(process->cell, now_ms, slice, row->epoch, 0);
}

static void
handle_event(struct world *world, size_t index,
             const struct rs_cell_event *event)
{
    struct process *process = &world->processes[index];
    size_t slice = event->claim.slice;
    switch (event->kind) {
    case RsCell_EVENT_RELEASE_REQUESTED:
        process->release_requested[slice] = true;
        break;
    case RsCell_EVENT_RELEASED:
        claim(world, index, slice);
        break;
    case RsCell_EVENT_SEALED:
        statistics.seals++;
        process->sealed_below_epoch[slice] = event->claim.fence.epoch + 1;
        claim(world, index, slice);
        break;
    default:
        break;
    }
}

/* Handles a process's events and puts its messages on the network, which drops
 * the oldest message when it is full. */
static void
collect_output(struct world *world, size_t index)
{
    struct process *process = &world->processes[index];
    struct rs_cell_event event;
    struct rs_cell_message message;
    while (RsCell_NextEvent(process->cell, &event)) {
        handle_event(world, index, &event);
    }
    while (RsCell_NextMessage(process->cell, &message)) {
        if (world->in_flight_count == MAX_IN_FLIGHT) {
            RsCell_FreeMessage(world->in_flight[0]);
            g_free(world->in_flight[0]);
            memmove(world->in_flight, world->in_flight + 1,
                    (MAX_IN_FLIGHT - 1) * sizeof(world->in_flight[0]));
            world->in_flight_count--;
        }
        world->in_flight[world->in_flight_count++] =
            g_memdup2(&message, sizeof(message));
    }
}

/* Removes and frees the message at an index of the network. */
static void
drop_message(struct world *world, size_t message_index)
{
    RsCell_FreeMessage(world->in_flight[message_index]);
    g_free(world->in_flight[message_index]);
    world->in_flight_count--;
    memmove(world->in_flight + message_index,
            world->in_flight + message_index + 1,
            (world->in_flight_count - message_index) *
                sizeof(world->in_flight[0]));
}

/* Delivers the message at an index of the network, unless its receiver is
 * paused; with `keep` the message stays on the network and may be delivered
 * again. */
static void
deliver(struct world *world, size_t message_index, bool keep)
{
    struct rs_cell_message *message = world->in_flight[message_index];
    size_t index = message->to - 1;
    struct process *process = &world->processes[index];
    if (process->paused) {
        return;
    }
    RsCell_Receive(process->cell, clock_ms(world, process), message);
    if (!keep) {
        drop_message(world, message_index);
    }
    collect_output(world, index);
    check_invariants(world);
}

/* Advances true time and does the due work of all processes that run. */
static void
advance(struct world *world, int64_t by_ms)
{
    world->true_ms += by_ms;
    check_invariants(world);
    for (size_t i = 0; i < PROCESSES; i++) {
        struct process *process = &world->processes[i];
        int64_t now_ms = clock_ms(world, process);
        if (!process->paused && RsCell_NextTickAtMs(process->cell) <= now_ms) {
            RsCell_Tick(process->cell, now_ms);
            collect_output(world, i);
        }
    }
    check_invariants(world);
}

static void
claim_random_slice(struct world *world)
{
    size_t index = choose_below(world, PROCESSES);
    if (!world->processes[index].paused) {
        claim(world, index, choose_below(world, SLICES));
        collect_output(world, index);
    }
}

/* Runs rounds of 10 ms without random losses or repeats; in every fourth round
 * a random process, unless it is paused, claims a random slice. Messages to
 * paused processes, and to or from the process with index `disconnected`
 * (PROCESSES for none), are kept. Any other message is delivered in each round
 * with a probability of 1 / `mean_delay_rounds`. A full network still drops
 * its oldest message. */
static void
run_network(struct world *world, int rounds, uint32_t mean_delay_rounds,
            size_t disconnected)
{
    for (int round = 0; round < rounds; round++) {
        advance(world, 10);
        if (round % 4 == 0) {
            claim_random_slice(world);
        }
        size_t remaining = world->in_flight_count;
        size_t message_index = 0;
        while (remaining-- > 0 && message_index < world->in_flight_count) {
            const struct rs_cell_message *message =
                world->in_flight[message_index];
            if (message->to == disconnected + 1 ||
                message->from == disconnected + 1 ||
                world->processes[message->to - 1].paused ||
                choose_below(world, mean_delay_rounds) > 0) {
                message_index++;
                continue;
            }
            deliver(world, message_index, false);
        }
    }
}

/* Raises the epoch of a slice's row, and moves the slice to the other cell in
 * a third of the cases. */
static void
raise_epoch(struct world *world, size_t slice)
{
    struct row *row = &world->table.rows[slice];
    row->epoch++;
    if (choose_below(world, 3) == 0) {
        row->cell = 1 - row->cell;
        row->moved = true;
    }
    world->table.revision++;
}

/* Starts a change of a cell to random members, unless a change is under way or
 * no member was chosen. */
static void
change_roster(struct world *world, size_t cell)
{
    struct rs_cell_roster *roster = &world->table.rosters[cell];
    uint64_t first_id = cell == 0 ? 1 : 5;
    size_t candidate_count = cell == 0 ? 4 : 2;
    uint32_t chosen_members = choose_below(world, 1u << candidate_count);
    if (roster->former_count > 0 || chosen_members == 0) {
        return;
    }
    memcpy(roster->former, roster->members, sizeof(roster->former));
    roster->former_count = roster->member_count;
    roster->member_count = 0;
    for (size_t i = 0; i < candidate_count; i++) {
        if (chosen_members & (1u << i)) {
            roster->members[roster->member_count++] = first_id + i;
        }
    }
    roster->version++;
    world->table.revision++;
}

/* Ends the roster change of a process's cell when the process finds that it is
 * complete. */
static void
finish_roster_change(struct world *world, size_t index)
{
    struct process *process = &world->processes[index];
    size_t cell = home_cell(index);
    struct rs_cell_roster *roster = &world->table.rosters[cell];
    if (process->known_table.rosters[cell].version == roster->version &&
        RsCell_IsRosterChangeComplete(process->cell,
                                      clock_ms(world, process))) {
        roster->former_count = 0;
        roster->version++;
        world->table.revision++;
        statistics.roster_changes++;
    }
}

static void
release(struct world *world, size_t index, size_t slice)
{
    struct process *process = &world->processes[index];
    process->release_requested[slice] = false;
    RsCell_Release(process->cell, clock_ms(world, process), slice, 1);
}

/* Delivers, repeats or drops a random message. */
static void
do_network_action(struct world *world, uint32_t action)
{
    if (world->in_flight_count == 0) {
        return;
    }
    size_t message_index =
        choose_below(world, (uint32_t)world->in_flight_count);
    if (action == 0) {
        deliver(world, message_index, true);
    }
    else if (action == 1) {
        drop_message(world, message_index);
    }
    else {
        deliver(world, message_index, false);
    }
}

static void
do_process_action(struct world *world, uint32_t action, size_t index,
                  size_t slice)
{
    struct process *process = &world->processes[index];
    if (action == 0) {
        process->paused = !process->paused && choose_below(world, 3) == 0;
        return;
    }
    if (action == 1 && choose_below(world, 3) == 0) {
        start_process(world, index);
        return;
    }
    if (process->paused) {
        return;
    }
    if (action < 5) {
        claim(world, index, slice);
    }
    else if (action == 5 || process->release_requested[slice]) {
        release(world, index, slice);
    }
    else if (action == 6) {
        begin_table_read(world, index);
    }
    else if (action == 7) {
        end_table_read(world, index);
    }
    else if (action == 8) {
        copy_table_from_peer(world, index, choose_below(world, PROCESSES));
    }
    else if (action < 11) {
        begin_table_read(world, index);
        end_table_read(world, index);
    }
    else {
        finish_roster_change(world, index);
    }
    collect_output(world, index);
}

static void
do_random_action(struct world *world)
{
    uint32_t action = choose_below(world, 40);
    size_t index = choose_below(world, PROCESSES);
    size_t slice = choose_below(world, SLICES);
    world->true_ms++;
    if (action < 8) {
        do_network_action(world, action);
    }
    else if (action < 22) {
        do_process_action(world, action - 8, index, slice);
    }
    else if (action < 26) {
        advance(world, 1 + choose_below(world, 60));
    }
    else if (action == 26) {
        advance(world, 1 + 4 * (int64_t)choose_below(world, 256));
    }
    else if (action == 27) {
        raise_epoch(world, slice);
    }
    else if (action == 28) {
        change_roster(world, home_cell(index));
    }
    else if (action < 36) {
        run_network(world, 1 + (int)choose_below(world, 10), 1, PROCESSES);
    }
    else if (action < 39) {
        run_network(world, 1 + (int)choose_below(world, 60),
                    1 + choose_below(world, 6), index);
    }
    else {
        run_network(world, 100, 2, PROCESSES);
    }
    check_invariants(world);
}

static void
init_world(struct world *world)
{
    for (size_t slice = 0; slice < SLICES; slice++) {
        world->table.rows[slice].epoch = 1;
    }
    world->table.rosters[0] = (struct rs_cell_roster){
        .version = 1, .members = {1, 2, 3}, .member_count = 3};
    world->table.rosters[1] = (struct rs_cell_roster){
        .version = 1, .members = {5, 6}, .member_count = 2};
    for (size_t i = 0; i < PROCESSES; i++) {
        world->processes[i].offset_ms =
            1000 * (int64_t)choose_below(world, 50);
        world->processes[i].drift_per_mille =
            (int64_t)choose_below(world, 2 * MAX_DRIFT_PER_MILLE + 1) -
            MAX_DRIFT_PER_MILLE;
        start_process(world, i);
        begin_table_read(world, i);
        end_table_read(world, i);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (statistics.runs++ == 0) {
        (void)atexit(print_statistics);
    }
    struct world world = {.data = data, .size = size};
    world.generator =
        g_rand_new_with_seed((guint32)RsId_FromBytes(data, size));
    init_world(&world);
    run_network(&world, 100, 1, PROCESSES);
    for (int i = 0; i < ACTIONS; i++) {
        do_random_action(&world);
    }
    while (world.in_flight_count > 0) {
        drop_message(&world, 0);
    }
    for (size_t i = 0; i < PROCESSES; i++) {
        RsCell_Free(world.processes[i].cell);
    }
    g_rand_free(world.generator);
    return 0;
}
