#include <CUnit/Basic.h>
#include <string.h>

#include "place/assignment.h"
#include "place/planner_fixture.h"

static void
test_first_plan_is_balanced(void)
{
    CU_ASSERT_EQUAL(planner_world_count_owned(&world), SLICES);
    for (size_t i = 0; i < world.target_count; i++) {
        CU_ASSERT_EQUAL(world.owned[i], SLICES / 15);
    }
    for (size_t i = 0; i < SLICES; i++) {
        const struct rs_model_assignment *assignment = &world.assignments[i];
        size_t domain_bytes = strcspn(assignment->cell, "/");
        CU_ASSERT_EQUAL(assignment->epoch, 1);
        CU_ASSERT_EQUAL(assignment->from_count, 0);
        CU_ASSERT_EQUAL(assignment->succession_count, 3);
        for (size_t j = 0; j < assignment->succession_count; j++) {
            CU_ASSERT_EQUAL(strncmp(assignment->succession[j],
                                    assignment->cell, domain_bytes),
                            0);
            CU_ASSERT_STRING_NOT_EQUAL(assignment->succession[j],
                                       assignment->succession[(j + 1) % 3]);
        }
    }
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

static void
test_slices_of_one_target_have_various_successors(void)
{
    bool is_successor[15] = {false};
    reopen_world(1, 15, 1, 150);
    planner_world_plan(&world);
    for (size_t i = 0; i < 150; i++) {
        if (planner_world_owner(&world, i) == 3) {
            world.positions[i] = 1;
            is_successor[planner_world_owner(&world, i)] = true;
        }
    }
    size_t count = 0;
    for (size_t i = 0; i < 15; i++) {
        count += is_successor[i] ? 1 : 0;
    }
    CU_ASSERT(count >= 5);
}

static void
take_out_and_back(struct planner_world *some_world)
{
    some_world->options.max_moves = 3;
    some_world->domains[0].state = RsModel_DOMAIN_OUT;
    planner_world_run(some_world, MAX_ROUNDS);
    some_world->domains[0].state = RsModel_DOMAIN_IN;
    planner_world_run(some_world, MAX_ROUNDS);
}

static void
test_order_of_targets_does_not_matter(void)
{
    struct planner_world other;
    planner_world_open(&other, 3, 5, 1, SLICES);
    for (size_t i = 0; i < other.target_count; i++) {
        other.targets[i] = world.targets[7 * i % world.target_count];
    }
    planner_world_run(&other, MAX_ROUNDS);
    take_out_and_back(&world);
    take_out_and_back(&other);
    CU_ASSERT_EQUAL(memcmp(world.assignments, other.assignments,
                           sizeof(saved_assignments)),
                    0);
    planner_world_close(&other);
}

/* A dead target's slices go to the first successor of each. Assignments that
 * list the target get a new epoch and keep their cell; where the target was
 * only a successor, the owner stays too. */
static void
test_dead_target_is_replaced_by_successor(void)
{
    const char *dead = world.targets[2].name;
    save_assignments();
    world.targets[2].alive = false;
    forbid_balance_moves();
    planner_world_plan(&world);
    for (size_t i = 0; i < SLICES; i++) {
        const struct rs_model_assignment *assignment = &world.assignments[i];
        int position = RsAssignment_Position(&saved_assignments[i], dead);
        size_t new_owner_position = position == 0 ? 1 : 0;
        CU_ASSERT_STRING_EQUAL(
            assignment->succession[0],
            saved_assignments[i].succession[new_owner_position]);
        CU_ASSERT_EQUAL(assignment->epoch, position >= 0 ? 2 : 1);
        CU_ASSERT_STRING_EQUAL(assignment->cell, saved_assignments[i].cell);
        CU_ASSERT_EQUAL(RsAssignment_Position(assignment, dead), -1);
        CU_ASSERT_EQUAL(assignment->succession_count, 3);
    }
}

static void
test_leaving_target_loses_only_its_own_slices(void)
{
    save_assignments();
    world.targets[2].leaving = true;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(count_moves_since_saved(), SLICES / 15);
    planner_world_count_owned(&world);
    CU_ASSERT_EQUAL(world.owned[2], 0);
    /* Of equally loaded targets, those in the slice's cell are preferred. */
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT_STRING_EQUAL(world.assignments[i].cell,
                               saved_assignments[i].cell);
    }
}

static void
test_domain_goes_out_and_comes_back(void)
{
    save_assignments();
    world.options.max_moves = 3;
    world.domains[0].state = RsModel_DOMAIN_OUT;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(count_slices_of_domain("d0"), 0);
    CU_ASSERT_EQUAL(count_moves_since_saved(), SLICES / 3);
    for (size_t i = 0; i < SLICES; i++) {
        bool moved = world.assignments[i].epoch == 2;
        CU_ASSERT_EQUAL(world.assignments[i].from_count, moved ? 1 : 0);
        CU_ASSERT(!moved || strcmp(world.assignments[i].from[0], "d0/0") == 0);
    }
    planner_world_finish_handovers(&world);
    save_assignments();
    world.domains[0].state = RsModel_DOMAIN_IN;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(count_moves_since_saved(), 3);
    planner_world_run(&world, MAX_ROUNDS);
    CU_ASSERT_EQUAL(count_moves_since_saved(), SLICES / 3);
    CU_ASSERT_EQUAL(count_slices_of_domain("d0"), SLICES / 3);
}

static void
test_slices_stay_when_all_domains_are_out(void)
{
    save_assignments();
    for (size_t i = 0; i < 3; i++) {
        world.domains[i].state = RsModel_DOMAIN_OUT;
    }
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
    world.targets[0].alive = false;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(count_moves_since_saved(), SLICES / 15);
    world.targets[0].alive = true;
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

static void
test_only_the_assigned_cell_writes_moves_of_its_slices(void)
{
    world.domains[0].state = RsModel_DOMAIN_OUT;
    world.options.cell = "d1/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
    world.options.cell = "d0/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 3);
}

static void
test_new_cell_writes_unassigned_slices(void)
{
    reopen_world(3, 5, 1, SLICES);
    world.options.cell = "d1/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 3);
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT(world.assignments[i].epoch == 0 ||
                  strcmp(world.assignments[i].cell, "d1/0") == 0);
    }
}

static void
test_any_cell_may_reassign_the_slices_of_a_lost_domain(void)
{
    world.domains[0].state = RsModel_DOMAIN_LOST;
    world.options.cell = "d1/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 3);
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT_EQUAL(world.assignments[i].from_count, 0);
    }
}

static void
test_lost_cell_is_replaced_by_another_of_its_domain(void)
{
    static const char *const lost[] = {"d0/1"};
    reopen_world(2, 6, 2, SLICES);
    planner_world_run(&world, MAX_ROUNDS);
    save_assignments();
    for (size_t i = 0; i < 6; i++) {
        strcpy(world.targets[i].cell, "d0/0");
    }
    world.options.lost_cells = lost;
    world.options.lost_cell_count = 1;
    world.options.cell = "d0/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 4);
    CU_ASSERT_EQUAL(count_moves_since_saved(), 0);
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT_EQUAL(world.assignments[i].from_count, 0);
        CU_ASSERT_STRING_NOT_EQUAL(world.assignments[i].cell, "d0/1");
    }
}

static void
test_slice_in_handover_stays_in_its_cell(void)
{
    world.domains[0].state = RsModel_DOMAIN_OUT;
    planner_world_plan(&world);
    save_assignments();
    world.domains[0].state = RsModel_DOMAIN_IN;
    world.domains[1].state = RsModel_DOMAIN_OUT;
    planner_world_plan(&world);
    for (size_t i = 0; i < SLICES; i++) {
        bool in_handover = saved_assignments[i].from_count > 0;
        bool stays =
            strcmp(saved_assignments[i].cell, world.assignments[i].cell) == 0;
        CU_ASSERT(!in_handover || stays);
    }
    CU_ASSERT(count_slices_of_domain("d1") > 0);
    planner_world_run(&world, MAX_ROUNDS);
    CU_ASSERT_EQUAL(count_slices_of_domain("d1"), 0);
}

static void
test_lost_cell_is_removed_from_from(void)
{
    world.domains[0].state = RsModel_DOMAIN_OUT;
    planner_world_plan(&world);
    save_assignments();
    world.domains[0].state = RsModel_DOMAIN_LOST;
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 3);
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT_EQUAL(world.assignments[i].from_count, 0);
        CU_ASSERT_EQUAL(world.assignments[i].epoch,
                        saved_assignments[i].epoch);
    }
}

/* Loses domain d1 while slices are being handed over from d0 to d1.
 * `domain_state` is d0's state when d1 is lost. Returns how many of the slices
 * list only d0 in `from` afterwards, and writes to `*returned` how many
 * returned to d0. */
static size_t
lose_receiving_domain(enum rs_model_domain_state domain_state,
                      size_t *returned)
{
    size_t listing_d0 = 0;
    reopen_world(3, 5, 1, SLICES);
    planner_world_run(&world, MAX_ROUNDS);
    world.domains[0].state = RsModel_DOMAIN_OUT;
    planner_world_plan(&world);
    world.domains[0].state = domain_state;
    world.domains[1].state = RsModel_DOMAIN_LOST;
    planner_world_plan(&world);
    *returned = 0;
    for (size_t i = 0; i < SLICES; i++) {
        const struct rs_model_assignment *assignment = &world.assignments[i];
        if (assignment->epoch == 3) {
            bool lists_d0 = assignment->from_count == 1 &&
                            strcmp(assignment->from[0], "d0/0") == 0;
            listing_d0 += lists_d0 ? 1 : 0;
            *returned += strcmp(assignment->cell, "d0/0") == 0 ? 1 : 0;
        }
    }
    return listing_d0;
}

static void
test_from_is_kept_when_the_receiving_domain_is_lost(void)
{
    size_t returned = 0;
    CU_ASSERT_EQUAL(lose_receiving_domain(RsModel_DOMAIN_OUT, &returned),
                    SLICES / 6);
    CU_ASSERT_EQUAL(returned, 0);
    CU_ASSERT_EQUAL(lose_receiving_domain(RsModel_DOMAIN_IN, &returned), 0);
    CU_ASSERT_EQUAL(returned, SLICES / 6);
}

static void
test_slice_handed_over_by_a_lost_cell_may_move_on(void)
{
    world.domains[0].state = RsModel_DOMAIN_OUT;
    planner_world_plan(&world);
    world.domains[0].state = RsModel_DOMAIN_LOST;
    world.domains[1].state = RsModel_DOMAIN_OUT;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(count_slices_of_domain("d2"), SLICES);
}

static void
test_slices_of_silent_domain_are_taken_over_only_if_allowed(void)
{
    world.domains[0].silent = true;
    world.options.cell = "d1/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
    world.options.cut_off = RsModel_HAND_OVER;
    world.domains[1].silent = true;
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
    world.domains[1].silent = false;
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 3);
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT_EQUAL(world.assignments[i].from_count,
                        world.assignments[i].epoch == 2 ? 1 : 0);
    }
}

static void
test_silent_domain_receives_nothing(void)
{
    reopen_world(3, 5, 1, SLICES);
    world.domains[2].silent = true;
    planner_world_run(&world, MAX_ROUNDS);
    CU_ASSERT_EQUAL(count_slices_of_domain("d2"), 0);
    world.domains[2].silent = false;
    planner_world_run(&world, MAX_ROUNDS);
    CU_ASSERT_EQUAL(count_slices_of_domain("d2"), SLICES / 3);
}

/* After the holder failed over to a successor, the target at the slice's
 * position is the owner. */
static void
test_owner_after_failover_stays(void)
{
    save_assignments();
    forbid_balance_moves();
    world.positions[5] = 1;
    planner_world_plan(&world);
    CU_ASSERT_STRING_EQUAL(world.assignments[5].succession[0],
                           saved_assignments[5].succession[1]);
    CU_ASSERT_EQUAL(world.assignments[5].succession_count, 3);
    CU_ASSERT_EQUAL(world.assignments[5].epoch, 2);
}

static void
test_slices_of_target_with_unknown_cell_stay(void)
{
    for (size_t i = 0; i < 5; i++) {
        world.targets[i].cell[0] = '\0';
    }
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

static void
test_nothing_changes_without_usable_targets(void)
{
    for (size_t i = 0; i < world.target_count; i++) {
        world.targets[i].alive = false;
    }
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

static void
test_finished_handover_clears_from_and_keeps_the_epoch(void)
{
    struct rs_model_assignment settled;
    struct rs_model_assignment held = {.epoch = 4,
                                       .cell = "d1/0",
                                       .succession = {"t"},
                                       .succession_count = 1,
                                       .from = {"d0/0"},
                                       .from_count = 1};
    CU_ASSERT(RsPlanner_FinishHandover(&held, &settled));
    CU_ASSERT_EQUAL(settled.epoch, 4);
    CU_ASSERT_EQUAL(settled.from_count, 0);
    CU_ASSERT_STRING_EQUAL(settled.succession[0], "t");
    CU_ASSERT(!RsPlanner_FinishHandover(&settled, &held));
}

static void
test_bad_options_are_rejected(void)
{
    struct rs_planner_plan plan;
    struct rs_planner_options options = {.rule = "rule"};
    CU_ASSERT_EQUAL(RsPlanner_Plan(&options, &plan), RsPlanner_BAD_OPTIONS);
    options.slices = RsModel_MAX_SLICES + 1;
    CU_ASSERT_EQUAL(RsPlanner_Plan(&options, &plan), RsPlanner_BAD_OPTIONS);
}

static void
test_baselines_place_every_slice(void)
{
    const struct rs_planner_policy *policies[] = {RsPlanner_FullPolicy(),
                                                  RsPlanner_RingPolicy()};
    for (size_t i = 0; i < 2; i++) {
        reopen_world(3, 5, 1, SLICES);
        world.options.policy = policies[i];
        planner_world_run(&world, MAX_ROUNDS);
        CU_ASSERT_EQUAL(planner_world_count_owned(&world), SLICES);
        world.domains[0].state = RsModel_DOMAIN_OUT;
        planner_world_run(&world, MAX_ROUNDS);
        CU_ASSERT_EQUAL(count_slices_of_domain("d0"), 0);
        CU_ASSERT_EQUAL(planner_world_count_owned(&world), SLICES);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite_with_setup_and_teardown(
        "planner", NULL, NULL, open_world, close_world);
    CU_ADD_TEST(suite, test_first_plan_is_balanced);
    CU_ADD_TEST(suite, test_slices_of_one_target_have_various_successors);
    CU_ADD_TEST(suite, test_order_of_targets_does_not_matter);
    CU_ADD_TEST(suite, test_dead_target_is_replaced_by_successor);
    CU_ADD_TEST(suite, test_leaving_target_loses_only_its_own_slices);
    CU_ADD_TEST(suite, test_domain_goes_out_and_comes_back);
    CU_ADD_TEST(suite, test_slices_stay_when_all_domains_are_out);
    CU_ADD_TEST(suite, test_only_the_assigned_cell_writes_moves_of_its_slices);
    CU_ADD_TEST(suite, test_new_cell_writes_unassigned_slices);
    CU_ADD_TEST(suite, test_any_cell_may_reassign_the_slices_of_a_lost_domain);
    CU_ADD_TEST(suite, test_lost_cell_is_replaced_by_another_of_its_domain);
    CU_ADD_TEST(suite, test_slice_in_handover_stays_in_its_cell);
    CU_ADD_TEST(suite, test_lost_cell_is_removed_from_from);
    CU_ADD_TEST(suite, test_from_is_kept_when_the_receiving_domain_is_lost);
    CU_ADD_TEST(suite, test_slice_handed_over_by_a_lost_cell_may_move_on);
    CU_ADD_TEST(suite,
                test_slices_of_silent_domain_are_taken_over_only_if_allowed);
    CU_ADD_TEST(suite, test_silent_domain_receives_nothing);
    CU_ADD_TEST(suite, test_owner_after_failover_stays);
    CU_ADD_TEST(suite, test_slices_of_target_with_unknown_cell_stay);
    CU_ADD_TEST(suite, test_nothing_changes_without_usable_targets);
    CU_ADD_TEST(suite, test_finished_handover_clears_from_and_keeps_the_epoch);
    CU_ADD_TEST(suite, test_bad_options_are_rejected);
    CU_ADD_TEST(suite, test_baselines_place_every_slice);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
