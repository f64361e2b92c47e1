/* Nodes that reach no target, while callers, the store and the other nodes
 * still reach them. */

#include <CUnit/Basic.h>

#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define WORK_MS 20
#define NODES 4
#define PLAIN_TARGETS 2
#define SHARDED_TARGETS 6
#define REQUEST_INTERVAL_MS 10
/* Requests count from this time after the links were cut. */
#define CONTACT_MS 3000
#define CUT_MS 8000
#define CLOSE_INTERVAL_MS 1000
#define ALLOWED_FAILURES 10
#define ALLOWED_FAILURE_SHARE 0.02
#define HEALED_WITHIN_MS 3000

static struct rs_node_fixture *
open_fixture(uint16_t base_port, uint32_t sharded_targets)
{
    const struct rs_node_fixture_options options = {
        .base_port = base_port,
        .node_count = NODES,
        .plain_targets = PLAIN_TARGETS,
        .sharded_targets = sharded_targets,
        .work_ms = WORK_MS,
        .timeout_ms = 2000,
        .cuttable = true,
    };
    return RsNodeFixture_OpenServing(&options);
}

/* Checks that the requests from number `first` on were served, at each node,
 * as far as they have ended. */
static void
check_served(const struct rs_node_fixture *fixture, uint32_t first)
{
    for (uint32_t node = 0; node < NODES; node++) {
        uint32_t ended = 0;
        uint32_t served = 0;
        for (uint32_t i = first; i < fixture->request_count; i++) {
            const struct rs_node_fixture_request *request =
                fixture->requests[i];
            if (request->node == node && request->ended_at_ms > 0) {
                ended++;
                served += request->status == 200 && request->complete;
            }
        }
        printf("node %u: %u of %u served\n", node, served, ended);
        CU_ASSERT_TRUE(ended > 0);
        CU_ASSERT_TRUE(ended - served <=
                       ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * ended);
    }
}

/* Cuts three of the four nodes off from all targets, beginning with
 * `first_node`, and later lets them reach the targets again. */
static void
check_cut(uint16_t base_port, uint32_t first_node,
          enum rs_node_fixture_cut cut)
{
    struct rs_node_fixture *fixture = open_fixture(base_port, SHARDED_TARGETS);
    for (uint32_t i = 0; i < NODES - 1; i++) {
        RsNodeFixture_CutFromTargets(fixture, first_node + i, cut);
    }
    RsNodeFixture_SendToAll(fixture, CONTACT_MS, REQUEST_INTERVAL_MS);
    uint32_t first = fixture->request_count;
    RsNodeFixture_SendToAll(fixture, CUT_MS, REQUEST_INTERVAL_MS);
    check_served(fixture, first);
    for (uint32_t i = 0; i < NODES - 1; i++) {
        RsNodeFixture_HealLinks(fixture, first_node + i);
    }
    RsNodeFixture_SendToAll(fixture, HEALED_WITHIN_MS, REQUEST_INTERVAL_MS);
    first = fixture->request_count;
    RsNodeFixture_SendToAll(fixture, HEALED_WITHIN_MS, REQUEST_INTERVAL_MS);
    check_served(fixture, first);
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}

/* In one of the first two tests, at least, the granter is cut off. */
void
test_nodes_without_links_to_targets_serve_refused(void)
{
    check_cut(27500, 0, RsNodeFixture_REFUSED);
}

void
test_nodes_without_links_to_targets_serve_silent(void)
{
    check_cut(27300, 1, RsNodeFixture_SILENT);
}

void
test_nodes_without_new_links_to_targets_serve(void)
{
    check_cut(27400, 0, RsNodeFixture_LIVE_ON);
}

/* Three of the nodes need new connections to the only owner of keys, while
 * those to the other targets live on. */
void
test_nodes_without_new_links_to_one_target_serve(void)
{
    struct rs_node_fixture *fixture = open_fixture(27200, 1);
    for (uint32_t i = 0; i < NODES - 1; i++) {
        RsNodeFixture_CutFromTargets(fixture, i, RsNodeFixture_LIVE_ON);
    }
    RsNodeFixture_SendToAll(fixture, CONTACT_MS, REQUEST_INTERVAL_MS);
    uint32_t first = fixture->request_count;
    for (int64_t ms = 0; ms < CUT_MS; ms += CLOSE_INTERVAL_MS) {
        RsNodeFixture_CloseConnections(fixture, PLAIN_TARGETS);
        RsNodeFixture_SendToAll(fixture, CLOSE_INTERVAL_MS,
                                REQUEST_INTERVAL_MS);
    }
    check_served(fixture, first);
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}
