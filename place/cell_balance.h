/* Balances load within one cell. Between cells, the planner balances the
 * number of slices per target.
 *
 * A cell knows the load of its own slices only. RsCellBalance_ComputeWeights()
 * therefore gives the planner weights with which each target of a cell appears
 * to have the average number of slices of that cell, so that the planner's
 * moves for balance only even out differences between cells.
 * RsCellBalance_Plan() plans moves by load within the cell of the process that
 * plans. The caller limits their number by `max_moves`, and how soon a slice
 * may move again by `keep_until_ms`. */

#ifndef RATTANSHED_PLACE_CELL_BALANCE_H
#define RATTANSHED_PLACE_CELL_BALANCE_H

#include <stddef.h>
#include <stdint.h>

#include "place/planner.h"

/* The caller keeps ownership of everything that the options point to. */
struct rs_cell_balance_options {
    const char *rule;
    const char *cell; /* cell of the process that plans */
    const struct rs_planner_target *targets; /* of all cells */
    size_t target_count;
    const struct rs_model_assignment *present; /* by slice index */
    size_t slices;
    const uint8_t *positions;     /* index of each slice's owner in its
                                   * succession; NULL: all 0 */
    const double *rates;          /* requests/s of each slice */
    const int64_t *keep_until_ms; /* earliest time at which each slice may
                                   * move for balance; NULL: any time */
    int64_t now_ms;
    uint32_t max_moves; /* as in rs_planner_options, but 0 means a 64th of the
                         * cell's slices, at least 8 */
    uint32_t hysteresis_permille; /* as in rs_planner_options */
};

void
RsCellBalance_ComputeWeights(const struct rs_cell_balance_options *options,
                             double *weights, double *base_loads);
int RsCellBalance_Plan(const struct rs_cell_balance_options *options,
                       struct rs_planner_plan *plan);

#endif
