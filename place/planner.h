/* Plans which target owns each slice of a rule, and which targets succeed the
 * owner when it fails.
 *
 * The planner is a pure function of its options: the same options always give
 * the same plan. It plans for all cells. If the options name a cell, the plan
 * has only the changes that this cell may write: those of slices that are
 * assigned to this cell, of unassigned slices that the cell is to get, and of
 * slices whose cell is lost or may be taken over. */

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

/* An algorithm that chooses the owner of each slice. */
struct rs_planner_policy {
    const char *name;
    void (*choose_owners)(struct rs_placement *placement);
};

/* Policies: keep the owners and move slices only for balance; reassign all
 * movable slices; use a consistent hashing ring. The last two serve for
 * comparison only. */
const struct rs_planner_policy *RsPlanner_MinimalPolicy(void);
const struct rs_planner_policy *RsPlanner_FullPolicy(void);
const struct rs_planner_policy *RsPlanner_RingPolicy(void);

/* A target in one of the rule's places. */
struct rs_planner_target {
    char name[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    char cell[RsModel_NAME_BYTES]; /* empty: not known yet */
    bool alive;   /* listed, and not found lost by this process */
    bool leaving; /* still serves, but gives up its slices */
    bool listed;  /* in the VM list, which all cells share */
    double share; /* of a full target's capacity, 0 to 1; below 1 if slow */
    double base_load; /* added to the load of its slices */
};

struct rs_planner_domain {
    char name[RsModel_NAME_BYTES];
    enum rs_model_domain_state state;
    bool silent; /* no heartbeat of its entry VMs for a full lease */
};

/* The caller keeps ownership of everything that the options point to. A domain
 * that is not in `domains` counts as RsModel_DOMAIN_IN. A domain that has had
 * no entry VMs in the platform's list for longer than a lease plus the list's
 * lag may be given as RsModel_DOMAIN_LOST, like one that operators confirmed
 * as lost. */
struct rs_planner_options {
    const char *rule;
    uint32_t slices;
    enum rs_model_cut_off cut_off;
    const struct rs_planner_target *targets;
    size_t target_count;
    const struct rs_planner_domain *domains;
    size_t domain_count;
    const char *const *lost_cells; /* in addition to those of lost domains */
    size_t lost_cell_count;
    const struct rs_model_assignment *present; /* by slice index */
    const uint8_t *positions;     /* index of each slice's owner in its
                                   * succession; NULL: all 0 */
    const double *loads;          /* requests/s of each slice; NULL: unknown */
    bool loads_are_weights;       /* use as they are, without the base load
                                   * that keeps idle slices spread */
    const int64_t *keep_until_ms; /* earliest time at which each slice may
                                   * move for balance; NULL: any time */
    int64_t now_ms;
    const char *cell;    /* cell that writes the changes; NULL: any */
    uint32_t successors; /* number wanted after the owner, below
                          * RsModel_MAX_SUCCESSION; 0: 2 */
    uint32_t max_moves;  /* maximum number of moves for balance in one plan; 0:
                          * a 64th of the slices, at least 8 */
    uint32_t hysteresis_permille; /* tolerated deviation from the mean load,
                                   * in thousandths of it; 0: 50. Ignored
                                   * (almost no deviation is tolerated) while
                                   * slice loads are unknown or 0 and every
                                   * target has its full share */
    const struct rs_planner_policy *policy; /* NULL: the minimal one */
};

/* Owns `changes`. Free it with RsPlanner_FreePlan(). */
struct rs_planner_plan {
    struct rs_model_assignment *changes;
    size_t change_count;
    size_t moves; /* changes of the owner of an assigned slice */
};

int RsPlanner_Plan(const struct rs_planner_options *options,
                   struct rs_planner_plan *plan);
void RsPlanner_FreePlan(struct rs_planner_plan *plan);
bool RsPlanner_FinishHandover(const struct rs_model_assignment *present,
                              struct rs_model_assignment *settled);

#endif
