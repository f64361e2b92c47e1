/* A front's relay client and a holder's relay server over loopback. */

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
#define GIVE_UP_MS 5000
#define REQUESTS 3

struct bench;

struct request {
    struct bench *bench;
    struct rs_relay_stream *stream;
};

struct bench {
    uv_loop_t loop;
    uv_timer_t timer;
    struct sockaddr_in address;
    struct rs_relay_client *client;
    struct request requests[REQUESTS];
    int64_t give_up_at_ms;
    int heads;
    int wanted;
    int not_run;
    char reason[32];
    bool cancels; /* the others, when one ends */
};

static const struct rs_holder_reports reports = {0};

static void
on_head(void *arg, const Rs__Relay__AnswerHead *head)
{
    struct request *request = arg;
    struct bench *bench = request->bench;
    bench->heads++;
    bench->not_run +=
        head->outcome == RS__RELAY__OUTCOME__OUTCOME_NOT_RUN ? 1 : 0;
    g_strlcpy(bench->reason, head->reason, sizeof(bench->reason));
    if (bench->cancels) {
        bench->cancels = false;
        for (int i = 0; i < REQUESTS; i++) {
            if (&bench->requests[i] != request) {
                RsRelayClient_Cancel(bench->requests[i].stream);
            }
        }
    }
}

static void
on_body(void *arg, const void *data, size_t size, bool last, bool broken)
{
    CU_FAIL("a body without an answer");
}

static const struct rs_work_events events = {on_head, on_body};

static void
on_timer(uv_timer_t *timer)
{
    struct bench *bench = timer->data;
    int64_t now_ms = RsClock_NowMs();
    RsRelayClient_Tick(bench->client, now_ms);
    if (bench->heads >= bench->wanted || now_ms > bench->give_up_at_ms) {
        uv_stop(&bench->loop);
    }
}

static void
open_bench(struct bench *bench)
{
    struct rs_relay_client_options options = {&bench->loop, SILENCE_MS};
    memset(bench, 0, sizeof(*bench));
    uv_loop_init(&bench->loop);
    bench->client = RsRelayClient_New(&options);
    bench->address.sin_family = AF_INET;
    bench->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bench->address.sin_port = htons(1);
    bench->give_up_at_ms = RsClock_NowMs() + GIVE_UP_MS;
    uv_timer_init(&bench->loop, &bench->timer);
    bench->timer.data = bench;
    uv_timer_start(&bench->timer, on_timer, 0, TICK_MS);
}

static void
serve(struct bench *bench, size_t max_streams)
{
    struct rs_holder_options holder = {
        .loop = &bench->loop, .self = "e", .domain = "d", .reports = &reports};
    struct rs_relay_server_options options = {.loop = &bench->loop,
                                              .holder = RsHolder_New(&holder),
                                              .max_streams = max_streams};
    struct rs_relay_server *server;
    int status = -1;
    for (uint16_t port = FIRST_PORT; port < LAST_PORT && status != 0; port++) {
        bench->address.sin_port = htons(port);
        options.address = bench->address;
        status = RsRelayServer_Open(&options, &server);
    }
    CU_ASSERT_EQUAL_FATAL(status, 0);
}

static void
ask(struct bench *bench, int count, int wanted)
{
    for (int i = 0; i < count; i++) {
        Rs__Relay__Forward forward = RS__RELAY__FORWARD__INIT;
        forward.request_id = "r";
        forward.keyed = true;
        bench->requests[i].bench = bench;
        bench->requests[i].stream =
            RsRelayClient_Send(bench->client, "peer", &bench->address,
                               &forward, &events, &bench->requests[i]);
    }
    bench->wanted = wanted;
    uv_run(&bench->loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(bench->heads, wanted);
    CU_ASSERT_EQUAL(bench->not_run, wanted);
}

static void
test_holder_answers_over_the_link(void)
{
    struct bench bench;
    open_bench(&bench);
    serve(&bench, REQUESTS);
    ask(&bench, REQUESTS, REQUESTS);
    CU_ASSERT_STRING_EQUAL(bench.reason, "not-in-cell");
}

/* The link and its other streams go on. */
static void
test_stream_above_the_limit_is_not_run(void)
{
    struct bench bench;
    open_bench(&bench);
    serve(&bench, 0);
    ask(&bench, REQUESTS, REQUESTS);
    CU_ASSERT_STRING_EQUAL(bench.reason, "queue-full");
}

/* The end of a request that was sent twice ends its other try, also when both
 * go down with the same link. */
static void
test_lost_link_bears_that_streams_are_cancelled(void)
{
    struct bench bench;
    open_bench(&bench);
    bench.cancels = true;
    ask(&bench, REQUESTS, 1);
    CU_ASSERT_STRING_EQUAL(bench.reason, "no-link");
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("relay", NULL, NULL);
    CU_ADD_TEST(suite, test_holder_answers_over_the_link);
    CU_ADD_TEST(suite, test_stream_above_the_limit_is_not_run);
    CU_ADD_TEST(suite, test_lost_link_bears_that_streams_are_cancelled);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
