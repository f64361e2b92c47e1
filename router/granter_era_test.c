#include <CUnit/Basic.h>

#include "core/log.h"
#include "router/fixture.h"

#define LAST_KEY (RsKeymap_KEYS - 1)
#define FORMER_TARGET 0
#define OWNER_TARGET 1
#define CUT_OFF_MS 40000

/* The store goes back to a copy from before a move, and refuses the granter,
 * which doesn't learn of it. Its last grant, of the longest duration, is held
 * up as long as GRANT_DELAY_MS allows. */
static void
check_restore(int64_t held_up_after_ms)
{
    struct rs_simulation *sim = RsSimulation_NewSettled(FORMER_TARGET, false);
    int granter = RsSimulation_FindGranter(sim);
    CU_ASSERT_TRUE_FATAL(granter >= 0);
    RsSimulation_Advance(sim, 800);
    RsSimulation_MoveKeys(sim, 0, LAST_KEY, OWNER_TARGET);
    RsSimulation_Advance(sim, 700);
    CU_ASSERT_TRUE_FATAL(RsSimulation_Holds(sim, OWNER_TARGET, 0));
    RsSimulation_InjectFault(sim, RsFixture_NODE_REFUSED, (uint32_t)granter,
                             CUT_OFF_MS);
    RsSimulation_InjectFault(sim, RsFixture_STORE_RESTORED, 0, 1000);
    RsSimulation_Advance(sim, held_up_after_ms);
    RsSimulation_InjectFault(sim, RsFixture_GRANT_HELD_UP, OWNER_TARGET, 3500);
    RsSimulation_InjectFault(sim, RsFixture_TARGET_CUT_OFF, OWNER_TARGET,
                             CUT_OFF_MS);
    for (int i = 0; i < 40; i++) {
        RsSimulation_Advance(sim, 500);
    }
    CU_ASSERT_TRUE(RsSimulation_Holds(sim, FORMER_TARGET, 0));
    CU_ASSERT_TRUE(RsSimulation_IsSound(sim));
    RsSimulation_Free(sim);
}

static void
test_grant_of_a_former_era_lapses_before_its_keys_are_granted(void)
{
    for (int64_t after_ms = 300; after_ms < 1900; after_ms += 200) {
        check_restore(after_ms);
    }
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("granter_era", NULL, NULL);
    CU_ADD_TEST(suite,
                test_grant_of_a_former_era_lapses_before_its_keys_are_granted);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
