#include "place/planner.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/id.h"
#include "place/assignment.h"
#include "place/placement.h"

/* A target and its rendezvous hash with a slice. The target with the highest
 * hash is the first successor. */
struct hashed_target {
    int32_t target;
    uint64_t hash;
};

/* Returns how many targets of the owner's cell could succeed the owner, at
 * most the wanted number of successors. */
static size_t
count_available_successors(const struct rs_placement *placement, int32_t owner)
{
    const struct rs_placement_target *owner_target =
        &placement->targets[owner];
    size_t available = 0;
    for (size_t i = 0; i < owner_target->count_in_cell; i++) {
        size_t target = owner_target->first_in_cell + i;
        bool other = (int32_t)target != owner;
        available += other && placement->targets[target].may_keep ? 1 : 0;
        if (available == placement->successor_count) {
            break;
        }
    }
    return available;
}

/* Returns whether every target of a succession may keep slices and belongs to
 * the slice's cell. */
static bool
succession_is_usable(const struct rs_placement *placement,
                     const struct rs_placement_slice *slice,
                     const struct rs_model_assignment *present)
{
    for (size_t i = 0; i < present->succession_count; i++) {
        int32_t target =
            RsPlacement_FindTarget(placement, present->succession[i]);
        if (target == RsPlacement_NONE ||
            !placement->targets[target].may_keep ||
            placement->targets[target].cell != slice->cell) {
            return false;
        }
    }
    return true;
}

/* Returns whether the present assignment of a slice can stay: its current
 * owner is the planned one, enough successors follow the owner, and all
 * targets of the succession are usable. */
static bool
assignment_matches_plan(const struct rs_placement *placement, size_t index)
{
    const struct rs_placement_slice *slice = &placement->slices[index];
    const struct rs_model_assignment *present =
        &placement->options->present[index];
    const struct rs_placement_target *owner =
        &placement->targets[slice->planned_owner];
    if (present->epoch == 0 || slice->planned_owner != slice->current_owner) {
        return false;
    }
    int position = RsAssignment_Position(present, owner->input->name);
    size_t successors = present->succession_count - (size_t)position - 1;
    return successors >=
               count_available_successors(placement, slice->planned_owner) &&
           succession_is_usable(placement, slice, present);
}

/* Inserts `next` into a list that is sorted by hash, highest first, and keeps
 * the `capacity` targets with the highest hashes. Returns the new length. */
static size_t
insert_by_hash(struct hashed_target *best, size_t count, size_t capacity,
               struct hashed_target next)
{
    size_t position = count;
    while (position > 0 && best[position - 1].hash < next.hash) {
        position--;
    }
    if (position >= capacity) {
        return count;
    }
    size_t kept_count = count < capacity ? count : capacity - 1;
    memmove(&best[position + 1], &best[position],
            (kept_count - position) * sizeof(best[0]));
    best[position] = next;
    return kept_count + 1;
}

/* Writes the succession of a change: the planned owner and its successors.
 * Successors are chosen and ordered by rendezvous hashing with the slice,
 * which spreads the slices of a lost target over many others. */
static void
write_succession(const struct rs_placement *placement,
                 const struct rs_placement_slice *slice,
                 struct rs_model_assignment *change)
{
    const struct rs_placement_target *owner =
        &placement->targets[slice->planned_owner];
    struct hashed_target best[RsModel_MAX_SUCCESSION];
    size_t count = 0;
    for (size_t i = 0; i < owner->count_in_cell; i++) {
        int32_t index = (int32_t)(owner->first_in_cell + i);
        const struct rs_placement_target *target = &placement->targets[index];
        if (index == slice->planned_owner || !target->may_keep) {
            continue;
        }
        struct hashed_target next = {index,
                                     RsId_Combine(slice->id, target->id)};
        count = insert_by_hash(best, count, placement->successor_count, next);
    }
    memcpy(change->succession[0], owner->input->name, RsModel_NAME_BYTES);
    for (size_t i = 0; i < count; i++) {
        const struct rs_planner_target *target =
            placement->targets[best[i].target].input;
        memcpy(change->succession[i + 1], target->name, RsModel_NAME_BYTES);
    }
    change->succession_count = count + 1;
}

/* Appends a cell to a change's `from`. Returns false when the list is full. */
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

/* Writes the former cells of a change: those that may still serve the slice
 * under an earlier epoch. Lost cells are left out, and so is the new cell,
 * since fences within one cell only increase. Returns false when the list is
 * full. */
static bool
write_from(const struct rs_placement *placement,
           const struct rs_model_assignment *present,
           struct rs_model_assignment *change)
{
    change->from_count = 0;
    for (size_t i = 0; i < present->from_count; i++) {
        if (strcmp(present->from[i], change->cell) != 0 &&
            !RsPlacement_IsCellLost(placement, present->from[i])) {
            add_from(change, present->from[i]);
        }
    }
    bool cell_changed =
        present->epoch > 0 && strcmp(present->cell, change->cell) != 0;
    if (cell_changed && !RsPlacement_IsCellLost(placement, present->cell)) {
        return add_from(change, present->cell);
    }
    return true;
}

/* Fills `change` with the assignment planned for a slice. If the present cell
 * and succession stay, only lost cells are removed from `from`. Returns false
 * when nothing changes, or when the list of former cells is full. */
static bool
write_change(const struct rs_placement *placement, size_t index,
             struct rs_model_assignment *change)
{
    const struct rs_placement_slice *slice = &placement->slices[index];
    const struct rs_model_assignment *present =
        &placement->options->present[index];
    if (slice->pinned || slice->planned_owner == RsPlacement_NONE ||
        assignment_matches_plan(placement, index)) {
        *change = *present;
        return write_from(placement, present, change) &&
               change->from_count < present->from_count;
    }
    memset(change, 0, sizeof(*change));
    const struct rs_planner_target *owner =
        placement->targets[slice->planned_owner].input;
    change->slice = slice->id;
    change->epoch = present->epoch + 1;
    memcpy(change->cell, owner->cell, RsModel_NAME_BYTES);
    write_succession(placement, slice, change);
    return write_from(placement, present, change);
}

/* Returns whether the cell that the options name may write a change. Returns
 * true if the options name no cell. */
static bool
may_write(const struct rs_placement *placement,
          const struct rs_model_assignment *present,
          const struct rs_model_assignment *change)
{
    const char *cell = placement->options->cell;
    if (cell == NULL) {
        return true;
    }
    if (present->epoch == 0) {
        return strcmp(change->cell, cell) == 0;
    }
    return strcmp(present->cell, cell) == 0 ||
           RsPlacement_MayTakeOver(placement, present->cell);
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
        const struct rs_model_assignment *present =
            &placement->options->present[i];
        struct rs_model_assignment change;
        if (!write_change(placement, i, &change) ||
            !may_write(placement, present, &change)) {
            continue;
        }
        append_change(plan, &capacity, &change);
        bool moves = present->epoch > 0 &&
                     slice->planned_owner != slice->current_owner &&
                     change.epoch > present->epoch;
        plan->moves += moves ? 1 : 0;
    }
}

/* Fills `plan` with the changes that the cell named by the options may write,
 * or with all changes if the options name no cell, in the order of the slices.
 * Returns 0 or RsPlanner_BAD_OPTIONS. Free the plan with RsPlanner_FreePlan().
 */
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
        options->policy == NULL ? RsPlanner_MinimalPolicy() : options->policy;
    policy->choose_owners(&placement);
    collect_changes(&placement, plan);
    RsPlacement_Close(&placement);
    return 0;
}

/* Frees the changes of a plan and empties it. */
void
RsPlanner_FreePlan(struct rs_planner_plan *plan)
{
    free(plan->changes);
    memset(plan, 0, sizeof(*plan));
}

/* Fills `settled` with the assignment of a slice after its hand-over, with
 * `from` cleared. Call it once the new cell holds the slice, when no other
 * cell serves an earlier epoch any more. Returns whether `settled` differs
 * from `present`. */
bool
RsPlanner_FinishHandover(const struct rs_model_assignment *present,
                         struct rs_model_assignment *settled)
{
    *settled = *present;
    settled->from_count = 0;
    memset(settled->from, 0, sizeof(settled->from));
    return present->from_count > 0;
}
