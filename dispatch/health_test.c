#include <CUnit/Basic.h>

#include "dispatch/health.h"

#define MEDIAN_US 10000

static struct rs_health
make(void)
{
    struct rs_health health;
    struct rs_health_options options = {.suspect_ms = 200,
                                        .lost_ms = 500,
                                        .return_ms = 300,
                                        .slow_ms = 100,
                                        .fast_ms = 500,
                                        .stale_ms = 5000,
                                        .slow_factor = 2.5,
                                        .fast_factor = 1.5,
                                        .share_step = 0.2,
                                        .share_ms = 1000,
                                        .max_connect_failures = 3};
    RsHealth_Start(&health, &options, 0);
    return health;
}

/* One answer each 10 ms; returns the time after the last. */
static int64_t
work(struct rs_health *health, int64_t now_ms, int count, int64_t latency_us)
{
    for (int i = 0; i < count; i++) {
        RsHealth_Sent(health, now_ms, RsHealth_WORK);
        now_ms += 10;
        RsHealth_Answered(health, now_ms, RsHealth_WORK, latency_us);
        RsHealth_Tick(health, now_ms, MEDIAN_US);
    }
    return now_ms;
}

static int64_t
ping(struct rs_health *health, int64_t now_ms, int count)
{
    for (int i = 0; i < count; i++) {
        RsHealth_Sent(health, now_ms, RsHealth_PING);
        now_ms += 100;
        RsHealth_Answered(health, now_ms, RsHealth_PING, 0);
        RsHealth_Tick(health, now_ms, MEDIAN_US);
    }
    return now_ms;
}

static void
test_silence_with_work_is_found_though_pings_are_answered(void)
{
    struct rs_health health = make();
    int64_t now_ms = work(&health, 0, 20, MEDIAN_US);
    RsHealth_Sent(&health, now_ms, RsHealth_WORK);
    now_ms = ping(&health, now_ms, 3);
    CU_ASSERT_EQUAL(health.state, RsHealth_SUSPECT);
    ping(&health, now_ms, 3);
    CU_ASSERT_EQUAL(health.state, RsHealth_LOST);
    CU_ASSERT_EQUAL(health.share, 0.0);
}

static void
test_idle_target_is_not_silent(void)
{
    struct rs_health health = make();
    int64_t now_ms = work(&health, 0, 20, MEDIAN_US);
    CU_ASSERT_EQUAL(RsHealth_Tick(&health, now_ms + 10000, MEDIAN_US),
                    RsHealth_UP);
}

static void
test_unanswered_pings_lose_an_idle_target(void)
{
    struct rs_health health = make();
    RsHealth_Sent(&health, 0, RsHealth_PING);
    CU_ASSERT_EQUAL(RsHealth_Tick(&health, 499, 0), RsHealth_SUSPECT);
    CU_ASSERT_EQUAL(RsHealth_Tick(&health, 500, 0), RsHealth_LOST);
}

static void
test_long_requests_are_given_more_silence(void)
{
    struct rs_health health = make();
    int64_t now_ms = work(&health, 0, 20, 200000);
    RsHealth_Sent(&health, now_ms, RsHealth_WORK);
    CU_ASSERT_NOT_EQUAL(RsHealth_Tick(&health, now_ms + 600, 200000),
                        RsHealth_LOST);
    CU_ASSERT_EQUAL(RsHealth_Tick(&health, now_ms + 2000, 200000),
                    RsHealth_LOST);
}

static void
test_lost_target_returns_by_steps(void)
{
    struct rs_health health = make();
    int64_t now_ms = work(&health, 0, 20, MEDIAN_US);
    RsHealth_Sent(&health, now_ms, RsHealth_WORK);
    now_ms += 600;
    RsHealth_Tick(&health, now_ms, MEDIAN_US);
    RsHealth_GaveUp(&health, RsHealth_WORK, true);
    now_ms = ping(&health, now_ms, 5);
    CU_ASSERT_EQUAL(health.state, RsHealth_LOST);
    now_ms = work(&health, now_ms, 2, MEDIAN_US);
    CU_ASSERT_EQUAL(health.state, RsHealth_SUSPECT);
    now_ms = work(&health, now_ms, 40, MEDIAN_US);
    CU_ASSERT_EQUAL(health.state, RsHealth_UP);
    CU_ASSERT_EQUAL(health.share, 0.0);
    work(&health, now_ms, 100, MEDIAN_US);
    CU_ASSERT_EQUAL(health.share, 1.0);
}

static void
test_lost_target_that_falls_silent_begins_anew(void)
{
    struct rs_health health = make();
    RsHealth_Sent(&health, 0, RsHealth_PING);
    RsHealth_Tick(&health, 600, 0);
    int64_t now_ms = ping(&health, 600, 2);
    CU_ASSERT_EQUAL(health.state, RsHealth_LOST);
    RsHealth_Sent(&health, now_ms, RsHealth_PING);
    RsHealth_GaveUp(&health, RsHealth_PING, true);
    now_ms = ping(&health, now_ms + 600, 3);
    CU_ASSERT_EQUAL(health.state, RsHealth_LOST);
    ping(&health, now_ms, 1);
    CU_ASSERT_EQUAL(health.state, RsHealth_SUSPECT);
}

static void
test_failed_connections_lose_it(void)
{
    struct rs_health health = make();
    RsHealth_ConnectFailed(&health);
    RsHealth_ConnectFailed(&health);
    CU_ASSERT_EQUAL(RsHealth_Tick(&health, 1, 0), RsHealth_UP);
    RsHealth_ConnectFailed(&health);
    CU_ASSERT_EQUAL(RsHealth_Tick(&health, 2, 0), RsHealth_LOST);
}

static void
test_slow_against_peers_with_hysteresis(void)
{
    struct rs_health health = make();
    int64_t now_ms = work(&health, 0, 20, MEDIAN_US);
    now_ms = work(&health, now_ms, 1, MEDIAN_US * 15);
    CU_ASSERT_EQUAL(health.state, RsHealth_UP);
    now_ms = work(&health, now_ms, 30, MEDIAN_US * 10);
    CU_ASSERT_EQUAL(health.state, RsHealth_SLOW);
    now_ms = work(&health, now_ms, 100, MEDIAN_US * 10);
    CU_ASSERT(health.share < 0.2);
    now_ms = work(&health, now_ms, 100, MEDIAN_US * 2);
    CU_ASSERT_EQUAL(health.state, RsHealth_SLOW);
    work(&health, now_ms, 100, MEDIAN_US);
    CU_ASSERT_EQUAL(health.state, RsHealth_UP);
}

static void
test_slow_target_without_work_gets_another_chance(void)
{
    struct rs_health health = make();
    int64_t now_ms = work(&health, 0, 100, MEDIAN_US * 10);
    CU_ASSERT_EQUAL(health.state, RsHealth_SLOW);
    RsHealth_Tick(&health, now_ms + 4000, MEDIAN_US);
    RsHealth_Tick(&health, now_ms + 4600, MEDIAN_US);
    CU_ASSERT_EQUAL(health.state, RsHealth_SLOW);
    RsHealth_Tick(&health, now_ms + 5000, MEDIAN_US);
    RsHealth_Tick(&health, now_ms + 5600, MEDIAN_US);
    CU_ASSERT_EQUAL(health.state, RsHealth_UP);
}

static void
test_refusal_is_a_sign_of_life(void)
{
    struct rs_health health = make();
    RsHealth_Sent(&health, 0, RsHealth_WORK);
    RsHealth_Sent(&health, 0, RsHealth_WORK);
    RsHealth_Refused(&health, 400);
    CU_ASSERT_EQUAL(RsHealth_Tick(&health, 550, 0), RsHealth_UP);
    CU_ASSERT_EQUAL(RsHealth_Tick(&health, 650, 0), RsHealth_SUSPECT);
}

static void
test_median_leaves_out_lost_and_unknown(void)
{
    struct rs_health all[5];
    const struct rs_health *peers[5];
    const double latencies_us[5] = {10, 20, 30, 5, 0};
    for (size_t i = 0; i < 5; i++) {
        all[i] = make();
        all[i].latency_us = latencies_us[i];
        peers[i] = &all[i];
    }
    all[3].state = RsHealth_LOST;
    CU_ASSERT_EQUAL(RsHealth_Median(peers, 5, 0), 20.0);
    CU_ASSERT_EQUAL(RsHealth_Median(peers, 0, 0), 0.0);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("health", NULL, NULL);
    CU_ADD_TEST(suite,
                test_silence_with_work_is_found_though_pings_are_answered);
    CU_ADD_TEST(suite, test_idle_target_is_not_silent);
    CU_ADD_TEST(suite, test_unanswered_pings_lose_an_idle_target);
    CU_ADD_TEST(suite, test_long_requests_are_given_more_silence);
    CU_ADD_TEST(suite, test_lost_target_returns_by_steps);
    CU_ADD_TEST(suite, test_lost_target_that_falls_silent_begins_anew);
    CU_ADD_TEST(suite, test_failed_connections_lose_it);
    CU_ADD_TEST(suite, test_slow_against_peers_with_hysteresis);
    CU_ADD_TEST(suite, test_slow_target_without_work_gets_another_chance);
    CU_ADD_TEST(suite, test_refusal_is_a_sign_of_life);
    CU_ADD_TEST(suite, test_median_leaves_out_lost_and_unknown);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
