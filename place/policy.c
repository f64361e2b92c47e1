/* The policy that keeps the present owners where it can. Slices without a
 * planned owner go to the least loaded targets. Then a bounded number of
 * slices is moved for balance, unless targets in domains that are out are in
 * use. */

#include <stdlib.h>

#include "core/id.h"
#include "place/placement.h"

/* Deviations from the mean load by less than this fraction of it are taken for
 * rounding errors. */
#define ROUNDING_TOLERANCE 1e-9
/* Minimum benefit of a move from one target (the donor) to another: the higher
 * of their two relative loads must fall by at least this fraction of the
 * slice's load divided by the donor's share. */
#define MIN_GAIN 0.1

/* The state of balancing. The movable slices of each target form a linked list
 * of slice indexes. */
struct balancer {
    struct rs_placement *placement;
    int32_t *first_slice; /* by target: first slice of its list, or
                           * RsPlacement_NONE */
    int32_t *next_slice;  /* by slice: next slice of the list, or
                           * RsPlacement_NONE */
    bool *exhausted;      /* by target: no move from it to the least loaded
                           * receiver was worthwhile in this pass */
    double mean_load;     /* total load of the targets that may receive slices,
                           * divided by their total share */
    double tolerance;     /* tolerated deviation as a fraction of the mean */
    uint32_t moves;       /* made so far that count against the limit */
};

/* Returns a target's load divided by its share of a full capacity. */
static double
relative_load(const struct rs_placement_target *target)
{
    return target->load / target->share;
}

/* Returns the target with the highest relative load among those that have
 * movable slices and are not exhausted, or RsPlacement_NONE. */
static int32_t
find_donor(const struct balancer *balancer)
{
    const struct rs_placement *placement = balancer->placement;
    int32_t donor = RsPlacement_NONE;
    double most = 0;
    for (size_t i = 0; i < placement->target_count; i++) {
        double load = relative_load(&placement->targets[i]);
        if (!balancer->exhausted[i] &&
            balancer->first_slice[i] != RsPlacement_NONE &&
            (donor == RsPlacement_NONE || load > most)) {
            donor = (int32_t)i;
            most = load;
        }
    }
    return donor;
}

/* Returns the target other than the donor that may receive slices and would
 * have the lowest relative load with one more slice of mean load, or
 * RsPlacement_NONE. Of equally loaded targets, one in the donor's cell is
 * preferred. */
static int32_t
find_receiver(const struct balancer *balancer, int32_t donor)
{
    const struct rs_placement *placement = balancer->placement;
    double mean_slice_load =
        placement->total_load / (double)placement->slice_count;
    uint64_t cell = placement->targets[donor].cell;
    int32_t receiver = RsPlacement_NONE;
    double least_load = 0;
    for (size_t i = 0; i < placement->target_count; i++) {
        const struct rs_placement_target *target = &placement->targets[i];
        if (!target->may_receive || (int32_t)i == donor) {
            continue;
        }
        double load = (target->load + mean_slice_load) / target->share;
        bool wins_tie = receiver != RsPlacement_NONE && load == least_load &&
                        target->cell == cell &&
                        placement->targets[receiver].cell != cell;
        if (receiver == RsPlacement_NONE || load < least_load || wins_tie) {
            receiver = (int32_t)i;
            least_load = load;
        }
    }
    return receiver;
}

/* Returns whether the donor's relative load is above the mean, or the
 * receiver's below it, by more than the tolerance. */
static bool
is_imbalanced(const struct balancer *balancer,
              const struct rs_placement_target *donor,
              const struct rs_placement_target *receiver)
{
    double high = balancer->mean_load * (1 + balancer->tolerance);
    double low = balancer->mean_load * (1 - balancer->tolerance);
    return relative_load(donor) > high || relative_load(receiver) < low;
}

/* Returns the slice whose move from the donor to the receiver minimizes the
 * higher relative load of the two. Returns RsPlacement_NONE when the two
 * targets are not imbalanced, or when no move has the benefit that MIN_GAIN
 * requires. */
static int32_t
find_slice(const struct balancer *balancer, int32_t donor, int32_t receiver)
{
    const struct rs_placement *placement = balancer->placement;
    const struct rs_placement_target *from = &placement->targets[donor];
    const struct rs_placement_target *to = &placement->targets[receiver];
    int32_t best = RsPlacement_NONE;
    if (!is_imbalanced(balancer, from, to)) {
        return best;
    }
    double current_peak = relative_load(from);
    double best_peak = current_peak;
    uint64_t best_hash = 0;
    for (int32_t i = balancer->first_slice[donor]; i != RsPlacement_NONE;
         i = balancer->next_slice[i]) {
        const struct rs_placement_slice *slice = &placement->slices[i];
        double receiver_load = (to->load + slice->load) / to->share;
        double donor_load = (from->load - slice->load) / from->share;
        double peak = receiver_load > donor_load ? receiver_load : donor_load;
        uint64_t hash = RsId_Combine(slice->id, to->id);
        bool tie = best != RsPlacement_NONE && peak == best_peak;
        if (current_peak - peak < MIN_GAIN * slice->load / from->share) {
            continue;
        }
        if (peak < best_peak || (tie && hash > best_hash)) {
            best = i;
            best_peak = peak;
            best_hash = hash;
        }
    }
    return best;
}

static void
unlink_slice(struct balancer *balancer, int32_t donor, int32_t slice)
{
    int32_t *link = &balancer->first_slice[donor];
    while (*link != slice) {
        link = &balancer->next_slice[*link];
    }
    *link = balancer->next_slice[slice];
}

static void
link_slice(struct balancer *balancer, int32_t owner, int32_t slice)
{
    balancer->next_slice[slice] = balancer->first_slice[owner];
    balancer->first_slice[owner] = slice;
}

static void
move_slice(struct balancer *balancer, int32_t index, int32_t receiver)
{
    struct rs_placement *placement = balancer->placement;
    struct rs_placement_slice *slice = &placement->slices[index];
    int32_t donor = slice->planned_owner;
    unlink_slice(balancer, donor, index);
    placement->targets[donor].load -= slice->load;
    /* Only slices that would keep their owner count against the limit. */
    balancer->moves += slice->planned_owner == slice->current_owner ? 1 : 0;
    slice->planned_owner = RsPlacement_NONE;
    RsPlacement_AssignOwner(placement, slice, receiver);
    link_slice(balancer, receiver, index);
}

/* Recomputes the loads of all targets in the order in which the next plan
 * will, so that rounding errors can't make the next plan see a different
 * state. Marks no target as exhausted. */
static void
start_pass(struct balancer *balancer)
{
    struct rs_placement *placement = balancer->placement;
    for (size_t i = 0; i < placement->target_count; i++) {
        placement->targets[i].load = placement->targets[i].input->base_load;
        balancer->exhausted[i] = false;
    }
    for (size_t i = 0; i < placement->slice_count; i++) {
        const struct rs_placement_slice *slice = &placement->slices[i];
        if (slice->planned_owner != RsPlacement_NONE) {
            placement->targets[slice->planned_owner].load += slice->load;
        }
    }
}

/* Moves slices from the most to the least loaded targets until no worthwhile
 * move is found or the limit is reached. Returns the number of moves. */
static size_t
balance_pass(struct balancer *balancer)
{
    const struct rs_placement *placement = balancer->placement;
    size_t moved = 0;
    start_pass(balancer);
    while (balancer->moves < placement->max_moves) {
        int32_t donor = find_donor(balancer);
        if (donor == RsPlacement_NONE) {
            break;
        }
        int32_t receiver = find_receiver(balancer, donor);
        int32_t slice = RsPlacement_NONE;
        if (receiver != RsPlacement_NONE) {
            slice = find_slice(balancer, donor, receiver);
        }
        if (slice == RsPlacement_NONE && !placement->uses_hysteresis) {
            break; /* all slices have the same load and all targets the same
                    * share, so that no other move gains more */
        }
        if (slice == RsPlacement_NONE) {
            balancer->exhausted[donor] = true;
            continue;
        }
        move_slice(balancer, slice, receiver);
        moved++;
    }
    return moved;
}

static void
link_movable_slices(struct balancer *balancer)
{
    struct rs_placement *placement = balancer->placement;
    for (size_t i = 0; i < placement->target_count; i++) {
        balancer->first_slice[i] = RsPlacement_NONE;
    }
    for (size_t i = placement->slice_count; i-- > 0;) {
        const struct rs_placement_slice *slice = &placement->slices[i];
        if (slice->planned_owner != RsPlacement_NONE && slice->movable) {
            link_slice(balancer, slice->planned_owner, (int32_t)i);
        }
    }
}

/* Returns the total load of the targets that may receive slices, divided by
 * their total share: the relative load of each if load were evenly spread. */
static double
mean_load(const struct rs_placement *placement)
{
    double load = 0;
    double shares = 0;
    for (size_t i = 0; i < placement->target_count; i++) {
        const struct rs_placement_target *target = &placement->targets[i];
        load += target->may_receive ? target->load : 0;
        shares += target->may_receive ? target->share : 0;
    }
    return shares > 0 ? load / shares : 0;
}

/* Balances until a complete pass moves nothing, so that the next plan finds
 * nothing to move either, or until the limit is reached. */
static void
balance_owners(struct rs_placement *placement)
{
    size_t targets = placement->target_count;
    struct balancer balancer = {
        .placement = placement,
        .first_slice = calloc(targets + 1, sizeof(int32_t)),
        .next_slice = calloc(placement->slice_count, sizeof(int32_t)),
        .exhausted = calloc(targets + 1, sizeof(bool)),
        .mean_load = mean_load(placement),
        .tolerance = placement->uses_hysteresis ? placement->hysteresis
                                                : ROUNDING_TOLERANCE,
    };
    link_movable_slices(&balancer);
    while (balance_pass(&balancer) > 0 &&
           balancer.moves < placement->max_moves) {
    }
    free(balancer.first_slice);
    free(balancer.next_slice);
    free(balancer.exhausted);
}

static void
assign_unowned_slices(struct rs_placement *placement)
{
    for (size_t i = 0; i < placement->slice_count; i++) {
        struct rs_placement_slice *slice = &placement->slices[i];
        if (slice->planned_owner != RsPlacement_NONE) {
            continue;
        }
        int32_t target = RsPlacement_FindLeastLoaded(placement, slice);
        if (target != RsPlacement_NONE) {
            RsPlacement_AssignOwner(placement, slice, target);
        }
    }
}

static void
choose_owners_minimally(struct rs_placement *placement)
{
    assign_unowned_slices(placement);
    if (!placement->uses_out_domains) {
        balance_owners(placement);
    }
}

/* Returns the policy that keeps the present owners where it can, and moves
 * slices only to balance load, at most `max_moves` in a plan. */
const struct rs_planner_policy *
RsPlanner_MinimalPolicy(void)
{
    static const struct rs_planner_policy policy = {"minimal",
                                                    choose_owners_minimally};
    return &policy;
}
