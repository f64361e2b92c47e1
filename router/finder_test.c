#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/finder.h"

#define PORT 29317
#define MAX_WAIT_MS 3000

struct peer {
    struct rs_granter granter;
    struct rs_finder *finder;
    bool granter_reachable;
    int lease_count;
};

static bool
is_granter_reachable(void *arg)
{
    return ((const struct peer *)arg)->granter_reachable;
}

static void
on_lease_received(void *arg, const struct rs_granter_lease *lease,
                  uint64_t version)
{
    struct peer *peer = arg;
    peer->lease_count++;
    RsGranter_LeaseLearned(&peer->granter, lease, version, RsClock_NowMs());
}

static const struct rs_finder_events events = {
    .is_granter_reachable = is_granter_reachable,
    .lease_received = on_lease_received,
};

static void
open_peer(struct peer *peer, uv_loop_t *loop, const char *host)
{
    const struct rs_granter_options granter = {.node = host, .incarnation = 1};
    *peer = (struct peer){0};
    RsGranter_Init(&peer->granter, &granter);
    const struct rs_finder_options options = {
        .loop = loop,
        .host = host,
        .port = PORT,
        .granter = &peer->granter,
        .events = &events,
        .arg = peer,
    };
    peer->finder = RsFinder_Open(&options);
    CU_ASSERT_PTR_NOT_NULL_FATAL(peer->finder);
}

static void
run_until_lease_received(struct peer *peer, uv_loop_t *loop,
                         int64_t max_wait_ms)
{
    int64_t end_at_ms = RsClock_NowMs() + max_wait_ms;
    while (peer->lease_count == 0 && RsClock_NowMs() < end_at_ms) {
        RsFinder_Ask(peer->finder, RsClock_NowMs());
        uv_run(loop, UV_RUN_NOWAIT);
    }
}

/* Guards against a node that never finds the granter because the store is
 * available only to other nodes. */
static void
test_node_that_cannot_reach_the_store_asks_a_peer(void)
{
    uv_loop_t loop;
    struct peer asking;
    struct peer answering;
    uv_loop_init(&loop);
    open_peer(&asking, &loop, "127.0.1.1");
    open_peer(&answering, &loop, "127.0.1.2");
    const char lease[] = "{\"node\":\"n7\",\"peer_host\":\"10.1.0.7\","
                         "\"peer_port\":7540,\"incarnation\":\"abc\"}";
    RsGranter_LeaseRead(&answering.granter, 40, lease, RsClock_NowMs());
    RsFinder_AddPeer(asking.finder, inet_addr("127.0.1.2"));
    /* A node without contact to the granter must not respond. */
    run_until_lease_received(&asking, &loop, 400);
    CU_ASSERT_EQUAL(asking.lease_count, 0);
    answering.granter_reachable = true;
    run_until_lease_received(&asking, &loop, MAX_WAIT_MS);
    CU_ASSERT_TRUE(asking.lease_count > 0);
    CU_ASSERT_STRING_EQUAL(asking.granter.holder.peer_host, "10.1.0.7");
    CU_ASSERT_EQUAL(asking.granter.holder.incarnation, 0xabc);
    CU_ASSERT_EQUAL(asking.granter.lease_version, 40);
}

static void
test_outdated_lease_from_a_peer_is_ignored(void)
{
    struct rs_granter granter;
    const struct rs_granter_options options = {.node = "n1", .incarnation = 1};
    struct rs_granter_lease lease = {.incarnation = 9};
    RsGranter_Init(&granter, &options);
    RsGranter_LeaseRead(&granter, 50,
                        "{\"node\":\"n2\",\"incarnation\":\"2\"}", 1000);
    RsGranter_LeaseLearned(&granter, &lease, 50, 1100);
    CU_ASSERT_EQUAL(granter.holder.incarnation, 2);
    RsGranter_LeaseLearned(&granter, &lease, 51, 1100);
    CU_ASSERT_EQUAL(granter.holder.incarnation, 9);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("finder", NULL, NULL);
    CU_ADD_TEST(suite, test_node_that_cannot_reach_the_store_asks_a_peer);
    CU_ADD_TEST(suite, test_outdated_lease_from_a_peer_is_ignored);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
