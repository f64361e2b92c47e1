#include <CUnit/Basic.h>
#include <string.h>

#include "place/assignment.h"
#include "place/planner_fixture.h"

static void
test_first_plan_is_balanced_and_spread(void)
{
    CU_ASSERT_EQUAL(planner_world_count(&world), SLICES);
    for (size_t i = 0; i < world.target_count; i++) {
        CU_ASSERT_EQUAL(world.owned[i], SLICES / 15);
    }
    for (size_t i = 0; i < SLICES; i++) {
        const struct rs_model_assignment *row = &world.rows[i];
        size_t domain_bytes = strcspn(row->cell, "/");
        CU_ASSERT_EQUAL(row->epoch, 1);
        CU_ASSERT_EQUAL(row->from_count, 0);
        CU_ASSERT_EQUAL(row->succession_count, 3);
        for (size_t j = 0; j < row->succession_count; j++) {
            CU_ASSERT_EQUAL(
                strncmp(row->succession[j], row->cell, domain_bytes), 0);
            CU_ASSERT_STRING_NOT_EQUAL(row->succession[j],
                                       row->succession[(j + 1) % 3]);
        }
    }
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

static void
test_successors_of_one_target_are_many(void)
{
    bool follows[15] = {false};
    reopen_world(1, 15, 1, 150);
    planner_world_plan(&world);
    for (size_t i = 0; i < 150; i++) {
        if (planner_world_owner(&world, i) == 3) {
            world.positions[i] = 1;
            follows[planner_world_owner(&world, i)] = true;
        }
    }
    size_t count = 0;
    for (size_t i = 0; i < 15; i++) {
        count += follows[i] ? 1 : 0;
    }
    CU_ASSERT(count >= 5);
}

static void
take_out_and_back(struct planner_world *any)
{
    any->options.max_moves = 3;
    any->domains[0].state = RsModel_OUT;
    planner_world_run(any, ROUNDS);
    any->domains[0].state = RsModel_IN;
    planner_world_run(any, ROUNDS);
}

static void
test_order_of_targets_does_not_matter(void)
{
    struct planner_world other;
    planner_world_open(&other, 3, 5, 1, SLICES);
    for (size_t i = 0; i < other.target_count; i++) {
        other.targets[i] = world.targets[7 * i % world.target_count];
    }
    planner_world_run(&other, ROUNDS);
    take_out_and_back(&world);
    take_out_and_back(&other);
    CU_ASSERT_EQUAL(memcmp(world.rows, other.rows, sizeof(before)), 0);
    planner_world_close(&other);
}

/* A dead target's slices go to the next of their succession. Rows that name
 * it get a new epoch; their cell stays, and else their owner. */
static void
test_dead_target_is_replaced(void)
{
    const char *dead = world.targets[2].name;
    remember();
    world.targets[2].alive = false;
    hold_all();
    planner_world_plan(&world);
    for (size_t i = 0; i < SLICES; i++) {
        const struct rs_model_assignment *row = &world.rows[i];
        int at = RsAssignment_Position(&before[i], dead);
        size_t heir = at == 0 ? 1 : 0;
        CU_ASSERT_STRING_EQUAL(row->succession[0], before[i].succession[heir]);
        CU_ASSERT_EQUAL(row->epoch, at >= 0 ? 2 : 1);
        CU_ASSERT_STRING_EQUAL(row->cell, before[i].cell);
        CU_ASSERT_EQUAL(RsAssignment_Position(row, dead), -1);
        CU_ASSERT_EQUAL(row->succession_count, 3);
    }
}

static void
test_leaving_target_gives_its_slices_only(void)
{
    remember();
    world.targets[2].leaving = true;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(moved_since_remembered(), SLICES / 15);
    planner_world_count(&world);
    CU_ASSERT_EQUAL(world.owned[2], 0);
    /* Others are as loaded; those of its own cell are nearer. */
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT_STRING_EQUAL(world.rows[i].cell, before[i].cell);
    }
}

static void
test_domain_goes_out_and_comes_back(void)
{
    remember();
    world.options.max_moves = 3;
    world.domains[0].state = RsModel_OUT;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(owned_by_domain("d0"), 0);
    CU_ASSERT_EQUAL(moved_since_remembered(), SLICES / 3);
    for (size_t i = 0; i < SLICES; i++) {
        bool moved = world.rows[i].epoch == 2;
        CU_ASSERT_EQUAL(world.rows[i].from_count, moved ? 1 : 0);
        CU_ASSERT(!moved || strcmp(world.rows[i].from[0], "d0/0") == 0);
    }
    planner_world_settle(&world);
    remember();
    world.domains[0].state = RsModel_IN;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(moved_since_remembered(), 3);
    planner_world_run(&world, ROUNDS);
    CU_ASSERT_EQUAL(moved_since_remembered(), SLICES / 3);
    CU_ASSERT_EQUAL(owned_by_domain("d0"), SLICES / 3);
}

static void
test_all_domains_out_stay(void)
{
    remember();
    for (size_t i = 0; i < 3; i++) {
        world.domains[i].state = RsModel_OUT;
    }
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
    world.targets[0].alive = false;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(moved_since_remembered(), SLICES / 15);
    world.targets[0].alive = true;
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

static void
test_giver_writes(void)
{
    world.domains[0].state = RsModel_OUT;
    world.options.cell = "d1/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
    world.options.cell = "d0/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 3);
}

static void
test_receiver_writes_what_is_unassigned(void)
{
    reopen_world(3, 5, 1, SLICES);
    world.options.cell = "d1/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 3);
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT(world.rows[i].epoch == 0 ||
                  strcmp(world.rows[i].cell, "d1/0") == 0);
    }
}

static void
test_lost_domain_is_replaced_by_anybody(void)
{
    world.domains[0].state = RsModel_LOST;
    world.options.cell = "d1/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 3);
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT_EQUAL(world.rows[i].from_count, 0);
    }
}

static void
test_lost_cell_is_replaced_by_its_sister(void)
{
    static const char *const lost[] = {"d0/1"};
    reopen_world(2, 6, 2, SLICES);
    planner_world_run(&world, ROUNDS);
    remember();
    for (size_t i = 0; i < 6; i++) {
        strcpy(world.targets[i].cell, "d0/0");
    }
    world.options.lost_cells = lost;
    world.options.lost_cell_count = 1;
    world.options.cell = "d0/0";
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 4);
    CU_ASSERT_EQUAL(moved_since_remembered(), 0);
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT_EQUAL(world.rows[i].from_count, 0);
        CU_ASSERT_STRING_NOT_EQUAL(world.rows[i].cell, "d0/1");
    }
}

static void
test_unsettled_slice_stays_in_its_cell(void)
{
    world.domains[0].state = RsModel_OUT;
    planner_world_plan(&world);
    remember();
    world.domains[0].state = RsModel_IN;
    world.domains[1].state = RsModel_OUT;
    planner_world_plan(&world);
    for (size_t i = 0; i < SLICES; i++) {
        bool unsettled = before[i].from_count > 0;
        bool stays = strcmp(before[i].cell, world.rows[i].cell) == 0;
        CU_ASSERT(!unsettled || stays);
    }
    CU_ASSERT(owned_by_domain("d1") > 0);
    planner_world_run(&world, ROUNDS);
    CU_ASSERT_EQUAL(owned_by_domain("d1"), 0);
}

static void
test_lost_cell_leaves_from(void)
{
    world.domains[0].state = RsModel_OUT;
    planner_world_plan(&world);
    remember();
    world.domains[0].state = RsModel_LOST;
    CU_ASSERT_EQUAL(planner_world_plan(&world), SLICES / 3);
    for (size_t i = 0; i < SLICES; i++) {
        CU_ASSERT_EQUAL(world.rows[i].from_count, 0);
        CU_ASSERT_EQUAL(world.rows[i].epoch, before[i].epoch);
    }
}

/* Loses d1 while slices are on their way there from d0. Returns how many of
 * them wait for d0's word afterwards; `*back` counts those given to d0. */
static size_t
lose_receiver(enum rs_model_domain_state former, size_t *back)
{
    size_t waiting = 0;
    reopen_world(3, 5, 1, SLICES);
    planner_world_run(&world, ROUNDS);
    world.domains[0].state = RsModel_OUT;
    planner_world_plan(&world);
    world.domains[0].state = former;
    world.domains[1].state = RsModel_LOST;
    planner_world_plan(&world);
    *back = 0;
    for (size_t i = 0; i < SLICES; i++) {
        const struct rs_model_assignment *row = &world.rows[i];
        if (row->epoch == 3) {
            bool waits =
                row->from_count == 1 && strcmp(row->from[0], "d0/0") == 0;
            waiting += waits ? 1 : 0;
            *back += strcmp(row->cell, "d0/0") == 0 ? 1 : 0;
        }
    }
    return waiting;
}

static void
test_from_of_a_slice_lost_on_its_way_goes_on(void)
{
    size_t back = 0;
    CU_ASSERT_EQUAL(lose_receiver(RsModel_OUT, &back), SLICES / 6);
    CU_ASSERT_EQUAL(back, 0);
    CU_ASSERT_EQUAL(lose_receiver(RsModel_IN, &back), 0);
    CU_ASSERT_EQUAL(back, SLICES / 6);
}

static void
test_slice_from_a_lost_cell_moves_at_once(void)
{
    world.domains[0].state = RsModel_OUT;
    planner_world_plan(&world);
    world.domains[0].state = RsModel_LOST;
    world.domains[1].state = RsModel_OUT;
    planner_world_plan(&world);
    CU_ASSERT_EQUAL(owned_by_domain("d2"), SLICES);
}

static void
test_silent_domain_keeps_or_hands_over(void)
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
        CU_ASSERT_EQUAL(world.rows[i].from_count,
                        world.rows[i].epoch == 2 ? 1 : 0);
    }
}

static void
test_silent_domain_is_given_nothing(void)
{
    reopen_world(3, 5, 1, SLICES);
    world.domains[2].silent = true;
    planner_world_run(&world, ROUNDS);
    CU_ASSERT_EQUAL(owned_by_domain("d2"), 0);
    world.domains[2].silent = false;
    planner_world_run(&world, ROUNDS);
    CU_ASSERT_EQUAL(owned_by_domain("d2"), SLICES / 3);
}

/* The holder stepped on: the target at its position is the owner. */
static void
test_owner_at_its_position_stays(void)
{
    remember();
    hold_all();
    world.positions[5] = 1;
    planner_world_plan(&world);
    CU_ASSERT_STRING_EQUAL(world.rows[5].succession[0],
                           before[5].succession[1]);
    CU_ASSERT_EQUAL(world.rows[5].succession_count, 3);
    CU_ASSERT_EQUAL(world.rows[5].epoch, 2);
}

static void
test_target_of_unknown_cell_is_left_alone(void)
{
    for (size_t i = 0; i < 5; i++) {
        world.targets[i].cell[0] = '\0';
    }
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

static void
test_nothing_usable_changes_nothing(void)
{
    for (size_t i = 0; i < world.target_count; i++) {
        world.targets[i].alive = false;
    }
    CU_ASSERT_EQUAL(planner_world_plan(&world), 0);
}

static void
test_settle_empties_from_under_the_same_epoch(void)
{
    struct rs_model_assignment settled;
    struct rs_model_assignment held = {.epoch = 4,
                                       .cell = "d1/0",
                                       .succession = {"t"},
                                       .succession_count = 1,
                                       .from = {"d0/0"},
                                       .from_count = 1};
    CU_ASSERT(RsPlanner_Settle(&held, &settled));
    CU_ASSERT_EQUAL(settled.epoch, 4);
    CU_ASSERT_EQUAL(settled.from_count, 0);
    CU_ASSERT_STRING_EQUAL(settled.succession[0], "t");
    CU_ASSERT(!RsPlanner_Settle(&settled, &held));
}

static void
test_bad_options_are_refused(void)
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
    const struct rs_planner_policy *policies[] = {RsPlanner_Full(),
                                                  RsPlanner_Ring()};
    for (size_t i = 0; i < 2; i++) {
        reopen_world(3, 5, 1, SLICES);
        world.options.policy = policies[i];
        planner_world_run(&world, ROUNDS);
        CU_ASSERT_EQUAL(planner_world_count(&world), SLICES);
        world.domains[0].state = RsModel_OUT;
        planner_world_run(&world, ROUNDS);
        CU_ASSERT_EQUAL(owned_by_domain("d0"), 0);
        CU_ASSERT_EQUAL(planner_world_count(&world), SLICES);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite_with_setup_and_teardown(
        "planner", NULL, NULL, open_world, close_world);
    CU_ADD_TEST(suite, test_first_plan_is_balanced_and_spread);
    CU_ADD_TEST(suite, test_successors_of_one_target_are_many);
    CU_ADD_TEST(suite, test_order_of_targets_does_not_matter);
    CU_ADD_TEST(suite, test_dead_target_is_replaced);
    CU_ADD_TEST(suite, test_leaving_target_gives_its_slices_only);
    CU_ADD_TEST(suite, test_domain_goes_out_and_comes_back);
    CU_ADD_TEST(suite, test_all_domains_out_stay);
    CU_ADD_TEST(suite, test_giver_writes);
    CU_ADD_TEST(suite, test_receiver_writes_what_is_unassigned);
    CU_ADD_TEST(suite, test_lost_domain_is_replaced_by_anybody);
    CU_ADD_TEST(suite, test_lost_cell_is_replaced_by_its_sister);
    CU_ADD_TEST(suite, test_unsettled_slice_stays_in_its_cell);
    CU_ADD_TEST(suite, test_lost_cell_leaves_from);
    CU_ADD_TEST(suite, test_from_of_a_slice_lost_on_its_way_goes_on);
    CU_ADD_TEST(suite, test_slice_from_a_lost_cell_moves_at_once);
    CU_ADD_TEST(suite, test_silent_domain_keeps_or_hands_over);
    CU_ADD_TEST(suite, test_silent_domain_is_given_nothing);
    CU_ADD_TEST(suite, test_owner_at_its_position_stays);
    CU_ADD_TEST(suite, test_target_of_unknown_cell_is_left_alone);
    CU_ADD_TEST(suite, test_nothing_usable_changes_nothing);
    CU_ADD_TEST(suite, test_settle_empties_from_under_the_same_epoch);
    CU_ADD_TEST(suite, test_bad_options_are_refused);
    CU_ADD_TEST(suite, test_baselines_place_every_slice);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
