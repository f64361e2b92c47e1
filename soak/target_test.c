#include <CUnit/Basic.h>
#include <stdio.h>

#include "core/clock.h"
#include "core/log.h"
#include "http/connection.h"
#include "soak/target.h"
#include "tests/loop.h"

/* Of the first scenario; each has ports of its own, since the stand-ins live
 * as long as the process. */
#define FIRST_PORT 20810
#define MAX_REQUESTS 16
#define QUEUE_CAPACITY 10 /* two running requests and eight waiting ones */
#define WORK_MS 40
#define STEP_MS 10
#define GIVE_UP_AFTER_MS 3000
#define HOLD_UP_MS 400
#define HOLD_UP_CALLER_MS 100 /* until the caller resets its connection */
#define US_PER_MS 1000

struct request {
    struct rs_http_connection *connection;
    char id[16];
    int status; /* 0: no response yet */
};

struct scenario {
    uint16_t store_port;
    uint16_t target_port;
    uint16_t proxy_port;
    struct rs_test_loop loop;
    struct rs_check check;
    struct rs_soak_store *store;
    struct rs_soak_target *target;
    struct request requests[MAX_REQUESTS];
    uint32_t request_count;
};

/* Of the present test; former ones stay, as their stand-ins go on. */
static struct scenario *scenario;

static void
on_connected(void *arg)
{
    struct request *request = arg;
    const struct rs_http_header headers[] = {{"host", "t"},
                                             {"x-request-id", request->id}};
    const struct rs_http_request message = {
        .method = "GET", .path = "/", .headers = headers, .header_count = 2};
    RsHttp_Send(request->connection, &message);
}

static void
on_head(void *arg, const struct rs_http_head *head)
{
    ((struct request *)arg)->status = head->status;
}

static void
on_body(void *arg, const char *data, size_t size_bytes)
{
}

static void
on_end(void *arg, bool keep_alive)
{
}

static void
on_closed(void *arg, int error)
{
}

static const struct rs_http_events events = {
    .connected = on_connected,
    .head = on_head,
    .body = on_body,
    .end = on_end,
    .closed = on_closed,
};

/* Sends a request to a port, the target's or its proxy's. */
static struct request *
send_request(uint16_t port)
{
    struct request *request = &scenario->requests[scenario->request_count];
    snprintf(request->id, sizeof(request->id), "r%u",
             scenario->request_count++);
    struct rs_http_options options = {
        .loop = &scenario->loop.uv,
        .events = &events,
        .arg = request,
        .reset_on_close = true,
    };
    uv_ip4_addr("127.0.0.1", port, &options.address);
    request->connection = RsHttp_Open(&options);
    return request;
}

static void
open_scenario(void)
{
    static uint16_t next_port = FIRST_PORT;
    scenario = g_new0(struct scenario, 1);
    scenario->store_port = next_port++;
    scenario->target_port = next_port++;
    scenario->proxy_port = next_port++;
    RsTestLoop_Open(&scenario->loop);
    RsCheck_Init(&scenario->check, stdout, RsClock_NowMs());
    GRand *random = g_rand_new_with_seed(1);
    scenario->store =
        RsSoakStore_Open(&scenario->loop.uv, scenario->store_port, random);
    CU_ASSERT_PTR_NOT_NULL_FATAL(scenario->store);
    const struct rs_soak_target_options options = {
        .loop = &scenario->loop.uv,
        .number = 0,
        .service = "plain",
        .zone = "z1",
        .port = scenario->target_port,
        .proxy_port = scenario->proxy_port,
        .work_ms = WORK_MS,
        .check = &scenario->check,
        .store = scenario->store,
        .random = random,
    };
    scenario->target = RsSoakTarget_Open(&options);
    CU_ASSERT_PTR_NOT_NULL_FATAL(scenario->target);
    RsSoakTarget_Start(scenario->target, true);
}

/* Soak seeds 1, 9 and 314: requests that had waited at a target when it
 * crashed took places in the queue of its next process, which then refused
 * requests that it had room for. */
static void
test_restarted_target_has_an_empty_queue(void)
{
    open_scenario();
    for (uint32_t i = 0; i < QUEUE_CAPACITY; i++) {
        send_request(scenario->target_port);
    }
    RsTestLoop_Run(&scenario->loop, WORK_MS / 2);
    RsSoakTarget_Crash(scenario->target);
    RsSoakTarget_Start(scenario->target, true);
    struct request *request = send_request(scenario->target_port);
    int64_t give_up_at_ms = RsClock_NowMs() + GIVE_UP_AFTER_MS;
    while (request->status == 0 && RsClock_NowMs() < give_up_at_ms) {
        RsTestLoop_Run(&scenario->loop, STEP_MS);
    }
    CU_ASSERT_EQUAL(request->status, 200);
}

/* Sends a request that is held up, and resets its connection after
 * HOLD_UP_CALLER_MS. */
static void
send_and_reset(void)
{
    struct rs_link_proxy *proxy = RsSoakTarget_Proxy(scenario->target);
    RsLinkProxy_SetHoldUp(proxy, (int64_t)HOLD_UP_MS * US_PER_MS);
    struct request *request = send_request(scenario->proxy_port);
    RsTestLoop_Run(&scenario->loop, HOLD_UP_CALLER_MS);
    RsLinkProxy_SetHoldUp(proxy, 0);
    RsHttp_Close(request->connection);
    RsTestLoop_Run(&scenario->loop, HOLD_UP_CALLER_MS);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(scenario->target), 0);
}

static void
test_request_that_is_held_up_outlives_its_connection(void)
{
    open_scenario();
    send_and_reset();
    struct request *later = send_request(scenario->proxy_port);
    RsTestLoop_Run(&scenario->loop, HOLD_UP_CALLER_MS);
    CU_ASSERT_EQUAL(later->status, 200);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(scenario->target), 1);
    RsTestLoop_Run(&scenario->loop, HOLD_UP_MS);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(scenario->target), 2);
    RsHttp_Close(later->connection);
    RsTestLoop_Run(&scenario->loop, STEP_MS);
    CU_ASSERT_EQUAL(
        RsLinkProxy_CountConnections(RsSoakTarget_Proxy(scenario->target)), 0);
}

static void
test_request_that_is_held_up_arrives_during_a_cut(void)
{
    open_scenario();
    struct rs_link_proxy *proxy = RsSoakTarget_Proxy(scenario->target);
    RsLinkProxy_SetHoldUp(proxy, (int64_t)HOLD_UP_MS * US_PER_MS);
    struct request *request = send_request(scenario->proxy_port);
    RsTestLoop_Run(&scenario->loop, HOLD_UP_CALLER_MS);
    RsLinkProxy_SetCut(proxy, true);
    RsHttp_Close(request->connection);
    RsTestLoop_Run(&scenario->loop, HOLD_UP_CALLER_MS);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(scenario->target), 0);
    struct request *later = send_request(scenario->proxy_port);
    RsTestLoop_Run(&scenario->loop, HOLD_UP_MS);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(scenario->target), 1);
    CU_ASSERT_EQUAL(later->status, 0);
    RsLinkProxy_SetCut(proxy, false);
    RsTestLoop_Run(&scenario->loop, STEP_MS);
    CU_ASSERT_EQUAL(RsLinkProxy_CountConnections(proxy), 0);
}

static void
test_answer_to_a_request_that_is_held_up_arrives(void)
{
    open_scenario();
    struct rs_link_proxy *proxy = RsSoakTarget_Proxy(scenario->target);
    RsLinkProxy_SetHoldUp(proxy, (int64_t)HOLD_UP_MS * US_PER_MS);
    struct request *request = send_request(scenario->proxy_port);
    RsTestLoop_Run(&scenario->loop, HOLD_UP_CALLER_MS);
    RsLinkProxy_SetHoldUp(proxy, 0);
    CU_ASSERT_EQUAL(request->status, 0);
    RsTestLoop_Run(&scenario->loop, HOLD_UP_MS);
    CU_ASSERT_EQUAL(request->status, 200);
    RsHttp_Close(request->connection);
}

static void
test_only_new_connections_are_cut(void)
{
    open_scenario();
    struct rs_link_proxy *proxy = RsSoakTarget_Proxy(scenario->target);
    struct request *open = send_request(scenario->proxy_port);
    RsTestLoop_Run(&scenario->loop, STEP_MS);
    RsLinkProxy_SetNewCut(proxy, true);
    struct request *new = send_request(scenario->proxy_port);
    RsTestLoop_Run(&scenario->loop, HOLD_UP_CALLER_MS);
    CU_ASSERT_EQUAL(open->status, 200);
    CU_ASSERT_EQUAL(new->status, 0);
    RsLinkProxy_SetNewCut(proxy, false);
    RsTestLoop_Run(&scenario->loop, STEP_MS);
    CU_ASSERT_EQUAL(RsLinkProxy_CountConnections(proxy), 1);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("soak target", NULL, NULL);
    CU_ADD_TEST(suite, test_restarted_target_has_an_empty_queue);
    CU_ADD_TEST(suite, test_request_that_is_held_up_outlives_its_connection);
    CU_ADD_TEST(suite, test_request_that_is_held_up_arrives_during_a_cut);
    CU_ADD_TEST(suite, test_answer_to_a_request_that_is_held_up_arrives);
    CU_ADD_TEST(suite, test_only_new_connections_are_cut);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
