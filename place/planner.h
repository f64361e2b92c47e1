/* Plans which target owns each slice of a rule, and who follows it.
 *
 * The planner is a pure function of its options: two planners with the same
 * options make the same plan. It plans for all cells and hands out the
 * changes that the asking cell may write: those of slices that the cell has,
 * of unassigned ones that it would get, and of cells that are lost.
 */

#ifndef RATTANSHED_PLACE_PLANNER_H
#define RATTANSHED_PLACE_PLANNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"
#include "place/model.h"

enum rs_planner_error {
    RsPlanner_BAD_OPTIONS = RsError_PLACE - 20
};

struct rs_placement;

/* Chooses the owner of each slice. */
struct rs_planner_policy {
    const char *name;
    void (*place)(struct rs_placement *placement);
};

/* Policies: few moves, all anew, and a ring of consistent hashing */
const struct rs_planner_policy *RsPlanner_Minimal(void);
const struct rs_planner_policy *RsPlanner_Full(void);
const struct rs_planner_policy *RsPlanner_Ring(void);

/* A target of one of the rule's places. */
struct rs_planner_target {
    char name[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    char cell[RsModel_NAME_BYTES]; /* empty: not known yet */
    bool alive;   /* in the VM list, and not reported dead by its speaker */
    bool leaving; /* serves, and is to get no new work */
    bool listed;  /* in the VM list: what all cells know alike */
    double share; /* of a full target's capacity, 0 to 1; slow ones less */
    double base_load; /* that it is taken to have besides its slices */
};

struct rs_planner_domain {
    char name[RsModel_NAME_BYTES];
    enum rs_model_domain_state state;
    bool silent; /* none of its entry VMs has been heard for a full lease */
};

/* Borrows all that it points to. A domain that is not listed is in. A domain
 * without entry VMs in the platform's list, for longer than a lease and the
 * list's lag, may be given as lost like one that operators attest. */
struct rs_planner_options {
    const char *rule;
    uint32_t slices;
    enum rs_model_cut_off cut_off;
    const struct rs_planner_target *targets;
    size_t target_count;
    const struct rs_planner_domain *domains;
    size_t domain_count;
    const char *const *lost_cells; /* besides those of lost domains */
    size_t lost_cell_count;
    const struct rs_model_assignment *present; /* one a slice, by index */
    const uint8_t *positions; /* of the owners in `succession`; NULL: first */
    const double *loads;      /* requests/s of each slice; NULL: unknown */
    bool loads_are_weights;   /* nothing is added for idle slices */
    const int64_t *keep_until_ms; /* no move for load before; NULL: none */
    int64_t now_ms;
    const char *cell;    /* that asks; NULL: return all changes */
    uint32_t successors; /* wanted behind the owner; 0: 2 */
    uint32_t max_moves;  /* for balance, a round; 0: a 64th, 8 or more */
    uint32_t hysteresis_permille;           /* of the mean load; 0: 50 */
    const struct rs_planner_policy *policy; /* NULL: the minimal one */
};

/* Owns `changes`; free it with RsPlanner_FreePlan(). */
struct rs_planner_plan {
    struct rs_model_assignment *changes;
    size_t change_count;
    size_t moves; /* changes that give an assigned slice another owner */
};

int RsPlanner_Plan(const struct rs_planner_options *options,
                   struct rs_planner_plan *plan);
void RsPlanner_FreePlan(struct rs_planner_plan *plan);
bool RsPlanner_Settle(const struct rs_model_assignment *held,
                      struct rs_model_assignment *settled);

#endif
