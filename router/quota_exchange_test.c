#include <CUnit/Basic.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/peer.pb-c.h"
#include "router/quota_exchange.h"
#include "router/router.h"

#define MAX_DATAGRAM_BYTES 2000

static const char config_text[] =
    "{\"version\":\"00000001\",\"routes\":{\"get\":{\"host\":\"h\",\"prefix\":"
    "\"/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":"
    "300,\"priority\":1,\"service\":\"s\",\"max_attempts\":2}},\"services\":{"
    "\"s\":{\"health_path\":\"/\",\"max_connections\":200,\"warmup_s\":1,"
    "\"warmup_per_s\":50}},\"tenants\":{\"w\":{\"api_keys\":[\"k\"],"
    "\"priority\":1,\"per_s\":50,\"burst\":50}},\"limits\":{"
    "\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/* A node without sockets: what it sends is kept. */
struct node {
    uv_loop_t loop;
    struct rs_node_settings settings;
    struct rs_router router;
    struct rs_granter granter;
    struct rs_quota_exchange *exchange;
    uint8_t sent[MAX_DATAGRAM_BYTES];
    size_t sent_bytes; /* 0: nothing was sent */
};

static struct rs_routing *config;
static struct node nodes[2]; /* the second one is the granter */

static void
keep(void *arg, const struct sockaddr *address,
     const ProtobufCMessage *message)
{
    struct node *node = arg;
    node->sent_bytes = protobuf_c_message_get_packed_size(message);
    protobuf_c_message_pack(message, node->sent);
}

static void
open_node(struct node *node, char *name, uint64_t incarnation, bool leads)
{
    memset(node, 0, sizeof(*node));
    uv_loop_init(&node->loop);
    node->settings.node.name = name;
    node->settings.node.zone = "z";
    node->settings.node.address = "127.0.0.1";
    node->settings.bounds.quota_window_s = 5;
    node->settings.bounds.quota_overage = 0.1F;
    node->settings.bounds.quota_slack = 20;
    RsRouter_Init(&node->router, &node->loop, &node->settings);
    strcpy(node->granter.holder.peer_host, "127.0.0.1");
    node->granter.holder.peer_port = 9;
    node->granter.holder.incarnation = 2;
    if (leads) {
        node->granter.phase = RsGranter_LEADING;
        node->granter.authority_until_ms = INT64_MAX;
    }
    const struct rs_quota_exchange_options options = {
        .router = &node->router,
        .granter = &node->granter,
        .incarnation = incarnation,
        .send = keep,
        .arg = node,
    };
    node->exchange = RsQuotaExchange_New(&options);
    node->router.quotas = node->exchange;
    RsQuotaExchange_SetConfig(node->exchange, config, RsClock_NowMs());
    RsQuotaExchange_Tick(node->exchange, RsClock_NowMs());
}

static void
open_nodes(void)
{
    const char *fault = NULL;
    if (config == NULL) {
        config = RsRouting_Decode(config_text, &fault);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    open_node(&nodes[0], "n0", 1, false);
    open_node(&nodes[1], "n1", 2, true);
    nodes[0].sent_bytes = 0;
    nodes[1].sent_bytes = 0;
}

/* Hands what one node has sent to the other. */
static void
pass(struct node *from, struct node *to, int64_t now_ms)
{
    const struct sockaddr_in address = {.sin_family = AF_INET};
    size_t size_bytes = from->sent_bytes;
    from->sent_bytes = 0;
    CU_ASSERT_TRUE(RsQuotaExchange_HandleDatagram(
        to->exchange, from->sent, size_bytes,
        (const struct sockaddr *)&address, now_ms));
}

/* Guards against messages that the other side takes for something else, and
 * against first bytes that the version in production would take for a report
 * or a summary. */
static void
test_tokens_come_over_the_network(void)
{
    open_nodes();
    struct rs_quota_claim claim = {0};
    int64_t now_ms = RsClock_NowMs() + 100;
    const struct rs_workspace *workspace = &config->workspaces[0];
    CU_ASSERT_EQUAL(
        RsQuotaExchange_Take(nodes[0].exchange, workspace, &claim, now_ms),
        RsQuota_WAITING);
    RsQuotaExchange_Tick(nodes[0].exchange, now_ms);
    CU_ASSERT_TRUE_FATAL(nodes[0].sent_bytes > 0);
    CU_ASSERT_EQUAL(nodes[0].sent[0], 0x78);
    pass(&nodes[0], &nodes[1], now_ms);
    CU_ASSERT_TRUE_FATAL(nodes[1].sent_bytes > 0);
    CU_ASSERT_EQUAL(nodes[1].sent[0], 0xa0);
    pass(&nodes[1], &nodes[0], now_ms);
    CU_ASSERT_EQUAL(
        RsQuotaExchange_Take(nodes[0].exchange, workspace, &claim, now_ms),
        RsQuota_TAKEN);
    RsQuotaExchange_End(nodes[0].exchange, &claim, true, now_ms);
    CU_ASSERT_EQUAL(claim.token_until_ms, 0);
}

/* Guards against a ledger that grants without authority: another granter may
 * do so at the same time. */
static void
test_no_answer_without_authority(void)
{
    open_nodes();
    struct rs_quota_claim claim = {0};
    int64_t now_ms = RsClock_NowMs() + 100;
    RsQuotaExchange_Take(nodes[0].exchange, &config->workspaces[0], &claim,
                         now_ms);
    RsQuotaExchange_Tick(nodes[0].exchange, now_ms);
    nodes[1].granter.authority_until_ms = now_ms;
    pass(&nodes[0], &nodes[1], now_ms);
    CU_ASSERT_EQUAL(nodes[1].sent_bytes, 0);
}

/* Guards against tokens for another process, and against a crash or a growing
 * table of names by datagrams that nobody should send. */
static void
test_foreign_and_malformed_datagrams_are_ignored(void)
{
    open_nodes();
    int64_t now_ms = RsClock_NowMs() + 100;
    const struct sockaddr_in address = {.sin_family = AF_INET};
    const struct sockaddr *from = (const struct sockaddr *)&address;
    Rs__Peer__QuotaGrant__Item item = RS__PEER__QUOTA_GRANT__ITEM__INIT;
    Rs__Peer__QuotaGrant__Item *list[] = {&item};
    Rs__Peer__QuotaGrant grant = RS__PEER__QUOTA_GRANT__INIT;
    item.workspace = "never-in-a-configuration";
    item.tokens = 7;
    grant.incarnation = 99;
    grant.sequence = 1;
    grant.items = list;
    grant.n_items = 1;
    keep(&nodes[1], from, &grant.base);
    pass(&nodes[1], &nodes[0], now_ms);
    grant.incarnation = 1;
    keep(&nodes[1], from, &grant.base);
    pass(&nodes[1], &nodes[0], now_ms);
    CU_ASSERT_EQUAL(g_quark_try_string(item.workspace), 0);
    const uint8_t broken[] = {0x78, 0xff, 0xff, 0xff};
    CU_ASSERT_TRUE(RsQuotaExchange_HandleDatagram(
        nodes[0].exchange, broken, sizeof(broken), from, now_ms));
    const uint8_t report[] = {0x0a, 0x00};
    CU_ASSERT_FALSE(RsQuotaExchange_HandleDatagram(
        nodes[0].exchange, report, sizeof(report), from, now_ms));
}

/* Guards against requests of the granter's own callers that get nothing. */
static void
test_granter_serves_itself(void)
{
    open_nodes();
    struct rs_quota_claim claim = {0};
    const struct rs_workspace *workspace = &config->workspaces[0];
    int64_t now_ms = RsClock_NowMs() + 100;
    enum rs_quota_verdict verdict =
        RsQuotaExchange_Take(nodes[1].exchange, workspace, &claim, now_ms);
    CU_ASSERT_EQUAL(verdict, RsQuota_WAITING);
    RsQuotaExchange_Tick(nodes[1].exchange, now_ms);
    CU_ASSERT_EQUAL(
        RsQuotaExchange_Take(nodes[1].exchange, workspace, &claim, now_ms),
        RsQuota_TAKEN);
    CU_ASSERT_EQUAL(nodes[1].sent_bytes, 0);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("quota exchange", NULL, NULL);
    CU_ADD_TEST(suite, test_tokens_come_over_the_network);
    CU_ADD_TEST(suite, test_no_answer_without_authority);
    CU_ADD_TEST(suite, test_foreign_and_malformed_datagrams_are_ignored);
    CU_ADD_TEST(suite, test_granter_serves_itself);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
