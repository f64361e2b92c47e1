/* Policies that stand beside the minimal one for comparison: all placed anew
 * by greedy balance, and a ring of consistent hashing. */

#include <assert.h>
#include <stdlib.h>

#include "core/id.h"
#include "place/placement.h"

#define POINTS_PER_TARGET 64

struct point {
    uint64_t at;
    int32_t target;
};

/* Takes its owner from a slice that may be placed anew. Returns whether it
 * may. */
static bool
release(struct rs_placement *placement, struct rs_placement_slice *slice)
{
    if (slice->owner == RsPlacement_NONE) {
        return true;
    }
    if (!slice->movable) {
        return false;
    }
    placement->targets[slice->owner].load -= slice->load;
    slice->owner = RsPlacement_NONE;
    return true;
}

/* Returns the target that would be loaded least with the slice; among equals
 * the one that ranks first by rendezvous hashing, so that what is placed anew
 * often comes to where it was. */
static int32_t
least_by_rank(const struct rs_placement *placement,
              const struct rs_placement_slice *slice)
{
    int32_t best = RsPlacement_NONE;
    double best_load = 0;
    uint64_t best_rank = 0;
    for (size_t i = 0; i < placement->target_count; i++) {
        const struct rs_placement_target *target = &placement->targets[i];
        double load = (target->load + slice->load) / target->share;
        bool other_cell = target->cell != slice->cell;
        if (!target->receives || (slice->frozen && other_cell) ||
            (best != RsPlacement_NONE && load > best_load)) {
            continue;
        }
        uint64_t rank = RsId_Combine(slice->id, target->id);
        if (best == RsPlacement_NONE || load < best_load || rank > best_rank) {
            best = (int32_t)i;
            best_load = load;
            best_rank = rank;
        }
    }
    return best;
}

static void
place_full(struct rs_placement *placement)
{
    for (size_t i = 0; i < placement->slice_count; i++) {
        release(placement, &placement->slices[i]);
    }
    for (size_t i = 0; i < placement->slice_count; i++) {
        struct rs_placement_slice *slice = &placement->slices[i];
        if (slice->owner != RsPlacement_NONE) {
            continue;
        }
        int32_t target = least_by_rank(placement, slice);
        if (target != RsPlacement_NONE) {
            RsPlacement_Give(placement, slice, target);
        }
    }
}

static int
compare_points(const void *left, const void *right)
{
    const struct point *a = left;
    const struct point *b = right;
    return (a->at > b->at) - (a->at < b->at);
}

static size_t
make_ring(const struct rs_placement *placement, struct point *points)
{
    size_t count = 0;
    for (size_t i = 0; i < placement->target_count; i++) {
        const struct rs_placement_target *target = &placement->targets[i];
        size_t wanted = (size_t)(POINTS_PER_TARGET * target->share);
        for (size_t j = 0; target->receives && j < wanted; j++) {
            points[count].at = RsId_Combine(target->id, j);
            points[count].target = (int32_t)i;
            count++;
        }
    }
    qsort(points, count, sizeof(points[0]), compare_points);
    return count;
}

/* Returns the target of the first point at or after a position. */
static int32_t
look_up(const struct point *points, size_t count, uint64_t at)
{
    size_t low = 0;
    size_t high = count;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (points[middle].at < at) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return points[low % count].target;
}

static void
place_on_ring(struct rs_placement *placement)
{
    size_t room = placement->target_count * POINTS_PER_TARGET;
    struct point *points = calloc(room + 1, sizeof(points[0]));
    size_t count = make_ring(placement, points);
    for (size_t i = 0; count > 0 && i < placement->slice_count; i++) {
        struct rs_placement_slice *slice = &placement->slices[i];
        int32_t target =
            look_up(points, count, RsId_Combine(slice->id, slice->id));
        bool stays =
            slice->frozen && placement->targets[target].cell != slice->cell;
        if (!stays && release(placement, slice)) {
            RsPlacement_Give(placement, slice, target);
        }
    }
    free(points);
}

/* Returns the policy that places every slice anew each time. */
const struct rs_planner_policy *
RsPlanner_Full(void)
{
    static const struct rs_planner_policy policy = {"full", place_full};
    return &policy;
}

/* Returns the policy of a ring of consistent hashing. */
const struct rs_planner_policy *
RsPlanner_Ring(void)
{
    static const struct rs_planner_policy policy = {"ring", place_on_ring};
    return &policy;
}
