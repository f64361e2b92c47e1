/* Fuzzes the planner. Two planners per cell race to write assignments by
 * compare-and-set, on views that may be stale, while targets and domains
 * change. The oracle tracks which cells may still serve each slice, and checks
 * what each write changes. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place/assignment.h"
#include "place/cell_name.h"
#include "place/fuzz_input.h"
#include "place/planner_world.h"
#include "place/slice.h"

#define DOMAINS 3
#define TARGETS 4 /* per domain */
#define CELLS 2   /* per domain */
#define ALL_TARGETS (DOMAINS * TARGETS)
#define ALL_CELLS (DOMAINS * CELLS)
#define SLICES 30
#define PLANNERS (2 * ALL_CELLS)
#define MAX_ROUNDS 100
#define EVENTS 80

/* The state of the table and the cluster as a planner last read it. */
struct view {
    struct rs_planner_target targets[ALL_TARGETS];
    struct rs_planner_domain domains[DOMAINS];
    struct rs_model_assignment assignments[SLICES];
    uint8_t positions[SLICES];
    uint32_t assignment_versions[SLICES];
    uint32_t domain_versions[DOMAINS];
};

struct state {
    struct planner_world world;
    uint32_t assignment_versions[SLICES];
    uint32_t domain_versions[DOMAINS];
    uint32_t may_serve[SLICES]; /* by slice: bits of the cells that may still
                                 * serve the slice */
    double loads[SLICES];
    bool loads_known; /* whether planners know the loads */
    struct view views[PLANNERS];
};

/* Returns the bit that stands for a cell. */
static uint32_t
cell_bit(const char *cell)
{
    char domain[RsModel_NAME_BYTES];
    uint32_t number = 0;
    CHECK(RsCellName_Parse(cell, domain, &number) == 0);
    return 1U << ((uint32_t)(domain[1] - '0') * CELLS + number);
}

/* Returns the bits of all cells of a domain. */
static uint32_t
domain_bits(size_t domain)
{
    return ((1U << CELLS) - 1) << (domain * CELLS);
}

static bool
is_in_cell(const char *cell, const struct rs_planner_target *target)
{
    return strcmp(target->cell, cell) == 0;
}

static void
read_view(struct state *state, struct view *view)
{
    const struct planner_world *world = &state->world;
    memcpy(view->targets, world->targets, sizeof(view->targets));
    memcpy(view->domains, world->domains, sizeof(view->domains));
    memcpy(view->assignments, world->assignments, sizeof(view->assignments));
    memcpy(view->positions, world->positions, sizeof(view->positions));
    memcpy(view->assignment_versions, state->assignment_versions,
           sizeof(view->assignment_versions));
    memcpy(view->domain_versions, state->domain_versions,
           sizeof(view->domain_versions));
}

static const struct rs_planner_target *
find_target(const struct view *view, const char *name)
{
    for (size_t i = 0; i < ALL_TARGETS; i++) {
        if (strcmp(view->targets[i].name, name) == 0) {
            return &view->targets[i];
        }
    }
    return NULL;
}

static const struct rs_planner_domain *
domain_of(const struct view *view, const char *cell)
{
    return &view->domains[cell[1] - '0'];
}

/* Returns whether a view allows other cells to take over a cell's slices. */
static bool
may_take_over(const struct state *state, const struct view *view,
              const char *cell)
{
    size_t heard = 0;
    size_t known = 0;
    for (size_t i = 0; i < DOMAINS; i++) {
        if (view->domains[i].state != RsModel_DOMAIN_LOST) {
            known++;
            heard += view->domains[i].silent ? 0 : 1;
        }
    }
    if (domain_of(view, cell)->state == RsModel_DOMAIN_LOST) {
        return true;
    }
    return state->world.options.cut_off == RsModel_HAND_OVER &&
           domain_of(view, cell)->silent && 2 * heard > known;
}

/* Checks that a change lists distinct usable targets of its cell: at least
 * three, or all that there are. */
static void
check_succession(const struct view *view,
                 const struct rs_model_assignment *change)
{
    for (size_t i = 0; i < change->succession_count; i++) {
        const struct rs_planner_target *target =
            find_target(view, change->succession[i]);
        CHECK(target != NULL);
        CHECK(is_in_cell(change->cell, target));
        CHECK(target->alive && !target->leaving);
        CHECK(domain_of(view, change->cell)->state != RsModel_DOMAIN_LOST);
        CHECK(RsAssignment_Position(change, target->name) == (int)i);
    }
    size_t usable_count = 0;
    for (size_t i = 0; i < ALL_TARGETS; i++) {
        const struct rs_planner_target *target = &view->targets[i];
        bool in_cell = is_in_cell(change->cell, target);
        usable_count += in_cell && target->alive && !target->leaving ? 1 : 0;
    }
    CHECK(change->succession_count >= (usable_count < 3 ? usable_count : 3));
}

/* Checks that a change is valid for the old assignment and for the writing
 * cell. */
static void
check_write(const struct state *state, const struct view *view,
            const char *writer, const struct rs_model_assignment *old,
            const struct rs_model_assignment *change)
{
    if (change->epoch == old->epoch) {
        CHECK(old->epoch > 0 && change->from_count < old->from_count);
        CHECK(strcmp(change->cell, old->cell) == 0);
        return;
    }
    CHECK(change->epoch == old->epoch + 1);
    for (size_t i = 0; i < change->from_count; i++) {
        CHECK(strcmp(change->from[i], change->cell) != 0);
        CHECK(domain_of(view, change->from[i])->state != RsModel_DOMAIN_LOST);
    }
    check_succession(view, change);
    if (old->epoch == 0) {
        CHECK(strcmp(change->cell, writer) == 0);
        return;
    }
    bool may_be_taken = may_take_over(state, view, old->cell);
    CHECK(may_be_taken || strcmp(old->cell, writer) == 0);
    bool may_be_served_elsewhere = false;
    for (size_t i = 0; i < old->from_count; i++) {
        may_be_served_elsewhere =
            may_be_served_elsewhere ||
            domain_of(view, old->from[i])->state != RsModel_DOMAIN_LOST;
    }
    bool stays = strcmp(change->cell, old->cell) == 0;
    CHECK(!may_be_served_elsewhere || may_be_taken || stays);
    CHECK(stays || !domain_of(view, change->cell)->silent);
}

/* Checks that a slice's assignment lists each cell that may still serve the
 * slice. */
static void
check_listed_cells(const struct state *state, size_t slice)
{
    const struct rs_model_assignment *assignment =
        &state->world.assignments[slice];
    uint32_t named = assignment->epoch > 0 ? cell_bit(assignment->cell) : 0;
    for (size_t i = 0; i < assignment->from_count; i++) {
        named |= cell_bit(assignment->from[i]);
    }
    CHECK((state->may_serve[slice] & ~named) == 0);
}

/* Checks a change and writes it if the assignment, and the domains that the
 * planner took as lost, haven't changed since the planner read them. */
static void
write_change(struct state *state, const struct view *view, const char *writer,
             const struct rs_model_assignment *change)
{
    uint32_t index = RsSlice_Index(change->slice);
    struct rs_model_assignment *assignment = &state->world.assignments[index];
    check_write(state, view, writer, &view->assignments[index], change);
    bool unchanged =
        state->assignment_versions[index] == view->assignment_versions[index];
    for (size_t i = 0; i < DOMAINS; i++) {
        bool lost = view->domains[i].state == RsModel_DOMAIN_LOST;
        unchanged = unchanged && (!lost || state->domain_versions[i] ==
                                               view->domain_versions[i]);
    }
    if (!unchanged) {
        return;
    }
    state->world.positions[index] =
        change->epoch == assignment->epoch ? state->world.positions[index] : 0;
    *assignment = *change;
    state->assignment_versions[index]++;
    bool lost = state->world.domains[assignment->cell[1] - '0'].state ==
                RsModel_DOMAIN_LOST;
    state->may_serve[index] |= lost ? 0 : cell_bit(assignment->cell);
    check_listed_cells(state, index);
}

/* Lets a planner plan on its view and write the changes. Checks that the order
 * of the targets doesn't matter. Returns the number of changes and adds the
 * moves to `*moves`. */
static size_t
run_planner(struct state *state, size_t planner, size_t *moves)
{
    struct view *view = &state->views[planner];
    struct rs_planner_plan plan;
    struct rs_planner_plan again;
    char cell[RsModel_NAME_BYTES];
    size_t number = planner % ALL_CELLS;
    char domain[3] = {'d', (char)('0' + number / CELLS), '\0'};
    RsCellName_Format(domain, (uint32_t)(number % CELLS), cell);
    struct rs_planner_options options = state->world.options;
    options.targets = view->targets;
    options.domains = view->domains;
    options.present = view->assignments;
    options.positions = view->positions;
    options.loads = state->loads_known ? state->loads : NULL;
    options.cell = cell;
    CHECK(RsPlanner_Plan(&options, &plan) == 0);
    struct rs_planner_target shuffled[ALL_TARGETS];
    for (size_t i = 0; i < ALL_TARGETS; i++) {
        shuffled[i] = view->targets[5 * i % ALL_TARGETS];
    }
    options.targets = shuffled;
    CHECK(RsPlanner_Plan(&options, &again) == 0);
    CHECK(plan.change_count == again.change_count);
    for (size_t i = 0; i < plan.change_count; i++) {
        CHECK(RsAssignment_Equal(&plan.changes[i], &again.changes[i]));
        write_change(state, view, cell, &plan.changes[i]);
    }
    size_t changes = plan.change_count;
    *moves += plan.moves;
    RsPlanner_FreePlan(&plan);
    RsPlanner_FreePlan(&again);
    return changes;
}

/* Completes the hand-over of a slice. Returns whether its assignment changed.
 */
static bool
finish_handover(struct state *state, size_t slice)
{
    struct rs_model_assignment *assignment = &state->world.assignments[slice];
    struct rs_model_assignment finished;
    if (!RsPlanner_FinishHandover(assignment, &finished)) {
        return false;
    }
    CHECK(finished.epoch == assignment->epoch && finished.from_count == 0);
    *assignment = finished;
    state->assignment_versions[slice]++;
    state->may_serve[slice] &= cell_bit(assignment->cell);
    return true;
}

static void
set_domain(struct state *state, size_t index,
           enum rs_model_domain_state domain_state)
{
    struct planner_world *world = &state->world;
    enum rs_model_domain_state old = world->domains[index].state;
    world->domains[index].state = domain_state;
    state->domain_versions[index] += old == domain_state ? 0 : 1;
    for (size_t i = 0; i < SLICES; i++) {
        uint32_t assigned_cell_bit =
            world->assignments[i].epoch == 0
                ? 0
                : cell_bit(world->assignments[i].cell);
        if (domain_state == RsModel_DOMAIN_LOST) {
            state->may_serve[i] &= ~domain_bits(index);
        }
        else {
            /* The domain is not lost, or no longer, so processes of the
             * assigned cell may serve the slice. */
            state->may_serve[i] |= assigned_cell_bit & domain_bits(index);
        }
    }
}

/* Lets the holder of a slice whose owner is dead fail over to the next target
 * of the succession. */
static void
fail_over(struct state *state, size_t slice)
{
    struct planner_world *world = &state->world;
    const struct rs_model_assignment *assignment = &world->assignments[slice];
    int owner = planner_world_owner(world, slice);
    if (owner >= 0 && !world->targets[owner].alive &&
        (size_t)world->positions[slice] + 1 < assignment->succession_count) {
        world->positions[slice]++;
    }
}

static void
change_world(struct state *state, uint8_t kind, uint8_t which)
{
    struct rs_planner_target *target =
        &state->world.targets[which % ALL_TARGETS];
    struct rs_planner_domain *domain = &state->world.domains[which % DOMAINS];
    switch (kind) {
    case 0:
        target->alive = !target->alive;
        break;
    case 1:
        target->leaving = !target->leaving;
        break;
    case 2:
        target->share = target->share < 1 ? 1 : 0.4;
        break;
    case 3:
        set_domain(state, which % DOMAINS,
                   (enum rs_model_domain_state)(which / DOMAINS % 3));
        break;
    case 4:
        domain->silent = !domain->silent;
        break;
    case 5:
        state->loads_known = which % 2 == 0;
        state->loads[which % SLICES] = which;
        break;
    default:
        fail_over(state, which % SLICES);
        break;
    }
}

static bool
is_usable(const struct planner_world *world, size_t index,
          enum rs_model_domain_state domain_state)
{
    const struct rs_planner_target *target = &world->targets[index];
    return target->alive && !target->leaving &&
           world->domains[index / TARGETS].state == domain_state;
}

static size_t
count_usable(const struct planner_world *world,
             enum rs_model_domain_state domain_state)
{
    size_t count = 0;
    for (size_t i = 0; i < ALL_TARGETS; i++) {
        count += is_usable(world, i, domain_state) ? 1 : 0;
    }
    return count;
}

/* Returns the smallest number of moves after which the numbers of slices of
 * any two usable targets in domains that are in differ by at most one. */
static size_t
count_necessary_moves(struct planner_world *world)
{
    size_t counts[ALL_TARGETS] = {0};
    size_t staying = 0;
    size_t assigned = planner_world_count_owned(world);
    size_t targets = count_usable(world, RsModel_DOMAIN_IN);
    size_t extra = SLICES % targets;
    for (size_t i = 0; i < ALL_TARGETS; i++) {
        counts[i] =
            is_usable(world, i, RsModel_DOMAIN_IN) ? world->owned[i] : 0;
        size_t quota = SLICES / targets;
        if (counts[i] > quota && extra > 0) {
            quota++;
            extra--;
        }
        staying += counts[i] < quota ? counts[i] : quota;
    }
    return assigned - staying;
}

/* Checks that an assignment lists only usable targets of its cell: at least
 * three, or all that there are. */
static void
check_successors(const struct planner_world *world,
                 const struct rs_model_assignment *assignment,
                 enum rs_model_domain_state wanted)
{
    size_t available = 0;
    size_t named = 0;
    for (size_t i = 0; i < ALL_TARGETS; i++) {
        const struct rs_planner_target *target = &world->targets[i];
        bool usable_in_cell = is_usable(world, i, wanted) &&
                              is_in_cell(assignment->cell, target);
        bool listed = RsAssignment_Position(assignment, target->name) >= 0;
        available += usable_in_cell ? 1 : 0;
        named += usable_in_cell && listed ? 1 : 0;
    }
    size_t min_count = available < 3 ? available : 3;
    CHECK(named == assignment->succession_count && named >= min_count);
}

/* Checks the final state, if any target is usable: usable targets own all
 * slices, and have the right successors. If usable targets are in domains that
 * are in, the slices are spread evenly over them. */
static void
check_final_state(struct planner_world *world)
{
    bool in = count_usable(world, RsModel_DOMAIN_IN) > 0;
    enum rs_model_domain_state wanted =
        in ? RsModel_DOMAIN_IN : RsModel_DOMAIN_OUT;
    if (count_usable(world, wanted) == 0) {
        return;
    }
    CHECK(planner_world_count_owned(world) == SLICES);
    size_t max_count = 0;
    size_t min_count = SLICES;
    for (size_t i = 0; i < ALL_TARGETS; i++) {
        size_t owned = world->owned[i];
        CHECK(is_usable(world, i, wanted) || owned == 0);
        if (is_usable(world, i, wanted)) {
            max_count = owned > max_count ? owned : max_count;
            min_count = owned < min_count ? owned : min_count;
        }
    }
    CHECK(!in || max_count - min_count <= 1);
    for (size_t i = 0; i < SLICES; i++) {
        check_successors(world, &world->assignments[i], wanted);
    }
}

/* Lets all cells that are not lost plan, and completes all hand-overs, until
 * nothing changes. Checks the final state. Returns the number of moves. */
static size_t
run_until_stable(struct state *state)
{
    size_t changes = 1;
    size_t moves = 0;
    for (size_t round = 0; changes > 0; round++) {
        CHECK(round < MAX_ROUNDS);
        changes = 0;
        for (size_t i = 0; i < ALL_CELLS; i++) {
            bool lost =
                state->world.domains[i / CELLS].state == RsModel_DOMAIN_LOST;
            read_view(state, &state->views[i]);
            changes += lost ? 0 : run_planner(state, i, &moves);
        }
        for (size_t i = 0; i < SLICES; i++) {
            changes += finish_handover(state, i) ? 1 : 0;
        }
    }
    check_final_state(&state->world);
    return moves;
}

/* Checks that one more event in a stable state causes no more moves than
 * necessary. This is checked only if domains that are in have usable targets
 * both before and after the event. */
static void
check_moves(struct state *state, uint8_t kind, uint8_t which)
{
    struct planner_world *world = &state->world;
    run_until_stable(state);
    bool was_in = count_usable(world, RsModel_DOMAIN_IN) > 0;
    change_world(state, kind % 2 == 0 ? 1 : 3, which);
    if (!was_in || count_usable(world, RsModel_DOMAIN_IN) == 0) {
        return;
    }
    size_t fewest = count_necessary_moves(world);
    CHECK(run_until_stable(state) <= fewest);
}

/* Gives all targets the full share, makes the loads unknown and ends the
 * silence of all domains. */
static void
make_cluster_uniform(struct state *state)
{
    state->loads_known = false;
    for (size_t i = 0; i < ALL_TARGETS; i++) {
        state->world.targets[i].share = 1;
    }
    for (size_t i = 0; i < DOMAINS; i++) {
        state->world.domains[i].silent = false;
    }
}

static void
run_events(struct state *state, struct fuzz_input *input)
{
    size_t moves = 0;
    for (size_t i = 0; i < EVENTS; i++) {
        uint8_t kind = fuzz_next_byte(input) % 16;
        uint8_t which = fuzz_next_byte(input);
        if (kind < 7) {
            change_world(state, kind, which);
        }
        else if (kind < 10) {
            read_view(state, &state->views[which % PLANNERS]);
        }
        else if (kind < 14) {
            run_planner(state, which % PLANNERS, &moves);
        }
        else {
            finish_handover(state, which % SLICES);
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct state state;
    struct fuzz_input input = fuzz_open(data, size);
    memset(&state, 0, sizeof(state));
    planner_world_open(&state.world, DOMAINS, TARGETS, CELLS, SLICES);
    state.world.options.max_moves = 3;
    state.world.options.cut_off = fuzz_next_byte(&input) % 2 == 0
                                      ? RsModel_KEEP_SERVING
                                      : RsModel_HAND_OVER;
    for (size_t i = 0; i < PLANNERS; i++) {
        read_view(&state, &state.views[i]);
    }
    run_events(&state, &input);
    make_cluster_uniform(&state);
    uint8_t kind = fuzz_next_byte(&input);
    check_moves(&state, kind, fuzz_next_byte(&input));
    planner_world_close(&state.world);
    return 0;
}
