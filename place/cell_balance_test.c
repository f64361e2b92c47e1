#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "place/balance.h"
#include "place/slice.h"

#define TARGETS 6
#define SLICES 24
#define NOW_MS 100000

/* Three targets in each of two cells, four slices a target. */
struct world {
    struct rs_planner_target targets[TARGETS];
    struct rs_model_assignment present[SLICES];
    double rates[SLICES];
    double weights[SLICES];
    double base_loads[TARGETS];
    int64_t keep_until_ms[SLICES];
    struct rs_balance_options options;
};

static void
give(struct world *world, size_t slice, size_t owner)
{
    struct rs_model_assignment *row = &world->present[slice];
    size_t first = owner / 3 * 3;
    row->slice = RsSlice_Id("r", (uint32_t)slice);
    row->epoch = 1;
    row->succession_count = 3;
    memcpy(row->cell, world->targets[owner].cell, RsModel_NAME_BYTES);
    for (size_t i = 0; i < 3; i++) {
        size_t at = first + (owner - first + i) % 3;
        memcpy(row->succession[i], world->targets[at].name,
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
        give(world, i, i % TARGETS);
        world->rates[i] = 10;
    }
    world->options = (struct rs_balance_options){
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

static void
weigh(struct world *world)
{
    RsBalance_Weigh(&world->options, world->weights, world->base_loads);
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
    CU_ASSERT_EQUAL(RsBalance_WithinCell(&world.options, &plan), 0);
    CU_ASSERT_EQUAL(plan.change_count, 0);
    RsPlanner_FreePlan(&plan);
}

/* Slices 0, 6, 12 and 18 are t0's. */
static void
test_neighbours_of_a_hot_slice_move_within_the_cell(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    world.rates[6] = 200;
    CU_ASSERT_EQUAL(RsBalance_WithinCell(&world.options, &plan), 0);
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
test_a_slice_that_moved_is_kept_for_a_while(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    world.rates[6] = 200;
    for (size_t i = 0; i < SLICES; i++) {
        world.keep_until_ms[i] = NOW_MS + 1;
    }
    CU_ASSERT_EQUAL(RsBalance_WithinCell(&world.options, &plan), 0);
    CU_ASSERT_EQUAL(plan.change_count, 0);
    RsPlanner_FreePlan(&plan);
}

static void
test_a_slow_target_gives_slices_away(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    world.targets[0].share = 0.3;
    CU_ASSERT_EQUAL(RsBalance_WithinCell(&world.options, &plan), 0);
    CU_ASSERT(plan.change_count > 0);
    for (size_t i = 0; i < plan.change_count; i++) {
        uint32_t index = RsSlice_Index(plan.changes[i].slice);
        CU_ASSERT_EQUAL(index % TARGETS, 0);
    }
    RsPlanner_FreePlan(&plan);
}

static void
test_an_empty_target_is_given_slices_by_its_cell(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    for (size_t i = 0; i < SLICES; i += TARGETS) {
        give(&world, i, 1 + i / TARGETS % 2);
    }
    memset(world.rates, 0, sizeof(world.rates));
    CU_ASSERT_EQUAL(RsBalance_WithinCell(&world.options, &plan), 0);
    CU_ASSERT_EQUAL(plan.change_count, 2);
    for (size_t i = 0; i < plan.change_count; i++) {
        CU_ASSERT_STRING_EQUAL(plan.changes[i].succession[0], "t0");
    }
    RsPlanner_FreePlan(&plan);
}

static void
test_slices_between_cells_stay(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    world.rates[6] = 200;
    for (size_t i = 0; i < SLICES; i++) {
        world.present[i].from_count = 1;
        memcpy(world.present[i].from[0], "d1/0", sizeof("d1/0"));
    }
    CU_ASSERT_EQUAL(RsBalance_WithinCell(&world.options, &plan), 0);
    CU_ASSERT_EQUAL(plan.change_count, 0);
    RsPlanner_FreePlan(&plan);
}

/* After a move by load, numbers differ within a cell; the weights hide that
 * from the planner, which would move the slice back. */
static void
test_weights_hide_numbers_within_a_cell(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    give(&world, 0, 1);
    give(&world, 12, 2);
    weigh(&world);
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

/* Only its own cell knows why a target has no slices. */
static void
test_weights_leave_an_empty_target_to_its_cell(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    for (size_t i = 0; i < SLICES; i += TARGETS) {
        give(&world, i, 1 + i / TARGETS % 2);
    }
    weigh(&world);
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

/* Its own cell alone knows that a target is lost: the weights, and so the
 * moves between cells, are those that the other cells see. */
static void
test_weights_hide_a_target_that_is_lost_but_listed(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    world.targets[0].alive = false;
    for (size_t i = 0; i < SLICES; i += TARGETS) {
        give(&world, i, 1 + i / TARGETS % 2);
    }
    weigh(&world);
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
test_weights_show_an_empty_cell(void)
{
    struct world world;
    struct rs_planner_plan plan;
    open_world(&world);
    for (size_t i = 0; i < SLICES; i++) {
        give(&world, i, i % 3);
    }
    weigh(&world);
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
    CU_ADD_TEST(suite, test_neighbours_of_a_hot_slice_move_within_the_cell);
    CU_ADD_TEST(suite, test_a_slice_that_moved_is_kept_for_a_while);
    CU_ADD_TEST(suite, test_a_slow_target_gives_slices_away);
    CU_ADD_TEST(suite, test_an_empty_target_is_given_slices_by_its_cell);
    CU_ADD_TEST(suite, test_slices_between_cells_stay);
    CU_ADD_TEST(suite, test_weights_hide_numbers_within_a_cell);
    CU_ADD_TEST(suite, test_weights_leave_an_empty_target_to_its_cell);
    CU_ADD_TEST(suite, test_weights_hide_a_target_that_is_lost_but_listed);
    CU_ADD_TEST(suite, test_weights_show_an_empty_cell);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
