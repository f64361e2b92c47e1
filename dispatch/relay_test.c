/* Tests the relay client of a front with the relay server of a holder over
 * loopback. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "core/clock.h"
#include "dispatch/relay_client.h"
#include "dispatch/relay_server.h"

#define FIRST_PORT 27500
#define LAST_PORT 27600
#define SILENCE_MS 600
#define TICK_MS 5
#define TEST_TIMEOUT_MS 5000
#define REQUEST_COUNT 3

struct fixture;

struct request {
    struct fixture *fixture;
    struct rs_relay_stream *stream;
};

struct fixture {
    uv_loop_t loop;
    uv_timer_t timer;
    struct sockaddr_in address;
    struct rs_relay_client *client;
    struct request requests[REQUEST_COUNT];
    int64_t deadline_ms;
    int heads;         /* number of answer heads received */
    int stop_at_heads; /* value of `heads` at which the loop stops */
    int not_run;
    char reason[32];
    bool cancels_others; /* cancels the other requests when one ends */
};

static const struct rs_holder_callbacks reports = {0};

static void
on_head(void *arg, const Rs__Relay__AnswerHead *head)
{
    struct request *request = arg;
    struct fixture *fixture = request->fixture;
    fixture->heads++;
    fixture->not_run +=
        head->outcome == RS__RELAY__OUTCOME__OUTCOME_NOT_RUN ? 1 : 0;
    g_strlcpy(fixture->reason, head->reason, sizeof(fixture->reason));
    if (fixture->cancels_others) {
        fixture->cancels_others = false;
        for (int i = 0; i < REQUEST_COUNT; i++) {
            if (&fixture->requests[i] != request) {
                RsRelayClient_Cancel(fixture->requests[i].stream);
            }
        }
    }
}

static void
on_body(void *arg, const void *data, size_t size, bool last, bool broken)
{
    CU_FAIL("a body without an answer");
}

static const struct rs_target_request_events events = {on_head, on_body};

static void
on_timer(uv_timer_t *timer)
{
    struct fixture *fixture = timer->data;
    int64_t now_ms = RsClock_NowMs();
    RsRelayClient_Tick(fixture->client, now_ms);
    if (fixture->heads >= fixture->stop_at_heads ||
        now_ms > fixture->deadline_ms) {
        uv_stop(&fixture->loop);
    }
}

/* Creates a client. Nothing listens at the address until start_server(). */
static void
open_fixture(struct fixture *fixture)
{
    struct rs_relay_client_options options = {&fixture->loop, SILENCE_MS};
    memset(fixture, 0, sizeof(*fixture));
    uv_loop_init(&fixture->loop);
    fixture->client = RsRelayClient_New(&options);
    fixture->address.sin_family = AF_INET;
    fixture->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    fixture->address.sin_port = htons(1);
    fixture->deadline_ms = RsClock_NowMs() + TEST_TIMEOUT_MS;
    uv_timer_init(&fixture->loop, &fixture->timer);
    fixture->timer.data = fixture;
    uv_timer_start(&fixture->timer, on_timer, 0, TICK_MS);
}

static void
start_server(struct fixture *fixture, size_t max_streams_per_link)
{
    struct rs_holder_options holder = {.loop = &fixture->loop,
                                       .self = "e",
                                       .domain = "d",
                                       .reports = &reports};
    struct rs_relay_server_options options = {.loop = &fixture->loop,
                                              .holder = RsHolder_New(&holder),
                                              .max_streams_per_link =
                                                  max_streams_per_link};
    struct rs_relay_server *server;
    int status = -1;
    for (uint16_t port = FIRST_PORT; port < LAST_PORT && status != 0; port++) {
        fixture->address.sin_port = htons(port);
        options.address = fixture->address;
        status = RsRelayServer_Open(&options, &server);
    }
    CU_ASSERT_EQUAL_FATAL(status, 0);
}

/* Sends `count` requests, and expects `expected_heads` of them to end as not
 * run. */
static void
send_and_expect_not_run(struct fixture *fixture, int count, int expected_heads)
{
    for (int i = 0; i < count; i++) {
        Rs__Relay__Forward forward = RS__RELAY__FORWARD__INIT;
        forward.request_id = "r";
        forward.keyed = true;
        fixture->requests[i].fixture = fixture;
        fixture->requests[i].stream =
            RsRelayClient_Send(fixture->client, "peer", &fixture->address,
                               &forward, &events, &fixture->requests[i]);
    }
    fixture->stop_at_heads = expected_heads;
    uv_run(&fixture->loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(fixture->heads, expected_heads);
    CU_ASSERT_EQUAL(fixture->not_run, expected_heads);
}

static void
test_holder_answers_over_the_link(void)
{
    struct fixture fixture;
    open_fixture(&fixture);
    start_server(&fixture, REQUEST_COUNT);
    send_and_expect_not_run(&fixture, REQUEST_COUNT, REQUEST_COUNT);
    CU_ASSERT_STRING_EQUAL(fixture.reason, "not-in-cell");
}

/* A request above the limit of streams must be refused without closing the
 * link, so that the other requests are answered too. */
static void
test_stream_above_the_limit_is_not_run(void)
{
    struct fixture fixture;
    open_fixture(&fixture);
    start_server(&fixture, 0);
    send_and_expect_not_run(&fixture, REQUEST_COUNT, REQUEST_COUNT);
    CU_ASSERT_STRING_EQUAL(fixture.reason, "queue-full");
}

/* When a hedged request ends, its other attempt is cancelled. That must also
 * work while both fail with the same link. */
static void
test_streams_can_be_cancelled_while_link_fails(void)
{
    struct fixture fixture;
    open_fixture(&fixture);
    fixture.cancels_others = true;
    send_and_expect_not_run(&fixture, REQUEST_COUNT, 1);
    CU_ASSERT_STRING_EQUAL(fixture.reason, "no-link");
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("relay", NULL, NULL);
    CU_ADD_TEST(suite, test_holder_answers_over_the_link);
    CU_ADD_TEST(suite, test_stream_above_the_limit_is_not_run);
    CU_ADD_TEST(suite, test_streams_can_be_cancelled_while_link_fails);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
