/* Targets that the nodes lose for a time and then reach again, as the same
 * process or another one. */

#include <CUnit/Basic.h>

#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define NODES 2
#define PLAIN_TARGETS 1
#define SHARDED_TARGETS 3
#define WORK_MS 20
#define REQUEST_INTERVAL_MS 10
/* Longer than a target may leave orders unanswered until it counts as
 * unreachable, and than its last grant lasts. */
#define CUT_MS 6000
/* Keys are to be served again within 2 s; a target is found again and planned
 * for in the same time. */
#define BACK_WITHIN_MS 4000
#define SETTLED_MS 2000

/* A target starts again under its id before its connections time out, and its
 * row comes later than the port is open. */
#define DOWN_MS 300
#define ROW_LATE_MS 1000

static struct rs_node_fixture *
open_fixture(uint16_t base_port)
{
    const struct rs_node_fixture_options options = {
        .base_port = base_port,
        .node_count = NODES,
        .plain_targets = PLAIN_TARGETS,
        .sharded_targets = SHARDED_TARGETS,
        .work_ms = WORK_MS,
        .timeout_ms = 2000,
    };
    return RsNodeFixture_OpenServing(&options);
}

static void
set_cut(struct rs_node_fixture *fixture, uint32_t target, bool is_cut)
{
    RsLinkProxy_SetCut(RsSoakTarget_Proxy(fixture->targets[target]), is_cut);
}

/* CONFIG (review/15): targets with keys that were cut off one after the other
 * never got keys again, and the last one carried all requests. */
void
test_targets_own_keys_again_after_cuts(void)
{
    struct rs_node_fixture *fixture = open_fixture(21200);
    uint64_t counts[RsNodeFixture_MAX_TARGETS] = {0};
    for (uint32_t i = 0; i < SHARDED_TARGETS; i++) {
        set_cut(fixture, PLAIN_TARGETS + i, true);
        RsNodeFixture_SendToAll(fixture, CUT_MS, REQUEST_INTERVAL_MS);
        set_cut(fixture, PLAIN_TARGETS + i, false);
        RsNodeFixture_SendToAll(fixture, BACK_WITHIN_MS, REQUEST_INTERVAL_MS);
    }
    for (uint32_t i = 0; i < fixture->target_count; i++) {
        counts[i] = RsSoakTarget_RequestCount(fixture->targets[i]);
    }
    RsNodeFixture_SendToAll(fixture, SETTLED_MS, REQUEST_INTERVAL_MS);
    for (uint32_t i = PLAIN_TARGETS; i < fixture->target_count; i++) {
        CU_ASSERT_TRUE(RsSoakTarget_RequestCount(fixture->targets[i]) >
                       counts[i]);
    }
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}

/* OWNER (review/11): a process that was started under the id of a former one
 * was granted keys with the former one's fence until its row was read. */
void
test_restarted_target_gets_no_keys_under_a_former_fence(void)
{
    struct rs_node_fixture *fixture = open_fixture(21400);
    for (uint32_t i = PLAIN_TARGETS; i < fixture->target_count; i++) {
        struct rs_soak_target *target = fixture->targets[i];
        uint64_t count = RsSoakTarget_RequestCount(target);
        RsSoakTarget_Crash(target);
        RsSoakTarget_SetReporting(target, false);
        RsNodeFixture_SendToAll(fixture, DOWN_MS, REQUEST_INTERVAL_MS);
        RsSoakTarget_Start(target, false);
        RsNodeFixture_SendToAll(fixture, ROW_LATE_MS, REQUEST_INTERVAL_MS);
        RsSoakTarget_SetReporting(target, true);
        RsNodeFixture_SendToAll(fixture, BACK_WITHIN_MS, REQUEST_INTERVAL_MS);
        CU_ASSERT_TRUE(RsSoakTarget_RequestCount(target) > count);
    }
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}
