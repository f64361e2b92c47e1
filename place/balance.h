/* Evens out load within one cell, beside the planner that evens out numbers
 * of slices between cells.
 *
 * A cell knows the load of its own slices only. So the planner is given
 * weights with which each target of a cell seems as loaded as the cell's
 * average, and moves slices between cells; and within its own cell a planner
 * moves few slices by their load, seldom, and not the same one soon again.
 */

#ifndef RATTANSHED_PLACE_BALANCE_H
#define RATTANSHED_PLACE_BALANCE_H

#include <stddef.h>
#include <stdint.h>

#include "place/planner.h"

/* Borrows all that it points to. */
struct rs_balance_options {
    const char *rule;
    const char *cell;                        /* that asks */
    const struct rs_planner_target *targets; /* of all cells */
    size_t target_count;
    const struct rs_model_assignment *present; /* one a slice, by index */
    size_t slices;
    const uint8_t *positions; /* of the owners in the successions */
    const double *rates;      /* requests/s of each slice */
    const int64_t *keep_until_ms;
    int64_t now_ms;
    uint32_t max_moves;
    uint32_t hysteresis_permille;
};

void RsBalance_Weigh(const struct rs_balance_options *options, double *weights,
                     double *base_loads);
int RsBalance_WithinCell(const struct rs_balance_options *options,
                         struct rs_planner_plan *plan);

#endif
