#include <CUnit/Basic.h>

#include "dispatch/health.h"

#define MEDIAN_US 10000

static struct rs_health
make_health(void)
{
    struct rs_health health;
    struct rs_health_options options = {.suspect_ms = 200,
                                        .lost_ms = 500,
                                        .recovery_ms = 300,
                                        .slow_ms = 100,
                                        .fast_ms = 500,
                                        .stale_ms = 5000,
                                        .slow_factor = 2.5,
                                        .fast_factor = 1.5,
                                        .min_share_change = 0.2,
                                        .share_interval_ms = 1000,
                                        .max_connect_failures = 3};
    RsHealth_Init(&health, &options, 0);
    return health;
}

/* Sends `count` requests one after another, each answered after 10 ms but
 * recorded with `latency_us`. Returns the time of the last answer. */
static int64_t
answer_requests(struct rs_health *health, int64_t now_ms, int count,
                int64_t latency_us)
{
    for (int i = 0; i < count; i++) {
        RsHealth_RecordSent(health, now_ms, RsHealth_REQUEST);
        now_ms += 10;
        RsHealth_RecordAnswer(health, now_ms, RsHealth_REQUEST, latency_us);
        RsHealth_Update(health, now_ms, MEDIAN_US);
    }
    return now_ms;
}

/* Sends `count` pings one after another, each answered after 100 ms. Returns
 * the time of the last answer. */
static int64_t
answer_pings(struct rs_health *health, int64_t now_ms, int count)
{
    for (int i = 0; i < count; i++) {
        RsHealth_RecordSent(health, now_ms, RsHealth_PING);
        now_ms += 100;
        RsHealth_RecordAnswer(health, now_ms, RsHealth_PING, 0);
        RsHealth_Update(health, now_ms, MEDIAN_US);
    }
    return now_ms;
}

static void
test_unanswered_requests_mark_target_lost_despite_pings(void)
{
    struct rs_health health = make_health();
    int64_t now_ms = answer_requests(&health, 0, 20, MEDIAN_US);
    RsHealth_RecordSent(&health, now_ms, RsHealth_REQUEST);
    now_ms = answer_pings(&health, now_ms, 3);
    CU_ASSERT_EQUAL(health.state, RsHealth_SUSPECT);
    answer_pings(&health, now_ms, 3);
    CU_ASSERT_EQUAL(health.state, RsHealth_LOST);
    CU_ASSERT_EQUAL(health.share, 0.0);
}

static void
test_idle_target_is_not_silent(void)
{
    struct rs_health health = make_health();
    int64_t now_ms = answer_requests(&health, 0, 20, MEDIAN_US);
    CU_ASSERT_EQUAL(RsHealth_Update(&health, now_ms + 10000, MEDIAN_US),
                    RsHealth_UP);
}

static void
test_unanswered_pings_mark_an_idle_target_lost(void)
{
    struct rs_health health = make_health();
    RsHealth_RecordSent(&health, 0, RsHealth_PING);
    CU_ASSERT_EQUAL(RsHealth_Update(&health, 499, 0), RsHealth_SUSPECT);
    CU_ASSERT_EQUAL(RsHealth_Update(&health, 500, 0), RsHealth_LOST);
}

static void
test_long_requests_are_allowed_more_silence(void)
{
    struct rs_health health = make_health();
    int64_t now_ms = answer_requests(&health, 0, 20, 200000);
    RsHealth_RecordSent(&health, now_ms, RsHealth_REQUEST);
    CU_ASSERT_NOT_EQUAL(RsHealth_Update(&health, now_ms + 600, 200000),
                        RsHealth_LOST);
    CU_ASSERT_EQUAL(RsHealth_Update(&health, now_ms + 2000, 200000),
                    RsHealth_LOST);
}

static void
test_lost_target_recovers_in_steps(void)
{
    struct rs_health health = make_health();
    int64_t now_ms = answer_requests(&health, 0, 20, MEDIAN_US);
    RsHealth_RecordSent(&health, now_ms, RsHealth_REQUEST);
    now_ms += 600;
    RsHealth_Update(&health, now_ms, MEDIAN_US);
    RsHealth_RecordNoAnswer(&health, RsHealth_REQUEST, true);
    now_ms = answer_pings(&health, now_ms, 5);
    CU_ASSERT_EQUAL(health.state, RsHealth_LOST);
    now_ms = answer_requests(&health, now_ms, 2, MEDIAN_US);
    CU_ASSERT_EQUAL(health.state, RsHealth_SUSPECT);
    now_ms = answer_requests(&health, now_ms, 40, MEDIAN_US);
    CU_ASSERT_EQUAL(health.state, RsHealth_UP);
    CU_ASSERT_EQUAL(health.share, 0.0);
    answer_requests(&health, now_ms, 100, MEDIAN_US);
    CU_ASSERT_EQUAL(health.share, 1.0);
}

static void
test_timeout_restarts_the_recovery_of_a_lost_target(void)
{
    struct rs_health health = make_health();
    RsHealth_RecordSent(&health, 0, RsHealth_PING);
    RsHealth_Update(&health, 600, 0);
    int64_t now_ms = answer_pings(&health, 600, 2);
    CU_ASSERT_EQUAL(health.state, RsHealth_LOST);
    RsHealth_RecordSent(&health, now_ms, RsHealth_PING);
    RsHealth_RecordNoAnswer(&health, RsHealth_PING, true);
    now_ms = answer_pings(&health, now_ms + 600, 3);
    CU_ASSERT_EQUAL(health.state, RsHealth_LOST);
    answer_pings(&health, now_ms, 1);
    CU_ASSERT_EQUAL(health.state, RsHealth_SUSPECT);
}

static void
test_failed_connections_mark_a_target_lost(void)
{
    struct rs_health health = make_health();
    RsHealth_RecordConnectFailure(&health);
    RsHealth_RecordConnectFailure(&health);
    CU_ASSERT_EQUAL(RsHealth_Update(&health, 1, 0), RsHealth_UP);
    RsHealth_RecordConnectFailure(&health);
    CU_ASSERT_EQUAL(RsHealth_Update(&health, 2, 0), RsHealth_LOST);
}

static void
test_slow_state_has_hysteresis(void)
{
    struct rs_health health = make_health();
    int64_t now_ms = answer_requests(&health, 0, 20, MEDIAN_US);
    now_ms = answer_requests(&health, now_ms, 1, MEDIAN_US * 15);
    CU_ASSERT_EQUAL(health.state, RsHealth_UP);
    now_ms = answer_requests(&health, now_ms, 30, MEDIAN_US * 10);
    CU_ASSERT_EQUAL(health.state, RsHealth_SLOW);
    now_ms = answer_requests(&health, now_ms, 100, MEDIAN_US * 10);
    CU_ASSERT(health.share < 0.2);
    now_ms = answer_requests(&health, now_ms, 100, MEDIAN_US * 2);
    CU_ASSERT_EQUAL(health.state, RsHealth_SLOW);
    answer_requests(&health, now_ms, 100, MEDIAN_US);
    CU_ASSERT_EQUAL(health.state, RsHealth_UP);
}

static void
test_latency_of_slow_target_without_requests_is_reset(void)
{
    struct rs_health health = make_health();
    int64_t now_ms = answer_requests(&health, 0, 100, MEDIAN_US * 10);
    CU_ASSERT_EQUAL(health.state, RsHealth_SLOW);
    RsHealth_Update(&health, now_ms + 4000, MEDIAN_US);
    RsHealth_Update(&health, now_ms + 4600, MEDIAN_US);
    CU_ASSERT_EQUAL(health.state, RsHealth_SLOW);
    RsHealth_Update(&health, now_ms + 5000, MEDIAN_US);
    RsHealth_Update(&health, now_ms + 5600, MEDIAN_US);
    CU_ASSERT_EQUAL(health.state, RsHealth_UP);
}

static void
test_refusal_ends_the_silence(void)
{
    struct rs_health health = make_health();
    RsHealth_RecordSent(&health, 0, RsHealth_REQUEST);
    RsHealth_RecordSent(&health, 0, RsHealth_REQUEST);
    RsHealth_RecordRefusal(&health, 400);
    CU_ASSERT_EQUAL(RsHealth_Update(&health, 550, 0), RsHealth_UP);
    CU_ASSERT_EQUAL(RsHealth_Update(&health, 650, 0), RsHealth_SUSPECT);
}

static void
test_median_ignores_lost_targets_and_unknown_latencies(void)
{
    struct rs_health all[5];
    const struct rs_health *peers[5];
    const double latencies_us[5] = {10, 20, 30, 5, 0};
    for (size_t i = 0; i < 5; i++) {
        all[i] = make_health();
        all[i].latency_us = latencies_us[i];
        peers[i] = &all[i];
    }
    all[3].state = RsHealth_LOST;
    CU_ASSERT_EQUAL(RsHealth_MedianLatencyUs(peers, 5, 0), 20.0);
    CU_ASSERT_EQUAL(RsHealth_MedianLatencyUs(peers, 0, 0), 0.0);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("health", NULL, NULL);
    CU_ADD_TEST(suite,
                test_unanswered_requests_mark_target_lost_despite_pings);
    CU_ADD_TEST(suite, test_idle_target_is_not_silent);
    CU_ADD_TEST(suite, test_unanswered_pings_mark_an_idle_target_lost);
    CU_ADD_TEST(suite, test_long_requests_are_allowed_more_silence);
    CU_ADD_TEST(suite, test_lost_target_recovers_in_steps);
    CU_ADD_TEST(suite, test_timeout_restarts_the_recovery_of_a_lost_target);
    CU_ADD_TEST(suite, test_failed_connections_mark_a_target_lost);
    CU_ADD_TEST(suite, test_slow_state_has_hysteresis);
    CU_ADD_TEST(suite, test_latency_of_slow_target_without_requests_is_reset);
    CU_ADD_TEST(suite, test_refusal_ends_the_silence);
    CU_ADD_TEST(suite, test_median_ignores_lost_targets_and_unknown_latencies);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
