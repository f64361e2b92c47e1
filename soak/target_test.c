#include <CUnit/Basic.h>
#include <stdio.h>

#include "core/clock.h"
#include "core/log.h"
#include "http/connection.h"
#include "soak/target.h"
#include "tests/loop.h"

#define STORE_PORT 20810
#define TARGET_PORT 20811
#define PROXY_PORT 20812
#define MAX_REQUESTS 16
#define QUEUE_CAPACITY 10 /* two running requests and eight waiting ones */
#define WORK_MS 40
#define STEP_MS 10
#define GIVE_UP_AFTER_MS 3000

struct request {
    struct rs_http_connection *connection;
    char id[16];
    int status; /* 0: no response yet */
};

struct scenario {
    struct rs_test_loop loop;
    struct rs_check check;
    struct rs_soak_store *store;
    struct rs_soak_target *target;
    struct request requests[MAX_REQUESTS];
    uint32_t request_count;
};

static struct scenario scenario;

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

/* Sends a request to the target, bypassing its proxy. */
static struct request *
send_request(void)
{
    struct request *request = &scenario.requests[scenario.request_count];
    snprintf(request->id, sizeof(request->id), "r%u",
             scenario.request_count++);
    struct rs_http_options options = {
        .loop = &scenario.loop.uv,
        .events = &events,
        .arg = request,
    };
    uv_ip4_addr("127.0.0.1", TARGET_PORT, &options.address);
    request->connection = RsHttp_Open(&options);
    return request;
}

static void
open_scenario(void)
{
    RsTestLoop_Open(&scenario.loop);
    RsCheck_Init(&scenario.check, stdout, RsClock_NowMs());
    GRand *random = g_rand_new_with_seed(1);
    scenario.store = RsSoakStore_Open(&scenario.loop.uv, STORE_PORT, random);
    CU_ASSERT_PTR_NOT_NULL_FATAL(scenario.store);
    const struct rs_soak_target_options options = {
        .loop = &scenario.loop.uv,
        .number = 0,
        .service = "plain",
        .zone = "z1",
        .port = TARGET_PORT,
        .proxy_port = PROXY_PORT,
        .work_ms = WORK_MS,
        .check = &scenario.check,
        .store = scenario.store,
        .random = random,
    };
    scenario.target = RsSoakTarget_Open(&options);
    CU_ASSERT_PTR_NOT_NULL_FATAL(scenario.target);
    RsSoakTarget_Start(scenario.target, true);
}

/* Soak seeds 1, 9 and 314: requests that had waited at a target when it
 * crashed took places in the queue of its next process, which then refused
 * requests that it had room for. */
static void
test_restarted_target_has_an_empty_queue(void)
{
    open_scenario();
    for (uint32_t i = 0; i < QUEUE_CAPACITY; i++) {
        send_request();
    }
    RsTestLoop_Run(&scenario.loop, WORK_MS / 2);
    RsSoakTarget_Crash(scenario.target);
    RsSoakTarget_Start(scenario.target, true);
    struct request *request = send_request();
    int64_t give_up_at_ms = RsClock_NowMs() + GIVE_UP_AFTER_MS;
    while (request->status == 0 && RsClock_NowMs() < give_up_at_ms) {
        RsTestLoop_Run(&scenario.loop, STEP_MS);
    }
    CU_ASSERT_EQUAL(request->status, 200);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("soak target", NULL, NULL);
    CU_ADD_TEST(suite, test_restarted_target_has_an_empty_queue);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
