/* Policies for comparison with the minimal one: reassignment of all movable
 * slices to the least loaded targets, and a consistent hashing ring. */

#include <assert.h>
#include <stdlib.h>

#include "core/id.h"
#include "place/placement.h"

#define POINTS_PER_TARGET 64

/* A target's point on the ring. */
struct point {
    uint64_t position;
    int32_t target;
};

/* Clears the planned owner of a slice if it is movable. Returns whether the
 * slice has no owner now. */
static bool
clear_owner(struct rs_placement *placement, struct rs_placement_slice *slice)
{
    if (slice->planned_owner == RsPlacement_NONE) {
        return true;
    }
    if (!slice->movable) {
        return false;
    }
    placement->targets[slice->planned_owner].load -= slice->load;
    slice->planned_owner = RsPlacement_NONE;
    return true;
}

/* Returns the target that may receive the slice and would then have the lowest
 * load relative to its share, or RsPlacement_NONE. Of equally loaded targets,
 * the one that rendezvous hashing ranks highest is taken, so that a reassigned
 * slice often returns to its former owner. */
static int32_t
find_least_loaded(const struct rs_placement *placement,
                  const struct rs_placement_slice *slice)
{
    int32_t best = RsPlacement_NONE;
    double best_load = 0;
    uint64_t best_hash = 0;
    for (size_t i = 0; i < placement->target_count; i++) {
        const struct rs_placement_target *target = &placement->targets[i];
        double load = (target->load + slice->load) / target->share;
        bool other_cell = target->cell != slice->cell;
        if (!target->may_receive || (slice->bound_to_cell && other_cell) ||
            (best != RsPlacement_NONE && load > best_load)) {
            continue;
        }
        uint64_t hash = RsId_Combine(slice->id, target->id);
        if (best == RsPlacement_NONE || load < best_load || hash > best_hash) {
            best = (int32_t)i;
            best_load = load;
            best_hash = hash;
        }
    }
    return best;
}

static void
reassign_all(struct rs_placement *placement)
{
    for (size_t i = 0; i < placement->slice_count; i++) {
        clear_owner(placement, &placement->slices[i]);
    }
    for (size_t i = 0; i < placement->slice_count; i++) {
        struct rs_placement_slice *slice = &placement->slices[i];
        if (slice->planned_owner != RsPlacement_NONE) {
            continue;
        }
        int32_t target = find_least_loaded(placement, slice);
        if (target != RsPlacement_NONE) {
            RsPlacement_AssignOwner(placement, slice, target);
        }
    }
}

static int
compare_points(const void *left, const void *right)
{
    const struct point *a = left;
    const struct point *b = right;
    return (a->position > b->position) - (a->position < b->position);
}

/* Writes the ring's points, sorted by position, and returns their number. Each
 * target that may receive slices has points in proportion to its share of a
 * full capacity. */
static size_t
make_ring(const struct rs_placement *placement, struct point *points)
{
    size_t count = 0;
    for (size_t i = 0; i < placement->target_count; i++) {
        const struct rs_placement_target *target = &placement->targets[i];
        size_t point_count = (size_t)(POINTS_PER_TARGET * target->share);
        for (size_t j = 0; target->may_receive && j < point_count; j++) {
            points[count].position = RsId_Combine(target->id, j);
            points[count].target = (int32_t)i;
            count++;
        }
    }
    qsort(points, count, sizeof(points[0]), compare_points);
    return count;
}

/* Returns the target of the first point at or after a position, wrapping
 * around. `count` is above 0. */
static int32_t
find_target_on_ring(const struct point *points, size_t count,
                    uint64_t position)
{
    size_t low = 0;
    size_t high = count;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (points[middle].position < position) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return points[low % count].target;
}

static void
assign_by_ring(struct rs_placement *placement)
{
    size_t capacity = placement->target_count * POINTS_PER_TARGET;
    struct point *points = calloc(capacity + 1, sizeof(points[0]));
    size_t count = make_ring(placement, points);
    for (size_t i = 0; count > 0 && i < placement->slice_count; i++) {
        struct rs_placement_slice *slice = &placement->slices[i];
        int32_t target = find_target_on_ring(
            points, count, RsId_Combine(slice->id, slice->id));
        bool is_blocked = slice->bound_to_cell &&
                          placement->targets[target].cell != slice->cell;
        if (!is_blocked && clear_owner(placement, slice)) {
            RsPlacement_AssignOwner(placement, slice, target);
        }
    }
    free(points);
}

/* Returns the policy that reassigns all movable slices in each plan. */
const struct rs_planner_policy *
RsPlanner_FullPolicy(void)
{
    static const struct rs_planner_policy policy = {"full", reassign_all};
    return &policy;
}

/* Returns the policy that uses a consistent hashing ring. */
const struct rs_planner_policy *
RsPlanner_RingPolicy(void)
{
    static const struct rs_planner_policy policy = {"ring", assign_by_ring};
    return &policy;
}
