/* Writes the rows that say which cell and targets have each slice, and who
 * the members of this process's cell are. One live member of each cell does
 * it; two at once do no harm, since each row is written by compare-and-set. */

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
    struct rs_counter moves;
    struct rs_counter balance_moves;
    struct rs_counter round_us; /* time spent planning */
};

struct rs_planning_options {
    const char *self;
    const char *domain;
    struct rs_platform *platform;
    const struct rs_members *members;
    const struct rs_leases *leases;
    struct rs_loads *loads;
    uint32_t lease_ms;
    /* A row was written, or another one won: read the table now. */
    void (*written)(void *arg);
    void *arg;
};

struct rs_planning *RsPlanning_New(const struct rs_planning_options *options);

/* The view is valid during the call. */
void RsPlanning_Wake(struct rs_planning *planning);
void RsPlanning_Review(struct rs_planning *planning);
void RsPlanning_Tick(struct rs_planning *planning, int64_t now_ms,
                     const struct rs_view *view);
/* The member that plans for a cell: the live one with the lowest name. */
const char *RsPlanning_Planner(const struct rs_planning *planning,
                               const struct rs_view_cell *cell,
                               int64_t now_ms);
void RsPlanning_VmsWereRead(struct rs_planning *planning, int64_t now_ms,
                            const struct rs_view *view);
const struct rs_planning_counters *
RsPlanning_Counters(const struct rs_planning *planning);

#endif
