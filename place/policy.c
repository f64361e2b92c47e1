/* The policy that moves as little as possible: owners that may keep their
 * slices do; slices without one go to the least loaded targets; then a
 * bounded number is moved for balance. */

#include <stdlib.h>

#include "core/id.h"
#include "place/placement.h"

/* Differences below this share of the mean load are rounding. */
#define ROUNDING 1e-9
/* A move has to lower the peak of the two targets by this share of what the
 * slice weighs there. */
#define LEAST_GAIN 0.1

/* The movable slices of each target, as linked lists of indexes, and the
 * targets that can't give any more in this pass. */
struct balance {
    struct rs_placement *placement;
    int32_t *first; /* by target */
    int32_t *next;  /* by slice */
    bool *done;     /* by target */
    double mean;    /* relative load */
    double slack;   /* share of the mean that is left uneven */
    uint32_t moves;
};

static double
relative_load(const struct rs_placement_target *target)
{
    return target->load / target->share;
}

/* Returns the most loaded target that may still give, or RsPlacement_NONE. */
static int32_t
find_donor(const struct balance *balance)
{
    const struct rs_placement *placement = balance->placement;
    int32_t donor = RsPlacement_NONE;
    double most = 0;
    for (size_t i = 0; i < placement->target_count; i++) {
        double load = relative_load(&placement->targets[i]);
        if (!balance->done[i] && balance->first[i] != RsPlacement_NONE &&
            (donor == RsPlacement_NONE || load > most)) {
            donor = (int32_t)i;
            most = load;
        }
    }
    return donor;
}

/* Returns the target that would be loaded least with one more mean slice;
 * among equals one in the donor's cell. */
static int32_t
find_receiver(const struct balance *balance, int32_t donor)
{
    const struct rs_placement *placement = balance->placement;
    double mean = placement->total / (double)placement->slice_count;
    uint64_t cell = placement->targets[donor].cell;
    int32_t receiver = RsPlacement_NONE;
    double least = 0;
    for (size_t i = 0; i < placement->target_count; i++) {
        const struct rs_placement_target *target = &placement->targets[i];
        if (!target->receives || (int32_t)i == donor) {
            continue;
        }
        double load = (target->load + mean) / target->share;
        bool nearer = receiver != RsPlacement_NONE && load == least &&
                      target->cell == cell &&
                      placement->targets[receiver].cell != cell;
        if (receiver == RsPlacement_NONE || load < least || nearer) {
            receiver = (int32_t)i;
            least = load;
        }
    }
    return receiver;
}

/* Whether one of the two is further from the mean than the slack. */
static bool
uneven(const struct balance *balance, const struct rs_placement_target *donor,
       const struct rs_placement_target *receiver)
{
    double high = balance->mean * (1 + balance->slack);
    double low = balance->mean * (1 - balance->slack);
    return relative_load(donor) > high || relative_load(receiver) < low;
}

/* Returns the slice of the donor whose move leaves the lower peak of the
 * two, when that gains enough; else RsPlacement_NONE. */
static int32_t
find_slice(const struct balance *balance, int32_t donor, int32_t receiver)
{
    const struct rs_placement *placement = balance->placement;
    const struct rs_placement_target *a = &placement->targets[donor];
    const struct rs_placement_target *b = &placement->targets[receiver];
    int32_t best = RsPlacement_NONE;
    if (!uneven(balance, a, b)) {
        return best;
    }
    double now = relative_load(a);
    double best_peak = now;
    uint64_t best_rank = 0;
    for (int32_t i = balance->first[donor]; i != RsPlacement_NONE;
         i = balance->next[i]) {
        const struct rs_placement_slice *slice = &placement->slices[i];
        double given = (b->load + slice->load) / b->share;
        double left = (a->load - slice->load) / a->share;
        double peak = given > left ? given : left;
        uint64_t rank = RsId_Combine(slice->id, b->id);
        bool tie = best != RsPlacement_NONE && peak == best_peak;
        if (now - peak < LEAST_GAIN * slice->load / a->share) {
            continue;
        }
        if (peak < best_peak || (tie && rank > best_rank)) {
            best = i;
            best_peak = peak;
            best_rank = rank;
        }
    }
    return best;
}

static void
unlink_slice(struct balance *balance, int32_t donor, int32_t slice)
{
    int32_t *link = &balance->first[donor];
    while (*link != slice) {
        link = &balance->next[*link];
    }
    *link = balance->next[slice];
}

static void
link_slice(struct balance *balance, int32_t owner, int32_t slice)
{
    balance->next[slice] = balance->first[owner];
    balance->first[owner] = slice;
}

static void
move_slice(struct balance *balance, int32_t index, int32_t receiver)
{
    struct rs_placement *placement = balance->placement;
    struct rs_placement_slice *slice = &placement->slices[index];
    int32_t donor = slice->owner;
    unlink_slice(balance, donor, index);
    placement->targets[donor].load -= slice->load;
    /* A slice that loses its owner anyhow may go elsewhere freely. */
    balance->moves += slice->owner == slice->present ? 1 : 0;
    slice->owner = RsPlacement_NONE;
    RsPlacement_Give(placement, slice, receiver);
    link_slice(balance, receiver, index);
}

/* Sums the loads up anew, as the next plan will, so that rounding can't make
 * the next plan see another state. */
static void
begin_pass(struct balance *balance)
{
    struct rs_placement *placement = balance->placement;
    for (size_t i = 0; i < placement->target_count; i++) {
        placement->targets[i].load = placement->targets[i].target->base_load;
        balance->done[i] = false;
    }
    for (size_t i = 0; i < placement->slice_count; i++) {
        const struct rs_placement_slice *slice = &placement->slices[i];
        if (slice->owner != RsPlacement_NONE) {
            placement->targets[slice->owner].load += slice->load;
        }
    }
}

/* Moves slices from the most to the least loaded until no target can gain.
 * Returns how many were moved. */
static size_t
balance_pass(struct balance *balance)
{
    const struct rs_placement *placement = balance->placement;
    size_t moved = 0;
    begin_pass(balance);
    while (balance->moves < placement->max_moves) {
        int32_t donor = find_donor(balance);
        if (donor == RsPlacement_NONE) {
            break;
        }
        int32_t receiver = find_receiver(balance, donor);
        int32_t slice = RsPlacement_NONE;
        if (receiver != RsPlacement_NONE) {
            slice = find_slice(balance, donor, receiver);
        }
        if (slice == RsPlacement_NONE && !placement->weighted) {
            break; /* slices weigh the same: the others gain no more */
        }
        if (slice == RsPlacement_NONE) {
            balance->done[donor] = true;
            continue;
        }
        move_slice(balance, slice, receiver);
        moved++;
    }
    return moved;
}

static void
link_all(struct balance *balance)
{
    struct rs_placement *placement = balance->placement;
    for (size_t i = 0; i < placement->target_count; i++) {
        balance->first[i] = RsPlacement_NONE;
    }
    for (size_t i = placement->slice_count; i-- > 0;) {
        const struct rs_placement_slice *slice = &placement->slices[i];
        if (slice->owner != RsPlacement_NONE && slice->movable) {
            link_slice(balance, slice->owner, (int32_t)i);
        }
    }
}

/* Returns the mean over the targets that may be given slices. */
static double
mean_load(const struct rs_placement *placement)
{
    double load = 0;
    double shares = 0;
    for (size_t i = 0; i < placement->target_count; i++) {
        const struct rs_placement_target *target = &placement->targets[i];
        load += target->receives ? target->load : 0;
        shares += target->receives ? target->share : 0;
    }
    return shares > 0 ? load / shares : 0;
}

/* Balances until a whole pass moves nothing: the next plan then finds
 * nothing to move either. */
static void
balance_owners(struct rs_placement *placement)
{
    size_t targets = placement->target_count;
    struct balance balance = {
        .placement = placement,
        .first = calloc(targets + 1, sizeof(int32_t)),
        .next = calloc(placement->slice_count, sizeof(int32_t)),
        .done = calloc(targets + 1, sizeof(bool)),
        .mean = mean_load(placement),
        .slack = placement->weighted ? placement->hysteresis : ROUNDING,
    };
    link_all(&balance);
    while (balance_pass(&balance) > 0 &&
           balance.moves < placement->max_moves) {
    }
    free(balance.first);
    free(balance.next);
    free(balance.done);
}

static void
place_homeless(struct rs_placement *placement)
{
    for (size_t i = 0; i < placement->slice_count; i++) {
        struct rs_placement_slice *slice = &placement->slices[i];
        if (slice->owner != RsPlacement_NONE) {
            continue;
        }
        int32_t target = RsPlacement_Least(placement, slice);
        if (target != RsPlacement_NONE) {
            RsPlacement_Give(placement, slice, target);
        }
    }
}

static void
place_minimal(struct rs_placement *placement)
{
    place_homeless(placement);
    if (!placement->all_out) {
        balance_owners(placement);
    }
}

/* Returns the policy that moves as little as possible. */
const struct rs_planner_policy *
RsPlanner_Minimal(void)
{
    static const struct rs_planner_policy policy = {"minimal", place_minimal};
    return &policy;
}
