#include <CUnit/Basic.h>
#include <string.h>

#include "place/assignment.h"
#include "place/planner_fixture.h"

static void
test_slice_in_handover_is_not_moved_for_balance(void)
{
    world.domains[0].state = RsModel_DOMAIN_OUT;
    planner_world_plan(&world);
    save_assignments();
    world.domains[0].state = RsModel_DOMAIN_IN;
    world.options.max_moves = SLICES;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(count_slices_of_domain("d0"), SLICES / 3);
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT(
            saved_assignments[i].from_count == 0 ||
            RsAssignment_Equal(&saved_assignments[i], &world.assignments[i]));
    }
}

/* Plans for two targets with a hundred slices each. If `load_factor` is above
 * 1, the first target has that many times the load of the second; otherwise
 * the loads are unknown. `share` is the first target's share of a full
 * capacity. Returns the number of changes. */
static size_t
plan_uneven(double load_factor, double share)
{
    double loads[200];
    reopen_world(1, 2, 1, 200);
    planner_world_run(&world, MAX_ROUNDS);
    for (size_t i = 0; i < 200; i++) {
        loads[i] = planner_world_owner(&world, i) == 0 ? 10 * load_factor : 10;
    }
    world.options.loads = load_factor > 1 ? loads : NULL;
    world.targets[0].share = share;
    return planner_world_plan(&world);
}

/* The cells of a silent domain may be unable to write the moves. */
static void
test_slices_of_silent_domain_are_not_moved_for_balance(void)
{
    world.domains[0].silent = true;
    world.targets[0].share = 0.5;
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

static void
test_small_imbalance_moves_nothing(void)
{
    CU_ASSERT_EQUAL(plan_uneven(1.04, 1), 0);
    CU_ASSERT(plan_uneven(1.5, 1) > 0);
    CU_ASSERT_EQUAL(plan_uneven(1, 0.96), 0);
    CU_ASSERT(plan_uneven(1, 0.7) > 0);
}

static void
test_move_with_tiny_gain_is_not_made(void)
{
    double loads[3] = {100, 100, 100};
    reopen_world(1, 2, 1, 3);
    planner_world_run(&world, MAX_ROUNDS);
    planner_world_count_owned(&world);
    for (size_t i = 0; i < 3; i++) {
        loads[i] -= world.owned[planner_world_owner(&world, i)] == 1 ? 1 : 0;
    }
    world.options.loads = loads;
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

/* The most loaded target has only one slice, a hot one, and can't give it
 * away. The next most loaded target has two slices and must still give one
 * away. */
static void
test_target_with_one_hot_slice_does_not_block_others(void)
{
    double loads[4];
    int hot_target = -1;
    reopen_world(1, 3, 1, 4);
    planner_world_run(&world, MAX_ROUNDS);
    planner_world_count_owned(&world);
    for (size_t i = 0; i < 4; i++) {
        int owner = planner_world_owner(&world, i);
        bool only_slice = world.owned[owner] == 1;
        hot_target = only_slice && hot_target < 0 ? owner : hot_target;
        loads[i] = only_slice ? 10 : 100;
        loads[i] = owner == hot_target ? 1000 : loads[i];
    }
    world.options.loads = loads;
    CU_ASSERT_EQUAL(planner_world_plan(&world), 1);
}

/* With 29 of 30 targets in use, no loaded target deviates from the mean by
 * more than the hysteresis. The empty target must still get slices. */
static void
test_empty_target_is_filled_despite_the_hysteresis(void)
{
    double loads[290];
    reopen_world(1, 30, 1, 290);
    world.targets[3].alive = false;
    planner_world_run(&world, MAX_ROUNDS);
    for (size_t i = 0; i < 290; i++) {
        loads[i] = 10;
    }
    world.options.loads = loads;
    world.targets[3].alive = true;
    planner_world_run(&world, MAX_ROUNDS);
    planner_world_count_owned(&world);
    CU_ASSERT(world.owned[3] >= 9);
}

static void
test_load_of_a_silent_domain_is_ignored(void)
{
    double loads[400];
    reopen_world(2, 2, 1, 400);
    planner_world_run(&world, MAX_ROUNDS);
    world.domains[0].silent = true;
    for (size_t i = 0; i < 400; i++) {
        int owner = planner_world_owner(&world, i);
        loads[i] = owner < 2 ? 1000 : 10;
        loads[i] += owner == 2 ? 4 : 0;
    }
    world.options.loads = loads;
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

static void
test_hot_slice_stays_and_others_move_away(void)
{
    double loads[SLICES];
    for (size_t i = 0; i < SLICES; i++) {
        loads[i] = i == 7 ? 400 : 100;
    }
    int hot_target = planner_world_owner(&world, 7);
    world.options.loads = loads;
    save_assignments();
    planner_world_run(&world, MAX_ROUNDS);
    planner_world_count_owned(&world);
    CU_ASSERT_EQUAL(planner_world_owner(&world, 7), hot_target);
    CU_ASSERT(world.owned[hot_target] < 4);
    CU_ASSERT(count_moves_since_saved() <= 6);
}

static void
test_idle_slices_stay_spread(void)
{
    double loads[SLICES] = {0};
    reopen_world(3, 5, 1, SLICES);
    loads[0] = 1000;
    world.options.loads = loads;
    planner_world_run(&world, MAX_ROUNDS);
    planner_world_count_owned(&world);
    for (size_t i = 0; i < world.target_count; i++) {
        CU_ASSERT(world.owned[i] >= 1 && world.owned[i] <= 6);
    }
}

static void
test_slow_target_gets_fewer_slices(void)
{
    save_assignments();
    world.targets[4].share = 0.5;
    planner_world_run(&world, MAX_ROUNDS);
    planner_world_count_owned(&world);
    CU_ASSERT_EQUAL(world.owned[4], 2);
    CU_ASSERT_EQUAL(count_moves_since_saved(), 2);
}

static void
test_slice_is_not_moved_before_its_keep_time(void)
{
    world.targets[4].share = 0.5;
    forbid_balance_moves();
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
    world.options.now_ms = 1000;
    CU_ASSERT_EQUAL(planner_world_plan(&world), 2);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite_with_setup_and_teardown(
        "balance", NULL, NULL, open_world, close_world);
    CU_ADD_TEST(suite, test_slice_in_handover_is_not_moved_for_balance);
    CU_ADD_TEST(suite, test_slices_of_silent_domain_are_not_moved_for_balance);
    CU_ADD_TEST(suite, test_small_imbalance_moves_nothing);
    CU_ADD_TEST(suite, test_move_with_tiny_gain_is_not_made);
    CU_ADD_TEST(suite, test_target_with_one_hot_slice_does_not_block_others);
    CU_ADD_TEST(suite, test_empty_target_is_filled_despite_the_hysteresis);
    CU_ADD_TEST(suite, test_load_of_a_silent_domain_is_ignored);
    CU_ADD_TEST(suite, test_hot_slice_stays_and_others_move_away);
    CU_ADD_TEST(suite, test_idle_slices_stay_spread);
    CU_ADD_TEST(suite, test_slow_target_gets_fewer_slices);
    CU_ADD_TEST(suite, test_slice_is_not_moved_before_its_keep_time);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
