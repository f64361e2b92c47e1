/* Tests that what the nodes learn of targets reaches all of them through the
 * granter, and what happens when messages or the granter are lost. The nodes
 * exchange real datagrams on the loopback. */

#include <CUnit/Basic.h>
#include <stdio.h>
#include <unistd.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/fixture.h"
#include "router/reports.h"

#define NODES 3
#define GRANTER 0
#define NEW_GRANTER 2
#define PORT 29471
#define TARGETS 4
#define SLOW 0 /* target that is slower than the others */
#define WORK_MS 200.0
#define SLOW_FACTOR 3.0
#define REQUEST 7
#define LONG_RUN_MS 8000
#define RUNS 20 /* of the loop, to deliver datagrams */

struct node {
    struct rs_node_settings settings;
    struct rs_router router;
    struct rs_reports *reports;
    char name[8];
    char address[24];
};

static uv_loop_t loop;
static struct node nodes[NODES];
static int64_t start_ms;

static void
ignore_peer(void *arg, uint32_t address)
{
}

static void
list_target(struct node *node, uint32_t number, int64_t started_wall_ms)
{
    char id[8];
    snprintf(id, sizeof(id), "t%u", number);
    const struct rs_fixture_report report = {
        .id = id,
        .service = "s",
        .zone = "z",
        .port = 1000 + number,
        .started_wall_ms = started_wall_ms,
        .sequence = 1,
    };
    RsFixture_Report(&node->router.fleet, &report, start_ms);
}

/* The addresses contain the process number, so that several runs of the test
 * on one machine do not meet. */
static void
set_up(bool adaptive)
{
    static uint32_t run;
    start_ms = RsClock_NowMs();
    run++;
    uv_loop_init(&loop);
    for (uint32_t i = 0; i < NODES; i++) {
        struct node *node = &nodes[i];
        *node = (struct node){0};
        snprintf(node->name, sizeof(node->name), "n%u", i);
        snprintf(node->address, sizeof(node->address), "127.%u.%u.%u",
                 1 + ((unsigned)getpid() >> 8) % 250, (unsigned)getpid() % 256,
                 1 + run * NODES + i);
        node->settings.node.name = node->name;
        node->settings.node.zone = "z";
        node->settings.node.address = node->address;
        node->settings.listen.peer_port = PORT;
        node->settings.load.adaptive = adaptive;
        RsRouter_Init(&node->router, &loop, &node->settings);
        RsFleet_Init(&node->router.fleet, RsFixture_FleetEvents(), NULL);
        for (uint32_t t = 0; t < TARGETS; t++) {
            list_target(node, t, 1);
        }
        node->reports =
            RsReports_Open(&node->router, i + 1, ignore_peer, NULL);
        CU_ASSERT_PTR_NOT_NULL_FATAL(node->reports);
    }
}

static struct rs_fleet_target *
target_at(struct node *node, uint32_t number)
{
    char id[8];
    snprintf(id, sizeof(id), "t%u", number);
    return RsFleet_Find(&node->router.fleet, g_intern_string(id));
}

/* Records answers of all targets at one node. */
static void
record_answers(struct node *node, uint32_t count)
{
    for (uint32_t i = 0; i < count * TARGETS; i++) {
        struct rs_fleet_target *target = target_at(node, i % TARGETS);
        const struct rs_concurrency_sample sample = {
            .elapsed_ms =
                i % TARGETS == SLOW ? WORK_MS * SLOW_FACTOR : WORK_MS,
            .queueing_factor = 1,
        };
        int64_t now_ms = start_ms + i * 10;
        RsRouter_RecordWork(&node->router, target, g_intern_string("lookups"),
                            &sample, now_ms);
        target->answers++;
        if (i % TARGETS == TARGETS - 1) {
            RsRouter_RefreshConcurrency(&node->router, now_ms);
        }
    }
}

/* Sends the report of a node to the granter and delivers the datagrams. */
static void
report_to(uint32_t node, uint32_t granter)
{
    struct sockaddr_in address;
    uv_ip4_addr(nodes[granter].address, PORT, &address);
    RsReports_Send(nodes[node].reports, node == granter ? NULL : &address,
                   RsClock_NowMs());
    for (int i = 0; i < RUNS; i++) {
        uv_run(&loop, UV_RUN_NOWAIT);
        g_usleep(1000);
    }
}

static double
relative_factor(struct node *node)
{
    return target_at(node, SLOW)->concurrency.factor /
           target_at(node, SLOW + 1)->concurrency.factor;
}

/* A node that has sent nothing to a slow target must know it from the others,
 * since one node sees each target twice a second only. */
static void
test_samples_of_one_node_reach_all(void)
{
    set_up(true);
    record_answers(&nodes[1], 20);
    report_to(1, GRANTER);
    report_to(GRANTER, GRANTER);
    report_to(2, GRANTER);
    CU_ASSERT_TRUE(relative_factor(&nodes[1]) > 2);
    CU_ASSERT_TRUE(relative_factor(&nodes[GRANTER]) > 2);
    CU_ASSERT_TRUE(relative_factor(&nodes[2]) > 2);
    /* The granter has no requests of its own, but plans the keys. */
    CU_ASSERT_TRUE(target_at(&nodes[GRANTER], SLOW)->concurrency.service_ms >
                   target_at(&nodes[GRANTER], 1)->concurrency.service_ms);
}

/* The samples of several nodes must add up, else the figures are as uncertain
 * as those of one node. */
static void
test_samples_of_several_nodes_add_up(void)
{
    set_up(true);
    record_answers(&nodes[1], 20);
    record_answers(&nodes[2], 20);
    report_to(1, GRANTER);
    double samples = target_at(&nodes[1], 1)->concurrency.all.samples;
    report_to(2, GRANTER);
    CU_ASSERT_DOUBLE_EQUAL(target_at(&nodes[2], 1)->concurrency.all.samples,
                           2 * samples, 0.2 * samples);
    /* A further report replaces the node's former one. */
    report_to(1, GRANTER);
    report_to(2, GRANTER);
    CU_ASSERT_DOUBLE_EQUAL(target_at(&nodes[2], 1)->concurrency.all.samples,
                           2 * samples, 0.4 * samples);
}

/* A lost report must not lose samples: the next one contains them. */
static void
test_lost_report_is_made_good_by_the_next(void)
{
    set_up(true);
    record_answers(&nodes[1], 20);
    /* No node has this address, so that the report is lost. */
    struct sockaddr_in nowhere;
    uv_ip4_addr("127.255.0.1", PORT, &nowhere);
    RsReports_Send(nodes[1].reports, &nowhere, RsClock_NowMs());
    report_to(2, GRANTER);
    CU_ASSERT_FALSE(relative_factor(&nodes[2]) > 1.1);
    report_to(1, GRANTER);
    report_to(2, GRANTER);
    CU_ASSERT_TRUE(relative_factor(&nodes[2]) > 2);
}

/* A new granter has no sums at first. What the nodes know must stay, and must
 * reach the new granter with their next reports. */
static void
test_new_granter_without_sums(void)
{
    set_up(true);
    record_answers(&nodes[1], 20);
    report_to(1, GRANTER);
    report_to(GRANTER, GRANTER);
    report_to(GRANTER, NEW_GRANTER);
    CU_ASSERT_TRUE(relative_factor(&nodes[GRANTER]) > 2);
    report_to(1, NEW_GRANTER);
    report_to(NEW_GRANTER, NEW_GRANTER);
    CU_ASSERT_TRUE(relative_factor(&nodes[1]) > 2);
    CU_ASSERT_TRUE(relative_factor(&nodes[NEW_GRANTER]) > 2);
}

/* A node that reaches no granter continues with its own samples. */
static void
test_node_alone_uses_its_own_samples(void)
{
    set_up(true);
    record_answers(&nodes[1], 20);
    CU_ASSERT_TRUE(relative_factor(&nodes[1]) > 2);
    CU_ASSERT_TRUE(RsLoad_ServiceMs(target_at(&nodes[1], SLOW)) > 2 * WORK_MS);
}

/* The figures of a former process must not be used for its successor, whether
 * they come from nodes that know of it or from others. */
static void
test_former_process_is_forgotten(void)
{
    set_up(true);
    record_answers(&nodes[1], 20);
    report_to(1, GRANTER);
    report_to(GRANTER, GRANTER);
    list_target(&nodes[GRANTER], SLOW, 2);
    CU_ASSERT_DOUBLE_EQUAL(
        target_at(&nodes[GRANTER], SLOW)->concurrency.factor, 0, 0);
    report_to(1, GRANTER);
    report_to(GRANTER, GRANTER);
    list_target(&nodes[2], SLOW, 2);
    report_to(2, GRANTER);
    CU_ASSERT_DOUBLE_EQUAL(
        target_at(&nodes[GRANTER], SLOW)->concurrency.all.samples, 0, 0);
    CU_ASSERT_DOUBLE_EQUAL(target_at(&nodes[2], SLOW)->concurrency.all.samples,
                           0, 0);
}

/* A node may know of a new process earlier than the granter, and the granter
 * earlier than other nodes. The sums must hold samples of one process only. */
static void
test_processes_are_not_mixed(void)
{
    set_up(true);
    record_answers(&nodes[1], 20);
    list_target(&nodes[2], SLOW, 2);
    report_to(1, GRANTER);
    report_to(2, GRANTER);
    CU_ASSERT_DOUBLE_EQUAL(target_at(&nodes[2], SLOW)->concurrency.all.samples,
                           0, 0);
    list_target(&nodes[GRANTER], SLOW, 2);
    record_answers(&nodes[2], 20);
    report_to(2, GRANTER);
    double own = target_at(&nodes[2], SLOW)->concurrency.own.samples;
    CU_ASSERT_TRUE(own > 1);
    CU_ASSERT_DOUBLE_EQUAL(target_at(&nodes[2], SLOW)->concurrency.all.samples,
                           MAX(own, 4), 0.2 * own);
    report_to(GRANTER, GRANTER);
    CU_ASSERT_DOUBLE_EQUAL(
        target_at(&nodes[GRANTER], SLOW)->concurrency.all.samples, own,
        0.2 * own);
}

/* A node that restarted reports a target that leaves without requests or
 * answers, so that its load is zero. The granter crashed when two nodes did
 * so, one stopped, and the other reported again, with and without
 * load.adaptive. */
static void
test_loads_of_zero_from_two_nodes(void)
{
    set_up(false);
    for (uint32_t i = 1; i < NODES; i++) {
        RsFleet_RecordLeaving(target_at(&nodes[i], SLOW), 1, start_ms);
    }
    report_to(1, GRANTER);
    report_to(2, GRANTER);
    target_at(&nodes[1], SLOW)->said_leaving_at_ms = 0;
    report_to(1, GRANTER);
    report_to(2, GRANTER);
    CU_ASSERT_TRUE(target_at(&nodes[GRANTER], SLOW)->said_leaving_at_ms > 0);
}

/* Records that a request was sent to a target and ended it 8 s later. */
static void
record_long_crash(struct node *node, uint32_t target, int64_t now_ms)
{
    const char *id = target_at(node, target)->id;
    struct rs_suspects *suspects = &node->router.suspects;
    RsSuspects_RecordBreak(suspects, REQUEST, id, 1, now_ms - LONG_RUN_MS,
                           now_ms);
    RsSuspects_RecordEnd(suspects, id, 2, now_ms);
}

/* What a node is told of crashes must not look like one on trial. */
static void
test_crashes_of_long_requests_are_told_as_such(void)
{
    set_up(false);
    record_long_crash(&nodes[1], 0, start_ms - 3000);
    record_long_crash(&nodes[1], 1, start_ms - 3000);
    record_long_crash(&nodes[1], 2, start_ms);
    report_to(1, GRANTER);
    report_to(2, GRANTER);
    for (uint32_t i = 0; i < NODES; i++) {
        int64_t until_ms = RsSuspects_RefusedUntilMs(&nodes[i].router.suspects,
                                                     REQUEST, start_ms + 100);
        CU_ASSERT_TRUE(until_ms > start_ms && until_ms < start_ms + 6000);
    }
}

/* Without load.adaptive nothing may be learned from the messages of nodes that
 * have it. */
static void
test_off_ignores_sums(void)
{
    set_up(true);
    nodes[2].settings.load.adaptive = false;
    record_answers(&nodes[1], 20);
    report_to(1, GRANTER);
    report_to(2, GRANTER);
    struct rs_fleet_target *target = target_at(&nodes[2], SLOW);
    CU_ASSERT_DOUBLE_EQUAL(target->concurrency.service_ms, 0, 0);
    CU_ASSERT_DOUBLE_EQUAL(target->concurrency.all.samples, 0, 0);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("reports", NULL, NULL);
    CU_ADD_TEST(suite, test_samples_of_one_node_reach_all);
    CU_ADD_TEST(suite, test_samples_of_several_nodes_add_up);
    CU_ADD_TEST(suite, test_lost_report_is_made_good_by_the_next);
    CU_ADD_TEST(suite, test_new_granter_without_sums);
    CU_ADD_TEST(suite, test_node_alone_uses_its_own_samples);
    CU_ADD_TEST(suite, test_former_process_is_forgotten);
    CU_ADD_TEST(suite, test_processes_are_not_mixed);
    CU_ADD_TEST(suite, test_loads_of_zero_from_two_nodes);
    CU_ADD_TEST(suite, test_crashes_of_long_requests_are_told_as_such);
    CU_ADD_TEST(suite, test_off_ignores_sums);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
