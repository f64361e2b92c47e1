#include <CUnit/Basic.h>

#include "core/log.h"
#include "router/fixture.h"

#define LAST_KEY (RsKeymap_KEYS - 1)
#define RECOVER_MS 15000 /* recover_s of the users' pages */
#define ELECTION_MS 3000 /* time until there is another granter */
#define STEP_MS 100

/* Values that are not a whole map. The third has no fences that are known, the
 * last lacks the second half of the keys. */
static const char *const damaged[] = {
    "",
    "{}",
    "{\"next_fence\":9,\"owners\":[],\"ranges\":[]}",
    "{\"next_fence\":4,\"owners\":[\n[\"t0\",1]],\"ranges\":[\n[32767,0,",
    "{\"format\":2,\"maps\":{}}",
    "{\"next_fence\":3,\"owners\":[[\"t0\",1]],\"ranges\":[[32767,0,1]]}",
};

/* Returns a simulation in which keys have moved between three targets, so that
 * fences are no longer the first ones. */
static struct rs_simulation *
new_moved_simulation(void)
{
    struct rs_simulation *sim = RsSimulation_NewSettled(0, false);
    for (uint32_t i = 0; i < 8; i++) {
        RsSimulation_MoveKeys(sim, i * 8192, i * 8192 + 8191, i % 3);
        RsSimulation_Advance(sim, 400);
    }
    return sim;
}

/* Lets a planner that finds keys without owners give them to targets other
 * than their former ones, and checks that all keys are held in the end. */
static void
check_recovery(struct rs_simulation *sim)
{
    for (int64_t ms = 0; ms < ELECTION_MS + RECOVER_MS; ms += STEP_MS) {
        RsSimulation_Advance(sim, STEP_MS);
        RsSimulation_MoveKeys(sim, 0, LAST_KEY, 3);
    }
    CU_ASSERT_TRUE(RsSimulation_IsSound(sim));
    CU_ASSERT_EQUAL(RsSimulation_CountHeldKeys(sim), RsKeymap_KEYS);
    RsSimulation_Free(sim);
}

/* review/6: a granter that could not read the row of the key map began it with
 * the first fences, and gave keys to a second target while they were held. */
static void
test_next_granter_finds_an_unreadable_map(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(damaged); i++) {
        struct rs_simulation *sim = new_moved_simulation();
        int granter = RsSimulation_FindGranter(sim);
        RsSimulation_OverwriteMap(sim, damaged[i]);
        RsSimulation_InjectFault(sim, RsFixture_NODE_FROZEN, (uint32_t)granter,
                                 60000);
        check_recovery(sim);
    }
}

/* No node knows the map from before. */
static void
test_all_nodes_start_with_an_unreadable_map(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(damaged); i++) {
        struct rs_simulation *sim = new_moved_simulation();
        RsSimulation_OverwriteMap(sim, damaged[i]);
        for (uint32_t k = 0; k < RsFixture_NODES; k++) {
            RsSimulation_InjectFault(sim, RsFixture_NODE_RESTARTED, k, 0);
        }
        check_recovery(sim);
    }
}

/* Nor does the lease row tell which fences were given. */
static void
test_map_and_lease_are_unreadable(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(damaged); i++) {
        struct rs_simulation *sim = new_moved_simulation();
        RsSimulation_OverwriteMap(sim, damaged[i]);
        RsSimulation_OverwriteLease(sim, i % 2 == 0 ? "" : "{\"node\":7}");
        for (uint32_t k = 0; k < RsFixture_NODES; k++) {
            RsSimulation_InjectFault(sim, RsFixture_NODE_RESTARTED, k, 0);
        }
        check_recovery(sim);
    }
}

/* The granter that began the map anew is lost before it has given the keys. */
static void
test_granter_is_lost_again_while_keys_wait(void)
{
    for (int64_t after_ms = 3000; after_ms < 15000; after_ms += 1500) {
        struct rs_simulation *sim = new_moved_simulation();
        RsSimulation_OverwriteMap(sim, damaged[3]);
        RsSimulation_InjectFault(sim, RsFixture_NODE_FROZEN,
                                 (uint32_t)RsSimulation_FindGranter(sim),
                                 60000);
        RsSimulation_Advance(sim, after_ms);
        int granter = RsSimulation_FindGranter(sim);
        CU_ASSERT_TRUE_FATAL(granter >= 0);
        RsSimulation_InjectFault(sim, RsFixture_NODE_RESTARTED,
                                 (uint32_t)granter, 0);
        check_recovery(sim);
    }
}

/* A granter that has the map in memory writes it again. */
static void
test_granter_with_the_map_goes_on(void)
{
    struct rs_simulation *sim = new_moved_simulation();
    RsSimulation_OverwriteMap(sim, damaged[0]);
    for (uint32_t i = 0; i < 50; i++) {
        RsSimulation_MoveKeys(sim, 0, 99, i % 4);
        RsSimulation_Advance(sim, STEP_MS);
    }
    RsSimulation_Advance(sim, 500);
    CU_ASSERT_EQUAL(RsSimulation_CountHeldKeys(sim), RsKeymap_KEYS);
    check_recovery(sim);
}

/* A row of a map that is gone is not one that was never written. */
static void
test_next_granter_finds_no_map(void)
{
    for (uint32_t restarted = 1; restarted <= RsFixture_NODES; restarted++) {
        struct rs_simulation *sim = new_moved_simulation();
        uint32_t granter = (uint32_t)RsSimulation_FindGranter(sim);
        RsSimulation_DeleteMap(sim);
        for (uint32_t k = 0; k < restarted; k++) {
            RsSimulation_InjectFault(sim, RsFixture_NODE_RESTARTED,
                                     (granter + k) % RsFixture_NODES, 0);
        }
        check_recovery(sim);
    }
}

/* The granter writes the map again. */
static void
test_granter_finds_no_map(void)
{
    struct rs_simulation *sim = new_moved_simulation();
    RsSimulation_DeleteMap(sim);
    for (uint32_t i = 0; i < 50; i++) {
        RsSimulation_MoveKeys(sim, 0, 99, i % 4);
        RsSimulation_Advance(sim, STEP_MS);
        CU_ASSERT_TRUE(RsSimulation_FindGranter(sim) >= 0);
    }
    RsSimulation_Advance(sim, 500);
    CU_ASSERT_EQUAL(RsSimulation_CountHeldKeys(sim), RsKeymap_KEYS);
    check_recovery(sim);
}

/* Another node claims the lease once the granter has lost its authority. No
 * key lapses meanwhile. */
static void
test_lease_is_deleted(void)
{
    for (uint32_t frozen = 0; frozen < 2; frozen++) {
        struct rs_simulation *sim = new_moved_simulation();
        if (frozen == 1) {
            RsSimulation_InjectFault(sim, RsFixture_NODE_FROZEN,
                                     (uint32_t)RsSimulation_FindGranter(sim),
                                     60000);
        }
        RsSimulation_DeleteLease(sim);
        for (int i = 0; i < 80; i++) {
            RsSimulation_Advance(sim, STEP_MS);
            CU_ASSERT_EQUAL(RsSimulation_CountHeldKeys(sim), RsKeymap_KEYS);
        }
        CU_ASSERT_TRUE(RsSimulation_FindGranter(sim) >= 0);
        check_recovery(sim);
    }
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("granter_rows", NULL, NULL);
    CU_ADD_TEST(suite, test_next_granter_finds_an_unreadable_map);
    CU_ADD_TEST(suite, test_all_nodes_start_with_an_unreadable_map);
    CU_ADD_TEST(suite, test_map_and_lease_are_unreadable);
    CU_ADD_TEST(suite, test_granter_is_lost_again_while_keys_wait);
    CU_ADD_TEST(suite, test_granter_with_the_map_goes_on);
    CU_ADD_TEST(suite, test_next_granter_finds_no_map);
    CU_ADD_TEST(suite, test_granter_finds_no_map);
    CU_ADD_TEST(suite, test_lease_is_deleted);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
