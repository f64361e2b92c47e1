#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "place/cell_balance.h"
#include "place/slice.h"

#define TARGETS 6
#define SLICES 24
#define NOW_MS 100000

/* Two cells with three targets each, and four slices per target. */
struct world {
    struct rs_planner_target targets[TARGETS];
    struct rs_model_assignment present[SLICES];
    double rates[SLICES];
    double weights[SLICES];
    double base_loads[TARGETS];
    int64_t keep_until_ms[SLICES];
    struct rs_cell_balance_options options;
};

/* Assigns a slice to a target, with the other targets of its cell as
 * successors. */
static void
assign_slice(struct world *world, size_t slice, size_t owner)
{
    struct rs_model_assignment *assignment = &world->present[slice];
    size_t first_of_cell = owner / 3 * 3;
    assignment->slice = RsSlice_Id("r", (uint32_t)slice);
    assignment->epoch = 1;
    assignment->succession_count = 3;
    memcpy(assignment->cell, world->targets[owner].cell, RsModel_NAME_BYTES);
    for (size_t i = 0; i < 3; i++) {
        size_t index = first_of_cell + (owner - first_of_cell + i) % 3;
        memcpy(assignment->succession[i], world->targets[index].name,
               RsModel_NAME_BYTES);
    }
}

static void
open_world(struct world *world)
{
    memset(world, 0, sizeof(*world));
    for (size_t i = 0; i < TARGETS; i++) {
        struct rs_planner_target *target = &world->targets[i];
        snprintf(target->name, sizeof(target->name), "t%zu", i);
        snprintf(target->domain, sizeof(target->domain), "d%zu", i / 3);
        snprintf(target->cell, sizeof(target->cell), "d%zu/0", i / 3);
        target->alive = true;
        target->listed = true;
        target->share = 1;
    }
    for (size_t i = 0; i < SLICES; i++) {
        assign_slice(world, i, i % TARGETS);
        world->rates[i] = 10;
    }
    world->options = (struct rs_cell_balance_options){
        .rule = "r",
        .cell = "d0/0",
        .targets = world->targets,
        .target_count = TARGETS,
        .present = world->present,
        .slices = SLICES,
        .rates = world->rates,
        .keep_until_ms = world->keep_until_ms,
        .now_ms = NOW_MS,
        .max_moves = 2,
        .hysteresis_permille = 200,
    };
}

/* Computes the weights into `weights`, and sets the base load of each target.
 */
static void
compute_weights(struct world *world)
{
    RsCellBalance_ComputeWeights(&world->options, world->weights,
                                 world->base_loads);
    for (size_t i = 0; i < TARGETS; i++) {
        world->targets[i].base_load = world->base_loads[i];
    }
}

static void
test_even_load_moves_nothing(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    CU_ASSERT_EQUAL(RsCellBalance_Plan(&world.options, &plan), 0);
    CU_ASSERT_EQUAL(plan.change_count, 0);
    RsPlanner_FreePlan(&plan);
}

/* Target t0 owns slices 0, 6, 12 and 18. The hot slice 6 stays and others
 * move. */
static void
test_other_slices_of_a_hot_target_move_within_the_cell(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    world.rates[6] = 200;
    CU_ASSERT_EQUAL(RsCellBalance_Plan(&world.options, &plan), 0);
    CU_ASSERT(plan.change_count > 0 && plan.change_count <= 2);
    for (size_t i = 0; i < plan.change_count; i++) {
        uint32_t index = RsSlice_Index(plan.changes[i].slice);
        CU_ASSERT(index == 0 || index == 12 || index == 18);
        CU_ASSERT_EQUAL(plan.changes[i].slice, RsSlice_Id("r", index));
        CU_ASSERT_EQUAL(plan.changes[i].epoch, 2);
        CU_ASSERT_EQUAL(plan.changes[i].from_count, 0);
        CU_ASSERT_STRING_EQUAL(plan.changes[i].cell, "d0/0");
        CU_ASSERT_STRING_NOT_EQUAL(plan.changes[i].succession[0], "t0");
    }
    RsPlanner_FreePlan(&plan);
}

static void
test_slices_are_not_moved_before_their_keep_time(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    world.rates[6] = 200;
    for (size_t i = 0; i < SLICES; i++) {
        world.keep_until_ms[i] = NOW_MS + 1;
    }
    CU_ASSERT_EQUAL(RsCellBalance_Plan(&world.options, &plan), 0);
    CU_ASSERT_EQUAL(plan.change_count, 0);
    RsPlanner_FreePlan(&plan);
}

static void
test_slow_target_loses_slices(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    world.targets[0].share = 0.3;
    CU_ASSERT_EQUAL(RsCellBalance_Plan(&world.options, &plan), 0);
    CU_ASSERT(plan.change_count > 0);
    for (size_t i = 0; i < plan.change_count; i++) {
        uint32_t index = RsSlice_Index(plan.changes[i].slice);
        CU_ASSERT_EQUAL(index % TARGETS, 0);
    }
    RsPlanner_FreePlan(&plan);
}

static void
test_empty_target_gets_slices_from_its_cell(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    for (size_t i = 0; i < SLICES; i += TARGETS) {
        assign_slice(&world, i, 1 + i / TARGETS % 2);
    }
    memset(world.rates, 0, sizeof(world.rates));
    CU_ASSERT_EQUAL(RsCellBalance_Plan(&world.options, &plan), 0);
    CU_ASSERT_EQUAL(plan.change_count, 2);
    for (size_t i = 0; i < plan.change_count; i++) {
        CU_ASSERT_STRING_EQUAL(plan.changes[i].succession[0], "t0");
    }
    RsPlanner_FreePlan(&plan);
}

static void
test_slices_in_handover_stay(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    world.rates[6] = 200;
    for (size_t i = 0; i < SLICES; i++) {
        world.present[i].from_count = 1;
        memcpy(world.present[i].from[0], "d1/0", sizeof("d1/0"));
    }
    CU_ASSERT_EQUAL(RsCellBalance_Plan(&world.options, &plan), 0);
    CU_ASSERT_EQUAL(plan.change_count, 0);
    RsPlanner_FreePlan(&plan);
}

/* After slices were moved to balance the load, the targets of a cell own
 * different numbers of slices. Without the weights the planner would move the
 * slices back. */
static void
test_weights_hide_slice_counts_within_a_cell(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    assign_slice(&world, 0, 1);
    assign_slice(&world, 12, 2);
    compute_weights(&world);
    struct rs_planner_options options = {
        .rule = "r",
        .slices = SLICES,
        .targets = world.targets,
        .target_count = TARGETS,
        .present = world.present,
        .now_ms = NOW_MS,
    };
    CU_ASSERT_EQUAL(RsPlanner_Plan(&options, &plan), 0);
    CU_ASSERT(plan.moves > 0);
    RsPlanner_FreePlan(&plan);
    options.loads = world.weights;
    options.loads_are_weights = true;
    CU_ASSERT_EQUAL(RsPlanner_Plan(&options, &plan), 0);
    CU_ASSERT_EQUAL(plan.moves, 0);
    RsPlanner_FreePlan(&plan);
}

/* Only a target's own cell knows why the target has no slices, so other cells
 * must not give it any. */
static void
test_weights_keep_other_cells_from_filling_an_empty_target(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    for (size_t i = 0; i < SLICES; i += TARGETS) {
        assign_slice(&world, i, 1 + i / TARGETS % 2);
    }
    compute_weights(&world);
    struct rs_planner_options options = {
        .rule = "r",
        .slices = SLICES,
        .targets = world.targets,
        .target_count = TARGETS,
        .present = world.present,
        .loads = world.weights,
        .loads_are_weights = true,
        .now_ms = NOW_MS,
    };
    CU_ASSERT_EQUAL(RsPlanner_Plan(&options, &plan), 0);
    for (size_t i = 0; i < plan.change_count; i++) {
        CU_ASSERT_STRING_NOT_EQUAL(plan.changes[i].succession[0], "t0");
    }
    RsPlanner_FreePlan(&plan);
}

/* Only a target's own cell knows that the target is dead. If the weights
 * depended on the target being alive, the cells would plan different moves
 * between cells. */
static void
test_weights_ignore_that_a_listed_target_is_dead(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    world.targets[0].alive = false;
    for (size_t i = 0; i < SLICES; i += TARGETS) {
        assign_slice(&world, i, 1 + i / TARGETS % 2);
    }
    compute_weights(&world);
    struct rs_planner_options options = {
        .rule = "r",
        .slices = SLICES,
        .targets = world.targets,
        .target_count = TARGETS,
        .present = world.present,
        .loads = world.weights,
        .loads_are_weights = true,
        .now_ms = NOW_MS,
    };
    CU_ASSERT_EQUAL(RsPlanner_Plan(&options, &plan), 0);
    CU_ASSERT_EQUAL(plan.moves, 0);
    RsPlanner_FreePlan(&plan);
}

static void
test_weights_move_slices_to_an_empty_cell(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    for (size_t i = 0; i < SLICES; i++) {
        assign_slice(&world, i, i % 3);
    }
    compute_weights(&world);
    struct rs_planner_options options = {
        .rule = "r",
        .slices = SLICES,
        .targets = world.targets,
        .target_count = TARGETS,
        .present = world.present,
        .loads = world.weights,
        .loads_are_weights = true,
        .now_ms = NOW_MS,
    };
    CU_ASSERT_EQUAL(RsPlanner_Plan(&options, &plan), 0);
    CU_ASSERT(plan.moves > 0);
    RsPlanner_FreePlan(&plan);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("balance", NULL, NULL);
    CU_ADD_TEST(suite, test_even_load_moves_nothing);
    CU_ADD_TEST(suite, test_other_slices_of_a_hot_target_move_within_the_cell);
    CU_ADD_TEST(suite, test_slices_are_not_moved_before_their_keep_time);
    CU_ADD_TEST(suite, test_slow_target_loses_slices);
    CU_ADD_TEST(suite, test_empty_target_gets_slices_from_its_cell);
    CU_ADD_TEST(suite, test_slices_in_handover_stay);
    CU_ADD_TEST(suite, test_weights_hide_slice_counts_within_a_cell);
    CU_ADD_TEST(suite,
                test_weights_keep_other_cells_from_filling_an_empty_target);
    CU_ADD_TEST(suite, test_weights_ignore_that_a_listed_target_is_dead);
    CU_ADD_TEST(suite, test_weights_move_slices_to_an_empty_cell);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
