#include <CUnit/Basic.h>

#include "core/log.h"
#include "router/reachability.h"

#define TICK_MS 300
#define LOST_AFTER_MS 1500
/* A target is served by again within 2 s. */
#define FOUND_WITHIN_MS 2000
#define FLAPS 10
#define SPAN_MS 60000
#define CALM_MS 20000

/* Lets ticks pass from `*now_ms` to `until_ms`. Returns how many probes were
 * due. */
static uint32_t
count_probes(struct rs_reachability *reachability, int64_t *now_ms,
             int64_t until_ms)
{
    uint32_t probes = 0;
    for (; *now_ms < until_ms; *now_ms += TICK_MS) {
        probes += RsReachability_TakeProbe(reachability, *now_ms);
    }
    return probes;
}

static void
test_single_failure_is_no_outage(void)
{
    struct rs_reachability reachability = {0};
    int64_t now_ms = 1000;
    RsReachability_RecordFailure(&reachability, now_ms);
    CU_ASSERT_EQUAL(count_probes(&reachability, &now_ms, 1000 + LOST_AFTER_MS),
                    0);
    CU_ASSERT_FALSE(RsReachability_IsUnreachable(&reachability, 2400));
    CU_ASSERT_FALSE(RsReachability_RecordAnswer(&reachability, 2400));
    CU_ASSERT_FALSE(RsReachability_IsUnreachable(&reachability, 100000));
}

/* CONFIG (review/15): a target without keys gets no orders, so only a probe
 * can find that it answers again. */
static void
test_unreachable_target_is_probed_until_it_answers(void)
{
    struct rs_reachability reachability = {0};
    int64_t now_ms = 1000;
    RsReachability_RecordFailure(&reachability, now_ms);
    count_probes(&reachability, &now_ms, now_ms + SPAN_MS);
    CU_ASSERT_TRUE(RsReachability_IsUnreachable(&reachability, now_ms));
    CU_ASSERT_TRUE(
        count_probes(&reachability, &now_ms, now_ms + FOUND_WITHIN_MS) > 0);
    CU_ASSERT_TRUE(RsReachability_RecordAnswer(&reachability, now_ms));
    CU_ASSERT_FALSE(RsReachability_IsUnreachable(&reachability, now_ms));
    CU_ASSERT_EQUAL(count_probes(&reachability, &now_ms, now_ms + SPAN_MS), 0);
}

/* A target that answers probes but not orders must not be given keys, which
 * nobody serves then, every few seconds. */
static void
test_flapping_target_is_trusted_less_often(void)
{
    struct rs_reachability reachability = {0};
    int64_t now_ms = 1000;
    int64_t first_ms = 0;
    int64_t last_ms = 0;
    for (int i = 0; i < FLAPS; i++) {
        int64_t failing_since_ms = now_ms;
        RsReachability_RecordFailure(&reachability, now_ms);
        while (!RsReachability_TakeProbe(&reachability, now_ms)) {
            now_ms += TICK_MS;
        }
        RsReachability_RecordAnswer(&reachability, now_ms);
        first_ms = i == 0 ? now_ms - failing_since_ms : first_ms;
        last_ms = now_ms - failing_since_ms;
    }
    CU_ASSERT_TRUE(last_ms >= 8 * first_ms);
    CU_ASSERT_TRUE(last_ms <= CALM_MS);
    now_ms += CALM_MS;
    RsReachability_RecordFailure(&reachability, now_ms);
    CU_ASSERT_EQUAL(
        count_probes(&reachability, &now_ms, now_ms + FOUND_WITHIN_MS), 1);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("reachability", NULL, NULL);
    CU_ADD_TEST(suite, test_single_failure_is_no_outage);
    CU_ADD_TEST(suite, test_unreachable_target_is_probed_until_it_answers);
    CU_ADD_TEST(suite, test_flapping_target_is_trusted_less_often);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
