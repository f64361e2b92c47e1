#include <CUnit/Basic.h>

#include "router/shutdown.h"

#define NOW_MS 100000
#define GRACE_MS 6000

static struct rs_shutdown
begin(void)
{
    struct rs_shutdown shutdown = {0};
    RsShutdown_Begin(&shutdown, GRACE_MS, NOW_MS);
    return shutdown;
}

static void
test_running_node_starts_every_request(void)
{
    const struct rs_shutdown shutdown = {0};
    CU_ASSERT_FALSE(RsShutdown_Begun(&shutdown));
    CU_ASSERT_EQUAL(RsShutdown_Phase(&shutdown, NOW_MS), RsShutdown_RUNNING);
    CU_ASSERT_TRUE(RsShutdown_MayStart(&shutdown, NOW_MS + 3600000));
}

static void
test_phases_follow_each_other(void)
{
    const struct rs_shutdown shutdown = begin();
    enum rs_shutdown_phase last = RsShutdown_NOT_READY;
    CU_ASSERT_EQUAL(RsShutdown_Phase(&shutdown, NOW_MS), last);
    for (int64_t ms = 0; ms < GRACE_MS; ms += 10) {
        enum rs_shutdown_phase phase =
            RsShutdown_Phase(&shutdown, NOW_MS + ms);
        CU_ASSERT_TRUE(phase >= last);
        last = phase;
    }
    CU_ASSERT_EQUAL(last, RsShutdown_OVER);
}

/* Two readiness checks, one second apart, must have failed before connections
 * are closed or refused. */
static void
test_connections_are_served_until_the_balancer_has_noticed(void)
{
    const struct rs_shutdown shutdown = begin();
    CU_ASSERT_EQUAL(RsShutdown_Phase(&shutdown, NOW_MS + 2100),
                    RsShutdown_NOT_READY);
    CU_ASSERT_TRUE(RsShutdown_Phase(&shutdown, NOW_MS + 3100) <
                   RsShutdown_NOT_LISTENING);
}

/* Days trouble-2 and hunt-993e-27 of bvs-pledge, second report of issue 40:
 * requests went to slow targets and were cut off when the node ended. A mean,
 * and the latency target of a route, tell little of how long one takes. */
static void
test_request_that_may_outlast_the_node_is_not_started(void)
{
    const struct rs_shutdown shutdown = begin();
    CU_ASSERT_FALSE(RsShutdown_MayStart(&shutdown, NOW_MS + 15000));
    CU_ASSERT_FALSE(RsShutdown_MayStart(&shutdown, NOW_MS + GRACE_MS));
    CU_ASSERT_FALSE(RsShutdown_MayStart(&shutdown, shutdown.end_at_ms));
}

/* The caller gets a final response at the deadline, before the node ends. */
static void
test_request_with_an_early_deadline_is_started(void)
{
    const struct rs_shutdown shutdown = begin();
    CU_ASSERT_TRUE(RsShutdown_MayStart(&shutdown, NOW_MS + 5000));
    CU_ASSERT_TRUE(RsShutdown_MayStart(&shutdown, shutdown.answer_at_ms));
    CU_ASSERT_FALSE(RsShutdown_MayStart(&shutdown, NOW_MS + 5900));
}

/* Final responses must be sent before the process ends, and the process must
 * end before it is killed. */
static void
test_open_requests_are_answered_before_the_end(void)
{
    const struct rs_shutdown shutdown = begin();
    CU_ASSERT_TRUE(shutdown.answer_at_ms + 50 <= shutdown.end_at_ms);
    CU_ASSERT_TRUE(shutdown.end_at_ms < NOW_MS + GRACE_MS);
    CU_ASSERT_EQUAL(RsShutdown_Phase(&shutdown, shutdown.answer_at_ms),
                    RsShutdown_ANSWERING);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("shutdown", NULL, NULL);
    CU_ADD_TEST(suite, test_running_node_starts_every_request);
    CU_ADD_TEST(suite, test_phases_follow_each_other);
    CU_ADD_TEST(suite,
                test_connections_are_served_until_the_balancer_has_noticed);
    CU_ADD_TEST(suite, test_request_that_may_outlast_the_node_is_not_started);
    CU_ADD_TEST(suite, test_request_with_an_early_deadline_is_started);
    CU_ADD_TEST(suite, test_open_requests_are_answered_before_the_end);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
