#include "dispatch/relay_client.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"

#define SILENCE_MS 200
#define TICK_MS 20
#define TEST_TIMEOUT_MS 5000

/* A listener that accepts connections but never sends anything. */
struct silent_listener {
    int listener;
    int accepted;        /* accepted socket, or -1 */
    bool closes_on_data; /* closes the connection once data arrives */
    struct sockaddr_in address;
};

struct fixture {
    uv_loop_t loop;
    uv_timer_t timer;
    struct rs_relay_client *client;
    struct silent_listener silent_listener;
    int64_t deadline_ms;
    int heads; /* number of answer heads received */
    Rs__Relay__Outcome outcome;
};

static void
on_head(void *arg, const Rs__Relay__AnswerHead *head)
{
    struct fixture *fixture = arg;
    fixture->heads++;
    fixture->outcome = head->outcome;
}

static void
on_body(void *arg, const void *data, size_t size, bool last, bool broken)
{
    CU_FAIL("a body without an answer");
}

static const struct rs_target_request_events events = {on_head, on_body};

static void
open_silent_listener(struct silent_listener *silent_listener,
                     bool closes_on_data)
{
    socklen_t size = sizeof(silent_listener->address);
    silent_listener->closes_on_data = closes_on_data;
    silent_listener->accepted = -1;
    silent_listener->listener =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    silent_listener->address = (struct sockaddr_in){
        .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
    CU_ASSERT_EQUAL_FATAL(bind(silent_listener->listener,
                               (struct sockaddr *)&silent_listener->address,
                               size),
                          0);
    CU_ASSERT_EQUAL_FATAL(listen(silent_listener->listener, 8), 0);
    getsockname(silent_listener->listener,
                (struct sockaddr *)&silent_listener->address, &size);
}

static void
poll_silent_listener(struct silent_listener *silent_listener)
{
    char bytes[256];
    if (silent_listener->accepted < 0) {
        silent_listener->accepted =
            accept4(silent_listener->listener, NULL, NULL, SOCK_NONBLOCK);
    }
    if (silent_listener->closes_on_data && silent_listener->accepted >= 0 &&
        read(silent_listener->accepted, bytes, sizeof(bytes)) > 0) {
        close(silent_listener->accepted);
        silent_listener->accepted = -1;
    }
}

static void
on_timer(uv_timer_t *timer)
{
    struct fixture *fixture = timer->data;
    int64_t now_ms = RsClock_NowMs();
    poll_silent_listener(&fixture->silent_listener);
    RsRelayClient_Tick(fixture->client, now_ms);
    if (fixture->heads > 0 || now_ms > fixture->deadline_ms) {
        uv_stop(&fixture->loop);
    }
}

static void
expect_not_run(bool closes_on_data)
{
    struct fixture fixture = {.deadline_ms =
                                  RsClock_NowMs() + TEST_TIMEOUT_MS};
    struct rs_relay_client_options options = {&fixture.loop, SILENCE_MS};
    Rs__Relay__Forward forward = RS__RELAY__FORWARD__INIT;
    uv_loop_init(&fixture.loop);
    open_silent_listener(&fixture.silent_listener, closes_on_data);
    fixture.client = RsRelayClient_New(&options);
    forward.request_id = "r1";
    RsRelayClient_Send(fixture.client, "peer",
                       &fixture.silent_listener.address, &forward, &events,
                       &fixture);
    uv_timer_init(&fixture.loop, &fixture.timer);
    fixture.timer.data = &fixture;
    uv_timer_start(&fixture.timer, on_timer, 0, TICK_MS);
    uv_run(&fixture.loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(fixture.heads, 1);
    CU_ASSERT_EQUAL(fixture.outcome, RS__RELAY__OUTCOME__OUTCOME_NOT_RUN);
    CU_ASSERT(
        RsRelayClient_IsBackingOff(fixture.client, "peer", RsClock_NowMs()));
    close(fixture.silent_listener.listener);
    close(fixture.silent_listener.accepted);
}

/* A request must end as not run when it was never sent to the process, even
 * though a proxy in between accepted the connection and closed it. */
static void
test_link_closed_before_first_message(void)
{
    expect_not_run(true);
}

/* A request must end as not run when the process is paused: its kernel still
 * accepts connections. */
static void
test_link_silent_before_first_message(void)
{
    expect_not_run(false);
}

/* A single failure may be transient. After three in a row, the process counts
 * as unreachable until its backoff time is over. */
static void
test_unreachable_after_three_failures(void)
{
    struct fixture fixture = {0};
    struct rs_relay_client_options options = {&fixture.loop, SILENCE_MS};
    Rs__Relay__Forward forward = RS__RELAY__FORWARD__INIT;
    uv_loop_init(&fixture.loop);
    open_silent_listener(&fixture.silent_listener, true);
    fixture.client = RsRelayClient_New(&options);
    forward.request_id = "r1";
    uv_timer_init(&fixture.loop, &fixture.timer);
    fixture.timer.data = &fixture;
    uv_timer_start(&fixture.timer, on_timer, 0, TICK_MS);
    for (int i = 1; i <= 3; i++) {
        fixture.heads = 0;
        fixture.deadline_ms = RsClock_NowMs() + TEST_TIMEOUT_MS;
        RsRelayClient_Send(fixture.client, "peer",
                           &fixture.silent_listener.address, &forward, &events,
                           &fixture);
        uv_run(&fixture.loop, UV_RUN_DEFAULT);
        uint32_t retry_after_ms = RsRelayClient_RetryAfterMs(
            fixture.client, "peer", RsClock_NowMs());
        CU_ASSERT_EQUAL(retry_after_ms > 0, i == 3);
    }
    CU_ASSERT_EQUAL(RsRelayClient_RetryAfterMs(fixture.client, "other", 0), 0);
    CU_ASSERT_EQUAL(
        RsRelayClient_RetryAfterMs(fixture.client, "peer",
                                   RsClock_NowMs() + TEST_TIMEOUT_MS),
        0);
    close(fixture.silent_listener.listener);
    close(fixture.silent_listener.accepted);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("relay client", NULL, NULL);
    CU_ADD_TEST(suite, test_link_closed_before_first_message);
    CU_ADD_TEST(suite, test_link_silent_before_first_message);
    CU_ADD_TEST(suite, test_unreachable_after_three_failures);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
