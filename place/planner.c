#include "place/planner.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/id.h"
#include "place/assignment.h"
#include "place/placement.h"

/* A target and its rank among the successors of one slice. */
struct ranked {
    int32_t target;
    uint64_t rank;
};

/* Returns how many targets of the owner's cell could follow it. */
static size_t
available_successors(const struct rs_placement *placement, int32_t owner)
{
    const struct rs_placement_target *at = &placement->targets[owner];
    size_t available = 0;
    for (size_t i = 0; i < at->cell_count; i++) {
        size_t target = at->cell_first + i;
        bool other = (int32_t)target != owner;
        available += other && placement->targets[target].keeps ? 1 : 0;
        if (available == placement->successors) {
            break;
        }
    }
    return available;
}

/* Whether every target of a row's succession is usable in the row's cell. */
static bool
succession_is_usable(const struct rs_placement *placement,
                     const struct rs_placement_slice *slice,
                     const struct rs_model_assignment *row)
{
    for (size_t i = 0; i < row->succession_count; i++) {
        int32_t target = RsPlacement_Find(placement, row->succession[i]);
        if (target == RsPlacement_NONE || !placement->targets[target].keeps ||
            placement->targets[target].cell != slice->cell) {
            return false;
        }
    }
    return true;
}

/* Whether the row already says what is planned for the slice. */
static bool
row_fits(const struct rs_placement *placement, size_t index)
{
    const struct rs_placement_slice *slice = &placement->slices[index];
    const struct rs_model_assignment *row =
        &placement->options->present[index];
    const struct rs_placement_target *owner =
        &placement->targets[slice->owner];
    if (row->epoch == 0 || slice->owner != slice->present) {
        return false;
    }
    int position = RsAssignment_Position(row, owner->target->name);
    size_t behind = row->succession_count - (size_t)position - 1;
    return behind >= available_successors(placement, slice->owner) &&
           succession_is_usable(placement, slice, row);
}

/* Keeps the `capacity` highest of a list that is sorted, highest first. */
static size_t
insert_ranked(struct ranked *best, size_t count, size_t capacity,
              struct ranked next)
{
    size_t at = count;
    while (at > 0 && best[at - 1].rank < next.rank) {
        at--;
    }
    if (at >= capacity) {
        return count;
    }
    size_t kept = count < capacity ? count : capacity - 1;
    memmove(&best[at + 1], &best[at], (kept - at) * sizeof(best[0]));
    best[at] = next;
    return kept + 1;
}

/* Writes the owner and, by rendezvous hashing with the slice, those who
 * follow it: a lost target's slices then go to many others. */
static void
write_succession(const struct rs_placement *placement,
                 const struct rs_placement_slice *slice,
                 struct rs_model_assignment *change)
{
    const struct rs_placement_target *owner =
        &placement->targets[slice->owner];
    struct ranked best[RsModel_MAX_SUCCESSION];
    size_t count = 0;
    for (size_t i = 0; i < owner->cell_count; i++) {
        int32_t at = (int32_t)(owner->cell_first + i);
        const struct rs_placement_target *target = &placement->targets[at];
        if (at == slice->owner || !target->keeps) {
            continue;
        }
        struct ranked next = {at, RsId_Combine(slice->id, target->id)};
        count = insert_ranked(best, count, placement->successors, next);
    }
    memcpy(change->succession[0], owner->target->name, RsModel_NAME_BYTES);
    for (size_t i = 0; i < count; i++) {
        const struct rs_planner_target *target =
            placement->targets[best[i].target].target;
        memcpy(change->succession[i + 1], target->name, RsModel_NAME_BYTES);
    }
    change->succession_count = count + 1;
}

static bool
add_from(struct rs_model_assignment *change, const char *cell)
{
    if (change->from_count == RsModel_MAX_FROM) {
        return false;
    }
    memcpy(change->from[change->from_count], cell, strlen(cell) + 1);
    change->from_count++;
    return true;
}

/* Lists the cells that may still serve an earlier epoch: none that is lost,
 * and not the new cell, whose own fences rise. Returns false when they don't
 * fit. */
static bool
write_from(const struct rs_placement *placement,
           const struct rs_model_assignment *row,
           struct rs_model_assignment *change)
{
    change->from_count = 0;
    for (size_t i = 0; i < row->from_count; i++) {
        if (strcmp(row->from[i], change->cell) != 0 &&
            !RsPlacement_CellLost(placement, row->from[i])) {
            add_from(change, row->from[i]);
        }
    }
    bool left = row->epoch > 0 && strcmp(row->cell, change->cell) != 0;
    if (left && !RsPlacement_CellLost(placement, row->cell)) {
        return add_from(change, row->cell);
    }
    return true;
}

/* Writes what is planned for a slice. Returns false when nothing changes. */
static bool
write_change(const struct rs_placement *placement, size_t index,
             struct rs_model_assignment *change)
{
    const struct rs_placement_slice *slice = &placement->slices[index];
    const struct rs_model_assignment *row =
        &placement->options->present[index];
    if (slice->pinned || slice->owner == RsPlacement_NONE ||
        row_fits(placement, index)) {
        *change = *row;
        return write_from(placement, row, change) &&
               change->from_count < row->from_count;
    }
    memset(change, 0, sizeof(*change));
    const struct rs_planner_target *owner =
        placement->targets[slice->owner].target;
    change->slice = slice->id;
    change->epoch = row->epoch + 1;
    memcpy(change->cell, owner->cell, RsModel_NAME_BYTES);
    write_succession(placement, slice, change);
    return write_from(placement, row, change);
}

/* Whether the asking cell may write a change. */
static bool
may_write(const struct rs_placement *placement,
          const struct rs_model_assignment *row,
          const struct rs_model_assignment *change)
{
    const char *cell = placement->options->cell;
    if (cell == NULL) {
        return true;
    }
    if (row->epoch == 0) {
        return strcmp(change->cell, cell) == 0;
    }
    return strcmp(row->cell, cell) == 0 ||
           RsPlacement_CellTaken(placement, row->cell);
}

static void
append_change(struct rs_planner_plan *plan, size_t *capacity,
              const struct rs_model_assignment *change)
{
    if (plan->change_count == *capacity) {
        *capacity = *capacity == 0 ? 16 : 2 * *capacity;
        plan->changes =
            realloc(plan->changes, *capacity * sizeof(plan->changes[0]));
    }
    plan->changes[plan->change_count++] = *change;
}

static void
collect_changes(const struct rs_placement *placement,
                struct rs_planner_plan *plan)
{
    size_t capacity = 0;
    for (size_t i = 0; i < placement->slice_count; i++) {
        const struct rs_placement_slice *slice = &placement->slices[i];
        const struct rs_model_assignment *row =
            &placement->options->present[i];
        struct rs_model_assignment change;
        if (!write_change(placement, i, &change) ||
            !may_write(placement, row, &change)) {
            continue;
        }
        append_change(plan, &capacity, &change);
        bool moves = row->epoch > 0 && slice->owner != slice->present &&
                     change.epoch > row->epoch;
        plan->moves += moves ? 1 : 0;
    }
}

/* Fills `plan` with the changes that the asking cell is to write, in order
 * of slices. Returns 0 or RsPlanner_BAD_OPTIONS. */
int
RsPlanner_Plan(const struct rs_planner_options *options,
               struct rs_planner_plan *plan)
{
    struct rs_placement placement;
    memset(plan, 0, sizeof(*plan));
    int status = RsPlacement_Open(&placement, options);
    if (status != 0) {
        return status;
    }
    const struct rs_planner_policy *policy =
        options->policy == NULL ? RsPlanner_Minimal() : options->policy;
    policy->place(&placement);
    collect_changes(&placement, plan);
    RsPlacement_Close(&placement);
    return 0;
}

/* Frees the changes of a plan. */
void
RsPlanner_FreePlan(struct rs_planner_plan *plan)
{
    free(plan->changes);
    memset(plan, 0, sizeof(*plan));
}

/* Writes the row of a slice whose new cell holds it: no other cell serves an
 * earlier epoch any more. Returns whether that changes the row. */
bool
RsPlanner_Settle(const struct rs_model_assignment *held,
                 struct rs_model_assignment *settled)
{
    *settled = *held;
    settled->from_count = 0;
    memset(settled->from, 0, sizeof(settled->from));
    return held->from_count > 0;
}
