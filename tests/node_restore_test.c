/* The store goes back to a copy of its rows. */

#include <CUnit/Basic.h>
#include <signal.h>

#include "core/clock.h"
#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define WORK_MS 10
#define ANSWER_WITHIN_MS 3000
#define KEYS 16
#define KEY_SPACING (RsCheck_KEYS / KEYS)
#define CALM_MS 4000 /* so that there are copies of this age */
#define REQUEST_INTERVAL_MS 10
#define MIN_SERVED_PERCENT 95

static struct rs_node_fixture *
open_fixture(uint16_t base_port)
{
    const struct rs_node_fixture_options options = {
        .base_port = base_port,
        .node_count = 3,
        .plain_targets = 1,
        .sharded_targets = 3,
        .work_ms = WORK_MS,
        .timeout_ms = 2000,
    };
    struct rs_node_fixture *fixture = RsNodeFixture_OpenServing(&options);
    RsNodeFixture_Run(fixture, CALM_MS);
    return fixture;
}

/* Asks for keys at all nodes for some time. Checks that nearly all requests
 * are served. */
static void
expect_served(struct rs_node_fixture *fixture, int64_t span_ms)
{
    uint32_t asked = 0;
    uint32_t served = 0;
    int64_t end_at_ms = RsClock_NowMs() + span_ms;
    while (RsClock_NowMs() < end_at_ms) {
        struct rs_node_fixture_request *request =
            RsNodeFixture_Get(fixture, asked % fixture->options.node_count,
                              asked % KEYS * KEY_SPACING);
        CU_ASSERT_TRUE(RsNodeFixture_AwaitEnd(request, ANSWER_WITHIN_MS));
        asked++;
        served += request->status == 200;
        RsNodeFixture_Run(fixture, REQUEST_INTERVAL_MS);
    }
    CU_ASSERT_TRUE(served * 100 >= asked * MIN_SERVED_PERCENT);
}

static void
close_fixture(struct rs_node_fixture *fixture)
{
    CU_ASSERT_EQUAL(fixture->check.violation_count, 0);
    RsNodeFixture_Close(fixture);
}

/* Keys have moved since the copy was made. The store goes back while it is
 * away for longer than the granter's authority lasts. */
void
test_service_goes_on_after_a_restore(void)
{
    struct rs_node_fixture *fixture = open_fixture(31000);
    const struct rs_soak_restore restore = {
        .copy_age_ms = 3000, .away_ms = 3000, .rewrite_after_ms = 1000};
    RsSoakTarget_Crash(fixture->targets[1]);
    RsNodeFixture_Run(fixture, 200);
    RsSoakTarget_Start(fixture->targets[1], true);
    RsNodeFixture_Run(fixture, 2500); /* its keys have moved */
    RsSoakStore_Restore(fixture->store, &restore);
    expect_served(fixture, 9000);
    RsSoakTarget_Drain(fixture->targets[2]);
    expect_served(fixture, 1500);
    close_fixture(fixture);
}

/* All nodes are restarted with the store, so that they know only the copy. No
 * key gets a second owner, and all are served once the former grants have
 * lapsed. */
void
test_restarted_nodes_do_not_trust_the_copy(void)
{
    struct rs_node_fixture *fixture = open_fixture(31100);
    const struct rs_soak_restore restore = {
        .copy_age_ms = 4000, .away_ms = 500, .rewrite_after_ms = 500};
    RsSoakTarget_Drain(fixture->targets[1]);
    RsNodeFixture_Run(fixture, 1500);
    RsSoakStore_Restore(fixture->store, &restore);
    for (uint32_t i = 0; i < fixture->options.node_count; i++) {
        RsNodeFixture_RestartNode(fixture, i);
    }
    RsNodeFixture_Run(fixture, 14000);
    CU_ASSERT_TRUE(RsNodeFixture_AwaitService(fixture, 3000));
    expect_served(fixture, 2000);
    close_fixture(fixture);
}

/* Checks which configuration is in force at all nodes. */
static void
expect_config(struct rs_node_fixture *fixture, int version)
{
    for (uint32_t i = 0; i < fixture->options.node_count; i++) {
        CU_ASSERT_EQUAL(RsNodeFixture_ConfigVersion(fixture, i), version);
    }
}

/* Puts a second configuration, and lets the store go back to the first until
 * the operator writes the second again, after six seconds. */
static struct rs_node_fixture *
open_fixture_and_restore_config(uint16_t base_port)
{
    struct rs_node_fixture *fixture = open_fixture(base_port);
    const struct rs_soak_restore restore = {
        .copy_age_ms = 3000, .away_ms = 300, .rewrite_after_ms = 6000};
    RsNodeFixture_PutConfig(fixture, 2);
    RsNodeFixture_Run(fixture, 1500);
    RsSoakStore_Restore(fixture->store, &restore);
    RsNodeFixture_Run(fixture, 1200);
    return fixture;
}

/* Checks that all nodes have the second configuration though nodes have just
 * been restarted, and take a third one. */
static void
expect_config_stays(struct rs_node_fixture *fixture)
{
    RsNodeFixture_Run(fixture, 2000);
    expect_config(fixture, 2);
    RsNodeFixture_Run(fixture, 5000);
    expect_config(fixture, 2);
    RsNodeFixture_PutConfig(fixture, 3);
    RsNodeFixture_Run(fixture, 1500);
    expect_config(fixture, 3);
}

/* The route that the newest configuration has is served while the store has
 * only the one before, also by a node that was restarted meanwhile. */
void
test_configuration_does_not_go_back(void)
{
    struct rs_node_fixture *fixture = open_fixture_and_restore_config(31200);
    RsNodeFixture_RestartNode(fixture, 2);
    expect_config_stays(fixture);
    close_fixture(fixture);
}

/* The granter is restarted, too, so that only one node is left that knows the
 * newest configuration. */
void
test_configuration_does_not_go_back_at_the_granter(void)
{
    struct rs_node_fixture *fixture = open_fixture_and_restore_config(31300);
    uint32_t granter = RsNodeFixture_Granter(fixture, 0);
    RsNodeFixture_RestartNode(fixture, granter);
    RsNodeFixture_RestartNode(fixture,
                              (granter + 1) % fixture->options.node_count);
    expect_config_stays(fixture);
    close_fixture(fixture);
}
