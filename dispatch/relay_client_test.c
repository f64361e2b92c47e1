#include "dispatch/relay_client.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"

#define SILENCE_MS 200
#define TICK_MS 20
#define GIVE_UP_MS 5000

/* A port that connections are accepted at, though no process speaks. */
struct mute {
    int listener;
    int accepted; /* -1: none */
    bool closes;  /* what it has accepted, once something arrives */
    struct sockaddr_in address;
};

struct bench {
    uv_loop_t loop;
    uv_timer_t timer;
    struct rs_relay_client *client;
    struct mute mute;
    int64_t give_up_at_ms;
    int heads;
    Rs__Relay__Outcome outcome;
};

static void
on_head(void *arg, const Rs__Relay__AnswerHead *head)
{
    struct bench *bench = arg;
    bench->heads++;
    bench->outcome = head->outcome;
}

static void
on_body(void *arg, const void *data, size_t size, bool last, bool broken)
{
    CU_FAIL("a body without an answer");
}

static const struct rs_work_events events = {on_head, on_body};

static void
open_mute(struct mute *mute, bool closes)
{
    socklen_t size = sizeof(mute->address);
    mute->closes = closes;
    mute->accepted = -1;
    mute->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    mute->address = (struct sockaddr_in){.sin_family = AF_INET,
                                         .sin_addr = {htonl(INADDR_LOOPBACK)}};
    CU_ASSERT_EQUAL_FATAL(
        bind(mute->listener, (struct sockaddr *)&mute->address, size), 0);
    CU_ASSERT_EQUAL_FATAL(listen(mute->listener, 8), 0);
    getsockname(mute->listener, (struct sockaddr *)&mute->address, &size);
}

static void
serve_mute(struct mute *mute)
{
    char bytes[256];
    if (mute->accepted < 0) {
        mute->accepted = accept4(mute->listener, NULL, NULL, SOCK_NONBLOCK);
    }
    if (mute->closes && mute->accepted >= 0 &&
        read(mute->accepted, bytes, sizeof(bytes)) > 0) {
        close(mute->accepted);
        mute->accepted = -1;
    }
}

static void
on_timer(uv_timer_t *timer)
{
    struct bench *bench = timer->data;
    int64_t now_ms = RsClock_NowMs();
    serve_mute(&bench->mute);
    RsRelayClient_Tick(bench->client, now_ms);
    if (bench->heads > 0 || now_ms > bench->give_up_at_ms) {
        uv_stop(&bench->loop);
    }
}

static void
run(bool closes)
{
    struct bench bench = {.give_up_at_ms = RsClock_NowMs() + GIVE_UP_MS};
    struct rs_relay_client_options options = {&bench.loop, SILENCE_MS};
    Rs__Relay__Forward forward = RS__RELAY__FORWARD__INIT;
    uv_loop_init(&bench.loop);
    open_mute(&bench.mute, closes);
    bench.client = RsRelayClient_New(&options);
    forward.request_id = "r1";
    RsRelayClient_Send(bench.client, "peer", &bench.mute.address, &forward,
                       &events, &bench);
    uv_timer_init(&bench.loop, &bench.timer);
    bench.timer.data = &bench;
    uv_timer_start(&bench.timer, on_timer, 0, TICK_MS);
    uv_run(&bench.loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(bench.heads, 1);
    CU_ASSERT_EQUAL(bench.outcome, RS__RELAY__OUTCOME__OUTCOME_NOT_RUN);
    CU_ASSERT(RsRelayClient_IsDown(bench.client, "peer", RsClock_NowMs()));
    close(bench.mute.listener);
    close(bench.mute.accepted);
}

/* What was never sent to a process is not run, also when the connection was
 * accepted and closed by something in between. */
static void
test_closed_before_the_process_spoke(void)
{
    run(true);
}

/* The same for a process that is paused: its connections are accepted. */
static void
test_silent_before_the_process_spoke(void)
{
    run(false);
}

/* One failure may be a moment's; after three the process counts as out of
 * reach, for a pause that grows. */
static void
test_out_of_reach_after_three_failures(void)
{
    struct bench bench = {0};
    struct rs_relay_client_options options = {&bench.loop, SILENCE_MS};
    Rs__Relay__Forward forward = RS__RELAY__FORWARD__INIT;
    uv_loop_init(&bench.loop);
    open_mute(&bench.mute, true);
    bench.client = RsRelayClient_New(&options);
    forward.request_id = "r1";
    uv_timer_init(&bench.loop, &bench.timer);
    bench.timer.data = &bench;
    uv_timer_start(&bench.timer, on_timer, 0, TICK_MS);
    for (int i = 1; i <= 3; i++) {
        bench.heads = 0;
        bench.give_up_at_ms = RsClock_NowMs() + GIVE_UP_MS;
        RsRelayClient_Send(bench.client, "peer", &bench.mute.address, &forward,
                           &events, &bench);
        uv_run(&bench.loop, UV_RUN_DEFAULT);
        uint32_t back_in_ms =
            RsRelayClient_BackInMs(bench.client, "peer", RsClock_NowMs());
        CU_ASSERT_EQUAL(back_in_ms > 0, i == 3);
    }
    CU_ASSERT_EQUAL(RsRelayClient_BackInMs(bench.client, "other", 0), 0);
    CU_ASSERT_EQUAL(RsRelayClient_BackInMs(bench.client, "peer",
                                           RsClock_NowMs() + GIVE_UP_MS),
                    0);
    close(bench.mute.listener);
    close(bench.mute.accepted);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("relay client", NULL, NULL);
    CU_ADD_TEST(suite, test_closed_before_the_process_spoke);
    CU_ADD_TEST(suite, test_silent_before_the_process_spoke);
    CU_ADD_TEST(suite, test_out_of_reach_after_three_failures);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
