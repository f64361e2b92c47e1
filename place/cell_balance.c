#include "place/cell_balance.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "place/slice.h"

/* A target and the number of slices that it owns. */
struct target_tally {
    const struct rs_planner_target *target;
    size_t slice_count;
};

/* Returns the name of the target that owns a slice, or "" when the slice is
 * not assigned or its position is out of range. */
static const char *
owner_of(const struct rs_cell_balance_options *options, size_t slice_in_rule)
{
    const struct rs_model_assignment *assignment =
        &options->present[slice_in_rule];
    size_t position =
        options->positions != NULL ? options->positions[slice_in_rule] : 0;
    if (assignment->epoch == 0 || position >= assignment->succession_count) {
        return "";
    }
    return assignment->succession[position];
}

/* The numbers of slices by target and by cell. */
struct slice_counts {
    struct target_tally *tallies; /* by target, in the order of the options */
    GHashTable *by_name;          /* target name to struct target_tally */
    GHashTable *cells;            /* cell name to struct cell_totals */
};

/* Returns whether a target may own slices, judged only by facts that all cells
 * share. Only a target's own cell knows that the target is lost. If that cell
 * left the target out, the cells would compute different averages and move
 * slices back and forth. */
static bool
is_usable(const struct rs_planner_target *target)
{
    return target->listed && !target->leaving && target->cell[0] != '\0';
}

static void
count_slices(const struct rs_cell_balance_options *options,
             struct slice_counts *slice_counts)
{
    for (size_t i = 0; i < options->slices; i++) {
        struct target_tally *tally =
            g_hash_table_lookup(slice_counts->by_name, owner_of(options, i));
        if (tally != NULL) {
            tally->slice_count++;
        }
    }
}

/* Totals of one cell: its usable targets, and the slices that any of its
 * targets own. */
struct cell_totals {
    size_t target_count; /* usable ones */
    size_t slice_count;  /* of all targets, including unusable ones */
};

/* Returns the totals of a cell. The first call for a cell creates them, all 0.
 */
static struct cell_totals *
get_cell_totals(const struct slice_counts *slice_counts, const char *cell)
{
    struct cell_totals *totals =
        g_hash_table_lookup(slice_counts->cells, cell);
    if (totals == NULL) {
        totals = g_new0(struct cell_totals, 1);
        g_hash_table_insert(slice_counts->cells, (gpointer)cell, totals);
    }
    return totals;
}

static void
init_slice_counts(const struct rs_cell_balance_options *options,
                  struct slice_counts *slice_counts)
{
    size_t count = options->target_count;
    slice_counts->tallies = g_new0(struct target_tally, count + 1);
    slice_counts->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    slice_counts->cells =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (size_t i = 0; i < count; i++) {
        slice_counts->tallies[i].target = &options->targets[i];
        g_hash_table_insert(slice_counts->by_name,
                            (gpointer)options->targets[i].name,
                            &slice_counts->tallies[i]);
    }
    count_slices(options, slice_counts);
    for (size_t i = 0; i < count; i++) {
        struct cell_totals *totals =
            get_cell_totals(slice_counts, options->targets[i].cell);
        totals->target_count += is_usable(&options->targets[i]) ? 1 : 0;
        totals->slice_count += slice_counts->tallies[i].slice_count;
    }
}

static void
free_slice_counts(struct slice_counts *slice_counts)
{
    g_hash_table_destroy(slice_counts->cells);
    g_hash_table_destroy(slice_counts->by_name);
    g_free(slice_counts->tallies);
}

/* Returns the number of a cell's slices divided by its number of usable
 * targets, or by 1 when it has none. */
static double
cell_average(const struct slice_counts *slice_counts, const char *cell)
{
    const struct cell_totals *totals = get_cell_totals(slice_counts, cell);
    size_t targets = totals->target_count > 0 ? totals->target_count : 1;
    return (double)totals->slice_count / (double)targets;
}

/* Computes the weights by slice index and the base loads by target. The
 * weights of a target's slices add up to its cell's number of slices divided
 * by the cell's number of usable targets. A slice whose owner is not among the
 * targets has weight 1. A target without slices gets the same quotient as its
 * base load, and so looks as loaded as the other targets of its cell. Only
 * that cell knows whether the target is slow, and decides whether the target
 * gets slices. The base load of other targets is 0. The caller provides arrays
 * for all slices and all targets. */
void
RsCellBalance_ComputeWeights(const struct rs_cell_balance_options *options,
                             double *weights, double *base_loads)
{
    struct slice_counts slice_counts;
    init_slice_counts(options, &slice_counts);
    for (size_t i = 0; i < options->slices; i++) {
        const struct target_tally *tally =
            g_hash_table_lookup(slice_counts.by_name, owner_of(options, i));
        weights[i] = 1;
        if (tally != NULL) {
            weights[i] = cell_average(&slice_counts, tally->target->cell) /
                         (double)tally->slice_count;
        }
    }
    for (size_t i = 0; i < options->target_count; i++) {
        bool empty = slice_counts.tallies[i].slice_count == 0;
        base_loads[i] =
            empty ? cell_average(&slice_counts, options->targets[i].cell) : 0;
    }
    free_slice_counts(&slice_counts);
}

/* The slices and targets of the cell that plans. The planner gets them as if
 * they were a complete rule. */
struct subset {
    struct rs_planner_target *targets;
    size_t target_count;
    struct rs_model_assignment *present;
    uint8_t *positions;
    double *rates;
    int64_t *keep_until_ms;
    size_t *slice_indexes_in_rule; /* of each slice in the complete rule */
    size_t slice_count;
};

static void
init_subset(const struct rs_cell_balance_options *options,
            struct subset *subset)
{
    size_t slices = options->slices + 1;
    memset(subset, 0, sizeof(*subset));
    subset->targets =
        calloc(options->target_count + 1, sizeof(subset->targets[0]));
    subset->present = calloc(slices, sizeof(subset->present[0]));
    subset->positions = calloc(slices, sizeof(subset->positions[0]));
    subset->rates = calloc(slices, sizeof(subset->rates[0]));
    subset->keep_until_ms = calloc(slices, sizeof(subset->keep_until_ms[0]));
    subset->slice_indexes_in_rule =
        calloc(slices, sizeof(subset->slice_indexes_in_rule[0]));
    for (size_t i = 0; i < options->target_count; i++) {
        if (strcmp(options->targets[i].cell, options->cell) == 0) {
            subset->targets[subset->target_count++] = options->targets[i];
        }
    }
}

static void
free_subset(struct subset *subset)
{
    free(subset->targets);
    free(subset->present);
    free(subset->positions);
    free(subset->rates);
    free(subset->keep_until_ms);
    free(subset->slice_indexes_in_rule);
}

static void
add_slice(const struct rs_cell_balance_options *options, size_t slice_in_rule,
          struct subset *subset)
{
    size_t subset_index = subset->slice_count++;
    subset->slice_indexes_in_rule[subset_index] = slice_in_rule;
    subset->present[subset_index] = options->present[slice_in_rule];
    subset->rates[subset_index] = options->rates[slice_in_rule];
    if (options->positions != NULL) {
        subset->positions[subset_index] = options->positions[slice_in_rule];
    }
    if (options->keep_until_ms != NULL) {
        subset->keep_until_ms[subset_index] =
            options->keep_until_ms[slice_in_rule];
    }
}

/* Replaces the slice ids in a plan, which were made from the indexes in the
 * subset, by the ids in the complete rule. */
static void
restore_slice_ids(const struct rs_cell_balance_options *options,
                  const struct subset *subset, struct rs_planner_plan *plan)
{
    for (size_t i = 0; i < plan->change_count; i++) {
        struct rs_model_assignment *change = &plan->changes[i];
        size_t subset_index = RsSlice_Index(change->slice);
        change->slice =
            options->present[subset->slice_indexes_in_rule[subset_index]]
                .slice;
    }
}

/* Plans moves that balance the load of the targets within the cell that plans.
 * Slices that are being handed over between cells are not moved for balance.
 * Slices whose owner may not keep them get another owner in the cell. The plan
 * is empty if the cell has no slices or fewer than two targets. Returns 0 or
 * RsPlanner_BAD_OPTIONS. Free the plan with RsPlanner_FreePlan(). */
int
RsCellBalance_Plan(const struct rs_cell_balance_options *options,
                   struct rs_planner_plan *plan)
{
    struct subset subset;
    memset(plan, 0, sizeof(*plan));
    init_subset(options, &subset);
    for (size_t i = 0; i < options->slices; i++) {
        const struct rs_model_assignment *assignment = &options->present[i];
        if (assignment->epoch != 0 &&
            strcmp(assignment->cell, options->cell) == 0) {
            add_slice(options, i, &subset);
        }
    }
    int status = 0;
    if (subset.slice_count > 0 && subset.target_count > 1) {
        struct rs_planner_options subset_options = {
            .rule = options->rule,
            .slices = (uint32_t)subset.slice_count,
            .targets = subset.targets,
            .target_count = subset.target_count,
            .present = subset.present,
            .positions = subset.positions,
            .loads = subset.rates,
            .keep_until_ms = subset.keep_until_ms,
            .now_ms = options->now_ms,
            .cell = options->cell,
            .max_moves = options->max_moves,
            .hysteresis_permille = options->hysteresis_permille,
        };
        status = RsPlanner_Plan(&subset_options, plan);
        restore_slice_ids(options, &subset, plan);
    }
    free_subset(&subset);
    return status;
}
