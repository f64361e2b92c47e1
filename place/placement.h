/* The planner's working state: the targets, the slices and their planned
 * owners. Used only by the planner and its policies. */

#ifndef RATTANSHED_PLACE_PLACEMENT_H
#define RATTANSHED_PLACE_PLACEMENT_H

#include "place/planner.h"

#define RsPlacement_NONE (-1)

struct rs_placement_target {
    const struct rs_planner_target *input; /* as given in the options */
    uint64_t id;
    uint64_t cell;        /* id of its cell's name */
    bool may_keep;        /* may keep the slices that it owns */
    bool may_receive;     /* may be assigned further slices */
    double share;         /* of a full target's capacity; above 0 */
    double load;          /* of the slices planned for it, and its base load */
    size_t first_in_cell; /* index of the first target of its cell */
    size_t count_in_cell; /* number of targets of its cell */
};

struct rs_placement_slice {
    uint64_t id;
    uint64_t cell;         /* id of the cell that the slice is assigned to; 0:
                            * unassigned */
    int32_t current_owner; /* index of the target that owns the slice now, or
                            * RsPlacement_NONE */
    int32_t planned_owner; /* index of the target that is to own the slice, or
                            * RsPlacement_NONE */
    bool pinned;           /* the plan must not change its owner */
    bool bound_to_cell;    /* the plan must keep the slice in its cell */
    bool movable;          /* may be moved for balance */
    double load;
};

/* Maps the id of a target's name to the target's index. */
struct rs_placement_index_entry {
    uint64_t id;
    int32_t target;
};

/* Targets are sorted by the id of their cell, then by their own id, so that
 * plans don't depend on the order of the options. */
struct rs_placement {
    const struct rs_planner_options *options;
    struct rs_placement_target *targets;
    size_t target_count;
    struct rs_placement_index_entry *index; /* one per target, sorted by id */
    struct rs_placement_slice *slices;
    size_t slice_count;
    bool uses_out_domains; /* targets in domains that are out may receive
                            * slices, because no other target may */
    bool may_take_over;    /* slices of silent domains may be reassigned */
    bool uses_hysteresis;  /* loads are known, or a share is below 1 */
    double total_load;     /* load of all slices */
    uint32_t max_moves;
    double hysteresis; /* deviation tolerated if uses_hysteresis, as a fraction
                        * of the mean load */
    uint32_t successor_count; /* number wanted after the owner */
};

int RsPlacement_Open(struct rs_placement *placement,
                     const struct rs_planner_options *options);
void RsPlacement_Close(struct rs_placement *placement);
bool RsPlacement_IsCellLost(const struct rs_placement *placement,
                            const char *cell);
bool RsPlacement_MayTakeOver(const struct rs_placement *placement,
                             const char *cell);
int32_t RsPlacement_FindTarget(const struct rs_placement *placement,
                               const char *target);
void RsPlacement_AssignOwner(struct rs_placement *placement,
                             struct rs_placement_slice *slice, int32_t target);
int32_t RsPlacement_FindLeastLoaded(const struct rs_placement *placement,
                                    const struct rs_placement_slice *slice);

#endif
