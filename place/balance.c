#include "place/balance.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "place/slice.h"

struct tally {
    const struct rs_planner_target *target;
    size_t slices;
};

static const char *
owner_of(const struct rs_balance_options *options, size_t index)
{
    const struct rs_model_assignment *row = &options->present[index];
    size_t position =
        options->positions != NULL ? options->positions[index] : 0;
    if (row->epoch == 0 || position >= row->succession_count) {
        return "";
    }
    return row->succession[position];
}

/* The targets with what they own, found by name. */
struct tallies {
    struct tally *list; /* one a target, in the order of the options */
    GHashTable *by_name;
    GHashTable *averages; /* cell to slices for each target, a double */
};

/* What all cells know alike: were a target that only its own cell knows to be
 * lost left out, the cells would give slices to and fro. */
static bool
is_usable(const struct rs_planner_target *target)
{
    return target->listed && !target->leaving && target->cell[0] != '\0';
}

static void
count_slices(const struct rs_balance_options *options, struct tallies *tallies)
{
    for (size_t i = 0; i < options->slices; i++) {
        struct tally *tally =
            g_hash_table_lookup(tallies->by_name, owner_of(options, i));
        if (tally != NULL) {
            tally->slices++;
        }
    }
}

struct cell_sum {
    size_t targets; /* that may have slices */
    size_t slices;
};

static struct cell_sum *
find_sum(const struct tallies *tallies, const char *cell)
{
    struct cell_sum *sum = g_hash_table_lookup(tallies->averages, cell);
    if (sum == NULL) {
        sum = g_new0(struct cell_sum, 1);
        g_hash_table_insert(tallies->averages, (gpointer)cell, sum);
    }
    return sum;
}

static void
open_tallies(const struct rs_balance_options *options, struct tallies *tallies)
{
    size_t count = options->target_count;
    tallies->list = g_new0(struct tally, count + 1);
    tallies->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    tallies->averages =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (size_t i = 0; i < count; i++) {
        tallies->list[i].target = &options->targets[i];
        g_hash_table_insert(tallies->by_name,
                            (gpointer)options->targets[i].name,
                            &tallies->list[i]);
    }
    count_slices(options, tallies);
    for (size_t i = 0; i < count; i++) {
        struct cell_sum *sum = find_sum(tallies, options->targets[i].cell);
        sum->targets += is_usable(&options->targets[i]) ? 1 : 0;
        sum->slices += tallies->list[i].slices;
    }
}

static void
close_tallies(struct tallies *tallies)
{
    g_hash_table_destroy(tallies->averages);
    g_hash_table_destroy(tallies->by_name);
    g_free(tallies->list);
}

/* Slices of a cell for each target that may have some. */
static double
cell_average(const struct tallies *tallies, const char *cell)
{
    const struct cell_sum *sum = find_sum(tallies, cell);
    size_t targets = sum->targets > 0 ? sum->targets : 1;
    return (double)sum->slices / (double)targets;
}

/* Fills in a weight for each slice: those of one target add up to the average
 * number of slices that the targets of its cell have. A target that has none
 * gets that average as its base load: whether it is to have some is its
 * cell's affair, who knows whether it is slow. */
void
RsBalance_Weigh(const struct rs_balance_options *options, double *weights,
                double *base_loads)
{
    struct tallies tallies;
    open_tallies(options, &tallies);
    for (size_t i = 0; i < options->slices; i++) {
        const struct tally *tally =
            g_hash_table_lookup(tallies.by_name, owner_of(options, i));
        weights[i] = 1;
        if (tally != NULL) {
            weights[i] = cell_average(&tallies, tally->target->cell) /
                         (double)tally->slices;
        }
    }
    for (size_t i = 0; i < options->target_count; i++) {
        bool empty = tallies.list[i].slices == 0;
        base_loads[i] =
            empty ? cell_average(&tallies, options->targets[i].cell) : 0;
    }
    close_tallies(&tallies);
}

/* The asking cell's slices and targets as a rule of their own. */
struct part {
    struct rs_planner_target *targets;
    size_t target_count;
    struct rs_model_assignment *present;
    uint8_t *positions;
    double *rates;
    int64_t *keep_until_ms;
    size_t *index; /* in the whole */
    size_t slices;
};

static void
open_part(const struct rs_balance_options *options, struct part *part)
{
    size_t slices = options->slices + 1;
    memset(part, 0, sizeof(*part));
    part->targets =
        calloc(options->target_count + 1, sizeof(part->targets[0]));
    part->present = calloc(slices, sizeof(part->present[0]));
    part->positions = calloc(slices, sizeof(part->positions[0]));
    part->rates = calloc(slices, sizeof(part->rates[0]));
    part->keep_until_ms = calloc(slices, sizeof(part->keep_until_ms[0]));
    part->index = calloc(slices, sizeof(part->index[0]));
    for (size_t i = 0; i < options->target_count; i++) {
        if (strcmp(options->targets[i].cell, options->cell) == 0) {
            part->targets[part->target_count++] = options->targets[i];
        }
    }
}

static void
close_part(struct part *part)
{
    free(part->targets);
    free(part->present);
    free(part->positions);
    free(part->rates);
    free(part->keep_until_ms);
    free(part->index);
}

static void
add_slice(const struct rs_balance_options *options, size_t index,
          struct part *part)
{
    size_t at = part->slices++;
    part->index[at] = index;
    part->present[at] = options->present[index];
    part->rates[at] = options->rates[index];
    if (options->positions != NULL) {
        part->positions[at] = options->positions[index];
    }
    if (options->keep_until_ms != NULL) {
        part->keep_until_ms[at] = options->keep_until_ms[index];
    }
}

/* Gives the changes back the ids of the whole. */
static void
restore_slices(const struct rs_balance_options *options,
               const struct part *part, struct rs_planner_plan *plan)
{
    for (size_t i = 0; i < plan->change_count; i++) {
        struct rs_model_assignment *change = &plan->changes[i];
        size_t at = RsSlice_Index(change->slice);
        change->slice = options->present[part->index[at]].slice;
    }
}

/* Plans moves within the asking cell that even out its targets' load; one
 * that is on its way between cells stays as it is. Returns 0
 * or RsPlanner_BAD_OPTIONS; free the plan with RsPlanner_FreePlan(). */
int
RsBalance_WithinCell(const struct rs_balance_options *options,
                     struct rs_planner_plan *plan)
{
    struct part part;
    memset(plan, 0, sizeof(*plan));
    open_part(options, &part);
    for (size_t i = 0; i < options->slices; i++) {
        const struct rs_model_assignment *row = &options->present[i];
        if (row->epoch != 0 && strcmp(row->cell, options->cell) == 0) {
            add_slice(options, i, &part);
        }
    }
    int status = 0;
    if (part.slices > 0 && part.target_count > 1) {
        struct rs_planner_options inner = {
            .rule = options->rule,
            .slices = (uint32_t)part.slices,
            .targets = part.targets,
            .target_count = part.target_count,
            .present = part.present,
            .positions = part.positions,
            .loads = part.rates,
            .keep_until_ms = part.keep_until_ms,
            .now_ms = options->now_ms,
            .cell = options->cell,
            .max_moves = options->max_moves,
            .hysteresis_permille = options->hysteresis_permille,
        };
        status = RsPlanner_Plan(&inner, plan);
        restore_slices(options, &part, plan);
    }
    close_part(&part);
    return status;
}
