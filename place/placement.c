#include "place/placement.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/id.h"
#include "place/assignment.h"
#include "place/cell_name.h"
#include "place/slice.h"

#define DEFAULT_SUCCESSORS 2
#define DEFAULT_HYSTERESIS_PERMILLE 50
#define MIN_DEFAULT_MAX_MOVES 8
#define SLICES_PER_MOVE 64
#define MIN_SHARE 0.05
/* Fraction of the mean load of a slice that is added to the load of each
 * slice, so that idle slices don't accumulate on one target. */
#define BASE_LOAD_FRACTION 0.1

static const struct rs_planner_domain *
find_domain(const struct rs_planner_options *options, const char *name)
{
    for (size_t i = 0; i < options->domain_count; i++) {
        if (strcmp(options->domains[i].name, name) == 0) {
            return &options->domains[i];
        }
    }
    return NULL;
}

static enum rs_model_domain_state
domain_state(const struct rs_planner_options *options, const char *name)
{
    const struct rs_planner_domain *domain = find_domain(options, name);
    return domain == NULL ? RsModel_DOMAIN_IN : domain->state;
}

static bool
is_domain_silent(const struct rs_planner_options *options, const char *name)
{
    const struct rs_planner_domain *domain = find_domain(options, name);
    return domain != NULL && domain->silent;
}

/* Returns whether other domains may take over the slices of a domain because
 * it is silent. */
static bool
may_take_over_slices_of_domain(const struct rs_placement *placement,
                               const char *name)
{
    return placement->may_take_over &&
           is_domain_silent(placement->options, name);
}

/* Returns whether a majority of the domains that are not lost is heard, that
 * is, not silent. A process that hears only a minority may itself be cut off.
 */
static bool
hears_most_domains(const struct rs_planner_options *options)
{
    size_t known = 0;
    size_t heard = 0;
    for (size_t i = 0; i < options->domain_count; i++) {
        bool lost = options->domains[i].state == RsModel_DOMAIN_LOST;
        known += lost ? 0 : 1;
        heard += lost || options->domains[i].silent ? 0 : 1;
    }
    return 2 * heard > known;
}

/* Returns whether a cell is lost according to the options: no process of the
 * cell can serve requests any more, so other cells may reassign its slices
 * without its consent. */
bool
RsPlacement_IsCellLost(const struct rs_placement *placement, const char *cell)
{
    const struct rs_planner_options *options = placement->options;
    char domain[RsModel_NAME_BYTES];
    uint32_t number = 0;
    if (RsCellName_Parse(cell, domain, &number) == 0 &&
        domain_state(options, domain) == RsModel_DOMAIN_LOST) {
        return true;
    }
    for (size_t i = 0; i < options->lost_cell_count; i++) {
        if (strcmp(options->lost_cells[i], cell) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether other cells may take over the slices of a cell: it is lost,
 * or its domain is silent, the service allows hand-over and a majority of the
 * domains that are not lost is heard. */
bool
RsPlacement_MayTakeOver(const struct rs_placement *placement, const char *cell)
{
    char domain[RsModel_NAME_BYTES];
    uint32_t number = 0;
    if (RsPlacement_IsCellLost(placement, cell)) {
        return true;
    }
    return RsCellName_Parse(cell, domain, &number) == 0 &&
           may_take_over_slices_of_domain(placement, domain);
}

static int
compare_ids(uint64_t a, uint64_t b)
{
    return (a > b) - (a < b);
}

static int
compare_targets(const void *left, const void *right)
{
    const struct rs_placement_target *a = left;
    const struct rs_placement_target *b = right;
    int order = compare_ids(a->cell, b->cell);
    return order != 0 ? order : compare_ids(a->id, b->id);
}

static int
compare_index_entries(const void *left, const void *right)
{
    const struct rs_placement_index_entry *a = left;
    const struct rs_placement_index_entry *b = right;
    return compare_ids(a->id, b->id);
}

static double
clamp_share(double share)
{
    if (share < MIN_SHARE) {
        return MIN_SHARE;
    }
    return share > 1 ? 1 : share;
}

/* Decides whether a target may keep its slices and receive further ones. It
 * may keep its slices if it is alive and not leaving, its cell is known, and
 * its domain does not have to give up its slices. A target in a silent domain
 * receives none, since the domain may not learn of the assignment.
 * `allow_out_domains` allows targets in domains that are out. */
static void
classify_target(const struct rs_placement *placement,
                struct rs_placement_target *target, bool allow_out_domains)
{
    const struct rs_planner_target *input = target->input;
    const char *domain = input->domain;
    enum rs_model_domain_state state =
        domain_state(placement->options, domain);
    bool in_use = state == RsModel_DOMAIN_IN ||
                  (state == RsModel_DOMAIN_OUT && allow_out_domains);
    target->may_keep = in_use && input->alive && !input->leaving &&
                       input->cell[0] != '\0' &&
                       !may_take_over_slices_of_domain(placement, domain);
    target->may_receive =
        target->may_keep && !is_domain_silent(placement->options, domain);
}

/* Classifies all targets. Targets in domains that are out are allowed only
 * when no other target may receive slices. */
static void
classify_targets(struct rs_placement *placement)
{
    bool any_receives = false;
    for (size_t i = 0; i < placement->target_count; i++) {
        classify_target(placement, &placement->targets[i], false);
        any_receives = any_receives || placement->targets[i].may_receive;
    }
    placement->uses_out_domains = !any_receives;
    for (size_t i = 0; !any_receives && i < placement->target_count; i++) {
        classify_target(placement, &placement->targets[i], true);
    }
}

static void
find_cell_ranges(struct rs_placement *placement)
{
    size_t first = 0;
    for (size_t i = 0; i <= placement->target_count; i++) {
        if (i < placement->target_count &&
            placement->targets[i].cell == placement->targets[first].cell) {
            continue;
        }
        for (size_t j = first; j < i; j++) {
            placement->targets[j].first_in_cell = first;
            placement->targets[j].count_in_cell = i - first;
        }
        first = i;
    }
}

static void
init_targets(struct rs_placement *placement)
{
    const struct rs_planner_options *options = placement->options;
    size_t count = options->target_count;
    placement->target_count = count;
    placement->targets = calloc(count + 1, sizeof(placement->targets[0]));
    placement->index = calloc(count + 1, sizeof(placement->index[0]));
    for (size_t i = 0; i < count; i++) {
        struct rs_placement_target *target = &placement->targets[i];
        target->input = &options->targets[i];
        target->id = RsId_FromName(target->input->name);
        target->cell = RsId_FromName(target->input->cell);
        target->share = clamp_share(target->input->share);
        target->load = target->input->base_load;
        placement->uses_hysteresis =
            placement->uses_hysteresis || target->share < 1;
    }
    qsort(placement->targets, count, sizeof(placement->targets[0]),
          compare_targets);
    for (size_t i = 0; i < count; i++) {
        placement->index[i].id = placement->targets[i].id;
        placement->index[i].target = (int32_t)i;
    }
    qsort(placement->index, count, sizeof(placement->index[0]),
          compare_index_entries);
    find_cell_ranges(placement);
}

/* Returns the index of the target with this name, or RsPlacement_NONE. */
int32_t
RsPlacement_FindTarget(const struct rs_placement *placement,
                       const char *target)
{
    struct rs_placement_index_entry key = {.id = RsId_FromName(target)};
    const struct rs_placement_index_entry *entry =
        bsearch(&key, placement->index, placement->target_count, sizeof(key),
                compare_index_entries);
    return entry == NULL ? RsPlacement_NONE : entry->target;
}

/* Makes a target the planned owner of a slice that has none, and adds the
 * slice's load to the target's. */
void
RsPlacement_AssignOwner(struct rs_placement *placement,
                        struct rs_placement_slice *slice, int32_t target)
{
    assert(slice->planned_owner == RsPlacement_NONE);
    slice->planned_owner = target;
    placement->targets[target].load += slice->load;
}

/* Returns the target that may receive the slice and would then have the lowest
 * load relative to its share, or RsPlacement_NONE. Of equally loaded targets,
 * one in the slice's cell is preferred, because a move within the cell needs
 * no other cell's consent. A slice that is bound to its cell only goes to
 * targets there. */
int32_t
RsPlacement_FindLeastLoaded(const struct rs_placement *placement,
                            const struct rs_placement_slice *slice)
{
    int32_t best = RsPlacement_NONE;
    double best_load = 0;
    bool best_in_same_cell = false;
    for (size_t i = 0; i < placement->target_count; i++) {
        const struct rs_placement_target *target = &placement->targets[i];
        bool in_same_cell = target->cell == slice->cell;
        if (!target->may_receive || (slice->bound_to_cell && !in_same_cell)) {
            continue;
        }
        double load = (target->load + slice->load) / target->share;
        bool wins_tie =
            load == best_load && in_same_cell && !best_in_same_cell;
        if (best == RsPlacement_NONE || load < best_load || wins_tie) {
            best = (int32_t)i;
            best_load = load;
            best_in_same_cell = in_same_cell;
        }
    }
    return best;
}

/* Computes the load of each slice. If the loads are unknown or all 0, each
 * slice has load 1. Otherwise BASE_LOAD_FRACTION of the mean load is added to
 * the load of each slice, unless the loads are weights. */
static void
init_slice_loads(struct rs_placement *placement)
{
    const double *loads = placement->options->loads;
    double total = 0;
    for (size_t i = 0; loads != NULL && i < placement->slice_count; i++) {
        total += loads[i];
    }
    bool known = loads != NULL && total > 0;
    double base =
        known ? BASE_LOAD_FRACTION * total / (double)placement->slice_count
              : 1;
    if (known && placement->options->loads_are_weights) {
        base = 0;
    }
    placement->uses_hysteresis = placement->uses_hysteresis || known;
    placement->total_load = 0;
    for (size_t i = 0; i < placement->slice_count; i++) {
        placement->slices[i].load = base + (known ? loads[i] : 0);
        placement->total_load += placement->slices[i].load;
    }
}

/* Returns whether a target may remain the owner of a slice. */
static bool
may_stay_owner(const struct rs_placement *placement,
               const struct rs_placement_slice *slice, int32_t target)
{
    return target != RsPlacement_NONE && placement->targets[target].may_keep &&
           (!slice->bound_to_cell ||
            placement->targets[target].cell == slice->cell);
}

/* Returns the target to which the slice's holder fails over when the owner at
 * `position` is lost: the next target of the succession, wrapping around, that
 * is in the slice's cell and may keep slices. Returns RsPlacement_NONE when
 * there is none. */
static int32_t
next_in_succession(const struct rs_placement *placement,
                   const struct rs_placement_slice *slice,
                   const struct rs_model_assignment *present, size_t position)
{
    for (size_t i = 1; i < present->succession_count; i++) {
        size_t index = (position + i) % present->succession_count;
        int32_t target =
            RsPlacement_FindTarget(placement, present->succession[index]);
        if (target != RsPlacement_NONE &&
            placement->targets[target].may_keep &&
            placement->targets[target].cell == slice->cell) {
            return target;
        }
    }
    return RsPlacement_NONE;
}

/* Returns the owner's index in a slice's succession; 0 when the options give
 * no position or one that is out of range. */
static size_t
owner_position(const struct rs_planner_options *options, size_t index)
{
    const struct rs_model_assignment *present = &options->present[index];
    size_t position =
        options->positions == NULL ? 0 : options->positions[index];
    return position < present->succession_count ? position : 0;
}

/* Returns whether any cell in the assignment's `from` is not lost. Such a cell
 * may still serve the slice under an earlier epoch. */
static bool
has_former_cell_not_lost(const struct rs_placement *placement,
                         const struct rs_model_assignment *present)
{
    for (size_t i = 0; i < present->from_count; i++) {
        if (!RsPlacement_IsCellLost(placement, present->from[i])) {
            return true;
        }
    }
    return false;
}

/* Finds the current owner of an assigned slice, and plans to keep that owner
 * if it may stay or the slice is pinned. Otherwise, if the owner is lost or
 * unknown, plans the target to which the slice's holder fails over. A slice is
 * pinned when its owner is alive, and either the owner's cell isn't known yet,
 * or the slice is bound to its cell and the owner belongs to another cell. */
static void
init_assigned_slice(struct rs_placement *placement, size_t index)
{
    struct rs_placement_slice *slice = &placement->slices[index];
    const struct rs_model_assignment *present =
        &placement->options->present[index];
    bool may_take = RsPlacement_MayTakeOver(placement, present->cell);
    size_t position = owner_position(placement->options, index);
    int32_t owner =
        RsPlacement_FindTarget(placement, present->succession[position]);
    slice->cell = RsId_FromName(present->cell);
    slice->bound_to_cell =
        !may_take && has_former_cell_not_lost(placement, present);
    slice->current_owner = owner;
    if (owner != RsPlacement_NONE) {
        const struct rs_planner_target *target =
            placement->targets[owner].input;
        bool owner_in_other_cell =
            placement->targets[owner].cell != slice->cell;
        slice->pinned =
            target->alive && (target->cell[0] == '\0' ||
                              (slice->bound_to_cell && owner_in_other_cell));
    }
    if (slice->pinned || may_stay_owner(placement, slice, owner)) {
        slice->planned_owner = owner;
        return;
    }
    if (owner == RsPlacement_NONE || !placement->targets[owner].input->alive) {
        slice->planned_owner =
            next_in_succession(placement, slice, present, position);
    }
}

static void
init_slice(struct rs_placement *placement, size_t index)
{
    const struct rs_planner_options *options = placement->options;
    struct rs_placement_slice *slice = &placement->slices[index];
    slice->id = RsSlice_Id(options->rule, (uint32_t)index);
    slice->current_owner = RsPlacement_NONE;
    slice->planned_owner = RsPlacement_NONE;
    if (options->present[index].epoch > 0) {
        init_assigned_slice(placement, index);
    }
    bool move_blocked = options->keep_until_ms != NULL &&
                        options->keep_until_ms[index] > options->now_ms;
    slice->movable = !slice->pinned && !slice->bound_to_cell && !move_blocked;
    if (slice->planned_owner != RsPlacement_NONE) {
        const struct rs_placement_target *owner =
            &placement->targets[slice->planned_owner];
        /* An owner that may keep its slices but may not receive any is in a
         * silent domain, whose cells may be unable to write a move. */
        slice->movable = slice->movable && owner->may_receive;
        placement->targets[slice->planned_owner].load += slice->load;
    }
}

static void
set_limits(struct rs_placement *placement)
{
    const struct rs_planner_options *options = placement->options;
    uint32_t permille = options->hysteresis_permille;
    uint32_t moves = options->slices / SLICES_PER_MOVE;
    moves = moves < MIN_DEFAULT_MAX_MOVES ? MIN_DEFAULT_MAX_MOVES : moves;
    placement->max_moves =
        options->max_moves == 0 ? moves : options->max_moves;
    placement->successor_count =
        options->successors == 0 ? DEFAULT_SUCCESSORS : options->successors;
    placement->hysteresis =
        (permille == 0 ? DEFAULT_HYSTERESIS_PERMILLE : permille) / 1000.0;
}

/* Initializes the state from options, which must outlive it. Returns 0, or
 * RsPlanner_BAD_OPTIONS, in which case nothing is allocated. Free the state
 * with RsPlacement_Close(). */
int
RsPlacement_Open(struct rs_placement *placement,
                 const struct rs_planner_options *options)
{
    memset(placement, 0, sizeof(*placement));
    if (options->slices == 0 || options->slices > RsModel_MAX_SLICES ||
        options->successors >= RsModel_MAX_SUCCESSION) {
        return RsPlanner_BAD_OPTIONS;
    }
    placement->options = options;
    placement->may_take_over =
        options->cut_off == RsModel_HAND_OVER && hears_most_domains(options);
    set_limits(placement);
    init_targets(placement);
    classify_targets(placement);
    placement->slice_count = options->slices;
    placement->slices = calloc(options->slices, sizeof(placement->slices[0]));
    init_slice_loads(placement);
    for (size_t i = 0; i < placement->slice_count; i++) {
        init_slice(placement, i);
    }
    return 0;
}

/* Frees the memory of the state. */
void
RsPlacement_Close(struct rs_placement *placement)
{
    free(placement->targets);
    free(placement->index);
    free(placement->slices);
    memset(placement, 0, sizeof(*placement));
}
