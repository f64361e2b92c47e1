/* What targets say of themselves in their responses: a node stops sending to
 * one that leaves, and to one that wants nothing for a time. */

#include <CUnit/Basic.h>

#include "core/clock.h"
#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define WORK_MS 10
#define ANSWER_WITHIN_MS 3000
#define REQUEST_INTERVAL_MS 20
#define BURST_REQUESTS 12
#define MAX_BURSTS 100
#define KEYS 16
#define KEY_SPACING (RsCheck_KEYS / KEYS)
#define DRAIN_MS 2000
/* Requests on their way when the notice arrives. */
#define MAX_REQUESTS_AFTER_NOTICE 2

static struct rs_node_fixture *
open_fixture(uint16_t base_port, uint32_t plain, uint32_t sharded)
{
    const struct rs_node_fixture_options options = {
        .base_port = base_port,
        .node_count = 1,
        .plain_targets = plain,
        .sharded_targets = sharded,
        .work_ms = WORK_MS,
        .timeout_ms = 2000,
    };
    return RsNodeFixture_OpenServing(&options);
}

static void
close_fixture(struct rs_node_fixture *fixture)
{
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}

/* Sends requests one after the other for some time. Returns how many were not
 * served. */
static uint32_t
send_posts(struct rs_node_fixture *fixture, int64_t span_ms)
{
    uint32_t failed = 0;
    int64_t end_at_ms = RsClock_NowMs() + span_ms;
    while (RsClock_NowMs() < end_at_ms) {
        struct rs_node_fixture_request *request =
            RsNodeFixture_Post(fixture, 0);
        CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
        failed += request->status != 200;
        RsNodeFixture_Run(fixture, REQUEST_INTERVAL_MS);
    }
    return failed;
}

/* Returns how many of KEYS spread keys are served now. */
static uint32_t
count_served_keys(struct rs_node_fixture *fixture)
{
    uint32_t served = 0;
    for (uint32_t i = 0; i < KEYS; i++) {
        struct rs_node_fixture_request *request =
            RsNodeFixture_Get(fixture, 0, i * KEY_SPACING);
        CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
        served += request->status == 200;
    }
    return served;
}

/* Sends so many requests at once that each target gets some. */
static void
send_burst(struct rs_node_fixture *fixture)
{
    struct rs_node_fixture_request *requests[BURST_REQUESTS];
    for (uint32_t i = 0; i < BURST_REQUESTS; i++) {
        requests[i] = RsNodeFixture_Post(fixture, 0);
    }
    for (uint32_t i = 0; i < BURST_REQUESTS; i++) {
        CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(requests[i], ANSWER_WITHIN_MS));
    }
}

/* Sends requests until one has reached the target since `count`. */
static void
await_request_at(struct rs_node_fixture *fixture,
                 const struct rs_soak_target *target, uint64_t count)
{
    for (int i = 0;
         i < MAX_BURSTS && RsSoakTarget_RequestCount(target) == count; i++) {
        send_burst(fixture);
    }
    CU_ASSERT_TRUE(RsSoakTarget_RequestCount(target) > count);
}

/* The target says that it leaves, and its report doesn't come. */
void
test_target_that_says_it_leaves_gets_no_more(void)
{
    struct rs_node_fixture *fixture = open_fixture(26300, 2, 0);
    struct rs_soak_target *target = fixture->targets[0];
    RsSoakTarget_SayLeaving(target);
    await_request_at(fixture, target, RsSoakTarget_RequestCount(target));
    uint64_t count = RsSoakTarget_RequestCount(target);
    CU_ASSERT_EQUAL(send_posts(fixture, DRAIN_MS), 0);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(target), count);
    close_fixture(fixture);
}

/* Its keys move without its report, and it gets no request later than it
 * drains. */
void
test_keys_of_a_target_that_says_it_leaves_move(void)
{
    struct rs_node_fixture *fixture = open_fixture(26400, 0, 2);
    struct rs_soak_target *target = fixture->targets[0];
    RsSoakTarget_SayLeaving(target);
    CU_ASSERT_EQUAL(count_served_keys(fixture), KEYS);
    RsNodeFixture_Run(fixture, DRAIN_MS);
    uint64_t count = RsSoakTarget_RequestCount(target);
    CU_ASSERT_EQUAL(count_served_keys(fixture), KEYS);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(target), count);
    for (uint32_t i = 0; i < KEYS; i++) {
        CU_ASSERT_FALSE(RsCheck_HoldsKey(&fixture->check, 0, i * KEY_SPACING,
                                         RsClock_NowMs()));
    }
    close_fixture(fixture);
}

/* A target refuses with a time to come back; another one has room. */
void
test_target_that_refuses_for_a_time_is_left_alone(void)
{
    struct rs_node_fixture *fixture = open_fixture(26500, 2, 0);
    struct rs_soak_target *target = fixture->targets[0];
    uint64_t count = RsSoakTarget_RequestCount(target);
    RsSoakTarget_Close(target, "1.5");
    await_request_at(fixture, target, count);
    int64_t closed_at_ms = RsClock_NowMs();
    RsSoakTarget_Close(target, "");
    RsNodeFixture_Run(fixture, 500);
    count = RsSoakTarget_RequestCount(target);
    send_posts(fixture, closed_at_ms + 1400 - RsClock_NowMs());
    CU_ASSERT_TRUE(RsSoakTarget_RequestCount(target) - count <=
                   MAX_REQUESTS_AFTER_NOTICE);
    count = RsSoakTarget_RequestCount(target);
    await_request_at(fixture, target, count);
    close_fixture(fixture);
}

/* No target takes requests, so callers are told at once when to come back. */
void
test_callers_are_told_when_closed_targets_open(void)
{
    struct rs_node_fixture *fixture = open_fixture(26600, 1, 0);
    RsSoakTarget_Close(fixture->targets[0], "3");
    send_posts(fixture, 1);
    int64_t closed_at_ms = RsClock_NowMs();
    RsNodeFixture_Run(fixture, 1000);
    uint64_t count = RsSoakTarget_RequestCount(fixture->targets[0]);
    struct rs_node_fixture_request *request = RsNodeFixture_Post(fixture, 0);
    CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
    CU_ASSERT_EQUAL(request->status, 503);
    CU_ASSERT_TRUE(request->ended_at_ms - request->sent_at_ms < 100);
    double left_s =
        (double)(closed_at_ms + 3000 - request->ended_at_ms) / 1000;
    CU_ASSERT_TRUE(request->retry_after_s >= left_s - 0.1);
    CU_ASSERT_TRUE(request->retry_after_s <= left_s * 1.5);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(fixture->targets[0]), count);
    close_fixture(fixture);
}

/* The owner of keys refuses all nodes, so its keys go to other targets. */
void
test_keys_of_a_closed_target_move(void)
{
    struct rs_node_fixture *fixture = open_fixture(26700, 0, 2);
    RsSoakTarget_Close(fixture->targets[0], "20");
    int64_t give_up_at_ms = RsClock_NowMs() + 6000;
    while (count_served_keys(fixture) < KEYS &&
           RsClock_NowMs() < give_up_at_ms) {
        RsNodeFixture_Run(fixture, 50);
    }
    CU_ASSERT_EQUAL(count_served_keys(fixture), KEYS);
    close_fixture(fixture);
}
