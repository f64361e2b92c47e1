#include <CUnit/Basic.h>

#include "core/clock.h"
#include "dispatch/ramp.h"

#define COLD_MS 3000

static struct rs_ramp
make_ramp(const struct rs_ramp_policy *policy)
{
    struct rs_ramp ramp;
    struct rs_ramp_options options = {.policy = policy,
                                      .slots = 10,
                                      .window = 2,
                                      .cold_ms = COLD_MS,
                                      .connections = 110,
                                      .connection_cost_us = 1000,
                                      .connection_share = 0.1};
    RsRamp_Init(&ramp, &options);
    return ramp;
}

static void
test_target_is_cold_at_first_contact_and_warms_up(void)
{
    struct rs_ramp ramp = make_ramp(&rs_ramp_adaptive);
    RsRamp_RecordConnect(&ramp, 0);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, 0), 1);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, COLD_MS / 2), 5);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, COLD_MS), UINT32_MAX);
    RsRamp_RecordConnect(&ramp, COLD_MS + 1);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, COLD_MS + 1), UINT32_MAX);
}

static void
test_new_start_id_is_cold(void)
{
    struct rs_ramp ramp = make_ramp(&rs_ramp_adaptive);
    RsRamp_MarkWarm(&ramp, 0, 5);
    RsRamp_RecordConnect(&ramp, 1);
    RsRamp_RecordStartId(&ramp, 2, 5);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, 2), UINT32_MAX);
    RsRamp_RecordStartId(&ramp, 3, 6);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, 3), 1);
}

static void
test_target_is_cold_after_a_failed_connection(void)
{
    struct rs_ramp ramp = make_ramp(&rs_ramp_adaptive);
    RsRamp_MarkWarm(&ramp, 0, 5);
    RsRamp_RecordConnectFailure(&ramp);
    RsRamp_RecordConnect(&ramp, 10);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, 10), 1);
}

static void
test_refusals_lower_the_share_and_pause(void)
{
    struct rs_ramp ramp = make_ramp(&rs_ramp_adaptive);
    RsRamp_MarkWarm(&ramp, 0, 5);
    RsRamp_RecordColdRefusal(&ramp, 10);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, 10), 0);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, 100), 1);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, 10 + COLD_MS * 8 / 10), 8);
    RsRamp_RecordColdRefusal(&ramp, 10 + COLD_MS * 8 / 10);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, 10 + COLD_MS * 8 / 10), 4);
}

static void
test_slow_answers_delay_the_ramp_for_a_while(void)
{
    struct rs_ramp ramp = make_ramp(&rs_ramp_adaptive);
    struct rs_ramp linear = make_ramp(&rs_ramp_linear);
    RsRamp_MarkWarm(&ramp, 0, 5);
    RsRamp_MarkWarm(&linear, 0, 5);
    RsRamp_RecordAnswer(&ramp, 1, 10000);
    RsRamp_RecordAnswer(&linear, 1, 10000);
    RsRamp_RecordStartId(&ramp, 2, 6);
    RsRamp_RecordStartId(&linear, 2, 6);
    for (int64_t now_ms = 10; now_ms < COLD_MS * 3; now_ms += 10) {
        RsRamp_RecordAnswer(&ramp, now_ms, 50000);
        RsRamp_RecordAnswer(&linear, now_ms, 50000);
    }
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, COLD_MS * 3), 1);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&linear, COLD_MS * 3), UINT32_MAX);
    for (int64_t now_ms = COLD_MS * 3; now_ms < COLD_MS * 6; now_ms += 10) {
        RsRamp_RecordAnswer(&ramp, now_ms, 50000);
    }
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, COLD_MS * 6), UINT32_MAX);
}

static void
test_answers_below_slow_factor_do_not_delay_the_ramp(void)
{
    struct rs_ramp ramp = make_ramp(&rs_ramp_adaptive);
    RsRamp_MarkWarm(&ramp, 0, 5);
    RsRamp_RecordAnswer(&ramp, 1, 10000);
    RsRamp_RecordStartId(&ramp, 2, 6);
    for (int64_t now_ms = 10; now_ms < COLD_MS; now_ms += 10) {
        RsRamp_RecordAnswer(&ramp, now_ms, 20000);
    }
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, COLD_MS + 2), UINT32_MAX);
}

static void
test_connections_open_at_a_bounded_rate(void)
{
    struct rs_ramp ramp = make_ramp(&rs_ramp_adaptive);
    RsRamp_RecordConnect(&ramp, 0);
    CU_ASSERT_EQUAL(RsRamp_Connections(&ramp, 0), 1);
    CU_ASSERT_EQUAL(RsRamp_Connections(&ramp, 500), 51);
    CU_ASSERT_EQUAL(RsRamp_NextChangeAtMs(&ramp, 500) > 500, true);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&ramp, COLD_MS), UINT32_MAX);
    CU_ASSERT_EQUAL(RsRamp_Connections(&ramp, COLD_MS), 110);
    CU_ASSERT_EQUAL(RsRamp_NextChangeAtMs(&ramp, COLD_MS), RsClock_NEVER_MS);
}

static void
test_none_never_limits_and_linear_ignores_refusals(void)
{
    struct rs_ramp none = make_ramp(&rs_ramp_none);
    RsRamp_RecordConnect(&none, 0);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&none, 0), UINT32_MAX);
    CU_ASSERT_EQUAL(RsRamp_Connections(&none, 0), 110);
    struct rs_ramp linear = make_ramp(&rs_ramp_linear);
    RsRamp_RecordConnect(&linear, 0);
    RsRamp_RecordColdRefusal(&linear, 100);
    CU_ASSERT_EQUAL(RsRamp_Ceiling(&linear, 100), 1);
    CU_ASSERT_PTR_EQUAL(RsRamp_FindPolicy("linear"), &rs_ramp_linear);
    CU_ASSERT_PTR_NULL(RsRamp_FindPolicy("steep"));
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("ramp", NULL, NULL);
    CU_ADD_TEST(suite, test_target_is_cold_at_first_contact_and_warms_up);
    CU_ADD_TEST(suite, test_new_start_id_is_cold);
    CU_ADD_TEST(suite, test_slow_answers_delay_the_ramp_for_a_while);
    CU_ADD_TEST(suite, test_answers_below_slow_factor_do_not_delay_the_ramp);
    CU_ADD_TEST(suite, test_target_is_cold_after_a_failed_connection);
    CU_ADD_TEST(suite, test_refusals_lower_the_share_and_pause);
    CU_ADD_TEST(suite, test_connections_open_at_a_bounded_rate);
    CU_ADD_TEST(suite, test_none_never_limits_and_linear_ignores_refusals);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
