/* A granter and another node exchange reports and summaries over UDP. */

#include <CUnit/Basic.h>
#include <assert.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/fixture.h"
#include "router/reports.h"
#include "tests/loop.h"

#define EXCHANGE_MS 100
#define KEY 31000

struct peer {
    struct rs_node_settings settings;
    struct rs_router router;
    struct rs_reports *reports;
};

static struct rs_test_loop loop;
static struct peer granter;
static struct peer node;
static struct sockaddr_in granter_address;

static void
on_peer(void *arg, uint32_t address)
{
}

/* Returns a port of the loopback that is free now. */
static uint32_t
free_port(void)
{
    struct sockaddr_in address;
    int size = sizeof(address);
    uv_udp_t socket;
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_udp_init(&loop.uv, &socket);
    uv_udp_bind(&socket, (struct sockaddr *)&address, 0);
    uv_udp_getsockname(&socket, (struct sockaddr *)&address, &size);
    uv_close((uv_handle_t *)&socket, NULL);
    RsTestLoop_Run(&loop, 1);
    return ntohs(address.sin_port);
}

static void
open_peer(struct peer *peer, const char *name, uint32_t port)
{
    peer->settings.node.name = (char *)name;
    peer->settings.node.zone = (char *)"z";
    peer->settings.node.address = (char *)"127.0.0.1";
    peer->settings.listen.peer_port = port;
    RsRouter_Init(&peer->router, &loop.uv, &peer->settings);
    RsFleet_Init(&peer->router.fleet, RsFixture_FleetEvents(), NULL);
    peer->reports = RsReports_Open(&peer->router, port + 1, on_peer, NULL);
}

static void
open_peers(void)
{
    uint32_t port = free_port();
    uv_ip4_addr("127.0.0.1", (int)port, &granter_address);
    open_peer(&granter, "granter", port);
    open_peer(&node, "node", 0);
    assert(granter.reports != NULL && node.reports != NULL);
    RsReports_Send(granter.reports, NULL, RsClock_NowMs());
}

static void
exchange(void)
{
    RsReports_Send(node.reports, &granter_address, RsClock_NowMs());
    RsTestLoop_Run(&loop, EXCHANGE_MS);
}

static const struct rs_hot_key *
find_at_node(void)
{
    return RsHotKeys_Find(&node.router.hot_keys, g_intern_string("s"), KEY);
}

/* A node that is not told of a hot key refuses other keys of the owner in its
 * place. One that forgets it because a new granter does not know it yet admits
 * all its requests. */
static void
test_node_learns_hot_keys_and_keeps_them_until_all_are_known(void)
{
    const struct rs_hot_key hot = {.service = g_intern_string("s"),
                                   .key = KEY,
                                   .demand_per_s = 84,
                                   .admitted_per_s = 10.5};
    RsHotKeys_Record(&granter.router.hot_keys, &hot, RsClock_NowMs());
    granter.router.hot_keys.known = true;
    exchange();
    const struct rs_hot_key *learned = find_at_node();
    CU_ASSERT_PTR_NOT_NULL(learned);
    if (learned == NULL) {
        return;
    }
    CU_ASSERT_DOUBLE_EQUAL(learned->demand_per_s, 84, 0.01);
    CU_ASSERT_DOUBLE_EQUAL(learned->admitted_per_s, 10.5, 0.01);
    granter.router.hot_keys.count = 0;
    granter.router.hot_keys.known = false;
    exchange();
    CU_ASSERT_PTR_NOT_NULL(find_at_node());
    granter.router.hot_keys.known = true;
    exchange();
    CU_ASSERT_PTR_NULL(find_at_node());
}

/* The keys that are requested while there is no granter would look like a
 * burst to the next one. */
static void
test_keys_from_a_time_without_granter_are_not_counted(void)
{
    const char *service = g_intern_string("s");
    int64_t now_ms = RsClock_NowMs();
    exchange();
    RsRouter_RecordKeyUse(&node.router, service, KEY);
    exchange();
    const struct rs_key_rates *rates =
        RsReports_KeyRates(granter.reports, service, now_ms);
    float counted = rates->fast_window[KEY];
    CU_ASSERT_TRUE(counted > 0);
    for (int i = 0; i < 100; i++) {
        RsRouter_RecordKeyUse(&node.router, service, KEY);
    }
    RsReports_Send(node.reports, &granter_address, RsClock_NowMs() + 60000);
    RsTestLoop_Run(&loop, EXCHANGE_MS);
    CU_ASSERT_EQUAL(rates->fast_window[KEY], counted);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    RsTestLoop_Open(&loop);
    open_peers();
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("reports", NULL, NULL);
    CU_ADD_TEST(suite,
                test_node_learns_hot_keys_and_keeps_them_until_all_are_known);
    CU_ADD_TEST(suite, test_keys_from_a_time_without_granter_are_not_counted);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
