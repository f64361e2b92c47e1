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

struct scene {
    struct rs_keymap *map;
    struct rs_balance_target targets[MAX_TARGETS];
    struct rs_balance_input input;
    float rates[RsKeymap_KEYS];
};

static struct scene *
new_scene_of(size_t target_count)
{
    struct scene *scene = g_new0(struct scene, 1);
    scene->map = RsKeymap_New("s");
    for (size_t i = 0; i < target_count; i++) {
        char id[16];
        snprintf(id, sizeof(id), "t%zu", i);
        scene->targets[i] = (struct rs_balance_target){
            .owner = {g_intern_string(id), 1, NULL},
            .eligible = true,
            .capacity = CAPACITY_PER_S,
        };
    }
    scene->input = (struct rs_balance_input){
        .targets = scene->targets,
        .target_count = target_count,
        .rates = scene->rates,
        .window_s = WINDOW_S,
    };
    return scene;
}

static struct scene *
new_scene(void)
{
    return new_scene_of(TARGETS);
}

static void
free_scene(struct scene *scene)
{
    RsKeymap_Free(scene->map);
    g_free(scene);
}

static void
settle_all(struct scene *scene)
{
    for (size_t i = 0; i < scene->map->ranges->len; i++) {
        RsKeymap_ClearFormer(RsKeymap_GetRange(scene->map, i));
    }
}

static double
load_of(const struct scene *scene, size_t target)
{
    double load = 0;
    for (size_t i = 0; i < scene->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(scene->map, i);
        for (uint32_t key = range->first_key; key <= range->last_key; key++) {
            if (range->owner.id == scene->targets[target].owner.id) {
                load += scene->rates[key];
            }
        }
    }
    return load;
}

/* Plans until nothing moves any more, but at most 20 times. Returns the number
 * of plans that changed something. */
static int
plan_until_stable(struct scene *scene)
{
    int rounds = 0;
    while (rounds < 20 && RsBalance_Plan(scene->map, &scene->input) > 0) {
        settle_all(scene);
        rounds++;
    }
    return rounds;
}

static void
test_first_plan_distributes_all_keys_evenly(void)
{
    struct scene *scene = new_scene();
    plan_until_stable(scene);
    for (size_t i = 0; i < scene->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(scene->map, i);
        CU_ASSERT_PTR_NOT_NULL(range->owner.id);
        uint32_t keys = range->last_key - range->first_key + 1;
        CU_ASSERT_TRUE(keys <= RsKeymap_KEYS / 3);
    }
    free_scene(scene);
}

static double
max_load(const struct scene *scene)
{
    double most = 0;
    for (size_t i = 0; i < scene->input.target_count; i++) {
        most = MAX(most, load_of(scene, i));
    }
    return most;
}

/* The first requests come soon after the first plan; targets without keys
 * would be idle. */
static void
test_first_plan_gives_keys_to_each_of_many_targets(void)
{
    struct scene *scene = new_scene_of(MANY_TARGETS);
    const double fair = (double)RsKeymap_KEYS / MANY_TARGETS;
    RsBalance_Plan(scene->map, &scene->input);
    for (size_t i = 0; i < scene->map->ranges->len; i++) {
        RsKeymap_GetRange(scene->map, i)->former.id = NULL;
    }
    for (uint32_t key = 0; key < RsKeymap_KEYS; key++) {
        scene->rates[key] = 1;
    }
    for (size_t i = 0; i < MANY_TARGETS; i++) {
        CU_ASSERT_TRUE(load_of(scene, i) > fair / 2);
        CU_ASSERT_TRUE(load_of(scene, i) < fair * 2);
    }
    free_scene(scene);
}

/* Adjacent keys get a third of the requests to many targets, and all requests
 * together are half of the targets' capacity. Four plans take 1.2 s. */
static void
test_hot_keys_are_split_among_many_targets_in_a_few_plans(void)
{
    struct scene *scene = new_scene_of(MANY_TARGETS);
    plan_until_stable(scene);
    for (uint32_t key = 0; key < RsKeymap_KEYS; key += 64) {
        scene->rates[key] = 1.0f;
    }
    for (uint32_t key = 30000; key < 30200; key++) {
        scene->rates[key] = 2.5f;
    }
    CU_ASSERT_TRUE(max_load(scene) > 10 * CAPACITY_PER_S);
    for (int i = 0; i < 4; i++) {
        RsBalance_Plan(scene->map, &scene->input);
        settle_all(scene);
    }
    CU_ASSERT_TRUE(max_load(scene) < CAPACITY_PER_S);
    free_scene(scene);
}

/* 200 adjacent keys get most of the requests. */
static void
test_hot_keys_are_split_in_a_few_plans(void)
{
    struct scene *scene = new_scene();
    plan_until_stable(scene);
    for (uint32_t key = 30000; key < 30200; key++) {
        scene->rates[key] = 0.25f;
    }
    int rounds = plan_until_stable(scene);
    CU_ASSERT_TRUE(rounds <= 4);
    for (size_t i = 0; i < TARGETS; i++) {
        /* 50 requests a second; an equal share is 12.5. */
        CU_ASSERT_TRUE(load_of(scene, i) < CAPACITY_PER_S);
    }
    free_scene(scene);
}

/* A single key that is heavier than the load to be moved. Other keys move
 * instead, and other overloaded targets are relieved as well. */
static void
test_one_heavy_key_does_not_stop_the_others(void)
{
    struct scene *scene = new_scene();
    plan_until_stable(scene);
    scene->rates[100] = 30.0f;
    const struct rs_key_range *range = RsKeymap_FindRange(scene->map, 40000);
    for (uint32_t i = 0; i < 40; i++) {
        scene->rates[range->first_key + i * 8] = 0.8f;
    }
    size_t overloaded = 0;
    while (scene->targets[overloaded].owner.id != range->owner.id) {
        overloaded++;
    }
    CU_ASSERT_TRUE(load_of(scene, overloaded) > 30.0);
    plan_until_stable(scene);
    CU_ASSERT_TRUE(load_of(scene, overloaded) < 25.0);
    free_scene(scene);
}

static void
test_random_variation_moves_nothing(void)
{
    struct scene *scene = new_scene();
    plan_until_stable(scene);
    size_t index = 0;
    /* 4 or 5 requests for each target in the window. */
    for (size_t i = 0; i < scene->map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(scene->map, i);
        scene->rates[range->first_key] = (float)(2.6 + 0.7 * (index++ % 2));
    }
    CU_ASSERT_EQUAL(RsBalance_Plan(scene->map, &scene->input), 0);
    free_scene(scene);
}

static void
test_keys_of_a_lost_target_go_to_all_others(void)
{
    struct scene *scene = new_scene();
    plan_until_stable(scene);
    for (uint32_t key = 0; key < RsKeymap_KEYS; key += 1024) {
        scene->rates[key] = 0.5f;
    }
    scene->targets[1].eligible = false;
    RsBalance_Plan(scene->map, &scene->input);
    settle_all(scene);
    plan_until_stable(scene);
    CU_ASSERT_EQUAL(load_of(scene, 1), 0);
    CU_ASSERT_TRUE(load_of(scene, 0) > 8 && load_of(scene, 0) < 14);
    CU_ASSERT_TRUE(load_of(scene, 2) > 8 && load_of(scene, 2) < 14);
    CU_ASSERT_TRUE(load_of(scene, 3) > 8 && load_of(scene, 3) < 14);
    free_scene(scene);
}

static void
test_slow_target_gives_keys_away(void)
{
    struct scene *scene = new_scene();
    plan_until_stable(scene);
    for (uint32_t key = 0; key < RsKeymap_KEYS; key += 512) {
        scene->rates[key] = 0.35f;
    }
    plan_until_stable(scene);
    scene->targets[0].capacity = CAPACITY_PER_S / 5;
    plan_until_stable(scene);
    CU_ASSERT_TRUE(load_of(scene, 0) < CAPACITY_PER_S / 3);
    free_scene(scene);
}

/* The loss of a failure domain takes away a third of a thousand targets. All
 * their keys get new owners in one plan, and the map still fits its row of 64
 * KiB, which has room for about 2,500 ranges. */
static void
test_map_fits_its_row_after_loss_of_a_domain(void)
{
    struct scene *scene = new_scene_of(MAX_TARGETS);
    plan_until_stable(scene);
    for (uint32_t key = 0; key < RsKeymap_KEYS; key++) {
        scene->rates[key] = 0.1f;
    }
    for (size_t i = 0; i < MAX_TARGETS; i += 3) {
        scene->targets[i].eligible = false;
    }
    RsBalance_Plan(scene->map, &scene->input);
    settle_all(scene);
    CU_ASSERT_TRUE(scene->map->ranges->len < 2 * MAX_TARGETS);
    for (size_t i = 0; i < MAX_TARGETS; i += 3) {
        CU_ASSERT_EQUAL(load_of(scene, i), 0);
    }
    double fair = 0.1 * RsKeymap_KEYS / MAX_TARGETS * 3 / 2;
    CU_ASSERT_TRUE(max_load(scene) < 2 * fair);
    free_scene(scene);
}

/* Every few seconds other keys become busy, for a quarter of an hour. The
 * plans must not split the map into ever more ranges. */
static void
test_ranges_do_not_grow_in_number(void)
{
    struct scene *scene = new_scene_of(MANY_TARGETS);
    plan_until_stable(scene);
    for (uint32_t turn = 0; turn < 60; turn++) {
        uint32_t first_key = turn * 1000 + 500;
        memset(scene->rates, 0, sizeof(scene->rates));
        for (uint32_t key = 0; key < RsKeymap_KEYS; key += 64) {
            scene->rates[key] = 1.0f;
        }
        for (uint32_t key = first_key; key < first_key + 200; key++) {
            scene->rates[key] = 2.5f;
        }
        for (int i = 0; i < 15; i++) { /* 4.5 s */
            RsBalance_Plan(scene->map, &scene->input);
            settle_all(scene);
        }
    }
    CU_ASSERT_TRUE(scene->map->ranges->len < 4 * MANY_TARGETS);
    free_scene(scene);
}

static void
test_plan_without_targets_changes_nothing(void)
{
    struct scene *scene = new_scene();
    for (size_t i = 0; i < TARGETS; i++) {
        scene->targets[i].eligible = false;
    }
    CU_ASSERT_EQUAL(RsBalance_Plan(scene->map, &scene->input), 0);
    free_scene(scene);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("balance", NULL, NULL);
    CU_ADD_TEST(suite, test_first_plan_distributes_all_keys_evenly);
    CU_ADD_TEST(suite, test_first_plan_gives_keys_to_each_of_many_targets);
    CU_ADD_TEST(suite,
                test_hot_keys_are_split_among_many_targets_in_a_few_plans);
    CU_ADD_TEST(suite, test_hot_keys_are_split_in_a_few_plans);
    CU_ADD_TEST(suite, test_one_heavy_key_does_not_stop_the_others);
    CU_ADD_TEST(suite, test_random_variation_moves_nothing);
    CU_ADD_TEST(suite, test_keys_of_a_lost_target_go_to_all_others);
    CU_ADD_TEST(suite, test_slow_target_gives_keys_away);
    CU_ADD_TEST(suite, test_map_fits_its_row_after_loss_of_a_domain);
    CU_ADD_TEST(suite, test_ranges_do_not_grow_in_number);
    CU_ADD_TEST(suite, test_plan_without_targets_changes_nothing);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
