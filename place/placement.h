/* The planner's working state: targets, slices and who owns what. Shared by
 * the planner and its policies only. */

#ifndef RATTANSHED_PLACE_PLACEMENT_H
#define RATTANSHED_PLACE_PLACEMENT_H

#include "place/planner.h"

#define RsPlacement_NONE (-1)

struct rs_placement_target {
    const struct rs_planner_target *target;
    uint64_t id;
    uint64_t cell; /* id of its cell */
    bool keeps;    /* may go on owning slices */
    bool receives; /* may be given slices */
    double share;
    double load;
    size_t cell_first; /* its cell's range among the targets */
    size_t cell_count;
};

struct rs_placement_slice {
    uint64_t id;
    uint64_t cell;   /* id of the cell that has it; 0: unassigned */
    int32_t present; /* target that owns it now */
    int32_t owner;   /* target that is to own it */
    bool pinned;     /* stays as it is */
    bool frozen;     /* stays in its cell */
    bool movable;    /* may be moved for balance */
    double load;
};

struct rs_placement_name {
    uint64_t id;
    int32_t target;
};

/* Targets are sorted by cell, then by id. */
struct rs_placement {
    const struct rs_planner_options *options;
    struct rs_placement_target *targets;
    size_t target_count;
    struct rs_placement_name *names; /* of targets, sorted by id */
    struct rs_placement_slice *slices;
    size_t slice_count;
    bool all_out;  /* no domain that is in can take slices */
    bool may_take; /* most domains are heard: silent ones may lose slices */
    bool weighted; /* loads or shares differ */
    double total;  /* load */
    uint32_t max_moves;
    double hysteresis; /* share of the mean load */
    uint32_t successors;
};

int RsPlacement_Open(struct rs_placement *placement,
                     const struct rs_planner_options *options);
void RsPlacement_Close(struct rs_placement *placement);
bool RsPlacement_CellLost(const struct rs_placement *placement,
                          const char *cell);
bool RsPlacement_CellTaken(const struct rs_placement *placement,
                           const char *cell);
int32_t RsPlacement_Find(const struct rs_placement *placement,
                         const char *target);
void RsPlacement_Give(struct rs_placement *placement,
                      struct rs_placement_slice *slice, int32_t target);
int32_t RsPlacement_Least(const struct rs_placement *placement,
                          const struct rs_placement_slice *slice);

#endif
