/* A request that crashes each target that runs it and that comes again and
 * again, at any node. */

#include <CUnit/Basic.h>

#include "core/clock.h"
#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define NODES 3
#define TARGETS 6
#define WORK_MS 20
#define DEADLY_KEY 1000
#define OTHER_KEYS 8
#define KEY_SPACING (RsCheck_KEYS / OTHER_KEYS)
#define ANSWER_WITHIN_MS 4000
#define INTERVAL_MS 250
#define SPAN_MS 25000
#define ALLOWED_CRASHES 3
/* Nodes must know of the last allowed crash after this time. */
#define KNOWN_WITHIN_MS 3000
#define ALLOWED_LATER_CRASHES 3

static uint32_t
count_crashes(const struct rs_node_fixture *fixture)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < fixture->target_count; i++) {
        count += RsSoakTarget_DeadlyRuns(fixture->targets[i]);
    }
    return count;
}

/* Sends the deadly request to one node after the other, and other requests for
 * the same key in between. Returns how many targets it crashed later than
 * KNOWN_WITHIN_MS after the last allowed crash. */
static uint32_t
send_deadly_requests(struct rs_node_fixture *fixture)
{
    int64_t end_at_ms = RsClock_NowMs() + SPAN_MS;
    int64_t known_at_ms = INT64_MAX;
    uint32_t known_crashes = 0;
    for (uint32_t i = 0; RsClock_NowMs() < end_at_ms; i++) {
        struct rs_node_fixture_request *deadly =
            RsNodeFixture_GetDeadly(fixture, i % NODES, DEADLY_KEY);
        RsNodeFixture_Get(fixture, (i + 1) % NODES, DEADLY_KEY);
        CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(deadly, ANSWER_WITHIN_MS));
        CU_ASSERT_NOT_EQUAL(deadly->status, 200);
        RsNodeFixture_Run(fixture, INTERVAL_MS);
        if (count_crashes(fixture) >= ALLOWED_CRASHES &&
            known_at_ms == INT64_MAX) {
            known_at_ms = RsClock_NowMs() + KNOWN_WITHIN_MS;
        }
        if (RsClock_NowMs() < known_at_ms) {
            known_crashes = count_crashes(fixture);
        }
    }
    return count_crashes(fixture) - known_crashes;
}

/* Returns how many of some requests for keys, the deadly one's among them, are
 * served. */
static uint32_t
count_served(struct rs_node_fixture *fixture)
{
    uint32_t served = 0;
    for (uint32_t i = 0; i < OTHER_KEYS; i++) {
        struct rs_node_fixture_request *request = RsNodeFixture_Get(
            fixture, i % NODES, DEADLY_KEY + i * KEY_SPACING);
        CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
        served += request->status == 200;
    }
    return served;
}

void
test_deadly_request_no_longer_reaches_targets(void)
{
    const struct rs_node_fixture_options options = {
        .base_port = 27850,
        .node_count = NODES,
        .sharded_targets = TARGETS,
        .work_ms = WORK_MS,
        .timeout_ms = 2000,
    };
    struct rs_node_fixture *fixture = RsNodeFixture_OpenServing(&options);
    CU_ASSERT_TRUE(send_deadly_requests(fixture) <= ALLOWED_LATER_CRASHES);
    CU_ASSERT_TRUE(count_crashes(fixture) >= 1);
    CU_ASSERT_TRUE(RsNodeFixture_AwaitService(fixture, ANSWER_WITHIN_MS));
    CU_ASSERT_EQUAL(count_served(fixture), OTHER_KEYS);
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}
