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
#define MIN_MAX_MOVES 8
#define SLICES_PER_MOVE 64
#define MIN_SHARE 0.05
/* Each slice counts with a tenth of the mean load besides its own, so that
 * idle slices don't gather on one target. */
#define BASE_LOAD 0.1

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
    return domain == NULL ? RsModel_IN : domain->state;
}

static bool
domain_silent(const struct rs_planner_options *options, const char *name)
{
    const struct rs_planner_domain *domain = find_domain(options, name);
    return domain != NULL && domain->silent;
}

/* Whether a silent domain gives its slices to the others. */
static bool
domain_taken(const struct rs_placement *placement, const char *name)
{
    return placement->may_take && domain_silent(placement->options, name);
}

/* A process that hears only a minority of the domains is itself cut off. */
static bool
hears_most_domains(const struct rs_planner_options *options)
{
    size_t known = 0;
    size_t heard = 0;
    for (size_t i = 0; i < options->domain_count; i++) {
        bool lost = options->domains[i].state == RsModel_LOST;
        known += lost ? 0 : 1;
        heard += lost || options->domains[i].silent ? 0 : 1;
    }
    return 2 * heard > known;
}

/* Whether nobody of a cell can serve any more: no word of it is needed. */
bool
RsPlacement_CellLost(const struct rs_placement *placement, const char *cell)
{
    const struct rs_planner_options *options = placement->options;
    char domain[RsModel_NAME_BYTES];
    uint32_t number = 0;
    if (RsCellName_Parse(cell, domain, &number) == 0 &&
        domain_state(options, domain) == RsModel_LOST) {
        return true;
    }
    for (size_t i = 0; i < options->lost_cell_count; i++) {
        if (strcmp(options->lost_cells[i], cell) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether any cell may take a cell's slices. */
bool
RsPlacement_CellTaken(const struct rs_placement *placement, const char *cell)
{
    char domain[RsModel_NAME_BYTES];
    uint32_t number = 0;
    if (RsPlacement_CellLost(placement, cell)) {
        return true;
    }
    return RsCellName_Parse(cell, domain, &number) == 0 &&
           domain_taken(placement, domain);
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
compare_names(const void *left, const void *right)
{
    const struct rs_placement_name *a = left;
    const struct rs_placement_name *b = right;
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

/* A target is kept unless it is dead, leaving, or in a domain that has to
 * give up its slices. A silent domain keeps what it has, but takes nothing:
 * it may not learn of it. */
static void
judge_target(const struct rs_placement *placement,
             struct rs_placement_target *target, bool out_counts)
{
    const struct rs_planner_target *given = target->target;
    const char *domain = given->domain;
    enum rs_model_domain_state state =
        domain_state(placement->options, domain);
    bool in_use = state == RsModel_IN || (state == RsModel_OUT && out_counts);
    target->keeps = in_use && given->alive && !given->leaving &&
                    given->cell[0] != '\0' && !domain_taken(placement, domain);
    target->receives =
        target->keeps && !domain_silent(placement->options, domain);
}

static void
judge_targets(struct rs_placement *placement)
{
    bool any = false;
    for (size_t i = 0; i < placement->target_count; i++) {
        judge_target(placement, &placement->targets[i], false);
        any = any || placement->targets[i].receives;
    }
    placement->all_out = !any;
    for (size_t i = 0; !any && i < placement->target_count; i++) {
        judge_target(placement, &placement->targets[i], true);
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
            placement->targets[j].cell_first = first;
            placement->targets[j].cell_count = i - first;
        }
        first = i;
    }
}

static void
open_targets(struct rs_placement *placement)
{
    const struct rs_planner_options *options = placement->options;
    size_t count = options->target_count;
    placement->target_count = count;
    placement->targets = calloc(count + 1, sizeof(placement->targets[0]));
    placement->names = calloc(count + 1, sizeof(placement->names[0]));
    for (size_t i = 0; i < count; i++) {
        struct rs_placement_target *target = &placement->targets[i];
        target->target = &options->targets[i];
        target->id = RsId_FromName(target->target->name);
        target->cell = RsId_FromName(target->target->cell);
        target->share = clamp_share(target->target->share);
        target->load = target->target->base_load;
        placement->weighted = placement->weighted || target->share < 1;
    }
    qsort(placement->targets, count, sizeof(placement->targets[0]),
          compare_targets);
    for (size_t i = 0; i < count; i++) {
        placement->names[i].id = placement->targets[i].id;
        placement->names[i].target = (int32_t)i;
    }
    qsort(placement->names, count, sizeof(placement->names[0]), compare_names);
    find_cell_ranges(placement);
}

/* Returns the index of a target, or RsPlacement_NONE. */
int32_t
RsPlacement_Find(const struct rs_placement *placement, const char *target)
{
    struct rs_placement_name key = {.id = RsId_FromName(target)};
    const struct rs_placement_name *found =
        bsearch(&key, placement->names, placement->target_count, sizeof(key),
                compare_names);
    return found == NULL ? RsPlacement_NONE : found->target;
}

/* Makes a target the owner of a slice that has none. */
void
RsPlacement_Give(struct rs_placement *placement,
                 struct rs_placement_slice *slice, int32_t target)
{
    assert(slice->owner == RsPlacement_NONE);
    slice->owner = target;
    placement->targets[target].load += slice->load;
}

/* Returns the target that would be loaded least with the slice, or
 * RsPlacement_NONE. Among equals one of the slice's cell is preferred, which
 * needs no other cell's word; a frozen slice stays there anyhow. */
int32_t
RsPlacement_Least(const struct rs_placement *placement,
                  const struct rs_placement_slice *slice)
{
    int32_t best = RsPlacement_NONE;
    double best_load = 0;
    bool best_near = false;
    for (size_t i = 0; i < placement->target_count; i++) {
        const struct rs_placement_target *target = &placement->targets[i];
        bool near = target->cell == slice->cell;
        if (!target->receives || (slice->frozen && !near)) {
            continue;
        }
        double load = (target->load + slice->load) / target->share;
        bool nearer = load == best_load && near && !best_near;
        if (best == RsPlacement_NONE || load < best_load || nearer) {
            best = (int32_t)i;
            best_load = load;
            best_near = near;
        }
    }
    return best;
}

static void
load_slices(struct rs_placement *placement)
{
    const double *loads = placement->options->loads;
    double total = 0;
    for (size_t i = 0; loads != NULL && i < placement->slice_count; i++) {
        total += loads[i];
    }
    bool known = loads != NULL && total > 0;
    double base =
        known ? BASE_LOAD * total / (double)placement->slice_count : 1;
    if (known && placement->options->loads_are_weights) {
        base = 0;
    }
    placement->weighted = placement->weighted || known;
    placement->total = 0;
    for (size_t i = 0; i < placement->slice_count; i++) {
        placement->slices[i].load = base + (known ? loads[i] : 0);
        placement->total += placement->slices[i].load;
    }
}

static bool
owns_now(const struct rs_placement *placement,
         const struct rs_placement_slice *slice, int32_t target)
{
    return target != RsPlacement_NONE && placement->targets[target].keeps &&
           (!slice->frozen || placement->targets[target].cell == slice->cell);
}

/* Returns the target that the holder steps to when the owner at `position`
 * is dead: the next one of the succession that is usable, in its cell. */
static int32_t
next_in_succession(const struct rs_placement *placement,
                   const struct rs_placement_slice *slice,
                   const struct rs_model_assignment *row, size_t position)
{
    for (size_t i = 1; i < row->succession_count; i++) {
        size_t at = (position + i) % row->succession_count;
        int32_t target = RsPlacement_Find(placement, row->succession[at]);
        if (target != RsPlacement_NONE && placement->targets[target].keeps &&
            placement->targets[target].cell == slice->cell) {
            return target;
        }
    }
    return RsPlacement_NONE;
}

static size_t
owner_position(const struct rs_planner_options *options, size_t index)
{
    const struct rs_model_assignment *row = &options->present[index];
    size_t position =
        options->positions == NULL ? 0 : options->positions[index];
    return position < row->succession_count ? position : 0;
}

static bool
has_live_from(const struct rs_placement *placement,
              const struct rs_model_assignment *row)
{
    for (size_t i = 0; i < row->from_count; i++) {
        if (!RsPlacement_CellLost(placement, row->from[i])) {
            return true;
        }
    }
    return false;
}

/* Finds who owns an assigned slice now and whether it may go on. An owner
 * whose cell isn't known yet is left alone. */
static void
open_assigned(struct rs_placement *placement, size_t index)
{
    struct rs_placement_slice *slice = &placement->slices[index];
    const struct rs_model_assignment *row =
        &placement->options->present[index];
    bool taken = RsPlacement_CellTaken(placement, row->cell);
    size_t position = owner_position(placement->options, index);
    int32_t owner = RsPlacement_Find(placement, row->succession[position]);
    slice->cell = RsId_FromName(row->cell);
    slice->frozen = !taken && has_live_from(placement, row);
    slice->present = owner;
    if (owner != RsPlacement_NONE) {
        const struct rs_planner_target *target =
            placement->targets[owner].target;
        bool moved_cell = placement->targets[owner].cell != slice->cell;
        slice->pinned = target->alive && (target->cell[0] == '\0' ||
                                          (slice->frozen && moved_cell));
    }
    if (slice->pinned || owns_now(placement, slice, owner)) {
        slice->owner = owner;
        return;
    }
    if (owner == RsPlacement_NONE ||
        !placement->targets[owner].target->alive) {
        slice->owner = next_in_succession(placement, slice, row, position);
    }
}

static void
open_slice(struct rs_placement *placement, size_t index)
{
    const struct rs_planner_options *options = placement->options;
    struct rs_placement_slice *slice = &placement->slices[index];
    slice->id = RsSlice_Id(options->rule, (uint32_t)index);
    slice->present = RsPlacement_NONE;
    slice->owner = RsPlacement_NONE;
    if (options->present[index].epoch > 0) {
        open_assigned(placement, index);
    }
    bool resting = options->keep_until_ms != NULL &&
                   options->keep_until_ms[index] > options->now_ms;
    slice->movable = !slice->pinned && !slice->frozen && !resting;
    if (slice->owner != RsPlacement_NONE) {
        const struct rs_placement_target *owner =
            &placement->targets[slice->owner];
        /* A silent cell would not write the move. */
        slice->movable = slice->movable && owner->receives;
        placement->targets[slice->owner].load += slice->load;
    }
}

static void
set_limits(struct rs_placement *placement)
{
    const struct rs_planner_options *options = placement->options;
    uint32_t permille = options->hysteresis_permille;
    uint32_t moves = options->slices / SLICES_PER_MOVE;
    moves = moves < MIN_MAX_MOVES ? MIN_MAX_MOVES : moves;
    placement->max_moves =
        options->max_moves == 0 ? moves : options->max_moves;
    placement->successors =
        options->successors == 0 ? DEFAULT_SUCCESSORS : options->successors;
    placement->hysteresis =
        (permille == 0 ? DEFAULT_HYSTERESIS_PERMILLE : permille) / 1000.0;
}

/* Fills the state from options. Returns 0 or RsPlanner_BAD_OPTIONS; frees
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
    placement->may_take =
        options->cut_off == RsModel_HAND_OVER && hears_most_domains(options);
    set_limits(placement);
    open_targets(placement);
    judge_targets(placement);
    placement->slice_count = options->slices;
    placement->slices = calloc(options->slices, sizeof(placement->slices[0]));
    load_slices(placement);
    for (size_t i = 0; i < placement->slice_count; i++) {
        open_slice(placement, i);
    }
    return 0;
}

/* Frees what Open made. */
void
RsPlacement_Close(struct rs_placement *placement)
{
    free(placement->targets);
    free(placement->names);
    free(placement->slices);
    memset(placement, 0, sizeof(*placement));
}
