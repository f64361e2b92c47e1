#include <CUnit/Basic.h>
#include <stdio.h>

#include "core/log.h"
#include "router/fixture.h"
#include "router/paths.h"

#define NOW_MS 100000
#define TARGETS 8
#define PEER_1 0x0100007fU
#define PEER_2 0x0200007fU
#define OWN 0x0900007fU

static struct rs_fleet fleet;
static struct rs_paths paths;
static struct rs_fleet_target *targets[TARGETS];

/* Sets up a node that knows some targets and two other nodes. */
static void
open_paths(uint32_t target_count)
{
    RsFleet_Init(&fleet, RsFixture_FleetEvents(), NULL);
    for (uint32_t i = 0; i < target_count; i++) {
        char id[16];
        snprintf(id, sizeof(id), "t%u", i);
        const struct rs_fixture_report report = {
            .id = id,
            .service = "s",
            .zone = "z",
            .port = 1000 + i,
            .started_wall_ms = 1,
            .sequence = 1,
        };
        RsFixture_Report(&fleet, &report, NOW_MS);
        targets[i] = RsFleet_Find(&fleet, g_intern_string(id));
    }
    paths = (struct rs_paths){.fleet = &fleet,
                              .own_address = OWN,
                              .random = g_rand_new_with_seed(1)};
    RsPaths_AddPeer(&paths, PEER_1);
    RsPaths_AddPeer(&paths, PEER_2);
}

static void
close_paths(void)
{
    RsFleet_Clear(&fleet);
    g_rand_free(paths.random);
}

static enum rs_path
choose(uint32_t target, int64_t now_ms)
{
    uint32_t peer = 0;
    enum rs_path path = RsPaths_Choose(&paths, targets[target], now_ms, &peer);
    if (path == RsPath_PEER) {
        CU_ASSERT_TRUE(peer == PEER_1 || peer == PEER_2);
    }
    return path;
}

static void
fail_targets(uint32_t first, uint32_t count)
{
    for (uint32_t i = first; i < first + count; i++) {
        RsPaths_RecordConnectFailed(&paths, targets[i], NOW_MS);
    }
}

static void
test_failures_of_several_targets_isolate_the_node(void)
{
    open_paths(TARGETS);
    fail_targets(0, 2);
    CU_ASSERT_FALSE(paths.isolated);
    CU_ASSERT_EQUAL(choose(7, NOW_MS), RsPath_DIRECT);
    fail_targets(2, 1);
    CU_ASSERT_TRUE(paths.isolated);
    CU_ASSERT_EQUAL(choose(7, NOW_MS), RsPath_PEER);
    RsPaths_RecordConnected(&paths, targets[5], NOW_MS);
    CU_ASSERT_EQUAL(choose(7, NOW_MS), RsPath_DIRECT);
    close_paths();
}

static void
test_one_failing_target_does_not_isolate_the_node(void)
{
    open_paths(TARGETS);
    for (int i = 0; i < 20; i++) {
        fail_targets(3, 1);
    }
    CU_ASSERT_FALSE(paths.isolated);
    CU_ASSERT_EQUAL(choose(0, NOW_MS), RsPath_DIRECT);
    close_paths();
}

/* Several targets end at the same time, others go on. */
static void
test_targets_that_fail_between_connections_do_not_isolate(void)
{
    open_paths(TARGETS);
    for (uint32_t i = 0; i < 6; i++) {
        fail_targets(i, 1);
        RsPaths_RecordConnected(&paths, targets[7], NOW_MS);
    }
    CU_ASSERT_FALSE(paths.isolated);
    close_paths();
}

/* A node that is cut off from other failure domains reaches the targets of its
 * own on connections that it has. */
static void
test_targets_that_fail_between_answers_do_not_isolate(void)
{
    open_paths(TARGETS);
    for (uint32_t i = 0; i < 6; i++) {
        fail_targets(i, 1);
        RsPaths_RecordAnswered(&paths, NOW_MS + i);
    }
    CU_ASSERT_FALSE(paths.isolated);
    fail_targets(0, 3);
    CU_ASSERT_FALSE(paths.isolated);
    RsPaths_RecordConnectFailed(&paths, targets[0], NOW_MS + 1000);
    CU_ASSERT_TRUE(paths.isolated);
    RsPaths_RecordAnswered(&paths, NOW_MS + 1001);
    CU_ASSERT_TRUE(paths.isolated);
    close_paths();
}

/* All targets of another failure domain fail at the same moment. */
static void
test_many_failures_at_once_do_not_isolate(void)
{
    open_paths(TARGETS);
    for (int64_t ms = 0; ms < 10000; ms += 200) {
        RsPaths_RecordAnswered(&paths, NOW_MS + ms);
        for (uint32_t i = 0; i < 5; i++) {
            RsPaths_RecordConnectFailed(&paths, targets[i], NOW_MS + ms + 100);
        }
        CU_ASSERT_FALSE(paths.isolated);
    }
    close_paths();
}

static void
test_links_are_in_doubt_until_a_connection_is_made(void)
{
    open_paths(TARGETS);
    RsPaths_RecordConnected(&paths, targets[2], NOW_MS);
    fail_targets(0, 1);
    fail_targets(0, 1);
    CU_ASSERT_FALSE(RsPaths_AreDoubtful(&paths, NOW_MS));
    fail_targets(1, 1);
    CU_ASSERT_TRUE(RsPaths_AreDoubtful(&paths, NOW_MS));
    RsPaths_RecordAnswered(&paths, NOW_MS + 1);
    CU_ASSERT_TRUE(RsPaths_AreDoubtful(&paths, NOW_MS + 1));
    RsPaths_RecordConnected(&paths, targets[2], NOW_MS + 2);
    CU_ASSERT_FALSE(RsPaths_AreDoubtful(&paths, NOW_MS + 2));
    close_paths();
}

/* Responses on open connections don't show that new connections could be
 * made. */
static void
test_links_are_in_doubt_long_after_the_last_connection(void)
{
    open_paths(TARGETS);
    RsPaths_RecordConnected(&paths, targets[2], NOW_MS - 5000);
    RsPaths_RecordAnswered(&paths, NOW_MS);
    CU_ASSERT_FALSE(RsPaths_AreDoubtful(&paths, NOW_MS));
    fail_targets(0, 1);
    fail_targets(0, 1);
    CU_ASSERT_TRUE(RsPaths_AreDoubtful(&paths, NOW_MS));
    close_paths();
}

/* The one failure shows soon whether the links are lost. */
static void
test_failed_connection_is_followed_by_probes(void)
{
    int probes = 0;
    open_paths(TARGETS);
    RsPaths_RecordConnected(&paths, targets[2], NOW_MS - 100);
    CU_ASSERT_FALSE(RsPaths_TakeProbe(&paths, NOW_MS));
    fail_targets(0, 1);
    for (int64_t ms = 0; ms < 1000; ms += 10) {
        RsPaths_RecordAnswered(&paths, NOW_MS + ms);
        probes += RsPaths_TakeProbe(&paths, NOW_MS + ms);
    }
    CU_ASSERT_TRUE(probes >= 10 && probes <= 20);
    RsPaths_RecordConnected(&paths, targets[2], NOW_MS + 1000);
    CU_ASSERT_FALSE(RsPaths_TakeProbe(&paths, NOW_MS + 2000));
    close_paths();
}

static void
test_few_targets_isolate_when_all_fail(void)
{
    open_paths(2);
    fail_targets(0, 1);
    CU_ASSERT_FALSE(paths.isolated);
    fail_targets(1, 1);
    CU_ASSERT_TRUE(paths.isolated);
    close_paths();
}

/* The link to one target is lost, or that target has ended. */
static void
test_failed_target_is_tried_through_other_nodes(void)
{
    open_paths(TARGETS);
    fail_targets(0, 1);
    CU_ASSERT_EQUAL(choose(0, NOW_MS + 100), RsPath_PEER);
    CU_ASSERT_EQUAL(choose(1, NOW_MS + 100), RsPath_DIRECT);
    RsPaths_RecordPeer(&paths, PEER_1, targets[0], RsPath_TARGET_FAILED,
                       NOW_MS + 100);
    CU_ASSERT_EQUAL(choose(0, NOW_MS + 100), RsPath_DIRECT);
    fail_targets(0, 1);
    CU_ASSERT_EQUAL(choose(0, NOW_MS + 100), RsPath_DIRECT);
    close_paths();
}

static void
test_nodes_that_cannot_help_are_left_out(void)
{
    open_paths(TARGETS);
    fail_targets(0, 3);
    RsPaths_RecordPeer(&paths, PEER_1, targets[0], RsPath_PEER_FAILED, NOW_MS);
    for (int i = 0; i < 20; i++) {
        uint32_t peer = 0;
        CU_ASSERT_EQUAL(
            RsPaths_Choose(&paths, targets[0], NOW_MS + 100, &peer),
            RsPath_PEER);
        CU_ASSERT_EQUAL(peer, PEER_2);
    }
    RsPaths_RecordPeer(&paths, PEER_2, targets[0], RsPath_PEER_FAILED, NOW_MS);
    CU_ASSERT_EQUAL(choose(0, NOW_MS + 100), RsPath_NONE);
    CU_ASSERT_EQUAL(choose(0, NOW_MS + 10000), RsPath_PEER);
    close_paths();
}

static void
test_node_does_not_ask_itself(void)
{
    open_paths(TARGETS);
    RsPaths_AddPeer(&paths, OWN);
    RsPaths_AddPeer(&paths, PEER_1);
    RsPaths_AddPeer(&paths, 0);
    CU_ASSERT_EQUAL(paths.peer_count, 2);
    for (uint32_t i = 0; i < 100; i++) {
        RsPaths_AddPeer(&paths, 0x0a000000U + i);
    }
    CU_ASSERT_EQUAL(paths.peer_count, RsPaths_MAX_PEERS);
    close_paths();
}

static void
test_silent_connections_are_probed(void)
{
    open_paths(TARGETS);
    RsPaths_RecordSent(&paths, NOW_MS);
    CU_ASSERT_FALSE(RsPaths_TakeProbe(&paths, NOW_MS + 400));
    RsPaths_RecordSent(&paths, NOW_MS + 400);
    CU_ASSERT_TRUE(RsPaths_TakeProbe(&paths, NOW_MS + 600));
    CU_ASSERT_FALSE(RsPaths_TakeProbe(&paths, NOW_MS + 601));
    CU_ASSERT_TRUE(RsPaths_TakeProbe(&paths, NOW_MS + 700));
    RsPaths_RecordConnected(&paths, targets[0], NOW_MS + 701);
    CU_ASSERT_FALSE(RsPaths_TakeProbe(&paths, NOW_MS + 2000));
    close_paths();
}

static void
test_idle_node_and_answered_requests_need_no_probe(void)
{
    open_paths(TARGETS);
    CU_ASSERT_FALSE(RsPaths_TakeProbe(&paths, NOW_MS));
    for (int64_t ms = 0; ms < 5000; ms += 100) {
        RsPaths_RecordSent(&paths, NOW_MS + ms);
        RsPaths_RecordAnswered(&paths, NOW_MS + ms + 50);
        CU_ASSERT_FALSE(RsPaths_TakeProbe(&paths, NOW_MS + ms + 60));
    }
    CU_ASSERT_FALSE(RsPaths_TakeProbe(&paths, NOW_MS + 60000));
    close_paths();
}

/* An isolated node has no direct connections, so only probes tell it that the
 * links are back. */
static void
test_isolated_node_probes_its_links(void)
{
    int probes = 0;
    open_paths(TARGETS);
    fail_targets(0, 3);
    for (int64_t ms = 0; ms < 2000; ms += 10) {
        probes += RsPaths_TakeProbe(&paths, NOW_MS + ms);
    }
    CU_ASSERT_TRUE(probes >= 4 && probes <= 20);
    close_paths();
}

/* LOST (review/8): requests were begun through a node that had got SIGTERM. */
static void
test_tunnels_of_a_node_that_stops_are_not_used(void)
{
    open_paths(1);
    RsPaths_RecordPeer(&paths, PEER_1, targets[0], RsPath_CONNECTED, NOW_MS);
    CU_ASSERT_TRUE(RsPaths_MayUseTunnel(&paths, PEER_1, NOW_MS, NOW_MS + 10));
    RsPaths_RecordTunnelState(&paths, PEER_1, true, NOW_MS + 20);
    CU_ASSERT_FALSE(RsPaths_MayUseTunnel(&paths, PEER_1, NOW_MS, NOW_MS + 30));
    /* An older message that arrives later. */
    RsPaths_RecordTunnelState(&paths, PEER_1, false, NOW_MS + 40);
    CU_ASSERT_FALSE(RsPaths_MayUseTunnel(&paths, PEER_1, NOW_MS, NOW_MS + 50));
    /* The node is back, and has opened another tunnel. */
    RsPaths_RecordPeer(&paths, PEER_1, targets[0], RsPath_CONNECTED,
                       NOW_MS + 9000);
    CU_ASSERT_TRUE(
        RsPaths_MayUseTunnel(&paths, PEER_1, NOW_MS + 9000, NOW_MS + 9010));
    close_paths();
}

static void
test_node_that_stops_is_not_asked_for_tunnels(void)
{
    open_paths(TARGETS);
    paths.isolated = true;
    RsPaths_RecordTunnelState(&paths, PEER_1, true, NOW_MS);
    for (int i = 0; i < 20; i++) {
        uint32_t peer = 0;
        CU_ASSERT_EQUAL(
            RsPaths_Choose(&paths, targets[0], NOW_MS + 1900, &peer),
            RsPath_PEER);
        CU_ASSERT_EQUAL(peer, PEER_2);
    }
    RsPaths_RecordTunnelState(&paths, PEER_2, true, NOW_MS);
    CU_ASSERT_EQUAL(choose(0, NOW_MS + 1900), RsPath_NONE);
    close_paths();
}

/* All messages of a node are lost, or it is of a version without them. */
static void
test_tunnels_of_a_silent_node_are_not_used_again(void)
{
    open_paths(1);
    RsPaths_RecordPeer(&paths, PEER_1, targets[0], RsPath_CONNECTED, NOW_MS);
    CU_ASSERT_TRUE(
        RsPaths_MayUseTunnel(&paths, PEER_1, NOW_MS, NOW_MS + 1400));
    CU_ASSERT_FALSE(
        RsPaths_MayUseTunnel(&paths, PEER_1, NOW_MS, NOW_MS + 1600));
    RsPaths_RecordTunnelState(&paths, PEER_1, false, NOW_MS + 1700);
    CU_ASSERT_TRUE(
        RsPaths_MayUseTunnel(&paths, PEER_1, NOW_MS, NOW_MS + 3000));
    CU_ASSERT_FALSE(RsPaths_MayUseTunnel(&paths, OWN, NOW_MS, NOW_MS));
    close_paths();
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("paths", NULL, NULL);
    CU_ADD_TEST(suite, test_failures_of_several_targets_isolate_the_node);
    CU_ADD_TEST(suite, test_one_failing_target_does_not_isolate_the_node);
    CU_ADD_TEST(suite,
                test_targets_that_fail_between_connections_do_not_isolate);
    CU_ADD_TEST(suite, test_targets_that_fail_between_answers_do_not_isolate);
    CU_ADD_TEST(suite, test_many_failures_at_once_do_not_isolate);
    CU_ADD_TEST(suite, test_links_are_in_doubt_until_a_connection_is_made);
    CU_ADD_TEST(suite, test_links_are_in_doubt_long_after_the_last_connection);
    CU_ADD_TEST(suite, test_failed_connection_is_followed_by_probes);
    CU_ADD_TEST(suite, test_few_targets_isolate_when_all_fail);
    CU_ADD_TEST(suite, test_failed_target_is_tried_through_other_nodes);
    CU_ADD_TEST(suite, test_nodes_that_cannot_help_are_left_out);
    CU_ADD_TEST(suite, test_node_does_not_ask_itself);
    CU_ADD_TEST(suite, test_silent_connections_are_probed);
    CU_ADD_TEST(suite, test_idle_node_and_answered_requests_need_no_probe);
    CU_ADD_TEST(suite, test_isolated_node_probes_its_links);
    CU_ADD_TEST(suite, test_tunnels_of_a_node_that_stops_are_not_used);
    CU_ADD_TEST(suite, test_node_that_stops_is_not_asked_for_tunnels);
    CU_ADD_TEST(suite, test_tunnels_of_a_silent_node_are_not_used_again);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
