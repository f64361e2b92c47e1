#include <CUnit/Basic.h>

#include "core/log.h"
#include "router/fixture.h"

#define LAST_KEY (RsKeymap_KEYS - 1)
#define FORMER_TARGET 0
#define OWNER_TARGET 1
#define CUT_OFF_MS 25000

/* Moves all keys to OWNER_TARGET, and checks that it gets them, but not as
 * long as FORMER_TARGET holds them. Frees the simulation. */
static void
check_move(struct rs_simulation *sim)
{
    for (int i = 0; i < 250 && !RsSimulation_Holds(sim, OWNER_TARGET, 0);
         i++) {
        if (!RsSimulation_Holds(sim, FORMER_TARGET, 0) || i < 30) {
            RsSimulation_MoveKeys(sim, 0, LAST_KEY, OWNER_TARGET);
        }
        RsSimulation_Advance(sim, 100);
    }
    CU_ASSERT_TRUE(RsSimulation_Holds(sim, OWNER_TARGET, 0));
    CU_ASSERT_TRUE(RsSimulation_IsSound(sim));
    RsSimulation_Free(sim);
}

/* The grant is given up and reaches the target afterwards, for instance
 * because its packet was lost twice, and no later order reaches the target. */
static void
test_keys_stay_while_a_given_up_grant_may_hold(void)
{
    for (int64_t delay_ms = 600; delay_ms <= 3000; delay_ms += 400) {
        struct rs_simulation *sim =
            RsSimulation_NewSettled(FORMER_TARGET, false);
        RsSimulation_InjectFault(sim, RsFixture_GRANT_HELD_UP, FORMER_TARGET,
                                 delay_ms);
        RsSimulation_InjectFault(sim, RsFixture_TARGET_CUT_OFF, FORMER_TARGET,
                                 CUT_OFF_MS);
        RsSimulation_Advance(sim, 900);
        check_move(sim);
    }
}

/* A granter that the store refuses sends a grant of the longest duration,
 * which is on its way when the next granter takes over. */
static void
check_grant_of_the_former_granter(int64_t held_up_after_ms)
{
    struct rs_simulation *sim = RsSimulation_NewSettled(FORMER_TARGET, false);
    int granter = RsSimulation_FindGranter(sim);
    CU_ASSERT_TRUE_FATAL(granter >= 0);
    RsSimulation_InjectFault(sim, RsFixture_NODE_REFUSED, (uint32_t)granter,
                             CUT_OFF_MS);
    RsSimulation_Advance(sim, held_up_after_ms);
    RsSimulation_InjectFault(sim, RsFixture_GRANT_HELD_UP, FORMER_TARGET,
                             3000);
    RsSimulation_InjectFault(sim, RsFixture_TARGET_CUT_OFF, FORMER_TARGET,
                             CUT_OFF_MS);
    RsSimulation_Advance(sim, 5000 - held_up_after_ms);
    check_move(sim);
}

static void
test_keys_stay_while_a_grant_of_the_former_granter_may_hold(void)
{
    for (int64_t after_ms = 300; after_ms < 1900; after_ms += 50) {
        check_grant_of_the_former_granter(after_ms);
    }
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("granter_delay", NULL, NULL);
    CU_ADD_TEST(suite, test_keys_stay_while_a_given_up_grant_may_hold);
    CU_ADD_TEST(suite,
                test_keys_stay_while_a_grant_of_the_former_granter_may_hold);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
