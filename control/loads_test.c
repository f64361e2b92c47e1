#include "control/loads.h"

#include <CUnit/Basic.h>
#include <glib.h>

#define START_MS 100000
#define FIRST_PENALTY_MS 10000
#define STALE_MS 10000

static void
take_own(struct rs_loads *loads, int64_t now_ms, double requests_per_s)
{
    struct rs_task_loads *own =
        g_malloc0(sizeof(*own) + sizeof(own->loads[0]));
    own->count = 1;
    own->loads[0].slice = 7;
    own->loads[0].requests_per_s = requests_per_s;
    RsLoads_TakeOwn(loads, now_ms, own);
    g_free(own);
}

static void
test_rate_follows_and_gets_stale(void)
{
    struct rs_loads *loads = RsLoads_New();
    int64_t now_ms = START_MS;
    CU_ASSERT_EQUAL(RsLoads_Rate(loads, now_ms, 7), 0);
    for (int i = 0; i < 20; i++) {
        now_ms += 1000;
        take_own(loads, now_ms, 100);
    }
    CU_ASSERT_DOUBLE_EQUAL(RsLoads_Rate(loads, now_ms, 7), 100, 1);
    CU_ASSERT_EQUAL(RsLoads_Rate(loads, now_ms + STALE_MS + 1, 7), 0);
}

static void
test_a_change_of_share_is_told_once(void)
{
    struct rs_loads *loads = RsLoads_New();
    CU_ASSERT_FALSE(RsLoads_TakeOwnShare(loads, START_MS, "t", 1));
    CU_ASSERT(RsLoads_TakeOwnShare(loads, START_MS + 100, "t", 0.2));
    CU_ASSERT_FALSE(RsLoads_TakeOwnShare(loads, START_MS + 200, "t", 0.2));
    CU_ASSERT_EQUAL(RsLoads_Share(loads, START_MS + 200, "t"), 0.2);
    CU_ASSERT_EQUAL(RsLoads_Share(loads, START_MS + 200, "other"), 1);
}

/* Without work a slow target looks well at once. */
static void
test_a_slow_target_stays_slow_for_a_while(void)
{
    struct rs_loads *loads = RsLoads_New();
    RsLoads_TakeOwnShare(loads, START_MS, "t", 0.2);
    RsLoads_TakeOwnShare(loads, START_MS + 1000, "t", 1);
    CU_ASSERT_EQUAL(RsLoads_Share(loads, START_MS + 1000, "t"), 0.2);
    CU_ASSERT_EQUAL(RsLoads_Share(loads, START_MS + FIRST_PENALTY_MS - 1, "t"),
                    0.2);
    CU_ASSERT_EQUAL(RsLoads_Share(loads, START_MS + FIRST_PENALTY_MS, "t"), 1);
}

static void
test_slow_again_soon_stays_slow_longer(void)
{
    struct rs_loads *loads = RsLoads_New();
    int64_t again_ms = START_MS + FIRST_PENALTY_MS + 5000;
    RsLoads_TakeOwnShare(loads, START_MS, "t", 0.2);
    RsLoads_TakeOwnShare(loads, START_MS + 1000, "t", 1);
    RsLoads_TakeOwnShare(loads, again_ms, "t", 0.3);
    RsLoads_TakeOwnShare(loads, again_ms + 1000, "t", 1);
    CU_ASSERT_EQUAL(RsLoads_Share(loads, again_ms + FIRST_PENALTY_MS + 1, "t"),
                    0.3);
    CU_ASSERT_EQUAL(RsLoads_Share(loads, again_ms + 2 * FIRST_PENALTY_MS, "t"),
                    1);
}

static void
test_own_observations_travel(void)
{
    struct rs_loads *here = RsLoads_New();
    struct rs_loads *there = RsLoads_New();
    Rs__Member__Loads word = RS__MEMBER__LOADS__INIT;
    take_own(here, START_MS, 100);
    RsLoads_TakeOwnShare(here, START_MS, "t", 0.4);
    RsLoads_Fill(here, START_MS, &word);
    CU_ASSERT(RsLoads_TakePeer(there, START_MS, &word));
    CU_ASSERT_DOUBLE_EQUAL(RsLoads_Rate(there, START_MS, 7),
                           RsLoads_Rate(here, START_MS, 7), 0.01);
    CU_ASSERT_DOUBLE_EQUAL(RsLoads_Share(there, START_MS, "t"), 0.4, 0.01);
    RsLoads_FreeFilled(&word);
    word = (Rs__Member__Loads)RS__MEMBER__LOADS__INIT;
    RsLoads_Fill(there, START_MS, &word);
    CU_ASSERT_EQUAL(word.n_loads, 0);
    CU_ASSERT_EQUAL(word.n_shares, 0);
    RsLoads_FreeFilled(&word);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("loads", NULL, NULL);
    CU_ADD_TEST(suite, test_rate_follows_and_gets_stale);
    CU_ADD_TEST(suite, test_a_change_of_share_is_told_once);
    CU_ADD_TEST(suite, test_a_slow_target_stays_slow_for_a_while);
    CU_ADD_TEST(suite, test_slow_again_soon_stays_slow_longer);
    CU_ADD_TEST(suite, test_own_observations_travel);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
