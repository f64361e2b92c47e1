#include <CUnit/Basic.h>

#include "dispatch/choice.h"

#define TARGETS 4
#define PICKS 4000

static void
init_targets(struct rs_choice_target *targets)
{
    for (size_t i = 0; i < TARGETS; i++) {
        targets[i] = (struct rs_choice_target){
            .usable = true, .limit = 4, .latency_us = 1000};
    }
}

static void
count_picks(const struct rs_choice_policy *policy,
            const struct rs_choice_target *targets, size_t avoid,
            unsigned counts[TARGETS])
{
    struct rs_choice choice;
    RsChoice_Init(&choice, policy, 1);
    for (size_t i = 0; i < TARGETS; i++) {
        counts[i] = 0;
    }
    for (int i = 0; i < PICKS; i++) {
        size_t index = RsChoice_Pick(&choice, targets, TARGETS, avoid);
        CU_ASSERT_FATAL(index < TARGETS);
        counts[index]++;
    }
}

static void
test_slow_and_lost_targets_are_only_probed(void)
{
    struct rs_choice_target targets[TARGETS];
    unsigned counts[TARGETS];
    init_targets(targets);
    targets[0].state = RsHealth_SLOW;
    targets[1].state = RsHealth_LOST;
    targets[2].usable = false;
    count_picks(&rs_choice_two_choices, targets, RsChoice_NONE, counts);
    CU_ASSERT(counts[0] > 0 && counts[0] < PICKS / 50);
    CU_ASSERT(counts[1] > 0 && counts[1] < PICKS / 50);
    CU_ASSERT_EQUAL(counts[2], 0);
}

static void
test_target_with_a_request_in_flight_is_not_probed(void)
{
    struct rs_choice_target targets[TARGETS];
    unsigned counts[TARGETS];
    init_targets(targets);
    targets[1].state = RsHealth_LOST;
    targets[1].in_flight = 1;
    count_picks(&rs_choice_two_choices, targets, RsChoice_NONE, counts);
    CU_ASSERT_EQUAL(counts[1], 0);
}

static void
test_two_choices_prefers_less_loaded_and_faster_targets(void)
{
    struct rs_choice_target targets[TARGETS];
    unsigned counts[TARGETS];
    init_targets(targets);
    targets[0].in_flight = 3;
    targets[1].latency_us = 5000;
    count_picks(&rs_choice_two_choices, targets, RsChoice_NONE, counts);
    CU_ASSERT(counts[0] < PICKS / TARGETS);
    CU_ASSERT(counts[1] < PICKS / 50);
    CU_ASSERT(counts[2] > PICKS / TARGETS);
}

static void
test_slow_target_is_used_when_others_are_full(void)
{
    struct rs_choice_target targets[TARGETS];
    unsigned counts[TARGETS];
    init_targets(targets);
    for (size_t i = 1; i < TARGETS; i++) {
        targets[i].in_flight = targets[i].limit;
    }
    targets[0].state = RsHealth_SLOW;
    targets[0].latency_us = 10000;
    count_picks(&rs_choice_two_choices, targets, RsChoice_NONE, counts);
    CU_ASSERT(counts[0] > PICKS / TARGETS);
}

static void
test_avoided_target_is_the_last_resort(void)
{
    static const struct rs_choice_policy *const policies[] = {
        &rs_choice_two_choices, &rs_choice_round_robin, &rs_choice_random};
    struct rs_choice_target targets[TARGETS];
    unsigned counts[TARGETS];
    for (size_t i = 0; i < 3; i++) {
        init_targets(targets);
        count_picks(policies[i], targets, 2, counts);
        CU_ASSERT_EQUAL(counts[2], 0);
        targets[0].usable = false;
        targets[1].usable = false;
        targets[3].usable = false;
        count_picks(policies[i], targets, 2, counts);
        CU_ASSERT_EQUAL(counts[2], PICKS);
    }
}

static void
test_picks_none_without_usable_targets(void)
{
    struct rs_choice_target targets[TARGETS] = {0};
    struct rs_choice choice;
    RsChoice_Init(&choice, &rs_choice_two_choices, 1);
    CU_ASSERT_EQUAL(RsChoice_Pick(&choice, targets, TARGETS, RsChoice_NONE),
                    RsChoice_NONE);
    CU_ASSERT_EQUAL(RsChoice_Pick(&choice, targets, 0, RsChoice_NONE),
                    RsChoice_NONE);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("choice", NULL, NULL);
    CU_ADD_TEST(suite, test_slow_and_lost_targets_are_only_probed);
    CU_ADD_TEST(suite, test_target_with_a_request_in_flight_is_not_probed);
    CU_ADD_TEST(suite,
                test_two_choices_prefers_less_loaded_and_faster_targets);
    CU_ADD_TEST(suite, test_slow_target_is_used_when_others_are_full);
    CU_ADD_TEST(suite, test_avoided_target_is_the_last_resort);
    CU_ADD_TEST(suite, test_picks_none_without_usable_targets);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
