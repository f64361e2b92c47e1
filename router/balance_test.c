#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "router/balance.h"

#define TARGETS 4
#define MANY_TARGETS 150
#define MAX_TARGETS 1000
#define LAST_KEY (RsKeymap_KEYS - 1)
#define CAPACITY_PER_S 20.0
#define WINDOW_S 1.5

struct scenario {
    struct rs_keymap *map;
    struct rs_balance_target targets[MAX_TARGETS];
    struct rs_balance_problem problem;
    float rates[RsKeymap_KEYS];
};

static struct scenario *
new_scenario_of(size_t target_count)
{
    struct scenario *scenario = g_new0(struct scenario, 1);
    scenario->map = RsKeymap_New("s");
    for (size_t i = 0; i < target_count; i++) {
        char id[16];
        snprintf(id, sizeof(id), "t%zu", i);
        scenario->targets[i] = (struct rs_balance_target){
            .owner = {g_intern_string(id), 1, NULL},
            .eligible = true,
            .capacity = CAPACITY_PER_S,
        };
    }
    scenario->problem = (struct rs_balance_problem){
        .targets = scenario->targets,
        .target_count = target_count,
        .rates = scenario->rates,
        .window_s = WINDOW_S,
    };
    return scenario;
}

static struct scenario *
new_scenario(void)
{
    return new_scenario_of(TARGETS);
}

static void
free_scenario(struct scenario *scenario)
{
    RsKeymap_Free(scenario->map);
    g_free(scenario);
}

static void
complete_handovers(struct scenario *scenario)
{
    for (size_t i = 0; i < scenario->map->ranges->len; i++) {
        RsKeymap_ClearFormer(RsKeymap_GetRange(scenario->map, i));
    }
}

static double
load_of(const struct scenario *scenario, size_t target)
{
    double load = 0;
    for (size_t i = 0; i < scenario->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(scenario->map, i);
        for (uint32_t key = range->first_key; key <= range->last_key; key++) {
            if (range->owner.id == scenario->targets[target].owner.id) {
                load += scenario->rates[key];
            }
        }
    }
    return load;
}

/* Plans until nothing moves any more, but at most 20 times. Returns the number
 * of plans that changed something. */
static int
plan_until_stable(struct scenario *scenario)
{
    int rounds = 0;
    while (rounds < 20 &&
           RsBalance_Plan(scenario->map, &scenario->problem) > 0) {
        complete_handovers(scenario);
        rounds++;
    }
    return rounds;
}

static void
test_all_keys_get_owners_in_ranges_of_limited_size(void)
{
    struct scenario *scenario = new_scenario();
    plan_until_stable(scenario);
    for (size_t i = 0; i < scenario->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(scenario->map, i);
        CU_ASSERT_PTR_NOT_NULL(range->owner.id);
        uint32_t keys = range->last_key - range->first_key + 1;
        CU_ASSERT_TRUE(keys <= RsKeymap_KEYS / 3);
    }
    free_scenario(scenario);
}

static double
max_load(const struct scenario *scenario)
{
    double highest_load = 0;
    for (size_t i = 0; i < scenario->problem.target_count; i++) {
        highest_load = MAX(highest_load, load_of(scenario, i));
    }
    return highest_load;
}

/* The first requests come soon after the first plan; targets without keys
 * would be idle. */
static void
test_first_plan_gives_keys_to_each_of_many_targets(void)
{
    struct scenario *scenario = new_scenario_of(MANY_TARGETS);
    const double fair = (double)RsKeymap_KEYS / MANY_TARGETS;
    RsBalance_Plan(scenario->map, &scenario->problem);
    for (size_t i = 0; i < scenario->map->ranges->len; i++) {
        RsKeymap_GetRange(scenario->map, i)->former.id = NULL;
    }
    for (uint32_t key = 0; key < RsKeymap_KEYS; key++) {
        scenario->rates[key] = 1;
    }
    for (size_t i = 0; i < MANY_TARGETS; i++) {
        CU_ASSERT_TRUE(load_of(scenario, i) > fair / 2);
        CU_ASSERT_TRUE(load_of(scenario, i) < fair * 2);
    }
    free_scenario(scenario);
}

/* Targets that report after the first plan would own no keys until others are
 * overloaded. One move for each is enough, and no further keys move. */
static void
test_new_targets_get_keys_without_load(void)
{
    struct scenario *scenario = new_scenario_of(MANY_TARGETS);
    scenario->problem.target_count = MANY_TARGETS - 10;
    plan_until_stable(scenario);
    uint64_t first_fence = scenario->map->next_fence;
    scenario->problem.target_count = MANY_TARGETS;
    plan_until_stable(scenario);
    CU_ASSERT_EQUAL(scenario->map->next_fence - first_fence, 10);
    for (uint32_t key = 0; key < RsKeymap_KEYS; key++) {
        scenario->rates[key] = 1;
    }
    const double fair = (double)RsKeymap_KEYS / MANY_TARGETS;
    for (size_t i = MANY_TARGETS - 10; i < MANY_TARGETS; i++) {
        CU_ASSERT_TRUE(load_of(scenario, i) > fair / 4);
        CU_ASSERT_TRUE(load_of(scenario, i) < fair * 2);
    }
    free_scenario(scenario);
}

/* Adjacent keys get a third of the requests to many targets, and all requests
 * together are half of the targets' capacity. Four plans take 1.2 s. */
static void
test_hot_keys_are_split_among_many_targets_in_a_few_plans(void)
{
    struct scenario *scenario = new_scenario_of(MANY_TARGETS);
    plan_until_stable(scenario);
    for (uint32_t key = 0; key < RsKeymap_KEYS; key += 64) {
        scenario->rates[key] = 1.0f;
    }
    for (uint32_t key = 30000; key < 30200; key++) {
        scenario->rates[key] = 2.5f;
    }
    CU_ASSERT_TRUE(max_load(scenario) > 10 * CAPACITY_PER_S);
    for (int i = 0; i < 4; i++) {
        RsBalance_Plan(scenario->map, &scenario->problem);
        complete_handovers(scenario);
    }
    CU_ASSERT_TRUE(max_load(scenario) < CAPACITY_PER_S);
    free_scenario(scenario);
}

/* 200 adjacent keys get all requests. */
static void
test_hot_keys_are_split_in_a_few_plans(void)
{
    struct scenario *scenario = new_scenario();
    plan_until_stable(scenario);
    for (uint32_t key = 30000; key < 30200; key++) {
        scenario->rates[key] = 0.25f;
    }
    int rounds = plan_until_stable(scenario);
    CU_ASSERT_TRUE(rounds <= 4);
    for (size_t i = 0; i < TARGETS; i++) {
        /* 50 requests a second; an equal share is 12.5. */
        CU_ASSERT_TRUE(load_of(scenario, i) < CAPACITY_PER_S);
    }
    free_scenario(scenario);
}

/* One target has a single key that is heavier than the load to be moved.
 * Another overloaded target must be relieved all the same. */
static void
test_one_heavy_key_does_not_stop_other_targets_from_being_relieved(void)
{
    struct scenario *scenario = new_scenario();
    plan_until_stable(scenario);
    scenario->rates[100] = 30.0f;
    const struct rs_key_range *range =
        RsKeymap_FindRange(scenario->map, 40000);
    for (uint32_t i = 0; i < 40; i++) {
        scenario->rates[range->first_key + i * 8] = 0.8f;
    }
    size_t overloaded = 0;
    while (scenario->targets[overloaded].owner.id != range->owner.id) {
        overloaded++;
    }
    CU_ASSERT_TRUE(load_of(scenario, overloaded) > 30.0);
    plan_until_stable(scenario);
    CU_ASSERT_TRUE(load_of(scenario, overloaded) < 25.0);
    free_scenario(scenario);
}

/* A key that no target can run was left at a slow owner with its neighbours,
 * which were refused with it. */
static void
test_hot_key_gets_a_fast_owner_of_its_own(void)
{
    struct scenario *scenario = new_scenario_of(MANY_TARGETS);
    struct rs_balance_hot_key hot = {.key = 31000};
    for (size_t i = 0; i < MANY_TARGETS; i++) {
        scenario->targets[i].capacity = CAPACITY_PER_S * (i % 3 + 1) / 2;
    }
    plan_until_stable(scenario);
    for (uint32_t key = 0; key < RsKeymap_KEYS; key += 64) {
        scenario->rates[key] = key != hot.key ? 1.0f : 0;
    }
    plan_until_stable(scenario);
    scenario->problem.hot_keys = &hot;
    scenario->problem.hot_key_count = 1;
    uint64_t first_fence = scenario->map->next_fence;
    RsBalance_Plan(scenario->map, &scenario->problem);
    complete_handovers(scenario);
    CU_ASSERT_TRUE(scenario->map->next_fence - first_fence <= 12);
    const struct rs_balance_target *owner = &scenario->targets[hot.target];
    CU_ASSERT_EQUAL(owner->capacity, CAPACITY_PER_S * 3 / 2);
    for (int i = 0; i < 4; i++) {
        for (size_t k = 0; k < scenario->map->ranges->len; k++) {
            const struct rs_key_range *range =
                RsKeymap_GetRange(scenario->map, k);
            CU_ASSERT_EQUAL(range->owner.id == owner->owner.id,
                            range->first_key == hot.key);
        }
        RsBalance_Plan(scenario->map, &scenario->problem);
        complete_handovers(scenario);
        CU_ASSERT_EQUAL(hot.target, (size_t)(owner - scenario->targets));
    }
    free_scenario(scenario);
}

/* The owner of a hot key has ended: the key gets another one, alone. */
static void
test_hot_key_gets_another_owner(void)
{
    struct scenario *scenario = new_scenario_of(MANY_TARGETS);
    struct rs_balance_hot_key hot = {.key = 31000};
    scenario->problem.hot_keys = &hot;
    scenario->problem.hot_key_count = 1;
    plan_until_stable(scenario);
    size_t former = hot.target;
    scenario->targets[former].eligible = false;
    plan_until_stable(scenario);
    CU_ASSERT_NOT_EQUAL(hot.target, former);
    CU_ASSERT_TRUE(scenario->targets[hot.target].dedicated);
    free_scenario(scenario);
}

/* A new granter has rates of a few requests only. It replaces owners that have
 * ended, but moves nothing by these rates. */
static void
test_unknown_rates_move_nothing(void)
{
    struct scenario *scenario = new_scenario_of(MANY_TARGETS);
    plan_until_stable(scenario);
    for (uint32_t key = 30000; key < 30200; key++) {
        scenario->rates[key] = 2.5f;
    }
    scenario->problem.rates_unknown = true;
    CU_ASSERT_EQUAL(RsBalance_Plan(scenario->map, &scenario->problem), 0);
    scenario->targets[3].eligible = false;
    CU_ASSERT_TRUE(RsBalance_Plan(scenario->map, &scenario->problem) > 0);
    complete_handovers(scenario);
    CU_ASSERT_EQUAL(load_of(scenario, 3), 0);
    free_scenario(scenario);
}

static void
test_random_variation_moves_nothing(void)
{
    struct scenario *scenario = new_scenario();
    plan_until_stable(scenario);
    size_t index = 0;
    /* 4 or 5 requests for each range in the window. */
    for (size_t i = 0; i < scenario->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(scenario->map, i);
        scenario->rates[range->first_key] = (float)(2.6 + 0.7 * (index++ % 2));
    }
    CU_ASSERT_EQUAL(RsBalance_Plan(scenario->map, &scenario->problem), 0);
    free_scenario(scenario);
}

static void
test_keys_of_an_ineligible_target_go_to_all_others(void)
{
    struct scenario *scenario = new_scenario();
    plan_until_stable(scenario);
    for (uint32_t key = 0; key < RsKeymap_KEYS; key += 1024) {
        scenario->rates[key] = 0.5f;
    }
    scenario->targets[1].eligible = false;
    RsBalance_Plan(scenario->map, &scenario->problem);
    complete_handovers(scenario);
    plan_until_stable(scenario);
    CU_ASSERT_EQUAL(load_of(scenario, 1), 0);
    CU_ASSERT_TRUE(load_of(scenario, 0) > 8 && load_of(scenario, 0) < 14);
    CU_ASSERT_TRUE(load_of(scenario, 2) > 8 && load_of(scenario, 2) < 14);
    CU_ASSERT_TRUE(load_of(scenario, 3) > 8 && load_of(scenario, 3) < 14);
    free_scenario(scenario);
}

static void
test_slow_target_gives_keys_away(void)
{
    struct scenario *scenario = new_scenario();
    plan_until_stable(scenario);
    for (uint32_t key = 0; key < RsKeymap_KEYS; key += 512) {
        scenario->rates[key] = 0.35f;
    }
    plan_until_stable(scenario);
    scenario->targets[0].capacity = CAPACITY_PER_S / 5;
    plan_until_stable(scenario);
    CU_ASSERT_TRUE(load_of(scenario, 0) < CAPACITY_PER_S / 3);
    free_scenario(scenario);
}

/* The loss of a failure domain takes away a third of a thousand targets. All
 * their keys get new owners in one plan, and the map still fits its row of 64
 * KiB, which has room for about 2,500 ranges. */
static void
test_map_fits_its_row_after_loss_of_a_domain(void)
{
    struct scenario *scenario = new_scenario_of(MAX_TARGETS);
    plan_until_stable(scenario);
    for (uint32_t key = 0; key < RsKeymap_KEYS; key++) {
        scenario->rates[key] = 0.1f;
    }
    for (size_t i = 0; i < MAX_TARGETS; i += 3) {
        scenario->targets[i].eligible = false;
    }
    RsBalance_Plan(scenario->map, &scenario->problem);
    complete_handovers(scenario);
    CU_ASSERT_TRUE(scenario->map->ranges->len < 2 * MAX_TARGETS);
    for (size_t i = 0; i < MAX_TARGETS; i += 3) {
        CU_ASSERT_EQUAL(load_of(scenario, i), 0);
    }
    double fair = 0.1 * RsKeymap_KEYS / MAX_TARGETS * 3 / 2;
    CU_ASSERT_TRUE(max_load(scenario) < 2 * fair);
    free_scenario(scenario);
}

/* Every 4.5 s, 60 times in a row, other keys become busy. The plans must not
 * split the map into ever more ranges. */
static void
test_ranges_do_not_grow_in_number(void)
{
    struct scenario *scenario = new_scenario_of(MANY_TARGETS);
    plan_until_stable(scenario);
    for (uint32_t turn = 0; turn < 60; turn++) {
        uint32_t first_key = turn * 1000 + 500;
        memset(scenario->rates, 0, sizeof(scenario->rates));
        for (uint32_t key = 0; key < RsKeymap_KEYS; key += 64) {
            scenario->rates[key] = 1.0f;
        }
        for (uint32_t key = first_key; key < first_key + 200; key++) {
            scenario->rates[key] = 2.5f;
        }
        for (int i = 0; i < 15; i++) { /* one every 300 ms */
            RsBalance_Plan(scenario->map, &scenario->problem);
            complete_handovers(scenario);
        }
    }
    CU_ASSERT_TRUE(scenario->map->ranges->len < 4 * MANY_TARGETS);
    free_scenario(scenario);
}

static void
test_plan_without_eligible_targets_changes_nothing(void)
{
    struct scenario *scenario = new_scenario();
    for (size_t i = 0; i < TARGETS; i++) {
        scenario->targets[i].eligible = false;
    }
    CU_ASSERT_EQUAL(RsBalance_Plan(scenario->map, &scenario->problem), 0);
    free_scenario(scenario);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("balance", NULL, NULL);
    CU_ADD_TEST(suite, test_all_keys_get_owners_in_ranges_of_limited_size);
    CU_ADD_TEST(suite, test_first_plan_gives_keys_to_each_of_many_targets);
    CU_ADD_TEST(suite,
                test_hot_keys_are_split_among_many_targets_in_a_few_plans);
    CU_ADD_TEST(suite, test_hot_keys_are_split_in_a_few_plans);
    CU_ADD_TEST(suite, test_new_targets_get_keys_without_load);
    CU_ADD_TEST(
        suite,
        test_one_heavy_key_does_not_stop_other_targets_from_being_relieved);
    CU_ADD_TEST(suite, test_hot_key_gets_a_fast_owner_of_its_own);
    CU_ADD_TEST(suite, test_hot_key_gets_another_owner);
    CU_ADD_TEST(suite, test_unknown_rates_move_nothing);
    CU_ADD_TEST(suite, test_random_variation_moves_nothing);
    CU_ADD_TEST(suite, test_keys_of_an_ineligible_target_go_to_all_others);
    CU_ADD_TEST(suite, test_slow_target_gives_keys_away);
    CU_ADD_TEST(suite, test_map_fits_its_row_after_loss_of_a_domain);
    CU_ADD_TEST(suite, test_ranges_do_not_grow_in_number);
    CU_ADD_TEST(suite, test_plan_without_eligible_targets_changes_nothing);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
