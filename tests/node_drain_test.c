/* How long a leaving target is sent requests for its keys. */

#include <CUnit/Basic.h>

#include "core/clock.h"
#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define WORK_MS 10
#define DRAIN_MS 2000
#define FEED_DELAY_MS 800
#define REQUEST_INTERVAL_MS 20
#define AWAIT_MS 5000

/* DRAIN of lista-serrana-gw-large: a response of the store that was made just
 * before the target began to leave is handled late. */
void
test_request_reaches_a_target_that_has_drained(void)
{
    const struct rs_node_fixture_options options = {
        .base_port = 23900,
        .node_count = 1,
        .sharded_targets = 1,
        .work_ms = WORK_MS,
        .timeout_ms = 2000,
    };
    struct rs_node_fixture *fixture = RsNodeFixture_OpenServing(&options);
    struct rs_soak_target *target = fixture->targets[0];
    int64_t give_up_at_ms = RsClock_NowMs() + AWAIT_MS;
    RsSoakStore_DelayFeed(fixture->store, "servers", FEED_DELAY_MS);
    while (!RsSoakStore_IsFeedDelayed(fixture->store) &&
           RsClock_NowMs() < give_up_at_ms) {
        RsNodeFixture_Run(fixture, 1);
    }
    CU_ASSERT_TRUE(RsSoakStore_IsFeedDelayed(fixture->store));
    RsSoakTarget_ReportDraining(target);
    uint64_t count = RsSoakTarget_RequestCount(target);
    RsNodeFixture_SendToAll(fixture, DRAIN_MS / 2, REQUEST_INTERVAL_MS);
    CU_ASSERT_TRUE(RsSoakTarget_RequestCount(target) > count);
    RsNodeFixture_SendToAll(fixture, DRAIN_MS / 2, REQUEST_INTERVAL_MS);
    count = RsSoakTarget_RequestCount(target);
    RsNodeFixture_SendToAll(fixture, DRAIN_MS, REQUEST_INTERVAL_MS);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(target), count);
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}
