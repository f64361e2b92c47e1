#include "control/loads.h"

#include <CUnit/Basic.h>
#include <glib.h>

#define START_MS 100000
#define MIN_SLOW_EXTENSION_MS 10000
#define STALE_MS 10000

static void
record_own_rate(struct rs_loads *loads, int64_t now_ms, double requests_per_s)
{
    struct rs_task_loads *own_loads =
        g_malloc0(sizeof(*own_loads) + sizeof(own_loads->loads[0]));
    own_loads->count = 1;
    own_loads->loads[0].slice = 7;
    own_loads->loads[0].requests_per_s = requests_per_s;
    RsLoads_RecordOwnRates(loads, now_ms, own_loads);
    g_free(own_loads);
}

static void
test_rate_converges_and_expires(void)
{
    struct rs_loads *loads = RsLoads_New();
    int64_t now_ms = START_MS;
    CU_ASSERT_EQUAL(RsLoads_Rate(loads, now_ms, 7), 0);
    for (int i = 0; i < 20; i++) {
        now_ms += 1000;
        record_own_rate(loads, now_ms, 100);
    }
    CU_ASSERT_DOUBLE_EQUAL(RsLoads_Rate(loads, now_ms, 7), 100, 1);
    CU_ASSERT_EQUAL(RsLoads_Rate(loads, now_ms + STALE_MS + 1, 7), 0);
}

static void
test_change_of_share_is_reported_once(void)
{
    struct rs_loads *loads = RsLoads_New();
    CU_ASSERT_FALSE(RsLoads_RecordOwnShare(loads, START_MS, "t", 1));
    CU_ASSERT(RsLoads_RecordOwnShare(loads, START_MS + 100, "t", 0.2));
    CU_ASSERT_FALSE(RsLoads_RecordOwnShare(loads, START_MS + 200, "t", 0.2));
    CU_ASSERT_EQUAL(RsLoads_Share(loads, START_MS + 200, "t"), 0.2);
    CU_ASSERT_EQUAL(RsLoads_Share(loads, START_MS + 200, "other"), 1);
}

/* A slow target that lost its slices appears fast at once. If it got them
 * back, it would become slow again. */
static void
test_slow_target_counts_as_slow_for_a_while(void)
{
    struct rs_loads *loads = RsLoads_New();
    RsLoads_RecordOwnShare(loads, START_MS, "t", 0.2);
    RsLoads_RecordOwnShare(loads, START_MS + 1000, "t", 1);
    CU_ASSERT_EQUAL(RsLoads_Share(loads, START_MS + 1000, "t"), 0.2);
    CU_ASSERT_EQUAL(
        RsLoads_Share(loads, START_MS + MIN_SLOW_EXTENSION_MS - 1, "t"), 0.2);
    CU_ASSERT_EQUAL(
        RsLoads_Share(loads, START_MS + MIN_SLOW_EXTENSION_MS, "t"), 1);
}

static void
test_repeated_slowness_doubles_the_hold_time(void)
{
    struct rs_loads *loads = RsLoads_New();
    int64_t slow_again_at_ms = START_MS + MIN_SLOW_EXTENSION_MS + 5000;
    RsLoads_RecordOwnShare(loads, START_MS, "t", 0.2);
    RsLoads_RecordOwnShare(loads, START_MS + 1000, "t", 1);
    RsLoads_RecordOwnShare(loads, slow_again_at_ms, "t", 0.3);
    RsLoads_RecordOwnShare(loads, slow_again_at_ms + 1000, "t", 1);
    CU_ASSERT_EQUAL(RsLoads_Share(loads,
                                  slow_again_at_ms + MIN_SLOW_EXTENSION_MS + 1,
                                  "t"),
                    0.3);
    CU_ASSERT_EQUAL(RsLoads_Share(loads,
                                  slow_again_at_ms + 2 * MIN_SLOW_EXTENSION_MS,
                                  "t"),
                    1);
}

static void
test_report_carries_own_observations_only(void)
{
    struct rs_loads *reporter = RsLoads_New();
    struct rs_loads *receiver = RsLoads_New();
    Rs__Member__Loads report = RS__MEMBER__LOADS__INIT;
    record_own_rate(reporter, START_MS, 100);
    RsLoads_RecordOwnShare(reporter, START_MS, "t", 0.4);
    RsLoads_FillReport(reporter, START_MS, &report);
    CU_ASSERT(RsLoads_ApplyPeerReport(receiver, START_MS, &report));
    CU_ASSERT_DOUBLE_EQUAL(RsLoads_Rate(receiver, START_MS, 7),
                           RsLoads_Rate(reporter, START_MS, 7), 0.01);
    CU_ASSERT_DOUBLE_EQUAL(RsLoads_Share(receiver, START_MS, "t"), 0.4, 0.01);
    RsLoads_FreeReport(&report);
    report = (Rs__Member__Loads)RS__MEMBER__LOADS__INIT;
    RsLoads_FillReport(receiver, START_MS, &report);
    CU_ASSERT_EQUAL(report.n_loads, 0);
    CU_ASSERT_EQUAL(report.n_shares, 0);
    RsLoads_FreeReport(&report);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("loads", NULL, NULL);
    CU_ADD_TEST(suite, test_rate_converges_and_expires);
    CU_ADD_TEST(suite, test_change_of_share_is_reported_once);
    CU_ADD_TEST(suite, test_slow_target_counts_as_slow_for_a_while);
    CU_ADD_TEST(suite, test_repeated_slowness_doubles_the_hold_time);
    CU_ADD_TEST(suite, test_report_carries_own_observations_only);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
