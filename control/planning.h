/* Writes the rows of the platform's table that assign each slice to a cell and
 * its targets, and those that list the members of the domain's cells. One live
 * member of each cell is its planner. Two planners at once, as when members
 * disagree on who is live, do no harm: each row is written by compare-and-set.
 */

#ifndef RATTANSHED_CONTROL_PLANNING_H
#define RATTANSHED_CONTROL_PLANNING_H

#include <stdbool.h>
#include <stdint.h>

#include "control/leases.h"
#include "control/loads.h"
#include "core/counter.h"
#include "member/members.h"
#include "platform/platform.h"
#include "view/view.h"

struct rs_planning;

struct rs_planning_counters {
    struct rs_counter rounds;
    struct rs_counter commits;
    struct rs_counter conflicts;
    /* owners changed, in committed plans; a roster commit adds those of the
     * last round of assignments once more, even if that was not committed */
    struct rs_counter moves;
    struct rs_counter balance_moves; /* owners changed for balance, also in
                                      * plans that were not committed */
    struct rs_counter round_us;      /* time spent planning */
};

struct rs_planning_options {
    const char *self;
    const char *domain;
    struct rs_platform *platform;
    const struct rs_members *members;
    const struct rs_leases *leases;
    struct rs_loads *loads;
    uint32_t lease_ms;
    /* Called when a commit has ended, whatever its result. The table should
     * be read then: it may have new rows of this or of another writer. */
    void (*commit_ended)(void *arg);
    void *arg;
};

struct rs_planning *RsPlanning_New(const struct rs_planning_options *options);

/* Rounds of planning. `view` is borrowed for the call. */
void RsPlanning_MarkChanged(struct rs_planning *planning);
void RsPlanning_RequestReview(struct rs_planning *planning);
void RsPlanning_Tick(struct rs_planning *planning, int64_t now_ms,
                     const struct rs_view *view);
/* Returns the planner of a cell: its live member with the lowest name. */
const char *RsPlanning_PlannerOf(const struct rs_planning *planning,
                                 const struct rs_view_cell *cell,
                                 int64_t now_ms);
void RsPlanning_VmsWereRead(struct rs_planning *planning, int64_t now_ms,
                            const struct rs_view *view);
const struct rs_planning_counters *
RsPlanning_Counters(const struct rs_planning *planning);

#endif
